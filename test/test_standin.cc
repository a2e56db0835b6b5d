/* test_standin.cc - the stand-ins and the fleet harness, without nodes */
#include <gtest/gtest.h>

#include <jansson.h>
#include <signal.h>
#include <sodium.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "standin/lib_fill.h"
#include "standin/lib_fleet.h"
#include "standin/lib_kv.h"
#include "standin/lib_serve.h"

namespace
{

struct Answer {
	long status;
	std::string body;
	std::string not_run;
	int64_t latency_us;
};

Answer Call(const char *method, const std::string &url,
	    const std::string &body = "",
	    std::vector<const char *> headers = {}, int64_t timeout_ms = 10000)
{
	struct http_request req = {};
	struct http_answer a;
	char not_run[16];

	headers.push_back(nullptr);
	req.method = method;
	req.url = url.c_str();
	req.headers = headers.data();
	req.body = body.empty() ? nullptr : body.data();
	req.body_bytes = body.size();
	req.timeout_ms = timeout_ms;
	http_call(&req, &a);
	http_answer_header(&a, "Fulmar-Not-Run", not_run, sizeof(not_run));
	Answer out = { a.status, std::string(a.body, a.body_bytes), not_run,
		       a.latency_us };
	http_answer_end(&a);
	return out;
}

/** Returns an integer field of a JSON object, -1 if it is absent. */
int64_t Number(const std::string &text, const char *field)
{
	json_t *o = json_loads(text.c_str(), 0, nullptr);
	json_t *v = json_object_get(o, field);
	int64_t n = json_is_integer(v) ? json_integer_value(v) : -1;

	json_decref(o);
	return n;
}

class Fleet : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		f = fleet_init();
		ASSERT_NE(nullptr, f);
	}
	void TearDown() override
	{
		if (HasFailure())
			fleet_print_logs(f);
		fleet_end(f);
	}
	std::string Store(const std::string &path)
	{
		char url[512];

		fleet_store_url(f, path.c_str(), url, sizeof(url));
		return url;
	}
	Answer Put(const char *key, int64_t version, const char *value,
		   int64_t lease = 0)
	{
		return Call("PUT",
			    Store(std::string("/v1/kv/") + key +
				  "?version=" + std::to_string(version)),
			    std::string("{\"value\":\"") + value +
				    "\",\"lease\":" + std::to_string(lease) +
				    "}");
	}
	/** Adds a backend server without a node. */
	struct fleet_vm *Backend(int slots, double service_ms)
	{
		struct fleet_vm_opts o = {};

		o.no_node = true;
		o.slots = slots;
		o.service_ms = service_ms;
		return fleet_add_vm(f, "orders", "d1", "r1", &o);
	}
	std::string Url(const struct fleet_vm *vm, const std::string &path)
	{
		char url[1024];

		fleet_vm_url(vm, FLEET_BACKEND, path.c_str(), url, sizeof(url));
		return url;
	}
	int64_t Stat(const struct fleet_vm *vm, const char *name)
	{
		return Number(Call("GET", Url(vm, "/ctl/stats")).body, name);
	}
	/** Waits until a statistic has a value, for about 5 s at most. */
	bool WaitStat(const struct fleet_vm *vm, const char *name, int64_t n)
	{
		for (int i = 0; i < 500 && Stat(vm, name) != n; i++)
			usleep(10000);
		return Stat(vm, name) == n;
	}
	/** Returns the execution log lines of one event. */
	std::vector<std::string> Events(const struct fleet_vm *vm,
					const std::string &event)
	{
		char *text = fleet_read_file(vm->executions_path);
		std::vector<std::string> lines;
		std::string log = text ? text : "";

		free(text);
		for (size_t begin = 0, end; begin < log.size();
		     begin = end + 1) {
			end = log.find('\n', begin);
			std::string line = log.substr(begin, end - begin);
			if (line.find("\"event\":\"" + event + "\"") !=
			    std::string::npos)
				lines.push_back(line);
		}
		return lines;
	}
	/** Runs the caller and returns the "total" of its report. */
	std::string RunCaller(std::vector<const char *> args, int *code)
	{
		args.push_back(nullptr);
		struct fleet_process *p = fleet_start(f, "caller", args.data());

		EXPECT_TRUE(fleet_process_wait(p, 30000));
		*code = fleet_process_exit_code(p);
		char *text = fleet_read_file(p->log_path);
		json_t *report = json_loads(text, 0, nullptr);
		char *total = json_dumps(json_object_get(report, "total"), 0);
		std::string out = total ? total : "";

		free(total);
		json_decref(report);
		free(text);
		return out;
	}
	struct fleet *f;
};

} // namespace

