/* cmd_report.c - report: error budgets, burn rates, worst served, overload */
#include <stdio.h>
#include <string.h>

#include "cmd/gather.h"
#include "cmd/report.h"

#define SLO_PATH	"/v1/slo"
#define SLO_SERIES_PATH "/v1/slo?series=1"
#define TEXT_BYTES	64

static json_int_t number(const json_t *j, const char *name)
{
	return json_integer_value(json_object_get(j, name));
}

static json_t *percent(const json_t *fraction)
{
	char text[TEXT_BYTES];

	if (!json_is_number(fraction))
		return json_null();
	snprintf(text, sizeof(text), "%.1f %%",
		 100 * json_number_value(fraction));
	return json_string(text);
}

static json_t *objective_text(const json_t *row)
{
	const json_t *o = json_object_get(row, "objective");
	char text[TEXT_BYTES];

	if (!json_is_object(o))
		return json_string("none declared");
	snprintf(text, sizeof(text), "%.1f %% in %lld ms over %lld h",
		 (double)number(o, "good_permille") / 10,
		 (long long)number(o, "latency_ms"),
		 (long long)number(o, "window_hours"));
	return json_string(text);
}

static json_t *burn_text(const json_t *row, const char *window)
{
	const json_t *v = json_object_get(json_object_get(row, "burn"), window);
	char text[TEXT_BYTES];

	if (!json_is_number(v))
		return json_null();
	snprintf(text, sizeof(text), "%.2f", json_number_value(v));
	return json_string(text);
}

/* One table line: the objective, its error budget and the last hour. */
static json_t *row_line(const json_t *row)
{
	const json_t *hour =
		json_object_get(json_object_get(row, "windows"), "1h");

	return json_pack(
		"{s:O,s:O,s:o,s:o,s:o,s:o,s:o,s:I,s:I,s:I,s:I}", "organisation",
		json_object_get(row, "organisation"), "class",
		json_object_get(row, "class"), "objective", objective_text(row),
		"budget left", percent(json_object_get(row, "budget_left")),
		"burn 5m", burn_text(row, "5m"), "burn 1h",
		burn_text(row, "1h"), "burn 3d", burn_text(row, "3d"),
		"good 1h", number(hour, "good"), "failed 1h",
		number(hour, "failed"), "refused 1h", number(hour, "refused"),
		"over rate 1h", number(hour, "over_rate"));
}

static void print_rows(const json_t *report)
{
	json_t *lines = json_array();
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(report, "rows"), i, row)
	{
		json_array_append_new(lines, row_line(row));
	}
	cmd_print_table(lines);
	json_decref(lines);
}

static void print_worst(const json_t *report)
{
	const json_t *w = json_object_get(report, "worst");

	printf("\nworst served in the last hour: ");
	if (!json_is_object(w)) {
		puts("no requests");
		return;
	}
	printf("%s, %.2f %% of %lld requests good\n",
	       json_string_value(json_object_get(w, "organisation")),
	       100 * json_real_value(json_object_get(w, "good_share")),
	       (long long)number(w, "total"));
}

static void print_refused(const json_t *report)
{
	const json_t *r = json_object_get(report, "refused_in_rate");

	printf("refused inside the rate in the last hour: %lld of %lld\n",
	       (long long)number(r, "refused"), (long long)number(r, "total"));
}

static void print_overload(const json_t *report)
{
	const json_t *v = json_object_get(report, "overload");

	if (!json_is_object(v)) {
		puts("last overload: none since these nodes started");
		return;
	}
	printf("last overload: began %lld s ago, %s %lld s, %.1f %% good in "
	       "its worst second (node %s)\n",
	       (long long)number(v, "began_s_ago"),
	       json_is_true(json_object_get(v, "ongoing")) ? "ongoing for" :
							     "over after",
	       (long long)number(v, "length_s"),
	       (double)number(v, "worst_permille") / 10,
	       json_string_value(json_object_get(v, "node")));
}

/* Lists the nodes whose counts are missing. */
static void print_nodes(const json_t *report)
{
	const json_t *nodes = json_object_get(report, "nodes");
	size_t reached = 0;
	json_t *node;
	size_t i;

	json_array_foreach(nodes, i, node)
	{
		if (json_is_true(json_object_get(node, "reached")))
			reached++;
	}
	printf("counted by %zu of %zu nodes since each one's start\n", reached,
	       json_array_size(nodes));
	json_array_foreach(nodes, i, node)
	{
		if (!json_is_true(json_object_get(node, "reached")))
			printf("NOT COUNTED: %s (%s)\n",
			       json_string_value(json_object_get(node, "name")),
			       json_string_value(
				       json_object_get(node, "reason")));
	}
}

static enum cmd_exit write_html(const struct cmd_options *o,
				const json_t *report)
{
	FILE *out = fopen(o->html, "w");
	bool ok = out && report_write_html(report, out);

	if (out && fclose(out) != 0)
		ok = false;
	if (!ok)
		return cmd_fail(o, CMD_REFUSED, "%s: cannot be written",
				o->html);
	return CMD_DONE;
}

static enum cmd_exit show(const struct cmd_options *o, json_t *report)
{
	enum cmd_exit code = CMD_DONE;

	if (o->html)
		code = write_html(o, report);
	if (code)
		return code;
	if (o->json) {
		cmd_print_json(json_incref(report), CMD_DONE);
		return CMD_DONE;
	}
	print_rows(report);
	print_worst(report);
	print_refused(report);
	print_overload(report);
	print_nodes(report);
	return CMD_DONE;
}

enum cmd_exit cmd_report(const struct cmd_options *o)
{
	json_t *status = NULL;
	json_t *report;
	struct admin *a;
	enum cmd_exit code = admin_open(o, &a);

	if (code)
		return code;
	code = gather_status(o, a, &status);
	if (code == CMD_DONE) {
		report = report_init(json_object_get(status, "nodes"));
		gather_all(a, status, o->html ? SLO_SERIES_PATH : SLO_PATH,
			   report_add, report);
		report_finish(report);
		code = show(o, report);
		json_decref(report);
	}
	json_decref(status);
	admin_end(a);
	return code;
}
