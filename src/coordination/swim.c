/*
 * swim.c - membership of the fleet by SWIM: probes, suspicion and gossip
 *
 * Each node probes one member a period, in an order that it shuffles after
 * each round, so every member is probed about once a period in a fleet of any
 * size. If the member does not answer, three others probe it on request. If
 * that fails too, the member is suspect, and dead unless it refutes the
 * suspicion with a higher incarnation in time. Dead is an assumption: a dead
 * member may become alive again. Left is final, since ids are new at each
 * start. It is set by the process itself when it ends, or by the process that
 * has its address now. An address is bound by one process at a time, so a
 * process that receives another id with its own address, or a message for
 * another id, has proof that the other process has ended. No other node may
 * decide which of two ids at an address is the later one, because wall clocks
 * may go backwards.
 *
 * Updates are piggybacked on pings and answers and, while there are unsent
 * ones, pushed to a few random members every GOSSIP_US. Each node sends an
 * update O(log n) times, the least often sent first. The end of a member, and
 * a backend server that leaves, are forwarded on receipt.
 *
 * Lists may still differ. Each ping and answer carries a digest; a node fetches
 * the sender's list when the digests have differed for DIGEST_GRACE_US without
 * new updates. A fetched "dead" counts as suspect, so that the two sides of a
 * healed partition do not declare each other dead. To detect that a partition
 * has healed, one dead member is pinged every DEAD_PING_US.
 *
 * A node that was paused, or whose probes fail, first assumes that the fault is
 * its own. After a late tick it drops the running probe and extends all
 * suspicions by the pause. A count of its own failures (health), up to
 * HEALTH_MAX, extends the timeouts of its probes and suspicions.
 */
#include "coordination/swim.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Times, microseconds, and counts of the protocol. */
#define PERIOD_US	  INT64_C(1000000) /* between probes */
#define DIRECT_TIMEOUT_US INT64_C(300000) /* then others probe */
#define N_INDIRECT	  3 /* number of others */
#define REFUTE_US	  INT64_C(2000000) /* to refute; plus REFUTE_LOG_US */
#define REFUTE_LOG_US	  INT64_C(1000000) /* per factor of 10 members */
#define GOSSIP_US	  INT64_C(200000) /* between pushes of new updates */
#define GOSSIP_FANOUT	  3 /* receivers of a push */
#define URGENT_FANOUT	  4 /* receivers of an urgent push */
#define URGENT_SENDS	  4 /* additional sends of an urgent update */
#define SENDS_PER_LOG	  4 /* sends of an update per factor of 10 members */
#define DEAD_PING_US	  INT64_C(5000000) /* between pings of a dead member */
#define SYNC_US		  INT64_C(10000000) /* minimum between list fetches */
#define DIGEST_GRACE_US	  INT64_C(3000000) /* tolerated difference of digests */
#define KEEP_US		  INT64_C(1800000000) /* of dead and left members */
#define SWEEP_US	  INT64_C(60000000) /* between checks for KEEP_US */
#define PAUSE_US	  INT64_C(1000000) /* shortest tick gap of a pause */
#define HEALTH_MAX	  8 /* timeouts grow to 9 times at most */
#define MAX_ENTRIES	  (FP_SWIM_MAX_MEMBERS * 2)
#define MIN_ENTRIES	  32
#define MAX_DRAWS	  16 /* random draws before giving up */

/* A member and the state of its last update. */
struct entry {
	struct fp_swim_member m;
	int64_t since_us; /* start of the present state */
	int64_t suspect_until_us;
	uint64_t in_message; /* number of the last message that contains it */
	uint32_t sends_left; /* of its last update */
};

/* The probe of this period. */
struct probe {
	bool running;
	bool indirect_sent;
	uint64_t target;
	uint64_t correlation;
	int64_t direct_until_us; /* then other members probe it */
	int64_t until_us; /* then the target is suspected */
};

