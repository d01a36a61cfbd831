/* Held tasks whose worker idles: an idle boot lists no end, so that something
 * else has to tell what became of the run. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "held_task.h"

/** Clock of the first boot of w1 when it accepted the start, and of the second
 * one at its first answer. */
#define FIRST_CLOCK_MS	7000
#define SECOND_CLOCK_MS 40

static void answer_with_clock(orders_t *o, int64_t started_ms, int64_t clock_ms)
{
	bw_heartbeat_answer_t answer = { .result = BW_ORDER_OK,
					 .sent_ms = o->now_ms,
					 .clock_ms = clock_ms,
					 .started_ms = started_ms };

	bw_sched_heartbeat_answered(o->sched, o->now_ms, "w1", &answer);
}

/* Lets w1 restart, which cuts the heartbeat that is under way, and answer for
 * the first time. */
static void restart_idle(orders_t *o, int64_t clock_ms)
{
	bw_heartbeat_answer_t lost = { .result = BW_ORDER_LOST,
				       .sent_ms = o->now_ms };

	orders_add_worker(o, "w2");
	orders_answer_heartbeat(o, "w2", NULL, 0, NULL, 0);
	orders_run(o, 100);
	bw_sched_heartbeat_answered(o->sched, o->now_ms, "w1", &lost);
	orders_register_boot(o, SECOND_BOOT_MS);
	orders_save(o);
	orders_run(o, 1000);
	answer_with_clock(o, SECOND_BOOT_MS, clock_ms);
	orders_run(o, 10);
	orders_save(o);
}

/* Only the boot that crashed can have carried out the start, as the clock in
 * its answer shows: the task waited for an end that never came. */
static void test_start_of_the_crashed_boot_is_held_without_limit(void **state)
{
	orders_t o;

	(void)state;
	held_start_beside_an_acknowledgement(&o, FIRST_CLOCK_MS);
	restart_idle(&o, SECOND_CLOCK_MS);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_OLD_RUN);
	assert_int_equal(o.question_count, 0);
	assert_int_equal(o.start_count, 2);
	bw_sched_destroy(o.sched);
}

/* The heartbeat was sent before the start was accepted: the second boot has
 * carried out both, in this order. */
static void test_clock_of_before_the_start_tells_an_earlier_boot(void **state)
{
	bw_heartbeat_answer_t answer = { .result = BW_ORDER_OK,
					 .clock_ms = SECOND_CLOCK_MS,
					 .started_ms = SECOND_BOOT_MS };
	orders_t o;

	(void)state;
	held_start_beside_an_acknowledgement(&o, SECOND_CLOCK_MS + 5);
	answer.sent_ms = o.now_ms;
	orders_register_boot(&o, SECOND_BOOT_MS);
	orders_add_worker(&o, "w2");
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	orders_run(&o, 300);
	bw_sched_heartbeat_answered(o.sched, o.now_ms, "w1", &answer);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_OLD_RUN);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
}

/* The boot in doubt begins the run, as nothing of it has ended there. */
static void test_task_in_doubt_is_held_without_limit(void **state)
{
	bw_run_row_t row = { .run = 1, .checkpoint = "" };
	orders_t o;

	(void)state;
	held_start_beside_an_acknowledgement(&o, 0);
	restart_idle(&o, SECOND_CLOCK_MS);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_UNHEALTHY);
	assert_true(o.question_count > 1);
	assert_int_equal(o.start_count, 1);
	orders_register_boot(&o, SECOND_BOOT_MS);
	orders_run(&o, 1000);
	orders_answer_as_boot(&o, "w1", SECOND_BOOT_MS, NULL, 0, NULL, 0);
	orders_answer_questions(&o, BW_ORDER_OK);
	orders_run(&o, ROUND_MS);
	g_strlcpy(row.task.job, JOB_A, sizeof(row.task.job));
	orders_answer_as_boot(&o, "w1", SECOND_BOOT_MS, &row, 1, NULL, 0);
	orders_run(&o, ROUND_MS);
	assert_int_equal(o.start_count, 1);
	assert_int_equal(o.stop_count, 0);
	/* No end of it is dropped any more, so that a list is a proof. */
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_OLD_RUN);
	assert_int_equal(o.start_count, 2);
	bw_sched_destroy(o.sched);
}

/* Nobody has read how the run has ended: it may be done. */
static void test_run_that_has_ended_unread_starts_again(void **state)
{
	orders_t o;

	(void)state;
	held_start_beside_an_acknowledgement(&o, 0);
	restart_idle(&o, SECOND_CLOCK_MS);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_OLD_RUN);
	assert_int_equal(o.question_count, 1);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
}

