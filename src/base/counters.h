/* counters.h - counters, gauges and histograms in the Prometheus text format */
#ifndef FP_BASE_COUNTERS_H
#define FP_BASE_COUNTERS_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct fp_counters;
struct fp_counter;
struct fp_histogram;

/** Makes an empty registry of metrics; NULL when out of memory. */
struct fp_counters *fp_counters_init(void);

/**
 * Returns the counter of that name and label set; creates it on first use.
 *
 * Get it once and keep the pointer: this call takes a lock, adding does not.
 * Pointers remain valid as long as the registry. Aborts when out of memory.
 * Thread-safe.
 *
 * @param name    metric name, at most 63 bytes
 * @param labels  "" or the text between the braces, at most 191 bytes:
 *                route="x",class="y"
 */
struct fp_counter *fp_counter_get(struct fp_counters *cs, const char *name,
				  const char *labels);

/** Adds n. Thread-safe. */
void fp_counter_add(struct fp_counter *c, int64_t n);

/** Sets a gauge. Thread-safe. */
void fp_counter_set(struct fp_counter *c, int64_t value);

/** Reads the current value. Thread-safe. */
int64_t fp_counter_value(const struct fp_counter *c);

/** Returns the histogram of that name and label set, as fp_counter_get() does;
 * values are in microseconds. */
struct fp_histogram *fp_histogram_get(struct fp_counters *cs, const char *name,
				      const char *labels);

/** Records one value, microseconds. Thread-safe. */
void fp_histogram_add(struct fp_histogram *h, int64_t value_us);

/** Returns the upper bound of the bucket that holds quantile q (0..1); 0 when
 * the histogram is empty. */
int64_t fp_histogram_quantile_us(const struct fp_histogram *h, double q);

/**
 * Writes all series in the Prometheus text format. Thread-safe.
 *
 * @param len  set to the length without terminator
 * @return malloc'd text, NULL when out of memory
 */
char *fp_counters_render(struct fp_counters *cs, size_t *len);

/** Frees the registry and all its counters and histograms; NULL is allowed. */
void fp_counters_end(struct fp_counters *cs);

#ifdef __cplusplus
}
#endif
#endif
