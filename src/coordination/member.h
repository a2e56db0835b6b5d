/* member.h - what traffic knows of the other nodes and their workers */
#ifndef FP_COORDINATION_MEMBER_H
#define FP_COORDINATION_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "state/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** "255.255.255.255:65535" and its end. */
#define FP_MEMBER_ADDR_BYTES 24

/** One node and its worker. */
struct fp_member {
	uint64_t id; /**< random, one a process */
	char name[FP_NAME_BYTES];
	char peer_addr[FP_MEMBER_ADDR_BYTES]; /**< calls */
	char control_addr[FP_MEMBER_ADDR_BYTES]; /**< control */
	char failure_domain[FP_NAME_BYTES];
	char region[FP_NAME_BYTES];
	char service[FP_NAME_BYTES];
	uint32_t slots; /**< of its worker; 0 when none is announced */
	int64_t warm_ms; /**< its worker is slow until then, Unix ms; 0: not
			      told */
	int64_t known_ms; /**< its name has had a record since then without a
			       gap that others noticed, Unix ms */
	bool serving; /**< its worker takes new work */
	bool suspected; /**< may be dead */
};

/** All nodes that are not known to be dead; immutable once published. */
struct fp_member_table {
	uint32_t n;
	struct fp_member members[];
};

#ifdef __cplusplus
}
#endif
#endif
