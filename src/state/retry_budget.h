/* retry_budget.h - a node's share of the fleet's retry budget for a service */
#ifndef FP_STATE_RETRY_BUDGET_H
#define FP_STATE_RETRY_BUDGET_H

#include <stdint.h>

#include "base/status.h"
#include "state/rate_share.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Limit on the retries to a service.
 *
 * In any window, the retries of all nodes are at most the ratio times the first
 * sends plus a floor. The first sends may be those of the window or of the one
 * before.
 */
struct fp_retry_budget_limit {
	uint32_t ratio_permille; /**< retries per thousand first sends */
	uint32_t floor; /**< retries per window in addition to the ratio */
	int64_t window_us; /**< at least 2 */
	uint32_t n_nodes; /**< nodes that share the floor, at least 1 */
};

/**
 * Returns the limit for a node that the others may have removed.
 *
 * The others share the floor without a node whose share is no longer valid;
 * such a node may only use the ratio of its own first sends.
 */
struct fp_retry_budget_limit
fp_retry_budget_node_limit(const struct fp_retry_budget_limit *fleet,
			   const struct fp_share_validity *v, int64_t now_us);

/** Budget of one service at one node; zero it before the first use. */
struct fp_retry_budget {
	int64_t tokens_micro; /**< millionths of a retry */
	int64_t updated_us; /**< time up to which floor tokens are added */
	int64_t half_start_us; /**< start of the current half window */
	/** first sends of the current and the two previous half windows */
	uint32_t first_sends[3];
};

/** Records a first send. */
void fp_retry_budget_first_send(struct fp_retry_budget *b,
				const struct fp_retry_budget_limit *limit,
				int64_t now_us);

/** Takes a token for a retry; FP_OK or FP_EXHAUSTED. */
enum fp_status fp_retry_budget_take(struct fp_retry_budget *b,
				    const struct fp_retry_budget_limit *limit,
				    int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
