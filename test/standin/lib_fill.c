/* lib_fill.c - answer bodies whose completeness and origin can be checked */
#include "standin/lib_fill.h"

#include <stdio.h>
#include <string.h>

#define LINE_BYTES 1024

void fill_body(char *out, size_t bytes, const char *path, const char *tag)
{
	char line[LINE_BYTES];
	size_t n, i;

	snprintf(line, sizeof(line), "path=%s tag=%s\n", path, tag);
	n = strlen(line);
	for (i = 0; i < bytes; i++)
		out[i] = line[i % n];
}

bool fill_has_tag(const char *body, size_t bytes, const char *tag)
{
	char line[LINE_BYTES];
	int n = snprintf(line, sizeof(line), "tag=%s\n", tag);

	return memmem(body, bytes, line, (size_t)n) != NULL;
}
