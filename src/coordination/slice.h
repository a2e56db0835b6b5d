/*
 * slice.h - ownership of one slice as seen by one node
 *
 * Order of use: init; then tick at least every FP_SLICE_MAX_TICK_US, and pass
 * in messages and store results as they arrive; call may_act before and during
 * each act; call stop for a planned shutdown. Not thread-safe: call all
 * functions of a slice from one thread. Times named now_us are on the node's
 * monotonic clock. The module never blocks, never reads a clock and performs no
 * I/O itself.
 */
#ifndef FP_COORDINATION_SLICE_H
#define FP_COORDINATION_SLICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "protocol/msg_slice.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Longest "ip:control_port", with NUL. */
#define FP_SLICE_ADDRESS_BYTES 54
/** Longest text of a view record, with NUL. */
#define FP_SLICE_TEXT_BYTES 512
/** Longest key of a view record, with NUL. */
#define FP_SLICE_KEY_BYTES 32

/** How long a promise of the backup is valid at the primary. */
#define FP_SLICE_PROMISE_US INT64_C(2000000)
/** How long a primary without ready backup may act after a store write. */
#define FP_SLICE_STORE_RIGHT_US INT64_C(5000000)
/** Longest time between two ticks. */
#define FP_SLICE_MAX_TICK_US INT64_C(100000)
/** Other nodes add 1/40 of a span to it: a clock errs by at most 1 %, so two
 *  clocks differ by about 2 % of a span at most. */
#define FP_SLICE_DRIFT_DIVISOR 40

/** One process: its id, new at each start, and its control address. */
struct fp_slice_node {
	uint64_t id; /**< 0: none */
	char address[FP_SLICE_ADDRESS_BYTES]; /**< empty if not known */
};

/** The view of a slice, as stored in its record. */
struct fp_slice_view {
	uint64_t epoch; /**< grows whenever the primary or backup changes */
	struct fp_slice_node primary;
	struct fp_slice_node backup;
	bool backup_ready; /**< the backup holds the complete state */
	uint64_t renewals; /**< incremented by each write of the record; may
			    *   restart after a takeover */
};

/** Membership state of a process. */
enum fp_slice_member {
	FP_SLICE_MEMBER_UNKNOWN,
	FP_SLICE_MEMBER_ALIVE,
	FP_SLICE_MEMBER_SUSPECT,
	FP_SLICE_MEMBER_DEAD, /**< presumed after a long suspicion; no proof */
	FP_SLICE_MEMBER_LEAVING, /**< about to stop; may still act */
	FP_SLICE_MEMBER_TERMINATED, /**< proven never to act again */
};

/** How and when a node became primary. */
struct fp_slice_ownership {
	uint64_t epoch;
	bool resumed; /**< it was the last owner: its state is unchanged */
	bool state_lost; /**< claims of earlier owners are not known */
	bool first_owner; /**< the slice never had an owner before */
	int64_t vacant_from_us; /**< no earlier owner acts from then on */
};

struct fp_slice_host;

/** Callbacks into the node. A callback must not call into the slice. */
struct fp_slice_ops {
	/** Sends a message to the process m->to; delivery is not guaranteed. */
	void (*send)(struct fp_slice_host *h, const struct fp_msg_slice *m);
	/** Answered through fp_slice_store_result() with the same token. */
	void (*store_read)(struct fp_slice_host *h, uint32_t slice,
			   uint64_t token);
	void (*store_cas)(struct fp_slice_host *h, uint32_t slice,
			  uint64_t token, uint64_t version, const char *text);
	/** This node may act as owner from now on. */
	void (*became_primary)(struct fp_slice_host *h, uint32_t slice,
			       const struct fp_slice_ownership *t);
	/** The right to act has ended; became_primary may follow again. */
	void (*stopped_acting)(struct fp_slice_host *h, uint32_t slice,
			       uint64_t epoch);
	/** From now on the backup can take over with the complete state. */
	void (*backup_ready)(struct fp_slice_host *h, uint32_t slice,
			     const struct fp_slice_node *backup);
	/** Sends the complete state; the backup confirms claims from now on. */
	void (*transfer)(struct fp_slice_host *h, uint32_t slice,
			 uint64_t epoch, const struct fp_slice_node *backup);
	/** Returns the membership state of a process. */
	enum fp_slice_member (*member)(struct fp_slice_host *h, uint64_t id);
	/** Chooses a backup in another failure domain, other than not_id;
	 *  false if there is none. */
	bool (*pick_backup)(struct fp_slice_host *h, uint32_t slice,
			    uint64_t not_id, struct fp_slice_node *out);
	/** Whether this node should take over the slice if it has no owner. */
	bool (*is_candidate)(struct fp_slice_host *h, uint32_t slice);
	/** Returns a uniform random number. */
	uint32_t (*random_u32)(struct fp_slice_host *h);
};

/** The node that hosts slices; embed it as the first member. */
struct fp_slice_host {
	const struct fp_slice_ops *ops;
	struct fp_slice_node self;
	int64_t claim_lifetime_us; /**< time for which claims are kept */
};

/** Role of this node in the current view. */
enum fp_slice_role {
	FP_SLICE_ROLE_NONE,
	FP_SLICE_ROLE_PRIMARY,
	FP_SLICE_ROLE_BACKUP,
};

/** The store call in flight; at most one per slice. */
struct fp_slice_store_call {
	bool busy;
	bool is_cas;
	uint64_t token; /**< of the last call; other answers are ignored */
	int64_t sent_us; /**< taken before the call was sent */
	int64_t vacant_from_us; /**< cas: no earlier owner acts from then on */
	bool holds_state; /**< cas: this node has the last owner's state */
	struct fp_slice_view next; /**< cas: the view that it writes */
};

