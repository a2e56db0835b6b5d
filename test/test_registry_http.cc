/* test_registry_http.cc - the client of the store when it comes back from a copy */
#include <gtest/gtest.h>

#include <unistd.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/counters.h"
#include "base/log.h"
#include "platform/platform.h"
#include "standin/lib_serve.h"

namespace
{

/* What a call reported. */
struct Outcome {
	int n = 0; /* number of reports */
	enum fp_status status = FP_OK;
	uint64_t revision = 0, epoch = 0;
	std::vector<uint64_t> items; /* revisions */
};

/* A store with one item, whose answers name the era that the test sets. */
class Registry : public testing::Test
{
      protected:
	void SetUp() override
	{
		std::string address =
			"127." + std::to_string(100 + getpid() % 150) + "." +
			std::to_string(getpid() / 150 % 250 + 1) + ".1:8600";

		fp_log_setup(FP_LOG_ERROR, 2);
		server = serve_init(address.c_str(), serve, this);
		ASSERT_NE(nullptr, server);
		ASSERT_EQ(FP_OK, fp_loop_init(fp_system_clock(), &loop));
		counters = fp_counters_init();
		ASSERT_EQ(FP_OK,
			  platform_registry_init(
				  loop, ("http://" + address).c_str(),
				  10 * FP_US_PER_S, counters, &registry));
	}
	void TearDown() override
	{
		registry->ops->end(registry);
		fp_counters_end(counters);
		fp_loop_end(loop);
		released = true;
		serve_end(server);
	}

	/* Sets what the store's next answers name. */
	void set_store(const std::string &new_era, int new_revision)
	{
		std::lock_guard<std::mutex> guard(lock);

		era = new_era;
		revision = new_revision;
	}

	static void on_done(void *ctx, const struct fp_registry_result *r)
	{
		auto *o = static_cast<Outcome *>(ctx);

		o->n++;
		o->status = r->status;
		o->revision = r->revision;
		o->epoch = r->epoch;
		for (size_t i = 0; i < r->n_items; i++)
			o->items.push_back(r->items[i].revision);
	}

	void run_until(const std::function<bool()> &done)
	{
		for (int i = 0; i < 2000 && !done(); i++)
			fp_loop_run_once(loop, 5000);
		EXPECT_TRUE(done());
	}

	Outcome get()
	{
		Outcome o;

		registry->ops->get(registry, "a", false, on_done, &o);
		run_until([&] { return o.n > 0; });
		return o;
	}

	Outcome put(uint64_t expect)
	{
		Outcome o;

		registry->ops->put(registry, "a", "x", 1, 0, expect, on_done,
				   &o);
		run_until([&] { return o.n > 0; });
		return o;
	}

	struct fp_loop *loop = nullptr;
	struct fp_registry *registry = nullptr;
	struct fp_counters *counters = nullptr;
	std::atomic<int> n_puts{ 0 }, n_watches{ 0 };
	std::atomic<bool> released{ false }; /* waiting watches end */

      private:
	static enum MHD_Result serve(struct serve_request *r, void *arg)
	{
		auto *t = static_cast<Registry *>(arg);
		std::string path = r->path;
		std::string body;
		std::string named;

		if (path == "/kv-watch") {
			t->n_watches++;
			while (!t->released && !serve_client_closed(r))
				usleep(5000);
		}
		t->n_puts += path == "/kv-txn";
		{
			std::lock_guard<std::mutex> guard(t->lock);
			std::string n = std::to_string(t->revision);

			named = t->era;
			body = "{\"key\":\"a\",\"value\":\"eA==\","
			       "\"revision\":" +
			       n + ",\"storeRevision\":" + n + "}";
		}
		return serve_bytes(r, 200, body.data(), body.size(),
				   named.empty() ? nullptr : "Store-Era",
				   named.c_str());
	}

	struct server *server = nullptr;
	std::mutex lock;
	std::string era = "1";
	int revision = 10;
};

/* Guards against a change that is not noticed because it has the revision of one
 * that the store lost. */
TEST_F(Registry, RevisionsOfTwoErasDiffer)
{
	Outcome before = get();
	set_store("2", 10);
	Outcome after = get();
	set_store("3", 7);
	Outcome last = get();

	ASSERT_EQ(1u, before.items.size());
	ASSERT_EQ(1u, after.items.size());
	ASSERT_EQ(1u, last.items.size());
	EXPECT_LT(before.items[0], after.items[0]);
	EXPECT_LT(after.items[0], last.items[0]);
	EXPECT_LT(before.revision, after.revision);
	EXPECT_LT(before.epoch, after.epoch);
}

TEST_F(Registry, AWaitingWatchEndsWhenTheStoreComesBack)
{
	Outcome w;

	registry->ops->watch(registry, "a", get().revision, 20 * FP_US_PER_S,
			     on_done, &w);
	run_until([&] { return n_watches == 1; });
	get();
	EXPECT_EQ(0, w.n);
	set_store("2", 5);
	get();
	EXPECT_EQ(1, w.n);
	EXPECT_EQ(FP_EXHAUSTED, w.status);
}

TEST_F(Registry, AWatchFromAnEarlierEraIsNotSent)
{
	uint64_t before = get().revision;
	Outcome w;

	set_store("2", 10);
	get();
	registry->ops->watch(registry, "a", before, 20 * FP_US_PER_S, on_done,
			     &w);
	run_until([&] { return w.n > 0; });
	EXPECT_EQ(FP_EXHAUSTED, w.status);
	EXPECT_EQ(0, n_watches);
}

/* A write that names a revision of before the return replaces nothing that has
 * got the same number since. */
TEST_F(Registry, AWriteOverARevisionOfAnEarlierEraHasNoEffect)
{
	uint64_t before = get().items[0];

	EXPECT_EQ(FP_OK, put(before).status);
	set_store("2", 10);
	get();
	EXPECT_EQ(FP_CONFLICT, put(before).status);
	EXPECT_EQ(1, n_puts);
	EXPECT_EQ(FP_OK, put(0).status);
	EXPECT_EQ(FP_OK, put(FP_REGISTRY_ANY).status);
	EXPECT_EQ(3, n_puts);
}

/* An era that goes down, is missing or is no number is a fault of the store. The
 * answer that goes down is older than one that was read. */
TEST_F(Registry, AnInvalidEraBeginsNoEpoch)
{
	set_store("7", 10);
	Outcome first = get();
	for (const char *text : { "", "x", "-8", "8x", "+8", " ", "0",
				  "99999999999999999999999" }) {
		set_store(text, 10);
		Outcome o = get();
		EXPECT_EQ(FP_OK, o.status) << text;
		EXPECT_EQ(first.epoch, o.epoch) << text;
		EXPECT_EQ(first.items, o.items) << text;
	}
	set_store("6", 10);
	EXPECT_EQ(FP_TIMEOUT, get().status);
	EXPECT_EQ(FP_TIMEOUT, put(0).status);
	set_store("7", 11);
	EXPECT_EQ(FP_OK, get().status);
}

/* Stores that name no era have one epoch. */
TEST_F(Registry, AStoreWithoutErasHasOneEpoch)
{
	set_store("", 10);
	Outcome o = get();

	EXPECT_EQ(FP_OK, o.status);
	EXPECT_EQ(0u, o.epoch);
	EXPECT_EQ(10u, o.items[0]);
	EXPECT_EQ(FP_OK, put(o.items[0]).status);
}

} // namespace
