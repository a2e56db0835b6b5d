/*
 * directory.c - members and operators' record out of a store with leases
 *
 * Four small machines share the store, each with one call in flight at most
 * and a timer for its next step:
 *
 *	secret	read, or made by whoever writes it first
 *	config	read again and again. Each answer shows that the record was
 *		current when the question was sent. A watch would not: one
 *		whose history is being dropped hears nothing for a while.
 *	own	a lease with this node's record under it, renewed
 *	others	all records read once, then watched
 *
 * A step that fails is repeated after a pause that doubles, with jitter, so
 * that a store in trouble is not kept there by its clients.
 *
 * A record that went missing may have lapsed while the store was away: its node
 * writes it again as soon as it reaches the store. As long as any is missing all
 * are listed again and again; one that a listing lacks after GONE_US is gone. A
 * watch would not do: it may hang, and says nothing of what is not there.
 */
#include "coordination/directory.h"

#include <apr_hash.h>
#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"

#define SECRET_KEY   "fulmar/secret"
#define NODES_PREFIX "fulmar/nodes/"

/* Times, in microseconds. */
#define CONFIG_EVERY_US FP_US_PER_S /* half of the time to put it in force */
#define OTHERS_WAIT_US	(20 * FP_US_PER_S) /* below the store's 30 s */
#define OTHERS_PAUSE_US (400 * FP_US_PER_MS) /* gathers changes of a moment */
#define LEASE_US	(6 * FP_US_PER_S) /* three renewals may be lost */
#define KEEP_US		(1500 * FP_US_PER_MS)
#define GONE_US		(2500 * FP_US_PER_MS) /* a live node needs 2 s */
#define FIRST_PAUSE_US	(100 * FP_US_PER_MS)
#define LAST_PAUSE_US	(800 * FP_US_PER_MS) /* back within 2 s of a return */

#define MAX_RECORD_BYTES 2048

/* A step with its timer and its pause after failures. */
struct machine {
	struct fp_directory *d;
	const char *what;
	void (*step)(struct fp_directory *d);
	struct fp_timer timer;
	int64_t pause_us; /* next one after a failure */
	bool failing;
};

/* What is known of one record. */
struct record {
	struct fp_member member;
	uint64_t revision;
	int64_t missing_us; /* since when it is not there; 0: it is there */
	bool seen; /* in the listing under way */
	struct record *next;
};

struct fp_directory {
	struct fp_loop *loop;
	struct fp_directory_config cfg;
	struct fp_directory_ops ops;
	bool closed;
	struct machine secret;
	struct machine config;
	struct machine own;
	struct machine others;
	bool has_secret;
	uint64_t revision; /* of the operators' record in force */
	uint64_t config_item; /* revision of the item that was asked for last */
	bool config_read; /* its text made sense */
	int64_t config_asked_us;
	uint64_t lease; /* 0: none */
	bool written; /* the record under the lease is the newest */
	bool writing; /* a write of it is under way */
	bool dirty; /* it changed during the write */
	bool leaving;
	bool listed; /* all records were read once */
	uint64_t others_after; /* watched from; 0: to be read */
	struct record *records;
};

/* --- steps --- */

static void on_step(void *ctx)
{
	struct machine *m = ctx;

	if (!m->d->closed)
		m->step(m->d);
}

static void run_after(struct machine *m, int64_t pause_us)
{
	struct fp_loop *l = m->d->loop;

	fp_timer_set(l, &m->timer, fp_loop_now_us(l) + pause_us, on_step, m);
}

static void succeeded(struct machine *m)
{
	if (m->failing)
		fp_log(FP_LOG_INFO, "store_regained", "what=%s", m->what);
	m->failing = false;
	m->pause_us = FIRST_PAUSE_US;
}

static void failed(struct machine *m, enum fp_status st)
{
	int64_t jitter_us = randombytes_uniform((uint32_t)m->pause_us);

	if (!m->failing)
		fp_log(FP_LOG_WARN, "store_lost", "what=%s why=%s", m->what,
		       fp_status_name(st));
	m->failing = true;
	run_after(m, m->pause_us / 2 + jitter_us);
	m->pause_us *= 2;
	if (m->pause_us > LAST_PAUSE_US)
		m->pause_us = LAST_PAUSE_US;
}

