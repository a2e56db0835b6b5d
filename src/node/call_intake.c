/*
 * call_intake.c - turns requests into calls: route, key, parent, deadline
 *
 * Only this file reads the caller's key. Its header is not forwarded, and a
 * request that contains the key anywhere else is refused, so no backend server
 * ever receives it.
 */
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#include "base/log.h"
#include "base/text.h"
#include "node/call.h"
#include "node/path.h"

/* Scheme of the Authorization header, where a dialect has no key header. */
#define BEARER	      "Bearer "
#define MAX_KEY_BYTES 256
/* Sent with calls that belong to no organisation. Admission ignores it and
 * gives all of these calls together a fixed weight (state/admission.h). */
#define OPEN_ORG_WEIGHT 1
/* Maximum number of extra attempts that a nested call takes from its parent's
 * budget. */
#define NESTED_ATTEMPTS 2
/* Subtracted from the revoke time: time for a request to reach its worker after
 * its key was checked. */
#define REVOKE_MARGIN_US (600 * FP_US_PER_MS)

static const char *header(const struct fp_http_request *r, const char *name)
{
	return fp_http_find_header(r->headers, r->n_headers, name);
}

static const char *key_header(const struct fp_traffic *t)
{
	return t->dialect->key ? t->dialect->key : "Authorization";
}

/* The key of the request, or NULL. */
static const char *find_key(const struct fp_traffic *t,
			    const struct fp_http_request *r)
{
	const char *value = header(r, key_header(t));

	if (t->dialect->key)
		return value && value[0] && strlen(value) <= MAX_KEY_BYTES ?
			       value :
			       NULL;
	if (!value || strncasecmp(value, BEARER, strlen(BEARER)) != 0)
		return NULL;
	value += strlen(BEARER);
	value += strspn(value, " ");
	if (!value[0] || strlen(value) > MAX_KEY_BYTES)
		return NULL;
	return value;
}

/* Whether the key occurs outside its header, where it would be forwarded. */
static bool key_misplaced(const struct fp_traffic *t,
			  const struct fp_http_request *r, const char *key)
{
	uint32_t i;

	if (strstr(r->uri, key))
		return true;
	if (r->body_bytes &&
	    memmem(r->body, r->body_bytes, key, strlen(key)) != NULL)
		return true;
	for (i = 0; i < r->n_headers; i++)
		if (strcasecmp(r->headers[i].name, key_header(t)) != 0 &&
		    strstr(r->headers[i].value, key))
			return true;
	return false;
}

/*
 * Whether the configuration was confirmed recently enough that any key
 * withdrawn longer ago than the revoke time is missing from it or marked as
 * withdrawn.
 */
static bool keys_are_fresh(const struct fp_traffic *t)
{
	int64_t at_us = t->config_confirmed_us;

	if (!t->hosted)
		return true;
	return at_us && fp_mono_us(t->clock) - at_us <
				t->settings->revoke_us - REVOKE_MARGIN_US;
}

bool intake_needs_key(const struct fp_traffic *t, const struct fp_route *route)
{
	return !route->open && !t->config->keyless;
}

enum fp_reason intake_set_org(struct call *c, bool has_key,
			      enum fp_status found, uint32_t org)
{
	const struct fp_org *o;

	if (!has_key)
		return FP_REASON_KEY_MISSING;
	if (!keys_are_fresh(c->t))
		return FP_REASON_ISOLATED;
	if (found != FP_OK)
		return FP_REASON_KEY_UNKNOWN;
	o = &c->t->config->orgs[org];
	c->org_index = org;
	if (!fp_text_copy(c->msg.org, sizeof(c->msg.org), o->name))
		abort(); /* the names of a configuration fit */
	c->msg.org_weight = o->rate_per_s;
	if (o->has_class)
		c->msg.cls = o->cls;
	return FP_REASON_NONE;
}

/* A message holds a short form of a long name, and the node beside the worker may
 * not have the configuration yet: the whole name goes with the call. */
static void add_long_name(struct call *c)
{
	const struct fp_config *cfg = c->t->config;
	const struct fp_org *o = &cfg->orgs[c->org_index];

	if (o->long_name)
		call_add_header(c, c->t->dialect->org,
				fp_config_org_name(cfg, o));
}

/* Sets the organisation of the call from its key. Returns FP_REASON_NONE, or
 * the reason to refuse the request. */
static enum fp_reason check_key(struct call *c, const struct fp_route *route,
				const struct fp_http_request *r)
{
	const char *key = find_key(c->t, r);
	enum fp_status found = FP_NOT_FOUND;
	uint8_t hash[FP_KEY_HASH_BYTES];
	uint32_t org = UINT32_MAX;
	enum fp_reason why;

	c->org_index = UINT32_MAX;
	c->msg.org_weight = OPEN_ORG_WEIGHT;
	if (key && key_misplaced(c->t, r, key))
		return FP_REASON_KEY_MISPLACED;
	if (!intake_needs_key(c->t, route))
		return FP_REASON_NONE;
	if (key) {
		fp_key_hash(key, strlen(key), hash);
		found = fp_config_find_key(c->t->config, hash, &org);
	}
	why = intake_set_org(c, key != NULL, found, org);
	if (why == FP_REASON_NONE)
		add_long_name(c);
	return why;
}

