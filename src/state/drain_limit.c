/*
 * drain_limit.c - which requests a stopping process may still pass on
 *
 * A refusal costs the caller a retry, or the request if it has no other node yet.
 * A request that is cut by the exit costs more: its caller cannot know whether it
 * ran. Early in a stop few callers have another node, and the exit is far away, so
 * the estimate of run_times.c decides. Callers that still send later have seen
 * the node's readiness end, and what they send ends near the exit. No estimate
 * holds there, since any request may take longer than all before it; only its
 * deadline does.
 */
#include "state/drain_limit.h"

#include "base/clock.h"

/* Callers may rely on an answer to what they send later than 3 s after the
 * signal; the signal may be noticed up to 0.2 s late. */
#define ESTIMATE_US (2800 * FP_US_PER_MS)
/* Time to send an answer to its caller. */
#define ANSWER_US (100 * FP_US_PER_MS)

bool fp_drain_can_finish(const struct fp_drain_limit *limit,
			 const struct fp_run_times *times,
			 const struct fp_drain_request *r, int64_t now_us)
{
	int64_t may_take_us = r->deadline_us - now_us;

	if (r->arrived_us - limit->started_us <= ESTIMATE_US)
		may_take_us = fp_run_times_expect(times, r->route, may_take_us,
						  now_us);
	return now_us + may_take_us + ANSWER_US <= limit->exit_us;
}
