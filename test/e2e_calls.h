/* e2e_calls.h - end-to-end fixture with two services of two VMs each */
#ifndef TEST_E2E_CALLS_H
#define TEST_E2E_CALLS_H

#include <atomic>
#include <csignal>
#include <memory>
#include <thread>

#include "e2e_fleet.h"

class Calls : public E2eFleet
{
      protected:
	/* VMs 0 and 1 run rota, VMs 2 and 3 order. */
	void SetUp() override
	{
		start({ "rota", "order", "rota", "order" });
		std::swap(f->vms[1], f->vms[2]);
		declare();
		make_key("parish");
		for (int v = 0; v < f->n_vms; v++) {
			wait_serving(v, "/rota/week", keys["parish"]);
			wait_order(v, "warm-" + std::to_string(v));
		}
	}

	Answer order(int vm, const std::string &id,
		     const std::string &query = "")
	{
		return call(vm, "POST", "/order/lilies" + query, keys["parish"],
			    "lilies for " + id, { "Idempotency-Key: " + id });
	}

	void wait_order(int vm, const std::string &id)
	{
		Answer a;
		int n = 0;

		ASSERT_TRUE(wait_until(
			[&] {
				a = order(vm, id + "-" + std::to_string(n++));
				return a.status == 200;
			},
			10000))
			<< a.status << " " << a.reason;
	}

	/* Runs fn in a thread, which is joined at the end of the scope. */
	struct Background {
		std::thread t;
		template <typename F> explicit Background(F fn) : t(fn)
		{
		}
		~Background()
		{
			if (t.joinable())
				t.join();
		}
	};
};

#endif
