/*
 * admission.c - admission control of a worker: start, queue or refuse
 *
 * Idea: keep the queue short enough that every request that is started can
 * still finish in time. When a request must be refused, refuse at once, and
 * take the least important request of the organisation that most exceeds its
 * fair share.
 *
 * Order. Shed ranks are served with strict priority: a guarantee for the lower
 * ranks would take slots from important requests exactly when these fill the
 * worker, and a starved request is refused early instead of at its deadline.
 * Within a rank, children of started requests go before new roots. Within
 * these, each organisation is a flow with a virtual time tag (start-time fair
 * queueing): the flow with the smallest tag is served and its tag advances by
 * UNIT / weight. Tags are charged only when a request starts, so refused
 * requests cost nothing. The tag of an idle flow may lag behind the rank's
 * virtual time by at most CREDIT_REQUESTS of its own cost: a small organisation
 * may send a few requests at once without losing one, and no organisation can
 * accumulate more credit. Tags outlive the queue of a flow, since otherwise a
 * flow that returns would start at the current virtual time and always be next.
 *
 * Length. The queue may hold what drains within the target delay at a rate of
 * limit / run time, and at least a few requests and a fraction of the limit;
 * during a short burst it may hold several times as much. Above that bound, the
 * request with the largest start tag of the least important rank is refused,
 * roots before children; the newcomer is a candidate like all others. So a
 * standing queue never exceeds its target and refusals are immediate. A request
 * that is starved by higher ranks is refused after a few target delays.
 *
 * Deadlines. A request at the head of the queue is refused if it cannot finish
 * in time. The run time is estimated as mean minus mean deviation: with mixed
 * run times, the plain mean would drop short requests that have enough time. An
 * idle worker starts every request that has not expired, since otherwise a
 * wrong estimate could never be corrected.
 *
 * Limit. How many requests run at a time is decided in concurrency_limit.c.
 *
 * Pace. A backend server may be unable to take requests as fast as its slots
 * become free, for example while it is cold. The owner then tells how long the
 * next start has to wait. Requests wait only if that is short, and few of them:
 * others find a worker elsewhere sooner. The order stays the same, so the most
 * important requests get what may start.
 *
 * Cost: the flows with queued requests form a list that is scanned; it is at
 * most as long as the queue, and in practice the number of organisations that
 * are in overload.
 */
#include "state/admission.h"

#include <stdlib.h>
#include <string.h>

#include "state/concurrency_limit.h"

#define HASH_SLOTS  4096 /* hash chains of the index by id; a power of two */
#define MAX_ORGS    65536 /* organisations with their own flow */
#define KINDS	    2 /* children of started requests, roots */
#define KIND_NESTED 0
#define KIND_ROOT   1
/* Virtual time that a request costs at weight 1. */
#define UNIT (UINT64_C(1) << 32)

/* Tuning. */
#define DEMAND_WINDOW_US 100000 /* window of the refused fractions */
#define DEMAND_WEIGHT	 3 /* their smoothing, in windows: 0.3 s */
#define DELAY_WEIGHT	 16 /* smoothing of the queue delay, in samples */
#define QUEUE_MIN	 8 /* requests that may always wait ... */
#define QUEUE_DIVISOR	 2 /* ... or limit / this, if more */
/* queue in a burst, relative to the standing one */
#define BURST_FACTOR 4
#define BURST_US     1000000 /* longest duration of a burst */
/* maximum wait in a standing queue, in target delays, or in drain times of the
 * shortest allowed queue, if longer */
#define STARVED_WAIT_FACTOR 4
/* while starts are paced, requests that may wait ... */
#define PACED_QUEUE 2
/* ... unless the next start is further away than this */
#define PACED_WAIT_US 200000
/* requests an idle flow may start ahead of others */
#define CREDIT_REQUESTS 16
#define OPEN_WEIGHT	10 /* weight of all requests without organisation */

/* A queued request. */
struct waiter {
	struct waiter *next; /* towards the tail of its queue */
	struct waiter *prev;
	struct waiter *chain; /* next in its chain of the index by id */
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

/* The requests of one organisation and shed rank. */
struct flow {
	struct flow *next; /* in the list of flows with queued requests */
	struct flow *prev;
	uint64_t tag; /* virtual start time of its next request */
	uint32_t weight;
	uint8_t rank; /* rank of its requests */
	struct fifo queue[KINDS];
};

struct rank_state {
	struct flow *waiting; /* flows with queued requests */
	struct flow **flows; /* by organisation; allocated on first use */
	uint32_t n_flows;
	struct flow open; /* requests without an organisation */
	uint64_t vtime; /* largest tag served */
	uint32_t queued;
	uint32_t offered; /* in the current demand window */
	uint32_t refused;
	uint32_t refused_permille;
};

struct fp_admission {
	struct fp_admission_params p;
	struct fp_admission_sink sink;
	struct rank_state ranks[FP_SHED_RANK_COUNT];
	struct fifo fifo; /* queue of the baseline */
	struct waiter *index[HASH_SLOTS];
	struct fp_concurrency_limit limit;
	uint32_t queued;
	bool in_sink; /* a sink callback is running */
	int64_t delay_us; /* smoothed queue delay */
	int64_t empty_us; /* last time the queue was empty */
	int64_t demand_window_us; /* start of the demand window */
	uint32_t started; /* in the demand window */
};

/* ---- index by id ---- */

static struct waiter **chain_of(struct fp_admission *a, uint64_t id)
{
	/* Fibonacci hashing: 2^64 divided by the golden ratio. */
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
	struct rank_state *rs = &a->ranks[r->rank];
	struct flow **grown;