struct fp_swim {
	struct fp_swim_host *host;
	struct entry *entries; /* [0] is this node */
	uint64_t *ids; /* of the entries, contiguous for the search */
	uint32_t n;
	uint32_t capacity;
	uint32_t pending; /* entries with sends_left > 0 */
	int64_t next_expire_us; /* nothing expires before */
	uint64_t n_messages; /* sent so far */
	uint64_t digest; /* of the live members */
	struct fp_swim_status status;

	uint32_t *order; /* of probes: shuffled indices */
	uint32_t n_order;
	uint32_t next_order;
	struct probe probe;
	uint64_t correlation; /* of the last probe */
	int64_t next_probe_us;
	int64_t next_gossip_us;
	int64_t next_dead_ping_us;
	int64_t next_sync_us;
	int64_t ticked_us; /* last tick, to detect a pause */
	int64_t agreed_us; /* last time of equal digests or pending updates */
	/* Raised by own failures, lowered by answered probes; 0: healthy. */
	uint32_t health;
	bool urgent; /* an urgent update must be pushed */
};

static bool is_live(const struct fp_swim_member *m)
{
	return m->state == FP_MEMBER_ALIVE || m->state == FP_MEMBER_SUSPECT;
}

static struct entry *find(const struct fp_swim *s, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < s->n; i++)
		if (s->ids[i] == id)
			return &s->entries[i];
	return NULL;
}

static uint64_t digest_of(const struct fp_swim_member *m)
{
	uint64_t v[2] = { m->id, m->incarnation };

	return is_live(m) ? XXH3_64bits(v, sizeof(v)) : 0;
}

/* Number of decimal digits of the number of members. */
static uint32_t n_digits(const struct fp_swim *s)
{
	uint32_t n = s->n;
	uint32_t l = 1;

	for (; n >= 10; n /= 10)
		l++;
	return l;
}

static int64_t scale_by_health(const struct fp_swim *s, int64_t span_us)
{
	return span_us * (int64_t)(1 + s->health);
}

static void degrade_health(struct fp_swim *s)
{
	if (s->health < HEALTH_MAX)
		s->health++;
}

static void improve_health(struct fp_swim *s)
{
	if (s->health > 0)
		s->health--;
}

static void queue_update(struct fp_swim *s, struct entry *e)
{
	if (e->sends_left == 0)
		s->pending++;
	e->sends_left = SENDS_PER_LOG * n_digits(s);
}

/* Urgent updates are sent before all others, and at once. */
static void queue_urgent(struct fp_swim *s, struct entry *e)
{
	queue_update(s, e);
	e->sends_left += URGENT_SENDS;
	s->urgent = true;
}

static void count_send(struct fp_swim *s, struct entry *e)
{
	if (e->sends_left > 0 && --e->sends_left == 0)
		s->pending--;
}

/* Adds updates, the least often sent first, until the message is full. */
static void add_updates(struct fp_swim *s, struct fp_msg_swim_writer *w)
{
	uint32_t top = SENDS_PER_LOG * n_digits(s) + URGENT_SENDS;
	uint32_t level = s->pending ? top : 0;
	uint32_t i;

	s->n_messages++;
	for (; level > 0; level--) {
		for (i = 0; i < s->n; i++) {
			struct entry *e = &s->entries[i];

			/* sends_left is above top if the fleet has shrunk. */
			if ((e->sends_left != level &&
			     (level != top || e->sends_left < top)) ||
			    e->in_message == s->n_messages)
				continue;
			if (fp_msg_swim_add(w, &e->m,
					    e->m.state != FP_MEMBER_ALIVE))
				return;
			e->in_message = s->n_messages;
			count_send(s, e);
		}
	}
}

/* Sends a datagram with updates. If about is not NULL, its member comes first,
 * also when no update of it is due. */
