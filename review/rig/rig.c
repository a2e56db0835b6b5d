/* rig.c - life cycle, record, HTTP messages, nodes and clients */
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define MAX_NODES 16
#define MAX_HOSTS 32
/* Longest run of a case; run.sh may take 120 s. */
#define MAX_RUN_S 110

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char folder[64];
static int net_a, net_b;
static struct timespec start;
static struct node *nodes[MAX_NODES];
static int n_nodes;

/* --- time, record, end --- */

double rig_now(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)(t.tv_sec - start.tv_sec) +
	       (double)(t.tv_nsec - start.tv_nsec) / 1e9;
}

void rig_sleep(double s)
{
	struct timespec t = { (time_t)s,
			      (long)((s - (double)(time_t)s) * 1e9) };

	while (s > 0 && nanosleep(&t, &t) && errno == EINTR)
		;
}

void rig_sleep_until(double s)
{
	rig_sleep(s - rig_now());
}

bool rig_trouble(void)
{
	const char *t = getenv("TROUBLE");

	return !t || strcmp(t, "0") != 0;
}

void rig_note(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	pthread_mutex_lock(&record_lock);
	fprintf(record, "%8.3f ", rig_now());
	vfprintf(record, fmt, ap);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
	va_end(ap);
}

static void remove_files(void)
{
	char path[320];
	int i;

	for (i = 0; i < n_nodes; i++)
		unlink(nodes[i]->settings);
	for (i = 0; i < n_nodes; i++) {
		snprintf(path, sizeof(path), "%s/%s.log", folder,
			 nodes[i]->name);
		unlink(path);
	}
	rmdir(folder);
}

void rig_end(int code)
{
	static const char *const words[] = { "held", "broken", "cannot run" };
	int i;

	for (i = 0; i < n_nodes; i++)
		if (nodes[i]->pid) {
			kill(nodes[i]->pid, SIGKILL);
			waitpid(nodes[i]->pid, NULL, 0);
		}
	rig_note("verdict: %s", words[code]);
	printf("%s\n", words[code]);
	if (!getenv("KEEP"))
		remove_files();
	fflush(stdout);
	_exit(code);
}

void rig_give_up(const char *why)
{
	rig_note("gives up: %s", why);
	fprintf(stderr, "%s\n", why);
	rig_end(RIG_CANNOT_RUN);
}

static void *guard(void *arg)
{
	(void)arg;
	rig_sleep(MAX_RUN_S);
	rig_give_up("took too long");
	return NULL;
}

void rig_thread(void *(*fn)(void *), void *arg)
{
	pthread_t t;

	if (pthread_create(&t, NULL, fn, arg) != 0)
		rig_give_up("no more threads");
	pthread_detach(t);
}

/* Whether host n of a network can listen on the ports of the case. */
static bool host_is_free(int n)
{
	static const int ports[] = { 8001, 8002, 8003, 8004,
				     8005, 8006, 8500, 9000 };
	struct sockaddr_in a = { .sin_family = AF_INET };
	bool ok = true;
	size_t i;

	for (i = 0; ok && i < sizeof(ports) / sizeof(ports[0]); i++) {
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		a.sin_port = htons((uint16_t)ports[i]);
		inet_pton(AF_INET, rig_ip(n), &a.sin_addr);
		ok = bind(fd, (struct sockaddr *)&a, sizeof(a)) == 0;
		close(fd);
	}
	return ok;
}

const char *rig_ip(int n)
{
	static char text[MAX_HOSTS][20];

	snprintf(text[n], sizeof(text[n]), "127.%d.%d.%d", net_a, net_b, n);
	return text[n];
}

static bool find_network(void)
{
	int i, n;

	for (i = 0; i < 50; i++) {
		net_a = 64 + (getpid() + i) % 100;
		net_b = getpid() / 100 % 250 + 1;
		for (n = 1; n < 10 && host_is_free(n); n++)
			;
		if (n == 10)
			return true;
	}
	return false;
}

