/*
 * rate_sim.h - deterministic simulation of the owners and holders of a bucket
 *
 * Events run in the order of simulated time. Each node reads its own drifting
 * clock. A paused node handles no event until it resumes, while its clock keeps
 * running. Messages are lost, duplicated, delayed and reordered. A protocol
 * rule can be disabled (struct Rules); this is done here, outside the product's
 * code. For rules inside the bucket, a reimplementation of the bucket in this
 * file replaces the product's.
 */
#ifndef FP_TEST_RATE_SIM_H
#define FP_TEST_RATE_SIM_H

#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <vector>

#include "state/bucket.h"
#include "state/grants.h"

namespace rate
{

constexpr int64_t MICRO = 1000000;

/* The product follows every rule; false disables it in the simulation. */
struct Rules {
	bool use_test_bucket = false; /* use the test's own bucket */
	bool subtract_at_grant = true;
	bool room_counts_outstanding = true;
	bool return_once = true;
	bool count_from_request = true;
	bool holder_expires_first = true;
	bool new_owner_empty = true;
	bool new_owner_waits = true;
	bool lease_checked = true;
	bool response_once = true;
};

/*
 * How many tokens a holder requests.
 * FOLLOW: as the product, the missing tokens and a prefetch by recent demand
 * ONE: at most one per waiting request
 * FIXED: nine more than the waiting requests
 */
enum class Policy { FOLLOW, ONE, FIXED };

/* Random numbers that do not depend on the C++ library. */
class Random
{
	uint64_t s;

      public:
	explicit Random(uint64_t seed) : s(seed * 0x9e3779b97f4a7c15u + 1)
	{
	}
	uint64_t next()
	{
		s += 0x9e3779b97f4a7c15u;
		uint64_t z = (s ^ (s >> 30)) * 0xbf58476d1ce4e5b9u;
		z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
		return z ^ (z >> 31);
	}
	int64_t range(int64_t lo, int64_t hi)
	{
		return lo + (int64_t)(next() % (uint64_t)(hi - lo + 1));
	}
	bool chance(int permille)
	{
		return range(0, 999) < permille;
	}
	double unit()
	{
		return ((double)(next() >> 11) + 0.5) / 9007199254740992.0;
	}
	int64_t gap_us(double per_s)
	{
		return 1 + (int64_t)(-std::log(unit()) * 1e6 / per_s);
	}
	int64_t pick(const std::vector<int64_t> &v)
	{
		return v[next() % v.size()];
	}
};

/* An owner's bucket: the product's, or a plain one in which rules can be
 * disabled. */
class OwnerBucket
{
	struct Open {
		uint32_t tokens;
		int64_t end_us;
	};
	fp_bucket *b = nullptr;
	Rules rules;
	int64_t rate, burst, micro = 0, last_us;
	uint64_t next_id;
	std::map<uint64_t, Open> open;

	int64_t ceiling() const
	{
		int64_t room = burst;

		if (rules.room_counts_outstanding)
			for (const auto &g : open)
				room -= g.second.tokens;
		return room > 0 ? room * MICRO : 0;
	}
	/* Refills the bucket up to the ceiling, which still counts the grants
	 * that expired since the last call. This is less exact than closing
	 * each grant at its expiry, but never adds more tokens. */
	void advance(int64_t now_us)
	{
		if (now_us > last_us) {
			micro += (now_us - last_us) * rate * 9998 / 10000;
			last_us = now_us;
		}
		micro = std::min(micro, ceiling());
		for (auto it = open.begin(); it != open.end();)
			it = it->second.end_us <= now_us ? open.erase(it) :
							   std::next(it);
	}

