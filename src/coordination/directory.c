/*
 * directory.c - membership and configuration from a store with leases
 *
 * Five tasks share the store. Each has at most one call in flight and a timer
 * for its next step:
 *
 *	secret		reads the fleet's secret, or creates it; the first
 *			writer wins. Writes it again when the store has lost it
 *	config		polls the configuration record, in each failure domain
 *			by one node for the others (directory_relay.c). Each
 *			answer confirms that the record was the newest when the
 *			request was sent. A watch would not confirm that: it
 *			receives nothing for a while when the store drops the
 *			history that the watch reads. A record that is older
 *			than a configuration known here or at a neighbour
 *			confirms nothing: the store has come back from a copy,
 *			and what it lost may have withdrawn a key.
 *	own_record	keeps this node's record under a renewed lease
 *	members		lists all records, then watches them; lists them again
 *			when a missing record reaches its timeout
 *	worker_end	reads the end of this node's worker that an earlier
 *			process stored, before members begins; stores a new one
 *
 * own_record and members are in directory_members.c, worker_end is in
 * directory_worker_end.c.
 *
 * A failed step is retried with exponential backoff and jitter, so that
 * retries do not prolong an overload of the store.
 */

#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "coordination/directory_private.h"

#define SECRET_KEY "fulmar/secret"

/* A new configuration must be in force within two seconds; a poll uses up to
 * half of that time. The backoff limit gives a delay of at most 1.2 s, so that
 * each task succeeds again within 2 s after the store recovers. */
#define CONFIG_PERIOD_US FP_US_PER_S
#define MIN_BACKOFF_US	 (100 * FP_US_PER_MS)
#define MAX_BACKOFF_US	 (800 * FP_US_PER_MS)
/* Longest wait for another node to create the secret. */
#define SECRET_WAIT_US (300 * FP_US_PER_MS)
/* Longest pause between reads while no operator has written a configuration; at
 * least half of it passes. */
#define NO_CONFIG_US FP_US_PER_S

/* --- tasks --- */

static void on_step(void *ctx)
{
	struct directory_task *t = ctx;

	if (!t->d->closed)
		t->step(t->d);
}

void directory_schedule(struct directory_task *t, int64_t delay_us)
{
	struct fp_loop *l = t->d->loop;

	fp_timer_set(l, &t->timer, fp_loop_now_us(l) + delay_us, on_step, t);
}

void directory_task_succeeded(struct directory_task *t)
{
	if (t->failing)
		fp_log(FP_LOG_INFO, "store_regained", "what=%s", t->name);
	t->failing = false;
	t->backoff_us = MIN_BACKOFF_US;
}

void directory_task_failed(struct directory_task *t, enum fp_status st)
{
	int64_t jitter_us = randombytes_uniform((uint32_t)t->backoff_us);

	if (!t->failing)
		fp_log(FP_LOG_WARN, "store_lost", "what=%s why=%s", t->name,
		       fp_status_name(st));
	t->failing = true;
	directory_schedule(t, t->backoff_us / 2 + jitter_us);
	t->backoff_us *= 2;
	if (t->backoff_us > MAX_BACKOFF_US)
		t->backoff_us = MAX_BACKOFF_US;
}

static void task_init(struct fp_directory *d, struct directory_task *t,
		      const char *name, void (*step)(struct fp_directory *))
{
	t->d = d;
	t->name = name;
	t->step = step;
	t->backoff_us = MIN_BACKOFF_US;
}

/* --- calls to the store, by cause --- */

static const char *const call_names[FP_DIRECTORY_CALL_COUNT] = {
	"secret", "config", "list",    "watch",
	"record", "lease",  "renewal", "worker_end",
};

const char *fp_directory_call_name(enum fp_directory_call c)
{
	return call_names[c];
}

uint32_t fp_directory_calls(const struct fp_directory *d,
			    enum fp_directory_call c)
{
	return d->calls[c];
}

/* --- secret --- */

static void on_secret_written(void *ctx, const struct fp_registry_result *r)
{
	struct fp_directory *d = ctx;

	if (d->closed)
		return;
	directory_note_epoch(d, r);
	/* Read the secret: another node may have written one first. */
	if (r->status == FP_OK || r->status == FP_CONFLICT)
		directory_schedule(&d->secret, 0);
	else
		directory_task_failed(&d->secret, r->status);
}

/* Writes a secret unless there is one. */
static void write_secret(struct fp_directory *d, const uint8_t *secret)
{
	d->calls[FP_DIRECTORY_SECRET]++;
	d->cfg.registry->ops->put(d->cfg.registry, SECRET_KEY, secret,
				  FP_DIRECTORY_SECRET_BYTES, 0, 0,
				  on_secret_written, d);
}

static void create_secret(struct fp_directory *d)
{
	uint8_t secret[FP_DIRECTORY_SECRET_BYTES];

	randombytes_buf(secret, sizeof(secret));
	write_secret(d, secret);
	sodium_memzero(secret, sizeof(secret));
}

