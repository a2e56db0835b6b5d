/*
 * peer.c - authenticated, encrypted frames between nodes over TCP
 *
 * A frame is a length (4 bytes, big endian) and that many bytes. The first
 * frames of a link are the handshake, in the clear:
 *
 *	dialer   -> HELLO  nonce, id, listening address
 *	acceptor -> ACCEPT nonce, id, listening address, proof, stream header
 *	dialer   -> FINISH proof, stream header
 *
 * Each end proves with both nonces that it has the secret before the other end
 * processes anything else from it. The acceptor uses its first secret; the
 * dialer replies with the secret that verified. Secrets can therefore be
 * replaced without a restart in three steps: add the new one, put it first,
 * remove the old one.
 * All later frames are sealed with one secretstream per direction, which also
 * protects their order.
 *
 * One link serves both directions between two nodes: an accepted link is also
 * used to send to the address on which its dialer listens. If two nodes dial
 * each other at the same time, both links remain; one that carries no data
 * frame for IDLE_US is closed.
 *
 * A link on which nothing was received for SILENCE_US is closed even if TCP
 * considers it open, since a device on the path may have lost its state of the
 * connection. Each end sends a heartbeat when it has sent nothing else for
 * HEARTBEAT_US.
 */
#include "transport/peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "transport/peer_private.h"

#define HEARTBEAT_US	 (400 * FP_US_PER_MS)
#define SILENCE_US	 (1500 * FP_US_PER_MS)
#define HANDSHAKE_US	 (1000 * FP_US_PER_MS)
#define IDLE_US		 (60 * FP_US_PER_S)
#define TICK_US		 (100 * FP_US_PER_MS)
#define LENGTH_BYTES	 4
#define MAX_QUEUED_BYTES (8u << 20)
/* Beyond this many queued bytes, what can wait does. */
#define ROOM_BYTES    (128u << 10)
#define READ_BYTES    65536
#define MAX_LINKS     4096
#define SEAL_BYTES    crypto_secretstream_xchacha20poly1305_ABYTES
#define TAG_DATA      0
#define TAG_HEARTBEAT 1

/* --- buffers --- */

static void put_length(struct fp_buffer *b, size_t n)
{
	uint32_t be = htonl((uint32_t)n);

	fp_buffer_put(b, &be, sizeof(be));
}

static uint32_t get_length(const uint8_t *p)
{
	uint32_t be;

	memcpy(&be, p, sizeof(be));
	return ntohl(be);
}

/* --- closing --- */

static void report_down(void *ctx)
{
	struct fp_peer_link *l = ctx;
	struct fp_peer_handler *h = &l->net->handler;

	if (l->down_reported)
		return;
	fp_loop_cancel_deferred(l->net->loop, &l->down);
	l->down_reported = true;
	if (h->down)
		h->down(h->ctx, l, l->was_up);
}

static void link_close(struct fp_peer_link *l, const char *why)
{
	struct fp_peer_net *n = l->net;

	if (l->state == CLOSED)
		return;
	if (l->was_up) {
		fp_counter_add(n->links_up, -1);
		fp_log(FP_LOG_INFO, "link_down", "peer=%s why=\"%s\"",
		       l->peer.addr, why);
	}
	l->state = CLOSED;
	if (l->watch)
		fp_watch_del(l->watch);
	l->watch = NULL;
	if (l->fd >= 0)
		close(l->fd);
	l->fd = -1;
	fp_loop_defer(n->loop, &l->down, report_down, l);
}

static void link_free(struct fp_peer_link *l)
{
	fp_loop_cancel_deferred(l->net->loop, &l->down);
	fp_buffer_free(&l->in);
	fp_buffer_free(&l->out);
	fp_buffer_free(&l->queued);
	sodium_memzero(l, sizeof(*l));
	free(l);
}

void fp_peer_drop(struct fp_peer_link *l, const char *why)
{
	fp_counter_add(l->net->bad_frames, 1);
	link_close(l, why);
}

/* --- writing --- */

static void watch_for_write(struct fp_peer_link *l)
{
	uint32_t events = FP_READABLE;

	if (fp_buffer_used(&l->out) || l->state == CONNECTING)
		events |= FP_WRITABLE;
	fp_watch_set(l->watch, events);
}

