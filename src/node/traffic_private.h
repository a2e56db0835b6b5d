/* traffic_private.h - state shared by the files of the traffic thread */
#ifndef FP_NODE_TRAFFIC_PRIVATE_H
#define FP_NODE_TRAFFIC_PRIVATE_H

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_thread_proc.h>

#include "node/id_index.h"
#include "node/traffic.h"
#include "protocol/dialect.h"
#include "protocol/msg_call.h"
#include "state/attempts.h"
#include "state/balancer.h"
#include "state/cold_rate.h"
#include "state/early_shed.h"
#include "state/load_view.h"
#include "state/poison.h"
#include "state/run_times.h"
#include "state/slo.h"
#include "state/worker_model.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/loop.h"
#include "transport/peer.h"

/** Maximum number of workers tried for one call. */
#define FP_MAX_TRIED 4

/** Size of the caller's request id through which a nested call is matched to
 *  its parent, including NUL. */
#define FP_REQUEST_ID_BYTES 256

/** Maximum number of acknowledgements of a leaving worker that wait. */
#define FP_MAX_HELD_ACKS 8

/** Maximum number of calls remembered as aborted by the worker. */
#define FP_MAX_ABORTED_CALLS 256

struct call;
struct parts;
struct execution;
struct org_tokens;
struct owner;
struct admission_decision;
struct fp_grant_response;
struct fp_claim_response;
struct fp_rate_share_response;

/** A call that the worker aborted, possibly by crashing. */
struct aborted_call {
	uint64_t fingerprint;
	int64_t at_us; /* 0: none */
};

/** An announcement that is answered when the end of its worker is stored. */
struct held_ack {
	struct fp_http_exchange *exchange;
	int64_t arrived_us;
};

/** Counters of the call path, looked up once at start. */
struct traffic_counters {
	struct fp_counter *results[FP_CLASS_COUNT][FP_REASON_COUNT];
	struct fp_counter *http_refused; /* malformed or too large */
	struct fp_counter *late_replies; /* of calls that have ended */
	struct fp_counter *bad_messages; /* cannot be decoded */
	struct fp_counter *retries; /* attempts after the first */
	/* nested calls not sent again for load: no worker had capacity */
	struct fp_counter *no_capacity;
	struct fp_counter *executions; /* sent to the backend server */
	struct fp_counter *in_flight; /* calls without a response yet */
	struct fp_counter *config_revision; /* in force here */
	struct fp_counter
		*concurrency; /* learned limit, of the backend server */
	struct fp_counter *rate; /* requests a second that it takes well */
	struct fp_histogram *added_us; /* total minus the backend's time */
	struct fp_histogram *total_us;
};

