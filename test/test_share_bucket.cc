/* test_share.cc - equal parts of a rate stay within the whole of it */
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>
#include <vector>

#include "state/share_bucket.h"

namespace
{

const int64_t second = 1000000;

TEST(Share, WithoutARateNothingIsRefused)
{
	struct fp_share s = {};

	for (int i = 0; i < 1000; i++)
		EXPECT_EQ(FP_OK, fp_share_take(&s, 0));
	fp_share_set(&s, 0, 5, 3, 0);
	for (int i = 0; i < 1000; i++)
		EXPECT_EQ(FP_OK, fp_share_take(&s, 0));
}

TEST(Share, StartsFullAndEarnsItsPart)
{
	struct fp_share s = {};
	int got = 0;

	fp_share_set(&s, 100, 40, 4, 0);
	while (fp_share_take(&s, 0) == FP_OK)
		got++;
	EXPECT_EQ(10, got);
	EXPECT_EQ(FP_EXHAUSTED, fp_share_take(&s, second / 25 - 1));
	EXPECT_EQ(FP_OK, fp_share_take(&s, second / 25 + 1));
}

TEST(Share, RestartHoldsOneTokenOrNone)
{
	struct fp_share s = {};

	fp_share_set(&s, 100, 40, 4, 0);
	fp_share_restart(&s, 0, second);
	EXPECT_EQ(FP_EXHAUSTED, fp_share_take(&s, second));
	fp_share_restart(&s, FP_SHARE_TOKEN_U, second);
	EXPECT_EQ(FP_OK, fp_share_take(&s, second));
	EXPECT_EQ(FP_EXHAUSTED, fp_share_take(&s, second));
	fp_share_restart(&s, 1000 * FP_SHARE_TOKEN_U, second);
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(FP_OK, fp_share_take(&s, second));
	EXPECT_EQ(FP_EXHAUSTED, fp_share_take(&s, second));
}

TEST(Share, ALargerNumberOfPartsKeepsWhatTheSmallerPartAllows)
{
	struct fp_share s = {};
	int got = 0;

	fp_share_set(&s, 100, 40, 2, 0);
	fp_share_set(&s, 100, 40, 8, 0);
	while (fp_share_take(&s, 0) == FP_OK)
		got++;
	EXPECT_EQ(5, got);
}

/* All parts together, asked at random, against one bucket of the whole. */
TEST(Share, PartsStayWithinTheWholeInRandomSchedules)
{
	for (unsigned seed = 1; seed <= 300; seed++) {
		std::mt19937 rng(seed);
		uint32_t n = 2 + rng() % 30;
		uint32_t rate = n + rng() % 500;
		uint32_t burst = n + rng() % 500;
		std::vector<struct fp_share> parts(n);
		/* In millionths of a token; each part rounds down. */
		int64_t tokens = (int64_t)burst * second;
		int64_t now = 0;

		for (auto &p : parts)
			fp_share_set(&p, rate, burst, n, 0);
		for (int i = 0; i < 3000; i++) {
			int64_t step = rng() % 20000;

			now += step;
			tokens += step * rate;
			if (tokens > (int64_t)burst * second)
				tokens = (int64_t)burst * second;
			if (fp_share_take(&parts[rng() % n], now) == FP_OK)
				tokens -= second;
			ASSERT_GE(tokens, 0) << "seed " << seed;
		}
	}
}

} // namespace
