/*
 * limits.c - checks at the entry and limits of retries
 *
 * A root call is checked for poison (equal requests were in flight when workers
 * crashed), isolation, the preset's shedding, early shedding and caller
 * retries, in this order; cheap checks with a certain result come first. Nested
 * calls belong to a request that was accepted already; they are checked only
 * for poison and for retries within the same execution.
 *
 * Caller retries are recognised by Idempotency-Key. A request without one
 * cannot be distinguished from the same look-up by another user, and is
 * limited by rate, early shedding and admission only.
 */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#include "node/call.h"
#include "state/retry_budget.h"
#include "state/early_shed.h"
#include "state/poison.h"

/* How long a request is refused after the last crash at which an equal request
 * was in flight. */
#define POISON_HOLD_US (60 * FP_US_PER_S)
/* Maximum number of organisations with a caller retry limit of their own; the
 * others share one. */
#define RETRY_LIMIT_ORGS 1024u
/* Retries per hundred first sends while there is no preset. */
#define DEFAULT_RETRY_PERCENT 10u
/* Retries that are allowed at the start, before any first send. */
#define RATIO_MIN_TOKENS  10u
#define PERCENT_OF_UINT32 (UINT32_MAX / 100u)

/** Limit of the extra attempts that this node sends to one service. */
struct service_retry_limit {
	char service[FP_NAME_BYTES];
	struct fp_retry_ratio ratio; /* on nodes that are not hosted */
	/* on hosted nodes: this node's share of the fleet's retry budget */
	struct fp_retry_budget budget;
};

static const struct fp_preset *preset(const struct fp_traffic *t)
{
	if (!t->config || !t->config->n_presets)
		return NULL;
	return &t->config->presets[t->config->active_preset];
}

static uint32_t retry_percent(const struct fp_traffic *t)
{
	const struct fp_preset *p = preset(t);

	return p ? p->retry_percent : DEFAULT_RETRY_PERCENT;
}

void limits_init(struct fp_traffic *t)
{
	t->early_shed = fp_early_shed_init();
	t->load_view = fp_load_view_init();
	t->poison = fp_poison_init(POISON_HOLD_US);
	t->caller_retries =
		fp_caller_retries_init(RETRY_LIMIT_ORGS, DEFAULT_RETRY_PERCENT);
	t->retry_limits = apr_hash_make(t->pool);
	if (!t->early_shed || !t->load_view || !t->poison || !t->caller_retries)
		abort();
	fp_early_shed_use_tree_admission(t->early_shed,
					 t->settings->tree_admission);
}

void limits_end(struct fp_traffic *t)
{
	apr_hash_index_t *hi = apr_hash_first(NULL, t->retry_limits);

	for (; hi; hi = apr_hash_next(hi))
		free(apr_hash_this_val(hi));
	fp_early_shed_end(t->early_shed);
	fp_load_view_end(t->load_view);
	fp_poison_end(t->poison);
	fp_caller_retries_end(t->caller_retries);
}

void limits_update_config(struct fp_traffic *t)
{
	apr_hash_index_t *hi = apr_hash_first(NULL, t->retry_limits);
	struct service_retry_limit *s;

	fp_caller_retries_set_percent(t->caller_retries, retry_percent(t));
	for (; hi; hi = apr_hash_next(hi)) {
		s = apr_hash_this_val(hi);
		s->ratio.percent = retry_percent(t);
	}
}

static struct service_retry_limit *find_or_add_retry_limit(struct call *c)
{
	struct fp_traffic *t = c->t;
	struct service_retry_limit *s = apr_hash_get(
		t->retry_limits, c->msg.service, APR_HASH_KEY_STRING);

	if (s)
		return s;
	s = calloc(1, sizeof(*s));
	if (!s)
		abort();
	memcpy(s->service, c->msg.service, sizeof(s->service));
	fp_retry_ratio_init(&s->ratio, retry_percent(t), RATIO_MIN_TOKENS,
			    fp_loop_now_us(t->loop));
	apr_hash_set(t->retry_limits, s->service, APR_HASH_KEY_STRING, s);
	return s;
}

/* This node's limit of retries to any service: its share of the fleet's retry
 * budget in the settings. */
