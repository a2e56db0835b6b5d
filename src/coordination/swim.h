/*
 * swim.h - membership of the fleet by SWIM: probes, suspicion and gossip
 *
 * Order of use: init; join with each seed; tick at least every FP_SWIM_TICK_US
 * and message for each received message; leave; tick until fp_swim_has_left();
 * end. Not thread-safe. now_us is monotonic time in microseconds. The caller
 * authenticates messages.
 */
#ifndef FP_COORDINATION_SWIM_H
#define FP_COORDINATION_SWIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "protocol/msg_swim.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Maximum size of a fleet. The table has twice as many entries, so that ended
 *  members can be kept too. */
#define FP_SWIM_MAX_MEMBERS 1024
/** Longest time between two ticks, microseconds. */
#define FP_SWIM_TICK_US INT64_C(100000)

struct fp_swim;
struct fp_swim_host;

/** Callbacks to the node. They may look up members, but must not call functions
 *  that change the membership. */
struct fp_swim_ops {
	/** Sends a message, over TCP when bulk, else as a datagram. */
	void (*send)(struct fp_swim_host *h, const char *address, uint16_t port,
		     const uint8_t *buf, size_t len, bool bulk);
	/** A member was added, or its record or state changed. */
	void (*changed)(struct fp_swim_host *h, const struct fp_swim_member *m);
	/** The process with that id has ended: it deregistered, or a later
	 *  process has its address. */
	void (*ended)(struct fp_swim_host *h, uint64_t id);
	/** Control state that a member sent with a ping or its answer. */
	void (*status)(struct fp_swim_host *h, uint64_t id,
		       const struct fp_swim_status *st);
	/** Returns a uniform random number. */
	uint32_t (*random_u32)(struct fp_swim_host *h);
};

/** The node that uses a membership; embedded as the first member. */
struct fp_swim_host {
	const struct fp_swim_ops *ops;
};

/** Number of members by state; this node counts as alive. */
struct fp_swim_counts {
	uint32_t alive;
	uint32_t suspect;
	uint32_t dead;
	uint32_t left;
};

/**
 * Creates the membership of one node.
 *
 * @param self  this node's record; the id must be new at each start, and no
 *              other process may have the address
 * @return NULL when out of memory
 */
struct fp_swim *fp_swim_init(struct fp_swim_host *h,
			     const struct fp_swim_member *self, int64_t now_us);

/** Requests the member list of the node at an address. The request may be lost:
 *  call it again until there are members. */
void fp_swim_join(struct fp_swim *s, const char *address, uint16_t port);

/** Sends probes and updates that are due, and expires suspicions. */
void fp_swim_tick(struct fp_swim *s, int64_t now_us);

/**
 * Handles a received message.
 *
 * @param address, port  of the sender, for the answer
 * @return FP_OK, or FP_INVALID with a last message
 */
enum fp_status fp_swim_message(struct fp_swim *s, const char *address,
			       uint16_t port, const uint8_t *buf, size_t len,
			       int64_t now_us);

/** Sets the control state to send with pings and answers. */
void fp_swim_set_status(struct fp_swim *s, const struct fp_swim_status *st);

/** Sets the state of this node's backend server and queues the update; a change
 *  to FP_WORKER_LEAVING is sent at once. */
void fp_swim_set_worker(struct fp_swim *s, enum fp_worker_state worker,
			uint32_t slots, uint32_t worker_starts, int64_t now_us);

/** Deregisters this node, which is final; only for a process that is about to
 *  end. */
void fp_swim_leave(struct fp_swim *s, int64_t now_us);

/** Whether the deregistration has been sent often enough to end. */
bool fp_swim_has_left(const struct fp_swim *s);

/** Returns a member, NULL when unknown; valid until the next call. */
const struct fp_swim_member *fp_swim_find(const struct fp_swim *s, uint64_t id);

/** Returns this node's record. */
const struct fp_swim_member *fp_swim_self(const struct fp_swim *s);

/** Calls fn for each member, this node first, including ended ones. */
void fp_swim_each(const struct fp_swim *s,
		  void (*fn)(void *ctx, const struct fp_swim_member *m),
		  void *ctx);
/** Counts the members by state. */
void fp_swim_count(const struct fp_swim *s, struct fp_swim_counts *c);

/** Digest of the live members' ids and incarnations, in any order. */
uint64_t fp_swim_digest(const struct fp_swim *s);
/** Frees a membership; accepts NULL. */
void fp_swim_end(struct fp_swim *s);

#ifdef __cplusplus
}
#endif
#endif
