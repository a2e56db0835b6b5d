/* gather.h - queries every node of the fleet and marks those not reached */
#ifndef FP_CMD_GATHER_H
#define FP_CMD_GATHER_H

#include <jansson.h>

#include "cmd/admin.h"

/** Called with the name of a node and its answer, which is borrowed. */
typedef void (*gather_fn)(void *ctx, const char *name, json_t *answer);

/**
 * Reads the status of the node admin_node(a).
 *
 * @param status  set to an object, whose reference the caller owns
 * @return CMD_DONE, or another code after reporting the reason
 */
enum cmd_exit gather_status(const struct cmd_options *o, struct admin *a,
			    json_t **status);

/**
 * Reads a path from each node listed in a status, one after another.
 *
 * Adds "reached", and "reason" if there was no valid answer, to each row of
 * "nodes" that has an admin port. Calls fn for each valid answer.
 */
void gather_all(struct admin *a, json_t *status, const char *path, gather_fn fn,
		void *ctx);

#endif
