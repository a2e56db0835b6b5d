/* share_bucket.c - token bucket with one node's share of a rate and burst */
#include "state/share_bucket.h"

#include "base/clock.h"

/* The capacity is at least one token, otherwise a small share would never admit
 * a request. */
static int64_t capacity_micro(const struct fp_share_bucket *s)
{
	int64_t capacity = (int64_t)s->burst * FP_MICRO_PER_TOKEN / s->n_shares;

	return capacity < FP_MICRO_PER_TOKEN ? FP_MICRO_PER_TOKEN : capacity;
}

static void refill(struct fp_share_bucket *s, int64_t now_us)
{
	int64_t capacity = capacity_micro(s);
	int64_t elapsed_us = now_us - s->updated_us;

	s->updated_us = now_us;
	if (elapsed_us <= 0)
		return;
	/* More than an hour fills any bucket; the limit prevents an overflow of
	 * the product. */
	if (elapsed_us > FP_US_PER_S * 3600)
		elapsed_us = FP_US_PER_S * 3600;
	s->tokens_micro += (int64_t)s->rate_per_s * elapsed_us / s->n_shares;
	if (s->tokens_micro > capacity)
		s->tokens_micro = capacity;
}

void fp_share_bucket_set(struct fp_share_bucket *s, uint32_t rate_per_s,
			 uint32_t burst, uint32_t n_shares, int64_t now_us)
{
	bool first_use = s->n_shares == 0;

	if (!first_use)
		refill(s, now_us);
	s->rate_per_s = rate_per_s;
	s->burst = burst;
	s->n_shares = n_shares ? n_shares : 1;
	s->updated_us = now_us;
	if (first_use || s->tokens_micro > capacity_micro(s))
		s->tokens_micro = capacity_micro(s);
}

void fp_share_bucket_restart(struct fp_share_bucket *s, int64_t tokens_micro,
			     int64_t now_us)
{
	s->tokens_micro = tokens_micro < capacity_micro(s) ? tokens_micro :
							     capacity_micro(s);
	s->updated_us = now_us;
}

enum fp_status fp_share_bucket_take(struct fp_share_bucket *s, int64_t now_us)
{
	if (!s->rate_per_s || !s->n_shares)
		return FP_OK;
	refill(s, now_us);
	if (s->tokens_micro < FP_MICRO_PER_TOKEN)
		return FP_EXHAUSTED;
	s->tokens_micro -= FP_MICRO_PER_TOKEN;
	return FP_OK;
}
