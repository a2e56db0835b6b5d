/* test_slopes.cc - least-squares fit of a line, on fixed inputs */
#include <gtest/gtest.h>

#include "bench/fit.h"

TEST(Fit, FitsAnExactLine)
{
	const double x[] = { 4, 8, 16, 64 };
	const double y[] = { 13, 21, 37, 133 };
	struct fit f;

	ASSERT_TRUE(fit_line(x, y, 4, &f));
	EXPECT_NEAR(f.slope, 2, 1e-12);
	EXPECT_NEAR(f.intercept, 5, 1e-9);
	EXPECT_NEAR(f.r2, 1, 1e-12);
}

TEST(Fit, FitsScatteredPoints)
{
	const double x[] = { 0, 1, 2 };
	const double y[] = { 0, 2, 1 };
	struct fit f;

	ASSERT_TRUE(fit_line(x, y, 3, &f));
	EXPECT_NEAR(f.slope, 0.5, 1e-12);
	EXPECT_NEAR(f.intercept, 0.5, 1e-12);
	EXPECT_NEAR(f.r2, 0.25, 1e-12);
}

TEST(Fit, ConstantHasNoSlope)
{
	const double x[] = { 1, 2, 3 };
	const double y[] = { 7, 7, 7 };
	struct fit f;

	ASSERT_TRUE(fit_line(x, y, 3, &f));
	EXPECT_EQ(f.slope, 0);
	EXPECT_EQ(f.intercept, 7);
	EXPECT_EQ(f.r2, 1);
}

TEST(Fit, NeedsTwoDistinctX)
{
	const double x[] = { 3, 3 };
	const double y[] = { 1, 2 };
	struct fit f;

	EXPECT_FALSE(fit_line(x, y, 0, &f));
	EXPECT_FALSE(fit_line(x, y, 1, &f));
	EXPECT_FALSE(fit_line(x, y, 2, &f));
}
