/* test_rate.cc - rate and burst limits across the fleet: buckets, holders */
#include <gtest/gtest.h>

#include <cinttypes>
#include <cstdio>

#include "rate_sim.h"

using rate::Policy;
using rate::Random;
using rate::Result;
using rate::Rules;
using rate::Setup;
using rate::Sim;

namespace
{

constexpr int SCHEDULES = 3000;

/* Holders with large stocks of tokens, owner restarts, and bursts of demand
 * after quiet periods. */
void set_stockpiling(Setup *s, Random &rnd)
{
	s->policy = Policy::FIXED;
	s->quiet_then_flood = true;
	s->kill_permille = (int)rnd.pick({ 0, 100, 200 });
	s->holders = 6;
	s->rate = rnd.pick({ 50, 100, 200 });
	s->burst = rnd.pick({ 10, 30 });
}

Setup schedule(uint64_t seed, const Rules &rules)
{
	Random rnd(seed + 1000003);
	Setup s;

	s.seed = seed;
	s.holders = (int)rnd.range(1, 6);
	s.rate = rnd.pick({ 5, 20, 100, 400 });
	s.burst = rnd.pick({ 1, 3, 10, 50, 200 });
	s.late_permille = (int)rnd.pick({ 5, 30, 200 });
	s.duplicate_permille = (int)rnd.pick({ 5, 30, 300 });
	s.return_permille = (int)rnd.pick({ 0, 1, 10, 200 });
	/* In half of the schedules holders request more than they need. */
	s.policy = rnd.chance(500) ? Policy::FIXED : Policy::FOLLOW;
	if (seed % 3 == 0)
		set_stockpiling(&s, rnd);
	s.rules = rules;
	return s;
}

bool bound_kept(uint64_t seed, const Rules &rules)
{
	return Sim(schedule(seed, rules)).run().bound_kept;
}

/* A rule, and the seed of a schedule that exceeds the bound without it. */
struct Regression {
	const char *rule;
	Rules without;
	uint64_t seed;
};

std::vector<Regression> regressions()
{
	std::vector<Regression> list(9);
	size_t i = 0;

	list[i] = { "a grant removes its tokens at once", Rules(), 2 };
	list[i].without.use_test_bucket = true;
	list[i++].without.subtract_at_grant = false;
	list[i] = { "outstanding grants reduce the room", Rules(), 3 };
	list[i].without.use_test_bucket = true;
	list[i++].without.room_counts_outstanding = false;
	list[i] = { "a grant is returned once", Rules(), 516 };
	list[i].without.use_test_bucket = true;
	list[i++].without.return_once = false;
	list[i] = { "the holder counts a grant's lifetime from its request",
		    Rules(), 50 };
	list[i++].without.count_from_request = false;
	list[i] = { "a grant expires at its holder first", Rules(), 3882 };
	list[i++].without.holder_expires_first = false;
	list[i] = { "a new owner starts empty", Rules(), 82 };
	list[i++].without.new_owner_empty = false;
	list[i] = { "a new owner refills only after old grants expire", Rules(),
		    189 };
	list[i++].without.new_owner_waits = false;
	list[i] = { "an owner acts only under a lease", Rules(), 383 };
	list[i++].without.lease_checked = false;
	list[i] = { "a response is accepted once", Rules(), 8 };
	list[i++].without.response_once = false;
	return list;
}

} // namespace

TEST(Rate, BoundHoldsOverRandomSchedules)
{
	int64_t admitted = 0;
	int64_t owners = 0;

	for (int seed = 1; seed <= SCHEDULES; seed++) {
		Result r = Sim(schedule((uint64_t)seed, Rules())).run();

		ASSERT_TRUE(r.bound_kept) << "seed " << seed;
		admitted += r.admitted;
		owners += r.owners;
	}
	printf("%d schedules, seeds 1 to %d: %" PRId64 " admitted, %" PRId64
	       " owners\n",
	       SCHEDULES, SCHEDULES, admitted, owners);
	EXPECT_GT(admitted, SCHEDULES * 50);
	EXPECT_GT(owners, SCHEDULES * 2);
}

TEST(Rate, EveryDisabledRuleIsDetected)
{
	Rules plain;

	plain.use_test_bucket = true;
	for (const auto &r : regressions()) {
		EXPECT_TRUE(bound_kept(r.seed, Rules())) << r.rule;
		EXPECT_TRUE(bound_kept(r.seed, plain)) << r.rule;
		EXPECT_FALSE(bound_kept(r.seed, r.without)) << r.rule;
		printf("without \"%s\": violated at seed %" PRIu64 "\n", r.rule,
		       r.seed);
	}
}

