/**
 * @file
 * Decides how many machines each pool should have, and which machines move.
 *
 * Load pattern: pools surge by turns, each asking more than it holds for some
 * seconds and little in between. A pool in need takes machines that are off,
 * then idle ones of pools that need fewer.
 *
 * Pure: no I/O; time is passed in.
 */
#ifndef BW_FLEET_BALANCE_H
#define BW_FLEET_BALANCE_H

#include <stdbool.h>
#include <stdint.h>

#include "sched/sched.h"

typedef struct bw_balance bw_balance_t;

/** A pool, as reported. */
typedef struct bw_balance_pool {
	const char *name;
	bool standby; /**< Its machines are off. */
	bool known; /**< Its report is fresh. */
	bw_pool_demand_t demand;
} bw_balance_pool_t;

/** A machine, as listed and reported. */
typedef struct bw_balance_machine {
	const char *name;
	uint32_t pool; /**< Index of its pool. */
	int64_t room_millis;
	uint32_t tasks;
	uint32_t lasting; /**< Of the tasks, those that last. */
	bool up;
	bool usable; /**< Its pool can start tasks on it, or soon can. */
	bool free; /**< Emptied and idle, or off: may be moved. */
	bool held; /**< Reserved for upkeep, or a move is in progress. */
} bw_balance_machine_t;

/** How a pool stands, for logs. */
typedef struct bw_balance_state {
	uint32_t have; /**< Machines that are, or soon are, of use. */
	uint32_t needed; /**< At present. */
	uint32_t wanted; /**< With the delay of releases. */
} bw_balance_state_t;

/** What is to be done with a machine. */
typedef enum bw_balance_kind {
	BW_BALANCE_EMPTY, /**< Nothing new is to start on it. */
	BW_BALANCE_MOVE
} bw_balance_kind_t;

typedef struct bw_balance_action {
	bw_balance_kind_t kind;
	uint32_t machine; /**< Index. */
	uint32_t pool; /**< Index of the pool that it moves to. */
} bw_balance_action_t;

bw_balance_t *bw_balance_create(void);
void bw_balance_destroy(bw_balance_t *b);

/** How a pool stood at the last decision. */
bw_balance_state_t bw_balance_state(const bw_balance_t *b, const char *pool);

/**
 * Decides on the present state.
 * @param actions receives at most @p machine_count actions
 * @return number of actions
 */
uint32_t bw_balance_decide(bw_balance_t *b, int64_t now_ms,
			   const bw_balance_pool_t *pools, uint32_t pool_count,
			   const bw_balance_machine_t *machines,
			   uint32_t machine_count,
			   bw_balance_action_t *actions);

#endif
