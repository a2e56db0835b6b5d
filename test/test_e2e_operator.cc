/* test_e2e_operator.cc - operator commands against real processes */
#include "e2e_fleet.h"

#include <fstream>
#include <thread>

static const char *const OBJECTIVES = R"(
[[objective]]
organisation = "*"
class = "sheddable"
good_permille = 900
latency_ms = 1500
window_hours = 24

[[objective]]
organisation = "parish"
class = "normal"
good_permille = 990
latency_ms = 500
window_hours = 24
)";

/* Parsed JSON, freed by its destructor. */
class Json
{
      public:
	explicit Json(const std::string &text)
	    : root(json_loads(text.c_str(), 0, nullptr))
	{
	}
	Json(const Json &) = delete;
	Json &operator=(const Json &) = delete;
	~Json()
	{
		json_decref(root);
	}

	/* Returns a member of the root object, NULL if it is absent. */
	json_t *get(const char *name) const
	{
		return json_object_get(root, name);
	}

	/* Returns the first object of the array "in" whose member has this
	 * text; NULL if there is none. */
	json_t *find(const char *in, const char *member,
		     const std::string &text) const
	{
		size_t i;
		json_t *v;

		json_array_foreach(get(in), i, v)
		{
			const char *s =
				json_string_value(json_object_get(v, member));
			if (s && text == s)
				return v;
		}
		return nullptr;
	}

	json_t *root;
};

static int64_t number(const json_t *j, const char *name)
{
	return json_integer_value(json_object_get(j, name));
}

/* Numbers of root requests, as in the windows of a report. */
struct counts {
	int64_t good = 0, failed = 0, refused = 0, over_rate = 0;
};

class Operator : public E2eFleet
{
      protected:
	void SetUp() override
	{
		start({ "rota", "stock", "notice", "order" });
		declare(std::string(DECLARATIONS) + OBJECTIVES);
		for (int v = 0; v < f->n_vms; v++)
			wait_serving(v, "/notice", "");
		ASSERT_TRUE(wait_until(
			[&] {
				Json s(cli("status --json"));
				json_t *c = s.get("config");

				return number(c, "nodes") == 4 &&
				       number(c, "nodes_at_newest") == 4;
			},
			10000))
			<< cli("status");
	}

	/* Counts of the last hour of an organisation's class, over the
	 * fleet. */
	counts read_counts(const std::string &org, const std::string &cls)
	{
		Json r(cli("report --json"));
		counts n;
		size_t i;
		json_t *row;

		json_array_foreach(r.get("rows"), i, row)
		{
			json_t *w = json_object_get(
				json_object_get(row, "windows"), "1h");
			if (org == json_string_value(json_object_get(
					   row, "organisation")) &&
			    cls == json_string_value(
					   json_object_get(row, "class")))
				n = { number(w, "good"), number(w, "failed"),
				      number(w, "refused"),
				      number(w, "over_rate") };
		}
		return n;
	}

	/* Writes a declarations file with one more organisation than those in
	 * force; returns its path. */
	std::string variant(const std::string &name, int rate)
	{
		char path[FLEET_PATH_BYTES];
		std::string text = std::string(DECLARATIONS) + OBJECTIVES +
				   "\n[[organisation]]\nname = \"" + name +
				   "\"\nrate_per_s = " + std::to_string(rate) +
				   "\nburst = 9\n";

		EXPECT_TRUE(fleet_write_file(f, (name + ".toml").c_str(),
					     text.c_str(), path, sizeof(path)));
		return path;
	}

	/* The newest configuration revision that any node has. */
	int64_t revision()
	{
		Json s(cli("status --json"));

		return number(s.get("config"), "newest_revision");
	}
};

TEST_F(Operator, StatusListsTheWholeFleet)
{
	Json s(cli("status --json"));
	json_t *config = s.get("config");
	std::string text = cli("status");

	ASSERT_EQ(4u, json_array_size(s.get("nodes"))) << text;
	ASSERT_EQ(4u, json_array_size(s.get("workers"))) << text;
	EXPECT_EQ(4u, json_array_size(s.get("admission"))) << text;
	EXPECT_STREQ("ordinary",
		     json_string_value(json_object_get(config, "preset")));
	EXPECT_EQ(number(config, "revision"),
		  number(config, "newest_revision"));
	EXPECT_LT(number(config, "store_age_ms"), 10000);
	EXPECT_GT(number(s.find("store", "name", "list"), "calls"), 0);
	for (int v = 0; v < 4; v++) {
		json_t *w = s.find("workers", "name", f->vms[v]->name);
		json_t *n = s.find("nodes", "name", f->vms[v]->name);

		ASSERT_NE(nullptr, w) << text;
		ASSERT_NE(nullptr, n) << text;
		EXPECT_STREQ("serving",
			     json_string_value(json_object_get(w, "state")));
		EXPECT_EQ(10, number(w, "slots"));
		EXPECT_EQ(number(config, "revision"), number(n, "revision"));
		EXPECT_TRUE(json_is_true(json_object_get(n, "reached")));
		EXPECT_NE(std::string::npos, text.find(f->vms[v]->name));
	}
}

