/* test_rate_share.cc - a rate share is used in one bucket at a time */
#include <gtest/gtest.h>

#include "state/rate_share.h"

namespace
{

constexpr int64_t SECOND = 1000000;
constexpr fp_share_validity VALID = { 0, 1000 * SECOND };

class RateShare : public testing::Test
{
      protected:
	void SetUp() override
	{
		fp_rate_share_init(&p);
		p.unreleased = false;
		fp_rate_share_set(&p, 100, 100, 4, SECOND);
	}
	fp_commitment commit(uint64_t owner, int64_t now_us,
			     const fp_share_validity &r = VALID)
	{
		fp_commitment c;

		fp_rate_share_commit(&p, &r, owner, FP_RATE_SHARE_HOLD_US,
				     now_us, &c);
		return c;
	}
	/* Probes the owner's clock, commits, and processes both answers. */
	fp_commitment probe_and_commit(uint64_t owner, int64_t now_us,
				       uint32_t fill = 0)
	{
		fp_commitment c;

		commit(owner, now_us);
		fp_rate_share_handle_response(&p, owner, 77, 0, now_us);
		c = commit(owner, now_us);
		fp_rate_share_handle_response(&p, owner, 77, fill, now_us);
		return c;
	}
	fp_rate_share p;
};

TEST_F(RateShare, IsCommittedOnlyAfterAClockProbe)
{
	fp_commitment c = commit(5, SECOND);

	EXPECT_EQ(0, c.hold_us);
	EXPECT_EQ(0, c.owner_clock_us);
	EXPECT_EQ(4u, c.n_shares);
	EXPECT_FALSE(fp_rate_share_is_committed(&p, SECOND));
	fp_rate_share_handle_response(&p, 6, 50, 0,
				      SECOND); /* answer of another node */
	EXPECT_EQ(0, commit(5, SECOND).hold_us);
	fp_rate_share_handle_response(&p, 5, 77, 0, SECOND);
	c = commit(5, SECOND + 300);
	EXPECT_EQ(FP_RATE_SHARE_HOLD_US, c.hold_us);
	EXPECT_EQ(77, c.owner_clock_us);
	EXPECT_EQ(300, c.owner_clock_age_us);
}

TEST_F(RateShare, IsNotUsedElsewhereBeforeItsCommitmentExpires)
{
	int64_t end_us = SECOND + FP_RATE_SHARE_HOLD_US;

	probe_and_commit(5, SECOND);
	EXPECT_EQ(FP_AGAIN, fp_rate_share_take(&p, &VALID, true, end_us - 1));
	commit(6, SECOND + 1);
	fp_rate_share_handle_response(&p, 6, 88, 0, SECOND + 2);
	EXPECT_EQ(0, commit(6, end_us - 1).hold_us);
	EXPECT_EQ(5u, p.owner);
	EXPECT_EQ(FP_RATE_SHARE_HOLD_US, commit(6, end_us).hold_us);
	EXPECT_EQ(FP_AGAIN, fp_rate_share_take(&p, &VALID, true, end_us));
}

/* When demand begins, the long commitment of an idle node becomes a short one,
 * but only once the owner has answered it in time. */
TEST_F(RateShare, AShortCommitmentReplacesALongOneWhenItIsAnswered)
{
	fp_commitment c;
	int64_t end_us;

	commit(5, SECOND);
	fp_rate_share_handle_response(&p, 5, 77, 0, SECOND);
	fp_rate_share_commit(&p, &VALID, 5, 10 * SECOND, SECOND, &c);
	fp_rate_share_handle_response(&p, 5, 77, 0, SECOND);
	EXPECT_TRUE(fp_rate_share_is_committed(&p, 11 * SECOND - 1));

	/* ignored by the owner, as it arrived after its end */
	c = commit(5, 2 * SECOND);
	fp_rate_share_handle_response(&p, 5, fp_commitment_end_us(&c), 0,
				      2 * SECOND + 600000);
	EXPECT_TRUE(fp_rate_share_is_committed(&p, 11 * SECOND - 1));

	end_us = 3 * SECOND + FP_RATE_SHARE_HOLD_US;
	c = commit(5, 3 * SECOND);
	EXPECT_TRUE(fp_rate_share_is_committed(&p, 11 * SECOND - 1));
	fp_rate_share_handle_response(&p, 5, fp_commitment_end_us(&c) - 1, 0,
				      3 * SECOND + 1000);
	EXPECT_TRUE(fp_rate_share_is_committed(&p, end_us - 1));
	EXPECT_FALSE(fp_rate_share_is_committed(&p, end_us));
}

/* The short commitment may be lost with its link; the answer to the probe after
 * it says nothing of it. */
TEST_F(RateShare, AnAnswerToAProbeShortensNothing)
{
	fp_commitment c;

	commit(5, SECOND);
	fp_rate_share_handle_response(&p, 5, 77, 0, SECOND);
	fp_rate_share_commit(&p, &VALID, 5, 10 * SECOND, SECOND, &c);
	fp_rate_share_handle_response(&p, 5, 77, 0, SECOND);
	EXPECT_NE(0, commit(5, 2 * SECOND).hold_us);
	EXPECT_EQ(0, commit(5, 2 * SECOND + 200000).hold_us);
	fp_rate_share_handle_response(&p, 5, 78, 0, 2 * SECOND + 200001);
	EXPECT_TRUE(fp_rate_share_is_committed(&p, 11 * SECOND - 1));
}

TEST_F(RateShare, MovesAtOnceWhenItsReleaseIsConfirmed)
{
	fp_commitment c;

	probe_and_commit(5, SECOND);
	fp_rate_share_release(&p, SECOND + 1, &c);
	EXPECT_TRUE(c.release);
	commit(6, SECOND + 1);
	fp_rate_share_handle_response(&p, 6, 88, 0, SECOND + 2);
	EXPECT_EQ(0, commit(6, SECOND + 2).hold_us);
	fp_rate_share_release_confirmed(
		&p, 9, SECOND + 3); /* answer of another node */
	EXPECT_EQ(0, commit(6, SECOND + 3).hold_us);
	fp_rate_share_release_confirmed(&p, 5, SECOND + 4);
	EXPECT_EQ(FP_RATE_SHARE_HOLD_US, commit(6, SECOND + 4).hold_us);
	fp_rate_share_release_confirmed(&p, 5, SECOND + 5); /* late answer */
	EXPECT_TRUE(fp_rate_share_is_committed(&p, SECOND + 5));
}

TEST_F(RateShare, AnUnansweredCommitmentIsNotRenewed)
{
	probe_and_commit(5, SECOND);
	commit(5, SECOND + 1);
	EXPECT_EQ(0, commit(5, SECOND + 1).hold_us);
	fp_rate_share_handle_response(&p, 5, 99, 0, SECOND + 2);
	EXPECT_EQ(FP_RATE_SHARE_HOLD_US, commit(5, SECOND + 3).hold_us);
}

TEST_F(RateShare, CommitmentEndsWithTheValidity)
{
	fp_share_validity r = { 0, SECOND + 100 };

	commit(5, SECOND);
	fp_rate_share_handle_response(&p, 5, 77, 0, SECOND);
	EXPECT_EQ(100, commit(5, SECOND, r).hold_us);
	fp_rate_share_handle_response(&p, 5, 78, 0, SECOND);
	EXPECT_EQ(0, commit(5, SECOND + 100, r).hold_us);
	EXPECT_EQ(FP_AGAIN, fp_rate_share_take(&p, &r, true, SECOND + 100));
}

TEST_F(RateShare, IsInvalidBeforeAllNodesCountTheNewMember)
{
	fp_share_validity r = { 5 * SECOND, 9 * SECOND };

	EXPECT_EQ(FP_AGAIN, fp_rate_share_take(&p, &r, true, SECOND));
	commit(5, SECOND, r);
	fp_rate_share_handle_response(&p, 5, 77, 0, SECOND);
	EXPECT_EQ(0, commit(5, 5 * SECOND - 1, r).hold_us);
	EXPECT_EQ(FP_OK, fp_rate_share_take(&p, &r, true, 5 * SECOND));
	EXPECT_EQ(FP_RATE_SHARE_HOLD_US, commit(5, 5 * SECOND, r).hold_us);
}

TEST_F(RateShare, RefillsLocallyOnlyAfterItsCommitmentExpired)
{
	int64_t end_us = SECOND + FP_RATE_SHARE_HOLD_US;

	probe_and_commit(5, SECOND);
	EXPECT_EQ(FP_EXHAUSTED, fp_rate_share_take(&p, &VALID, false, end_us));
	EXPECT_EQ(FP_EXHAUSTED,
		  fp_rate_share_take(&p, &VALID, false, end_us + 39999));
	EXPECT_EQ(FP_OK, fp_rate_share_take(&p, &VALID, false, end_us + 40000));
}

int take_reserve(fp_rate_share *p, int64_t now_us)
{
	int n = 0;

	while (fp_rate_share_take_reserve(p, &VALID, now_us) == FP_OK)
		n++;
	return n;
}

/* A quarter of 100 tokens per second for half a second, rounded down: 12. */
TEST_F(RateShare, ReserveCoversWhatAShareEarnsInALostBucket)
{
	int64_t end_us = SECOND + FP_RATE_SHARE_HOLD_US;

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
	fp_rate_share_handle_response(&p, 6, 88, 0, SECOND + 2);
	EXPECT_EQ(12, take_reserve(&p, SECOND + FP_RATE_SHARE_HOLD_US));
}

TEST_F(RateShare, AnUnusedReserveGoesWithTheNextCommitment)
{
	int64_t end_us = SECOND + FP_RATE_SHARE_HOLD_US;
	fp_commitment c;

	probe_and_commit(5, SECOND, 900);
	commit(6, end_us - 2);
	fp_rate_share_handle_response(&p, 6, 88, 0, end_us - 1);
	EXPECT_EQ(FP_OK, fp_rate_share_take_reserve(&p, &VALID, end_us));
	c = commit(6, end_us);
	EXPECT_EQ(FP_RATE_SHARE_HOLD_US, c.hold_us);
	EXPECT_EQ(11500000, c.reserve_micro);
	EXPECT_EQ(0, take_reserve(&p, end_us + 1));
	fp_rate_share_handle_response(&p, 6, 89, 0, end_us + 2);
	EXPECT_EQ(0, commit(6, end_us + 3).reserve_micro);
}

TEST_F(RateShare, AReserveThatHasLapsedIsNotCommitted)
{
	int64_t end_us = SECOND + FP_RATE_SHARE_HOLD_US;

	probe_and_commit(5, SECOND, 900);
	EXPECT_EQ(FP_OK, fp_rate_share_take_reserve(&p, &VALID, end_us));
	commit(6, end_us);
	fp_rate_share_handle_response(&p, 6, 88, 0, end_us);
	EXPECT_EQ(0,
		  commit(6, end_us + FP_RATE_SHARE_RESERVE_US).reserve_micro);
}

TEST_F(RateShare, NoReserveForAnEmptyBucketOrAfterARelease)
{
	probe_and_commit(5, SECOND, 0);
	EXPECT_EQ(0, take_reserve(&p, 2 * SECOND));
	probe_and_commit(6, 10 * SECOND, 1000);
	fp_rate_share_release_confirmed(&p, 6, 10 * SECOND + 1);
	EXPECT_EQ(0, take_reserve(&p, 11 * SECOND));
	/* The reserve is limited to the share's fraction of the tokens that the
	 * lost bucket had. */
	probe_and_commit(7, 20 * SECOND, 200);
	EXPECT_EQ(5, take_reserve(&p, 21 * SECOND));
}

TEST_F(RateShare, AStartingProcessHasAReserveOfHalfASecond)
{
	fp_share_validity none = {};

	fp_rate_share_init(&p);
	fp_rate_share_set(&p, 100, 100, 4, SECOND);
	EXPECT_EQ(FP_AGAIN, fp_rate_share_take_reserve(&p, &none, SECOND));
	EXPECT_EQ(12, take_reserve(&p, SECOND));
	EXPECT_EQ(0, take_reserve(&p, SECOND + 1));
}

TEST_F(RateShare, AnOldClockReadingIsNotUsed)
{
	probe_and_commit(5, SECOND);
	EXPECT_EQ(0, commit(5, SECOND + FP_RATE_SHARE_MAX_SPAN_US + 1)
			     .owner_clock_us);
}

} // namespace
