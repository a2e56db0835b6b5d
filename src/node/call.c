/*
 * call.c - the attempts of a call, their replies, and the answer to the caller
 *
 * The entry node of a call is the node that received its request; the exit node
 * of an attempt is the node beside the worker that the attempt is sent to.
 *
 * Each attempt has its own correlation id. A reply that arrives late, twice or
 * over another link matches no attempt and is dropped, so an answer reaches
 * only the request it belongs to.
 *
 * An attempt ends in one of three ways. It ran: the answer is forwarded. It
 * did not run: the call may be sent to another worker. It may have run: only
 * an idempotent request is sent again, and only while its attempt budget
 * allows. The outcome reported to the caller is the worst one of all attempts.
 */
#include "node/call.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/text.h"

/* How long after the deadline the entry node waits for the reply of the exit
 * node, which reports whether the call ran. */
#define REPLY_GRACE_US (20 * FP_US_PER_MS)
/* An attempt gets no timeout of its own if that would be shorter than this. */
#define MIN_ATTEMPT_US (20 * FP_US_PER_MS)
/* Time after which a full send queue of a link is tried again. */
#define LINK_WAIT_US (20 * FP_US_PER_MS)
/* Shortest Retry-After of a refusal. */
#define RETRY_AFTER_MIN_US (100 * FP_US_PER_MS)
/* Retry-After is the target latency divided by this, so that the caller's
 * retry can still end within the target. */
#define RETRY_AFTER_DIVISOR 4

/* --- creation and end --- */

void call_add_header(struct call *c, const char *name, const char *value)
{
	struct fp_msg_content *to = &c->msg.content;
	struct fp_msg_header *h = &to->headers[to->n_headers];

	h->name = strdup(name);
	h->value = strdup(value);
	if (!h->name || !h->value)
		abort();
	to->n_headers++;
}

/* The last place is left for a header of the node, call_add_header(). */
static void copy_headers(struct call *c, const struct fp_http_request *r)
{
	uint32_t i;

	for (i = 0; i < r->n_headers; i++)
		if (answer_forwards_header(c->t, r->headers[i].name) &&
		    c->msg.content.n_headers < FP_MAX_CALL_HEADERS - 1)
			call_add_header(c, r->headers[i].name,
					r->headers[i].value);
}

struct call *call_new(struct fp_traffic *t, struct fp_http_exchange *x,
		      const struct fp_http_request *r)
{
	struct call *c = calloc(1, sizeof(*c));
	uint8_t *body = fp_http_take_body(x);

	if (!c)
		abort();
	c->t = t;
	c->x = x;
	c->started_us = fp_loop_now_us(t->loop);
	/* intake_find_route() has refused longer ones. */
	if (!fp_text_copy(c->msg.method, sizeof(c->msg.method), r->method) ||
	    !fp_text_copy(c->msg.uri, sizeof(c->msg.uri), r->uri))
		abort();
	copy_headers(c, r);
	c->msg.content.body = body;
	c->msg.content.body_bytes = r->body_bytes;
	fp_http_exchange_set(x, c);
	c->next = t->open_calls;
	if (c->next)
		c->next->pprev = &c->next;
	c->pprev = &t->open_calls;
	t->open_calls = c;
	t->n_calls++;
	fp_counter_set(t->metrics.in_flight, t->n_calls);
	return c;
}

/* The caller's request id, or else the id of the root call, as a log value. */
static const char *log_id(const struct call *c, char word[FP_LOG_VALUE_BYTES])
{
	const char *name = c->t->dialect->request_id;
	const char *id =
		name ? fp_msg_header_find(&c->msg.content, name) : NULL;

	if (id)
		return fp_log_sanitize(id, word);
	return sodium_bin2hex(word, FP_LOG_VALUE_BYTES, c->msg.root,
			      sizeof(c->msg.root));
}

static void log_end(const struct call *c, enum fp_outcome outcome,
		    enum fp_reason why, int http_status)
{
	int64_t now_us = fp_loop_now_us(c->t->loop);
	char word[FP_LOG_VALUE_BYTES];

