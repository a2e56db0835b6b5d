/*
 * where.c - POST /v1/where: where a request would go now, and why
 *
 * The traffic thread takes the request through the decisions that call_intake.c
 * and call.c take it through, in their order and by the same functions, with a
 * call that has no exchange and that no list knows. Where a function would take
 * something (a token, a draw, a count), its peek is asked instead. Nothing is
 * sent, counted or learned.
 *
 * The choice of the worker takes many picks. It is made with a copy of the
 * balancer, on the thread of the operator who asks.
 *
 * What only another node or the random numbers decide is told as such: a token
 * that the owner of the bucket has to grant, and the probability of an early
 * refusal.
 */
#include "node/where.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/text.h"
#include "node/call.h"
#include "state/balancer_explain.h"

/* Draw of a question that gives none. */
#define DEFAULT_DRAW 1

struct where_question {
	struct fp_loop *loop; /* of the thread that asks */
	struct fp_traffic *t;
	struct fp_http_exchange *x;
	json_t *body; /* owns the texts */
	const char *method;
	const char *path;
	const char *host; /* NULL: none */
	const char *org; /* NULL: a request without a key */
	int cls; /* -1: by route and organisation */
	uint64_t draw;
	/* set by the traffic thread */
	json_t *answer;
	enum fp_reason why; /* FP_REASON_NONE: it is sent */
	enum fp_outcome outcome; /* of a refusal */
	int64_t retry_after_us; /* of a refusal; 0: none */
	int64_t overload_retry_us; /* of a call that finds no worker */
	double probability; /* of this decision, by this node's draws */
	const char *text; /* reason in words, or NULL */
	bool owner_decides; /* a token has to be asked for */
	bool expired; /* no time is left once it is sent */
	char service[FP_NAME_BYTES]; /* "": it gets no worker chosen */
	int64_t now_us;
	uint64_t own_id;
	int64_t own_cold_us; /* how long this node's worker stays cold */
	struct fp_balancer *balancer; /* copies */
	struct fp_member_table *members; /* NULL: none known */
	struct fp_evacuation evacuation;
};

/* --- the question --- */

/* Sets a text of the question; false if it is there but is no text. */
static bool get_text(const json_t *body, const char *name, const char **text)
{
	const json_t *v = json_object_get(body, name);

	*text = json_string_value(v);
	return !v || json_is_null(v) || *text;
}

/* Returns what is wrong with the question, or NULL. */
static const char *read_question(struct where_question *q)
{
	const json_t *draw = json_object_get(q->body, "draw");
	const char *cls;

	if (!json_is_object(q->body))
		return "expected a JSON object";
	if (!get_text(q->body, "method", &q->method) || !q->method ||
	    !q->method[0])
		return "method: expected a text";
	if (!get_text(q->body, "path", &q->path) || !q->path || !q->path[0])
		return "path: expected a text";
	if (!get_text(q->body, "host", &q->host))
		return "host: expected a text";
	if (!get_text(q->body, "organisation", &q->org))
		return "organisation: expected a text";
	if (!get_text(q->body, "class", &cls))
		return "class: expected a text";
	q->cls = cls ? fp_class_parse(cls) : -1;
	if (cls && q->cls < 0)
		return "class: expected important, normal or sheddable";
	if (draw && (!json_is_integer(draw) || json_integer_value(draw) < 0))
		return "draw: expected a number that is not negative";
	q->draw = draw ? (uint64_t)json_integer_value(draw) : DEFAULT_DRAW;
	return NULL;
}

struct where_question *where_parse(const struct fp_http_request *r,
				   const char **reason)
{
	struct where_question *q = calloc(1, sizeof(*q));

	if (!q)
		abort();
	q->body = json_loadb((const char *)r->body, r->body_bytes, 0, NULL);
	*reason = read_question(q);
	if (!*reason)
		return q;
	where_end(q);
	return NULL;
}

void where_end(struct where_question *q)
{
	if (!q)
		return;
	json_decref(q->body);
	json_decref(q->answer);
	fp_balancer_end(q->balancer);
	free(q->members);
	free(q);
}

