/*
 * test_swim.cc - membership with up to 740 simulated nodes
 *
 * The membership code is real; links with latency, loss and partitions are
 * simulated. Time is simulated too, so a run depends on its seed only. Results
 * are printed.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <cinttypes>
#include <cstring>
#include <ctime>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "coordination/swim.h"

namespace
{

constexpr int64_t ms = FP_US_PER_MS;
constexpr int64_t sec = FP_US_PER_S;
constexpr uint32_t regions = 3, domains = 10;
constexpr int64_t header_bytes = 28; /* IP and UDP */
constexpr int64_t max_bytes_per_s = 20000; /* requirement, per node */

struct swim_sim;

struct node {
	struct fp_swim_host host; /* first member: callbacks cast it to node */
	struct fp_swim *s = nullptr;
	swim_sim *sim = nullptr;
	uint32_t index = 0;
	uint64_t id = 0;
	int64_t paused_until_us = 0;
	int64_t bytes = 0, bulk_bytes = 0, messages = 0; /* sent */
	uint64_t suspected = 0, dead = 0; /* state changes reported to it */
	std::set<uint64_t> ended_ids;

	~node()
	{
		fp_swim_end(s);
	}
};

struct event {
	int64_t due_us;
	uint64_t order;
	std::function<void()> fn;

	bool operator<(const event &o) const
	{
		return due_us != o.due_us ? due_us > o.due_us : order > o.order;
	}
};

struct swim_sim {
	std::mt19937_64 rng;
	int64_t now_us = 0; /* simulated time */
	uint64_t order = 0;
	std::priority_queue<event> events;
	std::vector<std::unique_ptr<node>> nodes; /* by index; may be null */
	int loss_percent = 0;
	uint32_t split_index =
		0; /* partition: nodes below it, and the others */

	explicit swim_sim(uint64_t seed) : rng(seed)
	{
	}
	void schedule(int64_t delay, std::function<void()> fn)
	{
		events.push({ now_us + delay, order++, std::move(fn) });
	}
	void run(int64_t span)
	{
		int64_t end = now_us + span;

		while (!events.empty() && events.top().due_us <= end) {
			event e = events.top();

			events.pop();
			now_us = e.due_us;
			e.fn();
		}
		now_us = end;
	}
	node *at(uint32_t index)
	{
		return index < nodes.size() ? nodes[index].get() : nullptr;
	}
	node *start(uint32_t index);
	void tick(uint32_t index, uint64_t id);
	void arrive(uint32_t from, uint32_t to, std::string msg);
	bool run_until(const std::function<bool()> &done, int64_t bound)
	{
		int64_t end = now_us + bound;

		while (!done() && now_us < end)
			run(10 * ms);
		return done();
	}
};

node *self(struct fp_swim_host *h)
{
	return reinterpret_cast<node *>(h);
}

std::string address_of(uint32_t index)
{
	return "10.0." + std::to_string(index / 250) + "." +
	       std::to_string(index % 250 + 1);
}

uint32_t index_of(const char *address)
{
	unsigned int a = 0, b = 1;

	if (sscanf(address, "10.0.%u.%u", &a, &b) != 2)
		return UINT32_MAX;
	return a * 250 + b - 1;
}

int64_t latency(uint32_t a, uint32_t b, std::mt19937_64 &rng)
{
	int64_t base = a % regions == b % regions ? 500 : 40 * ms;

	return base + (int64_t)(rng() % 1000);
}

void cb_send(struct fp_swim_host *h, const char *address, uint16_t,
	     const uint8_t *buf, size_t len, bool bulk)
{
	node *n = self(h);
	swim_sim *sim = n->sim;
	uint32_t to = index_of(address);
	uint32_t from = n->index;
	std::string msg((const char *)buf, len);

	n->messages++;
	(bulk ? n->bulk_bytes : n->bytes) += (int64_t)len + header_bytes;
	EXPECT_LE(len, (size_t)(bulk ? FP_MSG_SWIM_BULK_BYTES :
				       FP_MSG_SWIM_DATAGRAM_BYTES));
	if ((from < sim->split_index) != (to < sim->split_index) &&
	    sim->split_index)
		return;
	if (!bulk && (int)(sim->rng() % 100) < sim->loss_percent)
		return;
	sim->schedule(latency(from, to, sim->rng),
		      [=] { sim->arrive(from, to, msg); });
}

