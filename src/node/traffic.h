/* traffic.h - the traffic thread, which accepts, forwards and executes calls
 *
 * Owns the listeners for callers and for the backend server, the call links to
 * other nodes and the connections to the backend server. The control thread
 * passes it immutable snapshots of configuration and members. It calls control
 * through struct fp_traffic_hooks; these callbacks only post work to the
 * control thread and never block.
 *
 * Order of use: fp_traffic_init(), fp_traffic_start(), any number of calls from
 * any thread, optionally fp_traffic_drain(), fp_traffic_halt(),
 * fp_traffic_end().
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

/** How long a stopping node still accepts connections, microseconds. During
 *  this time callers and other nodes are informed of the stop by its responses
 *  instead of by a refused connection. */
#define FP_DRAIN_ACCEPT_US (2 * FP_US_PER_S)

/** State of the backend server of this VM, from its announcements. */
struct fp_worker {
	uint16_t port; /**< where it accepts requests */
	uint32_t slots; /**< requests that it runs at once */
	char instance[FP_INSTANCE_BYTES]; /**< differs after each start */
	int64_t started_ms; /**< start time, Unix ms; 0: not announced */
	int64_t warm_until_ms; /**< end of its slow start phase, Unix ms; 0: not
			      announced */
	uint64_t sequence; /**< of the last announcement; 0: not announced */
	bool serving; /**< announced, not leaving, and its announcements have
			   not stopped */
	bool leaving; /**< it announced that it is leaving or has left */
	bool deregistered; /**< this start does not register again */
};

/** Callbacks from traffic to control, called on the traffic thread. */
struct fp_traffic_hooks {
	/** The announced state of the worker changed. */
	void (*worker)(void *ctx, const struct fp_worker *w);
	/** Draining is complete: the last call in flight has ended, or the
	 *  grace time is nearly over. Called once after fp_traffic_drain(). */
	void (*drained)(void *ctx);
	/**
	 * Sends an encoded message of msg_shared.h to the primary of a slice.
	 * The response, if any, arrives through fp_traffic_slice_response()
	 * with the same correlation id. Delivery is not guaranteed; the
	 * requester applies its own timeout.
	 */
	void (*to_slice)(void *ctx, uint32_t slice, const void *data,
			 size_t bytes);
	/** A request was in flight when this node's worker crashed. */
	void (*crash)(void *ctx, uint64_t fingerprint, uint64_t crash_id);
	/** A message about the configuration record or about member records
	 *  arrived from the node at addr. */
	void (*config_message)(void *ctx, const char *addr,
			       const struct fp_msg_shared *m);
	void *ctx;
};

/**
 * Creates the traffic state and opens the listeners. No connection is served
 * before fp_traffic_start().
 *
 * @param s, dialect, clock, cs  must outlive the result
 * @param hooks  copied
 * @return FP_OK; FP_NOMEM; or the error of a listener that cannot be opened
 */
enum fp_status fp_traffic_init(const struct fp_settings *s,
			       const struct fp_dialect *dialect,
			       uint64_t node_id, struct fp_clock *clock,
			       struct fp_counters *cs,
			       const struct fp_traffic_hooks *hooks,
			       struct fp_traffic **out);
/** Starts the thread; FP_IO when it cannot be created. */
enum fp_status fp_traffic_start(struct fp_traffic *t);

/** Sets the configuration and takes ownership of c. A revision that is not
 *  newer than the one in force is ignored. Any thread. */
void fp_traffic_set_config(struct fp_traffic *t, struct fp_config *c);
/** Sets the member table and takes ownership of m, which must come from
 *  malloc(). Any thread. */
void fp_traffic_set_members(struct fp_traffic *t, struct fp_member_table *m);
/** Delivers an encoded response of a slice's primary; copies it. Any thread. */
void fp_traffic_slice_response(struct fp_traffic *t, const void *data,
			       size_t bytes);
/** Records that a request was in flight when a worker of the fleet crashed.
 *  Any thread. */
void fp_traffic_note_crash(struct fp_traffic *t, uint64_t fingerprint,
			   uint64_t crash_id);
/** Sends a message to the node at addr, without a guarantee of delivery; copies
 *  it. Any thread. */
void fp_traffic_send(struct fp_traffic *t, const char *addr,
		     const struct fp_msg_shared *m);
/** Sets whether this node is isolated and must not trust its API keys. Any
 *  thread. */
void fp_traffic_set_isolated(struct fp_traffic *t, bool isolated);
/**
 * Confirms that the configuration record in force here was the newest one at
 * requested_us, monotonic clock. Any thread.
 *
 * A hosted node accepts requests with an API key only while the latest
 * confirmation is younger than the revoke time of the settings minus a margin,
 * and none before the first confirmation.
 */
void fp_traffic_confirm_config(struct fp_traffic *t, int64_t requested_us);
/** Sets the interval in which this node may use its rate shares. Any thread. */
void fp_traffic_set_share_validity(struct fp_traffic *t,
				   const struct fp_share_validity *v);
/** Passes on what an earlier process of this node knew of a worker that was
 *  leaving; copies e. Any thread. */
void fp_traffic_inherit_worker(struct fp_traffic *t,
			       const struct fp_worker_end *e);
/** Reports that a later process of this node will know the end of a worker, so
 *  that it may be acknowledged; copies e. Any thread. */
void fp_traffic_worker_end_stored(struct fp_traffic *t,
				  const struct fp_worker_end *e);
/** Sets the failure domains whose workers get no requests; copies e. Any
 *  thread. */
void fp_traffic_set_evacuation(struct fp_traffic *t,
			       const struct fp_evacuation *e);
/** Replaces the settings after a reload of their [bounds] section; copies s.
 *  Any thread. */
void fp_traffic_set_settings(struct fp_traffic *t, const struct fp_settings *s);
/** Replaces the fleet secrets; copies s. Any thread. */
void fp_traffic_set_secrets(struct fp_traffic *t, const struct fp_settings *s);
/**
 * Starts to drain: the node still accepts requests for FP_DRAIN_ACCEPT_US, then
 * accepts no new connections and completes the calls in flight. The drained
 * hook is called once at the end. Any thread.
 */
void fp_traffic_drain(struct fp_traffic *t);

/** Stops the thread and waits for its end; accepts NULL. */
void fp_traffic_halt(struct fp_traffic *t);

/** Stops the thread and frees all resources; accepts NULL. */
void fp_traffic_end(struct fp_traffic *t);

#ifdef __cplusplus
}
#endif
#endif
