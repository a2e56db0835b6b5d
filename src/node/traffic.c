/*
 * traffic.c - the traffic thread: listeners, call links, start and end
 *
 * Only the traffic thread accesses this state, so there are no locks. Other
 * threads pass data as work posted to its loop (handover.c).
 */
#include "node/traffic.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "node/owner.h"
#include "node/traffic_private.h"
#include "protocol/msg_body.h"
#include "protocol/msg_crash.h"

#define TICK_US (10 * FP_US_PER_MS)
/* Room in a frame for everything besides the body of a call. */
#define FRAME_EXTRA_BYTES (256u << 10)
/* Maximum number of idle connections kept open to the backend server. */
#define MAX_IDLE_BACKEND 512
/* Factor between the header limits of the local and the callers' listener. */
#define LOCAL_HEADER_FACTOR 2
/* Enough for one readiness probe a second and a few manual requests. */
#define MAX_READY_CONNECTIONS 16u
#define MAX_READY_BODY_BYTES  4096

uint64_t traffic_random(void)
{
	uint64_t r;

	randombytes_buf(&r, sizeof(r));
	return r;
}

const struct fp_member *traffic_member(const struct fp_traffic *t, uint64_t id)
{
	uint32_t i;

	for (i = 0; t->members && i < t->members->n; i++)
		if (t->members->members[i].id == id)
			return &t->members->members[i];
	return NULL;
}

/* --- listeners --- */

static void on_caller(void *ctx, struct fp_http_exchange *x,
		      const struct fp_http_request *r)
{
	call_from_caller(ctx, x, r);
}

static void on_local(void *ctx, struct fp_http_exchange *x,
		     const struct fp_http_request *r)
{
	struct fp_traffic *t = ctx;

	if (worker_announce(t, x, r) != FP_NOT_FOUND)
		return;
	if (t->dialect->call)
		call_from_worker(t, x, r);
	else
		answer_refuse(t, x, FP_CLASS_NORMAL, FP_OUTCOME_NOT_RUN,
			      FP_REASON_ROUTE_UNKNOWN, 0);
}

/* Whether callers should be routed to this node. */
static bool is_ready(const struct fp_traffic *t)
{
	return !t->draining && t->config && t->members && t->has_secret;
}

static void on_ready(void *ctx, struct fp_http_exchange *x,
		     const struct fp_http_request *r)
{
	struct fp_traffic *t = ctx;
	const char *path = t->dialect->ready_path;
	int status = is_ready(t) ? 200 : 503;

	if (!path || strcmp(r->uri, path) != 0)
		status = 404;
	fp_http_reply(x, status, NULL, 0, "", 0);
}

static void on_client_left(void *ctx, struct fp_http_exchange *x)
{
	call_client_left(ctx, x);
}

static void on_refused(void *ctx, int http_status)
{
	struct fp_traffic *t = ctx;

	fp_log(FP_LOG_INFO, "http_refused", "status=%d", http_status);
	fp_counter_add(t->metrics.http_refused, 1);
}

/* Handles a message of msg_shared.h. Those about the configuration record and
 * member records are passed to control, the others to owner.c. */
static enum fp_status dispatch_shared(struct fp_traffic *t,
				      struct fp_peer_link *link,
				      const uint8_t *data, size_t bytes)
{
	struct fp_msg_shared m;

	if (fp_msg_shared_decode(data, bytes, &m) != FP_OK)
		return FP_INVALID;
	if (m.type < FP_MSG_CONFIRM_REQUEST ||
	    m.type >= FP_MSG_RATE_SHARE_COMMIT)
		return owner_message(t, link, &m);
	t->hooks.config_message(t->hooks.ctx, fp_peer_identity(link)->addr, &m);
	return FP_OK;
}

static void on_frame(void *ctx, struct fp_peer_link *link, const uint8_t *data,
		     size_t bytes)
{
	struct fp_traffic *t = ctx;
	struct fp_msg_reply r;
	struct fp_msg_memory mem;
	struct fp_msg_crash crash;
	uint64_t corr;

	switch (fp_msg_type(data, bytes)) {
	case FP_MSG_CALL:
		execution_accept(t, link, data, bytes);
		return;
	case FP_MSG_REPLY:
		if (fp_msg_reply_decode(data, bytes, &r, &mem) != FP_OK)
			break;
		call_reply(t, link, &r);
		fp_msg_memory_end(&mem);
		return;
	case FP_MSG_CRASH:
		if (fp_msg_crash_decode(data, bytes, &crash) != FP_OK)
			break;
		limits_note_crash(t, crash.fingerprint, crash.crash_id);
		return;
	case FP_MSG_CANCEL:
		if (fp_msg_cancel_decode(data, bytes, &corr) != FP_OK)
			break;
		execution_cancel(t, link, corr);
		return;
	case FP_MSG_BODY_CALL:
	case FP_MSG_BODY_PART:
	case FP_MSG_BODY_CREDIT:
		if (parts_message(t, link, data, bytes) != FP_OK)
			break;
		return;
	default:
		if (t->hosted && dispatch_shared(t, link, data, bytes) == FP_OK)
			return;
		fp_fail(FP_INVALID, "message of unknown type");
	}
	fp_counter_add(t->metrics.bad_messages, 1);
	fp_peer_drop(link, fp_last_message());
}

