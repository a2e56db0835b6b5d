/* config_sync.h - distributes the newest configuration to every node */
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
	/** A higher revision is in force; c belongs to the sync and is valid
	 *  until the next revision. */
	void (*publish)(void *ctx, const struct fp_config *c);
	/** Sends a control message to a peer's control address. */
	void (*send)(void *ctx, const char *addr, const void *data,
		     size_t bytes);
	/** Fills addrs with up to max random live peers; returns how many. */
	uint32_t (*peers)(void *ctx, const char **addrs, uint32_t max);
	void *ctx;
};

/** Creates a sync, which starts to read the store; FP_NOMEM. */
enum fp_status fp_config_sync_init(struct fp_loop *l, struct fp_store *s,
				   const struct fp_config_sync_ops *ops,
				   struct fp_counters *cs,
				   struct fp_config_sync **out);

/**
 * Sets whether this node is a delegate of its failure domain. Only delegates
 * call the store. A node without a configuration asks the store and its peers.
 */
void fp_config_sync_set_delegate(struct fp_config_sync *s, bool delegate);

/** Notes a peer's revision and store contact from a probe. Requests the record
 *  from the peer when its revision is higher. */
void fp_config_sync_note_peer(struct fp_config_sync *s, const char *addr,
			      uint64_t revision, int64_t store_age_us);

/** Handles a control message of the types in msg_config.h. */
enum fp_status fp_config_sync_message(struct fp_config_sync *s,
				      const char *from, const uint8_t *data,
				      size_t bytes);

/** Returns the configuration in force, which belongs to the sync; NULL before
 *  the first. */
const struct fp_config *fp_config_sync_current(const struct fp_config_sync *s);
/** Returns its text and version as in the store; NULL before the first. */
const char *fp_config_sync_text(const struct fp_config_sync *s,
				uint64_t *store_version);
/** Returns the time since the newest store contact, of this node or a peer. */
int64_t fp_config_sync_store_age_us(const struct fp_config_sync *s);

/** An operator's request; all fields are copied. */
struct fp_operator_request {
	const char *body; /**< JSON, NULL for a read */
	const char *authorization; /**< header, NULL when absent */
	const uint8_t *bootstrap; /**< key hash from the settings, or NULL */
};

/** Result of an operator's request; answer is JSON. */
typedef void (*fp_config_change_fn)(void *ctx, int http_status,
				    const char *answer);

/**
 * Makes an operator's change: reads the record from the store, edits it and
 * writes it by compare-and-swap.
 *
 * HTTP statuses: 200 accepted; 202 outcome unknown; 400 malformed; 401 not an
 * operator's key; 409 conflict or refused; 503 not accepted, no effect. For
 * refused changes also those of fp_operator_http_status().
 */
void fp_config_sync_change(struct fp_config_sync *s,
			   const struct fp_operator_request *r,
			   fp_config_change_fn done, void *ctx);

/** Reads the record from the store and answers 200 with its text ({} when there
 *  is none), 401 or 503. */
void fp_config_sync_read(struct fp_config_sync *s,
			 const struct fp_operator_request *r,
			 fp_config_change_fn done, void *ctx);

/** Frees a sync; call after the store was ended. Accepts NULL. */
void fp_config_sync_end(struct fp_config_sync *s);

#ifdef __cplusplus
}
#endif
#endif
