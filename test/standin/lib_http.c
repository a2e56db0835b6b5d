/* lib_http.c - blocking HTTP requests for stand-ins and tests */
#include "standin/lib_http.h"

#include <ctype.h>
#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

#define DEFAULT_TIMEOUT_MS 10000
#define CANCEL_POLL_MS	   20

/** A pooled client with its own connections. */
struct client {
	struct client *next;
	CURLM *multi;
	CURL *easy;
};

static pthread_mutex_t pool_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_once_t pool_once = PTHREAD_ONCE_INIT;
static struct client *pool;

static void close_pool(void)
{
	while (pool) {
		struct client *c = pool;

		pool = c->next;
		curl_easy_cleanup(c->easy);
		curl_multi_cleanup(c->multi);
		free(c);
	}
}

static void open_pool(void)
{
	curl_global_init(CURL_GLOBAL_ALL);
	atexit(close_pool);
}

static struct client *take_client(void)
{
	struct client *c;

	pthread_once(&pool_once, open_pool);
	pthread_mutex_lock(&pool_lock);
	c = pool;
	if (c)
		pool = c->next;
	pthread_mutex_unlock(&pool_lock);
	if (c)
		return c;
	c = calloc(1, sizeof(*c));
	if (!c)
		abort();
	c->multi = curl_multi_init();
	c->easy = curl_easy_init();
	return c;
}

static void return_client(struct client *c)
{
	pthread_mutex_lock(&pool_lock);
	c->next = pool;
	pool = c;
	pthread_mutex_unlock(&pool_lock);
}

/** A growing text, always followed by a NUL. */
struct text {
	char *data;
	size_t bytes;
};

static size_t append(char *data, size_t size, size_t n, void *arg)
{
	struct text *t = arg;
	char *grown = realloc(t->data, t->bytes + size * n + 1);

	if (!grown)
		return 0;
	memcpy(grown + t->bytes, data, size * n);
	t->data = grown;
	t->bytes += size * n;
	t->data[t->bytes] = '\0';
	return size * n;
}

static struct curl_slist *build_headers(const struct http_request *req)
{
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	size_t i;

	for (i = 0; req->headers && req->headers[i]; i++)
		list = curl_slist_append(list, req->headers[i]);
	return list;
}

static void set_options(CURL *e, const struct http_request *req,
			struct text *headers, struct text *body)
{
	int64_t timeout_ms =
		req->timeout_ms ? req->timeout_ms : DEFAULT_TIMEOUT_MS;

	curl_easy_reset(e);
	curl_easy_setopt(e, CURLOPT_URL, req->url);
	curl_easy_setopt(e, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, append);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, body);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, append);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, headers);
	if (!req->keep_connection) {
		curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(e, CURLOPT_FORBID_REUSE, 1L);
	}
	if (req->body) {
		curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)req->body_bytes);
		curl_easy_setopt(e, CURLOPT_POSTFIELDS, req->body);
	}
	if (req->method)
		curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, req->method);
}

static CURLcode run_request(struct client *c, const struct http_request *req)
{
	CURLMsg *msg;
	int running = 1;
	int left;

	for (;;) {
		curl_multi_perform(c->multi, &running);
		if (!running)
			break;
		if (req->cancelled && req->cancelled(req->cancelled_arg))
			return CURLE_ABORTED_BY_CALLBACK;
		curl_multi_poll(c->multi, NULL, 0,
				req->cancelled ? CANCEL_POLL_MS : 1000, NULL);
	}
	msg = curl_multi_info_read(c->multi, &left);
	return msg ? msg->data.result : CURLE_FAILED_INIT;
}

long http_call(const struct http_request *req, struct http_answer *a)
{
	struct client *c = take_client();
	struct curl_slist *list = build_headers(req);
	struct text headers = { NULL, 0 };
	struct text body = { NULL, 0 };
	int64_t start_us = fp_mono_us(fp_system_clock());
	CURLcode rc;

	memset(a, 0, sizeof(*a));
	append("", 1, 0, &headers);
	append("", 1, 0, &body);
	set_options(c->easy, req, &headers, &body);
	curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, list);
	curl_multi_add_handle(c->multi, c->easy);
	rc = run_request(c, req);
	if (rc == CURLE_OK)
		curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &a->status);
	else
		snprintf(a->error, sizeof(a->error), "%s",
			 curl_easy_strerror(rc));
	curl_multi_remove_handle(c->multi, c->easy);
	return_client(c);
	curl_slist_free_all(list);
	a->headers = headers.data;
	a->body = body.data;
	a->body_bytes = body.bytes;
	a->latency_us = fp_mono_us(fp_system_clock()) - start_us;
	return a->status;
}

bool http_answer_header(const struct http_answer *a, const char *name,
			char *value, size_t value_bytes)
{
	size_t n = strlen(name);
	const char *line = a->headers;

	value[0] = '\0';
	while (line && *line) {
		const char *end = strstr(line, "\r\n");

		if (!end)
			return false;
		if (strncasecmp(line, name, n) == 0 && line[n] == ':') {
			line += n + 1;
			line += strspn(line, " ");
			snprintf(value, value_bytes, "%.*s", (int)(end - line),
				 line);
			return true;
		}
		line = end + 2;
	}
	return false;
}

void http_answer_end(struct http_answer *a)
{
	free(a->headers);
	free(a->body);
	memset(a, 0, sizeof(*a));
}

void http_escape(const char *text, char *out, size_t out_bytes)
{
	size_t n = 0;

	for (; *text && n + 4 < out_bytes; text++) {
		unsigned char ch = (unsigned char)*text;

		if (isalnum(ch) || strchr("-._~", ch))
			out[n++] = (char)ch;
		else
			n += (size_t)snprintf(out + n, 4, "%%%02X", ch);
	}
	out[n] = '\0';
}