static void machine_init(struct fp_directory *d, struct machine *m,
			 const char *what, void (*step)(struct fp_directory *))
{
	m->d = d;
	m->what = what;
	m->step = step;
	m->pause_us = FIRST_PAUSE_US;
}

/* --- secret --- */

static void on_secret_made(void *ctx, const struct fp_registry_result *r)
{
	struct fp_directory *d = ctx;

	if (d->closed)
		return;
	/* Who lost the race, or does not know, reads what stands. */
	if (r->status == FP_OK || r->status == FP_CONFLICT)
		run_after(&d->secret, 0);
	else
		failed(&d->secret, r->status);
}

static void make_secret(struct fp_directory *d)
{
	uint8_t secret[FP_DIRECTORY_SECRET_BYTES];

	randombytes_buf(secret, sizeof(secret));
	d->cfg.registry->ops->put(d->cfg.registry, SECRET_KEY, secret,
				  sizeof(secret), 0, 0, on_secret_made, d);
	sodium_memzero(secret, sizeof(secret));
}

static void on_secret(void *ctx, const struct fp_registry_result *r)
{
	struct fp_directory *d = ctx;

	if (d->closed)
		return;
	if (r->status == FP_NOT_FOUND) {
		make_secret(d);
		return;
	}
	if (r->status != FP_OK || !r->n_items ||
	    r->items[0].value_bytes != FP_DIRECTORY_SECRET_BYTES) {
		failed(&d->secret, r->status);
		return;
	}
	succeeded(&d->secret);
	d->has_secret = true;
	d->ops.secret(d->ops.ctx, r->items[0].value);
}

static void step_secret(struct fp_directory *d)
{
	d->cfg.registry->ops->get(d->cfg.registry, SECRET_KEY, on_secret, d);
}

/* --- config --- */

/* Returns whether it could be read. */
static bool take_config(struct fp_directory *d,
			const struct fp_registry_item *it)
{
	struct fp_config *c;

	if (d->cfg.dialect->config((const char *)it->value, it->value_bytes,
				   &c) != FP_OK) {
		fp_log(FP_LOG_ERROR, "config_refused",
		       "item_revision=%" PRIu64 " why=\"%s\"", it->revision,
		       fp_last_message());
		return false;
	}
	/* Versions only go up, whatever the order of answers. */
	if (c->revision <= d->revision) {
		fp_config_end(c);
		return true;
	}
	fp_log(FP_LOG_INFO, "config_taken",
	       "revision=%" PRIu64 " before=%" PRIu64
	       " routes=%u organisations=%u keys=%u",
	       c->revision, d->revision, c->n_routes, c->n_orgs, c->n_keys);
	d->revision = c->revision;
	d->ops.config(d->ops.ctx, c);
	return true;
}

static void on_config(void *ctx, const struct fp_registry_result *r)
{
	struct fp_directory *d = ctx;
	int64_t now_us = fp_mono_us(d->cfg.clock);
	int64_t next_us = d->config_asked_us + CONFIG_EVERY_US;

	if (d->closed)
		return;
	if (r->status != FP_OK || !r->n_items) {
		failed(&d->config, r->status);
		return;
	}
	succeeded(&d->config);
	if (r->items[0].revision != d->config_item)
		d->config_read = take_config(d, &r->items[0]);
	d->config_item = r->items[0].revision;
	/* What cannot be read may take a key away. */
	if (d->config_read)
		d->ops.current(d->ops.ctx, d->config_asked_us);
	run_after(&d->config, next_us > now_us ? next_us - now_us : 0);
}

static void step_config(struct fp_directory *d)
{
	d->config_asked_us = fp_mono_us(d->cfg.clock);
	d->cfg.registry->ops->get(d->cfg.registry, d->cfg.dialect->config_key,
				  on_config, d);
}

