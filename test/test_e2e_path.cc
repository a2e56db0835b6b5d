/* test_e2e_path.cc - end to end: a request, its nested calls, and bad input */
#include "e2e_fleet.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

class Path : public E2eFleet
{
      protected:
	void SetUp() override
	{
		start({ "rota", "stock", "notice", "order" });
		declare();
		make_key("parish");
		for (int v = 0; v < f->n_vms; v++) {
			wait_serving(v, "/rota/week", keys["parish"]);
			wait_serving(v, "/stock/list", keys["parish"]);
			wait_serving(v, "/notice", "");
		}
	}
};

TEST_F(Path, AnswerBodyIsForwardedUnchanged)
{
	std::string body(70000, 'x');

	for (size_t i = 0; i < body.size(); i++)
		body[i] = (char)(i * 31 % 251);
	for (int v = 0; v < f->n_vms; v++) {
		Answer a = call(v, "POST", "/rota/echo?echo=1", keys["parish"],
				body);

		EXPECT_EQ(200, a.status) << a.reason;
		EXPECT_EQ("ran", a.outcome);
		EXPECT_EQ(body, a.body);
	}
}

TEST_F(Path, NestedChainThreeDeep)
{
	Answer a = call(1, "GET", "/notice?nest=/rota/week%3E/stock/list", "");

	EXPECT_EQ(200, a.status) << a.reason << a.body;
	EXPECT_NE(std::string::npos, a.body.find("notice")) << a.body;
	EXPECT_NE(std::string::npos, a.body.find("rota")) << a.body;
	EXPECT_NE(std::string::npos, a.body.find("stock")) << a.body;
	a = call(1, "GET", "/rota/week?nest=/stock/list%3E/notice",
		 keys["parish"]);
	EXPECT_EQ(200, a.status) << a.reason << a.body;
	EXPECT_NE(std::string::npos, a.body.find("notice")) << a.body;
}

TEST_F(Path, NoBackendServerReceivesTheKey)
{
	const std::string &key = keys["parish"];

	call(1, "GET", "/rota/week?nest=/stock/list", key);
	EXPECT_EQ(400, call(1, "GET", "/rota/week?k=" + key, key).status);
	EXPECT_EQ("key-misplaced",
		  call(1, "POST", "/rota/echo?echo=1", key, "a" + key + "b")
			  .reason);
	EXPECT_EQ(400,
		  call(1, "GET", "/rota/week", key, "", { "X-Copy: " + key })
			  .status);
	EXPECT_GT(count_starts(""), 0);
	for (int v = 0; v < f->n_vms; v++) {
		EXPECT_EQ(std::string::npos, executions(v).find(key));
		EXPECT_EQ(std::string::npos,
			  executions(v).find("Authorization"));
	}
}

TEST_F(Path, BadInputGetsADocumentedStatus)
{
	const std::string &key = keys["parish"];

	EXPECT_EQ(401, call(0, "GET", "/rota/week", "").status);
	EXPECT_EQ("key-missing", call(0, "GET", "/rota/week", "").reason);
	EXPECT_EQ("key-unknown", call(0, "GET", "/rota/week", "fpk_x").reason);
	EXPECT_EQ(404, call(0, "GET", "/nowhere", key).status);
	/* Paths that a backend server may resolve to another route. */
	for (const char *path :
	     { "//rota/week", "/notice/..;/../rota/week", "/%72ota/week",
	       "/notice/%2e%2e/rota", "/notice/./x", "/notice%2frota" })
		EXPECT_EQ(400, call(0, "GET", path, key).status) << path;
	EXPECT_EQ(413,
		  call(0, "POST", "/rota/echo", key, std::string(3 << 20, 'x'))
			  .status);
	EXPECT_EQ(403, call(0, "GET", "/stock/list", "", "",
			    { "Fulmar-Call: 00112233445566778899aabbccddeeff" },
			    FLEET_LOCAL)
			       .status);
	EXPECT_EQ(431, call(0, "GET", "/rota/week", key, "",
			    { "X-Large: " + std::string(60000, 'h') })
			       .status);
	EXPECT_EQ(200, call(0, "GET", "/rota/week", key).status);
	EXPECT_GE(metric(0, "fulmar_http_refused_total"), 2);
	EXPECT_EQ(2, metric(0, "fulmar_answers_total{class=\"normal\",reason="
			       "\"key-missing\"}"));
}

/* Sends raw bytes to a port of a VM; returns whether the node closed the
 * connection within 5 s. */
static bool closed_after(const char *address, int port,
			 const std::string &bytes)
{
	struct sockaddr_in sin = {};
	struct timeval limit = { 5, 0 };
	char buf[512];
	ssize_t n;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sin.sin_family = AF_INET;
	sin.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, address, &sin.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0)
		return false;
	(void)!send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
	while ((n = recv(fd, buf, sizeof(buf), 0)) > 0)
		;
	close(fd);
	return n == 0 || errno == ECONNRESET;
}

TEST_F(Path, InvalidFramesCloseOnlyTheirOwnLink)
{
	const char *address = f->vms[0]->address;
	std::string oversized("\x7f\xff\xff\xff", 4);
	std::string truncated("\0\0\0\x48\x01\x02", 6);
	std::string unknown = std::string("\0\0\0\x02\x09\x09", 6);
	std::string no_proof =
		std::string("\0\0\0\x41\x01", 5) + std::string(64, 'n');

	EXPECT_TRUE(closed_after(address, FLEET_PEER, oversized));
	EXPECT_TRUE(closed_after(address, FLEET_PEER, truncated));
	EXPECT_TRUE(closed_after(address, FLEET_PEER, unknown));
	EXPECT_TRUE(closed_after(address, FLEET_PEER, no_proof));
	EXPECT_TRUE(closed_after(address, FLEET_CONTROL, oversized));
	EXPECT_GE(metric(0, "fulmar_peer_bad_frames_total{net=\"call\"}"), 2);
	EXPECT_EQ(200, call(0, "GET", "/stock/list", keys["parish"]).status);
	EXPECT_EQ(200, call(1, "GET", "/rota/week", keys["parish"]).status);
}
