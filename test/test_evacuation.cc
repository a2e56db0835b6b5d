/* test_evacuation.cc - which failure domains are evacuated, at every node */
#include "directory_fleet.h"

namespace
{

TEST(EvacuationSet, TextAndBack)
{
	struct fp_evacuation e = { 7, 0, {} };
	struct fp_evacuation back = { 7, 3, {} };
	char text[FP_EVACUATION_BYTES];

	fp_evacuation_format(&e, text);
	EXPECT_STREQ("", text);
	EXPECT_EQ(FP_OK, fp_evacuation_parse(text, &back));
	EXPECT_EQ(0u, back.n);
	for (int i = 0; i < FP_MAX_EVACUATED; i++) {
		std::string name(FP_NAME_BYTES - 1, (char)('a' + i));

		EXPECT_EQ(FP_OK, fp_evacuation_add(&e, name.c_str()));
		EXPECT_EQ(FP_OK, fp_evacuation_add(&e, name.c_str()));
	}
	EXPECT_EQ(FP_FULL, fp_evacuation_add(&e, "one-more"));
	fp_evacuation_format(&e, text);
	EXPECT_EQ(FP_OK, fp_evacuation_parse(text, &back));
	EXPECT_TRUE(fp_evacuation_equal(&e, &back));
	back.n--;
	EXPECT_FALSE(fp_evacuation_equal(&e, &back));
	EXPECT_FALSE(fp_evacuation_equal(&back, &e));
}

TEST(EvacuationSet, MalformedNamesAreRefused)
{
	struct fp_evacuation e = {};

	EXPECT_EQ(FP_INVALID, fp_evacuation_add(&e, ""));
	EXPECT_EQ(FP_INVALID, fp_evacuation_add(&e, "a/b"));
	EXPECT_EQ(
		FP_INVALID,
		fp_evacuation_add(&e, std::string(FP_NAME_BYTES, 'x').c_str()));
	EXPECT_EQ(0u, e.n);
	for (const char *text : { "/", "a/", "/a", "a//b", "a/a" })
		EXPECT_EQ(FP_INVALID, fp_evacuation_parse(text, &e)) << text;
}

/* The bound on an evacuation, from the store's answer to the operator. */
const int64_t evacuation_us = 5000000;
/* A node is in touch after this time without a fault of its own or the
 * store's. */
const int64_t contact_us = 3000000;
/* With lost and late messages it is not in touch at all. It follows even so,
 * since it reads the store itself after two delegates without an answer. */
const int64_t bad_links_us = 3000000;

/* Nodes of three domains, and operators that evacuate these. */
class Evacuation : public DirectoryFleet
{
      public:
	std::map<std::string, int64_t> changed_us; /* of each domain's key */
	uint64_t seed = 0;

	static std::string cold_config(int version)
	{
		return "{\"version\":\"r" + std::to_string(version) +
		       "\",\"routes\":{},\"tenants\":{},\"services\":{"
		       "\"s\":{\"coldStart\":\"3s\",\"coldPerS\":11.0}}}";
	}

	void begin(int n_nodes)
	{
		store.write("op/config", cold_config(5));
		for (int i = 0; i < n_nodes; i++)
			add(i, 3);
		run_fleet_ms(25000); /* the first watches end */
		for (auto &n : nodes)
			n->calm_us = 0;
		changed_us = { { "d0", 0 }, { "d1", 0 }, { "d2", 0 } };
	}

	bool is_evacuated(const std::string &domain)
	{
		return store.items.count("op/evacuate/" + domain);
	}

	void evacuate(const std::string &domain)
	{
		store.write("op/evacuate/" + domain, "{}");
		changed_us[domain] = clock.now_us;
	}

	void take_back(const std::string &domain)
	{
		store.remove("op/evacuate/" + domain);
		changed_us[domain] = clock.now_us;
	}

	/* Expects that nodes in touch have followed each change within the
	 * bound, and that no node forgets an evacuation that lasts. */
	void expect_followed(std::map<std::string, std::string> *seen)
	{
		for (auto &[domain, at_us] : changed_us) {
			bool due = clock.now_us - at_us > evacuation_us;

			for (auto &n : nodes) {
				bool has = fp_evacuation_has(&n->evacuation,
							     domain.c_str());
				std::string key = n->name + domain;
				std::string now = std::to_string(at_us);

				if (!n->d)
					continue;
				bool bad_links = loss_rate || late_rate;
				bool in_touch =
					clock.now_us - n->calm_us >
					contact_us +
						(bad_links ? bad_links_us : 0);

				EXPECT_TRUE(!due || !in_touch ||
					    has == is_evacuated(domain))
					<< n->name << " of " << domain
					<< " seed " << seed << " at "
					<< clock.now_us;
				if (!is_evacuated(domain))
					continue;
				EXPECT_TRUE(has || (*seen)[key] != now)
					<< n->name << " forgot " << domain
					<< " seed " << seed;
				/* An older set may have the domain too, from
				 * an evacuation before. */
				if (has &&
				    fp_directory_evacuation(n->d)->revision >=
					    store.items["op/evacuate/" + domain]
						    .revision)
					(*seen)[key] = now;
			}
		}
	}

