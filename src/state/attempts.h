/* attempts.h - limits on retries: per call tree, organisation and worker */
#ifndef FP_STATE_ATTEMPTS_H
#define FP_STATE_ATTEMPTS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "state/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Retries that a call tree may still make.
 *
 * The root request gets the whole budget. A nested call borrows from its
 * parent's budget and returns what is left, so the complete call tree never
 * makes more retries than the root was given.
 */
struct fp_attempt_budget {
	uint32_t left; /**< retries */
};

/** Moves up to want retries from parent to child; returns how many. */
uint32_t fp_attempt_budget_lend(struct fp_attempt_budget *parent,
				uint32_t want);

/** Returns the retries that a child did not use. */
void fp_attempt_budget_return(struct fp_attempt_budget *parent,
			      uint32_t unused);

/**
 * Limits the ratio of retries to first sends with a token bucket: each first
 * send adds percent / 100 of a token, each retry takes one.
 */
struct fp_retry_ratio {
	uint32_t percent; /**< retries per hundred first sends */
	int64_t tokens_milli; /**< thousandths of a token */
	int64_t cap_milli; /**< maximum of tokens_milli */
	int64_t updated_us; /**< time up to which floor tokens are added */
};

/**
 * Initialises a ratio with min_tokens tokens.
 *
 * In addition to the tokens of first sends, one token per second is added.
 */
void fp_retry_ratio_init(struct fp_retry_ratio *r, uint32_t percent,
			 uint32_t min_tokens, int64_t now_us);
/** Records a first send, which adds percent / 100 of a token. */
void fp_retry_ratio_first_send(struct fp_retry_ratio *r, int64_t now_us);
/** Takes a token for a retry; returns FP_OK, or FP_EXHAUSTED without one. */
enum fp_status fp_retry_ratio_take(struct fp_retry_ratio *r, int64_t now_us);

/**
 * Recognises retries by callers by their fingerprint and limits them with a
 * ratio per organisation.
 */
struct fp_caller_retries;

/**
 * Makes an empty table; NULL when out of memory.
 *
 * @param max_orgs  number of organisations with a ratio of their own
 * @param percent   retries per hundred first arrivals of an organisation
 */
struct fp_caller_retries *fp_caller_retries_init(uint32_t max_orgs,
						 uint32_t percent);
/** Sets the ratio of all organisations; their tokens are kept. */
void fp_caller_retries_set_percent(struct fp_caller_retries *r,
				   uint32_t percent);
/**
 * Records that a request was refused or failed, so that the next arrival with
 * its fingerprint counts as a retry.
 *
 * Must not be called for a request that fp_caller_retries_admit() refused: that
 * is recorded already.
 */
void fp_caller_retries_failed(struct fp_caller_retries *r, uint64_t fingerprint,
			      int64_t now_us);
/**
 * Returns FP_OK for a first arrival or a retry within the ratio, else
 * FP_EXHAUSTED. Organisations with an index of max_orgs or above share one
 * ratio.
 */
enum fp_status fp_caller_retries_admit(struct fp_caller_retries *r,
				       uint32_t org, uint64_t fingerprint,
				       int64_t now_us);
void fp_caller_retries_end(struct fp_caller_retries *r);

#ifdef __cplusplus
}
#endif
#endif
