/* e2e_fleet.h - fixture of end-to-end tests: a small fleet of real processes */
#ifndef TEST_E2E_FLEET_H
#define TEST_E2E_FLEET_H

#include <gtest/gtest.h>
#include <jansson.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/clock.h"
#include "standin/lib_fleet.h"
#include "standin/lib_http.h"

/* Four services, as in the Maua Rota deployment. /rota, /stock and /order need
 * a key, /notice does not; /order is not idempotent. */
static const char *const DECLARATIONS = R"(
[[organisation]]
name = "parish"
rate_per_s = 500
burst = 500

[[organisation]]
name = "grower"
rate_per_s = 500
burst = 500

[[organisation]]
name = "small"
rate_per_s = 5
burst = 10

[[route]]
name = "lookup"
method = "GET"
prefix = "/rota"
service = "rota"
class = "normal"
idempotent = true
deadline_ms = 2000

[[route]]
name = "stock"
method = "GET"
prefix = "/stock"
service = "stock"
class = "normal"
idempotent = true
deadline_ms = 2000

[[route]]
name = "notice"
method = "GET"
prefix = "/notice"
service = "notice"
class = "sheddable"
idempotent = true
open = true
deadline_ms = 2000

[[route]]
name = "funeral"
method = "POST"
prefix = "/order"
service = "order"
class = "important"
idempotent = false
deadline_ms = 3000

[[route]]
name = "echo"
method = "POST"
prefix = "/rota/echo"
service = "rota"
class = "normal"
idempotent = true
deadline_ms = 2000
)";

/* Polls a condition for up to ms; returns whether it holds. */
static inline bool wait_until(const std::function<bool()> &cond, int ms)
{
	const int64_t end_us = fp_mono_us(fp_system_clock()) + ms * 1000;

	while (fp_mono_us(fp_system_clock()) < end_us) {
		if (cond())
			return true;
		usleep(10000);
	}
	return cond();
}

/* Answer of a node. Empty strings: header absent, or no error. */
struct Answer {
	long status = 0; /* 0: no complete answer arrived; see error */
	std::string body, headers, outcome, reason, error;
	int64_t latency_us = 0;
};

class E2eFleet : public ::testing::Test
{
      protected:
	struct fleet *f = nullptr;
	std::map<std::string, std::string> keys; /* API key by organisation */

	/* Starts the store, and for each service a VM with a node and a backend
	 * server. The VMs are in four failure domains in turn. */
	void start(const std::vector<std::string> &services,
		   const struct fleet_vm_opts *opts = nullptr)
	{
		static const char *const domains[] = { "dar-a", "dar-b",
						       "dar-c", "dar-d" };

		f = fleet_init();
		require(f, "the fleet's directory");
		require(fleet_add_store(f), "the store");
		for (size_t i = 0; i < services.size(); i++)
			require(fleet_add_vm(f, services[i].c_str(),
					     domains[i % 4], "tz", opts),
				"a VM");
	}

	/* Ends the test, whichever function it is in: without its fleet the rest
	 * would fail for other reasons, or crash. */
	static void require(bool started, const char *what)
	{
		if (!started)
			throw std::runtime_error(std::string(what) +
						 " did not start");
	}

	/* Applies declarations and waits until all nodes see all workers. */
	void declare(const std::string &text = DECLARATIONS)
	{
		char path[FLEET_PATH_BYTES];

		ASSERT_TRUE(fleet_write_file(f, "fleet.toml", text.c_str(),
					     path, sizeof(path)));
		ASSERT_EQ(0, fleet_apply(f, f->vms[0], path));
		wait_members();
	}

	/* Runs an operator's command against a node; returns its output. */
	std::string cli(const std::string &args, int *rc = nullptr, int vm = 0)
	{
		char admin[64];
		std::string out;
		char buf[4096];
		size_t n;

		snprintf(admin, sizeof(admin), "%s:%d", f->vms[vm]->address,
			 FLEET_ADMIN);
		std::string cmd = std::string(f->build) + "/fulmarpass " +
				  args + " --node " + admin +
				  " --operator-key-file " +
				  f->operator_key_path + " 2>&1";
		FILE *p = popen(cmd.c_str(), "r");
		while ((n = fread(buf, 1, sizeof(buf), p)) > 0)
			out.append(buf, n);
		int st = pclose(p);
		if (rc)
			*rc = WEXITSTATUS(st);
		return out;
	}

	/* Creates a key of an organisation and adds it to keys. */
	void make_key(const std::string &org)
	{
		int rc = 0;
		std::string out = cli("key create " + org + " --json", &rc);
		json_t *j = json_loads(out.c_str(), 0, nullptr);
		const char *key = json_string_value(json_object_get(j, "key"));

		ASSERT_EQ(0, rc) << out;
		ASSERT_NE(nullptr, key) << out;
		keys[org] = key;
		json_decref(j);
	}

