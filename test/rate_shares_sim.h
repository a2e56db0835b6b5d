/*
 * parts_world.h - deterministic schedules over nodes that share a rate by parts
 *
 * Each node runs the product's decisions (state/part.h, pool.h, grants.h) on a
 * clock of its own. What it believes of the members comes late, or not at all
 * while the store turns it away; links are slow, lossy or cut; nodes pause, are
 * killed and start again. Rules taken out (struct Rules) are taken out here.
 */
#ifndef FP_TEST_PARTS_WORLD_H
#define FP_TEST_PARTS_WORLD_H

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "rate_sim.h"
#include "state/rate_share.h"
#include "state/pool.h"

namespace parts
{

using rate::Random;

constexpr int64_t SECOND = 1000000;
constexpr int64_t STEP_US = 5000;
constexpr int64_t LEASE_US = 6 * SECOND;
constexpr int64_t GONE_US = SECOND * 5 / 2;
constexpr int64_t KEEP_US = SECOND * 3 / 2;
constexpr int64_t MARGIN_US = SECOND * 3 / 10;
constexpr int64_t ASK_TIMEOUT_US = 100000;
constexpr int64_t COMMIT_US = 200000;
constexpr int64_t WINDOW_US = 5 * SECOND; /* of the stated bound */

/* Each rule holds in the product; false takes it out. */
struct Rules {
	bool hold_waited_for = true;
	bool right_ends = true;
	bool only_parts = true; /* no bucket has more than its parts */
};

struct Message {
	enum Kind {
		ASK,
		GRANT,
		REFUSED,
		RETURN,
		COMMIT,
		ANSWER,
		RELEASED
	} kind;
	int from = 0;
	uint64_t id = 0, grant_id = 0;
	uint32_t tokens = 0;
	int64_t stamp_us = 0, wait_us = 0, at_us = 0;
	uint32_t fill_permille = 0;
	fp_commitment commitment = {};
	uint64_t epoch = 0; /* of the process that it is for */
};

/* One process and what it believes. */
struct Node {
	bool up = true;
	uint64_t epoch = 0;
	int64_t paused_until_us = 0;
	double drift = 1.0;
	int64_t offset_us = 0;
	std::set<int> view;
	fp_right right = {};
	int64_t kept_us = -KEEP_US; /* true time */
	fp_part part = {};
	fp_grants *grants = nullptr;
	fp_pool *pool = nullptr;
	uint64_t next_id = 0, ask_id = 0, commit_id = 0, release_id = 0;
	int64_t asked_us = 0, committed_us = 0;
	int asked = -1, detour = 0;
	bool alone = false, late = false, was_dropped = false;
	double demand_per_s = 0;
	double owed = 0; /* demand since the last request */
	std::deque<Message> inbox;
};

class World
{
	Rules rules;
	Random rng;
	std::vector<Node> nodes;
	std::vector<std::vector<int64_t>> cut_until, slow_until;
	std::vector<int64_t> store_cut_until, lease_end_us, known_us;
	std::vector<int> rank;
	int64_t t = 0; /* true time */
	bool pressed = true; /* else demand is inside the rate */
	bool phases; /* it changes */

	int64_t clock(const Node &n) const
	{
		return n.offset_us + (int64_t)((double)t * n.drift);
	}

	void start(Node &n)
	{
		n.up = true;
		n.epoch++;
		n.right = {};
		fp_part_init(&n.part);
		n.kept_us = t - KEEP_US;
		n.ask_id = n.commit_id = n.release_id = 0;
		n.alone = n.late = n.was_dropped = false;
		n.detour = 0;
		n.inbox.clear();
		n.grants = fp_grants_init();
		n.pool = fp_pool_init(n.epoch * 64 + (uint64_t)(&n - &nodes[0]),
				      clock(n));
		fp_grants_set_rate(n.grants, (uint32_t)rate_per_s,
				   (uint32_t)burst);
	}

	void end(Node &n)
	{
		n.up = false;
		fp_grants_end(n.grants);
		fp_pool_end(n.pool);
		n.grants = nullptr;
		n.pool = nullptr;
	}

