/* admin.c - HTTP calls of operator commands to a node's admin port */
#include "cmd/admin.h"

#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/config_codec.h"
#include "protocol/field.h"

/* Limits of a call; READ_* are the shorter timeouts of admin_read_at(). */
#define CONNECT_TIMEOUT_MS	2000L
#define CALL_TIMEOUT_MS		10000L
#define READ_CONNECT_TIMEOUT_MS 500L
#define READ_TIMEOUT_MS		2000L
#define MAX_ANSWER_BYTES	(4 * FP_CONFIG_MAX_BYTES)
#define KEY_BYTES		256

struct admin {
	CURL *curl;
	struct curl_slist *headers; /* with the operator's key */
	char node[64];
};

struct received {
	char *bytes;
	size_t len;
};

static size_t append_received(char *data, size_t size, size_t n, void *ctx)
{
	struct received *r = ctx;
	size_t bytes_in = size * n;
	char *grown;

	if (r->len + bytes_in > MAX_ANSWER_BYTES)
		return 0;
	grown = realloc(r->bytes, r->len + bytes_in + 1);
	if (!grown)
		return 0;
	memcpy(grown + r->len, data, bytes_in);
	r->bytes = grown;
	r->len += bytes_in;
	grown[r->len] = '\0';
	return bytes_in;
}

/* Reads the key, the first line of the file. */
static bool read_key_file(const char *path, char key[KEY_BYTES])
{
	FILE *in = fopen(path, "r");
	bool ok;

	if (!in)
		return false;
	ok = fgets(key, KEY_BYTES, in) != NULL;
	fclose(in);
	if (ok)
		key[strcspn(key, "\r\n")] = '\0';
	return ok;
}

static enum cmd_exit read_operator_key(const struct cmd_options *o,
				       char key[KEY_BYTES])
{
	const char *env = getenv(ADMIN_KEY_ENV);
	size_t len;

	key[0] = '\0';
	if (o->key_file && !read_key_file(o->key_file, key))
		return cmd_fail(o, CMD_USAGE, "%s: cannot be read",
				o->key_file);
	if (!o->key_file && !env)
		return cmd_fail(o, CMD_USAGE,
				"no operator key: give --operator-key-file or "
				"set %s",
				ADMIN_KEY_ENV);
	if (!o->key_file)
		snprintf(key, KEY_BYTES, "%s", env);
	len = strlen(key);
	if (len > 0 && strspn(key, "abcdefghijklmnopqrstuvwxyz"
				   "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				   "0123456789-._~+/=") == len)
		return CMD_DONE;
	return cmd_fail(o, CMD_USAGE, "the operator key is empty or malformed");
}

static bool init_curl(struct admin *a, const char *key)
{
	char header[KEY_BYTES + 32];

	curl_global_init(CURL_GLOBAL_DEFAULT);
	a->curl = curl_easy_init();
	if (!a->curl)
		return false;
	if (!key[0])
		return true;
	snprintf(header, sizeof(header), "Authorization: Bearer %s", key);
	a->headers = curl_slist_append(NULL, header);
	sodium_memzero(header, sizeof(header));
	return a->headers != NULL;
}

static enum cmd_exit open_admin(const struct cmd_options *o, bool needs_key,
				struct admin **out)
{
	const char *node = o->node ? o->node : getenv(ADMIN_NODE_ENV);
	char key[KEY_BYTES] = "";
	struct admin *a;
	enum cmd_exit code = CMD_DONE;

	if (!node)
		node = ADMIN_NODE_DEFAULT;
	if (!fp_ip_port_valid(node))
		return cmd_fail(o, CMD_USAGE,
				"node: expected IP:PORT, got \"%.60s\"", node);
	if (needs_key || o->key_file || getenv(ADMIN_KEY_ENV))
		code = read_operator_key(o, key);
	if (code)
		return code;
	a = calloc(1, sizeof(*a));
	if (!a || !init_curl(a, key)) {
		admin_end(a);
		return cmd_fail(o, CMD_REFUSED, "out of memory");
	}
	sodium_memzero(key, sizeof(key));
	snprintf(a->node, sizeof(a->node), "%s", node);
	*out = a;
	return CMD_DONE;
}

enum cmd_exit admin_open(const struct cmd_options *o, struct admin **out)
{
	return open_admin(o, true, out);
}

enum cmd_exit admin_open_keyless(const struct cmd_options *o,
				 struct admin **out)
{
	return open_admin(o, false, out);
}

void admin_end(struct admin *a)
{
	if (!a)
		return;
	curl_slist_free_all(a->headers);
	if (a->curl)
		curl_easy_cleanup(a->curl);
	free(a);
}

static void prepare_call(struct admin *a, const char *path, const char *body,
			 struct received *got)
{
	char url[256];
	CURL *c = a->curl;

	snprintf(url, sizeof(url), "http://%s%s", a->node, path);
	curl_easy_reset(c);
	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, a->headers);
	curl_easy_setopt(c, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, append_received);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, got);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	/* on a reused connection libcurl may resend the request by itself */
	curl_easy_setopt(c, CURLOPT_FRESH_CONNECT, 1L);
	/* the operator key must reach no host but the node */
	curl_easy_setopt(c, CURLOPT_PROXY, "");
	curl_easy_setopt(c, CURLOPT_FOLLOWLOCATION, 0L);
	if (body)
		curl_easy_setopt(c, CURLOPT_POSTFIELDS, body);
}

