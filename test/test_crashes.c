/* Tasks that crash their workers are given up, and when. */
#include "test.h"

#include "crash_pool.h"

/** The controller tells of an end after this time. */
#define UNLISTED_MS 1500
/** More would be started three times after three crashes. */
#define CRASHES_TOLERATED 5U

/* It was started 14 times, each on another worker. */
static void test_crashing_task_is_started_for_ever(void **state)
{
	pool_t p;

	(void)state;
	pool_begin(&p, 6);
	p.crashing_job = JOB_A;
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	pool_play(&p, 60000);
	assert_int_equal(p.crashes, 2);
	assert_int_equal(pool_state_of(&p, JOB_A), BW_JOB_FAILED);
	pool_end(&p);
}

static void test_restarts_under_one_identifier_hide_crashes(void **state)
{
	pool_t p;

	(void)state;
	pool_begin(&p, 6);
	p.same_id = true;
	p.crashing_job = JOB_A;
	orders_add_job(&p.o, JOB_A, 1, true, 1000, 0);
	pool_play(&p, 60000);
	assert_in_range(p.crashes, 2, 4);
	assert_int_equal(pool_state_of(&p, JOB_A), BW_JOB_FAILED);
	pool_end(&p);
}

/* The grant ends before the machine is back, and the task starts elsewhere. */
static void test_crash_proven_after_the_grant_is_forgotten(void **state)
{
	pool_t p;

	(void)state;
	pool_begin(&p, 12);
	p.back_ms = 7000;
	p.crashing_job = JOB_A;
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	pool_play(&p, 90000);
	assert_in_range(p.crashes, 2, 4);
	assert_int_equal(pool_state_of(&p, JOB_A), BW_JOB_FAILED);
	pool_end(&p);
}

/* Machines that take long to be back hide all crashes for a while. */
static void test_slow_machines_hide_crashes(void **state)
{
	pool_t p;

	(void)state;
	pool_begin(&p, 24);
	p.back_ms = 30000;
	p.crashing_job = JOB_A;
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	pool_play(&p, 180000);
	assert_in_range(p.crashes, 2, 4);
	assert_int_equal(pool_state_of(&p, JOB_A), BW_JOB_FAILED);
	pool_end(&p);
}

/* The crash comes before the answer to the start. */
static void test_unanswered_starts_hide_crashes(void **state)
{
	pool_t p;

	(void)state;
	pool_begin(&p, 6);
	p.starts_unanswered = true;
	p.crashing_job = JOB_A;
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	pool_play(&p, 60000);
	assert_in_range(p.crashes, 2, 4);
	assert_int_equal(pool_state_of(&p, JOB_A), BW_JOB_FAILED);
	pool_end(&p);
}

/* Plays a task that crashes its workers, which no machine runs by then. */
static void play_unlisted(pool_t *p)
{
	pool_begin(p, 12);
	p->unlisted_ms = UNLISTED_MS;
	p->told_cause = BW_WORKER_END_UNLISTED;
	p->crashing_job = JOB_A;
	orders_add_job(&p->o, JOB_A, 1, false, 1000, 500);
}

/* Failure: the controller ends crashed workers that no machine runs as those
 * that it moved itself, so that their crashes are not counted. */
static void test_end_that_the_controller_tells_hides_a_crash(void **state)
{
	pool_t p;

	(void)state;
	play_unlisted(&p);
	pool_play(&p, 60000);
	assert_in_range(p.crashes, 2, 4);
	assert_int_equal(pool_state_of(&p, JOB_A), BW_JOB_FAILED);
	pool_end(&p);
}

/* The same if the start had no answer. */
static void test_end_that_is_told_hides_a_crash_at_its_start(void **state)
{
	pool_t p;

	(void)state;
	play_unlisted(&p);
	p.starts_unanswered = true;
	pool_play(&p, 60000);
	assert_in_range(p.crashes, 2, 4);
	assert_int_equal(pool_state_of(&p, JOB_A), BW_JOB_FAILED);
	pool_end(&p);
}

/* The same if the owner has changed between the crash and the end that is told.
 */
static void test_end_that_is_told_to_a_new_owner_hides_a_crash(void **state)
{
	pool_t p;

	(void)state;
	play_unlisted(&p);
	pool_await_crashes(&p, 1);
	pool_change_owner(&p, false);
	bw_sched_predecessor_stopped(p.o.sched, p.o.now_ms);
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	pool_play(&p, 60000);
	assert_in_range(p.crashes, 2, CRASHES_TOLERATED);
	assert_int_equal(pool_state_of(&p, JOB_A), BW_JOB_FAILED);
	pool_end(&p);
}

/* An order to its machine is no evidence. */
static void test_ordered_end_that_is_told_counts_as_crash(void **state)
{
	pool_t p;

	(void)state;
	play_unlisted(&p);
	p.told_cause = BW_WORKER_END_ORDERED;
	pool_play(&p, 30000);
	assert_true(p.crashes > CRASHES_TOLERATED);
	assert_int_equal(pool_state_of(&p, JOB_A), BW_JOB_RUNNING);
	pool_end(&p);
}

