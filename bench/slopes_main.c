/*
 * slopes_main.c - measures how a node's costs grow with the number of nodes,
 * organisations and calls, and fits lines to the results
 *
 * All values are measured on complete real processes: processor time from the
 * scheduler statistics of each thread, resident memory, bytes and frames from
 * the nodes' counters, store calls as counted by the store stand-in. Sums of
 * bytes and frames over all nodes count each one twice, at its sender and at
 * its receiver.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/clock.h"
#include "bench/calc.h"
#include "bench/fit.h"
#include "bench/operator.h"
#include "bench/usage.h"

#define SETTLE_S	      7 /* after the start of a fleet */
#define IDLE_S		      6 /* length of a measurement without calls */
#define CALLS_S		      6 /* length of a measurement with calls */
#define IN_FORCE_TIMEOUT_MS   20000 /* maximum wait for a revision */
#define CALLER_END_TIMEOUT_MS 30000
#define SERVING_TIMEOUT_MS    15000
#define WAKES_S		      2 /* length of a measurement of idle wake-ups */
#define POLL_US		      10000
#define URL_BYTES	      512
#define ORG_RATE	      100000 /* per second, too high to limit */
#define DOMAINS		      10
#define REGIONS		      3
#define MAX_POINTS	      1024
#define SERIES_BYTES	      48
#define CALL_SLOTS	      100 /* per worker */
#define CALL_MS		      2.0 /* service time of an execution */

/** One measured value; a line is fitted per series and figure. */
struct point {
	char series[SERIES_BYTES]; /**< what is varied: "nodes", "calls", ... */
	char figure[SERIES_BYTES]; /**< what is measured, with its unit */
	/** number of nodes, organisations or hops, or events per second */
	double x;
	double y;
};

static struct point points[MAX_POINTS];
static int n_points;

static int64_t now_us(void)
{
	return fp_mono_us(fp_system_clock());
}

static void add_point(const char *series, const char *figure, double x,
		      double y)
{
	struct point *p = &points[n_points];

	if (n_points == MAX_POINTS)
		abort();
	n_points++;
	snprintf(p->series, sizeof(p->series), "%s", series);
	snprintf(p->figure, sizeof(p->figure), "%s", figure);
	p->x = x;
	p->y = y;
	printf("%-14s %6.0f  %-28s %12.3f\n", series, x, figure, y);
	fflush(stdout);
}

static void read_all(struct fleet *f, struct usage *u)
{
	int v;

	for (v = 0; v < f->n_vms; v++)
		usage_read(f->vms[v], &u[v]);
}

static double load_average(void)
{
	double avg[1] = { 0 };

	return getloadavg(avg, 1) == 1 ? avg[0] : -1;
}

/* Declarations. */

/** Applies declarations; each version has other rates, so that it becomes a new
 * revision. */
static bool declare(struct fleet *f, int orgs, int version)
{
	static const char *const services[] = { "a", "b", "c" };
	char path[FLEET_PATH_BYTES];
	char *text = NULL;
	size_t bytes;
	FILE *out = open_memstream(&text, &bytes);
	bool ok;
	int i;

	if (!out)
		abort();
	for (i = 0; i < orgs; i++)
		fprintf(out,
			"[[organisation]]\nname = \"org-%d\"\n"
			"rate_per_s = %d\nburst = %d\n\n",
			i, ORG_RATE + version, ORG_RATE);
	for (i = 0; i < 3; i++)
		fprintf(out,
			"[[route]]\nname = \"get-%s\"\nmethod = \"GET\"\n"
			"prefix = \"/%s\"\nservice = \"%s\"\n"
			"idempotent = true\n\n"
			"[[route]]\nname = \"post-%s\"\nmethod = \"POST\"\n"
			"prefix = \"/%s\"\nservice = \"%s\"\n"
			"idempotent = false\n\n",
			services[i], services[i], services[i], services[i],
			services[i], services[i]);
	fclose(out);
	ok = fleet_write_file(f, "declarations.toml", text, path,
			      sizeof(path)) &&
	     fleet_apply(f, f->vms[0], path) == 0;
	free(text);
	return ok;
}

static int64_t revision_of(struct fleet_vm *vm)
{
	char *text = usage_metrics(vm);
	int64_t r = metrics_max(text, "fulmar_config_revision", NULL);

	free(text);
	return r;
}

