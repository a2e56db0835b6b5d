/* concurrency_limit.h - how many requests a worker runs at a time */
#ifndef FP_STATE_CONCURRENCY_LIMIT_H
#define FP_STATE_CONCURRENCY_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** State of the limit; zeroed, then fp_concurrency_limit_init(). */
struct fp_concurrency_limit {
	uint32_t limit; /* requests that may run at a time */
	uint32_t top; /* its ceiling, from what the worker announced */
	bool fixed; /* it does not move; the baseline of comparisons */
	uint32_t running;
	int64_t run_us; /* smoothed run time, 0: unknown */
	int64_t deviation_us; /* its smoothed deviation */
	int64_t floor_us; /* minimum of run_us in the current floor period */
	int64_t previous_floor_us; /* minimum in the previous one; 0: unknown */
	int64_t floor_start_us; /* start of the current period */
	int64_t window_us; /* start of the limit window */
	int64_t decreased_us; /* last decrease */
	uint32_t ended; /* in the limit window */
	uint32_t bad; /* of these, failures that a lower limit could avoid */
	uint32_t quick; /* of the bad ones, refusals */
	int64_t finished_us; /* run time of those that finished in time */
	/* requests that ran at the same time and finished: maximum of the
	 * windows of the current period */
	uint32_t finishes;
	uint32_t previous_finishes; /* of the previous period */
	int64_t finishes_start_us; /* start of the current period */
	uint32_t peak_running; /* maximum of running in the limit window */
};

/** Begins at the ceiling. */
void fp_concurrency_limit_init(struct fp_concurrency_limit *l, uint32_t top);
/** Sets the ceiling; a limit that was at its ceiling stays there. */
void fp_concurrency_limit_set_top(struct fp_concurrency_limit *l, uint32_t top);

/** Records that a request started. */
void fp_concurrency_limit_started(struct fp_concurrency_limit *l);
/**
 * Records that a request ended.
 *
 * @param run_us      time at the worker, microseconds
 * @param overloaded  the worker refused it for load, or it ran out of time
 */
void fp_concurrency_limit_ended(struct fp_concurrency_limit *l, int64_t run_us,
				bool overloaded, int64_t now_us);
/** Records that a started request was not run although there was room; nothing
 *  is learned from it. */
void fp_concurrency_limit_not_run(struct fp_concurrency_limit *l);
/** Moves the limit if its window is over. */
void fp_concurrency_limit_update(struct fp_concurrency_limit *l,
				 int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
