/* where.h - POST /v1/where: where a request would go now, and why */
#ifndef FP_NODE_WHERE_H
#define FP_NODE_WHERE_H

#include "node/traffic.h"
#include "transport/http_server.h"
#include "transport/loop.h"

/** A question: the method, host, path, organisation and class of a request. */
struct where_question;

/**
 * Reads a question from the body of a request.
 *
 * @param reason  set to a text if it is malformed
 * @return NULL if it is malformed
 */
struct where_question *where_parse(const struct fp_http_request *r,
				   const char **reason);

/** Frees a question that is not asked; accepts NULL. */
void where_end(struct where_question *q);

/** Asks the traffic thread and answers the exchange, which belongs to loop;
 *  frees the question. Call it on the loop's thread. */
void where_ask(struct where_question *q, struct fp_loop *loop,
	       struct fp_traffic *t, struct fp_http_exchange *x);

/** Parses, asks and answers; a malformed question is answered with 400. */
void where_request(struct fp_loop *loop, struct fp_traffic *t,
		   struct fp_http_exchange *x, const struct fp_http_request *r);

#endif
