/*
 * owner_rank.c - ranks the members that may own an organisation's bucket
 *
 * The ranks are rendezvous hashes, so a change of one member moves only the
 * buckets that it owned or will own.
 *
 * The record of a lost node stays in the member table for seconds, and its
 * address may have been given to another node by then. Ids of processes begin
 * with their start time, so of two members at one address only the one with the
 * higher id can still run.
 */
#include "node/owner_rank.h"

#include <string.h>
#include <xxhash.h>

uint64_t owner_rank_of(const struct fp_member *m, const char *org)
{
	return XXH3_64bits_withSeed(m->name, strlen(m->name),
				    XXH3_64bits(org, strlen(org)));
}

static bool is_superseded(const struct fp_member_table *members,
			  const struct fp_member *m)
{
	uint32_t i;

	for (i = 0; i < members->n; i++)
		if (members->members[i].id > m->id &&
		    strcmp(members->members[i].peer_addr, m->peer_addr) == 0)
			return true;
	return false;
}

const struct fp_member *
owner_rank_highest(const struct fp_member_table *members, const char *org,
		   uint64_t below, owner_rank_skip_fn skip, void *ctx)
{
	uint64_t seed = XXH3_64bits(org, strlen(org));
	const struct fp_member *best = NULL;
	uint64_t best_rank = 0;
	uint32_t i;

	for (i = 0; i < members->n; i++) {
		const struct fp_member *m = &members->members[i];
		uint64_t rank =
			XXH3_64bits_withSeed(m->name, strlen(m->name), seed);

		if (rank >= below || (best && rank <= best_rank))
			continue;
		if (is_superseded(members, m) || (skip && skip(ctx, m)))
			continue;
		best = m;
		best_rank = rank;
	}
	return best;
}
