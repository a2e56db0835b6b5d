/*
 * bucket.c - token bucket of an organisation, kept by its owner
 *
 * Invariant: in every window of t seconds, all holders together spend at most
 * burst + rate * t tokens. It follows from two facts.
 *
 * 1. At any time tokens + outstanding <= burst. outstanding counts each granted
 *    token until its holder closed the grant, or the grant expired at
 *    FP_GRANT_OWNER_US, after which no holder can spend it. Tokens spent inside
 *    a window that come from earlier grants are outstanding at its start; all
 *    others must be granted from the tokens available then and from those added
 *    inside the window.
 * 2. Refill is no faster than the rate in true time. The owner's clock may run
 *    fast, so MAX_DRIFT out of DRIFT_SCALE of the measured time is left out;
 *    the remainder of each division is carried over. Clock readings and that
 *    remainder are integer microseconds, so the refill of up to ROUNDING_US may
 *    still be added in excess between two moments. This matters only in a
 *    window that starts with a full bucket. So a bucket that becomes full skips
 *    ROUNDING_US of refill, and one that lacks less than ROUNDING_US of refill
 *    is reduced until it lacks exactly that.
 *
 * Tokens are counted in integer millionths: a rate per second is then the
 * refill per microsecond and nothing is rounded. Tokens that do not fit are not
 * added. Hence holders also report spent grants (a return of zero tokens);
 * otherwise a burst smaller than the rate times FP_GRANT_OWNER_US would
 * throttle the organisation below its rate.
 *
 * A planned successor continues with the exact state. Fact 1 holds for it as
 * for the exporter: tokens and outstanding are the same, and all outstanding
 * tokens remain so until the last grant has expired. Fact 2 holds since it
 * starts to refill no earlier than the exporter would have: add_drift() adds
 * the drift of the clocks, and ROUNDING_US for the reading of its own.
 *
 * All grants have the same lifetime, so they expire in the order of their ids.
 * Open grants are kept in a ring indexed by id; closed ones are removed when
 * they reach its head. This needs no search and no timer.
 */
#include "state/bucket.h"

#include <stdlib.h>

#define MICRO	    INT64_C(1000000) /* millionths of a token */
#define DRIFT_SCALE 10000
#define MAX_DRIFT   1 /* 100 ppm, the maximum drift of a clock */
#define ROUNDING_US 2 /* maximum error of a reading and of the remainder */
/* polling interval when open grants leave no room */
#define RETRY_US      INT64_C(5000)
#define INITIAL_SLOTS 64 /* a power of two */
#define EPOCH_SHIFT   40 /* bits of a grant id below the epoch */

struct grant {
	int64_t end_us; /* owner's clock */
	uint32_t tokens; /* 0: closed */
};

struct fp_bucket {
	uint32_t rate_per_s;
	uint32_t burst;
	int64_t tokens_micro; /* available tokens, millionths */
	int64_t outstanding; /* tokens in open grants, not millionths */
	int64_t refilled_us; /* tokens are added up to this time */
	int64_t carry; /* remainder of the last refill, 1 / DRIFT_SCALE us */
	uint64_t head_id; /* id of the oldest grant in the ring */
	uint32_t n_grants; /* grants from head_id on, open or closed */
	uint32_t ring_slots; /* a power of two; 0 before the first grant */
	struct grant *ring; /* indexed by id modulo ring_slots */
};

static struct grant *grant_slot(const struct fp_bucket *b, uint64_t id)
{
	return &b->ring[id & (b->ring_slots - 1)];
}

/* Maximum of tokens_micro now; never negative. */
static int64_t capacity_micro(const struct fp_bucket *b)
{
	int64_t room = (int64_t)b->burst - b->outstanding;

	return room > 0 ? room * MICRO : 0;
}

/* Limits the tokens to the capacity; compensates for rounding at and near
 * it. */
static void limit_to_capacity(struct fp_bucket *b, int64_t now_us)
{
	int64_t full_micro = capacity_micro(b);
	int64_t near_full_micro =
		full_micro - ROUNDING_US * (int64_t)b->rate_per_s;

	if (b->tokens_micro >= full_micro) {
		b->tokens_micro = full_micro;
		b->carry = 0;
		if (b->refilled_us < now_us + ROUNDING_US)
			b->refilled_us = now_us + ROUNDING_US;
	} else if (b->tokens_micro > near_full_micro) {
		b->tokens_micro = near_full_micro > 0 ? near_full_micro : 0;
	}
}

/* Adds tokens for the time since refilled_us with the present outstanding
 * grants. */
