/*
 * directory_members.c - this node's record in the store, and the others'
 *
 * A record may be missing because its lease expired while the store was
 * unreachable; its node writes it again as soon as it reaches the store. So a
 * member is removed only when its record has been missing for REMOVE_AFTER_US
 * and a new listing still lacks it. The listing is needed because a watch may
 * hang, and it reports changes only, not which records are absent. A watch
 * therefore ends when the first missing record reaches its timeout. If a call
 * to the store failed in between, REMOVE_AFTER_US starts again when the store
 * answers.
 *
 * The store may do a write that it did not answer seconds later, even after the
 * process that sent it has ended. So a write of the own record takes effect only
 * if the record that it replaces is the one that this process knows. If another
 * process's record is read under this node's name all the same, it is replaced
 * at once. A node spends a rate share only while the others count it: a renewal
 * of the lease extends the validity of the share only while the record that
 * stands under the node's name is its own.
 *
 * The store may come back from a copy that is some seconds old
 * (directory_epoch.c). Each record has a number that rises with the writes of its
 * process. An older record of a process than the one that is known is ignored if
 * it is another's, and written again if it is this node's. A record that is missing
 * may have been under a lease that was lost; its node may spend its share until
 * that would have ended, so the member stays LEASE_US longer. The node itself does
 * not extend the validity of its share before it has seen its record again.
 *
 * While a delegate sends the changes of members (directory_relay.c), the store
 * is not watched. Each node still lists the records itself before it removes a
 * member.
 */
#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "coordination/directory_private.h"
#include "protocol/field.h"
#include "protocol/json.h"

#define NODES_PREFIX "fulmar/nodes/"
/* Pause between watches, so that a watch returns several changes at once. */
#define BATCH_US (400 * FP_US_PER_MS)
/* A follower whose delegate does not send the changes yet pauses this many times
 * as long after its later watches. */
#define MAX_FOLLOWER_BATCHES 3
/* Interval between checks that the delegate still sends changes of members. */
#define FEED_CHECK_US (500 * FP_US_PER_MS)
#define WATCH_MAX_US  (20 * FP_US_PER_S) /* the store allows 30 s */
#define LEASE_US      (6 * FP_US_PER_S) /* covers three lost renewals */
#define RENEW_US      (1500 * FP_US_PER_MS)
/* A live node writes its record again within 2 s of the store's return. */
#define REMOVE_AFTER_US (2500 * FP_US_PER_MS)
/* This node's rate share becomes invalid this long before the others can remove
 * the member, to allow for clock drift. */
#define VALIDITY_MARGIN_US (300 * FP_US_PER_MS)
/* A change of this node's record has been in the store for at most this long
 * when it is read. */
#define READ_DELAY_US FP_US_PER_S
/* After this time all members know a new member, or have been without the store
 * until their own shares became invalid. */
#define ESTABLISHED_US (LEASE_US + REMOVE_AFTER_US)
/* After this time the members of a fleet that starts know each other. */
#define STARTUP_US	 FP_US_PER_S
#define MAX_RECORD_BYTES 2048

/* --- this node's record --- */

static char *encode(const struct fp_member *m)
{
	json_t *j = json_pack("{s:I,s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:b}",
			      "id", (json_int_t)m->id, "name", m->name, "peer",
			      m->peer_addr, "domain", m->failure_domain,
			      "region", m->region, "service", m->service,
			      "slots", (json_int_t)m->slots, "warm_ms",
			      (json_int_t)m->warm_ms, "known_ms",
			      (json_int_t)m->member_since_ms, "sequence",
			      (json_int_t)m->sequence, "serving", m->serving);
	char *text;

	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	if (!text)
		abort();
	return text;
}

void directory_encode_member(const struct fp_member *m, char *text, size_t size)
{
	char *record = encode(m);

	snprintf(text, size, "%s", record);
	free(record);
}

/* Returns whether a call under the lease succeeded; else schedules the next
 * step. */
static bool check_lease_call(struct fp_directory *d, enum fp_status st)
{
	if (st == FP_OK) {
		directory_task_succeeded(&d->own_record);
		return true;
	}
	if (st == FP_NOT_FOUND) {
		fp_log(FP_LOG_WARN, "lease_ended", "lease=%" PRIu64, d->lease);
		/* The store removes the record with the lease. */
		if (d->counted)
			d->own_revision = 0;
		d->lease = 0;
		d->counted = false;
		d->written = false;
		directory_schedule(&d->own_record, 0);
	} else {
		directory_task_failed(&d->own_record, st);
	}
	return false;
}

