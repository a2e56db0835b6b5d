/* cmd_list.c - org, key, operator and preset list: tables of the record */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/admin.h"
#include "protocol/config_codec.h"
#include "protocol/config_tables.h"

/* Removes key hashes and marks the active preset. */
static void make_readable(const json_t *record, json_t *list, bool presets)
{
	const char *active =
		json_string_value(json_object_get(record, "active_preset"));
	size_t i;
	json_t *entry;

	json_array_foreach(list, i, entry)
	{
		const char *name =
			json_string_value(json_object_get(entry, "name"));

		json_object_del(entry, "hash");
		if (presets && name && active)
			json_object_set_new(
				entry, "in_force",
				json_boolean(strcmp(name, active) == 0));
	}
}

/* The record as JSON; the initial record if the store holds none. */
static json_t *record_json(const struct fp_config *now)
{
	struct fp_config *first = now ? NULL : fp_config_initial();
	char *text = NULL;
	json_t *j = NULL;

	if (now || first)
		fp_config_encode(now ? now : first, &text);
	if (text)
		j = json_loads(text, 0, NULL);
	free(text);
	fp_config_end(first);
	return j;
}

static enum cmd_exit print_list(const struct cmd_options *o,
				const struct fp_config *now,
				enum fp_config_list_index index)
{
	const char *name = fp_config_lists[index].name;
	json_t *record = record_json(now);
	json_t *list = json_object_get(record, name);

	if (!list)
		return cmd_fail(o, CMD_REFUSED, "out of memory");
	make_readable(record, list, index == FP_LIST_PRESETS);
	if (o->json)
		cmd_print_json(json_pack("{s:O, s:O}", name, list, "revision",
					 json_object_get(record, "revision")),
			       CMD_DONE);
	else
		cmd_print_table(list);
	json_decref(record);
	return CMD_DONE;
}

static enum cmd_exit list_table(const struct cmd_options *o,
				enum fp_config_list_index index)
{
	struct fp_config *now;
	struct admin *a;
	enum fp_status st;
	enum cmd_exit code = admin_open(o, &a);

	if (code)
		return code;
	st = admin_config(a, false, &now);
	code = st ? admin_fail(o, st) : print_list(o, now, index);
	fp_config_end(now);
	admin_end(a);
	return code;
}

enum cmd_exit cmd_org_list(const struct cmd_options *o)
{
	return list_table(o, FP_LIST_ORGS);
}

enum cmd_exit cmd_key_list(const struct cmd_options *o)
{
	return list_table(o, FP_LIST_KEYS);
}

enum cmd_exit cmd_operator_list(const struct cmd_options *o)
{
	return list_table(o, FP_LIST_OPERATORS);
}

enum cmd_exit cmd_preset_list(const struct cmd_options *o)
{
	return list_table(o, FP_LIST_PRESETS);
}
