/* types.c - names of classes, outcomes and reasons; HTTP status of reasons */
#include "state/types.h"

#include <sodium.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

/* Bytes of the hash of a long name, written in hexadecimal. */
#define NAME_HASH_BYTES 8

static const char *const class_names[FP_CLASS_COUNT] = {
	"important",
	"normal",
	"sheddable",
};

static const char *const outcome_names[] = { "ran", "not-run", "unknown" };

static const struct {
	const char *name;
	int http_status;
} reasons[FP_REASON_COUNT] = {
	[FP_REASON_NONE] = { "none", 200 },
	[FP_REASON_MALFORMED] = { "malformed", 400 },
	[FP_REASON_KEY_MISSING] = { "key-missing", 401 },
	[FP_REASON_KEY_UNKNOWN] = { "key-unknown", 401 },
	[FP_REASON_KEY_MISPLACED] = { "key-misplaced", 400 },
	[FP_REASON_ROUTE_UNKNOWN] = { "route-unknown", 404 },
	[FP_REASON_CALL_UNKNOWN] = { "call-unknown", 403 },
	[FP_REASON_TOO_LARGE] = { "too-large", 413 },
	[FP_REASON_OVER_RATE] = { "over-rate", 429 },
	[FP_REASON_NO_TOKENS] = { "no-tokens", 503 },
	[FP_REASON_OVERLOADED] = { "overloaded", 503 },
	[FP_REASON_SHED_EARLY] = { "shed-early", 503 },
	[FP_REASON_RETRY_LIMIT] = { "retry-limit", 503 },
	[FP_REASON_POISON] = { "poison", 503 },
	[FP_REASON_NO_WORKER] = { "no-worker", 503 },
	[FP_REASON_NO_CONFIG] = { "no-config", 503 },
	[FP_REASON_ISOLATED] = { "isolated", 503 },
	[FP_REASON_STOPPING] = { "stopping", 503 },
	[FP_REASON_DEADLINE] = { "deadline", 504 },
	[FP_REASON_CUT] = { "cut", 502 },
	[FP_REASON_ID_REQUIRED] = { "idempotency-key-required", 400 },
	[FP_REASON_ALREADY_RUN] = { "already-run", 409 },
	[FP_REASON_IN_PROGRESS] = { "in-progress", 409 },
	[FP_REASON_CLAIM_FULL] = { "claim-full", 503 },
	[FP_REASON_CLAIM_LOST] = { "claim-lost", 503 },
	[FP_REASON_NO_CLAIM] = { "no-claim", 503 },
	[FP_REASON_ID_REUSED] = { "idempotency-key-reused", 422 },
	[FP_REASON_BACKEND_REFUSED] = { "backend-refused", 503 },
	[FP_REASON_OUTCOME_LOST] = { "outcome-lost", 409 },
};

const char *fp_class_name(enum fp_class c)
{
	return (unsigned int)c < FP_CLASS_COUNT ? class_names[c] : "unknown";
}

const char *fp_outcome_name(enum fp_outcome o)
{
	return (unsigned int)o <= FP_OUTCOME_UNKNOWN ? outcome_names[o] :
						       "unknown";
}

const char *fp_reason_name(enum fp_reason r)
{
	return (unsigned int)r < FP_REASON_COUNT ? reasons[r].name : "unknown";
}

int fp_class_parse(const char *word)
{
	int i;

	for (i = 0; i < FP_CLASS_COUNT; i++)
		if (strcmp(word, class_names[i]) == 0)
			return i;
	return -1;
}

int fp_reason_http_status(enum fp_reason r)
{
	return (unsigned int)r < FP_REASON_COUNT ? reasons[r].http_status : 500;
}

enum fp_class fp_class_of_priority(uint32_t priority)
{
	return priority < FP_CLASS_COUNT ? (enum fp_class)priority :
					   FP_CLASS_SHEDDABLE;
}

bool fp_name_shorten(const char *name, char to[FP_NAME_BYTES])
{
	uint8_t hash[crypto_generichash_BYTES];
	char hex[2 * NAME_HASH_BYTES + 1];
	size_t len = strlen(name);

	if (len < FP_NAME_BYTES) {
		memcpy(to, name, len + 1);
		return true;
	}
	crypto_generichash(hash, sizeof(hash), (const unsigned char *)name, len,
			   NULL, 0);
	sodium_bin2hex(hex, sizeof(hex), hash, NAME_HASH_BYTES);
	len = FP_NAME_BYTES - 1 - strlen(hex) - 1;
	/* Ends before a character of UTF-8 that would be cut. */
	while (((uint8_t)name[len] & 0xc0) == 0x80)
		len--;
	snprintf(to, FP_NAME_BYTES, "%.*s~%s", (int)len, name, hex);
	return false;
}
