/*
 * report.c - service levels of the fleet, merged from the counters of its nodes
 *
 * Each node counts the root requests that it received from callers. Every root
 * request is counted by exactly one node, so the sums over all nodes are those
 * of the fleet. The counts of a node that was not reached are missing; the
 * report lists such nodes.
 */
#include "cmd/report.h"

#include <string.h>

#include "state/slo.h"

#define WORST_WINDOW "1h"

static const char *const windows[] = { "5m", "1h", "3d" };

#define N_WINDOWS (sizeof(windows) / sizeof(windows[0]))

json_t *report_init(const json_t *nodes)
{
	return json_pack("{s:O,s:[],s:n,s:{},s:n}", "nodes", nodes, "rows",
			 "worst", "refused_in_rate", "overload");
}

/* --- merging --- */

static bool same_text(const json_t *a, const json_t *b, const char *name)
{
	const char *x = json_string_value(json_object_get(a, name));
	const char *y = json_string_value(json_object_get(b, name));

	return x && y && strcmp(x, y) == 0;
}

static json_t *find_row(const json_t *rows, const json_t *key_row)
{
	json_t *row;
	size_t i;

	json_array_foreach(rows, i, row)
	{
		if (same_text(row, key_row, "organisation") &&
		    same_text(row, key_row, "class"))
			return row;
	}
	return NULL;
}

/* Adds the integers of two JSON values member by member, recursively. */
static void add_numbers(json_t *to, const json_t *from)
{
	const char *name;
	json_t *v;
	size_t i;

	if (json_is_integer(to) && json_is_integer(from))
		json_integer_set(to, json_integer_value(to) +
					     json_integer_value(from));
	json_object_foreach((json_t *)from, name, v)
	{
		add_numbers(json_object_get(to, name), v);
	}
	json_array_foreach(from, i, v)
	{
		add_numbers(json_array_get(to, i), v);
	}
}

static void add_row(json_t *rows, const json_t *row)
{
	json_t *to = find_row(rows, row);

	if (!to) {
		json_array_append_new(rows, json_deep_copy(row));
		return;
	}
	add_numbers(json_object_get(to, "windows"),
		    json_object_get(row, "windows"));
	add_numbers(json_object_get(to, "series"),
		    json_object_get(row, "series"));
	if (json_is_null(json_object_get(to, "objective")))
		json_object_set(to, "objective",
				json_object_get(row, "objective"));
}

static json_int_t number(const json_t *j, const char *name)
{
	return json_integer_value(json_object_get(j, name));
}

/* Keeps the later of two overloads; overlapping ones are merged. */
static void merge_overload(json_t *report, const char *name,
			   const json_t *found)
{
	json_t *last = json_object_get(report, "overload");
	json_int_t began = number(found, "began_s_ago");
	json_int_t end = began - number(found, "length_s");
	json_int_t last_began = number(last, "began_s_ago");
	json_int_t last_end = last_began - number(last, "length_s");
	json_t *copy;

	if (!number(found, "episodes"))
		return;
	if (json_is_object(last) && end > last_began)
		return;
	copy = json_deep_copy(found);
	json_object_set_new(copy, "node", json_string(name));
	if (json_is_object(last) && last_end <= began) {
		if (last_began > began)
			began = last_began;
		if (last_end < end)
			end = last_end;
		json_object_set_new(copy, "began_s_ago", json_integer(began));
		json_object_set_new(copy, "length_s",
				    json_integer(began - end));
		if (number(last, "worst_permille") <
		    number(found, "worst_permille")) {
			json_object_set(copy, "node",
					json_object_get(last, "node"));
			json_object_set(
				copy, "worst_permille",
				json_object_get(last, "worst_permille"));
		}
		if (json_is_true(json_object_get(last, "ongoing")))
			json_object_set_new(copy, "ongoing", json_true());
	}
	json_object_set_new(report, "overload", copy);
}

void report_add(void *report, const char *name, json_t *answer)
{
	json_t *rows = json_object_get(report, "rows");
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(answer, "rows"), i, row)
	{
		add_row(rows, row);
	}
	merge_overload(report, name, json_object_get(answer, "overload"));
}

/* --- figures --- */

static void read_counts(const json_t *row, const char *window,
			struct fp_slo_counts *n)
{
	const json_t *w =
		json_object_get(json_object_get(row, "windows"), window);

	n->n[FP_SLO_GOOD] = (uint64_t)number(w, "good");
	n->n[FP_SLO_FAILED] = (uint64_t)number(w, "failed");
	n->n[FP_SLO_REFUSED] = (uint64_t)number(w, "refused");
	n->n[FP_SLO_OVER_RATE] = (uint64_t)number(w, "over_rate");
}

static void finish_row(json_t *row)
{
	const json_t *objective = json_object_get(row, "objective");
	uint32_t permille = (uint32_t)number(objective, "good_permille");
	json_t *burn = json_object();
	struct fp_slo_counts n;
	size_t w;

	if (!permille) {
		json_decref(burn);
		return;
	}
	for (w = 0; w < N_WINDOWS; w++) {
		read_counts(row, windows[w], &n);
		json_object_set_new(burn, windows[w],
				    json_real(fp_slo_burn(&n, permille)));
	}
	json_object_set_new(row, "burn", burn);
	read_counts(row, "budget", &n);
	json_object_set_new(row, "budget_left",
			    json_real(fp_slo_budget_left(&n, permille)));
}

/* Sums all classes of one organisation over the last hour. */
static void sum_org(const json_t *rows, const json_t *key_row,
		    struct fp_slo_counts *sum)
{
	struct fp_slo_counts n;
	json_t *row;
	size_t i;
	int k;

	memset(sum, 0, sizeof(*sum));
	json_array_foreach(rows, i, row)
	{
		if (!same_text(row, key_row, "organisation"))
			continue;
		read_counts(row, WORST_WINDOW, &n);
		for (k = 0; k < FP_SLO_KIND_COUNT; k++)
			sum->n[k] += n.n[k];
	}
}

/* Sets "worst" to the organisation with the lowest fraction of good requests in
 * the last hour. */
static void find_worst(json_t *report)
{
	const json_t *rows = json_object_get(report, "rows");
	double worst = 2; /* above any fraction */
	struct fp_slo_counts n;
	json_t *row;
	size_t i;

	json_array_foreach(rows, i, row)
	{
		uint64_t total;
		double good_fraction;

		sum_org(rows, row, &n);
		total = fp_slo_total(&n);
		if (!total)
			continue;
		good_fraction = (double)n.n[FP_SLO_GOOD] / (double)total;
		if (good_fraction >= worst)
			continue;
		worst = good_fraction;
		json_object_set_new(
			report, "worst",
			json_pack("{s:O,s:f,s:I,s:I}", "organisation",
				  json_object_get(row, "organisation"),
				  "good_share", good_fraction, "total",
				  (json_int_t)total, "refused",
				  (json_int_t)n.n[FP_SLO_REFUSED]));
	}
}

static void sum_refused(json_t *report)
{
	uint64_t refused = 0;
	uint64_t total = 0;
	struct fp_slo_counts n;
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(report, "rows"), i, row)
	{
		read_counts(row, WORST_WINDOW, &n);
		refused += n.n[FP_SLO_REFUSED];
		total += fp_slo_total(&n);
	}
	json_object_set_new(report, "refused_in_rate",
			    json_pack("{s:I,s:I}", "refused",
				      (json_int_t)refused, "total",
				      (json_int_t)total));
}

void report_finish(json_t *report)
{
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(report, "rows"), i, row)
	{
		finish_row(row);
	}
	find_worst(report);
	sum_refused(report);
}
