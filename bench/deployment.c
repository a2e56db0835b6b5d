/* deployment.c - the two reference deployments, scaled down to one machine */
#include "bench/deployment.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BURST_SECONDS 2.0 /* burst of an organisation, seconds of its rate */

/*
 * In both deployments all services reach their capacity at about the same
 * demand. Otherwise, shedding that changes the mix would appear as goodput
 * above capacity.
 */

/* The real deployment has 100 slots per worker, here 8, and 20 for reminders,
 * here 2. The number of workers is the real one. */
const struct deployment deployment_maua = {
	.name = "maua",
	.region = "dar",
	.domains = { "dar-a", "dar-b", "dar-c", "dar-d" },
	.n_domains = 4,
	.services = {
		{ "rota", 5, 8 },
		{ "orders", 4, 8 },
		{ "swaps", 4, 8 },
		{ "reminders", 4, 2 },
	},
	.service_ms = 200,
	.deadline_ms = 1500,
	.orgs = {
		{ "dar-archdiocese", 0.30 },
		{ "arusha-archdiocese", 0.25 },
		{ "moshi-diocese", 0.15 },
		{ "njombe-growers", 0.08 },
		{ "kibosho-parish", 0.06 },
		{ "lushoto-parish", 0.06 },
		{ "mbulu-parish", 0.05 },
		{ "tanga-parish", 0.05 },
	},
	.mix = {
		{ "rota-look-up", "GET", "/rota/week", "normal", true, 0.33,
		  { 0 }, 1 },
		{ "notice-board", "GET", "/rota/public", "sheddable", true,
		  0.06, { 0 }, 1 },
		{ "bloom-order", "POST", "/orders/bloom", "normal", false, 0.08,
		  { 1, 0 }, 2 },
		{ "order-look-up", "GET", "/orders/list", "normal", true, 0.11,
		  { 1 }, 1 },
		{ "funeral-order", "POST", "/orders/funeral", "important",
		  false, 0.05, { 1 }, 1 },
		{ "swap-look-up", "GET", "/swaps/list", "normal", true, 0.21,
		  { 2 }, 1 },
		{ "slot-swap", "POST", "/swaps/slot", "important", false, 0.07,
		  { 2 }, 1 },
		{ "reminder", "POST", "/reminders/send", "sheddable", true,
		  0.09, { 3 }, 1 },
	},
	.n_mix = 8,
	.chain = { "rota-deep", "GET", "/rota/deep", "normal", true, 1.0,
		   { 0, 1, 2 }, 3 },
};

/* The real deployment has 20 to 50 slots per worker; here it is a tenth. */
const struct deployment deployment_jadran = {
	.name = "jadran",
	.region = "zagreb",
	.domains = { "zagreb-a", "zagreb-b", "zagreb-c" },
	.n_domains = 3,
	.services = {
		{ "catalogue", 6, 5 },
		{ "titles", 5, 4 },
		{ "calendar", 4, 3 },
		{ "licences", 3, 2 },
	},
	.service_ms = 150,
	.deadline_ms = 1500,
	.orgs = {
		{ "zagreb-daily", 0.30 },
		{ "split-daily", 0.25 },
		{ "rijeka-daily", 0.15 },
		{ "osijek-daily", 0.08 },
		{ "dubrovnik-weekly", 0.06 },
		{ "pula-weekly", 0.06 },
		{ "varazdin-weekly", 0.05 },
		{ "zadar-weekly", 0.05 },
	},
	.mix = {
		{ "catalogue-look-up", "GET", "/catalogue/strips", "normal",
		  true, 0.40, { 0 }, 1 },
		{ "covers", "GET", "/catalogue/covers", "sheddable", true, 0.07,
		  { 0 }, 1 },
		{ "title-look-up", "GET", "/titles/contracted", "normal", true,
		  0.24, { 1 }, 1 },
		{ "calendar-look-up", "GET", "/calendar/week", "normal", true,
		  0.15, { 2 }, 1 },
		{ "release-look-up", "GET", "/calendar/release", "normal", true,
		  0.05, { 2, 0 }, 2 },
		{ "licence-order", "POST", "/licences/order", "important",
		  false, 0.05, { 3, 1 }, 2 },
		{ "licence-look-up", "GET", "/licences/own", "important", true,
		  0.04, { 3 }, 1 },
	},
	.n_mix = 7,
	.chain = { "catalogue-deep", "GET", "/catalogue/deep", "normal", true,
		   1.0, { 0, 1, 2 }, 3 },
};

