/* result.h - figures of one run, their table, CSV and targets */
#ifndef BENCH_RESULT_H
#define BENCH_RESULT_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "bench/testbed.h"
#include "bench/calc.h"

#define RESULT_MAX	    64
#define RESULT_BINS	    80
#define RESULT_BIN_US	    250000
#define RESULT_REASON_BYTES 256

/** In the order of the runs: the surge meets a fleet that is at rest. */
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

/** Figures of one run; a negative figure was not measured. */
struct result {
	const struct deployment *d;
	enum scenario scenario;
	bool on;
	int64_t seed;
	double factor; /**< demand over capacity */
	double capacity; /**< roots a second, by the formula */
	double offered; /**< roots a second */
	double goodput; /**< whole answers of roots a second */
	double success; /**< share of roots */
	int64_t p50_us;
	int64_t p99_us;
	int64_t over_rate; /**< refusals for the rate */
	int64_t refused_in_rate; /**< all other refusals */
	char reasons[RESULT_REASON_BYTES]; /**< all, "word=count ..." */
	char worst_org[CALC_NAME_BYTES];
	double worst; /**< served share of the worst-served organisation */
	double important; /**< served share of the class */
	int64_t roots; /**< of which an execution started */
	double hops[DEPLOYMENT_MAX_HOPS]; /**< executions a root */
	double recovery_s; /**< -1: not within the run */
	int64_t added_p50_us; /**< of the worst node */
	int64_t added_p99_us;
	double added_mean_us; /**< over all calls */
	int64_t max_lag_us; /**< of a caller */
	double node_cpu; /**< cores, busiest node */
	double nodes_cpu; /**< cores, all nodes */
	int64_t store_calls;
	int died; /**< nodes and backend servers */
	float bins[RESULT_BINS]; /**< success share by time of arrival */
	int n_bins;
};

struct results {
	struct result v[RESULT_MAX];
	int n;
};

/**
 * Works out the figures of a run.
 *
 * @param from_us, to_us  what counts, from the start of the run
 * @param except          organisation over its rate, NULL for none
 */
void result_measure(struct result *r, const struct run_record *rec,
		    int64_t from_us, int64_t to_us, const char *except);

/** Finds a run, NULL when there is none; factor 0 matches any. */
const struct result *results_find(const struct results *rs,
				  const struct deployment *d, enum scenario s,
				  bool on, double factor);

/** Prints one line of the table of runs, with its head when r is NULL. */
void result_print(FILE *out, const struct result *r);

/** Prints the targets of a deployment; returns how many are not reached. */
int targets_print(FILE *out, const struct results *rs,
		  const struct deployment *d);

/** Writes all runs as CSV; false when the file cannot be written. */
bool results_write_csv(const struct results *rs, const char *path);

/** Writes the plot as SVG; false when the file cannot be written. */
bool results_write_svg(const struct results *rs, const char *path);

#endif