struct fp_traffic {
	const struct fp_settings *settings;
	struct fp_settings *reloaded; /* owned copy after a reload, or NULL */
	const struct fp_dialect *dialect;
	bool hosted; /* members and configuration come from a lease store */
	uint64_t node_id;
	struct fp_counters *counters;
	struct traffic_counters metrics;
	struct fp_traffic_hooks hooks;
	struct fp_loop *loop;
	apr_pool_t *pool;
	apr_thread_t *thread;
	struct fp_http_server *callers; /* listens for callers */
	struct fp_http_server *local; /* listens for the backend server */
	struct fp_http_server *ready; /* readiness probes */
	struct fp_http_client *client; /* to the backend server */
	struct fp_peer_net *peers;
	struct fp_config *config; /* NULL before the first */
	struct fp_member_table *members; /* NULL before the first */
	struct fp_balancer *balancer; /* selects the worker of an attempt */
	apr_hash_t *calls; /* by correlation id of the attempt */
	apr_hash_t *executions; /* by call id */
	struct fp_id_index *requests; /* executions by the caller's id */
	apr_hash_t *by_admission_id; /* executions, waiting and running */
	struct fp_admission *admission;
	/* admission decisions that are not applied yet, oldest first */
	struct admission_decision *decisions;
	size_t decisions_head; /* index of the next decision to apply */
	size_t decisions_end; /* index after the last one */
	size_t decisions_size; /* allocated entries */
	uint64_t last_admission_id;
	struct call *open_calls; /* list of the calls without an answer yet */
	uint32_t n_calls;
	uint32_t n_executions;
	uint64_t last_corr; /* last id given to an attempt or message */
	struct fp_early_shed *early_shed;
	struct fp_load_view *load_view;
	struct fp_poison *poison;
	struct fp_caller_retries *caller_retries;
	apr_hash_t *retry_limits; /* struct service_retry_limit by service */
	apr_hash_t *tokens; /* struct org_tokens by organisation */
	struct org_tokens *tokens_list; /* the same, as a list */
	struct owner *owner; /* buckets at this node; hosted only */
	/* struct org_tokens by the id of its pending token request, commitment
	 * or release */
	apr_hash_t *pending_requests;
	apr_hash_t *claim_requests; /* claim requests in flight, by id */
	struct aborted_call aborted_calls[FP_MAX_ABORTED_CALLS];
	uint32_t n_aborted; /* recorded so far; modulo the size: next index */
	struct fp_slo *slo; /* service levels of root calls */
	struct fp_recovery recovery; /* overload episodes of all root calls */
	int64_t held_us; /* last update of the metrics of it */
	struct fp_byte_account *bytes; /* held for clients and workers */
	struct parts *parts; /* bodies that pass between nodes in parts */
	/* end of a worker that a later process of this node would read */
	struct fp_worker_end stored_end;
	struct held_ack held_acks[FP_MAX_HELD_ACKS];
	uint32_t n_held_acks;
	bool has_secret; /* links to other nodes can be established */
	bool isolated; /* API keys cannot be trusted */
	/* the configuration was confirmed as the newest at this time, monotonic
	 * clock; 0: never */
	int64_t config_confirmed_us;
	/* when rate shares may be used; hosted only */
	struct fp_share_validity share_validity;
	struct fp_clock *clock;
	struct fp_worker worker;
	struct fp_worker_model *worker_model; /* its speed */
	uint32_t
		learned_limit; /* requests that it should run at a time; 0: none */
	int64_t announced_us; /* arrival of the last announcement */
	struct fp_cold_rate *cold; /* pace of the worker's starts */
	struct fp_counter *cold_starts; /* while the worker was cold */
	struct fp_counter *cold_left_ms;
	struct fp_evacuation evacuation;
	struct fp_counter *evacuated_domains;
	struct fp_timer tick;
	struct fp_run_times *call_times; /* of calls, from their arrival */
	struct fp_run_times *execution_times; /* at the worker of this node */
	bool announcement_late; /* the worker's next one has failed to come */
	bool worker_cold; /* as last logged */
	bool evacuated; /* this node's own domain is */
	bool draining;
	bool worker_withdrawn; /* the worker gets no new work: the node stops */
	bool drained_reported; /* the drained hook was called */
	int64_t drain_started_us;
};

/** Returns a random number, uniform over 64 bits. */
uint64_t traffic_random(void);

/** Encodes a message and sends it on a link; errors as fp_peer_send(). */
enum fp_status traffic_send_on(struct fp_peer_link *link,
			       const struct fp_msg_shared *m);

/** Finds a member by node id; NULL if there is none. */
const struct fp_member *traffic_member(const struct fp_traffic *t, uint64_t id);

/** Stops sending new work to the worker of this node. */
void traffic_withdraw_worker(struct fp_traffic *t, int64_t now_us);

/** Reports to the fleet that a request was in flight when the worker crashed.
 *  Delivery is not guaranteed. */
void traffic_report_crash(struct fp_traffic *t, uint64_t fingerprint,
			  uint64_t crash_id);

/* --- answer.c --- */

/** Answers an exchange with a refusal; retry_after_us 0: without a Retry-After
 *  header. */
void answer_refuse(struct fp_traffic *t, struct fp_http_exchange *x,
		   enum fp_class cls, enum fp_outcome outcome,
		   enum fp_reason reason, int64_t retry_after_us);