void cb_changed(struct fp_swim_host *h, const struct fp_swim_member *m)
{
	self(h)->suspected += m->state == FP_MEMBER_SUSPECT;
	self(h)->dead += m->state == FP_MEMBER_DEAD;
}

void cb_ended(struct fp_swim_host *h, uint64_t id)
{
	self(h)->ended_ids.insert(id);
}

void cb_status(struct fp_swim_host *, uint64_t, const struct fp_swim_status *)
{
}

uint32_t cb_random_u32(struct fp_swim_host *h)
{
	return (uint32_t)self(h)->sim->rng();
}

const struct fp_swim_ops ops = { cb_send, cb_changed, cb_ended, cb_status,
				 cb_random_u32 };

void swim_sim::arrive(uint32_t from, uint32_t to, std::string msg)
{
	node *n = at(to);

	if (!n)
		return;
	if (n->paused_until_us > now_us) {
		schedule(n->paused_until_us - now_us,
			 [=] { arrive(from, to, msg); });
		return;
	}
	EXPECT_EQ(FP_OK, fp_swim_message(n->s, address_of(from).c_str(), 7700,
					 (const uint8_t *)msg.data(),
					 msg.size(), now_us));
}

void swim_sim::tick(uint32_t index, uint64_t id)
{
	node *n = at(index);

	if (!n || n->id != id)
		return;
	if (n->paused_until_us > now_us) {
		schedule(n->paused_until_us - now_us, [=] { tick(index, id); });
		return;
	}
	fp_swim_tick(n->s, now_us);
	schedule(FP_SWIM_TICK_US, [=] { tick(index, id); });
}

node *swim_sim::start(uint32_t index)
{
	struct fp_swim_member m = {};

	if (index >= nodes.size())
		nodes.resize(index + 1);
	nodes[index] = std::make_unique<node>();
	node *n = nodes[index].get();
	n->host.ops = &ops;
	n->sim = this;
	n->index = index;
	n->id = m.id = rng() | 1;
	m.incarnation = 1;
	snprintf(m.name, sizeof(m.name), "reminders-%u", index);
	snprintf(m.address, sizeof(m.address), "%s", address_of(index).c_str());
	snprintf(m.failure_domain, sizeof(m.failure_domain), "domain-%u",
		 index % domains);
	snprintf(m.region, sizeof(m.region), "region-%u", index % regions);
	snprintf(m.service, sizeof(m.service), "reminders");
	m.http_port = 7000;
	m.peer_port = 7600;
	m.control_port = 7700;
	m.worker = FP_WORKER_SERVING;
	m.slots = 100;
	n->s = fp_swim_init(&n->host, &m, now_us);
	schedule((int64_t)(rng() % FP_SWIM_TICK_US),
		 [=, id = n->id] { tick(index, id); });
	return n;
}

/* Counts the nodes for which fn is true. */
uint32_t count(swim_sim &sim, const std::function<bool(node *)> &fn)
{
	uint32_t n = 0;

	for (auto &p : sim.nodes)
		n += p && fn(p.get());
	return n;
}

bool list_is_complete(node *n, uint32_t total)
{
	struct fp_swim_counts c;

	fp_swim_count(n->s, &c);
	return c.alive == total && c.suspect == 0 && c.dead == 0;
}

bool lists_are_complete(swim_sim &sim, uint32_t n)
{
	return count(sim, [=](node *p) { return list_is_complete(p, n); }) == n;
}

