/* http_head.h - heads of requests that may be read ahead (transport-private) */
#ifndef FP_TRANSPORT_HTTP_HEAD_H
#define FP_TRANSPORT_HTTP_HEAD_H

#include "transport/http_server.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Maximum number of header fields of a request that is read here. */
#define HTTP_HEAD_MAX_FIELDS 64

/** A request head, parsed in place. */
struct http_head {
	const char *uri;
	struct fp_http_header headers[HTTP_HEAD_MAX_FIELDS];
	uint32_t n_headers;
};

/**
 * Parses one request without a body.
 *
 * Only a GET request in the strict form of RFC 9112 whose head cannot be read
 * in two ways is accepted; on success its texts are terminated in place.
 *
 * @return bytes of the head; 0: it is incomplete; -1: it is not for this reader
 */
int32_t http_head_parse(char *text, size_t bytes, struct http_head *out);

#ifdef __cplusplus
}
#endif
#endif