static void send_datagram(struct fp_swim *s, struct fp_msg_swim *m,
			  const char *address, uint16_t port,
			  const struct entry *about)
{
	struct fp_msg_swim_writer w;
	msgpack_sbuffer out;

	m->from = s->entries[0].m.id;
	m->status = s->status;
	m->members_digest = s->digest;
	fp_msg_swim_begin(&w, FP_MSG_SWIM_DATAGRAM_BYTES);
	if (about)
		fp_msg_swim_add(&w, &about->m,
				about->m.state != FP_MEMBER_ALIVE);
	add_updates(s, &w);
	if (fp_msg_swim_finish(&w, m, &out) == FP_OK)
		s->host->ops->send(s->host, address, port,
				   (const uint8_t *)out.data, out.size, false);
	msgpack_sbuffer_destroy(&out);
}

static void send_to(struct fp_swim *s, struct fp_msg_swim *m,
		    const struct entry *e)
{
	/* A suspect or dead member needs its state to refute it. */
	const struct entry *about = e->m.state != FP_MEMBER_ALIVE ? e : NULL;

	m->to = e->m.id;
	send_datagram(s, m, e->m.address, e->m.control_port, about);
}

static void send_ping(struct fp_swim *s, const struct entry *e,
		      uint64_t correlation, uint64_t origin)
{
	struct fp_msg_swim m = { 0 };

	m.type = FP_MSG_SWIM_PING;
	m.correlation = correlation;
	m.origin = origin;
	m.target = e->m.id;
	send_to(s, &m, e);
}

/* Doubles the capacity; false when out of memory or at MAX_ENTRIES. */
static bool grow(struct fp_swim *s)
{
	uint32_t capacity = s->capacity ? s->capacity * 2 : MIN_ENTRIES;
	struct entry *entries;
	uint64_t *ids;
	uint32_t *order;

	if (capacity > MAX_ENTRIES)
		return false;
	entries = realloc(s->entries, capacity * sizeof(*entries));
	if (!entries)
		return false;
	s->entries = entries;
	ids = realloc(s->ids, capacity * sizeof(*ids));
	if (!ids)
		return false;
	s->ids = ids;
	order = realloc(s->order, capacity * sizeof(*order));
	if (!order)
		return false;
	s->order = order;
	s->capacity = capacity;
	return true;
}

/* Inserts a new member at a random position in the rest of this round. */
static void add_to_order(struct fp_swim *s, uint32_t index)
{
	uint32_t last = s->n_order;
	uint32_t left = last - s->next_order + 1;
	uint32_t at = s->next_order + s->host->ops->random_u32(s->host) % left;

	if (last >= s->capacity)
		return;
	s->order[last] = index;
	s->order[last] = s->order[at];
	s->order[at] = index;
	s->n_order++;
}

static struct entry *add_entry(struct fp_swim *s,
			       const struct fp_swim_member *m, int64_t now_us)
{
	struct entry *e;

	if (s->n == s->capacity && !grow(s))
		return NULL;
	s->ids[s->n] = m->id;
	e = &s->entries[s->n++];
	memset(e, 0, sizeof(*e));
	e->m = *m;
	e->since_us = now_us;
	s->digest ^= digest_of(m);
	add_to_order(s, s->n - 1);
	return e;
}

static bool same_address(const struct fp_swim_member *a,
			 const struct fp_swim_member *b)
{
	return a->control_port == b->control_port &&
	       strcmp(a->address, b->address) == 0;
}

static void mark_left(struct fp_swim *s, struct entry *e, int64_t now_us)
{
	s->digest ^= digest_of(&e->m);
	e->m.state = FP_MEMBER_LEFT;
	e->since_us = now_us;
	queue_urgent(s, e);
	s->host->ops->changed(s->host, &e->m);
	s->host->ops->ended(s->host, e->m.id);
}

/* Queues this node's record; raises its incarnation above the given one. */
static void announce_self(struct fp_swim *s, uint64_t above)
{
	struct entry *e = &s->entries[0];

	s->digest ^= digest_of(&e->m);
	if (e->m.incarnation <= above)
		e->m.incarnation = above + 1;
	s->digest ^= digest_of(&e->m);
	queue_update(s, e);
}