/* Starts n nodes that join through the first; waits for complete lists. */
void start_fleet(swim_sim &sim, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		node *p = sim.start(i);

		if (i)
			sim.schedule((int64_t)(sim.rng() % sec), [p] {
				fp_swim_join(p->s, address_of(0).c_str(), 7700);
			});
	}
	ASSERT_TRUE(sim.run_until([&] { return lists_are_complete(sim, n); },
				  120 * sec));
}

enum fp_member_state state_at(node *n, uint64_t id)
{
	const struct fp_swim_member *m = fp_swim_find(n->s, id);

	return m ? m->state : FP_MEMBER_LEFT;
}

void reset_counts(swim_sim &sim)
{
	for (auto &p : sim.nodes)
		if (p)
			p->bytes = p->bulk_bytes = p->messages = p->suspected =
				p->dead = 0;
}

int64_t sum(swim_sim &sim, int64_t node::*field)
{
	int64_t total = 0;

	for (auto &p : sim.nodes)
		total += p ? (*p).*field : 0;
	return total;
}

uint32_t max_nodes()
{
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
	return 100;
#else
	return 740;
#endif
}

} // namespace

/* Prints and bounds the traffic of an idle fleet. */
static void measure_idle(swim_sim &sim, uint32_t n)
{
	int64_t joined = sim.now_us;
	int64_t start = (sum(sim, &node::bytes) + sum(sim, &node::bulk_bytes)) /
			n * sec / sim.now_us;
	clock_t cpu;

	sim.run(40 * sec);
	reset_counts(sim);
	cpu = clock();
	sim.run(20 * sec);
	cpu = clock() - cpu;
	int64_t bytes = sum(sim, &node::bytes) / n / 20;
	int64_t bulk = sum(sim, &node::bulk_bytes) / n / 20;
	printf("%3u members: complete lists %4" PRId64 " ms after a "
	       "simultaneous start, at %" PRId64 " B/s; idle %" PRId64
	       " B/s + bulk %" PRId64 " B/s, %.1f messages/s, "
	       "%.0f us/s CPU a node (simulation included)\n",
	       n, joined / ms, start, bytes, bulk,
	       (double)sum(sim, &node::messages) / n / 20,
	       (double)cpu * 1e6 / CLOCKS_PER_SEC / n / 20);
	EXPECT_LT(start, max_bytes_per_s);
	EXPECT_LT(bytes + bulk, max_bytes_per_s / 20);
}

/* One backend server leaves in each trial; all nodes must be notified within
 * two seconds. */
static void measure_leaving(swim_sim &sim, uint32_t n, int loss_percent)
{
	sim.loss_percent = loss_percent;
	for (uint32_t trial = 0; trial < 4; trial++) {
		node *p = sim.at(n / 2 + trial + (uint32_t)loss_percent);
		int64_t from = sim.now_us;
		auto has_update = [&](node *q) {
			return fp_swim_find(q->s, p->id)->worker ==
			       FP_WORKER_LEAVING;
		};

		reset_counts(sim);
		fp_swim_set_worker(p->s, FP_WORKER_LEAVING, 100, 1, sim.now_us);
		EXPECT_TRUE(sim.run_until(
			[&] { return count(sim, has_update) == n; }, 2 * sec));
		from = sim.now_us - from;
		sim.run(5 * sec);
		int64_t bytes = sum(sim, &node::bytes) / n;
		printf("  leave at %d %% loss: %" PRId64 " ms; %" PRId64
		       " B and %" PRId64 " messages a node in 5 s\n",
		       loss_percent, from / ms, bytes,
		       sum(sim, &node::messages) / n);
		EXPECT_LT(bytes, 5 * max_bytes_per_s);
	}
	sim.loss_percent = 0;
}

/* Nodes end without deregistration; bounds the time until they are dead at all
 * others. */
