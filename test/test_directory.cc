/* test_directory.cc - members, record and proof out of a store in trouble */
#include "directory_sim.h"

namespace
{

TEST_F(Directory, TwoNodesHaveOneSecret)
{
	store.write("op/config", config(1));
	start();
	ASSERT_EQ(1u, secrets.size());
	EXPECT_EQ(secrets[0], store.items["fulmar/secret"].value);
	EXPECT_TRUE(fp_directory_is_whole(d));
}

TEST_F(Directory, ASecretThatStandsIsTaken)
{
	store.write("fulmar/secret", std::string(32, 's'));
	start();
	ASSERT_EQ(1u, secrets.size());
	EXPECT_EQ(std::string(32, 's'), secrets[0]);
}

TEST_F(Directory, ASecretWrittenWithoutAnAnswerIsReadBack)
{
	store.late_put = true;
	start();
	run_ms(1000);
	store.late_put = false;
	run_ms(2000);
	ASSERT_EQ(1u, secrets.size());
	EXPECT_EQ(secrets[0], store.items["fulmar/secret"].value);
}

TEST_F(Directory, RevisionsOnlyGoUp)
{
	store.write("op/config", config(5));
	start();
	store.write("op/config", config(9));
	run_ms(1100);
	store.write("op/config", config(7));
	run_ms(1100);
	EXPECT_EQ((std::vector<uint64_t>{ 5, 9 }), revisions);
	EXPECT_EQ(9u, fp_directory_revision(d));
}

TEST_F(Directory, AnUnreadableRecordKeepsTheOldOne)
{
	store.write("op/config", config(5));
	start();
	store.write("op/config", "{\"version\":");
	run_ms(1100);
	EXPECT_EQ((std::vector<uint64_t>{ 5 }), revisions);
}

/* A new revision is in force within half of the two seconds allowed. */
TEST_F(Directory, AChangeIsTakenWithinASecond)
{
	store.write("op/config", config(5));
	start();
	for (int v = 6; v < 12; v++) {
		store.write("op/config", config(v));
		run_ms(1010);
		EXPECT_EQ((uint64_t)v, fp_directory_revision(d));
	}
}

TEST_F(Directory, TheProofIsOfTheMomentOfAsking)
{
	store.write("op/config", config(5));
	start();
	for (int i = 0; i < 50; i++) {
		run_ms(100);
		EXPECT_LE(current_us, clock.now_us);
		EXPECT_GE(current_us, clock.now_us - 1010000);
	}
	/* Back within two seconds of the store, as all that lapsed is. */
	for (int outage = 0; outage < 50; outage++) {
		store.failing = FP_UNAVAILABLE;
		run_ms(10);
		int64_t last = current_us;
		run_ms(5000 + 17 * outage);
		EXPECT_EQ(last, current_us);
		store.failing = FP_OK;
		run_ms(2000);
		EXPECT_GT(current_us, last);
		run_ms(1500);
	}
}

/* An unreadable record may be one that withdraws a key. */
TEST_F(Directory, AnUnreadableRecordProvesNothing)
{
	store.write("op/config", config(5));
	start();
	store.write("op/config", "?");
	run_ms(1100);
	int64_t last = current_us;
	run_ms(3000);
	EXPECT_EQ(last, current_us);
}

TEST_F(Directory, TheOwnRecordStandsUnderALease)
{
	start();
	ASSERT_EQ(1u, store.items.count("fulmar/nodes/n1"));
	EXPECT_NE(0u, store.items["fulmar/nodes/n1"].lease);
	EXPECT_NE(std::string::npos, store.items["fulmar/nodes/n1"].value.find(
					     "\"serving\":false"));
	fp_directory_set_worker(d, 8, 0, true);
	run_ms(10);
	EXPECT_NE(std::string::npos, store.items["fulmar/nodes/n1"].value.find(
					     "\"serving\":true"));
	fp_directory_leave(d);
	run_ms(10);
	EXPECT_EQ(0u, store.items.count("fulmar/nodes/n1"));
}

/* Changes that come during a write are written as well. */
/* 6 s of lease and 2.5 s in which a missing record is waited for. */
TEST_F(Directory, TheRightToAPartEndsBeforeTheOthersDropThisNode)
{
	fp_manual_clock_advance(&clock, 60000000);
	start_with_n2(3000);
	ASSERT_GT(right.until_us, clock.now_us + 6000000);
	EXPECT_LT(right.from_us, clock.now_us);
	run_ms(10000);
	int64_t last_us = clock.now_us;
	store.failing = FP_UNAVAILABLE;
	run_ms(10000);
	EXPECT_LT(right.until_us, last_us + 8500000);
	EXPECT_GT(right.until_us, last_us + 6000000);
	/* Back after its time: it is new to the others. */
	store.end_lease(store.items["fulmar/nodes/n1"].lease);
	store.failing = FP_OK;
	run_ms(2000);
	EXPECT_GT(right.until_us, clock.now_us);
	EXPECT_GT(right.from_us, clock.now_us);
	fp_directory_leave(d);
	EXPECT_EQ(0, right.until_us);
}

TEST_F(Directory, AProcessThatStartsInTimeHasTheRightOfTheOneBefore)
{
	std::string before = other("n1", 9, true);

	fp_manual_clock_advance(&clock, 60000000);
	before.insert(1, "\"known_ms\":5000,");
	store.write("fulmar/nodes/n1", before);
	start_with_n2(100);
	EXPECT_GT(right.until_us, clock.now_us);
	EXPECT_LE(right.from_us, clock.now_us);
}

TEST_F(Directory, AFleetThatStartsSharesAfterASecond)
{
	std::string n2 = other("n2", 2, true);

	fp_manual_clock_advance(&clock, 60000000);
	n2.insert(1,
		  "\"known_ms\":" + std::to_string(clock.now_us / 1000) + ",");
	store.write("op/config", config(5));
	store.write("fulmar/nodes/n2", n2);
	start();
	run_ms(800);
	EXPECT_GT(right.from_us, clock.now_us);
	run_ms(2000);
	EXPECT_LE(right.from_us, clock.now_us);
	EXPECT_GT(right.until_us, clock.now_us);
}

TEST_F(Directory, TheLastOfManyChangesIsWritten)
{
	start();
	for (int i = 0; i < 5; i++) {
		fp_directory_set_worker(d, 10 + i, 0, i % 2 == 0);
		fp_loop_round(loop, 0);
	}
	run_ms(50);
	EXPECT_NE(std::string::npos,
		  store.items["fulmar/nodes/n1"].value.find("\"slots\":14"));
}

/* The letter gives two seconds from the store's return. */
TEST_F(Directory, ALapsedRecordIsBackWithinTwoSecondsOfTheReturn)
{
	for (int down_ms = 1000; down_ms <= 9000; down_ms += 1000) {
		if (!d)
			start();
		store.failing = FP_UNAVAILABLE;
		store.cut_watches();
		run_ms(down_ms);
		store.end_lease(store.items["fulmar/nodes/n1"].lease);
		store.failing = FP_OK;
		run_ms(2000);
		EXPECT_EQ(1u, store.items.count("fulmar/nodes/n1"))
			<< "after " << down_ms << " ms";
	}
}

TEST_F(Directory, AMemberThatLapsesAndReturnsIsKept)
{
	start_with_n2(300);
	ASSERT_EQ(1u, names.count("n2"));
	store.remove("fulmar/nodes/n2");
	run_ms(2000);
	EXPECT_EQ(1u, names.count("n2"));
	store.write("fulmar/nodes/n2", other("n2", 2, true));
	run_ms(4000);
	EXPECT_EQ(1u, names.count("n2"));
}

TEST_F(Directory, AMemberThatStaysAwayIsGone)
{
	start_with_n2(300);
	store.remove("fulmar/nodes/n2");
	run_ms(4000);
	EXPECT_EQ(0u, names.count("n2"));
	EXPECT_EQ(1u, names.count("n1"));
}

TEST_F(Directory, NobodyIsGoneWhileTheStoreCannotBeAsked)
{
	start_with_n2(300);
	store.remove("fulmar/nodes/n2");
	run_ms(500);
	store.failing = FP_TIMEOUT;
	store.cut_watches();
	run_ms(20000);
	EXPECT_EQ(1u, names.count("n2"));
}

/*
 * The store answers once, so that a member is seen to be missing, and is silent
 * from then on: calls that wait do not fail for long.
 */
TEST_F(Directory, NobodyIsGoneWhileTheStoreIsSilent)
{
	start_with_n2(600);
	store.remove("fulmar/nodes/n2");
	run_ms(450);
	store.silent = true;
	run_ms(15000);
	EXPECT_EQ(1u, names.count("n2"));
	store.silent = false;
	store.answer_held();
	run_ms(1000);
	store.write("fulmar/nodes/n2", other("n2", 2, true));
	run_ms(4000);
	EXPECT_EQ(1u, names.count("n2"));
}

/*
 * The store goes away a second time before a listing shows that a lapsed member
 * is back: its two seconds count from the second return.
 */
TEST_F(Directory, AMembersTimeCountsFromTheLastReturnOfTheStore)
{
	start_with_n2(600);
	store.remove("fulmar/nodes/n2");
	run_ms(450);
	store.failing = FP_TIMEOUT;
	store.cut_watches();
	run_ms(4000);
	store.failing = FP_OK;
	for (int ms = 0; ms < 2000; ms++) {
		run_ms(1);
		ASSERT_EQ(1u, names.count("n2"))
			<< ms << " ms after the return";
	}
	run_ms(3000);
	EXPECT_EQ(0u, names.count("n2"));
}

/* A lapsed record is written again; the watch that would tell it hangs. */
TEST_F(Directory, ARecordThatIsBackIsSeenThoughWatchesHang)
{
	start_with_n2(1500);
	store.remove("fulmar/nodes/n2");
	run_ms(50);
	store.hang_watches = true;
	run_ms(1000);
	store.write("fulmar/nodes/n2", other("n2", 2, true));
	run_ms(10000);
	EXPECT_EQ(1u, names.count("n2"));
}

/* Each machine that restarts is missing to all others for a while. */
TEST_F(Directory, AMissingMemberCostsFewCalls)
{
	start_with_n2(1000);
	int before = store.calls["list"] + store.calls["watch"];
	store.remove("fulmar/nodes/n2");
	run_ms(5000);
	EXPECT_EQ(0u, names.count("n2"));
	EXPECT_LE(store.calls["list"] + store.calls["watch"] - before, 3);
}

TEST_F(Directory, ALostHistoryIsReadAnew)
{
	start();
	run_ms(300);
	store.items["fulmar/nodes/n2"] = { other("n2", 2, true),
					   ++store.revision, 0 };
	store.compacted = store.revision + 1;
	store.cut_watches();
	run_ms(1000);
	EXPECT_EQ(1u, names.count("n2"));
}

TEST_F(Directory, RecordsOfOtherWritersAreLeftOut)
{
	store.write("fulmar/nodes/n2", "{");
	store.write("fulmar/nodes/n3", other("n4", 3, true));
	store.write("fulmar/nodes/n5", "{\"id\":\"5\"}");
	store.write("fulmar/nodes/n6", std::string(5000, 'x'));
	store.write("fulmar/nodes/n7", other("n7", 7, true));
	start();
	run_ms(300);
	EXPECT_EQ(2u, names.size());
	EXPECT_EQ(1u, names.count("n7"));
}

/* Half a store call a second and node in an outage is what the page allows. */
TEST_F(Directory, AnOutageIsNotAnsweredByAStorm)
{
	store.write("op/config", config(5));
	start();
	run_ms(300);
	store.failing = FP_TIMEOUT;
	store.cut_watches();
	int before = total();
	run_ms(10000);
	EXPECT_LE(total() - before, 60);
}

} // namespace
