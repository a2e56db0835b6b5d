/* test_run_times.cc - estimate of how long a request of a route may take */
#include <gtest/gtest.h>

#include <string>

#include "state/run_times.h"

namespace
{

const int64_t S = 1000000;
const int64_t LIMIT = 5 * S;

struct RunTimes : testing::Test {
	struct fp_run_times *r = fp_run_times_init();

	~RunTimes() override
	{
		fp_run_times_end(r);
	}
	void add(const char *route, int n, int64_t run_us, int64_t now_us)
	{
		for (int i = 0; i < n; i++)
			fp_run_times_add(r, route, run_us, now_us);
	}
	int64_t expect(const char *route, int64_t now_us,
		       int64_t limit_us = LIMIT)
	{
		return fp_run_times_expect(r, route, limit_us, now_us);
	}
};

TEST_F(RunTimes, UnknownRoutesMayTakeUntilTheirLimit)
{
	EXPECT_EQ(LIMIT, expect("orders", 100 * S));
	add("orders", 3, S, 100 * S);
	EXPECT_EQ(LIMIT, expect("orders", 100 * S));
	EXPECT_EQ(LIMIT, expect("other", 100 * S));
}

TEST_F(RunTimes, TheLongestOneCountsWithAMargin)
{
	add("orders", 20, S / 10, 100 * S);
	add("orders", 1, 2 * S, 100 * S);
	add("orders", 20, S / 10, 101 * S);
	EXPECT_EQ(3 * S, expect("orders", 102 * S));
	EXPECT_EQ(S, expect("orders", 102 * S, S));
}

TEST_F(RunTimes, ARunThatHasNotEndedRaisesTheEstimate)
{
	add("orders", 20, S / 10, 100 * S);
	fp_run_times_raise(r, "orders", 2 * S, 101 * S);
	EXPECT_EQ(3 * S, expect("orders", 101 * S));
	fp_run_times_raise(r, "late", 2 * S, 101 * S);
	EXPECT_EQ(LIMIT, expect("late", 101 * S));
}

/* Every 100 ms of two minutes: an old long run is forgotten, a recent one never
 * is. */
TEST_F(RunTimes, OnlyTheLastSecondsCount)
{
	add("orders", 20, 2 * S, 100 * S);
	for (int64_t at = 100 * S; at < 220 * S; at += S / 10) {
		add("orders", 1, S, at);
		int64_t e = expect("orders", at);

		EXPECT_TRUE(at >= 120 * S || e == 3 * S) << at;
		EXPECT_TRUE(at < 140 * S || e == 3 * S / 2) << at;
	}
	EXPECT_EQ(LIMIT, expect("orders", 300 * S));
}

/* Routes that share an entry of the table get their limit, never the time of
 * the other one. */
TEST_F(RunTimes, RoutesDoNotAnswerForEachOther)
{
	for (int i = 0; i < 2000; i++)
		add(("r" + std::to_string(i)).c_str(), 10, (i % 2 + 1) * S / 4,
		    100 * S);
	for (int i = 0; i < 2000; i++) {
		int64_t e = expect(("r" + std::to_string(i)).c_str(), 100 * S);

		EXPECT_TRUE(e == LIMIT || e == (i % 2 + 1) * S * 3 / 8) << i;
	}
}

} // namespace