static void measure_kills(swim_sim &sim, uint32_t n)
{
	sim.run(10 * sec);
	for (uint32_t trial = 0; trial < 5; trial++) {
		uint64_t id = sim.at(n - 1 - trial)->id;
		uint32_t left = n - 1 - trial;
		int64_t from = sim.now_us;
		auto in = [&](enum fp_member_state st) {
			return count(sim, [&](node *q) {
				return state_at(q, id) == st;
			});
		};

		sim.nodes[n - 1 - trial].reset();
		sim.run_until([&] { return in(FP_MEMBER_SUSPECT) > 0; },
			      20 * sec);
		int64_t first = sim.now_us - from;
		EXPECT_TRUE(sim.run_until(
			[&] { return in(FP_MEMBER_DEAD) == left; }, 20 * sec));
		printf("  kill: first suspects after %" PRId64
		       " ms, dead at all nodes after %" PRId64 " ms\n",
		       first / ms, (sim.now_us - from) / ms);
		EXPECT_LT(sim.now_us - from, 15 * sec);
	}
}

TEST(Swim, CostsAndTimesByFleetSize)
{
	for (uint32_t n : { 20u, 100u, 300u, 740u }) {
		swim_sim sim(n);

		if (n > max_nodes())
			continue;
		start_fleet(sim, n);
		measure_idle(sim, n);
		measure_leaving(sim, n, 0);
		measure_leaving(sim, n, 5);
		measure_kills(sim, n);
	}
}

TEST(Swim, LossMakesNoMemberDead)
{
	uint32_t n = std::min(max_nodes(), 300u);
	swim_sim sim(3);

	start_fleet(sim, n);
	sim.loss_percent = 5;
	sim.run(20 * sec);
	reset_counts(sim);
	sim.run(120 * sec);
	uint64_t suspected = 0, dead = 0;
	for (auto &p : sim.nodes) {
		suspected += p->suspected;
		dead += p->dead;
	}
	printf("%u members, 5 %% loss, 120 s: %" PRIu64 " suspicions, %" PRIu64
	       " changes to dead over all nodes\n",
	       n, suspected, dead);
	EXPECT_EQ(0u, dead);
}

TEST(Swim, PartitionHeals)
{
	uint32_t n = 100;
	swim_sim sim(4);

	start_fleet(sim, n);
	sim.split_index = n / 2;
	sim.run(60 * sec);
	for (auto &p : sim.nodes) {
		struct fp_swim_counts c;

		fp_swim_count(p->s, &c);
		ASSERT_EQ(n / 2, c.alive);
		ASSERT_EQ(n / 2, c.dead);
	}
	reset_counts(sim);
	sim.split_index = 0;
	int64_t from = sim.now_us;
	ASSERT_TRUE(sim.run_until([&] { return lists_are_complete(sim, n); },
				  90 * sec));
	printf("%u members: complete lists %" PRId64
	       " ms after the partition ended, "
	       "%" PRId64 " B a node\n",
	       n, (sim.now_us - from) / ms,
	       (sum(sim, &node::bytes) + sum(sim, &node::bulk_bytes)) / n);
}

TEST(Swim, PausedNodeDeclaresNoMemberDead)
{
	for (int64_t pause : { 2 * sec, 10 * sec, 60 * sec }) {
		uint32_t n = 100;
		swim_sim sim(5);

		start_fleet(sim, n);
		sim.run(5 * sec);
		node *p = sim.at(7);
		uint64_t dead_elsewhere = 0;
		reset_counts(sim);
		p->paused_until_us = sim.now_us + pause;
		sim.run(pause + 10 * sec);
		for (auto &q : sim.nodes)
			dead_elsewhere += q.get() != p ? q->dead : 0;
		printf("pause of %" PRId64 " s: it declared %" PRIu64
		       " dead, was declared dead at %" PRIu64 " nodes\n",
		       pause / sec, p->dead, dead_elsewhere);
		EXPECT_EQ(0u, p->dead);
		EXPECT_TRUE(sim.run_until(
			[&] { return lists_are_complete(sim, n); }, 60 * sec));
	}
}

