/* config_codec.c - codec of the configuration record: JSON text in the store */
#include "protocol/config_codec.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/config_tables.h"

/** Members of the record that are not lists. */
static const char *const head_members[] = { "version", "revision", "change_id",
					    "active_preset",
					    "recent_change_ids" };
#define N_HEAD_MEMBERS (sizeof(head_members) / sizeof(head_members[0]))

static const struct fp_field change_id_field = {
	.name = "change_id",
	.kind = FP_FIELD_TEXT,
	.required = true,
	.offset = 0,
	.size = FP_NAME_BYTES,
	.valid = fp_name_valid,
	.expected = FP_NAME_EXPECTED,
};

/* ---- encoding ---- */

static json_t *field_to_json(const struct fp_field *f, const void *entry)
{
	char text[FP_PATH_BYTES + FP_NAME_BYTES];

	switch (f->kind) {
	case FP_FIELD_UINT:
		return json_integer(fp_field_integer(f, entry));
	case FP_FIELD_BOOL:
		return json_boolean(fp_field_integer(f, entry));
	default:
		fp_field_print(f, entry, text, sizeof(text));
		return json_string(text);
	}
}

static json_t *entry_to_json(const struct fp_config *c,
			     const struct fp_config_list *l, const void *entry)
{
	json_t *j = json_object();
	int failed = 0;
	uint32_t i;

	for (i = 0; i < l->n_fields; i++) {
		const struct fp_field *f = &l->fields[i];

		failed |= json_object_set_new(j, f->name,
					      field_to_json(f, entry));
	}
	if (l == &fp_config_lists[FP_LIST_KEYS]) {
		uint32_t org = ((const struct fp_key *)entry)->org;

		failed |= json_object_set_new(
			j, "organisation",
			org < c->n_orgs ? json_string(c->orgs[org].name) :
					  json_null());
	}
	if (!failed)
		return j;
	json_decref(j);
	return NULL;
}

static json_t *list_to_json(const struct fp_config *c,
			    const struct fp_config_list *l)
{
	uint32_t n;
	const void **order = fp_config_sorted(c, l, &n);
	json_t *j = json_array();
	int failed = !order;
	uint32_t i;

	for (i = 0; !failed && i < n; i++)
		failed =
			json_array_append_new(j, entry_to_json(c, l, order[i]));
	free(order);
	if (!failed)
		return j;
	json_decref(j);
	return NULL;
}

static json_t *lists_to_json(const struct fp_config *c, bool all)
{
	json_t *j = json_object();
	int failed = 0;
	int i;

	for (i = 0; i < FP_LIST_COUNT; i++) {
		const struct fp_config_list *l = &fp_config_lists[i];

		if (all || l->declared)
			failed |= json_object_set_new(j, l->name,
						      list_to_json(c, l));
	}
	if (!failed)
		return j;
	json_decref(j);
	return NULL;
}

json_t *fp_declarations_to_json(const struct fp_config *c)
{
	return lists_to_json(c, false);
}

static json_t *change_ids_to_json(const struct fp_config *c)
{
	json_t *j = json_array();
	uint32_t i;

	for (i = 0; i < c->n_recent_change_ids; i++)
		json_array_append_new(j, json_string(c->recent_change_ids[i]));
	return j;
}

static json_t *config_to_json(const struct fp_config *c)
{
	json_t *j = lists_to_json(c, true);
	const char *active = "";
	int failed = 0;

	if (!j)
		return NULL;
	if (c->active_preset < c->n_presets)
		active = c->presets[c->active_preset].name;
	failed |= json_object_set_new(j, "version",
				      json_integer(FP_CONFIG_VERSION));
	failed |= json_object_set_new(j, "revision",
				      json_integer((json_int_t)c->revision));
	failed |=
		json_object_set_new(j, "change_id", json_string(c->change_id));
	failed |= json_object_set_new(j, "active_preset", json_string(active));
	failed |= json_object_set_new(j, "recent_change_ids",
				      change_ids_to_json(c));
	if (!failed)
		return j;
	json_decref(j);
	return NULL;
}

enum fp_status fp_config_encode(const struct fp_config *c, char **text)
{
	json_t *j = config_to_json(c);
	size_t len;

