/*
 * cold.c - what this node knows of its worker being cold
 *
 * A worker tells how long it stays cold in each announcement. Only this node
 * reaches it, so the pace of its starts (state/cold_rate.c) is kept here alone.
 * The other nodes learn from the load on each reply that a cold worker has no
 * room, and choose others.
 */
#include <inttypes.h>

#include "base/log.h"
#include "node/traffic_private.h"

/* Announcements come each 1.5 s. After one has failed to come, the worker may
 * have gone and come back cold. */
#define ANNOUNCE_GAP_US (2500 * FP_US_PER_MS)
/* Pace of a worker that says it is cold while no configuration is known here: a
 * start each 0.25 s, which any worker bears. Others may send to it already. */
#define UNKNOWN_PER_S 4

void cold_init(struct fp_traffic *t)
{
	t->cold = fp_cold_rate_init();
	if (!t->cold)
		abort();
	if (t->hosted)
		fp_cold_rate_set(t->cold, UNKNOWN_PER_S, 0);
	t->cold_starts =
		fp_counter_get(t->counters, "fulmar_cold_starts_total", "");
	t->evacuated_domains =
		fp_counter_get(t->counters, "fulmar_evacuated_domains", "");
	t->cold_left_ms =
		fp_counter_get(t->counters, "fulmar_worker_cold_ms", "");
}

void cold_update_config(struct fp_traffic *t)
{
	const struct fp_service *s =
		fp_config_find_service(t->config, t->settings->service);

	fp_cold_rate_set(t->cold, s ? s->cold_per_s : 0,
			 s ? s->cold_ms * FP_US_PER_MS : 0);
}

/* Logs that the worker became cold or warm, with why it is believed. */
static void log_change(struct fp_traffic *t, const char *why, int64_t now_us)
{
	int64_t left_us = fp_cold_rate_left_us(t->cold, now_us);

	if (t->worker_cold == (left_us > 0))
		return;
	t->worker_cold = left_us > 0;
	fp_log(FP_LOG_INFO, t->worker_cold ? "worker_cold" : "worker_warm",
	       "service=%s instance=%s why=%s left_ms=%" PRId64
	       " starts_last_s=%u announced_ms_ago=%" PRId64,
	       t->settings->service, t->worker.instance, why,
	       left_us / FP_US_PER_MS, fp_cold_rate_recent(t->cold, now_us),
	       (now_us - t->announced_us) / FP_US_PER_MS);
}

void cold_reported(struct fp_traffic *t, int64_t left_us, const char *why)
{
	int64_t now_us = fp_loop_now_us(t->loop);

	if (left_us < 0)
		fp_cold_rate_assume(t->cold, now_us);
	else
		fp_cold_rate_reported(t->cold, left_us, now_us);
	log_change(t, why, now_us);
}

void cold_assume(struct fp_traffic *t, const char *why)
{
	int64_t now_us = fp_loop_now_us(t->loop);

	fp_cold_rate_assume(t->cold, now_us);
	log_change(t, why, now_us);
}

void cold_tick(struct fp_traffic *t, int64_t now_us)
{
	bool late =
		t->worker.serving && now_us - t->announced_us > ANNOUNCE_GAP_US;

	if (late && !t->announcement_late)
		cold_assume(t, "no_announcement");
	t->announcement_late = late;
	log_change(t, "over", now_us);
	fp_counter_set(t->cold_left_ms,
		       fp_cold_rate_left_us(t->cold, now_us) / FP_US_PER_MS);
}

int64_t cold_start_wait_us(void *ctx, int64_t now_us)
{
	struct fp_traffic *t = ctx;

	return fp_cold_rate_wait_us(t->cold, now_us);
}

void cold_note_start(struct fp_traffic *t, int64_t now_us)
{
	fp_cold_rate_started(t->cold, now_us);
	if (fp_cold_rate_left_us(t->cold, now_us))
		fp_counter_add(t->cold_starts, 1);
}

void cold_limit_load(struct fp_traffic *t, struct fp_admission_load *load)
{
	int64_t now_us = fp_loop_now_us(t->loop);
	uint32_t room = load->running;

	if (!fp_cold_rate_left_us(t->cold, now_us))
		return;
	if (!fp_cold_rate_wait_us(t->cold, now_us) || !room)
		room++;
	if (load->limit > room)
		load->limit = room;
}

void cold_end(struct fp_traffic *t)
{
	fp_cold_rate_end(t->cold);
}
