/**
 * @file
 * Removes records of finished jobs from the store, a few at a time.
 *
 * Load pattern: in the long run as many jobs are removed as are accepted.
 * Therefore each transaction removes several jobs, and only one transaction is
 * in progress at a time.
 */
#ifndef BW_FLEET_REMOVAL_H
#define BW_FLEET_REMOVAL_H

#include <stdint.h>

#include "sched/sched.h"
#include "store/store.h"

typedef struct bw_removal bw_removal_t;

/**
 * Creates the remover for a pool that this node owns.
 * @param owner_key,fence key and revision of the claim, which every
 *     transaction requires to be unchanged
 */
bw_removal_t *bw_removal_create(const bw_store_t *store, const char *pool,
				const char *owner_key, int64_t fence);

/** Stops; a call in progress no longer affects the scheduler. */
void bw_removal_destroy(bw_removal_t *r);

/** Starts a removal if one is due; @p sched must outlive @p r. */
void bw_removal_run(bw_removal_t *r, int64_t now_ms, bw_sched_t *sched);

#endif
