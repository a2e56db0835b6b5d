/* lib_sender.h - sends many concurrent requests from one thread */
#ifndef STANDIN_LIB_SENDER_H
#define STANDIN_LIB_SENDER_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Size of an outcome or a reason; longer ones are truncated. */
#define SENDER_WORD_BYTES 32

/** The result of one send; valid only during the call of done. */
struct send_result {
	long status; /**< 0 if no complete answer arrived */
	const char *outcome; /**< header Fulmar-Outcome, "" if absent */
	const char *reason; /**< header Fulmar-Reason, or why the send failed */
	const char *body;
	size_t body_bytes;
};

/** One send; the caller keeps it and its texts valid until done is called. */
struct send_job {
	const char *method;
	const char *url;
	const char *const *headers; /**< "Name: value", NULL at the end */
	const void *body; /**< NULL for none */
	size_t body_bytes;
	int64_t timeout_ms;
	/** Called once, from within poll; may start another send. */
	void (*done)(struct send_job *job, const struct send_result *result);
};

struct sender;

/** Operations of a sender; each implementation uses one protocol to
 *  the nodes. All calls of a sender must come from one thread. */
struct sender_ops {
	/** Starts a send. */
	void (*send)(struct sender *s, struct send_job *job);
	/** Progresses all sends until one is done or until_us is reached. */
	void (*poll)(struct sender *s, int64_t until_us);
	/** Aborts all sends without calling done, and frees the sender. */
	void (*end)(struct sender *s);
};

/** A sender; the first member selects its operations. */
struct sender {
	const struct sender_ops *ops;
};

/** Creates a sender that uses HTTP/1.1 over pooled connections. */
struct sender *http_sender_init(void);

#ifdef __cplusplus
}
#endif
#endif
