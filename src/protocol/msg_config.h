/* msg_config.h - messages that distribute the configuration among nodes */
#ifndef FP_PROTOCOL_MSG_CONFIG_H
#define FP_PROTOCOL_MSG_CONFIG_H

#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "protocol/pack.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Types of control messages; 16 to 23 are reserved for this file. */
enum fp_config_msg_type {
	FP_MSG_CONFIG_GET = 16, /**< requests the record */
	FP_MSG_CONFIG_RECORD = 17, /**< response with the record */
};

/** Maximum store_age_us of a message: one day. */
#define FP_MAX_AGE_US INT64_C(86400000000)

/** One revision of the configuration record, as in the store. */
struct fp_msg_config_record {
	uint64_t revision;
	uint64_t store_version; /**< version of the record's key in the store */
	int64_t store_age_us; /**< time since the newest store contact that the
			       *   sender made or received a report of */
	const char *text; /**< points into the input; not terminated */
	size_t text_bytes;
};

/** Appends an encoded request to out. */
void fp_msg_config_get_encode(msgpack_sbuffer *out);
/** Appends an encoded record to out. */
void fp_msg_config_record_encode(const struct fp_msg_config_record *m,
				 msgpack_sbuffer *out);
/** Returns FP_OK when the message is a request, else FP_INVALID. */
enum fp_status fp_msg_config_get_decode(const uint8_t *data, size_t bytes);
/** Decodes a record; FP_INVALID with a last message. */
enum fp_status fp_msg_config_record_decode(const uint8_t *data, size_t bytes,
					   struct fp_msg_config_record *m);

#ifdef __cplusplus
}
#endif
#endif
