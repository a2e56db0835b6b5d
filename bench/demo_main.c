/*
 * demo_main.c - short mixed load on a small fleet, with checks of the results
 *
 * Four services with one VM each. A parish sends look-ups and orders inside its
 * rate, the growers send five times their rate, and a notice board is open to
 * everyone. Each order is sent twice with the same Idempotency-Key, to two
 * nodes.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "bench/operator.h"

#define SERVING_TIMEOUT_MS    15000
#define CALLER_END_TIMEOUT_MS 30000
#define SECONDS		      "4" /* length of the load */
#define SECONDS_NUMBER	      4.0
#define PARISH_PER_S	      "20"
#define GROWERS_PER_S	      "50"
#define NOTICES_PER_S	      "10"
#define GROWERS_RATE	      10.0 /* as in demo.toml */
#define GROWERS_BURST	      20.0
/* minimum served fraction of burst + rate x time */
#define GROWERS_MIN_SERVED 0.8
#define ORDERS		   20
#define ANSWER_BYTES	   1024
#define URL_BYTES	   256
#define N_SERVICES	   4

static const char *const services[N_SERVICES] = { "rota", "orders", "swaps",
						  "notices" };
static const char *const domains[N_SERVICES] = { "dar-a", "dar-b", "dar-c",
						 "dar-d" };

struct demo {
	struct fleet *fleet;
	char parish_key[OPERATOR_KEY_BYTES];
	char growers_key[OPERATOR_KEY_BYTES];
	int n_failed; /**< failed checks */
};

/** Answer to an order. */
struct order_answer {
	long status;
	char outcome[32];
	char reason[32];
	char body[ANSWER_BYTES];
};

static int64_t now_us(void)
{
	return fp_mono_us(fp_system_clock());
}

static void print_check(struct demo *d, bool ok, const char *check,
			const char *text)
{
	printf("  %-28s %-44s %s\n", check, text, ok ? "right" : "WRONG");
	d->n_failed += !ok;
}

/* Set-up. */

static bool start_fleet(struct demo *d)
{
	int64_t until_us;
	char path[64];
	int v, s;

	d->fleet = fleet_init();
	if (!d->fleet || !fleet_add_store(d->fleet))
		return false;
	for (s = 0; s < N_SERVICES; s++) {
		if (!fleet_add_vm(d->fleet, services[s], domains[s], "dar",
				  NULL))
			return false;
	}
	if (fleet_apply(d->fleet, d->fleet->vms[0], "bench/demo.toml") != 0 ||
	    !operator_make_key(d->fleet, "kibosho-parish", d->parish_key) ||
	    !operator_make_key(d->fleet, "njombe-growers", d->growers_key))
		return false;
	until_us = now_us() + SERVING_TIMEOUT_MS * FP_US_PER_MS;
	for (v = 0; v < N_SERVICES; v++) {
		for (s = 0; s < N_SERVICES; s++) {
			snprintf(path, sizeof(path), "/%s/ready", services[s]);
			if (!operator_wait_serving(d->fleet->vms[v], path,
						   d->parish_key, until_us))
				return false;
		}
	}
	return true;
}

/* Callers. */

/** Writes a file with a mix of look-ups; key NULL for the open route. */
static bool write_mix(struct demo *d, const char *name, const char *org,
		      const char *key, char *path, size_t path_bytes)
{
	static const char *const keyed[] = { "/rota/week", "/orders/list",
					     "/swaps/list?nest=/rota/week",
					     NULL };
	static const char *const open[] = { "/notices/week", NULL };
	const char *const *target = key ? keyed : open;
	json_t *mix = json_array();
	char *text;
	bool ok;

	for (; *target; target++) {
		json_t *item =
			json_pack("{s:s, s:s, s:s}", "path", *target, "org",
				  org, "class", key ? "normal" : "sheddable");

		if (key)
			json_object_set_new(item, "key", json_string(key));
		json_array_append_new(mix, item);
	}
	text = json_dumps(mix, 0);
	ok = fleet_write_file(d->fleet, name, text, path, path_bytes);
	free(text);
	json_decref(mix);
	return ok;
}

