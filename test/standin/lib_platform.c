/* lib_platform.c - simulates the users' platform: its store and its servers */
#include "lib_platform.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "lib_http.h"
#include "lib_serve.h"

#define MAX_ITEMS	    256
#define KEY_BYTES	    200
#define NO_ANSWER_DELAY_MS  5000 /* then the connection is closed */
#define ENDLESS_BLOCK_BYTES 65536
#define WATCH_POLL_MS	    10 /* interval of checks for a change */

/* An item; a removed one is kept with its revision and value NULL. */
struct item {
	char key[KEY_BYTES];
	char *value; /* base64; NULL: removed */
	int64_t revision;
	int64_t lease; /* 0: none */
};

/* What the store keeps, and loses when it comes back from a copy. */
struct store_data {
	struct item items[MAX_ITEMS];
	int n_items;
	int64_t revision;
	int64_t next_lease;
	int64_t expired_below; /* leases with lower ids have expired */
};

struct platform_copy {
	struct store_data data;
};

struct platform_store {
	struct server *server;
	pthread_mutex_t lock;
	struct store_data data;
	int era; /* rises each time that the store comes back from a copy */
	int calls;
	enum platform_fault fault;
};

/* Another address of a store; the store's lock guards its fault. */
struct platform_endpoint {
	struct platform_store *store;
	struct server *server;
	enum platform_fault fault;
};

static int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static char *base64(const char *text)
{
	static const char digits[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
		"0123456789+/";
	size_t n = strlen(text);
	char *out = calloc(1, (n / 3 + 1) * 4 + 1);
	size_t n_out = 0;
	size_t i;

	for (i = 0; i < n; i += 3) {
		uint32_t v = (uint32_t)(uint8_t)text[i] << 16;
		int n_bytes = 1;

		if (i + 1 < n) {
			v |= (uint32_t)(uint8_t)text[i + 1] << 8;
			n_bytes = 2;
		}
		if (i + 2 < n) {
			v |= (uint8_t)text[i + 2];
			n_bytes = 3;
		}
		out[n_out++] = digits[v >> 18];
		out[n_out++] = digits[v >> 12 & 63];
		out[n_out++] = n_bytes > 1 ? digits[v >> 6 & 63] : '=';
		out[n_out++] = n_bytes > 2 ? digits[v & 63] : '=';
	}
	return out;
}

static struct item *find_item(struct platform_store *s, const char *key)
{
	int i;

	for (i = 0; i < s->data.n_items; i++)
		if (strcmp(s->data.items[i].key, key) == 0)
			return &s->data.items[i];
	return NULL;
}

/* Sets an item, or removes it if value is NULL. The item owns the value. */
static void set_item(struct platform_store *s, const char *key, char *value,
		     int64_t lease)
{
	struct item *it = find_item(s, key);

	if (!it) {
		if (s->data.n_items == MAX_ITEMS)
			abort();
		it = &s->data.items[s->data.n_items++];
		snprintf(it->key, sizeof(it->key), "%s", key);
	}
	free(it->value);
	it->value = value;
	it->lease = lease;
	it->revision = ++s->data.revision;
}

static json_t *item_json(const struct item *it)
{
	if (!it->value)
		return json_pack("{s:s,s:I,s:b}", "key", it->key, "revision",
				 (json_int_t)it->revision, "deleted", 1);
	return json_pack("{s:s,s:s,s:I,s:I}", "key", it->key, "value",
			 it->value, "revision", (json_int_t)it->revision,
			 "lease", (json_int_t)it->lease);
}

/* The items under a prefix that changed after a revision; with removed, also
 * the removals. */
static json_t *collect(struct platform_store *s, const char *prefix,
		       int64_t after, bool removed)
{
	json_t *list = json_array();
	int i;

	for (i = 0; i < s->data.n_items; i++) {
		const struct item *it = &s->data.items[i];

		if (strncmp(it->key, prefix, strlen(prefix)) == 0 &&
		    it->revision > after && (removed || it->value))
			json_array_append_new(list, item_json(it));
	}
	return list;
}

/* Answers with the store's era, as all answers do. */
static enum MHD_Result answer(struct platform_store *s, struct serve_request *r,
			      int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);
	enum MHD_Result rc;
	char era[16];

	pthread_mutex_lock(&s->lock);
	snprintf(era, sizeof(era), "%d", s->era);
	pthread_mutex_unlock(&s->lock);
	rc = serve_bytes(r, (unsigned int)status, text, strlen(text),
			 "Store-Era", era);
	free(text);
	json_decref(body);
	return rc;
}

