/*
 * http_client.c - HTTP/1.1 client that runs inside an event loop
 *
 * libcurl's multi interface reports which sockets to watch and when it must be
 * called next; these become watches and a timer of the loop. Finished transfers
 * are collected after each call of the library.
 *
 * http_answer.c decides which of the received bytes are an answer.
 */
#include "transport/http_client_private.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECT_TIMEOUT_MS 500L
#define MAX_IDLE_AGE_S	   20L

struct socket_watch {
	struct fp_http_client *client;
	curl_socket_t fd;
	struct fp_watch *watch;
};

/* A socket of a connection, in use or idle. */
struct open_socket {
	curl_socket_t fd;
	int local_port; /* 0: not read yet */
	struct open_socket *next;
};

/* --- one transfer --- */

void http_send_link(struct fp_http_send *s, struct fp_http_send **list)
{
	s->next = *list;
	if (s->next)
		s->next->pprev = &s->next;
	s->pprev = list;
	*list = s;
}

void http_send_unlink(struct fp_http_send *s)
{
	if (!s->pprev)
		return;
	*s->pprev = s->next;
	if (s->next)
		s->next->pprev = s->pprev;
	s->pprev = NULL;
}

static CURL *easy_get(struct fp_http_client *c)
{
	if (c->n_free)
		return c->free[--c->n_free];
	return curl_easy_init();
}

static void easy_put(struct fp_http_client *c, CURL *easy)
{
	if (c->n_free == FREE_HANDLES) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	c->free[c->n_free++] = easy;
}

static void send_free(struct fp_http_send *s)
{
	struct fp_http_client *c = s->client;

	http_send_unlink(s);
	curl_multi_remove_handle(c->multi, s->easy);
	curl_slist_free_all(s->headers_out);
	easy_put(c, s->easy);
	http_answer_clear(s);
	free(s->body_out);
	free(s->echo_value);
	http_answer_free(s);
	free(s);
}

/* --- open sockets --- */

static void forget_socket(struct fp_http_client *c, curl_socket_t fd)
{
	struct open_socket **at = &c->sockets;
	struct open_socket *o;

	while (*at && (*at)->fd != fd)
		at = &(*at)->next;
	o = *at;
	if (!o)
		return;
	*at = o->next;
	free(o);
}

/* The library does not tell which socket a request is about to be sent on, only
 * its local port. */
static curl_socket_t on_open_socket(void *ctx, curlsocktype purpose,
				    struct curl_sockaddr *addr)
{
	struct fp_http_client *c = ctx;
	struct open_socket *o;
	int fd = socket(addr->family, addr->socktype | SOCK_CLOEXEC,
			addr->protocol);

	(void)purpose;
	if (fd < 0)
		return CURL_SOCKET_BAD;
	/* The library closes a socket that is still connecting without calling
	 * on_close_socket(). */
	forget_socket(c, fd);
	o = calloc(1, sizeof(*o));
	if (!o)
		abort();
	o->fd = fd;
	o->next = c->sockets;
	c->sockets = o;
	return fd;
}

static int on_close_socket(void *ctx, curl_socket_t fd)
{
	forget_socket(ctx, fd);
	return close(fd);
}

static int local_port_of(curl_socket_t fd)
{
	union {
		struct sockaddr any;
		struct sockaddr_in v4;
		struct sockaddr_in6 v6;
	} addr = { .v6 = { 0 } };
	socklen_t len = sizeof(addr);

	if (getsockname(fd, &addr.any, &len) != 0)
		return 0;
	return ntohs(addr.any.sa_family == AF_INET6 ? addr.v6.sin6_port :
						      addr.v4.sin_port);
}

/* Whether the server wrote something on a connection that no request has asked
 * for. */
