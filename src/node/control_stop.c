/*
 * control_stop.c - the planned stop of a node
 *
 * First the worker is announced as leaving, calls in flight are completed and
 * slices are handed over to other nodes; during this step the node still
 * answers requests. Then the node notifies the other members that this process
 * has ended, so that they can take over its work without waiting for a timeout.
 * Each step has a time limit, so a stop completes even if the receiver of a
 * handover has failed.
 */
#include "base/log.h"
#include "node/control_private.h"

/* Longest time to hand over slices after traffic has drained. */
#define HANDOVER_US (3 * FP_US_PER_S)
/* Longest time to notify the other members of the end. */
#define LEAVE_US FP_US_PER_S

void control_stop_begin(struct fp_control *c)
{
	if (c->stop != STOP_NOT)
		return;
	c->stop = STOP_DRAIN;
	fp_log(FP_LOG_INFO, "stopping", "node=%s", c->settings->name);
	fp_traffic_drain(c->traffic);
	fp_slice_service_stop(c->slices);
}

static void drain_tick(struct fp_control *c, int64_t now_us)
{
	bool handed_over = fp_slice_service_stopped(c->slices);

	if (!c->traffic_drained) {
		c->stop_step_us = now_us;
		return;
	}
	if (!handed_over && now_us - c->stop_step_us < HANDOVER_US)
		return;
	fp_log(FP_LOG_INFO, "slices_handed_over", "complete=%d", handed_over);
	fp_slice_service_close(c->slices);
	membership_leave(c->membership);
	c->stop = STOP_LEAVE;
	c->stop_step_us = now_us;
}

void control_stop_tick(struct fp_control *c, int64_t now_us)
{
	if (c->stop == STOP_DRAIN) {
		drain_tick(c, now_us);
		return;
	}
	if (c->stop != STOP_LEAVE)
		return;
	if (!membership_has_left(c->membership) &&
	    now_us - c->stop_step_us < LEAVE_US)
		return;
	c->stop = STOP_DONE;
	c->stopped(c->stopped_ctx);
}