static enum MHD_Result handle_get(struct platform_store *s,
				  struct serve_request *r)
{
	struct item *it;
	json_t *j;

	pthread_mutex_lock(&s->lock);
	it = find_item(s, serve_query(r, "key"));
	j = it && it->value ? item_json(it) : json_object();
	json_object_set_new(j, "storeRevision", json_integer(s->data.revision));
	pthread_mutex_unlock(&s->lock);
	return answer(s, r, json_object_get(j, "value") ? 200 : 404, j);
}

static enum MHD_Result handle_range(struct platform_store *s,
				    struct serve_request *r)
{
	json_t *j = json_object();

	pthread_mutex_lock(&s->lock);
	json_object_set_new(j, "items",
			    collect(s, serve_query(r, "pathPrefix"), 0, false));
	json_object_set_new(j, "hasMore", json_false());
	json_object_set_new(j, "storeRevision", json_integer(s->data.revision));
	pthread_mutex_unlock(&s->lock);
	return answer(s, r, 200, j);
}

/* The fault of a call: that of its address if it has one, else the store's. */
static enum platform_fault effective_fault(struct platform_store *s,
					   const struct platform_endpoint *e)
{
	enum platform_fault fault;

	pthread_mutex_lock(&s->lock);
	fault = e && e->fault != PLATFORM_NO_FAULT ? e->fault : s->fault;
	pthread_mutex_unlock(&s->lock);
	return fault;
}

static enum MHD_Result handle_watch(struct platform_store *s,
				    const struct platform_endpoint *e,
				    struct serve_request *r)
{
	int64_t end_ms = now_ms() + (int64_t)serve_query_number(r, "waitMs", 0);
	int64_t after = (int64_t)serve_query_number(r, "after", 0);
	json_t *events = NULL;
	int64_t revision;
	bool cut;
	int era;

	pthread_mutex_lock(&s->lock);
	era = s->era;
	cut = after > s->data.revision;
	pthread_mutex_unlock(&s->lock);
	if (cut)
		return answer(s, r, 410, json_object());
	for (;;) {
		json_decref(events);
		pthread_mutex_lock(&s->lock);
		cut = era != s->era;
		events = collect(s, serve_query(r, "pathPrefix"), after, true);
		revision = s->data.revision;
		pthread_mutex_unlock(&s->lock);
		if (cut || json_array_size(events) || now_ms() >= end_ms ||
		    serve_client_closed(r))
			break;
		usleep(WATCH_POLL_MS * 1000);
	}
	if (cut || (e && effective_fault(s, e) == PLATFORM_NO_ANSWER)) {
		json_decref(events);
		return MHD_NO;
	}
	return answer(s, r, 200,
		      json_pack("{s:o,s:I}", "events", events, "storeRevision",
				(json_int_t)revision));
}

static bool lease_is_valid(const struct platform_store *s, int64_t lease)
{
	return lease >= s->data.expired_below && lease < s->data.next_lease;
}

/* Runs a transaction; returns its HTTP status: 200 if it took effect, 412 if a
 * precondition does not hold (adds the present item to present), 404 if a lease
 * is not valid. */
static int run_transaction(struct platform_store *s, const json_t *body,
			   json_t *present)
{
	const json_t *rows = json_object_get(body, "precondition");
	const json_t *writes = json_object_get(body, "writes");
	size_t i;

	for (i = 0; i < json_array_size(rows); i++) {
		const json_t *row = json_array_get(rows, i);
		struct item *it = find_item(
			s, json_string_value(json_object_get(row, "key")));
		int64_t current = it && it->value ? it->revision : 0;

		if (current !=
		    json_integer_value(json_object_get(row, "revision"))) {
			if (current)
				json_array_append_new(present, item_json(it));
			return 412;
		}
	}
	for (i = 0; i < json_array_size(writes); i++) {
		const json_t *w = json_array_get(writes, i);
		int64_t lease = json_integer_value(json_object_get(w, "lease"));

		if (lease && !lease_is_valid(s, lease))
			return 404;
		set_item(s, json_string_value(json_object_get(w, "key")),
			 strdup(json_string_value(json_object_get(w, "value"))),
			 lease);
	}
	return 200;
}

