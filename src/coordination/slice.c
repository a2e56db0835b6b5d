/*
 * slice.c - ownership of one slice as seen by one node
 *
 * The view record in the store names a primary and a backup. Ownership is
 * decided only by compare-and-swap on that record; nodes do not vote. A primary
 * may act while it holds at least one of three rights. Each is bounded on the
 * primary's own clock and checked again at every act:
 *
 *   promise  With a ready backup: the backup promised not to take over for a
 *            span. The primary counts the span from before it sent the
 *            request. The backup counts it from its answer and adds the clock
 *            drift, so the promise ends first at the primary.
 *   store    Without a ready backup: a write to the record. The primary counts
 *            from before it sent the write. Other nodes may replace it only
 *            after they have seen the record unchanged for longer than that,
 *            and only by a CAS from that very version.
 *   consent  The other node of a ready pair gave up this epoch for good: the
 *            primary by HANDOVER, the backup by RESIGN. Then only the
 *            remaining node can act or take over, so the right has no time
 *            limit until that node writes to the store. From the time at which
 *            it sends a write, the right is capped like the store right. The
 *            cap is lifted if that write is known to have had no effect and
 *            no earlier write is in doubt.
 *
 * A record with a ready backup is never renewed: in the steady state the pair
 * makes no store calls and keeps working through a store outage. Other nodes
 * therefore cannot tell from the record whether the pair is alive. A third
 * node takes over only when both are proven to have terminated.
 *
 * A write whose answer is lost may take effect much later. Until its base
 * version is known to be superseded ("in doubt"), the node neither gives nor
 * requests promises, because other nodes may already count from that write.
 * Instead it writes again from the same version: at most one of the two writes
 * can succeed, and the other fails for good.
 *
 * A backup that receives a view in which it is ready waits for a full store
 * right before it may take over, because the primary may still act under that
 * right.
 */
#include "coordination/slice.h"

#include <string.h>

/* Interval between requests for a promise. */
#define PROMISE_REQUEST_US INT64_C(500000)
/* The backup is replaced after this long without a promise. */
#define BACKUP_SILENCE_US INT64_C(1200000)
/* Interval between writes of a primary without ready backup. */
#define RENEWAL_US INT64_C(1500000)
/* Resend intervals: HANDOVER or RESIGN until acknowledged, and TRANSFER. */
#define RELEASE_RESEND_US  INT64_C(200000)
#define TRANSFER_RESEND_US INT64_C(2000000)
/* Another backup is chosen when a transfer takes longer. */
#define TRANSFER_TIMEOUT_US INT64_C(10000000)
/* Interval between reads of the record while the owner is not known to be
 * alive, and while it is. */
#define OWNER_CHECK_FAST_US INT64_C(1000000)
#define OWNER_CHECK_SLOW_US INT64_C(10000000)
/* Minimum delay after a failed store call; jitter of up to the same length is
 * added. */
#define STORE_RETRY_US INT64_C(300000)
/* An answer of the store is recent up to this age. */
#define STORE_RECENT_US INT64_C(1000000)
/* A gap of this length between ticks shows that the process was paused. No
 * takeover follows for TAKEOVER_HOLD_US, so that queued messages are handled
 * first. */
#define PAUSE_DETECT_US	 INT64_C(500000)
#define TAKEOVER_HOLD_US INT64_C(500000)

static int64_t with_drift(int64_t span_us)
{
	return span_us + span_us / FP_SLICE_DRIFT_DIVISOR;
}

