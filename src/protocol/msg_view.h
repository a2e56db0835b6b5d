/* msg_view.h - messages that spread views of slices and begin a transfer */
#ifndef FP_PROTOCOL_MSG_VIEW_H
#define FP_PROTOCOL_MSG_VIEW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "protocol/pack.h"
#include "state/slice_map.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Longest control address, with NUL. */
#define FP_VIEW_ADDRESS_BYTES 54

/** Types of control messages; 112 to 127 are reserved for views. */
enum fp_msg_view_type {
	FP_MSG_VIEW_DIGEST = 112, /**< generations known to the sender */
	FP_MSG_VIEW_RECORDS, /**< views that may be newer than the receiver's */
	FP_MSG_VIEW_SNAPSHOT, /**< primary to backup: length of the snapshot */
	FP_MSG_VIEW_TYPE_END
};

/** One process of a view. */
struct fp_view_node {
	uint64_t id; /**< 0: none */
	char address[FP_VIEW_ADDRESS_BYTES]; /**< empty if not known */
};

/** The newest view of one slice known to a node. */
struct fp_view_record {
	uint32_t slice;
	uint64_t version; /**< in the store; 0: not stored yet */
	uint64_t epoch;
	struct fp_view_node primary;
	struct fp_view_node backup;
	bool backup_ready;
	uint64_t renewals; /**< as in struct fp_slice_view */
};

/** Announces that the changes 1 to snapshot_seq make up the complete state. */
struct fp_view_snapshot {
	uint32_t slice;
	uint64_t epoch;
	uint64_t snapshot_seq;
};

/** One message; the type selects the member of the union. */
struct fp_msg_view {
	enum fp_msg_view_type type;
	uint32_t n_records;
	union {
		/** Generation of each view, 0 if not known. */
		uint64_t generations[FP_SLICES];
		struct fp_view_record records[FP_SLICES];
		struct fp_view_snapshot snapshot;
	};
};

/** Appends an encoded message to a buffer that the caller owns. */
void fp_msg_view_encode(const struct fp_msg_view *m, msgpack_sbuffer *out);

/** Decodes a message; FP_INVALID with a last message. */
enum fp_status fp_msg_view_decode(const uint8_t *data, size_t bytes,
				  struct fp_msg_view *m);

#ifdef __cplusplus
}
#endif
#endif
