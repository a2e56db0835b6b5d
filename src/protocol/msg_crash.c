/* msg_crash.c - report of a request that was in flight when a worker crashed */
#include "protocol/msg_crash.h"

#define CRASH_FIELDS 3

void fp_msg_crash_encode(const struct fp_msg_crash *m, msgpack_sbuffer *out)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, CRASH_FIELDS);
	msgpack_pack_uint32(&pk, FP_MSG_CRASH);
	msgpack_pack_uint64(&pk, m->fingerprint);
	msgpack_pack_uint64(&pk, m->crash_id);
}

enum fp_status fp_msg_crash_decode(const uint8_t *data, size_t bytes,
				   struct fp_msg_crash *m)
{
	struct fp_reader r;

	fp_reader_init(&r, data, bytes, CRASH_FIELDS);
	if (fp_read_u64(&r, UINT32_MAX) != FP_MSG_CRASH)
		r.bad = true;
	m->fingerprint = fp_read_u64(&r, UINT64_MAX);
	m->crash_id = fp_read_u64(&r, UINT64_MAX);
	return fp_reader_end(&r, "crash");
}