static struct fleet_process *start_caller(struct demo *d, const char *org,
					  const char *key, const char *rate)
{
	char mix[FLEET_PATH_BYTES], targets[N_SERVICES * 64];
	char name[64], url[URL_BYTES];
	const char *args[] = { "--targets",  targets,	"--rate", rate,
			       "--seconds",  SECONDS,	"--mix",  mix,
			       "--arrivals", "uniform", "--seed", "7",
			       NULL };
	size_t at = 0;
	int v;

	snprintf(name, sizeof(name), "%s.json", org);
	if (!write_mix(d, name, org, key, mix, sizeof(mix)))
		return NULL;
	for (v = 0; v < N_SERVICES; v++) {
		fleet_vm_url(d->fleet->vms[v], FLEET_HTTP, "", url,
			     sizeof(url));
		at += (size_t)snprintf(targets + at, sizeof(targets) - at,
				       "%s%s", v ? "," : "", url);
	}
	return fleet_start(d->fleet, "caller", args);
}

/** Returns the caller's summary of all its requests. */
static json_t *caller_total(struct fleet_process *p)
{
	json_t *total = NULL;
	char *text;
	json_t *j;

	if (!p || !fleet_process_wait(p, CALLER_END_TIMEOUT_MS))
		return json_object();
	text = fleet_read_file(p->log_path);
	j = text ? json_loads(text, 0, NULL) : NULL;
	total = json_incref(json_object_get(j, "total"));
	json_decref(j);
	free(text);
	return total ? total : json_object();
}

static int64_t get_int(const json_t *j, const char *name)
{
	return json_integer_value(json_object_get(j, name));
}

/** Checks that all requests of a caller were completely answered. */
static void check_all_answered(struct demo *d, const char *check,
			       struct fleet_process *p)
{
	json_t *total = caller_total(p);
	int64_t offered = get_int(total, "offered");
	int64_t good = get_int(total, "good");
	char text[128];

	snprintf(text, sizeof(text), "%lld sent, %lld complete answers",
		 (long long)offered, (long long)good);
	print_check(d, offered > 0 && good == offered, check, text);
	json_decref(total);
}

/** Prints the reasons for which a caller's requests were refused or failed. */
static void print_reasons(const json_t *total)
{
	static const char *const kinds[] = { "refused", "failed" };
	const char *reason;
	json_t *n;
	int i;

	for (i = 0; i < 2; i++) {
		json_object_foreach(json_object_get(total, kinds[i]), reason, n)
			printf("  %-28s %s: %lld %s\n", "", kinds[i],
			       (long long)json_integer_value(n), reason);
	}
}

/** Checks that the requests above the rate, and only these, were refused with
 * over-rate. */
static void check_over_rate(struct demo *d, struct fleet_process *p)
{
	double max_served = GROWERS_BURST + GROWERS_RATE * SECONDS_NUMBER;
	json_t *total = caller_total(p);
	int64_t offered = get_int(total, "offered");
	int64_t good = get_int(total, "good");
	int64_t over = get_int(json_object_get(total, "refused"), "over-rate");
	char text[128];

	snprintf(text, sizeof(text), "%lld sent, %lld served, %lld over-rate",
		 (long long)offered, (long long)good, (long long)over);
	print_reasons(total);
	print_check(d,
		    offered > 0 && (double)good <= max_served &&
			    (double)good >= GROWERS_MIN_SERVED * max_served &&
			    good + over == offered,
		    "growers, 5x their rate", text);
	printf("  %-28s at most %.0f = burst %.0f + %.0f/s x %.0f s\n", "",
	       max_served, GROWERS_BURST, GROWERS_RATE, SECONDS_NUMBER);
	json_decref(total);
}

/* Orders. */

static void send_order(struct demo *d, int vm, int order,
		       struct order_answer *out)
{
	char path[64], url[URL_BYTES], auth[OPERATOR_KEY_BYTES + 32], key[64];
	const char *headers[] = { auth, key, NULL };
	struct http_request q = { .method = "POST",
				  .url = url,
				  .headers = headers,
				  .body = "lilies",
				  .body_bytes = strlen("lilies") };
	struct http_answer a;

	snprintf(path, sizeof(path), "/orders/bloom?tag=bloom-%d-", order);
	snprintf(key, sizeof(key), "Idempotency-Key: bloom-%d", order);
	operator_auth_header(d->parish_key, auth, sizeof(auth));
	fleet_vm_url(d->fleet->vms[vm], FLEET_HTTP, path, url, sizeof(url));
	memset(out, 0, sizeof(*out));
	out->status = http_call(&q, &a);
	http_answer_header(&a, "Fulmar-Outcome", out->outcome,
			   sizeof(out->outcome));
	http_answer_header(&a, "Fulmar-Reason", out->reason,
			   sizeof(out->reason));
	if (a.body)
		snprintf(out->body, sizeof(out->body), "%s", a.body);
	http_answer_end(&a);
}

