/**
 * @file
 * Removes records of finished jobs from the store, a few at a time.
 *
 * Load pattern: in the long run as many jobs are removed as are accepted, so
 * each transaction removes several, and one is in progress at a time.
 */
#ifndef BW_FLEET_REMOVAL_H
#define BW_FLEET_REMOVAL_H

#include <stdint.h>

#include "sched/sched.h"
#include "store/store.h"

typedef struct bw_removal bw_removal_t;

/**
 * Creates the remover of an owned pool.
 * @param owner_key,fence the claim that each transaction expects
 */
bw_removal_t *bw_removal_create(const bw_store_t *store, const char *pool,
				const char *owner_key, int64_t fence);

/** Calls in progress end without effect on a scheduler. */
void bw_removal_destroy(bw_removal_t *r);

/** Begins a removal if one is due; @p sched lives as long as @p r. */
void bw_removal_run(bw_removal_t *r, int64_t now_ms, bw_sched_t *sched);

#endif
