/* test_rate_shares.cc - rate shares never add up to more than the rate */
#include <gtest/gtest.h>

#include <cstdio>

#include "rate_shares_sim.h"

namespace
{

using shares::Rules;
using shares::SECOND;
using shares::Simulation;

constexpr uint64_t N_SEEDS = 300;
constexpr uint64_t N_SEARCHED = 2000; /* seeds, for a disabled rule */
constexpr int64_t LENGTH_US = 40 * SECOND;

/* Returns the first seed whose schedule exceeds the bound; 0: none. */
uint64_t first_violation(const Rules &r)
{
	for (uint64_t seed = 1; seed <= N_SEARCHED; seed++) {
		Simulation sim(seed, r);

		sim.run(LENGTH_US);
		if (sim.worst > sim.allowed())
			return seed;
	}
	return 0;
}

void expect_violation(const char *what, const Rules &r)
{
	uint64_t seed = first_violation(r);

	printf("%s: seed %llu\n", what, (unsigned long long)seed);
	EXPECT_NE(0u, seed) << what;
}

TEST(RateShares, BoundHoldsOverRandomSchedules)
{
	int64_t total = 0;
	int64_t permille = 0; /* highest fraction of the allowed amount */

	for (uint64_t seed = 1; seed <= N_SEEDS; seed++) {
		Simulation sim(seed, Rules());

		sim.run(LENGTH_US);
		total += sim.total;
		permille = std::max(permille, sim.worst * 1000 / sim.allowed());
		EXPECT_LE(sim.worst, sim.allowed()) << "seed " << seed;
	}
	printf("%lld admitted in %llu schedules, at most %lld permille of what "
	       "is allowed\n",
	       (long long)total, (unsigned long long)N_SEEDS,
	       (long long)permille);
}

TEST(RateShares, TheWholeRateIsGrantedWithoutFaults)
{
	for (uint64_t seed = 1; seed <= 30; seed++) {
		Simulation sim(seed, Rules());

		sim.run(LENGTH_US, true);
		EXPECT_GE(sim.total, sim.rate_per_s * 35) << "seed " << seed;
	}
}

/* All of 40 nodes are killed for a second, then callers repeat what failed: 1.5
 * of the rate. Shares may be learned within 0.5 s, and the reserves cover that
 * time, also where the part of one node is less than a token: in the two seconds
 * after the start the organisation gets its rate. */
TEST(RateShares, AFleetThatStartsAgainGivesTheRateAtOnce)
{
	for (int64_t rate : { 20, 60, 400 }) {
		for (uint64_t seed = 1; seed <= 20; seed++) {
			Simulation sim(seed, 40, rate);
			int64_t before;

			sim.patience_us = SECOND / 2;
			sim.run(12 * SECOND, true);
			before = sim.total;
			sim.kill_all(SECOND, 3 * SECOND, 1.5);
			EXPECT_GE(sim.total - before, rate * 2)
				<< "rate " << rate << " seed " << seed;
			EXPECT_LE(sim.worst, sim.allowed()) << "seed " << seed;
		}
	}
}

/* The rules that a hold counts from the sending of the commitment, and that only
 * an answer shortens it, have their own tests in test_pool and test_rate_share:
 * without them, the excess in these schedules stays within the allowance. */
TEST(RateShares, EveryDisabledRuleIsDetected)
{
	Rules r;

	r.hold_respected = false;
	expect_violation("without waiting for the end of a hold", r);
	r = Rules();
	r.share_expires = false;
	expect_violation("share that never expires", r);
	r = Rules();
	r.limited_to_shares = false;
	expect_violation("whole rate at the highest-ranked node", r);
}

} // namespace
