/* cold_rate.h - paces the starts of requests at a worker that is cold */
#ifndef FP_STATE_COLD_RATE_H
#define FP_STATE_COLD_RATE_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Highest rate of a cold worker, requests per second; a higher one counts as
 *  this. */
#define FP_COLD_RATE_MAX 1024

struct fp_cold_rate;

/** Makes the state of a worker without a cold rate; NULL when out of memory. */
struct fp_cold_rate *fp_cold_rate_init(void);

/**
 * Sets what a cold worker tolerates.
 *
 * @param per_s     requests per second; 0: the worker is never paced
 * @param start_us  longest time that it stays cold without saying so again
 */
void fp_cold_rate_set(struct fp_cold_rate *c, uint32_t per_s, int64_t start_us);

/** The worker reported that it stays cold for left_us; 0: it is warm. In the
 *  first two seconds after fp_cold_rate_assume() a shorter time is ignored. */
void fp_cold_rate_reported(struct fp_cold_rate *c, int64_t left_us,
			   int64_t now_us);

/** Nothing is known any more: the worker counts as cold until it says
 *  otherwise, for as long as a start takes at most. */
void fp_cold_rate_assume(struct fp_cold_rate *c, int64_t now_us);

/** Time that the worker counts as cold from now on; 0: it is warm or has no
 *  cold rate. */
int64_t fp_cold_rate_left_us(const struct fp_cold_rate *c, int64_t now_us);

/** Time until the next request may start; 0: now. */
int64_t fp_cold_rate_wait_us(const struct fp_cold_rate *c, int64_t now_us);

/** Records that a request starts now; call it for warm workers too. */
void fp_cold_rate_started(struct fp_cold_rate *c, int64_t now_us);

/** Starts within the last second, at most the cold rate. */
uint32_t fp_cold_rate_recent(const struct fp_cold_rate *c, int64_t now_us);

/** Frees the state; NULL is allowed. */
void fp_cold_rate_end(struct fp_cold_rate *c);

#ifdef __cplusplus
}
#endif
#endif
