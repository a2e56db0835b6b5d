/* bed.h - a fleet of one deployment, and one load put on it */
#ifndef BENCH_BED_H
#define BENCH_BED_H

#include <stdbool.h>
#include <stdint.h>

#include "bench/calc.h"
#include "bench/deployment.h"
#include "bench/operator.h"
#include "standin/lib_fleet.h"

#define BED_MAX_PHASES 4

/** A running fleet with declarations and a key of each organisation. */
struct bed {
	const struct deployment *d;
	bool on; /**< overload control */
	struct fleet *fleet;
	char keys[DEPLOYMENT_ORGS][OPERATOR_KEY_BYTES];
};

/** A time with a constant demand. */
struct load_phase {
	double rate; /**< roots a second */
	double seconds;
};

/** What callers send in one run. */
struct load {
	const struct kind *kinds;
	double kind_weight[DEPLOYMENT_MAX_MIX];
	int n_kinds;
	double org_weight[DEPLOYMENT_ORGS];
	struct load_phase phases[BED_MAX_PHASES];
	int n_phases;
	int64_t seed;
	int retries; /**< of a caller, after a refusal or failure */
	int retry_delay_ms;
	int nest_retries; /**< of a backend server, after a failed call */
};

/** What a run left behind; free with run_record_end(). */
struct run_record {
	struct samples samples;
	char *metrics_before; /**< of all nodes */
	char *metrics_after;
	int64_t starts[DEPLOYMENT_SERVICES]; /**< executions started */
	int64_t roots; /**< of which any execution started */
	int64_t max_lag_us; /**< of a caller behind its plan */
	double node_cpu; /**< cores used by the busiest node */
	double nodes_cpu; /**< cores used by all nodes */
	int64_t store_calls;
	int died; /**< nodes and backend servers that ended by themselves */
};

/**
 * Starts store, nodes and backend servers, applies declarations, makes keys.
 *
 * @param service_ms  0: that of the deployment
 * @param rate_total  requests a second of all organisations together
 * @return false after a message on standard error
 */
bool bed_init(struct bed *b, const struct deployment *d, bool on,
	      double service_ms, double rate_total, int64_t seed);

/** Applies the declarations anew with other rates. */
bool bed_declare(struct bed *b, double rate_total);

/** Called once while the load runs. */
struct run_event {
	double at_s;
	void (*act)(struct bed *b, void *arg);
	void *arg;
};

/**
 * Puts a load on the fleet and waits for its end.
 *
 * @param events  in order of time
 */
bool bed_run(struct bed *b, const struct load *l,
	     const struct run_event *events, int n_events,
	     struct run_record *out);

/** Sets the factor by which a service's backend servers are slower. */
void bed_slow(struct bed *b, int service, double factor);

/** Starts ended nodes and backend servers again, and waits for them. */
bool bed_repair(struct bed *b);

void run_record_end(struct run_record *r);

/** Ends all processes. */
void bed_end(struct bed *b);

#endif
