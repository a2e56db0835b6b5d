/*
 * http_pipeline.c - reads the requests of a connection ahead of its answers
 *
 * A client that pipelines sends its next request before the last one is
 * answered. Read one after the other, each such request waits for the complete
 * run of those before it, unseen by everything that decides what waits and what
 * is refused. Here requests with a safe method are read at once and run side by
 * side; RFC 9112 (9.3.2) allows that. Only their answers keep the order.
 *
 * The HTTP library reads one request at a time. So a connection starts here, and
 * is handed to the library, for good, at its first request that is not a GET
 * without a body in the strict form below. Bytes are peeked at, and taken from
 * the socket only as complete requests that are run here, so the library gets
 * each byte of all others. Two readers that disagree about the end of a request
 * would let one request hide in another; a request with any field that concerns
 * its length or the connection is therefore never read here.
 *
 * Bounds: MAX_PIPELINED requests a connection, whose heads are together no longer
 * than one may be, and MAX_AHEAD in all beside the first of each connection.
 * Beyond them, or while a client does not take its answers, the socket is not
 * read, which holds the client back. Answers draw from the account of the node.
 * A node that stops reads one request at a time, so that the answer that closes
 * a connection leaves none behind it.
 *
 * A connection that ends leaves the list of the open ones at once, and the library
 * or the handler is told by the loop (loop.h). Nothing else frees it.
 */
#include "transport/http_pipeline.h"

#include <errno.h>
#include <inttypes.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base/log.h"

#define MAX_PIPELINED 16 /* requests of a connection that are not answered */
/* Requests of all connections from which only the first of each is read. Each
 * takes about 12 KB while it is in progress. */
#define MAX_AHEAD 1024
/* Answers up to this size are never in the account, so that a refusal arrives as
 * it is; MAX_PIPELINED of them are small. */
#define REFUSAL_BYTES 256
/* Answers are not in the account while those of their connection are together no
 * larger than this. */
#define SMALL_BYTES	  4096
#define PEEK_BYTES	  16384 /* read at once */
#define MAX_HELD_BYTES	  (256 * 1024) /* unsent, above it nothing is read */
#define RETRY_US	  (5 * FP_US_PER_MS) /* pause before an incomplete head ... */
#define RETRIES		  4 /* ... is looked at again, so often */
#define IDLE_US		  (60 * FP_US_PER_S)
#define LINGER_US	  (500 * FP_US_PER_MS) /* for the last answer to arrive */
#define ACCEPTS		  64 /* connections accepted at once */
#define ANSWER_HEAD_BYTES 256 /* status line and own fields */

struct http_pipelined {
	struct fp_byte_holder hold; /* first member: of the answer */
	struct connection *conn;
	size_t head_bytes;
	struct http_pipelined *next; /* later request of the connection */
	void *value;
	char *answer; /* NULL: not answered, or the connection had ended */
	size_t answer_bytes;
	size_t sent_bytes;
	bool close_after;
};

struct connection {
	struct http_pipeline *p;
	struct connection *next;
	struct connection **pprev;
	int fd;
	uint32_t address;
	struct fp_watch *watch;
	struct fp_timer retry;
	struct fp_deferred end; /* report of its end */
	struct http_pipelined *first;
	struct http_pipelined *last;
	uint32_t n_requests;
	uint32_t n_retries; /* of the same incomplete head */
	size_t head_bytes; /* of the requests that are not answered */
	size_t held_bytes; /* answers not sent */
	int64_t used_us; /* last request or answer */
	bool busy; /* its requests are being read; answers are sent after that */
	bool gone; /* failed or closed by the client */
	bool ended; /* in the list of ended connections */
	bool handing_over; /* reads no more; the library takes it when empty */
	bool closing; /* the last answer was sent */
	bool waiting; /* for the rest of a head */
	uint32_t events; /* watched */
};

struct http_pipeline {
	struct fp_loop *loop;
	struct http_pipeline_handler h;
	uint32_t max_header_bytes;
	struct fp_byte_account *account;
	uint32_t n_requests; /* of all connections */
	int listen_fd;
	struct fp_watch *listener;
	struct connection *open;
	struct connection *ended; /* their ends are not reported yet */
	uint32_t n_open;
	bool keep_alive_disabled;
	time_t date_s; /* that date shows */
	char date[40];
};

/* --- connections --- */

