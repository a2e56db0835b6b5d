/*
 * http_answer.c - which of the bytes that a server sends are an answer
 *
 * An answer exists only from the empty line that ends its head, whatever the
 * library reports: a connection that ends within a head leaves a status and
 * some header fields that prove nothing. It is complete only if its end was
 * delimited (by a length, by chunks, or by a status without a body) and reached.
 * A body that ends with its connection cannot be distinguished from a truncated
 * one.
 *
 * Answers are held whole until they are complete, so a server that never ends
 * one costs memory. Each answer has a limit, and so has their sum: when it is
 * reached, the largest answer is given up, as an endless one outgrows the others.
 *
 * A server may write an answer twice, or late, on a connection that is in use
 * again. Such bytes are recognised by the echo header, which names the request
 * that an answer belongs to. On a connection that served other requests before,
 * an answer without that header belongs to no request. The beginning of such
 * bytes may also be followed by the answer itself, which then continues their
 * head. So a head with a second status line, a line that is no header field, or
 * two lengths belongs to no request either. Nor does one whose status is none of
 * HTTP, from 100 to 599, whatever follows it.
 */
#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/log.h"
#include "transport/http_client_private.h"

#define MAX_HEAD_BYTES	 16384 /* of an answer, interim ones included */
#define MAX_NAME_BYTES	 255 /* of a header field */
#define BODY_FIRST_BYTES 4096 /* first allocation for a body */

void http_answer_clear(struct fp_http_send *s)
{
	uint32_t i;

	for (i = 0; i < s->n_headers; i++)
		free((char *)(uintptr_t)s->headers[i].name);
	s->n_headers = 0;
	s->body_bytes = 0;
}

/* --- body --- */

/* Tells the account how much is held; false: there is no room for it. */
static bool account_for(struct fp_http_client *c, size_t held_bytes)
{
	return !c->account || fp_byte_set_received(c->account, held_bytes,
						   fp_loop_now_us(c->loop));
}

void http_answer_free(struct fp_http_send *s)
{
	s->client->held_bytes -= s->body_size;
	account_for(s->client, s->client->held_bytes);
	free(s->body);
	s->body = NULL;
	s->body_size = 0;
	s->body_bytes = 0;
}

/* Drops what was received of an answer. Its request ends with FP_IO when the
 * library has returned: transfers must not be removed in its callbacks. */
static void give_up(struct fp_http_send *s, size_t needed_bytes)
{
	struct fp_http_client *c = s->client;

	fp_log(FP_LOG_WARN, "answer_given_up",
	       "bytes=%zu limit=%zu held=%zu held_limit=%zu", needed_bytes,
	       s->max_answer_bytes, c->held_bytes, c->max_held_bytes);
	s->given_up = true;
	http_answer_free(s);
	http_send_unlink(s);
	http_send_link(s, &c->given_up);
}

static struct fp_http_send *largest_answer(const struct fp_http_client *c)
{
	struct fp_http_send *largest = NULL;
	struct fp_http_send *s;

	for (s = c->active; s; s = s->next)
		if (!largest || s->body_size > largest->body_size)
			largest = s;
	return largest;
}

/* Makes room for a body that grows from s->body_size to size, at the cost of
 * the largest one; false if that is this one. */
static bool make_room(struct fp_http_send *s, size_t size)
{
	struct fp_http_client *c = s->client;
	struct fp_http_send *largest;

	while (c->held_bytes - s->body_size + size > c->max_held_bytes ||
	       !account_for(c, c->held_bytes - s->body_size + size)) {
		largest = largest_answer(c);
		if (size >= largest->body_size)
			return false;
		give_up(largest, largest->body_bytes);
	}
	return true;
}

/* Allocates a body for at least needed bytes; false if it may not grow. */
static bool grow_body(struct fp_http_send *s, size_t needed)
{
	size_t size = s->body_size ? s->body_size : BODY_FIRST_BYTES;
	uint8_t *body;

	if (needed > s->max_answer_bytes)
		return false;
	while (size < needed)
		size *= 2;
	if (size > s->max_answer_bytes)
		size = s->max_answer_bytes;
	if (size <= s->body_size)
		return true;
	if (!make_room(s, size))
		return false;
	body = realloc(s->body, size);
	if (!body)
		return false;
	s->client->held_bytes += size - s->body_size;
	s->body = body;
	s->body_size = size;
	return true;
}

size_t http_answer_on_body(char *data, size_t size, size_t n, void *ctx)
{
	struct fp_http_send *s = ctx;
	size_t needed = s->body_bytes + size * n;

	if (s->given_up)
		return 0;
	if (!grow_body(s, needed)) {
		give_up(s, needed);
		return 0;
	}
	memcpy(s->body + s->body_bytes, data, size * n);
	s->body_bytes = needed;
	return size * n;
}

/* --- head --- */

/* Whether an answer whose headers have ended may belong to an earlier request:
 * it does not say to which one it belongs, and the connection has served others
 * before. Interim answers say nothing. */
