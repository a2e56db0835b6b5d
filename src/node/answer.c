/* answer.c - HTTP answers to callers and to the local backend server */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "node/traffic_private.h"

/* Maximum number of headers of a refusal. */
#define MAX_REFUSAL_HEADERS 4

/* Headers that are not forwarded: those of one connection (hop by hop), and
 * those that the node's own HTTP client and server write. */
static const char *const unforwarded_headers[] = {
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"TE",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Content-Length",
	"Host",
	"Expect",
	"Authorization",
	"Date",
};

/* Whether a header of the dialect is written only by nodes, or read only by
 * nodes. Such headers are not forwarded. */
static bool is_node_header(const struct fp_dialect *d, const char *name)
{
	const char *const node_headers[] = {
		d->deadline_ms, d->key,	   d->call,	      d->root,	 d->org,
		d->cls,		d->target, d->caller_service, d->not_run
	};
	size_t i;

	for (i = 0; i < sizeof(node_headers) / sizeof(node_headers[0]); i++)
		if (node_headers[i] && strcasecmp(name, node_headers[i]) == 0)
			return true;
	return false;
}

bool answer_forwards_header(const struct fp_traffic *t, const char *name)
{
	size_t i;

	if (strncasecmp(name, "Fulmar-", 7) == 0 ||
	    is_node_header(t->dialect, name))
		return false;
	if (t->dialect->forward_host && strcasecmp(name, "Host") == 0)
		return true;
	for (i = 0;
	     i < sizeof(unforwarded_headers) / sizeof(unforwarded_headers[0]);
	     i++)
		if (strcasecmp(name, unforwarded_headers[i]) == 0)
			return false;
	return true;
}

static void count_result(struct fp_traffic *t, enum fp_class cls,
			 enum fp_reason reason)
{
	fp_counter_add(t->metrics.results[cls][reason], 1);
}

/* Statuses that mean "did not run and never will" in dialects with
 * status_means_not_run, see dialect.h. */
static bool status_means_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/* HTTP status of a refusal. In dialects with status_means_not_run the status
 * also reports whether the request ran: if it may have run, 502 replaces the
 * statuses above; if it did not run, 503 replaces any other 5xx. */
int answer_refusal_status(const struct fp_traffic *t, enum fp_outcome outcome,
			  enum fp_reason reason)
{
	int status = fp_reason_http_status(reason);

	if (!t->dialect->status_means_not_run)
		return status;
	if (outcome != FP_OUTCOME_NOT_RUN)
		return status_means_not_run(status) ? 502 : status;
	return status >= 500 ? 503 : status;
}

static void format_seconds(int64_t us, char *out, size_t size)
{
	if (us % FP_US_PER_S == 0)
		snprintf(out, size, "%" PRId64, us / FP_US_PER_S);
	else
		snprintf(out, size, "%" PRId64 ".%03" PRId64, us / FP_US_PER_S,
			 us % FP_US_PER_S / FP_US_PER_MS);
}

void answer_refuse(struct fp_traffic *t, struct fp_http_exchange *x,
		   enum fp_class cls, enum fp_outcome outcome,
		   enum fp_reason reason, int64_t retry_after_us)
{
	struct fp_http_header h[MAX_REFUSAL_HEADERS];
	char seconds[32];
	char body[160];
	uint32_t n = 0;
	int len;

	count_result(t, cls, reason);
	h[n++] = (struct fp_http_header){ "Fulmar-Outcome",
					  fp_outcome_name(outcome) };
	h[n++] = (struct fp_http_header){ "Fulmar-Reason",
					  fp_reason_name(reason) };
	h[n++] = (struct fp_http_header){ "Content-Type", "application/json" };
	if (retry_after_us && outcome == FP_OUTCOME_NOT_RUN) {
		format_seconds(retry_after_us, seconds, sizeof(seconds));
		h[n++] = (struct fp_http_header){ "Retry-After", seconds };
	}
	len = snprintf(body, sizeof(body),
		       "{\"outcome\": \"%s\", \"reason\": \"%s\"}\n",
		       fp_outcome_name(outcome), fp_reason_name(reason));
	fp_http_reply(x, answer_refusal_status(t, outcome, reason), h, n, body,
		      (size_t)len);
}

void answer_forward(struct fp_traffic *t, struct fp_http_exchange *x,
		    enum fp_class cls, const struct fp_msg_reply *r)
{
	struct fp_http_header h[FP_MAX_CALL_HEADERS + 1];
	uint32_t n = 0;
	uint32_t i;

	count_result(t, cls, FP_REASON_NONE);
	h[n++] = (struct fp_http_header){ "Fulmar-Outcome", "ran" };
	for (i = 0; i < r->content.n_headers; i++) {
		h[n].name = r->content.headers[i].name;
		h[n].value = r->content.headers[i].value;
		n++;
	}
	fp_http_reply(x, r->http_status, h, n, r->content.body,
		      r->content.body_bytes);
}
