/* lib_sender.c - sends many concurrent requests from one thread
 *
 * libcurl reports the sockets and the timeout that it waits for, and one epoll
 * instance waits for them. So the work of each step depends on the number of
 * ready sockets, not on the number of open ones.
 */
#include "standin/lib_sender.h"

#include <curl/curl.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"

#define MAX_EVENTS	256
#define MAX_CONNECTIONS 4000L /* kept open between requests */

/** A request in flight, or an idle handle that can be reused for one. */
struct transfer {
	struct transfer *next; /**< in the list idle */
	struct transfer *next_all; /**< in the list all_transfers */
	CURL *easy;
	struct curl_slist *headers;
	struct send_job *job; /**< NULL if idle */
	char outcome[SENDER_WORD_BYTES];
	char reason[SENDER_WORD_BYTES];
	char *body;
	size_t body_bytes;
	size_t body_capacity;
};

struct http_sender {
	struct sender sender;
	CURLM *multi;
	int epoll_fd;
	int64_t timer_us; /**< time of libcurl's next timeout, -1: none */
	struct transfer *idle;
	struct transfer *all_transfers;
};

static int64_t now_us(void)
{
	return fp_mono_us(fp_system_clock());
}

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *arg,
		     void *known)
{
	struct http_sender *s = arg;
	struct epoll_event ev = { .data.fd = fd };

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(s->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN)
		ev.events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		ev.events |= EPOLLOUT;
	epoll_ctl(s->epoll_fd, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &ev);
	curl_multi_assign(s->multi, fd, s);
	return 0;
}

static int on_timer(CURLM *multi, long timeout_ms, void *arg)
{
	struct http_sender *s = arg;

	(void)multi;
	s->timer_us =
		timeout_ms < 0 ? -1 : now_us() + timeout_ms * FP_US_PER_MS;
	return 0;
}

static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	struct transfer *t = arg;
	size_t bytes = size * n;

	if (t->body_bytes + bytes > t->body_capacity) {
		size_t capacity = 2 * (t->body_bytes + bytes);
		char *grown = realloc(t->body, capacity);

		if (!grown)
			return 0;
		t->body = grown;
		t->body_capacity = capacity;
	}
	memcpy(t->body + t->body_bytes, data, bytes);
	t->body_bytes += bytes;
	return bytes;
}

static void copy_header_value(char *word, const char *data, size_t bytes,
			      const char *name)
{
	size_t n = strlen(name);

	if (bytes <= n || strncasecmp(data, name, n) != 0)
		return;
	data += n;
	bytes -= n;
	while (bytes && *data == ' ') {
		data++;
		bytes--;
	}
	while (bytes && (data[bytes - 1] == '\r' || data[bytes - 1] == '\n'))
		bytes--;
	snprintf(word, SENDER_WORD_BYTES, "%.*s", (int)bytes, data);
}

static size_t on_header(char *data, size_t size, size_t n, void *arg)
{
	struct transfer *t = arg;

	copy_header_value(t->outcome, data, size * n, "Fulmar-Outcome:");
	copy_header_value(t->reason, data, size * n, "Fulmar-Reason:");
	return size * n;
}

static struct transfer *make_transfer(struct http_sender *s)
{
	struct transfer *t = calloc(1, sizeof(*t));

