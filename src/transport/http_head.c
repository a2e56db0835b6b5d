/*
 * http_head.c - heads of requests that may be read ahead
 *
 * Two readers that disagree about the end of a request would let one request hide
 * in another. So a head is accepted here only in the strict form of RFC 9112, and
 * without any field that concerns its length or the connection.
 */
#include "transport/http_head.h"

#include <string.h>
#include <strings.h>

static bool is_token(char c)
{
	return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
	       (c >= 'A' && c <= 'Z') || (c && strchr("!#$%&'*+-.^_`|~", c));
}

static bool is_value(char c)
{
	return c == '\t' || ((unsigned char)c >= 0x20 && c != 0x7f);
}

/* Whether a field leaves the length of the request and the use of its
 * connection as they are without it. */
static bool is_harmless(const struct fp_http_header *h)
{
	static const char *const barred[] = {
		"Content-Length",
		"Transfer-Encoding",
		"Expect",
		"Upgrade",
		"TE",
		"Trailer",
		"Keep-Alive",
		"Proxy-Connection",
	};
	size_t i;

	if (strcasecmp(h->name, "Connection") == 0)
		return strcasecmp(h->value, "keep-alive") == 0;
	for (i = 0; i < sizeof(barred) / sizeof(barred[0]); i++)
		if (strcasecmp(h->name, barred[i]) == 0)
			return false;
	return true;
}

/* Parses "name: value" in a line that ends at end. */
static bool parse_field(char *line, char *end, struct fp_http_header *out)
{
	char *at = line;
	char *value;

	while (at < end && is_token(*at))
		at++;
	if (at == line || at == end || *at != ':')
		return false;
	*at = '\0';
	for (value = at + 1; value < end && (*value == ' ' || *value == '\t');)
		value++;
	while (end > value && (end[-1] == ' ' || end[-1] == '\t'))
		end--;
	for (at = value; at < end; at++)
		if (!is_value(*at))
			return false;
	*end = '\0';
	out->name = line;
	out->value = value;
	return true;
}

static bool parse_target(char *line, char *end, struct http_head *out)
{
	static const char method[] = "GET ";
	static const char version[] = " HTTP/1.1";
	size_t method_bytes = sizeof(method) - 1;
	size_t version_bytes = sizeof(version) - 1;
	char *at;

	if ((size_t)(end - line) <= method_bytes + version_bytes ||
	    memcmp(line, method, method_bytes) != 0 ||
	    memcmp(end - version_bytes, version, version_bytes) != 0 ||
	    line[method_bytes] != '/')
		return false;
	end -= version_bytes;
	for (at = line + method_bytes; at < end; at++)
		if (*at <= ' ' || *at == 0x7f)
			return false;
	*end = '\0';
	out->uri = line + method_bytes;
	return true;
}

/* Whether these first bytes of a head may become a request for this reader. */
static bool may_begin(const char *text, size_t bytes)
{
	return memcmp(text, "GET /", bytes < 5 ? bytes : 5) == 0;
}

int32_t http_head_parse(char *text, size_t bytes, struct http_head *out)
{
	char *line = text;
	char *head_end;
	char *end;
	uint32_t hosts = 0;

	memset(out, 0, sizeof(*out));
	if (!may_begin(text, bytes))
		return -1;
	head_end = memmem(text, bytes, "\r\n\r\n", 4);
	if (!head_end)
		return 0;
	head_end += 2; /* behind the last field's CRLF */
	end = memmem(line, (size_t)(head_end - line), "\r\n", 2);
	if (!parse_target(line, end, out))
		return -1;
	for (line = end + 2; line < head_end; line = end + 2) {
		struct fp_http_header *h = &out->headers[out->n_headers];

		end = memmem(line, (size_t)(head_end - line), "\r\n", 2);
		if (out->n_headers == HTTP_HEAD_MAX_FIELDS - 1 ||
		    !parse_field(line, end, h) || !is_harmless(h))
			return -1;
		hosts += strcasecmp(h->name, "Host") == 0;
		out->n_headers++;
	}
	return hosts == 1 ? (int32_t)(head_end + 2 - text) : -1;
}
