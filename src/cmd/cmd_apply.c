/* cmd_apply.c - plan and apply: compares declarations with the record */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/change.h"
#include "coordination/config_diff.h"
#include "protocol/config_codec.h"
#include "protocol/declarations.h"

/** A file of declarations and the record in force. */
struct plan {
	struct admin *admin;
	struct fp_config *declared;
	struct fp_config *now; /* NULL if the store holds no record */
	char *difference;
};

static void plan_end(struct plan *p)
{
	free(p->difference);
	fp_config_end(p->now);
	fp_config_end(p->declared);
	admin_end(p->admin);
}

/* Applies the change locally, as a node would, to get the difference. */
static enum cmd_exit compute_difference(const struct cmd_options *o,
					struct plan *p)
{
	struct fp_change ch = { .kind = FP_CHANGE_APPLY,
				.force = o->force,
				.base_revision = p->now ? p->now->revision : 0,
				.change_id = "plan",
				.declarations = p->declared };
	struct fp_config *next;

	if (fp_config_edit(p->now, &ch, &next))
		return cmd_fail(o, CMD_REFUSED, "%s", fp_last_message());
	p->difference = fp_config_diff(p->now, next);
	fp_config_end(next);
	if (!p->difference)
		return cmd_fail(o, CMD_REFUSED, "out of memory");
	return CMD_DONE;
}

static enum cmd_exit plan_init(const struct cmd_options *o, struct plan *p)
{
	enum cmd_exit code;
	enum fp_status st;

	memset(p, 0, sizeof(*p));
	if (fp_declarations_load(o->args[0], &p->declared))
		return cmd_fail(o, CMD_USAGE, "%s", fp_last_message());
	code = admin_open(o, &p->admin);
	if (code)
		return code;
	st = admin_config(p->admin, true, &p->now);
	return st ? admin_fail(o, st) : compute_difference(o, p);
}

static void print_plan(const struct cmd_options *o, const struct plan *p,
		       uint64_t revision)
{
	const char *none = p->difference[0] ? "" : "no change\n";

	if (o->json)
		cmd_print_json(json_pack("{s:s, s:I}", "difference",
					 p->difference, "revision",
					 (json_int_t)revision),
			       CMD_DONE);
	else
		printf("%s%srevision %llu\n", p->difference, none,
		       (unsigned long long)revision);
}

enum cmd_exit cmd_plan(const struct cmd_options *o)
{
	struct plan p;
	enum cmd_exit code = plan_init(o, &p);

	if (code == CMD_DONE)
		print_plan(o, &p, p.now ? p.now->revision : 0);
	plan_end(&p);
	return code;
}

static enum cmd_exit send_plan(const struct cmd_options *o, struct plan *p)
{
	json_t *declarations = fp_declarations_to_json(p->declared);
	json_t *args = json_pack("{s:o, s:b}", "declarations", declarations,
				 "force", o->force);
	struct change_request q = { .kind = FP_CHANGE_APPLY,
				    .args = args,
				    .base = p->now };
	struct change_result r;
	enum cmd_exit code;

	if (!args)
		return cmd_fail(o, CMD_REFUSED, "out of memory");
	change_send(p->admin, &q, &r);
	json_decref(args);
	code = change_report(o, &r);
	if (code == CMD_DONE)
		print_plan(o, p, r.revision);
	return code;
}

enum cmd_exit cmd_apply(const struct cmd_options *o)
{
	struct plan p;
	enum cmd_exit code = plan_init(o, &p);

	if (code == CMD_DONE && !p.difference[0] && p.now)
		print_plan(o, &p, p.now->revision);
	else if (code == CMD_DONE)
		code = send_plan(o, &p);
	plan_end(&p);
	return code;
}
