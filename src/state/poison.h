/* poison.h - holds back requests that were in flight when two workers
 * crashed */
#ifndef FP_STATE_POISON_H
#define FP_STATE_POISON_H

#include <stdint.h>

#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fp_poison;

/**
 * Makes an empty table; NULL when out of memory.
 *
 * @param hold_us  how long a fingerprint is held back after its last crash
 */
struct fp_poison *fp_poison_init(int64_t hold_us);

/**
 * Records that a fingerprint was in flight when a worker crashed.
 *
 * @param crash_id  identifies the crash, that is one instance of one worker;
 *                  the same report may arrive several times
 * @return FP_OK when it is held back from now on, FP_AGAIN when not yet
 */
enum fp_status fp_poison_report(struct fp_poison *p, uint64_t fingerprint,
				uint64_t crash_id, int64_t now_us);

/** Returns FP_OK, or FP_DENIED with *wait_us set while it is held back. */
enum fp_status fp_poison_check(struct fp_poison *p, uint64_t fingerprint,
			       int64_t now_us, int64_t *wait_us);
void fp_poison_end(struct fp_poison *p);

#ifdef __cplusplus
}
#endif
#endif
