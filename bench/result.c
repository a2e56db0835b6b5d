/* result.c - measured results of one run, their table and CSV */
#include "bench/result.h"

#include <string.h>

#define MAX_CALLER_LAG_US 50000 /* beyond it the caller is the bottleneck */

const char *const scenario_names[SCENARIO_COUNT] = {
	[SCENARIO_SURGE] = "surge",   [SCENARIO_SLOW] = "slow",
	[SCENARIO_ORG5X] = "org5x",   [SCENARIO_IMPORTANT] = "important",
	[SCENARIO_DEMAND] = "demand", [SCENARIO_ADDED] = "added",
};

/* Reasons that are counted as refusals. */
static const char *const reasons[] = {
	"over-rate",   "no-tokens",   "overloaded", "shed-early", "retry-limit",
	"poison",      "no-worker",   "no-config",  "isolated",	  "stopping",
	"claim-full",  "claim-lost",  "deadline",   "cut",	  "already-run",
	"in-progress", "key-unknown", "malformed",
};

#define N_REASONS (int)(sizeof(reasons) / sizeof(reasons[0]))

static int64_t counter_increase(const struct run_record *rec, const char *name,
				const char *label)
{
	return metrics_sum(rec->metrics_after, name, label) -
	       metrics_sum(rec->metrics_before, name, label);
}

static void measure_reasons(struct result *r, const struct run_record *rec)
{
	size_t at = 0;
	char label[64];
	int64_t n;
	int i;

	for (i = 0; i < N_REASONS; i++) {
		snprintf(label, sizeof(label), "reason=\"%s\"", reasons[i]);
		n = counter_increase(rec, "fulmar_answers_total", label);
		if (!n)
			continue;
		if (strcmp(reasons[i], "over-rate") == 0)
			r->over_rate = n;
		else
			r->refused_in_rate += n;
		if (at < sizeof(r->reasons))
			at += (size_t)snprintf(r->reasons + at,
					       sizeof(r->reasons) - at,
					       "%s%s=%lld", at ? " " : "",
					       reasons[i], (long long)n);
	}
}

static void measure_added(struct result *r, const struct run_record *rec)
{
	const char *text = rec->metrics_after;
	int64_t count = counter_increase(rec, "fulmar_added_us_count", NULL);

	r->added_p50_us =
		metrics_max(text, "fulmar_added_us", "quantile=\"0.5\"");
	r->added_p99_us =
		metrics_max(text, "fulmar_added_us", "quantile=\"0.99\"");
	if (count)
		r->added_mean_us = (double)counter_increase(
					   rec, "fulmar_added_us_sum", NULL) /
				   (double)count;
}

static void measure_bins(struct result *r, const struct samples *s)
{
	int64_t at_us = 0;
	struct served_counts c;

	r->n_bins = 0;
	while (r->n_bins < RESULT_BINS) {
		c = samples_count(s, at_us, at_us + RESULT_BIN_US, NULL, NULL);
		if (!c.offered)
			return;
		r->bins[r->n_bins++] = (float)served_fraction(c);
		at_us += RESULT_BIN_US;
	}
}

void result_measure(struct result *r, const struct run_record *rec,
		    int64_t from_us, int64_t to_us, const char *except)
{
	const struct samples *s = &rec->samples;
	struct served_counts all = samples_count(s, from_us, to_us, NULL, NULL);

	r->offered = (double)all.offered * 1e6 / (double)(to_us - from_us);
	r->goodput = samples_goodput(s, from_us, to_us);
	r->success = served_fraction(all);
	r->p50_us = samples_quantile_us(s, from_us, to_us, 0.5);
	r->p99_us = samples_quantile_us(s, from_us, to_us, 0.99);
	r->worst = samples_worst_org(s, from_us, to_us, except, r->worst_org,
				     sizeof(r->worst_org));
	r->important = served_fraction(
		samples_count(s, from_us, to_us, NULL, "important"));
	r->roots = rec->roots;
	r->max_lag_us = rec->max_lag_us;
	r->node_cpu = rec->node_cpu;
	r->nodes_cpu = rec->nodes_cpu;
	r->store_calls = rec->store_calls;
	r->died = rec->died;
	measure_reasons(r, rec);
	measure_added(r, rec);
	measure_bins(r, s);
}

