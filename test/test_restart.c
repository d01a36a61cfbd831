/* Workers that restart under their identifier: what their next boot may have
 * received, and which answers still count. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "sched_orders.h"

#define FIRST_BOOT_MS  5
#define SECOND_BOOT_MS 6
/** Clock of a worker that has been up for a while. */
#define OLD_CLOCK_MS 90000

/* Starts the only task of JOB_A on w1, then adds an idle worker w2. */
static void begin_with_start(orders_t *o)
{
	orders_begin_with_worker(o);
	orders_answer_boot(o, &(orders_boot_t){ .started_ms = FIRST_BOOT_MS,
						.clock_ms = OLD_CLOCK_MS });
	orders_add_job(o, JOB_A, 1, false, 1000, 500);
	orders_run(o, 10);
	assert_int_equal(o->start_count, 1);
	orders_add_worker(o, "w2");
	orders_answer_heartbeat(o, "w2", NULL, 0, NULL, 0);
	orders_save(o);
}

static void init_run(const orders_t *o, bw_run_row_t *row)
{
	memset(row, 0, sizeof(*row));
	row->task = o->starts[0].task;
	row->run = o->starts[0].run;
	row->checkpoint = "";
}

static void init_end(const orders_t *o, bw_end_row_t *end, bw_end_kind_t kind)
{
	memset(end, 0, sizeof(*end));
	end->number = 1;
	end->task = o->starts[0].task;
	end->run = o->starts[0].run;
	end->kind = kind;
	end->checkpoint = "";
}

/* Lets time pass in which only w2 answers. */
static void pass_without_w1(orders_t *o, int64_t ms)
{
	int64_t end_ms = o->now_ms + ms;

	while (o->now_ms < end_ms) {
		orders_run(o, 100);
		orders_answer_heartbeat(o, "w2", NULL, 0, NULL, 0);
		orders_fail_heartbeat(o, "w1");
	}
}

static void test_start_that_reached_the_next_boot_is_not_repeated(void **state)
{
	bw_run_row_t row;
	orders_t o;

	(void)state;
	begin_with_start(&o);
	o.now_ms += 100;
	orders_register_boot(&o, SECOND_BOOT_MS);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	init_run(&o, &row);
	orders_answer_boot(&o, &(orders_boot_t){ .started_ms = SECOND_BOOT_MS,
						 .clock_ms = 50,
						 .runs = &row,
						 .run_count = 1 });
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	assert_int_equal(o.stop_count, 0);
	bw_sched_destroy(o.sched);
}

static void test_run_that_a_restart_ended_is_started_again(void **state)
{
	bw_run_row_t row;
	orders_t o;

	(void)state;
	begin_with_start(&o);
	init_run(&o, &row);
	orders_answer_boot(&o, &(orders_boot_t){ .started_ms = FIRST_BOOT_MS,
						 .clock_ms = OLD_CLOCK_MS + 20,
						 .runs = &row,
						 .run_count = 1 });
	o.now_ms += 100;
	orders_register_boot(&o, SECOND_BOOT_MS);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 2);
	assert_string_equal(o.starts[1].worker, "w2");
	bw_sched_destroy(o.sched);
}

static void test_unconfirmed_start_lost_by_a_restart_is_repeated(void **state)
{
	orders_t o;

	(void)state;
	begin_with_start(&o);
	bw_sched_start_answered(o.sched, o.now_ms, "w1", &o.starts[0].task, 1,
				BW_ORDER_OK, 0);
	o.now_ms += 100;
	orders_register_boot(&o, SECOND_BOOT_MS);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	o.now_ms += 10;
	orders_answer_boot(&o, &(orders_boot_t){ .started_ms = SECOND_BOOT_MS,
						 .clock_ms = 50 });
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 2);
	bw_sched_destroy(o.sched);
}

