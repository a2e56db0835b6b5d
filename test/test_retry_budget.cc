/* test_budget.cc - repeats of all nodes together stay within the bound */
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "state/retry_budget.h"

namespace
{

const int64_t second = 1000000;

TEST(Budget, AnIdleNodeHasItsPartOfTheFloor)
{
	struct fp_budget_bound bound = { 200, 100, 10 * second, 4 };
	struct fp_budget b = {};
	int got = 0;

	while (fp_budget_repeat(&b, &bound, 100 * second) == FP_OK)
		got++;
	EXPECT_GE(got, 5);
	EXPECT_LE(got, 25);
}

TEST(Budget, FollowsFirstSends)
{
	struct fp_budget_bound bound = { 200, 0, 10 * second, 1 };
	struct fp_budget b = {};
	int got = 0;

	EXPECT_EQ(FP_EXHAUSTED, fp_budget_repeat(&b, &bound, 0));
	for (int64_t now = 0; now < 100 * second; now += 10000) {
		fp_budget_first(&b, &bound, now);
		got += fp_budget_repeat(&b, &bound, now) == FP_OK;
	}
	/* 10000 first sends; 60 % of the ratio can be had steadily. */
	EXPECT_GE(got, 1100);
	EXPECT_LE(got, 2000);
}

/* A failure that hits all requests of a moment finds saved tokens. */
TEST(Budget, SavesForABadMoment)
{
	struct fp_budget_bound bound = { 200, 0, 10 * second, 1 };
	struct fp_budget b = {};
	int got = 0;

	for (int64_t now = 0; now < 30 * second; now += 10000)
		fp_budget_first(&b, &bound, now);
	while (fp_budget_repeat(&b, &bound, 30 * second) == FP_OK)
		got++;
	EXPECT_GE(got, 60);
}

/*
 * Nodes with loads that jump, that repeat all they may at moments of their
 * own choice. Every window of the length is looked at, from each repeat on.
 */
TEST(Budget, HoldsInEveryWindowOfRandomSchedules)
{
	for (unsigned seed = 1; seed <= 200; seed++) {
		std::mt19937 rng(seed);
		struct fp_budget_bound bound = { 50 + (uint32_t)(rng() % 300),
						 (uint32_t)(rng() % 200),
						 (int64_t)(2 + rng() % 10) *
							 second,
						 1 + (uint32_t)(rng() % 20) };
		std::vector<struct fp_budget> nodes(bound.parts);
		std::vector<int64_t> firsts;
		std::vector<int64_t> repeats;
		std::vector<int> load(bound.parts);
		std::vector<int> greed(bound.parts);

		for (int64_t now = 0; now < 40 * second; now += 20000) {
			if (now % second == 0)
				for (uint32_t i = 0; i < bound.parts; i++) {
					load[i] = rng() % 3 ? rng() % 8 : 0;
					greed[i] = rng() % 3;
				}
			for (uint32_t i = 0; i < bound.parts; i++) {
				for (int k = 0; k < load[i]; k++) {
					fp_budget_first(&nodes[i], &bound, now);
					firsts.push_back(now);
				}
				while (greed[i] &&
				       fp_budget_repeat(&nodes[i], &bound,
							now) == FP_OK)
					repeats.push_back(now);
			}
		}
		auto count = [](const std::vector<int64_t> &v, int64_t from,
				int64_t to) {
			return std::lower_bound(v.begin(), v.end(), to) -
			       std::lower_bound(v.begin(), v.end(), from);
		};
		for (int64_t from = 0; from < 40 * second; from += 100000) {
			int64_t w = bound.window_us;
			double most = (double)std::max(
				{ count(firsts, from, from + w),
				  count(firsts, from - w, from),
				  count(firsts, from - w / 2, from + w / 2) });

			ASSERT_LE((double)count(repeats, from, from + w),
				  most * bound.ratio_permille / 1000 +
					  bound.floor)
				<< "seed " << seed << " from " << from;
		}
	}
}

/* 7 of 17 nodes are turned away by the store and still know 17; the others have
 * dropped them. After a time without repeats all repeat whatever they may. */
TEST(Budget, TheFloorIsNotSharedTwiceByNodesThatTheOthersDropped)
{
	struct fp_budget_bound away = { 200, 480, 10 * second, 17 };
	struct fp_budget_bound rest = { 200, 480, 10 * second, 10 };
	const struct fp_right ended = { 0, 0 };
	const struct fp_right holds = { 0, 1000 * second };
	std::vector<struct fp_budget> nodes(17);
	int repeats = 0;

	for (int64_t now = second; now < 31 * second; now += 20000) {
		for (size_t i = 0; i < nodes.size(); i++) {
			struct fp_budget_bound b =
				i < 7 ? fp_budget_bound_of(&away, &ended, now) :
					fp_budget_bound_of(&rest, &holds, now);

			while (now >= 21 * second &&
			       fp_budget_repeat(&nodes[i], &b, now) == FP_OK)
				repeats++;
		}
	}
	EXPECT_LE(repeats, 480);
	EXPECT_GE(repeats, 480 / 2);
}

} // namespace