void rig_init(void)
{
	clock_gettime(CLOCK_MONOTONIC, &start);
	signal(SIGPIPE, SIG_IGN);
	record = fopen("record.txt", "w");
	if (!record)
		exit(RIG_CANNOT_RUN);
	strcpy(folder, "/tmp/review-XXXXXX");
	if (!mkdtemp(folder))
		rig_give_up("no temporary folder");
	if (!find_network())
		rig_give_up("no free loopback addresses");
	rig_note("TROUBLE=%d, network 127.%d.%d.0", rig_trouble(), net_a,
		 net_b);
	rig_thread(guard, NULL);
}

void rig_new_id(char id[RIG_TEXT])
{
	static int last;

	snprintf(id, RIG_TEXT, "%08x%08x", (unsigned int)getpid(),
		 (unsigned int)__sync_add_and_fetch(&last, 1));
}

/* --- HTTP messages --- */

struct conn *conn_new(int fd)
{
	struct conn *c = calloc(1, sizeof(*c));
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	c->fd = fd;
	c->size = 65536;
	c->buf = malloc(c->size);
	return c;
}

struct conn *conn_open(const char *ip, int port, int rcvbuf)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	struct timeval limit = { 1, 0 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	a.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip, &a.sin_addr);
	if (rcvbuf)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &rcvbuf, sizeof(rcvbuf));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
		close(fd);
		return NULL;
	}
	limit.tv_sec = 0;
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	return conn_new(fd);
}

void conn_free(struct conn *c)
{
	if (!c)
		return;
	if (c->fd >= 0)
		close(c->fd);
	free(c->buf);
	free(c);
}

