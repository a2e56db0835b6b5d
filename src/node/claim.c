/*
 * claim.c - claims of non-idempotent requests, as the entry takes them
 *
 * A request on a route that is not idempotent is dispatched only after the
 * two nodes of its claim's slice have recorded it. The claim ends with the
 * call: released if the request surely did not run, else finished with the
 * answer or as unknown. Finishing and releasing do not hold up the answer;
 * they are sent again until they are confirmed or grow too old. A claim whose
 * end is lost stays pending, and later arrivals are told that its outcome is
 * not known, which is true.
 *
 * The name of a claim is a hash over organisation, route and Idempotency-Key.
 * A nested call without a key of its own is named by the root and by what it
 * asks for, so that a root which is sent again by a node repeats nothing.
 */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "node/call.h"
#include "protocol/msg_shared.h"
#include "state/slice_map.h"

#define RESEND_US  (150 * FP_US_PER_MS)
#define TAKE_US	   (1500 * FP_US_PER_MS)
#define CONFIRM_US (30 * FP_US_PER_S)
/* Before its deadline a second arrival is told that the first one runs. */
#define LAST_WORD_US  (100 * FP_US_PER_MS)
#define MAX_COURIERS  4096u
#define MAX_KEY_BYTES 128

/** One message that is sent again until it is answered. */
struct courier {
	uint64_t id;
	uint32_t slice;
	struct call *call; /* of a take; NULL: the call is over */
	bool standing; /* of a take: an earlier arrival is not done */
	msgpack_sbuffer data;
	int64_t began_us;
	int64_t sent_us;
};

static void courier_send(struct fp_traffic *t, struct courier *k)
{
	k->sent_us = fp_loop_now_us(t->loop);
	t->hooks.to_slice(t->hooks.ctx, k->slice, k->data.data, k->data.size);
}

static void courier_free(struct fp_traffic *t, struct courier *k)
{
	apr_hash_set(t->couriers, &k->id, sizeof(k->id), NULL);
	msgpack_sbuffer_destroy(&k->data);
	free(k);
}

static struct courier *courier_new(struct fp_traffic *t,
				   struct fp_msg_shared *m, uint32_t slice)
{
	struct courier *k;

	if (apr_hash_count(t->couriers) >= MAX_COURIERS)
		return NULL;
	k = calloc(1, sizeof(*k));
	if (!k)
		abort();
	k->id = ++t->next_corr;
	k->slice = slice;
	k->began_us = fp_loop_now_us(t->loop);
	m->id = k->id;
	msgpack_sbuffer_init(&k->data);
	if (fp_msg_shared_encode(m, &k->data) != FP_OK) {
		msgpack_sbuffer_destroy(&k->data);
		free(k);
		return NULL;
	}
	apr_hash_set(t->couriers, &k->id, sizeof(k->id), k);
	return k;
}

/* --- names --- */

static void update_text(crypto_generichash_state *st, const char *text)
{
	crypto_generichash_update(st, (const uint8_t *)text, strlen(text) + 1);
}

/** Names the claim; FP_INVALID when the key is missing or too long. */
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

static uint64_t request_print(const struct call *c)
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
	struct courier *k;

	if (name_claim(c, idempotency_key(c)) != FP_OK)
		return FP_REASON_ID_REQUIRED;
	c->claim_attempt = traffic_draw();
	m.claim_take.slice = fp_slice_of_claim(c->claim_name);
	m.claim_take.fingerprint = request_print(c);
	m.claim_take.attempt = c->claim_attempt;
	memcpy(m.claim_take.name, c->claim_name, sizeof(c->claim_name));
	k = courier_new(c->t, &m, m.claim_take.slice);
	if (!k)
		return FP_REASON_CLAIM_FULL;
	k->call = c;
	c->claim_id = k->id;
	courier_send(c->t, k);
	return FP_REASON_NONE;
}

/* --- ending --- */

static void release(struct call *c)
{
	struct fp_msg_shared m = { .type = FP_MSG_CLAIM_RELEASE };
	struct courier *k;

	m.claim_release.slice = fp_slice_of_claim(c->claim_name);
	m.claim_release.attempt = c->claim_attempt;
	memcpy(m.claim_release.name, c->claim_name, sizeof(c->claim_name));
	k = courier_new(c->t, &m, m.claim_release.slice);
	if (k)
		courier_send(c->t, k);
}

static void finish(struct call *c, enum fp_claim_state state,
		   const struct fp_msg_reply *r)
{
	struct fp_msg_shared m = { .type = FP_MSG_CLAIM_FINISH };
	struct courier *k;
	msgpack_sbuffer kept;

	msgpack_sbuffer_init(&kept);
	m.claim_finish.slice = fp_slice_of_claim(c->claim_name);
	m.claim_finish.attempt = c->claim_attempt;
	m.claim_finish.state = state;
	memcpy(m.claim_finish.name, c->claim_name, sizeof(c->claim_name));
	if (r) {
		m.claim_finish.http_status = r->http_status;
		fp_msg_reply_encode(r, &kept);
	}
	if (r && kept.size <= FP_CLAIM_ANSWER_BYTES) {
		m.claim_finish.answer = (const uint8_t *)kept.data;
		m.claim_finish.answer_bytes = (uint32_t)kept.size;
	}
	k = courier_new(c->t, &m, m.claim_finish.slice);
	if (k)
		courier_send(c->t, k);
	msgpack_sbuffer_destroy(&kept);
}

