/* store_main.c - stand-in for the store that store_http.c calls
 *
 * The store is served over HTTP, with JSON bodies.
 * /v1/kv/KEY reads, writes and deletes a key, /v1/list lists keys, /v1/watch
 * waits for a change of a key, /v1/lease grants, renews and revokes leases.
 * POST /ctl sets faults (see set_faults()), /ctl/counts returns the numbers
 * of calls.
 */
#include <getopt.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "standin/lib_kv.h"
#include "standin/lib_serve.h"

#define MAX_VALUE_BYTES (1u << 20)
#define MAX_WAIT_MS	600000 /* of a watch */
#define PREFIX_BYTES	256

/** Calls that the store counts. */
enum call {
	CALL_GET,
	CALL_PUT,
	CALL_DELETE,
	CALL_LIST,
	CALL_WATCH,
	CALL_LEASE,
	CALL_COUNT
};

static const char *const call_names[CALL_COUNT] = { "get",  "put",   "delete",
						    "list", "watch", "lease" };

/** A store that is served over HTTP, its call counts and its faults. */
struct service {
	struct store *store;
	pthread_mutex_t lock; /**< guards the fields below */
	int64_t counts[CALL_COUNT];
	bool down; /**< close connections without an answer */
	int64_t delay_ms; /**< of each answer */
	/** number of further answers to writes and deletions of keys that are
	 *  dropped */
	int64_t lose_answers;
	int64_t lose_lease_answers; /**< the same for lease calls */
	char lose_prefix[PREFIX_BYTES]; /**< of keys with lost answers */
};

static void sleep_ms(int64_t ms)
{
	struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

	while (nanosleep(&t, &t))
		;
}

/** Counts a call; false while the store is down. */
static bool count_call(struct service *sv, enum call c)
{
	bool up;

	pthread_mutex_lock(&sv->lock);
	sv->counts[c]++;
	up = !sv->down;
	pthread_mutex_unlock(&sv->lock);
	return up;
}

/** Returns whether the answer of a write must be dropped, and counts it; key
 *  NULL: a lease call. */
static bool loses_answer(struct service *sv, const char *key)
{
	int64_t *left = key ? &sv->lose_answers : &sv->lose_lease_answers;
	bool lose;

	pthread_mutex_lock(&sv->lock);
	lose = *left > 0 && (!key || strncmp(key, sv->lose_prefix,
					     strlen(sv->lose_prefix)) == 0);
	if (lose)
		--*left;
	pthread_mutex_unlock(&sv->lock);
	return lose;
}

static enum MHD_Result answer_after_delay(struct service *sv,
					  struct serve_request *r,
					  unsigned int status, json_t *body)
{
	int64_t delay_ms;
	bool down;

	pthread_mutex_lock(&sv->lock);
	delay_ms = sv->delay_ms;
	pthread_mutex_unlock(&sv->lock);
	sleep_ms(delay_ms);
	pthread_mutex_lock(&sv->lock);
	down = sv->down;
	pthread_mutex_unlock(&sv->lock);
	if (down) {
		json_decref(body);
		return MHD_NO;
	}
	return serve_json(r, status, body);
}

static unsigned int http_status(enum kv_status st)
{
	switch (st) {
	case KV_OK:
		return MHD_HTTP_OK;
	case KV_CONFLICT:
		return MHD_HTTP_CONFLICT;
	case KV_TIMEOUT:
		return MHD_HTTP_NO_CONTENT;
	default:
		return MHD_HTTP_NOT_FOUND;
	}
}

static enum MHD_Result answer_error(struct service *sv, struct serve_request *r,
				    unsigned int status, const char *what)
{
	return answer_after_delay(sv, r, status,
				  json_pack("{s:s}", "error", what));
}

/** Answers a write; drops the answer of one that took effect if that fault is
 *  set. */
static enum MHD_Result answer_write(struct service *sv, struct serve_request *r,
				    enum kv_status st, const char *key,
				    json_t *body)
{
	if (st == KV_OK && loses_answer(sv, key)) {
		json_decref(body);
		return MHD_NO;
	}
	return answer_after_delay(sv, r, http_status(st), body);
}

static json_t *version_body(int64_t version)
{
	return json_pack("{s:I}", "version", (json_int_t)version);
}

/** Reads a non-negative integer of the query; false if absent or malformed. */
static bool query_int(struct serve_request *r, const char *name, int64_t *n)
{
	const char *text = serve_query(r, name);
	char *end;

	*n = strtoll(text, &end, 10);
	return *text && !*end && *n >= 0;
}

static enum MHD_Result handle_get(struct service *sv, struct serve_request *r,
				  const char *key)
{
	json_t *entry;
	enum kv_status st;

	if (!count_call(sv, CALL_GET))
		return MHD_NO;
	st = sv->store->ops->get(sv->store, key, &entry);
	return answer_after_delay(sv, r, http_status(st),
				  entry ? entry : json_object());
}