static void flush(struct fp_peer_link *l)
{
	ssize_t n;

	while (fp_buffer_used(&l->out)) {
		n = send(l->fd, l->out.data + l->out.start,
			 fp_buffer_used(&l->out), MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n < 0) {
			/* fp_peer_send() must not call the handler: the loop
			 * detects the broken socket in its next iteration. */
			fp_buffer_skip(&l->out, fp_buffer_used(&l->out));
			break;
		}
		fp_counter_add(l->net->bytes_out, n);
		fp_buffer_skip(&l->out, (size_t)n);
	}
	watch_for_write(l);
}

void peer_send_plain(struct fp_peer_link *l, const void *data, size_t bytes)
{
	put_length(&l->out, bytes);
	fp_buffer_put(&l->out, data, bytes);
	flush(l);
}

static void send_sealed(struct fp_peer_link *l, const void *data, size_t bytes,
			uint8_t tag)
{
	unsigned long long sealed;
	uint8_t *to;

	put_length(&l->out, bytes + SEAL_BYTES);
	to = fp_buffer_reserve(&l->out, bytes + SEAL_BYTES);
	crypto_secretstream_xchacha20poly1305_push(&l->seal, to, &sealed, data,
						   bytes, NULL, 0, tag);
	l->out.end += (size_t)sealed;
	l->sent_us = fp_loop_now_us(l->net->loop);
	fp_counter_add(l->net->frames_out, 1);
}

size_t fp_peer_max_frame_bytes(const struct fp_peer_net *n)
{
	return n->max_frame_bytes < MAX_QUEUED_BYTES ? n->max_frame_bytes :
						       MAX_QUEUED_BYTES;
}

enum fp_status fp_peer_send(struct fp_peer_link *l, const void *data,
			    size_t bytes)
{
	if (l->state == CLOSED)
		return fp_fail(FP_UNAVAILABLE, "the link is closed");
	if (bytes > fp_peer_max_frame_bytes(l->net))
		return fp_fail(FP_INVALID, "frame of %zu bytes is too large",
			       bytes);
	if (fp_buffer_used(&l->out) + fp_buffer_used(&l->queued) + bytes >
	    MAX_QUEUED_BYTES)
		return fp_fail(FP_FULL, "the send queue of the link is full");
	l->used_us = fp_loop_now_us(l->net->loop);
	if (l->state != UP) {
		put_length(&l->queued, bytes);
		fp_buffer_put(&l->queued, data, bytes);
		return FP_OK;
	}
	send_sealed(l, data, bytes, TAG_DATA);
	flush(l);
	return FP_OK;
}

static void send_queued(struct fp_peer_link *l)
{
	size_t bytes;

	while (l->state == UP && fp_buffer_used(&l->queued)) {
		bytes = get_length(l->queued.data + l->queued.start);
		send_sealed(l, l->queued.data + l->queued.start + LENGTH_BYTES,
			    bytes, TAG_DATA);
		fp_buffer_skip(&l->queued, LENGTH_BYTES + bytes);
	}
	fp_buffer_free(&l->queued);
	if (l->state == UP)
		flush(l);
}

void peer_link_up(struct fp_peer_link *l)
{
	struct fp_peer_net *n = l->net;

	l->state = UP;
	l->was_up = true;
	fp_counter_add(n->links_up, 1);
	fp_log(FP_LOG_INFO, "link_up", "peer=%s dialed=%d", l->peer.addr,
	       l->dialed);
	if (n->handler.up)
		n->handler.up(n->handler.ctx, l);
	send_queued(l);
}

/* --- reading --- */

static bool on_sealed(struct fp_peer_link *l, const uint8_t *p, size_t bytes)
{
	struct fp_peer_net *n = l->net;
	unsigned long long opened;
	uint8_t tag;

	if (bytes < SEAL_BYTES || crypto_secretstream_xchacha20poly1305_pull(
					  &l->open, n->scratch, &opened, &tag,
					  p, bytes, NULL, 0) != 0)
		return false;
	fp_counter_add(n->frames_in, 1);
	if (tag == TAG_HEARTBEAT)
		return true;
	if (tag != TAG_DATA)
		return false;
	l->used_us = fp_loop_now_us(n->loop);
	n->handler.frame(n->handler.ctx, l, n->scratch, (size_t)opened);
	return true;
}

static bool on_frame(struct fp_peer_link *l, const uint8_t *p, size_t bytes)
{
	if (l->state == UP)
		return on_sealed(l, p, bytes);
	return l->state == CLOSED || peer_on_handshake(l, p, bytes);
}

