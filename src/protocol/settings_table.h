/* settings_table.h - field table of a node's settings
 *
 * The settings file is read through this table. docs/CONFIG.md is written from
 * it, and a test compares the two.
 */
#ifndef FP_PROTOCOL_SETTINGS_TABLE_H
#define FP_PROTOCOL_SETTINGS_TABLE_H

#include "protocol/field.h"

#ifdef __cplusplus
extern "C" {
#endif

/** All settings, in the order of their sections. */
extern const struct fp_field fp_settings_table[];
/** Number of entries of fp_settings_table. */
extern const uint32_t fp_settings_table_len;

#ifdef __cplusplus
}
#endif
#endif
