/* share.h - one node's part of an organisation's rate and burst */
#ifndef FP_STATE_SHARE_H
#define FP_STATE_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Millionths of a token in one. */
#define FP_SHARE_TOKEN_U INT64_C(1000000)

/** A token bucket that holds one of n equal parts; zeroed before first use. */
struct fp_share {
	uint32_t rate_per_s; /**< of the whole fleet; 0: no limit */
	uint32_t burst; /**< of the whole fleet, tokens */
	uint32_t parts; /**< nodes that share it */
	int64_t tokens_u; /**< millionths of a token */
	int64_t at_us; /**< when tokens_u was right */
};

/** Changes rate, burst or number of parts; what is there is kept, as far as
 *  the new burst allows. A new share starts full. */
void fp_share_set(struct fp_share *s, uint32_t rate_per_s, uint32_t burst,
		  uint32_t parts, int64_t now_us);

/** Begins anew, with so many millionths of a token, as far as they fit. */
void fp_share_restart(struct fp_share *s, int64_t tokens_u, int64_t now_us);

/** Takes a token; FP_OK, or FP_EXHAUSTED when there is none. */
enum fp_status fp_share_take(struct fp_share *s, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
