/* test_uneven.cc - what callers get when the workers of a service differ */
#include <gtest/gtest.h>

#include "uneven_sim.h"

static const uint64_t SEED = sim_seed(20261207);
static const double SPEEDS[] = { 0.5, 0.7, 1.0, 1.6 };
static const int64_t START_US = 1000000;

static void add_twenty(uneven_sim &s, double knee = 1, double slow = 1)
{
	for (int i = 0; i < 20; i++)
		s.add(SPEEDS[i % 4], knee, slow);
}

static int64_t at_s(double seconds)
{
	return START_US + (int64_t)(seconds * 1e6);
}

/* Twenty workers and ten entries at a share of what the workers take well; what
 * the calls of seconds 6 to 16 got. */
static uneven_sim::result at_load(uneven_way way, double load, double knee = 1,
				  double slow = 1, bool equal = false)
{
	uneven_sim s(way, SEED);
	uneven_sim::result r;

	add_twenty(s, knee, slow);
	if (equal)
		for (auto &w : s.servers)
			w->speed = 1;
	s.rate_per_s = load * s.capacity();
	s.run_s(16);
	r = s.got(at_s(6), at_s(16));
	uneven_print(equal    ? "equal servers" :
		     knee < 1 ? "a knee" :
				"speeds 0.5 to 1.6",
		     way, r);
	return r;
}

TEST(Uneven, LearnedSpeedsBeatEachBaseline)
{
	uneven_sim::result learned = at_load(WAY_LEARNED, 0.9);

	for (uneven_way way : { WAY_EQUAL, WAY_SLOTS, WAY_IN_FLIGHT }) {
		uneven_sim::result r = at_load(way, 0.9);

		EXPECT_GE(learned.served, r.served) << UNEVEN_WAYS[way];
		EXPECT_LT(learned.p99_ms, r.p99_ms * 0.95) << UNEVEN_WAYS[way];
	}
	EXPECT_GT(learned.served, 0.999);
}

TEST(Uneven, KneeIsFoundAndKept)
{
	uneven_sim::result learned = at_load(WAY_LEARNED, 0.9, 0.7, 1.8);

	for (uneven_way way : { WAY_EQUAL, WAY_SLOTS, WAY_IN_FLIGHT })
		EXPECT_GT(learned.served,
			  at_load(way, 0.9, 0.7, 1.8).served + 0.02)
			<< UNEVEN_WAYS[way];
}

TEST(Uneven, EqualServersAreServedAsBefore)
{
	for (double load : { 0.7, 0.9 }) {
		uneven_sim::result slots = at_load(WAY_SLOTS, load, 1, 1, true);
		uneven_sim::result learned =
			at_load(WAY_LEARNED, load, 1, 1, true);

		EXPECT_GE(learned.served, slots.served - 0.002);
		EXPECT_LT(learned.p99_ms, slots.p99_ms * 1.05);
	}
}

/* Share of the fair part by speed that server i got since `before`. */
static double part_of(const uneven_sim &s, size_t i,
		      const std::vector<int> &before)
{
	double ended = 0;
	double speed = 0;

	for (size_t k = 0; k < s.servers.size(); k++) {
		ended += s.servers[k]->ended - before[k];
		speed += s.servers[k]->speed;
	}
	return (s.servers[i]->ended - before[i]) / ended /
	       (s.servers[i]->speed / speed);
}

static std::vector<int> ended_now(const uneven_sim &s)
{
	std::vector<int> n;

	for (auto &w : s.servers)
		n.push_back(w->ended);
	return n;
}

/* Five fast workers slow down, and later they are fast again. What callers got
 * from 3 s after each change. */
static void change_in_mid_run(uneven_way way, uneven_sim::result *slow,
			      uneven_sim::result *again, double *part)
{
	uneven_sim s(way, SEED);
	std::vector<int> before;

	add_twenty(s);
	s.rate_per_s = 0.65 * s.capacity();
	s.run_s(6);
	for (int i = 3; i < 20; i += 4)
		s.servers[i]->speed = 0.6;
	s.run_s(9);
	*slow = s.got(at_s(9), at_s(15));
	for (int i = 3; i < 20; i += 4)
		s.servers[i]->speed = 1.6;
	s.run_s(3);
	before = ended_now(s);
	s.run_s(4);
	*again = s.got(at_s(18), at_s(22));
	*part = part_of(s, 3, before);
	uneven_print("slowed", way, *slow);
	uneven_print("fast again", way, *again);
}

TEST(Uneven, ChangesAreFollowedWithinThreeSeconds)
{
	uneven_sim::result slow;
	uneven_sim::result again;
	uneven_sim::result old_slow;
	uneven_sim::result old_again;
	double part;
	double old_part;

	change_in_mid_run(WAY_LEARNED, &slow, &again, &part);
	change_in_mid_run(WAY_SLOTS, &old_slow, &old_again, &old_part);
	EXPECT_GE(slow.served, old_slow.served - 0.002);
	EXPECT_LT(slow.p99_ms, old_slow.p99_ms);
	EXPECT_GT(again.served, 0.999);
	EXPECT_LT(again.p99_ms, old_again.p99_ms);
	/* It gets its part again. */
	EXPECT_GT(part, 0.8);
}

