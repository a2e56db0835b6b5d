/* backend_main.c - stand-in for a backend server
 *
 * A request waits in an unbounded FIFO until a slot is free. It holds the slot
 * for its service time and for a nested call through the node, if it asks for
 * one, and is then answered. POST /ctl changes the behaviour of the whole
 * server (see set_behaviour()). Query parameters control a single request:
 *
 *   nest=/a/x>/b/y   call /a/x?nest=/b/y through the node and append its
 *                    answer to this server's; "POST:/a/x" forwards the body;
 *                    answer 502 if the nested call fails
 *   nest_retries=N   retry a failed nested call up to N times, at each hop
 *   ms=F             service time in milliseconds, instead of the drawn one
 *   size=N, echo=1   answer N bytes, or the body of the request
 *   fail=1           run, then answer 500
 *   shed=1           answer 503 with Fulmar-Not-Run, without running
 *   cut=1            send half of the answer's body, close the connection
 *   crash=1          exit when the execution starts
 *   tag=TEXT         returned in the answer
 */
#include <getopt.h>
#include <math.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "standin/lib_fill.h"
#include "standin/lib_http.h"
#include "standin/lib_serve.h"

#define ANNOUNCE_MS	    500
#define ANNOUNCE_TIMEOUT_MS 1000
#define CHECK_MS	    20 /* interval of checks for closed connections */
#define NEST_TIMEOUT_MS	    60000
#define STOP_MS		    30000 /* longest wait for requests at a stop */
#define LEAVING_MS	    1000 /* shortest time from leaving to exit */
#define MAX_SIZE	    (8u << 20)
#define TARGET_BYTES	    4096
#define ESCAPED_BYTES	    1536
#define URL_BYTES	    (TARGET_BYTES + 64)

struct backend;
struct execution;

/** Protocol between a backend server and its node. */
struct node_ops {
	/** Announces state "serving" or "leaving". */
	void (*announce)(struct backend *b, const char *state);
	/** Makes a nested call of an execution; returns the status of the
	 *  answer, 0 if there is none. */
	long (*call)(struct backend *b, struct execution *x, const char *method,
		     const char *target, struct http_answer *a);
};

/** A waiting or running request. */
struct execution {
	struct execution *next; /**< among all executions */
	struct execution *next_waiting;
	struct serve_request *req;
	pthread_cond_t wake; /**< signalled on a slot or cancellation */
	bool has_slot;
	bool cancelled;
};

struct backend {
	const struct node_ops *node_ops;
	/* settings */
	const char *listen; /**< "IP:PORT" */
	const char *node; /**< "IP:PORT" for announcements and nested calls */
	const char *service;
	const char *log_path;
	int64_t slots; /**< requests that run at the same time */
	double service_ms; /**< service time, or its mean if exponential */
	bool exponential;
	int64_t cold_ms; /**< time from the start with cold_factor */
	double cold_factor; /**< multiplies service times */

	char instance[33]; /**< random id of this process */
	uint16_t port;
	int64_t start_us;
	FILE *log;

	pthread_mutex_t lock; /**< guards all below, and executions */
	pthread_cond_t announce_wake;
	struct execution *all; /**< waiting and running */
	struct execution *first_waiting;
	struct execution **last_waiting;
	int64_t running;
	int64_t waiting;
	int64_t max_running;
	int64_t executions; /**< started since the process started */
	int64_t reported_load; /**< of /load; updated every ANNOUNCE_MS */
	struct drand48_data random;
	double slow_factor; /**< multiplies service times */
	bool fail_all; /**< answer 500 to all requests */
	bool health_lies; /**< /health and /load: healthy, load 0 */
	bool announces;
	bool draining; /**< announce "leaving" */
	bool stopping; /**< end announce_loop() */
	int64_t frozen_until_us;
};

static int64_t now_us(void)
{
	return fp_mono_us(fp_system_clock());
}

