/*
 * admission.c - what a worker runs now, what waits, what is refused
 *
 * Idea: keep the queue so short that whatever is started can still finish,
 * and when something must go, let it be the least important request of the
 * organisation that is furthest above its share, at once.
 *
 * Order. Classes are served strictly one after the other: a guarantee for the
 * lower ones would take slots from important requests exactly when these fill
 * the worker, and a starved request is refused early, so it does not wait in
 * vain. Inside a class children of started requests go before new roots.
 * Inside these, each organisation is a flow with a virtual time tag; the flow
 * with the least tag is served and its tag moves on by UNIT / weight. Tags are
 * charged at the start only, so that what is refused costs nothing. A flow
 * that was idle may lag behind the class's virtual time by CREDIT_REQUESTS of
 * its own cost: a small organisation may send a few requests at once without
 * losing one, and no one can save up more. Tags outlive the queue of a flow,
 * since a flow that came back at the present virtual time would always be
 * next.
 *
 * Length. The queue may hold what drains inside the target delay, limit / run
 * time being the drain, and never less than a few requests and a part of the
 * limit; for a short burst a few times as much. Above that the
 * request with the greatest start tag of the least important class goes,
 * roots before children; the newcomer is a candidate like all others. So a
 * standing queue never grows beyond its target and refusals come at once. A
 * request that is starved by higher classes goes after a few target delays.
 *
 * Deadlines. At the head a request goes when it cannot end in time. The
 * estimate is mean less mean deviation of the run times: with mixed run times
 * a plain mean would drop short requests that have enough time. An idle worker
 * starts all that has not expired, else a wrong estimate could never mend.
 *
 * Limit. Additive increase, multiplicative decrease, on the share of requests
 * that the backend server refused or could not end in time; the ceiling is
 * what it announced. Requests that started before the last decrease say
 * nothing of the present limit and are left out. So is one that was late though
 * it ran about as long as the least mean run time of the last seconds: it lost
 * its time in a queue, and fewer at once would only make the queue slower.
 * docs/DESIGN-load.md has the comparison with a limit by the gradient of the
 * run time.
 *
 * Cost: flows that wait stand in a list which is scanned; it is at most as
 * long as the queue and in practice the number of organisations in overload.
 */
#include "state/admission.h"

#include <stdlib.h>
#include <string.h>

#define HASH_SLOTS  4096 /* chains of the index by id; a power of two */
#define MAX_ORGS    65536 /* organisations with a flow of their own */
#define KINDS	    2 /* children of started requests, roots */
#define KIND_NESTED 0
#define KIND_ROOT   1
/* Virtual time that a request of weight 1 costs. */
#define UNIT (UINT64_C(1) << 32)

/* Tuning. */
#define WINDOW_US	   100000 /* least time between changes of the limit */
#define SHARE_US	   100000 /* window of the refused shares */
#define SHARE_WEIGHT	   10 /* smoothing of them, in windows: one second */
#define RUN_WEIGHT	   16 /* smoothing of the run time, in samples */
#define DELAY_WEIGHT	   16 /* smoothing of the queue delay, in samples */
#define BAD_SHARE	   20 /* one bad in so many ended: decrease */
#define CUT_MIN_PERCENT	   10 /* least decrease */
#define CUT_MAX_PERCENT	   50 /* greatest decrease */
#define FLOOR_US	   5000000 /* the least mean run time is of one to two of these */
#define FLOOR_LOW_PERCENT  50 /* a failure from here ... */
#define FLOOR_HIGH_PERCENT 150 /* ... to here of it is not the limit's */
#define GROW_SHARE	   8 /* increase by limit / this, at least 1 */
#define QUEUE_MIN	   8 /* requests that may always wait ... */
#define QUEUE_SHARE	   2 /* ... or limit / this, if more */
#define BURST_FACTOR	   4 /* queue of a burst over the standing one */
#define BURST_US	   1000000 /* how long a queue may be a burst */
#define STARVED_FACTOR	   4 /* wait in drain times of the queue that is refused */
#define CREDIT_REQUESTS	   16 /* what an idle flow may start ahead of others */
#define OPEN_WEIGHT	   10 /* weight of requests without an organisation */

/* A request that waits. */
struct waiter {
	struct waiter *next; /* towards the tail of its queue */
	struct waiter *prev;
	struct waiter *chain; /* index by id */
	struct flow *flow;
	uint64_t id;
	int64_t arrived_us;
	int64_t deadline_us;
	int kind;
};

