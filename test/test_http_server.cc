/* test_http_server.cc - request framing
 *
 * A request whose body length is ambiguous must be refused and its connection
 * closed. Otherwise the end of the body could be read as a smuggled second
 * request.
 */
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <vector>

#include "base/log.h"
#include "transport/http_server.h"

namespace
{

const size_t ACCOUNT_BYTES = 2000; /* arriving bodies: 1500, each twice */

class HttpServer : public testing::Test
{
      protected:
	void SetUp() override
	{
		struct fp_http_server_config cfg = {};
		struct fp_http_handler h = {};

		cfg.address = "127.0.0.1";
		cfg.max_body_bytes = 1000;
		cfg.max_header_bytes = 4096;
		cfg.max_connections = 10;
		cfg.account = account = fp_byte_account_init(ACCOUNT_BYTES);
		h.request = [](void *ctx, struct fp_http_exchange *x,
			       const struct fp_http_request *r) {
			auto *t = static_cast<HttpServer *>(ctx);

			t->methods.push_back(r->method);
			t->uris.push_back(r->uri);
			t->bodies.emplace_back((const char *)r->body,
					       r->body_bytes);
			fp_http_reply(x, 200, nullptr, 0, "ok", 2);
		};
		h.ctx = this;
		ASSERT_EQ(FP_OK, fp_loop_init(fp_system_clock(), &loop));
		ASSERT_EQ(FP_OK, fp_http_server_init(loop, &cfg, &h, &server));
	}

	void TearDown() override
	{
		fp_http_server_end(server);
		fp_byte_account_end(account);
		fp_loop_end(loop);
	}

	/* Sends bytes; returns what was received, and whether the server closed
	 * the connection. */
	std::string exchange(const std::string &bytes, bool *closed)
	{
		struct sockaddr_in sin = {};
		std::string got;
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		sin.sin_family = AF_INET;
		sin.sin_port = htons(fp_http_server_port(server));
		inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
		EXPECT_EQ(0, connect(fd, (struct sockaddr *)&sin, sizeof(sin)));
		EXPECT_EQ((ssize_t)bytes.size(),
			  write(fd, bytes.data(), bytes.size()));
		fcntl(fd, F_SETFL, O_NONBLOCK);
		*closed = false;
		for (int i = 0; i < 100 && !*closed; i++) {
			char buf[4096];
			ssize_t n;

			fp_loop_run_once(loop, 2000);
			n = read(fd, buf, sizeof(buf));
			if (n > 0)
				got.append(buf, (size_t)n);
			*closed = n == 0 || (n < 0 && errno == ECONNRESET);
		}
		close(fd);
		fp_loop_run_once(loop, 1000);
		return got;
	}

	int open_connection()
	{
		struct sockaddr_in sin = {};
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		sin.sin_family = AF_INET;
		sin.sin_port = htons(fp_http_server_port(server));
		inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
		EXPECT_EQ(0, connect(fd, (struct sockaddr *)&sin, sizeof(sin)));
		fcntl(fd, F_SETFL, O_NONBLOCK);
		return fd;
	}
	/* Sends again and again, and reads only if asked, until the server has
	 * closed the connection; returns what was read. */
	std::string flood(int fd, const std::string &part, bool reads,
			  bool *closed)
	{
		std::string got;
		char buf[4096];
		ssize_t n;

		*closed = false;
		for (int i = 0; i < 5000 && !*closed; i++) {
			n = send(fd, part.data(), part.size(), MSG_NOSIGNAL);
			*closed = n < 0 && errno != EAGAIN;
			fp_loop_run_once(loop, 1000);
			while (reads && (n = read(fd, buf, sizeof(buf))) > 0)
				got.append(buf, (size_t)n);
		}
		return got;
	}
	void run_loop(int ms)
	{
		for (int i = 0; i < ms; i++)
			fp_loop_run_once(loop, 1000);
	}
	static void send_text(int fd, const std::string &text)
	{
		EXPECT_EQ((ssize_t)text.size(),
			  send(fd, text.data(), text.size(), MSG_NOSIGNAL));
	}
	static std::string read_now(int fd)
	{
		char buf[4096];
		ssize_t n = read(fd, buf, sizeof(buf));

		return std::string(buf, n > 0 ? (size_t)n : 0);
	}

