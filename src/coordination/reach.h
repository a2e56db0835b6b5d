/* reach.h - delegates of a failure domain, and detection of isolation */
#ifndef FP_COORDINATION_REACH_H
#define FP_COORDINATION_REACH_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Number of delegates of each failure domain, which read the store and pass
 *  the configuration on to the other nodes. */
#define FP_DELEGATES_PER_DOMAIN 2
/** A node checks whether it is isolated when its newest store contact, its own
 *  or one reported by a peer, is older than this; microseconds. */
#define FP_STORE_STALE_US INT64_C(3000000)
/** A member that is presumed dead, without proof that its process ended, still
 *  counts as known for this time; microseconds. */
#define FP_DEAD_COUNTED_US INT64_C(600000000)

/**
 * Returns whether a node is a delegate: one of the FP_DELEGATES_PER_DOMAIN
 * nodes with the highest rendezvous score in its domain. With a store with
 * leases the delegate is chosen otherwise; see directory_relay.c.
 *
 * @param self  id of this node
 * @param ids   ids of all live nodes of the same domain, self among them
 */
bool fp_reach_is_delegate(uint64_t self, const uint64_t *ids, uint32_t n);

/**
 * Returns whether a node is isolated, so that it must not rely on its copy of
 * the API keys.
 *
 * Missing contact with the store has two possible causes. If the store is down
 * for the entire fleet, no key can be withdrawn, and the node still reaches
 * most of the fleet. If a network partition separates this node, a key may have
 * been withdrawn on the other side, and the node reaches half of the fleet or
 * less.
 *
 * @param store_age_us  time since the newest store contact of this node or a
 *                      peer, microseconds
 * @param reached       members not suspected, including this node
 * @param known         reached members, suspected ones, and those dead without
 *                      proof for at most FP_DEAD_COUNTED_US
 */
bool fp_reach_is_isolated(int64_t store_age_us, uint32_t reached,
			  uint32_t known);

#ifdef __cplusplus
}
#endif
#endif
