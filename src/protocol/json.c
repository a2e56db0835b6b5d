/* json.c - checked access to members of JSON objects */
#include "protocol/json.h"

#include <string.h>

bool fp_json_text(const json_t *j, const char *name, char *to, size_t size)
{
	const char *text = json_string_value(json_object_get(j, name));

	if (!text || !text[0] || strlen(text) >= size)
		return false;
	memcpy(to, text, strlen(text) + 1);
	return true;
}

bool fp_json_integer(const json_t *j, const char *name, json_int_t min,
		     json_int_t max, json_int_t *out)
{
	const json_t *n = json_object_get(j, name);

	*out = json_integer_value(n);
	return (!n || json_is_integer(n)) && *out >= min && *out <= max;
}
