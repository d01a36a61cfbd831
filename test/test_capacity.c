/* Workers whose capacity shrinks and grows while they run. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "sched_orders.h"

#define CORES_8	 8000
#define MEM_8_GB 8000

static const bw_resources_t whole = { CORES_8, MEM_8_GB, 4 };

static void say_capacity(orders_t *o, const char *id,
			 const bw_resources_t *capacity)
{
	bw_worker_info_t info = { .id = id,
				  .address = "10.0.0.1:1",
				  .capacity = *capacity,
				  .machine = id,
				  .started_ms = 5 };

	bw_sched_worker_registered(o->sched, o->now_ms, &info);
}

static void add_answering_worker(orders_t *o, const char *id)
{
	say_capacity(o, id, &whole);
	orders_answer_heartbeat(o, id, NULL, 0, NULL, 0);
	orders_save(o);
	orders_run(o, 10);
}

static void begin(orders_t *o)
{
	orders_begin(o);
	add_answering_worker(o, "w1");
}

static void add_step(orders_t *o, const char *id, const bw_step_spec_t *step)
{
	bw_job_record_t record = { .queue = g_strdup("q"),
				   .accepted_ms = o->now_ms,
				   .spec = bw_job_spec_new(1) };

	record.spec->text = g_strdup("text");
	record.spec->steps[0] = *step;
	record.spec->steps[0].label = g_strdup(step->label);
	record.spec->steps[0].estimate_ms = 500;
	bw_sched_add_job(o->sched, o->now_ms, o->now_ms, id, &record);
	bw_job_record_clear(&record);
}

static void add_task(orders_t *o, const char *id, const bw_resources_t *need)
{
	bw_step_spec_t step = { .count = 1, .need = *need };

	add_step(o, id, &step);
}

static void init_row(bw_run_row_t *row, const char *job)
{
	orders_init_lasting_row(row, 0);
	g_strlcpy(row->task.job, job, sizeof(row->task.job));
}

/* Starts the one task of JOB_A on w1; its start is answered. */
static void start_task_a(orders_t *o, const bw_resources_t *need)
{
	bw_run_row_t row;

	add_task(o, JOB_A, need);
	orders_run(o, 10);
	assert_int_equal(o->start_count, 1);
	init_row(&row, JOB_A);
	bw_sched_start_answered(o->sched, o->now_ms, "w1", &row.task, 1,
				BW_ORDER_OK, o->now_ms + 100);
	orders_answer_heartbeat(o, "w1", &row, 1, NULL, 0);
}

/* Reports the end of JOB_A's run, beside the runs that go on. */
static void end_task_a(orders_t *o, const bw_run_row_t *rows, uint32_t count)
{
	bw_end_row_t end = {
		.number = 1, .run = 1, .kind = BW_END_DONE, .checkpoint = ""
	};

	g_strlcpy(end.task.job, JOB_A, sizeof(end.task.job));
	o->now_ms += 500;
	orders_answer_heartbeat(o, "w1", rows, count, &end, 1);
}

/* A capacity, and a task that no longer fits beside one of half of w1. */
typedef struct shrink_case {
	const char *name;
	bw_resources_t capacity;
	bw_resources_t need;
} shrink_case_t;

static const bw_resources_t half = { 4000, 4000, 2 };

static const shrink_case_t shrink_cases[] = {
	{ "processor", { 6000, 8000, 4 }, { 3000, 0, 0 } },
	{ "memory", { 8000, 6000, 4 }, { 0, 3000, 0 } },
	{ "accelerators", { 8000, 8000, 3 }, { 0, 0, 2 } },
	{ "processor below use", { 3000, 8000, 4 }, { 1, 0, 0 } },
	{ "memory below use", { 8000, 3000, 4 }, { 1, 0, 0 } },
	{ "accelerators below use", { 8000, 8000, 1 }, { 1, 0, 0 } },
	{ "all", { 0, 0, 0 }, { 0, 0, 0 } },
	{ "below zero", { -1, -1, -1 }, { 0, 0, 0 } },
};

