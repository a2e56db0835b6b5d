/* http_server_private.h - shared by http_server.c and http_intake.c */
#ifndef FP_TRANSPORT_HTTP_SERVER_PRIVATE_H
#define FP_TRANSPORT_HTTP_SERVER_PRIVATE_H

#include <microhttpd.h>
#include <stdbool.h>

#include "transport/http_pipeline.h"
#include "transport/http_server.h"

#define MAX_HEADERS 64

enum exchange_state {
	READING, /* head received, body arriving */
	WAITING, /* with the handler, connection suspended */
	ANSWERED, /* answer stored, connection resumed */
	SENDING, /* answer queued at the library */
	LINGERING, /* refused unread: discard the rest, then close */
};

/* A connection of a server with an account. */
struct connection {
	struct fp_byte_connection idle; /* first member */
	struct fp_http_exchange *x; /* in progress, or NULL */
	struct MHD_Connection *conn;
	uint32_t address;
};

struct fp_http_exchange {
	struct fp_byte_holder hold; /* first member */
	struct fp_http_server *server;
	struct MHD_Connection *conn;
	struct http_pipelined
		*pipelined; /* of a request that the library did not read */
	char *text; /* of such a request */
	enum exchange_state state;
	bool suspended;
	bool in_handler; /* the request callback is on the stack */
	bool left_noted; /* the disconnect was found, and is reported once */
	struct fp_deferred left; /* that report */
	bool ending; /* its connection is to end */
	bool ended; /* the library has completed it; the answer is dropped */
	char *uri; /* raw */
	char *method; /* as sent; NULL before the head and if read ahead */
	uint8_t *body; /* malloc'd */
	size_t body_bytes; /* used */
	size_t body_size; /* allocated */
	size_t max_body_bytes; /* limit when its head arrived */
	size_t announced_bytes; /* Content-Length; 0: none, or in chunks */
	size_t arrived_bytes; /* of the body, stored or not */
	size_t discarded_bytes; /* of them, while LINGERING */
	int64_t begun_us; /* its head */
	int64_t refused_us; /* while LINGERING */
	struct fp_http_header headers[MAX_HEADERS]; /* texts of the library */
	uint32_t n_headers;
	struct MHD_Response *response; /* stored until it can be queued */
	int status;
	void *value; /* of the handler, see fp_http_exchange_set */
	struct fp_http_exchange **pprev; /* the pointer that points to this */
	struct fp_http_exchange *next;
};

struct fp_http_server {
	struct fp_loop *loop;
	struct MHD_Daemon *daemon;
	struct http_pipeline *pipeline; /* NULL: the library accepts */
	struct fp_http_handler handler;
	struct fp_http_server_config cfg;
	uint32_t max_body_bytes; /* in force, at most that of cfg */
	struct fp_watch *watch;
	struct fp_timer timeout; /* of the library */
	struct fp_timer sweep;
	struct fp_byte_connection *connections; /* list; with an account */
	uint32_t n_connections;
	bool freed_bytes; /* some that wait may go on */
	bool run_pending; /* call MHD_run at the end of this loop iteration */
	bool keep_alive_disabled; /* each answer closes its connection */
	bool quiesced;
	int listen_fd;
	uint16_t port;
	uint32_t n_open; /* exchanges not ended */
	struct fp_http_exchange *open; /* list of them */
};

/* --- http_intake.c --- */

/** Returns the socket of a connection, -1 if there is none. */
int intake_socket(struct MHD_Connection *conn);
/** Callback of the library: a connection begins or ends. */
void intake_on_connection(void *ctx, struct MHD_Connection *conn, void **sctx,
			  enum MHD_ConnectionNotificationCode code);
/** Closes a connection of the library without a complete request in favour of a
 *  new one; false: there is none. */
bool intake_close_idle(struct fp_http_server *s);
/** Ends the connection of an exchange in the next run of the library. */
void intake_end_connection(struct fp_http_exchange *x);

/** Prepares an exchange whose request line has arrived. */
void intake_begin(struct fp_http_exchange *x);
/** Begins the body of a request whose head has arrived: refuses it if it is too
 *  large, or pauses it until there is room. */
void intake_begin_body(struct fp_http_exchange *x);
/** Whether the whole body has arrived. The library calls for a request that was
 *  paused at its head once more before the body, as it does at the end. */
bool intake_is_whole(const struct fp_http_exchange *x);
/** Stores a part of a body, or leaves it in the library until there is room;
 *  MHD_NO: the connection must be closed. */
enum MHD_Result intake_store(struct fp_http_exchange *x, const char *data,
			     size_t *data_bytes);
/** Throws away what a client sends after it was refused; MHD_NO: the connection
 *  must be closed. */
enum MHD_Result intake_discard(struct fp_http_exchange *x, size_t *data_bytes);
/** The request is complete. */
void intake_complete(struct fp_http_exchange *x);
/** The exchange has ended at the library. */
void intake_end(struct fp_http_exchange *x);
/** Frees the body, and returns its bytes to the account. */
void intake_free_body(struct fp_http_exchange *x);
/** Whether the client has closed its connection. */
bool intake_client_left(const struct fp_http_exchange *x);
/** Whether a head takes too long, or a refused client had time to leave. */
bool intake_is_overdue(const struct fp_http_exchange *x, int64_t now_us);

/** Draws an answer from the account in place of the request; false: there is no
 *  room for it. */
bool intake_hold_answer(struct fp_http_exchange *x, size_t bytes);
/** Makes a response with a copy of the body. */
struct MHD_Response *intake_make_response(struct fp_http_exchange *x,
					  const void *body, size_t bytes);

#endif
