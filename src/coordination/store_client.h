/* store_client.h - JSON calls to a store over HTTP, with counters by kind */
#ifndef FP_COORDINATION_STORE_CLIENT_H
#define FP_COORDINATION_STORE_CLIENT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/status.h"
#include "transport/http_client.h"
#include "transport/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Maximum number of call kinds per client. */
#define FP_STORE_MAX_KINDS 8

/** HTTP client and counters, shared by the clients of both kinds of store (with
 *  and without leases). */
struct fp_store_client {
	struct fp_http_client *http;
	char base[256]; /**< "http://ip:port" */
	int64_t timeout_us;
	struct fp_counter *calls[FP_STORE_MAX_KINDS];
	struct fp_counter *failures[FP_STORE_MAX_KINDS];
};

/** One call. */
struct fp_store_call {
	uint32_t kind; /**< index of its counters */
	const char *method;
	const char *path; /**< with the query */
	const char *body; /**< JSON text, or NULL */
	int64_t extra_us; /**< added to the timeout: the store's waiting time */
	bool once; /**< do not resend on a new connection */
	/** Set to a handle for fp_http_cancel(), valid until done is called;
	 *  may be NULL. */
	struct fp_http_send **handle;
};

/**
 * Initializes a client.
 *
 * @param url         of the store, "http://ip:port"
 * @param timeout_us  for each call, without its extra_us
 * @param labels      metric label of each kind, such as call="get"; n_kinds of
 *                    them, at most FP_STORE_MAX_KINDS
 */
enum fp_status fp_store_client_init(struct fp_store_client *c,
				    struct fp_loop *l, const char *url,
				    int64_t timeout_us, struct fp_counters *cs,
				    const char *const labels[],
				    uint32_t n_kinds);

/** Sends a call; done is called once. If the call could not be sent, done is
 *  called with FP_UNAVAILABLE before this function returns. */
void fp_store_client_send(struct fp_store_client *c,
			  const struct fp_store_call *call,
			  fp_http_done_fn done, void *ctx);

/** Counts a failed call (FP_UNAVAILABLE, FP_TIMEOUT); ignores other results. */
void fp_store_client_count_failure(struct fp_store_client *c, uint32_t kind,
				   enum fp_status st);

/** Returns the parsed body of an answer, for json_decref() by the caller; NULL
 *  when there is none or it is not JSON. */
json_t *fp_store_client_body(const struct fp_http_result *r);

/** Ends the HTTP client. */
void fp_store_client_end(struct fp_store_client *c);

#ifdef __cplusplus
}
#endif
#endif
