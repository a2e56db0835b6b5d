/*
 * directory_relay.c - one node of a failure domain reads the store for all
 *
 * The member of a domain whose name sorts first is its delegate, the others are
 * its followers. The delegate reads the configuration record each second. To
 * each follower that has sent a request in that time it sends the revision in
 * the store and the age of its read. A follower that has an older revision asks
 * the delegate for the record, and reads the store only if that fails. So the
 * number of calls to the store grows with domains and changes, not with nodes,
 * and a node that the store refuses still gets new records.
 *
 * The answer also names the newest configuration that the delegate knows. While the
 * store, back from an older copy, holds an earlier one, nobody that has heard of
 * the later one counts the record as confirmed.
 *
 * The delegate also sends the changes of member records since the revision in a
 * follower's request, as soon as it receives them, so that followers need not
 * watch the store. Lost updates are sent again, because the next request names
 * the same revision.
 *
 * The answer is sent after the request, and the delegate read the store age_us
 * before it sent the answer. So the record was the newest one age_us before the
 * request, on the follower's own clock, whatever the latency of either message.
 *
 * There is no election. A delegate that does not answer in time, or reports
 * FP_UNAVAILABLE, is not used for SUSPEND_US, and the next member by name is
 * asked. All followers of a domain go through the same order, so they meet at
 * the same successor. A node that is asked reads the store for SERVE_US, also if
 * it still follows the old delegate. After MAX_FAILED delegates a node reads the
 * store once itself, so that a confirmation is never older than a few timeouts.
 *
 * A node that the store refuses asks the other members in the same way, also
 * those behind it in the order: it is confirmed by any member of its domain that
 * the store serves.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "coordination/directory_private.h"

/* From an answer to the next request: half of the delegate's period of 1 s, so
 * that the request arrives before the delegate's next read. */
#define REQUEST_DELAY_US (500 * FP_US_PER_MS)
/* The other half of the period, plus 300 ms for the store's answer. */
#define ANSWER_TIMEOUT_US (800 * FP_US_PER_MS)
/* About the length of a lease: the record of a delegate that has ended is
 * missing at about that time. */
#define SUSPEND_US (5 * FP_US_PER_S)
/* A read that is younger answers a request at once; otherwise the next read
 * does, which begins before the request times out. */
#define FRESH_US (250 * FP_US_PER_MS)
/* A node reads the store for others this long after their last request, which
 * they repeat about each second. */
#define SERVE_US (2 * FP_US_PER_S)
/* Delegates that may fail in a row before this node reads the store itself. */
#define MAX_FAILED 2

/* A delegate sends the record at once. The time must be short: a change has to
 * be in force within two seconds, and half of that has passed. */
#define RECORD_TIMEOUT_US (300 * FP_US_PER_MS)
/* Longest record that a delegate may announce; that of a store's value. */
#define MAX_CONFIG_BYTES (1u << 20)

/* Without a confirmation by the delegate for this time the store is watched
 * again; long enough for a change to the successor of a lost delegate. */
#define FEED_TIMEOUT_US (2500 * FP_US_PER_MS)
/* Updates count as lost after more successive answers than this that carry a
 * later revision than the known one. */
#define MAX_BEHIND 2

static bool may_be_delegate(const struct fp_directory *d,
			    const struct directory_record *rec)
{
	return !rec->missing_us &&
	       fp_loop_now_us(d->loop) >= rec->suspended_until_us &&
	       strcmp(rec->member.failure_domain, d->cfg.self.failure_domain) ==
		       0 &&
	       strcmp(rec->member.name, d->cfg.self.name) != 0;
}

/* The first usable member by name; this node itself if there is no other. */
static const struct fp_member *delegate(const struct fp_directory *d)
{
	bool refused = fp_loop_now_us(d->loop) < d->own_suspended_until_us;
	const struct fp_member *best = refused ? NULL : &d->cfg.self;
	const struct directory_record *rec;

	for (rec = d->records; rec; rec = rec->next)
		if (may_be_delegate(d, rec) &&
		    (!best || strcmp(rec->member.name, best->name) < 0))
			best = &rec->member;
	return best ? best : &d->cfg.self;
}

bool directory_reads_store(const struct fp_directory *d)
{
	return delegate(d) == &d->cfg.self ||
	       fp_loop_now_us(d->loop) < d->serves_until_us;
}

static void log_delegate(struct fp_directory *d, const struct fp_member *m)
{
	if (d->delegate_id == m->id)
		return;
	d->delegate_id = m->id;
	fp_log(FP_LOG_INFO, "delegate", "member=%s self=%d", m->name,
	       m == &d->cfg.self);
}

/* Watches the store at once instead of waiting for the delegate's updates: this
 * node may have to answer others. */
