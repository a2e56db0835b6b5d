/* bucket.h - token bucket of an organisation, kept by its owner */
#ifndef FP_STATE_BUCKET_H
#define FP_STATE_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Lifetime of a grant on its holder's clock. */
#define FP_GRANT_HOLDER_US INT64_C(1000000)
/** Lifetime of a grant at the owner. The 200 ms above the holder's lifetime
 * cover the maximum drift of both clocks and the time from a caller's request
 * taking a token at the holder until the holder dispatches that request: the
 * holder's process may be paused in between. After a longer pause only the
 * deadline of the request limits a late dispatch. */
#define FP_GRANT_OWNER_US INT64_C(1200000)
/** Maximum number of open grants; beyond it nothing is granted. */
#define FP_BUCKET_MAX_GRANTS 4096

struct fp_bucket;

/**
 * Makes an empty bucket that refills from start_us on.
 *
 * A first owner passes the current time. A new owner passes the time by which
 * every grant of the previous owner has expired, or the current time if that is
 * later: rate and burst may have been different in the past.
 *
 * @param owner_epoch  unique among all owners of the bucket; part of each grant
 *                     id, so that a return meant for an earlier owner matches
 *                     no grant here
 */
struct fp_bucket *fp_bucket_init(uint32_t rate_per_s, uint32_t burst,
				 uint64_t owner_epoch, int64_t start_us);

/** Makes a full bucket; only for a bucket that never had an owner. */
struct fp_bucket *fp_bucket_init_full(uint32_t rate_per_s, uint32_t burst,
				      uint64_t owner_epoch, int64_t now_us);

/**
 * Sets rate and burst; tokens above the new capacity are dropped.
 *
 * Open grants remain valid: a smaller burst holds for windows that start
 * FP_GRANT_OWNER_US after the change, a smaller rate immediately.
 */
void fp_bucket_set_rate(struct fp_bucket *b, uint32_t rate_per_s,
			uint32_t burst, int64_t now_us);

/**
 * Grants up to want tokens to a holder.
 *
 * @param now_us   own clock
 * @param wait_us  with FP_EXHAUSTED: time until the next attempt. This is the
 *                 time until one token will be available, or a short polling
 *                 interval if open grants leave no room, since these may be
 *                 closed at any moment
 * @return FP_OK with *grant_id and *granted (>= 1), or FP_EXHAUSTED (no token,
 *         or FP_BUCKET_MAX_GRANTS are open)
 */
enum fp_status fp_bucket_grant(struct fp_bucket *b, uint32_t want,
			       int64_t now_us, uint64_t *grant_id,
			       uint32_t *granted, int64_t *wait_us);

/**
 * Closes a grant that has not expired and takes back its unspent tokens.
 *
 * The holder has spent the others and spends no more of this grant after it
 * sent the return, so the complete grant is no longer outstanding. A return of
 * zero tokens reports that all were spent.
 *
 * @return FP_OK; FP_NOT_FOUND when the grant has expired or was returned
 *         before; FP_INVALID, with nothing changed, when more is returned than
 *         was granted
 */
enum fp_status fp_bucket_return(struct fp_bucket *b, uint64_t grant_id,
				uint32_t unspent, int64_t now_us);

/** State that a former owner hands over to its successor. */
struct fp_bucket_state {
	int64_t tokens_micro; /**< available tokens, millionths */
	uint32_t outstanding; /**< tokens of unexpired grants */
	int64_t outstanding_left_us; /**< time until the last of them expires */
	/** time until the bucket starts to refill, usually 0 */
	int64_t refill_delay_us;
};

/** Maximum of the time spans in a state; larger ones are invalid. */
#define FP_BUCKET_MAX_SPAN_US (2 * FP_GRANT_OWNER_US)

/** Exports the state for the successor; nothing is granted after this. */
void fp_bucket_export(struct fp_bucket *b, int64_t now_us,
		      struct fp_bucket_state *out);

/**
 * Makes a bucket that continues from an exported state.
 *
 * The outstanding grants become a single amount that no holder can return. It
 * expires when the last grant does, plus the drift of the two clocks.
 *
 * @param now_us  own clock, after the export; the bucket refills only from
 *                this time on, because rate and burst may have been different
 *                earlier
 * @return NULL when out of memory or the state is invalid
 */
struct fp_bucket *fp_bucket_import(uint32_t rate_per_s, uint32_t burst,
				   uint64_t owner_epoch, int64_t now_us,
				   const struct fp_bucket_state *state);

/** Reads the available and the outstanding tokens, in complete tokens. */
void fp_bucket_read(struct fp_bucket *b, int64_t now_us, uint32_t *tokens,
		    uint32_t *outstanding);
void fp_bucket_end(struct fp_bucket *b);

#ifdef __cplusplus
}
#endif
#endif
