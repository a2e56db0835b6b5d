/* msg_call.c - messages that carry calls between nodes */
#include "protocol/msg_call.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define CALL_FIELDS	    20
#define REPLY_FIELDS	    12
#define CANCEL_FIELDS	    2
#define LOAD_FIELDS	    (4 + FP_SHED_RANK_COUNT)
#define SPEED_FIELDS	    4
#define SERVICE_LOAD_FIELDS (4 + FP_SHED_RANK_COUNT)

/* Longest name and value of a header, with NUL. */
#define HEADER_NAME_BYTES  256
#define HEADER_VALUE_BYTES 16384

const char *fp_msg_header_find(const struct fp_msg_content *c, const char *name)
{
	uint32_t i;

	for (i = 0; i < c->n_headers; i++)
		if (strcasecmp(c->headers[i].name, name) == 0)
			return c->headers[i].value;
	return NULL;
}

static void put_content(msgpack_packer *pk, const struct fp_msg_content *c)
{
	uint32_t i;

	msgpack_pack_array(pk, (size_t)c->n_headers * 2);
	for (i = 0; i < c->n_headers; i++) {
		fp_put_text(pk, c->headers[i].name);
		fp_put_text(pk, c->headers[i].value);
	}
	fp_put_bin(pk, c->body, c->body_bytes);
}

void fp_msg_call_encode(const struct fp_msg_call *m, msgpack_sbuffer *out)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, CALL_FIELDS);
	msgpack_pack_uint32(&pk, FP_MSG_CALL);
	msgpack_pack_uint64(&pk, m->corr);
	fp_put_bin(&pk, m->root, sizeof(m->root));
	fp_put_text(&pk, m->org);
	msgpack_pack_uint32(&pk, m->org_weight);
	msgpack_pack_uint32(&pk, m->cls);
	msgpack_pack_uint8(&pk, m->rank);
	fp_put_bool(&pk, m->nested);
	fp_put_bool(&pk, m->non_idempotent);
	fp_put_text(&pk, m->route);
	fp_put_text(&pk, m->service);
	fp_put_text(&pk, m->caller);
	fp_put_text(&pk, m->method);
	fp_put_text(&pk, m->uri);
	msgpack_pack_int64(&pk, m->left_us);
	msgpack_pack_uint32(&pk, m->attempts);
	msgpack_pack_uint32(&pk, m->depth);
	msgpack_pack_uint64(&pk, m->fingerprint);
	put_content(&pk, &m->content);
}

static void put_load(msgpack_packer *pk, const struct fp_admission_load *l)
{
	int i;

	msgpack_pack_array(pk, LOAD_FIELDS);
	msgpack_pack_uint32(pk, l->limit);
	msgpack_pack_uint32(pk, l->running);
	msgpack_pack_uint32(pk, l->queued);
	msgpack_pack_uint32(pk, l->delay_us);
	for (i = 0; i < FP_SHED_RANK_COUNT; i++)
		msgpack_pack_uint16(pk, l->refused_permille[i]);
}

static void put_speed(msgpack_packer *pk, const struct fp_worker_speed *s)
{
	msgpack_pack_array(pk, SPEED_FIELDS);
	msgpack_pack_uint32(pk, s->own_us);
	msgpack_pack_uint32(pk, s->inner_us);

	msgpack_pack_uint32(pk, s->rate_per_s);
	msgpack_pack_uint32(pk, s->age_ms);
}

static void put_service_load(msgpack_packer *pk,
			     const struct fp_service_load *t)
{
	int c;

	msgpack_pack_array(pk, SERVICE_LOAD_FIELDS);
	fp_put_text(pk, t->service);
	msgpack_pack_uint16(pk, t->calls);
	for (c = 0; c < FP_SHED_RANK_COUNT; c++)
		msgpack_pack_uint16(pk, t->refused_permille[c]);
	msgpack_pack_uint16(pk, t->used_permille);
	msgpack_pack_uint16(pk, t->age_ms);
}

