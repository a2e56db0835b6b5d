/*
 * peer_crypto.c - proof of the fleet secret, and keys that seal frames
 *
 * A proof is a BLAKE2b hash, keyed with the secret, of a purpose string, the
 * role and the complete transcript. Both nonces are new for each link, so a
 * recorded proof is not valid on another link. Because of the role, a proof
 * cannot be reflected to its sender.
 */
#include "transport/peer_crypto.h"

#include <string.h>

static void keyed_hash(const uint8_t secret[32], const char *purpose,
		       const struct fp_transcript *t, enum fp_peer_role role,
		       uint8_t out[32])
{
	crypto_generichash_state st;
	uint8_t r = (uint8_t)role;

	crypto_generichash_init(&st, secret, 32, 32);
	crypto_generichash_update(&st, (const uint8_t *)purpose,
				  strlen(purpose) + 1);
	crypto_generichash_update(&st, &r, 1);
	crypto_generichash_update(&st, t->dial_nonce, sizeof(t->dial_nonce));
	crypto_generichash_update(&st, t->accept_nonce,
				  sizeof(t->accept_nonce));
	crypto_generichash_update(&st, (const uint8_t *)&t->dial_id,
				  sizeof(t->dial_id));
	crypto_generichash_update(&st, (const uint8_t *)&t->accept_id,
				  sizeof(t->accept_id));
	crypto_generichash_update(&st, (const uint8_t *)t->dial_addr,
				  sizeof(t->dial_addr));
	crypto_generichash_update(&st, (const uint8_t *)t->accept_addr,
				  sizeof(t->accept_addr));
	crypto_generichash_final(&st, out, 32);
}

void fp_proof_make(const uint8_t secret[32], const struct fp_transcript *t,
		   enum fp_peer_role role, uint8_t proof[FP_PROOF_BYTES])
{
	keyed_hash(secret, "fulmarpass proof", t, role, proof);
}

enum fp_status fp_proof_check(const uint8_t secret[32],
			      const struct fp_transcript *t,
			      enum fp_peer_role role,
			      const uint8_t proof[FP_PROOF_BYTES])
{
	uint8_t want[FP_PROOF_BYTES];

	fp_proof_make(secret, t, role, want);
	if (sodium_memcmp(want, proof, sizeof(want)) != 0)
		return fp_fail(FP_DENIED, "invalid proof of the fleet secret");
	return FP_OK;
}

void fp_frame_key(const uint8_t secret[32], const struct fp_transcript *t,
		  enum fp_peer_role role, uint8_t key[32])
{
	keyed_hash(secret, "fulmarpass frames", t, role, key);
}
