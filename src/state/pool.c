/*
 * pool.c - an organisation's bucket, with the rate of the parts in it
 *
 * The bucket earns the sum of the parts that are committed to it, and never
 * more than the whole rate. Commitments end in their order of time, also after
 * a pause of this process: the bucket earns up to each end with what it had.
 *
 * The burst follows the rate. A part that is new here brings only NEW_PARTS of
 * its burst until the grants which its last bucket may have given have ended.
 */
#include "state/pool.h"

#include <stdlib.h>

#include "state/bucket.h"

#define WHOLE	    (UINT64_C(1) << 32) /* units of a share */
#define NEW_PARTS   8 /* of its burst a new part brings one in so many */
#define DRIFT_PARTS 1000 /* of a span, one is left out for the clocks */

struct committed {
	uint64_t node;
	uint32_t parts; /* 0: released */
	int64_t sent_us; /* on its holder's clock */
	int64_t since_us;
	int64_t until_us;
	uint32_t told_permille; /* how full its holder knows the bucket */
};

struct fp_pool {
	struct fp_bucket *bucket;
	uint32_t rate_per_s; /* of the whole fleet */
	uint32_t burst;
	uint32_t rate_here; /* of the bucket */
	int64_t at_us; /* up to date until then */
	struct committed *all;
	uint32_t n;
	uint32_t room;
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

/* Rounded up, so that n parts of n are the whole. */
static uint64_t share_of(const struct committed *c)
{
	return c->parts ? (WHOLE + c->parts - 1) / c->parts : 0;
}

/* Shares that are committed, and of these the ones that were so before. */
static uint64_t sum_shares(const struct fp_pool *p, int64_t before_us)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < p->n; i++)
		if (p->all[i].since_us <= before_us)
			sum += share_of(&p->all[i]);
	return sum < WHOLE ? sum : WHOLE;
}

static void set_bucket(struct fp_pool *p, int64_t now_us)
{
	uint64_t now = sum_shares(p, now_us);
	uint64_t settled = sum_shares(p, now_us - FP_GRANT_OWNER_US);
	uint64_t burst = p->burst * (settled + (now - settled) / NEW_PARTS);

	p->rate_here = (uint32_t)(p->rate_per_s * now / WHOLE);
	burst /= WHOLE;
	if (!burst && p->rate_here)
		burst = 1;
	fp_bucket_set_rate(p->bucket, p->rate_here, (uint32_t)burst, now_us);
}

/* The next moment until now_us at which a part ends or brings its burst. */
static int64_t next_change_us(const struct fp_pool *p, int64_t now_us)
{
	int64_t next_us = now_us;
	int64_t settled_us;
	uint32_t i;

	for (i = 0; i < p->n; i++) {
		settled_us = p->all[i].since_us + FP_GRANT_OWNER_US;
		if (settled_us > p->at_us && settled_us < next_us)
			next_us = settled_us;
		if (p->all[i].until_us < next_us)
			next_us = p->all[i].until_us;
	}
	return next_us;
}

/* A holder that lost this bucket bridges the hold with tokens that it knows to
 * be here: they are its own. */
static void give_up_spare(struct fp_pool *p, const struct committed *k,
			  int64_t now_us)
{
	int64_t spare_u = fp_part_spare_u(p->rate_per_s, p->burst, k->parts,
					  k->told_permille);
	uint32_t granted;
	uint64_t id;
	int64_t wait_us;

	if (spare_u >= FP_SHARE_TOKEN_U)
		fp_bucket_grant(p->bucket,
				(uint32_t)(spare_u / FP_SHARE_TOKEN_U), now_us,
				&id, &granted, &wait_us);
}

static void drop_ended(struct fp_pool *p, int64_t now_us)
{
	uint32_t i = 0;

	while (i < p->n) {
		if (p->all[i].until_us > now_us) {
			i++;
			continue;
		}
		if (p->all[i].parts)
			give_up_spare(p, &p->all[i], now_us);
		p->all[i] = p->all[--p->n];
	}
}

static void advance(struct fp_pool *p, int64_t now_us)
{
	int64_t next_us;

	do {
		next_us = next_change_us(p, now_us);
		drop_ended(p, next_us);
		p->at_us = next_us;
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

static struct committed *find(struct fp_pool *p, uint64_t node, int64_t now_us)
{
	uint32_t i = 0;

	while (i < p->n && p->all[i].node != node)
		i++;
	if (i < p->n)
		return &p->all[i];
	if (i == p->room) {
		p->room = p->room ? 2 * p->room : 8;
		p->all = reallocarray(p->all, p->room, sizeof(*p->all));
		if (!p->all)
			abort();
	}
	p->n++;
	p->all[i] = (struct committed){ .node = node,
					.sent_us = INT64_MIN,
					.since_us = now_us };
	return &p->all[i];
}

static uint32_t fill_permille(struct fp_pool *p, int64_t now_us)
{
	uint32_t tokens;
	uint32_t outstanding;

	fp_bucket_read(p->bucket, now_us, &tokens, &outstanding);
	return p->burst ? (uint32_t)(tokens * UINT64_C(1000) / p->burst) : 0;
}

/* A release is remembered for as long as what was sent before it may hold. */
static void release(struct fp_pool *p, struct committed *k, int64_t now_us)
{
	k->parts = 0;
	k->until_us = now_us + FP_PART_MAX_SPAN_US;
	set_bucket(p, now_us);
}

void fp_pool_commit(struct fp_pool *p, uint64_t node,
		    const struct fp_commitment *c, int64_t now_us)
{
	/* Not after the sending, whatever the drift of the clocks. */
	int64_t sent_us = c->stamp_us + c->age_us - c->age_us / DRIFT_PARTS;
	int64_t hold_us = c->hold_us - c->hold_us / DRIFT_PARTS - 1;
	struct committed *k;

	advance(p, now_us);
	if (sent_us > now_us)
		sent_us = now_us;
	if (!c->release && (!c->stamp_us || c->stamp_us > now_us ||
			    !c->hold_us || sent_us + hold_us <= now_us))
		return;
	k = find(p, node, now_us);
	if (c->sent_us <= k->sent_us)
		return;
	k->sent_us = c->sent_us;
	if (c->release) {
		release(p, k, now_us);
		return;
	}
	if (!k->parts)
		k->since_us = now_us;
	k->parts = c->parts;
	k->until_us = sent_us + hold_us;
	set_bucket(p, now_us);
	k->told_permille = fill_permille(p, now_us);
}

enum fp_status fp_pool_grant(struct fp_pool *p, uint32_t want, int64_t now_us,
			     uint64_t *grant_id, uint32_t *granted,
			     int64_t *wait_us)
{
	advance(p, now_us);
	if (!p->rate_here)
		return fp_fail(FP_UNAVAILABLE, "no part is here");
	return fp_bucket_grant(p->bucket, want, now_us, grant_id, granted,
			       wait_us);
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
	out->parts = 0;
	for (i = 0; i < p->n; i++)
		out->parts += p->all[i].parts != 0;
	out->in_use = p->n > 0;
	out->permille = (uint32_t)(sum_shares(p, now_us) * 1000 / WHOLE);
	out->rate_per_s = p->rate_here;
}

void fp_pool_end(struct fp_pool *p)
{
	if (!p)
		return;
	fp_bucket_end(p->bucket);
	free(p->all);
	free(p);
}