static void set_events(struct connection *c, uint32_t events)
{
	if (events != c->events)
		fp_watch_set(c->watch, events);
	c->events = events;
}

static void request_free(struct http_pipelined *t)
{
	struct http_pipeline *p = t->conn->p;

	if (t->hold.phase != FP_BYTES_NONE)
		fp_byte_end(p->account, &t->hold);
	p->n_requests--;
	free(t->answer);
	free(t);
}

static void connection_link(struct connection *c, struct connection **list)
{
	c->next = *list;
	if (c->next)
		c->next->pprev = &c->next;
	c->pprev = list;
	*list = c;
}

static void connection_unlink(struct connection *c)
{
	*c->pprev = c->next;
	if (c->next)
		c->next->pprev = c->pprev;
}

/* Frees the first request of a connection; returns its value if it was not
 * answered, else NULL. */
static void *drop_first(struct connection *c)
{
	struct http_pipelined *t = c->first;
	void *value = t->answer ? NULL : t->value;

	c->first = t->next;
	request_free(t);
	return value;
}

static void connection_free(struct connection *c)
{
	fp_loop_cancel_deferred(c->p->loop, &c->end);
	connection_unlink(c);
	while (c->first)
		drop_first(c);
	free(c);
}

/* Reports the end of a connection. The handler may answer other requests of it
 * meanwhile. */
static void report_end(void *ctx)
{
	struct connection *c = ctx;
	struct http_pipeline *p = c->p;
	void *value;

	while (c->first) {
		value = drop_first(c);
		if (value)
			p->h.left(p->h.ctx, value);
	}
	if (!c->gone)
		p->h.hand_over(p->h.ctx, c->fd);
	connection_free(c);
}

/* Ends a connection: closes it if it is gone, else its descriptor gets a new
 * owner. */
static void connection_end(struct connection *c)
{
	struct http_pipeline *p = c->p;

	fp_watch_del(c->watch);
	fp_timer_cancel(p->loop, &c->retry);
	if (c->gone)
		close(c->fd);
	connection_unlink(c);
	connection_link(c, &p->ended);
	c->ended = true;
	p->n_open--;
	fp_loop_defer(p->loop, &c->end, report_end, c);
}

static uint32_t max_pipelined(const struct connection *c)
{
	return c->p->keep_alive_disabled || c->p->n_requests >= MAX_AHEAD ?
		       1 :
		       MAX_PIPELINED;
}

/* Whether one more request, of that many bytes, may be read. */
static bool may_add(const struct connection *c, uint32_t n_requests,
		    size_t head_bytes)
{
	return n_requests < max_pipelined(c) &&
	       (!n_requests || head_bytes <= c->p->max_header_bytes);
}

static bool may_read(const struct connection *c)
{
	return !c->handing_over && !c->waiting &&
	       (c->closing || (may_add(c, c->n_requests, c->head_bytes) &&
			       c->held_bytes < MAX_HELD_BYTES));
}

/* Sends answers in order until the socket takes no more. */
static void send_answers(struct connection *c)
{
	struct http_pipelined *t;
	ssize_t n;

	while ((t = c->first) && t->answer && !c->gone && !c->closing) {
		n = send(c->fd, t->answer + t->sent_bytes,
			 t->answer_bytes - t->sent_bytes,
			 MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0) {
			c->gone = errno != EAGAIN && errno != EINTR;
			return;
		}
		t->sent_bytes += (size_t)n;
		c->held_bytes -= (size_t)n;
		c->used_us = fp_loop_now_us(c->p->loop);
		if (t->hold.phase != FP_BYTES_NONE)
			fp_byte_moved(&t->hold, (size_t)n, c->used_us);
		if (t->sent_bytes < t->answer_bytes)
			return;
		c->closing = t->close_after;
		c->first = t->next;
		if (!c->first)
			c->last = NULL;
		c->n_requests--;
		request_free(t);
	}
	if (c->closing)
		shutdown(c->fd, SHUT_WR);
}

/* Ends or watches a connection, as its state requires. */
static void settle(struct connection *c)
{
	bool unsent = c->first && c->first->answer;

	if (c->busy)
		return;
	if (c->gone || (c->handing_over && !c->first && !c->closing)) {
		connection_end(c);
		return;
	}
	set_events(c, (may_read(c) ? FP_READABLE : 0) |
			      (unsent ? FP_WRITABLE : 0));
}

