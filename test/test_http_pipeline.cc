/* test_http_pipeline.cc - requests read while earlier ones of the same
 * connection are not answered yet */
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <map>
#include <string>
#include <vector>

#include "transport/http_pipeline.h"
#include "transport/http_server.h"

namespace
{

class HttpPipeline : public testing::Test
{
      protected:
	void SetUp() override
	{
		struct fp_http_server_config cfg = {};
		struct fp_http_handler h = {};

		cfg.address = "127.0.0.1";
		cfg.max_body_bytes = 1000;
		cfg.max_header_bytes = 4096;
		cfg.max_connections = 3;
		cfg.read_ahead = true;
		cfg.account = account;
		h.request = [](void *ctx, struct fp_http_exchange *x,
			       const struct fp_http_request *r) {
			auto *t = static_cast<HttpPipeline *>(ctx);
			std::string uri = r->uri;

			t->uris.push_back(uri);
			t->bodies.emplace_back((const char *)r->body,
					       r->body_bytes);
			t->waiting[uri] = x;
			if (uri.find("now") != std::string::npos)
				t->answer(uri);
		};
		h.client_left = [](void *ctx, struct fp_http_exchange *x) {
			auto *t = static_cast<HttpPipeline *>(ctx);

			t->n_left++;
			t->answer_all(t->on_left);
			for (auto &w : t->waiting)
				if (w.second == x) {
					t->waiting.erase(w.first);
					break;
				}
			fp_http_reply(x, 503, nullptr, 0, nullptr, 0);
		};
		h.ctx = this;
		ASSERT_EQ(FP_OK, fp_loop_init(fp_system_clock(), &loop));
		ASSERT_EQ(FP_OK, fp_http_server_init(loop, &cfg, &h, &server));
	}
	void TearDown() override
	{
		if (fd >= 0)
			close(fd);
		fp_http_server_end(server);
		fp_byte_account_end(account);
		fp_loop_end(loop);
	}
	int open_connection()
	{
		struct sockaddr_in sin = {};
		int s = socket(AF_INET, SOCK_STREAM, 0);

		if (receive_bytes)
			setsockopt(s, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
				   sizeof(receive_bytes));
		sin.sin_family = AF_INET;
		sin.sin_port = htons(fp_http_server_port(server));
		inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
		EXPECT_EQ(0, connect(s, (struct sockaddr *)&sin, sizeof(sin)));
		fcntl(s, F_SETFL, O_NONBLOCK);
		return s;
	}
	void send_text(const std::string &text)
	{
		if (fd < 0)
			fd = open_connection();
		ASSERT_EQ((ssize_t)text.size(),
			  send(fd, text.data(), text.size(), MSG_NOSIGNAL));
		run();
	}
	void run(int n = 30)
	{
		char buf[65536];
		ssize_t bytes;

		for (int i = 0; i < n; i++) {
			fp_loop_run_once(loop, 1000);
			if (fd < 0 || paused)
				continue;
			bytes = read(fd, buf, sizeof(buf));
			if (bytes > 0)
				got.append(buf, (size_t)bytes);
			closed |= bytes == 0 ||
				  (bytes < 0 && errno == ECONNRESET);
		}
	}
	void answer(const std::string &uri, const std::string &body = "")
	{
		std::string text = body.empty() ? "<" + uri + ">" : body;
		struct fp_http_header h = { "X-For", uri.c_str() };
		struct fp_http_exchange *x = waiting[uri];

		waiting.erase(uri);
		fp_http_reply(x, 200, &h, 1, text.data(), text.size());
	}
	/* Answers those of the requests that wait, as a handler may at any
	 * time. */
	void answer_all(const std::vector<std::string> &some)
	{
		for (const auto &uri : some)
			if (waiting.count(uri))
				answer(uri);
	}
	static std::string get(const std::string &uri)
	{
		return "GET " + uri + " HTTP/1.1\r\nHost: h\r\n\r\n";
	}
	/* The bodies "<...>" received so far, in order. */
	std::string order() const
	{
		std::string all;

		for (size_t at = 0; (at = got.find('<', at)) != got.npos; at++)
			all += got.substr(at, got.find('>', at) + 1 - at);
		return all;
	}

