/*
 * choice.c - which worker of a service gets the next call
 *
 * Two workers are drawn at random, weighted by their slots and by how warm
 * they are, and the less loaded one is taken. The load is what the chooser
 * sees itself (own calls in flight) plus the queue that the worker advertised
 * last, over its limit; failures and refusals add to it. Drawing two spreads
 * the load almost as well as a scan and does not send every chooser to the
 * worker that looked best a moment ago.
 *
 * The pair is drawn among the workers of the own failure domain first. A pair
 * of other domains is drawn only when the near one is busy, and wins when the
 * near one is noticeably more loaded.
 *
 * A worker that fails what it is given is ejected for a time that doubles; at
 * its end one call at a time probes it. What its endpoints say plays no part.
 * It is ejected only while another worker of the service does clearly better,
 * and ejections are passed over while none does: when all fail, the fault lies
 * elsewhere and taking workers away adds to it. A worker that answers nothing
 * while calls are in flight counts as suspected: it is used when nothing else
 * is left.
 *
 * Of a large service each chooser uses SUBSET workers, so that links grow with
 * the subset: the highest by rendezvous hash of chooser and worker, most of
 * them from the own domain, some from others so that the loss of the domain
 * leaves a choice.
 */
#include "state/balancer.h"

#include <stdlib.h>
#include <string.h>

#include "state/admission.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

/* Bounds of memory. */
#define MAX_WORKERS 2048 /* of all services */

/* Tuning. */
#define SUBSET	       32 /* workers of a service that are used */
#define SUBSET_NEAR    24 /* most of them from the own domain, if others exist */
#define RAMP_US	       10000000 /* until a worker has its whole share, at most */
#define RAMP_MIN       0.1 /* share of a worker that was just seen */
#define NEAR_BUSY      0.7 /* load below which near workers are not left */
#define NEAR_FACTOR    1.25 /* load of a far one times this ... */
#define NEAR_MARGIN    0.1 /* ... plus this is what a near one may have */
#define FAIL_WEIGHT    0.2 /* smoothing of failures and refusals, a call */
#define FAIL_EJECT     0.6 /* smoothed failures that eject: five in a row */
#define FAIL_BETTER    0.5 /* another worker does better under this part */
#define FAIL_LOAD      4.0 /* load that failures alone amount to */
#define EJECT_US       1000000 /* first ejection; doubles */
#define EJECT_MAX_US   30000000
#define PROBE_ONE_IN   8 /* picks that go to a worker due for a probe */
#define FROZEN_MIN_US  500000 /* silence that counts as frozen ... */
#define FROZEN_FACTOR  8 /* ... or so many mean latencies, if longer */
#define LEVEL_US       2000000 /* how long an advertised queue counts */
#define LATENCY_WEIGHT 8 /* smoothing of the latency, in answers */

struct worker {
	struct fp_choice_worker info;
	bool near; /* in the chooser's failure domain */
	bool used; /* in the subset */
	uint64_t rank; /* rendezvous hash */
	uint32_t in_flight; /* own calls */
	int64_t silent_us; /* last answer, or first call in flight after it */
	int64_t latency_us; /* smoothed, of good answers */
	double failed; /* smoothed share of calls that failed */
	double refused; /* smoothed share refused for load */
	uint32_t limit; /* advertised */
	uint32_t queued; /* advertised */
	int64_t level_us; /* when */
	int64_t ejected_until_us; /* 0: not ejected */
	int64_t eject_us; /* length of the last ejection, 0: none */
};

struct fp_choice {
	char failure_domain[FP_NAME_BYTES];
	char region[FP_NAME_BYTES];
	uint64_t self;
	bool off;
	int64_t now_us; /* newest time seen */
	uint32_t n_workers;
	struct worker workers[MAX_WORKERS]; /* by service, then as they came */
};

/* A group of workers that may be drawn. */
struct pool {
	struct worker *workers[SUBSET];
	double weights[SUBSET];
	double sum;
	uint32_t n;
};

/* What a pick looks at. */
struct pick {
	struct fp_choice *c;
	const uint64_t *avoid;
	uint32_t n_avoid;
	uint64_t draw; /* source of further draws */
	int64_t now_us;
	uint32_t first; /* the service's workers */
	uint32_t end;
	bool panic; /* ejections are passed over */
};

struct fp_choice *fp_choice_init(const char *failure_domain, const char *region,
				 bool off)
{
	struct fp_choice *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	strncpy(c->failure_domain, failure_domain, FP_NAME_BYTES - 1);
	strncpy(c->region, region, FP_NAME_BYTES - 1);
	c->off = off;
	return c;
}

