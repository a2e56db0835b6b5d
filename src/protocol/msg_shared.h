/* msg_shared.h - messages between nodes about tokens, claims, configuration */
#ifndef FP_PROTOCOL_MSG_SHARED_H
#define FP_PROTOCOL_MSG_SHARED_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "state/bucket.h"
#include "state/claims.h"
#include "state/evacuation.h"
#include "state/rate_share.h"
#include "state/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Types of control messages; 32 to 63 are reserved for this file. A response
 *  has the id of its request. */
enum fp_msg_shared_type {
	FP_MSG_GRANT_REQUEST = 32, /**< holder to owner: token request */
	FP_MSG_GRANT_RESPONSE, /**< response to it */
	FP_MSG_GRANT_RETURN, /**< holder to owner; has no response */
	FP_MSG_CLAIM_TAKE, /**< entry node to primary */
	FP_MSG_CLAIM_RESPONSE, /**< response to take, finish or release */
	FP_MSG_CLAIM_FINISH, /**< entry node to primary */
	FP_MSG_CLAIM_RELEASE, /**< entry node to primary */
	FP_MSG_CLAIM_REPLICATE, /**< primary to backup */
	FP_MSG_CLAIM_REPLICATED, /**< response to it */
	FP_MSG_BUCKET_HANDOVER, /**< former primary to its successor */
	FP_MSG_CONFIRM_REQUEST, /**< follower to delegate */
	FP_MSG_CONFIRM_RESPONSE, /**< response to it */
	FP_MSG_MEMBER_CHANGE, /**< before the response: one changed member
			      *   record, same id */
	FP_MSG_MEMBER_CHANGES_END, /**< after the last change, same id */
	FP_MSG_CONFIG_REQUEST, /**< follower to delegate */
	FP_MSG_CONFIG_PART, /**< response to it, in several messages */
	FP_MSG_RATE_SHARE_COMMIT, /**< holder of a rate share to owner */
	FP_MSG_RATE_SHARE_RESPONSE, /**< response to it */
	FP_MSG_SHARED_END
};

/** Longest encoded message of this file, bytes. */
#define FP_MSG_SHARED_BYTES (FP_CLAIM_ANSWER_BYTES + 512)

/** Longest text of a member record in a message, bytes with NUL. */
#define FP_MEMBER_RECORD_BYTES 640

/** Longest text of a part of the configuration record, bytes with NUL. */
#define FP_CONFIG_PART_BYTES 2048

/** Requests tokens; the id of the message identifies the request. */
struct fp_grant_request {
	char org[FP_NAME_BYTES];
	uint32_t want; /**< at least 1 */
};

/** Response to a token request. */
struct fp_grant_response {
	enum fp_status status; /**< FP_OK, FP_EXHAUSTED, FP_AGAIN or
				*   FP_UNAVAILABLE */
	uint64_t grant_id; /**< with FP_OK */
	uint32_t tokens; /**< with FP_OK */
	int64_t wait_us; /**< with FP_EXHAUSTED or FP_AGAIN: delay before the
			  *   next request */
};

/** Closes a grant; see fp_bucket_return(). */
struct fp_grant_return {
	char org[FP_NAME_BYTES];
	uint64_t grant_id;
	uint32_t tokens; /**< unspent */
};

/** Takes the claim of an arriving request. */
struct fp_claim_take {
	uint32_t slice;
	uint8_t name[FP_CLAIM_NAME_BYTES];
	uint64_t fingerprint; /**< of the request */
	uint64_t attempt; /**< random number of this arrival of the request */
};

/** Response to a take, a finish or a release. */
struct fp_claim_response {
	enum fp_status status;
	enum fp_claim_state state; /**< of the existing claim */
	int32_t http_status; /**< of the stored answer */
	const uint8_t *answer; /**< stored answer; NULL: none */
	uint32_t answer_bytes;
};

/** Ends a pending claim. */
struct fp_claim_finish {
	uint32_t slice;
	uint8_t name[FP_CLAIM_NAME_BYTES];
	uint64_t attempt;
	enum fp_claim_state state;
	int32_t http_status;
	const uint8_t *answer; /**< answer to store; NULL: none */
	uint32_t answer_bytes;
};

/** Removes a pending claim whose request is known not to have run. */
struct fp_claim_release {
	uint32_t slice;
	uint8_t name[FP_CLAIM_NAME_BYTES];
	uint64_t attempt;
};

/** Replicates one change of a claim; seq numbers the changes of an epoch. */
struct fp_claim_replicate {
	uint32_t slice;
	uint64_t epoch;
	uint64_t seq;
	bool drop; /**< the claim is removed; only claim.name is used */
	int64_t age_us; /**< now - created_us at the sender */
	struct fp_claim claim; /**< created_us is not encoded */
};

/** Response of the backup to one replicated change. */
struct fp_claim_replicated {
	uint32_t slice;
	uint64_t epoch;
	uint64_t seq; /**< highest change applied by the backup */
	bool ok; /**< the change was applied; false: the backup has no room for
		  *   it or lacks an earlier change */
};

