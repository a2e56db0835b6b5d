/* operator_api.h - checks operators' requests and applies their changes
 *
 * The functions do no I/O. The caller reads the configuration record, checks
 * the operator's key, makes the change and writes the result by
 * compare-and-swap on the version that it read. It sends the answer made here
 * only after the write took effect; when the outcome of the write is unknown it
 * answers 202 {"accepted":"unknown"}.
 */
#ifndef FP_COORDINATION_OPERATOR_API_H
#define FP_COORDINATION_OPERATOR_API_H

#include "base/status.h"
#include "state/config.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Checks the operator's key of a request.
 *
 * @param now            the record; NULL only when the store is known to hold
 *                       none, never when it could not be read
 * @param bootstrap      hash from the settings, NULL for none; accepted only
 *                       while the record has no operators
 * @param authorization  value of the Authorization header, NULL when absent
 * @param name           set to the operator's name, valid as long as now
 * @return FP_OK, or FP_DENIED with a last message
 */
enum fp_status fp_operator_check(const struct fp_config *now,
				 const uint8_t *bootstrap,
				 const char *authorization, const char **name);

/**
 * Makes the change that is given in the body of POST /v1/change.
 *
 * @param now          the record; NULL when the store is known to hold none
 * @param next         set to the record to write; NULL on failure, and with
 *                     FP_OK when the record already contains the change
 * @param answer_json  set to the malloc'd body of the answer, also on failure;
 *                     NULL only when out of memory
 * @return FP_OK, else see fp_operator_http_status()
 */
enum fp_status fp_operator_change(const struct fp_config *now,
				  const char *body_json,
				  struct fp_config **next, char **answer_json);

/** Returns the malloc'd body of a 409 answer: the change's base revision is not
 *  the revision in force, which is given. NULL when out of memory. */
char *fp_operator_conflict(uint64_t revision);

/** Returns the HTTP status for the result of a change. */
int fp_operator_http_status(enum fp_status st);

#ifdef __cplusplus
}
#endif
#endif
