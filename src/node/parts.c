/*
 * parts.c - bodies that pass between nodes in parts
 *
 * state/body_parts.c decides what is sent and taken; this file applies that to
 * links, calls and executions. The exit node draws the whole body from its
 * account of bytes before it grants the first credit (execution.c).
 */
#include <stdlib.h>

#include "node/execution_private.h"
#include "protocol/msg_body.h"
#include "state/body_parts.h"

struct parts {
	struct fp_body_out *out;
	struct fp_body_in *in;
	struct fp_counter *n_out; /* parts sent */
	struct fp_counter *n_in; /* parts taken */
	struct fp_counter *n_ended; /* parts that came after the end */
};

static enum fp_status send_message(struct fp_peer_link *link,
				   msgpack_sbuffer *buf)
{
	enum fp_status st = fp_peer_send(link, buf->data, buf->size);

	msgpack_sbuffer_destroy(buf);
	return st;
}

/* --- the entry node --- */

static bool send_part(void *ctx, void *link, uint64_t id, size_t at,
		      const uint8_t *data, size_t bytes)
{
	struct fp_msg_body_part m = {
		.corr = id, .at = at, .data = data, .bytes = bytes
	};
	struct fp_traffic *t = ctx;
	msgpack_sbuffer buf;

	if (!fp_peer_has_room(link))
		return false;
	msgpack_sbuffer_init(&buf);
	fp_msg_body_part_encode(&m, &buf);
	if (send_message(link, &buf) != FP_OK)
		return false;
	fp_counter_add(t->parts->n_out, 1);
	return true;
}

bool parts_wanted(const struct fp_msg_call *m)
{
	return m->content.body_bytes > FP_BODY_WHOLE_BYTES;
}

enum fp_status parts_send(struct fp_traffic *t, struct fp_peer_link *link,
			  const struct fp_msg_call *m)
{
	struct fp_msg_body_call b = { .body_bytes = m->content.body_bytes };
	struct fp_msg_call head = *m;
	msgpack_sbuffer call;
	msgpack_sbuffer buf;
	enum fp_status st;

	head.content.body_bytes = 0;
	msgpack_sbuffer_init(&call);
	msgpack_sbuffer_init(&buf);
	fp_msg_call_encode(&head, &call);
	b.call = (const uint8_t *)call.data;
	b.call_bytes = call.size;
	fp_msg_body_call_encode(&b, &buf);
	msgpack_sbuffer_destroy(&call);
	st = send_message(link, &buf);
	if (st == FP_OK)
		fp_body_out_add(t->parts->out, link, m->corr, m->content.body,
				m->content.body_bytes, fp_loop_now_us(t->loop));
	return st;
}

bool parts_unsent(const struct fp_traffic *t, uint64_t corr)
{
	return fp_body_out_is_unsent(t->parts->out, corr);
}

void parts_stop(struct fp_traffic *t, struct fp_peer_link *link, uint64_t corr)
{
	msgpack_sbuffer buf;

	if (!fp_body_out_drop(t->parts->out, corr))
		return;
	/* If this is lost, so is the link, or the exit node stops waiting. */
	msgpack_sbuffer_init(&buf);
	fp_msg_cancel_encode(corr, &buf);
	send_message(link, &buf);
}

void parts_link_room(struct fp_traffic *t, struct fp_peer_link *link)
{
	fp_body_out_pump(t->parts->out, link);
}

static enum fp_status handle_credit(struct fp_traffic *t,
				    struct fp_peer_link *link,
				    const uint8_t *data, size_t bytes)
{
	struct fp_msg_body_credit m;

	if (fp_msg_body_credit_decode(data, bytes, &m) != FP_OK)
		return FP_INVALID;
	fp_body_out_credit(t->parts->out, link, m.corr, m.upto,
			   fp_loop_now_us(t->loop));
	fp_body_out_pump(t->parts->out, link);
	return FP_OK;
}

/* --- the exit node --- */

static void send_credit(struct fp_peer_link *link, uint64_t corr, uint64_t upto)
{
	struct fp_msg_body_credit m = { .corr = corr, .upto = upto };
	msgpack_sbuffer buf;

	/* If the queue is full of answers, the body stalls and is refused. */
	msgpack_sbuffer_init(&buf);
	fp_msg_body_credit_encode(&m, &buf);
	send_message(link, &buf);
}

