/* peer_private.h - shared by peer.c and peer_handshake.c */
#ifndef FP_TRANSPORT_PEER_PRIVATE_H
#define FP_TRANSPORT_PEER_PRIVATE_H

#include "transport/buffer.h"
#include "transport/peer.h"
#include "transport/peer_crypto.h"

/** Size of the longest frame of the handshake: type, nonce, id, address, proof and
 *  header of the stream. */
#define PEER_MAX_HANDSHAKE_BYTES                                        \
	(1 + FP_NONCE_BYTES + 8 + FP_PEER_ADDR_BYTES + FP_PROOF_BYTES + \
	 crypto_secretstream_xchacha20poly1305_HEADERBYTES)

enum link_state {
	CONNECTING, /* TCP connection not established yet */
	WAIT_HELLO, /* accepted */
	WAIT_ACCEPT, /* dialed, HELLO sent */
	WAIT_FINISH, /* ACCEPT sent */
	UP,
	CLOSED, /* freed at the next tick after it was reported as down */
};

struct fp_peer_link {
	struct fp_peer_net *net;
	enum link_state state;
	bool dialed;
	bool was_up;
	int fd;
	struct fp_watch *watch;
	struct fp_deferred down; /* report that it is CLOSED */
	bool down_reported;
	struct fp_peer_identity peer; /* if dialed, addr is set at once */
	struct fp_transcript transcript;
	uint8_t secret[FP_PEER_SECRET_BYTES]; /* the one that verified */
	crypto_secretstream_xchacha20poly1305_state seal; /* sent frames */
	crypto_secretstream_xchacha20poly1305_state open; /* received frames */
	struct fp_buffer in;
	struct fp_buffer out; /* sealed frames, or handshake */
	struct fp_buffer queued; /* plain frames with lengths, until UP */
	int64_t opened_us; /* time of creation */
	int64_t received_us; /* time of the last received bytes */
	int64_t sent_us; /* time of the last sent frame */
	int64_t used_us; /* time of the last data frame in either direction */
	struct fp_peer_link *next;
};

struct fp_peer_net {
	struct fp_loop *loop;
	struct fp_peer_handler handler;
	uint64_t id;
	char addr[FP_PEER_ADDR_BYTES];
	uint8_t secrets[FP_PEER_MAX_SECRETS][FP_PEER_SECRET_BYTES];
	uint32_t n_secrets;
	uint32_t max_frame_bytes;
	int listen_fd;
	struct fp_watch *listen_watch;
	struct fp_timer tick;
	struct fp_peer_link *links;
	uint32_t n_links;
	uint8_t *scratch; /* buffer for one decrypted frame */
	struct fp_counter *frames_in;
	struct fp_counter *frames_out;
	struct fp_counter *bytes_in;
	struct fp_counter *bytes_out;
	struct fp_counter *links_up;
	struct fp_counter *bad_frames;
	struct fp_counter *bad_proofs;
	struct fp_counter *silent_links;
};

/* --- peer.c --- */

/** Sends a frame in the clear. */
void peer_send_plain(struct fp_peer_link *l, const void *data, size_t bytes);
/** Both ends have proved that they have the secret: reports the link, and sends
 *  what waited for it. */
void peer_link_up(struct fp_peer_link *l);

/* --- peer_handshake.c --- */

/** Starts the handshake of a link that was dialed. */
void peer_send_hello(struct fp_peer_link *l);
/** Handles a frame of a link that is not up yet; false: it is not valid, and the
 *  link must be closed. */
bool peer_on_handshake(struct fp_peer_link *l, const uint8_t *p, size_t bytes);

#endif
