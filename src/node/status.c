/*
 * status.c - GET /v1/status, GET /v1/slo and POST /v1/where of the admin port
 *
 * The control thread checks the operator's key and posts a report request to
 * the traffic thread. The traffic thread posts a copy of its state back, and
 * the control thread renders it as JSON.
 */
#include "node/status.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/operator_api.h"
#include "node/slo_node.h"
#include "node/where.h"

/** A request of an operator, until it is answered. */
struct operator_query {
	struct fp_control *c;
	struct fp_http_exchange *x;
	bool slo; /* /v1/slo, else /v1/status */
	struct where_question *where; /* of /v1/where, else NULL */
	bool series; /* adds the counts of each time bucket, for plots */
	const char *malformed; /* what is wrong with it, or NULL */
	struct fp_traffic_report report;
};

/* --- service levels --- */

static json_t *counts_json(const struct fp_slo_counts *n)
{
	return json_pack("{s:I,s:I,s:I,s:I}", "good",
			 (json_int_t)n->n[FP_SLO_GOOD], "failed",
			 (json_int_t)n->n[FP_SLO_FAILED], "refused",
			 (json_int_t)n->n[FP_SLO_REFUSED], "over_rate",
			 (json_int_t)n->n[FP_SLO_OVER_RATE]);
}

static json_t *objective_json(const struct fp_slo_row *r)
{
	const struct fp_objective *o = &r->objective;

	if (!r->has_objective)
		return json_null();
	return json_pack("{s:i,s:i,s:i}", "good_permille",
			 (int)o->good_permille, "latency_ms",
			 (int)o->latency_ms, "window_hours",
			 (int)o->window_hours);
}

/* Counts summed over the newest time buckets. "budget" covers the window of the
 * objective, limited to the time for which buckets are kept. */
static json_t *windows_json(const struct fp_slo_row *r, int64_t now_us)
{
	uint32_t hours = r->has_objective ? r->objective.window_hours :
					    FP_SLO_LONG_BUCKETS;
	json_t *j = json_object();
	struct fp_slo_counts n;
	int w;

	for (w = 0; w < FP_SLO_WINDOW_COUNT; w++) {
		fp_slo_sum(r, (enum fp_slo_window)w, UINT32_MAX, now_us, &n);
		json_object_set_new(j, fp_slo_windows[w].name, counts_json(&n));
	}
	fp_slo_sum(r, FP_SLO_LONG, hours, now_us, &n);
	json_object_set_new(j, "budget", counts_json(&n));
	return j;
}

/* Counts of all and of bad requests in each time bucket, oldest first. */
static json_t *series_json(const struct fp_slo_row *r, enum fp_slo_window w,
			   int64_t now_us)
{
	json_t *total = json_array();
	json_t *bad = json_array();
	struct fp_slo_counts n;
	uint32_t age = fp_slo_windows[w].n;
	uint64_t all;

	while (age-- > 0) {
		fp_slo_read(r, w, age, now_us, &n);
		all = fp_slo_total(&n);
		json_array_append_new(total, json_integer((json_int_t)all));
		json_array_append_new(
			bad,
			json_integer((json_int_t)(all - n.n[FP_SLO_GOOD])));
	}
	return json_pack("{s:o,s:o}", "total", total, "bad", bad);
}

static json_t *row_json(const struct fp_slo_row *r,
			const struct operator_query *q)
{
	int64_t now_us = q->report.now_us;
	json_t *j =
		json_pack("{s:s,s:s,s:o,s:o}", "organisation", r->org, "class",
			  fp_class_name(r->cls), "objective", objective_json(r),
			  "windows", windows_json(r, now_us));

	if (q->series)
		json_object_set_new(
			j, "series",
			json_pack("{s:o,s:o}", "1h",
				  series_json(r, FP_SLO_MIDDLE, now_us), "3d",
				  series_json(r, FP_SLO_LONG, now_us)));
	return j;
}

/* Times are given as ages, so that no reader compares clocks of two nodes. */
static json_t *overload_json(const struct fp_traffic_report *t)
{
	const struct fp_recovery *r = &t->recovery;
	int64_t now_s = t->now_us / FP_US_PER_S;
	int64_t end_s = r->ongoing ? now_s : r->end_s;

	if (!r->episodes)
		return json_pack("{s:i}", "episodes", 0);
	return json_pack("{s:i,s:b,s:I,s:I,s:i}", "episodes", (int)r->episodes,
			 "ongoing", (int)r->ongoing, "began_s_ago",
			 (json_int_t)(now_s - r->start_s), "length_s",
			 (json_int_t)(end_s - r->start_s), "worst_permille",
			 (int)r->worst_permille);
}

