/*
 * worker_model.c - how fast a worker runs, and how much at a time it takes
 *
 * The node beside a worker sees all of its requests, when they start and end,
 * and the nested calls that they make. The time of a run outside of its nested
 * calls is the worker's own; slow callees do not change it.
 *
 * Speed. The logarithm of the own time is modelled as a sum: what the route
 * costs, the level of the worker at present, and the effect of the number that
 * ran at the same time, by its share of the slots in CELLS steps. Each run
 * moves all three towards what was seen, the level fastest and the route
 * slowest: a change of speed shows in the level within RUNS_LEVEL runs, whatever
 * the mix of routes is. Logarithms, since run times vary by factors, and a few
 * very long ones must not decide.
 *
 * Limit. A worker that runs k requests, each slower by the effect of k, ends k
 * / exp(effect) in the same time. Where a smaller number ends clearly more, that
 * number becomes the limit; "clearly" counts the deviation of the samples.
 * Only numbers that were seen count, so a full worker is run with a lower limit
 * for a moment now and then until these were seen too. A worker below its
 * announced slots is probed upward by one step, at intervals that double while
 * the limit is confirmed. The caller says when a probe may begin: not while
 * requests of the most important class are refused.
 *
 * Momentary slowness. What a worker says of its machine is believed for
 * REPORT_VALID_US and averaged over the run. Two models learn side by side, one
 * from times divided by that average, one from plain times, and the report is
 * used only while it explains a part of the deviation: reports that are
 * constant, random or false change nothing.
 */
#include "state/worker_model.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define ROUTES 64 /* routes of one worker; a table without chains */
#define CELLS  20 /* steps of the number running, 5 % of the slots each */

/* Tuning: times from what callers notice, counts from the spread of run times
 * (a factor of two): the mean of n of them is known to a factor 1 + 1/sqrt(n).
 */
#define RUNS_LEVEL	 32 /* runs over which the level is averaged */
#define RUNS_ROUTE	 256 /* the same for the cost of a route */
#define RUNS_CELL	 512 /* the same for the effect of a number running */
#define RUNS_DEVIATION	 256 /* the same for the squared error */
#define RUNS_MIN	 64 /* runs before an effect counts */
#define CELL_FADE_US	 30000000 /* a cell without runs counts half after this */
#define GAIN_MIN	 0.05 /* least gain that lowers the limit: 5 % */
#define DEVIATIONS	 2.0 /* and this many standard deviations */
#define CONCURRENCY_MIN	 0.5 /* least limit, of the slots */
#define DECIDE_US	 250000 /* interval of decisions */
#define PROBE_MIN_US	 100000 /* least duration of a probe */
#define PROBE_LONG_US	 800000 /* longest one; without enough runs */
#define RUNS_BEFORE	 2 /* weight of the former effect in an upward probe */
#define RUNS_PROBE	 96 /* runs that end a probe */
#define PROBE_EVERY_US	 3000000 /* first interval of probes; doubles ... */
#define PROBE_MAX_US	 12000000 /* ... up to this */
#define DIP_SMALL	 2 /* cells by which downward probes go down, in turn */
#define DIP_LARGE	 6
#define REPORT_VALID_US	 300000 /* belief in what the worker says */
#define REPORT_SMOOTH_US 100000 /* smoothing of the momentary value */
#define PERCENT_MIN	 25
#define PERCENT_MAX	 1000
/* the report is used if the squared error falls below this times the other */
#define REPORT_EXPLAINS 0.95
/* a shorter run says nothing: the clock of the loop stands during a round */
#define OWN_MIN_US 200

struct route_cost {
	uint64_t hash;
	double cost[2]; /* logarithm; plain, corrected by the report */
	double inner_us;
	uint32_t n; /* runs, up to RUNS_ROUTE; 0: unknown */
};

struct cell {
	double effect[2];
	double n; /* runs, fading */
	int64_t at_us; /* of the last run */
};

/* One of the two models. */
struct fit {
	double level;
	double deviation; /* smoothed squared error */
};

enum { PLAIN, CORRECTED };

