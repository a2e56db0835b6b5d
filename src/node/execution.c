/*
 * execution.c - calls that this node's backend server runs
 *
 * Each execution has an opaque random id. The node sends it to the worker, and
 * the worker returns it with the nested calls that it makes; in dialects
 * without such a header the caller's request id is used instead.
 * Organisation, class, deadline and attempt budget of a nested call come from
 * the execution found by that id, never from what the worker sends. A caller's
 * id may be that of several executions at once: a nested call then belongs to
 * the one that arrived first, and ends with the last of them.
 *
 * Admission decides which execution starts. Its decisions are queued while it
 * runs and applied after it has returned, since applying one may call
 * admission again.
 */
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/log.h"
#include "node/execution_private.h"

/* Target of the queueing delay at admission while there is no preset. */
#define DEFAULT_QUEUE_TARGET_US (20 * FP_US_PER_MS)
#define INITIAL_DECISIONS	64
/* Queue limit of admission per slot of the worker, and its minimum. */
#define QUEUED_PER_SLOT 8u
#define MIN_QUEUED	32u
/* Queue limit when overload control is off, the baseline of comparisons. */
#define MAX_QUEUED_OFF 4096u

/* Room in a frame for everything besides the body of an answer. */
#define REPLY_EXTRA_BYTES (64u << 10)

/** What admission decided about one execution. */
struct admission_decision {
	uint64_t id; /* admission id of the execution */
	enum fp_reason why; /* FP_REASON_NONE: start it */
};

struct execution *execution_find_request(struct fp_traffic *t, const char *id)
{
	return fp_id_index_find(t->requests, id);
}

/* Ends the nested calls of an execution that has ended. If another one has the
 * same request id, they may be its calls, and pass to it. */
static void end_nested_calls(struct fp_traffic *t,
			     const uint8_t call_id[FP_CALL_ID_BYTES],
			     const struct execution *same_id)
{
	if (same_id)
		call_parent_changed(t, call_id, same_id->call_id);
	else
		call_parent_ended(t, call_id);
}

/* Frees an execution and ends its nested calls. */
static void execution_free(struct execution *e)
{
	struct fp_traffic *t = e->t;
	uint8_t id[FP_CALL_ID_BYTES];
	struct execution *same_id = NULL;

	memcpy(id, e->call_id, sizeof(id));
	apr_hash_set(t->executions, e->call_id, sizeof(e->call_id), NULL);
	apr_hash_set(t->by_admission_id, &e->admission_id,
		     sizeof(e->admission_id), NULL);
	if (e->by_request.owner) {
		fp_id_index_remove(t->requests, &e->by_request);
		same_id = execution_find_request(t, e->by_request.id);
	}
	fp_msg_memory_end(&e->memory);
	fp_byte_end(t->bytes, &e->hold);
	parts_forget(e);
	free(e->body);
	free(e->data);
	free(e);
	t->n_executions--;
	end_nested_calls(t, id, same_id);
}

/* Sets the load of this service itself: that of its admission. */
static void set_own_load(struct fp_service_load *own,
			 const struct fp_admission_load *load)
{
	uint64_t used = load->running + (uint64_t)load->queued;

	own->used_permille = FP_LOAD_USED_MAX;
	if (used * 1000 < (uint64_t)load->limit * FP_LOAD_USED_MAX)
		own->used_permille = (uint16_t)(used * 1000 / load->limit);
	memcpy(own->refused_permille, load->refused_permille,
	       sizeof(own->refused_permille));
	own->age_ms = 0;
}

/* Lists the services of the tree, this one included, with their loads. */
static void put_service_loads(struct execution *e, struct fp_msg_reply *r)
{
	struct fp_traffic *t = e->t;
	struct fp_service_load self = { .calls = 1 };
	uint32_t i;

	memcpy(self.service, e->msg.service, sizeof(self.service));
	execution_add_service_calls(e, &self, 1);
	r->n_service_loads = e->n_loads;
	memcpy(r->service_loads, e->loads, sizeof(r->service_loads));
	for (i = 0; i < r->n_service_loads; i++) {
		if (strcmp(r->service_loads[i].service, self.service) == 0)
			set_own_load(&r->service_loads[i], &r->admission_load);
		else
			fp_load_view_read(t->load_view, &r->service_loads[i],
					  fp_loop_now_us(t->loop));
	}
}

