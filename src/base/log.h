/*
 * log.h - structured log lines, one per decision or change of state
 *
 * Writing a line never blocks, and the volume of each event is limited: see
 * log.c for what is logged in place of dropped lines.
 */
#ifndef FP_BASE_LOG_H
#define FP_BASE_LOG_H

#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Severity of a line, least severe first. */
enum fp_log_level {
	FP_LOG_DEBUG,
	FP_LOG_INFO,
	FP_LOG_WARN,
	FP_LOG_ERROR,
};

/** Sets the lowest level that is written, and the descriptor (default: standard
 * output). Resets all counts. */
void fp_log_setup(enum fp_log_level lowest, int fd);

/** Parses "debug", "info", "warn" or "error"; returns -1 for other text. */
int fp_log_parse_level(const char *word);

/**
 * Writes one line: time, level, event, then the fields. Thread-safe.
 *
 * @param event   snake_case name of what changed
 * @param fields  printf format of "key=value" pairs; values must never contain
 *                secrets or keys of callers
 */
void fp_log(enum fp_log_level level, const char *event, const char *fields, ...)
	__attribute__((format(printf, 3, 4)));

/** Size of a buffer for one external value in a line, with terminator. */
#define FP_LOG_VALUE_BYTES 121

/**
 * Copies external text as a single value that cannot be mistaken for other
 * fields: blanks, quotes, '=' and unprintable bytes are replaced by '_', and
 * text that does not fit is cut off.
 *
 * @return the buffer value
 */
const char *fp_log_sanitize(const char *text, char value[FP_LOG_VALUE_BYTES]);

#ifdef __cplusplus
}
#endif
#endif
