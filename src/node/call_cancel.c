/*
 * call_cancel.c - calls that end before their answer: attempts and callers
 *
 * The end of an execution lets admission decide about others, which may end any
 * call, the parent and the nested calls of this one included. So whoever cancels
 * an attempt ends its call, or sends it on, first, and uses no call afterwards.
 */
#include <string.h>

#include "node/call.h"

struct call_attempt call_attempt_of(const struct call *c)
{
	struct call_attempt a = { .link = c->link, .corr = c->corr };

	/* A non-idempotent execution is never interrupted. */
	if (c->awaits_link || c->msg.non_idempotent)
		a.corr = 0;
	return a;
}

void call_cancel_attempt(struct fp_traffic *t, const struct call_attempt *a)
{
	msgpack_sbuffer buf;

	if (!a->corr)
		return;
	if (!a->link) {
		execution_cancel(t, NULL, a->corr);
		return;
	}
	msgpack_sbuffer_init(&buf);
	fp_msg_cancel_encode(a->corr, &buf);
	fp_peer_send(a->link, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

void call_client_left(struct fp_traffic *t, struct fp_http_exchange *x)
{
	struct call *c = fp_http_exchange_get(x);
	struct call_attempt a;

	if (!c)
		return;
	c->caller_left = true;
	/* The call continues, since its outcome must be recorded in its claim;
	 * the answer is dropped. */
	if (c->msg.non_idempotent)
		return;
	if (c->corr)
		fp_balancer_call_ended(t->balancer, c->worker,
				       FP_BALANCER_CANCELLED, 0, NULL,
				       fp_loop_now_us(t->loop));
	a = call_attempt_of(c);
	call_refuse(c, FP_OUTCOME_UNKNOWN, FP_REASON_CUT, 0);
	call_cancel_attempt(t, &a);
}

/* Returns a nested call of the parent that must still be cancelled, or NULL. */
static struct call *next_of_parent(struct fp_traffic *t,
				   const uint8_t call_id[FP_CALL_ID_BYTES])
{
	struct call *c;

	for (c = t->open_calls; c; c = c->next)
		if (c->msg.nested && !c->msg.non_idempotent &&
		    !c->caller_left &&
		    memcmp(c->parent_id, call_id, FP_CALL_ID_BYTES) == 0)
			return c;
	return NULL;
}

void call_parent_ended(struct fp_traffic *t,
		       const uint8_t call_id[FP_CALL_ID_BYTES])
{
	struct call *c;

	while ((c = next_of_parent(t, call_id)))
		call_client_left(t, c->x);
}

void call_parent_changed(struct fp_traffic *t,
			 const uint8_t from[FP_CALL_ID_BYTES],
			 const uint8_t to[FP_CALL_ID_BYTES])
{
	struct call *c;

	for (c = t->open_calls; c; c = c->next)
		if (c->msg.nested &&
		    memcmp(c->parent_id, from, FP_CALL_ID_BYTES) == 0)
			memcpy(c->parent_id, to, FP_CALL_ID_BYTES);
}