void fp_msg_reply_encode(const struct fp_msg_reply *m, msgpack_sbuffer *out)
{
	msgpack_packer pk;
	uint32_t i;

	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, REPLY_FIELDS);
	msgpack_pack_uint32(&pk, FP_MSG_REPLY);
	msgpack_pack_uint64(&pk, m->corr);
	msgpack_pack_uint32(&pk, m->outcome);
	msgpack_pack_uint32(&pk, m->reason);
	msgpack_pack_uint32(&pk, (uint32_t)m->http_status);
	msgpack_pack_int64(&pk, m->run_us);
	msgpack_pack_uint32(&pk, m->attempts_unused);
	msgpack_pack_array(&pk, m->n_service_loads);
	for (i = 0; i < m->n_service_loads; i++)
		put_service_load(&pk, &m->service_loads[i]);
	put_load(&pk, &m->admission_load);
	put_speed(&pk, &m->speed);
	put_content(&pk, &m->content);
}

void fp_msg_cancel_encode(uint64_t corr, msgpack_sbuffer *out)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, CANCEL_FIELDS);
	msgpack_pack_uint32(&pk, FP_MSG_CANCEL);
	msgpack_pack_uint64(&pk, corr);
}

/* Copies one text of the input to *at and advances *at past its NUL. */
static const char *copy_text(struct fp_reader *r, size_t max, char **at)
{
	char *text = *at;

	fp_read_text(r, text, max);
	*at += strlen(text) + 1;
	return text;
}

/*
 * An encoded text takes at least one byte more than its length, so all texts
 * with their NULs fit into a buffer of the input's length. fp_read_text() gets
 * a fixed limit instead of the remaining size, so HEADER_VALUE_BYTES, the
 * larger limit, are allocated in addition.
 */
static void read_content(struct fp_reader *r, struct fp_msg_content *c,
			 struct fp_msg_memory *mem)
{
	uint32_t n = fp_read_array(r, 2 * FP_MAX_CALL_HEADERS);
	char *at;

	mem->texts = malloc(r->bytes + HEADER_VALUE_BYTES);
	if (!mem->texts || n % 2) {
		r->bad = true;
		return;
	}
	at = mem->texts;
	for (c->n_headers = 0; c->n_headers < n / 2; c->n_headers++) {
		c->headers[c->n_headers].name =
			copy_text(r, HEADER_NAME_BYTES, &at);
		c->headers[c->n_headers].value =
			copy_text(r, HEADER_VALUE_BYTES, &at);
	}
	c->body = fp_read_bin(r, r->bytes, &c->body_bytes);
}

static void open_message(struct fp_reader *r, const uint8_t *data, size_t bytes,
			 uint32_t type, uint32_t fields)
{
	fp_reader_init(r, data, bytes, fields);
	if (fp_read_u64(r, UINT32_MAX) != type)
		r->bad = true;
}

static enum fp_status close_message(struct fp_reader *r, const char *what,
				    struct fp_msg_memory *mem)
{
	enum fp_status st = fp_reader_end(r, what);

	if (st != FP_OK)
		fp_msg_memory_end(mem);
	return st;
}

enum fp_status fp_msg_call_decode(const uint8_t *data, size_t bytes,
				  struct fp_msg_call *m,
				  struct fp_msg_memory *mem)
{
	struct fp_reader r;

	memset(m, 0, sizeof(*m));
	mem->texts = NULL;
	open_message(&r, data, bytes, FP_MSG_CALL, CALL_FIELDS);
	m->corr = fp_read_u64(&r, UINT64_MAX);
	fp_read_fixed(&r, m->root, sizeof(m->root));
	fp_read_text(&r, m->org, sizeof(m->org));
	m->org_weight = (uint32_t)fp_read_u64(&r, UINT32_MAX);
	m->cls = (enum fp_class)fp_read_u64(&r, FP_CLASS_COUNT - 1);
	m->rank = (uint8_t)fp_read_u64(&r, FP_SHED_RANK_COUNT - 1);
	m->nested = fp_read_bool(&r);
	m->non_idempotent = fp_read_bool(&r);
	fp_read_text(&r, m->route, sizeof(m->route));
	fp_read_text(&r, m->service, sizeof(m->service));
	fp_read_text(&r, m->caller, sizeof(m->caller));
	fp_read_text(&r, m->method, sizeof(m->method));
	fp_read_text(&r, m->uri, sizeof(m->uri));
	m->left_us = fp_read_i64(&r);
	m->attempts = (uint32_t)fp_read_u64(&r, UINT32_MAX);
	m->depth = (uint32_t)fp_read_u64(&r, FP_MAX_DEPTH);
	m->fingerprint = fp_read_u64(&r, UINT64_MAX);
	read_content(&r, &m->content, mem);
	return close_message(&r, "call", mem);
}