void fp_choice_end(struct fp_choice *c)
{
	free(c);
}

/* ---- table and subset ---- */

static struct worker *find_worker(struct fp_choice *c, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < c->n_workers; i++)
		if (c->workers[i].info.id == id)
			return &c->workers[i];
	return NULL;
}

/* Finds the workers of a service: they stand side by side. */
static void find_service(const struct fp_choice *c, const char *service,
			 uint32_t *first, uint32_t *end)
{
	uint32_t i = 0;

	while (i < c->n_workers &&
	       strcmp(c->workers[i].info.service, service) != 0)
		i++;
	*first = i;
	while (i < c->n_workers &&
	       strcmp(c->workers[i].info.service, service) == 0)
		i++;
	*end = i;
}

/* Takes the highest ranks among near or far workers; returns how many. */
static uint32_t use_best(struct fp_choice *c, uint32_t first, uint32_t end,
			 bool near, uint32_t want)
{
	struct worker *best;
	struct worker *w;
	uint32_t taken = 0;
	uint32_t i;

	for (; taken < want; taken++) {
		best = NULL;
		for (i = first; i < end; i++) {
			w = &c->workers[i];
			if (w->info.serving && !w->used && w->near == near &&
			    (!best || w->rank > best->rank))
				best = w;
		}
		if (!best)
			break;
		best->used = true;
	}
	return taken;
}

static void choose_subset(struct fp_choice *c, const char *service)
{
	uint32_t first;
	uint32_t end;
	uint32_t left = SUBSET;
	uint32_t i;

	find_service(c, service, &first, &end);
	for (i = first; i < end; i++)
		c->workers[i].used = false;
	left -= use_best(c, first, end, true, SUBSET_NEAR);
	left -= use_best(c, first, end, false, left);
	use_best(c, first, end, true, left);
}

static uint64_t rank_of(const struct fp_choice *c, uint64_t id)
{
	uint64_t seed =
		XXH64(c->failure_domain, strlen(c->failure_domain), c->self);

	return XXH64(&id, sizeof(id), seed);
}

void fp_choice_set_self(struct fp_choice *c, uint64_t self)
{
	uint32_t i;

	c->self = self;
	for (i = 0; i < c->n_workers; i++)
		c->workers[i].rank = rank_of(c, c->workers[i].info.id);
	for (i = 0; i < c->n_workers; i++)
		if (i == 0 || strcmp(c->workers[i].info.service,
				     c->workers[i - 1].info.service) != 0)
			choose_subset(c, c->workers[i].info.service);
}

enum fp_status fp_choice_put(struct fp_choice *c,
			     const struct fp_choice_worker *info,
			     int64_t now_us)
{
	struct worker *w = find_worker(c, info->id);
	int64_t warm_us;
	bool changed;
	uint32_t first;
	uint32_t end;

	c->now_us = now_us;
	if (w && strcmp(w->info.service, info->service) != 0) {
		fp_choice_remove(c, info->id);
		w = NULL;
	}
	changed = !w || w->info.serving != info->serving;
	if (!w) {
		if (c->n_workers == MAX_WORKERS)
			return FP_FULL;
		find_service(c, info->service, &first, &end);
		w = &c->workers[end];
		memmove(w + 1, w, (c->n_workers - end) * sizeof(*w));
		memset(w, 0, sizeof(*w));
		c->n_workers++;
		w->rank = rank_of(c, info->id);
	}
	warm_us = info->warm_us;
	if (!warm_us && w->info.serving)
		warm_us = w->info.warm_us;
	if (!warm_us || warm_us > now_us + RAMP_US)
		warm_us = now_us + RAMP_US;
	w->info = *info;
	w->info.warm_us = warm_us;
	w->near = strcmp(info->failure_domain, c->failure_domain) == 0;
	if (changed)
		choose_subset(c, info->service);
	return FP_OK;
}

void fp_choice_remove(struct fp_choice *c, uint64_t id)
{
	struct worker *w = find_worker(c, id);
	char service[FP_NAME_BYTES];

	if (!w)
		return;
	memcpy(service, w->info.service, FP_NAME_BYTES);
	c->n_workers--;
	memmove(w, w + 1, (size_t)(c->workers + c->n_workers - w) * sizeof(*w));
	choose_subset(c, service);
}

/* ---- state of a worker ---- */

