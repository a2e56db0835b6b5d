/* http_framing.h - requests whose end could be read in two ways */
#ifndef FP_TRANSPORT_HTTP_FRAMING_H
#define FP_TRANSPORT_HTTP_FRAMING_H

#include <stdbool.h>

struct MHD_Connection;

/** Whether more than one header says where the body of a request ends. */
bool http_framing_is_unclear(struct MHD_Connection *conn);

#endif