struct fp_worker_model {
	struct route_cost routes[ROUTES];
	struct cell cells[CELLS];
	struct fit fits[2];
	uint32_t n; /* runs learned from, up to RUNS_DEVIATION */
	uint32_t slots;
	uint32_t running;
	int64_t now_us; /* of the integrals */
	int64_t running_us; /* integral of running */
	int64_t percent_us; /* integral of the reported percent, 100: none */
	int64_t reset_us; /* runs that started earlier are ignored */
	int64_t learned_us;
	uint32_t percent; /* last report; 0: none */
	int64_t report_us;
	double percent_mean; /* smoothed */
	double run_mean_us; /* smoothed time of runs, nested calls included */
	uint32_t limit_cells; /* cells in use; CELLS: all */
	int64_t decided_us;
	int64_t full_us; /* full since this time; 0: not full */
	int64_t probe_us; /* start of the probe; 0: none */
	int64_t next_probe_us;
	int64_t interval_us;
	uint32_t probe_cells; /* limit during the probe */
	uint32_t dip; /* depth of the next downward probe */
	uint32_t probe_runs; /* runs at the probed number */
};

struct fp_worker_model *fp_worker_model_init(void)
{
	struct fp_worker_model *m = calloc(1, sizeof(*m));

	if (m)
		fp_worker_model_reset(m, 0);
	return m;
}

void fp_worker_model_reset(struct fp_worker_model *m, int64_t now_us)
{
	uint32_t running = m->running;

	memset(m, 0, sizeof(*m));
	m->running = running;
	m->now_us = now_us;
	m->reset_us = now_us;
	m->limit_cells = CELLS;
	m->percent_mean = 100;
	m->interval_us = PROBE_EVERY_US;
	m->dip = DIP_SMALL;
}

void fp_worker_model_end(struct fp_worker_model *m)
{
	free(m);
}

/* ---- integrals ---- */

static void advance(struct fp_worker_model *m, int64_t now_us)
{
	int64_t passed_us = now_us - m->now_us;
	int64_t valid_us = m->report_us + REPORT_VALID_US - m->now_us;

	if (passed_us <= 0)
		return;
	if (!m->percent || valid_us < 0)
		valid_us = 0;
	if (valid_us > passed_us)
		valid_us = passed_us;
	m->running_us += passed_us * m->running;
	m->percent_us += valid_us * m->percent + (passed_us - valid_us) * 100;
	m->now_us = now_us;
}

void fp_worker_model_started(struct fp_worker_model *m,
			     struct fp_worker_run *run, int64_t now_us)
{
	advance(m, now_us);
	m->running++;
	run->started_us = now_us;
	run->running_us = m->running_us;
	run->percent_us = m->percent_us;
}

void fp_worker_model_report(struct fp_worker_model *m, uint32_t percent,
			    int64_t now_us)
{
	int64_t passed_us = now_us - m->report_us;
	double weight = passed_us < REPORT_SMOOTH_US ?
				(double)passed_us / REPORT_SMOOTH_US :
				1;

	if (!percent)
		return;
	if (percent < PERCENT_MIN)
		percent = PERCENT_MIN;
	if (percent > PERCENT_MAX)
		percent = PERCENT_MAX;
	advance(m, now_us);
	m->percent_mean += (percent - m->percent_mean) * weight;
	m->percent = percent;
	m->report_us = now_us;
}

/* ---- learning ---- */

static struct route_cost *find_cost(struct fp_worker_model *m,
				    const char *route)
{
	uint64_t hash = XXH64(route, strlen(route), 0);
	struct route_cost *r = &m->routes[hash % ROUTES];

	if (r->hash != hash) {
		memset(r, 0, sizeof(*r));
		r->hash = hash;
	}
	return r;
}

static double faded(const struct cell *c, int64_t now_us)
{
	return c->n * exp2(-(double)(now_us - c->at_us) / CELL_FADE_US);
}

static struct cell *find_cell(struct fp_worker_model *m, double running)
{
	double at = running * CELLS / (m->slots ? m->slots : 1);
	int i = (int)ceil(at) - 1;

	if (i < 0)
		i = 0;
	if (i >= CELLS)
		i = CELLS - 1;
	return &m->cells[i];
}

/* While a probe changes the number running on purpose, only its effect is
 * learned: the level before the probe is what it is compared with. */
static void learn_fit(struct fp_worker_model *m, int which,
		      struct route_cost *r, struct cell *c, double seen)
{
	struct fit *f = &m->fits[which];
	double runs_cell = c->n + 1;
	double error;