TEST(Swim, LaterProcessProvesThatTheEarlierOneEnded)
{
	/* Detected by a join or, without one, by a probe of the old process. */
	for (bool joins : { true, false }) {
		uint32_t n = 100;
		swim_sim sim(6);

		start_fleet(sim, n);
		uint64_t old_id = sim.at(9)->id;
		sim.nodes[9].reset();
		sim.run(300 * ms);
		node *p = sim.start(9);
		if (joins)
			fp_swim_join(p->s, address_of(3).c_str(), 7700);
		int64_t from = sim.now_us;
		ASSERT_TRUE(sim.run_until(
			[&] {
				return count(sim, [&](node *q) {
					       return q->ended_ids.count(
							      old_id) != 0;
				       }) == n;
			},
			10 * sec));
		printf("proof received by all after %" PRId64 " ms\n",
		       (sim.now_us - from) / ms);
		EXPECT_TRUE(sim.run_until(
			[&] { return lists_are_complete(sim, n); }, 20 * sec));
		EXPECT_EQ(0u, count(sim, [&](node *q) {
				  return q->ended_ids.count(p->id) != 0;
			  }));
	}
}

TEST(Swim, DeregistrationReachesAllAndIsFinal)
{
	uint32_t n = 50;
	swim_sim sim(7);

	start_fleet(sim, n);
	node *p = sim.at(11);
	uint64_t id = p->id;
	fp_swim_leave(p->s, sim.now_us);
	ASSERT_TRUE(
		sim.run_until([&] { return fp_swim_has_left(p->s); }, 5 * sec));
	sim.nodes[11].reset();
	EXPECT_EQ(n - 1, count(sim, [&](node *q) {
			  return state_at(q, id) == FP_MEMBER_LEFT &&
				 q->ended_ids.count(id) == 1;
		  }));
	sim.run(20 * sec);
	EXPECT_EQ(n - 1, count(sim, [&](node *q) {
			  return state_at(q, id) == FP_MEMBER_LEFT;
		  }));
}

static void ignore_update(void *ctx, const struct fp_msg_swim *,
			  const struct fp_swim_member *, bool)
{
	++*(int *)ctx;
}

TEST(MsgSwim, StrictCodec)
{
	struct fp_msg_swim_writer w;
	struct fp_msg_swim m = {}, back;
	struct fp_swim_member x = {};
	msgpack_sbuffer out;
	int calls = 0;

	m.type = FP_MSG_SWIM_PUSH;
	m.from = m.correlation = m.members_digest = UINT64_MAX;
	m.status.store_age_us = INT64_MAX;
	x.id = x.incarnation = UINT64_MAX;
	memset(x.name, 'n', sizeof(x.name) - 1);
	x.state = FP_MEMBER_DEAD;
	fp_msg_swim_begin(&w, FP_MSG_SWIM_DATAGRAM_BYTES);
	while (fp_msg_swim_add(&w, &x, w.n % 2) == FP_OK)
		;
	ASSERT_EQ(FP_OK, fp_msg_swim_finish(&w, &m, &out));
	EXPECT_LE(out.size, (size_t)FP_MSG_SWIM_DATAGRAM_BYTES);
	std::string s(out.data, out.size);
	msgpack_sbuffer_destroy(&out);
	auto decode = [&](const std::string &b) {
		return fp_msg_swim_decode(&back, (const uint8_t *)b.data(),
					  b.size(), ignore_update, &calls);
	};
	ASSERT_EQ(FP_OK, decode(s));
	EXPECT_EQ((int)back.n_updates, calls);
	EXPECT_GT(calls, 10);
	calls = 0;
	EXPECT_EQ(FP_INVALID, decode(s + "x"));
	for (size_t cut = 0; cut < s.size(); cut++)
		ASSERT_EQ(FP_INVALID, decode(s.substr(0, cut)));
	s[1] = FP_MSG_SWIM_TYPE_END;
	EXPECT_EQ(FP_INVALID, decode(s));
	EXPECT_EQ(0, calls);
}
