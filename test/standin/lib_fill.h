/* lib_fill.h - answer bodies whose completeness and origin can be checked */
#ifndef STANDIN_LIB_FILL_H
#define STANDIN_LIB_FILL_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Fills out with the line "path=PATH tag=TAG\n", repeated and cut off at
 *  bytes. */
void fill_body(char *out, size_t bytes, const char *path, const char *tag);

/** Returns whether a body contains a complete line that ends in tag=TAG. */
bool fill_has_tag(const char *body, size_t bytes, const char *tag);

#ifdef __cplusplus
}
#endif
#endif