static void set_state_times(struct fp_swim *s, struct entry *e, int64_t now_us)
{
	int64_t span = REFUTE_US + REFUTE_LOG_US * n_digits(s);

	e->since_us = now_us;
	if (e->m.state != FP_MEMBER_SUSPECT)
		return;
	e->suspect_until_us = now_us + scale_by_health(s, span);
	if (e->suspect_until_us < s->next_expire_us)
		s->next_expire_us = e->suspect_until_us;
}

/* Applies a newer update of a known member; a brief one has only state and
 * incarnation. */
static void apply_change(struct fp_swim *s, struct entry *e,
			 const struct fp_swim_member *m, bool brief,
			 int64_t now_us)
{
	enum fp_worker_state worker = e->m.worker;

	if (m->state == FP_MEMBER_LEFT) {
		mark_left(s, e, now_us);
		return;
	}
	s->digest ^= digest_of(&e->m);
	if (brief) {
		e->m.state = m->state;
		e->m.incarnation = m->incarnation;
	} else {
		e->m = *m;
	}
	s->digest ^= digest_of(&e->m);
	set_state_times(s, e, now_us);
	if (worker != e->m.worker && e->m.worker == FP_WORKER_LEAVING)
		queue_urgent(s, e);
	else
		queue_update(s, e);
	s->host->ops->changed(s->host, &e->m);
}

/* Adds a member that has left and was not known before. */
static void add_left_member(struct fp_swim *s, const struct fp_swim_member *m,
			    bool fetched, int64_t now_us)
{
	struct entry *e = add_entry(s, m, now_us);

	if (!e)
		return;
	if (!fetched)
		queue_urgent(s, e);
	s->host->ops->ended(s->host, m->id);
}

static void add_member(struct fp_swim *s, const struct fp_swim_member *m,
		       bool fetched, int64_t now_us)
{
	struct entry *e = add_entry(s, m, now_us);

	if (!e)
		return;
	set_state_times(s, e, now_us);
	if (is_live(m) && !fetched)
		queue_update(s, e);
	s->host->ops->changed(s->host, &e->m);
}

/* Handles an update of this node itself: refutes a wrong state. */
static void handle_own_update(struct fp_swim *s, const struct fp_swim_member *m)
{
	struct fp_swim_member *self = &s->entries[0].m;

	if (self->state == FP_MEMBER_LEFT || m->incarnation < self->incarnation)
		return;
	if (m->state == FP_MEMBER_ALIVE && m->incarnation == self->incarnation)
		return;
	announce_self(s, m->incarnation);
	degrade_health(s);
}

/* Whether an update has this node's address: the process that it describes has
 * ended, since this process has the address now. */
static bool has_own_address(const struct fp_swim *s,
			    const struct fp_swim_member *m, bool brief)
{
	const struct fp_swim_member *self = &s->entries[0].m;

	return !brief && self->state != FP_MEMBER_LEFT && same_address(m, self);
}

/* Applies an update if it is newer than the known state. fetched: it is from a
 * member list, not from gossip. */
static void apply_update(struct fp_swim *s, const struct fp_swim_member *update,
			 bool brief, bool fetched, int64_t now_us)
{
	struct fp_swim_member m = *update;
	struct entry *e = find(s, m.id);

	if (e == &s->entries[0]) {
		handle_own_update(s, &m);
		return;
	}
	if (m.state != FP_MEMBER_LEFT && has_own_address(s, &m, brief)) {
		m.state = FP_MEMBER_LEFT;
		fetched = false;
	}
	if (!e) {
		if (m.state == FP_MEMBER_LEFT)
			add_left_member(s, &m, fetched, now_us);
		else if (!brief)
			add_member(s, &m, fetched, now_us);
		return;
	}
	if (fetched && m.state == FP_MEMBER_DEAD && is_live(&e->m))
		m.state = FP_MEMBER_SUSPECT;
	if (e->m.state == FP_MEMBER_LEFT)
		return;
	if (m.state == FP_MEMBER_LEFT || m.incarnation > e->m.incarnation ||
	    (m.incarnation == e->m.incarnation && m.state > e->m.state))
		apply_change(s, e, &m, brief, now_us);
}

