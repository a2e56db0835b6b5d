/* config.h - one revision of the fleet's configuration, immutable once built */
#ifndef FP_STATE_CONFIG_H
#define FP_STATE_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "state/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** An organisation: its rate and burst count over the whole fleet. */
struct fp_org {
	char name[FP_NAME_BYTES];
	uint32_t rate_per_s; /**< requests a second */
	uint32_t burst; /**< requests; rate and burst 0: not limited */
	bool has_class; /**< its class goes before the route's */
	enum fp_class cls;
};

/** A key of an organisation; only its hash is kept. */
struct fp_key {
	uint8_t hash[FP_KEY_HASH_BYTES]; /**< BLAKE2b of the key's text */
	char id[FP_NAME_BYTES]; /**< public name, used to withdraw */
	uint32_t org; /**< index into orgs */
	bool withdrawn;
};

/** An operator; only the hash of the operator's key is kept. */
struct fp_operator {
	uint8_t hash[FP_KEY_HASH_BYTES];
	char name[FP_NAME_BYTES];
};

/** Most services that one route is split over. */
#define FP_MAX_SPLITS 8

/** One part of a route whose requests go to several services. */
struct fp_split {
	char service[FP_NAME_BYTES];
	uint32_t weight; /**< its part of the sum of all weights */
};

/** A route: what requests of that method and path prefix are. */
struct fp_route {
	char name[FP_NAME_BYTES];
	char method[8]; /**< "GET", "POST", ... or "*" */
	char prefix[FP_PATH_BYTES];
	char service[FP_NAME_BYTES];
	enum fp_class cls;
	bool idempotent; /**< false: runs at most once, and needs an
			  *   Idempotency-Key unless unnamed */
	bool unnamed; /**< not idempotent, and callers name no
		       *   Idempotency-Key: bound by its attempt alone */
	bool open; /**< true: no key needed, no organisation */
	uint32_t deadline_ms; /**< for the whole call tree */
	char host[FP_HOST_BYTES]; /**< "": any */
	uint32_t target_ms; /**< latency aimed at; 0: not said */
	uint32_t max_workers; /**< that a request may reach; 0: as preset */
	struct fp_split splits[FP_MAX_SPLITS];
	uint32_t n_splits; /**< 0: all go to service */
};

/** A preset: limits in force together. Exactly one is active. */
struct fp_preset {
	char name[FP_NAME_BYTES]; /**< "ordinary", "peak", "maintenance" */
	uint32_t queue_target_ms; /**< queue delay that admission aims at */
	uint32_t retry_percent; /**< retries per hundred first attempts */
	uint32_t attempts; /**< attempts of a root's whole tree */
	uint32_t concurrency_percent; /**< of the announced slots */
	uint32_t rate_percent; /**< of each organisation's rate, burst */
	uint32_t sheddable_percent; /**< of that class let in at the entry */
};

/** An objective: share of good answers inside a latency. */
struct fp_objective {
	char org[FP_NAME_BYTES]; /**< or "*" */
	enum fp_class cls;
	uint32_t good_permille; /**< target share of good answers */
	uint32_t latency_ms; /**< slower ones are not good */
	uint32_t window_hours; /**< length of the budget */
};

/** One revision; owned by whoever built it, read by anyone. */
struct fp_config {
	uint64_t revision; /**< grows by one with every accepted change */
	struct fp_org *orgs;
	struct fp_key *keys; /**< sorted by hash */
	struct fp_operator *operators;
	struct fp_route *routes;
	struct fp_preset *presets;
	struct fp_objective *objectives;
	char (*recent_change_ids)[FP_NAME_BYTES]; /**< newest first */
	uint32_t n_orgs;
	uint32_t n_keys;
	uint32_t n_operators;
	uint32_t n_routes;
	uint32_t n_presets;
	uint32_t n_objectives;
	uint32_t n_recent_change_ids;
	uint32_t active_preset; /**< index into presets */
	bool keyless; /**< no organisations: no request needs a key */
	char change_id[FP_NAME_BYTES]; /**< of the change that made it */
};

/** Deep copy; NULL when out of memory. */
struct fp_config *fp_config_copy(const struct fp_config *c);

/** Frees a configuration; NULL is allowed. */
void fp_config_end(struct fp_config *c);

/** Sorts keys by hash; to be called after any change of keys. */
void fp_config_index(struct fp_config *c);

/** Hashes a key's text. */
void fp_key_hash(const char *text, size_t len, uint8_t hash[FP_KEY_HASH_BYTES]);

/**
 * Finds the organisation of a key.
 *
 * @return FP_OK with *org set, FP_DENIED for a withdrawn key,
 *         FP_NOT_FOUND for an unknown one
 */
enum fp_status fp_config_find_key(const struct fp_config *c,
				  const uint8_t hash[FP_KEY_HASH_BYTES],
				  uint32_t *org);

/** Finds the operator of a key by hash; NULL when unknown. */
const struct fp_operator *
fp_config_find_operator(const struct fp_config *c,
			const uint8_t hash[FP_KEY_HASH_BYTES]);

/**
 * Finds the route with the longest matching prefix; NULL when none matches.
 *
 * A prefix matches whole path segments only; the query is not looked at. A
 * route of that host goes before one of any host.
 *
 * @param host  as the caller named it, in any case; NULL: not named
 */
const struct fp_route *fp_config_find_route(const struct fp_config *c,
					    const char *host,
					    const char *method,
					    const char *path);

/**
 * Picks the service of a request on a route.
 *
 * @param draw  uniform random number; the same one picks the same part
 */
const char *fp_route_service(const struct fp_route *r, uint64_t draw);

/** Finds an organisation by name; returns its index or -1. */
int fp_config_find_org(const struct fp_config *c, const char *name);

#ifdef __cplusplus
}
#endif
#endif
