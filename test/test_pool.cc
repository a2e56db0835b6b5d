/* test_pool.cc - a pool refills at the rate of the committed shares */
#include <gtest/gtest.h>

#include "state/pool.h"

namespace
{

constexpr int64_t SECOND = 1000000;

fp_commitment commitment(uint32_t n_shares, int64_t clock_us,
			 int64_t age_us = 0,
			 int64_t hold_us = FP_RATE_SHARE_HOLD_US)
{
	static int64_t sent_us = 0;

	return { hold_us, false, ++sent_us, n_shares, clock_us, age_us };
}

fp_pool_view read(fp_pool *p, int64_t now_us)
{
	fp_pool_view v;

	fp_pool_read(p, now_us, &v);
	return v;
}

class Pool : public testing::Test
{
      protected:
	void SetUp() override
	{
		p = fp_pool_init(1, SECOND);
		ASSERT_NE(nullptr, p);
		fp_pool_set_rate(p, 100, 100, SECOND);
	}
	void TearDown() override
	{
		fp_pool_end(p);
	}
	void commit(uint64_t node, int64_t now_us, const fp_commitment &c)
	{
		fp_pool_commit(p, node, &c, now_us);
	}
	fp_status grant(uint32_t want, int64_t now_us, uint32_t *granted)
	{
		uint64_t id;
		int64_t wait_us;

		*granted = 0;
		return fp_pool_grant(p, want, now_us, &id, granted, &wait_us);
	}
	fp_pool *p;
};

TEST_F(Pool, CountsEachNodeOnceUntilItsCommitmentExpires)
{
	EXPECT_EQ(0u, read(p, SECOND).n_shares);
	for (int i = 0; i < 100; i++)
		commit(7, SECOND + i, commitment(4, SECOND));
	EXPECT_EQ(1u, read(p, SECOND + 100).n_shares);
	EXPECT_EQ(25u, read(p, SECOND + 100).rate_per_s);
	commit(8, SECOND + 100, commitment(4, SECOND));
	EXPECT_EQ(50u, read(p, SECOND + 100).rate_per_s);
	EXPECT_EQ(500u, read(p, SECOND + 100).committed_permille);
	EXPECT_EQ(0u, read(p, SECOND + FP_RATE_SHARE_HOLD_US).n_shares);
}

TEST_F(Pool, NeverExceedsTheWholeRate)
{
	for (uint64_t id = 1; id <= 740; id++)
		commit(id, SECOND, commitment(740, SECOND));
	EXPECT_EQ(740u, read(p, SECOND).n_shares);
	EXPECT_EQ(100u, read(p, SECOND).rate_per_s);
	commit(741, SECOND, commitment(2, SECOND));
	EXPECT_EQ(100u, read(p, SECOND).rate_per_s);
	EXPECT_EQ(1000u, read(p, SECOND).committed_permille);
}

TEST_F(Pool, CommitmentCountsFromSendingEvenIfDelayed)
{
	/* Owner's clock read at 1 s; the commitment was sent 0.1 s after the
	 * reading arrived, and is received 0.3 s after it was sent. */
	commit(7, SECOND + 400000, commitment(4, SECOND, 100000));
	EXPECT_EQ(1u, read(p, SECOND + 400000).n_shares);
	EXPECT_EQ(0u,
		  read(p, SECOND + 100000 + FP_RATE_SHARE_HOLD_US).n_shares);
	commit(8, SECOND + 700000, commitment(4, SECOND, 100000));
	EXPECT_EQ(0u, read(p, SECOND + 700000).n_shares);
}

TEST_F(Pool, CommitmentsSentBeforeAReleaseAreIgnored)
{
	fp_commitment before = commitment(4, SECOND);
	fp_commitment late = commitment(4, SECOND);
	fp_commitment release = commitment(4, 0, 0, 0);
	fp_commitment again = commitment(4, SECOND);

	release.release = true;
	commit(7, SECOND, before);
	EXPECT_EQ(25u, read(p, SECOND).rate_per_s);
	commit(7, SECOND, release);
	EXPECT_EQ(0u, read(p, SECOND).n_shares);
	commit(7, SECOND + 1, late);
	EXPECT_EQ(0u, read(p, SECOND + 1).rate_per_s);
	commit(7, SECOND + 2, again);
	EXPECT_EQ(25u, read(p, SECOND + 2).rate_per_s);
}

TEST_F(Pool, RejectsCommitmentsWithoutAValidClockReading)
{
	commit(7, SECOND, commitment(4, 0));
	commit(8, SECOND, commitment(4, SECOND + 1));
	commit(9, SECOND, commitment(4, SECOND, 0, 0));
	EXPECT_EQ(0u, read(p, SECOND).n_shares);
}

TEST_F(Pool, GrantsNothingWithoutShares)
{
	uint32_t granted;

	EXPECT_EQ(FP_UNAVAILABLE, grant(1, 9 * SECOND, &granted));
	/* One of 200 shares is half a token per second. */
	commit(7, 9 * SECOND, commitment(200, 9 * SECOND));
	EXPECT_EQ(FP_UNAVAILABLE, grant(1, 9 * SECOND, &granted));
}

TEST_F(Pool, RefillsForEachShareOnlyUntilItsCommitmentExpiredDuringAPause)
{
	uint32_t granted;

	for (int i = 0; i < 8; i++)
		for (uint64_t id = 1; id <= 4; id++)
			commit(id, SECOND + i * 200000,
			       commitment(4, SECOND + i * 200000));
	grant(1000, SECOND * 24 / 10, &granted);
	/* No share is committed during a pause of 5 s; then one is committed
	 * again. */
	commit(1, SECOND * 74 / 10, commitment(4, SECOND * 74 / 10));
	grant(1000, SECOND * 74 / 10, &granted);
	EXPECT_LE(granted, 25u / 8);
}

TEST_F(Pool, ANewShareAddsItsFullBurstAfterOlderGrantsExpired)
{
	uint32_t before;
	uint32_t after;

	for (int i = 0; i < 12; i++)
		for (uint64_t id = 1; id <= 4; id++)
			commit(id, SECOND + i * 200000,
			       commitment(4, SECOND + i * 200000));
	EXPECT_EQ(FP_OK, grant(1000, SECOND + 1100000, &before));
	EXPECT_LE(before, 100u);
	fp_pool_end(p);
	SetUp();
	for (uint64_t id = 1; id <= 4; id++)
		commit(id, SECOND,
		       commitment(4, SECOND, 0, FP_RATE_SHARE_MAX_SPAN_US));
	EXPECT_EQ(FP_OK, grant(1000, SECOND * 21 / 10, &before));
	EXPECT_LE(before, 100u / 8);
	EXPECT_EQ(FP_OK, grant(1000, 9 * SECOND, &after));
	EXPECT_GE(after, 99u);
}

} // namespace
