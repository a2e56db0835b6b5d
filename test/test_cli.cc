/* test_cli.cc - the command line: usage, files, and outcomes of changes
 *
 * Changes run against a simulated admin port in this process. A script makes it
 * lose answers, drop requests or apply another operator's change first.
 */
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

#include "coordination/config_edit.h"
#include "coordination/operator_api.h"
#include "protocol/config_codec.h"
#include "protocol/declarations.h"

namespace
{

struct output {
	int code;
	std::string text; /* standard output and error */
};

/* Runs the binary with arguments and environment assignments. */
output run(const std::string &args, const std::string &env = "")
{
	const char *build = getenv("FP_BUILD");
	std::string line = env + " ./" + (build ? build : "build-release") +
			   "/fulmarpass " + args + " 2>&1";
	FILE *p = popen(line.c_str(), "r");
	output o = {};
	char buf[4096];
	size_t n;

	while ((n = fread(buf, 1, sizeof(buf), p)) > 0)
		o.text.append(buf, n);
	o.code = WEXITSTATUS(pclose(p));
	return o;
}

std::string write_file(const std::string &name, const std::string &text)
{
	std::string path = testing::TempDir() + "fp_cli_" +
			   std::to_string(getpid()) + name;

	std::ofstream(path) << text;
	return path;
}

TEST(Cli, ExplainSortsLinesOfOneRequest)
{
	auto log_line = [](const char *time, const char *rest) {
		return std::string("time=2026-12-04T10:00:") + time +
		       "Z level=info event=" + rest + "\n";
	};
	std::string a = write_file(
		"a.log",
		log_line("02.000000", "refused id=ab12 reason=deadline") +
			log_line("03.000000", "refused id=ab123 reason=other") +
			log_line("00.000000", "started node=a") +
			log_line("01.000000",
				 "call_retried id=ab12 reason=cut"));
	std::string b = write_file(
		"b.log",
		"noise\n" +
			log_line("01.500000", "execution_failed "
					      "id=ab12.77 reason=x") +
			log_line("01.200000", "execution_failed id=cd.12"));
	output o = run("explain ab12 " + a + " " + b);

	EXPECT_EQ(0, o.code) << o.text;
	size_t first = o.text.find("event=call_retried id=ab12");
	size_t second = o.text.find("event=execution_failed id=ab12.77");
	size_t third = o.text.find("event=refused id=ab12 ");
	EXPECT_NE(std::string::npos, first);
	EXPECT_LT(first, second);
	EXPECT_LT(second, third);
	EXPECT_NE(std::string::npos, third);
	EXPECT_EQ(std::string::npos, o.text.find("ab123"));
	EXPECT_EQ(std::string::npos, o.text.find("cd.12"));
	/* For a nested request, the lines of its parents are shown too. */
	o = run("explain ab12.77 " + a + " " + b + " --json");
	EXPECT_EQ(0, o.code);
	EXPECT_NE(std::string::npos, o.text.find("reason=deadline"));
	o = run("explain ffff " + a);
	EXPECT_EQ(1, o.code);
	EXPECT_NE(std::string::npos, o.text.find("no line of request ffff"));
	EXPECT_EQ(2, run("explain ab12").code);
	EXPECT_EQ(2, run("explain ab12 /no/such.log").code);
	remove(a.c_str());
	remove(b.c_str());
}

TEST(Cli, UsageErrors)
{
	const struct {
		const char *args;
		const char *text;
	} cases[] = {
		{ "", "expected a command" },
		{ "fly", "unknown command" },
		{ "key", "unknown command" },
		{ "key drop x", "unknown command" },
		{ "check", "check: expected FILE" },
		{ "node", "node: expected --settings FILE" },
		{ "node a", "node: expected no argument" },
		{ "status --settings a",
		  "an option was given that this command does not accept" },
		{ "check a b", "check: expected FILE" },
		{ "where GET", "where: expected METHOD PATH" },
		{ "where GET rota", "path: expected /" },
		{ "where G:T /rota", "method: expected letters" },
		{ "where GET /rota --class big", "class: expected important" },
		{ "where GET /rota --draw x", "draw: expected a number" },
		{ "where GET /rota --org ''", "org: expected a name" },
		{ "where GET /rota --force", "does not accept" },
		{ "version now", "version: expected no argument" },
		{ "--loud", "unrecognized option" },
		{ "check a --node 1.2.3.4:5",
		  "an option was given that this command does not accept" },
		{ "status --kind settings",
		  "an option was given that this command does not accept" },
		{ "status", "no operator key" },
		{ "status --operator-key-file /nonexistent", "cannot be read" },
		{ "status --node host:1", "node: expected IP:PORT" },
		{ "check docs/examples/node.toml --kind other",
		  "kind: expected settings or declarations" },
	};

	for (const auto &t : cases) {
		output o = run(t.args);

		EXPECT_EQ(2, o.code) << t.args;
		EXPECT_NE(std::string::npos, o.text.find(t.text))
			<< t.args << ": " << o.text;
	}
}

TEST(Cli, HelpAndVersionEverywhere)
{
	const char *commands[] = { "",
				   "node",
				   "check",
				   "plan",
				   "apply",
				   "org list",
				   "key create",
				   "key withdraw",
				   "key list",
				   "operator add",
				   "operator remove",
				   "operator list",
				   "preset use",
				   "preset list",
				   "status",
				   "report",
				   "where",
				   "version" };

	for (const char *c : commands) {
		output o = run(std::string(c) + " --help");

		EXPECT_EQ(0, o.code) << c;
		EXPECT_NE(std::string::npos, o.text.find(c)) << c;
		EXPECT_NE(std::string::npos, o.text.find("Exit codes:")) << c;
		o = run(std::string(c) + " --version --json");
		EXPECT_EQ(0, o.code) << c;
		EXPECT_NE(std::string::npos, o.text.find("\"version\": \""));
	}
}

/* The page lists each command and exit code of --help with its text. In the
 * help a command begins in column 3, its text in column 27; an exit code
 * begins in column 3, its text after it. */
TEST(Cli, CommandsPageMatchesHelp)
{
	std::ifstream in("docs/COMMANDS.md");
	std::string page((std::istreambuf_iterator<char>(in)),
			 std::istreambuf_iterator<char>());
	std::istringstream help(run("--help").text);
	std::string line;
	int rows = 0;

	while (std::getline(help, line)) {
		bool command = line.size() > 27 && line[2] >= 'a';
		bool code = line.size() > 5 && isdigit(line[2]);
		std::string word;
		std::string text;

		if (line.rfind("  ", 0) != 0 || (!command && !code))
			continue;
		word = line.substr(0, code ? 3 : 26);
		text = line.substr(word.size());
		word = word.substr(2, word.find_last_not_of(' ') - 1);
		if (command)
			word = "`" + word + "`";
		text = text.substr(text.find_first_not_of(' '));
		word = "| " + word + " | " + text + " |\n";
		EXPECT_NE(std::string::npos, page.find(word)) << word;
		rows++;
	}
	EXPECT_EQ(24, rows);
}

TEST(Cli, CheckFiles)
{
	std::string bad = write_file("bad.toml", "[node]\nnme = \"x\"\n");
	output o = run("check " + bad);

	EXPECT_EQ(2, o.code);
	EXPECT_NE(std::string::npos, o.text.find(bad + ":2: [node] nme: "));
	o = run("check --json " + bad);
	EXPECT_EQ(2, o.code);
	EXPECT_NE(std::string::npos, o.text.find("\"done\": false"));
	o = run("check " + bad + " --kind declarations");
	EXPECT_NE(std::string::npos, o.text.find(bad + ":1: [node]: "));
	EXPECT_EQ(2, run("check /nonexistent").code);
	EXPECT_EQ(2, run("node --settings " + bad).code);
	EXPECT_EQ(2, run("plan " + bad).code);
	EXPECT_EQ(0, run("check docs/examples/node.toml").code);
	EXPECT_EQ(0, run("check docs/examples/jadran.toml").code);
	EXPECT_NE(std::string::npos, run("check docs/examples/maua-rota.toml")
					     .text.find("valid declarations"));
	remove(bad.c_str());
}

/* Fault of one POST of a change. Without an entry in the script: OK. */
enum fault {
	OK,
	ANSWER_LOST, /* takes effect, the answer is lost */
	DROPPED, /* no effect, no answer */
	UNKNOWN_DONE, /* 202, takes effect */
	UNKNOWN_NOT_DONE, /* 202, no effect */
	STORE_DOWN, /* 503, no effect */
	RACE, /* another operator's change takes effect before it */
	ANSWER_LOST_THEN_RACE, /* takes effect, then another's; answer lost */
	GARBLED, /* 200 whose body is not JSON, no effect */
};

class Changes : public testing::Test
{
      protected:
	void SetUp() override
	{
		struct sockaddr_in addr = {};
		const union MHD_DaemonInfo *info;

		addr.sin_family = AF_INET;
		addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		fp_key_hash("boot", 4, bootstrap);
		daemon = MHD_start_daemon(
			MHD_USE_AUTO | MHD_USE_INTERNAL_POLLING_THREAD, 0,
			nullptr, nullptr, handle, this, MHD_OPTION_SOCK_ADDR,
			&addr, MHD_OPTION_END);
		ASSERT_NE(nullptr, daemon);
		info = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT);
		env = "FULMARPASS_OPERATOR_KEY=boot "
		      "FULMARPASS_NODE=127.0.0.1:" +
		      std::to_string(info->port);
	}

