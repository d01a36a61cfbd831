/* Tests of a pool's scheduler; the tests answer its orders themselves. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "sched_orders.h"

/* No task starts before the state with its workers is stored once. */
static void test_nothing_before_the_first_store(void **state)
{
	orders_t o;

	(void)state;
	orders_begin(&o);
	orders_add_worker(&o, "w1");
	orders_add_job(&o, JOB_A, 2, false, 1000, 500);
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 0);
	orders_save(&o);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 2);
	bw_sched_destroy(o.sched);
}

/*
 * A start whose call failed may still take effect, so its run is stopped before
 * the task is started again.
 */
static void test_start_in_doubt(void **state)
{
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	bw_sched_start_answered(o.sched, o.now_ms + 700, "w1",
				&o.starts[0].task, 1, BW_ORDER_LOST, 0);
	o.now_ms += 800;
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	assert_int_equal(o.stop_count, 1);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	bw_sched_stop_answered(o.sched, o.now_ms, "w1", &o.starts[0].task, 1,
			       BW_ORDER_OK);
	/* Requested too soon after the stop to prove that the run has ended. */
	o.now_ms += 300;
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	o.now_ms += 300;
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 2);
	assert_int_equal(o.starts[1].run, 2);
	bw_sched_destroy(o.sched);
}

/*
 * A lost start has no time of its answer, so the duration of its run is not
 * known and must not be learned: as a time since boot it made a pool ask for a
 * thousand times the machines that there are.
 */
static void test_lost_start_teaches_no_duration(void **state)
{
	bw_end_row_t end = {
		.number = 1, .run = 1, .kind = BW_END_DONE, .checkpoint = ""
	};
	bw_pool_demand_t demand;
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	o.now_ms += DAY_MS;
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	o.now_ms += 700;
	bw_sched_start_answered(o.sched, o.now_ms, "w1", &o.starts[0].task, 1,
				BW_ORDER_LOST, 0);
	end.task = o.starts[0].task;
	orders_answer_heartbeat(&o, "w1", NULL, 0, &end, 1);
	orders_save(&o);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_A), BW_JOB_COMPLETED);
	o.now_ms += DAY_MS;
	orders_add_job(&o, JOB_B, 1, false, 1000, 500);
	bw_sched_demand(o.sched, o.now_ms, &demand);
	assert_int_equal(demand.offered_millis, 1000);
	bw_sched_destroy(o.sched);
}

/* A late refusal of a start on a worker that is gone concerns no waiting task.
 */
static void test_late_refusal_of_a_gone_worker_is_ignored(void **state)
{
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	bw_sched_worker_dead(o.sched, "w1", "test");
	bw_sched_worker_unregistered(o.sched, o.now_ms, "w1");
	o.now_ms += 5000;
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	orders_run(&o, 10);
	orders_add_worker(&o, "w2");
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	orders_save(&o);
	bw_sched_start_answered(o.sched, o.now_ms, "w1", &o.starts[0].task, 1,
				BW_ORDER_NO_RESOURCES, 0);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 2);
	bw_sched_destroy(o.sched);
}

/* A job is shown as running only once the start of a task is confirmed. */
static void test_begun_is_known(void **state)
{
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_A), BW_JOB_QUEUED);
	assert_int_equal(bw_sched_waiting(o.sched, "q"), 1);
	bw_sched_start_answered(o.sched, o.now_ms, "w1", &o.starts[0].task, 1,
				BW_ORDER_OK, 0);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_A), BW_JOB_RUNNING);
	assert_int_equal(bw_sched_waiting(o.sched, "q"), 0);
	bw_sched_destroy(o.sched);
}

/* A job is shown as completed only once that is stored. */
static void test_completed_is_stored(void **state)
{
	bw_end_row_t end = {
		.number = 1, .run = 1, .kind = BW_END_DONE, .checkpoint = ""
	};
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	orders_run(&o, 10);
	end.task = o.starts[0].task;
	o.now_ms += 500;
	orders_answer_heartbeat(&o, "w1", NULL, 0, &end, 1);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_A), BW_JOB_RUNNING);
	orders_save(&o);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_A), BW_JOB_COMPLETED);
	bw_sched_destroy(o.sched);
}

