/* case.c - a write that the store carries out late, and a killed node
 *
 * Three nodes start. The store does not answer the first write of one node's
 * record and carries it out 5 s later. The node writes the record again, is
 * killed and starts again meanwhile. Then one tenant sends many times its
 * quota, by all nodes.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define RATE	   100
#define BURST	   100
#define WINDOW_S   5.0 /* quotaWindow */
#define OVERAGE	   0.1 /* quotaOverage */
#define SLACK	   20 /* quotaSlack */
#define LATE_S	   5.0 /* the pages allow 1 to 6 s */
#define LOST_FOR_S 4.5 /* longest platform_lost of the site file */
#define KILL_S	   1.5 /* from the start of the nodes to the kill */
#define PRESS_S	   12.0
#define THINK_S	   0.03 /* with it, less than 400 requests a second in all */
#define PER_NODE   4 /* clients */
#define VICTIM	   1

static struct node *all[3];
static volatile bool pressing = true;

static bool run(struct worker *w, struct conn *c, const struct message *m,
		const char *id)
{
	(void)w;
	(void)m;
	return worker_answer(c, id, "rota", 4);
}

static void *client(void *arg)
{
	static const struct request look_up = { .method = "GET",
						.path = "/rota/week",
						.deadline_ms = 5000,
						.key = "k1" };
	struct node *n = arg;
	struct conn *c = NULL;

	while (pressing) {
		struct message m;
		char id[RIG_TEXT];

		if (!c)
			c = conn_open(n->ip, HTTP_PORT, 0);
		if (!c) {
			rig_sleep(0.05);
			continue;
		}
		client_send(c, &look_up, id);
		if (!conn_read(c, &m, 6)) {
			conn_free(c);
			c = NULL;
		}
		rig_note("client of %s: %s ends with %d", n->name, id,
			 m.status);
		message_free(&m);
		rig_sleep(THINK_S);
	}
	conn_free(c);
	return NULL;
}

/* Most runs in any window of WINDOW_S. */
static int most_in_window(void)
{
	size_t n, i, from = 0;
	double *at = worker_run_times(&n);
	int most = 0;

	for (i = 0; i < n; i++) {
		while (at[i] - at[from] >= WINDOW_S)
			from++;
		if ((int)(i - from + 1) > most)
			most = (int)(i - from + 1);
	}
	free(at);
	return most;
}

int main(void)
{
	static const char *const names[] = { "n0", "n1", "n2" };
	double limit = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK;
	struct worker *workers[3];
	char route[512];
	int most, i, j;

	rig_init();
	store_start();
	config_put(
		1,
		route_json(route, "rota", "/rota/", "safe", "board", "5000ms"),
		RATE, BURST);
	if (rig_trouble())
		store_lose_late("fulmar/nodes/n1", LATE_S, LOST_FOR_S);
	for (i = 0; i < 3; i++)
		all[i] = node_start(2 + i, names[i], "board", "zone-a");
	for (i = 0; i < 3; i++)
		workers[i] = worker_start(2 + i, "board", 20, run);
	rig_sleep(KILL_S);
	if (rig_trouble()) {
		node_signal(all[VICTIM], SIGKILL);
		node_wait(all[VICTIM], 1);
		rig_sleep(0.3);
		node_restart(all[VICTIM]);
	}
	node_wait_ready(all, 3);
	/* Longer than a lease and all times at which members are removed. */
	rig_sleep(14);
	if (rig_trouble() && !store_late_done())
		rig_give_up("no write was late");
	for (i = 0; i < 3; i++)
		rig_note("record of %s in the store: %s", names[i],
			 store_has(i == 0 ? "fulmar/nodes/n0" :
				   i == 1 ? "fulmar/nodes/n1" :
					    "fulmar/nodes/n2") ?
				 "yes" :
				 "no");
	rig_note("one tenant presses");
	for (i = 0; i < 3; i++)
		for (j = 0; j < PER_NODE; j++)
			rig_thread(client, all[i]);
	rig_sleep(PRESS_S);
	pressing = false;
	rig_sleep(0.5);
	for (i = 0; i < 3; i++)
		rig_note("worker beside %s ran %d requests", names[i],
			 workers[i]->runs);
	most = most_in_window();
	rig_note("QUOTA: at most %d requests ran in %.0f s; allowed are %.0f",
		 most, WINDOW_S, limit);
	if (most < RATE * WINDOW_S / 2)
		rig_give_up("the load did not go as planned");
	rig_end(most > limit ? RIG_BROKEN : RIG_HELD);
}
