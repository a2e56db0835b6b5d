/* rate_share.h - a node's equal share of an organisation's rate */
#ifndef FP_STATE_RATE_SHARE_H
#define FP_STATE_RATE_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "state/share_bucket.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Validity of a reserve from when it is filled, and at a bucket that gets it,
 *  microseconds. No request waits for a token for longer. */
#define FP_RATE_SHARE_RESERVE_US INT64_C(1000000)
/** Duration of a commitment to a bucket that is in demand, microseconds. A node
 * that loses its connection to the owner cannot use its share until this time
 * has passed since its last commitment. */
#define FP_RATE_SHARE_HOLD_US INT64_C(500000)
/** Longest commitment, and longest age of a clock reading, microseconds. */
#define FP_RATE_SHARE_MAX_SPAN_US INT64_C(60000000)

/** When a node's share is valid, on its own clock. */
struct fp_share_validity {
	int64_t from_us; /**< start */
	int64_t until_us; /**< end, exclusive; 0: was never valid */
};

/** Whether the node's share is valid now. */
static inline bool fp_share_is_valid(const struct fp_share_validity *v,
				     int64_t now_us)
{
	return now_us >= v->from_us && now_us < v->until_us;
}

/** One node's share of an organisation's rate. */
struct fp_rate_share {
	/** used while the share is not committed */
	struct fp_share_bucket bucket;
	uint64_t owner; /**< node to which it was last committed */
	int64_t committed_until_us; /**< end of the last commitment */
	/** end of the last commitment, if the owner accepted it; 0: none is
	 *  unanswered */
	int64_t unanswered_until_us;
	/** end of that commitment on the owner's clock, as the owner counts */
	int64_t unanswered_owner_us;
	uint64_t probed_owner; /**< owner whose clock is or will be read */
	/** clock of probed_owner in its last answer; 0: none yet */
	int64_t owner_clock_us;
	int64_t owner_clock_read_us; /**< own clock at that answer */
	/** fill of the owner's bucket in its last answer */
	uint32_t fill_permille;
	bool awaiting_response; /**< the last commitment is unanswered */
	bool used_locally; /**< used since the last commitment ended */
	/** the last commitment was not released, and no reserve covered it */
	bool unreleased;
	int64_t reserve_micro; /**< reserve tokens, millionths */
	int64_t reserve_until_us;
	/** when the reserve was last filled; 0: never */
	int64_t reserve_filled_us;
};

/** Largest drift between two clocks: a span of another clock is reduced by span /
 *  this. */
#define FP_RATE_SHARE_DRIFT_DIVISOR 1000

/** Commitment of a share to an owner's bucket; see fp_pool_commit(). */
struct fp_commitment {
	/** valid for this time from sending; 0: clock probe */
	int64_t hold_us;
	bool release; /**< ends the commitment at once */
	/** sender's clock; orders the messages of one sender */
	int64_t sent_us;
	uint32_t n_shares; /**< number of shares of the rate, at least 1 */
	/** the owner's clock in its last answer; 0: none */
	int64_t owner_clock_us;
	/** time from the arrival of that answer to the sending */
	int64_t owner_clock_age_us;
	/** unused reserve of the sender, which it gives to the bucket,
	 *  millionths of a token */
	int64_t reserve_micro;
};

/** Returns the end of a commitment on the owner's clock: never later than the
 *  hold after the actual sending, whatever the clock drift. */
int64_t fp_commitment_end_us(const struct fp_commitment *c);

/** Initialises a share that was not used since this process started. */
void fp_rate_share_init(struct fp_rate_share *p);

/** Sets rate, burst and the number of shares. */
void fp_rate_share_set(struct fp_rate_share *p, uint32_t rate_per_s,
		       uint32_t burst, uint32_t n_shares, int64_t now_us);

/**
 * Prepares a commitment to an owner, to be sent at once.
 *
 * A reserve that was not used locally goes with the commitment. It is only a
 * clock probe (hold_us 0), which does not commit the share, if the
 * share is not valid or is committed to another owner, if there is no recent
 * clock reading of this owner, or if it has not yet answered the last
 * commitment.
 */
void fp_rate_share_commit(struct fp_rate_share *p,
			  const struct fp_share_validity *v, uint64_t owner,
			  int64_t hold_us, int64_t now_us,
			  struct fp_commitment *out);

/**
 * Prepares a message that releases the share from its owner.
 *
 * Call it before the first probe of another owner. When the owner's answer
 * arrives, and no commitment was sent in between, call
 * fp_rate_share_release_confirmed().
 */
void fp_rate_share_release(const struct fp_rate_share *p, int64_t now_us,
			   struct fp_commitment *out);
/** Records that the owner confirmed the release; ends the commitment now. */
void fp_rate_share_release_confirmed(struct fp_rate_share *p, uint64_t owner,
				     int64_t now_us);

/**
 * Records an owner's answer to the last commitment or probe.
 *
 * An accepted commitment replaces a longer one that was sent before it.
 *
 * @param owner_clock_us  the owner's clock when it answered
 * @param fill_permille   fill of its bucket
 */
void fp_rate_share_handle_response(struct fp_rate_share *p, uint64_t owner,
				   int64_t owner_clock_us,
				   uint32_t fill_permille, int64_t now_us);

/** Whether fp_rate_share_commit() would commit the share to that owner now, if
 * the clock reading is not older than FP_RATE_SHARE_MAX_SPAN_US. */
bool fp_rate_share_can_commit(const struct fp_rate_share *p,
			      const struct fp_share_validity *v, uint64_t owner,
			      int64_t now_us);

/** Whether the share is committed to a bucket. */
bool fp_rate_share_is_committed(const struct fp_rate_share *p, int64_t now_us);

/**
 * Takes a token from the share when used locally.
 *
 * @param initial_token  start with one token if the share was not used locally
 *                       since its last commitment
 * @return FP_OK; FP_EXHAUSTED when no token is left; FP_AGAIN while the share
 *         may be committed, or is not valid
 */
enum fp_status fp_rate_share_take(struct fp_rate_share *p,
				  const struct fp_share_validity *v,
				  bool initial_token, int64_t now_us);

/** Returns the reserve of one node that lost its connection to the owner of a
 * bucket with that fill, millionths of a token; n_shares is at least 1. */
int64_t fp_rate_share_reserve_micro(uint32_t rate_per_s, uint32_t burst,
				    uint32_t n_shares, uint32_t fill_permille);

/**
 * Takes a reserve token, for a request that waited while an owner was
 * unreachable.
 *
 * The reserve is what the share would have earned during its commitment to that
 * owner, limited by the tokens that the bucket had.
 *
 * @return FP_OK or FP_AGAIN
 */
enum fp_status fp_rate_share_take_reserve(struct fp_rate_share *p,
					  const struct fp_share_validity *v,
					  int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
