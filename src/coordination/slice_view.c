/* slice_view.c - the view record of a slice: key, JSON text, node scores */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "coordination/slice.h"

#define ID_BYTES 17 /* 64-bit id in hexadecimal, with NUL */

void fp_slice_key(uint32_t index, char key[FP_SLICE_KEY_BYTES])
{
	snprintf(key, FP_SLICE_KEY_BYTES, "fulmarpass/slice/%02" PRIu32, index);
}

uint64_t fp_slice_score(uint32_t index, const char *address)
{
	return XXH3_64bits_withSeed(address, strlen(address), index);
}

static json_t *node_json(const struct fp_slice_node *n)
{
	char id[ID_BYTES];

	if (n->id == 0)
		return json_null();
	snprintf(id, sizeof(id), "%016" PRIx64, n->id);
	return json_pack("{s:s, s:s}", "id", id, "address", n->address);
}

enum fp_status fp_slice_view_format(const struct fp_slice_view *v, char *text,
				    size_t size)
{
	json_t *o = json_pack(
		"{s:I, s:o, s:o, s:b, s:I}", "epoch", (json_int_t)v->epoch,
		"primary", node_json(&v->primary), "backup",
		node_json(&v->backup), "backup_ready", (int)v->backup_ready,
		"renewals", (json_int_t)v->renewals);
	size_t n;

	if (!o)
		return fp_fail(FP_NOMEM, "slice view: out of memory");
	n = json_dumpb(o, text, size - 1, JSON_COMPACT);
	json_decref(o);
	if (n == 0 || n >= size)
		return fp_fail(FP_FULL,
			       "slice view: text of %zu bytes does not fit", n);
	text[n] = '\0';
	return FP_OK;
}

static int node_parse(json_t *o, struct fp_slice_node *n)
{
	const char *id;
	const char *address;
	char *end;

	memset(n, 0, sizeof(*n));
	if (json_is_null(o))
		return 1;
	if (json_unpack(o, "{s:s, s:s!}", "id", &id, "address", &address) ||
	    strlen(id) != ID_BYTES - 1 || strlen(address) >= sizeof(n->address))
		return 0;
	n->id = strtoull(id, &end, 16);
	snprintf(n->address, sizeof(n->address), "%s", address);
	return *end == '\0' && n->id != 0;
}

static int view_parse(json_t *o, struct fp_slice_view *v)
{
	json_t *primary;
	json_t *backup;
	json_int_t epoch;
	json_int_t renewals;
	int ready;

	if (json_unpack(o, "{s:I, s:o, s:o, s:b, s:I!}", "epoch", &epoch,
			"primary", &primary, "backup", &backup, "backup_ready",
			&ready, "renewals", &renewals) ||
	    epoch < 1 || renewals < 0)
		return 0;
	v->epoch = (uint64_t)epoch;
	v->renewals = (uint64_t)renewals;
	v->backup_ready = ready != 0;
	if (!node_parse(primary, &v->primary) ||
	    !node_parse(backup, &v->backup))
		return 0;
	return v->primary.id != 0 && v->primary.id != v->backup.id &&
	       (!v->backup_ready || v->backup.id != 0);
}

enum fp_status fp_slice_view_parse(const char *text, struct fp_slice_view *v)
{
	json_error_t err;
	json_t *o = json_loads(text, JSON_REJECT_DUPLICATES, &err);
	int ok;

	if (!o)
		return fp_fail(FP_INVALID, "slice view: %s at %d", err.text,
			       err.position);
	ok = view_parse(o, v);
	json_decref(o);
	if (!ok)
		return fp_fail(
			FP_INVALID,
			"slice view: a field is missing, unknown or invalid");
	return FP_OK;
}
