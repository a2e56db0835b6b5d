/* platform.c - stand-ins for the platform's store and for workers */
#include "rig.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_ITEMS  64
#define MAX_EVENTS 4096
#define MAX_LEASES 256
#define MAX_RUNS   65536

/* --- a server on one address: a thread a connection --- */

struct listener {
	int fd;
	void (*serve)(void *ctx, struct conn *c);
	void *ctx;
};

struct served {
	struct listener *l;
	int fd;
};

static void *serve_one(void *arg)
{
	struct served *s = arg;
	struct conn *c = conn_new(s->fd);

	s->l->serve(s->l->ctx, c);
	conn_free(c);
	free(s);
	return NULL;
}

static void *accept_all(void *arg)
{
	struct listener *l = arg;

	for (;;) {
		struct served *s = malloc(sizeof(*s));

		s->l = l;
		s->fd = accept4(l->fd, NULL, NULL, SOCK_CLOEXEC);
		if (s->fd < 0)
			rig_give_up("a stand-in cannot accept");
		rig_thread(serve_one, s);
	}
	return NULL;
}

static void listen_on(const char *ip, int port,
		      void (*serve)(void *ctx, struct conn *c), void *ctx)
{
	struct listener *l = calloc(1, sizeof(*l));
	struct sockaddr_in a = { .sin_family = AF_INET };
	int one = 1;

	l->serve = serve;
	l->ctx = ctx;
	l->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	a.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip, &a.sin_addr);
	setsockopt(l->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(l->fd, (struct sockaddr *)&a, sizeof(a)) != 0 ||
	    listen(l->fd, 1024) != 0)
		rig_give_up("a stand-in cannot listen");
	rig_thread(accept_all, l);
}

/* --- the store --- */

struct item {
	char key[200];
	char *value; /* base64; NULL: removed */
	int64_t revision;
	int64_t created;
	int64_t lease;
};

struct lease {
	int64_t id; /* 0: free or ended */
	double ttl_s;
	double ends_s;
};

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct item items[MAX_ITEMS];
	int n_items;
	json_t *events; /* all changes in order */
	struct lease leases[MAX_LEASES];
	int64_t last_lease;
	int64_t revision;
	char late_key[200]; /* "": no write is late */
	double late_s;
	double late_until_s;
	int late_done;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER,
	    .changed = PTHREAD_COND_INITIALIZER,
	    .last_lease = 100,
	    .revision = 1 };

static struct item *find_item(const char *key)
{
	int i;

	for (i = 0; i < store.n_items; i++)
		if (strcmp(store.items[i].key, key) == 0)
			return &store.items[i];
	return NULL;
}

static json_t *item_json(const struct item *it)
{
	if (!it->value)
		return json_pack("{s:s,s:I,s:b}", "key", it->key, "revision",
				 (json_int_t)it->revision, "deleted", 1);
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", it->key, "value",
			 it->value, "revision", (json_int_t)it->revision,
			 "created", (json_int_t)it->created, "lease",
			 (json_int_t)it->lease);
}

/* Sets an item, or removes it if value is NULL. */
static void set_item(const char *key, const char *value, int64_t lease)
{
	struct item *it = find_item(key);

	if (!it) {
		if (store.n_items == MAX_ITEMS)
			rig_give_up("the store is full");
		it = &store.items[store.n_items++];
		snprintf(it->key, sizeof(it->key), "%s", key);
	}
	store.revision++;
	if (!it->value)
		it->created = store.revision;
	free(it->value);
	it->value = value ? strdup(value) : NULL;
	it->lease = lease;
	it->revision = store.revision;
	json_array_append_new(store.events, item_json(it));
	pthread_cond_broadcast(&store.changed);
}

static struct lease *find_lease(int64_t id)
{
	int i;

	for (i = 0; id && i < MAX_LEASES; i++)
		if (store.leases[i].id == id)
			return &store.leases[i];
	return NULL;
}

