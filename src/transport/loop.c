/*
 * loop.c - event loop of one thread: descriptors, timers, posted work
 *
 * Descriptors are watched with an APR pollset. Timers are kept in a binary
 * heap; each stores its own index, so it can be moved or removed without a
 * search. Other threads post work to a locked list and wake the pollset only if
 * the list was empty before.
 *
 * Deferred work is a list, run after descriptors, posted work and timers. What the
 * hooks at the end of an iteration defer is run in the next one, before which the
 * loop does not wait.
 *
 * A watch that is removed during an iteration may still be in the list of ready
 * descriptors, so its memory is reused only after the iteration.
 */
#include "transport/loop.h"

#include <apr_general.h>
#include <apr_poll.h>
#include <apr_portable.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>

#define POLL_EVENTS	    256
#define MAX_ITERATION_HOOKS 8
#define IDLE_WAIT_US	    (10 * FP_US_PER_S) /* longest wait for events */
#define HEAP_FIRST_SIZE	    64

struct fp_watch {
	struct fp_loop *loop;
	apr_socket_t *sock; /* wrapper of fd; reused with the watch */
	apr_pollfd_t pfd; /* as added to the pollset */
	uint32_t events; /* 0: not in the pollset */
	fp_watch_fn fn; /* NULL: removed */
	void *ctx;
	struct fp_watch *next; /* in the free or removed list */
};

struct posted {
	struct posted *next;
	fp_loop_fn fn;
	void *ctx;
};

struct fp_loop {
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	struct fp_clock *clock;
	int64_t now_us; /* start of the current iteration */
	atomic_bool stopping; /* fp_loop_run returns after this iteration */
	struct fp_watch *free; /* watches for reuse */
	struct fp_watch *removed; /* removed in this iteration */
	struct fp_timer **heap; /* earliest first */
	size_t heap_used;
	size_t heap_size;
	pthread_mutex_t post_lock; /* guards the posted list */
	struct posted *post_head;
	struct posted **post_tail;
	struct fp_deferred *deferred; /* list, oldest first */
	struct fp_deferred **deferred_tail;
	struct {
		fp_loop_fn fn;
		void *ctx;
	} hooks[MAX_ITERATION_HOOKS];
	size_t n_hooks;
};

static apr_int16_t to_apr_events(uint32_t events)
{
	apr_int16_t e = 0;

	if (events & FP_READABLE)
		e |= APR_POLLIN;
	if (events & FP_WRITABLE)
		e |= APR_POLLOUT;
	return e;
}

static uint32_t from_apr_events(apr_int16_t e)
{
	uint32_t events = 0;

	if (e & APR_POLLIN)
		events |= FP_READABLE;
	if (e & APR_POLLOUT)
		events |= FP_WRITABLE;
	if (e & (APR_POLLHUP | APR_POLLERR | APR_POLLNVAL))
		events |= FP_HANGUP;
	return events;
}

enum fp_status fp_loop_init(struct fp_clock *clock, struct fp_loop **out)
{
	struct fp_loop *l = calloc(1, sizeof(*l));

	if (!l)
		return fp_fail(FP_NOMEM, "out of memory");
	if (apr_initialize() != APR_SUCCESS) { /* APR counts the calls */
		free(l);
		return fp_fail(FP_IO, "cannot initialise APR");
	}
	l->clock = clock;
	l->now_us = fp_mono_us(clock);
	l->post_tail = &l->post_head;
	l->deferred_tail = &l->deferred;
	pthread_mutex_init(&l->post_lock, NULL);
	if (apr_pool_create(&l->pool, NULL) != APR_SUCCESS) {
		free(l);
		return fp_fail(FP_NOMEM, "out of memory");
	}
	if (apr_pollset_create_ex(&l->pollset, POLL_EVENTS, l->pool,
				  APR_POLLSET_WAKEABLE,
				  APR_POLLSET_EPOLL) != APR_SUCCESS) {
		apr_pool_destroy(l->pool);
		free(l);
		return fp_fail(FP_IO, "cannot create a pollset");
	}
	*out = l;
	return FP_OK;
}

int64_t fp_loop_now_us(struct fp_loop *l)
{
	return l->now_us;
}

/* --- timers --- */

static void heap_put(struct fp_loop *l, size_t i, struct fp_timer *t)
{
	l->heap[i] = t;
	t->slot = i + 1;
}

