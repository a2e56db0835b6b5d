/* slice_private.h - state shared by the files of the slice service */
#ifndef FP_COORDINATION_SLICE_PRIVATE_H
#define FP_COORDINATION_SLICE_PRIVATE_H

#include "coordination/slice.h"
#include "coordination/slice_service.h"
#include "protocol/msg_shared.h"
#include "protocol/msg_slice.h"
#include "protocol/msg_view.h"
#include "state/bucket.h"
#include "state/claims.h"

/** Slice messages queued until the end of a round. */
#define OUTBOX_MESSAGES 32
/** Ids remembered of processes that are proven to have terminated. */
#define TERMINATED_IDS 256
/** Addresses remembered as unreachable. */
#define MAX_UNREACHABLE 256
/** Sequence number of a change that no stream has numbered yet. */
#define SEQ_UNASSIGNED UINT64_MAX

/** Who sent a request and gets its answer. */
struct requester {
	uint64_t id; /* correlation id */
	char addr[FP_VIEW_ADDRESS_BYTES]; /* "": this node's traffic thread */
};

/** A requester that waits until the backup holds a change. */
struct waiter {
	struct waiter *next;
	struct requester req;
	uint64_t seq; /* of the change; answered when the backup has it */
	int64_t since_us; /* start of the wait */
	bool is_take; /* a new claim, not a finish or release */
	enum fp_claim_state state; /* for the answer */
	uint8_t name[FP_CLAIM_NAME_BYTES]; /* of the claim */
	uint64_t attempt; /* is_take: id of the attempt that claims it */
};

/** Changes to replicate to the backup, in order; see slice_stream.c. */
struct stream_out {
	uint64_t epoch; /* 0: no stream */
	uint64_t backup; /* process id */
	uint64_t snapshot_seq; /* changes up to here are the complete state */
	uint64_t acked; /* the backup holds the changes up to here */
	uint64_t sent; /* the last change sent since the last rewind */
	uint64_t last; /* the last change queued */
	uint8_t (*names)[FP_CLAIM_NAME_BYTES]; /* by seq modulo n_slots */
	uint32_t n_slots; /* a power of two, or 0 */
	int64_t progress_us; /* start of the wait for an acknowledgement */
	int64_t rewound_us; /* last resend from the first unacknowledged one */
};

/** Progress of the replication stream that this node receives as backup. */
struct stream_in {
	uint64_t epoch; /* 0: none */
	uint64_t snapshot_seq; /* changes up to here are the complete state */
	uint64_t applied; /* the last change applied */
};

/** The token bucket of one organisation at its owner. */
struct org_bucket {
	struct org_bucket *next;
	char org[FP_NAME_BYTES];
	struct fp_bucket *bucket;
	int64_t warm_until_us; /* before, an empty bucket proves no overuse */
	uint32_t config_round; /* last configuration that named it */
};

/** A bucket that the previous primary handed to this node. */
struct inherited_bucket {
	struct inherited_bucket *next;
	char org[FP_NAME_BYTES];
	struct fp_bucket_state state;
};

/** A call to the store; at most one per slice is in flight. */
struct store_call {
	uint64_t token; /* of fp_slice, to match the answer */
	bool deferred; /* answered inside the call: handled afterwards */
	enum fp_status status;
	uint64_t version;
	char text[FP_SLICE_TEXT_BYTES];
};

/** One slice at this node. */
struct local_slice {
	struct fp_slice_service *svc;
	struct fp_slice slice;
	struct store_call store_call;
	struct fp_view_record route; /* newest view, for routing and gossip */

	struct org_bucket *buckets;
	struct inherited_bucket *inherited; /* until the next ownership */
	uint64_t inherited_epoch; /* of the primary that handed over */
	bool buckets_valid; /* buckets belong to the present ownership */
	bool buckets_start_full; /* the slice never had an owner before */
	uint64_t owner_epoch; /* epoch of the present ownership */
	int64_t refill_from_us; /* empty buckets refill from then on */