/** Waits until all nodes have a revision greater than above; returns the time
 * since from_us in ms, -1 on timeout. */
static double wait_in_force(struct fleet *f, int64_t above, int64_t from_us)
{
	int v = 0;

	while (v < f->n_vms &&
	       now_us() < from_us + IN_FORCE_TIMEOUT_MS * 1000) {
		if (revision_of(f->vms[v]) > above)
			v++;
		else
			usleep(POLL_US);
	}
	return v < f->n_vms ? -1 : (double)(now_us() - from_us) / 1000;
}

/* Nodes. */

static struct fleet *make_fleet(int nodes)
{
	const struct fleet_vm_opts opts = { .no_backend = true };
	struct fleet *f = fleet_init();
	char domain[16], region[16];
	int i;

	if (!f || !fleet_add_store(f))
		return f;
	for (i = 0; i < nodes; i++) {
		snprintf(domain, sizeof(domain), "d%d", i % DOMAINS);
		snprintf(region, sizeof(region), "r%d", i % DOMAINS % REGIONS);
		if (!fleet_add_vm(f, "a", domain, region, &opts))
			return f;
	}
	return f;
}

static void add_nodes_points(struct fleet *f, const struct usage *a,
			     const struct usage *b)
{
	double cpu = 0, control = 0, wakes = 0, rss = 0, bytes = 0, links = 0;
	double max_cpu = 0, max_rss = 0, max_bytes = 0;
	int n = f->n_vms;
	int v;

	for (v = 0; v < n; v++) {
		double seconds = usage_seconds(&a[v], &b[v]);
		double cpu_percent =
			(b[v].cpu_us - a[v].cpu_us) / seconds / 1e4;
		double bytes_per_s =
			(b[v].datagram_bytes - a[v].datagram_bytes +
			 b[v].control_bytes - a[v].control_bytes +
			 b[v].call_bytes - a[v].call_bytes) /
			seconds;

		cpu += cpu_percent / n;
		control +=
			(b[v].control_us - a[v].control_us) / seconds / 1e4 / n;
		wakes += (b[v].wakes - a[v].wakes) / seconds / n;
		rss += b[v].rss_kb / n;
		bytes += bytes_per_s / n;
		links += b[v].links / n;
		max_cpu = cpu_percent > max_cpu ? cpu_percent : max_cpu;
		max_rss = b[v].rss_kb > max_rss ? b[v].rss_kb : max_rss;
		max_bytes = bytes_per_s > max_bytes ? bytes_per_s : max_bytes;
	}
	add_point("nodes", "cpu percent of a core, mean", n, cpu);
	add_point("nodes", "cpu percent, control thread", n, control);
	add_point("nodes", "wake-ups/s, mean", n, wakes);
	add_point("nodes", "cpu percent of a core, max", n, max_cpu);
	add_point("nodes", "rss KB, mean", n, rss);
	add_point("nodes", "rss KB, max", n, max_rss);
	add_point("nodes", "bytes/s both ways, mean", n, bytes);
	add_point("nodes", "bytes/s both ways, max", n, max_bytes);
	add_point("nodes", "links, mean", n, links);
}

static bool run_nodes(int nodes)
{
	struct usage a[FLEET_MAX_VMS], b[FLEET_MAX_VMS];
	int64_t start_us = now_us();
	struct fleet *f = make_fleet(nodes);
	bool ok = f && f->n_vms == nodes && declare(f, 8, 0);
	int64_t at_us, calls;
	double seconds;

	if (ok) {
		calls = fleet_store_count(f, "total");
		add_point("nodes", "start s, one by one", nodes,
			  (double)(now_us() - start_us) / 1e6);
		sleep(SETTLE_S);
		add_point("nodes", "load average", nodes, load_average());
		add_point("nodes", "store calls while starting", nodes,
			  (double)calls);
		calls = fleet_store_count(f, "total");
		at_us = now_us();
		read_all(f, a);
		sleep(IDLE_S);
		read_all(f, b);
		seconds = (double)(now_us() - at_us) / 1e6;
		add_point("nodes", "store calls/s, fleet", nodes,
			  (double)(fleet_store_count(f, "total") - calls) /
				  seconds);
		add_nodes_points(f, a, b);
		calls = revision_of(f->vms[0]);
		at_us = now_us();
		ok = declare(f, 8, 1);
		add_point("nodes", "change in force ms, all", nodes,
			  wait_in_force(f, calls, at_us));
	}
	if (f)
		fleet_end(f);
	return ok;
}

