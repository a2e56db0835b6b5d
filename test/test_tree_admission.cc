/* test_tree_admission.cc - call trees that compete for the capacity of a deep service */
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <deque>
#include <map>
#include <vector>

#include "sim_worker.h"
#include "state/early_shed.h"
#include "state/tree_admission.h"

namespace
{

const uint64_t SEED = sim_seed(20261206);

/* Services: a calls b twice in line, b calls c once, c calls d four times in
 * line. Only d is short of capacity. */
enum service_id { A, B, C, D, N_SERVICES };
const char *const names[] = { "a", "b", "c", "d" };

struct route {
	const char *name;
	uint8_t rank;
	service_id first;
	int children; /* calls of the root to `next` */
	service_id next;
	int64_t root_us; /* work of the root itself */
	int64_t target_us;
	double share; /* of the roots */
	uint16_t calls[N_SERVICES];
};

const route routes[] = {
	{ "page", 0, D, 0, D, 100000, 400000, 0.2, { 0, 0, 0, 1 } },
	{ "list", 1, A, 2, B, 250000, 1500000, 0.6, { 1, 2, 2, 8 } },
	{ "send", 2, B, 1, C, 330000, 4000000, 0.2, { 0, 1, 1, 4 } },
};
const int N_ROUTES = 3;
const double WORK_AT_D_S = 0.2 * 0.1 + 0.6 * 8 * 0.063 + 0.2 * 4 * 0.063;
const uint32_t SLOTS_D = 200;
const int64_t RETRY_US = 375000; /* Retry-After */

struct tree {
	int route;
	uint32_t org;
	int entry;
	int second; /* of the first send */
	int64_t first_us; /* time of the first send */
	int64_t begun_us;
	bool retried;
};

struct running_call {
	tree *t;
	service_id at;
	uint64_t parent; /* 0: the root */
	int children; /* still to be called */
	service_id next;
	int64_t left_us; /* own work */
	int64_t started_us; /* 0: waits */
	bool calling; /* waits for a child */
};

struct counts {
	int sent = 0;
	int good = 0; /* answered within the target of the route */
	int begun = 0;
	int dropped = 0; /* begun and failed */
};

struct graph {
	static const int ENTRIES = 10;
	struct service {
		graph *g;
		service_id id;
		struct fp_admission *a;
		uint32_t running = 0;
	};
	bool capacity;
	sim_random random = { SEED };
	service services[N_SERVICES];
	struct fp_early_shed *entries[ENTRIES];
	std::map<uint64_t, running_call> calls;
	std::vector<uint64_t> refused; /* by the sink, to be failed */
	std::multimap<int64_t, tree *> retries;
	std::deque<struct fp_admission_load> loads; /* of d, each ms */
	std::map<std::pair<int, uint32_t>, std::map<int, counts>> by;
	int64_t now_us = 1000000;
	uint64_t last_id = 0;
	double rate = 0; /* roots a second */
	double hot = 1; /* factor of organisation 0 */
	double due = 0;
	bool reports_lost = false;

	explicit graph(bool use_tree_admission) : capacity(use_tree_admission)
	{
		for (int i = 0; i < N_SERVICES; i++) {
			struct fp_admission_params p = { false,
							 i == D ? SLOTS_D :
								  5000,
							 100, 20000, 40000 };
			struct fp_admission_sink sink = { on_start, on_refuse,
							  &services[i],
							  nullptr };

			services[i].g = this;
			services[i].id = (service_id)i;
			services[i].a = fp_admission_init(&p, &sink);
		}
		for (auto &e : entries) {
			e = fp_early_shed_init();
			fp_early_shed_use_tree_admission(e, capacity);
			for (const route &r : routes)
				learn(e, r, 800000);
		}
	}
	~graph()
	{
		for (auto &s : services)
			fp_admission_end(s.a);
		for (auto &e : entries)
			fp_early_shed_end(e);
	}
	graph(const graph &) = delete;

