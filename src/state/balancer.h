/* balancer.h - load balancing over the workers of a service */
#ifndef FP_STATE_BALANCER_H
#define FP_STATE_BALANCER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "state/types.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fp_balancer;
struct fp_admission_load;
struct fp_worker_speed;

/** A worker as membership reports it; replaces an earlier entry of that id. */
struct fp_balancer_worker {
	uint64_t id; /**< node id; a restarted node has a new one */
	char service[FP_NAME_BYTES];
	char failure_domain[FP_NAME_BYTES];
	char region[FP_NAME_BYTES];
	uint32_t slots; /**< announced */
	bool serving; /**< announced and not draining */
	bool suspected; /**< its node is suspected to have failed */
	/** Time at which its warm-up ends and it gets its full weight; 0: not
	 * reported, the warm-up then lasts 10 s from when it was first seen
	 * serving. */
	int64_t warm_us;
};

/**
 * Makes a balancer; NULL when out of memory.
 *
 * @param failure_domain, region  location of this node
 * @param off                     baseline for measurements: uniform choice
 *                                among the serving workers
 */
struct fp_balancer *fp_balancer_init(const char *failure_domain,
				     const char *region, bool off);
/** Sets this node's id, which determines its subset of the workers of a large
 * service; called once, before the first worker is added. */
void fp_balancer_set_self(struct fp_balancer *b, uint64_t self);
/** Adds or updates a worker; FP_FULL when the table is full. */
enum fp_status fp_balancer_put_worker(struct fp_balancer *b,
				      const struct fp_balancer_worker *w,
				      int64_t now_us);
void fp_balancer_remove_worker(struct fp_balancer *b, uint64_t id);
/** Whether the choice follows the learned speeds of the workers (default), or
 * takes them to be equal. */
void fp_balancer_set_learning(struct fp_balancer *b, bool learning);

/**
 * Picks the better one of two randomly drawn workers.
 *
 * A worker is better with a lower load (this node's calls in flight plus the
 * advertised queue, over the advertised limit, times its learned run time), in
 * this node's failure domain, not suspected and without recent failures. The
 * weight of a cold worker grows linearly during its warm-up. A worker that fails its calls receives only
 * occasional probes, whatever its health endpoints report.
 *
 * @param avoid  ids that must not be picked (already tried)
 * @param draw   uniform random number
 * @return FP_OK with *id set, FP_NOT_FOUND when no worker may be picked
 */
enum fp_status fp_balancer_pick(struct fp_balancer *b, const char *service,
				const uint64_t *avoid, uint32_t n_avoid,
				uint64_t draw, int64_t now_us, uint64_t *id);

/**
 * Picks a worker that is known to have free capacity for a call that another worker
 * refused for load.
 *
 * @param rank   shed rank of the call
 * @param avoid  ids that must not be picked (already tried)
 * @param draw   uniform random number
 * @return FP_OK with *id set, FP_NOT_FOUND when no worker is known to have free capacity
 */
enum fp_status fp_balancer_pick_retry(struct fp_balancer *b,
				      const char *service, uint8_t rank,
				      const uint64_t *avoid, uint32_t n_avoid,
				      uint64_t draw, int64_t now_us,
				      uint64_t *id);

/** Records that a call was sent to a worker. */
void fp_balancer_call_sent(struct fp_balancer *b, uint64_t id);

/** Result of a call for the statistics of its worker. */
enum fp_balancer_result {
	FP_BALANCER_OK,
	FP_BALANCER_REFUSED, /**< refused for load; not a fault of the worker */
	FP_BALANCER_FAILED, /**< error, incomplete answer, or timeout */
	FP_BALANCER_CANCELLED, /**< cancelled by the caller; not counted */
};

/** Records the result of a sent call and the load that the worker advertised
 * with it (NULL: none). */
void fp_balancer_call_ended(struct fp_balancer *b, uint64_t id,
			    enum fp_balancer_result result, int64_t latency_us,
			    const struct fp_admission_load *load,
			    int64_t now_us);
/** Records what an answer tells of the speed of its worker, for the route of
 * the call. */
void fp_balancer_note_speed(struct fp_balancer *b, uint64_t id,
			    const char *route,
			    const struct fp_worker_speed *speed,
			    int64_t now_us);
void fp_balancer_end(struct fp_balancer *b);

#ifdef __cplusplus
}
#endif
#endif
