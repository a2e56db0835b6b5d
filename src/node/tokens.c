/*
 * tokens.c - rate limits of organisations at the entry node
 *
 * A call takes a token that this node already holds without any message. If
 * there is none, the call waits in its organisation's queue while the node
 * requests tokens from the owner of the bucket. The response decides how the
 * wait ends: if the bucket is empty, the organisation exceeds its rate; if no
 * owner responds, the call is refused with a reason of its own, which is
 * counted separately.
 *
 * On hosted nodes each node has an equal rate share. It commits the share to
 * the bucket that it requests tokens from (shares.c). It uses the share locally
 * when it gets no response and the commitment has expired.
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

/* Timeout of a token request. */
#define REQUEST_TIMEOUT_US (100 * FP_US_PER_MS)
/* Longest wait of a call for the response of an owner. */
#define NO_OWNER_WAIT_US FP_US_PER_S
/* Longest wait of a call while only a fraction of the rate is available: tokens
 * are added slowly then, and several calls may arrive at once. */
#define SHARE_WAIT_US (200 * FP_US_PER_MS)
/* Delay of the next token request after a bucket that is still filling, or has
 * no committed shares, refused one. */
#define REQUEST_AGAIN_US (20 * FP_US_PER_MS)
/* Maximum number of calls of one organisation that wait for a token. */
#define MAX_WAITING 1024u
/* A share used locally starts with one token if a bucket last served the
 * organisation longer ago than this. */
#define SHARE_REST_US (2 * FP_US_PER_S)
/* Interval of log lines about spent tokens. */
#define REPORT_US FP_US_PER_S
/* After the owner of a bucket became unreachable, all nodes have committed
 * their shares to the next owner within this time: one hold, plus the time in
 * which an idle node detects that its link is down. */