const struct deployment *deployment_find(const char *name)
{
	if (strcmp(name, deployment_maua.name) == 0)
		return &deployment_maua;
	if (strcmp(name, deployment_jadran.name) == 0)
		return &deployment_jadran;
	return NULL;
}

/** Returns the time for which one root request holds slots of a service,
 * seconds. */
static double slot_seconds(const struct deployment *d,
			   const struct request_kind *k, int service)
{
	double sum = 0;
	int i;

	for (i = 0; i < k->n_hops; i++) {
		if (k->hops[i] == service)
			sum += (k->n_hops - i) * d->service_ms / 1000;
	}
	return sum;
}

double deployment_capacity(const struct deployment *d,
			   const struct request_kind *mix, int n_mix,
			   const char *class_name)
{
	double lowest = INFINITY;
	int s, i;

	for (s = 0; s < DEPLOYMENT_SERVICES; s++) {
		const struct service *sv = &d->services[s];
		double held = 0;

		for (i = 0; i < n_mix; i++) {
			if (!class_name ||
			    strcmp(mix[i].class_name, class_name) == 0)
				held += mix[i].fraction *
					slot_seconds(d, &mix[i], s);
		}
		if (held > 0)
			lowest = fmin(lowest, sv->workers * sv->slots / held);
	}
	return lowest;
}

double deployment_class_fraction(const struct deployment *d,
				 const char *class_name)
{
	double sum = 0;
	int i;

	for (i = 0; i < d->n_mix; i++) {
		if (strcmp(d->mix[i].class_name, class_name) == 0)
			sum += d->mix[i].fraction;
	}
	return sum;
}

static void print_route(FILE *out, const struct deployment *d, const char *name,
			const char *method, const char *path, int service,
			const char *class_name, bool idempotent)
{
	fprintf(out,
		"[[route]]\nname = \"%s\"\nmethod = \"%s\"\nprefix = \"%s\"\n"
		"service = \"%s\"\nclass = \"%s\"\nidempotent = %s\n"
		"deadline_ms = %lld\n\n",
		name, method, path, d->services[service].name, class_name,
		idempotent ? "true" : "false", (long long)d->deadline_ms);
}

static void print_kind(FILE *out, const struct deployment *d,
		       const struct request_kind *k)
{
	print_route(out, d, k->name, k->method, k->path, k->hops[0],
		    k->class_name, k->idempotent);
}

char *deployment_declarations(const struct deployment *d,
			      double rate_per_s_total)
{
	char *text = NULL;
	size_t bytes;
	FILE *out = open_memstream(&text, &bytes);
	char name[64], path[64];
	int i;

	if (!out)
		abort();
	for (i = 0; i < DEPLOYMENT_ORGS; i++) {
		double rate = ceil(rate_per_s_total * d->orgs[i].fraction);

		fprintf(out,
			"[[organisation]]\nname = \"%s\"\nrate_per_s = %.0f\n"
			"burst = %.0f\n\n",
			d->orgs[i].name, rate, rate * BURST_SECONDS);
	}
	for (i = 0; i < DEPLOYMENT_SERVICES; i++) {
		snprintf(name, sizeof(name), "%s-any", d->services[i].name);
		snprintf(path, sizeof(path), "/%s", d->services[i].name);
		print_route(out, d, name, "GET", path, i, "normal", true);
	}
	for (i = 0; i < d->n_mix; i++)
		print_kind(out, d, &d->mix[i]);
	print_kind(out, d, &d->chain);
	fclose(out);
	return text;
}

void deployment_target(const struct deployment *d, const struct request_kind *k,
		       int nested_retries, char *out, size_t out_bytes)
{
	size_t n;
	int i;

	snprintf(out, out_bytes, "%s", k->path);
	for (i = 1; i < k->n_hops; i++) {
		n = strlen(out);
		snprintf(out + n, out_bytes - n, "%s/%s/call",
			 i == 1 ? "?nest=" : "%3E",
			 d->services[k->hops[i]].name);
	}
	if (k->n_hops > 1 && nested_retries) {
		n = strlen(out);
		snprintf(out + n, out_bytes - n, "&nest_retries=%d",
			 nested_retries);
	}
}