namespace
{

/* An unspent grant of the previous owner is returned late, to the new one. */
bool late_return_keeps_bound(uint64_t new_epoch)
{
	constexpr int64_t S = rate::MICRO;
	rate::WindowCheck check(10, 5);
	fp_bucket *old = fp_bucket_init_full(10, 5, 1, 0);
	fp_bucket *b = fp_bucket_init(10, 5, new_epoch, 2 * S);
	uint64_t late, id;
	uint32_t n, more = 0;
	int64_t wait_us;
	bool kept = true;

	fp_bucket_grant(old, 5, 0, &late, &n, &wait_us);
	fp_bucket_grant(b, 5, 3 * S, &id, &n, &wait_us);
	fp_bucket_return(b, late, 5, 3 * S);
	fp_bucket_grant(b, 5, 3 * S, &id, &more, &wait_us);
	for (n += more; n > 0; n--)
		kept &= check.admit(3 * S);
	fp_bucket_end(old);
	fp_bucket_end(b);
	return kept;
}

} // namespace

TEST(Rate, LateReturnToANewOwnerIsIgnored)
{
	EXPECT_TRUE(late_return_keeps_bound(2));
	EXPECT_FALSE(late_return_keeps_bound(1)) << "same epoch in the ids";
}

namespace
{

/* Eight organisations, a few of them large. */
const struct {
	int64_t rate, burst;
} ORGS[] = { { 5, 10 },	   { 10, 20 },	 { 20, 20 },   { 50, 50 },
	     { 100, 200 }, { 200, 200 }, { 500, 250 }, { 1000, 1000 } };

Result steady(int64_t rate_per_s, int64_t burst, int holders, double demand,
	      Policy policy, int64_t seconds = 30)
{
	Setup s;

	s.seed = (uint64_t)(rate_per_s * 131 + holders);
	s.holders = holders;
	s.rate = rate_per_s;
	s.burst = burst;
	s.faults = false;
	s.run_us = seconds * rate::MICRO;
	s.demand = demand;
	s.policy = policy;
	return Sim(s).run();
}

void add(Result *sum, const Result &r)
{
	sum->requests += r.requests;
	sum->at_once += r.at_once;
	sum->refused += r.refused;
	sum->refused_in_rate += r.refused_in_rate;
	sum->central_refused += r.central_refused;
	sum->central_admits += r.central_admits;
	sum->messages += r.messages;
	sum->bound_kept &= r.bound_kept;
}

Result fleet(int holders, double demand, Policy policy)
{
	Result sum;

	for (const auto &o : ORGS)
		add(&sum, steady(o.rate, o.burst, holders, demand, policy));
	return sum;
}

void print_steady(const char *policy, double demand, int holders,
		  const Result &r)
{
	double n = (double)r.requests;

	printf("%s: demand %.2f, holders %2d: %" PRId64 " requests, %" PRId64
	       " refused (one bucket: %" PRId64 "), in rate %.4f %%, admitted "
	       "by one bucket %.4f %%, at once %.3f, messages a request "
	       "%.2f\n",
	       policy, demand, holders, r.requests, r.refused,
	       r.central_refused, 100.0 * (double)r.refused_in_rate / n,
	       100.0 * (double)r.central_admits / n, (double)r.at_once / n,
	       (double)r.messages / n);
}

} // namespace

TEST(Rate, SteadyStateRefusesNothingWithinTheRate)
{
	for (double demand : { 0.5, 0.7, 0.9, 0.95 })
		for (int holders : { 4, 10, 20 }) {
			Result r = fleet(holders, demand, Policy::FOLLOW);

			print_steady("follow", demand, holders, r);
			EXPECT_TRUE(r.bound_kept);
			EXPECT_LE(r.refused_in_rate * 1000, r.requests);
			EXPECT_LE(r.central_admits * 1000, r.requests);
		}
}

/*
 * Small organisations close to their rate, where a single bucket refuses
 * requests as well: many nodes must not refuse more. A difference of a
 * millisecond decides which of two requests is refused at a nearly empty
 * bucket, so the test compares the numbers of refusals.
 */
TEST(Rate, SmallOrganisationsMatchASingleBucket)
{
	for (int64_t rate_per_s : { 5, 10, 20 })
		for (int holders : { 4, 20 }) {
			int64_t burst = rate_per_s == 5 ? 10 : 20;
			Result r = steady(rate_per_s, burst, holders, 0.95,
					  Policy::FOLLOW, 2000);

			printf("rate %" PRId64 ", burst %" PRId64 ": ",
			       rate_per_s, burst);
			print_steady("follow", 0.95, holders, r);
			EXPECT_LE((r.refused - r.central_refused) * 1000,
				  r.requests);
		}
}