/** Counts the executions of an order that backend servers recorded. */
static int count_runs(struct demo *d, int order)
{
	char tag[64];
	int runs = 0;
	int v;

	snprintf(tag, sizeof(tag), "\"tag\":\"bloom-%d-\"", order);
	for (v = 0; v < d->fleet->n_vms; v++) {
		char *log = fleet_read_file(d->fleet->vms[v]->executions_path);
		char *save = NULL;
		char *line = log ? strtok_r(log, "\n", &save) : NULL;

		for (; line; line = strtok_r(NULL, "\n", &save))
			runs += strstr(line, "\"event\":\"start\"") &&
				strstr(line, tag);
		free(log);
	}
	return runs;
}

/** Whether the outcome of an answer agrees with the number of executions. */
static bool is_outcome_correct(const struct order_answer *a, int runs)
{
	if (strcmp(a->outcome, "ran") == 0)
		return runs == 1;
	if (strcmp(a->outcome, "not-run") == 0)
		return runs == 0;
	return strcmp(a->outcome, "unknown") == 0;
}

static bool is_same_answer(const struct order_answer *a,
			   const struct order_answer *b)
{
	return a->status == 200 && b->status == 200 &&
	       strcmp(a->body, b->body) == 0;
}

static void check_orders(struct demo *d)
{
	int served = 0, same = 0, correct = 0, rerun = 0;
	struct order_answer first, second;
	char text[128];
	int i, runs;

	for (i = 0; i < ORDERS; i++) {
		send_order(d, i % N_SERVICES, i, &first);
		send_order(d, (i + 1) % N_SERVICES, i, &second);
		runs = count_runs(d, i);
		served += first.status == 200;
		rerun += runs > 1;
		if (is_same_answer(&first, &second) && runs == 1)
			same++;
		else if (second.status != 200 &&
			 is_outcome_correct(&second, runs))
			correct++;
	}
	snprintf(text, sizeof(text), "%d sent, %d served", ORDERS, served);
	print_check(d, served == ORDERS, "orders, first time", text);
	snprintf(text, sizeof(text), "%d same answer, %d other correct outcome",
		 same, correct);
	print_check(d, same + correct == ORDERS, "orders, retried", text);
	snprintf(text, sizeof(text), "%d ran more than once", rerun);
	print_check(d, rerun == 0, "orders at backend servers", text);
}

static void check_keys_not_forwarded(struct demo *d)
{
	int seen = 0;
	char text[64];
	int v;

	for (v = 0; v < d->fleet->n_vms; v++) {
		char *log = fleet_read_file(d->fleet->vms[v]->executions_path);

		seen += log && (strstr(log, d->parish_key) ||
				strstr(log, d->growers_key));
		free(log);
	}
	snprintf(text, sizeof(text), "%d of %d received one", seen,
		 d->fleet->n_vms);
	print_check(d, seen == 0, "keys at backend servers", text);
}

static void run_load(struct demo *d)
{
	struct fleet_process *parish, *growers, *notices;

	parish = start_caller(d, "kibosho-parish", d->parish_key, PARISH_PER_S);
	growers = start_caller(d, "njombe-growers", d->growers_key,
			       GROWERS_PER_S);
	notices = start_caller(d, "notice-board", NULL, NOTICES_PER_S);
	check_orders(d);
	check_all_answered(d, "parish, inside its rate", parish);
	check_all_answered(d, "notice board, no key", notices);
	check_over_rate(d, growers);
	check_keys_not_forwarded(d);
}

int main(void)
{
	struct demo d = { 0 };

	printf("demo: %d services, one VM each, two organisations\n",
	       N_SERVICES);
	if (!start_fleet(&d)) {
		if (d.fleet)
			fleet_print_logs(d.fleet);
		printf("demo: cannot start the fleet\n");
		return 1;
	}
	run_load(&d);
	fleet_end(d.fleet);
	if (d.n_failed)
		printf("demo: %d checks failed\n", d.n_failed);
	else
		printf("demo: all checks passed\n");
	return d.n_failed ? 1 : 0;
}