/* Returns a random dead or live member other than not_id, or NULL. */
static struct entry *pick(struct fp_swim *s, bool dead, uint64_t not_id)
{
	uint32_t i;

	for (i = 0; i < MAX_DRAWS && s->n > 1; i++) {
		struct entry *e =
			&s->entries[s->host->ops->random_u32(s->host) % s->n];
		bool fits =
			dead ? e->m.state == FP_MEMBER_DEAD : is_live(&e->m);

		if (fits && e != &s->entries[0] && e->m.id != not_id)
			return e;
	}
	return NULL;
}

static void push_to_some(struct fp_swim *s, uint32_t fanout)
{
	struct fp_msg_swim m = { 0 };
	struct entry *e;

	m.type = FP_MSG_SWIM_PUSH;
	for (; fanout > 0 && s->pending > 0; fanout--) {
		e = pick(s, false, 0);
		if (e)
			send_to(s, &m, e);
	}
}

static void push_urgent(struct fp_swim *s)
{
	if (!s->urgent)
		return;
	s->urgent = false;
	push_to_some(s, URGENT_FANOUT);
}

/* Shuffles the order of probes for the next round. */
static void shuffle(struct fp_swim *s)
{
	uint32_t i;

	s->n_order = s->n;
	s->next_order = 0;
	for (i = 0; i < s->n; i++) {
		uint32_t j = s->host->ops->random_u32(s->host) % (i + 1);

		s->order[i] = s->order[j];
		s->order[j] = i;
	}
}

static struct entry *next_target(struct fp_swim *s)
{
	uint32_t tries;

	for (tries = 0; tries < s->n; tries++) {
		struct entry *e;

		if (s->next_order >= s->n_order)
			shuffle(s);
		if (s->next_order >= s->n_order)
			return NULL;
		e = &s->entries[s->order[s->next_order++] % s->n];
		if (e != &s->entries[0] && is_live(&e->m))
			return e;
	}
	return NULL;
}

static void start_probe(struct fp_swim *s, int64_t now_us)
{
	struct entry *e = next_target(s);

	s->next_probe_us = now_us + PERIOD_US;
	if (!e)
		return;
	s->probe.running = true;
	s->probe.indirect_sent = false;
	s->probe.target = e->m.id;
	s->probe.correlation = ++s->correlation;
	s->probe.direct_until_us =
		now_us + scale_by_health(s, DIRECT_TIMEOUT_US);
	s->probe.until_us = now_us + scale_by_health(s, PERIOD_US);
	send_ping(s, e, s->probe.correlation, s->entries[0].m.id);
}

static void probe_indirectly(struct fp_swim *s)
{
	struct fp_msg_swim m = { 0 };
	struct entry *e;
	int i;

	s->probe.indirect_sent = true;
	m.type = FP_MSG_SWIM_PING_REQ;
	m.correlation = s->probe.correlation;
	m.origin = s->entries[0].m.id;
	m.target = s->probe.target;
	for (i = 0; i < N_INDIRECT; i++) {
		e = pick(s, false, s->probe.target);
		if (e)
			send_to(s, &m, e);
	}
}

static void suspect(struct fp_swim *s, uint64_t id, int64_t now_us)
{
	struct entry *e = find(s, id);
	struct fp_swim_member m;

	if (!e || e->m.state != FP_MEMBER_ALIVE)
		return;
	m = e->m;
	m.state = FP_MEMBER_SUSPECT;
	apply_change(s, e, &m, true, now_us);
}

static void run_probe(struct fp_swim *s, int64_t now_us)
{
	struct probe *p = &s->probe;

	if (p->running && now_us >= p->until_us) {
		p->running = false;
		suspect(s, p->target, now_us);
		degrade_health(s);
	}
	if (p->running && !p->indirect_sent && now_us >= p->direct_until_us)
		probe_indirectly(s);
	if (!p->running && now_us >= s->next_probe_us)
		start_probe(s, now_us);
}

