/*
 * test_e2e_soak.cc - real nodes under random series of planned stops, kills,
 * changes of the configuration, and returns of the store from older copies
 *
 * Clients send on connections that they keep until the node closes them, also
 * while it stops. What they were answered and what the servers have run is
 * compared with the promises in the end. FP_SEED plays one seed, FP_SEEDS sets
 * their number, FP_SOAK_NODES the number of nodes.
 */
#include "e2e_hosted.h"

#include <sys/time.h>

#include <algorithm>
#include <deque>
#include <mutex>
#include <random>

namespace
{

using hosted::Hosted;
using hosted::Machine;

const int64_t S = 1000000;
const size_t POOL = 24; /* connections of a client */
/* Bounds of the users' pages, and the timeout of the fixture's routes. */
const int64_t REVOKE_US = 5 * S;
const int64_t GRACE_US = 6 * S;
const int64_t EXCUSED_US = 3 * S; /* after SIGTERM: may outlast the grace */
const int64_t ROUTE_TIMEOUT_US = 1500000;
/* The test and the node read different clocks at different times. */
const int64_t SLACK_US = 100000;

int64_t now_us()
{
	return std::chrono::duration_cast<std::chrono::microseconds>(
		       std::chrono::steady_clock::now().time_since_epoch())
		.count();
}

/* A request and its end, as its client saw it. */
struct Sent {
	std::string id, key;
	bool unsafe;
	size_t machine;
	int64_t sent_us, ended_us;
	int status; /* 0: no complete answer */
};

/* A connection that is used until the node closes it. */
class Connection
{
      public:
	explicit Connection(const std::string &ip)
	{
		struct sockaddr_in sin = {};
		struct timeval limit = { 6, 0 };

		sin.sin_family = AF_INET;
		sin.sin_port = htons(8001);
		inet_pton(AF_INET, ip.c_str(), &sin.sin_addr);
		fd = socket(AF_INET, SOCK_STREAM, 0);
		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		is_open =
			connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0;
	}
	~Connection()
	{
		close(fd);
	}
	/* Whether the whole request was written. */
	bool send_text(const std::string &text)
	{
		return send(fd, text.data(), text.size(), MSG_NOSIGNAL) ==
		       (ssize_t)text.size();
	}
	/* Reads a whole answer; returns its status, 0 without one. */
	int read_status()
	{
		std::string got;
		char buf[4096];
		size_t head = std::string::npos;
		ssize_t n;

		while ((n = recv(fd, buf, sizeof(buf), 0)) > 0) {
			got.append(buf, (size_t)n);
			head = got.find("\r\n\r\n");
			if (head != std::string::npos &&
			    got.size() >= head + 4 + length(got))
				break;
		}
		is_open = n > 0 &&
			  got.find("onnection: close") == std::string::npos &&
			  got.find("onnection: Close") == std::string::npos;
		return n > 0 && got.compare(0, 9, "HTTP/1.1 ") == 0 ?
			       atoi(got.c_str() + 9) :
			       0;
	}

	bool is_open;

      private:
	static size_t length(const std::string &head)
	{
		size_t at = head.find("ontent-Length: ");

		return at == std::string::npos ?
			       0 :
			       strtoul(head.c_str() + at + 15, nullptr, 10);
	}

	int fd;
};

class Soak : public Hosted
{
      public:
	void count_run(const std::string &id)
	{
		std::lock_guard<std::mutex> guard(lock);

		runs[id]++;
	}

      protected:
	void TearDown() override
	{
		stop_clients();
		platform_copy_end(copy);
		Hosted::TearDown();
	}

	/* --- the operator --- */

	std::string keys(int version) const
	{
		return "\"k1\",\"key" + std::to_string(version) + "\"";
	}

	/* Each version takes the key of the one before it away. */
	void change_config()
	{
		platform_store_write(
			store, "op/config",
			config(version + 1, keys(version + 1)).c_str());
		acknowledge(version + 1);
	}

	void acknowledge(int newest)
	{
		std::lock_guard<std::mutex> guard(lock);

		if (newest > version)
			withdrawn_us["key" + std::to_string(version)] =
				now_us();
		version = newest;
	}

	/* --- clients --- */

	void start_clients(int per_machine, uint64_t seed)
	{
		for (size_t i = 0; i < machines.size(); i++)
			for (int n = 0; n < per_machine; n++)
				clients.emplace_back([this, i, n, seed] {
					run_client(i, n, seed);
				});
	}

	void stop_clients()
	{
		clients_run = false;
		for (auto &c : clients)
			c.join();
		clients.clear();
	}