/* The worker took no other start then, as if the run were still starting up. */
static void test_run_that_has_ended_unread_keeps_its_room(void **state)
{
	orders_t o;

	(void)state;
	held_take_over(&o, SECOND_BOOT_MS);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_OLD_RUN);
	assert_int_equal(o.question_count, 1);
	orders_add_job(&o, JOB_B, 2, false, 8000, 20);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_OLD_RUN);
	assert_int_equal(o.start_count, 2);
	bw_sched_destroy(o.sched);
}

/* A question without an answer may be carried out late. */
static void test_question_without_an_answer_ends_a_hold(void **state)
{
	orders_t o;

	(void)state;
	held_start_beside_an_acknowledgement(&o, 0);
	restart_idle(&o, SECOND_CLOCK_MS);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_LOST);
	assert_true(o.question_count > 1);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
}

/* The boot lists its first end while a question is under way, which it has not
 * carried out yet. */
static void test_list_ends_a_hold_beside_a_question(void **state)
{
	bw_end_row_t end = {
		.number = 1, .run = 1, .kind = BW_END_STOPPED, .checkpoint = ""
	};
	orders_t o;

	(void)state;
	held_start_beside_an_acknowledgement(&o, 0);
	restart_idle(&o, SECOND_CLOCK_MS);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_UNHEALTHY);
	orders_run(&o, 1000);
	orders_answer_as_boot(&o, "w1", SECOND_BOOT_MS, NULL, 0, NULL, 0);
	assert_true(o.question_count > o.questions_answered);
	orders_run(&o, ROUND_MS);
	g_strlcpy(end.task.job, JOB_EARLY, sizeof(end.task.job));
	orders_answer_as_boot(&o, "w1", SECOND_BOOT_MS, NULL, 0, &end, 1);
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	orders_run(&o, ROUND_MS);
	assert_int_equal(o.start_count, 1);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_LOST);
	assert_true(o.stop_count > 0);
	assert_int_equal(o.start_count, 2);
	bw_sched_destroy(o.sched);
}

/* Nor did the next owner ever start it. */
static void test_next_owner_holds_a_task_without_limit(void **state)
{
	orders_t o;

	(void)state;
	held_take_over(&o, SECOND_BOOT_MS);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_LOST);
	assert_true(o.question_count > 1);
	assert_int_equal(o.start_count, 0);
	orders_run(&o, 1000);
	orders_answer_as_boot(&o, "w1", SECOND_BOOT_MS, NULL, 0, NULL, 0);
	orders_answer_questions(&o, BW_ORDER_OK);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_OLD_RUN);
	assert_true(o.start_count > 0);
	bw_sched_destroy(o.sched);
}

/* A job that is cancelled needs no end, but its room was never free again. */
static void test_held_task_of_a_cancelled_job_keeps_its_room(void **state)
{
	orders_t o;

	(void)state;
	held_start_beside_an_acknowledgement(&o, 0);
	restart_idle(&o, SECOND_CLOCK_MS);
	bw_sched_cancel(o.sched, o.now_ms, JOB_A);
	orders_run(&o, ROUND_MS);
	assert_int_equal(o.stop_count, 1);
	bw_sched_stop_answered(o.sched, o.now_ms, "w1", &o.stops[0].task, 1,
			       BW_ORDER_OK);
	orders_run(&o, 1000);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_OLD_RUN);
	/* Needs all of w1 while w2 is full. */
	orders_add_job(&o, JOB_B, 2, false, 8000, 20);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_OLD_RUN);
	assert_int_equal(o.start_count, 3);
	bw_sched_destroy(o.sched);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_start_of_the_crashed_boot_is_held_without_limit),
		cmocka_unit_test(
			test_clock_of_before_the_start_tells_an_earlier_boot),
		cmocka_unit_test(test_task_in_doubt_is_held_without_limit),
		cmocka_unit_test(test_run_that_has_ended_unread_starts_again),
		cmocka_unit_test(test_run_that_has_ended_unread_keeps_its_room),
		cmocka_unit_test(test_question_without_an_answer_ends_a_hold),
		cmocka_unit_test(test_list_ends_a_hold_beside_a_question),
		cmocka_unit_test(test_next_owner_holds_a_task_without_limit),
		cmocka_unit_test(
			test_held_task_of_a_cancelled_job_keeps_its_room),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
