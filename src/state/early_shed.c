/*
 * early.c - refusal at the entry of what a deeper service would refuse
 *
 * Two tables: of services, with the newest refused shares of their workers and
 * a share that may pass for each class; of routes, with the mean number of
 * calls that a root makes to each service.
 *
 * The passing share is integrated in its logarithm: while a service refuses
 * more than a little it shrinks in proportion to what is refused above that,
 * else it grows. It grows along a cubic whose flat part lies where the refusals
 * began last: quickly back to what was good before, slowly around it, and then
 * faster and faster, since what was not refused for long has changed. The
 * little that is still refused shows that the service is filled. Workers smooth
 * their shares over a second, and a control on a signal that late would be slow
 * or swing; so the trend is added again, which leaves a lag of LEAD_S. A share
 * that merely equals what is refused needs no memory, but then much of what
 * should go still enters; docs/DESIGN-load.md has both. Where the workers have
 * places free the share grows at least as fast as would fill them.
 *
 * A root that calls a service k times on average passes with the k-th power of
 * the share: it needs that many places there. Of several services the worst
 * decides, since what one refuses does not burden the others. A less important
 * class never passes more than a more important one, and it grows only as far
 * as that one passes: while a class is held back there is no room below it.
 *
 * What is not heard of again ends: a worker's share after LEVEL_US, so that a
 * service that nobody calls any more is tried again.
 */
#include "state/early_shed.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* Bounds of memory. */
#define MAX_SERVICES 256
#define MAX_ROUTES   1024
#define MAX_WORKERS  64 /* of a service, the last heard of */

/* Tuning. */
#define LEVEL_US     1000000 /* how long a worker's shares count */
#define STEP_US	     100000 /* least time between changes of a share */
#define MAX_STEP_US  1000000 /* longest time that one change makes up for */
#define REFUSED_AIM  0.04 /* refused share at which the passing one rests */
#define SMOOTHED_S   1.0 /* smoothing of the shares by the workers */
#define LEAD_S	     0.15 /* lag that is left of it */
#define SHRINK_S     0.5 /* time constant of shrinking */
#define GROW_CUBIC   0.5 /* growth of the logarithm by the cube of seconds */
#define ROOM_USED    0.7 /* part of the places that growth fills at once */
#define ROOM_S	     0.5 /* time constant of filling them */
#define USED_MIN     0.05 /* less is taken for this */
#define PASS_MIN     0.005 /* passes always, so that the end is seen */
#define CALLS_WEIGHT 8 /* smoothing of the calls of a route, in answers */
#define CALLS_MIN    0.01 /* fewer mean calls are forgotten */
#define CALLS_MAX    8.0 /* greatest power */

struct worker_level {
	uint64_t id;
	int64_t heard_us;
	uint16_t refused_permille[FP_RANK_COUNT];
	uint16_t used_permille;
};

struct service {
	uint64_t hash; /* of the name; 0: a free entry */
	char name[FP_NAME_BYTES];
	int64_t heard_us; /* newest level */
	int64_t stepped_us; /* last change of the shares */
	double pass[FP_RANK_COUNT]; /* share that may pass */
	/* since more than the aim was refused; 0 while it is */
	double quiet_s[FP_RANK_COUNT];
	double peak[FP_RANK_COUNT]; /* logarithm at which refusals began */
	double low[FP_RANK_COUNT]; /* logarithm at which they ended */
	double late[FP_RANK_COUNT]; /* refused share, smoothed again */
	struct worker_level workers[MAX_WORKERS];
	uint32_t n_workers;
};

struct touched {
	uint64_t service; /* hash of the name */
	double calls; /* smoothed calls a root */
};

struct route {
	uint64_t hash; /* of the name; 0: a free entry */
	int64_t learnt_us;
	struct touched touched[FP_EARLY_MAX_TOUCHED];
	uint32_t n_touched;
};

struct fp_early {
	struct service services[MAX_SERVICES];
	uint32_t n_services;
	struct route routes[MAX_ROUTES];
	uint32_t n_routes;
};

struct fp_early *fp_early_init(void)
{
	return calloc(1, sizeof(struct fp_early));
}

void fp_early_end(struct fp_early *e)
{
	free(e);
}

static uint64_t hash_name(const char *name)
{
	uint64_t h = XXH64(name, strnlen(name, FP_NAME_BYTES), 0);

	return h ? h : 1;
}

/* ---- services ---- */

static struct service *find_service(struct fp_early *e, uint64_t hash)
{
	uint32_t i;