static bool is_established(const struct fp_directory *d,
			   const struct fp_member *m)
{
	return fp_wall_us(d->cfg.clock) - m->member_since_ms * FP_US_PER_MS >=
	       ESTABLISHED_US;
}

static bool any_other_is_established(const struct fp_directory *d)
{
	const struct directory_record *rec;

	for (rec = d->records; rec; rec = rec->next)
		if (strcmp(rec->member.name, d->cfg.self.name) != 0 &&
		    is_established(d, &rec->member))
			return true;
	return false;
}

/* Returns the start of this node's share validity. A node that the others
 * removed waits until all of them know it again, unless none of them is
 * established: all are new or were removed themselves. */
static int64_t validity_from_us(const struct fp_directory *d)
{
	int64_t member_since_us = fp_mono_us(d->cfg.clock) -
				  fp_wall_us(d->cfg.clock) +
				  d->cfg.self.member_since_ms * FP_US_PER_MS;
	bool must_wait = d->was_removed && any_other_is_established(d);

	return member_since_us + (must_wait ? ESTABLISHED_US : STARTUP_US);
}

/*
 * This node may use its rate share while its record is in the store under the
 * lease (counted). The others remove the member REMOVE_AFTER_US after the lease has
 * expired, or later. The share's validity ends before that without any message,
 * counted from the request of the last renewal. A process that starts while the
 * record of the previous one is in the store inherits its member_since_ms, so
 * the validity continues.
 */
static void extend_validity(struct fp_directory *d)
{
	if (!d->counted || d->own_record_doubted)
		return;
	d->validity.from_us = validity_from_us(d);
	d->validity.until_us = d->lease_requested_us + LEASE_US +
			       REMOVE_AFTER_US - VALIDITY_MARGIN_US;
	d->ops.share_validity(d->ops.ctx, &d->validity);
}

static void end_validity(struct fp_directory *d)
{
	d->validity.until_us = 0;
	d->ops.share_validity(d->ops.ctx, &d->validity);
}

/* The record under this node's name is not the one that was to be replaced: a
 * write that was not answered took effect after all. */
static void on_write_conflict(struct fp_directory *d,
			      const struct fp_registry_result *r)
{
	uint64_t known = d->own_revision;

	d->own_revision = r->n_items ? r->items[0].revision : 0;
	fp_log(FP_LOG_WARN, "own_record_conflict",
	       "expected=" FP_REVISION_FORMAT " found=" FP_REVISION_FORMAT,
	       FP_REVISION_ARGS(known), FP_REVISION_ARGS(d->own_revision));
	if (d->own_revision == known)
		directory_task_failed(&d->own_record, r->status);
	else
		directory_schedule(&d->own_record, 0);
}

static void on_written(void *ctx, const struct fp_registry_result *r)
{
	struct fp_directory *d = ctx;

	if (d->closed)
		return;
	d->write_pending = false;
	directory_note_epoch(d, r);
	if (r->status == FP_CONFLICT) {
		on_write_conflict(d, r);
		return;
	}
	if (!check_lease_call(d, r->status))
		return;
	d->own_revision = r->revision;
	d->counted = true;
	d->own_record_doubted = false;
	d->written = !d->dirty;
	d->since_inherited = false;
	extend_validity(d);
	directory_schedule(&d->own_record, d->dirty ? 0 : RENEW_US);
}

static void write_self(struct fp_directory *d)
{
	char key[sizeof(NODES_PREFIX) + FP_NAME_BYTES];
	char *text;

	/* The others may have removed this node, so its membership starts now,
	 * unless member_since_ms is that of an earlier process. */
	if (fp_mono_us(d->cfg.clock) >= d->validity.until_us &&
	    !d->since_inherited) {
		d->cfg.self.member_since_ms =
			fp_wall_us(d->cfg.clock) / FP_US_PER_MS;
		d->was_removed = d->validity.until_us != 0;
	}
	d->cfg.self.sequence++;
	text = encode(&d->cfg.self);
	snprintf(key, sizeof(key), "%s%s", NODES_PREFIX, d->cfg.self.name);
	d->write_pending = true;
	d->dirty = false;
	d->calls[FP_DIRECTORY_RECORD]++;
	d->cfg.registry->ops->put(d->cfg.registry, key, text, strlen(text),
				  d->lease, d->own_revision, on_written, d);
	free(text);
}

