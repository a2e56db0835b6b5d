/* directory_private.h - state shared by the files of the directory */
#ifndef FP_COORDINATION_DIRECTORY_PRIVATE_H
#define FP_COORDINATION_DIRECTORY_PRIVATE_H

#include "coordination/directory.h"

/* A step with its timer and its pause after failures. */
struct directory_machine {
	struct fp_directory *d;
	const char *what;
	void (*step)(struct fp_directory *d);
	struct fp_timer timer;
	int64_t pause_us; /* next one after a failure */
	bool failing;
};

/* What is known of one record. */
struct directory_record {
	struct fp_member member;
	uint64_t revision;
	/* Since when it is not there, or the store is back; 0: it is there. */
	int64_t missing_us;
	bool seen; /* in the listing under way */
	struct directory_record *next;
};

/* A member that waits for word of the record. */
struct directory_follower {
	char addr[FP_MEMBER_ADDR_BYTES];
	uint64_t ask_id;
	struct directory_follower *next;
};

struct fp_directory {
	struct fp_loop *loop;
	struct fp_directory_config cfg;
	struct fp_directory_ops ops;
	bool closed;
	struct directory_machine secret;
	struct directory_machine config;
	struct directory_machine own;
	struct directory_machine others;
	bool has_secret;
	uint64_t revision; /* of the operators' record in force */
	uint64_t config_item; /* revision of the item that was asked for last */
	bool config_read; /* its text made sense */
	int64_t config_asked_us; /* this node, the store or a delegate */
	bool relayed; /* a delegate was asked and has not answered */
	bool read_now; /* a delegate told of a newer one */
	uint64_t ask_id; /* of the last question to a delegate */
	int64_t direct_until_us; /* delegates are not asked */
	uint64_t delegate; /* last one, for the log */
	struct directory_follower *followers;
	uint64_t lease; /* 0: none */
	bool written; /* the record under the lease is the newest */
	bool writing; /* a write of it is under way */
	bool dirty; /* it changed during the write */
	bool leaving;
	bool listed; /* all records were read once */
	bool was_away; /* the store failed since the last listing */
	uint64_t others_after; /* watched from; 0: to be read */
	struct directory_record *records;
};

/* --- directory.c: steps --- */

/** Takes a machine's next step after a pause. */
void directory_run_after(struct directory_machine *m, int64_t pause_us);
/** The store answered a machine's call. */
void directory_succeeded(struct directory_machine *m);
/** It did not, or refused: the step is taken again after a pause. */
void directory_failed(struct directory_machine *m, enum fp_status st);

/* --- directory_relay.c --- */

/** Asks the delegate for word of the record; false: the store is to be asked. */
bool directory_ask_delegate(struct fp_directory *d);
/** It did not answer in time. */
void directory_delegate_silent(struct fp_directory *d);
/** The store answered this node, or did not: those who asked hear of it. */
void directory_answer_followers(struct fp_directory *d, enum fp_status st);

/* --- directory_members.c --- */

void directory_step_own(struct fp_directory *d);
void directory_step_others(struct fp_directory *d);

#endif
