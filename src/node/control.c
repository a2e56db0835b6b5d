/*
 * control.c - the control thread, which owns the state shared between nodes
 *
 * Configuration, membership, slices and the store client belong to this thread.
 * Traffic gets immutable snapshots; control never waits for it.
 */
#include "node/control.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "node/control_private.h"
#include "protocol/msg_call.h"
#include "protocol/msg_config.h"

#define TICK_US		(50 * FP_US_PER_MS)
#define MAX_FRAME_BYTES (2u << 20)
/* Number of peers that a crash report is forwarded to. Each node forwards each
 * report once. */
#define CRASH_FANOUT 6u

/* --- callbacks of configuration, membership and slices --- */

static enum fp_status send_to(void *ctx, const char *addr, const void *data,
			      size_t bytes)
{
	struct fp_control *c = ctx;
	struct fp_peer_link *link = fp_peer_link_to(c->peers, addr);

	if (!link)
		return fp_fail(FP_UNAVAILABLE, "no link to %s", addr);
	return fp_peer_send(link, data, bytes);
}

static void send_if_possible(void *ctx, const char *addr, const void *data,
			     size_t bytes)
{
	send_to(ctx, addr, data, bytes);
}

/* Fills in the control addresses of up to max members that are not suspected,
 * from a random start in the table; returns their number. */
static uint32_t random_peers(void *ctx, const char **addrs, uint32_t max)
{
	struct fp_control *c = ctx;
	const struct fp_member_table *m = c->members;
	uint32_t start;
	uint32_t got = 0;
	uint32_t i;

	if (!m || m->n < 2)
		return 0;
	start = randombytes_uniform(m->n);
	for (i = 0; i < m->n && got < max; i++) {
		const struct fp_member *p = &m->members[(start + i) % m->n];

		if (p->id != c->node_id && !p->suspected)
			addrs[got++] = p->control_addr;
	}
	return got;
}

static void publish_config(void *ctx, const struct fp_config *cfg)
{
	struct fp_control *c = ctx;
	struct fp_config *copy = fp_config_copy(cfg);

	if (!copy)
		abort();
	fp_slice_service_set_config(c->slices, cfg);
	fp_traffic_set_config(c->traffic, copy);
}

static void publish_members(void *ctx, struct fp_member_table *m)
{
	struct fp_control *c = ctx;
	size_t bytes = sizeof(*m) + m->n * sizeof(m->members[0]);
	struct fp_member_table *copy = malloc(bytes);

	if (!copy)
		abort();
	memcpy(copy, m, bytes);
	free(c->members);
	c->members = m;
	fp_slice_service_set_members(c->slices, m);
	fp_traffic_set_members(c->traffic, copy);
}

static void member_status(void *ctx, const char *addr,
			  const struct fp_swim_status *st)
{
	struct fp_control *c = ctx;

	fp_config_sync_note_peer(c->sync, addr, st->config_revision,
				 st->store_age_us);
}

static void set_delegate(void *ctx, bool delegate)
{
	struct fp_control *c = ctx;

	fp_config_sync_set_delegate(c->sync, delegate);
}

static int64_t clock_now_us(void *ctx)
{
	struct fp_control *c = ctx;

	return fp_mono_us(c->clock);
}

static void deliver_to_traffic(void *ctx, const void *data, size_t bytes)
{
	struct fp_control *c = ctx;

	fp_traffic_slice_response(c->traffic, data, bytes);
}

static uint32_t random_u32(void *ctx)
{
	(void)ctx;
	return randombytes_random();
}

/* --- crash reports --- */

