/* settings.c - reads and checks the settings of a node */
#include "protocol/settings.h"

#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "protocol/settings_table.h"
#include "protocol/toml.h"

#define KIB INT64_C(1024)
#define MIB (KIB * KIB)

static bool is_http_url(const char *text)
{
	static const char scheme[] = "http://";
	size_t len = strlen(scheme);

	return strncmp(text, scheme, len) == 0 && text[len] &&
	       text[len] != '/' && !strpbrk(text, " \t\r\n?#");
}

static const char *const on_off[] = { "on", "off", NULL };
static const char *const off_on[] = { "off", "on", NULL };
static const char *const store_kinds[] = { "plain", "leases", NULL };
static const char *const levels[] = { "debug", "info", "warn", "error", NULL };

#define OFFSET(member) offsetof(struct fp_settings, member)
#define SIZE(member)   sizeof(((struct fp_settings *)0)->member)

#define NAME(section_, member)                                                 \
	{                                                                      \
		.section = (section_), .name = #member, .kind = FP_FIELD_TEXT, \
		.required = true, .offset = OFFSET(member),                    \
		.size = SIZE(member), .unit = "name", .valid = fp_name_valid,  \
		.expected = FP_NAME_EXPECTED                                   \
	}
#define UINT(section_, name_, member, unit_, from, to, fallback_)              \
	{                                                                      \
		.section = (section_), .name = (name_), .kind = FP_FIELD_UINT, \
		.offset = OFFSET(member), .size = SIZE(member), .min = (from), \
		.max = (to), .default_text = (fallback_), .unit = (unit_)      \
	}

#define PORT(member, from, fallback_)                                          \
	{                                                                      \
		.section = "listen", .name = #member, .kind = FP_FIELD_PORT,   \
		.offset = OFFSET(member), .size = SIZE(member), .min = (from), \
		.max = UINT16_MAX, .default_text = (fallback_), .unit = "port" \
	}
#define SPAN(section_, name_, member, fallback_)                     \
	{                                                            \
		.section = (section_), .name = (name_),              \
		.kind = FP_FIELD_DURATION, .offset = OFFSET(member), \
		.size = SIZE(member), .default_text = (fallback_),   \
		.unit = "time"                                       \
	}