/* A cancelled job stays cancelled when its last task still succeeds. */
static void test_cancelled_stays(void **state)
{
	bw_end_row_t end = {
		.number = 1, .run = 1, .kind = BW_END_DONE, .checkpoint = ""
	};
	const char *ids[4];
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	orders_run(&o, 10);
	bw_sched_cancel(o.sched, o.now_ms, JOB_A);
	orders_save(&o);
	end.task = o.starts[0].task;
	o.now_ms += 500;
	orders_answer_heartbeat(&o, "w1", NULL, 0, &end, 1);
	orders_run(&o, 10);
	orders_save(&o);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_A), BW_JOB_CANCELLED);
	o.now_ms += 200000;
	assert_int_equal(bw_sched_removable(o.sched, o.now_ms, ids, 4), 1);
	bw_sched_destroy(o.sched);
}

static uint32_t list_removable(orders_t *o, const char **id)
{
	*id = "";
	return bw_sched_removable(o->sched, o->now_ms, id, 1);
}

/* A finished job is dropped some time after its removal from the store. */
static void test_finished_is_forgotten(void **state)
{
	const char *id;
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	orders_add_job(&o, JOB_B, 1, true, 1000, 500);
	bw_sched_cancel(o.sched, o.now_ms, JOB_A);
	orders_run(&o, 200000);
	/* Its end is not stored yet. */
	assert_int_equal(list_removable(&o, &id), 0);
	orders_save(&o);
	assert_int_equal(list_removable(&o, &id), 1);
	assert_string_equal(id, JOB_A);
	/* The removal of a job that is not finished is ignored. */
	bw_sched_job_removed(o.sched, o.now_ms, JOB_B);
	bw_sched_job_removed(o.sched, o.now_ms, JOB_A);
	assert_int_equal(list_removable(&o, &id), 0);
	orders_run(&o, 29000);
	/* A stale read of the store does not add it again. */
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_A), BW_JOB_CANCELLED);
	orders_run(&o, 1000);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_A), BW_JOB_UNKNOWN);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_B), BW_JOB_QUEUED);
	bw_sched_destroy(o.sched);
}

static uint32_t list_shortenable(const orders_t *o)
{
	bw_ended_job_t jobs[4];

	return bw_sched_shortenable(o->sched, o->now_ms, jobs, 4);
}

/*
 * A short record is written only while the job's record is certain to be in the
 * store: a job that is removed must not come back.
 */
static void test_removed_is_not_shortened(void **state)
{
	const char *id;
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	orders_add_job(&o, JOB_B, 1, false, 1000, 500);
	bw_sched_cancel(o.sched, o.now_ms, JOB_A);
	bw_sched_cancel(o.sched, o.now_ms, JOB_B);
	orders_run(&o, 10);
	/* Their end is not stored yet. */
	assert_int_equal(list_shortenable(&o), 0);
	orders_save(&o);
	assert_int_equal(list_shortenable(&o), 2);
	bw_sched_short_sent(o.sched, JOB_A);
	orders_run(&o, 200000);
	/* From now on a removal of B may be sent. */
	assert_int_equal(list_shortenable(&o), 1);
	assert_int_equal(list_removable(&o, &id), 1);
	assert_string_equal(id, JOB_B);
	bw_sched_job_removed(o.sched, o.now_ms, JOB_B);
	/* The short record of A may still be written. */
	assert_int_equal(list_removable(&o, &id), 0);
	bw_sched_short_stored(o.sched, JOB_A);
	assert_int_equal(list_shortenable(&o), 0);
	assert_int_equal(list_removable(&o, &id), 1);
	assert_string_equal(id, JOB_A);
	bw_sched_destroy(o.sched);
}

/* The record of a job whose task may still run is not replaced. */
static void test_stopping_job_is_not_shortened(void **state)
{
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	bw_sched_cancel(o.sched, o.now_ms, JOB_A);
	orders_save(&o);
	orders_run(&o, 10);
	assert_int_equal(list_shortenable(&o), 0);
	bw_sched_worker_dead(o.sched, "w1", "test");
	orders_run(&o, 10);
	assert_int_equal(list_shortenable(&o), 1);
	bw_sched_destroy(o.sched);
}

