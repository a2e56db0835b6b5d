/*
 * slo.c - service levels: good and bad answers over time windows, and recovery
 *
 * Each row has three rings of buckets. A bucket stores the number of the time
 * span that it counts, so an old bucket is recognised by its number and nothing
 * has to be cleared as time passes. A window is the sum of its newest buckets,
 * including the current one, so it is up to one bucket shorter than its nominal
 * length.
 */
#include "state/slo.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define US_PER_S	  INT64_C(1000000)
#define INDEX_CHAINS	  256u
#define GOOD_PERMILLE	  990u /* lower limit of a second without overload */
#define RECOVERED_SECONDS 3u /* good ones in a row that end an episode */
/* an episode also ends after this many complete seconds without requests */
#define MAX_IDLE_SECONDS 10

const struct fp_slo_window_info fp_slo_windows[FP_SLO_WINDOW_COUNT] = {
	[FP_SLO_SHORT] = { "5m", 10 * US_PER_S, FP_SLO_SHORT_BUCKETS, 0 },
	[FP_SLO_MIDDLE] = { "1h", 60 * US_PER_S, FP_SLO_MIDDLE_BUCKETS,
			    FP_SLO_SHORT_BUCKETS },
	[FP_SLO_LONG] = { "3d", 3600 * US_PER_S, FP_SLO_LONG_BUCKETS,
			  FP_SLO_SHORT_BUCKETS + FP_SLO_MIDDLE_BUCKETS },
};

struct fp_slo {
	uint32_t n;
	struct fp_slo_row *rows[FP_SLO_MAX_ROWS];
	struct fp_slo_row *chains[INDEX_CHAINS];
};

struct fp_slo *fp_slo_init(void)
{
	return calloc(1, sizeof(struct fp_slo));
}

void fp_slo_end(struct fp_slo *s)
{
	uint32_t i;

	if (!s)
		return;
	for (i = 0; i < s->n; i++)
		free(s->rows[i]);
	free(s);
}

static uint32_t chain_of(const char *org, enum fp_class cls)
{
	return (uint32_t)(XXH3_64bits_withSeed(org, strlen(org), cls) %
			  INDEX_CHAINS);
}

static void link_row(struct fp_slo *s, struct fp_slo_row *r)
{
	struct fp_slo_row **head = &s->chains[chain_of(r->org, r->cls)];

	r->next = *head;
	*head = r;
	s->rows[s->n++] = r;
}

static struct fp_slo_row *find(const struct fp_slo *s, const char *org,
			       enum fp_class cls)
{
	struct fp_slo_row *r = s->chains[chain_of(org, cls)];

	while (r && (r->cls != cls || strcmp(r->org, org) != 0))
		r = r->next;
	return r;
}

/* The last FP_CLASS_COUNT rows are reserved for FP_SLO_OTHERS, one a class. */
static bool has_free_row(const struct fp_slo *s, const char *org)
{
	uint32_t kept = strcmp(org, FP_SLO_OTHERS) == 0 ? 0 : FP_CLASS_COUNT;

	return s->n + kept < FP_SLO_MAX_ROWS;
}

struct fp_slo_row *fp_slo_row(struct fp_slo *s, const char *org,
			      enum fp_class cls)
{
	const char *name = org[0] ? org : FP_SLO_OPEN;
	struct fp_slo_row *r = find(s, name, cls);

	if (r)
		return r;
	if (!has_free_row(s, name))
		return fp_slo_row(s, FP_SLO_OTHERS, cls);
	r = calloc(1, sizeof(*r));
	if (!r)
		abort();
	snprintf(r->org, sizeof(r->org), "%s", name);
	r->cls = cls;
	link_row(s, r);
	return r;
}

struct fp_slo *fp_slo_copy(const struct fp_slo *s)
{
	struct fp_slo *copy = fp_slo_init();
	struct fp_slo_row *r;
	uint32_t i;

	for (i = 0; copy && i < s->n; i++) {
		r = malloc(sizeof(*r));
		if (!r) {
			fp_slo_end(copy);
			return NULL;
		}
		*r = *s->rows[i];
		link_row(copy, r);
	}
	return copy;
}

uint32_t fp_slo_n_rows(const struct fp_slo *s)
{
	return s->n;
}

struct fp_slo_row *fp_slo_row_at(const struct fp_slo *s, uint32_t i)
{
	return s->rows[i];
}

/* --- objectives --- */

static const struct fp_objective *
find_objective(const struct fp_config *c, const char *org, enum fp_class cls)
{
	const struct fp_objective *fallback = NULL;
	uint32_t i;

	for (i = 0; i < c->n_objectives; i++) {
		const struct fp_objective *o = &c->objectives[i];

		if (o->cls != cls)
			continue;
		if (strcmp(o->org, org) == 0)
			return o;
		if (!fallback && strcmp(o->org, "*") == 0)
			fallback = o;
	}
	return fallback;
}

void fp_slo_set_objective(struct fp_slo_row *r, const struct fp_config *c)
{
	const struct fp_objective *o;

	if (!c || r->objective_revision == c->revision)
		return;
	o = find_objective(c, r->org, r->cls);
	r->objective_revision = c->revision;
	r->has_objective = o != NULL;
	if (o)
		r->objective = *o;
}

/* --- counting --- */

/* Whether the caller's own request caused the refusal. */
static bool is_caller_error(enum fp_reason why)
{
	switch (why) {
	case FP_REASON_MALFORMED:
	case FP_REASON_KEY_MISSING:
	case FP_REASON_KEY_UNKNOWN:
	case FP_REASON_KEY_MISPLACED:
	case FP_REASON_ROUTE_UNKNOWN:
	case FP_REASON_CALL_UNKNOWN:
	case FP_REASON_TOO_LARGE:
	case FP_REASON_ID_REQUIRED:
	case FP_REASON_ALREADY_RUN:
	case FP_REASON_IN_PROGRESS:
	case FP_REASON_ID_REUSED:
		return true;
	default:
		return false;
	}
}

