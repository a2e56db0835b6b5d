/*
 * owner.c - token buckets of organisations at their owner, hosted only
 *
 * An organisation's bucket is owned by the member whose name has the highest
 * rendezvous hash for it, so a restarted node owns the same buckets again: from
 * the moment that its link shows the new process, if that is earlier than the
 * member table does.
 * There is no agreement on the owner: nodes with different member tables may
 * send requests to different nodes, and every node answers them. This does not
 * increase the total rate, because a bucket earns no more than the rate shares
 * committed to it (state/rate_share.h, state/pool.h).
 */
#include "node/owner.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "node/owner_rank.h"
#include "state/pool.h"

/* Interval of attempts to reconnect to a disconnected member. */
#define REDIAL_US (500 * FP_US_PER_MS)
/* Interval of log lines about the grants of a bucket. */
#define REPORT_US FP_US_PER_S
/* An empty bucket counts as evidence that its organisation exceeds its rate
 * only after it has held at least WARM_RATE_PERMILLE of the rate for
 * WARM_UP_US. Grants of a previous owner expire within half of that time. */
#define WARM_RATE_PERMILLE 900u
#define WARM_UP_US	   (2 * FP_GRANT_OWNER_US)

struct org_bucket {
	char org[FP_NAME_BYTES];
	struct fp_pool *pool;
	bool owned; /* this node is the highest-ranked member */
	int64_t warm_us; /* an empty bucket is evidence from this time on */
	uint32_t granted; /* tokens, since the last log line */
	uint32_t refused; /* requests, since the last log line */
	int64_t reported_us; /* time of the last log line */
	struct org_bucket *next;
};

/* A member whose link was up and went down. */
struct disconnected_member {
	char addr[FP_MEMBER_ADDR_BYTES];
	struct disconnected_member *next;
};

/* A process that was found at a member's address, later than the one that the
 * member table has there. */
struct restarted_member {
	uint64_t id;
	char addr[FP_MEMBER_ADDR_BYTES];
	struct restarted_member *next;
};

struct owner {
	struct org_bucket *buckets;
	/* buckets created so far: gives each its own epoch, so that grant ids
	 * are unique */
	uint64_t n_created;
	struct disconnected_member *disconnected;
	uint32_t n_disconnected;
	struct restarted_member *restarted;
	uint64_t view; /* counts changes of members and links */
	int64_t dialed_us; /* last reconnect attempt */
};

static int64_t clock_now_us(const struct fp_traffic *t)
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

static bool is_disconnected(const struct owner *o, const char *addr)
{
	const struct disconnected_member *d = o->disconnected;

	while (d && strcmp(d->addr, addr) != 0)
		d = d->next;
	return d != NULL;
}

static bool is_unreachable(void *ctx, const struct fp_member *m)
{
	const struct fp_traffic *t = ctx;

	return m->id != t->node_id && is_disconnected(t->owner, m->peer_addr);
}

/* Returns the highest-ranked member for an organisation among those that are
 * connected and have a rank less than below. */
static const struct fp_member *
highest_connected(struct fp_traffic *t, const char *org, uint64_t below)
{
	return t->members ? owner_rank_highest(t->members, org, below,
					       is_unreachable, t) :
			    NULL;
}

/* Returns the entry of an address at which a later process than that of the
 * member table was found. */
static const struct restarted_member *find_restarted(const struct owner *o,
						     const char *addr)
{
	const struct restarted_member *r = o->restarted;

	while (r && strcmp(r->addr, addr) != 0)
		r = r->next;
	return r;
}

uint64_t owner_select(struct fp_traffic *t, const char *org, uint32_t n_skipped)
{
	const struct fp_member *m = highest_connected(t, org, UINT64_MAX);
	const struct restarted_member *r;

	while (m && n_skipped--)
		m = highest_connected(t, org, owner_rank_of(m, org));
	if (!m)
		return 0;
	r = find_restarted(t->owner, m->peer_addr);
	return r && r->id > m->id ? r->id : m->id;
}

static struct org_bucket *find_bucket(const struct owner *o, const char *org)
{
	struct org_bucket *b = o->buckets;

	while (b && strcmp(b->org, org) != 0)
		b = b->next;
	return b;
}

