/* hosted.c - control thread of a node on a platform whose store has leases */
#include "node/hosted.h"

#include <apr_pools.h>
#include <apr_thread_proc.h>
#include <inttypes.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/log.h"
#include "coordination/directory.h"
#include "node/where.h"
#include "transport/http_server.h"

/* Limits of the admin listener. */
#define ADMIN_BODY_BYTES   4096u
#define ADMIN_HEADER_BYTES 8192u
#define ADMIN_CONNECTIONS  16u
/* During a stop the lease is ended this long before the process may exit, so
 * that the store, which responds within 4 ms, receives the request in time. */
#define LEAVE_US (100 * FP_US_PER_MS)

/* Interval of the line with the calls to the store. */
#define CALLS_LOG_US (10 * FP_US_PER_S)
/* Interval of checks of the settings file. */
#define SETTINGS_CHECK_US (2 * FP_US_PER_S)

struct fp_hosted {
	const struct fp_settings *settings;
	struct fp_counters *counters;
	struct fp_loop *loop;
	apr_pool_t *pool;
	apr_thread_t *thread;
	struct fp_traffic *traffic;
	struct fp_registry *registry;
	struct fp_directory *directory;
	struct fp_http_server *admin;
	uint32_t n_members; /* of the last member table */
	const char *settings_path;
	struct stat settings_seen; /* state of the file at the last check */
	struct fp_timer settings_timer; /* next check of the file */
	struct fp_timer calls_timer; /* next line with the calls to the store */
	struct fp_timer leave_timer; /* end of the lease during a stop */
	void (*stopped)(void *ctx);
	void *stopped_ctx;
};

/* --- callbacks of the directory --- */

static void on_config(void *ctx, struct fp_config *c)
{
	struct fp_hosted *h = ctx;

	fp_traffic_set_config(h->traffic, c);
}

static void on_members(void *ctx, struct fp_member_table *m)
{
	struct fp_hosted *h = ctx;

	h->n_members = m->n;
	fp_traffic_set_members(h->traffic, m);
}

static void on_secret(void *ctx,
		      const uint8_t secret[FP_DIRECTORY_SECRET_BYTES])
{
	struct fp_hosted *h = ctx;
	struct fp_settings s = *h->settings;

	memcpy(s.secrets[0], secret, sizeof(s.secrets[0]));
	s.n_secrets = 1;
	fp_traffic_set_secrets(h->traffic, &s);
	sodium_memzero(&s, sizeof(s));
}

static void on_config_confirmed(void *ctx, int64_t requested_us)
{
	struct fp_hosted *h = ctx;

	fp_traffic_confirm_config(h->traffic, requested_us);
}

static void on_share_validity(void *ctx, const struct fp_share_validity *v)
{
	struct fp_hosted *h = ctx;

	fp_traffic_set_share_validity(h->traffic, v);
}

static void on_worker_ended(void *ctx, const struct fp_worker_end *e)
{
	struct fp_hosted *h = ctx;

	fp_traffic_inherit_worker(h->traffic, e);
}

static void on_worker_end_stored(void *ctx, const struct fp_worker_end *e)
{
	struct fp_hosted *h = ctx;

	fp_traffic_worker_end_stored(h->traffic, e);
}

static void on_evacuation(void *ctx, const struct fp_evacuation *e)
{
	struct fp_hosted *h = ctx;

	fp_traffic_set_evacuation(h->traffic, e);
}

static void on_send(void *ctx, const char *addr, const struct fp_msg_shared *m)
{
	struct fp_hosted *h = ctx;

	fp_traffic_send(h->traffic, addr, m);
}

/* --- calls to the store --- */

static void set_call_counters(struct fp_hosted *h)
{
	char label[64];
	int i;

	for (i = 0; i < FP_DIRECTORY_CALL_COUNT; i++) {
		snprintf(label, sizeof(label), "cause=\"%s\"",
			 fp_directory_call_name(i));
		fp_counter_set(fp_counter_get(h->counters,
					      "fulmar_directory_calls_total",
					      label),
			       fp_directory_calls(h->directory, i));
	}
}