/* --- this node's record --- */

static char *encode_self(const struct fp_directory *d)
{
	const struct fp_member *m = &d->cfg.self;
	json_t *j = json_pack(
		"{s:I,s:s,s:s,s:s,s:s,s:s,s:I,s:b}", "id", (json_int_t)m->id,
		"name", m->name, "peer", m->peer_addr, "domain",
		m->failure_domain, "region", m->region, "service", m->service,
		"slots", (json_int_t)m->slots, "serving", m->serving);
	char *text = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	if (!text)
		abort();
	return text;
}

static void step_own(struct fp_directory *d);

static void on_written(void *ctx, const struct fp_registry_result *r)
{
	struct fp_directory *d = ctx;

	if (d->closed)
		return;
	d->writing = false;
	if (r->status == FP_NOT_FOUND) {
		d->lease = 0; /* it ended before the write */
		run_after(&d->own, 0);
		return;
	}
	if (r->status != FP_OK) {
		failed(&d->own, r->status);
		return;
	}
	succeeded(&d->own);
	d->written = !d->dirty;
	run_after(&d->own, d->dirty ? 0 : KEEP_US);
}

static void write_self(struct fp_directory *d)
{
	char key[sizeof(NODES_PREFIX) + FP_NAME_BYTES];
	char *text = encode_self(d);

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
		failed(&d->own, r->status);
		return;
	}
	d->lease = r->lease;
	d->written = false;
	write_self(d);
}

static void on_kept(void *ctx, const struct fp_registry_result *r)
{
	struct fp_directory *d = ctx;

	if (d->closed)
		return;
	if (r->status == FP_NOT_FOUND) {
		fp_log(FP_LOG_WARN, "lease_ended", "lease=%" PRIu64, d->lease);
		d->lease = 0;
		d->written = false;
		run_after(&d->own, 0);
		return;
	}
	if (r->status != FP_OK) {
		failed(&d->own, r->status);
		return;
	}
	succeeded(&d->own);
	run_after(&d->own, d->written ? KEEP_US : 0);
}

static void ignore(void *ctx, const struct fp_registry_result *r)
{
	(void)ctx;
	(void)r;
}

static void step_own(struct fp_directory *d)
{
	struct fp_registry *r = d->cfg.registry;

	if (d->leaving) {
		if (d->lease)
			r->ops->end_lease(r, d->lease, ignore, d);
		d->lease = 0;
		return;
	}
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
		run_after(&d->own, 0);
}

void fp_directory_set_worker(struct fp_directory *d, uint32_t slots,
			     bool serving)
{
	struct fp_member *m = &d->cfg.self;

	if (m->slots == slots && m->serving == serving)
		return;
	m->slots = slots;
	m->serving = serving;
	self_changed(d);
}

void fp_directory_leave(struct fp_directory *d)
{
	if (d->leaving)
		return;
	d->leaving = true;
	run_after(&d->own, 0);
}

/* --- the others' records --- */

static bool copy_text(const json_t *j, const char *name, char *to, size_t size)
{
	const char *text = json_string_value(json_object_get(j, name));

	if (!text || strlen(text) >= size)
		return false;
	memcpy(to, text, strlen(text) + 1);
	return true;
}

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
	     copy_text(j, "name", m->name, sizeof(m->name)) &&
	     copy_text(j, "peer", m->peer_addr, sizeof(m->peer_addr)) &&
	     copy_text(j, "domain", m->failure_domain,
		       sizeof(m->failure_domain)) &&
	     copy_text(j, "region", m->region, sizeof(m->region)) &&
	     copy_text(j, "service", m->service, sizeof(m->service));
	if (ok) {
		m->id = (uint64_t)json_integer_value(id);
		m->slots = (uint32_t)json_integer_value(slots);
		m->serving = json_is_true(json_object_get(j, "serving"));
	}
	json_decref(j);
	return ok;
}

static struct record **find_record(struct fp_directory *d, const char *key)
{
	const char *name = key + strlen(NODES_PREFIX);
	struct record **at = &d->records;