	*text = j ? json_dumps(j, JSON_COMPACT | JSON_SORT_KEYS) : NULL;
	json_decref(j);
	if (!*text)
		return fp_fail(FP_NOMEM, "configuration: out of memory");
	len = strlen(*text);
	if (len <= FP_CONFIG_MAX_BYTES)
		return FP_OK;
	free(*text);
	*text = NULL;
	return fp_fail(FP_FULL, "configuration: %zu bytes, at most %d", len,
		       FP_CONFIG_MAX_BYTES);
}

/* ---- decoding ---- */

static void json_to_value(const json_t *j, struct fp_value *v)
{
	memset(v, 0, sizeof(*v));
	if (!j)
		return;
	v->type = FP_VALUE_OTHER;
	if (json_is_integer(j)) {
		v->type = FP_VALUE_INTEGER;
		v->integer = json_integer_value(j);
	} else if (json_is_boolean(j)) {
		v->type = FP_VALUE_BOOLEAN;
		v->boolean = json_is_true(j);
	} else if (json_is_string(j)) {
		/* The parser refuses NUL inside a string. */
		v->type = FP_VALUE_TEXT;
		v->text = json_string_value(j);
	}
}

static enum fp_status invalid_field(const struct fp_config_list *l,
				    size_t index, const char *name,
				    const char *why)
{
	return fp_fail(FP_INVALID, "configuration: %s %zu %s: %s", l->entry,
		       index, name, why);
}

static enum fp_status read_key_org(const struct fp_config *c,
				   const struct fp_config_list *l,
				   const json_t *j, size_t index,
				   struct fp_key *k)
{
	const json_t *org = json_object_get(j, "organisation");
	const char *name = json_string_value(org);
	int found = name ? fp_config_find_org(c, name) : -1;

	k->org = FP_CONFIG_NO_ORG;
	if (json_is_null(org))
		return FP_OK;
	if (found < 0)
		return invalid_field(l, index, "organisation",
				     "expected an organisation of this record");
	k->org = (uint32_t)found;
	return FP_OK;
}

static enum fp_status read_entry(const struct fp_config *c,
				 const struct fp_config_list *l,
				 const json_t *j, size_t index, void *entry)
{
	bool is_key = l == &fp_config_lists[FP_LIST_KEYS];
	char why[FP_WHY_BYTES];
	struct fp_value v;
	uint32_t i;

	if (json_object_size(j) != l->n_fields + (is_key ? 1 : 0))
		return invalid_field(
			l, index, "members",
			"expected exactly the members of the format");
	for (i = 0; i < l->n_fields; i++) {
		const struct fp_field *f = &l->fields[i];

		json_to_value(json_object_get(j, f->name), &v);
		if (!fp_field_set(f, entry, &v, why))
			return invalid_field(l, index, f->name, why);
	}
	return is_key ? read_key_org(c, l, j, index, entry) : FP_OK;
}

static enum fp_status read_list(const json_t *root, struct fp_config *c,
				const struct fp_config_list *l)
{
	const json_t *list = json_object_get(root, l->name);
	size_t n = json_array_size(list);
	enum fp_status st;
	char *first;
	uint32_t count;
	size_t i;

	if (!json_is_array(list) || n > FP_CONFIG_MAX_ENTRIES)
		return fp_fail(FP_INVALID,
			       "configuration: %s: expected a list of at most "
			       "%d",
			       l->name, FP_CONFIG_MAX_ENTRIES);
	if (!fp_config_resize(c, l, (uint32_t)n))
		return fp_fail(FP_NOMEM, "configuration: out of memory");
	first = fp_config_entries(c, l, &count);
	for (i = 0; i < n; i++) {
		st = read_entry(c, l, json_array_get(list, i), i,
				first + i * l->size);
		if (st)
			return st;
	}
	return FP_OK;
}

static enum fp_status read_lists(const json_t *root, struct fp_config *c,
				 bool all)
{
	enum fp_status st = FP_OK;
	int i;

	for (i = 0; !st && i < FP_LIST_COUNT; i++) {
		const struct fp_config_list *l = &fp_config_lists[i];

		if (all || l->declared)
			st = read_list(root, c, l);
	}
	return st;
}

static enum fp_status read_change_id(const json_t *j, char *to)
{
	char why[FP_WHY_BYTES];
	struct fp_value v;