/* A worker caps a grant by its earlier clock at the longest that it accepts. */
static void test_grant_by_the_earlier_clock_outlives_a_restart(void **state)
{
	bw_run_row_t row;
	orders_t o;

	(void)state;
	begin_with_start(&o);
	init_run(&o, &row);
	o.now_ms += 100;
	orders_answer_boot(&o, &(orders_boot_t){ .started_ms = SECOND_BOOT_MS,
						 .clock_ms = 50,
						 .runs = &row,
						 .run_count = 1 });
	pass_without_w1(&o, 9800);
	assert_int_equal(o.start_count, 1);
	pass_without_w1(&o, 20000);
	assert_int_equal(o.start_count, 2);
	assert_string_equal(o.starts[1].worker, "w2");
	bw_sched_destroy(o.sched);
}

static void
test_late_answer_of_an_earlier_boot_acknowledges_nothing(void **state)
{
	bw_end_row_t end = {
		.number = 57, .run = 1, .kind = BW_END_DONE, .checkpoint = ""
	};
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	g_strlcpy(end.task.job, JOB_B, sizeof(end.task.job));
	orders_register_boot(&o, SECOND_BOOT_MS);
	orders_answer_boot(&o, &(orders_boot_t){ .started_ms = FIRST_BOOT_MS,
						 .clock_ms = OLD_CLOCK_MS,
						 .ends = &end,
						 .end_count = 1 });
	orders_save(&o);
	orders_run(&o, 400);
	assert_int_equal(o.acked, 0);
	orders_answer_boot(&o, &(orders_boot_t){ .started_ms = SECOND_BOOT_MS,
						 .clock_ms = 50 });
	orders_save(&o);
	orders_run(&o, 400);
	assert_int_equal(o.acked, 0);
	assert_int_equal(o.grant_clock_ms, 50 + 400 + 5000);
	bw_sched_destroy(o.sched);
}

static void
test_late_answer_of_a_start_keeps_the_clock_of_the_boot(void **state)
{
	orders_t o;

	(void)state;
	begin_with_start(&o);
	orders_answer_boot(&o, &(orders_boot_t){ .started_ms = SECOND_BOOT_MS,
						 .clock_ms = 50 });
	bw_sched_start_answered(o.sched, o.now_ms, "w1", &o.starts[0].task, 1,
				BW_ORDER_OK, OLD_CLOCK_MS);
	orders_run(&o, 10);
	assert_int_equal(o.grant_clock_ms, 50 + 10 + 5000);
	bw_sched_destroy(o.sched);
}

/* The worker may have restarted, and would forget ends that were not read. */
static void test_heartbeat_after_a_failure_acknowledges_nothing(void **state)
{
	bw_end_row_t end;
	orders_t o;

	(void)state;
	begin_with_start(&o);
	init_end(&o, &end, BW_END_DONE);
	orders_answer_boot(&o, &(orders_boot_t){ .started_ms = FIRST_BOOT_MS,
						 .clock_ms = OLD_CLOCK_MS + 20,
						 .ends = &end,
						 .end_count = 1 });
	orders_save(&o);
	bw_sched_worker_unregistered(o.sched, o.now_ms, "w2");
	bw_sched_worker_dead(o.sched, "w2", "test");
	orders_run(&o, 10);
	assert_int_equal(o.acked, 1);
	orders_fail_heartbeat(&o, "w1");
	orders_run(&o, 300);
	assert_int_equal(o.acked, 0);
	assert_int_equal(o.grant_clock_ms, 0);
	orders_answer_boot(&o,
			   &(orders_boot_t){ .started_ms = FIRST_BOOT_MS,
					     .clock_ms = OLD_CLOCK_MS + 400 });
	orders_run(&o, 10);
	assert_int_equal(o.acked, 1);
	assert_true(o.grant_clock_ms > 0);
	bw_sched_destroy(o.sched);
}

