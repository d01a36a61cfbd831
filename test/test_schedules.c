/* Jobs whose occurrences are due faster than they end. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "sched/internal.h"
#include "sched_orders.h"

#define REPEATS 43200
#define TASKS	200
/** Tasks that a job's occurrences may take at a time. */
#define TASKS_MAX 20000
#define RUNS	  2000
/** Occurrences of a schedule that is played to its end. */
#define FEW_REPEATS 150
/** Cores of a worker that runs a whole occurrence at a time. */
#define MANY_CORES_MILLIS ((int64_t)TASKS * 1000)

/* Adds a schedule of which all times are past. */
static void add_past_schedule(orders_t *o, uint32_t repeats, uint32_t tasks)
{
	bw_job_record_t record = { .queue = g_strdup("q"),
				   .accepted_ms = o->now_ms,
				   .spec = bw_job_spec_new(1) };

	record.spec->text = g_strdup("text");
	record.spec->steps[0].count = tasks;
	record.spec->steps[0].need.cpu_millis = 1000;
	record.spec->steps[0].estimate_ms = 500;
	record.spec->repeats = repeats;
	record.spec->first_due_ms = 1;
	record.spec->interval_ms = 1;
	bw_sched_add_job(o->sched, o->now_ms, DAY_MS, JOB_A, &record);
	bw_job_record_clear(&record);
}

static void run(orders_t *o)
{
	o->now_ms += 10;
	bw_sched_run(o->sched, o->now_ms, DAY_MS);
}

static const job_t *find_job(const orders_t *o)
{
	return g_hash_table_lookup(o->sched->jobs, JOB_A);
}

static uint64_t kept_tasks(const job_t *job)
{
	uint64_t tasks = 0;
	guint i;

	for (i = 0; i < job->occurrences->len; i++) {
		const occurrence_t *occurrence =
			g_ptr_array_index(job->occurrences, i);

		tasks += occurrence->task_count;
	}
	return tasks;
}

/* Failure: one schedule of which all times are past takes its owner over its
 * memory, as all occurrences that are due are created. */
static void test_past_schedule_takes_bounded_memory(void **state)
{
	orders_t o;
	uint32_t i;

	(void)state;
	orders_begin(&o);
	add_past_schedule(&o, REPEATS, TASKS);
	for (i = 0; i < RUNS; i++)
		run(&o);
	assert_true(kept_tasks(find_job(&o)) > 0);
	assert_true(kept_tasks(find_job(&o)) <= TASKS_MAX);
	bw_sched_destroy(o.sched);
}

/* Failure: the same after each change of owner. */
static void test_past_schedule_takes_bounded_memory_of_the_next(void **state)
{
	orders_t before;
	orders_t o;
	uint32_t i;

	(void)state;
	orders_begin(&before);
	add_past_schedule(&before, REPEATS, TASKS);
	for (i = 0; i < RUNS; i++)
		run(&before);
	orders_succeed(&before, &o);
	add_past_schedule(&o, REPEATS, TASKS);
	for (i = 0; i < RUNS; i++)
		run(&o);
	assert_true(kept_tasks(find_job(&o)) <= TASKS_MAX);
	bw_sched_destroy(o.sched);
}

/* The room of small occurrences counts, too. */
static void test_small_occurrences_are_bounded(void **state)
{
	orders_t o;
	uint32_t i;

	(void)state;
	orders_begin(&o);
	add_past_schedule(&o, REPEATS, 1);
	for (i = 0; i < RUNS; i++)
		run(&o);
	assert_true(find_job(&o)->occurrences->len <= TASKS_MAX / 3);
	bw_sched_destroy(o.sched);
}

/* Lets the worker end all runs that were started. */
static void end_runs(orders_t *o, uint64_t *number)
{
	bw_end_row_t ends[TASKS];
	uint32_t i;

	assert_true(o->start_count <= TASKS);
	memset(ends, 0, sizeof(ends));
	for (i = 0; i < o->start_count; i++) {
		bw_sched_start_answered(o->sched, o->now_ms, "w1",
					&o->starts[i].task, o->starts[i].run,
					BW_ORDER_OK, o->now_ms + 100);
		ends[i].number = ++*number;
		ends[i].task = o->starts[i].task;
		ends[i].run = o->starts[i].run;
		ends[i].kind = BW_END_DONE;
		ends[i].checkpoint = "";
	}
	orders_answer_heartbeat(o, "w1", NULL, 0, ends, o->start_count);
	o->start_count = 0;
	orders_save(o);
}

/* Each occurrence is run, also those that had no room when they were due. */
static void test_each_occurrence_of_a_past_schedule_is_run(void **state)
{
	uint32_t runs[FEW_REPEATS] = { 0 };
	uint64_t number = 0;
	uint32_t rounds;
	uint32_t i;
	orders_t o;

	(void)state;
	orders_begin(&o);
	orders_add_worker_with(&o, "w1", MANY_CORES_MILLIS);
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	orders_save(&o);
	add_past_schedule(&o, FEW_REPEATS, TASKS);
	for (rounds = 0; rounds < RUNS; rounds++) {
		run(&o);
		assert_true(kept_tasks(find_job(&o)) <= TASKS_MAX);
		for (i = 0; i < o.start_count; i++)
			runs[o.starts[i].task.occurrence]++;
		end_runs(&o, &number);
	}
	for (i = 0; i < FEW_REPEATS; i++)
		assert_int_equal(runs[i], TASKS);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_A), BW_JOB_COMPLETED);
	bw_sched_destroy(o.sched);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_past_schedule_takes_bounded_memory),
		cmocka_unit_test(
			test_past_schedule_takes_bounded_memory_of_the_next),
		cmocka_unit_test(test_small_occurrences_are_bounded),
		cmocka_unit_test(
			test_each_occurrence_of_a_past_schedule_is_run),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