static struct timespec time_of(int64_t us)
{
	struct timespec t = { us / FP_US_PER_S, us % FP_US_PER_S * 1000 };

	return t;
}

static void init_condition(pthread_cond_t *c)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(c, &attr);
	pthread_condattr_destroy(&attr);
}

/** Waits until c is signalled or until_us is reached. Call with the lock. */
static void wait_until(struct backend *b, pthread_cond_t *c, int64_t until_us)
{
	struct timespec t = time_of(until_us);

	pthread_cond_timedwait(c, &b->lock, &t);
}

/* Log of executions. */

static enum MHD_Result add_header(void *arg, enum MHD_ValueKind kind,
				  const char *name, const char *value)
{
	(void)kind;
	json_object_set_new(arg, name, json_string(value ? value : ""));
	return MHD_YES;
}

static json_t *body_text(const struct serve_request *r)
{
	json_t *text = json_stringn(r->body, r->body_bytes);

	return text ? text : json_null();
}

static void log_event(struct backend *b, const struct serve_request *r,
		      const char *event)
{
	json_t *headers = json_object();
	json_t *line;
	char *text;

	if (!b->log) {
		json_decref(headers);
		return;
	}
	MHD_get_connection_values(r->conn, MHD_HEADER_KIND, add_header,
				  headers);
	line = json_pack(
		"{s:s, s:I, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, "
		"s:o, s:o}",
		"event", event, "t_us", (json_int_t)now_us(), "service",
		b->service, "instance", b->instance, "request",
		serve_header(r, "Fulmar-Request"), "call",
		serve_header(r, "Fulmar-Call"), "org",
		serve_header(r, "Fulmar-Org"), "class",
		serve_header(r, "Fulmar-Class"), "method", r->method, "path",
		r->path, "tag", serve_query(r, "tag"), "idempotency_key",
		serve_header(r, "Idempotency-Key"), "headers", headers, "body",
		body_text(r));
	text = line ? json_dumps(line, JSON_COMPACT) : NULL;
	json_decref(line);
	if (!text)
		return;
	flockfile(b->log);
	fprintf(b->log, "%s\n", text);
	fflush(b->log);
	funlockfile(b->log);
	free(text);
}

/* Protocol with the node, over HTTP. */

static void http_announce(struct backend *b, const char *state)
{
	const char *headers[] = { "Content-Type: application/json", NULL };
	char url[URL_BYTES];
	json_t *body = json_pack("{s:i, s:I, s:s, s:s}", "port", (int)b->port,
				 "slots", (json_int_t)b->slots, "instance",
				 b->instance, "state", state);
	char *text = json_dumps(body, JSON_COMPACT);
	struct http_request req = { .method = "POST",
				    .url = url,
				    .headers = headers,
				    .body = text,
				    .body_bytes = strlen(text),
				    .timeout_ms = ANNOUNCE_TIMEOUT_MS };
	struct http_answer a;

	snprintf(url, sizeof(url), "http://%s/fulmar/announce", b->node);
	http_call(&req, &a);
	http_answer_end(&a);
	free(text);
	json_decref(body);
}

static bool is_cancelled(struct backend *b, struct execution *x)
{
	bool cancelled;

	pthread_mutex_lock(&b->lock);
	cancelled = x->cancelled;
	pthread_mutex_unlock(&b->lock);
	return cancelled || serve_client_closed(x->req);
}

/** Argument of check_cancelled(). */
struct cancel_check {
	struct backend *b;
	struct execution *x;
};

static bool check_cancelled(void *arg)
{
	struct cancel_check *c = arg;

	return is_cancelled(c->b, c->x);
}

