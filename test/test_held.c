/* Tasks that are held, as their worker may have dropped the end of their run,
 * after changes of owner. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "held_task.h"
#include "wire/record.pb-c.h"

/** Longer than any grant of an earlier owner, and than an order is late. */
#define SILENT_ROUNDS 300

static void init_end(bw_end_row_t *end, uint64_t number, bw_end_kind_t kind)
{
	memset(end, 0, sizeof(*end));
	g_strlcpy(end->task.job, JOB_A, sizeof(end->task.job));
	end->number = number;
	end->run = 1;
	end->kind = kind;
	end->checkpoint = "";
}

/* Returns the version of the value that an owner would store. */
static uint32_t stored_version(const orders_t *o)
{
	size_t bytes;
	uint8_t *data = bw_sched_pack(o->sched, &bytes);
	Bramley__PoolRecord *record =
		bramley__pool_record__unpack(NULL, bytes, data);
	uint32_t version = record->version;

	bramley__pool_record__free_unpacked(record, NULL);
	g_free(data);
	return version;
}

/* A successor of an owner that crashed, too, once the hold is stored. */
static void test_task_stays_held_after_a_crash_of_the_owner(void **state)
{
	orders_t before;
	orders_t o;

	(void)state;
	held_begin(&before);
	held_succeed(&before, &o, SECOND_BOOT_MS);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_OLD_RUN);
	assert_true(bw_sched_recovered(o.sched));
	assert_int_equal(o.start_count, 0);
	bw_sched_destroy(o.sched);
}

/* It has to be stored at once. */
static void test_hold_is_stored_without_delay(void **state)
{
	bw_heartbeat_answer_t lost = { .result = BW_ORDER_LOST };
	orders_t o;

	(void)state;
	held_start_beside_an_acknowledgement(&o, 0);
	lost.sent_ms = o.now_ms;
	orders_run(&o, 500);
	bw_sched_heartbeat_answered(o.sched, o.now_ms, "w1", &lost);
	orders_register_boot(&o, SECOND_BOOT_MS);
	orders_save(&o);
	assert_false(bw_sched_urgent(o.sched));
	orders_run(&o, 300);
	orders_answer_as_boot(&o, "w1", SECOND_BOOT_MS, NULL, 0, NULL, 0);
	assert_true(bw_sched_urgent(o.sched));
	assert_int_equal(stored_version(&o), 2);
	bw_sched_destroy(o.sched);
}

/* The start and the acknowledgement reach the second boot of w1 before the
 * successor does, which must not take its list for a proof. */
static void test_acknowledgement_under_way_is_handed_over(void **state)
{
	orders_t before;
	orders_t o;

	(void)state;
	held_start_beside_an_acknowledgement(&before, 0);
	bw_sched_hand_over(before.sched);
	held_succeed(&before, &o, SECOND_BOOT_MS);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_OLD_RUN);
	assert_int_equal(o.start_count, 0);
	bw_sched_destroy(o.sched);
}

/* Nor may the next owner but one, if the one between has not heard w1. */
static void test_acknowledgement_under_way_is_passed_on(void **state)
{
	orders_t before;
	orders_t middle;
	orders_t o;

	(void)state;
	held_start_beside_an_acknowledgement(&before, 0);
	bw_sched_hand_over(before.sched);
	orders_succeed(&before, &middle);
	orders_add_job(&middle, JOB_A, 1, false, 1000, 20);
	orders_run(&middle, 10);
	held_succeed(&middle, &o, SECOND_BOOT_MS);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_OLD_RUN);
	assert_int_equal(o.start_count, 0);
	bw_sched_destroy(o.sched);
}

/* The boot that it was for has dropped only ends that were read. */
static void test_acknowledgement_to_the_same_boot_holds_nothing(void **state)
{
	orders_t before;
	orders_t o;

	(void)state;
	held_start_beside_an_acknowledgement(&before, 0);
	bw_sched_hand_over(before.sched);
	held_succeed(&before, &o, FIRST_BOOT_MS);
	assert_int_equal(stored_version(&o), 2);
	held_pass(&o, FIRST_BOOT_MS, BW_ORDER_OLD_RUN);
	assert_int_equal(o.question_count, 0);
	assert_true(o.start_count > 0);
	assert_int_equal(stored_version(&o), 1);
	bw_sched_destroy(o.sched);
}