static size_t frame_limit(const struct fp_peer_link *l)
{
	return l->state == UP ? l->net->max_frame_bytes + SEAL_BYTES :
				PEER_MAX_HANDSHAKE_BYTES;
}

static void handle_frames(struct fp_peer_link *l)
{
	uint32_t bytes;

	while (l->state != CLOSED && fp_buffer_used(&l->in) >= LENGTH_BYTES) {
		bytes = get_length(l->in.data + l->in.start);
		if (bytes > frame_limit(l)) {
			fp_peer_drop(l, "oversized frame");
			return;
		}
		if (fp_buffer_used(&l->in) < LENGTH_BYTES + bytes)
			return;
		if (!on_frame(l, l->in.data + l->in.start + LENGTH_BYTES,
			      bytes)) {
			fp_peer_drop(l, "bad frame");
			return;
		}
		fp_buffer_skip(&l->in, LENGTH_BYTES + bytes);
	}
}

static void read_available(struct fp_peer_link *l)
{
	ssize_t n = recv(l->fd, fp_buffer_reserve(&l->in, READ_BYTES),
			 READ_BYTES, 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		link_close(l, n == 0 ? "closed by peer" : strerror(errno));
		return;
	}
	l->in.end += (size_t)n;
	l->received_us = fp_loop_now_us(l->net->loop);
	fp_counter_add(l->net->bytes_in, n);
	handle_frames(l);
}

static void on_connected(struct fp_peer_link *l)
{
	socklen_t len = sizeof(int);
	int err = 0;

	getsockopt(l->fd, SOL_SOCKET, SO_ERROR, &err, &len);
	if (err) {
		link_close(l, strerror(err));
		return;
	}
	peer_send_hello(l);
}

static void handle_events(struct fp_peer_link *l, uint32_t events)
{
	if (l->state == CONNECTING) {
		if (events & (FP_WRITABLE | FP_HANGUP))
			on_connected(l);
		return;
	}
	if (events & FP_WRITABLE) {
		flush(l);
		if (l->net->handler.room && fp_peer_has_room(l))
			l->net->handler.room(l->net->handler.ctx, l);
	}
	if (l->state != CLOSED && (events & (FP_READABLE | FP_HANGUP)))
		read_available(l);
}

static void on_link_ready(void *ctx, uint32_t events)
{
	struct fp_peer_link *l = ctx;

	handle_events(l, events);
	/* The loop called this, so the end need not wait; a link that replaces
	 * this one is then reported as up after it. */
	if (l->state == CLOSED)
		report_down(l);
}

/* --- opening --- */

static struct fp_peer_link *link_new(struct fp_peer_net *n, int fd, bool dialed)
{
	struct fp_peer_link *l = calloc(1, sizeof(*l));
	int one = 1;

	if (!l)
		abort();
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	l->net = n;
	l->fd = fd;
	l->dialed = dialed;
	l->state = dialed ? CONNECTING : WAIT_HELLO;
	l->opened_us = fp_loop_now_us(n->loop);
	l->received_us = l->opened_us;
	l->used_us = l->opened_us;
	l->next = n->links;
	n->links = l;
	n->n_links++;
	fp_watch_add(n->loop, fd, FP_READABLE | (dialed ? FP_WRITABLE : 0),
		     on_link_ready, l, &l->watch);
	return l;
}

static bool parse_addr(const char *addr, struct sockaddr_in *sin)
{
	char ip[FP_PEER_ADDR_BYTES];
	const char *colon = strrchr(addr, ':');
	long port;

	if (!colon || (size_t)(colon - addr) >= sizeof(ip))
		return false;
	memcpy(ip, addr, (size_t)(colon - addr));
	ip[colon - addr] = '\0';
	port = strtol(colon + 1, NULL, 10);
	if (port <= 0 || port > UINT16_MAX)
		return false;
	memset(sin, 0, sizeof(*sin));
	sin->sin_family = AF_INET;
	sin->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &sin->sin_addr) == 1;
}

/* Binds a socket to the address on which this node listens, so that connections
 * come from it. */
static void bind_source(struct fp_peer_net *n, int fd)
{
	struct sockaddr_in self;

	if (!parse_addr(n->addr, &self))
		return;
	self.sin_port = 0;
	(void)!bind(fd, (struct sockaddr *)&self, sizeof(self));
}

