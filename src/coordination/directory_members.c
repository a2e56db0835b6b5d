/*
 * directory_members.c - this node's record in the store, and the others'
 *
 * A record that went missing may have lapsed while the store was away: its node
 * writes it again as soon as it reaches the store. Records are watched; when one
 * is missing, only until its time is over. Then all are listed, and what the
 * listing lacks after GONE_US is gone: a watch may hang, and says nothing of
 * what is not there. When the store was away in between, GONE_US counts anew
 * from its return.
 *
 * Where a delegate tells of changes (directory_relay.c) the store is not watched,
 * but what is missing is still listed by each node before it is gone.
 */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "coordination/directory_private.h"
#include "protocol/json.h"

#define NODES_PREFIX	"fulmar/nodes/"
#define OTHERS_WAIT_US	(20 * FP_US_PER_S) /* below the store's 30 s */
#define OTHERS_PAUSE_US (400 * FP_US_PER_MS) /* gathers changes of a moment */
#define TOLD_PAUSE_US	(500 * FP_US_PER_MS) /* looks if it is still told */
#define LEASE_US	(6 * FP_US_PER_S) /* three renewals may be lost */
#define KEEP_US		(1500 * FP_US_PER_MS)
#define GONE_US		(2500 * FP_US_PER_MS) /* a live node needs 2 s */
/* Before the others drop this node, for the drift of clocks. */
#define RIGHT_MARGIN_US (300 * FP_US_PER_MS)
/* By then all members know of a new one, or have lost the store for so long that
 * their own right has ended. */
#define KNOWN_US (LEASE_US + GONE_US)
/* By then the members of a fleet that starts know each other. */
#define FIRST_LOOK_US	 FP_US_PER_S
#define MAX_RECORD_BYTES 2048

/* --- this node's record --- */

static char *encode(const struct fp_member *m)
{
	json_t *j = json_pack("{s:I,s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:b}", "id",
			      (json_int_t)m->id, "name", m->name, "peer",
			      m->peer_addr, "domain", m->failure_domain,
			      "region", m->region, "service", m->service,
			      "slots", (json_int_t)m->slots, "warm_ms",
			      (json_int_t)m->warm_ms, "known_ms",
			      (json_int_t)m->known_ms, "serving", m->serving);
	char *text = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	if (!text)
		abort();
	return text;
}

void directory_encode_member(const struct fp_member *m, char *text, size_t size)
{
	char *whole = encode(m);

	snprintf(text, size, "%s", whole);
	free(whole);
}

/* Whether a call under the lease succeeded; otherwise sets the next step. */
static bool lease_holds(struct fp_directory *d, enum fp_status st)
{
	if (st == FP_OK) {
		directory_succeeded(&d->own);
		return true;
	}
	if (st == FP_NOT_FOUND) {
		fp_log(FP_LOG_WARN, "lease_ended", "lease=%" PRIu64, d->lease);
		d->lease = 0;
		d->written = false;
		directory_run_after(&d->own, 0);
	} else {
		directory_failed(&d->own, st);
	}
	return false;
}

static bool is_established(const struct fp_directory *d,
			   const struct fp_member *m)
{
	return fp_wall_us(d->cfg.clock) - m->known_ms * FP_US_PER_MS >=
	       KNOWN_US;
}

static bool others_are_established(const struct fp_directory *d)
{
	const struct directory_record *rec;

	for (rec = d->records; rec; rec = rec->next)
		if (strcmp(rec->member.name, d->cfg.self.name) != 0 &&
		    is_established(d, &rec->member))
			return true;
	return false;
}

/* From when on this node may use a part. One that the others have dropped waits
 * until all know it again, unless all of them are back or new. */
static int64_t right_from_us(const struct fp_directory *d)
{
	int64_t known_us = fp_mono_us(d->cfg.clock) - fp_wall_us(d->cfg.clock) +
			   d->cfg.self.known_ms * FP_US_PER_MS;
	bool waits = d->was_dropped && others_are_established(d);

	return known_us + (waits ? KNOWN_US : FIRST_LOOK_US);
}

/*
 * While its record stands under the lease this node has a part in what the
 * members share. The others drop it GONE_US after the lease has ended, so its
 * right ends before that by itself, counted from when the lease was last asked
 * for. A process that starts in time goes on with the right of the one before.
 */
static void extend_right(struct fp_directory *d)
{
	if (!d->written && !d->right.until_us)
		return; /* the record has never stood */
	d->right.from_us = right_from_us(d);
	d->right.until_us =
		d->lease_asked_us + LEASE_US + GONE_US - RIGHT_MARGIN_US;
	d->ops.right(d->ops.ctx, &d->right);
}

static void end_right(struct fp_directory *d)
{
	d->right.until_us = 0;
	d->ops.right(d->ops.ctx, &d->right);
}

static void on_written(void *ctx, const struct fp_registry_result *r)
{
	struct fp_directory *d = ctx;

	if (d->closed)
		return;
	d->writing = false;
	if (!lease_holds(d, r->status))
		return;
	d->written = !d->dirty;
	d->inherited = false;
	extend_right(d);
	directory_run_after(&d->own, d->dirty ? 0 : KEEP_US);
}

