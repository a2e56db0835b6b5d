/*
 * early_shed.c - load shedding at the entry node for overloaded services
 *
 * Two tables are kept. The services table holds the refused permille that each
 * worker reported last, and an admitted fraction for each shed rank. The routes
 * table holds the mean number of calls that a root request of the route makes
 * to each service.
 *
 * The admitted fraction is controlled in its logarithm. While a service refuses
 * more than REFUSED_TARGET, the fraction shrinks in proportion to the excess;
 * otherwise it grows. Growth follows a cubic, as in CUBIC congestion control,
 * whose flat part lies at the fraction where refusals last began: the fraction
 * returns quickly to that value, changes slowly around it and then accelerates,
 * because a service that has not refused anything for some time may have gained
 * capacity. The target is above zero, because a small refused fraction shows
 * that the service is fully used.
 *
 * Workers smooth their refused fractions over SMOOTHED_S. With a signal delayed
 * by that time, a controller would be slow or oscillate. So the trend of the
 * signal is added to it, which leaves a lag of LEAD_S. Refusing exactly the
 * reported fraction would need no state, but many requests that are refused
 * later would still be admitted; docs/DESIGN-load.md compares both. While
 * workers have free slots, the fraction grows at least fast enough to fill
 * them.
 *
 * A root request that calls a service k times on average is admitted with the
 * k-th power of the fraction, since all k calls must be accepted. The load of
 * the service then changes with that power, so the logarithm changes k times
 * more slowly, with the mean k of the roots that call the service. If a route
 * calls several services, the smallest probability decides, because requests
 * refused for one service do not load the others. A less important rank is
 * never admitted at a higher fraction than a more important one: while a rank
 * is limited, no capacity is left for the ranks below.
 *
 * Reports carry the time since the load was measured, lose weight with it and
 * expire: a report is ignored after REPORT_VALID_US, so a service that receives
 * no calls any more is tried again.
 */
#include "state/early_shed.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "state/tree_admission.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

/* Memory limits. */
#define MAX_SERVICES 256
#define MAX_ROUTES   1024
#define MAX_WORKERS  64 /* per service, the most recently seen */

/* Tuning. */
#define REPORT_VALID_US 1000000 /* validity of a worker's report */
#define REPORT_DECAY_S	0.15 /* a report loses weight with its age */
#define STEP_US		100000 /* minimum time between updates */
#define MAX_STEP_US	1000000 /* longest interval that one update covers */
#define REFUSED_TARGET	0.04 /* admission is steady at this refused fraction */
#define SMOOTHED_S	0.3 /* time constant of the workers' smoothing */
#define LEAD_S		0.15 /* lag that remains after compensation */
#define SHRINK_S	0.5 /* time constant of the decrease */
#define GROW_CUBIC	0.5 /* growth of the logarithm per cubic second */
#define FILL_TARGET	0.9 /* occupancy that fast growth aims at */
#define FILL_S		0.2 /* time constant of fast growth */
#define OCCUPANCY_MIN	0.05 /* lower bound of the measured occupancy */
#define ADMIT_MIN	0.005 /* always admitted, to detect a recovery */
#define CALLS_WEIGHT	8 /* smoothing of a route's calls, in answers */
#define CALLS_MIN	0.01 /* a lower mean is removed from the route */
#define CALLS_MAX	8.0 /* maximum exponent */

struct worker_report {
	uint64_t id;
	int64_t seen_us; /* time at which the load was measured */
	uint16_t refused_permille[FP_SHED_RANK_COUNT];
	uint16_t used_permille;
};

struct service {
	uint64_t hash; /* of the name; 0: free entry */
	char name[FP_NAME_BYTES];
	int64_t seen_us; /* time of the newest report */
	int64_t updated_us; /* last update of the fractions */
	double calls; /* smoothed calls of a root request that calls it */
	double admitted[FP_SHED_RANK_COUNT]; /* admitted fraction */
	/* time since refusals fell to the target, weighted by how far they are
	 * below it (1: no refusals); 0 while they exceed it */
	double weighted_below_target_s[FP_SHED_RANK_COUNT];
	/* log of the fraction when refusals last rose above the target */
	double log_peak[FP_SHED_RANK_COUNT];
	/* log of the fraction when they fell to the target again */
	double log_low[FP_SHED_RANK_COUNT];
	/* refused fraction, smoothed with LEAD_S to estimate its trend */
	double slow_refused[FP_SHED_RANK_COUNT];
	struct fp_tree_admission trees;
	struct worker_report workers[MAX_WORKERS];
	uint32_t n_workers;
};