struct fifo {
	struct waiter *head;
	struct waiter *tail;
	uint32_t count;
};

/* An organisation's requests in one class. */
struct flow {
	struct flow *next; /* list of flows that have a queue */
	struct flow *prev;
	uint64_t tag; /* virtual start time of its next request */
	uint32_t weight;
	uint8_t rank; /* rank of its requests */
	struct fifo queue[KINDS];
};

struct rank_state {
	struct flow *waiting; /* flows that have a queue */
	struct flow **flows; /* by organisation; made on first use */
	uint32_t n_flows;
	struct flow open; /* requests without an organisation */
	uint64_t vtime; /* greatest tag that was served */
	uint32_t queued;
	uint32_t offered; /* in the present share window */
	uint32_t refused;
	uint32_t refused_permille;
};

struct fp_admission {
	struct fp_admission_params p;
	struct fp_admission_sink sink;
	struct rank_state ranks[FP_RANK_COUNT];
	struct fifo fifo; /* order of the baseline */
	struct waiter *index[HASH_SLOTS];
	uint32_t limit;
	uint32_t running;
	uint32_t queued;
	bool pumping; /* a sink call is under way */
	int64_t run_us; /* smoothed run time, 0: unknown */
	int64_t deviation_us; /* its smoothed deviation */
	int64_t floor_us; /* least mean in the present floor period */
	int64_t old_floor_us; /* in the one before; 0: unknown */
	int64_t floor_start_us; /* start of the present one */
	int64_t delay_us; /* smoothed queue delay */
	int64_t empty_us; /* when the queue was last seen empty */
	int64_t window_us; /* start of the limit's window */
	int64_t cut_us; /* last decrease */
	uint32_t ended; /* in the limit's window */
	uint32_t bad;
	uint32_t peak_running;
	int64_t share_us; /* start of the share window */
	uint32_t started; /* in the share window */
};

/* ---- index by id ---- */

static struct waiter **chain_of(struct fp_admission *a, uint64_t id)
{
	uint64_t h = id * UINT64_C(0x9e3779b97f4a7c15);

	return &a->index[(h >> 32) & (HASH_SLOTS - 1)];
}

static struct waiter *find_waiter(struct fp_admission *a, uint64_t id)
{
	struct waiter *w;

	for (w = *chain_of(a, id); w; w = w->chain)
		if (w->id == id)
			return w;
	return NULL;
}

static void index_remove(struct fp_admission *a, struct waiter *w)
{
	struct waiter **at = chain_of(a, w->id);

	while (*at != w)
		at = &(*at)->chain;
	*at = w->chain;
}

/* ---- queues ---- */

static void fifo_append(struct fifo *q, struct waiter *w)
{
	w->prev = q->tail;
	w->next = NULL;
	if (q->tail)
		q->tail->next = w;
	else
		q->head = w;
	q->tail = w;
	q->count++;
}

static void fifo_remove(struct fifo *q, struct waiter *w)
{
	if (w->prev)
		w->prev->next = w->next;
	else
		q->head = w->next;
	if (w->next)
		w->next->prev = w->prev;
	else
		q->tail = w->prev;
	q->count--;
}

static uint32_t flow_queued(const struct flow *f)
{
	return f->queue[KIND_NESTED].count + f->queue[KIND_ROOT].count;
}

static uint64_t flow_cost(const struct flow *f)
{
	return UNIT / f->weight;
}

static struct flow *find_flow(struct fp_admission *a,
			      const struct fp_admission_request *r)
{
	struct rank_state *c = &a->ranks[r->rank];
	struct flow **grown;

	if (r->org >= MAX_ORGS)
		return &c->open;
	if (r->org >= c->n_flows) {
		grown = realloc(c->flows, (r->org + 1) * sizeof(struct flow *));
		if (!grown)
			return NULL;
		memset(grown + c->n_flows, 0,
		       (r->org + 1 - c->n_flows) * sizeof(struct flow *));
		c->flows = grown;
		c->n_flows = r->org + 1;
	}
	if (!c->flows[r->org])
		c->flows[r->org] = calloc(1, sizeof(struct flow));
	if (c->flows[r->org]) {
		c->flows[r->org]->rank = r->rank;
		c->flows[r->org]->weight = r->org_weight ? r->org_weight : 1;
	}
	return c->flows[r->org];
}