/* Sets the earlier of the caller's deadline, if any, and limit_us. */
static void set_deadline(struct call *c, const struct fp_http_request *r,
			 int64_t limit_us)
{
	const char *text = header(r, c->t->dialect->deadline_ms);
	long long ms = text ? strtoll(text, NULL, 10) : 0;
	int64_t at_us;

	c->deadline_us = limit_us;
	if (ms <= 0)
		return;
	at_us = c->started_us + ms * FP_US_PER_MS;
	if (at_us < limit_us)
		c->deadline_us = at_us;
}

uint64_t intake_fingerprint(const struct call *c)
{
	XXH3_state_t *st = XXH3_createState();
	uint64_t h;

	if (!st)
		abort();
	XXH3_64bits_reset(st);
	XXH3_64bits_update(st, c->msg.org, strlen(c->msg.org) + 1);
	XXH3_64bits_update(st, c->msg.method, strlen(c->msg.method) + 1);
	XXH3_64bits_update(st, c->msg.uri, strlen(c->msg.uri) + 1);
	XXH3_64bits_update(st, c->msg.content.body, c->msg.content.body_bytes);
	h = XXH3_64bits_digest(st);
	XXH3_freeState(st);
	return h;
}

/* Attempts of a call tree besides the first that the active preset allows. */
static uint32_t preset_extra_attempts(const struct fp_config *cfg)
{
	uint32_t attempts;

	if (!cfg->n_presets)
		return 0;
	attempts = cfg->presets[cfg->active_preset].attempts;
	return attempts ? attempts - 1 : 0;
}

int64_t intake_retry_after_us(const struct call *c, enum fp_reason why)
{
	if (fp_reason_http_status(why) != 503)
		return 0;
	return c ? call_retry_after_us(c) : FP_RETRY_AFTER_DEFAULT_US;
}

/* Refuses a request for which no call was created. */
static void refuse(struct fp_traffic *t, struct fp_http_exchange *x,
		   const struct fp_http_request *r, enum fp_class cls,
		   enum fp_reason why)
{
	const char *name = t->dialect->request_id;
	const char *id = name ? header(r, name) : NULL;
	const char *host = header(r, "Host");
	char id_word[FP_LOG_VALUE_BYTES];
	char host_word[FP_LOG_VALUE_BYTES];
	char path_word[FP_LOG_VALUE_BYTES];

	fp_log_sanitize(r->uri, path_word);
	/* The query is not logged: it may contain secrets. */
	path_word[strcspn(path_word, "?")] = '\0';
	fp_log(FP_LOG_INFO, "refused",
	       "id=%s host=%s path=%s outcome=not-run reason=%s "
	       "config=%" PRIu64,
	       fp_log_sanitize(id ? id : "-", id_word),
	       fp_log_sanitize(host ? host : "-", host_word), path_word,
	       fp_reason_name(why), t->config ? t->config->revision : 0);
	answer_refuse(t, x, cls, FP_OUTCOME_NOT_RUN, why,
		      intake_retry_after_us(NULL, why));
}

enum fp_reason intake_find_route(const struct fp_traffic *t, const char *host,
				 const char *method, const char *uri,
				 const struct fp_route **route)
{
	if (!t->config)
		return FP_REASON_NO_CONFIG;
	if (strlen(uri) >= FP_URI_BYTES)
		return FP_REASON_TOO_LARGE;
	if (strlen(method) >= FP_METHOD_BYTES ||
	    !fp_path_is_normalized(uri, t->config->byte_prefixes))
		return FP_REASON_MALFORMED;
	*route = fp_config_find_route(t->config, host, method, uri);
	return *route ? FP_REASON_NONE : FP_REASON_ROUTE_UNKNOWN;
}

/* Finds the route of a request; NULL: the request was refused. */
static const struct fp_route *find_route(struct fp_traffic *t,
					 struct fp_http_exchange *x,
					 const struct fp_http_request *r)
{
	const struct fp_route *route = NULL;
	enum fp_reason why = intake_find_route(t, header(r, "Host"), r->method,
					       r->uri, &route);

	if (why == FP_REASON_NONE)
		return route;
	refuse(t, x, r, FP_CLASS_NORMAL, why);
	return NULL;
}

/* Creates a call on the route of a request; NULL: the request was refused. */
static struct call *create_call(struct fp_traffic *t,
				struct fp_http_exchange *x,
				const struct fp_http_request *r,
				const struct fp_route **route)
{
	struct call *c;

	*route = find_route(t, x, r);
	if (!*route)
		return NULL;
	c = call_new(t, x, r);
	call_set_route(c, *route);
	return c;
}

