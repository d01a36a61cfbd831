/* Pools that have no waiting job of a queue. */
#include "test.h"

#include "fleet/empty_pools.h"

/** Nodes may still accept in a queue's earlier pool before this. */
#define EARLY_MS 9000
#define LATE_MS	 11000

static bw_queue_t in_desk = { .name = "r1", .pool = "desk" };
static bw_queue_t in_annex = { .name = "r1", .pool = "annex" };
static const bw_fleet_config_t desk = { .queues = &in_desk, .queue_count = 1 };
static const bw_fleet_config_t annex = { .queues = &in_annex,
					 .queue_count = 1 };
static const bw_fleet_config_t none = { .queue_count = 0 };

/* A queue that is sent to the annex at 0 ms. */
static bw_empty_pools_t *begin(void)
{
	bw_empty_pools_t *e = bw_empty_pools_create();

	bw_empty_pools_configure(e, 0, &annex);
	return e;
}

static void test_pool_that_had_none_late_is_empty(void **state)
{
	bw_empty_pools_t *e = begin();

	(void)state;
	assert_false(bw_empty_pools_is_empty(e, "r1", "desk"));
	bw_empty_pools_note(e, LATE_MS, "r1", "desk", 0);
	assert_true(bw_empty_pools_is_empty(e, "r1", "desk"));
	assert_false(bw_empty_pools_is_empty(e, "r1", "attic"));
	assert_false(bw_empty_pools_is_empty(e, "r2", "desk"));
	bw_empty_pools_configure(e, LATE_MS, &annex);
	assert_true(bw_empty_pools_is_empty(e, "r1", "desk"));
	bw_empty_pools_destroy(e);
}

/* Failure: a node with the earlier configuration accepts a job there later. */
static void test_pool_that_had_none_early_may_get_one(void **state)
{
	bw_empty_pools_t *e = begin();

	(void)state;
	bw_empty_pools_note(e, EARLY_MS, "r1", "desk", 0);
	assert_false(bw_empty_pools_is_empty(e, "r1", "desk"));
	bw_empty_pools_destroy(e);
}

static void test_pool_that_has_one_is_not_empty(void **state)
{
	bw_empty_pools_t *e = begin();

	(void)state;
	bw_empty_pools_note(e, LATE_MS, "r1", "desk", 0);
	bw_empty_pools_note(e, LATE_MS, "r1", "desk", 1);
	assert_false(bw_empty_pools_is_empty(e, "r1", "desk"));
	bw_empty_pools_destroy(e);
}

/* Failure: the queue's own pool counts as empty while nobody owns it. */
static void test_the_queues_own_pool_is_never_empty(void **state)
{
	bw_empty_pools_t *e = begin();

	(void)state;
	bw_empty_pools_note(e, LATE_MS, "r1", "annex", 0);
	assert_false(bw_empty_pools_is_empty(e, "r1", "annex"));
	bw_empty_pools_destroy(e);
}

/* Failure: a queue moves twice, and its first pool is known as empty from a
 * time before it was its own. */
static void test_move_forgets_which_pools_are_empty(void **state)
{
	bw_empty_pools_t *e = begin();

	(void)state;
	bw_empty_pools_note(e, LATE_MS, "r1", "desk", 0);
	bw_empty_pools_configure(e, LATE_MS, &desk);
	assert_false(bw_empty_pools_is_empty(e, "r1", "desk"));
	bw_empty_pools_configure(e, LATE_MS, &annex);
	assert_false(bw_empty_pools_is_empty(e, "r1", "desk"));
	bw_empty_pools_note(e, LATE_MS + EARLY_MS, "r1", "desk", 0);
	assert_false(bw_empty_pools_is_empty(e, "r1", "desk"));
	bw_empty_pools_destroy(e);
}

/* The same if a version between lacks the queue. */
static void test_queue_that_comes_back_is_a_new_one(void **state)
{
	bw_empty_pools_t *e = begin();

	(void)state;
	bw_empty_pools_note(e, LATE_MS, "r1", "desk", 0);
	bw_empty_pools_configure(e, LATE_MS, &none);
	bw_empty_pools_configure(e, LATE_MS, &annex);
	assert_false(bw_empty_pools_is_empty(e, "r1", "desk"));
	bw_empty_pools_destroy(e);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_pool_that_had_none_late_is_empty),
		cmocka_unit_test(test_pool_that_had_none_early_may_get_one),
		cmocka_unit_test(test_pool_that_has_one_is_not_empty),
		cmocka_unit_test(test_the_queues_own_pool_is_never_empty),
		cmocka_unit_test(test_move_forgets_which_pools_are_empty),
		cmocka_unit_test(test_queue_that_comes_back_is_a_new_one),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
