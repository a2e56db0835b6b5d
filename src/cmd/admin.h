/* admin.h - HTTP calls of operator commands to a node's admin port */
#ifndef FP_CMD_ADMIN_H
#define FP_CMD_ADMIN_H

#include <jansson.h>

#include "base/status.h"
#include "cmd/cmd.h"
#include "state/config.h"

/** The node and the operator key that calls use. */
struct admin;

/** Node used if neither the option nor the environment sets one. */
#define ADMIN_NODE_DEFAULT "127.0.0.1:7403"
/** Environment: IP:PORT of a node's admin port. */
#define ADMIN_NODE_ENV "FULMARPASS_NODE"
/** Environment: the operator's key itself. */
#define ADMIN_KEY_ENV "FULMARPASS_OPERATOR_KEY"

/**
 * Prepares calls, with the node and key from options or environment.
 *
 * @param a  set if CMD_DONE is returned; free it with admin_end()
 * @return CMD_DONE; CMD_USAGE or CMD_REFUSED after reporting the reason
 */
enum cmd_exit admin_open(const struct cmd_options *o, struct admin **a);

/** The same for calls that some nodes answer without a key: without one none
 *  is sent. */
enum cmd_exit admin_open_keyless(const struct cmd_options *o, struct admin **a);

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
 *         was sent, FP_TIMEOUT if no complete answer arrived
 */
enum fp_status admin_call(struct admin *a, const char *path, const json_t *body,
			  struct admin_answer *r);

/** Reads a path from another node ("IP:PORT"), with shorter timeouts; result as
 *  of admin_call(). */
enum fp_status admin_read_at(struct admin *a, const char *node,
			     const char *path, struct admin_answer *r);

/** Returns the node given by options, environment or default. */
const char *admin_node(const struct admin *a);

/**
 * Reads the configuration record.
 *
 * @param fresh  true: read it from the store, not from the node's memory
 * @param c      set to the record, which the caller frees, or to NULL if the
 *               store holds none
 * @return FP_OK; FP_UNAVAILABLE, FP_TIMEOUT, FP_DENIED, FP_AGAIN or FP_INVALID
 *         with a last message
 */
enum fp_status admin_config(struct admin *a, bool fresh, struct fp_config **c);

/** Reports the last message of a failed call and returns the exit code for
 *  st. */
enum cmd_exit admin_fail(const struct cmd_options *o, enum fp_status st);

#endif
