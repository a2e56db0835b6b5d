/*
 * msg_swim.c - membership messages and their codec
 *
 * A message is decoded twice: the first pass checks every update, the second
 * passes the updates to the callback. Thus a message is applied completely or
 * not at all.
 */
#include "protocol/msg_swim.h"

#include <stdio.h>
#include <string.h>

#include "protocol/pack.h"

#define HEAD_FIELDS  11
#define FULL_FIELDS  14
#define BRIEF_FIELDS 3
#define MAX_UPDATES  4096
/* Upper bound of a head, bytes: ten values of at most nine bytes and two array
 * headers. */
#define HEAD_BYTES 110

void fp_msg_swim_begin(struct fp_msg_swim_writer *w, size_t size)
{
	msgpack_sbuffer_init(&w->updates);
	w->limit = size - HEAD_BYTES;
	w->n = 0;
}

static void pack_brief(msgpack_packer *pk, const struct fp_swim_member *m)
{
	msgpack_pack_array(pk, BRIEF_FIELDS);
	msgpack_pack_uint64(pk, m->id);
	msgpack_pack_uint64(pk, m->incarnation);
	msgpack_pack_uint32(pk, (uint32_t)m->state);
}

static void pack_full(msgpack_packer *pk, const struct fp_swim_member *m)
{
	msgpack_pack_array(pk, FULL_FIELDS);
	msgpack_pack_uint64(pk, m->id);
	msgpack_pack_uint64(pk, m->incarnation);
	msgpack_pack_uint32(pk, (uint32_t)m->state);
	fp_put_text(pk, m->name);
	fp_put_text(pk, m->address);
	fp_put_text(pk, m->failure_domain);
	fp_put_text(pk, m->region);
	fp_put_text(pk, m->service);
	msgpack_pack_uint16(pk, m->http_port);
	msgpack_pack_uint16(pk, m->peer_port);
	msgpack_pack_uint16(pk, m->control_port);
	msgpack_pack_uint32(pk, (uint32_t)m->worker);
	msgpack_pack_uint32(pk, m->slots);
	msgpack_pack_uint32(pk, m->worker_starts);
}

enum fp_status fp_msg_swim_add(struct fp_msg_swim_writer *w,
			       const struct fp_swim_member *m, bool brief)
{
	size_t old_size = w->updates.size;
	msgpack_packer pk;

	msgpack_packer_init(&pk, &w->updates, msgpack_sbuffer_write);
	if (brief)
		pack_brief(&pk, m);
	else
		pack_full(&pk, m);
	if (w->updates.size > w->limit) {
		w->updates.size = old_size;
		return FP_FULL;
	}
	w->n++;
	return FP_OK;
}

static void pack_head(msgpack_packer *pk, const struct fp_msg_swim *m,
		      uint32_t n_updates)
{
	msgpack_pack_array(pk, HEAD_FIELDS);
	msgpack_pack_uint32(pk, (uint32_t)m->type);
	msgpack_pack_uint64(pk, m->correlation);
	msgpack_pack_uint64(pk, m->from);
	msgpack_pack_uint64(pk, m->to);
	msgpack_pack_uint64(pk, m->origin);
	msgpack_pack_uint64(pk, m->target);
	msgpack_pack_uint64(pk, m->status.config_revision);
	msgpack_pack_int64(pk, m->status.store_age_us);
	msgpack_pack_uint64(pk, m->status.views_digest);
	msgpack_pack_uint64(pk, m->members_digest);
	msgpack_pack_array(pk, n_updates);
}

enum fp_status fp_msg_swim_finish(struct fp_msg_swim_writer *w,
				  const struct fp_msg_swim *head,
				  msgpack_sbuffer *out)
{
	msgpack_packer pk;
	int failed;

	msgpack_sbuffer_init(out);
	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	pack_head(&pk, head, w->n);
	failed = w->updates.size &&
		 msgpack_sbuffer_write(out, w->updates.data, w->updates.size);
	msgpack_sbuffer_destroy(&w->updates);
	if (failed || !out->data)
		return fp_fail(FP_NOMEM, "membership message: out of memory");
	return FP_OK;
}