/* Lets go of a take that has not been answered. */
static void drop_take(struct call *c)
{
	struct courier *k =
		apr_hash_get(c->t->couriers, &c->claim_id, sizeof(c->claim_id));

	if (k)
		courier_free(c->t, k);
	c->claim_id = 0;
}

void claim_end(struct call *c, enum fp_outcome outcome,
	       const struct fp_msg_reply *r)
{
	if (c->claim_id) {
		/* It may be taken by now, or be taken yet. */
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

/* --- answers --- */

static void replay(struct call *c, const struct fp_claim_answer *a)
{
	struct fp_msg_memory mem;
	struct fp_msg_reply r;

	if (!a->answer || fp_msg_reply_decode(a->answer, a->answer_bytes, &r,
					      &mem) != FP_OK) {
		call_refuse(c, FP_OUTCOME_RAN, FP_REASON_ALREADY_RUN, 0);
		return;
	}
	call_replay(c, &r);
	fp_msg_memory_end(&mem);
}

static void stands(struct call *c, const struct fp_claim_answer *a)
{
	if (a->state == FP_CLAIM_DONE)
		replay(c, a);
	else
		call_refuse(c, FP_OUTCOME_UNKNOWN, FP_REASON_OUTCOME_LOST, 0);
}

static void on_take_answer(struct call *c, const struct fp_claim_answer *a)
{
	switch (a->status) {
	case FP_OK:
		c->claim_held = true;
		call_have_claim(c);
		return;
	case FP_CONFLICT:
		stands(c, a);
		return;
	case FP_INVALID:
		call_refuse(c, FP_OUTCOME_NOT_RUN, FP_REASON_ID_REUSED, 0);
		return;
	case FP_FULL:
		c->claim_open = false;
		call_refuse(c, FP_OUTCOME_NOT_RUN, FP_REASON_CLAIM_FULL,
			    FP_RETRY_AFTER_US);
		return;
	default:
		call_refuse(c, FP_OUTCOME_UNKNOWN, FP_REASON_CLAIM_LOST, 0);
	}
}

/* No owner here, or the two nodes did not agree in time: ask again. */
static bool not_decided(const struct fp_claim_answer *a)
{
	return a->status == FP_TIMEOUT ||
	       (a->status == FP_UNAVAILABLE && a->state != FP_CLAIM_UNKNOWN);
}

/*
 * The first arrival is still running, or its end is not recorded yet. The take
 * is sent again until the first one's answer is there, or the claim is free.
 */
static bool earlier_not_done(const struct fp_claim_answer *a)
{
	return a->status == FP_AGAIN ||
	       (a->status == FP_CONFLICT && a->state == FP_CLAIM_PENDING);
}

void claim_answer(struct fp_traffic *t, uint64_t id,
		  const struct fp_claim_answer *a)
{
	struct courier *k = apr_hash_get(t->couriers, &id, sizeof(id));
	struct call *c;

	if (!k || not_decided(a))
		return;
	k->standing = k->call && earlier_not_done(a);
	if (k->standing)
		return;
	c = k->call;
	courier_free(t, k);
	if (!c)
		return;
	c->claim_id = 0;
	on_take_answer(c, a);
}

/* When it is given up. */
static int64_t courier_end_us(const struct courier *k)
{
	if (!k->call)
		return k->began_us + CONFIRM_US;
	if (k->standing)
		return k->call->deadline_us - LAST_WORD_US;
	return k->began_us + TAKE_US;
}

/* Returns one that has grown too old, or NULL; sends others again. */
static struct courier *resend_due(struct fp_traffic *t, int64_t now_us)
{
	apr_hash_index_t *hi = apr_hash_first(NULL, t->couriers);
	struct courier *k;

	for (; hi; hi = apr_hash_next(hi)) {
		k = apr_hash_this_val(hi);
		if (now_us >= courier_end_us(k))
			return k;
		if (now_us - k->sent_us > RESEND_US)
			courier_send(t, k);
	}
	return NULL;
}

void claim_tick(struct fp_traffic *t, int64_t now_us)
{
	struct courier *k;

	while ((k = resend_due(t, now_us))) {
		if (k->call)
			call_refuse(k->call,
				    k->standing ? FP_OUTCOME_UNKNOWN :
						  FP_OUTCOME_NOT_RUN,
				    k->standing ? FP_REASON_IN_PROGRESS :
						  FP_REASON_NO_CLAIM,
				    FP_RETRY_AFTER_US);
		else
			courier_free(t, k);
	}
}

void claim_init(struct fp_traffic *t)
{
	t->couriers = apr_hash_make(t->pool);
}

void claim_shutdown(struct fp_traffic *t)
{
	apr_hash_index_t *hi = apr_hash_first(NULL, t->couriers);
	struct courier *k;

	for (; hi; hi = apr_hash_next(hi)) {
		k = apr_hash_this_val(hi);
		msgpack_sbuffer_destroy(&k->data);
		free(k);
	}
}
