/* buffer.h - bytes of a stream that are to be parsed or sent */
#ifndef FP_TRANSPORT_BUFFER_H
#define FP_TRANSPORT_BUFFER_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Bytes to be parsed or sent; zeroed at first. */
struct fp_buffer {
	uint8_t *data;
	size_t start; /**< first byte not consumed */
	size_t end; /**< one past the last byte */
	size_t size; /**< allocated */
};

/** Returns the number of bytes that are not consumed. */
size_t fp_buffer_used(const struct fp_buffer *b);
/** Makes room for n bytes after the last one and returns where it begins; the
 *  caller advances end. */
uint8_t *fp_buffer_reserve(struct fp_buffer *b, size_t n);
/** Appends n bytes. */
void fp_buffer_put(struct fp_buffer *b, const void *data, size_t n);
/** Consumes n bytes. An empty buffer frees a large allocation. */
void fp_buffer_skip(struct fp_buffer *b, size_t n);
/** Frees the bytes; the buffer can be used again. */
void fp_buffer_free(struct fp_buffer *b);

#ifdef __cplusplus
}
#endif
#endif