/* Takes the secret that the store holds. Links use the first one, so another one
 * cuts this node off from nodes that start. */
static void take_secret(struct fp_directory *d, const uint8_t *secret)
{
	if (!d->has_secret) {
		d->has_secret = true;
		memcpy(d->secret_value, secret, sizeof(d->secret_value));
		d->ops.secret(d->ops.ctx, secret);
	} else if (sodium_memcmp(d->secret_value, secret,
				 sizeof(d->secret_value)) != 0) {
		fp_log(FP_LOG_ERROR, "secret_differs", "epoch=%" PRIu64,
		       d->epoch);
	}
}

static void on_secret(void *ctx, const struct fp_registry_result *r)
{
	struct fp_directory *d = ctx;

	if (d->closed)
		return;
	directory_note_epoch(d, r);
	if (r->status == FP_NOT_FOUND && !d->secret_awaited) {
		d->secret_awaited = true;
		directory_schedule(&d->secret,
				   randombytes_uniform(SECRET_WAIT_US));
		return;
	}
	if (r->status == FP_NOT_FOUND && d->has_secret) {
		write_secret(d, d->secret_value);
		return;
	}
	if (r->status == FP_NOT_FOUND) {
		create_secret(d);
		return;
	}
	if (r->status != FP_OK || !r->n_items ||
	    r->items[0].value_bytes != FP_DIRECTORY_SECRET_BYTES) {
		directory_task_failed(&d->secret, r->status);
		return;
	}
	directory_task_succeeded(&d->secret);
	take_secret(d, r->items[0].value);
}

/* The secret never changes, so an old read of it is as good as a new one. If it
 * is missing, the nodes of a fleet that starts wait for different times, and the
 * first one creates it for all. */
static void step_secret(struct fp_directory *d)
{
	d->calls[FP_DIRECTORY_SECRET]++;
	d->cfg.registry->ops->get(d->cfg.registry, SECRET_KEY,
				  !d->secret_awaited, on_secret, d);
}

void directory_secret_restored(struct fp_directory *d)
{
	if (!d->has_secret || !directory_reads_store(d))
		return;
	d->secret_awaited = true; /* no read that may be old */
	directory_schedule(&d->secret, randombytes_uniform(SECRET_WAIT_US));
}

/* --- config --- */

void directory_text_clear(struct directory_text *t)
{
	free(t->text);
	memset(t, 0, sizeof(*t));
}

void directory_note_config_revision(struct fp_directory *d, uint64_t revision)
{
	if (revision > d->newest_revision)
		d->newest_revision = revision;
}

bool directory_record_is_old(const struct fp_directory *d)
{
	return d->config_valid && d->record_revision < d->newest_revision;
}

bool directory_apply_config(struct fp_directory *d, const char *text,
			    size_t bytes, uint64_t item_revision)
{
	struct fp_config *c;

	if (d->cfg.dialect->config(text, bytes, &c) != FP_OK) {
		fp_log(FP_LOG_ERROR, "config_refused",
		       "item_revision=" FP_REVISION_FORMAT " why=\"%s\"",
		       FP_REVISION_ARGS(item_revision), fp_last_message());
		return false;
	}
	d->record_revision = c->revision;
	directory_note_config_revision(d, c->revision);
	if (c->revision < d->newest_revision)
		fp_log(FP_LOG_WARN, "config_old",
		       "revision=%" PRIu64 " newest=%" PRIu64
		       " item_revision=" FP_REVISION_FORMAT,
		       c->revision, d->newest_revision,
		       FP_REVISION_ARGS(item_revision));
	/* An older one never replaces the configuration in force. */
	if (c->revision <= d->revision) {
		fp_config_end(c);
		return true;
	}
	fp_log(FP_LOG_INFO, "config_received",
	       "revision=%" PRIu64 " before=%" PRIu64
	       " routes=%u organisations=%u keys=%u",
	       c->revision, d->revision, c->n_routes, c->n_orgs, c->n_keys);
	d->revision = c->revision;
	if (fp_config_has_cold_rate(c))
		d->has_cold_rate = true;
	d->ops.config(d->ops.ctx, c);
	return true;
}

/* Keeps a record for followers that ask for it. */
static void keep_text(struct fp_directory *d, const struct fp_registry_item *it)
{
	struct directory_text *t = &d->read_text;

	directory_text_clear(t);
	t->text = malloc(it->value_bytes + 1);
	if (!t->text)
		abort();
	memcpy(t->text, it->value, it->value_bytes);
	t->bytes = (uint32_t)it->value_bytes;
	t->total_bytes = t->bytes;
	t->item_revision = it->revision;
}

/* Returns the configuration record in an answer; NULL: there is none. */
static const struct fp_registry_item *
find_config(const struct fp_directory *d, const struct fp_registry_result *r)
{
	size_t i;

	for (i = 0; i < r->n_items; i++)
		if (strcmp(r->items[i].key, d->cfg.dialect->config_key) == 0)
			return &r->items[i];
	return NULL;
}