/* Removes the items of leases with ids in [from, below). */
static void expire_leases(struct platform_store *s, int64_t from, int64_t below)
{
	int i;

	for (i = 0; i < s->data.n_items; i++)
		if (s->data.items[i].value && s->data.items[i].lease >= from &&
		    s->data.items[i].lease < below)
			set_item(s, s->data.items[i].key, NULL, 0);
}

/* Runs a call that does not wait; sets *body to the answer's body. */
static int run_call(struct platform_store *s, const struct serve_request *r,
		    json_t **body)
{
	json_t *in = json_loads(r->body ? r->body : "", 0, NULL);
	int64_t lease = strtoll(strrchr(r->path, '/') + 1, NULL, 10);
	int status = 404;

	pthread_mutex_lock(&s->lock);
	if (strcmp(r->path, "/kv-txn") == 0) {
		json_t *present = json_array();

		status = run_transaction(s, in, present);
		*body = json_pack("{s:I,s:o}", "revision",
				  (json_int_t)s->data.revision, "items",
				  present);
	} else if (strcmp(r->path, "/kv-lease") == 0) {
		status = 200;
		*body = json_pack("{s:I,s:s}", "lease",
				  (json_int_t)s->data.next_lease++, "ttl_time",
				  "6000ms");
	} else if (strncmp(r->path, "/kv-keep/", 9) == 0) {
		status = lease_is_valid(s, lease) ? 200 : 404;
		*body = json_pack("{s:s}", "ttl_time", "6000ms");
	} else if (strncmp(r->path, "/kv-lease-end/", 14) == 0) {
		expire_leases(s, lease, lease + 1);
		status = 200;
		*body = json_object();
	} else {
		*body = json_object();
	}
	pthread_mutex_unlock(&s->lock);
	json_decref(in);
	return status;
}

static enum MHD_Result handle_call(struct platform_store *s,
				   const struct platform_endpoint *e,
				   struct serve_request *r)
{
	enum platform_fault fault = effective_fault(s, e);
	json_t *body;
	int status;

	pthread_mutex_lock(&s->lock);
	s->calls++;
	pthread_mutex_unlock(&s->lock);
	if (fault == PLATFORM_UNAVAILABLE)
		return answer(s, r, 503, json_object());
	if (fault == PLATFORM_NO_ANSWER) {
		usleep(NO_ANSWER_DELAY_MS * 1000);
		return MHD_NO;
	}
	if (strcmp(r->path, "/kv-key") == 0)
		return handle_get(s, r);
	if (strcmp(r->path, "/kv-range") == 0)
		return handle_range(s, r);
	if (strcmp(r->path, "/kv-watch") == 0)
		return handle_watch(s, e, r);
	status = run_call(s, r, &body);
	if (fault == PLATFORM_ANSWER_LOST) {
		json_decref(body);
		return MHD_NO;
	}
	return answer(s, r, status, body);
}

static enum MHD_Result on_store(struct serve_request *r, void *arg)
{
	return handle_call(arg, NULL, r);
}

static enum MHD_Result on_endpoint(struct serve_request *r, void *arg)
{
	struct platform_endpoint *e = arg;

	return handle_call(e->store, e, r);
}

struct platform_store *platform_store_init(const char *listen)
{
	struct platform_store *s = calloc(1, sizeof(*s));

	pthread_mutex_init(&s->lock, NULL);
	s->data.revision = 1;
	s->data.next_lease = 100;
	s->era = 1;
	s->server = serve_init(listen, on_store, s);
	if (s->server)
		return s;
	free(s);
	return NULL;
}

void platform_store_set_fault(struct platform_store *s,
			      enum platform_fault fault)
{
	pthread_mutex_lock(&s->lock);
	s->fault = fault;
	pthread_mutex_unlock(&s->lock);
}

