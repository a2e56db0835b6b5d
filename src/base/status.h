/* status.h - status codes shared by all modules, with an error message */
#ifndef FP_BASE_STATUS_H
#define FP_BASE_STATUS_H

#ifdef __cplusplus
extern "C" {
#endif

/** Result of a call. It is returned as a value; none of these stops the
 * process. */
enum fp_status {
	FP_OK = 0, /**< done */
	FP_AGAIN, /**< not ready yet; call again later */
	FP_EXHAUSTED, /**< a limit or budget is used up */
	FP_INVALID, /**< malformed input */
	FP_NOT_FOUND, /**< no such entry */
	FP_CONFLICT, /**< lost a race, or the entry exists */
	FP_TIMEOUT, /**< no answer in time; the effect is unknown */
	FP_UNAVAILABLE, /**< the peer cannot be reached; no effect */
	FP_DENIED, /**< not allowed */
	FP_FULL, /**< a table or queue has no room */
	FP_IO, /**< a system call failed */
	FP_NOMEM, /**< out of memory */
	FP_STATUS_COUNT
};

/** Returns the lower-case name of a status, for logs and counters. */
const char *fp_status_name(enum fp_status st);

/**
 * Sets the calling thread's last message and returns st.
 *
 * The message is truncated to FP_MESSAGE_BYTES - 1.
 */
enum fp_status fp_fail(enum fp_status st, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/** Returns the calling thread's last message; valid until its next fp_fail. */
const char *fp_last_message(void);

/** Size of a last message, with terminator. */
#define FP_MESSAGE_BYTES 512

#ifdef __cplusplus
}
#endif
#endif
