/*
 * test_e2e_bodies.cc - end to end: crowds of clients that send what costs memory
 *
 * Each case starts the nodes with small limits, lets a small crowd play one
 * shape, and checks what does not depend on the speed of the machine: the nodes
 * live, their peak memory and their descriptors stay below fixed bounds, an
 * ordinary request is answered while the crowd is still there, and a single
 * request of the largest legal size is served when it has left.
 *
 * The program runs by itself (Makefile), not beside others.
 */
#include "e2e_hosted.h"

#include <dirent.h>
#include <fcntl.h>
#include <poll.h>

namespace hosted
{

/* Limits of the nodes and size of the crowd. */
const size_t BODY_BYTES = 4 << 20; /* largest legal body */
const size_t N_CLIENTS = 64;
const size_t N_CONNECTIONS = 128; /* a node accepts from callers */
/* Bounds: the goal is 64 MB for a node whose crowd has 64 clients. */
const long PEAK_KIB = 64 * 1024;
const int MAX_DESCRIPTORS = 256;

/* What one client sends: a head, then parts until there are none. */
struct Client {
	int fd = -1;
	std::string out; /* not sent yet */
	std::function<std::string()> next; /* the following part; "": none */
	std::string got;
	bool closed = false; /* by the node */

	bool done() const
	{
		return closed || (out.empty() && !next);
	}
};

class Bodies : public Hosted
{
      protected:
	void SetUp() override
	{
		Hosted::SetUp();
		limits = "max_body_bytes = " + std::to_string(BODY_BYTES) +
			 "\nmax_held_bytes = 16777216\nmax_connections = " +
			 std::to_string(N_CONNECTIONS) + "\n";
		answer_bytes = BODY_BYTES;
	}

	void TearDown() override
	{
		leave();
		Hosted::TearDown();
	}

	/* Adds a client of a node; read_bytes: size of its receive buffer, 0:
	 * the system's. */
	Client &connect_to(Machine &m, int read_bytes = 0)
	{
		struct sockaddr_in sin = {};
		Client c;

		c.fd = socket(AF_INET, SOCK_STREAM, 0);
		if (read_bytes)
			setsockopt(c.fd, SOL_SOCKET, SO_RCVBUF, &read_bytes,
				   sizeof(read_bytes));
		sin.sin_family = AF_INET;
		sin.sin_port = htons(8001);
		inet_pton(AF_INET, m.ip.c_str(), &sin.sin_addr);
		fcntl(c.fd, F_SETFL, O_NONBLOCK);
		connect(c.fd, (struct sockaddr *)&sin, sizeof(sin));
		crowd.push_back(c);
		return crowd.back();
	}

	void leave()
	{
		for (auto &c : crowd)
			close(c.fd);
		crowd.clear();
	}

	/* A head whose body is framed by the given header. */
	std::string head(const std::string &framing)
	{
		return "POST /order/x HTTP/1.1\r\nHost: h.example\r\n"
		       "Fulmarpass-Request-Id: b" +
		       std::to_string(++n_heads) +
		       "\r\nFulmarpass-Key: k1\r\n" + framing + "\r\n\r\n";
	}

	static std::string length(size_t n)
	{
		return "Content-Length: " + std::to_string(n);
	}

	/* Parts of that size until the total is sent. */
	static std::function<std::string()> parts(size_t total, size_t part)
	{
		auto left = std::make_shared<size_t>(total);

		return [left, part] {
			size_t n = std::min(*left, part);

			*left -= n;
			return std::string(n, 'u');
		};
	}

	static std::string chunk(size_t n)
	{
		char size[32];

		snprintf(size, sizeof(size), "%zx\r\n", n);
		return size + std::string(n, 'u') + "\r\n";
	}

	/* n chunks of that size, without the last one that ends the body. */
	static std::function<std::string()> chunks(size_t n, size_t bytes)
	{
		auto left = std::make_shared<size_t>(n);

		return [left, bytes] {
			return (*left) ? (--*left, chunk(bytes)) :
					 std::string();
		};
	}

