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
	/* Starts rota and order alternately, then reorders the VMs: 0 and 1 run
	 * rota, 2 and 3 order. Waits until every node serves both. */
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

	/* Sends a non-idempotent order with this Idempotency-Key. */
	Answer order(int vm, const std::string &id,
		     const std::string &query = "")
	{
		return call(vm, "POST", "/order/lilies" + query, keys["parish"],
			    "lilies for " + id, { "Idempotency-Key: " + id });
	}

	/* Waits until an order through the VM's node succeeds; each attempt has
	 * its own Idempotency-Key. */
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

	/* Runs a function in a thread, which the destructor joins. */
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
