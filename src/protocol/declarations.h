/* declarations.h - operators' declarations in a TOML file in version control
 *
 * A file contains [[organisation]], [[route]], [preset.NAME] and [[objective]].
 * It is read into a configuration without keys and operators, which are created
 * by commands. Presets and fields of presets that are absent in a file have the
 * built-in values.
 */
#ifndef FP_PROTOCOL_DECLARATIONS_H
#define FP_PROTOCOL_DECLARATIONS_H

#include "base/status.h"
#include "state/config.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Reads and checks a file.
 *
 * @param c  set on FP_OK to a configuration of revision 0; free it with
 *           fp_config_end()
 * @return FP_OK; FP_INVALID with "FILE:LINE: [section] name: expected ...";
 *         FP_NOMEM
 */
enum fp_status fp_declarations_load(const char *path, struct fp_config **c);

#ifdef __cplusplus
}
#endif
#endif
