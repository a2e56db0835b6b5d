/* usage.h - resource usage of a node, from the kernel and from its counters */
#ifndef BENCH_USAGE_H
#define BENCH_USAGE_H

#include <stdint.h>
#include <sys/types.h>

#include "standin/lib_fleet.h"

/** Totals since the node's start, except memory and the current links and
 * claims. Bytes and frames are the sum of sent and received ones. */
struct usage {
	int64_t at_us; /**< monotonic time of the reading */
	double cpu_us; /**< processor time of all threads */
	double control_us; /**< of the control thread */
	double wakes; /**< number of times that a thread was scheduled */
	double rss_kb;
	double datagram_bytes;
	double control_bytes; /**< of the links of the control net */
	double call_bytes; /**< of the links of the call net */
	double control_frames;
	double call_frames;
	double links; /**< open peer links */
	double claims_bytes;
	double claims; /**< stored claims */
	double added_us; /**< sum of the time that the node added to calls */
	double added; /**< number of these calls */
};

/** Reads the usage of a node; processor time first, since the request for the
 * metrics costs some. */
void usage_read(struct fleet_vm *vm, struct usage *u);

/** Reads only processor time and wake-ups of a process. */
void usage_read_cpu(pid_t pid, struct usage *u);

/** Returns the resident memory of a process, KB. */
double usage_rss_kb(pid_t pid);

/** Returns the time between two readings, seconds. */
double usage_seconds(const struct usage *a, const struct usage *b);

/**
 * Returns the body of a GET response, malloc'd; NULL if its status is not 200.
 *
 * @param key  an operator's key, NULL for none
 */
char *usage_get_body(const char *url, const char *key);

/** Returns a node's metrics, malloc'd; NULL on failure. */
char *usage_metrics(struct fleet_vm *vm);

#endif
