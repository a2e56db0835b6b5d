/* msg_crash.h - report of a request that was in flight when a worker crashed */
#ifndef FP_PROTOCOL_MSG_CRASH_H
#define FP_PROTOCOL_MSG_CRASH_H

#include <stdint.h>

#include "base/status.h"
#include "protocol/pack.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Message type on both the call net and the control net; 24 to 31 are
 *  reserved for this file. */
enum fp_crash_msg_type { FP_MSG_CRASH = 24 };

/** One request that was in flight at one crash. */
struct fp_msg_crash {
	uint64_t fingerprint; /**< of the root request of its call tree */
	uint64_t crash_id; /**< hash of the crashed worker's instance id */
};

/** Appends an encoded report to a buffer that the caller owns. */
void fp_msg_crash_encode(const struct fp_msg_crash *m, msgpack_sbuffer *out);
/** Decodes a report; FP_OK, or FP_INVALID with a last message. */
enum fp_status fp_msg_crash_decode(const uint8_t *data, size_t bytes,
				   struct fp_msg_crash *m);

#ifdef __cplusplus
}
#endif
#endif