const struct result *results_find(const struct results *rs,
				  const struct deployment *d, enum scenario s,
				  bool on, double factor)
{
	int i;

	for (i = 0; i < rs->n; i++) {
		const struct result *r = &rs->v[i];

		if (r->d == d && r->scenario == s && r->on == on &&
		    (factor == 0 || r->factor == factor))
			return r;
	}
	return NULL;
}

static void print_hops(FILE *out, const struct result *r)
{
	if (r->scenario == SCENARIO_SLOW)
		fprintf(out, " %4.2f/%4.2f/%4.2f", r->hops[0], r->hops[1],
			r->hops[2]);
	else
		fprintf(out, " %14s", "-");
}

static void print_recovery(FILE *out, const struct result *r)
{
	if (r->scenario != SCENARIO_SURGE && r->scenario != SCENARIO_SLOW)
		fprintf(out, " %6s", "-");
	else if (r->recovery_s < 0)
		fprintf(out, " %6s", "never");
	else
		fprintf(out, " %6.2f", r->recovery_s);
}

void result_print(FILE *out, const struct result *r)
{
	if (!r) {
		fprintf(out,
			"%-6s %-9s %-4s %5s %7s %7s %6s %6s %6s %7s %7s "
			"%6s %6s %14s %6s %6s %5s %5s %6s  %4s %s\n",
			"deploy", "scenario", "mode", "x", "offer/s", "good/s",
			"succ%", "p50ms", "p99ms", "overrat", "refused",
			"worst%", "imp%", "exec/hop/root", "recovs", "add99",
			"cpu1", "cpu", "lagms", "died", "reasons");
		return;
	}
	fprintf(out,
		"%-6s %-9s %-4s %5.2f %7.1f %7.1f %6.1f %6.0f %6.0f %7lld "
		"%7lld %6.1f %6.1f",
		r->d->name, scenario_names[r->scenario], r->on ? "on" : "off",
		r->factor, r->offered, r->goodput, 100 * r->success,
		(double)r->p50_us / 1000, (double)r->p99_us / 1000,
		(long long)r->over_rate, (long long)r->refused_in_rate,
		100 * r->worst, 100 * r->important);
	print_hops(out, r);
	print_recovery(out, r);
	fprintf(out, " %6.2f %5.2f %5.2f %6.1f%c %4d %s\n",
		(double)r->added_p99_us / 1000, r->node_cpu, r->nodes_cpu,
		(double)r->max_lag_us / 1000,
		r->max_lag_us > MAX_CALLER_LAG_US ? '!' : ' ', r->died,
		r->reasons);
	fflush(out);
}

static void write_row(FILE *out, const struct result *r)
{
	fprintf(out,
		"%s,%s,%s,%lld,%.2f,%.1f,%.1f,%.1f,%.4f,%lld,%lld,%lld,%lld,"
		"%s,%.4f,%.4f,%lld,%.3f,%.3f,%.3f,%.2f,%lld,%lld,%.0f,%lld,"
		"%.3f,%.3f,%lld,%d,%s\n",
		r->d->name, scenario_names[r->scenario], r->on ? "on" : "off",
		(long long)r->seed, r->factor, r->capacity, r->offered,
		r->goodput, r->success, (long long)r->p50_us,
		(long long)r->p99_us, (long long)r->over_rate,
		(long long)r->refused_in_rate, r->worst_org, r->worst,
		r->important, (long long)r->roots, r->hops[0], r->hops[1],
		r->hops[2], r->recovery_s, (long long)r->added_p50_us,
		(long long)r->added_p99_us, r->added_mean_us,
		(long long)r->max_lag_us, r->node_cpu, r->nodes_cpu,
		(long long)r->store_calls, r->died, r->reasons);
}

bool results_write_csv(const struct results *rs, const char *path)
{
	FILE *out = fopen(path, "w");
	int i;

	if (!out)
		return false;
	fprintf(out,
		"deployment,scenario,mode,seed,factor,capacity_per_s,"
		"offered_per_s,goodput_per_s,success,p50_us,p99_us,over_rate,"
		"refused_in_rate,worst_org,worst_share,important_share,roots,"
		"hop1_per_root,hop2_per_root,hop3_per_root,recovery_s,"
		"added_p50_us,added_p99_us,added_mean_us,max_lag_us,"
		"busiest_node_cores,nodes_cores,store_calls,died,reasons\n");
	for (i = 0; i < rs->n; i++)
		write_row(out, &rs->v[i]);
	return fclose(out) == 0;
}