      public:
	OwnerBucket(const Rules &r, int64_t rate_per_s, int64_t tokens,
		    uint64_t epoch, int64_t start_us, bool full)
	    : rules(r), rate(rate_per_s), burst(tokens), last_us(start_us),
	      next_id(epoch << 40)
	{
		auto *make = full ? fp_bucket_init_full : fp_bucket_init;

		if (!rules.use_test_bucket)
			b = make((uint32_t)rate, (uint32_t)burst, epoch,
				 start_us);
		else if (full)
			micro = ceiling();
	}
	~OwnerBucket()
	{
		fp_bucket_end(b);
	}
	void set_rate(int64_t r, int64_t n, int64_t now_us)
	{
		if (b)
			return fp_bucket_set_rate(b, (uint32_t)r, (uint32_t)n,
						  now_us);
		advance(now_us);
		rate = r;
		burst = n;
		advance(now_us);
	}
	bool grant(uint32_t want, int64_t now_us, uint64_t *id, uint32_t *n,
		   int64_t *wait_us)
	{
		if (b)
			return fp_bucket_grant(b, want, now_us, id, n,
					       wait_us) == FP_OK;
		advance(now_us);
		*n = (uint32_t)std::min<int64_t>(want, micro / MICRO);
		*wait_us = 5000;
		if (*n == 0)
			return false;
		if (rules.subtract_at_grant)
			micro -= *n * MICRO;
		*id = next_id++;
		open[*id] = { *n, now_us + FP_GRANT_OWNER_US };
		return true;
	}
	void return_tokens(uint64_t id, uint32_t unspent, int64_t now_us)
	{
		if (b) {
			fp_bucket_return(b, id, unspent, now_us);
			return;
		}
		advance(now_us);
		auto it = open.find(id);
		if (it == open.end() && rules.return_once)
			return;
		if (!rules.subtract_at_grant && it != open.end())
			micro -= (it->second.tokens - unspent) * MICRO;
		else
			micro += unspent * MICRO;
		if (it != open.end())
			open.erase(it);
		advance(now_us);
	}
};

/* Checks the rate bound over all windows at once: a token bucket in simulated
 * time that every admission takes a token from. */
class WindowCheck
{
	int64_t rate, burst, micro, last_us = 0;

	void advance(int64_t t)
	{
		micro = std::min(burst * MICRO, micro + (t - last_us) * rate);
		last_us = t;
	}

      public:
	WindowCheck(int64_t r, int64_t b) : rate(r), burst(b), micro(b * MICRO)
	{
	}
	void set_rate(int64_t t, int64_t r)
	{
		advance(t);
		rate = r;
	}
	void set_burst(int64_t t, int64_t b)
	{
		advance(t);
		burst = b;
	}
	bool has_token(int64_t t)
	{
		advance(t);
		return micro >= MICRO;
	}
	/* Admits a request if a token becomes available within wait_us. The
	 * token is taken at once, so the level may become negative. */
	bool admit_within(int64_t t, int64_t wait_us)
	{
		advance(t);
		if (micro + wait_us * rate < MICRO)
			return false;
		micro -= MICRO;
		return true;
	}
	bool admit(int64_t t)
	{
		advance(t);
		micro -= MICRO;
		return micro >= 0;
	}
};

struct Setup {
	uint64_t seed = 1;
	int holders = 4;
	int64_t rate = 100, burst = 100; /* of the organisation */
	int64_t run_us = 6 * MICRO;
	bool faults = true;
	/* Demand alternates between 0.03 and 20 times the rate. Of the faults
	 * of nodes only owner restarts occur; messages are still lost,
	 * duplicated and delayed. */
	bool quiet_then_flood = false;
	int kill_permille = 0;
	int duplicate_permille = 30;
	int return_permille = 0; /* how often a FIXED holder returns all */
	int late_permille = 30; /* messages delayed by up to 4 s */
	double demand = 1.0; /* fraction of the rate, without faults */
	Policy policy = Policy::FOLLOW;
	Rules rules;
};

struct Result {
	bool bound_kept = true;
	int64_t requests = 0, admitted = 0, at_once = 0, refused = 0;
	int64_t refused_in_rate = 0; /* refused although the bound allowed it */
	int64_t central_refused = 0; /* by a single bucket, same arrivals */
	int64_t central_admits = 0; /* refused here, admitted by that bucket */
	int64_t messages = 0, owners = 1;
};

class Sim
{
	struct Node {
		int64_t offset_us, drift_ppm;
		int64_t paused_until = 0; /* simulated time */
		int incarnation = 0; /* incremented by each restart */
	};
	struct Request {
		int64_t until_us; /* simulated time */
		bool central_ok;
	};
	struct Holder : Node {
		fp_grants *g = nullptr;
		std::deque<Request> waiting;
		double weight = 1;
		bool timer = false; /* a call of pump() is scheduled */
		int owner = 0; /* index of the node it considers the owner */
		int64_t requested_us = 0; /* time of the latest request */
		bool request_open = false;
		std::map<int64_t, bool> answered; /* by time of the request */
	};
	struct Owner : Node {
		std::unique_ptr<OwnerBucket> bucket;
		int64_t lease_us = 0; /* as primary: may act until then */
		int64_t not_before_us = 0; /* as backup: no takeover before */
	};
	struct Event {
		int64_t t;
		uint64_t order;
		Node *node;
		int incarnation;
		std::function<void()> fn;
		bool operator<(const Event &o) const
		{
			return t != o.t ? t > o.t : order > o.order;
		}
	};

