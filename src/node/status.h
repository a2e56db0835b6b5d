/* status.h - GET /v1/status and GET /v1/slo of the admin port */
#ifndef FP_NODE_STATUS_H
#define FP_NODE_STATUS_H

#include "node/control_private.h"

/**
 * Handles GET /v1/status and GET /v1/slo of the admin port.
 *
 * The operator's key is checked against the configuration in force at this
 * node, so both work while the store is unreachable. A node without a
 * configuration reads it from the store.
 *
 * @return false when the request is for another path or method
 */
bool status_request(struct fp_control *c, struct fp_http_exchange *x,
		    const struct fp_http_request *r);

#endif