static struct fp_retry_budget_limit node_retry_limit(const struct fp_traffic *t)
{
	const struct fp_settings *s = t->settings;
	const struct fp_retry_budget_limit fleet = {
		.ratio_permille = s->retry_permille,
		.floor = s->retry_floor,
		.window_us = s->retry_window_us,
		.n_nodes = t->members && t->members->n ? t->members->n : 1,
	};

	return fp_retry_budget_node_limit(&fleet, &t->share_validity,
					  fp_mono_us(t->clock));
}

void limits_count_first_attempt(struct call *c)
{
	struct fp_retry_budget_limit limit = node_retry_limit(c->t);

	if (c->t->hosted) {
		fp_retry_budget_first_send(&find_or_add_retry_limit(c)->budget,
					   &limit, fp_loop_now_us(c->t->loop));
		return;
	}
	fp_retry_ratio_first_send(&find_or_add_retry_limit(c)->ratio,
				  fp_loop_now_us(c->t->loop));
}

enum fp_status limits_take_retry(struct call *c)
{
	struct fp_retry_budget_limit limit = node_retry_limit(c->t);

	if (c->t->settings->overload_off)
		return FP_OK;
	if (c->t->hosted)
		return fp_retry_budget_take(&find_or_add_retry_limit(c)->budget,
					    &limit, fp_loop_now_us(c->t->loop));
	return fp_retry_ratio_take(&find_or_add_retry_limit(c)->ratio,
				   fp_loop_now_us(c->t->loop));
}

/* Fingerprint of a request with an Idempotency-Key; 0: it has none. */
static uint64_t keyed_fingerprint(const struct call *c)
{
	uint32_t i;

	for (i = 0; i < c->msg.content.n_headers; i++)
		if (strcasecmp(c->msg.content.headers[i].name,
			       "Idempotency-Key") == 0)
			return XXH3_64bits_withSeed(
				c->msg.content.headers[i].value,
				strlen(c->msg.content.headers[i].value),
				c->msg.fingerprint);
	return 0;
}

/* Percentage of the requests of this class that the preset admits. */
static uint32_t preset_percent(const struct call *c)
{
	const struct fp_preset *p = preset(c->t);

	return c->msg.cls == FP_CLASS_SHEDDABLE && p ? p->sheddable_percent :
						       100;
}

static bool shed_by_preset(const struct call *c)
{
	uint32_t percent = preset_percent(c);

	return percent < 100 && randombytes_uniform(100) >= percent;
}

/* Whether keys cannot be trusted, and the call has one. */
static bool is_isolated(const struct call *c)
{
	return c->t->isolated && c->org_index != UINT32_MAX;
}

static enum fp_reason check_root(struct call *c, int64_t now_us)
{
	struct fp_traffic *t = c->t;
	uint64_t fingerprint = keyed_fingerprint(c);
	const char *overloaded = NULL;

	if (is_isolated(c))
		return FP_REASON_ISOLATED;
	if (t->settings->overload_off)
		return FP_REASON_NONE;
	if (shed_by_preset(c))
		return FP_REASON_SHED_EARLY;
	if (fp_early_shed_check(t->early_shed, c->msg.route, c->msg.rank,
				randombytes_random(), now_us,
				&overloaded) != FP_OK) {
		c->overloaded_service = overloaded;
		return FP_REASON_SHED_EARLY;
	}
	if (fingerprint &&
	    fp_caller_retries_admit(t->caller_retries, c->org_index,
				    fingerprint, now_us) != FP_OK)
		return FP_REASON_RETRY_LIMIT;
	return FP_REASON_NONE;
}

/* Whether a caller is likely to retry a request that ended like this. */
static bool likely_retried(enum fp_reason why, int http_status)
{
	switch (why) {
	case FP_REASON_NONE:
		return http_status >= 500;
	case FP_REASON_OVERLOADED:
	case FP_REASON_BACKEND_REFUSED:
	case FP_REASON_SHED_EARLY:
	case FP_REASON_NO_WORKER:
	case FP_REASON_DEADLINE:
	case FP_REASON_CUT:
		return true;
	default:
		return false;
	}
}

