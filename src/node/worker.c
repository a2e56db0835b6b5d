/*
 * worker.c - announcements of the backend server beside this node
 *
 * A new instance whose predecessor did not announce that it was leaving means
 * that the predecessor crashed. Calls that were aborted within CRASH_WINDOW_US
 * before it appeared count as in flight at the crash, and are reported to all
 * nodes.
 *
 * The acknowledgement that a worker is leaving binds this node, not only this
 * process: a heartbeat from before may arrive after a restart. It is therefore
 * sent when the end of the worker is in the store, where a later process reads
 * it. While the store does not take it, the worker is not used, but its
 * announcements are refused, so that it repeats them to whichever process runs.
 */
#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "base/log.h"
#include "node/traffic_private.h"

/* A worker without an announcement for this long counts as not serving. */
#define ANNOUNCE_TIMEOUT_US (3 * FP_US_PER_S)
/* Calls aborted at most this long before a new instance appeared count as in
 * flight at the crash. */
#define CRASH_WINDOW_US (10 * FP_US_PER_S)
/* The worker takes an acknowledgement within a second. */
#define ACK_WAIT_US (800 * FP_US_PER_MS)

static bool same_worker(const struct fp_worker *a, const struct fp_worker *b)
{
	return a->port == b->port && a->slots == b->slots &&
	       a->serving == b->serving && a->started_ms == b->started_ms &&
	       a->warm_until_ms == b->warm_until_ms &&
	       a->leaving == b->leaving && a->deregistered == b->deregistered &&
	       strcmp(a->instance, b->instance) == 0;
}

static void set_worker(struct fp_traffic *t, const struct fp_worker *w)
{
	bool same = same_worker(&t->worker, w);

	t->worker = *w;
	if (same)
		return;
	execution_update_params(t);
	fp_log(FP_LOG_INFO, "worker_state",
	       "service=%s port=%u slots=%u serving=%d instance=%s "
	       "born_ms=%" PRId64 " warm_ms=%" PRId64 " sequence=%" PRIu64,
	       t->settings->service, w->port, w->slots, w->serving, w->instance,
	       w->started_ms, w->warm_until_ms, w->sequence);
	t->hooks.worker(t->hooks.ctx, &t->worker);
}

void worker_note_aborted(struct fp_traffic *t, uint64_t fingerprint)
{
	struct aborted_call *call =
		&t->aborted_calls[t->n_aborted++ % FP_MAX_ABORTED_CALLS];

	call->fingerprint = fingerprint;
	call->at_us = fp_loop_now_us(t->loop);
}

static void report_crash(struct fp_traffic *t, const char *instance)
{
	int64_t now_us = fp_loop_now_us(t->loop);
	uint64_t crash_id = XXH3_64bits(instance, strlen(instance));
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < FP_MAX_ABORTED_CALLS; i++) {
		struct aborted_call *call = &t->aborted_calls[i];

		if (!call->at_us || now_us - call->at_us > CRASH_WINDOW_US)
			continue;
		call->at_us = 0;
		n++;
		limits_note_crash(t, call->fingerprint, crash_id);
		traffic_report_crash(t, call->fingerprint, crash_id);
	}
	fp_log(FP_LOG_WARN, "worker_crashed", "service=%s in_flight=%u",
	       t->settings->service, n);
}

/* Whether the announcement is of another start of the backend server than the
 * known one. */
static bool is_other_start(const struct fp_worker *w,
			   const struct fp_announcement *a)
{
	return strcmp(w->instance, a->instance) != 0 ||
	       (a->started_ms && w->started_ms != a->started_ms);
}

static bool crashed(const struct fp_traffic *t, const struct fp_announcement *a)
{
	return t->worker.instance[0] && !t->worker.leaving &&
	       is_other_start(&t->worker, a);
}

/*
 * Whether an announcement arrived out of order: after one of a later start, or
 * after a later one of the same start. A start that has deregistered does not
 * register again, so other announcements of it are stale too.
 */
static bool is_stale(const struct fp_traffic *t,
		     const struct fp_announcement *a)
{
	const struct fp_worker *w = &t->worker;

	if (!w->instance[0])
		return false;
	if (a->started_ms && w->started_ms && a->started_ms != w->started_ms)
		return a->started_ms < w->started_ms;
	if (is_other_start(w, a))
		return a->deregister;
	if (a->deregister)
		return false;
	return w->deregistered ||
	       (a->has_sequence && a->sequence <= w->sequence);
}

/* Whether the announcement is of the backend server beside this node. */
static bool is_of_this_vm(const struct fp_traffic *t,
			  const struct fp_announcement *a)
{
	const struct fp_settings *s = t->settings;

	if (a->deregister)
		return true;
	if (a->service[0] && strcmp(a->service, s->service) != 0)
		return false;
	return !a->address[0] || !s->backend_address[0] ||
	       strcmp(a->address, s->backend_address) == 0;
}

/* Of a start that is known an announcement without the time says nothing. */
static void apply_cold(struct fp_traffic *t, const struct fp_announcement *a)
{
	if (a->deregister ||
	    (a->slow_start_us < 0 && !is_other_start(&t->worker, a)))
		return;
	cold_reported(t, a->slow_start_us, "announced");
}

