/*
 * claim.c - claims of non-idempotent requests, taken by the entry node
 *
 * A request on a non-idempotent route is dispatched only after both nodes of
 * its claim's slice, primary and backup, have recorded the claim. The claim
 * ends with the call: it is released if the request did not run, else finished
 * with the answer or as unknown. The answer to the caller does not wait for
 * this; release and finish messages are sent again until they are acknowledged
 * or time out. A claim whose release or finish is lost stays pending, and later
 * arrivals of the request get an unknown outcome, which is correct.
 *
 * The name of a claim is a hash of organisation, route and Idempotency-Key.
 * For a nested call without a key the hash covers the id of the root, the
 * request target and the body instead, so the nested calls of a root that a
 * node retries do not run twice.
 */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "node/call.h"
#include "protocol/msg_shared.h"
#include "state/slice_map.h"

/* Interval between two sends of an unanswered request. */
#define RESEND_US (150 * FP_US_PER_MS)
/* How long a take is resent, and how long a release or finish is. */
#define TAKE_TIMEOUT_US (1500 * FP_US_PER_MS)
#define END_TIMEOUT_US	(30 * FP_US_PER_S)
/* A request whose earlier arrival is still running is refused as in progress
 * this long before its deadline, so that its caller receives the refusal. */
#define IN_PROGRESS_MARGIN_US (100 * FP_US_PER_MS)
#define MAX_CLAIM_REQUESTS    4096u
#define MAX_KEY_BYTES	      128

/** A claim message in flight, sent again until it is answered. */
struct claim_request {
	uint64_t id;
	uint32_t slice;
	struct call *call; /* takes the claim; NULL: release or finish */
	bool earlier_pending; /* take: an earlier arrival has not ended */
	msgpack_sbuffer data;
	int64_t started_us;
	int64_t sent_us;
};

static void claim_request_send(struct fp_traffic *t, struct claim_request *req)
{
	req->sent_us = fp_loop_now_us(t->loop);
	t->hooks.to_slice(t->hooks.ctx, req->slice, req->data.data,
			  req->data.size);
}

static void claim_request_free(struct fp_traffic *t, struct claim_request *req)
{
	apr_hash_set(t->claim_requests, &req->id, sizeof(req->id), NULL);
	msgpack_sbuffer_destroy(&req->data);
	free(req);
}

static struct claim_request *
claim_request_new(struct fp_traffic *t, struct fp_msg_shared *m, uint32_t slice)
{
	struct claim_request *req;

	if (apr_hash_count(t->claim_requests) >= MAX_CLAIM_REQUESTS)
		return NULL;
	req = calloc(1, sizeof(*req));
	if (!req)
		abort();
	req->id = ++t->last_corr;
	req->slice = slice;
	req->started_us = fp_loop_now_us(t->loop);
	m->id = req->id;
	msgpack_sbuffer_init(&req->data);
	if (fp_msg_shared_encode(m, &req->data) != FP_OK) {
		msgpack_sbuffer_destroy(&req->data);
		free(req);
		return NULL;
	}
	apr_hash_set(t->claim_requests, &req->id, sizeof(req->id), req);
	return req;
}

/* --- names --- */

static void update_text(crypto_generichash_state *st, const char *text)
{
	crypto_generichash_update(st, (const uint8_t *)text, strlen(text) + 1);
}

/* Sets the claim's name; FP_INVALID when the key is missing or too long. */
static enum fp_status name_claim(struct call *c, const char *key)
{
	crypto_generichash_state st;

	if (key && (!key[0] || strlen(key) > MAX_KEY_BYTES))
		return FP_INVALID;
	if (!key && !c->msg.nested)
		return FP_INVALID;
	crypto_generichash_init(&st, NULL, 0, FP_CLAIM_NAME_BYTES);
	update_text(&st, c->msg.org);
	update_text(&st, c->msg.route);
	if (key) {
		update_text(&st, key);
	} else {
		crypto_generichash_update(&st, c->msg.root,
					  sizeof(c->msg.root));
		update_text(&st, c->msg.uri);
		crypto_generichash_update(&st, c->msg.content.body,
					  c->msg.content.body_bytes);
	}
	crypto_generichash_final(&st, c->claim_name, FP_CLAIM_NAME_BYTES);
	return FP_OK;
}

/* Distinguishes requests with the same Idempotency-Key: a request with another
 * fingerprint is refused as a reuse of the key. */
