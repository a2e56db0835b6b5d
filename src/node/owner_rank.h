/* owner_rank.h - ranks the members that may own an organisation's bucket */
#ifndef FP_NODE_OWNER_RANK_H
#define FP_NODE_OWNER_RANK_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/member.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Members to leave out; it can be consulted several times for one member. */
typedef bool (*owner_rank_skip_fn)(void *ctx, const struct fp_member *m);

/** Returns the rank of a member for an organisation: its rendezvous hash. */
uint64_t owner_rank_of(const struct fp_member *m, const char *org);

/**
 * Returns the highest-ranked member for an organisation.
 *
 * A member whose address a later process has taken is left out, whatever its
 * name: messages to it would arrive at that process.
 *
 * @param below  only members with a lower rank; UINT64_MAX: all
 * @param skip  may be NULL
 * @return NULL when there is none
 */
const struct fp_member *
owner_rank_highest(const struct fp_member_table *members, const char *org,
		   uint64_t below, owner_rank_skip_fn skip, void *ctx);

#ifdef __cplusplus
}
#endif
#endif
