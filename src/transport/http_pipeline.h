/* http_pipeline.h - connections whose requests are read while earlier ones of
 * the same connection are not answered yet (transport-private) */
#ifndef FP_TRANSPORT_HTTP_PIPELINE_H
#define FP_TRANSPORT_HTTP_PIPELINE_H

#include "transport/byte_account.h"
#include "transport/http_head.h"

#ifdef __cplusplus
extern "C" {
#endif

struct http_pipeline;
/** The place of one request in the order of its connection. */
struct http_pipelined;

/** Callbacks from the loop, see loop.h; may_accept and close_idle answer from
 *  counts and call nothing above. */
struct http_pipeline_handler {
	/** A request arrived. text holds the texts of head and is the handler's
	 * to free. The handler must call http_pipeline_answer() once, unless
	 * left() is called for the value that it returns. */
	void (*request)(void *ctx, struct http_pipelined *req, char *text,
			const struct http_head *head);
	/** The client left before the request with this value was answered; its
	 *  request is gone. */
	void (*left)(void *ctx, void *value);
	/** Takes over a connection whose next request is not read here. */
	void (*hand_over)(void *ctx, int fd);
	/** Whether one more connection may be accepted beside n_open of this
	 *  reader. */
	bool (*may_accept)(void *ctx, uint32_t n_open);
	/** Closes a connection that was handed over, in favour of a new one;
	 *  false: all of them are in use. */
	bool (*close_idle)(void *ctx);
	void *ctx;
};

/**
 * Accepts connections of a listening descriptor, which the caller owns.
 *
 * @param account  of the answers that are held; NULL: they are not limited
 */
enum fp_status http_pipeline_init(struct fp_loop *l, int listen_fd,
				  uint32_t max_header_bytes,
				  struct fp_byte_account *account,
				  const struct http_pipeline_handler *h,
				  struct http_pipeline **out);

/** Sets the value that identifies the request at left(). Like
 *  http_pipeline_answer(), valid until the request is answered or left() is
 *  called for it, also if its connection has ended. */
void http_pipeline_set(struct http_pipelined *req, void *value);

/**
 * Answers a request; answers are sent in the order of the requests. The answer is
 * dropped if the connection has ended.
 *
 * @return false: there is no room for the answer, and nothing was done
 */
bool http_pipeline_answer(struct http_pipelined *req, int status,
			  const struct fp_http_header *headers,
			  uint32_t n_headers, const void *body,
			  size_t body_bytes);

/** Detects clients that left, and closes connections idle for too long. */
void http_pipeline_sweep(struct http_pipeline *p);

/** Returns the number of answers that are not sent completely. */
uint32_t http_pipeline_unsent(const struct http_pipeline *p);

/** Stops accepting; open connections are kept. */
void http_pipeline_quiesce(struct http_pipeline *p);

/** Closes each connection once it has no request to answer. */
void http_pipeline_disable_keep_alive(struct http_pipeline *p);

/** Closes all connections and frees their requests, without calling the handler;
 *  accepts NULL. */
void http_pipeline_end(struct http_pipeline *p);

#ifdef __cplusplus
}
#endif
#endif
