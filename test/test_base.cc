/* test_base.cc - status, texts, clock, log levels and counters */
#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <string>

#include "base/clock.h"
#include "base/counters.h"
#include "base/log.h"
#include "base/status.h"
#include "base/text.h"

TEST(Status, KeepsLastMessage)
{
	EXPECT_EQ(FP_DENIED, fp_fail(FP_DENIED, "no %s", "key"));
	EXPECT_STREQ("no key", fp_last_message());
	EXPECT_STREQ("denied", fp_status_name(FP_DENIED));
	EXPECT_STREQ("unknown", fp_status_name((enum fp_status)99));
}

TEST(Text, IsCopiedWholeOrNotAtAll)
{
	char to[4] = "old";

	EXPECT_TRUE(fp_text_copy(to, sizeof(to), "abc"));
	EXPECT_STREQ("abc", to);
	EXPECT_FALSE(fp_text_copy(to, sizeof(to), "abcd"));
	EXPECT_STREQ("", to);
	EXPECT_TRUE(fp_text_copy(to, sizeof(to), ""));
	EXPECT_STREQ("", to);
	EXPECT_FALSE(fp_text_copy(to, 1, "a"));
}

TEST(Clock, ManualAdvancesOnlyExplicitly)
{
	struct fp_manual_clock m;

	fp_manual_clock_init(&m, 5);
	EXPECT_EQ(5, fp_mono_us(&m.clock));
	fp_manual_clock_advance(&m, 7);
	EXPECT_EQ(12, fp_mono_us(&m.clock));
}

TEST(Counters, SameSeriesIsSharedAndRendered)
{
	struct fp_counters *cs = fp_counters_init();
	struct fp_counter *c = fp_counter_get(cs, "calls_total", "a=\"b\"");
	size_t len;
	char *text;

	fp_counter_add(c, 3);
	EXPECT_EQ(c, fp_counter_get(cs, "calls_total", "a=\"b\""));
	text = fp_counters_render(cs, &len);
	EXPECT_NE(nullptr, strstr(text, "calls_total{a=\"b\"} 3\n"));
	free(text);
	fp_counters_end(cs);
}

TEST(Counters, QuantileErrorIsBounded)
{
	struct fp_counters *cs = fp_counters_init();
	struct fp_histogram *h = fp_histogram_get(cs, "t_us", "");
	int64_t v;

	for (v = 1; v <= 100000; v++)
		fp_histogram_add(h, v);
	EXPECT_NEAR(50000, (double)fp_histogram_quantile_us(h, 0.5),
		    50000 / 16);
	EXPECT_NEAR(99000, (double)fp_histogram_quantile_us(h, 0.99),
		    99000 / 16);
	fp_counters_end(cs);
}

TEST(Log, ParsesLevels)
{
	EXPECT_EQ(FP_LOG_WARN, fp_log_parse_level("warn"));
	EXPECT_EQ(-1, fp_log_parse_level("loud"));
}