static void read_full(struct fp_reader *r, struct fp_swim_member *m)
{
	fp_read_text(r, m->name, sizeof(m->name));
	fp_read_text(r, m->address, sizeof(m->address));
	fp_read_text(r, m->failure_domain, sizeof(m->failure_domain));
	fp_read_text(r, m->region, sizeof(m->region));
	fp_read_text(r, m->service, sizeof(m->service));
	m->http_port = (uint16_t)fp_read_u64(r, UINT16_MAX);
	m->peer_port = (uint16_t)fp_read_u64(r, UINT16_MAX);
	m->control_port = (uint16_t)fp_read_u64(r, UINT16_MAX);
	m->worker = (enum fp_worker_state)fp_read_u64(r, FP_WORKER_LEAVING);
	m->slots = (uint32_t)fp_read_u64(r, UINT32_MAX);
	m->worker_starts = (uint32_t)fp_read_u64(r, UINT32_MAX);
}

/* Reads one update; returns whether it is brief. */
static bool read_update(struct fp_reader *r, struct fp_swim_member *m)
{
	uint32_t n = fp_read_array(r, FULL_FIELDS);

	memset(m, 0, sizeof(*m));
	if (n != BRIEF_FIELDS && n != FULL_FIELDS)
		r->bad = true;
	m->id = fp_read_u64(r, UINT64_MAX);
	m->incarnation = fp_read_u64(r, UINT64_MAX);
	m->state = (enum fp_member_state)fp_read_u64(r, FP_MEMBER_LEFT);
	if (m->id == 0 || (n == BRIEF_FIELDS && m->state == FP_MEMBER_ALIVE))
		r->bad = true;
	if (n == FULL_FIELDS)
		read_full(r, m);
	return n == BRIEF_FIELDS;
}

static void read_head(struct fp_reader *r, struct fp_msg_swim *m)
{
	m->type =
		(enum fp_msg_swim_type)fp_read_u64(r, FP_MSG_SWIM_TYPE_END - 1);
	if (m->type < FP_MSG_SWIM_PING)
		r->bad = true;
	m->correlation = fp_read_u64(r, UINT64_MAX);
	m->from = fp_read_u64(r, UINT64_MAX);
	if (m->from == 0)
		r->bad = true;
	m->to = fp_read_u64(r, UINT64_MAX);
	m->origin = fp_read_u64(r, UINT64_MAX);
	m->target = fp_read_u64(r, UINT64_MAX);
	m->status.config_revision = fp_read_u64(r, UINT64_MAX);
	m->status.store_age_us = (int64_t)fp_read_u64(r, INT64_MAX);
	m->status.views_digest = fp_read_u64(r, UINT64_MAX);
	m->members_digest = fp_read_u64(r, UINT64_MAX);
	m->n_updates = fp_read_array(r, MAX_UPDATES);
}

/* Decodes a message and calls fn, unless NULL, for each update. */
static enum fp_status decode(struct fp_msg_swim *head, const uint8_t *buf,
			     size_t len, fp_msg_swim_update_fn fn, void *ctx)
{
	struct fp_swim_member m;
	struct fp_reader r;
	bool brief;
	uint32_t i;

	fp_reader_init(&r, buf, len, HEAD_FIELDS);
	read_head(&r, head);
	for (i = 0; i < head->n_updates && !r.bad; i++) {
		brief = read_update(&r, &m);
		if (fn)
			fn(ctx, head, &m, brief);
	}
	return fp_reader_end(&r, "membership message");
}

enum fp_status fp_msg_swim_decode(struct fp_msg_swim *head, const uint8_t *buf,
				  size_t len, fp_msg_swim_update_fn fn,
				  void *ctx)
{
	enum fp_status st;

	if (len > FP_MSG_SWIM_BULK_BYTES)
		return fp_fail(FP_INVALID, "membership message: %zu bytes",
			       len);
	st = decode(head, buf, len, NULL, NULL);
	if (st != FP_OK)
		return st;
	return decode(head, buf, len, fn, ctx);
}
