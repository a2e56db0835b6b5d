/* case.c - a configuration adds a route, and requests beside it change service
 *
 * Look-ups of "/rota", without a slash at the end, are served by the route "/"
 * of the service home. A new version adds the route "/rota/" of the service
 * board. That prefix does not begin the path "/rota".
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define N_REQUESTS     200
#define CONFIG_APPLY_S 2.0

static struct worker *home, *board;
static int n_wrong; /* runs of "/rota" by the service board */

static bool run(struct worker *w, struct conn *c, const struct message *m,
		const char *id)
{
	if (w == board && strncmp(m->head, "GET /rota ", 10) == 0) {
		__sync_fetch_and_add(&n_wrong, 1);
		rig_note("ROUTE: %s for /rota is run by a worker of %s", id,
			 w->service);
	}
	return worker_answer(c, id, w->service, strlen(w->service));
}

int main(void)
{
	const struct request look_up = { .method = "GET",
					 .path = "/rota",
					 .deadline_ms = 5000,
					 .key = "k1" };
	char routes[1100], a[512], b[512];
	struct node *all[3];
	struct conn *c;
	int n_ok = 0;
	int i;

	rig_init();
	store_start();
	route_json(a, "home", "/", "safe", "home", "5s");
	route_json(b, "rota", "/rota/", "safe", "board", "5s");
	config_put(1, a, 0, 0);
	all[0] = node_start(2, "front-1", "desk", "zone-a");
	all[1] = node_start(3, "home-1", "home", "zone-a");
	all[2] = node_start(4, "board-1", "board", "zone-a");
	worker_start(2, "desk", 20, run);
	home = worker_start(3, "home", 20, run);
	board = worker_start(4, "board", 20, run);
	node_wait_ready(all, 3);
	snprintf(routes, sizeof(routes), "%s,%s", a, b);
	if (rig_trouble())
		config_put(2, routes, 0, 0);
	rig_sleep(CONFIG_APPLY_S + 1);
	c = conn_open(all[0]->ip, HTTP_PORT, 0);
	if (!c)
		rig_give_up("the client cannot connect");
	for (i = 0; i < N_REQUESTS; i++) {
		struct message m;
		char id[RIG_TEXT];

		client_send(c, &look_up, id);
		if (!conn_read(c, &m, 6))
			rig_give_up("no answer");
		rig_note("client: %s for /rota ends with %d: %.20s", id,
			 m.status, m.status == 200 ? m.body : "");
		n_ok += m.status == 200;
		message_free(&m);
		rig_sleep(0.01);
	}
	conn_free(c);
	rig_note("%d requests for /rota, %d answered 200, %d run by home, %d "
		 "by board",
		 N_REQUESTS, n_ok, home->runs, board->runs);
	if (n_ok < N_REQUESTS / 2)
		rig_give_up("the load did not go as planned");
	rig_end(n_wrong ? RIG_BROKEN : RIG_HELD);
}
