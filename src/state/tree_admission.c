/*
 * tree_admission.c - fraction of new call trees that a deep service has capacity for
 *
 * A tree that calls a service k times fails if one of the calls is refused, and
 * pays for the queue of the service k times. Refusals and queues come too late
 * as signals for such trees. The entries therefore hold the occupancy of the
 * service at USED_TARGET, below the point where requests wait.
 *
 * The fractions follow from the occupancy directly. The trees that are at the
 * service now were admitted at the fraction "present", which follows the
 * admitted fraction in two stages over the duration of a tree, as its calls do:
 * few at once, most in the middle, the last at its end. Occupancy over present is the
 * occupancy at which all offered trees together would hold the service, the
 * demand; the target over the demand is admitted. Nothing is integrated, so the
 * delay of the trees causes no oscillation: a lower fraction lowers "present"
 * and the occupancy alike, and the demand stays. A queue does integrate: it
 * holds what came in excess over some time. It therefore counts by QUEUE_PART
 * only; counted in full, it would leave the service idle after a short burst.
 *
 * The trees that are admitted now arrive at the service later. While the demand
 * grows they meet a higher one, so a growing demand counts as what it becomes
 * within HORIZON of a tree's duration, by the trend of its logarithm. A falling one
 * counts as it is: the trees that are there were admitted before it fell. A
 * demand below the target needs a growth above GROWTH_MIN, or chance would
 * refuse trees while there is capacity.
 *
 * The demand is divided among the shed ranks like the calls of the roots
 * offered at this entry; a root with k calls counts k times. The ranks are
 * served in order, but each rank keeps RANK_FLOOR of the fraction that all
 * would have without ranks, so no rank is starved.
 *
 * All entries see the same occupancy and admit about the same fraction; they
 * need not know of each other. A lost or paused entry leaves nothing behind.
 * Without reports the fractions return to 1 within RELEASE_S.
 */
#include "state/tree_admission.h"

#include <math.h>
#include <string.h>

/* Tuning. */
/* mean occupancy; the rest is for an uneven spread over the workers */
#define USED_TARGET	   0.85
#define QUEUE_PART	   0.2 /* part of the queue that counts as occupancy */
#define STAGE_PART	   0.6 /* duration of a stage, in durations of a tree */
#define FOLLOW_S	   0.08 /* time constant towards a new fraction */
#define RANK_FLOOR	   0.5 /* share of the mean fraction that a rank keeps */
#define SEVERAL		   1.5 /* mean calls of a tree from which it is used */
#define DEMAND_S	   2.0 /* time constant of the offered calls */
#define DURATION_DEFAULT_S 0.5 /* of a tree, until one has ended */
#define DURATION_WEIGHT	   32 /* smoothing of the duration, in trees */
#define DURATION_MAX_S	   4.0 /* a longer one counts as this */
#define TREND_S		   0.5 /* smoothing of the demand for its trend */
#define HORIZON		   0.8 /* of the prediction, in durations of a tree */
#define GROWTH_MAX	   0.5 /* largest predicted growth, logarithm */
#define GROWTH_MIN	   0.2 /* ignored below the target, logarithm a second */
#define RELEASE_S	   1.0 /* time to admit everything without reports */
#define ADMIT_MIN	   0.02 /* always admitted, to see the demand */
#define USED_MIN	   0.01 /* lower bound of the occupancy */

void fp_tree_admission_init(struct fp_tree_admission *r)
{
	int i;

	memset(r, 0, sizeof(*r));
	for (i = 0; i < FP_SHED_RANK_COUNT; i++) {
		r->admitted[i] = 1;
		r->begun[i] = 1;
		r->present[i] = 1;
	}
}

void fp_tree_admission_offer(struct fp_tree_admission *r, uint8_t rank,
			     double calls)
{
	r->offered[rank] += calls;
	r->roots += 1;
}

