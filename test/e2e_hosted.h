/*
 * e2e_hosted.h - fixture: real hosted nodes with a simulated platform
 *
 * By default two nodes run, one beside a server of service "front" and one
 * beside a server of "deep"; tests add more machines as they need. Each node
 * reaches the store through an address of its own, whose faults can be set
 * separately.
 */
#ifndef FP_TEST_E2E_HOSTED_H
#define FP_TEST_E2E_HOSTED_H

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

namespace hosted
{

/* Answer to a request. Empty strings: header absent. */
struct Result {
	long status = 0; /* 0: no complete answer arrived */
	std::string body, signature, outcome, retry_after;
	int64_t latency_us = 0;
};

/* One machine: a node and the server beside it. */
struct Machine {
	std::string ip, service, id;
	struct fleet_process *node = nullptr;
	struct platform_server *server = nullptr;
	/* the address at which only this node reaches the store */
	struct platform_endpoint *store_endpoint = nullptr;
	/* base URL of the node's HTTP port; IP:PORT to which the server
	 * announces itself */
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
		announcing = false;
		if (announcer.joinable())
			announcer.join();
		for (auto &m : machines) {
			platform_server_end(m->server);
			platform_endpoint_end(m->store_endpoint);
		}
		platform_store_end(store);
		fleet_end(f);
	}

	/* Starts a machine. Its server runs each request for run_ms and sends a
	 * nested request to nested_host if that is given. It is announced only
	 * after start_announcing(). */
	Machine &add(const std::string &service, int run_ms = 5,
		     bool close_without_answer = false,
		     const char *nested_host = nullptr)
	{
		auto m = std::make_unique<Machine>();
		int n = (int)machines.size() + 2;
		char path[512];

		m->ip = net + std::to_string(n);
		m->service = service;
		m->id = "i-" + std::to_string(n);
		m->outbound = "http://" + m->ip + ":8001";
		m->control = m->ip + ":8003";
		std::string store_address =
			net + "1:" + std::to_string(8500 + n);
		m->store_endpoint =
			platform_endpoint_init(store, store_address.c_str());
		EXPECT_NE(nullptr, m->store_endpoint);
		std::string text =
			"[node]\nname = \"n" + std::to_string(n) +
			"\"\naddress = \"" + m->ip +
			"\"\nfailure_domain = \"d" +
			std::to_string(n % n_domains) +
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
			store_address +
			"\"\n"
			"timeout_ms = 500\n[bounds]\nrevoke = \"5s\"\n"
			"grace = \"" +
			grace +
			"\"\nretry_ratio = \"0.2\"\n"
			"retry_floor = 50\n"
			"[limits]\n" +
			limits;
		settings[m->id] = text;
		EXPECT_TRUE(fleet_write_file(f, (m->id + ".toml").c_str(),
					     text.c_str(), path, sizeof(path)));
		const char *args[] = { "node", "--settings", path, nullptr };
		m->node = fleet_start(f, "fulmarpass", args);
		EXPECT_NE(nullptr, m->node);
		start_server(*m, run_ms, close_without_answer, nested_host);
		machines.push_back(std::move(m));
		return *machines.back();
	}

	void start_server(Machine &m, int run_ms, bool close_without_answer,
			  const char *nested_host)
	{
		struct platform_server_opts o = {};

		texts.push_back(m.ip + ":9000");
		o.address = texts.back().c_str();
		o.control = m.control.c_str();
		o.service = m.service.c_str();
		o.id = m.id.c_str();
		o.born_ms = 1000;
		o.run_ms = run_ms;
		o.close_without_answer = close_without_answer;
		o.refusal_load = refusal_load;
		o.endless_path = "/endless";
		o.on_run = on_run;
		o.on_run_arg = this;
		o.slow_path = "/slow";
		o.slow_ms = slow_ms;
		o.large_path = "/large";
		o.large_bytes = answer_bytes;
		if (nested_host) {
			texts.push_back(m.outbound + "/inner/x");
			o.nested_url = texts.back().c_str();
			o.nested_host = nested_host;
		}
		m.server = platform_server_init(&o);
		EXPECT_NE(nullptr, m.server);
	}

