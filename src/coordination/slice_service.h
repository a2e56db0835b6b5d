/* slice_service.h - all slices of one node: their ownership and their state
 *
 * Order of use: init; set_config and set_members whenever they change; tick at
 * least every FP_SLICE_MAX_TICK_US; message for each control message that
 * fp_slice_service_handles() accepts; from_traffic for requests of this node's
 * traffic thread; stop, then tick until stopped; close; end. Call all functions
 * from one thread. None of them blocks.
 */
#ifndef FP_COORDINATION_SLICE_SERVICE_H
#define FP_COORDINATION_SLICE_SERVICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/status.h"
#include "coordination/member.h"
#include "coordination/store.h"
#include "state/config.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fp_slice_service;

/** Callbacks into the node. */
struct fp_slice_service_ops {
	/** Reads the monotonic clock, uncached. */
	int64_t (*now_us)(void *ctx);
	/** Sends a control message; an error means that it was not sent. */
	enum fp_status (*send)(void *ctx, const char *addr, const void *data,
			       size_t bytes);
	/** Sets addrs to up to max random live peers; returns how many. */
	uint32_t (*peers)(void *ctx, const char **addrs, uint32_t max);
	/** Passes an answer (msg_shared.h) to this node's traffic thread. */
	void (*to_traffic)(void *ctx, const void *data, size_t bytes);
	/** Returns a uniform random number. */
	uint32_t (*random_u32)(void *ctx);
	void *ctx;
};

/** Identity, bounds and dependencies of a service. */
struct fp_slice_service_config {
	uint64_t id; /**< of this process */
	const char *address; /**< control address */
	const char *failure_domain;
	uint32_t max_claims; /**< kept by this node, over all slices */
	int64_t claim_lifetime_us; /**< minimum time that a claim is kept */
	struct fp_store *store; /**< not owned; must end before the service */
	struct fp_counters *counters;
};

/** Creates a service; cfg and ops are copied. Returns FP_OK or FP_NOMEM. */
enum fp_status fp_slice_service_init(const struct fp_slice_service_config *cfg,
				     const struct fp_slice_service_ops *ops,
				     struct fp_slice_service **out);

/** Applies the rates and bursts of a configuration; copies it. */
void fp_slice_service_set_config(struct fp_slice_service *svc,
				 const struct fp_config *c);

/** Sets the table of live members; copies it. */
void fp_slice_service_set_members(struct fp_slice_service *svc,
				  const struct fp_member_table *m);

/**
 * Reports that a process proved that it listens at an address.
 *
 * This proves that every earlier process that a view or the member table names
 * at that address has terminated. Call it in the order in which links come up.
 */
void fp_slice_service_peer_up(struct fp_slice_service *svc, uint64_t id,
			      const char *addr);

/**
 * Reports that a link to an address ended (was_up) or could not be opened.
 *
 * This proves nothing about the process. An ended link is retried. A process
 * whose address cannot be reached is not chosen as backup and counts as dead
 * after a short time, until a message arrives from its address.
 */
void fp_slice_service_peer_down(struct fp_slice_service *svc, const char *addr,
				bool was_up);

/** Whether a control message, by its type, belongs to this service. */
bool fp_slice_service_handles(const uint8_t *data, size_t bytes);

/**
 * Handles a control message from a process that proved its identity.
 *
 * @param from  process id proven on the link
 * @param addr  control address of that process
 * @return FP_OK, or FP_INVALID with a last message if it is malformed
 */
enum fp_status fp_slice_service_message(struct fp_slice_service *svc,
					uint64_t from, const char *addr,
					const uint8_t *data, size_t bytes);

/** Handles a request of this node's traffic thread or sends it to the
 *  owner. */
void fp_slice_service_from_traffic(struct fp_slice_service *svc, uint32_t slice,
				   const uint8_t *data, size_t bytes);

/** Does the work that is due. */
void fp_slice_service_tick(struct fp_slice_service *svc);

/** Begins a planned shutdown: every slice is handed over or resigned. */
void fp_slice_service_stop(struct fp_slice_service *svc);

/** Whether the planned shutdown is complete for every slice. */
bool fp_slice_service_stopped(const struct fp_slice_service *svc);

/** Closes at once: later answers of the store are ignored. */
void fp_slice_service_close(struct fp_slice_service *svc);

/** Frees the service; call it after its store has ended. NULL is allowed. */
void fp_slice_service_end(struct fp_slice_service *svc);

#ifdef __cplusplus
}
#endif
#endif