/** Returns the HTTP status of a refusal. */
int answer_refusal_status(const struct fp_traffic *t, enum fp_outcome outcome,
			  enum fp_reason reason);

/** Forwards the complete response of a backend server. */
void answer_forward(struct fp_traffic *t, struct fp_http_exchange *x,
		    enum fp_class cls, const struct fp_msg_reply *r);

/** Returns whether a header is forwarded, in either direction. */
bool answer_forwards_header(const struct fp_traffic *t, const char *name);

/* --- call*.c: calls that this node sends to workers --- */

/** Handles a request from a caller. Its API key is checked here and not
 *  forwarded. */
void call_from_caller(struct fp_traffic *t, struct fp_http_exchange *x,
		      const struct fp_http_request *r);
/** Handles a nested request from this node's own backend server. */
void call_from_worker(struct fp_traffic *t, struct fp_http_exchange *x,
		      const struct fp_http_request *r);
/** Ends the call of an exchange whose client disconnected. A non-idempotent
 *  call continues, and its answer is dropped. */
void call_client_left(struct fp_traffic *t, struct fp_http_exchange *x);
/** Handles a reply; link NULL: from this node itself. */
void call_reply(struct fp_traffic *t, struct fp_peer_link *link,
		const struct fp_msg_reply *r);
/** Ends an attempt whose exit node takes no parts of its body. */
void call_body_stalled(struct fp_traffic *t, uint64_t corr);
/** Sends the attempts that wait for a link to the node at its other end. */
void call_link_up(struct fp_traffic *t, struct fp_peer_link *link);
/** Ends the attempts sent on a link that went down. was_up: the link had been
 *  established. */
void call_link_down(struct fp_traffic *t, struct fp_peer_link *link,
		    bool was_up);
/** Ends the nested calls of an execution that has ended, except non-idempotent
 *  ones. */
void call_parent_ended(struct fp_traffic *t,
		       const uint8_t call_id[FP_CALL_ID_BYTES]);

/** Passes the nested calls of an execution that has ended to another one. */
void call_parent_changed(struct fp_traffic *t,
			 const uint8_t from[FP_CALL_ID_BYTES],
			 const uint8_t to[FP_CALL_ID_BYTES]);

/* --- limits.c, tokens.c, claim.c: call.h declares the rest --- */

void limits_init(struct fp_traffic *t);
void limits_update_config(struct fp_traffic *t);
void limits_note_crash(struct fp_traffic *t, uint64_t fingerprint,
		       uint64_t crash_id);
void limits_end(struct fp_traffic *t);

/** Applies a new member table: the number of rate shares follows from it. */
void tokens_update_members(struct fp_traffic *t);
void tokens_init(struct fp_traffic *t);
void tokens_update_config(struct fp_traffic *t);
/** Processes timed-out token requests, renews commitments and serves the
 *  waiting calls of each organisation. */
void tokens_tick(struct fp_traffic *t);
/** Handles the response to the token request with that id. */
void tokens_handle_grant(struct fp_traffic *t, uint64_t id,
			 const struct fp_grant_response *a);
/** Handles the response to a commitment, release or clock probe of a rate
 *  share. */
void tokens_handle_commit(struct fp_traffic *t, uint64_t from, uint64_t id,
			  const struct fp_rate_share_response *a);
void tokens_end(struct fp_traffic *t);

void claim_init(struct fp_traffic *t);
/** Resends unanswered claim requests and refuses the calls of those that timed
 *  out. */
void claim_tick(struct fp_traffic *t, int64_t now_us);
/** Handles the response to the claim request with that id. */
void claim_handle_response(struct fp_traffic *t, uint64_t id,
			   const struct fp_claim_response *a);
/** Frees the claim requests that are still unanswered. */
void claim_shutdown(struct fp_traffic *t);

/* --- drain.c: the planned stop --- */