static long http_node_call(struct backend *b, struct execution *x,
			   const char *method, const char *target,
			   struct http_answer *a)
{
	struct cancel_check check = { b, x };
	char url[URL_BYTES];
	char call[256];
	const char *headers[] = { call, NULL };
	bool with_body = strcmp(method, "GET") != 0;
	struct http_request req = { .method = method,
				    .url = url,
				    .headers = headers,
				    .body = with_body ? x->req->body : NULL,
				    .body_bytes = x->req->body_bytes,
				    .timeout_ms = NEST_TIMEOUT_MS,
				    .keep_connection = true,
				    .cancelled = check_cancelled,
				    .cancelled_arg = &check };

	snprintf(url, sizeof(url), "http://%s%s", b->node, target);
	snprintf(call, sizeof(call), "Fulmar-Call: %s",
		 serve_header(x->req, "Fulmar-Call"));
	return http_call(&req, a);
}

static const struct node_ops http_node_ops = {
	.announce = http_announce,
	.call = http_node_call,
};

/* Slots and the queue for them. */

static void list_remove(struct backend *b, struct execution *x)
{
	struct execution **at = &b->all;

	while (*at != x)
		at = &(*at)->next;
	*at = x->next;
}

static void queue_remove(struct backend *b, struct execution *x)
{
	struct execution **at = &b->first_waiting;

	while (*at != x)
		at = &(*at)->next_waiting;
	*at = x->next_waiting;
	if (b->last_waiting == &x->next_waiting)
		b->last_waiting = at;
	b->waiting--;
}

static void start_running(struct backend *b, struct execution *x)
{
	x->has_slot = true;
	b->running++;
	if (b->running > b->max_running)
		b->max_running = b->running;
}

/** Waits for a slot; false if the request is cancelled or its connection closed
 *  before it gets one. */
static bool take_slot(struct backend *b, struct execution *x)
{
	bool closed = false;

	pthread_mutex_lock(&b->lock);
	x->next = b->all;
	b->all = x;
	if (b->running < b->slots && !b->first_waiting) {
		start_running(b, x);
	} else {
		*b->last_waiting = x;
		b->last_waiting = &x->next_waiting;
		b->waiting++;
	}
	while (!x->has_slot && !x->cancelled && !closed) {
		wait_until(b, &x->wake, now_us() + CHECK_MS * FP_US_PER_MS);
		closed = serve_client_closed(x->req);
	}
	if (!x->has_slot)
		queue_remove(b, x);
	pthread_mutex_unlock(&b->lock);
	return x->has_slot;
}

/** Ends an execution and gives its slot to the first one in the queue. */
static void finish(struct backend *b, struct execution *x)
{
	struct execution *first;

	pthread_mutex_lock(&b->lock);
	list_remove(b, x);
	if (x->has_slot)
		b->running--;
	first = b->first_waiting;
	if (first && b->running < b->slots) {
		queue_remove(b, first);
		start_running(b, first);
		pthread_cond_signal(&first->wake);
	}
	pthread_mutex_unlock(&b->lock);
	pthread_cond_destroy(&x->wake);
}

/* Service time. */

/** Returns the service time: that of the request's parameter ms or a drawn one,
 *  multiplied by the factors. Call with the lock. */
static double draw_service_ms(struct backend *b, struct execution *x)
{
	double ms = serve_query_number(x->req, "ms", -1);
	double u;

	if (ms < 0) {
		ms = b->service_ms;
		if (b->exponential) {
			drand48_r(&b->random, &u);
			ms *= -log1p(-u);
		}
	}
	if (now_us() < b->start_us + b->cold_ms * FP_US_PER_MS)
		ms *= b->cold_factor;
	return ms * b->slow_factor;
}

/** Waits for the service time and while frozen; false if cancelled. */
static bool run_service_time(struct backend *b, struct execution *x)
{
	int64_t end_us;
	bool cancelled;

	pthread_mutex_lock(&b->lock);
	b->executions++;
	end_us = now_us() + (int64_t)(draw_service_ms(b, x) * FP_US_PER_MS);
	for (;;) {
		int64_t until_us = end_us > b->frozen_until_us ?
					   end_us :
					   b->frozen_until_us;

		if (x->cancelled || now_us() >= until_us)
			break;
		wait_until(b, &x->wake, until_us);
	}
	cancelled = x->cancelled;
	pthread_mutex_unlock(&b->lock);
	return !cancelled;
}