	fp_log(FP_LOG_INFO, why == FP_REASON_NONE ? "answered" : "refused",
	       "id=%s route=%s service=%s org=%s class=%s nested=%d "
	       "outcome=%s reason=%s overloaded_service=%s status=%d "
	       "total_ms=%" PRId64 " left_ms=%" PRId64
	       " sent=%u reached=%u worker=%016" PRIx64
	       " client_left=%d config=%" PRIu64,
	       log_id(c, word), c->msg.route, c->msg.service, c->msg.org,
	       fp_class_name(c->msg.cls), c->msg.nested,
	       fp_outcome_name(outcome), fp_reason_name(why),
	       c->overloaded_service ? c->overloaded_service : "-", http_status,
	       (now_us - c->started_us) / FP_US_PER_MS,
	       (c->deadline_us - now_us) / FP_US_PER_MS, c->n_tried,
	       c->n_reached, c->worker, c->caller_left,
	       c->t->config ? c->t->config->revision : 0);
}

void call_set_route(struct call *c, const struct fp_route *r)
{
	memcpy(c->msg.route, r->name, sizeof(c->msg.route));
	if (!fp_text_copy(
		    c->msg.service, sizeof(c->msg.service),
		    fp_config_route_service(c->t->config, r, traffic_random())))
		abort(); /* the names of a configuration fit */
	c->msg.non_idempotent = !r->idempotent;
	c->without_claim = r->without_claim;
	c->target_us = r->latency_target_ms * FP_US_PER_MS;
	c->max_workers = r->max_workers && r->max_workers < FP_MAX_TRIED ?
				 r->max_workers :
				 FP_MAX_TRIED;
}

int64_t call_retry_after_us(const struct call *c)
{
	int64_t us = c->target_us / RETRY_AFTER_DIVISOR;

	if (!c->target_us || us > FP_RETRY_AFTER_DEFAULT_US)
		return FP_RETRY_AFTER_DEFAULT_US;
	return us < RETRY_AFTER_MIN_US ? RETRY_AFTER_MIN_US : us;
}

static void clear_attempt(struct call *c)
{
	struct fp_traffic *t = c->t;

	fp_timer_cancel(t->loop, &c->attempt_timer);
	if (!c->corr)
		return;
	parts_stop(t, c->link, c->corr);
	apr_hash_set(t->calls, &c->corr, sizeof(c->corr), NULL);
	c->corr = 0;
	c->link = NULL;
	c->awaits_link = false;
}

static void call_free(struct call *c)
{
	struct fp_traffic *t = c->t;
	struct execution *parent =
		c->msg.nested ? execution_find(t, c->parent_id) : NULL;
	uint32_t i;

	if (parent)
		speed_nested_ended(parent);
	clear_attempt(c);
	tokens_cancel_wait(c);
	fp_timer_cancel(t->loop, &c->deadline_timer);
	*c->pprev = c->next;
	if (c->next)
		c->next->pprev = c->pprev;
	for (i = 0; i < c->msg.content.n_headers; i++) {
		free((char *)(uintptr_t)c->msg.content.headers[i].name);
		free((char *)(uintptr_t)c->msg.content.headers[i].value);
	}
	free((uint8_t *)(uintptr_t)c->msg.content.body);
	free(c);
	t->n_calls--;
	fp_counter_set(t->metrics.in_flight, t->n_calls);
}

/* Returns unused attempts to the parent's budget, if the parent still runs. */
static void return_attempts(struct call *c)
{
	struct execution_context ctx;
	struct execution *parent;

	if (!c->msg.nested || c->t->hosted)
		return;
	parent = execution_find(c->t, c->parent_id);
	if (!parent)
		return;
	execution_context(parent, &ctx);
	fp_attempt_budget_return(ctx.attempt_budget, c->attempt_budget.left);
}

/*
 * Whether an earlier arrival of the same request may have run, because the
 * claim is still undecided. With two reasons there is no earlier arrival of
 * this request: its idempotency key is missing, or was used for a different
 * request.
 */
