/* id_index.h - finds objects by an id that several of them may have */
#ifndef FP_NODE_ID_INDEX_H
#define FP_NODE_ID_INDEX_H

#include <apr_pools.h>

#ifdef __cplusplus
extern "C" {
#endif

struct fp_id_index;

/** Membership of an object in an index; part of the object. */
struct fp_id_entry {
	const char *id; /**< must stay valid while the entry is in the index */
	void *owner; /**< the object */
	struct fp_id_entry *next; /**< of the same id, added later */
};

/** Creates an empty index, which lives as long as the pool. */
struct fp_id_index *fp_id_index_init(apr_pool_t *pool);

/** Adds an entry whose id and owner are set. */
void fp_id_index_add(struct fp_id_index *x, struct fp_id_entry *e);

/** Removes an entry that is in the index. */
void fp_id_index_remove(struct fp_id_index *x, struct fp_id_entry *e);

/** Returns the object of that id that was added first; NULL if there is
 *  none. */
void *fp_id_index_find(const struct fp_id_index *x, const char *id);

#ifdef __cplusplus
}
#endif
#endif
