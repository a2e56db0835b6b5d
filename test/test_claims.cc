/* test_claims.cc - claims of non-idempotent requests */
#include <gtest/gtest.h>

#include <cstring>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "state/claims.h"

namespace
{

constexpr int64_t LIFETIME_US = 1000;

struct Name {
	uint8_t bytes[FP_CLAIM_NAME_BYTES] = {};
	explicit Name(uint64_t n)
	{
		memcpy(bytes, &n, sizeof(n));
	}
};

struct Table {
	fp_claims *c;
	const fp_claim *found = nullptr; /* by the last take() */

	explicit Table(uint32_t claims, uint64_t answer_room = 1 << 20)
	    : c(fp_claims_init(claims,
			       claims * FP_CLAIM_FIXED_BYTES + answer_room,
			       LIFETIME_US))
	{
	}
	~Table()
	{
		fp_claims_end(c);
	}
	fp_status take(uint64_t n, uint64_t fingerprint, uint64_t attempt,
		       int64_t now)
	{
		return fp_claims_take(c, Name(n).bytes, fingerprint, attempt,
				      now, &found);
	}
	fp_status finish(uint64_t n, uint64_t attempt, const std::string &s,
			 int64_t now, fp_claim_state st = FP_CLAIM_DONE)
	{
		return fp_claims_finish(c, Name(n).bytes, attempt, st, 200,
					(const uint8_t *)s.data(),
					(uint32_t)s.size(), now);
	}
	fp_status release(uint64_t n, uint64_t attempt, int64_t now)
	{
		return fp_claims_release(c, Name(n).bytes, attempt, now);
	}
};

} // namespace

TEST(Claims, SecondArrivalGetsTheFirstAnswer)
{
	Table t(4);

	EXPECT_EQ(FP_OK, t.take(1, 7, 100, 0));
	EXPECT_EQ(FP_OK, t.take(1, 7, 100, 1)) << "same attempt again";
	EXPECT_EQ(FP_CONFLICT, t.take(1, 7, 101, 2));
	EXPECT_EQ(FP_CLAIM_PENDING, t.found->state);
	EXPECT_EQ(FP_INVALID, t.take(1, 8, 102, 2)) << "different request";
	EXPECT_EQ(FP_CONFLICT, t.finish(1, 101, "x", 3));
	EXPECT_EQ(FP_OK, t.finish(1, 100, "answer", 3));
	EXPECT_EQ(FP_OK, t.finish(1, 100, "answer", 3)) << "set twice";
	EXPECT_EQ(FP_CONFLICT, t.take(1, 7, 101, 4));
	EXPECT_EQ(FP_CLAIM_DONE, t.found->state);
	EXPECT_EQ("answer",
		  std::string((char *)t.found->answer, t.found->answer_bytes));
	EXPECT_EQ(FP_CONFLICT, t.take(1, 7, 100, 4)) << "own attempt, done";
	EXPECT_EQ(FP_CONFLICT, t.release(1, 100, 5));
	EXPECT_EQ(FP_CONFLICT, t.finish(1, 100, "", 5, FP_CLAIM_UNKNOWN));
	EXPECT_EQ(FP_INVALID, t.finish(1, 100, "", 5, FP_CLAIM_PENDING));
}

TEST(Claims, UnknownClaimMayBecomeDoneButIsNotReleased)
{
	Table t(4);

	EXPECT_EQ(FP_OK, t.take(1, 7, 100, 0));
	EXPECT_EQ(FP_OK, t.finish(1, 100, "", 1, FP_CLAIM_UNKNOWN));
	EXPECT_EQ(FP_CONFLICT, t.release(1, 100, 2));
	EXPECT_EQ(FP_CONFLICT, t.take(1, 7, 100, 2));
	EXPECT_EQ(FP_OK, t.finish(1, 100, "late", 3));
	EXPECT_EQ(FP_CONFLICT, t.take(1, 7, 101, 4));
	EXPECT_EQ(4u, t.found->answer_bytes);
}

