/* test_admission.cc - goodput, fairness and recovery of a simulated worker */
#include <gtest/gtest.h>

#include <cstdio>
#include <functional>
#include <vector>

#include "sim_worker.h"

static const uint64_t SEED = sim_seed(20260704);

/* 20 slots of 20 ms: a capacity of 1000 requests per second. */
static struct fp_admission_params params(bool off)
{
	return { off, 20, 100, 20000, 2000 };
}

static void add_orgs(sim_worker &s, enum fp_class cls, double rate, int retries)
{
	for (uint32_t org = 0; org < 4; org++)
		s.add(cls, org, 100, rate / 4, 20000, 300000, retries);
}

static void set_rates(sim_worker &s, double rate)
{
	for (sim_source &c : s.sources)
		c.rate_per_s = rate / (double)s.sources.size();
}

struct worker_case {
	uint32_t slots;
	int64_t run_us;
	int64_t deadline_us;
};

static const worker_case WORKERS[] = { { 20, 20000, 300000 },
				       { 100, 200000, 1000000 },
				       { 20, 200000, 1000000 },
				       { 4, 50000, 500000 } };

static double goodput_at(const worker_case &c, bool off, double load_factor)
{
	struct fp_admission_params p = params(off);
	double capacity = c.slots * 1e6 / (double)c.run_us;

	p.slots = c.slots;
	sim_worker s(p, SEED);
	for (uint32_t org = 0; org < 4; org++)
		s.add(FP_CLASS_NORMAL, org, 100, capacity * load_factor / 4,
		      c.run_us, c.deadline_us, 3);
	s.run_s(25);
	return s.goodput(5, 20) / capacity;
}

TEST(Surge, GoodputAtThreeTimesCapacity)
{
	for (const worker_case &c : WORKERS) {
		double at_capacity = goodput_at(c, false, 1);
		double controlled = goodput_at(c, false, 3);
		double baseline = goodput_at(c, true, 3);

		printf("seed %ju slots %u: goodput/capacity at 1x %.3f, "
		       "3x %.3f, 3x off %.3f\n",
		       (uintmax_t)SEED, c.slots, at_capacity, controlled,
		       baseline);
		EXPECT_GE(at_capacity, 0.8);
		EXPECT_GE(controlled, 0.9 * at_capacity);
		EXPECT_LT(baseline, 0.9 * at_capacity);
	}
}

/* Seconds after a surge until 99 % of the first sends of a second are served.
 * If slow is not 0, the number of cores is divided by it during the surge. */
static int recovery_s(bool off, int slow)
{
	sim_worker s(params(off), SEED);
	int second;

	add_orgs(s, FP_CLASS_NORMAL, 800, 3);
	s.run_s(5);
	set_rates(s, 5000);
	if (slow)
		s.cores /= slow;
	s.run_s(10);
	set_rates(s, 800);
	s.cores = 20;
	s.run_s(45);
	for (second = 15; second < 55; second++)
		if (s.goodput(second, second + 1) >=
		    0.99 * s.demand(second, second + 1))
			break;
	return second - 15;
}

TEST(Surge, RecoversWithinFiveSeconds)
{
	int full_speed = recovery_s(false, 0);
	int slowed = recovery_s(false, 3);
	int baseline = recovery_s(true, 3);

	printf("seed %ju seconds to normal after 5x %d, with a third of the "
	       "speed %d, off %d\n",
	       (uintmax_t)SEED, full_speed, slowed, baseline);
	EXPECT_LE(full_speed, 5);
	EXPECT_LE(slowed, 5);
	EXPECT_GT(baseline, 5);
}

TEST(Surge, QueueStaysNearItsTarget)
{
	sim_worker s(params(false), SEED);
	struct fp_admission_load load;

	add_orgs(s, FP_CLASS_NORMAL, 5000, 3);
	s.run_s(10);
	fp_admission_read_load(s.a, &load);
	printf("seed %ju delay %u us, queued %u, limit %u\n", (uintmax_t)SEED,
	       load.delay_us, load.queued, load.limit);
	EXPECT_LE(load.delay_us, 2 * 20000U);
	EXPECT_LE(load.limit, 20U);
	EXPECT_GE(load.refused_permille[FP_CLASS_NORMAL], 500);
	set_rates(s, 0);
	s.run_s(5);
	fp_admission_read_load(s.a, &load);
	EXPECT_LE(load.refused_permille[FP_CLASS_NORMAL], 20);
	EXPECT_EQ(0U, load.queued);
}

