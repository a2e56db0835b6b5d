/* caller_main.c - open-loop load generator: arrivals do not wait for answers
 *
 * Each request carries a unique tag that the backend server returns. A good
 * answer has status 2xx and contains the tag, or with echo=1 the bytes that
 * were sent. Latency is measured from the planned arrival, so that a caller
 * which falls behind does not report latencies that are too small. A retry
 * keeps tag and Idempotency-Key, and its target is chosen like that of a new
 * request: the next one in turn, or a random one with --pick random.
 */
#include <getopt.h>
#include <jansson.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "base/clock.h"
#include "standin/lib_fill.h"
#include "standin/lib_sender.h"
#include "standin/lib_serve.h"
#include "standin/lib_tally.h"

#define MAX_TARGETS   256
#define MAX_PHASES    64
#define MAX_MIX	      256
#define MAX_SECONDS   3600.0
#define MAX_RATE      50000.0 /* requests a second */
#define MAX_RETRIES   20
#define MAX_IN_FLIGHT 20000
#define RESERVED_FDS  64 /* file descriptors not used for connections */
#define URL_BYTES     2048
#define HEADER_BYTES  256
#define MAX_HEADERS   4
#define OUT_BUFFER    (1u << 20)

/** A period with a constant rate. */
struct phase {
	double rate; /**< requests a second */
	double seconds;
};

/** One kind of request. */
struct mix_item {
	double weight_sum; /**< cumulative: of this item and all before */
	const char *method;
	const char *path;
	const char *key; /**< NULL for none */
	const char *class_name; /**< only for the records, as is org */
	const char *org;
	bool idempotency; /**< send an Idempotency-Key */
	const char *body; /**< NULL for none */
	int64_t deadline_ms; /**< sent as Fulmar-Deadline-Ms; 0 for none */
	int route_chars; /**< length of path without the query */
};

struct request;

struct caller {
	/* settings */
	char *targets[MAX_TARGETS];
	uint32_t n_targets;
	struct phase phases[MAX_PHASES];
	uint32_t n_phases;
	struct mix_item mix[MAX_MIX];
	uint32_t n_mix;
	json_t *mix_json; /**< owns the texts of mix */
	bool uniform; /**< equal intervals between arrivals, else Poisson */
	bool random_target; /**< else each in turn */
	int64_t seed;
	uint32_t retries; /**< most retries of a request */
	int64_t retry_delay_us;
	bool retry_refused; /**< retry requests reported as not run */
	bool retry_failed; /**< retry requests that failed otherwise */
	int64_t timeout_ms;
	const char *out_path; /**< CSV, one row per request; NULL for none */

	struct sender *sender;
	struct tally *tally;
	FILE *out;
	struct drand48_data random;
	int64_t start_us;
	uint64_t arrivals;
	uint64_t next_target;
	uint32_t in_flight; /**< including those waiting for a retry */
	uint32_t max_in_flight;
	int64_t max_lag_us; /**< longest delay, planned arrival to send */
	/** Waiting for a retry; in time order, since the delay is constant. */
	struct request *first_retry;
	struct request **last_retry;
};

/** One request with all its attempts. */
struct request {
	struct send_job job; /**< first member: on_done casts it back */
	struct request *next_retry;
	struct caller *caller;
	const struct mix_item *item;
	int64_t arrival_us; /**< planned */
	int64_t retry_us; /**< when the next retry is due */
	uint32_t attempts;
	char tag[32];
	char url[URL_BYTES];
	char header_text[MAX_HEADERS][HEADER_BYTES];
	const char *headers[MAX_HEADERS + 1];
};

static int64_t now_us(void)
{
	return fp_mono_us(fp_system_clock());
}

static double draw(struct caller *c)
{
	double u;

	drand48_r(&c->random, &u);
	return u;
}

/* Outcomes. */

static enum tally_kind classify(const struct request *q,
				const struct send_result *r)
{
	bool complete;

	if (strcmp(r->outcome, "not-run") == 0)
		return TALLY_REFUSED;
	if (r->status < 200 || r->status >= 300)
		return TALLY_FAILED;
	if (strstr(q->item->path, "echo="))
		complete = r->body_bytes == q->job.body_bytes &&
			   memcmp(r->body, q->job.body, r->body_bytes) == 0;
	else
		complete = fill_has_tag(r->body, r->body_bytes, q->tag);
	return complete ? TALLY_GOOD : TALLY_FAILED;
}

static const char *reason_of(const struct send_result *r)
{
	static char word[SENDER_WORD_BYTES];

	if (*r->reason)
		return r->reason;
	if (r->status >= 200 && r->status < 300)
		return "not-whole";
	snprintf(word, sizeof(word), "status-%ld", r->status);
	return word;
}

