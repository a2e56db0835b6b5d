/* config_sync.h - distributes the newest configuration to every node
 *
 * Order of use: init; the other functions as needed; end the store; end. All
 * functions and callbacks run on the loop's thread.
 */
#ifndef FP_COORDINATION_CONFIG_SYNC_H
#define FP_COORDINATION_CONFIG_SYNC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/status.h"
#include "coordination/store.h"
#include "state/config.h"
#include "transport/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Key of the configuration record in the store. */
#define FP_CONFIG_KEY "fulmarpass/config"
/** Number of peers that a node pushes a new revision to. */
#define FP_CONFIG_FANOUT 4

struct fp_config_sync;

/** Callbacks to the owner. */
struct fp_config_sync_ops {
	/** A higher revision is in force; c belongs to the fp_config_sync and
	 *  is valid until the next revision. */
	void (*publish)(void *ctx, const struct fp_config *c);
	/** Sends a control message to a peer's control address. */
	void (*send)(void *ctx, const char *addr, const void *data,
		     size_t bytes);
	/** Fills addrs with up to max random live peers; returns how many. */
	uint32_t (*peers)(void *ctx, const char **addrs, uint32_t max);
	void *ctx;
};

/** Creates a config sync, which starts to read the store. The store is not
 *  owned. Returns FP_OK or FP_NOMEM. */
enum fp_status fp_config_sync_init(struct fp_loop *l, struct fp_store *s,
				   const struct fp_config_sync_ops *ops,
				   struct fp_counters *cs,
				   struct fp_config_sync **out);

/**
 * Sets whether this node is a delegate of its failure domain. Only delegates
 * and nodes without a configuration read the store.
 */
void fp_config_sync_set_delegate(struct fp_config_sync *s, bool delegate);

/** Handles a peer's revision and the age of its newest store contact (negative:
 *  not known), as carried by a probe. Requests the record from the peer when
 *  its revision is higher. */
void fp_config_sync_note_peer(struct fp_config_sync *s, const char *addr,
			      uint64_t revision, int64_t store_age_us);

/** Handles a control message of the types in msg_config.h from the peer at the
 *  control address from. Returns FP_OK, also for a record that is not newer, or
 *  the error of a message or record that could not be decoded. */
enum fp_status fp_config_sync_message(struct fp_config_sync *s,
				      const char *from, const uint8_t *data,
				      size_t bytes);

/** Returns the configuration in force; NULL before the first. It belongs to the
 *  fp_config_sync and is valid until the next revision. */
const struct fp_config *fp_config_sync_current(const struct fp_config_sync *s);
/** Returns the text of the configuration in force and sets its version, both as
 *  in the store; NULL before the first. */
const char *fp_config_sync_text(const struct fp_config_sync *s,
				uint64_t *store_version);
/** Returns the time since the newest store contact of this node or a peer, in
 *  microseconds; FP_MAX_AGE_US when there was none or it is older. */
int64_t fp_config_sync_store_age_us(const struct fp_config_sync *s);

/** An operator's request; all fields are copied. */
struct fp_operator_request {
	const char *body; /**< JSON, NULL for a read */
	const char *authorization; /**< header, NULL when absent */
	const uint8_t *bootstrap; /**< key hash from the settings, or NULL */
};

/** Result of an operator's request; called once for each. The answer is JSON
 *  and valid during the call. */
typedef void (*fp_config_change_fn)(void *ctx, int http_status,
				    const char *answer);

/**
 * Makes an operator's change: reads the record from the store, edits it and
 * writes it by compare-and-swap.
 *
 * HTTP statuses: 200 accepted; 202 outcome unknown; 400 malformed; 401 not an
 * operator's key; 409 conflict with another change; 503 not accepted, no
 * effect; 507 the record or one of its lists would be too long. For refused
 * changes also the others of fp_operator_http_status().
 */
void fp_config_sync_change(struct fp_config_sync *s,
			   const struct fp_operator_request *r,
			   fp_config_change_fn done, void *ctx);

/** Reads the record from the store and answers 200 with its text ({} when there
 *  is none), 401 or 503. */
void fp_config_sync_read(struct fp_config_sync *s,
			 const struct fp_operator_request *r,
			 fp_config_change_fn done, void *ctx);

/** Frees a config sync; call after the store was ended. Accepts NULL. */
void fp_config_sync_end(struct fp_config_sync *s);

#ifdef __cplusplus
}
#endif
#endif
