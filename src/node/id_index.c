/*
 * id_index.c - finds objects by an id that several of them may have
 *
 * The ids come from callers, so they need not be unique. The hash table has one
 * key for each id, the text of the entry that was added first; entries with the
 * same id are chained behind it. When the first one leaves, the key is removed
 * with it and entered anew with the text of the next one: the table keeps the
 * pointer that it was given, which must not outlive its object.
 */
#include "node/id_index.h"

#include <apr_hash.h>
#include <stdlib.h>

struct fp_id_index {
	apr_hash_t *first; /* struct fp_id_entry by id */
};

struct fp_id_index *fp_id_index_init(apr_pool_t *pool)
{
	struct fp_id_index *x = apr_palloc(pool, sizeof(*x));

	if (!x)
		abort();
	x->first = apr_hash_make(pool);
	return x;
}

static struct fp_id_entry *first_of(const struct fp_id_index *x, const char *id)
{
	return apr_hash_get(x->first, id, APR_HASH_KEY_STRING);
}

void fp_id_index_add(struct fp_id_index *x, struct fp_id_entry *e)
{
	struct fp_id_entry *last = first_of(x, e->id);

	e->next = NULL;
	if (!last) {
		apr_hash_set(x->first, e->id, APR_HASH_KEY_STRING, e);
		return;
	}
	while (last->next)
		last = last->next;
	last->next = e;
}

void fp_id_index_remove(struct fp_id_index *x, struct fp_id_entry *e)
{
	struct fp_id_entry *before = first_of(x, e->id);

	if (before == e) {
		apr_hash_set(x->first, e->id, APR_HASH_KEY_STRING, NULL);
		if (e->next)
			apr_hash_set(x->first, e->next->id, APR_HASH_KEY_STRING,
				     e->next);
		return;
	}
	while (before->next != e)
		before = before->next;
	before->next = e->next;
}

void *fp_id_index_find(const struct fp_id_index *x, const char *id)
{
	struct fp_id_entry *e = first_of(x, id);

	return e ? e->owner : NULL;
}