static void send_reply(struct execution *e, struct fp_msg_reply *r)
{
	struct fp_traffic *t = e->t;
	msgpack_sbuffer buf;

	if (e->link_lost)
		return;
	r->corr = e->msg.corr;
	fp_admission_read_load(t->admission, &r->admission_load);
	cold_limit_load(t, &r->admission_load);
	speed_read(e, &r->speed);
	put_service_loads(e, r);
	r->attempts_unused = e->attempt_budget.left;
	if (!e->link) {
		call_reply(t, NULL, r);
		return;
	}
	msgpack_sbuffer_init(&buf);
	fp_msg_reply_encode(r, &buf);
	if (fp_peer_send(e->link, buf.data, buf.size) == FP_INVALID) {
		/* The answer is too large for a frame: report a failure. */
		msgpack_sbuffer_clear(&buf);
		r->reason = FP_REASON_CUT;
		r->outcome = FP_OUTCOME_RAN;
		r->content.n_headers = 0;
		r->content.body_bytes = 0;
		fp_msg_reply_encode(r, &buf);
		fp_peer_send(e->link, buf.data, buf.size);
	}
	msgpack_sbuffer_destroy(&buf);
}

static void log_failure(const struct execution *e, enum fp_outcome outcome,
			enum fp_reason why, int64_t run_us)
{
	struct fp_traffic *t = e->t;
	char root[CALL_HEX_BYTES];
	char word[FP_LOG_VALUE_BYTES];
	struct fp_admission_load l;

	fp_admission_read_load(t->admission, &l);
	sodium_bin2hex(root, sizeof(root), e->msg.root, sizeof(e->msg.root));
	fp_log(FP_LOG_INFO, "execution_failed",
	       "id=%s route=%s class=%s nested=%d outcome=%s reason=%s "
	       "instance=%s serving=%d run_ms=%" PRId64 " left_ms=%" PRId64
	       " running=%u limit=%u queued=%u delay_ms=%u",
	       fp_log_sanitize(e->by_request.id ? e->by_request.id : root,
			       word),
	       e->msg.route, fp_class_name(e->msg.cls), e->msg.nested,
	       fp_outcome_name(outcome), fp_reason_name(why),
	       t->worker.instance, t->worker.serving, run_us / FP_US_PER_MS,
	       (e->deadline_us - fp_loop_now_us(t->loop)) / FP_US_PER_MS,
	       l.running, l.limit, l.queued, l.delay_us / 1000);
}

static void refuse(struct execution *e, enum fp_outcome outcome,
		   enum fp_reason why)
{
	struct fp_msg_reply r = { .outcome = outcome, .reason = why };

	log_failure(e, outcome, why, 0);
	send_reply(e, &r);
	execution_free(e);
}

void execution_context(struct execution *e, struct execution_context *out)
{
	memcpy(out->call_id, e->call_id, sizeof(out->call_id));
	memcpy(out->root, e->msg.root, sizeof(out->root));
	memcpy(out->org, e->msg.org, sizeof(out->org));
	out->org_weight = e->msg.org_weight;
	out->cls = e->msg.cls;
	out->rank = e->msg.rank;
	out->deadline_us = e->deadline_us;
	out->depth = e->msg.depth;
	out->fingerprint = e->msg.fingerprint;
	out->attempt_budget = &e->attempt_budget;
}

void execution_note_failed(struct execution *e, uint64_t fingerprint)
{
	if (!execution_has_failed(e, fingerprint))
		e->failed[e->n_failed++ % MAX_FAILED] = fingerprint;
}

bool execution_has_failed(const struct execution *e, uint64_t fingerprint)
{
	uint32_t i;

	for (i = 0; i < e->n_failed && i < MAX_FAILED; i++)
		if (e->failed[i] == fingerprint)
			return true;
	return false;
}

/* Returns the entry of a service, added if missing; NULL: the list is full. */
static struct fp_service_load *find_or_add_load(struct execution *e,
						const char *service)
{
	uint32_t i;

	for (i = 0; i < e->n_loads; i++)
		if (strcmp(e->loads[i].service, service) == 0)
			return &e->loads[i];
	if (e->n_loads == FP_EARLY_SHED_MAX_SERVICES)
		return NULL;
	memset(&e->loads[i], 0, sizeof(e->loads[i]));
	memcpy(e->loads[i].service, service, FP_NAME_BYTES);
	e->n_loads++;
	return &e->loads[i];
}