static void write_self(struct fp_directory *d)
{
	char key[sizeof(NODES_PREFIX) + FP_NAME_BYTES];
	char *text;

	if (fp_mono_us(d->cfg.clock) >= d->right.until_us && !d->inherited) {
		d->cfg.self.known_ms = fp_wall_us(d->cfg.clock) / FP_US_PER_MS;
		d->was_dropped = d->right.until_us != 0;
	}
	text = encode(&d->cfg.self);
	snprintf(key, sizeof(key), "%s%s", NODES_PREFIX, d->cfg.self.name);
	d->writing = true;
	d->dirty = false;
	d->cfg.registry->ops->put(d->cfg.registry, key, text, strlen(text),
				  d->lease, FP_REGISTRY_ANY, on_written, d);
	free(text);
}

static void on_lease(void *ctx, const struct fp_registry_result *r)
{
	struct fp_directory *d = ctx;

	if (d->closed)
		return;
	if (r->status != FP_OK) {
		directory_failed(&d->own, r->status);
		return;
	}
	d->lease = r->lease;
	d->lease_asked_us = d->keep_asked_us;
	d->written = false;
	write_self(d);
}

static void on_kept(void *ctx, const struct fp_registry_result *r)
{
	struct fp_directory *d = ctx;

	if (d->closed || !lease_holds(d, r->status))
		return;
	d->lease_asked_us = d->keep_asked_us;
	extend_right(d);
	directory_run_after(&d->own, d->written ? KEEP_US : 0);
}

static void ignore(void *ctx, const struct fp_registry_result *r)
{
	(void)ctx;
	(void)r;
}

void directory_step_own(struct fp_directory *d)
{
	struct fp_registry *r = d->cfg.registry;

	if (d->leaving) {
		if (d->lease)
			r->ops->end_lease(r, d->lease, ignore, d);
		d->lease = 0;
		return;
	}
	if (!d->listed)
		return; /* a record of this name tells since when it is known */
	d->keep_asked_us = fp_mono_us(d->cfg.clock);
	if (!d->lease)
		r->ops->open_lease(r, LEASE_US, on_lease, d);
	else if (!d->written)
		write_self(d);
	else
		r->ops->keep_lease(r, d->lease, on_kept, d);
}

/* A change of the own record goes out at once, unless a call is under way. */
static void self_changed(struct fp_directory *d)
{
	if (d->writing)
		d->dirty = true;
	d->written = false;
	if (d->own.timer.slot)
		directory_run_after(&d->own, 0);
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
	self_changed(d);
}

void fp_directory_leave(struct fp_directory *d)
{
	if (d->leaving)
		return;
	d->leaving = true;
	end_right(d);
	directory_run_after(&d->own, 0);
}

/* --- the others' records --- */

