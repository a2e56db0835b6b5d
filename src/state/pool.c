/* pool.c - equal parts of a rate, pooled by several nodes */
#include "state/pool.h"

#include <stdlib.h>

struct part {
	uint64_t node;
	int64_t asked_us; /* last time */
};

struct fp_pool {
	struct part *parts;
	uint32_t n;
	uint32_t room;
};

struct fp_pool *fp_pool_init(void)
{
	return calloc(1, sizeof(struct fp_pool));
}

void fp_pool_join(struct fp_pool *p, uint64_t node, int64_t now_us)
{
	uint32_t i = 0;

	while (i < p->n && p->parts[i].node != node)
		i++;
	if (i == p->room) {
		p->room = p->room ? 2 * p->room : 8;
		p->parts = reallocarray(p->parts, p->room, sizeof(*p->parts));
		if (!p->parts)
			abort();
	}
	p->parts[i].node = node;
	p->parts[i].asked_us = now_us;
	if (i == p->n)
		p->n++;
}

uint32_t fp_pool_parts(struct fp_pool *p, int64_t now_us)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < p->n; i++)
		if (now_us - p->parts[i].asked_us <= FP_POOL_STAY_US)
			p->parts[kept++] = p->parts[i];
	p->n = kept;
	return kept;
}

void fp_pool_end(struct fp_pool *p)
{
	if (!p)
		return;
	free(p->parts);
	free(p);
}