TEST(Kv, LeaseExpiresByItsClock)
{
	struct fp_manual_clock m;
	int64_t version;
	json_t *entry;

	fp_manual_clock_init(&m, 0);
	struct store *s = kv_init(&m.clock);
	int64_t lease = s->ops->lease_grant(s, 100);
	EXPECT_EQ(KV_OK, s->ops->put(s, "k", 0, "v", lease, &version));
	fp_manual_clock_advance(&m, 60000);
	EXPECT_EQ(KV_OK, s->ops->lease_renew(s, lease));
	fp_manual_clock_advance(&m, 99999);
	EXPECT_EQ(KV_OK, s->ops->get(s, "k", &entry));
	json_decref(entry);
	fp_manual_clock_advance(&m, 1);
	EXPECT_EQ(KV_NOT_FOUND, s->ops->get(s, "k", &entry));
	EXPECT_EQ(KV_NOT_FOUND, s->ops->lease_renew(s, lease));
	EXPECT_EQ(KV_NOT_FOUND, s->ops->put(s, "k", 0, "w", lease, &version));
	int64_t before = version;
	EXPECT_EQ(KV_OK, s->ops->put(s, "k", 0, "w", 0, &version));
	EXPECT_GT(version, before);
	s->ops->end(s);
}

TEST_F(Fleet, StoreComparesAndSwaps)
{
	ASSERT_TRUE(fleet_add_store(f));
	int64_t v1 = Number(Put("a/b", 0, "x").body, "version");
	EXPECT_GT(v1, 0);
	Answer conflict = Put("a/b", 0, "y");
	EXPECT_EQ(409, conflict.status);
	EXPECT_EQ(v1, Number(conflict.body, "version"));
	int64_t v2 = Number(Put("a/b", v1, "z").body, "version");
	EXPECT_GT(v2, v1);
	EXPECT_EQ(409, Call("DELETE",
			    Store("/v1/kv/a/b?version=" + std::to_string(v1)))
			       .status);
	EXPECT_EQ("{\"entries\":[{\"value\":\"z\",\"version\":" +
			  std::to_string(v2) + ",\"key\":\"a/b\"}]}",
		  Call("GET", Store("/v1/list?prefix=a/")).body);
	std::string current = Store("/v1/kv/a/b?version=" + std::to_string(v2));
	EXPECT_EQ(200, Call("DELETE", current).status);
	EXPECT_EQ(404, Call("DELETE", current).status);
	EXPECT_EQ(404, Call("GET", Store("/v1/kv/a/b")).status);
	EXPECT_GT(Number(Put("a/b", 0, "again").body, "version"), v2);
	EXPECT_EQ(3, fleet_store_count(f, "delete"));
	EXPECT_EQ(4, fleet_store_count(f, "put"));
	EXPECT_EQ(9, fleet_store_count(f, "total"));
}

TEST_F(Fleet, StoreLeaseRevocationDeletesKeys)
{
	ASSERT_TRUE(fleet_add_store(f));
	Answer a = Call("POST", Store("/v1/lease"), "{\"ttl_ms\":60000}");
	std::string id = std::to_string(Number(a.body, "lease"));
	EXPECT_EQ(200, Put("k", 0, "v", Number(a.body, "lease")).status);
	EXPECT_EQ(200, Call("POST", Store("/v1/lease/" + id)).status);
	EXPECT_EQ(200, Call("DELETE", Store("/v1/lease/" + id)).status);
	EXPECT_EQ(404, Call("GET", Store("/v1/kv/k")).status);
	EXPECT_EQ(404, Call("POST", Store("/v1/lease/" + id)).status);
}