static void heap_up(struct fp_loop *l, size_t i)
{
	struct fp_timer *t = l->heap[i];
	size_t up;

	while (i > 0) {
		up = (i - 1) / 2;
		if (l->heap[up]->due_us <= t->due_us)
			break;
		heap_put(l, i, l->heap[up]);
		i = up;
	}
	heap_put(l, i, t);
}

static void heap_down(struct fp_loop *l, size_t i)
{
	struct fp_timer *t = l->heap[i];
	size_t child;

	for (;;) {
		child = 2 * i + 1;
		if (child >= l->heap_used)
			break;
		if (child + 1 < l->heap_used &&
		    l->heap[child + 1]->due_us < l->heap[child]->due_us)
			child++;
		if (t->due_us <= l->heap[child]->due_us)
			break;
		heap_put(l, i, l->heap[child]);
		i = child;
	}
	heap_put(l, i, t);
}

static void heap_grow(struct fp_loop *l)
{
	size_t size = l->heap_size ? 2 * l->heap_size : HEAP_FIRST_SIZE;
	struct fp_timer **heap =
		reallocarray(l->heap, size, sizeof(struct fp_timer *));

	/* Callers rely on every timer, so a failure to set one is fatal. */
	if (!heap)
		abort();
	l->heap = heap;
	l->heap_size = size;
}

void fp_timer_cancel(struct fp_loop *l, struct fp_timer *t)
{
	struct fp_timer *last;
	size_t i;

	if (!t->slot)
		return;
	i = t->slot - 1;
	t->slot = 0;
	last = l->heap[--l->heap_used];
	if (last == t)
		return;
	heap_put(l, i, last);
	heap_up(l, i);
	heap_down(l, last->slot - 1);
}

void fp_timer_set(struct fp_loop *l, struct fp_timer *t, int64_t due_us,
		  fp_loop_fn fn, void *ctx)
{
	fp_timer_cancel(l, t);
	if (l->heap_used == l->heap_size)
		heap_grow(l);
	t->due_us = due_us;
	t->fn = fn;
	t->ctx = ctx;
	heap_put(l, l->heap_used++, t);
	heap_up(l, t->slot - 1);
}

static void run_timers(struct fp_loop *l)
{
	struct fp_timer *t;

	while (l->heap_used && l->heap[0]->due_us <= l->now_us) {
		t = l->heap[0];
		fp_timer_cancel(l, t);
		t->fn(t->ctx);
	}
}

/* --- posted work --- */

void fp_loop_post(struct fp_loop *l, fp_loop_fn fn, void *ctx)
{
	struct posted *p = malloc(sizeof(*p));
	bool was_empty;

	if (!p)
		abort();
	p->next = NULL;
	p->fn = fn;
	p->ctx = ctx;
	pthread_mutex_lock(&l->post_lock);
	was_empty = l->post_head == NULL;
	*l->post_tail = p;
	l->post_tail = &p->next;
	pthread_mutex_unlock(&l->post_lock);
	if (was_empty)
		apr_pollset_wakeup(l->pollset);
}

static void run_posted(struct fp_loop *l)
{
	struct posted *p;
	struct posted *next;

	pthread_mutex_lock(&l->post_lock);
	p = l->post_head;
	l->post_head = NULL;
	l->post_tail = &l->post_head;
	pthread_mutex_unlock(&l->post_lock);
	for (; p; p = next) {
		next = p->next;
		p->fn(p->ctx);
		free(p);
	}
}

/* --- deferred work --- */

void fp_loop_defer(struct fp_loop *l, struct fp_deferred *d, fp_loop_fn fn,
		   void *ctx)
{
	if (d->pprev)
		return;
	d->fn = fn;
	d->ctx = ctx;
	d->next = NULL;
	d->pprev = l->deferred_tail;
	*l->deferred_tail = d;
	l->deferred_tail = &d->next;
}

void fp_loop_cancel_deferred(struct fp_loop *l, struct fp_deferred *d)
{
	if (!d->pprev)
		return;
	*d->pprev = d->next;
	if (d->next)
		d->next->pprev = d->pprev;
	else
		l->deferred_tail = d->pprev;
	d->pprev = NULL;
}

/* Work that is deferred meanwhile is run, too. */
static void run_deferred(struct fp_loop *l)
{
	struct fp_deferred *d;

	while ((d = l->deferred)) {
		fp_loop_cancel_deferred(l, d);
		d->fn(d->ctx);
	}
}

/* --- descriptors --- */

static struct fp_watch *watch_alloc(struct fp_loop *l)
{
	struct fp_watch *w = l->free;

	if (w) {
		l->free = w->next;
		return w;
	}
	w = apr_pcalloc(l->pool, sizeof(*w));
	if (w)
		w->loop = l;
	return w;
}