	if (r->n == 0)
		r->cost[which] = seen - f->level - c->effect[which];
	error = seen - f->level - c->effect[which] - r->cost[which];
	if (!m->probe_us) {
		f->level += error / RUNS_LEVEL;
		r->cost[which] += error / (r->n + 1);
		if (runs_cell < RUNS_LEVEL)
			runs_cell = RUNS_LEVEL;
	}
	c->effect[which] += error / runs_cell;
	f->deviation += (error * error - f->deviation) / (m->n + 1);
}

static void learn(struct fp_worker_model *m, const struct fp_worker_run *run,
		  const char *route, int64_t inner_us, int64_t now_us)
{
	int64_t run_us = now_us - run->started_us;
	double running = (double)(m->running_us - run->running_us) / run_us;
	double percent = (double)(m->percent_us - run->percent_us) / run_us;
	double seen = log((double)(run_us - inner_us));
	struct route_cost *r = find_cost(m, route);
	struct cell *c = find_cell(m, running);

	c->n = faded(c, now_us);
	c->at_us = now_us;
	learn_fit(m, PLAIN, r, c, seen);
	learn_fit(m, CORRECTED, r, c, seen - log(percent / 100));
	if (c->n < RUNS_CELL)
		c->n++;
	if (m->probe_us && c == &m->cells[m->probe_cells - 1])
		m->probe_runs++;
	r->inner_us += ((double)inner_us - r->inner_us) /
		       (r->n < RUNS_LEVEL ? r->n + 1 : RUNS_LEVEL);
	if (r->n < RUNS_ROUTE - 1)
		r->n++;
	if (m->n < RUNS_DEVIATION - 1)
		m->n++;
	m->run_mean_us += ((double)run_us - m->run_mean_us) /
			  (m->n < RUNS_LEVEL ? m->n : RUNS_LEVEL);
	m->learned_us = now_us;
}

void fp_worker_model_ended(struct fp_worker_model *m,
			   const struct fp_worker_run *run, const char *route,
			   int64_t inner_us, bool complete, int64_t now_us)
{
	advance(m, now_us);
	if (m->running > 0)
		m->running--;
	if (complete && run->started_us >= m->reset_us && m->slots &&
	    now_us - run->started_us - inner_us >= OWN_MIN_US)
		learn(m, run, route, inner_us, now_us);
}

/* Which of the two models explains the times better. */
static int better_fit(const struct fp_worker_model *m)
{
	return m->percent && m->n >= RUNS_MIN &&
			       m->fits[CORRECTED].deviation <
				       REPORT_EXPLAINS *
					       m->fits[PLAIN].deviation ?
		       CORRECTED :
		       PLAIN;
}

/* ---- limit ---- */

/* Logarithm of what the worker ends in a time with the cells up to this one. */
static double throughput(const struct fp_worker_model *m, uint32_t cell)
{
	return log(cell + 1.0) - m->cells[cell].effect[better_fit(m)];
}

/* Whether cell a ends more than b, beyond the deviation of their samples. */
static bool is_clearly_better(const struct fp_worker_model *m, uint32_t a,
			      uint32_t b, int64_t now_us)
{
	double square = m->fits[better_fit(m)].deviation;
	double na = faded(&m->cells[a], now_us);
	double nb = faded(&m->cells[b], now_us);

	if (na < RUNS_MIN || nb < RUNS_MIN)
		return false;
	return throughput(m, a) - throughput(m, b) >
	       GAIN_MIN + DEVIATIONS * sqrt(square / na + square / nb) / 2;
}

static uint32_t least_cells(void)
{
	return (uint32_t)(CONCURRENCY_MIN * CELLS);
}

/* Lowers the limit to the number below it that clearly ends more than some
 * larger one that is allowed. */
static bool lower(struct fp_worker_model *m, int64_t now_us)
{
	uint32_t best = m->limit_cells - 1;
	uint32_t top = m->limit_cells - 1;
	uint32_t i;

	while (top > least_cells() && faded(&m->cells[top], now_us) < RUNS_MIN)
		top--;
	for (i = least_cells() - 1; i < top; i++)
		if (is_clearly_better(m, i, top, now_us) &&
		    (best >= top || throughput(m, i) > throughput(m, best)))
			best = i;
	if (best + 1 >= m->limit_cells)
		return false;
	m->limit_cells = best + 1;
	m->interval_us = PROBE_EVERY_US;
	m->next_probe_us = now_us + m->interval_us;
	return true;
}

