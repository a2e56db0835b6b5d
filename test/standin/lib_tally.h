/* lib_tally.h - counts outcomes and latencies by organisation and class */
#ifndef STANDIN_LIB_TALLY_H
#define STANDIN_LIB_TALLY_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Outcome of a request over all its attempts. */
enum tally_kind {
	TALLY_GOOD, /**< complete answer to this request */
	TALLY_REFUSED, /**< reported as not executed */
	TALLY_FAILED, /**< any other outcome */
};

struct tally;

/** Creates an empty tally. */
struct tally *tally_init(void);

/** Adds one request; latency_us counts from its planned arrival time. */
void tally_add(struct tally *t, const char *org, const char *class_name,
	       enum tally_kind kind, const char *reason, uint32_t attempts,
	       int64_t latency_us);

/**
 * Returns a new {"total": G, "groups": [G...]}. G holds org, class, offered,
 * good, refused and failed by reason, attempts, p50_us and p99_us of good
 * answers.
 */
json_t *tally_summary(struct tally *t);

/** Frees a tally. */
void tally_end(struct tally *t);

#ifdef __cplusplus
}
#endif
#endif
