/* execution_private.h - shared by execution.c and backend_call.c */
#ifndef FP_NODE_EXECUTION_PRIVATE_H
#define FP_NODE_EXECUTION_PRIVATE_H

#include "node/traffic_private.h"

/* Size of a call id in hexadecimal digits, including NUL. */
#define CALL_HEX_BYTES (FP_CALL_ID_BYTES * 2 + 1)
/* Maximum number of failed nested calls recorded for an execution. */
#define MAX_FAILED 16
/* Maximum number of headers that a node adds to a request. */
#define BACKEND_OWN_HEADERS 8
/* Number of these whose values are formatted for each call, and the size of one
 * such value, including NUL. */
#define BACKEND_TEXTS	   3
#define BACKEND_TEXT_BYTES 64

/** One call at this node's worker, from its arrival to its reply. */
struct execution {
	struct fp_traffic *t;
	struct fp_peer_link *link; /* NULL: from this node itself */
	bool link_lost; /* the reply is dropped */
	uint8_t call_id[FP_CALL_ID_BYTES];
	uint8_t *data; /* the encoded call; msg points into it */
	struct fp_msg_call msg;
	struct fp_msg_memory memory; /* of the decoded message */
	struct fp_attempt_budget attempt_budget;
	uint64_t admission_id; /* its id at admission */
	/* by the caller's id of the request; its id is NULL if there is none, its
	 * owner NULL until the body is whole */
	struct fp_id_entry by_request;
	struct fp_byte_holder hold; /* of data and body, if over a link */
	uint8_t *body; /* of a call whose body comes in parts, else NULL */
	bool arriving; /* the body is not whole */
	bool running; /* admission started it; it holds a slot */
	int64_t deadline_us;
	int64_t sent_us; /* when it was sent to the backend server */
	/* for the model of the worker's speed */
	struct fp_worker_run run;
	bool in_model; /* run is set */
	uint32_t n_nested; /* nested calls that are open */
	int64_t nested_since_us; /* since when there are any */
	int64_t inner_us; /* time in which there were any, before that */
	struct fp_http_send *send; /* request to the backend server, or NULL */
	/* services that the subtree of this call reached; only name and calls
	 * are set */
	struct fp_service_load loads[FP_EARLY_SHED_MAX_SERVICES];
	uint32_t n_loads;
	uint64_t failed[MAX_FAILED]; /* fingerprints of failed nested calls */
	uint32_t n_failed; /* failures recorded so far; may exceed MAX_FAILED */
};

/* --- speed.c --- */

/** Records that an execution was sent to the worker at sent_us. */
void speed_run_started(struct execution *e);
/** Records that it ended; complete: the worker ran it to its end. Does nothing
 *  if it was not sent. */
void speed_run_ended(struct execution *e, bool complete);
/** Reads the load that an answer of the worker tells. */
void speed_note_answer(struct fp_traffic *t, const struct fp_http_result *res);
/** Reads what is known for the route of an execution. */
void speed_read(const struct execution *e, struct fp_worker_speed *speed);
/** Updates the learned limit; returns whether it changed. */
bool speed_update_concurrency(struct fp_traffic *t, int64_t now_us);

/* --- backend_call.c --- */

/** Sets outcome, reason and content of a reply from an HTTP result. */
void backend_read_result(const struct fp_traffic *t,
			 const struct fp_http_result *res,
			 struct fp_msg_reply *r);
/** Formats the URL of a request target at the backend server. */
void backend_url(const struct fp_traffic *t, const char *uri, char *url,
		 size_t size);
/** Notifies the backend server of a cancelled execution, if its dialect has a
 *  path for it. */
void backend_cancel(struct execution *e);
/** Fills in the headers that the node adds, with left_us as the time until the
 *  deadline; formatted values are stored in texts. Returns their number. */
uint32_t backend_headers(const struct execution *e, int64_t left_us,
			 struct fp_http_header *h,
			 char texts[BACKEND_TEXTS][BACKEND_TEXT_BYTES]);

#endif