	if (!t)
		abort();
	t->next_all = s->all_transfers;
	s->all_transfers = t;
	t->easy = curl_easy_init();
	curl_easy_setopt(t->easy, CURLOPT_PRIVATE, t);
	curl_easy_setopt(t->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(t->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(t->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(t->easy, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(t->easy, CURLOPT_HEADERDATA, t);
	return t;
}

static struct transfer *take_transfer(struct http_sender *s)
{
	struct transfer *t = s->idle;

	if (!t)
		return make_transfer(s);
	s->idle = t->next;
	return t;
}

static void set_request(struct transfer *t, const struct send_job *job)
{
	size_t i;

	t->headers = curl_slist_append(NULL, "Expect:");
	for (i = 0; job->headers && job->headers[i]; i++)
		t->headers = curl_slist_append(t->headers, job->headers[i]);
	curl_easy_setopt(t->easy, CURLOPT_URL, job->url);
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, t->headers);
	curl_easy_setopt(t->easy, CURLOPT_TIMEOUT_MS, (long)job->timeout_ms);
	curl_easy_setopt(t->easy, CURLOPT_HTTPGET, 1L);
	if (job->body) {
		curl_easy_setopt(t->easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)job->body_bytes);
		curl_easy_setopt(t->easy, CURLOPT_POSTFIELDS, job->body);
	}
	curl_easy_setopt(t->easy, CURLOPT_CUSTOMREQUEST, job->method);
}

static void http_send(struct sender *sender, struct send_job *job)
{
	struct http_sender *s = (struct http_sender *)sender;
	struct transfer *t = take_transfer(s);

	t->job = job;
	t->outcome[0] = '\0';
	t->reason[0] = '\0';
	t->body_bytes = 0;
	set_request(t, job);
	curl_multi_add_handle(s->multi, t->easy);
}

static const char *failure_reason(CURLcode rc)
{
	switch (rc) {
	case CURLE_OPERATION_TIMEDOUT:
		return "caller-timeout";
	case CURLE_COULDNT_CONNECT:
		return "connect-failed";
	case CURLE_GOT_NOTHING:
	case CURLE_RECV_ERROR:
	case CURLE_SEND_ERROR:
		return "connection-closed";
	case CURLE_PARTIAL_FILE:
		return "answer-cut";
	default:
		return "transfer-failed";
	}
}

static void complete_transfer(struct http_sender *s, struct transfer *t,
			      CURLcode rc)
{
	struct send_result result = { .outcome = t->outcome,
				      .reason = t->reason,
				      .body = t->body,
				      .body_bytes = t->body_bytes };
	struct send_job *job = t->job;

	if (rc == CURLE_OK) {
		curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE,
				  &result.status);
	} else {
		result.outcome = "";
		result.reason = failure_reason(rc);
	}
	curl_multi_remove_handle(s->multi, t->easy);
	curl_slist_free_all(t->headers);
	t->headers = NULL;
	t->job = NULL;
	job->done(job, &result);
	t->next = s->idle;
	s->idle = t;
}

/** Calls done for the transfers that libcurl finished; false if none. */
static bool complete_finished(struct http_sender *s)
{
	bool any = false;
	struct transfer *t;
	CURLMsg *msg;
	CURLcode rc;
	int left;

	while ((msg = curl_multi_info_read(s->multi, &left))) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		rc = msg->data.result;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &t);
		complete_transfer(s, t, rc);
		any = true;
	}
	return any;
}

/** Waits for sockets, libcurl's timeout or until_us, and progresses the
 *  transfers; returns whether one was completed. */
static bool wait_events(struct http_sender *s, int64_t until_us)
{
	struct epoll_event events[MAX_EVENTS];
	struct timespec timeout = { 0, 0 };
	int64_t left_us;
	int running, n, i;

	if (s->timer_us >= 0 && s->timer_us < until_us)
		until_us = s->timer_us;
	left_us = until_us - now_us();
	if (left_us > 0) {
		timeout.tv_sec = left_us / FP_US_PER_S;
		timeout.tv_nsec = left_us % FP_US_PER_S * 1000;
	}
	n = epoll_pwait2(s->epoll_fd, events, MAX_EVENTS, &timeout, NULL);
	for (i = 0; i < n; i++) {
		int mask = 0;

		if (events[i].events & (EPOLLIN | EPOLLHUP))
			mask |= CURL_CSELECT_IN;
		if (events[i].events & EPOLLERR)
			mask |= CURL_CSELECT_ERR;
		if (events[i].events & EPOLLOUT)
			mask |= CURL_CSELECT_OUT;
		curl_multi_socket_action(s->multi, events[i].data.fd, mask,
					 &running);
	}
	if (s->timer_us >= 0 && s->timer_us <= now_us()) {
		s->timer_us = -1;
		curl_multi_socket_action(s->multi, CURL_SOCKET_TIMEOUT, 0,
					 &running);
	}
	return complete_finished(s);
}

static void http_poll(struct sender *sender, int64_t until_us)
{
	struct http_sender *s = (struct http_sender *)sender;

	while (!wait_events(s, until_us) && now_us() < until_us)
		;
}

static void http_end(struct sender *sender)
{
	struct http_sender *s = (struct http_sender *)sender;

	while (s->all_transfers) {
		struct transfer *t = s->all_transfers;

		s->all_transfers = t->next_all;
		if (t->job)
			curl_multi_remove_handle(s->multi, t->easy);
		curl_easy_cleanup(t->easy);
		curl_slist_free_all(t->headers);
		free(t->body);
		free(t);
	}
	curl_multi_cleanup(s->multi);
	close(s->epoll_fd);
	free(s);
}

static const struct sender_ops http_sender_ops = {
	.send = http_send,
	.poll = http_poll,
	.end = http_end,
};

struct sender *http_sender_init(void)
{
	struct http_sender *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	curl_global_init(CURL_GLOBAL_ALL);
	s->sender.ops = &http_sender_ops;
	s->timer_us = -1;
	s->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	s->multi = curl_multi_init();
	curl_multi_setopt(s->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(s->multi, CURLMOPT_SOCKETDATA, s);
	curl_multi_setopt(s->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(s->multi, CURLMOPT_TIMERDATA, s);
	curl_multi_setopt(s->multi, CURLMOPT_MAXCONNECTS, MAX_CONNECTIONS);
	return &s->sender;
}
