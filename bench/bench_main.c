/*
 * bench_main.c - measures goodput, recovery and fairness of a real fleet
 *
 * Each run starts the store stand-in, nodes and backend servers as processes.
 * Callers generate an open load: their arrivals do not wait for answers. The
 * results are computed from the callers' records, the nodes' counters and the
 * backend servers' logs. Callers retry aggressively: every refusal and failure
 * is retried after a constant delay, without backoff.
 */
#include <getopt.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "base/clock.h"
#include "bench/result.h"

#define VERSION		"bench 1"
#define DEFAULT_SECONDS 5.0
/* fraction of a run, from its start, that is not counted */
#define WARM_UP_FRACTION 0.33
#define RETRIES		 3
#define RETRY_DELAY_MS	 100
/* sum of all rates, relative to capacity; high enough to limit no request */
#define UNLIMITED_FACTOR 12.0
#define N_FACTORS	 5

/* Surge: base load, surge, base load; demands relative to capacity. */
#define SURGE_BASE     0.7
#define SURGE_FACTOR   4.0
#define SURGE_BEFORE_S 4.0
#define SURGE_S	       3.0
#define SURGE_AFTER_S  9.0
#define SURGE_RETRIES  5
#define SURGE_RETRY_MS 250

/* A chain of three hops whose last hop becomes slow. */
#define SLOW_FACTOR	    3.0 /* of the last hop's service time */
#define SLOW_DEMAND	    1.0 /* relative to capacity */
#define SLOW_BEFORE_S	    2.0
#define SLOW_AFTER_S	    3.0
#define SLOW_NESTED_RETRIES 2

/* All rates together, relative to capacity; demand of the other organisations
 * and of the one over its rate, relative to their own rates. */
#define ORG_RATE_TOTAL	  0.85
#define ORG_INSIDE_FACTOR 0.9
#define ORG_OVER_FACTOR	  5.0

#define IMPORTANT_LOAD	 0.45 /* of capacity, at the most loaded service */
#define OTHERS_LOAD	 3.0 /* of capacity, of the other classes */
#define ADDED_DEMAND	 0.5 /* of capacity */
#define ADDED_SERVICE_MS 20.0

/* Demands of the demand scenario, relative to capacity. */
static const double factors[N_FACTORS] = { 0.5, 1, 2, 3, 5 };

struct bench {
	const struct deployment *only; /**< NULL: both */
	int scenario; /**< SCENARIO_COUNT: all */
	bool on;
	bool off;
	int64_t seed;
	double seconds;
	const char *out;
	struct results results;
	int n_failed; /**< scenarios that failed to complete */
};

/** Sets up a load of the deployment's mix at a constant rate. */
static void set_load(struct load *l, const struct bench *c,
		     const struct deployment *d, double rate, double seconds)
{
	int i;

	*l = (struct load){ .kinds = d->mix,
			    .n_kinds = d->n_mix,
			    .phases = { { rate, seconds } },
			    .n_phases = 1,
			    .seed = c->seed,
			    .retries = RETRIES,
			    .retry_delay_ms = RETRY_DELAY_MS };
	for (i = 0; i < d->n_mix; i++)
		l->kind_weight[i] = d->mix[i].fraction;
	for (i = 0; i < DEPLOYMENT_ORGS; i++)
		l->org_weight[i] = d->orgs[i].fraction;
}

static struct result *add_result(struct bench *c, const struct testbed *b,
				 enum scenario s, double factor,
				 double capacity)
{
	struct result *r = &c->results.v[c->results.n];

	if (c->results.n == RESULT_MAX)
		abort();
	c->results.n++;
	*r = (struct result){ .d = b->d,
			      .scenario = s,
			      .on = b->on,
			      .seed = c->seed,
			      .factor = factor,
			      .capacity = capacity,
			      .recovery_s = -1 };
	return r;
}

static double mix_capacity(const struct deployment *d)
{
	return deployment_capacity(d, d->mix, d->n_mix, NULL);
}

static int64_t seconds_to_us(double seconds)
{
	return (int64_t)(seconds * 1e6);
}

/** Runs a load of one phase and measures it after its warm-up. */
static bool run_single_phase(struct bench *c, struct testbed *b,
			     const struct load *l, enum scenario s,
			     double factor, const char *except)
{
	double seconds = l->phases[0].seconds;
	struct run_record rec;
	struct result *r;
	bool ok = testbed_run(b, l, NULL, 0, &rec);

	if (ok) {
		r = add_result(c, b, s, factor, l->phases[0].rate / factor);
		result_measure(r, &rec,
			       seconds_to_us(WARM_UP_FRACTION * seconds),
			       seconds_to_us(seconds), except);
		result_print(stdout, r);
	}
	run_record_end(&rec);
	return ok;
}

