/*
 * rate_shares_sim.h - deterministic simulation of nodes with rate shares
 *
 * Each node runs the product's code (state/rate_share.h, pool.h, grants.h) on a
 * clock of its own. Its view of the members is not updated while it cannot
 * reach the store. Links are slow, lossy or interrupted; nodes pause, are
 * killed and start again. A protocol rule can be disabled (struct Rules); this
 * is done here, outside the product's code.
 */
#ifndef FP_TEST_RATE_SHARES_SIM_H
#define FP_TEST_RATE_SHARES_SIM_H

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "rate_sim.h"
#include "state/rate_share.h"
#include "state/pool.h"

namespace shares
{

using rate::Random;

constexpr int64_t SECOND = 1000000;
constexpr int64_t STEP_US = 5000;
constexpr int64_t LEASE_US = 6 * SECOND; /* of a member's record */
/* A member is removed this long after its lease expired. */
constexpr int64_t REMOVE_AFTER_US = SECOND * 5 / 2;
constexpr int64_t RENEW_US = SECOND * 3 / 2; /* lease renewal interval */
/* A share expires this long before the removal of its node. */
constexpr int64_t MARGIN_US = SECOND * 3 / 10;
constexpr int64_t REQUEST_TIMEOUT_US = 100000;
constexpr int64_t COMMIT_US = 200000; /* renewal interval of commitments */
constexpr int64_t LONG_HOLD_US = 4 * SECOND; /* while demand is low */
constexpr int64_t WINDOW_US = 5 * SECOND; /* for the bound on admissions */

/* The product follows every rule; false disables it in the simulation. */
struct Rules {
	bool hold_respected = true; /* a share is unusable during its hold */
	bool share_expires = true; /* a share is valid for a limited time */
	bool limited_to_shares = true; /* a pool has only committed shares */
};

struct Message {
	enum Kind {
		REQUEST,
		GRANT,
		REFUSAL,
		RETURN,
		COMMIT,
		COMMIT_RESPONSE,
		RELEASE_RESPONSE
	} kind;
	int from = 0;
	uint64_t id = 0, grant_id = 0;
	uint32_t tokens = 0; /* REFUSAL: 1 if the pool has no shares */
	/* at_us: arrival, simulated time */
	int64_t owner_clock_us = 0, wait_us = 0, at_us = 0;
	uint32_t fill_permille = 0;
	fp_commitment commitment = {};
	uint64_t epoch = 0; /* of the receiving process */
};

/* One process and its local state. */
struct Node {
	bool up = true;
	uint64_t epoch = 0;
	int64_t paused_until_us = 0;
	double clock_rate = 1.0;
	int64_t clock_offset_us = 0;
	std::set<int> view; /* indices of the members it has listed */
	fp_share_validity validity = {};
	int64_t renewed_us = -RENEW_US; /* last lease renewal, simulated time */
	fp_rate_share share = {};
	fp_grants *grants = nullptr;
	fp_pool *pool = nullptr;
	uint64_t next_id = 0, request_id = 0, commit_id = 0, release_id = 0;
	int64_t requested_us = 0, committed_us = 0;
	int requested_from = -1, n_skipped = 0;
	/* standalone: uses its own share, as its owner grants nothing;
	 * timed_out: the last token request got no response */
	bool standalone = false, timed_out = false, was_removed = false;
	double demand_per_s = 0;
	double owed = 0; /* demand not yet turned into requests */
	std::deque<Message> inbox;
	/* requests that wait for a token, by their arrival; see patience_us */
	std::deque<int64_t> queue;
};

class Simulation
{
	Rules rules;
	Random rng;
	std::vector<Node> nodes;
	std::vector<std::vector<int64_t>> cut_until, slow_until;
	std::vector<int64_t> store_cut_until, lease_end_us, member_since_us;
	std::vector<int> rank; /* nodes, preferred owner first */
	int64_t t = 0; /* simulated time */
	bool overloaded = true; /* demand exceeds the rate */
	bool phases; /* whether overloaded changes at random */

	int64_t clock(const Node &n) const
	{
		return n.clock_offset_us + (int64_t)((double)t * n.clock_rate);
	}

	void start(Node &n)
	{
		n.up = true;
		n.epoch++;
		n.validity = {};
		fp_rate_share_init(&n.share);
		n.renewed_us = t - RENEW_US;
		n.request_id = n.commit_id = n.release_id = 0;
		n.standalone = n.timed_out = n.was_removed = false;
		n.n_skipped = 0;
		n.inbox.clear();
		n.queue.clear();
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
		/* A link interrupted for more than 4 s is reset and loses its
		 * messages. */
		if (delay_us > 4 * SECOND)
			return;
		m.at_us = t + delay_us;
		nodes[(size_t)to].inbox.push_back(m);
	}