struct platform_endpoint *platform_endpoint_init(struct platform_store *s,
						 const char *listen)
{
	struct platform_endpoint *e = calloc(1, sizeof(*e));

	e->store = s;
	e->server = serve_init(listen, on_endpoint, e);
	if (e->server)
		return e;
	free(e);
	return NULL;
}

void platform_endpoint_set_fault(struct platform_endpoint *e,
				 enum platform_fault fault)
{
	pthread_mutex_lock(&e->store->lock);
	e->fault = fault;
	pthread_mutex_unlock(&e->store->lock);
}

void platform_endpoint_end(struct platform_endpoint *e)
{
	if (!e)
		return;
	serve_end(e->server);
	free(e);
}

void platform_store_write(struct platform_store *s, const char *key,
			  const char *value)
{
	pthread_mutex_lock(&s->lock);
	set_item(s, key, base64(value), 0);
	pthread_mutex_unlock(&s->lock);
}

void platform_store_remove(struct platform_store *s, const char *key)
{
	pthread_mutex_lock(&s->lock);
	set_item(s, key, NULL, 0);
	pthread_mutex_unlock(&s->lock);
}

void platform_store_expire_leases(struct platform_store *s)
{
	pthread_mutex_lock(&s->lock);
	expire_leases(s, 1, s->data.next_lease);
	s->data.expired_below = s->data.next_lease;
	pthread_mutex_unlock(&s->lock);
}

/* Copies the data, with values of its own. */
static void copy_data(struct store_data *to, const struct store_data *from)
{
	int i;

	*to = *from;
	for (i = 0; i < to->n_items; i++)
		if (to->items[i].value)
			to->items[i].value = strdup(to->items[i].value);
}

static void free_data(struct store_data *data)
{
	int i;

	for (i = 0; i < data->n_items; i++)
		free(data->items[i].value);
}

struct platform_copy *platform_store_copy(struct platform_store *s)
{
	struct platform_copy *c = calloc(1, sizeof(*c));

	pthread_mutex_lock(&s->lock);
	copy_data(&c->data, &s->data);
	pthread_mutex_unlock(&s->lock);
	return c;
}

void platform_store_restore(struct platform_store *s,
			    const struct platform_copy *c, const char *key,
			    const char *value)
{
	pthread_mutex_lock(&s->lock);
	free_data(&s->data);
	copy_data(&s->data, &c->data);
	s->era++;
	if (key)
		set_item(s, key, base64(value), 0);
	s->fault = PLATFORM_NO_FAULT;
	pthread_mutex_unlock(&s->lock);
}

void platform_copy_end(struct platform_copy *c)
{
	if (!c)
		return;
	free_data(&c->data);
	free(c);
}

int platform_store_count(struct platform_store *s, const char *prefix)
{
	json_t *list;
	int n;

	pthread_mutex_lock(&s->lock);
	list = collect(s, prefix, 0, false);
	pthread_mutex_unlock(&s->lock);
	n = (int)json_array_size(list);
	json_decref(list);
	return n;
}

int platform_store_calls(struct platform_store *s)
{
	int n;

	pthread_mutex_lock(&s->lock);
	n = s->calls;
	pthread_mutex_unlock(&s->lock);
	return n;
}

void platform_store_end(struct platform_store *s)
{
	if (!s)
		return;
	serve_end(s->server);
	free_data(&s->data);
	pthread_mutex_destroy(&s->lock);
	free(s);
}

/* Servers. */

static const char *const recorded_headers[] = {
	"Fulmarpass-Request-Id",
	"Fulmarpass-Deadline-Ms",
	"Fulmarpass-Tenant",
	"Fulmarpass-Key",
	"Fulmarpass-Caller-Service",
	"Fulmarpass-Target-Instance",
	"Host",
	"X-Other",
};
#define N_RECORDED (sizeof(recorded_headers) / sizeof(recorded_headers[0]))

struct platform_server {
	struct platform_server_opts o;
	struct server *server;
	pthread_mutex_t lock;
	char last_headers[N_RECORDED][8192];
	int runs;
	long last_body_bytes;
	long nested_status;
	uint64_t sequence; /* of the last announcement */
	int cold_ms;
};

