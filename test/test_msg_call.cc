/* test_msg_call.cc - call messages: round trip, truncation, corrupted bytes */
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "protocol/msg_call.h"

static std::vector<uint8_t> encoded_call()
{
	static const uint8_t body[] = { 'b', 'o', 'd', 'y', 0, 1 };
	struct fp_msg_call m = {};
	msgpack_sbuffer buf;

	m.corr = 77;
	memset(m.root, 5, sizeof(m.root));
	strcpy(m.org, "parish");
	m.org_weight = 9;
	m.cls = FP_CLASS_IMPORTANT;
	m.non_idempotent = true;
	strcpy(m.route, "funeral");
	strcpy(m.service, "order");
	strcpy(m.method, "POST");
	strcpy(m.uri, "/order?x=1");
	m.left_us = 1234567;
	m.attempts = 3;
	m.depth = 2;
	m.fingerprint = UINT64_MAX;
	m.content.headers[0] = { "Accept", "text/plain" };
	m.content.headers[1] = { "X-Empty", "" };
	m.content.n_headers = 2;
	m.content.body = body;
	m.content.body_bytes = sizeof(body);
	msgpack_sbuffer_init(&buf);
	fp_msg_call_encode(&m, &buf);
	std::vector<uint8_t> out(buf.data, buf.data + buf.size);
	msgpack_sbuffer_destroy(&buf);
	return out;
}

static std::vector<uint8_t>
encoded_reply(uint16_t used_permille = FP_LOAD_USED_MAX)
{
	struct fp_msg_reply m = {};
	msgpack_sbuffer buf;

	m.corr = 78;
	m.outcome = FP_OUTCOME_RAN;
	m.http_status = 201;
	m.run_us = 4000;
	m.attempts_unused = 1;
	strcpy(m.service_loads[0].service, "stock");
	m.service_loads[0].calls = 4;
	m.service_loads[0].age_ms = 70;
	m.service_loads[0].used_permille = used_permille;
	m.n_service_loads = 1;
	m.admission_load.limit = 10;
	m.speed = { 40000, 5000, 0, 250, 17 };
	m.admission_load.refused_permille[FP_CLASS_SHEDDABLE] = 1000;
	m.content.headers[0] = { "Content-Type", "text/plain" };
	m.content.n_headers = 1;
	m.content.body = (const uint8_t *)"answer";
	m.content.body_bytes = 6;
	msgpack_sbuffer_init(&buf);
	fp_msg_reply_encode(&m, &buf);
	std::vector<uint8_t> out(buf.data, buf.data + buf.size);
	msgpack_sbuffer_destroy(&buf);
	return out;
}

static enum fp_status decode_any(const std::vector<uint8_t> &d)
{
	struct fp_msg_memory mem;
	enum fp_status st = FP_INVALID;

	if (fp_msg_type(d.data(), d.size()) == FP_MSG_CALL) {
		static struct fp_msg_call m;

		st = fp_msg_call_decode(d.data(), d.size(), &m, &mem);
	} else if (fp_msg_type(d.data(), d.size()) == FP_MSG_REPLY) {
		static struct fp_msg_reply m;

		st = fp_msg_reply_decode(d.data(), d.size(), &m, &mem);
	}
	if (st == FP_OK)
		fp_msg_memory_end(&mem);
	return st;
}

TEST(MsgCall, RoundTrip)
{
	std::vector<uint8_t> d = encoded_call();
	struct fp_msg_memory mem;
	struct fp_msg_call m;

	ASSERT_EQ(FP_OK, fp_msg_call_decode(d.data(), d.size(), &m, &mem))
		<< fp_last_message();
	EXPECT_EQ(77u, m.corr);
	EXPECT_STREQ("parish", m.org);
	EXPECT_TRUE(m.non_idempotent);
	EXPECT_FALSE(m.nested);
	EXPECT_EQ(1234567, m.left_us);
	EXPECT_EQ(UINT64_MAX, m.fingerprint);
	ASSERT_EQ(2u, m.content.n_headers);
	EXPECT_STREQ("text/plain", m.content.headers[0].value);
	EXPECT_STREQ("", m.content.headers[1].value);
	ASSERT_EQ(6u, m.content.body_bytes);
	EXPECT_EQ(0, memcmp("body\0\1", m.content.body, 6));
	fp_msg_memory_end(&mem);
}

TEST(MsgCall, ReplyRoundTrip)
{
	std::vector<uint8_t> d = encoded_reply();
	struct fp_msg_memory mem;
	struct fp_msg_reply m;

	ASSERT_EQ(FP_OK, fp_msg_reply_decode(d.data(), d.size(), &m, &mem));
	EXPECT_EQ(201, m.http_status);
	EXPECT_STREQ("stock", m.service_loads[0].service);
	EXPECT_EQ(4, m.service_loads[0].calls);
	EXPECT_EQ(70, m.service_loads[0].age_ms);
	EXPECT_EQ(FP_LOAD_USED_MAX, m.service_loads[0].used_permille);
	EXPECT_EQ(1000, m.admission_load.refused_permille[FP_CLASS_SHEDDABLE]);
	EXPECT_EQ(40000u, m.speed.own_us);
	EXPECT_EQ(5000u, m.speed.inner_us);

	EXPECT_EQ(250u, m.speed.rate_per_s);
	EXPECT_EQ(17u, m.speed.age_ms);
	EXPECT_EQ(4000, m.run_us);
	fp_msg_memory_end(&mem);
}

TEST(MsgCall, AnOccupancyAboveTheLargestIsRefused)
{
	auto d = encoded_reply(FP_LOAD_USED_MAX + 1);
	struct fp_msg_memory mem;
	struct fp_msg_reply m;

	EXPECT_EQ(FP_INVALID,
		  fp_msg_reply_decode(d.data(), d.size(), &m, &mem));
}

TEST(MsgCall, EveryTruncationAndTrailingByteIsRefused)
{
	for (auto d : { encoded_call(), encoded_reply() }) {
		for (size_t n = 0; n < d.size(); n++)
			EXPECT_EQ(FP_INVALID,
				  decode_any({ d.begin(), d.begin() + n }))
				<< n;
		d.push_back(0xc0);
		EXPECT_EQ(FP_INVALID, decode_any(d));
	}
}

TEST(MsgCall, ChangedByteIsRefusedOrDecodedWithinBounds)
{
	/* Sanitizer builds also check for memory errors here. */
	for (const auto &original : { encoded_call(), encoded_reply() }) {
		for (size_t i = 0; i < original.size(); i++) {
			for (int v : { 0x00, 0x7f, 0x80, 0xc1, 0xdd, 0xff }) {
				std::vector<uint8_t> d = original;

				d[i] = (uint8_t)v;
				decode_any(d);
			}
		}
	}
	std::vector<uint8_t> d = encoded_call();
	d[1] = FP_MSG_REPLY;
	EXPECT_EQ(FP_INVALID, decode_any(d));
}
