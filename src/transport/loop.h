/* loop.h - event loop of one thread: descriptors, timers, posted work
 *
 * All functions are for the loop's thread, except fp_loop_post() and
 * fp_loop_stop().
 *
 * Rule for all that runs on a loop and has a handler: the transport, which finds
 * requests, answers and ends of connections, and the calls above it.
 *
 * - A function that is called from above never calls a handler before it returns.
 *   What it finds meanwhile, such as a connection that has ended, is noted.
 * - Ends are never reported while a list is walked, by the transport or by a
 *   library below it. They are noted there, and reported from the loop itself by
 *   fp_loop_defer(), when nothing else is on the stack.
 * - Memory of a connection or request is freed after its end was reported, by that
 *   report or later. Until then functions from above may name it; they have no
 *   effect.
 *
 * So a handler may end any connection and any call, its own too, and each function
 * may rely on its own objects until it returns. The one exception is a callback
 * that only counts and logs; its documentation says so.
 */
#ifndef FP_TRANSPORT_LOOP_H
#define FP_TRANSPORT_LOOP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fp_loop;
struct fp_watch;

/** Readiness of a descriptor. FP_HANGUP (closed or failed) is reported even if
 *  it was not requested, unless the watched events are 0. */
#define FP_READABLE 1u
#define FP_WRITABLE 2u
#define FP_HANGUP   4u

/** Called on the loop's thread with the events that are ready. */
typedef void (*fp_watch_fn)(void *ctx, uint32_t events);
/** Called on the loop's thread. */
typedef void (*fp_loop_fn)(void *ctx);

/** A one-shot timer. It is embedded in a struct of its user and must be zeroed
 *  before its first use. */
struct fp_timer {
	int64_t due_us; /**< on the loop's clock */
	size_t slot; /**< 1 + index in the heap, 0 when not set */
	fp_loop_fn fn;
	void *ctx;
};

/** Work that is due when everything that the loop called has returned. It is
 *  embedded in a struct of its user and must be zeroed before its first use. */
struct fp_deferred {
	struct fp_deferred *next;
	struct fp_deferred **pprev; /**< NULL when it is not due */
	fp_loop_fn fn;
	void *ctx;
};

/** Creates a loop, which belongs to the thread that calls fp_loop_run(); FP_OK,
 *  FP_NOMEM or FP_IO. */
enum fp_status fp_loop_init(struct fp_clock *clock, struct fp_loop **out);

/** Returns the start time of the current iteration of the loop. */
int64_t fp_loop_now_us(struct fp_loop *l);

/** Runs until fp_loop_stop() is called. */
void fp_loop_run(struct fp_loop *l);

/** Runs one iteration; waits at most max_wait_us for events. */
void fp_loop_run_once(struct fp_loop *l, int64_t max_wait_us);

/** Makes fp_loop_run() return. Any thread. */
void fp_loop_stop(struct fp_loop *l);

/** Queues a call of fn on the loop's thread; calls run in the order of posting.
 *  Any thread. */
void fp_loop_post(struct fp_loop *l, fp_loop_fn fn, void *ctx);

/** Calls fn from the loop itself, in the order of deferral: at the end of this
 *  iteration, or in the next one, which then starts at once. Has no effect if the
 *  work is deferred already. */
void fp_loop_defer(struct fp_loop *l, struct fp_deferred *d, fp_loop_fn fn,
		   void *ctx);
/** Cancels deferred work, which must be done before its memory is freed; has no
 *  effect if it is not due. */
void fp_loop_cancel_deferred(struct fp_loop *l, struct fp_deferred *d);

/** Registers fn to be called at the end of each iteration, before the loop
 *  waits. */
void fp_loop_after_iteration(struct fp_loop *l, fp_loop_fn fn, void *ctx);

/** Watches a descriptor, which the caller still owns; FP_OK, FP_NOMEM or
 *  FP_IO. */
enum fp_status fp_watch_add(struct fp_loop *l, int fd, uint32_t events,
			    fp_watch_fn fn, void *ctx, struct fp_watch **out);
/** Changes the watched events; 0: none, not even FP_HANGUP. FP_OK or FP_IO. */
enum fp_status fp_watch_set(struct fp_watch *w, uint32_t events);
/** Removes a watch; must be called before the descriptor is closed. */
void fp_watch_del(struct fp_watch *w);

/** Sets a timer, replacing its previous due time if it was set. due_us is on
 *  the clock of fp_loop_now_us(). */
void fp_timer_set(struct fp_loop *l, struct fp_timer *t, int64_t due_us,
		  fp_loop_fn fn, void *ctx);
/** Cancels a timer; has no effect if it is not set. */
void fp_timer_cancel(struct fp_loop *l, struct fp_timer *t);

/** Runs the remaining posted work and frees the loop; accepts NULL. */
void fp_loop_end(struct fp_loop *l);

#ifdef __cplusplus
}
#endif
#endif
