/* config_codec.h - codec of the configuration record: JSON text in the store
 *
 * Entries are sorted by their identifying fields and refer to each other by
 * name. So equal configurations have equal texts, and two revisions are easy to
 * compare. Decoding is strict: a missing, unknown or duplicate member and an
 * invalid value are errors. It accepts entries in any order.
 */
#ifndef FP_PROTOCOL_CONFIG_CODEC_H
#define FP_PROTOCOL_CONFIG_CODEC_H

#include <jansson.h>

#include "base/status.h"
#include "state/config.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Version of the record's format. */
#define FP_CONFIG_VERSION 1
/** Longest record, bytes: the limit of a value in the store. */
#define FP_CONFIG_MAX_BYTES 1000000

/**
 * Encodes a configuration.
 *
 * @param text  set to malloc'd text, which the caller frees; NULL on failure
 * @return FP_OK, FP_FULL when the record would be too long, FP_NOMEM
 */
enum fp_status fp_config_encode(const struct fp_config *c, char **text);

/**
 * Decodes, checks and indexes a record.
 *
 * @param c  set on FP_OK; free it with fp_config_end()
 * @return FP_OK; FP_INVALID with a last message that names the entry and the
 *         member; FP_NOMEM
 */
enum fp_status fp_config_decode(const char *text, size_t len,
				struct fp_config **c);

/** Encodes the declared lists as JSON, without keys and operators; NULL when
 *  out of memory. */
json_t *fp_declarations_to_json(const struct fp_config *c);

/** Decodes and checks declared lists; keys and operators are empty. */
enum fp_status fp_declarations_from_json(const json_t *j, struct fp_config **c);

#ifdef __cplusplus
}
#endif
#endif