/** Starts the planned stop; from now on drain_tick() is called. */
void drain_begin(struct fp_traffic *t);
/** Refuses what can no longer be finished, and reports the end of the drain. */
void drain_tick(struct fp_traffic *t, int64_t now_us);
/** Whether a call that starts now will have ended when this process exits; true
 *  if the process is not stopping. */
bool drain_can_finish_call(const struct call *c);
/** The same for an execution of that route at the worker of this node. */
bool drain_can_finish_execution(const struct fp_traffic *t, const char *route,
				int64_t deadline_us);

/* --- speed.c: the speed of this node's backend server --- */

void speed_init(struct fp_traffic *t);
/** The backend server is another process: forgets what was learned. */
void speed_reset(struct fp_traffic *t);
/** Records that an execution made a nested call, and that the call ended. */
void speed_nested_began(struct execution *parent);
void speed_nested_ended(struct execution *parent);
void speed_end(struct fp_traffic *t);
/* --- held.c --- */

/** Updates the metrics of what is held for clients, once a second. */
void held_tick(struct fp_traffic *t, int64_t now_us);

/* --- parts.c: bodies that pass between nodes in parts --- */

void parts_init(struct fp_traffic *t);
/** Handles a call whose body follows, a part or a credit; FP_INVALID with a last
 *  message if it cannot be decoded. */
enum fp_status parts_message(struct fp_traffic *t, struct fp_peer_link *link,
			     const uint8_t *data, size_t bytes);
/** A link has room for more parts. */
void parts_link_room(struct fp_traffic *t, struct fp_peer_link *link);
/** Ends the bodies that are late or make no progress. */
void parts_tick(struct fp_traffic *t, int64_t now_us);
/** Returns whether the body of a call is sent in parts. */
bool parts_wanted(const struct fp_msg_call *m);
/** Sends a call whose body then follows in parts, and which must last until they
 *  are sent or parts_stop(); errors as fp_peer_send(). */
enum fp_status parts_send(struct fp_traffic *t, struct fp_peer_link *link,
			  const struct fp_msg_call *m);
/** Returns whether the call of an attempt cannot run since parts of its body were
 *  not sent. */
bool parts_unsent(const struct fp_traffic *t, uint64_t corr);
/** Sends no more parts for an attempt that has ended, and tells the exit node if
 *  it waits for them. */
void parts_stop(struct fp_traffic *t, struct fp_peer_link *link, uint64_t corr);
/** Expects the body of an execution in parts; FP_CONFLICT if a call with the same
 *  correlation id arrives already. */
enum fp_status parts_expect(struct execution *e, size_t body_bytes);
/** Expects no more parts for an execution. */
void parts_forget(struct execution *e);
void parts_end(struct fp_traffic *t);

/* --- slo_node.c: service levels --- */

void slo_init(struct fp_traffic *t);

/* --- cold.c: the pace of a cold worker --- */

void cold_init(struct fp_traffic *t);
/** Applies the cold rate of this node's service. */
void cold_update_config(struct fp_traffic *t);
/** The worker said that it stays cold for left_us; below 0: it did not say. */
void cold_reported(struct fp_traffic *t, int64_t left_us, const char *why);
/** The worker may be cold without having said so. */
void cold_assume(struct fp_traffic *t, const char *why);
/** Detects missing announcements and the end of a cold time. */
void cold_tick(struct fp_traffic *t, int64_t now_us);
/** The callback start_wait_us of struct fp_admission_sink. */
int64_t cold_start_wait_us(void *ctx, int64_t now_us);
/** Records a start at the worker. */
void cold_note_start(struct fp_traffic *t, int64_t now_us);
/** Reduces an advertised limit to what a cold worker takes now. */
void cold_limit_load(struct fp_traffic *t, struct fp_admission_load *load);
void cold_end(struct fp_traffic *t);

/* --- execution.c: calls that run at this node's backend server --- */

/** Accepts an encoded call that arrived over a link. */
void execution_accept(struct fp_traffic *t, struct fp_peer_link *link,
		      const uint8_t *data, size_t bytes);
