/*
 * store_http.c - HTTP client of the platform's versioned key-value API (/v1/kv)
 *
 * A call whose connection could not be opened had no effect. After any other
 * failure the effect of a write is unknown, which is reported as FP_TIMEOUT.
 */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/store.h"
#include "coordination/store_client.h"

#define PATH_BYTES 640 /* path and query of a call, with NUL */

enum call_kind { CALL_GET, CALL_CAS, CALL_LIST, CALL_WATCH, CALL_KINDS };

static const char *const kind_labels[CALL_KINDS] = {
	"call=\"get\"",
	"call=\"cas\"",
	"call=\"list\"",
	"call=\"watch\"",
};

struct store_http {
	struct fp_store store; /* first member */
	struct fp_store_client client;
};

/* One call in flight. */
struct store_call {
	struct store_http *s;
	enum call_kind kind;
	fp_store_done_fn done;
	fp_store_list_fn list_done;
	void *ctx;
};

static enum fp_status status_of(const struct fp_http_result *r)
{
	if (r->status == FP_UNAVAILABLE)
		return FP_UNAVAILABLE;
	if (r->status != FP_OK)
		return FP_TIMEOUT;
	switch (r->http_status) {
	case 200:
		return FP_OK;
	case 204:
		return FP_AGAIN;
	case 404:
		return FP_NOT_FOUND;
	case 409:
		return FP_CONFLICT;
	default:
		/* An error status does not show whether the write was made. */
		return FP_TIMEOUT;
	}
}

static void on_done(void *ctx, const struct fp_http_result *r)
{
	struct store_call *c = ctx;
	struct fp_store_result res = { .status = status_of(r) };
	json_t *body = fp_store_client_body(r);
	json_t *value = json_object_get(body, "value");

	res.version =
		(uint64_t)json_integer_value(json_object_get(body, "version"));
	if (json_is_string(value)) {
		res.value = json_string_value(value);
		res.value_bytes = json_string_length(value);
	}
	if (res.status == FP_OK && c->kind != CALL_CAS && !res.value)
		res.status = FP_TIMEOUT;
	if (res.status == FP_OK && !res.version)
		res.status = FP_TIMEOUT;
	fp_store_client_count_failure(&c->s->client, c->kind, res.status);
	c->done(c->ctx, &res);
	json_decref(body);
	free(c);
}

static void on_list_done(void *ctx, const struct fp_http_result *r)
{
	struct store_call *c = ctx;
	enum fp_status st = status_of(r);
	json_t *body = fp_store_client_body(r);
	json_t *list = json_object_get(body, "entries");
	size_t n = json_array_size(list);
	struct fp_store_entry *e = calloc(n ? n : 1, sizeof(*e));
	size_t i;

	if (!e)
		abort();
	for (i = 0; i < n; i++) {
		json_t *item = json_array_get(list, i);
		const char *key =
			json_string_value(json_object_get(item, "key"));
		const char *value =
			json_string_value(json_object_get(item, "value"));

		e[i].key = key ? key : "";
		e[i].value = value ? value : "";
		e[i].version = (uint64_t)json_integer_value(
			json_object_get(item, "version"));
	}
	if (st == FP_OK && !json_is_array(list))
		st = FP_TIMEOUT;
	fp_store_client_count_failure(&c->s->client, c->kind, st);
	c->list_done(c->ctx, st, e, n);
	free(e);
	json_decref(body);
	free(c);
}

static struct store_call *new_call(struct store_http *s, enum call_kind kind,
				   void *ctx)
{
	struct store_call *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	c->s = s;
	c->kind = kind;
	c->ctx = ctx;
	return c;
}

static void send_call(struct store_call *c, const char *method,
		      const char *path, const char *body, int64_t extra_us)
{
	struct fp_store_call call = { .kind = c->kind,
				      .method = method,
				      .path = path,
				      .body = body,
				      .extra_us = extra_us,
				      .once = c->kind == CALL_CAS };

	fp_store_client_send(&c->s->client, &call,
			     c->kind == CALL_LIST ? on_list_done : on_done, c);
}

static void http_get(struct fp_store *store, const char *key,
		     fp_store_done_fn done, void *ctx)
{
	struct store_http *s = (struct store_http *)store;
	struct store_call *c = new_call(s, CALL_GET, ctx);
	char path[PATH_BYTES];

	c->done = done;
	snprintf(path, sizeof(path), "/v1/kv/%s", key);
	send_call(c, "GET", path, NULL, 0);
}

static void http_cas(struct fp_store *store, const char *key, const char *value,
		     uint64_t version, fp_store_done_fn done, void *ctx)
{
	struct store_http *s = (struct store_http *)store;
	struct store_call *c = new_call(s, CALL_CAS, ctx);
	json_t *body = json_pack("{s:s,s:i}", "value", value, "lease", 0);
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	char path[PATH_BYTES];

	if (!text)
		abort();
	c->done = done;
	snprintf(path, sizeof(path), "/v1/kv/%s?version=%" PRIu64, key,
		 version);
	send_call(c, "PUT", path, text, 0);
	free(text);
	json_decref(body);
}

static void http_list(struct fp_store *store, const char *prefix,
		      fp_store_list_fn done, void *ctx)
{
	struct store_http *s = (struct store_http *)store;
	struct store_call *c = new_call(s, CALL_LIST, ctx);
	char path[PATH_BYTES];

	c->list_done = done;
	snprintf(path, sizeof(path), "/v1/list?prefix=%s", prefix);
	send_call(c, "GET", path, NULL, 0);
}

static void http_watch(struct fp_store *store, const char *key, uint64_t after,
		       int64_t wait_us, fp_store_done_fn done, void *ctx)
{
	struct store_http *s = (struct store_http *)store;
	struct store_call *c = new_call(s, CALL_WATCH, ctx);
	char path[PATH_BYTES];

	c->done = done;
	snprintf(path, sizeof(path),
		 "/v1/watch?key=%s&after=%" PRIu64 "&wait_ms=%" PRId64, key,
		 after, wait_us / FP_US_PER_MS);
	send_call(c, "GET", path, NULL, wait_us);
}

static void http_end(struct fp_store *store)
{
	struct store_http *s = (struct store_http *)store;

	fp_store_client_end(&s->client);
	free(s);
}

static const struct fp_store_ops http_ops = {
	.get = http_get,
	.cas = http_cas,
	.list = http_list,
	.watch = http_watch,
	.end = http_end,
};

enum fp_status fp_store_http_init(struct fp_loop *l, const char *url,
				  int64_t timeout_us, struct fp_counters *cs,
				  struct fp_store **out)
{
	struct store_http *s = calloc(1, sizeof(*s));
	enum fp_status st;

	if (!s)
		return fp_fail(FP_NOMEM, "out of memory");
	s->store.ops = &http_ops;
	st = fp_store_client_init(&s->client, l, url, timeout_us, cs,
				  kind_labels, CALL_KINDS);
	if (st != FP_OK) {
		free(s);
		return st;
	}
	*out = &s->store;
	return FP_OK;
}
