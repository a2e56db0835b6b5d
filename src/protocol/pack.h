/* pack.h - strict decoder and simple encoder for msgpack arrays */
#ifndef FP_PROTOCOL_PACK_H
#define FP_PROTOCOL_PACK_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Returns the type of a message, its first element; 0 if there is none. */
uint32_t fp_msg_type(const uint8_t *data, size_t bytes);

/**
 * Reads the elements of an array in order. The first element of the wrong type
 * or out of bounds sets bad; from then on all reads return zero or empty
 * values, so a caller needs to check only the result of fp_reader_end().
 *
 * Elements are unpacked one scalar at a time and array headers are parsed here,
 * so a length given in the input never causes an allocation.
 */
struct fp_reader {
	const char *data;
	size_t bytes; /**< length of the input */
	size_t at; /**< offset of the next byte */
	msgpack_zone zone; /**< scratch memory of the library */
	bool bad; /**< an element was invalid */
};

/**
 * Starts to read one message: an array of n elements without trailing bytes.
 *
 * Byte strings that are read later point into data. fp_reader_end() must be
 * called in any case.
 */
void fp_reader_init(struct fp_reader *r, const uint8_t *data, size_t bytes,
		    uint32_t n);

/** Reads an unsigned integer of at most max. */
uint64_t fp_read_u64(struct fp_reader *r, uint64_t max);
/** Reads a signed integer. */
int64_t fp_read_i64(struct fp_reader *r);
/** Reads a boolean. */
bool fp_read_bool(struct fp_reader *r);
/** Reads a byte string of at most max bytes; NULL with *bytes 0 when
 *  invalid. */
const uint8_t *fp_read_bin(struct fp_reader *r, size_t max, size_t *bytes);
/** Reads a byte string of exactly that length into out; zeros when invalid. */
void fp_read_fixed(struct fp_reader *r, void *out, size_t bytes);
/** Reads a text without NUL into out, which has size bytes; "" when
 *  invalid. */
void fp_read_text(struct fp_reader *r, char *out, size_t size);
/** Reads the header of a nested array; returns its length, at most max. */
uint32_t fp_read_array(struct fp_reader *r, uint32_t max);
/** Frees the reader. FP_OK if all of the input was valid and was read, else
 *  FP_INVALID with a last message that starts with what. */
enum fp_status fp_reader_end(struct fp_reader *r, const char *what);

/** Append a byte string, text or boolean. */
void fp_put_bin(msgpack_packer *pk, const void *data, size_t bytes);
void fp_put_text(msgpack_packer *pk, const char *text);
void fp_put_bool(msgpack_packer *pk, bool value);

#ifdef __cplusplus
}
#endif
#endif
