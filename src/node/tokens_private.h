/* tokens_private.h - tokens of one organisation, for tokens.c and shares.c */
#ifndef FP_NODE_TOKENS_PRIVATE_H
#define FP_NODE_TOKENS_PRIVATE_H

#include "node/traffic_private.h"
#include "state/grants.h"
#include "state/rate_share.h"

/** The tokens of one organisation at this node, and the calls that wait for a
 *  token. */
struct org_tokens {
	char org[FP_NAME_BYTES];
	struct fp_traffic *t;
	struct fp_grants *grants;
	/* no bucket serves the organisation, so this node's own share may be
	 * used locally */
	bool standalone;
	bool timed_out; /* the last token request had no response in time */
	int64_t served_us; /* when a bucket last served it */
	struct fp_rate_share share;
	uint64_t owner; /* node to request tokens from; 0: none */
	/* owner_view() when owner was selected; 0: select it again */
	uint64_t owner_view;
	uint64_t commit_id; /* message id of the last commitment */
	uint64_t release_id; /* message id of the pending release; 0: none */
	int64_t committed_us; /* when the last commitment was sent */
	int64_t demand_us; /* last call that needed a token */
	uint32_t n_skipped; /* owners skipped, in the order of rank */
	int64_t skipped_us; /* when the first of these was skipped */
	int64_t moved_us; /* when requests last moved to another owner */
	struct org_tokens *next; /* list of all organisations */
	struct call *first; /* waiting, oldest first */
	struct call *last;
	uint32_t n_waiting;
	bool limited; /* the organisation has a rate */
	bool configured; /* it exists in the configuration in force */
	uint64_t request_id; /* of the pending token request; 0: none */
	int64_t requested_us; /* when the last token request was sent */
	uint64_t requested_from; /* node it was sent to; hosted only */
	bool exhausted; /* the last response reported an exhausted rate */
	int64_t exhausted_us; /* time of the last such response; 0: never */
	/* the last response reported a bucket that is empty but no evidence of
	 * an exhausted rate, since shares are still being committed to it */
	bool filling;
	struct spending {
		uint32_t granted; /* tokens from grants, since reported_us */
		uint32_t share; /* tokens from this node's share */
		struct fp_counter *granted_total;
		struct fp_counter *share_total;
	} spent;
	int64_t reported_us; /* time of the last log line about spending */
};

/* Reads the clock instead of the loop's cached time, so that tokens which
 * expired while the process was paused are treated as expired. */
static inline int64_t tokens_now_us(const struct fp_traffic *t)
{
	return fp_mono_us(t->clock);
}

/* --- shares.c --- */

/** Returns the node to request tokens from; 0: none. */
uint64_t shares_owner(struct org_tokens *o);
/** Skips the selected owner, because no rate share is committed to its bucket.
 *  Has no effect while this node's own share is valid. */
void shares_skip_owner(struct org_tokens *o, int64_t now_us);
/** Renews the commitment of the share when it is due, and ends the skipping of
 *  owners. */
void shares_tick(struct org_tokens *o, int64_t now_us);

#endif
