/* store_client.c - JSON calls to a store over HTTP, with counters by kind */
#include "coordination/store_client.h"

#include <stdio.h>
#include <string.h>

#define MAX_ANSWER_BYTES (4u << 20)
#define MAX_IDLE	 4 /* idle connections kept */
#define URL_BYTES	 1024 /* base URL, path with a key of 200 bytes */

enum fp_status fp_store_client_init(struct fp_store_client *c,
				    struct fp_loop *l, const char *url,
				    int64_t timeout_us, struct fp_counters *cs,
				    const char *const labels[],
				    uint32_t n_kinds)
{
	uint32_t i;

	memset(c, 0, sizeof(*c));
	c->timeout_us = timeout_us;
	snprintf(c->base, sizeof(c->base), "%s", url);
	for (i = 0; i < n_kinds; i++) {
		c->calls[i] = fp_counter_get(cs, "fulmar_store_calls_total",
					     labels[i]);
		c->failures[i] = fp_counter_get(
			cs, "fulmar_store_failures_total", labels[i]);
	}
	return fp_http_client_init(l, MAX_IDLE, &c->http);
}

void fp_store_client_send(struct fp_store_client *c,
			  const struct fp_store_call *call,
			  fp_http_done_fn done, void *ctx)
{
	static const struct fp_http_header type = { "Content-Type",
						    "application/json" };
	static const struct fp_http_result failed = { .status =
							      FP_UNAVAILABLE };
	char url[URL_BYTES];
	struct fp_http_out o = { .method = call->method,
				 .url = url,
				 .headers = &type,
				 .n_headers = call->body ? 1 : 0,
				 .body = call->body,
				 .body_bytes =
					 call->body ? strlen(call->body) : 0,
				 .timeout_us = c->timeout_us + call->extra_us,
				 .max_answer_bytes = MAX_ANSWER_BYTES,
				 .at_most_once = call->once };

	snprintf(url, sizeof(url), "%s%s", c->base, call->path);
	fp_counter_add(c->calls[call->kind], 1);
	if (fp_http_send(c->http, &o, done, ctx, call->handle) != FP_OK)
		done(ctx, &failed);
}

void fp_store_client_count_failure(struct fp_store_client *c, uint32_t kind,
				   enum fp_status st)
{
	if (st == FP_UNAVAILABLE || st == FP_TIMEOUT)
		fp_counter_add(c->failures[kind], 1);
}

json_t *fp_store_client_body(const struct fp_http_result *r)
{
	if (r->status != FP_OK || !r->body_bytes)
		return NULL;
	return json_loadb((const char *)r->body, r->body_bytes, 0, NULL);
}

void fp_store_client_end(struct fp_store_client *c)
{
	fp_http_client_end(c->http);
}