bool conn_write(struct conn *c, const void *data, size_t bytes)
{
	const char *p = data;
	ssize_t n;

	while (bytes) {
		n = send(c->fd, p, bytes, MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		p += n;
		bytes -= (size_t)n;
	}
	return true;
}

/* Reads more bytes; false at the end of the connection or after until_s. */
static bool conn_fill(struct conn *c, double until_s)
{
	struct pollfd p = { .fd = c->fd, .events = POLLIN };
	double left_s = until_s - rig_now();
	ssize_t n;

	if (left_s <= 0 || poll(&p, 1, (int)(left_s * 1000) + 1) <= 0)
		return false;
	if (c->used == c->size) {
		c->size *= 2;
		c->buf = realloc(c->buf, c->size);
	}
	n = recv(c->fd, c->buf + c->used, c->size - c->used, 0);
	if (n <= 0)
		return false;
	c->used += (size_t)n;
	return true;
}

bool conn_read_some(struct conn *c, size_t most)
{
	ssize_t n;

	while (c->size - c->used < most) {
		c->size *= 2;
		c->buf = realloc(c->buf, c->size);
	}
	n = recv(c->fd, c->buf + c->used, most, 0);
	if (n <= 0)
		return false;
	c->used += (size_t)n;
	return true;
}

static void conn_skip(struct conn *c, size_t n)
{
	memmove(c->buf, c->buf + n, c->used - n);
	c->used -= n;
}

bool message_header(const struct message *m, const char *name, char *out,
		    size_t size)
{
	size_t len = strlen(name);
	const char *line = strstr(m->head, "\r\n");

	out[0] = '\0';
	for (; line && line[2]; line = strstr(line + 2, "\r\n")) {
		const char *at = line + 2;

		if (strncasecmp(at, name, len) != 0 || at[len] != ':')
			continue;
		at += len + 1;
		at += strspn(at, " ");
		snprintf(out, size, "%.*s", (int)strcspn(at, "\r"), at);
		return true;
	}
	return false;
}

bool conn_read(struct conn *c, struct message *m, double timeout_s)
{
	double until_s = rig_now() + timeout_s;
	char text[RIG_TEXT];
	char *end;
	size_t bytes;

	memset(m, 0, sizeof(*m));
	while (!(end = memmem(c->buf, c->used, "\r\n\r\n", 4)))
		if (c->used >= RIG_HEAD || !conn_fill(c, until_s))
			return false;
	bytes = (size_t)(end - c->buf) + 4;
	if (bytes >= RIG_HEAD)
		return false;
	memcpy(m->head, c->buf, bytes);
	conn_skip(c, bytes);
	if (strncmp(m->head, "HTTP/1.1 ", 9) == 0)
		m->status = atoi(m->head + 9);
	message_header(m, "Content-Length", text, sizeof(text));
	m->body_bytes = (size_t)strtoull(text, NULL, 10);
	while (c->used < m->body_bytes)
		if (!conn_fill(c, until_s))
			return false;
	m->body = malloc(m->body_bytes + 1);
	memcpy(m->body, c->buf, m->body_bytes);
	m->body[m->body_bytes] = '\0';
	conn_skip(c, m->body_bytes);
	m->complete = true;
	return true;
}

void message_free(struct message *m)
{
	free(m->body);
	m->body = NULL;
}

/* --- nodes --- */

/* Replaces all occurrences of {{name}} in text. */
static void fill_in(char *text, size_t size, const char *name,
		    const char *value)
{
	char mark[RIG_TEXT];
	char *at;

	snprintf(mark, sizeof(mark), "{{%s}}", name);
	while ((at = strstr(text, mark))) {
		size_t tail = strlen(at + strlen(mark)) + 1;

		if (strlen(text) + strlen(value) >= size)
			rig_give_up("settings are too long");
		memmove(at + strlen(value), at + strlen(mark), tail);
		memcpy(at, value, strlen(value));
	}
}

static void write_settings(struct node *n, const char *service,
			   const char *zone)
{
	static const char *const bounds[][2] = {
		{ "bounds.revoke", "5000ms" },
		{ "bounds.grace", "6s" },
		{ "bounds.budgetRatio", "0.2" },
		{ "bounds.budgetExtra", "48" },
		{ "bounds.budgetWindow", "10s" },
		{ "region", "region-a" },
		{ "portRange.0", "8005" },
		{ "portRange.1", "8006" },
	};
	static const char *const ports[][2] = {
		{ "listen.outbound", "8001" }, { "listen.inbound", "8002" },
		{ "listen.control", "8003" },  { "listen.ready", "8004" },
		{ "appAddr", "9000" },
	};
	char text[16384] = "";
	char value[RIG_TEXT];
	FILE *f = fopen("../../deploy/node.toml.in", "r");
	size_t i;

	if (!f || !fread(text, 1, sizeof(text) - 1, f))
		rig_give_up("no settings template");
	fclose(f);
	fill_in(text, sizeof(text), "nodeName", n->name);
	fill_in(text, sizeof(text), "ip", n->ip);
	fill_in(text, sizeof(text), "zone", zone);
	fill_in(text, sizeof(text), "service", service);
	snprintf(value, sizeof(value), "%s:8500", rig_ip(1));
	fill_in(text, sizeof(text), "platform.address", value);
	for (i = 0; i < sizeof(bounds) / sizeof(bounds[0]); i++)
		fill_in(text, sizeof(text), bounds[i][0], bounds[i][1]);
	for (i = 0; i < sizeof(ports) / sizeof(ports[0]); i++) {
		snprintf(value, sizeof(value), "%s:%s", n->ip, ports[i][1]);
		fill_in(text, sizeof(text), ports[i][0], value);
	}
	if (strstr(text, "{{"))
		rig_give_up("a placeholder of the settings is unknown");
	f = fopen(n->settings, "w");
	if (!f || fputs(text, f) < 0)
		rig_give_up("cannot write the settings");
	fclose(f);
}

void node_restart(struct node *n)
{
	char log[320];
	pid_t pid;
	int fd;

	snprintf(log, sizeof(log), "%s/%s.log", folder, n->name);
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	pid = fork();
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		signal(SIGPIPE, SIG_DFL);
		dup2(fd, 1);
		dup2(fd, 2);
		if (chdir("../..") == 0)
			execl("target/fulmarpass", "target/fulmarpass", "node",
			      "--settings", n->settings, (char *)NULL);
		_exit(127);
	}
	close(fd);
	if (pid < 0)
		rig_give_up("cannot start a node");
	n->pid = pid;
	n->starts++;
	rig_note("node %s starts, start %d, pid %d", n->name, n->starts,
		 (int)pid);
}