static void stop_feed(struct fp_directory *d)
{
	if (d->feed.active && !directory_feed_is_active(d) &&
	    !d->members_pending)
		directory_schedule(&d->members, 0);
}

bool directory_query_delegate(struct fp_directory *d)
{
	struct fp_msg_shared m = { .type = FP_MSG_CONFIRM_REQUEST };
	const struct fp_member *to = delegate(d);

	log_delegate(d, to);
	if (directory_reads_store(d))
		stop_feed(d);
	if (directory_reads_store(d) || !d->config_valid || d->newer_reported)
		return false;
	if (d->n_delegates_failed >= MAX_FAILED &&
	    fp_loop_now_us(d->loop) >= d->own_suspended_until_us) {
		d->n_delegates_failed = 0;
		return false;
	}
	/* This node is a follower now: refuse requests accepted before. */
	directory_answer_followers(d, FP_UNAVAILABLE);
	d->delegate_pending = true;
	d->config_requested_us = fp_mono_us(d->cfg.clock);
	m.id = ++d->request_id;
	m.confirm_request.members_revision = d->members_revision;
	d->feed.requested_revision = d->members_revision;
	d->feed.n_updates = 0;
	d->ops.send(d->ops.ctx, to->peer_addr, &m);
	directory_schedule(&d->config, ANSWER_TIMEOUT_US);
	return true;
}

static void suspend_delegate(struct fp_directory *d, const char *why)
{
	struct directory_record *rec = d->records;

	d->delegate_pending = false;
	d->n_delegates_failed++;
	while (rec && rec->member.id != d->delegate_id)
		rec = rec->next;
	if (rec)
		rec->suspended_until_us = fp_loop_now_us(d->loop) + SUSPEND_US;
	fp_log(FP_LOG_INFO, "delegate_suspended",
	       "member_id=%016" PRIx64 " why=%s", d->delegate_id, why);
}

void directory_own_read_failed(struct fp_directory *d)
{
	d->own_suspended_until_us = fp_loop_now_us(d->loop) + SUSPEND_US;
	d->serves_until_us = 0;
	/* Another member may be served; no backoff, since each is asked only
	 * once in SUSPEND_US. */
	if (d->config_valid && delegate(d) != &d->cfg.self)
		directory_schedule(&d->config, 0);
}

void directory_delegate_timed_out(struct fp_directory *d)
{
	suspend_delegate(d, "timeout");
}

/* Whether this node has all changes since a revision from the store itself. */
static bool has_all_changes(const struct fp_directory *d, uint64_t after)
{
	return d->has_members && d->members_revision && !d->members.failing &&
	       !d->feed.active && after >= d->listing_revision;
}

/* Sends the changes that the follower lacks; returns their number. */
static uint32_t send_updates(struct fp_directory *d,
			     const struct directory_follower *follower)
{
	struct fp_msg_shared m = { .type = FP_MSG_MEMBER_CHANGE,
				   .id = follower->request_id };
	const struct directory_record *rec;
	uint32_t n = 0;

	for (rec = d->records; rec; rec = rec->next) {
		if (directory_change_revision(rec) <=
		    follower->members_revision)
			continue;
		m.member_change.base_revision = follower->members_revision;
		m.member_change.revision = directory_change_revision(rec);
		m.member_change.removed = rec->missing_us != 0;
		memcpy(m.member_change.name, rec->member.name,
		       sizeof(m.member_change.name));
		directory_encode_member(&rec->member, m.member_change.record,
					sizeof(m.member_change.record));
		d->ops.send(d->ops.ctx, follower->addr, &m);
		n++;
	}
	return n;
}

static void send_changes(struct fp_directory *d,
			 struct directory_follower *follower)
{
	struct fp_msg_shared m = { .type = FP_MSG_MEMBER_CHANGES_END,
				   .id = follower->request_id };

	if (!follower->members_revision ||
	    follower->members_revision >= d->members_revision ||
	    !has_all_changes(d, follower->members_revision))
		return;
	m.member_changes_end.n_changes = send_updates(d, follower);
	m.member_changes_end.base_revision = follower->members_revision;
	m.member_changes_end.revision = d->members_revision;
	d->ops.send(d->ops.ctx, follower->addr, &m);
	follower->members_revision = d->members_revision;
}

void directory_notify_followers(struct fp_directory *d)
{
	struct directory_follower *follower;

	for (follower = d->followers; follower; follower = follower->next)
		send_changes(d, follower);
}

static void answer(struct fp_directory *d, const char *addr,
		   uint64_t request_id, uint64_t members_revision,
		   enum fp_status st)
{
	struct fp_msg_shared m = { .type = FP_MSG_CONFIRM_RESPONSE,
				   .id = request_id };

