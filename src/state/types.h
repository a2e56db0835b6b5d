/*
 * types.h - types shared by all layers: classes, outcomes, reasons, ids
 *
 * The modules of src/state read no clock and take no locks: the caller passes
 * the current time (now_us, microseconds of one monotonic clock) and serialises
 * all calls on one object. A finished fp_config may be read by several threads.
 */
#ifndef FP_STATE_TYPES_H
#define FP_STATE_TYPES_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Size of the name of an organisation, service, route or failure domain, with
 * NUL. */
#define FP_NAME_BYTES 48
/** Size of the id of a backend server's start, with NUL. */
#define FP_INSTANCE_BYTES 256
/** Size of a route's path prefix, with NUL; a platform's may be longer, see
 *  fp_config_prefix(). */
#define FP_PATH_BYTES 128
/** Size of a host name with port, with NUL; a platform's may be longer, see
 *  fp_config_host(). */
#define FP_HOST_BYTES 80
/** Size of a key's hash (BLAKE2b), bytes. */
#define FP_KEY_HASH_BYTES 32
/** Size of an opaque call id before hexadecimal encoding, bytes. */
#define FP_CALL_ID_BYTES 16

/** Importance of a request, most important first. */
enum fp_class {
	FP_CLASS_IMPORTANT, /**< shed last */
	FP_CLASS_NORMAL,
	FP_CLASS_SHEDDABLE, /**< shed first */
	FP_CLASS_COUNT
};

/**
 * Number of shed ranks. The rank of a request is its position in the order of
 * shedding, 0 being shed last: first by the request's class, which may be that
 * of its organisation, then by the class of its route.
 */
#define FP_SHED_RANK_COUNT (FP_CLASS_COUNT * FP_CLASS_COUNT)

static inline uint8_t fp_shed_rank(enum fp_class request, enum fp_class route)
{
	return (uint8_t)((int)request * FP_CLASS_COUNT + (int)route);
}

/** What is known about the execution of a request; a reported outcome is always
 * correct. */
enum fp_outcome {
	FP_OUTCOME_RAN, /**< a backend server ran it and answered */
	FP_OUTCOME_NOT_RUN, /**< no backend server ran it or will run it */
	FP_OUTCOME_UNKNOWN, /**< it may have run */
};

/** Why a request was refused or failed; FP_REASON_NONE with an answer. */
enum fp_reason {
	FP_REASON_NONE,
	FP_REASON_MALFORMED, /**< 400 */
	FP_REASON_KEY_MISSING, /**< 401 */
	FP_REASON_KEY_UNKNOWN, /**< 401, also for a withdrawn key */
	FP_REASON_KEY_MISPLACED, /**< 400, the key is in the path or body */
	FP_REASON_ROUTE_UNKNOWN, /**< 404 */
	FP_REASON_CALL_UNKNOWN, /**< 403, nested call without a running
				     parent, or nested too deeply */
	FP_REASON_TOO_LARGE, /**< 413 */
	FP_REASON_OVER_RATE, /**< 429, the organisation's rate and burst */
	/** 503, inside the rate, but no owner granted a token */
	FP_REASON_NO_TOKENS,
	FP_REASON_OVERLOADED, /**< 503, refused by the admission of a worker */
	FP_REASON_SHED_EARLY, /**< 503, refused at the entry node */
	FP_REASON_RETRY_LIMIT, /**< 503, too many retries */
	FP_REASON_POISON, /**< 503, held back after worker crashes */
	FP_REASON_NO_WORKER, /**< 503, no worker could be reached */
	FP_REASON_NO_CONFIG, /**< 503, no configuration received yet */
	/** 503, isolated from the fleet and the store; on hosted nodes: the
	 * configuration was not confirmed recently enough to check keys */
	FP_REASON_ISOLATED,
	FP_REASON_STOPPING, /**< 503, the node or the worker is stopping */
	FP_REASON_DEADLINE, /**< 504 */
	FP_REASON_CUT, /**< 502, no complete answer arrived */
	FP_REASON_ID_REQUIRED, /**< 400, Idempotency-Key missing */
	FP_REASON_ALREADY_RUN, /**< 409, ran before, the answer is not stored */
	FP_REASON_IN_PROGRESS, /**< 409, the first arrival has not finished */
	FP_REASON_CLAIM_FULL, /**< 503, no room to store the claim */
	FP_REASON_CLAIM_LOST, /**< 503, claims of the slice were lost */
	FP_REASON_NO_CLAIM, /**< 503, no owner could store the claim */
	FP_REASON_ID_REUSED, /**< 422, same key, different request */
	/** 503, refused by a backend server that had free slots */
	FP_REASON_BACKEND_REFUSED,
	FP_REASON_OUTCOME_LOST, /**< 409, may have run; will not run again */
	FP_REASON_COUNT
};

/**
 * Writes the form of a name that state, messages and metrics use: the name
 * itself, or if that is too long its beginning, '~' and a hash of all of it. The
 * form is the same at all nodes.
 *
 * @return whether it is the name itself
 */
bool fp_name_shorten(const char *name, char to[FP_NAME_BYTES]);

/** Returns the lower-case name of a class, outcome or reason. */
const char *fp_class_name(enum fp_class c);
const char *fp_outcome_name(enum fp_outcome o);
const char *fp_reason_name(enum fp_reason r);

/** Parses a class name; returns -1 if it is unknown. */
int fp_class_parse(const char *word);

/** Returns the class of a numeric priority, 0 being the most urgent. */
enum fp_class fp_class_of_priority(uint32_t priority);

/** Returns the HTTP status of a reason; 200 for FP_REASON_NONE. */
int fp_reason_http_status(enum fp_reason r);

#ifdef __cplusplus
}
#endif
#endif