TEST_F(Fleet, StoreLosesAnswersOfWritesThatTookEffect)
{
	ASSERT_TRUE(fleet_add_store(f));
	ASSERT_TRUE(fleet_store_control(f, "{\"lose_answers\":1}"));
	EXPECT_EQ(409, Put("k", 7, "no effect, so answered").status);
	EXPECT_EQ(0, Put("k", 0, "v").status);
	Answer a = Call("GET", Store("/v1/kv/k"));
	EXPECT_EQ(200, a.status);
	EXPECT_EQ(200, Put("k", Number(a.body, "version"), "w").status);
}

TEST_F(Fleet, StoreDownAndSlow)
{
	ASSERT_TRUE(fleet_add_store(f));
	ASSERT_TRUE(fleet_store_control(f, "{\"mode\":\"down\"}"));
	EXPECT_EQ(0, Put("k", 0, "v").status);
	ASSERT_TRUE(
		fleet_store_control(f, "{\"mode\":\"slow\",\"delay_ms\":150}"));
	Answer a = Call("GET", Store("/v1/kv/k"));
	EXPECT_EQ(404, a.status);
	EXPECT_GE(a.latency_us, 150000);
	ASSERT_TRUE(fleet_store_control(f, "{\"mode\":\"up\"}"));
	EXPECT_LT(Call("GET", Store("/v1/kv/k")).latency_us, 150000);
}

TEST_F(Fleet, StoreWakesAllWatchesOfAKey)
{
	const int watches = 300;
	std::vector<std::thread> threads;
	std::vector<Answer> answers(watches);

	ASSERT_TRUE(fleet_add_store(f));
	std::string url = Store("/v1/watch?key=k&after=0&wait_ms=20000");
	for (int i = 0; i < watches; i++)
		threads.emplace_back([&, i] {
			answers[i] = Call("GET", url, "", {}, 30000);
		});
	for (int i = 0; i < 1000 && fleet_store_count(f, "watch") < watches;
	     i++)
		usleep(10000);
	EXPECT_EQ(200, Put("k", 0, "v").status);
	for (auto &t : threads)
		t.join();
	for (auto &a : answers) {
		EXPECT_EQ(200, a.status);
		EXPECT_EQ(1, Number(a.body, "version"));
		EXPECT_LT(a.latency_us, 15000000);
	}
	EXPECT_EQ(204, Call("GET", Store("/v1/watch?key=k&after=1&wait_ms=20"))
			       .status);
	std::thread broken([&] {
		EXPECT_EQ(0, Call("GET",
				  Store("/v1/watch?key=k&after=1&wait_ms=9000"))
				     .status);
	});
	while (fleet_store_count(f, "watch") < watches + 2)
		usleep(10000);
	EXPECT_TRUE(fleet_store_control(f, "{\"mode\":\"down\"}"));
	broken.join();
}

TEST_F(Fleet, BackendNeverRunsMoreThanItsSlots)
{
	struct fleet_vm *vm = Backend(50, 20);
	int code;

	ASSERT_NE(nullptr, vm);
	std::string target = Url(vm, "");
	/* All 400 arrive within 80 ms, in which the slots start at most five
	 * rounds of requests. */
	std::string total = RunCaller({ "--targets", target.c_str(),
					"--arrivals", "uniform", "--rate",
					"5000", "--seconds", "0.0801" },
				      &code);
	EXPECT_EQ(0, code);
	EXPECT_EQ(400, Number(total, "offered")) << total;
	EXPECT_EQ(400, Number(total, "good")) << total;
	EXPECT_EQ(50, Stat(vm, "max_running"));
	EXPECT_EQ(400u, Events(vm, "start").size());
	EXPECT_EQ(400u, Events(vm, "end").size());
}

