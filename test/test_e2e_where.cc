/* test_e2e_where.cc - end to end: where says what then happens to a request */
#include "e2e_fleet.h"

#include <csignal>

/* One more organisation and one more route, whose service has no node. */
static const char *const MORE = R"(
[[organisation]]
name = "tiny"
rate_per_s = 1
burst = 2

[[organisation]]
name = "keyless"
rate_per_s = 5
burst = 5

[[route]]
name = "void"
method = "GET"
prefix = "/void"
service = "nowhere"
class = "normal"
idempotent = true
open = true
deadline_ms = 1000
)";

class Where : public E2eFleet
{
      protected:
	json_t *w = nullptr; /* last answer */
	int rc = -1;

	void TearDown() override
	{
		json_decref(w);
		E2eFleet::TearDown();
	}

	/* Asks where a request would go. */
	void ask(int vm, const std::string &args)
	{
		std::string out = cli("where " + args + " --json", &rc, vm);

		json_decref(w);
		w = json_loads(out.c_str(), 0, nullptr);
		ASSERT_NE(nullptr, w) << out;
		ASSERT_EQ(0, rc) << out;
	}
	std::string text(const char *name)
	{
		const char *s = json_string_value(json_object_get(w, name));

		return s ? s : "";
	}
	json_t *candidate(const std::string &name)
	{
		size_t i;
		json_t *c;

		json_array_foreach(json_object_get(w, "candidates"), i, c)
		{
			if (name ==
			    json_string_value(json_object_get(c, "name")))
				return c;
		}
		return nullptr;
	}
	/* Expects that the last answer said what happened to the request. */
	void expect_refused_as(const Answer &a)
	{
		json_t *r = json_object_get(w, "refusal");
		json_t *retry = json_object_get(r, "retry_after_ms");
		size_t at = a.headers.find("Retry-After: ");
		const char *reason =
			json_string_value(json_object_get(r, "reason"));

		ASSERT_EQ("refused", text("decision"));
		EXPECT_EQ(a.reason, reason);
		EXPECT_EQ(a.outcome,
			  json_string_value(json_object_get(r, "outcome")));
		EXPECT_EQ(a.status,
			  json_integer_value(json_object_get(r, "status")))
			<< reason;
		EXPECT_EQ(json_is_integer(retry), at != std::string::npos)
			<< reason;
		if (at == std::string::npos)
			return;
		EXPECT_NEAR(atof(a.headers.c_str() + at + 13) * 1000,
			    (double)json_integer_value(retry), 0.5)
			<< reason;
	}
};

TEST_F(Where, SaysWhatThenHappens)
{
	start({ "rota", "stock", "notice", "order", "stock" });
	ask(0, "GET /notice");
	expect_refused_as(call(0, "GET", "/notice", ""));
	EXPECT_EQ("no-config", call(0, "GET", "/notice", "").reason);

	declare(std::string(DECLARATIONS) + MORE);
	make_key("parish");
	make_key("tiny");
	for (int v = 0; v < f->n_vms; v++)
		wait_serving(v, "/stock/list", keys["parish"]);

	/* A look-up: from each node to the worker of its own domain. */
	for (int v : { 0, 1 }) {
		int to = v == 0 ? 4 : 1;
		std::string path = "/stock/from-" + std::to_string(v);

		ask(v, "GET " + path + " --org parish");
		EXPECT_EQ("sent", text("decision"));
		EXPECT_EQ("stock", text("service"));
		EXPECT_EQ(f->vms[to]->name, text("choice"));
		EXPECT_EQ(f->vms[to == 4 ? 1 : 4]->name, text("runner_up"));
		json_t *c = candidate(f->vms[to]->name);

		EXPECT_EQ(1, json_real_value(json_object_get(c, "share")));
		EXPECT_EQ(10, json_integer_value(json_object_get(c, "slots")));
		EXPECT_LT(0, json_integer_value(json_object_get(c, "limit")));
		for (int i = 0; i < 5; i++)
			EXPECT_EQ(200,
				  call(v, "GET", path, keys["parish"]).status);
		EXPECT_NE(std::string::npos, executions(to).find(path));
		EXPECT_EQ(std::string::npos,
			  executions(to == 4 ? 1 : 4).find(path));
	}
	/* As text, with the name of the choice. */
	EXPECT_NE(std::string::npos,
		  cli("where GET /stock/list --org parish")
			  .find(std::string("sent to: ") + f->vms[4]->name));

	/* Nothing is sent or counted by asking. */
	const char *none = "fulmar_answers_total{class=\"normal\","
			   "reason=\"route-unknown\"}";
	int64_t before = metric(0, none);

	ask(0, "GET /unknown");
	EXPECT_EQ(before, metric(0, none));
	expect_refused_as(call(0, "GET", "/unknown", ""));
	ask(0, "GET /rota/%2e%2e/x");
	expect_refused_as(call(0, "GET", "/rota/%2e%2e/x", ""));
	ask(0, "GET /rota/week");
	expect_refused_as(call(0, "GET", "/rota/week", ""));
	ask(0, "GET /rota/week --org nobody");
	expect_refused_as(call(0, "GET", "/rota/week", "fpk_none"));
	ask(0, "GET /rota/week --org keyless");
	expect_refused_as(call(0, "GET", "/rota/week", "fpk_none"));
	ask(0, "GET /void");
	expect_refused_as(call(0, "GET", "/void", ""));
	EXPECT_EQ("no node of the service is known here", text("why"));
}

