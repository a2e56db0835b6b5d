/* part.h - a node's equal part of an organisation's rate, and where it is used */
#ifndef FP_STATE_PART_H
#define FP_STATE_PART_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "state/share_bucket.h"

#ifdef __cplusplus
extern "C" {
#endif

/** How long a part is committed to a bucket where it is in demand; a node whose
 *  bucket is lost goes without for so long at most, microseconds. */
#define FP_PART_HOLD_US INT64_C(500000)
/** Longest hold, and longest age of a stamp, microseconds. */
#define FP_PART_MAX_SPAN_US INT64_C(60000000)

/** When a node has a part at all, on its own clock. */
struct fp_right {
	int64_t from_us; /**< from here on */
	int64_t until_us; /**< and before this; 0: never had one */
};

/** Whether a node has a part now. */
static inline bool fp_right_holds(const struct fp_right *r, int64_t now_us)
{
	return now_us >= r->from_us && now_us < r->until_us;
}

/** One node's part. */
struct fp_part {
	struct fp_share share; /**< spent here while it is nowhere else */
	uint64_t place; /**< node whose bucket it was committed to last */
	int64_t committed_until_us; /**< place may count it until then */
	uint64_t greeted; /**< node that the stamp is of, or is asked of */
	int64_t stamp_us; /**< its clock in its last answer; 0: none yet */
	int64_t stamped_us; /**< own clock at that answer */
	uint32_t
		fill_permille; /**< of the burst at place, in its last answer */
	bool unanswered; /**< the last commitment has had no answer */
	bool own_use; /**< the share was begun since it is free */
	bool lost; /**< its hold ends without a release */
	int64_t spare_u; /**< millionths of tokens to bridge a lost hold */
	int64_t spare_until_us;
	int64_t spared_us; /**< when it had the last of these */
};

/** What a holder tells a bucket; see fp_pool_commit(). */
struct fp_commitment {
	int64_t hold_us; /**< counts for so long from sending; 0: a greeting */
	bool release; /**< takes the part back at once */
	int64_t sent_us; /**< holder's clock; orders what one holder sends */
	uint32_t parts; /**< of so many parts of the rate it is one; >= 1 */
	int64_t stamp_us; /**< the bucket's clock in its last answer; 0: none */
	int64_t age_us; /**< from that answer's arrival to the sending */
};

/** Begins a part that nobody has used since this process started. */
void fp_part_init(struct fp_part *p);

/** Changes rate, burst or the number of parts. */
void fp_part_set(struct fp_part *p, uint32_t rate_per_s, uint32_t burst,
		 uint32_t parts, int64_t now_us);

/**
 * Prepares a commitment to place, which is to be sent at once.
 *
 * Without a right, while the part is committed elsewhere, or until place has
 * answered the last one, it is a greeting, which leaves the part where it is.
 */
void fp_part_commit(struct fp_part *p, const struct fp_right *r, uint64_t place,
		    int64_t hold_us, int64_t now_us, struct fp_commitment *out);

/**
 * Prepares to take the part back from the place it is committed to.
 *
 * To be called before another place is greeted; of use once fp_part_released()
 * was told that place has answered, and no commitment was sent in between.
 */
void fp_part_release(const struct fp_part *p, int64_t now_us,
		     struct fp_commitment *out);
void fp_part_released(struct fp_part *p, uint64_t place, int64_t now_us);

/**
 * Place answered.
 *
 * @param stamp_us       its clock then
 * @param fill_permille  how full its bucket was
 */
void fp_part_answered(struct fp_part *p, uint64_t place, int64_t stamp_us,
		      uint32_t fill_permille, int64_t now_us);

/** Whether place can be told to count the part at once. */
bool fp_part_can_commit(const struct fp_part *p, const struct fp_right *r,
			uint64_t place, int64_t now_us);

/** Whether the part is committed to a bucket. */
bool fp_part_is_committed(const struct fp_part *p, int64_t now_us);

/**
 * Takes a token out of the part by itself.
 *
 * @param rested  begin with a token when it was in no use of its own before
 * @return FP_OK; FP_EXHAUSTED when none is left; FP_AGAIN while a bucket may
 *         count the part, or there is no right
 */
enum fp_status fp_part_take(struct fp_part *p, const struct fp_right *r,
			    bool rested, int64_t now_us);

/** What bridges a lost bucket that was so full, millionths of a token. */
int64_t fp_part_spare_u(uint32_t rate_per_s, uint32_t burst, uint32_t parts,
			uint32_t fill_permille);

/**
 * Takes one of the tokens that bridge a lost bucket: what the part would have
 * earned while it was held there, of a bucket that had it, for requests that
 * waited meanwhile.
 *
 * @return FP_OK or FP_AGAIN
 */
enum fp_status fp_part_take_spare(struct fp_part *p, const struct fp_right *r,
				  int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
