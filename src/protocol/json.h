/* json.h - checked access to members of JSON objects */
#ifndef FP_PROTOCOL_JSON_H
#define FP_PROTOCOL_JSON_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Copies a text member to a buffer of size bytes; false, without effect, if it
 *  is absent, not a text, empty or too long. */
bool fp_json_text(const json_t *j, const char *name, char *to, size_t size);

/** Reads a whole number from min to max; a missing one counts as 0. Returns
 *  false if it is another value. */
bool fp_json_integer(const json_t *j, const char *name, json_int_t min,
		     json_int_t max, json_int_t *out);

#ifdef __cplusplus
}
#endif
#endif
