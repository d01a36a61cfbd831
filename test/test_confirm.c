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

/* Three tasks of JOB_A are at work on w1, whose boot started at 5. */
static void begin_with_runs(orders_t *o, bw_run_row_t rows[3])
{
	uint32_t i;

	begin(o, 0);
	orders_add_job(o, JOB_A, 3, false, 1000, 500);
	orders_run(o, 10);
	assert_int_equal(o->start_count, 3);
	orders_save(o);
	for (i = 0; i < 3; i++)
		rows[i] = (bw_run_row_t){ .task = { JOB_A, 0, 0, i },
					  .run = 1,
					  .checkpoint = "" };
	o->now_ms += 10;
	orders_answer_heartbeat(o, "w1", rows, 3, NULL, 0);
}

/* The worker starts again under its identifier, and can be used. */
static void restart_worker(orders_t *o)
{
	orders_register_boot(o, 6);
	orders_run(o, 10);
	orders_answer_as_boot(o, "w1", 6, NULL, 0, NULL, 0);
	bw_sched_owned_at(o->sched, 100);
	orders_run(o, 10);
	orders_answer_as_boot(o, "w1", 6, NULL, 0, NULL, 0);
	orders_run(o, 10);
}

/*
 * Failure: an owner whose claim is gone starts tasks again after a restart of
 * their worker, though the next owner has read their ends.
 */
static void test_unconfirmed_owner_starts_no_task_again(void **state)
{
	bw_run_row_t rows[3];
	orders_t o;

	(void)state;
	begin_with_runs(&o, rows);
	bw_sched_save_failed(o.sched);
	restart_worker(&o);
	assert_int_equal(o.start_count, 3);
	assert_true(bw_sched_urgent(o.sched));
	orders_save(&o);
	orders_run(&o, 10);
	/* The others wait until this suspect has survived its start. */
	assert_int_equal(o.start_count, 4);
	bw_sched_destroy(o.sched);
}

/* While the store is down for all, no other node can have claimed the pool. */
static void test_tasks_start_again_in_an_outage(void **state)
{
	bw_run_row_t rows[3];
	orders_t o;

	(void)state;
	begin_with_runs(&o, rows);
	bw_sched_save_failed(o.sched);
	bw_sched_set_outage(o.sched, true);
	restart_worker(&o);
	/* The others wait until this suspect has survived its start. */
	assert_int_equal(o.start_count, 4);
	bw_sched_destroy(o.sched);
}

/* A run that the worker lists no more, nor its end. */
static void test_missing_run_waits_for_a_save(void **state)
{
	bw_run_row_t rows[3];
	orders_t o;

	(void)state;
	begin_with_runs(&o, rows);
	o.now_ms += 10;
	orders_answer_heartbeat(&o, "w1", rows, 2, NULL, 0);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 3);
	orders_save(&o);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 4);
	bw_sched_destroy(o.sched);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_unconfirmed_owner_starts_no_new_job),
		cmocka_unit_test(test_confirmed_owner_starts_a_new_job_at_once),
		cmocka_unit_test(test_failed_save_confirms_nothing),
		cmocka_unit_test(test_earlier_jobs_go_on_while_saves_fail),
		cmocka_unit_test(test_unconfirmed_owner_starts_no_task_again),
		cmocka_unit_test(test_tasks_start_again_in_an_outage),
		cmocka_unit_test(test_missing_run_waits_for_a_save),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