/** Records the outcome of a request and frees it. */
static void record(struct request *q, enum tally_kind kind, long status,
		   const char *outcome, const char *reason)
{
	struct caller *c = q->caller;
	int64_t latency_us = now_us() - q->arrival_us;

	tally_add(c->tally, q->item->org, q->item->class_name, kind, reason,
		  q->attempts, latency_us);
	if (c->out)
		fprintf(c->out, "%lld,%s,%s,%.*s,%u,%ld,%s,%s,%lld,%d\n",
			(long long)(q->arrival_us - c->start_us), q->item->org,
			q->item->class_name, q->item->route_chars,
			q->item->path, q->attempts, status, outcome,
			kind == TALLY_GOOD ? "" : reason, (long long)latency_us,
			kind == TALLY_GOOD);
	free(q);
	c->in_flight--;
}

/* Sending. */

static uint32_t pick_target(struct caller *c)
{
	if (c->random_target)
		return (uint32_t)(draw(c) * c->n_targets);
	return (uint32_t)(c->next_target++ % c->n_targets);
}

static void send_attempt(struct request *q)
{
	struct caller *c = q->caller;
	const char *path = q->item->path;

	snprintf(q->url, sizeof(q->url), "%s%s%ctag=%s",
		 c->targets[pick_target(c)], path,
		 strchr(path, '?') ? '&' : '?', q->tag);
	q->attempts++;
	c->sender->ops->send(c->sender, &q->job);
}

static void queue_retry(struct request *q)
{
	struct caller *c = q->caller;

	q->retry_us = now_us() + c->retry_delay_us;
	q->next_retry = NULL;
	*c->last_retry = q;
	c->last_retry = &q->next_retry;
}

static void send_due_retries(struct caller *c)
{
	struct request *q;

	while ((q = c->first_retry) && q->retry_us <= now_us()) {
		c->first_retry = q->next_retry;
		if (!c->first_retry)
			c->last_retry = &c->first_retry;
		send_attempt(q);
	}
}

static void on_done(struct send_job *job, const struct send_result *r)
{
	struct request *q = (struct request *)job;
	struct caller *c = q->caller;
	enum tally_kind kind = classify(q, r);
	bool retry = (kind == TALLY_REFUSED && c->retry_refused) ||
		     (kind == TALLY_FAILED && c->retry_failed);

	if (retry && q->attempts <= c->retries)
		queue_retry(q);
	else
		record(q, kind, r->status, r->outcome, reason_of(r));
}

static const struct mix_item *pick_item(struct caller *c)
{
	double at = draw(c) * c->mix[c->n_mix - 1].weight_sum;
	uint32_t i = 0;

	while (i + 1 < c->n_mix && c->mix[i].weight_sum <= at)
		i++;
	return &c->mix[i];
}

static void set_headers(struct request *q)
{
	const struct mix_item *m = q->item;
	int n = 0;

	if (m->key)
		snprintf(q->header_text[n++], HEADER_BYTES,
			 "Authorization: Bearer %s", m->key);
	if (m->idempotency)
		snprintf(q->header_text[n++], HEADER_BYTES,
			 "Idempotency-Key: k-%s", q->tag);
	if (m->deadline_ms)
		snprintf(q->header_text[n++], HEADER_BYTES,
			 "Fulmar-Deadline-Ms: %lld", (long long)m->deadline_ms);
	while (n--)
		q->headers[n] = q->header_text[n];
}

static void arrive(struct caller *c, int64_t arrival_us)
{
	struct request *q = calloc(1, sizeof(*q));

	if (!q)
		abort();
	q->caller = c;
	q->item = pick_item(c);
	q->arrival_us = arrival_us;
	snprintf(q->tag, sizeof(q->tag), "%llx-%llx",
		 (unsigned long long)c->seed, (unsigned long long)c->arrivals);
	c->arrivals++;
	set_headers(q);
	q->job = (struct send_job){
		.method = q->item->method,
		.url = q->url,
		.headers = q->headers,
		.body = q->item->body,
		.body_bytes = q->item->body ? strlen(q->item->body) : 0,
		.timeout_ms = c->timeout_ms,
		.done = on_done,
	};
	c->in_flight++;
	if (c->in_flight > c->max_in_flight)
		record(q, TALLY_FAILED, 0, "not-run", "caller-full");
	else
		send_attempt(q);
}

/* Arrivals. */

/** Returns the time from one arrival to the next. */
static double draw_gap_us(struct caller *c, double rate)
{
	double mean_us = (double)FP_US_PER_S / rate;

	return c->uniform ? mean_us : -log1p(-draw(c)) * mean_us;
}

/** Polls the sender until until_us or the next retry is due, whichever is
 *  first, and sends retries that are due. */
static void poll_until(struct caller *c, int64_t until_us)
{
	if (c->first_retry && c->first_retry->retry_us < until_us)
		until_us = c->first_retry->retry_us;
	c->sender->ops->poll(c->sender, until_us);
	send_due_retries(c);
}