static int64_t latest_us(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static bool is_self(const struct fp_slice *s, const struct fp_slice_node *n)
{
	return n->id == s->host->self.id;
}

static enum fp_slice_member member(const struct fp_slice *s, uint64_t id)
{
	return s->host->ops->member(s->host, id);
}

/* Whether a write is in flight or its effect is unknown. */
static bool write_pending(const struct fp_slice *s)
{
	return s->write_in_doubt ||
	       (s->store_call.busy && s->store_call.is_cas);
}

static bool is_ready_backup(const struct fp_slice *s)
{
	return s->role == FP_SLICE_ROLE_BACKUP && s->view.backup_ready &&
	       s->state_epoch == s->view.epoch;
}

bool fp_slice_may_act(const struct fp_slice *s, int64_t now_us)
{
	if (s->role != FP_SLICE_ROLE_PRIMARY || s->released)
		return false;
	if (now_us < s->promise_given_until_us)
		return false;
	return now_us < s->promise_held_until_us ||
	       now_us < s->store_until_us ||
	       (s->consent && now_us < s->consent_until_us);
}

/* Calls the node back when the right to act is gained or lost. */
static void report_acting(struct fp_slice *s, int64_t now_us)
{
	const struct fp_slice_ops *ops = s->host->ops;
	bool may = fp_slice_may_act(s, now_us);

	if (s->acting && !may) {
		s->acting = false;
		ops->stopped_acting(s->host, s->index, s->ownership.epoch);
	}
	if (!s->acting && may) {
		s->acting = true;
		s->ownership.resumed = s->ownership_reported;
		s->ownership_reported = true;
		s->ownership.epoch = s->view.epoch;
		ops->became_primary(s->host, s->index, &s->ownership);
	}
}

static void send_msg(struct fp_slice *s, enum fp_msg_slice_type type,
		     uint64_t to, int64_t request_us, int64_t now_us)
{
	struct fp_msg_slice m = { 0 };

	m.type = type;
	m.from = s->host->self.id;
	m.to = to;
	m.request_us = request_us;
	m.n_items = 1;
	m.items[0].slice = s->index;
	m.items[0].epoch = s->view.epoch;
	m.items[0].version = s->version;
	if (s->claims_lost_until_us > now_us)
		m.items[0].claims_lost_for_us =
			s->claims_lost_until_us - now_us;
	s->host->ops->send(s->host, &m);
}

/* Acknowledges with the sender's epoch, even if the view here differs. */
static void send_ack(struct fp_slice *s, enum fp_msg_slice_type type,
		     const struct fp_msg_slice *m,
		     const struct fp_msg_slice_item *it)
{
	struct fp_msg_slice a = { 0 };

	a.type = type;
	a.from = s->host->self.id;
	a.to = m->from;
	a.request_us = m->request_us;
	a.n_items = 1;
	a.items[0] = *it;
	a.items[0].claims_lost_for_us = 0;
	s->host->ops->send(s->host, &a);
}

/* Clears every right to act and the flags of the present ownership. */
static void drop_rights(struct fp_slice *s)
{
	s->promise_held_until_us = 0;
	s->store_until_us = 0;
	s->consent_until_us = 0;
	s->consent = false;
	s->released = false;
	s->handover_acked = false;
	s->ownership_reported = false;
}

static void begin_ownership(struct fp_slice *s, bool holds_state, bool first,
			    int64_t vacant_from_us, int64_t now_us)
{
	s->ownership.epoch = s->view.epoch;
	s->ownership.state_lost = !holds_state && !first;
	s->ownership.first_owner = first;
	s->ownership.vacant_from_us = vacant_from_us;
	if (s->ownership.state_lost)
		s->claims_lost_until_us = now_us + s->host->claim_lifetime_us;
	else if (first)
		s->claims_lost_until_us = 0;
}

static void enter_primary(struct fp_slice *s, bool new_epoch, int64_t now_us)
{
	if (s->role != FP_SLICE_ROLE_PRIMARY) {
		s->role = FP_SLICE_ROLE_PRIMARY;
		drop_rights(s);
		begin_ownership(s, s->store_call.holds_state,
				s->store_call.next.epoch == 1,
				s->store_call.vacant_from_us, now_us);
	}
	s->view_stored = true;
	s->last_promise_us = now_us;
	if (!new_epoch)
		return;
	s->promise_held_until_us = 0;
	s->consent = false;
	s->consent_until_us = 0;
	s->transfer_sent_us = 0;
	s->transfer_done = false;
	s->transfer_began_us = now_us;
}

static void enter_backup(struct fp_slice *s, bool new_pair, int64_t now_us)
{
	s->role = FP_SLICE_ROLE_BACKUP;
	if (!new_pair)
		return;
	s->resigned = false;
	s->resign_acked = false;
	if (s->view.backup_ready)
		s->promise_given_until_us =
			now_us + with_drift(FP_SLICE_STORE_RIGHT_US);
}

/* Sets a view that the store holds or has held. */
static void set_view(struct fp_slice *s, const struct fp_slice_view *v,
		     uint64_t version, int64_t now_us)
{
	/* Consent raises the epoch before the record does, so the epoch alone
	 * does not tell whether the view is new. */
	bool new_epoch =
		!s->view_known || v->epoch != s->view.epoch || !s->view_stored;
	bool was_ready = s->view.backup_ready && !new_epoch;

	s->view_known = true;
	s->write_in_doubt = false;
	s->version = version;
	s->view = *v;
	s->version_seen_us = now_us;
	s->version_confirmed_us = now_us;
	if (is_self(s, &v->primary)) {
		enter_primary(s, new_epoch, now_us);
		return;
	}
	s->view_stored = true;
	if (s->role == FP_SLICE_ROLE_PRIMARY)
		drop_rights(s);
	/* A promise ends with its pair. A node outside the pair waits for the
	 * end of the store right instead, which is longer. */
	if (!was_ready)
		s->promise_given_until_us = 0;
	if (is_self(s, &v->backup))
		enter_backup(s, !was_ready, now_us);
	else
		s->role = FP_SLICE_ROLE_NONE;
}

/* Adopts a view, read from the store or received, if it is newer. */
static void adopt(struct fp_slice *s, const struct fp_slice_view *v,
		  uint64_t version, int64_t now_us)
{
	if (s->view_known && version <= s->version)
		return;
	set_view(s, v, version, now_us);
}

static void back_off(struct fp_slice *s, int64_t now_us)
{
	int64_t jitter = s->host->ops->random_u32(s->host) % STORE_RETRY_US;

	s->next_store_call_us = now_us + STORE_RETRY_US + jitter;
}

static bool may_call(const struct fp_slice *s, int64_t now_us)
{
	return !s->store_call.busy && now_us >= s->next_store_call_us;
}

static void begin_read(struct fp_slice *s, int64_t now_us)
{
	if (!may_call(s, now_us))
		return;
	s->store_call.busy = true;
	s->store_call.is_cas = false;
	s->store_call.token++;
	s->store_call.sent_us = now_us;
	s->must_read = false;
	s->host->ops->store_read(s->host, s->index, s->store_call.token);
}

/*
 * Whether a write that times out would stop promises. If so, and the store has
 * not answered for STORE_RECENT_US, a read is sent first: it shows whether the
 * store answers, and its timeout has no effect.
 */
static bool doubt_ends_promises(const struct fp_slice *s)
{
	if (s->role == FP_SLICE_ROLE_PRIMARY)
		return s->view.backup_ready || s->consent;
	return s->role == FP_SLICE_ROLE_BACKUP;
}

/* Writes the next view by a CAS from the known version. */
static void begin_cas(struct fp_slice *s, const struct fp_slice_view *next,
		      int64_t now_us)
{
	char text[FP_SLICE_TEXT_BYTES];

	if (!may_call(s, now_us))
		return;
	if (doubt_ends_promises(s) &&
	    now_us - s->store_answer_us > STORE_RECENT_US) {
		begin_read(s, now_us);
		return;
	}
	if (fp_slice_view_format(next, text, sizeof(text)) != FP_OK)
		return;
	s->store_call.busy = true;
	s->store_call.is_cas = true;
	s->store_call.token++;
	s->store_call.sent_us = now_us;
	s->store_call.next = *next;
	if (s->consent &&
	    s->consent_until_us > now_us + FP_SLICE_STORE_RIGHT_US)
		s->consent_until_us = now_us + FP_SLICE_STORE_RIGHT_US;
	s->host->ops->store_cas(s->host, s->index, s->store_call.token,
				s->version, text);
}

/* Builds the view of the next epoch with this node as primary and any backup
 * but not_id. */
static struct fp_slice_view next_view(struct fp_slice *s, uint64_t not_id)
{
	struct fp_slice_view v = { 0 };

	v.epoch = s->view.epoch + 1;
	v.primary = s->host->self;
	v.renewals = s->view.renewals + 1;
	if (!s->host->ops->pick_backup(s->host, s->index, not_id, &v.backup))
		memset(&v.backup, 0, sizeof(v.backup));
	return v;
}

/* Tries to become primary by writing the next epoch. */
static void take_over(struct fp_slice *s, bool holds_state,
		      int64_t vacant_from_us, int64_t now_us)
{
	struct fp_slice_view v;

	if (!may_call(s, now_us))
		return;
	v = next_view(s, s->view.primary.id);
	s->store_call.holds_state = holds_state;
	s->store_call.vacant_from_us = vacant_from_us;
	begin_cas(s, &v, now_us);
}

static bool is_dead(enum fp_slice_member m)
{
	return m == FP_SLICE_MEMBER_DEAD || m == FP_SLICE_MEMBER_TERMINATED;
}

static void send_release(struct fp_slice *s, enum fp_msg_slice_type type,
			 uint64_t to, int64_t now_us)
{
	if (now_us - s->release_sent_us < RELEASE_RESEND_US)
		return;
	s->release_sent_us = now_us;
	send_msg(s, type, to, 0, now_us);
}

static void release_slice(struct fp_slice *s, int64_t now_us)
{
	s->released = true;
	report_acting(s, now_us);
	send_release(s, FP_MSG_SLICE_HANDOVER, s->view.backup.id, now_us);
}

static bool must_replace_backup(const struct fp_slice *s, int64_t now_us)
{
	enum fp_slice_member m = member(s, s->view.backup.id);

	return s->write_in_doubt || s->consent || is_dead(m) ||
	       m == FP_SLICE_MEMBER_LEAVING ||
	       now_us - s->last_promise_us >= BACKUP_SILENCE_US;
}

/* Primary with a ready backup: request promises, replace it, hand over. */
static void tick_with_backup(struct fp_slice *s, int64_t now_us)
{
	struct fp_slice_view v;

	if (must_replace_backup(s, now_us)) {
		v = next_view(s, s->view.backup.id);
		begin_cas(s, &v, now_us);
	} else if (s->stopping && !write_pending(s) &&
		   now_us < s->promise_held_until_us) {
		release_slice(s, now_us);
		return;
	}
	if (write_pending(s) ||
	    now_us - s->promise_requested_us < PROMISE_REQUEST_US)
		return;
	s->promise_requested_us = now_us;
	send_msg(s, FP_MSG_SLICE_PROMISE_REQUEST, s->view.backup.id, now_us,
		 now_us);
}

static void drive_transfer(struct fp_slice *s, int64_t now_us)
{
	if (s->view.backup.id == 0 || s->transfer_done)
		return;
	if (s->transfer_sent_us != 0 &&
	    now_us - s->transfer_sent_us < TRANSFER_RESEND_US)
		return;
	s->transfer_sent_us = now_us;
	send_msg(s, FP_MSG_SLICE_TRANSFER, s->view.backup.id, 0, now_us);
	s->host->ops->transfer(s->host, s->index, s->view.epoch,
			       &s->view.backup);
}

static bool backup_failed(const struct fp_slice *s, int64_t now_us)
{
	enum fp_slice_member m = member(s, s->view.backup.id);

	if (is_dead(m) || m == FP_SLICE_MEMBER_LEAVING)
		return true;
	return !s->transfer_done &&
	       now_us - s->transfer_began_us >= TRANSFER_TIMEOUT_US;
}

/* Primary without a ready backup: renew the record and set up a backup. */
static void tick_without_backup(struct fp_slice *s, int64_t now_us)
{
	bool due = now_us - s->renewed_us >= RENEWAL_US;
	bool has_backup = s->view.backup.id != 0;
	struct fp_slice_view v = s->view;

	v.renewals++;
	if (!has_backup || backup_failed(s, now_us)) {
		v = next_view(s, s->view.backup.id);
		if (v.backup.id == 0 && !has_backup)
			v.epoch = s->view.epoch;
		else
			due = true;
	} else if (s->transfer_done) {
		v.backup_ready = true;
		due = true;
	}
	if (due)
		begin_cas(s, &v, now_us);
	drive_transfer(s, now_us);
}

/* Primary by consent: write the view, which the record does not name yet. */
static void tick_store_view(struct fp_slice *s, int64_t now_us)
{
	struct fp_slice_view v = s->view;

	v.renewals++;
	if (!s->host->ops->pick_backup(s->host, s->index, 0, &v.backup))
		memset(&v.backup, 0, sizeof(v.backup));
	begin_cas(s, &v, now_us);
}

static void tick_primary(struct fp_slice *s, int64_t now_us)
{
	if (s->released) {
		if (!s->handover_acked)
			send_release(s, FP_MSG_SLICE_HANDOVER,
				     s->view.backup.id, now_us);
	} else if (!s->view_stored) {
		tick_store_view(s, now_us);
	} else if (s->view.backup_ready) {
		tick_with_backup(s, now_us);
	} else {
		tick_without_backup(s, now_us);
	}
}

static void tick_backup(struct fp_slice *s, int64_t now_us)
{
	bool terminated =
		member(s, s->view.primary.id) == FP_SLICE_MEMBER_TERMINATED;
	bool promise_over = now_us >= s->promise_given_until_us &&
			    now_us >= s->takeover_hold_until_us;

	if (s->resigned) {
		if (!s->resign_acked)
			send_release(s, FP_MSG_SLICE_RESIGN, s->view.primary.id,
				     now_us);
		return;
	}
	if (terminated || promise_over || s->write_in_doubt) {
		if (terminated && s->promise_given_until_us > now_us)
			s->promise_given_until_us = now_us;
		take_over(s, true, s->promise_given_until_us, now_us);
	} else if (s->stopping && !write_pending(s)) {
		s->resigned = true;
		send_release(s, FP_MSG_SLICE_RESIGN, s->view.primary.id,
			     now_us);
	}
}

/* Whether no node can act any more under the record as last read. */
static bool is_vacant(const struct fp_slice *s, int64_t now_us,
		      int64_t *vacant_from_us)
{
	int64_t span = with_drift(FP_SLICE_STORE_RIGHT_US);
	bool terminated;

	*vacant_from_us = now_us;
	if (s->version == 0)
		return true;
	terminated =
		member(s, s->view.primary.id) == FP_SLICE_MEMBER_TERMINATED;
	if (s->view.backup_ready)
		return terminated && member(s, s->view.backup.id) ==
					     FP_SLICE_MEMBER_TERMINATED;
	if (terminated)
		return true;
	*vacant_from_us = s->version_seen_us + span;
	return s->version_confirmed_us - s->version_seen_us >= span;
}

/* Neither primary nor ready backup: check whether the slice has an owner. */
static void tick_observer(struct fp_slice *s, int64_t now_us)
{
	int64_t vacant_from_us;

	if (s->stopping || (s->role == FP_SLICE_ROLE_NONE &&
			    !s->host->ops->is_candidate(s->host, s->index)))
		return;
	if (s->view_known && is_vacant(s, now_us, &vacant_from_us)) {
		take_over(s, false, vacant_from_us, now_us);
		return;
	}
	if (now_us < s->next_owner_check_us || !may_call(s, now_us))
		return;
	begin_read(s, now_us);
	s->next_owner_check_us = now_us + OWNER_CHECK_SLOW_US;
	if (s->view_known &&
	    member(s, s->view.primary.id) != FP_SLICE_MEMBER_ALIVE)
		s->next_owner_check_us = now_us + OWNER_CHECK_FAST_US;
}

/* Checks the owner sooner if it is no longer known to be alive. */
static void advance_owner_check(struct fp_slice *s, int64_t now_us)
{
	if (s->view_known &&
	    s->next_owner_check_us > now_us + OWNER_CHECK_FAST_US &&
	    member(s, s->view.primary.id) != FP_SLICE_MEMBER_ALIVE)
		s->next_owner_check_us = now_us + OWNER_CHECK_FAST_US;
}

void fp_slice_init(struct fp_slice *s, uint32_t index, struct fp_slice_host *h,
		   int64_t now_us)
{
	memset(s, 0, sizeof(*s));
	s->host = h;
	s->index = index;
	s->view_stored = true;
	s->last_tick_us = now_us;
	s->store_answer_us = now_us - STORE_RECENT_US - 1;
	s->next_owner_check_us =
		now_us + h->ops->random_u32(h) % TAKEOVER_HOLD_US;
}

void fp_slice_tick(struct fp_slice *s, int64_t now_us)
{
	if (now_us - s->last_tick_us >= PAUSE_DETECT_US)
		s->takeover_hold_until_us = now_us + TAKEOVER_HOLD_US;
	s->last_tick_us = now_us;
	report_acting(s, now_us);
	if (s->must_read)
		begin_read(s, now_us);
	if (s->role == FP_SLICE_ROLE_PRIMARY) {
		tick_primary(s, now_us);
	} else if (is_ready_backup(s)) {
		tick_backup(s, now_us);
	} else {
		advance_owner_check(s, now_us);
		tick_observer(s, now_us);
	}
	report_acting(s, now_us);
}

/* Adopts the pair's view as given by a message of the primary. */
static void learn_pair(struct fp_slice *s, const struct fp_msg_slice *m,
		       const struct fp_msg_slice_item *it, bool ready,
		       int64_t now_us)
{
	struct fp_slice_view v = { 0 };

	v.epoch = it->epoch;
	v.primary.id = m->from;
	v.backup = s->host->self;
	v.backup_ready = ready;
	adopt(s, &v, it->version, now_us);
}

static bool is_my_primary(const struct fp_slice *s,
			  const struct fp_msg_slice *m,
			  const struct fp_msg_slice_item *it)
{
	return is_ready_backup(s) && s->view.epoch == it->epoch &&
	       s->view.primary.id == m->from;
}

static void on_promise_request(struct fp_slice *s, const struct fp_msg_slice *m,
			       const struct fp_msg_slice_item *it,
			       int64_t now_us)
{
	int64_t until = now_us + with_drift(FP_SLICE_PROMISE_US);

	if (s->state_epoch == it->epoch)
		learn_pair(s, m, it, true, now_us);
	if (!is_my_primary(s, m, it) || s->resigned || write_pending(s))
		return;
	s->promise_given_until_us = latest_us(s->promise_given_until_us, until);
	send_ack(s, FP_MSG_SLICE_PROMISE, m, it);
}

static void on_promise(struct fp_slice *s, const struct fp_msg_slice *m,
		       const struct fp_msg_slice_item *it, int64_t now_us)
{
	int64_t until = m->request_us + FP_SLICE_PROMISE_US;

	if (s->role != FP_SLICE_ROLE_PRIMARY || !s->view_stored ||
	    it->epoch != s->view.epoch || m->from != s->view.backup.id ||
	    m->request_us > now_us)
		return;
	s->promise_held_until_us = latest_us(s->promise_held_until_us, until);
	s->last_promise_us = latest_us(s->last_promise_us, m->request_us);
}

/* Becomes primary by consent; the record is written later. */
static void on_handover(struct fp_slice *s, const struct fp_msg_slice *m,
			const struct fp_msg_slice_item *it, int64_t now_us)
{
	if (s->state_epoch == it->epoch)
		learn_pair(s, m, it, true, now_us);
	if (!is_my_primary(s, m, it)) {
		if (s->view_known && s->view.epoch > it->epoch)
			send_ack(s, FP_MSG_SLICE_HANDOVER_ACK, m, it);
		return;
	}
	send_ack(s, FP_MSG_SLICE_HANDOVER_ACK, m, it);
	if (s->resigned)
		return;
	s->promise_given_until_us = now_us;
	/* Whether this node becomes primary depends on the pending write. */
	if (write_pending(s))
		return;
	s->role = FP_SLICE_ROLE_PRIMARY;
	drop_rights(s);
	s->view.epoch++;
	s->view.primary = s->host->self;
	memset(&s->view.backup, 0, sizeof(s->view.backup));
	s->view.backup_ready = false;
	s->view_stored = false;
	s->consent = true;
	s->consent_until_us = INT64_MAX;
	begin_ownership(s, true, false, now_us, now_us);
}

static void on_resign(struct fp_slice *s, const struct fp_msg_slice *m,
		      const struct fp_msg_slice_item *it)
{
	bool names_sender = s->role == FP_SLICE_ROLE_PRIMARY &&
			    s->view_stored && s->view.epoch == it->epoch &&
			    s->view.backup.id == m->from &&
			    s->view.backup_ready;

	if (names_sender && !s->released && !write_pending(s)) {
		s->consent = true;
		s->consent_until_us = INT64_MAX;
	}
	send_ack(s, FP_MSG_SLICE_RESIGN_ACK, m, it);
}

static void on_transfer(struct fp_slice *s, const struct fp_msg_slice *m,
			const struct fp_msg_slice_item *it, int64_t now_us)
{
	learn_pair(s, m, it, false, now_us);
	if (s->role != FP_SLICE_ROLE_BACKUP || s->view.epoch != it->epoch)
		return;
	s->transfer_epoch = it->epoch;
	s->claims_lost_until_us = 0;
	if (it->claims_lost_for_us > 0)
		s->claims_lost_until_us = now_us + it->claims_lost_for_us;
	if (s->state_epoch == it->epoch)
		send_ack(s, FP_MSG_SLICE_TRANSFER_DONE, m, it);
}

static void on_acknowledgement(struct fp_slice *s, const struct fp_msg_slice *m,
			       const struct fp_msg_slice_item *it)
{
	if (s->view.epoch != it->epoch)
		return;
	if (m->type == FP_MSG_SLICE_TRANSFER_DONE) {
		if (s->role == FP_SLICE_ROLE_PRIMARY &&
		    m->from == s->view.backup.id)
			s->transfer_done = true;
	} else if (m->type == FP_MSG_SLICE_HANDOVER_ACK) {
		s->handover_acked = s->released;
	} else if (m->type == FP_MSG_SLICE_RESIGN_ACK) {
		s->resign_acked = s->resigned;
	}
}

void fp_slice_message(struct fp_slice *s, const struct fp_msg_slice *m,
		      const struct fp_msg_slice_item *it, int64_t now_us)
{
	if (m->to != s->host->self.id || it->slice != s->index)
		return;
	switch (m->type) {
	case FP_MSG_SLICE_PROMISE_REQUEST:
		on_promise_request(s, m, it, now_us);
		break;
	case FP_MSG_SLICE_PROMISE:
		on_promise(s, m, it, now_us);
		break;
	case FP_MSG_SLICE_HANDOVER:
		on_handover(s, m, it, now_us);
		break;
	case FP_MSG_SLICE_RESIGN:
		on_resign(s, m, it);
		break;
	case FP_MSG_SLICE_TRANSFER:
		on_transfer(s, m, it, now_us);
		break;
	default:
		on_acknowledgement(s, m, it);
		break;
	}
	report_acting(s, now_us);
}

static void on_cas_ok(struct fp_slice *s, uint64_t version, int64_t now_us)
{
	bool was_ready = s->view.backup_ready;

	/* A later version may have been learned in the meantime. */
	if (s->view_known && version < s->version) {
		s->must_read = true;
		return;
	}
	set_view(s, &s->store_call.next, version, now_us);
	s->renewed_us = s->store_call.sent_us;
	s->store_until_us =
		latest_us(s->store_until_us,
			  s->store_call.sent_us + FP_SLICE_STORE_RIGHT_US);
	if (s->view.backup_ready && !was_ready)
		s->host->ops->backup_ready(s->host, s->index, &s->view.backup);
}

static void on_cas(struct fp_slice *s, enum fp_status st, uint64_t version,
		   int64_t now_us)
{
	switch (st) {
	case FP_OK:
		on_cas_ok(s, version, now_us);
		break;
	case FP_CONFLICT:
		s->must_read = true;
		break;
	case FP_UNAVAILABLE:
		if (s->consent && !s->write_in_doubt)
			s->consent_until_us = INT64_MAX;
		back_off(s, now_us);
		break;
	default:
		s->write_in_doubt = true;
		s->must_read = true;
		back_off(s, now_us);
		break;
	}
}

static void on_read(struct fp_slice *s, enum fp_status st, uint64_t version,
		    const char *text, int64_t now_us)
{
	struct fp_slice_view v;

	if (st == FP_NOT_FOUND && !s->view_known) {
		s->view_known = true;
		s->version_seen_us = now_us;
		s->version_confirmed_us = now_us;
	} else if (st == FP_OK && s->view_known && version == s->version) {
		s->version_confirmed_us = now_us;
	} else if (st == FP_OK && fp_slice_view_parse(text, &v) == FP_OK) {
		adopt(s, &v, version, now_us);
	} else {
		back_off(s, now_us);
	}
}

void fp_slice_store_result(struct fp_slice *s, uint64_t token,
			   enum fp_status st, uint64_t version,
			   const char *text, int64_t now_us)
{
	if (!s->store_call.busy || token != s->store_call.token)
		return;
	s->store_call.busy = false;
	if (st == FP_OK || st == FP_CONFLICT || st == FP_NOT_FOUND)
		s->store_answer_us = now_us;
	if (s->store_call.is_cas)
		on_cas(s, st, version, now_us);
	else
		on_read(s, st, version, text, now_us);
	report_acting(s, now_us);
}

void fp_slice_learn_view(struct fp_slice *s, const struct fp_slice_view *v,
			 uint64_t version, int64_t now_us)
{
	adopt(s, v, version, now_us);
	report_acting(s, now_us);
}

void fp_slice_state_received(struct fp_slice *s, uint64_t epoch, int64_t now_us)
{
	if (s->role != FP_SLICE_ROLE_BACKUP || s->view.epoch != epoch ||
	    s->transfer_epoch != epoch)
		return;
	s->state_epoch = epoch;
	send_msg(s, FP_MSG_SLICE_TRANSFER_DONE, s->view.primary.id, 0, now_us);
}

void fp_slice_stop(struct fp_slice *s)
{
	s->stopping = true;
}

/* Whether the node whose acknowledgement is awaited has terminated. */
static bool is_terminated(const struct fp_slice *s,
			  const struct fp_slice_node *n)
{
	return member(s, n->id) == FP_SLICE_MEMBER_TERMINATED;
}

bool fp_slice_stopped(const struct fp_slice *s)
{
	if (!s->stopping)
		return false;
	if (s->role == FP_SLICE_ROLE_PRIMARY)
		return s->released &&
		       (s->handover_acked || is_terminated(s, &s->view.backup));
	if (is_ready_backup(s))
		return s->resigned &&
		       (s->resign_acked || is_terminated(s, &s->view.primary));
	return !write_pending(s);
}

int64_t fp_slice_claims_lost_until_us(const struct fp_slice *s)
{
	return s->claims_lost_until_us;
}

bool fp_slice_get_view(const struct fp_slice *s, struct fp_slice_view *v,
		       uint64_t *version)
{
	*v = s->view;
	*version = s->version;
	return s->view_known;
}

bool fp_slice_view_is_stored(const struct fp_slice *s)
{
	return s->view_stored;
}

uint64_t fp_slice_confirming_backup(const struct fp_slice *s)
{
	/* A backup that resigned never takes over and may have ended. */
	if (s->role != FP_SLICE_ROLE_PRIMARY || s->consent)
		return 0;
	return s->view.backup.id;
}
