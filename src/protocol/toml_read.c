/* toml_read.c - reads a table of a TOML document through a field table */
#include <stdio.h>
#include <string.h>

#include "protocol/toml.h"

static bool in_section(const struct fp_field *f, struct fp_toml_table_id at)
{
	return !f->section || strcmp(f->section, at.section) == 0;
}

static bool is_known(const struct fp_field *fields, uint32_t n,
		     struct fp_toml_table_id at, const char *name)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		if (in_section(&fields[i], at) &&
		    strcmp(fields[i].name, name) == 0)
			return true;
	return false;
}

static enum fp_status unknown_name(const struct fp_toml *t,
				   struct fp_toml_table_id at,
				   const struct fp_field *fields, uint32_t n,
				   const char *name)
{
	char why[FP_WHY_BYTES] = "expected one of";
	size_t used = strlen(why);
	uint32_t i;

	for (i = 0; i < n && used < sizeof(why); i++)
		if (in_section(&fields[i], at))
			used += (size_t)snprintf(why + used, sizeof(why) - used,
						 " %s,", fields[i].name);
	if (used < sizeof(why))
		snprintf(why + used, sizeof(why) - used,
			 " got an unknown name");
	return fp_toml_fail(t, at, name, why);
}

static enum fp_status read_field(struct fp_toml *t, struct fp_toml_table_id at,
				 const struct fp_field *f, void *base)
{
	char why[FP_WHY_BYTES];
	struct fp_value v;
	bool ok;

	fp_toml_get(t, at, f->name, &v);
	if (v.type == FP_VALUE_NONE)
		ok = fp_field_set_default(f, base, why);
	else
		ok = fp_field_set(f, base, &v, why);
	return ok ? FP_OK : fp_toml_fail(t, at, f->name, why);
}

enum fp_status fp_toml_read(struct fp_toml *t, struct fp_toml_table_id at,
			    const struct fp_field *fields, uint32_t n,
			    void *base)
{
	const char *name;
	enum fp_status st;
	uint32_t i;

	for (i = 0; (name = fp_toml_name(t, at, (int)i)); i++)
		if (!is_known(fields, n, at, name))
			return unknown_name(t, at, fields, n, name);
	for (i = 0; i < n; i++) {
		if (!in_section(&fields[i], at))
			continue;
		st = read_field(t, at, &fields[i], base);
		if (st)
			return st;
	}
	return FP_OK;
}
