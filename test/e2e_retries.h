/* e2e_retries.h - fixture: retried root requests through three services */
#ifndef TEST_E2E_RETRIES_H
#define TEST_E2E_RETRIES_H

#include "e2e_faults.h"

class Retries : public Faults
{
      protected:
	/* Sends 200 root requests through VM 3, each up to four times until
	 * it succeeds. Each service of the chain may run at most 1.2
	 * executions per root request. With with_id, the attempts of a root
	 * share an Idempotency-Key. */
	void run(const std::string &query, bool with_id, const char *label)
	{
		const int roots = 200;
		std::vector<std::thread> callers;
		std::atomic<int> next{ 0 }, sends{ 0 };
		std::map<std::string, int> seen;
		std::mutex lock;
		int before[3];

		start_serving({ "rota", "stock", "notice", "order" });
		for (int v = 0; v < 3; v++)
			before[v] = (int)starts(v).size();
		auto root = [&](int n) {
			std::string id = "r" + std::to_string(n);

			for (int k = 0; k < 4; k++) {
				Exchange s =
					send(3, "GET",
					     "/rota/week?tag=" + id + query,
					     keys["parish"], with_id ? id : "");
				std::lock_guard<std::mutex> held(lock);

				sends++;
				seen[std::to_string(s.status) + " " +
				     s.reason]++;
				if (s.status == 200)
					return;
			}
		};
		for (int i = 0; i < 4; i++)
			callers.emplace_back([&] {
				for (int n; (n = next++) < roots;)
					root(n);
			});
		for (auto &t : callers)
			t.join();
		printf("%s: %d roots, %d sends;", label, roots, sends.load());
		for (const auto &[answer, times] : seen)
			printf(" %s: %d", answer.c_str(), times);
		printf("; executions a root:");
		for (int v = 0; v < 3; v++) {
			int ran = (int)starts(v).size() - before[v];

			printf(" %.3f", (double)ran / roots);
			EXPECT_LE(ran, roots * 6 / 5) << f->vms[v]->name;
		}
		printf("\n");
	}
};

#endif
