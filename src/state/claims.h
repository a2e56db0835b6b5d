/* claims.h - claims of non-idempotent requests, kept by a slice's two nodes */
#ifndef FP_STATE_CLAIMS_H
#define FP_STATE_CLAIMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "state/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Bytes of a claim's name: hash of organisation, route and Idempotency-Key,
 * see node/claim.c. */
#define FP_CLAIM_NAME_BYTES 16
/** Maximum size of an answer stored with a claim, bytes. */
#define FP_CLAIM_ANSWER_BYTES 16384
/** Bytes counted per claim in addition to its answer: entry, chains,
 * allocator. */
#define FP_CLAIM_FIXED_BYTES 160

/** State of a claim. */
enum fp_claim_state {
	FP_CLAIM_PENDING, /**< taken; the request may be running */
	FP_CLAIM_DONE, /**< ran; the answer may be stored */
	FP_CLAIM_UNKNOWN, /**< may have run; will not be run again */
};

/** One claim, as replicated to the backup. */
struct fp_claim {
	uint8_t name[FP_CLAIM_NAME_BYTES];
	/** of the request; a different one is an error */
	uint64_t fingerprint;
	uint64_t attempt_id; /**< random id of the arrival that took it */
	enum fp_claim_state state;
	int64_t created_us; /**< on the clock of the node that stores it */
	int32_t http_status; /**< of the stored answer */
	uint8_t *answer; /**< headers and body as stored, or NULL */
	uint32_t answer_bytes;
};

struct fp_claims;

/**
 * Makes an empty table.
 *
 * @param max_claims   beyond it new claims are refused
 * @param max_bytes    FP_CLAIM_FIXED_BYTES are set aside per claim (for fewer
 *                     claims if they do not fit), answers share the rest
 * @param lifetime_us  lifetime of a claim from its first arrival, in any state;
 *                     must exceed the longest deadline plus the time for which
 *                     callers retry
 */
struct fp_claims *fp_claims_init(uint32_t max_claims, uint64_t max_bytes,
				 int64_t lifetime_us);

/**
 * Takes a claim for an arriving request.
 *
 * @param found  set to the existing or new claim, valid until the next call
 * @return FP_OK when it is new and now pending under attempt (also when the
 *         same attempt takes it again while pending); FP_CONFLICT when another
 *         attempt has taken it or it is no longer pending; FP_INVALID when its
 *         fingerprint differs; FP_FULL when there is no room (*found is NULL;
 *         the request must not run)
 */
enum fp_status fp_claims_take(struct fp_claims *c,
			      const uint8_t name[FP_CLAIM_NAME_BYTES],
			      uint64_t fingerprint, uint64_t attempt,
			      int64_t now_us, const struct fp_claim **found);

/**
 * Sets the final state of a pending claim, with its answer (NULL: none stored).
 *
 * An unknown claim may still become done when its answer arrives late. Done is
 * final; setting it again is allowed. An answer that is too long or finds no
 * room is not stored, but the state is.
 *
 * @return FP_OK; FP_NOT_FOUND; FP_CONFLICT when the claim belongs to another
 *         attempt, or is done and state is not; FP_INVALID when state is
 *         neither done nor unknown
 */
enum fp_status fp_claims_finish(struct fp_claims *c,
				const uint8_t name[FP_CLAIM_NAME_BYTES],
				uint64_t attempt, enum fp_claim_state state,
				int32_t http_status, const uint8_t *answer,
				uint32_t answer_bytes, int64_t now_us);

/**
 * Removes a pending claim whose request certainly did not run.
 *
 * @return FP_OK; FP_NOT_FOUND; FP_CONFLICT when it is not pending or belongs to
 *         another attempt
 */
enum fp_status fp_claims_release(struct fp_claims *c,
				 const uint8_t name[FP_CLAIM_NAME_BYTES],
				 uint64_t attempt, int64_t now_us);

/**
 * Stores a replicated claim (at the backup, or in a transfer).
 *
 * The caller has converted created_us to the clock of this node, from the age
 * that was transmitted, so that the claim expires no earlier here than at the
 * node that created it.
 *
 * An earlier claim of that name is replaced.
 *
 * @return FP_OK; FP_FULL; FP_NOT_FOUND when its lifetime has ended
 */
enum fp_status fp_claims_put(struct fp_claims *c, const struct fp_claim *claim,
			     int64_t now_us);

/** Removes a claim whatever its state (a replicated release). */
void fp_claims_drop(struct fp_claims *c,
		    const uint8_t name[FP_CLAIM_NAME_BYTES]);

/** Returns the claim of that name, valid until the next call; NULL when there
 * is none or its lifetime has ended. */
const struct fp_claim *fp_claims_find(struct fp_claims *c,
				      const uint8_t name[FP_CLAIM_NAME_BYTES],
				      int64_t now_us);

/** Calls fn for each claim; fn must not modify the table. */
void fp_claims_for_each(const struct fp_claims *c,
			void (*fn)(void *ctx, const struct fp_claim *claim),
			void *ctx);

/** Removes claims past their lifetime; returns how many. */
uint32_t fp_claims_expire(struct fp_claims *c, int64_t now_us);
/** Returns the number of claims, and the bytes that they and their answers
 * take. */
void fp_claims_count(const struct fp_claims *c, uint32_t *claims,
		     uint64_t *bytes);
void fp_claims_end(struct fp_claims *c);

#ifdef __cplusplus
}
#endif
#endif
