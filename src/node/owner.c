/*
 * owner.c - buckets of organisations at the node that owns them, hosted only
 *
 * The owner of an organisation's bucket is the member whose name ranks highest
 * for it (rendezvous hashing), so a node that starts again owns what it owned.
 * Nothing is agreed on: two nodes that see different members for a moment may
 * both think that they are the owner. What that can add is bounded, because
 *
 *	- a bucket starts empty and has the whole rate only once the grants of
 *	  the owner before have ended;
 *	- a node that the owner does not answer has an equal part of the rate
 *	  only, and an owner that lost the link to a member leaves its part out;
 *	- a node that lost the link to the owner asks the next in rank, who is
 *	  not the owner in its own view, or not yet, and grants no more than the
 *	  parts of those that asked it lately (state/pool.h).
 */
#include "node/owner.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/log.h"
#include "state/bucket.h"
#include "state/pool.h"

/* How often the link to a lost member is tried again. */
#define REDIAL_US (500 * FP_US_PER_MS)
/* Between two lines of what a bucket granted. */
#define REPORT_US FP_US_PER_S
/* How long an empty bucket of a new owner does not speak of its organisation's
 * use; half of this is the wait for grants of the owner before. */
#define WARM_US (2 * FP_GRANT_OWNER_US)

struct org_bucket {
	char org[FP_NAME_BYTES];
	struct fp_bucket *bucket;
	struct fp_pool *pool; /* of those that asked */
	uint32_t rate_per_s; /* of the bucket now */
	bool ours; /* this node ranks highest */
	int64_t whole_us; /* from here on, if ours, it has the whole rate */
	int64_t warm_us; /* from here on an empty bucket was emptied */
	uint32_t granted; /* tokens, since the last line */
	uint32_t refused; /* asks, since then */
	int64_t reported_us; /* when grants had their last line */
	struct org_bucket *next;
};

/* A member whose link was up and is not any more. */
struct lost_member {
	char addr[FP_MEMBER_ADDR_BYTES];
	struct lost_member *next;
};

struct owner {
	struct org_bucket *buckets;
	struct lost_member *lost;
	uint32_t n_lost;
	int64_t dialed_us;
};

static int64_t fresh_now_us(const struct fp_traffic *t)
{
	return fp_mono_us(t->clock);
}

void owner_init(struct fp_traffic *t)
{
	t->owner = calloc(1, sizeof(*t->owner));
	if (!t->owner)
		abort();
}

static bool is_lost(const struct owner *o, const char *addr)
{
	const struct lost_member *l = o->lost;

	while (l && strcmp(l->addr, addr) != 0)
		l = l->next;
	return l != NULL;
}

/* The highest in rank, or of those that can be asked. */
static uint64_t highest(const struct fp_traffic *t, const char *org,
			bool reached)
{
	uint64_t seed = XXH3_64bits(org, strlen(org));
	uint64_t best = 0;
	uint64_t id = 0;
	uint32_t i;

	for (i = 0; t->members && i < t->members->n; i++) {
		const struct fp_member *m = &t->members->members[i];
		uint64_t rank =
			XXH3_64bits_withSeed(m->name, strlen(m->name), seed);

		if (id && rank <= best)
			continue;
		if (reached && m->id != t->node_id &&
		    is_lost(t->owner, m->peer_addr))
			continue;
		best = rank;
		id = m->id;
	}
	return id;
}

uint64_t owner_to_ask(const struct fp_traffic *t, const char *org)
{
	return highest(t, org, true);
}

static struct org_bucket *find(const struct owner *o, const char *org)
{
	struct org_bucket *b = o->buckets;

	while (b && strcmp(b->org, org) != 0)
		b = b->next;
	return b;
}

/* The rate less the equal parts of members that are on their own. */
static uint32_t rate_here(const struct fp_traffic *t, uint32_t rate_per_s)
{
	uint32_t n = t->members ? t->members->n : 1;
	uint32_t lost = t->owner->n_lost < n ? t->owner->n_lost : n - 1;
	uint32_t rate = (uint32_t)((uint64_t)rate_per_s * (n - lost) / n);

	return rate || !rate_per_s ? rate : 1;
}

/* Gives a bucket the rate that it has now: whole, or the parts in its pool. */
static void set_rate(struct fp_traffic *t, struct org_bucket *b,
		     const struct fp_org *org, int64_t now_us)
{
	uint32_t n = t->members ? t->members->n : 1;
	uint32_t parts = fp_pool_parts(b->pool, now_us);
	uint32_t burst = org->burst;

	b->rate_per_s = rate_here(t, org->rate_per_s);
	if (!b->ours || now_us < b->whole_us) {
		parts = parts < n ? parts : n;
		b->rate_per_s =
			(uint32_t)((uint64_t)org->rate_per_s * parts / n);
		burst = (uint32_t)((uint64_t)burst * parts / n);
		burst = burst ? burst : 1;
	}
	fp_bucket_set_rate(b->bucket, b->rate_per_s, burst, now_us);
}

