/* path.h - check that the path of a request target is normalized */
#ifndef FP_NODE_PATH_H
#define FP_NODE_PATH_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Returns whether the path of a request target is in normalized form.
 *
 * Such a path starts with '/', has no "." or ".." segment, no backslash, space
 * or control character, and no escape of a character that needs none, of a
 * slash, of a backslash or of a control character. Routes are matched on the
 * raw path, so a path in another form could match one route here and be
 * resolved to another one by a backend server. The query is not checked.
 *
 * @param empty_segments  whether a path may have empty segments: it may where
 *                        prefixes are defined byte for byte
 */
bool fp_path_is_normalized(const char *uri, bool empty_segments);

#ifdef __cplusplus
}
#endif
#endif