static void end_lease(struct lease *l)
{
	int i;

	for (i = 0; i < store.n_items; i++)
		if (store.items[i].value && store.items[i].lease == l->id)
			set_item(store.items[i].key, NULL, 0);
	l->id = 0;
}

static void *expire_leases(void *arg)
{
	int i;

	(void)arg;
	for (;;) {
		rig_sleep(0.02);
		pthread_mutex_lock(&store.lock);
		for (i = 0; i < MAX_LEASES; i++)
			if (store.leases[i].id &&
			    store.leases[i].ends_s < rig_now())
				end_lease(&store.leases[i]);
		pthread_mutex_unlock(&store.lock);
	}
	return NULL;
}

static const char *text_of(const json_t *j, const char *name)
{
	const char *t = json_string_value(json_object_get(j, name));

	return t ? t : "";
}

static int64_t number_of(const json_t *j, const char *name)
{
	return json_integer_value(json_object_get(j, name));
}

/* Carries out a transaction; returns its status. */
static int run_txn(const json_t *in, json_t **out)
{
	const json_t *rows = json_object_get(in, "precondition");
	const json_t *writes = json_object_get(in, "writes");
	const json_t *removals = json_object_get(in, "remove");
	size_t i;

	for (i = 0; i < json_array_size(rows); i++) {
		const json_t *row = json_array_get(rows, i);
		struct item *it = find_item(text_of(row, "key"));

		if ((it && it->value ? it->revision : 0) !=
		    number_of(row, "revision")) {
			*out = json_pack("{s:[]}", "items");
			return 412;
		}
	}
	for (i = 0; i < json_array_size(writes); i++) {
		int64_t id = number_of(json_array_get(writes, i), "lease");

		if (id && !find_lease(id))
			return 404;
	}
	for (i = 0; i < json_array_size(writes); i++) {
		const json_t *w = json_array_get(writes, i);

		set_item(text_of(w, "key"), text_of(w, "value"),
			 number_of(w, "lease"));
	}
	for (i = 0; i < json_array_size(removals); i++)
		set_item(json_string_value(json_array_get(removals, i)), NULL,
			 0);
	*out = json_pack("{s:I}", "revision", (json_int_t)store.revision);
	return 200;
}

static int open_lease(const json_t *in, json_t **out)
{
	const char *ttl = text_of(in, "ttl_time");
	double ttl_s = strtod(ttl, NULL) / (strstr(ttl, "ms") ? 1000 : 1);
	int i;

	for (i = 0; i < MAX_LEASES && store.leases[i].id; i++)
		;
	if (i == MAX_LEASES)
		return 429;
	store.leases[i] =
		(struct lease){ ++store.last_lease, ttl_s, rig_now() + ttl_s };
	*out = json_pack("{s:I,s:s}", "lease", (json_int_t)store.last_lease,
			 "ttl_time", ttl);
	return 200;
}

static int keep_lease(int64_t id, json_t **out)
{
	struct lease *l = find_lease(id);
	char ttl[32];

	if (!l)
		return 404;
	l->ends_s = rig_now() + l->ttl_s;
	snprintf(ttl, sizeof(ttl), "%.0fms", l->ttl_s * 1000);
	*out = json_pack("{s:s}", "ttl_time", ttl);
	return 200;
}

/* Reads a query argument; keys and prefixes here need no decoding. */
static void query(const char *target, const char *name, char *out, size_t size)
{
	const char *at = strchr(target, '?');
	size_t len = strlen(name);

	out[0] = '\0';
	for (; at; at = strchr(at + 1, '&'))
		if (strncmp(at + 1, name, len) == 0 && at[1 + len] == '=') {
			at += len + 2;
			snprintf(out, size, "%.*s", (int)strcspn(at, "& "), at);
			return;
		}
}

static int read_key(const char *target, json_t **out)
{
	char key[200];
	struct item *it;

	query(target, "key", key, sizeof(key));
	it = find_item(key);
	*out = it && it->value ? item_json(it) : json_object();
	json_object_set_new(*out, "storeRevision",
			    json_integer(store.revision));
	return it && it->value ? 200 : 404;
}

