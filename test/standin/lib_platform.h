/* lib_platform.h - simulates the users' platform: its store and its servers
 *
 * The store implements the platform's published calls and can simulate
 * faults. A server beside a node runs requests, records their headers and
 * announces itself. Both run in the process of the test, with their own
 * threads; any thread may call the functions, except to end an object that
 * is in use. They are for tests of hosted nodes.
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
	PLATFORM_NO_ANSWER, /**< not executed, closed after 5 s */
	PLATFORM_ANSWER_LOST, /**< executed, closed without answer */
};

/** Listens on "IP:PORT"; NULL if that is not possible. */
struct platform_store *platform_store_init(const char *listen);
/** Sets the fault of the calls through all addresses that have none of their
 *  own. */
void platform_store_set_fault(struct platform_store *s,
			      enum platform_fault fault);
struct platform_endpoint;

/** Opens another address of the store with a fault of its own, so that only
 *  some of the callers are affected; NULL if it cannot listen there. */
struct platform_endpoint *platform_endpoint_init(struct platform_store *s,
						 const char *listen);
/** Sets the fault of the calls through this address; PLATFORM_NO_FAULT
 *  leaves that of the store in force. */
void platform_endpoint_set_fault(struct platform_endpoint *e,
				 enum platform_fault fault);
/** Closes the address; call it before the store is ended. */
void platform_endpoint_end(struct platform_endpoint *e);
/** Writes an item without a lease, as an operator does. */
void platform_store_write(struct platform_store *s, const char *key,
			  const char *value);
/** Removes an item, as when its lease expires. */
void platform_store_remove(struct platform_store *s, const char *key);
/** Expires all leases, as an outage does. */
void platform_store_expire_leases(struct platform_store *s);
struct platform_copy;

/** Copies what the store holds. */
struct platform_copy *platform_store_copy(struct platform_store *s);
/** Ends the store's fault and replaces what it holds by a copy: later writes and
 *  leases are lost, revisions are given out again, the era rises, and waiting
 *  watches are cut. With a key that item is written before any call is
 *  answered, as by an operator whose call waited; NULL: none. */
void platform_store_restore(struct platform_store *s,
			    const struct platform_copy *c, const char *key,
			    const char *value);
/** Frees a copy; NULL is ignored. */
void platform_copy_end(struct platform_copy *c);
/** Number of items under a prefix. */
int platform_store_count(struct platform_store *s, const char *prefix);
/** Number of calls since the start through all addresses, including refused
 *  ones. */
int platform_store_calls(struct platform_store *s);
/** Closes the store's address and frees the store. */
void platform_store_end(struct platform_store *s);

struct platform_server;

/** Identity of a server and its handling of requests. */
struct platform_server_opts {
	const char *address; /**< "IP:PORT" on which it listens */
	const char *control; /**< "IP:PORT" to which it announces itself */
	const char *service;
	const char *id;
	int64_t born_ms; /**< start time that announcements carry */
	int run_ms; /**< time to run a request */
	bool close_without_answer; /**< instead of answering */
	/** Requests whose path contains this text get a body without end, in
	 *  chunks; NULL: none. */
	const char *endless_path;
	/** Requests whose path contains this text get a body of large_bytes;
	 *  NULL: none. */
	const char *large_path;
	int large_bytes;
	/** Requests whose path contains this text run for slow_ms; NULL:
	 *  none. */
	const char *slow_path;
	int slow_ms;
	/** Load that it reports with a refusal of each request; NULL: it
	 *  refuses none. */
	const char *refusal_load;
	/** Called as it begins to run a request, on any thread; may be
	 *  NULL. */
	void (*on_run)(void *arg, const char *request_id);
	void *on_run_arg;
	/** Nested request that it sends to its node while running one. */
	const char *nested_url; /**< NULL: none */
	const char *nested_host; /**< its Host header */
};

/** Starts a server; the texts of o must stay valid. NULL if it cannot
 *  listen. */
struct platform_server *
platform_server_init(const struct platform_server_opts *o);
/** Announces the server once, with a state such as "ready" or "draining";
 *  false if not acknowledged. */
bool platform_server_announce(struct platform_server *s, const char *state);
/** Lets the server announce itself as started again under its id. */
void platform_server_set_born(struct platform_server *s, int64_t born_ms);
/** Sets how much longer the server is cold, as its announcements from now on
 *  say; at first it is warm. */
void platform_server_set_cold(struct platform_server *s, int ms);
/** Deregisters the server; false if not acknowledged. */
bool platform_server_deregister(struct platform_server *s);
/** Number of requests that the server began to run. */
int platform_server_run_count(struct platform_server *s);
/** Copies a header of the request that the server ran last; "" if absent or not
 *  among the recorded ones. */
void platform_server_last_header(struct platform_server *s, const char *name,
				 char *value, int value_bytes);
/** Size of the body of the request that the server ran last. */
long platform_server_last_body_bytes(struct platform_server *s);
/** HTTP status of the server's last nested request, 0 before the first. */
long platform_server_nested_status(struct platform_server *s);
/** Stops the server and frees it; NULL is ignored. */
void platform_server_end(struct platform_server *s);

#ifdef __cplusplus
}
#endif
#endif
