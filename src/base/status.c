/* status.c - status codes shared by all modules, with an error message */
#include "base/status.h"

#include <stdarg.h>
#include <stdio.h>

static const char *const status_names[FP_STATUS_COUNT] = {
	[FP_OK] = "ok",
	[FP_AGAIN] = "again",
	[FP_EXHAUSTED] = "exhausted",
	[FP_INVALID] = "invalid",
	[FP_NOT_FOUND] = "not_found",
	[FP_CONFLICT] = "conflict",
	[FP_TIMEOUT] = "timeout",
	[FP_UNAVAILABLE] = "unavailable",
	[FP_DENIED] = "denied",
	[FP_FULL] = "full",
	[FP_IO] = "io",
	[FP_NOMEM] = "nomem",
};

static _Thread_local char last_message[FP_MESSAGE_BYTES];

const char *fp_status_name(enum fp_status st)
{
	if ((unsigned int)st >= FP_STATUS_COUNT)
		return "unknown";
	return status_names[st];
}

enum fp_status fp_fail(enum fp_status st, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(last_message, sizeof(last_message), fmt, ap);
	va_end(ap);
	return st;
}

const char *fp_last_message(void)
{
	return last_message;
}
