/* rumor.c - detects repeated crash reports in gossip */
#include "coordination/rumor.h"

bool fp_rumor_is_new(struct fp_rumor *r, const struct fp_msg_crash *m)
{
	uint32_t i;

	for (i = 0; i < FP_RUMOR_ENTRIES; i++)
		if (r->seen[i].fingerprint == m->fingerprint &&
		    r->seen[i].crash_id == m->crash_id)
			return false;
	r->seen[r->next++ % FP_RUMOR_ENTRIES] = *m;
	return true;
}
