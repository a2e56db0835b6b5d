/*
 * call_link.c - calls whose link to another node comes up or goes down
 *
 * Each step may end any call, so the walks start again after it.
 */
#include <string.h>

#include "node/call.h"

/* Returns a call that waits for a link to the node at the other end of this
 * one, or NULL. That node may have opened the link. */
static struct call *next_awaiting(struct fp_traffic *t,
				  const struct fp_peer_link *link)
{
	const char *addr = fp_peer_identity(link)->addr;
	const struct fp_member *m;
	struct call *c;

	for (c = t->open_calls; c; c = c->next) {
		if (!c->awaits_link)
			continue;
		m = traffic_member(t, c->worker);
		if (c->link == link || (m && strcmp(m->peer_addr, addr) == 0))
			return c;
	}
	return NULL;
}

void call_link_up(struct fp_traffic *t, struct fp_peer_link *link)
{
	struct call *c;

	while ((c = next_awaiting(t, link))) {
		if (c->deadline_us <= fp_loop_now_us(t->loop)) {
			call_on_deadline(c);
			continue;
		}
		c->awaits_link = false;
		c->link = link;
		call_check_sent(c, call_transmit_on_link(c));
	}
}

/* Returns a call that has an attempt in flight on the link, or NULL. */
static struct call *next_on_link(struct fp_traffic *t,
				 const struct fp_peer_link *link)
{
	struct call *c;

	for (c = t->open_calls; c; c = c->next)
		if (c->corr && c->link == link)
			return c;
	return NULL;
}

void call_link_down(struct fp_traffic *t, struct fp_peer_link *link,
		    bool was_up)
{
	int64_t now_us = fp_loop_now_us(t->loop);
	struct call *c;

	while ((c = next_on_link(t, link))) {
		fp_balancer_call_ended(t->balancer, c->worker,
				       FP_BALANCER_FAILED, now_us - c->sent_us,
				       NULL, now_us);
		call_attempt_lost(c, was_up);
	}
}
