/*
 * tokens.c - tokens of organisations at the entry
 *
 * A request takes a token that is at hand without waiting for anyone. When
 * none is, it waits in its organisation's queue while the owner of the bucket
 * is asked. What the owner says decides how a wait ends: if the bucket is
 * empty the organisation is over its rate; if no owner answers the refusal
 * says so, and is counted apart.
 *
 * Where the store holds the members, each node has an equal part of the rate.
 * It commits the part to the bucket that it asks (parts.c), and spends it by
 * itself when it gets no answer and the commitment is over.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "node/call.h"
#include "node/owner.h"
#include "node/tokens_private.h"
#include "protocol/msg_shared.h"
#include "state/slice_map.h"

#define ASK_TIMEOUT_US	 (100 * FP_US_PER_MS)
#define NO_OWNER_WAIT_US FP_US_PER_S
/* Parts of a rate earn slowly, and a few requests come at once. */
#define PART_WAIT_US (200 * FP_US_PER_MS)
#define ASK_AGAIN_US (20 * FP_US_PER_MS)
#define MAX_WAITING  1024u
/* After so long with an owner the equal part begins with a token. */
#define SHARE_REST_US (2 * FP_US_PER_S)
/* Between two lines of what an organisation spent. */
#define REPORT_US FP_US_PER_S
/* By then the parts of all nodes that lost a bucket are in the next one: a hold,
 * and an idle node's look at its link. */
#define SETTLE_US (FP_PART_HOLD_US + 300 * FP_US_PER_MS)
/* How long an organisation counts as at its limit after an empty bucket. */
#define AT_LIMIT_US (2 * FP_US_PER_S)
static void set_rate(struct org_tokens *o)
{
	const struct fp_config *cfg = o->t->config;
	int i = cfg ? fp_config_find_org(cfg, o->org) : -1;
	uint32_t percent = 100;

	o->configured = i >= 0;
	if (i < 0)
		return;
	if (o->t->hosted)
		fp_part_set(&o->part, cfg->orgs[i].rate_per_s,
			    cfg->orgs[i].burst,
			    o->t->members ? o->t->members->n : 1,
			    tokens_now_us(o->t));
	o->limited = cfg->orgs[i].rate_per_s > 0;
	if (cfg->n_presets)
		percent = cfg->presets[cfg->active_preset].rate_percent;
	fp_grants_set_rate(o->grants, cfg->orgs[i].rate_per_s * percent / 100,
			   cfg->orgs[i].burst * percent / 100);
}

static struct fp_counter *spent_counter(struct fp_traffic *t, const char *org,
					const char *source)
{
	char labels[FP_NAME_BYTES + 64];

	snprintf(labels, sizeof(labels), "organisation=\"%s\",source=\"%s\"",
		 org, source);
	return fp_counter_get(t->counters, "fulmar_rate_spent_total", labels);
}

static struct org_tokens *find(struct fp_traffic *t, const char *org)
{
	struct org_tokens *o =
		apr_hash_get(t->tokens, org, APR_HASH_KEY_STRING);

	if (o)
		return o;
	o = calloc(1, sizeof(*o));
	if (!o)
		abort();
	o->t = t;
	o->grants = fp_grants_init();
	if (!o->grants)
		abort();
	memcpy(o->org, org, strlen(org) + 1);
	apr_hash_set(t->tokens, o->org, APR_HASH_KEY_STRING, o);
	o->next = t->all_tokens;
	t->all_tokens = o;
	o->spent.granted_total = spent_counter(t, org, "grant");
	o->spent.part_total = spent_counter(t, org, "part");
	o->reported_us = tokens_now_us(t);
	fp_part_init(&o->part);
	set_rate(o);
	return o;
}

static void enqueue(struct org_tokens *o, struct call *c)
{
	c->tokens = o;
	c->next_waiting = NULL;
	c->prev_waiting = o->last;
	if (o->last)
		o->last->next_waiting = c;
	else
		o->first = c;
	o->last = c;
	o->n_waiting++;
}

void tokens_forget(struct call *c)
{
	struct org_tokens *o = c->tokens;

	if (!o)
		return;
	if (c->prev_waiting)
		c->prev_waiting->next_waiting = c->next_waiting;
	else
		o->first = c->next_waiting;
	if (c->next_waiting)
		c->next_waiting->prev_waiting = c->prev_waiting;
	else
		o->last = c->prev_waiting;
	o->n_waiting--;
	c->tokens = NULL;
}

