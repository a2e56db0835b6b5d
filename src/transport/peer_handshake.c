/*
 * peer_handshake.c - the first frames of a link, by which both ends prove that
 * they have the secret; peer.c describes them
 */
#include <string.h>

#include "transport/peer_private.h"

#define HELLO_BYTES  (1 + FP_NONCE_BYTES + 8 + FP_PEER_ADDR_BYTES)
#define HEADER_BYTES crypto_secretstream_xchacha20poly1305_HEADERBYTES
#define ACCEPT_BYTES (HELLO_BYTES + FP_PROOF_BYTES + HEADER_BYTES)
#define FINISH_BYTES (1 + FP_PROOF_BYTES + HEADER_BYTES)

_Static_assert(ACCEPT_BYTES == PEER_MAX_HANDSHAKE_BYTES,
	       "the longest frame of the handshake is ACCEPT");

enum handshake_type { HELLO = 1, ACCEPT = 2, FINISH = 3 };

static void write_hello(struct fp_peer_link *l, uint8_t type,
			const uint8_t *nonce, uint8_t out[HELLO_BYTES])
{
	uint8_t *p = out;

	*p++ = type;
	memcpy(p, nonce, FP_NONCE_BYTES);
	p += FP_NONCE_BYTES;
	memcpy(p, &l->net->id, 8);
	p += 8;
	memcpy(p, l->net->addr, FP_PEER_ADDR_BYTES);
}

static bool read_hello(const uint8_t *p, uint8_t type, uint8_t *nonce,
		       uint64_t *id, char addr[FP_PEER_ADDR_BYTES])
{
	if (p[0] != type)
		return false;
	memcpy(nonce, p + 1, FP_NONCE_BYTES);
	memcpy(id, p + 1 + FP_NONCE_BYTES, 8);
	memcpy(addr, p + 1 + FP_NONCE_BYTES + 8, FP_PEER_ADDR_BYTES);
	return memchr(addr, '\0', FP_PEER_ADDR_BYTES) != NULL && *id != 0;
}

static void init_sealing(struct fp_peer_link *l, uint8_t header[HEADER_BYTES])
{
	uint8_t key[32];

	fp_frame_key(l->secret, &l->transcript,
		     l->dialed ? FP_DIALER : FP_ACCEPTOR, key);
	crypto_secretstream_xchacha20poly1305_init_push(&l->seal, header, key);
	sodium_memzero(key, sizeof(key));
}

static bool init_opening(struct fp_peer_link *l, const uint8_t *header)
{
	uint8_t key[32];
	int rc;

	fp_frame_key(l->secret, &l->transcript,
		     l->dialed ? FP_ACCEPTOR : FP_DIALER, key);
	rc = crypto_secretstream_xchacha20poly1305_init_pull(&l->open, header,
							     key);
	sodium_memzero(key, sizeof(key));
	return rc == 0;
}

static bool find_secret(struct fp_peer_link *l, enum fp_peer_role role,
			const uint8_t *proof)
{
	struct fp_peer_net *n = l->net;
	uint32_t i;

	for (i = 0; i < n->n_secrets; i++) {
		if (fp_proof_check(n->secrets[i], &l->transcript, role,
				   proof) != FP_OK)
			continue;
		memcpy(l->secret, n->secrets[i], FP_PEER_SECRET_BYTES);
		return true;
	}
	fp_counter_add(n->bad_proofs, 1);
	return false;
}

void peer_send_hello(struct fp_peer_link *l)
{
	struct fp_transcript *t = &l->transcript;
	uint8_t hello[HELLO_BYTES];

	randombytes_buf(t->dial_nonce, FP_NONCE_BYTES);
	t->dial_id = l->net->id;
	memcpy(t->dial_addr, l->net->addr, FP_PEER_ADDR_BYTES);
	write_hello(l, HELLO, t->dial_nonce, hello);
	l->state = WAIT_ACCEPT;
	peer_send_plain(l, hello, sizeof(hello));
}

static bool on_hello(struct fp_peer_link *l, const uint8_t *p, size_t bytes)
{
	struct fp_peer_net *n = l->net;
	struct fp_transcript *t = &l->transcript;
	uint8_t out[ACCEPT_BYTES];

	if (!n->n_secrets || bytes != HELLO_BYTES ||
	    !read_hello(p, HELLO, t->dial_nonce, &t->dial_id, t->dial_addr))
		return false;
	randombytes_buf(t->accept_nonce, FP_NONCE_BYTES);
	t->accept_id = n->id;
	memcpy(t->accept_addr, n->addr, FP_PEER_ADDR_BYTES);
	memcpy(l->secret, n->secrets[0], FP_PEER_SECRET_BYTES);
	write_hello(l, ACCEPT, t->accept_nonce, out);
	fp_proof_make(l->secret, t, FP_ACCEPTOR, out + HELLO_BYTES);
	init_sealing(l, out + HELLO_BYTES + FP_PROOF_BYTES);
	l->state = WAIT_FINISH;
	peer_send_plain(l, out, sizeof(out));
	return true;
}

static bool on_accept(struct fp_peer_link *l, const uint8_t *p, size_t bytes)
{
	struct fp_transcript *t = &l->transcript;
	uint8_t out[FINISH_BYTES];

	if (bytes != ACCEPT_BYTES || !read_hello(p, ACCEPT, t->accept_nonce,
						 &t->accept_id, t->accept_addr))
		return false;
	if (!find_secret(l, FP_ACCEPTOR, p + HELLO_BYTES) ||
	    !init_opening(l, p + HELLO_BYTES + FP_PROOF_BYTES))
		return false;
	out[0] = FINISH;
	fp_proof_make(l->secret, t, FP_DIALER, out + 1);
	init_sealing(l, out + 1 + FP_PROOF_BYTES);
	peer_send_plain(l, out, sizeof(out));
	if (l->state == CLOSED)
		return true;
	l->peer.id = t->accept_id;
	peer_link_up(l);
	return true;
}

static bool on_finish(struct fp_peer_link *l, const uint8_t *p, size_t bytes)
{
	struct fp_transcript *t = &l->transcript;

	if (bytes != FINISH_BYTES || p[0] != FINISH)
		return false;
	if (fp_proof_check(l->secret, t, FP_DIALER, p + 1) != FP_OK) {
		fp_counter_add(l->net->bad_proofs, 1);
		return false;
	}
	if (!init_opening(l, p + 1 + FP_PROOF_BYTES))
		return false;
	l->peer.id = t->dial_id;
	memcpy(l->peer.addr, t->dial_addr, FP_PEER_ADDR_BYTES);
	peer_link_up(l);
	return true;
}

bool peer_on_handshake(struct fp_peer_link *l, const uint8_t *p, size_t bytes)
{
	switch (l->state) {
	case WAIT_HELLO:
		return on_hello(l, p, bytes);
	case WAIT_ACCEPT:
		return on_accept(l, p, bytes);
	case WAIT_FINISH:
		return on_finish(l, p, bytes);
	default:
		return true;
	}
}
