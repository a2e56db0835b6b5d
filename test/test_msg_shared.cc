/* test_msg_shared.cc - strict decoding of messages about tokens and claims */
#include <gtest/gtest.h>

#include <cstring>
#include <random>
#include <string>
#include <vector>

#include "protocol/msg_shared.h"

namespace
{

using Bytes = std::vector<uint8_t>;

constexpr uint64_t BIG = UINT64_C(0xfedcba9876543210);

/* Answer of the samples, which point to it. */
uint8_t answer_text[] = "200 kept answer";

fp_msg_shared sample(int type)
{
	fp_msg_shared m;

	memset(&m, 0, sizeof(m));
	m.type = (fp_msg_shared_type)type;
	m.id = BIG;
	switch (m.type) {
	case FP_MSG_GRANT_REQUEST:
		strcpy(m.grant_request.org, "parish-7");
		m.grant_request.want = 12;
		break;
	case FP_MSG_GRANT_RESPONSE:
		m.grant_response = { FP_EXHAUSTED, BIG - 1, 3, 123456 };
		break;
	case FP_MSG_GRANT_RETURN:
		strcpy(m.grant_return.org, "split");
		m.grant_return.grant_id = BIG;
		m.grant_return.tokens = 2;
		break;
	case FP_MSG_CLAIM_TAKE:
		m.claim_take = { 63, "0123456789abcde", BIG, 1 };
		break;
	case FP_MSG_CLAIM_RESPONSE:
		m.claim_response = { FP_CONFLICT, FP_CLAIM_DONE, 201,
				     answer_text, sizeof(answer_text) };
		break;
	case FP_MSG_CLAIM_FINISH:
		m.claim_finish = {
			1, "0123456789abcde", 7, FP_CLAIM_UNKNOWN, 504, NULL, 0
		};
		break;
	case FP_MSG_CLAIM_RELEASE:
		m.claim_release = { 5, "0123456789abcde", 8 };
		break;
	case FP_MSG_CLAIM_REPLICATE:
		m.claim_replicate = { 9, 2, BIG, true, 1500, {} };
		memset(m.claim_replicate.claim.name, 0xa5, FP_CLAIM_NAME_BYTES);
		m.claim_replicate.claim.fingerprint = BIG;
		m.claim_replicate.claim.attempt_id = 4;
		m.claim_replicate.claim.state = FP_CLAIM_DONE;
		m.claim_replicate.claim.http_status = 200;
		m.claim_replicate.claim.answer = answer_text;
		m.claim_replicate.claim.answer_bytes = sizeof(answer_text);
		break;
	case FP_MSG_BUCKET_HANDOVER:
		strcpy(m.bucket_handover.org, "split");
		m.bucket_handover.epoch = BIG;
		m.bucket_handover.state = { 1234567, 8, 1199999, 7 };
		break;
	case FP_MSG_CONFIRM_REQUEST:
		m.confirm_request.members_revision = BIG;
		break;
	case FP_MSG_CONFIRM_RESPONSE:
		m.confirm_response = { FP_UNAVAILABLE,
				       BIG,
				       BIG - 3,
				       4999999,
				       true,
				       BIG - 1,
				       { BIG - 2, 2, { "a", "b" } } };
		break;
	case FP_MSG_MEMBER_CHANGE:
		m.member_change = { 5, BIG, true, "n1", "{\"id\":1}" };
		break;
	case FP_MSG_CONFIG_REQUEST:
		m.config_request = { BIG, BIG - 1 };
		break;
	case FP_MSG_CONFIG_PART:
		m.config_part = { BIG, 4999999, 70000, 2047, "{\"version\":" };
		break;
	case FP_MSG_RATE_SHARE_COMMIT:
		strcpy(m.share_commit.org, "parish-7");
		m.share_commit.commitment = { 500000,  true, 33,    17,
					      1234567, 89,   250000 };
		break;
	case FP_MSG_RATE_SHARE_RESPONSE:
		strcpy(m.share_response.org, "parish-7");
		m.share_response.owner_clock_us = INT64_C(1) << 40;
		m.share_response.fill_permille = 999;
		break;
	case FP_MSG_MEMBER_CHANGES_END:
		m.member_changes_end = { 5, BIG, 740 };
		break;
	default:
		m.claim_replicated = { 9, 2, BIG, true };
	}
	return m;
}

Bytes encode(const fp_msg_shared &m, fp_status want = FP_OK)
{
	msgpack_sbuffer out;

	msgpack_sbuffer_init(&out);
	EXPECT_EQ(want, fp_msg_shared_encode(&m, &out));
	Bytes b(out.data, out.data + out.size);
	msgpack_sbuffer_destroy(&out);
	return b;
}

/* Decodes from a block of exactly that size, so that a sanitizer detects reads
 * beyond its end. */
fp_status decode(const Bytes &b, fp_msg_shared *m)
{
	return fp_msg_shared_decode(b.data(), b.size(), m);
}

fp_status decode(const Bytes &b)
{
	fp_msg_shared m;

	return decode(Bytes(b), &m);
}

class EachType : public testing::TestWithParam<int>
{
};

} // namespace