	struct fp_loop *loop = nullptr;
	struct fp_http_server *server = nullptr;
	std::vector<std::string> uris;
	std::vector<std::string> bodies;
	std::map<std::string, struct fp_http_exchange *> waiting;
	std::vector<std::string> on_left; /* answered when a client leaves */
	std::string got;
	int n_left = 0;
	struct fp_byte_account *account = nullptr;
	int fd = -1;
	int receive_bytes = 0; /* buffer of the client's socket; 0: default */
	bool closed = false;
	bool paused = false; /* the client takes no answers */
};

TEST_F(HttpPipeline, RunsSideBySideAndAnswersInOrder)
{
	send_text(get("/1") + get("/2") + get("/3"));
	ASSERT_EQ(3u, waiting.size());
	answer("/3");
	answer("/2");
	run();
	EXPECT_EQ("", got);
	answer("/1");
	run();
	EXPECT_EQ("</1></2></3>", order());
	EXPECT_NE(std::string::npos, got.find("X-For: /2\r\n"));
	EXPECT_EQ(0u, got.find("HTTP/1.1 200 OK\r\nDate: "));
	send_text(get("/4-now"));
	EXPECT_EQ("</1></2></3></4-now>", order());
	EXPECT_FALSE(closed);
}

TEST_F(HttpPipeline, HeadInPiecesWaitsForItsRest)
{
	std::string text = get("/1") + get("/2");

	for (char c : text)
		send_text(std::string(1, c));
	run(100);
	if (waiting.count("/1"))
		answer("/1");
	run(100);
	if (waiting.count("/2"))
		answer("/2");
	run(100);
	EXPECT_EQ("</1></2>", order());
	EXPECT_EQ(2u, uris.size());
}

TEST_F(HttpPipeline, OtherRequestsGoToTheLibraryAfterTheAnswersBefore)
{
	send_text(get("/1") +
		  "POST /2 HTTP/1.1\r\nHost: h\r\n"
		  "Content-Length: 3\r\n\r\nabc" +
		  get("/3-now"));
	EXPECT_EQ((std::vector<std::string>{ "/1" }), uris);
	answer("/1");
	run();
	ASSERT_EQ((std::vector<std::string>{ "/1", "/2" }), uris);
	EXPECT_EQ("abc", bodies[1]);
	answer("/2");
	run();
	EXPECT_EQ("</1></2></3-now>", order());
	EXPECT_FALSE(closed);
}

TEST_F(HttpPipeline, RequestInABodyIsNotRun)
{
	send_text(get("/1-now") +
		  "GET /2 HTTP/1.1\r\nHost: h\r\n"
		  "Content-Length: 4\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
		  get("/smuggled-now"));
	run(100);
	EXPECT_EQ((std::vector<std::string>{ "/1-now" }), uris);
	EXPECT_NE(std::string::npos, got.find("HTTP/1.1 400"));
	EXPECT_TRUE(closed);
}

TEST_F(HttpPipeline, RequestsAheadAreBounded)
{
	std::string text;

	for (int i = 0; i < 40; i++)
		text += get("/" + std::to_string(i));
	send_text(text);
	EXPECT_EQ(16u, waiting.size());
	answer("/0");
	run();
	EXPECT_EQ(16u, waiting.size());
	EXPECT_EQ(17u, uris.size());
	for (int i = 1; i < 40; i++) {
		answer("/" + std::to_string(i));
		run(3);
	}
	EXPECT_EQ(40u, uris.size());
	EXPECT_NE(std::string::npos, order().find("</38></39>"));
}

TEST_F(HttpPipeline, NothingIsReadWhileAnswersAreNotTaken)
{
	std::string big(4 << 20, 'x');

	paused = true;
	send_text(get("/1") + get("/2"));
	answer("/1", big);
	run();
	answer("/2", big);
	send_text(get("/3-now"));
	EXPECT_EQ(2u, uris.size());
	paused = false;
	run(3000);
	EXPECT_EQ(3u, uris.size());
	EXPECT_EQ("</3-now>", order());
	EXPECT_GT(got.size(), 2 * big.size());
}

/* Guards against a stop that cuts answers which their clients have not read yet:
 * answers of either reader, and those behind them, are open until they are
 * sent. */
TEST_F(HttpPipeline, AnAnswerIsOpenUntilItIsSent)
{
	/* More than the buffers of both sockets may grow to. */
	std::string big(8 << 20, 'x');
	const std::string post =
		"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

	receive_bytes = 64 << 10;
	for (const std::string &first : { get("/1"), post }) {
		paused = true;
		send_text(first + get("/2"));
		answer("/1", big);
		run();
		if (waiting.count("/2"))
			answer("/2");
		run();
		EXPECT_LE(1u, fp_http_server_open_exchanges(server)) << first;
		paused = false;
		run(3000);
		if (waiting.count("/2"))
			answer("/2");
		run();
		EXPECT_EQ(0u, fp_http_server_open_exchanges(server)) << first;
		EXPECT_EQ("</2>", order()) << first;
		close(fd);
		fd = -1;
		got.clear();
	}
}

TEST_F(HttpPipeline, AllRequestsOfAClientThatLeftAreNotified)
{
	send_text(get("/1") + get("/2"));
	close(fd);
	fd = -1;
	run(200);
	EXPECT_EQ(2, n_left);
	EXPECT_EQ(0u, fp_http_server_open_exchanges(server));
}

const std::string post_of_none =
	"POST /post HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

/* Guards against a node that ends with the connection of a client: the answer to a
 * nested call of its request lets the connection behind it in the list pass to the
 * library, while the list is walked. */
TEST_F(HttpPipeline, AClientThatLeavesMayEndTheNextConnection)
{
	int other;

	send_text(get("/nested") + post_of_none);
	other = fd;
	fd = -1;
	send_text(get("/root") + post_of_none);
	ASSERT_EQ(2u, waiting.size());
	on_left = { "/nested" };
	close(fd);
	fd = other;
	run(200);
	EXPECT_EQ(1, n_left);
	EXPECT_EQ("</nested>", order());
	EXPECT_EQ(1u, waiting.count("/post"));
	answer_all({ "/post" });
	run();
	EXPECT_EQ("</nested></post>", order());
}

/* Guards against a connection that is freed twice: the handler answers a request
 * whose own connection has just ended. */
TEST_F(HttpPipeline, AClientThatLeavesMayHaveItsOtherRequestsAnswered)
{
	send_text(get("/1") + get("/2") + get("/3"));
	ASSERT_EQ(3u, waiting.size());
	on_left = { "/2", "/3" };
	close(fd);
	fd = -1;
	run(200);
	EXPECT_EQ(1, n_left);
	EXPECT_EQ(0u, fp_http_server_open_exchanges(server));
}

/* A connection that passes to the library just when the server ends is closed. */
TEST_F(HttpPipeline, AServerThatEndsClosesWhatItHasNotHandedOver)
{
	char buf[1000];
	ssize_t bytes;

	send_text(get("/1") + post_of_none);
	answer("/1");
	fp_http_server_end(server);
	server = nullptr;
	while ((bytes = read(fd, buf, sizeof(buf))) > 0)
		got.append(buf, (size_t)bytes);
	/* Closed, with the unread request; EAGAIN: it is still open. */
	EXPECT_TRUE(bytes == 0 || errno == ECONNRESET) << errno;
}

/* Guards against a sweep over exchanges that goes on behind one which was freed:
 * a client of the library leaves, and the handler answers another request. */
TEST_F(HttpPipeline, AClientOfTheLibraryThatLeavesMayEndOtherExchanges)
{
	int other;

	send_text(get("/1") + get("/2") + get("/3"));
	other = fd;
	fd = -1;
	send_text(post_of_none);
	ASSERT_EQ(4u, waiting.size());
	on_left = { "/1", "/2", "/3" };
	close(fd);
	fd = other;
	run(200);
	EXPECT_EQ(1, n_left);
	EXPECT_EQ("</1></2></3>", order());
	EXPECT_EQ(0u, fp_http_server_open_exchanges(server));
}

TEST_F(HttpPipeline, AClientThatLeftIsNoticedBehindRequestsThatAreNotRead)
{
	std::string text;

	for (int i = 0; i < 20; i++)
		text += get("/" + std::to_string(i));
	send_text(text);
	EXPECT_EQ(16u, waiting.size());
	shutdown(fd, SHUT_WR);
	run(200);
	EXPECT_EQ(16, n_left);
}

TEST_F(HttpPipeline, StoppingNodeAnswersWhatItReadAndCloses)
{
	send_text(get("/1") + get("/2"));
	fp_http_server_disable_keep_alive(server);
	send_text(get("/3"));
	EXPECT_EQ(2u, uris.size());
	answer("/1");
	run();
	EXPECT_EQ(std::string::npos, got.find("Connection: close"));
	answer("/2");
	run(300);
	EXPECT_EQ("</1></2>", order());
	EXPECT_NE(std::string::npos, got.find("Connection: close"));
	EXPECT_EQ(2u, uris.size());
	EXPECT_TRUE(closed);
}

TEST_F(HttpPipeline, ConnectionsAreBounded)
{
	std::vector<int> fds;

	for (int i = 0; i < 4; i++) {
		fds.push_back(open_connection());
		run(3);
	}
	char byte;

	errno = 0;
	EXPECT_LT(read(fds[0], &byte, 1), 0);
	EXPECT_EQ(EAGAIN, errno);
	EXPECT_EQ(0, read(fds[3], &byte, 1));
	for (int s : fds)
		close(s);
}

/* A refusal says whether the request ran. It must arrive as it is although answers
 * before it are not sent and the account is full. */
class HttpPipelineAccount : public HttpPipeline
{
      protected:
	HttpPipelineAccount()
	{
		account = fp_byte_account_init(10);
	}
};

TEST_F(HttpPipelineAccount, ARefusalIsSentWithoutRoom)
{
	struct fp_http_header outcome = { "Fulmar-Outcome", "not-run" };
	const std::string why(160, 'r');

	send_text(get("/a") + get("/b") + get("/c") + get("/d") + get("/e"));
	ASSERT_EQ(5u, waiting.size());
	answer("/b", std::string(4000, 'b'));
	answer("/c", std::string(2000, 'c'));
	/* The account is full now: a larger answer is given up. */
	answer("/d", std::string(2000, 'd'));
	fp_http_reply(waiting["/e"], 503, &outcome, 1, why.data(), why.size());
	waiting.erase("/e");
	answer("/a");
	run();
	EXPECT_NE(std::string::npos, got.find("502 "));
	EXPECT_EQ(std::string::npos, got.find("dddd"));
	EXPECT_NE(std::string::npos, got.find("503 "));
	EXPECT_NE(std::string::npos, got.find("not-run"));
	EXPECT_NE(std::string::npos, got.find(why));
}

} // namespace