	void TearDown() override
	{
		MHD_stop_daemon(daemon);
		fp_config_end(current);
	}

	static enum MHD_Result handle(void *cls, struct MHD_Connection *c,
				      const char *url, const char *method,
				      const char *, const char *data,
				      size_t *size, void **state)
	{
		Changes *t = (Changes *)cls;
		std::string *body = (std::string *)*state;
		enum MHD_Result rc;

		if (!body) {
			*state = new std::string;
			return MHD_YES;
		}
		if (*size) {
			body->append(data, *size);
			*size = 0;
			return MHD_YES;
		}
		rc = t->answer(c, url, method, *body);
		delete body;
		*state = nullptr;
		return rc;
	}

	enum MHD_Result reply(struct MHD_Connection *c, int code,
			      const std::string &text)
	{
		struct MHD_Response *r = MHD_create_response_from_buffer(
			text.size(), (void *)text.data(),
			MHD_RESPMEM_MUST_COPY);
		enum MHD_Result rc = MHD_queue_response(c, code, r);

		MHD_destroy_response(r);
		return rc;
	}

	enum MHD_Result answer(struct MHD_Connection *c, const char *url,
			       const char *method, const std::string &body)
	{
		std::lock_guard<std::mutex> lock(mutex);
		const char *operator_name;

		if (fp_operator_check(
			    current, bootstrap,
			    MHD_lookup_connection_value(c, MHD_HEADER_KIND,
							"Authorization"),
			    &operator_name))
			return reply(c, 401, "{\"accepted\":false}");
		if (strcmp(method, "POST") == 0)
			return post(c, body);
		if (strcmp(url, "/v1/status") == 0)
			return reply(c, 200, status);
		return reply(c, 200, current ? record() : "{}");
	}