static bool earlier_may_have_run(const struct call *c, enum fp_reason why)
{
	return c->claim_undecided && why != FP_REASON_ID_REQUIRED &&
	       why != FP_REASON_ID_REUSED;
}

enum fp_outcome call_refused_outcome(const struct call *c, enum fp_reason why)
{
	return c->may_have_run || earlier_may_have_run(c, why) ?
		       FP_OUTCOME_UNKNOWN :
		       FP_OUTCOME_NOT_RUN;
}

void call_refuse(struct call *c, enum fp_outcome outcome, enum fp_reason why,
		 int64_t retry_after_us)
{
	if (outcome == FP_OUTCOME_NOT_RUN)
		outcome = call_refused_outcome(c, why);
	log_end(c, outcome, why, 0);
	claim_end(c, outcome, NULL);
	limits_record_end(c, why, 0);
	slo_count_end(c, outcome, why, 0);
	return_attempts(c);
	answer_refuse(c->t, c->x, c->msg.cls, outcome, why, retry_after_us);
	call_free(c);
}

void call_refuse_stopping(struct call *c)
{
	call_refuse(c, FP_OUTCOME_NOT_RUN, FP_REASON_STOPPING,
		    FP_RETRY_ELSEWHERE_US);
}

void call_answer(struct call *c, const struct fp_msg_reply *r)
{
	slo_count_end(c, FP_OUTCOME_RAN, FP_REASON_NONE, r->http_status);
	return_attempts(c);
	answer_forward(c->t, c->x, c->msg.cls, r);
	call_free(c);
}

static void forward_answer(struct call *c, const struct fp_msg_reply *r)
{
	int64_t total_us = fp_loop_now_us(c->t->loop) - c->started_us;

	/* Server errors and answers later than the target are logged too. */
	if (r->http_status >= 500 || (c->target_us && total_us > c->target_us))
		log_end(c, FP_OUTCOME_RAN, FP_REASON_NONE, r->http_status);
	fp_run_times_add(c->t->call_times, c->msg.route, total_us,
			 fp_loop_now_us(c->t->loop));
	fp_histogram_add(c->t->metrics.total_us, total_us);
	fp_histogram_add(c->t->metrics.added_us, total_us - r->run_us);
	claim_end(c, FP_OUTCOME_RAN, r);
	limits_record_end(c, FP_REASON_NONE, r->http_status);
	call_answer(c, r);
}

/* --- attempts --- */

/* Whether the attempt in flight cannot run: the link to its exit node is not up
 * yet, or parts of its body were not sent. */
static bool is_unsent(const struct call *c)
{
	return c->awaits_link || parts_unsent(c->t, c->corr);
}

void call_on_deadline(void *ctx)
{
	struct call *c = ctx;
	struct fp_traffic *t = c->t;
	struct call_attempt a = call_attempt_of(c);
	enum fp_outcome outcome = c->corr && !is_unsent(c) ?
					  FP_OUTCOME_UNKNOWN :
					  FP_OUTCOME_NOT_RUN;
	int64_t now_us = fp_loop_now_us(t->loop);

	if (c->corr) {
		fp_balancer_call_ended(t->balancer, c->worker,
				       FP_BALANCER_FAILED, now_us - c->sent_us,
				       NULL, now_us);
		fp_run_times_add(t->call_times, c->msg.route,
				 now_us - c->started_us, now_us);
	}
	call_refuse(c, outcome, FP_REASON_DEADLINE, 0);
	call_cancel_attempt(t, &a);
}

static bool may_retry_unknown(const struct call *c)
{
	return !c->msg.non_idempotent && c->attempt_budget.left > 0 &&
	       !c->caller_left;
}

/* Takes one extra attempt from the call's attempt budget and from the retry
 * limit of the service; false if either has none left. */
static bool spend_attempt(struct call *c)
{
	if (!c->attempt_budget.left || limits_take_retry(c) != FP_OK)
		return false;
	c->attempt_budget.left--;
	return true;
}

/*
 * Whether a call that was refused for load may be sent to another worker. A
 * nested call needs one that is known to have free capacity: its tree has begun, and its
 * next calls need the capacity that a useless attempt would take.
 */
