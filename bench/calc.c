/* calc.c - statistics of the callers' request records */
#include "bench/calc.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BIN_US	       250000 /* time between the starts of two windows */
#define WINDOW_US      1000000
#define NORMAL_SUCCESS 0.99 /* minimum served fraction of a normal second */
#define NORMAL_P99     2 /* multiple of the p99 before the surge */
#define P99	       0.99
#define FIELDS	       10 /* of a line of the CSV file */
#define LINE_BYTES     1024
#define MAX_ORGS       64

/* Parsing. */

/** Splits a line at commas; returns the number of fields, or FIELDS + 1 if
 * there are more than FIELDS. */
static int split_fields(char *line, char *fields[FIELDS])
{
	int n = 0;

	line[strcspn(line, "\r\n")] = '\0';
	while (line && n < FIELDS)
		fields[n++] = strsep(&line, ",");
	return line ? FIELDS + 1 : n;
}

static bool parse_number(const char *text, int64_t *out)
{
	char *end;

	*out = strtoll(text, &end, 10);
	return end != text && !*end;
}

static void copy_name(char out[CALC_NAME_BYTES], const char *text)
{
	snprintf(out, CALC_NAME_BYTES, "%.47s", text);
}

bool sample_parse(const char *line, struct sample *out)
{
	char text[LINE_BYTES];
	char *fields[FIELDS];
	int64_t attempts, complete;

	if (strlen(line) >= sizeof(text))
		return false;
	snprintf(text, sizeof(text), "%s", line);
	if (split_fields(text, fields) != FIELDS)
		return false;
	if (!parse_number(fields[0], &out->arrival_us) ||
	    !parse_number(fields[4], &attempts) ||
	    !parse_number(fields[8], &out->latency_us) ||
	    !parse_number(fields[9], &complete))
		return false;
	out->attempts = (uint32_t)attempts;
	out->complete = complete != 0;
	copy_name(out->org, fields[1]);
	copy_name(out->class_name, fields[2]);
	copy_name(out->route, fields[3]);
	copy_name(out->outcome, fields[6]);
	copy_name(out->reason, fields[7]);
	return true;
}

void samples_add(struct samples *s, const struct sample *one)
{
	if (s->n == s->capacity) {
		s->capacity = s->capacity ? 2 * s->capacity : 4096;
		s->v = realloc(s->v, s->capacity * sizeof(*s->v));
		if (!s->v)
			abort();
	}
	s->v[s->n++] = *one;
}

bool samples_read(struct samples *s, const char *path)
{
	FILE *in = fopen(path, "r");
	char line[LINE_BYTES];
	struct sample one;

	if (!in)
		return false;
	while (fgets(line, sizeof(line), in)) {
		if (sample_parse(line, &one))
			samples_add(s, &one);
	}
	fclose(in);
	return true;
}

void samples_end(struct samples *s)
{
	free(s->v);
	*s = (struct samples){ 0 };
}

/* Served fractions and goodput. */

double served_fraction(struct served_counts c)
{
	return c.offered ? (double)c.good / (double)c.offered : 1;
}

static bool has_arrived_in(const struct sample *one, int64_t from_us,
			   int64_t to_us)
{
	return one->arrival_us >= from_us && one->arrival_us < to_us;
}

struct served_counts samples_count(const struct samples *s, int64_t from_us,
				   int64_t to_us, const char *org,
				   const char *class_name)
{
	struct served_counts c = { 0 };
	size_t i;

	for (i = 0; i < s->n; i++) {
		const struct sample *one = &s->v[i];

		if (!has_arrived_in(one, from_us, to_us) ||
		    (org && strcmp(one->org, org) != 0) ||
		    (class_name && strcmp(one->class_name, class_name) != 0))
			continue;
		c.offered++;
		c.good += one->complete;
	}
	return c;
}

double samples_goodput(const struct samples *s, int64_t from_us, int64_t to_us)
{
	int64_t good = 0;
	size_t i;

	for (i = 0; i < s->n; i++) {
		int64_t done_us = s->v[i].arrival_us + s->v[i].latency_us;

		good += s->v[i].complete && done_us >= from_us &&
			done_us < to_us;
	}
	if (to_us <= from_us)
		return 0;
	return (double)good * 1e6 / (double)(to_us - from_us);
}

static int compare_i64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

int64_t samples_quantile_us(const struct samples *s, int64_t from_us,
			    int64_t to_us, double q)
{
	int64_t *v = calloc(s->n + 1, sizeof(*v));
	size_t n = 0;
	size_t i, at;
	int64_t result;

	if (!v)
		abort();
	for (i = 0; i < s->n; i++) {
		if (s->v[i].complete &&
		    has_arrived_in(&s->v[i], from_us, to_us))
			v[n++] = s->v[i].latency_us;
	}
	qsort(v, n, sizeof(*v), compare_i64);
	at = (size_t)(q * (double)n);
	if (at >= n)
		at = n ? n - 1 : 0;
	result = v[at];
	free(v);
	return result;
}

/** Names that were already processed. */
struct name_set {
	const char *name[MAX_ORGS];
	int n;
};