/* The next owner but one, too. */
static void test_hold_is_passed_on(void **state)
{
	orders_t before;
	orders_t o;

	(void)state;
	held_take_over(&before, SECOND_BOOT_MS);
	held_pass(&before, SECOND_BOOT_MS, BW_ORDER_OLD_RUN);
	bw_sched_hand_over(before.sched);
	held_succeed(&before, &o, SECOND_BOOT_MS);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_OLD_RUN);
	assert_int_equal(o.start_count, 0);
	bw_sched_destroy(o.sched);
}

/* Also if its worker has gone silent and is registered no more. */
static void test_hold_for_a_silent_worker_is_passed_on(void **state)
{
	orders_t before;
	orders_t o;

	(void)state;
	held_take_over(&before, SECOND_BOOT_MS);
	orders_answer_as_boot(&before, "w1", SECOND_BOOT_MS, NULL, 0, NULL, 0);
	orders_answer_heartbeat(&before, "w2", NULL, 0, NULL, 0);
	orders_run(&before, ROUND_MS);
	bw_sched_worker_unregistered(before.sched, before.now_ms, "w1");
	bw_sched_hand_over(before.sched);
	held_succeed(&before, &o, SECOND_BOOT_MS);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_OLD_RUN);
	assert_int_equal(o.start_count, 0);
	bw_sched_destroy(o.sched);
}

/* Older nodes would start the task; they refuse a value of version 2. */
static void test_value_with_a_held_task_has_its_own_version(void **state)
{
	bw_end_row_t end;
	orders_t before;
	orders_t o;

	(void)state;
	held_begin(&before);
	assert_int_equal(stored_version(&before), 2);
	bw_sched_hand_over(before.sched);
	held_succeed(&before, &o, SECOND_BOOT_MS);
	assert_int_equal(stored_version(&o), 2);
	init_end(&end, 2, BW_END_DONE);
	orders_answer_as_boot(&o, "w1", SECOND_BOOT_MS, NULL, 0, &end, 1);
	assert_int_equal(stored_version(&o), 1);
	bw_sched_destroy(o.sched);
}

/* A node that can't read the job passes on that its task is held. */
static void test_hold_of_an_unreadable_job_is_passed_on(void **state)
{
	orders_t before;
	orders_t middle;
	orders_t o;

	(void)state;
	held_begin(&before);
	bw_sched_hand_over(before.sched);
	orders_succeed(&before, &middle);
	bw_sched_add_unreadable(middle.sched, JOB_A);
	orders_register_boot(&middle, SECOND_BOOT_MS);
	orders_add_worker(&middle, "w2");
	held_pass(&middle, SECOND_BOOT_MS, BW_ORDER_OLD_RUN);
	assert_int_equal(stored_version(&middle), 2);
	bw_sched_hand_over(middle.sched);
	held_succeed(&middle, &o, SECOND_BOOT_MS);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_OLD_RUN);
	assert_int_equal(o.start_count, 0);
	bw_sched_destroy(o.sched);
}

static void test_listed_end_ends_a_stored_hold(void **state)
{
	bw_end_row_t end;
	orders_t o;

	(void)state;
	held_take_over(&o, SECOND_BOOT_MS);
	init_end(&end, 2, BW_END_FAILED);
	orders_answer_as_boot(&o, "w1", SECOND_BOOT_MS, NULL, 0, &end, 1);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_OLD_RUN);
	assert_true(o.start_count > 0);
	bw_sched_destroy(o.sched);
}