/* Nor while a worker lists a run that should have ended, of whichever job. */
static void test_unknown_run_delays_short_records(void **state)
{
	bw_run_row_t row = { .task = { .job = JOB_A },
			     .run = 1,
			     .checkpoint = "" };
	const char *id;
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	bw_sched_cancel(o.sched, o.now_ms, JOB_A);
	orders_save(&o);
	orders_run(&o, 10);
	assert_int_equal(list_shortenable(&o), 1);
	orders_answer_heartbeat(&o, "w1", &row, 1, NULL, 0);
	assert_int_equal(o.stop_count, 1);
	assert_int_equal(list_shortenable(&o), 0);
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	assert_int_equal(list_shortenable(&o), 1);
	/* Nor is it removed. */
	o.now_ms += 120000;
	assert_int_equal(list_removable(&o, &id), 1);
	orders_answer_heartbeat(&o, "w1", &row, 1, NULL, 0);
	assert_int_equal(list_removable(&o, &id), 0);
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	assert_int_equal(list_removable(&o, &id), 1);
	bw_sched_destroy(o.sched);
}

/* A successor neither runs a job from its short record nor writes that again.
 */
static void test_ended_is_not_run_again(void **state)
{
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	bw_sched_add_ended(o.sched, o.now_ms, JOB_A, BW_JOB_COMPLETED);
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	orders_add_job(&o, JOB_B, 1, false, 1000, 500);
	bw_sched_add_ended(o.sched, o.now_ms, JOB_B, BW_JOB_FAILED);
	orders_save(&o);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 0);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_A), BW_JOB_COMPLETED);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_B), BW_JOB_FAILED);
	assert_int_equal(list_shortenable(&o), 0);
	bw_sched_destroy(o.sched);
}

static size_t value_bytes(const orders_t *o)
{
	size_t bytes;

	g_free(bw_sched_pack(o->sched, &bytes));
	return bytes;
}

/*
 * A job leaves the pool's value only when its short record is confirmed, and
 * not at all where its record is removed while late notices may still come.
 */
static void test_ended_job_leaves_the_value(void **state)
{
	bw_sched_config_t config = { .retention_ms = 1000,
				     .removed_ms = 30000 };
	orders_t o;
	size_t bytes;

	(void)state;
	orders_begin_with_worker(&o);
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	bw_sched_cancel(o.sched, o.now_ms, JOB_A);
	bytes = value_bytes(&o);
	bw_sched_short_sent(o.sched, JOB_A);
	assert_int_equal(value_bytes(&o), bytes);
	bw_sched_short_stored(o.sched, JOB_A);
	assert_true(value_bytes(&o) < bytes);
	bw_sched_destroy(o.sched);
	o.sched = bw_sched_create(&config, &orders_ops, &o, o.now_ms);
	bytes = value_bytes(&o);
	bw_sched_add_ended(o.sched, o.now_ms, JOB_A, BW_JOB_COMPLETED);
	assert_true(value_bytes(&o) > bytes);
	bw_sched_destroy(o.sched);
}

/* A successor lists jobs that finished under an earlier owner. */
static void test_successor_removes(void **state)
{
	const char *id;
	orders_t o;
	orders_t next;
	uint8_t *data;
	size_t bytes;

	(void)state;
	orders_begin_with_worker(&o);
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	bw_sched_cancel(o.sched, o.now_ms, JOB_A);
	data = bw_sched_pack(o.sched, &bytes);
	orders_begin(&next);
	assert_int_equal(bw_sched_load(next.sched, next.now_ms, data, bytes),
			 BW_OK);
	g_free(data);
	assert_int_equal(list_removable(&next, &id), 0);
	/* Not before it knows all runs that the earlier owner started. */
	next.now_ms += 120000;
	assert_int_equal(list_removable(&next, &id), 0);
	orders_run(&next, 0);
	assert_true(bw_sched_recovered(next.sched));
	assert_int_equal(list_removable(&next, &id), 1);
	assert_string_equal(id, JOB_A);
	bw_sched_destroy(o.sched);
	bw_sched_destroy(next.sched);
}