/** Hands over an organisation's bucket when its owner stops as planned. */
struct fp_bucket_handover {
	char org[FP_NAME_BYTES];
	uint64_t epoch; /**< of the former owner */
	struct fp_bucket_state state;
};

/** Requests a freshness confirmation of the configuration record, and the
 *  changes of member records. */
struct fp_confirm_request {
	uint64_t members_revision; /**< store revision up to which the sender
				    *   has the members; 0: send no changes */
};

/** Reports which configuration record the store held, and how long ago. */
struct fp_confirm_response {
	enum fp_status status; /**< FP_OK; FP_UNAVAILABLE: no confirmation, the
				*   receiver must read the store itself */
	uint64_t item_revision; /**< store revision of the record's item */
	uint64_t newest_revision; /**< newest configuration that the sender
				   *   knows; that of the record may be older */
	int64_t age_us; /**< time since the store was read */
	bool members_complete; /**< the sender has sent all changes between the
				*   requested members_revision and its own */
	uint64_t members_revision; /**< store revision up to which the sender
				    *   has the members */
	/** the evacuated domains that the sender knows; revision 0: none read,
	 *  the receiver keeps its own */
	struct fp_evacuation evacuation;
};

/** A member record that was written or removed. */
struct fp_member_change {
	uint64_t base_revision; /**< revision that the receiver must have */
	uint64_t revision; /**< store revision of the change */
	bool removed; /**< record is ignored */
	char name[FP_NAME_BYTES];
	char record[FP_MEMBER_RECORD_BYTES]; /**< text in the store */
};

/** Marks the end of the changes of members between two revisions. */
struct fp_member_changes_end {
	uint64_t base_revision; /**< revision that the receiver had before */
	uint64_t revision; /**< its revision now, after n_changes changes */
	uint32_t n_changes; /**< changes sent with this base_revision */
};

/** Requests the configuration record that the receiver has read. */
struct fp_config_request {
	uint64_t item_revision; /**< store revision of the record's item */
	uint64_t known_revision; /**< that of the record that the sender has */
};

/** A part of the configuration record; parts are sent in order. */
struct fp_config_part {
	uint64_t item_revision; /**< store revision of the record's item */
	int64_t age_us; /**< time since the store was read */
	uint32_t total_bytes; /**< of the record */
	uint32_t offset; /**< of this part */
	char text[FP_CONFIG_PART_BYTES];
};

/** Commits a rate share of an organisation to the receiver's bucket, releases
 *  it, or probes the receiver's clock. */
struct fp_rate_share_commit {
	char org[FP_NAME_BYTES];
	struct fp_commitment commitment;
};

/** Response to a commitment. */
struct fp_rate_share_response {
	int64_t owner_clock_us; /**< owner's clock at the response; above 0 */
	uint32_t fill_permille; /**< fill level of the owner's bucket */
	char org[FP_NAME_BYTES];
};

/** One message; the type selects the member of the union. */
struct fp_msg_shared {
	enum fp_msg_shared_type type;
	uint64_t id; /**< correlation id, chosen by the requester */
	union {
		struct fp_grant_request grant_request;
		struct fp_grant_response grant_response;
		struct fp_grant_return grant_return;
		struct fp_claim_take claim_take;
		struct fp_claim_response claim_response;
		struct fp_claim_finish claim_finish;
		struct fp_claim_release claim_release;
		struct fp_claim_replicate claim_replicate;
		struct fp_claim_replicated claim_replicated;
		struct fp_bucket_handover bucket_handover;
		struct fp_confirm_request confirm_request;
		struct fp_confirm_response confirm_response;
		struct fp_member_change member_change;
		struct fp_member_changes_end member_changes_end;
		struct fp_config_request config_request;
		struct fp_config_part config_part;
		struct fp_rate_share_commit share_commit;
		struct fp_rate_share_response share_response;
	};
};

/**
 * Appends an encoded message.
 *
 * @param out  buffer owned by the caller; after a failure it may contain part
 *             of the message and must be cleared
 * @return FP_OK; FP_INVALID for an unknown type or a field out of its range,
 *         such as an answer above FP_CLAIM_ANSWER_BYTES; FP_NOMEM
 */
enum fp_status fp_msg_shared_encode(const struct fp_msg_shared *m,
				    msgpack_sbuffer *out);

/**
 * Decodes exactly one message.
 *
 * Names and records are copied into the struct. Answers point into data, which
 * must outlive the struct and must not be modified through it. No allocation
 * depends on a length given in the input.
 *
 * @return FP_OK; FP_INVALID with a last message for an unknown type, a wrong
 *         number of fields, a field of the wrong kind or out of its range,
 *         trailing bytes or too long a message; FP_NOMEM
 */
enum fp_status fp_msg_shared_decode(const uint8_t *data, size_t len,
				    struct fp_msg_shared *m);

#ifdef __cplusplus
}
#endif
#endif
