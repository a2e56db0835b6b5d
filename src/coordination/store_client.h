/* store_client.h - calls of JSON to a store over HTTP, counted by kind */
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

/** Most kinds of call that one client counts. */
#define FP_STORE_MAX_KINDS 8

/** Shared by the clients of the plain store and of the one with leases. */
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
	const char *path; /**< with its query */
	const char *body; /**< JSON text, or NULL */
	int64_t extra_us; /**< that the store may wait before it answers */
	bool once; /**< not sent again on a new connection */
};

/** @param labels  label of each kind, such as call="get" */
enum fp_status fp_store_client_init(struct fp_store_client *c,
				    struct fp_loop *l, const char *url,
				    int64_t timeout_us, struct fp_counters *cs,
				    const char *const labels[],
				    uint32_t n_kinds);

/** Sends a call; done is always called, with FP_UNAVAILABLE if it could not be
 *  sent. */
void fp_store_client_send(struct fp_store_client *c,
			  const struct fp_store_call *call,
			  fp_http_done_fn done, void *ctx);

/** Counts how a call ended, as far as that was a failure of the store. */
void fp_store_client_ended(struct fp_store_client *c, uint32_t kind,
			   enum fp_status st);

/** Returns the body of an answer, which the caller owns; NULL: none, or it
 *  cannot be read. */
json_t *fp_store_client_body(const struct fp_http_result *r);

void fp_store_client_end(struct fp_store_client *c);

#ifdef __cplusplus
}
#endif
#endif