static void refill_until(struct fp_bucket *b, int64_t until_us)
{
	int64_t elapsed_us = until_us - b->refilled_us;
	int64_t missing_micro = capacity_micro(b) - b->tokens_micro;
	int64_t whole_us;

	if (elapsed_us <= 0)
		return;
	b->refilled_us = until_us;
	whole_us = elapsed_us / DRIFT_SCALE * (DRIFT_SCALE - MAX_DRIFT);
	b->carry += elapsed_us % DRIFT_SCALE * (DRIFT_SCALE - MAX_DRIFT);
	whole_us += b->carry / DRIFT_SCALE;
	b->carry %= DRIFT_SCALE;
	if (b->rate_per_s == 0 || missing_micro <= 0)
		return;
	if (whole_us > missing_micro / b->rate_per_s)
		b->tokens_micro += missing_micro;
	else
		b->tokens_micro += whole_us * b->rate_per_s;
}

static void drop_closed_grants(struct fp_bucket *b)
{
	while (b->n_grants > 0 && grant_slot(b, b->head_id)->tokens == 0) {
		b->head_id++;
		b->n_grants--;
	}
}

/* Expires grants in order of time and refills up to each expiry. */
static void advance(struct fp_bucket *b, int64_t now_us)
{
	struct grant *g;

	drop_closed_grants(b);
	while (b->n_grants > 0) {
		g = grant_slot(b, b->head_id);
		if (g->end_us > now_us)
			break;
		refill_until(b, g->end_us);
		limit_to_capacity(b, g->end_us);
		b->outstanding -= g->tokens;
		g->tokens = 0;
		drop_closed_grants(b);
	}
	refill_until(b, now_us);
	limit_to_capacity(b, now_us);
}

static bool ensure_slot(struct fp_bucket *b)
{
	struct grant *old = b->ring;
	uint32_t old_slots = b->ring_slots;
	struct grant *ring;
	uint32_t slots;
	uint32_t i;

	if (b->n_grants < b->ring_slots)
		return true;
	if (old_slots >= FP_BUCKET_MAX_GRANTS)
		return false;
	slots = old_slots > 0 ? old_slots * 2 : INITIAL_SLOTS;
	ring = calloc(slots, sizeof(*ring));
	if (!ring)
		return false;
	b->ring = ring;
	b->ring_slots = slots;
	for (i = 0; i < b->n_grants; i++)
		*grant_slot(b, b->head_id + i) =
			old[(b->head_id + i) & (old_slots - 1)];
	free(old);
	return true;
}

/* Time until one complete token is available; RETRY_US if that depends on open
 * grants or if the bucket does not refill. */
static int64_t token_wait_us(const struct fp_bucket *b, int64_t now_us)
{
	int64_t missing_micro = MICRO - b->tokens_micro;
	int64_t start_us =
		b->refilled_us > now_us ? b->refilled_us - now_us : 0;

	if (b->rate_per_s == 0 || capacity_micro(b) < MICRO)
		return RETRY_US;
	return start_us +
	       (missing_micro / b->rate_per_s + 1) * DRIFT_SCALE /
		       (DRIFT_SCALE - MAX_DRIFT) +
	       1;
}

struct fp_bucket *fp_bucket_init(uint32_t rate_per_s, uint32_t burst,
				 uint64_t owner_epoch, int64_t start_us)
{
	struct fp_bucket *b = calloc(1, sizeof(*b));

	if (!b)
		return NULL;
	b->rate_per_s = rate_per_s;
	b->burst = burst;
	b->head_id = owner_epoch << EPOCH_SHIFT;
	b->refilled_us = start_us;
	return b;
}

struct fp_bucket *fp_bucket_init_full(uint32_t rate_per_s, uint32_t burst,
				      uint64_t owner_epoch, int64_t now_us)
{
	struct fp_bucket *b =
		fp_bucket_init(rate_per_s, burst, owner_epoch, now_us);

	if (b)
		b->tokens_micro = capacity_micro(b);
	return b;
}

void fp_bucket_set_rate(struct fp_bucket *b, uint32_t rate_per_s,
			uint32_t burst, int64_t now_us)
{
	advance(b, now_us);
	b->rate_per_s = rate_per_s;
	b->burst = burst;
	limit_to_capacity(b, now_us);
}

