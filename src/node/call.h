/* call.h - one call that this node routes to a worker of some service */
#ifndef FP_NODE_CALL_H
#define FP_NODE_CALL_H

#include "node/traffic_private.h"
#include "state/claims.h"

/** A call, from the arrival of its request to its answer. */
struct call {
	struct fp_traffic *t;
	struct fp_http_exchange *x; /* to be answered; valid until then */
	bool caller_left; /* the client closed its connection */
	/* The route is non-idempotent but does not use Idempotency-Key, so no
	 * claim is taken. The only protection against a second execution is
	 * that an attempt which may have run is never resent. */
	bool without_claim;
	struct fp_msg_call msg; /* request as sent; the call owns its texts */
	uint8_t parent_id[FP_CALL_ID_BYTES]; /* parent execution, if nested */
	/* index in the configuration; UINT32_MAX: no key was checked */
	uint32_t org_index;
	int64_t started_us; /* arrival of the request, loop clock */
	int64_t deadline_us; /* loop clock */
	int64_t target_us; /* target latency of the route; 0: none set */
	uint32_t max_workers; /* maximum number that it may reach */
	uint32_t n_reached; /* workers that it reached, or may have reached */
	struct fp_attempt_budget attempt_budget; /* extra attempts left */
	bool may_have_run; /* some attempt ran, or may have run */
	uint64_t tried[FP_MAX_TRIED]; /* ids of the nodes that it was sent to */
	uint32_t n_tried;
	bool first_counted; /* counted as a first send of the retry budget */
	uint64_t corr; /* correlation id of the attempt in flight; 0: none */
	uint64_t worker; /* id of the node of the last attempt */
	uint64_t retry_worker; /* id that the next attempt goes to; 0: any */
	struct fp_peer_link *link; /* NULL: the worker of this node */
	bool awaits_link; /* the attempt is not sent until its link is up */
	int64_t sent_us; /* start of the last attempt */
	struct org_tokens *tokens; /* set while it waits for a token */
	struct call *prev_waiting;
	struct call *next_waiting;
	uint64_t claim_id; /* id of the unanswered claim request; 0: none */
	bool claim_undecided; /* not known yet whether it ran before */
	bool claim_held;
	uint8_t claim_name[FP_CLAIM_NAME_BYTES];
	uint64_t claim_attempt; /* random number of this arrival */
	const char *overloaded_service; /* cause of early shedding, or NULL */
	struct fp_timer deadline_timer;
	struct fp_timer attempt_timer;
	struct call **pprev; /* the pointer that points to this call */
	struct call *next;
};

/** Creates a call for a request; copies its body and forwardable headers. */
struct call *call_new(struct fp_traffic *t, struct fp_http_exchange *x,
		      const struct fp_http_request *r);

/** Adds a header to the request that is forwarded; copies its texts. */
void call_add_header(struct call *c, const char *name, const char *value);

/** Copies service, idempotency, target latency and worker limit of a route. */
void call_set_route(struct call *c, const struct fp_route *r);

/* --- call_intake.c: what a request is, before it becomes a call --- */

/** Finds the route of a request; FP_REASON_NONE, or the reason to refuse it.
 *  host may be NULL. */
enum fp_reason intake_find_route(const struct fp_traffic *t, const char *host,
				 const char *method, const char *uri,
				 const struct fp_route **route);
/** Whether requests on a route need the key of an organisation. */
bool intake_needs_key(const struct fp_traffic *t, const struct fp_route *route);
/** Sets the organisation of a call on a route that needs a key; found and org:
 *  result of looking for the key. Returns FP_REASON_NONE, or the reason to
 *  refuse the call. */
enum fp_reason intake_set_org(struct call *c, bool has_key,
			      enum fp_status found, uint32_t org);
/** Identifies requests with equal organisation, method, target and body. */
uint64_t intake_fingerprint(const struct call *c);
/** Returns the Retry-After of a request that is refused for that reason before
 *  its call began; 0: none. c is NULL if no call was created. */
int64_t intake_retry_after_us(const struct call *c, enum fp_reason why);

/** Starts a call whose fields are all set: takes its claim, checks the limits,
 *  takes a token and sends it to a worker. The call may be freed when this
 *  returns. */
void call_begin(struct call *c);
/** Continues a call that got its token or needs none. */
void call_after_token(struct call *c);
/** Continues a call that holds its claim or needs none. */
void call_after_claim(struct call *c);
/** Ends a call with a backend server's answer: to the call itself, or the
 *  stored one to an earlier arrival of its request. Frees the call. */
void call_answer(struct call *c, const struct fp_msg_reply *r);

/* --- call_cancel.c: ends before the answer --- */

/** What is needed to cancel an attempt when its call no longer exists. */
struct call_attempt {
	struct fp_peer_link *link; /**< NULL: at the worker of this node */
	uint64_t corr; /**< 0: there is nothing to cancel */
};

/** Returns the attempt in flight, as far as it may be cancelled: a non-idempotent
 *  execution is never interrupted. */
struct call_attempt call_attempt_of(const struct call *c);
/** Cancels an attempt whose call has ended or gone on. May end any call: none may
 *  be in use. */
void call_cancel_attempt(struct fp_traffic *t, const struct call_attempt *a);

/* --- call.c: attempts --- */

