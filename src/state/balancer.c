/*
 * balancer.c - load balancing over the workers of a service
 *
 * Power of two choices: two workers are drawn at random, weighted by their
 * slots and by their warm-up state, and the less loaded one is taken. The load
 * is the number of this node's own calls in flight plus the queue length that
 * the worker advertised last, divided by its advertised limit; failures and
 * refusals add to it. Two draws spread the load almost as well as a full scan,
 * and they avoid that all nodes send to the worker that looked best a moment
 * ago.
 *
 * Speed. Each answer tells how long runs of its route usually take at that
 * worker, learned by the node beside it from all of its requests. Divided by
 * the mean over the workers of the service that is the worker's slowdown, and two
 * workers are compared by load and slowdown: by when the call would end. Routes are
 * kept apart, so that a worker with longer requests is not taken for a slow
 * one. The weights of the draw are the slots divided by the slowdown; now and then a
 * pick goes by slots and load alone, which keeps news coming from a worker that
 * was slow. News lose weight with their age, and small differences count as
 * none.
 *
 * The pair is drawn among the workers of this node's failure domain first. A
 * pair from other domains is drawn only if the local worker is busy, and its
 * winner is taken only if the local one is noticeably more loaded, or full with
 * the calls of all nodes while the remote one is less full: nodes are not spread
 * over the domains like the workers of each service are, and a node's own calls
 * in flight show nothing of the others'.
 *
 * A worker that fails its calls is ejected for a time that doubles with each
 * ejection. When the time is over, one call at a time probes it. Its health
 * endpoints are not considered. A worker is ejected only while another worker
 * of the service has a clearly lower failure rate, and ejections are ignored
 * while no such worker exists: if all fail, the cause lies elsewhere and
 * removing workers makes it worse. A worker that answers nothing while calls
 * are in flight is treated as suspected: it is used only if no other worker is
 * left.
 *
 * For a large service each node uses only SUBSET workers, so that its number of
 * connections does not grow with the service: those with the highest rendezvous
 * hash of node and worker, most of them from this node's failure domain, and
 * some from others so that workers remain if the domain fails.
 */
#include "state/balancer.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "state/admission.h"
#include "state/worker_model.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

/* Memory limits. */
#define MAX_WORKERS 2048 /* workers of all services */
#define ROUTES	    512 /* routes with a mean run time; a table without chains */

/* Tuning. */
#define SUBSET	     32 /* workers of a service that are used */
#define SUBSET_LOCAL 24 /* from this node's domain, if others exist */
#define WARM_UP_US   10000000 /* longest warm-up of a worker */
#define WARM_UP_MIN  0.1 /* relative weight at its start */
#define LOCAL_BUSY   0.7 /* load from which remote workers are considered */
/* A remote worker wins if the local load exceeds its load times this ... */
#define REMOTE_FACTOR 1.25
#define REMOTE_MARGIN 0.1 /* ... plus this */
/* a local worker this full (running and queued over its limit) loses to any
 * remote one that is less full */
#define LOCAL_FULL  0.9
#define FAIL_WEIGHT 0.2 /* smoothing of failures and refusals, per call */
/* smoothed failure rate that ejects: five in a row */
#define FAIL_EJECT 0.6
/* a better worker's failure rate is below this times the other's */
#define FAIL_BETTER	0.5
#define FAIL_LOAD	4.0 /* load added by a failure rate of 1 */
#define EJECT_US	1000000 /* first ejection; doubles each time */
#define EJECT_MAX_US	30000000
#define PICKS_PER_PROBE 8 /* one pick in this many may probe a worker */
#define STALL_MIN_US	500000 /* stalled if no answer for this time ... */
#define STALL_FACTOR	8 /* ... or this many mean latencies, if longer */
#define LOAD_VALID_US	2000000 /* validity of an advertised queue length */
#define LATENCY_WEIGHT	8 /* smoothing of the latency, in answers */
#define ROUTE_WEIGHT	128 /* smoothing of a route's mean, in answers */
#define SLOWDOWN_WEIGHT 2 /* smoothing of a slowdown, in answers */
#define PICKS_BY_SLOTS	16 /* one pick in this many ignores the slowdowns */
/* a slowdown that is closer to 1 than this factor counts as 1: the deviation of a
 * mean of 32 run times that vary by a factor of two ... */
