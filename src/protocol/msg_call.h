/* msg_call.h - messages that carry calls between nodes */
#ifndef FP_PROTOCOL_MSG_CALL_H
#define FP_PROTOCOL_MSG_CALL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "protocol/pack.h"
#include "state/admission.h"
#include "state/worker_model.h"
#include "state/early_shed.h"
#include "state/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Types of messages on the call net. */
enum fp_call_msg_type {
	FP_MSG_CALL = 1,
	FP_MSG_REPLY = 2,
	FP_MSG_CANCEL = 3,
};

/** Maximum number of headers in a message. */
#define FP_MAX_CALL_HEADERS 64
/** Longest method and request target, bytes with NUL. */
#define FP_METHOD_BYTES 64
#define FP_URI_BYTES	8192
/** Maximum nesting depth of calls. */
#define FP_MAX_DEPTH 32

/** One header; NUL-terminated texts, owned by the creator of the message. */
struct fp_msg_header {
	const char *name;
	const char *value;
};

/** Headers and a body. After decoding, texts belong to the message. */
struct fp_msg_content {
	struct fp_msg_header headers[FP_MAX_CALL_HEADERS];
	uint32_t n_headers;
	const uint8_t *body; /**< points into the input after decoding */
	size_t body_bytes;
};

/** Entry node, which received the request, to exit node, whose backend server
 *  runs it. */
struct fp_msg_call {
	uint64_t corr; /**< correlation id, chosen by the sender */
	uint8_t root[FP_CALL_ID_BYTES]; /**< id of the root of the call tree */
	char org[FP_NAME_BYTES]; /**< "" on open routes */
	uint32_t org_weight; /**< weight in the exit node's admission queue */
	enum fp_class cls;
	uint8_t rank; /**< order of shedding, see fp_shed_rank() */
	bool nested; /**< made by a backend server while it runs another call */
	bool non_idempotent; /**< not resent after an unknown outcome */
	char route[FP_NAME_BYTES];
	char service[FP_NAME_BYTES];
	char caller[FP_NAME_BYTES]; /**< service of the VM that sends it */
	char method[FP_METHOD_BYTES];
	char uri[FP_URI_BYTES];
	int64_t left_us; /**< time left to the deadline */
	uint32_t attempts; /**< retries that the subtree may make */
	uint32_t depth; /**< nesting depth; 0: root */
	uint64_t fingerprint; /**< of the root request of the call tree */
	struct fp_msg_content content;
};

/** Exit node to entry node: outcome of the call. */
struct fp_msg_reply {
	uint64_t corr; /**< of the call */
	enum fp_outcome outcome;
	enum fp_reason reason; /**< FP_REASON_NONE: content is the answer */
	int http_status;
	int64_t run_us; /**< time at the backend server */
	uint32_t attempts_unused; /**< of the attempts in the call */
	/** Loads of the services that the call and its nested calls used. */
	struct fp_service_load service_loads[FP_EARLY_SHED_MAX_SERVICES];
	uint32_t n_service_loads;
	struct fp_admission_load
		admission_load; /**< admission load of the exit node */
	/** what the exit node knows of its worker's speed, for this route */
	struct fp_worker_speed speed;
	struct fp_msg_content content;
};

/** Memory that a decoded message points to, besides the input. */
struct fp_msg_memory {
	char *texts; /**< header texts with their NULs */
};

/** Finds the value of a header, ignoring case; NULL if it is absent. */
const char *fp_msg_header_find(const struct fp_msg_content *c,
			       const char *name);

/** Append an encoded message to a buffer that the caller owns. */
void fp_msg_call_encode(const struct fp_msg_call *m, msgpack_sbuffer *out);
void fp_msg_reply_encode(const struct fp_msg_reply *m, msgpack_sbuffer *out);
void fp_msg_cancel_encode(uint64_t corr, msgpack_sbuffer *out);

/**
 * Decode a message. The body points into data.
 *
 * @param mem  set on FP_OK; the caller frees it with fp_msg_memory_end()
 * @return FP_OK, or FP_INVALID with a last message
 */
enum fp_status fp_msg_call_decode(const uint8_t *data, size_t bytes,
				  struct fp_msg_call *m,
				  struct fp_msg_memory *mem);
enum fp_status fp_msg_reply_decode(const uint8_t *data, size_t bytes,
				   struct fp_msg_reply *m,
				   struct fp_msg_memory *mem);
enum fp_status fp_msg_cancel_decode(const uint8_t *data, size_t bytes,
				    uint64_t *corr);
/** Frees the texts of a decoded message. */
void fp_msg_memory_end(struct fp_msg_memory *mem);

#ifdef __cplusplus
}
#endif
#endif