	struct fp_byte_account *account = nullptr;
	struct fp_loop *loop = nullptr;
	struct fp_http_server *server = nullptr;
	std::vector<std::string> methods;
	std::vector<std::string> uris;
	std::vector<std::string> bodies;
};

TEST_F(HttpServer, AcceptsBodiesWithLengthAndInChunks)
{
	bool closed;

	exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
		 &closed);
	EXPECT_FALSE(closed);
	exchange("POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
		 "\r\n2\r\nde\r\n0\r\n\r\n",
		 &closed);
	EXPECT_EQ((std::vector<std::string>{ "/a", "/b" }), uris);
	EXPECT_EQ((std::vector<std::string>{ "abc", "de" }), bodies);
}

/* Guards against a request that runs with another method, the beginning of its
 * own. */
TEST_F(HttpServer, PassesOnWholeMethods)
{
	const std::vector<std::string> sent = { "BASELINE-CONTROL",
						"UPDATEREDIRECTREF",
						std::string(200, 'M') };
	bool closed;

	for (const auto &method : sent)
		exchange(method + " /m HTTP/1.1\r\nHost: h\r\n"
				  "Connection: close\r\n\r\n",
			 &closed);
	EXPECT_EQ(sent, methods);
}

TEST_F(HttpServer, RefusesAmbiguousBodyLength)
{
	const std::string inner = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
	const std::string heads[] = {
		"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
		"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
		"Content-Length: 4\r\nContent-Length: 40\r\n",
		"Content-Length: 40\r\ncontent-length: 4\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n",
	};

	for (const auto &head : heads) {
		bool closed;
		std::string got =
			exchange("POST /a HTTP/1.1\r\nHost: h\r\n" + head +
					 "\r\n0\r\n\r\n" + inner,
				 &closed);

		EXPECT_EQ("HTTP/1.1 400", got.substr(0, 12)) << head;
		EXPECT_TRUE(closed) << head;
	}
	EXPECT_TRUE(uris.empty());
}

TEST_F(HttpServer, ClosesConnectionOnInvalidRequest)
{
	bool closed;

	exchange("\x16\x03\x01 this is no request\r\n\r\n", &closed);
	EXPECT_TRUE(closed);
	EXPECT_TRUE(uris.empty());
}

TEST_F(HttpServer, RefusesAnAnnouncedBodyAtItsHead)
{
	bool closed;
	std::string got =
		exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1001"
			 "\r\n\r\nabc",
			 &closed);

	EXPECT_EQ("HTTP/1.1 413", got.substr(0, 12));
	EXPECT_NE(std::string::npos, got.find("Fulmar-Outcome: not-run"));
	EXPECT_NE(std::string::npos, got.find("Connection: close"));
	EXPECT_TRUE(closed);
	EXPECT_TRUE(uris.empty());
}

TEST_F(HttpServer, ALowerLimitOfBodiesBindsRequestsThatBeginLater)
{
	bool closed;
	int fd = open_connection();

	send_text(fd, "POST /a HTTP/1.1\r\nHost: h\r\n"
		      "Content-Length: 400\r\n\r\n" +
			      std::string(300, 'a'));
	run_loop(20);
	fp_http_server_limit_bodies(server, 200);
	EXPECT_EQ("HTTP/1.1 413", exchange("POST /b HTTP/1.1\r\nHost: h\r\n"
					   "Content-Length: 201\r\n\r\nabc",
					   &closed)
					  .substr(0, 12));
	EXPECT_EQ("HTTP/1.1 200", exchange("POST /c HTTP/1.1\r\nHost: h\r\n"
					   "Content-Length: 200\r\n\r\n" +
						   std::string(200, 'c'),
					   &closed)
					  .substr(0, 12));
	send_text(fd, std::string(100, 'a'));
	run_loop(50);
	EXPECT_EQ("HTTP/1.1 200", read_now(fd).substr(0, 12));
	close(fd);
	fp_http_server_limit_bodies(server, UINT32_MAX);
	EXPECT_EQ("HTTP/1.1 413", exchange("POST /d HTTP/1.1\r\nHost: h\r\n"
					   "Content-Length: 1001\r\n\r\nabc",
					   &closed)
					  .substr(0, 12));
	EXPECT_EQ(2u, uris.size());
}

