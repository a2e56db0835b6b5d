/*
 * directory_worker_end.c - the end of this node's worker, kept for a later process
 *
 * Whether an announcement of a worker is old shows only by comparison with a
 * later one. An announcement may arrive seconds late, after a restart of the
 * node, so the last one of a worker that leaves is kept in the store, and the
 * next process reads it before it has members or writes its own record.
 *
 * The record has a key of its own, since that of the node is removed with the
 * lease of its process, in a planned stop at once. It is under a lease that is
 * never renewed: END_LEASE_US is far longer than an announcement may be under
 * way, and the records of nodes that are gone for good are removed in the end.
 *
 * A store that came back from a copy may have lost the end and its lease, or have
 * an older one. The end is written again in any case; if it is there, the conflict
 * shows what is there.
 *
 * As the record of the node, it is written only over the revision that this
 * process knows, so that a late write of an earlier process replaces nothing.
 */
#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "coordination/directory_private.h"
#include "protocol/json.h"

#define ENDS_PREFIX "fulmar/ends/"
/* The longest lease of the store. */
#define END_LEASE_US	 (600 * FP_US_PER_S)
#define MAX_RECORD_BYTES 512
/* The nodes of a fleet write again within this time after a return. */
#define RESTORE_SPREAD_US (500 * FP_US_PER_MS)

static bool same_end(const struct fp_worker_end *a,
		     const struct fp_worker_end *b)
{
	return strcmp(a->instance, b->instance) == 0 &&
	       a->started_ms == b->started_ms && a->sequence == b->sequence &&
	       a->deregistered == b->deregistered;
}

static char *encode(const struct fp_worker_end *e)
{
	json_t *j = json_pack("{s:s,s:I,s:I,s:b}", "ended", e->instance, "born",
			      (json_int_t)e->started_ms, "sequence",
			      (json_int_t)e->sequence, "left", e->deregistered);
	char *text = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	if (!text)
		abort();
	return text;
}

static bool decode(const struct fp_registry_item *it, struct fp_worker_end *e)
{
	json_t *j =
		json_loadb((const char *)it->value, it->value_bytes, 0, NULL);
	json_int_t started_ms = 0;
	json_int_t sequence = 0;
	bool ok;

	memset(e, 0, sizeof(*e));
	ok = it->value_bytes <= MAX_RECORD_BYTES &&
	     fp_json_text(j, "ended", e->instance, sizeof(e->instance)) &&
	     fp_json_integer(j, "born", 0, FP_MAX_WALL_MS, &started_ms) &&
	     fp_json_integer(j, "sequence", 0, INT64_MAX, &sequence) &&
	     json_is_boolean(json_object_get(j, "left"));
	e->started_ms = started_ms;
	e->sequence = (uint64_t)sequence;
	e->deregistered = json_is_true(json_object_get(j, "left"));
	json_decref(j);
	return ok;
}

static void format_key(const struct fp_directory *d, char *key, size_t size)
{
	snprintf(key, size, "%s%s", ENDS_PREFIX, d->cfg.self.name);
}

/* Takes over what stands in the store; NULL: nothing. */
static void apply_record(struct fp_directory *d,
			 const struct fp_registry_item *it)
{
	struct directory_end *end = &d->end;

	end->revision = it ? it->revision : 0;
	memset(&end->stored, 0, sizeof(end->stored));
	if (!it)
		return;
	if (!decode(it, &end->stored)) {
		memset(&end->stored, 0, sizeof(end->stored));
		fp_log(FP_LOG_WARN, "worker_end_unreadable", "key=%s", it->key);
		return;
	}
	fp_log(FP_LOG_INFO, "worker_end_read",
	       "instance=%s born_ms=%" PRId64 " sequence=%" PRIu64
	       " left=%d revision=" FP_REVISION_FORMAT,
	       end->stored.instance, end->stored.started_ms,
	       end->stored.sequence, end->stored.deregistered,
	       FP_REVISION_ARGS(end->revision));
	d->ops.worker_ended(d->ops.ctx, &end->stored);
}

static void on_read(void *ctx, const struct fp_registry_result *r)
{
	struct fp_directory *d = ctx;

	if (d->closed)
		return;
	directory_note_epoch(d, r);
	if (r->status != FP_OK && r->status != FP_NOT_FOUND) {
		directory_task_failed(&d->end.task, r->status);
		return;
	}
	directory_task_succeeded(&d->end.task);
	apply_record(d, r->status == FP_OK && r->n_items ? r->items : NULL);
	d->end.was_read = true;
	directory_schedule(&d->members, 0);
	directory_schedule(&d->end.task, 0);
}