static int read_range(const char *target, json_t **out)
{
	json_t *list = json_array();
	char prefix[200];
	int i;

	query(target, "pathPrefix", prefix, sizeof(prefix));
	for (i = 0; i < store.n_items; i++)
		if (store.items[i].value &&
		    strncmp(store.items[i].key, prefix, strlen(prefix)) == 0)
			json_array_append_new(list, item_json(&store.items[i]));
	*out = json_pack("{s:o,s:b,s:I}", "items", list, "hasMore", 0,
			 "storeRevision", (json_int_t)store.revision);
	return 200;
}

static int watch(const char *target, json_t **out)
{
	char prefix[200], text[RIG_TEXT];
	json_t *list = json_array();
	struct timespec t;
	double until_s;
	int64_t after;
	size_t i;

	query(target, "pathPrefix", prefix, sizeof(prefix));
	query(target, "after", text, sizeof(text));
	after = strtoll(text, NULL, 10);
	query(target, "waitMs", text, sizeof(text));
	until_s = rig_now() + strtod(text, NULL) / 1000;
	for (;;) {
		for (i = 0; i < json_array_size(store.events); i++) {
			json_t *e = json_array_get(store.events, i);

			if (number_of(e, "revision") > after &&
			    strncmp(text_of(e, "key"), prefix,
				    strlen(prefix)) == 0)
				json_array_append(list, e);
		}
		if (json_array_size(list) || rig_now() >= until_s)
			break;
		clock_gettime(CLOCK_REALTIME, &t);
		t.tv_nsec += 100000000;
		t.tv_sec += t.tv_nsec / 1000000000;
		t.tv_nsec %= 1000000000;
		pthread_cond_timedwait(&store.changed, &store.lock, &t);
	}
	*out = json_pack("{s:o,s:I}", "events", list, "storeRevision",
			 (json_int_t)store.revision);
	return 200;
}

/* Runs a call under the lock; returns its status. */
static int run_call(const char *target, const json_t *in, json_t **out)
{
	int64_t id = strtoll(strrchr(target, '/') + 1, NULL, 10);
	struct lease *l;

	if (strncmp(target, "/kv-key?", 8) == 0)
		return read_key(target, out);
	if (strncmp(target, "/kv-range?", 10) == 0)
		return read_range(target, out);
	if (strncmp(target, "/kv-watch?", 10) == 0)
		return watch(target, out);
	if (strcmp(target, "/kv-txn") == 0)
		return run_txn(in, out);
	if (strcmp(target, "/kv-lease") == 0)
		return open_lease(in, out);
	if (strncmp(target, "/kv-keep/", 9) == 0)
		return keep_lease(id, out);
	if (strncmp(target, "/kv-lease-end/", 14) == 0) {
		l = find_lease(id);
		if (l)
			end_lease(l);
		return l ? 200 : 404;
	}
	return 404;
}

static void *write_late(void *arg)
{
	json_t *in = arg;
	json_t *out = NULL;
	int status;

	rig_sleep(store.late_s);
	pthread_mutex_lock(&store.lock);
	status = run_txn(in, &out);
	store.late_done++;
	pthread_mutex_unlock(&store.lock);
	rig_note("store: the late write is carried out: %d", status);
	json_decref(out);
	json_decref(in);
	return NULL;
}

/* Whether a write is to be done late and not answered. */
static bool takes_late(const char *target, json_t *in)
{
	const json_t *w = json_array_get(json_object_get(in, "writes"), 0);
	bool late;

	pthread_mutex_lock(&store.lock);
	late = strcmp(target, "/kv-txn") == 0 && store.late_key[0] &&
	       rig_now() < store.late_until_s &&
	       strcmp(text_of(w, "key"), store.late_key) == 0;
	if (late)
		store.late_key[0] = '\0';
	pthread_mutex_unlock(&store.lock);
	return late;
}

