/* http_client_private.h - shared by http_client.c and http_answer.c */
#ifndef FP_TRANSPORT_HTTP_CLIENT_PRIVATE_H
#define FP_TRANSPORT_HTTP_CLIENT_PRIVATE_H

#include <curl/curl.h>

#include "transport/http_client.h"

#define MAX_ANSWER_HEADERS 48 /* an answer with more is not accepted */
#define FREE_HANDLES	   64 /* easy handles kept for reuse */

enum head_state {
	BEFORE_HEAD, /* also after an interim (1xx) answer */
	IN_HEAD,
	AFTER_HEAD, /* of the final answer: body and trailer */
};

struct fp_http_send {
	struct fp_http_client *client;
	CURL *easy;
	struct curl_slist *headers_out;
	char *body_out;
	fp_http_done_fn done;
	void *ctx;
	size_t max_answer_bytes;
	bool given_up; /* the answer is too large, alone or with others */
	bool once; /* at_most_once of the request */
	bool unread_bytes; /* the connection had some; not sent there */
	bool sent; /* sending on a connection has started */
	enum head_state head_state;
	const char *echo_header;
	char *echo_value;
	bool echo_seen; /* the answer has the header, with that value */
	uint8_t *body; /* of the answer */
	size_t body_bytes;
	size_t body_size; /* allocated */
	size_t head_bytes;
	struct fp_http_header headers[MAX_ANSWER_HEADERS]; /* strdup'd */
	uint32_t n_headers;
	struct fp_http_send **pprev; /* the pointer that points to this one */
	struct fp_http_send *next;
};

struct fp_http_client {
	struct open_socket *sockets; /* list */
	struct fp_loop *loop;
	CURLM *multi;
	struct fp_timer timer;
	CURL *free[FREE_HANDLES]; /* easy handles for reuse */
	uint32_t n_free;
	struct fp_http_send *active; /* list */
	struct fp_http_send *given_up; /* list; to be ended */
	size_t held_bytes; /* allocated for the bodies of all answers */
	size_t max_held_bytes;
	struct fp_byte_account *account; /* or NULL */
};

/* --- http_client.c --- */

/** Adds a request to a list of the client. */
void http_send_link(struct fp_http_send *s, struct fp_http_send **list);
/** Removes a request from its list, if it is in one. */
void http_send_unlink(struct fp_http_send *s);

/* --- http_answer.c --- */

/** Callback of the library for a line of a head or of a trailer, whose fields
 *  are not forwarded. If the line is not accepted, the library closes the
 *  connection. */
size_t http_answer_on_line(char *data, size_t size, size_t n, void *ctx);
/** Callback of the library for a part of a body. */
size_t http_answer_on_body(char *data, size_t size, size_t n, void *ctx);
/** Whether a whole answer arrived, if the library reports a success. */
bool http_answer_is_complete(struct fp_http_send *s, long http_status);
/** Drops the head and the body, but not the memory of the body. */
void http_answer_clear(struct fp_http_send *s);
/** Frees the body. */
void http_answer_free(struct fp_http_send *s);

#endif
