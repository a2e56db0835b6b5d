/* node.h - the process that runs beside every backend server */
#ifndef FP_NODE_NODE_H
#define FP_NODE_NODE_H

#include "node/hosted.h"
#include "protocol/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Runs a node until SIGTERM or SIGINT has ended its last call.
 *
 * SIGHUP reads the settings again and takes over the fleet's secrets.
 *
 * @param settings_path  file that s came from
 * @param p  used with FP_STORE_LEASES
 * @return exit code: 0 after a planned stop, 1 when it could not start
 */
int fp_node_main(const struct fp_settings *s, const char *settings_path,
		 const struct fp_platform *p);

#ifdef __cplusplus
}
#endif
#endif
