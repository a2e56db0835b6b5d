/* slo_node.h - service levels of the root calls that entered at this node */
#ifndef FP_NODE_SLO_NODE_H
#define FP_NODE_SLO_NODE_H

#include "node/traffic.h"
#include "state/admission.h"
#include "state/slo.h"

/** State of the traffic thread for operators; a copy owned by the requester. */
struct fp_traffic_report {
	int64_t now_us; /**< when it was made; clock of all times in it */
	struct fp_slo *slo; /**< NULL unless requested */
	struct fp_recovery recovery;
	struct fp_admission_load admission_load;
	uint32_t calls; /**< calls of this node that are not answered yet */
	uint32_t executions; /**< calls waiting or running at its worker */
	bool isolated;
	bool draining;
};

/** Called on the traffic thread; the callee then owns the report's slo. */
typedef void (*fp_traffic_report_fn)(void *ctx,
				     const struct fp_traffic_report *r);

/**
 * Requests a report from the traffic thread; any thread.
 *
 * @param with_slo  whether to copy the service levels too
 * @param done      called with the report, on the traffic thread
 */
void fp_traffic_request_report(struct fp_traffic *t, bool with_slo,
			       fp_traffic_report_fn done, void *ctx);

#endif
