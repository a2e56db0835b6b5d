/*
 * balancer.c - table of the workers of a service, their health and speeds
 *
 * balancer_pick.c has the choice.
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
#include "state/balancer_private.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "state/admission.h"
#include "state/worker_model.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

/* Tuning. */
#define SUBSET_LOCAL 24 /* from this node's domain, if others exist */
#define FAIL_WEIGHT  0.2 /* smoothing of failures and refusals, per call */
/* smoothed failure rate that ejects: five in a row */
#define FAIL_EJECT 0.6
/* a better worker's failure rate is below this times the other's */
#define FAIL_BETTER	0.5
#define EJECT_US	1000000 /* first ejection; doubles each time */
#define EJECT_MAX_US	30000000
#define LATENCY_WEIGHT	8 /* smoothing of the latency, in answers */
#define SLOWDOWN_WEIGHT 2 /* smoothing of a slowdown, in answers */
#define SLOWDOWN_MAX	8.0

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

struct worker *balancer_find_worker(struct fp_balancer *b, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < b->n_workers; i++)
		if (b->workers[i].info.id == id)
			return &b->workers[i];
	return NULL;
}

/* Finds the workers of a service, which are adjacent in the table. */
void balancer_find_service(const struct fp_balancer *b, const char *service,
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

	balancer_find_service(b, service, &first, &end);
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
	struct worker *w = balancer_find_worker(b, info->id);
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
		balancer_find_service(b, info->service, &first, &end);
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
	struct worker *w = balancer_find_worker(b, id);
	char service[FP_NAME_BYTES];

	if (!w)
		return;
	memcpy(service, w->info.service, FP_NAME_BYTES);
	b->n_workers--;
	memmove(w, w + 1, (size_t)(b->workers + b->n_workers - w) * sizeof(*w));
	select_subset(b, service);
}

/* ---- health ---- */

bool balancer_is_ejected(const struct worker *w)
{
	return w->ejected_until_us != 0;
}

/* Whether a worker of the subset other than exclude is not ejected and has a
 * failure rate below FAIL_BETTER * failed. */
bool balancer_has_better_worker(const struct fp_balancer *b, uint32_t first,
				uint32_t end, const struct worker *exclude,
				double failed)
{
	const struct worker *w;
	uint32_t i;

	for (i = first; i < end; i++) {
		w = &b->workers[i];
		if (w != exclude && w->used && !balancer_is_ejected(w) &&
		    w->failed < FAIL_BETTER * failed)
			return true;
	}
	return false;
}
static void eject(struct fp_balancer *b, struct worker *w, int64_t now_us)
{
	uint32_t first;
	uint32_t end;

	balancer_find_service(b, w->info.service, &first, &end);
	if (!balancer_has_better_worker(b, first, end, w, w->failed))
		return;
	w->ejection_us = w->ejection_us ? 2 * w->ejection_us : EJECT_US;
	if (w->ejection_us > EJECT_MAX_US)
		w->ejection_us = EJECT_MAX_US;
	w->ejected_until_us = now_us + w->ejection_us;
}

/* ---- calls ---- */

void fp_balancer_call_sent(struct fp_balancer *b, uint64_t id)
{
	struct worker *w = balancer_find_worker(b, id);

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
	if (!balancer_is_ejected(w)) {
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
	struct worker *w = balancer_find_worker(b, id);

	b->now_us = now_us;
	if (!w)
		return;
	if (w->in_flight > 0)
		w->in_flight--;
	if (load) {
		w->limit = load->limit;
		w->queued = load->queued;
		w->running = load->running;
		w->refused_ranks = balancer_refused_ranks(load);
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
	struct worker *w = balancer_find_worker(b, id);
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