/* Lasting tasks are placed by a scan, the others by the index. */
static void check_shrink(const shrink_case_t *c, bool lasting)
{
	const bw_step_spec_t step = { .count = 1,
				      .lasting = lasting,
				      .need = c->need };
	orders_t o;

	begin(&o);
	start_task_a(&o, &half);
	say_capacity(&o, "w1", &c->capacity);
	add_step(&o, JOB_B, &step);
	orders_run(&o, 100);
	if (o.start_count != 1 || o.stop_count != 0)
		print_error("case: %s\n", c->name);
	assert_int_equal(o.start_count, 1);
	assert_int_equal(o.stop_count, 0);
	say_capacity(&o, "w1", &whole);
	orders_run(&o, 100);
	if (o.start_count != 2)
		print_error("case: %s\n", c->name);
	assert_int_equal(o.start_count, 2);
	bw_sched_destroy(o.sched);
}

static void test_start_over_a_shrunken_capacity(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(shrink_cases); i++) {
		check_shrink(&shrink_cases[i], false);
		check_shrink(&shrink_cases[i], true);
	}
}

/* The end of one task need not bring a worker below its capacity again. */
static void test_start_after_an_end_on_an_overloaded_worker(void **state)
{
	const bw_resources_t quarter = { 2000, 0, 0 };
	const bw_resources_t shrunken = { 3000, MEM_8_GB, 0 };
	bw_run_row_t row;
	orders_t o;

	(void)state;
	begin(&o);
	start_task_a(&o, &quarter);
	add_task(&o, JOB_B, &half);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 2);
	init_row(&row, JOB_B);
	bw_sched_start_answered(o.sched, o.now_ms, "w1", &row.task, 1,
				BW_ORDER_OK, 0);
	say_capacity(&o, "w1", &shrunken);
	add_task(&o, JOB_EARLY, &quarter);
	end_task_a(&o, &row, 1);
	orders_run(&o, 100);
	assert_int_equal(o.start_count, 2);
	bw_sched_destroy(o.sched);
}

static void assert_next_start(orders_t *o, const char *worker)
{
	uint32_t before = o->start_count;

	orders_run(o, 10);
	assert_int_equal(o->start_count, before + 1);
	assert_string_equal(o->starts[before].worker, worker);
}

/* The worker with the least free processor that suffices is found by it. */
static void test_worker_is_searched_at_its_earlier_capacity(void **state)
{
	const bw_resources_t shrunken = { 3000, MEM_8_GB, 0 };
	const bw_resources_t nothing = { -100, MEM_8_GB, 0 };
	const bw_resources_t small = { 2000, 0, 0 };
	const bw_resources_t large = { 7000, 0, 0 };
	orders_t o;

	(void)state;
	begin(&o);
	add_answering_worker(&o, "w2");
	add_answering_worker(&o, "w3");
	say_capacity(&o, "w3", &shrunken);
	say_capacity(&o, "w1", &nothing);
	add_task(&o, JOB_A, &small);
	assert_next_start(&o, "w3");
	add_task(&o, JOB_B, &large);
	assert_next_start(&o, "w2");
	say_capacity(&o, "w1", &whole);
	add_task(&o, JOB_EARLY, &large);
	assert_next_start(&o, "w1");
	bw_sched_destroy(o.sched);
}

static void
test_unanswered_start_is_left_out_of_a_shrunken_capacity(void **state)
{
	const bw_resources_t shrunken = { 6000, MEM_8_GB, 4 };
	bw_run_row_t row;
	orders_t o;

	(void)state;
	begin(&o);
	add_task(&o, JOB_A, &half);
	orders_run(&o, 10);
	say_capacity(&o, "w1", &shrunken);
	add_task(&o, JOB_B, &half);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	init_row(&row, JOB_A);
	bw_sched_start_answered(o.sched, o.now_ms, "w1", &row.task, 1,
				BW_ORDER_LOST, 0);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	o.now_ms += 700;
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	orders_run(&o, 10);
	assert_int_equal(o.stop_count, 1);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
}

