/* control_private.h - state shared by the files of the control thread */
#ifndef FP_NODE_CONTROL_PRIVATE_H
#define FP_NODE_CONTROL_PRIVATE_H

#include <apr_pools.h>
#include <apr_thread_proc.h>
#include <jansson.h>

#include "coordination/config_sync.h"
#include "coordination/member.h"
#include "coordination/rumor.h"
#include "coordination/slice_service.h"
#include "coordination/store.h"
#include "node/control.h"
#include "node/membership.h"
#include "transport/http_server.h"
#include "transport/loop.h"
#include "transport/peer.h"

/** Progress of a planned stop. */
enum stop_step {
	STOP_NOT, /* running */
	STOP_DRAIN, /* calls end, slices are handed over */
	STOP_LEAVE, /* the other members are notified of the end */
	STOP_DONE,
};

struct fp_control {
	const struct fp_settings *settings;
	uint64_t node_id;
	struct fp_counters *counters;
	struct fp_loop *loop;
	struct fp_clock *clock;
	apr_pool_t *pool;
	apr_thread_t *thread;
	struct fp_traffic *traffic;
	struct fp_store *store;
	struct fp_config_sync *sync;
	struct fp_peer_net *peers; /* control links */
	struct fp_http_server *admin;
	struct membership *membership;
	struct fp_slice_service *slices;
	struct fp_rumor rumor; /* crash reports received */
	struct fp_member_table *members; /* last published; NULL: none yet */
	struct fp_worker worker; /* last announced state */
	char control_addr[FP_MEMBER_ADDR_BYTES];
	struct fp_timer tick;
	int64_t started_us;
	/* renders the slices for /v1/status; NULL: an empty list */
	json_t *(*list_slices)(struct fp_control *c);
	struct fp_counter *bad_messages;
	struct fp_counter *isolated_gauge;
	bool isolated;
	enum stop_step stop;
	bool traffic_drained;
	/* STOP_DRAIN: last tick before traffic had drained; STOP_LEAVE: start
	 * of that step */
	int64_t stop_step_us;
	void (*stopped)(void *ctx); /* called once at the end of the stop */
	void *stopped_ctx;
};

/* --- admin.c --- */

enum fp_status admin_init(struct fp_control *c);

/* --- control_stop.c: the planned stop --- */

void control_stop_begin(struct fp_control *c);
void control_stop_tick(struct fp_control *c, int64_t now_us);

#endif
