/* cmd_where.c - where: which worker a request would go to now, and why */
#include <ctype.h>
#include <errno.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/admin.h"
#include "state/types.h"

#define PATH "/v1/where"

static bool is_printable(const char *text)
{
	for (; *text; text++)
		if (!isgraph((unsigned char)*text))
			return false;
	return true;
}

static bool is_method(const char *text)
{
	const char *at = text;

	while (isalpha((unsigned char)*at) || *at == '-')
		at++;
	return at > text && !*at;
}

/* Reads --draw; the default if it is not given. */
static bool read_draw(const char *text, json_int_t *draw)
{
	char *end;

	*draw = 1;
	if (!text)
		return true;
	errno = 0;
	*draw = strtoll(text, &end, 10);
	return isdigit((unsigned char)text[0]) && !*end && !errno;
}

/* Makes the question, or reports what is wrong with the arguments. */
static enum cmd_exit read_request(const struct cmd_options *o, json_t **out)
{
	const char *method = o->args[0];
	const char *path = o->args[1];
	json_int_t draw;

	if (!is_method(method))
		return cmd_fail(o, CMD_USAGE,
				"method: expected letters, got \"%.60s\"",
				method);
	if (path[0] != '/' || !is_printable(path))
		return cmd_fail(o, CMD_USAGE,
				"path: expected / and no spaces, got "
				"\"%.60s\"",
				path);
	if (o->host && (!o->host[0] || !is_printable(o->host)))
		return cmd_fail(o, CMD_USAGE,
				"host: expected a name, got \"%.60s\"",
				o->host);
	if (o->org && (!o->org[0] || !is_printable(o->org)))
		return cmd_fail(o, CMD_USAGE,
				"org: expected a name, got \"%.60s\"", o->org);
	if (o->cls && fp_class_parse(o->cls) < 0)
		return cmd_fail(o, CMD_USAGE,
				"class: expected important, normal or "
				"sheddable, got \"%.60s\"",
				o->cls);
	if (!read_draw(o->draw, &draw))
		return cmd_fail(o, CMD_USAGE,
				"draw: expected a number, got \"%.60s\"",
				o->draw);
	*out = json_pack("{s:s,s:s,s:s*,s:s*,s:s*,s:I}", "method", method,
			 "path", path, "host", o->host, "organisation", o->org,
			 "class", o->cls, "draw", draw);
	if (!*out)
		return cmd_fail(o, CMD_USAGE, "the arguments are not UTF-8");
	return CMD_DONE;
}

/* --- output --- */

static const char *text_of(const json_t *j, const char *name)
{
	const char *text = json_string_value(json_object_get(j, name));

	return text ? text : "-";
}

static long long number_of(const json_t *j, const char *name)
{
	return json_integer_value(json_object_get(j, name));
}

static double real_of(const json_t *j, const char *name)
{
	return json_number_value(json_object_get(j, name));
}

static bool is_set(const json_t *j, const char *name)
{
	return json_is_true(json_object_get(j, name));
}

static void print_decision(const json_t *j)
{
	const json_t *refusal = json_object_get(j, "refusal");
	const json_t *node = json_object_get(j, "node");

	printf("%s %s at %s (%s)\n", text_of(j, "method"), text_of(j, "path"),
	       text_of(node, "name"), text_of(node, "state"));
	if (json_is_object(refusal)) {
		printf("refused: %s, status %lld, outcome %s",
		       text_of(refusal, "reason"), number_of(refusal, "status"),
		       text_of(refusal, "outcome"));
		if (json_is_integer(json_object_get(refusal, "retry_after_ms")))
			printf(", Retry-After %.3f s",
			       (double)number_of(refusal, "retry_after_ms") /
				       1000);
	} else {
		printf("sent to: %s", text_of(j, "choice"));
		if (json_is_string(json_object_get(j, "runner_up")))
			printf(", then %s", text_of(j, "runner_up"));
	}
	putchar('\n');
	if (json_is_string(json_object_get(j, "why")))
		printf("why: %s\n", text_of(j, "why"));
	if (real_of(j, "probability") < 1)
		printf("with probability %.3f, by early refusal\n",
		       real_of(j, "probability"));
	if (is_set(j, "owner_decides"))
		puts("the owner of the organisation's bucket decides: no token "
		     "is held here");
}

