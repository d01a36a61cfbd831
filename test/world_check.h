/**
 * @file
 * Plays a simulation in a test.
 */
#ifndef BW_TEST_WORLD_CHECK_H
#define BW_TEST_WORLD_CHECK_H

#include "test.h"

#include "world.h"

/** Plays a simulation, which must break no rule. */
static inline void world_check(uint32_t seed, const char *cause,
			       const world_config_t *config)
{
	world_result_t result;

	world_play(config, &result);
	if (result.violations > 0)
		print_error("seed %u (%s): violations=%u, first at %s\n", seed,
			    cause, result.violations, result.first_violation);
	assert_int_equal(result.violations, 0);
	assert_true(result.starts > 0);
}

#endif