	void end_all()
	{
		for (auto &n : nodes)
			stop_node(*n);
		nodes.clear();
		store.items.clear();
		store.removals.clear();
		run_fleet_ms(10);
	}
};

TEST_F(Evacuation, EachNodeKnowsItWithoutFurtherCalls)
{
	begin(12);
	int before = store.calls["get"] + store.calls["list"];
	run_fleet_ms(5000);
	int quiet = store.calls["get"] + store.calls["list"] - before;
	evacuate("d1");
	run_fleet_ms(2500);
	for (auto &n : nodes)
		EXPECT_TRUE(fp_evacuation_has(&n->evacuation, "d1")) << n->name;
	take_back("d1");
	evacuate("d2");
	run_fleet_ms(2500);
	for (auto &n : nodes) {
		EXPECT_FALSE(fp_evacuation_has(&n->evacuation, "d1"));
		EXPECT_TRUE(fp_evacuation_has(&n->evacuation, "d2"));
	}
	int busy = store.calls["get"] + store.calls["list"] - before - quiet;
	EXPECT_LE(busy, quiet + 3);
}

/* A deployment without cold rates reads the record alone, as before. */
TEST_F(Evacuation, WithoutColdRatesOneKeyIsRead)
{
	store.write("op/config", config_json(5));
	for (int i = 0; i < 6; i++)
		add(i, 3);
	run_fleet_ms(25000);
	int lists = store.calls["list"];
	evacuate("d1");
	run_fleet_ms(5000);
	EXPECT_EQ(lists, store.calls["list"]);
	for (auto &n : nodes)
		EXPECT_EQ(0u, n->evacuation.n);
}

/* What is taken back before a node has heard of it never takes effect there;
 * the store is down in between. */
TEST_F(Evacuation, TakenBackBeforeItIsKnown)
{
	begin(6);
	store.fail_status = FP_UNAVAILABLE;
	run_fleet_ms(2000);
	evacuate("d0");
	run_fleet_ms(500);
	take_back("d0");
	store.fail_status = FP_OK;
	for (int i = 0; i < 50; i++) {
		run_fleet_ms(100);
		for (auto &n : nodes)
			EXPECT_EQ(0u, n->evacuation.n) << n->name;
	}
}

/* Without the store an evacuation stays in force. */
TEST_F(Evacuation, StaysWhileTheStoreIsDown)
{
	begin(6);
	evacuate("d0");
	run_fleet_ms(3000);
	store.fail_status = FP_UNAVAILABLE;
	for (int i = 0; i < 100; i++) {
		run_fleet_ms(100);
		for (auto &n : nodes)
			EXPECT_TRUE(fp_evacuation_has(&n->evacuation, "d0"))
				<< n->name;
	}
}

/*
 * Operators evacuate domains and take them back, overlapping; nodes end, start
 * and are refused by the store, delegates among them; messages are lost and
 * late; the store is down for a while. Each node in touch follows within the
 * bound, and none that knows of an evacuation forgets it while it lasts.
 */
TEST_F(Evacuation, NodesInTouchFollowInAnySchedule)
{
	const char *seed_env = getenv("FP_SEED");
	uint64_t first = seed_env ? strtoull(seed_env, nullptr, 10) : 1;
	uint64_t last = seed_env ? first : 60;

	for (seed = first; seed <= last; seed++) {
		std::map<std::string, std::string> seen;

		random.seed(seed);
		seed_jitter(seed);
		begin(12);
		loss_rate = pick(3) ? 0 : chance() / 2;
		late_rate = pick(3) ? 0 : chance() / 2;
		for (int step = 0; step < 50; step++) {
			Node &n = *nodes[(size_t)pick(12)];
			std::string domain = "d" + std::to_string(pick(3));

			switch (pick(8)) {
			case 0:
				stop_node(n);
				break;
			case 1:
				stop_node(n);
				start_node(n);
				for (auto &k : changed_us)
					seen.erase(n.name + k.first);
				n.calm_us = clock.now_us;
				break;
			case 2:
				n.access.refused = !n.access.refused;
				break;
			case 3:
				store.fail_status =
					pick(3) ? FP_OK : FP_UNAVAILABLE;
				break;
			default:
				if (is_evacuated(domain))
					take_back(domain);
				else
					evacuate(domain);
			}
			for (int ms = pick(4000); ms > 0; ms -= 20) {
				run_fleet_ms(20);
				for (auto &k : nodes)
					if (store.fail_status != FP_OK ||
					    k->access.refused)
						k->calm_us = clock.now_us;
				expect_followed(&seen);
			}
		}
		store.fail_status = FP_OK;
		loss_rate = 0;
		late_rate = 0;
		end_all();
		if (HasFailure())
			break;
	}
}

} // namespace
