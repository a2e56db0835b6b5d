/*
 * pool.c - an organisation's bucket, filled at the rate of the committed shares
 *
 * The bucket refills at the sum of the shares that are committed to it, and
 * never faster than the organisation's rate. Commitments expire in the order of
 * their end times, also after this process was paused: the bucket is refilled
 * up to each end at the rate before it.
 *
 * The burst follows the rate. A newly committed share adds only 1 /
 * NEW_SHARE_DIVISOR of its burst until the grants that its previous bucket may
 * have given have expired.
 *
 * Reserves that nodes did not use (rate_share.c) are kept beside the bucket and
 * granted when it is empty. Together they are at most what the whole rate earns
 * in FP_RATE_SHARE_HOLD_US, whatever number of shares the nodes assume.
 */
#include "state/pool.h"

#include <stdlib.h>

#include "state/bucket.h"

/* Fractions of the organisation's rate are integers out of this. */
#define WHOLE_RATE	  (UINT64_C(1) << 32)
#define NEW_SHARE_DIVISOR 8 /* a new share adds burst / this */
/* id of grants out of reserves; no open grant of the bucket has it */
#define RESERVE_GRANT_ID UINT64_MAX

struct committed {
	uint64_t node;
	uint32_t n_shares; /* 0: released */
	int64_t sent_us; /* sender's clock */
	int64_t committed_at_us; /* start of the first of consecutive
				  commitments */
	int64_t until_us; /* end of the commitment or of the stored release */
	/* fill of the bucket that was reported to the node */
	uint32_t reported_fill_permille;
};

struct fp_pool {
	struct fp_bucket *bucket;
	uint32_t rate_per_s; /* of the fleet */
	uint32_t burst; /* of the fleet, tokens */
	uint32_t committed_rate; /* refill rate of the bucket, per second */
	int64_t updated_us; /* time of the last update */
	int64_t reserve_micro; /* reserves of nodes, millionths of a token */
	int64_t reserve_until_us; /* end of their validity */
	int64_t owed_micro; /* part of a token to remove for reserves */
	struct committed *shares;
	uint32_t n; /* entries of shares, committed or released */
	uint32_t capacity; /* allocated entries */
};

struct fp_pool *fp_pool_init(uint64_t epoch, int64_t now_us)
{
	struct fp_pool *p = calloc(1, sizeof(*p));

	if (p)
		p->bucket = fp_bucket_init(0, 0, epoch, now_us);
	if (p && !p->bucket) {
		free(p);
		return NULL;
	}
	return p;
}

/* Rounded up, so that n shares of n are at least the complete rate. */
static uint64_t rate_fraction(const struct committed *c)
{
	return c->n_shares ? (WHOLE_RATE + c->n_shares - 1) / c->n_shares : 0;
}

/* Sum of the shares that were committed at or before before_us. */
static uint64_t sum_fractions(const struct fp_pool *p, int64_t before_us)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < p->n; i++)
		if (p->shares[i].committed_at_us <= before_us)
			sum += rate_fraction(&p->shares[i]);
	return sum < WHOLE_RATE ? sum : WHOLE_RATE;
}

/* Sets the bucket's rate and burst to those of the committed shares. */
static void set_bucket(struct fp_pool *p, int64_t now_us)
{
	uint64_t now = sum_fractions(p, now_us);
	uint64_t full_burst = sum_fractions(p, now_us - FP_GRANT_OWNER_US);
	uint64_t burst = p->burst *
			 (full_burst + (now - full_burst) / NEW_SHARE_DIVISOR);

	p->committed_rate = (uint32_t)(p->rate_per_s * now / WHOLE_RATE);
	burst /= WHOLE_RATE;
	if (!burst && p->committed_rate)
		burst = 1;
	fp_bucket_set_rate(p->bucket, p->committed_rate, (uint32_t)burst,
			   now_us);
}

/* Next time up to now_us at which a commitment expires or gets its full
 * burst. */
static int64_t next_change_us(const struct fp_pool *p, int64_t now_us)
{
	int64_t next_us = now_us;
	int64_t full_burst_at_us;
	uint32_t i;

	for (i = 0; i < p->n; i++) {
		full_burst_at_us =
			p->shares[i].committed_at_us + FP_GRANT_OWNER_US;
		if (full_burst_at_us > p->updated_us &&
		    full_burst_at_us < next_us)
			next_us = full_burst_at_us;
		if (p->shares[i].until_us < next_us)
			next_us = p->shares[i].until_us;
	}
	return next_us;
}

/* A node that lost its connection uses reserve tokens in place of those tokens
 * of its share that were reported to be in this bucket. Remove the same number
 * here, by a grant that no node uses. */
static void remove_reserve(struct fp_pool *p, const struct committed *k,
			   int64_t now_us)
{
	uint32_t granted;
	uint64_t id;
	int64_t wait_us;

	p->owed_micro += fp_rate_share_reserve_micro(p->rate_per_s, p->burst,
						     k->n_shares,
						     k->reported_fill_permille);
	if (p->owed_micro >= FP_MICRO_PER_TOKEN)
		fp_bucket_grant(p->bucket,
				(uint32_t)(p->owed_micro / FP_MICRO_PER_TOKEN),
				now_us, &id, &granted, &wait_us);
	p->owed_micro %= FP_MICRO_PER_TOKEN;
}

static void drop_ended(struct fp_pool *p, int64_t now_us)
{
	uint32_t i = 0;

	while (i < p->n) {
		if (p->shares[i].until_us > now_us) {
			i++;
			continue;
		}
		if (p->shares[i].n_shares)
			remove_reserve(p, &p->shares[i], now_us);
		p->shares[i] = p->shares[--p->n];
	}
}

