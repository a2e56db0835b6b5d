/* node.h - the node process that runs beside every backend server */
#ifndef FP_NODE_NODE_H
#define FP_NODE_NODE_H

#include "node/hosted.h"
#include "protocol/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Runs a node until SIGTERM or SIGINT; returns when the planned stop is
 * complete.
 *
 * SIGHUP reloads the settings file. A hosted node applies its [bounds] section,
 * any other node its fleet secrets.
 *
 * @param settings_path  file from which s was loaded
 * @param p  used with FP_STORE_LEASES only
 * @return exit code: 0 after a planned stop, 1 if the node could not start
 */
int fp_node_main(const struct fp_settings *s, const char *settings_path,
		 const struct fp_platform *p);

#ifdef __cplusplus
}
#endif
#endif
