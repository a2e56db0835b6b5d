/*
 * retry_budget.c - a node's share of the fleet's retry budget for a service
 *
 * A token bucket. What it can give within any window is what it held at the
 * start of the window plus what it earned since; both are kept to a percentage
 * of the limit. Of the ratio, EARN_PERCENT is earned with each first send, and
 * SAVE_PERCENT is the capacity of the bucket, which follows the first sends of
 * the previous window: so tokens are available when a failure affects many
 * requests at once. Of the node's equal share of the floor, the same
 * percentages are earned over time and can be saved.
 */
#include "state/retry_budget.h"

#include <string.h>

#define MICRO INT64_C(1000000) /* one retry, in millionths */

/* Percentages of the limit. Their sum is below 100, to allow for rounding and
 * for retries sent while nodes join. */
#define EARN_PERCENT 60
#define SAVE_PERCENT 35

/* Advances to the half window of now_us; skipped halves have no first sends. */
static void roll_halves(struct fp_retry_budget *b,
			const struct fp_retry_budget_limit *limit,
			int64_t now_us)
{
	int64_t half_us = limit->window_us / 2;
	int64_t n = (now_us - b->half_start_us) / half_us;

	if (n <= 0)
		return;
	for (; n > 0 &&
	       (b->first_sends[0] || b->first_sends[1] || b->first_sends[2]);
	     n--) {
		b->first_sends[2] = b->first_sends[1];
		b->first_sends[1] = b->first_sends[0];
		b->first_sends[0] = 0;
	}
	b->half_start_us = now_us - (now_us - b->half_start_us) % half_us;
}

/* A node's equal share of the floor, in millionths of a retry. */
static int64_t floor_micro(const struct fp_retry_budget_limit *limit)
{
	return (int64_t)limit->floor * MICRO / limit->n_nodes;
}

/* Capacity of the bucket. Only complete half windows count, so that no first
 * send is counted too early. */
static int64_t capacity_micro(const struct fp_retry_budget *b,
			      const struct fp_retry_budget_limit *limit)
{
	int64_t first_sends = (int64_t)b->first_sends[1] + b->first_sends[2];
	int64_t ratio_micro =
		first_sends * limit->ratio_permille * (MICRO / 1000);

	return (ratio_micro + floor_micro(limit)) * SAVE_PERCENT / 100;
}

static void advance(struct fp_retry_budget *b,
		    const struct fp_retry_budget_limit *limit, int64_t now_us)
{
	int64_t elapsed_us = now_us - b->updated_us;
	int64_t capacity = capacity_micro(b, limit);

	if (elapsed_us > limit->window_us)
		elapsed_us = limit->window_us;
	if (elapsed_us > 0) {
		b->tokens_micro += floor_micro(limit) * EARN_PERCENT / 100 *
				   elapsed_us / limit->window_us;
		b->updated_us = now_us;
	}
	roll_halves(b, limit, now_us);
	if (b->tokens_micro > capacity)
		b->tokens_micro = capacity;
}

struct fp_retry_budget_limit
fp_retry_budget_node_limit(const struct fp_retry_budget_limit *fleet,
			   const struct fp_share_validity *v, int64_t now_us)
{
	struct fp_retry_budget_limit b = *fleet;

	if (!fp_share_is_valid(v, now_us))
		b.floor = 0;
	return b;
}

void fp_retry_budget_first_send(struct fp_retry_budget *b,
				const struct fp_retry_budget_limit *limit,
				int64_t now_us)
{
	advance(b, limit, now_us);
	b->first_sends[0]++;
	b->tokens_micro +=
		limit->ratio_permille * (MICRO / 1000) * EARN_PERCENT / 100;
}

enum fp_status fp_retry_budget_take(struct fp_retry_budget *b,
				    const struct fp_retry_budget_limit *limit,
				    int64_t now_us)
{
	advance(b, limit, now_us);
	if (b->tokens_micro < MICRO)
		return FP_EXHAUSTED;
	b->tokens_micro -= MICRO;
	return FP_OK;
}
