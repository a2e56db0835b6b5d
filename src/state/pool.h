/* pool.h - an organisation's bucket, filled at the rate of the committed
 * shares */
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

/** Current state of a pool. */
struct fp_pool_view {
	uint32_t n_shares; /**< number of committed shares */
	uint32_t committed_permille; /**< their fraction of the fleet's rate */
	uint32_t rate_per_s; /**< refill rate of the bucket */
	/** tokens in the bucket, permille of the fleet's burst */
	uint32_t fill_permille;
	/** a share is committed, or was released within the last
	 * FP_RATE_SHARE_MAX_SPAN_US */
	bool in_use;
};

/** Makes an empty pool; epoch as owner_epoch of fp_bucket_init(). NULL when out
 * of memory. */
struct fp_pool *fp_pool_init(uint64_t epoch, int64_t now_us);

/** Sets the organisation's rate and burst over the whole fleet. */
void fp_pool_set_rate(struct fp_pool *p, uint32_t rate_per_s, uint32_t burst,
		      int64_t now_us);

/**
 * Processes a commitment, a release or a clock probe of a node.
 *
 * A message that was sent before the last one processed of the same node is
 * ignored, and so is a commitment that has expired or has no reading of this
 * owner's clock. Aborts when out of memory.
 */
void fp_pool_commit(struct fp_pool *p, uint64_t node,
		    const struct fp_commitment *c, int64_t now_us);

/**
 * Grants tokens as fp_bucket_grant() does, and out of the reserves of nodes when
 * the bucket is empty; what is not spent of the latter is not taken back.
 *
 * @return also FP_UNAVAILABLE, when the committed shares give less than one
 *         token per second
 */
enum fp_status fp_pool_grant(struct fp_pool *p, uint32_t want, int64_t now_us,
			     uint64_t *grant_id, uint32_t *granted,
			     int64_t *wait_us);

/** Closes a grant; as fp_bucket_return(). */
enum fp_status fp_pool_return(struct fp_pool *p, uint64_t grant_id,
			      uint32_t unspent, int64_t now_us);

/** Updates the pool to now_us and reads its state. */
void fp_pool_read(struct fp_pool *p, int64_t now_us, struct fp_pool_view *out);

/** Frees a pool; NULL is allowed. */
void fp_pool_end(struct fp_pool *p);

#ifdef __cplusplus
}
#endif
#endif
