/* test_retry_budget.cc - retries of all nodes together stay within the limit */
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "state/retry_budget.h"

namespace
{

const int64_t second = 1000000;

TEST(RetryBudget, AnIdleNodeHasAnEqualShareOfTheFloor)
{
	struct fp_retry_budget_limit limit = { 200, 100, 10 * second, 4 };
	struct fp_retry_budget b = {};
	int taken = 0;

	while (fp_retry_budget_take(&b, &limit, 100 * second) == FP_OK)
		taken++;
	EXPECT_GE(taken, 5);
	EXPECT_LE(taken, 25);
}

TEST(RetryBudget, GrowsWithFirstSends)
{
	struct fp_retry_budget_limit limit = { 200, 0, 10 * second, 1 };
	struct fp_retry_budget b = {};
	int taken = 0;

	EXPECT_EQ(FP_EXHAUSTED, fp_retry_budget_take(&b, &limit, 0));
	for (int64_t now = 0; now < 100 * second; now += 10000) {
		fp_retry_budget_first_send(&b, &limit, now);
		taken += fp_retry_budget_take(&b, &limit, now) == FP_OK;
	}
	/* 10000 first sends; 60 % of the ratio is available steadily. */
	EXPECT_GE(taken, 1100);
	EXPECT_LE(taken, 2000);
}

/* When all requests of a moment fail, saved tokens allow them to be retried. */
TEST(RetryBudget, SavesTokensForABurstOfFailures)
{
	struct fp_retry_budget_limit limit = { 200, 0, 10 * second, 1 };
	struct fp_retry_budget b = {};
	int taken = 0;

	for (int64_t now = 0; now < 30 * second; now += 10000)
		fp_retry_budget_first_send(&b, &limit, now);
	while (fp_retry_budget_take(&b, &limit, 30 * second) == FP_OK)
		taken++;
	EXPECT_GE(taken, 60);
}

/*
 * Nodes whose load changes at random and that, at random times, retry as often
 * as the limit allows. Every window of window_us is checked, in steps of
 * 100 ms.
 */
TEST(RetryBudget, StaysWithinTheLimitInEveryWindowOfRandomSchedules)
{
	for (unsigned seed = 1; seed <= 200; seed++) {
		std::mt19937 rng(seed);
		struct fp_retry_budget_limit limit = {
			50 + (uint32_t)(rng() % 300), (uint32_t)(rng() % 200),
			(int64_t)(2 + rng() % 10) * second,
			1 + (uint32_t)(rng() % 20)
		};
		std::vector<struct fp_retry_budget> nodes(limit.n_nodes);
		std::vector<int64_t> first_sends;
		std::vector<int64_t> retries;
		std::vector<int> load(limit.n_nodes);
		std::vector<int> retrying(limit.n_nodes);

		for (int64_t now = 0; now < 40 * second; now += 20000) {
			if (now % second == 0)
				for (uint32_t i = 0; i < limit.n_nodes; i++) {
					load[i] = rng() % 3 ? rng() % 8 : 0;
					retrying[i] = rng() % 3;
				}
			for (uint32_t i = 0; i < limit.n_nodes; i++) {
				for (int k = 0; k < load[i]; k++) {
					fp_retry_budget_first_send(&nodes[i],
								   &limit, now);
					first_sends.push_back(now);
				}
				while (retrying[i] &&
				       fp_retry_budget_take(&nodes[i], &limit,
							    now) == FP_OK)
					retries.push_back(now);
			}
		}
		auto count = [](const std::vector<int64_t> &v, int64_t from,
				int64_t to) {
			return std::lower_bound(v.begin(), v.end(), to) -
			       std::lower_bound(v.begin(), v.end(), from);
		};
		for (int64_t from = 0; from < 40 * second; from += 100000) {
			int64_t w = limit.window_us;
			double most = (double)std::max(
				{ count(first_sends, from, from + w),
				  count(first_sends, from - w, from),
				  count(first_sends, from - w / 2,
					from + w / 2) });

			ASSERT_LE((double)count(retries, from, from + w),
				  most * limit.ratio_permille / 1000 +
					  limit.floor)
				<< "seed " << seed << " from " << from;
		}
	}
}

/* Guards against a floor that is used twice: 7 of 17 nodes are rejected by the
 * store and still count 17 nodes, while the others have removed them. After a
 * time without retries, all nodes retry as often as the limit allows. */
TEST(RetryBudget, RemovedNodesHaveNoShareOfTheFloor)
{
	struct fp_retry_budget_limit removed = { 200, 480, 10 * second, 17 };
	struct fp_retry_budget_limit rest = { 200, 480, 10 * second, 10 };
	const struct fp_share_validity expired = { 0, 0 };
	const struct fp_share_validity valid = { 0, 1000 * second };
	std::vector<struct fp_retry_budget> nodes(17);
	int retries = 0;

	for (int64_t now = second; now < 31 * second; now += 20000) {
		for (size_t i = 0; i < nodes.size(); i++) {
			struct fp_retry_budget_limit b =
				i < 7 ? fp_retry_budget_node_limit(
						&removed, &expired, now) :
					fp_retry_budget_node_limit(&rest,
								   &valid, now);

			while (now >= 21 * second &&
			       fp_retry_budget_take(&nodes[i], &b, now) ==
				       FP_OK)
				retries++;
		}
	}
	EXPECT_LE(retries, 480);
	EXPECT_GE(retries, 480 / 2);
}

} // namespace
