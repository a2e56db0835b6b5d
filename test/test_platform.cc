/* test_platform.cc - decoding of the platform's heartbeats and configuration */
#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include "base/log.h"
#include "platform/platform.h"

namespace
{

enum fp_status read_heartbeat(const std::string &method, const std::string &uri,
			      const std::string &body,
			      struct fp_announcement *a)
{
	return platform_dialect.announcement(
		method.c_str(), uri.c_str(),
		reinterpret_cast<const uint8_t *>(body.data()), body.size(), a);
}

const std::string heartbeat =
	"{\"service\":\"rota\",\"address\":\"10.1.0.2:80\",\"zone\":\"a\","
	"\"version\":\"v1\",\"slots\":36,\"state\":\"ready\","
	"\"coldRemaining\":\"0ms\",\"sequence\":4,\"born\":1788008443000}";

std::string heartbeat_with(const std::string &from, const std::string &to)
{
	std::string text = heartbeat;

	return text.replace(text.find(from), from.size(), to);
}

TEST(Heartbeat, ReadyServerIsDecoded)
{
	struct fp_announcement a;

	ASSERT_EQ(FP_OK, read_heartbeat("PUT", "/instances/i-7", heartbeat, &a))
		<< fp_last_message();
	EXPECT_STREQ("i-7", a.instance);
	EXPECT_STREQ("rota", a.service);
	EXPECT_STREQ("10.1.0.2:80", a.address);
	EXPECT_EQ(36u, a.slots);
	EXPECT_TRUE(a.serving);
	EXPECT_FALSE(a.deregister);
	EXPECT_TRUE(a.has_sequence);
	EXPECT_EQ(4u, a.sequence);
	EXPECT_EQ(1788008443000, a.started_ms);
	EXPECT_EQ(0, a.slow_start_us);
	ASSERT_EQ(FP_OK,
		  read_heartbeat("PUT", "/instances/i-7",
				 heartbeat_with("\"0ms\"", "\"2.5s\""), &a));
	EXPECT_EQ(2500000, a.slow_start_us);
}

TEST(ServerLoad, ThreeNumbersAndMoreAreDecoded)
{
	const struct {
		const char *text;
		struct fp_backend_load load;
	} rows[] = {
		{ "3,0,8", { 3, 0, 8, 0 } },
		{ "3,0,8,100", { 3, 0, 8, 100 } },
		{ "0,0,0,0", { 0, 0, 0, 0 } },
		{ "40,7,41,250", { 40, 7, 41, 250 } },
		{ "40,7,41,250,9", { 40, 7, 41, 250 } },
		{ "40,7,41,250,9,0,4294967295", { 40, 7, 41, 250 } },
		{ "4294967295,0,8", { UINT32_MAX, 0, 8, 0 } },
	};

	for (const auto &row : rows) {
		struct fp_backend_load load = { 9, 9, 9, 9 };

		ASSERT_EQ(FP_OK, platform_dialect.load(row.text, &load))
			<< row.text;
		EXPECT_EQ(row.load.running, load.running) << row.text;
		EXPECT_EQ(row.load.waiting, load.waiting) << row.text;
		EXPECT_EQ(row.load.slots, load.slots) << row.text;
		EXPECT_EQ(row.load.work_percent, load.work_percent) << row.text;
	}
}

TEST(ServerLoad, OtherTextIsInvalid)
{
	struct fp_backend_load load;

	for (const char *text : { "",
				  ",",
				  "3",
				  "3,0",
				  "3,0,",
				  "3,,8",
				  ",3,0,8",
				  "3,0,8,",
				  "3,0,8,1,",
				  "3,0,8,1,x",
				  "-3,0,8",
				  "3,0,8,-1",
				  "+3,0,8",
				  "3, 0,8",
				  "3,0,8 ",
				  "3,0,8x",
				  "3,0,8,1.5",
				  "3;0;8",
				  "3,0,4294967296",
				  "3,0,8,4294967296",
				  "3,0,8,1,4294967296",
				  "3,0,99999999999999999999999" })
		EXPECT_EQ(FP_INVALID, platform_dialect.load(text, &load))
			<< text;
}

TEST(Heartbeat, DrainingAndDeregistrationAreDecoded)
{
	struct fp_announcement a;

	ASSERT_EQ(FP_OK,
		  read_heartbeat("PUT", "/instances/i-7",
				 heartbeat_with("\"ready\"", "\"draining\""),
				 &a));
	EXPECT_FALSE(a.serving);
	EXPECT_FALSE(a.deregister);
	ASSERT_EQ(FP_OK, read_heartbeat("DELETE", "/instances/i-7", "", &a));
	EXPECT_TRUE(a.deregister);
	EXPECT_EQ(0, a.started_ms);
	ASSERT_EQ(FP_OK, read_heartbeat("DELETE", "/instances/i-7?x=1",
					"{\"born\":7}", &a));
	EXPECT_STREQ("i-7", a.instance);
	EXPECT_EQ(7, a.started_ms);
}

/* Guards against a server that is never used because of the length of its id. */
TEST(Heartbeat, AnIdMayHave255Bytes)
{
	for (size_t len : { 1, 47, 48, 255 }) {
		std::string id(len, 'i');
		struct fp_announcement a;

		ASSERT_EQ(FP_OK, read_heartbeat("PUT", "/instances/" + id,
						heartbeat, &a))
			<< len;
		EXPECT_EQ(id, a.instance);
	}
}

TEST(Heartbeat, InvalidIsRefused)
{
	const std::string invalid[] = {
		"",
		"{",
		"[]",
		"\x80\x01\x02",
		heartbeat_with("\"slots\":36", "\"slots\":\"36\""),
		heartbeat_with("\"slots\":36", "\"slots\":0"),
		heartbeat_with("\"slots\":36", "\"slots\":1e9"),
		heartbeat_with("\"ready\"", "\"asleep\""),
		heartbeat_with("\"state\":\"ready\",", ""),
		heartbeat_with("\"sequence\":4", "\"sequence\":\"4\""),
		heartbeat_with("\"sequence\":4", "\"sequence\":-4"),
		heartbeat_with("\"service\":\"rota\",", ""),
		heartbeat_with("\"service\":\"rota\"", "\"service\":7"),
		heartbeat_with("\"address\":\"10.1.0.2:80\",", ""),
		heartbeat_with("1788008443000", "\"1788008443000\""),
		heartbeat_with("1788008443000", "1.5"),
		heartbeat_with("\"0ms\"", "7"),
		heartbeat_with("\"0ms\"", "\"soon\""),
	};
	struct fp_announcement a;

	for (const auto &body : invalid)
		EXPECT_EQ(FP_INVALID,
			  read_heartbeat("PUT", "/instances/i-7", body, &a))
			<< body;
	EXPECT_EQ(FP_INVALID,
		  read_heartbeat("PUT", "/instances/", heartbeat, &a));
	EXPECT_EQ(FP_INVALID,
		  read_heartbeat("PUT", "/instances/a/b", heartbeat, &a));
	EXPECT_EQ(FP_INVALID,
		  read_heartbeat("PUT", "/instances/" + std::string(256, 'a'),
				 heartbeat, &a));
	for (const char *id : { "a\xff", "\xc4", "a\x01", "a\x7f", "a b" })
		EXPECT_EQ(FP_INVALID,
			  read_heartbeat("PUT", std::string("/instances/") + id,
					 heartbeat, &a));
	EXPECT_EQ(FP_NOT_FOUND,
		  read_heartbeat("GET", "/instances/i-7", heartbeat, &a));
	EXPECT_EQ(FP_NOT_FOUND, read_heartbeat("PUT", "/other", heartbeat, &a));
}

const std::string record =
	"{\"version\":\"r7\",\"routes\":{"
	"\"r-a\":{\"hostname\":\"h.example\",\"pathPrefix\":\"/a/\","
	"\"kind\":\"safe\",\"timeout\":\"800ms\",\"targetLatency\":\"1.5s\","
	"\"priority\":2,\"trafficSplit\":[{\"service\":\"s1\",\"weight\":90},"
	"{\"service\":\"s2\",\"weight\":10}],\"maxAttempts\":2,"
	"\"public\":false},"
	"\"r-b\":{\"hostname\":\"h.example\",\"pathPrefix\":\"/b/\","
	"\"kind\":\"unsafe\",\"timeout\":\"1s\",\"targetLatency\":\"250ms\","
	"\"priority\":0,\"service\":\"s3\",\"maxAttempts\":1,"
	"\"public\":true}},"
	"\"services\":{},\"limits\":{},"
	"\"tenants\":{\"t1\":{\"apiKeys\":[\"k1\",\"k2\"],\"priority\":1,"
	"\"ratePerS\":160,\"burst\":161}}}";

std::string record_with(const std::string &from, const std::string &to)
{
	std::string text = record;

	return text.replace(text.find(from), from.size(), to);
}

TEST(Record, RoutesAndOrganisations)
{
	struct fp_config *c = nullptr;
	uint8_t hash[FP_KEY_HASH_BYTES];
	uint32_t org = 9;

	ASSERT_EQ(FP_OK, platform_config(record.data(), record.size(), &c))
		<< fp_last_message();
	EXPECT_EQ(7u, c->revision);
	EXPECT_FALSE(c->keyless);
	const struct fp_route *a =
		fp_config_find_route(c, "h.example", "GET", "/a/x");
	const struct fp_route *b =
		fp_config_find_route(c, "h.example", "PUT", "/b/x?y");
	ASSERT_NE(nullptr, a);
	ASSERT_NE(nullptr, b);
	EXPECT_EQ(nullptr,
		  fp_config_find_route(c, "other.example", "GET", "/a/x"));
	EXPECT_TRUE(a->idempotent);
	EXPECT_FALSE(a->open);
	EXPECT_EQ(800u, a->deadline_ms);
	EXPECT_EQ(1500u, a->latency_target_ms);
	EXPECT_EQ(FP_CLASS_SHEDDABLE, a->cls);
	EXPECT_EQ(2u, a->max_workers);
	ASSERT_EQ(2u, a->n_splits);
	EXPECT_STREQ("s2", c->splits[a->first_split + 1].service);
	EXPECT_EQ(10u, c->splits[a->first_split + 1].weight);
	EXPECT_FALSE(b->idempotent);
	EXPECT_TRUE(b->without_claim);
	EXPECT_TRUE(b->open);
	EXPECT_STREQ("s3", b->service);
	EXPECT_EQ(FP_CLASS_IMPORTANT, b->cls);
	fp_key_hash("k2", 2, hash);
	EXPECT_EQ(FP_OK, fp_config_find_key(c, hash, &org));
	EXPECT_EQ(0u, org);
	EXPECT_EQ(160u, c->orgs[0].rate_per_s);
	EXPECT_EQ(161u, c->orgs[0].burst);
	EXPECT_TRUE(c->orgs[0].has_class);
	EXPECT_EQ(FP_CLASS_NORMAL, c->orgs[0].cls);
	fp_config_end(c);
}

/* Guards against requests for "/b" that run at the service of a new route "/b/". */
TEST(Record, APathWithoutTheLastSlashOfAPrefixIsNotBelowIt)
{
	std::string text = record_with("\"/a/\"", "\"/\"");
	struct fp_config *c = nullptr;

	ASSERT_EQ(FP_OK, platform_config(text.data(), text.size(), &c));
	for (const char *path : { "/b", "/b?x=/b/", "/bb/", "/" })
		EXPECT_STREQ(
			"r-a",
			fp_config_find_route(c, "h.example", "GET", path)->name)
			<< path;
	for (const char *path : { "/b/", "/b//", "/b/x" })
		EXPECT_STREQ(
			"r-b",
			fp_config_find_route(c, "h.example", "GET", path)->name)
			<< path;
	fp_config_end(c);
}

TEST(Record, UnknownKindIsNotIdempotent)
{
	std::string text = record_with("\"safe\"", "\"keyed\"");
	struct fp_config *c = nullptr;

	ASSERT_EQ(FP_OK, platform_config(text.data(), text.size(), &c));
	EXPECT_FALSE(fp_config_find_route(c, "h.example", "GET", "/a/x")
			     ->idempotent);
	fp_config_end(c);
}

/* Uploads are not run twice, whatever else the record says of them. */
TEST(Record, AnUploadIsNotIdempotent)
{
	std::string text = record_with("\"safe\"", "\"upload\"");
	struct fp_config *c = nullptr;

	ASSERT_EQ(FP_OK, platform_config(text.data(), text.size(), &c));
	const struct fp_route *r =
		fp_config_find_route(c, "h.example", "GET", "/a/x");
	EXPECT_FALSE(r->idempotent);
	EXPECT_TRUE(r->without_claim);
	fp_config_end(c);
}

TEST(Record, ColdRatesOfServices)
{
	std::string text = record_with(
		"\"services\":{}",
		"\"services\":{\"s1\":{\"healthPath\":\"/health\","
		"\"maxConnections\":622,\"coldStart\":\"3s\","
		"\"coldPerS\":11.5},\"s2\":{\"coldPerS\":0.4},\"s3\":{}}");
	struct fp_config *c = nullptr;

	ASSERT_EQ(FP_OK, platform_config(text.data(), text.size(), &c));
	EXPECT_TRUE(fp_config_has_cold_rate(c));
	struct fp_config *copy = fp_config_copy(c);
	fp_config_end(c);
	const struct fp_service *s = fp_config_find_service(copy, "s1");
	ASSERT_NE(nullptr, s);
	EXPECT_STREQ("/health", s->health_path);
	EXPECT_EQ(11u, s->cold_per_s);
	EXPECT_EQ(3000u, s->cold_ms);
	EXPECT_EQ(1u, fp_config_find_service(copy, "s2")->cold_per_s);
	EXPECT_EQ(0u, fp_config_find_service(copy, "s3")->cold_per_s);
	EXPECT_EQ(nullptr, fp_config_find_service(copy, "s4"));
	fp_config_end(copy);
	ASSERT_EQ(FP_OK, platform_config(record.data(), record.size(), &c));
	EXPECT_FALSE(fp_config_has_cold_rate(c));
	fp_config_end(c);
}

/* Homes name regions. All nodes of a fleet are in one region, so a request
 * cannot reach a worker in another: the field changes nothing. */
TEST(Record, TheLimitOfBodiesIsRead)
{
	auto limit_in = [](const std::string &limits) {
		std::string text =
			record_with("\"limits\":{}", "\"limits\":" + limits);
		struct fp_config *c = nullptr;
		enum fp_status st =
			platform_config(text.data(), text.size(), &c);
		int64_t bytes = st == FP_OK ? (int64_t)c->max_body_bytes : -1;

		fp_config_end(c);
		return bytes;
	};

	EXPECT_EQ(0, limit_in("{}"));
	EXPECT_EQ(0, limit_in("{\"maxBodyBytes\":null}"));
	EXPECT_EQ(4194304, limit_in("{\"maxHeaderBytes\":16384,"
				    "\"maxBodyBytes\":4194304,"
				    "\"idleTimeout\":\"15000ms\"}"));
	EXPECT_EQ(-1, limit_in("{\"maxBodyBytes\":\"4194304\"}"));
	EXPECT_EQ(-1, limit_in("{\"maxBodyBytes\":-1}"));
	EXPECT_EQ(-1, limit_in("[]"));
}

TEST(Record, HomesHaveNoEffect)
{
	std::string text =
		record_with("\"kind\":\"safe\"", "\"allowedRegions\":[\"r1\"],"
						 "\"kind\":\"safe\"");
	struct fp_config *plain = nullptr;
	struct fp_config *c = nullptr;

	text.replace(text.find("\"apiKeys\""), 9,
		     "\"allowedRegions\":[],\"apiKeys\"");
	ASSERT_EQ(FP_OK, platform_config(record.data(), record.size(), &plain));
	ASSERT_EQ(FP_OK, platform_config(text.data(), text.size(), &c));
	ASSERT_EQ(plain->n_routes, c->n_routes);
	EXPECT_EQ(0, memcmp(plain->routes, c->routes,
			    c->n_routes * sizeof(*c->routes)));
	ASSERT_EQ(plain->n_orgs, c->n_orgs);
	EXPECT_EQ(0,
		  memcmp(plain->orgs, c->orgs, c->n_orgs * sizeof(*c->orgs)));
	fp_config_end(plain);
	fp_config_end(c);
}

TEST(Record, WithoutOrganisationsNeedsNoKeys)
{
	std::string text = record.substr(0, record.find(",\"tenants\"")) + "}";
	struct fp_config *c = nullptr;

	ASSERT_EQ(FP_OK, platform_config(text.data(), text.size(), &c));
	EXPECT_TRUE(c->keyless);
	fp_config_end(c);
}

/* Guards against keys that were taken away and are accepted, as is any other,
 * once the last organisation is gone. */
TEST(Record, WithAnEmptyTableOfOrganisationsNeedsKeys)
{
	std::string text = record.substr(0, record.find(",\"tenants\"")) +
			   ",\"tenants\":{}}";
	struct fp_config *c = nullptr;
	uint8_t hash[FP_KEY_HASH_BYTES];
	uint32_t org;

	ASSERT_EQ(FP_OK, platform_config(text.data(), text.size(), &c));
	EXPECT_FALSE(c->keyless);
	fp_key_hash("k1", 2, hash);
	EXPECT_EQ(FP_NOT_FOUND, fp_config_find_key(c, hash, &org));
	struct fp_config *copy = fp_config_copy(c);
	EXPECT_FALSE(copy->keyless);
	fp_config_end(copy);
	fp_config_end(c);
}

std::string with_long_texts(const std::string &name)
{
	std::string splits;

	for (int i = 0; i < 40; i++)
		splits += (i ? ",{\"service\":\"" : "{\"service\":\"") + name +
			  std::to_string(i) + "\",\"weight\":1}";
	return "{\"version\":\"r7\",\"routes\":{\"" + name +
	       "a\":{\"hostname\":\"" + name + "\",\"pathPrefix\":\"/" + name +
	       "/a/\",\"kind\":\"safe\",\"service\":\"" + name + "\"},\"" +
	       name + "b\":{\"hostname\":\"" + name + "\",\"pathPrefix\":\"/" +
	       name + "/\",\"kind\":\"safe\",\"trafficSplit\":[" + splits +
	       "]},\"any\":{\"hostname\":\"" + name +
	       "\",\"pathPrefix\":\"/\",\"kind\":\"safe\",\"service\":\"s\"}},"
	       "\"services\":{\"" +
	       name + "\":{\"healthPath\":\"/" + name + "\",\"coldPerS\":3}}," +
	       "\"tenants\":{\"" + name + "x\":{\"apiKeys\":[\"" + name +
	       "x\"],\"ratePerS\":5},\"" + name + "y\":{\"apiKeys\":[\"" +
	       name + "y\"]}}}";
}

/* Guards against a version that is kept out of force by the length of a text in
 * it, or by the number of services of a route. */
TEST(Record, TextsMayBeOfAnyLength)
{
	for (size_t len : { 1, 46, 47, 48, 80, 127, 128, 300, 4000 }) {
		std::string name(len, 'n');
		std::string text = with_long_texts(name);
		std::string path = "/" + name + "/";
		struct fp_config *parsed = nullptr;
		uint8_t hash[FP_KEY_HASH_BYTES];
		uint32_t org = 9;

		ASSERT_EQ(FP_OK,
			  platform_config(text.data(), text.size(), &parsed))
			<< len << fp_last_message();
		struct fp_config *c = fp_config_copy(parsed);
		fp_config_end(parsed);
		const struct fp_route *a = fp_config_find_route(
			c, name.c_str(), "GET", (path + "a/x").c_str());
		const struct fp_route *b = fp_config_find_route(
			c, name.c_str(), "GET", (path + "b").c_str());
		const struct fp_route *any = fp_config_find_route(
			c, name.c_str(), "GET",
			("/" + name.substr(1) + "m/").c_str());
		ASSERT_TRUE(a && b && any) << len;
		EXPECT_EQ(path + "a/", fp_config_prefix(c, a));
		EXPECT_EQ(path, fp_config_prefix(c, b));
		EXPECT_EQ(name, fp_config_host(c, b));
		EXPECT_STREQ("any", any->name);
		EXPECT_EQ(nullptr, fp_config_find_route(c, (name + "n").c_str(),
							"GET", "/"));
		ASSERT_EQ(40u, b->n_splits);
		EXPECT_STRNE(fp_config_route_service(c, b, 38),
			     fp_config_route_service(c, b, 39));
		const struct fp_service *s =
			fp_config_find_service(c, a->service);
		ASSERT_NE(nullptr, s);
		EXPECT_EQ(3u, s->cold_per_s);
		EXPECT_EQ("/" + name, fp_config_health_path(c, s));
		fp_key_hash((name + "y").data(), len + 1, hash);
		ASSERT_EQ(FP_OK, fp_config_find_key(c, hash, &org));
		EXPECT_EQ(name + "y", fp_config_org_name(c, &c->orgs[org]));
		EXPECT_EQ((int)org, fp_config_find_org(c, c->orgs[org].name));
		EXPECT_EQ((int)org,
			  fp_config_find_org(c, (name + "y").c_str()));
		EXPECT_STRNE(c->orgs[0].name, c->orgs[1].name);
		fp_config_end(c);
	}
}

/* Guards against a header that the name of an organisation would add to the
 * requests of others. */
TEST(Record, ANameThatNoHeaderCanCarryIsRefused)
{
	for (const std::string &name :
	     { std::string("t\\r\\nX: y"), std::string("t\\u007f"),
	       std::string(8193, 't') }) {
		std::string text = record_with("\"t1\":", "\"" + name + "\":");
		struct fp_config *c = nullptr;

		EXPECT_EQ(FP_INVALID,
			  platform_config(text.data(), text.size(), &c))
			<< name.substr(0, 20);
	}
}

TEST(Record, WithAnInvalidEntryIsRefused)
{
	const std::string invalid[] = {
		"",
		"[]",
		record.substr(0, record.size() - 1),
		record_with("\"r7\"", "\"7\""),
		record_with("\"r7\"", "\"r\""),
		record_with("\"r7\"", "7"),
		record_with("\"r7\"", "\"r7x\""),
		record_with("\"kind\":\"safe\",", ""),
		record_with("\"800ms\"", "800"),
		record_with("\"800ms\"", "\"800\""),
		record_with("\"hostname\":\"h.example\",", ""),
		record_with("\"service\":\"s3\",", ""),
		record_with("\"weight\":90", "\"weight\":-1"),
		record_with("\"ratePerS\":160", "\"ratePerS\":\"160\""),
		record_with("\"k1\"", "1"),
		/* A value that is no table takes nothing away. */
		record_with("\"routes\":", "\"roads\":"),
		record_with("\"routes\":", "\"routes\":[],\"roads\":"),
		record_with("\"tenants\":", "\"tenants\":[],\"others\":"),
		record_with("\"tenants\":", "\"tenants\":null,\"others\":"),
		record_with("\"tenants\":", "\"tenants\":false,\"others\":"),
		record_with("\"services\":{}", "\"services\":[]"),
		record_with("\"limits\":{}", "\"limits\":0"),
		record_with("[\"k1\",\"k2\"]", "\"k1\""),
		record_with("\"services\":{}",
			    "\"services\":{\"s\":{\"coldPerS\":\"11\"}}"),
		record_with("\"services\":{}",
			    "\"services\":{\"s\":{\"coldPerS\":-1}}"),
		record_with("\"services\":{}",
			    "\"services\":{\"s\":{\"coldStart\":3}}"),
		record_with("\"services\":{}",
			    "\"services\":{\"s\":{\"healthPath\":3}}"),
	};
	struct fp_config *c = nullptr;

	for (const auto &text : invalid)
		EXPECT_EQ(FP_INVALID,
			  platform_config(text.data(), text.size(), &c))
			<< text;
	EXPECT_EQ(nullptr, c);
}

} // namespace
