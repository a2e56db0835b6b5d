/* gather.c - queries every node of the fleet and marks those not reached */
#include "cmd/gather.h"

#include <string.h>

enum cmd_exit gather_status(const struct cmd_options *o, struct admin *a,
			    json_t **status)
{
	struct admin_answer r;
	enum cmd_exit code = CMD_DONE;

	*status = NULL;
	if (admin_call(a, "/v1/status", NULL, &r))
		return cmd_fail(o, CMD_NO_NODE, "%s", fp_last_message());
	if (r.http_status == 401)
		code = cmd_fail(o, CMD_REFUSED,
				"the node answers 401: not an operator's key; "
				"see --operator-key-file");
	else if (r.http_status != 200 || !json_is_object(r.body))
		code = cmd_fail(o, CMD_REFUSED, "the node answers %ld%s",
				r.http_status,
				r.http_status == 503 ?
					": it has no configuration and cannot "
					"reach the store; use another node" :
					"");
	else
		*status = json_incref(r.body);
	json_decref(r.body);
	return code;
}

static void set_reached(json_t *node, bool reached, const char *reason)
{
	json_object_set_new(node, "reached", json_boolean(reached));
	if (!reached)
		json_object_set_new(node, "reason", json_string(reason));
}

static void query_node(struct admin *a, json_t *node, const char *path,
		       gather_fn fn, void *ctx)
{
	const char *admin = json_string_value(json_object_get(node, "admin"));
	const char *name = json_string_value(json_object_get(node, "name"));
	struct admin_answer r;

	if (!admin || !name)
		return;
	if (admin_read_at(a, admin, path, &r)) {
		set_reached(node, false, fp_last_message());
	} else if (r.http_status != 200 || !json_is_object(r.body)) {
		set_reached(node, false,
			    "unexpected answer: expected HTTP status 200 with "
			    "a JSON object");
	} else {
		set_reached(node, true, NULL);
		fn(ctx, name, r.body);
	}
	json_decref(r.body);
}

/* Adds the node admin_node(a) if its own list does not contain it. */
static void add_given_node(struct admin *a, json_t *status)
{
	json_t *self = json_object_get(status, "node");
	const char *name = json_string_value(json_object_get(self, "name"));
	json_t *nodes = json_object_get(status, "nodes");
	json_t *node;
	size_t i;

	if (!name || !json_is_array(nodes))
		return;
	json_array_foreach(nodes, i, node)
	{
		const char *other =
			json_string_value(json_object_get(node, "name"));

		if (other && strcmp(other, name) == 0)
			return;
	}
	json_array_append_new(nodes, json_pack("{s:s,s:s}", "name", name,
					       "admin", admin_node(a)));
}

void gather_all(struct admin *a, json_t *status, const char *path, gather_fn fn,
		void *ctx)
{
	json_t *nodes;
	json_t *node;
	size_t i;

	add_given_node(a, status);
	nodes = json_object_get(status, "nodes");
	json_array_foreach(nodes, i, node)
	{
		query_node(a, node, path, fn, ctx);
	}
}