static void test_stopping_task_is_left_out_of_a_shrunken_capacity(void **state)
{
	const bw_resources_t shrunken = { 6000, MEM_8_GB, 4 };
	bw_run_row_t row;
	orders_t o;

	(void)state;
	begin(&o);
	start_task_a(&o, &half);
	say_capacity(&o, "w1", &shrunken);
	bw_sched_cancel(o.sched, o.now_ms, JOB_A);
	add_task(&o, JOB_B, &half);
	orders_run(&o, 10);
	assert_int_equal(o.stop_count, 1);
	init_row(&row, JOB_A);
	bw_sched_stop_answered(o.sched, o.now_ms, "w1", &row.task, 1,
			       BW_ORDER_OK);
	orders_run(&o, 100);
	assert_int_equal(o.start_count, 1);
	end_task_a(&o, NULL, 0);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 2);
	bw_sched_destroy(o.sched);
}

static void test_gang_starts_in_part_on_shrunken_workers(void **state)
{
	const bw_resources_t shrunken = { 2000, MEM_8_GB, 0 };
	const bw_step_spec_t gang = { .count = 4,
				      .gang = true,
				      .need = { 3000, 100, 0 } };
	orders_t o;

	(void)state;
	begin(&o);
	add_answering_worker(&o, "w2");
	say_capacity(&o, "w2", &shrunken);
	add_step(&o, JOB_A, &gang);
	orders_run(&o, 100);
	assert_int_equal(o.start_count, 0);
	say_capacity(&o, "w2", &whole);
	orders_run(&o, 100);
	assert_int_equal(o.start_count, 4);
	bw_sched_destroy(o.sched);
}

/* All members start again, so the ones that run don't free what they use. */
static void test_broken_gang_starts_again_on_a_shrunken_worker(void **state)
{
	const bw_resources_t shrunken = { 5000, MEM_8_GB, 0 };
	const bw_step_spec_t gang = { .count = 2,
				      .gang = true,
				      .need = { 3000, 100, 0 } };
	bw_run_row_t row;
	orders_t o;

	(void)state;
	begin(&o);
	add_step(&o, JOB_A, &gang);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 2);
	say_capacity(&o, "w1", &shrunken);
	init_row(&row, JOB_A);
	row.task.index = 1;
	bw_sched_start_answered(o.sched, o.now_ms, "w1", &row.task, 1,
				BW_ORDER_NO_RESOURCES, 0);
	orders_run(&o, 500);
	assert_int_equal(o.stop_count, 1);
	assert_int_equal(o.start_count, 2);
	bw_sched_destroy(o.sched);
}

/* A filler takes no processor, but all the memory that it needs. */
static void test_filler_starts_over_a_shrunken_memory(void **state)
{
	const bw_resources_t less_memory = { CORES_8, 6000, 4 };
	const bw_resources_t less_processor = { 1000, MEM_8_GB, 4 };
	const bw_step_spec_t filler = { .count = 1,
					.filler = true,
					.need = { 3000, 3000, 0 } };
	orders_t o;

	(void)state;
	begin(&o);
	start_task_a(&o, &half);
	say_capacity(&o, "w1", &less_memory);
	add_step(&o, JOB_B, &filler);
	orders_run(&o, 100);
	assert_int_equal(o.start_count, 1);
	say_capacity(&o, "w1", &less_processor);
	orders_run(&o, 100);
	assert_int_equal(o.start_count, 2);
	bw_sched_destroy(o.sched);
}

/* After an outage of the store a registration may come back changed. */
static void test_worker_comes_back_with_its_earlier_capacity(void **state)
{
	const bw_resources_t shrunken = { 3000, MEM_8_GB, 0 };
	orders_t o;

	(void)state;
	begin(&o);
	bw_sched_worker_unregistered(o.sched, o.now_ms, "w1");
	say_capacity(&o, "w1", &shrunken);
	add_task(&o, JOB_A, &half);
	orders_run(&o, 100);
	assert_int_equal(o.start_count, 0);
	bw_sched_destroy(o.sched);
}

/* Takes over from an owner that knew w1 whole and ran JOB_A there. */
static void take_over(orders_t *o, bool in_order)
{
	orders_t before;

	begin(&before);
	start_task_a(&before, &half);
	if (in_order)
		bw_sched_hand_over(before.sched);
	orders_succeed(&before, o);
	add_task(o, JOB_A, &half);
	add_task(o, JOB_B, &half);
}