	void run_client(size_t machine, int number, uint64_t seed)
	{
		std::mt19937_64 r(seed * 1000 + machine * 10 +
				  (uint64_t)number);
		std::string name = "s" + std::to_string(machine) + "." +
				   std::to_string(number) + ".";
		std::vector<std::unique_ptr<Connection>> pool(POOL);

		/* A stopping node closes each connection after its next answer,
		 * so only clients with many of them go on until the end. */
		for (int n = 0; clients_run; n++) {
			auto &c = pool[(size_t)n % POOL];

			usleep((useconds_t)(20000 + r() % 100000));
			if (!c || !c->is_open)
				c = std::make_unique<Connection>(
					machines[machine]->ip);
			if (c->is_open)
				send_one(*c, machine, name + std::to_string(n),
					 r());
		}
	}

	void send_one(Connection &c, size_t machine, const std::string &id,
		      uint64_t random)
	{
		Sent s = { id, "k1", random % 2 == 0, machine, 0, 0, 0 };
		std::string path = random / 2 % 30 == 0 ? "slow" : "x";

		if (random / 32 % 4 == 0) {
			std::lock_guard<std::mutex> guard(lock);
			int back = (int)(random / 256 % 3);

			s.key = "key" +
				std::to_string(std::max(1, version - back));
		}
		s.sent_us = now_us();
		bool whole = c.send_text(
			(s.unsafe ? "POST /order/" : "GET /deep/") + path +
			" HTTP/1.1\r\nHost: h.example\r\n"
			"Fulmarpass-Request-Id: " +
			id + "\r\nFulmarpass-Deadline-Ms: 5000\r\n" +
			"Fulmarpass-Key: " + s.key +
			"\r\nContent-Length: 0\r\n\r\n");
		s.status = whole ? c.read_status() : 0;
		s.ended_us = now_us();
		c.is_open = c.is_open && whole;
		std::lock_guard<std::mutex> guard(lock);
		sent.push_back(s);
	}

	/* --- disruptions --- */

	void start_node(size_t i)
	{
		EXPECT_TRUE(fleet_process_start(f, machines[i]->node));
		started_us[i] = now_us();
	}

	/* Starts the nodes again that have exited. */
	void start_ended(bool wait_for_them)
	{
		for (size_t i = 0; i < machines.size(); i++) {
			struct fleet_process *p = machines[i]->node;

			if (!stopping[i]) {
				EXPECT_TRUE(fleet_process_is_running(p))
					<< "ENDED " << machines[i]->id;
			} else if (fleet_process_wait(p, wait_for_them ? 8000 :
									 0)) {
				stopping[i] = false;
				start_node(i);
			}
		}
	}

	/* A process that has just been started may not handle the signal yet,
	 * which would end it. */
	void reload(size_t i)
	{
		if (now_us() - started_us[i] > S)
			fleet_process_signal(machines[i]->node, SIGHUP);
	}

	void stop_node(size_t i)
	{
		if (stopping[i])
			return;
		stopping[i] = true;
		n_stops++;
		term_us[i].push_back(now_us());
		fleet_process_signal(machines[i]->node, SIGTERM);
	}

	void kill_node(size_t i)
	{
		if (stopping[i])
			return;
		kill_us.push_back(now_us());
		fleet_process_kill(machines[i]->node);
		start_node(i);
	}

	/* The store is away for a moment and comes back from the copy. The
	 * operator writes at once what it holds to be the newest version. */
	void restore(bool with_change)
	{
		int newest = version + (with_change ? 1 : 0);

		if (!copy)
			return;
		platform_store_set_fault(store, pick(2) ? PLATFORM_NO_ANSWER :
							  PLATFORM_UNAVAILABLE);
		usleep((useconds_t)pick(1500) * 1000);
		platform_store_restore(store, copy, "op/config",
				       config(newest, keys(newest)).c_str());
		acknowledge(newest);
		n_restores++;
	}

	/* Often the first write after the copy is the operator's. */
	void take_copy()
	{
		platform_copy_end(copy);
		copy = platform_store_copy(store);
		if (pick(2))
			change_config();
	}

	void disrupt(uint64_t kinds)
	{
		int kind = pick(6);

		if (!(kinds >> kind & 1))
			return;
		if (kind == 0)
			for (int n = pick((int)machines.size() / 2); n >= 0;
			     n--)
				stop_node((size_t)pick((int)machines.size()));
		if (kind == 1)
			kill_node((size_t)pick((int)machines.size()));
		if (kind == 2)
			restore(pick(2));
		if (kind == 3)
			change_config();
		if (kind == 4)
			reload((size_t)pick((int)machines.size()));
		if (kind == 5)
			take_copy();
	}

	int pick(int n)
	{
		return (int)(random() % (uint64_t)n);
	}

	/* --- promises --- */

	bool is_near_kill(const Sent &s) const
	{
		for (int64_t at_us : kill_us)
			if (s.ended_us >= at_us - EXCUSED_US &&
			    s.sent_us <= at_us + EXCUSED_US)
				return true;
		return false;
	}

