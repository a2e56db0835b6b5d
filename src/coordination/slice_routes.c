/*
 * slice_routes.c - routes to the owners of slices, and membership of nodes
 *
 * Views spread by gossip. A node that receives a newer view sends it to a few
 * random peers at once. Each second every node also sends a digest to one
 * random peer, which answers with its views that are newer than those of the
 * digest. So a node that neither owns nor backs up a slice does not read
 * its record. Only the few candidates of a slice do, more often while its
 * owner is not known to be alive.
 *
 * A route may be outdated. The node that receives the request then answers
 * FP_UNAVAILABLE and sends its newest view. A view that rests on consent and is
 * not stored yet spreads without a version, and serves as a route only.
 *
 * Proof of termination. A process that authenticated with the fleet's secret
 * and listens at an address proves that any earlier process of that address has
 * terminated: no two processes can listen there, and a node closes its listener
 * only when it ends. Ids begin with the start time, so the process with the
 * higher id started later. Without this order, a delayed hello of the earlier
 * process would count as proof that the live one has terminated.
 */
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "coordination/slice_private.h"

/* Interval between digests, and while no view is known at all. */
#define DIGEST_INTERVAL_US FP_US_PER_S
#define DIGEST_NO_VIEW_US  (100 * FP_US_PER_MS)
/* This node takes over no slice before the membership has been known for this
 * time. */
#define MEMBERS_SETTLE_US (2 * FP_US_PER_S)
/* A process missing from the member table counts as dead once membership is
 * known for this long. */
#define ABSENT_DEAD_US (5 * FP_US_PER_S)
/* An unreachable address counts as dead after UNREACHABLE_DEAD_US. It is
 * retried each RETRY_INTERVAL_US and forgotten UNREACHABLE_FORGET_US after its
 * last failure. */
#define UNREACHABLE_DEAD_US   FP_US_PER_S
#define RETRY_INTERVAL_US     (2 * FP_US_PER_S)
#define UNREACHABLE_FORGET_US (10 * FP_US_PER_S)
/* Random peers that get a newly learned view. */
#define FANOUT 3
/* Nodes of highest score that may take over a slice without owner. */
#define CANDIDATES 2

/* A number that grows with each change of a view that affects routes. */
static uint64_t generation(const struct fp_view_record *r)
{
	return r->epoch << 1 | (r->backup_ready ? 1 : 0);
}

static bool is_terminated(const struct fp_slice_service *svc, uint64_t id)
{
	uint32_t n = svc->n_terminated < TERMINATED_IDS ? svc->n_terminated :
							  TERMINATED_IDS;
	uint32_t i;

	for (i = 0; i < n; i++)
		if (svc->terminated[i] == id)
			return true;
	return false;
}

static const struct fp_member *find_member(const struct fp_slice_service *svc,
					   uint64_t id)
{
	uint32_t i;

	for (i = 0; svc->members && i < svc->members->n; i++)
		if (svc->members->members[i].id == id)
			return &svc->members->members[i];
	return NULL;
}

static struct unreachable *find_unreachable(struct fp_slice_service *svc,
					    const char *addr)
{
	uint32_t i;

	for (i = 0; i < MAX_UNREACHABLE; i++)
		if (strcmp(svc->unreachable[i].addr, addr) == 0)
			return &svc->unreachable[i];
	return NULL;
}

/* Returns for how long an address has been unreachable; -1: it is reachable. */
static int64_t unreachable_us(const struct fp_slice_service *svc,
			      const char *addr)
{
	int64_t now_us = service_now(svc);
	uint32_t i;

	for (i = 0; i < MAX_UNREACHABLE; i++) {
		const struct unreachable *u = &svc->unreachable[i];

		if (u->failed && strcmp(u->addr, addr) == 0 &&
		    now_us - u->last_us < UNREACHABLE_FORGET_US)
			return now_us - u->since_us;
	}
	return -1;
}

/* Returns a free entry, or else the one with the oldest failure. */
static struct unreachable *oldest_unreachable(struct fp_slice_service *svc)
{
	struct unreachable *u = &svc->unreachable[0];
	uint32_t i;

