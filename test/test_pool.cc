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

	return { hold_us, false, ++sent_us, n_shares, clock_us, age_us, 0 };
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

/* Each of 100 nodes brings half a token; the bucket is empty. */
TEST_F(Pool, GrantsTheSumOfTheReservesOnceAndOnlyForAWhile)
{
	int64_t us = SECOND + 1;
	uint32_t n;

	for (uint64_t id = 1; id <= 100; id++) {
		fp_commitment c = commitment(100, SECOND);

		c.reserve_micro = 500000;
		commit(id, us, c);
		commit(id, us, c); /* a message that arrives twice */
	}
	EXPECT_EQ(FP_OK, grant(30, us, &n));
	EXPECT_EQ(30u, n);
	EXPECT_EQ(FP_OK, grant(30, us, &n));
	EXPECT_EQ(20u, n);
	EXPECT_EQ(FP_EXHAUSTED, grant(1, us, &n));
	for (uint64_t id = 1; id <= 100; id++) {
		fp_commitment c = commitment(100, SECOND);

		c.reserve_micro = 500000;
		commit(id, us, c);
	}
	/* By then the commitments have ended, so the rate is that of one
	 * node. */
	us += FP_RATE_SHARE_RESERVE_US;
	commit(1, us, commitment(100, us));
	EXPECT_EQ(FP_EXHAUSTED, grant(60, us, &n));
}

/* Nodes that assume too few members bring no more than all shares earn in the
 * time of a hold. */
TEST_F(Pool, ReservesAreLimitedToTheWholeRate)
{
	uint32_t n;

	for (uint64_t id = 1; id <= 10; id++) {
		fp_commitment c = commitment(2, SECOND);

		c.reserve_micro = 25000000;
		commit(id, SECOND, c);
	}
	EXPECT_EQ(FP_OK, grant(1000, SECOND, &n));
	EXPECT_EQ(50u, n);
}

/* The reserve that a lost node uses elsewhere is taken out of this bucket, also
 * when it is less than a token. */
TEST_F(Pool, RemovesTheSumOfReservesBelowAToken)
{
	int64_t us = SECOND;
	uint32_t n;

	fp_pool_set_rate(p, 10, 10, SECOND);
	for (; us < 4 * SECOND; us += SECOND / 5)
		for (uint64_t id = 1; id <= 20; id++)
			commit(id, us, commitment(20, us));
	EXPECT_EQ(1000u, read(p, us).fill_permille);
	/* 10 of the 20 nodes are lost: 10 * 10 / s * 0.5 s / 20 = 2.5 tokens
	 * leave with them, and the burst of the others is 5. */
	for (int i = 0; i < 5; i++, us += SECOND / 5)
		for (uint64_t id = 1; id <= 10; id++)
			commit(id, us, commitment(20, us));
	EXPECT_EQ(FP_OK, grant(100, us, &n));
	EXPECT_LE(n, 3u);
}

} // namespace
