/* control.h - the control thread, which owns the state shared between nodes
 *
 * Order of use: fp_control_init(), fp_control_set_traffic(),
 * fp_control_start(), any number of calls from any thread, optionally
 * fp_control_stop(), fp_control_halt(), fp_control_end(). A node on a platform
 * whose store has leases uses hosted.h instead.
 */
#ifndef FP_NODE_CONTROL_H
#define FP_NODE_CONTROL_H

#include "base/clock.h"
#include "base/counters.h"
#include "base/status.h"
#include "node/traffic.h"
#include "protocol/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fp_control;

/**
 * Creates the control state and opens its listeners. s must outlive the result.
 *
 * @return FP_OK; FP_NOMEM; or the error of the store client or of a listener
 */
enum fp_status fp_control_init(const struct fp_settings *s, uint64_t node_id,
			       struct fp_clock *clock, struct fp_counters *cs,
			       struct fp_control **out);
/** Sets the traffic thread that receives the snapshots; call it before
 *  fp_control_start(). */
void fp_control_set_traffic(struct fp_control *c, struct fp_traffic *t);
/** Starts the thread; FP_IO when it cannot be created. */
enum fp_status fp_control_start(struct fp_control *c);

/** Sets the announced state of the worker; copies w. Any thread. */
void fp_control_worker(struct fp_control *c, const struct fp_worker *w);

/** Sends an encoded message from traffic to the primary of a slice; copies it.
 *  Any thread. */
void fp_control_to_slice(struct fp_control *c, uint32_t slice, const void *data,
			 size_t bytes);

/** Reports a crash to the fleet. Any thread. */
void fp_control_crash(struct fp_control *c, uint64_t fingerprint,
		      uint64_t crash_id);

/** Replaces the fleet secrets; copies s. Any thread. */
void fp_control_set_secrets(struct fp_control *c, const struct fp_settings *s);

/**
 * Starts a planned stop. Any thread. stopped is called on the control thread
 * when the process may exit: calls have ended, slices have been handed over and
 * this node has left the membership, or the time for these steps has passed.
 */
void fp_control_stop(struct fp_control *c, void (*stopped)(void *ctx),
		     void *ctx);
/** Notifies control that traffic has ended its last call, or that the grace
 *  time is nearly over. Any thread. */
void fp_control_drained(struct fp_control *c);

/** Stops the thread and waits for its end; accepts NULL. */
void fp_control_halt(struct fp_control *c);

/** Stops the thread and frees all resources; accepts NULL. */
void fp_control_end(struct fp_control *c);

#ifdef __cplusplus
}
#endif
#endif
