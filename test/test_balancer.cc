/* test_balancer.cc - domains, warm-up, ejection, stalled workers, subsets */
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <deque>
#include <map>
#include <set>

#include "sim_worker.h"
#include "state/balancer.h"
#include "state/worker_model.h"

static const uint64_t SEED = sim_seed(20260708);
static const int64_t START_US = 100000000;

/* Workers that answer after 20 ms, and a client that sends 500 calls a
 * second. */
struct sim_fleet {
	struct fp_balancer *c;
	sim_random random = { SEED };
	int64_t now_us = START_US;
	std::multimap<int64_t, uint64_t> ends; /* calls in flight by end time */
	std::set<uint64_t> failing;
	std::set<uint64_t> stalled;
	std::map<uint64_t, int> picked; /* calls in the last run_s(), by id */
	int n_failed_picks = 0;

	explicit sim_fleet(bool off = false)
	    : c(fp_balancer_init("a", "r", off))
	{
		fp_balancer_set_self(c, SEED);
	}
	sim_fleet(const sim_fleet &) = delete;
	~sim_fleet()
	{
		fp_balancer_end(c);
	}
	void put(uint64_t id, const char *domain, int64_t warm_us = 1,
		 bool serving = true, bool suspected = false)
	{
		struct fp_balancer_worker w = {};

		w.id = id;
		strcpy(w.service, "s");
		strcpy(w.failure_domain, domain);
		strcpy(w.region, "r");
		w.slots = 20;
		w.serving = serving;
		w.suspected = suspected;
		w.warm_us = warm_us;
		ASSERT_EQ(FP_OK, fp_balancer_put_worker(c, &w, now_us));
	}
	void end_calls()
	{
		while (!ends.empty() && ends.begin()->first <= now_us) {
			uint64_t id = ends.begin()->second;

			ends.erase(ends.begin());
			fp_balancer_call_ended(c, id,
					       failing.count(id) ?
						       FP_BALANCER_FAILED :
						       FP_BALANCER_OK,
					       20000, NULL, now_us);
		}
	}
	/* Runs for some seconds and counts the picks of that time only. */
	void run_s(double seconds)
	{
		int64_t end_us = now_us + (int64_t)(seconds * 1e6);
		uint64_t id;

		picked.clear();
		for (; now_us < end_us; now_us += 2000) {
			end_calls();
			if (fp_balancer_pick(c, "s", NULL, 0, random.next(),
					     now_us, &id) != FP_OK) {
				n_failed_picks++;
				continue;
			}
			fp_balancer_call_sent(c, id);
			picked[id]++;
			if (!stalled.count(id))
				ends.insert(
					{ now_us + (failing.count(id) ? 1000 :
									20000),
					  id });
		}
	}
	double pick_fraction(uint64_t id)
	{
		int all = 0;

		for (auto &p : picked)
			all += p.second;
		return (double)picked[id] / all;
	}
};

TEST(Balancer, PrefersLocalWorkersUnlessBusy)
{
	sim_fleet f;
	struct fp_admission_load busy = { 20, 20, 40, 0, { 0, 0, 0 } };

	f.put(1, "a");
	f.put(2, "a");
	f.put(3, "b");
	f.put(4, "b");
	f.run_s(2);
	EXPECT_EQ(0, f.picked[3] + f.picked[4]);
	EXPECT_NEAR(0.5, f.pick_fraction(1), 0.05);
	for (uint64_t id = 1; id <= 2; id++)
		fp_balancer_call_ended(f.c, id, FP_BALANCER_CANCELLED, 0, &busy,
				       f.now_us);
	f.run_s(1);
	EXPECT_GT(f.pick_fraction(3) + f.pick_fraction(4), 0.95);
}

/* Calls of other nodes fill the local workers; this node's own calls do not
 * show it. */