/*
 * Submits JOB_EARLY, then JOB_B after a delay, to a full worker, and checks
 * which one starts when the worker becomes free.
 */
static void check_second_start(int64_t wait_ms, const char *expected)
{
	bw_end_row_t end = {
		.number = 1, .run = 1, .kind = BW_END_DONE, .checkpoint = ""
	};
	orders_t o;

	orders_begin_with_worker(&o);
	orders_add_job(&o, JOB_A, 1, false, 8000, 3000);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	orders_add_job(&o, JOB_EARLY, 1, false, 8000, 3000);
	o.now_ms += wait_ms;
	orders_add_job(&o, JOB_B, 1, false, 8000, 3000);
	/* Confirmed late, so that the estimates learn no long duration. */
	bw_sched_start_answered(o.sched, o.now_ms, "w1", &o.starts[0].task, 1,
				BW_ORDER_OK, 0);
	end.task = o.starts[0].task;
	orders_answer_heartbeat(&o, "w1", NULL, 0, &end, 1);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 2);
	assert_string_equal(o.starts[1].task.job, expected);
	bw_sched_destroy(o.sched);
}

/* The earlier job starts first while it can still meet its objective. */
static void test_earlier_objective_first(void **state)
{
	(void)state;
	check_second_start(500, JOB_EARLY);
}

/*
 * A job that can meet its objective starts before one that will miss it and is
 * far from its deadline.
 */
static void test_in_time_first(void **state)
{
	(void)state;
	check_second_start(6000, JOB_B);
}

/* The same when the late job is close to its deadline. */
static void test_late_waits_to_the_end(void **state)
{
	(void)state;
	check_second_start(12500, JOB_B);
}

/* A pool of 16 workers that is full, for jobs of one task and 3 s each. */
static void begin_full_pool(orders_t *o, uint32_t late_jobs)
{
	char id[BW_JOB_ID_CHARS + 1];
	uint32_t i;

	orders_begin(o);
	for (i = 0; i < 16; i++) {
		g_snprintf(id, sizeof(id), "w%u", i);
		orders_add_worker(o, id);
		orders_answer_heartbeat(o, id, NULL, 0, NULL, 0);
	}
	orders_save(o);
	orders_add_job(o, JOB_A, 16, false, 8000, 3000);
	orders_run(o, 10);
	assert_int_equal(o->start_count, 16);
	for (i = 0; i < late_jobs; i++) {
		g_snprintf(id, sizeof(id), "%016x", 0xe0 + i);
		orders_add_job(o, id, 1, false, 8000, 3000);
	}
}

/* Lets all 16 tasks end without answers to their starts, so that the estimates
 * learn no duration. */
static void free_pool(orders_t *o)
{
	uint32_t i;

	for (i = 0; i < 16; i++) {
		bw_end_row_t end = { .number = 1,
				     .task = o->starts[i].task,
				     .run = 1,
				     .kind = BW_END_DONE,
				     .checkpoint = "" };

		orders_answer_heartbeat(o, o->starts[i].worker, NULL, 0, &end,
					1);
	}
	orders_run(o, 30);
}

/*
 * After a surge: two jobs are late and miss their deadline if they wait any
 * longer, and a few are in time. The late ones go first, since the others
 * hardly wait for them.
 */
static void test_last_chance_goes_first(void **state)
{
	orders_t o;

	(void)state;
	begin_full_pool(&o, 2);
	o.now_ms += 12900;
	orders_add_job(&o, JOB_B, 1, false, 8000, 3000);
	free_pool(&o);
	assert_int_equal(o.start_count, 19);
	assert_string_not_equal(o.starts[16].task.job, JOB_B);
	assert_string_not_equal(o.starts[17].task.job, JOB_B);
	assert_string_equal(o.starts[18].task.job, JOB_B);
	bw_sched_destroy(o.sched);
}