static bool has_unread_bytes(const struct fp_http_client *c, int local_port)
{
	struct open_socket *o;
	char byte;

	for (o = c->sockets; o; o = o->next) {
		if (!o->local_port)
			o->local_port = local_port_of(o->fd);
		if (o->local_port == local_port)
			return recv(o->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >
			       0;
	}
	return false;
}

/* Called by the library each time it is about to send the request. */
static int on_sending(void *ctx, char *remote_ip, char *local_ip,
		      int remote_port, int local_port)
{
	struct fp_http_send *s = ctx;

	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	if (has_unread_bytes(s->client, local_port)) {
		s->unread_bytes = true;
		return CURL_PREREQFUNC_ABORT;
	}
	if (s->once && s->sent)
		return CURL_PREREQFUNC_ABORT;
	s->sent = true;
	return CURL_PREREQFUNC_OK;
}

static enum fp_status status_of(struct fp_http_send *s, CURLcode rc,
				long http_status)
{
	switch (rc) {
	case CURLE_OK:
		return http_answer_is_complete(s, http_status) ? FP_OK : FP_IO;
	case CURLE_COULDNT_CONNECT:
	case CURLE_COULDNT_RESOLVE_HOST:
	case CURLE_URL_MALFORMAT:
		return FP_UNAVAILABLE;
	case CURLE_OPERATION_TIMEDOUT:
		return FP_TIMEOUT;
	default:
		return FP_IO;
	}
}

static void finish(struct fp_http_send *s, CURLcode rc)
{
	struct fp_http_result r = { 0 };
	fp_http_done_fn done = s->done;
	void *ctx = s->ctx;
	long http_status = 0;

	curl_easy_getinfo(s->easy, CURLINFO_RESPONSE_CODE, &http_status);
	r.status = status_of(s, rc, http_status);
	if (r.status != FP_OK && !s->sent)
		r.status = FP_UNAVAILABLE;
	/* The library may send the request, lose the connection, and fail to
	 * open another one for the resend. */
	if (r.status == FP_UNAVAILABLE && s->sent)
		r.status = FP_IO;
	r.http_status = (int)http_status;
	r.headers = s->headers;
	r.n_headers = s->n_headers;
	r.body = s->body;
	r.body_bytes = s->body_bytes;
	done(ctx, &r);
	send_free(s);
}

/* Sends a request on a new connection if it was held back on a kept one because
 * of unread bytes; returns whether it does. */
static bool send_anew(struct fp_http_send *s)
{
	if (!s->unread_bytes || s->sent)
		return false;
	s->unread_bytes = false;
	curl_multi_remove_handle(s->client->multi, s->easy);
	curl_easy_setopt(s->easy, CURLOPT_FRESH_CONNECT, 1L);
	return curl_multi_add_handle(s->client->multi, s->easy) == CURLM_OK;
}

/* Ends the requests whose answers were given up while the library handled
 * others. */
static void finish_given_up(struct fp_http_client *c)
{
	struct fp_http_send *s;

	while ((s = c->given_up)) {
		c->given_up = s->next;
		if (s->next)
			s->next->pprev = &c->given_up;
		s->pprev = NULL;
		finish(s, CURLE_WRITE_ERROR);
	}
}

static void collect(struct fp_http_client *c)
{
	struct fp_http_send *s;
	CURLMsg *m;
	int left;

	while ((m = curl_multi_info_read(c->multi, &left))) {
		if (m->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &s);
		if (!send_anew(s))
			finish(s, m->data.result);
	}
	finish_given_up(c);
}

/* --- the loop --- */

static void on_socket_ready(void *ctx, uint32_t events)
{
	struct socket_watch *sw = ctx;
	struct fp_http_client *c = sw->client;
	int flags = 0;
	int running;

	if (events & FP_READABLE)
		flags |= CURL_CSELECT_IN;
	if (events & FP_WRITABLE)
		flags |= CURL_CSELECT_OUT;
	if (events & FP_HANGUP)
		flags |= CURL_CSELECT_ERR;
	curl_multi_socket_action(c->multi, sw->fd, flags, &running);
	collect(c);
}

/* Called by the library when the events that it waits for on a socket
 * change. */
static int on_socket_change(CURL *easy, curl_socket_t fd, int what, void *ctx,
			    void *socket_ctx)
{
	struct fp_http_client *c = ctx;
	struct socket_watch *sw = socket_ctx;
	uint32_t events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (sw) {
			curl_multi_assign(c->multi, fd, NULL);
			fp_watch_del(sw->watch);
			free(sw);
		}
		return 0;
	}
	if (what & CURL_POLL_IN)
		events |= FP_READABLE;
	if (what & CURL_POLL_OUT)
		events |= FP_WRITABLE;
	if (sw)
		return fp_watch_set(sw->watch, events) == FP_OK ? 0 : -1;
	sw = calloc(1, sizeof(*sw));
	if (!sw)
		return -1;
	sw->client = c;
	sw->fd = fd;
	if (fp_watch_add(c->loop, fd, events, on_socket_ready, sw,
			 &sw->watch) != FP_OK) {
		free(sw);
		return -1;
	}
	curl_multi_assign(c->multi, fd, sw);
	return 0;
}

