/* tokens_private.h - an organisation's tokens, for tokens.c and parts.c */
#ifndef FP_NODE_TOKENS_PRIVATE_H
#define FP_NODE_TOKENS_PRIVATE_H

#include "node/traffic_private.h"
#include "state/grants.h"
#include "state/rate_share.h"

/** One organisation's tokens and the calls that wait for one. */
struct org_tokens {
	char org[FP_NAME_BYTES];
	struct fp_traffic *t;
	struct fp_grants *grants;
	bool alone; /* no bucket serves it: the equal part may be in use */
	bool late; /* the last ask had no answer in time */
	int64_t joined_us; /* when a bucket served it last */
	struct fp_part part;
	uint64_t place; /* node whose bucket is asked; 0: none */
	uint64_t place_view; /* of the members when that was found */
	uint64_t commit_id; /* of the last commitment */
	uint64_t release_id; /* of a release under way, 0: none */
	int64_t committed_us; /* when it was sent */
	int64_t demand_us; /* the last request that wanted a token */
	uint32_t detour; /* ranks that are passed over */
	int64_t detour_us; /* since when */
	int64_t moved_us; /* since when the bucket that is asked is asked */
	struct org_tokens *next; /* of all organisations */
	struct call *first; /* waiting, oldest first */
	struct call *last;
	uint32_t n_waiting;
	bool limited; /* it has a rate */
	bool configured; /* the record in force has it */
	uint64_t ask_id; /* of the open ask, 0: none */
	int64_t asked_us;
	uint64_t asked_id; /* who was asked, hosted only */
	bool exhausted; /* the owner's last word was an empty bucket */
	int64_t exhausted_us; /* when that was said last */
	bool filling; /* it was one that has not had the time to fill */
	struct spending {
		uint32_t granted; /* since the last line, by an owner's grant */
		uint32_t part; /* out of the equal part */
		struct fp_counter *granted_total;
		struct fp_counter *part_total;
	} spent;
	int64_t reported_us; /* when spending had its last line */
};

/* Not the loop's time: after a pause a token must be seen as ended. */
static inline int64_t tokens_now_us(const struct fp_traffic *t)
{
	return fp_mono_us(t->clock);
}

/* --- parts.c --- */

/** The node whose bucket is asked for tokens; 0: none. */
uint64_t parts_place(struct org_tokens *o);
/** That node has no tokens to grant to anybody. */
void parts_pass_over(struct org_tokens *o, int64_t now_us);
/** Commits the part again in time. */
void parts_tick(struct org_tokens *o, int64_t now_us);

#endif