void execution_add_service_calls(struct execution *e,
				 const struct fp_service_load *loads,
				 uint32_t n)
{
	struct fp_service_load *to;
	uint32_t i;

	for (i = 0; i < n; i++) {
		to = find_or_add_load(e, loads[i].service);
		if (to && to->calls <= UINT16_MAX - loads[i].calls)
			to->calls = (uint16_t)(to->calls + loads[i].calls);
	}
}

struct execution *execution_find(struct fp_traffic *t,
				 const uint8_t call_id[FP_CALL_ID_BYTES])
{
	return apr_hash_get(t->executions, call_id, FP_CALL_ID_BYTES);
}

/* --- at the backend server --- */

/* Frees the slot of a started execution at admission. */
static void release_slot(struct execution *e, bool overloaded)
{
	int64_t now_us = fp_loop_now_us(e->t->loop);
	int64_t run_us = e->sent_us ? now_us - e->sent_us : 0;

	if (!e->running)
		return;
	e->running = false;
	fp_admission_done(e->t->admission, e->admission_id, run_us, overloaded,
			  now_us);
}

/* Frees the slot of an execution that the backend server has answered. */
static void end_run(struct execution *e, enum fp_reason why)
{
	if (e->running && why == FP_REASON_BACKEND_REFUSED) {
		e->running = false;
		fp_admission_not_run(e->t->admission,
				     fp_loop_now_us(e->t->loop));
		return;
	}
	release_slot(e,
		     why == FP_REASON_OVERLOADED || why == FP_REASON_DEADLINE);
}

static void on_backend_done(void *ctx, const struct fp_http_result *res)
{
	struct execution *e = ctx;
	struct fp_traffic *t = e->t;
	struct fp_msg_reply r = { 0 };

	e->send = NULL;
	r.run_us = fp_loop_now_us(t->loop) - e->sent_us;
	backend_read_result(t, res, &r);
	speed_note_answer(t, res);
	speed_run_ended(e, r.outcome == FP_OUTCOME_RAN && r.http_status < 500);
	if (r.reason != FP_REASON_NONE || r.http_status >= 500)
		log_failure(e, r.outcome, r.reason, r.run_us);
	/* A worker that is away may come back, cold, before it says so. */
	if (r.reason == FP_REASON_NO_WORKER)
		cold_assume(t, "unreachable");
	if (r.reason == FP_REASON_CUT || r.reason == FP_REASON_NO_WORKER)
		worker_note_aborted(t, e->msg.fingerprint);
	if (r.outcome == FP_OUTCOME_RAN || r.reason == FP_REASON_DEADLINE)
		fp_run_times_add(t->execution_times, e->msg.route, r.run_us,
				 fp_loop_now_us(t->loop));
	end_run(e, r.reason);
	send_reply(e, &r);
	execution_free(e);
	execution_apply_decisions(t);
}

/* Whether the worker may get an execution that starts now. */
static bool may_run(const struct execution *e)
{
	return e->t->worker.serving && !e->t->evacuated &&
	       drain_can_finish_execution(e->t, e->msg.route, e->deadline_us);
}

/* Largest body of an answer that can reach the caller's node. */
static size_t max_answer_bytes(const struct execution *e)
{
	size_t limit = e->t->settings->max_body_bytes;
	size_t frame = fp_peer_max_frame_bytes(e->t->peers) - REPLY_EXTRA_BYTES;

	return e->link && frame < limit ? frame : limit;
}

static void send_to_backend(struct execution *e)
{
	struct fp_traffic *t = e->t;
	struct fp_http_header h[FP_MAX_CALL_HEADERS + BACKEND_OWN_HEADERS];
	char url[FP_URI_BYTES + FP_ADDRESS_BYTES + 32];
	char texts[BACKEND_TEXTS][BACKEND_TEXT_BYTES];
	uint32_t i;
	struct fp_http_out o = { .method = e->msg.method,
				 .url = url,
				 .headers = h,
				 .body = e->msg.content.body,
				 .body_bytes = e->msg.content.body_bytes,
				 .body_lasts = true,
				 .max_answer_bytes = max_answer_bytes(e),
				 .at_most_once = e->msg.non_idempotent };

	e->sent_us = fp_loop_now_us(t->loop);
	o.timeout_us = e->deadline_us - e->sent_us;
	if (!may_run(e)) {
		release_slot(e, false);
		refuse(e, FP_OUTCOME_NOT_RUN, FP_REASON_STOPPING);
		return;
	}
	if (o.timeout_us <= 0) {
		release_slot(e, false);
		refuse(e, FP_OUTCOME_NOT_RUN, FP_REASON_DEADLINE);
		return;
	}
	o.n_headers = backend_headers(e, o.timeout_us, h, texts);
	for (i = 0; i < e->msg.content.n_headers; i++) {
		h[o.n_headers].name = e->msg.content.headers[i].name;
		h[o.n_headers].value = e->msg.content.headers[i].value;
		o.n_headers++;
	}
	if (t->dialect->request_id) {
		o.echo_header = t->dialect->request_id;
		o.echo_value = e->by_request.id;
	}
	backend_url(t, e->msg.uri, url, sizeof(url));
	fp_counter_add(t->metrics.executions, 1);
	speed_run_started(e);
	if (fp_http_send(t->client, &o, on_backend_done, e, &e->send) == FP_OK)
		return;
	speed_run_ended(e, false);
	release_slot(e, false);
	refuse(e, FP_OUTCOME_NOT_RUN, FP_REASON_MALFORMED);
}

