/*
 * slice_stream.c - replication of a slice's claims to its backup
 *
 * There is one stream per epoch and backup. It opens with a snapshot, the name
 * of every claim of the slice. Each later change appends the name of the
 * changed claim. Sequence numbers (seq) count the names from 1. The message
 * for a seq carries the claim as it is at the time of sending, or "drop" if it
 * does not exist. So a queue of names suffices, and a resend never carries
 * outdated data.
 *
 * The backup applies changes in order of seq and acknowledges the highest one
 * applied. After a loss the primary resends from the first unacknowledged seq
 * (go-back-N). Links keep order, so a gap arises only when a link is lost.
 *
 * A backup without room for a change does not apply it. Its refusal carries
 * the id of that change, which is the highest applied seq plus 1. The primary
 * then drops the claim if it was not granted yet, and the message sent next for
 * that seq is "drop".
 */
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "coordination/slice_private.h"

#define WINDOW_CHANGES	   64 /* changes sent and not acknowledged */
#define RESEND_TIMEOUT_US  (200 * FP_US_PER_MS) /* without progress */
#define REWIND_INTERVAL_US (100 * FP_US_PER_MS) /* least, for a gap */
#define MIN_SLOTS	   64 /* initial length of the queue */

static uint8_t *name_of(const struct stream_out *o, uint64_t seq)
{
	return o->names[seq & (o->n_slots - 1)];
}

/* Grows the queue to hold n more names. */
static bool make_room(struct stream_out *o, uint64_t n)
{
	uint64_t need = o->last - o->acked + n + 1;
	struct stream_out old = *o;
	uint64_t slots = o->n_slots ? o->n_slots : MIN_SLOTS;
	uint64_t seq;

	while (slots < need)
		slots *= 2;
	if (slots == o->n_slots)
		return true;
	if (slots > UINT32_MAX / 2)
		return false;
	o->names = calloc(slots, sizeof(*o->names));
	if (!o->names) {
		o->names = old.names;
		return false;
	}
	o->n_slots = (uint32_t)slots;
	for (seq = old.acked + 1; seq <= old.last; seq++)
		memcpy(name_of(o, seq), name_of(&old, seq),
		       FP_CLAIM_NAME_BYTES);
	free(old.names);
	return true;
}

bool stream_is_current(const struct local_slice *ls)
{
	uint64_t backup = fp_slice_confirming_backup(&ls->slice);

	return backup != 0 && ls->out.backup == backup &&
	       ls->out.epoch == ls->slice.view.epoch;
}

/* The queue holds at most twice the complete state plus one window. */
static bool queue_is_full(const struct local_slice *ls)
{
	uint64_t max_queued =
		2 * (uint64_t)ls->svc->cfg.max_claims + WINDOW_CHANGES;

	return ls->out.last - ls->out.acked >= max_queued;
}

enum fp_status stream_append(struct local_slice *ls, const uint8_t *name,
			     uint64_t *seq)
{
	struct stream_out *o = &ls->out;

	*seq = 0;
	if (fp_slice_confirming_backup(&ls->slice) == 0)
		return FP_OK;
	*seq = SEQ_UNASSIGNED;
	if (!stream_is_current(ls))
		return FP_OK;
	if (queue_is_full(ls) || !make_room(o, 1))
		return fp_fail(FP_FULL, "replication queue is full: too many "
					"unacknowledged changes");
	*seq = ++o->last;
	memcpy(name_of(o, o->last), name, FP_CLAIM_NAME_BYTES);
	return FP_OK;
}

bool stream_has_unacked(const struct local_slice *ls, const uint8_t *name)
{
	const struct stream_out *o = &ls->out;
	uint64_t seq;

	if (fp_slice_confirming_backup(&ls->slice) == 0)
		return false;
	if (!stream_is_current(ls))
		return true;
	for (seq = o->acked + 1; seq <= o->last; seq++)
		if (memcmp(name_of(o, seq), name, FP_CLAIM_NAME_BYTES) == 0)
			return true;
	return false;
}