static void send_nested_request(struct platform_server *s, const char *id)
{
	char id_line[300];
	char host_line[128];
	const char *headers[] = { id_line, host_line,
				  "Fulmarpass-Deadline-Ms: 2000", NULL };
	struct http_request req = { .url = s->o.nested_url,
				    .headers = headers };
	struct http_answer a;
	long status;

	snprintf(id_line, sizeof(id_line),
		 "Fulmarpass-Request-Id: %s.1b2c3d4e5f607182", id);
	snprintf(host_line, sizeof(host_line), "Host: %s", s->o.nested_host);
	status = http_call(&req, &a);
	http_answer_end(&a);
	pthread_mutex_lock(&s->lock);
	s->nested_status = status;
	pthread_mutex_unlock(&s->lock);
}

static enum MHD_Result send_refusal(struct platform_server *s,
				    struct serve_request *r)
{
	struct MHD_Response *res;
	enum MHD_Result rc;

	res = MHD_create_response_from_buffer(0, NULL, MHD_RESPMEM_PERSISTENT);
	MHD_add_response_header(res, "Fulmarpass-Not-Executed", "1");
	MHD_add_response_header(res, "Fulmarpass-Server-Load",
				s->o.refusal_load);
	MHD_add_response_header(res, "Fulmarpass-Request-Id",
				serve_header(r, "Fulmarpass-Request-Id"));
	rc = MHD_queue_response(r->conn, 503, res);
	MHD_destroy_response(res);
	return rc;
}

static ssize_t fill_body(void *arg, uint64_t at, char *out, size_t max)
{
	(void)arg;
	(void)at;
	memset(out, 'x', max);
	return (ssize_t)max;
}

/* Sends a body that ends when the caller closes the connection. */
static enum MHD_Result send_endless(struct serve_request *r)
{
	struct MHD_Response *res;
	enum MHD_Result rc;

	res = MHD_create_response_from_callback(
		MHD_SIZE_UNKNOWN, ENDLESS_BLOCK_BYTES, fill_body, NULL, NULL);
	MHD_add_response_header(res, "Fulmarpass-Request-Id",
				serve_header(r, "Fulmarpass-Request-Id"));
	rc = MHD_queue_response(r->conn, 200, res);
	MHD_destroy_response(res);
	return rc;
}

/* The body of an answer: of the size asked for by the path, or a word. */
static struct MHD_Response *make_body(const struct platform_server *s,
				      const char *path)
{
	char *body;

	if (!s->o.large_path || !strstr(path, s->o.large_path))
		return MHD_create_response_from_buffer(
			4, (void *)(uintptr_t) "done", MHD_RESPMEM_PERSISTENT);
	body = malloc((size_t)s->o.large_bytes);
	if (!body)
		abort();
	memset(body, 'a', (size_t)s->o.large_bytes);
	return MHD_create_response_from_buffer((size_t)s->o.large_bytes, body,
					       MHD_RESPMEM_MUST_FREE);
}

static int run_ms(const struct platform_server *s, const char *path)
{
	return s->o.slow_path && strstr(path, s->o.slow_path) ? s->o.slow_ms :
								s->o.run_ms;
}

static enum MHD_Result on_request(struct serve_request *r, void *arg)
{
	struct platform_server *s = arg;
	struct MHD_Response *res;
	enum MHD_Result rc;
	size_t i;

