/*
 * body_parts.c - bodies of calls that pass between nodes in parts, with credit
 *
 * The load: uploads of up to a machine's memory beside small calls on the same
 * link, from an entry node that is slow or to an exit node that is full.
 *
 * The head of a call goes first, with the length of its body. The receiver
 * reserves all of it, or refuses the call, and then grants credit: the number of
 * bytes, from the beginning of the body, that the sender may send. So at most
 * FP_BODY_WINDOW_BYTES of a body are on their way, whatever its size, and other
 * frames wait for no more than that. Credit is renewed when half of it is used,
 * which keeps the link busy. Bodies on one link take turns, part by part.
 *
 * A body can run only when its last part has arrived. Until the sender has given
 * that one to the link, it knows that the call has not run and will not: it may
 * send the call elsewhere. It is the only place where this is decided, so a
 * receiver that is slow, has stopped or is lost changes nothing.
 *
 * Links keep the order of frames, so a part that is not the next one, or has
 * another size than the next one must have, comes from a sender that is broken:
 * its body is given up, others on the link go on. A sender that ignores its
 * credit harms only its own link, since room for the body is reserved. Parts of
 * a body that has ended are still on their way at times and are ignored.
 */
#include "state/body_parts.h"

#include <stdlib.h>
#include <string.h>

struct body_out {
	void *link;
	uint64_t id;
	const uint8_t *body;
	size_t bytes;
	size_t sent;
	size_t credit; /* at least sent, at most bytes */
	int64_t progress_us; /* time of the last credit */
	struct body_out *next;
};

struct fp_body_out {
	struct fp_body_sink sink;
	struct body_out *first; /* list; whose turn is next comes first */
};

struct body_in {
	void *owner;
	const void *link;
	uint64_t id;
	uint8_t *to;
	size_t bytes;
	size_t taken;
	size_t credit; /* at least taken, at most bytes */
	int64_t deadline_us;
	int64_t progress_us; /* time of the last part */
	struct body_in *next;
};

struct fp_body_in {
	struct body_in *first; /* list */
};

static size_t least(size_t a, size_t b)
{
	return a < b ? a : b;
}

/* --- the sending end --- */

struct fp_body_out *fp_body_out_init(const struct fp_body_sink *sink)
{
	struct fp_body_out *o = calloc(1, sizeof(*o));

	if (o)
		o->sink = *sink;
	return o;
}

void fp_body_out_end(struct fp_body_out *o)
{
	struct body_out *b;
	struct body_out *next;

	if (!o)
		return;
	for (b = o->first; b; b = next) {
		next = b->next;
		free(b);
	}
	free(o);
}

static struct body_out *find_out(const struct fp_body_out *o, uint64_t id)
{
	struct body_out *b = o->first;

	while (b && b->id != id)
		b = b->next;
	return b;
}

/* Takes a body out of the list. */
static void unlink_out(struct fp_body_out *o, struct body_out *b)
{
	struct body_out **at = &o->first;

	while (*at != b)
		at = &(*at)->next;
	*at = b->next;
	b->next = NULL;
}

/* Puts a body at the end of the list. */
static void append_out(struct fp_body_out *o, struct body_out *b)
{
	struct body_out **at = &o->first;

	while (*at)
		at = &(*at)->next;
	*at = b;
}

void fp_body_out_add(struct fp_body_out *o, void *link, uint64_t id,
		     const uint8_t *body, size_t bytes, int64_t now_us)
{
	struct body_out *b = calloc(1, sizeof(*b));

	if (!b)
		abort();
	b->link = link;
	b->id = id;
	b->body = body;
	b->bytes = bytes;
	b->progress_us = now_us;
	append_out(o, b);
}

void fp_body_out_credit(struct fp_body_out *o, const void *link, uint64_t id,
			uint64_t upto, int64_t now_us)
{
	struct body_out *b = find_out(o, id);

	if (!b || b->link != link || upto <= b->credit)
		return;
	b->credit = upto < b->bytes ? (size_t)upto : b->bytes;
	b->progress_us = now_us;
}

static size_t next_part_bytes(const struct body_out *b)
{
	return least(FP_BODY_PART_BYTES, b->bytes - b->sent);
}

static bool has_credit(const struct body_out *b)
{
	return b->credit - b->sent >= next_part_bytes(b);
}

static struct body_out *next_to_send(const struct fp_body_out *o,
				     const void *link)
{
	struct body_out *b = o->first;

	while (b && (b->link != link || !has_credit(b)))
		b = b->next;
	return b;
}

