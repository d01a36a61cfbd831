/* Takeovers and handovers of a pool: what a new owner may start, and when. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "sched_orders.h"

/*
 * A task that the earlier owner was stopping may still be listed as running, so
 * no other task of its step is moved right after a takeover.
 */
static void test_no_move_right_after_takeover(void **state)
{
	bw_run_row_t rows[2];
	orders_t before;
	orders_t o;

	(void)state;
	orders_begin_with_worker(&before);
	orders_add_job(&before, JOB_A, 2, true, 1000, 0);
	orders_run(&before, 10);
	orders_succeed(&before, &o);
	orders_add_worker(&o, "w1");
	orders_add_job(&o, JOB_A, 2, true, 1000, 0);
	orders_init_lasting_row(&rows[0], 0);
	orders_init_lasting_row(&rows[1], 1);
	orders_answer_heartbeat(&o, "w1", rows, 2, NULL, 0);
	orders_save(&o);
	bw_sched_worker_cordon(o.sched, "w1", true);
	orders_run(&o, 10);
	assert_int_equal(o.stop_count, 0);
	o.now_ms += 1500;
	orders_answer_heartbeat(&o, "w1", rows, 2, NULL, 0);
	orders_run(&o, 10);
	assert_int_equal(o.stop_count, 1);
	bw_sched_destroy(o.sched);
}
/* Takes over the pool of an owner whose job JOB_A has one task, on w1. Worker
 * w2 does not answer the new owner. */
static void take_over_job_beside_silent_worker(orders_t *o, bool lasting,
					       bool in_order)
{
	orders_t before;

	orders_begin_with_worker(&before);
	orders_add_worker(&before, "w2");
	orders_add_job(&before, JOB_A, 1, lasting, 1000, 0);
	orders_run(&before, 10);
	assert_int_equal(before.start_count, 1);
	assert_string_equal(before.starts[0].worker, "w1");
	if (in_order)
		bw_sched_hand_over(before.sched);
	orders_succeed(&before, o);
	orders_add_worker(o, "w1");
	orders_add_job(o, JOB_A, 1, lasting, 1000, 0);
}

static void take_over_beside_silent_worker(orders_t *o, bool in_order)
{
	take_over_job_beside_silent_worker(o, true, in_order);
}

/*
 * A run that is listed after a takeover is the only one of its task, so the
 * task is started again when it ends, though another worker is silent.
 */
static void test_run_that_ends_after_takeover_is_replaced(void **state)
{
	bw_end_row_t end = {
		.number = 1, .run = 1, .kind = BW_END_STOPPED, .checkpoint = ""
	};
	bw_run_row_t row;
	orders_t o;

	(void)state;
	take_over_beside_silent_worker(&o, false);
	orders_init_lasting_row(&row, 0);
	orders_answer_heartbeat(&o, "w1", &row, 1, NULL, 0);
	orders_save(&o);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 0);
	assert_false(bw_sched_recovered(o.sched));
	end.task = row.task;
	o.now_ms += 1000;
	orders_answer_heartbeat(&o, "w1", NULL, 0, &end, 1);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	assert_int_equal(o.starts[0].run, 2);
	bw_sched_destroy(o.sched);
}

/* Whether the task on w1 is started again after the end of its run 1. */
static bool is_replaced_after_end(orders_t *o)
{
	bw_end_row_t end = {
		.number = 1, .run = 1, .kind = BW_END_STOPPED, .checkpoint = ""
	};

	g_strlcpy(end.task.job, JOB_A, sizeof(end.task.job));
	orders_answer_heartbeat(o, "w1", NULL, 0, &end, 1);
	orders_save(o);
	orders_run(o, 10);
	o->now_ms += 1000;
	orders_answer_heartbeat(o, "w1", NULL, 0, NULL, 0);
	orders_run(o, 10);
	assert_false(bw_sched_recovered(o->sched));
	return o->start_count == 1;
}

/*
 * After an orderly handover the only run that may go on is the one in the
 * record, so its end frees the task at once.
 */
static void test_end_after_orderly_handover_frees_its_task(void **state)
{
	orders_t o;

	(void)state;
	take_over_beside_silent_worker(&o, true);
	assert_true(is_replaced_after_end(&o));
	bw_sched_destroy(o.sched);
}

/* Otherwise the earlier owner may have started the task elsewhere since. */
static void test_end_after_crash_frees_no_task(void **state)
{
	orders_t o;

	(void)state;
	take_over_beside_silent_worker(&o, false);
	assert_false(is_replaced_after_end(&o));
	bw_sched_destroy(o.sched);
}