/* --- admission --- */

static void add_decision(struct fp_traffic *t, uint64_t id, enum fp_reason why)
{
	size_t size =
		t->decisions_size ? 2 * t->decisions_size : INITIAL_DECISIONS;
	struct execution *e = apr_hash_get(t->by_admission_id, &id, sizeof(id));

	if (!e)
		abort(); /* admission only decides on requests offered to it */
	e->running = why == FP_REASON_NONE;
	if (t->decisions_end == t->decisions_size) {
		t->decisions = reallocarray(t->decisions, size,
					    sizeof(struct admission_decision));
		if (!t->decisions)
			abort();
		t->decisions_size = size;
	}
	t->decisions[t->decisions_end++] =
		(struct admission_decision){ id, why };
}

static void on_start(void *ctx, uint64_t id, int64_t now_us)
{
	cold_note_start(ctx, now_us);
	add_decision(ctx, id, FP_REASON_NONE);
}

static void on_refuse(void *ctx, uint64_t id, enum fp_reason why)
{
	add_decision(ctx, id, why);
}

static bool next_decision(struct fp_traffic *t, struct admission_decision *v)
{
	if (t->decisions_head == t->decisions_end) {
		t->decisions_head = 0;
		t->decisions_end = 0;
		return false;
	}
	*v = t->decisions[t->decisions_head++];
	return true;
}

void execution_apply_decisions(struct fp_traffic *t)
{
	struct execution *e;
	struct admission_decision v;

	while (next_decision(t, &v)) {
		e = apr_hash_get(t->by_admission_id, &v.id, sizeof(v.id));
		if (!e)
			continue; /* cancelled since the decision */
		if (v.why == FP_REASON_NONE)
			send_to_backend(e);
		else
			refuse(e, FP_OUTCOME_NOT_RUN, v.why);
	}
}

static struct fp_admission_params admission_params(const struct fp_traffic *t)
{
	const struct fp_config *cfg = t->config;
	struct fp_admission_params p = { .off = t->settings->overload_off,
					 .slots = t->worker.slots,
					 .concurrency_percent = 100,
					 .queue_target_us =
						 DEFAULT_QUEUE_TARGET_US };

	if (!p.slots)
		p.slots = 1;
	if (cfg && cfg->n_presets) {
		const struct fp_preset *ps = &cfg->presets[cfg->active_preset];

		p.concurrency_percent = ps->concurrency_percent;
		p.queue_target_us = ps->queue_target_ms * FP_US_PER_MS;
	}
	p.max_queued = p.off ? MAX_QUEUED_OFF : p.slots * QUEUED_PER_SLOT;
	if (p.max_queued < MIN_QUEUED)
		p.max_queued = MIN_QUEUED;
	if (t->learned_limit && t->learned_limit < p.slots)
		p.slots = t->learned_limit;
	return p;
}

void execution_init(struct fp_traffic *t)
{
	struct fp_admission_params p = admission_params(t);
	struct fp_admission_sink sink = { .start = on_start,
					  .refuse = on_refuse,
					  .start_wait_us = cold_start_wait_us,
					  .ctx = t };

	t->executions = apr_hash_make(t->pool);
	t->by_admission_id = apr_hash_make(t->pool);
	t->requests = fp_id_index_init(t->pool);
	t->admission = fp_admission_init(&p, &sink);
	if (!t->admission)
		abort();
}

void execution_update_params(struct fp_traffic *t)
{
	struct fp_admission_params p = admission_params(t);

	fp_admission_set_params(t->admission, &p, fp_loop_now_us(t->loop));
	execution_apply_decisions(t);
}

