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

/*
 * A text of an operator that does not fit into its array is stored in
 * fp_config.texts, and the field long_... beside the array has its offset there;
 * 0: the array has the text. Arrays of names always have the form that
 * fp_name_shorten() returns.
 */

/** An organisation; its rate and burst apply to the whole fleet. */
struct fp_org {
	char name[FP_NAME_BYTES];
	uint32_t long_name; /**< see fp_config_org_name() */
	uint32_t rate_per_s; /**< requests per second */
	uint32_t burst; /**< requests; rate and burst 0: not limited */
	bool has_class; /**< cls is set and has priority over the route's */
	enum fp_class cls;
};

/** A key of an organisation; only its hash is stored. */
struct fp_key {
	uint8_t hash[FP_KEY_HASH_BYTES]; /**< BLAKE2b of the key's text */
	char id[FP_NAME_BYTES]; /**< public name, used to withdraw the key */
	uint32_t org; /**< index into orgs */
	bool withdrawn;
};

/** An operator; only the hash of the operator's key is stored. */
struct fp_operator {
	uint8_t hash[FP_KEY_HASH_BYTES];
	char name[FP_NAME_BYTES];
};

/** A service, as far as the configuration tells about its workers. */
struct fp_service {
	char name[FP_NAME_BYTES];
	char health_path[FP_PATH_BYTES]; /**< "": none */
	uint32_t long_health_path; /**< see fp_config_health_path() */
	uint32_t cold_per_s; /**< requests per second that a cold worker
			      *   tolerates; 0: not limited */
	uint32_t cold_ms; /**< time that a worker is cold after its start */
};

/** Target of a route whose requests are split over several services. */
struct fp_traffic_split {
	char service[FP_NAME_BYTES];
	uint32_t weight; /**< relative to the sum of all weights */
};

/** A route: properties of the requests with its method and path prefix. */
struct fp_route {
	char name[FP_NAME_BYTES];
	char method[8]; /**< "GET", "POST", ... or "*" */
	char prefix[FP_PATH_BYTES];
	uint32_t long_prefix; /**< see fp_config_prefix() */
	char service[FP_NAME_BYTES];
	enum fp_class cls;
	/** false: runs at most once and needs an Idempotency-Key, except if
	 * without_claim is set */
	bool idempotent;
	/** not idempotent, and callers send no Idempotency-Key: no claim is
	 * taken, and each attempt of a caller runs at most once */
	bool without_claim;
	bool open; /**< true: needs no key and has no organisation */
	uint32_t deadline_ms; /**< time limit of the complete call tree */
	char host[FP_HOST_BYTES]; /**< "": any */
	uint32_t long_host; /**< see fp_config_host() */
	uint32_t latency_target_ms; /**< target latency; 0: not set */
	/** maximum number of workers that a request may reach; 0: not
	 * limited by the route, only by the retries of the preset */
	uint32_t max_workers;
	uint32_t first_split; /**< index into splits of the configuration */
	uint32_t n_splits; /**< 0: all requests go to service */
};

/** A preset: a set of limits that apply together. Exactly one is active. */
struct fp_preset {
	char name[FP_NAME_BYTES]; /**< "ordinary", "peak", "maintenance" */
	/** target of admission for the queue delay */
	uint32_t queue_target_ms;
	uint32_t retry_percent; /**< retries per hundred first sends */
	/** 1 + maximum number of retries in a root's call tree */
	uint32_t attempts;
	/** concurrency limit, percent of the announced slots */
	uint32_t concurrency_percent;
	/** percentage of each organisation's rate and burst */
	uint32_t rate_percent;
	/** percentage of sheddable requests that the entry node admits */
	uint32_t sheddable_percent;
};

/** An objective: fraction of good answers within a latency. */
struct fp_objective {
	char org[FP_NAME_BYTES]; /**< or "*" */
	enum fp_class cls;
	uint32_t good_permille; /**< target fraction of good answers */
	uint32_t latency_ms; /**< slower ones are not good */
	uint32_t window_hours; /**< period of the error budget */
};

