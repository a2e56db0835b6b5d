/* dialect.h - header names and announcement format used with outside programs
 *
 * The product has header names of its own (fp_dialect_own). A deployment whose
 * callers and backend servers use other names supplies another table, so that
 * no other file depends on them.
 */
#ifndef FP_PROTOCOL_DIALECT_H
#define FP_PROTOCOL_DIALECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "state/config.h"
#include "state/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Maximum number of slots that a backend server may announce. */
#define FP_MAX_SLOTS 100000

/** An announcement of a backend server about itself. */
struct fp_announcement {
	char instance[FP_INSTANCE_BYTES]; /**< differs after each start */
	char service[FP_NAME_BYTES]; /**< "": not announced */
	char address[32]; /**< "ip:port"; "": not announced */
	uint16_t port; /**< 0: not announced */
	uint32_t slots; /**< number of requests that it can run at a time */
	bool serving; /**< false: it is leaving, or has left */
	bool deregister; /**< only instance and started_ms are set */
	bool has_sequence; /**< sequence is set */
	/** start time of the instance, Unix milliseconds; 0: not announced */
	int64_t started_ms;
	/** remaining time of its slow start; -1: not announced */
	int64_t slow_start_us;
	uint64_t sequence; /**< increases within one instance */
};

/** What a backend server says about its own load. */
struct fp_backend_load {
	uint32_t running; /**< requests that it runs */
	uint32_t waiting; /**< requests in its queue */
	uint32_t slots; /**< requests that it can run at a time */
	/** time that work takes on its machine at this moment, percent of the
	 * usual; 0: not reported */
	uint32_t work_percent;
};

/** Header names, NULL where there is none, and other conventions. */
struct fp_dialect {
	const char *request_id; /**< set by the caller, echoed by the server */
	const char *deadline_ms; /**< time left; from callers, to the server */
	const char *key; /**< its whole value is the API key; NULL: the key is
			  *   the bearer token in Authorization */
	const char *call; /**< call id of the parent of a nested call */
	const char *root; /**< to the server: id of the root call */
	const char *org; /**< to the server: organisation of the caller */
	const char *cls; /**< to the server: class of the request */
	const char *caller_service; /**< to the server: calling service */
	const char *target; /**< to the server: the intended instance */
	/** from the server: the request did not run. Valid if present with
	 *  misdirected_not_run, otherwise only if "1" with status 503 */
	const char *not_run;
	const char *backend_load; /**< from the server: its load */
	const char *cancel_path; /**< posted to the server to cancel a call;
				  *   NULL: the connection is closed instead */
	const char *ready_path; /**< path of the readiness probe */
	bool forward_host; /**< the caller's Host is forwarded to the server */
	/** 421 from the server means that another instance has the address and
	 *  that the request did not run */
	bool misdirected_not_run;
	/** to callers, 408, 421, 429 and 503 mean that the request did not run
	 *  and never will, and no other status means that */
	bool status_means_not_run;
	/**
	 * Nested calls arrive like requests of callers: the id of a nested call
	 * is the id of its parent request, followed by this text and more.
	 * NULL: nested calls carry their parent's call id in the header call.
	 */
	const char *nested_id_infix;

	/**
	 * Parses an announcement of a backend server.
	 *
	 * @return FP_OK; FP_NOT_FOUND if the request is not an announcement;
	 *         FP_INVALID with a last message if it is malformed
	 */
	enum fp_status (*announcement)(const char *method, const char *uri,
				       const uint8_t *body, size_t bytes,
				       struct fp_announcement *out);
	/** Parses the value of the header backend_load; FP_OK or FP_INVALID. */
	enum fp_status (*load)(const char *text, struct fp_backend_load *out);
	/** Parses the configuration record; NULL: the product's own format. */
	enum fp_status (*config)(const char *text, size_t bytes,
				 struct fp_config **out);
	const char *config_key; /**< store key of that record */
	/** Prefix of all store keys of operators, config_key included. */
	const char *operator_prefix;
	/** Prefix of the store keys that name an evacuated failure domain. */
	const char *evacuation_prefix;
};

extern const struct fp_dialect fp_dialect_own;

#ifdef __cplusplus
}
#endif
#endif