static void on_lease(void *ctx, const struct fp_registry_result *r)
{
	struct fp_directory *d = ctx;

	if (d->closed)
		return;
	directory_note_epoch(d, r);
	if (r->status != FP_OK) {
		directory_task_failed(&d->own_record, r->status);
		return;
	}
	d->lease = r->lease;
	d->lease_requested_us = d->keep_requested_us;
	d->written = false;
	write_self(d);
}

static void on_renewed(void *ctx, const struct fp_registry_result *r)
{
	struct fp_directory *d = ctx;

	if (d->closed)
		return;
	directory_note_epoch(d, r);
	if (!check_lease_call(d, r->status))
		return;
	d->lease_requested_us = d->keep_requested_us;
	extend_validity(d);
	directory_schedule(&d->own_record, d->written ? RENEW_US : 0);
}

static void ignore(void *ctx, const struct fp_registry_result *r)
{
	(void)ctx;
	(void)r;
}

void directory_step_own_record(struct fp_directory *d)
{
	struct fp_registry *r = d->cfg.registry;

	if (d->leaving) {
		if (d->lease) {
			d->calls[FP_DIRECTORY_LEASE]++;
			r->ops->end_lease(r, d->lease, ignore, d);
		}
		d->lease = 0;
		return;
	}
	if (!d->has_members)
		return; /* the listing may have a member_since_ms to inherit */
	d->keep_requested_us = fp_mono_us(d->cfg.clock);
	if (!d->lease) {
		d->calls[FP_DIRECTORY_LEASE]++;
		r->ops->open_lease(r, LEASE_US, on_lease, d);
	} else if (!d->written) {
		write_self(d);
	} else {
		d->calls[FP_DIRECTORY_RENEWAL]++;
		r->ops->keep_lease(r, d->lease, on_renewed, d);
	}
}

/* Writes a change of the own record at once, unless a call is in flight. */
static void own_record_changed(struct fp_directory *d)
{
	if (d->write_pending)
		d->dirty = true;
	d->written = false;
	if (d->own_record.timer.slot)
		directory_schedule(&d->own_record, 0);
}

void fp_directory_set_worker(struct fp_directory *d, uint32_t slots,
			     int64_t warm_ms, bool serving)
{
	struct fp_member *m = &d->cfg.self;

	if (m->slots == slots && m->warm_ms == warm_ms && m->serving == serving)
		return;
	m->slots = slots;
	m->warm_ms = warm_ms;
	m->serving = serving;
	own_record_changed(d);
}

void fp_directory_leave(struct fp_directory *d)
{
	if (d->leaving)
		return;
	d->leaving = true;
	end_validity(d);
	directory_schedule(&d->own_record, 0);
}

/* --- the others' records --- */

/* Whether links can be opened to that address. */
static bool is_peer_address(const char *addr)
{
	return strchr(addr, '[') == NULL && fp_ip_port_valid(addr);
}

/* A record may be of another writer: each field is checked before any of them
 * is used, since the member would be offered requests and tokens. */
static bool decode(const struct fp_registry_item *it, struct fp_member *m)
{
	json_t *j =
		json_loadb((const char *)it->value, it->value_bytes, 0, NULL);
	json_int_t id = 0;
	json_int_t slots = 0;
	json_int_t warm_ms = 0;
	json_int_t since_ms = 0;
	json_int_t sequence = 0;
	bool ok;

	memset(m, 0, sizeof(*m));
	ok = it->value_bytes <= MAX_RECORD_BYTES &&
	     fp_json_integer(j, "id", 1, INT64_MAX, &id) &&
	     fp_json_integer(j, "slots", 0, FP_MAX_SLOTS, &slots) &&
	     fp_json_integer(j, "warm_ms", 0, FP_MAX_WALL_MS, &warm_ms) &&
	     fp_json_integer(j, "known_ms", 0, FP_MAX_WALL_MS, &since_ms) &&
	     fp_json_integer(j, "sequence", 0, INT64_MAX, &sequence) &&
	     json_is_boolean(json_object_get(j, "serving")) &&
	     fp_json_text(j, "name", m->name, sizeof(m->name)) &&
	     fp_json_text(j, "peer", m->peer_addr, sizeof(m->peer_addr)) &&
	     is_peer_address(m->peer_addr) &&
	     fp_json_text(j, "domain", m->failure_domain,
			  sizeof(m->failure_domain)) &&
	     fp_json_text(j, "region", m->region, sizeof(m->region)) &&
	     fp_json_text(j, "service", m->service, sizeof(m->service));
	if (ok) {
		m->id = (uint64_t)id;
		m->slots = (uint32_t)slots;
		m->warm_ms = warm_ms;
		m->member_since_ms = since_ms;
		m->sequence = (uint64_t)sequence;
		m->serving = json_is_true(json_object_get(j, "serving"));
	}
	json_decref(j);
	return ok;
}

