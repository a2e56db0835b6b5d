/* peer.h - authenticated, encrypted frames between nodes over TCP
 *
 * All functions and callbacks run on the thread of the loop.
 */
#ifndef FP_TRANSPORT_PEER_H
#define FP_TRANSPORT_PEER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/status.h"
#include "transport/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Size of an address on the wire; "255.255.255.255:65535" needs 22 bytes with
 *  NUL, the rest is zero. */
#define FP_PEER_ADDR_BYTES   24
#define FP_PEER_SECRET_BYTES 32
#define FP_PEER_MAX_SECRETS  4

/** A listening port and all links of this node that use it. A node has two: the
 *  call net and the control net. */
struct fp_peer_net;
/** A connection to one other node. */
struct fp_peer_link;

/** The other end of a link, authenticated by the fleet secret. */
struct fp_peer_identity {
	uint64_t id; /**< random, one per process */
	char addr[FP_PEER_ADDR_BYTES]; /**< address on which it listens */
};

/** Callbacks to the owner of a net, from the loop only (loop.h). */
struct fp_peer_handler {
	/** A complete frame arrived; data is valid until the return. */
	void (*frame)(void *ctx, struct fp_peer_link *link, const uint8_t *data,
		      size_t bytes);
	/** A link is established: both ends have proved that they have the
	 *  secret. */
	void (*up)(void *ctx, struct fp_peer_link *link);
	/**
	 * A link was closed. Frames sent on it may have arrived if was_up, and
	 * have not arrived otherwise. It is freed some time after the return.
	 */
	void (*down)(void *ctx, struct fp_peer_link *link, bool was_up);
	/** A link on which frames waited has room again; NULL: not needed. */
	void (*room)(void *ctx, struct fp_peer_link *link);
	void *ctx;
};

/** Address, identity and limits of a net. */
struct fp_peer_config {
	const char *address; /**< IPv4 address */
	uint16_t port; /**< port to listen on */
	uint64_t id; /**< of this process */
	const uint8_t (*secrets)[FP_PEER_SECRET_BYTES]; /**< copied */
	uint32_t n_secrets; /**< the first is used to authenticate, all are
			     *   accepted; with 0 no link comes up before
			     *   fp_peer_set_secrets() */
	uint32_t max_frame_bytes;
	struct fp_counters *counters;
	const char *counter_label; /**< metric labels, e.g. net="call" */
};

/** Starts to listen; FP_OK, FP_NOMEM, or FP_INVALID or FP_IO with a last
 *  message if the address cannot be used. */
enum fp_status fp_peer_init(struct fp_loop *l, const struct fp_peer_config *cfg,
			    const struct fp_peer_handler *h,
			    struct fp_peer_net **out);

/** Replaces the secrets; established links remain. */
void fp_peer_set_secrets(struct fp_peer_net *n,
			 const uint8_t (*secrets)[FP_PEER_SECRET_BYTES],
			 uint32_t n_secrets);

/** Returns the link to an address and opens one if there is none. NULL if the
 *  address is malformed, the connection fails at once or there are too many
 *  links. */
struct fp_peer_link *fp_peer_link_to(struct fp_peer_net *n, const char *addr);

/**
 * Sends one frame; frames of one link arrive in order, or not at all.
 *
 * Before the link is established, frames are queued. Never calls the handler: a
 * link found to be broken is reported as down in a later iteration of the loop.
 *
 * @return FP_OK; FP_FULL if too many bytes are queued already (not sent);
 *         FP_INVALID if the frame is too large; FP_UNAVAILABLE if the link is
 *         closed
 */
enum fp_status fp_peer_send(struct fp_peer_link *link, const void *data,
			    size_t bytes);

/** Returns the largest frame that fp_peer_send() accepts. */
size_t fp_peer_max_frame_bytes(const struct fp_peer_net *n);

/** Returns whether few bytes wait on a link: a frame sent now does not hold up
 *  later ones for long. If not, the handler's room() is called when there are. */
bool fp_peer_has_room(const struct fp_peer_link *l);

/** Returns the identity of the other end; its id is 0 until the link is up. */
const struct fp_peer_identity *fp_peer_identity(const struct fp_peer_link *l);
/** Returns whether the link is established. */
bool fp_peer_is_up(const struct fp_peer_link *l);

/** Returns whether frames for established links are not written yet. */
bool fp_peer_has_unsent(const struct fp_peer_net *n);

/** Closes a link whose other end violated the protocol, and counts that. It is
 *  reported as down when the functions on the stack have returned. */
void fp_peer_drop(struct fp_peer_link *l, const char *why);

/** Stops listening; open links remain. */
void fp_peer_quiesce(struct fp_peer_net *n);
/** Closes all links without calling the handler and frees the net; accepts
 *  NULL. */
void fp_peer_end(struct fp_peer_net *n);

#ifdef __cplusplus
}
#endif
#endif