	static constexpr int OWNERS = 3;
	static constexpr int64_t LEASE_US = 200000;
	Setup cfg;
	Random rnd;
	Result res;
	int64_t now = 0, rate, burst;
	uint64_t order = 0, epoch = 1;
	int primary = 0, backup = 1;
	double surge = 1; /* demand as a multiple of the rate */
	std::priority_queue<Event> events;
	std::vector<Holder> holders;
	std::vector<Owner> owners{ OWNERS };
	WindowCheck window, central;
	std::deque<int64_t> central_free;

	static int64_t clock(const Node &n, int64_t t)
	{
		return n.offset_us + t + t / 1000000 * n.drift_ppm +
		       t % 1000000 * n.drift_ppm / 1000000;
	}
	int64_t clock(const Node &n) const
	{
		return clock(n, now);
	}
	/* The clock reading passed to the holder's code. It runs at two thirds
	 * of the speed if the rule holder_expires_first is disabled. */
	int64_t holder_clock(const Holder &h) const
	{
		int64_t t = clock(h);

		return cfg.rules.holder_expires_first ? t : t / 3 * 2;
	}
	void schedule_at(int64_t t, Node &n, std::function<void()> fn)
	{
		events.push({ t, order++, &n, n.incarnation, std::move(fn) });
	}
	int64_t delay_us()
	{
		if (!cfg.faults)
			return rnd.range(500, 1500);
		if (rnd.chance(cfg.late_permille))
			return rnd.range(1000, 4000000);
		return rnd.range(200, 3000);
	}
	void send(Node &to, const std::function<void()> &fn)
	{
		res.messages++;
		if (cfg.faults && rnd.chance(20))
			return;
		schedule_at(now + delay_us(), to, fn);
		if (cfg.faults && rnd.chance(cfg.duplicate_permille))
			schedule_at(now + delay_us(), to, fn);
	}