/* Organisations. */

static bool run_orgs(struct fleet *f, int orgs, int version)
{
	struct usage a[FLEET_MAX_VMS], b[FLEET_MAX_VMS];
	int64_t rev = revision_of(f->vms[0]);
	int64_t at_us = now_us();
	char url[URL_BYTES];
	double ms;
	char *text;

	read_all(f, a);
	if (!declare(f, orgs, version))
		return false;
	ms = wait_in_force(f, rev, at_us);
	read_all(f, b);
	fleet_vm_url(f->vms[0], FLEET_ADMIN, "/v1/config", url, sizeof(url));
	text = usage_get_body(url, f->operator_key);
	add_point("organisations", "record bytes", orgs,
		  text ? (double)strlen(text) : -1);
	free(text);
	add_point("organisations", "apply to in force ms, all", orgs, ms);
	add_point("organisations", "cpu ms of an apply, asked", orgs,
		  (b[0].cpu_us - a[0].cpu_us) / 1000);
	add_point("organisations", "cpu ms of an apply, other", orgs,
		  (b[2].cpu_us - a[2].cpu_us) / 1000);
	sleep(1);
	add_point("organisations", "rss KB", orgs,
		  usage_rss_kb(f->vms[2]->node.pid));
	return ms >= 0;
}

static bool run_all_orgs(void)
{
	static const int sizes[] = { 8, 64, 256, 1024 };
	struct fleet *f = make_fleet(4);
	bool ok = f && f->n_vms == 4;
	size_t i;

	if (ok)
		sleep(2);
	for (i = 0; ok && i < sizeof(sizes) / sizeof(sizes[0]); i++)
		ok = run_orgs(f, sizes[i], (int)i);
	if (f)
		fleet_end(f);
	return ok;
}

/* Calls. */

struct calls_run {
	const char *series;
	const char *method;
	const char *path;
	double x;
	double rate;
	bool direct; /**< to the backend server, not through a node */
};

static bool write_mix(struct fleet *f, const struct calls_run *c,
		      const char *key, char *path, size_t path_bytes)
{
	bool post = strcmp(c->method, "POST") == 0;
	json_t *item = json_pack("{s:f, s:s, s:s, s:s, s:s, s:s, s:b}",
				 "weight", 1.0, "method", c->method, "path",
				 c->path, "key", key, "class", "normal", "org",
				 "org-0", "idempotency", post);
	json_t *mix = json_array();
	char *text;
	bool ok;

	if (post)
		json_object_set_new(item, "body", json_string("order"));
	json_array_append_new(mix, item);
	text = json_dumps(mix, JSON_COMPACT);
	ok = fleet_write_file(f, "mix.json", text, path, path_bytes);
	free(text);
	json_decref(mix);
	return ok;
}

static bool run_caller(struct fleet *f, const struct calls_run *c,
		       const char *key, struct samples *s)
{
	char target[URL_BYTES], phase[64], mix[FLEET_PATH_BYTES], seed[32];
	char out[FLEET_PATH_BYTES];
	const char *args[] = { "--targets",    target, "--phase",   phase,
			       "--mix",	       mix,    "--seed",    seed,
			       "--timeout-ms", "4000", "--retries", "0",
			       "--out",	       out,    NULL };
	struct fleet_process *p;

	if (c->direct)
		fleet_vm_url(f->vms[1], FLEET_BACKEND, "", target,
			     sizeof(target));
	else
		fleet_vm_url(f->vms[0], FLEET_HTTP, "", target, sizeof(target));
	snprintf(phase, sizeof(phase), "%g:%d", c->rate, CALLS_S);
	snprintf(seed, sizeof(seed), "%d", 1000 + f->n_started);
	snprintf(out, sizeof(out), "%.400s/caller.csv", f->dir);
	if (!write_mix(f, c, key, mix, sizeof(mix)))
		return false;
	p = fleet_start(f, "caller", args);
	return fleet_process_wait(p, CALLER_END_TIMEOUT_MS) &&
	       fleet_process_exit_code(p) == 0 && samples_read(s, out);
}

