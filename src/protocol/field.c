/* field.c - checks values against field tables and stores them */
#include "protocol/field.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "state/types.h"

/** Maximum number of characters of an invalid text quoted in a message. */
#define QUOTED_CHARS 40
#define MAX_DURATION 1e9 /* ms or s, as given; keeps microseconds in int64_t */
#define MAX_RATIO    1000.0

#define DIGITS "0123456789"

bool fp_name_valid(const char *text)
{
	size_t len = strlen(text);

	if (len == 0 || len >= FP_NAME_BYTES)
		return false;
	return strspn(text, "abcdefghijklmnopqrstuvwxyz" DIGITS "._-") == len;
}

bool fp_hash_text_valid(const char *text)
{
	size_t len = strlen(text);

	return len == 64 && strspn(text, DIGITS "abcdefABCDEF") == len;
}

bool fp_ip_valid(const char *text)
{
	uint8_t addr[16];

	return inet_pton(AF_INET, text, addr) == 1 ||
	       inet_pton(AF_INET6, text, addr) == 1;
}

static bool is_port(const char *text)
{
	size_t len = strlen(text);
	long n = strtol(text, NULL, 10);

	if (len == 0 || len > 5 || strspn(text, "0123456789") != len)
		return false;
	return n >= 1 && n <= UINT16_MAX;
}

bool fp_ip_port_valid(const char *text)
{
	const char *colon = strrchr(text, ':');
	char host[INET6_ADDRSTRLEN + 2];
	size_t len;

	if (!colon || !is_port(colon + 1))
		return false;
	len = (size_t)(colon - text);
	if (len < 2 || len >= sizeof(host))
		return false;
	memcpy(host, text, len);
	host[len] = '\0';
	if (host[0] != '[')
		return !strchr(host, ':') && fp_ip_valid(host);
	if (host[len - 1] != ']')
		return false;
	host[len - 1] = '\0';
	return fp_ip_valid(host + 1);
}

static void format_words(const struct fp_field *f, char *out, size_t out_size)
{
	size_t used = 0;
	int i;

	out[0] = '\0';
	for (i = 0; f->words[i] && used < out_size; i++)
		used += (size_t)snprintf(out + used, out_size - used,
					 "%s\"%s\"", i ? " or " : "",
					 f->words[i]);
}

void fp_field_expected(const struct fp_field *f, char *out, size_t out_size)
{
	switch (f->kind) {
	case FP_FIELD_TEXT:
	case FP_FIELD_HEX:
		snprintf(out, out_size, "%s",
			 f->expected ? f->expected : "text");
		break;
	case FP_FIELD_UINT:
		snprintf(out, out_size, "integer %lld to %lld",
			 (long long)f->min, (long long)f->max);
		break;
	case FP_FIELD_BOOL:
		snprintf(out, out_size, "true or false");
		break;
	case FP_FIELD_WORD:
		format_words(f, out, out_size);
		break;
	case FP_FIELD_PORT:
		snprintf(out, out_size, "integer %lld to %lld, or IP:PORT",
			 (long long)f->min, (long long)f->max);
		break;
	case FP_FIELD_DURATION:
		snprintf(out, out_size,
			 "a time such as \"1500ms\" or \"2.5s\"");
		break;
	case FP_FIELD_RATIO:
		snprintf(out, out_size,
			 "a ratio such as \"0.2\", at most 1000");
		break;
	case FP_FIELD_TEXTS:
	case FP_FIELD_HEXES:
		snprintf(out, out_size, "list of %lld to %lld texts, each %s",
			 (long long)f->min, (long long)f->max, f->expected);
		break;
	}
}

static void format_value(const struct fp_field *f, const struct fp_value *v,
			 char *out, size_t out_size)
{
	bool secret = f->kind == FP_FIELD_HEX || f->kind == FP_FIELD_HEXES;

	switch (v->type) {
	case FP_VALUE_NONE:
		snprintf(out, out_size, "nothing");
		break;
	case FP_VALUE_INTEGER:
		snprintf(out, out_size, "%lld", (long long)v->integer);
		break;
	case FP_VALUE_BOOLEAN:
		snprintf(out, out_size, "%s", v->boolean ? "true" : "false");
		break;
	case FP_VALUE_TEXT:
		if (secret)
			snprintf(out, out_size, "a text of %zu characters",
				 strlen(v->text));
		else
			snprintf(out, out_size, "\"%.*s\"", QUOTED_CHARS,
				 v->text);
		break;
	case FP_VALUE_LIST:
		snprintf(out, out_size, "a list of %u", v->n_items);
		break;
	case FP_VALUE_OTHER:
		snprintf(out, out_size, "a value of another type");
		break;
	}
}