/* Identifies equal nested calls of one execution. */
static uint64_t nested_fingerprint(const struct call *c)
{
	uint64_t h = XXH3_64bits(c->msg.uri, strlen(c->msg.uri));

	h = XXH3_64bits_withSeed(c->msg.method, strlen(c->msg.method), h);
	return XXH3_64bits_withSeed(c->msg.content.body,
				    c->msg.content.body_bytes, h);
}

void limits_record_end(struct call *c, enum fp_reason why, int http_status)
{
	struct execution *parent;
	uint64_t fingerprint;

	if (!likely_retried(why, http_status))
		return;
	if (c->msg.nested) {
		parent = execution_find(c->t, c->parent_id);
		if (parent)
			execution_note_failed(parent, nested_fingerprint(c));
		return;
	}
	fingerprint = keyed_fingerprint(c);
	if (fingerprint)
		fp_caller_retries_failed(c->t->caller_retries, fingerprint,
					 fp_loop_now_us(c->t->loop));
}

/*
 * A backend server's own retry of a failed nested call is charged to the
 * attempt budget of the whole call tree, so that retries at several hops add
 * up instead of multiplying.
 */
static enum fp_reason check_nested(struct call *c)
{
	struct execution *parent = execution_find(c->t, c->parent_id);
	struct execution_context ctx;

	if (!parent || c->t->settings->overload_off ||
	    !execution_has_failed(parent, nested_fingerprint(c)))
		return FP_REASON_NONE;
	if (c->attempt_budget.left) {
		c->attempt_budget.left--;
		return limits_take_retry(c) == FP_OK ? FP_REASON_NONE :
						       FP_REASON_RETRY_LIMIT;
	}
	execution_context(parent, &ctx);
	if (fp_attempt_budget_lend(ctx.attempt_budget, 1) == 1 &&
	    limits_take_retry(c) == FP_OK)
		return FP_REASON_NONE;
	return FP_REASON_RETRY_LIMIT;
}

enum fp_reason limits_check(struct call *c)
{
	int64_t now_us = fp_loop_now_us(c->t->loop);
	int64_t wait_us;

	if (fp_poison_check(c->t->poison, c->msg.fingerprint, now_us,
			    &wait_us) != FP_OK)
		return FP_REASON_POISON;
	return c->msg.nested ? check_nested(c) : check_root(c, now_us);
}

void limits_peek(const struct call *c, struct limits_view *v)
{
	const struct fp_traffic *t = c->t;
	int64_t now_us = fp_loop_now_us(t->loop);
	int64_t wait_us;

	*v = (struct limits_view){ .by_preset = 1, .by_load = 1 };
	if (fp_poison_check(t->poison, c->msg.fingerprint, now_us, &wait_us) !=
	    FP_OK)
		v->why = FP_REASON_POISON;
	else if (is_isolated(c))
		v->why = FP_REASON_ISOLATED;
	if (v->why != FP_REASON_NONE || t->settings->overload_off)
		return;
	v->by_preset = preset_percent(c) / 100.0;
	v->by_load = fp_early_shed_peek(t->early_shed, c->msg.route,
					c->msg.rank, now_us, v->overloaded);
}

void limits_update_loads(struct call *c, const struct fp_msg_reply *r)
{
	struct fp_traffic *t = c->t;
	int64_t now_us = fp_loop_now_us(t->loop);
	uint32_t i;

	for (i = 0; i < r->n_service_loads; i++) {
		fp_load_view_update(t->load_view, &r->service_loads[i], now_us);
		fp_early_shed_update_load(t->early_shed, c->worker,
					  &r->service_loads[i], now_us);
	}
	if (c->msg.nested || r->reason != FP_REASON_NONE)
		return;
	fp_early_shed_learn_route(t->early_shed, c->msg.route, r->service_loads,
				  r->n_service_loads, now_us);
	fp_early_shed_learn_duration(t->early_shed, c->msg.route,
				     now_us - c->sent_us);
}

void limits_note_crash(struct fp_traffic *t, uint64_t fingerprint,
		       uint64_t crash_id)
{
	fp_poison_report(t->poison, fingerprint, crash_id,
			 fp_loop_now_us(t->loop));
}
