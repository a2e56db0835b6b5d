/* http_client.h - HTTP/1.1 client that runs inside an event loop */
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

/** A request to send. fp_http_send() copies it, except echo_header. */
struct fp_http_out {
	const char *method;
	const char *url;
	const struct fp_http_header *headers;
	uint32_t n_headers;
	const void *body;
	size_t body_bytes;
	/** The body stays valid until done or fp_http_cancel() returns, so it is
	 *  not copied. */
	bool body_lasts;
	int64_t timeout_us; /**< from the start until the answer is complete */
	size_t max_answer_bytes; /**< a larger answer body ends with FP_IO */
	/**
	 * Sends at most once: the library does not resend the request when a
	 * pooled connection turns out to be closed; the result is FP_IO then.
	 */
	bool at_most_once;
	/**
	 * Name of a header that must have the value echo_value if the answer
	 * contains it. With another value the answer belongs to a different
	 * request, and the result is FP_IO. The same holds for an answer
	 * without the header on a connection that was used before.
	 */
	const char *echo_header; /**< NULL: none; must outlive the send */
	const char *echo_value; /**< NULL: not checked */
};

/** Result of a request. */
struct fp_http_result {
	/**
	 * FP_OK: a complete answer; its head has at most 48 fields and 16 KiB. FP_UNAVAILABLE: no connection, so no byte
	 * of the request was sent. FP_TIMEOUT, FP_IO: the server may have run
	 * the request.
	 */
	enum fp_status status;
	int http_status;
	const struct fp_http_header *headers;
	uint32_t n_headers;
	const uint8_t *body;
	size_t body_bytes;
};

/** Called once for each send that is not cancelled, from the loop (loop.h); r is
 *  valid until it returns. */
typedef void (*fp_http_done_fn)(void *ctx, const struct fp_http_result *r);

/**
 * Creates a client. All its functions and callbacks run on the loop's thread.
 *
 * @param max_idle_connections  maximum number of connections kept for reuse
 * @return FP_OK or FP_NOMEM
 */
enum fp_status fp_http_client_init(struct fp_loop *l,
				   uint32_t max_idle_connections,
				   struct fp_http_client **out);

/**
 * Limits the memory for the bodies of all answers that are being received; no
 * limit at first. When it is reached, the request with the largest of them ends
 * with FP_IO.
 */
void fp_http_client_limit(struct fp_http_client *c, size_t max_held_bytes);
/** Draws these bodies from an account, too. */
void fp_http_client_use(struct fp_http_client *c, struct fp_byte_account *a);
/** Returns the memory that these bodies take at present. */
size_t fp_http_client_held_bytes(const struct fp_http_client *c);

/**
 * Starts a request.
 *
 * @param handle  set to a handle for fp_http_cancel, valid until done is
 *                called; may be NULL
 * @return FP_OK; FP_INVALID when a header is too long and FP_NOMEM, for which
 *         done is not called
 */
enum fp_status fp_http_send(struct fp_http_client *c,
			    const struct fp_http_out *o, fp_http_done_fn done,
			    void *ctx, struct fp_http_send **handle);

/** Aborts a request and closes its connection; done is not called. */
void fp_http_cancel(struct fp_http_send *s);

/** Aborts all requests, without calling done, and frees the client; accepts
 *  NULL. */
void fp_http_client_end(struct fp_http_client *c);

#ifdef __cplusplus
}
#endif
#endif
