/* test_e2e_places.cc - end to end: evacuated domains and cold servers */
#include "e2e_hosted.h"

using hosted::Result;

namespace
{

/* The bound on an evacuation, from the store's answer to the operator. */
const int evacuation_ms = 5000;
/* Requests per second that a cold server tolerates here. */
const int cold_per_s = 11;

class Places : public hosted::Hosted
{
      protected:
	/* Starts "front" in d2 and "deep" in d0 and d1, and waits for them. */
	void start()
	{
		n_domains = 3;
		platform_store_write(
			store, "op/config",
			config(1, "\"k1\"",
			       "\"deep\":{\"healthPath\":\"/health\","
			       "\"coldStart\":\"1s\",\"coldPerS\":11.0}")
				.c_str());
		add("front");
		add("deep");
		add("deep");
		start_announcing();
		for (auto &m : machines)
			EXPECT_TRUE(wait([&] { return ready(*m) == 200; }));
		EXPECT_TRUE(wait([&] { return served_by_all(); }, 10000));
	}

	int runs(size_t i)
	{
		return platform_server_run_count(machines[i]->server);
	}

	bool served_by_all()
	{
		int before[] = { runs(1), runs(2) };

		for (int i = 0; i < 20; i++)
			call(*machines[0], "/deep/x");
		return runs(1) > before[0] && runs(2) > before[1];
	}

	/* Whether `fulmarpass where` at the entry says this of a request. */
	bool says(const std::string &what)
	{
		std::string cmd = std::string(f->build) +
				  "/fulmarpass where GET /inner/x --host "
				  "h.example --node " +
				  machines[0]->ip + ":8005 2>&1 | grep -q '" +
				  what + "'";

		return system(cmd.c_str()) == 0;
	}

	/* What became of the requests that send_for_ms() sent. */
	struct Sent {
		std::atomic<int> n{ 0 }, n_ok{ 0 };
		std::atomic<int64_t> longest_us{ 0 };
	};

	/* Sends requests for ms from n_callers at once. */
	void send_for_ms(int ms, int n_callers, Sent *sent)
	{
		auto end = std::chrono::steady_clock::now() +
			   std::chrono::milliseconds(ms);
		std::vector<std::thread> callers;

		for (int i = 0; i < n_callers; i++)
			callers.emplace_back([&] {
				while (std::chrono::steady_clock::now() < end)
					send_one(sent);
			});
		for (auto &c : callers)
			c.join();
	}

	void send_one(Sent *sent)
	{
		Result r = call(*machines[0], "/inner/x", "");

		sent->n++;
		sent->n_ok += r.status == 200;
		if (r.latency_us > sent->longest_us)
			sent->longest_us = r.latency_us;
		EXPECT_TRUE(r.status == 200 || r.status == 503) << r.status;
		EXPECT_EQ(r.status != 200, r.retry_after != "");
		usleep(5000);
	}
};

/* No request runs in an evacuated domain after the bound, and none is lost for
 * it; with all domains evacuated none runs at all. One that is taken back
 * serves again. */
TEST_F(Places, AnEvacuatedDomainGetsNoRequests)
{
	Sent after, none;

	start();
	platform_store_write(store, "op/evacuate/d0", "{}");
	usleep(evacuation_ms * 1000);
	int before = runs(1);
	int turned_back = count(*machines[1], "reason=stopping");
	send_for_ms(1000, 2, &after);
	EXPECT_EQ(after.n, after.n_ok);
	EXPECT_TRUE(says("^sent to: n4"));
	EXPECT_TRUE(says("^n3  *d0  *evacuated  *0.000"));
	/* The entry does not even try. */
	EXPECT_EQ(turned_back, count(*machines[1], "reason=stopping"));
	EXPECT_EQ(before, runs(1));
	EXPECT_TRUE(log_has(*machines[1], "event=evacuation_seen domain=d0"));
	platform_store_write(store, "op/evacuate/d1", "{}");
	usleep(evacuation_ms * 1000);
	int all = runs(1) + runs(2);
	send_for_ms(500, 2, &none);
	EXPECT_EQ(0, none.n_ok);
	EXPECT_TRUE(says("^refused: no-worker, status 503"));
	EXPECT_EQ(all, runs(1) + runs(2));
	platform_store_remove(store, "op/evacuate/d0");
	EXPECT_TRUE(wait([&] {
		return call(*machines[0], "/inner/x", "").status == 200;
	}));
	EXPECT_GT(runs(1), before);
	EXPECT_EQ(0, runs(1) + runs(2) - all - (runs(1) - before));
}

/* An entry node that the store refuses does not know of the evacuation. The
 * node beside the server does, and turns its requests back, not run, so that
 * they run elsewhere. */
TEST_F(Places, AnEntryThatDoesNotKnowIsTurnedBack)
{
	Sent sent;

	start();
	platform_endpoint_set_fault(machines[0]->store_endpoint,
				    PLATFORM_UNAVAILABLE);
	platform_store_write(store, "op/evacuate/d0", "{}");
	ASSERT_TRUE(wait([&] {
		return log_has(*machines[1], "event=evacuation_seen");
	}));
	int before = runs(1);
	send_for_ms(1000, 2, &sent);
	EXPECT_EQ(sent.n, sent.n_ok);
	EXPECT_EQ(before, runs(1));
	EXPECT_FALSE(log_has(*machines[0], "event=evacuation_seen"));
	EXPECT_TRUE(log_has(*machines[1], "reason=stopping"));
}

/* A cold server is sent its rate, not more and not none, also while the entry
 * sheds for it; the rest is refused at once. Afterwards it gets all. */
TEST_F(Places, AColdServerGetsItsRate)
{
	Sent cold, shed, warm;

	start();
	for (size_t i = 1; i <= 2; i++)
		platform_server_set_cold(machines[i]->server, 60000);
	for (size_t i = 1; i <= 2; i++)
		ASSERT_TRUE(wait([&] {
			return log_has(*machines[i], "event=worker_cold");
		}));
	int before[] = { runs(1), runs(2) };
	send_for_ms(4000, 8, &cold);
	for (size_t i = 0; i < 2; i++) {
		int n = runs(i + 1) - before[i];

		EXPECT_LE(n, 5 * cold_per_s) << "server " << i;
		EXPECT_GE(n, 2 * cold_per_s) << "server " << i;
	}
	EXPECT_GT(cold.n, 2 * cold.n_ok);
	EXPECT_LT(cold.longest_us, 1000000);
	for (size_t i = 1; i <= 2; i++)
		platform_server_set_cold(machines[i]->server, 0);
	for (size_t i = 1; i <= 2; i++)
		ASSERT_TRUE(wait([&] {
			return log_has(*machines[i], "event=worker_warm");
		}));
	/* Early shedding has ended within 10 s, as docs/DESIGN-load.md says. */
	send_for_ms(9000, 2, &shed);
	send_for_ms(1000, 2, &warm);
	EXPECT_EQ(warm.n, warm.n_ok);
}

} // namespace