/* ---- slower backend servers ---- */

struct slow_backend_case {
	const char *name;
	double cores; /* of 20 */
	double slowdown;
	int64_t deadline_us;
	/* 0.8 of the goodput of a perfect limit, 0.6 with a short deadline */
	double min_goodput;
};

/* Next value of a gradient-based limit, for comparison. floor_us is the run
 * time without overload; the caller sets the result as the announced slots. */
static double gradient(sim_worker &s, double limit, double floor_us)
{
	double ratio = 1;

	for (uint64_t id : s.running) {
		const sim_request &r = s.live[id];

		if ((double)(s.now_us - r.started_us) > floor_us)
			ratio = std::min(
				ratio,
				floor_us / (double)(s.now_us - r.started_us));
	}
	limit = 0.8 * limit +
		0.2 * (limit * std::max(0.5, ratio) + sqrt(limit));
	return std::min(20.0, std::max(1.0, limit));
}

static double slowed_goodput(const slow_backend_case &c, bool off,
			     bool by_gradient)
{
	sim_worker s(params(off), SEED);
	double limit = 20;

	add_orgs(s, FP_CLASS_NORMAL, 900, 1);
	for (sim_source &source : s.sources)
		source.deadline_us = c.deadline_us;
	s.run_s(5);
	s.cores = c.cores;
	s.slowdown = c.slowdown;
	for (int i = 0; i < 150; i++) {
		s.run_s(0.1);
		if (!by_gradient)
			continue;
		limit = gradient(s, limit, 30000);
		s.p.slots = (uint32_t)limit;
		fp_admission_set_params(s.a, &s.p, s.now_us);
	}
	return s.goodput(10, 19);
}

TEST(SlowBackend, KeepsGoodputAtAThirdOfTheSpeed)
{
	const slow_backend_case cases[] = {
		{ "processor, ample deadline", 6.67, 1, 300000, 0.8 * 333 },
		{ "processor, short deadline", 6.67, 1, 60000, 0.6 * 333 },
		{ "neighbour, ample deadline", 20, 3, 300000, 0.8 * 333 },
	};

	for (const slow_backend_case &c : cases) {
		double aimd = slowed_goodput(c, false, false);
		double by_gradient = slowed_goodput(c, false, true);
		double baseline = slowed_goodput(c, true, false);

		printf("seed %ju %s: goodput/s AIMD %.0f, gradient %.0f, "
		       "off %.0f\n",
		       (uintmax_t)SEED, c.name, aimd, by_gradient, baseline);
		EXPECT_GE(aimd, c.min_goodput) << c.name;
		EXPECT_LT(baseline, c.min_goodput) << c.name;
	}
}

/* ---- fairness between organisations and classes ---- */

/* Lowest served fraction of the organisations that stay within their rate,
 * while heavy_org sends five times its rate. Capacity is 1000 units; the rates
 * are in units and their sum is 870. */
static double worst_served(const worker_case &c, bool off, int heavy_org)
{
	const uint32_t rates[] = { 300, 200, 150, 100, 50, 40, 20, 10 };
	struct fp_admission_params p = params(off);
	double unit = c.slots * 1e3 / (double)c.run_us;
	double worst = 1;

	p.slots = c.slots;
	sim_worker s(p, SEED);
	for (int org = 0; org < 8; org++)
		s.add(FP_CLASS_NORMAL, (uint32_t)org, rates[org],
		      rates[org] * unit * (org == heavy_org ? 5 : 1), c.run_us,
		      c.deadline_us, org == heavy_org ? 5 : 0);
	s.run_s(122);
	for (int org = 0; org < 8; org++)
		if (org != heavy_org)
			worst = std::min(worst, s.served_fraction(org, 1, 120));
	return worst;
}

/* A server of 1000/s refuses 55 of 100 requests for 8 s while it has free
 * slots; callers send up to two more times. */
