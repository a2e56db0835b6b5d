/*
 * cold_rate.c - paces the starts of requests at a worker that is cold
 *
 * A cold worker tolerates a number of requests per second from all callers
 * together, and fails as a whole above it. All its requests pass its own node,
 * so that the node alone decides, without messages.
 *
 * The window is exact. The times of the last starts are kept in a ring, one for
 * each request of the rate; a request may start if the one that started as many
 * requests ago is at least a second old. A token bucket would let up to its
 * burst pass in addition in the first second. Starts are recorded while the
 * worker is warm too, since it may turn cold at any moment and then counts the
 * second that has passed.
 *
 * A second rule spreads the starts: no more than a part of the rate in that
 * part of the second. Otherwise a whole second's requests would start together,
 * and the next ones would wait for almost a second.
 *
 * What a worker reports ends by itself: it counts as warm when the time that it
 * named is over. While nothing is known, it is assumed to be cold, but not for
 * longer than a start takes. A report that arrives soon after that began may be
 * older, so it cannot shorten the assumed time.
 */
#include "state/cold_rate.h"

#include <stdlib.h>

#define SECOND_US 1000000
/* Starts are spread over this many parts of a second. */
#define PARTS 4
/* A report may be this old when it arrives: workers announce themselves each
 * 1.5 s, and a late announcement takes a part of that. */
#define REPORT_DELAY_US 2000000

struct fp_cold_rate {
	uint32_t per_s; /* 0: no cold rate */
	int64_t start_us; /* longest time without a statement */
	int64_t cold_until_us;
	int64_t assumed_us; /* since when it is assumed cold; 0: it is not */
	uint64_t n_started; /* since the start; modulo the size: next index */
	int64_t started_us[FP_COLD_RATE_MAX]; /* times of the last starts */
};

struct fp_cold_rate *fp_cold_rate_init(void)
{
	return calloc(1, sizeof(struct fp_cold_rate));
}

void fp_cold_rate_end(struct fp_cold_rate *c)
{
	free(c);
}

void fp_cold_rate_set(struct fp_cold_rate *c, uint32_t per_s, int64_t start_us)
{
	c->per_s = per_s < FP_COLD_RATE_MAX ? per_s : FP_COLD_RATE_MAX;
	c->start_us = start_us;
}

void fp_cold_rate_reported(struct fp_cold_rate *c, int64_t left_us,
			   int64_t now_us)
{
	int64_t until_us = left_us > 0 ? now_us + left_us : 0;

	if (c->assumed_us && now_us - c->assumed_us < REPORT_DELAY_US &&
	    until_us < c->cold_until_us)
		return;
	c->assumed_us = 0;
	c->cold_until_us = until_us;
}

void fp_cold_rate_assume(struct fp_cold_rate *c, int64_t now_us)
{
	c->assumed_us = now_us;
	if (c->cold_until_us < now_us + c->start_us)
		c->cold_until_us = now_us + c->start_us;
}

int64_t fp_cold_rate_left_us(const struct fp_cold_rate *c, int64_t now_us)
{
	if (!c->per_s || c->cold_until_us <= now_us)
		return 0;
	return c->cold_until_us - now_us;
}

/* Time until the n-th last start is span_us old. */
static int64_t until_past_us(const struct fp_cold_rate *c, uint32_t n,
			     int64_t span_us, int64_t now_us)
{
	int64_t at_us;

	if (c->n_started < n)
		return 0;
	at_us = c->started_us[(c->n_started - n) % FP_COLD_RATE_MAX];
	return at_us + span_us > now_us ? at_us + span_us - now_us : 0;
}

int64_t fp_cold_rate_wait_us(const struct fp_cold_rate *c, int64_t now_us)
{
	int64_t left_us = fp_cold_rate_left_us(c, now_us);
	int64_t window_us;
	int64_t part_us;

	if (!left_us)
		return 0;
	window_us = until_past_us(c, c->per_s, SECOND_US, now_us);
	part_us = until_past_us(c, (c->per_s + PARTS - 1) / PARTS,
				SECOND_US / PARTS, now_us);
	if (window_us < part_us)
		window_us = part_us;
	return window_us < left_us ? window_us : left_us;
}

void fp_cold_rate_started(struct fp_cold_rate *c, int64_t now_us)
{
	c->started_us[c->n_started++ % FP_COLD_RATE_MAX] = now_us;
}

uint32_t fp_cold_rate_recent(const struct fp_cold_rate *c, int64_t now_us)
{
	uint32_t n = 0;

	while (n < c->per_s && until_past_us(c, n + 1, SECOND_US, now_us) > 0)
		n++;
	return n;
}
