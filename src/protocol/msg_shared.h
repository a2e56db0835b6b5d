/* msg_shared.h - messages about tokens, claims and the record between nodes */
#ifndef FP_PROTOCOL_MSG_SHARED_H
#define FP_PROTOCOL_MSG_SHARED_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "state/bucket.h"
#include "state/claims.h"
#include "state/rate_share.h"
#include "state/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Type numbers 32 to 63 of the control messages. */
enum fp_msg_shared_type {
	FP_MSG_GRANT_ASK = 32, /**< holder to owner */
	FP_MSG_GRANT_ANSWER, /**< its answer, same id */
	FP_MSG_GRANT_RETURN, /**< holder to owner, no answer */
	FP_MSG_CLAIM_TAKE, /**< entry node to primary */
	FP_MSG_CLAIM_ANSWER, /**< to take, finish or release, same id */
	FP_MSG_CLAIM_FINISH, /**< entry node to primary */
	FP_MSG_CLAIM_RELEASE, /**< entry node to primary */
	FP_MSG_CLAIM_REPLICATE, /**< primary to backup */
	FP_MSG_CLAIM_REPLICATED, /**< its answer, same id */
	FP_MSG_BUCKET_STATE, /**< primary that has ceased to its successor */
	FP_MSG_CURRENT_ASK, /**< to the node that asks the store for others */
	FP_MSG_CURRENT_ANSWER, /**< its answer, same id */
	FP_MSG_MEMBER_NEWS, /**< before it, a member's changed record, same id */
	FP_MSG_MEMBERS_TOLD, /**< after the last news, same id */
	FP_MSG_PART_COMMIT, /**< holder to owner: its part of a rate */
	FP_MSG_PART_ANSWER, /**< its answer, same id */
	FP_MSG_SHARED_END
};

/** Longest encoded message of this file. */
#define FP_MSG_SHARED_BYTES (FP_CLAIM_ANSWER_BYTES + 512)

/** Longest text of a member's record that is told, with its end. */
#define FP_MEMBER_RECORD_BYTES 640

/** Asks for tokens; the message's id names the ask. */
struct fp_grant_ask {
	char org[FP_NAME_BYTES];
	uint32_t want; /**< at least 1 */
};

/** Answers an ask. */
struct fp_grant_answer {
	enum fp_status status; /**< FP_OK, FP_EXHAUSTED, FP_UNAVAILABLE ... */
	uint64_t grant_id; /**< with FP_OK */
	uint32_t tokens; /**< with FP_OK */
	int64_t wait_us; /**< with FP_EXHAUSTED, FP_AGAIN: when to ask again */
};

/** Closes a grant; see fp_bucket_return(). */
struct fp_grant_return {
	char org[FP_NAME_BYTES];
	uint64_t grant_id;
	uint32_t tokens; /**< unspent */
};

/** Takes a claim for an arrival; the message's id names the request. */
struct fp_claim_take {
	uint32_t slice;
	uint8_t name[FP_CLAIM_NAME_BYTES];
	uint64_t fingerprint;
	uint64_t attempt;
};

/** Answers a take, a finish or a release. */
struct fp_claim_answer {
	enum fp_status status;
	enum fp_claim_state state; /**< of the claim that stands */
	int32_t http_status; /**< of the kept answer */
	const uint8_t *answer; /**< NULL when none is kept */
	uint32_t answer_bytes;
};

/** Ends a pending claim. */
struct fp_claim_finish {
	uint32_t slice;
	uint8_t name[FP_CLAIM_NAME_BYTES];
	uint64_t attempt;
	enum fp_claim_state state;
	int32_t http_status;
	const uint8_t *answer; /**< NULL when it is not to be kept */
	uint32_t answer_bytes;
};

/** Drops a pending claim whose request did surely not run. */
struct fp_claim_release {
	uint32_t slice;
	uint8_t name[FP_CLAIM_NAME_BYTES];
	uint64_t attempt;
};