static double warmth(const struct worker *w, int64_t now_us)
{
	int64_t left_us = w->info.warm_us - now_us;

	if (left_us <= 0)
		return 1;
	return 1 - (1 - RAMP_MIN) * (double)left_us / RAMP_US;
}

static double load_of(const struct worker *w, int64_t now_us)
{
	double busy = w->in_flight;
	double room = w->limit ? w->limit : w->info.slots;

	if (now_us - w->level_us <= LEVEL_US)
		busy += w->queued;
	if (room < 1)
		room = 1;
	return busy / (room * warmth(w, now_us)) + FAIL_LOAD * w->failed +
	       w->refused;
}

static bool is_frozen(const struct worker *w, int64_t now_us)
{
	int64_t longest = FROZEN_FACTOR * w->latency_us;

	if (longest < FROZEN_MIN_US)
		longest = FROZEN_MIN_US;
	return w->in_flight > 0 && now_us - w->silent_us > longest;
}

static bool is_ejected(const struct worker *w)
{
	return w->ejected_until_us != 0;
}

/* Whether another used worker does clearly better than the failed share. */
static bool any_better(const struct fp_choice *c, uint32_t first, uint32_t end,
		       const struct worker *than, double failed)
{
	const struct worker *w;
	uint32_t i;

	for (i = first; i < end; i++) {
		w = &c->workers[i];
		if (w != than && w->used && !is_ejected(w) &&
		    w->failed < FAIL_BETTER * failed)
			return true;
	}
	return false;
}

static void eject(struct fp_choice *c, struct worker *w, int64_t now_us)
{
	uint32_t first;
	uint32_t end;

	find_service(c, w->info.service, &first, &end);
	if (!any_better(c, first, end, w, w->failed))
		return;
	w->eject_us = w->eject_us ? 2 * w->eject_us : EJECT_US;
	if (w->eject_us > EJECT_MAX_US)
		w->eject_us = EJECT_MAX_US;
	w->ejected_until_us = now_us + w->eject_us;
}

/* ---- picking ---- */

static uint64_t next_draw(struct pick *p)
{
	p->draw = XXH64(&p->draw, sizeof(p->draw), 0);
	return p->draw;
}

static bool is_avoided(const struct pick *p, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < p->n_avoid; i++)
		if (p->avoid[i] == id)
			return true;
	return false;
}

static bool is_allowed(const struct pick *p, const struct worker *w)
{
	return w->used && w->info.serving && !is_avoided(p, w->info.id);
}

static bool is_healthy(const struct pick *p, const struct worker *w)
{
	return is_allowed(p, w) && (p->panic || !is_ejected(w)) &&
	       !w->info.suspected && !is_frozen(w, p->now_us);
}

static void pool_add(const struct pick *p, struct pool *pool, struct worker *w)
{
	double weight =
		(w->info.slots ? w->info.slots : 1) * warmth(w, p->now_us);

	if (pool->n == SUBSET)
		return;
	pool->workers[pool->n] = w;
	pool->weights[pool->n++] = weight;
	pool->sum += weight;
}

static struct worker *draw_one(struct pick *p, const struct pool *pool)
{
	double at =
		(double)(next_draw(p) >> 11) / 9007199254740992.0 * pool->sum;
	uint32_t i;

	for (i = 0; i + 1 < pool->n; i++) {
		if (at < pool->weights[i])
			break;
		at -= pool->weights[i];
	}
	return pool->workers[i];
}

/* The less loaded one of two draws; NULL of an empty pool. */
static struct worker *draw_two(struct pick *p, const struct pool *pool)
{
	struct worker *a;
	struct worker *b;

	if (pool->n == 0)
		return NULL;
	a = draw_one(p, pool);
	b = draw_one(p, pool);
	return load_of(b, p->now_us) < load_of(a, p->now_us) ? b : a;
}

static struct worker *near_or_far(struct pick *p, const struct pool *near,
				  const struct pool *far)
{
	struct worker *n = draw_two(p, near);
	struct worker *f;
	double load;

	if (!n || far->n == 0)
		return n ? n : draw_two(p, far);
	load = load_of(n, p->now_us);
	if (load < NEAR_BUSY)
		return n;
	f = draw_two(p, far);
	return load > NEAR_FACTOR * load_of(f, p->now_us) + NEAR_MARGIN ? f : n;
}

/* A worker whose ejection has ended and which no call probes yet. */
static struct worker *due_probe(struct pick *p)
{
	struct worker *w;
	uint32_t i;