	for (i = 0; i < e->n_services; i++)
		if (e->services[i].hash == hash)
			return &e->services[i];
	return NULL;
}

/* Makes a service, in the place of the one not heard of for longest if full. */
static struct service *add_service(struct fp_early *e, const char *name,
				   uint64_t hash, int64_t now_us)
{
	struct service *s = &e->services[0];
	uint32_t i;

	if (e->n_services < MAX_SERVICES) {
		s = &e->services[e->n_services++];
	} else {
		for (i = 1; i < MAX_SERVICES; i++)
			if (e->services[i].heard_us < s->heard_us)
				s = &e->services[i];
	}
	memset(s, 0, sizeof(*s));
	s->hash = hash;
	memcpy(s->name, name, strnlen(name, FP_NAME_BYTES - 1));
	s->stepped_us = now_us;
	for (i = 0; i < FP_RANK_COUNT; i++) {
		s->pass[i] = 1;
		s->quiet_s[i] = MAX_STEP_US / 1e6;
	}
	return s;
}

static struct worker_level *find_worker(struct service *s, uint64_t id)
{
	struct worker_level *oldest = &s->workers[0];
	uint32_t i;

	for (i = 0; i < s->n_workers; i++) {
		if (s->workers[i].id == id)
			return &s->workers[i];
		if (s->workers[i].heard_us < oldest->heard_us)
			oldest = &s->workers[i];
	}
	if (s->n_workers < MAX_WORKERS)
		oldest = &s->workers[s->n_workers++];
	oldest->id = id;
	return oldest;
}

/* Mean refused share of the workers heard of lately, 0..1. */
static double refused_share(const struct service *s, int cls, int64_t now_us)
{
	uint32_t sum = 0;
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < s->n_workers; i++) {
		if (now_us - s->workers[i].heard_us > LEVEL_US)
			continue;
		sum += s->workers[i].refused_permille[cls];
		n++;
	}
	return n ? sum / 1000.0 / n : 0;
}

/* Mean part of the places that is used, of the workers heard of lately, 0..1. */
static double used_part(const struct service *s, int64_t now_us)
{
	uint32_t sum = 0;
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < s->n_workers; i++) {
		if (now_us - s->workers[i].heard_us > LEVEL_US)
			continue;
		sum += s->workers[i].used_permille;
		n++;
	}
	return n ? sum / 1000.0 / n : 1;
}

static void shrink(struct service *s, int cls, double above, double step_s)
{
	if (s->quiet_s[cls] > 0)
		s->peak[cls] = log(s->pass[cls]);
	s->quiet_s[cls] = 0;
	s->pass[cls] *= exp(-above * step_s / SHRINK_S);
}

static void grow(struct service *s, int cls, double used, double step_s)
{
	double filling = log(ROOM_USED / fmax(used, USED_MIN)) / ROOM_S;
	double filled = s->pass[cls] * exp(filling * step_s);
	double to_peak_s;
	double t;

	if (s->quiet_s[cls] == 0)
		s->low[cls] = fmin(log(s->pass[cls]), s->peak[cls]);
	s->quiet_s[cls] += step_s;
	to_peak_s = cbrt((s->peak[cls] - s->low[cls]) / GROW_CUBIC);
	t = s->quiet_s[cls] - to_peak_s;
	s->pass[cls] = fmax(filled, exp(s->peak[cls] + GROW_CUBIC * t * t * t));
}

/* Moves the passing share of a class; room is that of the class above it. */
static void step_pass(struct service *s, int cls, double refused, double used,
		      double room, double step_s)
{
	double above = refused - REFUSED_AIM;

	if (above > 0)
		shrink(s, cls, above, step_s);
	else
		grow(s, cls, used, -above / REFUSED_AIM * step_s);
	s->pass[cls] = fmin(room, fmax(PASS_MIN, s->pass[cls]));
}

/* What is refused now, from the smoothed share and its trend. */
static double refused_now(struct service *s, int cls, double step_s,
			  int64_t now_us)
{
	double refused = refused_share(s, cls, now_us);
	double trend;

	s->late[cls] += (refused - s->late[cls]) * (1 - exp(-step_s / LEAD_S));
	trend = (refused - s->late[cls]) / LEAD_S;
	return fmin(1, fmax(0, refused + trend * SMOOTHED_S));
}

