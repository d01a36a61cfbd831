/**
 * @file
 * Pools that have no waiting job of a queue. Jobs stay in the pool that
 * accepted them, so that any pool may have jobs of a queue that was another
 * pool's before. One that had none some time after the queue came to its
 * present pool gets none any more, and need not be asked while nobody owns it.
 *
 * Does no I/O; the caller passes the time.
 */
#ifndef BW_FLEET_EMPTY_POOLS_H
#define BW_FLEET_EMPTY_POOLS_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/interfaces.h"

typedef struct bw_empty_pools bw_empty_pools_t;

bw_empty_pools_t *bw_empty_pools_create(void);
void bw_empty_pools_destroy(bw_empty_pools_t *e);

/** Notes the pools of all queues; forgets what was known of those that are new,
 *  gone or in another pool than before. */
void bw_empty_pools_configure(bw_empty_pools_t *e, int64_t now_ms,
			      const bw_fleet_config_t *config);

/**
 * Notes the answer of a pool's owner; that of the queue's present pool tells
 * nothing of later.
 * @param waiting number of the queue's jobs that wait there
 */
void bw_empty_pools_note(bw_empty_pools_t *e, int64_t now_ms, const char *queue,
			 const char *pool, uint32_t waiting);

/** Returns whether another pool has no waiting job of a queue for certain. */
bool bw_empty_pools_is_empty(const bw_empty_pools_t *e, const char *queue,
			     const char *pool);

#endif