static json_t *slo_json(const struct operator_query *q)
{
	const struct fp_control *c = q->c;
	const struct fp_slo *s = q->report.slo;
	json_t *rows = json_array();
	uint32_t i;

	for (i = 0; s && i < fp_slo_n_rows(s); i++)
		json_array_append_new(rows, row_json(fp_slo_row_at(s, i), q));
	return json_pack(
		"{s:s,s:I,s:o,s:o}", "node", c->settings->name, "counted_s",
		(json_int_t)((q->report.now_us - c->started_us) / FP_US_PER_S),
		"rows", rows, "overload", overload_json(&q->report));
}

/* --- status --- */

static json_t *node_json(const struct operator_query *q)
{
	const struct fp_settings *s = q->c->settings;
	const struct fp_traffic_report *t = &q->report;
	const char *state = t->draining ? "leaving" :
			    t->isolated ? "isolated" :
					  "serving";

	return json_pack(
		"{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I}", "name", s->name, "domain",
		s->failure_domain, "region", s->region, "service", s->service,
		"state", state, "up_s",
		(json_int_t)((t->now_us - q->c->started_us) / FP_US_PER_S),
		"calls", (json_int_t)t->calls, "executions",
		(json_int_t)t->executions);
}

/* Admin address of a member: its control address with this node's admin port,
 * since members do not publish theirs. */
static void admin_address(const struct fp_control *c, const struct fp_member *m,
			  char out[FP_MEMBER_ADDR_BYTES])
{
	int len = (int)strcspn(m->control_addr, ":");

	snprintf(out, FP_MEMBER_ADDR_BYTES, "%.*s:%u", len < 16 ? len : 15,
		 m->control_addr, (unsigned int)c->settings->admin_port);
}

static json_t *member_json(const struct fp_control *c,
			   const struct fp_member *m)
{
	char admin[FP_MEMBER_ADDR_BYTES];
	char id[20];

	admin_address(c, m, admin);
	snprintf(id, sizeof(id), "%016" PRIx64, m->id);
	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:s}", "name", m->name, "id",
			 id, "domain", m->failure_domain, "region", m->region,
			 "service", m->service, "admin", admin, "state",
			 m->suspected ? "suspected" : "alive");
}

static json_t *worker_json(const struct fp_member *m)
{
	const char *state = m->serving ? "serving" :
			    m->slots   ? "leaving or silent" :
					 "not announced";

	return json_pack("{s:s,s:s,s:s,s:i,s:s}", "name", m->name, "service",
			 m->service, "domain", m->failure_domain, "slots",
			 (int)m->slots, "state", state);
}

/* "refused_permille" lists the ranks of requests whose class equals that of
 * their route: important, normal and sheddable. */
static json_t *admission_json(const struct fp_admission_load *l)
{
	return json_pack("{s:i,s:i,s:i,s:i,s:[iii]}", "limit", (int)l->limit,
			 "running", (int)l->running, "queued", (int)l->queued,
			 "delay_us", (int)l->delay_us, "refused_permille",
			 (int)l->refused_permille[fp_shed_rank(
				 FP_CLASS_IMPORTANT, FP_CLASS_IMPORTANT)],
			 (int)l->refused_permille[fp_shed_rank(
				 FP_CLASS_NORMAL, FP_CLASS_NORMAL)],
			 (int)l->refused_permille[fp_shed_rank(
				 FP_CLASS_SHEDDABLE, FP_CLASS_SHEDDABLE)]);
}

static json_t *config_json(const struct fp_control *c)
{
	const struct fp_config *cfg = fp_config_sync_current(c->sync);
	int64_t age_us = fp_config_sync_store_age_us(c->sync);

	if (!cfg)
		return json_pack("{s:i,s:n,s:n,s:I}", "revision", 0,
				 "change_id", "preset", "store_age_ms",
				 (json_int_t)(age_us / FP_US_PER_MS));
	return json_pack("{s:I,s:s,s:s,s:I}", "revision",
			 (json_int_t)cfg->revision, "change_id", cfg->change_id,
			 "preset", cfg->presets[cfg->active_preset].name,
			 "store_age_ms", (json_int_t)(age_us / FP_US_PER_MS));
}

static json_int_t store_count(const struct fp_control *c, const char *name,
			      const char *call)
{
	char labels[32];

	snprintf(labels, sizeof(labels), "call=\"%s\"", call);
	return fp_counter_value(fp_counter_get(c->counters, name, labels));
}

