/*
 * test_slice_service.cc - what the slices hold survives the faults of nodes
 *
 * Entry nodes take claims, execute, finish; holders ask for tokens and spend
 * them. Checked: no name is executed twice, an answer that is told is the one
 * that was kept, and admissions stay within burst + rate * window. FP_SEED
 * runs one seed, FP_SCHEDULES sets how many.
 */
#include <gtest/gtest.h>

#include <cstdlib>

#include "protocol/msg_slice.h"
#include "slice_sim.h"
#include "state/bucket.h"

using namespace slice_world;

namespace
{

/* What an arrival was told in the end. */
enum class told { nothing, ran, replayed, in_doubt, not_run, lost, misuse };

/* Executions and what was said of each name. */
struct ledger {
	std::map<std::string, int> executed;
	std::map<std::string, std::string> kept;
	std::string violation;
	uint64_t arrivals = 0, replays = 0, doubts = 0, refused = 0;

	void fail(const std::string &why)
	{
		if (violation.empty())
			violation = why;
	}
};

void name_of(const std::string &text, uint8_t out[FP_CLAIM_NAME_BYTES])
{
	XXH128_hash_t h = XXH3_128bits(text.data(), text.size());

	memcpy(out, &h, FP_CLAIM_NAME_BYTES);
}

uint32_t slice_of(const std::string &text)
{
	uint8_t name[FP_CLAIM_NAME_BYTES];

	name_of(text, name);
	return fp_slice_of_claim(name);
}

/* A text whose claim falls into a slice. */
std::string text_in(uint32_t slice, int nth)
{
	for (int i = 0;; i++) {
		std::string s = "claim" + std::to_string(i);

		if (slice_of(s) == slice && nth-- == 0)
			return s;
	}
}

/* One arrival at an entry node; it sends its take again until told. */
struct arrival : std::enable_shared_from_this<arrival> {
	world *w;
	ledger *l;
	node *entry;
	std::string text;
	uint64_t fingerprint = 1;
	uint64_t attempt;
	int64_t run_us = 20 * ms;
	int tries = 0;
	told end = told::nothing;
	bool open = false;

	struct fp_msg_shared message(enum fp_msg_shared_type type)
	{
		struct fp_msg_shared m = {};