static void serve_store(void *ctx, struct conn *c)
{
	struct message m;
	char target[1024];

	(void)ctx;
	while (conn_read(c, &m, 3600)) {
		json_t *in = json_loadb(m.body, m.body_bytes, 0, NULL);
		json_t *out = NULL;
		char head[256];
		char *text;
		int status, n;
		bool ok;

		if (sscanf(m.head, "%*s %1023s", target) != 1)
			target[0] = '\0';
		message_free(&m);
		if (strcmp(target, "/kv-txn") == 0)
			rig_note("store: write of %s",
				 text_of(json_array_get(
						 json_object_get(in, "writes"),
						 0),
					 "key"));
		if (takes_late(target, in)) {
			rig_note("store: this write is done later, without "
				 "an answer");
			rig_thread(write_late, in);
			return; /* nothing more is answered here */
		}
		pthread_mutex_lock(&store.lock);
		status = run_call(target, in, &out);
		pthread_mutex_unlock(&store.lock);
		if (!out)
			out = json_object();
		text = json_dumps(out, JSON_COMPACT);
		n = snprintf(head, sizeof(head),
			     "HTTP/1.1 %d X\r\nContent-Type: application/json"
			     "\r\nContent-Length: %zu\r\n\r\n",
			     status, strlen(text));
		ok = conn_write(c, head, (size_t)n) &&
		     conn_write(c, text, strlen(text));
		free(text);
		json_decref(in);
		json_decref(out);
		if (!ok)
			return;
	}
	message_free(&m);
}

void store_start(void)
{
	store.events = json_array();
	listen_on(rig_ip(1), 8500, serve_store, NULL);
	rig_thread(expire_leases, NULL);
}

void store_put(const char *key, const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno"
				     "pqrstuvwxyz0123456789+/";
	const unsigned char *p = (const unsigned char *)text;
	size_t n = strlen(text);
	char *out = calloc(1, (n / 3 + 1) * 4 + 1);
	size_t at = 0;
	size_t i;

	for (i = 0; i < n; i += 3) {
		uint32_t v = (uint32_t)p[i] << 16 |
			     (i + 1 < n ? (uint32_t)p[i + 1] << 8 : 0) |
			     (i + 2 < n ? p[i + 2] : 0);

		out[at++] = digits[v >> 18];
		out[at++] = digits[v >> 12 & 63];
		out[at++] = i + 1 < n ? digits[v >> 6 & 63] : '=';
		out[at++] = i + 2 < n ? digits[v & 63] : '=';
	}
	pthread_mutex_lock(&store.lock);
	set_item(key, out, 0);
	pthread_mutex_unlock(&store.lock);
	free(out);
}

bool store_has(const char *key)
{
	struct item *it;
	bool has;

	pthread_mutex_lock(&store.lock);
	it = find_item(key);
	has = it && it->value;
	pthread_mutex_unlock(&store.lock);
	return has;
}

void store_lose_late(const char *key, double late_s, double for_s)
{
	pthread_mutex_lock(&store.lock);
	snprintf(store.late_key, sizeof(store.late_key), "%s", key);
	store.late_s = late_s;
	store.late_until_s = rig_now() + for_s;
	pthread_mutex_unlock(&store.lock);
}

int store_late_done(void)
{
	int n;

	pthread_mutex_lock(&store.lock);
	n = store.late_done;
	pthread_mutex_unlock(&store.lock);
	return n;
}

/* --- workers --- */

static struct {
	pthread_mutex_t lock;
	struct {
		char id[RIG_TEXT];
		double at;
	} list[MAX_RUNS];
	size_t n;
} runs = { .lock = PTHREAD_MUTEX_INITIALIZER };

static void note_run(struct worker *w, const struct message *m, const char *id)
{
	pthread_mutex_lock(&runs.lock);
	if (runs.n == MAX_RUNS)
		rig_give_up("too many runs");
	snprintf(runs.list[runs.n].id, RIG_TEXT, "%s", id);
	runs.list[runs.n++].at = rig_now();
	w->runs++;
	pthread_mutex_unlock(&runs.lock);
	rig_note("worker %s (%s) runs %s %.*s", w->id, w->service, id,
		 (int)strcspn(m->head, "\r"), m->head);
}