const struct fp_field fp_settings_table[] = {
	NAME("node", name),
	{ .section = "node",
	  .name = "address",
	  .kind = FP_FIELD_TEXT,
	  .required = true,
	  .offset = OFFSET(address),
	  .size = SIZE(address),
	  .unit = "IP address",
	  .valid = fp_ip_valid,
	  .expected = "an IP address" },
	NAME("node", failure_domain),
	NAME("node", region),
	NAME("node", service),
	PORT(http_port, 1, "8080"),
	PORT(peer_port, 1, "7400"),
	PORT(control_port, 1, "7401"),
	PORT(local_port, 1, "7402"),
	PORT(admin_port, 1, "7403"),
	{ .section = "listen",
	  .name = "local_address",
	  .kind = FP_FIELD_TEXT,
	  .offset = OFFSET(local_address),
	  .size = SIZE(local_address),
	  .default_text = "127.0.0.1",
	  .unit = "IP address",
	  .valid = fp_ip_valid,
	  .expected = "an IP address" },
	PORT(ready_port, 0, "0"),
	{ .section = "backend",
	  .name = "address",
	  .kind = FP_FIELD_TEXT,
	  .offset = OFFSET(backend_address),
	  .size = SIZE(backend_address),
	  .unit = "IP:PORT",
	  .valid = fp_ip_port_valid,
	  .expected = "IP:PORT" },
	{ .section = "store",
	  .name = "url",
	  .kind = FP_FIELD_TEXT,
	  .required = true,
	  .offset = OFFSET(store_url),
	  .size = SIZE(store_url),
	  .unit = "URL",
	  .valid = is_http_url,
	  .expected = "a URL http://HOST:PORT" },
	UINT("store", "timeout_ms", store_timeout_ms, "ms", 50, 60000, "1000"),
	{ .section = "store",
	  .name = "kind",
	  .kind = FP_FIELD_WORD,
	  .offset = OFFSET(store_kind),
	  .size = SIZE(store_kind),
	  .default_text = "plain",
	  .unit = "word",
	  .words = store_kinds },
	{ .section = "fleet",
	  .name = "secrets",
	  .kind = FP_FIELD_HEXES,
	  .offset = OFFSET(secrets),
	  .size = FP_SECRET_BYTES,
	  .count_offset = OFFSET(n_secrets),
	  .min = 1,
	  .max = FP_MAX_SECRETS,
	  .unit = "list of secrets",
	  .valid = fp_hash_text_valid,
	  .expected = FP_HASH_EXPECTED },
	{ .section = "fleet",
	  .name = "seeds",
	  .kind = FP_FIELD_TEXTS,
	  .offset = OFFSET(seeds),
	  .size = FP_ADDRESS_BYTES + 6,
	  .count_offset = OFFSET(n_seeds),
	  .max = FP_MAX_SEEDS,
	  .unit = "list of IP:PORT",
	  .valid = fp_ip_port_valid,
	  .expected = "IP:PORT" },
	{ .section = "fleet",
	  .name = "bootstrap_operator_hash",
	  .kind = FP_FIELD_HEX,
	  .offset = OFFSET(bootstrap_operator_hash),
	  .size = FP_KEY_HASH_BYTES,
	  .present_offset = OFFSET(has_bootstrap_operator),
	  .unit = "hash",
	  .valid = fp_hash_text_valid,
	  .expected = FP_HASH_EXPECTED },
	UINT("limits", "max_body_bytes", max_body_bytes, "bytes", KIB, 64 * MIB,
	     "1048576"),
	UINT("limits", "max_held_bytes", max_held_bytes, "bytes", MIB,
	     1024 * MIB, "67108864"),
	UINT("limits", "max_header_bytes", max_header_bytes, "bytes", KIB,
	     64 * KIB, "16384"),
	UINT("limits", "max_connections", max_connections, "connections", 16,
	     65536, "1024"),
	UINT("limits", "max_claims", max_claims, "claims", 100, 1000000,
	     "20000"),
	UINT("limits", "claim_lifetime_s", claim_lifetime_s, "s", 10, 86400,
	     "600"),
	{ .section = "overload",
	  .name = "mode",
	  .kind = FP_FIELD_WORD,
	  .offset = OFFSET(overload_off),
	  .size = SIZE(overload_off),
	  .default_text = "on",
	  .unit = "word",
	  .words = on_off },
	{ .section = "overload",
	  .name = "learn_servers",
	  .kind = FP_FIELD_WORD,
	  .offset = OFFSET(equal_servers),
	  .size = SIZE(equal_servers),
	  .default_text = "on",
	  .unit = "word",
	  .words = on_off },
	{ .section = "overload",
	  .name = "tree_admission",
	  .kind = FP_FIELD_WORD,
	  .offset = OFFSET(tree_admission),
	  .size = SIZE(tree_admission),
	  .default_text = "on",
	  .unit = "word",
	  .words = off_on },
	SPAN("bounds", "revoke", revoke_us, "5s"),
	SPAN("bounds", "grace", grace_us, "10s"),
	{ .section = "bounds",
	  .name = "retry_ratio",
	  .kind = FP_FIELD_RATIO,
	  .offset = OFFSET(retry_permille),
	  .size = SIZE(retry_permille),
	  .default_text = "0.1",
	  .unit = "ratio" },
	UINT("bounds", "retry_floor", retry_floor, "requests", 0, 1000000,
	     "100"),
	SPAN("bounds", "retry_window", retry_window_us, "10s"),
	{ .section = "log",
	  .name = "level",
	  .kind = FP_FIELD_WORD,
	  .offset = OFFSET(log_level),
	  .size = SIZE(log_level),
	  .default_text = "info",
	  .unit = "word",
	  .words = levels },
};

const uint32_t fp_settings_table_len =
	sizeof(fp_settings_table) / sizeof(fp_settings_table[0]);

static const char *const sections[] = { "node",	    "listen", "backend",
					"store",    "fleet",  "limits",
					"overload", "bounds", "log" };
#define N_SECTIONS (sizeof(sections) / sizeof(sections[0]))

static bool is_section(const char *name)
{
	size_t i;

	for (i = 0; i < N_SECTIONS; i++)
		if (strcmp(sections[i], name) == 0)
			return true;
	return false;
}

/* Every name at the root must be a known section and a plain table. */
static enum fp_status check_sections(struct fp_toml *t)
{
	struct fp_toml_table_id root = { "", -1 };
	const char *name;
	int i;
	int n;

