/* config_tables.c - tables of a configuration's lists and fields, and checks */
#include "protocol/config_tables.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Limits of declared values. */
#define MAX_RATE	 1000000 /* requests a second */
#define MAX_BURST	 1000000 /* requests */
#define MIN_DEADLINE_MS	 10
#define MAX_DEADLINE_MS	 600000
#define MAX_TARGET_MS	 10000 /* of the queue delay */
#define MAX_PERCENT	 100
#define MAX_ATTEMPTS	 16
#define MAX_WINDOW_HOURS 2160 /* 90 days */

/* In the order of struct fp_preset: name, queue_target_ms, retry_percent,
 * attempts, concurrency_percent, rate_percent, sheddable_percent. */
const struct fp_preset fp_preset_defaults[FP_PRESET_COUNT] = {
	[FP_PRESET_ORDINARY] = { "ordinary", 20, 10, 2, 100, 100, 100 },
	[FP_PRESET_PEAK] = { "peak", 10, 5, 1, 100, 100, 50 },
	[FP_PRESET_MAINTENANCE] = { "maintenance", 20, 5, 1, 60, 100, 0 },
};

static const char *const class_words[] = { "important", "normal", "sheddable",
					   NULL };

static bool is_preset(const char *text)
{
	int i;

	for (i = 0; i < FP_PRESET_COUNT; i++)
		if (strcmp(fp_preset_defaults[i].name, text) == 0)
			return true;
	return false;
}

