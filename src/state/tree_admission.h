/* tree_admission.h - fraction of new call trees that a deep service has capacity for */
#ifndef FP_STATE_TREE_ADMISSION_H
#define FP_STATE_TREE_ADMISSION_H

#include <stdbool.h>

#include "state/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Room of one service as one entry sees it. */
struct fp_tree_admission {
	/* calls to the service that the roots offered here would make, by rank;
	 * decays with DEMAND_S */
	double offered[FP_SHED_RANK_COUNT];
	double roots; /* the roots that these belong to */
	double admitted[FP_SHED_RANK_COUNT]; /* admitted fraction */
	double begun[FP_SHED_RANK_COUNT]; /* first stage towards present */
	/* admitted fraction of the trees that are at the service now */
	double present[FP_SHED_RANK_COUNT];
	double slow_demand; /* demand, smoothed with TREND_S; 0: unknown */
	double tree_s; /* smoothed duration of a tree; 0: unknown */
};

/** Admits everything. */
void fp_tree_admission_init(struct fp_tree_admission *r);

/** Counts an offered root, admitted or not, that makes calls to the service. */
void fp_tree_admission_offer(struct fp_tree_admission *r, uint8_t rank,
			     double calls);

/** Adds the duration of a complete tree, seconds. */
void fp_tree_admission_add_duration(struct fp_tree_admission *r, double tree_s);

/**
 * Updates the admitted fractions.
 *
 * @param used    occupancy of the service: running and queued requests over
 *                the limit, above 1 when requests wait; negative: unknown
 * @param step_s  time since the last update, seconds
 */
void fp_tree_admission_update(struct fp_tree_admission *r, double used,
			      double step_s);

/** Whether the trees that call the service call it several times, so that they
 * are admitted by its occupancy. */
bool fp_tree_admission_applies(const struct fp_tree_admission *r);

/** Fraction of the offered roots of a rank that is admitted, 0..1. */
double fp_tree_admission_admitted(const struct fp_tree_admission *r,
				  uint8_t rank);

#ifdef __cplusplus
}
#endif
#endif
