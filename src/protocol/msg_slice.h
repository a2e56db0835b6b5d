/* msg_slice.h - messages between primary and backup of a slice, with codec */
#ifndef FP_PROTOCOL_MSG_SLICE_H
#define FP_PROTOCOL_MSG_SLICE_H

#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "state/slice_map.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Buffer size that fits every encoded slice message. */
#define FP_MSG_SLICE_BYTES 4096

/** Types of control messages; 64 to 95 are reserved for slices. */
enum fp_msg_slice_type {
	FP_MSG_SLICE_PROMISE_REQUEST = 64, /**< primary requests a promise */
	FP_MSG_SLICE_PROMISE, /**< backup will not take over for a fixed time */
	FP_MSG_SLICE_HANDOVER, /**< primary gives up the slice */
	FP_MSG_SLICE_HANDOVER_ACK, /**< backup received HANDOVER */
	FP_MSG_SLICE_RESIGN, /**< backup will not take over in this epoch */
	FP_MSG_SLICE_RESIGN_ACK, /**< primary received RESIGN */
	FP_MSG_SLICE_TRANSFER, /**< primary starts to copy to a new backup */
	FP_MSG_SLICE_TRANSFER_DONE, /**< backup has the complete state */
	FP_MSG_SLICE_TYPE_END
};

/** The part of a message that concerns one slice. */
struct fp_msg_slice_item {
	uint32_t slice; /**< below FP_SLICES */
	uint64_t epoch; /**< of the sender's view */
	uint64_t version; /**< store version of that view */
	/** remaining time in which claims of earlier owners may be missing; 0:
	 *  none are */
	int64_t claims_lost_for_us;
};

/**
 * One message about up to FP_SLICES slices of the same pair of nodes.
 *
 * On the wire: [type, correlation, from, to, request_us, [[slice, epoch,
 * version, claims_lost_for_us], ...]], msgpack.
 */
struct fp_msg_slice {
	enum fp_msg_slice_type type;
	uint64_t correlation; /**< not used by any sender or receiver; 0 */
	uint64_t from; /**< process id of the sender */
	uint64_t to; /**< process id of the receiver; others drop it */
	int64_t request_us; /**< sender's clock at the promise request, echoed
			     *   in the promise */
	uint32_t n_items; /**< at least 1 */
	struct fp_msg_slice_item items[FP_SLICES];
};

/**
 * Encodes a message.
 *
 * @param len  set to the bytes written
 * @return FP_OK; with a last message FP_INVALID (type or number of items) or
 *         FP_FULL if the buffer may be too small
 */
enum fp_status fp_msg_slice_encode(const struct fp_msg_slice *m, uint8_t *buf,
				   size_t size, size_t *len);

/**
 * Decodes a message; trailing bytes are an error.
 *
 * @return FP_OK, or FP_INVALID with a last message
 */
enum fp_status fp_msg_slice_decode(struct fp_msg_slice *m, const uint8_t *buf,
				   size_t len);

#ifdef __cplusplus
}
#endif
#endif
