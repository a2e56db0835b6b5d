/* test_loop.cc - work that the loop runs when nothing else is on the stack */
#include <gtest/gtest.h>

#include <string>

#include "transport/loop.h"

namespace
{

class Loop : public testing::Test
{
      protected:
	struct Work {
		Loop *test;
		char name;
		Work *then; /* deferred by this one, or nullptr */
		struct fp_deferred deferred;
	};

	void SetUp() override
	{
		fp_manual_clock_init(&clock, FP_US_PER_S);
		ASSERT_EQ(FP_OK, fp_loop_init(&clock.clock, &loop));
	}
	void TearDown() override
	{
		fp_loop_end(loop);
	}
	static void run(void *ctx)
	{
		auto *w = static_cast<Work *>(ctx);

		w->test->ran += w->name;
		if (w->then)
			w->test->defer(w->then);
	}
	static void on_iteration_end(void *ctx)
	{
		auto *t = static_cast<Loop *>(ctx);

		if (t->ran.empty())
			t->defer(&t->a);
	}
	void defer(Work *w)
	{
		fp_loop_defer(loop, &w->deferred, run, w);
	}

	struct fp_manual_clock clock;
	struct fp_loop *loop = nullptr;
	std::string ran;
	Work c = { this, 'c', nullptr, {} };
	Work b = { this, 'b', nullptr, {} };
	Work a = { this, 'a', nullptr, {} };
};

TEST_F(Loop, DeferredWorkRunsOnceInOrderAndWhatItDefersToo)
{
	a.then = &c;
	defer(&a);
	defer(&b);
	defer(&a);
	EXPECT_EQ("", ran);
	fp_loop_run_once(loop, 0);
	EXPECT_EQ("abc", ran);
	fp_loop_run_once(loop, 0);
	EXPECT_EQ("abc", ran);
	defer(&a);
	fp_loop_run_once(loop, 0);
	EXPECT_EQ("abcac", ran);
}

TEST_F(Loop, CancelledWorkDoesNotRun)
{
	defer(&a);
	defer(&b);
	defer(&c);
	fp_loop_cancel_deferred(loop, &c.deferred);
	fp_loop_cancel_deferred(loop, &a.deferred);
	fp_loop_cancel_deferred(loop, &a.deferred);
	fp_loop_run_once(loop, 0);
	EXPECT_EQ("b", ran);
	defer(&c);
	defer(&a);
	fp_loop_run_once(loop, 0);
	EXPECT_EQ("bca", ran);
}

TEST_F(Loop, WorkIsDeferredBehindTimersOfTheSameIteration)
{
	struct fp_timer timer = {};

	defer(&b);
	fp_timer_set(loop, &timer, fp_loop_now_us(loop), run, &a);
	fp_loop_run_once(loop, 0);
	EXPECT_EQ("ab", ran);
}

TEST_F(Loop, WorkThatAHookDefersIsNotWaitedFor)
{
	fp_loop_after_iteration(loop, on_iteration_end, this);
	fp_loop_run_once(loop, 0);
	EXPECT_EQ("", ran);
	/* The manual clock stands still, so a wait would not end in time. */
	fp_loop_run_once(loop, 3600 * FP_US_PER_S);
	EXPECT_EQ("a", ran);
}

} // namespace
