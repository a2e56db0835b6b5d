/* test_bench.cc - statistics of the callers' records, on fixed inputs */
#include <gtest/gtest.h>

#include <cstdio>
#include <string>
#include <vector>

extern "C" {
#include "bench/calc.h"
#include "bench/deployment.h"
}

static const int64_t S = 1000000;

class Samples : public ::testing::Test
{
      protected:
	struct samples s = {};

	void add(int64_t at_us, int64_t latency_us, bool complete,
		 const char *org = "a", const char *class_name = "normal")
	{
		struct sample one = {};

		one.arrival_us = at_us;
		one.latency_us = latency_us;
		one.complete = complete;
		snprintf(one.org, sizeof(one.org), "%s", org);
		snprintf(one.class_name, sizeof(one.class_name), "%s",
			 class_name);
		samples_add(&s, &one);
	}

	/* One request every 10 ms; each bad_every-th one fails, none if 0. */
	void add_span(int64_t from_us, int64_t to_us, int64_t latency_us,
		      int bad_every = 0)
	{
		int n = 0;

		for (int64_t at = from_us; at < to_us; at += 10000)
			add(at, latency_us, !bad_every || ++n % bad_every);
	}

	void TearDown() override
	{
		samples_end(&s);
	}
};

TEST(Csv, ParsesAllFields)
{
	struct sample one;

	ASSERT_TRUE(sample_parse("1234,mbulu-parish,important,/orders/bloom,3,"
				 "503,not-run,overloaded,987654,0\n",
				 &one));
	EXPECT_EQ(1234, one.arrival_us);
	EXPECT_STREQ("mbulu-parish", one.org);
	EXPECT_STREQ("important", one.class_name);
	EXPECT_STREQ("/orders/bloom", one.route);
	EXPECT_EQ(3u, one.attempts);
	EXPECT_STREQ("not-run", one.outcome);
	EXPECT_STREQ("overloaded", one.reason);
	EXPECT_EQ(987654, one.latency_us);
	EXPECT_FALSE(one.complete);
	ASSERT_TRUE(sample_parse("0,,,/notice,1,200,ran,,77,1\n", &one));
	EXPECT_STREQ("", one.org);
	EXPECT_TRUE(one.complete);
}

TEST(Csv, RejectsMalformedLines)
{
	struct sample one;

	EXPECT_FALSE(sample_parse("", &one));
	EXPECT_FALSE(sample_parse("t_start_us,org,class,route,attempts,status,"
				  "outcome,reason,latency_us,whole\n",
				  &one));
	EXPECT_FALSE(sample_parse("1,a,b,/c,1,200,ran,,77\n", &one));
	EXPECT_FALSE(sample_parse("1,a,b,/c,1,200,ran,,77,1,9\n", &one));
	EXPECT_FALSE(sample_parse("1,a,b,/c,1,200,ran,,x,1\n", &one));
	EXPECT_FALSE(sample_parse(std::string(5000, 'x').c_str(), &one));
}

TEST_F(Samples, CountsByArrivalOrganisationAndClass)
{
	add(0, 10, true, "a", "normal");
	add(1 * S, 10, true, "a", "important");
	add(1 * S, 10, false, "b", "important");
	add(2 * S, 10, true, "a", "normal");
	EXPECT_EQ(4, samples_count(&s, 0, 3 * S, nullptr, nullptr).offered);
	EXPECT_EQ(3, samples_count(&s, 0, 3 * S, nullptr, nullptr).good);
	EXPECT_EQ(3, samples_count(&s, 0, 2 * S, nullptr, nullptr).offered);
	EXPECT_EQ(2, samples_count(&s, 0, 3 * S, nullptr, "important").offered);
	EXPECT_EQ(1, samples_count(&s, 0, 3 * S, nullptr, "important").good);
	EXPECT_EQ(0, samples_count(&s, 0, 3 * S, "b", nullptr).good);
	EXPECT_DOUBLE_EQ(1, served_fraction({ 0, 0 }));
	EXPECT_DOUBLE_EQ(0.75, served_fraction({ 4, 3 }));
}