static void on_config(void *ctx, const struct fp_registry_result *r)
{
	struct fp_directory *d = ctx;
	const struct fp_registry_item *it;
	int64_t now_us = fp_mono_us(d->cfg.clock);
	int64_t next_us = d->config_requested_us + CONFIG_PERIOD_US;

	if (d->closed)
		return;
	directory_note_epoch(d, r);
	it = r->status == FP_OK ? find_config(d, r) : NULL;
	if (!it && (r->status == FP_NOT_FOUND || r->status == FP_OK) &&
	    !d->config_item_revision) {
		directory_schedule(
			&d->config,
			NO_CONFIG_US / 2 +
				randombytes_uniform(NO_CONFIG_US / 2));
		return;
	}
	if (!it) {
		directory_task_failed(&d->config, r->status);
		directory_own_read_failed(d);
		directory_answer_followers(d, FP_UNAVAILABLE);
		return;
	}
	d->n_delegates_failed = 0;
	d->config_read_us = d->config_requested_us;
	directory_task_succeeded(&d->config);
	if (it->revision != d->config_item_revision)
		d->config_valid =
			directory_apply_config(d, (const char *)it->value,
					       it->value_bytes, it->revision);
	if (d->config_listed && !directory_record_is_old(d))
		directory_read_evacuation(d, r);
	if (it->revision != d->read_text.item_revision)
		keep_text(d, it);
	d->config_item_revision = it->revision;
	/* A record that cannot be decoded may withdraw a key, so the old
	 * configuration must not be confirmed as fresh. */
	if (d->config_valid && !directory_record_is_old(d))
		d->ops.config_confirmed(d->ops.ctx, d->config_requested_us);
	directory_answer_followers(d, FP_OK);
	directory_schedule(&d->config, next_us > now_us ? next_us - now_us : 0);
}

/* Failure domains are evacuated only in deployments whose services have a cold
 * rate, since their workers come back cold. Elsewhere one key is read, except
 * by a process that does not know the configuration yet. */
static bool reads_evacuations(const struct fp_directory *d)
{
	return (d->has_cold_rate || !d->revision) &&
	       d->cfg.dialect->evacuation_prefix;
}

static void step_config(struct fp_directory *d)
{
	if (d->delegate_pending)
		directory_delegate_timed_out(d);
	if (d->record_pending)
		directory_record_timed_out(d);
	else if (directory_query_delegate(d))
		return;
	d->newer_reported = false;
	d->config_requested_us = fp_mono_us(d->cfg.clock);
	d->calls[FP_DIRECTORY_CONFIG]++;
	d->config_listed = reads_evacuations(d);
	if (d->config_listed) {
		d->cfg.registry->ops->list(d->cfg.registry,
					   d->cfg.dialect->operator_prefix,
					   on_config, d);
		return;
	}
	d->cfg.registry->ops->get(d->cfg.registry, d->cfg.dialect->config_key,
				  false, on_config, d);
}

/* --- init and end --- */

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
	task_init(d, &d->secret, "secret", step_secret);
	task_init(d, &d->config, "config", step_config);
	task_init(d, &d->own_record, "own_record", directory_step_own_record);
	task_init(d, &d->members, "members", directory_step_members);
	task_init(d, &d->end.task, "worker_end", directory_step_worker_end);
	directory_schedule(&d->secret, 0);
	directory_schedule(&d->config, 0);
	directory_schedule(&d->own_record, 0);
	directory_schedule(&d->end.task, 0);
	return d;
}

bool fp_directory_is_ready(const struct fp_directory *d)
{
	return d->has_secret && d->revision && d->has_members;
}

uint64_t fp_directory_revision(const struct fp_directory *d)
{
	return d->revision;
}

const struct fp_evacuation *
fp_directory_evacuation(const struct fp_directory *d)
{
	return &d->evacuation;
}

void fp_directory_close(struct fp_directory *d)
{
	if (!d)
		return;
	d->closed = true;
	fp_timer_cancel(d->loop, &d->secret.timer);
	fp_timer_cancel(d->loop, &d->config.timer);
	fp_timer_cancel(d->loop, &d->own_record.timer);
	fp_timer_cancel(d->loop, &d->members.timer);
	fp_timer_cancel(d->loop, &d->end.task.timer);
}

void fp_directory_end(struct fp_directory *d)
{
	struct directory_record *rec;
	struct directory_follower *k;

	if (!d)
		return;
	sodium_memzero(d->secret_value, sizeof(d->secret_value));
	directory_text_clear(&d->read_text);
	directory_text_clear(&d->received);
	while ((k = d->followers)) {
		d->followers = k->next;
		free(k);
	}
	while ((rec = d->records)) {
		d->records = rec->next;
		free(rec);
	}
	free(d);
}