static void check_takeover(bool in_order)
{
	const bw_resources_t shrunken = { 6000, MEM_8_GB, 4 };
	bw_run_row_t row;
	orders_t o;

	take_over(&o, in_order);
	init_row(&row, JOB_A);
	orders_answer_heartbeat(&o, "w1", &row, 1, NULL, 0);
	orders_save(&o);
	orders_run(&o, 1000);
	assert_int_equal(o.start_count, 0);
	say_capacity(&o, "w1", &shrunken);
	orders_answer_heartbeat(&o, "w1", &row, 1, NULL, 0);
	orders_run(&o, 1000);
	assert_int_equal(o.start_count, 0);
	say_capacity(&o, "w1", &whole);
	orders_answer_heartbeat(&o, "w1", &row, 1, NULL, 0);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
}

static void test_successor_starts_at_the_capacity_of_before(void **state)
{
	(void)state;
	check_takeover(true);
	check_takeover(false);
}

/* What an earlier owner runs there and nobody knows has an unknown size. */
static void test_start_beside_unknown_runs_on_a_shrunken_worker(void **state)
{
	const bw_resources_t shrunken = { 6000, MEM_8_GB, 4 };
	bw_run_row_t row;
	orders_t o;

	(void)state;
	begin(&o);
	init_row(&row, JOB_EARLY);
	orders_answer_heartbeat(&o, "w1", &row, 1, NULL, 0);
	say_capacity(&o, "w1", &shrunken);
	add_task(&o, JOB_B, &half);
	orders_run(&o, 100);
	assert_int_equal(o.start_count, 0);
	bw_sched_destroy(o.sched);
}

static void answer_as_boot(orders_t *o, const char *id, int64_t started_ms)
{
	bw_heartbeat_answer_t answer = { .result = BW_ORDER_OK,
					 .sent_ms = o->now_ms,
					 .clock_ms = 1000,
					 .started_ms = started_ms };

	bw_sched_heartbeat_answered(o->sched, o->now_ms, id, &answer);
}

static void say_of_boot(orders_t *o, const char *label, int64_t cpu_millis,
			int64_t started_ms)
{
	const char *const labels[] = { label };
	bw_worker_info_t info = { .id = "w1",
				  .address = "10.0.0.1:1",
				  .capacity = { cpu_millis, MEM_8_GB, 4 },
				  .labels = labels,
				  .label_count = 1,
				  .rack = label,
				  .machine = "w1",
				  .started_ms = started_ms };

	bw_sched_worker_registered(o->sched, o->now_ms, &info);
}

/* It answers before its registration is read again. */
static void test_restarted_worker_starts_at_its_earlier_capacity(void **state)
{
	orders_t o;

	(void)state;
	begin(&o);
	answer_as_boot(&o, "w1", 9);
	add_task(&o, JOB_A, &half);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 0);
	say_capacity(&o, "w1", &whole);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 0);
	say_of_boot(&o, "a", 3000, 9);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 0);
	say_of_boot(&o, "a", 4000, 9);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
}

/* A restart that the registration tells first is answered for later. */
static void test_restarted_worker_is_never_used_again(void **state)
{
	orders_t o;

	(void)state;
	begin(&o);
	say_of_boot(&o, "a", 4000, 9);
	answer_as_boot(&o, "w1", 9);
	add_task(&o, JOB_A, &half);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
}

/* Its kind may have changed; a task needs the label of one. */
static void test_restarted_worker_keeps_its_earlier_labels(void **state)
{
	char a[] = "a";
	char b[] = "b";
	bw_step_spec_t needs_a = { .count = 1, .label = a };
	bw_step_spec_t needs_b = { .count = 1, .label = b };
	orders_t o;

	(void)state;
	orders_begin(&o);
	say_of_boot(&o, a, CORES_8, 5);
	answer_as_boot(&o, "w1", 9);
	say_of_boot(&o, b, CORES_8, 9);
	orders_save(&o);
	add_step(&o, JOB_A, &needs_a);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 0);
	add_step(&o, JOB_B, &needs_b);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	assert_string_equal(o.starts[0].task.job, JOB_B);
	bw_sched_destroy(o.sched);
}

/*
 * A worker may have shrunk while its owner was suspended; the registrations
 * that are read first may have been on their way before.
 */
