/* clock.c - monotonic and wall clock, replaceable by a manual clock in tests */
#include "base/clock.h"

#include <time.h>

static int64_t read_clock_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * FP_US_PER_S + ts.tv_nsec / 1000;
}

/* CLOCK_BOOTTIME also advances while the VM is suspended, so a lease that
 * expired during a suspension is seen as expired. */
static int64_t system_mono_us(struct fp_clock *c)
{
	(void)c;
	return read_clock_us(CLOCK_BOOTTIME);
}

static int64_t system_wall_us(struct fp_clock *c)
{
	(void)c;
	return read_clock_us(CLOCK_REALTIME);
}

static int64_t manual_us(struct fp_clock *c)
{
	return ((struct fp_manual_clock *)c)->now_us;
}

struct fp_clock *fp_system_clock(void)
{
	static const struct fp_clock_ops ops = {
		.mono_us = system_mono_us,
		.wall_us = system_wall_us,
	};
	static struct fp_clock clock = { .ops = &ops };

	return &clock;
}

void fp_manual_clock_init(struct fp_manual_clock *m, int64_t now_us)
{
	static const struct fp_clock_ops ops = {
		.mono_us = manual_us,
		.wall_us = manual_us,
	};

	m->clock.ops = &ops;
	m->now_us = now_us;
}

void fp_manual_clock_advance(struct fp_manual_clock *m, int64_t delta_us)
{
	m->now_us += delta_us;
}
