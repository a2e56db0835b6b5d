/* traffic_private.h - state shared by the files of the traffic thread */
#ifndef FP_NODE_TRAFFIC_PRIVATE_H
#define FP_NODE_TRAFFIC_PRIVATE_H

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_thread_proc.h>

#include "node/traffic.h"
#include "protocol/dialect.h"
#include "protocol/msg_call.h"
#include "state/attempts.h"
#include "state/balancer.h"
#include "state/early_shed.h"
#include "state/poison.h"
#include "state/slo.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/loop.h"
#include "transport/peer.h"

/** Most workers that one call is offered to. */
#define FP_MAX_TRIED 4

/** Longest caller's id by which a nested call finds its parent, with NUL. */
#define FP_REQUEST_ID_BYTES 256

/** Most calls remembered as cut off by the worker. */
#define FP_MAX_LOST 256

struct call;
struct execution;
struct org_tokens;
struct owner;
struct verdict;
struct fp_grant_answer;
struct fp_claim_answer;
struct fp_part_answer;

/** A call that the worker cut off, perhaps by a crash. */
struct lost_call {
	uint64_t fingerprint;
	int64_t at_us; /* 0: none */
};

/** Counters that calls touch, looked up once. */
struct traffic_counters {
	struct fp_counter *results[FP_CLASS_COUNT][FP_REASON_COUNT];
	struct fp_counter *http_refused; /* malformed or too large */
	struct fp_counter *late_replies; /* of calls that are over */
	struct fp_counter *bad_messages; /* undecodable */
	struct fp_counter *retries; /* extra attempts made */
	struct fp_counter *executions; /* sent to the backend server */
	struct fp_counter *in_flight; /* calls not answered */
	struct fp_counter *config_revision; /* in force here */
	struct fp_histogram *added_us; /* total less the backend's time */
	struct fp_histogram *total_us;
};

struct fp_traffic {
	const struct fp_settings *settings;
	struct fp_settings *reloaded; /* settings, once they were read anew */
	const struct fp_dialect *dialect;
	bool hosted; /* the store holds members and the operators' record */
	uint64_t node_id;
	struct fp_counters *counters;
	struct traffic_counters n;
	struct fp_traffic_hooks hooks;
	struct fp_loop *loop;
	apr_pool_t *pool;
	apr_thread_t *thread;
	struct fp_http_server *callers; /* towards callers */
	struct fp_http_server *local; /* towards the backend server */
	struct fp_http_server *ready; /* says whether callers are taken */
	struct fp_http_client *client; /* to the backend server */
	struct fp_peer_net *peers;
	struct fp_config *config; /* NULL before the first */
	struct fp_member_table *members; /* NULL before the first */
	struct fp_choice *choice;
	apr_hash_t *calls; /* by correlation id of the attempt */
	apr_hash_t *executions; /* by call id */
	apr_hash_t *requests; /* executions by the caller's id */
	apr_hash_t *waiting; /* executions by admission id */
	struct fp_admission *admission;
	struct verdict *verdicts; /* of admission, oldest first */
	size_t verdicts_head; /* next one to be carried out */
	size_t verdicts_end;
	size_t verdicts_size;
	uint64_t next_admission_id;
	struct call *open_calls; /* list */
	uint32_t n_calls;
	uint32_t n_executions;
	uint64_t next_corr;
	struct fp_early *early;
	struct fp_poison *poison;
	struct fp_repeats *repeats;
	apr_hash_t *ratios; /* retry ratio by service */
	apr_hash_t *tokens; /* struct org_tokens by organisation */
	struct org_tokens *all_tokens; /* list */
	struct owner *owner; /* buckets that this node owns; hosted only */
	apr_hash_t *asks; /* the same by id of the open ask */
	apr_hash_t *couriers; /* claim messages by id */
	struct lost_call lost[FP_MAX_LOST];
	uint32_t next_lost;
	struct fp_slo *slo; /* service levels of roots */
	struct fp_recovery recovery; /* of all roots together */
	bool worker_left; /* it announced that it is leaving */
	bool worker_gone; /* it has said farewell */
	bool has_secret; /* links to others can be made */
	bool isolated; /* cut off: keys cannot be trusted */
	int64_t current_us; /* the record was current; 0: not told */
	struct fp_right right; /* to parts of rates; hosted only */
	struct fp_clock *clock;
	struct fp_worker worker;
	int64_t announced_us; /* last announcement */
	struct fp_timer tick;
	bool draining;
	bool withdrawn; /* the worker gets no new work, as the node ends */
	bool drained_told;
	int64_t drain_began_us;
};

/** Returns a uniform random number. */
uint64_t traffic_draw(void);

/** Sends a message on a link; as fp_peer_send. */
enum fp_status traffic_send_on(struct fp_peer_link *link,
			       const struct fp_msg_shared *m);

/** Finds a member by node id; NULL when there is none. */
const struct fp_member *traffic_member(const struct fp_traffic *t, uint64_t id);

/** From now on the worker gets no new work through this node. */
void traffic_withdraw_worker(struct fp_traffic *t, int64_t now_us);