enum fp_slo_kind fp_slo_classify(const struct fp_slo_row *r,
				 const struct fp_slo_result *e)
{
	bool late = r->has_objective &&
		    e->latency_us > r->objective.latency_ms * INT64_C(1000);

	if (is_caller_error(e->reason))
		return FP_SLO_IGNORED;
	if (e->reason == FP_REASON_OVER_RATE)
		return FP_SLO_OVER_RATE;
	/* A request whose caller disconnects before the latency objective is
	 * neither good nor bad. */
	if (e->caller_left)
		return late ? FP_SLO_FAILED : FP_SLO_IGNORED;
	if (e->reason == FP_REASON_NONE)
		return late || e->http_status >= 500 ? FP_SLO_FAILED :
						       FP_SLO_GOOD;
	return e->outcome == FP_OUTCOME_NOT_RUN ? FP_SLO_REFUSED :
						  FP_SLO_FAILED;
}

void fp_slo_add(struct fp_slo_row *r, enum fp_slo_kind kind, int64_t now_us)
{
	int w;

	if (kind >= FP_SLO_KIND_COUNT)
		return;
	for (w = 0; w < FP_SLO_WINDOW_COUNT; w++) {
		const struct fp_slo_window_info *i = &fp_slo_windows[w];
		int64_t slot = now_us / i->bucket_us;
		struct fp_slo_bucket *b = &r->buckets[i->first + slot % i->n];

		if (b->slot != slot) {
			memset(b, 0, sizeof(*b));
			b->slot = slot;
		}
		b->n[kind]++;
	}
}

void fp_slo_read(const struct fp_slo_row *r, enum fp_slo_window w, uint32_t age,
		 int64_t now_us, struct fp_slo_counts *out)
{
	const struct fp_slo_window_info *i = &fp_slo_windows[w];
	int64_t slot = now_us / i->bucket_us - age;
	const struct fp_slo_bucket *b;
	int k;

	memset(out, 0, sizeof(*out));
	if (slot < 0 || age >= i->n)
		return;
	b = &r->buckets[i->first + slot % i->n];
	for (k = 0; k < FP_SLO_KIND_COUNT && b->slot == slot; k++)
		out->n[k] = b->n[k];
}

void fp_slo_sum(const struct fp_slo_row *r, enum fp_slo_window w, uint32_t n,
		int64_t now_us, struct fp_slo_counts *out)
{
	struct fp_slo_counts one;
	uint32_t age;
	int k;

	memset(out, 0, sizeof(*out));
	for (age = 0; age < n && age < fp_slo_windows[w].n; age++) {
		fp_slo_read(r, w, age, now_us, &one);
		for (k = 0; k < FP_SLO_KIND_COUNT; k++)
			out->n[k] += one.n[k];
	}
}

uint64_t fp_slo_total(const struct fp_slo_counts *c)
{
	return c->n[FP_SLO_GOOD] + c->n[FP_SLO_FAILED] + c->n[FP_SLO_REFUSED];
}

double fp_slo_burn(const struct fp_slo_counts *c, uint32_t good_permille)
{
	uint64_t total = fp_slo_total(c);
	double allowed = (1000.0 - good_permille) / 1000.0;
	double bad;

	if (!total || allowed <= 0)
		return 0;
	bad = (double)(total - c->n[FP_SLO_GOOD]) / (double)total;
	return bad / allowed;
}

double fp_slo_budget_left(const struct fp_slo_counts *c, uint32_t good_permille)
{
	return 1.0 - fp_slo_burn(c, good_permille);
}

/* --- recovery --- */

static void record_bad_second(struct fp_recovery *r, uint32_t permille)
{
	if (!r->ongoing) {
		r->ongoing = true;
		r->episodes++;
		r->start_s = r->second;
		r->worst_permille = permille;
	}
	if (permille < r->worst_permille)
		r->worst_permille = permille;
	r->last_bad_s = r->second;
	r->good_run = 0;
}

static void end_episode(struct fp_recovery *r, int64_t end_s)
{
	r->ongoing = false;
	r->end_s = end_s;
	r->good_run = 0;
}

static void close_second(struct fp_recovery *r)
{
	uint32_t permille;

	if (!r->total)
		return;
	permille = (uint32_t)((uint64_t)r->good * 1000 / r->total);
	if (permille < GOOD_PERMILLE) {
		record_bad_second(r, permille);
	} else if (r->ongoing) {
		if (r->good_run++ == 0)
			r->run_start_s = r->second;
		if (r->good_run == RECOVERED_SECONDS)
			end_episode(r, r->run_start_s);
	}
	r->good = 0;
	r->total = 0;
}

void fp_recovery_tick(struct fp_recovery *r, int64_t now_us)
{
	int64_t now_s = now_us / US_PER_S;

	if (now_s <= r->second)
		return;
	close_second(r);
	if (r->ongoing && now_s - r->second > MAX_IDLE_SECONDS)
		end_episode(r, r->last_bad_s + 1);
}

void fp_recovery_add(struct fp_recovery *r, enum fp_slo_kind kind,
		     int64_t now_us)
{
	if (kind == FP_SLO_OVER_RATE || kind >= FP_SLO_KIND_COUNT)
		return;
	fp_recovery_tick(r, now_us);
	r->second = now_us / US_PER_S;
	r->total++;
	if (kind == FP_SLO_GOOD)
		r->good++;
}