		m.type = type;
		m.claim_take.slice = slice_of(text);
		if (type == FP_MSG_CLAIM_TAKE) {
			name_of(text, m.claim_take.name);
			m.claim_take.fingerprint = fingerprint;
			m.claim_take.attempt = attempt;
		}
		return m;
	}
	void take()
	{
		auto self = shared_from_this();
		int mine = ++tries;

		open = true;
		w->ask(entry, slice_of(text), message(FP_MSG_CLAIM_TAKE),
		       [self, mine](const answer &a) {
			       if (self->open && mine == self->tries)
				       self->on_answer(a);
		       });
		w->later(400 * ms, [self, mine] {
			if (self->open && mine == self->tries)
				self->again();
		});
	}
	void again()
	{
		auto self = shared_from_this();

		open = false;
		if (tries >= 30) {
			end = told::in_doubt;
			return;
		}
		w->later(50 * ms, [self] {
			self->w->to_node(self->entry, [self] { self->take(); });
		});
	}
	void on_answer(const answer &a)
	{
		open = false;
		if (a.status == FP_OK) {
			execute();
		} else if (a.status == FP_CONFLICT) {
			standing(a);
		} else if (a.status == FP_FULL) {
			end = told::not_run;
			l->refused++;
		} else if (a.status == FP_INVALID) {
			end = told::misuse;
		} else if (a.status == FP_UNAVAILABLE &&
			   a.state == FP_CLAIM_UNKNOWN) {
			end = told::lost;
			l->doubts++;
		} else {
			again();
		}
	}
	void standing(const answer &a)
	{
		if (a.state != FP_CLAIM_DONE) {
			end = told::in_doubt;
			l->doubts++;
			return;
		}
		end = told::replayed;
		l->replays++;
		if (l->kept[text] != a.body)
			l->fail("another answer for " + text);
	}
	void execute()
	{
		auto self = shared_from_this();

		if (++l->executed[text] > 1)
			l->fail("second execution of " + text);
		w->later(run_us, [self] {
			self->w->to_node(self->entry, [self] {
				self->end = told::ran;
				self->l->kept[self->text] =
					std::to_string(self->attempt);
				self->finish(0);
			});
		});
	}
	void finish(int nth)
	{
		auto self = shared_from_this();
		auto done = std::make_shared<bool>(false);
		struct fp_msg_shared m = {};

		m.type = FP_MSG_CLAIM_FINISH;
		m.claim_finish.slice = slice_of(text);
		name_of(text, m.claim_finish.name);
		m.claim_finish.attempt = attempt;
		m.claim_finish.state = FP_CLAIM_DONE;
		m.claim_finish.http_status = 200;
		m.claim_finish.answer = (const uint8_t *)l->kept[text].data();
		m.claim_finish.answer_bytes = (uint32_t)l->kept[text].size();
		w->ask(entry, slice_of(text), m, [done](const answer &a) {
			*done = a.status == FP_OK || a.status == FP_NOT_FOUND;
		});
		w->later(400 * ms, [=] {
			self->w->to_node(self->entry, [=] {
				if (!*done && nth < 20)
					self->finish(nth + 1);
			});
		});
	}
};

std::shared_ptr<arrival> arrive(world &w, ledger &l, node *entry,
				const std::string &text)
{
	auto a = std::make_shared<arrival>();

	a->w = &w;
	a->l = &l;
	a->entry = entry;
	a->text = text;
	a->attempt = w.rng() | 1;
	l.arrivals++;
	a->take();
	return a;
}

/* The node that is neither primary nor backup of a slice. */
node *third(world &w, uint32_t slice)
{
	for (node *n : w.at)
		if (n != w.owner(slice) && n != w.backup(slice))
			return n;
	return nullptr;
}

bool is_type(const std::string &frame, int type)
{
	return frame.size() > 1 && frame[1] == (char)type;
}

uint64_t number(const char *name, uint64_t fallback)
{
	const char *v = getenv(name);

	return v ? strtoull(v, nullptr, 10) : fallback;
}

/* Three nodes in three domains, every slice with a ready backup. */
struct Service : ::testing::Test {
	world w{ 7 };
	ledger l;
	uint32_t slice = 11;

	void SetUp() override
	{
		w.boot(3);
		ASSERT_NE(nullptr, w.owner(slice));
		ASSERT_NE(nullptr, w.backup(slice));
	}
	told run(std::shared_ptr<arrival> a, int64_t most = 20 * sec)
	{
		w.run_while(most, [&] { return a->end == told::nothing; });
		return a->end;
	}
	void TearDown() override
	{
		EXPECT_EQ("", l.violation);
	}
};

} // namespace

TEST_F(Service, SteadyPairsMakeNoStoreCall)
{
	uint64_t before;

	w.run(20 * sec);
	before = w.store_calls;
	w.run(60 * sec);
	printf("store calls of 3 nodes and 64 slices in 60 s: %lu\n",
	       w.store_calls - before);
	EXPECT_EQ(before, w.store_calls);
}

TEST_F(Service, SecondArrivalGetsTheFirstAnswer)
{
	std::string c = text_in(slice, 0);

	EXPECT_EQ(told::ran, run(arrive(w, l, third(w, slice), c)));
	w.run(100 * ms);
	for (node *n : w.at)
		EXPECT_EQ(told::replayed, run(arrive(w, l, n, c)));
	auto other = arrive(w, l, w.at[0], c);
	other->fingerprint = 2;
	/* The first try went out with the old one; a later one tells. */
	run(other);
	auto misuse = std::make_shared<arrival>(*other);
	misuse->end = told::nothing;
	misuse->take();
	EXPECT_EQ(told::misuse, run(misuse));
}

