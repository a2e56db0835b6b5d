/* test_e2e_hosted.cc - real hosted nodes against a stand-in of the platform
 *
 * Two nodes beside a server of "front" and one of "deep", and a second server
 * of "deep" where a case needs another to go to.
 */
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstring>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "standin/lib_fleet.h"
#include "standin/lib_http.h"
#include "standin/lib_platform.h"

namespace
{

struct Result {
	long status = 0;
	std::string body, signature, outcome, retry_after;
	int64_t latency_us = 0;
};

/* One machine: a node, and a server beside it. */
struct Machine {
	std::string ip, service, id;
	struct fleet_process *node = nullptr;
	struct platform_server *server = nullptr;
	std::string outbound, control;
};

class Hosted : public testing::Test
{
      protected:
	void SetUp() override
	{
		f = fleet_init();
		ASSERT_NE(nullptr, f);
		net = "127." + std::to_string(100 + getpid() % 150) + "." +
		      std::to_string(getpid() / 150 % 250 + 1) + ".";
		store = platform_store_init((net + "1:8500").c_str());
		ASSERT_NE(nullptr, store);
	}

	void TearDown() override
	{
		if (HasFailure())
			fleet_print_logs(f);
		beating = false;
		if (beats.joinable())
			beats.join();
		for (auto &m : machines)
			platform_server_end(m->server);
		platform_store_end(store);
		fleet_end(f);
	}

	/* Starts a machine; the server announces itself from then on. */
	Machine &add(const std::string &service, int run_ms = 5,
		     bool drop = false, const char *inner_host = nullptr)
	{
		auto m = std::make_unique<Machine>();
		int n = (int)machines.size() + 2;
		char path[512];

		m->ip = net + std::to_string(n);
		m->service = service;
		m->id = "i-" + std::to_string(n);
		m->outbound = "http://" + m->ip + ":8001";
		m->control = m->ip + ":8003";
		std::string text =
			"[node]\nname = \"n" + std::to_string(n) +
			"\"\naddress = \"" + m->ip +
			"\"\nfailure_domain = \"d" + std::to_string(n % 2) +
			"\"\nregion = \"r\"\nservice = \"" + service +
			"\"\n[listen]\nhttp_port = \"" + m->ip +
			":8001\"\npeer_port = 8002\nlocal_port = 8003\n"
			"local_address = \"" +
			m->ip +
			"\"\nready_port = 8004\nadmin_port = 8005\n"
			"control_port = 8006\n[backend]\naddress = \"" +
			m->ip +
			":9000\"\n[store]\nkind = \"leases\"\n"
			"url = \"http://" +
			net +
			"1:8500\"\n"
			"timeout_ms = 500\n[bounds]\nrevoke = \"5s\"\n"
			"grace = \"6s\"\nretry_ratio = \"0.2\"\n"
			"retry_floor = 50\n";
		settings[m->id] = text;
		EXPECT_TRUE(fleet_write_file(f, (m->id + ".toml").c_str(),
					     text.c_str(), path, sizeof(path)));
		const char *args[] = { "node", "--settings", path, nullptr };
		m->node = fleet_start(f, "fulmarpass", args);
		EXPECT_NE(nullptr, m->node);
		keep_server(*m, run_ms, drop, inner_host);
		machines.push_back(std::move(m));
		return *machines.back();
	}

	void keep_server(Machine &m, int run_ms, bool drop,
			 const char *inner_host)
	{
		struct platform_server_opts o = {};

		texts.push_back(m.ip + ":9000");
		o.address = texts.back().c_str();
		o.control = m.control.c_str();
		o.service = m.service.c_str();
		o.id = m.id.c_str();
		o.born_ms = 1000;
		o.run_ms = run_ms;
		o.drop = drop;
		if (inner_host) {
			texts.push_back(m.outbound + "/inner/x");
			o.inner_url = texts.back().c_str();
			o.inner_host = inner_host;
		}
		m.server = platform_server_init(&o);
		EXPECT_NE(nullptr, m.server);
	}

