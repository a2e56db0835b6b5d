/* test_rate_share.cc - a rate share is in one place at any moment */
#include <gtest/gtest.h>

#include "state/rate_share.h"

namespace
{

constexpr int64_t SECOND = 1000000;
constexpr fp_right VALID = { 0, 1000 * SECOND };

class RateShare : public testing::Test
{
      protected:
	void SetUp() override
	{
		fp_part_init(&p);
		p.unreleased = false;
		fp_part_set(&p, 100, 100, 4, SECOND);
	}
	fp_commitment commit(uint64_t owner, int64_t now_us,
			     const fp_right &r = VALID)
	{
		fp_commitment c;

		fp_part_commit(&p, &r, owner, FP_PART_HOLD_US, now_us, &c);
		return c;
	}
	/* Probes the owner's clock, commits, and processes both answers. */
	fp_commitment probe_and_commit(uint64_t owner, int64_t now_us,
				       uint32_t fill = 0)
	{
		fp_commitment c;

		commit(owner, now_us);
		fp_part_answered(&p, owner, 77, 0, now_us);
		c = commit(owner, now_us);
		fp_part_answered(&p, owner, 77, fill, now_us);
		return c;
	}
	fp_part p;
};

TEST_F(RateShare, IsCommittedOnlyAfterAClockProbe)
{
	fp_commitment c = commit(5, SECOND);

	EXPECT_EQ(0, c.hold_us);
	EXPECT_EQ(0, c.stamp_us);
	EXPECT_EQ(4u, c.parts);
	EXPECT_FALSE(fp_part_is_committed(&p, SECOND));
	fp_part_answered(&p, 6, 50, 0, SECOND); /* answer of another node */
	EXPECT_EQ(0, commit(5, SECOND).hold_us);
	fp_part_answered(&p, 5, 77, 0, SECOND);
	c = commit(5, SECOND + 300);
	EXPECT_EQ(FP_PART_HOLD_US, c.hold_us);
	EXPECT_EQ(77, c.stamp_us);
	EXPECT_EQ(300, c.age_us);
}

TEST_F(RateShare, IsNotUsedElsewhereBeforeItsCommitmentExpires)
{
	int64_t end_us = SECOND + FP_PART_HOLD_US;

	probe_and_commit(5, SECOND);
	EXPECT_EQ(FP_AGAIN, fp_part_take(&p, &VALID, true, end_us - 1));
	commit(6, SECOND + 1);
	fp_part_answered(&p, 6, 88, 0, SECOND + 2);
	EXPECT_EQ(0, commit(6, end_us - 1).hold_us);
	EXPECT_EQ(5u, p.place);
	EXPECT_EQ(FP_PART_HOLD_US, commit(6, end_us).hold_us);
	EXPECT_EQ(FP_AGAIN, fp_part_take(&p, &VALID, true, end_us));
}

TEST_F(RateShare, MovesAtOnceWhenItsReleaseIsConfirmed)
{
	fp_commitment c;

	probe_and_commit(5, SECOND);
	fp_part_release(&p, SECOND + 1, &c);
	EXPECT_TRUE(c.release);
	commit(6, SECOND + 1);
	fp_part_answered(&p, 6, 88, 0, SECOND + 2);
	EXPECT_EQ(0, commit(6, SECOND + 2).hold_us);
	fp_part_released(&p, 9, SECOND + 3); /* answer of another node */
	EXPECT_EQ(0, commit(6, SECOND + 3).hold_us);
	fp_part_released(&p, 5, SECOND + 4);
	EXPECT_EQ(FP_PART_HOLD_US, commit(6, SECOND + 4).hold_us);
	fp_part_released(&p, 5, SECOND + 5); /* late answer */
	EXPECT_TRUE(fp_part_is_committed(&p, SECOND + 5));
}

TEST_F(RateShare, AnUnansweredCommitmentIsNotRenewed)
{
	probe_and_commit(5, SECOND);
	commit(5, SECOND + 1);
	EXPECT_EQ(0, commit(5, SECOND + 1).hold_us);
	fp_part_answered(&p, 5, 99, 0, SECOND + 2);
	EXPECT_EQ(FP_PART_HOLD_US, commit(5, SECOND + 3).hold_us);
}

TEST_F(RateShare, CommitmentEndsWithTheValidity)
{
	fp_right r = { 0, SECOND + 100 };

	commit(5, SECOND);
	fp_part_answered(&p, 5, 77, 0, SECOND);
	EXPECT_EQ(100, commit(5, SECOND, r).hold_us);
	fp_part_answered(&p, 5, 78, 0, SECOND);
	EXPECT_EQ(0, commit(5, SECOND + 100, r).hold_us);
	EXPECT_EQ(FP_AGAIN, fp_part_take(&p, &r, true, SECOND + 100));
}

TEST_F(RateShare, IsInvalidBeforeAllNodesCountTheNewMember)
{
	fp_right r = { 5 * SECOND, 9 * SECOND };

	EXPECT_EQ(FP_AGAIN, fp_part_take(&p, &r, true, SECOND));
	commit(5, SECOND, r);
	fp_part_answered(&p, 5, 77, 0, SECOND);
	EXPECT_EQ(0, commit(5, 5 * SECOND - 1, r).hold_us);
	EXPECT_EQ(FP_OK, fp_part_take(&p, &r, true, 5 * SECOND));
	EXPECT_EQ(FP_PART_HOLD_US, commit(5, 5 * SECOND, r).hold_us);
}

TEST_F(RateShare, RefillsLocallyOnlyAfterItsCommitmentExpired)
{
	int64_t end_us = SECOND + FP_PART_HOLD_US;

	probe_and_commit(5, SECOND);
	EXPECT_EQ(FP_EXHAUSTED, fp_part_take(&p, &VALID, false, end_us));
	EXPECT_EQ(FP_EXHAUSTED,
		  fp_part_take(&p, &VALID, false, end_us + 39999));
	EXPECT_EQ(FP_OK, fp_part_take(&p, &VALID, false, end_us + 40000));
}

int take_reserve(fp_part *p, int64_t now_us)
{
	int n = 0;

	while (fp_part_take_spare(p, &VALID, now_us) == FP_OK)
		n++;
	return n;
}

/* A quarter of 100 per second, for half a second: 12 tokens. */
TEST_F(RateShare, ReserveCoversWhatAShareEarnsInALostBucket)
{
	int64_t end_us = SECOND + FP_PART_HOLD_US;

	probe_and_commit(5, SECOND, 900);
	EXPECT_EQ(0, take_reserve(&p, end_us - 1));
	EXPECT_EQ(12, take_reserve(&p, end_us));
	EXPECT_EQ(0, take_reserve(&p, end_us + 1));
	/* The next reserve is allowed only 5 s later. */
	probe_and_commit(6, end_us + 2, 900);
	EXPECT_EQ(0, take_reserve(&p, end_us + 4 * SECOND));
	probe_and_commit(7, end_us + 4 * SECOND, 900);
	EXPECT_EQ(12, take_reserve(&p, end_us + 6 * SECOND));
}

TEST_F(RateShare, ReserveIgnoresTheFillOfTheNextOwner)
{
	probe_and_commit(5, SECOND, 1000);
	commit(6, SECOND + 1);
	fp_part_answered(&p, 6, 88, 0, SECOND + 2);
	EXPECT_EQ(12, take_reserve(&p, SECOND + FP_PART_HOLD_US));
}

TEST_F(RateShare, NoReserveForAnEmptyBucketOrAfterARelease)
{
	probe_and_commit(5, SECOND, 0);
	EXPECT_EQ(0, take_reserve(&p, 2 * SECOND));
	probe_and_commit(6, 10 * SECOND, 1000);
	fp_part_released(&p, 6, 10 * SECOND + 1);
	EXPECT_EQ(0, take_reserve(&p, 11 * SECOND));
	/* The reserve of a nearly empty bucket is what the bucket had. */
	probe_and_commit(7, 20 * SECOND, 200);
	EXPECT_EQ(5, take_reserve(&p, 21 * SECOND));
}

TEST_F(RateShare, AStartingProcessHasAReserveOfHalfASecond)
{
	fp_right none = {};

	fp_part_init(&p);
	fp_part_set(&p, 100, 100, 4, SECOND);
	EXPECT_EQ(FP_AGAIN, fp_part_take_spare(&p, &none, SECOND));
	EXPECT_EQ(12, take_reserve(&p, SECOND));
	EXPECT_EQ(0, take_reserve(&p, SECOND + 1));
}

TEST_F(RateShare, AnOldClockReadingIsNotUsed)
{
	probe_and_commit(5, SECOND);
	EXPECT_EQ(0, commit(5, SECOND + FP_PART_MAX_SPAN_US + 1).stamp_us);
}

} // namespace