enum fp_status parts_expect(struct execution *e, size_t body_bytes)
{
	struct fp_traffic *t = e->t;
	uint64_t credit;
	enum fp_status st = fp_body_in_add(
		t->parts->in, e, e->link, e->msg.corr, e->body, body_bytes,
		e->deadline_us, fp_loop_now_us(t->loop), &credit);

	if (st != FP_OK)
		return st;
	e->msg.content.body_bytes = body_bytes;
	e->arriving = true;
	send_credit(e->link, e->msg.corr, credit);
	return FP_OK;
}

void parts_forget(struct execution *e)
{
	if (e->arriving)
		fp_body_in_drop(e->t->parts->in, e);
	e->arriving = false;
}

static enum fp_status handle_call(struct fp_traffic *t,
				  struct fp_peer_link *link,
				  const uint8_t *data, size_t bytes)
{
	struct fp_msg_body_call m;

	if (fp_msg_body_call_decode(data, bytes, &m) != FP_OK)
		return FP_INVALID;
	execution_accept_parts(t, link, m.call, m.call_bytes, m.body_bytes);
	return FP_OK;
}

static enum fp_status handle_part(struct fp_traffic *t,
				  struct fp_peer_link *link,
				  const uint8_t *data, size_t bytes)
{
	struct fp_msg_body_part m;
	struct execution *e;
	uint64_t credit;
	void *owner;

	if (fp_msg_body_part_decode(data, bytes, &m) != FP_OK)
		return FP_INVALID;
	fp_counter_add(t->parts->n_in, 1);
	switch (fp_body_in_take(t->parts->in, link, m.corr, m.at, m.data,
				m.bytes, fp_loop_now_us(t->loop), &owner,
				&credit)) {
	case FP_BODY_MORE:
		if (credit)
			send_credit(link, m.corr, credit);
		break;
	case FP_BODY_WHOLE:
		e = owner;
		e->arriving = false;
		execution_body_whole(e);
		break;
	case FP_BODY_UNKNOWN:
		fp_counter_add(t->parts->n_ended, 1);
		break;
	case FP_BODY_BAD:
		fp_counter_add(t->metrics.bad_messages, 1);
		execution_body_failed(owner, FP_REASON_MALFORMED);
		break;
	}
	return FP_OK;
}

/* --- both --- */

void parts_init(struct fp_traffic *t)
{
	struct fp_body_sink sink = { .send = send_part, .ctx = t };
	struct parts *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	p->out = fp_body_out_init(&sink);
	p->in = fp_body_in_init();
	if (!p->out || !p->in)
		abort();
	p->n_out =
		fp_counter_get(t->counters, "fulmar_body_parts_out_total", "");
	p->n_in = fp_counter_get(t->counters, "fulmar_body_parts_in_total", "");
	p->n_ended = fp_counter_get(t->counters,
				    "fulmar_body_parts_ended_total", "");
	t->parts = p;
}

enum fp_status parts_message(struct fp_traffic *t, struct fp_peer_link *link,
			     const uint8_t *data, size_t bytes)
{
	switch (fp_msg_type(data, bytes)) {
	case FP_MSG_BODY_CALL:
		return handle_call(t, link, data, bytes);
	case FP_MSG_BODY_PART:
		return handle_part(t, link, data, bytes);
	default:
		return handle_credit(t, link, data, bytes);
	}
}

void parts_tick(struct fp_traffic *t, int64_t now_us)
{
	struct execution *e;
	enum fp_reason why;
	uint64_t corr;

	while ((e = fp_body_in_overdue(t->parts->in, now_us, &why)))
		execution_body_failed(e, why);
	while (fp_body_out_stalled(t->parts->out, now_us, &corr))
		call_body_stalled(t, corr);
}

void parts_end(struct fp_traffic *t)
{
	if (!t->parts)
		return;
	fp_body_out_end(t->parts->out);
	fp_body_in_end(t->parts->in);
	free(t->parts);
	t->parts = NULL;
}
