/* clock.h - monotonic and wall clock, replaceable by a manual clock in tests */
#ifndef FP_BASE_CLOCK_H
#define FP_BASE_CLOCK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct fp_clock;

/** Operations of a clock. */
struct fp_clock_ops {
	int64_t (*mono_us)(struct fp_clock *c);
	int64_t (*wall_us)(struct fp_clock *c);
};

/** A clock; the first member selects its operations. */
struct fp_clock {
	const struct fp_clock_ops *ops;
};

/** A clock that advances only by fp_manual_clock_advance(). */
struct fp_manual_clock {
	struct fp_clock clock;
	int64_t now_us; /**< monotonic and wall time, microseconds */
};

/** Returns the system clock. */
struct fp_clock *fp_system_clock(void);

/** Initialises a manual clock to now_us. */
void fp_manual_clock_init(struct fp_manual_clock *m, int64_t now_us);

/** Advances a manual clock by delta_us. */
void fp_manual_clock_advance(struct fp_manual_clock *m, int64_t delta_us);

/** Returns monotonic time, microseconds; the system clock also counts the time
 * in which the VM is suspended. */
static inline int64_t fp_mono_us(struct fp_clock *c)
{
	return c->ops->mono_us(c);
}

/** Returns wall time, microseconds since 1970; differs slightly between
 * VMs. */
static inline int64_t fp_wall_us(struct fp_clock *c)
{
	return c->ops->wall_us(c);
}

#define FP_US_PER_MS INT64_C(1000)
#define FP_US_PER_S  INT64_C(1000000)

#ifdef __cplusplus
}
#endif
#endif
