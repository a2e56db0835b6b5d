/*
 * http_server.c - HTTP/1.1 server for callers, backend server and operators
 *
 * libmicrohttpd runs inside the loop of the thread that owns the server: its
 * epoll descriptor is watched, and MHD_run is called when that is ready, when
 * the library's timeout is due, or when a connection was resumed. A request
 * that is not answered at once suspends its connection, so no thread blocks.
 *
 * The library does not poll a suspended connection. A periodic sweep peeks at
 * the sockets of suspended exchanges to detect clients that disconnected. The
 * handler is told by the loop (loop.h), since it may answer any other exchange,
 * which frees it, while the sweep or the library walks its list.
 *
 * Bodies and answers draw from the account of the node (transport/byte_account.h). A
 * body without room is not read: its connection is suspended. A request that is
 * refused before its body was read is answered on the socket itself, since the
 * library takes answers only before and after a body; what the client still sends
 * is thrown away for LINGER_US, so that it can read the answer before the
 * connection is reset.
 */
#include "transport/http_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "transport/http_framing.h"
#include "transport/http_pipeline.h"
#include "transport/http_server_private.h"

#define SWEEP_US       (100 * FP_US_PER_MS) /* period of on_sweep() */
#define IDLE_TIMEOUT_S 60
#define LISTEN_BACKLOG 1024
/* Connections beyond max_connections that the library accepts, so that others
 * can be closed in their favour. */
#define SPARE_CONNECTIONS 32
/* Bytes that the library needs per connection besides the request head. */
#define MEMORY_HEAD_EXTRA 4096

const char *fp_http_find_header(const struct fp_http_header *h, uint32_t n,
				const char *name)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		if (strcasecmp(h[i].name, name) == 0)
			return h[i].value;
	return NULL;
}

static void run_library(struct fp_http_server *s);

static void on_timeout(void *ctx)
{
	struct fp_http_server *s = ctx;

	s->run_pending = true;
}

static void set_timeout(struct fp_http_server *s)
{
	MHD_UNSIGNED_LONG_LONG ms;

	if (MHD_get_timeout(s->daemon, &ms) != MHD_YES) {
		fp_timer_cancel(s->loop, &s->timeout);
		return;
	}
	fp_timer_set(s->loop, &s->timeout,
		     fp_loop_now_us(s->loop) + (int64_t)ms * FP_US_PER_MS,
		     on_timeout, s);
}

static void run_library(struct fp_http_server *s)
{
	s->run_pending = false;
	MHD_run(s->daemon);
	set_timeout(s);
}

static void on_ready(void *ctx, uint32_t events)
{
	(void)events;
	run_library(ctx);
}

static void on_iteration_end(void *ctx)
{
	struct fp_http_server *s = ctx;

	if (s->freed_bytes) {
		s->freed_bytes = false;
		fp_byte_tick(s->cfg.account, fp_loop_now_us(s->loop));
	}
	if (s->run_pending && s->daemon)
		run_library(s);
}

/* --- lifetime of an exchange --- */

static void exchange_link(struct fp_http_server *s, struct fp_http_exchange *x)
{
	x->next = s->open;
	if (s->open)
		s->open->pprev = &x->next;
	x->pprev = &s->open;
	s->open = x;
	s->n_open++;
}

static void exchange_free(struct fp_http_exchange *x)
{
	struct fp_http_server *s = x->server;

	fp_loop_cancel_deferred(s->loop, &x->left);
	*x->pprev = x->next;
	if (x->next)
		x->next->pprev = x->pprev;
	s->n_open--;
	if (x->response)
		MHD_destroy_response(x->response);
	intake_free_body(x);
	free(x->uri);
	free(x->method);
	free(x->text);
	free(x);
}

/* Called by the library before it parses the head; only here the raw request
 * target is available. */
static void *on_uri(void *ctx, const char *uri, struct MHD_Connection *conn)
{
	struct fp_http_server *s = ctx;
	struct fp_http_exchange *x = calloc(1, sizeof(*x));

	if (!x)
		return NULL;
	x->server = s;
	x->conn = conn;
	x->uri = strdup(uri);
	if (!x->uri) {
		free(x);
		return NULL;
	}
	exchange_link(s, x);
	intake_begin(x);
	return x;
}

