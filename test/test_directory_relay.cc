/* test_directory_relay.cc - delegates read the configuration for a domain */
#include "directory_sim.h"

namespace
{

/* A follower: n0 sorts before n1 in the domain and so is its delegate. */
class Follower : public Directory
{
      protected:
	/* Starts n1 and runs until its first request to the delegate. */
	void follow()
	{
		store.write("op/config", config_json(5));
		store.write("fulmar/nodes/n0", member_json("n0", 7, true));
		start();
		for (int ms = 0; ms < 1500 && sent.empty(); ms++)
			run_ms(1);
		ASSERT_FALSE(sent.empty());
		EXPECT_EQ("10.0.0.2:80", sent.back().first);
		EXPECT_EQ(FP_MSG_CONFIRM_REQUEST, sent.back().second.type);
	}

	/* Follows for 3 s, then runs until a request has just been sent. */
	void follow_until_request()
	{
		follow();
		run_answering_ms(3000, 300, 5000);
		size_t n_requests = sent.size();
		while (sent.size() == n_requests)
			run_ms(1);
	}

	void answer(enum fp_status st, uint64_t revision, int64_t age_us,
		    uint64_t id)
	{
		struct fp_msg_shared m = {};

		m.type = FP_MSG_CONFIRM_RESPONSE;
		m.id = id;
		m.confirm_response.status = st;
		m.confirm_response.item_revision = revision;
		m.confirm_response.age_us = age_us;
		fp_directory_message(d, "10.0.0.2:80", &m);
	}

	/* Runs, and answers each request as the delegate, after after_ms. */
	void run_answering_ms(int ms, int after_ms, int64_t age_us)
	{
		size_t seen = sent.size() - 1;
		int remaining_ms = after_ms;

		for (; ms > 0; ms--) {
			run_ms(1);
			if (seen == sent.size() || remaining_ms-- > 0)
				continue;
			answer(FP_OK, store.items["op/config"].revision, age_us,
			       sent[seen].second.id);
			seen = sent.size();
			remaining_ms = after_ms;
		}
	}
};

TEST_F(Follower, DoesNotReadTheStoreWhileItsDelegateAnswers)
{
	follow();
	int gets_before = store.calls["get"];
	size_t n_requests = sent.size();

	run_answering_ms(20000, 300, 5000);
	EXPECT_LE(store.calls["get"] - gets_before, 1);
	EXPECT_NEAR(25, (double)(sent.size() - n_requests), 3);
	EXPECT_GT(confirmed_us, fp_mono_us(&clock.clock) - 1000000);
}

TEST_F(Follower, TheConfirmationIsOlderThanTheRequest)
{
	follow_until_request();
	int64_t request_us = fp_mono_us(&clock.clock);
	run_ms(700);
	answer(FP_OK, store.items["op/config"].revision, 250000,
	       sent.back().second.id);
	EXPECT_LE(confirmed_us, request_us - 250000);
	EXPECT_GE(confirmed_us, request_us - 255000);
}

TEST_F(Follower, ReadsTheStoreWhenItsDelegateTimesOut)
{
	follow();
	run_answering_ms(3000, 300, 5000);
	size_t n_requests = sent.size();
	int64_t max_age_us = 0;
	for (int ms = 0; ms < 4000; ms++) {
		run_ms(1);
		max_age_us = std::max(max_age_us,
				      fp_mono_us(&clock.clock) - confirmed_us);
	}
	EXPECT_LE(sent.size() - n_requests, 1u);
	EXPECT_LT(max_age_us, 2000000);
	/* A late answer is ignored. */
	int64_t confirmed_before_us = confirmed_us;
	answer(FP_OK, store.items["op/config"].revision, 0,
	       sent.back().second.id);
	EXPECT_EQ(confirmed_before_us, confirmed_us);
	run_ms(4000);
	EXPECT_GT(sent.size(), n_requests + 1);
}

TEST_F(Follower, ReadsTheStoreAtOnceWhenItsDelegateIsUnavailable)
{
	follow_until_request();
	int gets_before = store.calls["get"];
	answer(FP_UNAVAILABLE, 0, 0, sent.back().second.id);
	run_ms(10);
	EXPECT_EQ(gets_before + 1, store.calls["get"]);
}

TEST_F(Follower, ReadsANewerRecordAtOnce)
{
	follow();
	run_answering_ms(3000, 300, 5000);
	store.write("op/config", config_json(6));
	size_t n_requests = sent.size();
	while (sent.size() == n_requests)
		run_ms(1);
	int64_t confirmed_before_us = confirmed_us;
	answer(FP_OK, store.items["op/config"].revision, 0,
	       sent.back().second.id);
	/* Does not confirm the old record. */
	EXPECT_EQ(confirmed_before_us, confirmed_us);
	run_ms(10);
	EXPECT_EQ(6u, revisions.back());
	EXPECT_GT(confirmed_us, confirmed_before_us);
}

/* n1 is the first of its domain, hence the delegate. */
TEST_F(Directory, ADelegateAnswersAfterItsNextRead)
{
	struct fp_msg_shared request = {};

	store.write("op/config", config_json(5));
	start();
	run_ms(1500);
	request.type = FP_MSG_CONFIRM_REQUEST;
	request.id = 77;
	fp_directory_message(d, "10.0.0.9:80", &request);
	EXPECT_TRUE(sent.empty());
	run_ms(1000);
	ASSERT_EQ(1u, sent.size());
	EXPECT_EQ("10.0.0.9:80", sent[0].first);
	EXPECT_EQ(77u, sent[0].second.id);
	EXPECT_EQ(FP_OK, sent[0].second.confirm_response.status);
	EXPECT_EQ(store.items["op/config"].revision,
		  sent[0].second.confirm_response.item_revision);
	EXPECT_LT(sent[0].second.confirm_response.age_us, 100000);
	/* Without the store it answers FP_UNAVAILABLE, to an open request and
	 * to a new one. */
	request.id = 78;
	fp_directory_message(d, "10.0.0.9:80", &request);
	store.fail_status = FP_TIMEOUT;
	run_ms(1100);
	request.id = 79;
	fp_directory_message(d, "10.0.0.9:80", &request);
	ASSERT_EQ(3u, sent.size());
	for (int i = 1; i < 3; i++) {
		EXPECT_EQ(77u + i, sent[i].second.id);
		EXPECT_EQ(FP_UNAVAILABLE,
			  sent[i].second.confirm_response.status);
	}
}

TEST_F(Directory, OnlyTheLastRequestOfAMemberIsAnswered)
{
	struct fp_msg_shared request = {};

	store.write("op/config", config_json(5));
	start();
	run_ms(1500);
	request.type = FP_MSG_CONFIRM_REQUEST;
	for (request.id = 1; request.id <= 100; request.id++)
		fp_directory_message(d, "10.0.0.9:80", &request);
	run_ms(1100);
	ASSERT_EQ(1u, sent.size());
	EXPECT_EQ(100u, sent[0].second.id);
}

} // namespace
