/* test_e2e_slices.cc - end to end: no slice is lost by a stop or a kill */
#include "e2e_fleet.h"

class Slices : public E2eFleet
{
      protected:
	/* A running node that owns slices. */
	int owner()
	{
		for (int v = 0; v < f->n_vms; v++)
			if (fleet_process_is_running(&f->vms[v]->node) &&
			    metric(v, "fulmar_slices_primary") > 0)
				return v;
		return -1;
	}
};

TEST_F(Slices, StopAndKillKeepAllSlicesOwned)
{
	start({ "rota", "stock", "notice", "order" });
	int64_t ms = wait_paired(15000);

	ASSERT_GE(ms, 0);
	printf("paired after %ld ms:", ms);
	for (int v = 0; v < f->n_vms; v++)
		printf(" %ld/%ld", metric(v, "fulmar_slices_primary"),
		       metric(v, "fulmar_slices_backup"));
	printf("\n");

	int v = owner();
	ASSERT_GE(v, 0);
	int64_t owned = metric(v, "fulmar_slices_primary");
	fleet_process_signal(&f->vms[v]->node, SIGTERM);
	EXPECT_TRUE(fleet_process_wait(&f->vms[v]->node, 5000));
	EXPECT_EQ(0, fleet_process_exit_code(&f->vms[v]->node));
	ms = wait_paired(15000);
	EXPECT_GE(ms, 0);
	printf("stop of an owner of %ld: paired again after %ld ms\n", owned,
	       ms);
	EXPECT_EQ(0, sum("fulmar_slice_state_lost_total"));

	v = owner();
	ASSERT_GE(v, 0);
	owned = metric(v, "fulmar_slices_primary");
	fleet_process_kill(&f->vms[v]->node);
	ms = wait_paired(20000);
	EXPECT_GE(ms, 0);
	printf("kill of an owner of %ld: paired again after %ld ms\n", owned,
	       ms);
	EXPECT_EQ(0, sum("fulmar_slice_state_lost_total"));
	EXPECT_EQ(0, sum("fulmar_bad_messages_total"));
}