#define SLOWDOWN_EQUAL	   1.12
#define SLOWDOWN_DIFFERENT 1.25 /* ... and counts in full from this one */
#define SLOWDOWN_MAX	   8.0
#define SLOWDOWN_VALID_US \
	5000000 /* a slowdown loses weight after this time ... */
#define SLOWDOWN_FADE_US 5000000 /* ... and is forgotten after this one more */

/* time of a run, in the unit of the load: the wait of a full worker */
#define RUN_LOAD 0.5

struct worker {
	struct fp_balancer_worker info;
	bool local; /* in this node's failure domain */
	bool used; /* in this node's subset */
	uint64_t hash; /* rendezvous hash */
	uint32_t in_flight; /* this node's calls */
	/* last answer, or the first call sent after it */
	int64_t last_answer_us;
	int64_t latency_us; /* smoothed, of successful answers */
	double failed; /* smoothed fraction of failed calls */
	double refused; /* smoothed fraction refused for load */
	uint32_t limit; /* advertised */
	uint32_t queued; /* advertised */
	uint32_t running; /* advertised: of all callers */
	int64_t load_us; /* time of the advertised values */
	double slowdown; /* logarithm of its run time over the service's mean */
	int64_t slowdown_us; /* time of the news; 0: none */
	int64_t ejected_until_us; /* 0: not ejected */
	int64_t ejection_us; /* length of the last ejection; 0: none */
};

/* Mean run time of a route over the workers of its service. */
struct route_mean {
	uint64_t hash; /* of service and route */
	double own; /* logarithm of the mean, without nested calls */
	double inner_us; /* in nested calls */
	uint32_t n; /* answers, up to ROUTE_WEIGHT */
};

struct fp_balancer {
	char failure_domain[FP_NAME_BYTES];
	char region[FP_NAME_BYTES];
	uint64_t self;
	bool off;
	bool learning;
	struct route_mean routes[ROUTES];
	int64_t now_us; /* latest time passed in */
	uint32_t n_workers;
	/* grouped by service, then in order of arrival */
	struct worker workers[MAX_WORKERS];
};

/* Candidates of one draw. */
struct group {
	struct worker *workers[SUBSET];
	double weights[SUBSET];
	double sum;
	uint32_t n;
};

/* Arguments and state of one pick. */
struct pick {
	struct fp_balancer *b;
	const uint64_t *avoid;
	uint32_t n_avoid;
	uint64_t draw; /* state of the random draws */
	int64_t now_us;
	uint32_t first; /* range of the service's workers */
	uint32_t end;
	bool by_slots; /* the slowdowns are ignored */
	bool ignore_ejections; /* no worker is better than the failing ones */
};

struct fp_balancer *fp_balancer_init(const char *failure_domain,
				     const char *region, bool off)
{
	struct fp_balancer *b = calloc(1, sizeof(*b));

	if (!b)
		return NULL;
	strncpy(b->failure_domain, failure_domain, FP_NAME_BYTES - 1);
	strncpy(b->region, region, FP_NAME_BYTES - 1);
	b->off = off;
	b->learning = true;
	return b;
}

void fp_balancer_end(struct fp_balancer *b)
{
	free(b);
}

void fp_balancer_set_learning(struct fp_balancer *b, bool learning)
{
	b->learning = learning;
}

/* ---- table and subset ---- */

static struct worker *find_worker(struct fp_balancer *b, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < b->n_workers; i++)
		if (b->workers[i].info.id == id)
			return &b->workers[i];
	return NULL;
}

/* Finds the workers of a service, which are adjacent in the table. */
static void find_service(const struct fp_balancer *b, const char *service,
			 uint32_t *first, uint32_t *end)
{
	uint32_t i = 0;

	while (i < b->n_workers &&
	       strcmp(b->workers[i].info.service, service) != 0)
		i++;
	*first = i;
	while (i < b->n_workers &&
	       strcmp(b->workers[i].info.service, service) == 0)
		i++;
	*end = i;
}