TEST(Claims, IsKeptForItsFullLifetime)
{
	Table t(4);

	EXPECT_EQ(FP_OK, t.take(1, 7, 100, 0));
	EXPECT_EQ(FP_CONFLICT, t.take(1, 7, 101, LIFETIME_US - 1));
	EXPECT_EQ(FP_OK, t.take(1, 7, 101, LIFETIME_US));
	EXPECT_EQ(FP_CONFLICT, t.finish(1, 100, "x", LIFETIME_US));
	EXPECT_EQ(FP_OK, t.release(1, 101, LIFETIME_US));
	EXPECT_EQ(FP_NOT_FOUND, t.release(1, 101, LIFETIME_US));
}

TEST(Claims, ClaimLimitRefusesAndByteLimitDropsTheAnswer)
{
	Table t(2, 10);
	uint32_t n;
	uint64_t bytes;

	EXPECT_EQ(FP_OK, t.take(1, 7, 100, 0));
	EXPECT_EQ(FP_OK, t.take(2, 7, 100, 0));
	EXPECT_EQ(FP_FULL, t.take(3, 7, 100, 0));
	EXPECT_EQ(nullptr, t.found);
	EXPECT_EQ(FP_OK, t.finish(1, 100, "12345678", 1));
	EXPECT_EQ(FP_OK, t.finish(2, 100, "abc", 1));
	EXPECT_EQ(FP_CONFLICT, t.take(2, 7, 101, 2));
	EXPECT_EQ(FP_CLAIM_DONE, t.found->state);
	EXPECT_EQ(nullptr, t.found->answer);
	EXPECT_EQ(200, t.found->http_status);
	fp_claims_count(t.c, &n, &bytes);
	EXPECT_EQ(2u, n);
	EXPECT_EQ(2u * FP_CLAIM_FIXED_BYTES + 8, bytes);

	fp_claims *tiny =
		fp_claims_init(100, FP_CLAIM_FIXED_BYTES, LIFETIME_US);
	const fp_claim *found;
	EXPECT_EQ(FP_OK, fp_claims_take(tiny, Name(1).bytes, 1, 1, 0, &found));
	EXPECT_EQ(FP_FULL,
		  fp_claims_take(tiny, Name(2).bytes, 1, 1, 0, &found));
	fp_claims_end(tiny);
}

TEST(Claims, BackupReceivesAllAndExpiresNoEarlier)
{
	Table t(4), backup(4);

	EXPECT_EQ(FP_OK, t.take(1, 7, 100, 10));
	EXPECT_EQ(FP_OK, t.finish(1, 100, "answer", 11));
	EXPECT_EQ(FP_OK, t.take(2, 8, 200, 20));
	fp_claims_for_each(
		t.c,
		[](void *to, const fp_claim *claim) {
			fp_claims_put((fp_claims *)to, claim, 500);
		},
		backup.c);
	EXPECT_EQ(FP_CONFLICT, backup.take(1, 7, 101, 10 + LIFETIME_US - 1));
	EXPECT_EQ(6u, backup.found->answer_bytes);
	EXPECT_EQ(FP_OK, backup.take(2, 8, 200, 500));
	fp_claims_drop(backup.c, Name(2).bytes);
	EXPECT_EQ(FP_OK, backup.take(2, 9, 300, 500));

	fp_claim old = {};
	EXPECT_EQ(FP_NOT_FOUND, fp_claims_put(backup.c, &old, LIFETIME_US));
}

namespace
{

struct ModelClaim {
	uint64_t fingerprint, attempt;
	fp_claim_state state;
	int64_t created_us;
	std::string answer;
};

/* Reference implementation of the same rules. */
class ReferenceModel
{
	std::map<uint64_t, ModelClaim> m;
	size_t max_claims, room;