	if (p->panic || next_draw(p) % PROBE_ONE_IN != 0)
		return NULL;
	for (i = p->first; i < p->end; i++) {
		w = &p->c->workers[i];
		if (is_allowed(p, w) && is_ejected(w) && w->in_flight == 0 &&
		    !w->info.suspected && p->now_us >= w->ejected_until_us)
			return w;
	}
	return NULL;
}

static struct worker *pick_healthy(struct pick *p)
{
	struct pool near = { .n = 0 };
	struct pool far = { .n = 0 };
	struct worker *w;
	uint32_t i;

	for (i = p->first; i < p->end; i++) {
		w = &p->c->workers[i];
		if (is_healthy(p, w))
			pool_add(p, w->near ? &near : &far, w);
	}
	return near_or_far(p, &near, &far);
}

/* Any allowed one: ejected, suspected and frozen ones are better than none. */
static struct worker *pick_any(struct pick *p)
{
	struct pool all = { .n = 0 };
	uint32_t i;

	for (i = p->first; i < p->end; i++)
		if (is_allowed(p, &p->c->workers[i]))
			pool_add(p, &all, &p->c->workers[i]);
	return draw_two(p, &all);
}

static struct worker *pick_uniform(struct pick *p)
{
	struct worker *found[MAX_WORKERS];
	uint32_t n = 0;
	uint32_t i;

	for (i = p->first; i < p->end; i++)
		if (p->c->workers[i].info.serving &&
		    !is_avoided(p, p->c->workers[i].info.id))
			found[n++] = &p->c->workers[i];
	return n ? found[next_draw(p) % n] : NULL;
}

enum fp_status fp_choice_pick(struct fp_choice *c, const char *service,
			      const uint64_t *avoid, uint32_t n_avoid,
			      uint64_t draw, int64_t now_us, uint64_t *id)
{
	struct pick p = { .c = c,
			  .avoid = avoid,
			  .n_avoid = n_avoid,
			  .draw = draw,
			  .now_us = now_us };
	struct worker *w;

	c->now_us = now_us;
	find_service(c, service, &p.first, &p.end);
	if (c->off) {
		w = pick_uniform(&p);
	} else {
		p.panic = !any_better(c, p.first, p.end, NULL, 1);
		w = due_probe(&p);
		if (!w)
			w = pick_healthy(&p);
		if (!w)
			w = pick_any(&p);
	}
	if (!w)
		return FP_NOT_FOUND;
	*id = w->info.id;
	return FP_OK;
}

/* ---- calls ---- */

void fp_choice_sent(struct fp_choice *c, uint64_t id)
{
	struct worker *w = find_worker(c, id);

	if (!w)
		return;
	if (w->in_flight++ == 0)
		w->silent_us = c->now_us;
}

static void smooth(double *mean, bool hit)
{
	*mean += ((hit ? 1.0 : 0.0) - *mean) * FAIL_WEIGHT;
}

static void learn_result(struct fp_choice *c, struct worker *w,
			 enum fp_choice_result result, int64_t latency_us,
			 int64_t now_us)
{
	smooth(&w->failed, result == FP_CHOICE_FAILED);
	smooth(&w->refused, result == FP_CHOICE_REFUSED);
	if (result == FP_CHOICE_GOOD)
		w->latency_us += (latency_us - w->latency_us) / LATENCY_WEIGHT;
	if (!is_ejected(w)) {
		if (w->failed >= FAIL_EJECT)
			eject(c, w, now_us);
	} else if (result != FP_CHOICE_FAILED) {
		w->ejected_until_us = 0;
		w->failed = FAIL_EJECT / 2;
	} else if (now_us >= w->ejected_until_us) {
		eject(c, w, now_us);
	}
	/* A worker that is well again starts with a short ejection. */
	if (w->failed < FAIL_EJECT / 8)
		w->eject_us = 0;
}

void fp_choice_ended(struct fp_choice *c, uint64_t id,
		     enum fp_choice_result result, int64_t latency_us,
		     const struct fp_admission_level *level, int64_t now_us)
{
	struct worker *w = find_worker(c, id);

	c->now_us = now_us;
	if (!w)
		return;
	if (w->in_flight > 0)
		w->in_flight--;
	if (level) {
		w->limit = level->limit;
		w->queued = level->queued;
		w->level_us = now_us;
	}
	if (result == FP_CHOICE_GONE)
		return;
	if (result != FP_CHOICE_FAILED || level)
		w->silent_us = now_us;
	learn_result(c, w, result, latency_us, now_us);
}
