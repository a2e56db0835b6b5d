/* directory_fleet.h - fixture: many directories that share a simulated store */
#ifndef FP_TEST_DIRECTORY_FLEET_H
#define FP_TEST_DIRECTORY_FLEET_H

#include <sodium.h>

#include <memory>
#include <random>

#include "directory_sim.h"

namespace
{

/* Random source of jitter and secrets, so that a seed repeats a run. */
std::mt19937_64 jitter;

void seed_jitter(uint64_t seed)
{
	static struct randombytes_implementation impl = {};

	jitter.seed(seed);
	impl.implementation_name = []() { return "seeded"; };
	impl.random = []() { return (uint32_t)jitter(); };
	impl.buf = [](void *buf, size_t n) {
		for (size_t i = 0; i < n; i++)
			static_cast<uint8_t *>(buf)[i] = (uint8_t)jitter();
	};
	randombytes_set_implementation(&impl);
}

/* The way of one node to the shared store, which may refuse it. */
struct Access {
	struct fp_registry registry; /* first member */
	fake_registry *store;
	bool refused;

	static Access *of(struct fp_registry *r)
	{
		return reinterpret_cast<Access *>(r);
	}
	/* Makes the store answer this node's next call as it should. */
	struct Scope {
		fake_registry *store;
		enum fp_status before;

		explicit Scope(struct fp_registry *r)
		    : store(of(r)->store), before(store->fail_status)
		{
			if (of(r)->refused)
				store->fail_status = FP_UNAVAILABLE;
		}
		~Scope()
		{
			store->fail_status = before;
		}
		struct fp_registry *operator*() const
		{
			return &store->registry;
		}
	};
	static void get(struct fp_registry *r, const char *key, bool may_be_old,
			fp_registry_done_fn done, void *ctx)
	{
		fake_registry::get(*Scope(r), key, may_be_old, done, ctx);
	}
	static void list(struct fp_registry *r, const char *prefix,
			 fp_registry_done_fn done, void *ctx)
	{
		fake_registry::list(*Scope(r), prefix, done, ctx);
	}
	static void watch(struct fp_registry *r, const char *prefix,
			  uint64_t after, int64_t wait_us,
			  fp_registry_done_fn done, void *ctx)
	{
		fake_registry::watch(*Scope(r), prefix, after, wait_us, done,
				     ctx);
	}
	static void put(struct fp_registry *r, const char *key,
			const void *value, size_t bytes, uint64_t lease,
			uint64_t expect, fp_registry_done_fn done, void *ctx)
	{
		fake_registry::put(*Scope(r), key, value, bytes, lease, expect,
				   done, ctx);
	}
	static void open_lease(struct fp_registry *r, int64_t ttl_us,
			       fp_registry_done_fn done, void *ctx)
	{
		fake_registry::open_lease(*Scope(r), ttl_us, done, ctx);
	}
	static void keep_lease(struct fp_registry *r, uint64_t lease,
			       fp_registry_done_fn done, void *ctx)
	{
		fake_registry::keep_lease(*Scope(r), lease, done, ctx);
	}
	static void end_lease(struct fp_registry *r, uint64_t lease,
			      fp_registry_done_fn done, void *ctx)
	{
		fake_registry::end_lease_op(*Scope(r), lease, done, ctx);
	}
};

struct Node {
	std::string name, domain, addr;
	Access access = {};
	int64_t confirmed_us = 0; /* request time of the last confirmation */
	struct fp_directory *d = nullptr;
	std::map<std::string, struct fp_member> members;
	struct fp_share_validity validity = {};
	struct fp_evacuation evacuation = {};
	uint32_t slots = 0; /* set last */
	int64_t calm_us = 0; /* runs, and the store serves it, since then */
	class DirectoryFleet *fleet = nullptr;
};

/* Many directories that share a store and exchange messages. */
class DirectoryFleet : public Directory
{
      public:
	struct Sent {
		int64_t at_us;
		std::string from, to;
		struct fp_msg_shared m;
	};
	std::vector<std::unique_ptr<Node>> nodes;
	std::vector<Sent> messages;
	std::mt19937_64 random{ 20261204 };
	double loss_rate = 0; /* of messages */
	double late_rate = 0; /* of messages, up to 2 s late and reordered */
	std::string unreachable; /* name of a node that receives no messages */

	void TearDown() override
	{
		for (auto &n : nodes)
			stop_node(*n);
		Directory::TearDown();
	}

	void add(int i, int n_domains)
	{
		auto n = std::make_unique<Node>();

		n->name = "n" + std::to_string(100 + i);
		n->domain = "d" + std::to_string(i % n_domains);
		n->addr = "10.0.1." + std::to_string(i) + ":80";
		n->fleet = this;
		nodes.push_back(std::move(n));
		start_node(*nodes.back());
	}