static void
test_nothing_starts_between_a_failed_heartbeat_and_an_answer(void **state)
{
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	orders_fail_heartbeat(&o, "w1");
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 0);
	orders_answer_boot(&o, &(orders_boot_t){ .started_ms = FIRST_BOOT_MS,
						 .clock_ms = OLD_CLOCK_MS });
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
}

/* A start without an answer would still be carried out by the next boot. */
static void test_start_from_before_a_restart_is_fenced_off(void **state)
{
	bw_heartbeat_answer_t fenced = { .result = BW_ORDER_FENCED };
	uint64_t version;
	orders_t o;

	(void)state;
	begin_with_start(&o);
	assert_int_equal(o.fence, 7);
	bw_sched_owned_at(o.sched, 100);
	orders_run(&o, 400);
	assert_int_equal(o.fence, 7);
	version = bw_sched_version(o.sched);
	orders_register_boot(&o, SECOND_BOOT_MS);
	assert_true(bw_sched_version(o.sched) > version);
	orders_answer_boot(&o, &(orders_boot_t){ .started_ms = SECOND_BOOT_MS,
						 .clock_ms = 50 });
	orders_run(&o, 10);
	assert_int_equal(o.fence, 100);
	/* The refusal of this owner's earlier order is no takeover. */
	bw_sched_start_answered(o.sched, o.now_ms, "w1", &o.starts[0].task, 1,
				BW_ORDER_FENCED, 0);
	assert_int_equal(o.superseded, 0);
	o.now_ms += 2500;
	fenced.sent_ms = o.now_ms;
	bw_sched_heartbeat_answered(o.sched, o.now_ms, "w1", &fenced);
	assert_int_equal(o.superseded, 1);
	bw_sched_destroy(o.sched);
}

/* The run has ended, and its end is still to be listed. */
static void test_start_refused_as_old_is_not_taken_for_never_run(void **state)
{
	bw_end_row_t end;
	orders_t o;

	(void)state;
	begin_with_start(&o);
	bw_sched_start_answered(o.sched, o.now_ms, "w1", &o.starts[0].task, 1,
				BW_ORDER_OLD_RUN, 0);
	orders_run(&o, 500);
	assert_int_equal(o.start_count, 1);
	init_end(&o, &end, BW_END_DONE);
	orders_answer_boot(&o, &(orders_boot_t){ .started_ms = FIRST_BOOT_MS,
						 .clock_ms = OLD_CLOCK_MS + 510,
						 .ends = &end,
						 .end_count = 1 });
	orders_save(&o);
	orders_run(&o, 500);
	assert_int_equal(o.start_count, 1);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_A), BW_JOB_COMPLETED);
	bw_sched_destroy(o.sched);
}

static void test_start_refused_as_old_and_not_listed_is_repeated(void **state)
{
	orders_t o;

	(void)state;
	begin_with_start(&o);
	bw_sched_start_answered(o.sched, o.now_ms, "w1", &o.starts[0].task, 1,
				BW_ORDER_OLD_RUN, 0);
	orders_run(&o, 10);
	orders_answer_boot(&o,
			   &(orders_boot_t){ .started_ms = FIRST_BOOT_MS,
					     .clock_ms = OLD_CLOCK_MS + 20 });
	orders_run(&o, 200);
	assert_int_equal(o.start_count, 2);
	bw_sched_destroy(o.sched);
}

/* Answers a heartbeat of w1's second boot. */
static void list_on_second_boot(orders_t *o, const bw_run_row_t *run,
				const bw_end_row_t *end)
{
	orders_answer_boot(o, &(orders_boot_t){ .started_ms = SECOND_BOOT_MS,
						.clock_ms = o->now_ms,
						.runs = run,
						.run_count = run ? 1 : 0,
						.ends = end,
						.end_count = end ? 1 : 0 });
}

/*
 * Run 1 fails on w1, whose next boot carries out its start once more; w2 ends
 * run 2 by itself. The task waits beside run 1.
 */
