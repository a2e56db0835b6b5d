/*
 * handover.c - passes values from other threads to the traffic thread
 *
 * A value is copied, or its ownership passes to the traffic thread. It is
 * applied by a function that is posted to the traffic thread's loop.
 */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "node/traffic_private.h"
#include "protocol/msg_crash.h"
#include "protocol/msg_shared.h"

/* Argument of a function posted to the traffic thread. */
struct posted {
	struct fp_traffic *t;
	void *value;
};

static void post(struct fp_traffic *t, fp_loop_fn fn, void *value)
{
	struct posted *h = malloc(sizeof(*h));

	if (!h)
		abort();
	h->t = t;
	h->value = value;
	fp_loop_post(t->loop, fn, h);
}

static void apply_config(void *ctx)
{
	struct posted *h = ctx;
	struct fp_traffic *t = h->t;
	struct fp_config *c = h->value;

	free(h);
	if (t->config && c->revision <= t->config->revision) {
		fp_config_end(c);
		return;
	}
	fp_config_end(t->config);
	t->config = c;
	fp_counter_set(t->metrics.config_revision, (int64_t)c->revision);
	fp_http_server_limit_bodies(
		t->callers, c->max_body_bytes ? c->max_body_bytes : UINT32_MAX);
	cold_update_config(t);
	execution_update_params(t);
	limits_update_config(t);
	tokens_update_config(t);
}

static void remove_absent_workers(struct fp_traffic *t,
				  const struct fp_member_table *old)
{
	uint32_t i;

	for (i = 0; old && i < old->n; i++)
		if (!traffic_member(t, old->members[i].id))
			fp_balancer_remove_worker(t->balancer,
						  old->members[i].id);
}

static void put_worker(struct fp_traffic *t, const struct fp_member *m,
		       int64_t now_us)
{
	struct fp_balancer_worker w = {
		.id = m->id,
		.slots = m->slots,
		.serving = m->serving && !fp_evacuation_has(&t->evacuation,
							    m->failure_domain),
		.suspected = m->suspected
	};

	/* warm_ms is wall-clock time: convert it to the loop's clock. */
	if (m->warm_ms)
		w.warm_us = now_us + m->warm_ms * FP_US_PER_MS -
			    fp_wall_us(t->clock);

	memcpy(w.service, m->service, sizeof(w.service));
	memcpy(w.failure_domain, m->failure_domain, sizeof(w.failure_domain));
	memcpy(w.region, m->region, sizeof(w.region));
	fp_balancer_put_worker(t->balancer, &w, now_us);
}

static void apply_members(void *ctx)
{
	struct posted *h = ctx;
	struct fp_traffic *t = h->t;
	struct fp_member_table *old = t->members;
	uint32_t i;

	t->members = h->value;
	free(h);
	remove_absent_workers(t, old);
	free(old);
	for (i = 0; i < t->members->n; i++)
		put_worker(t, &t->members->members[i], fp_loop_now_us(t->loop));
	tokens_update_members(t);
}

static void apply_evacuation(void *ctx)
{
	struct posted *h = ctx;
	struct fp_traffic *t = h->t;
	struct fp_evacuation *e = h->value;
	bool was = t->evacuated;
	uint32_t i;

	t->evacuation = *e;
	free(e);
	free(h);
	t->evacuated =
		fp_evacuation_has(&t->evacuation, t->settings->failure_domain);
	fp_counter_set(t->evacuated_domains, t->evacuation.n);
	for (i = 0; t->members && i < t->members->n; i++)
		put_worker(t, &t->members->members[i], fp_loop_now_us(t->loop));
	if (t->evacuated && !was)
		execution_refuse_evacuated(t);
	else if (was && !t->evacuated)
		cold_assume(t, "evacuation_ended");
}

void fp_traffic_set_evacuation(struct fp_traffic *t,
			       const struct fp_evacuation *e)
{
	struct fp_evacuation *copy = malloc(sizeof(*copy));

	if (!copy)
		abort();
	*copy = *e;
	post(t, apply_evacuation, copy);
}

/* An encoded message from the primary of a slice. */
struct posted_bytes {
	size_t bytes;
	uint8_t data[];
};