static void log_calls(void *ctx)
{
	struct fp_hosted *h = ctx;
	char text[256];
	size_t n = 0;
	int i;

	for (i = 0; i < FP_DIRECTORY_CALL_COUNT && n < sizeof(text); i++)
		n += (size_t)snprintf(text + n, sizeof(text) - n, "%s%s=%u",
				      i ? " " : "", fp_directory_call_name(i),
				      fp_directory_calls(h->directory, i));
	fp_log(FP_LOG_INFO, "store_calls", "%s", text);
	fp_timer_set(h->loop, &h->calls_timer,
		     fp_loop_now_us(h->loop) + CALLS_LOG_US, log_calls, h);
}

/* --- admin listener --- */

static void reply_metrics(struct fp_hosted *h, struct fp_http_exchange *x)
{
	static const struct fp_http_header type = {
		"Content-Type", "text/plain; version=0.0.4"
	};
	size_t len = 0;
	char *text;

	set_call_counters(h);
	text = fp_counters_render(h->counters, &len);

	fp_http_reply(x, text ? 200 : 500, &type, 1, text ? text : "", len);
	free(text);
}

static int64_t value_of(struct fp_hosted *h, const char *name)
{
	return fp_counter_value(fp_counter_get(h->counters, name, ""));
}

static void reply_status(struct fp_hosted *h, struct fp_http_exchange *x)
{
	static const struct fp_http_header type = { "Content-Type",
						    "application/json" };
	const struct fp_evacuation *e = fp_directory_evacuation(h->directory);
	char evacuated[FP_EVACUATION_BYTES];
	char body[512 + FP_EVACUATION_BYTES];
	int n;

	fp_evacuation_format(e, evacuated);
	n = snprintf(body, sizeof(body),
		     "{\"node\": \"%s\", \"service\": \"%s\", "
		     "\"config_revision\": %" PRIu64 ", \"members\": %u, "
		     "\"whole\": %s, \"evacuated\": \"%s\", "
		     "\"evacuation_revision\": %" PRIu64
		     ", \"held_bytes\": %" PRId64
		     ", \"held_bytes_limit\": %" PRId64
		     ", \"bodies_waiting\": %" PRId64 "}\n",
		     h->settings->name, h->settings->service,
		     fp_directory_revision(h->directory), h->n_members,
		     fp_directory_is_ready(h->directory) ? "true" : "false",
		     evacuated, e->revision, value_of(h, "fulmar_held_bytes"),
		     value_of(h, "fulmar_held_bytes_limit"),
		     value_of(h, "fulmar_bodies_waiting"));

	fp_http_reply(x, 200, &type, 1, body, (size_t)n);
}

static void on_request(void *ctx, struct fp_http_exchange *x,
		       const struct fp_http_request *r)
{
	struct fp_hosted *h = ctx;

	if (strcmp(r->uri, "/metrics") == 0)
		reply_metrics(ctx, x);
	else if (strcmp(r->uri, "/v1/status") == 0)
		reply_status(ctx, x);
	else if (strcmp(r->uri, "/v1/where") == 0 &&
		 strcmp(r->method, "POST") == 0)
		where_request(h->loop, h->traffic, x, r);
	else
		fp_http_reply(x, 404, NULL, 0, "", 0);
}

static enum fp_status open_admin(struct fp_hosted *h)
{
	struct fp_http_server_config cfg = {
		.address = h->settings->address,
		.port = h->settings->admin_port,
		.max_body_bytes = ADMIN_BODY_BYTES,
		.max_header_bytes = ADMIN_HEADER_BYTES,
		.max_connections = ADMIN_CONNECTIONS,
	};
	struct fp_http_handler handler = { .request = on_request, .ctx = h };

	return fp_http_server_init(h->loop, &cfg, &handler, &h->admin);
}

/* --- work from other threads --- */

