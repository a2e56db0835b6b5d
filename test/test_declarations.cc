/* test_declarations.cc - declarations: defaults, JSON and each kind of error */
#include <gtest/gtest.h>

#include <unistd.h>

#include <cstdio>
#include <cstring>
#include <fstream>
#include <string>

#include "protocol/config_codec.h"
#include "protocol/config_tables.h"
#include "protocol/declarations.h"

namespace
{

const std::string org = "[[organisation]]\n"
			"name = \"big\"\n"
			"rate_per_s = 10\n"
			"burst = 20\n";
const std::string route = "[[route]]\n"
			  "name = \"orders\"\n"
			  "method = \"POST\"\n"
			  "prefix = \"/orders\"\n"
			  "service = \"orders\"\n"
			  "idempotent = false\n";
const std::string valid_file = org + route; /* 10 lines */

struct fp_config *load(const std::string &text, std::string *message = nullptr)
{
	std::string path = testing::TempDir() + "fp_declarations_" +
			   std::to_string(getpid()) + ".toml";
	struct fp_config *c = nullptr;

	std::ofstream(path) << text;
	fp_declarations_load(path.c_str(), &c);
	if (message && !c) {
		*message = fp_last_message();
		if (message->rfind(path, 0) == 0)
			message->erase(0, path.size());
	}
	remove(path.c_str());
	return c;
}

TEST(Declarations, DefaultsAndBuiltInPresets)
{
	struct fp_config *c =
		load(valid_file + "[preset.peak]\nattempts = 3\n");

	ASSERT_NE(nullptr, c) << fp_last_message();
	EXPECT_EQ(FP_CLASS_NORMAL, c->routes[0].cls);
	EXPECT_EQ(2000u, c->routes[0].deadline_ms);
	EXPECT_FALSE(c->routes[0].open);
	EXPECT_EQ(3u, c->presets[FP_PRESET_PEAK].attempts);
	EXPECT_EQ(10u, c->presets[FP_PRESET_PEAK].queue_target_ms);
	EXPECT_EQ(60u, c->presets[FP_PRESET_MAINTENANCE].concurrency_percent);
	EXPECT_EQ(100u, c->presets[FP_PRESET_ORDINARY].sheddable_percent);
	EXPECT_STREQ("ordinary", c->presets[c->active_preset].name);
	fp_config_end(c);
}

TEST(Declarations, GetThatIsNotIdempotentIsAllowed)
{
	struct fp_config *c =
		load(valid_file + "[[route]]\nname = \"get\"\n"
				  "method = \"GET\"\nprefix = \"/\"\n"
				  "service = \"a\"\n"
				  "idempotent = false\n");

	EXPECT_NE(nullptr, c) << fp_last_message();
	fp_config_end(c);
}

TEST(Declarations, ExamplesRoundTripThroughJson)
{
	for (const char *path :
	     { "docs/examples/maua-rota.toml", "docs/examples/jadran.toml" }) {
		struct fp_config *c = nullptr;
		struct fp_config *decoded = nullptr;
		json_t *json;
		json_t *decoded_json;

		ASSERT_EQ(FP_OK, fp_declarations_load(path, &c))
			<< fp_last_message();
		EXPECT_EQ(8u, c->n_orgs);
		json = fp_declarations_to_json(c);
		ASSERT_EQ(FP_OK, fp_declarations_from_json(json, &decoded))
			<< fp_last_message();
		decoded_json = fp_declarations_to_json(decoded);
		EXPECT_TRUE(json_equal(json, decoded_json));
		json_decref(json);
		json_decref(decoded_json);
		fp_config_end(c);
		fp_config_end(decoded);
	}
}

/* Returns the valid file with one text replaced. */
std::string file_with(const std::string &from, const std::string &to)
{
	std::string text = valid_file;

	text.replace(text.find(from), from.size(), to);
	return text;
}

struct invalid_file {
	const char *title;
	std::string text;
	const char *message;
};

const struct invalid_file invalid_files[] = {
	{ "not TOML", valid_file + "[[route\n", ":11: " },
	{ "empty", "", ":1: [[organisation]]: expected at least one" },
	{ "no route", org, ":1: [[route]]: expected at least one" },
	{ "unknown section", valid_file + "[[routes]]\n",
	  ":11: [[routes]]: expected one of organisation, route, preset, " },
	{ "value outside of a section", "a = 1\n" + valid_file,
	  ":1: [] a: expected a section" },
	{ "one bracket", route + "[organisation]\nname = \"a\"\n",
	  ":7: [organisation]: expected an array of tables with double "
	  "brackets" },
	{ "unknown name", file_with("burst", "bursts"),
	  ":4: [[organisation]] bursts: expected one of name, rate_per_s, "
	  "burst, got an unknown name" },
	{ "rate 0", file_with("rate_per_s = 10", "rate_per_s = 0"),
	  ":3: [[organisation]] rate_per_s: expected integer 1 to 1000000, "
	  "got 0" },
	{ "burst 0", file_with("burst = 20", "burst = 0"),
	  ":4: [[organisation]] burst: expected integer 1 to 1000000, got 0" },
	{ "no rate", file_with("rate_per_s = 10\n", ""),
	  ":1: [[organisation]] rate_per_s: expected integer 1 to 1000000, "
	  "got nothing" },
	{ "characters", file_with("\"big\"", "\"Big\""),
	  ":2: [[organisation]] name: expected 1 to 47 characters of "
	  "[a-z0-9._-], got \"Big\"" },
	{ "empty name", file_with("\"big\"", "\"\""),
	  ":2: [[organisation]] name: expected 1 to 47 characters" },
	{ "organisation twice", valid_file + org,
	  ":12: [[organisation]] name: expected a unique organisation, got "
	  "duplicate \"big\"" },
	{ "route twice",
	  valid_file + "[[route]]\nname = \"orders\"\n"
		       "method = \"GET\"\nprefix = \"/\"\n"
		       "service = \"a\"\nidempotent = true\n",
	  ":12: [[route]] name: expected a unique route, got duplicate "
	  "\"orders\"" },
	{ "prefix twice",
	  valid_file + "[[route]]\nname = \"b\"\n"
		       "method = \"POST\"\nprefix = \"/orders\"\n"
		       "service = \"a\"\nidempotent = true\n",
	  ":14: [[route]] prefix: expected a unique method and prefix, "
	  "got POST /orders of route \"orders\"" },
	{ "class", valid_file + "class = \"urgent\"\n",
	  ":11: [[route]] class: expected \"important\" or \"normal\" or "
	  "\"sheddable\", got \"urgent\"" },
	{ "prefix", file_with("\"/orders\"", "\"orders\""),
	  ":8: [[route]] prefix: expected a path that starts with '/'" },
	{ "slash at the end", file_with("\"/orders\"", "\"/orders/\""),
	  ":8: [[route]] prefix: expected a path" },
	{ "dots", file_with("\"/orders\"", "\"/a/../orders\""),
	  ":8: [[route]] prefix: expected a path" },
	{ "query", file_with("\"/orders\"", "\"/a?b\""),
	  ":8: [[route]] prefix: expected a path" },
	{ "long prefix",
	  file_with("\"/orders\"", "\"/" + std::string(127, 'a') + "\""),
	  ":8: [[route]] prefix: expected a path" },
	{ "method", file_with("\"POST\"", "\"post\""),
	  ":7: [[route]] method: expected an HTTP method in capitals or \"*\","
	  " got \"post\"" },
	{ "no service", file_with("service = \"orders\"\n", ""),
	  ":5: [[route]] service: expected 1 to 47" },
	{ "no idempotent", file_with("idempotent = false\n", ""),
	  ":5: [[route]] idempotent: expected true or false, got nothing" },
	{ "wrong type", file_with("idempotent = false", "idempotent = 0"),
	  ":10: [[route]] idempotent: expected true or false, got 0" },
	{ "open claims", valid_file + "open = true\n",
	  ":11: [[route]] open: expected false on a route that is not "
	  "idempotent" },
	{ "deadline", valid_file + "deadline_ms = 5\n",
	  ":11: [[route]] deadline_ms: expected integer 10 to 600000, got 5" },
	{ "preset's name", valid_file + "[preset.night]\nattempts = 1\n",
	  ":11: [preset.night]: expected ordinary, peak or maintenance, got "
	  "\"night\"" },
	{ "preset twice", valid_file + "[preset.peak]\n[preset.peak]\n",
	  ":12: " },
	{ "preset's value", valid_file + "[preset]\npeak = 1\n",
	  ":12: [preset] peak: expected a table [preset.NAME]" },
	{ "preset's member", valid_file + "[preset.peak]\nretries = 1\n",
	  ":12: [preset.peak] retries: expected one of queue_target_ms" },
	{ "preset's range", valid_file + "[preset.peak]\nattempts = 0\n",
	  ":12: [preset.peak] attempts: expected integer 1 to 16, got 0" },
	{ "preset list", valid_file + "[[preset]]\nattempts = 1\n",
	  ":11: [[preset]]: expected [preset.NAME], got a list" },
	{ "objective's organisation",
	  valid_file +
		  "[[objective]]\norganisation = \"gone\"\n"
		  "good_permille = 999\nlatency_ms = 1\nwindow_hours = 1\n",
	  ":12: [[objective]] organisation: expected a declared organisation "
	  "or \"*\", got \"gone\"" },
	{ "objective's good_permille",
	  valid_file +
		  "[[objective]]\norganisation = \"*\"\n"
		  "good_permille = 1000\nlatency_ms = 1\nwindow_hours = 1\n",
	  ":13: [[objective]] good_permille: expected integer 1 to 999" },
};

TEST(Declarations, EachErrorNamesLineAndReason)
{
	for (const struct invalid_file &w : invalid_files) {
		std::string message = "accepted";
		struct fp_config *c = load(w.text, &message);

		EXPECT_EQ(nullptr, c) << w.title;
		EXPECT_EQ(w.message, message.substr(0, strlen(w.message)))
			<< w.title;
		fp_config_end(c);
	}
}

} // namespace