/* Selects the highest hashes among local or remote workers; returns how
 * many. */
static uint32_t select_highest(struct fp_balancer *b, uint32_t first,
			       uint32_t end, bool local, uint32_t want)
{
	struct worker *best;
	struct worker *w;
	uint32_t taken = 0;
	uint32_t i;

	for (; taken < want; taken++) {
		best = NULL;
		for (i = first; i < end; i++) {
			w = &b->workers[i];
			if (w->info.serving && !w->used && w->local == local &&
			    (!best || w->hash > best->hash))
				best = w;
		}
		if (!best)
			break;
		best->used = true;
	}
	return taken;
}

static void select_subset(struct fp_balancer *b, const char *service)
{
	uint32_t first;
	uint32_t end;
	uint32_t left = SUBSET;
	uint32_t i;

	find_service(b, service, &first, &end);
	for (i = first; i < end; i++)
		b->workers[i].used = false;
	left -= select_highest(b, first, end, true, SUBSET_LOCAL);
	left -= select_highest(b, first, end, false, left);
	select_highest(b, first, end, true, left);
}

static uint64_t rendezvous_hash(const struct fp_balancer *b, uint64_t id)
{
	uint64_t seed =
		XXH64(b->failure_domain, strlen(b->failure_domain), b->self);

	return XXH64(&id, sizeof(id), seed);
}

void fp_balancer_set_self(struct fp_balancer *b, uint64_t self)
{
	uint32_t i;

	b->self = self;
	for (i = 0; i < b->n_workers; i++)
		b->workers[i].hash = rendezvous_hash(b, b->workers[i].info.id);
	for (i = 0; i < b->n_workers; i++)
		if (i == 0 || strcmp(b->workers[i].info.service,
				     b->workers[i - 1].info.service) != 0)
			select_subset(b, b->workers[i].info.service);
}

enum fp_status fp_balancer_put_worker(struct fp_balancer *b,
				      const struct fp_balancer_worker *info,
				      int64_t now_us)
{
	struct worker *w = find_worker(b, info->id);
	int64_t warm_us;
	bool changed;
	uint32_t first;
	uint32_t end;

	b->now_us = now_us;
	if (w && strcmp(w->info.service, info->service) != 0) {
		fp_balancer_remove_worker(b, info->id);
		w = NULL;
	}
	changed = !w || w->info.serving != info->serving;
	if (!w) {
		if (b->n_workers == MAX_WORKERS)
			return FP_FULL;
		find_service(b, info->service, &first, &end);
		w = &b->workers[end];
		memmove(w + 1, w, (b->n_workers - end) * sizeof(*w));
		memset(w, 0, sizeof(*w));
		b->n_workers++;
		w->hash = rendezvous_hash(b, info->id);
	}
	warm_us = info->warm_us;
	if (!warm_us && w->info.serving)
		warm_us = w->info.warm_us;
	if (!warm_us || warm_us > now_us + WARM_UP_US)
		warm_us = now_us + WARM_UP_US;
	w->info = *info;
	w->info.warm_us = warm_us;
	w->local = strcmp(info->failure_domain, b->failure_domain) == 0;
	if (changed)
		select_subset(b, info->service);
	return FP_OK;
}

void fp_balancer_remove_worker(struct fp_balancer *b, uint64_t id)
{
	struct worker *w = find_worker(b, id);
	char service[FP_NAME_BYTES];

	if (!w)
		return;
	memcpy(service, w->info.service, FP_NAME_BYTES);
	b->n_workers--;
	memmove(w, w + 1, (size_t)(b->workers + b->n_workers - w) * sizeof(*w));
	select_subset(b, service);
}

/* ---- state of a worker ---- */

static double warm_fraction(const struct worker *w, int64_t now_us)
{
	int64_t left_us = w->info.warm_us - now_us;

	if (left_us <= 0)
		return 1;
	return 1 - (1 - WARM_UP_MIN) * (double)left_us / WARM_UP_US;
}

