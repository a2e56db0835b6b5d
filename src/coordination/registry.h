/* registry.h - interface to a store with leases and watches
 *
 * Every call leads to exactly one call of its done function, on the loop's
 * thread, unless the registry is ended before. Keys are text, values are bytes.
 * A result and what it points to are valid during that call only.
 *
 * A store may come back from an older copy. What it acknowledged since that copy
 * is lost then, and its counter gives the same numbers to other changes. Each
 * such return begins an epoch of the store. A revision holds the epoch and the
 * counter, so that two changes never have the same revision, and the later one
 * has the higher.
 */
#ifndef FP_COORDINATION_REGISTRY_H
#define FP_COORDINATION_REGISTRY_H

#include <inttypes.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/status.h"
#include "transport/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fp_registry;

/** For put: overwrites any revision. */
#define FP_REGISTRY_ANY UINT64_MAX

/** Bits of a revision that hold the store's counter; the epoch is above them. */
#define FP_REVISION_COUNTER_BITS 44
#define FP_REVISION_MAX_COUNTER	 ((UINT64_C(1) << FP_REVISION_COUNTER_BITS) - 1)
/** Highest epoch, so that no revision equals FP_REGISTRY_ANY. */
#define FP_REVISION_MAX_EPOCH \
	((UINT64_C(1) << (63 - FP_REVISION_COUNTER_BITS)) - 1)

/** Returns the revision of a counter in an epoch; 0, which is no revision, if
 *  the counter is 0. */
static inline uint64_t fp_revision(uint64_t epoch, uint64_t counter)
{
	return counter ? epoch << FP_REVISION_COUNTER_BITS | counter : 0;
}

static inline uint64_t fp_revision_epoch(uint64_t revision)
{
	return revision >> FP_REVISION_COUNTER_BITS;
}

static inline uint64_t fp_revision_counter(uint64_t revision)
{
	return revision & FP_REVISION_MAX_COUNTER;
}

/** Format and arguments to log a revision as "EPOCH:COUNTER". */
#define FP_REVISION_FORMAT  "%" PRIu64 ":%" PRIu64
#define FP_REVISION_ARGS(r) fp_revision_epoch(r), fp_revision_counter(r)

/** An item, or in a watch its change. */
struct fp_registry_item {
	const char *key;
	const uint8_t *value;
	size_t value_bytes;
	uint64_t revision; /**< of its last change */
	bool removed; /**< watches only */
};

/** Result of a call. */
struct fp_registry_result {
	/**
	 * FP_OK. FP_NOT_FOUND: no such item or lease. FP_CONFLICT: the item
	 * has another revision; no effect; items has its present state, and is
	 * empty if there is none or if the expected revision is of an earlier
	 * epoch. FP_EXHAUSTED: the store no longer has all changes after the
	 * watch's revision, or that is of an earlier epoch; list again.
	 * FP_UNAVAILABLE: no effect. FP_TIMEOUT: the effect is unknown.
	 */
	enum fp_status status;
	uint64_t revision; /**< of the store; a watch may start after it */
	uint64_t epoch; /**< present epoch of the store; 0: it names none */
	uint64_t lease; /**< id of the lease that was opened */
	const struct fp_registry_item *items;
	size_t n_items;
};

typedef void (*fp_registry_done_fn)(void *ctx,
				    const struct fp_registry_result *r);

/** Operations of a registry. */
struct fp_registry_ops {
	/** Reads one item. The read is linearizable, unless may_be_old: then it
	 *  is cheaper, and may be seconds old. */
	void (*get)(struct fp_registry *r, const char *key, bool may_be_old,
		    fp_registry_done_fn done, void *ctx);
	/** Reads all items under a prefix. */
	void (*list)(struct fp_registry *r, const char *prefix,
		     fp_registry_done_fn done, void *ctx);
	/** Waits at most wait_us for changes after a revision; FP_OK without
	 *  items: there was none. */
	void (*watch)(struct fp_registry *r, const char *prefix, uint64_t after,
		      int64_t wait_us, fp_registry_done_fn done, void *ctx);
	/**
	 * Writes an item.
	 *
	 * @param lease   the item is removed when this lease ends; 0: none
	 * @param expect  revision that the item must have; 0: it must not
	 *                exist; or FP_REGISTRY_ANY
	 */
	void (*put)(struct fp_registry *r, const char *key, const void *value,
		    size_t bytes, uint64_t lease, uint64_t expect,
		    fp_registry_done_fn done, void *ctx);
	/** Opens a lease that expires ttl_us after its last renewal. */
	void (*open_lease)(struct fp_registry *r, int64_t ttl_us,
			   fp_registry_done_fn done, void *ctx);
	/** Renews a lease; FP_NOT_FOUND when it has ended. */
	void (*keep_lease)(struct fp_registry *r, uint64_t lease,
			   fp_registry_done_fn done, void *ctx);
	/** Ends a lease and removes its items. */
	void (*end_lease)(struct fp_registry *r, uint64_t lease,
			  fp_registry_done_fn done, void *ctx);
	/** Frees the registry; calls in flight are dropped. */
	void (*end)(struct fp_registry *r);
};

/** A registry; implementations embed it as their first member. */
struct fp_registry {
	const struct fp_registry_ops *ops;
};

/** Creates the client of a deployment's store. */
typedef enum fp_status(fp_registry_init_fn)(struct fp_loop *l, const char *url,
					    int64_t timeout_us,
					    struct fp_counters *cs,
					    struct fp_registry **out);

#ifdef __cplusplus
}
#endif
#endif
