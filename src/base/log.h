/* log.h - structured lines: one a decision or change of belief
 *
 * Lines never block their writer, and each kind of them is bounded: see log.c
 * for what is written in place of those that were left out.
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

/** Sets the lowest level written, and the descriptor (at first standard output).
 *  Counts begin anew. */
void fp_log_setup(enum fp_log_level lowest, int fd);

/** Parses "debug", "info", "warn" or "error"; returns -1 on another word. */
int fp_log_parse_level(const char *word);

/**
 * Writes one line: time, level, event, then the fields.
 *
 * @param event  snake_case name of what changed
 * @param fields printf format of "key=value" pairs; values never hold keys
 *               of callers or secrets
 */
void fp_log(enum fp_log_level level, const char *event, const char *fields, ...)
	__attribute__((format(printf, 3, 4)));

/** Room for one word of foreign text in a line, with its end. */
#define FP_LOG_WORD_BYTES 121

/**
 * Copies text that came from outside as one word that cannot be taken for other
 * fields: blanks, quotes, '=' and what cannot be printed become '_', and what
 * does not fit is left out.
 *
 * @return room
 */
const char *fp_log_word(const char *text, char room[FP_LOG_WORD_BYTES]);

#ifdef __cplusplus
}
#endif
#endif