/* Ends an upward probe: keeps the step if it ends more than the limit did. */
static void judge_probe(struct fp_worker_model *m, int64_t now_us)
{
	m->probe_us = 0;
	if (m->probe_cells <= m->limit_cells)
		return;
	if (throughput(m, m->probe_cells - 1) >=
	    throughput(m, m->limit_cells - 1)) {
		m->limit_cells = m->probe_cells;
		m->interval_us = PROBE_EVERY_US / 4;
	} else {
		m->interval_us *= 2;
	}
	if (m->interval_us > PROBE_MAX_US)
		m->interval_us = PROBE_MAX_US;
	m->next_probe_us = now_us + m->interval_us;
}

/* Begins a probe: upward from a lowered limit, else downward to a number of
 * which too few runs were seen. */
static void begin_probe(struct fp_worker_model *m, int64_t now_us)
{
	uint32_t to = m->limit_cells + 1;
	const struct cell *c;

	m->next_probe_us = now_us + m->interval_us;
	if (m->limit_cells == CELLS) {
		to = CELLS - m->dip;
		c = &m->cells[to - 1];
		m->dip = m->dip == DIP_SMALL ? DIP_LARGE : DIP_SMALL;
		m->next_probe_us =
			now_us + (c->at_us ? PROBE_MAX_US : PROBE_EVERY_US);
		if (faded(c, now_us) >= RUNS_MIN ||
		    faded(&m->cells[CELLS - 1], now_us) < RUNS_MIN)
			return;
	}
	/* What was seen there before is to be tested, not to be kept. */
	if (to > m->limit_cells && m->cells[to - 1].n > RUNS_BEFORE)
		m->cells[to - 1].n = RUNS_BEFORE;
	m->probe_cells = to;
	m->probe_runs = 0;
	m->probe_us = now_us;
}

/* Whether the probe in progress has seen enough. */
static bool probe_is_over(const struct fp_worker_model *m, int64_t now_us)
{
	int64_t passed_us = now_us - m->probe_us;

	return passed_us >= PROBE_LONG_US ||
	       (passed_us >= PROBE_MIN_US && m->probe_runs >= RUNS_PROBE);
}

uint32_t fp_worker_model_concurrency(struct fp_worker_model *m, uint32_t slots,
				     bool full, bool may_probe, int64_t now_us)
{
	uint32_t cells;
	uint32_t n;

	if (slots != m->slots) {
		memset(m->cells, 0, sizeof(m->cells));
		m->limit_cells = CELLS;
		m->slots = slots;
	}
	if (!full)
		m->full_us = 0;
	else if (!m->full_us)
		m->full_us = now_us;
	if (m->probe_us && probe_is_over(m, now_us))
		judge_probe(m, now_us);
	if (!m->probe_us && now_us - m->decided_us >= DECIDE_US) {
		m->decided_us = now_us;
		lower(m, now_us);
	}
	if (!m->probe_us && full && may_probe && now_us >= m->next_probe_us &&
	    now_us - m->full_us >= PROBE_MIN_US)
		begin_probe(m, now_us);
	cells = m->probe_us ? m->probe_cells : m->limit_cells;
	n = (uint32_t)((uint64_t)slots * cells / CELLS);
	return n ? n : 1;
}

/* ---- reading ---- */

void fp_worker_model_read(const struct fp_worker_model *m, const char *route,
			  int64_t now_us, struct fp_worker_speed *speed)
{
	uint64_t hash = XXH64(route, strlen(route), 0);
	const struct route_cost *r = &m->routes[hash % ROUTES];
	int fit = better_fit(m);
	double own_us;

	memset(speed, 0, sizeof(*speed));
	if (m->n == 0)
		return;
	if (now_us > m->learned_us)
		speed->age_ms = (uint32_t)((now_us - m->learned_us) / 1000);
	if (m->run_mean_us > 0)
		speed->rate_per_s =
			(uint32_t)((double)m->slots * m->limit_cells / CELLS *
				   1e6 / m->run_mean_us);
	if (fit == CORRECTED && now_us - m->report_us <= REPORT_VALID_US)
		speed->percent = (uint16_t)(m->percent_mean + 0.5);
	if (r->hash != hash || r->n == 0)
		return;
	own_us = exp(r->cost[fit] + m->fits[fit].level);
	speed->own_us = own_us < UINT32_MAX ? (uint32_t)own_us + 1 : UINT32_MAX;
	speed->inner_us = (uint32_t)r->inner_us;
}
