/* rig.h - processes, stand-ins and records shared by the review cases
 *
 * A case starts nodes as the deploy file says, with the filled settings
 * template, and plays clients, workers and the platform itself. All addresses
 * are loopback addresses of one free network 127.x.y.0.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/** Exit codes of a case. */
enum { RIG_HELD = 0, RIG_BROKEN = 1, RIG_CANNOT_RUN = 2 };

#define RIG_TEXT 64
#define RIG_HEAD 8192

/* --- life cycle, time and record --- */

/** Opens record.txt in the case's folder, the current one, and makes a
 *  temporary folder. Exits with RIG_CANNOT_RUN on failure. */
void rig_init(void);
/** Whether TROUBLE is not 0. */
bool rig_trouble(void);
/** Adds a line to the record, behind the time since rig_init(). */
void rig_note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/** Ends all processes, writes the verdict and exits. */
void rig_end(int code) __attribute__((noreturn));
/** Ends with RIG_CANNOT_RUN. */
void rig_give_up(const char *why) __attribute__((noreturn));
/** Monotonic seconds since rig_init(). */
double rig_now(void);
void rig_sleep(double s);
/** Sleeps until rig_now() is at least s. */
void rig_sleep_until(double s);
/** Starts a detached thread. */
void rig_thread(void *(*fn)(void *), void *arg);
/** Address of host n in the network of the case. */
const char *rig_ip(int n);
/** Next request id of a client, 16 hexadecimal digits. */
void rig_new_id(char id[RIG_TEXT]);

/* --- HTTP messages on sockets --- */

/** A connection and what was read from it beyond the last message. */
struct conn {
	int fd; /* -1: closed */
	char *buf;
	size_t used;
	size_t size;
	int mark; /* for the case's use; 0 at first */
};

/** A request or an answer. */
struct message {
	char head[RIG_HEAD]; /* with the empty line */
	int status; /* of an answer */
	char *body;
	size_t body_bytes;
	bool complete; /* read to its end */
};

struct conn *conn_new(int fd);
/** Connects; NULL if that fails within a second. rcvbuf 0: default. */
struct conn *conn_open(const char *ip, int port, int rcvbuf);
void conn_free(struct conn *c);
/** Reads at most that many bytes, waits for them; false at the end. */
bool conn_read_some(struct conn *c, size_t most);
bool conn_write(struct conn *c, const void *data, size_t bytes);
/** Reads a message; false if nothing or only a part of it arrived before the
 *  end of the connection or the timeout. m is to be freed in any case. */
bool conn_read(struct conn *c, struct message *m, double timeout_s);
void message_free(struct message *m);
/** Copies a header's value, "" if absent; returns whether it is there. */
bool message_header(const struct message *m, const char *name, char *out,
		    size_t size);

/* --- the platform's store, PROTOCOL.md --- */

/** Listens on rig_ip(1):8500. */
void store_start(void);
/** Writes an item without a lease, as the operator does. */
void store_put(const char *key, const char *text);
/** Whether an item is there. */
bool store_has(const char *key);
/** From now on for for_s seconds, the first write of key is carried out late_s
 *  seconds later and not answered. */
void store_lose_late(const char *key, double late_s, double for_s);
/** Number of writes that were carried out late. */
int store_late_done(void);

/* --- workers, PROTOCOL.md --- */

struct worker;
/** Runs one request and answers it on c; returns false to close c. */
typedef bool (*worker_fn)(struct worker *w, struct conn *c,
			  const struct message *m, const char *id);
struct worker {
	const char *ip;
	const char *service;
	char id[RIG_TEXT];
	int slots;
	worker_fn run;
	/* Refuses a request without running it and returns true, or returns
	 * false; NULL: none is refused. */
	worker_fn refuse;
	int64_t born_ms;
	int sequence;
	int runs;
};

/** Starts the worker beside the node of rig_ip(host) and its heartbeats. */
struct worker *worker_start(int host, const char *service, int slots,
			    worker_fn run);
/** Answers 200 with the signature and a body. */
bool worker_answer(struct conn *c, const char *id, const void *body,
		   size_t bytes);
/** Number of times that a request was run, and when it last began. */
int worker_runs_of(const char *id, double *at);
/** Start times of all runs; the caller frees them. */
double *worker_run_times(size_t *n);

/* --- nodes, DEPLOY.md --- */

struct node {
	char name[RIG_TEXT];
	const char *ip;
	char settings[256];
	pid_t pid; /* 0: not running */
	int starts;
};

/** Writes the settings from deploy/node.toml.in and starts the node. */
struct node *node_start(int host, const char *name, const char *service,
			const char *zone);
/** Starts it again with the same settings. */
void node_restart(struct node *n);
void node_signal(struct node *n, int sig);
/** Waits for the end of the process; false after timeout_s. */
bool node_wait(struct node *n, double timeout_s);
/** Whether GET /ready is answered with 200. */
bool node_ready(const struct node *n);
/** Waits until all are ready, or gives up. */
void node_wait_ready(struct node **list, int n);

/* --- clients --- */

#define HTTP_PORT 8001 /* outbound of each node */

struct request {
	const char *method;
	const char *path;
	const char *headers; /* further lines, each with CR LF; or NULL */
	const char *body; /* or NULL */
	int deadline_ms;
	const char *key; /* or NULL */
};

/** Sends a request with a new id; false if the connection is gone. */
bool client_send(struct conn *c, const struct request *r, char id[RIG_TEXT]);

/** A route of a configuration, as JSON text; a comma must separate several. */
const char *route_json(char out[512], const char *name, const char *prefix,
		       const char *kind, const char *service,
		       const char *timeout);
/** Writes op/config with the routes and the tenant t1 with the key k1. */
void config_put(int version, const char *routes, int rate, int burst);

#endif
