/* test_balancer_retry.cc - retries of calls that were refused for load */
#include <gtest/gtest.h>

#include "uneven_sim.h"

static const uint64_t SEED = sim_seed(20261208);

struct retry_result {
	double served;
	double useless; /* retries per call that were refused or late */
};

/* Four workers, one of them at a quarter of the speed, and ten entries. In waves
 * every second half of a second has 0.3 of the load. */
static retry_result play(uneven_retry retry, double load, bool in_waves)
{
	uneven_sim s(WAY_SLOTS, SEED);
	const char *const names[] = { "never", "always", "where free" };
	retry_result r;

	s.retry = retry;
	for (double speed : { 0.25, 1.0, 1.0, 1.0 })
		s.add(speed);
	for (int i = 0; i < 12; i++) {
		s.rate_per_s = load * s.capacity();
		s.run_s(0.5);
		s.rate_per_s *= in_waves ? 0.3 : 1;
		s.run_s(0.5);
	}
	r.served = s.got(2000000, 13000000).served;
	r.useless = (double)s.n_useless / (double)s.samples.size();
	printf("seed %ju, %.1f times the capacity%s, retried %s: served %.4f, "
	       "useless retries %.3f a call\n",
	       (uintmax_t)SEED, load, in_waves ? " in waves" : "", names[retry],
	       r.served, r.useless);
	return r;
}

TEST(BalancerRetry, RetriesGoWhereThereIsRoom)
{
	for (bool in_waves : { false, true }) {
		for (double load : { 1.0, 1.5, 3.0 }) {
			retry_result never = play(RETRY_NEVER, load, in_waves);
			retry_result always =
				play(RETRY_ALWAYS, load, in_waves);
			retry_result free =
				play(RETRY_WITH_CAPACITY, load, in_waves);

			EXPECT_GE(free.served, always.served - 0.01) << load;
			EXPECT_GE(free.served, never.served - 0.01) << load;
			EXPECT_LE(free.useless, always.useless) << load;
			if (load == 3) {
				EXPECT_LE(free.useless, always.useless / 2);
			}
		}
	}
}

/* ---- single decisions ---- */

struct Room : testing::Test {
	struct fp_balancer *b = fp_balancer_init("a", "r", false);
	int64_t now_us = 100000000;
	uint64_t id = 0;

	Room()
	{
		for (uint64_t i = 1; i <= 3; i++) {
			struct fp_balancer_worker w = {};

			w.id = i;
			strcpy(w.service, "s");
			w.slots = 10;
			w.serving = true;
			w.warm_us = 1;
			fp_balancer_put_worker(b, &w, now_us);
		}
	}
	~Room()
	{
		fp_balancer_end(b);
	}
	void news(uint64_t worker, uint32_t running, uint16_t refused_permille)
	{
		struct fp_admission_load l = { 10, running, 0, 0, {} };

		l.refused_permille[4] = refused_permille;
		fp_balancer_call_sent(b, worker);
		fp_balancer_call_ended(b, worker, FP_BALANCER_REFUSED, 1000, &l,
				       now_us);
	}
	bool found(uint8_t rank, uint64_t draw = 1)
	{
		const uint64_t tried[] = { 1 };

		return fp_balancer_pick_retry(b, "s", rank, tried, 1, draw,
					      now_us, &id) == FP_OK;
	}
};

TEST_F(Room, FullWorkersHaveNone)
{
	news(1, 0, 0); /* tried */
	news(2, 10, 501);
	news(3, 10, 501);
	EXPECT_FALSE(found(4));
	EXPECT_TRUE(found(0)); /* no call of that rank was refused */
	news(3, 10, 500);
	EXPECT_TRUE(found(4));
	EXPECT_EQ(3u, id);
}

TEST_F(Room, AFreePlaceIsRoom)
{
	news(2, 10, 600);
	news(3, 9, 600);
	for (uint64_t draw = 0; draw < 50; draw++) {
		EXPECT_TRUE(found(4, draw));
		EXPECT_EQ(3u, id);
	}
	/* taken by a call that is on its way */
	for (int i = 0; i < 10; i++)
		fp_balancer_call_sent(b, 3);
	EXPECT_FALSE(found(4));
}

TEST_F(Room, OldNewsCostOneCall)
{
	news(2, 10, 600);
	news(3, 10, 600);
	now_us += 1000001;
	EXPECT_TRUE(found(4));
	fp_balancer_call_sent(b, 2);
	fp_balancer_call_sent(b, 3);
	EXPECT_FALSE(found(4));
}
