/* test_config_edit.cc - operators' changes, differences and HTTP bodies */
#include <gtest/gtest.h>

#include <jansson.h>

#include <cstdlib>
#include <cstring>
#include <string>

#include "coordination/config_diff.h"
#include "coordination/config_edit.h"
#include "coordination/operator_api.h"
#include "protocol/config_codec.h"
#include "protocol/config_tables.h"
#include "protocol/declarations.h"

namespace
{

class Edit : public testing::Test
{
      protected:
	void SetUp() override
	{
		ASSERT_EQ(FP_OK,
			  fp_declarations_load("docs/examples/maua-rota.toml",
					       &rota));
		ASSERT_EQ(FP_OK, fp_declarations_load(
					 "docs/examples/jadran.toml", &jadran));
		ch.declarations = rota;
		ASSERT_EQ(FP_OK, run(FP_CHANGE_APPLY, "", "c1"));
	}

	void TearDown() override
	{
		fp_config_end(current);
		fp_config_end(rota);
		fp_config_end(jadran);
	}

	/* Makes one change; when accepted, current becomes the new revision. */
	enum fp_status run(enum fp_change_kind kind, const char *name,
			   const char *change_id, const char *key_id = "")
	{
		struct fp_config *next = nullptr;
		enum fp_status st;

		ch.kind = kind;
		ch.base_revision = current ? current->revision : 0;
		snprintf(ch.name, sizeof(ch.name), "%s", name);
		snprintf(ch.key_id, sizeof(ch.key_id), "%s", key_id);
		snprintf(ch.change_id, sizeof(ch.change_id), "%s", change_id);
		memset(ch.hash, change_id[1], sizeof(ch.hash));
		st = fp_config_edit(current, &ch, &next);
		EXPECT_EQ(st == FP_OK, next != nullptr);
		if (next) {
			fp_config_end(current);
			current = next;
		}
		return st;
	}

	std::string diff(const struct fp_config *from)
	{
		char *text = fp_config_diff(from, current);
		std::string s = text;

		free(text);
		return s;
	}

