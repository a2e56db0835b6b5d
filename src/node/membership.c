/*
 * membership.c - fleet membership of this node: sockets, joining, snapshots
 *
 * Probes and gossip are sent as datagrams, long member lists over control
 * links. A starting node finds other nodes through the addresses in its
 * settings and through the join records in the store. There is one join record
 * per failure domain, maintained by the delegates of that domain. The load of
 * the store is therefore one write per change of a domain's record and an
 * occasional listing, independent of the number of nodes.
 *
 * Delegates read the records of all domains every LIST_US. This also merges
 * groups of nodes that found each other but not the rest of the fleet.
 */
#include "node/membership.h"

#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "coordination/reach.h"
#include "transport/datagram.h"

#define JOIN_PREFIX "fulmarpass/join/"
/* Interval of join attempts while the node is new or alone. */
#define JOIN_US (500 * FP_US_PER_MS)
/* Interval at which delegates list the join records otherwise. */
#define LIST_US (15 * FP_US_PER_S)
/* A new node lists the records every JOIN_US for this time, since the first
 * peers it finds may be new as well. */
#define SETTLE_US (5 * FP_US_PER_S)
/* Shortest time between two writes of the domain's join record. */
#define RECORD_US (2 * FP_US_PER_S)
/* Maximum number of addresses in a join record, and the size of its text,
 * including NUL. */
#define RECORD_ADDRS 4
#define RECORD_BYTES 512
/* Maximum number of members of one failure domain that are considered, and of
 * dead members that are kept. */
#define MAX_DOMAIN	 1024
#define MAX_DEAD_MEMBERS 1024

struct dead_member {
	uint64_t id;
	int64_t since_us;
};

struct membership {
	struct fp_swim_host host; /* first member */
	struct fp_loop *loop;
	const struct fp_settings *settings;
	struct fp_store *store;
	struct membership_ops ops;
	struct fp_datagram *socket;
	struct fp_swim *swim;
	bool changed; /* since the last published table */
	bool delegate; /* of this node's failure domain */
	bool list_busy; /* a listing of the join records is in progress */
	bool record_busy; /* a write of the join record is in progress */
	int64_t started_us;
	int64_t listed_us; /* start of the last listing */
	int64_t recorded_us; /* start of the last write of the join record */
	uint64_t record_version; /* of the domain's join record */
	char record[RECORD_BYTES]; /* its last known text */
	uint32_t worker_starts; /* instances of the worker seen so far */
	char worker_instance[FP_INSTANCE_BYTES];
	/* Members declared dead in the last FP_DEAD_COUNTED_US without proof
	 * that their process has ended. */
	struct dead_member dead[MAX_DEAD_MEMBERS];
	uint32_t n_dead;
	struct fp_counter *alive;
	struct fp_counter *serving; /* workers */
	struct fp_counter *suspect;
};

static struct membership *from_host(struct fp_swim_host *h)
{
	return (struct membership *)h;
}

/* --- callbacks of the protocol --- */

static void on_send(struct fp_swim_host *h, const char *address, uint16_t port,
		    const uint8_t *buf, size_t len, bool bulk)
{
	struct membership *m = from_host(h);
	char addr[FP_MEMBER_ADDR_BYTES];

	if (!bulk) {
		fp_datagram_send(m->socket, address, port, buf, len);
		return;
	}
	snprintf(addr, sizeof(addr), "%.15s:%u", address, port);
	m->ops.send_link(m->ops.ctx, addr, buf, len);
}

static void remove_dead(struct membership *m, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < m->n_dead; i++)
		if (m->dead[i].id == id)
			m->dead[i--] = m->dead[--m->n_dead];
}

static void on_changed(struct fp_swim_host *h, const struct fp_swim_member *p)
{
	static const char *const states[] = { "alive", "suspect", "dead",
					      "left" };
	struct membership *m = from_host(h);

	m->changed = true;
	remove_dead(m, p->id);
	if (p->state == FP_MEMBER_DEAD && m->n_dead < MAX_DEAD_MEMBERS) {
		m->dead[m->n_dead].id = p->id;
		m->dead[m->n_dead].since_us = fp_loop_now_us(m->loop);
		m->n_dead++;
	}
	fp_log(FP_LOG_INFO, "member", "name=%s state=%s worker=%d slots=%u",
	       p->name, states[p->state], p->worker, p->slots);
}

/* Slices are notified elsewhere, when the link of the successor process comes
 * up (fp_slice_service_peer_up()). */
static void on_ended(struct fp_swim_host *h, uint64_t id)
{
	struct membership *m = from_host(h);

	m->changed = true;
	remove_dead(m, id);
}