/** Tells the fleet that a request was in flight when the worker crashed. */
void traffic_tell_crash(struct fp_traffic *t, uint64_t fingerprint,
			uint64_t crash_id);

/* --- answer.c --- */

/** Refuses an exchange; retry_after_us 0: no such header. */
void answer_refuse(struct fp_traffic *t, struct fp_http_exchange *x,
		   enum fp_class cls, enum fp_outcome outcome,
		   enum fp_reason reason, int64_t retry_after_us);

/** Passes a backend server's whole answer on. */
void answer_pass(struct fp_traffic *t, struct fp_http_exchange *x,
		 enum fp_class cls, const struct fp_msg_reply *r);

/** Tells whether a header is passed on in either direction. */
bool answer_header_passes(const struct fp_traffic *t, const char *name);

/* --- call.c: calls that this node sends to workers --- */

/** A request from a caller: its key is checked and dropped here. */
void call_from_caller(struct fp_traffic *t, struct fp_http_exchange *x,
		      const struct fp_http_request *r);
/** A nested request from this node's own backend server. */
void call_from_worker(struct fp_traffic *t, struct fp_http_exchange *x,
		      const struct fp_http_request *r);
/** The other end of an exchange went away. */
void call_gone(struct fp_traffic *t, struct fp_http_exchange *x);
/** A reply arrived; link NULL: from this node itself. */
void call_reply(struct fp_traffic *t, struct fp_peer_link *link,
		const struct fp_msg_reply *r);
/** A link went down: ends the attempts that were sent on it. */
void call_link_down(struct fp_traffic *t, struct fp_peer_link *link,
		    bool was_up);
/** Ends the nested calls of an execution that is over. */
void call_parent_over(struct fp_traffic *t,
		      const uint8_t call_id[FP_CALL_ID_BYTES]);

/* --- limits.c, tokens.c, claim.c: see call.h for what calls use --- */

void limits_init(struct fp_traffic *t);
void limits_config(struct fp_traffic *t);
void limits_crash(struct fp_traffic *t, uint64_t fingerprint,
		  uint64_t crash_id);
void limits_end(struct fp_traffic *t);

/** The number of nodes changed: each has its part of rates and bursts. */
void tokens_members(struct fp_traffic *t);
void tokens_init(struct fp_traffic *t);
void tokens_config(struct fp_traffic *t);
void tokens_tick(struct fp_traffic *t);
void tokens_answer(struct fp_traffic *t, uint64_t id,
		   const struct fp_grant_answer *a);
/** A node answered a commitment of a part. */
void tokens_committed(struct fp_traffic *t, uint64_t from, uint64_t id,
		      const struct fp_part_answer *a);
void tokens_end(struct fp_traffic *t);

void claim_init(struct fp_traffic *t);
void claim_tick(struct fp_traffic *t, int64_t now_us);
void claim_answer(struct fp_traffic *t, uint64_t id,
		  const struct fp_claim_answer *a);
void claim_shutdown(struct fp_traffic *t);

/* --- slo_node.c: service levels --- */

void slo_init(struct fp_traffic *t);

/* --- execution.c: calls that this node's backend server runs --- */

/** Takes an encoded call; link NULL: from this node itself. */
void execution_accept(struct fp_traffic *t, struct fp_peer_link *link,
		      const uint8_t *data, size_t bytes);
void execution_init(struct fp_traffic *t);
/** Takes over slots and preset. */
void execution_set_params(struct fp_traffic *t);
void execution_tick(struct fp_traffic *t, int64_t now_us);
/** Carries out what admission has decided. */
void execution_verdicts(struct fp_traffic *t);
void execution_cancel(struct fp_traffic *t, struct fp_peer_link *link,
		      uint64_t corr);
void execution_link_down(struct fp_traffic *t, struct fp_peer_link *link);
/** Finds a running execution by the id that the worker was handed. */
struct execution *execution_find(struct fp_traffic *t,
				 const uint8_t call_id[FP_CALL_ID_BYTES]);

/** Finds a running execution by the caller's id of its request. */
struct execution *execution_find_request(struct fp_traffic *t, const char *id);

/** What a nested call takes from the execution that makes it. */
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
	struct fp_attempt_pot *pot;
};

void execution_context(struct execution *e, struct execution_context *out);
/** Remembers a nested call that failed; the oldest is forgotten. */
void execution_note_failed(struct execution *e, uint64_t print);
/** Whether a nested call of that print failed before. */
bool execution_has_failed(const struct execution *e, uint64_t print);
/** Adds what a nested call's subtree touched. */
void execution_touched(struct execution *e, const struct fp_touch *touched,
		       uint32_t n);

/** Takes an announcement of the backend server; FP_NOT_FOUND: it is none. */
enum fp_status worker_announce(struct fp_traffic *t, struct fp_http_exchange *x,
			       const struct fp_http_request *r);
/** An execution of that root was cut off, or found no worker. */
void worker_lost_call(struct fp_traffic *t, uint64_t fingerprint);
/** Notices a worker that has fallen silent. */
void worker_tick(struct fp_traffic *t, int64_t now_us);

#endif
