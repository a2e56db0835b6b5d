/* test_directory_fleet.cc - delegates tell members, in fleets with losses */
#include <sodium.h>

#include <memory>
#include <random>

#include "directory_sim.h"

namespace
{

/* Jitter and secrets, so that a seed repeats a run. */
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

struct Node {
	std::string name, domain, addr;
	struct fp_directory *d = nullptr;
	std::map<std::string, struct fp_member> members;
	class DirectoryFleet *fleet = nullptr;
};

/* Many directories on one store, which send each other messages. */
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
	double lost = 0;
	std::string deaf; /* a node that hears nothing */

	void TearDown() override
	{
		for (auto &n : nodes)
			stop(*n);
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
		begin(*nodes.back());
	}

	void begin(Node &n)
	{
		static uint64_t id = 1000;
		struct fp_directory_ops ops = {};
		struct fp_directory_config c = cfg;

		describe(&c.self, n.name.c_str(), ++id);
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
		ops.current = [](void *, int64_t) {};
		ops.right = [](void *, const struct fp_right *) {};
		ops.send = [](void *ctx, const char *addr,
			      const struct fp_msg_shared *m) {
			auto *t = static_cast<Node *>(ctx);
			DirectoryFleet *f = t->fleet;

			if (f->chance() < f->lost)
				return;
			f->messages.push_back(
				{ f->clock.now_us + 1000, t->addr, addr, *m });
		};
		ops.ctx = &n;
		n.d = fp_directory_init(loop, &c, &ops);
	}

	/* Its process ends; calls that are under way are answered to nobody. */
	void stop(Node &n)
	{
		if (!n.d)
			return;
		fp_directory_close(n.d);
		ended.push_back(n.d);
		n.d = nullptr;
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
				if (n->d && n->addr == s.to && n->name != deaf)
					fp_directory_message(
						n->d, s.from.c_str(), &s.m);
		}
	}

	void live_ms(int ms)
	{
		for (; ms > 0; ms--) {
			deliver();
			run_ms(1);
		}
	}

	/* Each node knows what stands in the store, and nothing else. */
	void expect_all_know(const char *when)
	{
		size_t up = 0;

		for (auto &n : nodes)
			up += n->d != nullptr;
		for (auto &n : nodes) {
			if (!n->d)
				continue;
			EXPECT_EQ(up, n->members.size())
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

	Node &find(const std::string &name)
	{
		for (auto &n : nodes)
			if (n->name == name)
				return *n;
		return *nodes[0];
	}

	int member_calls()
	{
		return store.calls["list"] + store.calls["watch"];
	}

	std::vector<struct fp_directory *> ended;
};

/* 40 nodes in four domains: calls grow with domains, not with nodes. */
TEST_F(DirectoryFleet, ChangesCostCallsOfDomainsOnly)
{
	store.write("op/config", config(5));
	for (int i = 0; i < 40; i++)
		add(i, 4);
	live_ms(25000); /* the first watches end */
	expect_all_know("at the beginning");
	int before = member_calls();
	for (int i = 0; i < 100; i++) {
		fp_directory_set_worker(nodes[(size_t)pick(40)]->d,
					(uint32_t)i + 1, 0, true);
		live_ms(100);
	}
	EXPECT_LE(member_calls() - before, 4 * (10000 / 400 + 1));
	live_ms(2000);
	for (auto &n : nodes)
		for (auto &m : nodes)
			EXPECT_EQ(m->members[m->name].slots,
				  n->members[m->name].slots)
				<< n->name << " of " << m->name;
}

/* What a delegate does not tell is watched again within three seconds. */
TEST_F(DirectoryFleet, ADeafDelegateIsLeft)
{
	store.write("op/config", config(5));
	for (int i = 0; i < 6; i++)
		add(i, 1);
	live_ms(25000);
	deaf = nodes[0]->name;
	live_ms(3000);
	fp_directory_set_worker(nodes[5]->d, 77, 0, true);
	live_ms(1000);
	for (auto &n : nodes)
		EXPECT_EQ(77u, n->members[nodes[5]->name].slots) << n->name;
}

/*
 * Nodes die, start again and change, messages are lost, the store fails, loses
 * its history and cuts watches. All nodes know what stands in the store, and no
 * more, once a step is repeated (1.2 s), those that are gone were missed for 2.5 s
 * as known before the store's return and again after it, and listed in between.
 */
TEST_F(DirectoryFleet, AllKnowTheSameAfterAnyTrouble)
{
	std::vector<uint64_t> seeds = {
		6365
	}; /* failed once: news of two tells */
	const char *one = getenv("FP_SEED");

	for (uint64_t seed = 1; !one && seed <= 100; seed++)
		seeds.push_back(seed);
	if (one)
		seeds = { strtoull(one, nullptr, 10) };
	for (uint64_t seed : seeds) {
		random.seed(seed);
		seed_jitter(seed);
		const uint64_t kinds = random(); /* of trouble, a bit each */
		store.write("op/config", config(5));
		for (int i = 0; i < 12; i++)
			add(i, 3);
		live_ms(25000); /* the first watches end */
		for (int step = 0; step < 40; step++) {
			Node &n = *nodes[(size_t)pick(12)];

			int kind = pick(8);

			switch (kinds >> kind & 1 ? kind : 7) {
			case 0:
				stop(n);
				break;
			case 1:
				stop(n);
				begin(n);
				break;
			case 2:
				store.failing = FP_UNAVAILABLE;
				break;
			case 3:
				store.cut_watches();
				break;
			case 4:
				store.compacted = store.revision;
				break;
			case 5:
				lost = chance() / 2;
				break;
			default:
				if (n.d)
					fp_directory_set_worker(
						n.d, (uint32_t)step + 1, 0,
						true);
			}
			live_ms(pick(1500));
			if (pick(2))
				store.failing = FP_OK;
		}
		store.failing = FP_OK;
		lost = 0;
		store.compacted = 0;
		for (auto &n : nodes)
			if (!n->d)
				store.remove("fulmar/nodes/" + n->name);
		live_ms(8000);
		expect_all_know(("seed " + std::to_string(seed)).c_str());
		for (auto &n : nodes)
			for (auto &[name, m] : n->members)
				EXPECT_EQ(find(name).members[name].slots,
					  m.slots)
					<< n->name << " of " << name << " seed "
					<< seed;
		for (auto &n : nodes)
			stop(*n);
		nodes.clear();
		store.items.clear();
		live_ms(10);
		if (HasFailure())
			break;
	}
}

} // namespace