static void add_calls_points(const struct calls_run *c, const struct samples *s,
			     const struct usage *a, const struct usage *b,
			     int n)
{
	struct served_counts counts =
		samples_count(s, 0, CALLS_S * 1000000, NULL, NULL);
	double cpu = 0, call_bytes = 0, control_bytes = 0, call_frames = 0;
	double control_frames = 0, claims = 0, claims_bytes = 0,
	       slice_owners_cpu = 0;
	double seconds = usage_seconds(&a[0], &b[0]);
	int v;

	for (v = 0; v < n; v++) {
		cpu += (b[v].cpu_us - a[v].cpu_us) / seconds;
		call_bytes += (b[v].call_bytes - a[v].call_bytes) / seconds;
		control_bytes +=
			(b[v].control_bytes - a[v].control_bytes) / seconds;
		call_frames += (b[v].call_frames - a[v].call_frames) / seconds;
		control_frames +=
			(b[v].control_frames - a[v].control_frames) / seconds;
		claims += b[v].claims - a[v].claims;
		claims_bytes += b[v].claims_bytes - a[v].claims_bytes;
	}
	/* The last two nodes receive no calls; they only own slices. */
	for (v = n - 2; v < n; v++)
		slice_owners_cpu += (b[v].cpu_us - a[v].cpu_us) / seconds;
	add_point(c->series, "load average", c->x, load_average());
	add_point(c->series, "good share", c->x, served_fraction(counts));
	add_point(c->series, "entry cpu us/s", c->x,
		  (b[0].cpu_us - a[0].cpu_us) / seconds);
	add_point(c->series, "worker a cpu us/s", c->x,
		  (b[1].cpu_us - a[1].cpu_us) / seconds);
	add_point(c->series, "two other nodes cpu us/s", c->x,
		  slice_owners_cpu);
	add_point(c->series, "all nodes cpu us/s", c->x, cpu);
	add_point(c->series, "call bytes/s, counted twice", c->x, call_bytes);
	add_point(c->series, "call frames/s, twice", c->x, call_frames);
	add_point(c->series, "control bytes/s, twice", c->x, control_bytes);
	add_point(c->series, "control frames/s, twice", c->x, control_frames);
	add_point(c->series, "claims kept", c->x, claims);
	add_point(c->series, "claims bytes", c->x, claims_bytes);
	add_point(c->series, "entry added us, mean", c->x,
		  b[0].added > a[0].added ? (b[0].added_us - a[0].added_us) /
						    (b[0].added - a[0].added) :
					    -1);
	add_point(c->series, "latency us p50", c->x,
		  (double)samples_quantile_us(s, 1000000, CALLS_S * 1000000,
					      0.5));
	add_point(c->series, "latency us p99", c->x,
		  (double)samples_quantile_us(s, 1000000, CALLS_S * 1000000,
					      0.99));
}

static bool run_calls(struct fleet *f, const struct calls_run *c,
		      const char *key)
{
	struct usage a[FLEET_MAX_VMS], b[FLEET_MAX_VMS];
	struct samples s = { 0 };
	bool ok;

	read_all(f, a);
	ok = run_caller(f, c, key, &s);
	read_all(f, b);
	if (ok)
		add_calls_points(c, &s, a, b, f->n_vms);
	samples_end(&s);
	return ok;
}

/** An entry node, a worker of each of three services, two nodes without
 * calls. */
static struct fleet *make_calls_fleet(void)
{
	static const char *const services[] = { "entry", "a",	  "b",
						"c",	 "spare", "spare" };
	struct fleet_vm_opts opts = { .slots = CALL_SLOTS,
				      .service_ms = CALL_MS };
	struct fleet *f = fleet_init();
	char domain[16];
	int i;

	if (!f || !fleet_add_store(f))
		return f;
	for (i = 0; i < 6; i++) {
		opts.no_backend = i == 0 || i > 3;
		snprintf(domain, sizeof(domain), "d%d", i % 3);
		if (!fleet_add_vm(f, services[i], domain, "r0", &opts))
			return f;
	}
	return f;
}