static void advance(struct fp_pool *p, int64_t now_us)
{
	int64_t next_us;

	do {
		next_us = next_change_us(p, now_us);
		drop_ended(p, next_us);
		p->updated_us = next_us;
		set_bucket(p, next_us);
	} while (next_us < now_us);
}

void fp_pool_set_rate(struct fp_pool *p, uint32_t rate_per_s, uint32_t burst,
		      int64_t now_us)
{
	advance(p, now_us);
	p->rate_per_s = rate_per_s;
	p->burst = burst;
	set_bucket(p, now_us);
}

static struct committed *find_or_add(struct fp_pool *p, uint64_t node,
				     int64_t now_us)
{
	uint32_t i = 0;

	while (i < p->n && p->shares[i].node != node)
		i++;
	if (i < p->n)
		return &p->shares[i];
	if (i == p->capacity) {
		p->capacity = p->capacity ? 2 * p->capacity : 8;
		p->shares = reallocarray(p->shares, p->capacity,
					 sizeof(*p->shares));
		if (!p->shares)
			abort();
	}
	p->n++;
	p->shares[i] = (struct committed){ .node = node,
					   .sent_us = INT64_MIN,
					   .committed_at_us = now_us };
	return &p->shares[i];
}

static uint32_t fill_permille(struct fp_pool *p, int64_t now_us)
{
	uint32_t tokens;
	uint32_t outstanding;

	fp_bucket_read(p->bucket, now_us, &tokens, &outstanding);
	return p->burst ? (uint32_t)(tokens * UINT64_C(1000) / p->burst) : 0;
}

/* A release is kept as long as a commitment that was sent before it may be
 * valid. */
static void release(struct fp_pool *p, struct committed *k, int64_t now_us)
{
	k->n_shares = 0;
	k->until_us = now_us + FP_RATE_SHARE_MAX_SPAN_US;
	set_bucket(p, now_us);
}

static void add_reserve(struct fp_pool *p, int64_t reserve_micro,
			int64_t now_us)
{
	int64_t max_micro = p->rate_per_s * FP_RATE_SHARE_HOLD_US;

	if (!reserve_micro)
		return;
	if (now_us >= p->reserve_until_us)
		p->reserve_micro = 0;
	p->reserve_micro += reserve_micro;
	if (p->reserve_micro > max_micro)
		p->reserve_micro = max_micro;
	p->reserve_until_us = now_us + FP_RATE_SHARE_RESERVE_US;
}

/* Takes up to want tokens out of the reserves; returns how many. */
static uint32_t take_reserve(struct fp_pool *p, uint32_t want, int64_t now_us)
{
	int64_t n = p->reserve_micro / FP_MICRO_PER_TOKEN;

	if (now_us >= p->reserve_until_us)
		return 0;
	if (n > want)
		n = want;
	p->reserve_micro -= n * FP_MICRO_PER_TOKEN;
	return (uint32_t)n;
}

void fp_pool_commit(struct fp_pool *p, uint64_t node,
		    const struct fp_commitment *c, int64_t now_us)
{
	int64_t until_us = fp_commitment_end_us(c);
	int64_t max_us = now_us + c->hold_us -
			 c->hold_us / FP_RATE_SHARE_DRIFT_DIVISOR - 1;
	struct committed *k;

	advance(p, now_us);
	if (until_us > max_us)
		until_us = max_us;
	if (!c->release && (!c->owner_clock_us || c->owner_clock_us > now_us ||
			    !c->hold_us || until_us <= now_us))
		return;
	k = find_or_add(p, node, now_us);
	if (c->sent_us <= k->sent_us)
		return;
	k->sent_us = c->sent_us;
	if (c->release) {
		release(p, k, now_us);
		return;
	}
	if (!k->n_shares)
		k->committed_at_us = now_us;
	k->n_shares = c->n_shares;
	k->until_us = until_us;
	add_reserve(p, c->reserve_micro, now_us);
	set_bucket(p, now_us);
	k->reported_fill_permille = fill_permille(p, now_us);
}

enum fp_status fp_pool_grant(struct fp_pool *p, uint32_t want, int64_t now_us,
			     uint64_t *grant_id, uint32_t *granted,
			     int64_t *wait_us)
{
	enum fp_status st;

	advance(p, now_us);
	if (!p->committed_rate)
		return fp_fail(FP_UNAVAILABLE, "no share is committed");
	st = fp_bucket_grant(p->bucket, want, now_us, grant_id, granted,
			     wait_us);
	if (st != FP_EXHAUSTED)
		return st;
	*granted = take_reserve(p, want, now_us);
	*grant_id = RESERVE_GRANT_ID;
	return *granted ? FP_OK : FP_EXHAUSTED;
}

enum fp_status fp_pool_return(struct fp_pool *p, uint64_t grant_id,
			      uint32_t unspent, int64_t now_us)
{
	advance(p, now_us);
	return fp_bucket_return(p->bucket, grant_id, unspent, now_us);
}

void fp_pool_read(struct fp_pool *p, int64_t now_us, struct fp_pool_view *out)
{
	uint32_t i;

	advance(p, now_us);
	out->fill_permille = fill_permille(p, now_us);
	out->n_shares = 0;
	for (i = 0; i < p->n; i++)
		out->n_shares += p->shares[i].n_shares != 0;
	out->in_use = p->n > 0;
	out->committed_permille =
		(uint32_t)(sum_fractions(p, now_us) * 1000 / WHOLE_RATE);
	out->rate_per_s = p->committed_rate;
}

void fp_pool_end(struct fp_pool *p)
{
	if (!p)
		return;
	fp_bucket_end(p->bucket);
	free(p->shares);
	free(p);
}
