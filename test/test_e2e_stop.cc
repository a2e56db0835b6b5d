/* test_e2e_stop.cc - end to end: a planned stop under load */
#include "e2e_calls.h"

class Stop : public Calls
{
      protected:
	void stop_under_load();
};

/* Stops the node of VM 0 while callers send requests within the rate through
 * VMs 2 and 3; none of the requests may fail. */
void Stop::stop_under_load()
{
	std::atomic<bool> stop{ false };
	std::atomic<int> sent{ 0 }, bad{ 0 };
	std::string first_bad;

	{
		std::vector<std::unique_ptr<Background>> callers;

		for (int i = 0; i < 4; i++)
			callers.push_back(std::make_unique<Background>([&, i] {
				while (!stop) {
					Answer a = call(2 + i % 2, "GET",
							"/rota/week?ms=30",
							keys["parish"]);
					sent++;
					if (a.status != 200 && bad++ == 0)
						first_bad = a.reason + a.error;
				}
			}));
		ASSERT_TRUE(wait_until([&] { return sent > 20; }, 5000));
		fleet_process_signal(&f->vms[0]->node, SIGTERM);
		EXPECT_TRUE(fleet_process_wait(&f->vms[0]->node, 15000));
		int at = sent;
		EXPECT_TRUE(wait_until([&] { return sent > at + 20; }, 5000));
		stop = true;
	}
	EXPECT_EQ(0, bad) << first_bad << " of " << sent;
	EXPECT_TRUE(WIFEXITED(f->vms[0]->node.exit_status) &&
		    WEXITSTATUS(f->vms[0]->node.exit_status) == 0);
}

TEST_F(Stop, PlannedStopFailsNoRequest)
{
	stop_under_load();
}

/* Waits until all slices have backups: to hand over a slice without a ready
 * backup, the node needs the store. See docs/DESIGN-slices.md. */
TEST_F(Stop, PlannedStopWhileTheStoreIsDownFailsNoRequest)
{
	ASSERT_GE(wait_paired(15000), 0);
	fleet_process_signal(&f->store, SIGSTOP);
	stop_under_load();
	fleet_process_signal(&f->store, SIGCONT);
}