static bool run_all_calls(void)
{
	static const struct calls_run runs[] = {
		{ "direct", "GET", "/a/x", 100, 100, true },
		{ "direct", "GET", "/a/x", 400, 400, true },
		{ "calls", "GET", "/a/x", 100, 100, false },
		{ "calls", "GET", "/a/x", 200, 200, false },
		{ "calls", "GET", "/a/x", 400, 400, false },
		{ "calls", "GET", "/a/x", 800, 800, false },
		{ "depth", "GET", "/a/x", 1, 100, false },
		{ "depth", "GET", "/a/x?nest=/b/x%3E/c/x", 3, 100, false },
		{ "depth", "GET", "/a/x?nest=/b/x%3E/c/x%3E/a/x%3E/b/x%3E/c/x",
		  6, 100, false },
		{ "claims", "POST", "/a/x", 50, 50, false },
		{ "claims", "POST", "/a/x", 100, 100, false },
		{ "claims", "POST", "/a/x", 200, 200, false },
		{ "claims", "POST", "/a/x", 400, 400, false },
	};
	struct fleet *f = make_calls_fleet();
	char key[OPERATOR_KEY_BYTES];
	bool ok = f && f->n_vms == 6 && declare(f, 8, 0) &&
		  operator_make_key(f, "org-0", key) &&
		  operator_wait_serving(f->vms[0], "/a/x", key,
					now_us() + SERVING_TIMEOUT_MS * 1000) &&
		  operator_wait_serving(f->vms[0], "/b/x", key,
					now_us() + SERVING_TIMEOUT_MS * 1000) &&
		  operator_wait_serving(f->vms[0], "/c/x", key,
					now_us() + SERVING_TIMEOUT_MS * 1000);
	size_t i;

	if (ok)
		sleep(SETTLE_S);
	for (i = 0; ok && i < sizeof(runs) / sizeof(runs[0]); i++)
		ok = run_calls(f, &runs[i], key);
	if (f)
		fleet_end(f);
	return ok;
}

/* Processor time of wake-ups without any work, on this machine. */

static void run_wakes(int per_s)
{
	struct usage a, b;
	int i;

	usage_read_cpu(getpid(), &a);
	a.at_us = now_us();
	for (i = 0; i < per_s * WAKES_S; i++)
		usleep((useconds_t)(1000000 / per_s));
	usage_read_cpu(getpid(), &b);
	b.at_us = now_us();
	add_point("empty-wakes", "cpu us/s",
		  (b.wakes - a.wakes) / usage_seconds(&a, &b),
		  (b.cpu_us - a.cpu_us) / usage_seconds(&a, &b));
}

/* Line fits. */

/** Fits a line through all points with the series and figure of point first;
 *  prints nothing if an earlier point has them. */
static void print_fit(int first)
{
	double x[MAX_POINTS], y[MAX_POINTS];
	const struct point *p = &points[first];
	struct fit f;
	size_t n = 0;
	int i;

	for (i = 0; i < n_points; i++) {
		if (strcmp(points[i].series, p->series) ||
		    strcmp(points[i].figure, p->figure))
			continue;
		if (i < first)
			return;
		x[n] = points[i].x;
		y[n++] = points[i].y;
	}
	if (fit_line(x, y, n, &f))
		printf("%-14s %-28s %14.4f %14.6f %6.3f\n", p->series,
		       p->figure, f.intercept, f.slope, f.r2);
}

static void print_fits(void)
{
	int i;

	printf("\n%-14s %-28s %14s %14s %6s\n", "series", "figure", "intercept",
	       "slope", "r2");
	for (i = 0; i < n_points; i++)
		print_fit(i);
}

static bool write_csv(const char *dir)
{
	char path[URL_BYTES];
	FILE *out;
	int i;

	mkdir(dir, 0755);
	snprintf(path, sizeof(path), "%.400s/slopes.csv", dir);
	out = fopen(path, "w");
	if (!out)
		return false;
	fprintf(out, "series,figure,x,y\n");
	for (i = 0; i < n_points; i++)
		fprintf(out, "%s,\"%s\",%g,%g\n", points[i].series,
			points[i].figure, points[i].x, points[i].y);
	return fclose(out) == 0;
}

int main(int argc, char **argv)
{
	static const int sizes[] = { 4, 8, 16, 32, 64 };
	static const int wakes[] = { 10, 50, 100, 200 };
	bool ok = true;
	size_t i;

	if (argc != 2) {
		fprintf(stderr, "usage: slopes OUT-DIRECTORY\n");
		return 2;
	}
	for (i = 0; i < sizeof(wakes) / sizeof(wakes[0]); i++)
		run_wakes(wakes[i]);
	ok = run_all_calls() && ok;
	ok = run_all_orgs() && ok;
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		ok = run_nodes(sizes[i]) && ok;
	print_fits();
	return write_csv(argv[1]) && ok ? 0 : 1;
}