	std::string record()
	{
		char *text = nullptr;
		std::string s;

		EXPECT_EQ(FP_OK, fp_config_encode(current, &text));
		s = text;
		free(text);
		return s;
	}

	/* Applies a change; returns the HTTP status of its answer. */
	int change(const std::string &body, std::string *text)
	{
		struct fp_config *next = nullptr;
		char *json = nullptr;
		enum fp_status st =
			fp_operator_change(current, body.c_str(), &next, &json);

		*text = json;
		free(json);
		if (next) {
			fp_config_end(current);
			current = next;
		}
		return fp_operator_http_status(st);
	}

	/* Applies a change of another operator. */
	void change_by_other_operator()
	{
		std::string text;
		std::string id = "other" + std::to_string(current->revision);

		EXPECT_EQ(200,
			  change("{\"change_id\":\"" + id +
					 "\",\"base_revision\":" +
					 std::to_string(current->revision) +
					 ",\"command\":\"preset-use\","
					 "\"args\":{\"name\":"
					 "\"maintenance\"}}",
				 &text));
	}

	enum MHD_Result post(struct MHD_Connection *c, const std::string &body)
	{
		enum fault f = n_posts < script.size() ? script[n_posts] : OK;
		std::string text;
		int code;

		n_posts++;
		if (f == DROPPED)
			return MHD_NO;
		if (f == STORE_DOWN)
			return reply(c, 503,
				     "{\"accepted\":false,"
				     "\"reason\":\"store down\"}");
		if (f == UNKNOWN_NOT_DONE)
			return reply(c, 202, "{\"accepted\":\"unknown\"}");
		if (f == GARBLED)
			return reply(c, 200, "<html>");
		if (f == RACE)
			change_by_other_operator();
		code = change(body, &text);
		if (f == ANSWER_LOST_THEN_RACE)
			change_by_other_operator();
		if (f == ANSWER_LOST || f == ANSWER_LOST_THEN_RACE)
			return MHD_NO;
		if (f == UNKNOWN_DONE)
			return reply(c, 202, "{\"accepted\":\"unknown\"}");
		return reply(c, code, text);
	}

