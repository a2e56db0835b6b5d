/* e2e_faults.h - fixture of the end-to-end tests of the fault matrix */
#ifndef TEST_E2E_FAULTS_H
#define TEST_E2E_FAULTS_H

#include <algorithm>
#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

#include "base/clock.h"
#include "e2e_fleet.h"

/* Longest time in which a change of keys or configuration must reach all nodes,
 * and in which a node must detect that it is isolated. */
#define PROPAGATION_BOUND_MS 5000

static inline int64_t now_us()
{
	return fp_mono_us(fp_system_clock());
}

/* A request and its answer, as seen by the caller. */
struct Exchange {
	int64_t sent_us, answered_us;
	long status; /* 0: no complete answer arrived */
	std::string outcome, reason; /* "" if absent */
};

/* Start of an execution, from the log of a backend server. */
struct ExecutionStart {
	int64_t t_us;
	std::string org, key; /* key: Idempotency-Key */
};

class Faults : public E2eFleet
{
      protected:
	/* Starts a fleet with a VM of each service, applies the declarations,
	 * makes a key of "parish" and waits until all nodes serve. */
	void start_serving(
		const std::vector<std::string> &services = { "rota", "order",
							     "rota", "order" },
		const std::string &text = DECLARATIONS)
	{
		start(services);
		declare(text);
		make_key("parish");
		for (int v = 0; v < f->n_vms; v++)
			wait_serving(v, "/rota/week", keys["parish"]);
	}

	/* Like call(), with a timeout; id is the Idempotency-Key, "" for none.
	 * Records when the request was sent and answered. */
	Exchange send(int vm, const char *method, const std::string &path,
		      const std::string &key, const std::string &id = "",
		      int64_t timeout_ms = 3500)
	{
		std::string u = url(vm, path);
		std::string bearer = "Authorization: Bearer " + key;
		std::string id_header = "Idempotency-Key: " + id;
		const char *h[] = { bearer.c_str(),
				    id.empty() ? nullptr : id_header.c_str(),
				    nullptr };
		struct http_request q = {};
		struct http_answer a;
		char text[128];
		Exchange s;

		q.method = method;
		q.url = u.c_str();
		q.headers = h;
		q.timeout_ms = timeout_ms;
		s.sent_us = now_us();
		s.status = http_call(&q, &a);
		s.answered_us = now_us();
		http_answer_header(&a, "Fulmar-Outcome", text, sizeof(text));
		s.outcome = text;
		http_answer_header(&a, "Fulmar-Reason", text, sizeof(text));
		s.reason = text;
		http_answer_end(&a);
		return s;
	}

	/* The executions that a VM's backend server has started. */
	std::vector<ExecutionStart> starts(int vm)
	{
		std::string all = executions(vm);
		std::vector<ExecutionStart> found;
		size_t at = 0, end;

		for (; (end = all.find('\n', at)) != std::string::npos;
		     at = end + 1) {
			json_t *j = json_loadb(all.data() + at, end - at, 0,
					       nullptr);
			auto text = [j](const char *name) {
				const char *s = json_string_value(
					json_object_get(j, name));
				return std::string(s ? s : "");
			};

			if (text("event") == "start")
				found.push_back(
					{ json_integer_value(
						  json_object_get(j, "t_us")),
					  text("org"),
					  text("idempotency_key") });
			json_decref(j);
		}
		return found;
	}

	/* Withdraws the fleet's first key through this VM's node. */
	void withdraw(int vm)
	{
		json_t *j =
			json_loads(cli("key list --json").c_str(), 0, nullptr);
		const char *id = json_string_value(json_object_get(
			json_array_get(json_object_get(j, "keys"), 0), "id"));
		int rc = -1;

		ASSERT_NE(nullptr, id);
		std::string out =
			cli(std::string("key withdraw ") + id, &rc, vm);
		json_decref(j);
		ASSERT_EQ(0, rc) << out;
	}