TEST_P(EachType, RoundTrip)
{
	fp_msg_shared m = sample(GetParam()), decoded;
	Bytes b = encode(m);

	ASSERT_EQ(FP_OK, decode(b, &decoded)) << fp_last_message();
	EXPECT_EQ(m.type, decoded.type);
	EXPECT_EQ(m.id, decoded.id);
	EXPECT_EQ(b, encode(decoded)) << "every field is preserved";
}

TEST_P(EachType, TruncatedMessageIsInvalid)
{
	Bytes b = encode(sample(GetParam()));

	for (size_t n = 0; n < b.size(); n++)
		EXPECT_EQ(FP_INVALID, decode(Bytes(b.begin(), b.begin() + n)));
	b.push_back(0xc0);
	EXPECT_EQ(FP_INVALID, decode(b));
	EXPECT_STREQ("message: trailing bytes", fp_last_message());
}

TEST_P(EachType, WrongTypeOrLengthIsInvalid)
{
	Bytes b = encode(sample(GetParam()));

	ASSERT_EQ(GetParam(), b[1]) << "a type below 128 is one byte";
	for (int type = 0; type < 128; type++) {
		Bytes other = b;

		other[1] = (uint8_t)type;
		EXPECT_EQ(type == GetParam() ? FP_OK : FP_INVALID,
			  decode(other))
			<< type;
	}
	for (int n = 0; n < 16; n++) {
		Bytes other = b;

		other[0] = (uint8_t)(0x90 | n);
		EXPECT_EQ(other == b ? FP_OK : FP_INVALID, decode(other)) << n;
	}
}

/* Replaces each field in turn by values of other kinds. */
TEST_P(EachType, WrongKindOfFieldIsInvalid)
{
	const Bytes kinds[] = {
		{ 0xc0 }, /* nil */
		{ 0xc3 }, /* true */
		{ 0xff }, /* -1 */
		{ 0xca, 0, 0, 0, 0 }, /* float */
		{ 0x91, 0x01 }, /* array */
		{ 0xdd, 0xff, 0xff, 0xff, 0xff }, /* array of 2^32 - 1 */
		{ 0xdf, 0xff, 0xff, 0xff, 0xff }, /* map of 2^32 - 1 */
		{ 0xc6, 0xff, 0xff, 0xff, 0xff }, /* bytes, 2^32 - 1 */
		{ 0xdb, 0xff, 0xff, 0xff, 0xff }, /* string, 2^32 - 1 */
		{ 0xd4, 0x01, 0x01 }, /* extension */
	};
	Bytes b = encode(sample(GetParam()));
	size_t offset = 1;

	while (offset < b.size()) {
		size_t end = offset;
		msgpack_unpacked u;

		msgpack_unpacked_init(&u);
		ASSERT_EQ(MSGPACK_UNPACK_SUCCESS,
			  msgpack_unpack_next(&u, (const char *)b.data(),
					      b.size(), &end));
		msgpack_unpacked_destroy(&u);
		for (const auto &k : kinds) {
			Bytes other(b.begin(), b.begin() + offset);

			other.insert(other.end(), k.begin(), k.end());
			other.insert(other.end(), b.begin() + end, b.end());
			EXPECT_EQ(FP_INVALID, decode(other)) << offset;
		}
		offset = end;
	}
}

/* A message with random changes is either rejected or can be encoded again to a
 * valid message. */