static bool find_retry_worker(struct call *c)
{
	struct fp_traffic *t = c->t;

	if (!c->msg.nested || !t->settings->tree_admission ||
	    t->settings->overload_off ||
	    fp_balancer_pick_retry(t->balancer, c->msg.service, c->msg.rank,
				   c->tried, c->n_tried, traffic_random(),
				   fp_loop_now_us(t->loop),
				   &c->retry_worker) == FP_OK)
		return true;
	fp_counter_add(t->metrics.no_capacity, 1);
	return false;
}

/*
 * Whether a call whose attempt ended without an answer may be sent to another
 * worker. An attempt that never reached a backend server added no load there,
 * so resending it takes nothing from the attempt budget or the retry limit.
 */
static bool may_resend(struct call *c, enum fp_outcome outcome,
		       enum fp_reason why, bool reached)
{
	if (c->caller_left || c->n_tried == FP_MAX_TRIED ||
	    c->n_reached >= c->max_workers)
		return false;
	if (outcome != FP_OUTCOME_NOT_RUN)
		return may_retry_unknown(c) && spend_attempt(c);
	if (why == FP_REASON_DEADLINE)
		return false;
	if (why == FP_REASON_OVERLOADED && !find_retry_worker(c))
		return false;
	if (!reached)
		return true;
	if (c->t->hosted)
		return spend_attempt(c);
	if (why == FP_REASON_BACKEND_REFUSED)
		return spend_attempt(c);
	/* After an overloaded worker only root calls try another one. */
	return why != FP_REASON_OVERLOADED ||
	       (!c->msg.nested && spend_attempt(c));
}

/* Handles the end of an attempt without an answer: resends or refuses the
 * call. reached: the attempt reached a backend server, or may have. */
static void attempt_ended(struct call *c, enum fp_outcome outcome,
			  enum fp_reason why, bool reached)
{
	char word[FP_LOG_VALUE_BYTES];

	clear_attempt(c);
	if (reached || outcome != FP_OUTCOME_NOT_RUN)
		c->n_reached++;
	if (outcome != FP_OUTCOME_NOT_RUN)
		c->may_have_run = true;
	if (!may_resend(c, outcome, why, reached)) {
		call_refuse(c, outcome, why,
			    outcome == FP_OUTCOME_NOT_RUN ?
				    call_retry_after_us(c) :
				    0);
		return;
	}
	fp_counter_add(c->t->metrics.retries, 1);
	fp_log(FP_LOG_INFO, "call_retried",
	       "id=%s service=%s outcome=%s reason=%s sent=%u reached=%u "
	       "left_ms=%" PRId64,
	       log_id(c, word), c->msg.service, fp_outcome_name(outcome),
	       fp_reason_name(why), c->n_tried, c->n_reached,
	       (c->deadline_us - fp_loop_now_us(c->t->loop)) / FP_US_PER_MS);
	call_send(c);
}

/* Without its whole body a call does not run. */
void call_attempt_lost(struct call *c, bool sent)
{
	bool ran = sent && !is_unsent(c);

	attempt_ended(c, ran ? FP_OUTCOME_UNKNOWN : FP_OUTCOME_NOT_RUN,
		      ran ? FP_REASON_CUT : FP_REASON_NO_WORKER, ran);
}

void call_body_stalled(struct fp_traffic *t, uint64_t corr)
{
	struct call *c = apr_hash_get(t->calls, &corr, sizeof(corr));
	int64_t now_us = fp_loop_now_us(t->loop);

	if (!c)
		return;
	fp_balancer_call_ended(t->balancer, c->worker, FP_BALANCER_FAILED,
			       now_us - c->sent_us, NULL, now_us);
	call_attempt_lost(c, true);
}

static void on_attempt_timeout(void *ctx)
{
	struct call *c = ctx;
	struct fp_traffic *t = c->t;
	struct call_attempt a = call_attempt_of(c);
	int64_t now_us = fp_loop_now_us(t->loop);

	if (!may_retry_unknown(c))
		return;
	fp_balancer_call_ended(t->balancer, c->worker, FP_BALANCER_FAILED,
			       now_us - c->sent_us, NULL, now_us);
	call_attempt_lost(c, true);
	call_cancel_attempt(t, &a);
}