TEST(FaultyBackend, RefusalsWithFreeSlotsDoNotLowerTheLimit)
{
	struct fp_admission_params p = { false, 20, 100, 20000, 2000 };
	sim_worker s(p, SEED);
	struct fp_admission_load load;

	s.add(FP_CLASS_NORMAL, 0, 100, 600, 20000, 300000, 2);
	s.run_s(2);
	s.refused_share = 0.55;
	s.run_s(8);
	fp_admission_read_load(s.a, &load);
	EXPECT_EQ(20U, load.limit);
	/* 1 - 0.55^3 of the requests find a server that runs them. */
	EXPECT_GE(s.served_fraction(0, 2, 10), 0.95 * (1 - pow(0.55, 3)));
	s.refused_share = 0;
	s.run_s(4);
	EXPECT_GE(s.served_fraction(0, 11, 13), 0.99);
}

/* Without a report refusals count as load, but the limit stays at what the
 * server runs to the end. */
TEST(FaultyBackend, KeepsTheConcurrencyThatFinishes)
{
	struct fp_admission_params p = { false, 20, 100, 20000, 2000 };
	sim_worker s(p, SEED);

	s.reports_room = false;
	s.add(FP_CLASS_NORMAL, 0, 100, 3000 / 0.45, 20000, 300000, 0);
	s.run_s(2);
	s.refused_share = 0.55;
	s.run_s(8);
	EXPECT_GE(s.goodput(3, 10), 900);
	s.refused_share = 0;
	s.run_s(4);
	EXPECT_GE(s.goodput(11, 13), 900);
}

TEST(Fairness, ServesOrganisationsInsideTheirRate)
{
	const int heavy_orgs[] = { 0, 7 };

	for (const worker_case &c : WORKERS)
		for (int heavy_org : heavy_orgs) {
			double worst = worst_served(c, false, heavy_org);
			double baseline = worst_served(c, true, heavy_org);

			printf("seed %ju slots %u, run %jd us, five times by "
			       "%d: worst-served %.3f, off %.3f\n",
			       (uintmax_t)SEED, c.slots, (intmax_t)c.run_us,
			       heavy_org, worst, baseline);
			EXPECT_GE(worst, 0.95);
			if (heavy_org == 0) {
				EXPECT_LT(baseline, 0.95);
			}
		}
}

TEST(Fairness, ServesImportantDemandBelowHalfOfCapacity)
{
	double served[2];

	for (int off = 0; off < 2; off++) {
		sim_worker s(params(off), SEED);

		add_orgs(s, FP_CLASS_IMPORTANT, 450, 0);
		add_orgs(s, FP_CLASS_NORMAL, 2500, 3);
		add_orgs(s, FP_CLASS_SHEDDABLE, 2500, 3);
		s.run_s(32);
		served[off] = 1;
		for (int i = 0; i < 4; i++)
			served[off] = std::min(served[off],
					       s.served_fraction(i, 1, 30));
	}
	printf("seed %ju important served %.4f, off %.4f\n", (uintmax_t)SEED,
	       served[0], served[1]);
	EXPECT_GE(served[0], 0.99);
	EXPECT_LT(served[1], 0.99);
}

TEST(Fairness, ServesNestedCallsBeforeNewRoots)
{
	sim_worker s(params(false), SEED);
	int nested = s.add(FP_CLASS_NORMAL, 0, 100, 600, 20000, 300000, 0);
	int roots = s.add(FP_CLASS_NORMAL, 1, 100, 3000, 20000, 300000, 0);

	s.sources[nested].nested = true;
	s.run_s(21);
	printf("seed %ju nested served %.4f, roots %.4f\n", (uintmax_t)SEED,
	       s.served_fraction(nested, 1, 20),
	       s.served_fraction(roots, 1, 20));
	EXPECT_GE(s.served_fraction(nested, 1, 20), 0.99);
	EXPECT_LT(s.served_fraction(roots, 1, 20), 0.2);
}

/* ---- single decisions ---- */

struct recorder {
	std::vector<uint64_t> started;
	std::vector<uint64_t> refused;
	std::vector<enum fp_reason> why;
};

static void record_start(void *ctx, uint64_t id, int64_t)
{
	((recorder *)ctx)->started.push_back(id);
}

static void record_refuse(void *ctx, uint64_t id, enum fp_reason why)
{
	((recorder *)ctx)->refused.push_back(id);
	((recorder *)ctx)->why.push_back(why);
}

