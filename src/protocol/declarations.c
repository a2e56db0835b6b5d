/* declarations.c - reads operators' declarations from a TOML file */
#include "protocol/declarations.h"

#include <stdio.h>
#include <string.h>

#include "protocol/config_tables.h"
#include "protocol/toml.h"

/** Maximum number of fields of a preset. */
#define MAX_PRESET_FIELDS 16

static bool is_section(const char *name)
{
	int i;

	for (i = 0; i < FP_LIST_COUNT; i++)
		if (fp_config_lists[i].declared &&
		    strcmp(fp_config_lists[i].entry, name) == 0)
			return true;
	return false;
}

static enum fp_status check_names(struct fp_toml *t)
{
	struct fp_toml_table_id root = { "", -1 };
	const char *name;
	int i;
	int n;

	for (i = 0; (name = fp_toml_name(t, root, i)); i++) {
		struct fp_toml_table_id at = { name, -1 };
		enum fp_toml_kind shape = fp_toml_kind(t, name, &n);

		if (shape == FP_TOML_VALUE)
			return fp_toml_fail(t, root, name,
					    "expected a section before it, "
					    "got a value outside of any");
		at.index = shape == FP_TOML_TABLES ? 0 : -1;
		if (!is_section(name))
			return fp_toml_fail(t, at, NULL,
					    "expected one of organisation, "
					    "route, preset, objective, got an "
					    "unknown section");
	}
	return FP_OK;
}

/* Reads all [[entry]] tables of a list. */
static enum fp_status read_list(struct fp_toml *t, struct fp_config *c,
				const struct fp_config_list *l)
{
	struct fp_toml_table_id at = { l->entry, -1 };
	enum fp_status st = FP_OK;
	uint32_t count;
	char *first;
	int n;
	enum fp_toml_kind shape = fp_toml_kind(t, l->entry, &n);

	if (shape == FP_TOML_TABLE)
		return fp_toml_fail(t, at, NULL,
				    "expected an array of tables with double "
				    "brackets, got single brackets");
	if (n > FP_CONFIG_MAX_ENTRIES)
		return fp_toml_fail(t, at, NULL,
				    "expected at most 10000 entries, got more");
	if (!fp_config_resize(c, l, (uint32_t)n))
		return fp_fail(FP_NOMEM, "declarations: out of memory");
	first = fp_config_entries(c, l, &count);
	for (at.index = 0; !st && at.index < n; at.index++)
		st = fp_toml_read(t, at, l->fields, l->n_fields,
				  first + (size_t)at.index * l->size);
	return st;
}

/* Applying a file removes all entries that are not in it, so a file without
 * organisations or routes is an error. */
static enum fp_status check_not_empty(struct fp_toml *t,
				      const struct fp_config *c)
{
	struct fp_toml_table_id at = { "organisation", 0 };

	if (c->n_orgs > 0 && c->n_routes > 0)
		return FP_OK;
	if (c->n_orgs > 0)
		at.section = "route";
	return fp_toml_fail(t, at, NULL, "expected at least one, got none");
}

/* Reads one [preset.NAME], which overrides built-in values. */
static enum fp_status read_preset(struct fp_toml *t, struct fp_preset *p)
{
	const struct fp_config_list *l = &fp_config_lists[FP_LIST_PRESETS];
	struct fp_field fields[MAX_PRESET_FIELDS];
	char section[FP_NAME_BYTES + 8];
	struct fp_toml_table_id at = { section, -1 };
	uint32_t n = l->n_fields - 1;
	uint32_t i;
	int tables;

	snprintf(section, sizeof(section), "preset.%s", p->name);
	if (fp_toml_kind(t, section, &tables) == FP_TOML_ABSENT)
		return FP_OK;
	/* The name is in the table's header; all other fields are optional. */
	memcpy(fields, l->fields + 1, n * sizeof(fields[0]));
	for (i = 0; i < n; i++)
		fields[i].required = false;
	return fp_toml_read(t, at, fields, n, p);
}

static enum fp_status check_preset_name(struct fp_toml *t, const char *name)
{
	const struct fp_field *f = &fp_config_lists[FP_LIST_PRESETS].fields[0];
	struct fp_toml_table_id presets = { "preset", -1 };
	struct fp_toml_table_id at = { "", -1 };
	char section[FP_NAME_BYTES + 64];
	char why[FP_WHY_BYTES];
	int n;

	snprintf(section, sizeof(section), "preset.%.100s", name);
	at.section = section;
	if (fp_toml_kind(t, section, &n) != FP_TOML_TABLE)
		return fp_toml_fail(t, presets, name,
				    "expected a table [preset.NAME], got "
				    "something else");
	if (f->valid(name))
		return FP_OK;
	snprintf(why, sizeof(why), "expected %s, got \"%.40s\"", f->expected,
		 name);
	return fp_toml_fail(t, at, NULL, why);
}

static enum fp_status read_presets(struct fp_toml *t, struct fp_config *c)
{
	struct fp_toml_table_id at = { "preset", -1 };
	enum fp_status st = FP_OK;
	const char *name;
	int n;
	int i;

	if (fp_toml_kind(t, "preset", &n) == FP_TOML_TABLES) {
		at.index = 0;
		return fp_toml_fail(t, at, NULL,
				    "expected [preset.NAME], got a list");
	}
	for (i = 0; !st && (name = fp_toml_name(t, at, i)); i++)
		st = check_preset_name(t, name);
	for (i = 0; !st && i < FP_PRESET_COUNT; i++)
		st = read_preset(t, &c->presets[i]);
	return st;
}

static enum fp_status check_rules(struct fp_toml *t, const struct fp_config *c)
{
	struct fp_config_fault fault;
	struct fp_toml_table_id at;

	if (fp_config_check(c, &fault))
		return FP_OK;
	at.section = fault.list->entry;
	at.index = (int)fault.index;
	return fp_toml_fail(t, at, fault.field, fault.why);
}

static enum fp_status read_all(struct fp_toml *t, struct fp_config *c)
{
	enum fp_status st = check_names(t);

	if (!st)
		st = read_list(t, c, &fp_config_lists[FP_LIST_ORGS]);
	if (!st)
		st = read_list(t, c, &fp_config_lists[FP_LIST_ROUTES]);
	if (!st)
		st = check_not_empty(t, c);
	if (!st)
		st = read_presets(t, c);
	if (!st)
		st = read_list(t, c, &fp_config_lists[FP_LIST_OBJECTIVES]);
	return st ? st : check_rules(t, c);
}

enum fp_status fp_declarations_load(const char *path, struct fp_config **out)
{
	struct fp_config *c;
	struct fp_toml *t;
	enum fp_status st = fp_toml_load(path, &t);

	if (st)
		return st == FP_NOMEM ? st : FP_INVALID;
	c = fp_config_initial();
	st = c ? read_all(t, c) : fp_fail(FP_NOMEM, "out of memory");
	fp_toml_end(t);
	if (st) {
		fp_config_end(c);
		return st;
	}
	*out = c;
	return FP_OK;
}
