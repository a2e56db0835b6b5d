/* test_http_head.cc - which heads of requests may be read ahead */
#include <gtest/gtest.h>

#include <string>

#include "transport/http_head.h"

namespace
{

int32_t parse(const std::string &text)
{
	struct http_head head;
	std::string copy = text;

	return http_head_parse(&copy[0], copy.size(), &head);
}

TEST(HttpHead, ParsesARequestAndItsFields)
{
	std::string text =
		"GET /a?b=%20 HTTP/1.1\r\nHost: h\r\n"
		"Connection: Keep-Alive\r\nX-Y:\t v w \r\nZ:\r\n\r\n";
	size_t bytes = text.size();
	struct http_head head;

	text += "GET /next";
	ASSERT_EQ((int32_t)bytes,
		  http_head_parse(&text[0], text.size(), &head));
	EXPECT_STREQ("/a?b=%20", head.uri);
	ASSERT_EQ(4u, head.n_headers);
	EXPECT_STREQ("X-Y", head.headers[2].name);
	EXPECT_STREQ("v w", head.headers[2].value);
	EXPECT_STREQ("", head.headers[3].value);
}

TEST(HttpHead, EveryPrefixIsIncomplete)
{
	std::string text = "GET /a HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n";

	for (size_t n = 1; n < text.size(); n++)
		EXPECT_EQ(0, parse(text.substr(0, n))) << n;
}

TEST(HttpHead, LeavesEverythingElseToTheLibrary)
{
	const std::string first = "GET /a HTTP/1.1\r\n";
	const std::string heads[] = {
		"POST /a HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET a HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a HTTP/1.0\r\nHost: h\r\n\r\n",
		"GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a\nHost: h\r\n\r\n",
		first + "\r\n",
		first + "Host: h\r\nHost: i\r\n\r\n",
		first + "Host: h\r\nContent-Length: 3\r\n\r\n",
		first + "Host: h\r\ncontent-length: 0\r\n\r\n",
		first + "Host: h\r\nTransfer-Encoding: chunked\r\n\r\n",
		first + "Host: h\r\nTransfer-Encoding : chunked\r\n\r\n",
		first + "Host: h\r\nExpect: 100-continue\r\n\r\n",
		first + "Host: h\r\nUpgrade: h2c\r\n\r\n",
		first + "Host: h\r\nConnection: close\r\n\r\n",
		first + "Host: h\r\nA: b\r\n folded\r\n\r\n",
		first + "Host: h\r\nA: b\nContent-Length: 3\r\n\r\n",
		first + "Host: h\r\nA: b\rContent-Length: 3\r\n\r\n",
		first + "Host: h\r\nA: b\177\r\n\r\n",
		first + "Host: h\r\n: b\r\n\r\n",
		first + "Host: h\r\nA b\r\n\r\n",
		first + std::string("Host: h\r\nA: b\0c\r\n\r\n", 19),
	};

	for (const auto &head : heads)
		EXPECT_EQ(-1, parse(head)) << head;
}

} // namespace