static void report_stored(struct fp_directory *d)
{
	const struct fp_worker_end *e = &d->end.stored;

	fp_log(FP_LOG_INFO, "worker_end_stored",
	       "instance=%s sequence=%" PRIu64
	       " left=%d revision=" FP_REVISION_FORMAT,
	       e->instance, e->sequence, e->deregistered,
	       FP_REVISION_ARGS(d->end.revision));
	d->ops.worker_end_stored(d->ops.ctx, e);
}

static void on_written(void *ctx, const struct fp_registry_result *r)
{
	struct fp_directory *d = ctx;
	struct directory_end *end = &d->end;

	if (d->closed)
		return;
	end->pending = false;
	directory_note_epoch(d, r);
	if (r->status == FP_OK) {
		directory_task_succeeded(&end->task);
		end->revision = r->revision;
		end->stored = end->sent;
		report_stored(d);
		directory_schedule(&end->task, 0);
		return;
	}
	/* A write without an answer took effect, or one of an earlier process
	 * was done late: that one may know of a later start of the worker. */
	if (r->status == FP_CONFLICT) {
		apply_record(d, r->n_items ? r->items : NULL);
		if (same_end(&end->wanted, &end->stored))
			report_stored(d);
	}
	if (r->status == FP_NOT_FOUND)
		end->lease = 0;
	directory_task_failed(&end->task, r->status);
}

static void write_end(struct fp_directory *d)
{
	struct directory_end *end = &d->end;
	char key[sizeof(ENDS_PREFIX) + FP_NAME_BYTES];
	char *text = encode(&end->wanted);

	format_key(d, key, sizeof(key));
	end->sent = end->wanted;
	end->pending = true;
	d->calls[FP_DIRECTORY_END]++;
	d->cfg.registry->ops->put(d->cfg.registry, key, text, strlen(text),
				  end->lease, end->revision, on_written, d);
	free(text);
}

static void on_lease(void *ctx, const struct fp_registry_result *r)
{
	struct fp_directory *d = ctx;

	if (d->closed)
		return;
	d->end.pending = false;
	directory_note_epoch(d, r);
	if (r->status != FP_OK) {
		directory_task_failed(&d->end.task, r->status);
		return;
	}
	d->end.lease = r->lease;
	d->end.lease_opened_us = fp_mono_us(d->cfg.clock);
	directory_schedule(&d->end.task, 0);
}

void directory_step_worker_end(struct fp_directory *d)
{
	struct directory_end *end = &d->end;
	struct fp_registry *r = d->cfg.registry;
	char key[sizeof(ENDS_PREFIX) + FP_NAME_BYTES];

	if (end->pending)
		return;
	if (!end->was_read) {
		format_key(d, key, sizeof(key));
		d->calls[FP_DIRECTORY_END]++;
		r->ops->get(r, key, false, on_read, d);
		return;
	}
	if (!end->wanted.instance[0] || same_end(&end->wanted, &end->stored))
		return;
	/* A lease is used again while more than half of it is left. */
	if (end->lease && fp_mono_us(d->cfg.clock) - end->lease_opened_us <
				  END_LEASE_US / 2) {
		write_end(d);
		return;
	}
	end->pending = true;
	d->calls[FP_DIRECTORY_END]++;
	r->ops->open_lease(r, END_LEASE_US, on_lease, d);
}

void directory_worker_end_restored(struct fp_directory *d)
{
	struct directory_end *end = &d->end;

	end->lease = 0;
	end->revision = 0;
	memset(&end->stored, 0, sizeof(end->stored));
	if (end->was_read && !end->pending && end->wanted.instance[0])
		directory_schedule(&end->task,
				   randombytes_uniform(RESTORE_SPREAD_US));
}

void fp_directory_set_worker_end(struct fp_directory *d,
				 const struct fp_worker_end *e)
{
	struct directory_end *end = &d->end;

	if (same_end(&end->wanted, e))
		return;
	end->wanted = *e;
	if (!e->instance[0])
		return;
	if (same_end(e, &end->stored))
		report_stored(d);
	else if (end->was_read)
		directory_schedule(&end->task, 0);
}