	/* The owner in the node's view: its highest-ranked member after the
	 * skipped ones. */
	int owner_of(const Node &n) const
	{
		int skip = n.n_skipped;

		for (int r : rank)
			if (n.view.count(r) && skip-- <= 0)
				return r;
		return -1;
	}

	void take_from_share(Node &n, int64_t now_us)
	{
		if (!rules.hold_respected)
			n.share.committed_until_us = 0;
		if (n.standalone && fp_rate_share_take(&n.share, &n.validity,
						       true, now_us) == FP_OK)
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

	void request_tokens(int i, uint32_t waiting)
	{
		Node &n = nodes[(size_t)i];
		int64_t now_us = clock(n);
		uint32_t want =
			fp_grants_request_size(n.grants, waiting, now_us);
		Message m = { Message::REQUEST };

		if (!want)
			return;
		n.requested_from = owner_of(n);
		if (n.requested_from < 0)
			return;
		fp_grants_requested(n.grants, now_us);
		n.requested_us = now_us;
		m.id = n.request_id = ++n.next_id;
		m.tokens = want;
		send(i, n.requested_from, m);
	}

	void commit(int i)
	{
		Node &n = nodes[(size_t)i];
		int64_t now_us = clock(n);
		int to = owner_of(n);
		Message m = { Message::COMMIT };
		uint64_t owner_id = (uint64_t)to + 1;

		if (n.timed_out || to < 0)
			return;
		if (n.share.probed_owner == owner_id &&
		    now_us - n.committed_us < COMMIT_US &&
		    (fp_rate_share_is_committed(&n.share, now_us) ||
		     !fp_rate_share_can_commit(&n.share, &n.validity, owner_id,
					       now_us)))
			return;
		if (n.share.probed_owner != owner_id &&
		    n.share.owner != owner_id &&
		    fp_rate_share_is_committed(&n.share, now_us)) {
			fp_rate_share_release(&n.share, now_us, &m.commitment);
			m.id = n.release_id = ++n.next_id;
			send(i, (int)n.share.owner - 1, m);
		}
		if (!rules.hold_respected && n.share.owner != owner_id)
			n.share.committed_until_us = 0;
		fp_rate_share_commit(&n.share, &n.validity, owner_id,
				     overloaded ? FP_RATE_SHARE_HOLD_US :
						  LONG_HOLD_US,
				     now_us, &m.commitment);
		if (m.commitment.hold_us)
			n.release_id = 0;
		n.committed_us = now_us;
		m.id = n.commit_id = ++n.next_id;
		send(i, to, m);
	}

	void handle_commitment(int i, const Message &m)
	{
		Node &n = nodes[(size_t)i];
		int64_t now_us = clock(n);
		const fp_commitment &c = m.commitment;
		Message a = { Message::COMMIT_RESPONSE };
		fp_pool_view v;
		uint64_t holder =
			nodes[(size_t)m.from].epoch * 64 + (uint64_t)m.from;

		fp_pool_commit(n.pool, holder, &c, now_us);
		if (!rules.limited_to_shares && owner_of(n) == i)
			for (uint32_t k = 0; k < c.n_shares; k++) {
				fp_commitment all = { FP_RATE_SHARE_MAX_SPAN_US,
						      false,
						      t,
						      c.n_shares,
						      now_us,
						      0,
						      0 };
				fp_pool_commit(n.pool, 1000 + k, &all, now_us);
			}
		a.id = m.id;
		a.owner_clock_us = now_us;
		fp_pool_read(n.pool, now_us, &v);
		a.fill_permille = v.fill_permille;
		send(i, m.from, a);
	}

	void handle_request(int i, const Message &m)
	{
		Node &n = nodes[(size_t)i];
		Message a = { Message::GRANT };
		fp_status st;

		st = fp_pool_grant(n.pool, m.tokens, clock(n), &a.grant_id,
				   &a.tokens, &a.wait_us);
		a.id = m.id;
		if (st != FP_OK) {
			a.kind = Message::REFUSAL;
			a.tokens = st == FP_UNAVAILABLE;
		}
		send(i, m.from, a);
	}

	void handle_response(int i, const Message &m)
	{
		Node &n = nodes[(size_t)i];
		int64_t now_us = clock(n);

		if (m.id != n.request_id)
			return;
		n.request_id = 0;
		n.timed_out = false;
		n.standalone = m.kind == Message::REFUSAL && m.tokens;
		if (n.standalone && !fp_share_is_valid(&n.validity, now_us) &&
		    !n.view.empty())
			n.n_skipped = (n.n_skipped + 1) % (int)n.view.size();
		if (m.kind == Message::GRANT)
			fp_grants_add(n.grants, m.grant_id, m.tokens,
				      n.requested_us, now_us);
		else
			fp_grants_refused(n.grants,
					  n.standalone ? 20000 : m.wait_us,
					  now_us);
	}

	void handle(int i, const Message &m)
	{
		Node &n = nodes[(size_t)i];

		switch (m.kind) {
		case Message::REQUEST:
			handle_request(i, m);
			break;
		case Message::GRANT:
		case Message::REFUSAL:
			handle_response(i, m);
			break;
		case Message::RETURN:
			fp_pool_return(n.pool, m.grant_id, m.tokens, clock(n));
			break;
		case Message::COMMIT:
			handle_commitment(i, m);
			break;
		default:
			if (m.id == n.commit_id)
				fp_rate_share_handle_response(
					&n.share, (uint64_t)m.from + 1,
					m.owner_clock_us, m.fill_permille,
					clock(n));
			else if (m.id == n.release_id)
				fp_rate_share_release_confirmed(
					&n.share, (uint64_t)m.from + 1,
					clock(n));
			commit(i);
		}
	}

	/* Whether another member has existed for LEASE_US + REMOVE_AFTER_US.
	 * Then every node lists it, or has an invalid share of its own. If no
	 * such member exists, the fleet is new. */
	bool others_established(int i) const
	{
		for (size_t k = 0; k < nodes.size(); k++)
			if ((int)k != i &&
			    lease_end_us[k] + REMOVE_AFTER_US > t &&
			    t - member_since_us[k] >=
				    LEASE_US + REMOVE_AFTER_US)
				return true;
		return false;
	}

	/* Renews the lease of a node and updates its view, if it can reach the
	 * store. */
	void sync_with_store(int i)
	{
		Node &n = nodes[(size_t)i];
		std::set<int> now;

		if (store_cut_until[(size_t)i] > t)
			return;
		if (t - n.renewed_us >= RENEW_US) {
			int64_t now_us = clock(n);
			int64_t &since_us = member_since_us[(size_t)i];

			if (now_us >= n.validity.until_us &&
			    (n.validity.until_us ||
			     lease_end_us[(size_t)i] < t)) {
				since_us = t;
				n.was_removed = n.validity.until_us != 0;
			}
			n.renewed_us = t;
			lease_end_us[(size_t)i] = t + LEASE_US;
			n.validity.from_us =
				now_us + since_us - t +
				(others_established(i) ?
					 LEASE_US + REMOVE_AFTER_US :
					 SECOND);
			n.validity.until_us =
				now_us + LEASE_US + REMOVE_AFTER_US - MARGIN_US;
		}
		if (!rules.share_expires)
			n.validity.until_us = INT64_MAX / 2;
		for (int k = 0; k < (int)nodes.size(); k++)
			if (lease_end_us[(size_t)k] + REMOVE_AFTER_US > t)
				now.insert(k);
		if (now != n.view)
			n.n_skipped = 0;
		n.view = now;
	}

	void serve_queue(Node &n)
	{
		int64_t now_us = clock(n);

		while (!n.queue.empty()) {
			if (n.queue.front() + patience_us > t) {
				if (fp_grants_take(n.grants, now_us) != FP_OK &&
				    fp_rate_share_take_reserve(&n.share,
							       &n.validity,
							       now_us) != FP_OK)
					return;
				admit();
			}
			n.queue.pop_front();
		}
	}

	void run_node(int i)
	{
		Node &n = nodes[(size_t)i];
		int64_t now_us;
		uint32_t waiting = 0;
		Message back = { Message::RETURN };

		sync_with_store(i);
		now_us = clock(n);
		fp_pool_set_rate(n.pool, (uint32_t)rate_per_s, (uint32_t)burst,
				 now_us);
		fp_rate_share_set(
			&n.share, (uint32_t)rate_per_s, (uint32_t)burst,
			n.view.empty() ? 1 : (uint32_t)n.view.size(), now_us);
		for (size_t k = 0; k < n.inbox.size();) {
			if (n.inbox[k].at_us > t) {
				k++;
				continue;
			}
			Message m = n.inbox[k];

			n.inbox.erase(n.inbox.begin() + (long)k);
			if (m.epoch == n.epoch)
				handle(i, m);
		}
		if (n.request_id &&
		    now_us - n.requested_us > REQUEST_TIMEOUT_US) {
			n.request_id = 0;
			n.timed_out = n.standalone = true;
			fp_grants_request_lost(n.grants, now_us);
		}
		commit(i);
		for (n.owed += n.demand_per_s * (overloaded ? 1.0 : 0.2) *
			       STEP_US / SECOND;
		     n.owed >= 1; n.owed--) {
			fp_grants_count_demand(n.grants, now_us);
			if (fp_grants_take(n.grants, now_us) == FP_OK ||
			    fp_rate_share_take_reserve(&n.share, &n.validity,
						       now_us) == FP_OK)
				admit();
			else if (patience_us)
				n.queue.push_back(t);
			else if (n.standalone)
				take_from_share(n, now_us);
			else
				waiting++;
		}
		serve_queue(n);
		request_tokens(i, waiting + (uint32_t)n.queue.size());
		while (n.requested_from >= 0 &&
		       fp_grants_take_surplus(n.grants, now_us, &back.grant_id,
					      &back.tokens) == FP_OK)
			send(i, n.requested_from, back);
	}

	void inject_fault()
	{
		int n = (int)nodes.size();
		int i = (int)rng.range(0, n - 1);
		int k = (int)rng.range(0, n - 1);

		switch (rng.range(0, 5)) {
		case 0: /* some nodes cannot reach the store for 1 to 15 s */
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
			/* The node is down for longer than a hold (0.5 s). */
			if (nodes[(size_t)i].up) {
				end(nodes[(size_t)i]);
				nodes[(size_t)i].paused_until_us =
					t + rng.range(600000, 3 * SECOND);
			}
			break;
		default: /* a node's messages wait for 50 to 400 ms */
			for (int j = 0; j < n; j++)
				cut_until[(size_t)i][(size_t)j] =
					t + rng.range(50000, 400000);
		}
	}

      public:
	/* worst: most admissions in a window; total: all admissions */
	int64_t rate_per_s, burst, worst = 0, total = 0;
	/* how long a request waits for a token; 0: it is refused at once */
	int64_t patience_us = 0;
	std::deque<int64_t> admitted; /* times in the current window */

	Simulation(uint64_t seed, const Rules &r) : rules(r), rng(seed)
	{
		int n = (int)rng.range(3, 8);

		phases = seed % 2 == 0;
		rate_per_s = rng.range(100, 400);
		burst = rng.range(rate_per_s / 2, rate_per_s);
		make_nodes(n);
	}
	/* A fleet without random faults until run() is told otherwise. */
	Simulation(uint64_t seed, int n, int64_t rate)
	    : rng(seed), phases(false), rate_per_s(rate), burst(rate)
	{
		make_nodes(n);
	}
	/* Kills all nodes for down_us, and runs on for length_us. */
	void kill_all(int64_t down_us, int64_t length_us, double demand)
	{
		for (auto &n : nodes) {
			end(n);
			n.paused_until_us = t + down_us;
			n.owed = rng.unit(); /* arrivals out of step */
			n.demand_per_s = demand * (double)rate_per_s /
					 (double)nodes.size();
		}
		run(t + length_us, true, t);
	}

      private:
	void make_nodes(int n)
	{
		double each;

		nodes.resize((size_t)n);
		cut_until.assign((size_t)n, std::vector<int64_t>((size_t)n));
		slow_until = cut_until;
		store_cut_until.assign((size_t)n, 0);
		lease_end_us.assign((size_t)n, -1);
		member_since_us.assign((size_t)n, 0);
		for (int i = 0; i < n; i++)
			rank.insert(rank.begin() + rng.range(0, i), i);
		each = 3.0 * (double)rate_per_s / n;
		for (auto &m : nodes) {
			m.clock_rate =
				1.0 + (double)rng.range(-100, 100) * 1e-6;
			m.clock_offset_us = rng.range(SECOND, 1000 * SECOND);
			m.demand_per_s = each * rng.unit() * 2;
			start(m);
		}
	}

      public:
	~Simulation()
	{
		for (auto &n : nodes)
			if (n.up)
				end(n);
	}

	void run(int64_t until_us, bool no_faults = false, int64_t from_us = 0)
	{
		for (t = from_us; t < until_us; t += STEP_US) {
			if (!no_faults && t > 10 * SECOND && rng.chance(8))
				inject_fault();
			if (!no_faults && phases && rng.chance(3))
				overloaded = !overloaded;
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

	/* The guaranteed bound on admissions in a window, with an allowance of
	 * 10 % and 20 requests. */
	int64_t allowed() const
	{
		return (rate_per_s * WINDOW_US / SECOND + burst) * 11 / 10 + 20;
	}
};

} // namespace shares

#endif
