/* admin.c - the operators' port: metrics, status, configuration changes */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/operator_api.h"
#include "node/control_private.h"
#include "node/status.h"

/* Limits of the admin listener. */
#define MAX_BODY_BYTES	 (1u << 20)
#define MAX_HEADER_BYTES 16384u
#define MAX_CONNECTIONS	 64u

static void reply_json(struct fp_http_exchange *x, int status, const char *body)
{
	static const struct fp_http_header type = { "Content-Type",
						    "application/json" };

	fp_http_reply(x, status, &type, 1, body, strlen(body));
}

static void reply_to_operator(void *ctx, int http_status, const char *answer)
{
	reply_json(ctx, http_status, answer);
}

static void reply_metrics(struct fp_control *c, struct fp_http_exchange *x)
{
	static const struct fp_http_header type = {
		"Content-Type", "text/plain; version=0.0.4"
	};
	size_t len = 0;
	char *text = fp_counters_render(c->counters, &len);

	fp_http_reply(x, text ? 200 : 500, &type, 1, text ? text : "", len);
	free(text);
}

static void operator_request(struct fp_control *c, struct fp_http_exchange *x,
			     const struct fp_http_request *r)
{
	const struct fp_settings *s = c->settings;
	struct fp_operator_request o = { 0 };
	char *body;

	o.authorization =
		fp_http_find_header(r->headers, r->n_headers, "Authorization");
	if (s->has_bootstrap_operator)
		o.bootstrap = s->bootstrap_operator_hash;
	if (strcmp(r->method, "GET") == 0) {
		fp_config_sync_read(c->sync, &o, reply_to_operator, x);
		return;
	}
	body = strndup((const char *)r->body, r->body_bytes);
	if (!body)
		abort();
	o.body = body;
	fp_config_sync_change(c->sync, &o, reply_to_operator, x);
	free(body);
}

static bool matches(const struct fp_http_request *r, const char *method,
		    const char *path)
{
	size_t n = strlen(path);

	return strcmp(r->method, method) == 0 &&
	       strncmp(r->uri, path, n) == 0 &&
	       (r->uri[n] == '\0' || r->uri[n] == '?');
}

static void on_request(void *ctx, struct fp_http_exchange *x,
		       const struct fp_http_request *r)
{
	struct fp_control *c = ctx;

	if (matches(r, "GET", "/healthz"))
		reply_json(x, 200, "{\"ok\": true}");
	else if (matches(r, "GET", "/metrics"))
		reply_metrics(c, x);
	else if (matches(r, "GET", "/v1/config") ||
		 matches(r, "POST", "/v1/change"))
		operator_request(c, x, r);
	else if (!status_request(c, x, r))
		reply_json(x, 404, "{\"reason\": \"no such path\"}");
}

enum fp_status admin_init(struct fp_control *c)
{
	struct fp_http_server_config cfg = {
		.address = c->settings->address,
		.port = c->settings->admin_port,
		.max_body_bytes = MAX_BODY_BYTES,
		.max_header_bytes = MAX_HEADER_BYTES,
		.max_connections = MAX_CONNECTIONS,
	};
	struct fp_http_handler h = { .request = on_request, .ctx = c };

	return fp_http_server_init(c->loop, &cfg, &h, &c->admin);
}
