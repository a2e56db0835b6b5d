/* lib_tally.c - counts outcomes and latencies by organisation and class */
#include "standin/lib_tally.h"

#include <stdlib.h>
#include <string.h>

#define MAX_GROUPS 256

/** Requests of one organisation and class; group 0 counts all requests. */
struct group {
	char *org;
	char *class_name;
	int64_t offered;
	int64_t good;
	int64_t attempts;
	json_t *refused; /**< count by reason */
	json_t *failed; /**< count by reason */
	int64_t *latencies_us; /**< of good answers */
	size_t capacity;
};

struct tally {
	struct group groups[MAX_GROUPS];
	int n_groups;
};

static struct group *add_group(struct tally *t, const char *org,
			       const char *class_name)
{
	struct group *g = &t->groups[t->n_groups++];

	g->org = strdup(org);
	g->class_name = strdup(class_name);
	g->refused = json_object();
	g->failed = json_object();
	return g;
}

struct tally *tally_init(void)
{
	struct tally *t = calloc(1, sizeof(*t));

	if (!t)
		abort();
	add_group(t, "all", "all");
	return t;
}

static struct group *find_group(struct tally *t, const char *org,
				const char *class_name)
{
	int i;

	for (i = 1; i < t->n_groups; i++) {
		struct group *g = &t->groups[i];

		if (strcmp(g->org, org) == 0 &&
		    strcmp(g->class_name, class_name) == 0)
			return g;
	}
	if (t->n_groups == MAX_GROUPS)
		abort();
	return add_group(t, org, class_name);
}

static void add_latency(struct group *g, int64_t latency_us)
{
	if ((size_t)g->good == g->capacity) {
		g->capacity = g->capacity ? 2 * g->capacity : 1024;
		g->latencies_us =
			realloc(g->latencies_us, g->capacity * sizeof(int64_t));
		if (!g->latencies_us)
			abort();
	}
	g->latencies_us[g->good++] = latency_us;
}

static void count_reason(json_t *reasons, const char *reason)
{
	json_int_t n = json_integer_value(json_object_get(reasons, reason));

	json_object_set_new(reasons, reason, json_integer(n + 1));
}

static void add_to_group(struct group *g, enum tally_kind kind,
			 const char *reason, uint32_t attempts,
			 int64_t latency_us)
{
	g->offered++;
	g->attempts += attempts;
	if (kind == TALLY_GOOD)
		add_latency(g, latency_us);
	else
		count_reason(kind == TALLY_REFUSED ? g->refused : g->failed,
			     reason);
}

void tally_add(struct tally *t, const char *org, const char *class_name,
	       enum tally_kind kind, const char *reason, uint32_t attempts,
	       int64_t latency_us)
{
	add_to_group(&t->groups[0], kind, reason, attempts, latency_us);
	add_to_group(find_group(t, org, class_name), kind, reason, attempts,
		     latency_us);
}

static int compare_i64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/** Returns quantile q of the sorted latencies, 0 if there are none. */
static json_int_t quantile_us(const struct group *g, double q)
{
	int64_t i = (int64_t)(q * (double)g->good);

	if (!g->good)
		return 0;
	return g->latencies_us[i < g->good ? i : g->good - 1];
}

static json_t *group_summary(struct group *g)
{
	if (g->good)
		qsort(g->latencies_us, (size_t)g->good, sizeof(int64_t),
		      compare_i64);
	return json_pack("{s:s, s:s, s:I, s:I, s:O, s:O, s:I, s:I, s:I}", "org",
			 g->org, "class", g->class_name, "offered",
			 (json_int_t)g->offered, "good", (json_int_t)g->good,
			 "refused", g->refused, "failed", g->failed, "attempts",
			 (json_int_t)g->attempts, "p50_us", quantile_us(g, 0.5),
			 "p99_us", quantile_us(g, 0.99));
}

json_t *tally_summary(struct tally *t)
{
	json_t *groups = json_array();
	int i;

	for (i = 1; i < t->n_groups; i++)
		json_array_append_new(groups, group_summary(&t->groups[i]));
	return json_pack("{s:o, s:o}", "total", group_summary(&t->groups[0]),
			 "groups", groups);
}

void tally_end(struct tally *t)
{
	int i;

	for (i = 0; i < t->n_groups; i++) {
		struct group *g = &t->groups[i];

		free(g->org);
		free(g->class_name);
		json_decref(g->refused);
		json_decref(g->failed);
		free(g->latencies_us);
	}
	free(t);
}