	/* ---- owners ---- */
	bool may_act(Owner &o)
	{
		if (!o.bucket)
			return false;
		return !cfg.faults || !cfg.rules.lease_checked ||
		       clock(o) < o.lease_us;
	}
	void handle_request(Owner &o, Holder &h, uint32_t want,
			    int64_t requested_us)
	{
		uint64_t id = 0;
		uint32_t n = 0;
		int64_t wait_us = 0;

		if (!may_act(o))
			return;
		bool ok = o.bucket->grant(want, clock(o), &id, &n, &wait_us);
		send(h, [this, &h, ok, id, n, wait_us, requested_us] {
			handle_response(h, ok, id, n, wait_us, requested_us);
		});
	}
	/* With faults, half of the returns reach the current owner instead of
	 * the one they were sent to, as if forwarded. */
	void on_return(Owner &to, uint64_t id, uint32_t n)
	{
		Owner &o = cfg.faults && rnd.chance(500) ? owners[primary] : to;

		if (may_act(o))
			o.bucket->return_tokens(id, n, clock(o));
	}
	void renew()
	{
		Owner &p = owners[primary];
		Owner &b = owners[backup];
		int64_t requested_us = clock(p);
		uint64_t e = epoch;

		send(b, [this, &p, &b, e, requested_us] {
			if (e != epoch)
				return;
			b.not_before_us =
				std::max(b.not_before_us,
					 clock(b) + LEASE_US + LEASE_US / 4000);
			send(p, [&p, requested_us] {
				p.lease_us = std::max(p.lease_us,
						      requested_us + LEASE_US);
			});
		});
	}
	void renew_timer(Owner &o)
	{
		if (&o == &owners[primary] && o.bucket)
			renew();
		if (&o == &owners[backup] && clock(o) >= o.not_before_us)
			take_over();
		schedule_at(now + 50000, o, [this, &o] { renew_timer(o); });
	}
	void take_over()
	{
		Owner &o = owners[backup];
		int64_t start_us = o.not_before_us + FP_GRANT_OWNER_US;

		epoch++;
		res.owners++;
		if (!cfg.rules.new_owner_waits || start_us < clock(o))
			start_us = clock(o);
		o.bucket.reset(new OwnerBucket(cfg.rules, rate, burst, epoch,
					       start_us,
					       !cfg.rules.new_owner_empty));
		o.lease_us = 0;
		primary = backup;
		backup = (primary + 1 + (int)rnd.range(0, 1)) % OWNERS;
		reset_lease_wait(owners[backup]);
		for (auto &h : holders)
			schedule_at(now + rnd.range(0, 400000), h,
				    [this, &h, p = primary] { h.owner = p; });
	}
	void reset_lease_wait(Owner &o)
	{
		o.not_before_us = clock(o) + LEASE_US + LEASE_US / 4000;
	}

