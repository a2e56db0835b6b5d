/* lib_serve.c - HTTP server shared by the stand-ins */
#include "standin/lib_serve.h"

#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define MAX_CONNECTIONS 4000
#define MAX_BODY_BYTES	(16u << 20)
#define LISTEN_BACKLOG	1024

struct server {
	struct MHD_Daemon *daemon;
	serve_handler handler;
	void *arg;
};

bool serve_parse_address(const char *text, char *ip, size_t ip_bytes,
			 uint16_t *port)
{
	const char *colon = strrchr(text, ':');
	struct in_addr ignored;
	char *end;
	unsigned long n;

	if (!colon || (size_t)(colon - text) >= ip_bytes)
		return false;
	memcpy(ip, text, colon - text);
	ip[colon - text] = '\0';
	n = strtoul(colon + 1, &end, 10);
	if (*end || end == colon + 1 || n == 0 || n > UINT16_MAX)
		return false;
	*port = (uint16_t)n;
	return inet_pton(AF_INET, ip, &ignored) == 1;
}

static bool append_body(struct serve_request *r, const char *data, size_t n)
{
	char *grown;

	if (r->body_bytes + n > MAX_BODY_BYTES)
		return false;
	grown = realloc(r->body, r->body_bytes + n + 1);
	if (!grown)
		return false;
	memcpy(grown + r->body_bytes, data, n);
	r->body = grown;
	r->body_bytes += n;
	r->body[r->body_bytes] = '\0';
	return true;
}

static enum MHD_Result on_request(void *arg, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *upload,
				  size_t *upload_bytes, void **state)
{
	struct server *s = arg;
	struct serve_request *r = *state;

	(void)version;
	if (!r) {
		r = calloc(1, sizeof(*r));
		*state = r;
		return r && append_body(r, "", 0) ? MHD_YES : MHD_NO;
	}
	if (*upload_bytes) {
		if (!append_body(r, upload, *upload_bytes))
			return MHD_NO;
		*upload_bytes = 0;
		return MHD_YES;
	}
	r->conn = conn;
	r->method = method;
	r->path = url;
	return s->handler(r, s->arg);
}

static void on_completed(void *arg, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode why)
{
	struct serve_request *r = *state;

	(void)arg;
	(void)conn;
	(void)why;
	if (!r)
		return;
	free(r->body);
	free(r);
	*state = NULL;
}

struct server *serve_init(const char *listen, serve_handler handler, void *arg)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	struct server *s;
	char ip[INET_ADDRSTRLEN];
	uint16_t port;

	if (!serve_parse_address(listen, ip, sizeof(ip), &port))
		return NULL;
	s = calloc(1, sizeof(*s));
	if (!s)
		return NULL;
	s->handler = handler;
	s->arg = arg;
	addr.sin_port = htons(port);
	inet_pton(AF_INET, ip, &addr.sin_addr);
	s->daemon = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION |
			MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
		port, NULL, NULL, on_request, s, MHD_OPTION_SOCK_ADDR, &addr,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned int)MAX_CONNECTIONS,
		MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned int)LISTEN_BACKLOG,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
		MHD_OPTION_THREAD_STACK_SIZE, (size_t)256 << 10,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		MHD_OPTION_END);
	if (!s->daemon) {
		free(s);
		return NULL;
	}
	return s;
}

void serve_end(struct server *s)
{
	if (!s)
		return;
	MHD_stop_daemon(s->daemon);
	free(s);
}

const char *serve_query(const struct serve_request *r, const char *name)
{
	const char *v = MHD_lookup_connection_value(
		r->conn, MHD_GET_ARGUMENT_KIND, name);

	return v ? v : "";
}

double serve_query_number(const struct serve_request *r, const char *name,
			  double fallback)
{
	const char *v = serve_query(r, name);

	return *v ? strtod(v, NULL) : fallback;
}

const char *serve_header(const struct serve_request *r, const char *name)
{
	const char *v =
		MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND, name);

	return v ? v : "";
}

static enum MHD_Result send_response(struct serve_request *r,
				     unsigned int status,
				     struct MHD_Response *resp)
{
	enum MHD_Result rc;

	if (!resp)
		return MHD_NO;
	rc = MHD_queue_response(r->conn, status, resp);
	MHD_destroy_response(resp);
	return rc;
}

enum MHD_Result serve_json(struct serve_request *r, unsigned int status,
			   json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);
	struct MHD_Response *resp;

	json_decref(body);
	if (!text)
		return MHD_NO;
	resp = MHD_create_response_from_buffer(strlen(text), text,
					       MHD_RESPMEM_MUST_FREE);
	if (resp)
		MHD_add_response_header(resp, "Content-Type",
					"application/json");
	return send_response(r, status, resp);
}

enum MHD_Result serve_bytes(struct serve_request *r, unsigned int status,
			    const void *body, size_t bytes, const char *header,
			    const char *value)
{
	struct MHD_Response *resp = MHD_create_response_from_buffer(
		bytes, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);

	if (resp && header)
		MHD_add_response_header(resp, header, value);
	return send_response(r, status, resp);
}

/** Body of an answer that is truncated. */
struct truncated_body {
	size_t bytes;
	char data[];
};

static ssize_t read_half(void *arg, uint64_t pos, char *buf, size_t max)
{
	struct truncated_body *c = arg;
	size_t left = c->bytes / 2 - pos;

	if (!left)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (left > max)
		left = max;
	memcpy(buf, c->data + pos, left);
	return (ssize_t)left;
}

enum MHD_Result serve_truncated(struct serve_request *r, const void *body,
				size_t bytes)
{
	struct truncated_body *c = malloc(sizeof(*c) + bytes);

	if (!c)
		return MHD_NO;
	c->bytes = bytes;
	memcpy(c->data, body, bytes);
	return send_response(r, MHD_HTTP_OK,
			     MHD_create_response_from_callback(
				     bytes, 4096, read_half, c, free));
}

bool serve_client_closed(const struct serve_request *r)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		r->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct pollfd p = { .events = POLLRDHUP };

	if (!info)
		return true;
	p.fd = info->connect_fd;
	return poll(&p, 1, 0) > 0 &&
	       (p.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

static void init_stop_set(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
}

void serve_block_stop(void)
{
	sigset_t set;

	init_stop_set(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

void serve_wait_for_stop(void)
{
	sigset_t set;
	int got;

	init_stop_set(&set);
	sigwait(&set, &got);
}
