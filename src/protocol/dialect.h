/* dialect.h - how calls and announcements are written towards the outside
 *
 * The product has names of its own for headers (fp_dialect_own). A deployment
 * whose callers and backend servers use others hands in another table, so no
 * other file knows their names.
 */
#ifndef FP_PROTOCOL_DIALECT_H
#define FP_PROTOCOL_DIALECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "state/config.h"
#include "state/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most places that a backend server may announce. */
#define FP_MAX_SLOTS 100000

/** What a backend server said of itself. */
struct fp_announcement {
	char instance[FP_NAME_BYTES]; /**< id of this start of the server */
	char service[FP_NAME_BYTES]; /**< "": not said */
	char address[32]; /**< "ip:port"; "": not said */
	uint16_t port; /**< 0: not said */
	uint32_t slots;
	bool serving; /**< false: it leaves, or has left */
	bool farewell; /**< its last word; nothing else was said */
	bool ordered; /**< born_ms and sequence are given */
	int64_t born_ms; /**< its start, Unix milliseconds */
	int64_t cold_us; /**< how long it is slow yet; -1: not said */
	uint64_t sequence; /**< grows within one start */
};

/** Names of headers; NULL where there is none. */
struct fp_dialect {
	const char *request_id; /**< caller's; the server echoes it */
	const char *deadline_ms; /**< time left, both ways */
	const char *key; /**< its whole value is the key; NULL: a bearer's */
	const char *call; /**< names the parent of a nested call */
	const char *root; /**< to the server: id of the tree's root */
	const char *org; /**< to the server */
	const char *cls; /**< to the server */
	const char *caller_service; /**< to the server: where it began */
	const char *target; /**< to the server: the instance meant */
	const char *not_run; /**< from the server, present or "1" */
	const char *cancel_path; /**< posted to the server; NULL: closing
				  *   the connection says it */
	const char *ready_path; /**< asked at the readiness address */
	bool pass_host; /**< the server sees the caller's Host */
	bool other_not_run; /**< 421 from the server means: another instance
			     *   has the address, and it did not run */
	bool status_promises; /**< to callers 408, 421, 429 and 503 mean: not
			       *   run and never will be; nothing else does */
	/**
	 * Nested calls arrive like callers' requests: the id of one is the id
	 * of the request that makes it, this text, and more. NULL: they name
	 * their parent in the header call.
	 */
	const char *nested_mark;

	/**
	 * Reads an announcement of a backend server.
	 *
	 * @return FP_OK, FP_NOT_FOUND when the request is none, FP_INVALID
	 *         with a last message when it cannot be read
	 */
	enum fp_status (*announcement)(const char *method, const char *uri,
				       const uint8_t *body, size_t bytes,
				       struct fp_announcement *out);
	/** Reads the operators' record; NULL: the product's own format. */
	enum fp_status (*config)(const char *text, size_t bytes,
				 struct fp_config **out);
	const char *config_key; /**< where that record lies in the store */
};

extern const struct fp_dialect fp_dialect_own;

#ifdef __cplusplus
}
#endif
#endif