	struct fp_claims *claims; /* NULL before the first claim */
	struct stream_out out;
	struct stream_in in;
	struct waiter *waiters; /* in the order of seq */
	struct waiter **waiters_end;
};

/** An address whose link ended or could not be opened. */
struct unreachable {
	char addr[FP_VIEW_ADDRESS_BYTES]; /* "": free */
	bool failed; /* a connect failed; otherwise the link only ended */
	int64_t since_us; /* first failure */
	int64_t last_us; /* last failure or end */
	int64_t tried_us; /* last retry */
};

/** Counters of the service. */
struct slice_counters {
	struct fp_counter *primary;
	struct fp_counter *backup;
	struct fp_counter *grants_given;
	struct fp_counter *grants_refused;
	struct fp_counter *tokens;
	struct fp_counter *claims;
	struct fp_counter *claim_bytes;
	struct fp_counter *claims_full;
	struct fp_counter *replications;
	struct fp_counter *resends;
	struct fp_counter *misrouted;
	struct fp_counter *takeovers;
	struct fp_counter *state_lost;
	struct fp_counter *store_reads;
	struct fp_counter *store_writes;
};

struct fp_slice_service {
	struct fp_slice_host host; /* first: callbacks cast back */
	struct fp_slice_service_ops ops;
	struct fp_slice_service_config cfg;
	char domain[FP_NAME_BYTES]; /* failure domain of this node */
	struct local_slice slices[FP_SLICES];
	struct fp_config *config; /* NULL before the first */
	uint32_t config_round; /* number of configurations set so far */
	struct fp_member_table *members; /* NULL before the first */
	int64_t members_since_us; /* of the first table */
	uint64_t terminated[TERMINATED_IDS];
	uint32_t n_terminated; /* only grows; the newest is at n_terminated - 1
				* modulo TERMINATED_IDS */
	struct unreachable unreachable[MAX_UNREACHABLE];
	struct fp_msg_slice outbox[OUTBOX_MESSAGES];
	uint32_t n_outbox;
	uint64_t sender; /* of the message being handled, 0 if none */
	const char *sender_addr;
	uint32_t n_waiters; /* over all slices */
	uint32_t call_depth; /* of calls into fp_slice_* */
	uint32_t n_deferred; /* store answers to deliver in service_leave() */
	int64_t digest_us; /* last digest sent */
	int64_t spread_us;
	bool stopping;
	bool closed;
	struct slice_counters counters;
};

/* --- slice_service.c --- */

/** Returns the uncached monotonic clock, microseconds. */
int64_t service_now(const struct fp_slice_service *svc);
/** Encodes and sends to an address. */
enum fp_status service_send_shared(struct fp_slice_service *svc,
				   const char *addr,
				   const struct fp_msg_shared *m);
/** Sends an answer to the requester; sets its correlation id. */
void service_reply(struct fp_slice_service *svc, const struct requester *req,
		   struct fp_msg_shared *m);
/** Sends the queued slice messages. */
void service_flush(struct fp_slice_service *svc);
/** Control address of a process; NULL if not known. */
const char *service_address(const struct fp_slice_service *svc, uint64_t id);
/** Whether this node may act as owner of the slice now. */
bool service_may_act(const struct local_slice *ls);
/** Call before and after each call into fp_slice_*. */
void service_enter(struct fp_slice_service *svc);
void service_leave(struct fp_slice_service *svc);
void service_state_received(struct local_slice *ls, uint64_t epoch);
void service_learn_view(struct local_slice *ls, const struct fp_view_record *r);

/* --- slice_grants.c --- */

/** Begins an ownership: keeps the buckets if resumed, else makes new ones. */
void grants_begin(struct local_slice *ls, const struct fp_slice_ownership *t);
/** Frees the buckets; the ownership they belong to has ended. */
void grants_drop(struct local_slice *ls);
/** Sends each bucket to the successor, after this node stopped acting. */
void grants_hand_over(struct local_slice *ls);
/** Keeps a bucket that the previous primary sent, for the next ownership. */
void grants_on_handover(struct local_slice *ls, uint64_t from,
			const struct fp_bucket_handover *m);