TEST_F(Operator, ReportMatchesTheCallsMade)
{
	counts before = read_counts("(open)", "sheddable");
	counts after;

	for (int i = 0; i < 40; i++)
		EXPECT_EQ(200, call(i % 4, "GET", "/notice", "").status);
	for (int i = 0; i < 8; i++)
		EXPECT_EQ(500, call(i % 4, "GET", "/notice?fail=1", "").status);
	/* Caller errors count neither as good nor as bad. */
	EXPECT_EQ(401, call(0, "GET", "/rota/week", "fpk_none").status);
	after = read_counts("(open)", "sheddable");
	EXPECT_EQ(40, after.good - before.good);
	EXPECT_EQ(8, after.failed - before.failed);
	EXPECT_EQ(0, after.refused - before.refused);
	EXPECT_EQ(0, read_counts("parish", "normal").refused);

	Json r(cli("report --json"));
	json_t *row = r.find("rows", "organisation", "(open)");
	double bad = (double)(after.failed + after.refused);
	/* The objective of 900 permille leaves an error budget of 0.1. */
	double burn = bad / (bad + (double)after.good) / 0.1;

	EXPECT_NEAR(burn,
		    json_real_value(json_object_get(
			    json_object_get(row, "burn"), "5m")),
		    1e-6);
	EXPECT_NEAR(1 - burn,
		    json_real_value(json_object_get(row, "budget_left")), 1e-6);
	EXPECT_STREQ("(open)", json_string_value(json_object_get(
				       r.get("worst"), "organisation")));
	EXPECT_NE(nullptr, r.find("rows", "organisation", "parish"))
		<< "a declared objective is listed before its first request";
}

TEST_F(Operator, OverRateCountsNeitherAsGoodNorAsBad)
{
	counts n;
	int64_t good = 0, over = 0, other = 0;
	Answer a;

	make_key("small");
	wait_serving(0, "/stock/list", keys["small"]);
	n = read_counts("small", "normal");
	for (int i = 0; i < 60; i++) {
		a = call(i % 4, "GET", "/stock/list", keys["small"]);
		good += a.status == 200;
		over += a.status == 429;
		other += a.status != 200 && a.status != 429;
	}
	counts after = read_counts("small", "normal");

	EXPECT_GT(over, 0);
	EXPECT_EQ(good, after.good - n.good);
	EXPECT_EQ(over, after.over_rate - n.over_rate);
	EXPECT_EQ(other, after.refused - n.refused + after.failed - n.failed);
}

TEST_F(Operator, OverloadAndRecoveryAreReported)
{
	counts before = read_counts("(open)", "sheddable");
	int refused = 0;
	Answer a;

	fleet_process_kill(&f->vms[2]->backend);
	for (int i = 0; i < 20; i++) {
		a = call(0, "GET", "/notice", "");
		if (a.outcome == "not-run")
			refused++;
	}
	EXPECT_GT(refused, 0) << a.status << a.reason;
	EXPECT_EQ(refused,
		  read_counts("(open)", "sheddable").refused - before.refused);
	ASSERT_TRUE(fleet_restart_backend(f->vms[2]));
	EXPECT_TRUE(wait_until(
		[&] {
			for (int v = 0; v < f->n_vms; v++)
				call(v, "GET", "/notice", "");
			Json r(cli("report --json"));
			json_t *v = r.get("overload");

			return json_is_object(v) &&
			       json_is_false(json_object_get(v, "ongoing")) &&
			       number(v, "worst_permille") < 990;
		},
		20000))
		<< cli("report");
}

