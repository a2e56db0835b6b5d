/*
 * config_sync.c - distributes the newest configuration to every node
 *
 * The configuration record is in the store and written only by
 * compare-and-swap, so its revisions are totally ordered. A few delegates of
 * each failure domain watch it, and the other nodes get it from peers, so the
 * store's load grows with the number of domains, not of nodes. A node that
 * applies a higher revision pushes it to FP_CONFIG_FANOUT random peers at once.
 * Membership probes carry the sender's revision; a node that sees a higher one
 * requests the record. So every node has a new revision within seconds. Only
 * higher revisions are applied, from any sender, so the configuration never
 * reverts.
 *
 * Each node also keeps the age of the newest contact with the store, its own or
 * a peer's. Messages carry ages, not times, so that clocks of different nodes
 * are never compared.
 */
#include "coordination/config_sync.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "coordination/operator_api.h"
#include "protocol/config_codec.h"
#include "protocol/msg_config.h"

/* The store answers a watch without a change after this time. */
#define WATCH_WAIT_US FP_US_PER_S
/* The backoff after failed calls to the store starts at twice MIN_RETRY_US and
 * is limited by MAX_RETRY_US. A missing record is read again after
 * MIN_RETRY_US. */
#define MIN_RETRY_US (250 * FP_US_PER_MS)
#define MAX_RETRY_US (2 * FP_US_PER_S)
/* Minimum time between requests for the record to peers. */
#define PULL_INTERVAL_US FP_US_PER_S
/* Age of the newest store contact when there was none. */
#define NO_CONTACT_US FP_MAX_AGE_US

struct fp_config_sync {
	struct fp_loop *loop;
	struct fp_store *store;
	struct fp_config_sync_ops ops;
	struct fp_config *config; /* in force, NULL before the first */
	char *text; /* of the record in force, as in the store */
	uint64_t store_version; /* version of text in the store */
	uint64_t seen_version; /* newest version received, valid or not */
	int64_t contact_us; /* newest store contact, on this node's clock */
	bool has_contact;
	bool delegate;
	bool reading; /* a get or watch is in flight */
	bool read_once; /* the store has answered a read */
	int64_t retry_us; /* last backoff; doubled by each failure */
	int64_t pulled_us; /* time of the last request to a peer */
	struct fp_timer retry;
	struct fp_counter *applied;
	struct fp_counter *bad_records;
	struct fp_counter *revision; /* gauge: revision in force */
};

/* An operator's change or read in progress. */
struct operator_call {
	struct fp_config_sync *s;
	char *body; /* NULL: a read */
	char *authorization;
	bool has_bootstrap;
	uint8_t bootstrap[FP_KEY_HASH_BYTES]; /* if has_bootstrap */
	fp_config_change_fn done;
	void *ctx;
	char *answer; /* JSON, sent after the write took effect */
	char *new_text; /* of the record being written */
};

/* --- applying revisions --- */

/* Records that the store was reached age_us ago, by this node or a peer. */
static void note_contact(struct fp_config_sync *s, int64_t age_us)
{
	int64_t at_us = fp_loop_now_us(s->loop) - age_us;

	if (age_us >= NO_CONTACT_US)
		return;
	if (!s->has_contact || at_us > s->contact_us)
		s->contact_us = at_us;
	s->has_contact = true;
}

int64_t fp_config_sync_store_age_us(const struct fp_config_sync *s)
{
	int64_t age_us;

	if (!s->has_contact)
		return NO_CONTACT_US;
	age_us = fp_loop_now_us(s->loop) - s->contact_us;
	return age_us < NO_CONTACT_US ? age_us : NO_CONTACT_US;
}

