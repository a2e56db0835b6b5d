/* report.h - service levels of the fleet, merged from counters of its nodes */
#ifndef FP_CMD_REPORT_H
#define FP_CMD_REPORT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

/**
 * Creates a report, a JSON object:
 * "nodes"    as in the status, with "reached" and "reason"
 * "rows"     one per organisation and class: "objective", and "windows" and
 *            "series" summed over the nodes; "budget_left" and "burn" by
 *            window if there is an objective
 * "worst"    organisation served worst in the last hour, or null
 * "refused_in_rate"  "refused" and "total" of the last hour
 * "overload" the last overload, merged from all nodes, or null
 */
json_t *report_init(const json_t *nodes);

/** Adds one node's answer to /v1/slo; a gather_fn. */
void report_add(void *report, const char *name, json_t *answer);

/** Computes "burn", "budget_left", "worst" and "refused_in_rate"; call it after
 *  the last report_add(). */
void report_finish(json_t *report);

/** Writes a self-contained HTML page; false if writing failed. */
bool report_write_html(const json_t *report, FILE *to);

#endif