	static std::string config(int version,
				  const std::string &keys = "\"k1\"")
	{
		auto route = [](const char *name, const char *prefix,
				const char *kind, const char *service,
				bool open) {
			return std::string("\"") + name +
			       "\":{\"hostname\":\"h.example\",\"pathPrefix\":"
			       "\"" +
			       prefix + "\",\"kind\":\"" + kind +
			       "\",\"timeout\":\"1500ms\",\"targetLatency\":"
			       "\"500ms\",\"priority\":1,\"service\":\"" +
			       service + "\",\"maxAttempts\":2,\"public\":" +
			       (open ? "true" : "false") + "}";
		};

		return "{\"version\":\"r" + std::to_string(version) +
		       "\",\"routes\":{" +
		       route("ra", "/front/", "safe", "front", false) + "," +
		       route("rb", "/deep/", "safe", "deep", false) + "," +
		       route("rc", "/order/", "unsafe", "deep", false) + "," +
		       route("rd", "/inner/", "safe", "deep", true) +
		       "},\"services\":{},\"limits\":{},\"tenants\":{\"t1\":{"
		       "\"apiKeys\":[" +
		       keys +
		       "],\"priority\":1,"
		       "\"ratePerS\":100,\"burst\":100}}}";
	}

	void write_config(int version, const std::string &keys = "\"k1\"")
	{
		platform_store_write(store, "op/config",
				     config(version, keys).c_str());
	}

	/* All servers but those that left announce themselves. */
	void begin_beats()
	{
		beats = std::thread([this] {
			while (beating) {
				for (size_t i = 0; i < machines.size(); i++)
					if (!left[machines[i]->id])
						platform_server_announce(
							machines[i]->server,
							"ready");
				usleep(300000);
			}
		});
	}

	Result call(Machine &m, const std::string &path,
		    const std::string &key = "k1",
		    std::vector<std::string> more = {})
	{
		static std::atomic<int> n{ 0 };
		std::vector<const char *> headers;
		std::string url = m.outbound + path;
		struct http_request req = {};
		struct http_answer a;
		char text[256];
		Result r;

		more.push_back("Host: h.example");
		more.push_back("Fulmarpass-Deadline-Ms: 3000");
		more.push_back("Fulmarpass-Request-Id: req" +
			       std::to_string(++n));
		if (!key.empty())
			more.push_back("Fulmarpass-Key: " + key);
		for (auto &h : more)
			headers.push_back(h.c_str());
		headers.push_back(nullptr);
		req.method = path.rfind("/order", 0) == 0 ? "POST" : "GET";
		req.url = url.c_str();
		req.headers = headers.data();
		r.status = http_call(&req, &a);
		r.latency_us = a.latency_us;
		if (r.status) {
			r.body.assign(a.body, a.body_bytes);
			http_answer_header(&a, "Fulmarpass-Response-Signature",
					   text, sizeof(text));
			r.signature = text;
			http_answer_header(&a, "Fulmar-Outcome", text,
					   sizeof(text));
			r.outcome = text;
			http_answer_header(&a, "Retry-After", text,
					   sizeof(text));
			r.retry_after = text;
		}
		http_answer_end(&a);
		return r;
	}

	long ready(Machine &m)
	{
		std::string url = "http://" + m.ip + ":8004/ready";
		struct http_request req = {};
		struct http_answer a;

		req.url = url.c_str();
		req.timeout_ms = 500;
		long status = http_call(&req, &a);
		http_answer_end(&a);
		return status;
	}

	static bool wait(const std::function<bool()> &done, int ms = 5000)
	{
		for (int i = 0; i < ms / 5; i++) {
			if (done())
				return true;
			usleep(5000);
		}
		return done();
	}

	/* Two machines that serve. */
	void serve(bool drop = false, int run_ms = 5)
	{
		write_config(1);
		add("front");
		add("deep", run_ms, drop);
		begin_beats();
		ASSERT_TRUE(wait([&] {
			return ready(*machines[0]) == 200 &&
			       ready(*machines[1]) == 200;
		}));
		if (!drop) {
			ASSERT_TRUE(wait([&] {
				return call(*machines[0], "/deep/x").status ==
				       200;
			}));
		}
	}

	/* How often a node's log holds the text. */
	static int count(Machine &m, const char *what)
	{
		char *log = fleet_read_file(m.node->log_path);
		int n = 0;

		for (char *at = log; at && (at = strstr(at, what)); at++)
			n++;
		free(log);
		return n;
	}

