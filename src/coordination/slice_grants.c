/*
 * slice_grants.c - token buckets of a slice's organisations, at its owner
 *
 * A bucket is valid for one ownership. The first owner that a slice ever has
 * starts its buckets full. A later owner starts them empty and refills them
 * from the time at which every grant of the previous owner has expired. An
 * owner that lost the right to act for a while, without a successor, keeps
 * its buckets as they are.
 *
 * At a planned shutdown the owner sends the exact state of each bucket to its
 * backup, after it stopped acting and before the HANDOVER of the slice. The
 * successor uses a state only if its ownership begins in the epoch right after
 * that of the sender, since then no other node granted in between. If a state
 * is lost, or arrives after the ownership began, the bucket starts empty.
 *
 * An organisation that is removed from the configuration loses its bucket. Its
 * grants may still be open and its name may be added again. Therefore every
 * new bucket of this ownership then starts empty and is refilled only after
 * those grants have expired.
 */
#include <stdlib.h>
#include <string.h>

#include "coordination/slice_private.h"

/* While the bucket of a new owner warms up, an empty bucket does not show that
 * its organisation used up the rate: the answer is FP_AGAIN, not FP_EXHAUSTED.
 * The warm-up is the time to refill a full burst, within these bounds. It is
 * WARM_MIN_US for an inherited bucket and zero for one that starts full. */
#define WARM_MIN_US (2 * FP_US_PER_S)
#define WARM_MAX_US (10 * FP_US_PER_S)

/* Scales a rate or burst by the active preset's percentage; a value above zero
 * does not become zero. */
static uint32_t scale(uint32_t value, uint32_t percent)
{
	uint64_t product = (uint64_t)value * percent;

	if (product > 0 && product < 100)
		return 1;
	return product / 100 > UINT32_MAX ? UINT32_MAX :
					    (uint32_t)(product / 100);
}

static struct org_bucket *find_bucket(const struct local_slice *ls,
				      const char *org)
{
	struct org_bucket *b = ls->buckets;

	while (b && strcmp(b->org, org) != 0)
		b = b->next;
	return b;
}

/* When a bucket that started empty at start_us counts as warm. */
static int64_t warm_until(int64_t start_us, uint32_t rate, uint32_t burst)
{
	int64_t fill_us = WARM_MAX_US;

	if (rate > 0)
		fill_us = (int64_t)burst * FP_US_PER_S / rate;
	if (fill_us < WARM_MIN_US)
		fill_us = WARM_MIN_US;
	if (fill_us > WARM_MAX_US)
		fill_us = WARM_MAX_US;
	return start_us + fill_us;
}

static const struct inherited_bucket *
find_inherited(const struct local_slice *ls, const char *org)
{
	const struct inherited_bucket *inherited = ls->inherited;

	while (inherited && strcmp(inherited->org, org) != 0)
		inherited = inherited->next;
	return inherited;
}

static struct fp_bucket *make_bucket(const struct local_slice *ls,
				     const char *org, uint32_t rate,
				     uint32_t burst, int64_t now_us,
				     int64_t *warm_until_us)
{
	const struct inherited_bucket *inherited = find_inherited(ls, org);
	int64_t start_us = now_us;

	*warm_until_us = now_us + WARM_MIN_US;
	if (inherited)
		return fp_bucket_import(rate, burst, ls->owner_epoch, now_us,
					&inherited->state);
	*warm_until_us = now_us;
	if (ls->buckets_start_full)
		return fp_bucket_init_full(rate, burst, ls->owner_epoch,
					   now_us);
	if (start_us < ls->refill_from_us)
		start_us = ls->refill_from_us;
	*warm_until_us = warm_until(start_us, rate, burst);
	return fp_bucket_init(rate, burst, ls->owner_epoch, start_us);
}

static struct org_bucket *add_bucket(struct local_slice *ls, const char *org,
				     uint32_t rate, uint32_t burst,
				     int64_t now_us)
{
	struct org_bucket *b = calloc(1, sizeof(*b));

	if (!b)
		return NULL;
	b->bucket =
		make_bucket(ls, org, rate, burst, now_us, &b->warm_until_us);
	if (!b->bucket) {
		free(b);
		return NULL;
	}
	memcpy(b->org, org, sizeof(b->org));
	b->next = ls->buckets;
	ls->buckets = b;
	return b;
}

static void end_bucket(struct org_bucket *b)
{
	fp_bucket_end(b->bucket);
	free(b);
}

/* Drops the buckets of organisations that the configuration does not name. */
static void drop_unnamed(struct local_slice *ls, int64_t now_us)
{
	struct org_bucket **p = &ls->buckets;
	struct org_bucket *b;

	while (*p) {
		b = *p;
		if (b->config_round == ls->svc->config_round) {
			p = &b->next;
			continue;
		}
		*p = b->next;
		end_bucket(b);
		ls->buckets_start_full = false;
		ls->refill_from_us = now_us + FP_GRANT_OWNER_US;
	}
}

