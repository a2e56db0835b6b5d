/* operator_api.c - checks operators' requests and applies their changes */
#include "coordination/operator_api.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "coordination/config_edit.h"
#include "protocol/config_codec.h"
#include "protocol/field.h"

#define BEARER "Bearer "

enum fp_status fp_operator_check(const struct fp_config *now,
				 const uint8_t *bootstrap,
				 const char *authorization, const char **name)
{
	const struct fp_operator *found;
	uint8_t hash[FP_KEY_HASH_BYTES];
	const char *key;

	if (!authorization ||
	    strncasecmp(authorization, BEARER, strlen(BEARER)) != 0)
		return fp_fail(FP_DENIED, "operator key missing");
	key = authorization + strlen(BEARER);
	fp_key_hash(key, strlen(key), hash);
	if (now && now->n_operators > 0) {
		found = fp_config_find_operator(now, hash);
		if (!found)
			return fp_fail(FP_DENIED, "operator key unknown");
		*name = found->name;
		return FP_OK;
	}
	if (!bootstrap || sodium_memcmp(bootstrap, hash, sizeof(hash)) != 0)
		return fp_fail(FP_DENIED, "operator key unknown");
	*name = "bootstrap";
	return FP_OK;
}

/* Copies a required member that must be a valid name. */
static enum fp_status get_name(const json_t *j, const char *member, char *to)
{
	const char *text = json_string_value(json_object_get(j, member));

	if (!text || !fp_name_valid(text))
		return fp_fail(FP_INVALID, "%s: expected %s", member,
			       FP_NAME_EXPECTED);
	snprintf(to, FP_NAME_BYTES, "%s", text);
	return FP_OK;
}

static enum fp_status get_hash(const json_t *args, uint8_t *to)
{
	const char *text = json_string_value(json_object_get(args, "hash"));
	size_t len;

	if (!text || !fp_hash_text_valid(text) ||
	    sodium_hex2bin(to, FP_KEY_HASH_BYTES, text, strlen(text), NULL,
			   &len, NULL) != 0)
		return fp_fail(FP_INVALID, "hash: expected %s",
			       FP_HASH_EXPECTED);
	return FP_OK;
}

static enum fp_status get_kind(const json_t *body, enum fp_change_kind *kind)
{
	const char *text = json_string_value(json_object_get(body, "command"));
	int i;

	for (i = 0; text && i < FP_CHANGE_KIND_COUNT; i++)
		if (strcmp(fp_change_kind_name((enum fp_change_kind)i), text) ==
		    0) {
			*kind = (enum fp_change_kind)i;
			return FP_OK;
		}
	return fp_fail(FP_INVALID, "command: unknown or missing");
}

/* Reads a command's arguments. For apply, *declarations is set to a new
 * configuration, which the caller frees. */
static enum fp_status get_args(const json_t *args, struct fp_change *ch,
			       struct fp_config **declarations)
{
	enum fp_status st;

	switch (ch->kind) {
	case FP_CHANGE_APPLY:
		ch->force = json_is_true(json_object_get(args, "force"));
		st = fp_declarations_from_json(
			json_object_get(args, "declarations"), declarations);
		ch->declarations = *declarations;
		return st;
	case FP_CHANGE_KEY_CREATE:
		st = get_name(args, "organisation", ch->name);
		if (!st)
			st = get_name(args, "id", ch->key_id);
		return st ? st : get_hash(args, ch->hash);
	case FP_CHANGE_KEY_WITHDRAW:
		return get_name(args, "id", ch->key_id);
	case FP_CHANGE_OPERATOR_ADD:
		st = get_name(args, "name", ch->name);
		return st ? st : get_hash(args, ch->hash);
	default:
		return get_name(args, "name", ch->name);
	}
}

static enum fp_status get_change(const json_t *body, struct fp_change *ch,
				 struct fp_config **declarations)
{
	const json_t *base = json_object_get(body, "base_revision");
	const json_t *args = json_object_get(body, "args");
	enum fp_status st;

	memset(ch, 0, sizeof(*ch));
	st = get_name(body, "change_id", ch->change_id);
	if (st)
		return st;
	if (!json_is_integer(base) || json_integer_value(base) < 0)
		return fp_fail(FP_INVALID, "base_revision: expected an integer "
					   "of at least 0");
	if (!json_is_object(args))
		return fp_fail(FP_INVALID, "args: expected an object");
	ch->base_revision = (uint64_t)json_integer_value(base);
	st = get_kind(body, &ch->kind);
	return st ? st : get_args(args, ch, declarations);
}

static char *dump(json_t *j)
{
	char *text = j ? json_dumps(j, JSON_COMPACT) : NULL;

	json_decref(j);
	return text;
}

static char *accepted(uint64_t revision, bool already_made)
{
	return dump(json_pack("{s:b, s:I, s:b}", "accepted", 1, "revision",
			      (json_int_t)revision, "before", already_made));
}

char *fp_operator_conflict(uint64_t revision)
{
	return dump(json_pack("{s:b, s:b, s:I}", "accepted", 0, "conflict", 1,
			      "revision", (json_int_t)revision));
}

static char *refused(enum fp_status st, const struct fp_config *now)
{
	if (st == FP_CONFLICT)
		return fp_operator_conflict(now ? now->revision : 0);
	return dump(json_pack("{s:b, s:s}", "accepted", 0, "reason",
			      fp_last_message()));
}

/* Refuses a record that is too long for the store before it is written. */
static enum fp_status check_length(const struct fp_config *c)
{
	char *text;
	enum fp_status st = fp_config_encode(c, &text);

	free(text);
	return st;
}

static enum fp_status make_record(const struct fp_config *now,
				  const struct fp_change *ch,
				  struct fp_config **next)
{
	enum fp_status st = fp_config_edit(now, ch, next);

	if (st)
		return st;
	st = check_length(*next);
	if (st) {
		fp_config_end(*next);
		*next = NULL;
	}
	return st;
}

enum fp_status fp_operator_change(const struct fp_config *now,
				  const char *body_json,
				  struct fp_config **next, char **answer_json)
{
	json_t *body = json_loads(body_json, JSON_REJECT_DUPLICATES, NULL);
	struct fp_config *declarations = NULL;
	struct fp_change ch;
	enum fp_status st;
	bool already_made;

	*next = NULL;
	st = get_change(body, &ch, &declarations);
	already_made = !st && now && fp_config_has_change(now, ch.change_id);
	if (!st && !already_made)
		st = make_record(now, &ch, next);
	if (st)
		*answer_json = refused(st, now);
	else
		*answer_json = accepted(already_made ? now->revision :
						       (*next)->revision,
					already_made);
	fp_config_end(declarations);
	json_decref(body);
	return st;
}

int fp_operator_http_status(enum fp_status st)
{
	switch (st) {
	case FP_OK:
		return 200;
	case FP_DENIED:
		return 403;
	case FP_NOT_FOUND:
		return 404;
	case FP_CONFLICT:
		return 409;
	case FP_INVALID:
		return 400;
	case FP_FULL:
		return 507;
	default:
		return 503;
	}
}