/* --- the decision, on the traffic thread --- */

static void refuse(struct where_question *q, enum fp_reason why,
		   int64_t retry_after_us, const char *text)
{
	q->why = why;
	q->outcome = FP_OUTCOME_NOT_RUN;
	q->retry_after_us = retry_after_us;
	q->text = text;
}

/* Looks for a key in force of the organisation, as a request would bring. */
static enum fp_status find_org_key(const struct fp_config *cfg, const char *org,
				   uint32_t *index)
{
	int i = org ? fp_config_find_org(cfg, org) : -1;
	uint32_t k;

	for (k = 0; i >= 0 && k < cfg->n_keys; k++) {
		if (cfg->keys[k].withdrawn || cfg->keys[k].org != (uint32_t)i)
			continue;
		*index = (uint32_t)i;
		return FP_OK;
	}
	return FP_NOT_FOUND;
}

static const char *key_text(const struct where_question *q, enum fp_reason why)
{
	if (why == FP_REASON_KEY_MISSING)
		return "the route needs the key of an organisation";
	if (why == FP_REASON_ISOLATED)
		return "the configuration is too old here to trust a key";
	return fp_config_find_org(q->t->config, q->org) < 0 ?
		       "no such organisation" :
		       "the organisation has no key in force";
}

static void peek_token(struct where_question *q, const struct call *c)
{
	struct tokens_view v;

	tokens_peek(q->t, c->msg.org, &v);
	json_object_set_new(q->answer, "rate",
			    json_pack("{s:b,s:i,s:i,s:b,s:o}", "limited",
				      v.limited, "held", (int)v.held, "waiting",
				      (int)v.waiting, "own_share", v.standalone,
				      "used_up_ms_ago",
				      v.exhausted_age_us < 0 ?
					      json_null() :
					      json_integer(v.exhausted_age_us /
							   FP_US_PER_MS)));
	if (v.result == FP_FULL)
		refuse(q, FP_REASON_NO_TOKENS, call_retry_after_us(c),
		       "too many requests wait for a token");
	q->owner_decides = v.result == FP_AGAIN;
	if (q->owner_decides && v.exhausted)
		refuse(q, FP_REASON_OVER_RATE, FP_RETRY_AFTER_DEFAULT_US,
		       "no token here, and the bucket's owner had none");
}

static void peek_limits(struct where_question *q, const struct call *c)
{
	struct limits_view v;
	double admitted;

	limits_peek(c, &v);
	admitted = v.by_preset * v.by_load;
	json_object_set_new(q->answer, "admitted",
			    json_pack("{s:f,s:f,s:o}", "by_preset", v.by_preset,
				      "by_load", v.by_load, "overloaded",
				      v.overloaded[0] ?
					      json_string(v.overloaded) :
					      json_null()));
	if (v.why != FP_REASON_NONE) {
		refuse(q, v.why, call_retry_after_us(c),
		       v.why == FP_REASON_ISOLATED ?
			       "this node is isolated" :
			       "workers crashed while it was in flight");
		return;
	}
	q->probability = admitted < 0.5 ? 1 - admitted : admitted;
	if (admitted < 0.5)
		refuse(q, FP_REASON_SHED_EARLY, call_retry_after_us(c),
		       v.by_load < v.by_preset ?
			       "a service that it calls is overloaded" :
			       "the active preset");
}

/* The decisions of call_begin(), call_after_claim() and call_send(), up to the
 * choice of the worker. */
static void begin(struct where_question *q, struct call *c)
{
	c->claim_undecided = call_needs_claim(c);
	if (!drain_can_finish_call(c)) {
		refuse(q, FP_REASON_STOPPING, FP_RETRY_ELSEWHERE_US,
		       "this node stops before the request could end");
		q->outcome = call_refused_outcome(c, FP_REASON_STOPPING);
		return;
	}
	c->claim_undecided = false;
	peek_limits(q, c);
	if (q->why == FP_REASON_NONE && call_needs_token(c))
		peek_token(q, c);
	q->overload_retry_us = call_retry_after_us(c);
	q->expired = c->deadline_us <= c->started_us;
}