void execution_tick(struct fp_traffic *t, int64_t now_us)
{
	if (speed_update_concurrency(t, now_us))
		execution_update_params(t);
	fp_admission_tick(t->admission, now_us);
	execution_apply_decisions(t);
}

/* Offers an execution to admission; it may be freed when this returns. */
static void offer(struct execution *e)
{
	struct fp_traffic *t = e->t;
	struct fp_admission_request r = { .id = e->admission_id,
					  .rank = e->msg.rank,
					  .org = UINT32_MAX,
					  .org_weight = e->msg.org_weight,
					  .nested = e->msg.nested,
					  .deadline_us = e->deadline_us };
	int org = t->config ? fp_config_find_org(t->config, e->msg.org) : -1;

	if (org >= 0)
		r.org = (uint32_t)org;
	if (fp_admission_offer(t->admission, &r, fp_loop_now_us(t->loop)) ==
	    FP_FULL)
		refuse(e, FP_OUTCOME_NOT_RUN, FP_REASON_OVERLOADED);
	execution_apply_decisions(t);
}

/* --- arrival and early ends --- */

/* Takes over the data, malloc'd. */
static struct execution *execution_new(struct fp_traffic *t,
				       struct fp_peer_link *link, uint8_t *data,
				       size_t bytes)
{
	struct execution *e = calloc(1, sizeof(*e));

	if (!e)
		abort();
	e->data = data;
	if (fp_msg_call_decode(e->data, bytes, &e->msg, &e->memory) != FP_OK) {
		free(e->data);
		free(e);
		return NULL;
	}
	e->t = t;
	e->link = link;
	e->attempt_budget.left = e->msg.attempts;
	e->deadline_us = fp_loop_now_us(t->loop) + e->msg.left_us;
	randombytes_buf(e->call_id, sizeof(e->call_id));
	e->admission_id = ++t->last_admission_id;
	if (t->dialect->request_id)
		e->by_request.id = fp_msg_header_find(&e->msg.content,
						      t->dialect->request_id);
	apr_hash_set(t->executions, e->call_id, sizeof(e->call_id), e);
	apr_hash_set(t->by_admission_id, &e->admission_id,
		     sizeof(e->admission_id), e);
	t->n_executions++;
	return e;
}

/* From now on a nested call with the same request id may be its own. */
static void add_request(struct execution *e)
{
	if (!e->by_request.id)
		return;
	e->by_request.owner = e;
	fp_id_index_add(e->t->requests, &e->by_request);
}

/* Waits for the body of an execution. */
static void await_body(struct execution *e, size_t body_bytes)
{
	struct fp_traffic *t = e->t;
	struct fp_peer_link *link = e->link;
	enum fp_status st;

	e->body = malloc(body_bytes);
	if (!e->body) {
		refuse(e, FP_OUTCOME_NOT_RUN, FP_REASON_OVERLOADED);
		return;
	}
	if (e->msg.content.body_bytes)
		st = fp_fail(FP_INVALID, "the call has a body of its own");
	else
		st = parts_expect(e, body_bytes);
	if (st == FP_OK)
		return;
	fp_counter_add(t->metrics.bad_messages, 1);
	execution_free(e);
	fp_peer_drop(link, fp_last_message());
}

/* body_bytes: of a body that follows in parts, or 0. */
static void accept_call(struct fp_traffic *t, struct fp_peer_link *link,
			uint8_t *data, size_t bytes, uint64_t body_bytes)
{
	struct execution *e = execution_new(t, link, data, bytes);

	if (!e) {
		fp_counter_add(t->metrics.bad_messages, 1);
		if (link)
			fp_peer_drop(link, fp_last_message());
		return;
	}
	if (!may_run(e) || strcmp(e->msg.service, t->settings->service) != 0) {
		refuse(e, FP_OUTCOME_NOT_RUN, FP_REASON_STOPPING);
		return;
	}
	if (body_bytes > t->settings->max_body_bytes) {
		refuse(e, FP_OUTCOME_NOT_RUN, FP_REASON_TOO_LARGE);
		return;
	}
	/* A call from this node itself is in the account of its caller. */
	if (link && !fp_byte_keep(t->bytes, &e->hold, bytes + body_bytes,
				  fp_loop_now_us(t->loop))) {
		refuse(e, FP_OUTCOME_NOT_RUN, FP_REASON_OVERLOADED);
		return;
	}
	if (body_bytes) {
		await_body(e, body_bytes);
		return;
	}
	add_request(e);
	offer(e);
}

