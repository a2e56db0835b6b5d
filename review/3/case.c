/* case.c - a worker truncates some of its answers
 *
 * Two workers confirm orders with an empty body. One of them breaks off one of
 * fifty answers: it sends the first half of the head and closes the connection.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define N_ORDERS      800
#define N_CLIENTS     4
#define GARBLE_ONE_OF 50 /* x = 0.02 of the answers of one worker of two */

static struct node *entry;
static struct worker *faulty;
static int n_runs_faulty;
static int n_truncated;
static int n_ok, n_unsigned, n_failed;

static bool confirm(struct worker *w, struct conn *c, const struct message *m,
		    const char *id)
{
	char head[512];
	int n = snprintf(head, sizeof(head),
			 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
			 "Fulmarpass-Request-Id: %s\r\n"
			 "Fulmarpass-Response-Signature: sig-%s\r\n\r\n",
			 id, id);

	(void)m;
	if (rig_trouble() && w == faulty &&
	    __sync_add_and_fetch(&n_runs_faulty, 1) % GARBLE_ONE_OF == 0) {
		n /= 2;
		__sync_fetch_and_add(&n_truncated, 1);
		rig_note("worker %s truncates its answer to %s: %d bytes",
			 w->id, id, n);
		conn_write(c, head, (size_t)n);
		return false;
	}
	return conn_write(c, head, (size_t)n);
}

static void judge(const struct message *m, const char *id)
{
	char signature[RIG_TEXT], expected[RIG_TEXT + 4];

	snprintf(expected, sizeof(expected), "sig-%s", id);
	message_header(m, "Fulmarpass-Response-Signature", signature,
		       sizeof(signature));
	if (!m->complete || m->status < 200 || m->status > 299) {
		__sync_fetch_and_add(&n_failed, 1);
		rig_note("client: %s ends with %d", id, m->status);
	} else if (strcmp(signature, expected) != 0) {
		__sync_fetch_and_add(&n_unsigned, 1);
		rig_note("MIXED: %s is answered %d, complete, %zu bytes, "
			 "without the worker's signature",
			 id, m->status, m->body_bytes);
	} else {
		__sync_fetch_and_add(&n_ok, 1);
		rig_note("client: %s is answered %d with its signature", id,
			 m->status);
	}
}

static int n_ended;

static void *client(void *arg)
{
	static const struct request order = { .method = "PUT",
					      .path = "/orders/lilies",
					      .body = "twelve",
					      .deadline_ms = 5000,
					      .key = "k1" };
	struct conn *c = NULL;
	int i;

	(void)arg;
	for (i = 0; i < N_ORDERS / N_CLIENTS; i++) {
		struct message m;
		char id[RIG_TEXT];

		if (!c)
			c = conn_open(entry->ip, HTTP_PORT, 0);
		if (!c)
			rig_give_up("a client cannot connect");
		client_send(c, &order, id);
		if (!conn_read(c, &m, 6)) {
			conn_free(c);
			c = NULL;
		}
		judge(&m, id);
		message_free(&m);
		rig_sleep(0.01);
	}
	conn_free(c);
	__sync_fetch_and_add(&n_ended, 1);
	return NULL;
}

int main(void)
{
	struct node *all[3];
	char route[512];
	int i;

	rig_init();
	store_start();
	config_put(1,
		   route_json(route, "orders", "/orders/", "unsafe", "desk",
			      "5000ms"),
		   0, 0);
	all[0] = entry = node_start(2, "front-1", "board", "zone-a");
	all[1] = node_start(3, "desk-1", "desk", "zone-a");
	all[2] = node_start(4, "desk-2", "desk", "zone-a");
	worker_start(2, "board", 20, confirm);
	faulty = worker_start(3, "desk", 20, confirm);
	worker_start(4, "desk", 20, confirm);
	node_wait_ready(all, 3);
	for (i = 0; i < N_CLIENTS; i++)
		rig_thread(client, NULL);
	while (n_ended < N_CLIENTS)
		rig_sleep(0.1);
	rig_note("%d answered with a signature, %d truncated by the worker, "
		 "%d successes without a signature, %d failed",
		 n_ok, n_truncated, n_unsigned, n_failed);
	if (rig_trouble() ? !n_truncated : n_failed > 0)
		rig_give_up("the load did not go as planned");
	rig_end(n_unsigned ? RIG_BROKEN : RIG_HELD);
}