static void add_request(struct connection *c, const char *text, size_t bytes)
{
	struct http_pipeline *p = c->p;
	struct http_pipelined *t = calloc(1, sizeof(*t));
	char *copy = malloc(bytes + 1);
	struct http_head head;

	if (!t || !copy)
		abort();
	memcpy(copy, text, bytes);
	copy[bytes] = '\0';
	http_head_parse(copy, bytes, &head);
	t->conn = c;
	t->head_bytes = bytes;
	c->head_bytes += bytes;
	p->n_requests++;
	if (c->last)
		c->last->next = t;
	else
		c->first = t;
	c->last = t;
	c->n_requests++;
	p->h.request(p->h.ctx, t, copy, &head);
}

/* Measures the requests at the start of text that may be read now; sets *more
 * to the result of http_head_parse() for what follows them. */
static uint32_t measure(const struct connection *c, const char *text,
			size_t bytes, size_t ends[MAX_PIPELINED], int32_t *more)
{
	struct http_head head;
	char copy[PEEK_BYTES];
	size_t at = 0;
	uint32_t n = 0;

	memcpy(copy, text, bytes);
	*more = 0;
	while (n < MAX_PIPELINED && at < bytes &&
	       may_add(c, c->n_requests + n, c->head_bytes + at)) {
		*more = http_head_parse(copy + at, bytes - at, &head);
		if (*more > (int32_t)c->p->max_header_bytes)
			*more = -1;
		if (*more <= 0)
			break;
		at += (size_t)*more;
		ends[n++] = at;
	}
	return n;
}

static void on_retry(void *ctx);

/* Waits for the rest of a head, which may be on its way. */
static void wait_for_rest(struct connection *c, size_t bytes)
{
	bool full = bytes >= PEEK_BYTES || bytes >= c->p->max_header_bytes;

	if (!c->first && (full || c->n_retries >= RETRIES)) {
		c->handing_over = true;
		return;
	}
	c->n_retries++;
	c->waiting = true;
	fp_timer_set(c->p->loop, &c->retry,
		     fp_loop_now_us(c->p->loop) + RETRY_US, on_retry, c);
}

static void read_requests(struct connection *c)
{
	char text[PEEK_BYTES];
	size_t ends[MAX_PIPELINED];
	size_t from = 0;
	int32_t more;
	ssize_t bytes;
	uint32_t n;
	uint32_t i;

	bytes = recv(c->fd, text, sizeof(text), MSG_PEEK | MSG_DONTWAIT);
	if (bytes <= 0) {
		c->gone = bytes == 0 || (errno != EAGAIN && errno != EINTR);
		return;
	}
	n = measure(c, text, (size_t)bytes, ends, &more);
	if (n && recv(c->fd, text, ends[n - 1], MSG_DONTWAIT) !=
			 (ssize_t)ends[n - 1]) {
		c->gone = true;
		return;
	}
	if (n) {
		c->n_retries = 0;
		c->used_us = fp_loop_now_us(c->p->loop);
	}
	for (i = 0; i < n; from = ends[i++])
		add_request(c, text + from, ends[i] - from);
	if (more < 0)
		c->handing_over = true;
	else if (more == 0 && may_add(c, c->n_requests, c->head_bytes) &&
		 (size_t)bytes > from)
		wait_for_rest(c, (size_t)bytes - from);
}