	void send(int from, int to, Message m)
	{
		int64_t delay_us = rng.range(300, 3000);

		m.from = from;
		m.epoch = nodes[(size_t)to].epoch;
		if (from == to)
			delay_us = 0;
		else if (cut_until[from][to] > t)
			delay_us = cut_until[from][to] - t + 1000;
		else if (slow_until[from][to] > t)
			delay_us = rng.range(1000, 900000);
		/* A link that is cut for long is reset. */
		if (delay_us > 4 * SECOND)
			return;
		m.at_us = t + delay_us;
		nodes[(size_t)to].inbox.push_back(m);
	}

	/* The member that is asked: the highest in rank in the node's view. */
	int place(const Node &n) const
	{
		int skip = n.detour;

		for (int r : rank)
			if (n.view.count(r) && skip-- <= 0)
				return r;
		return -1;
	}

	void count_own(Node &n, int64_t now_us)
	{
		if (!rules.hold_waited_for)
			n.part.committed_until_us = 0;
		if (n.alone &&
		    fp_part_take(&n.part, &n.right, true, now_us) == FP_OK)
			admit();
	}

	void admit()
	{
		admitted.push_back(t);
		while (admitted.front() <= t - WINDOW_US)
			admitted.pop_front();
		worst = std::max(worst, (int64_t)admitted.size());
		total++;
	}

	void ask(int i, uint32_t waiting)
	{
		Node &n = nodes[(size_t)i];
		int64_t now_us = clock(n);
		uint32_t want = fp_grants_want(n.grants, waiting, now_us);
		Message m = { Message::ASK };

		if (!want)
			return;
		n.asked = place(n);
		if (n.asked < 0)
			return;
		fp_grants_asked(n.grants, now_us);
		n.asked_us = now_us;
		m.id = n.ask_id = ++n.next_id;
		m.tokens = want;
		send(i, n.asked, m);
	}

	void commit(int i)
	{
		Node &n = nodes[(size_t)i];
		int64_t now_us = clock(n);
		int to = place(n);
		Message m = { Message::COMMIT };
		uint64_t name = (uint64_t)to + 1;

		if (n.late || to < 0)
			return;
		if (n.part.greeted == name &&
		    now_us - n.committed_us < COMMIT_US &&
		    (fp_part_is_committed(&n.part, now_us) ||
		     !fp_part_can_commit(&n.part, &n.right, name, now_us)))
			return;
		if (n.part.greeted != name && n.part.place != name &&
		    fp_part_is_committed(&n.part, now_us)) {
			fp_part_release(&n.part, now_us, &m.commitment);
			m.id = n.release_id = ++n.next_id;
			send(i, (int)n.part.place - 1, m);
		}
		if (!rules.hold_waited_for && n.part.place != name)
			n.part.committed_until_us = 0;
		fp_part_commit(&n.part, &n.right, name, FP_PART_HOLD_US, now_us,
			       &m.commitment);
		if (m.commitment.hold_us)
			n.release_id = 0;
		n.committed_us = now_us;
		m.id = n.commit_id = ++n.next_id;
		send(i, to, m);
	}

	void take_commitment(int i, const Message &m)
	{
		Node &n = nodes[(size_t)i];
		int64_t now_us = clock(n);
		const fp_commitment &c = m.commitment;
		Message a = { Message::ANSWER };
		fp_pool_view v;
		uint64_t holder =
			nodes[(size_t)m.from].epoch * 64 + (uint64_t)m.from;

		fp_pool_commit(n.pool, holder, &c, now_us);
		if (!rules.only_parts && place(n) == i)
			for (uint32_t k = 0; k < c.parts; k++) {
				fp_commitment all = { FP_PART_MAX_SPAN_US,
						      false,
						      t,
						      c.parts,
						      now_us,
						      0 };
				fp_pool_commit(n.pool, 1000 + k, &all, now_us);
			}
		a.id = m.id;
		a.stamp_us = now_us;
		fp_pool_read(n.pool, now_us, &v);
		a.fill_permille = v.fill_permille;
		send(i, m.from, a);
	}