static bool may_be_stale(struct fp_http_send *s)
{
	long n_connects = 0;
	long http_status = 0;

	if (!s->echo_value || s->echo_seen)
		return false;
	curl_easy_getinfo(s->easy, CURLINFO_RESPONSE_CODE, &http_status);
	curl_easy_getinfo(s->easy, CURLINFO_NUM_CONNECTS, &n_connects);
	return http_status >= 200 && n_connects == 0;
}

/* Whether a status line occurs behind the start of a line: what was sent before
 * it broke off within a head. */
static bool contains_status_line(const char *line)
{
	const char *at = line + 1;

	while ((at = strstr(at, "HTTP/1."))) {
		if (isdigit((unsigned char)at[7]) && at[8] == ' ' &&
		    isdigit((unsigned char)at[9]))
			return true;
		at++;
	}
	return false;
}

/* Splits "Name: value\r\n" in place; false if it is no header field. */
static bool split_field(char *line, char **value)
{
	size_t name_bytes = strcspn(line, ": \t\r\n");

	if (!name_bytes || name_bytes > MAX_NAME_BYTES ||
	    line[name_bytes] != ':')
		return false;
	line[name_bytes] = '\0';
	*value = line + name_bytes + 1;
	*value += strspn(*value, " \t");
	(*value)[strcspn(*value, "\r\n")] = '\0';
	return true;
}

/* Whether a field agrees with the request and with the fields before it. */
static bool field_is_valid(struct fp_http_send *s, const char *name,
			   const char *value)
{
	const char *earlier;

	if (s->echo_value && strcasecmp(name, s->echo_header) == 0) {
		s->echo_seen = true;
		return strcmp(value, s->echo_value) == 0;
	}
	if (strcasecmp(name, "Content-Length") != 0)
		return true;
	earlier = fp_http_find_header(s->headers, s->n_headers, name);
	return value[0] && !value[strspn(value, "0123456789")] &&
	       (!earlier || strcmp(earlier, value) == 0);
}

/* Stores a header field; false: the answer cannot be accepted. */
static bool store_field(struct fp_http_send *s, const char *data, size_t len)
{
	char *line = strndup(data, len);
	char *value;

	if (!line)
		return false;
	if (s->n_headers == MAX_ANSWER_HEADERS || contains_status_line(line) ||
	    !split_field(line, &value) || !field_is_valid(s, line, value)) {
		free(line);
		return false;
	}
	s->headers[s->n_headers].name = line;
	s->headers[s->n_headers].value = value;
	s->n_headers++;
	return true;
}

/* Whether a line begins an answer: "HTTP/1.1 200", then a space and a reason or
 * nothing. The library takes other numbers for a status too. */
static bool is_status_line(const char *line)
{
	size_t digits;

	if (strncmp(line, "HTTP/1.", 7) != 0 ||
	    !isdigit((unsigned char)line[7]) || line[8] != ' ')
		return false;
	line += 9;
	digits = strspn(line, "0123456789");
	return digits == 3 && line[0] >= '1' && line[0] <= '5' &&
	       strchr(" \r\n", line[digits]);
}

/* Starts a head; what was stored belongs to an interim answer. */
static bool begin_head(struct fp_http_send *s, const char *data, size_t len)
{
	char *line = strndup(data, len);
	bool valid =
		line && is_status_line(line) && !contains_status_line(line);

	free(line);
	http_answer_clear(s);
	s->echo_seen = false;
	s->head_state = IN_HEAD;
	return valid;
}

static bool end_head(struct fp_http_send *s)
{
	long http_status = 0;

	curl_easy_getinfo(s->easy, CURLINFO_RESPONSE_CODE, &http_status);
	s->head_state = http_status >= 200 ? AFTER_HEAD : BEFORE_HEAD;
	return !may_be_stale(s);
}

size_t http_answer_on_line(char *data, size_t size, size_t n, void *ctx)
{
	struct fp_http_send *s = ctx;
	size_t len = size * n;
	bool accepted;

	if (s->head_state == AFTER_HEAD)
		return len;
	s->head_bytes += len;
	if (s->head_bytes > MAX_HEAD_BYTES)
		return 0;
	if (s->head_state == BEFORE_HEAD)
		accepted = begin_head(s, data, len);
	else if (data[0] == '\r' || data[0] == '\n')
		accepted = end_head(s);
	else
		accepted = store_field(s, data, len);
	return accepted ? len : 0;
}

/* --- end --- */

/* Whether the end of the body was delimited, so that a truncated body would
 * have been detected. */
static bool body_is_delimited(struct fp_http_send *s, long http_status)
{
	const char *coding;

	if (http_status == 204 || http_status == 304)
		return true;
	coding = fp_http_find_header(s->headers, s->n_headers,
				     "Transfer-Encoding");
	if (coding)
		return strcasecmp(coding, "chunked") == 0;
	return fp_http_find_header(s->headers, s->n_headers,
				   "Content-Length") != NULL;
}

bool http_answer_is_complete(struct fp_http_send *s, long http_status)
{
	return s->head_state == AFTER_HEAD && !s->given_up &&
	       body_is_delimited(s, http_status);
}
