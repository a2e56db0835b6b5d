/*
 * byte_account.c - bytes that a node holds for its clients, and what is evicted
 *
 * A limit of one body is no limit of a node: many bodies of legal size fill the
 * memory of any machine. So each message draws its bytes from one account of the
 * node before it is read on:
 *
 * - A body with a length draws all of it, and its later copies, before its first
 *   byte is read; one in chunks draws in steps. If there is no room, it waits:
 *   its connection is not read, so TCP holds the client back.
 * - Requests together, arriving and complete, get three quarters of the account,
 *   and small ones another eighth, so a crowd with large bodies does not stop
 *   ordinary requests. The rest is left to answers, since what they answer was
 *   run already. A body that is larger than the three quarters takes all of
 *   them, so it is still served alone.
 * - Only what is unfinished is evicted: a body that is not complete, or an answer
 *   that its client does not read. While others wait, that is each one which made
 *   no progress for PRESSED_US; the first is that of the address which holds
 *   most, and among its holders the one idle longest. Progress is PROGRESS_BYTES,
 *   so a byte now and then is none.
 * - An address that made others wait for nothing is remembered for STALLER_US: it
 *   is served after the others, and evicted sooner.
 * - What waits is served in the order of the bytes that its address holds, least
 *   first, then of the bytes that it wants, and then of its arrival. Who waits
 *   too long is refused, so that its client can go elsewhere in time.
 * - Without pressure a client may take its time up to the limits of the platform.
 *
 * What a worker runs, or may have run, is never evicted.
 */
#include "transport/byte_account.h"

#include <stdlib.h>

#include "base/clock.h"

/* Eighths of the limit that requests may hold, large and small ones. */
#define LARGE_EIGHTHS 6
#define SMALL_EIGHTHS 7
/* A request that holds no more than this is small. */
#define SMALL_BYTES (128u << 10)
/* Bytes that count as progress. */
#define PROGRESS_BYTES (16u << 10)
/* Time without progress after which a holder is evicted while others wait: a
 * node should have read a request after one second (PROTOCOL). */
#define PRESSED_US FP_US_PER_S
/* The same while nobody waits: idleTimeout of the platform's records. */
#define STALLED_US (15 * FP_US_PER_S)
/* Longest wait for room, so that those which stall can be evicted first. */
#define WAIT_US (2 * FP_US_PER_S)
/* The same as PRESSED_US for an address that made others wait before, and how
 * long that is remembered. */
#define PRESSED_STALLER_US (PRESSED_US / 4)
#define STALLER_US	   (60 * FP_US_PER_S)
#define N_BUCKETS	   1024u
/* Buckets searched for old clients in each tick. */
#define BUCKETS_PER_TICK 16

/* A client address that has holders or connections. */
struct fp_byte_client {
	uint32_t address;
	uint32_t n_users; /* holders and connections */
	uint32_t n_connections;
	size_t held_bytes;
	int64_t staller_until_us; /* 0: it is none */
	struct fp_byte_client *next;
};

struct fp_byte_account {
	size_t received_bytes; /* of answers being received */
	size_t request_bytes; /* of holders that are no answers */
	struct fp_byte_totals totals;
	struct fp_byte_holder *holders; /* list */
	struct fp_byte_client *clients[N_BUCKETS];
	uint32_t next_bucket; /* to be searched for old clients */
};

struct fp_byte_account *fp_byte_account_init(size_t limit_bytes)
{
	struct fp_byte_account *a = calloc(1, sizeof(*a));

	if (a)
		a->totals.limit_bytes = limit_bytes;
	return a;
}

void fp_byte_account_end(struct fp_byte_account *a)
{
	struct fp_byte_client *c;
	uint32_t i;

	if (!a)
		return;
	for (i = 0; i < N_BUCKETS; i++) {
		while ((c = a->clients[i])) {
			a->clients[i] = c->next;
			free(c);
		}
	}
	free(a);
}

/* --- client addresses --- */

static struct fp_byte_client **find_client(struct fp_byte_account *a,
					   uint32_t address)
{
	struct fp_byte_client **at =
		&a->clients[(address * 2654435761u >> 16) % N_BUCKETS];

	while (*at && (*at)->address != address)
		at = &(*at)->next;
	return at;
}

static struct fp_byte_client *client_get(struct fp_byte_account *a,
					 uint32_t address)
{
	struct fp_byte_client **at = find_client(a, address);

	if (!*at) {
		*at = calloc(1, sizeof(**at));
		if (!*at)
			abort();
		(*at)->address = address;
	}
	(*at)->n_users++;
	return *at;
}

static void client_put(struct fp_byte_account *a, struct fp_byte_client *c)
{
	struct fp_byte_client **at;

	if (--c->n_users || c->staller_until_us)
		return;
	at = find_client(a, c->address);
	*at = c->next;
	free(c);
}