/* The client sends on; it can still read why it was refused. */
TEST_F(HttpServer, AClientThatSendsOnReadsTheRefusal)
{
	const std::string heads[] = {
		"Content-Length: 100000000\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n",
	};

	for (const auto &head : heads) {
		int fd = open_connection();
		std::string got;
		bool closed;

		send_text(fd, "POST /a HTTP/1.1\r\nHost: h\r\n");
		send_text(fd, head);
		got = flood(fd, "3e8\r\n" + std::string(1000, 'x') + "\r\n",
			    true, &closed);
		EXPECT_EQ("HTTP/1.1 413", got.substr(0, 12)) << head;
		EXPECT_TRUE(closed) << head;
		close(fd);
	}
	EXPECT_TRUE(uris.empty());
}

TEST_F(HttpServer, EndsAConnectionWhoseClientNeverReads)
{
	int fd = open_connection();
	bool closed;

	send_text(fd, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: "
		      "99999999\r\n\r\n");
	flood(fd, std::string(1000, 'x'), false, &closed);
	EXPECT_TRUE(closed);
	run_loop(50);
	EXPECT_EQ(0u, fp_http_server_open_exchanges(server));
	close(fd);
}

/* 750 bytes are held twice, so a second body waits until the first ends. */
TEST_F(HttpServer, ABodyWithoutRoomIsReadLater)
{
	const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\n"
				 "Content-Length: 700\r\n\r\n";
	int first = open_connection();
	int second = open_connection();

	send_text(first, head);
	run_loop(20);
	send_text(second, head);
	send_text(second, std::string(700, 'b'));
	run_loop(50);
	EXPECT_TRUE(bodies.empty());
	send_text(first, std::string(700, 'a'));
	run_loop(300);
	EXPECT_EQ((std::vector<std::string>{ std::string(700, 'a'),
					     std::string(700, 'b') }),
		  bodies);
	EXPECT_EQ("HTTP/1.1 200", read_now(first).substr(0, 12));
	EXPECT_EQ("HTTP/1.1 200", read_now(second).substr(0, 12));
	close(first);
	close(second);
}

TEST_F(HttpServer, ABodyInChunksWithoutRoomIsReadLater)
{
	const std::string body(700, 'b');
	int first = open_connection();
	int second = open_connection();

	send_text(first, "POST /a HTTP/1.1\r\nHost: h\r\n"
			 "Content-Length: 700\r\n\r\n");
	run_loop(20);
	send_text(second, "POST /b HTTP/1.1\r\nHost: h\r\n"
			  "Transfer-Encoding: chunked\r\n\r\n2bc\r\n" +
				  body + "\r\n0\r\n\r\n");
	run_loop(50);
	EXPECT_TRUE(bodies.empty());
	send_text(first, std::string(700, 'a'));
	run_loop(300);
	EXPECT_EQ((std::vector<std::string>{ "/a", "/b" }), uris);
	EXPECT_EQ((std::vector<std::string>{ std::string(700, 'a'), body }),
		  bodies);
	close(first);
	close(second);
}

TEST_F(HttpServer, AStalledBodyIsEvictedAndIsToldSo)
{
	const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\n"
				 "Content-Length: 700\r\n\r\n";
	int first = open_connection();
	int second = open_connection();
	std::string got;

	send_text(first, head);
	send_text(first, "a");
	run_loop(20);
	send_text(second, head);
	send_text(second, std::string(700, 'b'));
	for (int i = 0; i < 3000 && bodies.empty(); i++)
		fp_loop_run_once(loop, 1000);
	EXPECT_EQ(std::vector<std::string>{ std::string(700, 'b') }, bodies);
	got = read_now(first);
	EXPECT_EQ("HTTP/1.1 503", got.substr(0, 12));
	EXPECT_NE(std::string::npos, got.find("Fulmar-Outcome: not-run"));
	EXPECT_NE(std::string::npos, got.find("Retry-After: "));
	close(first);
	close(second);
}

/* Ten connections are allowed; an idle one is closed for each further one. */
TEST_F(HttpServer, ANewConnectionIsServedWhenAllAreTaken)
{
	std::vector<int> fds;
	std::string got;

	for (int i = 0; i < 20; i++) {
		fds.push_back(open_connection());
		send_text(fds.back(), "GET /a HTTP/1.1\r\n");
		run_loop(5);
	}
	fds.push_back(open_connection());
	send_text(fds.back(), "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
	run_loop(100);
	EXPECT_EQ("HTTP/1.1 200", read_now(fds.back()).substr(0, 12));
	EXPECT_EQ(std::vector<std::string>{ "/b" }, uris);
	EXPECT_LE(fp_http_server_open_exchanges(server), 10u);
	for (int fd : fds)
		close(fd);
}

} // namespace