	output cli(const std::string &args)
	{
		return ::run(args, env);
	}

	/* Applies the example if there is no record, and starts a script. */
	void start_script(const std::vector<enum fault> &s)
	{
		if (!current) {
			ASSERT_EQ(0,
				  cli("apply docs/examples/jadran.toml").code);
		}
		script = s;
		n_posts = 0;
	}

	std::string active_preset()
	{
		return current->presets[current->active_preset].name;
	}

	struct MHD_Daemon *daemon = nullptr;
	std::mutex mutex;
	struct fp_config *current = nullptr;
	uint8_t bootstrap[FP_KEY_HASH_BYTES];
	std::vector<enum fault> script;
	size_t n_posts = 0;
	std::string env;
	std::string status = "{}";
};

/* Whatever answers are lost, the exit code reports whether the change took
 * effect: 0 yes, 1 no, 4 unknown, 5 conflict with another operator. */
TEST_F(Changes, ExitCodeReportsWhetherTheChangeTookEffect)
{
	const struct {
		std::vector<enum fault> script;
		int code;
		const char *active_preset;
		uint64_t revisions; /* made by any operator */
	} cases[] = {
		{ { OK }, 0, "peak", 1 },
		{ { ANSWER_LOST }, 0, "peak", 1 },
		{ { DROPPED }, 0, "peak", 1 },
		{ { DROPPED, DROPPED, ANSWER_LOST }, 0, "peak", 1 },
		{ { UNKNOWN_DONE }, 0, "peak", 1 },
		{ { UNKNOWN_NOT_DONE }, 0, "peak", 1 },
		{ { UNKNOWN_NOT_DONE, STORE_DOWN }, 0, "peak", 1 },
		{ { GARBLED }, 0, "peak", 1 },
		{ { STORE_DOWN }, 1, "ordinary", 0 },
		{ { RACE }, 5, "maintenance", 1 },
		{ { DROPPED, RACE }, 5, "maintenance", 1 },
		{ { ANSWER_LOST_THEN_RACE }, 0, "maintenance", 2 },
		{ { DROPPED, DROPPED, DROPPED, DROPPED, DROPPED },
		  4,
		  "ordinary",
		  0 },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		uint64_t before;
		output o;

		start_script({});
		ASSERT_EQ(0, cli("preset use ordinary").code);
		before = current->revision;
		start_script(cases[i].script);
		o = cli("preset use peak");
		EXPECT_EQ(cases[i].code, o.code) << i << ": " << o.text;
		EXPECT_EQ(cases[i].active_preset, active_preset()) << i;
		EXPECT_EQ(cases[i].revisions, current->revision - before) << i;
		if (cases[i].code == 5) {
			EXPECT_NE(std::string::npos,
				  o.text.find("~ preset in force ordinary -> "
					      "maintenance"))
				<< o.text;
		}
	}
}