static double load_of(const struct worker *w, int64_t now_us)
{
	double busy = w->in_flight;
	double room = w->limit ? w->limit : w->info.slots;

	if (now_us - w->load_us <= LOAD_VALID_US)
		busy += w->queued;
	if (room < 1)
		room = 1;
	return busy / (room * warm_fraction(w, now_us)) +
	       FAIL_LOAD * w->failed + w->refused;
}

/* Logarithm of the slowdown that a difference of the means counts as. */
static double significant(double slowdown)
{
	double equal = log(SLOWDOWN_EQUAL);
	double different = log(SLOWDOWN_DIFFERENT);
	double size = fabs(slowdown);

	if (size <= equal)
		return 0;
	if (size >= different)
		return slowdown;
	return slowdown * (size - equal) / (different - equal);
}

/* Running and queued requests of all callers over the limit, as advertised; 0
 * when that is not known. */
static double fill_of(const struct worker *w, int64_t now_us)
{
	if (!w->limit || now_us - w->load_us > LOAD_VALID_US)
		return 0;
	return ((double)w->running + w->queued) / w->limit;
}

static bool is_stalled(const struct worker *w, int64_t now_us)
{
	int64_t longest = STALL_FACTOR * w->latency_us;

	if (longest < STALL_MIN_US)
		longest = STALL_MIN_US;
	return w->in_flight > 0 && now_us - w->last_answer_us > longest;
}

static bool is_ejected(const struct worker *w)
{
	return w->ejected_until_us != 0;
}

/* Whether a worker of the subset other than exclude is not ejected and has a
 * failure rate below FAIL_BETTER * failed. */
static bool has_better_worker(const struct fp_balancer *b, uint32_t first,
			      uint32_t end, const struct worker *exclude,
			      double failed)
{
	const struct worker *w;
	uint32_t i;

	for (i = first; i < end; i++) {
		w = &b->workers[i];
		if (w != exclude && w->used && !is_ejected(w) &&
		    w->failed < FAIL_BETTER * failed)
			return true;
	}
	return false;
}

static void eject(struct fp_balancer *b, struct worker *w, int64_t now_us)
{
	uint32_t first;
	uint32_t end;

	find_service(b, w->info.service, &first, &end);
	if (!has_better_worker(b, first, end, w, w->failed))
		return;
	w->ejection_us = w->ejection_us ? 2 * w->ejection_us : EJECT_US;
	if (w->ejection_us > EJECT_MAX_US)
		w->ejection_us = EJECT_MAX_US;
	w->ejected_until_us = now_us + w->ejection_us;
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
	return is_allowed(p, w) && (p->ignore_ejections || !is_ejected(w)) &&
	       !w->info.suspected && !is_stalled(w, p->now_us);
}

/* Run time at a worker over the mean of its service, as far as it is known. */
static double slowdown_of(const struct pick *p, const struct worker *w)
{
	int64_t old_us = p->now_us - w->slowdown_us - SLOWDOWN_VALID_US;
	double slowdown = w->slowdown;

	if (p->by_slots || !p->b->learning || !w->slowdown_us ||
	    old_us >= SLOWDOWN_FADE_US)
		return 1;
	if (old_us > 0)
		slowdown *= 1 - (double)old_us / SLOWDOWN_FADE_US;
	return exp(significant(slowdown));
}

/* When a call would end at a worker, in run times of its service. */
static double end_of(const struct pick *p, const struct worker *w)
{
	return slowdown_of(p, w) * (RUN_LOAD + load_of(w, p->now_us));
}

static void group_add(const struct pick *p, struct group *group,
		      struct worker *w)
{
	double weight = (w->info.slots ? w->info.slots : 1) *
			warm_fraction(w, p->now_us) / slowdown_of(p, w);

	if (group->n == SUBSET)
		return;
	group->workers[group->n] = w;
	group->weights[group->n++] = weight;
	group->sum += weight;
}

