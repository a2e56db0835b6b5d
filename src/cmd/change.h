/* change.h - sends one change of an operator and determines its outcome */
#ifndef FP_CMD_CHANGE_H
#define FP_CMD_CHANGE_H

#include "cmd/admin.h"
#include "coordination/config_edit.h"

/** A change to send. */
struct change_request {
	enum fp_change_kind kind;
	json_t *args; /**< "args" of POST /v1/change; borrowed */
	const struct fp_config *base; /**< base record, or NULL */
	bool commutes; /**< may be sent again with a new base revision */
};

/** The outcome of a change. */
struct change_result {
	enum cmd_exit code;
	uint64_t revision; /**< with CMD_DONE */
	char *difference; /**< with CMD_CONFLICT; may be NULL; owned */
	char reason[FP_MESSAGE_BYTES]; /**< set unless CMD_DONE */
};

/** Sends the change until its outcome is known, a limited number of times. */
void change_send(struct admin *a, const struct change_request *q,
		 struct change_result *r);

/** Reports any outcome except CMD_DONE, frees the difference and returns the
 *  exit code. */
enum cmd_exit change_report(const struct cmd_options *o,
			    struct change_result *r);

#endif
