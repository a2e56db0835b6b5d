/* test_directory.cc - members, record and proof out of a store in trouble */
#include <gtest/gtest.h>

#include <cstring>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/log.h"
#include "coordination/directory.h"
#include "platform/platform.h"

namespace
{

/* A store in memory that answers in the next round of the loop. */
struct fake_registry {
	struct fp_registry registry; /* first member */
	struct fp_loop *loop;
	struct item {
		std::string value;
		uint64_t revision;
		uint64_t lease;
	};
	std::map<std::string, item> items;
	std::map<uint64_t, bool> leases;
	uint64_t revision = 10;
	uint64_t next_lease = 100;
	enum fp_status failing = FP_OK; /* of every call */
	bool late_put = false; /* puts take effect and are not answered well */
	uint64_t compacted = 0; /* watches from before get FP_EXHAUSTED */
	std::map<std::string, int> calls;

	struct pending {
		fp_registry_done_fn done;
		void *ctx;
		enum fp_status status;
		uint64_t revision;
		uint64_t lease;
		std::vector<std::pair<std::string, item>> items;
		std::vector<bool> removed;
	};
	struct waiting {
		std::string prefix;
		uint64_t after;
		fp_registry_done_fn done;
		void *ctx;
		int64_t end_us;
	};
	std::vector<waiting> watches;
	std::vector<waiting> hung; /* watches that nothing reaches */
	std::vector<std::pair<uint64_t, std::string>> removals;

	static fake_registry *of(struct fp_registry *r)
	{
		return reinterpret_cast<fake_registry *>(r);
	}

	static void answer(void *ctx)
	{
		auto *p = static_cast<pending *>(ctx);
		std::vector<struct fp_registry_item> list;
		struct fp_registry_result r = {};

		for (size_t i = 0; i < p->items.size(); i++) {
			struct fp_registry_item it = {};

			it.key = p->items[i].first.c_str();
			it.value = reinterpret_cast<const uint8_t *>(
				p->items[i].second.value.data());
			it.value_bytes = p->items[i].second.value.size();
			it.revision = p->items[i].second.revision;
			it.removed = i < p->removed.size() && p->removed[i];
			list.push_back(it);
		}
		r.status = p->status;
		r.revision = p->revision;
		r.lease = p->lease;
		r.items = list.data();
		r.n_items = list.size();
		p->done(p->ctx, &r);
		delete p;
	}

	pending *start(const char *what, fp_registry_done_fn done, void *ctx)
	{
		calls[what]++;
		return new pending{ done, ctx, failing, revision, 0, {}, {} };
	}

	bool hang_watches = false; /* the caller's time for them runs out */
	bool silent = false; /* answers are held back */
	std::vector<pending *> held;

	void send(pending *p)
	{
		if (silent)
			held.push_back(p);
		else
			fp_loop_post(loop, answer, p);
	}

	/* The held calls end without an answer, as their time is over. */
	void answer_held()
	{
		for (auto *p : held) {
			p->status = FP_TIMEOUT;
			fp_loop_post(loop, answer, p);
		}
		held.clear();
	}

	void write(const std::string &key, const std::string &value,
		   uint64_t lease = 0)
	{
		items[key] = { value, ++revision, lease };
		fire();
	}

	void remove(const std::string &key)
	{
		items.erase(key);
		removals.push_back({ ++revision, key });
		fire();
	}

	void end_lease(uint64_t lease)
	{
		std::vector<std::string> gone;

		leases.erase(lease);
		for (auto &i : items)
			if (i.second.lease == lease)
				gone.push_back(i.first);
		for (auto &key : gone)
			remove(key);
	}

	/* Answers watches that have something to tell. */
	void fire()
	{
		std::vector<waiting> still;

		for (auto &w : watches) {
			pending p = {
				w.done, w.ctx, FP_OK, revision, 0, {}, {}
			};

			collect(w.prefix, w.after, &p);
			if (p.items.empty())
				still.push_back(w);
			else
				send(new pending(p));
		}
		watches = still;
	}

