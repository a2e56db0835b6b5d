/* buffer.c - bytes of a stream that are to be parsed or sent */
#include "transport/buffer.h"

#include <stdlib.h>
#include <string.h>

/* Largest allocation that an empty buffer keeps. */
#define IDLE_BYTES (128u << 10)

size_t fp_buffer_used(const struct fp_buffer *b)
{
	return b->end - b->start;
}

uint8_t *fp_buffer_reserve(struct fp_buffer *b, size_t n)
{
	size_t used = fp_buffer_used(b);
	size_t size = b->size ? b->size : 1024;
	uint8_t *data;

	if (b->start && b->end + n > b->size) {
		memmove(b->data, b->data + b->start, used);
		b->start = 0;
		b->end = used;
	}
	if (b->end + n > b->size) {
		while (size < used + n)
			size *= 2;
		data = realloc(b->data, size);
		if (!data)
			abort();
		b->data = data;
		b->size = size;
	}
	return b->data + b->end;
}

void fp_buffer_put(struct fp_buffer *b, const void *data, size_t n)
{
	if (!n)
		return;
	memcpy(fp_buffer_reserve(b, n), data, n);
	b->end += n;
}

void fp_buffer_free(struct fp_buffer *b)
{
	free(b->data);
	memset(b, 0, sizeof(*b));
}

void fp_buffer_skip(struct fp_buffer *b, size_t n)
{
	b->start += n;
	if (b->start == b->end)
		b->start = b->end = 0;
	if (!b->end && b->size > IDLE_BYTES)
		fp_buffer_free(b);
}