	while (*at && strcmp((*at)->member.name, name) != 0)
		at = &(*at)->next;
	return at;
}

static void publish(struct fp_directory *d)
{
	struct fp_member_table *m;
	struct record *rec;
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
	d->ops.members(d->ops.ctx, m);
}

static void is_missing(struct fp_directory *d, struct record *rec)
{
	if (rec->missing_us)
		return;
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
	struct record **at;
	struct fp_member m;
	struct record *rec;

	if (strncmp(it->key, NODES_PREFIX, strlen(NODES_PREFIX)) != 0)
		return false;
	at = find_record(d, it->key);
	rec = *at;
	if (it->removed) {
		if (rec)
			is_missing(d, rec);
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
	struct record **at = &d->records;
	bool changed = false;
	struct record *rec;

	while ((rec = *at)) {
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
	return changed;
}

static bool any_missing(const struct fp_directory *d)
{
	const struct record *rec = d->records;

	while (rec && !rec->missing_us)
		rec = rec->next;
	return rec != NULL;
}

static void on_others(void *ctx, const struct fp_registry_result *r)
{
	struct fp_directory *d = ctx;
	bool listing = d->others_after == 0;
	bool changed = listing && !d->listed;
	struct record *rec;
	size_t i;

	if (d->closed)
		return;
	if (r->status == FP_EXHAUSTED) {
		d->others_after = 0;
		run_after(&d->others, 0);
		return;
	}
	if (r->status != FP_OK) {
		failed(&d->others, r->status);
		return;
	}
	succeeded(&d->others);
	for (rec = d->records; listing && rec; rec = rec->next)
		rec->seen = false;
	for (i = 0; i < r->n_items; i++)
		changed |= take_record(d, &r->items[i]);
	for (rec = d->records; listing && rec; rec = rec->next)
		if (!rec->seen)
			is_missing(d, rec);
	if (listing)
		changed |= drop_gone(d);
	d->others_after = any_missing(d) ? 0 : r->revision;
	if (changed)
		publish(d);
	run_after(&d->others, OTHERS_PAUSE_US);
}

static void step_others(struct fp_directory *d)
{
	struct fp_registry *r = d->cfg.registry;

	if (d->others_after)
		r->ops->watch(r, NODES_PREFIX, d->others_after, OTHERS_WAIT_US,
			      on_others, d);
	else
		r->ops->list(r, NODES_PREFIX, on_others, d);
}

/* --- life --- */

struct fp_directory *fp_directory_init(struct fp_loop *l,
				       const struct fp_directory_config *cfg,
				       const struct fp_directory_ops *ops)
{
	struct fp_directory *d = calloc(1, sizeof(*d));

	if (!d)
		return NULL;
	d->loop = l;
	d->cfg = *cfg;
	d->ops = *ops;
	machine_init(d, &d->secret, "secret", step_secret);
	machine_init(d, &d->config, "config", step_config);
	machine_init(d, &d->own, "own_record", step_own);
	machine_init(d, &d->others, "members", step_others);
	run_after(&d->secret, 0);
	run_after(&d->config, 0);
	run_after(&d->own, 0);
	run_after(&d->others, 0);
	return d;
}

bool fp_directory_is_whole(const struct fp_directory *d)
{
	return d->has_secret && d->revision && d->listed;
}

uint64_t fp_directory_revision(const struct fp_directory *d)
{
	return d->revision;
}

void fp_directory_close(struct fp_directory *d)
{
	if (!d)
		return;
	d->closed = true;
	fp_timer_cancel(d->loop, &d->secret.timer);
	fp_timer_cancel(d->loop, &d->config.timer);
	fp_timer_cancel(d->loop, &d->own.timer);
	fp_timer_cancel(d->loop, &d->others.timer);
}

void fp_directory_end(struct fp_directory *d)
{
	struct record *rec;

	if (!d)
		return;
	while ((rec = d->records)) {
		d->records = rec->next;
		free(rec);
	}
	free(d);
}
