/* Workers that are neither heard nor listed. */
#include "test.h"

#include "fleet/missing.h"

#define WORKER "w"

/* A list that is hardly newer may not have the worker yet, and any one list may
 * miss a machine. */
static void test_worker_has_ended_by_a_newer_list(void **state)
{
	bw_missing_t *m = bw_missing_create();

	(void)state;
	assert_false(bw_missing_note(m, 5000, WORKER, 4900));
	assert_true(bw_missing_await_list(m));
	assert_false(bw_missing_note(m, 5600, WORKER, 5500));
	assert_false(bw_missing_note(m, 6100, WORKER, 6000));
	assert_false(bw_missing_note(m, 6200, WORKER, 6000));
	assert_true(bw_missing_await_list(m));
	assert_true(bw_missing_note(m, 6400, WORKER, 6300));
	assert_false(bw_missing_await_list(m));
	bw_missing_destroy(m);
}

/* One that was heard or listed meanwhile counts from anew. */
static void test_missing_worker_is_forgotten(void **state)
{
	bw_missing_t *m = bw_missing_create();

	(void)state;
	bw_missing_note(m, 5000, WORKER, 4900);
	bw_missing_forget(m, 5500);
	assert_true(bw_missing_await_list(m));
	bw_missing_forget(m, 7000);
	assert_false(bw_missing_await_list(m));
	assert_false(bw_missing_note(m, 7100, WORKER, 7050));
	bw_missing_destroy(m);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_worker_has_ended_by_a_newer_list),
		cmocka_unit_test(test_missing_worker_is_forgotten),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