/** One revision; owned by the code that built it, read-only for all others. */
struct fp_config {
	uint64_t revision; /**< increases by one with every accepted change */
	struct fp_org *orgs;
	struct fp_key *keys; /**< sorted by hash */
	struct fp_operator *operators;
	struct fp_route *routes;
	struct fp_preset *presets;
	struct fp_objective *objectives;
	struct fp_service *services;
	struct fp_traffic_split *splits; /**< of all routes */
	char *texts; /**< long ones, each with its NUL; begins with a NUL */
	char (*recent_change_ids)[FP_NAME_BYTES]; /**< newest first */
	uint32_t n_orgs;
	uint32_t n_keys;
	uint32_t n_operators;
	uint32_t n_routes;
	uint32_t n_presets;
	uint32_t n_objectives;
	uint32_t n_services;
	uint32_t n_splits;
	uint32_t n_texts; /**< bytes in texts */
	uint32_t n_recent_change_ids;
	uint32_t active_preset; /**< index into presets */
	/** A prefix matches if the path begins with it, byte for byte; otherwise
	 *  it matches complete path segments, and a slash at its end, or at that
	 *  of the path, makes no difference. */
	bool byte_prefixes;
	/** No request needs a key: the record has no table of organisations.
	 *  With an empty table every route that is not open needs one. */
	bool keyless;
	/** Largest body of a caller's request; 0: limited by the settings only. */
	uint32_t max_body_bytes;
	/** of the change that created this revision */
	char change_id[FP_NAME_BYTES];
};

/** Deep copy; NULL when out of memory. */
struct fp_config *fp_config_copy(const struct fp_config *c);

/** Frees a configuration; NULL is allowed. */
void fp_config_end(struct fp_config *c);

/** Sorts keys by hash; call it after any change of the keys. */
void fp_config_index(struct fp_config *c);

/**
 * Stores a text of an operator while a configuration is built: in its array, or
 * in texts if it is too long for that.
 *
 * @param array  of size bytes
 * @param at     set to the position in texts; 0: it is in the array
 * @return false when out of memory
 */
bool fp_config_set_text(struct fp_config *c, const char *text, char *array,
			size_t size, uint32_t *at);

/** Return texts as the operator wrote them, whatever their length; valid as long
 *  as the configuration. */
const char *fp_config_org_name(const struct fp_config *c,
			       const struct fp_org *o);
const char *fp_config_host(const struct fp_config *c, const struct fp_route *r);
const char *fp_config_prefix(const struct fp_config *c,
			     const struct fp_route *r);
const char *fp_config_health_path(const struct fp_config *c,
				  const struct fp_service *s);

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
 * The query is ignored; byte_prefixes tells what a prefix matches. A route with
 * a matching host has priority over one for any host.
 *
 * @param host  as the caller sent it; case is ignored, and a port unless the
 *              route's host has one; NULL: not given
 */
const struct fp_route *fp_config_find_route(const struct fp_config *c,
					    const char *host,
					    const char *method,
					    const char *path);

/**
 * Selects the service of a request on a route.
 *
 * @param draw  uniform random number; the same number gives the same service
 */
const char *fp_config_route_service(const struct fp_config *c,
				    const struct fp_route *r, uint64_t draw);

/** Finds an organisation by its name, whole or in the short form; returns its
 *  index or -1. */
int fp_config_find_org(const struct fp_config *c, const char *name);

/** Finds a service by name; NULL when the configuration tells nothing of it. */
const struct fp_service *fp_config_find_service(const struct fp_config *c,
						const char *name);

/** Whether workers of a service have a cold rate. */
bool fp_config_has_cold_rate(const struct fp_config *c);

#ifdef __cplusplus
}
#endif
#endif