void grants_configure(struct local_slice *ls)
{
	const struct fp_config *c = ls->svc->config;
	int64_t now_us = service_now(ls->svc);
	uint32_t percent;
	uint32_t i;

	if (!c || !ls->buckets_valid)
		return;
	percent =
		c->n_presets ? c->presets[c->active_preset].rate_percent : 100;
	for (i = 0; i < c->n_orgs; i++) {
		const struct fp_org *o = &c->orgs[i];
		uint32_t rate = scale(o->rate_per_s, percent);
		uint32_t burst = scale(o->burst, percent);
		struct org_bucket *b;

		if (fp_slice_of_org(o->name) != ls->slice.index)
			continue;
		b = find_bucket(ls, o->name);
		if (b)
			fp_bucket_set_rate(b->bucket, rate, burst, now_us);
		else
			b = add_bucket(ls, o->name, rate, burst, now_us);
		if (b)
			b->config_round = ls->svc->config_round;
	}
	drop_unnamed(ls, now_us);
}

void grants_begin(struct local_slice *ls, const struct fp_slice_ownership *t)
{
	if (t->resumed && ls->buckets_valid)
		return;
	grants_drop(ls);
	ls->buckets_valid = true;
	ls->buckets_start_full = t->first_owner && !t->resumed;
	ls->owner_epoch = t->epoch;
	ls->refill_from_us = t->vacant_from_us + FP_GRANT_OWNER_US;
	if (t->resumed)
		ls->refill_from_us = service_now(ls->svc) + FP_GRANT_OWNER_US;
	if (ls->inherited_epoch + 1 != t->epoch || t->resumed)
		grants_drop_inherited(ls);
	grants_configure(ls);
	grants_drop_inherited(ls);
}

void grants_hand_over(struct local_slice *ls)
{
	struct fp_msg_shared m = { .type = FP_MSG_BUCKET_HANDOVER };
	struct fp_bucket_handover *handover = &m.bucket_handover;
	const char *addr = service_address(ls->svc, ls->slice.view.backup.id);
	struct org_bucket *b;

	handover->epoch = ls->slice.view.epoch;
	for (b = ls->buckets; addr && b; b = b->next) {
		memcpy(handover->org, b->org, sizeof(handover->org));
		fp_bucket_export(b->bucket, service_now(ls->svc),
				 &handover->state);
		service_send_shared(ls->svc, addr, &m);
	}
}

/* Whether this node is the backup of that primary in that epoch. */
static bool may_inherit(const struct local_slice *ls, uint64_t from,
			uint64_t epoch)
{
	const struct fp_slice *s = &ls->slice;

	return s->role == FP_SLICE_ROLE_BACKUP && s->view.epoch == epoch &&
	       s->view.primary.id == from;
}

void grants_on_handover(struct local_slice *ls, uint64_t from,
			const struct fp_bucket_handover *m)
{
	const struct fp_config *c = ls->svc->config;
	struct inherited_bucket *inherited;

	if (!may_inherit(ls, from, m->epoch))
		return;
	if (ls->inherited_epoch != m->epoch)
		grants_drop_inherited(ls);
	if (!c || fp_config_find_org(c, m->org) < 0 ||
	    find_inherited(ls, m->org))
		return;
	inherited = calloc(1, sizeof(*inherited));
	if (!inherited)
		return;
	memcpy(inherited->org, m->org, sizeof(inherited->org));
	inherited->state = m->state;
	inherited->next = ls->inherited;
	ls->inherited = inherited;
	ls->inherited_epoch = m->epoch;
}

void grants_drop_inherited(struct local_slice *ls)
{
	struct inherited_bucket *inherited;

	while (ls->inherited) {
		inherited = ls->inherited;
		ls->inherited = inherited->next;
		free(inherited);
	}
	ls->inherited_epoch = 0;
}

void grants_drop(struct local_slice *ls)
{
	struct org_bucket *b;

	while (ls->buckets) {
		b = ls->buckets;
		ls->buckets = b->next;
		end_bucket(b);
	}
	ls->buckets_valid = false;
}

void grants_on_request(struct local_slice *ls, const struct requester *req,
		       const struct fp_grant_request *m)
{
	struct fp_slice_service *svc = ls->svc;
	struct fp_msg_shared a = { .type = FP_MSG_GRANT_RESPONSE };
	struct fp_grant_response *g = &a.grant_response;
	struct org_bucket *b = find_bucket(ls, m->org);

	g->status = FP_UNAVAILABLE;
	if (b && service_may_act(ls))
		g->status =
			fp_bucket_grant(b->bucket, m->want, service_now(svc),
					&g->grant_id, &g->tokens, &g->wait_us);
	if (g->status == FP_EXHAUSTED && service_now(svc) < b->warm_until_us)
		g->status = FP_AGAIN;
	if (g->status == FP_OK) {
		fp_counter_add(svc->counters.grants_given, 1);
		fp_counter_add(svc->counters.tokens, g->tokens);
	} else {
		fp_counter_add(svc->counters.grants_refused, 1);
	}
	service_reply(svc, req, &a);
}

void grants_on_return(struct local_slice *ls, const struct fp_grant_return *m)
{
	struct org_bucket *b = find_bucket(ls, m->org);

	if (b && service_may_act(ls))
		fp_bucket_return(b->bucket, m->grant_id, m->tokens,
				 service_now(ls->svc));
}
