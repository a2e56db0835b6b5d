/* directory_private.h - state shared by the files of the directory */
#ifndef FP_COORDINATION_DIRECTORY_PRIVATE_H
#define FP_COORDINATION_DIRECTORY_PRIVATE_H

#include "coordination/directory.h"

/* Latest wall-clock time in a record: the year 2100. */
#define FP_MAX_WALL_MS INT64_C(4102444800000)

/* A repeated store operation with its timer and its backoff after failures. */
struct directory_task {
	struct fp_directory *d;
	const char *name; /* for the log */
	void (*step)(struct fp_directory *d);
	struct fp_timer timer;
	int64_t backoff_us; /* after the next failure */
	bool failing;
};

/* A member's record as last read. */
struct directory_record {
	struct fp_member member;
	uint64_t revision; /* store revision of its last write */
	uint64_t missing_revision; /* store revision of its last removal */
	/* Start of the removal timeout: when the record went missing or the
	 * store became reachable again; 0: the record is present. */
	int64_t missing_us;
	bool listed; /* present in the listing being processed */
	int64_t suspended_until_us; /* not used as a delegate before */
	struct directory_record *next;
};

/* A member whose request to this delegate is open. */
struct directory_follower {
	char addr[FP_MEMBER_ADDR_BYTES];
	uint64_t request_id;
	uint64_t members_revision; /* send changes after it; 0: none */
	struct directory_follower *next;
};

/* Changes of members that the delegate sends to this node. */
struct directory_feed {
	int64_t confirmed_us; /* last confirmation by the delegate; 0: none */
	uint64_t requested_revision; /* sent in the last request; 0: none */
	uint32_t n_updates; /* received after requested_revision */
	uint32_t n_behind; /* successive responses with a later revision */
	bool active; /* replaces the watch of the store */
	bool unpublished; /* updates were applied but not published */
};

/* The text of a configuration record. */
struct directory_text {
	char *text; /* malloc'd; NULL: none */
	uint32_t bytes; /* present */
	uint32_t total_bytes;
	uint64_t item_revision;
};

/* The end of this node's worker, and what stands of it in the store. */
struct directory_end {
	struct directory_task task;
	struct fp_worker_end wanted; /* to be stored; without instance: none */
	struct fp_worker_end sent; /* by the write in flight */
	struct fp_worker_end stored; /* without instance: none */
	uint64_t revision; /* of the record in the store; 0: none */
	uint64_t lease; /* 0: none */
	int64_t lease_opened_us;
	bool was_read; /* the record was read at the start */
	bool pending; /* a lease is opened or a write in flight */
};

struct fp_directory {
	uint32_t calls[FP_DIRECTORY_CALL_COUNT]; /* to the store */
	struct fp_loop *loop;
	struct fp_directory_config cfg;
	struct fp_directory_ops ops;
	struct directory_task secret;
	struct directory_task config;
	struct directory_task own_record;
	struct directory_task members; /* starts when end was read */
	struct directory_end end;
	bool closed;
	bool has_secret;
	uint8_t secret_value[FP_DIRECTORY_SECRET_BYTES];
	bool secret_awaited; /* missing; another node may be creating it */
	bool config_valid; /* the last configuration record was decoded */
	bool delegate_pending; /* a request to the delegate is open */
	bool newer_reported; /* the delegate reported a newer configuration */
	bool since_inherited; /* member_since_ms is of an earlier process */
	bool was_removed; /* others may have removed this node before its
			  * last write */
	uint64_t revision; /* of the configuration in force */
	uint64_t newest_revision; /* of any configuration that this node or one
				   * that it has heard from has read */
	uint64_t record_revision; /* of the configuration in the last record
				   * that was decoded */
	bool has_cold_rate; /* of a service of a configuration so far */
	bool config_listed; /* the open read lists all keys of operators */
	struct fp_evacuation evacuation; /* revision 0: never read */
	uint64_t config_item_revision; /* store revision of the last read */
	int64_t config_requested_us; /* last request to store or delegate */
	int64_t config_read_us; /* request of the last read that the store
				 * answered; 0: none */
	uint64_t epoch; /* of the store; 0: it has named none */
	uint64_t request_id; /* of the last request to a delegate */
	int64_t own_suspended_until_us; /* the store refuses this node */
	int64_t serves_until_us; /* reads the store for those that asked */
	uint32_t n_delegates_failed; /* since the last confirmation */
	uint64_t delegate_id; /* process id of the last one, for the log */
	struct directory_text read_text; /* last record read from the store */
	struct directory_text received; /* parts from the delegate */
	bool record_pending; /* a request for them is open */
	struct directory_follower *followers;
	uint64_t lease; /* 0: none */
	int64_t lease_requested_us; /* start of the call that last opened or
				     * renewed the lease */
	int64_t keep_requested_us; /* start of the last call for own_record */
	struct fp_share_validity validity; /* of this node's rate share */
	uint64_t own_revision; /* store revision of the record under this
				* node's name, as last known; 0: none */
	bool counted; /* that record is of this process, so that the others
		       * count this node as a member */
	bool own_record_doubted; /* it may be lost: the store came back from a
				  * copy, and was not listed since */
	bool written; /* and it is the newest one */
	bool write_pending; /* a write of it is in flight */
	bool dirty; /* it changed during the write */
	bool leaving;
	bool has_members; /* all records were listed at least once */
	bool failed_since_listing; /* a members call failed since it */
	uint32_t n_own_watches; /* of a follower without updates, in a row */
	bool members_pending; /* a members call to the store is in flight */
	bool members_listing; /* the last one is a listing, not a watch */
	uint64_t members_revision; /* store revision up to which changes are
				    * known; 0: list all records */
	uint64_t listing_revision; /* of the last listing; removals before it
				    * are not known */
	uint64_t listing_epoch; /* of the store at that listing */
	struct directory_feed feed;
	struct directory_record *records;
};

