/*
 * poison.c - holds back requests that were in flight when two workers crashed
 *
 * Each fingerprint that was in flight at a crash becomes a suspect. It stores
 * the crashes at which it was seen, so that a report that arrives twice counts
 * once. At the second crash the fingerprint is held back. After the hold time
 * it remains a suspect for the same time again: if it was the cause, one more
 * crash instead of two holds it back. Requests that were in flight together
 * with it are retried on other workers, so at their next crash, if any, they
 * run beside different requests.
 *
 * The table is a fixed array of small sets. A full set evicts the entry that
 * expires first, suspects before held ones: the loss of a failure domain
 * creates many suspects, which must not release a request that is known to
 * crash workers.
 */
#include "state/poison.h"

#include <stdbool.h>
#include <stdlib.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define TABLE_SETS  1024 /* sets; a power of two */
#define SET_ENTRIES 8 /* fingerprints per set: 512 KiB in total */
#define MAX_CRASHES 4 /* crashes stored per fingerprint */
/* a fingerprint is held back from this crash on */
#define CRASHES_TO_HOLD 2

struct suspect {
	uint64_t fingerprint;
	uint64_t crashes[MAX_CRASHES]; /* ring of the newest crash ids */
	uint32_t n_crashes; /* distinct crashes reported; 0: free entry */
	int64_t last_us; /* time of the newest distinct crash */
	bool held; /* held back at the newest crash */
};

struct fp_poison {
	int64_t hold_us;
	struct suspect table[TABLE_SETS][SET_ENTRIES];
};

struct fp_poison *fp_poison_init(int64_t hold_us)
{
	struct fp_poison *p = calloc(1, sizeof(*p));

	if (p)
		p->hold_us = hold_us;
	return p;
}

static bool is_held(const struct fp_poison *p, const struct suspect *s,
		    int64_t now_us)
{
	return s->held && now_us - s->last_us < p->hold_us;
}

/* When an entry expires: after one hold time for a suspect, two if held. */
static int64_t expires_us(const struct fp_poison *p, const struct suspect *s)
{
	return s->last_us + p->hold_us * (s->held ? 2 : 1);
}

static struct suspect *suspect_set(struct fp_poison *p, uint64_t fingerprint)
{
	uint64_t h = XXH64(&fingerprint, sizeof(fingerprint), 0);

	return p->table[h & (TABLE_SETS - 1)];
}

static struct suspect *find(struct fp_poison *p, uint64_t fingerprint,
			    int64_t now_us)
{
	struct suspect *set = suspect_set(p, fingerprint);
	int i;

	for (i = 0; i < SET_ENTRIES; i++)
		if (set[i].n_crashes && set[i].fingerprint == fingerprint &&
		    now_us < expires_us(p, &set[i]))
			return &set[i];
	return NULL;
}

/* Whether a should be evicted before b. */
static bool is_evicted_before(const struct fp_poison *p,
			      const struct suspect *a, const struct suspect *b,
			      int64_t now_us)
{
	bool a_held = is_held(p, a, now_us);
	bool b_held = is_held(p, b, now_us);

	if (a_held != b_held)
		return b_held;
	return expires_us(p, a) < expires_us(p, b);
}

static struct suspect *evict_entry(struct fp_poison *p, uint64_t fingerprint,
				   int64_t now_us)
{
	struct suspect *set = suspect_set(p, fingerprint);
	struct suspect *least = &set[0];
	int i;

	for (i = 0; i < SET_ENTRIES; i++) {
		if (set[i].n_crashes == 0 ||
		    set[i].fingerprint == fingerprint) {
			least = &set[i];
			break;
		}
		if (is_evicted_before(p, &set[i], least, now_us))
			least = &set[i];
	}
	*least = (struct suspect){ .fingerprint = fingerprint };
	return least;
}

static bool is_reported_crash(const struct suspect *s, uint64_t crash_id)
{
	uint32_t i;

	for (i = 0; i < s->n_crashes && i < MAX_CRASHES; i++)
		if (s->crashes[i] == crash_id)
			return true;
	return false;
}

enum fp_status fp_poison_report(struct fp_poison *p, uint64_t fingerprint,
				uint64_t crash_id, int64_t now_us)
{
	struct suspect *s = find(p, fingerprint, now_us);

	if (!s)
		s = evict_entry(p, fingerprint, now_us);
	if (!is_reported_crash(s, crash_id)) {
		s->crashes[s->n_crashes % MAX_CRASHES] = crash_id;
		s->n_crashes++;
		s->last_us = now_us;
		s->held = s->n_crashes >= CRASHES_TO_HOLD;
	}
	return is_held(p, s, now_us) ? FP_OK : FP_AGAIN;
}

enum fp_status fp_poison_check(struct fp_poison *p, uint64_t fingerprint,
			       int64_t now_us, int64_t *wait_us)
{
	const struct suspect *s = find(p, fingerprint, now_us);

	if (!s || !is_held(p, s, now_us))
		return FP_OK;
	*wait_us = s->last_us + p->hold_us - now_us;
	return FP_DENIED;
}

void fp_poison_end(struct fp_poison *p)
{
	free(p);
}