/* Bounds how far an idle flow may lag behind the others. */
static void limit_credit(const struct rank_state *c, struct flow *f)
{
	uint64_t credit = CREDIT_REQUESTS * flow_cost(f);

	if (c->vtime > credit && f->tag < c->vtime - credit)
		f->tag = c->vtime - credit;
}

static void flow_list_add(struct rank_state *c, struct flow *f)
{
	limit_credit(c, f);
	f->prev = NULL;
	f->next = c->waiting;
	if (f->next)
		f->next->prev = f;
	c->waiting = f;
}

static void flow_list_remove(struct rank_state *c, struct flow *f)
{
	if (f->prev)
		f->prev->next = f->next;
	else
		c->waiting = f->next;
	if (f->next)
		f->next->prev = f->prev;
}

static void enqueue(struct fp_admission *a, struct waiter *w)
{
	struct rank_state *c = &a->ranks[w->flow->rank];
	struct waiter **chain = chain_of(a, w->id);

	if (a->p.off) {
		fifo_append(&a->fifo, w);
	} else {
		if (flow_queued(w->flow) == 0)
			flow_list_add(c, w->flow);
		fifo_append(&w->flow->queue[w->kind], w);
	}
	w->chain = *chain;
	*chain = w;
	c->queued++;
	a->queued++;
}

static void dequeue(struct fp_admission *a, struct waiter *w)
{
	struct rank_state *c = &a->ranks[w->flow->rank];

	if (a->p.off) {
		fifo_remove(&a->fifo, w);
	} else {
		fifo_remove(&w->flow->queue[w->kind], w);
		if (flow_queued(w->flow) == 0)
			flow_list_remove(c, w->flow);
	}
	index_remove(a, w);
	c->queued--;
	a->queued--;
}

/* ---- estimates ---- */

static uint32_t ceiling(const struct fp_admission_params *p)
{
	uint32_t percent = p->concurrency_percent;
	uint64_t n;

	if (percent > 100)
		percent = 100;
	n = (uint64_t)p->slots * percent / 100;
	return n ? (uint32_t)n : 1;
}

/* Time in which a queue of that many requests drains. */
static int64_t drain_us(const struct fp_admission *a, uint32_t n)
{
	return a->run_us * n / a->limit;
}

/* Whether the queue has not been empty for longer than a burst lasts. */
static bool is_standing(const struct fp_admission *a, int64_t now_us)
{
	return now_us - a->empty_us > BURST_US;
}

/* Requests that may wait however long the queue's delay is: arrivals come in
 * clusters, and without room for these an organisation inside its rate loses
 * some. */
static uint32_t least_queue(const struct fp_admission *a)
{
	uint32_t n = a->limit / QUEUE_SHARE;

	return n > QUEUE_MIN ? n : QUEUE_MIN;
}

static uint32_t queue_bound(const struct fp_admission *a, int64_t now_us)
{
	int64_t n;

	if (a->p.off || a->run_us == 0)
		return a->p.max_queued;
	n = a->p.queue_target_us * a->limit / a->run_us;
	if (n < least_queue(a))
		n = least_queue(a);
	if (!is_standing(a, now_us))
		n *= BURST_FACTOR;
	return n < a->p.max_queued ? (uint32_t)n : a->p.max_queued;
}

/* Longest wait of a request that higher classes starve. */
static int64_t starved_us(const struct fp_admission *a)
{
	int64_t least = drain_us(a, least_queue(a));

	if (least < a->p.queue_target_us)
		least = a->p.queue_target_us;
	return STARVED_FACTOR * least;
}

/* Whether a request that starts now would run out of its time. */
static bool is_too_late(const struct fp_admission *a, const struct waiter *w,
			int64_t now_us)
{
	int64_t need = a->run_us - a->deviation_us;

	if (a->p.off)
		return false;
	if (now_us >= w->deadline_us)
		return true;
	return a->running > 0 && need > 0 && now_us + need > w->deadline_us;
}

static void smooth(int64_t *mean, int64_t sample, int64_t weight)
{
	*mean += (sample - *mean) / weight;
}

static void learn_run(struct fp_admission *a, int64_t run_us)
{
	int64_t error;

	if (run_us < 1)
		run_us = 1;
	if (a->run_us == 0) {
		a->run_us = run_us;
		a->deviation_us = run_us / 2;
		return;
	}
	error = run_us - a->run_us;
	smooth(&a->run_us, run_us, RUN_WEIGHT);
	smooth(&a->deviation_us, error < 0 ? -error : error, RUN_WEIGHT);
	if (a->run_us < 1)
		a->run_us = 1;
}

