/* field.h - tables that describe the members of a struct, and value checks
 *
 * Settings, declarations and the configuration record contain the same kinds
 * of values: names, numbers with a range, words of a small set, hashes. One
 * table per struct describes the offset of each member and its valid values.
 * Both TOML and JSON are read through these tables, and differences between
 * two structs are printed from them.
 */
#ifndef FP_PROTOCOL_FIELD_H
#define FP_PROTOCOL_FIELD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Type of a value in the input, before it is checked against a field. */
enum fp_value_type {
	FP_VALUE_NONE, /**< absent */
	FP_VALUE_INTEGER,
	FP_VALUE_BOOLEAN,
	FP_VALUE_TEXT,
	FP_VALUE_LIST, /**< list of texts */
	FP_VALUE_OTHER, /**< a type that no field has */
};

/** A value from the input; texts are owned by the document. */
struct fp_value {
	enum fp_value_type type;
	int64_t integer;
	bool boolean;
	const char *text;
	const char *const *items;
	uint32_t n_items;
};

/** Kind of a member: its type in C and its form in the input. */
enum fp_field_kind {
	FP_FIELD_TEXT, /**< char[size] */
	FP_FIELD_HEX, /**< uint8_t[size], written in hexadecimal digits */
	FP_FIELD_UINT, /**< unsigned, of size bytes: 2 or 4 */
	FP_FIELD_BOOL, /**< bool */
	FP_FIELD_WORD, /**< index into words, of size bytes: 1 or 4 */
	FP_FIELD_TEXTS, /**< array of char[size] */
	FP_FIELD_HEXES, /**< array of uint8_t[size] */
	FP_FIELD_PORT, /**< uint16_t; a number, or the port of "IP:PORT" */
	FP_FIELD_DURATION, /**< int64_t microseconds; "1500ms" or "2.5s" */
	FP_FIELD_RATIO, /**< uint32_t thousandths; "0.2" */
};

/** One member of a struct. */
struct fp_field {
	const char *section; /**< table in TOML; NULL: any table */
	const char *name;
	enum fp_field_kind kind;
	bool required;
	size_t offset;
	size_t size; /**< in bytes; of one item in a list */
	size_t count_offset; /**< of a list's uint32_t count; 0: none */
	size_t present_offset; /**< of a bool set when the value is present; 0:
			       *   none */
	int64_t min; /**< of an integer, or of the number of items of a list */
	int64_t max;
	const char *default_text; /**< default as text; NULL: zero or empty */
	const char *unit; /**< for documentation */
	const char *const *words; /**< terminated by NULL */
	bool (*valid)(const char *text); /**< checks a text or list item */
	const char *expected; /**< describes a valid text in messages */
};

/** Size of the buffer for a reason from fp_field_set(), bytes with NUL. */
#define FP_WHY_BYTES 320

/**
 * Checks a value and stores it in the struct at base.
 *
 * @param why  on failure, set to "expected ..., got ..."; never contains a
 *             secret
 * @return false if the value is invalid
 */
bool fp_field_set(const struct fp_field *f, void *base,
		  const struct fp_value *v, char why[FP_WHY_BYTES]);

/** Stores the default; false with a reason if the field is required. */
bool fp_field_set_default(const struct fp_field *f, void *base,
			  char why[FP_WHY_BYTES]);

/** Returns the value of an integer, word index or bool member. */
int64_t fp_field_integer(const struct fp_field *f, const void *base);

/** Formats a member other than a list as text, e.g. to print a difference. */
void fp_field_print(const struct fp_field *f, const void *base, char *out,
		    size_t out_size);

/** Formats a description of a field's valid values, e.g. "integer 1 to
 *  65535". */
void fp_field_expected(const struct fp_field *f, char *out, size_t out_size);

/**
 * Parses a duration with its unit, such as "1500ms" or "2.5s".
 *
 * @return true with *us set to microseconds, rounded down
 */
bool fp_duration_parse(const char *text, int64_t *us);

/** Returns true for 1 to FP_NAME_BYTES - 1 characters of [a-z0-9._-]. */
bool fp_name_valid(const char *text);

/** Returns true for exactly 64 hexadecimal digits. */
bool fp_hash_text_valid(const char *text);

/** Returns true for an IP address, version 4 or 6. */
bool fp_ip_valid(const char *text);

/** Returns true for an IP address and port, "1.2.3.4:5" or "[::1]:5". */
bool fp_ip_port_valid(const char *text);

#define FP_NAME_EXPECTED "1 to 47 characters of [a-z0-9._-]"
#define FP_HASH_EXPECTED "64 hexadecimal digits"

#ifdef __cplusplus
}
#endif
#endif
