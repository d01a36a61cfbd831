/**
 * @file
 * A pool's schedulers on several nodes with a fake store and fake workers, in
 * virtual time from a seed, with faults; promises are checked at each event.
 */
#ifndef BW_TEST_WORLD_H
#define BW_TEST_WORLD_H

#include <stdint.h>

/** Which troubles a world has. */
typedef struct world_config {
	uint32_t seed;
	uint32_t jobs;
	int64_t traffic_ms; /**< Jobs and faults come in this time. */
	int64_t settle_ms; /**< After it, all must have ended. */
	double lost_share; /**< Orders without an answer. */
	double late_share; /**< Of these, the ones carried out late. */
	uint32_t faults; /**< Kills, pauses, cuts, crashes and outages. */
	int64_t keep_ms; /**< Finished jobs stay in the store for so long. */
} world_config_t;

/** What came of it. */
typedef struct world_result {
	uint64_t events;
	uint32_t broken;
	uint32_t completed;
	uint32_t starts;
	char first[256]; /**< The first promise that was broken. */
} world_result_t;

/** Troubles drawn from a seed. */
void world_draw(uint32_t seed, world_config_t *out);

void world_play(const world_config_t *config, world_result_t *out);

#endif