	for (i = 1; i < MAX_UNREACHABLE && u->addr[0] != '\0'; i++)
		if (svc->unreachable[i].addr[0] == '\0' ||
		    svc->unreachable[i].last_us < u->last_us)
			u = &svc->unreachable[i];
	return u;
}

void routes_peer_down(struct fp_slice_service *svc, const char *addr,
		      bool was_up)
{
	int64_t now_us = service_now(svc);
	struct unreachable *u;

	if (addr[0] == '\0')
		return;
	u = find_unreachable(svc, addr);
	if (!u) {
		u = oldest_unreachable(svc);
		memset(u, 0, sizeof(*u));
		strncpy(u->addr, addr, sizeof(u->addr) - 1);
	}
	u->last_us = now_us;
	if (was_up || u->failed)
		return;
	u->failed = true;
	u->since_us = now_us;
}

void routes_mark_reachable(struct fp_slice_service *svc, const char *addr)
{
	struct unreachable *u = find_unreachable(svc, addr);

	if (u)
		memset(u, 0, sizeof(*u));
}

/* Whether a member may be chosen as backup or counted as candidate. */
static bool is_eligible(const struct fp_slice_service *svc,
			const struct fp_member *m)
{
	return !m->suspected && !is_terminated(svc, m->id) &&
	       unreachable_us(svc, m->control_addr) < 0;
}

enum fp_slice_member routes_member(const struct fp_slice_service *svc,
				   uint64_t id)
{
	const struct fp_member *m = find_member(svc, id);
	int64_t known_us;
	int64_t down_us;

	if (is_terminated(svc, id))
		return FP_SLICE_MEMBER_TERMINATED;
	if (id == svc->host.self.id)
		return FP_SLICE_MEMBER_ALIVE;
	if (m) {
		down_us = unreachable_us(svc, m->control_addr);
		if (down_us >= UNREACHABLE_DEAD_US)
			return FP_SLICE_MEMBER_DEAD;
		return m->suspected || down_us >= 0 ? FP_SLICE_MEMBER_SUSPECT :
						      FP_SLICE_MEMBER_ALIVE;
	}
	known_us = service_now(svc) - svc->members_since_us;
	return svc->members && known_us >= ABSENT_DEAD_US ?
		       FP_SLICE_MEMBER_DEAD :
		       FP_SLICE_MEMBER_UNKNOWN;
}

bool routes_pick_backup(const struct fp_slice_service *svc, uint32_t slice,
			uint64_t not_id, struct fp_slice_node *out)
{
	const struct fp_member *best = NULL;
	const struct fp_member *m;
	uint64_t best_score = 0;
	uint64_t score;
	uint32_t i;

	for (i = 0; svc->members && i < svc->members->n; i++) {
		m = &svc->members->members[i];
		score = fp_slice_score(slice, m->control_addr);
		if (m->id == svc->host.self.id || m->id == not_id ||
		    !is_eligible(svc, m) ||
		    strcmp(m->failure_domain, svc->domain) == 0 ||
		    (best && score <= best_score))
			continue;
		best = m;
		best_score = score;
	}
	if (!best)
		return false;
	memset(out, 0, sizeof(*out));
	out->id = best->id;
	memcpy(out->address, best->control_addr, sizeof(best->control_addr));
	return true;
}

/* Whether this node is among the eligible nodes of highest score. */
bool routes_is_candidate(const struct fp_slice_service *svc, uint32_t slice)
{
	uint64_t own = fp_slice_score(slice, svc->host.self.address);
	const struct fp_member *m;
	uint32_t above = 0;
	uint32_t i;

	if (!svc->members ||
	    service_now(svc) - svc->members_since_us < MEMBERS_SETTLE_US)
		return false;
	for (i = 0; i < svc->members->n; i++) {
		m = &svc->members->members[i];
		if (m->id != svc->host.self.id && is_eligible(svc, m) &&
		    fp_slice_score(slice, m->control_addr) > own)
			above++;
	}
	return above < CANDIDATES;
}

