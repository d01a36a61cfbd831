/* Simulations of a pool whose workers restart or crash, apart from test_world
 * as they run beside it. */
#include "test.h"

#include "world_check.h"

/** Seeds from 1 on that are played. */
#define DRAWN_SEEDS 40

/* Workers come back after they were forgotten, beside late calls. */
static void test_world_restarts_of_forgotten_workers(void **state)
{
	world_config_t config;
	uint32_t seed;

	(void)state;
	for (seed = 1; seed <= DRAWN_SEEDS; seed++) {
		world_draw_config(seed, &config);
		world_restart_away(seed, &config);
		world_check(seed, "forgotten workers", &config);
	}
}

/* Tasks crash workers that no machine runs when their owner is told. */
static void test_world_ends_that_owners_are_told(void **state)
{
	world_config_t config;
	uint32_t seed;

	(void)state;
	for (seed = 1; seed <= DRAWN_SEEDS; seed++) {
		world_draw_config(seed, &config);
		world_tell_ends(&config);
		world_check(seed, "ends that are told", &config);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_world_restarts_of_forgotten_workers),
		cmocka_unit_test(test_world_ends_that_owners_are_told),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