/*
 * Each run but the last may have failed on a worker that has not answered the
 * new owner yet. When the runs reach the attempts, the task waits for these
 * ends.
 */
static void test_last_attempt_waits_for_ends_of_the_earlier_owner(void **state)
{
	bw_end_row_t first = {
		.number = 1, .run = 1, .kind = BW_END_FAILED, .checkpoint = ""
	};
	bw_end_row_t second = first;
	bw_end_row_t third = first;
	bw_run_row_t row;
	orders_t o;

	(void)state;
	take_over_job_beside_silent_worker(&o, false, false);
	orders_init_lasting_row(&row, 0);
	row.run = 3;
	first.task = row.task;
	second.task = row.task;
	second.run = 2;
	third.task = row.task;
	third.run = 3;
	third.number = 2;
	orders_answer_heartbeat(&o, "w1", &row, 1, &first, 1);
	orders_save(&o);
	orders_run(&o, 10);
	o.now_ms += 1000;
	orders_answer_heartbeat(&o, "w1", NULL, 0, &third, 1);
	orders_run(&o, 100);
	assert_false(bw_sched_recovered(o.sched));
	assert_int_equal(o.start_count, 0);
	orders_answer_heartbeat(&o, "w2", NULL, 0, &second, 1);
	orders_run(&o, 100);
	assert_true(bw_sched_recovered(o.sched));
	assert_int_equal(o.start_count, 0);
	orders_save(&o);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_A), BW_JOB_FAILED);
	bw_sched_destroy(o.sched);
}

/* Hands the pool of an owner over in order, with its jobs and worker w1. */
static void hand_on(orders_t *from, orders_t *to)
{

	bw_sched_hand_over(from->sched);
	orders_succeed(from, to);
	orders_add_worker(to, "w1");
	orders_add_job(to, JOB_A, 1, true, 1000, 0);
}

/*
 * In a rolling restart an owner may have to leave before all workers have
 * answered it. What it knows is handed on, so that new jobs start at once.
 */
static void test_handover_before_recovery_is_orderly(void **state)
{
	orders_t second;
	orders_t third;

	(void)state;
	take_over_beside_silent_worker(&second, true);
	bw_sched_predecessor_stopped(second.sched, second.now_ms);
	orders_answer_heartbeat(&second, "w1", NULL, 0, NULL, 0);
	orders_save(&second);
	orders_run(&second, 10);
	assert_false(bw_sched_recovered(second.sched));
	hand_on(&second, &third);
	assert_int_not_equal(bw_sched_handed_over_by(third.sched), 0);
	orders_add_job(&third, JOB_B, 1, false, 1000, 500);
	orders_answer_heartbeat(&third, "w1", NULL, 0, NULL, 0);
	orders_save(&third);
	orders_run(&third, 10);
	third.now_ms += 1000;
	orders_answer_heartbeat(&third, "w1", NULL, 0, NULL, 0);
	orders_run(&third, 10);
	assert_false(bw_sched_recovered(third.sched));
	assert_int_equal(third.start_count, 1);
	assert_string_equal(third.starts[0].task.job, JOB_B);
	bw_sched_destroy(third.sched);
}

/*
 * Failure: an owner that does not know yet what earlier ones run stores the
 * state, and the next one takes it to know them all.
 */
static void test_unsettled_owner_is_no_start_of_knowledge(void **state)
{
	orders_t second;
	orders_t third;
	orders_t fourth;

	(void)state;
	take_over_beside_silent_worker(&second, true);
	orders_answer_heartbeat(&second, "w1", NULL, 0, NULL, 0);
	orders_save(&second);
	assert_false(bw_sched_recovered(second.sched));
	orders_succeed(&second, &third);
	assert_int_equal(bw_sched_known_from(third.sched), 0);
	third.now_ms += 20000;
	orders_run(&third, 10);
	orders_run(&third, 10);
	assert_true(bw_sched_recovered(third.sched));
	orders_save(&third);
	orders_succeed(&third, &fourth);
	assert_int_not_equal(bw_sched_known_from(fourth.sched), 0);
	assert_int_equal(bw_sched_known_from(fourth.sched),
			 bw_sched_saved_by(fourth.sched));
	assert_int_equal(bw_sched_handed_over_by(fourth.sched), 0);
	bw_sched_destroy(fourth.sched);
}

/* While the owner before may still act, nothing is known for certain. */
static void test_handover_beside_acting_owner_is_not_orderly(void **state)
{
	orders_t second;
	orders_t third;

	(void)state;
	take_over_beside_silent_worker(&second, true);
	orders_answer_heartbeat(&second, "w1", NULL, 0, NULL, 0);
	orders_save(&second);
	orders_run(&second, 10);
	hand_on(&second, &third);
	assert_int_equal(bw_sched_handed_over_by(third.sched), 0);
	bw_sched_destroy(third.sched);
}