/* One worker says that its machine is slow, now and then or always, and it is
 * not; it still gets its part. */
TEST(Uneven, FalseReportsChangeNothing)
{
	for (int kind = 0; kind < 2; kind++) {
		uneven_sim s(WAY_LEARNED, SEED);
		std::vector<int> before;

		add_twenty(s);
		s.rate_per_s = 0.8 * s.capacity();
		for (int step = 0; step < 240; step++) {
			s.servers[2]->says =
				kind ? 50 + s.random.next() % 900 : 1000;
			if (step == 80)
				before = ended_now(s);
			s.run_s(0.05);
		}
		EXPECT_GT(part_of(s, 2, before), 0.8) << kind;
		EXPECT_GT(s.got(at_s(4), at_s(12)).served, 0.999) << kind;
	}
}

/* A worker whose machine is slow at times, and says so: entries with fresh news
 * avoid it meanwhile, and its part in between is not forgotten. */
TEST(Uneven, MomentarySlownessIsFollowed)
{
	uneven_sim::result r[2];

	for (uneven_way way : { WAY_SLOTS, WAY_LEARNED }) {
		uneven_sim s(way, SEED);

		add_twenty(s);
		s.rate_per_s = 0.7 * s.capacity();
		for (int step = 0; step < 150; step++) {
			for (auto &w : s.servers) {
				if (s.random.unit() < 0.17)
					w->noise = s.random.unit() < 0.15 ?
							   2.5 :
							   1;
				w->says = (uint32_t)(w->noise * 100);
			}
			s.run_s(0.1);
		}
		r[way == WAY_LEARNED] = s.got(at_s(5), at_s(15));
		uneven_print("noisy machines", way, r[way == WAY_LEARNED]);
	}
	EXPECT_GE(r[1].served, r[0].served - 0.002);
	EXPECT_LT(r[1].p99_ms, r[0].p99_ms);
}

/* Without news the choice is that by slots again. */
TEST(Uneven, LostNewsAreForgotten)
{
	uneven_sim::result r[2];

	for (uneven_way way : { WAY_SLOTS, WAY_LEARNED }) {
		uneven_sim s(way, SEED);

		add_twenty(s);
		s.rate_per_s = 0.7 * s.capacity();
		s.run_s(5);
		s.speeds_lost = true;
		/* What was fast is slow now, and nobody is told. */
		for (auto &w : s.servers)
			w->speed = 2.1 - w->speed;
		s.run_s(16);
		r[way == WAY_LEARNED] = s.got(at_s(16), at_s(21));
		uneven_print("news lost", way, r[way == WAY_LEARNED]);
	}
	EXPECT_GE(r[1].served, r[0].served - 0.002);
	EXPECT_LT(r[1].p99_ms, r[0].p99_ms * 1.05);
}

/* Half of the entries hear nothing; the other half still follow the speeds. */
TEST(Uneven, HalfOfTheEntriesCutOff)
{
	uneven_sim::result r[2];

	for (uneven_way way : { WAY_SLOTS, WAY_LEARNED }) {
		uneven_sim s(way, SEED);

		add_twenty(s);
		s.rate_per_s = 0.8 * s.capacity();
		s.run_s(5);
		for (size_t i = 0; i < 5; i++)
			s.cut[i] = true;
		s.run_s(15);
		r[way == WAY_LEARNED] = s.got(at_s(8), at_s(20));
		uneven_print("half cut off", way, r[way == WAY_LEARNED]);
	}
	EXPECT_GE(r[1].served, r[0].served - 0.002);
	EXPECT_LT(r[1].p99_ms, r[0].p99_ms * 1.05);
}

/* Another process with another speed under the same id and address. */
TEST(Uneven, ReplacedWorkerIsLearnedAnew)
{
	uneven_sim s(WAY_LEARNED, SEED);
	std::vector<int> before;
	uneven_sim::result r;

	add_twenty(s);
	s.rate_per_s = 0.8 * s.capacity();
	s.run_s(6);
	s.replace(3, 0.5, s.servers[3]->member, true); /* was 1.6 */
	s.replace(0, 1.6, s.servers[0]->member, true); /* was 0.5 */
	s.replace(4, 1.6, 1004, false);
	s.run_s(3);
	before = ended_now(s);
	s.run_s(4);
	r = s.got(at_s(9), at_s(13));
	uneven_print("replaced", WAY_LEARNED, r);
	EXPECT_LT(part_of(s, 3, before), 1.4);
	EXPECT_GT(part_of(s, 0, before), 0.8);
	EXPECT_GT(part_of(s, 4, before), 0.8);
	EXPECT_GT(r.served, 0.999);
}

/* A worker that joins has its part within seconds. */
TEST(Uneven, JoiningWorkerGetsItsPart)
{
	uneven_sim s(WAY_LEARNED, SEED);
	std::vector<int> before;

	add_twenty(s);
	s.rate_per_s = 0.8 * s.capacity();
	s.run_s(6);
	s.add(1.6);
	s.run_s(3);
	before = ended_now(s);
	s.run_s(4);
	EXPECT_GT(part_of(s, 20, before), 0.8);
}