static void on_status(struct fp_swim_host *h, uint64_t id,
		      const struct fp_swim_status *st)
{
	struct membership *m = from_host(h);
	const struct fp_swim_member *p = fp_swim_find(m->swim, id);
	char addr[FP_MEMBER_ADDR_BYTES];

	if (!p)
		return;
	snprintf(addr, sizeof(addr), "%.15s:%u", p->address, p->control_port);
	m->ops.status(m->ops.ctx, addr, st);
}

static uint32_t on_random_u32(struct fp_swim_host *h)
{
	(void)h;
	return randombytes_random();
}

static const struct fp_swim_ops swim_ops = {
	.send = on_send,
	.changed = on_changed,
	.ended = on_ended,
	.status = on_status,
	.random_u32 = on_random_u32,
};

/* --- joining --- */

/* Joins the fleet through addr ("IP:PORT"); false if it is malformed or this
 * node's own address. */
static bool join_addr(struct membership *m, const char *addr)
{
	char address[FP_ADDRESS_BYTES];
	const char *colon = strrchr(addr, ':');
	size_t n = colon ? (size_t)(colon - addr) : 0;
	long port;

	if (!n || n >= sizeof(address))
		return false;
	memcpy(address, addr, n);
	address[n] = '\0';
	port = strtol(colon + 1, NULL, 10);
	if (port <= 0 || port > UINT16_MAX ||
	    (strcmp(address, m->settings->address) == 0 &&
	     port == m->settings->control_port))
		return false;
	fp_swim_join(m->swim, address, (uint16_t)port);
	return true;
}

static bool is_only_member(const struct membership *m)
{
	struct fp_swim_counts c;

	fp_swim_count(m->swim, &c);
	return c.alive + c.suspect < 2;
}

static bool is_live_addr(const struct membership *m, const char *addr);

static void join_record(struct membership *m, const char *value)
{
	json_t *list = json_loads(value, 0, NULL);
	const char *addr;
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		addr = json_string_value(json_array_get(list, i));
		if (addr && !is_live_addr(m, addr))
			join_addr(m, addr);
	}
	json_decref(list);
}

static void on_list(void *ctx, enum fp_status st,
		    const struct fp_store_entry *entries, size_t n)
{
	struct membership *m = ctx;
	const char *domain;
	size_t i;

	m->list_busy = false;
	if (st != FP_OK)
		return;
	for (i = 0; i < n; i++) {
		join_record(m, entries[i].value);
		domain = entries[i].key + strlen(JOIN_PREFIX);
		if (strcmp(domain, m->settings->failure_domain) != 0)
			continue;
		m->record_version = entries[i].version;
		snprintf(m->record, sizeof(m->record), "%s", entries[i].value);
	}
}

static void find_peers(struct membership *m, int64_t now_us)
{
	bool only_member = is_only_member(m);
	bool settling = only_member || now_us - m->started_us < SETTLE_US;
	uint32_t i;

	if (m->list_busy ||
	    now_us - m->listed_us < (settling ? JOIN_US : LIST_US))
		return;
	m->listed_us = now_us;
	for (i = 0; only_member && i < m->settings->n_seeds; i++)
		join_addr(m, m->settings->seeds[i]);
	if (!settling && !m->delegate)
		return;
	m->list_busy = true;
	m->store->ops->list(m->store, JOIN_PREFIX, on_list, m);
}

/* --- the domain's join record --- */

/* Live members of this node's failure domain, collected from the protocol. */
struct domain_list {
	const struct membership *m;
	uint64_t ids[MAX_DOMAIN];
	const struct fp_swim_member *members[MAX_DOMAIN];
	uint32_t n;
};

static void add_to_domain(void *ctx, const struct fp_swim_member *p)
{
	struct domain_list *d = ctx;

	if (p->state > FP_MEMBER_SUSPECT || d->n == MAX_DOMAIN ||
	    strcmp(p->failure_domain, d->m->settings->failure_domain) != 0)
		return;
	d->ids[d->n] = p->id;
	d->members[d->n++] = p;
}

static int by_address(const void *a, const void *b)
{
	const struct fp_swim_member *const *x = a;
	const struct fp_swim_member *const *y = b;

	return strcmp((*x)->address, (*y)->address);
}

static void record_text(struct domain_list *d, char text[RECORD_BYTES])
{
	json_t *list = json_array();
	char addr[FP_MEMBER_ADDR_BYTES];
	uint32_t i;
	size_t n;

	qsort(d->members, d->n, sizeof(struct fp_swim_member *), by_address);
	for (i = 0; i < d->n && i < RECORD_ADDRS; i++) {
		snprintf(addr, sizeof(addr), "%.15s:%u", d->members[i]->address,
			 d->members[i]->control_port);
		json_array_append_new(list, json_string(addr));
	}
	n = json_dumpb(list, text, RECORD_BYTES - 1, JSON_COMPACT);
	text[n < RECORD_BYTES ? n : 0] = '\0';
	json_decref(list);
}

