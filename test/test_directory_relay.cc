/* test_directory_relay.cc - one node reads the record for its domain */
#include "directory_sim.h"

namespace
{

/* A directory with a delegate: n0 stands before it in its domain. */
class Follower : public Directory
{
      protected:
	void follow()
	{
		store.write("op/config", config(5));
		store.write("fulmar/nodes/n0", other("n0", 7, true));
		start();
		for (int ms = 0; ms < 1500 && sent.empty(); ms++)
			run_ms(1);
		ASSERT_FALSE(sent.empty());
		EXPECT_EQ("10.0.0.2:80", sent.back().first);
		EXPECT_EQ(FP_MSG_CURRENT_ASK, sent.back().second.type);
	}

	/* Follows for a while, up to the moment of a question. */
	void follow_to_a_question()
	{
		follow();
		run_told_ms(3000, 300, 5000);
		size_t asked = sent.size();
		while (sent.size() == asked)
			run_ms(1);
	}

	void tell(enum fp_status st, uint64_t revision, int64_t age_us,
		  uint64_t id)
	{
		struct fp_msg_shared m = {};

		m.type = FP_MSG_CURRENT_ANSWER;
		m.id = id;
		m.current_answer.status = st;
		m.current_answer.item_revision = revision;
		m.current_answer.age_us = age_us;
		fp_directory_message(d, "10.0.0.2:80", &m);
	}

	/* Answers each question after so long, as the delegate. */
	void run_told_ms(int ms, int after_ms, int64_t age_us)
	{
		size_t seen = sent.size() - 1;
		int left = after_ms;

		for (; ms > 0; ms--) {
			run_ms(1);
			if (seen == sent.size() || left-- > 0)
				continue;
			tell(FP_OK, store.items["op/config"].revision, age_us,
			     sent[seen].second.id);
			seen = sent.size();
			left = after_ms;
		}
	}
};

TEST_F(Follower, DoesNotAskTheStoreWhileItsDelegateAnswers)
{
	follow();
	int gets = store.calls["get"];
	size_t asked = sent.size();

	run_told_ms(20000, 300, 5000);
	EXPECT_LE(store.calls["get"] - gets, 1);
	EXPECT_NEAR(25, (double)(sent.size() - asked), 3);
	EXPECT_GT(current_us, fp_mono_us(&clock.clock) - 1000000);
}

TEST_F(Follower, TheProofIsOlderThanTheQuestion)
{
	follow_to_a_question();
	int64_t question_us = fp_mono_us(&clock.clock);
	run_ms(700);
	tell(FP_OK, store.items["op/config"].revision, 250000,
	     sent.back().second.id);
	EXPECT_LE(current_us, question_us - 250000);
	EXPECT_GE(current_us, question_us - 255000);
}

TEST_F(Follower, ASilentDelegateIsLeftForTheStore)
{
	follow();
	run_told_ms(3000, 300, 5000);
	size_t asked = sent.size();
	int64_t worst_us = 0;
	for (int ms = 0; ms < 4000; ms++) {
		run_ms(1);
		worst_us = std::max(worst_us,
				    fp_mono_us(&clock.clock) - current_us);
	}
	EXPECT_LE(sent.size() - asked, 1u);
	EXPECT_LT(worst_us, 2000000);
	/* What it says too late counts for nothing. */
	int64_t before_us = current_us;
	tell(FP_OK, store.items["op/config"].revision, 0,
	     sent.back().second.id);
	EXPECT_EQ(before_us, current_us);
	run_ms(4000);
	EXPECT_GT(sent.size(), asked + 1);
}

TEST_F(Follower, ADelegateThatCannotTellIsLeftAtOnce)
{
	follow_to_a_question();
	int gets = store.calls["get"];
	tell(FP_UNAVAILABLE, 0, 0, sent.back().second.id);
	run_ms(10);
	EXPECT_EQ(gets + 1, store.calls["get"]);
}

TEST_F(Follower, ANewerRecordIsReadAtOnce)
{
	follow();
	run_told_ms(3000, 300, 5000);
	store.write("op/config", config(6));
	size_t asked = sent.size();
	while (sent.size() == asked)
		run_ms(1);
	int64_t before_us = current_us;
	tell(FP_OK, store.items["op/config"].revision, 0,
	     sent.back().second.id);
	EXPECT_EQ(before_us, current_us); /* proves nothing of the old one */
	run_ms(10);
	EXPECT_EQ(6u, revisions.back());
	EXPECT_GT(current_us, before_us);
}

/* n1 is the first of its domain: others ask it. */
TEST_F(Directory, ADelegateAnswersAfterItAskedTheStore)
{
	struct fp_msg_shared ask = {};

	store.write("op/config", config(5));
	start();
	run_ms(1500);
	ask.type = FP_MSG_CURRENT_ASK;
	ask.id = 77;
	fp_directory_message(d, "10.0.0.9:80", &ask);
	EXPECT_TRUE(sent.empty());
	run_ms(1000);
	ASSERT_EQ(1u, sent.size());
	EXPECT_EQ("10.0.0.9:80", sent[0].first);
	EXPECT_EQ(77u, sent[0].second.id);
	EXPECT_EQ(FP_OK, sent[0].second.current_answer.status);
	EXPECT_EQ(store.items["op/config"].revision,
		  sent[0].second.current_answer.item_revision);
	EXPECT_LT(sent[0].second.current_answer.age_us, 100000);
	/* Without the store it cannot tell: who waits hears it, and who asks. */
	ask.id = 78;
	fp_directory_message(d, "10.0.0.9:80", &ask);
	store.failing = FP_TIMEOUT;
	run_ms(1100);
	ask.id = 79;
	fp_directory_message(d, "10.0.0.9:80", &ask);
	ASSERT_EQ(3u, sent.size());
	for (int i = 1; i < 3; i++) {
		EXPECT_EQ(77u + i, sent[i].second.id);
		EXPECT_EQ(FP_UNAVAILABLE, sent[i].second.current_answer.status);
	}
}

TEST_F(Directory, AMemberIsAnsweredOnceForItsLastQuestion)
{
	struct fp_msg_shared ask = {};

	store.write("op/config", config(5));
	start();
	run_ms(1500);
	ask.type = FP_MSG_CURRENT_ASK;
	for (ask.id = 1; ask.id <= 100; ask.id++)
		fp_directory_message(d, "10.0.0.9:80", &ask);
	run_ms(1100);
	ASSERT_EQ(1u, sent.size());
	EXPECT_EQ(100u, sent[0].second.id);
}

} // namespace