/* Sends the record to one peer, or to random ones when peer is NULL. */
static void push(struct fp_config_sync *s, const char *peer)
{
	struct fp_msg_config_record m = {
		.revision = s->config->revision,
		.store_version = s->store_version,
		.store_age_us = fp_config_sync_store_age_us(s),
		.text = s->text,
		.text_bytes = strlen(s->text),
	};
	const char *addrs[FP_CONFIG_FANOUT];
	msgpack_sbuffer buf;
	uint32_t n = 1;
	uint32_t i;

	addrs[0] = peer;
	if (!peer)
		n = s->ops.peers(s->ops.ctx, addrs, FP_CONFIG_FANOUT);
	msgpack_sbuffer_init(&buf);
	fp_msg_config_record_encode(&m, &buf);
	for (i = 0; i < n; i++)
		s->ops.send(s->ops.ctx, addrs[i], buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/* Applies a record if its revision is higher than the one in force. */
static enum fp_status apply(struct fp_config_sync *s, const char *text,
			    size_t bytes, uint64_t version)
{
	struct fp_config *c;
	enum fp_status st = fp_config_decode(text, bytes, &c);

	if (version > s->seen_version)
		s->seen_version = version;
	if (st != FP_OK) {
		fp_counter_add(s->bad_records, 1);
		fp_log(FP_LOG_ERROR, "config_refused",
		       "version=%" PRIu64 " why=\"%s\"", version,
		       fp_last_message());
		return st;
	}
	if (s->config && c->revision <= s->config->revision) {
		fp_config_end(c);
		return FP_OK;
	}
	fp_config_end(s->config);
	free(s->text);
	s->config = c;
	s->text = strndup(text, bytes);
	s->store_version = version;
	if (!s->text)
		abort();
	fp_counter_add(s->applied, 1);
	fp_counter_set(s->revision, (int64_t)c->revision);
	fp_log(FP_LOG_INFO, "config_applied",
	       "revision=%" PRIu64 " change=%s preset=%s", c->revision,
	       c->change_id, c->presets[c->active_preset].name);
	s->ops.publish(s->ops.ctx, c);
	push(s, NULL);
	return FP_OK;
}

/* --- the store --- */

static void read_store(struct fp_config_sync *s);

static void on_retry(void *ctx)
{
	read_store(ctx);
}

static void schedule_read(struct fp_config_sync *s, int64_t delay_us)
{
	fp_timer_set(s->loop, &s->retry, fp_loop_now_us(s->loop) + delay_us,
		     on_retry, s);
}

/* A node without a configuration reads the store although it is no delegate. */
static bool uses_store(const struct fp_config_sync *s)
{
	return s->delegate || !s->config;
}

static void on_read(void *ctx, const struct fp_store_result *r)
{
	struct fp_config_sync *s = ctx;

	s->reading = false;
	switch (r->status) {
	case FP_OK:
		apply(s, r->value, r->value_bytes, r->version);
		break;
	case FP_AGAIN:
	case FP_NOT_FOUND:
		break;
	default:
		s->retry_us = s->retry_us * 2 < MAX_RETRY_US ? s->retry_us * 2 :
							       MAX_RETRY_US;
		schedule_read(s, s->retry_us);
		return;
	}
	s->read_once = true;
	s->retry_us = MIN_RETRY_US;
	note_contact(s, 0);
	schedule_read(s, r->status == FP_NOT_FOUND ? MIN_RETRY_US : 0);
}

/* Gets the record until a version of it is known, then watches it. Without
 * changes that is one call to the store per WATCH_WAIT_US, or per MIN_RETRY_US
 * while there is no record. */
static void read_store(struct fp_config_sync *s)
{
	if (s->reading || !uses_store(s))
		return;
	s->reading = true;
	if (!s->seen_version)
		s->store->ops->get(s->store, FP_CONFIG_KEY, on_read, s);
	else
		s->store->ops->watch(s->store, FP_CONFIG_KEY, s->seen_version,
				     WATCH_WAIT_US, on_read, s);
}

void fp_config_sync_set_delegate(struct fp_config_sync *s, bool delegate)
{
	if (s->delegate == delegate)
		return;
	s->delegate = delegate;
	fp_log(FP_LOG_INFO, "delegate", "config=%d", delegate);
	read_store(s);
}

/* --- peers --- */

void fp_config_sync_note_peer(struct fp_config_sync *s, const char *addr,
			      uint64_t revision, int64_t store_age_us)
{
	int64_t now_us = fp_loop_now_us(s->loop);
	uint64_t own = s->config ? s->config->revision : 0;
	msgpack_sbuffer buf;

	if (store_age_us >= 0)
		note_contact(s, store_age_us);
	if (revision <= own || now_us - s->pulled_us < PULL_INTERVAL_US)
		return;
	s->pulled_us = now_us;
	msgpack_sbuffer_init(&buf);
	fp_msg_config_get_encode(&buf);
	s->ops.send(s->ops.ctx, addr, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

enum fp_status fp_config_sync_message(struct fp_config_sync *s,
				      const char *from, const uint8_t *data,
				      size_t bytes)
{
	struct fp_msg_config_record m;
	enum fp_status st;

	if (fp_msg_config_get_decode(data, bytes) == FP_OK) {
		if (s->config)
			push(s, from);
		return FP_OK;
	}
	st = fp_msg_config_record_decode(data, bytes, &m);
	if (st != FP_OK)
		return st;
	note_contact(s, m.store_age_us);
	if (s->config && m.revision <= s->config->revision)
		return FP_OK;
	return apply(s, m.text, m.text_bytes, m.store_version);
}

/* --- operators --- */

static void finish_call(struct operator_call *c, int http_status,
			const char *answer)
{
	c->done(c->ctx, http_status, answer);
	free(c->body);
	free(c->authorization);
	free(c->answer);
	free(c->new_text);
	free(c);
}

static void on_written(void *ctx, const struct fp_store_result *r)
{
	struct operator_call *c = ctx;
	struct fp_config_sync *s = c->s;
	char *conflict;

	switch (r->status) {
	case FP_OK:
		note_contact(s, 0);
		apply(s, c->new_text, strlen(c->new_text), r->version);
		finish_call(c, 200, c->answer);
		return;
	case FP_CONFLICT:
		conflict = fp_operator_conflict(
			s->config ? s->config->revision : 0);
		finish_call(c, 409, conflict ? conflict : "{}");
		free(conflict);
		return;
	case FP_UNAVAILABLE:
		finish_call(c, 503,
			    "{\"accepted\": false, \"reason\": \"the store "
			    "cannot be reached; nothing was changed\"}");
		return;
	default:
		finish_call(c, 202, "{\"accepted\": \"unknown\"}");
	}
}

static void write_change(struct operator_call *c, const struct fp_config *now,
			 uint64_t version)
{
	struct fp_config_sync *s = c->s;
	struct fp_config *next = NULL;
	enum fp_status st;

	st = fp_operator_change(now, c->body, &next, &c->answer);
	if (st != FP_OK || !next) {
		finish_call(c, fp_operator_http_status(st),
			    c->answer ? c->answer : "{}");
		return;
	}
	st = fp_config_encode(next, &c->new_text);
	fp_config_end(next);
	if (st != FP_OK) {
		finish_call(c, 400,
			    "{\"accepted\": false, \"reason\": \"the record "
			    "would be too long\"}");
		return;
	}
	s->store->ops->cas(s->store, FP_CONFIG_KEY, c->new_text, version,
			   on_written, c);
}

static void on_read_for_change(void *ctx, const struct fp_store_result *r)
{
	struct operator_call *c = ctx;
	struct fp_config *now = NULL;
	const char *name;

	if (r->status != FP_OK && r->status != FP_NOT_FOUND) {
		finish_call(c, 503,
			    "{\"accepted\": false, \"reason\": \"the store "
			    "cannot be reached; nothing was changed\"}");
		return;
	}
	note_contact(c->s, 0);
	if (r->status == FP_OK &&
	    fp_config_decode(r->value, r->value_bytes, &now) != FP_OK) {
		finish_call(c, 503,
			    "{\"accepted\": false, \"reason\": \"the record in "
			    "the store cannot be read\"}");
		return;
	}
	if (fp_operator_check(now, c->has_bootstrap ? c->bootstrap : NULL,
			      c->authorization, &name) != FP_OK)
		finish_call(c, 401, "{\"reason\": \"not an operator's key\"}");
	else if (!c->body)
		finish_call(c, 200, now ? r->value : "{}");
	else
		write_change(c, now, r->version);
	fp_config_end(now);
}

static void start_call(struct fp_config_sync *s,
		       const struct fp_operator_request *r,
		       fp_config_change_fn done, void *ctx)
{
	struct operator_call *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	c->s = s;
	c->done = done;
	c->ctx = ctx;
	c->body = r->body ? strdup(r->body) : NULL;
	c->authorization = r->authorization ? strdup(r->authorization) : NULL;
	c->has_bootstrap = r->bootstrap != NULL;
	if (r->bootstrap)
		memcpy(c->bootstrap, r->bootstrap, sizeof(c->bootstrap));
	s->store->ops->get(s->store, FP_CONFIG_KEY, on_read_for_change, c);
}

void fp_config_sync_change(struct fp_config_sync *s,
			   const struct fp_operator_request *r,
			   fp_config_change_fn done, void *ctx)
{
	start_call(s, r, done, ctx);
}

void fp_config_sync_read(struct fp_config_sync *s,
			 const struct fp_operator_request *r,
			 fp_config_change_fn done, void *ctx)
{
	start_call(s, r, done, ctx);
}

/* --- init and end --- */

enum fp_status fp_config_sync_init(struct fp_loop *l, struct fp_store *store,
				   const struct fp_config_sync_ops *ops,
				   struct fp_counters *cs,
				   struct fp_config_sync **out)
{
	struct fp_config_sync *s = calloc(1, sizeof(*s));

	if (!s)
		return fp_fail(FP_NOMEM, "out of memory");
	s->loop = l;
	s->store = store;
	s->ops = *ops;
	s->retry_us = MIN_RETRY_US;
	s->pulled_us = fp_loop_now_us(l) - PULL_INTERVAL_US;
	s->applied = fp_counter_get(cs, "fulmar_config_applied_total", "");
	s->bad_records = fp_counter_get(cs, "fulmar_config_bad_total", "");
	s->revision = fp_counter_get(cs, "fulmar_config_known_revision", "");
	schedule_read(s, 0);
	*out = s;
	return FP_OK;
}

const struct fp_config *fp_config_sync_current(const struct fp_config_sync *s)
{
	return s->config;
}

const char *fp_config_sync_text(const struct fp_config_sync *s,
				uint64_t *store_version)
{
	*store_version = s->store_version;
	return s->text;
}

void fp_config_sync_end(struct fp_config_sync *s)
{
	if (!s)
		return;
	fp_timer_cancel(s->loop, &s->retry);
	fp_config_end(s->config);
	free(s->text);
	free(s);
}