TEST_F(Where, TakesNoTokenAndTellsOfARateThatIsUsedUp)
{
	Answer a;
	int64_t from_us;

	start({ "rota", "stock", "notice", "order" });
	declare(std::string(DECLARATIONS) + MORE);
	make_key("parish");
	make_key("tiny");
	wait_serving(0, "/stock/list", keys["parish"]);
	for (int i = 0; i < 20; i++)
		ask(0, "GET /stock/list --org tiny");
	EXPECT_EQ("sent", text("decision"));
	EXPECT_TRUE(json_is_true(json_object_get(w, "owner_decides")));
	for (int i = 0; i < 2; i++) {
		a = call(0, "GET", "/stock/list", keys["tiny"]);
		EXPECT_EQ(200, a.status) << a.reason;
	}
	/* The next token comes a second after the last: what is asked and sent
	 * within that time is compared. */
	for (int tries = 0; tries < 5; tries++) {
		while (call(0, "GET", "/stock/list", keys["tiny"]).status !=
		       200)
			usleep(50000);
		from_us = fp_mono_us(fp_system_clock());
		call(0, "GET", "/stock/list", keys["tiny"]);
		ask(0, "GET /stock/list --org tiny");
		a = call(0, "GET", "/stock/list", keys["tiny"]);
		if (fp_mono_us(fp_system_clock()) - from_us < 700000)
			break;
	}
	EXPECT_EQ("over-rate", a.reason);
	expect_refused_as(a);
}

TEST_F(Where, AsksForTheOperatorsKeyAndTellsOfAStop)
{
	char path[FLEET_PATH_BYTES];
	std::string right;
	std::string out;

	start({ "rota", "stock", "notice", "order" });
	declare();
	wait_serving(3, "/notice", "");
	right = f->operator_key_path;
	ASSERT_TRUE(fleet_write_file(f, "wrong", "not-a-key\n", path,
				     sizeof(path)));
	strcpy(f->operator_key_path, path);
	out = cli("where GET /notice", &rc);
	EXPECT_EQ(1, rc) << out;
	EXPECT_NE(std::string::npos, out.find("401")) << out;
	strcpy(f->operator_key_path, right.c_str());
	EXPECT_EQ(
		401,
		call(0, "POST", "/v1/where", "", "{}", {}, FLEET_ADMIN).status);

	fleet_process_signal(&f->vms[3]->node, SIGTERM);
	EXPECT_TRUE(wait_until(
		[&] {
			out = cli("where GET /notice", &rc, 3);
			return rc == 0 &&
			       out.find("(leaving)") != std::string::npos;
		},
		2000))
		<< out;
	EXPECT_TRUE(wait_until(
		[&] {
			out = cli("where GET /notice", &rc, 3);
			return rc == 3;
		},
		15000))
		<< out;
}