	static void on_start(void *ctx, uint64_t id, int64_t now_us)
	{
		service *s = (service *)ctx;

		s->g->calls[id].started_us = now_us;
		s->running++;
	}
	static void on_refuse(void *ctx, uint64_t id, enum fp_reason why)
	{
		(void)why;
		((service *)ctx)->g->refused.push_back(id);
	}
	static void learn(struct fp_early_shed *e, const route &r,
			  int64_t tree_us)
	{
		struct fp_service_load l[N_SERVICES] = {};
		uint32_t n = 0;

		for (int i = 0; i < N_SERVICES; i++) {
			if (!r.calls[i])
				continue;
			strcpy(l[n].service, names[i]);
			l[n].age_ms = FP_LOAD_AGE_UNKNOWN;
			l[n++].calls = r.calls[i];
		}
		fp_early_shed_learn_route(e, r.name, l, n, 0);
		fp_early_shed_learn_duration(e, r.name, tree_us);
	}
	counts &count(const tree *t)
	{
		return by[{ t->route, t->org }][t->second];
	}
	int second() const
	{
		return (int)(now_us / 1000000) - 1;
	}
	void offer(tree *t, service_id at, uint64_t parent, int children,
		   service_id next, int64_t work_us)
	{
		struct fp_admission_request q = {};
		uint64_t id = ++last_id;

		q.id = id;
		q.rank = routes[t->route].rank;
		q.org = t->org;
		q.org_weight = 10;
		q.nested = parent != 0;
		q.deadline_us = t->begun_us + 2000000;
		calls[id] = {
			t,
			at,
			parent,
			children,
			next,
			(int64_t)((double)work_us * (0.5 + random.unit())),
			0,
			false
		};
		if (fp_admission_offer(services[at].a, &q, now_us) != FP_OK)
			refused.push_back(id);
	}
	void send(tree *t)
	{
		const route &r = routes[t->route];
		const char *why;

		t->entry = (int)(random.next() % ENTRIES);
		t->begun_us = now_us;
		if (fp_early_shed_check(entries[t->entry], r.name, r.rank,
					(uint32_t)random.next(), now_us,
					&why) != FP_OK) {
			come_back(t);
			return;
		}
		count(t).begun++;
		offer(t, r.first, 0, r.children, r.next, r.root_us);
	}
	void come_back(tree *t)
	{
		if (t->retried) {
			delete t;
			return;
		}
		t->retried = true;
		retries.insert({ now_us + RETRY_US, t });
	}
	/* Ends a call; a failure fails its parents. */
	void end(uint64_t id, bool good)
	{
		while (true) {
			running_call c = calls[id];

			calls.erase(id);
			if (c.started_us) {
				services[c.at].running--;
				fp_admission_done(services[c.at].a, id,
						  now_us - c.started_us, false,
						  now_us);
			}
			if (!c.parent) {
				end_tree(c.t, good, c.started_us != 0);
				return;
			}
			if (good) {
				calls[c.parent].calling = false;
				return;
			}
			id = c.parent;
		}
	}
	void end_tree(tree *t, bool good, bool ran)
	{
		const route &r = routes[t->route];

		if (good) {
			count(t).good += now_us - t->first_us <= r.target_us;
			learn(entries[t->entry], r, now_us - t->begun_us);
			delete t;
			return;
		}
		if (ran)
			count(t).dropped++;
		else
			count(t).begun--;
		come_back(t);
	}
	void fail_refused()
	{
		std::vector<uint64_t> ids;

		while (!refused.empty()) {
			ids.swap(refused);
			for (uint64_t id : ids)
				if (calls.count(id))
					end(id, false);
			ids.clear();
		}
	}
	void work()
	{
		std::vector<uint64_t> ids;
		bool full = services[D].running > 0.95 * SLOTS_D;

		for (auto &c : calls)
			if (c.second.started_us && !c.second.calling)
				ids.push_back(c.first);
		for (uint64_t id : ids) {
			running_call &c = calls[id];
			/* some servers are slower when nearly full */
			double slow = c.at == D && full ? 1.3 : 1;

			c.left_us -= (int64_t)(1000 / slow);
			if (c.left_us > 0)
				continue;
			if (!c.children) {
				end(id, true);
				continue;
			}
			c.children--;
			c.calling = true;
			call_child(id, c);
		}
	}
	void call_child(uint64_t id, const running_call &c)
	{
		service_id next = c.next;
		tree *t = c.t;

		if (next == B)
			offer(t, B, id, 1, C, 15000);
		else if (next == C)
			offer(t, C, id, 4, D, 15000);
		else
			offer(t, D, id, 0, D, 63000);
	}
	void report()
	{
		struct fp_service_load l = { "d", 1, {}, 0, 30 };
		struct fp_admission_load now;

		fp_admission_read_load(services[D].a, &now);
		loads.push_back(now);
		if (loads.size() > 30)
			loads.pop_front();
		if (reports_lost || now_us % 20000)
			return;
		memcpy(l.refused_permille, loads[0].refused_permille,
		       sizeof(l.refused_permille));
		l.used_permille = (uint16_t)std::min<uint64_t>(
			FP_LOAD_USED_MAX,
			1000ull * (loads[0].running + loads[0].queued) /
				loads[0].limit);
		for (auto &e : entries)
			fp_early_shed_update_load(e, 1 + random.next() % 5, &l,
						  now_us);
	}
	void arrive()
	{
		due += rate / 1000;
		for (; due >= 1; due--) {
			double which = random.unit();
			uint32_t org = (uint32_t)(random.unit() * (9 + hot));
			tree *t = new tree();

			org = org < hot ? 0 : org - (uint32_t)hot + 1;
			t->route = which < routes[0].share     ? 0 :
				   which < 1 - routes[2].share ? 1 :
								 2;
			t->org = org;
			t->second = second();
			t->first_us = now_us;
			count(t).sent++;
			send(t);
		}
		while (!retries.empty() && retries.begin()->first <= now_us) {
			tree *t = retries.begin()->second;

			retries.erase(retries.begin());
			send(t);
		}
	}
	void run_s(double seconds)
	{
		int64_t end_us = now_us + (int64_t)(seconds * 1e6);

		while (now_us < end_us) {
			now_us += 1000;
			work();
			fail_refused();
			arrive();
			for (auto &s : services)
				fp_admission_tick(s.a, now_us);
			fail_refused();
			report();
		}
	}
	counts total(int route, int from, int to, int org = -1) const
	{
		counts sum;

		for (auto &b : by) {
			if ((route >= 0 && b.first.first != route) ||
			    (org >= 0 && b.first.second != (uint32_t)org))
				continue;
			for (auto &s : b.second) {
				if (s.first < from || s.first >= to)
					continue;
				sum.sent += s.second.sent;
				sum.good += s.second.good;
				sum.begun += s.second.begun;
				sum.dropped += s.second.dropped;
			}
		}
		return sum;
	}
	double good(int route, int from, int to, int org = -1) const
	{
		counts c = total(route, from, to, org);

		return (double)c.good / std::max(1, c.sent);
	}
	double dropped(int from, int to) const
	{
		counts c = total(-1, from, to);

		return (double)c.dropped / std::max(1, c.begun);
	}
};

/* Roots a second that fill d to 95 %. */
double rate_at(double factor)
{
	return factor * 0.95 * SLOTS_D / WORK_AT_D_S;
}

void print(const char *what, const graph &g, int from, int to)
{
	printf("seed %ju %s, %s: within target page %.3f list %.3f send %.3f; "
	       "begun and dropped %.4f\n",
	       (uintmax_t)SEED, what, g.capacity ? "capacity" : "refusals",
	       g.good(0, from, to), g.good(1, from, to), g.good(2, from, to),
	       g.dropped(from, to));
}

/* "refusals" is the control by refused calls alone, in the same run. */
TEST(TreeAdmissionGraph, TreesThatAreBegunAreFinished)
{
	for (double factor : { 0.8, 1.0, 1.5, 3.0 }) {
		graph before(false);
		graph after(true);

		for (graph *g : { &before, &after }) {
			char what[40];

			g->rate = rate_at(factor);
			g->run_s(12);
			snprintf(what, sizeof(what), "%.1f times", factor);
			print(what, *g, 4, 10);
		}
		EXPECT_LT(after.dropped(4, 10), 0.02) << factor;
		for (int route = 0; route < N_ROUTES; route++)
			EXPECT_GE(after.good(route, 4, 10),
				  before.good(route, 4, 10) - 0.01)
				<< factor << routes[route].name;
		if (factor >= 1) {
			EXPECT_GT(before.dropped(4, 10), 0.1) << factor;
			EXPECT_GT(after.good(1, 4, 10),
				  1.3 * before.good(1, 4, 10))
				<< factor;
		}
		/* the operator's order, and nobody starved */
		EXPECT_GE(after.good(0, 4, 10), 0.99) << factor;
		EXPECT_GE(after.good(1, 4, 10), after.good(2, 4, 10)) << factor;
		EXPECT_GE(after.good(2, 4, 10), after.good(-1, 4, 10) / 4)
			<< factor;
	}
}

TEST(TreeAdmissionGraph, NormalSoonAfterABurst)
{
	int normal_s[2];

	for (bool capacity : { false, true }) {
		graph g(capacity);
		int s = 0;

		g.rate = rate_at(0.7);
		g.run_s(4);
		g.rate = rate_at(2);
		g.run_s(4);
		g.rate = rate_at(0.7);
		g.run_s(10);
		while (s < 8 && g.good(-1, 8 + s, 9 + s) < 0.99)
			s++;
		normal_s[capacity] = s;
		print("burst of two", g, 4, 8);
		printf("normal after %d s\n", s);
	}
	EXPECT_LE(normal_s[true], 3);
	EXPECT_LE(normal_s[true], normal_s[false]);
}

TEST(TreeAdmissionGraph, FollowsAWave)
{
	graph before(false);
	graph after(true);

	for (graph *g : { &before, &after }) {
		for (int i = 0; i < 22; i++) {
			g->rate = rate_at(1.1 + 0.3 * sin(i * 6.28 / 11));
			g->run_s(1);
		}
		print("wave of 0.8 to 1.4", *g, 3, 20);
	}
	EXPECT_LT(after.dropped(3, 20), 0.02);
	EXPECT_GT(after.good(-1, 3, 20), before.good(-1, 3, 20));
}

/* Half of the service is lost for 3 s. */
TEST(TreeAdmissionGraph, LossOfWorkers)
{
	double served[2];

	for (bool capacity : { false, true }) {
		graph g(capacity);
		struct fp_admission_params p = { false, SLOTS_D / 2, 100, 20000,
						 40000 };

		g.rate = rate_at(0.8);
		g.run_s(4);
		fp_admission_set_params(g.services[D].a, &p, g.now_us);
		g.run_s(3);
		p.slots = SLOTS_D;
		fp_admission_set_params(g.services[D].a, &p, g.now_us);
		g.run_s(6);
		print("half lost", g, 4, 7);
		served[capacity] = g.good(-1, 4, 7);
		EXPECT_GE(g.good(-1, 10, 12), capacity ? 0.99 : 0);
	}
	EXPECT_GT(served[true], served[false]);
}

/* Reports end while trees are refused; the overload has ended too. */
TEST(TreeAdmissionGraph, LostReportsEndTheRefusals)
{
	graph g(true);

	g.rate = rate_at(3);
	g.run_s(5);
	g.reports_lost = true;
	g.rate = rate_at(0.5);
	g.run_s(8);
	print("reports lost", g, 8, 12);
	EXPECT_GE(g.good(1, 8, 11), 0.99);
}

/* ---- single decisions ---- */

struct TreeAdmission : testing::Test {
	struct fp_tree_admission r;

