/* dialect.c - the product's own header names and announcement format */
#include "protocol/dialect.h"

#include <jansson.h>
#include <string.h>

#include "base/text.h"

static enum fp_status read_fields(json_t *j, struct fp_announcement *out)
{
	const char *instance =
		json_string_value(json_object_get(j, "instance"));
	const char *state = json_string_value(json_object_get(j, "state"));
	json_int_t port = json_integer_value(json_object_get(j, "port"));
	json_int_t slots = json_integer_value(json_object_get(j, "slots"));

	if (!instance ||
	    !fp_text_copy(out->instance, sizeof(out->instance), instance))
		return fp_fail(FP_INVALID, "announcement: instance is missing "
					   "or too long");
	if (!state ||
	    (strcmp(state, "serving") != 0 && strcmp(state, "leaving") != 0))
		return fp_fail(FP_INVALID, "announcement: state is neither "
					   "serving nor leaving");
	if (port <= 0 || port > UINT16_MAX || slots <= 0 ||
	    slots > FP_MAX_SLOTS)
		return fp_fail(FP_INVALID, "announcement: port or slots is "
					   "missing or out of range");
	out->port = (uint16_t)port;
	out->slots = (uint32_t)slots;
	out->serving = strcmp(state, "serving") == 0;
	return FP_OK;
}

static enum fp_status read_announcement(const char *method, const char *uri,
					const uint8_t *body, size_t bytes,
					struct fp_announcement *out)
{
	enum fp_status st;
	json_t *j;

	memset(out, 0, sizeof(*out));
	if (strcmp(method, "POST") != 0 || strcmp(uri, "/fulmar/announce") != 0)
		return FP_NOT_FOUND;
	out->slow_start_us = -1;
	j = json_loadb((const char *)body, bytes, 0, NULL);
	st = read_fields(j, out);
	json_decref(j);
	return st;
}

const struct fp_dialect fp_dialect_own = {
	.deadline_ms = "Fulmar-Deadline-Ms",
	.call = "Fulmar-Call",
	.root = "Fulmar-Request",
	.org = "Fulmar-Org",
	.cls = "Fulmar-Class",
	.not_run = "Fulmar-Not-Run",
	.cancel_path = "/fulmar/cancel",
	.announcement = read_announcement,
};
