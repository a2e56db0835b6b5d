/* pack.c - strict decoder and simple encoder for msgpack arrays */
#include "protocol/pack.h"

#include <stdlib.h>
#include <string.h>

/* First bytes of msgpack elements. */
#define FIXINT_MAX   0x7f
#define ZONE_BYTES   256 /* first chunk of the library's zone */
#define FIXARRAY     0x90
#define FIXARRAY_MAX 0x9f
#define ARRAY16	     0xdc
#define FIXMAP	     0x80
#define MAP32	     0xdf

uint32_t fp_msg_type(const uint8_t *data, size_t bytes)
{
	/* An array header of one or three bytes, then a one-byte integer. */
	size_t at = 1;

	if (bytes < 2)
		return 0;
	if (data[0] == ARRAY16)
		at = 3;
	else if (data[0] < FIXARRAY || data[0] > FIXARRAY_MAX)
		return 0;
	if (at >= bytes || data[at] > FIXINT_MAX)
		return 0;
	return data[at];
}

void fp_reader_init(struct fp_reader *r, const uint8_t *data, size_t bytes,
		    uint32_t n)
{
	memset(r, 0, sizeof(*r));
	r->data = (const char *)data;
	r->bytes = bytes;
	if (!msgpack_zone_init(&r->zone, ZONE_BYTES))
		abort();
	if (fp_read_array(r, n) != n)
		r->bad = true;
}

uint32_t fp_read_array(struct fp_reader *r, uint32_t max)
{
	const uint8_t *p = (const uint8_t *)r->data + r->at;
	size_t left = r->bytes - r->at;
	uint32_t n = 0;

	if (r->bad || !left) {
		r->bad = true;
		return 0;
	}
	if (p[0] >= FIXARRAY && p[0] <= FIXARRAY_MAX) {
		n = p[0] - FIXARRAY;
		r->at += 1;
	} else if (p[0] == ARRAY16 && left >= 3) {
		n = (uint32_t)p[1] << 8 | p[2];
		r->at += 3;
	} else {
		r->bad = true;
	}
	if (n > max) {
		r->bad = true;
		return 0;
	}
	return n;
}

static bool is_scalar(uint8_t first)
{
	bool small_container = first >= FIXMAP && first <= FIXARRAY_MAX;
	bool large_container = first >= ARRAY16 && first <= MAP32;

	return !small_container && !large_container;
}

/* Unpacks the next element; fails unless it has that type. */
static bool unpack_scalar(struct fp_reader *r, msgpack_object_type type,
			  msgpack_object *o)
{
	msgpack_unpack_return rc;

	if (!r->bad && r->at < r->bytes && is_scalar((uint8_t)r->data[r->at])) {
		rc = msgpack_unpack(r->data, r->bytes, &r->at, &r->zone, o);
		if ((rc == MSGPACK_UNPACK_SUCCESS ||
		     rc == MSGPACK_UNPACK_EXTRA_BYTES) &&
		    o->type == type)
			return true;
	}
	r->bad = true;
	return false;
}

uint64_t fp_read_u64(struct fp_reader *r, uint64_t max)
{
	msgpack_object o;

	if (!unpack_scalar(r, MSGPACK_OBJECT_POSITIVE_INTEGER, &o))
		return 0;
	if (o.via.u64 > max) {
		r->bad = true;
		return 0;
	}
	return o.via.u64;
}

int64_t fp_read_i64(struct fp_reader *r)
{
	uint8_t first = r->at < r->bytes ? (uint8_t)r->data[r->at] : 0;
	msgpack_object o;

	/* Negative integers: one byte, or a first byte of 0xd0 to 0xd3. */
	if (first < 0xe0 && (first < 0xd0 || first > 0xd3))
		return (int64_t)fp_read_u64(r, INT64_MAX);
	return unpack_scalar(r, MSGPACK_OBJECT_NEGATIVE_INTEGER, &o) ?
		       o.via.i64 :
		       0;
}

bool fp_read_bool(struct fp_reader *r)
{
	msgpack_object o;

	return unpack_scalar(r, MSGPACK_OBJECT_BOOLEAN, &o) && o.via.boolean;
}

const uint8_t *fp_read_bin(struct fp_reader *r, size_t max, size_t *bytes)
{
	msgpack_object o;

	*bytes = 0;
	if (!unpack_scalar(r, MSGPACK_OBJECT_BIN, &o))
		return NULL;
	if (o.via.bin.size > max) {
		r->bad = true;
		return NULL;
	}
	*bytes = o.via.bin.size;
	return (const uint8_t *)o.via.bin.ptr;
}

void fp_read_fixed(struct fp_reader *r, void *out, size_t bytes)
{
	size_t got;
	const uint8_t *p = fp_read_bin(r, bytes, &got);

	if (got != bytes) {
		r->bad = true;
		memset(out, 0, bytes);
		return;
	}
	if (bytes)
		memcpy(out, p, bytes);
}

void fp_read_text(struct fp_reader *r, char *out, size_t size)
{
	msgpack_object o;
	uint32_t n;

	out[0] = '\0';
	if (!unpack_scalar(r, MSGPACK_OBJECT_STR, &o))
		return;
	n = o.via.str.size;
	if (n >= size || (n && memchr(o.via.str.ptr, 0, n))) {
		r->bad = true;
		return;
	}
	if (n)
		memcpy(out, o.via.str.ptr, n);
	out[n] = '\0';
}

enum fp_status fp_reader_end(struct fp_reader *r, const char *what)
{
	msgpack_zone_destroy(&r->zone);
	if (r->bad)
		return fp_fail(FP_INVALID, "%s: invalid element near byte %zu",
			       what, r->at);
	if (r->at != r->bytes)
		return fp_fail(FP_INVALID, "%s: trailing bytes", what);
	return FP_OK;
}

void fp_put_bin(msgpack_packer *pk, const void *data, size_t bytes)
{
	msgpack_pack_bin(pk, bytes);
	if (bytes)
		msgpack_pack_bin_body(pk, data, bytes);
}

void fp_put_text(msgpack_packer *pk, const char *text)
{
	size_t len = strlen(text);

	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, text, len);
}

void fp_put_bool(msgpack_packer *pk, bool value)
{
	if (value)
		msgpack_pack_true(pk);
	else
		msgpack_pack_false(pk);
}