static void begin_with_orphan(orders_t *o, bw_run_row_t *row)
{
	bw_end_row_t end;

	begin_with_start(o);
	init_run(o, row);
	init_end(o, &end, BW_END_FAILED);
	orders_answer_boot(o, &(orders_boot_t){ .started_ms = FIRST_BOOT_MS,
						.clock_ms = OLD_CLOCK_MS + 20,
						.ends = &end,
						.end_count = 1 });
	orders_run(o, 100);
	assert_int_equal(o->start_count, 2);
	assert_string_equal(o->starts[1].worker, "w2");
	list_on_second_boot(o, row, NULL);
	assert_int_equal(o->stop_count, 1);
	init_end(o, &end, BW_END_STOPPED);
	end.run = o->starts[1].run;
	orders_answer_heartbeat(o, "w2", NULL, 0, &end, 1);
	orders_save(o);
}

static void test_task_waits_for_an_unexpected_run_of_it(void **state)
{
	bw_run_row_t row;
	orders_t o;

	(void)state;
	begin_with_orphan(&o, &row);
	orders_run(&o, 200);
	list_on_second_boot(&o, &row, NULL);
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	orders_run(&o, 200);
	assert_int_equal(o.start_count, 2);
	list_on_second_boot(&o, NULL, NULL);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 3);
	bw_sched_destroy(o.sched);
}

static void test_task_is_done_by_an_unexpected_run_of_it(void **state)
{
	bw_end_row_t end;
	bw_run_row_t row;
	orders_t o;

	(void)state;
	begin_with_orphan(&o, &row);
	orders_run(&o, 200);
	init_end(&o, &end, BW_END_DONE);
	list_on_second_boot(&o, NULL, &end);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 2);
	orders_save(&o);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_A), BW_JOB_COMPLETED);
	bw_sched_destroy(o.sched);
}

/* A full list of ends may leave out that of the run, as done. */
static void test_full_list_of_ends_does_not_free_the_task(void **state)
{
	bw_heartbeat_answer_t full = { .result = BW_ORDER_OK,
				       .started_ms = SECOND_BOOT_MS,
				       .more_ends = true };
	bw_run_row_t row;
	orders_t o;

	(void)state;
	begin_with_orphan(&o, &row);
	orders_run(&o, 200);
	full.sent_ms = o.now_ms;
	full.clock_ms = o.now_ms;
	bw_sched_heartbeat_answered(o.sched, o.now_ms, "w1", &full);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 2);
	bw_sched_destroy(o.sched);
}

/* Grants end within 5.6 s; the one of before the restart within 23 s. */
static void
test_unexpected_run_on_a_silent_worker_ends_with_its_grant(void **state)
{
	bw_run_row_t row;
	orders_t o;

	(void)state;
	begin_with_orphan(&o, &row);
	pass_without_w1(&o, 5000);
	assert_int_equal(o.start_count, 2);
	pass_without_w1(&o, 18000);
	assert_int_equal(o.start_count, 3);
	bw_sched_destroy(o.sched);
}

static void test_unexpected_run_ends_with_its_worker(void **state)
{
	bw_run_row_t row;
	orders_t o;

	(void)state;
	begin_with_orphan(&o, &row);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 2);
	orders_register_boot(&o, SECOND_BOOT_MS + 1);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 3);
	bw_sched_destroy(o.sched);
	begin_with_orphan(&o, &row);
	bw_sched_worker_dead(o.sched, "w1", "upkeep-or-move");
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 3);
	bw_sched_destroy(o.sched);
}

/* A machine came back from its upkeep with the identifier that its worker had,
 * and was never used again. */
static void test_worker_that_keeps_its_identifier_stays_dead(void **state)
{
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	bw_sched_boot_dead(o.sched, "w1", FIRST_BOOT_MS, "upkeep-or-move");
	orders_run(&o, 10);
	orders_register_boot(&o, SECOND_BOOT_MS);
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 0);
	orders_answer_as_boot(&o, "w1", SECOND_BOOT_MS, NULL, 0, NULL, 0);
	orders_save(&o);
	orders_run(&o, 200);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
}

