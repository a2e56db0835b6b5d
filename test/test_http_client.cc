/* test_http_client.cc - answers of servers that do not keep to the protocol */
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstring>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "transport/http_client.h"

namespace
{

/* Ends a test that hangs; no answer here is to come at a certain time. */
const int64_t TIMEOUT_US = 30000000;

const std::string REFUSAL = "HTTP/1.1 503 Service Unavailable\r\n"
			    "Content-Length: 0\r\nNot-Run: 1\r\n";

std::string answer_to(const std::string &id, const std::string &body = "mine")
{
	return "HTTP/1.1 200 OK\r\nContent-Length: " +
	       std::to_string(body.size()) + "\r\nRequest-Id: " + id +
	       "\r\n\r\n" + body;
}

/* Serves connections one after the other; what it writes for the n-th request,
 * counted over all connections, is scripted. */
class ScriptedServer
{
      public:
	struct Step {
		std::string bytes; /* the answer */
		bool close = false; /* then close the connection */
		bool endless = false; /* then repeat bytes until it is closed */
		std::string late = ""; /* sent 20 ms after the answer */
	};

	explicit ScriptedServer(std::vector<Step> script)
	    : steps(std::move(script))
	{
		struct sockaddr_in sin = {};
		socklen_t len = sizeof(sin);

		int one = 1;

		fd = socket(AF_INET, SOCK_STREAM, 0);
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
		sin.sin_family = AF_INET;
		inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
		EXPECT_EQ(0, bind(fd, (struct sockaddr *)&sin, len));
		EXPECT_EQ(0, listen(fd, 8));
		getsockname(fd, (struct sockaddr *)&sin, &len);
		url = "http://127.0.0.1:" +
		      std::to_string(ntohs(sin.sin_port)) + "/x";
		thread = std::thread([this] { run(); });
	}
	~ScriptedServer()
	{
		shutdown(fd, SHUT_RDWR);
		if (connection >= 0)
			shutdown(connection, SHUT_RDWR);
		thread.join();
		close(fd);
	}

	std::string url;
	std::atomic<int> n_requests{ 0 };
	std::atomic<int> n_connections{ 0 };
	std::atomic<int> last_used{ 0 }; /* connection of the last request */
	std::atomic<bool> late_sent{ false };

      private:
	/* Reads one request without a body; false: the connection ended. */
	bool read_request()
	{
		std::string got;
		char c;

		while (got.size() < 4 ||
		       got.compare(got.size() - 4, 4, "\r\n\r\n") != 0) {
			if (recv(connection, &c, 1, 0) != 1)
				return false;
			got += c;
		}
		return true;
	}
	bool write(const std::string &bytes)
	{
		return send(connection, bytes.data(), bytes.size(),
			    MSG_NOSIGNAL) == (ssize_t)bytes.size();
	}
	void run()
	{
		while ((connection = accept(fd, nullptr, nullptr)) >= 0) {
			n_connections++;
			while (read_request()) {
				size_t n = (size_t)n_requests++;

				last_used = (int)n_connections;
				if (n >= steps.size() || !serve(steps[n]))
					break;
			}
			close(connection);
		}
	}
	/* Returns whether the connection stays open. */
	bool serve(const Step &s)
	{
		if (!write(s.bytes))
			return false;
		while (s.endless)
			if (!write(s.bytes))
				return false;
		if (!s.late.empty()) {
			usleep(20000);
			if (!write(s.late))
				return false;
			late_sent = true;
		}
		return !s.close;
	}

	std::vector<Step> steps;
	int fd = -1;
	std::atomic<int> connection{ -1 };
	std::thread thread;
};

struct Result {
	enum fp_status status = FP_AGAIN;
	int http_status = 0;
	uint32_t n_headers = 0;
	std::string body;
};

struct HttpClient : testing::Test {
	struct fp_loop *loop = nullptr;
	struct fp_http_client *client = nullptr;

