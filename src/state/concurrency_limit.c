/*
 * concurrency_limit.c - how many requests a worker runs at a time
 *
 * Multiplicative increase and decrease: the limit grows by 1 /
 * INCREASE_DIVISOR when all of it was in use, and shrinks with the fraction of
 * requests that the backend server refused or could not finish in time. The
 * ceiling is the announced number of slots, reduced by the preset's percentage.
 * A refusal takes no time, so the fraction of refusals can be large while all
 * slots do useful work: refusals do not lower the limit below the number of
 * requests that recently ran at the same time and finished. A refusal by a
 * server that reports free slots is a fault of that server and not counted.
 * Requests that started before the last decrease carry no information about the
 * current limit and are not counted. Neither is a late request that ran about
 * as long as the smallest mean run time of the last seconds: its time was spent
 * in a queue, and a lower limit would only slow that queue down.
 * docs/DESIGN-load.md compares this with a limit based on the gradient of the
 * run time.
 */
#include "state/concurrency_limit.h"

/* Tuning. */
/* minimum time between changes of the limit */
#define WINDOW_US	     100000
#define RUN_WEIGHT	     16 /* smoothing of the run time, in samples */
#define BAD_DIVISOR	     20 /* decrease if over 1 in this many is bad */
#define DECREASE_MIN_PERCENT 10 /* smallest decrease */
#define DECREASE_MAX_PERCENT 50 /* largest decrease */
/* the minimum of the mean run time covers one to two of these periods */
#define FLOOR_PERIOD_US 5000000
/* a failure after a run time from this percent of that minimum ... */
#define FLOOR_MIN_PERCENT 50
#define FLOOR_MAX_PERCENT 150 /* ... to this is ignored */
/* a failure after less than the mean run time / this is a refusal */
#define QUICK_DIVISOR 16
/* the maximum of the finished concurrency covers one to two of these periods */
#define FINISHES_PERIOD_US 5000000
#define INCREASE_DIVISOR   8 /* increase by limit / this, at least 1 */

void fp_concurrency_limit_init(struct fp_concurrency_limit *l, uint32_t top)
{
	l->limit = top;
	l->top = top;
	l->decreased_us = INT64_MIN;
}

void fp_concurrency_limit_set_top(struct fp_concurrency_limit *l, uint32_t top)
{
	if (l->limit >= l->top || l->limit > top)
		l->limit = top;
	l->top = top;
}

static void smooth(int64_t *mean, int64_t sample, int64_t weight)
{
	*mean += (sample - *mean) / weight;
}

static void update_run_time(struct fp_concurrency_limit *l, int64_t run_us)
{
	int64_t error;

	if (run_us < 1)
		run_us = 1;
	if (l->run_us == 0) {
		l->run_us = run_us;
		l->deviation_us = run_us / 2;
		return;
	}
	error = run_us - l->run_us;
	smooth(&l->run_us, run_us, RUN_WEIGHT);
	smooth(&l->deviation_us, error < 0 ? -error : error, RUN_WEIGHT);
	if (l->run_us < 1)
		l->run_us = 1;
}

static int64_t min_run_us(const struct fp_concurrency_limit *l)
{
	if (l->previous_floor_us == 0)
		return l->floor_us;
	if (l->floor_us == 0 || l->previous_floor_us < l->floor_us)
		return l->previous_floor_us;
	return l->floor_us;
}

static void update_floor(struct fp_concurrency_limit *l, int64_t now_us)
{
	if (now_us - l->floor_start_us >= FLOOR_PERIOD_US) {
		l->previous_floor_us = l->floor_us;
		l->floor_us = 0;
		l->floor_start_us = now_us;
	}
	if (l->floor_us == 0 || l->run_us < l->floor_us)
		l->floor_us = l->run_us;
}

/* Whether a lower limit could avoid a failure after that run time. */
static bool may_be_limit_fault(const struct fp_concurrency_limit *l,
			       int64_t run_us)
{
	int64_t least = min_run_us(l);

	return run_us * 100 < least * FLOOR_MIN_PERCENT ||
	       run_us * 100 > least * FLOOR_MAX_PERCENT;
}

/* Updates the number of requests that run at the same time and finish; that of
 * the window is taken by Little's law. */
static void update_finishes(struct fp_concurrency_limit *l, int64_t now_us)
{
	int64_t length_us = now_us - l->window_us;
	uint32_t n = (uint32_t)((l->finished_us + length_us / 2) / length_us);

	if (now_us - l->finishes_start_us >= FINISHES_PERIOD_US) {
		l->previous_finishes = l->finishes;
		l->finishes = 0;
		l->finishes_start_us = now_us;
	}
	if (n > l->finishes)
		l->finishes = n;
}

static void decrease(struct fp_concurrency_limit *l, int64_t now_us)
{
	uint32_t percent = l->bad * 100 / l->ended;
	uint32_t least = 1;

	if (l->quick * 2 > l->bad)
		least = l->finishes > l->previous_finishes ?
				l->finishes :
				l->previous_finishes;
	if (least > l->limit)
		least = l->limit;
	if (percent < DECREASE_MIN_PERCENT)
		percent = DECREASE_MIN_PERCENT;
	if (percent > DECREASE_MAX_PERCENT)
		percent = DECREASE_MAX_PERCENT;
	l->limit = (uint32_t)((uint64_t)l->limit * (100 - percent) / 100);
	if (l->limit < least)
		l->limit = least;
	if (l->limit < 1)
		l->limit = 1;
	l->decreased_us = now_us;
}

static void increase(struct fp_concurrency_limit *l)
{
	uint32_t step = l->limit / INCREASE_DIVISOR;

	l->limit += step ? step : 1;
	if (l->limit > l->top)
		l->limit = l->top;
}

void fp_concurrency_limit_update(struct fp_concurrency_limit *l, int64_t now_us)
{
	int64_t length = l->run_us > WINDOW_US ? l->run_us : WINDOW_US;

	if (now_us - l->window_us < length)
		return;
	update_finishes(l, now_us);
	if (!l->fixed && l->ended) {
		if (l->bad * BAD_DIVISOR > l->ended)
			decrease(l, now_us);
		else if (l->peak_running >= l->limit)
			increase(l);
	}
	l->window_us = now_us;
	l->ended = 0;
	l->bad = 0;
	l->quick = 0;
	l->finished_us = 0;
	l->peak_running = l->running;
}

void fp_concurrency_limit_started(struct fp_concurrency_limit *l)
{
	l->running++;
	if (l->running > l->peak_running)
		l->peak_running = l->running;
}

void fp_concurrency_limit_not_run(struct fp_concurrency_limit *l)
{
	if (l->running > 0)
		l->running--;
}

void fp_concurrency_limit_ended(struct fp_concurrency_limit *l, int64_t run_us,
				bool overloaded, int64_t now_us)
{
	if (l->running > 0)
		l->running--;
	if (now_us - run_us >= l->decreased_us) {
		l->ended++;
		if (overloaded && may_be_limit_fault(l, run_us)) {
			l->bad++;
			l->quick += run_us < l->run_us / QUICK_DIVISOR;
		}
	}
	if (!overloaded)
		l->finished_us += run_us;
	/* A failure only shows that the run time is at least this long. */
	if (!overloaded || run_us > l->run_us)
		update_run_time(l, run_us);
	if (!overloaded)
		update_floor(l, now_us);
	fp_concurrency_limit_update(l, now_us);
}