	m.confirm_response.status = st;
	m.confirm_response.item_revision = d->config_item_revision;
	m.confirm_response.newest_revision = d->newest_revision;
	m.confirm_response.age_us =
		fp_mono_us(d->cfg.clock) - d->config_read_us;
	m.confirm_response.members_complete =
		has_all_changes(d, members_revision);
	m.confirm_response.members_revision = d->members_revision;
	m.confirm_response.evacuation = d->evacuation;
	d->ops.send(d->ops.ctx, addr, &m);
}

void directory_answer_followers(struct fp_directory *d, enum fp_status st)
{
	struct directory_follower *follower;

	while ((follower = d->followers)) {
		d->followers = follower->next;
		answer(d, follower->addr, follower->request_id,
		       follower->members_revision, st);
		free(follower);
	}
}

/* Reads the store from now on; an open request to the old delegate is dropped. */
static void become_delegate(struct fp_directory *d)
{
	fp_log(FP_LOG_INFO, "delegate", "member=%s self=1 why=asked",
	       d->cfg.self.name);
	d->delegate_id = d->cfg.self.id;
	d->delegate_pending = false;
	d->serves_until_us = fp_loop_now_us(d->loop) + SERVE_US;
	stop_feed(d);
	directory_schedule(&d->config, 0);
}

/* A newer request of a member replaces its older one, so the list has at most
 * one entry per member. */
static void on_request(struct fp_directory *d, const char *addr,
		       uint64_t request_id, uint64_t members_revision)
{
	struct directory_follower *follower = d->followers;

	if (d->config.failing || !d->config_valid) {
		answer(d, addr, request_id, 0, FP_UNAVAILABLE);
		return;
	}
	if (!directory_reads_store(d))
		become_delegate(d);
	d->serves_until_us = fp_loop_now_us(d->loop) + SERVE_US;
	if (fp_mono_us(d->cfg.clock) - d->config_read_us < FRESH_US) {
		answer(d, addr, request_id, members_revision, FP_OK);
		return;
	}
	while (follower && strcmp(follower->addr, addr) != 0)
		follower = follower->next;
	if (!follower) {
		follower = calloc(1, sizeof(*follower));
		if (!follower)
			abort();
		strncpy(follower->addr, addr, sizeof(follower->addr) - 1);
		follower->next = d->followers;
		d->followers = follower;
	}
	follower->request_id = request_id;
	follower->members_revision = members_revision;
	send_changes(d, follower);
}

bool directory_feed_is_active(struct fp_directory *d)
{
	bool active = d->feed.confirmed_us &&
		      fp_loop_now_us(d->loop) - d->feed.confirmed_us <
			      FEED_TIMEOUT_US &&
		      !directory_reads_store(d);

	if (active != d->feed.active)
		fp_log(FP_LOG_INFO, "member_feed",
		       "active=%d delegate=%016" PRIx64
		       " revision=" FP_REVISION_FORMAT,
		       active, d->delegate_id,
		       FP_REVISION_ARGS(d->members_revision));
	d->feed.active = active;
	if (active)
		d->n_own_watches = 0;
	return active;
}

/* Updates whether the delegate's feed of member changes is usable. */
static void check_feed(struct fp_directory *d,
		       const struct fp_confirm_response *response)
{
	if (!d->feed.requested_revision)
		return;
	if (response->members_revision <= d->members_revision)
		d->feed.n_behind = 0;
	else if (!d->members_pending)
		d->feed.n_behind++;
	if (response->members_complete && d->feed.n_behind <= MAX_BEHIND)
		d->feed.confirmed_us = fp_loop_now_us(d->loop);
	else
		d->feed.confirmed_us = 0;
}

static void on_updates_end(struct fp_directory *d,
			   const struct fp_member_changes_end *end)
{
	bool complete = end->n_changes == d->feed.n_updates &&
			end->base_revision == d->members_revision;

	d->feed.n_updates = 0;
	if (complete)
		directory_updates_complete(d, end->revision);
}

/* --- the record --- */

static void request_record(struct fp_directory *d, const char *addr,
			   uint64_t item_revision)
{
	struct fp_msg_shared m = { .type = FP_MSG_CONFIG_REQUEST };

	directory_text_clear(&d->received);
	d->record_pending = true;
	d->config_requested_us = fp_mono_us(d->cfg.clock);
	m.id = ++d->request_id;
	m.config_request.item_revision = item_revision;
	m.config_request.known_revision = d->config_item_revision;
	d->ops.send(d->ops.ctx, addr, &m);
	directory_schedule(&d->config, RECORD_TIMEOUT_US);
}

void directory_record_timed_out(struct fp_directory *d)
{
	d->record_pending = false;
	directory_text_clear(&d->received);
	fp_log(FP_LOG_INFO, "config_not_sent", "member_id=%016" PRIx64,
	       d->delegate_id);
}

