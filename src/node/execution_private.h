/* execution_private.h - state shared by the files of an execution */
#ifndef FP_NODE_EXECUTION_PRIVATE_H
#define FP_NODE_EXECUTION_PRIVATE_H

#include "node/traffic_private.h"

#define CALL_HEX_BYTES (FP_CALL_ID_BYTES * 2 + 1)
/* Prints of failed nested calls that an execution remembers. */
#define MAX_FAILED 16
/* Headers that a node adds, and room for those that are made for the call. */
#define BACKEND_OWN_HEADERS 8
#define BACKEND_TEXTS	    3
#define BACKEND_TEXT_BYTES  64

/** One call at the worker, from its arrival to its reply. */
struct execution {
	struct fp_traffic *t;
	struct fp_peer_link *link; /* NULL: from this node itself */
	bool link_gone; /* the reply goes to nobody */
	uint8_t call_id[FP_CALL_ID_BYTES];
	uint8_t *data; /* the encoded call, which msg points into */
	struct fp_msg_call msg;
	struct fp_msg_memory memory;
	struct fp_attempt_pot pot;
	uint64_t admission_id;
	const char *request_id; /* the caller's; NULL: none */
	bool running; /* admission started it */
	int64_t deadline_us;
	int64_t sent_us; /* to the backend server */
	struct fp_http_send *send;
	struct fp_touch touched[FP_EARLY_MAX_TOUCHED];
	uint32_t n_touched;
	uint64_t failed[MAX_FAILED]; /* prints of nested calls that failed */
	uint32_t n_failed;
};

/* --- backend_call.c --- */

/** Reads outcome, reason and content out of what came back. */
void backend_judge(const struct fp_traffic *t, const struct fp_http_result *res,
		   struct fp_msg_reply *r);
/** Writes the URL of a request target at the backend server. */
void backend_url(const struct fp_traffic *t, const char *uri, char *url,
		 size_t size);
/** Tells the backend server that an execution was given up, if it is told. */
void backend_cancel(struct execution *e);
/** Fills in the headers that the node adds; returns their number. */
uint32_t backend_headers(const struct execution *e, int64_t left_us,
			 struct fp_http_header *h,
			 char texts[BACKEND_TEXTS][BACKEND_TEXT_BYTES]);

#endif
