/*
 * load_view.c - what a node knows of the load of the services that it calls
 *
 * The load of a deep service reaches the entry with the answers on the way
 * back. A tree may last for seconds after its call to that service, so the load
 * that its own call saw is old when the tree ends, and an entry that sheds by
 * it starts late and stops late. Each node therefore keeps the newest load of
 * every service, from the replies to all of its calls, and sends it with each
 * of its answers. While every node of a chain is busy, the delay at the entry is
 * that of the replies between neighbours, whatever the duration of the tree.
 *
 * Replies come from different workers of a service, so the values are smoothed.
 * The smoothing is by time: many replies in a short time are averaged, and one
 * after a long pause replaces the value. A load carries its age over all hops,
 * so a value that two nodes pass to each other expires like any other.
 */
#include "state/load_view.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* Memory limit; the entry that was updated least recently is reused. */
#define MAX_SERVICES 256

/* Time constant of the smoothing. */
#define SMOOTH_US 50000.0
/* Replies that arrive together count as this far apart. */
#define MIN_STEP_US 2000

struct service {
	uint64_t hash; /* of the name */
	int64_t at_us; /* when the newest load was measured */
	double refused_permille[FP_SHED_RANK_COUNT];
	double used_permille;
};

struct fp_load_view {
	struct service services[MAX_SERVICES];
	uint32_t n;
};

struct fp_load_view *fp_load_view_init(void)
{
	return calloc(1, sizeof(struct fp_load_view));
}

void fp_load_view_end(struct fp_load_view *v)
{
	free(v);
}

static uint64_t hash_name(const char *name)
{
	return XXH64(name, strnlen(name, FP_NAME_BYTES), 0);
}

/* Index of a service; n: it is not known. */
static uint32_t index_of(const struct fp_load_view *v, const char *name)
{
	uint64_t hash = hash_name(name);
	uint32_t i = 0;

	while (i < v->n && v->services[i].hash != hash)
		i++;
	return i;
}

static struct service *add(struct fp_load_view *v, const char *name)
{
	struct service *s = &v->services[0];
	uint32_t i;

	if (v->n < MAX_SERVICES) {
		s = &v->services[v->n++];
	} else {
		for (i = 1; i < v->n; i++)
			if (v->services[i].at_us < s->at_us)
				s = &v->services[i];
	}
	memset(s, 0, sizeof(*s));
	s->hash = hash_name(name);
	s->at_us = INT64_MIN / 2;
	return s;
}

static void smooth(double *mean, double sample, double weight)
{
	*mean += (sample - *mean) * weight;
}

void fp_load_view_update(struct fp_load_view *v,
			 const struct fp_service_load *load, int64_t now_us)
{
	uint32_t at = index_of(v, load->service);
	struct service *s;
	int64_t at_us = now_us - load->age_ms * INT64_C(1000);
	int64_t step_us;
	double weight;
	int i;

	if (load->age_ms == FP_LOAD_AGE_UNKNOWN)
		return;
	s = at < v->n ? &v->services[at] : add(v, load->service);
	if (at_us < s->at_us)
		return;
	step_us = at_us - s->at_us;
	if (step_us < MIN_STEP_US)
		step_us = MIN_STEP_US;
	weight = 1 - exp(-(double)step_us / SMOOTH_US);
	for (i = 0; i < FP_SHED_RANK_COUNT; i++)
		smooth(&s->refused_permille[i], load->refused_permille[i],
		       weight);
	smooth(&s->used_permille, load->used_permille, weight);
	s->at_us = at_us;
}

void fp_load_view_read(const struct fp_load_view *v, struct fp_service_load *l,
		       int64_t now_us)
{
	uint32_t at = index_of(v, l->service);
	const struct service *s = &v->services[at];
	int64_t age_ms;
	int i;

	l->age_ms = FP_LOAD_AGE_UNKNOWN;
	if (at == v->n)
		return;
	age_ms = (now_us - s->at_us) / 1000;
	if (age_ms < FP_LOAD_AGE_UNKNOWN)
		l->age_ms = (uint16_t)age_ms;
	for (i = 0; i < FP_SHED_RANK_COUNT; i++)
		l->refused_permille[i] =
			(uint16_t)lround(s->refused_permille[i]);
	l->used_permille = (uint16_t)lround(s->used_permille);
}
