/* directory.h - membership and configuration from a store with leases
 *
 * On a platform whose store has leases and watches, nodes need no gossip. Each
 * node keeps its own member record in the store under a lease, watches the
 * records of the other members and polls the configuration record. The
 * directory decides when a missing record means that its member is removed,
 * until when the configuration record counts as fresh, and when a failed store
 * call is retried.
 *
 * Order of use: init; set_worker, message and leave as needed; close; end the
 * registry; end. All functions and callbacks run on the loop's thread.
 */
#ifndef FP_COORDINATION_DIRECTORY_H
#define FP_COORDINATION_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "coordination/member.h"
#include "coordination/registry.h"
#include "protocol/dialect.h"
#include "protocol/msg_shared.h"
#include "state/rate_share.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Size of the fleet's shared secret. */
#define FP_DIRECTORY_SECRET_BYTES 32

struct fp_directory;

/** Callbacks of a directory to its owner, on the loop's thread. */
struct fp_directory_ops {
	/** A newer configuration; the owner frees it. */
	void (*config)(void *ctx, struct fp_config *c);
	/** All members after a change, malloc'd; the owner frees the table. */
	void (*members)(void *ctx, struct fp_member_table *m);
	/** The fleet's shared secret; called once. */
	void (*secret)(void *ctx,
		       const uint8_t secret[FP_DIRECTORY_SECRET_BYTES]);
	/**
	 * Freshness confirmation: the configuration passed last was still the
	 * newest at requested_us, on the monotonic clock that includes
	 * suspension.
	 */
	void (*config_confirmed)(void *ctx, int64_t requested_us);
	/** Interval in which this node may use its rate shares; called again
	 *  at each renewal of the lease and when this node leaves. */
	void (*share_validity)(void *ctx, const struct fp_share_validity *r);
	/** An earlier process of this node stored the end of its worker; called
	 *  before the first members, and later if its write was done late. */
	void (*worker_ended)(void *ctx, const struct fp_worker_end *e);
	/** The end that was set last is in the store: a later process of this
	 *  node will know it. */
	void (*worker_end_stored)(void *ctx, const struct fp_worker_end *e);
	/** Other failure domains are evacuated than before; may be NULL. */
	void (*evacuation)(void *ctx, const struct fp_evacuation *e);
	/** Sends a message to a member; delivery is not guaranteed. */
	void (*send)(void *ctx, const char *addr,
		     const struct fp_msg_shared *m);
	void *ctx;
};

/** Parameters of a directory; copied by fp_directory_init(). */
struct fp_directory_config {
	struct fp_clock *clock;
	struct fp_registry *registry; /**< not owned */
	const struct fp_dialect *dialect; /**< format of the stored records */
	struct fp_member self; /**< this node's record */
};

/** Starts a directory; @return NULL when out of memory. */
struct fp_directory *fp_directory_init(struct fp_loop *l,
				       const struct fp_directory_config *cfg,
				       const struct fp_directory_ops *ops);

/** Updates the worker in this node's record; warm_ms as in struct fp_member. */
void fp_directory_set_worker(struct fp_directory *d, uint32_t slots,
			     int64_t warm_ms, bool serving);
/** Sets the last announcement of a worker that is leaving, to be kept for a
 *  later process, also after fp_directory_leave(); e->instance is empty if the
 *  worker is not leaving. */
void fp_directory_set_worker_end(struct fp_directory *d,
				 const struct fp_worker_end *e);

/** Handles a message from the member at addr: FP_MSG_CONFIRM_REQUEST,
 *  FP_MSG_CONFIRM_RESPONSE, FP_MSG_MEMBER_CHANGE or FP_MSG_MEMBER_CHANGES_END;
 *  other types are ignored. */
void fp_directory_message(struct fp_directory *d, const char *addr,
			  const struct fp_msg_shared *m);

/** Deregisters this node: ends its lease, which removes its record, so that the
 *  other members stop sending to it. */
void fp_directory_leave(struct fp_directory *d);

/** Whether the configuration, the secret and all members were read. */
bool fp_directory_is_ready(const struct fp_directory *d);

/** Revision of the configuration in force; 0: none. */
uint64_t fp_directory_revision(const struct fp_directory *d);

/** The failure domains that are evacuated; valid until the directory ends. */
const struct fp_evacuation *
fp_directory_evacuation(const struct fp_directory *d);

/** Calls to the store, by cause. */
enum fp_directory_call {
	FP_DIRECTORY_SECRET, /**< reads and creation of the secret */
	FP_DIRECTORY_CONFIG, /**< reads of the configuration */
	FP_DIRECTORY_LIST, /**< listings of all members */
	FP_DIRECTORY_WATCH, /**< watches of members */
	FP_DIRECTORY_RECORD, /**< writes of this node's record */
	FP_DIRECTORY_LEASE, /**< leases opened or ended */
	FP_DIRECTORY_RENEWAL, /**< renewals of the lease; they cost less */
	FP_DIRECTORY_END, /**< reads and writes of the worker's end */
	FP_DIRECTORY_CALL_COUNT
};

/** Returns the lower-case name of a cause. */
const char *fp_directory_call_name(enum fp_directory_call c);
/** Number of calls for a cause since the start. */
uint32_t fp_directory_calls(const struct fp_directory *d,
			    enum fp_directory_call c);

/** Stops timers and callbacks; call before the registry is ended. */
void fp_directory_close(struct fp_directory *d);
/** Frees the directory; call after the registry was ended. */
void fp_directory_end(struct fp_directory *d);

#ifdef __cplusplus
}
#endif
#endif