static void run_phase(struct caller *c, const struct phase *p,
		      int64_t phase_start_us)
{
	double end_us = p->seconds * (double)FP_US_PER_S;
	double next_us = p->rate > 0 ? draw_gap_us(c, p->rate) : end_us;
	int64_t due_us, lag_us;

	while (next_us < end_us) {
		due_us = phase_start_us + (int64_t)next_us;
		while (now_us() < due_us)
			poll_until(c, due_us);
		lag_us = now_us() - due_us;
		if (lag_us > c->max_lag_us)
			c->max_lag_us = lag_us;
		arrive(c, due_us);
		next_us += draw_gap_us(c, p->rate);
	}
	due_us = phase_start_us + (int64_t)end_us;
	while (now_us() < due_us)
		poll_until(c, due_us);
}

static void run_phases(struct caller *c)
{
	int64_t at_us = now_us();
	uint32_t i;

	c->start_us = at_us;
	for (i = 0; i < c->n_phases; i++) {
		run_phase(c, &c->phases[i], at_us);
		at_us += (int64_t)(c->phases[i].seconds * FP_US_PER_S);
	}
	while (c->in_flight)
		poll_until(c, now_us() + FP_US_PER_MS);
}

/* Settings. */

static int report_error(const char *what, const char *value)
{
	fprintf(stderr, "caller: %s: %s\n", what, value);
	return -1;
}

static int parse_targets(struct caller *c, char *list)
{
	static const char scheme[] = "http://";
	char ip[64];
	uint16_t port;
	char *save, *t;

	for (t = strtok_r(list, ",", &save); t;
	     t = strtok_r(NULL, ",", &save)) {
		if (strncmp(t, scheme, strlen(scheme)) != 0 ||
		    !serve_parse_address(t + strlen(scheme), ip, sizeof(ip),
					 &port) ||
		    strncmp(ip, "127.", 4) != 0)
			return report_error("not http://127.A.B.C:PORT", t);
		if (c->n_targets == MAX_TARGETS)
			return report_error("too many targets", t);
		c->targets[c->n_targets++] = t;
	}
	return 0;
}

static int add_phase(struct caller *c, double rate, double seconds)
{
	struct phase *p = &c->phases[c->n_phases];

	if (c->n_phases == MAX_PHASES || !(rate >= 0 && rate <= MAX_RATE) ||
	    !(seconds > 0 && seconds <= MAX_SECONDS))
		return report_error("phase", "rate or seconds out of "
					     "bounds, or too many phases");
	p->rate = rate;
	p->seconds = seconds;
	c->n_phases++;
	return 0;
}

static int parse_phases(struct caller *c, char *list)
{
	char *save, *t;
	double rate, seconds;

	for (t = strtok_r(list, ",", &save); t;
	     t = strtok_r(NULL, ",", &save)) {
		if (sscanf(t, "%lf:%lf", &rate, &seconds) != 2)
			return report_error("not RATE:SECONDS", t);
		if (add_phase(c, rate, seconds) != 0)
			return -1;
	}
	return 0;
}

static const char *text_of(const json_t *item, const char *name,
			   const char *fallback)
{
	const char *v = json_string_value(json_object_get(item, name));

	return v ? v : fallback;
}

static int add_item(struct caller *c, const json_t *item)
{
	struct mix_item *m = &c->mix[c->n_mix];
	json_t *weight = json_object_get(item, "weight");
	double before = c->n_mix ? m[-1].weight_sum : 0;

	if (c->n_mix == MAX_MIX)
		return report_error("mix", "too many items");
	m->weight_sum = before + (weight ? json_number_value(weight) : 1);
	m->method = text_of(item, "method", "GET");
	m->path = text_of(item, "path", "/");
	m->key = text_of(item, "key", NULL);
	m->class_name = text_of(item, "class", "");
	m->org = text_of(item, "org", "");
	m->body = text_of(item, "body", NULL);
	m->idempotency = json_is_true(json_object_get(item, "idempotency"));
	m->deadline_ms =
		json_integer_value(json_object_get(item, "deadline_ms"));
	m->route_chars = (int)strcspn(m->path, "?");
	c->n_mix++;
	return 0;
}

static int load_mix(struct caller *c, const char *path)
{
	json_error_t error;
	size_t i;

	c->mix_json = json_load_file(path, 0, &error);
	if (!json_is_array(c->mix_json) || !json_array_size(c->mix_json))
		return report_error("mix is not a non-empty JSON array", path);
	for (i = 0; i < json_array_size(c->mix_json); i++) {
		if (add_item(c, json_array_get(c->mix_json, i)) != 0)
			return -1;
	}
	return 0;
}

