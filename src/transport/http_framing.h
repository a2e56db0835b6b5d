/* http_framing.h - detects requests with an ambiguous body length */
#ifndef FP_TRANSPORT_HTTP_FRAMING_H
#define FP_TRANSPORT_HTTP_FRAMING_H

#include <stdbool.h>

struct MHD_Connection;

/**
 * Whether more than one header delimits the body of a request.
 *
 * Two parsers may then take different ends of the body, and the rest of it
 * could be smuggled as a request of its own.
 */
bool http_framing_is_ambiguous(struct MHD_Connection *conn);

#endif
