/* pool.h - equal parts of a rate, pooled by several nodes */
#ifndef FP_STATE_POOL_H
#define FP_STATE_POOL_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** How long a node's part stays after its last ask, microseconds; several asks
 *  of a node whose callers use its part. */
#define FP_POOL_STAY_US INT64_C(2000000)

struct fp_pool;

struct fp_pool *fp_pool_init(void);
/** A node asks; its part is in the pool from now on. */
void fp_pool_join(struct fp_pool *p, uint64_t node, int64_t now_us);
/** Returns how many nodes' parts are in the pool. */
uint32_t fp_pool_parts(struct fp_pool *p, int64_t now_us);
/** NULL is allowed. */
void fp_pool_end(struct fp_pool *p);

#ifdef __cplusplus
}
#endif
#endif
