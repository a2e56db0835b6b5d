/* slice_map.h - maps organisations and claims to slices */
#ifndef FP_STATE_SLICE_MAP_H
#define FP_STATE_SLICE_MAP_H

#include <stdint.h>
#include <string.h>
#include <xxhash.h>

#include "state/claims.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Number of slices in the fleet. */
#define FP_SLICES 64

/** Returns the slice that holds an organisation's bucket. */
static inline uint32_t fp_slice_of_org(const char *org)
{
	return (uint32_t)(XXH3_64bits(org, strlen(org)) % FP_SLICES);
}

/** Returns the slice that holds a claim. */
static inline uint32_t
fp_slice_of_claim(const uint8_t name[FP_CLAIM_NAME_BYTES])
{
	return (uint32_t)(XXH3_64bits(name, FP_CLAIM_NAME_BYTES) % FP_SLICES);
}

#ifdef __cplusplus
}
#endif
#endif