static bool run_demand(struct bench *c, struct testbed *b)
{
	double capacity = mix_capacity(b->d);
	struct load l;
	bool ok = true;
	int i;

	for (i = 0; i < N_FACTORS && ok; i++) {
		set_load(&l, c, b->d, factors[i] * capacity, c->seconds);
		ok = testbed_restart_ended(b) &&
		     run_single_phase(c, b, &l, SCENARIO_DEMAND, factors[i],
				      NULL);
	}
	return ok;
}

static bool run_surge(struct bench *c, struct testbed *b)
{
	static const struct surge_times t = {
		.before_us = 1000000,
		.surge_us = (int64_t)(SURGE_BEFORE_S * 1e6),
		.surge_end_us = (int64_t)((SURGE_BEFORE_S + SURGE_S) * 1e6),
		.end_us = (int64_t)((SURGE_BEFORE_S + SURGE_S + SURGE_AFTER_S) *
				    1e6),
	};
	double capacity = mix_capacity(b->d);
	struct run_record rec;
	struct result *r;
	struct load l;
	int64_t us;
	bool ok;

	set_load(&l, c, b->d, SURGE_BASE * capacity, SURGE_BEFORE_S);
	l.phases[1] = (struct load_phase){ SURGE_FACTOR * capacity, SURGE_S };
	l.phases[2] =
		(struct load_phase){ SURGE_BASE * capacity, SURGE_AFTER_S };
	l.n_phases = 3;
	l.retries = SURGE_RETRIES;
	l.retry_delay_ms = SURGE_RETRY_MS;
	ok = testbed_run(b, &l, NULL, 0, &rec);
	if (ok) {
		r = add_result(c, b, SCENARIO_SURGE, SURGE_FACTOR, capacity);
		result_measure(r, &rec, t.surge_us, t.end_us, NULL);
		us = samples_recovery_us(&rec.samples, &t);
		r->recovery_s = us < 0 ? -1 : (double)us / 1e6;
		result_print(stdout, r);
	}
	run_record_end(&rec);
	return ok;
}

static void slow_last_hop(struct testbed *b, void *arg)
{
	testbed_slow(b, b->d->chain.hops[DEPLOYMENT_MAX_HOPS - 1],
		     *(double *)arg);
}

static bool run_slow(struct bench *c, struct testbed *b)
{
	static double slow = SLOW_FACTOR, normal = 1;
	double slow_end_s = SLOW_BEFORE_S + c->seconds;
	double end_s = slow_end_s + SLOW_AFTER_S;
	double capacity = deployment_capacity(b->d, &b->d->chain, 1, NULL);
	const struct run_event events[] = {
		{ SLOW_BEFORE_S, slow_last_hop, &slow },
		{ slow_end_s, slow_last_hop, &normal },
	};
	const struct surge_times t = { .before_us = 0,
				       .surge_us = seconds_to_us(SLOW_BEFORE_S),
				       .surge_end_us =
					       seconds_to_us(slow_end_s),
				       .end_us = seconds_to_us(end_s) };
	struct run_record rec;
	struct result *r;
	struct load l;
	int64_t us;
	bool ok;
	int i;

	set_load(&l, c, b->d, SLOW_DEMAND * capacity, end_s);
	l.kinds = &b->d->chain;
	l.n_kinds = 1;
	l.kind_weight[0] = 1;
	l.nested_retries = SLOW_NESTED_RETRIES;
	ok = testbed_run(b, &l, events, 2, &rec);
	if (ok) {
		r = add_result(c, b, SCENARIO_SLOW, SLOW_DEMAND, capacity);
		result_measure(r, &rec, t.surge_us, t.surge_end_us, NULL);
		for (i = 0; i < DEPLOYMENT_MAX_HOPS && rec.roots; i++)
			r->hops[i] = (double)rec.starts[b->d->chain.hops[i]] /
				     (double)rec.roots;
		us = samples_recovery_us(&rec.samples, &t);
		r->recovery_s = us < 0 ? -1 : (double)us / 1e6;
		result_print(stdout, r);
	}
	run_record_end(&rec);
	return ok;
}

