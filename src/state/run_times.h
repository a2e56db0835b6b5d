/* run_times.h - how long the requests of each route took lately */
#ifndef FP_STATE_RUN_TIMES_H
#define FP_STATE_RUN_TIMES_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct fp_run_times;

/** Creates an empty record; NULL when out of memory. */
struct fp_run_times *fp_run_times_init(void);

/**
 * Adds a request that has ended.
 *
 * @param route   name of its route
 * @param run_us  how long it took, microseconds
 * @param now_us  monotonic time, microseconds
 */
void fp_run_times_add(struct fp_run_times *r, const char *route, int64_t run_us,
		      int64_t now_us);

/** Reports that a request has taken elapsed_us so far and has not ended. It
 *  does not count as one that has ended. */
void fp_run_times_raise(struct fp_run_times *r, const char *route,
			int64_t elapsed_us, int64_t now_us);

/**
 * Returns how long a request of the route may take, microseconds: half as long
 * again as the longest one of the last seconds.
 *
 * @param limit_us  time after which it ends in any case; returned if that is
 *                  shorter, or if too few requests of the route have ended
 */
int64_t fp_run_times_expect(const struct fp_run_times *r, const char *route,
			    int64_t limit_us, int64_t now_us);

void fp_run_times_end(struct fp_run_times *r);

#ifdef __cplusplus
}
#endif
#endif