	std::string url(int vm, const std::string &path,
			enum fleet_port port = FLEET_HTTP)
	{
		char u[2048];

		fleet_vm_url(f->vms[vm], port, path.c_str(), u, sizeof(u));
		return u;
	}

	/* Sends a request to a VM and waits for the answer; key "": none. */
	Answer call(int vm, const std::string &method, const std::string &path,
		    const std::string &key, const std::string &body = "",
		    std::vector<std::string> headers = {},
		    enum fleet_port port = FLEET_HTTP)
	{
		std::vector<const char *> h;
		std::string u = url(vm, path, port);
		struct http_request q = {};
		struct http_answer a;
		char text[128];
		Answer r;

		if (!key.empty())
			headers.push_back("Authorization: Bearer " + key);
		for (const auto &line : headers)
			h.push_back(line.c_str());
		h.push_back(nullptr);
		q.method = method.c_str();
		q.url = u.c_str();
		q.headers = h.data();
		q.body = body.data();
		q.body_bytes = body.size();
		r.status = http_call(&q, &a);
		r.error = a.error;
		r.latency_us = a.latency_us;
		if (a.body)
			r.body.assign(a.body, a.body_bytes);
		if (a.headers)
			r.headers = a.headers;
		if (http_answer_header(&a, "Fulmar-Outcome", text,
				       sizeof(text)))
			r.outcome = text;
		if (http_answer_header(&a, "Fulmar-Reason", text, sizeof(text)))
			r.reason = text;
		http_answer_end(&a);
		return r;
	}

	/* Waits until every node counts every worker as serving. */
	void wait_members()
	{
		for (int v = 0; v < f->n_vms; v++)
			ASSERT_TRUE(wait_until(
				[&] {
					return metric(v, "fulmar_workers_"
							 "serving") == f->n_vms;
				},
				10000))
				<< v;
	}

	/* Waits until the VM's node answers a request with 200. */
	void wait_serving(int vm, const std::string &path,
			  const std::string &key)
	{
		Answer a;

		ASSERT_TRUE(wait_until(
			[&] {
				a = call(vm, "GET", path, key);
				return a.status == 200;
			},
			10000))
			<< a.status << " " << a.reason << " " << a.error;
	}

	/* Value of a series of a node's /metrics; -1 if it is absent. */
	int64_t metric(int vm, const std::string &series)
	{
		Answer a = call(vm, "GET", "/metrics", "", "", {}, FLEET_ADMIN);
		size_t at = a.body.find("\n" + series + " ");

		if (a.body.compare(0, series.size() + 1, series + " ") == 0)
			return atoll(a.body.c_str() + series.size() + 1);
		if (at == std::string::npos)
			return -1;
		return atoll(a.body.c_str() + at + series.size() + 2);
	}

	/* Sum of a series over all running nodes. */
	int64_t sum(const std::string &series)
	{
		int64_t n = 0;

		for (int v = 0; v < f->n_vms; v++)
			if (fleet_process_is_running(&f->vms[v]->node))
				n += metric(v, series);
		return n;
	}

	/* Waits until each of the 64 slices has a primary and a backup; returns
	 * the milliseconds waited, or -1 if that takes longer than ms. */
	int64_t wait_paired(int ms)
	{
		int64_t waited = 0;

		while (waited < ms) {
			if (sum("fulmar_slices_primary") == 64 &&
			    sum("fulmar_slices_backup") == 64)
				return waited;
			usleep(20000);
			waited += 20;
		}
		return -1;
	}

	/* The execution log of a VM's backend server, JSON lines. */
	std::string executions(int vm)
	{
		char *text = fleet_read_file(f->vms[vm]->executions_path);
		std::string s = text ? text : "";

		free(text);
		return s;
	}

	/* Started executions whose log line contains the text, over all VMs. */
	int count_starts(const std::string &text)
	{
		int n = 0;

		for (int v = 0; v < f->n_vms; v++) {
			std::string all = executions(v);
			size_t at = 0;

			while (at < all.size()) {
				size_t end = all.find('\n', at);
				std::string line = all.substr(at, end - at);

				if (line.find("\"start\"") !=
					    std::string::npos &&
				    line.find(text) != std::string::npos)
					n++;
				at = end == std::string::npos ? all.size() :
								end + 1;
			}
		}
		return n;
	}

	void TearDown() override
	{
		if (HasFailure() && f)
			fleet_print_logs(f);
		if (f)
			fleet_end(f);
	}
};

#endif
