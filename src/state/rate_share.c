/*
 * part.c - a node's equal part of an organisation's rate, and where it is used
 *
 * Each node has one of n equal parts of a rate. It commits the part to a bucket
 * for a short time, again and again; there the parts of all nodes that do so
 * are granted to those that need them. Whoever loses the bucket spends its part
 * by itself, or commits it elsewhere, but not before the last commitment is
 * over at the bucket, or the bucket has confirmed its release. So a part is in one place at any moment, and what all
 * nodes may spend is at most the sum of the parts, whatever each believes of
 * the members or of who owns the bucket.
 *
 * The end of a commitment is counted from its sending, at both ends, and
 * messages may be late. So the bucket is told how long ago its last answer
 * arrived: its clock in that answer plus this age is not after the sending.
 *
 * While a part is held by a bucket that is lost nobody grants it. What it would
 * have earned is made up for out of the tokens that were there: the bucket, if it
 * lives, gives them up. An organisation that is above its rate gets nothing. A
 * process that starts does the same.
 *
 * The right to a part ends by itself, before the others share the rate without
 * this node (directory_members.c).
 */
#include "state/rate_share.h"

/* Between two bridges of one node: a bucket that is lost again and again is not
 * there to give up what bridges it. */
#define SPARE_EVERY_US INT64_C(5000000)
/* Nothing that waited longer can use it. */
#define SPARE_US INT64_C(1000000)

void fp_part_init(struct fp_part *p)
{
	*p = (struct fp_part){ .lost = true, .fill_permille = 1000 };
}

void fp_part_set(struct fp_part *p, uint32_t rate_per_s, uint32_t burst,
		 uint32_t parts, int64_t now_us)
{
	fp_share_set(&p->share, rate_per_s, burst, parts, now_us);
}

bool fp_part_is_committed(const struct fp_part *p, int64_t now_us)
{
	return now_us < p->committed_until_us;
}

bool fp_part_can_commit(const struct fp_part *p, const struct fp_right *r,
			uint64_t place, int64_t now_us)
{
	if (!fp_right_holds(r, now_us) || p->greeted != place || !p->stamp_us ||
	    p->unanswered)
		return false;
	return p->place == place || !fp_part_is_committed(p, now_us);
}

static void describe(const struct fp_part *p, int64_t now_us,
		     struct fp_commitment *out)
{
	out->hold_us = 0;
	out->release = false;
	out->sent_us = now_us;
	out->parts = p->share.parts ? p->share.parts : 1;
	out->stamp_us = p->stamp_us;
	out->age_us = p->stamp_us ? now_us - p->stamped_us : 0;
}

void fp_part_commit(struct fp_part *p, const struct fp_right *r, uint64_t place,
		    int64_t hold_us, int64_t now_us, struct fp_commitment *out)
{
	int64_t left_us = r->until_us - now_us;

	if (p->greeted != place ||
	    now_us - p->stamped_us > FP_PART_MAX_SPAN_US) {
		p->greeted = place;
		p->stamp_us = 0;
		p->unanswered = false;
	}
	describe(p, now_us, out);
	if (!fp_part_can_commit(p, r, place, now_us))
		return;
	out->hold_us = hold_us < left_us ? hold_us : left_us;
	p->place = place;
	p->unanswered = true;
	p->own_use = false;
	p->lost = true;
	if (now_us + out->hold_us > p->committed_until_us)
		p->committed_until_us = now_us + out->hold_us;
}

void fp_part_release(const struct fp_part *p, int64_t now_us,
		     struct fp_commitment *out)
{
	describe(p, now_us, out);
	out->release = true;
}

void fp_part_released(struct fp_part *p, uint64_t place, int64_t now_us)
{
	if (p->place != place || p->committed_until_us <= now_us)
		return;
	p->committed_until_us = now_us;
	p->lost = false;
}

void fp_part_answered(struct fp_part *p, uint64_t place, int64_t stamp_us,
		      uint32_t fill_permille, int64_t now_us)
{
	if (p->greeted != place)
		return;
	p->stamp_us = stamp_us;
	p->stamped_us = now_us;
	/* A bucket without the part says nothing of the organisation's use. */
	if (p->place == place)
		p->fill_permille = fill_permille;
	p->unanswered = false;
}

int64_t fp_part_spare_u(uint32_t rate_per_s, uint32_t burst, uint32_t parts,
			uint32_t fill_permille)
{
	int64_t earned_u = rate_per_s * FP_PART_HOLD_US;
	int64_t there_u = burst * (FP_SHARE_TOKEN_U / 1000) * fill_permille;

	return (earned_u < there_u ? earned_u : there_u) / parts;
}

/* Fills the spare tokens when the hold of a lost bucket has ended. */
static void bridge(struct fp_part *p, const struct fp_right *r, int64_t now_us)
{
	if (!p->lost || fp_part_is_committed(p, now_us) ||
	    !fp_right_holds(r, now_us))
		return;
	p->lost = false;
	if (p->spared_us && now_us - p->spared_us < SPARE_EVERY_US)
		return;
	p->spare_u = fp_part_spare_u(p->share.rate_per_s, p->share.burst,
				     p->share.parts, p->fill_permille);
	p->spare_until_us = now_us + SPARE_US;
	p->spared_us = now_us;
}

enum fp_status fp_part_take_spare(struct fp_part *p, const struct fp_right *r,
				  int64_t now_us)
{
	bridge(p, r, now_us);
	if (now_us >= p->spare_until_us || p->spare_u < FP_SHARE_TOKEN_U)
		return FP_AGAIN;
	p->spare_u -= FP_SHARE_TOKEN_U;
	return FP_OK;
}

enum fp_status fp_part_take(struct fp_part *p, const struct fp_right *r,
			    bool rested, int64_t now_us)
{
	if (fp_part_is_committed(p, now_us) || !fp_right_holds(r, now_us))
		return FP_AGAIN;
	if (!p->own_use)
		fp_share_restart(&p->share, rested ? FP_SHARE_TOKEN_U : 0,
				 now_us);
	p->own_use = true;
	return fp_share_take(&p->share, now_us);
}