/** The same for a call from this node itself; takes over the data, malloc'd. */
void execution_accept_own(struct fp_traffic *t, uint8_t *data, size_t bytes);
/** The same for a call whose body, not 0 bytes, follows in parts. */
void execution_accept_parts(struct fp_traffic *t, struct fp_peer_link *link,
			    const uint8_t *data, size_t bytes,
			    uint64_t body_bytes);
/** Continues an execution whose body is whole. */
void execution_body_whole(struct execution *e);
/** Refuses an execution whose body did not become whole. */
void execution_body_failed(struct execution *e, enum fp_reason why);
void execution_init(struct fp_traffic *t);
/** Applies the worker's slots and the active preset to admission. */
void execution_update_params(struct fp_traffic *t);
void execution_tick(struct fp_traffic *t, int64_t now_us);
/** Refuses the executions that wait for a slot and can no longer be finished
 *  before this process exits. */
void execution_refuse_unfinishable(struct fp_traffic *t);
/** Refuses the executions that wait for a slot while this domain is
 *  evacuated. */
void execution_refuse_evacuated(struct fp_traffic *t);
/** Applies the pending admission decisions. */
void execution_apply_decisions(struct fp_traffic *t);
/** Ends the execution of an attempt that its entry node cancelled, unless it is
 *  non-idempotent. */
void execution_cancel(struct fp_traffic *t, struct fp_peer_link *link,
		      uint64_t corr);
/** Ends the executions whose call arrived on a link that went down. The
 *  non-idempotent ones continue, and their replies are dropped. */
void execution_link_down(struct fp_traffic *t, struct fp_peer_link *link);
/** Finds an execution in progress by the call id that was sent to the worker;
 *  NULL if there is none. */
struct execution *execution_find(struct fp_traffic *t,
				 const uint8_t call_id[FP_CALL_ID_BYTES]);

/** Finds the execution in progress that arrived first of those with that
 *  caller's request id; NULL if there is none. */
struct execution *execution_find_request(struct fp_traffic *t, const char *id);

/** What a nested call inherits from the execution that makes it. */
struct execution_context {
	uint8_t call_id[FP_CALL_ID_BYTES];
	uint8_t root[FP_CALL_ID_BYTES];
	char org[FP_NAME_BYTES];
	uint32_t org_weight;
	enum fp_class cls;
	uint8_t rank;
	int64_t deadline_us;
	uint32_t depth;
	uint64_t fingerprint;
	struct fp_attempt_budget *attempt_budget;
};

/** Fills in out; its attempt budget is that of e, not a copy. */
void execution_context(struct execution *e, struct execution_context *out);
/** Records the fingerprint of a nested call that failed; the oldest record is
 *  dropped when the list is full. */
void execution_note_failed(struct execution *e, uint64_t fingerprint);
/** Returns whether a nested call with that fingerprint failed before. */
bool execution_has_failed(const struct execution *e, uint64_t fingerprint);
/** Adds the calls that the subtree of a nested call made to each service. */
void execution_add_service_calls(struct execution *e,
				 const struct fp_service_load *loads,
				 uint32_t n);

/** Handles an announcement of the backend server; FP_NOT_FOUND if the request
 *  is not an announcement. */
enum fp_status worker_announce(struct fp_traffic *t, struct fp_http_exchange *x,
			       const struct fp_http_request *r);
/** Takes over what an earlier process of this node knew of a worker that had
 *  left, unless a later start of it was announced since. */
void worker_inherit(struct fp_traffic *t, const struct fp_worker_end *e);
/** Handles the report that the end of a worker is stored. */
void worker_end_stored(struct fp_traffic *t, const struct fp_worker_end *e);
/** Records that the worker aborted an execution of that root call, or was not
 *  reachable for it. */
void worker_note_aborted(struct fp_traffic *t, uint64_t fingerprint);
/** Detects a worker whose announcements have stopped. */
void worker_tick(struct fp_traffic *t, int64_t now_us);

#endif
