/* usage.c - resource usage of a node, from the kernel and from its counters */
#include "bench/usage.h"

#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "bench/calc.h"
#include "bench/operator.h"

#define URL_BYTES      512
#define MAX_THREADS    16
#define CONTROL_THREAD 2 /* in order of creation: main, traffic, control */

static int64_t now_us(void)
{
	return fp_mono_us(fp_system_clock());
}

/** Returns a thread's processor time, microseconds; adds the number of times
 * that it was scheduled to *wakes. */
static double read_thread(const char *path, double *wakes)
{
	double ns = 0, wait_ns, runs = 0;
	FILE *in = fopen(path, "r");

	if (!in)
		return 0;
	if (fscanf(in, "%lf %lf %lf", &ns, &wait_ns, &runs) != 3)
		ns = runs = 0;
	fclose(in);
	*wakes += runs;
	return ns / 1000;
}

static int compare_ints(const void *a, const void *b)
{
	return *(const int *)a - *(const int *)b;
}

/** Lists the threads of a process in order of creation. */
static int list_threads(pid_t pid, int *tids, int max_tids)
{
	char path[64];
	struct dirent *e;
	int n = 0;
	DIR *d;

	snprintf(path, sizeof(path), "/proc/%d/task", (int)pid);
	d = opendir(path);
	while (d && n < max_tids && (e = readdir(d))) {
		if (e->d_name[0] != '.')
			tids[n++] = atoi(e->d_name);
	}
	if (d)
		closedir(d);
	qsort(tids, (size_t)n, sizeof(*tids), compare_ints);
	return n;
}

void usage_read_cpu(pid_t pid, struct usage *u)
{
	int tids[MAX_THREADS];
	int n = list_threads(pid, tids, MAX_THREADS);
	char path[96];
	int i;

	u->cpu_us = u->wakes = 0;
	for (i = 0; i < n; i++) {
		double us;

		snprintf(path, sizeof(path), "/proc/%d/task/%d/schedstat",
			 (int)pid, tids[i]);
		us = read_thread(path, &u->wakes);
		u->cpu_us += us;
		if (i == CONTROL_THREAD)
			u->control_us = us;
	}
}

double usage_rss_kb(pid_t pid)
{
	char path[64], line[256];
	double kb = 0;
	FILE *in;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	in = fopen(path, "r");
	while (in && fgets(line, sizeof(line), in)) {
		if (sscanf(line, "VmRSS: %lf", &kb) == 1)
			break;
	}
	if (in)
		fclose(in);
	return kb;
}

static double sum_in_and_out(const char *text, const char *name,
			     const char *label)
{
	char in[64], out[64];

	snprintf(in, sizeof(in), "%s_in_total", name);
	snprintf(out, sizeof(out), "%s_out_total", name);
	return (double)(metrics_sum(text, in, label) +
			metrics_sum(text, out, label));
}

char *usage_get_body(const char *url, const char *key)
{
	char auth[OPERATOR_KEY_BYTES + 32];
	const char *headers[] = { auth, NULL };
	struct http_request q = { .url = url, .headers = headers };
	struct http_answer a;
	char *text = NULL;

	operator_auth_header(key ? key : "", auth, sizeof(auth));
	if (!key)
		q.headers = NULL;
	if (http_call(&q, &a) == 200 && a.body)
		text = strdup(a.body);
	http_answer_end(&a);
	return text;
}

char *usage_metrics(struct fleet_vm *vm)
{
	char url[URL_BYTES];

	fleet_vm_url(vm, FLEET_ADMIN, "/metrics", url, sizeof(url));
	return usage_get_body(url, NULL);
}

void usage_read(struct fleet_vm *vm, struct usage *u)
{
	static const char control[] = "net=\"control\"";
	char *text;

	/* Read before the request for the metrics, which uses processor time as
	 * well. */
	u->at_us = now_us();
	usage_read_cpu(vm->node.pid, u);
	u->rss_kb = usage_rss_kb(vm->node.pid);
	text = usage_metrics(vm);
	u->datagram_bytes = sum_in_and_out(text, "fulmar_datagram_bytes", NULL);
	u->control_bytes = sum_in_and_out(text, "fulmar_peer_bytes", control);
	u->call_bytes = sum_in_and_out(text, "fulmar_peer_bytes", NULL) -
			u->control_bytes;
	u->control_frames = sum_in_and_out(text, "fulmar_peer_frames", control);
	u->call_frames = sum_in_and_out(text, "fulmar_peer_frames", NULL) -
			 u->control_frames;
	u->links = (double)metrics_sum(text, "fulmar_peer_links", NULL);
	u->claims_bytes =
		(double)metrics_sum(text, "fulmar_claims_bytes", NULL);
	u->claims = (double)metrics_sum(text, "fulmar_claims_kept", NULL);
	u->added_us = (double)metrics_sum(text, "fulmar_added_us_sum", NULL);
	u->added = (double)metrics_sum(text, "fulmar_added_us_count", NULL);
	free(text);
}

double usage_seconds(const struct usage *a, const struct usage *b)
{
	return (double)(b->at_us - a->at_us) / 1e6;
}
