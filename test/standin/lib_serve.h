/* lib_serve.h - HTTP server shared by the stand-ins */
#ifndef STANDIN_LIB_SERVE_H
#define STANDIN_LIB_SERVE_H

#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** A request that was received completely. */
struct serve_request {
	struct MHD_Connection *conn;
	const char *method;
	const char *path; /**< percent-decoded, without query */
	char *body; /**< up to 16 MiB, followed by a NUL */
	size_t body_bytes;
};

/**
 * Answers one request; runs on the connection's own thread and may block.
 *
 * @return MHD_NO to close the connection without an answer
 */
typedef enum MHD_Result (*serve_handler)(struct serve_request *r, void *arg);

struct server;

/**
 * Listens on "IP:PORT" and answers each request through handler.
 *
 * @return NULL if the address is malformed or in use
 */
struct server *serve_init(const char *listen, serve_handler handler, void *arg);

/** Stops listening, closes all connections and frees the server; NULL is
 *  ignored. */
void serve_end(struct server *s);

/** Returns a query argument, "" if it is absent. */
const char *serve_query(const struct serve_request *r, const char *name);

/** Returns a query argument as a number, fallback if it is absent. */
double serve_query_number(const struct serve_request *r, const char *name,
			  double fallback);

/** Returns a header of the request, "" if it is absent. */
const char *serve_header(const struct serve_request *r, const char *name);

/** Answers with a JSON body and takes over the reference to it. */
enum MHD_Result serve_json(struct serve_request *r, unsigned int status,
			   json_t *body);

/** Answers with a copy of the bytes; header (a name) may be NULL. */
enum MHD_Result serve_bytes(struct serve_request *r, unsigned int status,
			    const void *body, size_t bytes, const char *header,
			    const char *value);

/** Answers 200 with the length of the body, sends half of the body and
 *  closes the connection. */
enum MHD_Result serve_truncated(struct serve_request *r, const void *body,
				size_t bytes);

/** Returns whether the client has closed the connection. */
bool serve_client_closed(const struct serve_request *r);

/** Splits "IP:PORT"; false if it is malformed. */
bool serve_parse_address(const char *text, char *ip, size_t ip_bytes,
			 uint16_t *port);

/** Waits for SIGTERM or SIGINT, which serve_block_stop() must have blocked. */
void serve_wait_for_stop(void);

/** Blocks SIGTERM and SIGINT in this thread and the threads that it starts
 *  later; ignores SIGPIPE. */
void serve_block_stop(void);

#ifdef __cplusplus
}
#endif
#endif
