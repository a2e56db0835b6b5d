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
		h.request = [](void *ctx, struct fp_http_exchange *x,
			       const struct fp_http_request *r) {
			auto *t = static_cast<HttpServer *>(ctx);

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

	struct fp_loop *loop = nullptr;
	struct fp_http_server *server = nullptr;
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

} // namespace
