/* test_drain_limit.cc - what a stopping process may still pass on */
#include <gtest/gtest.h>

#include "state/drain_limit.h"

namespace
{

const int64_t MS = 1000;
const int64_t S = 1000 * MS;
const int64_t STOP = 100 * S;
const int64_t GRACE = 6 * S;

struct DrainLimit : testing::Test {
	struct fp_run_times *times = fp_run_times_init();
	const struct fp_drain_limit limit = { STOP, STOP + GRACE - 400 * MS };

	void SetUp() override
	{
		for (int i = 0; i < 20; i++)
			fp_run_times_add(times, "orders", 300 * MS, STOP);
	}
	~DrainLimit() override
	{
		fp_run_times_end(times);
	}
	/* Whether a request of a route that usually takes 0.3 s is passed on at
	 * now; all but its limit are times since the stop began. */
	bool passed_on(int64_t arrived, int64_t limit_us, int64_t now)
	{
		struct fp_drain_request r = { "orders", STOP + arrived,
					      STOP + arrived + limit_us };

		return fp_drain_can_finish(&limit, times, &r, STOP + now);
	}
};

TEST_F(DrainLimit, EarlyRequestsAreTakenByWhatTheirRouteTakes)
{
	for (int64_t at = 0; at <= 2800 * MS; at += 100 * MS)
		EXPECT_TRUE(passed_on(at, 6 * S, at)) << at;
}

/* Guards against a request that is cut by the exit because it takes longer than
 * the others of its route did. */
TEST_F(DrainLimit, LateRequestsAreTakenOnlyIfTheirDeadlineIsBeforeTheExit)
{
	for (int64_t at = 2801 * MS; at < GRACE; at += 50 * MS)
		for (int64_t limit_us : { 200 * MS, S, 2 * S, 5 * S })
			EXPECT_EQ(at + limit_us + 100 * MS <= 5600 * MS,
				  passed_on(at, limit_us, at))
				<< at << " " << limit_us;
}

TEST_F(DrainLimit, WhatWaitsIsJudgedByItsArrival)
{
	EXPECT_TRUE(passed_on(2 * S, 5 * S, 4 * S));
	EXPECT_TRUE(passed_on(2 * S, 5 * S, 5 * S));
	EXPECT_FALSE(passed_on(2 * S, 5 * S, 5200 * MS));
	EXPECT_FALSE(passed_on(3 * S, 5 * S, 4 * S));
	EXPECT_TRUE(passed_on(3 * S, 2 * S, 4 * S));
}

} // namespace