void fp_body_out_pump(struct fp_body_out *o, void *link)
{
	struct body_out *b;
	size_t n;

	while ((b = next_to_send(o, link))) {
		n = next_part_bytes(b);
		if (!o->sink.send(o->sink.ctx, link, b->id, b->sent,
				  b->body + b->sent, n))
			return;
		b->sent += n;
		unlink_out(o, b);
		if (b->sent < b->bytes)
			append_out(o, b);
		else
			free(b);
	}
}

bool fp_body_out_is_unsent(const struct fp_body_out *o, uint64_t id)
{
	return find_out(o, id) != NULL;
}

bool fp_body_out_drop(struct fp_body_out *o, uint64_t id)
{
	struct body_out *b = find_out(o, id);

	if (!b)
		return false;
	unlink_out(o, b);
	free(b);
	return true;
}

bool fp_body_out_stalled(const struct fp_body_out *o, int64_t now_us,
			 uint64_t *id)
{
	const struct body_out *b;

	for (b = o->first; b; b = b->next) {
		if (has_credit(b) || now_us - b->progress_us < FP_BODY_STALL_US)
			continue;
		*id = b->id;
		return true;
	}
	return false;
}

/* --- the receiving end --- */

struct fp_body_in *fp_body_in_init(void)
{
	return calloc(1, sizeof(struct fp_body_in));
}

void fp_body_in_end(struct fp_body_in *in)
{
	struct body_in *b;
	struct body_in *next;

	if (!in)
		return;
	for (b = in->first; b; b = next) {
		next = b->next;
		free(b);
	}
	free(in);
}

static struct body_in *find_in(const struct fp_body_in *in, const void *link,
			       uint64_t id)
{
	struct body_in *b = in->first;

	while (b && (b->link != link || b->id != id))
		b = b->next;
	return b;
}

enum fp_status fp_body_in_add(struct fp_body_in *in, void *owner,
			      const void *link, uint64_t id, uint8_t *to,
			      size_t bytes, int64_t deadline_us, int64_t now_us,
			      uint64_t *credit)
{
	struct body_in *b;

	if (find_in(in, link, id))
		return fp_fail(FP_CONFLICT, "the call arrives already");
	b = calloc(1, sizeof(*b));
	if (!b)
		abort();
	b->owner = owner;
	b->link = link;
	b->id = id;
	b->to = to;
	b->bytes = bytes;
	b->credit = least(FP_BODY_WINDOW_BYTES, bytes);
	b->deadline_us = deadline_us;
	b->progress_us = now_us;
	b->next = in->first;
	in->first = b;
	*credit = b->credit;
	return FP_OK;
}

/* Extends the credit when half of it is used; returns the new one, or 0. */
static size_t extend_credit(struct body_in *b)
{
	if (b->credit == b->bytes ||
	    b->credit - b->taken > FP_BODY_WINDOW_BYTES / 2)
		return 0;
	b->credit = least(b->taken + FP_BODY_WINDOW_BYTES, b->bytes);
	return b->credit;
}

enum fp_body_part fp_body_in_take(struct fp_body_in *in, const void *link,
				  uint64_t id, uint64_t at, const uint8_t *data,
				  size_t bytes, int64_t now_us, void **owner,
				  uint64_t *credit)
{
	struct body_in *b = find_in(in, link, id);

	*owner = NULL;
	*credit = 0;
	if (!b)
		return FP_BODY_UNKNOWN;
	*owner = b->owner;
	if (at != b->taken ||
	    bytes != least(FP_BODY_PART_BYTES, b->bytes - b->taken))
		return FP_BODY_BAD;
	memcpy(b->to + b->taken, data, bytes);
	b->taken += bytes;
	b->progress_us = now_us;
	if (b->taken == b->bytes) {
		fp_body_in_drop(in, *owner);
		return FP_BODY_WHOLE;
	}
	*credit = extend_credit(b);
	return FP_BODY_MORE;
}

void fp_body_in_drop(struct fp_body_in *in, const void *owner)
{
	struct body_in **at = &in->first;
	struct body_in *b;

	while (*at && (*at)->owner != owner)
		at = &(*at)->next;
	b = *at;
	if (!b)
		return;
	*at = b->next;
	free(b);
}

void *fp_body_in_overdue(const struct fp_body_in *in, int64_t now_us,
			 enum fp_reason *why)
{
	const struct body_in *b;

	for (b = in->first; b; b = b->next) {
		if (now_us >= b->deadline_us) {
			*why = FP_REASON_DEADLINE;
			return b->owner;
		}
		if (now_us - b->progress_us >= FP_BODY_STALL_US) {
			*why = FP_REASON_NO_WORKER;
			return b->owner;
		}
	}
	return NULL;
}
