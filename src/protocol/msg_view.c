/* msg_view.c - messages that spread views of slices and begin a transfer
 *
 * A digest is [type, [generation, ...]] with one number per slice. Records are
 * [type, [[slice, version, ...], ...]] with all fields of each view. A snapshot
 * message is [type, slice, epoch, snapshot_seq].
 */
#include "protocol/msg_view.h"

#include <string.h>

#define RECORD_FIELDS	9
#define SNAPSHOT_FIELDS 4
#define LIST_FIELDS	2

static void put_node(msgpack_packer *pk, const struct fp_view_node *n)
{
	msgpack_pack_uint64(pk, n->id);
	fp_put_text(pk, n->address);
}

static void put_record(msgpack_packer *pk, const struct fp_view_record *r)
{
	msgpack_pack_array(pk, RECORD_FIELDS);
	msgpack_pack_uint32(pk, r->slice);
	msgpack_pack_uint64(pk, r->version);
	msgpack_pack_uint64(pk, r->epoch);
	put_node(pk, &r->primary);
	put_node(pk, &r->backup);
	fp_put_bool(pk, r->backup_ready);
	msgpack_pack_uint64(pk, r->renewals);
}

void fp_msg_view_encode(const struct fp_msg_view *m, msgpack_sbuffer *out)
{
	msgpack_packer pk;
	uint32_t i;

	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, m->type == FP_MSG_VIEW_SNAPSHOT ?
					SNAPSHOT_FIELDS :
					LIST_FIELDS);
	msgpack_pack_uint32(&pk, m->type);
	if (m->type == FP_MSG_VIEW_SNAPSHOT) {
		msgpack_pack_uint32(&pk, m->snapshot.slice);
		msgpack_pack_uint64(&pk, m->snapshot.epoch);
		msgpack_pack_uint64(&pk, m->snapshot.snapshot_seq);
	} else if (m->type == FP_MSG_VIEW_DIGEST) {
		msgpack_pack_array(&pk, FP_SLICES);
		for (i = 0; i < FP_SLICES; i++)
			msgpack_pack_uint64(&pk, m->generations[i]);
	} else {
		msgpack_pack_array(&pk, m->n_records);
		for (i = 0; i < m->n_records; i++)
			put_record(&pk, &m->records[i]);
	}
}

static void read_node(struct fp_reader *r, struct fp_view_node *n)
{
	n->id = fp_read_u64(r, UINT64_MAX);
	fp_read_text(r, n->address, sizeof(n->address));
}

static void read_record(struct fp_reader *r, struct fp_view_record *v)
{
	if (fp_read_array(r, RECORD_FIELDS) != RECORD_FIELDS)
		r->bad = true;
	v->slice = (uint32_t)fp_read_u64(r, FP_SLICES - 1);
	v->version = fp_read_u64(r, INT64_MAX);
	v->epoch = fp_read_u64(r, INT64_MAX);
	read_node(r, &v->primary);
	read_node(r, &v->backup);
	v->backup_ready = fp_read_bool(r);
	v->renewals = fp_read_u64(r, INT64_MAX);
}

static void read_records(struct fp_reader *r, struct fp_msg_view *m)
{
	uint32_t n = fp_read_array(r, FP_SLICES);

	for (m->n_records = 0; m->n_records < n; m->n_records++)
		read_record(r, &m->records[m->n_records]);
}

static void read_digest(struct fp_reader *r, struct fp_msg_view *m)
{
	uint32_t i;

	if (fp_read_array(r, FP_SLICES) != FP_SLICES)
		r->bad = true;
	for (i = 0; i < FP_SLICES; i++)
		m->generations[i] = fp_read_u64(r, UINT64_MAX);
}

enum fp_status fp_msg_view_decode(const uint8_t *data, size_t bytes,
				  struct fp_msg_view *m)
{
	uint32_t type = fp_msg_type(data, bytes);
	struct fp_reader r;

	memset(m, 0, sizeof(*m));
	fp_reader_init(&r, data, bytes,
		       type == FP_MSG_VIEW_SNAPSHOT ? SNAPSHOT_FIELDS :
						      LIST_FIELDS);
	m->type = (enum fp_msg_view_type)fp_read_u64(&r,
						     FP_MSG_VIEW_TYPE_END - 1);
	if (type == FP_MSG_VIEW_DIGEST) {
		read_digest(&r, m);
	} else if (type == FP_MSG_VIEW_RECORDS) {
		read_records(&r, m);
	} else if (type == FP_MSG_VIEW_SNAPSHOT) {
		m->snapshot.slice = (uint32_t)fp_read_u64(&r, FP_SLICES - 1);
		m->snapshot.epoch = fp_read_u64(&r, INT64_MAX);
		m->snapshot.snapshot_seq = fp_read_u64(&r, INT64_MAX);
	} else {
		r.bad = true;
	}
	return fp_reader_end(&r, "view message");
}
