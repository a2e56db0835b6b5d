/*
 * claims.c - claims that make non-idempotent requests run at most once
 *
 * A hash table with chaining, keyed by the claim's name, and a list of all
 * claims in order of creation, which is also the order of expiry. A claim is
 * one allocation, its answer another.
 *
 * Lifetime. A claim is kept for lifetime_us from its first arrival, whatever
 * its state; only a release or a drop removes it earlier. Within that time a
 * second arrival never runs. Afterwards its name is free, and an arrival with
 * that name is a new request. A pending claim also expires at the end of its
 * lifetime, since the node that took it may never finish it. So the lifetime
 * must be longer than the longest deadline of a route, within which the first
 * arrival is dispatched, if at all, plus the time for which callers retry.
 *
 * Limits. Memory for max_claims entries is always set aside from max_bytes;
 * answers share the rest. At the byte limit an answer is not kept but its claim
 * is (a second arrival then gets "already run"); stored answers are never
 * dropped in favour of newer ones. At the claim limit a new claim is refused
 * with FP_FULL, and its request is correctly reported as not run. No claim is
 * evicted: that would make a second run possible.
 */
#include "state/claims.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define INITIAL_CHAINS 64 /* hash chains; a power of two */

struct entry {
	struct fp_claim claim; /* first member: returned to callers */
	struct entry *chain; /* next in its hash chain */
	struct entry *older; /* list ordered by created_us */
	struct entry *newer;
};

struct fp_claims {
	struct entry **chains; /* n_chains heads */
	uint32_t n_chains; /* a power of two */
	uint32_t n_claims;
	uint32_t max_claims;
	uint64_t answer_bytes; /* bytes of all stored answers */
	uint64_t max_answer_bytes;
	int64_t lifetime_us;
	struct entry *oldest;
	struct entry *newest;
};

static struct entry **chain_of(const struct fp_claims *c, const uint8_t *name)
{
	uint64_t h = XXH3_64bits(name, FP_CLAIM_NAME_BYTES);

	return &c->chains[h & (c->n_chains - 1)];
}

static struct entry *find(const struct fp_claims *c, const uint8_t *name)
{
	struct entry *e = *chain_of(c, name);

	while (e && memcmp(e->claim.name, name, FP_CLAIM_NAME_BYTES) != 0)
		e = e->chain;
	return e;
}

/* Doubles the number of chains; keeps the old ones if memory is exhausted. */
static void grow_index(struct fp_claims *c)
{
	struct entry **old = c->chains;
	struct entry **head;
	struct entry *e;

	if (c->n_claims < c->n_chains)
		return;
	c->chains = calloc((size_t)c->n_chains * 2, sizeof(struct entry *));
	if (!c->chains) {
		c->chains = old;
		return;
	}
	free(old);
	c->n_chains *= 2;
	for (e = c->oldest; e; e = e->newer) {
		head = chain_of(c, e->claim.name);
		e->chain = *head;
		*head = e;
	}
}

/* Inserts by time of creation; nearly always at the newest end. */
static void insert_by_age(struct fp_claims *c, struct entry *e)
{
	struct entry *before = c->newest; /* older neighbour of e */

	while (before && before->claim.created_us > e->claim.created_us)
		before = before->older;
	e->older = before;
	e->newer = before ? before->newer : c->oldest;
	if (e->newer)
		e->newer->older = e;
	else
		c->newest = e;
	if (before)
		before->newer = e;
	else
		c->oldest = e;
}

static void remove_by_age(struct fp_claims *c, struct entry *e)
{
	if (e->older)
		e->older->newer = e->newer;
	else
		c->oldest = e->newer;
	if (e->newer)
		e->newer->older = e->older;
	else
		c->newest = e->older;
}

static void drop_answer(struct fp_claims *c, struct entry *e)
{
	c->answer_bytes -= e->claim.answer_bytes;
	free(e->claim.answer);
	e->claim.answer = NULL;
	e->claim.answer_bytes = 0;
}

