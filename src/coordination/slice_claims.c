/*
 * slice_claims.c - claims of non-idempotent requests at the owner of a slice
 *
 * A claim is granted once primary and backup both hold it and the primary may
 * still act at that moment; the answer waits for both. A requester that gets
 * FP_OK may dispatch the request once. After any other outcome the claim may
 * stay pending; a second request with the same key is then answered that the
 * first one may have run.
 *
 * If the backup is replaced while a change waits for it, the change becomes
 * part of the snapshot for the new backup, and the answer waits for that.
 *
 * Memory: the bounds on claims and on kept answers apply to the node, over all
 * its slices in both roles. A claim is kept longer than the promised lifetime
 * by the clock drift, so that it expires on no node before that lifetime ends.
 */
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "coordination/slice_private.h"

/* Memory bound of kept answers, for each claim the node may keep. */
#define ANSWER_BYTES_PER_CLAIM UINT64_C(512)
/* Requesters that may wait for a backup, over all slices. */
#define MAX_WAITERS 4096
/* A requester that waited this long for the backup is answered FP_TIMEOUT. */
#define REPLICATION_TIMEOUT_US (3 * FP_US_PER_S)

static uint64_t max_bytes(const struct fp_slice_service *svc)
{
	return svc->cfg.max_claims *
	       (FP_CLAIM_FIXED_BYTES + ANSWER_BYTES_PER_CLAIM);
}

static void count_all(const struct fp_slice_service *svc, uint64_t *claims,
		      uint64_t *bytes)
{
	uint64_t one_bytes;
	uint32_t one;
	uint32_t i;

	*claims = 0;
	*bytes = 0;
	for (i = 0; i < FP_SLICES; i++) {
		if (!svc->slices[i].claims)
			continue;
		fp_claims_count(svc->slices[i].claims, &one, &one_bytes);
		*claims += one;
		*bytes += one_bytes;
	}
}

bool claims_have_room(const struct fp_slice_service *svc)
{
	uint64_t claims;
	uint64_t bytes;

	count_all(svc, &claims, &bytes);
	return claims < svc->cfg.max_claims;
}

bool claims_have_answer_room(const struct fp_slice_service *svc, uint32_t bytes)
{
	uint64_t claims;
	uint64_t used;

	count_all(svc, &claims, &used);
	used -= claims * FP_CLAIM_FIXED_BYTES;
	return used + bytes <= svc->cfg.max_claims * ANSWER_BYTES_PER_CLAIM;
}

void claims_update_counters(struct fp_slice_service *svc)
{
	uint64_t claims;
	uint64_t bytes;

	count_all(svc, &claims, &bytes);
	fp_counter_set(svc->counters.claims, (int64_t)claims);
	fp_counter_set(svc->counters.claim_bytes, (int64_t)bytes);
}

bool claims_ensure_table(struct local_slice *ls)
{
	struct fp_slice_service *svc = ls->svc;

	if (!ls->claims)
		ls->claims = fp_claims_init(svc->cfg.max_claims, max_bytes(svc),
					    svc->host.claim_lifetime_us);
	return ls->claims != NULL;
}

static void reply(struct local_slice *ls, const struct requester *req,
		  enum fp_status st, enum fp_claim_state state)
{
	struct fp_msg_shared a = { .type = FP_MSG_CLAIM_RESPONSE };

	a.claim_response.status = st;
	a.claim_response.state = state;
	service_reply(ls->svc, req, &a);
}

static void reply_existing(struct local_slice *ls, const struct requester *req,
			   const struct fp_claim *claim)
{
	struct fp_msg_shared a = { .type = FP_MSG_CLAIM_RESPONSE };

	a.claim_response.status = FP_CONFLICT;
	a.claim_response.state = claim->state;
	a.claim_response.http_status = claim->http_status;
	a.claim_response.answer = claim->answer;
	a.claim_response.answer_bytes = claim->answer_bytes;
	service_reply(ls->svc, req, &a);
}

/* Removes and frees the first waiter. */
static void pop_waiter(struct local_slice *ls)
{
	struct waiter *w = ls->waiters;

	ls->waiters = w->next;
	if (!ls->waiters)
		ls->waiters_end = &ls->waiters;
	ls->svc->n_waiters--;
	free(w);
}

/* A take succeeds only while the claim is pending for the same attempt. */
static enum fp_status grant_status(struct local_slice *ls,
				   const struct waiter *w, int64_t now_us)
{
	const struct fp_claim *claim;

	if (!w->is_take)
		return FP_OK;
	claim = ls->claims ? fp_claims_find(ls->claims, w->name, now_us) : NULL;
	if (claim && claim->attempt_id == w->attempt &&
	    claim->state == FP_CLAIM_PENDING)
		return FP_OK;
	return FP_TIMEOUT;
}

void claims_answer_waiters(struct local_slice *ls)
{
	int64_t now_us = service_now(ls->svc);
	struct waiter *w;
	bool alone;

	while (ls->waiters) {
		w = ls->waiters;
		alone = fp_slice_confirming_backup(&ls->slice) == 0;
		if (!service_may_act(ls))
			reply(ls, &w->req, FP_UNAVAILABLE, FP_CLAIM_PENDING);
		else if (alone ||
			 (stream_is_current(ls) && w->seq <= ls->out.acked))
			reply(ls, &w->req, grant_status(ls, w, now_us),
			      w->state);
		else if (now_us - w->since_us >= REPLICATION_TIMEOUT_US)
			reply(ls, &w->req, FP_TIMEOUT, FP_CLAIM_PENDING);
		else
			return;
		pop_waiter(ls);
	}
}