struct Decision : testing::Test {
	recorder seen;
	struct fp_admission_params p = { false, 1, 100, 20000, 3 };
	struct fp_admission_sink sink = { record_start, record_refuse, &seen,
					  nullptr };
	struct fp_admission *a = fp_admission_init(&p, &sink);

	~Decision() override
	{
		fp_admission_end(a);
	}
	enum fp_status offer(uint64_t id, enum fp_class cls, uint32_t org,
			     bool nested = false, int64_t deadline_us = 900000)
	{
		struct fp_admission_request r = { id,  cls,    org,
						  100, nested, deadline_us };

		return fp_admission_offer(a, &r, 1000);
	}
};

TEST_F(Decision, ServesByClassThenNestedThenFairShare)
{
	offer(1, FP_CLASS_NORMAL, 0);
	offer(2, FP_CLASS_NORMAL, 0);
	offer(3, FP_CLASS_NORMAL, 1, true);
	offer(4, FP_CLASS_IMPORTANT, 2);
	for (int i = 0; i < 4; i++)
		fp_admission_done(a, 0, 10, false, 2000);
	EXPECT_EQ((std::vector<uint64_t>{ 1, 4, 3, 2 }), seen.started);
}

TEST_F(Decision, FullQueueEvictsTheLeastImportant)
{
	offer(1, FP_CLASS_NORMAL, 0);
	EXPECT_EQ(FP_OK, offer(2, FP_CLASS_SHEDDABLE, 0));
	EXPECT_EQ(FP_OK, offer(3, FP_CLASS_NORMAL, 0));
	EXPECT_EQ(FP_OK, offer(4, FP_CLASS_NORMAL, UINT32_MAX));
	EXPECT_EQ(FP_FULL, offer(5, FP_CLASS_SHEDDABLE, 1));
	EXPECT_TRUE(seen.refused.empty());
	EXPECT_EQ(FP_OK, offer(6, FP_CLASS_IMPORTANT, 0));
	EXPECT_EQ((std::vector<uint64_t>{ 2 }), seen.refused);
	EXPECT_EQ(FP_OK, offer(7, FP_CLASS_NORMAL, 1));
	EXPECT_EQ((std::vector<uint64_t>{ 2, 3 }), seen.refused);
	EXPECT_EQ(FP_REASON_OVERLOADED, seen.why[1]);
}

TEST_F(Decision, RefusesRequestsThatCannotMeetTheirDeadline)
{
	offer(1, FP_CLASS_NORMAL, 0);
	for (int i = 0; i < 100; i++) {
		offer(100, FP_CLASS_NORMAL, 0, false, 90000000);
		fp_admission_done(a, 0, 50000, false, 2000);
	}
	seen = {};
	offer(2, FP_CLASS_NORMAL, 0, false, 40000);
	offer(3, FP_CLASS_NORMAL, 0, false, 400000);
	fp_admission_tick(a, 10000);
	EXPECT_EQ((std::vector<uint64_t>{ 2 }), seen.refused);
	EXPECT_EQ(FP_REASON_DEADLINE, seen.why[0]);
	fp_admission_tick(a, 360000);
	EXPECT_EQ((std::vector<uint64_t>{ 2, 3 }), seen.refused);
}

TEST_F(Decision, CancelRemovesOnlyQueuedRequests)
{
	offer(1, FP_CLASS_NORMAL, 0);
	offer(2, FP_CLASS_NORMAL, 0);
	EXPECT_EQ(FP_NOT_FOUND, fp_admission_cancel(a, 1, 1000));
	EXPECT_EQ(FP_OK, fp_admission_cancel(a, 2, 1000));
	EXPECT_EQ(FP_NOT_FOUND, fp_admission_cancel(a, 2, 1000));
	fp_admission_done(a, 1, 10, false, 2000);
	EXPECT_EQ((std::vector<uint64_t>{ 1 }), seen.started);
	EXPECT_TRUE(seen.refused.empty());
}