int worker_runs_of(const char *id, double *at)
{
	int n = 0;
	size_t i;

	pthread_mutex_lock(&runs.lock);
	for (i = 0; i < runs.n; i++)
		if (strcmp(runs.list[i].id, id) == 0) {
			n++;
			*at = runs.list[i].at;
		}
	pthread_mutex_unlock(&runs.lock);
	return n;
}

double *worker_run_times(size_t *n)
{
	double *t;
	size_t i;

	pthread_mutex_lock(&runs.lock);
	t = calloc(runs.n + 1, sizeof(*t));
	for (i = 0; i < runs.n; i++)
		t[i] = runs.list[i].at;
	*n = runs.n;
	pthread_mutex_unlock(&runs.lock);
	return t;
}

bool worker_answer(struct conn *c, const char *id, const void *body,
		   size_t bytes)
{
	char head[512];
	int n = snprintf(head, sizeof(head),
			 "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n"
			 "Fulmarpass-Request-Id: %s\r\n"
			 "Fulmarpass-Response-Signature: sig-%s\r\n\r\n",
			 bytes, id, id);

	return conn_write(c, head, (size_t)n) && conn_write(c, body, bytes);
}

static bool misdirected(struct worker *w, struct conn *c)
{
	char head[256];
	int n = snprintf(head, sizeof(head),
			 "HTTP/1.1 421 Misdirected Request\r\n"
			 "Content-Length: 0\r\nFulmarpass-Instance-Id: %s\r\n"
			 "\r\n",
			 w->id);

	return conn_write(c, head, (size_t)n);
}

static void serve_worker(void *ctx, struct conn *c)
{
	struct worker *w = ctx;
	struct message m;
	char id[RIG_TEXT], target[RIG_TEXT];
	bool go_on = true;

	while (go_on && conn_read(c, &m, 10)) {
		message_header(&m, "Fulmarpass-Request-Id", id, sizeof(id));
		if (message_header(&m, "Fulmarpass-Target-Instance", target,
				   sizeof(target)) &&
		    strcmp(target, w->id) != 0) {
			go_on = misdirected(w, c);
		} else if (!w->refuse || !w->refuse(w, c, &m, id)) {
			note_run(w, &m, id);
			go_on = w->run(w, c, &m, id);
		}
		message_free(&m);
	}
	if (go_on)
		message_free(&m);
}

static void *beat(void *arg)
{
	struct worker *w = arg;

	for (;;) {
		char body[512], head[512];
		struct conn *c = conn_open(w->ip, 8003, 0);
		struct message m;
		int n = snprintf(body, sizeof(body),
				 "{\"service\":\"%s\",\"address\":\"%s:9000\","
				 "\"zone\":\"z\",\"version\":\"v1\","
				 "\"slots\":%d,\"state\":\"ready\","
				 "\"coldRemaining\":\"0ms\",\"sequence\":%d,"
				 "\"born\":%" PRId64 "}",
				 w->service, w->ip, w->slots, ++w->sequence,
				 w->born_ms);

		snprintf(head, sizeof(head),
			 "PUT /instances/%s HTTP/1.1\r\nHost: control\r\n"
			 "Content-Type: application/json\r\n"
			 "Content-Length: %d\r\n\r\n",
			 w->id, n);
		if (c && conn_write(c, head, strlen(head)) &&
		    conn_write(c, body, (size_t)n)) {
			conn_read(c, &m, 1);
			message_free(&m);
		}
		conn_free(c);
		rig_sleep(1.5);
	}
	return NULL;
}

struct worker *worker_start(int host, const char *service, int slots,
			    worker_fn run)
{
	struct worker *w = calloc(1, sizeof(*w));
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	w->ip = rig_ip(host);
	w->service = service;
	w->slots = slots;
	w->run = run;
	w->born_ms = (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
	snprintf(w->id, sizeof(w->id), "i-%08x",
		 (unsigned int)getpid() * 16 + (unsigned int)host);
	listen_on(w->ip, 9000, serve_worker, w);
	rig_thread(beat, w);
	return w;
}
