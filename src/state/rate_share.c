/*
 * rate_share.c - a node's equal share of an organisation's rate
 *
 * Each node has one of n equal shares of an organisation's rate. It commits its
 * share to the bucket at the organisation's owner for a short time and renews
 * the commitment. The owner grants the committed shares of all nodes to the
 * nodes that need them. A node that loses its connection to the owner uses its
 * share locally or commits it to another owner, but not before its last
 * commitment has expired at the owner or the owner has confirmed its release.
 * So a share is used by at most one node or bucket at any moment, and all nodes
 * together spend at most the sum of the shares, whatever members or owner each
 * node assumes.
 *
 * Both sides count the end of a commitment from the moment of sending, and
 * messages may be delayed. So each commitment carries the owner's clock reading
 * from its last answer and the time since that answer arrived: reading plus age
 * is never later than the sending.
 *
 * Nodes without demand commit for long. When demand begins, a short commitment
 * replaces the long one: at the owner when it arrives, and here when the answer
 * shows by the owner's clock that it arrived in time.
 *
 * While a share is committed to an unreachable owner, no node can grant it.
 * What it would have earned is covered by reserve tokens, taken from the tokens
 * that were in the bucket: the owner, if it still runs, removes the same
 * amount. An organisation above its rate gets no reserve, since its bucket is
 * empty. A process that starts also uses a reserve, for the commitments of its
 * predecessor.
 *
 * In a large fleet a node's reserve may be less than a token. What the node has
 * not used of it therefore goes with the next commitment, and the bucket grants
 * the sum of these amounts.
 *
 * A share becomes invalid by itself, before the other nodes divide the rate
 * without this node (directory_members.c).
 */
#include "state/rate_share.h"

/* Minimum time between two reserves of one node: an owner that is repeatedly
 * unreachable may not be running to remove the tokens that a reserve uses. */
#define RESERVE_INTERVAL_US INT64_C(5000000)

void fp_rate_share_init(struct fp_rate_share *p)
{
	*p = (struct fp_rate_share){ .unreleased = true,
				     .fill_permille = 1000 };
}

void fp_rate_share_set(struct fp_rate_share *p, uint32_t rate_per_s,
		       uint32_t burst, uint32_t n_shares, int64_t now_us)
{
	fp_share_bucket_set(&p->bucket, rate_per_s, burst, n_shares, now_us);
}

bool fp_rate_share_is_committed(const struct fp_rate_share *p, int64_t now_us)
{
	return now_us < p->committed_until_us;
}

bool fp_rate_share_can_commit(const struct fp_rate_share *p,
			      const struct fp_share_validity *v, uint64_t owner,
			      int64_t now_us)
{
	if (!fp_share_is_valid(v, now_us) || p->probed_owner != owner ||
	    !p->owner_clock_us || p->awaiting_response)
		return false;
	return p->owner == owner || !fp_rate_share_is_committed(p, now_us);
}

int64_t fp_rate_share_reserve_micro(uint32_t rate_per_s, uint32_t burst,
				    uint32_t n_shares, uint32_t fill_permille)
{
	int64_t earned_micro = rate_per_s * FP_RATE_SHARE_HOLD_US;
	int64_t available_micro =
		burst * (FP_MICRO_PER_TOKEN / 1000) * fill_permille;

	return (earned_micro < available_micro ? earned_micro :
						 available_micro) /
	       n_shares;
}

/* Fills the reserve when a commitment has expired without a release. */
static void fill_reserve(struct fp_rate_share *p,
			 const struct fp_share_validity *v, int64_t now_us)
{
	if (!p->unreleased || fp_rate_share_is_committed(p, now_us) ||
	    !fp_share_is_valid(v, now_us))
		return;
	p->unreleased = false;
	if (p->reserve_filled_us &&
	    now_us - p->reserve_filled_us < RESERVE_INTERVAL_US)
		return;
	p->reserve_micro = fp_rate_share_reserve_micro(
		p->bucket.rate_per_s, p->bucket.burst, p->bucket.n_shares,
		p->fill_permille);
	p->reserve_until_us = now_us + FP_RATE_SHARE_RESERVE_US;
	p->reserve_filled_us = now_us;
}

