/* test_cold_rate.cc - a cold worker never gets more than its rate in a second */
#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "state/cold_rate.h"

namespace
{

const int64_t second = 1000000;

struct ColdRate : testing::Test {
	struct fp_cold_rate *c = fp_cold_rate_init();

	~ColdRate() override
	{
		fp_cold_rate_end(c);
	}
	/* Starts whatever may start within span_us; returns how many. */
	uint32_t start_all(int64_t from_us, int64_t span_us)
	{
		uint32_t n = 0;

		for (int64_t now = from_us; now < from_us + span_us;
		     now += 1000)
			while (!fp_cold_rate_wait_us(c, now) && n < 100000) {
				fp_cold_rate_started(c, now);
				n++;
			}
		return n;
	}
};

TEST_F(ColdRate, AWarmWorkerIsNotPaced)
{
	fp_cold_rate_set(c, 11, 3 * second);
	for (int i = 0; i < 1000; i++) {
		EXPECT_EQ(0, fp_cold_rate_wait_us(c, second));
		fp_cold_rate_started(c, second);
	}
}

TEST_F(ColdRate, AServiceWithoutARateIsNotPaced)
{
	fp_cold_rate_reported(c, 3 * second, second);
	for (int i = 0; i < 1000; i++)
		fp_cold_rate_started(c, second);
	EXPECT_EQ(0, fp_cold_rate_wait_us(c, second));
}

/* Paced does not mean shut: a cold worker gets its whole rate. */
TEST_F(ColdRate, AColdWorkerGetsItsRate)
{
	fp_cold_rate_set(c, 11, 3 * second);
	fp_cold_rate_reported(c, 60 * second, second);
	EXPECT_NEAR(110, start_all(second, 10 * second), 11);
}

TEST_F(ColdRate, ALowRateIsNoRateOfNone)
{
	fp_cold_rate_set(c, 1, 3 * second);
	fp_cold_rate_reported(c, 60 * second, second);
	EXPECT_NEAR(10, start_all(second, 10 * second), 1);
}

TEST_F(ColdRate, TheTimeThatWasToldEndsByItself)
{
	fp_cold_rate_set(c, 2, 3 * second);
	fp_cold_rate_reported(c, 2 * second, second);
	start_all(second, 100000);
	EXPECT_GT(fp_cold_rate_wait_us(c, second + 100000), 0);
	EXPECT_EQ(0, fp_cold_rate_wait_us(c, 3 * second));
	EXPECT_EQ(0, fp_cold_rate_left_us(c, 3 * second));
}

TEST_F(ColdRate, DoubtEndsWhenTheWorkerSpeaksOrAStartIsOver)
{
	fp_cold_rate_set(c, 2, 3 * second);
	fp_cold_rate_assume(c, second);
	EXPECT_EQ(3 * second, fp_cold_rate_left_us(c, second));
	fp_cold_rate_reported(c, 0, 3 * second);
	EXPECT_EQ(0, fp_cold_rate_left_us(c, 3 * second));
	fp_cold_rate_assume(c, 4 * second);
	EXPECT_GT(fp_cold_rate_left_us(c, 7 * second - 1), 0);
	EXPECT_EQ(0, fp_cold_rate_left_us(c, 7 * second));
}

/* A report that was under way when the worker was first assumed cold does not end
 * that; one of a longer time counts. */
TEST_F(ColdRate, AnOlderReportDoesNotEndTheAssumedTime)
{
	fp_cold_rate_set(c, 2, 3 * second);
	fp_cold_rate_assume(c, second);
	fp_cold_rate_reported(c, 0, 2 * second);
	EXPECT_EQ(2 * second, fp_cold_rate_left_us(c, 2 * second));
	fp_cold_rate_reported(c, 9 * second, 2 * second);
	EXPECT_EQ(9 * second, fp_cold_rate_left_us(c, 2 * second));
}

/* Doubt does not shorten what the worker has said. */
TEST_F(ColdRate, DoubtKeepsALongerTime)
{
	fp_cold_rate_set(c, 2, 3 * second);
	fp_cold_rate_reported(c, 8 * second, second);
	fp_cold_rate_assume(c, second);
	EXPECT_EQ(8 * second, fp_cold_rate_left_us(c, second));
}

/*
 * Random arrivals at random rates; the worker turns cold and warm, with assumed times
 * in between. In no second all of which it counts as cold are more requests
 * started than its rate. At the beginning of a cold time those are counted that
 * were started before.
 */
TEST(ColdRateSchedules, NoSecondHasMoreThanTheRate)
{
	for (uint64_t seed = 1; seed <= 300; seed++) {
		std::mt19937_64 random{ seed };
		struct fp_cold_rate *c = fp_cold_rate_init();
		const uint32_t rate = 1 + (uint32_t)(random() % 40);
		std::vector<int64_t> starts;
		int64_t now = second;
		size_t oldest = 0;

		fp_cold_rate_set(c, rate, 3 * second);
		for (int i = 0; i < 4000; i++) {
			now += (int64_t)(random() %
					 (random() % 3 ? 20000 : 60000));
			switch (random() % 200) {
			case 0:
				fp_cold_rate_reported(c, 0, now);
				break;
			case 1:
				fp_cold_rate_reported(
					c, (int64_t)(random() % 3000000), now);
				break;
			case 2:
				fp_cold_rate_assume(c, now);
				break;
			}
			int64_t wait_us = fp_cold_rate_wait_us(c, now);

			ASSERT_GE(wait_us, 0);
			if (wait_us && random() % 2)
				now += wait_us;
			if (fp_cold_rate_wait_us(c, now))
				continue;
			bool cold = fp_cold_rate_left_us(c, now) > 0;

			fp_cold_rate_started(c, now);
			starts.push_back(now);
			while (starts[oldest] <= now - second)
				oldest++;
			ASSERT_TRUE(!cold || starts.size() - oldest <= rate)
				<< "seed " << seed << " start " << i;
		}
		fp_cold_rate_end(c);
	}
}

} // namespace
