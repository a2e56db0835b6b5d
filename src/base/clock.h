/* clock.h - monotonic and wall time that tests can pause and advance */
#ifndef FP_BASE_CLOCK_H
#define FP_BASE_CLOCK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct fp_clock;

/** Behaviour of a clock. */
struct fp_clock_ops {
	int64_t (*mono_us)(struct fp_clock *c);
	int64_t (*wall_us)(struct fp_clock *c);
};

/** A clock; the first member selects the behaviour. */
struct fp_clock {
	const struct fp_clock_ops *ops;
};

/** A clock that moves only when told. */
struct fp_manual_clock {
	struct fp_clock clock;
	int64_t now_us; /**< time of both readings, microseconds */
};

/** Returns the system's clock. */
struct fp_clock *fp_system_clock(void);

/** Starts a manual clock at now_us. */
void fp_manual_clock_init(struct fp_manual_clock *m, int64_t now_us);

/** Moves a manual clock forward by delta_us. */
void fp_manual_clock_advance(struct fp_manual_clock *m, int64_t delta_us);

/** Returns monotonic time, microseconds. */
static inline int64_t fp_mono_us(struct fp_clock *c)
{
	return c->ops->mono_us(c);
}

/** Returns wall time, microseconds since 1970; machines differ a little. */
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
