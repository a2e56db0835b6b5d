/*
 * speed.c - what this node learns of the speed of its backend server
 *
 * Feeds the model (state/worker_model.c) with the runs of executions, the time
 * of their nested calls and what the server says of its machine, and gives the
 * learned limit to admission. A new start of the server is another
 * server: everything is learned again.
 */
#include <inttypes.h>
#include <stdlib.h>

#include "base/log.h"
#include "node/execution_private.h"

static bool is_on(const struct fp_traffic *t)
{
	return !t->settings->overload_off && !t->settings->equal_servers;
}

void speed_init(struct fp_traffic *t)
{
	t->worker_model = fp_worker_model_init();
	if (!t->worker_model)
		abort();
	t->metrics.concurrency =
		fp_counter_get(t->counters, "fulmar_server_concurrency", "");
	t->metrics.rate =
		fp_counter_get(t->counters, "fulmar_server_rate_per_s", "");
	fp_balancer_set_learning(t->balancer, is_on(t));
}

void speed_reset(struct fp_traffic *t)
{
	fp_worker_model_reset(t->worker_model, fp_loop_now_us(t->loop));
}

void speed_run_started(struct execution *e)
{
	fp_worker_model_started(e->t->worker_model, &e->run, e->sent_us);
	e->in_model = true;
}

void speed_run_ended(struct execution *e, bool complete)
{
	int64_t now_us = fp_loop_now_us(e->t->loop);

	if (!e->in_model)
		return;
	e->in_model = false;
	if (e->n_nested)
		e->inner_us += now_us - e->nested_since_us;
	fp_worker_model_ended(e->t->worker_model, &e->run, e->msg.route,
			      e->inner_us, complete, now_us);
}

void speed_nested_began(struct execution *parent)
{
	if (parent->n_nested++ == 0)
		parent->nested_since_us = fp_loop_now_us(parent->t->loop);
}

void speed_nested_ended(struct execution *parent)
{
	if (parent->n_nested == 0)
		return; /* it began under an execution that has ended */
	if (--parent->n_nested == 0)
		parent->inner_us += fp_loop_now_us(parent->t->loop) -
				    parent->nested_since_us;
}

void speed_note_answer(struct fp_traffic *t, const struct fp_http_result *res)
{
	struct fp_backend_load load;
	const char *text;

	if (res->status != FP_OK || !t->dialect->backend_load)
		return;
	text = fp_http_find_header(res->headers, res->n_headers,
				   t->dialect->backend_load);
	if (text && t->dialect->load(text, &load) == FP_OK)
		fp_worker_model_report(t->worker_model, load.work_percent,
				       fp_loop_now_us(t->loop));
}

void speed_read(const struct execution *e, struct fp_worker_speed *speed)
{
	if (is_on(e->t))
		fp_worker_model_read(e->t->worker_model, e->msg.route,
				     fp_loop_now_us(e->t->loop), speed);
}

/* Whether the most important class gets all that it asks for. */
static bool important_served(const struct fp_admission_load *load)
{
	int i;

	for (i = 0; i < FP_CLASS_COUNT; i++)
		if (load->refused_permille[i])
			return false;
	return true;
}

bool speed_update_concurrency(struct fp_traffic *t, int64_t now_us)
{
	struct fp_admission_load load;
	struct fp_worker_speed speed;
	uint32_t limit;

	if (!is_on(t) || !t->worker.slots)
		return false;
	fp_admission_read_load(t->admission, &load);
	limit = fp_worker_model_concurrency(t->worker_model, t->worker.slots,
					    load.queued > 0,
					    important_served(&load), now_us);
	if (limit == t->learned_limit)
		return false;
	fp_worker_model_read(t->worker_model, "", now_us, &speed);
	fp_log(FP_LOG_INFO, "server_concurrency",
	       "limit=%u before=%u slots=%u running=%u queued=%u "
	       "rate_per_s=%u percent=%u age_ms=%u",
	       limit, t->learned_limit, t->worker.slots, load.running,
	       load.queued, speed.rate_per_s, speed.percent, speed.age_ms);
	fp_counter_set(t->metrics.concurrency, limit);
	fp_counter_set(t->metrics.rate, speed.rate_per_s);
	t->learned_limit = limit;
	return true;
}

void speed_end(struct fp_traffic *t)
{
	fp_worker_model_end(t->worker_model);
}