/* The controller names the boot that has ended until it has seen the next one:
 * what that runs went on, and was started once more elsewhere. */
static void
test_order_about_an_earlier_boot_ends_the_runs_of_the_next(void **state)
{
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	bw_sched_boot_dead(o.sched, "w1", FIRST_BOOT_MS, "upkeep-or-move");
	orders_register_boot(&o, SECOND_BOOT_MS);
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	orders_answer_as_boot(&o, "w1", SECOND_BOOT_MS, NULL, 0, NULL, 0);
	orders_save(&o);
	orders_run(&o, 200);
	assert_int_equal(o.start_count, 1);
	orders_add_worker(&o, "w2");
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	orders_save(&o);
	bw_sched_boot_dead(o.sched, "w1", FIRST_BOOT_MS, "upkeep-or-move");
	orders_run(&o, 200);
	assert_int_equal(o.start_count, 1);
	/* A registration of the boot that has ended is no other one. */
	bw_sched_boot_dead(o.sched, "w1", SECOND_BOOT_MS, "upkeep-or-move");
	orders_register_boot(&o, SECOND_BOOT_MS);
	orders_run(&o, 200);
	assert_int_equal(o.start_count, 2);
	assert_string_equal(o.starts[1].worker, "w2");
	bw_sched_destroy(o.sched);
}

static void test_successor_waits_for_an_unexpected_run_of_a_task(void **state)
{
	bw_run_row_t row;
	orders_t before;
	orders_t o;

	(void)state;
	begin_with_orphan(&before, &row);
	bw_sched_hand_over(before.sched);
	orders_succeed(&before, &o);
	orders_add_worker(&o, "w2");
	orders_register_boot(&o, SECOND_BOOT_MS);
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	bw_sched_allow_orders(o.sched, true);
	orders_save(&o);
	orders_run(&o, 10);
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	orders_run(&o, 200);
	assert_int_equal(o.start_count, 0);
	list_on_second_boot(&o, &row, NULL);
	orders_run(&o, 200);
	assert_int_equal(o.start_count, 0);
	list_on_second_boot(&o, NULL, NULL);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
}

/* A stop that the earlier boot has answered does not keep the next one from
 * carrying out a late start. */
static void
test_late_answer_of_a_stop_does_not_count_for_the_next_boot(void **state)
{
	orders_t o;
	int i;

	(void)state;
	begin_with_start(&o);
	bw_sched_start_answered(o.sched, o.now_ms, "w1", &o.starts[0].task, 1,
				BW_ORDER_LOST, 0);
	o.now_ms += 700;
	orders_answer_boot(&o,
			   &(orders_boot_t){ .started_ms = FIRST_BOOT_MS,
					     .clock_ms = OLD_CLOCK_MS + 700 });
	assert_int_equal(o.stop_count, 1);
	o.now_ms += 50;
	orders_register_boot(&o, SECOND_BOOT_MS);
	o.now_ms += 50;
	bw_sched_stop_answered(o.sched, o.now_ms, "w1", &o.starts[0].task, 1,
			       BW_ORDER_OK);
	for (i = 0; i < 2; i++) {
		orders_run(&o, 600);
		list_on_second_boot(&o, NULL, NULL);
		orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
		orders_run(&o, 10);
		assert_int_equal(o.start_count, 1);
	}
	assert_true(o.stop_count > 1);
	bw_sched_stop_answered(o.sched, o.now_ms, "w1", &o.starts[0].task, 1,
			       BW_ORDER_OK);
	orders_run(&o, 600);
	list_on_second_boot(&o, NULL, NULL);
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 2);
	bw_sched_destroy(o.sched);
}

