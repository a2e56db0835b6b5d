/* owner.h - buckets of organisations at the node that owns them, hosted only */
#ifndef FP_NODE_OWNER_H
#define FP_NODE_OWNER_H

#include "node/traffic_private.h"
#include "protocol/msg_shared.h"

void owner_init(struct fp_traffic *t);

/** Members or configuration changed: takes over buckets, drops others. */
void owner_update(struct fp_traffic *t);

/** Returns the node that is asked for an organisation's tokens: the highest in
 *  rank whose link is not lost, after so many that are passed over; 0: none. */
uint64_t owner_to_ask(const struct fp_traffic *t, const char *org,
		      uint32_t passed_over);

/** A number above 0 that changes when another node may have to be asked. */
uint64_t owner_view(const struct fp_traffic *t);

/** Sends an ask, a return or a commitment to a node, which may be this one. */
void owner_send(struct fp_traffic *t, uint64_t id,
		const struct fp_msg_shared *m);

/** Takes a message about grants or parts; FP_INVALID when it is none. */
enum fp_status owner_message(struct fp_traffic *t, struct fp_peer_link *link,
			     const struct fp_msg_shared *m);

/** The link to a node came up, or went down after it had been up. */
void owner_link(struct fp_traffic *t, const char *addr, bool up);

void owner_tick(struct fp_traffic *t, int64_t now_us);
void owner_end(struct fp_traffic *t);

#endif
