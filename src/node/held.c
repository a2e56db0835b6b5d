/* held.c - metrics of the bytes that this node holds for clients */
#include "node/traffic_private.h"

/* Each value is looked up by its name, which is not for every tick. */
#define HELD_PERIOD_US FP_US_PER_S

static void set_value(struct fp_traffic *t, const char *name,
		      const char *labels, uint64_t value)
{
	fp_counter_set(fp_counter_get(t->counters, name, labels),
		       (int64_t)value);
}

void held_tick(struct fp_traffic *t, int64_t now_us)
{
	static const char *const causes[] = { "cause=\"stalled\"",
					      "cause=\"needed\"",
					      "cause=\"no-room\"" };
	struct fp_byte_totals n;
	size_t i;

	if (now_us - t->held_us < HELD_PERIOD_US)
		return;
	t->held_us = now_us;
	fp_byte_read_totals(t->bytes, &n);
	set_value(t, "fulmar_held_bytes", "", n.held_bytes);
	set_value(t, "fulmar_held_bytes_limit", "", n.limit_bytes);
	set_value(t, "fulmar_held_bytes_most", "", n.most_bytes);
	set_value(t, "fulmar_bodies_arriving", "", n.n_arriving);
	set_value(t, "fulmar_bodies_waiting", "", n.n_waiting);
	set_value(t, "fulmar_bodies_paused_total", "", n.n_paused);
	set_value(t, "fulmar_connections_closed_total", "", n.n_closed);
	for (i = 0; i < sizeof(causes) / sizeof(causes[0]); i++)
		set_value(t, "fulmar_bodies_evicted_total", causes[i],
			  n.n_evicted[i]);
}