/*
 * Divides the time left equally among this attempt and the retries still
 * possible, so that a connection that stops responding costs one attempt and
 * not the complete call.
 */
static void arm_attempt_timer(struct call *c, int64_t now_us)
{
	int64_t timeout_us =
		(c->deadline_us - now_us) / (c->attempt_budget.left + 1);

	if (c->t->hosted || !may_retry_unknown(c) ||
	    timeout_us < MIN_ATTEMPT_US)
		return;
	fp_timer_set(c->t->loop, &c->attempt_timer, now_us + timeout_us,
		     on_attempt_timeout, c);
}

static const struct fp_member *pick_worker(struct call *c, int64_t now_us)
{
	struct fp_traffic *t = c->t;
	uint64_t id = c->retry_worker;

	c->retry_worker = 0;
	if (id && traffic_member(t, id))
		return traffic_member(t, id);
	if (fp_balancer_pick(t->balancer, c->msg.service, c->tried, c->n_tried,
			     traffic_random(), now_us, &id) != FP_OK)
		return NULL;
	return traffic_member(t, id);
}

/*
 * Keeps one extra attempt for this hop and lends the others to the subtree; the
 * reply returns those not used. If the outcome of the attempt is unknown, all
 * attempts lent to the subtree count as used, so the call tree never exceeds
 * the budget of its root.
 */
static void lend_to_subtree(struct call *c)
{
	uint32_t extra =
		c->attempt_budget.left > 1 ? c->attempt_budget.left - 1 : 0;

	c->msg.attempts = fp_attempt_budget_lend(&c->attempt_budget, extra);
}

/*
 * A non-idempotent request takes its claim before anything else is decided.
 * Only the claim shows whether an earlier arrival of the request has run, and
 * so whether a refusal may report "not run". Until then a refusal reports an
 * unknown outcome.
 */
void call_begin(struct call *c)
{
	enum fp_reason why;

	c->claim_undecided = call_needs_claim(c);
	if (!drain_can_finish_call(c)) {
		call_refuse_stopping(c);
		return;
	}
	fp_timer_set(c->t->loop, &c->deadline_timer,
		     c->deadline_us + REPLY_GRACE_US, call_on_deadline, c);
	if (!c->claim_undecided) {
		call_after_claim(c);
		return;
	}
	why = claim_take(c);
	if (why != FP_REASON_NONE)
		call_refuse(c, FP_OUTCOME_NOT_RUN, why, call_retry_after_us(c));
}

void call_after_claim(struct call *c)
{
	enum fp_reason why = limits_check(c);
	enum fp_status st = FP_OK;

	c->claim_undecided = false;
	if (why != FP_REASON_NONE) {
		call_refuse(c, FP_OUTCOME_NOT_RUN, why, call_retry_after_us(c));
		return;
	}
	if (call_needs_token(c))
		st = tokens_take(c);
	if (st == FP_OK)
		call_after_token(c);
	else if (st == FP_EXHAUSTED)
		call_refuse(c, FP_OUTCOME_NOT_RUN, FP_REASON_OVER_RATE,
			    call_retry_after_us(c));
	else if (st == FP_FULL)
		call_refuse(c, FP_OUTCOME_NOT_RUN, FP_REASON_NO_TOKENS,
			    call_retry_after_us(c));
}

void call_after_token(struct call *c)
{
	call_send(c);
}

static void on_link_wait_over(void *ctx)
{
	call_send(ctx);
}

/* Waits for room in the send queue of a link: large bodies take their time, and
 * a full queue does not mean that the worker is lost. Nothing was sent. */
static void wait_for_link(struct call *c, int64_t now_us)
{
	struct fp_traffic *t = c->t;

	fp_balancer_call_ended(t->balancer, c->worker, FP_BALANCER_CANCELLED, 0,
			       NULL, now_us);
	fp_attempt_budget_return(&c->attempt_budget, c->msg.attempts);
	clear_attempt(c);
	c->n_tried--;
	fp_timer_set(t->loop, &c->attempt_timer, now_us + LINK_WAIT_US,
		     on_link_wait_over, c);
}

