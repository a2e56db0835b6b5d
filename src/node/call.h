/* call.h - one call that this node routes to a worker of some service */
#ifndef FP_NODE_CALL_H
#define FP_NODE_CALL_H

#include "node/traffic_private.h"
#include "state/claims.h"

/** A call, from the arrival of its request to its answer. */
struct call {
	struct fp_traffic *t;
	struct fp_http_exchange *x; /* NULL once answered */
	bool caller_left; /* the client closed its connection */
	/* Non-idempotent, but its route has no Idempotency-Key: no claim is
	 * taken; that the attempt is sent once is the only bound. */
	bool without_claim;
	struct fp_msg_call msg; /* request as sent; the call owns its texts */
	uint8_t parent_id[FP_CALL_ID_BYTES]; /* parent execution, if nested */
	uint32_t org_index; /* UINT32_MAX on open routes */
	int64_t started_us;
	int64_t deadline_us;
	int64_t target_us; /* target latency of the route; 0: none set */
	uint32_t max_workers; /* most workers that the call may reach */
	uint32_t n_reached; /* workers that it reached, or may have reached */
	struct fp_attempt_budget attempt_budget; /* extra attempts left */
	bool may_have_run; /* some attempt ended with unknown outcome */
	uint64_t tried[FP_MAX_TRIED]; /* workers that it was offered to */
	uint32_t n_tried;
	uint64_t corr; /* correlation id of the attempt in flight; 0: none */
	uint64_t worker;
	struct fp_peer_link *link; /* NULL: the worker of this node */
	int64_t sent_us;
	struct org_tokens *tokens; /* set while it waits for a token */
	struct call *prev_waiting;
	struct call *next_waiting;
	uint64_t claim_id; /* id of the unanswered claim request; 0: none */
	bool claim_undecided; /* not known yet whether it ran before */
	bool claim_held;
	uint8_t claim_name[FP_CLAIM_NAME_BYTES];
	uint64_t claim_attempt;
	const char *overloaded_service; /* cause of an early refusal, or NULL */
	struct fp_timer deadline_timer;
	struct fp_timer attempt_timer;
	struct call **pprev; /* the pointer that points to this call */
	struct call *next;
};

/** Creates a call for a request; copies its body and forwardable headers. */
struct call *call_new(struct fp_traffic *t, struct fp_http_exchange *x,
		      const struct fp_http_request *r);

/** Copies service, idempotency, target latency and worker limit of a route. */
void call_set_route(struct call *c, const struct fp_route *r);

/** Starts a complete call: claim, limits, token, then a worker. */
void call_begin(struct call *c);
/** Continues a call that got its token. */
void call_after_token(struct call *c);
/** Continues a call that holds its claim or needs none. */
void call_after_claim(struct call *c);
/** Ends a call with an answer: its own or the stored one of a first arrival. */
void call_answer(struct call *c, const struct fp_msg_reply *r);

/** Sends a call to a worker; it may be freed when this returns. */
void call_send(struct call *c);

/** Retry-After of refusals when no better value is known, microseconds. */
#define FP_RETRY_AFTER_DEFAULT_US FP_US_PER_S

/** Returns the Retry-After of a call that is refused for load. */
int64_t call_retry_after_us(const struct call *c);

/** Ends a call with a refusal. */
void call_refuse(struct call *c, enum fp_outcome outcome, enum fp_reason why,
		 int64_t retry_after_us);

/* --- limits.c: refusal at the entry and retry limits --- */

/** Returns FP_REASON_NONE, or the reason to refuse the call. */
enum fp_reason limits_check(struct call *c);
/** Records how a call ended; http_status 0: it was refused. */
void limits_record_end(struct call *c, enum fp_reason why, int http_status);
/** Takes service loads and the services of its route from a reply. */
void limits_learn(struct call *c, const struct fp_msg_reply *r);
/** Counts a first attempt to a service. */
void limits_count_first(struct call *c);
/** Takes a retry from the service's limit; FP_OK when it may be sent. */
enum fp_status limits_take_retry(struct call *c);

/* --- tokens.c: rate and burst of organisations --- */

/** Returns FP_OK, FP_AGAIN (waits; call_after_token follows) or FP_FULL. */
enum fp_status tokens_take(struct call *c);
/** Removes a call from the queue for tokens, if it is in it. */
void tokens_cancel_wait(struct call *c);

/* --- claim.c: non-idempotent requests --- */

/** Requests the claim; FP_REASON_NONE when call_after_claim will follow. */
enum fp_reason claim_take(struct call *c);
/** Ends the claim with the call; r is the answer, or NULL. */
void claim_end(struct call *c, enum fp_outcome outcome,
	       const struct fp_msg_reply *r);

/* --- slo_node.c: service levels --- */

/** Counts the end of a root call; http_status 0: it was refused. */
void slo_count_end(const struct call *c, enum fp_outcome outcome,
		   enum fp_reason why, int http_status);

#endif
