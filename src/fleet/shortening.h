/**
 * @file
 * Replaces records of ended jobs in the store by short ones, many at a time, so
 * that a takeover reads what is left to do and not what was done.
 *
 * Load pattern: in the long run as many records are replaced as jobs are
 * accepted. Therefore each transaction replaces many, waits until it has enough
 * of them or some time has passed, and only one is in progress at a time.
 */
#ifndef BW_FLEET_SHORTENING_H
#define BW_FLEET_SHORTENING_H

#include <stdint.h>

#include "sched/sched.h"
#include "store/store.h"

typedef struct bw_shortening bw_shortening_t;

/**
 * Creates the module's state for a pool that this node owns.
 * @param owner_key,fence key and revision of the claim, which every
 *     transaction requires to be unchanged
 */
bw_shortening_t *bw_shortening_create(const bw_store_t *store, const char *pool,
				      const char *owner_key, int64_t fence);

/** Stops; a call in progress no longer affects the scheduler. */
void bw_shortening_destroy(bw_shortening_t *sh);

/** Replaces records if enough are due; @p sched must outlive @p sh. */
void bw_shortening_run(bw_shortening_t *sh, int64_t now_ms, bw_sched_t *sched);

#endif
