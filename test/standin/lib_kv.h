/* lib_kv.h - keys, versions, leases and watches of the stand-in store */
#ifndef STANDIN_LIB_KV_H
#define STANDIN_LIB_KV_H

#include <jansson.h>
#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Outcome of a call to a store. */
enum kv_status {
	KV_OK,
	KV_CONFLICT, /**< the key has another version */
	KV_NOT_FOUND, /**< no such key or lease */
	KV_TIMEOUT, /**< the watched key did not change in time */
	KV_INTERRUPTED, /**< the watch was interrupted */
};

struct store;

/** Operations of a store, independent of the protocol in front of it. */
struct store_ops {
	/** Reads a key; *entry is a new {"value", "version"}, NULL if
	 *  absent. */
	enum kv_status (*get)(struct store *s, const char *key, json_t **entry);
	/**
	 * Writes a key if its version equals the given one, 0 meaning that the
	 * key must not exist; sets *current to the version after the call. The
	 * key is bound to the lease, unless that is 0.
	 */
	enum kv_status (*put)(struct store *s, const char *key, int64_t version,
			      const char *value, int64_t lease,
			      int64_t *current);
	/** Deletes a key if its version equals the given one. */
	enum kv_status (*del)(struct store *s, const char *key, int64_t version,
			      int64_t *current);
	/** Returns a new array of {"key", "value", "version"}. */
	json_t *(*list)(struct store *s, const char *prefix);
	/** Waits up to wait_ms until the version of a key is above after, then
	 *  reads it like get. Deletion does not end the wait. */
	enum kv_status (*watch)(struct store *s, const char *key, int64_t after,
				int64_t wait_ms, json_t **entry);
	/** Interrupts all watches that are waiting. */
	void (*interrupt)(struct store *s);
	/** Grants a lease and returns its id. */
	int64_t (*lease_grant)(struct store *s, int64_t ttl_ms);
	/** Restarts the time to live of a lease. */
	enum kv_status (*lease_renew)(struct store *s, int64_t lease);
	/** Revokes a lease and deletes the keys bound to it. */
	enum kv_status (*lease_revoke)(struct store *s, int64_t lease);
	/** Frees the store. */
	void (*end)(struct store *s);
};

/** A store; the first member selects its operations. */
struct store {
	const struct store_ops *ops;
};

/**
 * Creates an empty in-memory store. Any thread may call its operations.
 *
 * @param clock  leases expire by its monotonic time
 */
struct store *kv_init(struct fp_clock *clock);

#ifdef __cplusplus
}
#endif
#endif
