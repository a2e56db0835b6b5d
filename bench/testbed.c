/* testbed.c - a fleet of one deployment, and load runs on it */
#include "bench/testbed.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/clock.h"
#include "bench/operator.h"

#define CALLERS		      4 /* processes that generate the load together */
#define CALLER_END_TIMEOUT_MS 60000
#define SERVING_TIMEOUT_MS    15000 /* until each node reaches each service */
#define IDLE_TIMEOUT_MS	      1500 /* maximum wait for running executions */
#define PAUSE_US	      300000 /* pause between two runs */
#define LOG_TAIL_BYTES	      300 /* printed end of an ended process's log */
#define POLL_US		      20000
#define TIMEOUT_DEADLINES     2 /* caller timeout, multiple of the deadline */
#define URL_BYTES	      512
#define TARGETS_BYTES	      4096
#define CPU_TICKS_PER_S	      ((double)sysconf(_SC_CLK_TCK))

static int64_t now_us(void)
{
	return fp_mono_us(fp_system_clock());
}

/* Set-up. */

bool testbed_declare(struct testbed *b, double rate_total)
{
	char *text = deployment_declarations(b->d, rate_total);
	char path[FLEET_PATH_BYTES];
	bool ok;

	ok = fleet_write_file(b->fleet, "declarations.toml", text, path,
			      sizeof(path)) &&
	     fleet_apply(b->fleet, b->fleet->vms[0], path) == 0;
	if (!ok)
		fprintf(stderr, "bench: cannot apply the declarations\n");
	free(text);
	return ok;
}

static bool add_vms(struct testbed *b, double service_ms, int64_t seed)
{
	const struct deployment *d = b->d;
	struct fleet_vm_opts opts = {
		.overload_off = !b->on,
		.service_ms = service_ms > 0 ? service_ms : d->service_ms,
		.exponential = true,
	};
	int s, w;

	for (s = 0; s < DEPLOYMENT_SERVICES; s++) {
		opts.slots = d->services[s].slots;
		for (w = 0; w < d->services[s].workers; w++) {
			opts.seed = (int)seed * 100 + b->fleet->n_vms;
			if (!fleet_add_vm(b->fleet, d->services[s].name,
					  d->domains[w % d->n_domains],
					  d->region, &opts))
				return false;
		}
	}
	return true;
}

static bool wait_all_serving(struct testbed *b)
{
	int64_t until_us = now_us() + SERVING_TIMEOUT_MS * FP_US_PER_MS;
	char path[128];
	int v, s;

	for (v = 0; v < b->fleet->n_vms; v++) {
		for (s = 0; s < DEPLOYMENT_SERVICES; s++) {
			snprintf(path, sizeof(path), "/%s/call?ms=1",
				 b->d->services[s].name);
			if (!operator_wait_serving(b->fleet->vms[v], path,
						   b->keys[0], until_us))
				return false;
		}
	}
	return true;
}

bool testbed_init(struct testbed *b, const struct deployment *d, bool on,
		  double service_ms, double rate_total, int64_t seed)
{
	int i;

	*b = (struct testbed){ .d = d, .on = on, .fleet = fleet_init() };
	if (!b->fleet || !fleet_add_store(b->fleet) ||
	    !add_vms(b, service_ms, seed) || !testbed_declare(b, rate_total))
		return false;
	for (i = 0; i < DEPLOYMENT_ORGS; i++) {
		if (!operator_make_key(b->fleet, d->orgs[i].name, b->keys[i]))
			return false;
	}
	return wait_all_serving(b);
}

void testbed_end(struct testbed *b)
{
	if (b->fleet)
		fleet_end(b->fleet);
	b->fleet = NULL;
}

void testbed_slow(struct testbed *b, int service, double factor)
{
	const char *name = b->d->services[service].name;
	size_t n = strlen(name);
	char json[64];
	int v;

	snprintf(json, sizeof(json), "{\"slow_factor\": %g}", factor);
	for (v = 0; v < b->fleet->n_vms; v++) {
		struct fleet_vm *vm = b->fleet->vms[v];

		if (strncmp(vm->name, name, n) == 0 && vm->name[n] == '-')
			fleet_backend_control(vm, json);
	}
}

/* Counters of the processes. */