static uint64_t request_fingerprint(const struct call *c)
{
	crypto_generichash_state st;
	uint8_t h[16];
	uint64_t v;

	crypto_generichash_init(&st, NULL, 0, sizeof(h));
	update_text(&st, c->msg.method);
	update_text(&st, c->msg.uri);
	crypto_generichash_update(&st, c->msg.content.body,
				  c->msg.content.body_bytes);
	crypto_generichash_final(&st, h, sizeof(h));
	memcpy(&v, h, sizeof(v));
	return v;
}

static const char *idempotency_key(const struct call *c)
{
	uint32_t i;

	for (i = 0; i < c->msg.content.n_headers; i++)
		if (strcasecmp(c->msg.content.headers[i].name,
			       "Idempotency-Key") == 0)
			return c->msg.content.headers[i].value;
	return NULL;
}

/* --- taking --- */

enum fp_reason claim_take(struct call *c)
{
	struct fp_msg_shared m = { .type = FP_MSG_CLAIM_TAKE };
	struct claim_request *req;

	if (name_claim(c, idempotency_key(c)) != FP_OK)
		return FP_REASON_ID_REQUIRED;
	c->claim_attempt = traffic_random();
	m.claim_take.slice = fp_slice_of_claim(c->claim_name);
	m.claim_take.fingerprint = request_fingerprint(c);
	m.claim_take.attempt = c->claim_attempt;
	memcpy(m.claim_take.name, c->claim_name, sizeof(c->claim_name));
	req = claim_request_new(c->t, &m, m.claim_take.slice);
	if (!req)
		return FP_REASON_CLAIM_FULL;
	req->call = c;
	c->claim_id = req->id;
	claim_request_send(c->t, req);
	return FP_REASON_NONE;
}

/* --- ending --- */

static void release(struct call *c)
{
	struct fp_msg_shared m = { .type = FP_MSG_CLAIM_RELEASE };
	struct claim_request *req;

	m.claim_release.slice = fp_slice_of_claim(c->claim_name);
	m.claim_release.attempt = c->claim_attempt;
	memcpy(m.claim_release.name, c->claim_name, sizeof(c->claim_name));
	req = claim_request_new(c->t, &m, m.claim_release.slice);
	if (req)
		claim_request_send(c->t, req);
}

static void finish(struct call *c, enum fp_claim_state state,
		   const struct fp_msg_reply *r)
{
	struct fp_msg_shared m = { .type = FP_MSG_CLAIM_FINISH };
	struct claim_request *req;
	msgpack_sbuffer encoded;

	msgpack_sbuffer_init(&encoded);
	m.claim_finish.slice = fp_slice_of_claim(c->claim_name);
	m.claim_finish.attempt = c->claim_attempt;
	m.claim_finish.state = state;
	memcpy(m.claim_finish.name, c->claim_name, sizeof(c->claim_name));
	if (r) {
		m.claim_finish.http_status = r->http_status;
		fp_msg_reply_encode(r, &encoded);
	}
	if (r && encoded.size <= FP_CLAIM_ANSWER_BYTES) {
		m.claim_finish.answer = (const uint8_t *)encoded.data;
		m.claim_finish.answer_bytes = (uint32_t)encoded.size;
	}
	req = claim_request_new(c->t, &m, m.claim_finish.slice);
	if (req)
		claim_request_send(c->t, req);
	msgpack_sbuffer_destroy(&encoded);
}

/* Cancels a take that was not answered. */
static void drop_take(struct call *c)
{
	struct claim_request *req = apr_hash_get(
		c->t->claim_requests, &c->claim_id, sizeof(c->claim_id));

	if (req)
		claim_request_free(c->t, req);
	c->claim_id = 0;
}

void claim_end(struct call *c, enum fp_outcome outcome,
	       const struct fp_msg_reply *r)
{
	if (c->claim_id) {
		/* The take may have succeeded already, or may still arrive. */
		drop_take(c);
		release(c);
		return;
	}
	if (!c->claim_held)
		return;
	c->claim_held = false;
	if (outcome == FP_OUTCOME_NOT_RUN)
		release(c);
	else
		finish(c,
		       outcome == FP_OUTCOME_RAN ? FP_CLAIM_DONE :
						   FP_CLAIM_UNKNOWN,
		       r);
}

/* --- responses --- */

/* Ends a call with the stored answer, or as already run if none was stored. */
static void replay(struct call *c, const struct fp_claim_response *a)
{
	struct fp_msg_memory mem;
	struct fp_msg_reply r;

	if (!a->answer || fp_msg_reply_decode(a->answer, a->answer_bytes, &r,
					      &mem) != FP_OK) {
		call_refuse(c, FP_OUTCOME_RAN, FP_REASON_ALREADY_RUN, 0);
		return;
	}
	call_answer(c, &r);
	fp_msg_memory_end(&mem);
}