	/* Milliseconds from since_us until the node refuses the key of
	 * "parish"; -1 if it does not within PROPAGATION_BOUND_MS. */
	int64_t refused_after(int vm, int64_t since_us)
	{
		Exchange s;

		if (!wait_until(
			    [&] {
				    s = send(vm, "GET", "/rota/week",
					     keys["parish"]);
				    return s.reason == "key-unknown";
			    },
			    PROPAGATION_BOUND_MS)) {
			printf("vm %d: %ld %s\n", vm, s.status,
			       s.reason.c_str());
			return -1;
		}
		return (now_us() - since_us) / 1000;
	}

	/* Restarts a node with a store address at which no store listens, and
	 * with VM 0 as its seed, so that it still finds the other nodes. */
	void cut_from_store(int vm)
	{
		struct fleet_vm *m = f->vms[vm];
		char *text = fleet_read_file(m->settings_path);
		std::string s = text;
		std::string store =
			std::string("url = \"http://") + f->store_address;
		size_t at = s.find(store);

		free(text);
		ASSERT_NE(std::string::npos, at);
		s.replace(at, store.size(), "url = \"http://127.0.0.1");
		at = s.find("[fleet]\n");
		s.insert(at + 8,
			 std::string("seeds = [\"") + f->vms[0]->address + ":" +
				 std::to_string(FLEET_CONTROL) + "\"]\n");
		FILE *out = fopen(m->settings_path, "w");
		ASSERT_NE(nullptr, out);
		fputs(s.c_str(), out);
		fclose(out);
		fleet_process_kill(&m->node);
		ASSERT_TRUE(fleet_restart_node(m));
	}

	/* The revision of the configuration in force at a node. */
	int64_t revision(int vm)
	{
		return metric(vm, "fulmar_config_revision");
	}

	/* Whether that revision is in force at all nodes. */
	bool all_at(int64_t r)
	{
		for (int v = 0; v < f->n_vms; v++)
			if (revision(v) != r)
				return false;
		return true;
	}

	/* Writes a declarations file with one more organisation; returns its
	 * path. */
	std::string variant(const std::string &name)
	{
		char path[FLEET_PATH_BYTES];
		std::string text = std::string(DECLARATIONS) +
				   "\n[[organisation]]\nname = \"" + name +
				   "\"\nrate_per_s = 7\nburst = 9\n";

		EXPECT_TRUE(fleet_write_file(f, (name + ".toml").c_str(),
					     text.c_str(), path, sizeof(path)));
		return path;
	}

	/* Sets or clears faults of the store stand-in. */
	void set_store_faults(const char *json)
	{
		ASSERT_TRUE(fleet_store_control(f, json));
	}

	/* VMs whose nodes are the primary of some slice. */
	std::vector<int> owners()
	{
		std::vector<int> found;

		for (int v = 0; v < f->n_vms; v++)
			if (metric(v, "fulmar_slices_primary") > 0)
				found.push_back(v);
		return found;
	}

	/* Sets the store to mode "down", pauses three of four nodes until the
	 * fourth refuses a request as isolated, and resumes the three. The
	 * store stays down. */
	void outage_with_most_paused()
	{
		start_serving();
		set_store_faults("{\"mode\": \"down\"}");
		/* Longer than the age of the last store contact at which a node
		 * without reachable members counts as isolated. */
		usleep(4000000);
		for (int v = 0; v < 4; v++) {
			Exchange s =
				send(v, "GET", "/rota/week", keys["parish"]);

			EXPECT_EQ(200, s.status) << v << " " << s.reason;
		}
		for (int v = 1; v < 4; v++)
			fleet_process_signal(&f->vms[v]->node, SIGSTOP);
		Exchange s;
		EXPECT_TRUE(wait_until(
			[&] {
				s = send(0, "GET", "/rota/week",
					 keys["parish"]);
				return s.reason == "isolated";
			},
			PROPAGATION_BOUND_MS))
			<< s.status << " " << s.reason;
		EXPECT_EQ("not-run", s.outcome);
		for (int v = 1; v < 4; v++)
			fleet_process_signal(&f->vms[v]->node, SIGCONT);
	}
};

#endif
