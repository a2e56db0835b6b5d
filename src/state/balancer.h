/* choice.h - which worker of a service gets the next call */
#ifndef FP_STATE_CHOICE_H
#define FP_STATE_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "state/types.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fp_choice;

/** What membership says of a worker; replaces what was known of it. */
struct fp_choice_worker {
	uint64_t id; /**< node id; a restarted node has another */
	char service[FP_NAME_BYTES];
	char failure_domain[FP_NAME_BYTES];
	char region[FP_NAME_BYTES];
	uint32_t slots; /**< announced */
	bool serving; /**< announced and not leaving */
	bool suspected; /**< membership suspects its node */
	/** From here on it has its whole share; 0: not told, a while after it was
	 *  first seen serving. */
	int64_t warm_us;
};

/** @param failure_domain, region  where the choosing node stands
 *  @param off  baseline: uniform choice among the serving ones */
struct fp_choice *fp_choice_init(const char *failure_domain, const char *region,
				 bool off);
/** Sets the chooser's own id, from which its subset of a large service's
 *  workers follows; to be called once, before the first worker. */
void fp_choice_set_self(struct fp_choice *c, uint64_t self);
/** Adds or changes a worker; FP_FULL when too many are known. */
enum fp_status fp_choice_put(struct fp_choice *c,
			     const struct fp_choice_worker *w, int64_t now_us);
void fp_choice_remove(struct fp_choice *c, uint64_t id);

/**
 * Picks a worker: the better of two random ones.
 *
 * Better is less load (own calls in flight plus the advertised queue, over
 * the advertised limit), a nearer domain, no suspicion, no recent failures. A
 * cold worker takes a share that ramps up. A worker that fails what it is given is tried with
 * few calls only, whatever its endpoints say.
 *
 * @param avoid  ids not to pick (tried already)
 * @param draw   uniform random number
 * @return FP_OK with *id set, FP_NOT_FOUND when no worker may be picked
 */
enum fp_status fp_choice_pick(struct fp_choice *c, const char *service,
			      const uint64_t *avoid, uint32_t n_avoid,
			      uint64_t draw, int64_t now_us, uint64_t *id);

/** Notes that a call was sent to a worker. */
void fp_choice_sent(struct fp_choice *c, uint64_t id);

/** How a call ended, as far as the choice cares. */
enum fp_choice_result {
	FP_CHOICE_GOOD,
	FP_CHOICE_REFUSED, /**< for load; not a fault of the worker */
	FP_CHOICE_FAILED, /**< error, cut, or no answer in time */
	FP_CHOICE_GONE, /**< the caller went away; says nothing */
};

/** Notes how a sent call ended, and the worker's level (NULL: none). */
struct fp_admission_level;
void fp_choice_ended(struct fp_choice *c, uint64_t id,
		     enum fp_choice_result result, int64_t latency_us,
		     const struct fp_admission_level *level, int64_t now_us);
void fp_choice_end(struct fp_choice *c);

#ifdef __cplusplus
}
#endif
#endif