static void
test_start_after_a_suspension_at_the_capacity_of_before(void **state)
{
	orders_t o;

	(void)state;
	begin(&o);
	bw_sched_registrations_read(o.sched, o.now_ms);
	o.now_ms += 3000;
	bw_sched_suspended(o.sched, o.now_ms, 3000);
	bw_sched_registrations_read(o.sched, o.now_ms - 3000);
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	add_task(&o, JOB_A, &half);
	orders_save(&o);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 0);
	bw_sched_registrations_read(o.sched, o.now_ms);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
}

/* An owner on a busy node is suspended often, for a moment. */
static void test_start_waits_for_a_read_after_a_short_suspension(void **state)
{
	orders_t o;

	(void)state;
	begin(&o);
	bw_sched_registrations_read(o.sched, o.now_ms);
	o.now_ms += 1000;
	bw_sched_suspended(o.sched, o.now_ms, 500);
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	add_task(&o, JOB_A, &half);
	orders_save(&o);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
}

static void test_pool_reports_its_earlier_capacity(void **state)
{
	const bw_resources_t shrunken = { 3000, 2000, 0 };
	bw_sched_stats_t stats;
	orders_t o;

	(void)state;
	begin(&o);
	say_capacity(&o, "w1", &shrunken);
	bw_sched_stats(o.sched, &stats);
	assert_int_equal(stats.capacity.cpu_millis, 3000);
	assert_int_equal(stats.capacity.mem_mb, 2000);
	bw_sched_destroy(o.sched);
}

/* Failure: the work of a worker whose entry was odd for a time is started again
 * or stopped. While it is odd the worker gets no new tasks. */
static void test_work_goes_on_while_an_entry_is_odd(void **state)
{
	bw_run_row_t row;
	orders_t o;
	uint32_t i;

	(void)state;
	orders_begin_with_worker(&o);
	orders_add_worker(&o, "w2");
	orders_add_job(&o, JOB_A, 1, true, 1000, 0);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	orders_init_lasting_row(&row, 0);
	orders_answer_heartbeat(&o, "w1", &row, 1, NULL, 0);
	bw_sched_worker_unregistered(o.sched, o.now_ms, "w1");
	for (i = 0; i < 12; i++) {
		orders_run(&o, 500);
		orders_answer_heartbeat(&o, "w1", &row, 1, NULL, 0);
	}
	orders_add_job(&o, JOB_B, 1, false, 1000, 0);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	orders_add_worker(&o, "w1");
	orders_run(&o, 10);
	assert_int_equal(o.stop_count, 0);
	assert_int_equal(o.start_count, 2);
	assert_string_equal(o.starts[1].task.job, JOB_B);
	assert_string_equal(o.starts[1].worker, "w1");
	bw_sched_destroy(o.sched);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_start_over_a_shrunken_capacity),
		cmocka_unit_test(
			test_start_after_an_end_on_an_overloaded_worker),
		cmocka_unit_test(
			test_worker_is_searched_at_its_earlier_capacity),
		cmocka_unit_test(
			test_unanswered_start_is_left_out_of_a_shrunken_capacity),
		cmocka_unit_test(
			test_stopping_task_is_left_out_of_a_shrunken_capacity),
		cmocka_unit_test(test_gang_starts_in_part_on_shrunken_workers),
		cmocka_unit_test(
			test_broken_gang_starts_again_on_a_shrunken_worker),
		cmocka_unit_test(test_filler_starts_over_a_shrunken_memory),
		cmocka_unit_test(
			test_worker_comes_back_with_its_earlier_capacity),
		cmocka_unit_test(
			test_successor_starts_at_the_capacity_of_before),
		cmocka_unit_test(
			test_start_beside_unknown_runs_on_a_shrunken_worker),
		cmocka_unit_test(
			test_restarted_worker_starts_at_its_earlier_capacity),
		cmocka_unit_test(test_restarted_worker_is_never_used_again),
		cmocka_unit_test(
			test_restarted_worker_keeps_its_earlier_labels),
		cmocka_unit_test(
			test_start_after_a_suspension_at_the_capacity_of_before),
		cmocka_unit_test(
			test_start_waits_for_a_read_after_a_short_suspension),
		cmocka_unit_test(test_pool_reports_its_earlier_capacity),
		cmocka_unit_test(test_work_goes_on_while_an_entry_is_odd),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
