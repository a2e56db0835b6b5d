/* cmd_check.c - check: validates a file of settings or declarations */
#include <stdio.h>
#include <string.h>

#include "cmd/cmd.h"
#include "protocol/declarations.h"
#include "protocol/settings.h"
#include "protocol/toml.h"

#define SETTINGS     "settings"
#define DECLARATIONS "declarations"

/* Infers the kind from the sections; NULL with a message on a read error. */
static const char *detect_kind(const char *path)
{
	static const char *const settings_sections[] = { "node", "store",
							 "fleet" };
	const char *kind = DECLARATIONS;
	struct fp_toml *t;
	size_t i;
	int n;

	if (fp_toml_load(path, &t))
		return NULL;
	for (i = 0;
	     i < sizeof(settings_sections) / sizeof(settings_sections[0]); i++)
		if (fp_toml_kind(t, settings_sections[i], &n) != FP_TOML_ABSENT)
			kind = SETTINGS;
	fp_toml_end(t);
	return kind;
}

static enum fp_status check_kind(const char *kind, const char *path)
{
	struct fp_settings s;
	struct fp_config *c = NULL;
	enum fp_status st;

	if (strcmp(kind, SETTINGS) == 0)
		return fp_settings_load(path, &s);
	st = fp_declarations_load(path, &c);
	fp_config_end(c);
	return st;
}

enum cmd_exit cmd_check(const struct cmd_options *o)
{
	const char *path = o->args[0];
	const char *kind = o->kind;

	if (kind && strcmp(kind, SETTINGS) != 0 &&
	    strcmp(kind, DECLARATIONS) != 0)
		return cmd_fail(o, CMD_USAGE,
				"kind: expected settings or declarations, got "
				"\"%.40s\"",
				kind);
	if (!kind)
		kind = detect_kind(path);
	if (!kind || check_kind(kind, path))
		return cmd_fail(o, CMD_USAGE, "%s", fp_last_message());
	if (o->json)
		cmd_print_json(json_pack("{s:s}", "kind", kind), CMD_DONE);
	else
		printf("%s: valid %s\n", path, kind);
	return CMD_DONE;
}
