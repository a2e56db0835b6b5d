/*
 * msg_shared.c - messages between nodes about tokens, claims and configuration
 *
 * A message is one flat msgpack array: type, id, then the fields in the order
 * of their struct. Each type has one function that passes every field to a
 * codec. The codec packs or unpacks the field, depending on its direction, so
 * the order of the fields is defined in one place only.
 *
 * msgpack-c allocates containers according to the length in their header, which
 * the sender controls. Therefore the array header is read here, and a field
 * that starts a container is rejected before the library sees it. For the
 * remaining kinds, numbers, texts and byte strings, the library allocates
 * nothing and points into the input.
 */
#include "protocol/msg_shared.h"

#include <string.h>

#define FIXARRAY	0x90 /* header of an array of up to 15 elements */
#define FIXARRAY_MASK	0xf0
#define FIXARRAY_LENGTH 0x0f
#define ZONE_BYTES	64 /* first chunk of the unpacker's zone */
#define MAX_HTTP_STATUS 999
#define HEADER_FIELDS	2 /* type and id; before the fields of the type */

/* State of packing or unpacking one message; keeps the first failure. */
struct codec {
	msgpack_packer *packer; /* NULL: unpack */
	msgpack_zone *zone;
	const char *data;
	size_t len;
	size_t offset;
	enum fp_status status;
	const char *failure; /* NULL: none so far */
};

static void fail(struct codec *c, const char *what)
{
	if (c->failure)
		return;
	c->status = FP_INVALID;
	c->failure = what;
}

static void check_packed(struct codec *c, int rc)
{
	if (rc == 0 || c->failure)
		return;
	c->status = FP_NOMEM;
	c->failure = "out of memory";
}

/* Whether a first byte starts a number, text, byte string, nil or bool. */
static bool starts_scalar(uint8_t first)
{
	if (first >= 0x80 && first <= 0x9f)
		return false; /* short map, short array */
	if (first >= 0xc7 && first <= 0xc9)
		return false; /* extension */
	if (first >= 0xd4 && first <= 0xd8)
		return false; /* short extension */
	return first < 0xdc || first > 0xdf; /* array, map */
}

/* Unpacks the next field. After a failure, returns nil and reads nothing. */
static msgpack_object unpack_field(struct codec *c)
{
	msgpack_object o = { .type = MSGPACK_OBJECT_NIL };
	msgpack_unpack_return ret;

	if (c->failure)
		return o;
	if (c->offset >= c->len) {
		fail(c, "message is truncated");
		return o;
	}
	if (!starts_scalar((uint8_t)c->data[c->offset])) {
		fail(c, "field is a container");
		return o;
	}
	ret = msgpack_unpack(c->data, c->len, &c->offset, c->zone, &o);
	if (ret != MSGPACK_UNPACK_SUCCESS && ret != MSGPACK_UNPACK_EXTRA_BYTES)
		fail(c, "field is malformed or truncated");
	return o;
}