struct service_calls {
	uint64_t service; /* hash of the name */
	double calls; /* smoothed calls per root request */
};

struct route {
	uint64_t hash; /* of the name; 0: free entry */
	int64_t updated_us;
	struct service_calls called[FP_EARLY_SHED_MAX_SERVICES];
	uint32_t n_called;
};

struct fp_early_shed {
	struct service services[MAX_SERVICES];
	uint32_t n_services;
	struct route routes[MAX_ROUTES];
	uint32_t n_routes;
	bool use_tree_admission;
};

struct fp_early_shed *fp_early_shed_init(void)
{
	return calloc(1, sizeof(struct fp_early_shed));
}

void fp_early_shed_end(struct fp_early_shed *e)
{
	free(e);
}

void fp_early_shed_use_tree_admission(struct fp_early_shed *e, bool on)
{
	e->use_tree_admission = on;
}

static uint64_t hash_name(const char *name)
{
	uint64_t h = XXH64(name, strnlen(name, FP_NAME_BYTES), 0);

	return h ? h : 1;
}

/* ---- services ---- */

static struct service *find_service(struct fp_early_shed *e, uint64_t hash)
{
	uint32_t i;

	for (i = 0; i < e->n_services; i++)
		if (e->services[i].hash == hash)
			return &e->services[i];
	return NULL;
}

/* Adds a service; a full table reuses the least recently seen entry. */
static struct service *add_service(struct fp_early_shed *e, const char *name,
				   uint64_t hash, int64_t now_us)
{
	struct service *s = &e->services[0];
	uint32_t i;

	if (e->n_services < MAX_SERVICES) {
		s = &e->services[e->n_services++];
	} else {
		for (i = 1; i < MAX_SERVICES; i++)
			if (e->services[i].seen_us < s->seen_us)
				s = &e->services[i];
	}
	memset(s, 0, sizeof(*s));
	s->hash = hash;
	memcpy(s->name, name, strnlen(name, FP_NAME_BYTES - 1));
	s->updated_us = now_us;
	s->calls = 1;
	fp_tree_admission_init(&s->trees);
	for (i = 0; i < FP_SHED_RANK_COUNT; i++) {
		s->admitted[i] = 1;
		/* not 0, so that the first shrink() sets log_peak */
		s->weighted_below_target_s[i] = MAX_STEP_US / 1e6;
	}
	return s;
}

static struct worker_report *find_or_add_worker(struct service *s, uint64_t id)
{
	struct worker_report *oldest = &s->workers[0];
	uint32_t i;

	for (i = 0; i < s->n_workers; i++) {
		if (s->workers[i].id == id)
			return &s->workers[i];
		if (s->workers[i].seen_us < oldest->seen_us)
			oldest = &s->workers[i];
	}
	if (s->n_workers < MAX_WORKERS)
		oldest = &s->workers[s->n_workers++];
	oldest->id = id;
	oldest->seen_us = INT64_MIN;
	return oldest;
}

/* Weight of a worker's report in the means; 0: too old. */
static double report_weight(const struct worker_report *w, int64_t now_us)
{
	int64_t age_us = now_us - w->seen_us;

	if (age_us > REPORT_VALID_US)
		return 0;
	return exp(-(double)age_us / 1e6 / REPORT_DECAY_S);
}

/* Mean refused fraction of recently seen workers, 0..1. */
static double refused_fraction(const struct service *s, int rank,
			       int64_t now_us)
{
	double sum = 0;
	double weights = 0;
	double weight;
	uint32_t i;

	for (i = 0; i < s->n_workers; i++) {
		weight = report_weight(&s->workers[i], now_us);
		sum += weight * s->workers[i].refused_permille[rank];
		weights += weight;
	}
	return weights > 0 ? sum / 1000.0 / weights : 0;
}

/* Mean occupancy of recently seen workers, above 1 when requests wait; -1
 * without a report. */
static double occupancy(const struct service *s, int64_t now_us)
{
	double sum = 0;
	double weights = 0;
	double weight;
	uint32_t i;

	for (i = 0; i < s->n_workers; i++) {
		weight = report_weight(&s->workers[i], now_us);
		sum += weight * s->workers[i].used_permille;
		weights += weight;
	}
	return weights > 0 ? sum / 1000.0 / weights : -1;
}