enum fp_status fp_bucket_grant(struct fp_bucket *b, uint32_t want,
			       int64_t now_us, uint64_t *grant_id,
			       uint32_t *granted, int64_t *wait_us)
{
	struct grant *g;
	int64_t n;

	advance(b, now_us);
	n = b->tokens_micro / MICRO;
	if (n > want)
		n = want;
	if (n == 0) {
		*wait_us = token_wait_us(b, now_us);
		return fp_fail(FP_EXHAUSTED, "no token available");
	}
	if (!ensure_slot(b)) {
		*wait_us = RETRY_US;
		return fp_fail(FP_EXHAUSTED, "too many open grants: %u",
			       b->n_grants);
	}
	b->tokens_micro -= n * MICRO;
	b->outstanding += n;
	*grant_id = b->head_id + b->n_grants++;
	*granted = (uint32_t)n;
	g = grant_slot(b, *grant_id);
	g->tokens = (uint32_t)n;
	g->end_us = now_us + FP_GRANT_OWNER_US;
	return FP_OK;
}

enum fp_status fp_bucket_return(struct fp_bucket *b, uint64_t grant_id,
				uint32_t unspent, int64_t now_us)
{
	struct grant *g;

	advance(b, now_us);
	if (grant_id - b->head_id >= b->n_grants)
		return fp_fail(FP_NOT_FOUND, "the grant has expired");
	g = grant_slot(b, grant_id);
	if (g->tokens == 0)
		return fp_fail(FP_NOT_FOUND, "the grant was already returned");
	if (unspent > g->tokens)
		return fp_fail(FP_INVALID,
			       "return of %u tokens from a grant of %u",
			       unspent, g->tokens);
	b->outstanding -= g->tokens;
	g->tokens = 0;
	b->tokens_micro += unspent * MICRO;
	limit_to_capacity(b, now_us);
	drop_closed_grants(b);
	return FP_OK;
}

/* Expiry of the last open grant; now_us when none is open. */
static int64_t last_expiry_us(const struct fp_bucket *b, int64_t now_us)
{
	int64_t end_us = now_us;
	uint32_t i;

	for (i = 0; i < b->n_grants; i++) {
		const struct grant *g = grant_slot(b, b->head_id + i);

		if (g->tokens > 0 && g->end_us > end_us)
			end_us = g->end_us;
	}
	return end_us;
}

void fp_bucket_export(struct fp_bucket *b, int64_t now_us,
		      struct fp_bucket_state *out)
{
	advance(b, now_us);
	out->tokens_micro = b->tokens_micro;
	out->outstanding = (uint32_t)b->outstanding;
	out->outstanding_left_us = last_expiry_us(b, now_us) - now_us;
	out->refill_delay_us =
		b->refilled_us > now_us ? b->refilled_us - now_us : 0;
	b->tokens_micro = 0;
	b->rate_per_s = 0;
}

/* Converts a time span of another clock to this one, increased by the maximum
 * drift of both clocks. */
static int64_t add_drift(int64_t span_us)
{
	return span_us + span_us * 2 * MAX_DRIFT / DRIFT_SCALE + ROUNDING_US;
}

static bool is_valid(const struct fp_bucket_state *s)
{
	return s->tokens_micro >= 0 && s->outstanding_left_us >= 0 &&
	       s->refill_delay_us >= 0 &&
	       s->outstanding_left_us <= FP_BUCKET_MAX_SPAN_US &&
	       s->refill_delay_us <= FP_BUCKET_MAX_SPAN_US;
}

struct fp_bucket *fp_bucket_import(uint32_t rate_per_s, uint32_t burst,
				   uint64_t owner_epoch, int64_t now_us,
				   const struct fp_bucket_state *state)
{
	struct fp_bucket *b;
	struct grant *g;

	if (!is_valid(state))
		return NULL;
	b = fp_bucket_init(rate_per_s, burst, owner_epoch,
			   now_us + add_drift(state->refill_delay_us));
	if (!b || !ensure_slot(b)) {
		fp_bucket_end(b);
		return NULL;
	}
	b->tokens_micro = state->tokens_micro;
	b->outstanding = state->outstanding;
	g = grant_slot(b, b->head_id);
	g->tokens = state->outstanding;
	g->end_us = now_us + add_drift(state->outstanding_left_us);
	b->n_grants = 1;
	limit_to_capacity(b, now_us);
	return b;
}

void fp_bucket_read(struct fp_bucket *b, int64_t now_us, uint32_t *tokens,
		    uint32_t *outstanding)
{
	advance(b, now_us);
	*tokens = (uint32_t)(b->tokens_micro / MICRO);
	*outstanding = (uint32_t)b->outstanding;
}

void fp_bucket_end(struct fp_bucket *b)
{
	if (!b)
		return;
	free(b->ring);
	free(b);
}