static struct worker *draw_one(struct pick *p, const struct group *group)
{
	/* 53 random bits, scaled to [0, 1) */
	double at =
		(double)(next_draw(p) >> 11) / 9007199254740992.0 * group->sum;
	uint32_t i;

	for (i = 0; i + 1 < group->n; i++) {
		if (at < group->weights[i])
			break;
		at -= group->weights[i];
	}
	return group->workers[i];
}

/* Returns that of two draws where the call ends sooner; NULL for an empty
 * group. */
static struct worker *draw_two(struct pick *p, const struct group *group)
{
	struct worker *one;
	struct worker *other;

	if (group->n == 0)
		return NULL;
	one = draw_one(p, group);
	other = draw_one(p, group);
	return end_of(p, other) < end_of(p, one) ? other : one;
}

static struct worker *choose_local_or_remote(struct pick *p,
					     const struct group *local,
					     const struct group *remote)
{
	struct worker *near = draw_two(p, local);
	struct worker *far;
	double load;
	double fill;

	if (!near || remote->n == 0)
		return near ? near : draw_two(p, remote);
	load = load_of(near, p->now_us);
	fill = fill_of(near, p->now_us);
	if (load < LOCAL_BUSY && fill < LOCAL_FULL)
		return near;
	far = draw_two(p, remote);
	if (fill >= LOCAL_FULL && fill_of(far, p->now_us) < fill &&
	    load_of(far, p->now_us) < LOCAL_FULL)
		return far;
	if (load < LOCAL_BUSY)
		return near;
	return load > REMOTE_FACTOR * load_of(far, p->now_us) + REMOTE_MARGIN ?
		       far :
		       near;
}

/* Returns a worker whose ejection is over and that no call probes yet. */
static struct worker *find_due_probe(struct pick *p)
{
	struct worker *w;
	uint32_t i;

	if (p->ignore_ejections || next_draw(p) % PICKS_PER_PROBE != 0)
		return NULL;
	for (i = p->first; i < p->end; i++) {
		w = &p->b->workers[i];
		if (is_allowed(p, w) && is_ejected(w) && w->in_flight == 0 &&
		    !w->info.suspected && p->now_us >= w->ejected_until_us)
			return w;
	}
	return NULL;
}

static struct worker *pick_healthy(struct pick *p)
{
	struct group local = { .n = 0 };
	struct group remote = { .n = 0 };
	struct worker *w;
	uint32_t i;

	for (i = p->first; i < p->end; i++) {
		w = &p->b->workers[i];
		if (is_healthy(p, w))
			group_add(p, w->local ? &local : &remote, w);
	}
	return choose_local_or_remote(p, &local, &remote);
}

/* Any allowed worker: an ejected, suspected or stalled one is better than
 * none. */
static struct worker *pick_any(struct pick *p)
{
	struct group all = { .n = 0 };
	uint32_t i;

	for (i = p->first; i < p->end; i++)
		if (is_allowed(p, &p->b->workers[i]))
			group_add(p, &all, &p->b->workers[i]);
	return draw_two(p, &all);
}

static struct worker *pick_uniform(struct pick *p)
{
	struct worker *found[MAX_WORKERS];
	uint32_t n = 0;
	uint32_t i;

	for (i = p->first; i < p->end; i++)
		if (p->b->workers[i].info.serving &&
		    !is_avoided(p, p->b->workers[i].info.id))
			found[n++] = &p->b->workers[i];
	return n ? found[next_draw(p) % n] : NULL;
}

