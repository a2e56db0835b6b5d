/* test_directory_fleet.cc - member updates by delegates, with faults */
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
		ops.send = [](void *ctx, const char *addr,
			      const struct fp_msg_shared *m) {
			auto *t = static_cast<Node *>(ctx);
			DirectoryFleet *f = t->fleet;

			if (f->chance() < f->loss_rate)
				return;
			f->messages.push_back(
				{ f->clock.now_us + 1000, t->addr, addr, *m });
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

	std::map<std::string, int64_t> recorded_us; /* last seen in the store */
	std::vector<struct fp_directory *> ended;
};

/* 40 nodes in four domains: calls must grow with domains, not with nodes. */
TEST_F(DirectoryFleet, StoreCallsGrowWithDomainsOnly)
{
	store.write("op/config", config_json(5));
	for (int i = 0; i < 40; i++)
		add(i, 4);
	run_fleet_ms(25000); /* the first watches end */
	expect_members_match_store("at the beginning");
	int calls_before = member_calls();
	for (int i = 0; i < 100; i++) {
		fp_directory_set_worker(nodes[(size_t)pick(40)]->d,
					(uint32_t)i + 1, 0, true);
		run_fleet_ms(100);
	}
	EXPECT_LE(member_calls() - calls_before, 4 * (10000 / 400 + 1));
	run_fleet_ms(2000);
	for (auto &n : nodes)
		for (auto &m : nodes)
			EXPECT_EQ(m->members[m->name].slots,
				  n->members[m->name].slots)
				<< n->name << " of " << m->name;
}

/* Without updates from the delegate, nodes watch the store again within three
 * seconds. */
TEST_F(DirectoryFleet, ADelegateWithoutUpdatesIsReplaced)
{
	store.write("op/config", config_json(5));
	for (int i = 0; i < 6; i++)
		add(i, 1);
	run_fleet_ms(25000);
	unreachable = nodes[0]->name;
	run_fleet_ms(3000);
	fp_directory_set_worker(nodes[5]->d, 77, 0, true);
	run_fleet_ms(1000);
	for (auto &n : nodes)
		EXPECT_EQ(77u, n->members[nodes[5]->name].slots) << n->name;
}

/* A fleet that starts for the first time creates one secret, with about two
 * calls a node instead of three. */
TEST_F(DirectoryFleet, AStartingFleetCreatesTheSecretOnce)
{
	uint32_t n_calls = 0;

	store.write("op/config", config_json(5));
	for (int i = 0; i < 40; i++)
		add(i, 4);
	run_fleet_ms(1000);
	for (auto &n : nodes)
		n_calls += fp_directory_calls(n->d, FP_DIRECTORY_SECRET);
	EXPECT_LE(n_calls, 2 * 40 + 4u);
}

/* A new record is read once in each domain and is in force everywhere within
 * the two seconds of the bound. */
TEST_F(DirectoryFleet, ANewRecordIsReadOnceInEachDomain)
{
	store.write("op/config", config_json(5));
	for (int i = 0; i < 40; i++)
		add(i, 4);
	run_fleet_ms(25000);
	int gets_before = store.calls["get"];
	store.write("op/config", config_json(6));
	run_fleet_ms(2000);
	for (auto &n : nodes)
		EXPECT_EQ(6u, fp_directory_revision(n->d)) << n->name;
	EXPECT_LE(store.calls["get"] - gets_before, 4 * 3);
}

/* Nodes that the store refuses still get a record that withdraws keys. */
TEST_F(DirectoryFleet, NodesThatTheStoreRefusesGetNewRecords)
{
	store.write("op/config", config_json(5));
	for (int i = 0; i < 24; i++)
		add(i, 2);
	run_fleet_ms(25000);
	for (int i = 0; i < 24; i += 3)
		nodes[i]->access.refused = true;
	run_fleet_ms(3000);
	store.write("op/config", config_json(6));
	run_fleet_ms(2000);
	for (auto &n : nodes)
		EXPECT_EQ(6u, fp_directory_revision(n->d)) << n->name;
	EXPECT_LT(max_confirmation_age_us(), 2500000);
}

/* The followers of a lost delegate meet at its successor; they do not all read
 * the store until the record of the lost one is gone. */
TEST_F(DirectoryFleet, ALostDelegateHasOneSuccessor)
{
	store.write("op/config", config_json(5));
	for (int i = 0; i < 40; i++)
		add(i, 4);
	run_fleet_ms(25000);
	int gets_before = store.calls["get"];
	int member_calls_before = member_calls();
	stop_node(*nodes[0]);
	int64_t max_age_us = 0;
	for (int i = 0; i < 100; i++) {
		run_fleet_ms(50);
		max_age_us = std::max(max_age_us, max_confirmation_age_us());
	}
	/* One read a second and domain, and the change to the successor. */
	EXPECT_LE(store.calls["get"] - gets_before, 4 * 6);
	EXPECT_LE(member_calls() - member_calls_before, 8);
	EXPECT_LT(max_age_us, 3500000);
}

/* The store refuses a third of the nodes, delegates among them. Each of them is
 * confirmed by members that the store serves, within the 4.4 s after which keys
 * are refused. */