/* The same for an answer that came before the restart was known. */
static void test_stop_answered_before_a_restart_is_repeated(void **state)
{
	orders_t o;

	(void)state;
	begin_with_start(&o);
	bw_sched_start_answered(o.sched, o.now_ms, "w1", &o.starts[0].task, 1,
				BW_ORDER_LOST, 0);
	o.now_ms += 700;
	orders_answer_boot(&o,
			   &(orders_boot_t){ .started_ms = FIRST_BOOT_MS,
					     .clock_ms = OLD_CLOCK_MS + 700 });
	bw_sched_stop_answered(o.sched, o.now_ms, "w1", &o.starts[0].task, 1,
			       BW_ORDER_OK);
	assert_int_equal(o.stop_count, 1);
	orders_register_boot(&o, SECOND_BOOT_MS);
	orders_run(&o, 600);
	list_on_second_boot(&o, NULL, NULL);
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	assert_int_equal(o.stop_count, 2);
	bw_sched_destroy(o.sched);
}

static void test_restart_is_stored_without_delay(void **state)
{
	orders_t o;

	(void)state;
	begin_with_start(&o);
	orders_save(&o);
	assert_false(bw_sched_urgent(o.sched));
	orders_register_boot(&o, SECOND_BOOT_MS);
	assert_true(bw_sched_urgent(o.sched));
	bw_sched_destroy(o.sched);
}

/* A save that began before a restart acknowledges nothing to the next boot. */
static void test_save_of_before_a_restart_acknowledges_nothing(void **state)
{
	bw_end_row_t end;
	uint64_t version;
	size_t bytes;
	orders_t o;

	(void)state;
	begin_with_start(&o);
	init_end(&o, &end, BW_END_DONE);
	orders_answer_boot(&o, &(orders_boot_t){ .started_ms = FIRST_BOOT_MS,
						 .clock_ms = OLD_CLOCK_MS + 20,
						 .ends = &end,
						 .end_count = 1 });
	version = bw_sched_version(o.sched);
	g_free(bw_sched_pack(o.sched, &bytes));
	orders_register_boot(&o, SECOND_BOOT_MS);
	bw_sched_saved(o.sched, o.now_ms, version);
	list_on_second_boot(&o, NULL, NULL);
	orders_run(&o, 10);
	assert_int_equal(o.acked, 0);
	bw_sched_destroy(o.sched);
}

/* The answer to the stop of before the restart comes after the stop was sent
 * again. */
static void
test_answer_of_an_earlier_stop_does_not_count_for_its_repetition(void **state)
{
	orders_t o;

	(void)state;
	begin_with_start(&o);
	bw_sched_start_answered(o.sched, o.now_ms, "w1", &o.starts[0].task, 1,
				BW_ORDER_LOST, 0);
	o.now_ms += 700;
	orders_answer_boot(&o,
			   &(orders_boot_t){ .started_ms = FIRST_BOOT_MS,
					     .clock_ms = OLD_CLOCK_MS + 700 });
	assert_int_equal(o.stop_count, 1);
	orders_register_boot(&o, SECOND_BOOT_MS);
	orders_run(&o, 450);
	assert_int_equal(o.stop_count, 2);
	o.now_ms += 50;
	bw_sched_stop_answered(o.sched, o.now_ms, "w1", &o.starts[0].task, 1,
			       BW_ORDER_OK);
	orders_run(&o, 600);
	list_on_second_boot(&o, NULL, NULL);
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
}

/* Registers a worker on the machine of w1, as started after it. */
static void register_on_machine_of_w1(orders_t *o, const char *id)
{
	const bw_worker_info_t info = { .id = id,
					.address = "10.0.0.2:1",
					.capacity = { 8000, 8000, 0 },
					.machine = "w1",
					.started_ms = 6 };

	bw_sched_worker_registered(o->sched, o->now_ms, &info);
}

/* Failure: another writer's entry that names the machine of a worker had this
 * one taken for ended, and its run was started a second time beside it. */