struct node *node_start(int host, const char *name, const char *service,
			const char *zone)
{
	struct node *n = calloc(1, sizeof(*n));

	n->ip = rig_ip(host);
	snprintf(n->name, sizeof(n->name), "%s", name);
	snprintf(n->settings, sizeof(n->settings), "%s/%s.toml", folder, name);
	nodes[n_nodes++] = n;
	write_settings(n, service, zone);
	node_restart(n);
	return n;
}

void node_signal(struct node *n, int sig)
{
	rig_note("node %s gets signal %d", n->name, sig);
	if (n->pid)
		kill(n->pid, sig);
}

bool node_wait(struct node *n, double timeout_s)
{
	double until_s = rig_now() + timeout_s;
	int status;

	while (n->pid) {
		if (waitpid(n->pid, &status, WNOHANG) == n->pid) {
			rig_note("node %s has ended: %s %d", n->name,
				 WIFSIGNALED(status) ? "signal" : "exit",
				 WIFSIGNALED(status) ? WTERMSIG(status) :
						       WEXITSTATUS(status));
			n->pid = 0;
			return true;
		}
		if (rig_now() >= until_s)
			return false;
		rig_sleep(0.005);
	}
	return true;
}

bool node_ready(const struct node *n)
{
	static const char ask[] = "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n";
	struct conn *c = conn_open(n->ip, 8004, 0);
	struct message m;
	bool ok = false;

	if (c && conn_write(c, ask, sizeof(ask) - 1)) {
		ok = conn_read(c, &m, 1) && m.status == 200;
		message_free(&m);
	}
	conn_free(c);
	return ok;
}

void node_wait_ready(struct node **list, int n)
{
	int i;

	for (i = 0; i < n; i++) {
		double until_s = rig_now() + 15;

		while (!node_ready(list[i])) {
			if (rig_now() > until_s)
				rig_give_up("a node does not become ready");
			rig_sleep(0.1);
		}
	}
	/* Worker heartbeats and member records have reached all by then. */
	rig_sleep(4);
}

/* --- clients --- */

bool client_send(struct conn *c, const struct request *r, char id[RIG_TEXT])
{
	size_t body_bytes = r->body ? strlen(r->body) : 0;
	char head[4096];
	int n;

	rig_new_id(id);
	rig_note("client sends %s %s %s", id, r->method, r->path);
	n = snprintf(
		head, sizeof(head),
		"%s %s HTTP/1.1\r\nHost: h.example\r\n"
		"Fulmarpass-Request-Id: %s\r\nFulmarpass-Deadline-Ms: %d\r\n"
		"%s%s%s%s",
		r->method, r->path, id, r->deadline_ms,
		r->key ? "Fulmarpass-Key: " : "", r->key ? r->key : "",
		r->key ? "\r\n" : "", r->headers ? r->headers : "");
	if (strcmp(r->method, "GET") != 0)
		n += snprintf(head + n, sizeof(head) - (size_t)n,
			      "Content-Length: %zu\r\n", body_bytes);
	n += snprintf(head + n, sizeof(head) - (size_t)n, "\r\n");
	return conn_write(c, head, (size_t)n) &&
	       conn_write(c, r->body, body_bytes);
}

const char *route_json(char out[512], const char *name, const char *prefix,
		       const char *kind, const char *service,
		       const char *timeout)
{
	snprintf(out, 512,
		 "\"%s\":{\"hostname\":\"h.example\",\"pathPrefix\":\"%s\","
		 "\"kind\":\"%s\",\"timeout\":\"%s\",\"targetLatency\":"
		 "\"1500ms\",\"priority\":1,\"service\":\"%s\","
		 "\"maxAttempts\":2,\"public\":false}",
		 name, prefix, kind, timeout, service);
	return out;
}

void config_put(int version, const char *routes, int rate, int burst)
{
	char text[4096];

	snprintf(text, sizeof(text),
		 "{\"version\":\"r%d\",\"routes\":{%s},\"services\":{},"
		 "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":"
		 "67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":"
		 "\"15000ms\"},\"tenants\":{\"t1\":{\"apiKeys\":[\"k1\"],"
		 "\"priority\":1,\"ratePerS\":%d,\"burst\":%d}}}",
		 version, routes, rate, burst);
	store_put("op/config", text);
	rig_note("configuration r%d is acknowledged", version);
}