struct posted_worker {
	struct fp_hosted *h;
	uint32_t slots;
	int64_t warm_ms;
	bool serving;
	struct fp_worker_end end;
};

static void apply_worker(void *ctx)
{
	struct posted_worker *w = ctx;

	fp_directory_set_worker(w->h->directory, w->slots, w->warm_ms,
				w->serving);
	fp_directory_set_worker_end(w->h->directory, &w->end);
	free(w);
}

void fp_hosted_worker(struct fp_hosted *h, const struct fp_worker *w)
{
	struct posted_worker *copy = malloc(sizeof(*copy));

	if (!copy)
		abort();
	*copy = (struct posted_worker){ .h = h,
					.slots = w->slots,
					.warm_ms = w->warm_until_ms,
					.serving = w->serving };
	if (w->leaving) {
		memcpy(copy->end.instance, w->instance,
		       sizeof(copy->end.instance));
		copy->end.started_ms = w->started_ms;
		copy->end.sequence = w->sequence;
		copy->end.deregistered = w->deregistered;
	}
	fp_loop_post(h->loop, apply_worker, copy);
}

struct posted_message {
	struct fp_hosted *h;
	char addr[FP_MEMBER_ADDR_BYTES];
	struct fp_msg_shared m;
};

static void handle_message(void *ctx)
{
	struct posted_message *k = ctx;

	fp_directory_message(k->h->directory, k->addr, &k->m);
	free(k);
}

void fp_hosted_message(struct fp_hosted *h, const char *addr,
		       const struct fp_msg_shared *m)
{
	struct posted_message *k = calloc(1, sizeof(*k));

	if (!k)
		abort();
	k->h = h;
	strncpy(k->addr, addr, sizeof(k->addr) - 1);
	k->m = *m;
	fp_loop_post(h->loop, handle_message, k);
}

static void on_leave(void *ctx)
{
	struct fp_hosted *h = ctx;

	fp_directory_leave(h->directory);
}

static void begin_stop(void *ctx)
{
	struct fp_hosted *h = ctx;

	fp_log(FP_LOG_INFO, "stopping", "node=%s", h->settings->name);
	fp_timer_set(h->loop, &h->leave_timer,
		     fp_loop_now_us(h->loop) + FP_DRAIN_ACCEPT_US - LEAVE_US,
		     on_leave, h);
	fp_traffic_drain(h->traffic);
}

void fp_hosted_stop(struct fp_hosted *h, void (*stopped)(void *ctx), void *ctx)
{
	h->stopped = stopped;
	h->stopped_ctx = ctx;
	fp_loop_post(h->loop, begin_stop, h);
}

static void handle_drained(void *ctx)
{
	struct fp_hosted *h = ctx;

	h->stopped(h->stopped_ctx);
}

void fp_hosted_drained(struct fp_hosted *h)
{
	fp_loop_post(h->loop, handle_drained, h);
}

/* --- settings file --- */

static bool same_file(const struct stat *a, const struct stat *b)
{
	return a->st_ino == b->st_ino && a->st_size == b->st_size &&
	       a->st_mtim.tv_sec == b->st_mtim.tv_sec &&
	       a->st_mtim.tv_nsec == b->st_mtim.tv_nsec;
}

static void check_settings(void *ctx)
{
	struct fp_hosted *h = ctx;
	struct stat now;

	/* The file may be missing while it is replaced: wait for the next
	 * check. */
	if (stat(h->settings_path, &now) == 0) {
		if (!same_file(&now, &h->settings_seen))
			kill(getpid(), SIGHUP);
		h->settings_seen = now;
	}
	fp_timer_set(h->loop, &h->settings_timer,
		     fp_loop_now_us(h->loop) + SETTINGS_CHECK_US,
		     check_settings, h);
}

static void begin_watch(void *ctx)
{
	struct fp_hosted *h = ctx;

	if (stat(h->settings_path, &h->settings_seen) != 0)
		memset(&h->settings_seen, 0, sizeof(h->settings_seen));
	check_settings(h);
	log_calls(h);
}