static void receive_from_slice(void *ctx)
{
	struct posted *h = ctx;
	struct posted_bytes *b = h->value;
	struct fp_msg_shared m;

	if (fp_msg_shared_decode(b->data, b->bytes, &m) != FP_OK)
		fp_counter_add(h->t->metrics.bad_messages, 1);
	else if (m.type == FP_MSG_GRANT_RESPONSE)
		tokens_handle_grant(h->t, m.id, &m.grant_response);
	else if (m.type == FP_MSG_CLAIM_RESPONSE)
		claim_handle_response(h->t, m.id, &m.claim_response);
	free(b);
	free(h);
}

void fp_traffic_slice_response(struct fp_traffic *t, const void *data,
			       size_t bytes)
{
	struct posted_bytes *b = malloc(sizeof(*b) + bytes);

	if (!b)
		abort();
	b->bytes = bytes;
	memcpy(b->data, data, bytes);
	post(t, receive_from_slice, b);
}

void traffic_report_crash(struct fp_traffic *t, uint64_t fingerprint,
			  uint64_t crash_id)
{
	struct fp_msg_crash m = { fingerprint, crash_id };
	struct fp_peer_link *link;
	msgpack_sbuffer buf;
	uint32_t i;

	if (!t->hosted) {
		t->hooks.crash(t->hooks.ctx, fingerprint, crash_id);
		return;
	}
	msgpack_sbuffer_init(&buf);
	fp_msg_crash_encode(&m, &buf);
	for (i = 0; t->members && i < t->members->n; i++) {
		if (t->members->members[i].id == t->node_id)
			continue;
		link = fp_peer_link_to(t->peers,
				       t->members->members[i].peer_addr);
		/* A node that misses this report gets one at the next crash. */
		if (link)
			fp_peer_send(link, buf.data, buf.size);
	}
	msgpack_sbuffer_destroy(&buf);
}

