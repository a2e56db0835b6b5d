/*
 * log.c - structured lines that never block and whose volume is bounded
 *
 * A line is written only where the descriptor takes it at once: one that is
 * ready has room for PIPE_BUF bytes, which no line exceeds. Lines that found no
 * room are counted, and the next line that finds it is preceded by the count.
 *
 * Each event has a token bucket of its own, so that a flood of one kind leaves
 * the others readable. What was left out is said by a line of its own when the
 * event is written again, or at the latest with the next line after a second.
 */
#include "base/log.h"

#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <string.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"

#define LINE_BYTES   1024
#define MAX_EVENTS   96 /* kinds told apart; further ones share the last */
#define EVENT_BURST  100 /* lines of a kind at once */
#define EVENT_PER_S  50 /* lines of a kind a second, steadily */
#define REPORT_US    FP_US_PER_S
#define STANDARD_OUT 1

/* One kind of line. */
struct event {
	char name[40];
	int64_t lines_micro; /* millionths of a line that may be written */
	int64_t at_us; /* when lines_micro was right */
	uint32_t left_out;
};

static const char *const level_names[] = { "debug", "info", "warn", "error" };
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static enum fp_log_level log_lowest = FP_LOG_INFO;
static int log_fd = STANDARD_OUT;
static struct event events[MAX_EVENTS];
static uint32_t n_events;
static uint32_t n_unwritten; /* lines that found no room */
static int64_t reported_us;

void fp_log_setup(enum fp_log_level lowest, int fd)
{
	pthread_mutex_lock(&log_lock);
	log_lowest = lowest;
	log_fd = fd;
	n_events = 0;
	n_unwritten = 0;
	memset(events, 0, sizeof(events));
	pthread_mutex_unlock(&log_lock);
}

int fp_log_parse_level(const char *word)
{
	int i;

	for (i = FP_LOG_DEBUG; i <= FP_LOG_ERROR; i++)
		if (strcmp(word, level_names[i]) == 0)
			return i;
	return -1;
}

static int64_t mono_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * FP_US_PER_S + ts.tv_nsec / 1000;
}

static bool write_line(const char *line, size_t len)
{
	struct pollfd p = { .fd = log_fd, .events = POLLOUT };

	if (poll(&p, 1, 0) != 1 || !(p.revents & POLLOUT))
		return false;
	return write(log_fd, line, len) == (ssize_t)len;
}

/* Formats and writes one line; false when there was no room for it. */
static bool put(enum fp_log_level level, const char *event, const char *fields)
{
	char line[LINE_BYTES + 128];
	struct timeval tv;
	struct tm tm;
	int n;

	gettimeofday(&tv, NULL);
	gmtime_r(&tv.tv_sec, &tm);
	n = snprintf(line, sizeof(line),
		     "time=%04d-%02d-%02dT%02d:%02d:%02d.%06ldZ level=%s "
		     "event=%s %s\n",
		     tm.tm_year + 1900, tm.tm_mon + 1, tm.tm_mday, tm.tm_hour,
		     tm.tm_min, tm.tm_sec, (long)tv.tv_usec, level_names[level],
		     event, fields);
	return write_line(line, (size_t)n);
}

static void put_counted(enum fp_log_level level, const char *event,
			const char *fields)
{
	char text[64];

	if (n_unwritten) {
		snprintf(text, sizeof(text), "lines=%u", n_unwritten);
		if (!put(FP_LOG_WARN, "log_unwritten", text)) {
			n_unwritten++;
			return;
		}
		n_unwritten = 0;
	}
	if (!put(level, event, fields))
		n_unwritten++;
}

static void report(struct event *e)
{
	char text[96];
	uint32_t n = e->left_out;

	if (!n)
		return;
	e->left_out = 0;
	snprintf(text, sizeof(text), "of=%.39s lines=%u", e->name, n);
	put_counted(FP_LOG_WARN, "log_left_out", text);
}

static struct event *find(const char *name, int64_t now_us)
{
	struct event *e;
	uint32_t i;

	for (i = 0; i < n_events; i++)
		if (strcmp(events[i].name, name) == 0)
			return &events[i];
	if (n_events == MAX_EVENTS)
		return &events[MAX_EVENTS - 1];
	e = &events[n_events++];
	snprintf(e->name, sizeof(e->name), "%s", name);
	e->lines_micro = EVENT_BURST * FP_US_PER_S;
	e->at_us = now_us;
	return e;
}

static bool may_write(struct event *e, int64_t now_us)
{
	e->lines_micro += (now_us - e->at_us) * EVENT_PER_S;
	e->at_us = now_us;
	if (e->lines_micro > EVENT_BURST * FP_US_PER_S)
		e->lines_micro = EVENT_BURST * FP_US_PER_S;
	if (e->lines_micro < FP_US_PER_S) {
		e->left_out++;
		return false;
	}
	e->lines_micro -= FP_US_PER_S;
	return true;
}

static void report_all(int64_t now_us)
{
	uint32_t i;

	if (now_us - reported_us < REPORT_US)
		return;
	reported_us = now_us;
	for (i = 0; i < n_events; i++)
		report(&events[i]);
}

void fp_log(enum fp_log_level level, const char *event, const char *fields, ...)
{
	char text[LINE_BYTES];
	int64_t now_us;
	va_list ap;

	if (level < log_lowest)
		return;
	va_start(ap, fields);
	vsnprintf(text, sizeof(text), fields, ap);
	va_end(ap);
	now_us = mono_us();
	pthread_mutex_lock(&log_lock);
	report_all(now_us);
	if (may_write(find(event, now_us), now_us))
		put_counted(level, event, text);
	pthread_mutex_unlock(&log_lock);
}

const char *fp_log_word(const char *text, char room[FP_LOG_WORD_BYTES])
{
	size_t i;

	for (i = 0; i < FP_LOG_WORD_BYTES - 1 && text[i]; i++) {
		room[i] = text[i];
		if (room[i] <= ' ' || room[i] > '~' || room[i] == '"' ||
		    room[i] == '=')
			room[i] = '_';
	}
	room[i] = '\0';
	return room;
}