/* Answers. */

/** Builds the target of a nested call: the first element of nest, with the
 *  tag of the request and the other elements as its own nest. */
static void build_target(const struct serve_request *r, const char *nest,
			 char *target, size_t bytes)
{
	const char *rest = strchr(nest, '>');
	size_t n = rest ? (size_t)(rest - nest) : strlen(nest);
	char escaped[ESCAPED_BYTES];
	const char *separator;

	snprintf(target, bytes, "%.*s", (int)n, nest);
	separator = strchr(target, '?') ? "&" : "?";
	n = strlen(target);
	http_escape(serve_query(r, "tag"), escaped, sizeof(escaped));
	snprintf(target + n, bytes - n, "%stag=%s", separator, escaped);
	if (!rest)
		return;
	n = strlen(target);
	http_escape(rest + 1, escaped, sizeof(escaped));
	snprintf(target + n, bytes - n, "&nest=%s&nest_retries=%d", escaped,
		 (int)serve_query_number(r, "nest_retries", 0));
}

/** Makes the nested call and its retries; returns the last status, 0 if
 *  there was no answer. */
static long nested_call(struct backend *b, struct execution *x,
			struct http_answer *a)
{
	const char *nest = serve_query(x->req, "nest");
	int tries = 1 + (int)serve_query_number(x->req, "nest_retries", 0);
	const char *method = "GET";
	char target[TARGET_BYTES];
	long status;

	if (strncmp(nest, "POST:", 5) == 0) {
		method = "POST";
		nest += 5;
	}
	build_target(x->req, nest, target, sizeof(target));
	for (;;) {
		status = b->node_ops->call(b, x, method, target, a);
		if ((status >= 200 && status < 300) || --tries <= 0)
			return status;
		if (is_cancelled(b, x))
			return status;
		http_answer_end(a);
	}
}

/** Returns the answer's body when no parameter sets it; the caller frees it. */
static char *own_text(struct backend *b, const struct serve_request *r)
{
	char *text = NULL;

	if (asprintf(&text,
		     "service=%s instance=%s request=%s path=%s tag=%s\n",
		     b->service, b->instance, serve_header(r, "Fulmar-Request"),
		     r->path, serve_query(r, "tag")) < 0)
		abort();
	return text;
}

/** An answer being built. */
struct reply {
	unsigned int status;
	char *body;
	size_t bytes;
};

static void append_nested(struct reply *p, const struct http_answer *a)
{
	char *grown = realloc(p->body, p->bytes + a->body_bytes + 1);

	if (!grown)
		abort();
	memcpy(grown + p->bytes, a->body, a->body_bytes + 1);
	p->body = grown;
	p->bytes += a->body_bytes;
}

static void fill_reply(struct backend *b, struct execution *x, struct reply *p)
{
	struct serve_request *r = x->req;
	size_t size = (size_t)serve_query_number(r, "size", 0);
	struct http_answer a;
	long status;

	p->status = MHD_HTTP_OK;
	if (*serve_query(r, "echo")) {
		p->bytes = r->body_bytes;
		p->body = malloc(p->bytes + 1);
		memcpy(p->body, r->body, p->bytes + 1);
	} else if (size && size <= MAX_SIZE) {
		p->bytes = size;
		p->body = malloc(size + 1);
		fill_body(p->body, size, r->path, serve_query(r, "tag"));
	} else {
		p->body = own_text(b, r);
		p->bytes = strlen(p->body);
	}
	if (!*serve_query(r, "nest"))
		return;
	status = nested_call(b, x, &a);
	if (status < 200 || status >= 300)
		p->status = MHD_HTTP_BAD_GATEWAY;
	append_nested(p, &a);
	http_answer_end(&a);
}