static void report_client_left(void *ctx)
{
	struct fp_http_exchange *x = ctx;
	struct fp_http_handler *h = &x->server->handler;

	if (x->state == WAITING && h->client_left)
		h->client_left(h->ctx, x);
}

static void note_client_left(struct fp_http_exchange *x)
{
	if (x->left_noted || x->state != WAITING)
		return;
	x->left_noted = true;
	fp_loop_defer(x->server->loop, &x->left, report_client_left, x);
}

static void on_completed(void *ctx, struct MHD_Connection *conn, void **con_cls,
			 enum MHD_RequestTerminationCode toe)
{
	struct fp_http_server *s = ctx;
	struct fp_http_exchange *x = *con_cls;

	(void)conn;
	*con_cls = NULL;
	if (!x)
		return;
	intake_end(x);
	if (x->state == READING && toe != MHD_REQUEST_TERMINATED_COMPLETED_OK &&
	    s->handler.refused)
		s->handler.refused(s->handler.ctx, 400);
	if (x->state != WAITING) {
		exchange_free(x);
		return;
	}
	/* The handler has not answered yet; fp_http_reply() frees x. */
	x->ended = true;
	x->conn = NULL;
	note_client_left(x);
}

static enum MHD_Result store_header(void *ctx, enum MHD_ValueKind kind,
				    const char *name, const char *value)
{
	struct fp_http_exchange *x = ctx;

	(void)kind;
	if (x->n_headers == MAX_HEADERS)
		return MHD_NO;
	x->headers[x->n_headers].name = name;
	x->headers[x->n_headers].value = value ? value : "";
	x->n_headers++;
	return MHD_YES;
}

static enum MHD_Result refuse_with(struct fp_http_exchange *x, int status,
				   const char *reason, bool close_after)
{
	struct fp_http_server *s = x->server;
	struct MHD_Response *r;
	enum MHD_Result rc;

	if (s->handler.refused)
		s->handler.refused(s->handler.ctx, status);
	r = MHD_create_response_from_buffer(0, NULL, MHD_RESPMEM_PERSISTENT);
	MHD_add_response_header(r, "Fulmar-Outcome", "not-run");
	MHD_add_response_header(r, "Fulmar-Reason", reason);
	if (close_after)
		MHD_add_response_header(r, "Connection", "close");
	rc = MHD_queue_response(x->conn, (unsigned int)status, r);
	MHD_destroy_response(r);
	x->state = SENDING;
	return rc;
}

static enum MHD_Result refuse(struct fp_http_exchange *x, int status,
			      const char *reason)
{
	return refuse_with(x, status, reason, false);
}

static enum MHD_Result refuse_and_close(struct fp_http_exchange *x)
{
	return refuse_with(x, 400, "malformed", true);
}

static enum MHD_Result queue_answer(struct fp_http_exchange *x)
{
	enum MHD_Result rc;

	rc = MHD_queue_response(x->conn, (unsigned int)x->status, x->response);
	MHD_destroy_response(x->response);
	x->response = NULL;
	x->state = SENDING;
	return rc;
}

static enum MHD_Result call_handler(struct fp_http_exchange *x)
{
	struct fp_http_server *s = x->server;
	struct fp_http_request r = { .method = x->method,
				     .uri = x->uri,
				     .headers = x->headers,
				     .body = x->body,
				     .body_bytes = x->body_bytes };

	MHD_get_connection_values(x->conn, MHD_HEADER_KIND, store_header, x);
	if (x->n_headers == MAX_HEADERS)
		return refuse(x, 431, "malformed");
	r.n_headers = x->n_headers;
	x->state = WAITING;
	x->in_handler = true;
	s->handler.request(s->handler.ctx, x, &r);
	x->in_handler = false;
	if (x->state == ANSWERED)
		return queue_answer(x);
	MHD_suspend_connection(x->conn);
	x->suspended = true;
	return MHD_YES;
}

static enum MHD_Result on_access(void *ctx, struct MHD_Connection *conn,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *data_bytes, void **con_cls)
{
	struct fp_http_exchange *x = *con_cls;

