/* membership.h - fleet membership of this node: sockets, joining, snapshots
 *
 * All functions and callbacks run on the control thread. The protocol itself is
 * in coordination/swim.h.
 */
#ifndef FP_NODE_MEMBERSHIP_H
#define FP_NODE_MEMBERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/member.h"
#include "coordination/store.h"
#include "coordination/swim.h"
#include "node/traffic.h"
#include "protocol/settings.h"
#include "transport/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

struct membership;

/** Callbacks from membership to control, on the control thread. */
struct membership_ops {
	/** The member table changed; the callee takes ownership of m. */
	void (*table)(void *ctx, struct fp_member_table *m);
	/** A member reported its control state. */
	void (*status)(void *ctx, const char *control_addr,
		       const struct fp_swim_status *st);
	/** Sends a control message over a link; delivery is not guaranteed. */
	void (*send_link)(void *ctx, const char *addr, const void *data,
			  size_t bytes);
	/** This node became a delegate of its failure domain, or is no longer
	 *  one. */
	void (*delegate)(void *ctx, bool delegate);
	void *ctx;
};

/**
 * Creates the membership and opens its datagram socket. l, s and store must
 * outlive the result.
 *
 * @return FP_OK; FP_NOMEM; or the error of the socket
 */
enum fp_status membership_init(struct fp_loop *l, const struct fp_settings *s,
			       uint64_t node_id, struct fp_store *store,
			       struct fp_counters *cs,
			       const struct membership_ops *ops,
			       struct membership **out);
/** Handles a message of msg_swim.h that arrived over a link from the address
 *  from ("IP:PORT"); FP_INVALID if either is malformed. */
enum fp_status membership_message(struct membership *m, const char *from,
				  const uint8_t *data, size_t bytes);
/** Sets the announced state of the worker beside this node. */
void membership_worker(struct membership *m, const struct fp_worker *w);
/** Replaces the secrets that authenticate datagrams. */
void membership_set_secrets(struct membership *m, const struct fp_settings *s);
/** Sets the control state that probes report for this node. */
void membership_set_status(struct membership *m,
			   const struct fp_swim_status *st);
/** Runs the protocol timers, publishes changes and maintains the join record;
 *  to be called at least every FP_SWIM_TICK_US. */
void membership_tick(struct membership *m, int64_t now_us);
/** Returns the state of a process; FP_MEMBER_DEAD with *known false if there is
 *  no record of it. */
enum fp_member_state membership_state(const struct membership *m, uint64_t id,
				      bool *known);
/** Returns whether this node is isolated from the fleet and the store; see
 *  fp_reach_is_isolated(). */
bool membership_is_isolated(const struct membership *m, int64_t store_age_us);
/** Announces the end of this process to the other members, which then take over
 *  its work. The process must have stopped all work shared with them before. */
void membership_leave(struct membership *m);
/** Returns whether the announcement of membership_leave() has been sent often
 *  enough, or there is no other member to send it to. */
bool membership_has_left(const struct membership *m);
/** Counts live, suspect, dead and left members. */
void membership_count(const struct membership *m, struct fp_swim_counts *c);
/** Frees the membership; accepts NULL. */
void membership_end(struct membership *m);

#ifdef __cplusplus
}
#endif
#endif
