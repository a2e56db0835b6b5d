/* msg_crash.h - report of a request that was in flight when a worker crashed */
#ifndef FP_PROTOCOL_MSG_CRASH_H
#define FP_PROTOCOL_MSG_CRASH_H

#include <stdint.h>

#include "base/status.h"
#include "protocol/pack.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Type number on both nets; 24..31 belong to this file. */
enum fp_crash_msg_type { FP_MSG_CRASH = 24 };

/** One request that was in flight at one crash. */
struct fp_msg_crash {
	uint64_t fingerprint; /**< of the request at its root */
	uint64_t crash_id; /**< hash of the crashed worker's instance */
};

void fp_msg_crash_encode(const struct fp_msg_crash *m, msgpack_sbuffer *out);
enum fp_status fp_msg_crash_decode(const uint8_t *data, size_t bytes,
				   struct fp_msg_crash *m);

#ifdef __cplusplus
}
#endif
#endif