static struct org_bucket *add(struct fp_traffic *t, const char *org,
			      int64_t now_us)
{
	struct org_bucket *b = calloc(1, sizeof(*b));

	if (!b)
		abort();
	b->bucket = fp_bucket_init(0, 0, t->node_id, now_us);
	b->pool = fp_pool_init();
	if (!b->bucket || !b->pool)
		abort();
	memcpy(b->org, org, strlen(org) + 1);
	b->reported_us = now_us;
	b->next = t->owner->buckets;
	t->owner->buckets = b;
	return b;
}

static void own(struct fp_traffic *t, struct org_bucket *b,
		const struct fp_org *org, int64_t now_us)
{
	b->ours = true;
	b->whole_us = now_us + FP_GRANT_OWNER_US;
	b->warm_us = now_us + WARM_US;
	fp_log(FP_LOG_INFO, "bucket_owned",
	       "org=%s rate=%u burst=%u members=%u", org->name, org->rate_per_s,
	       org->burst, t->members->n);
}

static bool is_ours(const struct fp_traffic *t, const char *org)
{
	int i = fp_config_find_org(t->config, org);

	return i >= 0 && t->config->orgs[i].rate_per_s &&
	       highest(t, org, false) == t->node_id;
}

static void bucket_end(struct org_bucket *b)
{
	fp_bucket_end(b->bucket);
	fp_pool_end(b->pool);
	free(b);
}

/* Drops buckets of others that nobody asks for. */
static void drop_others(struct fp_traffic *t, int64_t now_us)
{
	struct org_bucket **at = &t->owner->buckets;
	struct org_bucket *b;

	while ((b = *at)) {
		if (is_ours(t, b->org)) {
			at = &b->next;
			continue;
		}
		if (b->ours)
			fp_log(FP_LOG_INFO, "bucket_left", "org=%s", b->org);
		b->ours = false;
		if (fp_pool_parts(b->pool, now_us) > 0) {
			at = &b->next;
			continue;
		}
		*at = b->next;
		bucket_end(b);
	}
}

/* Forgets lost members that are none any more. */
static void drop_lost(struct fp_traffic *t)
{
	struct lost_member **at = &t->owner->lost;
	struct lost_member *l;
	uint32_t i;

	while ((l = *at)) {
		for (i = 0; i < t->members->n; i++)
			if (strcmp(t->members->members[i].peer_addr, l->addr) ==
			    0)
				break;
		if (i < t->members->n) {
			at = &l->next;
			continue;
		}
		*at = l->next;
		free(l);
		t->owner->n_lost--;
	}
}

void owner_update(struct fp_traffic *t)
{
	int64_t now_us = fresh_now_us(t);
	struct org_bucket *b;
	uint32_t i;

	if (!t->config || !t->members)
		return;
	drop_lost(t);
	drop_others(t, now_us);
	for (i = 0; i < t->config->n_orgs; i++) {
		const struct fp_org *org = &t->config->orgs[i];

		if (!is_ours(t, org->name))
			continue;
		b = find(t->owner, org->name);
		if (!b)
			b = add(t, org->name, now_us);
		if (!b->ours)
			own(t, b, org, now_us);
		set_rate(t, b, org, now_us);
	}
}

/* --- messages --- */

static void answer_ask(struct fp_traffic *t, uint64_t from,
		       const struct fp_grant_ask *ask,
		       struct fp_grant_answer *a)
{
	int i = t->config ? fp_config_find_org(t->config, ask->org) : -1;
	struct org_bucket *b = find(t->owner, ask->org);
	int64_t now_us = fresh_now_us(t);

	memset(a, 0, sizeof(*a));
	a->status = FP_UNAVAILABLE;
	if (i < 0 || !t->config->orgs[i].rate_per_s)
		return;
	if (!b)
		b = add(t, ask->org, now_us);
	fp_pool_join(b->pool, from, now_us);
	set_rate(t, b, &t->config->orgs[i], now_us);
	if (!b->rate_per_s)
		return; /* parts below one a second are spent where they are */
	a->status = fp_bucket_grant(b->bucket, ask->want, now_us, &a->grant_id,
				    &a->tokens, &a->wait_us);
	if (a->status == FP_OK)
		b->granted += a->tokens;
	else
		b->refused++;
	/* Only of a whole bucket it can be said that its rate is used up. */
	if (a->status == FP_EXHAUSTED && (!b->ours || now_us < b->warm_us))
		a->status = FP_AGAIN;
}

