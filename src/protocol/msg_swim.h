/* msg_swim.h - membership messages and their codec */
#ifndef FP_PROTOCOL_MSG_SWIM_H
#define FP_PROTOCOL_MSG_SWIM_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "protocol/settings.h"
#include "state/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Longest datagram, bytes. */
#define FP_MSG_SWIM_DATAGRAM_BYTES 1200
/** Longest list of all members, sent over TCP, bytes. */
#define FP_MSG_SWIM_BULK_BYTES 262144

/** Types of control messages; 96 to 111 are reserved for the membership. */
enum fp_msg_swim_type {
	FP_MSG_SWIM_PING = 96, /**< probe; the target responds with an ACK */
	FP_MSG_SWIM_ACK, /**< response of the target */
	FP_MSG_SWIM_PING_REQ, /**< requests the receiver to ping the target */
	FP_MSG_SWIM_PUSH, /**< updates only; has no response */
	FP_MSG_SWIM_JOIN, /**< requests the list of all members */
	FP_MSG_SWIM_MEMBERS, /**< response with all members, over TCP */
	FP_MSG_SWIM_TYPE_END
};

/** State of a member; at the same incarnation the higher value wins. */
enum fp_member_state {
	FP_MEMBER_ALIVE,
	FP_MEMBER_SUSPECT, /**< did not answer a probe; may refute */
	FP_MEMBER_DEAD, /**< did not refute in time; may still be running */
	FP_MEMBER_LEFT, /**< final: it ended, or a later process has its
			 *   address */
};

/** State of a member's backend server. */
enum fp_worker_state {
	FP_WORKER_NONE,
	FP_WORKER_SERVING,
	FP_WORKER_LEAVING, /**< accepts no new calls */
};

/** One process of the fleet; all fields except state are set by the process
 *  itself. */
struct fp_swim_member {
	uint64_t id; /**< start time and random bits; new at each start */
	uint64_t incarnation; /**< raised only by the member itself */
	char name[FP_NAME_BYTES];
	char address[FP_ADDRESS_BYTES];
	char failure_domain[FP_NAME_BYTES];
	char region[FP_NAME_BYTES];
	char service[FP_NAME_BYTES]; /**< service of its backend server */
	uint16_t http_port; /**< ports as in struct fp_settings */
	uint16_t peer_port;
	uint16_t control_port;
	enum fp_member_state state;
	enum fp_worker_state worker;
	uint32_t slots; /**< of its backend server */
	uint32_t worker_starts; /**< instances of its backend server so far */
};

/** Control state of the sender that is not part of the membership. */
struct fp_swim_status {
	uint64_t config_revision;
	int64_t store_age_us; /**< as in struct fp_msg_config_record */
	uint64_t views_digest; /**< digest of the slices' views */
};

/**
 * Head of a message. Encoded as msgpack: [type, correlation, from, to, origin,
 * target, config_revision, store_age_us, views_digest, members_digest,
 * [update, ...]]. An update is either full, all fields of a member, or brief,
 * [id, incarnation, state] of a member that is not alive.
 */
struct fp_msg_swim {
	enum fp_msg_swim_type type;
	uint64_t correlation; /**< of the origin's ping */
	uint64_t from; /**< id of the sender */
	uint64_t to; /**< id of the receiver; 0: any process at the address */
	uint64_t origin; /**< node that probes (ping, ack, ping-req) */
	uint64_t target; /**< node that is probed */
	struct fp_swim_status status;
	uint64_t members_digest; /**< of the sender's live members */
	uint32_t n_updates; /**< set by decode */
};

/** Collects updates until the message is full. */
struct fp_msg_swim_writer {
	msgpack_sbuffer updates;
	size_t limit; /**< maximum bytes of the updates */
	uint32_t n;
};

/** Begins a message of at most size bytes: FP_MSG_SWIM_DATAGRAM_BYTES or
 *  FP_MSG_SWIM_BULK_BYTES. */
void fp_msg_swim_begin(struct fp_msg_swim_writer *w, size_t size);

/** Adds an update, full or brief; FP_FULL, without effect, when it does not
 *  fit. */
enum fp_status fp_msg_swim_add(struct fp_msg_swim_writer *w,
			       const struct fp_swim_member *m, bool brief);

/** Initializes out with the message and frees the writer's buffer. The caller
 *  destroys out in any case. @return FP_OK or FP_NOMEM */
enum fp_status fp_msg_swim_finish(struct fp_msg_swim_writer *w,
				  const struct fp_msg_swim *head,
				  msgpack_sbuffer *out);

/** Called for each update of a valid message. */
typedef void (*fp_msg_swim_update_fn)(void *ctx, const struct fp_msg_swim *head,
				      const struct fp_swim_member *m,
				      bool brief);

/** Decodes a message. On FP_INVALID, with a last message, fn is not called. */
enum fp_status fp_msg_swim_decode(struct fp_msg_swim *head, const uint8_t *buf,
				  size_t len, fp_msg_swim_update_fn fn,
				  void *ctx);

#ifdef __cplusplus
}
#endif
#endif
