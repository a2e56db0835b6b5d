/* store.h - interface to the platform's key-value store
 *
 * Used by the control thread. Each call leads to exactly one call of its done
 * function, unless the store is ended before. A result and what it points to
 * are valid during that call only.
 */
#ifndef FP_COORDINATION_STORE_H
#define FP_COORDINATION_STORE_H

#include <stddef.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/status.h"
#include "transport/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Size of the longest key, with its NUL. */
#define FP_STORE_KEY_BYTES 128

struct fp_store;

/** Result of a store call. */
struct fp_store_result {
	/**
	 * FP_OK: the write took effect, or the value was read. FP_CONFLICT:
	 * the key has another version; no effect. FP_NOT_FOUND: no such key.
	 * FP_AGAIN: a watch ended without a change. FP_UNAVAILABLE: no effect.
	 * FP_TIMEOUT: the effect is unknown.
	 */
	enum fp_status status;
	uint64_t version; /**< present version of the key, 0 if not known */
	const char *value; /**< with FP_OK of a get or watch, else NULL */
	size_t value_bytes;
};

/** One entry of a listing. */
struct fp_store_entry {
	const char *key;
	const char *value;
	uint64_t version;
};

typedef void (*fp_store_done_fn)(void *ctx, const struct fp_store_result *r);
typedef void (*fp_store_list_fn)(void *ctx, enum fp_status status,
				 const struct fp_store_entry *entries,
				 size_t n);

/** Operations of a store. */
struct fp_store_ops {
	/** Reads one key. */
	void (*get)(struct fp_store *s, const char *key, fp_store_done_fn done,
		    void *ctx);
	/** Writes if the key has this version; 0: the key must not exist. */
	void (*cas)(struct fp_store *s, const char *key, const char *value,
		    uint64_t version, fp_store_done_fn done, void *ctx);
	/** Reads all entries under a prefix. */
	void (*list)(struct fp_store *s, const char *prefix,
		     fp_store_list_fn done, void *ctx);
	/** Waits at most wait_us for a version above after. */
	void (*watch)(struct fp_store *s, const char *key, uint64_t after,
		      int64_t wait_us, fp_store_done_fn done, void *ctx);
	/** Frees the store; calls in flight are dropped. */
	void (*end)(struct fp_store *s);
};

/** A store; implementations embed it as their first member. */
struct fp_store {
	const struct fp_store_ops *ops;
};

/** Creates the client of a store with the HTTP interface of store_http.c; url
 *  is "http://ip:port". Returns FP_OK, FP_NOMEM or the HTTP client's error. */
enum fp_status fp_store_http_init(struct fp_loop *l, const char *url,
				  int64_t timeout_us, struct fp_counters *cs,
				  struct fp_store **out);

#ifdef __cplusplus
}
#endif
#endif
