/* peer_crypto.h - proof of the fleet secret, and keys that seal frames */
#ifndef FP_TRANSPORT_PEER_CRYPTO_H
#define FP_TRANSPORT_PEER_CRYPTO_H

#include <sodium.h>
#include <stdint.h>

#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FP_NONCE_BYTES 32
#define FP_PROOF_BYTES 32

/** Data covered by the proofs of both ends; nothing else about the other end is
 *  authenticated. */
struct fp_transcript {
	uint8_t dial_nonce[FP_NONCE_BYTES];
	uint8_t accept_nonce[FP_NONCE_BYTES];
	uint64_t dial_id;
	uint64_t accept_id;
	char dial_addr[24];
	char accept_addr[24];
};

/** The two ends of a link. */
enum fp_peer_role { FP_DIALER = 'd', FP_ACCEPTOR = 'a' };

/** Computes the proof that the end with this role sends. */
void fp_proof_make(const uint8_t secret[32], const struct fp_transcript *t,
		   enum fp_peer_role role, uint8_t proof[FP_PROOF_BYTES]);

/** Verifies a proof in constant time; FP_OK or FP_DENIED. */
enum fp_status fp_proof_check(const uint8_t secret[32],
			      const struct fp_transcript *t,
			      enum fp_peer_role role,
			      const uint8_t proof[FP_PROOF_BYTES]);

/** Derives the key of the frames that the end with this role sends. */
void fp_frame_key(const uint8_t secret[32], const struct fp_transcript *t,
		  enum fp_peer_role role, uint8_t key[32]);

#ifdef __cplusplus
}
#endif
#endif