/* Figures for docs/DESIGN-shared-rate.md. */
TEST(Rate, PoliciesCompared)
{
	Result one = fleet(20, 0.95, Policy::ONE);
	Result fixed = fleet(20, 0.95, Policy::FIXED);
	Result follow = steady(500, 10, 20, 0.7, Policy::FOLLOW);

	print_steady("one at a time", 0.95, 20, one);
	print_steady("fixed ten", 0.95, 20, fixed);
	print_steady("follow, rate 500, burst 10", 0.7, 20, follow);
	EXPECT_TRUE(one.bound_kept && fixed.bound_kept && follow.bound_kept);
}

namespace
{

/* Earliest clock reading at which one more token is granted. */
int64_t next_grant_us(fp_bucket *b, int64_t now_us)
{
	uint64_t id;
	uint32_t n;
	int64_t wait_us;

	while (fp_bucket_grant(b, 1, now_us, &id, &n, &wait_us) != FP_OK)
		now_us++;
	return now_us;
}

} // namespace

/* Rounding can make a measured interval one microsecond longer than the true
 * time. */
TEST(Bucket, RefillsNoFasterThanTrueTime)
{
	for (uint32_t rate_per_s : { 400u, 20000u, 999999u })
		for (int64_t start_us = 1000; start_us < 1100; start_us++) {
			fp_bucket *b = fp_bucket_init_full(rate_per_s, 10, 1,
							   start_us);
			uint64_t id;
			uint32_t n;
			int64_t wait_us;

			ASSERT_EQ(FP_OK, fp_bucket_grant(b, 10, start_us, &id,
							 &n, &wait_us));
			fp_bucket_return(b, id, 0, start_us);
			int64_t t = next_grant_us(b, start_us) - start_us;
			/* true time of t - 1 us on a clock 100 ppm fast */
			EXPECT_GE((t - 1) * rate_per_s * 9999 / 10000, 1000000);
			fp_bucket_end(b);
		}
}

TEST(Bucket, GrantsAreReturnedAndExpire)
{
	fp_bucket *b = fp_bucket_init_full(10, 5, 7, 0);
	uint64_t id, id2;
	uint32_t n, out;
	int64_t wait_us;

	ASSERT_EQ(FP_OK, fp_bucket_grant(b, 9, 0, &id, &n, &wait_us));
	EXPECT_EQ(5u, n);
	EXPECT_EQ(FP_EXHAUSTED, fp_bucket_grant(b, 1, 0, &id2, &n, &wait_us));
	EXPECT_EQ(FP_INVALID, fp_bucket_return(b, id, 6, 0));
	EXPECT_EQ(FP_OK, fp_bucket_return(b, id, 2, 1000));
	EXPECT_EQ(FP_NOT_FOUND, fp_bucket_return(b, id, 2, 1000));
	EXPECT_EQ(FP_NOT_FOUND, fp_bucket_return(b, 0, 1, 1000));
	ASSERT_EQ(FP_OK, fp_bucket_grant(b, 9, 1000, &id, &n, &wait_us));
	EXPECT_EQ(2u, n);
	EXPECT_EQ(FP_EXHAUSTED,
		  fp_bucket_grant(b, 1, 1000, &id2, &n, &wait_us));
	EXPECT_NEAR(100000, wait_us, 100);
	ASSERT_EQ(FP_OK,
		  fp_bucket_grant(b, 1, 1000 + wait_us, &id2, &n, &wait_us));
	fp_bucket_read(b, 1000 + FP_GRANT_OWNER_US, &n, &out);
	EXPECT_EQ(2u, n); /* the room while three tokens were outstanding */
	EXPECT_EQ(1u, out);
	EXPECT_EQ(FP_NOT_FOUND,
		  fp_bucket_return(b, id, 2, 1000 + FP_GRANT_OWNER_US));
	fp_bucket_end(b);
}