	void collect(const std::string &prefix, uint64_t after, pending *p)
	{
		for (auto &i : items)
			if (i.first.rfind(prefix, 0) == 0 &&
			    i.second.revision > after) {
				p->items.push_back(i);
				p->removed.push_back(false);
			}
		for (auto &g : removals)
			if (g.second.rfind(prefix, 0) == 0 && g.first > after &&
			    !items.count(g.second)) {
				p->items.push_back(
					{ g.second, { "", g.first, 0 } });
				p->removed.push_back(true);
			}
	}

	/* Ends watches whose time is over. */
	void expire()
	{
		int64_t now_us = fp_loop_now_us(loop);
		auto end = [&](std::vector<waiting> &all, enum fp_status st) {
			for (size_t i = 0; i < all.size();) {
				if (all[i].end_us > now_us) {
					i++;
					continue;
				}
				send(new pending{ all[i].done,
						  all[i].ctx,
						  st,
						  revision,
						  0,
						  {},
						  {} });
				all.erase(all.begin() + (long)i);
			}
		};

		end(watches, FP_OK);
		end(hung, FP_TIMEOUT);
	}

	/* Ends all waiting watches, as a store that is restarted does. */
	void cut_watches()
	{
		std::vector<waiting> all;

		all.swap(watches);
		for (auto &w : all)
			send(new pending{
				w.done, w.ctx, FP_TIMEOUT, 0, 0, {}, {} });
	}

	static void get(struct fp_registry *r, const char *key,
			fp_registry_done_fn done, void *ctx)
	{
		fake_registry *f = of(r);
		pending *p = f->start("get", done, ctx);
		auto i = f->items.find(key);

		if (p->status == FP_OK && i == f->items.end())
			p->status = FP_NOT_FOUND;
		else if (p->status == FP_OK)
			p->items.push_back(*i);
		f->send(p);
	}

	static void list(struct fp_registry *r, const char *prefix,
			 fp_registry_done_fn done, void *ctx)
	{
		fake_registry *f = of(r);
		pending *p = f->start("list", done, ctx);

		if (p->status == FP_OK)
			for (auto &i : f->items)
				if (i.first.rfind(prefix, 0) == 0)
					p->items.push_back(i);
		f->send(p);
	}

	static void watch(struct fp_registry *r, const char *prefix,
			  uint64_t after, int64_t wait_us,
			  fp_registry_done_fn done, void *ctx)
	{
		fake_registry *f = of(r);
		int64_t end_us = fp_loop_now_us(f->loop) + wait_us;

		if (f->hang_watches) {
			f->hung.push_back({ prefix, after, done, ctx,
					    end_us + FP_US_PER_S });
			return;
		}
		if (f->failing != FP_OK || after < f->compacted) {
			pending *p = f->start("watch", done, ctx);

			if (p->status == FP_OK)
				p->status = FP_EXHAUSTED;
			f->send(p);
			return;
		}
		f->calls["watch"]++;
		f->watches.push_back({ prefix, after, done, ctx, end_us });
		f->fire();
	}

	static void put(struct fp_registry *r, const char *key,
			const void *value, size_t bytes, uint64_t lease,
			uint64_t expect, fp_registry_done_fn done, void *ctx)
	{
		fake_registry *f = of(r);
		pending *p = f->start("put", done, ctx);
		uint64_t stands =
			f->items.count(key) ? f->items[key].revision : 0;

		if (p->status == FP_OK && lease && !f->leases.count(lease))
			p->status = FP_NOT_FOUND;
		else if (p->status == FP_OK && expect != FP_REGISTRY_ANY &&
			 expect != stands)
			p->status = FP_CONFLICT;
		else if (p->status == FP_OK)
			f->write(key,
				 std::string(static_cast<const char *>(value),
					     bytes),
				 lease);
		if (f->late_put && p->status == FP_OK)
			p->status = FP_TIMEOUT;
		f->send(p);
	}

	static void open_lease(struct fp_registry *r, int64_t ttl_us,
			       fp_registry_done_fn done, void *ctx)
	{
		fake_registry *f = of(r);
		pending *p = f->start("open", done, ctx);

		(void)ttl_us;
		if (p->status == FP_OK) {
			p->lease = f->next_lease++;
			f->leases[p->lease] = true;
		}
		f->send(p);
	}

	static void keep_lease(struct fp_registry *r, uint64_t lease,
			       fp_registry_done_fn done, void *ctx)
	{
		fake_registry *f = of(r);
		pending *p = f->start("keep", done, ctx);

		if (p->status == FP_OK && !f->leases.count(lease))
			p->status = FP_NOT_FOUND;
		f->send(p);
	}

