/*
 * counters.c - counters, gauges and histograms in the Prometheus text format
 *
 * Series are kept in a singly linked list that only grows, so a returned
 * pointer remains valid and readers need no lock. A histogram is log-linear:
 * each power of two is divided into SUBBUCKETS equal parts, which limits the
 * relative error of a quantile to 1 / SUBBUCKETS.
 */
#include "base/counters.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SUBBUCKET_BITS 4
#define SUBBUCKETS     (1 << SUBBUCKET_BITS)
#define POWERS	       32 /* larger values share the last bucket */
#define BUCKETS	       (POWERS * SUBBUCKETS)
#define NAME_BYTES     64
#define LABEL_BYTES    192

struct fp_counter {
	struct fp_counter *next; /* newer to older */
	char name[NAME_BYTES]; /* metric name */
	char labels[LABEL_BYTES]; /* text between the braces, or "" */
	atomic_int_least64_t value;
};

struct fp_histogram {
	struct fp_histogram *next;
	char name[NAME_BYTES];
	char labels[LABEL_BYTES];
	atomic_int_least64_t count; /* values recorded */
	atomic_int_least64_t sum_us; /* their sum */
	atomic_int_least64_t buckets[BUCKETS]; /* see bucket_of() */
};

struct fp_counters {
	pthread_mutex_t lock; /* guards the two list heads */
	struct fp_counter *counters;
	struct fp_histogram *histograms;
};

/* Bucket of a value; values below SUBBUCKETS have one each. */
static unsigned int bucket_of(int64_t v)
{
	unsigned int power;
	unsigned int sub;

	if (v < SUBBUCKETS)
		return v < 0 ? 0 : (unsigned int)v;
	power = 63 - (unsigned int)__builtin_clzll((unsigned long long)v);
	sub = (unsigned int)(v >> (power - SUBBUCKET_BITS)) & (SUBBUCKETS - 1);
	power -= SUBBUCKET_BITS - 1;
	if (power >= POWERS)
		return BUCKETS - 1;
	return power * SUBBUCKETS + sub;
}

/* Largest value of a bucket. */
static int64_t bucket_upper(unsigned int b)
{
	unsigned int power = b / SUBBUCKETS;
	int64_t sub = b % SUBBUCKETS;

	if (power == 0)
		return sub;
	return ((SUBBUCKETS + sub + 1) << (power - 1)) - 1;
}

struct fp_counters *fp_counters_init(void)
{
	struct fp_counters *cs = calloc(1, sizeof(*cs));

	if (cs)
		pthread_mutex_init(&cs->lock, NULL);
	return cs;
}

struct fp_counter *fp_counter_get(struct fp_counters *cs, const char *name,
				  const char *labels)
{
	struct fp_counter *c;

	pthread_mutex_lock(&cs->lock);
	for (c = cs->counters; c; c = c->next)
		if (strcmp(c->name, name) == 0 &&
		    strcmp(c->labels, labels) == 0)
			break;
	if (!c) {
		c = calloc(1, sizeof(*c));
		if (!c)
			abort();
		snprintf(c->name, sizeof(c->name), "%s", name);
		snprintf(c->labels, sizeof(c->labels), "%s", labels);
		c->next = cs->counters;
		cs->counters = c;
	}
	pthread_mutex_unlock(&cs->lock);
	return c;
}

void fp_counter_add(struct fp_counter *c, int64_t n)
{
	atomic_fetch_add_explicit(&c->value, n, memory_order_relaxed);
}

void fp_counter_set(struct fp_counter *c, int64_t value)
{
	atomic_store_explicit(&c->value, value, memory_order_relaxed);
}

int64_t fp_counter_value(const struct fp_counter *c)
{
	return atomic_load_explicit(&c->value, memory_order_relaxed);
}

struct fp_histogram *fp_histogram_get(struct fp_counters *cs, const char *name,
				      const char *labels)
{
	struct fp_histogram *h;

	pthread_mutex_lock(&cs->lock);
	for (h = cs->histograms; h; h = h->next)
		if (strcmp(h->name, name) == 0 &&
		    strcmp(h->labels, labels) == 0)
			break;
	if (!h) {
		h = calloc(1, sizeof(*h));
		if (!h)
			abort();
		snprintf(h->name, sizeof(h->name), "%s", name);
		snprintf(h->labels, sizeof(h->labels), "%s", labels);
		h->next = cs->histograms;
		cs->histograms = h;
	}
	pthread_mutex_unlock(&cs->lock);
	return h;
}

void fp_histogram_add(struct fp_histogram *h, int64_t value_us)
{
	atomic_fetch_add_explicit(&h->buckets[bucket_of(value_us)], 1,
				  memory_order_relaxed);
	atomic_fetch_add_explicit(&h->sum_us, value_us, memory_order_relaxed);
	atomic_fetch_add_explicit(&h->count, 1, memory_order_relaxed);
}

int64_t fp_histogram_quantile_us(const struct fp_histogram *h, double q)
{
	int64_t total = atomic_load_explicit(&h->count, memory_order_relaxed);
	int64_t rank = (int64_t)(q * (double)total);
	int64_t seen = 0;
	unsigned int b;

	for (b = 0; b < BUCKETS; b++) {
		seen += atomic_load_explicit(&h->buckets[b],
					     memory_order_relaxed);
		if (seen > rank)
			return bucket_upper(b);
	}
	return total ? bucket_upper(BUCKETS - 1) : 0;
}

static void render_histogram(FILE *f, const struct fp_histogram *h)
{
	static const double quantiles[] = { 0.5, 0.9, 0.99, 0.999 };
	const char *comma = h->labels[0] ? "," : "";
	const char *open = h->labels[0] ? "{" : "";
	const char *close = h->labels[0] ? "}" : "";
	size_t i;

	for (i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++)
		fprintf(f, "%s{%s%squantile=\"%g\"} %" PRId64 "\n", h->name,
			h->labels, comma, quantiles[i],
			fp_histogram_quantile_us(h, quantiles[i]));
	fprintf(f, "%s_sum%s%s%s %" PRId64 "\n", h->name, open, h->labels,
		close, atomic_load(&h->sum_us));
	fprintf(f, "%s_count%s%s%s %" PRId64 "\n", h->name, open, h->labels,
		close, atomic_load(&h->count));
}

char *fp_counters_render(struct fp_counters *cs, size_t *len)
{
	const struct fp_histogram *h;
	const struct fp_counter *c;
	char *text = NULL;
	FILE *f = open_memstream(&text, len);

	if (!f)
		return NULL;
	pthread_mutex_lock(&cs->lock);
	c = cs->counters;
	h = cs->histograms;
	pthread_mutex_unlock(&cs->lock);
	for (; c; c = c->next) {
		if (c->labels[0])
			fprintf(f, "%s{%s} %" PRId64 "\n", c->name, c->labels,
				fp_counter_value(c));
		else
			fprintf(f, "%s %" PRId64 "\n", c->name,
				fp_counter_value(c));
	}
	for (; h; h = h->next)
		render_histogram(f, h);
	if (fclose(f) != 0) {
		free(text);
		return NULL;
	}
	return text;
}

void fp_counters_end(struct fp_counters *cs)
{
	struct fp_histogram *h;
	struct fp_counter *c;

	if (!cs)
		return;
	while ((c = cs->counters)) {
		cs->counters = c->next;
		free(c);
	}
	while ((h = cs->histograms)) {
		cs->histograms = h->next;
		free(h);
	}
	pthread_mutex_destroy(&cs->lock);
	free(cs);
}