static int64_t least_run_us(const struct fp_admission *a)
{
	if (a->old_floor_us == 0)
		return a->floor_us;
	if (a->floor_us == 0 || a->old_floor_us < a->floor_us)
		return a->old_floor_us;
	return a->floor_us;
}

static void learn_floor(struct fp_admission *a, int64_t now_us)
{
	if (now_us - a->floor_start_us >= FLOOR_US) {
		a->old_floor_us = a->floor_us;
		a->floor_us = 0;
		a->floor_start_us = now_us;
	}
	if (a->floor_us == 0 || a->run_us < a->floor_us)
		a->floor_us = a->run_us;
}

/* Whether a failure after that run time may be mended by a lower limit. */
static bool is_limit_fault(const struct fp_admission *a, int64_t run_us)
{
	int64_t least = least_run_us(a);

	return run_us * 100 < least * FLOOR_LOW_PERCENT ||
	       run_us * 100 > least * FLOOR_HIGH_PERCENT;
}

/* ---- windows ---- */

static void close_share_window(struct fp_admission *a)
{
	struct rank_state *c;
	uint32_t permille;
	int i;

	for (i = 0; i < FP_RANK_COUNT; i++) {
		c = &a->ranks[i];
		permille = c->offered ? c->refused * 1000 / c->offered : 0;
		if (permille > 1000)
			permille = 1000;
		c->refused_permille =
			(c->refused_permille * (SHARE_WEIGHT - 1) + permille) /
			SHARE_WEIGHT;
		c->offered = 0;
		c->refused = 0;
	}
	if (a->started == 0)
		a->delay_us -= a->delay_us / SHARE_WEIGHT;
	a->started = 0;
}

/* Closes the share windows that have passed, empty ones included. */
static void roll_shares(struct fp_admission *a, int64_t now_us)
{
	int64_t n = (now_us - a->share_us) / SHARE_US;
	int64_t i;

	for (i = 0; i < n && i < 20 * SHARE_WEIGHT; i++)
		close_share_window(a);
	if (n > 0)
		a->share_us += n * SHARE_US;
}

static void cut_limit(struct fp_admission *a, int64_t now_us)
{
	uint32_t percent = a->bad * 100 / a->ended;

	if (percent < CUT_MIN_PERCENT)
		percent = CUT_MIN_PERCENT;
	if (percent > CUT_MAX_PERCENT)
		percent = CUT_MAX_PERCENT;
	a->limit = (uint32_t)((uint64_t)a->limit * (100 - percent) / 100);
	if (a->limit < 1)
		a->limit = 1;
	a->cut_us = now_us;
}

static void grow_limit(struct fp_admission *a)
{
	uint32_t step = a->limit / GROW_SHARE;
	uint32_t top = ceiling(&a->p);

	a->limit += step ? step : 1;
	if (a->limit > top)
		a->limit = top;
}

static void roll_limit(struct fp_admission *a, int64_t now_us)
{
	int64_t length = a->run_us > WINDOW_US ? a->run_us : WINDOW_US;

	if (now_us - a->window_us < length)
		return;
	if (!a->p.off && a->ended) {
		if (a->bad * BAD_SHARE > a->ended)
			cut_limit(a, now_us);
		else if (a->peak_running >= a->limit)
			grow_limit(a);
	}
	a->window_us = now_us;
	a->ended = 0;
	a->bad = 0;
	a->peak_running = a->running;
}

/* ---- starting and refusing ---- */

static void refuse(struct fp_admission *a, struct waiter *w, enum fp_reason why)
{
	uint64_t id = w->id;

	a->ranks[w->flow->rank].refused++;
	dequeue(a, w);
	free(w);
	a->sink.refuse(a->sink.ctx, id, why);
}

static void start(struct fp_admission *a, struct waiter *w, int64_t now_us)
{
	struct flow *f = w->flow;
	struct rank_state *c = &a->ranks[f->rank];
	uint64_t id = w->id;

	limit_credit(c, f);
	if (f->tag > c->vtime)
		c->vtime = f->tag;
	f->tag += flow_cost(f);
	smooth(&a->delay_us, now_us - w->arrived_us, DELAY_WEIGHT);
	dequeue(a, w);
	free(w);
	a->started++;
	a->running++;
	if (a->running > a->peak_running)
		a->peak_running = a->running;
	a->sink.start(a->sink.ctx, id, now_us);
}