	static void end_lease_op(struct fp_registry *r, uint64_t lease,
				 fp_registry_done_fn done, void *ctx)
	{
		fake_registry *f = of(r);
		pending *p = f->start("end", done, ctx);

		f->end_lease(lease);
		f->send(p);
	}
};

class Directory : public testing::Test
{
      protected:
	void SetUp() override
	{
		static const struct fp_registry_ops ops = {
			fake_registry::get,	     fake_registry::list,
			fake_registry::watch,	     fake_registry::put,
			fake_registry::open_lease,   fake_registry::keep_lease,
			fake_registry::end_lease_op, nullptr,
		};
		struct fp_directory_ops told = {};

		fp_log_setup(FP_LOG_ERROR, 2);
		fp_manual_clock_init(&clock, 1000000);
		ASSERT_EQ(FP_OK, fp_loop_init(&clock.clock, &loop));
		store.registry.ops = &ops;
		store.loop = loop;
		cfg.clock = &clock.clock;
		cfg.registry = &store.registry;
		cfg.dialect = &platform_dialect;
		describe(&cfg.self, "n1", 1);
		told.config = [](void *ctx, struct fp_config *c) {
			auto *t = static_cast<Directory *>(ctx);

			t->revisions.push_back(c->revision);
			fp_config_end(c);
		};
		told.members = [](void *ctx, struct fp_member_table *m) {
			auto *t = static_cast<Directory *>(ctx);

			t->names.clear();
			for (uint32_t i = 0; i < m->n; i++)
				t->names[m->members[i].name] = m->members[i];
			free(m);
		};
		told.secret = [](void *ctx, const uint8_t *secret) {
			auto *t = static_cast<Directory *>(ctx);

			t->secrets.emplace_back(
				reinterpret_cast<const char *>(secret),
				FP_DIRECTORY_SECRET_BYTES);
		};
		told.current = [](void *ctx, int64_t asked_us) {
			static_cast<Directory *>(ctx)->current_us = asked_us;
		};
		told.send = [](void *ctx, const char *addr,
			       const struct fp_msg_shared *m) {
			static_cast<Directory *>(ctx)->sent.push_back(
				{ addr, *m });
		};
		told.ctx = this;
		ops_told = told;
	}

	void TearDown() override
	{
		fp_directory_close(d);
		fp_directory_end(d);
		fp_loop_end(loop);
	}

	static void describe(struct fp_member *m, const char *name, uint64_t id)
	{
		memset(m, 0, sizeof(*m));
		m->id = id;
		strcpy(m->name, name);
		strcpy(m->peer_addr, "10.0.0.1:80");
		strcpy(m->failure_domain, "a");
		strcpy(m->region, "r");
		strcpy(m->service, "rota");
	}

	static std::string other(const char *name, int id, bool serving)
	{
		return "{\"id\":" + std::to_string(id) + ",\"name\":\"" + name +
		       "\",\"peer\":\"10.0.0.2:80\",\"domain\":\"a\","
		       "\"region\":\"r\",\"service\":\"s\",\"slots\":4,"
		       "\"serving\":" +
		       (serving ? "true" : "false") + "}";
	}

	static std::string config(int version)
	{
		return "{\"version\":\"r" + std::to_string(version) +
		       "\",\"routes\":{},\"tenants\":{}}";
	}

	void start()
	{
		d = fp_directory_init(loop, &cfg, &ops_told);
		ASSERT_NE(nullptr, d);
		run_ms(10);
	}

	void run_ms(int ms)
	{
		for (int i = 0; i < ms; i++) {
			store.expire();
			for (int round = 0; round < 4; round++)
				fp_loop_round(loop, 0);
			fp_manual_clock_advance(&clock, 1000);
		}
	}

	int total()
	{
		int n = 0;

		for (auto &c : store.calls)
			n += c.second;
		return n;
	}

