/* What the list of a worker's runs and ends proves, and what it does not. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "sched_orders.h"

/** An answer of w1 to a heartbeat. */
typedef struct list {
	const bw_run_row_t *runs;
	uint32_t run_count;
	const bw_end_row_t *ends;
	uint32_t end_count;
	bool more_ends;
	int64_t age_ms; /**< Since it was requested. */
} list_t;

static void answer_with_list(orders_t *o, const list_t *list)
{
	bw_heartbeat_answer_t answer = {
		.result = BW_ORDER_OK,
		.sent_ms = o->now_ms - list->age_ms,
		.clock_ms = o->now_ms + 100,
		.started_ms = 5,
		.runs = list->runs,
		.run_count = list->run_count,
		.ends = list->ends,
		.end_count = list->end_count,
		.more_ends = list->more_ends,
	};

	bw_sched_heartbeat_answered(o->sched, o->now_ms, "w1", &answer);
}

/* Fills in the end of run 1 of a job's first task. */
static void init_done(bw_end_row_t *end, const char *job, uint64_t number)
{
	memset(end, 0, sizeof(*end));
	g_strlcpy(end->task.job, job, sizeof(end->task.job));
	end->number = number;
	end->run = 1;
	end->kind = BW_END_DONE;
	end->checkpoint = "";
}

static void test_run_that_a_full_list_of_ends_leaves_out_is_kept(void **state)
{
	bw_end_row_t end;
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	orders_run(&o, 10);
	bw_sched_start_answered(o.sched, o.now_ms, "w1", &o.starts[0].task, 1,
				BW_ORDER_OK, 0);
	o.now_ms += 10;
	answer_with_list(&o, &(list_t){ .more_ends = true });
	orders_run(&o, 100);
	assert_int_equal(o.start_count, 1);
	init_done(&end, JOB_A, 501);
	answer_with_list(&o, &(list_t){ .ends = &end, .end_count = 1 });
	orders_save(&o);
	orders_run(&o, 100);
	assert_int_equal(o.start_count, 1);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_A), BW_JOB_COMPLETED);
	bw_sched_destroy(o.sched);
}

/* Takes over a pool whose owner has started JOB_A on w1. */
static void take_over(orders_t *o)
{
	orders_t before;

	orders_begin_with_worker(&before);
	orders_add_job(&before, JOB_A, 1, false, 1000, 500);
	orders_run(&before, 10);
	orders_succeed(&before, o);
	orders_add_worker(o, "w1");
	orders_add_job(o, JOB_A, 1, false, 1000, 500);
	orders_run(o, 10);
}

static void
test_takeover_waits_for_the_ends_that_a_list_leaves_out(void **state)
{
	bw_end_row_t end;
	orders_t o;

	(void)state;
	take_over(&o);
	answer_with_list(&o, &(list_t){ .more_ends = true });
	orders_save(&o);
	orders_run(&o, 10);
	assert_false(bw_sched_recovered(o.sched));
	assert_int_equal(o.start_count, 0);
	/* What runs there meanwhile keeps its grant. */
	assert_true(o.grant_clock_ms > 0);
	init_done(&end, JOB_A, 501);
	answer_with_list(&o, &(list_t){ .ends = &end, .end_count = 1 });
	orders_save(&o);
	orders_run(&o, 500);
	assert_true(bw_sched_recovered(o.sched));
	assert_int_equal(o.start_count, 0);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_A), BW_JOB_COMPLETED);
	bw_sched_destroy(o.sched);
}

/* An earlier owner may have started a job that its successor reads later. */
static void test_end_that_comes_before_its_job_is_not_lost(void **state)
{
	bw_end_row_t ends[2];
	orders_t o;

	(void)state;
	take_over(&o);
	init_done(&ends[0], JOB_B, 1);
	init_done(&ends[1], JOB_A, 2);
	answer_with_list(&o, &(list_t){ .ends = ends, .end_count = 2 });
	orders_save(&o);
	orders_run(&o, 300);
	assert_int_equal(o.acked, 0);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_A), BW_JOB_COMPLETED);
	orders_add_job(&o, JOB_B, 1, false, 1000, 500);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 0);
	orders_save(&o);
	answer_with_list(&o, &(list_t){ .ends = ends, .end_count = 2 });
	orders_run(&o, 300);
	assert_int_equal(o.acked, 2);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_B), BW_JOB_COMPLETED);
	bw_sched_destroy(o.sched);
}

