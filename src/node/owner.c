/*
 * owner.c - buckets of organisations at the node that owns them, hosted only
 *
 * An organisation's bucket is at the member whose name ranks highest for it
 * (rendezvous hashing), so a node that starts again has what it had. Nothing is
 * agreed on: nodes that see different members may ask different nodes, and any
 * node may be asked. That adds nothing to the rate, since a bucket has no more
 * than the parts that are committed to it (state/part.h, state/pool.h).
 */
#include "node/owner.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/log.h"
#include "state/pool.h"

/* How often the link to a lost member is tried again. */
#define REDIAL_US (500 * FP_US_PER_MS)
/* Between two lines of what a bucket granted. */
#define REPORT_US FP_US_PER_S
/* An empty bucket speaks of its organisation's use when it has had so much of
 * the rate for so long; the time is twice that in which older grants end. */
#define WARM_PERMILLE 900u
#define WARM_US	      (2 * FP_GRANT_OWNER_US)

struct org_bucket {
	char org[FP_NAME_BYTES];
	struct fp_pool *pool;
	bool ours; /* this node ranks highest */
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
	uint64_t n_made; /* buckets, so that each has its own grant ids */
	struct lost_member *lost;
	uint32_t n_lost;
	uint64_t view; /* counts changes of members and links */
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
	t->owner->view = 1;
}

static bool is_lost(const struct owner *o, const char *addr)
{
	const struct lost_member *l = o->lost;

	while (l && strcmp(l->addr, addr) != 0)
		l = l->next;
	return l != NULL;
}

static uint64_t rank_of(const struct fp_member *m, uint64_t seed)
{
	return XXH3_64bits_withSeed(m->name, strlen(m->name), seed);
}

/* The highest in rank below another rank, or of those that can be asked. */
static const struct fp_member *highest(const struct fp_traffic *t,
				       const char *org, bool reached,
				       uint64_t below)
{
	uint64_t seed = XXH3_64bits(org, strlen(org));
	const struct fp_member *best = NULL;
	uint32_t i;

	for (i = 0; t->members && i < t->members->n; i++) {
		const struct fp_member *m = &t->members->members[i];
		uint64_t rank = rank_of(m, seed);

		if (rank >= below || (best && rank <= rank_of(best, seed)))
			continue;
		if (reached && m->id != t->node_id &&
		    is_lost(t->owner, m->peer_addr))
			continue;
		best = m;
	}
	return best;
}

uint64_t owner_to_ask(const struct fp_traffic *t, const char *org,
		      uint32_t passed_over)
{
	uint64_t seed = XXH3_64bits(org, strlen(org));
	const struct fp_member *m = highest(t, org, true, UINT64_MAX);

	while (m && passed_over--)
		m = highest(t, org, true, rank_of(m, seed));
	return m ? m->id : 0;
}

static struct org_bucket *find(const struct owner *o, const char *org)
{
	struct org_bucket *b = o->buckets;

	while (b && strcmp(b->org, org) != 0)
		b = b->next;
	return b;
}

static struct org_bucket *add(struct fp_traffic *t, const char *org,
			      int64_t now_us)
{
	struct org_bucket *b = calloc(1, sizeof(*b));

	if (!b)
		abort();
	b->pool = fp_pool_init(t->node_id + ++t->owner->n_made, now_us);
	if (!b->pool)
		abort();
	memcpy(b->org, org, strlen(org) + 1);
	b->warm_us = now_us + WARM_US;
	b->reported_us = now_us;
	b->next = t->owner->buckets;
	t->owner->buckets = b;
	return b;
}

static bool is_in_use(struct org_bucket *b, int64_t now_us)
{
	struct fp_pool_view v;

	fp_pool_read(b->pool, now_us, &v);
	return v.in_use;
}

static void own(struct fp_traffic *t, struct org_bucket *b,
		const struct fp_org *org)
{
	b->ours = true;
	fp_log(FP_LOG_INFO, "bucket_owned",
	       "org=%s rate=%u burst=%u members=%u", org->name, org->rate_per_s,
	       org->burst, t->members->n);
}

static bool is_ours(const struct fp_traffic *t, const char *org)
{
	int i = fp_config_find_org(t->config, org);
	const struct fp_member *m;

	if (i < 0 || !t->config->orgs[i].rate_per_s)
		return false;
	m = highest(t, org, false, UINT64_MAX);
	return m && m->id == t->node_id;
}

static void bucket_end(struct org_bucket *b)
{
	fp_pool_end(b->pool);
	free(b);
}

/* Drops buckets of others that hold no part. */
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
		if (is_in_use(b, now_us)) {
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

uint64_t owner_view(const struct fp_traffic *t)
{
	return t->owner->view;
}

void owner_update(struct fp_traffic *t)
{
	int64_t now_us = fresh_now_us(t);
	struct org_bucket *b;
	uint32_t i;

	t->owner->view++;
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
			own(t, b, org);
		fp_pool_set_rate(b->pool, org->rate_per_s, org->burst, now_us);
	}
}

/* --- messages --- */

/* The bucket that is asked for, made if there is none; NULL without a rate. */
static struct org_bucket *bucket_of(struct fp_traffic *t, const char *name,
				    int64_t now_us)
{
	int i = t->config ? fp_config_find_org(t->config, name) : -1;
	struct org_bucket *b = find(t->owner, name);

	if (i < 0 || !t->config->orgs[i].rate_per_s)
		return NULL;
	if (!b)
		b = add(t, name, now_us);
	fp_pool_set_rate(b->pool, t->config->orgs[i].rate_per_s,
			 t->config->orgs[i].burst, now_us);
	return b;
}