static bool must_fail(struct backend *b, struct execution *x)
{
	bool fail;

	pthread_mutex_lock(&b->lock);
	fail = b->fail_all;
	pthread_mutex_unlock(&b->lock);
	return fail || *serve_query(x->req, "fail");
}

static enum MHD_Result run(struct backend *b, struct execution *x)
{
	struct serve_request *r = x->req;
	struct reply p = { 0 };
	enum MHD_Result rc;

	log_event(b, r, "start");
	if (*serve_query(r, "crash"))
		_exit(1);
	if (run_service_time(b, x))
		fill_reply(b, x, &p);
	if (is_cancelled(b, x)) {
		log_event(b, r, "cancelled");
		free(p.body);
		return MHD_NO;
	}
	log_event(b, r, "end");
	if (must_fail(b, x))
		rc = serve_bytes(r, MHD_HTTP_INTERNAL_SERVER_ERROR, "failed\n",
				 7, NULL, NULL);
	else if (*serve_query(r, "cut"))
		rc = serve_truncated(r, p.body, p.bytes);
	else
		rc = serve_bytes(r, p.status, p.body, p.bytes, NULL, NULL);
	free(p.body);
	return rc;
}

static enum MHD_Result do_execute(struct backend *b, struct serve_request *r)
{
	struct execution x = { .req = r };
	enum MHD_Result rc = MHD_NO;

	if (*serve_query(r, "shed")) {
		log_event(b, r, "shed");
		return serve_bytes(r, MHD_HTTP_SERVICE_UNAVAILABLE, "shed\n", 5,
				   "Fulmar-Not-Run", "1");
	}
	init_condition(&x.wake);
	if (take_slot(b, &x))
		rc = run(b, &x);
	else
		log_event(b, r, "dropped");
	finish(b, &x);
	return rc;
}

/* Control and status. */

static enum MHD_Result do_cancel(struct backend *b, struct serve_request *r)
{
	const char *call = serve_header(r, "Fulmar-Call");
	struct execution *x;
	int64_t found = 0;

	pthread_mutex_lock(&b->lock);
	for (x = b->all; x; x = x->next) {
		if (!*call ||
		    strcmp(serve_header(x->req, "Fulmar-Call"), call) != 0)
			continue;
		x->cancelled = true;
		pthread_cond_signal(&x->wake);
		found++;
	}
	pthread_mutex_unlock(&b->lock);
	return serve_json(r, MHD_HTTP_OK,
			  json_pack("{s:I}", "cancelled", (json_int_t)found));
}

static void set_bool(const json_t *body, const char *name, bool *flag)
{
	json_t *v = json_object_get(body, name);

	if (json_is_boolean(v))
		*flag = json_is_true(v);
}

/**
 * Applies the fields of a body sent to /ctl; absent ones stay unchanged:
 * slow_factor, freeze_ms (neither announce nor answer for this time), fail_all,
 * drain, announce, health_lies.
 */
static void set_behaviour(struct backend *b, const json_t *body)
{
	json_t *slow = json_object_get(body, "slow_factor");
	json_t *freeze = json_object_get(body, "freeze_ms");

	pthread_mutex_lock(&b->lock);
	if (json_is_number(slow))
		b->slow_factor = json_number_value(slow);
	if (json_is_integer(freeze))
		b->frozen_until_us =
			now_us() + json_integer_value(freeze) * FP_US_PER_MS;
	set_bool(body, "fail_all", &b->fail_all);
	set_bool(body, "drain", &b->draining);
	set_bool(body, "announce", &b->announces);
	set_bool(body, "health_lies", &b->health_lies);
	pthread_cond_signal(&b->announce_wake);
	pthread_mutex_unlock(&b->lock);
}

static enum MHD_Result do_control(struct backend *b, struct serve_request *r)
{
	json_t *body = json_loadb(r->body, r->body_bytes, 0, NULL);