static struct fp_peer_link *dial(struct fp_peer_net *n, const char *addr)
{
	struct sockaddr_in sin;
	struct fp_peer_link *l;
	int fd;

	if (!parse_addr(addr, &sin) || n->n_links >= MAX_LINKS)
		return NULL;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	bind_source(n, fd);
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	l = link_new(n, fd, true);
	snprintf(l->peer.addr, sizeof(l->peer.addr), "%s", addr);
	return l;
}

struct fp_peer_link *fp_peer_link_to(struct fp_peer_net *n, const char *addr)
{
	struct fp_peer_link *opening = NULL;
	struct fp_peer_link *l;

	for (l = n->links; l; l = l->next) {
		if (l->state == CLOSED || strcmp(l->peer.addr, addr) != 0)
			continue;
		if (l->state == UP)
			return l;
		if (l->dialed)
			opening = l;
	}
	return opening ? opening : dial(n, addr);
}

static void on_listener_ready(void *ctx, uint32_t events)
{
	struct fp_peer_net *n = ctx;
	int fd;

	(void)events;
	for (;;) {
		fd = accept4(n->listen_fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0)
			return;
		if (n->n_links >= MAX_LINKS) {
			close(fd);
			continue;
		}
		link_new(n, fd, false);
	}
}

/* --- heartbeats --- */

static void check_link(struct fp_peer_link *l, int64_t now_us)
{
	if (l->state != UP) {
		if (now_us - l->opened_us > HANDSHAKE_US)
			link_close(l, "handshake took too long");
		return;
	}
	if (now_us - l->received_us > SILENCE_US) {
		fp_counter_add(l->net->silent_links, 1);
		link_close(l, "silent");
		return;
	}
	if (now_us - l->used_us > IDLE_US && !fp_buffer_used(&l->out)) {
		link_close(l, "idle");
		return;
	}
	if (now_us - l->sent_us > HEARTBEAT_US) {
		send_sealed(l, NULL, 0, TAG_HEARTBEAT);
		flush(l);
	}
}

static void free_closed(struct fp_peer_net *n)
{
	struct fp_peer_link **at = &n->links;
	struct fp_peer_link *l;

	while ((l = *at)) {
		if (l->state != CLOSED || !l->down_reported) {
			at = &l->next;
			continue;
		}
		*at = l->next;
		n->n_links--;
		link_free(l);
	}
}

/*
 * Extends the handshake and silence timeouts of all links by the length of a
 * pause of this process: data that the other ends sent during the pause is
 * still unread in the sockets.
 */
static void extend_timeouts(struct fp_peer_net *n, int64_t late_us)
{
	struct fp_peer_link *l;

	for (l = n->links; l; l = l->next) {
		l->received_us += late_us;
		l->opened_us += late_us;
	}
}

static void on_tick(void *ctx)
{
	struct fp_peer_net *n = ctx;
	int64_t now_us = fp_loop_now_us(n->loop);
	int64_t late_us = now_us - n->tick.due_us;
	struct fp_peer_link *l;

	if (late_us > HEARTBEAT_US)
		extend_timeouts(n, late_us);
	for (l = n->links; l; l = l->next)
		if (l->state != CLOSED)
			check_link(l, now_us);
	free_closed(n);
	fp_timer_set(n->loop, &n->tick, now_us + TICK_US, on_tick, n);
}

/* --- life cycle --- */

static enum fp_status open_listener(struct fp_peer_net *n,
				    const struct fp_peer_config *cfg)
{
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);
	int one = 1;

	snprintf(n->addr, sizeof(n->addr), "%s:%u", cfg->address,
		 (unsigned int)(cfg->port ? cfg->port : 1));
	if (!parse_addr(n->addr, &sin))
		return fp_fail(FP_INVALID, "%s is not a valid address",
			       n->addr);
	sin.sin_port = htons(cfg->port);
	n->listen_fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (n->listen_fd < 0)
		return fp_fail(FP_IO, "socket: %s", strerror(errno));
	setsockopt(n->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(n->listen_fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    listen(n->listen_fd, SOMAXCONN) != 0 ||
	    getsockname(n->listen_fd, (struct sockaddr *)&sin, &len) != 0)
		return fp_fail(FP_IO, "cannot listen on %s: %s", n->addr,
			       strerror(errno));
	memset(n->addr, 0, sizeof(n->addr));
	snprintf(n->addr, sizeof(n->addr), "%s:%u", cfg->address,
		 ntohs(sin.sin_port));
	return fp_watch_add(n->loop, n->listen_fd, FP_READABLE,
			    on_listener_ready, n, &n->listen_watch);
}