	void take_ask(int i, const Message &m)
	{
		Node &n = nodes[(size_t)i];
		Message a = { Message::GRANT };
		fp_status st;

		st = fp_pool_grant(n.pool, m.tokens, clock(n), &a.grant_id,
				   &a.tokens, &a.wait_us);
		a.id = m.id;
		if (st != FP_OK) {
			a.kind = Message::REFUSED;
			a.tokens = st == FP_UNAVAILABLE;
		}
		send(i, m.from, a);
	}

	void take_answer(int i, const Message &m)
	{
		Node &n = nodes[(size_t)i];
		int64_t now_us = clock(n);

		if (m.id != n.ask_id)
			return;
		n.ask_id = 0;
		n.late = false;
		n.alone = m.kind == Message::REFUSED && m.tokens;
		if (n.alone && !fp_right_holds(&n.right, now_us) &&
		    !n.view.empty())
			n.detour = (n.detour + 1) % (int)n.view.size();
		if (m.kind == Message::GRANT)
			fp_grants_add(n.grants, m.grant_id, m.tokens,
				      n.asked_us, now_us);
		else
			fp_grants_refused(n.grants, n.alone ? 20000 : m.wait_us,
					  now_us);
	}

	void take(int i, const Message &m)
	{
		Node &n = nodes[(size_t)i];

		switch (m.kind) {
		case Message::ASK:
			take_ask(i, m);
			break;
		case Message::GRANT:
		case Message::REFUSED:
			take_answer(i, m);
			break;
		case Message::RETURN:
			fp_pool_return(n.pool, m.grant_id, m.tokens, clock(n));
			break;
		case Message::COMMIT:
			take_commitment(i, m);
			break;
		default:
			if (m.id == n.commit_id)
				fp_part_answered(&n.part, (uint64_t)m.from + 1,
						 m.stamp_us, m.fill_permille,
						 clock(n));
			else if (m.id == n.release_id)
				fp_part_released(&n.part, (uint64_t)m.from + 1,
						 clock(n));
			commit(i);
		}
	}

	bool others_established(int i) const
	{
		for (size_t k = 0; k < nodes.size(); k++)
			if ((int)k != i && lease_end_us[k] + GONE_US > t &&
			    t - known_us[k] >= LEASE_US + GONE_US)
				return true;
		return false;
	}

	/* The store: leases, and what a node that reaches it learns. */
	void look_at_store(int i)
	{
		Node &n = nodes[(size_t)i];
		std::set<int> now;

		if (store_cut_until[(size_t)i] > t)
			return;
		if (t - n.kept_us >= KEEP_US) {
			int64_t now_us = clock(n);
			int64_t &known = known_us[(size_t)i];

			if (now_us >= n.right.until_us &&
			    (n.right.until_us || lease_end_us[(size_t)i] < t)) {
				known = t;
				n.was_dropped = n.right.until_us != 0;
			}
			n.kept_us = t;
			lease_end_us[(size_t)i] = t + LEASE_US;
			n.right.from_us =
				now_us + known - t +
				(others_established(i) ? LEASE_US + GONE_US :
							 SECOND);
			n.right.until_us =
				now_us + LEASE_US + GONE_US - MARGIN_US;
		}
		if (!rules.right_ends)
			n.right.until_us = INT64_MAX / 2;
		for (int k = 0; k < (int)nodes.size(); k++)
			if (lease_end_us[(size_t)k] + GONE_US > t)
				now.insert(k);
		if (now != n.view)
			n.detour = 0;
		n.view = now;
	}

	void run_node(int i)
	{
		Node &n = nodes[(size_t)i];
		int64_t now_us;
		uint32_t waiting = 0;
		Message back = { Message::RETURN };

		look_at_store(i);
		now_us = clock(n);
		fp_pool_set_rate(n.pool, (uint32_t)rate_per_s, (uint32_t)burst,
				 now_us);
		fp_part_set(&n.part, (uint32_t)rate_per_s, (uint32_t)burst,
			    n.view.empty() ? 1 : (uint32_t)n.view.size(),
			    now_us);
		for (size_t k = 0; k < n.inbox.size();) {
			if (n.inbox[k].at_us > t) {
				k++;
				continue;
			}
			Message m = n.inbox[k];

			n.inbox.erase(n.inbox.begin() + (long)k);
			if (m.epoch == n.epoch)
				take(i, m);
		}
		if (n.ask_id && now_us - n.asked_us > ASK_TIMEOUT_US) {
			n.ask_id = 0;
			n.late = n.alone = true;
			fp_grants_lost(n.grants, now_us);
		}
		commit(i);
		for (n.owed +=
		     n.demand_per_s * (pressed ? 1.0 : 0.2) * STEP_US / SECOND;
		     n.owed >= 1; n.owed--) {
			fp_grants_demand(n.grants, now_us);
			if (fp_grants_take(n.grants, now_us) == FP_OK ||
			    fp_part_take_spare(&n.part, &n.right, now_us) ==
				    FP_OK)
				admit();
			else if (n.alone)
				count_own(n, now_us);
			else
				waiting++;
		}
		ask(i, waiting);
		while (n.asked >= 0 &&
		       fp_grants_surplus(n.grants, now_us, &back.grant_id,
					 &back.tokens) == FP_OK)
			send(i, n.asked, back);
	}

