/* body_parts.h - bodies of calls that pass between nodes in parts, with credit */
#ifndef FP_STATE_BODY_PARTS_H
#define FP_STATE_BODY_PARTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/status.h"
#include "state/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** A body above this size passes in parts. */
#define FP_BODY_WHOLE_BYTES (256u << 10)
/** Size of a part; only the last one of a body is shorter. */
#define FP_BODY_PART_BYTES (64u << 10)
/** Most bytes of one body that are sent and not taken by the receiver. */
#define FP_BODY_WINDOW_BYTES (256u << 10)
/** Time without progress after which a body is given up; less than the 15 s
 *  that a client gets, and more than a link may be silent. */
#define FP_BODY_STALL_US (10 * FP_US_PER_S)

/* --- the sending end --- */

/** Bodies that a node sends. */
struct fp_body_out;

/** How parts are sent. */
struct fp_body_sink {
	/**
	 * Sends one part.
	 *
	 * @return whether the link took it; if not, fp_body_out_pump() is
	 *         called when the link has room again
	 */
	bool (*send)(void *ctx, void *link, uint64_t id, size_t at,
		     const uint8_t *data, size_t bytes);
	void *ctx;
};

/** NULL if out of memory. */
struct fp_body_out *fp_body_out_init(const struct fp_body_sink *sink);
/** Forgets all bodies and frees the object; accepts NULL. */
void fp_body_out_end(struct fp_body_out *o);

/** Adds a body, which must last until its last part is sent or it is dropped.
 *  Ids are unique. Nothing is sent before the first credit. */
void fp_body_out_add(struct fp_body_out *o, void *link, uint64_t id,
		     const uint8_t *body, size_t bytes, int64_t now_us);
/** The receiver takes the first upto bytes of a body. An unknown id is that of a
 *  body that has ended, and is ignored; so is a credit taken back. */
void fp_body_out_credit(struct fp_body_out *o, const void *link, uint64_t id,
			uint64_t upto, int64_t now_us);
/** Sends parts on a link while it has room, one of each body in turn. */
void fp_body_out_pump(struct fp_body_out *o, void *link);
/** Returns whether parts of a body are not sent; the receiver cannot use it. */
bool fp_body_out_is_unsent(const struct fp_body_out *o, uint64_t id);
/** Sends no more of a body. Returns whether parts of it were not sent. */
bool fp_body_out_drop(struct fp_body_out *o, uint64_t id);
/** Finds a body whose receiver has given no credit for too long. */
bool fp_body_out_stalled(const struct fp_body_out *o, int64_t now_us,
			 uint64_t *id);

/* --- the receiving end --- */

/** Bodies that a node receives. */
struct fp_body_in;

/** What became of a part. */
enum fp_body_part {
	FP_BODY_MORE, /**< it was taken; more are expected */
	FP_BODY_WHOLE, /**< it was the last one: the body is not known any more */
	FP_BODY_UNKNOWN, /**< of no body, or of one that has ended */
	FP_BODY_BAD, /**< out of order or of a wrong size */
};

/** NULL if out of memory. */
struct fp_body_in *fp_body_in_init(void);
/** Forgets all bodies and frees the object; accepts NULL. */
void fp_body_in_end(struct fp_body_in *in);

/**
 * Expects a body of bytes, at least 1, at to.
 *
 * @param owner   returned with its parts
 * @param credit  set to the bytes that the sender may send
 * @return FP_OK, or FP_CONFLICT if that id is known on the link
 */
enum fp_status fp_body_in_add(struct fp_body_in *in, void *owner,
			      const void *link, uint64_t id, uint8_t *to,
			      size_t bytes, int64_t deadline_us, int64_t now_us,
			      uint64_t *credit);
/**
 * Takes a part.
 *
 * @param owner   set unless the body is unknown
 * @param credit  set to the bytes that the sender may send in all, or 0 if that
 *                has not changed
 */
enum fp_body_part fp_body_in_take(struct fp_body_in *in, const void *link,
				  uint64_t id, uint64_t at, const uint8_t *data,
				  size_t bytes, int64_t now_us, void **owner,
				  uint64_t *credit);
/** Expects no more of the body of an owner. */
void fp_body_in_drop(struct fp_body_in *in, const void *owner);
/** Returns the owner of a body that is past its deadline or has stalled, with the
 *  reason to refuse it; NULL if there is none. */
void *fp_body_in_overdue(const struct fp_body_in *in, int64_t now_us,
			 enum fp_reason *why);

#ifdef __cplusplus
}
#endif
#endif
