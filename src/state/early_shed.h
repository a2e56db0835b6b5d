/* early.h - refusal at the entry of what a deeper service would refuse */
#ifndef FP_STATE_EARLY_H
#define FP_STATE_EARLY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "state/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most services that one call tree is known to touch. */
#define FP_EARLY_MAX_TOUCHED 32

struct fp_early;

/** How often a call tree touched a service, as carried on answers. */
struct fp_touch {
	char service[FP_NAME_BYTES];
	uint16_t calls;
	/** What that service refuses lately, as seen where it was called. */
	uint16_t refused_permille[FP_RANK_COUNT];
	/** Part of its worker's places that is taken or waited for; 1000: all. */
	uint16_t used_permille;
};

struct fp_early *fp_early_init(void);

/** Learns from a root's whole answer which services its route touches. */
void fp_early_learn(struct fp_early *e, const char *route,
		    const struct fp_touch *touched, uint32_t n, int64_t now_us);

/**
 * Takes the newest load of a service as one worker tells it.
 *
 * @param worker  id of the worker whose answer told it
 * @param level   its calls are not looked at
 */
void fp_early_level(struct fp_early *e, uint64_t worker,
		    const struct fp_touch *level, int64_t now_us);

/**
 * Decides whether a root may enter.
 *
 * Least important classes go first. While a service refuses, some requests
 * still pass, so that the end of the overload is seen.
 *
 * @param draw  uniform random number, 0..UINT32_MAX
 * @return FP_OK, or FP_EXHAUSTED with *service set to the one that refuses
 */
enum fp_status fp_early_check(struct fp_early *e, const char *route,
			      uint8_t rank, uint32_t draw, int64_t now_us,
			      const char **service);

void fp_early_end(struct fp_early *e);

#ifdef __cplusplus
}
#endif
#endif