static void test_end_of_a_job_that_never_comes_is_acknowledged(void **state)
{
	uint64_t version;
	bw_end_row_t end;
	orders_t o;

	(void)state;
	take_over(&o);
	init_done(&end, JOB_B, 1);
	answer_with_list(&o, &(list_t){ .ends = &end, .end_count = 1 });
	orders_save(&o);
	version = bw_sched_version(o.sched);
	o.now_ms += 4000;
	answer_with_list(&o, &(list_t){ .ends = &end, .end_count = 1 });
	/* Ends are acknowledged when a state is saved, so there is a new one.
	 */
	assert_true(bw_sched_version(o.sched) > version);
	orders_save(&o);
	orders_run(&o, 300);
	assert_int_equal(o.acked, 1);
	bw_sched_destroy(o.sched);
}

static void test_run_that_comes_before_its_job_is_not_doubled(void **state)
{
	bw_run_row_t row = { .run = 1, .checkpoint = "" };
	orders_t o;

	(void)state;
	take_over(&o);
	g_strlcpy(row.task.job, JOB_B, sizeof(row.task.job));
	orders_add_worker(&o, "w2");
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	answer_with_list(&o, &(list_t){ .runs = &row, .run_count = 1 });
	orders_save(&o);
	orders_run(&o, 10);
	assert_int_equal(o.stop_count, 0);
	orders_add_job(&o, JOB_B, 1, false, 1000, 500);
	orders_run(&o, 10);
	assert_int_equal(o.stop_count, 0);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_B), BW_JOB_RUNNING);
	bw_sched_destroy(o.sched);
}

static void test_run_of_a_job_that_never_comes_is_stopped(void **state)
{
	bw_run_row_t row = { .run = 1, .checkpoint = "" };
	orders_t o;

	(void)state;
	take_over(&o);
	g_strlcpy(row.task.job, JOB_B, sizeof(row.task.job));
	answer_with_list(&o, &(list_t){ .runs = &row, .run_count = 1 });
	o.now_ms += 4000;
	answer_with_list(&o, &(list_t){ .runs = &row, .run_count = 1 });
	assert_int_equal(o.stop_count, 1);
	bw_sched_destroy(o.sched);
}

/* The owner was paused with the answer in its socket. */
static void
test_run_is_not_stopped_for_a_list_from_before_its_start(void **state)
{
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	orders_add_job(&o, JOB_A, 1, true, 1000, 500);
	orders_run(&o, 10);
	o.now_ms += 800;
	bw_sched_start_answered(o.sched, o.now_ms, "w1", &o.starts[0].task, 1,
				BW_ORDER_LOST, 0);
	answer_with_list(&o, &(list_t){ .age_ms = 900 });
	assert_int_equal(o.stop_count, 0);
	answer_with_list(&o, &(list_t){ .age_ms = 0 });
	assert_int_equal(o.stop_count, 1);
	bw_sched_destroy(o.sched);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_run_that_a_full_list_of_ends_leaves_out_is_kept),
		cmocka_unit_test(
			test_takeover_waits_for_the_ends_that_a_list_leaves_out),
		cmocka_unit_test(
			test_end_that_comes_before_its_job_is_not_lost),
		cmocka_unit_test(
			test_end_of_a_job_that_never_comes_is_acknowledged),
		cmocka_unit_test(
			test_run_that_comes_before_its_job_is_not_doubled),
		cmocka_unit_test(test_run_of_a_job_that_never_comes_is_stopped),
		cmocka_unit_test(
			test_run_is_not_stopped_for_a_list_from_before_its_start),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
