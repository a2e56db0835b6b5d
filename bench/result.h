/* result.h - measured results of the runs: table, CSV, plot and targets */
#ifndef BENCH_RESULT_H
#define BENCH_RESULT_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "bench/testbed.h"
#include "bench/calc.h"

#define RESULT_MAX	    64 /**< runs of one invocation */
#define RESULT_BINS	    80 /**< maximum number of bins */
#define RESULT_BIN_US	    250000 /**< width of a bin, microseconds */
#define RESULT_REASON_BYTES 256

/** In the order of the runs: the surge needs a fleet that was idle before. */
enum scenario {
	SCENARIO_SURGE,
	SCENARIO_SLOW,
	SCENARIO_ORG5X,
	SCENARIO_IMPORTANT,
	SCENARIO_DEMAND,
	SCENARIO_ADDED,
	SCENARIO_COUNT
};

extern const char *const scenario_names[SCENARIO_COUNT];

/** Results of one run. */
struct result {
	const struct deployment *d;
	enum scenario scenario;
	bool on; /**< overload control, else the baseline */
	int64_t seed;
	double factor; /**< demand / capacity */
	double capacity; /**< root requests per second, as computed */
	double offered; /**< root requests per second */
	double goodput; /**< complete answers to root requests per second */
	double success; /**< fraction of the root requests */
	int64_t p50_us;
	int64_t p99_us;
	int64_t over_rate; /**< answers with reason over-rate */
	/** answers with the other reasons that result.c lists */
	int64_t refused_in_rate;
	char reasons[RESULT_REASON_BYTES]; /**< "reason=count ..." */
	char worst_org[CALC_NAME_BYTES];
	double worst; /**< served fraction of the worst-served organisation */
	double important; /**< served fraction of the important class */
	int64_t roots; /**< root requests of which an execution started */
	double hops[DEPLOYMENT_MAX_HOPS]; /**< executions per root request */
	double recovery_s; /**< -1: not measured, or not in the run */
	/** time that a node adds to a call: quantile over all calls since the
	 *  start of the node, maximum over the nodes */
	int64_t added_p50_us;
	int64_t added_p99_us;
	double added_mean_us; /**< over all calls of all nodes */
	/** largest delay of a caller behind its schedule */
	int64_t max_lag_us;
	double node_cpu; /**< cores, busiest node */
	double nodes_cpu; /**< cores, all nodes */
	int64_t store_calls;
	int died; /**< nodes and backend servers that ended */
	float bins[RESULT_BINS]; /**< successful fraction by arrival time */
	int n_bins;
};

struct results {
	struct result v[RESULT_MAX];
	int n;
};

/**
 * Computes the results of a run.
 *
 * @param from_us, to_us  time span that counts, from the start of the run
 * @param except          organisation over its rate, which is not considered
 *                        for the worst-served one; NULL for none
 */
void result_measure(struct result *r, const struct run_record *rec,
		    int64_t from_us, int64_t to_us, const char *except);

/** Finds a run, NULL when there is none; factor 0 matches any. */
const struct result *results_find(const struct results *rs,
				  const struct deployment *d, enum scenario s,
				  bool on, double factor);

/** Prints one line of the results table, or its header when r is NULL. */
void result_print(FILE *out, const struct result *r);

/** Prints the targets of a deployment; returns how many are missed. */
int targets_print(FILE *out, const struct results *rs,
		  const struct deployment *d);

/** Writes all runs as CSV; false when the file cannot be written. */
bool results_write_csv(const struct results *rs, const char *path);

/** Writes the plot as SVG; false when the file cannot be written. */
bool results_write_svg(const struct results *rs, const char *path);

#endif
