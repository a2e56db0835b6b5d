/*
 * balancer_retry.c - choice of the worker for a call that another one refused
 *
 * Load: a service is full at one worker or at all. A call that was refused for
 * load is sent again only to a worker that is known to have free capacity: at a
 * full one it would wait in the queue for a part of the time that its tree has,
 * and be refused there too.
 *
 * Workers report their load on each answer, also on refusals; a report is valid
 * for REPORT_VALID_US. A worker has free capacity if fewer calls run or wait
 * there than its limit, this node's calls in flight counted, or if it lately
 * took at least as many calls of that rank as it refused. A worker without a
 * valid report counts as free while no call of this node is in flight there: the
 * answer to that call brings a report, so a full service costs each node at most
 * one call for each worker and period of validity.
 *
 * Workers are drawn in proportion to their free capacity, so that nodes with the
 * same reports do not all send to the same worker.
 */
#include "state/admission.h"
#include "state/balancer_private.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#define REPORT_VALID_US 1000000
/* refused part of a rank above which a full worker gets no more of it */
#define REFUSES_PERMILLE 500

uint16_t balancer_refused_ranks(const struct fp_admission_load *load)
{
	uint16_t ranks = 0;
	int i;

	for (i = 0; i < FP_SHED_RANK_COUNT; i++)
		if (load->refused_permille[i] > REFUSES_PERMILLE)
			ranks |= (uint16_t)(1u << i);
	return ranks;
}

static bool is_avoided(const uint64_t *avoid, uint32_t n_avoid, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < n_avoid; i++)
		if (avoid[i] == id)
			return true;
	return false;
}

/* Weight of a worker in the draw; 0: no free capacity is known. */
static uint32_t free_capacity(const struct worker *w, uint8_t rank,
			      int64_t now_us)
{
	uint32_t busy = w->running + w->queued;

	if (!w->used || !w->info.serving || w->info.suspected ||
	    balancer_is_ejected(w))
		return 0;
	if (!w->limit || now_us - w->load_us > REPORT_VALID_US)
		return w->in_flight == 0 ? 1 : 0;
	if (busy < w->in_flight)
		busy = w->in_flight;
	if (busy < w->limit)
		return w->limit - busy;
	return w->refused_ranks & (1u << rank) ? 0 : 1;
}

enum fp_status fp_balancer_pick_retry(struct fp_balancer *b,
				      const char *service, uint8_t rank,
				      const uint64_t *avoid, uint32_t n_avoid,
				      uint64_t draw, int64_t now_us,
				      uint64_t *id)
{
	uint32_t free[SUBSET];
	const struct worker *found[SUBSET];
	const struct worker *w;
	uint64_t sum = 0;
	uint64_t at;
	uint32_t n = 0;
	uint32_t first;
	uint32_t end;
	uint32_t i;

	balancer_find_service(b, service, &first, &end);
	for (i = first; i < end && n < SUBSET; i++) {
		w = &b->workers[i];
		if (is_avoided(avoid, n_avoid, w->info.id))
			continue;
		free[n] = free_capacity(w, rank, now_us);
		if (!free[n])
			continue;
		sum += free[n];
		found[n++] = w;
	}
	if (n == 0)
		return FP_NOT_FOUND;
	at = XXH64(&draw, sizeof(draw), 0) % sum;
	for (i = 0; at >= free[i]; i++)
		at -= free[i];
	*id = found[i]->info.id;
	return FP_OK;
}