/* A run that is listed is taken over, and may be missing later. */
static void test_listed_run_ends_a_stored_hold(void **state)
{
	bw_run_row_t row = { .run = 1, .checkpoint = "" };
	orders_t o;

	(void)state;
	held_take_over(&o, SECOND_BOOT_MS);
	g_strlcpy(row.task.job, JOB_A, sizeof(row.task.job));
	orders_answer_as_boot(&o, "w1", SECOND_BOOT_MS, &row, 1, NULL, 0);
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	orders_run(&o, ROUND_MS);
	assert_int_equal(o.start_count, 0);
	assert_int_equal(stored_version(&o), 1);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_OLD_RUN);
	assert_true(o.start_count > 0);
	bw_sched_destroy(o.sched);
}

/* The owner before may have started the task elsewhere after its last save. */
static void test_later_run_elsewhere_ends_a_stored_hold(void **state)
{
	bw_run_row_t row = { .run = 2, .checkpoint = "" };
	orders_t before;
	orders_t o;

	(void)state;
	held_begin(&before);
	held_succeed(&before, &o, SECOND_BOOT_MS);
	g_strlcpy(row.task.job, JOB_A, sizeof(row.task.job));
	orders_answer_heartbeat(&o, "w2", &row, 1, NULL, 0);
	orders_answer_as_boot(&o, "w1", SECOND_BOOT_MS, NULL, 0, NULL, 0);
	orders_run(&o, ROUND_MS);
	assert_int_equal(o.stop_count, 0);
	assert_int_equal(o.start_count, 0);
	assert_int_equal(stored_version(&o), 1);
	bw_sched_destroy(o.sched);
}

/* A boot whose list begins with its first end has dropped none. */
static void test_first_end_ends_a_stored_hold(void **state)
{
	bw_end_row_t end;
	orders_t o;

	(void)state;
	held_take_over(&o, SECOND_BOOT_MS);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_UNHEALTHY);
	assert_int_equal(o.start_count, 0);
	assert_int_equal(o.stop_count, 0);
	init_end(&end, 1, BW_END_STOPPED);
	g_strlcpy(end.task.job, JOB_EARLY, sizeof(end.task.job));
	orders_run(&o, 1000);
	orders_answer_as_boot(&o, "w1", SECOND_BOOT_MS, NULL, 0, &end, 1);
	/* A question may still be carried out, so that the run is stopped. */
	assert_int_equal(o.stop_count, 1);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_UNHEALTHY);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
}

/* The run's end may be on the next page. */
static void test_full_list_does_not_end_a_stored_hold(void **state)
{
	bw_end_row_t end;
	bw_heartbeat_answer_t answer = { .result = BW_ORDER_OK,
					 .clock_ms = 50000,
					 .started_ms = SECOND_BOOT_MS,
					 .ends = &end,
					 .end_count = 1,
					 .more_ends = true };
	orders_t o;

	(void)state;
	held_take_over(&o, SECOND_BOOT_MS);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_UNHEALTHY);
	init_end(&end, 1, BW_END_STOPPED);
	g_strlcpy(end.task.job, JOB_EARLY, sizeof(end.task.job));
	answer.sent_ms = o.now_ms;
	bw_sched_heartbeat_answered(o.sched, o.now_ms, "w1", &answer);
	orders_run(&o, ROUND_MS);
	assert_int_equal(o.start_count, 0);
	init_end(&end, 2, BW_END_DONE);
	orders_answer_as_boot(&o, "w1", SECOND_BOOT_MS, NULL, 0, &end, 1);
	orders_run(&o, ROUND_MS);
	assert_int_equal(o.start_count, 0);
	bw_sched_destroy(o.sched);
}

/* As for the owner before: the list of a later boot decides. */
static void test_restart_ends_a_stored_hold(void **state)
{
	orders_t o;

	(void)state;
	held_take_over(&o, THIRD_BOOT_MS);
	held_pass(&o, THIRD_BOOT_MS, BW_ORDER_OLD_RUN);
	assert_true(o.start_count > 0);
	bw_sched_destroy(o.sched);
}