TEST_F(Service, DuplicateAndLateTake)
{
	std::string c = text_in(slice, 1);
	auto a = arrive(w, l, third(w, slice), c);

	a->run_us = 2 * sec;
	w.run(20 * ms);
	ASSERT_EQ(1, l.executed[c]);
	/* The same arrival's take again, and another arrival meanwhile. */
	EXPECT_EQ(told::in_doubt, run(arrive(w, l, w.at[0], c)));
	EXPECT_EQ(told::ran, run(a));
	w.run(100 * ms);
	auto late = std::make_shared<arrival>(*a);
	late->end = told::nothing;
	late->take();
	EXPECT_EQ(told::replayed, run(late));
}

TEST_F(Service, PrimaryKilledBetweenClaimAndAnswer)
{
	std::string c = text_in(slice, 2);
	node *entry = third(w, slice);
	node *first = w.owner(slice);
	auto a = arrive(w, l, entry, c);

	a->run_us = 6 * sec; /* longer than the takeover */
	w.run(20 * ms);
	ASSERT_EQ(1, l.executed[c]);
	w.kill(first);
	EXPECT_EQ(told::in_doubt, run(arrive(w, l, entry, c)));
	EXPECT_EQ(told::ran, run(a));
	w.run(8 * sec);
	EXPECT_NE(first, w.owner(slice));
	EXPECT_EQ(told::replayed, run(arrive(w, l, entry, c)));
}

/* The primary dies while the backup has the claim and nobody was told. */
TEST_F(Service, PrimaryKilledBeforeItAnswers)
{
	std::string c = text_in(slice, 3);
	node *first = w.owner(slice);

	w.filter = [&](node *, node *, const std::string &f) {
		return is_type(f, FP_MSG_CLAIM_REPLICATED);
	};
	auto a = arrive(w, l, third(w, slice), c);
	w.run(50 * ms);
	EXPECT_EQ(0, l.executed[c]);
	w.filter = nullptr;
	w.kill(first);
	/* The same arrival asks the next owner and gets its own claim. */
	EXPECT_EQ(told::ran, run(a));
	EXPECT_EQ(1, l.executed[c]);
}

TEST_F(Service, BackupKilled)
{
	std::string c = text_in(slice, 4);
	node *b = w.backup(slice);

	w.kill(b);
	EXPECT_EQ(told::ran, run(arrive(w, l, w.owner(slice), c)));
	ASSERT_TRUE(w.run_while(10 * sec, [&] {
		return !w.backup(slice) || w.backup(slice) == b;
	}));
	w.kill(w.owner(slice));
	w.start(b->place);
	EXPECT_EQ(told::replayed, run(arrive(w, l, w.backup(slice), c)));
}

TEST_F(Service, UnreplicatedClaimIsNeverGranted)
{
	std::string c = text_in(slice, 5);
	node *p = w.owner(slice);

	w.filter = [&](node *, node *, const std::string &f) {
		return is_type(f, FP_MSG_CLAIM_REPLICATE);
	};
	auto a = arrive(w, l, p, c);
	EXPECT_EQ(told::in_doubt, run(a, 60 * sec));
	EXPECT_EQ(0, l.executed[c]);
}

TEST_F(Service, BothLostSaysLostForTheLifetime)
{
	std::string c = text_in(slice, 6);
	node *entry = third(w, slice);
	node *p = w.owner(slice);
	node *b = w.backup(slice);

	EXPECT_EQ(told::ran, run(arrive(w, l, entry, c)));
	w.kill(p);
	w.kill(b);
	w.run(sec);
	w.start(p->place);
	w.start(b->place);
	EXPECT_EQ(told::lost, run(arrive(w, l, entry, c)));
	w.run(lifetime / 2);
	EXPECT_EQ(told::lost, run(arrive(w, l, entry, c)));
	w.run(lifetime);
	l.executed.clear();
	EXPECT_EQ(told::ran, run(arrive(w, l, entry, c)));
}

