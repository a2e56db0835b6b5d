/*
 * grants.c - tokens of one organisation held at an entry node
 *
 * A token held here saves a request the round trip to the bucket's owner, but
 * is not available elsewhere. So the number of prefetched tokens follows the
 * arrivals seen here: a smoothed arrival rate times the prefetch time
 * PREFETCH_US. That time is shortened so that all holders together hold at most
 * 1 / PREFETCH_DIVISOR of the burst (inside the rate, the arrivals at all
 * holders add up to at most the rate). If this gives less than one token,
 * nothing is prefetched and each request fetches its own token. A token request
 * is sent to the owner when half of the target is left, for the rest of the
 * target and for the requests that wait.
 *
 * A refusal shows that the bucket is empty. Then a token prefetched here may be
 * missing at another node, so nothing is prefetched for COOL_DOWN_US. A refusal
 * delays the next token request by at most MAX_BACKOFF_US, since other holders
 * may return tokens. Grants above twice the target, or older than
 * RETURN_AGE_US, are returned with all their unspent tokens.
 *
 * A grant expires FP_GRANT_HOLDER_US after the request for it, on this node's
 * clock, which is read at each take; so a process that was paused spends no
 * expired token. The forecast uses floating point; the limits do not depend on
 * it.
 */
#include "state/grants.h"

#include <math.h>
#include <stdlib.h>

#include "state/bucket.h"

#define PREFETCH_US	 200000.0 /* longest time of demand to prefetch for */
#define PREFETCH_DIVISOR 4.0 /* prefetched in total: burst / this */
#define SMOOTHING_US	 500000.0 /* time constant of the forecast */
/* no prefetch for this time after a refusal */
#define COOL_DOWN_US   INT64_C(1000000)
#define RETURN_AGE_US  INT64_C(500000) /* age at which tokens are returned */
#define MAX_BACKOFF_US INT64_C(10000) /* longest delay after a refusal */
#define MAX_HELD       64 /* grants held */

struct held_grant {
	uint64_t id;
	int64_t expires_us; /* own clock */
	int64_t added_us;
	uint32_t tokens; /* unspent */
};

struct fp_grants {
	/* read for every organisation at each tick, so together */
	double arrivals; /* count, decays with SMOOTHING_US */
	double prefetch_us; /* time of demand to prefetch for */
	uint32_t n_held;
	bool request_pending;
	int64_t arrivals_updated_us; /* last update of arrivals */
	int64_t requested_us; /* time of the pending request */
	int64_t next_request_us; /* after a refusal */
	int64_t cool_down_until_us; /* no prefetch before this time */
	struct held_grant held[MAX_HELD]; /* oldest first */
};

static void remove_grant(struct fp_grants *g, uint32_t i)
{
	g->n_held--;
	for (; i < g->n_held; i++)
		g->held[i] = g->held[i + 1];
}

static void drop_expired(struct fp_grants *g, int64_t now_us)
{
	uint32_t i = 0;

	while (i < g->n_held) {
		if (g->held[i].expires_us <= now_us)
			remove_grant(g, i);
		else
			i++;
	}
}

/* Updates the weighted count of arrivals to now_us. */
static void decay(struct fp_grants *g, int64_t now_us)
{
	int64_t elapsed_us = now_us - g->arrivals_updated_us;

	if (elapsed_us <= 0)
		return;
	g->arrivals *= exp(-(double)elapsed_us / SMOOTHING_US);
	g->arrivals_updated_us = now_us;
}

/* Number of tokens to prefetch. */
static uint32_t prefetch_target(struct fp_grants *g, int64_t now_us)
{
	if (now_us < g->cool_down_until_us)
		return 0;
	decay(g, now_us);
	return (uint32_t)(g->arrivals * g->prefetch_us / SMOOTHING_US);
}

bool fp_grants_is_idle(struct fp_grants *g, int64_t now_us)
{
	/* The count decays, so as it stands it is an upper limit. */
	return !g->n_held && (g->arrivals * g->prefetch_us < SMOOTHING_US ||
			      !prefetch_target(g, now_us));
}

struct fp_grants *fp_grants_init(void)
{
	return calloc(1, sizeof(struct fp_grants));
}