static bool run_org5x(struct bench *c, struct testbed *b)
{
	double capacity = mix_capacity(b->d);
	double rates = ORG_RATE_TOTAL * capacity;
	double demand = 0;
	struct load l;
	int i;

	if (!testbed_declare(b, rates))
		return false;
	set_load(&l, c, b->d, 0, c->seconds);
	for (i = 0; i < DEPLOYMENT_ORGS; i++) {
		l.org_weight[i] *= i == 0 ? ORG_OVER_FACTOR : ORG_INSIDE_FACTOR;
		demand += l.org_weight[i] * rates;
	}
	l.phases[0].rate = demand;
	return run_single_phase(c, b, &l, SCENARIO_ORG5X, demand / capacity,
				b->d->orgs[0].name) &&
	       testbed_declare(b, UNLIMITED_FACTOR * capacity);
}

/** Important requests at less than half of capacity, all others far above
 * it. */
static bool run_important(struct bench *c, struct testbed *b)
{
	const struct deployment *d = b->d;
	double capacity = mix_capacity(d);
	double scale = IMPORTANT_LOAD *
		       deployment_capacity(d, d->mix, d->n_mix, "important") /
		       (OTHERS_LOAD * capacity);
	double demand = 0;
	struct load l;
	int i;

	set_load(&l, c, d, 0, c->seconds);
	for (i = 0; i < d->n_mix; i++) {
		if (strcmp(d->mix[i].class_name, "important") == 0)
			l.kind_weight[i] *= fmin(scale, 1);
		demand += l.kind_weight[i] * OTHERS_LOAD * capacity;
	}
	l.phases[0].rate = demand;
	return run_single_phase(c, b, &l, SCENARIO_IMPORTANT, demand / capacity,
				NULL);
}

/** Half load on a separate fleet with a shorter service time. */
static bool run_added(struct bench *c, const struct deployment *d)
{
	double capacity = mix_capacity(d) * d->service_ms / ADDED_SERVICE_MS;
	struct load l;
	struct testbed b;
	bool ok;

	set_load(&l, c, d, ADDED_DEMAND * capacity, c->seconds);
	ok = testbed_init(&b, d, true, ADDED_SERVICE_MS,
			  UNLIMITED_FACTOR * capacity, c->seed) &&
	     run_single_phase(c, &b, &l, SCENARIO_ADDED, ADDED_DEMAND, NULL);
	testbed_end(&b);
	return ok;
}

typedef bool (*runner)(struct bench *c, struct testbed *b);

static bool run_mode(struct bench *c, const struct deployment *d, bool on)
{
	static const runner runners[SCENARIO_COUNT] = {
		[SCENARIO_DEMAND] = run_demand,
		[SCENARIO_SURGE] = run_surge,
		[SCENARIO_SLOW] = run_slow,
		[SCENARIO_ORG5X] = run_org5x,
		[SCENARIO_IMPORTANT] = run_important,
	};
	struct testbed b;
	bool ok;
	int s;

	if (c->scenario == SCENARIO_ADDED)
		return true;
	ok = testbed_init(&b, d, on, 0, UNLIMITED_FACTOR * mix_capacity(d),
			  c->seed);
	for (s = 0; s < SCENARIO_COUNT && ok; s++) {
		/* The target of this scenario does not apply to the
		 * baseline, which is run only on request. */
		if (s == SCENARIO_IMPORTANT && !on &&
		    c->scenario == SCENARIO_COUNT && c->on)
			continue;
		if (!runners[s] ||
		    (c->scenario != SCENARIO_COUNT && c->scenario != s))
			continue;
		if (!runners[s](c, &b)) {
			fprintf(stderr, "bench: scenario %s failed\n",
				scenario_names[s]);
			c->n_failed++;
		}
		ok = testbed_restart_ended(&b);
	}
	testbed_end(&b);
	return ok;
}

static bool run_deployment(struct bench *c, const struct deployment *d)
{
	bool added =
		c->scenario == SCENARIO_ADDED || c->scenario == SCENARIO_COUNT;

	return (!c->on || !added || run_added(c, d)) &&
	       (!c->on || run_mode(c, d, true)) &&
	       (!c->off || run_mode(c, d, false));
}

/* Options. */