/* Of many such jobs an eighth of the pool goes first, here two workers. */
static void test_last_chances_have_a_share(void **state)
{
	orders_t o;
	uint32_t i;

	(void)state;
	begin_full_pool(&o, 20);
	o.now_ms += 12900;
	orders_add_job(&o, JOB_B, 1, false, 8000, 3000);
	free_pool(&o);
	assert_int_equal(o.start_count, 32);
	for (i = 16; i < 18; i++)
		assert_string_not_equal(o.starts[i].task.job, JOB_B);
	assert_string_equal(o.starts[18].task.job, JOB_B);
	bw_sched_destroy(o.sched);
}

/* While more waits that can be in time than the pool does soon, late jobs wait.
 */
static void test_no_last_chance_while_the_overload_goes_on(void **state)
{
	orders_t o;
	uint32_t i;

	(void)state;
	begin_full_pool(&o, 2);
	o.now_ms += 12900;
	orders_add_job(&o, JOB_B, 14, false, 8000, 3000);
	free_pool(&o);
	assert_int_equal(o.start_count, 32);
	for (i = 16; i < 30; i++)
		assert_string_equal(o.starts[i].task.job, JOB_B);
	bw_sched_destroy(o.sched);
}

/*
 * A small job that arrives after a large one starts first: it would miss its
 * objective if it waited, while the large one still meets its own.
 */
static void test_little_work_first(void **state)
{
	bw_end_row_t end = { .number = 1, .run = 1, .kind = BW_END_DONE };
	orders_t o;
	uint32_t i;

	(void)state;
	orders_begin_with_worker(&o);
	orders_add_job(&o, JOB_A, 1, false, 8000, 1000);
	orders_run(&o, 10);
	orders_add_job(&o, JOB_EARLY, 8, false, 8000, 1000);
	orders_run(&o, 100);
	orders_add_job(&o, JOB_B, 1, false, 8000, 1000);
	end.task = o.starts[0].task;
	for (i = 1; i < 3; i++) {
		orders_answer_heartbeat(&o, "w1", NULL, 0, &end, 1);
		orders_run(&o, 10);
		assert_int_equal(o.start_count, i + 1);
		end.number++;
		end.task = o.starts[i].task;
	}
	assert_string_equal(o.starts[1].task.job, JOB_B);
	assert_string_equal(o.starts[2].task.job, JOB_EARLY);
	bw_sched_destroy(o.sched);
}

/* A job past its deadline starts after the others. */
static void test_over_goes_last(void **state)
{
	(void)state;
	check_second_start(30000, JOB_B);
}

/* Sets up four usable workers, "w1" to "w4". */
static void begin_with_four_workers(orders_t *o)
{
	static const char *const names[] = { "w1", "w2", "w3", "w4" };
	size_t i;

	orders_begin(o);
	for (i = 0; i < G_N_ELEMENTS(names); i++)
		orders_add_worker(o, names[i]);
	for (i = 0; i < G_N_ELEMENTS(names); i++)
		orders_answer_heartbeat(o, names[i], NULL, 0, NULL, 0);
	orders_save(o);
	orders_run(o, 10);
}

/* Tasks share workers, so that others stay free for pools with high load. */
static void test_tasks_share_workers(void **state)
{
	orders_t o;
	uint32_t i;

	(void)state;
	begin_with_four_workers(&o);
	orders_add_job(&o, JOB_A, 4, false, 1500, 500);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 4);
	for (i = 1; i < 4; i++)
		assert_string_equal(o.starts[i].worker, o.starts[0].worker);
	/* Tasks that no longer fit there share one other worker. */
	orders_add_job(&o, JOB_B, 2, false, 2500, 500);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 6);
	assert_string_not_equal(o.starts[4].worker, o.starts[0].worker);
	assert_string_equal(o.starts[5].worker, o.starts[4].worker);
	bw_sched_destroy(o.sched);
}

#define MANY_WORKERS 20
#define MANY_JOBS    64

/* Returns the worker with the least free processor that fits, by a scan. */
static uint32_t best_worker(const int64_t *free_millis, int64_t need)
{
	uint32_t best = MANY_WORKERS;
	uint32_t i;

	for (i = 0; i < MANY_WORKERS; i++)
		if (free_millis[i] >= need &&
		    (best == MANY_WORKERS ||
		     free_millis[i] < free_millis[best]))
			best = i;
	return best;
}

