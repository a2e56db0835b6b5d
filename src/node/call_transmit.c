/*
 * call_transmit.c - sends the attempt of a call to its exit node
 *
 * A link queues frames until it is established, which can take as long as a
 * call may last. A call is not put there: it could not be taken back, and its
 * time left would be that of an earlier moment. call_link_up() sends it. Large
 * bodies go in parts (parts.c).
 */
#include <msgpack.h>

#include "node/call.h"

static void update_time_left(struct call *c)
{
	c->msg.left_us = c->deadline_us - fp_loop_now_us(c->t->loop);
}

/* Encodes the call, with the time that it has left now. */
static void encode(struct call *c, msgpack_sbuffer *buf)
{
	update_time_left(c);
	msgpack_sbuffer_init(buf);
	fp_msg_call_encode(&c->msg, buf);
}

enum fp_status call_transmit_on_link(struct call *c)
{
	msgpack_sbuffer buf;
	enum fp_status st;

	if (parts_wanted(&c->msg)) {
		update_time_left(c);
		return parts_send(c->t, c->link, &c->msg);
	}
	encode(c, &buf);
	st = fp_peer_send(c->link, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
	return st;
}

enum fp_status call_transmit(struct call *c, const struct fp_member *m)
{
	struct fp_traffic *t = c->t;
	msgpack_sbuffer buf;
	size_t bytes;

	if (m->id == t->node_id) {
		c->link = NULL;
		encode(c, &buf);
		bytes = buf.size;
		execution_accept_own(
			t, (uint8_t *)msgpack_sbuffer_release(&buf), bytes);
		return FP_OK;
	}
	c->link = fp_peer_link_to(t->peers, m->peer_addr);
	if (!c->link)
		return FP_UNAVAILABLE;
	c->awaits_link = !fp_peer_is_up(c->link);
	return c->awaits_link ? FP_OK : call_transmit_on_link(c);
}
