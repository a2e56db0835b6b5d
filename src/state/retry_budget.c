/*
 * budget.c - one node's part of a fleet's budget of repeated sends
 *
 * A token bucket. What it can give in any window is what it held at the
 * window's start and what it earned since; both are kept to a part of the
 * bound. Of the ratio, EARN goes to earning with each first send and SAVE to
 * the room for tokens, which follows the first sends of the window before: so
 * a failure that hits many requests at once finds tokens. Of the floor's equal
 * part, the same shares are earned with time and held.
 */
#include "state/retry_budget.h"

#include <string.h>

#define UNIT INT64_C(1000000) /* one repeat */

/* Parts of the bound, percent; together below 100, for rounding and for what
 * is sent while nodes join. */
#define EARN 60
#define SAVE 35

static void turn_halves(struct fp_budget *b,
			const struct fp_budget_bound *bound, int64_t now_us)
{
	int64_t half_us = bound->window_us / 2;
	int64_t n = (now_us - b->half_us) / half_us;

	if (n <= 0)
		return;
	for (; n > 0 && (b->firsts[0] || b->firsts[1] || b->firsts[2]); n--) {
		b->firsts[2] = b->firsts[1];
		b->firsts[1] = b->firsts[0];
		b->firsts[0] = 0;
	}
	b->half_us = now_us - (now_us - b->half_us) % half_us;
}

/* The floor's equal part, in millionths. */
static int64_t floor_u(const struct fp_budget_bound *bound)
{
	return (int64_t)bound->floor * UNIT / bound->parts;
}

/* Room for tokens; only whole halves count, so that none is counted early. */
static int64_t room_u(const struct fp_budget *b,
		      const struct fp_budget_bound *bound)
{
	int64_t firsts = (int64_t)b->firsts[1] + b->firsts[2];
	int64_t ratio_u = firsts * bound->ratio_permille * (UNIT / 1000);

	return (ratio_u + floor_u(bound)) * SAVE / 100;
}

static void pass_time(struct fp_budget *b, const struct fp_budget_bound *bound,
		      int64_t now_us)
{
	int64_t span_us = now_us - b->at_us;
	int64_t room = room_u(b, bound);

	if (span_us > bound->window_us)
		span_us = bound->window_us;
	if (span_us > 0) {
		b->tokens_u += floor_u(bound) * EARN / 100 * span_us /
			       bound->window_us;
		b->at_us = now_us;
	}
	turn_halves(b, bound, now_us);
	if (b->tokens_u > room)
		b->tokens_u = room;
}

struct fp_budget_bound fp_budget_bound_of(const struct fp_budget_bound *fleet,
					  const struct fp_right *r,
					  int64_t now_us)
{
	struct fp_budget_bound b = *fleet;

	if (!fp_right_holds(r, now_us))
		b.floor = 0;
	return b;
}

void fp_budget_first(struct fp_budget *b, const struct fp_budget_bound *bound,
		     int64_t now_us)
{
	pass_time(b, bound, now_us);
	b->firsts[0]++;
	b->tokens_u += bound->ratio_permille * (UNIT / 1000) * EARN / 100;
}

enum fp_status fp_budget_repeat(struct fp_budget *b,
				const struct fp_budget_bound *bound,
				int64_t now_us)
{
	pass_time(b, bound, now_us);
	if (b->tokens_u < UNIT)
		return FP_EXHAUSTED;
	b->tokens_u -= UNIT;
	return FP_OK;
}