TEST_F(Fleet, BackendFollowsQueryAndControl)
{
	struct fleet_vm *vm = Backend(4, 1);
	std::string filled(3000, ' ');

	ASSERT_NE(nullptr, vm);
	EXPECT_EQ("bytes", Call("POST", Url(vm, "/a?echo=1"), "bytes").body);
	fill_body(&filled[0], filled.size(), "/a", "t1");
	EXPECT_EQ(filled, Call("GET", Url(vm, "/a?tag=t1&size=3000")).body);
	EXPECT_EQ(500, Call("GET", Url(vm, "/a?fail=1")).status);
	EXPECT_EQ(0, Call("GET", Url(vm, "/a?cut=1&size=3000")).status);
	EXPECT_GE(Call("GET", Url(vm, "/a?ms=80")).latency_us, 80000);
	size_t started = Events(vm, "start").size();
	Answer shed = Call("GET", Url(vm, "/a?shed=1"));
	EXPECT_EQ(503, shed.status);
	EXPECT_EQ("1", shed.not_run);
	EXPECT_EQ(started, Events(vm, "start").size());
	ASSERT_TRUE(fleet_backend_control(vm, "{\"slow_factor\":80}"));
	EXPECT_GE(Call("GET", Url(vm, "/a")).latency_us, 80000);
	ASSERT_TRUE(fleet_backend_control(
		vm, "{\"slow_factor\":1,\"freeze_ms\":200}"));
	EXPECT_GE(Call("GET", Url(vm, "/a")).latency_us, 150000);
	ASSERT_TRUE(fleet_backend_control(vm, "{\"fail_all\":true}"));
	EXPECT_EQ(500, Call("GET", Url(vm, "/a")).status);
	EXPECT_EQ(503, Call("GET", Url(vm, "/health")).status);
	ASSERT_TRUE(fleet_backend_control(vm, "{\"health_lies\":true}"));
	EXPECT_EQ(200, Call("GET", Url(vm, "/health")).status);
}

TEST_F(Fleet, BackendCrashesAndRestartsWithNewInstance)
{
	struct fleet_vm *vm = Backend(4, 1);

	ASSERT_NE(nullptr, vm);
	std::string before = Call("GET", Url(vm, "/ctl/stats")).body;
	EXPECT_EQ(0, Call("GET", Url(vm, "/a?crash=1")).status);
	EXPECT_TRUE(fleet_process_wait(&vm->backend, 5000));
	EXPECT_EQ(1, fleet_process_exit_code(&vm->backend));
	EXPECT_EQ(1u, Events(vm, "start").size());
	EXPECT_EQ(0u, Events(vm, "end").size());
	ASSERT_TRUE(fleet_restart_backend(vm));
	EXPECT_EQ(200, Call("GET", Url(vm, "/a")).status);
	json_t *a = json_loads(before.c_str(), 0, nullptr);
	EXPECT_EQ(std::string::npos,
		  Call("GET", Url(vm, "/ctl/stats"))
			  .body.find(json_string_value(
				  json_object_get(a, "instance"))));
	json_decref(a);
}

