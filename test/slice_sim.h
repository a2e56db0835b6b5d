/*
 * slice_sim.h - simulation of the slice services of several nodes
 *
 * The services are real; everything else is simulated: true time, a drifting
 * clock per process, links that lose, delay and duplicate frames, a store that
 * loses answers, pauses, kills and planned stops. A cut link loses all frames
 * until it is restored. Frames may also be reordered, and duplicates may arrive
 * much later; TCP does neither.
 */
#ifndef FP_TEST_SLICE_SIM_H
#define FP_TEST_SLICE_SIM_H

#include <cstdint>
#include <cstdio>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "coordination/slice.h"
#include "coordination/slice_service.h"
#include "protocol/msg_shared.h"

namespace slice_sim
{

constexpr int64_t ms = FP_US_PER_MS;
constexpr int64_t sec = FP_US_PER_S;
constexpr int64_t claim_lifetime_us = 60 * sec;

struct simulation;

struct node {
	simulation *sim;
	struct fp_store store = {};
	struct fp_counters *counters = nullptr;
	struct fp_slice_service *svc = nullptr;
	uint64_t id = 0;
	int addr_index = 0; /* last byte of its IP address */
	std::string addr;
	bool alive = true;
	bool stopping = false;
	int64_t dead_since_us = 0;
	int64_t paused_until_us = 0;
	double clock_rate = 1.0;
	int64_t clock_offset_us = 0;

	int64_t now() const;
	int64_t count(const char *name, const char *labels = "") const
	{
		return fp_counter_value(fp_counter_get(counters, name, labels));
	}
	~node()
	{
		fp_slice_service_end(svc);
		fp_counters_end(counters);
	}
};

struct store_node {
	struct fp_store store;
	node *n;
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

struct answer {
	enum fp_status status;
	enum fp_claim_state state;
	int32_t http_status;
	std::string body;
	uint64_t grant_id;
	uint32_t tokens;
};

struct simulation {
	std::mt19937_64 rng;
	int64_t true_us = 0; /* time without drift */
	uint64_t order = 0;
	std::priority_queue<event> events;
	std::vector<std::unique_ptr<node>> started;
	std::vector<node *> current; /* newest node at each address */
	std::map<std::pair<int, int>, int64_t> cut_until_us; /* per link */
	/* Version and value of each key. */
	std::map<std::string, std::pair<uint64_t, std::string>> store_records;
	/* Requests that wait for an answer, by correlation id. */
	std::map<uint64_t, std::function<void(const answer &)>> pending;
	uint64_t next_id = 1;
	int loss_percent = 0;
	int64_t store_down_until_us = 0;
	bool store_applies_while_down = false; /* only the answer is lost */
	uint64_t store_calls = 0;
	uint32_t max_claims = 1000;
	struct fp_config *config = nullptr;
	/* Drops a frame (from, to, bytes) if it returns true. */
	std::function<bool(node *, node *, const std::string &)> filter;

	explicit simulation(uint64_t seed) : rng(seed)
	{
	}
	~simulation()
	{
		for (auto &n : started)
			fp_slice_service_close(n->svc);
		fp_config_end(config);
	}
	int64_t uniform(int64_t lo, int64_t hi)
	{
		return lo + (int64_t)(rng() % (uint64_t)(hi - lo + 1));
	}
	bool chance(int percent)
	{
		return (int)(rng() % 100) < percent;
	}
	void schedule(int64_t delay, std::function<void()> fn)
	{
		events.push({ true_us + delay, order++, std::move(fn) });
	}
	/* Runs fn on a node: at once, after its pause if it is paused, never if
	 * it is dead. */
	void run_on_node(node *n, std::function<void()> fn)
	{
		if (!n->alive)
			return;
		if (n->paused_until_us > true_us)
			schedule(n->paused_until_us - true_us,
				 [=] { run_on_node(n, fn); });
		else
			fn();
	}
	void run_until(int64_t end)
	{
		while (!events.empty() && events.top().due_us <= end) {
			event e = events.top();

			events.pop();
			true_us = e.due_us;
			e.fn();
		}
		true_us = end;
	}
	void run(int64_t span_us)
	{
		run_until(true_us + span_us);
	}
	/* Runs while cond holds, for at most max_us; returns whether cond
	 * became false. */
	bool run_while(int64_t max_us, const std::function<bool()> &cond)
	{
		int64_t end = true_us + max_us;

		while (cond() && true_us < end)
			run(ms);
		return !cond();
	}

