/* test_reach.cc - choice of delegates, isolation, repeated crash reports */
#include <gtest/gtest.h>

#include <vector>

#include "coordination/reach.h"
#include "coordination/rumor.h"

TEST(Reach, EveryDomainHasExactlyItsDelegates)
{
	for (uint32_t n = 1; n < 80; n++) {
		std::vector<uint64_t> ids;
		uint32_t delegates = 0;

		for (uint32_t i = 0; i < n; i++)
			ids.push_back(1000003ull * (i + 1) + n);
		for (uint64_t id : ids)
			delegates += fp_reach_is_delegate(id, ids.data(), n);
		EXPECT_EQ(n < FP_DELEGATES_PER_DOMAIN ? n :
							FP_DELEGATES_PER_DOMAIN,
			  delegates);
	}
}

TEST(Reach, IsolatedOnlyWithoutStoreAndMajority)
{
	const int64_t stale_us = FP_STORE_STALE_US + 1;

	EXPECT_FALSE(fp_reach_is_isolated(0, 1, 20)); /* store reachable */
	/* The store is down for the whole fleet. */
	EXPECT_FALSE(fp_reach_is_isolated(stale_us, 20, 20));
	EXPECT_FALSE(fp_reach_is_isolated(stale_us, 11, 20));
	/* A partition into equal halves isolates both. */
	EXPECT_TRUE(fp_reach_is_isolated(stale_us, 10, 20));
	EXPECT_TRUE(fp_reach_is_isolated(stale_us, 1, 4));
	EXPECT_FALSE(fp_reach_is_isolated(stale_us, 1, 1)); /* a fleet of one */
}

TEST(Rumor, EachReportIsNewOnce)
{
	struct fp_rumor r = {};
	struct fp_msg_crash m = { 1, 2 };
	struct fp_msg_crash other = { 1, 3 };

	EXPECT_TRUE(fp_rumor_is_new(&r, &m));
	EXPECT_FALSE(fp_rumor_is_new(&r, &m));
	EXPECT_TRUE(fp_rumor_is_new(&r, &other));
	for (uint64_t i = 0; i < FP_RUMOR_ENTRIES; i++) {
		struct fp_msg_crash next = { 9, i };

		fp_rumor_is_new(&r, &next);
	}
	EXPECT_TRUE(fp_rumor_is_new(&r, &m)); /* overwritten, harmless */
}
