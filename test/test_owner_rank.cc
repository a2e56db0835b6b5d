/* test_owner_rank.cc - which member owns an organisation's bucket */
#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <memory>
#include <string>

#include "node/owner_rank.h"

namespace
{

constexpr uint32_t N = 8;

struct Table {
	Table()
	    : t((fp_member_table *)calloc(1, sizeof(fp_member_table) +
						     2 * N * sizeof(fp_member)))
	{
		for (uint32_t i = 0; i < N; i++)
			add("node" + std::to_string(i),
			    "10.0.0." + std::to_string(i) + ":8002", 100 + i);
	}
	~Table()
	{
		free(t);
	}

	void add(const std::string &name, const std::string &addr, uint64_t id)
	{
		fp_member *m = &t->members[t->n++];

		strcpy(m->name, name.c_str());
		strcpy(m->peer_addr, addr.c_str());
		m->id = id;
	}

	const fp_member *highest(const char *org, uint64_t below = UINT64_MAX)
	{
		return owner_rank_highest(t, org, below, nullptr, nullptr);
	}

	fp_member_table *t;
};

TEST(OwnerRank, EachMemberIsRankedOnce)
{
	Table table;
	uint64_t below = UINT64_MAX;
	uint32_t n = 0;

	for (const fp_member *m; (m = table.highest("t1", below)); n++) {
		ASSERT_LT(owner_rank_of(m, "t1"), below);
		below = owner_rank_of(m, "t1");
	}
	EXPECT_EQ(N, n);
}

/* The record of a lost node is still listed, and its address was given to
 * another node. */
TEST(OwnerRank, AMemberWhoseAddressWasReusedOwnsNothing)
{
	Table table;
	fp_member lost = *table.highest("t1");
	const fp_member *next = table.highest("t1", owner_rank_of(&lost, "t1"));

	std::string next_name = next->name;
	for (int i = 0;; i++) { /* a name that ranks below both */
		table.add("new" + std::to_string(i), lost.peer_addr, 900);
		if (owner_rank_of(&table.t->members[N], "t1") <
		    owner_rank_of(next, "t1"))
			break;
		table.t->n--;
	}
	EXPECT_EQ(next_name, table.highest("t1")->name);
}

TEST(OwnerRank, SkippedMembersAreLeftOut)
{
	Table table;
	const fp_member *first = table.highest("t1");
	auto is_first = [](void *ctx, const fp_member *m) {
		return (const void *)m == ctx;
	};

	EXPECT_EQ(table.highest("t1", owner_rank_of(first, "t1")),
		  owner_rank_highest(table.t, "t1", UINT64_MAX, is_first,
				     (void *)first));
}

} // namespace