static struct waiter *next_of_kind(const struct rank_state *c, int kind)
{
	const struct flow *best = NULL;
	const struct flow *f;

	for (f = c->waiting; f; f = f->next)
		if (f->queue[kind].head && (!best || f->tag < best->tag))
			best = f;
	return best ? best->queue[kind].head : NULL;
}

static struct waiter *next_waiter(const struct fp_admission *a)
{
	struct waiter *w;
	int i;

	if (a->p.off)
		return a->fifo.head;
	for (i = 0; i < FP_RANK_COUNT; i++) {
		w = next_of_kind(&a->ranks[i], KIND_NESTED);
		if (!w)
			w = next_of_kind(&a->ranks[i], KIND_ROOT);
		if (w)
			return w;
	}
	return NULL;
}

/* Virtual start time of the last request of a flow. */
static uint64_t last_tag(const struct flow *f)
{
	return f->tag + (flow_queued(f) - 1) * flow_cost(f);
}

static struct waiter *last_of_kind(const struct rank_state *c, int kind)
{
	const struct flow *worst = NULL;
	const struct flow *f;

	for (f = c->waiting; f; f = f->next)
		if (f->queue[kind].tail &&
		    (!worst || last_tag(f) > last_tag(worst)))
			worst = f;
	return worst ? worst->queue[kind].tail : NULL;
}

/* The request that goes first when the queue is too long. */
static struct waiter *least_waiter(const struct fp_admission *a)
{
	struct waiter *w;
	int i;

	if (a->p.off)
		return a->fifo.tail;
	for (i = FP_RANK_COUNT - 1; i >= 0; i--) {
		w = last_of_kind(&a->ranks[i], KIND_ROOT);
		if (!w)
			w = last_of_kind(&a->ranks[i], KIND_NESTED);
		if (w)
			return w;
	}
	return NULL;
}

static uint32_t allowed(const struct fp_admission *a)
{
	return a->p.off ? (a->p.slots ? a->p.slots : 1) : a->limit;
}

/* Starts what may start; a call from inside a sink call does nothing. */
static void pump(struct fp_admission *a, int64_t now_us)
{
	struct waiter *w;

	if (a->pumping)
		return;
	a->pumping = true;
	while (a->running < allowed(a)) {
		w = next_waiter(a);
		if (!w)
			break;
		if (is_too_late(a, w, now_us))
			refuse(a, w, FP_REASON_DEADLINE);
		else
			start(a, w, now_us);
	}
	a->pumping = false;
	if (a->queued == 0)
		a->empty_us = now_us;
}

/* Shortens the queue to its bound; returns whether fresh was refused. */
static bool shorten(struct fp_admission *a, const struct waiter *fresh,
		    int64_t now_us)
{
	uint32_t bound = queue_bound(a, now_us);
	struct waiter *w;
	bool lost = false;

	while (a->queued > bound) {
		w = least_waiter(a);
		if (!w)
			break;
		if (w != fresh) {
			refuse(a, w, FP_REASON_OVERLOADED);
			continue;
		}
		a->ranks[w->flow->rank].refused++;
		dequeue(a, w);
		free(w);
		lost = true;
	}
	return lost;
}

static void expire_fifo(struct fp_admission *a, struct fifo *q, int64_t now_us)
{
	int64_t longest = starved_us(a);
	bool standing = is_standing(a, now_us);
	struct waiter *w = q->head;
	struct waiter *next;

	for (; w; w = next) {
		next = w->next;
		if (is_too_late(a, w, now_us))
			refuse(a, w, FP_REASON_DEADLINE);
		else if (standing && now_us - w->arrived_us > longest)
			refuse(a, w, FP_REASON_OVERLOADED);
	}
}

static void expire_rank(struct fp_admission *a, struct rank_state *c,
			int64_t now_us)
{
	struct flow *f = c->waiting;
	struct flow *next;
	int kind;

	for (; f; f = next) {
		next = f->next;
		for (kind = 0; kind < KINDS; kind++)
			expire_fifo(a, &f->queue[kind], now_us);
	}
}

/* ---- interface ---- */