static void on_recorded(void *ctx, const struct fp_store_result *r)
{
	struct membership *m = ctx;

	m->record_busy = false;
	if (r->status == FP_OK) {
		m->record_version = r->version;
		return;
	}
	/* The stored record is unknown: read it again before the next write. */
	m->record[0] = '\0';
	m->listed_us = 0;
}

static void write_record(struct membership *m, struct domain_list *d,
			 int64_t now_us)
{
	char key[FP_STORE_KEY_BYTES];
	char text[RECORD_BYTES];

	if (!m->delegate || m->record_busy || m->list_busy ||
	    now_us - m->recorded_us < RECORD_US)
		return;
	record_text(d, text);
	if (!text[0] || strcmp(text, m->record) == 0)
		return;
	m->recorded_us = now_us;
	m->record_busy = true;
	memcpy(m->record, text, sizeof(m->record));
	snprintf(key, sizeof(key), JOIN_PREFIX "%s",
		 m->settings->failure_domain);
	m->store->ops->cas(m->store, key, text, m->record_version, on_recorded,
			   m);
}

static void update_domain(struct membership *m, int64_t now_us)
{
	struct domain_list *d = calloc(1, sizeof(*d));
	bool delegate;

	if (!d)
		abort();
	d->m = m;
	fp_swim_each(m->swim, add_to_domain, d);
	delegate =
		fp_reach_is_delegate(fp_swim_self(m->swim)->id, d->ids, d->n);
	if (delegate != m->delegate) {
		m->delegate = delegate;
		m->ops.delegate(m->ops.ctx, delegate);
	}
	write_record(m, d, now_us);
	free(d);
}

/* --- snapshots --- */

static void fill_member(struct fp_member *to, const struct fp_swim_member *p)
{
	to->id = p->id;
	memcpy(to->name, p->name, sizeof(to->name));
	memcpy(to->failure_domain, p->failure_domain,
	       sizeof(to->failure_domain));
	memcpy(to->region, p->region, sizeof(to->region));
	memcpy(to->service, p->service, sizeof(to->service));
	snprintf(to->peer_addr, sizeof(to->peer_addr), "%.15s:%u", p->address,
		 p->peer_port);
	snprintf(to->control_addr, sizeof(to->control_addr), "%.15s:%u",
		 p->address, p->control_port);
	to->slots = p->slots;
	to->serving = p->worker == FP_WORKER_SERVING;
	to->suspected = p->state == FP_MEMBER_SUSPECT;
}

static void add_to_table(void *ctx, const struct fp_swim_member *p)
{
	struct fp_member_table *t = ctx;

	if (p->state <= FP_MEMBER_SUSPECT)
		fill_member(&t->members[t->n++], p);
}

static void publish(struct membership *m)
{
	struct fp_swim_counts c;
	struct fp_member_table *t;
	int64_t serving = 0;
	uint32_t i;

	m->changed = false;
	fp_swim_count(m->swim, &c);
	fp_counter_set(m->alive, c.alive);
	fp_counter_set(m->suspect, c.suspect);
	t = calloc(1,
		   sizeof(*t) + (c.alive + c.suspect) * sizeof(t->members[0]));
	if (!t)
		abort();
	fp_swim_each(m->swim, add_to_table, t);
	for (i = 0; i < t->n; i++)
		serving += t->members[i].serving;
	fp_counter_set(m->serving, serving);
	m->ops.table(m->ops.ctx, t);
}

struct addr_search {
	const char *addr;
	bool found;
};

static void match_addr(void *ctx, const struct fp_swim_member *p)
{
	struct addr_search *s = ctx;
	char addr[FP_MEMBER_ADDR_BYTES];

	if (p->state > FP_MEMBER_SUSPECT)
		return;
	snprintf(addr, sizeof(addr), "%.15s:%u", p->address, p->control_port);
	if (strcmp(addr, s->addr) == 0)
		s->found = true;
}

static bool is_live_addr(const struct membership *m, const char *addr)
{
	struct addr_search s = { .addr = addr };

	fp_swim_each(m->swim, match_addr, &s);
	return s.found;
}

/* --- interface --- */

static void on_datagram(void *ctx, const char *address, uint16_t port,
			const uint8_t *data, size_t bytes)
{
	struct membership *m = ctx;

	fp_swim_message(m->swim, address, port, data, bytes,
			fp_loop_now_us(m->loop));
}

enum fp_status membership_message(struct membership *m, const char *from,
				  const uint8_t *data, size_t bytes)
{
	char address[FP_ADDRESS_BYTES];
	const char *colon = strrchr(from, ':');
	size_t n = colon ? (size_t)(colon - from) : 0;

	if (!n || n >= sizeof(address))
		return fp_fail(FP_INVALID, "peer address is not IP:PORT");
	memcpy(address, from, n);
	address[n] = '\0';
	return fp_swim_message(m->swim, address,
			       (uint16_t)strtol(colon + 1, NULL, 10), data,
			       bytes, fp_loop_now_us(m->loop));
}

