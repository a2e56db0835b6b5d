/* test_body_parts.cc - bodies in parts: both ends, lost links, hostile parts */
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "state/body_parts.h"

namespace
{

struct Part {
	uint64_t id;
	size_t at;
	std::vector<uint8_t> data;
};

/* A body at both ends; the receiver's owner. */
struct Body {
	uint64_t id;
	std::vector<uint8_t> sent, taken;
	bool is_whole = false;
	bool ended = false; /* at the receiver */
};

/* One sender, one receiver and a link that holds what is on its way. */
class BodyParts : public ::testing::Test
{
      protected:
	struct fp_body_out *out = nullptr;
	struct fp_body_in *in = fp_body_in_init();
	std::map<uint64_t, Body> bodies;
	std::deque<Part> parts; /* on their way to the receiver */
	std::deque<std::pair<uint64_t, uint64_t>> credits; /* and back */
	size_t room = SIZE_MAX; /* parts that the link takes now */
	int link = 0;
	int64_t now_us = 1000;

	static bool send(void *ctx, void *link, uint64_t id, size_t at,
			 const uint8_t *data, size_t bytes)
	{
		BodyParts *t = (BodyParts *)ctx;

		EXPECT_EQ(&t->link, link);
		if (t->parts.size() >= t->room)
			return false;
		t->parts.push_back({ id, at, { data, data + bytes } });
		return true;
	}

	void SetUp() override
	{
		struct fp_body_sink sink = { send, this };

		out = fp_body_out_init(&sink);
	}

	void TearDown() override
	{
		fp_body_out_end(out);
		fp_body_in_end(in);
	}

	Body &begin(uint64_t id, size_t bytes, int64_t left_us = 1 << 30)
	{
		Body &b = bodies[id];
		uint64_t credit = 0;

		b.id = id;
		b.sent.resize(bytes);
		for (size_t i = 0; i < bytes; i++)
			b.sent[i] = (uint8_t)(i * 31 + i / 65536 + id);
		b.taken.resize(bytes);
		fp_body_out_add(out, &link, id, b.sent.data(), bytes, now_us);
		EXPECT_EQ(FP_OK,
			  fp_body_in_add(in, &b, &link, id, b.taken.data(),
					 bytes, now_us + left_us, now_us,
					 &credit));
		credits.push_back({ id, credit });
		return b;
	}

	enum fp_body_part take(const Part &p)
	{
		void *owner = nullptr;
		uint64_t credit = 0;
		enum fp_body_part r =
			fp_body_in_take(in, &link, p.id, p.at, p.data.data(),
					p.data.size(), now_us, &owner, &credit);

		if (r == FP_BODY_WHOLE)
			((Body *)owner)->is_whole = true;
		if (credit)
			credits.push_back({ p.id, credit });
		return r;
	}

	void take_credit()
	{
		auto c = credits.front();

		credits.pop_front();
		fp_body_out_credit(out, &link, c.first, c.second, now_us);
		fp_body_out_pump(out, &link);
	}

	enum fp_body_part take_part()
	{
		Part p = parts.front();

		parts.pop_front();
		enum fp_body_part r = take(p);
		fp_body_out_pump(out, &link);
		return r;
	}