/** Returns the body of a GET response, malloc'd; NULL on failure. */
static char *get_text(const char *url)
{
	struct http_request q = { .url = url };
	struct http_answer a;
	char *text = NULL;

	if (http_call(&q, &a) == 200 && a.body)
		text = strdup(a.body);
	http_answer_end(&a);
	return text;
}

static char *read_metrics(struct testbed *b)
{
	char *all = NULL;
	size_t bytes;
	FILE *out = open_memstream(&all, &bytes);
	char url[URL_BYTES];
	char *text;
	int v;

	if (!out)
		abort();
	for (v = 0; v < b->fleet->n_vms; v++) {
		fleet_vm_url(b->fleet->vms[v], FLEET_ADMIN, "/metrics", url,
			     sizeof(url));
		text = get_text(url);
		if (text)
			fprintf(out, "%s\n", text);
		free(text);
	}
	fclose(out);
	return all;
}

/** Returns the processor time that a process has used, seconds. */
static double cpu_seconds(pid_t pid)
{
	unsigned long user = 0, system = 0;
	char path[64];
	FILE *in;

	snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
	in = fopen(path, "r");
	if (!in)
		return 0;
	if (fscanf(in,
		   "%*d (%*[^)]) %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u "
		   "%lu %lu",
		   &user, &system) != 2)
		user = system = 0;
	fclose(in);
	return (double)(user + system) / CPU_TICKS_PER_S;
}

static void read_cpu(struct testbed *b, double *cpu)
{
	int v;

	for (v = 0; v < b->fleet->n_vms; v++)
		cpu[v] = cpu_seconds(b->fleet->vms[v]->node.pid);
}

/** Reads the current size of each execution log. */
static void read_log_sizes(struct testbed *b, long *offsets)
{
	struct stat st;
	int v;

	for (v = 0; v < b->fleet->n_vms; v++)
		offsets[v] = stat(b->fleet->vms[v]->executions_path, &st) == 0 ?
				     (long)st.st_size :
				     0;
}

/** Reads a file from an offset to its end; malloc'd text, NULL on failure. */
static char *read_from(const char *path, long offset)
{
	FILE *in = fopen(path, "r");
	char *text = NULL;
	size_t bytes = 0;

	if (!in)
		return NULL;
	if (fseek(in, offset, SEEK_SET) != 0 ||
	    getdelim(&text, &bytes, '\0', in) < 0) {
		free(text);
		text = NULL;
	}
	fclose(in);
	return text;
}

/** Returns the service of a VM; add_vms() adds them service by service. */
static int service_of(const struct testbed *b, int vm)
{
	int s;

	for (s = 0; s < DEPLOYMENT_SERVICES; s++) {
		vm -= b->d->services[s].workers;
		if (vm < 0)
			return s;
	}
	return DEPLOYMENT_SERVICES - 1;
}

static void count_executions(struct testbed *b, const long *offsets,
			     struct run_record *r)
{
	struct root_set *roots = root_set_init();
	int v;

	for (v = 0; v < b->fleet->n_vms; v++) {
		char *text = read_from(b->fleet->vms[v]->executions_path,
				       offsets[v]);

		r->starts[service_of(b, v)] += root_set_add_log(roots, text);
		free(text);
	}
	r->roots = root_set_count(roots);
	root_set_end(roots);
}

static int64_t count_unfinished(struct testbed *b)
{
	char url[URL_BYTES];
	int64_t unfinished = 0;
	int v;

	for (v = 0; v < b->fleet->n_vms; v++) {
		json_t *j;
		char *text;

		fleet_vm_url(b->fleet->vms[v], FLEET_BACKEND, "/ctl/stats", url,
			     sizeof(url));
		text = get_text(url);
		j = text ? json_loads(text, 0, NULL) : NULL;
		unfinished +=
			json_integer_value(json_object_get(j, "running")) +
			json_integer_value(json_object_get(j, "waiting"));
		json_decref(j);
		free(text);
	}
	return unfinished;
}

/** Waits until the backend servers are idle, then pauses. */
static void wait_idle(struct testbed *b)
{
	int64_t until_us = now_us() + IDLE_TIMEOUT_MS * FP_US_PER_MS;

	while (count_unfinished(b) > 0 && now_us() < until_us)
		usleep(POLL_US);
	usleep(PAUSE_US);
}

