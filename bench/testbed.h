/* testbed.h - a fleet of one deployment, and load runs on it */
#ifndef BENCH_TESTBED_H
#define BENCH_TESTBED_H

#include <stdbool.h>
#include <stdint.h>

#include "bench/calc.h"
#include "bench/deployment.h"
#include "bench/operator.h"
#include "standin/lib_fleet.h"

#define TESTBED_MAX_PHASES 4

/** A running fleet with applied declarations and a key for each
 * organisation. */
struct testbed {
	const struct deployment *d;
	bool on; /**< overload control is on */
	struct fleet *fleet;
	char keys[DEPLOYMENT_ORGS][OPERATOR_KEY_BYTES];
};

/** A time span with constant demand. */
struct load_phase {
	double rate; /**< root requests per second */
	double seconds;
};

/** Load that the callers generate in one run. */
struct load {
	const struct request_kind *kinds;
	double kind_weight[DEPLOYMENT_MAX_MIX];
	int n_kinds;
	double org_weight[DEPLOYMENT_ORGS];
	struct load_phase phases[TESTBED_MAX_PHASES];
	int n_phases;
	int64_t seed;
	/** maximum retries by a caller after a refusal or failure */
	int retries;
	int retry_delay_ms; /**< constant, without backoff */
	/** retries by a backend server after a failed call */
	int nested_retries;
};

/** Recorded data of a run; free it with run_record_end(), also if the run
 * failed. */
struct run_record {
	struct samples samples;
	char *metrics_before; /**< of all nodes */
	char *metrics_after;
	int64_t starts[DEPLOYMENT_SERVICES]; /**< executions started */
	int64_t roots; /**< root requests of which an execution started */
	/** largest delay of a caller behind its schedule */
	int64_t max_lag_us;
	double node_cpu; /**< cores used by the busiest node */
	double nodes_cpu; /**< cores used by all nodes */
	int64_t store_calls;
	int died; /**< nodes and backend servers that ended unexpectedly */
};

/**
 * Starts store, nodes and backend servers, applies declarations, creates keys.
 *
 * @param service_ms  0: the service time of the deployment
 * @param rate_total  requests per second of all organisations together
 * @return false after printing an error
 */
bool testbed_init(struct testbed *b, const struct deployment *d, bool on,
		  double service_ms, double rate_total, int64_t seed);

/** Applies the declarations again, with rate_total requests per second of all
 * organisations together; false after printing an error. */
bool testbed_declare(struct testbed *b, double rate_total);

/** Action that is executed once during a load run. */
struct run_event {
	double at_s; /**< from the start of the load */
	void (*act)(struct testbed *b, void *arg);
	void *arg;
};

/**
 * Generates a load on the fleet and waits until all callers have ended.
 *
 * @param events  ordered by time
 * @return false when a caller failed or its records cannot be read
 */
bool testbed_run(struct testbed *b, const struct load *l,
		 const struct run_event *events, int n_events,
		 struct run_record *out);

/** Sets the factor by which a service's backend servers are slowed; 1: none. */
void testbed_slow(struct testbed *b, int service, double factor);

/** Restarts ended nodes and backend servers, and waits until all nodes reach
 * all services; false on failure. */
bool testbed_restart_ended(struct testbed *b);

void run_record_end(struct run_record *r);

/** Stops all processes. */
void testbed_end(struct testbed *b);

#endif