static void remove_entry(struct fp_swim *s, uint32_t i)
{
	if (s->entries[i].sends_left > 0)
		s->pending--;
	s->n--;
	s->entries[i] = s->entries[s->n];
	s->ids[i] = s->ids[s->n];
	s->n_order = 0;
	s->next_order = 0;
}

/* Declares members dead after their time to refute and removes dead and left
 * members after KEEP_US. */
static void expire(struct fp_swim *s, int64_t now_us)
{
	struct fp_swim_member m;
	uint32_t i;

	if (now_us < s->next_expire_us)
		return;
	s->next_expire_us = now_us + SWEEP_US;
	for (i = 1; i < s->n; i++) {
		struct entry *e = &s->entries[i];

		if (e->m.state == FP_MEMBER_SUSPECT &&
		    now_us >= e->suspect_until_us) {
			m = e->m;
			m.state = FP_MEMBER_DEAD;
			apply_change(s, e, &m, true, now_us);
		} else if (e->m.state == FP_MEMBER_SUSPECT &&
			   e->suspect_until_us < s->next_expire_us) {
			s->next_expire_us = e->suspect_until_us;
		} else if (!is_live(&e->m) && now_us - e->since_us >= KEEP_US) {
			remove_entry(s, i--);
		}
	}
}

static void ping_dead(struct fp_swim *s, int64_t now_us)
{
	struct entry *e;

	if (now_us < s->next_dead_ping_us)
		return;
	s->next_dead_ping_us = now_us + DEAD_PING_US;
	e = pick(s, true, 0);
	if (e)
		send_ping(s, e, 0, s->entries[0].m.id);
}

/* A pause of this node is not evidence against other members: drops the running
 * probe and extends all suspicions by the pause. */
static void handle_pause(struct fp_swim *s, int64_t now_us)
{
	int64_t gap = now_us - s->ticked_us;
	uint32_t i;

	s->ticked_us = now_us;
	if (gap < PAUSE_US)
		return;
	s->probe.running = false;
	s->next_probe_us = now_us + PERIOD_US;
	for (i = 1; i < s->n; i++)
		s->entries[i].suspect_until_us += gap;
	degrade_health(s);
}

void fp_swim_tick(struct fp_swim *s, int64_t now_us)
{
	handle_pause(s, now_us);
	if (s->entries[0].m.state != FP_MEMBER_LEFT) {
		run_probe(s, now_us);
		expire(s, now_us);
		ping_dead(s, now_us);
	}
	push_urgent(s);
	if (now_us >= s->next_gossip_us) {
		s->next_gossip_us = now_us + GOSSIP_US;
		push_to_some(s, GOSSIP_FANOUT);
	}
}

static void send_members(struct fp_swim *s, uint64_t to, const char *address,
			 uint16_t port)
{
	struct fp_msg_swim m = { 0 };
	struct fp_msg_swim_writer w;
	msgpack_sbuffer out;
	uint32_t i;

	m.type = FP_MSG_SWIM_MEMBERS;
	m.from = s->entries[0].m.id;
	m.to = to;
	m.status = s->status;
	m.members_digest = s->digest;
	fp_msg_swim_begin(&w, FP_MSG_SWIM_BULK_BYTES);
	for (i = 0; i < s->n; i++) {
		const struct fp_swim_member *e = &s->entries[i].m;

		if (fp_msg_swim_add(&w, e, e->state == FP_MEMBER_LEFT))
			break;
	}
	if (fp_msg_swim_finish(&w, &m, &out) == FP_OK)
		s->host->ops->send(s->host, address, port,
				   (const uint8_t *)out.data, out.size, true);
	msgpack_sbuffer_destroy(&out);
}

void fp_swim_join(struct fp_swim *s, const char *address, uint16_t port)
{
	struct fp_msg_swim m = { 0 };

	m.type = FP_MSG_SWIM_JOIN;
	send_datagram(s, &m, address, port, &s->entries[0]);
}

/* Fetches a member's list when the digests have differed for
 * DIGEST_GRACE_US. */