TEST(Balancer, AFullLocalWorkerLosesToALessFullRemoteOne)
{
	sim_fleet f;
	struct fp_admission_load full = { 20, 19, 0, 0, { 0, 0, 0 } };
	struct fp_admission_load half = { 20, 10, 0, 0, { 0, 0, 0 } };
	struct fp_admission_load busy = { 20, 15, 0, 0, { 0, 0, 0 } };
	auto advertise = [&f](uint64_t id, struct fp_admission_load *load) {
		fp_balancer_call_ended(f.c, id, FP_BALANCER_CANCELLED, 0, load,
				       f.now_us);
	};

	for (uint64_t id = 1; id <= 4; id++)
		f.put(id, id <= 2 ? "a" : "b");
	f.run_s(2);
	for (uint64_t id = 1; id <= 4; id++)
		advertise(id, id <= 2 ? &full : &half);
	f.run_s(1);
	EXPECT_GT(f.pick_fraction(3) + f.pick_fraction(4), 0.95);
	for (uint64_t id = 1; id <= 4; id++)
		advertise(id, &full);
	f.run_s(1);
	EXPECT_EQ(0, f.picked[3] + f.picked[4]);
	for (uint64_t id = 1; id <= 4; id++)
		advertise(id, id <= 2 ? &busy : &half);
	f.run_s(1);
	EXPECT_EQ(0, f.picked[3] + f.picked[4]);
	advertise(1, &full);
	advertise(2, &full);
	f.failing = { 3, 4 };
	f.run_s(1);
	EXPECT_LT(f.pick_fraction(3) + f.pick_fraction(4), 0.1);
}

TEST(Balancer, ColdWorkerRampsUp)
{
	sim_fleet f;

	f.put(1, "a");
	f.put(2, "a");
	f.put(3, "a", 0);
	f.run_s(1);
	EXPECT_GT(f.pick_fraction(3), 0.01);
	EXPECT_LT(f.pick_fraction(3), 0.5 / 3);
	f.run_s(10);
	f.run_s(2);
	EXPECT_NEAR(1.0 / 3, f.pick_fraction(3), 0.05);
}

/* Guards against a warm-up that starts again: each membership change reports
 * every worker, also the unchanged ones. */
TEST(Balancer, RepeatedMembershipUpdateKeepsWorkerWarm)
{
	sim_fleet f;

	f.put(1, "a");
	f.put(2, "a");
	f.put(3, "a", 0);
	f.run_s(11);
	f.put(3, "a", 0);
	f.run_s(1);
	EXPECT_NEAR(1.0 / 3, f.pick_fraction(3), 0.05);
	/* A worker that stopped serving and returns warms up again. */
	f.put(3, "a", 0, false);
	f.put(3, "a", 0);
	f.run_s(1);
	EXPECT_LT(f.pick_fraction(3), 0.5 / 3);
}

TEST(Balancer, WarmUpEndsAtTheReportedTime)
{
	sim_fleet f;

	f.put(1, "a");
	f.put(2, "a");
	f.put(3, "a", START_US + 5000000);
	f.run_s(1);
	EXPECT_LT(f.pick_fraction(3), 0.75 / 3);
	f.run_s(4);
	f.run_s(1);
	EXPECT_NEAR(1.0 / 3, f.pick_fraction(3), 0.05);
}

TEST(Balancer, SkipsDrainingAndSuspectedWorkers)
{
	sim_fleet f;
	const uint64_t tried[] = { 3 };
	uint64_t id = 0;

	f.put(1, "a", 0, false);
	f.put(2, "a", 0, true, true);
	f.put(3, "a");
	f.run_s(1);
	EXPECT_EQ(1, f.pick_fraction(3));
	/* A suspected worker is used if no other is left, a draining one
	 * never. */
	EXPECT_EQ(FP_OK,
		  fp_balancer_pick(f.c, "s", tried, 1, 5, f.now_us, &id));
	EXPECT_EQ(2U, id);
	fp_balancer_remove_worker(f.c, 2);
	EXPECT_EQ(FP_NOT_FOUND,
		  fp_balancer_pick(f.c, "s", tried, 1, 5, f.now_us, &id));
}

/* Fraction of the calls that one of five workers receives while it fails all of
 * them immediately, which makes it look idle. */
static double failing_worker_fraction(bool off)
{
	sim_fleet f(off);

	for (uint64_t id = 1; id <= 5; id++)
		f.put(id, "a");
	f.run_s(2);
	f.failing.insert(3);
	f.run_s(30);
	return f.pick_fraction(3);
}

