/* early_shed.h - load shedding at the entry node for overloaded downstream
 * services */
#ifndef FP_STATE_EARLY_SHED_H
#define FP_STATE_EARLY_SHED_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "state/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Maximum number of services recorded per route and per call tree. */
#define FP_EARLY_SHED_MAX_SERVICES 32

struct fp_early_shed;

/** Load of one service as seen by one call tree; carried on answers. */
struct fp_service_load {
	char service[FP_NAME_BYTES];
	uint16_t calls; /**< calls that the tree made to the service */
	/** Permille of recent demand that the service refused, by shed rank, as
	 * its workers reported it to the caller. */
	uint16_t refused_permille[FP_SHED_RANK_COUNT];
	/** Occupancy of its worker: running and queued requests over the limit,
	 * permille; above 1000 requests wait, at most FP_LOAD_USED_MAX. */
	uint16_t used_permille;
	/** Time since the values were measured, milliseconds;
	 * FP_LOAD_AGE_UNKNOWN: there are none. */
	uint16_t age_ms;
};

#define FP_LOAD_AGE_UNKNOWN UINT16_MAX
#define FP_LOAD_USED_MAX    4000

/** Makes empty tables; NULL when out of memory. */
struct fp_early_shed *fp_early_shed_init(void);

/** Whether call trees are admitted by occupancy too, see tree_admission.h; off at first. */
void fp_early_shed_use_tree_admission(struct fp_early_shed *e, bool on);

/**
 * Updates the mean number of calls that a route makes to each service.
 *
 * Call it with the complete list of services from the answer to a root request.
 */
void fp_early_shed_learn_route(struct fp_early_shed *e, const char *route,
			       const struct fp_service_load *services,
			       uint32_t n, int64_t now_us);

/** Adds the duration of a complete call tree of a route. */
void fp_early_shed_learn_duration(struct fp_early_shed *e, const char *route,
				  int64_t tree_us);

/**
 * Stores the latest load that a worker of a service reported.
 *
 * @param worker  id of the worker that sent the answer
 * @param load    load of the service; its calls field is ignored
 */
void fp_early_shed_update_load(struct fp_early_shed *e, uint64_t worker,
			       const struct fp_service_load *load,
			       int64_t now_us);

/**
 * Decides whether a root request is admitted.
 *
 * Requests of the least important ranks are refused first. While a service
 * refuses requests, a small fraction is still admitted, so that the end of the
 * overload is noticed.
 *
 * @param draw  uniform random number, 0..UINT32_MAX
 * @return FP_OK, or FP_EXHAUSTED with *service set to the service with the
 *         lowest admission probability
 */
enum fp_status fp_early_shed_check(struct fp_early_shed *e, const char *route,
				   uint8_t rank, uint32_t draw, int64_t now_us,
				   const char **service);

/** Returns the probability with which fp_early_shed_check() would admit a
 *  request now, and the service that decides it ("": none); changes nothing. */
double fp_early_shed_peek(const struct fp_early_shed *e, const char *route,
			  uint8_t rank, int64_t now_us,
			  char service[FP_NAME_BYTES]);

void fp_early_shed_end(struct fp_early_shed *e);

#ifdef __cplusplus
}
#endif
#endif