static json_t *store_json(const struct fp_control *c)
{
	static const char *const calls[] = { "get", "cas", "list", "watch" };
	json_t *j = json_array();
	size_t i;

	for (i = 0; i < sizeof(calls) / sizeof(calls[0]); i++)
		json_array_append_new(
			j,
			json_pack("{s:s,s:I,s:I}", "name", calls[i], "calls",
				  store_count(c, "fulmar_store_calls_total",
					      calls[i]),
				  "failures",
				  store_count(c, "fulmar_store_failures_total",
					      calls[i])));
	return j;
}

static json_t *status_json(const struct operator_query *q)
{
	struct fp_control *c = q->c;
	const struct fp_member_table *m = c->members;
	json_t *nodes = json_array();
	json_t *workers = json_array();
	json_t *slices = c->list_slices ? c->list_slices(c) : json_array();
	uint32_t i;

	for (i = 0; m && i < m->n; i++) {
		json_array_append_new(nodes, member_json(c, &m->members[i]));
		json_array_append_new(workers, worker_json(&m->members[i]));
	}
	return json_pack("{s:o,s:o,s:o,s:o,s:o,s:o,s:o}", "node", node_json(q),
			 "nodes", nodes, "workers", workers, "admission",
			 admission_json(&q->report.admission_load), "slices",
			 slices, "config", config_json(c), "store",
			 store_json(c));
}

/* --- request handling --- */

static void reply(struct fp_http_exchange *x, int http_status, const char *body)
{
	static const struct fp_http_header type = { "Content-Type",
						    "application/json" };

	fp_http_reply(x, http_status, &type, 1, body, strlen(body));
}

static void render(void *ctx)
{
	struct operator_query *q = ctx;
	json_t *j = q->slo ? slo_json(q) : status_json(q);
	char *text = j ? json_dumps(j, JSON_COMPACT) : NULL;

	reply(q->x, text ? 200 : 500, text ? text : "{}");
	free(text);
	json_decref(j);
	fp_slo_end(q->report.slo);
	free(q);
}

static void on_report(void *ctx, const struct fp_traffic_report *r)
{
	struct operator_query *q = ctx;

	q->report = *r;
	fp_loop_post(q->c->loop, render, q);
}

static void refuse(struct operator_query *q, int http_status, const char *body)
{
	reply(q->x, http_status, body);
	where_end(q->where);
	free(q);
}

static void refuse_malformed(struct operator_query *q)
{
	char body[128];

	snprintf(body, sizeof(body), "{\"reason\": \"%s\"}", q->malformed);
	refuse(q, 400, body);
}

static void request_report(struct operator_query *q)
{
	if (q->malformed) {
		refuse_malformed(q);
	} else if (q->where) {
		where_ask(q->where, q->c->loop, q->c->traffic, q->x);
		free(q);
	} else {
		fp_traffic_request_report(q->c->traffic, q->slo, on_report, q);
	}
}

static void on_checked(void *ctx, int http_status, const char *answer)
{
	struct operator_query *q = ctx;

	if (http_status == 200)
		request_report(q);
	else
		refuse(q, http_status, answer);
}

static void authorise(struct operator_query *q, const struct fp_http_request *r)
{
	struct fp_control *c = q->c;
	const struct fp_config *cfg = fp_config_sync_current(c->sync);
	struct fp_operator_request o = { 0 };
	const char *name;

	o.authorization =
		fp_http_find_header(r->headers, r->n_headers, "Authorization");
	if (c->settings->has_bootstrap_operator)
		o.bootstrap = c->settings->bootstrap_operator_hash;
	if (!cfg)
		fp_config_sync_read(c->sync, &o, on_checked, q);
	else if (fp_operator_check(cfg, o.bootstrap, o.authorization, &name) ==
		 FP_OK)
		request_report(q);
	else
		refuse(q, 401, "{\"reason\": \"not an operator's key\"}");
}

bool status_request(struct fp_control *c, struct fp_http_exchange *x,
		    const struct fp_http_request *r)
{
	size_t path = strcspn(r->uri, "?");
	bool slo = strncmp(r->uri, "/v1/slo", path) == 0 && path == 7;
	bool status = strncmp(r->uri, "/v1/status", path) == 0 && path == 10;
	bool where = strncmp(r->uri, "/v1/where", path) == 0 && path == 9 &&
		     strcmp(r->method, "POST") == 0;
	struct operator_query *q;

	if (!where && (strcmp(r->method, "GET") != 0 || (!slo && !status)))
		return false;
	q = calloc(1, sizeof(*q));
	if (!q)
		abort();
	q->c = c;
	q->x = x;
	q->slo = slo;
	if (where)
		q->where = where_parse(r, &q->malformed);
	q->series = strcmp(r->uri + path, "?series=1") == 0;
	authorise(q, r);
	return true;
}