/* Processes that ended unexpectedly. */

static void print_ended_process(const struct fleet_process *p)
{
	char *text = fleet_read_file(p->log_path);
	size_t n = text ? strlen(text) : 0;

	fprintf(stderr, "bench: %s ended, status %d, end of its log:\n%s\n",
		p->name, p->exit_status,
		n > LOG_TAIL_BYTES ? text + n - LOG_TAIL_BYTES :
		n		   ? text :
				     "");
	free(text);
}

static int count_ended(struct testbed *b)
{
	int ended = 0;
	int v;

	for (v = 0; v < b->fleet->n_vms; v++) {
		struct fleet_process *p[] = { &b->fleet->vms[v]->node,
					      &b->fleet->vms[v]->backend };
		int i;

		for (i = 0; i < 2; i++) {
			if (fleet_process_is_running(p[i]))
				continue;
			print_ended_process(p[i]);
			ended++;
		}
	}
	return ended;
}

bool testbed_restart_ended(struct testbed *b)
{
	bool ended = false;
	int v;

	for (v = 0; v < b->fleet->n_vms; v++) {
		struct fleet_vm *vm = b->fleet->vms[v];

		if (!fleet_process_is_running(&vm->node)) {
			ended = true;
			if (!fleet_restart_node(vm))
				return false;
		}
		if (!fleet_process_is_running(&vm->backend)) {
			ended = true;
			if (!fleet_restart_backend(vm))
				return false;
		}
	}
	return !ended || wait_all_serving(b);
}

/* Callers. */

static bool write_mix(struct testbed *b, const struct load *l, char *path,
		      size_t path_bytes)
{
	json_t *mix = json_array();
	char target[URL_BYTES];
	char *text;
	bool ok;
	int k, o;

	for (k = 0; k < l->n_kinds; k++) {
		const struct request_kind *kind = &l->kinds[k];

		deployment_target(b->d, kind, l->nested_retries, target,
				  sizeof(target));
		for (o = 0; o < DEPLOYMENT_ORGS; o++) {
			json_t *item = json_pack(
				"{s:f, s:s, s:s, s:s, s:s, s:s, s:b}", "weight",
				l->kind_weight[k] * l->org_weight[o], "method",
				kind->method, "path", target, "key", b->keys[o],
				"class", kind->class_name, "org",
				b->d->orgs[o].name, "idempotency",
				!kind->idempotent);

			if (strcmp(kind->method, "POST") == 0)
				json_object_set_new(item, "body",
						    json_string("order"));
			json_array_append_new(mix, item);
		}
	}
	text = json_dumps(mix, JSON_COMPACT);
	ok = fleet_write_file(b->fleet, "mix.json", text, path, path_bytes);
	free(text);
	json_decref(mix);
	return ok;
}

/** Writes the list of all nodes; each caller's list starts at a different
 * one. */
static void format_targets(struct testbed *b, int caller, char *out,
			   size_t bytes)
{
	int n = b->fleet->n_vms;
	char url[URL_BYTES];
	size_t at = 0;
	int v;

	for (v = 0; v < n; v++) {
		int i = (v + caller * n / CALLERS) % n;

		fleet_vm_url(b->fleet->vms[i], FLEET_HTTP, "", url,
			     sizeof(url));
		at += (size_t)snprintf(out + at, bytes - at, "%s%s",
				       v ? "," : "", url);
	}
}

static void format_phases(const struct load *l, char *out, size_t bytes)
{
	size_t at = 0;
	int i;

	for (i = 0; i < l->n_phases; i++)
		at += (size_t)snprintf(
			out + at, bytes - at, "%s%g:%g", i ? "," : "",
			l->phases[i].rate / CALLERS, l->phases[i].seconds);
}

