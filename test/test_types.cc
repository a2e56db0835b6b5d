/* test_types.cc - the short form of long names */
#include <gtest/gtest.h>

#include <jansson.h>

#include <cstring>
#include <string>

#include "state/types.h"

namespace
{

std::string shorten(const std::string &name, bool expect_whole)
{
	char to[FP_NAME_BYTES];

	memset(to, 'x', sizeof(to));
	EXPECT_EQ(expect_whole, fp_name_shorten(name.c_str(), to)) << name;
	EXPECT_LT(strnlen(to, sizeof(to)), sizeof(to));
	return to;
}

TEST(ShortName, IsTheNameItselfIfThatFits)
{
	for (size_t len : { 0, 1, 46, 47 }) {
		std::string name(len, 'a');

		EXPECT_EQ(name, shorten(name, true));
	}
}

/* Guards against two organisations that share a rate because their names differ
 * only where no room is left. */
TEST(ShortName, DiffersWhereverTheNameDoes)
{
	std::string name(300, 'a');
	std::string first = shorten(name, false);

	EXPECT_EQ(first, shorten(name, false));
	for (size_t at : { 0, 29, 47, 48, 299 }) {
		std::string other = name;

		other[at] = 'b';
		EXPECT_NE(first, shorten(other, false)) << at;
	}
	EXPECT_NE(first, shorten(name + "a", false));
	EXPECT_EQ(0u, first.find(name.substr(0, 30) + "~"));
}

/* Guards against texts that JSON answers cannot hold. */
TEST(ShortName, IsCutBetweenCharacters)
{
	for (const char *character :
	     { "\xc4\x87", "\xe2\x82\xac", "\xf0\x9f\x8c\xb8" })
		for (int before = 0; before < 4; before++) {
			std::string name(before, 'a');

			while (name.size() < 60)
				name += character;
			json_t *j = json_string(shorten(name, false).c_str());
			EXPECT_NE(nullptr, j) << character << before;
			json_decref(j);
		}
}

} // namespace