static bool reject(const struct fp_field *f, const struct fp_value *v,
		   char why[FP_WHY_BYTES])
{
	char expected[160];
	char got[80];

	fp_field_expected(f, expected, sizeof(expected));
	format_value(f, v, got, sizeof(got));
	snprintf(why, FP_WHY_BYTES, "expected %s, got %s", expected, got);
	return false;
}

static void store_integer(void *to, size_t size, int64_t n)
{
	uint8_t u8 = (uint8_t)n;
	uint16_t u16 = (uint16_t)n;
	uint32_t u32 = (uint32_t)n;

	if (size == sizeof(u8))
		memcpy(to, &u8, size);
	else if (size == sizeof(u16))
		memcpy(to, &u16, size);
	else
		memcpy(to, &u32, sizeof(u32));
}

static bool text_fits(const struct fp_field *f, const char *text)
{
	bool hex = f->kind == FP_FIELD_HEX || f->kind == FP_FIELD_HEXES;

	if (!hex && strlen(text) >= f->size)
		return false;
	return !f->valid || f->valid(text);
}

/* Stores a text accepted by text_fits(). */
static bool store_text(const struct fp_field *f, char *to, const char *text)
{
	size_t len;

	if (f->kind == FP_FIELD_TEXT || f->kind == FP_FIELD_TEXTS) {
		memset(to, 0, f->size);
		memcpy(to, text, strlen(text));
		return true;
	}
	return sodium_hex2bin((unsigned char *)to, f->size, text, strlen(text),
			      NULL, &len, NULL) == 0 &&
	       len == f->size;
}

static bool set_list(const struct fp_field *f, char *base,
		     const struct fp_value *v, char why[FP_WHY_BYTES])
{
	uint32_t i;

	if (v->n_items < f->min || v->n_items > f->max)
		return reject(f, v, why);
	for (i = 0; i < v->n_items; i++) {
		struct fp_value item = { .type = FP_VALUE_TEXT,
					 .text = v->items[i] };
		char *to = base + f->offset + i * f->size;

		if (!text_fits(f, item.text) || !store_text(f, to, item.text))
			return reject(f, &item, why);
	}
	memcpy(base + f->count_offset, &v->n_items, sizeof(v->n_items));
	return true;
}

static bool set_word(const struct fp_field *f, char *base,
		     const struct fp_value *v, char why[FP_WHY_BYTES])
{
	int i;

	for (i = 0; f->words[i]; i++)
		if (strcmp(f->words[i], v->text) == 0) {
			store_integer(base + f->offset, f->size, i);
			return true;
		}
	return reject(f, v, why);
}

bool fp_duration_parse(const char *text, int64_t *us)
{
	char *end;
	double n = strtod(text, &end);
	double unit_us;

	if (end == text || !(n >= 0) || n > MAX_DURATION)
		return false;
	if (strcmp(end, "ms") == 0)
		unit_us = (double)FP_US_PER_MS;
	else if (strcmp(end, "s") == 0)
		unit_us = (double)FP_US_PER_S;
	else
		return false;
	*us = (int64_t)(n * unit_us);
	return true;
}

static bool set_port(const struct fp_field *f, char *base,
		     const struct fp_value *v, char why[FP_WHY_BYTES])
{
	int64_t port = v->integer;

	if (v->type == FP_VALUE_TEXT && fp_ip_port_valid(v->text))
		port = strtoll(strrchr(v->text, ':') + 1, NULL, 10);
	else if (v->type != FP_VALUE_INTEGER)
		return reject(f, v, why);
	if (port < f->min || port > f->max)
		return reject(f, v, why);
	store_integer(base + f->offset, f->size, port);
	return true;
}

static bool set_duration(const struct fp_field *f, char *base,
			 const struct fp_value *v, char why[FP_WHY_BYTES])
{
	int64_t us;

	if (!fp_duration_parse(v->text, &us))
		return reject(f, v, why);
	memcpy(base + f->offset, &us, sizeof(us));
	return true;
}

static bool set_ratio(const struct fp_field *f, char *base,
		      const struct fp_value *v, char why[FP_WHY_BYTES])
{
	char *end;
	double n = strtod(v->text, &end);

	if (end == v->text || *end || !(n >= 0) || n > MAX_RATIO)
		return reject(f, v, why);
	store_integer(base + f->offset, f->size, (int64_t)(n * 1000 + 0.5));
	return true;
}

