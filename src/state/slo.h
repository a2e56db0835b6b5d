/*
 * slo.h - service levels: good and bad answers over time windows, and recovery
 *
 * Order of use: fp_slo_init(); fp_slo_row(), fp_slo_classify() and fp_slo_add()
 * as requests end; fp_slo_sum(), fp_slo_burn() and fp_slo_budget_left() for
 * reports. All times are those of one monotonic clock.
 */
#ifndef FP_STATE_SLO_H
#define FP_STATE_SLO_H

#include <stdbool.h>
#include <stdint.h>

#include "state/config.h"
#include "state/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Classification of a request. */
enum fp_slo_kind {
	FP_SLO_GOOD, /**< ran, status below 500, within the latency */
	FP_SLO_FAILED, /**< error or too late, or outcome unknown */
	FP_SLO_REFUSED, /**< not run although inside the rate */
	FP_SLO_OVER_RATE, /**< above the organisation's rate; not counted */
	FP_SLO_KIND_COUNT,
	/** error of the caller, or the caller disconnected; not counted */
	FP_SLO_IGNORED = FP_SLO_KIND_COUNT
};

/** Time windows; see fp_slo_window_info. */
enum fp_slo_window {
	FP_SLO_SHORT, /**< 5 min in buckets of 10 s */
	FP_SLO_MIDDLE, /**< 1 h in buckets of 1 min */
	FP_SLO_LONG, /**< 3 days in buckets of 1 h */
	FP_SLO_WINDOW_COUNT
};

#define FP_SLO_SHORT_BUCKETS  30
#define FP_SLO_MIDDLE_BUCKETS 60
#define FP_SLO_LONG_BUCKETS   72
#define FP_SLO_BUCKETS \
	(FP_SLO_SHORT_BUCKETS + FP_SLO_MIDDLE_BUCKETS + FP_SLO_LONG_BUCKETS)

/** Maximum number of rows, about 4 KiB each and 4 MiB in total. */
#define FP_SLO_MAX_ROWS 1024
/** Name of the rows for all organisations without a row of their own. */
#define FP_SLO_OTHERS "(others)"
/** Name of the rows for requests on open routes. */
#define FP_SLO_OPEN "(open)"

/** Layout of a window. */
struct fp_slo_window_info {
	const char *name; /**< "5m", "1h", "3d" */
	int64_t bucket_us;
	uint32_t n; /**< buckets */
	uint32_t first; /**< index of its first bucket in fp_slo_row.buckets */
};

extern const struct fp_slo_window_info fp_slo_windows[FP_SLO_WINDOW_COUNT];

/** Number of requests by kind. */
struct fp_slo_counts {
	uint64_t n[FP_SLO_KIND_COUNT];
};

/** Requests of one time span. */
struct fp_slo_bucket {
	int64_t slot; /**< time divided by the bucket's width */
	uint32_t n[FP_SLO_KIND_COUNT];
};

/** Counters of one organisation and class. */
struct fp_slo_row {
	char org[FP_NAME_BYTES];
	enum fp_class cls;
	uint64_t objective_revision; /**< revision that objective is from */
	bool has_objective;
	struct fp_objective objective;
	struct fp_slo_row *next; /**< next in its hash chain */
	struct fp_slo_bucket buckets[FP_SLO_BUCKETS];
};

struct fp_slo;

/** Makes an empty set of rows; NULL when out of memory. */
struct fp_slo *fp_slo_init(void);

/**
 * Returns the row of an organisation and class; creates it on first use.
 *
 * @param org  "" for open routes
 * @return never NULL: the row of FP_SLO_OTHERS when there is no room; aborts
 *         when out of memory
 */
struct fp_slo_row *fp_slo_row(struct fp_slo *s, const char *org,
			      enum fp_class cls);

/** Updates the row's objective from the configuration (NULL: unchanged): the
 * one of its organisation, else the one of "*". */
void fp_slo_set_objective(struct fp_slo_row *r, const struct fp_config *c);

/** Result of a request. */
struct fp_slo_result {
	enum fp_outcome outcome;
	enum fp_reason reason;
	int http_status; /**< of the forwarded answer */
	int64_t latency_us;
	bool caller_left; /**< the caller disconnected before the answer */
};

/** Classifies a request; without an objective no latency is too long. */
enum fp_slo_kind fp_slo_classify(const struct fp_slo_row *r,
				 const struct fp_slo_result *e);

/** Counts one request. */
void fp_slo_add(struct fp_slo_row *r, enum fp_slo_kind kind, int64_t now_us);

/** Reads one bucket; age counts buckets back from the current one, which is
 * 0. */
void fp_slo_read(const struct fp_slo_row *r, enum fp_slo_window w, uint32_t age,
		 int64_t now_us, struct fp_slo_counts *out);

/** Sums the newest n buckets of a window, or all when it has fewer. */
void fp_slo_sum(const struct fp_slo_row *r, enum fp_slo_window w, uint32_t n,
		int64_t now_us, struct fp_slo_counts *out);

/** Returns the number of counted requests: good, failed and refused. */
uint64_t fp_slo_total(const struct fp_slo_counts *c);

/** Returns the fraction of bad requests divided by the allowed fraction; 0 if
 * there are none. */
double fp_slo_burn(const struct fp_slo_counts *c, uint32_t good_permille);

/** Returns the remaining fraction of the error budget; negative when
 * overspent. */
double fp_slo_budget_left(const struct fp_slo_counts *c,
			  uint32_t good_permille);

/** Returns the number of rows. */
uint32_t fp_slo_n_rows(const struct fp_slo *s);
/** Returns row i, less than fp_slo_n_rows(), in order of creation. */
struct fp_slo_row *fp_slo_row_at(const struct fp_slo *s, uint32_t i);

/** Deep copy; NULL when out of memory. */
struct fp_slo *fp_slo_copy(const struct fp_slo *s);
void fp_slo_end(struct fp_slo *s);

/**
 * State of the overload detection: start, depth and duration of the last
 * episode; zero it before the first use.
 *
 * An episode begins with a second in which less than 99 % of the requests are
 * good, and ends with the first of three good seconds in a row. Seconds without
 * requests are ignored; after 10 of them the episode ends with its last bad
 * second.
 */
struct fp_recovery {
	int64_t second; /**< newest second with a request */
	uint32_t good; /**< good requests in it */
	uint32_t total; /**< counted requests in it */
	bool ongoing; /**< an episode has begun and not ended */
	uint32_t episodes; /**< number of episodes begun */
	int64_t start_s; /**< of the last episode */
	int64_t end_s; /**< valid if not ongoing */
	int64_t last_bad_s; /**< newest second below 99 % */
	uint32_t good_run; /**< good seconds in a row */
	int64_t run_start_s; /**< first of them */
	/** lowest fraction of good requests in a second of the episode */
	uint32_t worst_permille;
};

/** Counts one request; over-rate and ignored requests are skipped. */
void fp_recovery_add(struct fp_recovery *r, enum fp_slo_kind kind,
		     int64_t now_us);
/** Processes the seconds that are over; call it before reading the state. */
void fp_recovery_tick(struct fp_recovery *r, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