	if (strcmp(serve_header(r, "Fulmarpass-Target-Instance"), s->o.id) != 0)
		return serve_bytes(r, 421, "", 0, "Fulmarpass-Instance-Id",
				   s->o.id);
	if (s->o.refusal_load)
		return send_refusal(s, r);
	pthread_mutex_lock(&s->lock);
	s->runs++;
	s->last_body_bytes = (long)r->body_bytes;
	for (i = 0; i < N_RECORDED; i++)
		snprintf(s->last_headers[i], sizeof(s->last_headers[i]), "%s",
			 serve_header(r, recorded_headers[i]));
	pthread_mutex_unlock(&s->lock);
	if (s->o.on_run)
		s->o.on_run(s->o.on_run_arg,
			    serve_header(r, "Fulmarpass-Request-Id"));
	if (s->o.nested_url)
		send_nested_request(s,
				    serve_header(r, "Fulmarpass-Request-Id"));
	usleep((useconds_t)run_ms(s, r->path) * 1000);
	if (s->o.close_without_answer)
		return MHD_NO;
	if (s->o.endless_path && strstr(r->path, s->o.endless_path))
		return send_endless(r);
	res = make_body(s, r->path);
	MHD_add_response_header(res, "Fulmarpass-Response-Signature", s->o.id);
	MHD_add_response_header(res, "Fulmarpass-Request-Id",
				serve_header(r, "Fulmarpass-Request-Id"));
	rc = MHD_queue_response(r->conn, 200, res);
	MHD_destroy_response(res);
	return rc;
}

static bool send_to_control(struct platform_server *s, const char *method,
			    const char *body)
{
	char url[256];
	struct http_request req = { .method = method,
				    .url = url,
				    .body = body,
				    .body_bytes = strlen(body),
				    .timeout_ms = 1000 };
	struct http_answer a;
	long status;

	snprintf(url, sizeof(url), "http://%s/instances/%s", s->o.control,
		 s->o.id);
	status = http_call(&req, &a);
	http_answer_end(&a);
	return status == 200;
}

bool platform_server_announce(struct platform_server *s, const char *state)
{
	char body[512];

	pthread_mutex_lock(&s->lock);
	s->sequence++;
	snprintf(body, sizeof(body),
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z\","
		 "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
		 "\"coldRemaining\":\"%dms\",\"sequence\":%" PRIu64
		 ",\"born\":%" PRId64 "}",
		 s->o.service, s->o.address, state, s->cold_ms, s->sequence,
		 s->o.born_ms);
	pthread_mutex_unlock(&s->lock);
	return send_to_control(s, "PUT", body);
}

void platform_server_set_born(struct platform_server *s, int64_t born_ms)
{
	pthread_mutex_lock(&s->lock);
	s->o.born_ms = born_ms;
	s->sequence = 0;
	pthread_mutex_unlock(&s->lock);
}

void platform_server_set_cold(struct platform_server *s, int ms)
{
	pthread_mutex_lock(&s->lock);
	s->cold_ms = ms;
	pthread_mutex_unlock(&s->lock);
}

bool platform_server_deregister(struct platform_server *s)
{
	return send_to_control(s, "DELETE", "");
}

struct platform_server *
platform_server_init(const struct platform_server_opts *o)
{
	struct platform_server *s = calloc(1, sizeof(*s));

	s->o = *o;
	pthread_mutex_init(&s->lock, NULL);
	s->server = serve_init(o->address, on_request, s);
	if (s->server)
		return s;
	free(s);
	return NULL;
}

int platform_server_run_count(struct platform_server *s)
{
	int n;

	pthread_mutex_lock(&s->lock);
	n = s->runs;
	pthread_mutex_unlock(&s->lock);
	return n;
}

void platform_server_last_header(struct platform_server *s, const char *name,
				 char *value, int value_bytes)
{
	size_t i;

	value[0] = '\0';
	pthread_mutex_lock(&s->lock);
	for (i = 0; i < N_RECORDED; i++)
		if (strcmp(recorded_headers[i], name) == 0)
			snprintf(value, (size_t)value_bytes, "%s",
				 s->last_headers[i]);
	pthread_mutex_unlock(&s->lock);
}

long platform_server_last_body_bytes(struct platform_server *s)
{
	long bytes;

	pthread_mutex_lock(&s->lock);
	bytes = s->last_body_bytes;
	pthread_mutex_unlock(&s->lock);
	return bytes;
}

long platform_server_nested_status(struct platform_server *s)
{
	long status;

	pthread_mutex_lock(&s->lock);
	status = s->nested_status;
	pthread_mutex_unlock(&s->lock);
	return status;
}

void platform_server_end(struct platform_server *s)
{
	if (!s)
		return;
	serve_end(s->server);
	pthread_mutex_destroy(&s->lock);
	free(s);
}