	/* ---- holders ---- */
	void handle_response(Holder &h, bool ok, uint64_t id, uint32_t n,
			     int64_t wait_us, int64_t requested_us)
	{
		if (!ok)
			return handle_refusal(h, wait_us);
		if (!cfg.rules.response_once)
			fp_grants_requested(h.g, requested_us);
		if (!cfg.rules.count_from_request &&
		    !h.answered[requested_us]) {
			h.answered[requested_us] = true;
			requested_us = holder_clock(h);
			fp_grants_requested(h.g, requested_us);
		}
		if (fp_grants_add(h.g, id, n, requested_us, holder_clock(h)) !=
		    FP_CONFLICT)
			h.request_open = false;
		pump(h);
	}
	void refuse(const Request &r)
	{
		res.refused++;
		res.refused_in_rate += window.has_token(now);
		res.central_admits += r.central_ok;
	}
	void serve(Holder &h)
	{
		while (!h.waiting.empty()) {
			Request r = h.waiting.front();

			if (fp_grants_take(h.g, holder_clock(h)) == FP_OK) {
				res.admitted++;
				res.bound_kept &= window.admit(now);
				res.at_once +=
					now == r.until_us - FP_GRANT_WAIT_US;
			} else if (now > r.until_us && !h.request_open) {
				refuse(r);
			} else {
				break;
			}
			h.waiting.pop_front();
		}
	}
	/* Refuses the waiting requests whose time limit is before the end of
	 * the owner's wait time. */
	void handle_refusal(Holder &h, int64_t wait_us)
	{
		h.request_open = false;
		fp_grants_refused(h.g, wait_us, holder_clock(h));
		while (!h.waiting.empty() &&
		       h.waiting.front().until_us < now + wait_us) {
			refuse(h.waiting.front());
			h.waiting.pop_front();
		}
		pump(h);
		if (!h.waiting.empty())
			schedule_at(now + wait_us + 1, h,
				    [this, &h] { pump(h); });
	}
	uint32_t request_size(Holder &h)
	{
		auto n = (uint32_t)h.waiting.size();
		uint32_t w = fp_grants_request_size(h.g, n, holder_clock(h));

		if (cfg.policy == Policy::ONE)
			return std::min(w, n);
		if (cfg.policy == Policy::FIXED)
			return w && n ? n + 9 : 0;
		return w;
	}
	bool idle_with_tokens(Holder &h)
	{
		return h.waiting.empty() &&
		       fp_grants_available(h.g, holder_clock(h)) > 0;
	}
	void return_surplus(Holder &h)
	{
		uint64_t id;
		uint32_t n;

		if (cfg.policy == Policy::FIXED &&
		    (cfg.faults ? !rnd.chance(cfg.return_permille) :
				  idle_with_tokens(h)))
			return;
		while (fp_grants_take_surplus(h.g, holder_clock(h), &id, &n) ==
		       FP_OK) {
			Owner &to = owners[h.owner];

			send(to, [this, &to, id, n] { on_return(to, id, n); });
		}
	}
	/* Serves waiting requests, returns surplus tokens, requests more. */
	void pump(Holder &h)
	{
		serve(h);
		return_surplus(h);
		uint32_t w = request_size(h);
		if (w > 0)
			request_tokens(h, w);
		bool idle = h.waiting.empty() &&
			    fp_grants_available(h.g, holder_clock(h)) == 0;
		if (h.timer || idle)
			return;
		h.timer = true;
		schedule_at(now + 5000, h, [this, &h] {
			h.timer = false;
			pump(h);
		});
	}
	void request_tokens(Holder &h, uint32_t w)
	{
		Owner &o = owners[h.owner];
		int64_t requested_us = holder_clock(h);

		fp_grants_requested(h.g, requested_us);
		send(o, [this, &o, &h, w, requested_us] {
			handle_request(o, h, w, requested_us);
		});
		schedule_at(now + 25000, h, [this, &h, requested_us] {
			if (requested_us != h.requested_us)
				return;
			h.request_open = false;
			fp_grants_request_lost(h.g, holder_clock(h));
			pump(h);
		});
		h.requested_us = requested_us;
		h.request_open = true;
	}

	/* A single bucket with the same longest wait, for comparison. */
	bool central_take()
	{
		return central.admit_within(now, FP_GRANT_WAIT_US);
	}
	void arrive(Holder &h)
	{
		bool ok = central_take();

		res.requests++;
		res.central_refused += !ok;
		fp_grants_count_demand(h.g, holder_clock(h));
		h.waiting.push_back({ now + FP_GRANT_WAIT_US, ok });
		pump(h);
		next_arrival(h);
	}
	void next_arrival(Holder &h)
	{
		double per_s = h.weight * surge * (double)rate;
		int64_t gap_us = rnd.gap_us(per_s);

		/* A change of the demand takes effect within 0.5 s. */
		if (cfg.faults)
			gap_us = std::min(gap_us, MICRO / 2);
		schedule_at(now + gap_us, h, [this, &h] { arrive(h); });
	}