/* Answers from a claim that an earlier arrival of the request ended. */
static void answer_existing(struct call *c, const struct fp_claim_response *a)
{
	if (a->state == FP_CLAIM_DONE)
		replay(c, a);
	else
		call_refuse(c, FP_OUTCOME_UNKNOWN, FP_REASON_OUTCOME_LOST, 0);
}

static void on_take_response(struct call *c, const struct fp_claim_response *a)
{
	switch (a->status) {
	case FP_OK:
		c->claim_held = true;
		call_after_claim(c);
		return;
	case FP_CONFLICT:
		answer_existing(c, a);
		return;
	case FP_INVALID:
		call_refuse(c, FP_OUTCOME_NOT_RUN, FP_REASON_ID_REUSED, 0);
		return;
	case FP_FULL:
		c->claim_undecided = false;
		call_refuse(c, FP_OUTCOME_NOT_RUN, FP_REASON_CLAIM_FULL,
			    FP_RETRY_AFTER_DEFAULT_US);
		return;
	default:
		call_refuse(c, FP_OUTCOME_UNKNOWN, FP_REASON_CLAIM_LOST, 0);
	}
}

/* Whether the request must be sent again, because the addressed node does not
 * own the slice or the two nodes did not agree in time. */
static bool undecided(const struct fp_claim_response *a)
{
	return a->status == FP_TIMEOUT ||
	       (a->status == FP_UNAVAILABLE && a->state != FP_CLAIM_UNKNOWN);
}

/*
 * Whether an earlier arrival is still running, or its end is not recorded yet.
 * The take is sent again until the end of that arrival is stored or its claim
 * is released.
 */
static bool earlier_not_ended(const struct fp_claim_response *a)
{
	return a->status == FP_AGAIN ||
	       (a->status == FP_CONFLICT && a->state == FP_CLAIM_PENDING);
}

void claim_handle_response(struct fp_traffic *t, uint64_t id,
			   const struct fp_claim_response *a)
{
	struct claim_request *req =
		apr_hash_get(t->claim_requests, &id, sizeof(id));
	struct call *c;

	if (!req || undecided(a))
		return;
	req->earlier_pending = req->call && earlier_not_ended(a);
	if (req->earlier_pending)
		return;
	c = req->call;
	claim_request_free(t, req);
	if (!c)
		return;
	c->claim_id = 0;
	on_take_response(c, a);
}

/* Time from which on the request is no longer sent. */
static int64_t claim_request_timeout_us(const struct claim_request *req)
{
	if (!req->call)
		return req->started_us + END_TIMEOUT_US;
	if (req->earlier_pending)
		return req->call->deadline_us - IN_PROGRESS_MARGIN_US;
	return req->started_us + TAKE_TIMEOUT_US;
}

/* Sends due requests again; returns a request that timed out, or NULL. */
static struct claim_request *resend_due(struct fp_traffic *t, int64_t now_us)
{
	apr_hash_index_t *hi = apr_hash_first(NULL, t->claim_requests);
	struct claim_request *req;

	for (; hi; hi = apr_hash_next(hi)) {
		req = apr_hash_this_val(hi);
		if (now_us >= claim_request_timeout_us(req))
			return req;
		if (now_us - req->sent_us > RESEND_US)
			claim_request_send(t, req);
	}
	return NULL;
}

void claim_tick(struct fp_traffic *t, int64_t now_us)
{
	struct claim_request *req;

	while ((req = resend_due(t, now_us))) {
		if (req->call)
			call_refuse(req->call,
				    req->earlier_pending ? FP_OUTCOME_UNKNOWN :
							   FP_OUTCOME_NOT_RUN,
				    req->earlier_pending ?
					    FP_REASON_IN_PROGRESS :
					    FP_REASON_NO_CLAIM,
				    FP_RETRY_AFTER_DEFAULT_US);
		else
			claim_request_free(t, req);
	}
}

void claim_init(struct fp_traffic *t)
{
	t->claim_requests = apr_hash_make(t->pool);
}

void claim_shutdown(struct fp_traffic *t)
{
	apr_hash_index_t *hi = apr_hash_first(NULL, t->claim_requests);
	struct claim_request *req;

	for (; hi; hi = apr_hash_next(hi)) {
		req = apr_hash_this_val(hi);
		msgpack_sbuffer_destroy(&req->data);
		free(req);
	}
}