static void apply(struct fp_traffic *t, const struct fp_announcement *a)
{
	struct fp_worker w = { .port = a->port,
			       .slots = a->slots,
			       .serving = a->serving && !t->worker_withdrawn,
			       .started_ms = a->started_ms,
			       .sequence = a->sequence };

	t->announced_us = fp_loop_now_us(t->loop);
	apply_cold(t, a);
	memcpy(w.instance, a->instance, sizeof(w.instance));
	if (a->deregister) {
		w = t->worker;
		w.serving = false;
		memcpy(w.instance, a->instance, sizeof(w.instance));
		w.started_ms = a->started_ms ? a->started_ms : w.started_ms;
		/* A process that has just started may learn of the leaving
		 * first. What started before is the start that left. */
		if (!w.started_ms)
			w.started_ms = fp_wall_us(t->clock) / FP_US_PER_MS;
	} else if (crashed(t, a)) {
		report_crash(t, t->worker.instance);
	}
	if (is_other_start(&t->worker, a))
		speed_reset(t);
	/* Computed at the first announcement of a start only: a value computed
	 * at each one would change the membership record every time. */
	if (!is_other_start(&t->worker, a))
		w.warm_until_ms = t->worker.warm_until_ms;
	else if (!a->deregister && a->slow_start_us >= 0)
		w.warm_until_ms = (fp_wall_us(t->clock) + a->slow_start_us) /
				  FP_US_PER_MS;
	w.leaving = a->deregister || !a->serving;
	w.deregistered = a->deregister;
	set_worker(t, &w);
}

void worker_inherit(struct fp_traffic *t, const struct fp_worker_end *e)
{
	struct fp_worker w = t->worker;
	bool known = w.instance[0] != '\0';
	bool same = strcmp(w.instance, e->instance) == 0 &&
		    w.started_ms == e->started_ms;

	t->stored_end = *e;
	if (known && !same && w.started_ms >= e->started_ms)
		return;
	if (known && same && !e->deregistered && w.sequence > e->sequence)
		return;
	memcpy(w.instance, e->instance, sizeof(w.instance));
	w.started_ms = e->started_ms;
	if (e->sequence > w.sequence || !same)
		w.sequence = e->sequence;
	w.serving = false;
	w.leaving = true;
	w.deregistered = e->deregistered || (same && w.deregistered);
	set_worker(t, &w);
}

void worker_end_stored(struct fp_traffic *t, const struct fp_worker_end *e)
{
	t->stored_end = *e;
}

static bool end_is_stored(const struct fp_traffic *t)
{
	const struct fp_worker_end *e = &t->stored_end;

	return strcmp(t->worker.instance, e->instance) == 0 &&
	       t->worker.started_ms == e->started_ms &&
	       t->worker.deregistered == e->deregistered;
}

static void acknowledge(struct fp_http_exchange *x)
{
	static const struct fp_http_header type = { "Content-Type",
						    "application/json" };

	fp_http_reply(x, 200, &type, 1, "{}", 2);
}

static void refuse_ack(struct fp_http_exchange *x)
{
	fp_log(FP_LOG_WARN, "worker_end_not_stored", "waited_ms=%d",
	       (int)(ACK_WAIT_US / FP_US_PER_MS));
	fp_http_reply(x, 503, NULL, 0, "", 0);
}

/* Whether the announcement may be acknowledged only after the end of its worker
 * is stored. */
static bool must_wait(const struct fp_traffic *t,
		      const struct fp_announcement *a)
{
	return t->hosted && (a->deregister || !a->serving) &&
	       t->worker.leaving && !is_other_start(&t->worker, a) &&
	       !end_is_stored(t);
}

static void hold_ack(struct fp_traffic *t, struct fp_http_exchange *x)
{
	struct held_ack *h = &t->held_acks[t->n_held_acks];

	if (t->n_held_acks == FP_MAX_HELD_ACKS) {
		refuse_ack(x);
		return;
	}
	h->exchange = x;
	h->arrived_us = fp_loop_now_us(t->loop);
	t->n_held_acks++;
}

static void answer_held_acks(struct fp_traffic *t, int64_t now_us)
{
	/* A later start of the worker makes its end irrelevant. */
	bool may_acknowledge = !t->worker.leaving || end_is_stored(t);
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < t->n_held_acks; i++) {
		struct held_ack h = t->held_acks[i];

		if (may_acknowledge)
			acknowledge(h.exchange);
		else if (now_us - h.arrived_us >= ACK_WAIT_US)
			refuse_ack(h.exchange);
		else
			t->held_acks[kept++] = h;
	}
	t->n_held_acks = kept;
}

enum fp_status worker_announce(struct fp_traffic *t, struct fp_http_exchange *x,
			       const struct fp_http_request *r)
{
	struct fp_announcement a;
	enum fp_status st;

	st = t->dialect->announcement(r->method, r->uri, r->body, r->body_bytes,
				      &a);
	if (st == FP_NOT_FOUND)
		return st;
	if (st == FP_OK && !is_of_this_vm(t, &a))
		st = fp_fail(FP_INVALID,
			     "announcement: service or address of another VM");
	if (st != FP_OK) {
		fp_log(FP_LOG_WARN, "announcement_refused", "why=\"%s\"",
		       fp_last_message());
		answer_refuse(t, x, FP_CLASS_NORMAL, FP_OUTCOME_NOT_RUN,
			      FP_REASON_MALFORMED, 0);
		return FP_OK;
	}
	if (!is_stale(t, &a))
		apply(t, &a);
	if (must_wait(t, &a))
		hold_ack(t, x);
	else
		acknowledge(x);
	return FP_OK;
}

void worker_tick(struct fp_traffic *t, int64_t now_us)
{
	struct fp_worker w = t->worker;

	answer_held_acks(t, now_us);
	if (!w.serving || (now_us - t->announced_us <= ANNOUNCE_TIMEOUT_US &&
			   !t->worker_withdrawn))
		return;
	w.serving = false;
	set_worker(t, &w);
}
