/*
 * log.c - structured log lines that never block and have a bounded volume
 *
 * A line is written only if poll() reports the descriptor as writable: a
 * writable one has room for PIPE_BUF bytes, which no line exceeds. Other lines
 * are counted as unwritten, and the count is logged before the next line that
 * can be written.
 *
 * Each event has its own token bucket, so that many lines of one kind do not
 * displace the others. The number of dropped lines is logged in a separate line
 * by the first fp_log() call with a written level that comes at least
 * REPORT_INTERVAL_US after the last report.
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

#define LINE_BYTES	   1024
#define MAX_EVENTS	   96 /* further ones share the bucket of the last */
#define EVENT_BURST	   100 /* burst of lines per event */
#define EVENT_PER_S	   50 /* steady rate of lines per event */
#define REPORT_INTERVAL_US FP_US_PER_S
#define STDOUT_FD	   1

/* Rate limit of one event. */
struct event {
	char name[40];
	int64_t tokens_micro; /* millionths of a line */
	int64_t updated_us; /* time of the last refill */
	uint32_t dropped; /* lines since the last report */
};

static const char *const level_names[] = { "debug", "info", "warn", "error" };
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static enum fp_log_level log_lowest = FP_LOG_INFO;
static int log_fd = STDOUT_FD;
static struct event events[MAX_EVENTS];
static uint32_t n_events;
static uint32_t n_unwritten; /* lines that could not be written */
static int64_t reported_us; /* time of the last report of dropped lines */

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

/* Formats and writes one line; false when there is no room for it. */
static bool write_event(enum fp_log_level level, const char *event,
			const char *fields)
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

/* Writes a line, preceded by the number of unwritten lines, if any. */
static void write_counted(enum fp_log_level level, const char *event,
			  const char *fields)
{
	char text[64];

	if (n_unwritten) {
		snprintf(text, sizeof(text), "lines=%u", n_unwritten);
		if (!write_event(FP_LOG_WARN, "log_lines_lost", text)) {
			n_unwritten++;
			return;
		}
		n_unwritten = 0;
	}
	if (!write_event(level, event, fields))
		n_unwritten++;
}

static void report_dropped(struct event *e)
{
	char text[96];
	uint32_t n = e->dropped;

	if (!n)
		return;
	e->dropped = 0;
	snprintf(text, sizeof(text), "of=%.39s lines=%u", e->name, n);
	write_counted(FP_LOG_WARN, "log_lines_dropped", text);
}

static struct event *find_or_add_event(const char *name, int64_t now_us)
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
	e->tokens_micro = EVENT_BURST * FP_US_PER_S;
	e->updated_us = now_us;
	return e;
}

/* Takes the token for one line; counts the line as dropped if there is none. */
static bool take_line(struct event *e, int64_t now_us)
{
	e->tokens_micro += (now_us - e->updated_us) * EVENT_PER_S;
	e->updated_us = now_us;
	if (e->tokens_micro > EVENT_BURST * FP_US_PER_S)
		e->tokens_micro = EVENT_BURST * FP_US_PER_S;
	if (e->tokens_micro < FP_US_PER_S) {
		e->dropped++;
		return false;
	}
	e->tokens_micro -= FP_US_PER_S;
	return true;
}

static void report_all_dropped(int64_t now_us)
{
	uint32_t i;

	if (now_us - reported_us < REPORT_INTERVAL_US)
		return;
	reported_us = now_us;
	for (i = 0; i < n_events; i++)
		report_dropped(&events[i]);
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
	report_all_dropped(now_us);
	if (take_line(find_or_add_event(event, now_us), now_us))
		write_counted(level, event, text);
	pthread_mutex_unlock(&log_lock);
}

const char *fp_log_sanitize(const char *text, char value[FP_LOG_VALUE_BYTES])
{
	size_t i;

	for (i = 0; i < FP_LOG_VALUE_BYTES - 1 && text[i]; i++) {
		value[i] = text[i];
		if (value[i] <= ' ' || value[i] > '~' || value[i] == '"' ||
		    value[i] == '=')
			value[i] = '_';
	}
	value[i] = '\0';
	return value;
}
