/*
 * tokens.c - tokens of organisations at the entry
 *
 * A request takes a token that is at hand without waiting for anyone. When
 * none is, it waits in its organisation's queue while the owner of the bucket
 * is asked. What the owner says decides how a wait ends: if the bucket is
 * empty the organisation is over its rate; if no owner answers the refusal
 * says so, and is counted apart.
 *
 * Where the store holds the members, the owner follows from them (owner.c), and
 * a node that it does not answer goes on with an equal part of the rate, which
 * the owner leaves out of the bucket for those that it has lost. When the link
 * to the owner is lost it asks the next in rank, where such nodes pool their
 * parts. An owner that is merely slow still grants the whole rate to the others,
 * so beside it each node spends what it needs of its own part, and no more.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "node/call.h"
#include "node/owner.h"
#include "protocol/msg_shared.h"
#include "state/grants.h"
#include "state/share.h"
#include "state/slice_map.h"

#define ASK_TIMEOUT_US	 (100 * FP_US_PER_MS)
#define NO_OWNER_WAIT_US FP_US_PER_S
#define ASK_AGAIN_US	 (20 * FP_US_PER_MS)
#define MAX_WAITING	 1024u
/* After so long with an owner the equal part begins with a token. */
#define SHARE_REST_US (2 * FP_US_PER_S)
/* Between two lines of what an organisation spent. */
#define REPORT_US FP_US_PER_S

/** One organisation's tokens and the calls that wait for one. */
struct org_tokens {
	char org[FP_NAME_BYTES];
	struct fp_traffic *t;
	struct fp_grants *grants;
	bool alone; /* no owner answers: the equal part is in use */
	int64_t joined_us; /* when an owner answered last */
	struct fp_share share; /* the equal part */
	struct org_tokens *next; /* of all organisations */
	struct call *first; /* waiting, oldest first */
	struct call *last;
	uint32_t n_waiting;
	bool limited; /* it has a rate */
	uint64_t ask_id; /* of the open ask, 0: none */
	int64_t asked_us;
	uint64_t asked_id; /* who was asked, hosted only */
	bool exhausted; /* the owner's last word was an empty bucket */
	bool filling; /* it was one that has not had the time to fill */
	struct spending {
		uint32_t granted; /* since the last line, by an owner's grant */
		uint32_t part; /* out of the equal part */
		struct fp_counter *granted_total;
		struct fp_counter *part_total;
	} spent;
	int64_t reported_us; /* when spending had its last line */
};

static int64_t fresh_now_us(const struct fp_traffic *t)
{
	/* Not the loop's: after a pause a token must be seen as ended. */
	return fp_mono_us(t->clock);
}

static void set_rate(struct org_tokens *o)
{
	const struct fp_config *cfg = o->t->config;
	int i = cfg ? fp_config_find_org(cfg, o->org) : -1;
	uint32_t percent = 100;

	if (i < 0)
		return;
	if (o->t->hosted)
		fp_share_set(&o->share, cfg->orgs[i].rate_per_s,
			     cfg->orgs[i].burst,
			     o->t->members ? o->t->members->n : 1,
			     fresh_now_us(o->t));
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
	o->reported_us = fresh_now_us(t);
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

static void ask(struct org_tokens *o, int64_t now_us)
{
	struct fp_msg_shared m = { .type = FP_MSG_GRANT_ASK };
	uint32_t want = fp_grants_want(o->grants, o->n_waiting, now_us);

	if (!want)
		return;
	fp_grants_asked(o->grants, now_us);
	o->asked_us = now_us;
	if (o->t->hosted)
		o->asked_id = owner_to_ask(o->t, o->org);
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

static enum fp_status take_one(struct org_tokens *o, int64_t now_us)
{
	if (fp_grants_take(o->grants, now_us) == FP_OK) {
		o->spent.granted++;
		fp_counter_add(o->spent.granted_total, 1);
		return FP_OK;
	}
	if (!o->alone || fp_share_take(&o->share, now_us) != FP_OK)
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
		       " owner=%016" PRIx64 " parts=%u",
		       o->org, o->spent.granted, o->spent.part,
		       (now_us - o->reported_us) / FP_US_PER_MS, o->asked_id,
		       o->share.parts);
	o->spent.granted = 0;
	o->spent.part = 0;
	o->reported_us = now_us;
}

/* Nobody answered, or one who is not or not yet the owner. */
static void go_alone(struct org_tokens *o, int64_t now_us)
{
	if (!o->t->hosted || o->alone)
		return;
	o->alone = true;
	fp_share_restart(&o->share, now_us - o->joined_us > SHARE_REST_US,
			 now_us);
	fp_log(FP_LOG_WARN, "rate_alone", "org=%s owner=%016" PRIx64, o->org,
	       o->asked_id);
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
	int64_t now_us = fresh_now_us(o->t);
	struct call *c;

	while (o->first && take_one(o, now_us) == FP_OK) {
		c = o->first;
		tokens_forget(c);
		call_have_token(c);
		now_us = fresh_now_us(o->t);
	}
	ask(o, now_us);
	hand_back(o, now_us);
}

enum fp_status tokens_take(struct call *c)
{
	struct org_tokens *o = find(c->t, c->msg.org);
	int64_t now_us = fresh_now_us(c->t);

	if (c->t->hosted && !o->limited)
		return FP_OK;
	fp_grants_demand(o->grants, now_us);
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

/* Refuses those that would wait in vain until wait_us from now. */
static void refuse_hopeless(struct org_tokens *o, int64_t now_us,
			    int64_t wait_us)
{
	bool heard = o->exhausted || o->filling || o->alone;
	int64_t patience_us = heard ? FP_GRANT_WAIT_US : NO_OWNER_WAIT_US;

	while (o->first &&
	       o->first->started_us + patience_us < now_us + wait_us)
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
	int64_t now_us = fresh_now_us(t);

	if (!o)
		return;
	close_ask(o);
	o->exhausted = a->status == FP_EXHAUSTED;
	o->filling = o->t->hosted && a->status == FP_AGAIN;
	if (a->status == FP_OK || o->exhausted || o->filling)
		join(o, now_us);
	else
		go_alone(o, now_us);
	switch (a->status) {
	case FP_OK:
		fp_grants_add(o->grants, a->grant_id, a->tokens, o->asked_us,
			      now_us);
		break;
	case FP_EXHAUSTED:
		fp_grants_refused(o->grants, a->wait_us, now_us);
		refuse_hopeless(o, now_us, a->wait_us);
		break;
	case FP_AGAIN: /* a new owner's bucket is not full yet */
	default: /* or there is none */
		fp_grants_refused(o->grants, ASK_AGAIN_US, now_us);
	}
	pump(o);
}

void tokens_tick(struct fp_traffic *t)
{
	int64_t now_us = fresh_now_us(t);
	struct org_tokens *o;

	for (o = t->all_tokens; o; o = o->next) {
		if (o->ask_id && now_us - o->asked_us > ASK_TIMEOUT_US) {
			close_ask(o);
			o->exhausted = false;
			o->filling = false;
			go_alone(o, now_us);
			fp_grants_lost(o->grants, now_us);
		}
		if (!o->ask_id || !o->exhausted)
			refuse_hopeless(o, now_us, 0);
		pump(o);
		report_spending(o, now_us);
	}
}

void tokens_config(struct fp_traffic *t)
{
	struct org_tokens *o;

	for (o = t->all_tokens; o; o = o->next)
		set_rate(o);
	if (t->hosted)
		owner_update(t);
}

void tokens_members(struct fp_traffic *t)
{
	if (!t->hosted)
		return;
	tokens_config(t);
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