	/* Returns a configuration record with version "r<version>". keys: the
	 * API keys of t1, its only organisation, as JSON strings separated by
	 * commas. */
	std::string config(int version, const std::string &keys = "\"k1\"",
			   const std::string &services = "")
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
		       "},\"services\":{" + services +
		       "},\"limits\":{},\"tenants\":{\"t1\":{"
		       "\"apiKeys\":[" +
		       keys + "],\"priority\":1" + rate + "}}}";
	}

	void write_config(int version, const std::string &keys = "\"k1\"")
	{
		platform_store_write(store, "op/config",
				     config(version, keys).c_str());
	}

	/* Starts a thread that announces all servers every 300 ms, except those
	 * in announce_stopped. */
	void start_announcing()
	{
		announcer = std::thread([this] {
			while (announcing) {
				for (size_t i = 0; i < machines.size(); i++)
					if (!announce_stopped[machines[i]->id])
						platform_server_announce(
							machines[i]->server,
							"ready");
				usleep(300000);
			}
		});
	}

	static bool has_request_id(const std::vector<std::string> &headers)
	{
		for (auto &h : headers)
			if (h.rfind("Fulmarpass-Request-Id:", 0) == 0)
				return true;
		return false;
	}

	/* Sends a request to a machine's node: POST if the path begins with
	 * /order, GET otherwise. */
	Result call(Machine &m, const std::string &path,
		    const std::string &key = "k1",
		    std::vector<std::string> extra_headers = {})
	{
		static std::atomic<int> n{ 0 };
		std::vector<const char *> headers;
		std::string url = m.outbound + path;
		struct http_request req = {};
		struct http_answer a;
		char text[256];
		Result r;

		extra_headers.push_back("Host: h.example");
		extra_headers.push_back("Fulmarpass-Deadline-Ms: 3000");
		if (!has_request_id(extra_headers))
			extra_headers.push_back("Fulmarpass-Request-Id: req" +
						std::to_string(++n));
		if (!key.empty())
			extra_headers.push_back("Fulmarpass-Key: " + key);
		for (auto &h : extra_headers)
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

	/* The status of a node's /ready; 0 if it does not answer. */
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

	/* Polls a condition for up to ms; returns whether it holds. */
	static bool wait(const std::function<bool()> &done, int ms = 5000)
	{
		for (int i = 0; i < ms / 5; i++) {
			if (done())
				return true;
			usleep(5000);
		}
		return done();
	}

	/* Starts a machine of "front" and one of "deep" and waits until they
	 * serve. With close_without_answer the server of "deep" runs requests
	 * but never answers, so only readiness is awaited. */
	void serve(bool close_without_answer = false, int run_ms = 5)
	{
		write_config(1);
		add("front");
		add("deep", run_ms, close_without_answer);
		start_announcing();
		ASSERT_TRUE(wait([&] {
			return ready(*machines[0]) == 200 &&
			       ready(*machines[1]) == 200;
		}));
		if (!close_without_answer) {
			ASSERT_TRUE(wait([&] {
				return call(*machines[0], "/deep/x").status ==
				       200;
			}));
		}
	}

	/* Number of occurrences of a text in a node's log. */
	static int count(Machine &m, const char *what)
	{
		char *log = fleet_read_file(m.node->log_path);
		int n = 0;

		for (char *at = log; at && (at = strstr(at, what)); at++)
			n++;
		free(log);
		return n;
	}

	/* Index of the machine whose node owns the bucket; the number of
	 * machines if there is none. */
	size_t bucket_owner()
	{
		size_t i = 0;

		while (i < machines.size() &&
		       count(*machines[i], "event=bucket_owned") ==
			       count(*machines[i], "event=bucket_released"))
			i++;
		return i;
	}

	/* Starts four machines and waits until each has all members; returns
	 * the index of the bucket's owner. */
	size_t start_four()
	{
		write_config(1);
		for (const char *service :
		     { "front", "front", "front", "deep" })
			add(service);
		start_announcing();
		for (auto &m : machines)
			EXPECT_TRUE(wait([&] { return ready(*m) == 200; }));
		usleep(1500000); /* all member tables are complete */
		return bucket_owner();
	}

	static bool log_has(Machine &m, const char *what)
	{
		return count(m, what) > 0;
	}

	/* A header of the request that a machine's server ran last. */
	std::string last(Machine &m, const char *name)
	{
		char text[8192];

		platform_server_last_header(m.server, name, text, sizeof(text));
		return text;
	}

	struct fleet *f = nullptr;
	struct platform_store *store = nullptr;
	std::string net; /* first three bytes of all addresses, with a dot */
	/* load that servers started from now on report when they refuse each
	 * request; null: they refuse none */
	const char *refusal_load = nullptr;
	int n_domains = 2; /* failure domains */
	/* settings [limits] of later nodes */
	std::string limits = "max_body_bytes = 67108864\n";
	/* called by later servers as they begin to run a request, with the
	 * fixture; may be null */
	void (*on_run)(void *fixture, const char *request_id) = nullptr;
	int slow_ms = 0; /* runs of a path with /slow at later servers */
	int answer_bytes = 0; /* of a path with /large at later servers */
	std::string grace = "6s"; /* setting bounds.grace of later nodes */
	/* of the organisation; "": no limit */
	std::string rate = ",\"ratePerS\":100,\"burst\":100";
	std::vector<std::unique_ptr<Machine>> machines;
	std::list<std::string> texts; /* strings that server options point to */
	std::map<std::string, std::string> settings; /* TOML by server id */
	std::map<std::string, std::atomic<bool>> announce_stopped;
	std::atomic<bool> announcing{ true };
	std::thread announcer;
};

} // namespace hosted

#endif