/* Applies a crash report and forwards it, unless it was received before. */
static void forward_crash(struct fp_control *c, const struct fp_msg_crash *m)
{
	const char *addrs[CRASH_FANOUT];
	msgpack_sbuffer buf;
	uint32_t n;
	uint32_t i;

	if (!fp_rumor_is_new(&c->rumor, m))
		return;
	fp_traffic_note_crash(c->traffic, m->fingerprint, m->crash_id);
	msgpack_sbuffer_init(&buf);
	fp_msg_crash_encode(m, &buf);
	n = random_peers(c, addrs, CRASH_FANOUT);
	for (i = 0; i < n; i++)
		send_to(c, addrs[i], buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

static enum fp_status receive_crash(struct fp_control *c, const uint8_t *data,
				    size_t bytes)
{
	struct fp_msg_crash m;
	enum fp_status st = fp_msg_crash_decode(data, bytes, &m);

	if (st == FP_OK)
		forward_crash(c, &m);
	return st;
}

/* --- control links --- */

static enum fp_status dispatch_frame(struct fp_control *c,
				     const struct fp_peer_identity *from,
				     const uint8_t *data, size_t bytes)
{
	uint32_t type = fp_msg_type(data, bytes);

	if (type == FP_MSG_CONFIG_GET || type == FP_MSG_CONFIG_RECORD)
		return fp_config_sync_message(c->sync, from->addr, data, bytes);
	if (type == FP_MSG_CRASH)
		return receive_crash(c, data, bytes);
	if (type >= FP_MSG_SWIM_PING && type < FP_MSG_SWIM_TYPE_END)
		return membership_message(c->membership, from->addr, data,
					  bytes);
	if (fp_slice_service_handles(data, bytes))
		return fp_slice_service_message(c->slices, from->id, from->addr,
						data, bytes);
	return fp_fail(FP_INVALID, "message of unknown type %u", type);
}

static void on_frame(void *ctx, struct fp_peer_link *link, const uint8_t *data,
		     size_t bytes)
{
	struct fp_control *c = ctx;

	if (dispatch_frame(c, fp_peer_identity(link), data, bytes) == FP_OK)
		return;
	fp_counter_add(c->bad_messages, 1);
	fp_peer_drop(link, fp_last_message());
}

static void on_link_up(void *ctx, struct fp_peer_link *link)
{
	struct fp_control *c = ctx;
	const struct fp_peer_identity *who = fp_peer_identity(link);

	fp_slice_service_peer_up(c->slices, who->id, who->addr);
}

static void on_link_down(void *ctx, struct fp_peer_link *link, bool was_up)
{
	struct fp_control *c = ctx;

	fp_slice_service_peer_down(c->slices, fp_peer_identity(link)->addr,
				   was_up);
}

static enum fp_status open_peers(struct fp_control *c)
{
	const struct fp_settings *s = c->settings;
	struct fp_peer_config cfg = { .address = s->address,
				      .port = s->control_port,
				      .id = c->node_id,
				      .secrets = s->secrets,
				      .n_secrets = s->n_secrets,
				      .max_frame_bytes = MAX_FRAME_BYTES,
				      .counters = c->counters,
				      .counter_label = "net=\"control\"" };
	struct fp_peer_handler h = { .frame = on_frame,
				     .up = on_link_up,
				     .down = on_link_down,
				     .ctx = c };

	return fp_peer_init(c->loop, &cfg, &h, &c->peers);
}

/* --- work posted by other threads --- */

struct posted {
	struct fp_control *c;
	void *value;
};

static void post(struct fp_control *c, fp_loop_fn fn, void *value)
{
	struct posted *h = malloc(sizeof(*h));

	if (!h)
		abort();
	h->c = c;
	h->value = value;
	fp_loop_post(c->loop, fn, h);
}

static void apply_worker(void *ctx)
{
	struct posted *h = ctx;
	struct fp_worker *w = h->value;

	h->c->worker = *w;
	membership_worker(h->c->membership, w);
	free(w);
	free(h);
}

void fp_control_worker(struct fp_control *c, const struct fp_worker *w)
{
	struct fp_worker *copy = malloc(sizeof(*copy));

	if (!copy)
		abort();
	*copy = *w;
	post(c, apply_worker, copy);
}

static void apply_secrets(void *ctx)
{
	struct posted *h = ctx;
	struct fp_settings *s = h->value;

	fp_peer_set_secrets(h->c->peers, s->secrets, s->n_secrets);
	membership_set_secrets(h->c->membership, s);
	sodium_memzero(s, sizeof(*s));
	free(s);
	free(h);
}

void fp_control_set_secrets(struct fp_control *c, const struct fp_settings *s)
{
	struct fp_settings *copy = malloc(sizeof(*copy));

	if (!copy)
		abort();
	*copy = *s;
	post(c, apply_secrets, copy);
}

/* A message from traffic to the primary of a slice. */
struct slice_message {
	uint32_t slice;
	size_t bytes;
	uint8_t data[];
};

static void forward_slice_message(void *ctx)
{
	struct posted *h = ctx;
	struct slice_message *m = h->value;

	fp_slice_service_from_traffic(h->c->slices, m->slice, m->data,
				      m->bytes);
	free(m);
	free(h);
}

void fp_control_to_slice(struct fp_control *c, uint32_t slice, const void *data,
			 size_t bytes)
{
	struct slice_message *m = malloc(sizeof(*m) + bytes);

	if (!m)
		abort();
	m->slice = slice;
	m->bytes = bytes;
	memcpy(m->data, data, bytes);
	post(c, forward_slice_message, m);
}

static void handle_crash(void *ctx)
{
	struct posted *h = ctx;

	forward_crash(h->c, h->value);
	free(h->value);
	free(h);
}

void fp_control_crash(struct fp_control *c, uint64_t fingerprint,
		      uint64_t crash_id)
{
	struct fp_msg_crash *m = malloc(sizeof(*m));

	if (!m)
		abort();
	m->fingerprint = fingerprint;
	m->crash_id = crash_id;
	post(c, handle_crash, m);
}

static void handle_drained(void *ctx)
{
	struct posted *h = ctx;

	h->c->traffic_drained = true;
	free(h);
}

void fp_control_drained(struct fp_control *c)
{
	post(c, handle_drained, NULL);
}

static void begin_stop(void *ctx)
{
	struct posted *h = ctx;

	control_stop_begin(h->c);
	free(h);
}

void fp_control_stop(struct fp_control *c, void (*stopped)(void *ctx),
		     void *ctx)
{
	c->stopped = stopped;
	c->stopped_ctx = ctx;
	post(c, begin_stop, NULL);
}

/* --- life cycle --- */

static void publish_status(struct fp_control *c)
{
	const struct fp_config *cfg = fp_config_sync_current(c->sync);
	struct fp_swim_status st = {
		.config_revision = cfg ? cfg->revision : 0,
		.store_age_us = fp_config_sync_store_age_us(c->sync),
	};

	membership_set_status(c->membership, &st);
}

static void check_isolation(struct fp_control *c)
{
	bool isolated = membership_is_isolated(
		c->membership, fp_config_sync_store_age_us(c->sync));

	if (isolated == c->isolated)
		return;
	c->isolated = isolated;
	fp_counter_set(c->isolated_gauge, isolated);
	fp_traffic_set_isolated(c->traffic, isolated);
}

static void on_tick(void *ctx)
{
	struct fp_control *c = ctx;
	int64_t now_us = fp_loop_now_us(c->loop);

	publish_status(c);
	membership_tick(c->membership, now_us);
	fp_slice_service_tick(c->slices);
	check_isolation(c);
	control_stop_tick(c, now_us);
	fp_timer_set(c->loop, &c->tick, now_us + TICK_US, on_tick, c);
}

static enum fp_status open_slices(struct fp_control *c)
{
	const struct fp_settings *s = c->settings;
	struct fp_slice_service_config cfg = {
		.id = c->node_id,
		.address = c->control_addr,
		.failure_domain = s->failure_domain,
		.max_claims = s->max_claims,
		.claim_lifetime_us = s->claim_lifetime_s * FP_US_PER_S,
		.store = c->store,
		.counters = c->counters,
	};
	struct fp_slice_service_ops ops = { .now_us = clock_now_us,
					    .send = send_to,
					    .peers = random_peers,
					    .to_traffic = deliver_to_traffic,
					    .random_u32 = random_u32,
					    .ctx = c };

	snprintf(c->control_addr, sizeof(c->control_addr), "%.15s:%u",
		 s->address, s->control_port);
	return fp_slice_service_init(&cfg, &ops, &c->slices);
}

static enum fp_status open_membership(struct fp_control *c)
{
	struct membership_ops ops = { .table = publish_members,
				      .status = member_status,
				      .send_link = send_if_possible,
				      .delegate = set_delegate,
				      .ctx = c };

	return membership_init(c->loop, c->settings, c->node_id, c->store,
			       c->counters, &ops, &c->membership);
}

static enum fp_status open_all(struct fp_control *c, struct fp_clock *clock)
{
	const struct fp_settings *s = c->settings;
	struct fp_config_sync_ops ops = { .publish = publish_config,
					  .send = send_if_possible,
					  .peers = random_peers,
					  .ctx = c };
	enum fp_status st = fp_loop_init(clock, &c->loop);

	if (st == FP_OK)
		st = fp_store_http_init(c->loop, s->store_url,
					s->store_timeout_ms * FP_US_PER_MS,
					c->counters, &c->store);
	if (st == FP_OK)
		st = fp_config_sync_init(c->loop, c->store, &ops, c->counters,
					 &c->sync);
	if (st == FP_OK)
		st = open_slices(c);
	if (st == FP_OK)
		st = open_peers(c);
	if (st == FP_OK)
		st = open_membership(c);
	if (st == FP_OK)
		st = admin_init(c);
	return st;
}

enum fp_status fp_control_init(const struct fp_settings *s, uint64_t node_id,
			       struct fp_clock *clock, struct fp_counters *cs,
			       struct fp_control **out)
{
	struct fp_control *c = calloc(1, sizeof(*c));
	enum fp_status st;

	if (!c || apr_pool_create(&c->pool, NULL) != APR_SUCCESS) {
		free(c);
		return fp_fail(FP_NOMEM, "out of memory");
	}
	c->settings = s;
	c->node_id = node_id;
	c->counters = cs;
	c->clock = clock;
	c->isolated_gauge = fp_counter_get(cs, "fulmar_isolated", "");
	c->bad_messages = fp_counter_get(cs, "fulmar_bad_messages_total", "");
	c->started_us = fp_mono_us(clock);
	st = open_all(c, clock);
	if (st != FP_OK) {
		fp_control_end(c);
		return st;
	}
	fp_timer_set(c->loop, &c->tick, fp_loop_now_us(c->loop), on_tick, c);
	*out = c;
	return FP_OK;
}

void fp_control_set_traffic(struct fp_control *c, struct fp_traffic *t)
{
	c->traffic = t;
}

static void *APR_THREAD_FUNC control_thread(apr_thread_t *thread, void *ctx)
{
	struct fp_control *c = ctx;

	(void)thread;
	fp_loop_run(c->loop);
	return NULL;
}

enum fp_status fp_control_start(struct fp_control *c)
{
	if (apr_thread_create(&c->thread, NULL, control_thread, c, c->pool) !=
	    APR_SUCCESS)
		return fp_fail(FP_IO, "cannot start the control thread");
	return FP_OK;
}

void fp_control_halt(struct fp_control *c)
{
	apr_status_t rv;

	if (!c || !c->thread)
		return;
	fp_loop_stop(c->loop);
	apr_thread_join(&rv, c->thread);
	c->thread = NULL;
}

void fp_control_end(struct fp_control *c)
{
	if (!c)
		return;
	fp_control_halt(c);
	fp_http_server_end(c->admin);
	fp_peer_end(c->peers);
	if (c->slices)
		fp_slice_service_close(c->slices);
	if (c->store)
		c->store->ops->end(c->store);
	fp_slice_service_end(c->slices);
	membership_end(c->membership);
	fp_config_sync_end(c->sync);
	free(c->members);
	fp_loop_end(c->loop);
	apr_pool_destroy(c->pool);
	free(c);
}