/* Forgets what clients of the next bucket did long ago. */
static void forget_stallers(struct fp_byte_account *a, int64_t now_us)
{
	struct fp_byte_client **at = &a->clients[a->next_bucket++ % N_BUCKETS];
	struct fp_byte_client *c;

	while ((c = *at)) {
		if (c->staller_until_us && now_us >= c->staller_until_us)
			c->staller_until_us = 0;
		if (c->n_users || c->staller_until_us) {
			at = &c->next;
			continue;
		}
		*at = c->next;
		free(c);
	}
}

/* --- holders --- */

static bool is_unfinished(const struct fp_byte_holder *h)
{
	return h->phase == FP_BYTES_ARRIVING || h->phase == FP_BYTES_WAITING;
}

static bool is_request(const struct fp_byte_holder *h)
{
	return is_unfinished(h) || h->phase == FP_BYTES_KEPT;
}

static void holder_link(struct fp_byte_account *a, struct fp_byte_holder *h,
			uint32_t address, int64_t now_us)
{
	h->client = client_get(a, address);
	h->held_bytes = 0;
	h->wanted_bytes = 0;
	h->moved_bytes = 0;
	h->progress_us = now_us;
	h->next = a->holders;
	if (h->next)
		h->next->pprev = &h->next;
	h->pprev = &a->holders;
	a->holders = h;
}

/* Changes what a holder holds, and its phase. */
static void set(struct fp_byte_account *a, struct fp_byte_holder *h,
		enum fp_byte_phase phase, size_t bytes)
{
	struct fp_byte_totals *t = &a->totals;

	if (is_request(h))
		a->request_bytes -= h->held_bytes;
	if (is_unfinished(h)) {
		t->n_arriving--;
		t->n_waiting -= h->phase == FP_BYTES_WAITING;
	}
	t->held_bytes += bytes - h->held_bytes;
	h->client->held_bytes += bytes - h->held_bytes;
	h->held_bytes = bytes;
	h->phase = phase;
	if (is_request(h))
		a->request_bytes += bytes;
	if (is_unfinished(h)) {
		t->n_arriving++;
		t->n_waiting += phase == FP_BYTES_WAITING;
	}
	if (t->held_bytes > t->most_bytes)
		t->most_bytes = t->held_bytes;
}

void fp_byte_end(struct fp_byte_account *a, struct fp_byte_holder *h)
{
	if (h->phase == FP_BYTES_NONE)
		return;
	set(a, h, FP_BYTES_NONE, 0);
	*h->pprev = h->next;
	if (h->next)
		h->next->pprev = h->pprev;
	client_put(a, h->client);
	h->client = NULL;
}

static void evict(struct fp_byte_account *a, struct fp_byte_holder *h,
		  enum fp_byte_eviction why, int64_t now_us)
{
	if (why != FP_BYTES_NO_ROOM)
		h->client->staller_until_us = now_us + STALLER_US;
	a->totals.n_evicted[why]++;
	fp_byte_end(a, h);
	h->ops->evict(h, why);
}

/* Whether a holder may be evicted for others at all: it is unfinished and holds
 * something. */
static bool may_be_evicted(const struct fp_byte_holder *h)
{
	return h->ops && h->held_bytes && !h->reserved &&
	       (is_unfinished(h) || h->phase == FP_BYTES_LEAVING);
}

/* The holder that is evicted first, or NULL; idle_us: time without progress, 0
 * for bodies whatever their progress. */
static struct fp_byte_holder *pick_victim(struct fp_byte_account *a,
					  const struct fp_byte_holder *except,
					  int64_t idle_us, int64_t now_us)
{
	struct fp_byte_holder *found = NULL;
	struct fp_byte_holder *h;

	for (h = a->holders; h; h = h->next) {
		if (h == except || !may_be_evicted(h) ||
		    now_us - h->progress_us <
			    (h->client->staller_until_us &&
					     idle_us > PRESSED_STALLER_US ?
				     PRESSED_STALLER_US :
				     idle_us) ||
		    (!idle_us && !is_unfinished(h)))
			continue;
		if (!found ||
		    h->client->held_bytes > found->client->held_bytes ||
		    (h->client->held_bytes == found->client->held_bytes &&
		     h->progress_us < found->progress_us))
			found = h;
	}
	return found;
}

static size_t eighths(const struct fp_byte_account *a, size_t n)
{
	return a->totals.limit_bytes / 8 * n;
}