TEST_F(Operator, UnreachableNodeIsListed)
{
	std::string page = std::string(f->dir) + "/report.html";
	std::string out;
	int rc = -1;

	fleet_process_kill(&f->vms[3]->node);
	out = cli("report --html " + page, &rc);
	EXPECT_EQ(0, rc) << out;
	EXPECT_NE(std::string::npos, out.find("counted by 3 of 4 nodes"))
		<< out;
	EXPECT_NE(std::string::npos,
		  out.find(std::string("NOT COUNTED: ") + f->vms[3]->name))
		<< out;
	Json s(cli("status --json"));
	json_t *n = s.find("nodes", "name", f->vms[3]->name);

	ASSERT_NE(nullptr, n);
	EXPECT_TRUE(json_is_false(json_object_get(n, "reached")));
	EXPECT_EQ(3, number(s.get("config"), "nodes_at_newest"));

	std::ifstream in(page);
	std::string html((std::istreambuf_iterator<char>(in)),
			 std::istreambuf_iterator<char>());

	EXPECT_NE(std::string::npos, html.find("Not counted: "));
	EXPECT_NE(std::string::npos, html.find("name=\"viewport\""));
	EXPECT_NE(std::string::npos, html.find("<svg "));
	EXPECT_NE(std::string::npos, html.find("prefers-color-scheme:dark"));
	for (const char *outside :
	     { "http:", "https:", "src=", "href=", "url(", "@import", "px" })
		EXPECT_EQ(std::string::npos, html.find(outside)) << outside;
}

TEST_F(Operator, WrongKeyIsRefused)
{
	char path[FLEET_PATH_BYTES];
	char right[FLEET_PATH_BYTES];
	int64_t before = revision();

	memcpy(right, f->operator_key_path, sizeof(right));
	ASSERT_TRUE(fleet_write_file(f, "wrong", "not-a-key\n", path,
				     sizeof(path)));
	snprintf(f->operator_key_path, sizeof(f->operator_key_path), "%s",
		 path);
	for (const char *args : { "status", "report", "key list",
				  "preset use peak", "key create parish" }) {
		int rc = -1;
		std::string out = cli(args, &rc);

		EXPECT_EQ(1, rc) << args << ": " << out;
		EXPECT_NE(std::string::npos, out.find("401")) << out;
	}
	EXPECT_EQ(401,
		  call(0, "GET", "/v1/slo", "", "", {}, FLEET_ADMIN).status);
	memcpy(f->operator_key_path, right, sizeof(right));
	EXPECT_EQ(before, revision());
}

TEST_F(Operator, OneOfTwoRacingOperatorsWins)
{
	std::string files[2] = { variant("one", 11), variant("two", 22) };
	std::string out[2];
	int rc[2] = { -1, -1 };
	int64_t before = revision();
	std::vector<std::thread> threads;

	ASSERT_TRUE(fleet_store_control(
		f, "{\"mode\": \"slow\", \"delay_ms\": 300}"));
	for (int i = 0; i < 2; i++)
		threads.emplace_back([&, i] {
			out[i] = cli("apply " + files[i], &rc[i], i);
		});
	for (auto &t : threads)
		t.join();
	ASSERT_TRUE(fleet_store_control(f, "{\"mode\": \"up\"}"));
	int loser = rc[0] == 0 ? 1 : 0;

	EXPECT_EQ(0, rc[1 - loser]) << out[1 - loser];
	EXPECT_EQ(5, rc[loser]) << out[loser];
	EXPECT_NE(std::string::npos,
		  out[loser].find(loser ? "+ organisation one rate_per_s 11" :
					  "+ organisation two rate_per_s 22"))
		<< out[loser];
	EXPECT_TRUE(wait_until([&] { return revision() == before + 1; }, 5000));
	EXPECT_EQ(std::string::npos,
		  cli("org list").find(loser ? "two" : "one"));
}

TEST_F(Operator, NoChangeIsAcceptedWhileTheStoreIsDown)
{
	std::string file = variant("three", 33);
	int64_t before = revision();
	int rc = -1;
	std::string out;

	ASSERT_TRUE(fleet_store_control(f, "{\"mode\": \"down\"}"));
	out = cli("apply " + file, &rc);
	EXPECT_EQ(1, rc) << out;
	out = cli("status", &rc);
	EXPECT_EQ(0, rc) << "reads need no store: " << out;
	ASSERT_TRUE(fleet_store_control(f, "{\"mode\": \"up\"}"));
	EXPECT_TRUE(wait_until(
		[&] {
			out = cli("org list", &rc);
			return rc == 0;
		},
		5000));
	EXPECT_EQ(std::string::npos, out.find("three"));
	EXPECT_EQ(before, revision());
}

TEST_F(Operator, ALostWriteResponseIsResolvedByAnotherRead)
{
	std::string file = variant("four", 44);
	int64_t before = revision();
	int rc = -1;
	std::string out;

	ASSERT_TRUE(
		fleet_store_control(f, "{\"lose_answers\": 1, \"lose_prefix\": "
				       "\"fulmarpass/config\"}"));
	out = cli("apply " + file, &rc);
	EXPECT_EQ(0, rc) << out;
	EXPECT_TRUE(wait_until([&] { return revision() == before + 1; }, 5000))
		<< revision() << " after " << before;
	EXPECT_NE(std::string::npos, cli("org list").find("four"));
}
