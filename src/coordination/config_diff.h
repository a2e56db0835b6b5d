/* config_diff.h - differences between two configurations as lines of text */
#ifndef FP_COORDINATION_CONFIG_DIFF_H
#define FP_COORDINATION_CONFIG_DIFF_H

#include "state/config.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Formats the differences between two configurations.
 *
 * Lines start with "+" (added), "-" (removed) or "~" (changed): "+ organisation
 * big rate_per_s 10 burst 20", "~ route orders deadline_ms 2000 -> 4000".
 *
 * @param from  NULL: the initial configuration
 * @return malloc'd text, "" when there is no difference; NULL when out of
 *         memory
 */
char *fp_config_diff(const struct fp_config *from, const struct fp_config *to);

#ifdef __cplusplus
}
#endif
#endif