/* Runs of an owner that crashed stay unknown through an orderly handover. */
static void test_unknown_runs_are_handed_on(void **state)
{
	orders_t second;
	orders_t third;

	(void)state;
	take_over_beside_silent_worker(&second, false);
	bw_sched_predecessor_stopped(second.sched, second.now_ms);
	orders_answer_heartbeat(&second, "w1", NULL, 0, NULL, 0);
	orders_save(&second);
	orders_run(&second, 10);
	hand_on(&second, &third);
	assert_false(is_replaced_after_end(&third));
	bw_sched_destroy(third.sched);
}

/*
 * An owner that hands over in order knows which workers without a registration
 * run nothing; its successor does not wait for them.
 */
static void test_gone_workers_are_not_handed_over(void **state)
{
	orders_t before;
	orders_t o;

	(void)state;
	orders_begin_with_worker(&before);
	orders_add_worker(&before, "w2");
	orders_answer_heartbeat(&before, "w2", NULL, 0, NULL, 0);
	bw_sched_worker_unregistered(before.sched, before.now_ms, "w2");
	orders_save(&before);
	orders_run(&before, 10);
	bw_sched_hand_over(before.sched);
	orders_succeed(&before, &o);
	orders_add_worker(&o, "w1");
	orders_run(&o, 10);
	assert_false(bw_sched_recovered(o.sched));
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	orders_run(&o, 10);
	assert_true(bw_sched_recovered(o.sched));
	bw_sched_destroy(o.sched);
}

/* A gone worker that may run something is handed over. */
static void test_gone_worker_with_a_run_is_handed_over(void **state)
{
	orders_t before;
	orders_t o;

	(void)state;
	orders_begin_with_worker(&before);
	orders_add_job(&before, JOB_A, 1, true, 1000, 0);
	orders_run(&before, 10);
	assert_int_equal(before.start_count, 1);
	bw_sched_worker_unregistered(before.sched, before.now_ms, "w1");
	bw_sched_hand_over(before.sched);
	orders_succeed(&before, &o);
	orders_add_job(&o, JOB_A, 1, true, 1000, 0);
	orders_save(&o);
	orders_run(&o, 10);
	assert_false(bw_sched_recovered(o.sched));
	assert_int_equal(o.start_count, 0);
	bw_sched_destroy(o.sched);
}

/* Before a worker's run is listed, it may still run: the task waits. */
static void test_unlisted_run_is_waited_for(void **state)
{
	orders_t o;

	(void)state;
	take_over_beside_silent_worker(&o, false);
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	orders_save(&o);
	o.now_ms += 1000;
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 0);
	bw_sched_destroy(o.sched);
}

/*
 * Takes over with a stored state, and starts the task of JOB_A, which nobody
 * has stored yet.
 * @param data replaced by the state that was stored before the start
 * @return the run's number
 */
static uint32_t start_unstored(uint8_t **data, size_t *bytes)
{
	orders_t o;
	uint32_t run;

	orders_begin(&o);
	assert_int_equal(bw_sched_load(o.sched, o.now_ms, *data, *bytes),
			 BW_OK);
	g_free(*data);
	orders_add_worker(&o, "w1");
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	*data = bw_sched_pack(o.sched, bytes);
	orders_save(&o);
	orders_run(&o, 1000);
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	run = o.starts[0].run;
	bw_sched_destroy(o.sched);
	return run;
}

/* Failures are counted by run number, so those of two owners must differ. */
static void test_owners_in_a_row_number_runs_apart(void **state)
{
	orders_t first;
	uint32_t second_run;
	uint32_t third_run;
	uint8_t *data;
	size_t bytes;

	(void)state;
	orders_begin_with_worker(&first);
	data = bw_sched_pack(first.sched, &bytes);
	bw_sched_destroy(first.sched);
	second_run = start_unstored(&data, &bytes);
	third_run = start_unstored(&data, &bytes);
	assert_true(second_run > 1);
	assert_true(third_run > second_run);
	g_free(data);
}

/*
 * The earlier owner's grant outlives a contact that is lost before the
 * successor has granted anything, as it waits for ends to be stored.
 */
