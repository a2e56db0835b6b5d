/* test_slo.cc - service levels over time windows, recovery after overload */
#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include "state/slo.h"

namespace
{

const int64_t S = 1000000;

class Slo : public ::testing::Test
{
      protected:
	struct fp_slo *s = fp_slo_init();

	void TearDown() override
	{
		fp_slo_end(s);
	}

	void add(struct fp_slo_row *r, enum fp_slo_kind kind, int n, int64_t at)
	{
		while (n-- > 0)
			fp_slo_add(r, kind, at);
	}

	uint64_t total(const struct fp_slo_row *r, enum fp_slo_window w,
		       int64_t at)
	{
		struct fp_slo_counts c;

		fp_slo_sum(r, w, UINT32_MAX, at, &c);
		return fp_slo_total(&c);
	}
};

TEST_F(Slo, ClassifiesEachResult)
{
	const struct {
		struct fp_slo_result end;
		enum fp_slo_kind kind;
	} cases[] = {
		{ { FP_OUTCOME_RAN, FP_REASON_NONE, 200, 100000, false },
		  FP_SLO_GOOD },
		{ { FP_OUTCOME_RAN, FP_REASON_NONE, 499, 1, false },
		  FP_SLO_GOOD },
		{ { FP_OUTCOME_RAN, FP_REASON_NONE, 500, 1, false },
		  FP_SLO_FAILED },
		{ { FP_OUTCOME_RAN, FP_REASON_NONE, 200, 100001, false },
		  FP_SLO_FAILED },
		{ { FP_OUTCOME_NOT_RUN, FP_REASON_OVER_RATE, 0, 1, false },
		  FP_SLO_OVER_RATE },
		{ { FP_OUTCOME_NOT_RUN, FP_REASON_OVERLOADED, 0, 1, false },
		  FP_SLO_REFUSED },
		{ { FP_OUTCOME_NOT_RUN, FP_REASON_NO_TOKENS, 0, 1, false },
		  FP_SLO_REFUSED },
		{ { FP_OUTCOME_UNKNOWN, FP_REASON_DEADLINE, 0, 1, false },
		  FP_SLO_FAILED },
		{ { FP_OUTCOME_UNKNOWN, FP_REASON_CLAIM_LOST, 0, 1, false },
		  FP_SLO_FAILED },
		{ { FP_OUTCOME_NOT_RUN, FP_REASON_KEY_UNKNOWN, 0, 1, false },
		  FP_SLO_IGNORED },
		{ { FP_OUTCOME_RAN, FP_REASON_ALREADY_RUN, 0, 1, false },
		  FP_SLO_IGNORED },
		{ { FP_OUTCOME_UNKNOWN, FP_REASON_CUT, 0, 100000, true },
		  FP_SLO_IGNORED },
		{ { FP_OUTCOME_UNKNOWN, FP_REASON_CUT, 0, 100001, true },
		  FP_SLO_FAILED },
	};
	struct fp_slo_row *r = fp_slo_row(s, "parish", FP_CLASS_NORMAL);

	r->has_objective = true;
	r->objective.latency_ms = 100;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		EXPECT_EQ(cases[i].kind, fp_slo_classify(r, &cases[i].end))
			<< i;
}

TEST_F(Slo, WindowsExpireOldBuckets)
{
	struct fp_slo_row *r = fp_slo_row(s, "parish", FP_CLASS_NORMAL);
	const int64_t at = 1000 * 3600 * S;
	const struct {
		int64_t later_s;
		uint64_t in[FP_SLO_WINDOW_COUNT];
	} cases[] = {
		{ 0, { 7, 7, 7 } },	    { 299, { 7, 7, 7 } },
		{ 300, { 0, 7, 7 } },	    { 3599, { 0, 7, 7 } },
		{ 3600, { 0, 0, 7 } },	    { 72 * 3600 - 1, { 0, 0, 7 } },
		{ 72 * 3600, { 0, 0, 0 } }, { 1000 * 3600, { 0, 0, 0 } },
	};

	add(r, FP_SLO_GOOD, 4, at);
	add(r, FP_SLO_FAILED, 1, at);
	add(r, FP_SLO_REFUSED, 2, at);
	add(r, FP_SLO_OVER_RATE, 50, at);
	add(r, FP_SLO_IGNORED, 50, at);
	for (const auto &c : cases)
		for (int w = 0; w < FP_SLO_WINDOW_COUNT; w++)
			EXPECT_EQ(c.in[w], total(r, (enum fp_slo_window)w,
						 at + c.later_s * S))
				<< c.later_s << " " << w;
	add(r, FP_SLO_GOOD, 1, at + 300 * S);
	EXPECT_EQ(1u, total(r, FP_SLO_SHORT, at + 300 * S));
	EXPECT_EQ(8u, total(r, FP_SLO_MIDDLE, at + 300 * S));
}

TEST_F(Slo, BurnRateAndBudget)
{
	const struct {
		struct fp_slo_counts counts;
		uint32_t permille;
		double burn;
	} cases[] = {
		{ { { 0, 0, 0, 9 } }, 990, 0 },
		{ { { 99, 1, 0, 500 } }, 990, 1 },
		{ { { 98, 1, 1, 0 } }, 990, 2 },
		{ { { 0, 5, 5, 0 } }, 900, 10 },
		{ { { 100, 0, 0, 0 } }, 999, 0 },
	};

	for (const auto &c : cases) {
		EXPECT_NEAR(c.burn, fp_slo_burn(&c.counts, c.permille), 1e-9);
		EXPECT_NEAR(1 - c.burn,
			    fp_slo_budget_left(&c.counts, c.permille), 1e-9);
	}
}

TEST_F(Slo, SpecificObjectiveTakesPrecedence)
{
	struct fp_objective list[] = {
		{ "*", FP_CLASS_NORMAL, 990, 500, 24 },
		{ "parish", FP_CLASS_NORMAL, 999, 100, 24 },
	};
	struct fp_config c = {};
	struct fp_slo_row *own = fp_slo_row(s, "parish", FP_CLASS_NORMAL);
	struct fp_slo_row *other = fp_slo_row(s, "grower", FP_CLASS_NORMAL);
	struct fp_slo_row *none = fp_slo_row(s, "", FP_CLASS_SHEDDABLE);

	c.revision = 1;
	c.objectives = list;
	c.n_objectives = 2;
	for (struct fp_slo_row *r : { own, other, none })
		fp_slo_set_objective(r, &c);
	EXPECT_EQ(999u, own->objective.good_permille);
	EXPECT_EQ(990u, other->objective.good_permille);
	EXPECT_FALSE(none->has_objective);
	EXPECT_STREQ(FP_SLO_OPEN, none->org);
	c.revision = 2;
	c.n_objectives = 0;
	fp_slo_set_objective(own, &c);
	EXPECT_FALSE(own->has_objective);
}

TEST_F(Slo, MemoryIsBounded)
{
	struct fp_slo_row *r = nullptr;
	struct fp_slo *copy;

	for (int i = 0; i < 2 * FP_SLO_MAX_ROWS; i++) {
		r = fp_slo_row(s, ("o" + std::to_string(i)).c_str(),
			       FP_CLASS_IMPORTANT);
		add(r, FP_SLO_GOOD, 1, 5 * S);
	}
	EXPECT_STREQ(FP_SLO_OTHERS, r->org);
	EXPECT_LE(fp_slo_n_rows(s), (uint32_t)FP_SLO_MAX_ROWS);
	EXPECT_LE(sizeof(*r), 4200u);
	copy = fp_slo_copy(s);
	ASSERT_NE(nullptr, copy);
	EXPECT_EQ(fp_slo_n_rows(s), fp_slo_n_rows(copy));
	EXPECT_EQ(total(r, FP_SLO_LONG, 5 * S),
		  total(fp_slo_row(copy, FP_SLO_OTHERS, FP_CLASS_IMPORTANT),
			FP_SLO_LONG, 5 * S));
	fp_slo_end(copy);
}

/* One character per second of four requests: g all good, b all refused, B two
 * failed, o all over the rate, . no request. */
void add_seconds(struct fp_recovery *r, const std::string &seconds)
{
	for (size_t i = 0; i < seconds.size(); i++) {
		int64_t at = (int64_t)(100 + i) * S;

		for (int k = 0; k < 4 && seconds[i] != '.'; k++)
			fp_recovery_add(r,
					seconds[i] == 'o' ? FP_SLO_OVER_RATE :
					seconds[i] == 'b' ? FP_SLO_REFUSED :
					seconds[i] == 'B' && k < 2 ?
							    FP_SLO_FAILED :
							    FP_SLO_GOOD,
					at);
		fp_recovery_tick(r, at);
	}
	fp_recovery_tick(r, (int64_t)(100 + seconds.size()) * S);
}

TEST(Recovery, EpisodesBeginAndEnd)
{
	const struct {
		const char *seconds;
		uint32_t episodes;
		bool ongoing;
		int64_t start_s;
		int64_t length_s;
		uint32_t worst;
	} cases[] = {
		{ "ggggg", 0, false, 0, 0, 0 },
		{ "oooog", 0, false, 0, 0, 0 },
		{ "ggB", 1, true, 102, 0, 500 },
		{ "ggBbBggg", 1, false, 102, 3, 0 },
		{ "ggBggBggg", 1, false, 102, 4, 500 },
		{ "gB.g.g.g", 1, false, 101, 2, 500 },
		{ "bgggBB", 2, true, 104, 0, 500 },
		{ "gBB...........", 1, false, 101, 2, 500 },
	};

	for (const auto &c : cases) {
		struct fp_recovery r = {};

		add_seconds(&r, c.seconds);
		EXPECT_EQ(c.episodes, r.episodes) << c.seconds;
		EXPECT_EQ(c.ongoing, r.ongoing) << c.seconds;
		if (c.episodes) {
			EXPECT_EQ(c.start_s, r.start_s) << c.seconds;
			EXPECT_EQ(c.worst, r.worst_permille) << c.seconds;
		}
		if (c.episodes && !c.ongoing) {
			EXPECT_EQ(c.length_s, r.end_s - r.start_s) << c.seconds;
		}
	}
}

} // namespace