/* Whether a holder may hold bytes without a limit being passed. */
static bool fits(const struct fp_byte_account *a,
		 const struct fp_byte_holder *h, size_t bytes)
{
	size_t others = a->totals.held_bytes - h->held_bytes;
	size_t requests = a->request_bytes;

	if (is_request(h))
		requests -= h->held_bytes;
	if (!others)
		return true;
	if (others + bytes > a->totals.limit_bytes)
		return false;
	return h->reserved ||
	       requests + bytes <= eighths(a, bytes <= SMALL_BYTES ?
						      SMALL_EIGHTHS :
						      LARGE_EIGHTHS);
}

void fp_byte_begin(struct fp_byte_account *a, struct fp_byte_holder *h,
		   uint32_t address, int64_t now_us)
{
	holder_link(a, h, address, now_us);
	a->totals.n_arriving++;
	h->phase = FP_BYTES_ARRIVING;
}

/* Evicts holders without progress until the bytes fit. */
static bool evict_until_fits(struct fp_byte_account *a,
			     const struct fp_byte_holder *h, size_t bytes,
			     int64_t now_us)
{
	struct fp_byte_holder *victim;

	while (!fits(a, h, bytes)) {
		victim = pick_victim(a, h, PRESSED_US, now_us);
		if (!victim)
			return false;
		evict(a, victim, FP_BYTES_NEEDED, now_us);
	}
	return true;
}

bool fp_byte_reserve(struct fp_byte_account *a, struct fp_byte_holder *h,
		     size_t bytes, int64_t now_us)
{
	size_t most = eighths(a, LARGE_EIGHTHS);

	if (bytes > most)
		bytes = most;
	if (bytes <= h->held_bytes)
		return true;
	/* Who comes later does not overtake those that wait, but for small
	 * bodies, which need no part of theirs. */
	if ((!a->totals.n_waiting || bytes <= SMALL_BYTES || h->held_bytes) &&
	    evict_until_fits(a, h, bytes, now_us)) {
		set(a, h, FP_BYTES_ARRIVING, bytes);
		return true;
	}
	h->wanted_bytes = bytes;
	h->progress_us = now_us; /* of its wait */
	a->totals.n_paused++;
	set(a, h, FP_BYTES_WAITING, h->held_bytes);
	return false;
}

void fp_byte_moved(struct fp_byte_holder *h, size_t bytes, int64_t now_us)
{
	h->moved_bytes += bytes;
	if (h->moved_bytes < PROGRESS_BYTES)
		return;
	h->moved_bytes = 0;
	h->progress_us = now_us;
}

/* Makes room for bytes besides others at the cost of what is unfinished; except:
 * not of this one, or NULL. */
static bool make_room(struct fp_byte_account *a,
		      const struct fp_byte_holder *except, size_t others,
		      size_t bytes, int64_t now_us)
{
	struct fp_byte_holder *victim;
	size_t before;

	while (others && others + bytes > a->totals.limit_bytes) {
		victim = pick_victim(a, except, PRESSED_US, now_us);
		if (!victim)
			victim = pick_victim(a, except, 0, now_us);
		if (!victim)
			return false;
		before = victim->held_bytes;
		evict(a, victim, FP_BYTES_NEEDED, now_us);
		others -= before;
	}
	return true;
}

/* The same within the part of requests, at the cost of bodies. */
static bool make_room_for_request(struct fp_byte_account *a,
				  const struct fp_byte_holder *h, size_t bytes,
				  int64_t now_us)
{
	size_t limit = eighths(a, bytes <= SMALL_BYTES ? SMALL_EIGHTHS :
							 LARGE_EIGHTHS);
	struct fp_byte_holder *victim;

	while (a->request_bytes && a->request_bytes + bytes > limit) {
		victim = pick_victim(a, h, 0, now_us);
		if (!victim)
			return false;
		evict(a, victim, FP_BYTES_NEEDED, now_us);
	}
	return true;
}

static bool hold(struct fp_byte_account *a, struct fp_byte_holder *h,
		 enum fp_byte_phase phase, uint32_t address, size_t bytes,
		 int64_t now_us)
{
	if (!make_room(a, h, a->totals.held_bytes - h->held_bytes, bytes,
		       now_us))
		return false;
	if (h->phase == FP_BYTES_NONE)
		holder_link(a, h, address, now_us);
	h->moved_bytes = 0;
	h->progress_us = now_us;
	set(a, h, phase, bytes);
	return true;
}

bool fp_byte_keep(struct fp_byte_account *a, struct fp_byte_holder *h,
		  size_t bytes, int64_t now_us)
{
	if (!make_room_for_request(a, h, bytes, now_us))
		return false;
	return hold(a, h, FP_BYTES_KEPT, 0, bytes, now_us);
}

bool fp_byte_send(struct fp_byte_account *a, struct fp_byte_holder *h,
		  uint32_t address, size_t bytes, int64_t now_us)
{
	return hold(a, h, FP_BYTES_LEAVING, address, bytes, now_us);
}