	(void)ctx;
	(void)url;
	(void)version;
	if (!x)
		return MHD_NO;
	if (x->state == LINGERING)
		return intake_discard(x, data_bytes);
	if (!x->method) {
		x->method = strdup(method);
		if (!x->method)
			return MHD_NO;
		/* See http_framing_is_ambiguous(). */
		if (http_framing_is_ambiguous(conn))
			return refuse_and_close(x);
		intake_begin_body(x);
		return MHD_YES;
	}
	if (x->state == ANSWERED)
		return queue_answer(x);
	if (*data_bytes)
		return intake_store(x, data, data_bytes);
	if (x->state == READING && intake_is_whole(x)) {
		intake_complete(x);
		return call_handler(x);
	}
	return MHD_YES;
}

static struct MHD_Response *make_response(struct fp_http_exchange *x,
					  const struct fp_http_header *headers,
					  uint32_t n_headers, const void *body,
					  size_t body_bytes)
{
	struct MHD_Response *r;
	uint32_t i;

	r = intake_make_response(x, body, body_bytes);
	for (i = 0; i < n_headers; i++)
		MHD_add_response_header(r, headers[i].name, headers[i].value);
	return r;
}

uint8_t *fp_http_take_body(struct fp_http_exchange *x)
{
	uint8_t *body = x->body;

	x->body = NULL;
	return body;
}

void fp_http_reply(struct fp_http_exchange *x, int status,
		   const struct fp_http_header *headers, uint32_t n_headers,
		   const void *body, size_t body_bytes)
{
	static const struct fp_http_header lost[] = {
		{ "Fulmar-Outcome", "ran" }, { "Fulmar-Reason", "cut" }
	};
	struct fp_http_server *s = x->server;

	if (x->pipelined &&
	    !http_pipeline_answer(x->pipelined, status, headers, n_headers,
				  body, body_bytes)) {
		fp_log(FP_LOG_WARN, "answer_given_up",
		       "cause=no-room bytes=%zu", body_bytes);
		http_pipeline_answer(x->pipelined, 502, lost, 2, "", 0);
	}
	if (x->ended || x->pipelined) {
		exchange_free(x);
		return;
	}
	if (!intake_hold_answer(x, body_bytes)) {
		x->response = make_response(x, lost, 2, "", 0);
		status = 502;
	} else {
		x->response =
			make_response(x, headers, n_headers, body, body_bytes);
	}
	free(x->body);
	x->body = NULL;
	if (s->keep_alive_disabled)
		MHD_add_response_header(x->response, "Connection", "close");
	x->status = status;
	x->state = ANSWERED;
	if (x->suspended) {
		x->suspended = false;
		MHD_resume_connection(x->conn);
	}
	if (!x->in_handler)
		s->run_pending = true;
}

void fp_http_exchange_set(struct fp_http_exchange *x, void *value)
{
	x->value = value;
}

void *fp_http_exchange_get(const struct fp_http_exchange *x)
{
	return x->value;
}

/* --- requests that the library does not read --- */

static void on_pipelined(void *ctx, struct http_pipelined *req, char *text,
			 const struct http_head *head)
{
	struct fp_http_server *s = ctx;
	struct fp_http_exchange *x = calloc(1, sizeof(*x));
	struct fp_http_request r = { .method = "GET",
				     .uri = head->uri,
				     .headers = x ? x->headers : NULL,
				     .n_headers = head->n_headers };

	if (!x)
		abort();
	x->server = s;
	x->pipelined = req;
	x->text = text;
	x->state = WAITING;
	memcpy(x->headers, head->headers,
	       head->n_headers * sizeof(head->headers[0]));
	x->n_headers = head->n_headers;
	exchange_link(s, x);
	http_pipeline_set(req, x);
	s->handler.request(s->handler.ctx, x, &r);
}

static void on_pipelined_left(void *ctx, void *value)
{
	struct fp_http_exchange *x = value;

	(void)ctx;
	x->pipelined = NULL;
	x->ended = true;
	note_client_left(x);
}

static void on_hand_over(void *ctx, int fd)
{
	struct fp_http_server *s = ctx;
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t len = sizeof(sin);

	getpeername(fd, (struct sockaddr *)&sin, &len);
	MHD_add_connection(s->daemon, fd, (struct sockaddr *)&sin, sizeof(sin));
	s->run_pending = true;
}

