/* hosted.h - control of a node on a platform whose store has leases
 *
 * Takes the place of control.h there: what the nodes share lies in the store,
 * so there is no gossip, no delegate and no owner of slices.
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

/** What a platform's adapter hands in. */
struct fp_platform {
	const struct fp_dialect *dialect;
	fp_registry_init_fn *registry_init;
};

struct fp_hosted;

enum fp_status fp_hosted_init(const struct fp_settings *s,
			      const struct fp_platform *p, uint64_t node_id,
			      struct fp_clock *clock, struct fp_counters *cs,
			      struct fp_hosted **out);
/** Gives the traffic thread that snapshots are published to. */
void fp_hosted_set_traffic(struct fp_hosted *h, struct fp_traffic *t);
enum fp_status fp_hosted_start(struct fp_hosted *h);

/** Raises SIGHUP when the settings file changes, which the platform may do
 *  without a signal; the path must outlive the node. */
void fp_hosted_watch_settings(struct fp_hosted *h, const char *path);

/** The worker announced something; any thread. */
void fp_hosted_worker(struct fp_hosted *h, const struct fp_worker *w);

/** A message about the operators' record from the node at addr; any thread. */
void fp_hosted_message(struct fp_hosted *h, const char *addr,
		       const struct fp_msg_shared *m);

/** Begins a planned stop; any thread. stopped is called on the control thread
 *  when the last call has ended. */
void fp_hosted_stop(struct fp_hosted *h, void (*stopped)(void *ctx), void *ctx);
/** Traffic has ended its last call; any thread. */
void fp_hosted_drained(struct fp_hosted *h);

/** Stops the thread; NULL is allowed. */
void fp_hosted_halt(struct fp_hosted *h);
/** Stops the thread and frees all; NULL is allowed. */
void fp_hosted_end(struct fp_hosted *h);

#ifdef __cplusplus
}
#endif
#endif
