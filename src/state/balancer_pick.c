/*
 * balancer_pick.c - choice of the worker that a call is sent to
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
 */
#include "state/balancer_private.h"

#include <math.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* Tuning. */
#define WARM_UP_MIN 0.1 /* relative weight at its start */
#define LOCAL_BUSY  0.7 /* load from which remote workers are considered */
/* A remote worker wins if the local load exceeds its load times this ... */
#define REMOTE_FACTOR 1.25
#define REMOTE_MARGIN 0.1 /* ... plus this */
/* a local worker this full (running and queued over its limit) loses to any
 * remote one that is less full */
#define LOCAL_FULL	0.9
#define FAIL_LOAD	4.0 /* load added by a failure rate of 1 */
#define PICKS_PER_PROBE 8 /* one pick in this many may probe a worker */
#define STALL_MIN_US	500000 /* stalled if no answer for this time ... */
#define STALL_FACTOR	8 /* ... or this many mean latencies, if longer */
#define LOAD_VALID_US	2000000 /* validity of an advertised queue length */
#define PICKS_BY_SLOTS	16 /* one pick in this many ignores the slowdowns */
/* a slowdown that is closer to 1 than this factor counts as 1: the deviation of a
 * mean of 32 run times that vary by a factor of two ... */
#define SLOWDOWN_EQUAL	   1.12
#define SLOWDOWN_DIFFERENT 1.25 /* ... and counts in full from this one */
#define SLOWDOWN_FADE_US   5000000 /* ... and is forgotten after this one more */
/* time of a run, in the unit of the load: the wait of a full worker */
#define RUN_LOAD 0.5

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
	return is_allowed(p, w) &&
	       (p->ignore_ejections || !balancer_is_ejected(w)) &&
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
		if (is_allowed(p, w) && balancer_is_ejected(w) &&
		    w->in_flight == 0 && !w->info.suspected &&
		    p->now_us >= w->ejected_until_us)
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

struct worker *balancer_choose(struct fp_balancer *b, const char *service,
			       const uint64_t *avoid, uint32_t n_avoid,
			       uint64_t draw, int64_t now_us)
{
	struct pick p = { .b = b,
			  .avoid = avoid,
			  .n_avoid = n_avoid,
			  .draw = draw,
			  .now_us = now_us };
	struct worker *w;

	balancer_find_service(b, service, &p.first, &p.end);
	if (b->off)
		return pick_uniform(&p);
	p.by_slots = next_draw(&p) % PICKS_BY_SLOTS == 0;
	p.ignore_ejections =
		!balancer_has_better_worker(b, p.first, p.end, NULL, 1);
	w = find_due_probe(&p);
	if (!w)
		w = pick_healthy(&p);
	return w ? w : pick_any(&p);
}

void balancer_read_figures(struct fp_balancer *b, const struct worker *w,
			   bool ignore_ejections, int64_t now_us,
			   struct balancer_figures *f)
{
	const struct pick p = { .b = b,
				.now_us = now_us,
				.ignore_ejections = ignore_ejections };

	f->load = load_of(w, now_us);
	f->fill = fill_of(w, now_us);
	f->slowdown = slowdown_of(&p, w);
	f->warm = warm_fraction(w, now_us);
	f->end = end_of(&p, w);
	f->stalled = is_stalled(w, now_us);
	f->drawn = b->off ? w->info.serving : is_healthy(&p, w);
}

enum fp_status fp_balancer_pick(struct fp_balancer *b, const char *service,
				const uint64_t *avoid, uint32_t n_avoid,
				uint64_t draw, int64_t now_us, uint64_t *id)
{
	const struct worker *w =
		balancer_choose(b, service, avoid, n_avoid, draw, now_us);

	b->now_us = now_us;
	if (!w)
		return FP_NOT_FOUND;
	*id = w->info.id;
	return FP_OK;
}