/* Sends the record if it is the one that was asked for. */
static void on_record_request(struct fp_directory *d, const char *addr,
			      uint64_t request_id,
			      const struct fp_config_request *request)
{
	const struct directory_text *t = &d->read_text;
	struct fp_msg_shared m = { .type = FP_MSG_CONFIG_PART,
				   .id = request_id };
	struct fp_config_part *part = &m.config_part;
	uint32_t n;

	if (!t->text || t->item_revision != request->item_revision ||
	    t->item_revision <= request->known_revision || d->config.failing)
		return;
	part->item_revision = t->item_revision;
	part->age_us = fp_mono_us(d->cfg.clock) - d->config_read_us;
	part->total_bytes = t->bytes;
	for (part->offset = 0; part->offset < t->bytes; part->offset += n) {
		n = t->bytes - part->offset;
		if (n > sizeof(part->text) - 1)
			n = sizeof(part->text) - 1;
		memcpy(part->text, t->text + part->offset, n);
		part->text[n] = '\0';
		d->ops.send(d->ops.ctx, addr, &m);
	}
}

static void apply_received(struct fp_directory *d, int64_t age_us)
{
	struct directory_text *t = &d->received;

	d->record_pending = false;
	d->newer_reported = false;
	d->config_valid =
		directory_apply_config(d, t->text, t->bytes, t->item_revision);
	d->config_item_revision = t->item_revision;
	directory_text_clear(t);
	directory_text_clear(&d->read_text); /* older */
	if (d->config_valid && !directory_record_is_old(d))
		d->ops.config_confirmed(d->ops.ctx,
					d->config_requested_us - age_us);
	directory_schedule(&d->config, d->config_valid ? REQUEST_DELAY_US : 0);
}

/* Adds the next part and ignores any other. If one is missing, the store is read
 * at the timeout. */
static void on_record_part(struct fp_directory *d,
			   const struct fp_config_part *part)
{
	struct directory_text *t = &d->received;
	uint32_t n = (uint32_t)strlen(part->text);

	if (part->item_revision <= d->config_item_revision ||
	    part->total_bytes > MAX_CONFIG_BYTES || part->offset != t->bytes ||
	    part->total_bytes - t->bytes < n ||
	    (t->text && (t->item_revision != part->item_revision ||
			 t->total_bytes != part->total_bytes)))
		return;
	if (!t->text) {
		t->text = malloc(part->total_bytes + 1);
		if (!t->text)
			abort();
		t->item_revision = part->item_revision;
		t->total_bytes = part->total_bytes;
	}
	memcpy(t->text + t->bytes, part->text, n);
	t->bytes += n;
	if (t->bytes == t->total_bytes)
		apply_received(d, part->age_us);
}

static void on_answer(struct fp_directory *d, const char *addr,
		      uint64_t request_id,
		      const struct fp_confirm_response *response)
{
	if (!d->delegate_pending || request_id != d->request_id)
		return;
	if (response->status != FP_OK ||
	    response->item_revision < d->config_item_revision) {
		suspend_delegate(d, response->status != FP_OK ? "unavailable" :
								"old");
		directory_schedule(&d->config, 0);
		return;
	}
	d->delegate_pending = false;
	d->n_delegates_failed = 0;
	directory_note_config_revision(d, response->newest_revision);
	directory_apply_evacuation(d, &response->evacuation, "delegate",
				   response->age_us);
	check_feed(d, response);
	d->newer_reported = response->item_revision != d->config_item_revision;
	if (!d->newer_reported && !directory_record_is_old(d))
		d->ops.config_confirmed(d->ops.ctx, d->config_requested_us -
							    response->age_us);
	if (d->newer_reported)
		request_record(d, addr, response->item_revision);
	else
		directory_schedule(&d->config, REQUEST_DELAY_US);
}

void fp_directory_message(struct fp_directory *d, const char *addr,
			  const struct fp_msg_shared *m)
{
	/* Updates must belong to the open request. While a members call to
	 * the store is in flight, its answer replaces them. */
	bool updates_expected = d->delegate_pending && m->id == d->request_id &&
				!d->members_pending;

	if (d->closed)
		return;
	if (m->type == FP_MSG_CONFIRM_REQUEST)
		on_request(d, addr, m->id, m->confirm_request.members_revision);
	else if (m->type == FP_MSG_CONFIRM_RESPONSE)
		on_answer(d, addr, m->id, &m->confirm_response);
	else if (m->type == FP_MSG_CONFIG_REQUEST)
		on_record_request(d, addr, m->id, &m->config_request);
	else if (m->type == FP_MSG_CONFIG_PART && d->record_pending &&
		 m->id == d->request_id)
		on_record_part(d, &m->config_part);
	else if (m->type == FP_MSG_MEMBER_CHANGE && updates_expected)
		directory_apply_update(d, &m->member_change);
	else if (m->type == FP_MSG_MEMBER_CHANGES_END && updates_expected)
		on_updates_end(d, &m->member_changes_end);
}