static struct fp_counter *counter(const struct fp_peer_config *cfg,
				  const char *name)
{
	return fp_counter_get(cfg->counters, name, cfg->counter_label);
}

static void get_counters(struct fp_peer_net *n,
			 const struct fp_peer_config *cfg)
{
	n->frames_in = counter(cfg, "fulmar_peer_frames_in_total");
	n->frames_out = counter(cfg, "fulmar_peer_frames_out_total");
	n->bytes_in = counter(cfg, "fulmar_peer_bytes_in_total");
	n->bytes_out = counter(cfg, "fulmar_peer_bytes_out_total");
	n->links_up = counter(cfg, "fulmar_peer_links");
	n->bad_frames = counter(cfg, "fulmar_peer_bad_frames_total");
	n->bad_proofs = counter(cfg, "fulmar_peer_bad_proofs_total");
	n->silent_links = counter(cfg, "fulmar_peer_silent_links_total");
}

void fp_peer_set_secrets(struct fp_peer_net *n,
			 const uint8_t (*secrets)[FP_PEER_SECRET_BYTES],
			 uint32_t n_secrets)
{
	n->n_secrets = n_secrets < FP_PEER_MAX_SECRETS ? n_secrets :
							 FP_PEER_MAX_SECRETS;
	memcpy(n->secrets, secrets,
	       (size_t)n->n_secrets * FP_PEER_SECRET_BYTES);
}

enum fp_status fp_peer_init(struct fp_loop *l, const struct fp_peer_config *cfg,
			    const struct fp_peer_handler *h,
			    struct fp_peer_net **out)
{
	struct fp_peer_net *n;
	enum fp_status st;

	n = calloc(1, sizeof(*n));
	if (!n)
		return fp_fail(FP_NOMEM, "out of memory");
	n->scratch = malloc(cfg->max_frame_bytes + SEAL_BYTES);
	if (!n->scratch) {
		free(n);
		return fp_fail(FP_NOMEM, "out of memory");
	}
	n->loop = l;
	n->handler = *h;
	n->id = cfg->id;
	n->max_frame_bytes = cfg->max_frame_bytes;
	n->listen_fd = -1;
	fp_peer_set_secrets(n, cfg->secrets, cfg->n_secrets);
	get_counters(n, cfg);
	st = open_listener(n, cfg);
	if (st != FP_OK) {
		fp_peer_end(n);
		return st;
	}
	fp_timer_set(l, &n->tick, fp_loop_now_us(l) + TICK_US, on_tick, n);
	*out = n;
	return FP_OK;
}

const struct fp_peer_identity *fp_peer_identity(const struct fp_peer_link *l)
{
	return &l->peer;
}

bool fp_peer_has_room(const struct fp_peer_link *l)
{
	return l->state == UP && fp_buffer_used(&l->out) < ROOM_BYTES;
}

bool fp_peer_is_up(const struct fp_peer_link *l)
{
	return l->state == UP;
}

bool fp_peer_has_unsent(const struct fp_peer_net *n)
{
	const struct fp_peer_link *l;

	for (l = n->links; l; l = l->next)
		if (l->state == UP && fp_buffer_used(&l->out))
			return true;
	return false;
}

void fp_peer_quiesce(struct fp_peer_net *n)
{
	if (n->listen_watch)
		fp_watch_del(n->listen_watch);
	n->listen_watch = NULL;
	if (n->listen_fd >= 0)
		close(n->listen_fd);
	n->listen_fd = -1;
}

void fp_peer_end(struct fp_peer_net *n)
{
	struct fp_peer_link *l;

	if (!n)
		return;
	n->handler.down = NULL;
	fp_timer_cancel(n->loop, &n->tick);
	for (l = n->links; l; l = l->next) {
		link_close(l, "this node stops");
		report_down(l);
	}
	free_closed(n);
	fp_peer_quiesce(n);
	sodium_memzero(n->secrets, sizeof(n->secrets));
	free(n->scratch);
	free(n);
}
