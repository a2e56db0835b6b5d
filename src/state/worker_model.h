/* worker_model.h - how fast a worker runs, and how much at a time it takes */
#ifndef FP_STATE_WORKER_MODEL_H
#define FP_STATE_WORKER_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct fp_worker_model;

/** A run in progress; set by fp_worker_model_started(). */
struct fp_worker_run {
	int64_t started_us;
	int64_t running_us; /**< integral of the number running, at the start */
	int64_t percent_us; /**< integral of the reported percent */
};

/** What is known of a worker; a value of 0 is not known. */
struct fp_worker_speed {
	/** usual time of a run of the route, without its nested calls and
	 * without the momentary slowness of the machine */
	uint32_t own_us;
	uint32_t inner_us; /**< usual time of its nested calls */
	/** time that work takes now, percent of the usual; only at the node
	 * beside the worker, since it is old when it arrives elsewhere */
	uint16_t percent;
	/** requests a second that the worker takes well, all routes */
	uint32_t rate_per_s;
	uint32_t age_ms; /**< since the last run that was learned from */
};

/** Makes a model that knows nothing; NULL when out of memory. */
struct fp_worker_model *fp_worker_model_init(void);

/** Forgets everything: the worker is another process. Runs in progress are
 *  kept, and nothing is learned from them. */
void fp_worker_model_reset(struct fp_worker_model *m, int64_t now_us);

/** Records that the worker got a request. */
void fp_worker_model_started(struct fp_worker_model *m,
			     struct fp_worker_run *run, int64_t now_us);

/**
 * Records that a run ended.
 *
 * @param route     name of its route
 * @param inner_us  time in which at least one nested call was open
 * @param complete  it ran to its end; nothing is learned from others
 */
void fp_worker_model_ended(struct fp_worker_model *m,
			   const struct fp_worker_run *run, const char *route,
			   int64_t inner_us, bool complete, int64_t now_us);

/** Records what the worker says of its machine: the time that work takes at
 *  this moment, percent of the usual. */
void fp_worker_model_report(struct fp_worker_model *m, uint32_t percent,
			    int64_t now_us);

/**
 * Returns the number of requests that the worker should run at a time.
 *
 * @param slots      number that it announced; never exceeded
 * @param full       requests wait for a place
 * @param may_probe  a probe of a higher limit may begin now
 */
uint32_t fp_worker_model_concurrency(struct fp_worker_model *m, uint32_t slots,
				     bool full, bool may_probe, int64_t now_us);

/** Reads what is known of runs of a route. */
void fp_worker_model_read(const struct fp_worker_model *m, const char *route,
			  int64_t now_us, struct fp_worker_speed *speed);

void fp_worker_model_end(struct fp_worker_model *m);

#ifdef __cplusplus
}
#endif
#endif
