/* print.c - output of commands: JSON, failures and tables */
#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/status.h"
#include "cmd/cmd.h"

/** Maximum width of a table cell, characters. */
#define CELL_CHARS 60
/** Maximum number of columns of a table. */
#define MAX_COLUMNS 32

void cmd_print_json(json_t *j, enum cmd_exit code)
{
	char *text;

	json_object_set_new(j, "done", json_boolean(code == CMD_DONE));
	json_object_set_new(j, "exit", json_integer(code));
	text = json_dumps(j, JSON_INDENT(2));
	puts(text ? text : "{}");
	free(text);
	json_decref(j);
}

enum cmd_exit cmd_fail(const struct cmd_options *o, enum cmd_exit code,
		       const char *fmt, ...)
{
	char reason[FP_MESSAGE_BYTES];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(reason, sizeof(reason), fmt, ap);
	va_end(ap);
	if (o->json)
		cmd_print_json(json_pack("{s:s}", "reason", reason), code);
	else
		fprintf(stderr, "fulmarpass: %s\n", reason);
	return code;
}

/* Formats a table cell; control characters are replaced for terminals. */
static void format_cell(const json_t *v, char out[CELL_CHARS + 1])
{
	char *dump = NULL;
	size_t i;

	if (!v || json_is_null(v))
		snprintf(out, CELL_CHARS + 1, "-");
	else if (json_is_string(v))
		snprintf(out, CELL_CHARS + 1, "%s", json_string_value(v));
	else if (json_is_boolean(v))
		snprintf(out, CELL_CHARS + 1, "%s",
			 json_is_true(v) ? "yes" : "no");
	else if (json_is_real(v))
		snprintf(out, CELL_CHARS + 1, "%.3f", json_real_value(v));
	else {
		dump = json_dumps(v, JSON_COMPACT | JSON_ENCODE_ANY);
		snprintf(out, CELL_CHARS + 1, "%s", dump ? dump : "-");
		free(dump);
	}
	for (i = 0; out[i]; i++)
		if (iscntrl((unsigned char)out[i]))
			out[i] = '?';
}

/* The columns: id and name first, then other members as they appear. */
static size_t find_columns(const json_t *rows, const char *names[MAX_COLUMNS])
{
	static const char *const first_columns[] = { "id", "name" };
	size_t n = 0;
	size_t i;
	size_t k;
	json_t *row;
	json_t *v;
	const char *name;

	for (k = 0; k < sizeof(first_columns) / sizeof(first_columns[0]); k++)
		if (json_object_get(json_array_get(rows, 0), first_columns[k]))
			names[n++] = first_columns[k];
	json_array_foreach(rows, i, row)
	{
		json_object_foreach(row, name, v)
		{
			for (k = 0; k < n; k++)
				if (strcmp(names[k], name) == 0)
					break;
			if (k == n && n < MAX_COLUMNS)
				names[n++] = name;
		}
	}
	return n;
}

static int column_width(const json_t *rows, const char *name)
{
	char text[CELL_CHARS + 1];
	size_t width = strlen(name);
	size_t i;
	json_t *row;

	json_array_foreach(rows, i, row)
	{
		format_cell(json_object_get(row, name), text);
		if (strlen(text) > width)
			width = strlen(text);
	}
	return (int)width;
}

void cmd_print_table(const json_t *rows)
{
	const char *names[MAX_COLUMNS];
	size_t n = find_columns(rows, names);
	char text[CELL_CHARS + 1];
	int widths[MAX_COLUMNS] = { 0 };
	size_t i;
	size_t k;
	json_t *row;

	for (k = 0; k < n; k++) {
		widths[k] = column_width(rows, names[k]);
		printf("%s%-*s", k ? "  " : "", widths[k], names[k]);
	}
	printf("%s", n ? "\n" : "none\n");
	json_array_foreach(rows, i, row)
	{
		for (k = 0; k < n; k++) {
			format_cell(json_object_get(row, names[k]), text);
			printf("%s%-*s", k ? "  " : "", widths[k], text);
		}
		putchar('\n');
	}
}