TEST(Balancer, FailingWorkerGetsFewCallsAndRecovers)
{
	double on = failing_worker_fraction(false);
	double off = failing_worker_fraction(true);
	sim_fleet f;

	printf("seed %ju calls to a worker that fails all: %.4f, off %.4f\n",
	       (uintmax_t)SEED, on, off);
	EXPECT_LT(on, 0.01);
	EXPECT_GT(off, 0.01);
	for (uint64_t id = 1; id <= 3; id++)
		f.put(id, "a");
	f.failing.insert(3);
	f.run_s(5);
	f.failing.clear();
	f.run_s(30);
	f.run_s(2);
	EXPECT_NEAR(1.0 / 3, f.pick_fraction(3), 0.05);
}

TEST(Balancer, NoneIsEjectedWhenAllFail)
{
	sim_fleet f;

	for (uint64_t id = 1; id <= 4; id++)
		f.put(id, "a");
	f.failing = { 1, 2, 3, 4 };
	f.run_s(5);
	f.run_s(5);
	EXPECT_EQ(0, f.n_failed_picks);
	for (uint64_t id = 1; id <= 4; id++)
		EXPECT_GT(f.pick_fraction(id), 0.1) << id;
	f.failing.clear();
	f.run_s(2);
	f.run_s(5);
	for (uint64_t id = 1; id <= 4; id++)
		EXPECT_NEAR(0.25, f.pick_fraction(id), 0.08) << id;
}

TEST(Balancer, SkipsStalledWorker)
{
	sim_fleet f;

	for (uint64_t id = 1; id <= 3; id++)
		f.put(id, "a");
	f.run_s(1);
	f.stalled.insert(2);
	f.run_s(1);
	f.run_s(5);
	EXPECT_EQ(0, f.picked[2]);
	f.stalled.insert({ 1, 3 });
	f.run_s(2);
	EXPECT_EQ(0, f.n_failed_picks);
}

TEST(Balancer, UsesASubsetOfALargeService)
{
	std::map<uint64_t, int> uses;
	std::vector<uint64_t> used_ids;

	for (uint64_t node = 0; node < 100; node++) {
		sim_fleet f;

		fp_balancer_set_self(f.c, node);
		for (uint64_t id = 0; id < 740; id++)
			f.put(id, id % 10 ? "b" : "a");
		for (uint64_t draw = 0; draw < 740; draw++) {
			uint64_t id;

			if (fp_balancer_pick(f.c, "s", used_ids.data(),
					     (uint32_t)used_ids.size(), draw,
					     f.now_us, &id) != FP_OK)
				break;
			used_ids.push_back(id);
			uses[id]++;
		}
		EXPECT_EQ(32U, used_ids.size());
		used_ids.clear();
	}
	/* Each node uses 24 of the 74 local and 8 of the 666 remote workers. */
	for (uint64_t id = 0; id < 740; id += 10)
		EXPECT_NEAR(100 * 24 / 74.0, uses[id], 25) << id;
}

/* Twenty nodes and five workers of 20 slots at 85 % of their capacity, one of
 * them at half speed. A worker reports its queue with each answer. Returns the
 * 99th percentile of the response time in ms. */
static double response_p99_ms(bool off)
{
	struct call {
		size_t node;
		uint64_t worker;
		int64_t sent_us;
	};
	std::deque<sim_fleet> fleets;
	std::vector<std::vector<call>> waiting(5);
	std::vector<uint32_t> running(5);
	std::multimap<int64_t, call> ends;
	std::vector<int64_t> responses;
	sim_random random = { SEED };
	int64_t now_us = START_US;
	int64_t next_us = START_US;

	for (size_t i = 0; i < 20; i++) {
		fleets.emplace_back(off);
		for (uint64_t id = 0; id < 5; id++)
			fleets[i].put(id, "a");
	}
	for (; now_us < START_US + 20000000; now_us += 100) {
		while (!ends.empty() && ends.begin()->first <= now_us) {
			call k = ends.begin()->second;
			struct fp_admission_load load = {};

			ends.erase(ends.begin());
			running[k.worker]--;
			load.limit = 20;
			load.queued = (uint32_t)waiting[k.worker].size();
			fp_balancer_call_ended(
				fleets[k.node].c, k.worker, FP_BALANCER_OK,
				now_us - k.sent_us, &load, now_us);
			responses.push_back(now_us - k.sent_us);
		}
		for (; next_us <= now_us;
		     next_us +=
		     (int64_t)(-1e6 / (0.85 * 4500) * log(1 - random.unit()))) {
			call k = { random.next() % 20, 0, now_us };
			struct fp_balancer *c = fleets[k.node].c;

			fp_balancer_pick(c, "s", NULL, 0, random.next(), now_us,
					 &k.worker);
			fp_balancer_call_sent(c, k.worker);
			waiting[k.worker].push_back(k);
		}
		for (size_t w = 0; w < 5; w++)
			while (running[w] < 20 && !waiting[w].empty()) {
				double run_us = 20000 * (0.5 + random.unit()) *
						(w == 0 ? 2 : 1);

				ends.insert({ now_us + (int64_t)run_us,
					      waiting[w].front() });
				waiting[w].erase(waiting[w].begin());
				running[w]++;
			}
	}
	std::sort(responses.begin(), responses.end());
	return (double)responses[responses.size() * 99 / 100] / 1000;
}

