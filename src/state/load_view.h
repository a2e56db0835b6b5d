/* load_view.h - what a node knows of the load of the services that it calls */
#ifndef FP_STATE_LOAD_VIEW_H
#define FP_STATE_LOAD_VIEW_H

#include <stdint.h>

#include "state/early_shed.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fp_load_view;

/** Makes an empty view; NULL when out of memory. */
struct fp_load_view *fp_load_view_init(void);

/** Adds a load that arrived with a reply; its calls field is ignored. */
void fp_load_view_update(struct fp_load_view *v,
			 const struct fp_service_load *load, int64_t now_us);

/**
 * Sets the load values and the age of l, but not its calls, for l->service.
 *
 * A service that is not known gets the age FP_LOAD_AGE_UNKNOWN.
 */
void fp_load_view_read(const struct fp_load_view *v, struct fp_service_load *l,
		       int64_t now_us);

void fp_load_view_end(struct fp_load_view *v);

#ifdef __cplusplus
}
#endif
#endif
