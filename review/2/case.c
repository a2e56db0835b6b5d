/* case.c - a planned stop of a node that is alone in its zone
 *
 * Fifteen clients each send an order every 7.5 s on a connection of their own that
 * they keep open. An order takes 1.8 s at its worker. The node that takes the
 * orders gets SIGTERM. The platform looks at /ready each second, as the pages
 * say, and gates new work by it.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define N_CLIENTS   15
#define PERIOD_S    7.5
#define WORK_S	    1.8
#define DEADLINE_MS 5000
#define GRACE_S	    6.0
/* Requests that were sent later than this after SIGTERM have no excuse. */
#define EXCUSED_S  3.0
#define MAX_ORDERS 200

struct order {
	char id[RIG_TEXT];
	double sent_s;
	double ended_s;
	int status; /* 0: the connection ended without a complete answer */
	bool done;
};

static struct order orders[MAX_ORDERS];
static int n_orders;
static struct node *entry;
static volatile double term_s; /* 0: no SIGTERM yet */
static volatile bool clients_stop;
static volatile bool gets_work = true; /* by the platform's probes */

static bool run_order(struct worker *w, struct conn *c, const struct message *m,
		      const char *id)
{
	(void)w;
	(void)m;
	rig_sleep(WORK_S);
	return worker_answer(c, id, "done", 4);
}

/* GET /ready each second; two misses take the node out, unless fewer than half
 * of the zone's nodes are in. This zone has one node. */
static void *probe(void *arg)
{
	int misses = 0;

	(void)arg;
	for (;;) {
		bool ok = node_ready(entry);
		int in;

		misses = ok ? 0 : misses + 1;
		in = misses < 2 ? 1 : 0;
		gets_work = in == 1 || 2 * in < 1;
		rig_note("platform: ready=%d, misses=%d, nodes in: %d of 1, "
			 "clients go on: %d",
			 ok, misses, in, gets_work);
		rig_sleep(1);
	}
	return NULL;
}

static void *client(void *arg)
{
	static const struct request order = { .method = "POST",
					      .path = "/orders/lilies",
					      .body = "twelve",
					      .deadline_ms = DEADLINE_MS,
					      .key = "k1" };
	int me = *(int *)arg;
	double next_s = rig_now() + me * PERIOD_S / N_CLIENTS;
	struct conn *c = NULL;

	for (; !clients_stop; next_s += PERIOD_S) {
		struct message m;
		struct order *o;
		char text[RIG_TEXT];

		rig_sleep_until(next_s);
		if (clients_stop || !gets_work)
			continue;
		if (!c)
			c = conn_open(entry->ip, HTTP_PORT, 0);
		if (!c) {
			rig_note("client %d: cannot connect", me);
			continue;
		}
		o = &orders[__sync_fetch_and_add(&n_orders, 1)];
		o->sent_s = rig_now();
		client_send(c, &order, o->id);
		if (conn_read(c, &m, DEADLINE_MS / 1000.0 + 1))
			o->status = m.status;
		o->ended_s = rig_now();
		o->done = true;
		rig_note("client %d: %s ends with %d after %.3f s", me, o->id,
			 o->status, o->ended_s - o->sent_s);
		if (!m.complete ||
		    (message_header(&m, "Connection", text, sizeof(text)) &&
		     strcmp(text, "close") == 0)) {
			conn_free(c);
			c = NULL;
		}
		message_free(&m);
	}
	return NULL;
}

/* Orders that the rule counts as lost. */
static int count_lost(void)
{
	int n = 0;
	int i;

	for (i = 0; i < n_orders; i++) {
		struct order *o = &orders[i];
		double after_s = o->sent_s - term_s;
		double at;

		if (!term_s || !o->done || o->status ||
		    !worker_runs_of(o->id, &at) || after_s <= EXCUSED_S ||
		    o->ended_s > term_s + GRACE_S + 1 ||
		    o->ended_s - o->sent_s >= DEADLINE_MS / 1000.0)
			continue;
		rig_note("LOST: %s, sent %.3f s after SIGTERM, passed on to a "
			 "worker, connection closed without an answer %.3f s "
			 "after SIGTERM",
			 o->id, after_s, o->ended_s - term_s);
		n++;
	}
	return n;
}

int main(void)
{
	static int numbers[N_CLIENTS];
	struct node *all[3];
	char route[512];
	int bad = 0;
	int lost, i;

	rig_init();
	store_start();
	config_put(1,
		   route_json(route, "orders", "/orders/", "unsafe", "desk",
			      "5000ms"),
		   0, 0);
	all[0] = entry = node_start(2, "front-a-1", "board", "zone-a");
	all[1] = node_start(3, "desk-b-1", "desk", "zone-b");
	all[2] = node_start(4, "desk-b-2", "desk", "zone-b");
	worker_start(2, "board", 20, run_order);
	worker_start(3, "desk", 20, run_order);
	worker_start(4, "desk", 20, run_order);
	node_wait_ready(all, 3);
	rig_thread(probe, NULL);
	for (i = 0; i < N_CLIENTS; i++) {
		numbers[i] = i;
		rig_thread(client, &numbers[i]);
	}
	rig_sleep(2 * PERIOD_S + 0.25);
	for (i = 0; i < n_orders; i++)
		bad += orders[i].done && orders[i].status != 200;
	if (bad)
		rig_give_up("an order fails before the stop");
	if (rig_trouble()) {
		term_s = rig_now();
		node_signal(entry, SIGTERM);
		if (!node_wait(entry, GRACE_S))
			node_signal(entry, SIGKILL);
		node_wait(entry, 1);
		rig_sleep(0.3);
		node_restart(entry);
		rig_sleep(1.5);
	} else {
		rig_sleep(GRACE_S + 2);
	}
	clients_stop = true;
	rig_sleep(DEADLINE_MS / 1000.0 + 1.2);
	lost = count_lost();
	for (i = 0; i < n_orders; i++)
		bad += orders[i].done && orders[i].status != 200;
	rig_note("%d orders, %d lost, %d without a 200", n_orders, lost, bad);
	if (!rig_trouble() && bad)
		rig_give_up("an order fails without a stop");
	rig_end(lost ? RIG_BROKEN : RIG_HELD);
}
