/* msg_body.h - messages that carry the body of a call in parts */
#ifndef FP_PROTOCOL_MSG_BODY_H
#define FP_PROTOCOL_MSG_BODY_H

#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "protocol/pack.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Types of messages on the call net, beside those of enum fp_call_msg_type. */
enum fp_body_msg_type {
	FP_MSG_BODY_CALL = 4, /**< entry to exit: a call whose body follows */
	FP_MSG_BODY_PART = 5, /**< entry to exit */
	FP_MSG_BODY_CREDIT = 6, /**< exit to entry */
};

/** A call whose body follows in parts. */
struct fp_msg_body_call {
	uint64_t body_bytes; /**< length of the body, not 0 */
	const uint8_t *call; /**< encoded FP_MSG_CALL without a body */
	size_t call_bytes;
};

/** A part of a body, in the order of their offsets. */
struct fp_msg_body_part {
	uint64_t corr; /**< of the call */
	uint64_t at; /**< offset in the body */
	const uint8_t *data;
	size_t bytes;
};

/** Bytes of a body, from its beginning, that the exit node takes. */
struct fp_msg_body_credit {
	uint64_t corr; /**< of the call */
	uint64_t upto;
};

/** Append an encoded message to a buffer that the caller owns. */
void fp_msg_body_call_encode(const struct fp_msg_body_call *m,
			     msgpack_sbuffer *out);
void fp_msg_body_part_encode(const struct fp_msg_body_part *m,
			     msgpack_sbuffer *out);
void fp_msg_body_credit_encode(const struct fp_msg_body_credit *m,
			       msgpack_sbuffer *out);

/** Decode a message, FP_OK, or FP_INVALID with a last message. Byte strings
 *  point into data. */
enum fp_status fp_msg_body_call_decode(const uint8_t *data, size_t bytes,
				       struct fp_msg_body_call *m);
enum fp_status fp_msg_body_part_decode(const uint8_t *data, size_t bytes,
				       struct fp_msg_body_part *m);
enum fp_status fp_msg_body_credit_decode(const uint8_t *data, size_t bytes,
					 struct fp_msg_body_credit *m);

#ifdef __cplusplus
}
#endif
#endif