void fp_hosted_watch_settings(struct fp_hosted *h, const char *path)
{
	h->settings_path = path;
	fp_loop_post(h->loop, begin_watch, h);
}

/* --- life cycle --- */

static void fill_self(const struct fp_settings *s, uint64_t id,
		      struct fp_member *m)
{
	m->id = id;
	memcpy(m->name, s->name, sizeof(m->name));
	memcpy(m->failure_domain, s->failure_domain, sizeof(m->failure_domain));
	memcpy(m->region, s->region, sizeof(m->region));
	memcpy(m->service, s->service, sizeof(m->service));
	snprintf(m->peer_addr, sizeof(m->peer_addr), "%.15s:%u", s->address,
		 s->peer_port);
}

static enum fp_status open_all(struct fp_hosted *h, const struct fp_platform *p,
			       uint64_t id, struct fp_clock *clock)
{
	const struct fp_settings *s = h->settings;
	struct fp_directory_ops ops = { .config = on_config,
					.members = on_members,
					.secret = on_secret,
					.config_confirmed = on_config_confirmed,
					.share_validity = on_share_validity,
					.worker_ended = on_worker_ended,
					.worker_end_stored =
						on_worker_end_stored,
					.evacuation = on_evacuation,
					.send = on_send,
					.ctx = h };
	struct fp_directory_config cfg = { .clock = clock,
					   .dialect = p->dialect };
	enum fp_status st = fp_loop_init(clock, &h->loop);

	if (st == FP_OK)
		st = p->registry_init(h->loop, s->store_url,
				      s->store_timeout_ms * FP_US_PER_MS,
				      h->counters, &h->registry);
	if (st == FP_OK)
		st = open_admin(h);
	if (st != FP_OK)
		return st;
	cfg.registry = h->registry;
	fill_self(s, id, &cfg.self);
	h->directory = fp_directory_init(h->loop, &cfg, &ops);
	return h->directory ? FP_OK : fp_fail(FP_NOMEM, "out of memory");
}

enum fp_status fp_hosted_init(const struct fp_settings *s,
			      const struct fp_platform *p, uint64_t node_id,
			      struct fp_clock *clock, struct fp_counters *cs,
			      struct fp_hosted **out)
{
	struct fp_hosted *h = calloc(1, sizeof(*h));
	enum fp_status st;

	if (!h || apr_pool_create(&h->pool, NULL) != APR_SUCCESS) {
		free(h);
		return fp_fail(FP_NOMEM, "out of memory");
	}
	h->settings = s;
	h->counters = cs;
	st = open_all(h, p, node_id, clock);
	if (st != FP_OK) {
		fp_hosted_end(h);
		return st;
	}
	*out = h;
	return FP_OK;
}

void fp_hosted_set_traffic(struct fp_hosted *h, struct fp_traffic *t)
{
	h->traffic = t;
}

static void *APR_THREAD_FUNC control_thread(apr_thread_t *thread, void *ctx)
{
	struct fp_hosted *h = ctx;

	(void)thread;
	fp_loop_run(h->loop);
	return NULL;
}

enum fp_status fp_hosted_start(struct fp_hosted *h)
{
	if (apr_thread_create(&h->thread, NULL, control_thread, h, h->pool) !=
	    APR_SUCCESS)
		return fp_fail(FP_IO, "cannot start the control thread");
	return FP_OK;
}

void fp_hosted_halt(struct fp_hosted *h)
{
	apr_status_t rv;

	if (!h || !h->thread)
		return;
	fp_loop_stop(h->loop);
	apr_thread_join(&rv, h->thread);
	h->thread = NULL;
}

void fp_hosted_end(struct fp_hosted *h)
{
	if (!h)
		return;
	fp_hosted_halt(h);
	fp_http_server_end(h->admin);
	fp_directory_close(h->directory);
	if (h->registry)
		h->registry->ops->end(h->registry);
	fp_directory_end(h->directory);
	fp_loop_end(h->loop);
	apr_pool_destroy(h->pool);
	free(h);
}