/** Sends a call to a worker; it may be freed when this returns. */
void call_send(struct call *c);
/** Handles the result of sending an attempt; the call may be freed when this
 *  returns, and if st is FP_OK, already before. */
void call_check_sent(struct call *c, enum fp_status st);
/** Handles the loss of the exit node of an attempt; sent: the link to it had been
 *  established. The call may be freed when this returns. */
void call_attempt_lost(struct call *c, bool sent);
/** Ends a call whose deadline has passed; the timer's callback. */
void call_on_deadline(void *ctx);

/** Retry-After of refusals when no better value is known, microseconds. */
#define FP_RETRY_AFTER_DEFAULT_US FP_US_PER_S

/** Retry-After of a stopping node: time for a caller to pick another node. */
#define FP_RETRY_ELSEWHERE_US (100 * FP_US_PER_MS)

/** Whether a call takes a token. Nested calls need none: their root took
 *  one. */
static inline bool call_needs_token(const struct call *c)
{
	return c->org_index != UINT32_MAX && !c->t->settings->overload_off;
}

/** Whether a call takes a claim before anything else is decided. */
static inline bool call_needs_claim(const struct call *c)
{
	return c->msg.non_idempotent && !c->without_claim;
}

/** Returns the outcome to report when a call is refused that no attempt of its
 *  own has run: an attempt or an earlier arrival of the request may have. */
enum fp_outcome call_refused_outcome(const struct call *c, enum fp_reason why);

/** Returns the Retry-After of a call that is refused for load. */
int64_t call_retry_after_us(const struct call *c);

/** Ends a call with a refusal and frees it. FP_OUTCOME_NOT_RUN is reported as
 *  unknown if an attempt or an earlier arrival of the request may have run. */
void call_refuse(struct call *c, enum fp_outcome outcome, enum fp_reason why,
		 int64_t retry_after_us);

/** Refuses a call because this process exits before it could end; frees it. */
void call_refuse_stopping(struct call *c);

/* --- limits.c: refusal at the entry and retry limits --- */

/** Returns FP_REASON_NONE, or the reason to refuse the call. */
enum fp_reason limits_check(struct call *c);

/** What limits_check() would decide of a root call. */
struct limits_view {
	enum fp_reason why; /**< a certain refusal, or FP_REASON_NONE */
	double by_preset; /**< probability that the preset admits it */
	double by_load; /**< probability that early shedding admits it */
	char overloaded[FP_NAME_BYTES]; /**< service that decides by_load */
};

/** Tells what limits_check() would decide of a root call without an
 *  Idempotency-Key; changes nothing. */
void limits_peek(const struct call *c, struct limits_view *v);
/** Records how a call ended; http_status 0: it was refused. */
void limits_record_end(struct call *c, enum fp_reason why, int http_status);
/** Updates the service loads, and for a root call the services of its route,
 *  from a reply. */
void limits_update_loads(struct call *c, const struct fp_msg_reply *r);
/** Counts a first attempt to a service. */
void limits_count_first_attempt(struct call *c);
/** Takes a retry from the service's limit; FP_OK, or FP_EXHAUSTED when it must
 *  not be sent. */
enum fp_status limits_take_retry(struct call *c);

/* --- tokens.c: rate and burst of organisations --- */

/** Takes a token; FP_OK. FP_AGAIN: the call waits, and call_after_token() or
 *  call_refuse() follows. FP_FULL: too many calls wait already. */
enum fp_status tokens_take(struct call *c);

/** What tokens_take() would do, and by what news. */
struct tokens_view {
	bool limited; /**< the organisation has a rate */
	enum fp_status result; /**< as of tokens_take() */
	uint32_t held; /**< tokens of grants held here */
	uint32_t waiting; /**< calls that wait for a token */
	/** after FP_AGAIN: the last answer of the owner says that the rate is
	 *  used up */
	bool exhausted;
	int64_t exhausted_age_us; /**< of the last such answer; -1: none */
	bool standalone; /**< this node's own share is used */
};

/** Tells what tokens_take() would do with a call of that organisation; changes
 *  nothing. */
void tokens_peek(const struct fp_traffic *t, const char *org,
		 struct tokens_view *v);
/** Removes a call from the queue for tokens, if it is in it. */
void tokens_cancel_wait(struct call *c);

/* --- call_transmit.c: sending an attempt --- */

/** Sends the attempt to its exit node; or sets awaits_link and returns FP_OK if
 *  the link to it is not established. FP_FULL or FP_UNAVAILABLE: not sent. After
 *  FP_OK the call may have ended. */
enum fp_status call_transmit(struct call *c, const struct fp_member *m);
/** The same on the established link of the call, which does not end it. */
enum fp_status call_transmit_on_link(struct call *c);

/* --- claim.c: non-idempotent requests --- */

/** Requests the claim. Returns the reason to refuse the call, or FP_REASON_NONE
 *  when call_after_claim(), call_answer() or call_refuse() follows. */
enum fp_reason claim_take(struct call *c);
/** Releases or finishes the claim of a call that ends; r is the answer of the
 *  backend server, or NULL. */
void claim_end(struct call *c, enum fp_outcome outcome,
	       const struct fp_msg_reply *r);

/* --- slo_node.c: service levels --- */

/** Counts the end of a root call; http_status 0: it was refused. */
void slo_count_end(const struct call *c, enum fp_outcome outcome,
		   enum fp_reason why, int http_status);

#endif
