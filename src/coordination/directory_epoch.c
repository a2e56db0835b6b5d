/*
 * directory_epoch.c - the store came back from an older copy
 *
 * What the store acknowledged after that copy is lost, and each answer names a
 * later epoch from then on. Whoever wrote something under the store's keys for
 * this node compares what it knows with what the store has now, and writes it
 * again if it was lost:
 *
 *	own record	by its process, under the lease that it has, or a new
 *			one if that may be lost, too (directory_members.c)
 *	worker's end	by its node, over what the store has (directory_worker_end.c)
 *	secret		by the nodes that read the store for others, if it is
 *			missing (directory.c)
 *	configuration	by the operators; until then an older record confirms
 *			nothing (directory.c)
 *
 * Records of the others are written again by their nodes. Until then the newest
 * that is known of a process counts, and a member whose record is missing stays
 * for as long as the lost lease may have let it spend its share.
 */
#include <inttypes.h>

#include "base/log.h"
#include "coordination/directory_private.h"

void directory_note_epoch(struct fp_directory *d,
			  const struct fp_registry_result *r)
{
	uint64_t before = d->epoch;

	if (r->epoch <= before)
		return;
	d->epoch = r->epoch;
	if (!before)
		return;
	fp_log(FP_LOG_WARN, "store_restored",
	       "epoch=%" PRIu64 " before=%" PRIu64, d->epoch, before);
	directory_secret_restored(d);
	directory_members_restored(d);
	directory_worker_end_restored(d);
}