	node *start(int addr_index);
	node *find(const char *addr);
	void send_frame(node *from, const char *addr, std::string data);
	void store_call(node *n, bool cas, std::string key, std::string value,
			uint64_t version, fp_store_done_fn done, void *ctx);
	void publish_members();
	void tick(node *n);
	void kill(node *n)
	{
		n->alive = false;
		n->dead_since_us = true_us;
		fp_slice_service_close(n->svc);
	}
	void stop(node *n)
	{
		n->stopping = true;
		fp_slice_service_stop(n->svc);
	}
	node *owner(uint32_t slice);
	node *backup(uint32_t slice);
	void set_org(const char *name, uint32_t rate, uint32_t burst);
	/* Sends a request as the node's traffic thread; fn receives the
	 * answer. */
	void request(node *n, uint32_t slice, struct fp_msg_shared m,
		     std::function<void(const answer &)> fn);
	void start_nodes(int n);
};

inline int64_t node::now() const
{
	return clock_offset_us + (int64_t)((double)sim->true_us * clock_rate);
}

inline int64_t cb_now_us(void *ctx)
{
	return ((node *)ctx)->now();
}

inline enum fp_status cb_send(void *ctx, const char *addr, const void *data,
			      size_t bytes)
{
	node *n = (node *)ctx;

	n->sim->send_frame(n, addr, std::string((const char *)data, bytes));
	return FP_OK;
}

inline uint32_t cb_peers(void *ctx, const char **addrs, uint32_t max)
{
	node *n = (node *)ctx;
	simulation *sim = n->sim;
	size_t first = sim->rng() % sim->current.size();
	uint32_t n_addrs = 0;

	for (size_t i = 0; i < sim->current.size() && n_addrs < max; i++) {
		node *p = sim->current[(first + i) % sim->current.size()];

		if (p != n)
			addrs[n_addrs++] = p->addr.c_str();
	}
	return n_addrs;
}

inline void cb_traffic(void *ctx, const void *data, size_t bytes)
{
	simulation *sim = ((node *)ctx)->sim;
	struct fp_msg_shared m;
	answer a = {};

	if (fp_msg_shared_decode((const uint8_t *)data, bytes, &m) != FP_OK)
		abort();
	auto it = sim->pending.find(m.id);

	if (it == sim->pending.end())
		return;
	if (m.type == FP_MSG_GRANT_RESPONSE) {
		a.status = m.grant_response.status;
		a.grant_id = m.grant_response.grant_id;
		a.tokens = m.grant_response.tokens;
	} else {
		a.status = m.claim_response.status;
		a.state = m.claim_response.state;
		a.http_status = m.claim_response.http_status;
		if (m.claim_response.answer)
			a.body.assign((const char *)m.claim_response.answer,
				      m.claim_response.answer_bytes);
	}
	auto fn = it->second;

	sim->pending.erase(it);
	/* The traffic thread gets the answer in a later event. */
	sim->schedule(0,
		      [=] { sim->run_on_node((node *)ctx, [=] { fn(a); }); });
}

inline uint32_t cb_random_u32(void *ctx)
{
	return (uint32_t)((node *)ctx)->sim->rng();
}

inline void store_get(struct fp_store *s, const char *key,
		      fp_store_done_fn done, void *ctx)
{
	node *n = ((store_node *)s)->n;

	n->sim->store_call(n, false, key, "", 0, done, ctx);
}

inline void store_cas(struct fp_store *s, const char *key, const char *value,
		      uint64_t version, fp_store_done_fn done, void *ctx)
{
	node *n = ((store_node *)s)->n;

	n->sim->store_call(n, true, key, value, version, done, ctx);
}

inline void simulation::store_call(node *n, bool cas, std::string key,
				   std::string value, uint64_t version,
				   fp_store_done_fn done, void *ctx)
{
	bool down = store_down_until_us > true_us;
	auto back = [=](enum fp_status st, uint64_t v, std::string text,
			int64_t delay) {
		schedule(delay, [=] {
			run_on_node(n, [=] {
				struct fp_store_result r = { st, v,
							     text.c_str(),
							     text.size() };

				done(ctx, &r);
			});
		});
	};

	store_calls++;
	if (down)
		back(FP_TIMEOUT, 0, "", 500 * ms);
	if (down && !store_applies_while_down)
		return;
	schedule(uniform(ms, 5 * ms), [=] {
		auto &e = store_records[key];
		enum fp_status st = FP_OK;

		if (!cas && e.first == 0)
			st = FP_NOT_FOUND;
		if (cas && e.first != version)
			st = FP_CONFLICT;
		if (cas && st == FP_OK)
			e = { e.first + 1, value };
		if (!down)
			back(st, e.first, e.second, uniform(ms, 3 * ms));
	});
}

inline node *simulation::find(const char *addr)
{
	for (node *n : current)
		if (n->addr == addr)
			return n;
	return nullptr;
}

inline void simulation::send_frame(node *from, const char *addr,
				   std::string data)
{
	node *to = find(addr);
	int64_t delay = uniform(ms / 2, 2 * ms);

	if (!to || cut_until_us[{ from->addr_index, to->addr_index }] > true_us)
		return;
	if (filter && filter(from, to, data))
		return;
	if (chance(loss_percent))
		return;
	if (loss_percent && chance(5))
		delay = uniform(50 * ms, 3 * sec);
	for (int copies = loss_percent && chance(5) ? 2 : 1; copies; copies--) {
		schedule(delay, [=] {
			run_on_node(to, [=] {
				std::string sender = from->addr;
				enum fp_status st = fp_slice_service_message(
					to->svc, from->id, sender.c_str(),
					(const uint8_t *)data.data(),
					data.size());

				if (st != FP_OK) {
					fprintf(stderr, "%s\n",
						fp_last_message());
					abort();
				}
			});
		});
		delay += uniform(0, 500 * ms);
	}
}

inline node *simulation::start(int addr_index)
{
	static const struct fp_store_ops sops = { store_get, store_cas, nullptr,
						  nullptr, nullptr };
	static std::vector<std::unique_ptr<store_node>> stores;
	struct fp_slice_service_config cfg = {};
	struct fp_slice_service_ops ops = {
		cb_now_us, cb_send, cb_peers, cb_traffic, cb_random_u32, nullptr
	};

	started.push_back(std::make_unique<node>());
	node *n = started.back().get();
	std::string domain = "domain" + std::to_string(addr_index % 3);

	n->sim = this;
	n->addr_index = addr_index;
	n->id = ((uint64_t)(true_us / ms + 1) << 20) | (rng() & 0xfffff);
	n->addr = "10.0.0." + std::to_string(addr_index) + ":7700";
	n->clock_rate = 1.0 + (double)uniform(-100, 100) * 1e-6;
	n->clock_offset_us = uniform(0, 1000 * sec);
	n->counters = fp_counters_init();
	stores.push_back(std::make_unique<store_node>());
	stores.back()->store.ops = &sops;
	stores.back()->n = n;
	ops.ctx = n;
	cfg.id = n->id;
	cfg.address = n->addr.c_str();
	cfg.failure_domain = domain.c_str();
	cfg.max_claims = max_claims;
	cfg.claim_lifetime_us = claim_lifetime_us;
	cfg.store = &stores.back()->store;
	cfg.counters = n->counters;
	if (fp_slice_service_init(&cfg, &ops, &n->svc) != FP_OK)
		abort();
	if (config)
		fp_slice_service_set_config(n->svc, config);
	if ((int)current.size() <= addr_index)
		current.resize((size_t)addr_index + 1);
	current[(size_t)addr_index] = n;
	/* The links of the other nodes to it come up; their handshakes prove
	 * its id at this address. */
	for (node *p : current)
		if (p && p != n)
			schedule(uniform(10 * ms, 300 * ms), [=] {
				run_on_node(p, [=] {
					fp_slice_service_peer_up(
						p->svc, n->id, n->addr.c_str());
				});
			});
	schedule(uniform(0, 50 * ms), [=] { tick(n); });
	return n;
}

inline void simulation::tick(node *n)
{
	run_on_node(n, [=] {
		fp_slice_service_tick(n->svc);
		if (n->stopping && fp_slice_service_stopped(n->svc)) {
			kill(n);
			return;
		}
		schedule(50 * ms, [=] { tick(n); });
	});
}

inline void simulation::publish_members()
{
	size_t bytes = sizeof(struct fp_member_table) +
		       current.size() * sizeof(struct fp_member);
	std::vector<uint64_t> buffer(bytes / 8 + 1);
	auto *m = (struct fp_member_table *)buffer.data();

	for (node *n : current) {
		int64_t dead = n->alive ? 0 : true_us - n->dead_since_us;
		struct fp_member *p = &m->members[m->n];

		if (dead > 3 * sec)
			continue;
		m->n++;
		p->id = n->id;
		p->suspected = dead > sec || n->paused_until_us > true_us + sec;
		snprintf(p->control_addr, sizeof(p->control_addr), "%s",
			 n->addr.c_str());
		snprintf(p->failure_domain, sizeof(p->failure_domain),
			 "domain%d", n->addr_index % 3);
	}
	for (node *n : current)
		if (n->alive && n->paused_until_us <= true_us)
			fp_slice_service_set_members(n->svc, m);
	schedule(300 * ms, [this] { publish_members(); });
}

/* The primary according to the record in the store, or NULL. */
inline node *simulation::owner(uint32_t slice)
{
	char key[FP_SLICE_KEY_BYTES];
	struct fp_slice_view v;

	fp_slice_key(slice, key);
	if (fp_slice_view_parse(store_records[key].second.c_str(), &v) != FP_OK)
		return nullptr;
	for (node *n : current)
		if (n->id == v.primary.id)
			return n;
	return nullptr;
}

/* The backup, if the record in the store marks it as ready, or NULL. */
inline node *simulation::backup(uint32_t slice)
{
	char key[FP_SLICE_KEY_BYTES];
	struct fp_slice_view v;

	fp_slice_key(slice, key);
	if (fp_slice_view_parse(store_records[key].second.c_str(), &v) !=
		    FP_OK ||
	    !v.backup_ready)
		return nullptr;
	for (node *n : current)
		if (n->id == v.backup.id)
			return n;
	return nullptr;
}

inline void simulation::set_org(const char *name, uint32_t rate, uint32_t burst)
{
	struct fp_config c = {};
	struct fp_org o = {};
	struct fp_preset p = {};

	snprintf(o.name, sizeof(o.name), "%s", name);
	o.rate_per_s = rate;
	o.burst = burst;
	p.rate_percent = 100;
	c.revision = 1;
	c.orgs = &o;
	c.n_orgs = 1;
	c.presets = &p;
	c.n_presets = 1;
	fp_config_end(config);
	config = fp_config_copy(&c);
	for (node *n : current)
		if (n->alive)
			fp_slice_service_set_config(n->svc, config);
}

inline void simulation::request(node *n, uint32_t slice, struct fp_msg_shared m,
				std::function<void(const answer &)> fn)
{
	msgpack_sbuffer buf;

	m.id = next_id++;
	pending[m.id] = std::move(fn);
	msgpack_sbuffer_init(&buf);
	if (fp_msg_shared_encode(&m, &buf) != FP_OK)
		abort();
	fp_slice_service_from_traffic(n->svc, slice, (uint8_t *)buf.data,
				      buf.size);
	msgpack_sbuffer_destroy(&buf);
}

inline void simulation::start_nodes(int n)
{
	for (int i = 0; i < n; i++)
		start(i);
	publish_members();
	run(8 * sec);
}

} // namespace slice_sim
#endif
