/* evacuation.h - the failure domains whose workers get no requests */
#ifndef FP_STATE_EVACUATION_H
#define FP_STATE_EVACUATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "state/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Maximum number of domains that are evacuated at the same time. */
#define FP_MAX_EVACUATED 16
/** Size of the text of a set, with NUL. */
#define FP_EVACUATION_BYTES (FP_MAX_EVACUATED * FP_NAME_BYTES)

/** The evacuated domains at one revision of the store. */
struct fp_evacuation {
	uint64_t revision; /**< 0: never read */
	uint32_t n;
	char domains[FP_MAX_EVACUATED][FP_NAME_BYTES];
};

/** Adds a domain; FP_OK, also if it is there; FP_FULL; FP_INVALID for a name
 *  that is empty, too long or contains a slash. */
enum fp_status fp_evacuation_add(struct fp_evacuation *e, const char *domain);

/** Whether a domain is evacuated. */
bool fp_evacuation_has(const struct fp_evacuation *e, const char *domain);

/** Whether two sets have the same domains, whatever their revision. */
bool fp_evacuation_equal(const struct fp_evacuation *a,
			 const struct fp_evacuation *b);

/** Writes the domains as one text, separated by slashes. */
void fp_evacuation_format(const struct fp_evacuation *e,
			  char text[FP_EVACUATION_BYTES]);

/** Reads that text and leaves the revision as it is; FP_OK or FP_INVALID. */
enum fp_status fp_evacuation_parse(const char *text, struct fp_evacuation *e);

#ifdef __cplusplus
}
#endif
#endif
