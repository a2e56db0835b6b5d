/*
 * node.c - the node process that runs beside every backend server
 *
 * The main thread only waits for signals. Control and traffic have one thread
 * each, with all handled signals blocked.
 */
#include "node/node.h"

#include <apr_general.h>
#include <curl/curl.h>
#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/counters.h"
#include "base/log.h"
#include "node/control.h"
#include "node/hosted.h"
#include "node/traffic.h"

#define ID_RANDOM_BITS 20 /* low bits of a node id, below the start time */

/* The components of a running node. */
struct node {
	struct fp_settings settings;
	struct fp_settings bounds; /* settings with the last loaded [bounds] */
	struct fp_counters *counters;
	struct fp_control *control; /* NULL on a hosted node */
	struct fp_hosted *hosted; /* NULL on any other node */
	struct fp_traffic *traffic;
};

static void on_worker(void *ctx, const struct fp_worker *w)
{
	struct node *n = ctx;

	if (n->hosted)
		fp_hosted_worker(n->hosted, w);
	else
		fp_control_worker(n->control, w);
}

static void on_drained(void *ctx)
{
	struct node *n = ctx;

	if (n->hosted)
		fp_hosted_drained(n->hosted);
	else
		fp_control_drained(n->control);
}

static void on_to_slice(void *ctx, uint32_t slice, const void *data,
			size_t bytes)
{
	struct node *n = ctx;

	if (n->control)
		fp_control_to_slice(n->control, slice, data, bytes);
}

static void on_crash(void *ctx, uint64_t fingerprint, uint64_t crash_id)
{
	struct node *n = ctx;

	if (n->control)
		fp_control_crash(n->control, fingerprint, crash_id);
}

static void on_config_message(void *ctx, const char *addr,
			      const struct fp_msg_shared *m)
{
	struct node *n = ctx;

	if (n->hosted)
		fp_hosted_message(n->hosted, addr, m);
}

/*
 * Milliseconds since 1970 followed by random bits, so of two processes at one
 * address the one with the higher id started later. 63 bits, since JSON
 * integers are signed.
 */
static uint64_t new_id(struct fp_clock *clock)
{
	uint64_t ms = (uint64_t)(clock->ops->wall_us(clock) / FP_US_PER_MS);

	return (ms << ID_RANDOM_BITS & INT64_MAX) |
	       randombytes_uniform(1u << ID_RANDOM_BITS);
}

static enum fp_status start(struct node *n, const struct fp_platform *p)
{
	bool hosted = n->settings.store_kind == FP_STORE_LEASES;
	struct fp_clock *clock = fp_system_clock();
	struct fp_traffic_hooks hooks = { .worker = on_worker,
					  .drained = on_drained,
					  .to_slice = on_to_slice,
					  .crash = on_crash,
					  .config_message = on_config_message,
					  .ctx = n };
	enum fp_status st;
	uint64_t id;

	id = new_id(clock);
	if (hosted)
		st = fp_hosted_init(&n->settings, p, id, clock, n->counters,
				    &n->hosted);
	else
		st = fp_control_init(&n->settings, id, clock, n->counters,
				     &n->control);
	if (st == FP_OK)
		st = fp_traffic_init(&n->settings,
				     hosted ? p->dialect : &fp_dialect_own, id,
				     clock, n->counters, &hooks, &n->traffic);
	if (st != FP_OK)
		return st;
	if (hosted)
		fp_hosted_set_traffic(n->hosted, n->traffic);
	else
		fp_control_set_traffic(n->control, n->traffic);
	st = fp_traffic_start(n->traffic);
	if (st == FP_OK)
		st = hosted ? fp_hosted_start(n->hosted) :
			      fp_control_start(n->control);
	if (st == FP_OK)
		fp_log(FP_LOG_INFO, "started",
		       "node=%s id=%016" PRIx64 " service=%s domain=%s",
		       n->settings.name, id, n->settings.service,
		       n->settings.failure_domain);
	return st;
}

/* Wakes the main thread with a signal when the stop is complete. */
static void on_stopped(void *ctx)
{
	pthread_t *waiter = ctx;

	pthread_kill(*waiter, SIGUSR1);
}

/* Applies the settings that can change at run time: the [bounds] section on a
 * hosted node, the fleet secrets on any other node. */
static enum fp_status apply_settings(struct node *n,
				     const struct fp_settings *s)
{
	enum fp_status st;

	if (n->control) {
		fp_traffic_set_secrets(n->traffic, s);
		fp_control_set_secrets(n->control, s);
		return FP_OK;
	}
	st = fp_settings_update_bounds(&n->bounds, s);
	if (st == FP_OK)
		fp_traffic_set_settings(n->traffic, &n->bounds);
	return st;
}

static void reload(struct node *n, const char *path)
{
	struct fp_settings s;

	if (fp_settings_load(path, &s) != FP_OK ||
	    apply_settings(n, &s) != FP_OK)
		fp_log(FP_LOG_ERROR, "reload_refused", "why=\"%s\"",
		       fp_last_message());
	else
		fp_log(FP_LOG_INFO, "reloaded",
		       "secrets=%u revoke_ms=%" PRId64 " retry_permille=%u "
		       "retry_floor=%u",
		       s.n_secrets, s.revoke_us / FP_US_PER_MS,
		       s.retry_permille, s.retry_floor);
	sodium_memzero(&s, sizeof(s));
}

static void wait_for_signals(struct node *n, const sigset_t *set,
			     const char *path)
{
	pthread_t self = pthread_self();
	bool stopping = false;
	int sig;

	for (;;) {
		if (sigwait(set, &sig) != 0)
			continue;
		if (sig == SIGUSR1 && stopping)
			return;
		if (sig == SIGHUP)
			reload(n, path);
		if ((sig == SIGTERM || sig == SIGINT) && !stopping) {
			stopping = true;
			if (n->hosted)
				fp_hosted_stop(n->hosted, on_stopped, &self);
			else
				fp_control_stop(n->control, on_stopped, &self);
		}
	}
}

int fp_node_main(const struct fp_settings *s, const char *settings_path,
		 const struct fp_platform *p)
{
	struct node n = { .settings = *s, .bounds = *s };
	sigset_t set;
	int rc = 0;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	sigaddset(&set, SIGUSR1);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	if (apr_initialize() != APR_SUCCESS || sodium_init() < 0 ||
	    curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
		fprintf(stderr, "fulmarpass: cannot initialise APR, libsodium "
				"or libcurl\n");
		return 1;
	}
	fp_log_setup((enum fp_log_level)s->log_level, STDOUT_FILENO);
	n.counters = fp_counters_init();
	if (start(&n, p) == FP_OK) {
		if (n.hosted)
			fp_hosted_watch_settings(n.hosted, settings_path);
		wait_for_signals(&n, &set, settings_path);
		fp_log(FP_LOG_INFO, "stopped", "node=%s", n.settings.name);
	} else {
		fp_log(FP_LOG_ERROR, "start_failed", "why=\"%s\"",
		       fp_last_message());
		rc = 1;
	}
	/* The threads post work to each other, so both must have stopped before
	 * the state of either is freed. */
	fp_traffic_halt(n.traffic);
	fp_control_halt(n.control);
	fp_hosted_halt(n.hosted);
	fp_control_end(n.control);
	fp_hosted_end(n.hosted);
	fp_traffic_end(n.traffic);
	fp_counters_end(n.counters);
	curl_global_cleanup();
	apr_terminate();
	return rc;
}
