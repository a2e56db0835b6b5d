/* cmd_change.c - commands that change keys, operators or the active preset
 *
 * Keys are generated here and printed once; only their hash is sent.
 */
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "cmd/change.h"
#include "protocol/field.h"

/** Random bytes of a key's public id. */
#define KEY_ID_BYTES 6

/** A new key of an organisation or operator. */
struct new_key {
	char text[FP_KEY_TEXT_BYTES];
	char hash[2 * FP_KEY_HASH_BYTES + 1];
};

static void make_key(const char *prefix, struct new_key *k)
{
	uint8_t hash[FP_KEY_HASH_BYTES];

	fp_key_make(prefix, k->text);
	fp_key_hash(k->text, strlen(k->text), hash);
	sodium_bin2hex(k->hash, sizeof(k->hash), hash, sizeof(hash));
}

/* Sends a change based on the current record; takes over args. */
static enum cmd_exit send_change(const struct cmd_options *o,
				 enum fp_change_kind kind, json_t *args,
				 bool commutes, uint64_t *revision)
{
	struct change_request q = { .kind = kind,
				    .args = args,
				    .commutes = commutes };
	struct change_result r;
	struct fp_config *now = NULL;
	struct admin *a = NULL;
	enum fp_status st;
	enum cmd_exit code = admin_open(o, &a);

	if (code == CMD_DONE) {
		st = admin_config(a, false, &now);
		if (st)
			code = admin_fail(o, st);
	}
	if (code == CMD_DONE) {
		q.base = now;
		change_send(a, &q, &r);
		*revision = r.revision;
		code = change_report(o, &r);
	}
	fp_config_end(now);
	admin_end(a);
	json_decref(args);
	return code;
}

static bool check_name(const struct cmd_options *o)
{
	if (fp_name_valid(o->args[0]))
		return true;
	cmd_fail(o, CMD_USAGE, "expected " FP_NAME_EXPECTED ", got \"%.60s\"",
		 o->args[0]);
	return false;
}

static enum cmd_exit print_key(const struct cmd_options *o, const char *what,
			       const char *id, const char *key,
			       uint64_t revision)
{
	if (o->json)
		cmd_print_json(json_pack("{s:s, s:s, s:I}", what, id, "key",
					 key, "revision", (json_int_t)revision),
			       CMD_DONE);
	else
		printf("%s %s\nkey %s\nThe key is not shown again.\n", what, id,
		       key);
	return CMD_DONE;
}

static enum cmd_exit print_done(const struct cmd_options *o, const char *text,
				uint64_t revision)
{
	if (o->json)
		cmd_print_json(
			json_pack("{s:I}", "revision", (json_int_t)revision),
			CMD_DONE);
	else
		printf("%s %s\n", o->args[0], text);
	return CMD_DONE;
}

enum cmd_exit cmd_key_create(const struct cmd_options *o)
{
	char id[FP_NAME_BYTES];
	struct new_key k;
	uint64_t revision;
	enum cmd_exit code;

	if (!check_name(o))
		return CMD_USAGE;
	make_key("fpk_", &k);
	fp_random_name("k-", KEY_ID_BYTES, id);
	code = send_change(o, FP_CHANGE_KEY_CREATE,
			   json_pack("{s:s, s:s, s:s}", "organisation",
				     o->args[0], "id", id, "hash", k.hash),
			   true, &revision);
	if (code == CMD_UNKNOWN && !o->json)
		fprintf(stderr,
			"fulmarpass: if key %s is listed, withdraw it\n", id);
	return code ? code : print_key(o, "id", id, k.text, revision);
}

enum cmd_exit cmd_key_withdraw(const struct cmd_options *o)
{
	uint64_t revision;
	enum cmd_exit code;

	if (!check_name(o))
		return CMD_USAGE;
	code = send_change(o, FP_CHANGE_KEY_WITHDRAW,
			   json_pack("{s:s}", "id", o->args[0]), true,
			   &revision);
	return code ? code : print_done(o, "withdrawn", revision);
}

enum cmd_exit cmd_operator_add(const struct cmd_options *o)
{
	struct new_key k;
	uint64_t revision;
	enum cmd_exit code;

	if (!check_name(o))
		return CMD_USAGE;
	make_key("fpo_", &k);
	code = send_change(
		o, FP_CHANGE_OPERATOR_ADD,
		json_pack("{s:s, s:s}", "name", o->args[0], "hash", k.hash),
		false, &revision);
	return code ? code :
		      print_key(o, "operator", o->args[0], k.text, revision);
}

enum cmd_exit cmd_operator_remove(const struct cmd_options *o)
{
	uint64_t revision;
	enum cmd_exit code;

	if (!check_name(o))
		return CMD_USAGE;
	code = send_change(o, FP_CHANGE_OPERATOR_REMOVE,
			   json_pack("{s:s}", "name", o->args[0]), false,
			   &revision);
	return code ? code : print_done(o, "removed", revision);
}

enum cmd_exit cmd_preset_use(const struct cmd_options *o)
{
	uint64_t revision;
	enum cmd_exit code;

	if (!check_name(o))
		return CMD_USAGE;
	code = send_change(o, FP_CHANGE_PRESET_USE,
			   json_pack("{s:s}", "name", o->args[0]), false,
			   &revision);
	return code ? code : print_done(o, "is in force", revision);
}
