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

	/* newest: the configuration that the delegate knows; 0: of no report */
	void answer(enum fp_status st, uint64_t revision, int64_t age_us,
		    uint64_t id, uint64_t newest = 0)
	{
		struct fp_msg_shared m = {};

		m.type = FP_MSG_CONFIRM_RESPONSE;
		m.id = id;
		m.confirm_response.status = st;
		m.confirm_response.item_revision = revision;
		m.confirm_response.age_us = age_us;
		m.confirm_response.newest_revision = newest;
		fp_directory_message(d, "10.0.0.2:80", &m);
	}

	/* The messages in which the delegate sends a record, for the last
	 * request. */
	std::vector<struct fp_msg_shared>
	record_parts(const std::string &text, size_t part_bytes, int64_t age_us)
	{
		std::vector<struct fp_msg_shared> parts;

		for (size_t at = 0; at < text.size(); at += part_bytes) {
			struct fp_msg_shared m = {};

			m.type = FP_MSG_CONFIG_PART;
			m.id = sent.back().second.id;
			m.config_part.item_revision =
				store.items["op/config"].revision;
			m.config_part.age_us = age_us;
			m.config_part.total_bytes = (uint32_t)text.size();
			m.config_part.offset = (uint32_t)at;
			strcpy(m.config_part.text,
			       text.substr(at, part_bytes).c_str());
			parts.push_back(m);
		}
		return parts;
	}

	void send_record(const std::string &text, size_t part_bytes,
			 int64_t age_us)
	{
		for (auto &m : record_parts(text, part_bytes, age_us))
			fp_directory_message(d, "10.0.0.2:80", &m);
	}

	/* Writes record 6 and has the delegate report it. */
	void report_newer_record()
	{
		follow();
		run_answering_ms(3000, 300, 5000);
		store.write("op/config", config_json(6));
		size_t n_requests = sent.size();
		while (sent.size() == n_requests)
			run_ms(1);
		confirmed_before_us = confirmed_us;
		gets_before = store.calls["get"];
		answer(FP_OK, store.items["op/config"].revision, 0,
		       sent.back().second.id);
		/* Does not confirm the old record. */
		EXPECT_EQ(confirmed_before_us, confirmed_us);
		ASSERT_EQ(FP_MSG_CONFIG_REQUEST, sent.back().second.type);
		ASSERT_EQ(store.items["op/config"].revision,
			  sent.back().second.config_request.item_revision);
	}

	int64_t confirmed_before_us = 0; /* as the newer record is reported */
	int gets_before = 0;

	/* Ends the directory and forgets what it did. */
	void restart()
	{
		fp_directory_close(d);
		run_ms(10); /* answers of open calls */
		fp_directory_end(d);
		d = nullptr;
		store.items.clear();
		store.watches.clear();
		sent.clear();
		revisions.clear();
		confirmed_us = 0;
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

/* A delegate that has read the store earlier than another one does not bring
 * back what has changed since; one that has read nothing changes nothing. */
TEST_F(Follower, KeepsTheNewestSetOfEvacuatedDomains)
{
	struct fp_evacuation sets[] = { { 20, 1, { "d1" } },
					{ 19, 0, {} },
					{ 0, 0, {} },
					{ 21, 2, { "d1", "d2" } },
					{ 20, 1, { "d1" } } };
	uint32_t n_known[] = { 1, 1, 1, 2, 2 };

	follow();
	for (int i = 0; i < 5; i++) {
		struct fp_msg_shared m = {};
		size_t n_requests = sent.size();

		m.type = FP_MSG_CONFIRM_RESPONSE;
		m.id = sent.back().second.id;
		m.confirm_response.status = FP_OK;
		m.confirm_response.item_revision =
			store.items["op/config"].revision;
		m.confirm_response.evacuation = sets[i];
		fp_directory_message(d, "10.0.0.2:80", &m);
		EXPECT_EQ(n_known[i], fp_directory_evacuation(d)->n) << i;
		while (sent.size() == n_requests)
			run_ms(1);
	}
}

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

TEST_F(Follower, GetsANewerRecordFromItsDelegateAtOnce)
{
	report_newer_record();
	int64_t requested_us = fp_mono_us(&clock.clock);
	run_ms(10);
	send_record(store.items["op/config"].value, 20, 3000);
	EXPECT_EQ(6u, revisions.back());
	EXPECT_EQ(requested_us - 3000, confirmed_us);
	EXPECT_EQ(gets_before, store.calls["get"]);
	run_answering_ms(3000, 300, 5000);
	EXPECT_EQ(gets_before, store.calls["get"]);
	EXPECT_GT(confirmed_us, requested_us);
}

TEST_F(Follower, ReadsTheStoreWhenTheRecordDoesNotCome)
{
	report_newer_record();
	run_ms(320);
	EXPECT_EQ(gets_before + 1, store.calls["get"]);
	EXPECT_EQ(6u, revisions.back());
	EXPECT_GT(confirmed_us, confirmed_before_us);
}

TEST_F(Follower, ADoubledPartIsIgnored)
{
	report_newer_record();
	auto parts = record_parts(store.items["op/config"].value, 20, 0);
	for (auto &m : parts) {
		fp_directory_message(d, "10.0.0.2:80", &m);
		fp_directory_message(d, "10.0.0.2:80", &m);
	}
	EXPECT_EQ(6u, revisions.back());
	EXPECT_EQ(2u, revisions.size());
	EXPECT_EQ(gets_before, store.calls["get"]);
}

/* Parts that are lost, or of another record, request or length. */
TEST_F(Follower, AnIncompleteRecordIsNotApplied)
{
	for (int fault = 0; fault < 4; fault++) {
		SCOPED_TRACE(fault);
		report_newer_record();
		std::string text = store.items["op/config"].value;
		uint64_t item = store.items["op/config"].revision;
		std::vector<struct fp_msg_shared> parts =
			record_parts(text, 20, 0);

		if (fault == 0)
			parts.erase(parts.begin() + 1);
		if (fault == 1)
			parts[1].config_part.item_revision = item + 1;
		if (fault == 2)
			parts[1].id++;
		if (fault == 3)
			parts[1].config_part.total_bytes = UINT32_MAX;
		for (auto &m : parts)
			fp_directory_message(d, "10.0.0.2:80", &m);
		EXPECT_EQ(confirmed_before_us, confirmed_us);
		EXPECT_EQ(5u, revisions.back());
		run_ms(320);
		EXPECT_EQ(6u, revisions.back());
		EXPECT_EQ(gets_before + 1, store.calls["get"]);
		restart();
	}
}

/* Guards against a key that a follower accepts because the record that withdrew
 * it was lost by the store: its delegate knows a later configuration than the
 * record that both have read. */
TEST_F(Follower, ARecordOlderThanItsDelegateKnowsConfirmsNothing)
{
	follow_until_request();
	int64_t before_us = confirmed_us;
	uint64_t item = store.items["op/config"].revision;
	answer(FP_OK, item, 0, sent.back().second.id, 6);
	EXPECT_EQ(before_us, confirmed_us);
	size_t n_requests = sent.size();
	while (sent.size() == n_requests)
		run_ms(1);
	store.write("op/config", config_json(6));
	answer(FP_OK, store.items["op/config"].revision, 0,
	       sent.back().second.id, 6);
	send_record(store.items["op/config"].value, 20, 0);
	EXPECT_EQ(6u, revisions.back());
	EXPECT_GT(confirmed_us, before_us);
}

/* A record of a later epoch of the store is a newer one, whatever its number. */
TEST_F(Follower, TakesARecordOfALaterEpoch)
{
	follow_until_request();
	uint64_t counter =
		fp_revision_counter(store.items["op/config"].revision);
	store.items["op/config"] = { config_json(6),
				     fp_revision(1, counter - 3), 0 };
	answer(FP_OK, store.items["op/config"].revision, 0,
	       sent.back().second.id, 6);
	ASSERT_EQ(FP_MSG_CONFIG_REQUEST, sent.back().second.type);
	send_record(store.items["op/config"].value, 20, 0);
	EXPECT_EQ(6u, revisions.back());
}

/* An older record, as after a switch to a delegate that lags behind. */
TEST_F(Follower, AnOlderRecordIsNotApplied)
{
	report_newer_record();
	auto parts = record_parts(config_json(4), 20, 0);
	for (auto &m : parts) {
		m.config_part.item_revision = 1;
		fp_directory_message(d, "10.0.0.2:80", &m);
	}
	EXPECT_EQ(confirmed_before_us, confirmed_us);
	EXPECT_EQ(5u, revisions.back());
}

TEST_F(Directory, ADelegateSendsItsRecordInParts)
{
	struct fp_msg_shared request = {};
	std::string text = config_json(5) + std::string(5000, ' ');
	std::string got;

	store.write("op/config", text);
	start();
	run_ms(1500);
	request.type = FP_MSG_CONFIG_REQUEST;
	request.id = 78;
	request.config_request.item_revision =
		store.items["op/config"].revision + 1;
	fp_directory_message(d, "10.0.0.9:80", &request);
	EXPECT_TRUE(sent.empty()); /* it does not have that one */
	request.config_request.item_revision--;
	fp_directory_message(d, "10.0.0.9:80", &request);
	ASSERT_EQ(3u, sent.size());
	for (auto &s : sent) {
		const struct fp_config_part &part = s.second.config_part;

		EXPECT_EQ(FP_MSG_CONFIG_PART, s.second.type);
		EXPECT_EQ(78u, s.second.id);
		EXPECT_EQ(got.size(), part.offset);
		EXPECT_EQ(text.size(), part.total_bytes);
		EXPECT_LT(part.age_us, 1100000);
		got += part.text;
	}
	EXPECT_EQ(text, got);
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