enum fp_status fp_watch_add(struct fp_loop *l, int fd, uint32_t events,
			    fp_watch_fn fn, void *ctx, struct fp_watch **out)
{
	struct fp_watch *w = watch_alloc(l);

	if (!w)
		return fp_fail(FP_NOMEM, "out of memory");
	if (apr_os_sock_put(&w->sock, &fd, l->pool) != APR_SUCCESS) {
		w->next = l->free;
		l->free = w;
		return fp_fail(FP_IO, "cannot wrap descriptor %d", fd);
	}
	w->fn = fn;
	w->ctx = ctx;
	w->events = 0;
	w->pfd.p = l->pool;
	w->pfd.desc_type = APR_POLL_SOCKET;
	w->pfd.desc.s = w->sock;
	w->pfd.client_data = w;
	*out = w;
	return fp_watch_set(w, events);
}

enum fp_status fp_watch_set(struct fp_watch *w, uint32_t events)
{
	apr_pollset_t *ps = w->loop->pollset;

	if (events == w->events)
		return FP_OK;
	if (w->events)
		apr_pollset_remove(ps, &w->pfd);
	w->events = events;
	if (!events)
		return FP_OK;
	w->pfd.reqevents = to_apr_events(events);
	if (apr_pollset_add(ps, &w->pfd) != APR_SUCCESS) {
		w->events = 0;
		return fp_fail(FP_IO, "cannot watch a descriptor");
	}
	return FP_OK;
}

void fp_watch_del(struct fp_watch *w)
{
	fp_watch_set(w, 0);
	w->fn = NULL;
	w->next = w->loop->removed;
	w->loop->removed = w;
}

static void reuse_removed(struct fp_loop *l)
{
	struct fp_watch *w;

	while ((w = l->removed)) {
		l->removed = w->next;
		w->next = l->free;
		l->free = w;
	}
}

static void dispatch(const apr_pollfd_t *ready, apr_int32_t n)
{
	struct fp_watch *w;
	apr_int32_t i;

	for (i = 0; i < n; i++) {
		w = ready[i].client_data;
		if (w && w->fn && w->events)
			w->fn(w->ctx, from_apr_events(ready[i].rtnevents));
	}
}

/* --- iterations --- */

void fp_loop_after_iteration(struct fp_loop *l, fp_loop_fn fn, void *ctx)
{
	if (l->n_hooks == MAX_ITERATION_HOOKS)
		abort();
	l->hooks[l->n_hooks].fn = fn;
	l->hooks[l->n_hooks].ctx = ctx;
	l->n_hooks++;
}

static int64_t wait_us(struct fp_loop *l, int64_t max_wait_us)
{
	int64_t wait = max_wait_us;
	int64_t until;

	if (l->deferred)
		return 0;
	if (!l->heap_used)
		return wait;
	until = l->heap[0]->due_us - fp_mono_us(l->clock);
	if (until < 0)
		return 0;
	/* The pollset truncates to whole milliseconds. A truncated wait would
	 * make the loop spin until the timer is due. */
	until = (until + FP_US_PER_MS - 1) / FP_US_PER_MS * FP_US_PER_MS;
	return until < wait ? until : wait;
}

void fp_loop_run_once(struct fp_loop *l, int64_t max_wait_us)
{
	const apr_pollfd_t *ready = NULL;
	apr_int32_t n = 0;
	size_t i;

	if (apr_pollset_poll(l->pollset, wait_us(l, max_wait_us), &n, &ready) !=
	    APR_SUCCESS)
		n = 0;
	l->now_us = fp_mono_us(l->clock);
	dispatch(ready, n);
	run_posted(l);
	run_timers(l);
	run_deferred(l);
	for (i = 0; i < l->n_hooks; i++)
		l->hooks[i].fn(l->hooks[i].ctx);
	reuse_removed(l);
}

void fp_loop_run(struct fp_loop *l)
{
	while (!atomic_load(&l->stopping))
		fp_loop_run_once(l, IDLE_WAIT_US);
}

void fp_loop_stop(struct fp_loop *l)
{
	atomic_store(&l->stopping, true);
	apr_pollset_wakeup(l->pollset);
}

void fp_loop_end(struct fp_loop *l)
{
	if (!l)
		return;
	run_posted(l);
	apr_pollset_destroy(l->pollset);
	apr_pool_destroy(l->pool);
	pthread_mutex_destroy(&l->post_lock);
	free(l->heap);
	free(l);
	apr_terminate();
}
