/* call.h - one call that this node sends to a worker of some service */
#ifndef FP_NODE_CALL_H
#define FP_NODE_CALL_H

#include "node/traffic_private.h"
#include "state/claims.h"

/** A call from its arrival to its answer. */
struct call {
	struct fp_traffic *t;
	struct fp_http_exchange *x; /* NULL once answered */
	bool left; /* the other end went away */
	bool unnamed; /* bound by its attempt alone, without a claim */
	struct fp_msg_call msg; /* what is sent; its texts are owned */
	uint8_t parent_id[FP_CALL_ID_BYTES]; /* of the execution, if nested */
	uint32_t org_index; /* UINT32_MAX on open routes */
	int64_t started_us;
	int64_t deadline_us;
	int64_t target_us; /* latency that the route aims at; 0: not said */
	uint32_t max_workers; /* that it may reach */
	uint32_t n_reached; /* that it has reached, or may have */
	struct fp_attempt_pot pot; /* extra attempts left */
	bool maybe_ran; /* some attempt ended with unknown outcome */
	uint64_t tried[FP_MAX_TRIED]; /* workers that were offered it */
	uint32_t n_tried;
	uint64_t corr; /* of the attempt in flight, 0: none */
	uint64_t worker;
	struct fp_peer_link *link; /* NULL: this node itself */
	int64_t sent_us;
	struct org_tokens *tokens; /* while it waits for a token */
	struct call *prev_waiting;
	struct call *next_waiting;
	uint64_t claim_id; /* of the take that is not answered, 0: none */
	bool claim_open; /* whether it ran before is not known yet */
	bool claim_held;
	uint8_t claim_name[FP_CLAIM_NAME_BYTES];
	uint64_t claim_attempt;
	const char *blame; /* service that refuses, of an early refusal */
	struct fp_timer deadline_timer;
	struct fp_timer attempt_timer;
	struct call **pprev; /* what points to this one */
	struct call *next;
};

/** Makes a call with room for its request; copies headers that pass. */
struct call *call_new(struct fp_traffic *t, struct fp_http_exchange *x,
		      const struct fp_http_request *r);

/** Fills in what the route says. */
void call_set_route(struct call *c, const struct fp_route *r);

/** Begins a call that is complete: limits, token, claim, then a worker. */
void call_begin(struct call *c);
/** Goes on with a call that got its token. */
void call_have_token(struct call *c);
/** Goes on with a call whose claim was taken. */
void call_have_claim(struct call *c);
/** Ends it with the answer that its first arrival got. */
void call_replay(struct call *c, const struct fp_msg_reply *r);

/** Sends it to a worker; the call may be over when this returns. */
void call_send(struct call *c);

/** When callers come back where nothing better is known, microseconds. */
#define FP_RETRY_AFTER_US FP_US_PER_S

/** When a caller that is refused for load had better come back. */
int64_t call_retry_after_us(const struct call *c);

/** Ends it with a refusal. */
void call_refuse(struct call *c, enum fp_outcome outcome, enum fp_reason why,
		 int64_t retry_after_us);

/* --- limits.c: what may enter --- */

/** Returns FP_REASON_NONE, or why a root is refused at the entry. */
enum fp_reason limits_check(struct call *c);
/** Notes how a call ended; http_status of a whole answer, else 0. */
void limits_ended(struct call *c, enum fp_reason why, int http_status);
/** Learns from a reply what its subtree touched and refuses. */
void limits_learn(struct call *c, const struct fp_msg_reply *r);
/** Notes a first attempt to a service. */
void limits_first(struct call *c);
/** Returns FP_OK when one more attempt may be made. */
enum fp_status limits_repeat(struct call *c);

/* --- tokens.c: rate and burst of organisations --- */

/** Returns FP_OK, FP_AGAIN (waits; call_have_token follows) or FP_FULL. */
enum fp_status tokens_take(struct call *c);
/** Takes a call out of the queue for tokens, if it is there. */
void tokens_forget(struct call *c);

/* --- claim.c: non-idempotent requests --- */

/** Asks for the claim; FP_REASON_NONE when call_have_claim will follow. */
enum fp_reason claim_take(struct call *c);
/** Ends the claim with the call; r is the answer, or NULL. */
void claim_end(struct call *c, enum fp_outcome outcome,
	       const struct fp_msg_reply *r);

/* --- slo_node.c: service levels --- */

/** Counts a root that is being answered; http_status 0: with a refusal. */
void slo_ended(const struct call *c, enum fp_outcome outcome,
	       enum fp_reason why, int http_status);

#endif