const char *routes_primary_address(struct local_slice *ls)
{
	const struct fp_view_node *p = &ls->route.primary;

	if (p->id == 0)
		return NULL;
	if (p->address[0] != '\0')
		return p->address;
	return service_address(ls->svc, p->id);
}

/* --- gossip --- */

static void send_view(struct fp_slice_service *svc, const char *addr,
		      const struct fp_msg_view *m)
{
	msgpack_sbuffer buf;

	msgpack_sbuffer_init(&buf);
	fp_msg_view_encode(m, &buf);
	svc->ops.send(svc->ops.ctx, addr, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/* Sends newly learned views to a few random peers. */
static void push_views(struct fp_slice_service *svc,
		       const struct fp_msg_view *views)
{
	const char *addrs[FANOUT];
	uint32_t n;

	if (views->n_records == 0)
		return;
	n = svc->ops.peers(svc->ops.ctx, addrs, FANOUT);
	while (n > 0)
		send_view(svc, addrs[--n], views);
}

void routes_send_view(struct local_slice *ls, const char *addr)
{
	struct fp_msg_view m = { .type = FP_MSG_VIEW_RECORDS, .n_records = 1 };

	if (ls->route.epoch == 0)
		return;
	m.records[0] = ls->route;
	send_view(ls->svc, addr, &m);
}

static void copy_node(struct fp_slice_service *svc, struct fp_view_node *to,
		      const struct fp_slice_node *from)
{
	const char *addr = from->address;

	memset(to, 0, sizeof(*to));
	to->id = from->id;
	if (addr[0] == '\0' && from->id != 0)
		addr = service_address(svc, from->id);
	if (addr)
		memcpy(to->address, addr, strlen(addr) + 1);
}

/* Copies the view of the slice's state machine; false if it has none. */
static bool own_view(struct local_slice *ls, struct fp_view_record *r)
{
	struct fp_slice_view v;

	memset(r, 0, sizeof(*r));
	if (!fp_slice_get_view(&ls->slice, &v, &r->version) || v.epoch == 0)
		return false;
	if (!fp_slice_view_is_stored(&ls->slice))
		r->version = 0;
	r->slice = ls->slice.index;
	r->epoch = v.epoch;
	copy_node(ls->svc, &r->primary, &v.primary);
	copy_node(ls->svc, &r->backup, &v.backup);
	r->backup_ready = v.backup_ready;
	r->renewals = v.renewals;
	return true;
}

/* Updates routes from this node's state machines and spreads newer views. */
static void spread_own_views(struct fp_slice_service *svc)
{
	struct fp_msg_view views = { .type = FP_MSG_VIEW_RECORDS };
	struct fp_view_record r;
	uint32_t i;

	for (i = 0; i < FP_SLICES; i++) {
		struct local_slice *ls = &svc->slices[i];
		bool newer;

		if (!own_view(ls, &r))
			continue;
		newer = generation(&r) > generation(&ls->route);
		if (newer || (generation(&r) == generation(&ls->route) &&
			      r.version > ls->route.version))
			ls->route = r;
		if (newer)
			views.records[views.n_records++] = r;
	}
	push_views(svc, &views);
}

void routes_on_handover(struct fp_slice_service *svc,
			const struct fp_msg_slice *handover)
{
	struct fp_msg_view m = { .type = FP_MSG_VIEW_RECORDS };
	uint32_t i;

	spread_own_views(svc);
	/* The previous owner forwards the views to nodes that still send it
	 * requests. */
	for (i = 0; i < handover->n_items; i++) {
		const struct local_slice *ls =
			&svc->slices[handover->items[i].slice];

		if (ls->route.epoch > handover->items[i].epoch &&
		    m.n_records < FP_SLICES)
			m.records[m.n_records++] = ls->route;
	}
	if (m.n_records > 0 && svc->sender_addr)
		send_view(svc, svc->sender_addr, &m);
}

static void send_digest(struct fp_slice_service *svc, const char *addr)
{
	struct fp_msg_view m = { .type = FP_MSG_VIEW_DIGEST };
	uint32_t i;

	for (i = 0; i < FP_SLICES; i++)
		m.generations[i] = generation(&svc->slices[i].route);
	send_view(svc, addr, &m);
}

/* Retries addresses whose links ended or failed, by sending a digest. */
static void retry_unreachable(struct fp_slice_service *svc, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < MAX_UNREACHABLE; i++) {
		struct unreachable *u = &svc->unreachable[i];

		if (u->addr[0] == '\0' ||
		    now_us - u->tried_us < RETRY_INTERVAL_US)
			continue;
		if (now_us - u->last_us >= UNREACHABLE_FORGET_US) {
			memset(u, 0, sizeof(*u));
			continue;
		}
		u->tried_us = now_us;
		send_digest(svc, u->addr);
	}
}

void routes_tick(struct fp_slice_service *svc)
{
	int64_t now_us = service_now(svc);
	const char *addr;
	int64_t span_us = DIGEST_NO_VIEW_US;
	uint32_t i;

	spread_own_views(svc);
	retry_unreachable(svc, now_us);
	for (i = 0; i < FP_SLICES; i++)
		if (svc->slices[i].route.epoch != 0)
			span_us = DIGEST_INTERVAL_US;
	if (now_us - svc->digest_us < span_us)
		return;
	svc->digest_us = now_us;
	if (svc->ops.peers(svc->ops.ctx, &addr, 1) > 0)
		send_digest(svc, addr);
}

static void on_digest(struct fp_slice_service *svc, const char *addr,
		      const struct fp_msg_view *m)
{
	struct fp_msg_view out = { .type = FP_MSG_VIEW_RECORDS };
	uint32_t i;

	for (i = 0; i < FP_SLICES; i++)
		if (generation(&svc->slices[i].route) > m->generations[i])
			out.records[out.n_records++] = svc->slices[i].route;
	if (out.n_records > 0)
		send_view(svc, addr, &out);
}

static void on_records(struct fp_slice_service *svc,
		       const struct fp_msg_view *m)
{
	struct fp_msg_view views = { .type = FP_MSG_VIEW_RECORDS };
	uint32_t i;

	for (i = 0; i < m->n_records; i++) {
		const struct fp_view_record *r = &m->records[i];
		struct local_slice *ls = &svc->slices[r->slice];

		if (generation(r) <= generation(&ls->route))
			continue;
		ls->route = *r;
		views.records[views.n_records++] = *r;
		if (r->version != 0)
			service_learn_view(ls, r);
	}
	push_views(svc, &views);
}

void routes_message(struct fp_slice_service *svc, const char *addr,
		    const struct fp_msg_view *m)
{
	if (m->type == FP_MSG_VIEW_DIGEST)
		on_digest(svc, addr, m);
	else
		on_records(svc, m);
}

static void add_terminated(struct fp_slice_service *svc, uint64_t id)
{
	if (id == 0 || id == svc->host.self.id || is_terminated(svc, id))
		return;
	svc->terminated[svc->n_terminated++ % TERMINATED_IDS] = id;
	fp_log(FP_LOG_INFO, "process_terminated", "id=%016llx",
	       (unsigned long long)id);
}

/* Records that n has terminated if the later process id has its address. */
static void prove_terminated(struct fp_slice_service *svc,
			     const struct fp_slice_node *n, uint64_t id,
			     const char *addr)
{
	if (n->id < id && strcmp(n->address, addr) == 0)
		add_terminated(svc, n->id);
}

void routes_peer_up(struct fp_slice_service *svc, uint64_t id, const char *addr)
{
	struct fp_slice_view v;
	uint64_t version;
	uint32_t i;

	if (is_terminated(svc, id))
		return;
	routes_mark_reachable(svc, addr);
	for (i = 0; svc->members && i < svc->members->n; i++) {
		const struct fp_member *m = &svc->members->members[i];

		if (m->id < id && strcmp(m->control_addr, addr) == 0)
			add_terminated(svc, m->id);
	}
	for (i = 0; i < FP_SLICES; i++) {
		if (!fp_slice_get_view(&svc->slices[i].slice, &v, &version))
			continue;
		prove_terminated(svc, &v.primary, id, addr);
		prove_terminated(svc, &v.backup, id, addr);
	}
}
