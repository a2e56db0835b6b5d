/* msg_body.c - messages that carry the body of a call in parts */
#include "protocol/msg_body.h"

#include <string.h>

#define CALL_FIELDS   3
#define PART_FIELDS   4
#define CREDIT_FIELDS 3

static void begin_message(msgpack_packer *pk, msgpack_sbuffer *out,
			  uint32_t type, uint32_t fields)
{
	msgpack_packer_init(pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(pk, fields);
	msgpack_pack_uint32(pk, type);
}

void fp_msg_body_call_encode(const struct fp_msg_body_call *m,
			     msgpack_sbuffer *out)
{
	msgpack_packer pk;

	begin_message(&pk, out, FP_MSG_BODY_CALL, CALL_FIELDS);
	msgpack_pack_uint64(&pk, m->body_bytes);
	fp_put_bin(&pk, m->call, m->call_bytes);
}

void fp_msg_body_part_encode(const struct fp_msg_body_part *m,
			     msgpack_sbuffer *out)
{
	msgpack_packer pk;

	begin_message(&pk, out, FP_MSG_BODY_PART, PART_FIELDS);
	msgpack_pack_uint64(&pk, m->corr);
	msgpack_pack_uint64(&pk, m->at);
	fp_put_bin(&pk, m->data, m->bytes);
}

void fp_msg_body_credit_encode(const struct fp_msg_body_credit *m,
			       msgpack_sbuffer *out)
{
	msgpack_packer pk;

	begin_message(&pk, out, FP_MSG_BODY_CREDIT, CREDIT_FIELDS);
	msgpack_pack_uint64(&pk, m->corr);
	msgpack_pack_uint64(&pk, m->upto);
}

static void open_message(struct fp_reader *r, const uint8_t *data, size_t bytes,
			 uint32_t type, uint32_t fields)
{
	fp_reader_init(r, data, bytes, fields);
	if (fp_read_u64(r, UINT32_MAX) != type)
		r->bad = true;
}

enum fp_status fp_msg_body_call_decode(const uint8_t *data, size_t bytes,
				       struct fp_msg_body_call *m)
{
	struct fp_reader r;

	memset(m, 0, sizeof(*m));
	open_message(&r, data, bytes, FP_MSG_BODY_CALL, CALL_FIELDS);
	m->body_bytes = fp_read_u64(&r, UINT64_MAX);
	m->call = fp_read_bin(&r, bytes, &m->call_bytes);
	if (!m->body_bytes)
		r.bad = true;
	return fp_reader_end(&r, "call with a body in parts");
}

enum fp_status fp_msg_body_part_decode(const uint8_t *data, size_t bytes,
				       struct fp_msg_body_part *m)
{
	struct fp_reader r;

	memset(m, 0, sizeof(*m));
	open_message(&r, data, bytes, FP_MSG_BODY_PART, PART_FIELDS);
	m->corr = fp_read_u64(&r, UINT64_MAX);
	m->at = fp_read_u64(&r, UINT64_MAX);
	m->data = fp_read_bin(&r, bytes, &m->bytes);
	return fp_reader_end(&r, "part of a body");
}

enum fp_status fp_msg_body_credit_decode(const uint8_t *data, size_t bytes,
					 struct fp_msg_body_credit *m)
{
	struct fp_reader r;

	memset(m, 0, sizeof(*m));
	open_message(&r, data, bytes, FP_MSG_BODY_CREDIT, CREDIT_FIELDS);
	m->corr = fp_read_u64(&r, UINT64_MAX);
	m->upto = fp_read_u64(&r, UINT64_MAX);
	return fp_reader_end(&r, "credit of a body");
}