int64_t fp_commitment_end_us(const struct fp_commitment *c)
{
	return c->owner_clock_us + c->owner_clock_age_us -
	       c->owner_clock_age_us / FP_RATE_SHARE_DRIFT_DIVISOR +
	       c->hold_us - c->hold_us / FP_RATE_SHARE_DRIFT_DIVISOR - 1;
}

static void fill_commitment(const struct fp_rate_share *p, int64_t now_us,
			    struct fp_commitment *out)
{
	out->hold_us = 0;
	out->release = false;
	out->sent_us = now_us;
	out->n_shares = p->bucket.n_shares ? p->bucket.n_shares : 1;
	out->reserve_micro = 0;
	out->owner_clock_us = p->owner_clock_us;
	out->owner_clock_age_us =
		p->owner_clock_us ? now_us - p->owner_clock_read_us : 0;
}

void fp_rate_share_commit(struct fp_rate_share *p,
			  const struct fp_share_validity *v, uint64_t owner,
			  int64_t hold_us, int64_t now_us,
			  struct fp_commitment *out)
{
	int64_t left_us = v->until_us - now_us;

	if (p->probed_owner != owner ||
	    now_us - p->owner_clock_read_us > FP_RATE_SHARE_MAX_SPAN_US) {
		p->probed_owner = owner;
		p->owner_clock_us = 0;
		p->awaiting_response = false;
	}
	fill_commitment(p, now_us, out);
	p->unanswered_until_us = 0;
	if (!fp_rate_share_can_commit(p, v, owner, now_us))
		return;
	fill_reserve(p, v, now_us);
	if (now_us < p->reserve_until_us)
		out->reserve_micro = p->reserve_micro;
	p->reserve_micro = 0;
	out->hold_us = hold_us < left_us ? hold_us : left_us;
	p->owner = owner;
	p->awaiting_response = true;
	p->used_locally = false;
	p->unreleased = true;
	p->unanswered_until_us = now_us + out->hold_us;
	p->unanswered_owner_us = fp_commitment_end_us(out);
	if (p->unanswered_until_us > p->committed_until_us)
		p->committed_until_us = p->unanswered_until_us;
}

void fp_rate_share_release(const struct fp_rate_share *p, int64_t now_us,
			   struct fp_commitment *out)
{
	fill_commitment(p, now_us, out);
	out->release = true;
}

void fp_rate_share_release_confirmed(struct fp_rate_share *p, uint64_t owner,
				     int64_t now_us)
{
	if (p->owner != owner || p->committed_until_us <= now_us)
		return;
	p->committed_until_us = now_us;
	p->unreleased = false;
}

void fp_rate_share_handle_response(struct fp_rate_share *p, uint64_t owner,
				   int64_t owner_clock_us,
				   uint32_t fill_permille, int64_t now_us)
{
	if (p->probed_owner != owner)
		return;
	p->owner_clock_us = owner_clock_us;
	p->owner_clock_read_us = now_us;
	/* A bucket without this share does not show how much of the share the
	 * organisation uses. */
	if (p->owner == owner)
		p->fill_permille = fill_permille;
	/* The owner counts from its last clock reading, so it ignores a
	 * commitment that arrives after its end. */
	if (p->owner == owner && p->unanswered_until_us &&
	    owner_clock_us < p->unanswered_owner_us)
		p->committed_until_us = p->unanswered_until_us;
	p->unanswered_until_us = 0;
	p->awaiting_response = false;
}

enum fp_status fp_rate_share_take_reserve(struct fp_rate_share *p,
					  const struct fp_share_validity *v,
					  int64_t now_us)
{
	fill_reserve(p, v, now_us);
	if (now_us >= p->reserve_until_us ||
	    p->reserve_micro < FP_MICRO_PER_TOKEN)
		return FP_AGAIN;
	p->reserve_micro -= FP_MICRO_PER_TOKEN;
	return FP_OK;
}

enum fp_status fp_rate_share_take(struct fp_rate_share *p,
				  const struct fp_share_validity *v,
				  bool initial_token, int64_t now_us)
{
	if (fp_rate_share_is_committed(p, now_us) ||
	    !fp_share_is_valid(v, now_us))
		return FP_AGAIN;
	if (!p->used_locally)
		fp_share_bucket_restart(&p->bucket,
					initial_token ? FP_MICRO_PER_TOKEN : 0,
					now_us);
	p->used_locally = true;
	return fp_share_bucket_take(&p->bucket, now_us);
}
