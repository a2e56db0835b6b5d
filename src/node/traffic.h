/* traffic.h - the thread that carries calls
 *
 * Owns the listeners of callers and of the backend server, the call links to
 * other nodes and the connections to the backend server. Control hands it
 * immutable snapshots; it asks control through struct fp_traffic_hooks, whose
 * functions only post and never wait.
 */
#ifndef FP_NODE_TRAFFIC_H
#define FP_NODE_TRAFFIC_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/counters.h"
#include "base/status.h"
#include "coordination/member.h"
#include "protocol/dialect.h"
#include "protocol/msg_shared.h"
#include "protocol/settings.h"
#include "state/config.h"
#include "state/rate_share.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fp_traffic;

/** How long a stopping node still takes connections, so that callers and other
 *  nodes learn of it from its answers and not from a refused connection. */
#define FP_LAME_DUCK_US (2 * FP_US_PER_S)

/** What the backend server of this VM announced. */
struct fp_worker {
	uint16_t port;
	uint32_t slots;
	char instance[FP_NAME_BYTES]; /**< new at each of its starts */
	int64_t born_ms; /**< its start, Unix milliseconds; 0: not said */
	int64_t warm_ms; /**< it is slow until then, Unix ms; 0: not said */
	uint64_t sequence; /**< of its last announcement, if it has one */
	bool serving; /**< announced, not leaving, not silent */
};

/** What traffic tells control. */
struct fp_traffic_hooks {
	/** The worker's announced state changed. */
	void (*worker)(void *ctx, const struct fp_worker *w);
	/** After fp_traffic_drain: the last call in flight has ended. */
	void (*drained)(void *ctx);
	/**
	 * Sends a message of msg_shared.h to the primary of a slice. An answer
	 * comes back by fp_traffic_from_slice with the same correlation id, or
	 * never; the asker has its own timeout.
	 */
	void (*to_slice)(void *ctx, uint32_t slice, const void *data,
			 size_t bytes);
	/** A request was in flight when this node's worker crashed. */
	void (*crash)(void *ctx, uint64_t fingerprint, uint64_t crash_id);
	/** A message about the operators' record from the node at addr. */
	void (*record)(void *ctx, const char *addr,
		       const struct fp_msg_shared *m);
	void *ctx;
};

/** Opens the listeners; nothing is taken before fp_traffic_start. */
enum fp_status fp_traffic_init(const struct fp_settings *s,
			       const struct fp_dialect *dialect,
			       uint64_t node_id, struct fp_clock *clock,
			       struct fp_counters *cs,
			       const struct fp_traffic_hooks *hooks,
			       struct fp_traffic **out);
/** Starts the thread. */
enum fp_status fp_traffic_start(struct fp_traffic *t);

/** Hands over a configuration, which traffic then owns; any thread. */
void fp_traffic_set_config(struct fp_traffic *t, struct fp_config *c);
/** Hands over a malloc'd member table, which traffic then owns; any thread. */
void fp_traffic_set_members(struct fp_traffic *t, struct fp_member_table *m);
/** An answer of a slice's primary, encoded; copied; any thread. */
void fp_traffic_from_slice(struct fp_traffic *t, const void *data,
			   size_t bytes);
/** A crash seen anywhere in the fleet; any thread. */
void fp_traffic_crash(struct fp_traffic *t, uint64_t fingerprint,
		      uint64_t crash_id);
/** Sends a message to the node at addr; copied; any thread. */
void fp_traffic_send(struct fp_traffic *t, const char *addr,
		     const struct fp_msg_shared *m);
/** Whether this node is cut off and must not trust its keys; any thread. */
void fp_traffic_set_isolated(struct fp_traffic *t, bool isolated);
/**
 * The operators' record in force here was the newest one at asked_us; any
 * thread. From the first call on, keyed requests are taken only while the last
 * one is younger than the settings' revoke time less a margin.
 */
void fp_traffic_set_current(struct fp_traffic *t, int64_t asked_us);
/** When this node has a part of the organisations' rates; any thread. */
void fp_traffic_set_right(struct fp_traffic *t, const struct fp_right *r);
/** Takes bounds that were read anew; copied; any thread. */
void fp_traffic_set_settings(struct fp_traffic *t, const struct fp_settings *s);
/** Replaces the fleet's secrets; any thread. */
void fp_traffic_set_secrets(struct fp_traffic *t, const struct fp_settings *s);
/**
 * Has the node take no new work and end what is in flight; any thread.
 * The drained hook is called once, when that is done.
 */
void fp_traffic_drain(struct fp_traffic *t);

/** Stops the thread; NULL is allowed. */
void fp_traffic_halt(struct fp_traffic *t);

/** Stops the thread and frees all. */
void fp_traffic_end(struct fp_traffic *t);

#ifdef __cplusplus
}
#endif
#endif
