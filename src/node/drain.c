/*
 * drain.c - the planned stop as seen by the traffic thread
 *
 * A stopping process passes on only what it can finish before it exits
 * (drain_limit.c). That is decided in three places
 * that together see every request: before a call is begun (call_begin), before
 * each attempt of it is sent (call_send), and before the worker of this node
 * gets an execution (execution.c). Calls and executions that wait for a token,
 * a claim, a link or a slot are looked at in each tick, and refused as soon as
 * they can no longer be finished.
 */
#include <inttypes.h>

#include "base/log.h"
#include "node/call.h"
#include "state/drain_limit.h"

/* Time reserved at the end of the grace period, before the process is killed,
 * for the process to exit. */
#define KILL_MARGIN_US (400 * FP_US_PER_MS)

/* When the process exits although calls are in flight, loop clock. */
static int64_t exit_us(const struct fp_traffic *t)
{
	return t->drain_started_us + t->settings->grace_us - KILL_MARGIN_US;
}

static bool can_finish(const struct fp_traffic *t,
		       const struct fp_run_times *times,
		       const struct fp_drain_request *r)
{
	struct fp_drain_limit limit = { .started_us = t->drain_started_us };

	if (!t->draining)
		return true;
	if (t->drained_reported)
		return false;
	limit.exit_us = exit_us(t);
	return fp_drain_can_finish(&limit, times, r, fp_loop_now_us(t->loop));
}

bool drain_can_finish_call(const struct call *c)
{
	struct fp_drain_request r = { .route = c->msg.route,
				      .arrived_us = c->started_us,
				      .deadline_us = c->deadline_us };

	return can_finish(c->t, c->t->call_times, &r);
}

/* The worker of a stopping process begins nothing after FP_DRAIN_ACCEPT_US, so
 * its executions are all early ones. */
bool drain_can_finish_execution(const struct fp_traffic *t, const char *route,
				int64_t deadline_us)
{
	struct fp_drain_request r = { .route = route,
				      .arrived_us = t->drain_started_us,
				      .deadline_us = deadline_us };

	return can_finish(t, t->execution_times, &r);
}

void drain_begin(struct fp_traffic *t)
{
	t->draining = true;
	t->drain_started_us = fp_loop_now_us(t->loop);
	fp_log(FP_LOG_INFO, "draining",
	       "calls=%u executions=%u exit_in_ms=%" PRId64, t->n_calls,
	       t->n_executions,
	       (exit_us(t) - t->drain_started_us) / FP_US_PER_MS);
	/* A hosted node may be stopped while its worker keeps running. The
	 * worker then still serves other nodes while this node's callers move
	 * to them. */
	if (!t->hosted)
		traffic_withdraw_worker(t, t->drain_started_us);
	fp_http_server_disable_keep_alive(t->callers);
}

/* Calls in flight count with the time that they have taken so far, so that a
 * worker that has become slow shows before it answers. */
static void note_calls_in_flight(struct fp_traffic *t, int64_t now_us)
{
	const struct call *c;

	for (c = t->open_calls; c; c = c->next)
		if (c->corr)
			fp_run_times_raise(t->call_times, c->msg.route,
					   now_us - c->started_us, now_us);
}

/* Returns a call that waits and cannot be finished any more, or NULL. */
static struct call *next_unfinishable(struct fp_traffic *t)
{
	struct call *c;

	for (c = t->open_calls; c; c = c->next)
		if (!c->corr && !drain_can_finish_call(c))
			return c;
	return NULL;
}

static void refuse_unfinishable(struct fp_traffic *t)
{
	struct call *c;

	while ((c = next_unfinishable(t)))
		call_refuse_stopping(c);
	execution_refuse_unfinishable(t);
}

void drain_tick(struct fp_traffic *t, int64_t now_us)
{
	int64_t spent_us = now_us - t->drain_started_us;
	uint32_t open;

	if (t->drained_reported)
		return;
	note_calls_in_flight(t, now_us);
	refuse_unfinishable(t);
	if (spent_us < FP_DRAIN_ACCEPT_US)
		return;
	traffic_withdraw_worker(t, now_us);
	fp_http_server_quiesce(t->callers);
	/* Held acknowledgements do not delay the exit: the worker repeats the
	 * announcement to the next process. */
	open = fp_http_server_open_exchanges(t->callers) +
	       fp_http_server_open_exchanges(t->local) - t->n_held_acks;
	if ((t->n_calls || t->n_executions || open ||
	     fp_peer_has_unsent(t->peers)) &&
	    now_us < exit_us(t))
		return;
	fp_log(FP_LOG_INFO, "drained",
	       "calls=%u executions=%u exchanges=%u spent_ms=%" PRId64,
	       t->n_calls, t->n_executions, open, spent_us / FP_US_PER_MS);
	t->drained_reported = true;
	t->hooks.drained(t->hooks.ctx);
}