static struct fleet_process *start_caller(struct testbed *b,
					  const struct load *l, int caller,
					  const char *mix, const char *out)
{
	char targets[TARGETS_BYTES], phases[256], seed[32], retries[16];
	char delay[16], timeout[32];
	const char *args[] = { "--targets",
			       targets,
			       "--phase",
			       phases,
			       "--mix",
			       mix,
			       "--seed",
			       seed,
			       "--retries",
			       retries,
			       "--retry-delay-ms",
			       delay,
			       "--retry-on",
			       "refused,failed",
			       "--timeout-ms",
			       timeout,
			       "--out",
			       out,
			       NULL };

	format_targets(b, caller, targets, sizeof(targets));
	format_phases(l, phases, sizeof(phases));
	/* Request tags begin with the seed, so each caller of each run needs a
	 * different one. */
	snprintf(seed, sizeof(seed), "%lld",
		 (long long)(l->seed * 1000 + b->fleet->n_started));
	snprintf(retries, sizeof(retries), "%d", l->retries);
	snprintf(delay, sizeof(delay), "%d", l->retry_delay_ms);
	snprintf(timeout, sizeof(timeout), "%lld",
		 (long long)b->d->deadline_ms * TIMEOUT_DEADLINES);
	return fleet_start(b->fleet, "caller", args);
}

static int64_t read_lag_us(const struct fleet_process *p)
{
	char *text = fleet_read_file(p->log_path);
	json_t *j = text ? json_loads(text, 0, NULL) : NULL;
	int64_t lag_us = json_integer_value(json_object_get(j, "max_lag_us"));

	json_decref(j);
	free(text);
	return lag_us;
}

static void run_events(struct testbed *b, const struct run_event *events, int n)
{
	int64_t start_us = now_us();
	int i;

	for (i = 0; i < n; i++) {
		int64_t at_us = start_us + (int64_t)(events[i].at_s * 1e6);
		int64_t now = now_us();

		if (at_us > now)
			usleep((useconds_t)(at_us - now));
		events[i].act(b, events[i].arg);
	}
}

/** Starts all callers and waits for them; false when one fails. */
static bool run_callers(struct testbed *b, const struct load *l,
			const struct run_event *events, int n_events,
			struct run_record *r)
{
	char out[CALLERS][FLEET_PATH_BYTES];
	struct fleet_process *p[CALLERS];
	char mix[FLEET_PATH_BYTES];
	bool ok = true;
	int i;

	if (!write_mix(b, l, mix, sizeof(mix)))
		return false;
	for (i = 0; i < CALLERS; i++) {
		snprintf(out[i], sizeof(out[i]), "%.400s/caller-%d.csv",
			 b->fleet->dir, i);
		p[i] = start_caller(b, l, i, mix, out[i]);
	}
	run_events(b, events, n_events);
	for (i = 0; i < CALLERS; i++) {
		int64_t lag_us;

		ok &= fleet_process_wait(p[i], CALLER_END_TIMEOUT_MS) &&
		      fleet_process_exit_code(p[i]) == 0 &&
		      samples_read(&r->samples, out[i]);
		lag_us = read_lag_us(p[i]);
		if (lag_us > r->max_lag_us)
			r->max_lag_us = lag_us;
	}
	return ok;
}

bool testbed_run(struct testbed *b, const struct load *l,
		 const struct run_event *events, int n_events,
		 struct run_record *r)
{
	double before[FLEET_MAX_VMS], after[FLEET_MAX_VMS];
	long offsets[FLEET_MAX_VMS];
	int64_t start_us;
	double wall_s;
	bool ok;
	int v;

	*r = (struct run_record){ 0 };
	wait_idle(b);
	read_log_sizes(b, offsets);
	r->metrics_before = read_metrics(b);
	r->store_calls = -fleet_store_count(b->fleet, "total");
	read_cpu(b, before);
	start_us = now_us();
	ok = run_callers(b, l, events, n_events, r);
	wall_s = (double)(now_us() - start_us) / 1e6;
	read_cpu(b, after);
	r->store_calls += fleet_store_count(b->fleet, "total");
	r->metrics_after = read_metrics(b);
	for (v = 0; v < b->fleet->n_vms; v++) {
		double cores = (after[v] - before[v]) / wall_s;

		r->nodes_cpu += cores;
		if (cores > r->node_cpu)
			r->node_cpu = cores;
	}
	count_executions(b, offsets, r);
	r->died = count_ended(b);
	return ok;
}

void run_record_end(struct run_record *r)
{
	samples_end(&r->samples);
	free(r->metrics_before);
	free(r->metrics_after);
}