/* --- directory.c: configuration --- */

/** Applies a record of the store; returns whether it could be decoded. */
bool directory_apply_config(struct fp_directory *d, const char *text,
			    size_t bytes, uint64_t item_revision);
/** Notes a revision of the configuration that this node or another one knows. */
void directory_note_config_revision(struct fp_directory *d, uint64_t revision);
/** Whether the last record may be older than the configuration in force: the
 *  store came back from a copy. It confirms nothing. */
bool directory_record_is_old(const struct fp_directory *d);
/** Frees the text of a record. */
void directory_text_clear(struct directory_text *t);

/* --- evacuation.c --- */

/** Takes the evacuated domains from a listing of the operators' keys. */
void directory_read_evacuation(struct fp_directory *d,
			       const struct fp_registry_result *r);
/** Applies a set unless a newer one is known; source and the age of the read
 *  are for the log. */
void directory_apply_evacuation(struct fp_directory *d,
				const struct fp_evacuation *e,
				const char *source, int64_t age_us);

/* --- directory.c: secret --- */

/** Handles a store that came back from a copy: writes the secret again if it was
 *  lost. */
void directory_secret_restored(struct fp_directory *d);

/* --- directory.c: tasks --- */

/** Schedules a task's next step. */
void directory_schedule(struct directory_task *t, int64_t delay_us);
/** Resets a task's backoff after an answer from the store. */
void directory_task_succeeded(struct directory_task *t);
/** Schedules a retry after a failed or refused call, with backoff. */
void directory_task_failed(struct directory_task *t, enum fp_status st);

/* --- directory_epoch.c --- */

/** Takes note of the store's epoch in an answer; every answer is passed to it
 *  first. */
void directory_note_epoch(struct fp_directory *d,
			  const struct fp_registry_result *r);

/* --- directory_relay.c --- */

/** Requests the configuration's revision from the delegate; false: there is no
 *  usable delegate, and the caller has to read the store. */
bool directory_query_delegate(struct fp_directory *d);
/** Whether this node reads the store for its domain, or has no delegate. */
bool directory_reads_store(const struct fp_directory *d);
/** Handles a read of the configuration that the store did not answer: asks
 *  another member, if there is one. */
void directory_own_read_failed(struct fp_directory *d);
/** Handles a delegate that did not send the record in time: reads the store. */
void directory_record_timed_out(struct fp_directory *d);
/** Handles a delegate that did not answer in time. */
void directory_delegate_timed_out(struct fp_directory *d);
/** Answers all open requests, with the result of the call to the store. */
void directory_answer_followers(struct fp_directory *d, enum fp_status st);
/** Sends new changes of members to all followers with open requests. */
void directory_notify_followers(struct fp_directory *d);
/** Updates and returns whether the delegate sends changes of members, so that
 *  no watch is needed. */
bool directory_feed_is_active(struct fp_directory *d);

/* --- directory_members.c --- */

void directory_step_own_record(struct fp_directory *d);
void directory_step_members(struct fp_directory *d);
/** Handles a store that came back from a copy: lists the members again, and
 *  writes this node's record again if it was lost. */
void directory_members_restored(struct fp_directory *d);
/** Store revision of the last known write or removal of a record. */
uint64_t directory_change_revision(const struct directory_record *rec);
/** Writes a member's record as text, in the format of the store. */
void directory_encode_member(const struct fp_member *m, char *text,
			     size_t size);
/** Applies one change of a member from the delegate. */
void directory_apply_update(struct fp_directory *d,
			    const struct fp_member_change *update);
/** Reports that all changes up to a store revision were received. */
void directory_updates_complete(struct fp_directory *d, uint64_t revision);

/* --- directory_worker_end.c --- */

/** Reads the end of this node's worker at the start; later writes a new one. */
void directory_step_worker_end(struct fp_directory *d);
/** Handles a store that came back from a copy: writes the end again. */
void directory_worker_end_restored(struct fp_directory *d);

#endif