static void on_link_down(void *ctx, struct fp_peer_link *link, bool was_up)
{
	struct fp_traffic *t = ctx;

	call_link_down(t, link, was_up);
	execution_link_down(t, link);
	/* A failed connection attempt changes no link state. */
	if (t->hosted && was_up)
		owner_link(t, fp_peer_identity(link), false);
}

static void on_link_room(void *ctx, struct fp_peer_link *link)
{
	parts_link_room(ctx, link);
}

static void on_link_up(void *ctx, struct fp_peer_link *link)
{
	struct fp_traffic *t = ctx;

	if (t->hosted)
		owner_link(t, fp_peer_identity(link), true);
	call_link_up(t, link);
}

static enum fp_status open_http(struct fp_traffic *t)
{
	const struct fp_settings *s = t->settings;
	struct fp_http_server_config cfg = {
		.address = s->address,
		.port = s->http_port,
		.max_body_bytes = s->max_body_bytes,
		.max_header_bytes = s->max_header_bytes,
		.max_connections = s->max_connections,
		.account = t->bytes,
		.read_ahead = true,
	};
	struct fp_http_handler h = { .request = on_caller,
				     .client_left = on_client_left,
				     .refused = on_refused,
				     .ctx = t };
	enum fp_status st = fp_http_server_init(t->loop, &cfg, &h, &t->callers);

	if (st != FP_OK)
		return st;
	cfg.read_ahead = false;
	cfg.address = s->local_address;
	cfg.port = s->local_port;
	cfg.max_header_bytes *= LOCAL_HEADER_FACTOR;
	cfg.reserved = true;
	h.request = on_local;
	st = fp_http_server_init(t->loop, &cfg, &h, &t->local);
	if (st != FP_OK || !s->ready_port)
		return st;
	cfg.address = s->address;
	cfg.port = s->ready_port;
	cfg.max_connections = MAX_READY_CONNECTIONS;
	cfg.max_body_bytes = MAX_READY_BODY_BYTES;
	cfg.account = NULL;
	h.request = on_ready;
	h.client_left = NULL;
	return fp_http_server_init(t->loop, &cfg, &h, &t->ready);
}

static enum fp_status open_peers(struct fp_traffic *t)
{
	const struct fp_settings *s = t->settings;
	struct fp_peer_config cfg = {
		.address = s->address,
		.port = s->peer_port,
		.id = t->node_id,
		.secrets = s->secrets,
		.n_secrets = s->n_secrets,
		.max_frame_bytes = s->max_body_bytes + FRAME_EXTRA_BYTES,
		.counters = t->counters,
		.counter_label = "net=\"call\"",
	};
	struct fp_peer_handler h = { .frame = on_frame,
				     .up = on_link_up,
				     .down = on_link_down,
				     .room = on_link_room,
				     .ctx = t };

	return fp_peer_init(t->loop, &cfg, &h, &t->peers);
}

/* --- life cycle --- */

static void on_tick(void *ctx)
{
	struct fp_traffic *t = ctx;
	int64_t now_us = fp_loop_now_us(t->loop);

	worker_tick(t, now_us);
	cold_tick(t, now_us);
	execution_tick(t, now_us);
	parts_tick(t, now_us);
	tokens_tick(t);
	if (t->hosted)
		owner_tick(t, now_us);
	claim_tick(t, now_us);
	held_tick(t, now_us);
	if (t->draining)
		drain_tick(t, now_us);
	fp_timer_set(t->loop, &t->tick, now_us + TICK_US, on_tick, t);
}

