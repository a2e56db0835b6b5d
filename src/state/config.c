/*
 * config.c - one revision of the fleet's configuration: copy and search
 *
 * Keys are sorted by hash and found by binary search. The search compares in
 * variable time. This reveals to an attacker at most which prefix of a hash
 * exists; to find the key's text, the hash would have to be inverted. The final
 * comparison, which decides, takes constant time.
 */
#include "state/config.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Exceeds the rank of any path, so that a route with a host comes first. */
#define HOST_RANK (SIZE_MAX / 2)

/* Copies n items; an empty array remains NULL. */
static bool copy_array(void *to, const void *from, size_t n, size_t size)
{
	void *items = NULL;

	if (n > 0) {
		items = calloc(n, size);
		if (!items)
			return false;
		memcpy(items, from, n * size);
	}
	memcpy(to, &items, sizeof(items));
	return true;
}

#define COPY(list) copy_array(&n->list, c->list, c->n_##list, sizeof(*c->list))

static void clear_arrays(struct fp_config *c)
{
	c->orgs = NULL;
	c->keys = NULL;
	c->operators = NULL;
	c->routes = NULL;
	c->presets = NULL;
	c->objectives = NULL;
	c->services = NULL;
	c->splits = NULL;
	c->texts = NULL;
	c->recent_change_ids = NULL;
}

struct fp_config *fp_config_copy(const struct fp_config *c)
{
	struct fp_config *n = malloc(sizeof(*n));

	if (!n)
		return NULL;
	*n = *c;
	clear_arrays(n);
	if (!COPY(orgs) || !COPY(keys) || !COPY(operators) || !COPY(routes) ||
	    !COPY(presets) || !COPY(objectives) || !COPY(services) ||
	    !COPY(splits) || !COPY(texts) || !COPY(recent_change_ids)) {
		fp_config_end(n);
		return NULL;
	}
	return n;
}

void fp_config_end(struct fp_config *c)
{
	if (!c)
		return;
	free(c->orgs);
	free(c->keys);
	free(c->operators);
	free(c->routes);
	free(c->presets);
	free(c->objectives);
	free(c->services);
	free(c->splits);
	free(c->texts);
	free(c->recent_change_ids);
	free(c);
}

bool fp_config_set_text(struct fp_config *c, const char *text, char *array,
			size_t size, uint32_t *at)
{
	size_t bytes = strlen(text) + 1;
	uint32_t used = c->n_texts ? c->n_texts : 1;
	char *texts;

	*at = 0;
	array[0] = '\0';
	if (bytes <= size) {
		memcpy(array, text, bytes);
		return true;
	}
	if (bytes > UINT32_MAX - used)
		return false;
	texts = realloc(c->texts, used + bytes);
	if (!texts)
		return false;
	texts[0] = '\0';
	memcpy(texts + used, text, bytes);
	c->texts = texts;
	c->n_texts = used + (uint32_t)bytes;
	*at = used;
	return true;
}

const char *fp_config_org_name(const struct fp_config *c,
			       const struct fp_org *o)
{
	return o->long_name ? c->texts + o->long_name : o->name;
}

const char *fp_config_host(const struct fp_config *c, const struct fp_route *r)
{
	return r->long_host ? c->texts + r->long_host : r->host;
}

const char *fp_config_prefix(const struct fp_config *c,
			     const struct fp_route *r)
{
	return r->long_prefix ? c->texts + r->long_prefix : r->prefix;
}

const char *fp_config_health_path(const struct fp_config *c,
				  const struct fp_service *s)
{
	return s->long_health_path ? c->texts + s->long_health_path :
				     s->health_path;
}

static int compare_keys(const void *a, const void *b)
{
	const struct fp_key *x = a;
	const struct fp_key *y = b;

	return memcmp(x->hash, y->hash, FP_KEY_HASH_BYTES);
}

void fp_config_index(struct fp_config *c)
{
	if (c->n_keys > 1)
		qsort(c->keys, c->n_keys, sizeof(*c->keys), compare_keys);
}

void fp_key_hash(const char *text, size_t len, uint8_t hash[FP_KEY_HASH_BYTES])
{
	crypto_generichash(hash, FP_KEY_HASH_BYTES, (const unsigned char *)text,
			   len, NULL, 0);
}