static void shrink(struct service *s, int rank, double above, double step_s)
{
	if (s->weighted_below_target_s[rank] > 0)
		s->log_peak[rank] = log(s->admitted[rank]);
	s->weighted_below_target_s[rank] = 0;
	s->admitted[rank] *= exp(-above * step_s / SHRINK_S / s->calls);
}

static void grow(struct service *s, int rank, double used, double step_s)
{
	double filling = log(FILL_TARGET / fmax(used, OCCUPANCY_MIN)) / FILL_S /
			 s->calls;
	double cubic = GROW_CUBIC / s->calls;
	double filled = s->admitted[rank] * exp(filling * step_s);
	double peak_at_s;
	double t;

	if (s->weighted_below_target_s[rank] == 0)
		s->log_low[rank] =
			fmin(log(s->admitted[rank]), s->log_peak[rank]);
	s->weighted_below_target_s[rank] += step_s;
	peak_at_s = cbrt((s->log_peak[rank] - s->log_low[rank]) / cubic);
	t = s->weighted_below_target_s[rank] - peak_at_s;
	s->admitted[rank] =
		fmax(filled, exp(s->log_peak[rank] + cubic * t * t * t));
}

/* Updates the admitted fraction of a rank; max_admitted is that of the rank
 * above. */
static void update_admitted(struct service *s, int rank, double refused,
			    double used, double max_admitted, double step_s)
{
	double above = refused - REFUSED_TARGET;

	if (above > 0)
		shrink(s, rank, above, step_s);
	else
		grow(s, rank, used, -above / REFUSED_TARGET * step_s);
	s->admitted[rank] =
		fmin(max_admitted, fmax(ADMIT_MIN, s->admitted[rank]));
}

/* Estimates the refused fraction now from the smoothed value and its trend. */
static double estimate_refused(struct service *s, int rank, double step_s,
			       int64_t now_us)
{
	double refused = refused_fraction(s, rank, now_us);
	double trend;

	s->slow_refused[rank] +=
		(refused - s->slow_refused[rank]) * (1 - exp(-step_s / LEAD_S));
	trend = (refused - s->slow_refused[rank]) / LEAD_S;
	return fmin(1, fmax(0, refused + trend * SMOOTHED_S));
}

static void update_service(struct service *s, int64_t now_us)
{
	int64_t step_us = now_us - s->updated_us;
	double max_admitted = 1;
	double refused;
	double step_s;
	double used;
	int i;

	if (step_us < STEP_US)
		return;
	if (step_us > MAX_STEP_US)
		step_us = MAX_STEP_US;
	step_s = (double)step_us / 1e6;
	s->updated_us = now_us;
	used = occupancy(s, now_us);
	for (i = 0; i < FP_SHED_RANK_COUNT; i++) {
		refused = estimate_refused(s, i, step_s, now_us);
		update_admitted(s, i, refused, used < 0 ? 1 : used,
				max_admitted, step_s);
		max_admitted = s->admitted[i];
	}
	fp_tree_admission_update(&s->trees, used, step_s);
}

void fp_early_shed_update_load(struct fp_early_shed *e, uint64_t worker,
			       const struct fp_service_load *load,
			       int64_t now_us)
{
	uint64_t hash = hash_name(load->service);
	struct service *s = find_service(e, hash);
	int64_t at_us = now_us - load->age_ms * INT64_C(1000);
	struct worker_report *w;

	if (load->age_ms == FP_LOAD_AGE_UNKNOWN)
		return;
	if (!s)
		s = add_service(e, load->service, hash, now_us);
	update_service(s, now_us);
	w = find_or_add_worker(s, worker);
	if (w->seen_us > at_us)
		return;
	memcpy(w->refused_permille, load->refused_permille,
	       sizeof(w->refused_permille));
	w->used_permille = load->used_permille;
	w->seen_us = at_us;
	s->seen_us = now_us;
}

/* ---- routes ---- */

static struct route *find_route(struct fp_early_shed *e, uint64_t hash)
{
	uint32_t i;

	for (i = 0; i < e->n_routes; i++)
		if (e->routes[i].hash == hash)
			return &e->routes[i];
	return NULL;
}

/* Adds a route; a full table reuses the least recently updated entry. */
static struct route *add_route(struct fp_early_shed *e, uint64_t hash)
{
	struct route *r = &e->routes[0];
	uint32_t i;

	if (e->n_routes < MAX_ROUTES) {
		r = &e->routes[e->n_routes++];
	} else {
		for (i = 1; i < MAX_ROUTES; i++)
			if (e->routes[i].updated_us < r->updated_us)
				r = &e->routes[i];
	}
	memset(r, 0, sizeof(*r));
	r->hash = hash;
	return r;
}