static void get_counters(struct fp_traffic *t)
{
	struct fp_counters *cs = t->counters;
	char labels[96];
	int c;
	int r;

	for (c = 0; c < FP_CLASS_COUNT; c++) {
		for (r = 0; r < FP_REASON_COUNT; r++) {
			snprintf(labels, sizeof(labels),
				 "class=\"%s\",reason=\"%s\"",
				 fp_class_name((enum fp_class)c),
				 fp_reason_name((enum fp_reason)r));
			t->metrics.results[c][r] = fp_counter_get(
				cs, "fulmar_answers_total", labels);
		}
	}
	t->metrics.http_refused =
		fp_counter_get(cs, "fulmar_http_refused_total", "");
	t->metrics.late_replies =
		fp_counter_get(cs, "fulmar_late_replies_total", "");
	t->metrics.bad_messages =
		fp_counter_get(cs, "fulmar_bad_messages_total", "");
	t->metrics.retries = fp_counter_get(cs, "fulmar_retries_total", "");
	t->metrics.no_capacity =
		fp_counter_get(cs, "fulmar_retries_without_capacity_total", "");
	t->metrics.executions =
		fp_counter_get(cs, "fulmar_executions_total", "");
	t->metrics.in_flight = fp_counter_get(cs, "fulmar_calls_in_flight", "");
	t->metrics.config_revision =
		fp_counter_get(cs, "fulmar_config_revision", "");
	t->metrics.added_us = fp_histogram_get(cs, "fulmar_added_us", "");
	t->metrics.total_us = fp_histogram_get(cs, "fulmar_total_us", "");
}

enum fp_status fp_traffic_init(const struct fp_settings *s,
			       const struct fp_dialect *dialect,
			       uint64_t node_id, struct fp_clock *clock,
			       struct fp_counters *cs,
			       const struct fp_traffic_hooks *hooks,
			       struct fp_traffic **out)
{
	struct fp_traffic *t = calloc(1, sizeof(*t));
	enum fp_status st;

	if (!t || apr_pool_create(&t->pool, NULL) != APR_SUCCESS) {
		free(t);
		return fp_fail(FP_NOMEM, "out of memory");
	}
	t->settings = s;
	t->dialect = dialect;
	t->hosted = s->store_kind == FP_STORE_LEASES;
	t->has_secret = s->n_secrets > 0;
	t->node_id = node_id;
	t->counters = cs;
	t->hooks = *hooks;
	t->clock = clock;
	t->calls = apr_hash_make(t->pool);
	t->call_times = fp_run_times_init();
	t->execution_times = fp_run_times_init();
	t->bytes = fp_byte_account_init(s->max_held_bytes);
	if (!t->call_times || !t->execution_times || !t->bytes)
		abort();
	t->balancer =
		fp_balancer_init(s->failure_domain, s->region, s->overload_off);
	fp_balancer_set_self(t->balancer, node_id);
	get_counters(t);
	limits_init(t);
	slo_init(t);
	tokens_init(t);
	owner_init(t);
	claim_init(t);
	parts_init(t);
	st = fp_loop_init(clock, &t->loop);
	if (st == FP_OK) {
		cold_init(t);
		speed_init(t);
		execution_init(t);
		st = fp_http_client_init(t->loop, MAX_IDLE_BACKEND, &t->client);
	}
	if (st == FP_OK)
		fp_http_client_limit(t->client, s->max_held_bytes);
	if (st == FP_OK)
		fp_http_client_use(t->client, t->bytes);
	if (st == FP_OK)
		st = open_http(t);
	if (st == FP_OK)
		st = open_peers(t);
	if (st != FP_OK) {
		fp_traffic_end(t);
		return st;
	}
	fp_timer_set(t->loop, &t->tick, fp_loop_now_us(t->loop), on_tick, t);
	*out = t;
	return FP_OK;
}

static void *APR_THREAD_FUNC traffic_thread(apr_thread_t *thread, void *ctx)
{
	struct fp_traffic *t = ctx;

	(void)thread;
	fp_loop_run(t->loop);
	return NULL;
}

enum fp_status fp_traffic_start(struct fp_traffic *t)
{
	if (apr_thread_create(&t->thread, NULL, traffic_thread, t, t->pool) !=
	    APR_SUCCESS)
		return fp_fail(FP_IO, "cannot start the traffic thread");
	return FP_OK;
}

void fp_traffic_halt(struct fp_traffic *t)
{
	apr_status_t rv;

	if (!t || !t->thread)
		return;
	fp_loop_stop(t->loop);
	apr_thread_join(&rv, t->thread);
	t->thread = NULL;
}

void fp_traffic_end(struct fp_traffic *t)
{
	if (!t)
		return;
	fp_traffic_halt(t);
	fp_peer_end(t->peers);
	fp_http_client_end(t->client);
	fp_http_server_end(t->callers);
	fp_http_server_end(t->local);
	fp_http_server_end(t->ready);
	fp_config_end(t->config);
	free(t->members);
	fp_balancer_end(t->balancer);
	limits_end(t);
	fp_slo_end(t->slo);
	tokens_end(t);
	owner_end(t);
	claim_shutdown(t);
	fp_admission_end(t->admission);
	cold_end(t);
	speed_end(t);
	parts_end(t);
	fp_byte_account_end(t->bytes);
	free(t->decisions);
	fp_run_times_end(t->call_times);
	fp_run_times_end(t->execution_times);
	fp_loop_end(t->loop);
	apr_pool_destroy(t->pool);
	free(t->reloaded);
	free(t);
}