/* The next backup must not count before it knows that claims were lost. */
TEST_F(Service, LossIsKnownToTheNextOwnerToo)
{
	std::string c = text_in(slice, 13);
	node *entry = third(w, slice);
	node *p = w.owner(slice);
	node *b = w.backup(slice);
	int lost = 0;

	EXPECT_EQ(told::ran, run(arrive(w, l, entry, c)));
	w.filter = [&](node *, node *, const std::string &f) {
		return is_type(f, FP_MSG_SLICE_TRANSFER) && lost++ < 300;
	};
	w.kill(p);
	w.kill(b);
	w.run(sec);
	w.start(p->place);
	w.start(b->place);
	ASSERT_TRUE(w.run_while(20 * sec, [&] {
		return !w.owner(slice) || !w.owner(slice)->alive ||
		       !w.backup(slice) || !w.backup(slice)->alive;
	}));
	w.kill(w.owner(slice));
	for (node *n : w.at)
		if (n->alive)
			entry = n;
	EXPECT_EQ(told::lost, run(arrive(w, l, entry, c)));
}

TEST_F(Service, PausedPrimaryGrantsNothing)
{
	std::string c = text_in(slice, 7);
	node *entry = third(w, slice);
	node *p = w.owner(slice);
	auto a = arrive(w, l, entry, c);

	/* Paused with the take in its queue, past its promise. */
	p->paused_until = w.t + 6 * sec;
	w.run(5 * sec);
	EXPECT_NE(p, w.owner(slice));
	auto second = arrive(w, l, entry, c);
	run(second);
	run(a);
	w.run(5 * sec);
	EXPECT_EQ(1, l.executed[c]);
}

TEST_F(Service, StoreDownDuringTakeover)
{
	std::string c = text_in(slice, 8);
	node *entry = third(w, slice);
	node *p = w.owner(slice);

	EXPECT_EQ(told::ran, run(arrive(w, l, entry, c)));
	w.run(100 * ms);
	w.store_down_until = w.t + 6 * sec;
	w.kill(p);
	auto a = arrive(w, l, entry, c);
	w.run(5 * sec);
	EXPECT_EQ(told::nothing, a->end);
	EXPECT_EQ(told::replayed, run(a));
}

TEST_F(Service, TakeoverWhoseAnswerIsLost)
{
	std::string c = text_in(slice, 9);
	node *entry = third(w, slice);

	EXPECT_EQ(told::ran, run(arrive(w, l, entry, c)));
	w.run(100 * ms);
	w.store_lands = true;
	w.store_down_until = w.t + 4 * sec;
	w.kill(w.owner(slice));
	EXPECT_EQ(told::replayed, run(arrive(w, l, entry, c)));
}

TEST_F(Service, PlannedStopKeepsClaims)
{
	std::string c = text_in(slice, 10);
	node *entry = third(w, slice);
	node *p = w.owner(slice);
	int64_t from;

	EXPECT_EQ(told::ran, run(arrive(w, l, entry, c)));
	w.store_down_until = w.t + 30 * sec;
	w.stop(p);
	from = w.t;
	EXPECT_TRUE(w.run_while(3 * sec, [&] { return p->alive; }));
	printf("planned stop, store down, all slices given up after %ld ms\n",
	       (w.t - from) / ms);
	EXPECT_EQ(told::replayed, run(arrive(w, l, entry, c), sec));
}

namespace
{

/* Tokens granted to an entry node, with the status of the answer. */
uint32_t grant_status(world &w, node *entry, uint32_t want, enum fp_status *st)
{
	struct fp_msg_shared m = {};
	auto got = std::make_shared<answer>();

	got->status = FP_TIMEOUT;
	m.type = FP_MSG_GRANT_ASK;
	strcpy(m.grant_ask.org, "acme");
	m.grant_ask.want = want;
	w.ask(entry, fp_slice_of_org("acme"), m,
	      [=](const answer &a) { *got = a; });
	w.run(10 * ms);
	*st = got->status;
	return got->status == FP_OK ? got->tokens : 0;
}

uint32_t granted(world &w, node *entry, uint32_t want)
{
	enum fp_status st;

	return grant_status(w, entry, want, &st);
}

} // namespace

