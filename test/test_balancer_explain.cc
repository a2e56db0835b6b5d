/* test_balancer_explain.cc - the explanation is what the pick then does */
#include <gtest/gtest.h>

#include <cstring>
#include <memory>
#include <string>

#include "sim_worker.h"
#include "state/admission.h"
#include "state/balancer_explain.h"
#include "state/balancer_private.h"
#include "state/worker_model.h"

static const uint64_t SEED = sim_seed(20261206);
static const int64_t START_US = 100000000;

/* Workers in random states: in two domains, warming up, suspected, leaving,
 * loaded, slow, failing, stalled. */
struct Table {
	struct fp_balancer *b;
	struct fp_balancer_explanation e;
	sim_random random;
	int64_t now_us = START_US;
	uint64_t n;

	Table(uint64_t seed, uint64_t workers, bool off = false)
	    : b(fp_balancer_init("a", "r", off)), random{ seed }, n(workers)
	{
		fp_balancer_set_self(b, seed);
		for (uint64_t id = 1; id <= n; id++)
			put(id);
		for (int i = 0; i < 40 * (int)n; i++)
			call(1 + random.next() % n);
	}
	Table(const Table &) = delete;
	~Table()
	{
		fp_balancer_end(b);
	}
	bool one_in(uint64_t k)
	{
		return random.next() % k == 0;
	}
	void put(uint64_t id)
	{
		struct fp_balancer_worker w = {};

		w.id = id;
		strcpy(w.service, one_in(4) ? "other" : "s");
		strcpy(w.failure_domain, one_in(2) ? "a" : "b");
		w.slots = 1 + (uint32_t)(random.next() % 40);
		w.serving = !one_in(8);
		w.suspected = one_in(8);
		w.warm_us = one_in(4) ? now_us + 8000000 : 1;
		ASSERT_EQ(FP_OK, fp_balancer_put_worker(b, &w, now_us));
	}
	/* Sends a call to a worker, and ends it in some way or not at all. */
	void call(uint64_t id)
	{
		struct fp_admission_load load = {};
		struct fp_worker_speed speed = {};

		now_us += (int64_t)(random.next() % 20000);
		fp_balancer_call_sent(b, id);
		if (one_in(6))
			return;
		load.limit = 1 + (uint32_t)(random.next() % 40);
		load.queued = (uint32_t)(random.next() % 8);
		load.running = (uint32_t)(random.next() % 40);
		fp_balancer_call_ended(b, id,
				       id % 5 == 0 ? FP_BALANCER_FAILED :
				       one_in(9)   ? FP_BALANCER_REFUSED :
						     FP_BALANCER_OK,
				       20000, id % 5 ? &load : NULL, now_us);
		speed.own_us = 10000 + 5000 * (uint32_t)(id % 4);
		fp_balancer_note_speed(b, id, "route", &speed, now_us);
	}
	void explain(uint64_t draw)
	{
		fp_balancer_explain(b, "s", draw, now_us, &e);
	}
};

static void expect_as_picked(Table &t, uint64_t draw)
{
	uint64_t id = 0;
	uint64_t next = 0;

	t.explain(draw);
	EXPECT_EQ(t.e.found, fp_balancer_pick(t.b, "s", NULL, 0, draw, t.now_us,
					      &id) == FP_OK);
	EXPECT_EQ(id, t.e.id);
	EXPECT_EQ(t.e.has_runner_up,
		  t.e.found && fp_balancer_pick(t.b, "s", &id, 1, draw,
						t.now_us, &next) == FP_OK);
	EXPECT_EQ(next, t.e.runner_up);
}

TEST(BalancerExplain, NamesWhatThePickChooses)
{
	for (uint64_t k = 0; k < 60; k++) {
		Table t(SEED + k, 1 + k, k % 7 == 6);

		for (uint64_t draw = 0; draw < 20; draw++)
			expect_as_picked(t, draw + k);
		EXPECT_FALSE(::testing::Test::HasFailure()) << k;
	}
}

TEST(BalancerExplain, ChangesNoByteOfTheTable)
{
	for (uint64_t k = 0; k < 10; k++) {
		Table t(SEED + k, 5 + 20 * k);
		std::string before((const char *)t.b, sizeof(*t.b));

		/* Later than the last call, as a question is. */
		t.now_us += 123456;
		t.explain(k);
		EXPECT_EQ(0, memcmp(before.data(), t.b, sizeof(*t.b))) << k;
	}
}

TEST(BalancerExplain, SharesAreThoseOfPicks)
{
	const int PICKS = 20000;
	Table t(SEED, 12);
	uint32_t sum = 0;

	t.explain(1);
	for (uint32_t i = 0; i < t.e.n; i++) {
		const struct fp_balancer_candidate *c = &t.e.candidates[i];
		int picked = 0;
		uint64_t id;

		for (int k = 0; k < PICKS; k++)
			picked += fp_balancer_pick(t.b, "s", NULL, 0,
						   t.random.next(), t.now_us,
						   &id) == FP_OK &&
				  id == c->info.id;
		/* four standard deviations of a share counted from the draws */
		EXPECT_NEAR((double)picked / PICKS,
			    (double)c->share / FP_BALANCER_DRAWS, 0.064)
			<< c->info.id;
		sum += c->share;
	}
	EXPECT_EQ(FP_BALANCER_DRAWS, sum);
}

TEST(BalancerExplain, FiguresAndAgesAreThoseOfTheTable)
{
	Table t(SEED, 0);
	struct fp_balancer_worker w = {};
	struct fp_admission_load load = {};

	strcpy(w.service, "s");
	strcpy(w.failure_domain, "a");
	w.slots = 20;
	w.serving = true;
	w.warm_us = 1;
	for (w.id = 1; w.id <= 2; w.id++)
		fp_balancer_put_worker(t.b, &w, t.now_us);
	load.limit = 10;
	load.queued = 2;
	load.running = 6;
	fp_balancer_call_sent(t.b, 1);
	fp_balancer_call_ended(t.b, 1, FP_BALANCER_OK, 20000, &load, t.now_us);
	for (int i = 0; i < 10; i++) {
		fp_balancer_call_sent(t.b, 2);
		fp_balancer_call_ended(t.b, 2, FP_BALANCER_FAILED, 0, NULL,
				       t.now_us);
	}
	t.now_us += 300000;
	t.explain(1);
	ASSERT_EQ(2u, t.e.n);
	const struct fp_balancer_candidate *c = t.e.candidates;

	EXPECT_EQ(10u, c[0].limit);
	EXPECT_EQ(300000, c[0].load_age_us);
	EXPECT_DOUBLE_EQ(0.2, c[0].load);
	EXPECT_DOUBLE_EQ(0.8, c[0].fill);
	EXPECT_TRUE(c[0].drawn);
	EXPECT_EQ(-1, c[0].slowdown_age_us);
	EXPECT_EQ(FP_BALANCER_DRAWS, c[0].share);
	EXPECT_TRUE(c[1].ejected);
	EXPECT_FALSE(c[1].drawn);
	EXPECT_EQ(-1, c[1].load_age_us);
	EXPECT_EQ(0u, c[1].share);
	/* Without a worker there is nothing to choose. */
	fp_balancer_explain(t.b, "none", 1, t.now_us, &t.e);
	EXPECT_FALSE(t.e.found);
	EXPECT_EQ(0u, t.e.n);
}
