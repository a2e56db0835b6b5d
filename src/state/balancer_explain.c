/*
 * balancer_explain.c - which worker a call would be sent to, and why
 *
 * The choice is that of balancer_choose() itself, with the draw that is given.
 * The share of a worker is counted from the choices of a fixed series of draws.
 */
#include "state/balancer_explain.h"

#include <stdlib.h>
#include <string.h>

#include "state/balancer_private.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

struct fp_balancer *fp_balancer_copy(const struct fp_balancer *b)
{
	struct fp_balancer *copy = malloc(sizeof(*copy));

	if (copy)
		memcpy(copy, b, sizeof(*copy));
	return copy;
}

static int64_t age_us(int64_t at_us, int64_t now_us)
{
	return at_us ? now_us - at_us : -1;
}

static void read_candidate(struct fp_balancer *b, const struct worker *w,
			   bool ignore_ejections, int64_t now_us,
			   struct fp_balancer_candidate *c)
{
	int64_t left_us = w->ejected_until_us - now_us;
	struct balancer_figures f;

	balancer_read_figures(b, w, ignore_ejections, now_us, &f);
	*c = (struct fp_balancer_candidate){
		.info = w->info,
		.local = w->local,
		.used = w->used,
		.ejected = balancer_is_ejected(w),
		.stalled = f.stalled,
		.drawn = f.drawn,
		.in_flight = w->in_flight,
		.limit = w->limit,
		.running = w->running,
		.queued = w->queued,
		.load_age_us = age_us(w->load_us, now_us),
		.load = f.load,
		.fill = f.fill,
		.slowdown = f.slowdown,
		.slowdown_age_us = age_us(w->slowdown_us, now_us),
		.end = f.end,
		.warm = f.warm,
		.failed = w->failed,
		.refused = w->refused,
		.ejected_left_us =
			balancer_is_ejected(w) && left_us > 0 ? left_us : 0,
	};
}

static void count_choice(struct fp_balancer_explanation *out,
			 const struct worker *w)
{
	uint32_t i;

	for (i = 0; w && i < out->n; i++)
		if (out->candidates[i].info.id == w->info.id)
			out->candidates[i].share++;
}

void fp_balancer_explain(struct fp_balancer *b, const char *service,
			 uint64_t draw, int64_t now_us,
			 struct fp_balancer_explanation *out)
{
	const struct worker *w;
	uint64_t i;
	uint32_t first;
	uint32_t end;
	uint32_t k;
	int used;

	memset(out, 0, sizeof(*out));
	balancer_find_service(b, service, &first, &end);
	out->n_workers = end - first;
	out->ejections_ignored =
		!balancer_has_better_worker(b, first, end, NULL, 1);
	for (used = 1; used >= 0; used--)
		for (k = first; k < end; k++)
			if (b->workers[k].used == used &&
			    out->n < FP_BALANCER_MAX_SHOWN)
				read_candidate(b, &b->workers[k],
					       out->ejections_ignored, now_us,
					       &out->candidates[out->n++]);
	for (i = 0; i < FP_BALANCER_DRAWS; i++)
		count_choice(out,
			     balancer_choose(b, service, NULL, 0,
					     XXH64(&i, sizeof(i), 0), now_us));
	w = balancer_choose(b, service, NULL, 0, draw, now_us);
	out->found = w != NULL;
	if (!w)
		return;
	out->id = w->info.id;
	w = balancer_choose(b, service, &out->id, 1, draw, now_us);
	out->has_runner_up = w != NULL;
	if (w)
		out->runner_up = w->info.id;
}