namespace
{

/* Frames of the world overtake each other; those of a link do not. Here what
 * was sent before a handover arrives before it. */
void keep_order(world &w)
{
	auto again = std::make_shared<bool>(false);

	w.filter = [&w, again](node *from, node *to, const std::string &f) {
		std::string addr = to->addr;

		if (*again || !is_type(f, FP_MSG_SLICE_HANDOVER))
			return false;
		w.later(2 * ms, [&w, again, from, addr, f] {
			*again = true;
			w.frame(from, addr.c_str(), f);
			*again = false;
		});
		return true;
	};
}

} // namespace

/* Also with the store down: what is handed over needs none. */
TEST_F(Service, PlannedStopKeepsTokens)
{
	uint32_t s = fp_slice_of_org("acme");
	uint32_t got;
	node *entry;

	keep_order(w);
	w.set_org("acme", 10, 100);
	for (bool down : { false, true }) {
		entry = third(w, s);
		ASSERT_NE(nullptr, entry);
		w.run(12 * sec); /* full */
		EXPECT_EQ(30u, granted(w, entry, 30));
		if (down)
			w.store_down_until = w.t + 30 * sec;
		w.stop(w.owner(s));
		w.run(200 * ms);
		got = granted(w, entry, 100);
		printf("70 tokens, 30 outstanding, %d: %u after the stop\n",
		       down, got);
		EXPECT_GE(got, 68u);
		EXPECT_LE(got, 70u);
		if (!down) {
			node *gone = nullptr;
			for (node *n : w.at)
				if (n->stopping)
					gone = n;
			ASSERT_NE(nullptr, gone);
			w.run_while(5 * sec, [&] { return gone->alive; });
			w.start(gone->place);
			w.run(8 * sec);
		}
	}
}

/* An ask every 10 ms, answered by the old owner or the new one. */
TEST(SliceService, EntryLearnsOfTheNewOwnerAtOnce)
{
	uint32_t s = fp_slice_of_org("acme");
	int64_t longest = 0;
	int unanswered = 0;

	for (uint64_t seed = 1; seed <= 20; seed++) {
		world w(seed);
		int64_t last_ok;

		keep_order(w);
		w.set_org("acme", 1000, 1000);
		w.boot(6);
		node *entry = third(w, s);
		enum fp_status st;

		w.stop(w.owner(s));
		last_ok = w.t;
		for (int i = 0; i < 50; i++) {
			grant_status(w, entry, 1, &st);
			unanswered += st == FP_TIMEOUT;
			longest = std::max(longest, w.t - 10 * ms - last_ok);
			if (st == FP_OK)
				last_ok = w.t;
		}
	}
	printf("20 planned stops: at most %ld ms without a token, %d asks "
	       "without an answer in 10 ms\n",
	       longest / ms, unanswered);
	EXPECT_LE(longest, 20 * ms);
	EXPECT_EQ(0, unanswered);
}

/* An empty bucket of a new owner says nothing of its organisation. */
TEST_F(Service, LateTakeoverIsNotCalledOverRate)
{
	uint32_t s = fp_slice_of_org("acme");
	node *entry = third(w, s);
	enum fp_status st = FP_UNAVAILABLE;
	std::map<enum fp_status, int> seen;

	w.set_org("acme", 10, 100);
	w.run(sec);
	w.store_down_until = w.t + 8 * sec;
	w.kill(w.owner(s));
	w.run_while(20 * sec, [&] {
		grant_status(w, entry, 1, &st);
		return st != FP_OK;
	});
	/* 40 in 2 s, inside the burst of 100. */
	for (int i = 0; i < 20; i++) {
		grant_status(w, entry, 2, &st);
		seen[st]++;
		w.run(90 * ms);
	}
	printf("20 asks: %d granted, %d told to ask again, %d refused\n",
	       seen[FP_OK], seen[FP_AGAIN], seen[FP_EXHAUSTED]);
	EXPECT_EQ(0, seen[FP_EXHAUSTED]);
	EXPECT_GT(seen[FP_AGAIN], 0);
}

