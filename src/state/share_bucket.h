/* share_bucket.h - token bucket with one node's share of a rate and burst */
#ifndef FP_STATE_SHARE_BUCKET_H
#define FP_STATE_SHARE_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Millionths per token. */
#define FP_MICRO_PER_TOKEN INT64_C(1000000)

/** Token bucket of one of n equal rate shares; zero it before the first use. */
struct fp_share_bucket {
	uint32_t rate_per_s; /**< of the whole fleet; 0: no limit */
	uint32_t burst; /**< of the whole fleet, tokens */
	uint32_t n_shares; /**< nodes that share the rate */
	int64_t tokens_micro; /**< millionths of a token */
	int64_t updated_us; /**< time up to which tokens are added */
};

/** Sets rate, burst or the number of shares. Tokens are kept up to the new
 * capacity. A new bucket starts full. */
void fp_share_bucket_set(struct fp_share_bucket *s, uint32_t rate_per_s,
			 uint32_t burst, uint32_t n_shares, int64_t now_us);

/** Resets the bucket to tokens_micro, up to its capacity, as of now_us. */
void fp_share_bucket_restart(struct fp_share_bucket *s, int64_t tokens_micro,
			     int64_t now_us);

/** Takes a token; FP_OK, or FP_EXHAUSTED when there is none. */
enum fp_status fp_share_bucket_take(struct fp_share_bucket *s, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
