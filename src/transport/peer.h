/* peer.h - authenticated, encrypted frames between nodes over TCP */
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

/** "255.255.255.255:65535" and its end. */
#define FP_PEER_ADDR_BYTES   24
#define FP_PEER_SECRET_BYTES 32
#define FP_PEER_MAX_SECRETS  4

struct fp_peer_net;
struct fp_peer_link;

/** Who is at the other end, as it proved by the fleet's secret. */
struct fp_peer_identity {
	uint64_t id; /**< random, one a process */
	char addr[FP_PEER_ADDR_BYTES]; /**< where it listens */
};

/** What the owner of a net is told. */
struct fp_peer_handler {
	/** One whole frame arrived. */
	void (*frame)(void *ctx, struct fp_peer_link *link, const uint8_t *data,
		      size_t bytes);
	/** A link is up: both ends have proved that they know the secret. */
	void (*up)(void *ctx, struct fp_peer_link *link);
	/**
	 * A link is gone. Frames that were sent on it may have arrived if it
	 * was ever up, and surely did not if it was not.
	 */
	void (*down)(void *ctx, struct fp_peer_link *link, bool was_up);
	void *ctx;
};

/** Where and as whom a net works. */
struct fp_peer_config {
	const char *address; /**< IP number */
	uint16_t port; /**< listened on */
	uint64_t id; /**< of this process */
	const uint8_t (*secrets)[FP_PEER_SECRET_BYTES]; /**< copied */
	uint32_t n_secrets; /**< the first proves, all are accepted; with
			     *   none no link comes up before they are set */
	uint32_t max_frame_bytes;
	struct fp_counters *counters;
	const char *counter_label; /**< text between braces, e.g. net="call" */
};

enum fp_status fp_peer_init(struct fp_loop *l, const struct fp_peer_config *cfg,
			    const struct fp_peer_handler *h,
			    struct fp_peer_net **out);

/** Replaces the secrets; links that are up stay. */
void fp_peer_set_secrets(struct fp_peer_net *n,
			 const uint8_t (*secrets)[FP_PEER_SECRET_BYTES],
			 uint32_t n_secrets);

/** Returns the link to an address, opening one if there is none; NULL when
 *  the address is malformed or out of memory. */
struct fp_peer_link *fp_peer_link_to(struct fp_peer_net *n, const char *addr);

/**
 * Sends one frame; frames of one link arrive in order, or not at all.
 *
 * Never calls the handler: a link that turns out broken is reported as down in
 * a later round of the loop.
 *
 * @return FP_OK, FP_FULL when too much waits already (not sent), FP_INVALID
 *         when the frame is too large, FP_UNAVAILABLE when the link is gone
 */
enum fp_status fp_peer_send(struct fp_peer_link *link, const void *data,
			    size_t bytes);

/** The identity of the other end; its id is 0 until the link is up. */
const struct fp_peer_identity *fp_peer_identity(const struct fp_peer_link *l);
bool fp_peer_is_up(const struct fp_peer_link *l);

/** Ends a link whose other end broke the protocol. */
void fp_peer_drop(struct fp_peer_link *l, const char *why);

/** Stops listening; open links go on. */
void fp_peer_quiesce(struct fp_peer_net *n);
void fp_peer_end(struct fp_peer_net *n);

#ifdef __cplusplus
}
#endif
#endif
