/* test_id_index.cc - objects whose ids need not be unique */
#include <gtest/gtest.h>

#include <apr_general.h>

#include <cstring>
#include <list>
#include <memory>
#include <random>
#include <string>

#include "node/id_index.h"

namespace
{

struct Object {
	std::unique_ptr<char[]> id; /* freed with the object */
	struct fp_id_entry entry = {};

	explicit Object(const std::string &text) : id(new char[text.size() + 1])
	{
		strcpy(id.get(), text.c_str());
		entry.id = id.get();
		entry.owner = this;
	}
};

struct IdIndex : testing::Test {
	apr_pool_t *pool = nullptr;
	struct fp_id_index *x = nullptr;
	std::list<std::unique_ptr<Object>> all; /* in order of arrival */

	void SetUp() override
	{
		apr_initialize();
		apr_pool_create(&pool, nullptr);
		x = fp_id_index_init(pool);
	}
	void TearDown() override
	{
		all.clear();
		apr_pool_destroy(pool);
	}
	Object *add(const std::string &id)
	{
		all.push_back(std::make_unique<Object>(id));
		fp_id_index_add(x, &all.back()->entry);
		return all.back().get();
	}
	void remove(std::list<std::unique_ptr<Object>>::iterator at)
	{
		fp_id_index_remove(x, &(*at)->entry);
		memset((*at)->id.get(), '?', strlen((*at)->id.get()));
		all.erase(at);
	}
	Object *first(const std::string &id)
	{
		for (auto &o : all)
			if (id == o->id.get())
				return o.get();
		return nullptr;
	}
};

/* Guards against the end of a node by two requests of one id: the first one
 * leaves, and its text with it. */
TEST_F(IdIndex, TheSecondOfOneIdIsFoundWhenTheFirstHasLeft)
{
	Object *a = add("u");
	Object *b = add("u");

	EXPECT_EQ(a, fp_id_index_find(x, "u"));
	remove(all.begin());
	EXPECT_EQ(b, fp_id_index_find(x, "u"));
	remove(all.begin());
	EXPECT_EQ(nullptr, fp_id_index_find(x, "u"));
}

TEST_F(IdIndex, FindsTheOldestInAnyOrderOfArrivalsAndEnds)
{
	for (uint32_t seed = 1; seed <= 50; seed++) {
		std::mt19937 random(seed);

		for (int step = 0; step < 2000; step++) {
			std::string id = std::to_string(random() % 7);

			if (random() % 2 || all.empty())
				add(id);
			else
				remove(std::next(all.begin(),
						 random() % all.size()));
			ASSERT_EQ(first(id), fp_id_index_find(x, id.c_str()))
				<< "seed " << seed;
		}
		while (!all.empty())
			remove(all.begin());
	}
}

} // namespace
