/* test_msg_body.cc - messages of bodies in parts: round trip, truncation */
#include <gtest/gtest.h>

#include <string>

#include "protocol/msg_body.h"

namespace
{

struct Buffer : msgpack_sbuffer {
	Buffer()
	{
		msgpack_sbuffer_init(this);
	}
	~Buffer()
	{
		msgpack_sbuffer_destroy(this);
	}
	const uint8_t *bytes() const
	{
		return (const uint8_t *)data;
	}
};

TEST(MsgBody, RoundTrip)
{
	const uint8_t data[] = { 'p', 0, 'q' };
	struct fp_msg_body_call call = { 12 << 20, data, 3 };
	struct fp_msg_body_part part = { 7, UINT64_MAX, data, 3 };
	struct fp_msg_body_credit credit = { 7, 262144 };
	Buffer a, b, c;

	fp_msg_body_call_encode(&call, &a);
	fp_msg_body_part_encode(&part, &b);
	fp_msg_body_credit_encode(&credit, &c);
	call = {};
	part = {};
	credit = {};
	ASSERT_EQ(FP_OK, fp_msg_body_call_decode(a.bytes(), a.size, &call));
	EXPECT_EQ(12u << 20, call.body_bytes);
	EXPECT_EQ(std::string("p\0q", 3),
		  std::string((const char *)call.call, call.call_bytes));
	ASSERT_EQ(FP_OK, fp_msg_body_part_decode(b.bytes(), b.size, &part));
	EXPECT_EQ(7u, part.corr);
	EXPECT_EQ(UINT64_MAX, part.at);
	EXPECT_EQ(std::string("p\0q", 3),
		  std::string((const char *)part.data, part.bytes));
	ASSERT_EQ(FP_OK, fp_msg_body_credit_decode(c.bytes(), c.size, &credit));
	EXPECT_EQ(7u, credit.corr);
	EXPECT_EQ(262144u, credit.upto);
	for (size_t n = 0; n < a.size; n++)
		EXPECT_NE(FP_OK, fp_msg_body_call_decode(a.bytes(), n, &call));
	for (size_t n = 0; n < b.size; n++)
		EXPECT_NE(FP_OK, fp_msg_body_part_decode(b.bytes(), n, &part));
	for (size_t n = 0; n < c.size; n++)
		EXPECT_NE(FP_OK,
			  fp_msg_body_credit_decode(c.bytes(), n, &credit));
	EXPECT_NE(FP_OK, fp_msg_body_part_decode(a.bytes(), a.size, &part));
}

TEST(MsgBody, ABodyOfNoBytesIsInvalid)
{
	struct fp_msg_body_call call = { 0, nullptr, 0 };
	Buffer a;

	fp_msg_body_call_encode(&call, &a);
	EXPECT_EQ(FP_INVALID,
		  fp_msg_body_call_decode(a.bytes(), a.size, &call));
}

} // namespace