void execution_accept(struct fp_traffic *t, struct fp_peer_link *link,
		      const uint8_t *data, size_t bytes)
{
	uint8_t *copy = malloc(bytes);

	if (!copy)
		abort();
	memcpy(copy, data, bytes);
	accept_call(t, link, copy, bytes, 0);
}

void execution_accept_parts(struct fp_traffic *t, struct fp_peer_link *link,
			    const uint8_t *data, size_t bytes,
			    uint64_t body_bytes)
{
	uint8_t *copy = malloc(bytes);

	if (!copy)
		abort();
	memcpy(copy, data, bytes);
	accept_call(t, link, copy, bytes, body_bytes);
}

void execution_body_whole(struct execution *e)
{
	e->msg.content.body = e->body;
	add_request(e);
	if (may_run(e))
		offer(e);
	else
		refuse(e, FP_OUTCOME_NOT_RUN, FP_REASON_STOPPING);
}

void execution_body_failed(struct execution *e, enum fp_reason why)
{
	refuse(e, FP_OUTCOME_NOT_RUN, why);
}

void execution_accept_own(struct fp_traffic *t, uint8_t *data, size_t bytes)
{
	accept_call(t, NULL, data, bytes, 0);
}

/* Ends an execution whose reply is no longer needed. */
static void abandon(struct execution *e)
{
	struct fp_traffic *t = e->t;

	if (e->send) {
		fp_http_cancel(e->send);
		e->send = NULL;
		speed_run_ended(e, false);
		backend_cancel(e);
	}
	if (e->running)
		release_slot(e, false);
	else
		fp_admission_cancel(t->admission, e->admission_id,
				    fp_loop_now_us(t->loop));
	execution_free(e);
	execution_apply_decisions(t);
}

/* Returns an execution that waits and cannot be finished any more, or whose
 * domain is evacuated, or NULL. */
static struct execution *next_unfinishable(struct fp_traffic *t)
{
	apr_hash_index_t *hi = apr_hash_first(NULL, t->executions);
	struct execution *e;

	for (; hi; hi = apr_hash_next(hi)) {
		e = apr_hash_this_val(hi);
		if (!e->running &&
		    (t->evacuated || !drain_can_finish_execution(
					     t, e->msg.route, e->deadline_us)))
			return e;
	}
	return NULL;
}

void execution_refuse_unfinishable(struct fp_traffic *t)
{
	struct execution *e;

	while ((e = next_unfinishable(t))) {
		fp_admission_cancel(t->admission, e->admission_id,
				    fp_loop_now_us(t->loop));
		refuse(e, FP_OUTCOME_NOT_RUN, FP_REASON_STOPPING);
		execution_apply_decisions(t);
	}
}

void execution_refuse_evacuated(struct fp_traffic *t)
{
	execution_refuse_unfinishable(t);
}

static struct execution *find_by_corr(struct fp_traffic *t,
				      const struct fp_peer_link *link,
				      uint64_t corr)
{
	apr_hash_index_t *hi = apr_hash_first(NULL, t->executions);
	struct execution *e;

	for (; hi; hi = apr_hash_next(hi)) {
		e = apr_hash_this_val(hi);
		if (e->link == link && e->msg.corr == corr)
			return e;
	}
	return NULL;
}

void execution_cancel(struct fp_traffic *t, struct fp_peer_link *link,
		      uint64_t corr)
{
	struct execution *e = find_by_corr(t, link, corr);

	if (e && (e->arriving || !e->msg.non_idempotent))
		abandon(e);
}

/* Marks the executions of a link that went down; returns one that may be
 * abandoned, or NULL. */
static struct execution *mark_link_lost(struct fp_traffic *t,
					const struct fp_peer_link *link)
{
	apr_hash_index_t *hi = apr_hash_first(NULL, t->executions);
	struct execution *found = NULL;
	struct execution *e;

	for (; hi; hi = apr_hash_next(hi)) {
		e = apr_hash_this_val(hi);
		if (e->link != link)
			continue;
		e->link_lost = true;
		if (e->arriving || !e->msg.non_idempotent)
			found = e;
	}
	return found;
}

void execution_link_down(struct fp_traffic *t, struct fp_peer_link *link)
{
	struct execution *e;

	while ((e = mark_link_lost(t, link)))
		abandon(e);
}
