/*
 * cmd_status.c - status: the fleet as reported by its nodes
 *
 * The node given by the operator returns the list of all nodes. Each of them is
 * then queried for its admission load and the configuration revision that it
 * applies.
 */
#include <stdio.h>
#include <string.h>

#include "cmd/gather.h"

/** Collects the answers of the nodes. */
struct fleet_status {
	json_t *status;
	json_t *admission;
	json_int_t newest_revision;
	json_int_t n_queried; /* including nodes that did not answer */
	json_int_t n_at_newest; /* nodes that apply newest_revision */
};

static void set_node_revision(struct fleet_status *s, const char *name,
			      json_int_t revision)
{
	json_t *node;
	size_t i;

	json_array_foreach(json_object_get(s->status, "nodes"), i, node)
	{
		json_t *other = json_object_get(node, "name");

		if (json_string_length(other) &&
		    strcmp(json_string_value(other), name) == 0)
			json_object_set_new(node, "revision",
					    json_integer(revision));
	}
}

static void add_node_answer(void *ctx, const char *name, json_t *answer)
{
	struct fleet_status *s = ctx;
	json_t *admission = json_object_get(answer, "admission");
	json_t *row = json_pack("{s:s}", "name", name);
	json_int_t revision = json_integer_value(
		json_object_get(json_object_get(answer, "config"), "revision"));

	if (json_is_object(admission))
		json_object_update(row, admission);
	json_array_append_new(s->admission, row);
	set_node_revision(s, name, revision);
	if (revision > s->newest_revision) {
		s->newest_revision = revision;
		s->n_at_newest = 0;
	}
	if (revision == s->newest_revision)
		s->n_at_newest++;
}

/* Counts the nodes that were queried, whether they answered or not. */
static json_int_t count_queried(const json_t *status)
{
	json_int_t n = 0;
	json_t *node;
	size_t i;

	json_array_foreach(json_object_get(status, "nodes"), i, node)
	{
		if (json_object_get(node, "reached"))
			n++;
	}
	return n;
}

static void query_nodes(struct admin *a, json_t *status)
{
	struct fleet_status s = { .status = status, .admission = json_array() };
	json_t *config = json_object_get(status, "config");

	gather_all(a, status, "/v1/status", add_node_answer, &s);
	s.n_queried = count_queried(status);
	if (s.n_queried && json_is_object(config)) {
		json_object_set_new(config, "newest_revision",
				    json_integer(s.newest_revision));
		json_object_set_new(config, "nodes_at_newest",
				    json_integer(s.n_at_newest));
		json_object_set_new(config, "nodes", json_integer(s.n_queried));
	}
	if (json_array_size(s.admission))
		json_object_set(status, "admission", s.admission);
	json_decref(s.admission);
}

/* Prints each list of objects as a table and each object as one row. */
static void print_status(const json_t *status)
{
	const char *name;
	json_t *v;

	json_object_foreach((json_t *)status, name, v)
	{
		json_t *rows =
			json_is_array(v) ? json_incref(v) : json_pack("[O]", v);

		printf("%s\n", name);
		if (json_is_object(json_array_get(rows, 0)) ||
		    json_array_size(rows) == 0)
			cmd_print_table(rows);
		else
			json_dumpf(v, stdout, JSON_ENCODE_ANY);
		printf("\n");
		json_decref(rows);
	}
}

enum cmd_exit cmd_status(const struct cmd_options *o)
{
	json_t *status = NULL;
	struct admin *a;
	enum cmd_exit code = admin_open(o, &a);

	if (code)
		return code;
	code = gather_status(o, a, &status);
	if (code == CMD_DONE) {
		query_nodes(a, status);
		if (o->json)
			cmd_print_json(json_incref(status), CMD_DONE);
		else
			print_status(status);
	}
	json_decref(status);
	admin_end(a);
	return code;
}
