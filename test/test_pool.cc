/* test_pool.cc - parts come with asks and stay for a while */
#include <gtest/gtest.h>

#include "state/pool.h"

TEST(Pool, ANodeCountsOnceAndForAWhile)
{
	struct fp_pool *p = fp_pool_init();

	ASSERT_NE(nullptr, p);
	EXPECT_EQ(0u, fp_pool_parts(p, 0));
	for (int i = 0; i < 100; i++)
		fp_pool_join(p, 7, i);
	EXPECT_EQ(1u, fp_pool_parts(p, 100));
	fp_pool_join(p, 8, 1000000);
	EXPECT_EQ(2u, fp_pool_parts(p, 1000000));
	EXPECT_EQ(1u, fp_pool_parts(p, 100 + FP_POOL_STAY_US));
	EXPECT_EQ(0u, fp_pool_parts(p, 1000001 + FP_POOL_STAY_US));
	fp_pool_end(p);
}

TEST(Pool, HoldsTheWholeFleet)
{
	struct fp_pool *p = fp_pool_init();

	for (uint64_t id = 1; id <= 740; id++)
		fp_pool_join(p, id, 5);
	EXPECT_EQ(740u, fp_pool_parts(p, 6));
	for (uint64_t id = 1; id <= 740; id += 2)
		fp_pool_join(p, id, 6 + FP_POOL_STAY_US);
	EXPECT_EQ(370u, fp_pool_parts(p, 6 + FP_POOL_STAY_US));
	fp_pool_end(p);
}