static uint32_t count_calls(const struct fp_service_load *services, uint32_t n,
			    uint64_t service)
{
	uint32_t calls = 0;
	uint32_t i;

	for (i = 0; i < n; i++)
		if (hash_name(services[i].service) == service)
			calls += services[i].calls;
	return calls;
}

static void update_known_services(struct route *r,
				  const struct fp_service_load *services,
				  uint32_t n)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < r->n_called; i++) {
		struct service_calls t = r->called[i];

		t.calls += (count_calls(services, n, t.service) - t.calls) /
			   CALLS_WEIGHT;
		if (t.calls >= CALLS_MIN)
			r->called[kept++] = t;
	}
	r->n_called = kept;
}

static void add_new_service(struct route *r, const struct fp_service_load *load,
			    bool first)
{
	uint64_t hash = hash_name(load->service);
	uint32_t i;

	for (i = 0; i < r->n_called; i++)
		if (r->called[i].service == hash)
			return;
	if (load->calls == 0 || r->n_called == FP_EARLY_SHED_MAX_SERVICES)
		return;
	r->called[r->n_called].service = hash;
	r->called[r->n_called].calls =
		(double)load->calls / (first ? 1 : CALLS_WEIGHT);
	r->n_called++;
}

static void update_mean_calls(struct fp_early_shed *e,
			      const struct fp_service_load *load)
{
	struct service *s = find_service(e, hash_name(load->service));
	double calls = fmin(load->calls, CALLS_MAX);

	if (s && load->calls)
		s->calls += (calls - s->calls) / CALLS_WEIGHT;
}

void fp_early_shed_learn_route(struct fp_early_shed *e, const char *route,
			       const struct fp_service_load *services,
			       uint32_t n, int64_t now_us)
{
	uint64_t hash = hash_name(route);
	struct route *r = find_route(e, hash);
	bool first = !r;
	uint32_t i;

	if (!r)
		r = add_route(e, hash);
	r->updated_us = now_us;
	update_known_services(r, services, n);
	for (i = 0; i < n; i++) {
		add_new_service(r, &services[i], first);
		update_mean_calls(e, &services[i]);
	}
}

void fp_early_shed_learn_duration(struct fp_early_shed *e, const char *route,
				  int64_t tree_us)
{
	const struct route *r = find_route(e, hash_name(route));
	struct service *s;
	uint32_t i;

	for (i = 0; r && i < r->n_called; i++) {
		s = find_service(e, r->called[i].service);
		if (s)
			fp_tree_admission_add_duration(&s->trees,
						       (double)tree_us / 1e6);
	}
}

/* Counts the request and returns its admitted fraction, with the service that
 * decides it if that is below 1. */
static double offer(struct fp_early_shed *e, const char *route, uint8_t rank,
		    int64_t now_us, const char **service)
{
	const struct route *r = find_route(e, hash_name(route));
	struct service *s;
	double lowest = 1;
	double admitted;
	uint32_t i;

	for (i = 0; r && i < r->n_called; i++) {
		s = find_service(e, r->called[i].service);
		if (!s)
			continue;
		update_service(s, now_us);
		fp_tree_admission_offer(&s->trees, rank, r->called[i].calls);
		admitted = pow(s->admitted[rank],
			       fmin(r->called[i].calls, CALLS_MAX));
		admitted = fmax(admitted, ADMIT_MIN);
		if (e->use_tree_admission)
			admitted = fmin(admitted, fp_tree_admission_admitted(
							  &s->trees, rank));
		if (admitted < lowest) {
			lowest = admitted;
			*service = s->name;
		}
	}
	return lowest;
}

enum fp_status fp_early_shed_check(struct fp_early_shed *e, const char *route,
				   uint8_t rank, uint32_t draw, int64_t now_us,
				   const char **service)
{
	double admitted = offer(e, route, rank, now_us, service);

	return draw < admitted * 4294967296.0 ? FP_OK : FP_EXHAUSTED;
}

double fp_early_shed_peek(const struct fp_early_shed *e, const char *route,
			  uint8_t rank, int64_t now_us,
			  char service[FP_NAME_BYTES])
{
	struct fp_early_shed *copy = malloc(sizeof(*copy));
	const char *name = "";
	double admitted;

	if (!copy)
		abort();
	memcpy(copy, e, sizeof(*copy));
	admitted = offer(copy, route, rank, now_us, &name);
	memcpy(service, name, strlen(name) + 1);
	free(copy);
	return admitted;
}