static const char usage[] =
	"usage: bench [options]\n"
	"  --deployment maua|jadran  run only this one\n"
	"  --scenario NAME           demand, surge, slow, org5x, important,\n"
	"                            added or all (default)\n"
	"  --mode on|off|both        overload control, or the baseline\n"
	"  --seed N                  seed of arrivals and service times, "
	"default 1\n"
	"  --seconds N               length of a run, 2 to 60, default 5\n"
	"  --out DIR                 directory for bench.csv, bench.svg,\n"
	"                            default build-release/bench-out\n"
	"  --help, --version\n";

static bool parse_scenario(struct bench *c, const char *v)
{
	for (c->scenario = 0; c->scenario < SCENARIO_COUNT; c->scenario++) {
		if (strcmp(v, scenario_names[c->scenario]) == 0)
			return true;
	}
	return strcmp(v, "all") == 0;
}

static bool parse_option(struct bench *c, int o, const char *v)
{
	switch (o) {
	case 'd':
		c->only = deployment_find(v);
		return c->only != NULL;
	case 's':
		return parse_scenario(c, v);
	case 'm':
		c->on = strcmp(v, "off") != 0;
		c->off = strcmp(v, "on") != 0;
		return strcmp(v, "on") == 0 || strcmp(v, "off") == 0 ||
		       strcmp(v, "both") == 0;
	case 'S':
		c->seed = strtoll(v, NULL, 10);
		return c->seed > 0 && c->seed < 1000000;
	case 't':
		c->seconds = strtod(v, NULL);
		return c->seconds >= 2 && c->seconds <= 60;
	case 'o':
		c->out = v;
		return true;
	default:
		return false;
	}
}

/** Parses the options; returns an exit code if the program should exit, or
 * -1. */
static int parse_options(struct bench *c, int argc, char **argv)
{
	static const struct option options[] = {
		{ "deployment", required_argument, NULL, 'd' },
		{ "scenario", required_argument, NULL, 's' },
		{ "mode", required_argument, NULL, 'm' },
		{ "seed", required_argument, NULL, 'S' },
		{ "seconds", required_argument, NULL, 't' },
		{ "out", required_argument, NULL, 'o' },
		{ "help", no_argument, NULL, 'h' },
		{ "version", no_argument, NULL, 'v' },
		{ NULL, 0, NULL, 0 },
	};
	int o;

	while ((o = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (o == 'h' || o == 'v') {
			printf("%s", o == 'h' ? usage : VERSION "\n");
			return 0;
		}
		if (!parse_option(c, o, optarg)) {
			fprintf(stderr, "%s", usage);
			return 2;
		}
	}
	return -1;
}

static bool write_files(const struct bench *c)
{
	char csv[512], svg[512];

	mkdir(c->out, 0755);
	snprintf(csv, sizeof(csv), "%.480s/bench.csv", c->out);
	snprintf(svg, sizeof(svg), "%.480s/bench.svg", c->out);
	if (!results_write_csv(&c->results, csv) ||
	    !results_write_svg(&c->results, svg)) {
		fprintf(stderr, "bench: cannot write to %s\n", c->out);
		return false;
	}
	printf("\nwritten: %s %s\n", csv, svg);
	return true;
}

static int report_ended(const struct bench *c)
{
	int died = 0;
	int i;

	for (i = 0; i < c->results.n; i++)
		died += c->results.v[i].died;
	if (died)
		printf("%d processes ended unexpectedly\n", died);
	return died;
}

static void print_capacity(const struct deployment *d)
{
	printf("%s: capacity %.0f roots/s; %g ms, three-hop chain %.0f/s\n",
	       d->name, mix_capacity(d), d->service_ms,
	       deployment_capacity(d, &d->chain, 1, NULL));
}

int main(int argc, char **argv)
{
	static const struct deployment *const all[] = { &deployment_maua,
							&deployment_jadran };
	static struct bench c = { .scenario = SCENARIO_COUNT,
				  .on = true,
				  .off = true,
				  .seed = 1,
				  .seconds = DEFAULT_SECONDS,
				  .out = "build-release/bench-out" };
	int rc = parse_options(&c, argc, argv);
	bool ok = true;
	int i;

	if (rc >= 0)
		return rc;
	for (i = 0; i < 2; i++)
		print_capacity(all[i]);
	result_print(stdout, NULL);
	for (i = 0; i < 2 && ok; i++) {
		if (!c.only || c.only == all[i])
			ok = run_deployment(&c, all[i]);
	}
	for (i = 0; i < 2; i++) {
		if (!c.only || c.only == all[i])
			targets_print(stdout, &c.results, all[i]);
	}
	return write_files(&c) && ok && !c.n_failed && !report_ended(&c) ? 0 :
									   1;
}