	if (!json_is_object(body)) {
		json_decref(body);
		return serve_json(r, MHD_HTTP_BAD_REQUEST, json_object());
	}
	set_behaviour(b, body);
	json_decref(body);
	return serve_json(r, MHD_HTTP_OK, json_object());
}

static enum MHD_Result do_stats(struct backend *b, struct serve_request *r)
{
	json_t *body;

	pthread_mutex_lock(&b->lock);
	body = json_pack("{s:s, s:s, s:I, s:I, s:I, s:I}", "service",
			 b->service, "instance", b->instance, "running",
			 (json_int_t)b->running, "waiting",
			 (json_int_t)b->waiting, "max_running",
			 (json_int_t)b->max_running, "executions",
			 (json_int_t)b->executions);
	pthread_mutex_unlock(&b->lock);
	return serve_json(r, MHD_HTTP_OK, body);
}

/** Reports health and load as the platform's endpoints do: the load with a
 *  delay, both wrong if health_lies is set. */
static enum MHD_Result do_status(struct backend *b, struct serve_request *r)
{
	bool healthy;
	json_int_t load;

	pthread_mutex_lock(&b->lock);
	healthy = (!b->fail_all && !b->draining) || b->health_lies;
	load = b->health_lies ? 0 : b->reported_load;
	pthread_mutex_unlock(&b->lock);
	return serve_json(
		r, healthy ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
		json_pack("{s:b, s:I, s:I}", "healthy", (int)healthy, "load",
			  load, "slots", (json_int_t)b->slots));
}

static void wait_while_frozen(struct backend *b)
{
	int64_t until_us;

	for (;;) {
		pthread_mutex_lock(&b->lock);
		until_us = b->frozen_until_us;
		pthread_mutex_unlock(&b->lock);
		if (now_us() >= until_us)
			return;
		usleep(CHECK_MS * 1000);
	}
}

static enum MHD_Result handle(struct serve_request *r, void *arg)
{
	struct backend *b = arg;

	if (strcmp(r->path, "/ctl") == 0)
		return do_control(b, r);
	if (strcmp(r->path, "/ctl/stats") == 0)
		return do_stats(b, r);
	wait_while_frozen(b);
	if (strcmp(r->path, "/health") == 0 || strcmp(r->path, "/load") == 0)
		return do_status(b, r);
	if (strcmp(r->path, "/fulmar/cancel") == 0)
		return do_cancel(b, r);
	return do_execute(b, r);
}

/* Announcements, start and stop. */

static void *announce_loop(void *arg)
{
	struct backend *b = arg;
	int64_t next_us;
	bool announce, leaving;

	pthread_mutex_lock(&b->lock);
	while (!b->stopping) {
		next_us = now_us() + ANNOUNCE_MS * FP_US_PER_MS;
		b->reported_load = b->running + b->waiting;
		announce = b->announces && b->node &&
			   now_us() >= b->frozen_until_us;
		leaving = b->draining;
		pthread_mutex_unlock(&b->lock);
		if (announce)
			b->node_ops->announce(b,
					      leaving ? "leaving" : "serving");
		pthread_mutex_lock(&b->lock);
		if (leaving == b->draining && !b->stopping)
			wait_until(b, &b->announce_wake, next_us);
	}
	pthread_mutex_unlock(&b->lock);
	return NULL;
}

/** Announces "leaving", then waits up to STOP_MS for waiting and running
 *  requests, but at least LEAVING_MS. */
static void drain(struct backend *b)
{
	int64_t start_us = now_us();
	int64_t since_us;
	bool busy;

	pthread_mutex_lock(&b->lock);
	b->draining = true;
	pthread_cond_signal(&b->announce_wake);
	pthread_mutex_unlock(&b->lock);
	do {
		usleep(CHECK_MS * 1000);
		since_us = now_us() - start_us;
		pthread_mutex_lock(&b->lock);
		busy = b->all != NULL;
		pthread_mutex_unlock(&b->lock);
	} while (since_us < LEAVING_MS * FP_US_PER_MS ||
		 (busy && since_us < STOP_MS * FP_US_PER_MS));
}