/* Queues a claim's change; the requester is answered once it is replicated. */
static void wait_for_backup(struct local_slice *ls, const struct requester *req,
			    const struct waiter *what)
{
	struct waiter *w = malloc(sizeof(*w));

	if (!w)
		return; /* no answer: the requester times out */
	*w = *what;
	w->req = *req;
	w->since_us = service_now(ls->svc);
	w->next = NULL;
	*ls->waiters_end = w;
	ls->waiters_end = &w->next;
	ls->svc->n_waiters++;
	/* Without a seq it waits until the next stream opens. */
	if (stream_append(ls, w->name, &w->seq) != FP_OK)
		w->seq = SEQ_UNASSIGNED;
	stream_push(ls);
	claims_answer_waiters(ls);
}

static bool claims_are_lost(const struct local_slice *ls)
{
	return fp_slice_claims_lost_until_us(&ls->slice) > service_now(ls->svc);
}

/* Answers a take of an existing claim: reports its state, never grants it. */
static void take_existing(struct local_slice *ls, const struct requester *req,
			  const struct fp_claim *claim)
{
	if (stream_has_unacked(ls, claim->name))
		reply(ls, req, FP_AGAIN, claim->state);
	else
		reply_existing(ls, req, claim);
}

static void on_take(struct local_slice *ls, const struct requester *req,
		    const struct fp_claim_take *m)
{
	int64_t now_us = service_now(ls->svc);
	const struct fp_claim *found =
		fp_claims_find(ls->claims, m->name, now_us);
	struct waiter w = { .is_take = true, .attempt = m->attempt };
	enum fp_status st = FP_FULL;

	if (!found && claims_are_lost(ls)) {
		reply(ls, req, FP_UNAVAILABLE, FP_CLAIM_UNKNOWN);
		return;
	}
	if (found || claims_have_room(ls->svc))
		st = fp_claims_take(ls->claims, m->name, m->fingerprint,
				    m->attempt, now_us, &found);
	if (st == FP_OK) {
		memcpy(w.name, m->name, sizeof(w.name));
		wait_for_backup(ls, req, &w);
	} else if (st == FP_CONFLICT) {
		take_existing(ls, req, found);
	} else if (st == FP_INVALID) {
		reply(ls, req, st, found->state);
	} else {
		fp_counter_add(ls->svc->counters.claims_full, 1);
		reply(ls, req, FP_FULL, FP_CLAIM_PENDING);
	}
}

static void on_finish(struct local_slice *ls, const struct requester *req,
		      const struct fp_claim_finish *m)
{
	bool room = claims_have_answer_room(ls->svc, m->answer_bytes);
	enum fp_status st = fp_claims_finish(
		ls->claims, m->name, m->attempt, m->state, m->http_status,
		room ? m->answer : NULL, room ? m->answer_bytes : 0,
		service_now(ls->svc));
	struct waiter w = { .state = m->state };

	memcpy(w.name, m->name, sizeof(w.name));
	if (st == FP_OK)
		wait_for_backup(ls, req, &w);
	else
		reply(ls, req, st, FP_CLAIM_PENDING);
}

static void on_release(struct local_slice *ls, const struct requester *req,
		       const struct fp_claim_release *m)
{
	enum fp_status st = fp_claims_release(ls->claims, m->name, m->attempt,
					      service_now(ls->svc));
	struct waiter w = { 0 };

	memcpy(w.name, m->name, sizeof(w.name));
	if (st == FP_OK)
		wait_for_backup(ls, req, &w);
	else
		reply(ls, req, st, FP_CLAIM_PENDING);
}

void claims_message(struct local_slice *ls, const struct requester *req,
		    const struct fp_msg_shared *m)
{
	if (!service_may_act(ls) || !claims_ensure_table(ls)) {
		reply(ls, req, FP_UNAVAILABLE, FP_CLAIM_PENDING);
		return;
	}
	if (ls->svc->n_waiters >= MAX_WAITERS) {
		reply(ls, req,
		      m->type == FP_MSG_CLAIM_TAKE ? FP_FULL : FP_UNAVAILABLE,
		      FP_CLAIM_PENDING);
		return;
	}
	if (m->type == FP_MSG_CLAIM_TAKE)
		on_take(ls, req, &m->claim_take);
	else if (m->type == FP_MSG_CLAIM_FINISH)
		on_finish(ls, req, &m->claim_finish);
	else
		on_release(ls, req, &m->claim_release);
}

bool claims_on_backup_full(struct local_slice *ls, uint64_t seq,
			   const uint8_t *name)
{
	struct waiter **p = &ls->waiters;
	struct waiter *w;
	uint64_t last;

	/* Claims of the snapshot may have been confirmed by an earlier backup,
	 * so their requests may have been dispatched. */
	if (seq <= ls->out.snapshot_seq || !ls->claims ||
	    !fp_claims_find(ls->claims, name, service_now(ls->svc)))
		return false;
	fp_claims_drop(ls->claims, name);
	/* Send the drop as well: the backup may have room by now. */
	stream_append(ls, name, &last);
	fp_counter_add(ls->svc->counters.claims_full, 1);
	while (*p) {
		w = *p;
		if (!w->is_take ||
		    memcmp(w->name, name, sizeof(w->name)) != 0) {
			p = &w->next;
			continue;
		}
		reply(ls, &w->req, FP_FULL, FP_CLAIM_PENDING);
		*p = w->next;
		ls->svc->n_waiters--;
		free(w);
	}
	ls->waiters_end = p;
	return true;
}

void claims_begin(struct local_slice *ls, const struct fp_slice_ownership *t)
{
	if (!t->resumed && (t->first_owner || t->state_lost))
		claims_drop(ls);
	if (!t->resumed)
		memset(&ls->in, 0, sizeof(ls->in));
}

void claims_drop(struct local_slice *ls)
{
	fp_claims_end(ls->claims);
	ls->claims = NULL;
}