static enum MHD_Result handle_put(struct service *sv, struct serve_request *r,
				  const char *key)
{
	int64_t version, current;
	json_t *body, *value;
	enum kv_status st;

	if (!count_call(sv, CALL_PUT))
		return MHD_NO;
	body = json_loadb(r->body, r->body_bytes, 0, NULL);
	value = json_object_get(body, "value");
	if (!query_int(r, "version", &version) || !json_is_string(value)) {
		json_decref(body);
		return answer_error(sv, r, MHD_HTTP_BAD_REQUEST, "malformed");
	}
	if (json_string_length(value) > MAX_VALUE_BYTES) {
		json_decref(body);
		return answer_error(sv, r, MHD_HTTP_CONTENT_TOO_LARGE,
				    "value above a megabyte");
	}
	st = sv->store->ops->put(
		sv->store, key, version, json_string_value(value),
		json_integer_value(json_object_get(body, "lease")), &current);
	json_decref(body);
	return answer_write(sv, r, st, key, version_body(current));
}

static enum MHD_Result handle_delete(struct service *sv,
				     struct serve_request *r, const char *key)
{
	int64_t version, current;
	enum kv_status st;

	if (!count_call(sv, CALL_DELETE))
		return MHD_NO;
	if (!query_int(r, "version", &version))
		return answer_error(sv, r, MHD_HTTP_BAD_REQUEST, "malformed");
	st = sv->store->ops->del(sv->store, key, version, &current);
	return answer_write(sv, r, st, key, version_body(current));
}

static enum MHD_Result handle_list(struct service *sv, struct serve_request *r)
{
	json_t *entries;

	if (!count_call(sv, CALL_LIST))
		return MHD_NO;
	entries = sv->store->ops->list(sv->store, serve_query(r, "prefix"));
	return answer_after_delay(sv, r, MHD_HTTP_OK,
				  json_pack("{s:o}", "entries", entries));
}

static enum MHD_Result handle_watch(struct service *sv, struct serve_request *r)
{
	int64_t after, wait_ms;
	json_t *entry;
	enum kv_status st;

	if (!count_call(sv, CALL_WATCH))
		return MHD_NO;
	if (!query_int(r, "after", &after) ||
	    !query_int(r, "wait_ms", &wait_ms) || !*serve_query(r, "key"))
		return answer_error(sv, r, MHD_HTTP_BAD_REQUEST, "malformed");
	if (wait_ms > MAX_WAIT_MS)
		wait_ms = MAX_WAIT_MS;
	st = sv->store->ops->watch(sv->store, serve_query(r, "key"), after,
				   wait_ms, &entry);
	if (st == KV_INTERRUPTED)
		return MHD_NO;
	if (st == KV_TIMEOUT)
		return serve_bytes(r, MHD_HTTP_NO_CONTENT, "", 0, NULL, NULL);
	return answer_after_delay(sv, r, http_status(st), entry);
}

static enum MHD_Result handle_lease_grant(struct service *sv,
					  struct serve_request *r)
{
	json_t *body = json_loadb(r->body, r->body_bytes, 0, NULL);
	int64_t ttl_ms = json_integer_value(json_object_get(body, "ttl_ms"));
	int64_t id;

	json_decref(body);
	if (ttl_ms <= 0)
		return answer_error(sv, r, MHD_HTTP_BAD_REQUEST, "malformed");
	id = sv->store->ops->lease_grant(sv->store, ttl_ms);
	return answer_write(sv, r, KV_OK, NULL,
			    json_pack("{s:I}", "lease", (json_int_t)id));
}

static enum MHD_Result handle_lease(struct service *sv, struct serve_request *r,
				    const char *id)
{
	const struct store_ops *ops = sv->store->ops;
	int64_t lease = strtoll(id, NULL, 10);
	enum kv_status st;

	if (!count_call(sv, CALL_LEASE))
		return MHD_NO;
	if (strcmp(r->method, "POST") == 0 && !*id)
		return handle_lease_grant(sv, r);
	if (strcmp(r->method, "POST") == 0)
		st = ops->lease_renew(sv->store, lease);
	else if (strcmp(r->method, "DELETE") == 0)
		st = ops->lease_revoke(sv->store, lease);
	else
		return answer_error(sv, r, MHD_HTTP_METHOD_NOT_ALLOWED, "");
	return answer_write(sv, r, st, NULL, json_object());
}

static enum MHD_Result handle_counts(struct service *sv,
				     struct serve_request *r)
{
	json_t *body = json_object();
	int64_t total = 0;
	int i;