static void test_registration_alone_ends_no_worker(void **state)
{
	bw_run_row_t row;
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	orders_add_worker(&o, "w2");
	orders_add_job(&o, JOB_A, 1, true, 1000, 0);
	orders_run(&o, 10);
	assert_string_equal(o.starts[0].worker, "w1");
	orders_init_lasting_row(&row, 0);
	orders_answer_heartbeat(&o, "w1", &row, 1, NULL, 0);
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	register_on_machine_of_w1(&o, "other");
	orders_save(&o);
	orders_run(&o, 100);
	orders_answer_heartbeat(&o, "w1", &row, 1, NULL, 0);
	orders_run(&o, 100);
	assert_int_equal(o.start_count, 1);
	assert_int_equal(o.stop_count, 0);
	bw_sched_destroy(o.sched);
}

/* Once the newer worker has answered, the older one has ended. */
static void test_worker_ends_with_the_next_one_on_its_machine(void **state)
{
	bw_run_row_t row;
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	orders_add_job(&o, JOB_A, 1, true, 1000, 0);
	orders_run(&o, 10);
	orders_init_lasting_row(&row, 0);
	orders_answer_heartbeat(&o, "w1", &row, 1, NULL, 0);
	register_on_machine_of_w1(&o, "next");
	orders_save(&o);
	orders_answer_as_boot(&o, "next", 6, NULL, 0, NULL, 0);
	orders_run(&o, 100);
	assert_int_equal(o.start_count, 2);
	assert_string_equal(o.starts[1].worker, "next");
	bw_sched_destroy(o.sched);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_start_that_reached_the_next_boot_is_not_repeated),
		cmocka_unit_test(
			test_run_that_a_restart_ended_is_started_again),
		cmocka_unit_test(
			test_unconfirmed_start_lost_by_a_restart_is_repeated),
		cmocka_unit_test(
			test_grant_by_the_earlier_clock_outlives_a_restart),
		cmocka_unit_test(
			test_late_answer_of_an_earlier_boot_acknowledges_nothing),
		cmocka_unit_test(
			test_late_answer_of_a_start_keeps_the_clock_of_the_boot),
		cmocka_unit_test(
			test_heartbeat_after_a_failure_acknowledges_nothing),
		cmocka_unit_test(
			test_nothing_starts_between_a_failed_heartbeat_and_an_answer),
		cmocka_unit_test(
			test_start_from_before_a_restart_is_fenced_off),
		cmocka_unit_test(
			test_start_refused_as_old_is_not_taken_for_never_run),
		cmocka_unit_test(
			test_start_refused_as_old_and_not_listed_is_repeated),
		cmocka_unit_test(test_task_waits_for_an_unexpected_run_of_it),
		cmocka_unit_test(test_task_is_done_by_an_unexpected_run_of_it),
		cmocka_unit_test(test_full_list_of_ends_does_not_free_the_task),
		cmocka_unit_test(
			test_unexpected_run_on_a_silent_worker_ends_with_its_grant),
		cmocka_unit_test(test_unexpected_run_ends_with_its_worker),
		cmocka_unit_test(
			test_worker_that_keeps_its_identifier_stays_dead),
		cmocka_unit_test(
			test_order_about_an_earlier_boot_ends_the_runs_of_the_next),
		cmocka_unit_test(
			test_successor_waits_for_an_unexpected_run_of_a_task),
		cmocka_unit_test(
			test_late_answer_of_a_stop_does_not_count_for_the_next_boot),
		cmocka_unit_test(
			test_stop_answered_before_a_restart_is_repeated),
		cmocka_unit_test(test_restart_is_stored_without_delay),
		cmocka_unit_test(
			test_save_of_before_a_restart_acknowledges_nothing),
		cmocka_unit_test(
			test_answer_of_an_earlier_stop_does_not_count_for_its_repetition),
		cmocka_unit_test(test_registration_alone_ends_no_worker),
		cmocka_unit_test(
			test_worker_ends_with_the_next_one_on_its_machine),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
