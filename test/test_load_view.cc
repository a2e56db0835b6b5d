/* test_load_view.cc - newest load of the services that a node calls */
#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include "state/load_view.h"

namespace
{

struct LoadView : testing::Test {
	struct fp_load_view *v = fp_load_view_init();

	~LoadView() override
	{
		fp_load_view_end(v);
	}
	void update(const char *service, uint16_t used, uint16_t age_ms,
		    int64_t now_us)
	{
		struct fp_service_load l = { "", 1, { 10 }, used, age_ms };

		strcpy(l.service, service);
		fp_load_view_update(v, &l, now_us);
	}
	struct fp_service_load read(const char *service, int64_t now_us)
	{
		struct fp_service_load l = { "", 3, {}, 0, 0 };

		strcpy(l.service, service);
		fp_load_view_read(v, &l, now_us);
		return l;
	}
};

TEST_F(LoadView, AgeGoesOnAndCallsStay)
{
	update("deep", 400, 20, 1000000);
	struct fp_service_load l = read("deep", 1100000);

	EXPECT_EQ(400, l.used_permille);
	EXPECT_EQ(10, l.refused_permille[0]);
	EXPECT_EQ(120, l.age_ms);
	EXPECT_EQ(3, l.calls);
	EXPECT_EQ(FP_LOAD_AGE_UNKNOWN, read("other", 1100000).age_ms);
	EXPECT_EQ(FP_LOAD_AGE_UNKNOWN, read("deep", 100000000).age_ms);
}

TEST_F(LoadView, AnOlderLoadDoesNotReplaceANewerOne)
{
	update("deep", 400, 0, 1000000);
	update("deep", 900, 200, 1100000);
	EXPECT_EQ(400, read("deep", 1100000).used_permille);
	update("deep", 900, FP_LOAD_AGE_UNKNOWN, 1200000);
	EXPECT_EQ(400, read("deep", 1200000).used_permille);
}

TEST_F(LoadView, ManyRepliesAreAveragedAndOneAfterAPauseReplaces)
{
	int64_t now_us = 1000000;

	for (int i = 0; i < 200; i++)
		update("deep", i % 2 ? 300 : 900, 0, now_us += 2000);
	EXPECT_NEAR(600, read("deep", now_us).used_permille, 60);
	update("deep", 100, 0, now_us += 500000);
	EXPECT_NEAR(100, read("deep", now_us).used_permille, 5);
}

TEST_F(LoadView, MemoryIsBounded)
{
	for (int i = 0; i < 3000; i++)
		update(("s" + std::to_string(i)).c_str(), 500, 0, 1000 + i);
	EXPECT_EQ(500, read("s2999", 4000).used_permille);
	EXPECT_EQ(FP_LOAD_AGE_UNKNOWN, read("s0", 4000).age_ms);
}

} // namespace
