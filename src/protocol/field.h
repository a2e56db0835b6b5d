/* field.h - tables that describe the members of a struct, and checked values
 *
 * Settings, declarations and the configuration's record hold the same kinds
 * of values: names, numbers with a range, words of a small set, hashes. One
 * table for each struct says where a member stands and what it may hold; TOML
 * and JSON are both read through it, and differences are printed from it.
 */
#ifndef FP_PROTOCOL_FIELD_H
#define FP_PROTOCOL_FIELD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Type of a value as read, before it is checked against a field. */
enum fp_value_type {
	FP_VALUE_NONE, /**< not given */
	FP_VALUE_INTEGER,
	FP_VALUE_BOOLEAN,
	FP_VALUE_TEXT,
	FP_VALUE_LIST, /**< list of texts */
	FP_VALUE_OTHER, /**< a type that no field has */
};

/** A value as read; texts belong to the document they came from. */
struct fp_value {
	enum fp_value_type type;
	int64_t integer;
	bool boolean;
	const char *text;
	const char *const *items;
	uint32_t n_items;
};

/** What a member holds. */
enum fp_field_kind {
	FP_FIELD_TEXT, /**< char[size] */
	FP_FIELD_HEX, /**< uint8_t[size], hexadecimal digits in text */
	FP_FIELD_UINT, /**< unsigned, of size bytes: 2 or 4 */
	FP_FIELD_BOOL, /**< bool */
	FP_FIELD_WORD, /**< index into words, of size bytes: 1 or 4 */
	FP_FIELD_TEXTS, /**< array of char[size] */
	FP_FIELD_HEXES, /**< array of uint8_t[size] */
	FP_FIELD_PORT, /**< uint16_t; a number, or the port of "IP:PORT" */
	FP_FIELD_SPAN, /**< int64_t microseconds; "1500ms", "2.5s" */
	FP_FIELD_SHARE, /**< uint32_t thousandths; "0.2" */
};

/** One member of a struct. */
struct fp_field {
	const char *section; /**< table in TOML; NULL where there is one */
	const char *name;
	enum fp_field_kind kind;
	bool required;
	size_t offset;
	size_t size; /**< bytes, see the kinds */
	size_t count_offset; /**< uint32_t count of a list; 0: none */
	size_t given_offset; /**< bool, true when given; 0: none */
	int64_t min; /**< integers, or items of a list */
	int64_t max;
	const char *fallback; /**< default as text; NULL: zero or empty */
	const char *unit;
	const char *const *words; /**< ended by NULL */
	bool (*valid)(const char *text); /**< of a text or list item */
	const char *expected; /**< of a text, for messages */
};

/** Room for a reason written by fp_field_set. */
#define FP_WHY_BYTES 320

/**
 * Checks a value and stores it into the struct at base.
 *
 * @param why  set to "expected ..., got ..." on false; never shows a secret
 */
bool fp_field_set(const struct fp_field *f, void *base,
		  const struct fp_value *v, char why[FP_WHY_BYTES]);

/** Stores the default; false with a reason when the field is required. */
bool fp_field_set_default(const struct fp_field *f, void *base,
			  char why[FP_WHY_BYTES]);

/** Reads an integer, word index or bool back. */
int64_t fp_field_integer(const struct fp_field *f, const void *base);

/** Writes a member other than a list as text, e.g. for a difference. */
void fp_field_print(const struct fp_field *f, const void *base, char *out,
		    size_t room);

/** Writes what a field expects, e.g. "integer 1 to 65535". */
void fp_field_expected(const struct fp_field *f, char *out, size_t room);

/**
 * Reads a time with its unit, "1500ms" or "2.5s".
 *
 * @return true with *us set to microseconds, rounded down
 */
bool fp_span_parse(const char *text, int64_t *us);

/** True for 1 to FP_NAME_BYTES - 1 characters of [a-z0-9._-]. */
bool fp_name_valid(const char *text);

/** True for exactly 64 hexadecimal digits. */
bool fp_hash_text_valid(const char *text);

/** True for an IP number, version 4 or 6. */
bool fp_ip_valid(const char *text);

/** True for "1.2.3.4:5" or "[::1]:5". */
bool fp_ip_port_valid(const char *text);

#define FP_NAME_EXPECTED "1 to 47 characters of [a-z0-9._-]"
#define FP_HASH_EXPECTED "64 hexadecimal digits"

#ifdef __cplusplus
}
#endif
#endif
