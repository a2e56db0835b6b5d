/* share.c - one node's part of an organisation's rate and burst */
#include "state/share_bucket.h"

#include "base/clock.h"

/* A part holds at least one token, or a small one would never admit any. */
static int64_t cap_u(const struct fp_share *s)
{
	int64_t cap = (int64_t)s->burst * FP_SHARE_TOKEN_U / s->parts;

	return cap < FP_SHARE_TOKEN_U ? FP_SHARE_TOKEN_U : cap;
}

static void earn(struct fp_share *s, int64_t now_us)
{
	int64_t cap = cap_u(s);
	int64_t span_us = now_us - s->at_us;

	s->at_us = now_us;
	if (span_us <= 0)
		return;
	/* A longer span fills any bucket; the bound keeps the product small. */
	if (span_us > FP_US_PER_S * 3600)
		span_us = FP_US_PER_S * 3600;
	s->tokens_u += (int64_t)s->rate_per_s * span_us / s->parts;
	if (s->tokens_u > cap)
		s->tokens_u = cap;
}

void fp_share_set(struct fp_share *s, uint32_t rate_per_s, uint32_t burst,
		  uint32_t parts, int64_t now_us)
{
	bool fresh = s->parts == 0;

	if (!fresh)
		earn(s, now_us);
	s->rate_per_s = rate_per_s;
	s->burst = burst;
	s->parts = parts ? parts : 1;
	s->at_us = now_us;
	if (fresh || s->tokens_u > cap_u(s))
		s->tokens_u = cap_u(s);
}

void fp_share_restart(struct fp_share *s, int64_t tokens_u, int64_t now_us)
{
	s->tokens_u = tokens_u < cap_u(s) ? tokens_u : cap_u(s);
	s->at_us = now_us;
}

enum fp_status fp_share_take(struct fp_share *s, int64_t now_us)
{
	if (!s->rate_per_s || !s->parts)
		return FP_OK;
	earn(s, now_us);
	if (s->tokens_u < FP_SHARE_TOKEN_U)
		return FP_EXHAUSTED;
	s->tokens_u -= FP_SHARE_TOKEN_U;
	return FP_OK;
}