void fp_tree_admission_add_duration(struct fp_tree_admission *r, double tree_s)
{
	tree_s = fmin(tree_s, DURATION_MAX_S);
	if (r->tree_s == 0)
		r->tree_s = tree_s;
	r->tree_s += (tree_s - r->tree_s) / DURATION_WEIGHT;
}

static double sum(const double v[FP_SHED_RANK_COUNT])
{
	double total = 0;
	int i;

	for (i = 0; i < FP_SHED_RANK_COUNT; i++)
		total += v[i];
	return total;
}

bool fp_tree_admission_applies(const struct fp_tree_admission *r)
{
	return r->roots > 0 && sum(r->offered) >= SEVERAL * r->roots;
}

/* Occupancy at which all offered trees together would hold the service. */
static double demand(const struct fp_tree_admission *r, double used)
{
	double present = 0;
	int i;

	for (i = 0; i < FP_SHED_RANK_COUNT; i++)
		present += r->offered[i] * r->present[i];
	if (used > 1)
		used = 1 + (used - 1) * QUEUE_PART;
	return fmax(used, USED_MIN) * sum(r->offered) / present;
}

/* Demand that the trees admitted now will meet. */
static double predict(struct fp_tree_admission *r, double all, double tree_s,
		      double step_s)
{
	double growth;

	if (r->slow_demand == 0)
		r->slow_demand = all;
	r->slow_demand *= pow(all / r->slow_demand, 1 - exp(-step_s / TREND_S));
	growth = log(all / r->slow_demand) / TREND_S;
	if (all < USED_TARGET)
		growth -= GROWTH_MIN;
	return all * exp(fmin(GROWTH_MAX, fmax(0, growth * HORIZON * tree_s)));
}

/* Gives the capacity to the ranks in order and moves the fractions there; all:
 * demand of all ranks. */
static void divide(struct fp_tree_admission *r, double all, double step_s)
{
	double weight = 1 - exp(-step_s / FOLLOW_S);
	double total = sum(r->offered);
	double least = RANK_FLOOR * fmin(1, USED_TARGET / all);
	double left = USED_TARGET - least * all; /* above the floors */
	double wanted;
	double goal;
	int i;

	for (i = 0; i < FP_SHED_RANK_COUNT; i++) {
		wanted = all * r->offered[i] / total * (1 - least);
		goal = 1;
		if (wanted > left)
			goal = least + (1 - least) * fmax(0, left) / wanted;
		left -= fmin(wanted, fmax(0, left));
		r->admitted[i] += (goal - r->admitted[i]) * weight;
		r->admitted[i] = fmax(ADMIT_MIN, r->admitted[i]);
	}
}

static void release(struct fp_tree_admission *r, double step_s)
{
	int i;

	r->slow_demand = 0;
	for (i = 0; i < FP_SHED_RANK_COUNT; i++)
		r->admitted[i] = fmin(1, r->admitted[i] + step_s / RELEASE_S);
}

void fp_tree_admission_update(struct fp_tree_admission *r, double used,
			      double step_s)
{
	double tree_s = r->tree_s > 0 ? r->tree_s : DURATION_DEFAULT_S;
	double weight = 1 - exp(-step_s / fmax(tree_s * STAGE_PART, step_s));
	double kept = exp(-step_s / DEMAND_S);
	int i;

	for (i = 0; i < FP_SHED_RANK_COUNT; i++) {
		r->begun[i] += (r->admitted[i] - r->begun[i]) * weight;
		r->present[i] += (r->begun[i] - r->present[i]) * weight;
	}
	if (used < 0 || !fp_tree_admission_applies(r))
		release(r, step_s);
	else
		divide(r, predict(r, demand(r, used), tree_s, step_s), step_s);
	for (i = 0; i < FP_SHED_RANK_COUNT; i++)
		r->offered[i] *= kept;
	r->roots *= kept;
}

double fp_tree_admission_admitted(const struct fp_tree_admission *r,
				  uint8_t rank)
{
	return r->admitted[rank];
}