static void on_timer(void *ctx)
{
	struct fp_http_client *c = ctx;
	int running;

	curl_multi_socket_action(c->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	collect(c);
}

/* Called by the library with the time until it must be called again; < 0:
 * no limit. */
static int on_timer_change(CURLM *multi, long timeout_ms, void *ctx)
{
	struct fp_http_client *c = ctx;

	(void)multi;
	if (timeout_ms < 0)
		fp_timer_cancel(c->loop, &c->timer);
	else
		fp_timer_set(c->loop, &c->timer,
			     fp_loop_now_us(c->loop) +
				     timeout_ms * FP_US_PER_MS,
			     on_timer, c);
	return 0;
}

/* --- interface --- */

enum fp_status fp_http_client_init(struct fp_loop *l,
				   uint32_t max_idle_connections,
				   struct fp_http_client **out)
{
	struct fp_http_client *c = calloc(1, sizeof(*c));

	if (!c)
		return fp_fail(FP_NOMEM, "out of memory");
	c->loop = l;
	c->max_held_bytes = SIZE_MAX;
	c->multi = curl_multi_init();
	if (!c->multi) {
		free(c);
		return fp_fail(FP_NOMEM, "out of memory");
	}
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETFUNCTION, on_socket_change);
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETDATA, c);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERFUNCTION, on_timer_change);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERDATA, c);
	curl_multi_setopt(c->multi, CURLMOPT_MAXCONNECTS,
			  (long)max_idle_connections);
	*out = c;
	return FP_OK;
}

void fp_http_client_limit(struct fp_http_client *c, size_t max_held_bytes)
{
	c->max_held_bytes = max_held_bytes;
}

void fp_http_client_use(struct fp_http_client *c, struct fp_byte_account *a)
{
	c->account = a;
}

size_t fp_http_client_held_bytes(const struct fp_http_client *c)
{
	return c->held_bytes;
}

static enum fp_status set_headers(struct fp_http_send *s,
				  const struct fp_http_out *o)
{
	struct curl_slist *list = NULL;
	struct curl_slist *more;
	char *line;
	uint32_t i;

	/* Suppresses the library's "Expect: 100-continue" and default
	 * Content-Type. */
	list = curl_slist_append(NULL, "Expect:");
	list = curl_slist_append(list, "Content-Type:");
	for (i = 0; i < o->n_headers; i++) {
		/* libcurl sends a header without a value only if it is given
		 * as "Name;". */
		if (asprintf(&line, o->headers[i].value[0] ? "%s: %s" : "%s;",
			     o->headers[i].name, o->headers[i].value) < 0)
			line = NULL;
		more = line ? curl_slist_append(list, line) : NULL;
		free(line);
		if (!more) {
			curl_slist_free_all(list);
			return fp_fail(FP_NOMEM, "out of memory");
		}
		list = more;
	}
	s->headers_out = list;
	curl_easy_setopt(s->easy, CURLOPT_HTTPHEADER, list);
	return FP_OK;
}

