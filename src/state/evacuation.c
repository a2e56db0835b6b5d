/* evacuation.c - the failure domains whose workers get no requests */
#include "state/evacuation.h"

#include <string.h>

bool fp_evacuation_has(const struct fp_evacuation *e, const char *domain)
{
	uint32_t i;

	for (i = 0; i < e->n; i++)
		if (strcmp(e->domains[i], domain) == 0)
			return true;
	return false;
}

/* Adds the first len bytes of name. */
static enum fp_status add_part(struct fp_evacuation *e, const char *name,
			       size_t len)
{
	char domain[FP_NAME_BYTES] = "";

	if (!len || len >= sizeof(domain) || memchr(name, '/', len))
		return FP_INVALID;
	memcpy(domain, name, len);
	if (fp_evacuation_has(e, domain))
		return FP_OK;
	if (e->n == FP_MAX_EVACUATED)
		return FP_FULL;
	memcpy(e->domains[e->n++], domain, sizeof(domain));
	return FP_OK;
}

enum fp_status fp_evacuation_add(struct fp_evacuation *e, const char *domain)
{
	return add_part(e, domain, strlen(domain));
}

bool fp_evacuation_equal(const struct fp_evacuation *a,
			 const struct fp_evacuation *b)
{
	uint32_t i;

	for (i = 0; i < a->n; i++)
		if (!fp_evacuation_has(b, a->domains[i]))
			return false;
	return a->n == b->n;
}

void fp_evacuation_format(const struct fp_evacuation *e,
			  char text[FP_EVACUATION_BYTES])
{
	char *at = text;
	uint32_t i;
	size_t len;

	for (i = 0; i < e->n; i++) {
		len = strnlen(e->domains[i], FP_NAME_BYTES - 1);
		if (i)
			*at++ = '/';
		memcpy(at, e->domains[i], len);
		at += len;
	}
	*at = '\0';
}

enum fp_status fp_evacuation_parse(const char *text, struct fp_evacuation *e)
{
	uint32_t before;
	size_t len;

	e->n = 0;
	if (!text[0])
		return FP_OK;
	for (;;) {
		before = e->n;
		len = strcspn(text, "/");
		/* A name that is there twice is malformed too. */
		if (add_part(e, text, len) != FP_OK || e->n == before)
			return FP_INVALID;
		if (!text[len])
			return FP_OK;
		text += len + 1;
	}
}