	/* ---- faults ---- */
	void restart(Holder &h)
	{
		h.incarnation++;
		fp_grants_end(h.g);
		make_grants(h);
		h.waiting.clear();
		h.request_open = false;
		h.timer = false;
		next_arrival(h);
	}
	void restart(Owner &o)
	{
		o.incarnation++;
		o.bucket.reset();
		reset_lease_wait(o);
		renew_timer(o);
	}
	void change_rate()
	{
		int64_t old_burst = burst;

		rate = rnd.pick({ 5, 20, 100, 400 });
		burst = rnd.pick({ 1, 3, 10, 50, 200 });
		for (auto &o : owners)
			if (o.bucket)
				o.bucket->set_rate(rate, burst, clock(o));
		for (auto &h : holders)
			if (cfg.policy == Policy::FOLLOW)
				fp_grants_set_rate(h.g, (uint32_t)rate,
						   (uint32_t)burst);
		window.set_rate(now, rate);
		if (burst >= old_burst)
			return window.set_burst(now, burst);
		changing = true;
		events.push({ now + FP_GRANT_OWNER_US + 1000, order++, nullptr,
			      0, [this] {
				      changing = false;
				      window.set_burst(now, burst);
			      } });
	}
	bool changing = false; /* a lower burst takes effect later */
	void fault()
	{
		Node &n = rnd.chance(500) ?
				  (Node &)holders[rnd.next() % holders.size()] :
				  (Node &)owners[rnd.next() % OWNERS];
		Holder &h = holders[rnd.next() % holders.size()];
		int64_t kind = rnd.range(0, 9);

		if (cfg.quiet_then_flood) {
			if (rnd.chance(cfg.kill_permille))
				restart(owners[primary]);
		} else if (kind < 5) {
			n.paused_until = now + rnd.range(1000, 1800000);
		} else if (kind < 6) {
			restart(h);
		} else if (kind < 7) {
			restart(owners[rnd.next() % OWNERS]);
		} else if (kind < 8 && !changing) {
			change_rate();
		}
		if (surge > 1 && rnd.chance(500))
			surge = 0.03;
		else if (rnd.chance(cfg.quiet_then_flood ? 120 : 300))
			surge = cfg.quiet_then_flood ?
					20 :
					0.4 * (double)rnd.range(3, 12);
		events.push({ now + rnd.range(50000, 600000), order++, nullptr,
			      0, [this] { fault(); } });
	}
	/* With faults, the rate of a FIXED holder is not set, so all its tokens
	 * count as surplus. It returns them occasionally (return_surplus). */
	void make_grants(Holder &h)
	{
		h.g = fp_grants_init();
		if (!cfg.faults || cfg.policy == Policy::FOLLOW)
			fp_grants_set_rate(h.g, (uint32_t)rate,
					   (uint32_t)burst);
	}
	void setup_node(Node &n)
	{
		n.offset_us = rnd.range(MICRO, 1000 * MICRO);
		n.drift_ppm = rnd.range(-100, 100);
	}

      public:
	explicit Sim(const Setup &s)
	    : cfg(s), rnd(s.seed), rate(s.rate), burst(s.burst),
	      holders((size_t)s.holders), window(s.rate, s.burst),
	      central(s.rate, s.burst)
	{
		double sum = 0;
		int i = 0;

		for (auto &o : owners)
			setup_node(o);
		for (auto &h : holders) {
			setup_node(h);
			make_grants(h);
			h.weight = 1.0 / ++i; /* Zipf */
			sum += h.weight;
		}
		surge = cfg.faults ? 1 : cfg.demand;
		for (auto &h : holders) {
			h.weight /= sum;
			next_arrival(h);
		}
		owners[0].bucket.reset(new OwnerBucket(
			cfg.rules, rate, burst, 1, clock(owners[0]), true));
		if (!cfg.faults)
			return;
		reset_lease_wait(owners[1]);
		for (auto &o : owners)
			renew_timer(o);
		events.push(
			{ 100000, order++, nullptr, 0, [this] { fault(); } });
	}
	~Sim()
	{
		for (auto &h : holders)
			fp_grants_end(h.g);
	}
	Result run()
	{
		while (!events.empty() && events.top().t < cfg.run_us) {
			Event e = events.top();

			events.pop();
			now = e.t;
			if (e.node && e.incarnation != e.node->incarnation)
				continue;
			if (e.node && now < e.node->paused_until) {
				e.t = e.node->paused_until;
				events.push(e);
				continue;
			}
			e.fn();
		}
		return res;
	}
};

} // namespace rate
#endif