/* The capacity index finds the same workers as a scan of all of them. */
static void test_fullest_is_found(void **state)
{
	int64_t free_millis[MANY_WORKERS];
	GRand *rand = g_rand_new_with_seed(4711);
	uint32_t started = 0;
	orders_t o;
	char id[20];
	uint32_t i;

	(void)state;
	orders_begin(&o);
	for (i = 0; i < MANY_WORKERS; i++) {
		free_millis[i] = g_rand_int_range(rand, 4, 17) * 1000;
		g_snprintf(id, sizeof(id), "w%02u", i);
		orders_add_worker_with(&o, id, free_millis[i]);
		orders_answer_heartbeat(&o, id, NULL, 0, NULL, 0);
	}
	orders_save(&o);
	orders_run(&o, 10);
	for (i = 1; i < MANY_JOBS; i++) {
		int64_t need = g_rand_int_range(rand, 1, 60) * 100;
		uint32_t best = best_worker(free_millis, need);

		g_snprintf(id, sizeof(id), "%016x", i);
		orders_add_job(&o, id, 1, false, need, 500);
		orders_run(&o, 1);
		if (best == MANY_WORKERS) {
			bw_sched_cancel(o.sched, o.now_ms, id);
			continue;
		}
		assert_int_equal(o.start_count, ++started);
		g_snprintf(id, sizeof(id), "w%02u", best);
		assert_string_equal(o.starts[started - 1].worker, id);
		free_millis[best] -= need;
	}
	assert_true(started > MANY_JOBS / 2);
	g_rand_free(rand);
	bw_sched_destroy(o.sched);
}

/* A worker on which tasks fail is used last, whatever its free capacity. */
static void test_sick_worker_is_last(void **state)
{
	bw_end_row_t ends[3] = { 0 };
	orders_t o;
	uint32_t i;

	(void)state;
	begin_with_four_workers(&o);
	orders_add_job(&o, JOB_A, 3, false, 1500, 500);
	orders_run(&o, 10);
	for (i = 0; i < 3; i++)
		ends[i] = (bw_end_row_t){ .number = i + 1,
					  .task = o.starts[i].task,
					  .run = 1,
					  .kind = BW_END_FAILED };
	orders_answer_heartbeat(&o, o.starts[0].worker, NULL, 0, ends, 3);
	orders_add_job(&o, JOB_B, 1, false, 1500, 500);
	orders_run(&o, 100);
	assert_int_equal(o.start_count, 7);
	for (i = 3; i < 7; i++)
		assert_string_not_equal(o.starts[i].worker, o.starts[0].worker);
	bw_sched_destroy(o.sched);
}

/*
 * The tasks of a worker that died can move only once its grant expires, so the
 * grant of a worker whose answer is overdue is not renewed.
 */
static void test_silent_worker_gets_no_grant(void **state)
{
	bw_heartbeat_answer_t lost = { .result = BW_ORDER_LOST };
	orders_t o;
	uint32_t heartbeats;

	(void)state;
	orders_begin_with_worker(&o);
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	orders_run(&o, 10);
	assert_true(o.grant_clock_ms > 0);
	o.now_ms += 1400;
	bw_sched_heartbeat_answered(o.sched, o.now_ms, "w1", &lost);
	heartbeats = o.heartbeat_count;
	orders_run(&o, 300);
	assert_int_equal(o.heartbeat_count, heartbeats + 1);
	assert_int_equal(o.grant_clock_ms, 0);
	/* Its next answer renews the grant. */
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	orders_run(&o, 10);
	assert_true(o.grant_clock_ms > 0);
	bw_sched_destroy(o.sched);
}

/* A worker that rejects the fencing token ends the ownership. */
/*
 * An owner that was suspended may have been replaced, though its lease would
 * last: it starts nothing until a save has shown that it was not.
 */
static void test_nothing_starts_after_a_suspension_before_a_save(void **state)
{
	uint64_t version;
	size_t bytes;
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	version = bw_sched_version(o.sched);
	g_free(bw_sched_pack(o.sched, &bytes));
	o.now_ms += 1000;
	bw_sched_suspended(o.sched, o.now_ms, 1000);
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 0);
	/* The answer to a save of before proves nothing. */
	bw_sched_saved(o.sched, o.now_ms, version);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 0);
	assert_true(bw_sched_urgent(o.sched));
	orders_save(&o);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
}