	json_to_value(j, &v);
	if (fp_field_set(&change_id_field, to, &v, why))
		return FP_OK;
	return fp_fail(FP_INVALID, "configuration: change id: %s", why);
}

static enum fp_status read_change_ids(const json_t *root, struct fp_config *c)
{
	const json_t *list = json_object_get(root, "recent_change_ids");
	size_t n = json_array_size(list);
	enum fp_status st = FP_OK;
	size_t i;

	if (!json_is_array(list) || n > FP_CONFIG_MAX_CHANGE_IDS)
		return fp_fail(FP_INVALID,
			       "configuration: recent_change_ids: expected a "
			       "list of at most %d",
			       FP_CONFIG_MAX_CHANGE_IDS);
	if (n == 0)
		return FP_OK;
	c->recent_change_ids = calloc(n, sizeof(*c->recent_change_ids));
	if (!c->recent_change_ids)
		return fp_fail(FP_NOMEM, "configuration: out of memory");
	c->n_recent_change_ids = (uint32_t)n;
	for (i = 0; !st && i < n; i++)
		st = read_change_id(json_array_get(list, i),
				    c->recent_change_ids[i]);
	return st;
}

static enum fp_status read_active_preset(const json_t *root,
					 struct fp_config *c)
{
	const char *name =
		json_string_value(json_object_get(root, "active_preset"));
	uint32_t i;

	for (i = 0; name && i < c->n_presets; i++)
		if (strcmp(c->presets[i].name, name) == 0) {
			c->active_preset = i;
			return FP_OK;
		}
	return fp_fail(FP_INVALID, "configuration: active_preset: expected a "
				   "preset of this record");
}

static enum fp_status read_head(const json_t *root, struct fp_config *c)
{
	const json_t *version = json_object_get(root, "version");
	const json_t *revision = json_object_get(root, "revision");
	enum fp_status st;

	if (json_integer_value(version) != FP_CONFIG_VERSION)
		return fp_fail(FP_INVALID,
			       "configuration: version: expected %d",
			       FP_CONFIG_VERSION);
	if (json_object_size(root) != N_HEAD_MEMBERS + FP_LIST_COUNT)
		return fp_fail(FP_INVALID, "configuration: expected exactly "
					   "the members of the format");
	if (json_integer_value(revision) < 1)
		return fp_fail(FP_INVALID, "configuration: revision: expected "
					   "an integer from 1");
	c->revision = (uint64_t)json_integer_value(revision);
	st = read_change_id(json_object_get(root, "change_id"), c->change_id);
	return st ? st : read_change_ids(root, c);
}

static enum fp_status check(const struct fp_config *c)
{
	struct fp_config_fault fault;

	if (fp_config_check(c, &fault))
		return FP_OK;
	return invalid_field(fault.list, fault.index, fault.field, fault.why);
}

static enum fp_status read_record(const json_t *root, struct fp_config *c)
{
	enum fp_status st = read_head(root, c);

	if (!st)
		st = read_lists(root, c, true);
	if (!st)
		st = read_active_preset(root, c);
	return st ? st : check(c);
}

enum fp_status fp_config_decode(const char *text, size_t len,
				struct fp_config **out)
{
	struct fp_config *c = calloc(1, sizeof(*c));
	json_error_t err;
	json_t *root;
	enum fp_status st;

	if (!c)
		return fp_fail(FP_NOMEM, "configuration: out of memory");
	root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &err);
	if (root)
		st = read_record(root, c);
	else
		st = fp_fail(FP_INVALID, "configuration: line %d: %s", err.line,
			     err.text);
	json_decref(root);
	if (st) {
		fp_config_end(c);
		return st;
	}
	fp_config_index(c);
	*out = c;
	return FP_OK;
}

enum fp_status fp_declarations_from_json(const json_t *j,
					 struct fp_config **out)
{
	struct fp_config *c = calloc(1, sizeof(*c));
	enum fp_status st;

	if (!c)
		return fp_fail(FP_NOMEM, "declarations: out of memory");
	st = read_lists(j, c, false);
	if (!st)
		st = check(c);
	if (st) {
		fp_config_end(c);
		return st;
	}
	*out = c;
	return FP_OK;
}