TEST(Bucket, ImportContinuesFromTheExportedState)
{
	constexpr int64_t S = rate::MICRO;
	fp_bucket *old = fp_bucket_init_full(10, 50, 7, 0);
	fp_bucket_state st;
	uint64_t id;
	uint32_t n, out;
	int64_t wait_us;

	ASSERT_EQ(FP_OK, fp_bucket_grant(old, 20, S, &id, &n, &wait_us));
	ASSERT_EQ(FP_OK,
		  fp_bucket_grant(old, 5, S + 100000, &id, &n, &wait_us));
	fp_bucket_export(old, S + 300000, &st);
	EXPECT_EQ(25 * S, st.tokens_micro); /* 25 outstanding tokens limit it */
	EXPECT_EQ(25u, st.outstanding);
	EXPECT_EQ(FP_GRANT_OWNER_US - 200000, st.outstanding_left_us);
	EXPECT_EQ(2,
		  st.refill_delay_us); /* rounding allowance of a full bucket */
	EXPECT_EQ(FP_EXHAUSTED,
		  fp_bucket_grant(old, 1, 9 * S, &id, &n, &wait_us));
	fp_bucket *b = fp_bucket_import(10, 50, 8, 70 * S, &st);
	ASSERT_NE(nullptr, b);
	EXPECT_EQ(FP_NOT_FOUND, fp_bucket_return(b, id, 5, 70 * S));
	fp_bucket_read(b, 70 * S + st.outstanding_left_us, &n, &out);
	EXPECT_EQ(25u, n);
	EXPECT_EQ(25u, out);
	fp_bucket_read(b, 70 * S + st.outstanding_left_us + 1000, &n, &out);
	EXPECT_EQ(0u, out);
	fp_bucket_read(b, 73 * S + 600000, &n, &out);
	EXPECT_EQ(50u, n);
	fp_bucket_end(b);
	/* Import with a smaller burst, then of an invalid state. */
	b = fp_bucket_import(10, 30, 8, 70 * S, &st);
	fp_bucket_read(b, 70 * S, &n, &out);
	EXPECT_EQ(5u, n);
	fp_bucket_end(b);
	st.outstanding_left_us = FP_BUCKET_MAX_SPAN_US + 1;
	EXPECT_EQ(nullptr, fp_bucket_import(10, 50, 8, 70 * S, &st));
	fp_bucket_end(old);
}

TEST(Bucket, OpenGrantsAreBounded)
{
	fp_bucket *b = fp_bucket_init_full(1, 10000, 1, 0);
	uint64_t id, first = 0;
	uint32_t n;
	int64_t wait_us;

	for (int i = 0; i < FP_BUCKET_MAX_GRANTS; i++) {
		ASSERT_EQ(FP_OK, fp_bucket_grant(b, 1, i, &id, &n, &wait_us));
		first = first ? first : id;
	}
	EXPECT_EQ(FP_EXHAUSTED, fp_bucket_grant(b, 1, 5000, &id, &n, &wait_us));
	EXPECT_EQ(FP_OK, fp_bucket_return(b, first, 1, 5000));
	EXPECT_EQ(FP_OK, fp_bucket_grant(b, 1, 5000, &id, &n, &wait_us));
	fp_bucket_end(b);
}

TEST(Grants, ResponseIsAcceptedOnceAndExpiresByItsRequest)
{
	fp_grants *g = fp_grants_init();
	uint64_t id;
	uint32_t n;

	EXPECT_EQ(2u, fp_grants_request_size(g, 2, 100));
	fp_grants_requested(g, 100);
	EXPECT_EQ(0u, fp_grants_request_size(g, 2, 100));
	EXPECT_EQ(FP_OK, fp_grants_add(g, 5, 2, 100, 200));
	EXPECT_EQ(FP_CONFLICT, fp_grants_add(g, 5, 2, 100, 300));
	EXPECT_EQ(FP_OK, fp_grants_take(g, 100 + FP_GRANT_HOLDER_US - 1));
	EXPECT_EQ(FP_AGAIN, fp_grants_take(g, 100 + FP_GRANT_HOLDER_US));
	fp_grants_requested(g, 2000000);
	EXPECT_EQ(FP_TIMEOUT, fp_grants_add(g, 6, 1, 2000000, 3000000));
	fp_grants_requested(g, 4000000);
	EXPECT_EQ(FP_OK, fp_grants_add(g, 7, 3, 4000000, 4000100));
	EXPECT_EQ(FP_OK, fp_grants_take(g, 4000200));
	EXPECT_EQ(FP_OK, fp_grants_take_surplus(g, 4000300, &id, &n));
	EXPECT_EQ(7u, id);
	EXPECT_EQ(2u, n);
	EXPECT_EQ(FP_AGAIN, fp_grants_take(g, 4000300));
	EXPECT_EQ(FP_NOT_FOUND, fp_grants_take_surplus(g, 4000300, &id, &n));
	fp_grants_requested(g, 5000000);
	fp_grants_refused(g, 1000, 5000000);
	EXPECT_EQ(0u, fp_grants_request_size(g, 1, 5000999));
	EXPECT_EQ(1u, fp_grants_request_size(g, 1, 5001000));
	fp_grants_end(g);
}