	for (i = 0; (name = fp_toml_name(t, root, i)); i++) {
		struct fp_toml_table_id at = { name, -1 };
		enum fp_toml_kind shape = fp_toml_kind(t, name, &n);

		if (shape == FP_TOML_VALUE)
			return fp_toml_fail(t, root, name,
					    "expected a section before it, "
					    "got a value outside of any");
		if (!is_section(name))
			return fp_toml_fail(t, at, NULL,
					    "expected one of node, listen, "
					    "backend, store, fleet, limits, "
					    "overload, bounds, log, got an "
					    "unknown section");
		at.index = shape == FP_TOML_TABLES ? 0 : -1;
		if (shape != FP_TOML_TABLE)
			return fp_toml_fail(t, at, NULL,
					    "expected one table, got a list "
					    "of tables");
	}
	return FP_OK;
}

/* The TCP ports of a node must differ from each other. */
static enum fp_status check_ports(const struct fp_toml *t,
				  const struct fp_settings *s)
{
	static const char *const names[] = { "http_port",    "peer_port",
					     "control_port", "local_port",
					     "admin_port",   "ready_port" };
	const uint16_t ports[] = { s->http_port,    s->peer_port,
				   s->control_port, s->local_port,
				   s->admin_port,   s->ready_port };
	struct fp_toml_table_id at = { "listen", -1 };
	char why[FP_WHY_BYTES];
	size_t i;
	size_t j;

	for (i = 1; i < sizeof(ports) / sizeof(ports[0]); i++)
		for (j = 0; j < i; j++) {
			if (ports[i] != ports[j])
				continue;
			snprintf(why, sizeof(why),
				 "expected a unique port, got %u, which is %s",
				 ports[i], names[j]);
			return fp_toml_fail(t, at, names[i], why);
		}
	return FP_OK;
}

/* Without a store with leases, the settings must contain the secret of the
 * fleet. With one, they must contain the address of the backend server. */
static enum fp_status check_store(const struct fp_toml *t,
				  const struct fp_settings *s)
{
	struct fp_toml_table_id at = { "fleet", -1 };
	struct fp_toml_table_id backend = { "backend", -1 };

	if (s->store_kind == FP_STORE_PLAIN && !s->n_secrets)
		return fp_toml_fail(t, at, "secrets",
				    "expected list of 1 to 4 texts, got "
				    "nothing");
	if (s->store_kind == FP_STORE_LEASES && !s->backend_address[0])
		return fp_toml_fail(t, backend, "address",
				    "expected IP:PORT with store.kind = "
				    "\"leases\", got nothing");
	return FP_OK;
}

static enum fp_status read_all(struct fp_toml *t, struct fp_settings *s)
{
	enum fp_status st = check_sections(t);
	size_t i;

	for (i = 0; !st && i < N_SECTIONS; i++) {
		struct fp_toml_table_id at = { sections[i], -1 };

		st = fp_toml_read(t, at, fp_settings_table,
				  fp_settings_table_len, s);
	}
	if (!st)
		st = check_ports(t, s);
	return st ? st : check_store(t, s);
}

enum fp_status fp_settings_load(const char *path, struct fp_settings *s)
{
	struct fp_toml *t;
	enum fp_status st;

	memset(s, 0, sizeof(*s));
	st = fp_toml_load(path, &t);
	if (st)
		return st == FP_NOMEM ? st : FP_INVALID;
	st = read_all(t, s);
	fp_toml_end(t);
	return st;
}

static bool is_bound(const struct fp_field *f)
{
	return strcmp(f->section, "bounds") == 0;
}

static bool same(const struct fp_field *f, const struct fp_settings *a,
		 const struct fp_settings *b)
{
	const uint8_t *x = (const uint8_t *)a;
	const uint8_t *y = (const uint8_t *)b;
	bool is_list = f->count_offset != 0;
	size_t bytes = is_list ? f->size * (size_t)f->max : f->size;

	return memcmp(x + f->offset, y + f->offset, bytes) == 0 &&
	       (!is_list || memcmp(x + f->count_offset, y + f->count_offset,
				   sizeof(uint32_t)) == 0);
}

enum fp_status fp_settings_update_bounds(struct fp_settings *s,
					 const struct fp_settings *newer)
{
	const struct fp_field *f;
	uint32_t i;

	for (i = 0; i < fp_settings_table_len; i++) {
		f = &fp_settings_table[i];
		if (!is_bound(f) && !same(f, s, newer))
			return fp_fail(
				FP_INVALID,
				"%s.%s changed, which requires a restart",
				f->section, f->name);
	}
	for (i = 0; i < fp_settings_table_len; i++) {
		f = &fp_settings_table[i];
		if (is_bound(f))
			memcpy((uint8_t *)s + f->offset,
			       (const uint8_t *)newer + f->offset, f->size);
	}
	return FP_OK;
}