static bool close_idle(void *ctx)
{
	return intake_close_idle(ctx);
}

static bool may_accept(void *ctx, uint32_t n_open)
{
	struct fp_http_server *s = ctx;
	const union MHD_DaemonInfo *info = MHD_get_daemon_info(
		s->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);

	return n_open + (info ? info->num_connections : 0) <
	       s->cfg.max_connections;
}

/* --- clients that disconnected --- */

/* Detects clients that disconnected while their request was suspended. */
static void on_sweep(void *ctx)
{
	struct fp_http_server *s = ctx;
	struct fp_http_exchange *x;

	for (x = s->open; x; x = x->next) {
		if (x->suspended && !x->left_noted && intake_client_left(x))
			note_client_left(x);
		if (intake_is_overdue(x, fp_loop_now_us(s->loop)))
			intake_end_connection(x);
	}
	if (s->cfg.account)
		fp_byte_tick(s->cfg.account, fp_loop_now_us(s->loop));
	if (s->pipeline)
		http_pipeline_sweep(s->pipeline);
	fp_timer_set(s->loop, &s->sweep, fp_loop_now_us(s->loop) + SWEEP_US,
		     on_sweep, s);
}

/* --- lifetime of the server --- */

/* Replaces the library's decoding of escapes in the request target. */
static size_t keep_escapes(void *ctx, struct MHD_Connection *conn, char *text)
{
	(void)ctx;
	(void)conn;
	return strlen(text);
}

/* The library logs a message when it refuses a malformed or too large head. */
static void on_library_message(void *ctx, const char *fmt, va_list ap)
{
	struct fp_http_server *s = ctx;

	(void)fmt;
	(void)ap;
	if (s->handler.refused)
		s->handler.refused(s->handler.ctx, 400);
}

static enum fp_status open_listener(struct fp_http_server *s)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t len = sizeof(sin);
	int one = 1;
	int fd;

	sin.sin_port = htons(s->cfg.port);
	if (inet_pton(AF_INET, s->cfg.address, &sin.sin_addr) != 1)
		return fp_fail(FP_INVALID, "%s is not an IPv4 address",
			       s->cfg.address);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return fp_fail(FP_IO, "socket: %s", strerror(errno));
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    listen(fd, LISTEN_BACKLOG) != 0 ||
	    getsockname(fd, (struct sockaddr *)&sin, &len) != 0) {
		fp_fail(FP_IO, "cannot listen on %s:%u: %s", s->cfg.address,
			s->cfg.port, strerror(errno));
		close(fd);
		return FP_IO;
	}
	s->listen_fd = fd;
	s->port = ntohs(sin.sin_port);
	return FP_OK;
}

static enum fp_status start_library(struct fp_http_server *s)
{
	const struct http_pipeline_handler h = { .request = on_pipelined,
						 .left = on_pipelined_left,
						 .hand_over = on_hand_over,
						 .may_accept = may_accept,
						 .close_idle = close_idle,
						 .ctx = s };
	const union MHD_DaemonInfo *info;
	unsigned int flags =
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG;
	const struct MHD_OptionItem no_socket[] = { { MHD_OPTION_END, 0,
						      NULL } };
	const struct MHD_OptionItem socket[] = {
		{ MHD_OPTION_LISTEN_SOCKET, s->listen_fd, NULL },
		{ MHD_OPTION_END, 0, NULL },
	};
	enum fp_status st = FP_OK;
	size_t memory = (size_t)s->cfg.max_header_bytes + MEMORY_HEAD_EXTRA;