TEST_F(Samples, GoodputCountsCompleteAnswersByTheirTime)
{
	add(0, S / 2, true);
	add(0, 3 * S / 2, true);
	add(1 * S, S / 2, false);
	add(1 * S, S / 2, true);
	add(1 * S, 5 * S, true);
	EXPECT_DOUBLE_EQ(1.5, samples_goodput(&s, 0, 2 * S));
	EXPECT_DOUBLE_EQ(2, samples_goodput(&s, 1 * S, 2 * S));
	EXPECT_DOUBLE_EQ(0, samples_goodput(&s, 2 * S, 2 * S));
}

TEST_F(Samples, QuantilesUseOnlyGoodAnswers)
{
	for (int i = 1; i <= 100; i++)
		add(i, i * 10, true);
	add(5, 1000000, false);
	EXPECT_EQ(510, samples_quantile_us(&s, 0, S, 0.5));
	EXPECT_EQ(1000, samples_quantile_us(&s, 0, S, 0.99));
	EXPECT_EQ(0, samples_quantile_us(&s, S, 2 * S, 0.5));
}

TEST_F(Samples, WorstOrganisationSkipsTheOneOverItsRate)
{
	char name[CALC_NAME_BYTES];

	for (int i = 0; i < 10; i++) {
		add(i, 10, i < 9, "a");
		add(i, 10, i < 8, "b");
		add(i, 10, i < 1, "large");
		add(i, 10, true, "c");
	}
	EXPECT_DOUBLE_EQ(
		0.8, samples_worst_org(&s, 0, S, "large", name, sizeof(name)));
	EXPECT_STREQ("b", name);
	EXPECT_DOUBLE_EQ(
		0.1, samples_worst_org(&s, 0, S, nullptr, name, sizeof(name)));
	EXPECT_STREQ("large", name);
	EXPECT_DOUBLE_EQ(1, samples_worst_org(&s, S, 2 * S, nullptr, name,
					      sizeof(name)));
	EXPECT_STREQ("", name);
}

/* Reference period 0 to 4 s, surge 4 to 7 s, then normal load to 16 s. */
static const struct surge_times SURGE = { 0, 4 * S, 7 * S, 16 * S };

TEST_F(Samples, ImmediateRecoveryIsZero)
{
	add_span(0, 4 * S, 50000);
	add_span(4 * S, 7 * S, 900000, 2);
	add_span(7 * S, 16 * S, 100000);
	EXPECT_EQ(0, samples_recovery_us(&s, &SURGE));
}

TEST_F(Samples, RecoveryIsTheFirstBinAfterWhichAllIsNormal)
{
	add_span(0, 4 * S, 50000);
	add_span(4 * S, 7 * S, 50000, 2);
	add_span(7 * S, 9 * S + S / 2, 50000, 4);
	add_span(9 * S + S / 2, 16 * S, 50000);
	EXPECT_EQ(2 * S + S / 2, samples_recovery_us(&s, &SURGE));
}

TEST_F(Samples, RecoveryRestartsAfterALaterFault)
{
	add_span(0, 4 * S, 50000);
	add_span(4 * S, 12 * S, 50000);
	add_span(12 * S, 12 * S + S / 4, 50000, 2);
	add_span(12 * S + S / 4, 16 * S, 50000);
	EXPECT_EQ(5 * S + S / 4, samples_recovery_us(&s, &SURGE));
}

TEST_F(Samples, RecoveryRequiresNormalLatency)
{
	add_span(0, 4 * S, 50000);
	add_span(7 * S, 10 * S, 100001);
	add_span(10 * S, 16 * S, 100000);
	EXPECT_EQ(3 * S, samples_recovery_us(&s, &SURGE));
}