	TreeAdmission()
	{
		fp_tree_admission_init(&r);
	}
	/* 0.1 s with a root of each rank and the service this full. */
	void step(double used, double calls)
	{
		for (uint8_t rank = 0; rank < 3; rank++)
			fp_tree_admission_offer(&r, rank, calls);
		fp_tree_admission_update(&r, used, 0.1);
	}
	/* The same where the offered trees would hold this much. */
	void demanded(double all)
	{
		step(all *
			     (fp_tree_admission_admitted(&r, 0) +
			      fp_tree_admission_admitted(&r, 1) +
			      fp_tree_admission_admitted(&r, 2)) /
			     3,
		     4);
	}
	void second(double used, double calls)
	{
		for (int i = 0; i < 10; i++)
			step(used, calls);
	}
};

TEST_F(TreeAdmission, AdmitsAllWhileThereIsRoom)
{
	second(0.8, 4);
	for (uint8_t rank = 0; rank < 3; rank++)
		EXPECT_NEAR(1, fp_tree_admission_admitted(&r, rank), 0.001);
}

/* The demand is 1.7, twice the target; one third of it is of each rank. */
TEST_F(TreeAdmission, ServesRanksInOrderAndStarvesNone)
{
	for (int i = 0; i < 400; i++)
		demanded(1.7);
	EXPECT_NEAR(1, fp_tree_admission_admitted(&r, 0), 0.01);
	EXPECT_NEAR(0.25, fp_tree_admission_admitted(&r, 1), 0.02);
	EXPECT_NEAR(0.25, fp_tree_admission_admitted(&r, 2), 0.02);
}

/* The demand is 0.8 now, below the target, and was 0.4 a second ago; a tree lasts 1 s. */
TEST_F(TreeAdmission, GrowthCountsAsWhatItBecomes)
{
	for (int i = 0; i < 40; i++)
		demanded(0.8);
	EXPECT_EQ(1, fp_tree_admission_admitted(&r, 2));
	fp_tree_admission_init(&r);
	fp_tree_admission_add_duration(&r, 1);
	for (int i = 0; i < 40; i++)
		demanded(0.4);
	for (int i = 1; i <= 10; i++)
		demanded(0.4 + 0.04 * i);
	EXPECT_LT(fp_tree_admission_admitted(&r, 2), 0.95);
	/* a fall is not predicted */
	fp_tree_admission_init(&r);
	for (int i = 0; i < 40; i++)
		demanded(0.84 - 0.01 * i);
	EXPECT_EQ(1, fp_tree_admission_admitted(&r, 2));
}

TEST_F(TreeAdmission, DoesNotApplyToTreesWithOneCall)
{
	second(3, 1);
	EXPECT_FALSE(fp_tree_admission_applies(&r));
	EXPECT_EQ(1, fp_tree_admission_admitted(&r, 2));
	fp_tree_admission_init(&r);
	second(3, 2);
	EXPECT_TRUE(fp_tree_admission_applies(&r));
	EXPECT_LT(fp_tree_admission_admitted(&r, 2), 1);
}

TEST_F(TreeAdmission, ReturnsToAllWithoutReports)
{
	second(4, 4);
	second(4, 4);
	EXPECT_LT(fp_tree_admission_admitted(&r, 2), 0.5);
	second(-1, 4);
	second(-1, 4);
	EXPECT_EQ(1, fp_tree_admission_admitted(&r, 2));
}

} // namespace