	void SetUp() override
	{
		ASSERT_EQ(FP_OK, fp_loop_init(fp_system_clock(), &loop));
		ASSERT_EQ(FP_OK, fp_http_client_init(loop, 4, &client));
	}
	void TearDown() override
	{
		fp_http_client_end(client);
		fp_loop_end(loop);
	}
	/* Closes all connections. The library keeps four here and closes the
	 * oldest one beyond that, by milliseconds: among connections of equal
	 * age that can be the one used last. */
	void renew_client()
	{
		fp_http_client_end(client);
		ASSERT_EQ(FP_OK, fp_http_client_init(loop, 4, &client));
	}
	/* Sends a request; its result is complete when its status is no longer
	 * FP_AGAIN. */
	void start(const ScriptedServer &server, const char *id,
		   size_t max_answer_bytes, Result *r)
	{
		struct fp_http_out o = {};

		o.method = "GET";
		o.url = server.url.c_str();
		o.timeout_us = TIMEOUT_US;
		o.max_answer_bytes = max_answer_bytes;
		o.at_most_once = true;
		o.echo_header = "Request-Id";
		o.echo_value = id;
		EXPECT_EQ(FP_OK, fp_http_send(client, &o, on_done, r, NULL));
	}
	/* Sends a request and waits for its result. */
	Result call(const ScriptedServer &server, const char *id,
		    size_t max_answer_bytes = 1 << 20)
	{
		Result r;

		start(server, id, max_answer_bytes, &r);
		while (r.status == FP_AGAIN)
			fp_loop_run_once(loop, 1000);
		return r;
	}
	static void on_done(void *ctx, const struct fp_http_result *res)
	{
		Result *r = static_cast<Result *>(ctx);

		r->status = res->status;
		r->http_status = res->http_status;
		r->n_headers = res->n_headers;
		r->body.assign((const char *)res->body, res->body_bytes);
	}
};

/* Guards against records that stay, and grow in number, of sockets which the
 * library closes itself: those of connections that are not established when their
 * request ends. The leak check of the sanitizer sees them. */
TEST_F(HttpClient, ACancelledConnectLeavesNoRecord)
{
	ScriptedServer server({ { answer_to("a") } });
	struct fp_http_out o = {};
	struct fp_http_send *s = nullptr;
	Result r;

	o.method = "GET";
	o.url = server.url.c_str();
	o.timeout_us = TIMEOUT_US;
	o.max_answer_bytes = 100;
	for (int i = 0; i < 3; i++) {
		ASSERT_EQ(FP_OK, fp_http_send(client, &o, on_done, &r, &s));
		fp_loop_run_once(loop, 0);
		fp_http_cancel(s);
	}
	EXPECT_EQ(FP_AGAIN, r.status);
	EXPECT_EQ(FP_OK, call(server, "a").status);
}

/* The second copy is there when the next request is sent, or arrives in place
 * of its answer. */
TEST_F(HttpClient, ASecondCopyIsNotTheAnswerToTheNextRequest)
{
	for (bool early : { true, false }) {
		ScriptedServer::Step first = { answer_to("a", "first") };
		ScriptedServer::Step second = { answer_to("b") };

		if (early)
			first.late = first.bytes;
		else
			second.bytes = first.bytes + second.bytes;
		ScriptedServer server({ first, second, { answer_to("c") } });

		EXPECT_EQ("first", call(server, "a").body);
		while (early && !server.late_sent)
			fp_loop_run_once(loop, 1000);
		Result r = call(server, "b");
		if (early)
			EXPECT_EQ("mine", r.body);
		else
			EXPECT_EQ(FP_IO, r.status);
		EXPECT_EQ(FP_OK, call(server, "c").status);
		EXPECT_EQ(2, server.n_connections);
	}
}

/* An earlier refusal, with its own id or without one, in place of the answer to
 * a request that the server runs. */
TEST_F(HttpClient, AnEarlierRefusalIsNotTheAnswerToTheNextRequest)
{
	for (const char *id : { "Request-Id: a\r\n", "" }) {
		ScriptedServer server({ { REFUSAL + "Request-Id: a\r\n\r\n" },
					{ REFUSAL + id + "\r\n" },
					{ answer_to("c") } });

		EXPECT_EQ(503, call(server, "a").http_status);
		EXPECT_EQ(FP_IO, call(server, "b").status) << id;
		EXPECT_EQ(FP_OK, call(server, "c").status);
		EXPECT_EQ(2, server.n_connections);
	}
}

/* On a new connection there is no earlier request. */
TEST_F(HttpClient, ARefusalWithoutAnIdIsValidOnANewConnection)
{
	ScriptedServer server({ { REFUSAL + "\r\n" } });
	Result r = call(server, "a");

	EXPECT_EQ(FP_OK, r.status);
	EXPECT_EQ(503, r.http_status);
}

TEST_F(HttpClient, AnAnswerThatBreaksOffIsNotComplete)
{
	const char *const broken[] = {
		"HTTP/1.1 200 OK\r\nContent-Le",
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nRequest-Id: a\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nRequest-Id: "
		"a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nRequest-Id: a\r\n\r\n"
		"123456789",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
		"Request-Id: a\r\n\r\n5\r\n123",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
		"Request-Id: a\r\n\r\n3\r\n123\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n123",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n"
		"Request-Id: a\r\n\r\n123",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
		"Content-Length: 4\r\nRequest-Id: a\r\n\r\n123",
		"",
	};

	for (const char *bytes : broken) {
		ScriptedServer server({ { bytes, true } });

		EXPECT_EQ(FP_IO, call(server, "a").status) << bytes;
	}
}

/* Guards against a truncated head that reaches the caller as a complete answer:
 * each length of a head but the whole, for answers without a body. */
TEST_F(HttpClient, AHeadThatBreaksOffIsNoAnswer)
{
	const std::string heads[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
		"HTTP/1.1 204 No Content\r\n",
		"HTTP/1.1 304 Not Modified\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
		"Content-Length: 0\r\n",
		REFUSAL,
	};

	for (const std::string &head : heads) {
		std::string whole = head + "Request-Id: a\r\nX: y\r\n\r\n";

		for (size_t n = 0; n < whole.size(); n++) {
			ScriptedServer server({ { whole.substr(0, n), true } });

			EXPECT_EQ(FP_IO, call(server, "a").status)
				<< whole.substr(0, n);
		}
		ScriptedServer server({ { whole, true } });
		EXPECT_EQ(FP_OK, call(server, "a").status) << whole;
	}
}

/* Guards against a status that is none and reaches a caller as an answer: of
 * each framing, also behind an interim answer, before an answer, with the mark
 * of a request that did not run, and on a connection that stays open. */
TEST_F(HttpClient, AnAnswerWhoseStatusIsNoneIsNotAccepted)
{
	const std::string fields = "Request-Id: a\r\nNot-Run: 1\r\n";
	const std::string sized = fields + "Content-Length: 1\r\n\r\nx";
	const std::string chunked =
		fields +
		"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n";

	for (std::string status :
	     { "000", "0", "00", "099", "20", "1000", "2000", "0200", "abc",
	       "+200", "-200", "20x", "2 0", "600", "999", "", " 200",
	       "200x" }) {
		std::string line = "HTTP/1.1 " + status + " Odd\r\n";
		const std::string answers[] = {
			line + sized,
			line + chunked,
			line + fields + "\r\nx",
			"HTTP/1.1 103 Early Hints\r\n\r\n" + line + sized,
			line + sized + answer_to("a"),
			line + "\r\n" + answer_to("a"),
		};

		for (const std::string &answer : answers)
			for (bool close : { true, false }) {
				ScriptedServer server({ { answer, close },
							{ answer_to("b") } });

				renew_client();
				EXPECT_EQ(FP_IO, call(server, "a").status)
					<< answer << close;
				EXPECT_EQ("mine", call(server, "b").body)
					<< answer << close;
			}
	}
	for (std::string status : { "200", "299", "404", "500", "599" }) {
		ScriptedServer server(
			{ { "HTTP/1.1 " + status + "\r\n" + sized, true } });

		Result r = call(server, "a");
		EXPECT_EQ(FP_OK, r.status) << status;
		EXPECT_EQ(std::stoi(status), r.http_status);
	}
}

/* Guards against a request that is called not run, and run again elsewhere,
 * because of the beginning of an earlier refusal: each length of it, in place
 * of the answer on a connection that ends then. */
TEST_F(HttpClient, TheBeginningOfAnEarlierRefusalIsNoAnswer)
{
	for (const char *id : { "Request-Id: a\r\n", "" }) {
		std::string whole = REFUSAL + id + "\r\n";

		for (size_t n = 1; n <= whole.size(); n++) {
			ScriptedServer server({ { answer_to("a", "first") },
						{ whole.substr(0, n), true } });

			renew_client();
			EXPECT_EQ("first", call(server, "a").body);
			EXPECT_EQ(FP_IO, call(server, "b").status)
				<< whole.substr(0, n);
			EXPECT_EQ(1, server.last_used);
		}
	}
}

/* The same bytes, but followed by the answer itself, which continues their
 * head: its status must not be that of the earlier answer. */
TEST_F(HttpClient, TheBeginningOfAnEarlierAnswerDoesNotMixWithTheNext)
{
	const std::string earlier[] = {
		REFUSAL + "Request-Id: a\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nServer: w\r\nNot-Run: "
		"1\r\nRequest-Id: a\r\n",
		answer_to("a", "first"),
	};

	for (const std::string &bytes : earlier) {
		for (size_t n = 1; n <= bytes.size(); n++) {
			ScriptedServer server(
				{ { answer_to("a", "first") },
				  { bytes.substr(0, n) + answer_to("b"), true },
				  { answer_to("c") } });

			renew_client();
			EXPECT_EQ("first", call(server, "a").body);
			EXPECT_EQ(FP_IO, call(server, "b").status)
				<< bytes.substr(0, n);
			EXPECT_EQ(1, server.last_used);
			EXPECT_EQ("mine", call(server, "c").body);
		}
	}
}

/* The fields of a trailer come after the answer; they are no part of its head.
 * A status line among them makes the answer invalid. */
TEST_F(HttpClient, ATrailerIsNotPartOfTheHead)
{
	const std::string answer =
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
		"Request-Id: a\r\n\r\n4\r\nmine\r\n0\r\n";

	for (const char *trailer : { "Request-Id: z\r\n", "Not-Run: 1\r\n" }) {
		ScriptedServer server({ { answer + trailer + "\r\n", true } });
		Result r = call(server, "a");

		EXPECT_EQ(FP_OK, r.status) << trailer;
		EXPECT_EQ("mine", r.body) << trailer;
		EXPECT_EQ(2u, r.n_headers) << trailer;
	}
	ScriptedServer server({ { answer + REFUSAL + "\r\n", true } });
	EXPECT_EQ(FP_IO, call(server, "a").status);
}

/* A field that is left out may be the one that vouches for the answer. */
TEST_F(HttpClient, AnAnswerWithTooManyFieldsIsNotAccepted)
{
	for (int n : { 40, 60 }) {
		std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";

		for (int i = 0; i < n; i++)
			head += "X-" + std::to_string(i) + ": y\r\n";
		ScriptedServer server({ { head + "Request-Id: a\r\n\r\n" } });
		EXPECT_EQ(n == 40 ? FP_OK : FP_IO, call(server, "a").status);
	}
}

TEST_F(HttpClient, AnAnswerWithoutEndIsCutOff)
{
	const char *const endless[] = {
		"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nxxxxxxxxxxxxxxxxxxxxx",
		"HTTP/1.1 200 OK\r\nX-Header: xxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n",
		"HTTP/1.1 100 Continue\r\nX-Header: xxxxxxxxxxxxxxxxx\r\n\r\n",
		"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
	};

	for (const char *bytes : endless) {
		ScriptedServer server({ { bytes, false, true } });
		Result r = call(server, "a", 100000);

		EXPECT_TRUE(r.status == FP_IO || r.status == FP_TIMEOUT)
			<< bytes;
		EXPECT_LE(r.body.size(), 100000u);
	}
}

/* The memory that was held each time that an answer was given up; resets and
 * closes the log. */
std::vector<size_t> held_at_give_ups(FILE *log)
{
	std::vector<size_t> all;
	char line[1024];

	fp_log_setup(FP_LOG_WARN, 1);
	rewind(log);
	while (fgets(line, sizeof(line), log)) {
		const char *held = strstr(line, " held=");

		if (strstr(line, "event=answer_given_up") && held)
			all.push_back(strtoull(held + 6, nullptr, 10));
	}
	fclose(log);
	return all;
}

/* Guards against a process that runs out of memory since several servers send
 * answers without end: their sum is limited, and sound answers beside them
 * arrive whole. */
TEST_F(HttpClient, ManyAnswersWithoutEndShareOneLimit)
{
	const size_t limit = 4 << 20;
	const std::string heads[] = {
		"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n"
		"Request-Id: a\r\n\r\n",
	};
	std::vector<std::unique_ptr<ScriptedServer>> servers;
	std::vector<Result> results(8);
	std::string sound(100000, 's');
	ScriptedServer good({ { answer_to("a", sound) },
			      { answer_to("a", sound) },
			      { answer_to("a", sound) } });
	size_t most = 0;
	size_t at_give_ups = 0;
	bool waiting = true;
	int n_sound = 0;
	FILE *log = tmpfile();

	ASSERT_NE(nullptr, log);
	fp_log_setup(FP_LOG_WARN, fileno(log));
	fp_http_client_limit(client, limit);
	for (size_t i = 0; i < results.size(); i++) {
		ScriptedServer::Step step = {
			heads[i % 2] + std::string(200000, 'x'), false, true
		};

		servers.push_back(std::make_unique<ScriptedServer>(
			std::vector<ScriptedServer::Step>{ step }));
		start(*servers[i], "a", 64 << 20, &results[i]);
	}
	for (int i = 0; i < 3; i++) {
		Result r;

		start(good, "a", 64 << 20, &r);
		while (r.status == FP_AGAIN) {
			fp_loop_run_once(loop, 1000);
			most = std::max(most,
					fp_http_client_held_bytes(client));
		}
		EXPECT_EQ(FP_OK, r.status);
		n_sound += r.body == sound;
	}
	while (waiting) {
		fp_loop_run_once(loop, 1000);
		most = std::max(most, fp_http_client_held_bytes(client));
		waiting = false;
		for (auto &r : results)
			waiting |= r.status == FP_AGAIN;
	}
	for (auto &r : results)
		EXPECT_TRUE(r.status == FP_IO || r.status == FP_TIMEOUT);
	EXPECT_EQ(3, n_sound);
	EXPECT_LE(most, limit);
	/* The memory changes within an iteration of the loop, too. */
	for (size_t held : held_at_give_ups(log)) {
		EXPECT_LE(held, limit);
		at_give_ups = std::max(at_give_ups, held);
	}
	EXPECT_GT(at_give_ups, limit / 2);
	EXPECT_EQ(0u, fp_http_client_held_bytes(client));
}

/* A head that nodes could not pass on to each other would end their link. */
TEST_F(HttpClient, AHeadThatIsTooLargeIsNotAccepted)
{
	const std::string start = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
	const std::string end = "Request-Id: a\r\n\r\n";
	const struct {
		std::string field;
		enum fp_status status;
	} cases[] = {
		{ std::string(255, 'n') + ": v\r\n", FP_OK },
		{ std::string(256, 'n') + ": v\r\n", FP_IO },
		{ "X: " + std::string(15000, 'v') + "\r\n", FP_OK },
		{ "X: " + std::string(16500, 'v') + "\r\n", FP_IO },
	};

	for (auto &c : cases) {
		ScriptedServer server({ { start + c.field + end } });

		EXPECT_EQ(c.status, call(server, "a").status) << c.field.size();
	}
}

} // namespace
