/* http_server.h - HTTP/1.1 server for callers, backend server and operators */
#ifndef FP_TRANSPORT_HTTP_SERVER_H
#define FP_TRANSPORT_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/status.h"
#include "transport/byte_account.h"
#include "transport/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fp_http_server;
struct fp_http_exchange;

/** One header; the texts are owned by its creator. */
struct fp_http_header {
	const char *name;
	const char *value;
};

/** A complete request; valid until the exchange ends. */
struct fp_http_request {
	const char *method;
	const char *uri; /**< raw path and query, as sent */
	const struct fp_http_header *headers;
	uint32_t n_headers;
	const uint8_t *body;
	size_t body_bytes;
};

/** Callbacks of a server, which follow the rule of loop.h. */
struct fp_http_handler {
	/** A complete request arrived. The handler must call fp_http_reply()
	 *  exactly once, now or later. */
	void (*request)(void *ctx, struct fp_http_exchange *x,
			const struct fp_http_request *r);
	/**
	 * The client disconnected before it was answered. The exchange must
	 * still be answered exactly once, now or later; the answer is dropped.
	 */
	void (*client_left)(void *ctx, struct fp_http_exchange *x);
	/** The server itself refused a request: HTTP status 400, 408, 413, 431 or
	 *  503. May be called within any function of the transport, so it may
	 *  only count and log. */
	void (*refused)(void *ctx, int http_status);
	void *ctx;
};

/** Listening address and limits of a server. */
struct fp_http_server_config {
	const char *address; /**< IPv4 address */
	uint16_t port; /**< 0: any free one */
	uint32_t max_body_bytes;
	uint32_t max_header_bytes;
	uint32_t max_connections;
	/** Account of the bodies and answers that are held, of the same thread;
	 *  NULL: they are only limited one by one. */
	struct fp_byte_account *account;
	/** Bodies of this server use the reserve of the account and never give
	 *  way. */
	bool reserved;
	/** Requests are read and run while earlier ones of their connection are
	 * not answered yet, where http_pipeline.h allows it. */
	bool read_ahead;
};

/**
 * Starts to listen. All functions and callbacks run on the loop's thread.
 *
 * @return FP_OK; FP_NOMEM; FP_INVALID if the address is not IPv4; FP_IO with a
 *         last message if the port cannot be opened
 */
enum fp_status fp_http_server_init(struct fp_loop *l,
				   const struct fp_http_server_config *cfg,
				   const struct fp_http_handler *h,
				   struct fp_http_server **out);

/** Returns the port that the server listens on. */
uint16_t fp_http_server_port(const struct fp_http_server *s);

/** Attaches a value of the handler to an exchange, or returns it; NULL at
 *  first. */
void fp_http_exchange_set(struct fp_http_exchange *x, void *value);
void *fp_http_exchange_get(const struct fp_http_exchange *x);

/** Returns the request's body, malloc'd, and leaves it to the caller; NULL if it
 *  is empty. It stays valid in the request. */
uint8_t *fp_http_take_body(struct fp_http_exchange *x);

/** Sends the answer; headers and body are copied. The handler must not use the
 *  exchange afterwards, and client_left is not called for it any more. */
void fp_http_reply(struct fp_http_exchange *x, int status,
		   const struct fp_http_header *headers, uint32_t n_headers,
		   const void *body, size_t body_bytes);

/** Makes each later answer close its connection, so that clients reconnect to
 *  another node. */
void fp_http_server_disable_keep_alive(struct fp_http_server *s);

/** Sets the largest body of the requests whose heads arrive from now on; at most
 *  that of the configuration. */
void fp_http_server_limit_bodies(struct fp_http_server *s, uint32_t bytes);

/** Stops accepting connections; open ones are kept. */
void fp_http_server_quiesce(struct fp_http_server *s);

/** Returns the number of exchanges that are not answered or whose answer is
 *  not sent completely. */
uint32_t fp_http_server_open_exchanges(const struct fp_http_server *s);

/** Finds the value of a header, ignoring case; NULL if it is absent. */
const char *fp_http_find_header(const struct fp_http_header *h, uint32_t n,
				const char *name);

/** Closes all connections and frees the server and its exchanges, which must
 *  not be used afterwards; accepts NULL. */
void fp_http_server_end(struct fp_http_server *s);

#ifdef __cplusplus
}
#endif
#endif
