/*
 * http_intake.c - bodies and answers of an HTTP server, as its account allows
 *
 * Bodies and answers draw from the account of the node (byte_account.h). A body
 * without room is not read: its connection is suspended. A request that is
 * refused before its body was read is answered on the socket itself, since the
 * library takes answers only before and after a body. What the client still sends
 * is thrown away for LINGER_US, so that it can read the answer before the
 * connection is reset; then the connection ends, whether the client reads or not.
 *
 * An answer that is larger than a block is given to the library block by block,
 * which shows whether its client reads.
 *
 * When more connections are open than the server accepts, one that has no
 * complete request is closed for each new one.
 */
#include <errno.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/log.h"
#include "transport/http_server_private.h"

#define BODY_FIRST_BYTES 1024
/* Time and bytes for which the rest of a refused body is thrown away. */
#define LINGER_US     FP_US_PER_S
#define LINGER_BYTES  (1u << 20)
#define END_TIMEOUT_S 1u
/* Age from which the client of an incomplete request is looked after. */
#define CHECK_US FP_US_PER_S
/* Longest time for a head; five times headerTimeout of the platform. */
#define HEAD_US (15 * FP_US_PER_S)
/* A body of a request is held twice, as it arrived and as sent on. */
#define BODY_COPIES 2
/* First step of a body in chunks. */
#define CHUNKED_FIRST_BYTES 16384u
/* Answers up to this size are not in the account: they are bounded by the
 * connections. */
#define SMALL_ANSWER_BYTES 4096u
/* Larger answers are given to the library in blocks, which shows whether the
 * client reads. */
#define ANSWER_BLOCK_BYTES 65536u
/* An answer that is given to the library in blocks. */
struct answer {
	struct fp_http_exchange *x;
	size_t bytes;
	uint8_t data[];
};

/* --- connections --- */

static struct connection *connection_of(const struct fp_http_exchange *x)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		x->conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

int intake_socket(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		conn, MHD_CONNECTION_INFO_CONNECTION_FD);

	return info ? info->connect_fd : -1;
}

static uint32_t address_of(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		conn, MHD_CONNECTION_INFO_CLIENT_ADDRESS);

	if (!info || info->client_addr->sa_family != AF_INET)
		return 0;
	return ((const struct sockaddr_in *)info->client_addr)->sin_addr.s_addr;
}

static void resume(struct fp_http_exchange *x)
{
	if (!x->suspended)
		return;
	x->suspended = false;
	MHD_resume_connection(x->conn);
	x->server->run_pending = true;
}

/* Ends a connection. The library may have missed the event of a socket that is
 * closed already, so a time without activity ends it, too. */
static void end_socket(struct MHD_Connection *conn)
{
	shutdown(intake_socket(conn), SHUT_RDWR);
	MHD_set_connection_option(conn, MHD_CONNECTION_OPTION_TIMEOUT,
				  END_TIMEOUT_S);
}

void intake_end_connection(struct fp_http_exchange *x)
{
	if (x->ending)
		return;
	x->ending = true;
	end_socket(x->conn);
	resume(x);
}

bool intake_close_idle(struct fp_http_server *s)
{
	struct fp_byte_connection *b =
		fp_byte_pick_idle(s->cfg.account, s->connections);
	struct connection *c = (struct connection *)b;

	if (!c)
		return false;
	fp_log(FP_LOG_INFO, "connection_closed",
	       "cause=connections open=%u limit=%u idle_ms=%" PRId64,
	       s->n_connections, s->cfg.max_connections,
	       (fp_loop_now_us(s->loop) - b->idle_since_us) / FP_US_PER_MS);
	if (!c->x) {
		end_socket(c->conn);
		return true;
	}
	if (c->x->state == READING)
		c->x->state = LINGERING;
	intake_end_connection(c->x);
	return true;
}

void intake_on_connection(void *ctx, struct MHD_Connection *conn, void **sctx,
			  enum MHD_ConnectionNotificationCode code)
{
	struct fp_http_server *s = ctx;
	struct connection *c = *sctx;

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		if (!c)
			return;
		fp_byte_disconnected(s->cfg.account, &c->idle);
		s->n_connections--;
		*sctx = NULL;
		free(c);
		return;
	}
	c = calloc(1, sizeof(*c));
	if (!c)
		abort();
	*sctx = c;
	c->conn = conn;
	c->address = address_of(conn);
	s->n_connections++;
	if (s->n_connections > s->cfg.max_connections)
		intake_close_idle(s);
	fp_byte_connected(s->cfg.account, &c->idle, &s->connections, c->address,
			  fp_loop_now_us(s->loop));
}

/* --- bodies --- */