static enum fp_status call_failed(const struct admin *a, CURLcode rc)
{
	if (rc == CURLE_COULDNT_CONNECT || rc == CURLE_COULDNT_RESOLVE_HOST ||
	    rc == CURLE_URL_MALFORMAT)
		return fp_fail(FP_UNAVAILABLE, "node %s: %s", a->node,
			       curl_easy_strerror(rc));
	return fp_fail(FP_TIMEOUT, "node %s: %s", a->node,
		       curl_easy_strerror(rc));
}

/* Runs the prepared call. */
static enum fp_status run_call(struct admin *a, struct received *got,
			       struct admin_answer *r)
{
	double connect_s = 0;
	CURLcode rc = curl_easy_perform(a->curl);

	curl_easy_getinfo(a->curl, CURLINFO_RESPONSE_CODE, &r->http_status);
	curl_easy_getinfo(a->curl, CURLINFO_CONNECT_TIME, &connect_s);
	if (!rc && got->bytes)
		r->body = json_loadb(got->bytes, got->len, 0, NULL);
	free(got->bytes);
	/* a timeout before the connection was open: nothing was sent */
	if (rc == CURLE_OPERATION_TIMEDOUT && connect_s <= 0)
		rc = CURLE_COULDNT_CONNECT;
	return rc ? call_failed(a, rc) : FP_OK;
}

enum fp_status admin_call(struct admin *a, const char *path, const json_t *body,
			  struct admin_answer *r)
{
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	struct received got = { NULL, 0 };
	enum fp_status st;

	memset(r, 0, sizeof(*r));
	if (body && !text)
		return fp_fail(FP_UNAVAILABLE, "out of memory");
	prepare_call(a, path, text, &got);
	st = run_call(a, &got, r);
	free(text);
	return st;
}

enum fp_status admin_read_at(struct admin *a, const char *node,
			     const char *path, struct admin_answer *r)
{
	struct received got = { NULL, 0 };
	char saved_node[sizeof(a->node)];
	enum fp_status st;

	memset(r, 0, sizeof(*r));
	if (!fp_ip_port_valid(node))
		return fp_fail(FP_UNAVAILABLE,
			       "node: expected IP:PORT, got \"%.60s\"", node);
	memcpy(saved_node, a->node, sizeof(saved_node));
	snprintf(a->node, sizeof(a->node), "%s", node);
	prepare_call(a, path, NULL, &got);
	curl_easy_setopt(a->curl, CURLOPT_CONNECTTIMEOUT_MS,
			 READ_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(a->curl, CURLOPT_TIMEOUT_MS, READ_TIMEOUT_MS);
	st = run_call(a, &got, r);
	memcpy(a->node, saved_node, sizeof(saved_node));
	return st;
}

const char *admin_node(const struct admin *a)
{
	return a->node;
}

static enum fp_status decode_config(const json_t *body, struct fp_config **c)
{
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	enum fp_status st;

	if (!text)
		return fp_fail(FP_INVALID, "the node's answer is not JSON");
	st = fp_config_decode(text, strlen(text), c);
	free(text);
	return st;
}

static enum fp_status refused_answer(const struct admin_answer *r)
{
	const char *reason =
		json_string_value(json_object_get(r->body, "reason"));

	return fp_fail(r->http_status == 401 || r->http_status == 403 ?
			       FP_DENIED :
			       FP_AGAIN,
		       "the node answers %ld%s%.300s", r->http_status,
		       reason ? ": " : "", reason ? reason : "");
}

enum fp_status admin_config(struct admin *a, bool fresh, struct fp_config **c)
{
	struct admin_answer r;
	enum fp_status st;

	*c = NULL;
	st = admin_call(a, fresh ? "/v1/config?fresh=1" : "/v1/config", NULL,
			&r);
	if (st)
		return st;
	if (r.http_status != 200)
		st = refused_answer(&r);
	else if (!json_is_object(r.body) || json_object_size(r.body) > 0)
		st = decode_config(r.body, c);
	json_decref(r.body);
	return st;
}

enum cmd_exit admin_fail(const struct cmd_options *o, enum fp_status st)
{
	bool reached = st != FP_UNAVAILABLE && st != FP_TIMEOUT;

	return cmd_fail(o, reached ? CMD_REFUSED : CMD_NO_NODE, "%s",
			fp_last_message());
}
