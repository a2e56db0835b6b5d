/* admin.h - HTTP calls of operator commands to a node's admin port */
#ifndef FP_CMD_ADMIN_H
#define FP_CMD_ADMIN_H

#include <jansson.h>

#include "base/status.h"
#include "cmd/cmd.h"
#include "state/config.h"

struct admin;

/** Node used when neither option nor environment names one. */
#define ADMIN_NODE_DEFAULT "127.0.0.1:7403"
/** Environment: IP:PORT of a node's admin port. */
#define ADMIN_NODE_ENV "FULMARPASS_NODE"
/** Environment: the operator's key itself. */
#define ADMIN_KEY_ENV "FULMARPASS_OPERATOR_KEY"

/**
 * Prepares calls, with the node and key from options or environment.
 *
 * @param a  set with CMD_DONE; free it with admin_end()
 * @return CMD_DONE; CMD_USAGE or CMD_REFUSED after reporting the reason
 */
enum cmd_exit admin_open(const struct cmd_options *o, struct admin **a);

void admin_end(struct admin *a);

/** An answer; body is NULL if it was not JSON, and owned by the caller. */
struct admin_answer {
	long http_status;
	json_t *body;
};

/**
 * Makes one call: POST if there is a body, otherwise GET.
 *
 * @return FP_OK with an answer (of any HTTP status), FP_UNAVAILABLE if nothing
 *         was sent, FP_TIMEOUT if no whole answer arrived
 */
enum fp_status admin_call(struct admin *a, const char *path, const json_t *body,
			  struct admin_answer *r);

/** Reads a path from another node ("IP:PORT"), with shorter timeouts. */
enum fp_status admin_read_at(struct admin *a, const char *node,
			     const char *path, struct admin_answer *r);

/** Returns the node given by options, environment or default. */
const char *admin_node(const struct admin *a);

/**
 * Reads the configuration record.
 *
 * @param fresh  true: read it from the store, not from the node's memory
 * @param c      set to the record, or NULL if the store holds none
 */
enum fp_status admin_config(struct admin *a, bool fresh, struct fp_config **c);

/** Reports a failed call and returns its exit code. */
enum cmd_exit admin_fail(const struct cmd_options *o, enum fp_status st);

#endif