      public:
	ReferenceModel(size_t n, size_t bytes) : max_claims(n), room(bytes)
	{
	}
	void expire(int64_t now)
	{
		for (auto it = m.begin(); it != m.end();)
			it = it->second.created_us + LIFETIME_US <= now ?
				     m.erase(it) :
				     std::next(it);
	}
	size_t answer_bytes() const
	{
		size_t n = 0;

		for (const auto &e : m)
			n += e.second.answer.size();
		return n;
	}
	size_t size() const
	{
		return m.size();
	}
	const ModelClaim *get(uint64_t n) const
	{
		auto it = m.find(n);

		return it == m.end() ? nullptr : &it->second;
	}
	fp_status take(uint64_t n, uint64_t fingerprint, uint64_t attempt,
		       int64_t now)
	{
		expire(now);
		if (!m.count(n)) {
			if (m.size() >= max_claims)
				return FP_FULL;
			m[n] = { fingerprint, attempt, FP_CLAIM_PENDING, now,
				 "" };
		}
		if (m[n].fingerprint != fingerprint)
			return FP_INVALID;
		bool own = m[n].attempt == attempt;
		return own && m[n].state == FP_CLAIM_PENDING ? FP_OK :
							       FP_CONFLICT;
	}
	fp_status finish(uint64_t n, uint64_t attempt, const std::string &s,
			 int64_t now, fp_claim_state st)
	{
		expire(now);
		if (!m.count(n))
			return FP_NOT_FOUND;
		if (m[n].attempt != attempt)
			return FP_CONFLICT;
		if (m[n].state == FP_CLAIM_DONE)
			return st == FP_CLAIM_DONE ? FP_OK : FP_CONFLICT;
		m[n].state = st;
		m[n].answer.clear();
		if (answer_bytes() + s.size() <= room)
			m[n].answer = s;
		return FP_OK;
	}
	fp_status release(uint64_t n, uint64_t attempt, int64_t now)
	{
		expire(now);
		if (!m.count(n))
			return FP_NOT_FOUND;
		if (m[n].attempt != attempt || m[n].state != FP_CLAIM_PENDING)
			return FP_CONFLICT;
		m.erase(n);
		return FP_OK;
	}
};

void expect_same(const Table &t, const ReferenceModel &model, uint64_t n)
{
	const ModelClaim *want = model.get(n);
	uint32_t claims;
	uint64_t bytes;

	fp_claims_count(t.c, &claims, &bytes);
	ASSERT_EQ(model.size(), claims);
	ASSERT_EQ(model.answer_bytes(),
		  bytes - (uint64_t)claims * FP_CLAIM_FIXED_BYTES);
	if (!want || !t.found)
		return;
	ASSERT_EQ(want->state, t.found->state);
	ASSERT_EQ(want->attempt, t.found->attempt_id);
	ASSERT_EQ(want->answer,
		  std::string((char *)t.found->answer, t.found->answer_bytes));
}

void random_run(uint32_t seed)
{
	std::mt19937 rnd(seed);
	uint32_t max_claims = 1 + rnd() % 200;
	uint64_t room = rnd() % 2000;
	Table t(max_claims, room);
	ReferenceModel model(max_claims, room);
	int64_t now = 0;

	for (int i = 0; i < 3000; i++) {
		uint64_t n = rnd() % 300, attempt = rnd() % 3;
		uint64_t fingerprint = n * 2 + (rnd() % 20 == 0);
		std::string s(rnd() % 60, (char)('a' + n % 26));
		auto st = rnd() % 3 ? FP_CLAIM_DONE : FP_CLAIM_UNKNOWN;

		now += rnd() % 8;
		t.found = nullptr;
		switch (rnd() % 4) {
		case 0:
		case 1:
			ASSERT_EQ(model.take(n, fingerprint, attempt, now),
				  t.take(n, fingerprint, attempt, now));
			break;
		case 2:
			ASSERT_EQ(model.finish(n, attempt, s, now, st),
				  t.finish(n, attempt, s, now, st));
			break;
		default:
			ASSERT_EQ(model.release(n, attempt, now),
				  t.release(n, attempt, now));
		}
		ASSERT_NO_FATAL_FAILURE(expect_same(t, model, n));
	}
}

} // namespace

TEST(Claims, AgreesWithAReferenceModel)
{
	for (uint32_t seed = 1; seed <= 100; seed++) {
		SCOPED_TRACE(seed);
		ASSERT_NO_FATAL_FAILURE(random_run(seed));
	}
}
