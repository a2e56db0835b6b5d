/* test_rate_parts.cc - parts of a rate never add up to more, in random schedules */
#include <gtest/gtest.h>

#include <cstdio>

#include "rate_shares_sim.h"

namespace
{

using parts::Rules;
using parts::SECOND;
using parts::World;

constexpr uint64_t N_SEEDS = 300;
constexpr uint64_t N_SEARCHED = 2000; /* for a rule that was taken out */
constexpr int64_t LENGTH_US = 40 * SECOND;

/* The first seed whose schedule breaks the bound; 0: none. */
uint64_t first_broken(const Rules &r)
{
	for (uint64_t seed = 1; seed <= N_SEARCHED; seed++) {
		World w(seed, r);

		w.run(LENGTH_US);
		if (w.worst > w.allowed())
			return seed;
	}
	return 0;
}

void expect_found(const char *what, const Rules &r)
{
	uint64_t seed = first_broken(r);

	printf("%s: seed %llu\n", what, (unsigned long long)seed);
	EXPECT_NE(0u, seed) << what;
}

TEST(RateParts, BoundHoldsOverRandomSchedules)
{
	int64_t total = 0;
	int64_t permille = 0; /* of what is allowed, at the worst */

	for (uint64_t seed = 1; seed <= N_SEEDS; seed++) {
		World w(seed, Rules());

		w.run(LENGTH_US);
		total += w.total;
		permille = std::max(permille, w.worst * 1000 / w.allowed());
		EXPECT_LE(w.worst, w.allowed()) << "seed " << seed;
	}
	printf("%lld admitted in %llu schedules, at most %lld permille of what "
	       "is allowed\n",
	       (long long)total, (unsigned long long)N_SEEDS,
	       (long long)permille);
}

TEST(RateParts, TheWholeRateIsGrantedInCalm)
{
	for (uint64_t seed = 1; seed <= 30; seed++) {
		World w(seed, Rules());

		w.run(LENGTH_US, true);
		EXPECT_GE(w.total, w.rate_per_s * 35) << "seed " << seed;
	}
}

/* That a hold counts from its sending has a case of its own in test_pool: what
 * it adds in these schedules stays below the allowance. */
TEST(RateParts, EachRuleTakenOutIsFound)
{
	Rules r;

	r.hold_waited_for = false;
	expect_found("without waiting for a hold", r);
	r = Rules();
	r.right_ends = false;
	expect_found("right without an end", r);
	r = Rules();
	r.only_parts = false;
	expect_found("the whole rate at who ranks highest", r);
}

} // namespace