static void read_service_loads(struct fp_reader *r, struct fp_msg_reply *m)
{
	uint32_t n = fp_read_array(r, FP_EARLY_SHED_MAX_SERVICES);
	uint32_t c;

	for (m->n_service_loads = 0; m->n_service_loads < n;
	     m->n_service_loads++) {
		struct fp_service_load *t =
			&m->service_loads[m->n_service_loads];

		if (fp_read_array(r, SERVICE_LOAD_FIELDS) !=
		    SERVICE_LOAD_FIELDS)
			r->bad = true;
		fp_read_text(r, t->service, FP_NAME_BYTES);
		t->calls = (uint16_t)fp_read_u64(r, UINT16_MAX);
		for (c = 0; c < FP_SHED_RANK_COUNT; c++)
			t->refused_permille[c] = (uint16_t)fp_read_u64(r, 1000);
		t->used_permille = (uint16_t)fp_read_u64(r, FP_LOAD_USED_MAX);
		t->age_ms = (uint16_t)fp_read_u64(r, UINT16_MAX);
	}
}

static void read_load(struct fp_reader *r, struct fp_admission_load *l)
{
	int i;

	if (fp_read_array(r, LOAD_FIELDS) != LOAD_FIELDS)
		r->bad = true;
	l->limit = (uint32_t)fp_read_u64(r, UINT32_MAX);
	l->running = (uint32_t)fp_read_u64(r, UINT32_MAX);
	l->queued = (uint32_t)fp_read_u64(r, UINT32_MAX);
	l->delay_us = (uint32_t)fp_read_u64(r, UINT32_MAX);
	for (i = 0; i < FP_SHED_RANK_COUNT; i++)
		l->refused_permille[i] = (uint16_t)fp_read_u64(r, 1000);
}

static void read_speed(struct fp_reader *r, struct fp_worker_speed *s)
{
	if (fp_read_array(r, SPEED_FIELDS) != SPEED_FIELDS)
		r->bad = true;
	s->own_us = (uint32_t)fp_read_u64(r, UINT32_MAX);
	s->inner_us = (uint32_t)fp_read_u64(r, UINT32_MAX);

	s->rate_per_s = (uint32_t)fp_read_u64(r, UINT32_MAX);
	s->age_ms = (uint32_t)fp_read_u64(r, UINT32_MAX);
}

enum fp_status fp_msg_reply_decode(const uint8_t *data, size_t bytes,
				   struct fp_msg_reply *m,
				   struct fp_msg_memory *mem)
{
	struct fp_reader r;

	memset(m, 0, sizeof(*m));
	mem->texts = NULL;
	open_message(&r, data, bytes, FP_MSG_REPLY, REPLY_FIELDS);
	m->corr = fp_read_u64(&r, UINT64_MAX);
	m->outcome = (enum fp_outcome)fp_read_u64(&r, FP_OUTCOME_UNKNOWN);
	m->reason = (enum fp_reason)fp_read_u64(&r, FP_REASON_COUNT - 1);
	m->http_status = (int)fp_read_u64(&r, 999);
	m->run_us = fp_read_i64(&r);
	m->attempts_unused = (uint32_t)fp_read_u64(&r, UINT32_MAX);
	read_service_loads(&r, m);
	read_load(&r, &m->admission_load);
	read_speed(&r, &m->speed);
	read_content(&r, &m->content, mem);
	return close_message(&r, "reply", mem);
}

enum fp_status fp_msg_cancel_decode(const uint8_t *data, size_t bytes,
				    uint64_t *corr)
{
	struct fp_reader r;

	open_message(&r, data, bytes, FP_MSG_CANCEL, CANCEL_FIELDS);
	*corr = fp_read_u64(&r, UINT64_MAX);
	return fp_reader_end(&r, "cancel");
}

void fp_msg_memory_end(struct fp_msg_memory *mem)
{
	free(mem->texts);
	mem->texts = NULL;
}
