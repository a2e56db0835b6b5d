/* grants.h - tokens of one organisation held at an entry node */
#ifndef FP_STATE_GRANTS_H
#define FP_STATE_GRANTS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Maximum time that a request waits for a token before it is refused. */
#define FP_GRANT_WAIT_US INT64_C(50000)

struct fp_grants;

/** Makes a holder without tokens; NULL when out of memory. */
struct fp_grants *fp_grants_init(void);

/**
 * Sets the organisation's rate and burst over the whole fleet.
 *
 * They limit the number of prefetched tokens; nothing is prefetched before the
 * first call.
 */
void fp_grants_set_rate(struct fp_grants *g, uint32_t rate_per_s,
			uint32_t burst);

/** Takes one token if one is available; FP_OK or FP_AGAIN. */
enum fp_status fp_grants_take(struct fp_grants *g, int64_t now_us);

/** Counts one request that needs a token, for the forecast of demand. */
void fp_grants_count_demand(struct fp_grants *g, int64_t now_us);

/**
 * Returns the number of tokens to request from the owner now.
 *
 * Call it after a take, when a request begins to wait, after an answer, and on
 * a timer of about 10 ms.
 *
 * @param waiting  requests that wait for a token
 * @return 0 for none; always 0 while an earlier request to the owner is pending
 */
uint32_t fp_grants_request_size(struct fp_grants *g, uint32_t waiting,
				int64_t now_us);

/** Records that tokens were requested at now_us; call it before sending. */
void fp_grants_requested(struct fp_grants *g, int64_t now_us);

/**
 * Adds a grant, which expires FP_GRANT_HOLDER_US after requested_us.
 *
 * Only the answer to the pending request is accepted, and only once: a late or
 * duplicate answer may contain tokens that were already spent or returned.
 *
 * @return FP_OK; FP_CONFLICT when no request of requested_us is pending;
 *         FP_TIMEOUT when the grant has expired, FP_FULL when too many are held
 *         (in both cases the request is closed and the tokens are not taken)
 */
enum fp_status fp_grants_add(struct fp_grants *g, uint64_t grant_id,
			     uint32_t tokens, int64_t requested_us,
			     int64_t now_us);

/**
 * Records that the owner refused the pending token request.
 *
 * The caller of this module refuses those waiting requests that cannot wait for
 * wait_us, and requests tokens for the others after that time. It must not
 * refuse a waiting request while a token request is pending: first it records
 * the owner's answer, or that there was none.
 *
 * @param wait_us  time until the next token request, as sent by the owner
 */
void fp_grants_refused(struct fp_grants *g, int64_t wait_us, int64_t now_us);

/** Records that the pending token request got no answer; a new one may be sent
 * at once. */
void fp_grants_request_lost(struct fp_grants *g, int64_t now_us);

/**
 * Removes a grant that is spent or will not be needed, to return it.
 *
 * Call it until FP_NOT_FOUND, after waiting requests took their tokens. The
 * tokens are no longer available here after the call. Zero tokens report that
 * all were spent: the owner needs the report, because outstanding tokens take
 * up room in its bucket.
 *
 * @return FP_OK with *grant_id and *tokens, or FP_NOT_FOUND
 */
enum fp_status fp_grants_take_surplus(struct fp_grants *g, int64_t now_us,
				      uint64_t *grant_id, uint32_t *tokens);

/** Whether no token is held and none is to be prefetched, so that without a
 *  waiting request there is nothing to request or return. */
bool fp_grants_is_idle(struct fp_grants *g, int64_t now_us);

/** The same as fp_grants_available(), without forgetting expired ones. */
uint32_t fp_grants_peek(const struct fp_grants *g, int64_t now_us);
/** Returns the number of held tokens that have not expired. */
uint32_t fp_grants_available(struct fp_grants *g, int64_t now_us);
void fp_grants_end(struct fp_grants *g);

#ifdef __cplusplus
}
#endif
#endif
