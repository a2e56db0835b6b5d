/* admission.h - admission control of a worker: start, queue or refuse */
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

/** Parameters; the active preset may change them at any time. */
struct fp_admission_params {
	/** baseline for measurements: a FIFO, limited by slots only */
	bool off;
	uint32_t slots; /**< announced by the backend server */
	/** ceiling of the limit, percent of the slots */
	uint32_t concurrency_percent;
	int64_t queue_target_us; /**< target of the queue delay */
	/** maximum number of queued requests of all ranks */
	uint32_t max_queued;
};

/** A request as admission control needs it. */
struct fp_admission_request {
	uint64_t id; /**< chosen by the caller of this module */
	uint8_t rank; /**< see fp_shed_rank */
	uint32_t org; /**< index of the organisation, UINT32_MAX: open */
	/** rate of the organisation; slots are divided in this proportion, 0
	 * counts as 1. All requests without an organisation together have
	 * weight 10. */
	uint32_t org_weight;
	bool nested; /**< child of a request that has started */
	int64_t deadline_us; /**< on the clock of now_us */
};

/**
 * Callbacks for requests that leave the queue. A callback may call
 * fp_admission_done(); it must not call fp_admission_offer() or
 * fp_admission_cancel().
 */
struct fp_admission_sink {
	/** Starts the request now. */
	void (*start)(void *ctx, uint64_t id, int64_t now_us);
	/** Refuses the request: FP_REASON_OVERLOADED or FP_REASON_DEADLINE. */
	void (*refuse)(void *ctx, uint64_t id, enum fp_reason why);
	void *ctx;
	/**
	 * Time until the backend server may be sent the next request, although
	 * it has free slots; 0: now. NULL: at any time. While it is not 0 next
	 * to no requests wait.
	 */
	int64_t (*start_wait_us)(void *ctx, int64_t now_us);
};

/** Makes an empty queue and copies p and sink; NULL when out of memory. */
struct fp_admission *fp_admission_init(const struct fp_admission_params *p,
				       const struct fp_admission_sink *sink);
/** Replaces the parameters; sink callbacks may run before this returns. */
void fp_admission_set_params(struct fp_admission *a,
			     const struct fp_admission_params *p,
			     int64_t now_us);

/**
 * Offers a request; sink callbacks may run before this returns.
 *
 * @return FP_OK when started, queued, or refused through the sink because its
 *         deadline cannot be met; FP_FULL when refused at once (no sink
 *         callback runs for this request)
 */
enum fp_status fp_admission_offer(struct fp_admission *a,
				  const struct fp_admission_request *r,
				  int64_t now_us);

/** Removes a queued request; FP_NOT_FOUND when it is not queued. */
enum fp_status fp_admission_cancel(struct fp_admission *a, uint64_t id,
				   int64_t now_us);

/**
 * Records that a started request ended, which frees its slot.
 *
 * @param id          currently unused; each started request ends exactly once
 * @param run_us      time at the backend server
 * @param overloaded  the backend server refused it for load, or it ran out of
 *                    time there
 */
void fp_admission_done(struct fp_admission *a, uint64_t id, int64_t run_us,
		       bool overloaded, int64_t now_us);

/**
 * Records that the backend server did not run a started request although it had
 * free slots.
 *
 * The slot becomes free. Nothing else is learned: a lower limit would not avoid
 * such refusals, and would queue the requests that the server does run.
 */
void fp_admission_not_run(struct fp_admission *a, int64_t now_us);

/** Advances time and expires requests; call at least every 10 ms. */
void fp_admission_tick(struct fp_admission *a, int64_t now_us);

/** Load that a worker advertises on its answers. */
struct fp_admission_load {
	uint32_t limit; /**< current concurrency limit */
	uint32_t running; /**< started and not ended */
	uint32_t queued; /**< waiting for a slot */
	uint32_t delay_us; /**< smoothed queue delay */
	/** Recently refused permille of the demand, by shed rank. */
	uint16_t refused_permille[FP_SHED_RANK_COUNT];
};

/** Reads the current load. */
void fp_admission_read_load(const struct fp_admission *a,
			    struct fp_admission_load *load);

/** Frees the queue without a callback for queued requests; NULL is allowed. */
void fp_admission_end(struct fp_admission *a);

#ifdef __cplusplus
}
#endif
#endif