static bool is_method(const char *text)
{
	size_t len = strlen(text);

	if (strcmp(text, "*") == 0)
		return true;
	return len > 0 && strspn(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == len;
}

/* Accepts "/", or segments of unreserved characters other than "." and "..". */
static bool is_prefix(const char *text)
{
	const char *seg = text;
	size_t len;

	if (text[0] != '/')
		return false;
	if (text[1] == '\0')
		return true;
	while (*seg == '/') {
		seg++;
		len = strspn(seg, "abcdefghijklmnopqrstuvwxyz"
				  "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				  "0123456789-._~");
		if (len == 0 || (len == 1 && seg[0] == '.') ||
		    (len == 2 && seg[0] == '.' && seg[1] == '.'))
			return false;
		seg += len;
	}
	return *seg == '\0';
}

static bool is_org_or_any(const char *text)
{
	return strcmp(text, "*") == 0 || fp_name_valid(text);
}

#define MEMBER_BYTES(type, member) sizeof(((struct type *)0)->member)
#define TEXT(type, name_, member, valid_, expected_)                      \
	{                                                                 \
		.name = (name_), .kind = FP_FIELD_TEXT, .required = true, \
		.offset = offsetof(struct type, member),                  \
		.size = MEMBER_BYTES(type, member), .valid = (valid_),    \
		.expected = (expected_)                                   \
	}
#define NAME(type, name_, member) \
	TEXT(type, name_, member, fp_name_valid, FP_NAME_EXPECTED)
#define UINT(type, member, unit_, from, to, fallback_)                \
	{                                                             \
		.name = #member, .kind = FP_FIELD_UINT,               \
		.required = (fallback_) == NULL,                      \
		.offset = offsetof(struct type, member),              \
		.size = sizeof(uint32_t), .min = (from), .max = (to), \
		.default_text = (fallback_), .unit = (unit_)          \
	}
#define CLASS(type)                                                 \
	{                                                           \
		.name = "class", .kind = FP_FIELD_WORD,             \
		.offset = offsetof(struct type, cls),               \
		.size = sizeof(uint32_t), .default_text = "normal", \
		.words = class_words                                \
	}
#define BOOL(type, member, required_, fallback_)                               \
	{                                                                      \
		.name = #member, .kind = FP_FIELD_BOOL,                        \
		.required = (required_),                                       \
		.offset = offsetof(struct type, member), .size = sizeof(bool), \
		.default_text = (fallback_)                                    \
	}
#define HASH(type)                                                      \
	{                                                               \
		.name = "hash", .kind = FP_FIELD_HEX, .required = true, \
		.offset = offsetof(struct type, hash),                  \
		.size = FP_KEY_HASH_BYTES, .valid = fp_hash_text_valid, \
		.expected = FP_HASH_EXPECTED                            \
	}

static const struct fp_field org_fields[] = {
	NAME(fp_org, "name", name),
	UINT(fp_org, rate_per_s, "requests a second", 1, MAX_RATE, NULL),
	UINT(fp_org, burst, "requests", 1, MAX_BURST, NULL),
};

static const struct fp_field route_fields[] = {
	NAME(fp_route, "name", name),
	TEXT(fp_route, "method", method, is_method,
	     "an HTTP method in capitals or \"*\""),
	TEXT(fp_route, "prefix", prefix, is_prefix,
	     "a path that starts with '/' and has no '/' at its end"),
	NAME(fp_route, "service", service),
	CLASS(fp_route),
	BOOL(fp_route, idempotent, true, NULL),
	BOOL(fp_route, open, false, "false"),
	UINT(fp_route, deadline_ms, "ms", MIN_DEADLINE_MS, MAX_DEADLINE_MS,
	     "2000"),
};

static const struct fp_field preset_fields[] = {
	TEXT(fp_preset, "name", name, is_preset,
	     "ordinary, peak or maintenance"),
	UINT(fp_preset, queue_target_ms, "ms", 1, MAX_TARGET_MS, NULL),
	UINT(fp_preset, retry_percent, "percent", 0, MAX_PERCENT, NULL),
	UINT(fp_preset, attempts, "attempts", 1, MAX_ATTEMPTS, NULL),
	UINT(fp_preset, concurrency_percent, "percent", 1, MAX_PERCENT, NULL),
	UINT(fp_preset, rate_percent, "percent", 1, MAX_PERCENT, NULL),
	UINT(fp_preset, sheddable_percent, "percent", 0, MAX_PERCENT, NULL),
};

static const struct fp_field objective_fields[] = {
	TEXT(fp_objective, "organisation", org, is_org_or_any,
	     "an organisation or \"*\""),
	CLASS(fp_objective),
	UINT(fp_objective, good_permille, "per mille", 1, 999, NULL),
	UINT(fp_objective, latency_ms, "ms", 1, MAX_DEADLINE_MS, NULL),
	UINT(fp_objective, window_hours, "h", 1, MAX_WINDOW_HOURS, NULL),
};

static const struct fp_field key_fields[] = {
	NAME(fp_key, "id", id),
	HASH(fp_key),
	BOOL(fp_key, withdrawn, true, NULL),
};

static const struct fp_field operator_fields[] = {
	NAME(fp_operator, "name", name),
	HASH(fp_operator),
};

#define LIST(index, name_, entry_, fields_, id_fields_, member, declared_)  \
	[index] = { .name = (name_),                                        \
		    .entry = (entry_),                                      \
		    .fields = (fields_),                                    \
		    .n_fields = sizeof(fields_) / sizeof((fields_)[0]),     \
		    .size = sizeof(*((struct fp_config *)0)->member),       \
		    .offset = offsetof(struct fp_config, member),           \
		    .count_offset = offsetof(struct fp_config, n_##member), \
		    .n_id_fields = (id_fields_),                            \
		    .declared = (declared_) }

const struct fp_config_list fp_config_lists[FP_LIST_COUNT] = {
	LIST(FP_LIST_ORGS, "organisations", "organisation", org_fields, 1, orgs,
	     true),
	LIST(FP_LIST_ROUTES, "routes", "route", route_fields, 1, routes, true),
	LIST(FP_LIST_PRESETS, "presets", "preset", preset_fields, 1, presets,
	     true),
	LIST(FP_LIST_OBJECTIVES, "objectives", "objective", objective_fields, 2,
	     objectives, true),
	LIST(FP_LIST_KEYS, "keys", "key", key_fields, 1, keys, false),
	LIST(FP_LIST_OPERATORS, "operators", "operator", operator_fields, 1,
	     operators, false),
};

void *fp_config_entries(const struct fp_config *c,
			const struct fp_config_list *l, uint32_t *n)
{
	void *first;

	memcpy(n, (const char *)c + l->count_offset, sizeof(*n));
	memcpy(&first, (const char *)c + l->offset, sizeof(first));
	return first;
}

bool fp_config_resize(struct fp_config *c, const struct fp_config_list *l,
		      uint32_t n)
{
	uint32_t old_n;
	void *old = fp_config_entries(c, l, &old_n);
	void *entries = NULL;

	if (n > 0) {
		entries = calloc(n, l->size);
		if (!entries)
			return false;
	}
	free(old);
	memcpy((char *)c + l->offset, &entries, sizeof(entries));
	memcpy((char *)c + l->count_offset, &n, sizeof(n));
	return true;
}

int fp_config_compare(const struct fp_config_list *l, const void *a,
		      const void *b)
{
	const struct fp_field *first = &l->fields[0];
	int order = strcmp((const char *)a + first->offset,
			   (const char *)b + first->offset);
	int64_t x;
	int64_t y;

	if (order != 0 || l->n_id_fields < 2)
		return order;
	x = fp_field_integer(&l->fields[1], a);
	y = fp_field_integer(&l->fields[1], b);
	return (x > y) - (x < y);
}

static int compare_pointers(const void *a, const void *b, void *list)
{
	const void *const *x = a;
	const void *const *y = b;

	return fp_config_compare(list, *x, *y);
}

const void **fp_config_sorted(const struct fp_config *c,
			      const struct fp_config_list *l, uint32_t *n)
{
	const char *first = fp_config_entries(c, l, n);
	const void **order = calloc(*n + 1, sizeof(*order));
	uint32_t i;

	if (!order)
		return NULL;
	for (i = 0; i < *n; i++)
		order[i] = first + i * l->size;
	qsort_r(order, *n, sizeof(*order), compare_pointers, (void *)l);
	return order;
}

struct fp_config *fp_config_initial(void)
{
	struct fp_config *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	if (!fp_config_resize(c, &fp_config_lists[FP_LIST_PRESETS],
			      FP_PRESET_COUNT)) {
		free(c);
		return NULL;
	}
	memcpy(c->presets, fp_preset_defaults, sizeof(fp_preset_defaults));
	return c;
}

static bool set_fault(struct fp_config_fault *fault,
		      enum fp_config_list_index l, uint32_t index,
		      const char *field, const char *why)
{
	fault->list = &fp_config_lists[l];
	fault->index = index;
	fault->field = field;
	snprintf(fault->why, sizeof(fault->why), "%s", why);
	return false;
}

/* Checks that no two entries of a list have the same identifying fields. */
static bool check_duplicates(const struct fp_config *c,
			     enum fp_config_list_index index,
			     struct fp_config_fault *fault)
{
	const struct fp_config_list *l = &fp_config_lists[index];
	uint32_t n;
	const char *first = fp_config_entries(c, l, &n);
	char why[FP_WHY_BYTES];
	uint32_t i;
	uint32_t j;

	for (i = 1; i < n; i++)
		for (j = 0; j < i; j++) {
			const char *entry = first + i * l->size;

			if (fp_config_compare(l, entry, first + j * l->size))
				continue;
			snprintf(why, sizeof(why),
				 "expected a unique %s, got duplicate \"%s\"",
				 l->entry, entry + l->fields[0].offset);
			return set_fault(fault, index, i, l->fields[0].name,
					 why);
		}
	return true;
}

static bool check_routes(const struct fp_config *c,
			 struct fp_config_fault *fault)
{
	char why[FP_WHY_BYTES];
	uint32_t i;
	uint32_t j;

	for (i = 0; i < c->n_routes; i++) {
		const struct fp_route *r = &c->routes[i];

		if (r->open && !r->idempotent)
			return set_fault(
				fault, FP_LIST_ROUTES, i, "open",
				"expected false on a route that is not "
				"idempotent, as claims belong to an "
				"organisation, got true");
		for (j = 0; j < i; j++) {
			const struct fp_route *o = &c->routes[j];

			if (strcmp(r->prefix, o->prefix) != 0 ||
			    strcmp(r->method, o->method) != 0)
				continue;
			snprintf(why, sizeof(why),
				 "expected a unique method and prefix, got "
				 "%s %s of route \"%s\"",
				 r->method, r->prefix, o->name);
			return set_fault(fault, FP_LIST_ROUTES, i, "prefix",
					 why);
		}
	}
	return true;
}

static bool check_objectives(const struct fp_config *c,
			     struct fp_config_fault *fault)
{
	char why[FP_WHY_BYTES];
	uint32_t i;

	for (i = 0; i < c->n_objectives; i++) {
		const char *org = c->objectives[i].org;

		if (strcmp(org, "*") == 0 || fp_config_find_org(c, org) >= 0)
			continue;
		snprintf(why, sizeof(why),
			 "expected a declared organisation or \"*\", got "
			 "\"%s\"",
			 org);
		return set_fault(fault, FP_LIST_OBJECTIVES, i, "organisation",
				 why);
	}
	return true;
}

/* Checks that each valid key has an organisation and no two keys have the same
 * hash. */
static bool check_keys(const struct fp_config *c, struct fp_config_fault *fault)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < c->n_keys; i++) {
		const struct fp_key *k = &c->keys[i];
		bool orphan = k->org == FP_CONFIG_NO_ORG && k->withdrawn;

		if (k->org >= c->n_orgs && !orphan)
			return set_fault(fault, FP_LIST_KEYS, i, "organisation",
					 "expected an organisation of this "
					 "record, got none");
		for (j = 0; j < i; j++)
			if (memcmp(k->hash, c->keys[j].hash,
				   FP_KEY_HASH_BYTES) == 0)
				return set_fault(fault, FP_LIST_KEYS, i, "hash",
						 "expected a unique hash, "
						 "got a duplicate");
	}
	return true;
}

static bool check_presets(const struct fp_config *c,
			  struct fp_config_fault *fault)
{
	if (c->n_presets == FP_PRESET_COUNT &&
	    c->active_preset < FP_PRESET_COUNT)
		return true;
	return set_fault(fault, FP_LIST_PRESETS, 0, "name",
			 "expected ordinary, peak and maintenance, one of them "
			 "active, got others");
}

bool fp_config_check(const struct fp_config *c, struct fp_config_fault *fault)
{
	int i;

	for (i = 0; i < FP_LIST_COUNT; i++)
		if (!check_duplicates(c, (enum fp_config_list_index)i, fault))
			return false;
	return check_routes(c, fault) && check_objectives(c, fault) &&
	       check_keys(c, fault) && check_presets(c, fault);
}