static void compare_digests(struct fp_swim *s, const struct fp_msg_swim *m,
			    const char *address, uint16_t port, int64_t now_us)
{
	/* An unknown sender shows that this list lacks a member. */
	bool unknown = !find(s, m->from);
	bool same = m->members_digest == s->digest || s->pending > 0;

	if (same && !unknown) {
		s->agreed_us = now_us;
		return;
	}
	if (now_us < s->next_sync_us ||
	    (!unknown && now_us - s->agreed_us < DIGEST_GRACE_US))
		return;
	s->next_sync_us = now_us + SYNC_US;
	fp_swim_join(s, address, port);
}

static void on_ping(struct fp_swim *s, const struct fp_msg_swim *m,
		    const char *address, uint16_t port)
{
	const struct entry *from = find(s, m->from);
	struct fp_msg_swim a = { 0 };

	a.type = FP_MSG_SWIM_ACK;
	a.correlation = m->correlation;
	a.to = m->from;
	a.origin = m->origin;
	a.target = s->entries[0].m.id;
	if (from && from->m.state == FP_MEMBER_ALIVE)
		from = NULL;
	send_datagram(s, &a, address, port, from);
}

static void on_ack(struct fp_swim *s, const struct fp_msg_swim *m)
{
	struct fp_msg_swim a = { 0 };
	const struct entry *e;

	if (m->origin == s->entries[0].m.id) {
		if (!s->probe.running || m->target != s->probe.target ||
		    m->correlation != s->probe.correlation)
			return;
		s->probe.running = false;
		improve_health(s);
		return;
	}
	e = find(s, m->origin);
	if (!e || m->from != m->target)
		return;
	a.type = FP_MSG_SWIM_ACK;
	a.correlation = m->correlation;
	a.origin = m->origin;
	a.target = m->target;
	send_to(s, &a, e);
}

static void on_ping_req(struct fp_swim *s, const struct fp_msg_swim *m)
{
	const struct entry *e = find(s, m->target);

	if (e && e != &s->entries[0])
		send_ping(s, e, m->correlation, m->origin);
}

/* Informs the sender of a message for an earlier process at this address that
 * this process has the address now. */
static void reject_old_id(struct fp_swim *s, uint64_t earlier,
			  const char *address, uint16_t port, int64_t now_us)
{
	struct fp_msg_swim m = { 0 };
	struct fp_swim_member end = { 0 };

	end.id = earlier;
	end.state = FP_MEMBER_LEFT;
	if (s->entries[0].m.state == FP_MEMBER_LEFT)
		return;
	apply_update(s, &end, true, false, now_us);
	m.type = FP_MSG_SWIM_PUSH;
	send_datagram(s, &m, address, port, &s->entries[0]);
}

/* Context of the callback for the updates in a message. */
struct update_ctx {
	struct fp_swim *swim;
	int64_t now_us;
};

static void on_update(void *ctx, const struct fp_msg_swim *head,
		      const struct fp_swim_member *m, bool brief)
{
	struct update_ctx *k = ctx;

	apply_update(k->swim, m, brief, head->type == FP_MSG_SWIM_MEMBERS,
		     k->now_us);
}

static void dispatch(struct fp_swim *s, const struct fp_msg_swim *m,
		     const char *address, uint16_t port, int64_t now_us)
{
	switch (m->type) {
	case FP_MSG_SWIM_PING:
		on_ping(s, m, address, port);
		break;
	case FP_MSG_SWIM_ACK:
		on_ack(s, m);
		break;
	case FP_MSG_SWIM_PING_REQ:
		on_ping_req(s, m);
		break;
	case FP_MSG_SWIM_JOIN:
		send_members(s, m->from, address, port);
		break;
	default:
		break;
	}
	if (m->type == FP_MSG_SWIM_PING || m->type == FP_MSG_SWIM_ACK) {
		s->host->ops->status(s->host, m->from, &m->status);
		compare_digests(s, m, address, port, now_us);
	}
}

