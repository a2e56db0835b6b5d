/*
 * balancer_room.c - which worker has room for a call that another one refused
 *
 * Answers the load under which a service is full at one worker or at all. A call
 * that was refused for load is sent again only to a worker that is known to have
 * room: to a full one it would be carried for nothing, wait in its queue for a
 * part of the time that its tree has, and be refused there too.
 *
 * What is known of a worker comes with its answers, of refusals too, and is
 * valid for NEWS_VALID_US. A worker has room if it has a free place, the calls
 * of this node on their way to it counted, or if it lately took at least as many
 * calls of that rank as it refused. A worker without fresh news
 * counts as one with room if no call of this node is on its way to it: that
 * call's answer brings the news, so a full service costs each node at most one
 * call for each worker and period of validity.
 *
 * Workers are drawn by their free places, so that nodes with the same news do
 * not all send to the same worker.
 */
#include "state/admission.h"
#include "state/balancer_private.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#define NEWS_VALID_US 1000000
#define MOST_PERMILLE 500

uint16_t balancer_refused_ranks(const struct fp_admission_load *load)
{
	uint16_t ranks = 0;
	int i;

	for (i = 0; i < FP_SHED_RANK_COUNT; i++)
		if (load->refused_permille[i] > MOST_PERMILLE)
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

/* Weight of a worker in the draw; 0: no room is known. */
static uint32_t room_of(const struct worker *w, uint8_t rank, int64_t now_us)
{
	uint32_t busy = w->running + w->queued;

	if (!w->used || !w->info.serving || w->info.suspected ||
	    balancer_is_ejected(w))
		return 0;
	if (!w->limit || now_us - w->load_us > NEWS_VALID_US)
		return w->in_flight == 0 ? 1 : 0;
	if (busy < w->in_flight)
		busy = w->in_flight;
	if (busy < w->limit)
		return w->limit - busy;
	return w->refused_ranks & (1u << rank) ? 0 : 1;
}

enum fp_status fp_balancer_pick_with_room(struct fp_balancer *b,
					  const char *service, uint8_t rank,
					  const uint64_t *avoid,
					  uint32_t n_avoid, uint64_t draw,
					  int64_t now_us, uint64_t *id)
{
	uint32_t rooms[SUBSET];
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
		rooms[n] = room_of(w, rank, now_us);
		if (!rooms[n])
			continue;
		sum += rooms[n];
		found[n++] = w;
	}
	if (n == 0)
		return FP_NOT_FOUND;
	at = XXH64(&draw, sizeof(draw), 0) % sum;
	for (i = 0; at >= rooms[i]; i++)
		at -= rooms[i];
	*id = found[i]->info.id;
	return FP_OK;
}