void call_check_sent(struct call *c, enum fp_status st)
{
	int64_t now_us;

	/* The call may have been freed. */
	if (st == FP_OK)
		return;
	now_us = fp_loop_now_us(c->t->loop);
	if (st == FP_FULL) {
		wait_for_link(c, now_us);
		return;
	}
	fp_balancer_call_ended(c->t->balancer, c->worker, FP_BALANCER_FAILED, 0,
			       NULL, now_us);
	attempt_ended(c, FP_OUTCOME_NOT_RUN, FP_REASON_NO_WORKER, false);
}

void call_send(struct call *c)
{
	struct fp_traffic *t = c->t;
	int64_t now_us = fp_loop_now_us(t->loop);
	const struct fp_member *m;
	uint64_t corr;

	if (!drain_can_finish_call(c)) {
		call_refuse_stopping(c);
		return;
	}
	m = pick_worker(c, now_us);
	if (!m) {
		call_refuse(c, FP_OUTCOME_NOT_RUN, FP_REASON_NO_WORKER,
			    call_retry_after_us(c));
		return;
	}
	if (c->deadline_us <= now_us) {
		call_refuse(c, FP_OUTCOME_NOT_RUN, FP_REASON_DEADLINE, 0);
		return;
	}
	corr = ++t->last_corr;
	c->msg.corr = corr;
	c->corr = corr;
	lend_to_subtree(c);
	c->worker = m->id;
	c->tried[c->n_tried++] = m->id;
	c->sent_us = now_us;
	apr_hash_set(t->calls, &c->corr, sizeof(c->corr), c);
	if (!c->first_counted)
		limits_count_first_attempt(c);
	c->first_counted = true;
	arm_attempt_timer(c, now_us);
	fp_balancer_call_sent(t->balancer, m->id);
	call_check_sent(c, call_transmit(c, m));
}

/* --- replies --- */

static enum fp_balancer_result balancer_result(const struct fp_msg_reply *r)
{
	switch (r->reason) {
	case FP_REASON_NONE:
		return r->http_status >= 500 ? FP_BALANCER_FAILED :
					       FP_BALANCER_OK;
	case FP_REASON_OVERLOADED:
	case FP_REASON_BACKEND_REFUSED:
	case FP_REASON_DEADLINE:
	case FP_REASON_STOPPING:
		return FP_BALANCER_REFUSED;
	default:
		return FP_BALANCER_FAILED;
	}
}

/* Adds the calls of a nested call's subtree to those of its parent. */
static void add_calls_to_parent(struct call *c, const struct fp_msg_reply *r)
{
	struct execution *parent;

	if (!c->msg.nested)
		return;
	parent = execution_find(c->t, c->parent_id);
	if (parent)
		execution_add_service_calls(parent, r->service_loads,
					    r->n_service_loads);
}

void call_reply(struct fp_traffic *t, struct fp_peer_link *link,
		const struct fp_msg_reply *r)
{
	struct call *c = apr_hash_get(t->calls, &r->corr, sizeof(r->corr));
	int64_t now_us = fp_loop_now_us(t->loop);

	if (!c || c->link != link) {
		fp_counter_add(t->metrics.late_replies, 1);
		return;
	}
	fp_balancer_call_ended(t->balancer, c->worker, balancer_result(r),
			       now_us - c->sent_us, &r->admission_load, now_us);
	fp_balancer_note_speed(t->balancer, c->worker, c->msg.route, &r->speed,
			       now_us);
	add_calls_to_parent(c, r);
	limits_update_loads(c, r);
	fp_attempt_budget_return(&c->attempt_budget,
				 r->attempts_unused < c->msg.attempts ?
					 r->attempts_unused :
					 c->msg.attempts);
	if (r->reason == FP_REASON_NONE) {
		forward_answer(c, r);
		return;
	}
	attempt_ended(c, r->outcome, r->reason, r->run_us > 0);
}