static void code_u64(struct codec *c, uint64_t *v, uint64_t max)
{
	msgpack_object o;

	if (c->packer) {
		if (*v > max)
			fail(c, "number is out of range");
		check_packed(c, msgpack_pack_uint64(c->packer, *v));
		return;
	}
	o = unpack_field(c);
	if (c->failure)
		return;
	if (o.type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		fail(c, "field is not an unsigned integer");
	else if (o.via.u64 > max)
		fail(c, "number is out of range");
	else
		*v = o.via.u64;
}

static void code_u32(struct codec *c, uint32_t *v)
{
	uint64_t wide = *v;

	code_u64(c, &wide, UINT32_MAX);
	*v = (uint32_t)wide;
}

/* Codes a time span. A negative span is packed as 0. */
static void code_span(struct codec *c, int64_t *v)
{
	uint64_t wide = *v < 0 ? 0 : (uint64_t)*v;

	code_u64(c, &wide, INT64_MAX);
	*v = (int64_t)wide;
}

static void code_bool(struct codec *c, bool *v)
{
	uint64_t wide = *v;

	code_u64(c, &wide, 1);
	*v = wide != 0;
}

static void code_status(struct codec *c, enum fp_status *v)
{
	uint64_t wide = (uint64_t)*v;

	code_u64(c, &wide, FP_STATUS_COUNT - 1);
	*v = (enum fp_status)wide;
}

static void code_claim_state(struct codec *c, enum fp_claim_state *v)
{
	uint64_t wide = (uint64_t)*v;

	code_u64(c, &wide, FP_CLAIM_UNKNOWN);
	*v = (enum fp_claim_state)wide;
}

static void code_http_status(struct codec *c, int32_t *v)
{
	uint64_t wide = *v < 0 ? 0 : (uint64_t)*v;

	code_u64(c, &wide, MAX_HTTP_STATUS);
	*v = (int32_t)wide;
}

static void pack_bytes(struct codec *c, const void *p, size_t n)
{
	check_packed(c, msgpack_pack_bin_with_body(c->packer, p, n));
}

/* Unpacks a byte string; the result points into the input. */
static const char *unpack_bytes(struct codec *c, uint32_t *n)
{
	msgpack_object o = unpack_field(c);

	*n = 0;
	if (c->failure)
		return NULL;
	if (o.type != MSGPACK_OBJECT_BIN) {
		fail(c, "field is not a byte string");
		return NULL;
	}
	*n = o.via.bin.size;
	return o.via.bin.ptr;
}

static void code_claim_name(struct codec *c, uint8_t name[FP_CLAIM_NAME_BYTES])
{
	const char *p;
	uint32_t n;

	if (c->packer) {
		pack_bytes(c, name, FP_CLAIM_NAME_BYTES);
		return;
	}
	p = unpack_bytes(c, &n);
	if (n != FP_CLAIM_NAME_BYTES)
		fail(c, "claim name has the wrong length");
	if (!c->failure)
		memcpy(name, p, FP_CLAIM_NAME_BYTES);
}

static void code_answer(struct codec *c, const uint8_t **answer, uint32_t *n)
{
	if (c->packer) {
		if (*n > FP_CLAIM_ANSWER_BYTES)
			fail(c, "answer is too long");
		else
			pack_bytes(c, *answer, *answer ? *n : 0);
		return;
	}
	*answer = (const uint8_t *)unpack_bytes(c, n);
	if (*n > FP_CLAIM_ANSWER_BYTES)
		fail(c, "answer is too long");
	if (*n == 0)
		*answer = NULL;
}

/* Codes a text of min_len to size - 1 bytes, without a NUL. */
static void code_text(struct codec *c, char *text, size_t size, size_t min_len)
{
	size_t len = strnlen(text, size);
	msgpack_object o;

	if (c->packer) {
		if (len < min_len || len == size)
			fail(c, "text is too short or too long");
		else
			check_packed(c, msgpack_pack_str_with_body(c->packer,
								   text, len));
		return;
	}
	o = unpack_field(c);
	if (c->failure)
		return;
	if (o.type != MSGPACK_OBJECT_STR) {
		fail(c, "field is not a string");
		return;
	}
	len = o.via.str.size;
	/* The library may return NULL for an empty text. */
	if (len < min_len || len >= size ||
	    (len && memchr(o.via.str.ptr, '\0', len))) {
		fail(c, "text has a wrong length or contains a NUL byte");
		return;
	}
	if (len)
		memcpy(text, o.via.str.ptr, len);
	text[len] = '\0';
}

static void code_name(struct codec *c, char name[FP_NAME_BYTES])
{
	code_text(c, name, FP_NAME_BYTES, 1);
}

static void code_grant_request(struct codec *c, struct fp_msg_shared *m)
{
	code_name(c, m->grant_request.org);
	code_u32(c, &m->grant_request.want);
	if (m->grant_request.want == 0)
		fail(c, "request for zero tokens");
}

static void code_grant_response(struct codec *c, struct fp_msg_shared *m)
{
	code_status(c, &m->grant_response.status);
	code_u64(c, &m->grant_response.grant_id, UINT64_MAX);
	code_u32(c, &m->grant_response.tokens);
	code_span(c, &m->grant_response.wait_us);
}

static void code_grant_return(struct codec *c, struct fp_msg_shared *m)
{
	code_name(c, m->grant_return.org);
	code_u64(c, &m->grant_return.grant_id, UINT64_MAX);
	code_u32(c, &m->grant_return.tokens);
}

static void code_share_commit(struct codec *c, struct fp_msg_shared *m)
{
	struct fp_commitment *k = &m->share_commit.commitment;

	code_name(c, m->share_commit.org);
	code_span(c, &k->hold_us);
	code_bool(c, &k->release);
	code_span(c, &k->sent_us);
	code_u32(c, &k->n_shares);
	code_span(c, &k->owner_clock_us);
	code_span(c, &k->owner_clock_age_us);
	code_span(c, &k->reserve_micro);
	if (k->n_shares == 0)
		fail(c, "number of rate shares is zero");
	if (k->hold_us > FP_RATE_SHARE_MAX_SPAN_US ||
	    k->owner_clock_age_us > FP_RATE_SHARE_MAX_SPAN_US ||
	    k->owner_clock_us > INT64_MAX / 2)
		fail(c, "span is out of range");
	if (k->reserve_micro > UINT32_MAX * FP_RATE_SHARE_HOLD_US ||
	    (k->reserve_micro && !k->hold_us))
		fail(c, "reserve is out of range or without a commitment");
}

static void code_share_response(struct codec *c, struct fp_msg_shared *m)
{
	code_span(c, &m->share_response.owner_clock_us);
	code_u32(c, &m->share_response.fill_permille);
	code_name(c, m->share_response.org);
	if (m->share_response.fill_permille > 1000)
		fail(c, "fill level exceeds 1000 permille");
}

static void code_claim_take(struct codec *c, struct fp_msg_shared *m)
{
	code_u32(c, &m->claim_take.slice);
	code_claim_name(c, m->claim_take.name);
	code_u64(c, &m->claim_take.fingerprint, UINT64_MAX);
	code_u64(c, &m->claim_take.attempt, UINT64_MAX);
}

static void code_claim_response(struct codec *c, struct fp_msg_shared *m)
{
	code_status(c, &m->claim_response.status);
	code_claim_state(c, &m->claim_response.state);
	code_http_status(c, &m->claim_response.http_status);
	code_answer(c, &m->claim_response.answer,
		    &m->claim_response.answer_bytes);
}

static void code_claim_finish(struct codec *c, struct fp_msg_shared *m)
{
	code_u32(c, &m->claim_finish.slice);
	code_claim_name(c, m->claim_finish.name);
	code_u64(c, &m->claim_finish.attempt, UINT64_MAX);
	code_claim_state(c, &m->claim_finish.state);
	code_http_status(c, &m->claim_finish.http_status);
	code_answer(c, &m->claim_finish.answer, &m->claim_finish.answer_bytes);
}

static void code_claim_release(struct codec *c, struct fp_msg_shared *m)
{
	code_u32(c, &m->claim_release.slice);
	code_claim_name(c, m->claim_release.name);
	code_u64(c, &m->claim_release.attempt, UINT64_MAX);
}

static void code_claim_replicate(struct codec *c, struct fp_msg_shared *m)
{
	struct fp_claim *claim = &m->claim_replicate.claim;
	const uint8_t *answer = claim->answer;

	code_u32(c, &m->claim_replicate.slice);
	code_u64(c, &m->claim_replicate.epoch, UINT64_MAX);
	code_u64(c, &m->claim_replicate.seq, UINT64_MAX);
	code_bool(c, &m->claim_replicate.drop);
	code_span(c, &m->claim_replicate.age_us);
	code_claim_name(c, claim->name);
	code_u64(c, &claim->fingerprint, UINT64_MAX);
	code_u64(c, &claim->attempt_id, UINT64_MAX);
	code_claim_state(c, &claim->state);
	code_http_status(c, &claim->http_status);
	code_answer(c, &answer, &claim->answer_bytes);
	claim->answer = (uint8_t *)answer;
}

static void code_claim_replicated(struct codec *c, struct fp_msg_shared *m)
{
	code_u32(c, &m->claim_replicated.slice);
	code_u64(c, &m->claim_replicated.epoch, UINT64_MAX);
	code_u64(c, &m->claim_replicated.seq, UINT64_MAX);
	code_bool(c, &m->claim_replicated.ok);
}

/* Codes a time span of a bucket state, at most FP_BUCKET_MAX_SPAN_US. */
static void code_bucket_span(struct codec *c, int64_t *v)
{
	code_span(c, v);
	if (*v > FP_BUCKET_MAX_SPAN_US)
		fail(c, "number is out of range");
}

static void code_bucket_handover(struct codec *c, struct fp_msg_shared *m)
{
	struct fp_bucket_state *s = &m->bucket_handover.state;

	code_name(c, m->bucket_handover.org);
	code_u64(c, &m->bucket_handover.epoch, UINT64_MAX);
	code_span(c, &s->tokens_micro);
	code_u32(c, &s->outstanding);
	code_bucket_span(c, &s->outstanding_left_us);
	code_bucket_span(c, &s->refill_delay_us);
}

static void code_confirm_request(struct codec *c, struct fp_msg_shared *m)
{
	code_u64(c, &m->confirm_request.members_revision, UINT64_MAX);
}

static void code_evacuation(struct codec *c, struct fp_evacuation *e)
{
	char text[FP_EVACUATION_BYTES] = "";

	if (c->packer)
		fp_evacuation_format(e, text);
	code_u64(c, &e->revision, UINT64_MAX);
	code_text(c, text, sizeof(text), 0);
	if (!c->packer && !c->failure && fp_evacuation_parse(text, e) != FP_OK)
		fail(c, "invalid list of failure domains");
}

static void code_confirm_response(struct codec *c, struct fp_msg_shared *m)
{
	code_status(c, &m->confirm_response.status);
	code_u64(c, &m->confirm_response.item_revision, UINT64_MAX);
	code_u64(c, &m->confirm_response.newest_revision, UINT64_MAX);
	code_span(c, &m->confirm_response.age_us);
	code_bool(c, &m->confirm_response.members_complete);
	code_u64(c, &m->confirm_response.members_revision, UINT64_MAX);
	code_evacuation(c, &m->confirm_response.evacuation);
}

static void code_member_change(struct codec *c, struct fp_msg_shared *m)
{
	code_u64(c, &m->member_change.base_revision, UINT64_MAX);
	code_u64(c, &m->member_change.revision, UINT64_MAX);
	code_bool(c, &m->member_change.removed);
	code_name(c, m->member_change.name);
	code_text(c, m->member_change.record, FP_MEMBER_RECORD_BYTES, 0);
}

static void code_member_changes_end(struct codec *c, struct fp_msg_shared *m)
{
	code_u64(c, &m->member_changes_end.base_revision, UINT64_MAX);
	code_u64(c, &m->member_changes_end.revision, UINT64_MAX);
	code_u32(c, &m->member_changes_end.n_changes);
}

static void code_config_request(struct codec *c, struct fp_msg_shared *m)
{
	code_u64(c, &m->config_request.item_revision, UINT64_MAX);
	code_u64(c, &m->config_request.known_revision, UINT64_MAX);
}

static void code_config_part(struct codec *c, struct fp_msg_shared *m)
{
	code_u64(c, &m->config_part.item_revision, UINT64_MAX);
	code_span(c, &m->config_part.age_us);
	code_u32(c, &m->config_part.total_bytes);
	code_u32(c, &m->config_part.offset);
	code_text(c, m->config_part.text, FP_CONFIG_PART_BYTES, 1);
}

/* Number of fields and the function that codes them, by type. */
static const struct layout {
	uint32_t n_fields;
	void (*code)(struct codec *c, struct fp_msg_shared *m);
} layouts[] = {
	[FP_MSG_GRANT_REQUEST - FP_MSG_GRANT_REQUEST] = { 2,
							  code_grant_request },
	[FP_MSG_GRANT_RESPONSE -
		FP_MSG_GRANT_REQUEST] = { 4, code_grant_response },
	[FP_MSG_GRANT_RETURN - FP_MSG_GRANT_REQUEST] = { 3, code_grant_return },
	[FP_MSG_CLAIM_TAKE - FP_MSG_GRANT_REQUEST] = { 4, code_claim_take },
	[FP_MSG_CLAIM_RESPONSE -
		FP_MSG_GRANT_REQUEST] = { 4, code_claim_response },
	[FP_MSG_CLAIM_FINISH - FP_MSG_GRANT_REQUEST] = { 6, code_claim_finish },
	[FP_MSG_CLAIM_RELEASE -
		FP_MSG_GRANT_REQUEST] = { 3, code_claim_release },
	[FP_MSG_CLAIM_REPLICATE -
		FP_MSG_GRANT_REQUEST] = { 11, code_claim_replicate },
	[FP_MSG_CLAIM_REPLICATED -
		FP_MSG_GRANT_REQUEST] = { 4, code_claim_replicated },
	[FP_MSG_BUCKET_HANDOVER -
		FP_MSG_GRANT_REQUEST] = { 6, code_bucket_handover },
	[FP_MSG_CONFIRM_REQUEST -
		FP_MSG_GRANT_REQUEST] = { 1, code_confirm_request },
	[FP_MSG_CONFIRM_RESPONSE -
		FP_MSG_GRANT_REQUEST] = { 8, code_confirm_response },
	[FP_MSG_MEMBER_CHANGE -
		FP_MSG_GRANT_REQUEST] = { 5, code_member_change },
	[FP_MSG_MEMBER_CHANGES_END -
		FP_MSG_GRANT_REQUEST] = { 3, code_member_changes_end },
	[FP_MSG_CONFIG_REQUEST -
		FP_MSG_GRANT_REQUEST] = { 2, code_config_request },
	[FP_MSG_CONFIG_PART - FP_MSG_GRANT_REQUEST] = { 5, code_config_part },
	[FP_MSG_RATE_SHARE_COMMIT -
		FP_MSG_GRANT_REQUEST] = { 8, code_share_commit },
	[FP_MSG_RATE_SHARE_RESPONSE -
		FP_MSG_GRANT_REQUEST] = { 3, code_share_response },
};

static const struct layout *layout_of(uint64_t type)
{
	if (type < FP_MSG_GRANT_REQUEST || type >= FP_MSG_SHARED_END)
		return NULL;
	return &layouts[type - FP_MSG_GRANT_REQUEST];
}

static void decode(struct codec *c, struct fp_msg_shared *m)
{
	const struct layout *l;
	uint64_t type = 0;
	uint8_t header;

	if (c->len == 0 || c->len > FP_MSG_SHARED_BYTES) {
		fail(c, "empty or too long");
		return;
	}
	header = (uint8_t)c->data[c->offset++];
	if ((header & FIXARRAY_MASK) != FIXARRAY) {
		fail(c, "not an array of up to 15 elements");
		return;
	}
	code_u64(c, &type, UINT32_MAX);
	code_u64(c, &m->id, UINT64_MAX);
	l = layout_of(type);
	if (!l) {
		fail(c, "unknown type");
		return;
	}
	m->type = (enum fp_msg_shared_type)type;
	if ((header & FIXARRAY_LENGTH) != HEADER_FIELDS + l->n_fields) {
		fail(c, "wrong number of fields");
		return;
	}
	l->code(c, m);
	if (c->offset != c->len)
		fail(c, "trailing bytes");
}

enum fp_status fp_msg_shared_encode(const struct fp_msg_shared *m,
				    msgpack_sbuffer *out)
{
	const struct layout *l = layout_of((uint64_t)m->type);
	struct fp_msg_shared copy = *m;
	struct codec c = { 0 };
	msgpack_packer packer;
	uint64_t type = (uint64_t)m->type;

	if (!l)
		return fp_fail(FP_INVALID, "message: unknown type");
	msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
	c.packer = &packer;
	check_packed(&c,
		     msgpack_pack_array(&packer, HEADER_FIELDS + l->n_fields));
	code_u64(&c, &type, UINT64_MAX);
	code_u64(&c, &copy.id, UINT64_MAX);
	l->code(&c, &copy);
	if (c.failure)
		return fp_fail(c.status, "message: %s", c.failure);
	return FP_OK;
}

enum fp_status fp_msg_shared_decode(const uint8_t *data, size_t len,
				    struct fp_msg_shared *m)
{
	struct codec c = { .data = (const char *)data, .len = len };
	msgpack_zone zone;

	memset(m, 0, sizeof(*m));
	if (!msgpack_zone_init(&zone, ZONE_BYTES))
		return fp_fail(FP_NOMEM, "message: out of memory");
	c.zone = &zone;
	decode(&c, m);
	msgpack_zone_destroy(&zone);
	if (c.failure)
		return fp_fail(c.status, "message: %s", c.failure);
	return FP_OK;
}
