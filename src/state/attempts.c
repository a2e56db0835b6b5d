/*
 * attempts.c - limits on retries: per call tree, organisation and worker
 *
 * An attempt budget is only a number: a nested call borrows from its parent's
 * budget and returns what it did not use. So the sum over a call tree never
 * grows, and retries do not multiply with the depth of the tree.
 *
 * A retry ratio is a token bucket that is filled by first sends. A floor of one
 * token per second allows clients with few requests to retry.
 *
 * Caller retries are recognised by the fingerprint of a request that failed.
 * The table counts failures: each failure marks one later arrival as a retry,
 * so that after one failure not all equal requests of other callers count as
 * retries. A retry that is refused stays in the table, because its caller will
 * send again. The table is a fixed array of small sets; a full set evicts its
 * oldest entry, so that one retry counts as a first arrival.
 */
#include "state/attempts.h"

#include <stdlib.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* Tuning. */
#define TABLE_SETS  8192 /* sets of the failure table; a power of two */
#define SET_ENTRIES 4 /* failures per set: 768 KiB in total */
/* time after a failure in which arrivals are retries */
#define RETRY_WINDOW_US 10000000
#define START_TOKENS	10 /* initial retries of an organisation */
#define MAX_TOKENS	100 /* maximum number of saved retries */
#define FLOOR_TOKEN_US	1000000 /* time per token of the floor */

#define MILLI 1000

uint32_t fp_attempt_budget_lend(struct fp_attempt_budget *parent, uint32_t want)
{
	uint32_t lent = want < parent->left ? want : parent->left;

	parent->left -= lent;
	return lent;
}

void fp_attempt_budget_return(struct fp_attempt_budget *parent, uint32_t unused)
{
	parent->left += unused;
}

static void add_tokens(struct fp_retry_ratio *r, int64_t milli)
{
	r->tokens_milli += milli;
	if (r->tokens_milli > r->cap_milli)
		r->tokens_milli = r->cap_milli;
}

static void add_floor_tokens(struct fp_retry_ratio *r, int64_t now_us)
{
	int64_t unit_us = FLOOR_TOKEN_US / MILLI;
	int64_t milli = (now_us - r->updated_us) / unit_us;

	if (milli <= 0)
		return;
	add_tokens(r, milli);
	r->updated_us += milli * unit_us;
}

void fp_retry_ratio_init(struct fp_retry_ratio *r, uint32_t percent,
			 uint32_t min_tokens, int64_t now_us)
{
	uint32_t cap = min_tokens > MAX_TOKENS ? min_tokens : MAX_TOKENS;

	r->percent = percent;
	r->tokens_milli = (int64_t)min_tokens * MILLI;
	r->cap_milli = (int64_t)cap * MILLI;
	r->updated_us = now_us;
}

void fp_retry_ratio_first_send(struct fp_retry_ratio *r, int64_t now_us)
{
	add_floor_tokens(r, now_us);
	add_tokens(r, (int64_t)r->percent * MILLI / 100);
}

enum fp_status fp_retry_ratio_take(struct fp_retry_ratio *r, int64_t now_us)
{
	add_floor_tokens(r, now_us);
	if (r->tokens_milli < MILLI)
		return FP_EXHAUSTED;
	r->tokens_milli -= MILLI;
	return FP_OK;
}

/* Failures of one fingerprint that no arrival has followed yet. */
struct failure {
	uint64_t fingerprint;
	int64_t failed_us; /* time of the newest failure */
	uint32_t count; /* 0: free entry */
};

struct fp_caller_retries {
	struct failure table[TABLE_SETS][SET_ENTRIES];
	uint32_t max_orgs;
	uint32_t percent;
	/* One per organisation; the last is for requests without an
	 * organisation. */
	struct fp_retry_ratio ratios[];
};

struct fp_caller_retries *fp_caller_retries_init(uint32_t max_orgs,
						 uint32_t percent)
{
	size_t ratios = (size_t)max_orgs + 1;
	struct fp_caller_retries *r =
		calloc(1, sizeof(*r) + ratios * sizeof(r->ratios[0]));
	size_t i;

	if (!r)
		return NULL;
	r->max_orgs = max_orgs;
	r->percent = percent;
	for (i = 0; i < ratios; i++)
		fp_retry_ratio_init(&r->ratios[i], percent, START_TOKENS, 0);
	return r;
}

void fp_caller_retries_set_percent(struct fp_caller_retries *r,
				   uint32_t percent)
{
	uint32_t i;

	r->percent = percent;
	for (i = 0; i <= r->max_orgs; i++)
		r->ratios[i].percent = percent;
}

static struct failure *failure_set(struct fp_caller_retries *r,
				   uint64_t fingerprint)
{
	uint64_t h = XXH64(&fingerprint, sizeof(fingerprint), 0);

	return r->table[h & (TABLE_SETS - 1)];
}

static struct failure *find_failure(struct fp_caller_retries *r,
				    uint64_t fingerprint, int64_t now_us)
{
	struct failure *set = failure_set(r, fingerprint);
	int i;

	for (i = 0; i < SET_ENTRIES; i++)
		if (set[i].count && set[i].fingerprint == fingerprint &&
		    now_us - set[i].failed_us <= RETRY_WINDOW_US)
			return &set[i];
	return NULL;
}

/* Returns the entry for a new fingerprint: a free one, else the oldest. */
static struct failure *find_free_entry(struct fp_caller_retries *r,
				       uint64_t fingerprint)
{
	struct failure *set = failure_set(r, fingerprint);
	struct failure *oldest = &set[0];
	int i;

	for (i = 0; i < SET_ENTRIES; i++) {
		/* Reuse an expired entry of the same fingerprint. */
		if (set[i].count == 0 || set[i].fingerprint == fingerprint)
			return &set[i];
		if (set[i].failed_us < oldest->failed_us)
			oldest = &set[i];
	}
	return oldest;
}

void fp_caller_retries_failed(struct fp_caller_retries *r, uint64_t fingerprint,
			      int64_t now_us)
{
	struct failure *f = find_failure(r, fingerprint, now_us);

	if (!f) {
		f = find_free_entry(r, fingerprint);
		f->fingerprint = fingerprint;
		f->count = 0;
	}
	f->count++;
	f->failed_us = now_us;
}

enum fp_status fp_caller_retries_admit(struct fp_caller_retries *r,
				       uint32_t org, uint64_t fingerprint,
				       int64_t now_us)
{
	struct fp_retry_ratio *ratio =
		&r->ratios[org < r->max_orgs ? org : r->max_orgs];
	struct failure *f = find_failure(r, fingerprint, now_us);

	if (!ratio->updated_us)
		ratio->updated_us = now_us; /* first use of this ratio */
	if (!f) {
		fp_retry_ratio_first_send(ratio, now_us);
		return FP_OK;
	}
	if (fp_retry_ratio_take(ratio, now_us) != FP_OK) {
		f->failed_us = now_us;
		return FP_EXHAUSTED;
	}
	f->count--;
	return FP_OK;
}

void fp_caller_retries_end(struct fp_caller_retries *r)
{
	free(r);
}