#define SETTLE_US (FP_RATE_SHARE_HOLD_US + 300 * FP_US_PER_MS)
/* How long an organisation counts as at its limit after a response that
 * reported an exhausted rate. */
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
		fp_rate_share_set(&o->share, cfg->orgs[i].rate_per_s,
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

static struct org_tokens *find_or_add(struct fp_traffic *t, const char *org)
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
	o->next = t->tokens_list;
	t->tokens_list = o;
	o->spent.granted_total = spent_counter(t, org, "grant");
	o->spent.share_total = spent_counter(t, org, "part");
	o->reported_us = tokens_now_us(t);
	fp_rate_share_init(&o->share);
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

void tokens_cancel_wait(struct call *c)
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
		owner_send(o->t, o->requested_from, m);
		return;
	}
	msgpack_sbuffer_init(&buf);
	if (fp_msg_shared_encode(m, &buf) == FP_OK)
		o->t->hooks.to_slice(o->t->hooks.ctx, fp_slice_of_org(o->org),
				     buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

static void select_owner(struct org_tokens *o, int64_t now_us)
{
	uint64_t owner = shares_owner(o);

	if (owner != o->requested_from)
		o->moved_us = now_us;
	o->requested_from = owner;
}

static void request_tokens(struct org_tokens *o, int64_t now_us)
{
	struct fp_msg_shared m = { .type = FP_MSG_GRANT_REQUEST };
	uint32_t want = fp_grants_request_size(o->grants, o->n_waiting, now_us);

	if (!want)
		return;
	fp_grants_requested(o->grants, now_us);
	o->requested_us = now_us;
	if (o->t->hosted)
		select_owner(o, now_us);
	o->request_id = ++o->t->last_corr;
	apr_hash_set(o->t->pending_requests, &o->request_id,
		     sizeof(o->request_id), o);
	m.id = o->request_id;
	m.grant_request.want = want;
	memcpy(m.grant_request.org, o->org, sizeof(o->org));
	send_message(o, &m);
}

static void return_surplus(struct org_tokens *o, int64_t now_us)
{
	struct fp_msg_shared m = { .type = FP_MSG_GRANT_RETURN };

	memcpy(m.grant_return.org, o->org, sizeof(o->org));
	while (fp_grants_take_surplus(o->grants, now_us,
				      &m.grant_return.grant_id,
				      &m.grant_return.tokens) == FP_OK)
		send_message(o, &m);
}

/* Whether a share used locally starts with a token; see SHARE_REST_US. */
static bool starts_with_token(const struct org_tokens *o, int64_t now_us)
{
	return now_us - o->served_us > SHARE_REST_US;
}

/* Takes a token from this node's own share, if it may be used locally. */
static bool take_from_share(struct org_tokens *o, int64_t now_us)
{
	const struct fp_share_validity *v = &o->t->share_validity;

	if (!o->t->hosted)
		return false;
	return fp_rate_share_take_reserve(&o->share, v, now_us) == FP_OK ||
	       (o->standalone &&
		fp_rate_share_take(&o->share, v, starts_with_token(o, now_us),
				   now_us) == FP_OK);
}

static enum fp_status take_token(struct org_tokens *o, int64_t now_us)
{
	if (fp_grants_take(o->grants, now_us) == FP_OK) {
		o->spent.granted++;
		fp_counter_add(o->spent.granted_total, 1);
		return FP_OK;
	}
	if (!take_from_share(o, now_us))
		return FP_AGAIN;
	o->spent.share++;
	fp_counter_add(o->spent.share_total, 1);
	return FP_OK;
}

static bool is_at_limit(const struct org_tokens *o, int64_t now_us)
{
	return o->exhausted_us && now_us - o->exhausted_us < AT_LIMIT_US;
}

/* Logs spent tokens; the lines of all nodes add up to the organisation's total
 * admissions. */
static void report_spending(struct org_tokens *o, int64_t now_us)
{
	if (now_us - o->reported_us < REPORT_US)
		return;
	if (o->spent.granted || o->spent.share)
		fp_log(FP_LOG_INFO, "rate_spent",
		       "org=%s granted=%u share=%u span_ms=%" PRId64
		       " owner=%016" PRIx64
		       " shares=%u share_owner=%016" PRIx64,
		       o->org, o->spent.granted, o->spent.share,
		       (now_us - o->reported_us) / FP_US_PER_MS,
		       o->requested_from, o->share.bucket.n_shares,
		       fp_rate_share_is_committed(&o->share, now_us) ?
			       o->share.owner :
			       0);
	o->spent.granted = 0;
	o->spent.share = 0;
	o->reported_us = now_us;
}

/* Allows local use of the share, because the owner did not respond or its
 * bucket has no shares. */
static void use_share_locally(struct org_tokens *o, int64_t now_us)
{
	if (!o->t->hosted || o->standalone)
		return;
	o->standalone = true;
	fp_log(FP_LOG_WARN, "rate_local",
	       "org=%s owner=%016" PRIx64
	       " timed_out=%d share_owner=%016" PRIx64
	       " share_valid_ms=%" PRId64,
	       o->org, o->requested_from, o->timed_out,
	       fp_rate_share_is_committed(&o->share, now_us) ? o->share.owner :
							       0,
	       (o->t->share_validity.until_us - now_us) / FP_US_PER_MS);
}

/* Ends local use of the share, because a bucket serves the organisation. */
static void stop_local_use(struct org_tokens *o, int64_t now_us)
{
	if (o->standalone)
		fp_log(FP_LOG_INFO, "rate_pooled", "org=%s", o->org);
	o->standalone = false;
	o->served_us = now_us;
}

/* Gives available tokens to waiting calls, requests more if they are needed,
 * and returns those that are not. */
static void serve_queue(struct org_tokens *o)
{
	int64_t now_us = tokens_now_us(o->t);
	struct call *c;

	while (o->first && take_token(o, now_us) == FP_OK) {
		c = o->first;
		tokens_cancel_wait(c);
		call_after_token(c);
		now_us = tokens_now_us(o->t);
	}
	request_tokens(o, now_us);
	return_surplus(o, now_us);
}

enum fp_status tokens_take(struct call *c)
{
	struct org_tokens *o = find_or_add(c->t, c->msg.org);
	int64_t now_us = tokens_now_us(c->t);

	if (c->t->hosted && !o->limited)
		return FP_OK;
	fp_grants_count_demand(o->grants, now_us);
	o->demand_us = now_us;
	if (!o->first && take_token(o, now_us) == FP_OK) {
		request_tokens(o, now_us);
		return FP_OK;
	}
	if (o->n_waiting == MAX_WAITING)
		return FP_FULL;
	enqueue(o, c);
	request_tokens(o, now_us);
	return FP_AGAIN;
}

void tokens_peek(const struct fp_traffic *t, const char *org,
		 struct tokens_view *v)
{
	const struct org_tokens *o =
		apr_hash_get(t->tokens, org, APR_HASH_KEY_STRING);
	int i = fp_config_find_org(t->config, org);
	int64_t now_us = tokens_now_us(t);
	struct org_tokens copy;

	*v = (struct tokens_view){ .exhausted_age_us = -1 };
	v->limited = i >= 0 && t->config->orgs[i].rate_per_s > 0;
	v->result = t->hosted && !v->limited ? FP_OK : FP_AGAIN;
	if (!o || v->result == FP_OK)
		return;
	copy = *o; /* what is taken from its share is not taken here */
	v->held = fp_grants_peek(o->grants, now_us);
	v->waiting = o->n_waiting;
	v->exhausted = o->exhausted && is_at_limit(o, now_us);
	if (o->exhausted_us)
		v->exhausted_age_us = now_us - o->exhausted_us;
	v->standalone = o->standalone;
	if (!o->first && (v->held || take_from_share(&copy, now_us)))
		v->result = FP_OK;
	else if (o->n_waiting == MAX_WAITING)
		v->result = FP_FULL;
}

static void refuse(struct org_tokens *o, struct call *c)
{
	tokens_cancel_wait(c);
	call_refuse(c, FP_OUTCOME_NOT_RUN,
		    o->exhausted ? FP_REASON_OVER_RATE : FP_REASON_NO_TOKENS,
		    FP_RETRY_AFTER_DEFAULT_US);
}

/* Whether the shares may still be moving to a new owner, or this node's own
 * share cannot be used locally yet because its commitment has not expired. */
static bool is_settling(const struct org_tokens *o, int64_t now_us)
{
	return now_us - o->moved_us < SETTLE_US ||
	       (o->standalone && fp_rate_share_is_committed(&o->share, now_us));
}

/* Longest time from its start that a call waits for a token. */
static int64_t max_wait_us(const struct org_tokens *o, const struct call *c,
			   int64_t now_us)
{
	bool reduced_rate = o->filling || o->standalone;
	int64_t half_us = (c->deadline_us - c->started_us) / 2;

	if (o->exhausted || (reduced_rate && is_at_limit(o, now_us)))
		return FP_GRANT_WAIT_US;
	if (!o->t->hosted || !is_settling(o, now_us))
		return reduced_rate ? SHARE_WAIT_US : NO_OWNER_WAIT_US;
	/* Leave half of the time to run the call. */
	return half_us < SETTLE_US ? half_us : SETTLE_US;
}

/* Refuses the calls whose longest wait ends before wait_us from now. */
static void refuse_overdue(struct org_tokens *o, int64_t now_us,
			   int64_t wait_us)
{
	while (o->first &&
	       o->first->started_us + max_wait_us(o, o->first, now_us) <
		       now_us + wait_us)
		refuse(o, o->first);
}

static void close_request(struct org_tokens *o)
{
	apr_hash_set(o->t->pending_requests, &o->request_id,
		     sizeof(o->request_id), NULL);
	o->request_id = 0;
}

void tokens_handle_grant(struct fp_traffic *t, uint64_t id,
			 const struct fp_grant_response *a)
{
	struct org_tokens *o =
		apr_hash_get(t->pending_requests, &id, sizeof(id));
	int64_t now_us = tokens_now_us(t);

	if (!o || id != o->request_id)
		return;
	close_request(o);
	o->timed_out = false;
	o->exhausted = a->status == FP_EXHAUSTED;
	if (o->exhausted)
		o->exhausted_us = now_us;
	o->filling = o->t->hosted && a->status == FP_AGAIN;
	if (a->status == FP_OK || o->exhausted || o->filling)
		stop_local_use(o, now_us);
	else
		use_share_locally(o, now_us);
	if (o->t->hosted && a->status == FP_UNAVAILABLE)
		shares_skip_owner(o, now_us);
	switch (a->status) {
	case FP_OK:
		fp_grants_add(o->grants, a->grant_id, a->tokens,
			      o->requested_us, now_us);
		break;
	case FP_EXHAUSTED:
		fp_grants_refused(o->grants, a->wait_us, now_us);
		refuse_overdue(o, now_us, a->wait_us);
		break;
	case FP_AGAIN: /* some shares are not yet committed to the bucket */
	default: /* none are, or the bucket is unavailable */
		fp_grants_refused(o->grants, REQUEST_AGAIN_US, now_us);
	}
	serve_queue(o);
}

void tokens_tick(struct fp_traffic *t)
{
	int64_t now_us = tokens_now_us(t);
	struct org_tokens *o;

	for (o = t->tokens_list; o; o = o->next) {
		if (o->request_id &&
		    now_us - o->requested_us > REQUEST_TIMEOUT_US) {
			close_request(o);
			o->timed_out = true;
			o->exhausted = false;
			o->filling = false;
			use_share_locally(o, now_us);
			fp_grants_request_lost(o->grants, now_us);
		}
		shares_tick(o, now_us);
		/* Most organisations are idle at most nodes. */
		if (o->first || !fp_grants_is_idle(o->grants, now_us))
			serve_queue(o);
		/* Only after serve_queue() has used the available tokens. */
		if (o->first && (!o->request_id || !o->exhausted))
			refuse_overdue(o, now_us, 0);
		report_spending(o, now_us);
	}
}

void tokens_update_config(struct fp_traffic *t)
{
	struct org_tokens *o;
	uint32_t i;

	/* Shares are committed even when this node gets no calls of the
	 * organisation, so that other nodes can use them. */
	for (i = 0; t->hosted && t->config && i < t->config->n_orgs; i++)
		if (t->config->orgs[i].rate_per_s)
			find_or_add(t, t->config->orgs[i].name);
	for (o = t->tokens_list; o; o = o->next)
		set_rate(o);
	if (t->hosted)
		owner_update(t);
}

void tokens_update_members(struct fp_traffic *t)
{
	struct org_tokens *o;

	if (!t->hosted)
		return;
	for (o = t->tokens_list; o; o = o->next)
		o->n_skipped = 0;
	tokens_update_config(t); /* selects the owners again */
}

void tokens_init(struct fp_traffic *t)
{
	t->tokens = apr_hash_make(t->pool);
	t->pending_requests = apr_hash_make(t->pool);
}

void tokens_end(struct fp_traffic *t)
{
	struct org_tokens *o;
	struct org_tokens *next;

	for (o = t->tokens_list; o; o = next) {
		next = o->next;
		fp_grants_end(o->grants);
		free(o);
	}
}
