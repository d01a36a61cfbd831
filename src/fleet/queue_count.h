/**
 * @file
 * Number of a queue's jobs that wait: those in the queue's pool, and those in
 * other pools that accepted them while the queue was theirs.
 */
#ifndef BW_FLEET_QUEUE_COUNT_H
#define BW_FLEET_QUEUE_COUNT_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/empty_pools.h"
#include "fleet/interfaces.h"
#include "fleet/service.h"

/** What a count needs; all of it outlives the count. */
typedef struct bw_queue_count_env {
	const char *node; /**< Name of this node. */
	bw_fleet_peers_t *peers;
	bw_empty_pools_t *empty_pools;
	const bw_service_ops_t *ops;
	void *ctx; /**< Of the operations. */
} bw_queue_count_env_t;

/** @param known false: the owner of a pool that may have jobs of the queue did
 *  not answer */
typedef void (*bw_queue_count_done_fn)(void *ctx, bool known, uint32_t waiting);

/**
 * Asks the owners of all pools. The number is not known without that of a pool
 * that may have jobs of the queue.
 * @param pools of the configuration; read before the function returns
 * @param pool the queue's
 * @param done called once, possibly before the function returns
 */
void bw_queue_count(const bw_queue_count_env_t *env,
		    const bw_fleet_config_t *pools, const char *queue,
		    const char *pool, bw_queue_count_done_fn done, void *ctx);

#endif