static void add_route(struct where_question *q, const struct fp_route *r,
		      const struct call *c)
{
	const struct fp_config *cfg = q->t->config;
	const struct fp_traffic_split *s = cfg->splits + r->first_split;
	json_t *splits = json_array();
	uint32_t i;

	for (i = 0; i < r->n_splits; i++)
		json_array_append_new(splits, json_pack("{s:s,s:i}", "service",
							s[i].service, "weight",
							(int)s[i].weight));
	json_object_set_new(
		q->answer, "route",
		json_pack("{s:s,s:s,s:s,s:s,s:s,s:b,s:b,s:b,s:i,s:i,s:o}",
			  "name", r->name, "method", r->method, "host",
			  fp_config_host(cfg, r), "prefix",
			  fp_config_prefix(cfg, r), "class",
			  fp_class_name(r->cls), "idempotent", r->idempotent,
			  "claim", call_needs_claim(c), "needs_key",
			  intake_needs_key(q->t, r), "deadline_ms",
			  (int)r->deadline_ms, "latency_target_ms",
			  (int)r->latency_target_ms, "split", splits));
}

static const char *route_text(enum fp_reason why)
{
	switch (why) {
	case FP_REASON_NO_CONFIG:
		return "this node has no configuration yet";
	case FP_REASON_TOO_LARGE:
		return "the path is too long";
	case FP_REASON_MALFORMED:
		return "the path is not normalized, or the method is too long";
	default:
		return "no route has this host, method and path";
	}
}

/* The decisions of call_from_caller(). */
static void take_in(struct where_question *q, struct call *c)
{
	const struct fp_route *route = NULL;
	uint32_t org = UINT32_MAX;
	enum fp_status found;
	enum fp_reason why;

	why = intake_find_route(q->t, q->host, q->method, q->path, &route);
	if (why != FP_REASON_NONE) {
		refuse(q, why, intake_retry_after_us(NULL, why),
		       route_text(why));
		return;
	}
	call_set_route(c, route);
	/* intake_find_route() has refused longer ones. */
	if (!fp_text_copy(c->msg.method, sizeof(c->msg.method), q->method) ||
	    !fp_text_copy(c->msg.uri, sizeof(c->msg.uri), q->path) ||
	    !fp_text_copy(
		    c->msg.service, sizeof(c->msg.service),
		    fp_config_route_service(q->t->config, route, q->draw)))
		abort();
	memcpy(q->service, c->msg.service, sizeof(q->service));
	c->msg.cls = route->cls;
	c->org_index = UINT32_MAX;
	c->deadline_us = c->started_us + route->deadline_ms * FP_US_PER_MS;
	if (intake_needs_key(q->t, route)) {
		found = find_org_key(q->t->config, q->org, &org);
		why = intake_set_org(c, q->org != NULL, found, org);
	}
	if (q->cls >= 0)
		c->msg.cls = (enum fp_class)q->cls;
	c->msg.rank = fp_shed_rank(c->msg.cls, route->cls);
	c->msg.fingerprint = intake_fingerprint(c);
	add_route(q, route, c);
	json_object_set_new(q->answer, "class",
			    json_string(fp_class_name(c->msg.cls)));
	json_object_set_new(q->answer, "rank", json_integer(c->msg.rank));
	if (why != FP_REASON_NONE)
		refuse(q, why, intake_retry_after_us(c, why), key_text(q, why));
	else
		begin(q, c);
}

static json_t *node_json(const struct fp_traffic *t)
{
	const struct fp_settings *s = t->settings;
	const char *state = t->draining ? "leaving" :
			    t->isolated ? "isolated" :
					  "serving";

	return json_pack("{s:s,s:s,s:s,s:s,s:I}", "name", s->name, "domain",
			 s->failure_domain, "service", s->service, "state",
			 state, "config",
			 (json_int_t)(t->config ? t->config->revision : 0));
}