static struct org_bucket *add_bucket(struct fp_traffic *t, const char *org,
				     int64_t now_us)
{
	struct org_bucket *b = calloc(1, sizeof(*b));

	if (!b)
		abort();
	b->pool = fp_pool_init(t->node_id + ++t->owner->n_created, now_us);
	if (!b->pool)
		abort();
	memcpy(b->org, org, strlen(org) + 1);
	b->warm_us = now_us + WARM_UP_US;
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

static void take_ownership(struct fp_traffic *t, struct org_bucket *b,
			   const struct fp_org *org)
{
	b->owned = true;
	fp_log(FP_LOG_INFO, "bucket_owned",
	       "org=%s rate=%u burst=%u members=%u", org->name, org->rate_per_s,
	       org->burst, t->members->n);
}

static bool is_owner(const struct fp_traffic *t, const char *org)
{
	int i = fp_config_find_org(t->config, org);
	const struct fp_member *m;

	if (i < 0 || !t->config->orgs[i].rate_per_s)
		return false;
	m = owner_rank_highest(t->members, org, UINT64_MAX, NULL, NULL);
	return m && m->id == t->node_id;
}

static void bucket_end(struct org_bucket *b)
{
	fp_pool_end(b->pool);
	free(b);
}

/* Frees buckets that this node does not own and that hold no rate share. */
static void drop_unowned(struct fp_traffic *t, int64_t now_us)
{
	struct org_bucket **at = &t->owner->buckets;
	struct org_bucket *b;

	while ((b = *at)) {
		if (is_owner(t, b->org)) {
			at = &b->next;
			continue;
		}
		if (b->owned)
			fp_log(FP_LOG_INFO, "bucket_released", "org=%s",
			       b->org);
		b->owned = false;
		if (is_in_use(b, now_us)) {
			at = &b->next;
			continue;
		}
		*at = b->next;
		bucket_end(b);
	}
}

/* Frees the entries of disconnected nodes that are no longer members. */
static void drop_disconnected(struct fp_traffic *t)
{
	struct disconnected_member **at = &t->owner->disconnected;
	struct disconnected_member *d;
	uint32_t i;

	while ((d = *at)) {
		for (i = 0; i < t->members->n; i++)
			if (strcmp(t->members->members[i].peer_addr, d->addr) ==
			    0)
				break;
		if (i < t->members->n) {
			at = &d->next;
			continue;
		}
		*at = d->next;
		free(d);
		t->owner->n_disconnected--;
	}
}

static uint64_t member_id_at(const struct fp_traffic *t, const char *addr)
{
	uint64_t id = 0;
	uint32_t i;

	for (i = 0; t->members && i < t->members->n; i++)
		if (t->members->members[i].id > id &&
		    strcmp(t->members->members[i].peer_addr, addr) == 0)
			id = t->members->members[i].id;
	return id;
}

/* Frees the entries of processes that the member table has, and of addresses
 * that are no longer in it. */
static void drop_restarted(struct fp_traffic *t)
{
	struct restarted_member **at = &t->owner->restarted;
	struct restarted_member *r;
	uint64_t id;

	while ((r = *at)) {
		id = member_id_at(t, r->addr);
		if (id && id < r->id) {
			at = &r->next;
			continue;
		}
		*at = r->next;
		free(r);
	}
}

/* Notes a process whose link came up and which the member table does not have
 * yet; returns whether that changes the owners. */
static bool note_restarted(struct fp_traffic *t,
			   const struct fp_peer_identity *who)
{
	uint64_t known = member_id_at(t, who->addr);
	struct restarted_member *r;

	if (!known || known >= who->id)
		return false;
	for (r = t->owner->restarted; r; r = r->next)
		if (strcmp(r->addr, who->addr) == 0)
			break;
	if (!r) {
		r = calloc(1, sizeof(*r));
		if (!r)
			abort();
		memcpy(r->addr, who->addr, sizeof(r->addr));
		r->next = t->owner->restarted;
		t->owner->restarted = r;
	}
	if (r->id >= who->id)
		return false;
	r->id = who->id;
	return true;
}

uint64_t owner_view(const struct fp_traffic *t)
{
	return t->owner->view;
}

void owner_update(struct fp_traffic *t)
{
	int64_t now_us = clock_now_us(t);
	struct org_bucket *b;
	uint32_t i;

	t->owner->view++;
	if (!t->config || !t->members)
		return;
	drop_disconnected(t);
	drop_restarted(t);
	drop_unowned(t, now_us);
	for (i = 0; i < t->config->n_orgs; i++) {
		const struct fp_org *org = &t->config->orgs[i];

		if (!is_owner(t, org->name))
			continue;
		b = find_bucket(t->owner, org->name);
		if (!b)
			b = add_bucket(t, org->name, now_us);
		if (!b->owned)
			take_ownership(t, b, org);
		fp_pool_set_rate(b->pool, org->rate_per_s, org->burst, now_us);
	}
}

/* --- messages --- */

/* Finds or creates the bucket of an organisation; NULL if it has no rate. */
static struct org_bucket *find_or_add_bucket(struct fp_traffic *t,
					     const char *name, int64_t now_us)
{
	int i = t->config ? fp_config_find_org(t->config, name) : -1;
	struct org_bucket *b = find_bucket(t->owner, name);

	if (i < 0 || !t->config->orgs[i].rate_per_s)
		return NULL;
	if (!b)
		b = add_bucket(t, name, now_us);
	fp_pool_set_rate(b->pool, t->config->orgs[i].rate_per_s,
			 t->config->orgs[i].burst, now_us);
	return b;
}

/* The status sent to the requester when the bucket refused with st. */
static enum fp_status refusal_status(const struct fp_traffic *t,
				     const struct org_bucket *b,
				     enum fp_status st, int64_t now_us)
{
	/* An empty bucket is evidence that the organisation has used up its
	 * rate only from warm_us on; see WARM_UP_US. */
	if (st == FP_EXHAUSTED)
		return now_us < b->warm_us ? FP_AGAIN : FP_EXHAUSTED;
	/* This node owns the bucket, so the other nodes will commit their rate
	 * shares to it soon. */
	if (st == FP_UNAVAILABLE && b->owned &&
	    fp_share_is_valid(&t->share_validity, now_us))
		return FP_AGAIN;
	return st;
}

static void handle_token_request(struct fp_traffic *t,
				 const struct fp_grant_request *request,
				 struct fp_grant_response *a)
{
	int64_t now_us = clock_now_us(t);
	struct org_bucket *b = find_or_add_bucket(t, request->org, now_us);
	struct fp_pool_view v;

	memset(a, 0, sizeof(*a));
	a->status = FP_UNAVAILABLE;
	if (!b)
		return;
	fp_pool_read(b->pool, now_us, &v);
	if (v.committed_permille < WARM_RATE_PERMILLE)
		b->warm_us = now_us + WARM_UP_US;
	a->status = fp_pool_grant(b->pool, request->want, now_us, &a->grant_id,
				  &a->tokens, &a->wait_us);
	if (a->status == FP_OK) {
		b->granted += a->tokens;
		return;
	}
	b->refused++;
	a->status = refusal_status(t, b, a->status, now_us);
}

static void handle_return(struct fp_traffic *t, const struct fp_grant_return *r)
{
	struct org_bucket *b = find_bucket(t->owner, r->org);

	if (b)
		fp_pool_return(b->pool, r->grant_id, r->tokens,
			       clock_now_us(t));
}

static void handle_commitment(struct fp_traffic *t, uint64_t from,
			      const struct fp_rate_share_commit *m,
			      struct fp_rate_share_response *a)
{
	int64_t now_us = clock_now_us(t);
	struct org_bucket *b = find_or_add_bucket(t, m->org, now_us);
	struct fp_pool_view v;

	memset(a, 0, sizeof(*a));
	if (b) {
		fp_pool_commit(b->pool, from, &m->commitment, now_us);
		fp_pool_read(b->pool, now_us, &v);
		a->fill_permille = v.fill_permille;
	}
	memcpy(a->org, m->org, sizeof(a->org));
	a->owner_clock_us = now_us;
}

enum fp_status owner_message(struct fp_traffic *t, struct fp_peer_link *link,
			     const struct fp_msg_shared *m)
{
	uint64_t from = fp_peer_identity(link)->id;
	struct fp_msg_shared a = { .id = m->id };

	switch (m->type) {
	case FP_MSG_GRANT_REQUEST:
		a.type = FP_MSG_GRANT_RESPONSE;
		handle_token_request(t, &m->grant_request, &a.grant_response);
		/* A requester without a response sends a new request. */
		traffic_send_on(link, &a);
		return FP_OK;
	case FP_MSG_GRANT_RETURN:
		handle_return(t, &m->grant_return);
		return FP_OK;
	case FP_MSG_GRANT_RESPONSE:
		tokens_handle_grant(t, m->id, &m->grant_response);
		return FP_OK;
	case FP_MSG_RATE_SHARE_COMMIT:
		a.type = FP_MSG_RATE_SHARE_RESPONSE;
		handle_commitment(t, from, &m->share_commit, &a.share_response);
		traffic_send_on(link, &a);
		return FP_OK;
	case FP_MSG_RATE_SHARE_RESPONSE:
		tokens_handle_commit(t, from, m->id, &m->share_response);
		return FP_OK;
	default:
		return FP_INVALID;
	}
}

/* A message of this node to itself, handled in a later loop iteration. */
struct local_message {
	struct fp_traffic *t;
	struct fp_msg_shared m;
};

static void handle_local(void *ctx)
{
	struct local_message *k = ctx;
	struct fp_traffic *t = k->t;
	struct fp_grant_response a;
	struct fp_rate_share_response p;

	switch (k->m.type) {
	case FP_MSG_GRANT_REQUEST:
		handle_token_request(t, &k->m.grant_request, &a);
		tokens_handle_grant(t, k->m.id, &a);
		break;
	case FP_MSG_RATE_SHARE_COMMIT:
		handle_commitment(t, t->node_id, &k->m.share_commit, &p);
		tokens_handle_commit(t, t->node_id, k->m.id, &p);
		break;
	default:
		handle_return(t, &k->m.grant_return);
	}
	free(k);
}

/* Returns the address of a process; NULL if it is not known. */
static const char *address_of(const struct fp_traffic *t, uint64_t id)
{
	const struct fp_member *m = traffic_member(t, id);
	const struct restarted_member *r = t->owner->restarted;

	if (m)
		return m->peer_addr;
	while (r && r->id != id)
		r = r->next;
	return r ? r->addr : NULL;
}

void owner_send(struct fp_traffic *t, uint64_t id,
		const struct fp_msg_shared *m)
{
	const char *addr = address_of(t, id);
	struct fp_peer_link *link;
	struct local_message *k;

	if (!addr)
		return;
	if (id != t->node_id) {
		link = fp_peer_link_to(t->peers, addr);
		if (link)
			traffic_send_on(link, m);
		return;
	}
	k = malloc(sizeof(*k));
	if (!k)
		abort();
	k->t = t;
	k->m = *m;
	fp_loop_post(t->loop, handle_local, k);
}

/* --- links --- */

static void set_connected(struct fp_traffic *t, const char *addr, bool up)
{
	struct disconnected_member **at = &t->owner->disconnected;
	struct disconnected_member *d;

	while (*at && strcmp((*at)->addr, addr) != 0)
		at = &(*at)->next;
	if (up ? !*at : *at != NULL)
		return;
	if (up) {
		d = *at;
		*at = d->next;
		free(d);
		t->owner->n_disconnected--;
	} else {
		d = calloc(1, sizeof(*d));
		if (!d)
			abort();
		strncpy(d->addr, addr, sizeof(d->addr) - 1);
		*at = d;
		t->owner->n_disconnected++;
	}
	owner_update(t);
}

void owner_link(struct fp_traffic *t, const struct fp_peer_identity *who,
		bool up)
{
	if (up && note_restarted(t, who))
		owner_update(t);
	set_connected(t, who->addr, up);
}

static void report_grants(struct fp_traffic *t)
{
	int64_t now_us = clock_now_us(t);
	struct fp_pool_view v;
	struct org_bucket *b;

	for (b = t->owner->buckets; b; b = b->next) {
		if (now_us - b->reported_us < REPORT_US)
			continue;
		fp_pool_read(b->pool, now_us, &v);
		if (b->granted || b->refused)
			fp_log(FP_LOG_INFO, "rate_granted",
			       "org=%s tokens=%u refused_requests=%u rate=%u "
			       "span_ms=%" PRId64
			       " owned=%d shares=%u permille=%u members=%u",
			       b->org, b->granted, b->refused, v.rate_per_s,
			       (now_us - b->reported_us) / FP_US_PER_MS,
			       b->owned, v.n_shares, v.committed_permille,
			       t->members ? t->members->n : 0);
		b->granted = 0;
		b->refused = 0;
		b->reported_us = now_us;
	}
}

void owner_tick(struct fp_traffic *t, int64_t now_us)
{
	struct fp_peer_link *link;
	struct disconnected_member *d;

	report_grants(t);
	if (!t->owner->disconnected || now_us - t->owner->dialed_us < REDIAL_US)
		return;
	t->owner->dialed_us = now_us;
	for (d = t->owner->disconnected; d; d = d->next) {
		link = fp_peer_link_to(t->peers, d->addr);
		/* Two nodes may have had two links, only one of which went
		 * down. set_connected() changes the list, so the remaining
		 * entries are handled at the next attempt. */
		if (link && fp_peer_is_up(link)) {
			set_connected(t, d->addr, true);
			return;
		}
	}
}

void owner_end(struct fp_traffic *t)
{
	struct org_bucket *b;
	struct disconnected_member *d;
	struct restarted_member *r;

	if (!t->owner)
		return;
	while ((b = t->owner->buckets)) {
		t->owner->buckets = b->next;
		bucket_end(b);
	}
	while ((d = t->owner->disconnected)) {
		t->owner->disconnected = d->next;
		free(d);
	}
	while ((r = t->owner->restarted)) {
		t->owner->restarted = r->next;
		free(r);
	}
	free(t->owner);
}
