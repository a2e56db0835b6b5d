/* test_e2e_restore.cc - hosted nodes while the store comes back from a copy */
#include "e2e_hosted.h"

namespace
{

using hosted::Hosted;
using hosted::Machine;

class Restore : public Hosted
{
      protected:
	void TearDown() override
	{
		platform_copy_end(copy);
		Hosted::TearDown();
	}

	/* The store goes away for a moment and comes back from the copy, with
	 * this version of the configuration written again; 0: none yet. */
	void restore(int version, const std::string &keys)
	{
		std::string text = config(version, keys);

		platform_store_set_fault(store, PLATFORM_NO_ANSWER);
		usleep(1500000);
		platform_store_restore(store, copy,
				       version ? "op/config" : nullptr,
				       text.c_str());
	}

	/* Whether each machine answers a request with the key so, within the
	 * time in which a configuration has to be in force. */
	bool all_answer(long status, const std::string &key, int ms = 5000)
	{
		return wait(
			[&] {
				for (auto &m : machines)
					if (call(*m, "/front/x", key).status !=
					    status)
						return false;
				return true;
			},
			ms);
	}

	struct platform_copy *copy = nullptr;
};

/* Guards against a key that stays in use because the record that takes it away
 * has the revision of one that the store lost. */
TEST_F(Restore, AKeyThatIsTakenAwayAsTheStoreReturnsIsRefused)
{
	serve();
	sleep(2); /* no writes of the starting nodes */
	copy = platform_store_copy(store);
	write_config(2, "\"k1\",\"k2\"");
	ASSERT_TRUE(all_answer(200, "k2"));
	restore(3, "\"k2\"");
	EXPECT_TRUE(all_answer(401, "k1"));
	EXPECT_TRUE(all_answer(200, "k2"));
}

/* The same for a version that was in force, was lost, and whose revision the next
 * one got: its new key is accepted, the old one is refused. */
TEST_F(Restore, TheVersionAfterALostOneIsApplied)
{
	serve();
	sleep(2);
	copy = platform_store_copy(store);
	write_config(2, "\"k2\"");
	ASSERT_TRUE(all_answer(401, "k1"));
	restore(3, "\"k3\"");
	EXPECT_TRUE(all_answer(200, "k3"));
	EXPECT_TRUE(all_answer(401, "k2"));
}

/* Guards against workers that get no requests because the store lost what their
 * nodes have written of them. They joined after the copy, at nodes that ran
 * before. */
TEST_F(Restore, AWorkerThatJoinedBeforeTheRestoreIsServed)
{
	Machine &front = add("front");
	Machine &deep = add("deep");

	write_config(1);
	announce_stopped[deep.id] = true;
	start_announcing();
	ASSERT_TRUE(wait([&] {
		return ready(front) == 200 && ready(deep) == 200 &&
		       call(front, "/front/x").status == 200;
	}));
	sleep(2);
	copy = platform_store_copy(store);
	announce_stopped[deep.id] = false;
	ASSERT_TRUE(wait([&] { return call(front, "/deep/x").status == 200; }));
	sleep(1);
	restore(1, "\"k1\"");
	sleep(3);
	int served = 0;
	for (int i = 0; i < 20; i++) {
		served += call(front, "/deep/x").status == 200;
		usleep(100000);
	}
	EXPECT_EQ(20, served);
	EXPECT_GT(count(deep, "event=store_restored"), 0);
}

/* Guards against a record of before that counts as the newest: it may hold a key
 * that was taken away since. Until the operator has written again, the version
 * in force stays, and from the bound on no key is accepted. */
TEST_F(Restore, AnOlderRecordConfirmsNoKey)
{
	serve();
	sleep(2);
	copy = platform_store_copy(store);
	write_config(2, "\"k2\"");
	ASSERT_TRUE(all_answer(401, "k1"));
	restore(0, "");
	EXPECT_TRUE(all_answer(503, "k2"));
	EXPECT_TRUE(all_answer(503, "k1"));
	write_config(2, "\"k2\"");
	EXPECT_TRUE(all_answer(200, "k2"));
	EXPECT_TRUE(all_answer(401, "k1"));
}

} // namespace
