/* cmd_node.c - node: runs the node beside a backend server */
#include "base/status.h"
#include "cmd/cmd.h"
#include "node/node.h"
#include "platform/platform.h"

enum cmd_exit cmd_node(const struct cmd_options *o)
{
	static const struct fp_platform platform = {
		.dialect = &platform_dialect,
		.registry_init = platform_registry_init,
	};
	struct fp_settings s;

	if (!o->settings)
		return cmd_fail(o, CMD_USAGE,
				"node: expected --settings FILE, see --help");
	if (fp_settings_load(o->settings, &s))
		return cmd_fail(o, CMD_USAGE, "%s", fp_last_message());
	/* returns when the node is stopped */
	return fp_node_main(&s, o->settings, &platform) ? CMD_REFUSED :
							  CMD_DONE;
}
