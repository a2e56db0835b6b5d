/* datagram.h - encrypted, authenticated datagrams between nodes over UDP */
#ifndef FP_TRANSPORT_DATAGRAM_H
#define FP_TRANSPORT_DATAGRAM_H

#include <stddef.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/status.h"
#include "transport/loop.h"
#include "transport/peer.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Maximum payload of a datagram, bytes. */
#define FP_DATAGRAM_BYTES 1200

struct fp_datagram;

/** Called for each datagram that was sealed with one of the secrets. */
typedef void (*fp_datagram_fn)(void *ctx, const char *address, uint16_t port,
			       const uint8_t *data, size_t bytes);

/**
 * Opens a socket and calls fn on the loop's thread for each datagram.
 *
 * Without the secret, a datagram cannot be read, modified or forged, but it can
 * be recorded and replayed; the receiver must tolerate that.
 *
 * @return FP_OK; FP_NOMEM; FP_IO with a last message if the socket cannot be
 *         opened
 */
enum fp_status fp_datagram_init(struct fp_loop *l, const char *address,
				uint16_t port, struct fp_counters *cs,
				fp_datagram_fn fn, void *ctx,
				struct fp_datagram **out);

/** Sets the secrets. The first one seals datagrams, all of them can open
 *  received ones. Nothing is sent before this call. */
void fp_datagram_set_secrets(struct fp_datagram *d,
			     const uint8_t (*secrets)[FP_PEER_SECRET_BYTES],
			     uint32_t n_secrets);

/** Sends a datagram of at most FP_DATAGRAM_BYTES; loss is not reported. */
void fp_datagram_send(struct fp_datagram *d, const char *address, uint16_t port,
		      const uint8_t *data, size_t bytes);

/** Closes the socket; accepts NULL. */
void fp_datagram_end(struct fp_datagram *d);

#ifdef __cplusplus
}
#endif
#endif
