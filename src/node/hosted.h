/* hosted.h - the control thread of a node on a platform whose store has leases
 *
 * Replaces control.h on such platforms. Shared state is kept in the store, so
 * there is no gossip and no owner of slices. The delegate of a failure domain
 * reads the store for the other nodes of the domain (directory_relay.c).
 *
 * Order of use: fp_hosted_init(), fp_hosted_set_traffic(), fp_hosted_start(),
 * any number of calls from any thread, optionally fp_hosted_stop(),
 * fp_hosted_halt(), fp_hosted_end().
 */
#ifndef FP_NODE_HOSTED_H
#define FP_NODE_HOSTED_H

#include "base/clock.h"
#include "base/counters.h"
#include "base/status.h"
#include "coordination/registry.h"
#include "node/traffic.h"
#include "protocol/dialect.h"
#include "protocol/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/** What a platform's adapter provides. */
struct fp_platform {
	const struct fp_dialect *dialect;
	fp_registry_init_fn *registry_init;
};

struct fp_hosted;

/**
 * Creates the control state, the client of the platform's store and the admin
 * listener. s must outlive the result.
 *
 * @return FP_OK; FP_NOMEM; or the error of the store client or of the listener
 */
enum fp_status fp_hosted_init(const struct fp_settings *s,
			      const struct fp_platform *p, uint64_t node_id,
			      struct fp_clock *clock, struct fp_counters *cs,
			      struct fp_hosted **out);
/** Sets the traffic thread that receives the snapshots; call it before
 *  fp_hosted_start(). */
void fp_hosted_set_traffic(struct fp_hosted *h, struct fp_traffic *t);
/** Starts the thread; FP_IO when it cannot be created. */
enum fp_status fp_hosted_start(struct fp_hosted *h);

/** Watches the settings file and sends SIGHUP to this process when it changes,
 *  since the platform may replace it without a signal. The path must outlive
 *  the node. */
void fp_hosted_watch_settings(struct fp_hosted *h, const char *path);

/** Sets the announced state of the worker; copies w. Any thread. */
void fp_hosted_worker(struct fp_hosted *h, const struct fp_worker *w);

/** Handles a message about the configuration record or about member records
 *  from the node at addr; copies it. Any thread. */
void fp_hosted_message(struct fp_hosted *h, const char *addr,
		       const struct fp_msg_shared *m);

/** Starts a planned stop. Any thread. stopped is called on the control thread
 *  when the last call has ended or the grace time is nearly over. */
void fp_hosted_stop(struct fp_hosted *h, void (*stopped)(void *ctx), void *ctx);
/** Notifies control that traffic has ended its last call, or that the grace
 *  time is nearly over. Any thread. */
void fp_hosted_drained(struct fp_hosted *h);

/** Stops the thread and waits for its end; accepts NULL. */
void fp_hosted_halt(struct fp_hosted *h);
/** Stops the thread and frees all resources; accepts NULL. */
void fp_hosted_end(struct fp_hosted *h);

#ifdef __cplusplus
}
#endif
#endif
