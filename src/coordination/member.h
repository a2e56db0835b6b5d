/* member.h - table of the fleet's nodes and their workers, for routing calls */
#ifndef FP_COORDINATION_MEMBER_H
#define FP_COORDINATION_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "state/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** "255.255.255.255:65535" with its NUL. */
#define FP_MEMBER_ADDR_BYTES 24

/** The last announcement of a worker that is leaving or has left. Tells a later
 *  process of its node which announcements are old. */
struct fp_worker_end {
	char instance[FP_INSTANCE_BYTES]; /**< empty: it is not leaving */
	int64_t started_ms; /**< its start, Unix ms; 0: not announced */
	uint64_t sequence; /**< of the announcement; 0: not announced */
	bool deregistered; /**< this start does not register again */
};

/** One node and its worker. */
struct fp_member {
	uint64_t id; /**< new for each process; see new_id() in node.c */
	char name[FP_NAME_BYTES];
	char peer_addr[FP_MEMBER_ADDR_BYTES]; /**< receives calls */
	/** Receives control messages. */
	char control_addr[FP_MEMBER_ADDR_BYTES];
	char failure_domain[FP_NAME_BYTES];
	char region[FP_NAME_BYTES];
	char service[FP_NAME_BYTES];
	uint32_t slots; /**< calls its worker runs at once; 0: not announced */
	int64_t warm_ms; /**< end of its worker's slow start, Unix ms; 0: not
			      announced */
	/** Its name has been a member since then, without a gap that other
	 *  members noticed, Unix ms. */
	int64_t member_since_ms;
	/** Number of this record among those that its process has written, from
	 *  1; 0: not told. Shows which of two is older, whatever their
	 *  revisions. */
	uint64_t sequence;
	bool serving; /**< its worker accepts new calls */
	bool suspected; /**< did not answer probes; may be dead */
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