	if (r->org >= MAX_ORGS)
		return &rs->open;
	if (r->org >= rs->n_flows) {
		grown = realloc(rs->flows,
				(r->org + 1) * sizeof(struct flow *));
		if (!grown)
			return NULL;
		memset(grown + rs->n_flows, 0,
		       (r->org + 1 - rs->n_flows) * sizeof(struct flow *));
		rs->flows = grown;
		rs->n_flows = r->org + 1;
	}
	if (!rs->flows[r->org])
		rs->flows[r->org] = calloc(1, sizeof(struct flow));
	if (rs->flows[r->org]) {
		rs->flows[r->org]->rank = r->rank;
		rs->flows[r->org]->weight = r->org_weight ? r->org_weight : 1;
	}
	return rs->flows[r->org];
}

/* Limits how far the tag of an idle flow lags behind virtual time. */
static void limit_credit(const struct rank_state *rs, struct flow *f)
{
	uint64_t credit = CREDIT_REQUESTS * flow_cost(f);

	if (rs->vtime > credit && f->tag < rs->vtime - credit)
		f->tag = rs->vtime - credit;
}

static void flow_list_add(struct rank_state *rs, struct flow *f)
{
	limit_credit(rs, f);
	f->prev = NULL;
	f->next = rs->waiting;
	if (f->next)
		f->next->prev = f;
	rs->waiting = f;
}

static void flow_list_remove(struct rank_state *rs, struct flow *f)
{
	if (f->prev)
		f->prev->next = f->next;
	else
		rs->waiting = f->next;
	if (f->next)
		f->next->prev = f->prev;
}

static void enqueue(struct fp_admission *a, struct waiter *w)
{
	struct rank_state *rs = &a->ranks[w->flow->rank];
	struct waiter **chain = chain_of(a, w->id);

	if (a->p.off) {
		fifo_append(&a->fifo, w);
	} else {
		if (flow_queued(w->flow) == 0)
			flow_list_add(rs, w->flow);
		fifo_append(&w->flow->queue[w->kind], w);
	}
	w->chain = *chain;
	*chain = w;
	rs->queued++;
	a->queued++;
}

static void dequeue(struct fp_admission *a, struct waiter *w)
{
	struct rank_state *rs = &a->ranks[w->flow->rank];

	if (a->p.off) {
		fifo_remove(&a->fifo, w);
	} else {
		fifo_remove(&w->flow->queue[w->kind], w);
		if (flow_queued(w->flow) == 0)
			flow_list_remove(rs, w->flow);
	}
	index_remove(a, w);
	rs->queued--;
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

/* Time in which a queue of n requests drains. */
static int64_t drain_us(const struct fp_admission *a, uint32_t n)
{
	return a->limit.run_us * n / a->limit.limit;
}

/* Whether the queue has been non-empty for longer than a burst. */
static bool is_standing(const struct fp_admission *a, int64_t now_us)
{
	return now_us - a->empty_us > BURST_US;
}

/* Number of requests that may wait whatever the queue delay is: arrivals come
 * in clusters, and without this room an organisation inside its rate would lose
 * some requests. */
static uint32_t min_queue(const struct fp_admission *a)
{
	uint32_t n = a->limit.limit / QUEUE_DIVISOR;

	return n > QUEUE_MIN ? n : QUEUE_MIN;
}

static int64_t start_wait_us(const struct fp_admission *a, int64_t now_us)
{
	if (a->p.off || !a->sink.start_wait_us)
		return 0;
	return a->sink.start_wait_us(a->sink.ctx, now_us);
}

static uint32_t queue_bound(const struct fp_admission *a, int64_t now_us)
{
	int64_t wait_us = start_wait_us(a, now_us);
	int64_t n;

	if (wait_us > 0)
		return wait_us > PACED_WAIT_US ? 0 : PACED_QUEUE;
	if (a->p.off || a->limit.run_us == 0)
		return a->p.max_queued;
	n = a->p.queue_target_us * a->limit.limit / a->limit.run_us;
	if (n < min_queue(a))
		n = min_queue(a);
	if (!is_standing(a, now_us))
		n *= BURST_FACTOR;
	return n < a->p.max_queued ? (uint32_t)n : a->p.max_queued;
}

/* Longest wait of a request that higher ranks starve. */
static int64_t max_starved_wait_us(const struct fp_admission *a)
{
	int64_t least = drain_us(a, min_queue(a));

	if (least < a->p.queue_target_us)
		least = a->p.queue_target_us;
	return STARVED_WAIT_FACTOR * least;
}

/* Whether a request that starts now would miss its deadline. */
static bool is_too_late(const struct fp_admission *a, const struct waiter *w,
			int64_t now_us)
{
	int64_t need = a->limit.run_us - a->limit.deviation_us;

	if (a->p.off)
		return false;
	if (now_us >= w->deadline_us)
		return true;
	return a->limit.running > 0 && need > 0 &&
	       now_us + need > w->deadline_us;
}

static void smooth(int64_t *mean, int64_t sample, int64_t weight)
{
	*mean += (sample - *mean) / weight;
}

/* ---- windows ---- */

static void close_demand_window(struct fp_admission *a)
{
	struct rank_state *rs;
	uint32_t permille;
	int i;

	for (i = 0; i < FP_SHED_RANK_COUNT; i++) {
		rs = &a->ranks[i];
		permille = rs->offered ? rs->refused * 1000 / rs->offered : 0;
		if (permille > 1000)
			permille = 1000;
		rs->refused_permille =
			(rs->refused_permille * (DEMAND_WEIGHT - 1) +
			 permille) /
			DEMAND_WEIGHT;
		rs->offered = 0;
		rs->refused = 0;
	}
	/* No request started, so no delay was measured: decay the old value. */
	if (a->started == 0)
		a->delay_us -= a->delay_us / DEMAND_WEIGHT;
	a->started = 0;
}

/* Closes the demand windows that are over, including empty ones. */
static void roll_demand_windows(struct fp_admission *a, int64_t now_us)
{
	int64_t n = (now_us - a->demand_window_us) / DEMAND_WINDOW_US;
	int64_t i;

	/* After that many empty windows the smoothed values are near zero. */
	for (i = 0; i < n && i < 20 * DEMAND_WEIGHT; i++)
		close_demand_window(a);
	if (n > 0)
		a->demand_window_us += n * DEMAND_WINDOW_US;
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
	struct rank_state *rs = &a->ranks[f->rank];
	uint64_t id = w->id;

	limit_credit(rs, f);
	if (f->tag > rs->vtime)
		rs->vtime = f->tag;
	f->tag += flow_cost(f);
	smooth(&a->delay_us, now_us - w->arrived_us, DELAY_WEIGHT);
	dequeue(a, w);
	free(w);
	a->started++;
	fp_concurrency_limit_started(&a->limit);
	a->sink.start(a->sink.ctx, id, now_us);
}

static struct waiter *first_of_kind(const struct rank_state *rs, int kind)
{
	const struct flow *best = NULL;
	const struct flow *f;

	for (f = rs->waiting; f; f = f->next)
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
	for (i = 0; i < FP_SHED_RANK_COUNT; i++) {
		w = first_of_kind(&a->ranks[i], KIND_NESTED);
		if (!w)
			w = first_of_kind(&a->ranks[i], KIND_ROOT);
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

static struct waiter *last_of_kind(const struct rank_state *rs, int kind)
{
	const struct flow *worst = NULL;
	const struct flow *f;

	for (f = rs->waiting; f; f = f->next)
		if (f->queue[kind].tail &&
		    (!worst || last_tag(f) > last_tag(worst)))
			worst = f;
	return worst ? worst->queue[kind].tail : NULL;
}

/* Returns the request to refuse first when the queue is too long. */
static struct waiter *find_least_important(const struct fp_admission *a)
{
	struct waiter *w;
	int i;

	if (a->p.off)
		return a->fifo.tail;
	for (i = FP_SHED_RANK_COUNT - 1; i >= 0; i--) {
		w = last_of_kind(&a->ranks[i], KIND_ROOT);
		if (!w)
			w = last_of_kind(&a->ranks[i], KIND_NESTED);
		if (w)
			return w;
	}
	return NULL;
}

static uint32_t concurrency_limit(const struct fp_admission *a)
{
	return a->p.off ? (a->p.slots ? a->p.slots : 1) : a->limit.limit;
}

/* Starts queued requests up to the limit; does nothing if called from a sink
 * callback. */
static void start_waiting(struct fp_admission *a, int64_t now_us)
{
	struct waiter *w;

	if (a->in_sink)
		return;
	a->in_sink = true;
	while (a->limit.running < concurrency_limit(a)) {
		w = next_waiter(a);
		if (!w)
			break;
		if (start_wait_us(a, now_us) > 0)
			break;
		if (is_too_late(a, w, now_us))
			refuse(a, w, FP_REASON_DEADLINE);
		else
			start(a, w, now_us);
	}
	a->in_sink = false;
	if (a->queued == 0)
		a->empty_us = now_us;
}

/* Trims the queue to its bound; returns whether newcomer was refused. */
static bool trim_queue(struct fp_admission *a, const struct waiter *newcomer,
		       int64_t now_us)
{
	uint32_t bound = queue_bound(a, now_us);
	struct waiter *w;
	bool newcomer_refused = false;

	while (a->queued > bound) {
		w = find_least_important(a);
		if (!w)
			break;
		if (w != newcomer) {
			refuse(a, w, FP_REASON_OVERLOADED);
			continue;
		}
		a->ranks[w->flow->rank].refused++;
		dequeue(a, w);
		free(w);
		newcomer_refused = true;
	}
	return newcomer_refused;
}

static void expire_queue(struct fp_admission *a, struct fifo *q, int64_t now_us)
{
	int64_t longest = max_starved_wait_us(a);
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

static void expire_rank(struct fp_admission *a, struct rank_state *rs,
			int64_t now_us)
{
	struct flow *f = rs->waiting;
	struct flow *next;
	int kind;

	for (; f; f = next) {
		next = f->next;
		for (kind = 0; kind < KINDS; kind++)
			expire_queue(a, &f->queue[kind], now_us);
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
	fp_concurrency_limit_init(&a->limit, ceiling(p));
	a->limit.fixed = p->off;
	for (i = 0; i < FP_SHED_RANK_COUNT; i++) {
		/* A flow that was never seen starts with its full credit. */
		a->ranks[i].vtime = CREDIT_REQUESTS * UNIT;
		a->ranks[i].open.rank = (uint8_t)i;
		a->ranks[i].open.weight = OPEN_WEIGHT;
	}
	return a;
}

/* Re-queues all requests in the order that the new parameters require. */
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
	if (p->off != a->p.off)
		reorder(a, p->off);
	a->p = *p;
	a->limit.fixed = p->off;
	fp_concurrency_limit_set_top(&a->limit, ceiling(p));
	trim_queue(a, NULL, now_us);
	start_waiting(a, now_us);
}

enum fp_status fp_admission_offer(struct fp_admission *a,
				  const struct fp_admission_request *r,
				  int64_t now_us)
{
	struct flow *f;
	struct waiter *w;

	roll_demand_windows(a, now_us);
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
	start_waiting(a, now_us);
	return trim_queue(a, w, now_us) ? FP_FULL : FP_OK;
}

enum fp_status fp_admission_cancel(struct fp_admission *a, uint64_t id,
				   int64_t now_us)
{
	struct waiter *w = find_waiter(a, id);

	if (!w)
		return FP_NOT_FOUND;
	dequeue(a, w);
	free(w);
	start_waiting(a, now_us);
	return FP_OK;
}

void fp_admission_done(struct fp_admission *a, uint64_t id, int64_t run_us,
		       bool overloaded, int64_t now_us)
{
	(void)id;
	fp_concurrency_limit_ended(&a->limit, run_us, overloaded, now_us);
	start_waiting(a, now_us);
}

void fp_admission_not_run(struct fp_admission *a, int64_t now_us)
{
	fp_concurrency_limit_not_run(&a->limit);
	start_waiting(a, now_us);
}

void fp_admission_tick(struct fp_admission *a, int64_t now_us)
{
	int i;

	roll_demand_windows(a, now_us);
	fp_concurrency_limit_update(&a->limit, now_us);
	if (!a->p.off) {
		for (i = 0; i < FP_SHED_RANK_COUNT; i++)
			expire_rank(a, &a->ranks[i], now_us);
		trim_queue(a, NULL, now_us);
	}
	start_waiting(a, now_us);
}

void fp_admission_read_load(const struct fp_admission *a,
			    struct fp_admission_load *load)
{
	int i;

	load->limit = concurrency_limit(a);
	load->running = a->limit.running;
	load->queued = a->queued;
	load->delay_us = (uint32_t)a->delay_us;
	for (i = 0; i < FP_SHED_RANK_COUNT; i++)
		load->refused_permille[i] =
			(uint16_t)a->ranks[i].refused_permille;
}

void fp_admission_end(struct fp_admission *a)
{
	struct waiter *w;
	uint32_t i;
	int rank;

	if (!a)
		return;
	while ((w = next_waiter(a))) {
		dequeue(a, w);
		free(w);
	}
	for (rank = 0; rank < FP_SHED_RANK_COUNT; rank++) {
		for (i = 0; i < a->ranks[rank].n_flows; i++)
			free(a->ranks[rank].flows[i]);
		free(a->ranks[rank].flows);
	}
	free(a);
}