/* Reads the parent's call id that a nested request carries. */
static bool parse_call_id(const struct fp_http_request *r,
			  uint8_t id[FP_CALL_ID_BYTES])
{
	const char *hex = header(r, fp_dialect_own.call);
	size_t got;

	if (!hex || strlen(hex) != (size_t)FP_CALL_ID_BYTES * 2)
		return false;
	return sodium_hex2bin(id, FP_CALL_ID_BYTES, hex, strlen(hex), NULL,
			      &got, NULL) == 0 &&
	       got == FP_CALL_ID_BYTES;
}

/* Starts a call made by an execution at this node's backend server. */
static void nested_call(struct fp_traffic *t, struct fp_http_exchange *x,
			const struct fp_http_request *r,
			struct execution *parent)
{
	struct execution_context ctx;
	const struct fp_route *route;
	struct call *c;

	execution_context(parent, &ctx);
	if (ctx.depth + 1 >= FP_MAX_DEPTH) {
		refuse(t, x, r, ctx.cls, FP_REASON_CALL_UNKNOWN);
		return;
	}
	c = create_call(t, x, r, &route);
	if (!c)
		return;
	c->msg.nested = true;
	c->msg.cls = ctx.cls;
	c->msg.rank = ctx.rank;
	c->msg.org_weight = ctx.org_weight;
	c->msg.depth = ctx.depth + 1;
	c->msg.fingerprint = ctx.fingerprint;
	memcpy(c->msg.org, ctx.org, sizeof(c->msg.org));
	memcpy(c->msg.root, ctx.root, sizeof(c->msg.root));
	memcpy(c->parent_id, ctx.call_id, sizeof(c->parent_id));
	speed_nested_began(parent);
	c->org_index = UINT32_MAX;
	set_deadline(c, r, ctx.deadline_us);
	memcpy(c->msg.caller, t->settings->service, sizeof(c->msg.caller));
	/* A hosted fleet limits retries by its retry budget per service, so
	 * nested calls need not share the parent's attempt budget. */
	if (t->hosted)
		c->attempt_budget.left =
			route->max_workers ? route->max_workers - 1 : 0;
	else
		c->attempt_budget.left = fp_attempt_budget_lend(
			ctx.attempt_budget, NESTED_ATTEMPTS);
	call_begin(c);
}

void call_from_worker(struct fp_traffic *t, struct fp_http_exchange *x,
		      const struct fp_http_request *r)
{
	uint8_t id[FP_CALL_ID_BYTES];
	struct execution *parent;

	parent = parse_call_id(r, id) ? execution_find(t, id) : NULL;
	if (!parent)
		refuse(t, x, r, FP_CLASS_NORMAL, FP_REASON_CALL_UNKNOWN);
	else
		nested_call(t, x, r, parent);
}

/*
 * Finds the execution that made this request, for dialects whose nested calls
 * arrive on the callers' port; NULL when a caller sent it. The id of a nested
 * call is the parent's id, the dialect's infix and a suffix. Since an id may
 * contain the infix several times, every prefix that ends at one is tried. The
 * longest prefix that is the id of an execution in progress is the parent's id.
 */
static struct execution *find_parent(struct fp_traffic *t,
				     const struct fp_http_request *r)
{
	const char *infix = t->dialect->nested_id_infix;
	const char *id = infix ? header(r, t->dialect->request_id) : NULL;
	char parent[FP_REQUEST_ID_BYTES];
	struct execution *found = NULL;
	const char *at;

	for (at = id ? strstr(id, infix) : NULL; at;
	     at = strstr(at + 1, infix)) {
		struct execution *e;

		if ((size_t)(at - id) >= sizeof(parent))
			break;
		memcpy(parent, id, (size_t)(at - id));
		parent[at - id] = '\0';
		e = execution_find_request(t, parent);
		if (e)
			found = e;
	}
	return found;
}

void call_from_caller(struct fp_traffic *t, struct fp_http_exchange *x,
		      const struct fp_http_request *r)
{
	struct execution *parent = find_parent(t, r);
	const struct fp_route *route;
	enum fp_reason why;
	struct call *c;

	if (parent && !find_key(t, r)) {
		nested_call(t, x, r, parent);
		return;
	}
	c = create_call(t, x, r, &route);
	if (!c)
		return;
	c->msg.cls = route->cls;
	set_deadline(c, r, c->started_us + route->deadline_ms * FP_US_PER_MS);
	why = check_key(c, route, r);
	if (why != FP_REASON_NONE) {
		call_refuse(c, FP_OUTCOME_NOT_RUN, why,
			    intake_retry_after_us(c, why));
		return;
	}
	c->msg.rank = fp_shed_rank(c->msg.cls, route->cls);
	randombytes_buf(c->msg.root, sizeof(c->msg.root));
	c->msg.fingerprint = intake_fingerprint(c);
	memcpy(c->msg.caller, t->settings->service, sizeof(c->msg.caller));
	c->attempt_budget.left = route->max_workers ?
					 route->max_workers - 1 :
					 preset_extra_attempts(t->config);
	call_begin(c);
}