	/* The machine whose node owns the bucket, or their number. */
	size_t bucket_owner()
	{
		size_t i = 0;

		while (i < machines.size() &&
		       count(*machines[i], "event=bucket_owned") ==
			       count(*machines[i], "event=bucket_left"))
			i++;
		return i;
	}

	/* Four machines that know each other; returns the bucket's owner. */
	size_t serve_four()
	{
		write_config(1);
		for (const char *service :
		     { "front", "front", "front", "deep" })
			add(service);
		begin_beats();
		for (auto &m : machines)
			EXPECT_TRUE(wait([&] { return ready(*m) == 200; }));
		usleep(1500000); /* all know all */
		return bucket_owner();
	}

	static bool says(Machine &m, const char *what)
	{
		return count(m, what) > 0;
	}

	std::string last(Machine &m, const char *name)
	{
		char text[256];

		platform_server_last(m.server, name, text, sizeof(text));
		return text;
	}

	struct fleet *f = nullptr;
	struct platform_store *store = nullptr;
	std::string net;
	std::vector<std::unique_ptr<Machine>> machines;
	std::list<std::string> texts;
	std::map<std::string, std::string> settings; /* by server's id */
	std::map<std::string, std::atomic<bool>> left;
	std::atomic<bool> beating{ true };
	std::thread beats;
};

TEST_F(Hosted, ServesThroughTwoNodesWithThePlatformsHeaders)
{
	serve();
	Result r = call(*machines[0], "/deep/x?y=1", "k1", { "X-Other: 7" });

	EXPECT_EQ(200, r.status);
	EXPECT_EQ("done", r.body);
	EXPECT_EQ(machines[1]->id, r.signature);
	EXPECT_EQ("t1", last(*machines[1], "Fulmarpass-Tenant"));
	EXPECT_EQ("", last(*machines[1], "Fulmarpass-Key"));
	EXPECT_EQ("front", last(*machines[1], "Fulmarpass-Caller-Service"));
	EXPECT_EQ("h.example", last(*machines[1], "Host"));
	EXPECT_EQ("7", last(*machines[1], "X-Other"));
	EXPECT_LE(atoi(last(*machines[1], "Fulmarpass-Deadline-Ms").c_str()),
		  1500);
}

TEST_F(Hosted, RefusesWhatTheRecordDoesNotAllow)
{
	Machine &m = add("front");

	begin_beats();
	ASSERT_TRUE(wait([&] { return ready(m) == 503; }));
	EXPECT_EQ(503, call(m, "/front/x").status);
	write_config(1);
	ASSERT_TRUE(wait([&] { return ready(m) == 200; }));
	ASSERT_TRUE(wait([&] { return call(m, "/front/x").status == 200; }));
	EXPECT_EQ(401, call(m, "/front/x", "k2").status);
	EXPECT_EQ(401, call(m, "/front/x", "").status);
	EXPECT_EQ(404, call(m, "/none/x?key=k1").status);
	EXPECT_TRUE(wait([&] {
		return says(m, "host=h.example path=/none/x outcome=not-run "
			       "reason=route-unknown config=1");
	}));
	/* What a caller says in these headers is not believed. */
	call(m, "/front/x", "k1",
	     { "Fulmarpass-Tenant: t2", "Fulmarpass-Caller-Service: x",
	       "Fulmarpass-Target-Instance: i-99" });
	EXPECT_EQ("t1", last(m, "Fulmarpass-Tenant"));
	EXPECT_EQ("front", last(m, "Fulmarpass-Caller-Service"));
}

TEST_F(Hosted, ALeavingServerGetsNothingFromItsAcknowledgementOn)
{
	serve();
	add("deep");
	ASSERT_TRUE(wait([&] {
		call(*machines[0], "/deep/x");
		return platform_server_runs(machines[2]->server) > 0;
	}));
	left[machines[1]->id] = true;
	usleep(400000);
	ASSERT_TRUE(platform_server_announce(machines[1]->server, "draining"));
	int runs = platform_server_runs(machines[1]->server);
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(200, call(*machines[0], "/deep/x").status);
	EXPECT_EQ(runs, platform_server_runs(machines[1]->server));
	/* The same by a farewell without an announcement. */
	left[machines[2]->id] = true;
	usleep(400000);
	ASSERT_TRUE(platform_server_farewell(machines[2]->server));
	Result r = call(*machines[0], "/deep/x");
	EXPECT_EQ(503, r.status);
	EXPECT_EQ("not-run", r.outcome);
	EXPECT_NE("", r.retry_after);
}

TEST_F(Hosted, AWithdrawnKeyIsRefusedInTwoSecondsAndWithoutTheStoreInFive)
{
	serve();
	write_config(2, "\"k3\"");
	ASSERT_TRUE(wait(
		[&] { return call(*machines[0], "/front/x").status == 401; },
		2000));
	EXPECT_EQ(200, call(*machines[0], "/front/x", "k3").status);
	platform_store_set(store, PLATFORM_BUSY);
	usleep(2500000);
	EXPECT_EQ(200, call(*machines[0], "/front/x", "k3").status);
	usleep(2500000);
	Result r = call(*machines[0], "/front/x", "k3");
	EXPECT_EQ(503, r.status);
	EXPECT_EQ("not-run", r.outcome);
	EXPECT_EQ(200, call(*machines[0], "/inner/x", "").status);
	platform_store_set(store, PLATFORM_WELL);
	EXPECT_TRUE(wait([&] {
		return call(*machines[0], "/front/x", "k3").status == 200;
	}));
}

/*
 * n4 follows n2, the first of its domain, and reads the record only when it has
 * changed. A delegate that is killed is done without.
 */
TEST_F(Hosted, AFollowerHoldsTheSamePromisesAsItsDelegate)
{
	write_config(1, "\"k1\",\"k2\"");
	for (const char *service : { "front", "deep", "front", "deep" })
		add(service);
	begin_beats();
	for (auto &m : machines)
		ASSERT_TRUE(wait([&] { return ready(*m) == 200; }));
	Machine &follower = *machines[2];
	ASSERT_TRUE(wait([&] {
		return says(follower, "event=delegate member=n2 self=0");
	}));
	auto status = [&](const char *key) {
		return call(follower, "/front/x", key).status;
	};
	EXPECT_EQ(200, status("k2"));
	write_config(2);
	EXPECT_TRUE(wait([&] { return status("k2") == 401; }, 2000));
	EXPECT_EQ(200, status("k1"));
	fleet_process_kill(machines[0]->node);
	for (int i = 0; i < 60; i++) {
		ASSERT_EQ(200, status("k1")) << i;
		usleep(100000);
	}
	write_config(3, "\"k2\"");
	EXPECT_TRUE(wait([&] { return status("k1") == 401; }, 2000));
	platform_store_set(store, PLATFORM_SILENT);
	EXPECT_TRUE(wait([&] { return status("k2") == 503; }, 5000));
	platform_store_set(store, PLATFORM_WELL);
	EXPECT_TRUE(wait([&] { return status("k2") == 200; }));
}

TEST_F(Hosted, ALostAnswerOfAnOrderIsUnknownAndRunsOnce)
{
	serve(true);
	ASSERT_TRUE(wait(
		[&] { return call(*machines[0], "/order/x").status == 502; }));
	int runs = platform_server_runs(machines[1]->server);
	Result r = call(*machines[0], "/order/x");

	EXPECT_EQ(502, r.status);
	EXPECT_EQ("unknown", r.outcome);
	EXPECT_EQ(runs + 1, platform_server_runs(machines[1]->server));
}

TEST_F(Hosted, AnInnerCallNeedsNoKeyAndShowsNoOrganisation)
{
	write_config(1);
	add("front", 5, false, "h.example");
	add("deep");
	begin_beats();
	ASSERT_TRUE(wait([&] {
		return call(*machines[0], "/front/x").status == 200 &&
		       platform_server_inner(machines[0]->server) == 200;
	}));
	EXPECT_EQ("", last(*machines[1], "Fulmarpass-Tenant"));
	EXPECT_EQ("front", last(*machines[1], "Fulmarpass-Caller-Service"));
	EXPECT_NE(std::string::npos,
		  last(*machines[1], "Fulmarpass-Request-Id").find(".1b2c"));
}

TEST_F(Hosted, AStopEndsWhatIsInFlightAndTakesTheRecordAway)
{
	serve(false, 700);
	Result r;
	std::thread caller([&] { r = call(*machines[0], "/deep/x"); });

	usleep(200000);
	fleet_process_signal(machines[0]->node, SIGTERM);
	caller.join();
	EXPECT_EQ(200, r.status);
	EXPECT_NE(200, ready(*machines[0]));
	EXPECT_TRUE(fleet_process_wait(machines[0]->node, 6000));
	EXPECT_EQ(0, fleet_process_exit_code(machines[0]->node));
	EXPECT_TRUE(wait([&] {
		return platform_store_count(store, "fulmar/nodes/") == 1;
	}));
}

/*
 * Connections that were open before the stop bring requests until the process
 * is gone. What a server began to run must be answered; a request that finds
 * the connection closed was not begun.
 */
TEST_F(Hosted, RequestsOnKeptConnectionsAreAnsweredUntilTheEndOfAStop)
{
	static const char text[] = "GET /deep/x HTTP/1.1\r\nHost: h.example\r\n"
				   "Fulmarpass-Request-Id: kept\r\n"
				   "Fulmarpass-Key: k1\r\n\r\n";
	const int n = 100;
	std::vector<int> fds;
	struct sockaddr_in sin = {};
	int answered = 0;

	serve(false, 60);
	sin.sin_family = AF_INET;
	sin.sin_port = htons(8001);
	inet_pton(AF_INET, machines[0]->ip.c_str(), &sin.sin_addr);
	for (int i = 0; i < n; i++) {
		fds.push_back(socket(AF_INET, SOCK_STREAM, 0));
		ASSERT_EQ(0, connect(fds[i], (struct sockaddr *)&sin,
				     sizeof(sin)));
	}
	usleep(300000);
	int runs = platform_server_runs(machines[1]->server);
	fleet_process_signal(machines[0]->node, SIGTERM);
	/* Half of them in the flow, half when nothing is in flight any more. */
	usleep(1900000);
	for (int i = 0; i < n / 2; i++) {
		send(fds[i], text, sizeof(text) - 1, MSG_NOSIGNAL);
		usleep(2000);
	}
	wait([&] { return says(*machines[0], "event=drained"); });
	for (int i = n / 2; i < n; i++)
		send(fds[i], text, sizeof(text) - 1, MSG_NOSIGNAL);
	EXPECT_TRUE(fleet_process_wait(machines[0]->node, 6000));
	for (int fd : fds) {
		char buf[4096];
		ssize_t got = recv(fd, buf, sizeof(buf) - 1, 0);

		buf[got > 0 ? got : 0] = '\0';
		answered += strncmp(buf, "HTTP/1.1 200", 12) == 0;
		close(fd);
	}
	EXPECT_GT(answered, 0);
	EXPECT_EQ(platform_server_runs(machines[1]->server) - runs, answered);
}

TEST_F(Hosted, AKilledNodeServesAgainAfterItsStart)
{
	serve();
	fleet_process_kill(machines[1]->node);
	EXPECT_EQ(503, call(*machines[0], "/deep/x").status);
	ASSERT_TRUE(fleet_process_start(f, machines[1]->node));
	EXPECT_TRUE(wait(
		[&] { return call(*machines[0], "/deep/x").status == 200; }));
}

/* The letter: lapsed entries are back two seconds after the store is. */
TEST_F(Hosted, LapsedRecordsAreBackTwoSecondsAfterTheStoreIs)
{
	serve();
	for (enum platform_trouble t :
	     { PLATFORM_BUSY, PLATFORM_SILENT, PLATFORM_LOST }) {
		platform_store_set(store, t);
		usleep(2500000);
		platform_store_lapse(store);
		EXPECT_EQ(200, call(*machines[0], "/inner/x", "").status);
		platform_store_set(store, PLATFORM_WELL);
		EXPECT_TRUE(wait(
			[&] {
				return platform_store_count(
					       store, "fulmar/nodes/") == 2;
			},
			2000))
			<< "trouble " << t;
		EXPECT_EQ(200, call(*machines[0], "/inner/x", "").status);
	}
}

/* Bounds are taken up by a signal or without one; a wrong file changes none. */
TEST_F(Hosted, ChangedBoundsAreTakenUp)
{
	serve();
	Machine &m = *machines[0];
	char path[512];
	auto write = [&](const std::string &from, const std::string &to) {
		std::string text = settings[m.id];

		text.replace(text.find(from), from.size(), to);
		EXPECT_TRUE(fleet_write_file(f, (m.id + ".toml").c_str(),
					     text.c_str(), path, sizeof(path)));
	};
	auto refused_after_ms = [&] {
		int ms = 0;

		platform_store_set(store, PLATFORM_SILENT);
		while (call(m, "/front/x").status == 200 && ms < 6000) {
			usleep(50000);
			ms += 50;
		}
		platform_store_set(store, PLATFORM_WELL);
		EXPECT_TRUE(wait(
			[&] { return call(m, "/front/x").status == 200; }));
		return ms;
	};
	EXPECT_GT(refused_after_ms(), 2500);
	write("revoke = \"5s\"", "revoke = \"2s\"");
	fleet_process_signal(m.node, SIGHUP);
	EXPECT_TRUE(wait([&] { return says(m, "reloaded"); }, 1500));
	EXPECT_LT(refused_after_ms(), 2000);
	write("revoke = \"5s\"", "revoke = \"never\"");
	EXPECT_TRUE(wait([&] { return says(m, "reload_refused"); }));
	EXPECT_LT(refused_after_ms(), 2000);
	write("name = \"n2\"", "name = \"n9\"");
	EXPECT_TRUE(wait([&] { return count(m, "reload_refused") == 2; }));
	write("revoke = \"5s\"", "revoke = \"5500ms\"");
	EXPECT_TRUE(wait([&] { return says(m, "revoke_ms=5500"); }));
	EXPECT_GT(refused_after_ms(), 2500);
}

/*
 * A key is withdrawn while the store is silent to a node. When the store is back
 * the node has proof of the newer record only, at the very first request.
 */
TEST_F(Hosted, AProofComesWithItsRecordAndNeverBefore)
{
	std::atomic<bool> stop{ false };
	std::atomic<int> ran{ 0 };
	std::vector<std::thread> callers;
	char path[512];
	int version = 1;

	serve();
	Machine &m = *machines[0];
	std::string text = settings[m.id];
	text.replace(text.find("revoke = \"5s\""), strlen("revoke = \"5s\""),
		     "revoke = \"2s\"");
	EXPECT_TRUE(fleet_write_file(f, (m.id + ".toml").c_str(), text.c_str(),
				     path, sizeof(path)));
	fleet_process_signal(m.node, SIGHUP);
	ASSERT_TRUE(wait([&] { return says(m, "revoke_ms=2000"); }));
	for (int round = 0; round < 6; round++) {
		std::string key = "k" + std::to_string(round);

		write_config(++version, "\"" + key + "\"");
		ASSERT_TRUE(wait([&] {
			return call(m, "/front/x", key).status == 200;
		}));
		platform_store_set(store, PLATFORM_SILENT);
		ASSERT_TRUE(wait([&] {
			return call(m, "/front/x", key).status == 503;
		}));
		write_config(++version, "\"none\"");
		stop = false;
		for (int i = 0; i < 16; i++)
			callers.emplace_back([&, key] {
				while (!stop)
					ran += call(m, "/front/x", key)
						       .status == 200;
			});
		platform_store_set(store, PLATFORM_WELL);
		EXPECT_TRUE(wait([&] {
			return call(m, "/front/x", key).status == 401;
		}));
		stop = true;
		for (auto &t : callers)
			t.join();
		callers.clear();
	}
	EXPECT_EQ(0, ran);
}

TEST_F(Hosted, ARateHoldsOverBothNodes)
{
	serve();
	usleep(1500000); /* the bucket fills: 100, and 100 a second */
	int ok = 0;
	int over = 0;
	auto began = std::chrono::steady_clock::now();

	for (int i = 0; i < 400; i++) {
		long s = call(*machines[i % 2], "/front/x").status;

		ok += s == 200;
		over += s == 429;
	}
	double s = std::chrono::duration<double>(
			   std::chrono::steady_clock::now() - began)
			   .count();
	EXPECT_EQ(400, ok + over);
	EXPECT_LE(ok, 100 + 100 * s + 1);
	EXPECT_GE(ok, std::min(400.0, 0.8 * (100 + 100 * s)));
}

/*
 * The owner of the bucket is killed under demand far above the rate, then its
 * record lapses. Before, between and after the others grant no more than the
 * rate; the burst was spent.
 */
TEST_F(Hosted, ARateHoldsWhileItsOwnerIsReplaced)
{
	std::atomic<bool> stop{ false };
	std::atomic<int> ok{ 0 };
	std::vector<std::thread> callers;
	std::vector<int> at; /* answered well, each 100 ms */

	size_t owner = serve_four();
	ASSERT_LT(owner, machines.size());
	for (size_t i = 0; i < machines.size(); i++) {
		if (i == owner)
			continue;
		for (int k = 0; k < 4; k++)
			callers.emplace_back([&, i] {
				while (!stop) {
					ok += call(*machines[i], "/front/x")
						      .status == 200;
					usleep(2000);
				}
			});
	}
	usleep(2500000);
	fleet_process_kill(machines[owner]->node);
	for (int i = 0; i < 85; i++) {
		if (i == 5)
			platform_store_remove(store, ("fulmar/nodes/n" +
						      std::to_string(owner + 2))
							     .c_str());
		at.push_back(ok);
		usleep(100000);
	}
	stop = true;
	for (auto &t : callers)
		t.join();
	for (size_t i = 0; i + 20 < at.size(); i++)
		EXPECT_LE(at[i + 20] - at[i], 2 * 100 * 1.1 + 20)
			<< i * 100 << " ms after the kill";
	EXPECT_GE(at[84] - at[70], 0.8 * 1.4 * 100);
}

/*
 * The owner is killed and its record stands yet. One of the three others has
 * nearly all the demand: it is served from the parts of all three.
 */
TEST_F(Hosted, PartsAreLaidTogetherWhileAnOwnerIsLost)
{
	std::atomic<bool> stop{ false };
	std::atomic<int> ok{ 0 };
	std::vector<std::thread> callers;

	size_t owner = serve_four();
	ASSERT_LT(owner, machines.size());
	size_t busy = (owner + 1) % machines.size();
	auto run = [&](size_t i, int pause_ms) {
		callers.emplace_back([&, i, pause_ms] {
			while (!stop) {
				ok += call(*machines[i], "/deep/x").status ==
				      200;
				usleep((useconds_t)pause_ms * 1000);
			}
		});
	};
	for (size_t i = 0; i < machines.size(); i++)
		if (i != owner && i != busy)
			run(i, 300);
	for (int k = 0; k < 8; k++)
		run(busy, 2);
	usleep(2500000); /* the burst is spent */
	fleet_process_kill(machines[owner]->node);
	usleep(600000);
	int before = ok;
	usleep(3000000);
	int served = ok - before;
	stop = true;
	for (auto &t : callers)
		t.join();
	EXPECT_GE(served, 0.8 * 3 * 75);
	EXPECT_LE(served, 1.1 * 3 * 75 + 20);
}

/*
 * The owner is paused for 150 ms in each 250 ms, so that many asks have no
 * answer in time though its link stands. It grants the whole rate still; what
 * the others spend besides stays within the rate's allowance.
 */
TEST_F(Hosted, ARateHoldsBesideAnOwnerThatAnswersLate)
{
	std::atomic<bool> stop{ false };
	std::atomic<int> ok{ 0 };
	std::vector<std::thread> callers;
	std::vector<std::pair<double, int>> at; /* seconds; answered well */

	size_t owner = serve_four();
	ASSERT_LT(owner, machines.size());
	for (size_t i = 0; i < machines.size(); i++)
		for (int k = 0; k < 4; k++)
			callers.emplace_back([&, i] {
				while (!stop) {
					ok += call(*machines[i], "/deep/x")
						      .status == 200;
					usleep(2000);
				}
			});
	usleep(2500000); /* the burst is spent */
	auto began = std::chrono::steady_clock::now();
	for (int i = 0; i < 24; i++) {
		std::chrono::duration<double> since =
			std::chrono::steady_clock::now() - began;
		at.emplace_back(since.count(), ok);
		fleet_process_signal(machines[owner]->node, SIGSTOP);
		usleep(150000);
		fleet_process_signal(machines[owner]->node, SIGCONT);
		usleep(100000);
	}
	stop = true;
	for (auto &t : callers)
		t.join();
	for (size_t i = 0; i + 12 < at.size(); i++)
		EXPECT_LE(at[i + 12].second - at[i].second,
			  (at[i + 12].first - at[i].first) * 100 * 1.1 + 20)
			<< at[i].first << " s after the first pause";
}

} // namespace