TEST_F(Changes, KeyIsPrintedOnceAndChangesAreRetriedAfterConflict)
{
	output o;
	std::string key;
	std::string id;
	uint8_t hash[FP_KEY_HASH_BYTES];
	uint32_t org;

	start_script({ RACE, DROPPED, RACE });
	o = cli("key create zadar-weekly");
	ASSERT_EQ(0, o.code) << o.text;
	key = o.text.substr(o.text.find("fpk_"), 47);
	id = o.text.substr(o.text.find("k-"), 14);
	fp_key_hash(key.data(), key.size(), hash);
	ASSERT_EQ(FP_OK, fp_config_find_key(current, hash, &org));
	EXPECT_STREQ("zadar-weekly", current->orgs[org].name);
	EXPECT_EQ(1u, current->n_keys);
	EXPECT_EQ(std::string::npos, record().find(key));
	EXPECT_NE(std::string::npos, cli("key list").text.find(id));
	start_script({ RACE });
	EXPECT_EQ(0, cli("key withdraw " + id).code);
	EXPECT_EQ(FP_DENIED, fp_config_find_key(current, hash, &org));
	EXPECT_EQ(1, cli("key withdraw k-none").code);
	EXPECT_EQ(1, cli("key create nobody").code);
	EXPECT_EQ(2, cli("key create NoBody").code);
}

TEST_F(Changes, PlanPrintsDifferenceAndApplyIsAtomic)
{
	output o = cli("plan docs/examples/jadran.toml");

	EXPECT_EQ(0, o.code) << o.text;
	EXPECT_NE(std::string::npos,
		  o.text.find("+ organisation zadar-weekly rate_per_s 15"));
	EXPECT_EQ(nullptr, current);
	start_script({});
	o = cli("apply docs/examples/jadran.toml");
	EXPECT_EQ("no change\nrevision 1\n", o.text);
	ASSERT_EQ(0, cli("key create zadar-weekly").code);
	EXPECT_EQ(1, cli("apply docs/examples/maua-rota.toml").code);
	EXPECT_EQ(2u, current->revision);
	EXPECT_EQ(0, cli("apply docs/examples/maua-rota.toml --force").code);
	EXPECT_TRUE(current->keys[0].withdrawn);
	EXPECT_NE(std::string::npos, cli("org list").text.find("tanga-parish"));
	EXPECT_NE(std::string::npos,
		  cli("preset list --json").text.find("\"in_force\": true"));
}

TEST_F(Changes, OperatorsAndBootstrap)
{
	std::string file;
	std::string key;
	output o;

	start_script({});
	o = cli("operator add ann");
	ASSERT_EQ(0, o.code) << o.text;
	key = o.text.substr(o.text.find("fpo_"), 47);
	EXPECT_EQ(1, cli("operator add bob").code)
		<< "the bootstrap key is valid only until the first operator";
	file = write_file("key", key + "\n");
	EXPECT_EQ(0, cli("operator add bob --operator-key-file " + file).code);
	EXPECT_EQ(0,
		  cli("operator remove bob --operator-key-file " + file).code);
	EXPECT_EQ(1,
		  cli("operator remove ann --operator-key-file " + file).code);
	EXPECT_EQ(std::string::npos, record().find(key));
	remove(file.c_str());
}

TEST_F(Changes, StatusPrintsTables)
{
	output o;

	status = "{\"nodes\":[{\"alive\":true,\"name\":\"n1\"},"
		 "{\"name\":\"n22\",\"alive\":false,\"note\":\"a\\u001bb\"}],"
		 "\"workers\":[],\"config\":{\"revision\":3}}";
	o = cli("status");
	EXPECT_EQ("nodes\n"
		  "name  alive  note\n"
		  "n1    yes    -   \n"
		  "n22   no     a?b \n"
		  "\nworkers\nnone\n"
		  "\nconfig\nrevision\n3       \n\n",
		  o.text);
	EXPECT_EQ(0, cli("status --json").code);
	EXPECT_EQ(3, run("status --node 127.0.0.1:1", env).code);
	EXPECT_EQ(3, run("preset use peak --node 127.0.0.1:1", env).code);
}

} // namespace
