/* http_framing.h - detects requests with an ambiguous body length */
#ifndef FP_TRANSPORT_HTTP_FRAMING_H
#define FP_TRANSPORT_HTTP_FRAMING_H

#include <stdbool.h>

struct MHD_Connection;

/**
 * Whether more than one header delimits the body of a request.
 *
 * Another parser on the path may then determine a different end of the body, so
 * that the rest of the body is parsed as a second request (request smuggling).
 */
bool http_framing_is_ambiguous(struct MHD_Connection *conn);

#endif
