/* http_client.h - HTTP/1.1 requests from inside a loop */
#ifndef FP_TRANSPORT_HTTP_CLIENT_H
#define FP_TRANSPORT_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "transport/http_server.h"
#include "transport/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fp_http_client;
struct fp_http_send;

/** What to send; all is copied. */
struct fp_http_out {
	const char *method;
	const char *url;
	const struct fp_http_header *headers;
	uint32_t n_headers;
	const void *body;
	size_t body_bytes;
	int64_t timeout_us; /**< for the whole exchange */
	size_t max_answer_bytes; /**< a larger body counts as cut */
	/**
	 * Sends at most once: the library may not send it again when a pooled
	 * connection turns out dead. That counts as FP_IO then.
	 */
	bool once;
	/**
	 * A header of the answer that must have this value if it is there;
	 * with another one the answer is another request's, and counts as cut.
	 */
	const char *echo; /**< NULL: not looked at; must outlive the send */
	const char *echo_value; /**< copied; NULL: not looked at */
};

/** How it ended. */
struct fp_http_result {
	/**
	 * FP_OK: a whole answer. FP_UNAVAILABLE: no connection, so no byte of
	 * the request was taken. FP_TIMEOUT, FP_IO: it may have been run.
	 */
	enum fp_status status;
	int http_status;
	const struct fp_http_header *headers;
	uint32_t n_headers;
	const uint8_t *body;
	size_t body_bytes;
};

/** Called once for each send that is not cancelled; r is valid inside. */
typedef void (*fp_http_done_fn)(void *ctx, const struct fp_http_result *r);

enum fp_status fp_http_client_init(struct fp_loop *l,
				   uint32_t max_idle_connections,
				   struct fp_http_client **out);

/** Starts a request; *handle (may be NULL) is good until done is called. */
enum fp_status fp_http_send(struct fp_http_client *c,
			    const struct fp_http_out *o, fp_http_done_fn done,
			    void *ctx, struct fp_http_send **handle);

/** Ends a request early and closes its connection; done is not called. */
void fp_http_cancel(struct fp_http_send *s);

void fp_http_client_end(struct fp_http_client *c);

#ifdef __cplusplus
}
#endif
#endif
