/* test_e2e_links.cc - calls to a node to which no link can be established */
#include "e2e_hosted.h"

namespace
{

using hosted::Hosted;
using hosted::Machine;

/*
 * Guards against calls whose outcome is called unknown although nothing was
 * sent, and that are sent after their caller's deadline: the link that they
 * wait for comes up when the node at its other end goes on.
 */
TEST_F(Hosted, ACallThatWaitsForALinkHasNotRunAndDoesNotRunLater)
{
	const int n = 6;
	std::vector<std::unique_ptr<std::thread>> callers;
	std::vector<long> status(n);

	serve();
	Machine &deep = *machines[1];
	fleet_process_signal(deep.node, SIGSTOP);
	Machine &entry = add("front"); /* without a link to the other nodes */
	ASSERT_TRUE(wait([&] {
		return log_has(entry, "event=member_seen") &&
		       log_has(entry, "event=config_received");
	}));
	int runs = platform_server_run_count(deep.server);
	for (int i = 0; i < n; i++) {
		callers.push_back(std::make_unique<std::thread>([&, i] {
			status[i] = call(entry, "/inner/x", "",
					 { "Fulmarpass-Deadline-Ms: 300" })
					    .status;
		}));
		usleep(50000);
	}
	for (auto &c : callers)
		c->join();
	fleet_process_signal(deep.node, SIGCONT);
	for (int i = 0; i < n; i++)
		EXPECT_EQ(503, status[i]) << i;
	EXPECT_GT(count(entry, "reason=deadline"), 0);
	ASSERT_TRUE(wait(
		[&] { return call(entry, "/inner/y", "").status == 200; }));
	EXPECT_EQ(runs + 1, platform_server_run_count(deep.server));
}

} // namespace
