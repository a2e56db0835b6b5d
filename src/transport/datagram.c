/* datagram.c - encrypted, authenticated datagrams between nodes over UDP */
#include "transport/datagram.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define NONCE_BYTES   crypto_secretbox_NONCEBYTES
#define TAG_BYTES     crypto_secretbox_MACBYTES
#define WIRE_BYTES    (NONCE_BYTES + TAG_BYTES + FP_DATAGRAM_BYTES)
#define MAX_PER_EVENT 64 /* datagrams read per readiness event */
/* Context of the key derived from the fleet secret; exactly eight bytes. */
#define KEY_CONTEXT "fpdgram1"

struct fp_datagram {
	struct fp_loop *loop;
	int fd;
	struct fp_watch *watch;
	uint8_t keys[FP_PEER_MAX_SECRETS][crypto_secretbox_KEYBYTES];
	uint32_t n_keys;
	fp_datagram_fn fn;
	void *ctx;
	struct fp_counter *bytes_in;
	struct fp_counter *bytes_out;
	struct fp_counter *refused;
};

void fp_datagram_set_secrets(struct fp_datagram *d,
			     const uint8_t (*secrets)[FP_PEER_SECRET_BYTES],
			     uint32_t n_secrets)
{
	uint32_t i;

	d->n_keys = n_secrets < FP_PEER_MAX_SECRETS ? n_secrets :
						      FP_PEER_MAX_SECRETS;
	for (i = 0; i < d->n_keys; i++)
		crypto_kdf_derive_from_key(d->keys[i], sizeof(d->keys[i]), 1,
					   KEY_CONTEXT, secrets[i]);
}

void fp_datagram_send(struct fp_datagram *d, const char *address, uint16_t port,
		      const uint8_t *data, size_t bytes)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons(port) };
	uint8_t wire[WIRE_BYTES];
	size_t n = NONCE_BYTES + TAG_BYTES + bytes;

	if (bytes > FP_DATAGRAM_BYTES || !d->n_keys ||
	    inet_pton(AF_INET, address, &to.sin_addr) != 1)
		return;
	randombytes_buf(wire, NONCE_BYTES);
	crypto_secretbox_easy(wire + NONCE_BYTES, data, bytes, wire,
			      d->keys[0]);
	if (sendto(d->fd, wire, n, MSG_DONTWAIT, (struct sockaddr *)&to,
		   sizeof(to)) == (ssize_t)n)
		fp_counter_add(d->bytes_out, (int64_t)n);
}

static void receive_datagram(struct fp_datagram *d,
			     const struct sockaddr_in *from,
			     const uint8_t *wire, size_t n)
{
	uint8_t data[WIRE_BYTES];
	char address[INET_ADDRSTRLEN];
	uint32_t i;

	if (n < NONCE_BYTES + TAG_BYTES) {
		fp_counter_add(d->refused, 1);
		return;
	}
	for (i = 0; i < d->n_keys; i++)
		if (crypto_secretbox_open_easy(data, wire + NONCE_BYTES,
					       n - NONCE_BYTES, wire,
					       d->keys[i]) == 0)
			break;
	if (i == d->n_keys) {
		fp_counter_add(d->refused, 1);
		return;
	}
	inet_ntop(AF_INET, &from->sin_addr, address, sizeof(address));
	d->fn(d->ctx, address, ntohs(from->sin_port), data,
	      n - NONCE_BYTES - TAG_BYTES);
}

static void on_ready(void *ctx, uint32_t events)
{
	struct fp_datagram *d = ctx;
	struct sockaddr_in from = { 0 };
	socklen_t len;
	uint8_t wire[WIRE_BYTES];
	ssize_t n;
	int i;

	(void)events;
	for (i = 0; i < MAX_PER_EVENT; i++) {
		len = sizeof(from);
		n = recvfrom(d->fd, wire, sizeof(wire),
			     MSG_DONTWAIT | MSG_TRUNC, (struct sockaddr *)&from,
			     &len);
		if (n < 0)
			return;
		fp_counter_add(d->bytes_in, n);
		if ((size_t)n > sizeof(wire))
			fp_counter_add(d->refused, 1);
		else
			receive_datagram(d, &from, wire, (size_t)n);
	}
}

enum fp_status fp_datagram_init(struct fp_loop *l, const char *address,
				uint16_t port, struct fp_counters *cs,
				fp_datagram_fn fn, void *ctx,
				struct fp_datagram **out)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
				   .sin_port = htons(port) };
	struct fp_datagram *d = calloc(1, sizeof(*d));

	if (!d)
		return fp_fail(FP_NOMEM, "out of memory");
	d->loop = l;
	d->fn = fn;
	d->ctx = ctx;
	d->bytes_in = fp_counter_get(cs, "fulmar_datagram_bytes_in_total", "");
	d->bytes_out =
		fp_counter_get(cs, "fulmar_datagram_bytes_out_total", "");
	d->refused = fp_counter_get(cs, "fulmar_datagrams_refused_total", "");
	d->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (d->fd < 0 || inet_pton(AF_INET, address, &sin.sin_addr) != 1 ||
	    bind(d->fd, (struct sockaddr *)&sin, sizeof(sin)) != 0) {
		fp_fail(FP_IO, "cannot open UDP %s:%u: %s", address, port,
			strerror(errno));
		fp_datagram_end(d);
		return FP_IO;
	}
	*out = d;
	return fp_watch_add(l, d->fd, FP_READABLE, on_ready, d, &d->watch);
}

void fp_datagram_end(struct fp_datagram *d)
{
	if (!d)
		return;
	if (d->watch)
		fp_watch_del(d->watch);
	if (d->fd >= 0)
		close(d->fd);
	sodium_memzero(d->keys, sizeof(d->keys));
	free(d);
}