/** One change of a claim, in the order of seq within an epoch. */
struct fp_claim_replicate {
	uint32_t slice;
	uint64_t epoch;
	uint64_t seq;
	bool drop; /**< only claim.name counts */
	int64_t age_us; /**< now less created_us, at the sender */
	struct fp_claim claim; /**< created_us does not travel */
};

/** Says that the backup holds a change, or refuses it. */
struct fp_claim_replicated {
	uint32_t slice;
	uint64_t epoch;
	uint64_t seq;
	bool ok;
};

/** Hands an organisation's bucket over at a planned end of its owner. */
struct fp_bucket_handover {
	char org[FP_NAME_BYTES];
	uint64_t epoch; /**< of the owner that has ceased */
	struct fp_bucket_state state;
};

/** Asks for word of the operators' record, and for news of members. */
struct fp_current_ask {
	uint64_t members_revision; /**< the store's, known up to; 0: no news */
};

/** Says which record of the operators the store held, and how long ago. */
struct fp_current_answer {
	enum fp_status status; /**< FP_OK, FP_UNAVAILABLE: ask yourself */
	uint64_t item_revision; /**< the store's, of the record's item */
	int64_t age_us; /**< since the store was asked */
	bool tells_members; /**< it knows all changes since the ask's revision */
	uint64_t members_revision; /**< then: news were sent up to */
};

/** A member's record that was written or went missing. */
struct fp_member_news {
	uint64_t after; /**< what the other end knows by then */
	uint64_t revision; /**< the store's, of the change */
	bool removed; /**< without a record */
	char name[FP_NAME_BYTES];
	char record[FP_MEMBER_RECORD_BYTES]; /**< as it stands in the store */
};

/** Says that all changes of members between two revisions were sent. */
struct fp_members_told {
	uint64_t after; /**< what the other end knew */
	uint64_t revision; /**< what it knows now, if it got all */
	uint32_t n_news; /**< sent with the same after */
};

/** Commits a part of an organisation's rate to the bucket of who is told. */
struct fp_part_commit {
	char org[FP_NAME_BYTES];
	struct fp_commitment commitment;
};

/** Answers a commitment. */
struct fp_part_answer {
	int64_t stamp_us; /**< clock of who answers; above 0 */
	uint32_t fill_permille; /**< how full its bucket is */
	char org[FP_NAME_BYTES];
};

/** One message, by type. */
struct fp_msg_shared {
	enum fp_msg_shared_type type;
	uint64_t id; /**< correlation id, chosen by who asks */
	union {
		struct fp_grant_ask grant_ask;
		struct fp_grant_answer grant_answer;
		struct fp_grant_return grant_return;
		struct fp_claim_take claim_take;
		struct fp_claim_answer claim_answer;
		struct fp_claim_finish claim_finish;
		struct fp_claim_release claim_release;
		struct fp_claim_replicate claim_replicate;
		struct fp_claim_replicated claim_replicated;
		struct fp_bucket_handover bucket_handover;
		struct fp_current_ask current_ask;
		struct fp_current_answer current_answer;
		struct fp_member_news member_news;
		struct fp_members_told members_told;
		struct fp_part_commit part_commit;
		struct fp_part_answer part_answer;
	};
};

/**
 * Appends an encoded message.
 *
 * @param out  a msgpack_sbuffer that the caller owns; on failure it may hold
 *             part of the message and must be cleared
 * @return FP_OK; FP_INVALID for a type that is not of this file or an answer
 *         above FP_CLAIM_ANSWER_BYTES; FP_NOMEM
 */
enum fp_status fp_msg_shared_encode(const struct fp_msg_shared *m,
				    msgpack_sbuffer *out);

/**
 * Decodes exactly one message.
 *
 * Names are copied into the struct. Answers point into data, which must
 * outlive the struct and must not be changed through it. Nothing is
 * allocated in proportion to a length that the input claims.
 *
 * @return FP_OK, or FP_INVALID with a last message: another type, another
 *         number of fields, a field of another kind or out of its range,
 *         trailing bytes, too long
 */
enum fp_status fp_msg_shared_decode(const uint8_t *data, size_t len,
				    struct fp_msg_shared *m);

#ifdef __cplusplus
}
#endif
#endif
