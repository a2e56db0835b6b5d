/* admission.h - what a worker runs now, what waits, what is refused */
#ifndef FP_STATE_ADMISSION_H
#define FP_STATE_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "state/types.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fp_admission;

/** Parameters; those of the active preset may change at any time. */
struct fp_admission_params {
	bool off; /**< baseline: FIFO, no limit but slots */
	uint32_t slots; /**< announced by the backend server */
	uint32_t concurrency_percent; /**< ceiling, of the slots */
	int64_t queue_target_us; /**< queue delay aimed at */
	uint32_t max_queued; /**< requests that may wait, all classes */
};

/** One request as admission sees it. */
struct fp_admission_request {
	uint64_t id; /**< chosen by the caller of this module */
	uint8_t rank; /**< see fp_rank */
	uint32_t org; /**< index of the organisation, UINT32_MAX: open */
	uint32_t org_weight; /**< its rate; shares are in this proportion;
			      *   open requests together weigh 10 */
	bool nested; /**< child of a request that has started */
	int64_t deadline_us; /**< on the clock of now_us */
};

/**
 * Called for each request that leaves the queue. A call of the sink may say
 * that a request is done; it may not offer or cancel any.
 */
struct fp_admission_sink {
	/** Runs it now. */
	void (*start)(void *ctx, uint64_t id, int64_t now_us);
	/** Refuses it: FP_REASON_OVERLOADED or FP_REASON_DEADLINE. */
	void (*refuse)(void *ctx, uint64_t id, enum fp_reason why);
	void *ctx;
};

struct fp_admission *fp_admission_init(const struct fp_admission_params *p,
				       const struct fp_admission_sink *sink);
void fp_admission_set_params(struct fp_admission *a,
			     const struct fp_admission_params *p,
			     int64_t now_us);

/**
 * Takes a request; the sink may be called before this returns.
 *
 * @return FP_OK when started, queued, or refused by the sink because it is
 *         too late; FP_FULL when refused at once (the sink is not called for
 *         that one)
 */
enum fp_status fp_admission_offer(struct fp_admission *a,
				  const struct fp_admission_request *r,
				  int64_t now_us);

/** Withdraws a request that still waits; FP_NOT_FOUND when it does not. */
enum fp_status fp_admission_cancel(struct fp_admission *a, uint64_t id,
				   int64_t now_us);

/**
 * Says that a started request ended, which frees its slot.
 *
 * @param id          unused today; each started request ends exactly once
 * @param run_us      time at the backend server
 * @param overloaded  the backend server refused it for load, or it ran out
 *                    of its time there
 */
void fp_admission_done(struct fp_admission *a, uint64_t id, int64_t run_us,
		       bool overloaded, int64_t now_us);

/** Lets time pass: expires requests; call at least every 10 ms. */
void fp_admission_tick(struct fp_admission *a, int64_t now_us);

/** What a worker advertises on its answers. */
struct fp_admission_level {
	uint32_t limit; /**< concurrency allowed now */
	uint32_t running; /**< started and not ended */
	uint32_t queued; /**< waiting */
	uint32_t delay_us; /**< smoothed queue delay */
	/** Share of the demand refused lately, permille, by rank. */
	uint16_t refused_permille[FP_RANK_COUNT];
};

void fp_admission_read_level(const struct fp_admission *a,
			     struct fp_admission_level *level);

void fp_admission_end(struct fp_admission *a);

#ifdef __cplusplus
}
#endif
#endif
