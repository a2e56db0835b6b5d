/* balancer_explain.h - which worker a call would be sent to, and why */
#ifndef FP_STATE_BALANCER_EXPLAIN_H
#define FP_STATE_BALANCER_EXPLAIN_H

#include "state/balancer.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Number of draws from which shares are counted. */
#define FP_BALANCER_DRAWS 1000u
/** Maximum number of workers in an explanation. */
#define FP_BALANCER_MAX_SHOWN 256u

/** A worker as the choice sees it. */
struct fp_balancer_candidate {
	struct fp_balancer_worker info;
	bool local; /**< in this node's failure domain */
	bool used; /**< in this node's subset of a large service */
	bool ejected;
	bool stalled; /**< calls in flight, and no answer for long */
	bool drawn; /**< among the workers that are drawn from at first */
	uint32_t in_flight; /**< this node's calls */
	uint32_t limit; /**< advertised; 0: none yet */
	uint32_t running; /**< advertised, of all callers */
	uint32_t queued; /**< advertised */
	int64_t load_age_us; /**< of the advertised values; -1: none yet */
	double load;
	double fill; /**< running and queued over the limit; 0: not known */
	double slowdown; /**< as it counts now; 1: equal, or not known */
	int64_t slowdown_age_us; /**< -1: none yet */
	double end; /**< when a call would end, in run times of the service */
	double warm; /**< part of its full weight, 1 after its warm-up */
	double failed; /**< smoothed fraction of failed calls */
	double refused; /**< smoothed fraction refused for load */
	int64_t ejected_left_us; /**< until it is probed; 0: now, or not ejected */
	uint32_t share; /**< how many of FP_BALANCER_DRAWS choose it */
};

/** The choice for one call, and the workers of its service. */
struct fp_balancer_explanation {
	bool found; /**< id is set */
	bool has_runner_up; /**< runner_up is set */
	bool ejections_ignored; /**< all workers fail, so none is left out */
	uint64_t id; /**< choice of fp_balancer_pick() with that draw */
	uint64_t runner_up; /**< its choice without that worker */
	uint32_t n_workers; /**< of the service */
	uint32_t n; /**< candidates, those in the subset first */
	struct fp_balancer_candidate candidates[FP_BALANCER_MAX_SHOWN];
};

/** Copies a balancer; NULL when out of memory. */
struct fp_balancer *fp_balancer_copy(const struct fp_balancer *b);

/**
 * Explains what fp_balancer_pick() would choose for a first attempt with that
 * draw, by the code of it; changes nothing.
 *
 * Makes FP_BALANCER_DRAWS picks, which take about a millisecond.
 */
void fp_balancer_explain(struct fp_balancer *b, const char *service,
			 uint64_t draw, int64_t now_us,
			 struct fp_balancer_explanation *out);

#ifdef __cplusplus
}
#endif
#endif
