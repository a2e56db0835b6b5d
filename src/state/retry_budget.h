/* budget.h - one node's part of a fleet's budget of repeated sends */
#ifndef FP_STATE_BUDGET_H
#define FP_STATE_BUDGET_H

#include <stdint.h>

#include "base/status.h"
#include "state/rate_share.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * The bound: in any window, over all nodes, repeats to a service are at most
 * ratio times its first sends plus a floor. First sends may be those of the
 * window or of the one before.
 */
struct fp_budget_bound {
	uint32_t ratio_permille; /**< repeats per thousand first sends */
	uint32_t floor; /**< repeats a window, whatever is sent */
	int64_t window_us;
	uint32_t parts; /**< nodes that share the floor, at least 1 */
};

/**
 * The bound for a node of which the others may have lost sight.
 *
 * They share the floor without a node that has no right to a part any more; it
 * goes on with the ratio of its own first sends.
 */
struct fp_budget_bound fp_budget_bound_of(const struct fp_budget_bound *fleet,
					  const struct fp_right *r,
					  int64_t now_us);

/** One service's budget at one node; zeroed before first use. */
struct fp_budget {
	int64_t tokens_u; /**< millionths of a repeat */
	int64_t at_us; /**< when tokens_u was right */
	int64_t half_us; /**< when the present half window began */
	uint32_t firsts[3]; /**< first sends of this and earlier halves */
};

/** Notes a first send. */
void fp_budget_first(struct fp_budget *b, const struct fp_budget_bound *bound,
		     int64_t now_us);

/** Takes one repeat; FP_OK or FP_EXHAUSTED. */
enum fp_status fp_budget_repeat(struct fp_budget *b,
				const struct fp_budget_bound *bound,
				int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