TEST_F(Decision, LimitIsAtMostTheSlotsAndAtLeastOne)
{
	struct fp_admission_load load;
	const uint32_t percents[] = { 0, 50, 100, 400 };
	const uint32_t limits[] = { 1, 5, 10, 10 };

	p.slots = 10;
	for (int i = 0; i < 4; i++) {
		p.concurrency_percent = percents[i];
		fp_admission_set_params(a, &p, 1000);
		fp_admission_read_load(a, &load);
		EXPECT_EQ(limits[i], load.limit);
	}
	for (int64_t t = 1; t < 100; t++) {
		offer(1000 + t, FP_CLASS_NORMAL, 0, false, t * 200000 + 100000);
		fp_admission_done(a, 0, 1, true, t * 200000);
	}
	fp_admission_read_load(a, &load);
	EXPECT_EQ(1U, load.limit);
}

TEST_F(Decision, KeepsQueuedRequestsWhenControlIsSwitched)
{
	offer(1, FP_CLASS_NORMAL, 0);
	offer(2, FP_CLASS_SHEDDABLE, 0);
	p.off = true;
	fp_admission_set_params(a, &p, 1000);
	offer(3, FP_CLASS_IMPORTANT, 0);
	fp_admission_done(a, 1, 10, false, 2000);
	p.off = false;
	fp_admission_set_params(a, &p, 2000);
	fp_admission_done(a, 2, 10, false, 2000);
	EXPECT_EQ((std::vector<uint64_t>{ 1, 2, 3 }), seen.started);
} /* The pace of a server's starts, as its owner tells it. */
struct Paced : testing::Test {
	recorder seen;
	int64_t wait_us = 0; /* until the next start */
	struct fp_admission_params p = { false, 8, 100, 20000, 64 };
	struct fp_admission *a = nullptr;

	Paced()
	{
		struct fp_admission_sink sink = {
			[](void *ctx, uint64_t id, int64_t) {
				auto *t = static_cast<Paced *>(ctx);

				t->seen.started.push_back(id);
				t->wait_us = 100000;
			},
			[](void *ctx, uint64_t id, enum fp_reason why) {
				record_refuse(&static_cast<Paced *>(ctx)->seen,
					      id, why);
			},
			this,
			[](void *ctx, int64_t) {
				return static_cast<Paced *>(ctx)->wait_us;
			},
		};

		a = fp_admission_init(&p, &sink);
	}
	~Paced() override
	{
		fp_admission_end(a);
	}
	enum fp_status offer(uint64_t id, enum fp_class cls)
	{
		struct fp_admission_request r = { id,  (uint8_t)cls, 0,
						  100, false,	     900000 };

		return fp_admission_offer(a, &r, 1000);
	}
	/* The time until the next start passes. */
	void next_start(int64_t now_us)
	{
		wait_us = 0;
		fp_admission_tick(a, now_us);
	}
};

/* Free slots do not start what the pace forbids; the most important request is
 * started first when it may. */
TEST_F(Paced, TheMostImportantRequestGetsTheNextStart)
{
	EXPECT_EQ(FP_OK, offer(1, FP_CLASS_NORMAL));
	EXPECT_EQ(FP_OK, offer(2, FP_CLASS_SHEDDABLE));
	EXPECT_EQ(FP_OK, offer(3, FP_CLASS_IMPORTANT));
	EXPECT_EQ(std::vector<uint64_t>{ 1 }, seen.started);
	next_start(100000);
	EXPECT_EQ((std::vector<uint64_t>{ 1, 3 }), seen.started);
	next_start(200000);
	EXPECT_EQ((std::vector<uint64_t>{ 1, 3, 2 }), seen.started);
	EXPECT_TRUE(seen.refused.empty());
}

/* What would wait for long is refused at once, the least important first, and
 * can run elsewhere. */
TEST_F(Paced, WhatCannotStartSoonIsRefusedAtOnce)
{
	for (uint64_t id = 1; id <= 5; id++)
		offer(id, FP_CLASS_SHEDDABLE);
	EXPECT_EQ(FP_OK, offer(6, FP_CLASS_IMPORTANT));
	struct fp_admission_load load;
	fp_admission_read_load(a, &load);
	EXPECT_EQ(2u, load.queued);
	EXPECT_EQ(1u, load.running);
	wait_us = 800000;
	EXPECT_EQ(FP_FULL, offer(7, FP_CLASS_IMPORTANT));
	fp_admission_read_load(a, &load);
	EXPECT_EQ(0u, load.queued);
	for (auto why : seen.why)
		EXPECT_EQ(FP_REASON_OVERLOADED, why);
}