	struct fp_manual_clock clock;
	struct fp_loop *loop = nullptr;
	struct fake_registry store;
	struct fp_directory_config cfg = {};
	struct fp_directory_ops ops_told = {};
	struct fp_directory *d = nullptr;
	std::vector<uint64_t> revisions;
	std::map<std::string, struct fp_member> names;
	std::vector<std::string> secrets;
	int64_t current_us = 0;
	std::vector<std::pair<std::string, struct fp_msg_shared>> sent;
};

TEST_F(Directory, TwoNodesHaveOneSecret)
{
	store.write("op/config", config(1));
	start();
	ASSERT_EQ(1u, secrets.size());
	EXPECT_EQ(secrets[0], store.items["fulmar/secret"].value);
	EXPECT_TRUE(fp_directory_is_whole(d));
}

TEST_F(Directory, ASecretThatStandsIsTaken)
{
	store.write("fulmar/secret", std::string(32, 's'));
	start();
	ASSERT_EQ(1u, secrets.size());
	EXPECT_EQ(std::string(32, 's'), secrets[0]);
}

TEST_F(Directory, ASecretWrittenWithoutAnAnswerIsReadBack)
{
	store.late_put = true;
	start();
	run_ms(1000);
	store.late_put = false;
	run_ms(2000);
	ASSERT_EQ(1u, secrets.size());
	EXPECT_EQ(secrets[0], store.items["fulmar/secret"].value);
}

TEST_F(Directory, RevisionsOnlyGoUp)
{
	store.write("op/config", config(5));
	start();
	store.write("op/config", config(9));
	run_ms(1100);
	store.write("op/config", config(7));
	run_ms(1100);
	EXPECT_EQ((std::vector<uint64_t>{ 5, 9 }), revisions);
	EXPECT_EQ(9u, fp_directory_revision(d));
}

TEST_F(Directory, AnUnreadableRecordKeepsTheOldOne)
{
	store.write("op/config", config(5));
	start();
	store.write("op/config", "{\"version\":");
	run_ms(1100);
	EXPECT_EQ((std::vector<uint64_t>{ 5 }), revisions);
}

/* A new revision is in force within half of the two seconds allowed. */
TEST_F(Directory, AChangeIsTakenWithinASecond)
{
	store.write("op/config", config(5));
	start();
	for (int v = 6; v < 12; v++) {
		store.write("op/config", config(v));
		run_ms(1010);
		EXPECT_EQ((uint64_t)v, fp_directory_revision(d));
	}
}

TEST_F(Directory, TheProofIsOfTheMomentOfAsking)
{
	store.write("op/config", config(5));
	start();
	for (int i = 0; i < 50; i++) {
		run_ms(100);
		EXPECT_LE(current_us, clock.now_us);
		EXPECT_GE(current_us, clock.now_us - 1010000);
	}
	/* Back within two seconds of the store, as all that lapsed is. */
	for (int outage = 0; outage < 50; outage++) {
		store.failing = FP_UNAVAILABLE;
		run_ms(10);
		int64_t last = current_us;
		run_ms(5000 + 17 * outage);
		EXPECT_EQ(last, current_us);
		store.failing = FP_OK;
		run_ms(2000);
		EXPECT_GT(current_us, last);
		run_ms(1500);
	}
}

/* An unreadable record may be one that withdraws a key. */
TEST_F(Directory, AnUnreadableRecordProvesNothing)
{
	store.write("op/config", config(5));
	start();
	store.write("op/config", "?");
	run_ms(1100);
	int64_t last = current_us;
	run_ms(3000);
	EXPECT_EQ(last, current_us);
}

TEST_F(Directory, TheOwnRecordStandsUnderALease)
{
	start();
	ASSERT_EQ(1u, store.items.count("fulmar/nodes/n1"));
	EXPECT_NE(0u, store.items["fulmar/nodes/n1"].lease);
	EXPECT_NE(std::string::npos, store.items["fulmar/nodes/n1"].value.find(
					     "\"serving\":false"));
	fp_directory_set_worker(d, 8, 0, true);
	run_ms(10);
	EXPECT_NE(std::string::npos, store.items["fulmar/nodes/n1"].value.find(
					     "\"serving\":true"));
	fp_directory_leave(d);
	run_ms(10);
	EXPECT_EQ(0u, store.items.count("fulmar/nodes/n1"));
}

/* Changes that come during a write are written as well. */
TEST_F(Directory, TheLastOfManyChangesIsWritten)
{
	start();
	for (int i = 0; i < 5; i++) {
		fp_directory_set_worker(d, 10 + i, 0, i % 2 == 0);
		fp_loop_round(loop, 0);
	}
	run_ms(50);
	EXPECT_NE(std::string::npos,
		  store.items["fulmar/nodes/n1"].value.find("\"slots\":14"));
}

/* The letter gives two seconds from the store's return. */
TEST_F(Directory, ALapsedRecordIsBackWithinTwoSecondsOfTheReturn)
{
	for (int down_ms = 1000; down_ms <= 9000; down_ms += 1000) {
		if (!d)
			start();
		store.failing = FP_UNAVAILABLE;
		store.cut_watches();
		run_ms(down_ms);
		store.end_lease(store.items["fulmar/nodes/n1"].lease);
		store.failing = FP_OK;
		run_ms(2000);
		EXPECT_EQ(1u, store.items.count("fulmar/nodes/n1"))
			<< "after " << down_ms << " ms";
	}
}

TEST_F(Directory, AMemberThatLapsesAndReturnsIsKept)
{
	store.write("fulmar/nodes/n2", other("n2", 2, true));
	start();
	run_ms(300);
	ASSERT_EQ(1u, names.count("n2"));
	store.remove("fulmar/nodes/n2");
	run_ms(2000);
	EXPECT_EQ(1u, names.count("n2"));
	store.write("fulmar/nodes/n2", other("n2", 2, true));
	run_ms(4000);
	EXPECT_EQ(1u, names.count("n2"));
}

TEST_F(Directory, AMemberThatStaysAwayIsGone)
{
	store.write("fulmar/nodes/n2", other("n2", 2, true));
	start();
	run_ms(300);
	store.remove("fulmar/nodes/n2");
	run_ms(4000);
	EXPECT_EQ(0u, names.count("n2"));
	EXPECT_EQ(1u, names.count("n1"));
}

TEST_F(Directory, NobodyIsGoneWhileTheStoreCannotBeAsked)
{
	store.write("fulmar/nodes/n2", other("n2", 2, true));
	start();
	run_ms(300);
	store.remove("fulmar/nodes/n2");
	run_ms(500);
	store.failing = FP_TIMEOUT;
	store.cut_watches();
	run_ms(20000);
	EXPECT_EQ(1u, names.count("n2"));
}

/*
 * The store answers once, so that a member is seen to be missing, and is silent
 * from then on: calls that wait do not fail for long.
 */
TEST_F(Directory, NobodyIsGoneWhileTheStoreIsSilent)
{
	store.write("op/config", config(5));
	store.write("fulmar/nodes/n2", other("n2", 2, true));
	start();
	run_ms(600);
	store.remove("fulmar/nodes/n2");
	run_ms(450);
	store.silent = true;
	run_ms(15000);
	EXPECT_EQ(1u, names.count("n2"));
	store.silent = false;
	store.answer_held();
	run_ms(1000);
	store.write("fulmar/nodes/n2", other("n2", 2, true));
	run_ms(4000);
	EXPECT_EQ(1u, names.count("n2"));
}

/*
 * The store goes away a second time before a listing shows that a lapsed member
 * is back: its two seconds count from the second return.
 */
TEST_F(Directory, AMembersTimeCountsFromTheLastReturnOfTheStore)
{
	store.write("op/config", config(5));
	store.write("fulmar/nodes/n2", other("n2", 2, true));
	start();
	run_ms(600);
	store.remove("fulmar/nodes/n2");
	run_ms(450);
	store.failing = FP_TIMEOUT;
	store.cut_watches();
	run_ms(4000);
	store.failing = FP_OK;
	for (int ms = 0; ms < 2000; ms++) {
		run_ms(1);
		ASSERT_EQ(1u, names.count("n2"))
			<< ms << " ms after the return";
	}
	run_ms(3000);
	EXPECT_EQ(0u, names.count("n2"));
}

/* A lapsed record is written again; the watch that would tell it hangs. */
TEST_F(Directory, ARecordThatIsBackIsSeenThoughWatchesHang)
{
	store.write("op/config", config(5));
	store.write("fulmar/nodes/n2", other("n2", 2, true));
	start();
	run_ms(1500);
	store.remove("fulmar/nodes/n2");
	run_ms(50);
	store.hang_watches = true;
	run_ms(1000);
	store.write("fulmar/nodes/n2", other("n2", 2, true));
	run_ms(10000);
	EXPECT_EQ(1u, names.count("n2"));
}

/* A directory with a delegate: n0 stands before it in its domain. */
class Follower : public Directory
{
      protected:
	void follow()
	{
		store.write("op/config", config(5));
		store.write("fulmar/nodes/n0", other("n0", 7, true));
		start();
		for (int ms = 0; ms < 1500 && sent.empty(); ms++)
			run_ms(1);
		ASSERT_FALSE(sent.empty());
		EXPECT_EQ("10.0.0.2:80", sent.back().first);
		EXPECT_EQ(FP_MSG_CURRENT_ASK, sent.back().second.type);
	}