/* Drops what arrives behind the last answer, until the client closes. */
static void discard(struct connection *c)
{
	char text[PEEK_BYTES];
	ssize_t n = recv(c->fd, text, sizeof(text), MSG_DONTWAIT);

	c->gone = n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

static void on_ready(void *ctx, uint32_t events)
{
	struct connection *c = ctx;

	c->busy = true;
	if (c->closing)
		discard(c);
	else if ((events & (FP_READABLE | FP_HANGUP)) && may_read(c))
		read_requests(c);
	if (!c->gone)
		send_answers(c);
	c->busy = false;
	settle(c);
}

static void on_retry(void *ctx)
{
	struct connection *c = ctx;

	c->waiting = false;
	on_ready(c, FP_READABLE);
}

static void add_connection(struct http_pipeline *p, int fd, uint32_t address)
{
	struct connection *c = calloc(1, sizeof(*c));
	int one = 1;

	if (!c)
		abort();
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	c->p = p;
	c->fd = fd;
	c->address = address;
	c->used_us = fp_loop_now_us(p->loop);
	c->events = FP_READABLE;
	if (fp_watch_add(p->loop, fd, c->events, on_ready, c, &c->watch) !=
	    FP_OK) {
		close(fd);
		free(c);
		return;
	}
	connection_link(c, &p->open);
	p->n_open++;
}

/* Closes the connection that has been without a request for longest. */
static bool close_idle(struct http_pipeline *p)
{
	struct connection *oldest = NULL;
	struct connection *c;

	for (c = p->open; c; c = c->next)
		if (!c->first && !c->busy &&
		    (!oldest || c->used_us < oldest->used_us))
			oldest = c;
	if (!oldest)
		return false;
	fp_log(FP_LOG_INFO, "connection_closed",
	       "cause=connections open=%u idle_ms=%" PRId64, p->n_open,
	       (fp_loop_now_us(p->loop) - oldest->used_us) / FP_US_PER_MS);
	oldest->gone = true;
	connection_end(oldest);
	return true;
}

static bool may_accept(struct http_pipeline *p)
{
	if (p->h.may_accept(p->h.ctx, p->n_open))
		return true;
	return p->account && (close_idle(p) || p->h.close_idle(p->h.ctx));
}

static void on_connections(void *ctx, uint32_t events)
{
	struct http_pipeline *p = ctx;
	struct sockaddr_in from = { 0 };
	socklen_t len;
	int fd;
	int i;

	(void)events;
	for (i = 0; i < ACCEPTS; i++) {
		len = sizeof(from);
		fd = accept4(p->listen_fd, (struct sockaddr *)&from, &len,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0)
			return;
		if (may_accept(p))
			add_connection(p, fd, from.sin_addr.s_addr);
		else
			close(fd);
	}
}

/* --- interface --- */

enum fp_status http_pipeline_init(struct fp_loop *l, int listen_fd,
				  uint32_t max_header_bytes,
				  struct fp_byte_account *account,
				  const struct http_pipeline_handler *h,
				  struct http_pipeline **out)
{
	struct http_pipeline *p = calloc(1, sizeof(*p));
	enum fp_status st;

	if (!p)
		return fp_fail(FP_NOMEM, "out of memory");
	p->loop = l;
	p->h = *h;
	p->max_header_bytes = max_header_bytes;
	p->account = account;
	p->listen_fd = listen_fd;
	st = fp_watch_add(l, listen_fd, FP_READABLE, on_connections, p,
			  &p->listener);
	if (st != FP_OK) {
		free(p);
		return st;
	}
	*out = p;
	return FP_OK;
}

void http_pipeline_set(struct http_pipelined *req, void *value)
{
	req->value = value;
}

static bool has_body(int status)
{
	return status >= 200 && status != 204 && status != 304;
}

/* Whether a field of an answer is set here. */
static bool is_own_field(const char *name)
{
	return strcasecmp(name, "Content-Length") == 0 ||
	       strcasecmp(name, "Transfer-Encoding") == 0 ||
	       strcasecmp(name, "Connection") == 0;
}

static const char *date(struct http_pipeline *p)
{
	time_t now_s = time(NULL);
	struct tm tm;

	if (now_s != p->date_s && gmtime_r(&now_s, &tm)) {
		strftime(p->date, sizeof(p->date), "%a, %d %b %Y %H:%M:%S GMT",
			 &tm);
		p->date_s = now_s;
	}
	return p->date;
}

static void format_answer(struct http_pipelined *t, int status,
			  const struct fp_http_header *h, uint32_t n,
			  const void *body, size_t body_bytes)
{
	size_t size = ANSWER_HEAD_BYTES + body_bytes;
	uint32_t i;
	char *at;

	for (i = 0; i < n; i++)
		size += strlen(h[i].name) + strlen(h[i].value) + 4;
	at = t->answer = malloc(size);
	if (!at)
		abort();
	at += snprintf(at, ANSWER_HEAD_BYTES,
		       "HTTP/1.1 %d %.40s\r\nDate: %s\r\n", status,
		       MHD_get_reason_phrase_for((unsigned int)status),
		       date(t->conn->p));
	if (has_body(status))
		at += snprintf(at, 40, "Content-Length: %zu\r\n", body_bytes);
	if (t->close_after)
		at += snprintf(at, 24, "Connection: close\r\n");
	for (i = 0; i < n; i++)
		if (!is_own_field(h[i].name))
			at += sprintf(at, "%s: %s\r\n", h[i].name, h[i].value);
	memcpy(at, "\r\n", 2);
	at += 2;
	if (has_body(status) && body_bytes) {
		memcpy(at, body, body_bytes);
		at += body_bytes;
	}
	t->answer_bytes = (size_t)(at - t->answer);
}

static void on_evicted(struct fp_byte_holder *h, enum fp_byte_eviction why)
{
	struct connection *c = ((struct http_pipelined *)h)->conn;

	fp_log(FP_LOG_INFO, "body_evicted", "cause=%s direction=out bytes=%zu",
	       why == FP_BYTES_STALLED ? "stalled" : "needed", c->held_bytes);
	/* The sweep ends it: the account may be in use by an answer. */
	c->gone = true;
}

/* Draws an answer from the account; false: there is no room. */
static bool hold(struct http_pipelined *t, size_t bytes)
{
	static const struct fp_byte_holder_ops ops = { .evict = on_evicted };
	struct connection *c = t->conn;
	struct http_pipeline *p = c->p;

	if (!p->account || bytes <= REFUSAL_BYTES ||
	    c->held_bytes + bytes <= SMALL_BYTES)
		return true;
	t->hold.ops = &ops;
	return fp_byte_send(p->account, &t->hold, c->address, bytes,
			    fp_loop_now_us(p->loop));
}

bool http_pipeline_answer(struct http_pipelined *req, int status,
			  const struct fp_http_header *headers,
			  uint32_t n_headers, const void *body,
			  size_t body_bytes)
{
	struct connection *c = req->conn;

	if (c->ended) {
		req->value = NULL;
		return true;
	}
	if (body_bytes && !hold(req, body_bytes))
		return false;
	c->head_bytes -= req->head_bytes;
	req->close_after =
		c->p->keep_alive_disabled && !req->next && !c->handing_over;
	format_answer(req, status, headers, n_headers, body, body_bytes);
	c->held_bytes += req->answer_bytes;
	if (c->busy)
		return true; /* on_ready() sends it */
	c->busy = true;
	send_answers(c);
	c->busy = false;
	settle(c);
	return true;
}

/* Requests that are not read may hide the end of the connection. */
static bool client_left(const struct connection *c)
{
	struct pollfd end = { .fd = c->fd, .events = POLLRDHUP };
	char byte;
	ssize_t n;

	if (poll(&end, 1, 0) > 0)
		return true;
	n = recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

void http_pipeline_sweep(struct http_pipeline *p)
{
	int64_t now_us = fp_loop_now_us(p->loop);
	struct connection *c;
	struct connection *next;

	for (c = p->open; c; c = next) {
		next = c->next;
		if (c->closing)
			c->gone = c->gone || now_us - c->used_us > LINGER_US;
		else if (!c->first || c->first->answer)
			c->gone = c->gone || now_us - c->used_us > IDLE_US;
		if (!c->gone && c->first && !(c->events & FP_READABLE))
			c->gone = client_left(c);
		/* Takes c out of this list and calls nobody. */
		if (c->gone)
			settle(c);
	}
}

uint32_t http_pipeline_unsent(const struct http_pipeline *p)
{
	const struct connection *c;
	const struct http_pipelined *t;
	uint32_t n = 0;

	for (c = p->open; c; c = c->next)
		for (t = c->first; t && !c->gone; t = t->next)
			n += t->answer != NULL;
	return n;
}

void http_pipeline_quiesce(struct http_pipeline *p)
{
	if (p->listener)
		fp_watch_del(p->listener);
	p->listener = NULL;
}

void http_pipeline_disable_keep_alive(struct http_pipeline *p)
{
	struct connection *c;

	p->keep_alive_disabled = true;
	for (c = p->open; c; c = c->next)
		set_events(c,
			   (may_read(c) ? FP_READABLE : 0) |
				   (c->first && c->first->answer ? FP_WRITABLE :
								   0));
}

void http_pipeline_end(struct http_pipeline *p)
{
	struct connection *c;
	struct connection *next;

	if (!p)
		return;
	http_pipeline_quiesce(p);
	for (c = p->open; c; c = next) {
		next = c->next;
		c->gone = true;
		connection_end(c);
	}
	for (c = p->ended; c; c = next) {
		next = c->next;
		if (!c->gone) /* its descriptor was not handed over */
			close(c->fd);
		connection_free(c);
	}
	free(p);
}