static void take_return(struct fp_traffic *t, const struct fp_grant_return *r)
{
	struct org_bucket *b = find(t->owner, r->org);

	if (b)
		fp_bucket_return(b->bucket, r->grant_id, r->tokens,
				 fresh_now_us(t));
}

enum fp_status owner_message(struct fp_traffic *t, struct fp_peer_link *link,
			     const struct fp_msg_shared *m)
{
	struct fp_msg_shared a = { .type = FP_MSG_GRANT_ANSWER };

	switch (m->type) {
	case FP_MSG_GRANT_ASK:
		a.id = m->id;
		answer_ask(t, fp_peer_identity(link)->id, &m->grant_ask,
			   &a.grant_answer);
		/* An answer that is lost is asked for again. */
		traffic_send_on(link, &a);
		return FP_OK;
	case FP_MSG_GRANT_RETURN:
		take_return(t, &m->grant_return);
		return FP_OK;
	case FP_MSG_GRANT_ANSWER:
		tokens_answer(t, m->id, &m->grant_answer);
		return FP_OK;
	default:
		return FP_INVALID;
	}
}

/* An ask of this node itself; answered in a later round of the loop. */
struct own_ask {
	struct fp_traffic *t;
	struct fp_msg_shared m;
};

static void take_own(void *ctx)
{
	struct own_ask *k = ctx;
	struct fp_grant_answer a;

	if (k->m.type == FP_MSG_GRANT_ASK) {
		answer_ask(k->t, k->t->node_id, &k->m.grant_ask, &a);
		tokens_answer(k->t, k->m.id, &a);
	} else {
		take_return(k->t, &k->m.grant_return);
	}
	free(k);
}

void owner_send(struct fp_traffic *t, uint64_t id,
		const struct fp_msg_shared *m)
{
	const struct fp_member *owner = traffic_member(t, id);
	struct fp_peer_link *link;
	struct own_ask *k;

	if (!owner)
		return;
	if (id != t->node_id) {
		link = fp_peer_link_to(t->peers, owner->peer_addr);
		if (link)
			traffic_send_on(link, m);
		return;
	}
	k = malloc(sizeof(*k));
	if (!k)
		abort();
	k->t = t;
	k->m = *m;
	fp_loop_post(t->loop, take_own, k);
}

/* --- links --- */

void owner_link(struct fp_traffic *t, const char *addr, bool up)
{
	struct lost_member **at = &t->owner->lost;
	struct lost_member *l;

	while (*at && strcmp((*at)->addr, addr) != 0)
		at = &(*at)->next;
	if (up ? !*at : *at != NULL)
		return;
	if (up) {
		l = *at;
		*at = l->next;
		free(l);
		t->owner->n_lost--;
	} else {
		l = calloc(1, sizeof(*l));
		if (!l)
			abort();
		strncpy(l->addr, addr, sizeof(l->addr) - 1);
		*at = l;
		t->owner->n_lost++;
	}
	owner_update(t);
}

static void report_grants(struct fp_traffic *t)
{
	int64_t now_us = fresh_now_us(t);
	struct org_bucket *b;

	for (b = t->owner->buckets; b; b = b->next) {
		if (now_us - b->reported_us < REPORT_US)
			continue;
		if (b->granted || b->refused)
			fp_log(FP_LOG_INFO, "rate_granted",
			       "org=%s tokens=%u refused_asks=%u rate=%u "
			       "span_ms=%" PRId64
			       " ours=%d parts=%u members=%u",
			       b->org, b->granted, b->refused, b->rate_per_s,
			       (now_us - b->reported_us) / FP_US_PER_MS,
			       b->ours, fp_pool_parts(b->pool, now_us),
			       t->members ? t->members->n : 0);
		b->granted = 0;
		b->refused = 0;
		b->reported_us = now_us;
	}
}

void owner_tick(struct fp_traffic *t, int64_t now_us)
{
	struct fp_peer_link *link;
	struct lost_member *l;

	report_grants(t);
	if (!t->owner->lost || now_us - t->owner->dialed_us < REDIAL_US)
		return;
	t->owner->dialed_us = now_us;
	for (l = t->owner->lost; l; l = l->next) {
		link = fp_peer_link_to(t->peers, l->addr);
		/* A pair may have had two links, of which one went down. This
		 * changes the list; the others' turn is the next one. */
		if (link && fp_peer_is_up(link)) {
			owner_link(t, l->addr, true);
			return;
		}
	}
}

void owner_end(struct fp_traffic *t)
{
	struct org_bucket *b;
	struct lost_member *l;

	if (!t->owner)
		return;
	while ((b = t->owner->buckets)) {
		t->owner->buckets = b->next;
		bucket_end(b);
	}
	while ((l = t->owner->lost)) {
		t->owner->lost = l->next;
		free(l);
	}
	free(t->owner);
}
