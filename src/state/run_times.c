/*
 * run_times.c - how long the requests of each route took lately
 *
 * A process that is about to exit accepts a request only if it will have ended
 * by then. The deadline alone is a poor estimate: most requests end long before
 * it, and refusing them all costs their callers a retry. The mean is no bound.
 * The longest run of the last one to two windows is one while the workers keep
 * their speed; the margin covers a moderate slow-down.
 *
 * Routes are kept in a table without chains. If two of them share an entry,
 * each replaces the other, and the estimate falls back to the deadline, which
 * only makes it more careful.
 */
#include "state/run_times.h"

#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define WINDOW_US   (20 * INT64_C(1000000))
#define N_WINDOWS   2 /* the present one and the one before it */
#define TABLE_SIZE  512 /* routes; 24 KiB */
#define MIN_SAMPLES 8 /* below this the limit of the request is returned */

struct route_times {
	uint64_t hash; /* of the name */
	int64_t window; /* number of the present window */
	int64_t longest_us[N_WINDOWS]; /* by the number of the window, modulo */
	uint32_t samples[N_WINDOWS];
};

struct fp_run_times {
	struct route_times table[TABLE_SIZE];
};

struct fp_run_times *fp_run_times_init(void)
{
	return calloc(1, sizeof(struct fp_run_times));
}

void fp_run_times_end(struct fp_run_times *r)
{
	free(r);
}

static uint64_t hash_name(const char *route)
{
	return XXH64(route, strlen(route), 0);
}

/* Returns the entry of a route with its windows up to date; an entry of another
 * route is replaced. */
static struct route_times *entry_of(struct fp_run_times *r, const char *route,
				    int64_t now_us)
{
	uint64_t hash = hash_name(route);
	struct route_times *t = &r->table[hash % TABLE_SIZE];
	int64_t window = now_us / WINDOW_US;

	if (t->hash != hash) {
		memset(t, 0, sizeof(*t));
		t->hash = hash;
		t->window = window;
	}
	if (window - t->window >= N_WINDOWS) {
		memset(t->longest_us, 0, sizeof(t->longest_us));
		memset(t->samples, 0, sizeof(t->samples));
	} else if (window != t->window) {
		t->longest_us[window % N_WINDOWS] = 0;
		t->samples[window % N_WINDOWS] = 0;
	}
	t->window = window;
	return t;
}

void fp_run_times_raise(struct fp_run_times *r, const char *route,
			int64_t elapsed_us, int64_t now_us)
{
	struct route_times *t = entry_of(r, route, now_us);
	int64_t *longest_us = &t->longest_us[t->window % N_WINDOWS];

	if (elapsed_us > *longest_us)
		*longest_us = elapsed_us;
}

void fp_run_times_add(struct fp_run_times *r, const char *route, int64_t run_us,
		      int64_t now_us)
{
	struct route_times *t = entry_of(r, route, now_us);

	t->samples[t->window % N_WINDOWS]++;
	fp_run_times_raise(r, route, run_us, now_us);
}

int64_t fp_run_times_expect(const struct fp_run_times *r, const char *route,
			    int64_t limit_us, int64_t now_us)
{
	uint64_t hash = hash_name(route);
	const struct route_times *t = &r->table[hash % TABLE_SIZE];
	int64_t window = now_us / WINDOW_US;
	int64_t longest_us = 0;
	uint32_t samples = 0;
	int64_t w;

	if (t->hash != hash)
		return limit_us;
	for (w = window; w >= 0 && w > window - N_WINDOWS; w--) {
		if (w > t->window || t->window - w >= N_WINDOWS)
			continue;
		samples += t->samples[w % N_WINDOWS];
		if (t->longest_us[w % N_WINDOWS] > longest_us)
			longest_us = t->longest_us[w % N_WINDOWS];
	}
	longest_us += longest_us / 2;
	if (samples < MIN_SAMPLES || longest_us > limit_us)
		return limit_us;
	return longest_us;
}
