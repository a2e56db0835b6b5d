/* test_worker_model.cc - own time by route, nested calls, reports, the knee */
#include <gtest/gtest.h>

#include <cmath>

#include "sim_worker.h"
#include "state/worker_model.h"

static const uint64_t SEED = sim_seed(20261206);
static const uint32_t SLOTS = 20;

/* One worker that is kept at a number of running requests. */
struct sim_model {
	struct fp_worker_model *m = fp_worker_model_init();
	sim_random random = { SEED };
	int64_t now_us = 1000000;
	double slowness = 1; /* of the machine */
	double knee = 1; /* share of the slots ... */
	double slow = 1; /* ... above which work takes so many times as long */
	double long_share = 0; /* requests of the route "long" */
	int64_t inner_us = 0; /* nested calls of a request */
	bool full = false;
	bool may_probe = true;
	uint32_t target = 10; /* running requests, below the limit */
	uint32_t limit = SLOTS;
	uint32_t ended = 0;
	struct request {
		const char *route;
		double left_us;
		struct fp_worker_run run;
	};
	std::vector<request> running;
	std::function<uint32_t()> says; /* percent, after each answer */

	sim_model() = default;
	sim_model(const sim_model &) = delete;
	~sim_model()
	{
		fp_worker_model_end(m);
	}
	void start()
	{
		bool is_long = random.unit() < long_share;
		request r = { is_long ? "long" : "short",
			      (is_long ? 200000 : 20000) *
				      (0.5 + random.unit()),
			      {} };

		fp_worker_model_started(m, &r.run, now_us);
		running.push_back(r);
	}
	void step()
	{
		std::vector<request> left;
		double speed = 1 / slowness;

		now_us += 1000;
		if (running.size() > knee * SLOTS)
			speed /= slow;
		for (request &r : running) {
			/* Nested calls come first and take their own time. */
			if (now_us - r.run.started_us > inner_us)
				r.left_us -= 1000 * speed;
			if (r.left_us > 0) {
				left.push_back(r);
				continue;
			}
			if (says)
				fp_worker_model_report(m, says(), now_us);
			fp_worker_model_ended(m, &r.run, r.route, inner_us,
					      true, now_us);
			ended++;
		}
		running.swap(left);
		limit = fp_worker_model_concurrency(m, SLOTS, full, may_probe,
						    now_us);
		while (running.size() < target && running.size() < limit)
			start();
	}
	void run_s(double seconds)
	{
		for (int i = 0; i < seconds * 1000; i++)
			step();
	}
	struct fp_worker_speed read(const char *route)
	{
		struct fp_worker_speed s;

		fp_worker_model_read(m, route, now_us, &s);
		return s;
	}
	/* Mean of the learned own time over a second; a single reading varies
	 * with the last 32 runs. */
	double own_us(const char *route)
	{
		double sum = 0;

		for (int i = 0; i < 50; i++) {
			run_s(0.02);
			sum += read(route).own_us;
		}
		return sum / 50;
	}
};

TEST(WorkerModel, KnowsNothingAtFirst)
{
	sim_model s;
	struct fp_worker_speed speed = s.read("short");

	EXPECT_EQ(0u, speed.own_us);
	EXPECT_EQ(0u, speed.rate_per_s);
	EXPECT_EQ(0u, speed.percent);
	EXPECT_EQ(SLOTS, fp_worker_model_concurrency(s.m, SLOTS, true, true,
						     s.now_us));
}

/* Slow callees are not a slow machine: the worker's own time stays. */
TEST(WorkerModel, TakesNestedCallsOut)
{
	sim_model s;
	double own_us;

	s.run_s(3);
	own_us = s.own_us("short");
	s.inner_us = 80000;
	s.run_s(3);
	EXPECT_NEAR(own_us, s.own_us("short"), own_us * 0.15);
	EXPECT_NEAR(80000, s.read("short").inner_us, 4000);
}

/* A change of the mix is not a slow machine. */
TEST(WorkerModel, KeepsRoutesApart)
{
	sim_model s;
	double own_us;

	s.long_share = 0.1;
	s.run_s(5);
	own_us = s.own_us("short");
	EXPECT_NEAR(10.0, s.own_us("long") / own_us, 2.0);
	s.long_share = 0.8;
	s.run_s(5);
	EXPECT_NEAR(own_us, s.own_us("short"), own_us * 0.15);
}