	void trouble()
	{
		int n = (int)nodes.size();
		int i = (int)rng.range(0, n - 1);
		int k = (int)rng.range(0, n - 1);

		switch (rng.range(0, 5)) {
		case 0: /* the store turns some away for long */
			for (int j = 0; j < n; j++)
				if (rng.chance(400))
					store_cut_until[(size_t)j] =
						t +
						rng.range(SECOND, 15 * SECOND);
			break;
		case 1:
			cut_until[(size_t)i][(size_t)k] =
				t + rng.range(100000, 3 * SECOND);
			break;
		case 2:
			for (int j = 0; j < n; j++)
				slow_until[(size_t)i][(size_t)j] =
					t + rng.range(100000, 4 * SECOND);
			break;
		case 3:
			nodes[(size_t)i].paused_until_us =
				t + rng.range(50000, 4 * SECOND);
			break;
		case 4:
			/* It is away for longer than a hold. */
			if (nodes[(size_t)i].up) {
				end(nodes[(size_t)i]);
				nodes[(size_t)i].paused_until_us =
					t + rng.range(600000, 3 * SECOND);
			}
			break;
		default: /* one node is slow to all for short spans */
			for (int j = 0; j < n; j++)
				cut_until[(size_t)i][(size_t)j] =
					t + rng.range(50000, 400000);
		}
	}

      public:
	int64_t rate_per_s, burst, worst = 0, total = 0;
	std::deque<int64_t> admitted;

	World(uint64_t seed, const Rules &r) : rules(r), rng(seed)
	{
		int n = (int)rng.range(3, 8);
		double each;

		phases = seed % 2 == 0;
		rate_per_s = rng.range(100, 400);
		burst = rng.range(rate_per_s / 2, rate_per_s);
		nodes.resize((size_t)n);
		cut_until.assign((size_t)n, std::vector<int64_t>((size_t)n));
		slow_until = cut_until;
		store_cut_until.assign((size_t)n, 0);
		lease_end_us.assign((size_t)n, -1);
		known_us.assign((size_t)n, 0);
		for (int i = 0; i < n; i++)
			rank.insert(rank.begin() + rng.range(0, i), i);
		each = 3.0 * (double)rate_per_s / n;
		for (auto &m : nodes) {
			m.drift = 1.0 + (double)rng.range(-100, 100) * 1e-6;
			m.offset_us = rng.range(SECOND, 1000 * SECOND);
			m.demand_per_s = each * rng.unit() * 2;
			start(m);
		}
	}
	~World()
	{
		for (auto &n : nodes)
			if (n.up)
				end(n);
	}

	void run(int64_t length_us, bool calm = false)
	{
		for (t = 0; t < length_us; t += STEP_US) {
			if (!calm && t > 10 * SECOND && rng.chance(8))
				trouble();
			if (!calm && phases && rng.chance(3))
				pressed = !pressed;
			for (int i = 0; i < (int)nodes.size(); i++) {
				Node &n = nodes[(size_t)i];

				if (n.paused_until_us > t)
					continue;
				if (!n.up)
					start(n);
				run_node(i);
			}
		}
	}

	/* The stated bound of a window. */
	int64_t allowed() const
	{
		return (rate_per_s * WINDOW_US / SECOND + burst) * 11 / 10 + 20;
	}
};

} // namespace parts

#endif
