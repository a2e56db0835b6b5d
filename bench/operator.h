/* operator.h - operator actions before a run: key creation, readiness check */
#ifndef BENCH_OPERATOR_H
#define BENCH_OPERATOR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "standin/lib_fleet.h"

#define OPERATOR_KEY_BYTES 128

/** Creates a key for an organisation with "fulmarpass key create". */
bool operator_make_key(struct fleet *f, const char *org,
		       char key[OPERATOR_KEY_BYTES]);

/** Writes "Authorization: Bearer KEY". */
void operator_auth_header(const char *key, char *out, size_t out_bytes);

/**
 * Sends GET requests through a node until one is answered with 200.
 *
 * @param until_us  monotonic time, microseconds
 * @return false after printing an error
 */
bool operator_wait_serving(const struct fleet_vm *vm, const char *path,
			   const char *key, int64_t until_us);

#endif
