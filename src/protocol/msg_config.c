/* msg_config.c - messages that distribute the configuration among nodes */
#include "protocol/msg_config.h"

#define MAX_TEXT_BYTES (1u << 20)
#define GET_FIELDS     1
#define RECORD_FIELDS  5

void fp_msg_config_get_encode(msgpack_sbuffer *out)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, GET_FIELDS);
	msgpack_pack_uint32(&pk, FP_MSG_CONFIG_GET);
}

void fp_msg_config_record_encode(const struct fp_msg_config_record *m,
				 msgpack_sbuffer *out)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, RECORD_FIELDS);
	msgpack_pack_uint32(&pk, FP_MSG_CONFIG_RECORD);
	msgpack_pack_uint64(&pk, m->revision);
	msgpack_pack_uint64(&pk, m->store_version);
	msgpack_pack_int64(&pk, m->store_age_us);
	fp_put_bin(&pk, m->text, m->text_bytes);
}

enum fp_status fp_msg_config_get_decode(const uint8_t *data, size_t bytes)
{
	struct fp_reader r;

	fp_reader_init(&r, data, bytes, GET_FIELDS);
	if (fp_read_u64(&r, UINT32_MAX) != FP_MSG_CONFIG_GET)
		r.bad = true;
	return fp_reader_end(&r, "config get");
}

enum fp_status fp_msg_config_record_decode(const uint8_t *data, size_t bytes,
					   struct fp_msg_config_record *m)
{
	struct fp_reader r;

	fp_reader_init(&r, data, bytes, RECORD_FIELDS);
	if (fp_read_u64(&r, UINT32_MAX) != FP_MSG_CONFIG_RECORD)
		r.bad = true;
	m->revision = fp_read_u64(&r, UINT64_MAX);
	m->store_version = fp_read_u64(&r, UINT64_MAX);
	m->store_age_us = fp_read_i64(&r);
	m->text = (const char *)fp_read_bin(&r, MAX_TEXT_BYTES, &m->text_bytes);
	if (m->store_age_us < 0 || m->store_age_us > FP_MAX_AGE_US)
		r.bad = true;
	return fp_reader_end(&r, "config record");
}
