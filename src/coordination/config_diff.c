/* config_diff.c - differences between two configurations as lines of text
 *
 * Each list is sorted in both configurations by fp_config_compare() and the two
 * are merged. Key hashes are not printed, since they have no meaning for an
 * operator; for a changed hash only the name of its field is printed.
 */
#include "coordination/config_diff.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/config_tables.h"

/* Longest text of one field, with NUL. */
#define VALUE_BYTES (FP_PATH_BYTES + FP_NAME_BYTES)

static void print_name(FILE *out, char sign, const struct fp_config_list *l,
		       const void *entry)
{
	char text[VALUE_BYTES];
	uint32_t i;

	fprintf(out, "%c %s", sign, l->entry);
	for (i = 0; i < l->n_id_fields; i++) {
		fp_field_print(&l->fields[i], entry, text, sizeof(text));
		fprintf(out, " %s", text);
	}
}

static void print_entry(FILE *out, char sign, const struct fp_config *c,
			const struct fp_config_list *l, const void *entry)
{
	char text[VALUE_BYTES];
	uint32_t i;

	print_name(out, sign, l, entry);
	if (l == &fp_config_lists[FP_LIST_KEYS]) {
		uint32_t org = ((const struct fp_key *)entry)->org;

		if (org < c->n_orgs)
			fprintf(out, " organisation %s", c->orgs[org].name);
	}
	for (i = l->n_id_fields; i < l->n_fields; i++) {
		if (l->fields[i].kind == FP_FIELD_HEX)
			continue;
		fp_field_print(&l->fields[i], entry, text, sizeof(text));
		fprintf(out, " %s %s", l->fields[i].name, text);
	}
	fputc('\n', out);
}

static void print_changes(FILE *out, const struct fp_config_list *l,
			  const void *a, const void *b)
{
	char x[VALUE_BYTES];
	char y[VALUE_BYTES];
	bool any = false;
	uint32_t i;

	for (i = l->n_id_fields; i < l->n_fields; i++) {
		const struct fp_field *f = &l->fields[i];
		bool hidden = f->kind == FP_FIELD_HEX;

		fp_field_print(f, a, x, sizeof(x));
		fp_field_print(f, b, y, sizeof(y));
		if (strcmp(x, y) == 0)
			continue;
		if (!any)
			print_name(out, '~', l, a);
		fprintf(out, "%s %s", any ? "," : "", f->name);
		if (!hidden)
			fprintf(out, " %s -> %s", x, y);
		any = true;
	}
	if (any)
		fputc('\n', out);
}

static bool diff_list(FILE *out, const struct fp_config *from,
		      const struct fp_config *to,
		      const struct fp_config_list *l)
{
	uint32_t n_from;
	uint32_t n_to;
	const void **a = fp_config_sorted(from, l, &n_from);
	const void **b = fp_config_sorted(to, l, &n_to);
	uint32_t i = 0;
	uint32_t j = 0;

	while (a && b && (i < n_from || j < n_to)) {
		int order;

		if (i == n_from)
			order = 1;
		else if (j == n_to)
			order = -1;
		else
			order = fp_config_compare(l, a[i], b[j]);
		if (order < 0)
			print_entry(out, '-', from, l, a[i++]);
		else if (order > 0)
			print_entry(out, '+', to, l, b[j++]);
		else
			print_changes(out, l, a[i++], b[j++]);
	}
	free(a);
	free(b);
	return a && b;
}

static void diff_active(FILE *out, const struct fp_config *from,
			const struct fp_config *to)
{
	const char *a = from->presets[from->active_preset].name;
	const char *b = to->presets[to->active_preset].name;

	if (strcmp(a, b) != 0)
		fprintf(out, "~ preset in force %s -> %s\n", a, b);
}

static bool diff_all(FILE *out, const struct fp_config *from,
		     const struct fp_config *to)
{
	bool ok = true;
	int i;

	diff_active(out, from, to);
	for (i = 0; ok && i < FP_LIST_COUNT; i++)
		ok = diff_list(out, from, to, &fp_config_lists[i]);
	return ok;
}

char *fp_config_diff(const struct fp_config *from, const struct fp_config *to)
{
	struct fp_config *first = from ? NULL : fp_config_initial();
	char *text = NULL;
	size_t len;
	FILE *out;
	bool ok;

	if (!from && !first)
		return NULL;
	out = open_memstream(&text, &len);
	ok = out && diff_all(out, from ? from : first, to);
	if (out)
		fclose(out);
	fp_config_end(first);
	if (ok)
		return text;
	free(text);
	return NULL;
}