static enum fp_value_type type_of(enum fp_field_kind kind)
{
	switch (kind) {
	case FP_FIELD_UINT:
	case FP_FIELD_PORT:
		return FP_VALUE_INTEGER;
	case FP_FIELD_BOOL:
		return FP_VALUE_BOOLEAN;
	case FP_FIELD_TEXTS:
	case FP_FIELD_HEXES:
		return FP_VALUE_LIST;
	default:
		return FP_VALUE_TEXT;
	}
}

static bool set_one(const struct fp_field *f, char *base,
		    const struct fp_value *v, char why[FP_WHY_BYTES])
{
	switch (f->kind) {
	case FP_FIELD_UINT:
		if (v->integer < f->min || v->integer > f->max)
			return reject(f, v, why);
		store_integer(base + f->offset, f->size, v->integer);
		return true;
	case FP_FIELD_BOOL:
		memcpy(base + f->offset, &v->boolean, sizeof(bool));
		return true;
	case FP_FIELD_WORD:
		return set_word(f, base, v, why);
	case FP_FIELD_TEXTS:
	case FP_FIELD_HEXES:
		return set_list(f, base, v, why);
	case FP_FIELD_PORT:
		return set_port(f, base, v, why);
	case FP_FIELD_DURATION:
		return set_duration(f, base, v, why);
	case FP_FIELD_RATIO:
		return set_ratio(f, base, v, why);
	default:
		if (!text_fits(f, v->text) ||
		    !store_text(f, base + f->offset, v->text))
			return reject(f, v, why);
		return true;
	}
}

bool fp_field_set(const struct fp_field *f, void *base,
		  const struct fp_value *v, char why[FP_WHY_BYTES])
{
	static const bool yes = true;

	/* A port is either an integer or a text "IP:PORT". */
	if (v->type != type_of(f->kind) &&
	    !(f->kind == FP_FIELD_PORT && v->type == FP_VALUE_TEXT))
		return reject(f, v, why);
	if (!set_one(f, base, v, why))
		return false;
	if (f->present_offset)
		memcpy((char *)base + f->present_offset, &yes, sizeof(yes));
	return true;
}

bool fp_field_set_default(const struct fp_field *f, void *base,
			  char why[FP_WHY_BYTES])
{
	struct fp_value v = { .type = FP_VALUE_NONE };

	if (f->required)
		return reject(f, &v, why);
	if (!f->default_text)
		return true;
	v.type = type_of(f->kind);
	v.text = f->default_text;
	v.integer = strtoll(f->default_text, NULL, 10);
	v.boolean = strcmp(f->default_text, "true") == 0;
	return fp_field_set(f, base, &v, why);
}

int64_t fp_field_integer(const struct fp_field *f, const void *base)
{
	const char *from = (const char *)base + f->offset;
	size_t size = f->kind == FP_FIELD_BOOL ? sizeof(bool) : f->size;
	uint8_t u8;
	uint16_t u16;
	uint32_t u32;

	if (size == sizeof(u8)) {
		memcpy(&u8, from, sizeof(u8));
		return u8;
	}
	if (size == sizeof(u16)) {
		memcpy(&u16, from, sizeof(u16));
		return u16;
	}
	memcpy(&u32, from, sizeof(u32));
	return u32;
}

void fp_field_print(const struct fp_field *f, const void *base, char *out,
		    size_t out_size)
{
	const char *from = (const char *)base + f->offset;
	int64_t n;

	switch (f->kind) {
	case FP_FIELD_HEX:
		sodium_bin2hex(out, out_size, (const unsigned char *)from,
			       f->size);
		break;
	case FP_FIELD_UINT:
	case FP_FIELD_PORT:
	case FP_FIELD_RATIO:
		n = fp_field_integer(f, base);
		snprintf(out, out_size, "%lld", (long long)n);
		break;
	case FP_FIELD_BOOL:
		n = fp_field_integer(f, base);
		snprintf(out, out_size, "%s", n ? "true" : "false");
		break;
	case FP_FIELD_WORD:
		n = fp_field_integer(f, base);
		snprintf(out, out_size, "%s", f->words[n]);
		break;
	case FP_FIELD_DURATION:
		memcpy(&n, from, sizeof(n));
		snprintf(out, out_size, "%lldms",
			 (long long)(n / FP_US_PER_MS));
		break;
	default:
		snprintf(out, out_size, "%s", from);
		break;
	}
}