static bool decode(const struct fp_registry_item *it, struct fp_member *m)
{
	json_t *j =
		json_loadb((const char *)it->value, it->value_bytes, 0, NULL);
	const json_t *id = json_object_get(j, "id");
	const json_t *slots = json_object_get(j, "slots");
	bool ok;

	memset(m, 0, sizeof(*m));
	ok = it->value_bytes <= MAX_RECORD_BYTES && json_is_integer(id) &&
	     json_is_integer(slots) && json_integer_value(slots) >= 0 &&
	     json_integer_value(slots) <= UINT32_MAX &&
	     fp_json_text(j, "name", m->name, sizeof(m->name)) &&
	     fp_json_text(j, "peer", m->peer_addr, sizeof(m->peer_addr)) &&
	     fp_json_text(j, "domain", m->failure_domain,
			  sizeof(m->failure_domain)) &&
	     fp_json_text(j, "region", m->region, sizeof(m->region)) &&
	     fp_json_text(j, "service", m->service, sizeof(m->service));
	if (ok) {
		m->id = (uint64_t)json_integer_value(id);
		m->slots = (uint32_t)json_integer_value(slots);
		m->warm_ms = json_integer_value(json_object_get(j, "warm_ms"));
		m->known_ms =
			json_integer_value(json_object_get(j, "known_ms"));
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
	/* This node itself is known better than by its record. */
	m->members[m->n++] = d->cfg.self;
	for (rec = d->records; rec; rec = rec->next)
		if (strcmp(rec->member.name, d->cfg.self.name) != 0)
			m->members[m->n++] = rec->member;
	d->told.unpublished = false;
	d->ops.members(d->ops.ctx, m);
}

uint64_t directory_changed_at(const struct directory_record *rec)
{
	return rec->missing_us ? rec->missing_revision : rec->revision;
}

static void is_missing(struct fp_directory *d, struct directory_record *rec,
		       uint64_t revision)
{
	if (rec->missing_us)
		return;
	rec->missing_revision = revision;
	rec->missing_us = fp_loop_now_us(d->loop);
	fp_log(FP_LOG_INFO, "member_missing", "member=%s", rec->member.name);
	/* The own record lapsed: it is written again under a new lease. */
	if (strcmp(rec->member.name, d->cfg.self.name) == 0 && !d->leaving &&
	    rec->member.id == d->cfg.self.id && d->written)
		self_changed(d);
}

/* Returns whether anything changed. */
static bool take_record(struct fp_directory *d,
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
			is_missing(d, rec, it->revision);
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
	if (m.id != d->cfg.self.id && !d->right.until_us &&
	    strcmp(m.name, d->cfg.self.name) == 0) {
		d->cfg.self.known_ms = m.known_ms;
		d->inherited = true;
	}
	rec->seen = true;
	rec->missing_us = 0;
	if (rec->revision == it->revision)
		return false;
	rec->revision = it->revision;
	rec->member = m;
	fp_log(FP_LOG_INFO, "member_seen",
	       "member=%s id=%016" PRIx64 " service=%s slots=%u serving=%d "
	       "revision=%" PRIu64,
	       m.name, m.id, m.service, m.slots, m.serving, it->revision);
	return true;
}

/*
 * Drops what a listing that was answered just now still lacks after its time.
 * Returns whether there was any.
 */
static bool drop_gone(struct fp_directory *d)
{
	int64_t now_us = fp_loop_now_us(d->loop);
	struct directory_record **at = &d->records;
	bool changed = false;
	struct directory_record *rec;

	while ((rec = *at)) {
		if (rec->missing_us && d->was_away)
			rec->missing_us = now_us;
		if (!rec->missing_us || now_us - rec->missing_us < GONE_US) {
			at = &rec->next;
			continue;
		}
		fp_log(FP_LOG_INFO, "member_gone",
		       "member=%s missing_ms=%" PRId64, rec->member.name,
		       (now_us - rec->missing_us) / FP_US_PER_MS);
		*at = rec->next;
		free(rec);
		changed = true;
	}
	d->listed = true;
	d->was_away = false;
	return changed;
}

/* How long to watch: until the first missing record's time is over. */
static int64_t watch_us(const struct fp_directory *d)
{
	int64_t now_us = fp_loop_now_us(d->loop);
	int64_t wait_us = OTHERS_WAIT_US;
	const struct directory_record *rec;

	for (rec = d->records; rec; rec = rec->next)
		if (rec->missing_us &&
		    rec->missing_us + GONE_US - now_us < wait_us)
			wait_us = rec->missing_us + GONE_US - now_us;
	return wait_us;
}

static void on_others(void *ctx, const struct fp_registry_result *r)
{
	struct fp_directory *d = ctx;
	bool listing = d->others_after == 0;
	bool first = listing && !d->listed;
	bool changed = first;
	struct directory_record *rec;
	size_t i;

	if (d->closed)
		return;
	d->others_asked = false;
	if (r->status == FP_EXHAUSTED) {
		d->others_after = 0;
		directory_run_after(&d->others, 0);
		return;
	}
	if (r->status != FP_OK) {
		d->was_away = true;
		directory_failed(&d->others, r->status);
		return;
	}
	directory_succeeded(&d->others);
	for (rec = d->records; listing && rec; rec = rec->next)
		rec->seen = false;
	for (i = 0; i < r->n_items; i++)
		changed |= take_record(d, &r->items[i]);
	for (rec = d->records; listing && rec; rec = rec->next)
		if (!rec->seen)
			is_missing(d, rec, r->revision);
	if (listing) {
		changed |= drop_gone(d);
		d->listed_revision = r->revision;
	}
	d->others_after = r->revision;
	d->told.n_news = 0;
	if (changed || d->told.unpublished)
		publish(d);
	if (first)
		directory_run_after(&d->own, 0);
	directory_tell_followers(d);
	directory_run_after(&d->others, OTHERS_PAUSE_US);
}

void directory_step_others(struct fp_directory *d)
{
	struct fp_registry *r = d->cfg.registry;
	int64_t wait_us = watch_us(d);

	if (wait_us <= 0)
		d->others_after = 0;
	if (d->others_after && directory_is_told(d)) {
		directory_run_after(&d->others, wait_us < TOLD_PAUSE_US ?
							wait_us :
							TOLD_PAUSE_US);
		return;
	}
	d->others_asked = true;
	if (d->others_after)
		r->ops->watch(r, NODES_PREFIX, d->others_after, wait_us,
			      on_others, d);
	else
		r->ops->list(r, NODES_PREFIX, on_others, d);
}

/* --- what the delegate tells --- */

void directory_take_news(struct fp_directory *d,
			 const struct fp_member_news *news)
{
	char key[sizeof(NODES_PREFIX) + FP_NAME_BYTES];
	struct fp_registry_item it = { .key = key,
				       .value = (const uint8_t *)news->record,
				       .value_bytes = strlen(news->record),
				       .revision = news->revision,
				       .removed = news->removed };

	if (news->after != d->others_after)
		return;
	snprintf(key, sizeof(key), "%s%s", NODES_PREFIX, news->name);
	d->told.n_news++;
	d->told.unpublished |= take_record(d, &it);
}

void directory_take_told(struct fp_directory *d, uint64_t revision)
{
	d->others_after = revision;
	if (d->told.unpublished)
		publish(d);
	/* Something may be missing now, and is to be listed in time. */
	directory_run_after(&d->others, 0);
}