static struct directory_record **find_record(struct fp_directory *d,
					     const char *key)
{
	const char *name = key + strlen(NODES_PREFIX);
	struct directory_record **at = &d->records;

	while (*at && strcmp((*at)->member.name, name) != 0)
		at = &(*at)->next;
	return at;
}

static void publish(struct fp_directory *d)
{
	struct fp_member_table *m;
	struct directory_record *rec;
	uint32_t n = 0;

	for (rec = d->records; rec; rec = rec->next)
		n++;
	m = calloc(1, sizeof(*m) + (n + 1) * sizeof(m->members[0]));
	if (!m)
		abort();
	/* For this node use the present state; its stored record may lag. */
	m->members[m->n++] = d->cfg.self;
	for (rec = d->records; rec; rec = rec->next)
		if (strcmp(rec->member.name, d->cfg.self.name) != 0)
			m->members[m->n++] = rec->member;
	d->feed.unpublished = false;
	d->ops.members(d->ops.ctx, m);
}

uint64_t directory_change_revision(const struct directory_record *rec)
{
	return rec->missing_us ? rec->missing_revision : rec->revision;
}

/* Handles a change of the record under this node's name that this process did
 * not make; revision 0: the record is gone. Reads may report changes that are
 * older than the last write. */
static void own_record_lost(struct fp_directory *d, uint64_t id,
			    uint64_t changed_revision, uint64_t revision)
{
	int64_t until_us = fp_mono_us(d->cfg.clock) - READ_DELAY_US +
			   REMOVE_AFTER_US - VALIDITY_MARGIN_US;

	if (changed_revision <= d->own_revision)
		return;
	d->own_revision = revision;
	if (!d->counted || d->leaving)
		return;
	/* The lease was lost as well; the store may have given its id to
	 * another node. */
	if (d->own_record_doubted)
		d->lease = 0;
	fp_log(FP_LOG_WARN, "own_record_lost",
	       "by=%016" PRIx64 " revision=" FP_REVISION_FORMAT, id,
	       FP_REVISION_ARGS(changed_revision));
	d->counted = false;
	/* The lease of another process's record may end at any time, and the
	 * others remove the member REMOVE_AFTER_US later. */
	if (revision && until_us < d->validity.until_us) {
		d->validity.until_us = until_us;
		d->ops.share_validity(d->ops.ctx, &d->validity);
	}
	own_record_changed(d);
}

/* Handles a record of this process that was read; reads may report records that
 * are older than the last write. */
static void own_record_read(struct fp_directory *d, const struct fp_member *m,
			    uint64_t revision)
{
	if (revision <= d->own_revision)
		return;
	d->own_revision = revision;
	d->own_record_doubted = false;
	if (m->sequence >= d->cfg.self.sequence)
		return;
	fp_log(FP_LOG_WARN, "own_record_old",
	       "sequence=%" PRIu64 " written=%" PRIu64
	       " revision=" FP_REVISION_FORMAT,
	       m->sequence, d->cfg.self.sequence, FP_REVISION_ARGS(revision));
	own_record_changed(d);
}

static bool is_own_name(const struct fp_directory *d, const char *name)
{
	return strcmp(name, d->cfg.self.name) == 0;
}