static enum fp_status send_change(struct local_slice *ls, const char *addr,
				  uint64_t seq)
{
	int64_t now_us = service_now(ls->svc);
	const uint8_t *name = name_of(&ls->out, seq);
	const struct fp_claim *claim = fp_claims_find(ls->claims, name, now_us);
	struct fp_msg_shared m = { .type = FP_MSG_CLAIM_REPLICATE, .id = seq };
	struct fp_claim_replicate *r = &m.claim_replicate;

	r->slice = ls->slice.index;
	r->epoch = ls->out.epoch;
	r->seq = seq;
	r->drop = !claim;
	if (claim) {
		r->claim = *claim;
		r->age_us = now_us - claim->created_us;
	}
	memcpy(r->claim.name, name, FP_CLAIM_NAME_BYTES);
	fp_counter_add(ls->svc->counters.replications, 1);
	return service_send_shared(ls->svc, addr, &m);
}

void stream_push(struct local_slice *ls)
{
	struct stream_out *o = &ls->out;
	const char *addr;

	if (!stream_is_current(ls) || o->sent >= o->last)
		return;
	addr = service_address(ls->svc, o->backup);
	if (!addr || !claims_ensure_table(ls))
		return;
	if (o->sent == o->acked)
		o->progress_us = service_now(ls->svc);
	while (o->sent < o->last && o->sent - o->acked < WINDOW_CHANGES) {
		if (send_change(ls, addr, o->sent + 1) != FP_OK)
			return;
		o->sent++;
	}
}

static void rewind_to_acked(struct local_slice *ls)
{
	ls->out.sent = ls->out.acked;
	ls->out.progress_us = service_now(ls->svc);
	ls->out.rewound_us = ls->out.progress_us;
	fp_counter_add(ls->svc->counters.resends, 1);
	stream_push(ls);
}

void stream_tick(struct local_slice *ls)
{
	struct stream_out *o = &ls->out;

	if (o->sent > o->acked &&
	    service_now(ls->svc) - o->progress_us >= RESEND_TIMEOUT_US)
		rewind_to_acked(ls);
	else
		stream_push(ls);
}

static void add_name(void *ctx, const struct fp_claim *claim)
{
	struct stream_out *o = ctx;

	o->last++;
	memcpy(name_of(o, o->last), claim->name, FP_CLAIM_NAME_BYTES);
}

static bool open_stream(struct local_slice *ls, uint64_t epoch, uint64_t backup)
{
	struct stream_out *o = &ls->out;
	struct waiter *w;
	uint64_t bytes;
	uint32_t n;

	if (!claims_ensure_table(ls))
		return false;
	stream_drop(ls);
	fp_claims_count(ls->claims, &n, &bytes);
	if (!make_room(o, n))
		return false;
	fp_claims_for_each(ls->claims, add_name, o);
	o->epoch = epoch;
	o->backup = backup;
	o->snapshot_seq = o->last;
	for (w = ls->waiters; w; w = w->next)
		w->seq = o->snapshot_seq;
	return true;
}

