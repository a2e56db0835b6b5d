/*
 * cmd_explain.c - explain: log lines of one request from several nodes
 *
 * Prints the lines of the request, of its outer requests and of its nested
 * requests, sorted by time. The id of a nested request is the id of its outer
 * request followed by a dot and more characters.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "cmd/cmd.h"

#define TIME_CHARS 27 /* 2026-01-27T02:25:39.555803Z */

/* One line of a log. */
struct line {
	char *text; /* starting at "time=" */
	const char *file;
	size_t order; /* of reading; orders lines with equal times */
};

/* Lines that matched a request. */
struct request_log {
	struct line *lines;
	size_t n;
	size_t n_read; /* number of lines read from all files */
};

/* Whether id equals outer or begins with outer and a dot. */
static bool is_same_or_nested(const char *id, size_t id_chars,
			      const char *outer, size_t outer_chars)
{
	return id_chars >= outer_chars && memcmp(id, outer, outer_chars) == 0 &&
	       (id_chars == outer_chars || id[outer_chars] == '.');
}

static bool matches_request(const char *text, const char *id)
{
	const char *at = strstr(text, " id=");
	size_t n = strlen(id);
	size_t chars;

	if (!at)
		return false;
	at += strlen(" id=");
	chars = strcspn(at, " \n");
	return is_same_or_nested(at, chars, id, n) ||
	       is_same_or_nested(id, n, at, chars);
}

static void add_line(struct request_log *s, const char *text, const char *file)
{
	struct line *l;

	s->lines = reallocarray(s->lines, s->n + 1, sizeof(*s->lines));
	if (!s->lines)
		abort();
	l = &s->lines[s->n++];
	l->text = strndup(text, strcspn(text, "\n"));
	l->file = file;
	l->order = s->n;
	if (!l->text)
		abort();
}

static bool read_log(struct request_log *s, const char *path, const char *id)
{
	FILE *in = fopen(path, "r");
	char *text = NULL;
	size_t size = 0;
	const char *at;

	if (!in)
		return false;
	while (getline(&text, &size, in) > 0) {
		at = strstr(text, "time=");
		s->n_read++;
		if (at && matches_request(at, id))
			add_line(s, at, path);
	}
	free(text);
	fclose(in);
	return true;
}

static int compare(const void *a, const void *b)
{
	const struct line *x = a;
	const struct line *y = b;
	int order = strncmp(x->text, y->text, strlen("time=") + TIME_CHARS);

	if (order)
		return order;
	return x->order < y->order ? -1 : 1;
}

static void print_lines(const struct cmd_options *o,
			const struct request_log *s)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < s->n; i++) {
		if (o->json)
			json_array_append_new(
				list,
				json_pack("{s:s,s:s}", "log", s->lines[i].file,
					  "line", s->lines[i].text));
		else
			printf("%s: %s\n", s->lines[i].file, s->lines[i].text);
	}
	if (o->json)
		cmd_print_json(json_pack("{s:O}", "lines", list), CMD_DONE);
	json_decref(list);
}

enum cmd_exit cmd_explain(const struct cmd_options *o)
{
	char word[FP_LOG_VALUE_BYTES];
	/* Log lines hold ids in this form. */
	const char *id = fp_log_sanitize(o->args[0], word);
	struct request_log s = { 0 };
	enum cmd_exit rc = CMD_DONE;
	size_t i;
	int f;

	for (f = 1; f < o->n_args && rc == CMD_DONE; f++)
		if (!read_log(&s, o->args[f], id))
			rc = cmd_fail(o, CMD_USAGE, "%s: cannot be read",
				      o->args[f]);
	if (rc == CMD_DONE && !s.n)
		rc = cmd_fail(
			o, CMD_REFUSED,
			"no line of request %s among %zu lines: it succeeded "
			"in time, or its lines were dropped "
			"(event=log_lines_dropped)",
			o->args[0], s.n_read);
	if (rc == CMD_DONE && s.lines) {
		qsort(s.lines, s.n, sizeof(*s.lines), compare);
		print_lines(o, &s);
	}
	for (i = 0; i < s.n; i++)
		free(s.lines[i].text);
	free(s.lines);
	return rc;
}
