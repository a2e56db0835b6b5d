/* rumor.h - detects repeated crash reports in gossip */
#ifndef FP_COORDINATION_RUMOR_H
#define FP_COORDINATION_RUMOR_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/msg_crash.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Reports remembered, so that a node forwards each one once. */
#define FP_RUMOR_ENTRIES 1024

/** Ring buffer of the last reports; zero it before first use. */
struct fp_rumor {
	struct fp_msg_crash seen[FP_RUMOR_ENTRIES];
	uint32_t next;
};

/** Records a crash report and returns whether it is new. The caller acts on a
 *  new report and forwards it. A report that has left the buffer counts as new
 *  again, which is harmless. */
bool fp_rumor_is_new(struct fp_rumor *r, const struct fp_msg_crash *m);

#ifdef __cplusplus
}
#endif
#endif
