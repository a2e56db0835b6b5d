/* owner.h - token buckets of organisations at their owner, hosted only */
#ifndef FP_NODE_OWNER_H
#define FP_NODE_OWNER_H

#include "node/traffic_private.h"
#include "protocol/msg_shared.h"

/** All functions run on the traffic thread. */
void owner_init(struct fp_traffic *t);

/** Applies a change of members or configuration: creates the buckets that this
 *  node now owns and frees those of other owners that hold no rate share. */
void owner_update(struct fp_traffic *t);

/** Returns the id of the node to request an organisation's tokens from: the
 *  highest-ranked member whose link is not disconnected, after skipping the
 *  first n_skipped of these; 0 if there is none. */
uint64_t owner_select(struct fp_traffic *t, const char *org,
		      uint32_t n_skipped);

/** Returns a number that increases with every change of members or links, at
 *  least 1. While it is the same, owner_select() returns the same results. */
uint64_t owner_view(const struct fp_traffic *t);

/** Sends a token request, a grant return or a commitment to a node, which may
 *  be this one. Delivery is not guaranteed. */
void owner_send(struct fp_traffic *t, uint64_t id,
		const struct fp_msg_shared *m);

/** Handles a message about grants or rate shares; FP_INVALID for any other
 *  type. */
enum fp_status owner_message(struct fp_traffic *t, struct fp_peer_link *link,
			     const struct fp_msg_shared *m);

/** Handles a link that came up, or that went down after it had been up. */
void owner_link(struct fp_traffic *t, const struct fp_peer_identity *who,
		bool up);

/** Logs grants and reconnects disconnected members; called at every tick of the
 *  traffic thread. */
void owner_tick(struct fp_traffic *t, int64_t now_us);
void owner_end(struct fp_traffic *t);

#endif