TEST_F(Service, LostReplicationWouldBeFound)
{
	std::string c = text_in(slice, 12);
	node *entry = third(w, slice);

	/* A link that lies: nothing is replicated, all is confirmed. */
	w.filter = [&](node *from, node *to, const std::string &f) {
		struct fp_msg_shared m, a = {};
		msgpack_sbuffer buf;

		if (!is_type(f, FP_MSG_CLAIM_REPLICATE) ||
		    fp_msg_shared_decode((const uint8_t *)f.data(), f.size(),
					 &m) != FP_OK)
			return false;
		a.type = FP_MSG_CLAIM_REPLICATED;
		a.id = m.id;
		a.claim_replicated.slice = m.claim_replicate.slice;
		a.claim_replicated.epoch = m.claim_replicate.epoch;
		a.claim_replicated.seq = m.claim_replicate.seq;
		a.claim_replicated.ok = true;
		msgpack_sbuffer_init(&buf);
		fp_msg_shared_encode(&a, &buf);
		w.frame(to, from->addr.c_str(),
			std::string(buf.data, buf.size));
		msgpack_sbuffer_destroy(&buf);
		return true;
	};
	EXPECT_EQ(told::ran, run(arrive(w, l, entry, c)));
	w.kill(w.owner(slice));
	run(arrive(w, l, entry, c));
	EXPECT_EQ("second execution of " + c, l.violation);
	l.violation = "";
}

TEST(SliceService, AtTheBoundNewClaimsAreNotRun)
{
	world w(8);
	ledger l;
	int ran = 0, full = 0;
	std::vector<std::shared_ptr<arrival>> as;

	w.max_claims = 100;
	w.boot(3);
	for (int i = 0; i < 400; i++) {
		as.push_back(arrive(w, l, w.at[0], "c" + std::to_string(i)));
		w.run(5 * ms);
	}
	w.run(20 * sec);
	for (auto &a : as) {
		ran += a->end == told::ran;
		full += a->end == told::not_run;
	}
	printf("400 arrivals, bound 100 a node: %d ran, %d refused\n", ran,
	       full);
	EXPECT_EQ(400, ran + full);
	/* Each claim takes room at two of three nodes. */
	EXPECT_LE(ran, 150);
	EXPECT_GT(ran, 100);
	for (node *n : w.at)
		EXPECT_LE(n->count("fulmar_claims_kept"), 100);
	EXPECT_EQ("", l.violation);
}

namespace
{

/* Asks for tokens all the time and spends them when it likes. */
struct spender {
	world *w;
	std::vector<int64_t> spent;
	int64_t late_us = 0; /* beyond what a holder may */
	int hoard_percent = 50;

