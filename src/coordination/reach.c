/* reach.c - delegates of a failure domain, and detection of isolation */
#include "coordination/reach.h"

#include <xxhash.h>

/* Rendezvous score of a node; all nodes compute the same score for an id. */
static uint64_t score(uint64_t id)
{
	return XXH3_64bits(&id, sizeof(id));
}

bool fp_reach_is_delegate(uint64_t self, const uint64_t *ids, uint32_t n)
{
	uint64_t own = score(self);
	uint32_t above = 0;
	uint32_t i;

	for (i = 0; i < n; i++)
		if (ids[i] != self && score(ids[i]) > own)
			above++;
	return above < FP_DELEGATES_PER_DOMAIN;
}

bool fp_reach_is_isolated(int64_t store_age_us, uint32_t reached,
			  uint32_t known)
{
	if (store_age_us <= FP_STORE_STALE_US)
		return false;
	/* A fleet of one cannot be partitioned. */
	return known > 1 && reached * 2 <= known;
}
