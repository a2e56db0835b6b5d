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
	uint64_t revision; /* of the store's, when it was written */
	uint64_t missing_revision; /* when it went missing last */
	/* Since when it is not there, or the store is back; 0: it is there. */
	int64_t missing_us;
	bool seen; /* in the listing under way */
	struct directory_record *next;
};

/* A member that waits for word of the record. */
struct directory_follower {
	char addr[FP_MEMBER_ADDR_BYTES];
	uint64_t ask_id;
	uint64_t members_revision; /* news are sent after this; 0: none */
	struct directory_follower *next;
};

/* What the delegate tells this node of members. */
struct directory_told {
	int64_t heard_us; /* when it last said that it can; 0: it cannot */
	uint64_t asked_revision; /* known at the last question; 0: none */
	uint32_t n_news; /* after what is known */
	uint32_t n_behind; /* answers that found this node behind */
	bool active; /* the store is not watched */
	bool unpublished; /* one of the news changed something */
};

struct fp_directory {
	struct fp_loop *loop;
	struct fp_directory_config cfg;
	struct fp_directory_ops ops;
	struct directory_machine secret;
	struct directory_machine config;
	struct directory_machine own;
	struct directory_machine others;
	bool closed;
	bool has_secret;
	bool config_read; /* the operators' record made sense */
	bool relayed; /* a delegate was asked and has not answered */
	bool read_now; /* a delegate told of a newer one */
	bool inherited; /* known_ms is that of the process before */
	bool was_dropped; /* by the others, while the store was away */
	uint64_t revision; /* of the operators' record in force */
	uint64_t config_item; /* revision of the item that was asked for last */
	int64_t config_asked_us; /* this node, the store or a delegate */
	uint64_t ask_id; /* of the last question to a delegate */
	int64_t direct_until_us; /* delegates are not asked */
	uint64_t delegate; /* last one, for the log */
	struct directory_follower *followers;
	uint64_t lease; /* 0: none */
	int64_t lease_asked_us; /* when it was opened or renewed, last */
	int64_t keep_asked_us; /* of the call under way */
	struct fp_right right; /* to a part in what the members share */
	bool written; /* the record under the lease is the newest */
	bool writing; /* a write of it is under way */
	bool dirty; /* it changed during the write */
	bool leaving;
	bool listed; /* all records were read once */
	bool was_away; /* the store failed since the last listing */
	bool others_asked; /* a call of the store's for them is under way */
	uint64_t others_after; /* known up to; 0: to be read */
	uint64_t listed_revision; /* a listing shows no removals before it */
	struct directory_told told;
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
/** Changes of members are known: those who asked hear of them. */
void directory_tell_followers(struct fp_directory *d);
/** Whether the delegate tells of members, so the store need not be watched. */
bool directory_is_told(struct fp_directory *d);

/* --- directory_members.c --- */

void directory_step_own(struct fp_directory *d);
void directory_step_others(struct fp_directory *d);
/** The newest change of a record that is known. */
uint64_t directory_changed_at(const struct directory_record *rec);
/** A record as news tell it; text as it stands in the store. */
void directory_encode_member(const struct fp_member *m, char *text,
			     size_t size);
/** Takes one of the delegate's news. */
void directory_take_news(struct fp_directory *d,
			 const struct fp_member_news *news);
/** All changes up to there were told. */
void directory_take_told(struct fp_directory *d, uint64_t revision);

#endif