TEST_P(EachType, RandomChangesAreSafe)
{
	Bytes b = encode(sample(GetParam()));
	std::mt19937 rnd((unsigned int)GetParam());

	for (int i = 0; i < 20000; i++) {
		Bytes other = b;
		fp_msg_shared m;

		for (unsigned int n = 1 + rnd() % 3; n > 0; n--)
			other[rnd() % other.size()] = (uint8_t)rnd();
		if (decode(other, &m) != FP_OK)
			continue;
		EXPECT_EQ(FP_OK, decode(encode(m)));
	}
}

INSTANTIATE_TEST_SUITE_P(MsgShared, EachType,
			 testing::Range((int)FP_MSG_GRANT_REQUEST,
					(int)FP_MSG_SHARED_END));

TEST(MsgShared, FieldsAndPointers)
{
	fp_msg_shared m;
	Bytes b = encode(sample(FP_MSG_CLAIM_REPLICATE));

	ASSERT_EQ(FP_OK, decode(b, &m));
	EXPECT_EQ(9u, m.claim_replicate.slice);
	EXPECT_EQ(2u, m.claim_replicate.epoch);
	EXPECT_EQ(BIG, m.claim_replicate.seq);
	EXPECT_TRUE(m.claim_replicate.drop);
	EXPECT_EQ(1500, m.claim_replicate.age_us);
	EXPECT_EQ(4u, m.claim_replicate.claim.attempt_id);
	EXPECT_GE(m.claim_replicate.claim.answer, b.data());
	EXPECT_EQ(b.data() + b.size(),
		  m.claim_replicate.claim.answer +
			  m.claim_replicate.claim.answer_bytes);
	EXPECT_STREQ((char *)answer_text,
		     (char *)m.claim_replicate.claim.answer);
	ASSERT_EQ(FP_OK, decode(encode(sample(FP_MSG_GRANT_REQUEST)), &m));
	EXPECT_STREQ("parish-7", m.grant_request.org);
	EXPECT_EQ(12u, m.grant_request.want);
	ASSERT_EQ(FP_OK, decode(encode(sample(FP_MSG_CLAIM_FINISH)), &m));
	EXPECT_EQ(nullptr, m.claim_finish.answer);
}

TEST(MsgShared, EncodingChecksBounds)
{
	static uint8_t large[FP_CLAIM_ANSWER_BYTES + 1];
	fp_msg_shared m = sample(FP_MSG_CLAIM_RESPONSE);

	m.claim_response.answer = large;
	m.claim_response.answer_bytes = FP_CLAIM_ANSWER_BYTES;
	EXPECT_EQ(FP_OK, decode(encode(m)));
	m.claim_response.answer_bytes++;
	encode(m, FP_INVALID);
	m = sample(FP_MSG_CLAIM_RESPONSE);
	m.claim_response.status = FP_STATUS_COUNT;
	encode(m, FP_INVALID);
	m = sample(FP_MSG_GRANT_REQUEST);
	m.grant_request.org[0] = '\0';
	encode(m, FP_INVALID);
	m = sample(FP_MSG_GRANT_REQUEST);
	m.grant_request.want = 0;
	encode(m, FP_INVALID);
	m = sample(FP_MSG_RATE_SHARE_RESPONSE);
	m.share_response.fill_permille = 1001;
	encode(m, FP_INVALID);
	m = sample(FP_MSG_RATE_SHARE_COMMIT);
	m.share_commit.commitment.n_shares = 0;
	encode(m, FP_INVALID);
	m = sample(FP_MSG_RATE_SHARE_COMMIT);
	m.share_commit.commitment.hold_us = FP_RATE_SHARE_MAX_SPAN_US + 1;
	encode(m, FP_INVALID);
	m = sample(FP_MSG_RATE_SHARE_COMMIT);
	m.share_commit.commitment.reserve_micro =
		UINT32_MAX * FP_RATE_SHARE_HOLD_US + 1;
	encode(m, FP_INVALID);
	m = sample(FP_MSG_RATE_SHARE_COMMIT);
	m.share_commit.commitment.hold_us = 0; /* a probe */
	encode(m, FP_INVALID);
	m = sample(FP_MSG_BUCKET_HANDOVER);
	m.bucket_handover.state.outstanding_left_us = FP_BUCKET_MAX_SPAN_US + 1;
	encode(m, FP_INVALID);
	m = sample(FP_MSG_SHARED_END);
	encode(m, FP_INVALID);
	EXPECT_EQ(FP_INVALID, decode(Bytes(FP_MSG_SHARED_BYTES + 1, 0x90)));
}