static void test_restart_under_the_successor_ends_a_stored_hold(void **state)
{
	orders_t o;

	(void)state;
	held_take_over(&o, SECOND_BOOT_MS);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_OLD_RUN);
	assert_int_equal(o.start_count, 0);
	orders_register_boot(&o, THIRD_BOOT_MS);
	held_pass(&o, THIRD_BOOT_MS, BW_ORDER_OLD_RUN);
	assert_true(o.start_count > 0);
	bw_sched_destroy(o.sched);
}

/* Another worker is on its machine. */
static void test_end_of_the_worker_ends_a_stored_hold(void **state)
{
	bw_worker_info_t info = { .id = "w3",
				  .address = "10.0.0.3:1",
				  .capacity = { 8000, 8000, 0 },
				  .machine = "w1",
				  .started_ms = THIRD_BOOT_MS };
	orders_t o;

	(void)state;
	held_take_over(&o, SECOND_BOOT_MS);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_OLD_RUN);
	bw_sched_worker_registered(o.sched, o.now_ms, &info);
	orders_run(&o, ROUND_MS);
	assert_int_equal(o.start_count, 0);
	orders_answer_as_boot(&o, "w3", THIRD_BOOT_MS, NULL, 0, NULL, 0);
	orders_run(&o, ROUND_MS);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
}

/* A worker that is out of reach does not hold a task for good. */
static void test_silence_of_the_worker_ends_a_stored_hold(void **state)
{
	bw_heartbeat_answer_t lost = { .result = BW_ORDER_LOST };
	orders_t o;
	int i;

	(void)state;
	held_take_over(&o, SECOND_BOOT_MS);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_OLD_RUN);
	assert_int_equal(o.start_count, 0);
	for (i = 0; i < SILENT_ROUNDS; i++) {
		lost.sent_ms = o.now_ms;
		orders_run(&o, ROUND_MS);
		bw_sched_heartbeat_answered(o.sched, o.now_ms, "w1", &lost);
		orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	}
	assert_true(o.start_count > 0);
	bw_sched_destroy(o.sched);
}

/* Only the task that is held waits. */
static void test_other_jobs_are_not_held(void **state)
{
	orders_t o;

	(void)state;
	held_take_over(&o, SECOND_BOOT_MS);
	orders_answer_as_boot(&o, "w1", SECOND_BOOT_MS, NULL, 0, NULL, 0);
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	orders_run(&o, ROUND_MS);
	orders_save(&o);
	orders_add_job(&o, JOB_B, 1, false, 1000, 20);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	assert_string_equal(o.starts[0].task.job, JOB_B);
	bw_sched_destroy(o.sched);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_task_stays_held_after_a_crash_of_the_owner),
		cmocka_unit_test(test_hold_is_stored_without_delay),
		cmocka_unit_test(test_acknowledgement_under_way_is_handed_over),
		cmocka_unit_test(test_acknowledgement_under_way_is_passed_on),
		cmocka_unit_test(
			test_acknowledgement_to_the_same_boot_holds_nothing),
		cmocka_unit_test(test_hold_is_passed_on),
		cmocka_unit_test(test_hold_for_a_silent_worker_is_passed_on),
		cmocka_unit_test(
			test_value_with_a_held_task_has_its_own_version),
		cmocka_unit_test(test_hold_of_an_unreadable_job_is_passed_on),
		cmocka_unit_test(test_listed_end_ends_a_stored_hold),
		cmocka_unit_test(test_listed_run_ends_a_stored_hold),
		cmocka_unit_test(test_later_run_elsewhere_ends_a_stored_hold),
		cmocka_unit_test(test_first_end_ends_a_stored_hold),
		cmocka_unit_test(test_full_list_does_not_end_a_stored_hold),
		cmocka_unit_test(test_restart_ends_a_stored_hold),
		cmocka_unit_test(
			test_restart_under_the_successor_ends_a_stored_hold),
		cmocka_unit_test(test_end_of_the_worker_ends_a_stored_hold),
		cmocka_unit_test(test_silence_of_the_worker_ends_a_stored_hold),
		cmocka_unit_test(test_other_jobs_are_not_held),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