/* Stores a copy of an answer if the limits allow it. */
static void keep_answer(struct fp_claims *c, struct entry *e,
			const uint8_t *answer, uint32_t n)
{
	drop_answer(c, e);
	if (!answer || n == 0 || n > FP_CLAIM_ANSWER_BYTES ||
	    n > c->max_answer_bytes - c->answer_bytes)
		return;
	e->claim.answer = malloc(n);
	if (!e->claim.answer)
		return;
	memcpy(e->claim.answer, answer, n);
	e->claim.answer_bytes = n;
	c->answer_bytes += n;
}

static void remove_entry(struct fp_claims *c, struct entry *e)
{
	struct entry **p = chain_of(c, e->claim.name);

	while (*p != e)
		p = &(*p)->chain;
	*p = e->chain;
	remove_by_age(c, e);
	drop_answer(c, e);
	c->n_claims--;
	free(e);
}

static struct entry *add_entry(struct fp_claims *c, const uint8_t *name,
			       int64_t created_us)
{
	struct entry **head;
	struct entry *e;

	if (c->n_claims >= c->max_claims)
		return NULL;
	e = calloc(1, sizeof(*e));
	if (!e)
		return NULL;
	grow_index(c);
	memcpy(e->claim.name, name, FP_CLAIM_NAME_BYTES);
	e->claim.created_us = created_us;
	head = chain_of(c, name);
	e->chain = *head;
	*head = e;
	insert_by_age(c, e);
	c->n_claims++;
	return e;
}

struct fp_claims *fp_claims_init(uint32_t max_claims, uint64_t max_bytes,
				 int64_t lifetime_us)
{
	struct fp_claims *c = calloc(1, sizeof(*c));
	uint64_t fixed;

	if (!c)
		return NULL;
	c->chains = calloc(INITIAL_CHAINS, sizeof(struct entry *));
	if (!c->chains) {
		free(c);
		return NULL;
	}
	if (max_claims > max_bytes / FP_CLAIM_FIXED_BYTES)
		max_claims = (uint32_t)(max_bytes / FP_CLAIM_FIXED_BYTES);
	fixed = (uint64_t)max_claims * FP_CLAIM_FIXED_BYTES;
	c->n_chains = INITIAL_CHAINS;
	c->max_claims = max_claims;
	c->max_answer_bytes = max_bytes - fixed;
	c->lifetime_us = lifetime_us;
	return c;
}

enum fp_status fp_claims_take(struct fp_claims *c,
			      const uint8_t name[FP_CLAIM_NAME_BYTES],
			      uint64_t fingerprint, uint64_t attempt,
			      int64_t now_us, const struct fp_claim **found)
{
	struct entry *e;

	*found = NULL;
	fp_claims_expire(c, now_us);
	e = find(c, name);
	if (!e) {
		e = add_entry(c, name, now_us);
		if (!e)
			return fp_fail(FP_FULL, "the table is full: %u claims",
				       c->n_claims);
		e->claim.fingerprint = fingerprint;
		e->claim.attempt_id = attempt;
		e->claim.state = FP_CLAIM_PENDING;
	}
	*found = &e->claim;
	if (e->claim.fingerprint != fingerprint)
		return fp_fail(FP_INVALID,
			       "the claim belongs to a different request");
	if (e->claim.attempt_id == attempt &&
	    e->claim.state == FP_CLAIM_PENDING)
		return FP_OK;
	return fp_fail(FP_CONFLICT, "the claim is already taken");
}