TEST_F(Fleet, BackendAbandonsCancelledAndClosedRequests)
{
	struct fleet_vm *vm = Backend(1, 1);

	ASSERT_NE(nullptr, vm);
	std::thread runner([&] {
		Answer a = Call("POST", Url(vm, "/run?ms=20000"), "text",
				{ "Fulmar-Call: c1", "Fulmar-Org: parish",
				  "Idempotency-Key: k1" },
				15000);
		EXPECT_EQ(0, a.status);
		EXPECT_LT(a.latency_us, 10000000);
	});
	EXPECT_TRUE(WaitStat(vm, "running", 1));
	EXPECT_EQ(0, Call("GET", Url(vm, "/waits"), "", {}, 200).status);
	EXPECT_TRUE(WaitStat(vm, "waiting", 0));
	EXPECT_EQ(200, Call("POST", Url(vm, "/fulmar/cancel"), "",
			    { "Fulmar-Call: c1" })
			       .status);
	runner.join();
	EXPECT_TRUE(WaitStat(vm, "running", 0));
	EXPECT_EQ(1u, Events(vm, "start").size());
	EXPECT_EQ(1u, Events(vm, "dropped").size());
	ASSERT_EQ(1u, Events(vm, "cancelled").size());
	std::string line = Events(vm, "cancelled")[0];
	for (const char *part :
	     { "\"call\":\"c1\"", "\"org\":\"parish\"",
	       "\"idempotency_key\":\"k1\"", "\"Fulmar-Org\":\"parish\"",
	       "\"method\":\"POST\"", "\"path\":\"/run\"",
	       "\"body\":\"text\"" })
		EXPECT_NE(std::string::npos, line.find(part)) << line;
}

/** Simulates the node of a backend server and records its requests. */
struct FakeNode {
	std::mutex lock;
	std::vector<std::string> seen;
	unsigned int status = 200;

	static enum MHD_Result Handle(struct serve_request *r, void *arg)
	{
		FakeNode *n = static_cast<FakeNode *>(arg);
		std::lock_guard<std::mutex> hold(n->lock);

		n->seen.push_back(std::string(r->method) + " " + r->path +
				  " call=" + serve_header(r, "Fulmar-Call") +
				  " nest=" + serve_query(r, "nest") + " " +
				  r->body);
		return serve_bytes(r, n->status, "nested\n", 7, nullptr,
				   nullptr);
	}
	int Count(const std::string &part)
	{
		std::lock_guard<std::mutex> hold(lock);
		int n = 0;

		for (auto &s : seen)
			n += s.find(part) != std::string::npos;
		return n;
	}
};

TEST_F(Fleet, BackendNestsAnnouncesAndDrains)
{
	struct fleet_vm *vm = Backend(4, 1);
	FakeNode node;

	ASSERT_NE(nullptr, vm);
	std::string listen =
		std::string(vm->address) + ":" + std::to_string(FLEET_LOCAL);
	struct server *server =
		serve_init(listen.c_str(), FakeNode::Handle, &node);
	ASSERT_NE(nullptr, server);
	std::string url = Url(vm, "/a?tag=t&nest=POST:/b/y%3E/c%3Fx=1%3E/d");
	Answer a = Call("POST", url, "hello", { "Fulmar-Call: c9" });
	EXPECT_EQ(200, a.status);
	EXPECT_NE(std::string::npos, a.body.find("path=/a tag=t\nnested\n"));
	EXPECT_EQ(1, node.Count("POST /b/y call=c9 nest=/c?x=1>/d hello"));
	node.status = 503;
	EXPECT_EQ(502,
		  Call("GET", Url(vm, "/a?nest=/f&nest_retries=2")).status);
	EXPECT_EQ(3, node.Count("GET /f "));
	node.status = 200;
	EXPECT_EQ(0, node.Count("announce"));
	ASSERT_TRUE(fleet_backend_control(vm, "{\"announce\":true}"));
	for (int i = 0; i < 300 && node.Count("serving") < 3; i++)
		usleep(10000);
	EXPECT_GE(node.Count("\"port\":9000,\"slots\":4,\"instance\":\""), 3);
	std::thread runner([&] {
		EXPECT_EQ(200, Call("GET", Url(vm, "/a?ms=1500")).status);
	});
	EXPECT_TRUE(WaitStat(vm, "running", 1));
	fleet_process_signal(&vm->backend, SIGTERM);
	runner.join();
	EXPECT_TRUE(fleet_process_wait(&vm->backend, 5000));
	EXPECT_EQ(0, fleet_process_exit_code(&vm->backend));
	EXPECT_GE(node.Count("\"state\":\"leaving\""), 2);
	serve_end(server);
}