	struct fp_config *current = nullptr;
	struct fp_config *rota = nullptr;
	struct fp_config *jadran = nullptr;
	struct fp_change ch = {};
};

TEST_F(Edit, FirstApplyMakesRevisionOne)
{
	EXPECT_EQ(1u, current->revision);
	EXPECT_EQ(8u, current->n_orgs);
	EXPECT_EQ(7u, current->n_routes);
	EXPECT_STREQ("c1", current->change_id);
	EXPECT_TRUE(fp_config_has_change(current, "c1"));
	EXPECT_FALSE(fp_config_has_change(current, "c2"));
}

TEST_F(Edit, BaseRevisionMustBeTheCurrentOne)
{
	struct fp_config *next = nullptr;

	ch.base_revision = 0;
	EXPECT_EQ(FP_CONFLICT, fp_config_edit(current, &ch, &next));
	ch.base_revision = 2;
	EXPECT_EQ(FP_CONFLICT, fp_config_edit(current, &ch, &next));
	EXPECT_EQ(nullptr, next);
}

TEST_F(Edit, KeysKeepTheirOrganisation)
{
	uint8_t hash[FP_KEY_HASH_BYTES];
	uint32_t org;

	ASSERT_EQ(FP_OK, run(FP_CHANGE_KEY_CREATE, "tanga-parish", "c2", "k"));
	EXPECT_EQ(FP_NOT_FOUND, run(FP_CHANGE_KEY_CREATE, "x", "c3", "k2"));
	EXPECT_EQ(FP_INVALID,
		  run(FP_CHANGE_KEY_CREATE, "tanga-parish", "c4", "k"));
	memset(hash, '2', sizeof(hash));
	ASSERT_EQ(FP_OK, fp_config_find_key(current, hash, &org));
	EXPECT_STREQ("tanga-parish", current->orgs[org].name);
	/* The same organisations in another order. */
	std::swap(rota->orgs[0], rota->orgs[7]);
	ASSERT_EQ(FP_OK, run(FP_CHANGE_APPLY, "", "c5"));
	ASSERT_EQ(FP_OK, fp_config_find_key(current, hash, &org));
	EXPECT_STREQ("tanga-parish", current->orgs[org].name);
}

TEST_F(Edit, WithdrawnKeysStayWithdrawn)
{
	uint8_t hash[FP_KEY_HASH_BYTES];
	uint32_t org;

	memset(hash, '2', sizeof(hash));
	ASSERT_EQ(FP_OK, run(FP_CHANGE_KEY_CREATE, "tanga-parish", "c2", "k"));
	EXPECT_EQ(FP_NOT_FOUND, run(FP_CHANGE_KEY_WITHDRAW, "", "c3", "k2"));
	ch.declarations = jadran;
	EXPECT_EQ(FP_DENIED, run(FP_CHANGE_APPLY, "", "c4"));
	EXPECT_NE(nullptr, strstr(fp_last_message(), "\"tanga-parish\""));
	ASSERT_EQ(FP_OK, run(FP_CHANGE_KEY_WITHDRAW, "", "c5", "k"));
	EXPECT_EQ(FP_DENIED, fp_config_find_key(current, hash, &org));
	ASSERT_EQ(FP_OK, run(FP_CHANGE_APPLY, "", "c6"));
	ch.declarations = rota;
	ASSERT_EQ(FP_OK, run(FP_CHANGE_APPLY, "", "c7"));
	EXPECT_EQ(FP_DENIED, fp_config_find_key(current, hash, &org));
	EXPECT_EQ(FP_INVALID,
		  run(FP_CHANGE_KEY_CREATE, "tanga-parish", "c2", "k3"))
		<< "the text of a withdrawn key never works again";
}

TEST_F(Edit, ForceWithdrawsKeysOfDroppedOrganisations)
{
	struct fp_config *decoded = nullptr;
	char *text = nullptr;

	ASSERT_EQ(FP_OK, run(FP_CHANGE_KEY_CREATE, "tanga-parish", "c2", "k"));
	ch.declarations = jadran;
	ch.force = true;
	ASSERT_EQ(FP_OK, run(FP_CHANGE_APPLY, "", "c3"));
	EXPECT_TRUE(current->keys[0].withdrawn);
	ASSERT_EQ(FP_OK, fp_config_encode(current, &text));
	ASSERT_EQ(FP_OK, fp_config_decode(text, strlen(text), &decoded))
		<< fp_last_message();
	EXPECT_TRUE(decoded->keys[0].withdrawn);
	fp_config_end(decoded);
	free(text);
}

TEST_F(Edit, PresetStaysInForceAfterApply)
{
	EXPECT_EQ(FP_NOT_FOUND, run(FP_CHANGE_PRESET_USE, "night", "c2"));
	ASSERT_EQ(FP_OK, run(FP_CHANGE_PRESET_USE, "peak", "c3"));
	std::swap(rota->presets[0], rota->presets[1]);
	ASSERT_EQ(FP_OK, run(FP_CHANGE_APPLY, "", "c4"));
	EXPECT_STREQ("peak", current->presets[current->active_preset].name);
}

TEST_F(Edit, LastOperatorIsNotRemoved)
{
	ASSERT_EQ(FP_OK, run(FP_CHANGE_OPERATOR_ADD, "ann", "c2"));
	EXPECT_EQ(FP_DENIED, run(FP_CHANGE_OPERATOR_REMOVE, "ann", "c3"));
	ASSERT_EQ(FP_OK, run(FP_CHANGE_OPERATOR_ADD, "bob", "c4"));
	EXPECT_EQ(FP_INVALID, run(FP_CHANGE_OPERATOR_ADD, "bob", "c5"));
	EXPECT_EQ(FP_INVALID, run(FP_CHANGE_OPERATOR_ADD, "eve", "c4"));
	EXPECT_EQ(FP_NOT_FOUND, run(FP_CHANGE_OPERATOR_REMOVE, "eve", "c6"));
	ASSERT_EQ(FP_OK, run(FP_CHANGE_OPERATOR_REMOVE, "ann", "c7"));
	EXPECT_STREQ("bob", current->operators[0].name);
}

TEST_F(Edit, KeepsTheNewestChangeIds)
{
	int i;

	for (i = 2; i <= 70; i++)
		ASSERT_EQ(FP_OK, run(FP_CHANGE_PRESET_USE, "peak",
				     ("c" + std::to_string(i)).c_str()));
	EXPECT_EQ(64u, current->n_recent_change_ids);
	EXPECT_STREQ("c70", current->recent_change_ids[0]);
	EXPECT_STREQ("c7", current->recent_change_ids[63]);
	EXPECT_EQ(70u, current->revision);
}

TEST_F(Edit, DiffListsAllChanges)
{
	struct fp_config *before = fp_config_copy(current);

	rota->routes[0].deadline_ms = 900;
	rota->routes[0].cls = FP_CLASS_IMPORTANT;
	snprintf(rota->orgs[7].name, FP_NAME_BYTES, "zanzibar-parish");
	ASSERT_EQ(FP_OK, run(FP_CHANGE_APPLY, "", "c2"));
	ASSERT_EQ(FP_OK, run(FP_CHANGE_PRESET_USE, "peak", "c3"));
	ASSERT_EQ(FP_OK,
		  run(FP_CHANGE_KEY_CREATE, "zanzibar-parish", "c4", "k"));
	EXPECT_EQ("~ preset in force ordinary -> peak\n"
		  "- organisation tanga-parish rate_per_s 20 burst 40\n"
		  "+ organisation zanzibar-parish rate_per_s 20 burst 40\n"
		  "~ route rota-look-up class normal -> important, deadline_ms "
		  "1500 -> 900\n"
		  "+ key k organisation zanzibar-parish withdrawn false\n",
		  diff(before));
	EXPECT_EQ("", diff(current));
	EXPECT_NE("", diff(nullptr));
	fp_config_end(before);
}

/* Makes the change of a request body; *current becomes the new revision when it
 * is accepted. */
enum fp_status post(struct fp_config **current, const std::string &body,
		    std::string *answer)
{
	struct fp_config *next = nullptr;
	char *text = nullptr;
	enum fp_status st =
		fp_operator_change(*current, body.c_str(), &next, &text);

	*answer = text ? text : "";
	free(text);
	if (next) {
		fp_config_end(*current);
		*current = next;
	}
	return st;
}

std::string body(const char *id, int base, const char *command,
		 const std::string &args)
{
	return std::string("{\"change_id\":\"") + id +
	       "\",\"base_revision\":" + std::to_string(base) +
	       ",\"command\":\"" + command + "\",\"args\":" + args + "}";
}

const std::string hash(64, 'a');

TEST_F(Edit, RepeatedRequestIsAcceptedOnce)
{
	const std::string add = "{\"name\":\"ann\",\"hash\":\"" + hash + "\"}";
	std::string answer;

	EXPECT_EQ(FP_OK,
		  post(&current, body("c2", 1, "operator-add", add), &answer));
	EXPECT_EQ("{\"accepted\":true,\"revision\":2,\"before\":false}",
		  answer);
	EXPECT_EQ(FP_OK,
		  post(&current, body("c2", 1, "operator-add", add), &answer));
	EXPECT_EQ("{\"accepted\":true,\"revision\":2,\"before\":true}", answer);
	EXPECT_EQ(1u, current->n_operators);
	EXPECT_EQ(FP_CONFLICT,
		  post(&current, body("c3", 1, "operator-add", add), &answer));
	EXPECT_EQ("{\"accepted\":false,\"conflict\":true,\"revision\":2}",
		  answer);
}

TEST_F(Edit, RequestAppliesToAnEmptyStore)
{
	json_t *j = fp_declarations_to_json(jadran);
	char *json = json_dumps(j, 0);
	struct fp_config *config = nullptr;
	std::string answer;

	EXPECT_EQ(FP_OK, post(&config,
			      body("c1", 0, "apply",
				   std::string("{\"declarations\":") + json +
					   ",\"force\":false}"),
			      &answer))
		<< answer;
	ASSERT_NE(nullptr, config);
	EXPECT_EQ(8u, config->n_orgs);
	fp_config_end(config);
	free(json);
	json_decref(j);
}

TEST_F(Edit, InvalidRequestIsRefusedWithReason)
{
	const struct {
		std::string body;
		enum fp_status status;
		const char *reason;
	} cases[] = {
		{ "", FP_INVALID, "change_id: expected" },
		{ "[]", FP_INVALID, "change_id: expected" },
		{ body("C 2", 1, "apply", "{}"), FP_INVALID, "change_id" },
		{ body("c2", -1, "apply", "{}"), FP_INVALID, "base_revision" },
		{ body("c2", 1, "apply", "1"), FP_INVALID, "args: expected" },
		{ body("c2", 1, "drop", "{}"), FP_INVALID, "command: unknown" },
		{ body("c2", 1, "apply", "{}"), FP_INVALID, "organisations" },
		{ body("c2", 1, "key-withdraw", "{\"id\":\"k\"}"), FP_NOT_FOUND,
		  "no key with id" },
		{ body("c2", 1, "key-create", "{\"organisation\":\"a\"}"),
		  FP_INVALID, "id: expected" },
		{ body("c2", 1, "operator-add",
		       "{\"name\":\"a\",\"hash\":\"b\"}"),
		  FP_INVALID, "hash: expected 64" },
		{ body("c2", 1, "preset-use", "{\"name\":\"night\"}"),
		  FP_NOT_FOUND, "no preset" },
	};

	for (const auto &t : cases) {
		std::string answer;

		EXPECT_EQ(t.status, post(&current, t.body, &answer)) << t.body;
		EXPECT_NE(std::string::npos, answer.find(t.reason)) << answer;
		EXPECT_EQ(1u, current->revision);
	}
	EXPECT_EQ(409, fp_operator_http_status(FP_CONFLICT));
	EXPECT_EQ(403, fp_operator_http_status(FP_DENIED));
}

TEST_F(Edit, BootstrapOnlyWithoutOperators)
{
	uint8_t bootstrap_hash[FP_KEY_HASH_BYTES];
	const char *name;

	fp_key_hash("boot", 4, bootstrap_hash);
	EXPECT_EQ(FP_OK, fp_operator_check(current, bootstrap_hash,
					   "Bearer boot", &name));
	EXPECT_STREQ("bootstrap", name);
	EXPECT_EQ(FP_OK, fp_operator_check(nullptr, bootstrap_hash,
					   "bearer boot", &name));
	EXPECT_EQ(FP_DENIED, fp_operator_check(current, bootstrap_hash,
					       "Bearer b", &name));
	EXPECT_EQ(FP_DENIED,
		  fp_operator_check(current, bootstrap_hash, "boot", &name));
	EXPECT_EQ(FP_DENIED,
		  fp_operator_check(current, bootstrap_hash, nullptr, &name));
	EXPECT_EQ(FP_DENIED,
		  fp_operator_check(current, nullptr, "Bearer boot", &name));
	ASSERT_EQ(FP_OK, run(FP_CHANGE_OPERATOR_ADD, "ann", "c2"));
	EXPECT_EQ(FP_DENIED, fp_operator_check(current, bootstrap_hash,
					       "Bearer boot", &name));
	fp_key_hash("ann's", 5, current->operators[0].hash);
	EXPECT_EQ(FP_OK, fp_operator_check(current, bootstrap_hash,
					   "Bearer ann's", &name));
	EXPECT_STREQ("ann", name);
}

TEST(Keys, TextsAreRandomAndWellFormed)
{
	char a[FP_KEY_TEXT_BYTES];
	char b[FP_KEY_TEXT_BYTES];
	char id[FP_NAME_BYTES];

	fp_key_make("fpk_", a);
	fp_key_make("fpk_", b);
	EXPECT_EQ(47u, strlen(a));
	EXPECT_EQ(0, strncmp("fpk_", a, 4));
	EXPECT_STRNE(a, b);
	EXPECT_EQ(strlen(a), strspn(a, "abcdefghijklmnopqrstuvwxyz0123456789"
				       "ABCDEFGHIJKLMNOPQRSTUVWXYZ-_"));
	fp_random_name("k-", 6, id);
	EXPECT_EQ(14u, strlen(id));
	EXPECT_TRUE(fp_name_valid(id));
}

} // namespace
