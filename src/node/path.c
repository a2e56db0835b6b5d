/* path.c - check that the path of a request target is normalized */
#include "node/path.h"

#include <ctype.h>
#include <stddef.h>
#include <string.h>

static int hex_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

/* Whether the escape at p is valid and encodes a character that must be escaped
 * in a normalized path. */
static bool escape_is_needed(const char *p)
{
	int high = hex_value(p[1]);
	int low = high < 0 ? -1 : hex_value(p[2]);
	int c = high * 16 + low;

	if (high < 0 || low < 0)
		return false;
	if (c < 0x20 || c == 0x7f)
		return false;
	return !isalnum(c) && strchr("-._~/\\", c) == NULL;
}

static bool segment_is_normalized(const char *seg, size_t len)
{
	size_t i;

	if ((len == 1 && seg[0] == '.') ||
	    (len == 2 && seg[0] == '.' && seg[1] == '.'))
		return false;
	for (i = 0; i < len; i++) {
		if (seg[i] == '%' && !escape_is_needed(seg + i))
			return false;
		if (seg[i] == '\\' || (unsigned char)seg[i] <= ' ')
			return false;
	}
	return true;
}

bool fp_path_is_normalized(const char *uri, bool empty_segments)
{
	size_t end = strcspn(uri, "?");
	size_t at = 1;
	size_t len;

	/* A fragment is not part of a request target and would not be
	 * forwarded. */
	if (uri[0] != '/' || strchr(uri, '#'))
		return false;
	while (at < end) {
		len = strcspn(uri + at, "/?");
		if ((len == 0 && !empty_segments) ||
		    !segment_is_normalized(uri + at, len))
			return false;
		at += len + 1;
	}
	return true;
}
