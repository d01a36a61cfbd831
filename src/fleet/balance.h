/**
 * @file
 * Decides how many machines each pool should have, and which machines move.
 *
 * Load pattern: pools surge at different times. During a surge a pool demands
 * more than its machines can run for some seconds; otherwise it demands
 * little. A pool with too few machines takes machines that are off first, then
 * machines from pools with a surplus, those with the fewest tasks first.
 *
 * Does no I/O; the caller passes the time.
 */
#ifndef BW_FLEET_BALANCE_H
#define BW_FLEET_BALANCE_H

#include <stdbool.h>
#include <stdint.h>

#include "sched/sched.h"

typedef struct bw_balance bw_balance_t;

/** A pool and its reported demand. */
typedef struct bw_balance_pool {
	const char *name;
	bool standby; /**< Its machines are off. */
	bool report_fresh; /**< Its owner reported recently. */
	bw_pool_demand_t demand;
} bw_balance_pool_t;

/** A machine as listed, with its worker's reported tasks. */
typedef struct bw_balance_machine {
	const char *name;
	uint32_t pool; /**< Index in the array of pools. */
	int64_t capacity_millis;
	uint32_t tasks;
	uint32_t lasting; /**< How many of the tasks are lasting. */
	bool up;
	bool usable; /**< Its pool can start tasks on it now or soon. */
	bool movable; /**< Can move now: cordoned and idle, or off. */
	bool excluded; /**< Reserved for maintenance, or moving. */
} bw_balance_machine_t;

/** Machine counts of a pool at the last decision, for logs. */
typedef struct bw_balance_state {
	uint32_t have; /**< Machines that are usable now or soon. */
	uint32_t needed; /**< Machines for the current demand. */
	uint32_t wanted; /**< As needed, but lowered only after a delay. */
} bw_balance_state_t;

/** What to do with a machine. */
typedef enum bw_balance_kind {
	BW_BALANCE_CORDON, /**< Evacuate it before a move; start no tasks. */
	BW_BALANCE_MOVE
} bw_balance_kind_t;

typedef struct bw_balance_action {
	bw_balance_kind_t kind;
	uint32_t machine; /**< Index in the array of machines. */
	uint32_t pool; /**< Index of the destination pool. */
} bw_balance_action_t;

bw_balance_t *bw_balance_create(void);
void bw_balance_destroy(bw_balance_t *b);

/** Returns a pool's counts at the last decision; zeros if there was none. */
bw_balance_state_t bw_balance_state(const bw_balance_t *b, const char *pool);

/**
 * Decides which machines to cordon or to move now.
 * @param actions receives at most @p machine_count actions
 * @return number of actions
 */
uint32_t bw_balance_decide(bw_balance_t *b, int64_t now_ms,
			   const bw_balance_pool_t *pools, uint32_t pool_count,
			   const bw_balance_machine_t *machines,
			   uint32_t machine_count,
			   bw_balance_action_t *actions);

#endif