enum fp_status fp_config_find_key(const struct fp_config *c,
				  const uint8_t hash[FP_KEY_HASH_BYTES],
				  uint32_t *org)
{
	uint32_t lo = 0;
	uint32_t hi = c->n_keys;
	const struct fp_key *k;

	while (lo < hi) {
		uint32_t mid = lo + (hi - lo) / 2;

		if (memcmp(c->keys[mid].hash, hash, FP_KEY_HASH_BYTES) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	if (lo == c->n_keys)
		return FP_NOT_FOUND;
	k = &c->keys[lo];
	if (sodium_memcmp(k->hash, hash, FP_KEY_HASH_BYTES) != 0)
		return FP_NOT_FOUND;
	if (k->withdrawn || k->org >= c->n_orgs)
		return FP_DENIED;
	*org = k->org;
	return FP_OK;
}

const struct fp_operator *
fp_config_find_operator(const struct fp_config *c,
			const uint8_t hash[FP_KEY_HASH_BYTES])
{
	const struct fp_operator *found = NULL;
	uint32_t i;

	/* Does not stop at a match, so the time does not depend on it. */
	for (i = 0; i < c->n_operators; i++) {
		const struct fp_operator *o = &c->operators[i];

		if (sodium_memcmp(o->hash, hash, FP_KEY_HASH_BYTES) == 0)
			found = o;
	}
	return found;
}

/* Length of a prefix that counts for its match and its rank: without trailing
 * slashes where segments are matched. */
static size_t prefix_length(const struct fp_config *c, const char *prefix)
{
	size_t len = strlen(prefix);

	while (!c->byte_prefixes && len > 0 && prefix[len - 1] == '/')
		len--;
	return len;
}

static bool prefix_matches(const struct fp_config *c, const char *prefix,
			   size_t len, const char *path)
{
	size_t path_len = strcspn(path, "?");

	if (path[0] != '/' || len > path_len || memcmp(prefix, path, len) != 0)
		return false;
	return c->byte_prefixes || len == path_len || path[len] == '/';
}

/* Whether the Host header of a request names the host of a route. */
static bool host_matches(const char *route_host, const char *host)
{
	size_t len = strlen(route_host);

	if (!host || strncasecmp(route_host, host, len) != 0)
		return false;
	if (host[len] != ':')
		return host[len] == '\0';
	return !host[len + 1 + strspn(host + len + 1, "0123456789")];
}

const struct fp_route *fp_config_find_route(const struct fp_config *c,
					    const char *host,
					    const char *method,
					    const char *path)
{
	const struct fp_route *best = NULL;
	size_t best_rank = 0;
	uint32_t i;

	for (i = 0; i < c->n_routes; i++) {
		const struct fp_route *r = &c->routes[i];
		bool exact = strcmp(r->method, method) == 0;
		const char *prefix = fp_config_prefix(c, r);
		const char *route_host = fp_config_host(c, r);
		size_t len = prefix_length(c, prefix);
		/* longer prefix first; at the same length a named method
		 * first */
		size_t rank = 2 * len + (exact ? 2 : 1);

		if (!exact && strcmp(r->method, "*") != 0)
			continue;
		if (route_host[0]) {
			if (!host_matches(route_host, host))
				continue;
			rank += HOST_RANK;
		}
		if (rank <= best_rank || !prefix_matches(c, prefix, len, path))
			continue;
		best = r;
		best_rank = rank;
	}
	return best;
}

const char *fp_config_route_service(const struct fp_config *c,
				    const struct fp_route *r, uint64_t draw)
{
	const struct fp_traffic_split *s = c->splits + r->first_split;
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < r->n_splits; i++)
		sum += s[i].weight;
	if (!sum)
		return r->service;
	draw %= sum;
	for (i = 0; draw >= s[i].weight; i++)
		draw -= s[i].weight;
	return s[i].service;
}

int fp_config_find_org(const struct fp_config *c, const char *name)
{
	char short_name[FP_NAME_BYTES];
	uint32_t i;

	fp_name_shorten(name, short_name);
	for (i = 0; i < c->n_orgs; i++)
		if (strcmp(c->orgs[i].name, short_name) == 0)
			return (int)i;
	return -1;
}

const struct fp_service *fp_config_find_service(const struct fp_config *c,
						const char *name)
{
	uint32_t i;

	for (i = 0; i < c->n_services; i++)
		if (strcmp(c->services[i].name, name) == 0)
			return &c->services[i];
	return NULL;
}

bool fp_config_has_cold_rate(const struct fp_config *c)
{
	uint32_t i;

	for (i = 0; i < c->n_services; i++)
		if (c->services[i].cold_per_s)
			return true;
	return false;
}
