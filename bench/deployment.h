/*
 * deployment.h - the two reference deployments, scaled down to one machine
 *
 * Capacity of a mix: each execution holds a slot for its own service time and
 * for that of the calls that it waits for. So hop i, from 0, of a chain of n
 * holds a slot for (n - i) service times. A service has workers x slots slots,
 * and
 *
 *   capacity = minimum over services of
 *     workers x slots / (sum of fraction x holding time of its executions)
 *
 * in root requests per second.
 */
#ifndef BENCH_DEPLOYMENT_H
#define BENCH_DEPLOYMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DEPLOYMENT_SERVICES 4
#define DEPLOYMENT_ORGS	    8
#define DEPLOYMENT_MAX_HOPS 3
#define DEPLOYMENT_MAX_MIX  8

struct service {
	const char *name;
	int workers;
	int slots; /**< per worker */
};

struct organisation {
	const char *name;
	double fraction; /**< of the demand */
};

/** One kind of root request. */
struct request_kind {
	const char *name;
	const char *method;
	const char *path;
	const char *class_name;
	bool idempotent;
	double fraction; /**< of the root requests */
	int hops[DEPLOYMENT_MAX_HOPS]; /**< services, in order of the calls */
	int n_hops;
};

struct deployment {
	const char *name;
	const char *region;
	const char *domains[4];
	int n_domains;
	struct service services[DEPLOYMENT_SERVICES];
	double service_ms; /**< mean time of one execution */
	int64_t deadline_ms; /**< of each route */
	struct organisation orgs[DEPLOYMENT_ORGS];
	struct request_kind mix[DEPLOYMENT_MAX_MIX];
	int n_mix;
	struct request_kind chain; /**< three hops; the last one is made slow */
};

extern const struct deployment deployment_maua;
extern const struct deployment deployment_jadran;

/** Returns the deployment of that name, NULL when there is none. */
const struct deployment *deployment_find(const char *name);

/**
 * Returns the capacity of a mix, root requests per second.
 *
 * @param class_name  only requests of this class hold slots, and the result is
 *                    still in root requests of the complete mix; NULL for all
 */
double deployment_capacity(const struct deployment *d,
			   const struct request_kind *mix, int n_mix,
			   const char *class_name);

/** Returns the fraction of a class in the mix. */
double deployment_class_fraction(const struct deployment *d,
				 const char *class_name);

/**
 * Writes declarations: the organisations, with rate = total x fraction and a
 * burst of two seconds; a look-up route for each service; the routes of the
 * mix.
 *
 * @return malloc'd TOML
 */
char *deployment_declarations(const struct deployment *d,
			      double rate_per_s_total);

/** Writes the request target of a kind, with its nested calls in the query. */
void deployment_target(const struct deployment *d, const struct request_kind *k,
		       int nested_retries, char *out, size_t out_bytes);

#ifdef __cplusplus
}
#endif
#endif
