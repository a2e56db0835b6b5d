/*
 * test_byte_account.cc - who may hold bytes, who waits and what is evicted
 */
#include <gtest/gtest.h>

#include <cstring>
#include <list>
#include <random>
#include <vector>

#include "base/clock.h"
#include "transport/byte_account.h"

namespace
{

const size_t LIMIT = 16 << 20;
const int64_t TICK_US = 100 * FP_US_PER_MS;

/* A holder that records what happens to it. */
struct Body {
	struct fp_byte_holder h = {}; /* first member */
	uint32_t address = 0;
	int n_resumed = 0;
	int n_evicted = 0;
	enum fp_byte_eviction why = FP_BYTES_STALLED;
};

const struct fp_byte_holder_ops ops = {
	[](struct fp_byte_holder *h) { ((Body *)h)->n_resumed++; },
	[](struct fp_byte_holder *h, enum fp_byte_eviction why) {
		((Body *)h)->n_evicted++;
		((Body *)h)->why = why;
	},
};

class ByteAccount : public testing::Test
{
      protected:
	void SetUp() override
	{
		fp_manual_clock_init(&clock, FP_US_PER_S);
		a = fp_byte_account_init(LIMIT);
		ASSERT_NE(nullptr, a);
	}
	void TearDown() override
	{
		for (auto &b : bodies)
			fp_byte_end(a, &b.h);
		EXPECT_EQ(0u, totals().held_bytes);
		EXPECT_EQ(0u, totals().n_arriving);
		EXPECT_EQ(0u, totals().n_waiting);
		fp_byte_account_end(a);
	}
	int64_t now()
	{
		return fp_mono_us(&clock.clock);
	}
	/* Lets time pass, with a tick every 100 ms. */
	void pass(int64_t us)
	{
		for (int64_t at = 0; at < us; at += TICK_US) {
			fp_manual_clock_advance(&clock, TICK_US);
			fp_byte_tick(a, now());
		}
	}
	/* A body that arrives; whether it may be read is in may. */
	Body &arrive(uint32_t address, size_t bytes)
	{
		bodies.emplace_back();
		Body &b = bodies.back();

		b.h.ops = &ops;
		b.address = address;
		fp_byte_begin(a, &b.h, address, now());
		may = fp_byte_reserve(a, &b.h, bytes, now());
		return b;
	}
	struct fp_byte_totals totals()
	{
		struct fp_byte_totals t;

		fp_byte_read_totals(a, &t);
		return t;
	}