enum fp_status fp_claims_finish(struct fp_claims *c,
				const uint8_t name[FP_CLAIM_NAME_BYTES],
				uint64_t attempt, enum fp_claim_state state,
				int32_t http_status, const uint8_t *answer,
				uint32_t answer_bytes, int64_t now_us)
{
	struct entry *e;

	if (state != FP_CLAIM_DONE && state != FP_CLAIM_UNKNOWN)
		return fp_fail(
			FP_INVALID,
			"the final state of a claim must be done or unknown");
	fp_claims_expire(c, now_us);
	e = find(c, name);
	if (!e)
		return fp_fail(FP_NOT_FOUND, "no claim of that name");
	if (e->claim.attempt_id != attempt)
		return fp_fail(FP_CONFLICT,
			       "the claim belongs to another attempt");
	if (e->claim.state == FP_CLAIM_DONE)
		return state == FP_CLAIM_DONE ?
			       FP_OK :
			       fp_fail(FP_CONFLICT,
				       "the claim is already done");
	e->claim.state = state;
	e->claim.http_status = http_status;
	keep_answer(c, e, answer, answer_bytes);
	return FP_OK;
}

enum fp_status fp_claims_release(struct fp_claims *c,
				 const uint8_t name[FP_CLAIM_NAME_BYTES],
				 uint64_t attempt, int64_t now_us)
{
	struct entry *e;

	fp_claims_expire(c, now_us);
	e = find(c, name);
	if (!e)
		return fp_fail(FP_NOT_FOUND, "no claim of that name");
	if (e->claim.attempt_id != attempt ||
	    e->claim.state != FP_CLAIM_PENDING)
		return fp_fail(FP_CONFLICT,
			       "the claim is not pending under this attempt");
	remove_entry(c, e);
	return FP_OK;
}

enum fp_status fp_claims_put(struct fp_claims *c, const struct fp_claim *claim,
			     int64_t now_us)
{
	int64_t created_us = claim->created_us;
	struct entry *e;

	if (created_us > now_us)
		created_us = now_us;
	fp_claims_expire(c, now_us);
	if (created_us + c->lifetime_us <= now_us)
		return fp_fail(FP_NOT_FOUND, "the claim has expired");
	e = find(c, claim->name);
	if (!e)
		e = add_entry(c, claim->name, created_us);
	if (!e)
		return fp_fail(FP_FULL, "the table is full: %u claims",
			       c->n_claims);
	remove_by_age(c, e);
	e->claim.created_us = created_us;
	insert_by_age(c, e);
	e->claim.fingerprint = claim->fingerprint;
	e->claim.attempt_id = claim->attempt_id;
	e->claim.state = claim->state;
	e->claim.http_status = claim->http_status;
	keep_answer(c, e, claim->answer, claim->answer_bytes);
	return FP_OK;
}

void fp_claims_drop(struct fp_claims *c,
		    const uint8_t name[FP_CLAIM_NAME_BYTES])
{
	struct entry *e = find(c, name);

	if (e)
		remove_entry(c, e);
}

const struct fp_claim *fp_claims_find(struct fp_claims *c,
				      const uint8_t name[FP_CLAIM_NAME_BYTES],
				      int64_t now_us)
{
	struct entry *e;

	fp_claims_expire(c, now_us);
	e = find(c, name);
	return e ? &e->claim : NULL;
}

void fp_claims_for_each(const struct fp_claims *c,
			void (*fn)(void *ctx, const struct fp_claim *claim),
			void *ctx)
{
	const struct entry *e;

	for (e = c->oldest; e; e = e->newer)
		fn(ctx, &e->claim);
}

uint32_t fp_claims_expire(struct fp_claims *c, int64_t now_us)
{
	struct entry *next;
	struct entry *e;
	uint32_t n = 0;

	for (e = c->oldest; e; e = next) {
		if (e->claim.created_us + c->lifetime_us > now_us)
			break;
		next = e->newer;
		remove_entry(c, e);
		n++;
	}
	return n;
}

void fp_claims_count(const struct fp_claims *c, uint32_t *claims,
		     uint64_t *bytes)
{
	*claims = c->n_claims;
	*bytes = c->answer_bytes + (uint64_t)c->n_claims * FP_CLAIM_FIXED_BYTES;
}

void fp_claims_end(struct fp_claims *c)
{
	struct entry *next;
	struct entry *e;

	if (!c)
		return;
	for (e = c->oldest; e; e = next) {
		next = e->newer;
		free(e->claim.answer);
		free(e);
	}
	free(c->chains);
	free(c);
}