static enum fp_status set_body(struct fp_http_send *s,
			       const struct fp_http_out *o)
{
	const char *body = o->body;

	if (!o->body_bytes && strcmp(o->method, "GET") == 0)
		return FP_OK;
	if (strcmp(o->method, "HEAD") == 0) {
		curl_easy_setopt(s->easy, CURLOPT_NOBODY, 1L);
		return FP_OK;
	}
	if (!o->body_lasts) {
		s->body_out = malloc(o->body_bytes + 1);
		if (!s->body_out)
			return fp_fail(FP_NOMEM, "out of memory");
		if (o->body_bytes)
			memcpy(s->body_out, o->body, o->body_bytes);
		body = s->body_out;
	}
	curl_easy_setopt(s->easy, CURLOPT_POSTFIELDSIZE_LARGE,
			 (curl_off_t)o->body_bytes);
	curl_easy_setopt(s->easy, CURLOPT_POSTFIELDS, body ? body : "");
	curl_easy_setopt(s->easy, CURLOPT_CUSTOMREQUEST, o->method);
	return FP_OK;
}

static void set_options(struct fp_http_send *s, const struct fp_http_out *o)
{
	CURL *e = s->easy;
	long timeout_ms = (long)((o->timeout_us + 999) / FP_US_PER_MS);
	long connect_ms = CONNECT_TIMEOUT_MS;

	if (timeout_ms < 1)
		timeout_ms = 1;
	if (connect_ms > timeout_ms)
		connect_ms = timeout_ms;
	curl_easy_setopt(e, CURLOPT_URL, o->url);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, connect_ms);
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, MAX_IDLE_AGE_S);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, http_answer_on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, s);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, http_answer_on_line);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, s);
	curl_easy_setopt(e, CURLOPT_PRIVATE, s);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_sending);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, s);
	curl_easy_setopt(e, CURLOPT_OPENSOCKETFUNCTION, on_open_socket);
	curl_easy_setopt(e, CURLOPT_OPENSOCKETDATA, s->client);
	curl_easy_setopt(e, CURLOPT_CLOSESOCKETFUNCTION, on_close_socket);
	curl_easy_setopt(e, CURLOPT_CLOSESOCKETDATA, s->client);
	if (strcmp(o->method, "GET") != 0)
		curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, o->method);
}

enum fp_status fp_http_send(struct fp_http_client *c,
			    const struct fp_http_out *o, fp_http_done_fn done,
			    void *ctx, struct fp_http_send **handle)
{
	struct fp_http_send *s = calloc(1, sizeof(*s));
	enum fp_status st;

	if (!s)
		return fp_fail(FP_NOMEM, "out of memory");
	s->client = c;
	s->done = done;
	s->ctx = ctx;
	s->max_answer_bytes = o->max_answer_bytes;
	s->once = o->at_most_once;
	if (o->echo_header && o->echo_value) {
		s->echo_header = o->echo_header;
		s->echo_value = strdup(o->echo_value);
		if (!s->echo_value)
			abort();
	}
	s->easy = easy_get(c);
	if (!s->easy) {
		free(s);
		return fp_fail(FP_NOMEM, "out of memory");
	}
	http_send_link(s, &c->active);
	set_options(s, o);
	st = set_headers(s, o);
	if (st == FP_OK)
		st = set_body(s, o);
	if (st != FP_OK) {
		send_free(s);
		return st;
	}
	if (handle)
		*handle = s;
	curl_multi_add_handle(c->multi, s->easy);
	return FP_OK;
}

void fp_http_cancel(struct fp_http_send *s)
{
	send_free(s);
}

static void free_list(struct fp_http_send *first)
{
	struct fp_http_send *s;
	struct fp_http_send *next;

	for (s = first; s; s = next) {
		next = s->next;
		send_free(s);
	}
}

void fp_http_client_end(struct fp_http_client *c)
{
	if (!c)
		return;
	free_list(c->active);
	free_list(c->given_up);
	curl_multi_cleanup(c->multi);
	while (c->sockets)
		forget_socket(c, c->sockets->fd);
	while (c->n_free)
		curl_easy_cleanup(c->free[--c->n_free]);
	fp_timer_cancel(c->loop, &c->timer);
	free(c);
}