void membership_worker(struct membership *m, const struct fp_worker *w)
{
	enum fp_worker_state state = FP_WORKER_SERVING;

	if (strcmp(w->instance, m->worker_instance) != 0) {
		m->worker_starts++;
		memcpy(m->worker_instance, w->instance,
		       sizeof(m->worker_instance));
	}
	if (!w->serving)
		state = FP_WORKER_LEAVING;
	fp_swim_set_worker(m->swim, state, w->slots, m->worker_starts,
			   fp_loop_now_us(m->loop));
	m->changed = true;
}

void membership_set_secrets(struct membership *m, const struct fp_settings *s)
{
	fp_datagram_set_secrets(m->socket, s->secrets, s->n_secrets);
}

void membership_set_status(struct membership *m,
			   const struct fp_swim_status *st)
{
	fp_swim_set_status(m->swim, st);
}

static void expire_dead(struct membership *m, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < m->n_dead; i++)
		if (now_us - m->dead[i].since_us > FP_DEAD_COUNTED_US)
			m->dead[i--] = m->dead[--m->n_dead];
}

void membership_tick(struct membership *m, int64_t now_us)
{
	fp_swim_tick(m->swim, now_us);
	expire_dead(m, now_us);
	find_peers(m, now_us);
	update_domain(m, now_us);
	if (m->changed)
		publish(m);
}

enum fp_member_state membership_state(const struct membership *m, uint64_t id,
				      bool *known)
{
	const struct fp_swim_member *p = fp_swim_find(m->swim, id);

	*known = p != NULL;
	return p ? p->state : FP_MEMBER_DEAD;
}

bool membership_is_isolated(const struct membership *m, int64_t store_age_us)
{
	struct fp_swim_counts c;

	fp_swim_count(m->swim, &c);
	return fp_reach_is_isolated(store_age_us, c.alive,
				    c.alive + c.suspect + m->n_dead);
}

void membership_leave(struct membership *m)
{
	fp_swim_leave(m->swim, fp_loop_now_us(m->loop));
}

bool membership_has_left(const struct membership *m)
{
	return fp_swim_has_left(m->swim);
}

void membership_count(const struct membership *m, struct fp_swim_counts *c)
{
	fp_swim_count(m->swim, c);
}

static void fill_self(const struct fp_settings *s, uint64_t node_id,
		      struct fp_swim_member *p)
{
	memset(p, 0, sizeof(*p));
	p->id = node_id;
	memcpy(p->name, s->name, sizeof(p->name));
	memcpy(p->address, s->address, sizeof(p->address));
	memcpy(p->failure_domain, s->failure_domain, sizeof(p->failure_domain));
	memcpy(p->region, s->region, sizeof(p->region));
	memcpy(p->service, s->service, sizeof(p->service));
	p->http_port = s->http_port;
	p->peer_port = s->peer_port;
	p->control_port = s->control_port;
}

enum fp_status membership_init(struct fp_loop *l, const struct fp_settings *s,
			       uint64_t node_id, struct fp_store *store,
			       struct fp_counters *cs,
			       const struct membership_ops *ops,
			       struct membership **out)
{
	struct membership *m = calloc(1, sizeof(*m));
	struct fp_swim_member self;
	enum fp_status st;

	if (!m)
		return fp_fail(FP_NOMEM, "out of memory");
	m->host.ops = &swim_ops;
	m->loop = l;
	m->settings = s;
	m->store = store;
	m->ops = *ops;
	m->changed = true;
	m->started_us = fp_loop_now_us(l);
	m->listed_us = m->started_us - LIST_US;
	m->recorded_us = fp_loop_now_us(l) - RECORD_US + JOIN_US;
	m->serving = fp_counter_get(cs, "fulmar_workers_serving", "");
	m->alive = fp_counter_get(cs, "fulmar_members_alive", "");
	m->suspect = fp_counter_get(cs, "fulmar_members_suspect", "");
	fill_self(s, node_id, &self);
	m->swim = fp_swim_init(&m->host, &self, fp_loop_now_us(l));
	if (!m->swim) {
		free(m);
		return fp_fail(FP_NOMEM, "out of memory");
	}
	st = fp_datagram_init(l, s->address, s->control_port, cs, on_datagram,
			      m, &m->socket);
	if (st != FP_OK) {
		membership_end(m);
		return st;
	}
	membership_set_secrets(m, s);
	*out = m;
	return FP_OK;
}

void membership_end(struct membership *m)
{
	if (!m)
		return;
	fp_datagram_end(m->socket);
	fp_swim_end(m->swim);
	free(m);
}
