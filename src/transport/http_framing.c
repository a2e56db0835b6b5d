/* http_framing.c - detects requests with an ambiguous body length */
#include "transport/http_framing.h"

#include <microhttpd.h>
#include <stdint.h>
#include <strings.h>

/* Numbers of headers that delimit the body. */
struct framing {
	uint32_t lengths;
	uint32_t encodings;
};

static enum MHD_Result count_framing(void *ctx, enum MHD_ValueKind kind,
				     const char *name, const char *value)
{
	struct framing *f = ctx;

	(void)kind;
	(void)value;
	if (strcasecmp(name, "Content-Length") == 0)
		f->lengths++;
	if (strcasecmp(name, "Transfer-Encoding") == 0)
		f->encodings++;
	return MHD_YES;
}

bool http_framing_is_ambiguous(struct MHD_Connection *conn)
{
	struct framing f = { 0 };

	MHD_get_connection_values(conn, MHD_HEADER_KIND, count_framing, &f);
	return f.lengths + f.encodings > 1;
}
