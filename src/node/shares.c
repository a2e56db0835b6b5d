/*
 * parts.c - to whose bucket a node commits its part of an organisation's rate
 *
 * The bucket is at the node that ranks highest for the organisation and can be
 * reached (owner.c); so the parts of all nodes meet there. A commitment is
 * repeated a few times in its hold, rarely where there is no demand. When the
 * place changes the part is released first, which costs a round trip; a place
 * that is lost costs the rest of the hold.
 *
 * A node without a right to a part may know old members only. It asks down the
 * ranks for a bucket that others keep.
 */
#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "node/owner.h"
#include "node/tokens_private.h"
#include "protocol/msg_shared.h"

/* Between two commitments of a part, and how long requests count as demand for
 * it; two commitments may be lost before the part is missed. */
#define COMMIT_US (200 * FP_US_PER_MS)
#define DEMAND_US (3 * FP_US_PER_S)
/* The same without demand, for every IDLE_ORGS organisations. */
#define IDLE_COMMIT_US (800 * FP_US_PER_MS)
#define IDLE_HOLD_US   (2 * FP_US_PER_S)
#define IDLE_ORGS      16u
/* How long a bucket that was found below the highest in rank is asked. */
#define DETOUR_US (2 * FP_US_PER_S)

uint64_t parts_place(struct org_tokens *o)
{
	uint64_t view = owner_view(o->t);

	if (o->place_view != view)
		o->place = owner_to_ask(o->t, o->org, o->detour);
	o->place_view = view;
	return o->place;
}

static void forget_detour(struct org_tokens *o)
{
	o->detour = 0;
	o->place_view = 0;
}

/* Nodes with a right meet at the highest in rank; one without looks for a
 * bucket down the ranks. */
void parts_pass_over(struct org_tokens *o, int64_t now_us)
{
	if (fp_right_holds(&o->t->right, now_us) || !o->t->members)
		return;
	if (!o->detour)
		o->detour_us = now_us;
	o->detour = (o->detour + 1) % o->t->members->n;
	o->place_view = 0;
}

static void end_detour(struct org_tokens *o, int64_t now_us)
{
	if (o->detour && (fp_right_holds(&o->t->right, now_us) ||
			  now_us - o->detour_us > DETOUR_US))
		forget_detour(o);
}

static void listen_for(struct org_tokens *o, uint64_t *id)
{
	apr_hash_set(o->t->asks, id, sizeof(*id), NULL);
	*id = ++o->t->next_corr;
	apr_hash_set(o->t->asks, id, sizeof(*id), o);
}

static void release_part(struct org_tokens *o, int64_t now_us)
{
	struct fp_msg_shared m = { .type = FP_MSG_PART_COMMIT };

	listen_for(o, &o->release_id);
	m.id = o->release_id;
	memcpy(m.part_commit.org, o->org, sizeof(o->org));
	fp_part_release(&o->part, now_us, &m.part_commit.commitment);
	owner_send(o->t, o->part.place, &m);
}

/* By how much commitments without demand are rarer and longer. */
static int64_t idle_scale(const struct org_tokens *o)
{
	return 1 + o->t->config->n_orgs / IDLE_ORGS;
}

static int64_t hold_us(const struct org_tokens *o, bool idle)
{
	int64_t us = idle ? IDLE_HOLD_US * idle_scale(o) : FP_PART_HOLD_US;

	return us < FP_PART_MAX_SPAN_US ? us : FP_PART_MAX_SPAN_US;
}

static void send_commitment(struct org_tokens *o, uint64_t place, bool idle,
			    int64_t now_us)
{
	struct fp_msg_shared m = { .type = FP_MSG_PART_COMMIT };
	uint64_t before = o->part.place;

	if (o->part.greeted != place && before != place &&
	    fp_part_is_committed(&o->part, now_us))
		release_part(o, now_us);
	fp_part_commit(&o->part, &o->t->right, place, hold_us(o, idle), now_us,
		       &m.part_commit.commitment);
	if (m.part_commit.commitment.hold_us && o->release_id) {
		apr_hash_set(o->t->asks, &o->release_id, sizeof(o->release_id),
			     NULL);
		o->release_id = 0;
	}
	listen_for(o, &o->commit_id);
	o->committed_us = now_us;
	m.id = o->commit_id;
	memcpy(m.part_commit.org, o->org, sizeof(o->org));
	owner_send(o->t, place, &m);
	if (o->part.place != before)
		fp_log(FP_LOG_INFO, "part_committed",
		       "org=%s node=%016" PRIx64 " before=%016" PRIx64
		       " parts=%u hold_ms=%" PRId64,
		       o->org, place, before, m.part_commit.commitment.parts,
		       m.part_commit.commitment.hold_us / FP_US_PER_MS);
}

/* Commits the part again in time; not to a bucket that does not answer asks. */
static void commit_in_time(struct org_tokens *o, int64_t now_us)
{
	bool idle = now_us - o->demand_us > DEMAND_US;
	int64_t every_us;
	uint64_t place;

	if (!o->t->hosted || !o->limited || !o->configured || o->late)
		return;
	every_us = idle ? IDLE_COMMIT_US * idle_scale(o) : COMMIT_US;
	place = parts_place(o);
	if (!place)
		return;
	if (place == o->part.greeted && now_us - o->committed_us < every_us &&
	    (fp_part_is_committed(&o->part, now_us) ||
	     !fp_part_can_commit(&o->part, &o->t->right, place, now_us)))
		return;
	send_commitment(o, place, idle, now_us);
}

void tokens_committed(struct fp_traffic *t, uint64_t from, uint64_t id,
		      const struct fp_part_answer *a)
{
	struct org_tokens *o = apr_hash_get(t->asks, &id, sizeof(id));
	int64_t now_us = tokens_now_us(t);

	if (!o || strcmp(a->org, o->org) != 0)
		return;
	if (id == o->commit_id)
		fp_part_answered(&o->part, from, a->stamp_us, a->fill_permille,
				 now_us);
	else if (id == o->release_id)
		fp_part_released(&o->part, from, now_us);
	commit_in_time(o, now_us);
}

void parts_tick(struct org_tokens *o, int64_t now_us)
{
	end_detour(o, now_us);
	commit_in_time(o, now_us);
}