/* The other tasks of its job are stopped, and a successor starts none. */
static void test_job_of_given_up_task_goes_on(void **state)
{
	pool_t p;
	uint32_t i;

	(void)state;
	pool_begin(&p, 6);
	orders_add_job(&p.o, JOB_A, 2, false, 8000, 500);
	for (i = 0; i < 2; i++) {
		pool_play(&p, 100);
		pool_crash(&p,
			   pool_machine_with(
				   &p, p.o.starts[p.o.start_count - 1].worker));
		pool_play(&p, BACK_MS + STEP_MS);
	}
	assert_int_equal(pool_state_of(&p, JOB_A), BW_JOB_FAILED);
	assert_int_equal(p.o.stop_count, 1);
	pool_end(&p);
}

static void test_successor_counts_from_nothing(void **state)
{
	pool_t p;

	(void)state;
	pool_begin(&p, 6);
	p.crashing_job = JOB_A;
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	pool_play(&p, 200);
	assert_int_equal(p.crashes, 1);
	/* Its machine is back, and nothing is started before the change. */
	bw_sched_allow_orders(p.o.sched, false);
	pool_play(&p, BACK_MS);
	pool_change_owner(&p, true);
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	pool_play(&p, 30000);
	assert_int_equal(p.crashes, 2);
	assert_int_equal(pool_state_of(&p, JOB_A), BW_JOB_FAILED);
	pool_end(&p);
}

/* Each owner but the first ends before it learns of the crash. */
static void test_changes_of_owner_hide_crashes(void **state)
{
	pool_t p;
	uint32_t i;

	(void)state;
	pool_begin(&p, 12);
	p.crashing_job = JOB_A;
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	pool_play(&p, BACK_MS);
	for (i = 0; i < 8; i++) {
		pool_await_crashes(&p, MIN(i + 2, CRASHES_TOLERATED));
		pool_play(&p, 500);
		/* One owner learns of its crash. */
		pool_play(&p, i == 3 ? BACK_MS : 0);
		pool_change_owner(&p, false);
		orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	}
	pool_play(&p, 30000);
	assert_in_range(p.crashes, 2, CRASHES_TOLERATED);
	assert_int_equal(pool_state_of(&p, JOB_A), BW_JOB_FAILED);
	pool_end(&p);
}

/* Three crashes are hidden by changes of owner, others by slow machines. */
static void test_hidden_crashes_are_forgotten(void **state)
{
	pool_t p;
	uint32_t i;

	(void)state;
	pool_begin(&p, 16);
	p.back_ms = 9000;
	p.crashing_job = JOB_A;
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	for (i = 0; i < 3; i++) {
		pool_await_crashes(&p, i + 1);
		assert_int_equal(p.crashes, i + 1);
		pool_play(&p, 300);
		pool_change_owner(&p, false);
		orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	}
	pool_play(&p, 90000);
	assert_in_range(p.crashes, 4, CRASHES_TOLERATED);
	assert_int_equal(pool_state_of(&p, JOB_A), BW_JOB_FAILED);
	pool_end(&p);
}

/* It crashes its workers some time after its start. */
static void test_late_crashes_go_on(void **state)
{
	pool_t p;
	uint32_t i;

	(void)state;
	pool_begin(&p, 6);
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	for (i = 0; i < 8 && pool_state_of(&p, JOB_A) != BW_JOB_FAILED; i++) {
		pool_play(&p, 1000);
		pool_crash(&p, pool_machine_of(&p, JOB_A));
		pool_play(&p, BACK_MS + 4 * STEP_MS);
	}
	assert_int_equal(pool_state_of(&p, JOB_A), BW_JOB_FAILED);
	assert_int_equal(pool_starts_of(&p, JOB_A), 4);
	pool_end(&p);
}

/* The first crash tells nothing of a task that had survived its start. */
static void test_crash_without_suspicion_gives_up(void **state)
{
	pool_t p;

	(void)state;
	pool_begin(&p, 6);
	orders_add_job(&p.o, JOB_A, 1, false, 1000, 500);
	pool_play(&p, 1000);
	pool_crash(&p, pool_machine_of(&p, JOB_A));
	pool_play(&p, BACK_MS + 2 * STEP_MS);
	assert_int_equal(pool_starts_of(&p, JOB_A), 2);
	pool_crash(&p, pool_machine_of(&p, JOB_A));
	pool_play(&p, BACK_MS + 4 * STEP_MS);
	assert_int_equal(pool_state_of(&p, JOB_A), BW_JOB_RUNNING);
	pool_end(&p);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_crashing_task_is_started_for_ever),
		cmocka_unit_test(
			test_restarts_under_one_identifier_hide_crashes),
		cmocka_unit_test(
			test_crash_proven_after_the_grant_is_forgotten),
		cmocka_unit_test(test_slow_machines_hide_crashes),
		cmocka_unit_test(test_unanswered_starts_hide_crashes),
		cmocka_unit_test(
			test_end_that_the_controller_tells_hides_a_crash),
		cmocka_unit_test(
			test_end_that_is_told_hides_a_crash_at_its_start),
		cmocka_unit_test(
			test_end_that_is_told_to_a_new_owner_hides_a_crash),
		cmocka_unit_test(test_ordered_end_that_is_told_counts_as_crash),
		cmocka_unit_test(test_job_of_given_up_task_goes_on),
		cmocka_unit_test(test_successor_counts_from_nothing),
		cmocka_unit_test(test_changes_of_owner_hide_crashes),
		cmocka_unit_test(test_hidden_crashes_are_forgotten),
		cmocka_unit_test(test_late_crashes_go_on),
		cmocka_unit_test(test_crash_without_suspicion_gives_up),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
