/* New jobs of an owner that may not be the owner any more. */
#include "test.h"

#include <glib.h>

#include "sched_orders.h"

#define CONFIRM_MS 300

/* An owner with the worker w1, whose last save was some time ago. */
static void begin(orders_t *o, int64_t since_save_ms)
{
	orders_begin_confirming(o, CONFIRM_MS);
	orders_add_worker(o, "w1");
	orders_answer_heartbeat(o, "w1", NULL, 0, NULL, 0);
	orders_run(o, 0);
	orders_save(o);
	o->now_ms += since_save_ms;
	orders_answer_heartbeat(o, "w1", NULL, 0, NULL, 0);
	orders_run(o, 0);
}

/*
 * Failure: an owner that the store refuses, and whose claim is gone, starts a
 * job that was stored after its successor's first save, which starts it too.
 */
static void test_unconfirmed_owner_starts_no_new_job(void **state)
{
	orders_t o;
	uint32_t i;

	(void)state;
	begin(&o, CONFIRM_MS + 100);
	orders_add_job(&o, JOB_A, 3, false, 1000, 500);
	for (i = 0; i < 10; i++) {
		orders_run(&o, 100);
		orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
		bw_sched_save_failed(o.sched);
	}
	assert_int_equal(o.start_count, 0);
	assert_true(bw_sched_urgent(o.sched));
	orders_save(&o);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 3);
	bw_sched_destroy(o.sched);
}

/* While saves succeed, a new job does not wait for one. */
static void test_confirmed_owner_starts_a_new_job_at_once(void **state)
{
	orders_t o;

	(void)state;
	begin(&o, CONFIRM_MS - 100);
	orders_add_job(&o, JOB_A, 3, false, 1000, 500);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 3);
	bw_sched_destroy(o.sched);
}

/* Failure: the last save was a short time ago, but another one has failed. */
static void test_failed_save_confirms_nothing(void **state)
{
	orders_t o;

	(void)state;
	begin(&o, CONFIRM_MS - 100);
	bw_sched_save_failed(o.sched);
	orders_add_job(&o, JOB_A, 3, false, 1000, 500);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 0);
	bw_sched_destroy(o.sched);
}

/* Jobs that arrived while the owner was confirmed go on in an outage. */
static void test_earlier_jobs_go_on_while_saves_fail(void **state)
{
	orders_t o;

	(void)state;
	begin(&o, CONFIRM_MS - 100);
	orders_add_job(&o, JOB_A, 9, false, 1000, 500);
	bw_sched_save_failed(o.sched);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 8);
	bw_sched_destroy(o.sched);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_unconfirmed_owner_starts_no_new_job),
		cmocka_unit_test(test_confirmed_owner_starts_a_new_job_at_once),
		cmocka_unit_test(test_failed_save_confirms_nothing),
		cmocka_unit_test(test_earlier_jobs_go_on_while_saves_fail),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
