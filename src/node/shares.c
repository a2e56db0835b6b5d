/*
 * shares.c - selects the owner to which a node commits its rate share
 *
 * The owner is the highest-ranked member for the organisation whose link is not
 * disconnected (owner.c), so all nodes commit their rate shares to the same
 * bucket. A commitment is valid for a hold time and is renewed several times
 * within it, less often without demand. When the owner changes, the previous
 * owner must first release the share, which costs a round trip. If that owner
 * is unreachable, the share cannot be used for the rest of the hold time.
 *
 * A node whose rate share is not valid may have an outdated member table. It
 * skips owners in the order of rank until it finds a bucket that other nodes
 * use.
 */
#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "node/owner.h"
#include "node/tokens_private.h"
#include "protocol/msg_shared.h"

/* Interval of commitments of a share. Two commitments in a row may be lost
 * before the hold expires. */
#define COMMIT_US (200 * FP_US_PER_MS)
/* How long after its last request an organisation counts as in demand. */
#define DEMAND_US (3 * FP_US_PER_S)
/* Interval and hold of commitments without demand. Both are multiplied by
 * 1 + number of organisations / IDLE_ORGS. */
#define IDLE_COMMIT_US (800 * FP_US_PER_MS)
#define IDLE_HOLD_US   (2 * FP_US_PER_S)
#define IDLE_ORGS      16u
/* How long owners are skipped before the highest-ranked one is used again. */
#define SKIP_US (2 * FP_US_PER_S)

uint64_t shares_owner(struct org_tokens *o)
{
	uint64_t view = owner_view(o->t);

	if (o->owner_view != view)
		o->owner = owner_select(o->t, o->org, o->n_skipped);
	o->owner_view = view;
	return o->owner;
}

static void reset_skip(struct org_tokens *o)
{
	o->n_skipped = 0;
	o->owner_view = 0;
}

/* Nodes with a valid share always use the highest-ranked owner. A node without
 * one searches for a bucket in the order of rank. */
void shares_skip_owner(struct org_tokens *o, int64_t now_us)
{
	if (fp_share_is_valid(&o->t->share_validity, now_us) || !o->t->members)
		return;
	if (!o->n_skipped)
		o->skipped_us = now_us;
	o->n_skipped = (o->n_skipped + 1) % o->t->members->n;
	o->owner_view = 0;
}

static void end_skip(struct org_tokens *o, int64_t now_us)
{
	if (o->n_skipped && (fp_share_is_valid(&o->t->share_validity, now_us) ||
			     now_us - o->skipped_us > SKIP_US))
		reset_skip(o);
}

/* Sets *id to a new message id whose response will be accepted; a response to
 * the previous id no longer is. */
static void expect_response(struct org_tokens *o, uint64_t *id)
{
	apr_hash_set(o->t->pending_requests, id, sizeof(*id), NULL);
	*id = ++o->t->last_corr;
	apr_hash_set(o->t->pending_requests, id, sizeof(*id), o);
}

static void release_share(struct org_tokens *o, int64_t now_us)
{
	struct fp_msg_shared m = { .type = FP_MSG_RATE_SHARE_COMMIT };

	expect_response(o, &o->release_id);
	m.id = o->release_id;
	memcpy(m.share_commit.org, o->org, sizeof(o->org));
	fp_rate_share_release(&o->share, now_us, &m.share_commit.commitment);
	owner_send(o->t, o->share.owner, &m);
}

/* Factor for the interval and hold of commitments without demand. */
static int64_t idle_scale(const struct org_tokens *o)
{
	return 1 + o->t->config->n_orgs / IDLE_ORGS;
}

static int64_t hold_us(const struct org_tokens *o, bool idle)
{
	int64_t us =
		idle ? IDLE_HOLD_US * idle_scale(o) : FP_RATE_SHARE_HOLD_US;

	return us < FP_RATE_SHARE_MAX_SPAN_US ? us : FP_RATE_SHARE_MAX_SPAN_US;
}

static void send_commitment(struct org_tokens *o, uint64_t owner, bool idle,
			    int64_t now_us)
{
	struct fp_msg_shared m = { .type = FP_MSG_RATE_SHARE_COMMIT };
	uint64_t previous = o->share.owner;

	if (o->share.probed_owner != owner && previous != owner &&
	    fp_rate_share_is_committed(&o->share, now_us))
		release_share(o, now_us);
	fp_rate_share_commit(&o->share, &o->t->share_validity, owner,
			     hold_us(o, idle), now_us,
			     &m.share_commit.commitment);
	if (m.share_commit.commitment.hold_us && o->release_id) {
		apr_hash_set(o->t->pending_requests, &o->release_id,
			     sizeof(o->release_id), NULL);
		o->release_id = 0;
	}
	expect_response(o, &o->commit_id);
	o->committed_us = now_us;
	m.id = o->commit_id;
	memcpy(m.share_commit.org, o->org, sizeof(o->org));
	owner_send(o->t, owner, &m);
	if (o->share.owner != previous)
		fp_log(FP_LOG_INFO, "share_committed",
		       "org=%s node=%016" PRIx64 " before=%016" PRIx64
		       " shares=%u hold_ms=%" PRId64,
		       o->org, owner, previous,
		       m.share_commit.commitment.n_shares,
		       m.share_commit.commitment.hold_us / FP_US_PER_MS);
}

/* Renews the commitment when it is due, unless the last token request to the
 * owner timed out. */
static void renew_commitment(struct org_tokens *o, int64_t now_us)
{
	bool idle = now_us - o->demand_us > DEMAND_US;
	int64_t interval_us;
	uint64_t owner;

	if (!o->t->hosted || !o->limited || !o->configured || o->timed_out)
		return;
	interval_us = idle ? IDLE_COMMIT_US * idle_scale(o) : COMMIT_US;
	owner = shares_owner(o);
	if (!owner)
		return;
	if (owner == o->share.probed_owner &&
	    now_us - o->committed_us < interval_us &&
	    (fp_rate_share_is_committed(&o->share, now_us) ||
	     !fp_rate_share_can_commit(&o->share, &o->t->share_validity, owner,
				       now_us)))
		return;
	send_commitment(o, owner, idle, now_us);
}

void tokens_handle_commit(struct fp_traffic *t, uint64_t from, uint64_t id,
			  const struct fp_rate_share_response *a)
{
	struct org_tokens *o =
		apr_hash_get(t->pending_requests, &id, sizeof(id));
	int64_t now_us = tokens_now_us(t);

	if (!o || strcmp(a->org, o->org) != 0)
		return;
	if (id == o->commit_id)
		fp_rate_share_handle_response(&o->share, from,
					      a->owner_clock_us,
					      a->fill_permille, now_us);
	else if (id == o->release_id)
		fp_rate_share_release_confirmed(&o->share, from, now_us);
	renew_commitment(o, now_us);
}

void shares_tick(struct org_tokens *o, int64_t now_us)
{
	end_skip(o, now_us);
	renew_commitment(o, now_us);
}
