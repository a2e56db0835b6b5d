/* drain_limit.h - which requests a stopping process may still pass on */
#ifndef FP_STATE_DRAIN_LIMIT_H
#define FP_STATE_DRAIN_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "state/run_times.h"

#ifdef __cplusplus
extern "C" {
#endif

/** A planned stop; times of one monotonic clock, microseconds. */
struct fp_drain_limit {
	int64_t started_us; /**< the stop began */
	int64_t exit_us; /**< the process exits, whatever is in flight */
};

/** A request, as far as its end matters. */
struct fp_drain_request {
	const char *route;
	int64_t arrived_us; /**< it was read */
	int64_t deadline_us; /**< it is answered by then in any case */
};

/**
 * Decides whether a request can still be passed on.
 *
 * @param times  how long the requests of its route took lately
 * @return whether it will have been answered when the process exits. For a
 *         request that arrived early in the stop that is an estimate; for a
 *         later one it holds whatever its worker does
 */
bool fp_drain_can_finish(const struct fp_drain_limit *limit,
			 const struct fp_run_times *times,
			 const struct fp_drain_request *r, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