static void mark_missing(struct fp_directory *d, struct directory_record *rec,
			 uint64_t revision)
{
	if (rec->missing_us)
		return;
	rec->missing_revision = revision;
	rec->missing_us = fp_loop_now_us(d->loop);
	fp_log(FP_LOG_INFO, "member_missing", "member=%s", rec->member.name);
	if (is_own_name(d, rec->member.name))
		own_record_lost(d, 0, revision, 0);
}

/* Continues the membership of an earlier process of this node. */
static void inherit(struct fp_directory *d, const struct fp_member *earlier)
{
	d->cfg.self.member_since_ms = earlier->member_since_ms;
	d->since_inherited = true;
}

/* Applies a record from the store; returns whether the members changed. */
static bool apply_record(struct fp_directory *d,
			 const struct fp_registry_item *it)
{
	struct directory_record **at;
	struct fp_member m;
	struct directory_record *rec;

	if (strncmp(it->key, NODES_PREFIX, strlen(NODES_PREFIX)) != 0)
		return false;
	at = find_record(d, it->key);
	rec = *at;
	if (it->removed) {
		if (rec)
			mark_missing(d, rec, it->revision);
		return false;
	}
	if (!decode(it, &m) ||
	    strcmp(m.name, it->key + strlen(NODES_PREFIX)) != 0) {
		fp_log(FP_LOG_WARN, "member_unreadable", "key=%s", it->key);
		return false;
	}
	if (!rec) {
		rec = calloc(1, sizeof(*rec));
		if (!rec)
			abort();
		*at = rec;
	}
	if (is_own_name(d, m.name) && m.id != d->cfg.self.id) {
		own_record_lost(d, m.id, it->revision, it->revision);
		if (!d->validity.until_us)
			inherit(d, &m);
	} else if (is_own_name(d, m.name)) {
		own_record_read(d, &m, it->revision);
	}
	rec->listed = true;
	rec->missing_us = 0;
	if (rec->revision == it->revision)
		return false;
	rec->revision = it->revision;
	if (rec->member.id == m.id && m.sequence < rec->member.sequence) {
		fp_log(FP_LOG_INFO, "member_old",
		       "member=%s sequence=%" PRIu64 " known=%" PRIu64
		       " revision=" FP_REVISION_FORMAT,
		       m.name, m.sequence, rec->member.sequence,
		       FP_REVISION_ARGS(it->revision));
		return false;
	}
	rec->member = m;
	fp_log(FP_LOG_INFO, "member_seen",
	       "member=%s id=%016" PRIx64 " service=%s slots=%u serving=%d "
	       "revision=" FP_REVISION_FORMAT,
	       m.name, m.id, m.service, m.slots, m.serving,
	       FP_REVISION_ARGS(it->revision));
	return true;
}

/*
 * Removes the members that the listing just received lacks and that have been
 * missing for REMOVE_AFTER_US. Returns whether there was any.
 */
static bool remove_missing(struct fp_directory *d)
{
	int64_t now_us = fp_loop_now_us(d->loop);
	struct directory_record **at = &d->records;
	bool changed = false;
	struct directory_record *rec;

	while ((rec = *at)) {
		if (rec->missing_us && d->failed_since_listing &&
		    rec->missing_us < now_us)
			rec->missing_us = now_us;
		if (!rec->missing_us ||
		    now_us - rec->missing_us < REMOVE_AFTER_US) {
			at = &rec->next;
			continue;
		}
		fp_log(FP_LOG_INFO, "member_removed",
		       "member=%s missing_ms=%" PRId64, rec->member.name,
		       (now_us - rec->missing_us) / FP_US_PER_MS);
		*at = rec->next;
		free(rec);
		changed = true;
	}
	d->has_members = true;
	d->failed_since_listing = false;
	return changed;
}

/* Time until the first missing record reaches its timeout, at most
 * WATCH_MAX_US. */
static int64_t watch_timeout_us(const struct fp_directory *d)
{
	int64_t now_us = fp_loop_now_us(d->loop);
	int64_t wait_us = WATCH_MAX_US;
	const struct directory_record *rec;

	for (rec = d->records; rec; rec = rec->next)
		if (rec->missing_us &&
		    rec->missing_us + REMOVE_AFTER_US - now_us < wait_us)
			wait_us = rec->missing_us + REMOVE_AFTER_US - now_us;
	return wait_us;
}

/* Most watches of a fleet that starts would only report what the delegate sends
 * a moment later. */