static void print_way(const json_t *j)
{
	const json_t *admitted = json_object_get(j, "admitted");
	const json_t *route = json_object_get(j, "route");
	const json_t *rate = json_object_get(j, "rate");
	const char *overloaded =
		json_string_value(json_object_get(admitted, "overloaded"));

	if (!route)
		return;
	printf("route: %s, service %s, class %s, deadline %lld ms, "
	       "configuration %lld\n",
	       text_of(route, "name"), text_of(j, "service"),
	       text_of(j, "class"), number_of(route, "deadline_ms"),
	       number_of(json_object_get(j, "node"), "config"));
	if (is_set(route, "claim"))
		puts("claim: taken first by its Idempotency-Key; an earlier "
		     "arrival of it decides");
	if (admitted)
		printf("admitted: %.3f by the preset, %.3f by load%s%s\n",
		       real_of(admitted, "by_preset"),
		       real_of(admitted, "by_load"), overloaded ? " of " : "",
		       overloaded ? overloaded : "");
	if (rate)
		printf("rate: %lld tokens here, %lld requests wait%s\n",
		       number_of(rate, "held"), number_of(rate, "waiting"),
		       is_set(rate, "own_share") ? ", own share in use" : "");
}

/* Prints some of the figures of each candidate, as tables that fit a line. */
static void print_columns(const json_t *candidates, const char *const *names)
{
	json_t *rows = json_array();
	json_t *row;
	json_t *c;
	size_t i;
	size_t k;

	json_array_foreach(candidates, i, c)
	{
		row = json_object();
		for (k = 0; names[k]; k++)
			json_object_set(row, names[k],
					json_object_get(c, names[k]));
		json_array_append_new(rows, row);
	}
	putchar('\n');
	cmd_print_table(rows);
	json_decref(rows);
}

static void print_where(const json_t *j)
{
	static const char *const choice[] = { "name",	"domain", "state",
					      "share",	"load",	  "slowdown",
					      "end",	"fill",	  "warm",
					      "failed", NULL };
	static const char *const figures[] = {
		"name",	      "slots",	   "limit",	  "running",
		"queued",     "own_calls", "load_age_ms", "slowdown_age_ms",
		"ejected_ms", "cold_ms",   NULL
	};
	const json_t *candidates = json_object_get(j, "candidates");

	print_decision(j);
	print_way(j);
	if (!candidates)
		return;
	printf("choice by draw %lld, shares of %lld draws\n",
	       number_of(j, "draw"), number_of(j, "draws"));
	if (is_set(j, "ejections_ignored"))
		puts("no worker fails clearly less than others: ejections are "
		     "ignored");
	print_columns(candidates, choice);
	print_columns(candidates, figures);
}

static enum cmd_exit answer_failed(const struct cmd_options *o,
				   const struct admin_answer *r)
{
	if (r->http_status == 400)
		return cmd_fail(o, CMD_USAGE, "%s", text_of(r->body, "reason"));
	if (r->http_status == 401)
		return cmd_fail(o, CMD_REFUSED,
				"the node answers 401: not an operator's key; "
				"see --operator-key-file");
	return cmd_fail(o, CMD_REFUSED, "the node answers %ld%s",
			r->http_status,
			r->http_status == 503 ?
				": it has no configuration and cannot reach "
				"the store; use another node" :
				"");
}

enum cmd_exit cmd_where(const struct cmd_options *o)
{
	struct admin_answer r = { 0 };
	json_t *question = NULL;
	struct admin *a = NULL;
	enum cmd_exit code = read_request(o, &question);

	if (code == CMD_DONE)
		code = admin_open_keyless(o, &a);
	if (code != CMD_DONE) {
		json_decref(question);
		return code;
	}
	if (admin_call(a, PATH, question, &r))
		code = cmd_fail(o, CMD_NO_NODE, "%s", fp_last_message());
	else if (r.http_status != 200 || !json_is_object(r.body))
		code = answer_failed(o, &r);
	else if (o->json)
		cmd_print_json(json_incref(r.body), CMD_DONE);
	else
		print_where(r.body);
	json_decref(r.body);
	json_decref(question);
	admin_end(a);
	return code;
}