	/* Delivers all that is on its way, and what follows from it. */
	void run()
	{
		while (!parts.empty() || !credits.empty()) {
			if (!credits.empty())
				take_credit();
			if (!parts.empty())
				take_part();
		}
	}
};

TEST_F(BodyParts, ALargeBodyArrivesWholeWithinTheWindow)
{
	Body &b = begin(1, (12 << 20) + 1);

	while (!b.is_whole) {
		size_t bytes = 0;

		for (const Part &p : parts)
			bytes += p.data.size();
		ASSERT_LE(bytes, (size_t)FP_BODY_WINDOW_BYTES);
		if (!credits.empty())
			take_credit();
		else if (!parts.empty())
			take_part();
		else
			FAIL() << "neither end goes on";
	}
	EXPECT_EQ(b.sent, b.taken);
	EXPECT_FALSE(fp_body_out_is_unsent(out, 1));
	EXPECT_TRUE(credits.empty());
}

TEST_F(BodyParts, NothingIsSentWithoutCreditOrRoom)
{
	begin(1, 1 << 20);
	fp_body_out_pump(out, &link);
	EXPECT_TRUE(parts.empty());
	room = 1;
	take_credit();
	EXPECT_EQ(1u, parts.size());
	EXPECT_TRUE(fp_body_out_is_unsent(out, 1));
}

/* A body that does not pass one step must not hold up another. */
TEST_F(BodyParts, BodiesOnOneLinkTakeTurns)
{
	Body &large = begin(1, 64 << 20);

	room = 2;
	take_credit();
	Body &small = begin(2, 300 << 10);
	for (int i = 0; i < 40 && !small.is_whole; i++) {
		if (!credits.empty())
			take_credit();
		if (!parts.empty())
			take_part();
	}
	EXPECT_TRUE(small.is_whole);
	EXPECT_FALSE(large.is_whole);
	EXPECT_EQ(small.sent, small.taken);
}

TEST_F(BodyParts, ABodyOfAReceiverWithoutCreditStalls)
{
	uint64_t id = 0;
	enum fp_reason why = FP_REASON_NONE;

	Body &b = begin(7, 1 << 20);
	take_credit();
	now_us += FP_BODY_STALL_US - 1;
	EXPECT_FALSE(fp_body_out_stalled(out, now_us, &id));
	EXPECT_EQ(nullptr, fp_body_in_overdue(in, now_us, &why));
	now_us++;
	EXPECT_TRUE(fp_body_out_stalled(out, now_us, &id));
	EXPECT_EQ(7u, id);
	EXPECT_EQ(&b, fp_body_in_overdue(in, now_us, &why));
	EXPECT_EQ(FP_REASON_NO_WORKER, why);
	/* The receiver ends it; what is on its way is ignored. */
	fp_body_in_drop(in, &b);
	EXPECT_EQ(nullptr, fp_body_in_overdue(in, now_us, &why));
	EXPECT_EQ(FP_BODY_UNKNOWN, take_part());
	EXPECT_TRUE(fp_body_out_drop(out, 7));
	EXPECT_FALSE(fp_body_out_stalled(out, now_us, &id));
}

TEST_F(BodyParts, TheDeadlineEndsABodyThatMakesProgress)
{
	enum fp_reason why = FP_REASON_NONE;
	Body &b = begin(1, 1 << 20, 5000);

	take_credit();
	now_us += 5000;
	take_part();
	EXPECT_EQ(&b, fp_body_in_overdue(in, now_us, &why));
	EXPECT_EQ(FP_REASON_DEADLINE, why);
}

TEST_F(BodyParts, HostilePartsEndOnlyTheirBody)
{
	const size_t size = FP_BODY_PART_BYTES;
	const Part bad[] = {
		{ 1, size, std::vector<uint8_t>(size) }, /* out of order */
		{ 1, 0, std::vector<uint8_t>(size + 1) },
		{ 1, 0, std::vector<uint8_t>(1) }, /* too many parts */
		{ 1, 0, {} },
		{ 1, SIZE_MAX, std::vector<uint8_t>(size) },
	};
	Body &other = begin(2, 1 << 20);

	for (const Part &p : bad) {
		Body &b = begin(1, 1 << 20);
		EXPECT_EQ(FP_BODY_BAD, take(p));
		fp_body_in_drop(in, &b);
		fp_body_out_drop(out, 1);
		EXPECT_EQ(FP_BODY_UNKNOWN, take(p));
	}
	/* A part twice, and one of a body that was never begun. */
	Body &b = begin(1, 1 << 20);
	const Part first = { 1, 0, std::vector<uint8_t>(size) };
	EXPECT_EQ(FP_BODY_MORE, take(first));
	EXPECT_EQ(FP_BODY_BAD, take(first));
	fp_body_in_drop(in, &b);
	fp_body_out_drop(out, 1);
	EXPECT_EQ(FP_BODY_UNKNOWN, take({ 3, 0, first.data }));
	run();
	EXPECT_TRUE(other.is_whole);
	EXPECT_EQ(other.sent, other.taken);
}

TEST_F(BodyParts, AnIdIsKnownOnceALink)
{
	uint64_t credit;
	uint8_t to[1];
	int other_link;

	begin(1, 1 << 20);
	EXPECT_EQ(FP_CONFLICT, fp_body_in_add(in, to, &link, 1, to, 1, now_us,
					      now_us, &credit));
	EXPECT_EQ(FP_OK, fp_body_in_add(in, to, &other_link, 1, to, 1, now_us,
					now_us, &credit));
	EXPECT_EQ(1u, credit);
}

/* Bodies begin, are cancelled at either end and lose their link at random. One
 * whose sender found parts unsent never becomes whole; the others do. */
TEST_F(BodyParts, RandomSchedules)
{
	std::mt19937 rng(20261206);
	std::set<uint64_t> dropped;
	uint64_t next_id = 0;
	int n_whole = 0;

	for (int i = 0; i < 20000; i++) {
		uint64_t id = next_id ? rng() % next_id + 1 : 0;
		int what = rng() % 100;

		room = rng() % 8;
		now_us += 1000;
		if (what < 2 && next_id < 200)
			begin(++next_id, FP_BODY_WHOLE_BYTES + rng() % 2000000);
		else if (what < 3 && id && fp_body_out_drop(out, id))
			dropped.insert(id);
		else if (what < 4 && id && !bodies[id].is_whole) {
			fp_body_in_drop(in, &bodies[id]);
			bodies[id].ended = true;
		} else if (what == 4 && i % 50 == 0) {
			parts.clear(); /* the link is lost */
			credits.clear();
			for (auto &b : bodies) {
				if (fp_body_out_drop(out, b.first))
					dropped.insert(b.first);
				if (!b.second.is_whole)
					b.second.ended = true;
				fp_body_in_drop(in, &b.second);
			}
		} else if (what < 50 && !credits.empty()) {
			take_credit();
		} else if (!parts.empty()) {
			EXPECT_NE(FP_BODY_BAD, take_part());
		}
		fp_body_out_pump(out, &link);
	}
	room = SIZE_MAX;
	fp_body_out_pump(out, &link);
	run();
	for (auto &b : bodies) {
		bool is_lost = dropped.count(b.first) || b.second.ended;

		EXPECT_FALSE(b.second.is_whole && dropped.count(b.first));
		EXPECT_TRUE(b.second.is_whole || is_lost) << b.first;
		EXPECT_TRUE(!b.second.is_whole ||
			    b.second.sent == b.second.taken);
		n_whole += b.second.is_whole;
	}
	EXPECT_GT(n_whole, 20);
}

} // namespace
