/**
 * @file
 * Upkeep of machines in waves: each owner empties the machines of its pools
 * and orders their upkeep, within the number that a wave allows at a time.
 * That number is kept by a compare-and-swap on the wave's key.
 */
#ifndef BW_FLEET_UPKEEP_H
#define BW_FLEET_UPKEEP_H

#include "fleet/pool.h"
#include "fleet/ports.h"
#include "store/store.h"

typedef struct bw_upkeep bw_upkeep_t;

typedef struct bw_upkeep_env {
	bw_store_t store;
	bw_machine_port_t machines;
	const bw_values_port_t *values;
	const char *node;
	int64_t holder_ms; /**< Between orders of two nodes to a machine. */
} bw_upkeep_env_t;

typedef struct bw_upkeep_ops {
	/** A pool that this node owns, or NULL. */
	bw_pool_t *(*pool)(void *ctx, const char *name);
	/** Whether this node owns any pool. */
	bool (*owns_any)(void *ctx);
	/** A call to the store ended so. */
	void (*result)(void *ctx, bw_status_t status);
} bw_upkeep_ops_t;

bw_upkeep_t *bw_upkeep_create(const bw_upkeep_env_t *env,
			      const bw_upkeep_ops_t *ops, void *ctx);
void bw_upkeep_destroy(bw_upkeep_t *u);

/** Takes an order of a wave; known waves are ignored. */
void bw_upkeep_wave(bw_upkeep_t *u, bw_wave_order_t *order);

/** Takes the next steps; to be called often. */
void bw_upkeep_tick(bw_upkeep_t *u, int64_t now_ms);

#endif