static bool parse_option(struct backend *b, int c, const char *v)
{
	switch (c) {
	case 'l':
		b->listen = v;
		return true;
	case 'n':
		b->node = v;
		return true;
	case 's':
		b->service = v;
		return true;
	case 'o':
		b->log_path = v;
		return true;
	case 'S':
		b->slots = strtol(v, NULL, 10);
		return b->slots > 0;
	case 'm':
		b->service_ms = strtod(v, NULL);
		return b->service_ms >= 0;
	case 'd':
		b->exponential = strcmp(v, "exp") == 0;
		return b->exponential || strcmp(v, "const") == 0;
	case 'r':
		srand48_r(strtol(v, NULL, 10), &b->random);
		return true;
	case 'c':
		b->cold_ms = strtol(v, NULL, 10);
		return true;
	case 'f':
		b->cold_factor = strtod(v, NULL);
		return true;
	case 'a':
		b->announces = strcmp(v, "0") != 0;
		return true;
	default:
		return false;
	}
}

static bool parse_options(struct backend *b, int argc, char **argv)
{
	static const struct option options[] = {
		{ "listen", required_argument, NULL, 'l' },
		{ "node", required_argument, NULL, 'n' },
		{ "service", required_argument, NULL, 's' },
		{ "log", required_argument, NULL, 'o' },
		{ "slots", required_argument, NULL, 'S' },
		{ "service-ms", required_argument, NULL, 'm' },
		{ "dist", required_argument, NULL, 'd' },
		{ "seed", required_argument, NULL, 'r' },
		{ "cold-ms", required_argument, NULL, 'c' },
		{ "cold-factor", required_argument, NULL, 'f' },
		{ "announce", required_argument, NULL, 'a' },
		{ NULL, 0, NULL, 0 },
	};
	char ip[64];
	int c;

	while ((c = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (!parse_option(b, c, optarg))
			return false;
	}
	return b->listen &&
	       serve_parse_address(b->listen, ip, sizeof(ip), &b->port);
}

static bool prepare(struct backend *b)
{
	uint8_t bytes[16];
	size_t i;

	if (getentropy(bytes, sizeof(bytes)) != 0)
		return false;
	for (i = 0; i < sizeof(bytes); i++)
		snprintf(b->instance + 2 * i, 3, "%02x", bytes[i]);
	b->start_us = now_us();
	b->last_waiting = &b->first_waiting;
	pthread_mutex_init(&b->lock, NULL);
	init_condition(&b->announce_wake);
	if (!b->log_path)
		return true;
	b->log = fopen(b->log_path, "a");
	return b->log != NULL;
}

int main(int argc, char **argv)
{
	static struct backend b = {
		.node_ops = &http_node_ops,
		.service = "service",
		.slots = 10,
		.service_ms = 5,
		.cold_factor = 1,
		.slow_factor = 1,
		.announces = true,
	};
	struct server *server;
	pthread_t announcer;

	if (!parse_options(&b, argc, argv)) {
		fprintf(stderr, "usage: backend --listen IP:PORT "
				"[--node IP:PORT] [--service NAME] ...\n");
		return 2;
	}
	serve_block_stop();
	server = prepare(&b) ? serve_init(b.listen, handle, &b) : NULL;
	if (!server) {
		fprintf(stderr,
			"backend: cannot open the log or listen on %s\n",
			b.listen);
		return 1;
	}
	pthread_create(&announcer, NULL, announce_loop, &b);
	serve_wait_for_stop();
	drain(&b);
	pthread_mutex_lock(&b.lock);
	b.stopping = true;
	pthread_cond_signal(&b.announce_wake);
	pthread_mutex_unlock(&b.lock);
	pthread_join(announcer, NULL);
	serve_end(server);
	if (b.log)
		fclose(b.log);
	return 0;
}