static void test_superseded(void **state)
{
	bw_heartbeat_answer_t answer = { .result = BW_ORDER_FENCED };
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	bw_sched_heartbeat_answered(o.sched, o.now_ms, "w1", &answer);
	assert_int_equal(o.superseded, 1);
	bw_sched_destroy(o.sched);
}

/*
 * What keeps grants alive and what frees workers goes before starts, which are
 * many and long: on a slow link all that is sent later waits for them.
 */
static void test_heartbeats_wait_for_no_start(void **state)
{
	orders_t o;
	uint32_t heartbeats;

	(void)state;
	begin_with_four_workers(&o);
	orders_add_job(&o, JOB_EARLY, 1, false, 1500, 500);
	orders_run(&o, 10);
	bw_sched_start_answered(o.sched, o.now_ms, o.starts[0].worker,
				&o.starts[0].task, 1, BW_ORDER_OK, 0);
	bw_sched_worker_cordon(o.sched, o.starts[0].worker, true);
	orders_run(&o, 10);
	o.now_ms += 3500;
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	orders_answer_heartbeat(&o, "w3", NULL, 0, NULL, 0);
	orders_add_job(&o, JOB_A, 8, false, 1500, 500);
	heartbeats = o.heartbeat_count;
	orders_run(&o, 0);
	assert_int_equal(o.start_count, 9);
	assert_int_equal(o.stop_count, 1);
	assert_int_equal(o.stops_at_start, 1);
	assert_int_equal(o.heartbeat_count, heartbeats + 2);
	assert_int_equal(o.heartbeats_at_start, heartbeats + 2);
	bw_sched_destroy(o.sched);
}

/* Data that is not a pool record is rejected. */
static void test_bad_state(void **state)
{
	orders_t o;

	(void)state;
	orders_begin(&o);
	assert_int_equal(bw_sched_load(o.sched, o.now_ms,
				       (const uint8_t *)"\xff\xff\xff", 3),
			 BW_EPARSE);
	bw_sched_destroy(o.sched);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_nothing_before_the_first_store),
		cmocka_unit_test(test_start_in_doubt),
		cmocka_unit_test(test_lost_start_teaches_no_duration),
		cmocka_unit_test(test_late_refusal_of_a_gone_worker_is_ignored),
		cmocka_unit_test(test_begun_is_known),
		cmocka_unit_test(test_completed_is_stored),
		cmocka_unit_test(test_cancelled_stays),
		cmocka_unit_test(test_finished_is_forgotten),
		cmocka_unit_test(test_removed_is_not_shortened),
		cmocka_unit_test(test_stopping_job_is_not_shortened),
		cmocka_unit_test(test_unknown_run_delays_short_records),
		cmocka_unit_test(test_ended_is_not_run_again),
		cmocka_unit_test(test_ended_job_leaves_the_value),
		cmocka_unit_test(test_successor_removes),
		cmocka_unit_test(test_earlier_objective_first),
		cmocka_unit_test(test_in_time_first),
		cmocka_unit_test(test_late_waits_to_the_end),
		cmocka_unit_test(test_last_chance_goes_first),
		cmocka_unit_test(test_last_chances_have_a_share),
		cmocka_unit_test(
			test_no_last_chance_while_the_overload_goes_on),
		cmocka_unit_test(test_little_work_first),
		cmocka_unit_test(test_over_goes_last),
		cmocka_unit_test(test_tasks_share_workers),
		cmocka_unit_test(test_fullest_is_found),
		cmocka_unit_test(test_sick_worker_is_last),
		cmocka_unit_test(test_silent_worker_gets_no_grant),
		cmocka_unit_test(
			test_nothing_starts_after_a_suspension_before_a_save),
		cmocka_unit_test(test_superseded),
		cmocka_unit_test(test_heartbeats_wait_for_no_start),
		cmocka_unit_test(test_bad_state),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
