/*
 * msg_slice.c - messages between primary and backup of a slice, with codec
 *
 * All types have the same layout, because each refers to slices and views. One
 * message carries the items of all slices that a pair of nodes shares, so the
 * promises of 64 slices take one message per pair and period.
 */
#include "protocol/msg_slice.h"

#include "protocol/pack.h"

#define MSG_FIELDS  6
#define ITEM_FIELDS 4

static void pack_item(msgpack_packer *pk, const struct fp_msg_slice_item *it)
{
	msgpack_pack_array(pk, ITEM_FIELDS);
	msgpack_pack_uint32(pk, it->slice);
	msgpack_pack_uint64(pk, it->epoch);
	msgpack_pack_uint64(pk, it->version);
	msgpack_pack_int64(pk, it->claims_lost_for_us);
}

/* A caller's buffer and the bytes written to it so far. */
struct output {
	uint8_t *buf;
	size_t size;
	size_t used;
};

static int output_write(void *data, const char *bytes, size_t n)
{
	struct output *out = data;
	size_t i;

	if (n > out->size - out->used)
		return -1;
	for (i = 0; i < n; i++)
		out->buf[out->used + i] = (uint8_t)bytes[i];
	out->used += n;
	return 0;
}

static int type_known(uint64_t type)
{
	return type >= FP_MSG_SLICE_PROMISE_REQUEST &&
	       type < FP_MSG_SLICE_TYPE_END;
}

enum fp_status fp_msg_slice_encode(const struct fp_msg_slice *m, uint8_t *buf,
				   size_t size, size_t *len)
{
	struct output out = { buf, size, 0 };
	msgpack_packer pk;
	uint32_t i;

	if (!type_known((uint64_t)m->type))
		return fp_fail(FP_INVALID, "slice message: unknown type %d",
			       (int)m->type);
	if (m->n_items == 0 || m->n_items > FP_SLICES)
		return fp_fail(FP_INVALID,
			       "slice message: %u items, must be 1 to the "
			       "number of slices",
			       m->n_items);
	/* An encoded value takes at most nine bytes: the head of five values
	 * and two array headers fits in 64, an item of four values in 40. */
	if (size < 64 + (size_t)m->n_items * 40)
		return fp_fail(
			FP_FULL,
			"slice message: buffer of %zu bytes is too small",
			size);
	msgpack_packer_init(&pk, &out, output_write);
	msgpack_pack_array(&pk, MSG_FIELDS);
	msgpack_pack_uint32(&pk, (uint32_t)m->type);
	msgpack_pack_uint64(&pk, m->correlation);
	msgpack_pack_uint64(&pk, m->from);
	msgpack_pack_uint64(&pk, m->to);
	msgpack_pack_int64(&pk, m->request_us);
	msgpack_pack_array(&pk, m->n_items);
	for (i = 0; i < m->n_items; i++)
		pack_item(&pk, &m->items[i]);
	*len = out.used;
	return FP_OK;
}

static void read_item(struct fp_reader *r, struct fp_msg_slice_item *it)
{
	if (fp_read_array(r, ITEM_FIELDS) != ITEM_FIELDS)
		r->bad = true;
	it->slice = (uint32_t)fp_read_u64(r, FP_SLICES - 1);
	it->epoch = fp_read_u64(r, UINT64_MAX);
	it->version = fp_read_u64(r, UINT64_MAX);
	it->claims_lost_for_us = (int64_t)fp_read_u64(r, INT64_MAX);
}

enum fp_status fp_msg_slice_decode(struct fp_msg_slice *m, const uint8_t *buf,
				   size_t len)
{
	struct fp_reader r;
	uint32_t i;

	fp_reader_init(&r, buf, len, MSG_FIELDS);
	m->type = (enum fp_msg_slice_type)fp_read_u64(&r, UINT32_MAX);
	if (!type_known((uint64_t)m->type))
		r.bad = true;
	m->correlation = fp_read_u64(&r, UINT64_MAX);
	m->from = fp_read_u64(&r, UINT64_MAX);
	m->to = fp_read_u64(&r, UINT64_MAX);
	/* Never negative: the clock counts from the start of the VM. */
	m->request_us = (int64_t)fp_read_u64(&r, INT64_MAX);
	m->n_items = fp_read_array(&r, FP_SLICES);
	if (m->n_items == 0)
		r.bad = true;
	for (i = 0; i < m->n_items; i++)
		read_item(&r, &m->items[i]);
	return fp_reader_end(&r, "slice message");
}