void fp_grants_set_rate(struct fp_grants *g, uint32_t rate_per_s,
			uint32_t burst)
{
	double max_prefetch_us;

	g->prefetch_us = PREFETCH_US;
	if (rate_per_s == 0)
		return;
	max_prefetch_us = (double)burst * 1e6 / (PREFETCH_DIVISOR * rate_per_s);
	if (max_prefetch_us < g->prefetch_us)
		g->prefetch_us = max_prefetch_us;
}

enum fp_status fp_grants_take(struct fp_grants *g, int64_t now_us)
{
	uint32_t i;

	drop_expired(g, now_us);
	for (i = 0; i < g->n_held; i++) {
		if (g->held[i].tokens == 0)
			continue;
		g->held[i].tokens--;
		return FP_OK;
	}
	return FP_AGAIN;
}

void fp_grants_count_demand(struct fp_grants *g, int64_t now_us)
{
	decay(g, now_us);
	g->arrivals += 1.0;
}

uint32_t fp_grants_request_size(struct fp_grants *g, uint32_t waiting,
				int64_t now_us)
{
	uint32_t available = fp_grants_available(g, now_us);
	uint32_t prefetch = prefetch_target(g, now_us);

	if (g->request_pending || now_us < g->next_request_us ||
	    g->n_held == MAX_HELD)
		return 0;
	if (waiting > available)
		return waiting - available + prefetch;
	available -= waiting;
	return available <= prefetch / 2 ? prefetch - available : 0;
}

void fp_grants_requested(struct fp_grants *g, int64_t now_us)
{
	g->request_pending = true;
	g->requested_us = now_us;
}

enum fp_status fp_grants_add(struct fp_grants *g, uint64_t grant_id,
			     uint32_t tokens, int64_t requested_us,
			     int64_t now_us)
{
	struct held_grant *h;

	if (!g->request_pending || requested_us != g->requested_us)
		return fp_fail(FP_CONFLICT,
			       "no request of that time is pending");
	g->request_pending = false;
	drop_expired(g, now_us);
	if (requested_us + FP_GRANT_HOLDER_US <= now_us)
		return fp_fail(FP_TIMEOUT, "the grant has expired");
	if (g->n_held == MAX_HELD)
		return fp_fail(FP_FULL, "the maximum of %d grants is held",
			       MAX_HELD);
	h = &g->held[g->n_held++];
	h->id = grant_id;
	h->tokens = tokens;
	h->expires_us = requested_us + FP_GRANT_HOLDER_US;
	h->added_us = now_us;
	return FP_OK;
}

void fp_grants_refused(struct fp_grants *g, int64_t wait_us, int64_t now_us)
{
	g->request_pending = false;
	g->next_request_us =
		now_us + (wait_us < MAX_BACKOFF_US ? wait_us : MAX_BACKOFF_US);
	g->cool_down_until_us = now_us + COOL_DOWN_US;
}

void fp_grants_request_lost(struct fp_grants *g, int64_t now_us)
{
	g->request_pending = false;
	g->next_request_us = now_us;
}

enum fp_status fp_grants_take_surplus(struct fp_grants *g, int64_t now_us,
				      uint64_t *grant_id, uint32_t *tokens)
{
	uint32_t available = fp_grants_available(g, now_us);
	uint32_t keep = 2 * prefetch_target(g, now_us);
	const struct held_grant *h;
	uint32_t i;

	for (i = 0; i < g->n_held; i++) {
		h = &g->held[i];
		if (h->tokens > 0 && available - h->tokens < keep &&
		    now_us - h->added_us < RETURN_AGE_US)
			continue;
		*grant_id = h->id;
		*tokens = h->tokens;
		remove_grant(g, i);
		return FP_OK;
	}
	return FP_NOT_FOUND;
}

uint32_t fp_grants_peek(const struct fp_grants *g, int64_t now_us)
{
	uint32_t available = 0;
	uint32_t i;

	for (i = 0; i < g->n_held; i++)
		if (g->held[i].expires_us > now_us)
			available += g->held[i].tokens;
	return available;
}

uint32_t fp_grants_available(struct fp_grants *g, int64_t now_us)
{
	drop_expired(g, now_us);
	return fp_grants_peek(g, now_us);
}

void fp_grants_end(struct fp_grants *g)
{
	free(g);
}
