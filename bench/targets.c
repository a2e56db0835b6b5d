/* targets.c - compares the results with the targets */
#include <math.h>
#include <string.h>

#include "bench/result.h"

#define TARGETS		     7
#define VALUE_BYTES	     64
#define MIN_GOODPUT_RATIO    0.90 /* at 3x, relative to 1x */
#define MAX_RECOVERY_S	     5.0
#define MIN_IMPORTANT_SERVED 0.99
#define MIN_WORST_SERVED     0.95
#define MAX_EXECUTIONS	     1.2 /* per root request and hop */
#define MAX_ADDED_US	     1300 /* p99 of the worst node */

/** Result of the comparison with one target. */
struct target_result {
	const char *name;
	const char *wanted; /**< text of the condition */
	bool measured;
	bool reached;
	char value[VALUE_BYTES]; /**< text of the measured value */
};

static void check_target(struct target_result *v, bool reached,
			 const char *format, double value)
{
	v->measured = true;
	v->reached = reached;
	snprintf(v->value, sizeof(v->value), format, value);
}

static void check_goodput(struct target_result *v, const struct results *rs,
			  const struct deployment *d, bool on)
{
	const struct result *one = results_find(rs, d, SCENARIO_DEMAND, on, 1);
	const struct result *three =
		results_find(rs, d, SCENARIO_DEMAND, on, 3);

	v->name = "goodput at 3x";
	v->wanted = ">= 90 % of 1x";
	if (!one || !three || one->goodput <= 0)
		return;
	check_target(v, three->goodput >= MIN_GOODPUT_RATIO * one->goodput,
		     "%.1f %%", 100 * three->goodput / one->goodput);
}

/** Smallest advantage over the baseline, at demands of capacity and above. */
static void check_baseline(struct target_result *v, const struct results *rs,
			   const struct deployment *d, bool on)
{
	double smallest = INFINITY;
	int i;

	v->name = "over baseline";
	v->wanted = "> 0/s at all >= 1x";
	for (i = 0; i < rs->n; i++) {
		const struct result *r = &rs->v[i];
		const struct result *base;

		if (!on || r->d != d || r->scenario != SCENARIO_DEMAND ||
		    !r->on || r->factor < 1)
			continue;
		base = results_find(rs, d, SCENARIO_DEMAND, false, r->factor);
		if (base)
			smallest = fmin(smallest, r->goodput - base->goodput);
	}
	if (isfinite(smallest))
		check_target(v, smallest > 0, "least %+.1f/s", smallest);
}

static void check_recovery(struct target_result *v, const struct results *rs,
			   const struct deployment *d, bool on)
{
	const struct result *r = results_find(rs, d, SCENARIO_SURGE, on, 0);

	v->name = "back to normal";
	v->wanted = "<= 5 s";
	if (!r)
		return;
	if (r->recovery_s < 0)
		check_target(v, false, "not in the run", 0);
	else
		check_target(v, r->recovery_s <= MAX_RECOVERY_S, "%.2f s",
			     r->recovery_s);
}

static void check_important(struct target_result *v, const struct results *rs,
			    const struct deployment *d, bool on)
{
	const struct result *r = results_find(rs, d, SCENARIO_IMPORTANT, on, 0);

	v->name = "important served";
	v->wanted = ">= 99 %";
	if (r)
		check_target(v, r->important >= MIN_IMPORTANT_SERVED, "%.2f %%",
			     100 * r->important);
}

static void check_worst(struct target_result *v, const struct results *rs,
			const struct deployment *d, bool on)
{
	const struct result *r = results_find(rs, d, SCENARIO_ORG5X, on, 0);

	v->name = "worst organisation";
	v->wanted = ">= 95 %";
	if (r)
		check_target(v, r->worst >= MIN_WORST_SERVED, "%.2f %%",
			     100 * r->worst);
}

static void check_executions(struct target_result *v, const struct results *rs,
			     const struct deployment *d, bool on)
{
	const struct result *r = results_find(rs, d, SCENARIO_SLOW, on, 0);
	double largest;

	v->name = "executions a root";
	v->wanted = "<= 1.2 each hop";
	if (!r)
		return;
	largest = fmax(r->hops[0], fmax(r->hops[1], r->hops[2]));
	if (!r->roots)
		check_target(v, false, "no root ran", 0);
	else
		check_target(v, largest <= MAX_EXECUTIONS, "%.3f", largest);
}

static void check_added(struct target_result *v, const struct results *rs,
			const struct deployment *d, bool on)
{
	const struct result *r = results_find(rs, d, SCENARIO_ADDED, on, 0);

	v->name = "time added, p99";
	v->wanted = "<= 1.3 ms at 0.5x";
	if (r)
		check_target(v, r->added_p99_us <= MAX_ADDED_US, "%.2f ms",
			     (double)r->added_p99_us / 1000);
}

static void check_all(struct target_result *v, const struct results *rs,
		      const struct deployment *d, bool on)
{
	memset(v, 0, TARGETS * sizeof(*v));
	check_goodput(&v[0], rs, d, on);
	check_baseline(&v[1], rs, d, on);
	check_recovery(&v[2], rs, d, on);
	check_important(&v[3], rs, d, on);
	check_worst(&v[4], rs, d, on);
	check_executions(&v[5], rs, d, on);
	check_added(&v[6], rs, d, on);
}

static const char *result_text(const struct target_result *v)
{
	if (!v->measured)
		return "not run";
	return v->reached ? "reached" : "NOT REACHED";
}

int targets_print(FILE *out, const struct results *rs,
		  const struct deployment *d)
{
	struct target_result on[TARGETS], off[TARGETS];
	int missed = 0;
	int i;

	check_all(on, rs, d, true);
	check_all(off, rs, d, false);
	fprintf(out, "\n%s: targets\n%-20s %-20s %-12s %-16s %s\n", d->name,
		"target", "wanted", "verdict", "on", "off (baseline)");
	for (i = 0; i < TARGETS; i++) {
		fprintf(out, "%-20s %-20s %-12s %-16s %s\n", on[i].name,
			on[i].wanted, result_text(&on[i]),
			on[i].measured ? on[i].value : "-",
			off[i].measured ? off[i].value : "-");
		missed += on[i].measured && !on[i].reached;
	}
	return missed;
}