TEST(WorkerModel, FollowsAChangeOfSpeed)
{
	sim_model s;
	double own_us;

	s.run_s(5);
	own_us = s.own_us("short");
	s.slowness = 2;
	s.run_s(3);
	EXPECT_NEAR(2.0, s.own_us("short") / own_us, 0.3);
	s.slowness = 1;
	s.run_s(3);
	EXPECT_NEAR(1.0, s.own_us("short") / own_us, 0.15);
}

/* Fast changes of the machine that it tells of: the usual time stays, the
 * momentary one is told, and not for long without a new report. */
TEST(WorkerModel, UsesReportsThatExplainTheTimes)
{
	sim_model s;
	double own_us;

	s.run_s(5);
	own_us = s.own_us("short");
	s.says = [&s] { return (uint32_t)(s.slowness * 100); };
	for (int i = 0; i < 20; i++) {
		s.slowness = i % 2 ? 1 : 3;
		s.run_s(0.4);
	}
	EXPECT_NEAR(100, s.read("short").percent, 10);
	EXPECT_NEAR(1.0, s.own_us("short") / own_us, 0.25);
	s.slowness = 3;
	s.run_s(0.4);
	EXPECT_GT(s.read("short").percent, 250);
	s.now_us += 301000;
	EXPECT_EQ(0u, s.read("short").percent);
}

TEST(WorkerModel, IgnoresReportsThatExplainNothing)
{
	for (int kind = 0; kind < 2; kind++) {
		sim_model s;
		double own_us;

		s.run_s(5);
		own_us = s.own_us("short");
		s.says = [&s, kind] {
			return kind ? 25 + (uint32_t)(s.random.next() % 900) :
				      1000;
		};
		s.run_s(5);
		EXPECT_EQ(0u, s.read("short").percent) << kind;
		EXPECT_NEAR(1.0, s.own_us("short") / own_us, 0.15) << kind;
	}
}

/* Requests ended in five seconds by a full worker with a knee. */
static uint32_t ended_when_full(bool may_probe, uint32_t *limit)
{
	sim_model s;

	s.knee = 0.7;
	s.slow = 2;
	s.target = SLOTS;
	s.full = true;
	s.may_probe = may_probe;
	s.run_s(10);
	s.ended = 0;
	s.run_s(5);
	*limit = s.limit;
	return s.ended;
}

TEST(WorkerModel, FindsTheKneeWhenFull)
{
	uint32_t learned;
	uint32_t unlearned;
	uint32_t on = ended_when_full(true, &learned);
	uint32_t off = ended_when_full(false, &unlearned);

	printf("seed %ju ended in 5 s: %u with a limit of %u, %u with %u\n",
	       (uintmax_t)SEED, on, learned, off, unlearned);
	EXPECT_EQ(SLOTS, unlearned);
	EXPECT_LE(learned, SLOTS * 4 / 5);
	EXPECT_GT(on, off * 1.2);
}

/* The limit goes back to the slots when the knee has gone. */
TEST(WorkerModel, GrowsAgainWhenTheKneeHasGone)
{
	sim_model s;

	s.knee = 0.7;
	s.slow = 2;
	s.target = SLOTS;
	s.full = true;
	s.run_s(10);
	EXPECT_LE(s.limit, SLOTS * 4 / 5);
	s.knee = 1;
	s.may_probe = false;
	s.run_s(10);
	EXPECT_LE(s.limit, SLOTS * 4 / 5);
	s.may_probe = true;
	s.run_s(40);
	EXPECT_GE(s.limit, SLOTS * 9 / 10);
}

/* A worker that takes all its slots well keeps them, but for short probes. */
TEST(WorkerModel, KeepsTheSlotsWithoutAKnee)
{
	sim_model s;
	uint32_t limited_ms = 0;

	s.target = SLOTS;
	s.full = true;
	for (int i = 0; i < 60000; i++) {
		s.step();
		ASSERT_LE(s.limit, SLOTS);
		limited_ms += s.limit < SLOTS;
	}
	EXPECT_LT(limited_ms, 60000 * 0.05);
}

TEST(WorkerModel, AnotherProcessIsLearnedAnew)
{
	sim_model s;

	s.run_s(5);
	fp_worker_model_reset(s.m, s.now_us);
	EXPECT_EQ(0u, s.read("short").own_us);
	fp_worker_model_concurrency(s.m, SLOTS, false, false, s.now_us);
	/* Runs that the one before began tell nothing. */
	for (auto &r : s.running)
		fp_worker_model_ended(s.m, &r.run, r.route, 0, true,
				      s.now_us + 500000);
	EXPECT_EQ(0u, s.read("short").own_us);
}