	/* Whether a request without an answer broke no promise: it is one that
	 * was sent early in a stop and still ran near the end of the grace, or
	 * one whose time was over. */
	bool may_be_cut(const Sent &s) const
	{
		if (s.ended_us - s.sent_us >= ROUTE_TIMEOUT_US - SLACK_US)
			return true;
		for (int64_t at_us : term_us.at(s.machine))
			if (s.sent_us >= at_us - ROUTE_TIMEOUT_US - SLACK_US &&
			    s.sent_us <= at_us + EXCUSED_US &&
			    s.ended_us >= at_us + GRACE_US * 5 / 6)
				return true;
		return false;
	}

	void check(const std::string &when)
	{
		std::lock_guard<std::mutex> guard(lock);

		for (auto &s : sent) {
			auto at = runs.find(s.id);
			int n = at == runs.end() ? 0 : at->second;
			auto key = withdrawn_us.find(s.key);
			std::string what =
				when + " " + s.id + " at " +
				machines[s.machine]->id + " status " +
				std::to_string(s.status) + " runs " +
				std::to_string(n) + " took_ms " +
				std::to_string((s.ended_us - s.sent_us) / 1000);

			EXPECT_TRUE(!s.unsafe || n <= 1) << "AGAIN " << what;
			EXPECT_TRUE(n == 0 ||
				    (s.status != 503 && s.status != 429 &&
				     s.status != 401))
				<< "RAN " << what;
			EXPECT_TRUE(n == 0 || key == withdrawn_us.end() ||
				    s.sent_us <= key->second + REVOKE_US)
				<< "KEY " << what;
			EXPECT_TRUE(s.status || !n || is_near_kill(s) ||
				    may_be_cut(s))
				<< "LOST " << what;
			n_answered += s.status == 200;
		}
	}

	/* In the end each node serves all services, with the newest keys. */
	void check_calm(const std::string &when)
	{
		std::string newest = "key" + std::to_string(version);

		for (auto &m : machines)
			EXPECT_TRUE(wait(
				[&] {
					return call(*m, "/deep/x", newest)
						       .status == 200;
				},
				8000))
				<< "CALM " << m->id << " " << when;
		for (auto &m : machines)
			for (const char *path : { "/deep/x", "/front/x" })
				EXPECT_EQ(200, call(*m, path, newest).status)
					<< "CALM " << m->id << path << " "
					<< when;
	}

	std::mt19937_64 random;
	std::mutex lock; /* guards the next five */
	std::map<std::string, int> runs; /* by request id */
	std::deque<Sent> sent;
	std::map<std::string, int64_t> withdrawn_us; /* by key, acknowledged */
	int version = 1;
	int n_answered = 0;
	std::vector<std::thread> clients;
	std::atomic<bool> clients_run{ true };
	std::map<size_t, bool> stopping; /* by machine */
	std::map<size_t, int64_t> started_us;
	std::map<size_t, std::vector<int64_t>> term_us;
	std::vector<int64_t> kill_us;
	int n_stops = 0, n_restores = 0;
	struct platform_copy *copy = nullptr;
};

class SoakSeed : public Soak, public testing::WithParamInterface<uint64_t>
{
};

std::vector<uint64_t> seeds()
{
	const char *one = getenv("FP_SEED");
	const char *n = getenv("FP_SEEDS");
	std::vector<uint64_t> all;

	if (one)
		return { strtoull(one, nullptr, 10) };
	for (uint64_t i = 1; i <= (n ? strtoull(n, nullptr, 10) : 3); i++)
		all.push_back(i);
	return all;
}

TEST_P(SoakSeed, KeepsThePromises)
{
	const char *n_nodes = getenv("FP_SOAK_NODES");
	std::string when = "seed " + std::to_string(GetParam());
	int n;

	random.seed(GetParam());
	n = n_nodes ? atoi(n_nodes) : 4 + pick(4);
	uint64_t kinds = random() | random() | 1 << 5;
	n_domains = 2;
	rate = "";
	slow_ms = 1200;
	on_run = [](void *t, const char *id) {
		static_cast<SoakSeed *>(static_cast<Hosted *>(t))
			->count_run(id);
	};
	platform_store_write(store, "op/config", config(1, keys(1)).c_str());
	for (int i = 0; i < n; i++) {
		add(i % 2 ? "deep" : "front", 30);
		term_us[(size_t)i] = {};
	}
	start_announcing();
	for (auto &m : machines)
		ASSERT_TRUE(wait([&] { return ready(*m) == 200; }, 20000));
	start_clients(n > 12 ? 1 : 3, GetParam());
	int64_t end_us = now_us() + 14 * S;
	while (now_us() < end_us) {
		disrupt(kinds);
		usleep((useconds_t)pick(700) * 1000);
		start_ended(false);
	}
	start_ended(true);
	sleep(4); /* the last changes are in force */
	stop_clients();
	check_calm(when);
	check(when);
	EXPECT_GT(n_answered, 100) << when;
	printf("%s: %d nodes, %zu requests, %d answered, %d versions, %d "
	       "stops, %zu kills, %d returns of the store\n",
	       when.c_str(), n, sent.size(), n_answered, version, n_stops,
	       kill_us.size(), n_restores);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SoakSeed, testing::ValuesIn(seeds()));

} // namespace