static void hold_end(struct fp_http_exchange *x)
{
	if (x->hold.phase == FP_BYTES_NONE)
		return;
	fp_byte_end(x->server->cfg.account, &x->hold);
	x->server->freed_bytes = true;
}

void intake_free_body(struct fp_http_exchange *x)
{
	free(x->body);
	x->body = NULL;
	x->body_bytes = 0;
	x->body_size = 0;
	hold_end(x);
}

static const char *status_text(int status)
{
	switch (status) {
	case 408:
		return "Request Timeout";
	case 413:
		return "Content Too Large";
	default:
		return "Service Unavailable";
	}
}

/* Refuses a request whose body is not read to its end. */
static void refuse_unread(struct fp_http_exchange *x, int status,
			  const char *reason)
{
	struct fp_http_server *s = x->server;
	int fd = intake_socket(x->conn);
	char text[256];
	int n;

	if (s->handler.refused)
		s->handler.refused(s->handler.ctx, status);
	intake_free_body(x);
	n = snprintf(text, sizeof(text),
		     "HTTP/1.1 %d %s\r\nConnection: close\r\n"
		     "Content-Length: 0\r\nFulmar-Outcome: not-run\r\n"
		     "Fulmar-Reason: %s\r\n%s\r\n",
		     status, status_text(status), reason,
		     status == 503 ? "Retry-After: 1\r\n" : "");
	/* A socket that takes less is not read by its client. */
	(void)!send(fd, text, (size_t)n, MSG_NOSIGNAL | MSG_DONTWAIT);
	shutdown(fd, SHUT_WR);
	x->state = LINGERING;
	x->refused_us = fp_loop_now_us(s->loop);
	resume(x);
}

static void on_room(struct fp_byte_holder *h)
{
	resume((struct fp_http_exchange *)h);
}

static void on_evicted(struct fp_byte_holder *h, enum fp_byte_eviction why)
{
	static const char *const causes[] = { "stalled", "needed", "no-room" };
	struct fp_http_exchange *x = (struct fp_http_exchange *)h;

	fp_log(FP_LOG_INFO, "body_evicted",
	       "cause=%s direction=%s bytes=%zu announced=%zu "
	       "total_ms=%" PRId64,
	       causes[why], x->state == READING ? "in" : "out", x->body_bytes,
	       x->announced_bytes,
	       (fp_loop_now_us(x->server->loop) - x->begun_us) / FP_US_PER_MS);
	if (x->state != READING)
		intake_end_connection(x);
	else if (why == FP_BYTES_STALLED)
		refuse_unread(x, 408, "too-slow");
	else
		refuse_unread(x, 503, "overloaded");
}

static const struct fp_byte_holder_ops hold_ops = { .resume = on_room,
						    .evict = on_evicted };

void intake_begin(struct fp_http_exchange *x)
{
	struct connection *c = connection_of(x);

	x->hold.ops = &hold_ops;
	x->hold.reserved = x->server->cfg.reserved;
	x->begun_us = fp_loop_now_us(x->server->loop);
	if (c)
		c->x = x;
}

void intake_complete(struct fp_http_exchange *x)
{
	struct connection *c = connection_of(x);

	if (x->hold.phase != FP_BYTES_NONE)
		fp_byte_complete(x->server->cfg.account, &x->hold);
	if (c)
		c->idle.busy = true;
}

void intake_end(struct fp_http_exchange *x)
{
	struct connection *c = connection_of(x);

	if (!c)
		return;
	c->x = NULL;
	c->idle.busy = false;
	c->idle.idle_since_us = fp_loop_now_us(x->server->loop);
}

/* Whether the account lets a body grow to that size; if not, it is paused. */
static bool may_grow(struct fp_http_exchange *x, size_t size)
{
	struct fp_http_server *s = x->server;
	int64_t now_us = fp_loop_now_us(s->loop);

	if (!s->cfg.account)
		return true;
	if (x->hold.phase == FP_BYTES_NONE)
		fp_byte_begin(s->cfg.account, &x->hold, address_of(x->conn),
			      now_us);
	if (fp_byte_reserve(s->cfg.account, &x->hold, size * BODY_COPIES,
			    now_us))
		return true;
	MHD_suspend_connection(x->conn);
	x->suspended = true;
	return false;
}

/* Size to allocate for a body of at least that many bytes. */
static size_t size_for(const struct fp_http_exchange *x, size_t needed)
{
	size_t size = x->body_size;

	if (!size)
		size = x->announced_bytes ? BODY_FIRST_BYTES :
					    CHUNKED_FIRST_BYTES;
	while (size < needed)
		size *= 2;
	if (x->announced_bytes && size > x->announced_bytes)
		return x->announced_bytes;
	if (size > x->max_body_bytes)
		size = x->max_body_bytes;
	return size;
}