static void copy_state(struct where_question *q)
{
	const struct fp_traffic *t = q->t;
	size_t bytes;

	q->own_id = t->node_id;
	q->own_cold_us = fp_cold_rate_left_us(t->cold, q->now_us);
	q->evacuation = t->evacuation;
	q->balancer = fp_balancer_copy(t->balancer);
	if (!q->balancer)
		abort();
	if (!t->members)
		return;
	bytes = sizeof(*t->members) +
		t->members->n * sizeof(t->members->members[0]);
	q->members = malloc(bytes);
	if (!q->members)
		abort();
	memcpy(q->members, t->members, bytes);
}

static void render(void *ctx);

static void decide(void *ctx)
{
	struct where_question *q = ctx;
	struct call *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	q->now_us = fp_loop_now_us(q->t->loop);
	q->probability = 1;
	q->answer = json_pack("{s:o,s:s,s:s}", "node", node_json(q->t),
			      "method", q->method, "path", q->path);
	c->t = q->t;
	c->started_us = q->now_us;
	take_in(q, c);
	free(c);
	copy_state(q);
	fp_loop_post(q->loop, render, q);
}

/* --- the choice and the answer, on the thread that asks --- */

static const struct fp_member *find_member(const struct where_question *q,
					   uint64_t id)
{
	uint32_t i;

	for (i = 0; q->members && i < q->members->n; i++)
		if (q->members->members[i].id == id)
			return &q->members->members[i];
	return NULL;
}

static const char *state_of(const struct where_question *q,
			    const struct fp_balancer_candidate *c)
{
	if (fp_evacuation_has(&q->evacuation, c->info.failure_domain))
		return "evacuated";
	if (!c->info.serving)
		return "not serving";
	if (c->ejected)
		return c->ejected_left_us ? "ejected" : "ejected, to probe";
	if (c->info.suspected)
		return "suspected";
	if (c->stalled)
		return "stalled";
	if (!c->used)
		return "not in the subset";
	return c->warm < 1 ? "warming up" : "serving";
}

static json_t *age_json(int64_t age_us)
{
	return age_us < 0 ? json_null() : json_integer(age_us / FP_US_PER_MS);
}

static json_t *candidate_json(const struct where_question *q,
			      const struct fp_balancer_candidate *c)
{
	const struct fp_member *m = find_member(q, c->info.id);
	json_t *j;
	char id[20];

	snprintf(id, sizeof(id), "%016" PRIx64, c->info.id);
	j = json_pack("{s:s,s:s,s:s,s:s,s:b,s:f}", "id", id, "name",
		      m ? m->name : "-", "domain", c->info.failure_domain,
		      "state", state_of(q, c), "drawn", c->drawn, "share",
		      (double)c->share / FP_BALANCER_DRAWS);
	json_object_update_new(
		j, json_pack("{s:i,s:i,s:i,s:i,s:i,s:o}", "slots",
			     (int)c->info.slots, "limit", (int)c->limit,
			     "running", (int)c->running, "queued",
			     (int)c->queued, "own_calls", (int)c->in_flight,
			     "load_age_ms", age_json(c->load_age_us)));
	json_object_update_new(
		j, json_pack("{s:f,s:f,s:f,s:o,s:f,s:f,s:f,s:f}", "load",
			     c->load, "fill", c->fill, "slowdown", c->slowdown,
			     "slowdown_age_ms", age_json(c->slowdown_age_us),
			     "end", c->end, "warm", c->warm, "failed",
			     c->failed, "refused", c->refused));
	json_object_set_new(j, "cold_ms",
			    c->info.id == q->own_id ? age_json(q->own_cold_us) :
						      json_null());
	json_object_set_new(j, "ejected_ms", age_json(c->ejected_left_us));
	return j;
}

static json_t *member_json(const struct where_question *q, bool known,
			   uint64_t id)
{
	const struct fp_member *m = known ? find_member(q, id) : NULL;

	return m ? json_string(m->name) : json_null();
}