TEST_F(Samples, NoRecoveryWithinTheRun)
{
	add_span(0, 4 * S, 50000);
	add_span(7 * S, 16 * S, 50000, 20);
	EXPECT_EQ(-1, samples_recovery_us(&s, &SURGE));
}

TEST(Metrics, SumAndMaximumOverLabelSets)
{
	const char *text = "a_total{class=\"x\",reason=\"r\"} 3\n"
			   "a_total{class=\"y\",reason=\"r\"} 4\n"
			   "a_total{class=\"y\",reason=\"q\"} 5\n"
			   "a_total_more 100\n"
			   "b 7\n\nb 9\n";

	EXPECT_EQ(12, metrics_sum(text, "a_total", nullptr));
	EXPECT_EQ(7, metrics_sum(text, "a_total", "reason=\"r\""));
	EXPECT_EQ(5, metrics_max(text, "a_total", nullptr));
	EXPECT_EQ(16, metrics_sum(text, "b", nullptr));
	EXPECT_EQ(9, metrics_max(text, "b", nullptr));
	EXPECT_EQ(0, metrics_sum(text, "c", nullptr));
	EXPECT_EQ(0, metrics_sum(nullptr, "c", nullptr));
}

TEST(Roots, CountsStartsAndDistinctRoots)
{
	struct root_set *set = root_set_init();

	EXPECT_EQ(2,
		  root_set_add_log(
			  set, "{\"event\":\"start\",\"request\":\"aa\"}\n"
			       "{\"event\":\"end\",\"request\":\"zz\"}\n"
			       "{\"event\":\"start\",\"request\":\"bb\"}\n"));
	EXPECT_EQ(2, root_set_add_log(
			     set, "{\"event\":\"start\",\"request\":\"bb\"}\n"
				  "{\"event\":\"start\",\"request\":\"b\"}"));
	EXPECT_EQ(3, root_set_count(set));
	root_set_end(set);
}

TEST(Deployment, CapacityIsThatOfTheMostLoadedService)
{
	struct request_kind k[2] = {};

	k[0].class_name = "normal";
	k[0].fraction = 0.5;
	k[0].n_hops = 1; /* rota */
	k[1].class_name = "important";
	k[1].fraction = 0.5;
	k[1].n_hops = 2; /* reminders, then rota */
	k[1].hops[0] = 3;
	k[1].hops[1] = 0;
	/* An execution holds its slot for its own 0.2 s and for those of its
	 * nested calls. So a root request holds one of 8 slots of reminders for
	 * 0.5 x 2 x 0.2 s on average, one of 40 of rota for 0.2 s. */
	EXPECT_DOUBLE_EQ(40,
			 deployment_capacity(&deployment_maua, k, 2, nullptr));
	EXPECT_DOUBLE_EQ(400,
			 deployment_capacity(&deployment_maua, k, 2, "normal"));
}

TEST(Deployment, TargetContainsTheNestedCalls)
{
	char target[256];

	deployment_target(&deployment_maua, &deployment_maua.chain, 2, target,
			  sizeof(target));
	EXPECT_STREQ(
		"/rota/deep?nest=/orders/call%3E/swaps/call&nest_retries=2",
		target);
	deployment_target(&deployment_maua, &deployment_maua.mix[0], 2, target,
			  sizeof(target));
	EXPECT_STREQ("/rota/week", target);
}

TEST(Deployment, FractionsAddUpToOne)
{
	for (const struct deployment *d :
	     { &deployment_maua, &deployment_jadran }) {
		double mix = 0, orgs = 0;

		for (int i = 0; i < d->n_mix; i++)
			mix += d->mix[i].fraction;
		for (int i = 0; i < DEPLOYMENT_ORGS; i++)
			orgs += d->orgs[i].fraction;
		EXPECT_NEAR(1, mix, 1e-9) << d->name;
		EXPECT_NEAR(1, orgs, 1e-9) << d->name;
	}
}