	void tell(enum fp_status st, uint64_t revision, int64_t age_us,
		  uint64_t id)
	{
		struct fp_msg_shared m = {};

		m.type = FP_MSG_CURRENT_ANSWER;
		m.id = id;
		m.current_answer.status = st;
		m.current_answer.item_revision = revision;
		m.current_answer.age_us = age_us;
		fp_directory_message(d, "10.0.0.2:80", &m);
	}

	/* Answers each question after so long, as the delegate. */
	void run_told_ms(int ms, int after_ms, int64_t age_us)
	{
		size_t seen = sent.size() - 1;
		int left = after_ms;

		for (; ms > 0; ms--) {
			run_ms(1);
			if (seen == sent.size() || left-- > 0)
				continue;
			tell(FP_OK, store.items["op/config"].revision, age_us,
			     sent[seen].second.id);
			seen = sent.size();
			left = after_ms;
		}
	}
};

TEST_F(Follower, DoesNotAskTheStoreWhileItsDelegateAnswers)
{
	follow();
	int gets = store.calls["get"];
	size_t asked = sent.size();

	run_told_ms(20000, 300, 5000);
	EXPECT_LE(store.calls["get"] - gets, 1);
	EXPECT_NEAR(25, (double)(sent.size() - asked), 3);
	EXPECT_GT(current_us, fp_mono_us(&clock.clock) - 1000000);
}

TEST_F(Follower, TheProofIsOlderThanTheQuestion)
{
	follow();
	run_told_ms(3000, 300, 5000);
	size_t asked = sent.size();
	while (sent.size() == asked)
		run_ms(1);
	int64_t question_us = fp_mono_us(&clock.clock);
	run_ms(700);
	tell(FP_OK, store.items["op/config"].revision, 250000,
	     sent.back().second.id);
	EXPECT_LE(current_us, question_us - 250000);
	EXPECT_GE(current_us, question_us - 255000);
}

TEST_F(Follower, ASilentDelegateIsLeftForTheStore)
{
	follow();
	run_told_ms(3000, 300, 5000);
	size_t asked = sent.size();
	int64_t worst_us = 0;
	for (int ms = 0; ms < 4000; ms++) {
		run_ms(1);
		worst_us = std::max(worst_us,
				    fp_mono_us(&clock.clock) - current_us);
	}
	EXPECT_LE(sent.size() - asked, 1u);
	EXPECT_LT(worst_us, 2000000);
	/* What it says too late counts for nothing. */
	int64_t before_us = current_us;
	tell(FP_OK, store.items["op/config"].revision, 0,
	     sent.back().second.id);
	EXPECT_EQ(before_us, current_us);
	run_ms(4000);
	EXPECT_GT(sent.size(), asked + 1);
}

TEST_F(Follower, ADelegateThatCannotTellIsLeftAtOnce)
{
	follow();
	run_told_ms(3000, 300, 5000);
	size_t asked = sent.size();
	while (sent.size() == asked)
		run_ms(1);
	int gets = store.calls["get"];
	tell(FP_UNAVAILABLE, 0, 0, sent.back().second.id);
	run_ms(10);
	EXPECT_EQ(gets + 1, store.calls["get"]);
}

TEST_F(Follower, ANewerRecordIsReadAtOnce)
{
	follow();
	run_told_ms(3000, 300, 5000);
	store.write("op/config", config(6));
	size_t asked = sent.size();
	while (sent.size() == asked)
		run_ms(1);
	int64_t before_us = current_us;
	tell(FP_OK, store.items["op/config"].revision, 0,
	     sent.back().second.id);
	EXPECT_EQ(before_us, current_us); /* proves nothing of the old one */
	run_ms(10);
	EXPECT_EQ(6u, revisions.back());
	EXPECT_GT(current_us, before_us);
}

/* n1 is the first of its domain: others ask it. */
TEST_F(Directory, ADelegateAnswersAfterItAskedTheStore)
{
	struct fp_msg_shared ask = {};

	store.write("op/config", config(5));
	start();
	run_ms(1500);
	ask.type = FP_MSG_CURRENT_ASK;
	ask.id = 77;
	fp_directory_message(d, "10.0.0.9:80", &ask);
	EXPECT_TRUE(sent.empty());
	run_ms(1000);
	ASSERT_EQ(1u, sent.size());
	EXPECT_EQ("10.0.0.9:80", sent[0].first);
	EXPECT_EQ(77u, sent[0].second.id);
	EXPECT_EQ(FP_OK, sent[0].second.current_answer.status);
	EXPECT_EQ(store.items["op/config"].revision,
		  sent[0].second.current_answer.item_revision);
	EXPECT_LT(sent[0].second.current_answer.age_us, 100000);
	/* Without the store it cannot tell: who waits hears it, and who asks. */
	ask.id = 78;
	fp_directory_message(d, "10.0.0.9:80", &ask);
	store.failing = FP_TIMEOUT;
	run_ms(1100);
	ask.id = 79;
	fp_directory_message(d, "10.0.0.9:80", &ask);
	ASSERT_EQ(3u, sent.size());
	for (int i = 1; i < 3; i++) {
		EXPECT_EQ(77u + i, sent[i].second.id);
		EXPECT_EQ(FP_UNAVAILABLE, sent[i].second.current_answer.status);
	}
}

TEST_F(Directory, AMemberIsAnsweredOnceForItsLastQuestion)
{
	struct fp_msg_shared ask = {};

	store.write("op/config", config(5));
	start();
	run_ms(1500);
	ask.type = FP_MSG_CURRENT_ASK;
	for (ask.id = 1; ask.id <= 100; ask.id++)
		fp_directory_message(d, "10.0.0.9:80", &ask);
	run_ms(1100);
	ASSERT_EQ(1u, sent.size());
	EXPECT_EQ(100u, sent[0].second.id);
}

/* Each machine that restarts is missing to all others for a while. */
TEST_F(Directory, AMissingMemberCostsFewCalls)
{
	store.write("op/config", config(5));
	store.write("fulmar/nodes/n2", other("n2", 2, true));
	start();
	run_ms(1000);
	int before = store.calls["list"] + store.calls["watch"];
	store.remove("fulmar/nodes/n2");
	run_ms(5000);
	EXPECT_EQ(0u, names.count("n2"));
	EXPECT_LE(store.calls["list"] + store.calls["watch"] - before, 3);
}

TEST_F(Directory, ALostHistoryIsReadAnew)
{
	start();
	run_ms(300);
	store.items["fulmar/nodes/n2"] = { other("n2", 2, true),
					   ++store.revision, 0 };
	store.compacted = store.revision + 1;
	store.cut_watches();
	run_ms(1000);
	EXPECT_EQ(1u, names.count("n2"));
}

TEST_F(Directory, RecordsOfOtherWritersAreLeftOut)
{
	store.write("fulmar/nodes/n2", "{");
	store.write("fulmar/nodes/n3", other("n4", 3, true));
	store.write("fulmar/nodes/n5", "{\"id\":\"5\"}");
	store.write("fulmar/nodes/n6", std::string(5000, 'x'));
	store.write("fulmar/nodes/n7", other("n7", 7, true));
	start();
	run_ms(300);
	EXPECT_EQ(2u, names.size());
	EXPECT_EQ(1u, names.count("n7"));
}

/* Half a store call a second and node in an outage is what the page allows. */
TEST_F(Directory, AnOutageIsNotAnsweredByAStorm)
{
	store.write("op/config", config(5));
	start();
	run_ms(300);
	store.failing = FP_TIMEOUT;
	store.cut_watches();
	int before = total();
	run_ms(10000);
	EXPECT_LE(total() - before, 60);
}

} // namespace
