/*
 * slo_node.c - service levels of the root calls that entered at this node
 *
 * Each root is counted once, by its entry node, when it is answered. Nested
 * calls are part of their root. A report is a copy made on the traffic thread;
 * the requester renders it on its own thread.
 */
#include "node/slo_node.h"

#include <stdlib.h>

#include "node/call.h"

void slo_init(struct fp_traffic *t)
{
	t->slo = fp_slo_init();
	if (!t->slo)
		abort();
}

void slo_count_end(const struct call *c, enum fp_outcome outcome,
		   enum fp_reason why, int http_status)
{
	struct fp_traffic *t = c->t;
	int64_t now_us = fp_loop_now_us(t->loop);
	struct fp_slo_result end = { .outcome = outcome,
				     .reason = why,
				     .http_status = http_status,
				     .latency_us = now_us - c->started_us,
				     .caller_left = c->caller_left };
	enum fp_slo_kind kind;
	struct fp_slo_row *row;

	if (c->msg.nested)
		return;
	row = fp_slo_row(t->slo, c->msg.org, c->msg.cls);
	fp_slo_set_objective(row, t->config);
	kind = fp_slo_classify(row, &end);
	fp_slo_add(row, kind, now_us);
	fp_recovery_add(&t->recovery, kind, now_us);
}

/* A request for a report, posted to the traffic thread. */
struct report_request {
	struct fp_traffic *t;
	bool with_slo;
	fp_traffic_report_fn done;
	void *ctx;
};

/* Applies the objectives in force, and adds rows for those that have no calls
 * yet. */
static void refresh_objectives(struct fp_traffic *t)
{
	uint32_t i;

	for (i = 0; t->config && i < t->config->n_objectives; i++)
		if (t->config->objectives[i].org[0] != '*')
			fp_slo_row(t->slo, t->config->objectives[i].org,
				   t->config->objectives[i].cls);
	for (i = 0; i < fp_slo_n_rows(t->slo); i++)
		fp_slo_set_objective(fp_slo_row_at(t->slo, i), t->config);
}

static void send_report(void *ctx)
{
	struct report_request *q = ctx;
	struct fp_traffic *t = q->t;
	int64_t now_us = fp_loop_now_us(t->loop);
	struct fp_traffic_report r = { .now_us = now_us,
				       .calls = t->n_calls,
				       .executions = t->n_executions,
				       .isolated = t->isolated,
				       .draining = t->draining };

	fp_recovery_tick(&t->recovery, now_us);
	r.recovery = t->recovery;
	fp_admission_read_load(t->admission, &r.admission_load);
	if (q->with_slo) {
		refresh_objectives(t);
		r.slo = fp_slo_copy(t->slo);
	}
	q->done(q->ctx, &r);
	free(q);
}

void fp_traffic_request_report(struct fp_traffic *t, bool with_slo,
			       fp_traffic_report_fn done, void *ctx)
{
	struct report_request *q = malloc(sizeof(*q));

	if (!q)
		abort();
	q->t = t;
	q->with_slo = with_slo;
	q->done = done;
	q->ctx = ctx;
	fp_loop_post(t->loop, send_report, q);
}