enum fp_status fp_swim_message(struct fp_swim *s, const char *address,
			       uint16_t port, const uint8_t *buf, size_t len,
			       int64_t now_us)
{
	struct update_ctx k = { s, now_us };
	struct fp_msg_swim m;
	enum fp_status st;

	st = fp_msg_swim_decode(&m, buf, len, on_update, &k);
	if (st != FP_OK)
		return st;
	if (m.to != 0 && m.to != s->entries[0].m.id)
		reject_old_id(s, m.to, address, port, now_us);
	else if (s->entries[0].m.state != FP_MEMBER_LEFT)
		dispatch(s, &m, address, port, now_us);
	push_urgent(s);
	return FP_OK;
}

struct fp_swim *fp_swim_init(struct fp_swim_host *h,
			     const struct fp_swim_member *self, int64_t now_us)
{
	struct fp_swim *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->host = h;
	if (!add_entry(s, self, now_us)) {
		fp_swim_end(s);
		return NULL;
	}
	s->entries[0].m.state = FP_MEMBER_ALIVE;
	queue_update(s, &s->entries[0]);
	s->ticked_us = now_us;
	s->agreed_us = now_us;
	s->next_probe_us = now_us + h->ops->random_u32(h) % PERIOD_US;
	s->next_gossip_us = now_us + h->ops->random_u32(h) % GOSSIP_US;
	s->next_dead_ping_us = now_us + h->ops->random_u32(h) % DEAD_PING_US;
	return s;
}

void fp_swim_set_status(struct fp_swim *s, const struct fp_swim_status *st)
{
	s->status = *st;
}

void fp_swim_set_worker(struct fp_swim *s, enum fp_worker_state worker,
			uint32_t slots, uint32_t worker_starts, int64_t now_us)
{
	struct fp_swim_member *m = &s->entries[0].m;

	if (m->worker == worker && m->slots == slots &&
	    m->worker_starts == worker_starts)
		return;
	m->worker = worker;
	m->slots = slots;
	m->worker_starts = worker_starts;
	announce_self(s, m->incarnation);
	if (worker == FP_WORKER_LEAVING)
		queue_urgent(s, &s->entries[0]);
	s->entries[0].since_us = now_us;
	push_urgent(s);
}

void fp_swim_leave(struct fp_swim *s, int64_t now_us)
{
	struct entry *e = &s->entries[0];

	if (e->m.state == FP_MEMBER_LEFT)
		return;
	s->digest ^= digest_of(&e->m);
	e->m.state = FP_MEMBER_LEFT;
	e->since_us = now_us;
	queue_urgent(s, e);
	push_urgent(s);
}

bool fp_swim_has_left(const struct fp_swim *s)
{
	return s->entries[0].m.state == FP_MEMBER_LEFT &&
	       (s->entries[0].sends_left == 0 || s->n == 1);
}

const struct fp_swim_member *fp_swim_find(const struct fp_swim *s, uint64_t id)
{
	const struct entry *e = find(s, id);

	return e ? &e->m : NULL;
}

const struct fp_swim_member *fp_swim_self(const struct fp_swim *s)
{
	return &s->entries[0].m;
}

void fp_swim_each(const struct fp_swim *s,
		  void (*fn)(void *ctx, const struct fp_swim_member *m),
		  void *ctx)
{
	uint32_t i;

	for (i = 0; i < s->n; i++)
		fn(ctx, &s->entries[i].m);
}

void fp_swim_count(const struct fp_swim *s, struct fp_swim_counts *c)
{
	uint32_t n[FP_MEMBER_LEFT + 1] = { 0 };
	uint32_t i;

	for (i = 0; i < s->n; i++)
		n[s->entries[i].m.state]++;
	c->alive = n[FP_MEMBER_ALIVE];
	c->suspect = n[FP_MEMBER_SUSPECT];
	c->dead = n[FP_MEMBER_DEAD];
	c->left = n[FP_MEMBER_LEFT];
}

uint64_t fp_swim_digest(const struct fp_swim *s)
{
	return s->digest;
}

void fp_swim_end(struct fp_swim *s)
{
	if (!s)
		return;
	free(s->entries);
	free(s->ids);
	free(s->order);
	free(s);
}
