/* cmd.h - declarations shared by the commands of the command line */
#ifndef FP_CMD_CMD_H
#define FP_CMD_CMD_H

#include <jansson.h>
#include <stdbool.h>

#define FP_VERSION "0.1.0"

/** Exit codes; their texts are in main.c. */
enum cmd_exit {
	CMD_DONE = 0,
	CMD_REFUSED = 1, /**< not done, or refused by the fleet */
	CMD_USAGE = 2, /**< wrong usage, or an invalid file */
	CMD_NO_NODE = 3, /**< node not reachable; no change was sent */
	CMD_UNKNOWN = 4, /**< outcome unknown after retries */
	CMD_CONFLICT = 5, /**< another operator's change was applied first */
	CMD_EXIT_COUNT
};

/** Options and arguments of a command. */
struct cmd_options {
	bool json;
	bool force;
	const char *node; /**< "IP:PORT" of an admin port */
	const char *key_file; /**< file with the operator's key, or NULL */
	const char *kind; /**< of the file to check, or NULL */
	const char *settings; /**< settings file of the node, or NULL */
	const char *html; /**< HTML file to write, or NULL */
	const char *host; /**< Host of the request, or NULL */
	const char *org; /**< organisation of the request, or NULL */
	const char *cls; /**< class of the request, or NULL */
	const char *draw; /**< number that decides between workers, or NULL */
	char **args; /**< arguments after the command's words */
	int n_args;
};

/** Runs a command, prints its result and returns the exit code. */
typedef enum cmd_exit (*cmd_fn)(const struct cmd_options *o);

enum cmd_exit cmd_node(const struct cmd_options *o);
enum cmd_exit cmd_check(const struct cmd_options *o);
enum cmd_exit cmd_plan(const struct cmd_options *o);
enum cmd_exit cmd_apply(const struct cmd_options *o);
enum cmd_exit cmd_org_list(const struct cmd_options *o);
enum cmd_exit cmd_key_list(const struct cmd_options *o);
enum cmd_exit cmd_key_create(const struct cmd_options *o);
enum cmd_exit cmd_key_withdraw(const struct cmd_options *o);
enum cmd_exit cmd_operator_list(const struct cmd_options *o);
enum cmd_exit cmd_operator_add(const struct cmd_options *o);
enum cmd_exit cmd_operator_remove(const struct cmd_options *o);
enum cmd_exit cmd_preset_list(const struct cmd_options *o);
enum cmd_exit cmd_preset_use(const struct cmd_options *o);
enum cmd_exit cmd_status(const struct cmd_options *o);
enum cmd_exit cmd_report(const struct cmd_options *o);
enum cmd_exit cmd_explain(const struct cmd_options *o);
enum cmd_exit cmd_where(const struct cmd_options *o);
enum cmd_exit cmd_version(const struct cmd_options *o);

/**
 * Reports a failure: the reason on standard error, or with --json an object
 * {"done": false, "exit": CODE, "reason": TEXT} on standard output.
 */
enum cmd_exit cmd_fail(const struct cmd_options *o, enum cmd_exit code,
		       const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/**
 * Prints a JSON object on standard output, with "done" and "exit" added. Takes
 * over the reference to j.
 */
void cmd_print_json(json_t *j, enum cmd_exit code);

/** Prints a list of objects as a table, with a column for each member. */
void cmd_print_table(const json_t *rows);

#endif
