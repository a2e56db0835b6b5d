/* backend_call.c - requests to the backend server and the meaning of results */
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "node/execution_private.h"

/* Timeout of the notification that an execution was cancelled. */
#define CANCEL_TIMEOUT_US (200 * FP_US_PER_MS)

static void copy_answer(const struct fp_traffic *t,
			const struct fp_http_result *res,
			struct fp_msg_reply *r)
{
	uint32_t i;

	for (i = 0; i < res->n_headers; i++) {
		if (!answer_forwards_header(t, res->headers[i].name) ||
		    r->content.n_headers == FP_MAX_CALL_HEADERS)
			continue;
		r->content.headers[r->content.n_headers].name =
			res->headers[i].name;
		r->content.headers[r->content.n_headers].value =
			res->headers[i].value;
		r->content.n_headers++;
	}
	r->content.body = res->body;
	r->content.body_bytes = res->body_bytes;
}

/* Whether an answer reports that the backend server did not run the request. */
static bool reports_not_run(const struct fp_traffic *t,
			    const struct fp_http_result *res)
{
	const char *mark = fp_http_find_header(res->headers, res->n_headers,
					       t->dialect->not_run);

	if (t->dialect->misdirected_not_run)
		return mark || res->http_status == 421;
	return res->http_status == 503 && mark && strcmp(mark, "1") == 0;
}

/* Whether the backend server says that it has a free slot and no queue. */
static bool reports_room(const struct fp_traffic *t,
			 const struct fp_http_result *res)
{
	const char *text;
	struct fp_backend_load load;

	if (!t->dialect->backend_load)
		return false;
	text = fp_http_find_header(res->headers, res->n_headers,
				   t->dialect->backend_load);
	return text && t->dialect->load(text, &load) == FP_OK &&
	       load.running < load.slots && !load.waiting;
}

/* Why a backend server did not run a request. */
static enum fp_reason refusal_reason(const struct fp_traffic *t,
				     const struct fp_http_result *res)
{
	if (res->http_status == 421)
		return FP_REASON_STOPPING;
	return reports_room(t, res) ? FP_REASON_BACKEND_REFUSED :
				      FP_REASON_OVERLOADED;
}

void backend_read_result(const struct fp_traffic *t,
			 const struct fp_http_result *res,
			 struct fp_msg_reply *r)
{
	r->outcome = FP_OUTCOME_UNKNOWN;
	switch (res->status) {
	case FP_OK:
		r->outcome = FP_OUTCOME_RAN;
		r->http_status = res->http_status;
		if (!reports_not_run(t, res)) {
			copy_answer(t, res, r);
			return;
		}
		r->outcome = FP_OUTCOME_NOT_RUN;
		r->reason = refusal_reason(t, res);
		return;
	case FP_UNAVAILABLE:
		r->outcome = FP_OUTCOME_NOT_RUN;
		r->reason = FP_REASON_NO_WORKER;
		return;
	case FP_TIMEOUT:
		r->reason = FP_REASON_DEADLINE;
		return;
	default:
		r->reason = FP_REASON_CUT;
	}
}

static void ignore_result(void *ctx, const struct fp_http_result *res)
{
	(void)ctx;
	(void)res;
}

void backend_url(const struct fp_traffic *t, const char *uri, char *url,
		 size_t size)
{
	if (t->settings->backend_address[0])
		snprintf(url, size, "http://%s%s", t->settings->backend_address,
			 uri);
	else
		snprintf(url, size, "http://%s:%u%s",
			 t->settings->local_address, t->worker.port, uri);
}

void backend_cancel(struct execution *e)
{
	struct fp_traffic *t = e->t;
	char hex[CALL_HEX_BYTES];
	char url[FP_ADDRESS_BYTES + 64];
	struct fp_http_header h = { t->dialect->call, hex };
	struct fp_http_out o = { .method = "POST",
				 .url = url,
				 .headers = &h,
				 .n_headers = 1,
				 .timeout_us = CANCEL_TIMEOUT_US,
				 .max_answer_bytes = 4096 };

	if (!t->dialect->cancel_path)
		return;
	sodium_bin2hex(hex, sizeof(hex), e->call_id, sizeof(e->call_id));
	backend_url(t, t->dialect->cancel_path, url, sizeof(url));
	fp_http_send(t->client, &o, ignore_result, NULL, NULL);
}

static void put_header(struct fp_http_header *h, uint32_t *n, const char *name,
		       const char *value)
{
	if (name && value[0])
		h[(*n)++] = (struct fp_http_header){ name, value };
}

/* A name that is too long for the message is among the headers of the call. */
static void put_org(const struct execution *e, struct fp_http_header *h,
		    uint32_t *n)
{
	const char *name = e->t->dialect->org;

	if (name && !fp_msg_header_find(&e->msg.content, name))
		put_header(h, n, name, e->msg.org);
}

uint32_t backend_headers(const struct execution *e, int64_t left_us,
			 struct fp_http_header *h,
			 char texts[BACKEND_TEXTS][BACKEND_TEXT_BYTES])
{
	const struct fp_dialect *d = e->t->dialect;
	uint32_t n = 0;

	sodium_bin2hex(texts[0], BACKEND_TEXT_BYTES, e->call_id,
		       sizeof(e->call_id));
	sodium_bin2hex(texts[1], BACKEND_TEXT_BYTES, e->msg.root,
		       sizeof(e->msg.root));
	snprintf(texts[2], BACKEND_TEXT_BYTES, "%" PRId64,
		 left_us / FP_US_PER_MS);
	put_header(h, &n, d->call, texts[0]);
	put_header(h, &n, d->root, texts[1]);
	put_header(h, &n, d->deadline_ms, texts[2]);
	/* In dialects with nested_id_infix, nested calls carry no key, and
	 * their organisation is not sent to the backend server either. */
	if (!e->msg.nested || !d->nested_id_infix)
		put_org(e, h, &n);
	put_header(h, &n, d->cls, fp_class_name(e->msg.cls));
	put_header(h, &n, d->caller_service, e->msg.caller);
	put_header(h, &n, d->target, e->t->worker.instance);
	return n;
}
