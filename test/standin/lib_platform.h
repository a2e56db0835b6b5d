/* lib_platform.h - simulated users' platform in one process: store and servers
 *
 * The store implements the platform's published calls and can simulate faults.
 * A server beside a node runs requests, records their headers and announces
 * itself. Both serve tests of hosted nodes.
 */
#ifndef STANDIN_LIB_PLATFORM_H
#define STANDIN_LIB_PLATFORM_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct platform_store;

/** Fault of the calls to the store. */
enum platform_fault {
	PLATFORM_NO_FAULT,
	PLATFORM_UNAVAILABLE, /**< 503, call not executed */
	PLATFORM_NO_ANSWER, /**< no answer, call not executed */
	PLATFORM_ANSWER_LOST, /**< call executed, connection closed without answer */
};

/** Listens on "IP:PORT"; NULL if that is not possible. */
struct platform_store *platform_store_init(const char *listen);
void platform_store_set_fault(struct platform_store *s, enum platform_fault t);
struct platform_endpoint;

/** Opens another address of the store with a fault of its own, so that only
 *  some of the callers are affected; NULL if it cannot listen there. */
struct platform_endpoint *platform_endpoint_init(struct platform_store *s,
						 const char *listen);
void platform_endpoint_set_fault(struct platform_endpoint *d,
				 enum platform_fault t);
/** Closes the address; call it before the store is ended. */
void platform_endpoint_end(struct platform_endpoint *d);
/** Writes an item without a lease, as an operator does. */
void platform_store_write(struct platform_store *s, const char *key,
			  const char *value);
/** Removes an item, as when its lease expires. */
void platform_store_remove(struct platform_store *s, const char *key);
/** Expires all leases, as an outage does. */
void platform_store_expire_leases(struct platform_store *s);
/** Number of items under a prefix. */
int platform_store_count(struct platform_store *s, const char *prefix);
/** Number of calls since the start, including refused ones. */
int platform_store_calls(struct platform_store *s);
void platform_store_end(struct platform_store *s);

struct platform_server;

/** Identity of a server and its handling of requests. */
struct platform_server_opts {
	const char *address; /**< "IP:PORT" on which it listens */
	const char *control; /**< "IP:PORT" to which it announces itself */
	const char *service;
	const char *id;
	int64_t born_ms;
	int run_ms;
	bool close_without_answer; /**< runs a request, then closes without answer */
	/** Nested request that it sends to its node while running one. */
	const char *nested_url; /**< NULL: none */
	const char *nested_host;
};

struct platform_server *
platform_server_init(const struct platform_server_opts *o);
/** Announces itself once; false if not acknowledged. */
bool platform_server_announce(struct platform_server *s, const char *state);
/** Deregisters; false if not acknowledged. */
bool platform_server_deregister(struct platform_server *s);
/** Number of requests that it began to run. */
int platform_server_run_count(struct platform_server *s);
/** Copies a header of the request that it ran last; "" if absent. */
void platform_server_last_header(struct platform_server *s, const char *name,
				 char *value, int value_bytes);
/** HTTP status of its last nested request. */
long platform_server_nested_status(struct platform_server *s);
void platform_server_end(struct platform_server *s);

#ifdef __cplusplus
}
#endif
#endif