/** Adds a name; returns whether it was new. */
static bool add_if_new(struct name_set *seen, const char *name)
{
	int i;

	for (i = 0; i < seen->n; i++) {
		if (strcmp(seen->name[i], name) == 0)
			return false;
	}
	if (seen->n == MAX_ORGS)
		return false;
	seen->name[seen->n++] = name;
	return true;
}

double samples_worst_org(const struct samples *s, int64_t from_us,
			 int64_t to_us, const char *except, char *name,
			 size_t name_bytes)
{
	struct name_set seen = { .n = 0 };
	double worst = 1;
	double fraction;
	size_t i;

	*name = '\0';
	for (i = 0; i < s->n; i++) {
		const char *org = s->v[i].org;

		if (!has_arrived_in(&s->v[i], from_us, to_us) ||
		    (except && strcmp(org, except) == 0) ||
		    !add_if_new(&seen, org))
			continue;
		fraction = served_fraction(
			samples_count(s, from_us, to_us, org, NULL));
		if (!*name || fraction < worst) {
			worst = fraction;
			snprintf(name, name_bytes, "%s", org);
		}
	}
	return worst;
}

/* Recovery. */

static bool is_normal(const struct samples *s, int64_t from_us, int64_t p99_us)
{
	int64_t to_us = from_us + WINDOW_US;
	struct served_counts c = samples_count(s, from_us, to_us, NULL, NULL);

	return served_fraction(c) >= NORMAL_SUCCESS &&
	       samples_quantile_us(s, from_us, to_us, P99) <= p99_us;
}

int64_t samples_recovery_us(const struct samples *s,
			    const struct surge_times *t)
{
	int64_t p99_us = NORMAL_P99 *
			 samples_quantile_us(s, t->before_us, t->surge_us, P99);
	int64_t normal_us = -1;
	int64_t at_us;

	for (at_us = t->surge_end_us; at_us + WINDOW_US <= t->end_us;
	     at_us += BIN_US) {
		if (!is_normal(s, at_us, p99_us))
			normal_us = -1;
		else if (normal_us < 0)
			normal_us = at_us;
	}
	return normal_us < 0 ? -1 : normal_us - t->surge_end_us;
}

/* Counters. */

/** Parses a line if it has that name and its label set contains label. */
static bool parse_metric(const char *line, const char *name, const char *label,
			 int64_t *out)
{
	size_t n = strlen(name);
	const char *value = strchr(line, ' ');
	const char *found = label ? strstr(line, label) : line;

	if (strncmp(line, name, n) != 0 || (line[n] != ' ' && line[n] != '{') ||
	    !value || !found || found > value)
		return false;
	*out = strtoll(value, NULL, 10);
	return true;
}

static const char *next_line(const char *line)
{
	const char *end = strchr(line, '\n');

	return end && end[1] ? end + 1 : NULL;
}

int64_t metrics_sum(const char *text, const char *name, const char *label)
{
	int64_t sum = 0;
	int64_t value;

	for (; text && *text; text = next_line(text)) {
		if (parse_metric(text, name, label, &value))
			sum += value;
	}
	return sum;
}

int64_t metrics_max(const char *text, const char *name, const char *label)
{
	int64_t max = 0;
	int64_t value;

	for (; text && *text; text = next_line(text)) {
		if (parse_metric(text, name, label, &value) && value > max)
			max = value;
	}
	return max;
}

/* Root requests. */

#define ROOT_BYTES  32 /* maximum length of an id */
#define ROOT_SLOTS  (1u << 18) /* at most half of them are used */
#define START_EVENT "{\"event\":\"start\""
#define ROOT_FIELD  "\"request\":\""

struct root_set {
	char (*id)[ROOT_BYTES + 1]; /**< open addressing; "" is a free slot */
	int64_t count;
};

struct root_set *root_set_init(void)
{
	struct root_set *set = calloc(1, sizeof(*set));

	if (!set)
		abort();
	set->id = calloc(ROOT_SLOTS, sizeof(*set->id));
	if (!set->id)
		abort();
	return set;
}

static void add_root(struct root_set *set, const char *id, size_t bytes)
{
	uint32_t h = 2166136261u; /* FNV-1a */
	size_t i;

	if (!bytes || bytes > ROOT_BYTES || set->count >= ROOT_SLOTS / 2)
		return;
	for (i = 0; i < bytes; i++)
		h = (h ^ (uint8_t)id[i]) * 16777619u;
	for (;; h++) {
		char *at = set->id[h % ROOT_SLOTS];

		if (strncmp(at, id, bytes) == 0 && !at[bytes])
			return;
		if (*at)
			continue;
		memcpy(at, id, bytes);
		set->count++;
		return;
	}
}

int64_t root_set_add_log(struct root_set *set, const char *log)
{
	int64_t starts = 0;

	for (; log && *log; log = next_line(log)) {
		const char *end = strchr(log, '\n');
		const char *id = strstr(log, ROOT_FIELD);

		if (strncmp(log, START_EVENT, strlen(START_EVENT)) == 0) {
			starts++;
			if (id && (!end || id < end)) {
				id += strlen(ROOT_FIELD);
				add_root(set, id, strcspn(id, "\""));
			}
		}
	}
	return starts;
}

int64_t root_set_count(const struct root_set *set)
{
	return set->count;
}

void root_set_end(struct root_set *set)
{
	free(set->id);
	free(set);
}