	struct fp_manual_clock clock;
	struct fp_byte_account *a = nullptr;
	std::list<Body> bodies;
	bool may = false;
};

TEST_F(ByteAccount, LargeBodiesGetThreeQuartersAndSmallOnesAnEighth)
{
	arrive(1, LIMIT / 2);
	EXPECT_TRUE(may);
	arrive(1, LIMIT / 4);
	EXPECT_TRUE(may);
	arrive(2, 256 << 10);
	EXPECT_FALSE(may);
	for (int i = 0; i < 16; i++) {
		arrive(3, 128 << 10);
		EXPECT_TRUE(may);
	}
	arrive(3, 128 << 10);
	EXPECT_FALSE(may);
	EXPECT_EQ(LIMIT / 8 * 7, totals().held_bytes);
	/* The last eighth is for answers. */
	EXPECT_TRUE(fp_byte_set_received(a, LIMIT / 8, now()));
	EXPECT_TRUE(fp_byte_set_received(a, 0, now()));
}

TEST_F(ByteAccount, ABodyAboveTheLimitIsServedAlone)
{
	Body &b = arrive(1, 4 * LIMIT);

	EXPECT_TRUE(may);
	arrive(1, 1 << 20);
	EXPECT_FALSE(may);
	fp_byte_end(a, &b.h);
	pass(TICK_US);
	EXPECT_EQ(1, bodies.back().n_resumed);
}

TEST_F(ByteAccount, AStalledBodyIsEvictedOnlyWhenOthersWait)
{
	Body &stalled = arrive(1, LIMIT / 2);

	pass(5 * FP_US_PER_S);
	EXPECT_EQ(0, stalled.n_evicted);
	Body &next = arrive(2, LIMIT / 2);
	EXPECT_TRUE(may);
	EXPECT_EQ(1, stalled.n_evicted);
	EXPECT_EQ(FP_BYTES_NEEDED, stalled.why);
	EXPECT_EQ(0, next.n_evicted);
}

TEST_F(ByteAccount, AByteNowAndThenIsNoProgress)
{
	Body &trickle = arrive(1, LIMIT / 2);
	Body &steady = arrive(2, LIMIT / 4);

	for (int i = 0; i < 15; i++) {
		fp_byte_moved(&trickle.h, 1, now());
		fp_byte_moved(&steady.h, 20000, now());
		pass(TICK_US);
	}
	arrive(3, LIMIT / 4);
	EXPECT_TRUE(may);
	EXPECT_EQ(1, trickle.n_evicted);
	EXPECT_EQ(0, steady.n_evicted);
}

TEST_F(ByteAccount, WithoutPressureABodyMayTakeUpToTheIdleTimeout)
{
	Body &b = arrive(1, 1000);

	pass(14 * FP_US_PER_S);
	EXPECT_EQ(0, b.n_evicted);
	pass(FP_US_PER_S);
	EXPECT_EQ(1, b.n_evicted);
	EXPECT_EQ(FP_BYTES_STALLED, b.why);
}

TEST_F(ByteAccount, WhatIsCompleteNeverIsEvicted)
{
	Body &b = arrive(1, LIMIT / 2);
	Body &answer = arrive(1, 1000);

	fp_byte_complete(a, &b.h);
	fp_byte_complete(a, &answer.h);
	EXPECT_TRUE(fp_byte_send(a, &answer.h, 1, LIMIT / 2, now()));
	Body kept;
	Body second;
	kept.h.ops = nullptr;
	EXPECT_FALSE(fp_byte_keep(a, &kept.h, LIMIT / 4, now()));
	EXPECT_EQ(FP_BYTES_NONE, kept.h.phase);
	pass(20 * FP_US_PER_S);
	EXPECT_EQ(0, b.n_evicted);
	/* A reader that made no progress is evicted, a running request does
	 * not. */
	EXPECT_TRUE(fp_byte_keep(a, &kept.h, LIMIT / 4, now()));
	EXPECT_EQ(1, answer.n_evicted);
	EXPECT_EQ(0, b.n_evicted);
	EXPECT_FALSE(fp_byte_keep(a, &second.h, 1 << 20, now()));
	EXPECT_TRUE(fp_byte_set_received(a, LIMIT / 4, now()));
	EXPECT_TRUE(fp_byte_set_received(a, 0, now()));
	fp_byte_end(a, &kept.h);
}

TEST_F(ByteAccount, CompleteMessagesTakeRoomFromArrivingBodies)
{
	Body &first = arrive(1, LIMIT / 4);
	Body &most = arrive(2, LIMIT / 2);
	Body kept;

	EXPECT_TRUE(fp_byte_keep(a, &kept.h, LIMIT / 2, now()));
	EXPECT_EQ(0, first.n_evicted);
	EXPECT_EQ(1, most.n_evicted);
	EXPECT_TRUE(fp_byte_set_received(a, LIMIT / 4, now()));
	EXPECT_EQ(0, first.n_evicted);
	EXPECT_TRUE(fp_byte_set_received(a, LIMIT / 2, now()));
	EXPECT_EQ(1, first.n_evicted);
	EXPECT_FALSE(fp_byte_set_received(a, LIMIT / 2 + 1, now()));
	EXPECT_EQ(LIMIT, totals().held_bytes);
	EXPECT_TRUE(fp_byte_set_received(a, 0, now()));
	fp_byte_end(a, &kept.h);
}

TEST_F(ByteAccount, WaitsInTheOrderOfWhatTheirAddressHolds)
{
	Body &held = arrive(1, LIMIT / 2);
	Body &other = arrive(1, LIMIT / 4);
	Body &greedy = arrive(1, LIMIT / 2);
	Body &modest = arrive(2, LIMIT / 2);

	EXPECT_EQ(2u, totals().n_waiting);
	fp_byte_moved(&other.h, 20000, now());
	fp_byte_end(a, &held.h);
	fp_byte_tick(a, now());
	EXPECT_EQ(1, modest.n_resumed);
	EXPECT_EQ(0, greedy.n_resumed);
}

TEST_F(ByteAccount, AWaitEnds)
{
	Body &held = arrive(1, LIMIT / 4 * 3);

	fp_byte_complete(a, &held.h);
	Body &waits = arrive(2, LIMIT);
	EXPECT_FALSE(may);
	pass(19 * TICK_US);
	EXPECT_EQ(0, waits.n_evicted);
	pass(TICK_US);
	EXPECT_EQ(1, waits.n_evicted);
	EXPECT_EQ(FP_BYTES_NO_ROOM, waits.why);
}

/* Bodies in chunks that each hold a part and wait for the next step: one gives
 * way, so that others can end. */
TEST_F(ByteAccount, StepsDoNotBlockEachOther)
{
	std::vector<Body *> all;
	int n_evicted = 0;
	int n_resumed = 0;

	for (int i = 0; i < 12; i++)
		all.push_back(&arrive((uint32_t)i, 1 << 20));
	for (auto *b : all)
		EXPECT_FALSE(fp_byte_reserve(a, &b->h, 2 << 20, now()));
	pass(15 * TICK_US);
	for (auto *b : all) {
		n_evicted += b->n_evicted;
		n_resumed += b->n_resumed;
	}
	EXPECT_GE(n_resumed, 5);
	EXPECT_LE(n_evicted, 7);
}

TEST_F(ByteAccount, TheReserveNeverIsEvicted)
{
	Body &own = arrive(1, 1000);

	own.h.reserved = true;
	EXPECT_TRUE(fp_byte_reserve(a, &own.h, LIMIT, now()));
	pass(20 * FP_US_PER_S);
	EXPECT_EQ(0, own.n_evicted);
}

/* Thousands of clients that stall, leave and come back, and a steady one at an
 * address of its own: the limit holds, all that begins comes to an end, and the
 * steady one is served. */
TEST_F(ByteAccount, ACrowdDoesNotKeepAnHonestClientOut)
{
	std::mt19937 random(7);
	size_t n_served = 0;
	size_t n_refused = 0;

	for (int round = 0; round < 60; round++) {
		for (int i = 0; i < 100; i++)
			arrive(1 + random() % 50,
			       (1 + random() % 64) * (size_t)(128 << 10));
		Body &honest = arrive(99, 1 << 20);
		for (int i = 0; i < 25 && !may && !honest.n_evicted; i++) {
			pass(TICK_US);
			may = honest.n_resumed > 0;
			EXPECT_LE(totals().held_bytes, LIMIT);
		}
		n_served += may;
		n_refused += honest.n_evicted;
		if (may)
			fp_byte_complete(a, &honest.h);
		fp_byte_end(a, &honest.h);
		pass(FP_US_PER_S);
	}
	EXPECT_EQ(60u, n_served);
	EXPECT_EQ(0u, n_refused);
	pass(20 * FP_US_PER_S);
	EXPECT_EQ(0u, totals().n_arriving);
	EXPECT_EQ(0u, totals().held_bytes);
}

TEST_F(ByteAccount, ClosesTheIdleConnectionOfTheAddressWithMost)
{
	struct fp_byte_connection *list = nullptr;
	std::vector<struct fp_byte_connection> c(3000);

	for (size_t i = 0; i < c.size(); i++) {
		memset(&c[i], 0, sizeof(c[i]));
		fp_byte_connected(a, &c[i], &list, i < 10 ? 2 : 1,
				  now() + (int64_t)i);
	}
	c[10].busy = true;
	EXPECT_EQ(&c[11], fp_byte_pick_idle(a, list));
	EXPECT_EQ(&c[12], fp_byte_pick_idle(a, list));
	for (auto &x : c)
		x.busy = true;
	EXPECT_EQ(nullptr, fp_byte_pick_idle(a, list));
	EXPECT_EQ(2u, totals().n_closed);
	for (auto &x : c)
		fp_byte_disconnected(a, &x);
	EXPECT_EQ(nullptr, list);
}

} // namespace