/** State of one slice at one node. Only the functions below change it; the
 *  slice service also reads index, role, view, state_epoch and released. */
struct fp_slice {
	struct fp_slice_host *host;
	struct fp_slice_view view;
	uint64_t version; /**< of its record; 0: no record */
	struct fp_slice_store_call store_call;
	struct fp_slice_ownership ownership;

	/* as primary: until when it may act, on its own clock */
	int64_t promise_held_until_us; /**< by the backup's last promise */
	int64_t store_until_us; /**< by its last write to the store */
	int64_t consent_until_us; /**< by consent: INT64_MAX, or capped */
	int64_t promise_requested_us; /**< last request for a promise */
	int64_t last_promise_us; /**< request time of the last promise, or
				  *   start of the view */
	int64_t transfer_sent_us; /**< last TRANSFER; 0: none yet */
	int64_t transfer_began_us; /**< start of the present epoch */
	int64_t renewed_us; /**< send time of the last write that took effect */

	/* as backup */
	int64_t promise_given_until_us; /**< no takeover before */
	uint64_t state_epoch; /**< epoch in which it confirmed the state */
	uint64_t transfer_epoch; /**< epoch of the last TRANSFER received */

	/* in every role */
	int64_t claims_lost_until_us; /**< claims count as lost before */
	int64_t version_seen_us; /**< when the current version was first seen */
	int64_t version_confirmed_us; /**< last read that returned it again */
	int64_t store_answer_us; /**< last answer of the store */
	int64_t next_store_call_us; /**< no call to the store before */
	int64_t next_owner_check_us; /**< a candidate's next read */
	int64_t release_sent_us; /**< last HANDOVER or RESIGN */
	int64_t last_tick_us;
	int64_t takeover_hold_until_us; /**< set after a pause */

	uint32_t index;
	enum fp_slice_role role;
	bool view_known; /**< by a read of the record or by another node */
	bool view_stored; /**< the record holds the view, not consent alone */
	bool consent; /**< the other node of the pair gave up this epoch */
	bool released; /**< handed over: never acts again in this epoch */
	bool handover_acked; /**< the backup acknowledged HANDOVER */
	bool acting; /**< as last reported to the node */
	bool ownership_reported; /**< became_primary was called */
	bool transfer_done; /**< the new backup confirmed the state */
	bool resigned; /**< as backup: no takeover in this epoch */
	bool resign_acked; /**< the primary acknowledged RESIGN */
	bool write_in_doubt; /**< a CAS of this version may still take effect */
	bool must_read; /**< an answer showed that the view is outdated */
	bool stopping; /**< fp_slice_stop() was called */
};

/** Initializes a slice whose view is not known yet; h is not owned. */
void fp_slice_init(struct fp_slice *s, uint32_t index, struct fp_slice_host *h,
		   int64_t now_us);

/** Whether this node may act as owner at now_us; evaluated at each call. */
bool fp_slice_may_act(const struct fp_slice *s, int64_t now_us);

/** Until when claims of earlier owners count as lost; 0: none are. */
int64_t fp_slice_claims_lost_until_us(const struct fp_slice *s);

/** Copies the known view and its store version; false if none is known. */
bool fp_slice_get_view(const struct fp_slice *s, struct fp_slice_view *v,
		       uint64_t *version);

/** Whether the store holds the known view; false if it rests on consent. */
bool fp_slice_view_is_stored(const struct fp_slice *s);

/** The backup that must confirm each claim, 0 if there is none. */
uint64_t fp_slice_confirming_backup(const struct fp_slice *s);

/** Does the work that is due at now_us. */
void fp_slice_tick(struct fp_slice *s, int64_t now_us);

/** Handles one item of a message from the process m->from. */
void fp_slice_message(struct fp_slice *s, const struct fp_msg_slice *m,
		      const struct fp_msg_slice_item *it, int64_t now_us);

/**
 * Handles the answer to a call to the store.
 *
 * @param st       FP_OK, FP_CONFLICT, FP_NOT_FOUND (read: no record),
 *                 FP_TIMEOUT (effect unknown), FP_UNAVAILABLE (no effect)
 * @param version  of the record, with FP_OK
 * @param text     of the record, with FP_OK of a read
 */
void fp_slice_store_result(struct fp_slice *s, uint64_t token,
			   enum fp_status st, uint64_t version,
			   const char *text, int64_t now_us);

/** Adopts a view that another node read from the store, if it is newer. */
void fp_slice_learn_view(struct fp_slice *s, const struct fp_slice_view *v,
			 uint64_t version, int64_t now_us);

/**
 * Reports that this node, as backup, has received the complete state of an
 * epoch.
 *
 * Has no effect before the TRANSFER message, which carries the time for which
 * claims count as lost. TRANSFER is sent again, so call this again too.
 */
void fp_slice_state_received(struct fp_slice *s, uint64_t epoch,
			     int64_t now_us);

/** Begins a planned shutdown: hands over or resigns, takes nothing over. */
void fp_slice_stop(struct fp_slice *s);

/** Whether a planned shutdown has nothing left to do for this slice. */
bool fp_slice_stopped(const struct fp_slice *s);

/** Writes the key of a slice's record. */
void fp_slice_key(uint32_t index, char key[FP_SLICE_KEY_BYTES]);

/** Writes a view as JSON text; FP_FULL if the buffer is too small. */
enum fp_status fp_slice_view_format(const struct fp_slice_view *v, char *text,
				    size_t size);

/** Parses the JSON text of a view; FP_INVALID with a last message. */
enum fp_status fp_slice_view_parse(const char *text, struct fp_slice_view *v);

/** Rendezvous score of an address for a slice; the highest is preferred. */
uint64_t fp_slice_score(uint32_t index, const char *address);

#ifdef __cplusplus
}
#endif
#endif