	if (s->cfg.read_ahead)
		flags |= MHD_USE_NO_LISTEN_SOCKET;
	s->daemon = MHD_start_daemon(
		flags, 0, NULL, NULL, on_access, s, MHD_OPTION_EXTERNAL_LOGGER,
		on_library_message, s, MHD_OPTION_ARRAY,
		s->cfg.read_ahead ? no_socket : socket,
		MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)s->cfg.max_connections +
			(s->cfg.account ? SPARE_CONNECTIONS : 0),
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, memory,
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_TIMEOUT_S,
		MHD_OPTION_URI_LOG_CALLBACK, on_uri, s,
		MHD_OPTION_UNESCAPE_CALLBACK, keep_escapes, s,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, s,
		s->cfg.account ? MHD_OPTION_NOTIFY_CONNECTION : MHD_OPTION_END,
		intake_on_connection, s, MHD_OPTION_END);
	if (!s->daemon)
		return fp_fail(FP_IO, "cannot start the HTTP server on %s:%u",
			       s->cfg.address, s->port);
	info = MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	if (!info)
		return fp_fail(FP_IO, "the HTTP library has no epoll support");
	if (s->cfg.read_ahead)
		st = http_pipeline_init(s->loop, s->listen_fd,
					s->cfg.max_header_bytes, s->cfg.account,
					&h, &s->pipeline);
	if (st != FP_OK)
		return st;
	return fp_watch_add(s->loop, info->epoll_fd, FP_READABLE, on_ready, s,
			    &s->watch);
}

enum fp_status fp_http_server_init(struct fp_loop *l,
				   const struct fp_http_server_config *cfg,
				   const struct fp_http_handler *h,
				   struct fp_http_server **out)
{
	struct fp_http_server *s = calloc(1, sizeof(*s));
	enum fp_status st;

	if (!s)
		return fp_fail(FP_NOMEM, "out of memory");
	s->loop = l;
	s->cfg = *cfg;
	s->max_body_bytes = cfg->max_body_bytes;
	s->handler = *h;
	s->listen_fd = -1;
	st = open_listener(s);
	if (st == FP_OK)
		st = start_library(s);
	if (st != FP_OK) {
		fp_http_server_end(s);
		return st;
	}
	fp_loop_after_iteration(l, on_iteration_end, s);
	on_sweep(s);
	*out = s;
	return FP_OK;
}

uint16_t fp_http_server_port(const struct fp_http_server *s)
{
	return s->port;
}

void fp_http_server_disable_keep_alive(struct fp_http_server *s)
{
	s->keep_alive_disabled = true;
	if (s->pipeline)
		http_pipeline_disable_keep_alive(s->pipeline);
}

void fp_http_server_limit_bodies(struct fp_http_server *s, uint32_t bytes)
{
	s->max_body_bytes =
		bytes < s->cfg.max_body_bytes ? bytes : s->cfg.max_body_bytes;
}

void fp_http_server_quiesce(struct fp_http_server *s)
{
	int fd;

	if (s->quiesced)
		return;
	s->quiesced = true;
	fd = s->pipeline ? s->listen_fd : MHD_quiesce_daemon(s->daemon);
	if (s->pipeline)
		http_pipeline_quiesce(s->pipeline);
	if (fd >= 0)
		close(fd);
	s->listen_fd = -1;
}

uint32_t fp_http_server_open_exchanges(const struct fp_http_server *s)
{
	/* An exchange that was read ahead ends when it is answered. */
	return s->n_open +
	       (s->pipeline ? http_pipeline_unsent(s->pipeline) : 0);
}

/* The library requires that no connection is suspended when it is stopped. */
static void resume_suspended(struct fp_http_server *s)
{
	struct fp_http_exchange *x;

	for (x = s->open; x; x = x->next) {
		if (!x->suspended)
			continue;
		x->suspended = false;
		x->state = SENDING;
		MHD_resume_connection(x->conn);
	}
}

void fp_http_server_end(struct fp_http_server *s)
{
	struct fp_http_exchange *x;
	struct fp_http_exchange *next;

	if (!s)
		return;
	if (s->watch)
		fp_watch_del(s->watch);
	fp_timer_cancel(s->loop, &s->timeout);
	fp_timer_cancel(s->loop, &s->sweep);
	s->handler.client_left = NULL;
	http_pipeline_end(s->pipeline);
	if (s->daemon) {
		resume_suspended(s);
		MHD_stop_daemon(s->daemon);
	}
	if (s->listen_fd >= 0 && (!s->daemon || s->pipeline))
		close(s->listen_fd);
	for (x = s->open; x; x = next) {
		next = x->next;
		exchange_free(x);
	}
	free(s);
}
