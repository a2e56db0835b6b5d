/* test_poison.cc - requests that crash workers are held back, others are not */
#include <gtest/gtest.h>

#include <cstdio>

#include "sim_worker.h"
#include "state/poison.h"

static const uint64_t SEED = sim_seed(20260706);
static const int64_t HOLD_US = 30000000;

struct Poison : testing::Test {
	struct fp_poison *p = fp_poison_init(HOLD_US);
	int64_t wait_us = 0;

	~Poison() override
	{
		fp_poison_end(p);
	}
};

TEST_F(Poison, IsHeldBackAfterTheSecondCrash)
{
	EXPECT_EQ(FP_AGAIN, fp_poison_report(p, 1, 100, 0));
	EXPECT_EQ(FP_AGAIN, fp_poison_report(p, 1, 100, 1000));
	EXPECT_EQ(FP_OK, fp_poison_check(p, 1, 1000, &wait_us));
	EXPECT_EQ(FP_OK, fp_poison_report(p, 1, 101, 2000));
	EXPECT_EQ(FP_DENIED, fp_poison_check(p, 1, 5000, &wait_us));
	EXPECT_EQ(HOLD_US - 3000, wait_us);
	/* A late copy of an old report does not lengthen the hold. */
	EXPECT_EQ(FP_OK, fp_poison_report(p, 1, 100, 9000));
	EXPECT_EQ(FP_DENIED, fp_poison_check(p, 1, HOLD_US + 1999, &wait_us));
	EXPECT_EQ(FP_OK, fp_poison_check(p, 1, HOLD_US + 2000, &wait_us));
	/* After a hold, one more crash is enough. */
	EXPECT_EQ(FP_OK, fp_poison_report(p, 1, 102, HOLD_US + 3000));
	EXPECT_EQ(FP_DENIED, fp_poison_check(p, 1, HOLD_US + 4000, &wait_us));
}

TEST_F(Poison, SuspectExpires)
{
	EXPECT_EQ(FP_AGAIN, fp_poison_report(p, 1, 100, 0));
	EXPECT_EQ(FP_AGAIN, fp_poison_report(p, 1, 101, HOLD_US));
}

/* Sends one request that crashes workers and many others to five workers; a
 * crash loses everything in flight. Returns the number of crashes;
 * *held_others counts the other requests that were held back. */
static int count_crashes(struct fp_poison *p, bool off, int *held_others)
{
	sim_random random = { SEED };
	std::vector<std::vector<uint64_t>> in_flight(5);
	uint64_t crashes = 0;
	int64_t wait_us;

	*held_others = 0;
	for (uint64_t i = 1; i < 20000; i++) {
		uint64_t fingerprint = i % 50 == 0 ? 1 : 1000 + i;
		int64_t now_us = (int64_t)i * 1000;
		std::vector<uint64_t> &w = in_flight[random.next() % 5];

		if (!off && fp_poison_check(p, fingerprint, now_us, &wait_us)) {
			*held_others += fingerprint != 1;
			continue;
		}
		w.push_back(fingerprint);
		if (w.size() > 20)
			w.erase(w.begin());
		if (fingerprint != 1)
			continue;
		crashes++;
		for (uint64_t f : w)
			fp_poison_report(p, f, crashes, now_us);
		w.clear();
	}
	return (int)crashes;
}

TEST_F(Poison, StopsACrashLoopWithoutHoldingOthersBack)
{
	int held;
	int baseline = count_crashes(p, true, &held);

	fp_poison_end(p);
	p = fp_poison_init(HOLD_US);
	int crashes = count_crashes(p, false, &held);

	printf("seed %ju crashes %d, off %d; others held back %d\n",
	       (uintmax_t)SEED, crashes, baseline, held);
	EXPECT_EQ(2, crashes);
	EXPECT_GT(baseline, 2);
	EXPECT_EQ(0, held);
}

TEST_F(Poison, ManySuspectsDoNotEvictAHeldRequest)
{
	fp_poison_report(p, 1, 100, 0);
	fp_poison_report(p, 1, 101, 0);
	for (uint64_t f = 2; f < 100000; f++)
		fp_poison_report(p, f, 102, 1000);
	EXPECT_EQ(FP_DENIED, fp_poison_check(p, 1, 2000, &wait_us));
}