	void go(node *n)
	{
		struct fp_msg_shared m = {};
		int64_t asked = w->t;

		m.type = FP_MSG_GRANT_ASK;
		snprintf(m.grant_ask.org, sizeof(m.grant_ask.org), "acme");
		m.grant_ask.want = (uint32_t)w->pick(1, 20);
		w->ask(n, fp_slice_of_org("acme"), m, [=](const answer &a) {
			if (a.status != FP_OK)
				return;
			for (uint32_t i = 0; i < a.tokens; i++)
				spend(n, asked);
		});
		w->later(w->pick(10 * ms, 60 * ms), [=] {
			node *p = w->at[(size_t)n->place];

			if (p->alive)
				w->to_node(p, [=] { go(p); });
			else
				idle(n);
		});
	}
	/* Waits until its node is started again. */
	void idle(node *n)
	{
		w->later(100 * ms, [=] {
			node *p = w->at[(size_t)n->place];

			if (p->alive)
				go(p);
			else
				idle(n);
		});
	}
	void spend(node *n, int64_t asked)
	{
		int64_t left = asked + FP_GRANT_HOLDER_US + late_us - w->t;

		if (left <= 0)
			return;
		/* Some hoard for the same moment, as long as they may. */
		int64_t hoard = std::min(left - 1, 4 * sec - w->t % (4 * sec));

		w->later(w->chance(hoard_percent) ? hoard : 0, [=] {
			if (n->alive && n->paused_until <= w->t)
				spent.push_back(w->t);
		});
	}
	/* The least level of a bucket that these drain. */
	double least(double rate, double burst) const
	{
		double level = burst, low = burst;
		int64_t last = 0;

		for (int64_t at : spent) {
			level = std::min(burst,
					 level + rate * (double)(at - last) /
							 1e6);
			last = at;
			level -= 1;
			low = std::min(low, level);
		}
		return low;
	}
};

void faults(world &w, int64_t until)
{
	node *p = w.at[w.rng() % w.at.size()];
	int64_t span = w.pick(200 * ms, 5 * sec);

	if (w.t >= until) {
		w.loss_percent = 0;
		return;
	}
	w.later(w.pick(300 * ms, 2 * sec), [&w, until] { faults(w, until); });
	if (!p->alive)
		return;
	switch (w.rng() % 6) {
	case 0:
		w.kill(p);
		break;
	case 1:
		w.stop(p);
		break;
	case 2:
		p->paused_until = w.t + span;
		break;
	case 3:
		w.store_down_until = w.t + span;
		w.store_lands = w.chance(50);
		break;
	case 4:
		w.cut[{ p->place, (int)(w.rng() % w.at.size()) }] = w.t + span;
		break;
	default:
		w.loss_percent = w.chance(50) ? 5 : 0;
	}
}

/* What ended is started again some seconds later. */
void restarts(world &w)
{
	for (size_t i = 0; i < w.at.size(); i++)
		if (!w.at[i]->alive && w.chance(10) &&
		    w.t - w.at[i]->dead_since > 300 * ms)
			w.start((int)i);
	w.later(200 * ms, [&w] { restarts(w); });
}

void arrivals(world &w, ledger &l, int64_t until)
{
	node *n = w.at[w.rng() % w.at.size()];

	if (w.t >= until)
		return;
	w.to_node(n, [&w, &l, n] {
		arrive(w, l, n, "claim" + std::to_string(w.pick(0, 60)))
			->run_us = w.pick(0, 1500 * ms);
	});
	w.later(w.pick(5 * ms, 60 * ms),
		[&w, &l, until] { arrivals(w, l, until); });
}

std::string run_schedule(uint64_t seed, int64_t late_us, ledger &l,
			 uint64_t *spent)
{
	world w(seed);
	spender s{ &w, {}, late_us, 50 };
	int64_t until;

	for (int i = 0; i < 4; i++)
		w.start(i);
	w.set_org("acme", 100, 50);
	w.publish_members();
	w.run(8 * sec);
	until = w.t + 20 * sec;
	for (node *n : w.at)
		s.go(n);
	faults(w, until);
	restarts(w);
	arrivals(w, l, until);
	w.run(25 * sec);
	*spent += s.spent.size();
	if (s.least(100, 50) < -0.001)
		l.fail("admitted beyond rate and burst");
	return l.violation;
}

/* What becomes of the frames that hand buckets over. */
enum class on_the_way { whole, faulty, no_outstanding };

std::string without_outstanding(const std::string &f)
{
	struct fp_msg_shared m;
	msgpack_sbuffer buf;
	std::string out;

	if (fp_msg_shared_decode((const uint8_t *)f.data(), f.size(), &m) !=
	    FP_OK)
		abort();
	m.bucket_handover.state.outstanding = 0;
	msgpack_sbuffer_init(&buf);
	fp_msg_shared_encode(&m, &buf);
	out.assign(buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
	return out;
}

/* Lost, doubled, or as late as in a later epoch. */
void disturb(world &w, on_the_way how)
{
	auto again = std::make_shared<bool>(false);

	w.filter = [&w, how, again](node *from, node *to,
				    const std::string &f) {
		std::string frame = f, addr = to->addr;

		if (*again || !is_type(f, FP_MSG_BUCKET_STATE) ||
		    how == on_the_way::whole)
			return false;
		if (how == on_the_way::no_outstanding)
			frame = without_outstanding(f);
		auto send = [&w, from, addr, frame, again] {
			*again = true;
			w.frame(from, addr.c_str(), frame);
			*again = false;
		};
		if (how == on_the_way::no_outstanding || w.chance(80))
			send();
		while (how == on_the_way::faulty && w.chance(60))
			w.later(w.pick(0, 6 * sec), send);
		return true;
	};
}

void stops(world &w, int64_t until)
{
	node *p = w.owner(fp_slice_of_org("acme"));

	if (w.t >= until)
		return;
	w.later(w.pick(200 * ms, 1500 * ms), [&w, until] { stops(w, until); });
	if (p && p->alive && !p->stopping)
		w.stop(p);
}

/* Whether rate and burst hold over planned stops of the owner. */
bool handovers_keep_bound(uint64_t seed, on_the_way how, uint64_t *spent,
			  uint64_t *owners)
{
	world w(seed);
	spender s{ &w, {}, 0, 90 };
	uint64_t before;
	char key[FP_SLICE_KEY_BYTES];

	fp_slice_key(fp_slice_of_org("acme"), key);
	for (int i = 0; i < 4; i++)
		w.start(i);
	w.set_org("acme", 400, 50);
	w.publish_members();
	w.run(8 * sec);
	before = w.kv[key].first;
	disturb(w, how);
	for (node *n : w.at)
		s.go(n);
	stops(w, w.t + 20 * sec);
	restarts(w);
	w.run(25 * sec);
	*spent += s.spent.size();
	*owners += w.kv[key].first - before;
	return s.least(400, 50) >= -0.001;
}

} // namespace

TEST(SliceService, PlannedStopsKeepRateAndBurst)
{
	for (on_the_way how : { on_the_way::whole, on_the_way::faulty }) {
		uint64_t spent = 0, writes = 0;

		for (uint64_t seed = 1; seed <= 40; seed++)
			ASSERT_TRUE(handovers_keep_bound(seed, how, &spent,
							 &writes))
				<< "seed " << seed;
		printf("40 schedules, %s: %lu tokens spent, %lu views\n",
		       how == on_the_way::whole ? "whole" : "faulty", spent,
		       writes);
		EXPECT_GT(spent, 40u * 500);
		EXPECT_GT(writes, 40u * 5);
	}
}

TEST(SliceService, DroppedOutstandingIsFound)
{
	uint64_t seed = 0, spent = 0, writes = 0;
	bool kept = true;

	while (kept && seed < 40)
		kept = handovers_keep_bound(++seed, on_the_way::no_outstanding,
					    &spent, &writes);
	printf("outstanding dropped: violated at seed %lu\n", seed);
	EXPECT_FALSE(kept);
}

TEST(SliceService, RandomSchedules)
{
	uint64_t first = number("FP_SEED", 1);
	uint64_t n = getenv("FP_SEED") ? 1 : number("FP_SCHEDULES", 60);
	uint64_t arrivals = 0, replays = 0, doubts = 0, spent = 0;

	printf("seeds %lu to %lu\n", first, first + n - 1);
	for (uint64_t seed = first; seed < first + n; seed++) {
		ledger l;

		ASSERT_EQ("", run_schedule(seed, 0, l, &spent))
			<< "seed " << seed;
		arrivals += l.arrivals;
		replays += l.replays;
		doubts += l.doubts;
	}
	printf("%lu schedules: %lu arrivals, %lu got the first answer, %lu in "
	       "doubt; %lu tokens spent\n",
	       n, arrivals, replays, doubts, spent);
	EXPECT_GT(replays, n);
	EXPECT_GT(spent, 100 * n);
}

TEST(SliceService, LateSpendersAreFound)
{
	uint64_t seed = 0, spent = 0;
	std::string why;

	while (why.empty() && seed < 60) {
		ledger l;

		why = run_schedule(++seed, 3 * sec, l, &spent);
	}
	printf("tokens spent 3 s late: seed %lu: %s\n", seed, why.c_str());
	EXPECT_EQ("admitted beyond rate and burst", why);
}