void grants_drop_inherited(struct local_slice *ls);
/** Adds, updates and removes buckets as the configuration requires. */
void grants_configure(struct local_slice *ls);
void grants_on_request(struct local_slice *ls, const struct requester *req,
		       const struct fp_grant_request *m);
void grants_on_return(struct local_slice *ls, const struct fp_grant_return *m);

/* --- slice_claims.c --- */

void claims_begin(struct local_slice *ls, const struct fp_slice_ownership *t);
void claims_drop(struct local_slice *ls);
/** Creates the claim table if there is none; false when out of memory. */
bool claims_ensure_table(struct local_slice *ls);
/** Whether the node may keep one more claim, over all slices. */
bool claims_have_room(const struct fp_slice_service *svc);
/** Whether an answer of that size fits into the node's memory bound. */
bool claims_have_answer_room(const struct fp_slice_service *svc,
			     uint32_t bytes);
void claims_message(struct local_slice *ls, const struct requester *req,
		    const struct fp_msg_shared *m);
/** Answers the waiters whose changes are replicated or timed out. */
void claims_answer_waiters(struct local_slice *ls);
/**
 * Handles a backup without room for the first change that it does not hold.
 *
 * @return whether the claim of that change was dropped
 */
bool claims_on_backup_full(struct local_slice *ls, uint64_t seq,
			   const uint8_t *name);
void claims_update_counters(struct fp_slice_service *svc);

/* --- slice_stream.c --- */

/** Queues a change; sets the seq that the backup must confirm, 0: none. */
enum fp_status stream_append(struct local_slice *ls, const uint8_t *name,
			     uint64_t *seq);
/** Whether a change of that claim is not confirmed by the backup yet. */
bool stream_has_unacked(const struct local_slice *ls, const uint8_t *name);
/** Whether the stream belongs to the epoch and backup of the view. */
bool stream_is_current(const struct local_slice *ls);
/** Opens the stream for a new backup, or sends its snapshot message again. */
void stream_begin(struct local_slice *ls, uint64_t epoch, uint64_t backup);
void stream_tick(struct local_slice *ls);
/** Sends queued changes, up to the window of unacknowledged ones. */
void stream_push(struct local_slice *ls);
void stream_drop(struct local_slice *ls);
void stream_on_snapshot(struct local_slice *ls, uint64_t from,
			const struct fp_view_snapshot *m);
void stream_on_replicate(struct local_slice *ls, uint64_t from,
			 const struct fp_msg_shared *m);
void stream_on_replicated(struct local_slice *ls, uint64_t from,
			  const struct fp_msg_shared *m);

/* --- slice_routes.c --- */

enum fp_slice_member routes_member(const struct fp_slice_service *svc,
				   uint64_t id);
bool routes_pick_backup(const struct fp_slice_service *svc, uint32_t slice,
			uint64_t not_id, struct fp_slice_node *out);
bool routes_is_candidate(const struct fp_slice_service *svc, uint32_t slice);
/** Control address of the primary of a slice; NULL if not known. */
const char *routes_primary_address(struct local_slice *ls);
void routes_tick(struct fp_slice_service *svc);
/** Sends the views of slices handed over to the sender and some peers. */
void routes_on_handover(struct fp_slice_service *svc,
			const struct fp_msg_slice *handover);
/** Sends the known view of one slice to a peer. */
void routes_send_view(struct local_slice *ls, const char *addr);
void routes_message(struct fp_slice_service *svc, const char *addr,
		    const struct fp_msg_view *m);
void routes_peer_down(struct fp_slice_service *svc, const char *addr,
		      bool was_up);
/** A message came from the address: it is reachable. */
void routes_mark_reachable(struct fp_slice_service *svc, const char *addr);
void routes_peer_up(struct fp_slice_service *svc, uint64_t id,
		    const char *addr);

#endif
