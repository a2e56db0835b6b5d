/* pool.h - an organisation's bucket, with the rate of the parts in it */
#ifndef FP_STATE_POOL_H
#define FP_STATE_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "state/rate_share.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fp_pool;

/** What a pool has now. */
struct fp_pool_view {
	uint32_t parts; /**< committed by so many nodes */
	uint32_t permille; /**< their share of the whole rate */
	uint32_t rate_per_s; /**< of the bucket */
	uint32_t fill_permille; /**< of the whole burst, there now */
	bool in_use; /**< it has, or had lately, parts */
};

/** Makes an empty pool; epoch as in fp_bucket_init(). */
struct fp_pool *fp_pool_init(uint64_t epoch, int64_t now_us);

/** Tells the organisation's rate and burst over the whole fleet. */
void fp_pool_set_rate(struct fp_pool *p, uint32_t rate_per_s, uint32_t burst,
		      int64_t now_us);

/** A node commits its part, releases it, or greets. */
void fp_pool_commit(struct fp_pool *p, uint64_t node,
		    const struct fp_commitment *c, int64_t now_us);

/**
 * Grants tokens as fp_bucket_grant() does.
 *
 * @return also FP_UNAVAILABLE, when the parts give less than one token a second
 */
enum fp_status fp_pool_grant(struct fp_pool *p, uint32_t want, int64_t now_us,
			     uint64_t *grant_id, uint32_t *granted,
			     int64_t *wait_us);

/** Closes a grant; as fp_bucket_return(). */
enum fp_status fp_pool_return(struct fp_pool *p, uint64_t grant_id,
			      uint32_t unspent, int64_t now_us);

/** Brings the pool up to date and reads it. */
void fp_pool_read(struct fp_pool *p, int64_t now_us, struct fp_pool_view *out);

/** NULL is allowed. */
void fp_pool_end(struct fp_pool *p);

#ifdef __cplusplus
}
#endif
#endif