enum fp_status traffic_send_on(struct fp_peer_link *link,
			       const struct fp_msg_shared *m)
{
	msgpack_sbuffer buf;
	enum fp_status st;

	msgpack_sbuffer_init(&buf);
	st = fp_msg_shared_encode(m, &buf);
	if (st == FP_OK)
		st = fp_peer_send(link, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
	return st;
}

/* A message to the node at addr. */
struct posted_message {
	char addr[FP_MEMBER_ADDR_BYTES];
	struct fp_msg_shared m;
};

static void send_message(void *ctx)
{
	struct posted *h = ctx;
	struct posted_message *v = h->value;
	struct fp_peer_link *link = fp_peer_link_to(h->t->peers, v->addr);

	/* A requester that gets no response tries another node. */
	if (link)
		traffic_send_on(link, &v->m);
	free(v);
	free(h);
}

void fp_traffic_send(struct fp_traffic *t, const char *addr,
		     const struct fp_msg_shared *m)
{
	struct posted_message *v = calloc(1, sizeof(*v));

	if (!v)
		abort();
	strncpy(v->addr, addr, sizeof(v->addr) - 1);
	v->m = *m;
	post(t, send_message, v);
}

struct posted_crash {
	uint64_t fingerprint;
	uint64_t crash_id;
};

static void apply_crash(void *ctx)
{
	struct posted *h = ctx;
	struct posted_crash *v = h->value;

	limits_note_crash(h->t, v->fingerprint, v->crash_id);
	free(v);
	free(h);
}

void fp_traffic_note_crash(struct fp_traffic *t, uint64_t fingerprint,
			   uint64_t crash_id)
{
	struct posted_crash *v = malloc(sizeof(*v));

	if (!v)
		abort();
	v->fingerprint = fingerprint;
	v->crash_id = crash_id;
	post(t, apply_crash, v);
}

static void set_isolated(struct fp_traffic *t, bool isolated)
{
	if (t->isolated == isolated)
		return;
	t->isolated = isolated;
	fp_log(FP_LOG_WARN, "isolation", "isolated=%d", isolated);
}

static void apply_isolated(void *ctx)
{
	struct posted *h = ctx;

	set_isolated(h->t, true);
	free(h);
}

static void clear_isolated(void *ctx)
{
	struct posted *h = ctx;

	set_isolated(h->t, false);
	free(h);
}

void fp_traffic_set_isolated(struct fp_traffic *t, bool isolated)
{
	post(t, isolated ? apply_isolated : clear_isolated, NULL);
}

static void apply_secrets(void *ctx)
{
	struct posted *h = ctx;
	struct fp_settings *s = h->value;

	fp_peer_set_secrets(h->t->peers, s->secrets, s->n_secrets);
	h->t->has_secret = s->n_secrets > 0;
	sodium_memzero(s, sizeof(*s));
	free(s);
	free(h);
}

void traffic_withdraw_worker(struct fp_traffic *t, int64_t now_us)
{
	if (t->worker_withdrawn)
		return;
	t->worker_withdrawn = true;
	worker_tick(t, now_us);
}

static void begin_drain(void *ctx)
{
	struct posted *h = ctx;
	struct fp_traffic *t = h->t;

	free(h);
	drain_begin(t);
}

void fp_traffic_set_config(struct fp_traffic *t, struct fp_config *c)
{
	post(t, apply_config, c);
}

void fp_traffic_set_members(struct fp_traffic *t, struct fp_member_table *m)
{
	post(t, apply_members, m);
}

/* The configuration record in force was the newest one at requested_us,
 * monotonic clock. */
struct posted_freshness {
	int64_t requested_us;
};

static void apply_freshness(void *ctx)
{
	struct posted *h = ctx;
	struct posted_freshness *v = h->value;

	h->t->config_confirmed_us = v->requested_us;
	free(v);
	free(h);
}

/* Confirmations and configuration records are applied in the order in which
 * they were posted. If a confirmation were applied before its record, keys that
 * the record withdraws would be accepted. */
void fp_traffic_confirm_config(struct fp_traffic *t, int64_t requested_us)
{
	struct posted_freshness *v = malloc(sizeof(*v));

	if (!v)
		abort();
	v->requested_us = requested_us;
	post(t, apply_freshness, v);
}

static void apply_share_validity(void *ctx)
{
	struct posted *h = ctx;
	struct fp_share_validity *v = h->value;

	h->t->share_validity = *v;
	free(v);
	free(h);
}

void fp_traffic_set_share_validity(struct fp_traffic *t,
				   const struct fp_share_validity *v)
{
	struct fp_share_validity *copy = malloc(sizeof(*copy));

	if (!copy)
		abort();
	*copy = *v;
	post(t, apply_share_validity, copy);
}

static void apply_inherited_end(void *ctx)
{
	struct posted *h = ctx;

	worker_inherit(h->t, h->value);
	free(h->value);
	free(h);
}

static void apply_stored_end(void *ctx)
{
	struct posted *h = ctx;

	worker_end_stored(h->t, h->value);
	free(h->value);
	free(h);
}

static void post_worker_end(struct fp_traffic *t, fp_loop_fn fn,
			    const struct fp_worker_end *e)
{
	struct fp_worker_end *copy = malloc(sizeof(*copy));

	if (!copy)
		abort();
	*copy = *e;
	post(t, fn, copy);
}

void fp_traffic_inherit_worker(struct fp_traffic *t,
			       const struct fp_worker_end *e)
{
	post_worker_end(t, apply_inherited_end, e);
}

void fp_traffic_worker_end_stored(struct fp_traffic *t,
				  const struct fp_worker_end *e)
{
	post_worker_end(t, apply_stored_end, e);
}

void fp_traffic_set_secrets(struct fp_traffic *t, const struct fp_settings *s)
{
	struct fp_settings *copy = malloc(sizeof(*copy));

	if (!copy)
		abort();
	*copy = *s;
	post(t, apply_secrets, copy);
}

static void apply_settings(void *ctx)
{
	struct posted *h = ctx;
	struct fp_traffic *t = h->t;

	t->settings = h->value;
	free(t->reloaded);
	t->reloaded = h->value;
	free(h);
}

void fp_traffic_set_settings(struct fp_traffic *t, const struct fp_settings *s)
{
	struct fp_settings *copy = malloc(sizeof(*copy));

	if (!copy)
		abort();
	*copy = *s;
	post(t, apply_settings, copy);
}

void fp_traffic_drain(struct fp_traffic *t)
{
	post(t, begin_drain, NULL);
}
