/*
 * directory.c - members and operators' record out of a store with leases
 *
 * Four small machines share the store, each with one call in flight at most
 * and a timer for its next step:
 *
 *	secret	read, or made by whoever writes it first
 *	config	read again and again, by one node of a failure domain for
 *		the others (directory_relay.c). Each answer shows that the
 *		record was current when the question was sent. A watch would
 *		not: one whose history is being dropped hears nothing for a
 *		while.
 *	own	a lease with this node's record under it, renewed
 *	others	all records listed, then watched while none is missing
 *
 * The last two are in directory_members.c.
 *
 * A step that fails is repeated after a pause that doubles, with jitter, so
 * that a store in trouble is not kept there by its clients.
 */

#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "coordination/directory_private.h"

#define SECRET_KEY "fulmar/secret"

/* Times, in microseconds. */
#define CONFIG_EVERY_US FP_US_PER_S /* half of the time to put it in force */
#define FIRST_PAUSE_US	(100 * FP_US_PER_MS)
#define LAST_PAUSE_US	(800 * FP_US_PER_MS) /* back within 2 s of a return */

/* --- steps --- */

static void on_step(void *ctx)
{
	struct directory_machine *m = ctx;

	if (!m->d->closed)
		m->step(m->d);
}

void directory_run_after(struct directory_machine *m, int64_t pause_us)
{
	struct fp_loop *l = m->d->loop;

	fp_timer_set(l, &m->timer, fp_loop_now_us(l) + pause_us, on_step, m);
}

void directory_succeeded(struct directory_machine *m)
{
	if (m->failing)
		fp_log(FP_LOG_INFO, "store_regained", "what=%s", m->what);
	m->failing = false;
	m->pause_us = FIRST_PAUSE_US;
}

void directory_failed(struct directory_machine *m, enum fp_status st)
{
	int64_t jitter_us = randombytes_uniform((uint32_t)m->pause_us);

	if (!m->failing)
		fp_log(FP_LOG_WARN, "store_lost", "what=%s why=%s", m->what,
		       fp_status_name(st));
	m->failing = true;
	directory_run_after(m, m->pause_us / 2 + jitter_us);
	m->pause_us *= 2;
	if (m->pause_us > LAST_PAUSE_US)
		m->pause_us = LAST_PAUSE_US;
}

static void machine_init(struct fp_directory *d, struct directory_machine *m,
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
		directory_run_after(&d->secret, 0);
	else
		directory_failed(&d->secret, r->status);
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
		directory_failed(&d->secret, r->status);
		return;
	}
	directory_succeeded(&d->secret);
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
		directory_failed(&d->config, r->status);
		directory_answer_followers(d, FP_UNAVAILABLE);
		return;
	}
	directory_succeeded(&d->config);
	if (r->items[0].revision != d->config_item)
		d->config_read = take_config(d, &r->items[0]);
	d->config_item = r->items[0].revision;
	/* What cannot be read may take a key away. */
	if (d->config_read)
		d->ops.current(d->ops.ctx, d->config_asked_us);
	directory_answer_followers(d, FP_OK);
	directory_run_after(&d->config,
			    next_us > now_us ? next_us - now_us : 0);
}

static void step_config(struct fp_directory *d)
{
	if (d->relayed)
		directory_delegate_silent(d);
	else if (directory_ask_delegate(d))
		return;
	d->read_now = false;
	d->config_asked_us = fp_mono_us(d->cfg.clock);
	d->cfg.registry->ops->get(d->cfg.registry, d->cfg.dialect->config_key,
				  on_config, d);
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
	machine_init(d, &d->own, "own_record", directory_step_own);
	machine_init(d, &d->others, "members", directory_step_others);
	directory_run_after(&d->secret, 0);
	directory_run_after(&d->config, 0);
	directory_run_after(&d->own, 0);
	directory_run_after(&d->others, 0);
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
	struct directory_record *rec;
	struct directory_follower *k;

	if (!d)
		return;
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