static int64_t watch_pause_us(struct fp_directory *d)
{
	if (directory_reads_store(d))
		d->n_own_watches = 0;
	else if (d->n_own_watches < MAX_FOLLOWER_BATCHES)
		d->n_own_watches++;
	return BATCH_US * (d->n_own_watches ? d->n_own_watches : 1);
}

/* Handles the first listing of an epoch. Members that it lacks may have had a
 * lease that was lost. */
static void keep_missing(struct fp_directory *d)
{
	struct directory_record *rec;

	if (d->listing_epoch && d->listing_epoch != d->epoch)
		for (rec = d->records; rec; rec = rec->next)
			if (rec->missing_us)
				rec->missing_us =
					fp_loop_now_us(d->loop) + LEASE_US;
	d->listing_epoch = d->epoch;
}

static void on_members(void *ctx, const struct fp_registry_result *r)
{
	struct fp_directory *d = ctx;
	bool listing = d->members_listing;
	bool first = listing && !d->has_members;
	bool changed = first;
	struct directory_record *rec;
	size_t i;

	if (d->closed)
		return;
	d->members_pending = false;
	directory_note_epoch(d, r);
	if (r->status == FP_EXHAUSTED) {
		d->members_revision = 0;
		directory_schedule(&d->members, 0);
		return;
	}
	if (r->status != FP_OK) {
		d->failed_since_listing = true;
		directory_task_failed(&d->members, r->status);
		return;
	}
	directory_task_succeeded(&d->members);
	for (rec = d->records; listing && rec; rec = rec->next)
		rec->listed = false;
	for (i = 0; i < r->n_items; i++)
		changed |= apply_record(d, &r->items[i]);
	for (rec = d->records; listing && rec; rec = rec->next)
		if (!rec->listed)
			mark_missing(d, rec, r->revision);
	if (listing) {
		keep_missing(d);
		changed |= remove_missing(d);
		d->listing_revision = r->revision;
	}
	d->members_revision = r->revision;
	d->feed.n_updates = 0;
	if (changed || d->feed.unpublished)
		publish(d);
	if (first)
		directory_schedule(&d->own_record, 0);
	directory_notify_followers(d);
	directory_schedule(&d->members, watch_pause_us(d));
}

void directory_step_members(struct fp_directory *d)
{
	struct fp_registry *r = d->cfg.registry;
	int64_t wait_us = watch_timeout_us(d);

	if (wait_us <= 0)
		d->members_revision = 0;
	if (d->members_revision && directory_feed_is_active(d)) {
		directory_schedule(&d->members, wait_us < FEED_CHECK_US ?
							wait_us :
							FEED_CHECK_US);
		return;
	}
	d->members_pending = true;
	d->members_listing = !d->members_revision;
	d->calls[d->members_revision ? FP_DIRECTORY_WATCH :
				       FP_DIRECTORY_LIST]++;
	if (d->members_revision)
		r->ops->watch(r, NODES_PREFIX, d->members_revision, wait_us,
			      on_members, d);
	else
		r->ops->list(r, NODES_PREFIX, on_members, d);
}

void directory_members_restored(struct fp_directory *d)
{
	d->own_record_doubted = true;
	d->members_revision = 0;
	if (d->has_members && !d->members_pending)
		directory_schedule(&d->members, randombytes_uniform(BATCH_US));
}

/* --- changes from the delegate --- */

void directory_apply_update(struct fp_directory *d,
			    const struct fp_member_change *update)
{
	char key[sizeof(NODES_PREFIX) + FP_NAME_BYTES];
	struct fp_registry_item it = { .key = key,
				       .value = (const uint8_t *)update->record,
				       .value_bytes = strlen(update->record),
				       .revision = update->revision,
				       .removed = update->removed };

	if (update->base_revision != d->members_revision)
		return;
	snprintf(key, sizeof(key), "%s%s", NODES_PREFIX, update->name);
	d->feed.n_updates++;
	d->feed.unpublished |= apply_record(d, &it);
}

void directory_updates_complete(struct fp_directory *d, uint64_t revision)
{
	d->members_revision = revision;
	if (d->feed.unpublished)
		publish(d);
	/* A record may be missing now: schedule the listing at its timeout. */
	directory_schedule(&d->members, 0);
}
