/*
 * calc.h - statistics of the callers' request records
 *
 * A record is a line of the CSV file that the caller stand-in writes: one line
 * per request, covering all its attempts. Times are in microseconds from the
 * caller's start.
 */
#ifndef BENCH_CALC_H
#define BENCH_CALC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Size of a name in a record, with NUL; longer ones are cut off. */
#define CALC_NAME_BYTES 48

/** One request as seen by its caller. */
struct sample {
	int64_t arrival_us; /**< scheduled time */
	/** from the scheduled arrival to the last answer */
	int64_t latency_us;
	uint32_t attempts; /**< first attempt and retries */
	bool complete; /**< the complete answer arrived */
	char org[CALC_NAME_BYTES];
	char class_name[CALC_NAME_BYTES];
	char route[CALC_NAME_BYTES];
	char outcome[CALC_NAME_BYTES];
	char reason[CALC_NAME_BYTES];
};

/** Requests of one run; all zero: empty. */
struct samples {
	struct sample *v;
	size_t n;
	size_t capacity;
};

/** Counts of requests. */
struct served_counts {
	int64_t offered; /**< all */
	int64_t good; /**< those with a complete answer */
};

/** Parses one line of the CSV file; false for a malformed line and the
 * header. */
bool sample_parse(const char *line, struct sample *out);

/** Appends the records of a caller's file; false when it cannot be read. */
bool samples_read(struct samples *s, const char *path);

/** Appends a copy of one request; aborts when out of memory. */
void samples_add(struct samples *s, const struct sample *one);

/** Frees the requests and leaves s empty. */
void samples_end(struct samples *s);

/** Returns good / offered; 1 when nothing was offered. */
double served_fraction(struct served_counts c);

/**
 * Counts the requests that arrived in [from_us, to_us).
 *
 * @param org, class_name  NULL for any
 */
struct served_counts samples_count(const struct samples *s, int64_t from_us,
				   int64_t to_us, const char *org,
				   const char *class_name);

/** Returns the complete answers per second, of the answers that arrived in
 * [from_us, to_us). */
double samples_goodput(const struct samples *s, int64_t from_us, int64_t to_us);

/** Returns quantile q (0..1) of the latency of complete answers to requests
 * that arrived in [from_us, to_us); 0 when there is none. */
int64_t samples_quantile_us(const struct samples *s, int64_t from_us,
			    int64_t to_us, double q);

/**
 * Finds the organisation with the lowest served fraction.
 *
 * @param except  organisation to skip, NULL for none
 * @param name    set to "" when there is none
 * @return its served fraction, 1 when there is none
 */
double samples_worst_org(const struct samples *s, int64_t from_us,
			 int64_t to_us, const char *except, char *name,
			 size_t name_bytes);

/** Times of a run with a surge, microseconds. */
struct surge_times {
	/** start of the reference period, which lasts until the surge */
	int64_t before_us;
	int64_t surge_us; /**< start of the surge */
	int64_t surge_end_us; /**< end of the surge */
	int64_t end_us; /**< end of arrivals */
};

/**
 * Finds the time at which service was back to normal after a surge.
 *
 * The examined seconds start at multiples of 250 ms after the end of the
 * surge. Service is normal in a second if at least 99 % of the requests that
 * arrived in it got a complete answer and their p99 is at most twice that of
 * the reference period. It is back to normal at the start of the earliest
 * second such that it and all later ones are normal.
 *
 * @return microseconds from the end of the surge, -1 when not within the run
 */
int64_t samples_recovery_us(const struct samples *s,
			    const struct surge_times *t);

/**
 * Sums a counter over its label sets, from the Prometheus text format.
 *
 * @param label  text that the label set must contain, NULL for any
 */
int64_t metrics_sum(const char *text, const char *name, const char *label);

/** Returns the maximum of a counter over its label sets, at least 0. */
int64_t metrics_max(const char *text, const char *name, const char *label);

/** A set of root request ids. */
struct root_set;

/** Makes an empty set; aborts when out of memory. */
struct root_set *root_set_init(void);

/**
 * Adds the root request ids in a backend server's execution log.
 *
 * @param log  text of the log, NULL for none
 * @return number of started executions
 */
int64_t root_set_add_log(struct root_set *set, const char *log);

/** Returns the number of distinct ids; those after 131072 and those longer than
 *  32 bytes are ignored. */
int64_t root_set_count(const struct root_set *set);

void root_set_end(struct root_set *set);

#ifdef __cplusplus
}
#endif
#endif