	void start_node(Node &n)
	{
		static uint64_t id = 1000;
		struct fp_directory_ops ops = {};
		struct fp_directory_config c = cfg;

		static const struct fp_registry_ops access_ops = {
			Access::get,	    Access::list,
			Access::watch,	    Access::put,
			Access::open_lease, Access::keep_lease,
			Access::end_lease,  nullptr,
		};

		n.access.registry.ops = &access_ops;
		n.access.store = &store;
		c.registry = &n.access.registry;
		init_member(&c.self, n.name.c_str(), ++id);
		strcpy(c.self.peer_addr, n.addr.c_str());
		strcpy(c.self.failure_domain, n.domain.c_str());
		ops.config = [](void *, struct fp_config *k) {
			fp_config_end(k);
		};
		ops.members = [](void *ctx, struct fp_member_table *m) {
			auto *t = static_cast<Node *>(ctx);

			t->members.clear();
			for (uint32_t i = 0; i < m->n; i++)
				t->members[m->members[i].name] = m->members[i];
			free(m);
		};
		ops.secret = [](void *, const uint8_t *) {};
		ops.config_confirmed = [](void *ctx, int64_t requested_us) {
			static_cast<Node *>(ctx)->confirmed_us = requested_us;
		};
		ops.share_validity = [](void *ctx,
					const struct fp_share_validity *v) {
			static_cast<Node *>(ctx)->validity = *v;
		};
		ops.worker_ended = [](void *, const struct fp_worker_end *) {};
		ops.worker_end_stored = ops.worker_ended;
		n.evacuation = {};
		ops.evacuation = [](void *ctx, const struct fp_evacuation *e) {
			static_cast<Node *>(ctx)->evacuation = *e;
		};
		ops.send = [](void *ctx, const char *addr,
			      const struct fp_msg_shared *m) {
			auto *t = static_cast<Node *>(ctx);
			DirectoryFleet *f = t->fleet;

			if (f->chance() < f->loss_rate)
				return;
			f->messages.push_back({ f->clock.now_us + f->delay_us(),
						t->addr, addr, *m });
		};
		ops.ctx = &n;
		n.d = fp_directory_init(loop, &c, &ops);
	}

	/* Ends the process; answers to its calls in flight are ignored. */
	void stop_node(Node &n)
	{
		if (!n.d)
			return;
		fp_directory_close(n.d);
		ended.push_back(n.d);
		n.d = nullptr;
		n.validity = {};
		n.members.clear();
	}

	double chance()
	{
		return std::uniform_real_distribution<>(0, 1)(random);
	}

	int64_t delay_us()
	{
		return late_rate && chance() < late_rate ?
			       1000 + (int64_t)(random() % 2000000) :
			       1000;
	}

	int pick(int n)
	{
		return (int)(random() % (uint64_t)n);
	}

	void deliver()
	{
		std::vector<Sent> now;

		now.swap(messages);
		for (auto &s : now) {
			if (s.at_us > clock.now_us) {
				messages.push_back(s);
				continue;
			}
			for (auto &n : nodes)
				if (n->d && n->addr == s.to &&
				    n->name != unreachable)
					fp_directory_message(
						n->d, s.from.c_str(), &s.m);
		}
	}

	void run_fleet_ms(int ms)
	{
		for (; ms > 0; ms--) {
			deliver();
			run_ms(1);
		}
	}

	/* Expects that each node lists exactly the members in the store. */
	void expect_members_match_store(const char *when)
	{
		size_t n_running = 0;

		for (auto &n : nodes)
			n_running += n->d != nullptr;
		for (auto &n : nodes) {
			if (!n->d)
				continue;
			EXPECT_EQ(n_running, n->members.size())
				<< n->name << " " << when;
			for (auto &[name, m] : n->members) {
				std::string id =
					"\"id\":" + std::to_string(m.id) + ",";

				EXPECT_NE(std::string::npos,
					  store.items["fulmar/nodes/" + name]
						  .value.find(id))
					<< n->name << " of " << name << " "
					<< when;
			}
		}
	}

	Node &find_node(const std::string &name)
	{
		for (auto &n : nodes)
			if (n->name == name)
				return *n;
		return *nodes[0];
	}

	/* Age of the oldest confirmation of a running node. */
	int64_t max_confirmation_age_us()
	{
		int64_t age_us = 0;

		for (auto &n : nodes)
			if (n->d)
				age_us = std::max(age_us,
						  fp_mono_us(&clock.clock) -
							  n->confirmed_us);
		return age_us;
	}

	int member_calls()
	{
		return store.calls["list"] + store.calls["watch"];
	}

	/* Expects that a node whose rate share is valid has a record, or had
	 * one so recently that no other node has removed it. */
	void expect_shares_are_counted(const std::string &when)
	{
		for (auto &n : nodes) {
			if (store.items.count("fulmar/nodes/" + n->name))
				recorded_us[n->name] = clock.now_us;
			bool valid = n->d &&
				     n->validity.from_us <= clock.now_us &&
				     n->validity.until_us > clock.now_us;

			EXPECT_TRUE(!valid ||
				    clock.now_us - recorded_us[n->name] <
					    2500000)
				<< n->name << " " << when;
		}
	}

	/* Expects that each node whose rate share is valid is a member at all
	 * others whose share is. */
	void expect_shares_are_kept(const std::string &when)
	{
		auto valid = [&](const Node &n) {
			return n.validity.from_us <= clock.now_us &&
			       n.validity.until_us > clock.now_us;
		};

		for (auto &a : nodes)
			for (auto &b : nodes)
				EXPECT_TRUE(!valid(*a) || !valid(*b) ||
					    b->members.count(a->name))
					<< a->name << " at " << b->name << " "
					<< when;
	}

	std::map<std::string, int64_t> recorded_us; /* last seen in the store */
	std::vector<struct fp_directory *> ended;
};

} // namespace

#endif