static void step_service(struct service *s, int64_t now_us)
{
	int64_t step_us = now_us - s->stepped_us;
	double used = used_part(s, now_us);
	double refused;
	double room = 1;
	double step_s;
	int i;

	if (step_us < STEP_US)
		return;
	if (step_us > MAX_STEP_US)
		step_us = MAX_STEP_US;
	step_s = (double)step_us / 1e6;
	s->stepped_us = now_us;
	for (i = 0; i < FP_RANK_COUNT; i++) {
		refused = refused_now(s, i, step_s, now_us);
		step_pass(s, i, refused, used, room, step_s);
		room = s->pass[i];
	}
}

void fp_early_level(struct fp_early *e, uint64_t worker,
		    const struct fp_touch *level, int64_t now_us)
{
	uint64_t hash = hash_name(level->service);
	struct service *s = find_service(e, hash);
	struct worker_level *w;

	if (!s)
		s = add_service(e, level->service, hash, now_us);
	step_service(s, now_us);
	w = find_worker(s, worker);
	memcpy(w->refused_permille, level->refused_permille,
	       sizeof(w->refused_permille));
	w->used_permille = level->used_permille;
	w->heard_us = now_us;
	s->heard_us = now_us;
}

/* ---- routes ---- */

static struct route *find_route(struct fp_early *e, uint64_t hash)
{
	uint32_t i;

	for (i = 0; i < e->n_routes; i++)
		if (e->routes[i].hash == hash)
			return &e->routes[i];
	return NULL;
}

/* Makes a route, in the place of the one not learnt for longest if full. */
static struct route *add_route(struct fp_early *e, uint64_t hash)
{
	struct route *r = &e->routes[0];
	uint32_t i;

	if (e->n_routes < MAX_ROUTES) {
		r = &e->routes[e->n_routes++];
	} else {
		for (i = 1; i < MAX_ROUTES; i++)
			if (e->routes[i].learnt_us < r->learnt_us)
				r = &e->routes[i];
	}
	memset(r, 0, sizeof(*r));
	r->hash = hash;
	return r;
}

static uint32_t calls_in(const struct fp_touch *touched, uint32_t n,
			 uint64_t service)
{
	uint32_t calls = 0;
	uint32_t i;

	for (i = 0; i < n; i++)
		if (hash_name(touched[i].service) == service)
			calls += touched[i].calls;
	return calls;
}

static void learn_known(struct route *r, const struct fp_touch *touched,
			uint32_t n)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < r->n_touched; i++) {
		struct touched t = r->touched[i];

		t.calls += (calls_in(touched, n, t.service) - t.calls) /
			   CALLS_WEIGHT;
		if (t.calls >= CALLS_MIN)
			r->touched[kept++] = t;
	}
	r->n_touched = kept;
}

static void learn_new(struct route *r, const struct fp_touch *touch, bool first)
{
	uint64_t hash = hash_name(touch->service);
	uint32_t i;

	for (i = 0; i < r->n_touched; i++)
		if (r->touched[i].service == hash)
			return;
	if (touch->calls == 0 || r->n_touched == FP_EARLY_MAX_TOUCHED)
		return;
	r->touched[r->n_touched].service = hash;
	r->touched[r->n_touched].calls =
		(double)touch->calls / (first ? 1 : CALLS_WEIGHT);
	r->n_touched++;
}

void fp_early_learn(struct fp_early *e, const char *route,
		    const struct fp_touch *touched, uint32_t n, int64_t now_us)
{
	uint64_t hash = hash_name(route);
	struct route *r = find_route(e, hash);
	bool first = !r;
	uint32_t i;

	if (!r)
		r = add_route(e, hash);
	r->learnt_us = now_us;
	learn_known(r, touched, n);
	for (i = 0; i < n; i++)
		learn_new(r, &touched[i], first);
}

enum fp_status fp_early_check(struct fp_early *e, const char *route,
			      uint8_t rank, uint32_t draw, int64_t now_us,
			      const char **service)
{
	const struct route *r = find_route(e, hash_name(route));
	struct service *s;
	double least = 1;
	double pass;
	uint32_t i;

	for (i = 0; r && i < r->n_touched; i++) {
		s = find_service(e, r->touched[i].service);
		if (!s)
			continue;
		step_service(s, now_us);
		pass = pow(s->pass[rank], fmin(r->touched[i].calls, CALLS_MAX));
		pass = fmax(pass, PASS_MIN);
		if (pass < least) {
			least = pass;
			*service = s->name;
		}
	}
	return draw < least * 4294967296.0 ? FP_OK : FP_EXHAUSTED;
}