static void test_grant_of_the_earlier_owner_outlives_lost_contact(void **state)
{
	bw_end_row_t end = {
		.number = 1, .run = 1, .kind = BW_END_STOPPED, .checkpoint = ""
	};
	bw_run_row_t row;
	int64_t end_ms;
	orders_t o;

	(void)state;
	take_over_beside_silent_worker(&o, false);
	orders_init_lasting_row(&row, 0);
	g_strlcpy(end.task.job, JOB_EARLY, sizeof(end.task.job));
	orders_answer_heartbeat(&o, "w1", &row, 1, &end, 1);
	orders_add_worker(&o, "w2");
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	orders_save(&o);
	end_ms = o.now_ms + 3900;
	while (o.now_ms < end_ms) {
		/* A pause, after which the answer of w2 is read first. */
		o.now_ms += 1950;
		orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
		orders_save(&o);
		orders_run(&o, 10);
	}
	assert_int_equal(o.start_count, 0);
	bw_sched_destroy(o.sched);
}

/* Adds JOB_A, of one task, of a queue that allows two attempts. */
static void add_job_with_terms(orders_t *o)
{
	bw_job_record_t record = { .queue = g_strdup("removed"),
				   .terms = { .attempts_max = 2,
					      .objective_factor = 1.6 },
				   .has_terms = true,
				   .accepted_ms = o->now_ms,
				   .spec = bw_job_spec_new(1) };
	bw_job_record_t copy;
	size_t bytes;
	uint8_t *data;

	record.spec->text = g_strdup("text");
	record.spec->steps[0].count = 1;
	data = bw_job_record_pack(&record, &bytes);
	assert_int_equal(bw_job_record_unpack(data, bytes, &copy), BW_OK);
	bw_sched_add_job(o->sched, o->now_ms, o->now_ms, JOB_A, &copy);
	bw_job_record_clear(&record);
	bw_job_record_clear(&copy);
	g_free(data);
}

/* Ends the run of JOB_A's task as failed, and lets its retry come due. */
static void fail_run(orders_t *o, uint64_t number, uint32_t run)
{
	bw_end_row_t end = { .number = number,
			     .run = run,
			     .kind = BW_END_FAILED,
			     .checkpoint = "" };

	g_strlcpy(end.task.job, JOB_A, sizeof(end.task.job));
	orders_answer_heartbeat(o, "w1", NULL, 0, &end, 1);
	orders_save(o);
	o->now_ms += 1000;
	orders_answer_heartbeat(o, "w1", NULL, 0, NULL, 0);
	orders_run(o, 10);
}

/* Failure: the configuration has dropped the queue when the pool gets another
 * owner, which does not know the limit on attempts and starts the task again
 * and again. */
static void test_attempts_are_unlimited_once_the_queue_is_removed(void **state)
{
	const bw_queue_config_t queue = {
		"removed", { .attempts_max = 2, .objective_factor = 1.6 }
	};
	orders_t before;
	orders_t o;

	(void)state;
	orders_begin_with_worker(&before);
	bw_sched_set_queue(before.sched, &queue);
	add_job_with_terms(&before);
	orders_run(&before, 10);
	assert_int_equal(before.start_count, 1);
	orders_save(&before);
	orders_succeed(&before, &o);
	orders_add_worker(&o, "w1");
	add_job_with_terms(&o);
	fail_run(&o, 1, 1);
	assert_int_equal(o.start_count, 1);
	fail_run(&o, 2, o.starts[0].run);
	assert_int_equal(o.start_count, 1);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_A), BW_JOB_FAILED);
	bw_sched_destroy(o.sched);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_move_right_after_takeover),
		cmocka_unit_test(test_run_that_ends_after_takeover_is_replaced),
		cmocka_unit_test(
			test_last_attempt_waits_for_ends_of_the_earlier_owner),
		cmocka_unit_test(
			test_end_after_orderly_handover_frees_its_task),
		cmocka_unit_test(test_end_after_crash_frees_no_task),
		cmocka_unit_test(test_handover_before_recovery_is_orderly),
		cmocka_unit_test(test_unsettled_owner_is_no_start_of_knowledge),
		cmocka_unit_test(
			test_handover_beside_acting_owner_is_not_orderly),
		cmocka_unit_test(test_unknown_runs_are_handed_on),
		cmocka_unit_test(test_gone_workers_are_not_handed_over),
		cmocka_unit_test(test_gone_worker_with_a_run_is_handed_over),
		cmocka_unit_test(test_unlisted_run_is_waited_for),
		cmocka_unit_test(test_owners_in_a_row_number_runs_apart),
		cmocka_unit_test(
			test_grant_of_the_earlier_owner_outlives_lost_contact),
		cmocka_unit_test(
			test_attempts_are_unlimited_once_the_queue_is_removed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
