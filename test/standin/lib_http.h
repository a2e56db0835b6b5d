/* lib_http.h - blocking HTTP requests for stand-ins and tests */
#ifndef STANDIN_LIB_HTTP_H
#define STANDIN_LIB_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** A request. Zeroed fields mean absent or the default. */
struct http_request {
	const char *method; /**< default GET */
	const char *url;
	const char *const *headers; /**< "Name: value", NULL at the end */
	const void *body;
	size_t body_bytes;
	int64_t timeout_ms; /**< default 10 s */
	bool keep_connection; /**< use a pooled connection and keep it */
	bool (*cancelled)(void *arg); /**< polled every 20 ms; true: abort */
	void *cancelled_arg;
};

/** The answer to a request. */
struct http_answer {
	long status; /**< 0 if no complete answer arrived */
	char error[128]; /**< why there is no complete answer, else "" */
	char *headers; /**< as received, lines ending in CR LF */
	char *body; /**< followed by a NUL */
	size_t body_bytes;
	int64_t latency_us;
};

/**
 * Sends a request and waits for its answer. Any thread may call it.
 *
 * @param a  set in either case; free it with http_answer_end()
 * @return the status, 0 if no complete answer arrived
 */
long http_call(const struct http_request *req, struct http_answer *a);

/**
 * Copies a header of the answer.
 *
 * @return false and "" if it is absent
 */
bool http_answer_header(const struct http_answer *a, const char *name,
			char *value, size_t value_bytes);

/** Frees the memory of an answer. */
void http_answer_end(struct http_answer *a);

/** Copies text, percent-encoding all except unreserved characters; what does
 *  not fit into out is omitted. */
void http_escape(const char *text, char *out, size_t out_bytes);

#ifdef __cplusplus
}
#endif
#endif