	/* Sends what is due; returns whether anything moved. */
	static bool push(Client &c)
	{
		ssize_t n;

		if (c.out.empty() && c.next) {
			c.out = c.next();
			if (c.out.empty())
				c.next = nullptr;
		}
		if (c.out.empty() || c.closed)
			return false;
		n = send(c.fd, c.out.data(), c.out.size(), MSG_NOSIGNAL);
		if (n < 0 && errno != EAGAIN && errno != EINPROGRESS &&
		    errno != ENOTCONN)
			c.closed = true;
		if (n <= 0)
			return false;
		c.out.erase(0, (size_t)n);
		return true;
	}

	/* Reads what has arrived, and notices the end. */
	static void pull(Client &c)
	{
		char buf[65536];
		ssize_t n;

		while ((n = recv(c.fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
			c.got.append(buf, (size_t)n);
		if (n == 0 || (n < 0 && errno != EAGAIN && errno != ENOTCONN))
			c.closed = true;
	}

	/* Plays the crowd until all has been sent, or nothing has moved for two
	 * seconds. */
	void play()
	{
		int still = 0;

		while (still < 200) {
			bool moved = false;
			bool done = true;

			for (auto &c : crowd) {
				moved |= push(c);
				done &= c.done();
			}
			if (done)
				return;
			still = moved ? 0 : still + 1;
			if (!moved)
				usleep(10000);
		}
	}

	static long peak_kib(Machine &m)
	{
		std::string path =
			"/proc/" + std::to_string(m.node->pid) + "/status";
		char *text = fleet_read_file(path.c_str());
		char *at = text ? strstr(text, "VmHWM:") : nullptr;
		long kib = at ? atol(at + 6) : -1;

		free(text);
		return kib;
	}

	static int descriptors(Machine &m)
	{
		std::string path =
			"/proc/" + std::to_string(m.node->pid) + "/fd";
		DIR *dir = opendir(path.c_str());
		int n = 0;

		while (dir && readdir(dir))
			n++;
		if (dir)
			closedir(dir);
		return n - 2;
	}

	/* A refusal says that the request has not run, and 503 when to come
	 * again. */
	void check_promises()
	{
		for (auto &c : crowd) {
			int status;

			pull(c);
			if (c.got.compare(0, 9, "HTTP/1.1 ") != 0)
				continue;
			status = atoi(c.got.c_str() + 9);
			if (status == 200 || status == 502 || status == 504)
				continue;
			EXPECT_NE(std::string::npos,
				  c.got.find("Fulmar-Outcome: not-run"))
				<< c.got;
			EXPECT_TRUE(status != 503 ||
				    c.got.find("Retry-After: ") !=
					    std::string::npos)
				<< c.got;
		}
	}

	int upload(Machine &m)
	{
		Client &c = connect_to(m);
		int status = 0;

		c.out = head(length(BODY_BYTES));
		c.next = parts(BODY_BYTES, 65536);
		play();
		wait([&] {
			pull(c);
			return c.closed ||
			       c.got.find("\r\n\r\n") != std::string::npos;
		});
		if (c.got.compare(0, 9, "HTTP/1.1 ") == 0)
			status = atoi(c.got.c_str() + 9);
		leave();
		EXPECT_EQ((long)BODY_BYTES,
			  platform_server_last_body_bytes(machines[1]->server));
		return status;
	}

	/* An ordinary caller, who tries a few times. */
	bool is_served(Machine &m, int tries = 5)
	{
		for (int i = 0; i < tries; i++) {
			if (call(m, "/deep/x").status == 200)
				return true;
			usleep(500000);
		}
		return false;
	}

	/* A metric of a node; -1 if it does not answer. */
	static long metric(Machine &m, const std::string &name)
	{
		std::string url = "http://" + m.ip + ":8005/metrics";
		struct http_request req = {};
		struct http_answer a;
		long value = -1;

		req.url = url.c_str();
		req.timeout_ms = 1000;
		if (http_call(&req, &a) == 200) {
			std::string text(a.body, a.body_bytes);
			size_t at = text.find("\n" + name + " ");

			if (at != std::string::npos)
				value = atol(text.c_str() + at + name.size() +
					     2);
		}
		http_answer_end(&a);
		return value;
	}

	/* Whether nothing of the crowd is left: no connection, and no request
	 * that goes on without its client. */
	bool is_calm()
	{
		for (auto &m : machines)
			if (descriptors(*m) >= calm_descriptors + 16 ||
			    metric(*m, "fulmar_calls_in_flight") != 0)
				return false;
		return true;
	}

	void note(const char *what)
	{
		printf("%.1f s: %s\n",
		       std::chrono::duration<double>(
			       std::chrono::steady_clock::now() - begun)
			       .count(),
		       what);
	}

	/* What must hold while the crowd is there and after it has left. */
	void check()
	{
		note("the crowd has sent");
		usleep(3000000); /* it stays open */
		for (auto &m : machines) {
			EXPECT_TRUE(is_served(*m))
				<< "an ordinary request at " << m->id;
			ASSERT_TRUE(fleet_process_is_running(m->node)) << m->id;
			printf("%s: peak %ld KiB, %d descriptors\n",
			       m->id.c_str(), peak_kib(*m), descriptors(*m));
			EXPECT_LT(descriptors(*m), MAX_DESCRIPTORS) << m->id;
		}
		check_promises();
		leave();
		note("the crowd leaves");
		EXPECT_TRUE(wait([&] { return is_calm(); }, 60000));
		note("calm");
		for (auto &m : machines) {
			EXPECT_EQ(200, upload(*m))
				<< "one large request at " << m->id;
			ASSERT_TRUE(fleet_process_is_running(m->node)) << m->id;
			EXPECT_LT(peak_kib(*m), PEAK_KIB) << m->id;
		}
	}

	void start(int run_ms = 5)
	{
		write_config(1);
		add("front");
		add("deep", run_ms);
		start_announcing();
		/* However slow the machine is. */
		ASSERT_TRUE(wait(
			[&] {
				return ready(*machines[0]) == 200 &&
				       ready(*machines[1]) == 200;
			},
			60000));
		for (auto &m : machines)
			ASSERT_TRUE(is_served(*m, 60)) << m->id;
		for (auto &m : machines) {
			calm_descriptors =
				std::max(calm_descriptors, descriptors(*m));
			printf("%s: calm %ld KiB, %d descriptors\n",
			       m->id.c_str(), peak_kib(*m), descriptors(*m));
		}
	}

	std::list<Client> crowd;
	int calm_descriptors = 0;
	std::chrono::steady_clock::time_point begun =
		std::chrono::steady_clock::now();
	int n_heads = 0;
};

TEST_F(Bodies, WholeAtOnce)
{
	ASSERT_NO_FATAL_FAILURE(start());
	for (size_t i = 0; i < N_CLIENTS; i++) {
		Client &c = connect_to(*machines[0]);

		c.out = head(length(BODY_BYTES)) + std::string(BODY_BYTES, 'u');
	}
	play();
	check();
}

/* Half of them at each node; a body that enters at one passes a link. */
TEST_F(Bodies, WholeAtBothNodesOfASlowService)
{
	ASSERT_NO_FATAL_FAILURE(start(300));
	for (size_t i = 0; i < N_CLIENTS; i++) {
		Client &c = connect_to(*machines[i % 2]);

		c.out = head(length(BODY_BYTES));
		c.next = parts(BODY_BYTES, 65536);
	}
	play();
	check();
}

TEST_F(Bodies, PieceByPieceOneByteShort)
{
	ASSERT_NO_FATAL_FAILURE(start());
	for (size_t i = 0; i < N_CLIENTS; i++) {
		Client &c = connect_to(*machines[0]);

		c.out = head(length(BODY_BYTES));
		c.next = parts(BODY_BYTES - 1, 65536);
	}
	play();
	check();
}

TEST_F(Bodies, LargeChunksWithoutTheLast)
{
	ASSERT_NO_FATAL_FAILURE(start());
	for (size_t i = 0; i < N_CLIENTS; i++) {
		Client &c = connect_to(*machines[0]);

		c.out = head("Transfer-Encoding: chunked");
		c.next = chunks(BODY_BYTES / 65536, 65536);
	}
	play();
	check();
}

/* A large chunk first, so that the small ones need not be sent for minutes. */
TEST_F(Bodies, ChunksOfOneByteWithoutTheLast)
{
	ASSERT_NO_FATAL_FAILURE(start());
	for (size_t i = 0; i < N_CLIENTS; i++) {
		Client &c = connect_to(*machines[0]);

		c.out = head("Transfer-Encoding: chunked") +
			chunk(BODY_BYTES - 4096);
		c.next = chunks(4000, 1);
	}
	play();
	check();
}

/* The clients never read; the node ends their connections all the same. */
TEST_F(Bodies, FarOverTheLimitAnnounced)
{
	ASSERT_NO_FATAL_FAILURE(start());
	for (size_t i = 0; i < N_CLIENTS; i++) {
		Client &c = connect_to(*machines[0]);

		c.out = head(length(50 * BODY_BYTES));
		c.next = parts(2 * BODY_BYTES, 65536);
	}
	play();
	EXPECT_TRUE(wait(
		[&] {
			return descriptors(*machines[0]) <
			       calm_descriptors + 16;
		},
		60000));
	check();
}

TEST_F(Bodies, FarOverTheLimitInChunks)
{
	ASSERT_NO_FATAL_FAILURE(start());
	for (size_t i = 0; i < N_CLIENTS; i++) {
		Client &c = connect_to(*machines[0]);

		c.out = head("Transfer-Encoding: chunked");
		c.next = chunks(2 * BODY_BYTES / 65536, 65536);
	}
	play();
	check();
}

/* Most of the body at once, then a byte now and then. */
TEST_F(Bodies, SlowTrickles)
{
	ASSERT_NO_FATAL_FAILURE(start());
	for (size_t i = 0; i < N_CLIENTS; i++) {
		Client &c = connect_to(*machines[0]);

		c.out = head(length(BODY_BYTES)) +
			std::string(BODY_BYTES - 4096, 'u');
	}
	play();
	for (int round = 0; round < 50; round++) {
		for (auto &c : crowd) {
			if (c.done())
				c.out = "u";
			push(c);
		}
		usleep(100000);
	}
	check();
}

TEST_F(Bodies, ClientsThatComeBackAtOnce)
{
	ASSERT_NO_FATAL_FAILURE(start());
	for (int round = 0; round < 8; round++) {
		leave();
		for (size_t i = 0; i < N_CLIENTS; i++) {
			Client &c = connect_to(*machines[0]);

			c.out = head(length(BODY_BYTES)) +
				std::string(BODY_BYTES - 4096, 'u');
		}
		play();
	}
	check();
}

/* More than the connections that a node accepts. */
TEST_F(Bodies, HeadsThatNeverEnd)
{
	ASSERT_NO_FATAL_FAILURE(start());
	for (size_t i = 0; i < N_CONNECTIONS + N_CLIENTS; i++) {
		Client &c = connect_to(*machines[0]);

		c.out = "GET /deep/x HTTP/1.1\r\nHost: h.example\r\n";
	}
	play();
	for (int round = 0; round < 20; round++) {
		for (auto &c : crowd) {
			c.out += "X-Header-" + std::to_string(round) +
				 ": value\r\n";
			push(c);
		}
		usleep(50000);
	}
	check();
}

/* Requests of a connection are run while the answers before them wait. */
TEST_F(Bodies, LargeAnswersToPipelinedRequestsOfClientsThatDoNotRead)
{
	ASSERT_NO_FATAL_FAILURE(start());
	for (size_t i = 0; i < N_CLIENTS; i++) {
		Client &c = connect_to(*machines[0], 4096);

		for (int k = 0; k < 16; k++)
			c.out += "GET /inner/large HTTP/1.1\r\n"
				 "Host: h.example\r\n"
				 "Fulmarpass-Request-Id: p" +
				 std::to_string(i * 16 + k) + "\r\n\r\n";
		push(c);
		usleep(50000);
	}
	usleep(1000000);
	check();
}

TEST_F(Bodies, LargeAnswersToClientsThatDoNotRead)
{
	ASSERT_NO_FATAL_FAILURE(start());
	for (size_t i = 0; i < N_CLIENTS; i++) {
		Client &c = connect_to(*machines[0], 4096);

		c.out = "GET /inner/large HTTP/1.1\r\nHost: h.example\r\n"
			"Fulmarpass-Request-Id: g" +
			std::to_string(i) + "\r\n\r\n";
		push(c);
		usleep(50000);
	}
	usleep(1000000);
	check();
}

} // namespace hosted