TEST_F(DirectoryFleet, NodesThatTheStoreRefusesAreConfirmedByOthers)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		random.seed(seed);
		seed_jitter(seed);
		store.write("op/config", config_json(5));
		for (int i = 0; i < 24; i++)
			add(i, 2);
		run_fleet_ms(25000);
		for (auto &n : nodes)
			n->access.refused = chance() < 0.35;
		nodes[0]->access.refused = true;
		int64_t max_age_us = 0;
		for (int i = 0; i < 180; i++) {
			run_fleet_ms(50);
			max_age_us =
				std::max(max_age_us, max_confirmation_age_us());
		}
		EXPECT_LT(max_age_us, 4400000) << "seed " << seed;
		for (auto &n : nodes)
			stop_node(*n);
		nodes.clear();
		store.items.clear();
		run_fleet_ms(10);
	}
}

/*
 * Nodes end, restart and change, messages are lost, the store fails, drops its
 * history and aborts watches. Afterwards every node must list exactly the
 * members that are in the store. This may take a retry (1.2 s), REMOVE_AFTER_US
 * (2.5 s) before the store's return and again after it, and a listing in
 * between.
 */
TEST_F(DirectoryFleet, MembersMatchTheStoreAfterAnyFault)
{
	std::vector<uint64_t> seeds = {
		6365
	}; /* regression: changes of two responses were mixed */
	const char *seed_env = getenv("FP_SEED");

	for (uint64_t seed = 1; !seed_env && seed <= 100; seed++)
		seeds.push_back(seed);
	if (seed_env)
		seeds = { strtoull(seed_env, nullptr, 10) };
	for (uint64_t seed : seeds) {
		random.seed(seed);
		seed_jitter(seed);
		const uint64_t kinds = random(); /* of faults, a bit each */
		store.write("op/config", config_json(5));
		for (int i = 0; i < 12; i++)
			add(i, 3);
		run_fleet_ms(25000); /* the first watches end */
		for (int step = 0; step < 40; step++) {
			Node &n = *nodes[(size_t)pick(12)];

			int kind = pick(8);

			switch (kinds >> kind & 1 ? kind : 7) {
			case 0:
				stop_node(n);
				break;
			case 1:
				stop_node(n);
				start_node(n);
				break;
			case 2:
				store.fail_status = FP_UNAVAILABLE;
				break;
			case 3:
				store.abort_watches();
				break;
			case 4:
				store.compacted = store.revision;
				break;
			case 5:
				loss_rate = chance() / 2;
				break;
			default:
				if (n.d)
					fp_directory_set_worker(
						n.d, (uint32_t)step + 1, 0,
						true);
			}
			run_fleet_ms(pick(1500));
			if (pick(2))
				store.fail_status = FP_OK;
		}
		store.fail_status = FP_OK;
		loss_rate = 0;
		store.compacted = 0;
		for (auto &n : nodes)
			if (!n->d)
				store.remove("fulmar/nodes/" + n->name);
		run_fleet_ms(8000);
		expect_members_match_store(
			("seed " + std::to_string(seed)).c_str());
		for (auto &n : nodes)
			for (auto &[name, m] : n->members)
				EXPECT_EQ(find_node(name).members[name].slots,
					  m.slots)
					<< n->name << " of " << name << " seed "
					<< seed;
		for (auto &n : nodes)
			stop_node(*n);
		nodes.clear();
		store.items.clear();
		run_fleet_ms(10);
		if (HasFailure())
			break;
	}
}

/*
 * Nodes are killed and start again while the store does writes 1 to 6 s late.
 * No node spends a share that the others do not count, and in the end each
 * record is that of the process that runs.
 */
TEST_F(DirectoryFleet, LateWritesReplaceNoRecord)
{
	const char *seed_env = getenv("FP_SEED");
	std::vector<uint64_t> seeds;

	for (uint64_t seed = 1; !seed_env && seed <= 60; seed++)
		seeds.push_back(seed);
	if (seed_env)
		seeds = { strtoull(seed_env, nullptr, 10) };
	store.lease_ttl_us = 6000000;
	for (uint64_t seed : seeds) {
		std::string when = "seed " + std::to_string(seed);

		random.seed(seed);
		seed_jitter(seed);
		store.write("op/config", config_json(5));
		store.put_delay_ms = [this] {
			return chance() < 0.3 ? 1000 + pick(5000) : 0;
		};
		for (int i = 0; i < 8; i++)
			add(i, 2);
		for (int step = 0; step < 40; step++) {
			Node &n = *nodes[(size_t)pick(8)];

			switch (pick(4)) {
			case 0:
				stop_node(n);
				break;
			case 1:
				stop_node(n);
				start_node(n);
				break;
			default:
				if (n.d)
					fp_directory_set_worker(
						n.d, (uint32_t)step + 1, 0,
						true);
			}
			for (int ms = pick(1500); ms > 0; ms -= 20) {
				run_fleet_ms(20);
				expect_shares_are_counted(when);
			}
		}
		store.put_delay_ms = [] { return 0; };
		for (int ms = 0; ms < 20000; ms += 20) {
			run_fleet_ms(20);
			expect_shares_are_counted(when);
		}
		EXPECT_TRUE(store.late_puts.empty());
		expect_members_match_store(when.c_str());
		for (auto &n : nodes)
			EXPECT_EQ(n->d != nullptr,
				  store.items.count("fulmar/nodes/" +
						    n->name) == 1)
				<< n->name << " " << when;
		for (auto &n : nodes)
			stop_node(*n);
		nodes.clear();
		store.items.clear();
		run_fleet_ms(10);
		if (HasFailure())
			break;
	}
}

} // namespace
