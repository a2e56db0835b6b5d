/* lib_platform.h - the users' platform in one process: store and servers
 *
 * The store speaks the platform's published calls and can be told to fail; a
 * server beside a node runs requests, notes what it was sent and announces
 * itself. Both are for tests of hosted nodes.
 */
#ifndef STANDIN_LIB_PLATFORM_H
#define STANDIN_LIB_PLATFORM_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct platform_store;

/** How the store treats calls. */
enum platform_trouble {
	PLATFORM_WELL,
	PLATFORM_BUSY, /**< 503, nothing done */
	PLATFORM_SILENT, /**< no answer, nothing done */
	PLATFORM_LOST, /**< done, and the connection ends without an answer */
};

/** Listens on "IP:PORT"; NULL when it is taken. */
struct platform_store *platform_store_init(const char *listen);
void platform_store_set(struct platform_store *s, enum platform_trouble t);
struct platform_door;

/** A further address of the store with trouble of its own, so that it turns some
 *  of its callers away and serves the others; NULL when it is taken. */
struct platform_door *platform_door_init(struct platform_store *s,
					 const char *listen);
void platform_door_set(struct platform_door *d, enum platform_trouble t);
/** To be called before the store is ended. */
void platform_door_end(struct platform_door *d);
/** Writes an item as the operator does. */
void platform_store_write(struct platform_store *s, const char *key,
			  const char *value);
/** Removes an item, as it goes when its lease lapses. */
void platform_store_remove(struct platform_store *s, const char *key);
/** Ends all leases, as they lapse in an outage. */
void platform_store_lapse(struct platform_store *s);
/** Number of items under a prefix. */
int platform_store_count(struct platform_store *s, const char *prefix);
/** Calls taken since the start, refused ones too. */
int platform_store_calls(struct platform_store *s);
void platform_store_end(struct platform_store *s);

struct platform_server;

/** What a server does with requests. */
struct platform_server_opts {
	const char *address; /**< "IP:PORT" where it listens */
	const char *control; /**< "IP:PORT" that it announces itself to */
	const char *service;
	const char *id;
	int64_t born_ms;
	int run_ms;
	bool drop; /**< runs, then closes without an answer */
	/** While it runs a request it makes this one itself, at its node. */
	const char *inner_url; /**< NULL: none */
	const char *inner_host;
};

struct platform_server *
platform_server_init(const struct platform_server_opts *o);
/** Announces once; false when that was not acknowledged. */
bool platform_server_announce(struct platform_server *s, const char *state);
/** Its last word. */
bool platform_server_farewell(struct platform_server *s);
/** Requests that it began to run. */
int platform_server_runs(struct platform_server *s);
/** Copies a header of the request that it ran last; "" when absent. */
void platform_server_last(struct platform_server *s, const char *name,
			  char *value, int value_bytes);
/** Status of the last inner call that it made. */
long platform_server_inner(struct platform_server *s);
void platform_server_end(struct platform_server *s);

#ifdef __cplusplus
}
#endif
#endif