	pthread_mutex_lock(&sv->lock);
	for (i = 0; i < CALL_COUNT; i++) {
		json_object_set_new(body, call_names[i],
				    json_integer(sv->counts[i]));
		total += sv->counts[i];
	}
	pthread_mutex_unlock(&sv->lock);
	json_object_set_new(body, "total", json_integer(total));
	return serve_json(r, MHD_HTTP_OK, body);
}

static void set_number(const json_t *body, const char *name, int64_t *n)
{
	json_t *v = json_object_get(body, name);

	if (json_is_integer(v))
		*n = json_integer_value(v);
}

/**
 * Applies the fields of a body sent to /ctl; absent ones stay unchanged: mode
 * ("up", "down", or "slow" with delay_ms), lose_answers, lose_lease_answers,
 * lose_prefix.
 */
static void set_faults(struct service *sv, const json_t *body)
{
	const char *mode = json_string_value(json_object_get(body, "mode"));
	const char *prefix =
		json_string_value(json_object_get(body, "lose_prefix"));

	pthread_mutex_lock(&sv->lock);
	if (mode) {
		sv->down = strcmp(mode, "down") == 0;
		sv->delay_ms = 0;
		if (strcmp(mode, "slow") == 0)
			set_number(body, "delay_ms", &sv->delay_ms);
	}
	set_number(body, "lose_answers", &sv->lose_answers);
	set_number(body, "lose_lease_answers", &sv->lose_lease_answers);
	if (prefix)
		snprintf(sv->lose_prefix, sizeof(sv->lose_prefix), "%s",
			 prefix);
	pthread_mutex_unlock(&sv->lock);
	if (mode && strcmp(mode, "down") == 0)
		sv->store->ops->interrupt(sv->store);
}

static enum MHD_Result handle_control(struct service *sv,
				      struct serve_request *r)
{
	json_t *body = json_loadb(r->body, r->body_bytes, 0, NULL);

	if (!json_is_object(body)) {
		json_decref(body);
		return serve_json(r, MHD_HTTP_BAD_REQUEST, json_object());
	}
	set_faults(sv, body);
	json_decref(body);
	return serve_json(r, MHD_HTTP_OK, json_object());
}

static enum MHD_Result handle_key(struct service *sv, struct serve_request *r,
				  const char *key)
{
	if (strcmp(r->method, "GET") == 0)
		return handle_get(sv, r, key);
	if (strcmp(r->method, "PUT") == 0)
		return handle_put(sv, r, key);
	if (strcmp(r->method, "DELETE") == 0)
		return handle_delete(sv, r, key);
	return answer_error(sv, r, MHD_HTTP_METHOD_NOT_ALLOWED, "");
}

static const char *after_prefix(const char *path, const char *prefix)
{
	size_t n = strlen(prefix);

	return strncmp(path, prefix, n) == 0 ? path + n : NULL;
}

static enum MHD_Result handle_request(struct serve_request *r, void *arg)
{
	struct service *sv = arg;
	const char *rest;

	if ((rest = after_prefix(r->path, "/v1/kv/")) && *rest)
		return handle_key(sv, r, rest);
	if (strcmp(r->path, "/v1/list") == 0)
		return handle_list(sv, r);
	if (strcmp(r->path, "/v1/watch") == 0)
		return handle_watch(sv, r);
	if ((rest = after_prefix(r->path, "/v1/lease/")) && *rest)
		return handle_lease(sv, r, rest);
	if (strcmp(r->path, "/v1/lease") == 0)
		return handle_lease(sv, r, "");
	if (strcmp(r->path, "/ctl/counts") == 0)
		return handle_counts(sv, r);
	if (strcmp(r->path, "/ctl") == 0)
		return handle_control(sv, r);
	return serve_json(r, MHD_HTTP_NOT_FOUND, json_object());
}

int main(int argc, char **argv)
{
	static const struct option options[] = {
		{ "listen", required_argument, NULL, 'l' },
		{ NULL, 0, NULL, 0 },
	};
	struct service sv = { .lock = PTHREAD_MUTEX_INITIALIZER };
	const char *listen = NULL;
	struct server *server;
	int c;

	while ((c = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (c != 'l')
			return 2;
		listen = optarg;
	}
	if (!listen) {
		fprintf(stderr, "usage: store --listen IP:PORT\n");
		return 2;
	}
	serve_block_stop();
	sv.store = kv_init(fp_system_clock());
	server = sv.store ? serve_init(listen, handle_request, &sv) : NULL;
	if (!server) {
		fprintf(stderr, "store: cannot listen on %s\n", listen);
		return 1;
	}
	serve_wait_for_stop();
	sv.store->ops->interrupt(sv.store);
	serve_end(server);
	sv.store->ops->end(sv.store);
	return 0;
}