void fp_byte_complete(struct fp_byte_account *a, struct fp_byte_holder *h)
{
	set(a, h, FP_BYTES_KEPT, h->held_bytes);
}

bool fp_byte_set_received(struct fp_byte_account *a, size_t bytes,
			  int64_t now_us)
{
	size_t others = a->totals.held_bytes - a->received_bytes;

	if (bytes > a->received_bytes &&
	    !make_room(a, NULL, others, bytes, now_us))
		return false;
	a->totals.held_bytes += bytes - a->received_bytes;
	a->received_bytes = bytes;
	if (a->totals.held_bytes > a->totals.most_bytes)
		a->totals.most_bytes = a->totals.held_bytes;
	return true;
}

/* --- time --- */

/* Whether a goes before b, of those that wait. The list has the latest first. */
static bool goes_before(const struct fp_byte_holder *a,
			const struct fp_byte_holder *b)
{
	bool a_stalls = a->client->staller_until_us != 0;
	bool b_stalls = b->client->staller_until_us != 0;

	if (a_stalls != b_stalls)
		return b_stalls;
	if (a->client->held_bytes != b->client->held_bytes)
		return a->client->held_bytes < b->client->held_bytes;
	if (a->wanted_bytes != b->wanted_bytes)
		return a->wanted_bytes < b->wanted_bytes;
	return a->progress_us <= b->progress_us;
}

/* The next one to be served of those that wait, or NULL. */
static struct fp_byte_holder *next_waiting(const struct fp_byte_account *a)
{
	struct fp_byte_holder *found = NULL;
	struct fp_byte_holder *h;

	for (h = a->holders; h; h = h->next) {
		if (h->phase != FP_BYTES_WAITING)
			continue;
		if (!found || goes_before(h, found))
			found = h;
	}
	return found;
}

/* One that waited too long, or makes no progress though nobody waits. */
static struct fp_byte_holder *next_overdue(const struct fp_byte_account *a,
					   int64_t now_us)
{
	struct fp_byte_holder *h;
	int64_t idle_us;

	for (h = a->holders; h; h = h->next) {
		idle_us = now_us - h->progress_us;
		if (!h->ops || h->reserved)
			continue;
		if ((h->phase == FP_BYTES_WAITING && idle_us >= WAIT_US) ||
		    (h->phase == FP_BYTES_ARRIVING && idle_us >= STALLED_US))
			return h;
	}
	return NULL;
}

void fp_byte_tick(struct fp_byte_account *a, int64_t now_us)
{
	struct fp_byte_holder *h;
	int i;

	while ((h = next_waiting(a)) &&
	       evict_until_fits(a, h, h->wanted_bytes, now_us)) {
		set(a, h, FP_BYTES_ARRIVING, h->wanted_bytes);
		h->moved_bytes = 0;
		h->progress_us = now_us;
		h->ops->resume(h);
	}
	while ((h = next_overdue(a, now_us)))
		evict(a, h,
		      h->phase == FP_BYTES_WAITING ? FP_BYTES_NO_ROOM :
						     FP_BYTES_STALLED,
		      now_us);
	for (i = 0; i < BUCKETS_PER_TICK; i++)
		forget_stallers(a, now_us);
}

void fp_byte_read_totals(const struct fp_byte_account *a,
			 struct fp_byte_totals *out)
{
	*out = a->totals;
}

/* --- connections --- */

void fp_byte_connected(struct fp_byte_account *a, struct fp_byte_connection *c,
		       struct fp_byte_connection **list, uint32_t address,
		       int64_t now_us)
{
	c->client = client_get(a, address);
	c->client->n_connections++;
	c->idle_since_us = now_us;
	c->next = *list;
	if (c->next)
		c->next->pprev = &c->next;
	c->pprev = list;
	*list = c;
}

void fp_byte_disconnected(struct fp_byte_account *a,
			  struct fp_byte_connection *c)
{
	if (!c->client)
		return;
	*c->pprev = c->next;
	if (c->next)
		c->next->pprev = c->pprev;
	c->client->n_connections--;
	client_put(a, c->client);
}

struct fp_byte_connection *fp_byte_pick_idle(struct fp_byte_account *a,
					     struct fp_byte_connection *list)
{
	struct fp_byte_connection *found = NULL;
	struct fp_byte_connection *c;

	for (c = list; c; c = c->next) {
		if (c->busy || c->closing)
			continue;
		if (!found ||
		    c->client->n_connections > found->client->n_connections ||
		    (c->client->n_connections == found->client->n_connections &&
		     c->idle_since_us <= found->idle_since_us))
			found = c;
	}
	if (found) {
		found->closing = true;
		a->totals.n_closed++;
	}
	return found;
}