static void send_message(struct org_tokens *o, const struct fp_msg_shared *m)
{
	msgpack_sbuffer buf;

	if (o->t->hosted) {
		owner_send(o->t, o->asked_id, m);
		return;
	}
	msgpack_sbuffer_init(&buf);
	if (fp_msg_shared_encode(m, &buf) == FP_OK)
		o->t->hooks.to_slice(o->t->hooks.ctx, fp_slice_of_org(o->org),
				     buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

static void choose_bucket(struct org_tokens *o, int64_t now_us)
{
	uint64_t place = parts_place(o);

	if (place != o->asked_id)
		o->moved_us = now_us;
	o->asked_id = place;
}

static void ask(struct org_tokens *o, int64_t now_us)
{
	struct fp_msg_shared m = { .type = FP_MSG_GRANT_ASK };
	uint32_t want = fp_grants_want(o->grants, o->n_waiting, now_us);

	if (!want)
		return;
	fp_grants_asked(o->grants, now_us);
	o->asked_us = now_us;
	if (o->t->hosted)
		choose_bucket(o, now_us);
	o->ask_id = ++o->t->next_corr;
	apr_hash_set(o->t->asks, &o->ask_id, sizeof(o->ask_id), o);
	m.id = o->ask_id;
	m.grant_ask.want = want;
	memcpy(m.grant_ask.org, o->org, sizeof(o->org));
	send_message(o, &m);
}

static void hand_back(struct org_tokens *o, int64_t now_us)
{
	struct fp_msg_shared m = { .type = FP_MSG_GRANT_RETURN };

	memcpy(m.grant_return.org, o->org, sizeof(o->org));
	while (fp_grants_surplus(o->grants, now_us, &m.grant_return.grant_id,
				 &m.grant_return.tokens) == FP_OK)
		send_message(o, &m);
}

/* After so long with a bucket the equal part begins with a token. */
static bool is_rested(const struct org_tokens *o, int64_t now_us)
{
	return now_us - o->joined_us > SHARE_REST_US;
}

/* A token out of this node's own part. */
static bool take_own(struct org_tokens *o, int64_t now_us)
{
	const struct fp_right *r = &o->t->right;

	if (!o->t->hosted)
		return false;
	return fp_part_take_spare(&o->part, r, now_us) == FP_OK ||
	       (o->alone && fp_part_take(&o->part, r, is_rested(o, now_us),
					 now_us) == FP_OK);
}

static enum fp_status take_one(struct org_tokens *o, int64_t now_us)
{
	if (fp_grants_take(o->grants, now_us) == FP_OK) {
		o->spent.granted++;
		fp_counter_add(o->spent.granted_total, 1);
		return FP_OK;
	}
	if (!take_own(o, now_us))
		return FP_AGAIN;
	o->spent.part++;
	fp_counter_add(o->spent.part_total, 1);
	return FP_OK;
}

/* So that the lines of all nodes add up to what an organisation got. */
static void report_spending(struct org_tokens *o, int64_t now_us)
{
	if (now_us - o->reported_us < REPORT_US)
		return;
	if (o->spent.granted || o->spent.part)
		fp_log(FP_LOG_INFO, "rate_spent",
		       "org=%s granted=%u part=%u span_ms=%" PRId64
		       " owner=%016" PRIx64 " parts=%u part_at=%016" PRIx64,
		       o->org, o->spent.granted, o->spent.part,
		       (now_us - o->reported_us) / FP_US_PER_MS, o->asked_id,
		       o->part.share.parts,
		       fp_part_is_committed(&o->part, now_us) ? o->part.place :
								0);
	o->spent.granted = 0;
	o->spent.part = 0;
	o->reported_us = now_us;
}

/* Nobody answered, or a bucket without parts. */
static void go_alone(struct org_tokens *o, int64_t now_us)
{
	if (!o->t->hosted || o->alone)
		return;
	o->alone = true;
	fp_log(FP_LOG_WARN, "rate_alone",
	       "org=%s owner=%016" PRIx64 " late=%d part_at=%016" PRIx64
	       " right_left_ms=%" PRId64,
	       o->org, o->asked_id, o->late,
	       fp_part_is_committed(&o->part, now_us) ? o->part.place : 0,
	       (o->t->right.until_us - now_us) / FP_US_PER_MS);
}

static void join(struct org_tokens *o, int64_t now_us)
{
	if (o->alone)
		fp_log(FP_LOG_INFO, "rate_joined", "org=%s", o->org);
	o->alone = false;
	o->joined_us = now_us;
}

static void pump(struct org_tokens *o)
{
	int64_t now_us = tokens_now_us(o->t);
	struct call *c;

	while (o->first && take_one(o, now_us) == FP_OK) {
		c = o->first;
		tokens_forget(c);
		call_have_token(c);
		now_us = tokens_now_us(o->t);
	}
	ask(o, now_us);
	hand_back(o, now_us);
}

enum fp_status tokens_take(struct call *c)
{
	struct org_tokens *o = find(c->t, c->msg.org);
	int64_t now_us = tokens_now_us(c->t);

	if (c->t->hosted && !o->limited)
		return FP_OK;
	fp_grants_demand(o->grants, now_us);
	o->demand_us = now_us;
	if (!o->first && take_one(o, now_us) == FP_OK) {
		ask(o, now_us);
		return FP_OK;
	}
	if (o->n_waiting == MAX_WAITING)
		return FP_FULL;
	enqueue(o, c);
	ask(o, now_us);
	return FP_AGAIN;
}

static void refuse(struct org_tokens *o, struct call *c)
{
	tokens_forget(c);
	call_refuse(c, FP_OUTCOME_NOT_RUN,
		    o->exhausted ? FP_REASON_OVER_RATE : FP_REASON_NO_TOKENS,
		    FP_RETRY_AFTER_US);
}

static bool is_at_limit(const struct org_tokens *o, int64_t now_us)
{
	return o->exhausted_us && now_us - o->exhausted_us < AT_LIMIT_US;
}

/* The part is on its way to a bucket, or is not free yet to be spent here. */
static bool is_settling(const struct org_tokens *o, int64_t now_us)
{
	return now_us - o->moved_us < SETTLE_US ||
	       (o->alone && fp_part_is_committed(&o->part, now_us));
}

static int64_t patience_us(const struct org_tokens *o, const struct call *c,
			   int64_t now_us)
{
	bool part_of_rate = o->filling || o->alone;
	int64_t half_us = (c->deadline_us - c->started_us) / 2;

	if (o->exhausted || (part_of_rate && is_at_limit(o, now_us)))
		return FP_GRANT_WAIT_US;
	if (!o->t->hosted || !is_settling(o, now_us))
		return part_of_rate ? PART_WAIT_US : NO_OWNER_WAIT_US;
	/* There must be time to run it. */
	return half_us < SETTLE_US ? half_us : SETTLE_US;
}

/* Refuses those that would wait in vain until wait_us from now. */
static void refuse_hopeless(struct org_tokens *o, int64_t now_us,
			    int64_t wait_us)
{
	while (o->first &&
	       o->first->started_us + patience_us(o, o->first, now_us) <
		       now_us + wait_us)
		refuse(o, o->first);
}

static void close_ask(struct org_tokens *o)
{
	apr_hash_set(o->t->asks, &o->ask_id, sizeof(o->ask_id), NULL);
	o->ask_id = 0;
}

void tokens_answer(struct fp_traffic *t, uint64_t id,
		   const struct fp_grant_answer *a)
{
	struct org_tokens *o = apr_hash_get(t->asks, &id, sizeof(id));
	int64_t now_us = tokens_now_us(t);

	if (!o || id != o->ask_id)
		return;
	close_ask(o);
	o->late = false;
	o->exhausted = a->status == FP_EXHAUSTED;
	if (o->exhausted)
		o->exhausted_us = now_us;
	o->filling = o->t->hosted && a->status == FP_AGAIN;
	if (a->status == FP_OK || o->exhausted || o->filling)
		join(o, now_us);
	else
		go_alone(o, now_us);
	if (o->t->hosted && a->status == FP_UNAVAILABLE)
		parts_pass_over(o, now_us);
	switch (a->status) {
	case FP_OK:
		fp_grants_add(o->grants, a->grant_id, a->tokens, o->asked_us,
			      now_us);
		break;
	case FP_EXHAUSTED:
		fp_grants_refused(o->grants, a->wait_us, now_us);
		refuse_hopeless(o, now_us, a->wait_us);
		break;
	case FP_AGAIN: /* not all parts are in the bucket yet */
	default: /* or none are */
		fp_grants_refused(o->grants, ASK_AGAIN_US, now_us);
	}
	pump(o);
}

void tokens_tick(struct fp_traffic *t)
{
	int64_t now_us = tokens_now_us(t);
	struct org_tokens *o;

	for (o = t->all_tokens; o; o = o->next) {
		if (o->ask_id && now_us - o->asked_us > ASK_TIMEOUT_US) {
			close_ask(o);
			o->late = true;
			o->exhausted = false;
			o->filling = false;
			go_alone(o, now_us);
			fp_grants_lost(o->grants, now_us);
		}
		parts_tick(o, now_us);
		pump(o);
		/* After what became free just now was given to them. */
		if (!o->ask_id || !o->exhausted)
			refuse_hopeless(o, now_us, 0);
		report_spending(o, now_us);
	}
}

void tokens_config(struct fp_traffic *t)
{
	struct org_tokens *o;
	uint32_t i;

	/* Parts are committed also where nobody asks for tokens. */
	for (i = 0; t->hosted && t->config && i < t->config->n_orgs; i++)
		if (t->config->orgs[i].rate_per_s)
			find(t, t->config->orgs[i].name);
	for (o = t->all_tokens; o; o = o->next)
		set_rate(o);
	if (t->hosted)
		owner_update(t);
}

void tokens_members(struct fp_traffic *t)
{
	struct org_tokens *o;

	if (!t->hosted)
		return;
	for (o = t->all_tokens; o; o = o->next)
		o->detour = 0;
	tokens_config(t); /* which finds the places anew */
}

void tokens_init(struct fp_traffic *t)
{
	t->tokens = apr_hash_make(t->pool);
	t->asks = apr_hash_make(t->pool);
}

void tokens_end(struct fp_traffic *t)
{
	struct org_tokens *o;
	struct org_tokens *next;

	for (o = t->all_tokens; o; o = next) {
		next = o->next;
		fp_grants_end(o->grants);
		free(o);
	}
}
