/* fuzz_messages.c - libFuzzer target: decoders of node messages and of the load
 * that backend servers report */
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "platform/platform.h"
#include "protocol/msg_body.h"
#include "protocol/msg_call.h"
#include "protocol/msg_config.h"
#include "protocol/msg_shared.h"
#include "protocol/msg_slice.h"
#include "protocol/msg_swim.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void try_call(const uint8_t *data, size_t size)
{
	static struct fp_msg_call call;
	static struct fp_msg_reply reply;
	struct fp_msg_memory mem;
	msgpack_sbuffer buf;
	uint64_t corr;

	if (fp_msg_call_decode(data, size, &call, &mem) == FP_OK) {
		/* A message that was decoded must encode and decode again. */
		msgpack_sbuffer_init(&buf);
		fp_msg_call_encode(&call, &buf);
		fp_msg_memory_end(&mem);
		if (fp_msg_call_decode((uint8_t *)buf.data, buf.size, &call,
				       &mem) != FP_OK)
			abort();
		fp_msg_memory_end(&mem);
		msgpack_sbuffer_destroy(&buf);
	}
	if (fp_msg_reply_decode(data, size, &reply, &mem) == FP_OK)
		fp_msg_memory_end(&mem);
	fp_msg_cancel_decode(data, size, &corr);
}

static void try_body(const uint8_t *data, size_t size)
{
	struct fp_msg_body_call call;
	struct fp_msg_body_part part;
	struct fp_msg_body_credit credit;

	if (fp_msg_body_call_decode(data, size, &call) == FP_OK) {
		if (!call.body_bytes || call.call_bytes > size)
			abort();
		try_call(call.call, call.call_bytes);
	}
	if (fp_msg_body_part_decode(data, size, &part) == FP_OK &&
	    part.bytes > size)
		abort();
	fp_msg_body_credit_decode(data, size, &credit);
}

static void try_shared(const uint8_t *data, size_t size)
{
	struct fp_msg_shared m;
	msgpack_sbuffer buf;

	if (fp_msg_shared_decode(data, size, &m) != FP_OK)
		return;
	/* A message that was decoded must encode again. */
	msgpack_sbuffer_init(&buf);
	if (fp_msg_shared_encode(&m, &buf) != FP_OK)
		abort();
	msgpack_sbuffer_destroy(&buf);
}

static void try_load(const uint8_t *data, size_t size)
{
	struct fp_backend_load load;
	char *text = calloc(size + 1, 1);

	if (!text)
		abort();
	memcpy(text, data, size);
	platform_dialect.load(text, &load);
	free(text);
}

static void on_update(void *ctx, const struct fp_msg_swim *head,
		      const struct fp_swim_member *m, bool brief)
{
	(void)ctx;
	(void)head;
	(void)brief;
	/* The decoder must reject a member with id 0. */
	if (m->id == 0)
		abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct fp_msg_swim swim;
	static struct fp_msg_slice slice;
	struct fp_msg_config_record record;

	fp_msg_type(data, size);
	try_load(data, size);
	try_call(data, size);
	try_body(data, size);
	fp_msg_config_get_decode(data, size);
	fp_msg_config_record_decode(data, size, &record);
	try_shared(data, size);
	fp_msg_slice_decode(&slice, data, size);
	fp_msg_swim_decode(&swim, data, size, on_update, NULL);
	return 0;
}
