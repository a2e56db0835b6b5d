/* text.h - copies of texts into arrays of fixed size */
#ifndef FP_BASE_TEXT_H
#define FP_BASE_TEXT_H

#include <stdbool.h>
#include <stddef.h>
#include <string.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Copies a text and its NUL if they fit. A text that was cut would name something
 * else, so it is never copied in part.
 *
 * @param size  of the array, bytes, at least 1
 * @return false if it does not fit; the array then holds an empty text
 */
__attribute__((warn_unused_result)) static inline bool
fp_text_copy(char *to, size_t size, const char *from)
{
	size_t len = strlen(from);

	to[0] = '\0';
	if (len >= size)
		return false;
	memcpy(to, from, len + 1);
	return true;
}

#ifdef __cplusplus
}
#endif
#endif
