/**
 * @file
 * Divides a tenant's cap among the pools, from what it uses and wants of each.
 * Pure arithmetic; the lender keeps the state and the messages.
 */
#ifndef BW_FLEET_QUOTA_SPLIT_H
#define BW_FLEET_QUOTA_SPLIT_H

#include <stdbool.h>
#include <stdint.h>

/** Kinds of resources that a cap limits, each for itself. */
typedef enum bw_amount_kind {
	BW_AMOUNT_CPU_MILLIS,
	BW_AMOUNT_MEM_MB,
	BW_AMOUNT_GPUS,
	BW_AMOUNT_COUNT
} bw_amount_kind_t;

/** Amount of each kind. In a cap, 0 is no limit. */
typedef struct bw_amounts {
	int64_t of[BW_AMOUNT_COUNT];
} bw_amounts_t;

/** Amounts of a tenant in a pool. */
typedef struct bw_quota_part {
	bw_amounts_t held; /**< Of tasks that run or may still run. */
	bw_amounts_t wanted; /**< Of tasks that could start now. */
	bw_amounts_t largest; /**< Of those that must start together, the most.
			       */
	bw_amounts_t needed; /**< Result: what it is entitled to now. */
	bw_amounts_t goal; /**< Result: with its part of what is left. */
} bw_quota_part_t;

/** Which pools come first where the cap is too small for one more start in
 *  each. */
typedef struct bw_quota_turn {
	uint32_t first; /**< Index of the pool that comes first. */
	bool oversized; /**< Tasks that exceed the whole cap come first. */
} bw_quota_turn_t;

/** Index returned if no pool gets the whole cap. */
#define BW_QUOTA_NOBODY UINT32_MAX

/**
 * Divides a cap. If it fits what all pools hold and want, each needs that, and
 * the goals divide the rest in proportion; else the needs are max-min shares,
 * and pools whose share is too small for one start get enough for it by turns.
 * The goals' sum exceeds no limited amount of the cap, with one exception.
 * @param count number of pools, at least 1
 * @return the pool whose largest start exceeds the whole cap, if it is its turn
 *     or nobody wants less: its goal is that start, the others' goals are 0;
 * else BW_QUOTA_NOBODY
 */
uint32_t bw_quota_split(const bw_amounts_t *cap, bw_quota_part_t *pools,
			uint32_t count, const bw_quota_turn_t *turn);

#endif