enum fp_status fp_balancer_pick(struct fp_balancer *b, const char *service,
				const uint64_t *avoid, uint32_t n_avoid,
				uint64_t draw, int64_t now_us, uint64_t *id)
{
	struct pick p = { .b = b,
			  .avoid = avoid,
			  .n_avoid = n_avoid,
			  .draw = draw,
			  .now_us = now_us };
	struct worker *w;

	b->now_us = now_us;
	find_service(b, service, &p.first, &p.end);
	if (b->off) {
		w = pick_uniform(&p);
	} else {
		p.by_slots = next_draw(&p) % PICKS_BY_SLOTS == 0;
		p.ignore_ejections =
			!has_better_worker(b, p.first, p.end, NULL, 1);
		w = find_due_probe(&p);
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

void fp_balancer_call_sent(struct fp_balancer *b, uint64_t id)
{
	struct worker *w = find_worker(b, id);

	if (!w)
		return;
	if (w->in_flight++ == 0)
		w->last_answer_us = b->now_us;
}

static void smooth(double *mean, bool hit)
{
	*mean += ((hit ? 1.0 : 0.0) - *mean) * FAIL_WEIGHT;
}

static void update_health(struct fp_balancer *b, struct worker *w,
			  enum fp_balancer_result result, int64_t latency_us,
			  int64_t now_us)
{
	smooth(&w->failed, result == FP_BALANCER_FAILED);
	smooth(&w->refused, result == FP_BALANCER_REFUSED);
	if (result == FP_BALANCER_OK)
		w->latency_us += (latency_us - w->latency_us) / LATENCY_WEIGHT;
	if (!is_ejected(w)) {
		if (w->failed >= FAIL_EJECT)
			eject(b, w, now_us);
	} else if (result != FP_BALANCER_FAILED) {
		w->ejected_until_us = 0;
		w->failed = FAIL_EJECT / 2;
	} else if (now_us >= w->ejected_until_us) {
		eject(b, w, now_us);
	}
	/* A worker that has recovered starts with a short ejection next
	 * time. */
	if (w->failed < FAIL_EJECT / 8)
		w->ejection_us = 0;
}

void fp_balancer_call_ended(struct fp_balancer *b, uint64_t id,
			    enum fp_balancer_result result, int64_t latency_us,
			    const struct fp_admission_load *load,
			    int64_t now_us)
{
	struct worker *w = find_worker(b, id);

	b->now_us = now_us;
	if (!w)
		return;
	if (w->in_flight > 0)
		w->in_flight--;
	if (load) {
		w->limit = load->limit;
		w->queued = load->queued;
		w->running = load->running;
		w->load_us = now_us;
	}
	if (result == FP_BALANCER_CANCELLED)
		return;
	if (result != FP_BALANCER_FAILED || load)
		w->last_answer_us = now_us;
	update_health(b, w, result, latency_us, now_us);
}

/* ---- speeds ---- */

static struct route_mean *find_route(struct fp_balancer *b, const char *service,
				     const char *route)
{
	uint64_t hash =
		XXH64(route, strlen(route), XXH64(service, strlen(service), 0));
	struct route_mean *r = &b->routes[hash % ROUTES];

	if (r->hash != hash) {
		memset(r, 0, sizeof(*r));
		r->hash = hash;
	}
	return r;
}

void fp_balancer_note_speed(struct fp_balancer *b, uint64_t id,
			    const char *route,
			    const struct fp_worker_speed *speed, int64_t now_us)
{
	struct worker *w = find_worker(b, id);
	struct route_mean *r;
	double own;
	double slowdown;

	if (!w || !speed->own_us)
		return;
	r = find_route(b, w->info.service, route);
	own = log(speed->own_us);
	if (r->n < ROUTE_WEIGHT)
		r->n++;
	r->own += (own - r->own) / r->n;
	r->inner_us += (speed->inner_us - r->inner_us) / r->n;
	slowdown = log((speed->own_us + r->inner_us) /
		       (exp(r->own) + r->inner_us));
	if (slowdown > log(SLOWDOWN_MAX))
		slowdown = log(SLOWDOWN_MAX);
	if (slowdown < -log(SLOWDOWN_MAX))
		slowdown = -log(SLOWDOWN_MAX);
	if (!w->slowdown_us || now_us - w->slowdown_us > SLOWDOWN_VALID_US)
		w->slowdown = slowdown;
	else
		w->slowdown += (slowdown - w->slowdown) / SLOWDOWN_WEIGHT;
	w->slowdown_us = now_us - (int64_t)speed->age_ms * 1000;
}