struct fp_admission *fp_admission_init(const struct fp_admission_params *p,
				       const struct fp_admission_sink *sink)
{
	struct fp_admission *a = calloc(1, sizeof(*a));
	int i;

	if (!a)
		return NULL;
	a->p = *p;
	a->sink = *sink;
	a->limit = ceiling(p);
	a->cut_us = INT64_MIN;
	for (i = 0; i < FP_RANK_COUNT; i++) {
		/* So a flow that was never seen has its whole credit. */
		a->ranks[i].vtime = CREDIT_REQUESTS * UNIT;
		a->ranks[i].open.rank = (uint8_t)i;
		a->ranks[i].open.weight = OPEN_WEIGHT;
	}
	return a;
}

/* Moves all that waits into the order that the new parameters ask for. */
static void reorder(struct fp_admission *a, bool off)
{
	struct fifo all = { NULL, NULL, 0 };
	struct waiter *w;

	while ((w = next_waiter(a))) {
		dequeue(a, w);
		fifo_append(&all, w);
	}
	a->p.off = off;
	while ((w = all.head)) {
		fifo_remove(&all, w);
		enqueue(a, w);
	}
}

void fp_admission_set_params(struct fp_admission *a,
			     const struct fp_admission_params *p,
			     int64_t now_us)
{
	bool at_top = a->limit >= ceiling(&a->p);

	if (p->off != a->p.off)
		reorder(a, p->off);
	a->p = *p;
	if (at_top || a->limit > ceiling(p))
		a->limit = ceiling(p);
	shorten(a, NULL, now_us);
	pump(a, now_us);
}

enum fp_status fp_admission_offer(struct fp_admission *a,
				  const struct fp_admission_request *r,
				  int64_t now_us)
{
	struct flow *f;
	struct waiter *w;

	roll_shares(a, now_us);
	a->ranks[r->rank].offered++;
	f = find_flow(a, r);
	w = f ? calloc(1, sizeof(*w)) : NULL;
	if (!w) {
		a->ranks[r->rank].refused++;
		return FP_FULL;
	}
	w->flow = f;
	w->id = r->id;
	w->kind = r->nested ? KIND_NESTED : KIND_ROOT;
	w->arrived_us = now_us;
	w->deadline_us = r->deadline_us;
	enqueue(a, w);
	pump(a, now_us);
	return shorten(a, w, now_us) ? FP_FULL : FP_OK;
}

enum fp_status fp_admission_cancel(struct fp_admission *a, uint64_t id,
				   int64_t now_us)
{
	struct waiter *w = find_waiter(a, id);

	if (!w)
		return FP_NOT_FOUND;
	dequeue(a, w);
	free(w);
	pump(a, now_us);
	return FP_OK;
}

void fp_admission_done(struct fp_admission *a, uint64_t id, int64_t run_us,
		       bool overloaded, int64_t now_us)
{
	(void)id;
	if (a->running > 0)
		a->running--;
	if (now_us - run_us >= a->cut_us) {
		a->ended++;
		if (overloaded && is_limit_fault(a, run_us))
			a->bad++;
	}
	/* A failure says at most that the run takes longer than that. */
	if (!overloaded || run_us > a->run_us)
		learn_run(a, run_us);
	if (!overloaded)
		learn_floor(a, now_us);
	roll_limit(a, now_us);
	pump(a, now_us);
}

void fp_admission_tick(struct fp_admission *a, int64_t now_us)
{
	int i;

	roll_shares(a, now_us);
	roll_limit(a, now_us);
	if (!a->p.off) {
		for (i = 0; i < FP_RANK_COUNT; i++)
			expire_rank(a, &a->ranks[i], now_us);
		shorten(a, NULL, now_us);
	}
	pump(a, now_us);
}

void fp_admission_read_level(const struct fp_admission *a,
			     struct fp_admission_level *level)
{
	int i;

	level->limit = allowed(a);
	level->running = a->running;
	level->queued = a->queued;
	level->delay_us = (uint32_t)a->delay_us;
	for (i = 0; i < FP_RANK_COUNT; i++)
		level->refused_permille[i] =
			(uint16_t)a->ranks[i].refused_permille;
}

void fp_admission_end(struct fp_admission *a)
{
	struct waiter *w;
	uint32_t i;
	int c;

	if (!a)
		return;
	while ((w = next_waiter(a))) {
		dequeue(a, w);
		free(w);
	}
	for (c = 0; c < FP_RANK_COUNT; c++) {
		for (i = 0; i < a->ranks[c].n_flows; i++)
			free(a->ranks[c].flows[i]);
		free(a->ranks[c].flows);
	}
	free(a);
}