static void refuse_without_worker(struct where_question *q,
				  const struct fp_balancer_explanation *e)
{
	refuse(q, FP_REASON_NO_WORKER, q->overload_retry_us,
	       !q->members   ? "no member of the fleet is known here" :
	       !e->n_workers ? "no node of the service is known here" :
			       "no node of the service has a worker that "
			       "serves");
}

/* The choice of pick_worker(), and what call_send() makes of it. */
static void choose(struct where_question *q)
{
	struct fp_balancer_explanation *e = malloc(sizeof(*e));
	json_t *candidates = json_array();
	bool sent;
	uint32_t i;

	if (!e)
		abort();
	fp_balancer_explain(q->balancer, q->service, q->draw, q->now_us, e);
	if (q->why == FP_REASON_NONE && (!e->found || !find_member(q, e->id)))
		refuse_without_worker(q, e);
	else if (q->why == FP_REASON_NONE && q->expired)
		refuse(q, FP_REASON_DEADLINE, 0, "the route leaves no time");
	sent = q->why == FP_REASON_NONE;
	for (i = 0; i < e->n; i++)
		json_array_append_new(candidates,
				      candidate_json(q, &e->candidates[i]));
	json_object_update_new(
		q->answer,
		json_pack(
			"{s:s,s:I,s:i,s:o,s:o,s:b,s:i,s:o}", "service",
			q->service, "draw", (json_int_t)q->draw, "draws",
			(int)FP_BALANCER_DRAWS, "choice",
			member_json(q, sent && e->found, e->id), "runner_up",
			member_json(q, sent && e->has_runner_up, e->runner_up),
			"ejections_ignored", e->ejections_ignored, "workers",
			(int)e->n_workers, "candidates", candidates));
	free(e);
}

static void add_decision(struct where_question *q)
{
	bool sent = q->why == FP_REASON_NONE;
	json_t *refusal = json_null();

	if (!sent)
		refusal = json_pack(
			"{s:s,s:i,s:s,s:o}", "reason", fp_reason_name(q->why),
			"status",
			answer_refusal_status(q->t, q->outcome, q->why),
			"outcome", fp_outcome_name(q->outcome),
			"retry_after_ms",
			q->retry_after_us && q->outcome == FP_OUTCOME_NOT_RUN ?
				json_integer(q->retry_after_us / FP_US_PER_MS) :
				json_null());
	json_object_update_new(q->answer,
			       json_pack("{s:s,s:f,s:b,s:s?,s:o}", "decision",
					 sent ? "sent" : "refused",
					 "probability", q->probability,
					 "owner_decides", q->owner_decides,
					 "why", q->text, "refusal", refusal));
}

static void reply(struct fp_http_exchange *x, int status, json_t *j)
{
	static const struct fp_http_header type = { "Content-Type",
						    "application/json" };
	char *text = j ? json_dumps(j, JSON_COMPACT) : NULL;

	fp_http_reply(x, text ? status : 500, &type, 1, text ? text : "{}",
		      text ? strlen(text) : 2);
	free(text);
}

static void render(void *ctx)
{
	struct where_question *q = ctx;

	if (q->service[0])
		choose(q);
	add_decision(q);
	reply(q->x, 200, q->answer);
	where_end(q);
}

void where_ask(struct where_question *q, struct fp_loop *loop,
	       struct fp_traffic *t, struct fp_http_exchange *x)
{
	q->loop = loop;
	q->t = t;
	q->x = x;
	fp_loop_post(t->loop, decide, q);
}

void where_request(struct fp_loop *loop, struct fp_traffic *t,
		   struct fp_http_exchange *x, const struct fp_http_request *r)
{
	const char *reason;
	struct where_question *q = where_parse(r, &reason);
	json_t *j;

	if (q) {
		where_ask(q, loop, t, x);
		return;
	}
	j = json_pack("{s:s}", "reason", reason);
	reply(x, 400, j);
	json_decref(j);
}