bool intake_is_whole(const struct fp_http_exchange *x)
{
	return x->arrived_bytes >= x->announced_bytes;
}

enum MHD_Result intake_store(struct fp_http_exchange *x, const char *data,
			     size_t *data_bytes)
{
	size_t n = *data_bytes;
	size_t needed = x->body_bytes + n;
	size_t size;
	uint8_t *body;

	if (needed > x->max_body_bytes) {
		*data_bytes = 0;
		refuse_unread(x, 413, "too-large");
		return MHD_YES;
	}
	size = size_for(x, needed);
	if (size != x->body_size) {
		if (!x->announced_bytes && !may_grow(x, size))
			return MHD_YES;
		body = realloc(x->body, size);
		if (!body)
			return MHD_NO;
		x->body = body;
		x->body_size = size;
	}
	memcpy(x->body + x->body_bytes, data, n);
	x->body_bytes = needed;
	x->arrived_bytes += n;
	*data_bytes = 0;
	if (x->hold.phase != FP_BYTES_NONE)
		fp_byte_moved(&x->hold, n, fp_loop_now_us(x->server->loop));
	return MHD_YES;
}

enum MHD_Result intake_discard(struct fp_http_exchange *x, size_t *data_bytes)
{
	if (!*data_bytes)
		return intake_is_whole(x) ? MHD_NO : MHD_YES;
	x->arrived_bytes += *data_bytes;
	x->discarded_bytes += *data_bytes;
	*data_bytes = 0;
	return x->discarded_bytes > LINGER_BYTES ? MHD_NO : MHD_YES;
}

void intake_begin_body(struct fp_http_exchange *x)
{
	const char *length = MHD_lookup_connection_value(
		x->conn, MHD_HEADER_KIND, "Content-Length");
	unsigned long long bytes = length ? strtoull(length, NULL, 10) : 0;

	x->announced_bytes = (size_t)bytes;
	x->max_body_bytes = x->server->max_body_bytes;
	if (bytes > x->max_body_bytes) {
		refuse_unread(x, 413, "too-large");
		return;
	}
	if (bytes)
		may_grow(x, x->announced_bytes);
}

/* --- answers --- */

bool intake_hold_answer(struct fp_http_exchange *x, size_t bytes)
{
	struct fp_http_server *s = x->server;

	hold_end(x);
	if (!s->cfg.account || bytes <= SMALL_ANSWER_BYTES)
		return true;
	if (fp_byte_send(s->cfg.account, &x->hold, address_of(x->conn), bytes,
			 fp_loop_now_us(s->loop)))
		return true;
	fp_log(FP_LOG_WARN, "answer_given_up", "cause=no-room bytes=%zu",
	       bytes);
	return false;
}

static ssize_t next_block(void *ctx, uint64_t at, char *to, size_t size)
{
	struct answer *a = ctx;
	size_t n = a->bytes - (size_t)at;

	if (n > size)
		n = size;
	memcpy(to, a->data + at, n);
	if (a->x->hold.phase != FP_BYTES_NONE)
		fp_byte_moved(&a->x->hold, n,
			      fp_loop_now_us(a->x->server->loop));
	return (ssize_t)n;
}

/* A response that shows how far it was sent. */
static struct MHD_Response *make_blocks(struct fp_http_exchange *x,
					const void *body, size_t bytes)
{
	struct answer *a = malloc(sizeof(*a) + bytes);
	struct MHD_Response *r;

	if (!a)
		abort();
	a->x = x;
	a->bytes = bytes;
	memcpy(a->data, body, bytes);
	r = MHD_create_response_from_callback(bytes, ANSWER_BLOCK_BYTES,
					      next_block, a, free);
	if (!r)
		abort();
	return r;
}

struct MHD_Response *intake_make_response(struct fp_http_exchange *x,
					  const void *body, size_t bytes)
{
	if (bytes > ANSWER_BLOCK_BYTES)
		return make_blocks(x, body, bytes);
	return MHD_create_response_from_buffer(bytes, (void *)(uintptr_t)body,
					       MHD_RESPMEM_MUST_COPY);
}

/* --- time --- */

bool intake_client_left(const struct fp_http_exchange *x)
{
	char byte;
	ssize_t n;

	n = recv(intake_socket(x->conn), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

bool intake_is_overdue(const struct fp_http_exchange *x, int64_t now_us)
{
	if (x->ended || x->ending)
		return false;
	if (x->state == LINGERING)
		return now_us - x->refused_us > LINGER_US;
	if (x->state != READING || now_us - x->begun_us < CHECK_US)
		return false;
	return (!x->method && now_us - x->begun_us > HEAD_US) ||
	       intake_client_left(x);
}