/* What is said of a bucket that grants nothing. */
static enum fp_status why_none(const struct fp_traffic *t,
			       const struct org_bucket *b, enum fp_status st,
			       int64_t now_us)
{
	/* Only of a whole bucket it can be said that its rate is used up. */
	if (st == FP_EXHAUSTED)
		return now_us < b->warm_us ? FP_AGAIN : FP_EXHAUSTED;
	/* Parts are on their way to where the members meet. */
	if (st == FP_UNAVAILABLE && b->ours &&
	    fp_right_holds(&t->right, now_us))
		return FP_AGAIN;
	return st;
}

static void answer_ask(struct fp_traffic *t, const struct fp_grant_ask *ask,
		       struct fp_grant_answer *a)
{
	int64_t now_us = fresh_now_us(t);
	struct org_bucket *b = bucket_of(t, ask->org, now_us);
	struct fp_pool_view v;

	memset(a, 0, sizeof(*a));
	a->status = FP_UNAVAILABLE;
	if (!b)
		return;
	fp_pool_read(b->pool, now_us, &v);
	if (v.permille < WARM_PERMILLE)
		b->warm_us = now_us + WARM_US;
	a->status = fp_pool_grant(b->pool, ask->want, now_us, &a->grant_id,
				  &a->tokens, &a->wait_us);
	if (a->status == FP_OK) {
		b->granted += a->tokens;
		return;
	}
	b->refused++;
	a->status = why_none(t, b, a->status, now_us);
}

static void take_return(struct fp_traffic *t, const struct fp_grant_return *r)
{
	struct org_bucket *b = find(t->owner, r->org);

	if (b)
		fp_pool_return(b->pool, r->grant_id, r->tokens,
			       fresh_now_us(t));
}

static void take_commitment(struct fp_traffic *t, uint64_t from,
			    const struct fp_part_commit *m,
			    struct fp_part_answer *a)
{
	int64_t now_us = fresh_now_us(t);
	struct org_bucket *b = bucket_of(t, m->org, now_us);
	struct fp_pool_view v;

	memset(a, 0, sizeof(*a));
	if (b) {
		fp_pool_commit(b->pool, from, &m->commitment, now_us);
		fp_pool_read(b->pool, now_us, &v);
		a->fill_permille = v.fill_permille;
	}
	memcpy(a->org, m->org, sizeof(a->org));
	a->stamp_us = now_us;
}

enum fp_status owner_message(struct fp_traffic *t, struct fp_peer_link *link,
			     const struct fp_msg_shared *m)
{
	uint64_t from = fp_peer_identity(link)->id;
	struct fp_msg_shared a = { .id = m->id };

	switch (m->type) {
	case FP_MSG_GRANT_ASK:
		a.type = FP_MSG_GRANT_ANSWER;
		answer_ask(t, &m->grant_ask, &a.grant_answer);
		/* An answer that is lost is asked for again. */
		traffic_send_on(link, &a);
		return FP_OK;
	case FP_MSG_GRANT_RETURN:
		take_return(t, &m->grant_return);
		return FP_OK;
	case FP_MSG_GRANT_ANSWER:
		tokens_answer(t, m->id, &m->grant_answer);
		return FP_OK;
	case FP_MSG_PART_COMMIT:
		a.type = FP_MSG_PART_ANSWER;
		take_commitment(t, from, &m->part_commit, &a.part_answer);
		traffic_send_on(link, &a);
		return FP_OK;
	case FP_MSG_PART_ANSWER:
		tokens_committed(t, from, m->id, &m->part_answer);
		return FP_OK;
	default:
		return FP_INVALID;
	}
}

/* A message of this node to itself; taken in a later round of the loop. */
struct own_message {
	struct fp_traffic *t;
	struct fp_msg_shared m;
};

static void take_own(void *ctx)
{
	struct own_message *k = ctx;
	struct fp_traffic *t = k->t;
	struct fp_grant_answer a;
	struct fp_part_answer p;

	switch (k->m.type) {
	case FP_MSG_GRANT_ASK:
		answer_ask(t, &k->m.grant_ask, &a);
		tokens_answer(t, k->m.id, &a);
		break;
	case FP_MSG_PART_COMMIT:
		take_commitment(t, t->node_id, &k->m.part_commit, &p);
		tokens_committed(t, t->node_id, k->m.id, &p);
		break;
	default:
		take_return(t, &k->m.grant_return);
	}
	free(k);
}

void owner_send(struct fp_traffic *t, uint64_t id,
		const struct fp_msg_shared *m)
{
	const struct fp_member *owner = traffic_member(t, id);
	struct fp_peer_link *link;
	struct own_message *k;

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
	struct fp_pool_view v;
	struct org_bucket *b;

	for (b = t->owner->buckets; b; b = b->next) {
		if (now_us - b->reported_us < REPORT_US)
			continue;
		fp_pool_read(b->pool, now_us, &v);
		if (b->granted || b->refused)
			fp_log(FP_LOG_INFO, "rate_granted",
			       "org=%s tokens=%u refused_asks=%u rate=%u "
			       "span_ms=%" PRId64
			       " ours=%d parts=%u permille=%u members=%u",
			       b->org, b->granted, b->refused, v.rate_per_s,
			       (now_us - b->reported_us) / FP_US_PER_MS,
			       b->ours, v.parts, v.permille,
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