/** The only phase if --phase is not given, from --rate and --seconds. */
struct single_phase {
	double rate;
	double seconds;
};

static int parse_option(struct caller *c, struct single_phase *p, int o,
			char *v)
{
	switch (o) {
	case 't':
		return parse_targets(c, v);
	case 'p':
		return parse_phases(c, v);
	case 'm':
		return load_mix(c, v);
	case 'r':
		p->rate = strtod(v, NULL);
		return 0;
	case 's':
		p->seconds = strtod(v, NULL);
		return 0;
	case 'a':
		c->uniform = strcmp(v, "uniform") == 0;
		return 0;
	case 'k':
		c->random_target = strcmp(v, "random") == 0;
		return 0;
	case 'S':
		c->seed = strtoll(v, NULL, 10);
		return 0;
	case 'n':
		c->retries = (uint32_t)strtoul(v, NULL, 10);
		return c->retries > MAX_RETRIES ?
			       report_error("retries above 20", v) :
			       0;
	case 'd':
		c->retry_delay_us = strtoll(v, NULL, 10) * FP_US_PER_MS;
		return 0;
	case 'R':
		c->retry_refused = strstr(v, "refused") != NULL;
		c->retry_failed = strstr(v, "failed") != NULL;
		return 0;
	case 'T':
		c->timeout_ms = strtoll(v, NULL, 10);
		return c->timeout_ms > 0 ?
			       0 :
			       report_error("timeout not above 0 ms", v);
	case 'o':
		c->out_path = v;
		return 0;
	default:
		return -1;
	}
}

static int parse_options(struct caller *c, int argc, char **argv)
{
	static const struct option options[] = {
		{ "targets", required_argument, NULL, 't' },
		{ "phase", required_argument, NULL, 'p' },
		{ "mix", required_argument, NULL, 'm' },
		{ "rate", required_argument, NULL, 'r' },
		{ "seconds", required_argument, NULL, 's' },
		{ "arrivals", required_argument, NULL, 'a' },
		{ "pick", required_argument, NULL, 'k' },
		{ "seed", required_argument, NULL, 'S' },
		{ "retries", required_argument, NULL, 'n' },
		{ "retry-delay-ms", required_argument, NULL, 'd' },
		{ "retry-on", required_argument, NULL, 'R' },
		{ "timeout-ms", required_argument, NULL, 'T' },
		{ "out", required_argument, NULL, 'o' },
		{ NULL, 0, NULL, 0 },
	};
	struct single_phase p = { 100, 1 };
	int o;

	while ((o = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (parse_option(c, &p, o, optarg) != 0)
			return -1;
	}
	if (!c->n_targets)
		return report_error("usage",
				    "caller --targets URL,... [--rate F] "
				    "[--seconds F] ...");
	if (!c->n_phases && add_phase(c, p.rate, p.seconds) != 0)
		return -1;
	return c->n_mix ? 0 : add_item(c, NULL);
}

static int prepare(struct caller *c)
{
	struct rlimit files;

	c->max_in_flight = MAX_IN_FLIGHT;
	if (getrlimit(RLIMIT_NOFILE, &files) == 0 &&
	    files.rlim_cur < MAX_IN_FLIGHT + RESERVED_FDS)
		c->max_in_flight = (uint32_t)files.rlim_cur - RESERVED_FDS;
	c->last_retry = &c->first_retry;
	srand48_r(c->seed, &c->random);
	c->sender = http_sender_init();
	c->tally = tally_init();
	if (!c->out_path)
		return 0;
	c->out = fopen(c->out_path, "w");
	if (!c->out)
		return report_error("cannot write", c->out_path);
	setvbuf(c->out, NULL, _IOFBF, OUT_BUFFER);
	fprintf(c->out, "t_start_us,org,class,route,attempts,status,outcome,"
			"reason,latency_us,whole\n");
	return 0;
}

static void print_summary(struct caller *c)
{
	json_t *summary = tally_summary(c->tally);

	json_object_set_new(
		summary, "seconds",
		json_real((double)(now_us() - c->start_us) / FP_US_PER_S));
	json_object_set_new(summary, "max_lag_us", json_integer(c->max_lag_us));
	json_dumpf(summary, stdout, JSON_INDENT(1) | JSON_REAL_PRECISION(6));
	printf("\n");
	json_decref(summary);
}

int main(int argc, char **argv)
{
	static struct caller c = {
		.retry_refused = true,
		.retry_failed = true,
		.timeout_ms = 10000,
		.seed = 1,
	};

	if (parse_options(&c, argc, argv) != 0)
		return 2;
	if (prepare(&c) != 0)
		return 1;
	run_phases(&c);
	if (c.out)
		fclose(c.out);
	print_summary(&c);
	c.sender->ops->end(c.sender);
	tally_end(c.tally);
	json_decref(c.mix_json);
	return 0;
}
