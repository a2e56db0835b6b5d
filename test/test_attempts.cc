/* test_attempts.cc - retry limits of call trees, ratios and retry storms */
#include <gtest/gtest.h>

#include <cstdio>
#include <map>

#include "sim_worker.h"
#include "state/attempts.h"

static const uint64_t SEED = sim_seed(20260705);

/* ---- one budget per call tree ---- */

struct call_tree {
	sim_random random;
	double fail; /* fraction of sends that fail */
	bool shared; /* false: each call has its own budget */
	uint32_t retries;
	uint32_t calls; /* first sends */

	void call(struct fp_attempt_budget *budget, int depth)
	{
		uint32_t children = depth ? (uint32_t)random.next() % 4 : 0;

		calls++;
		while (random.unit() < fail && budget->left > 0) {
			budget->left--;
			retries++;
		}
		for (uint32_t i = 0; i < children; i++) {
			struct fp_attempt_budget child = { 3 };
			uint32_t want = (uint32_t)random.next() % 4;

			if (shared)
				child.left =
					fp_attempt_budget_lend(budget, want);
			call(&child, depth - 1);
			if (shared)
				fp_attempt_budget_return(budget, child.left);
		}
	}
};

TEST(AttemptBudget, TreeRetriesAtMostTheBudgetOfItsRoot)
{
	uint32_t worst_unshared = 0;

	printf("seed %ju\n", (uintmax_t)SEED);
	for (uint64_t i = 0; i < 5000; i++) {
		struct fp_attempt_budget budget = { (uint32_t)i % 5 };
		call_tree t = {
			{ SEED + i }, (double)(i % 11) / 10, true, 0, 0
		};

		t.call(&budget, 6);
		ASSERT_EQ((uint32_t)i % 5, t.retries + budget.left)
			<< "tree " << i;
		budget.left = 3;
		t.shared = false;
		t.retries = 0;
		t.call(&budget, 6);
		worst_unshared = std::max(worst_unshared, t.retries);
	}
	EXPECT_GT(worst_unshared, 100U);
}

/* ---- ratios ---- */

TEST(Ratio, LimitsRetriesToARatioOfFirstSends)
{
	struct fp_retry_ratio r;
	int retries = 0;

	fp_retry_ratio_init(&r, 10, 5, 0);
	for (int64_t i = 0; i < 10000; i++) {
		fp_retry_ratio_first_send(&r, i * 1000);
		for (int j = 0; j < 3; j++)
			retries += fp_retry_ratio_take(&r, i * 1000) == FP_OK;
	}
	/* The initial tokens, 10 % of the first sends, one per full second. */
	EXPECT_EQ(5 + 1000 + 9, retries);
}

TEST(Ratio, AddsOneTokenPerSecond)
{
	struct fp_retry_ratio r;
	int retries = 0;

	fp_retry_ratio_init(&r, 0, 0, 0);
	for (int64_t t = 0; t <= 20000000; t += 1000)
		retries += fp_retry_ratio_take(&r, t) == FP_OK;
	EXPECT_EQ(20, retries);
}

/* ---- retries by callers ---- */

struct CallerRetries : testing::Test {
	struct fp_caller_retries *r = fp_caller_retries_init(4, 10);

	~CallerRetries() override
	{
		fp_caller_retries_end(r);
	}
};

TEST_F(CallerRetries, DistinguishesRetriesFromEqualRequests)
{
	const uint32_t org = 1;
	int refused = 0;

	fp_caller_retries_set_percent(r, 0);
	for (int i = 0; i < 15; i++)
		fp_caller_retries_failed(r, 7, 1000);
	for (int i = 0; i < 100; i++)
		refused += fp_caller_retries_admit(r, org, 7, 2000) != FP_OK;
	/* Ten tokens at the start; the other five failures remain until they
	 * expire. */
	EXPECT_EQ(90, refused);
	EXPECT_EQ(FP_OK, fp_caller_retries_admit(r, org, 8, 2000));
	EXPECT_EQ(FP_OK, fp_caller_retries_admit(r, 2, 7, 2000));
	EXPECT_EQ(FP_OK, fp_caller_retries_admit(r, org, 7, 10100000));
}

/* Sends to a service that fails every request; callers retry each request every
 * 100 ms. Returns admitted sends per first send. */
static double retry_storm(struct fp_caller_retries *r, bool off, uint32_t org)
{
	struct pending {
		uint64_t fingerprint;
		int left;
	};
	std::multimap<int64_t, pending> retry_queue; /* by send time */
	uint64_t last = (uint64_t)org << 32;
	int firsts = 0;
	int admitted = 0;

	for (int64_t t = 0; t < 20000000; t += 2000) {
		retry_queue.insert({ t, { ++last, 10 } });
		firsts++;
		while (!retry_queue.empty() &&
		       retry_queue.begin()->first <= t) {
			pending p = retry_queue.begin()->second;

			retry_queue.erase(retry_queue.begin());
			if (off || fp_caller_retries_admit(
					   r, org, p.fingerprint, t) == FP_OK) {
				admitted++;
				fp_caller_retries_failed(r, p.fingerprint, t);
			}
			if (p.left-- > 0)
				retry_queue.insert({ t + 100000, p });
		}
	}
	return (double)admitted / firsts;
}

TEST_F(CallerRetries, RetryStormStaysWithinItsLimit)
{
	double on = retry_storm(r, false, 0);
	double off = retry_storm(r, true, 0);

	printf("executions per root: %.3f, off %.3f\n", on, off);
	EXPECT_LE(on, 1.2);
	EXPECT_GT(off, 1.2);
	/* Other organisations have their own ratio. */
	fp_caller_retries_failed(r, 5, 20000000);
	EXPECT_EQ(FP_OK, fp_caller_retries_admit(r, 1, 5, 20000000));
	EXPECT_EQ(FP_OK, fp_caller_retries_admit(r, UINT32_MAX, 6, 20000000));
}

/* Guards against a floor that is credited for the time before the first use,
 * which would allow many retries when the clock started long ago. */
TEST(CallerRetriesFloor, AddsNoTokensBeforeFirstUse)
{
	const int64_t now_us = INT64_C(86400) * 1000000;
	struct fp_caller_retries *r = fp_caller_retries_init(1, 10);
	int passed = 0;

	for (uint64_t i = 1; i <= 200; i++) {
		EXPECT_EQ(FP_OK, fp_caller_retries_admit(r, 0, i, now_us));
		fp_caller_retries_failed(r, i, now_us);
	}
	for (uint64_t i = 1; i <= 200; i++)
		passed += fp_caller_retries_admit(r, 0, i, now_us) == FP_OK;
	EXPECT_LE(passed, 40);
	EXPECT_GE(passed, 20);
	fp_caller_retries_end(r);
}