TEST(Balancer, PowerOfTwoChoicesBalancesLoad)
{
	double on = response_p99_ms(false);
	double off = response_p99_ms(true);

	printf("seed %ju response p99 %.1f ms, off %.1f ms\n", (uintmax_t)SEED,
	       on, off);
	EXPECT_LT(on, 100);
	EXPECT_GT(off, 100);
}

/* Share of idle worker 2 among the picks; the news are told before. */
static double idle_fraction(sim_fleet &f)
{
	int n = 0;

	for (int i = 0; i < 20000; i++) {
		uint64_t id = 0;

		fp_balancer_pick(f.c, "s", NULL, 0, f.random.next(), f.now_us,
				 &id);
		n += id == 2;
	}
	return n / 20000.0;
}

static void tell(sim_fleet &f, uint64_t id, const char *route, uint32_t own_us,
		 uint32_t age_ms = 0)
{
	struct fp_worker_speed speed = {};

	speed.own_us = own_us;
	speed.age_ms = age_ms;
	fp_balancer_note_speed(f.c, id, route, &speed, f.now_us);
}

/* Slowdowns of 0.5 and 2: weights 4 to 1, and of two different draws the fast one.
 * One pick in sixteen goes by slots, so that the slow one is not forgotten. */
TEST(Balancer, FollowsTheSlowdown)
{
	sim_fleet f;

	f.put(1, "a");
	f.put(2, "a");
	for (int i = 0; i < 1000; i++) {
		tell(f, 1, "r", 20000);
		tell(f, 2, "r", 80000);
	}
	EXPECT_NEAR(15 / 16.0 * 0.2 * 0.2 + 1 / 16.0 * 0.5, idle_fraction(f),
		    0.012);
	fp_balancer_set_learning(f.c, false);
	EXPECT_NEAR(0.5, idle_fraction(f), 0.02);
}

TEST(Balancer, TakesSmallDifferencesForNone)
{
	sim_fleet f;

	f.put(1, "a");
	f.put(2, "a");
	for (int i = 0; i < 1000; i++) {
		tell(f, 1, "r", 20000);
		tell(f, 2, "r", 22000);
	}
	EXPECT_NEAR(0.5, idle_fraction(f), 0.02);
}

TEST(Balancer, IgnoresOldNewsOfTheSlowdown)
{
	sim_fleet f;

	f.put(1, "a");
	f.put(2, "a");
	for (int i = 0; i < 1000; i++) {
		tell(f, 1, "r", 20000, 10000);
		tell(f, 2, "r", 80000, 10000);
	}
	EXPECT_NEAR(0.5, idle_fraction(f), 0.02);
}

/* A worker that gets the longer requests is not slow. */
TEST(Balancer, ComparesTheSlowdownByRoute)
{
	sim_fleet f;

	f.put(1, "a");
	f.put(2, "a");
	for (int i = 0; i < 1000; i++) {
		tell(f, 1, i % 8 ? "short" : "long", i % 8 ? 20000 : 200000);
		tell(f, 2, i % 8 ? "long" : "short", i % 8 ? 200000 : 20000);
	}
	EXPECT_NEAR(0.5, idle_fraction(f), 0.02);
}