void stream_begin(struct local_slice *ls, uint64_t epoch, uint64_t backup)
{
	struct fp_msg_view m = { .type = FP_MSG_VIEW_SNAPSHOT };
	const char *addr = service_address(ls->svc, backup);
	msgpack_sbuffer buf;

	if ((ls->out.epoch != epoch || ls->out.backup != backup) &&
	    !open_stream(ls, epoch, backup))
		return;
	if (!addr)
		return;
	m.snapshot.slice = ls->slice.index;
	m.snapshot.epoch = epoch;
	m.snapshot.snapshot_seq = ls->out.snapshot_seq;
	msgpack_sbuffer_init(&buf);
	fp_msg_view_encode(&m, &buf);
	/* TRANSFER must be sent first. */
	service_flush(ls->svc);
	ls->svc->ops.send(ls->svc->ops.ctx, addr, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
	stream_push(ls);
}

void stream_drop(struct local_slice *ls)
{
	free(ls->out.names);
	memset(&ls->out, 0, sizeof(ls->out));
}

/* --- backup --- */

static bool is_from_primary(const struct local_slice *ls, uint64_t from,
			    uint64_t epoch)
{
	return ls->slice.role == FP_SLICE_ROLE_BACKUP &&
	       ls->slice.view.epoch == epoch &&
	       ls->slice.view.primary.id == from;
}

/* Reports when all changes of the snapshot are applied. */
static void check_snapshot(struct local_slice *ls)
{
	if (ls->in.applied >= ls->in.snapshot_seq)
		service_state_received(ls, ls->in.epoch);
}

void stream_on_snapshot(struct local_slice *ls, uint64_t from,
			const struct fp_view_snapshot *m)
{
	if (!is_from_primary(ls, from, m->epoch))
		return;
	if (ls->in.epoch != m->epoch) {
		claims_drop(ls);
		ls->in.epoch = m->epoch;
		ls->in.snapshot_seq = m->snapshot_seq;
		ls->in.applied = 0;
	}
	check_snapshot(ls);
}

/* Applies a change as received; FP_FULL if there is no room. */
static enum fp_status apply(struct local_slice *ls,
			    const struct fp_claim_replicate *r)
{
	int64_t now_us = service_now(ls->svc);
	struct fp_claim claim = r->claim;

	if (!claims_ensure_table(ls))
		return FP_FULL;
	if (r->drop) {
		fp_claims_drop(ls->claims, claim.name);
		return FP_OK;
	}
	if (!fp_claims_find(ls->claims, claim.name, now_us) &&
	    !claims_have_room(ls->svc))
		return FP_FULL;
	if (!claims_have_answer_room(ls->svc, claim.answer_bytes)) {
		claim.answer = NULL;
		claim.answer_bytes = 0;
	}
	claim.created_us = now_us - r->age_us;
	return fp_claims_put(ls->claims, &claim, now_us) == FP_FULL ? FP_FULL :
								      FP_OK;
}

void stream_on_replicate(struct local_slice *ls, uint64_t from,
			 const struct fp_msg_shared *m)
{
	const struct fp_claim_replicate *r = &m->claim_replicate;
	struct fp_msg_shared a = { .type = FP_MSG_CLAIM_REPLICATED,
				   .id = m->id };
	bool next = r->seq == ls->in.applied + 1;

	if (!is_from_primary(ls, from, r->epoch) || ls->in.epoch != r->epoch)
		return;
	if (next && apply(ls, r) == FP_OK) {
		ls->in.applied = r->seq;
		check_snapshot(ls);
	}
	a.claim_replicated.slice = r->slice;
	a.claim_replicated.epoch = r->epoch;
	a.claim_replicated.seq = ls->in.applied;
	a.claim_replicated.ok = r->seq <= ls->in.applied;
	service_send_shared(ls->svc, ls->svc->sender_addr, &a);
}

/* --- primary --- */

/* Handles a backup that has no room for the change that it expects next.
 * Returns whether the claim of that change was dropped. */
static bool drop_refused(struct local_slice *ls, uint64_t id)
{
	uint8_t name[FP_CLAIM_NAME_BYTES];

	if (id != ls->out.acked + 1 || ls->out.acked >= ls->out.last)
		return false;
	memcpy(name, name_of(&ls->out, id), sizeof(name));
	return claims_on_backup_full(ls, id, name);
}

void stream_on_replicated(struct local_slice *ls, uint64_t from,
			  const struct fp_msg_shared *m)
{
	const struct fp_claim_replicated *r = &m->claim_replicated;
	struct stream_out *o = &ls->out;
	int64_t now_us = service_now(ls->svc);
	bool refused;

	if (!stream_is_current(ls) || from != o->backup ||
	    r->epoch != o->epoch || r->seq > o->last)
		return;
	if (r->seq > o->acked) {
		o->acked = r->seq;
		o->progress_us = now_us;
		if (o->sent < o->acked)
			o->sent = o->acked;
	}
	refused = !r->ok && m->id == r->seq + 1 && drop_refused(ls, m->id);
	if (refused || (!r->ok && now_us - o->rewound_us >= REWIND_INTERVAL_US))
		rewind_to_acked(ls);
	claims_answer_waiters(ls);
	stream_push(ls);
}
