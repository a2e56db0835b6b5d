/* directory.h - members and operators' record out of a store with leases
 *
 * On a platform whose store has leases and watches a node needs no gossip: its
 * own record lies there under a lease, the records of the others and that of
 * the operators are watched. What is decided here: when a record that went
 * missing means that its node is gone, until when the operators' record counts
 * as current, and when a store that fails is asked again.
 */
#ifndef FP_COORDINATION_DIRECTORY_H
#define FP_COORDINATION_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "coordination/member.h"
#include "coordination/registry.h"
#include "protocol/dialect.h"
#include "protocol/msg_shared.h"
#include "state/rate_share.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FP_DIRECTORY_SECRET_BYTES 32

struct fp_directory;

/** What a directory tells its owner, on the loop's thread. */
struct fp_directory_ops {
	/** A newer record of the operators, which the owner then has. */
	void (*config)(void *ctx, struct fp_config *c);
	/** All members, malloc'd, which the owner then has. */
	void (*members)(void *ctx, struct fp_member_table *m);
	/** The fleet's secret; once. */
	void (*secret)(void *ctx,
		       const uint8_t secret[FP_DIRECTORY_SECRET_BYTES]);
	/**
	 * The record that was handed out last was current at asked_us, on the
	 * clock that counts suspension.
	 */
	void (*current)(void *ctx, int64_t asked_us);
	/** When this node has a part in what the members share; told anew
	 *  with each renewal. */
	void (*right)(void *ctx, const struct fp_right *r);
	/** Sends a message to a member; it may be lost. */
	void (*send)(void *ctx, const char *addr,
		     const struct fp_msg_shared *m);
	void *ctx;
};

/** What a directory works with. */
struct fp_directory_config {
	struct fp_clock *clock;
	struct fp_registry *registry; /**< stays the owner's */
	const struct fp_dialect *dialect;
	struct fp_member self;
};

struct fp_directory *fp_directory_init(struct fp_loop *l,
				       const struct fp_directory_config *cfg,
				       const struct fp_directory_ops *ops);

/** The worker beside this node changed; warm_ms as in struct fp_member. */
void fp_directory_set_worker(struct fp_directory *d, uint32_t slots,
			     int64_t warm_ms, bool serving);

/** A message of a member at addr, FP_MSG_CURRENT_ASK or _ANSWER. */
void fp_directory_message(struct fp_directory *d, const char *addr,
			  const struct fp_msg_shared *m);

/** This node stops: its record goes, so that others send it nothing. */
void fp_directory_leave(struct fp_directory *d);

/** Whether the operators' record and the secret were read. */
bool fp_directory_is_whole(const struct fp_directory *d);

/** Revision of the operators' record in force; 0: none. */
uint64_t fp_directory_revision(const struct fp_directory *d);

/** To be called before the registry is ended. */
void fp_directory_close(struct fp_directory *d);
/** To be called after the registry was ended. */
void fp_directory_end(struct fp_directory *d);

#ifdef __cplusplus
}
#endif
#endif