TEST_F(Fleet, CallerCountsWhatTheBackendRan)
{
	struct fleet_vm *vm = Backend(10, 1);
	char mix[FLEET_PATH_BYTES];
	int code;

	ASSERT_NE(nullptr, vm);
	ASSERT_TRUE(fleet_write_file(
		f, "mix.json",
		"[{\"weight\":1,\"path\":\"/a?size=200\",\"org\":\"o1\"},"
		"{\"weight\":1,\"method\":\"POST\",\"path\":\"/b?echo=1\","
		"\"body\":\"lilies\",\"org\":\"o2\",\"idempotency\":true},"
		"{\"weight\":0,\"path\":\"/never\"}]",
		mix, sizeof(mix)));
	std::string target = Url(vm, "");
	std::string out = std::string(f->dir) + "/out.csv";
	std::string total = RunCaller({ "--targets", target.c_str(), "--mix",
					mix, "--phase", "200:0.5,400:0.5",
					"--seed", "7", "--out", out.c_str() },
				      &code);
	int64_t offered = Number(total, "offered");
	EXPECT_EQ(0, code);
	EXPECT_GT(offered, 150);
	EXPECT_EQ(offered, Number(total, "good")) << total;
	EXPECT_EQ((size_t)offered, Events(vm, "start").size());
	char *csv = fleet_read_file(out.c_str());
	std::string rows = csv;
	free(csv);
	EXPECT_EQ(offered + 1, std::count(rows.begin(), rows.end(), '\n'));
	EXPECT_EQ(std::string::npos, rows.find("/never"));
	ASSERT_TRUE(fleet_backend_control(vm, "{\"fail_all\":true}"));
	total = RunCaller({ "--targets", target.c_str(), "--rate", "50",
			    "--arrivals", "uniform", "--seconds", "0.41",
			    "--retries", "2", "--retry-delay-ms", "5" },
			  &code);
	EXPECT_EQ(20, Number(total, "offered")) << total;
	EXPECT_EQ(0, Number(total, "good"));
	EXPECT_EQ(60, Number(total, "attempts"));
	EXPECT_EQ((size_t)offered + 60, Events(vm, "start").size());
}

TEST_F(Fleet, CallerSendsToLoopbackOnly)
{
	int code;

	for (const char *target :
	     { "http://10.1.2.3:80", "http://127.0.0.1:80@h:80",
	       "http://127.0.0.1.h:80", "https://127.0.0.1:80" }) {
		RunCaller({ "--targets", target }, &code);
		EXPECT_EQ(2, code) << target;
	}
}

TEST_F(Fleet, FleetEndKillsProcessesAndRemovesFolder)
{
	uint8_t hash[crypto_generichash_BYTES];
	char hex[sizeof(hash) * 2 + 1];
	struct fleet *other = fleet_init();
	struct fleet_vm *vm = Backend(1, 1);

	ASSERT_NE(nullptr, vm);
	ASSERT_TRUE(fleet_add_store(f));
	ASSERT_TRUE(fleet_add_store(other));
	pid_t pid = other->store.pid;
	std::string dir = other->dir;
	EXPECT_STRNE(f->store_address, other->store_address);
	fleet_end(other);
	EXPECT_EQ(-1, kill(pid, 0));
	EXPECT_EQ(-1, access(dir.c_str(), F_OK));
	fleet_process_signal(&f->store, SIGSTOP);
	EXPECT_EQ(0, Call("GET", Store("/v1/kv/k"), "", {}, 200).status);
	fleet_process_signal(&f->store, SIGCONT);
	EXPECT_EQ(404, Call("GET", Store("/v1/kv/k")).status);
	fleet_process_kill(&f->store);
	EXPECT_FALSE(fleet_process_is_running(&f->store));
	char *settings = fleet_read_file(vm->settings_path);
	crypto_generichash(hash, sizeof(hash), (uint8_t *)f->operator_key,
			   strlen(f->operator_key), nullptr, 0);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	EXPECT_NE(nullptr, strstr(settings, hex));
	free(settings);
}
