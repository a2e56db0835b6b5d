/* toml.h - reads TOML files; every error message has the file and line
 *
 * The parser does not record the lines of values. The line of a name is found
 * by searching the text for the header of its table and then for the name. A
 * name inside an inline table gets the line of the enclosing table.
 */
#ifndef FP_PROTOCOL_TOML_H
#define FP_PROTOCOL_TOML_H

#include "base/status.h"
#include "protocol/field.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fp_toml;

/** Identifies a table: [section], or the index-th [[section]]. */
struct fp_toml_table_id {
	const char *section; /**< nested names joined by dots; "": the root */
	int index; /**< in an array of tables; -1 for a plain table */
};

/**
 * Reads and parses a file. The document must be freed with fp_toml_end().
 *
 * @return FP_OK, or with a last message: FP_INVALID ("FILE:LINE: reason"),
 *         FP_NOT_FOUND if the file cannot be opened, FP_IO or FP_NOMEM
 */
enum fp_status fp_toml_load(const char *path, struct fp_toml **t);

/** Parses a text; file is its name in messages. Returns FP_OK, or FP_INVALID
 *  with a last message as of fp_toml_load(). */
enum fp_status fp_toml_parse(const char *file, const char *text,
			     struct fp_toml **t);

/** Frees a document and all texts returned from it; accepts NULL. */
void fp_toml_end(struct fp_toml *t);

/** Kind of the item with a section's name. */
enum fp_toml_kind {
	FP_TOML_ABSENT,
	FP_TOML_TABLE,
	FP_TOML_TABLES, /**< array of tables */
	FP_TOML_VALUE,
};

/** Returns the kind of a section; *n is set to the length of an array of
 *  tables, else to 0. */
enum fp_toml_kind fp_toml_kind(const struct fp_toml *t, const char *section,
			       int *n);

/** Returns the i-th name of a table in alphabetical order; NULL after the last
 *  one. */
const char *fp_toml_name(const struct fp_toml *t, struct fp_toml_table_id at,
			 int i);

/** Reads a value; its type is FP_VALUE_NONE if it is absent. Texts and lists
 *  are valid until fp_toml_end(). */
void fp_toml_get(struct fp_toml *t, struct fp_toml_table_id at,
		 const char *name, struct fp_value *v);

/** Returns the line of a name, or of its table if name is NULL or absent. */
int fp_toml_line(const struct fp_toml *t, struct fp_toml_table_id at,
		 const char *name);

/**
 * Sets the last message to "FILE:LINE: [section] name: reason".
 *
 * @return FP_INVALID
 */
enum fp_status fp_toml_fail(const struct fp_toml *t, struct fp_toml_table_id at,
			    const char *name, const char *reason);

/**
 * Reads one table into the struct at base; skips fields of other sections.
 *
 * Every name in the table must be a field. Absent fields get their defaults.
 *
 * @return FP_OK, or FP_INVALID with a last message
 */
enum fp_status fp_toml_read(struct fp_toml *t, struct fp_toml_table_id at,
			    const struct fp_field *fields, uint32_t n,
			    void *base);

#ifdef __cplusplus
}
#endif
#endif
