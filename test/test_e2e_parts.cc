/*
 * test_e2e_parts.cc - end to end: bodies between nodes whose way is cut short
 *
 * The exit node is paused while a body is on its way, so it has part of it at
 * most. Each body is smaller than the queue of a link.
 */
#include "e2e_hosted.h"

namespace hosted
{

const size_t BODY_BYTES = 6 << 20;

class Parts : public Hosted
{
      protected:
	void SetUp() override
	{
		Hosted::SetUp();
		rate = ""; /* the paused node may own the bucket */
	}

	Result upload(Machine &m)
	{
		std::string url = m.outbound + "/order/x";
		std::string body(BODY_BYTES, 'u');
		const char *headers[] = { "Host: h.example",
					  "Fulmarpass-Deadline-Ms: 3000",
					  "Fulmarpass-Request-Id: u",
					  "Fulmarpass-Key: k1", nullptr };
		struct http_request req = {};
		struct http_answer a;
		char text[256];
		Result r;

		req.method = "POST";
		req.url = url.c_str();
		req.headers = headers;
		req.body = body.data();
		req.body_bytes = body.size();
		r.status = http_call(&req, &a);
		if (http_answer_header(&a, "Fulmar-Outcome", text,
				       sizeof(text)))
			r.outcome = text;
		http_answer_end(&a);
		return r;
	}

	/* A value of a node's metrics; -1 if there is none. */
	static long metric(Machine &m, const std::string &name)
	{
		std::string url = "http://" + m.ip + ":8005/metrics";
		struct http_request req = {};
		struct http_answer a;

		req.url = url.c_str();
		http_call(&req, &a);
		std::string text = std::string("\n") + (a.body ? a.body : "");
		http_answer_end(&a);
		size_t at = text.find("\n" + name + " ");
		return at == std::string::npos ?
			       -1 :
			       atol(text.c_str() + at + name.size() + 2);
	}

	int runs(size_t i)
	{
		return platform_server_run_count(machines[i]->server);
	}
};

TEST_F(Parts, ABodyThatIsNotWholeAtTheDeadlineIsNotRun)
{
	serve();
	int before = runs(1);

	kill(machines[1]->node->pid, SIGSTOP);
	Result r = upload(*machines[0]);
	EXPECT_GE(r.status, 500);
	EXPECT_EQ("not-run", r.outcome);
	kill(machines[1]->node->pid, SIGCONT);
	/* The exit node frees what it has, and the next body runs once. */
	EXPECT_TRUE(wait([&] {
		return metric(*machines[1], "fulmar_held_bytes") == 0;
	}));
	EXPECT_EQ(before, runs(1));
	EXPECT_TRUE(wait([&] { return upload(*machines[0]).status == 200; }));
	EXPECT_EQ(before + 1, runs(1));
}

TEST_F(Parts, ABodyWhoseExitNodeIsKilledRunsElsewhereOnce)
{
	serve();
	add("deep");
	ASSERT_TRUE(wait([&] {
		call(*machines[0], "/deep/x");
		return runs(2) > 0;
	}));
	int before = runs(1) + runs(2);
	std::vector<std::thread> callers;
	std::atomic<int> n_ran{ 0 }, n_false{ 0 };

	kill(machines[1]->node->pid, SIGSTOP);
	for (int i = 0; i < 4; i++)
		callers.emplace_back([&] {
			Result r = upload(*machines[0]);

			n_ran += r.status == 200;
			n_false += r.status != 200 && r.outcome != "not-run";
		});
	usleep(500000);
	kill(machines[1]->node->pid, SIGKILL);
	for (auto &c : callers)
		c.join();
	EXPECT_EQ(4, n_ran);
	EXPECT_EQ(0, n_false);
	EXPECT_EQ(before + 4, runs(1) + runs(2));
}

TEST_F(Parts, AnEntryNodeThatIsKilledLeavesNothingBehind)
{
	serve();
	int before = runs(1);

	kill(machines[1]->node->pid, SIGSTOP);
	std::thread caller([&] { upload(*machines[0]); });
	usleep(500000);
	kill(machines[0]->node->pid, SIGKILL);
	caller.join();
	kill(machines[1]->node->pid, SIGCONT);
	sleep(1);
	EXPECT_EQ(0, metric(*machines[1], "fulmar_held_bytes"));
	EXPECT_EQ(before, runs(1));
	EXPECT_EQ(200, call(*machines[1], "/deep/x").status);
}

} // namespace hosted
