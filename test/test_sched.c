/* Tests of a pool's scheduler; the tests answer its orders themselves. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "sched/sched.h"

#define ORDERS_MAX 1024

/** A scheduler and the orders that it sent. */
typedef struct orders {
	bw_sched_t *sched;
	struct {
		bw_task_name_t task;
		uint32_t run;
		char worker[16];
	} starts[ORDERS_MAX], stops[ORDERS_MAX];
	uint32_t start_count;
	uint32_t stop_count;
	uint32_t heartbeat_count;
	uint32_t heartbeats_at_start; /**< Sent before the last start. */
	uint32_t stops_at_start; /**< The same of stops. */
	int64_t grant_clock_ms; /**< Of the last heartbeat; 0: none. */
	uint32_t superseded;
	int64_t now_ms;
} orders_t;

static void on_start(void *ctx, const bw_start_order_t *order)
{
	orders_t *o = ctx;

	assert_true(o->start_count < ORDERS_MAX);
	o->starts[o->start_count].task = order->task;
	o->starts[o->start_count].run = order->run;
	o->heartbeats_at_start = o->heartbeat_count;
	o->stops_at_start = o->stop_count;
	g_strlcpy(o->starts[o->start_count++].worker, order->worker, 16);
}

static void on_stop(void *ctx, const bw_run_order_t *order)
{
	orders_t *o = ctx;

	assert_true(o->stop_count < ORDERS_MAX);
	o->stops[o->stop_count].task = order->task;
	o->stops[o->stop_count].run = order->run;
	g_strlcpy(o->stops[o->stop_count++].worker, order->worker, 16);
}

static void on_throttle(void *ctx, const bw_run_order_t *order)
{
	(void)ctx;
	(void)order;
}

static void on_heartbeat(void *ctx, const bw_heartbeat_order_t *order)
{
	orders_t *o = ctx;

	o->grant_clock_ms = order->grant_clock_ms;
	o->heartbeat_count++;
}

static void on_advise(void *ctx, const bw_task_name_t *step,
		      const char *const *workers, uint32_t count)
{
	(void)ctx;
	(void)step;
	(void)workers;
	(void)count;
}

static void on_superseded(void *ctx)
{
	((orders_t *)ctx)->superseded++;
}

static const bw_sched_ops_t ops = {
	.start = on_start,
	.stop = on_stop,
	.throttle = on_throttle,
	.heartbeat = on_heartbeat,
	.advise = on_advise,
	.superseded = on_superseded,
};

static void begin(orders_t *o)
{
	bw_sched_config_t config = { .grant_ms = 5000,
				     .grant_ms_max = 5000,
				     .outage_ms = 3500,
				     .stop_ms = 400,
				     .retention_ms = 120000,
				     .removed_ms = 30000,
				     .fence = 7 };
	bw_queue_config_t queue = { "q", 0, 3, 1.6, 600, false };

	memset(o, 0, sizeof(*o));
	o->now_ms = 1000;
	o->sched = bw_sched_create(&config, &ops, o, o->now_ms);
	bw_sched_set_queue(o->sched, &queue);
}

static void add_worker_with(orders_t *o, const char *id, int64_t cpu_millis)
{
	bw_worker_info_t info = { .id = id,
				  .address = "10.0.0.1:1",
				  .capacity = { cpu_millis, 8000, 0 },
				  .machine = id,
				  .started_ms = 5 };

	bw_sched_worker_registered(o->sched, o->now_ms, &info);
}

static void add_worker(orders_t *o, const char *id)
{
	add_worker_with(o, id, 8000);
}

static void answer_heartbeat(orders_t *o, const char *id,
			     const bw_run_row_t *runs, uint32_t run_count,
			     const bw_end_row_t *ends, uint32_t end_count)
{
	bw_heartbeat_answer_t answer = { .result = BW_ORDER_OK,
					 .sent_ms = o->now_ms,
					 .clock_ms = o->now_ms + 100,
					 .started_ms = 5,
					 .runs = runs,
					 .run_count = run_count,
					 .ends = ends,
					 .end_count = end_count };

	bw_sched_heartbeat_answered(o->sched, o->now_ms, id, &answer);
}

static void save(orders_t *o)
{
	size_t bytes;
	uint64_t version = bw_sched_version(o->sched);

	g_free(bw_sched_pack(o->sched, &bytes));
	bw_sched_saved(o->sched, o->now_ms, version);
}

static void run(orders_t *o, int64_t ms)
{
	o->now_ms += ms;
	bw_sched_run(o->sched, o->now_ms, o->now_ms);
}

static void add_job(orders_t *o, const char *id, uint32_t tasks, bool lasting,
		    int64_t cpu_millis, uint32_t estimate_ms)
{
	bw_job_record_t record = { .queue = g_strdup("q"),
				   .accepted_ms = o->now_ms,
				   .spec = bw_job_spec_new(1) };

	record.spec->text = g_strdup("text");
	record.spec->steps[0].count = tasks;
	record.spec->steps[0].lasting = lasting;
	record.spec->steps[0].away_max = 1;
	record.spec->steps[0].need.cpu_millis = cpu_millis;
	record.spec->steps[0].estimate_ms = estimate_ms;
	bw_sched_add_job(o->sched, o->now_ms, o->now_ms, id, &record);
	bw_job_record_clear(&record);
}

#define JOB_A	  "00000000000000aa"
#define JOB_B	  "00000000000000bb"
#define JOB_EARLY "00000000000000cc"
#define DAY_MS	  ((int64_t)86400000)

/* No task starts before the state with its workers is stored once. */
static void test_nothing_before_the_first_store(void **state)
{
	orders_t o;

	(void)state;
	begin(&o);
	add_worker(&o, "w1");
	add_job(&o, JOB_A, 2, false, 1000, 500);
	answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	run(&o, 10);
	assert_int_equal(o.start_count, 0);
	save(&o);
	run(&o, 10);
	assert_int_equal(o.start_count, 2);
	bw_sched_destroy(o.sched);
}

static void begin_with_worker(orders_t *o)
{
	begin(o);
	add_worker(o, "w1");
	answer_heartbeat(o, "w1", NULL, 0, NULL, 0);
	save(o);
	run(o, 10);
}

/*
 * A start whose call failed may still take effect, so its run is stopped before
 * the task is started again.
 */
static void test_start_in_doubt(void **state)
{
	orders_t o;

	(void)state;
	begin_with_worker(&o);
	add_job(&o, JOB_A, 1, false, 1000, 500);
	run(&o, 10);
	assert_int_equal(o.start_count, 1);
	bw_sched_start_answered(o.sched, o.now_ms + 700, "w1",
				&o.starts[0].task, 1, BW_ORDER_LOST, 0);
	o.now_ms += 800;
	answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	assert_int_equal(o.stop_count, 1);
	run(&o, 10);
	assert_int_equal(o.start_count, 1);
	bw_sched_stop_answered(o.sched, o.now_ms, "w1", &o.starts[0].task, 1,
			       BW_ORDER_OK);
	/* Requested too soon after the stop to prove that the run has ended. */
	o.now_ms += 300;
	answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	run(&o, 10);
	assert_int_equal(o.start_count, 1);
	o.now_ms += 300;
	answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	run(&o, 10);
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
	begin_with_worker(&o);
	o.now_ms += DAY_MS;
	answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	add_job(&o, JOB_A, 1, false, 1000, 500);
	run(&o, 10);
	assert_int_equal(o.start_count, 1);
	o.now_ms += 700;
	bw_sched_start_answered(o.sched, o.now_ms, "w1", &o.starts[0].task, 1,
				BW_ORDER_LOST, 0);
	end.task = o.starts[0].task;
	answer_heartbeat(&o, "w1", NULL, 0, &end, 1);
	save(&o);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_A), BW_JOB_COMPLETED);
	o.now_ms += DAY_MS;
	add_job(&o, JOB_B, 1, false, 1000, 500);
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
	begin_with_worker(&o);
	add_job(&o, JOB_A, 1, false, 1000, 500);
	run(&o, 10);
	assert_int_equal(o.start_count, 1);
	bw_sched_worker_dead(o.sched, "w1", "test");
	bw_sched_worker_unregistered(o.sched, o.now_ms, "w1");
	o.now_ms += 5000;
	answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	run(&o, 10);
	add_worker(&o, "w2");
	answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	save(&o);
	bw_sched_start_answered(o.sched, o.now_ms, "w1", &o.starts[0].task, 1,
				BW_ORDER_NO_RESOURCES, 0);
	run(&o, 10);
	assert_int_equal(o.start_count, 2);
	bw_sched_destroy(o.sched);
}

/* A job is shown as running only once the start of a task is confirmed. */
static void test_begun_is_known(void **state)
{
	orders_t o;

	(void)state;
	begin_with_worker(&o);
	add_job(&o, JOB_A, 1, false, 1000, 500);
	run(&o, 10);
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
	begin_with_worker(&o);
	add_job(&o, JOB_A, 1, false, 1000, 500);
	run(&o, 10);
	end.task = o.starts[0].task;
	o.now_ms += 500;
	answer_heartbeat(&o, "w1", NULL, 0, &end, 1);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_A), BW_JOB_RUNNING);
	save(&o);
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
	begin_with_worker(&o);
	add_job(&o, JOB_A, 1, false, 1000, 500);
	run(&o, 10);
	bw_sched_cancel(o.sched, o.now_ms, JOB_A);
	save(&o);
	end.task = o.starts[0].task;
	o.now_ms += 500;
	answer_heartbeat(&o, "w1", NULL, 0, &end, 1);
	run(&o, 10);
	save(&o);
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
	begin_with_worker(&o);
	add_job(&o, JOB_A, 1, false, 1000, 500);
	add_job(&o, JOB_B, 1, true, 1000, 500);
	bw_sched_cancel(o.sched, o.now_ms, JOB_A);
	run(&o, 200000);
	/* Its end is not stored yet. */
	assert_int_equal(list_removable(&o, &id), 0);
	save(&o);
	assert_int_equal(list_removable(&o, &id), 1);
	assert_string_equal(id, JOB_A);
	/* The removal of a job that is not finished is ignored. */
	bw_sched_job_removed(o.sched, o.now_ms, JOB_B);
	bw_sched_job_removed(o.sched, o.now_ms, JOB_A);
	assert_int_equal(list_removable(&o, &id), 0);
	run(&o, 29000);
	/* A stale read of the store does not add it again. */
	add_job(&o, JOB_A, 1, false, 1000, 500);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_A), BW_JOB_CANCELLED);
	run(&o, 1000);
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
	begin_with_worker(&o);
	add_job(&o, JOB_A, 1, false, 1000, 500);
	add_job(&o, JOB_B, 1, false, 1000, 500);
	bw_sched_cancel(o.sched, o.now_ms, JOB_A);
	bw_sched_cancel(o.sched, o.now_ms, JOB_B);
	run(&o, 10);
	/* Their end is not stored yet. */
	assert_int_equal(list_shortenable(&o), 0);
	save(&o);
	assert_int_equal(list_shortenable(&o), 2);
	bw_sched_short_sent(o.sched, JOB_A);
	run(&o, 200000);
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
	begin_with_worker(&o);
	add_job(&o, JOB_A, 1, false, 1000, 500);
	run(&o, 10);
	assert_int_equal(o.start_count, 1);
	bw_sched_cancel(o.sched, o.now_ms, JOB_A);
	save(&o);
	run(&o, 10);
	assert_int_equal(list_shortenable(&o), 0);
	bw_sched_worker_dead(o.sched, "w1", "test");
	run(&o, 10);
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
	begin_with_worker(&o);
	add_job(&o, JOB_A, 1, false, 1000, 500);
	bw_sched_cancel(o.sched, o.now_ms, JOB_A);
	save(&o);
	run(&o, 10);
	assert_int_equal(list_shortenable(&o), 1);
	answer_heartbeat(&o, "w1", &row, 1, NULL, 0);
	assert_int_equal(o.stop_count, 1);
	assert_int_equal(list_shortenable(&o), 0);
	answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	assert_int_equal(list_shortenable(&o), 1);
	/* Nor is it removed. */
	o.now_ms += 120000;
	assert_int_equal(list_removable(&o, &id), 1);
	answer_heartbeat(&o, "w1", &row, 1, NULL, 0);
	assert_int_equal(list_removable(&o, &id), 0);
	answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	assert_int_equal(list_removable(&o, &id), 1);
	bw_sched_destroy(o.sched);
}

/* A successor neither runs a job from its short record nor writes that again.
 */
static void test_ended_is_not_run_again(void **state)
{
	orders_t o;

	(void)state;
	begin_with_worker(&o);
	bw_sched_add_ended(o.sched, o.now_ms, JOB_A, BW_JOB_COMPLETED);
	add_job(&o, JOB_A, 1, false, 1000, 500);
	add_job(&o, JOB_B, 1, false, 1000, 500);
	bw_sched_add_ended(o.sched, o.now_ms, JOB_B, BW_JOB_FAILED);
	save(&o);
	run(&o, 10);
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
	begin_with_worker(&o);
	add_job(&o, JOB_A, 1, false, 1000, 500);
	bw_sched_cancel(o.sched, o.now_ms, JOB_A);
	bytes = value_bytes(&o);
	bw_sched_short_sent(o.sched, JOB_A);
	assert_int_equal(value_bytes(&o), bytes);
	bw_sched_short_stored(o.sched, JOB_A);
	assert_true(value_bytes(&o) < bytes);
	bw_sched_destroy(o.sched);
	o.sched = bw_sched_create(&config, &ops, &o, o.now_ms);
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
	begin_with_worker(&o);
	add_job(&o, JOB_A, 1, false, 1000, 500);
	bw_sched_cancel(o.sched, o.now_ms, JOB_A);
	data = bw_sched_pack(o.sched, &bytes);
	begin(&next);
	assert_int_equal(bw_sched_load(next.sched, next.now_ms, data, bytes),
			 BW_OK);
	g_free(data);
	assert_int_equal(list_removable(&next, &id), 0);
	/* Not before it knows all runs that the earlier owner started. */
	next.now_ms += 120000;
	assert_int_equal(list_removable(&next, &id), 0);
	run(&next, 0);
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

	begin_with_worker(&o);
	add_job(&o, JOB_A, 1, false, 8000, 3000);
	run(&o, 10);
	assert_int_equal(o.start_count, 1);
	add_job(&o, JOB_EARLY, 1, false, 8000, 3000);
	o.now_ms += wait_ms;
	add_job(&o, JOB_B, 1, false, 8000, 3000);
	/* Confirmed late, so that the estimates learn no long duration. */
	bw_sched_start_answered(o.sched, o.now_ms, "w1", &o.starts[0].task, 1,
				BW_ORDER_OK, 0);
	end.task = o.starts[0].task;
	answer_heartbeat(&o, "w1", NULL, 0, &end, 1);
	run(&o, 10);
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
	begin_with_worker(&o);
	add_job(&o, JOB_A, 1, false, 8000, 1000);
	run(&o, 10);
	add_job(&o, JOB_EARLY, 8, false, 8000, 1000);
	run(&o, 100);
	add_job(&o, JOB_B, 1, false, 8000, 1000);
	end.task = o.starts[0].task;
	for (i = 1; i < 3; i++) {
		answer_heartbeat(&o, "w1", NULL, 0, &end, 1);
		run(&o, 10);
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

	begin(o);
	for (i = 0; i < G_N_ELEMENTS(names); i++)
		add_worker(o, names[i]);
	for (i = 0; i < G_N_ELEMENTS(names); i++)
		answer_heartbeat(o, names[i], NULL, 0, NULL, 0);
	save(o);
	run(o, 10);
}

/* Tasks share workers, so that others stay free for pools with high load. */
static void test_tasks_share_workers(void **state)
{
	orders_t o;
	uint32_t i;

	(void)state;
	begin_with_four_workers(&o);
	add_job(&o, JOB_A, 4, false, 1500, 500);
	run(&o, 10);
	assert_int_equal(o.start_count, 4);
	for (i = 1; i < 4; i++)
		assert_string_equal(o.starts[i].worker, o.starts[0].worker);
	/* Tasks that no longer fit there share one other worker. */
	add_job(&o, JOB_B, 2, false, 2500, 500);
	run(&o, 10);
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
	begin(&o);
	for (i = 0; i < MANY_WORKERS; i++) {
		free_millis[i] = g_rand_int_range(rand, 4, 17) * 1000;
		g_snprintf(id, sizeof(id), "w%02u", i);
		add_worker_with(&o, id, free_millis[i]);
		answer_heartbeat(&o, id, NULL, 0, NULL, 0);
	}
	save(&o);
	run(&o, 10);
	for (i = 1; i < MANY_JOBS; i++) {
		int64_t need = g_rand_int_range(rand, 1, 60) * 100;
		uint32_t best = best_worker(free_millis, need);

		g_snprintf(id, sizeof(id), "%016x", i);
		add_job(&o, id, 1, false, need, 500);
		run(&o, 1);
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
	add_job(&o, JOB_A, 3, false, 1500, 500);
	run(&o, 10);
	for (i = 0; i < 3; i++)
		ends[i] = (bw_end_row_t){ .number = i + 1,
					  .task = o.starts[i].task,
					  .run = 1,
					  .kind = BW_END_FAILED };
	answer_heartbeat(&o, o.starts[0].worker, NULL, 0, ends, 3);
	add_job(&o, JOB_B, 1, false, 1500, 500);
	run(&o, 100);
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
	begin_with_worker(&o);
	answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	run(&o, 10);
	assert_true(o.grant_clock_ms > 0);
	o.now_ms += 1400;
	bw_sched_heartbeat_answered(o.sched, o.now_ms, "w1", &lost);
	heartbeats = o.heartbeat_count;
	run(&o, 300);
	assert_int_equal(o.heartbeat_count, heartbeats + 1);
	assert_int_equal(o.grant_clock_ms, 0);
	/* Its next answer renews the grant. */
	answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	run(&o, 10);
	assert_true(o.grant_clock_ms > 0);
	bw_sched_destroy(o.sched);
}

/* A worker that rejects the fencing token ends the ownership. */
static void test_superseded(void **state)
{
	bw_heartbeat_answer_t answer = { .result = BW_ORDER_FENCED };
	orders_t o;

	(void)state;
	begin_with_worker(&o);
	bw_sched_heartbeat_answered(o.sched, o.now_ms, "w1", &answer);
	assert_int_equal(o.superseded, 1);
	bw_sched_destroy(o.sched);
}

static void init_lasting_row(bw_run_row_t *row, uint32_t index)
{
	memset(row, 0, sizeof(*row));
	g_strlcpy(row->task.job, JOB_A, sizeof(row->task.job));
	row->task.index = index;
	row->run = 1;
	row->checkpoint = "";
	row->progress = 100;
}

/*
 * A task that the earlier owner was stopping may still be listed as running, so
 * no other task of its step is moved right after a takeover.
 */
static void test_no_move_right_after_takeover(void **state)
{
	bw_run_row_t rows[2];
	uint8_t *data;
	size_t bytes;
	orders_t before;
	orders_t o;

	(void)state;
	begin_with_worker(&before);
	add_job(&before, JOB_A, 2, true, 1000, 0);
	run(&before, 10);
	data = bw_sched_pack(before.sched, &bytes);
	bw_sched_destroy(before.sched);
	begin(&o);
	assert_int_equal(bw_sched_load(o.sched, o.now_ms, data, bytes), BW_OK);
	g_free(data);
	add_worker(&o, "w1");
	add_job(&o, JOB_A, 2, true, 1000, 0);
	init_lasting_row(&rows[0], 0);
	init_lasting_row(&rows[1], 1);
	answer_heartbeat(&o, "w1", rows, 2, NULL, 0);
	save(&o);
	bw_sched_worker_cordon(o.sched, "w1", true);
	run(&o, 10);
	assert_int_equal(o.stop_count, 0);
	o.now_ms += 1500;
	answer_heartbeat(&o, "w1", rows, 2, NULL, 0);
	run(&o, 10);
	assert_int_equal(o.stop_count, 1);
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
	add_job(&o, JOB_EARLY, 1, false, 1500, 500);
	run(&o, 10);
	bw_sched_start_answered(o.sched, o.now_ms, o.starts[0].worker,
				&o.starts[0].task, 1, BW_ORDER_OK, 0);
	bw_sched_worker_cordon(o.sched, o.starts[0].worker, true);
	run(&o, 10);
	o.now_ms += 3500;
	answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	answer_heartbeat(&o, "w3", NULL, 0, NULL, 0);
	add_job(&o, JOB_A, 8, false, 1500, 500);
	heartbeats = o.heartbeat_count;
	run(&o, 0);
	assert_int_equal(o.start_count, 9);
	assert_int_equal(o.stop_count, 1);
	assert_int_equal(o.stops_at_start, 1);
	assert_int_equal(o.heartbeat_count, heartbeats + 2);
	assert_int_equal(o.heartbeats_at_start, heartbeats + 2);
	bw_sched_destroy(o.sched);
}

/* Takes over the pool of an owner whose job JOB_A has one task, on w1. Worker
 * w2 does not answer the new owner. */
static void take_over_job_beside_silent_worker(orders_t *o, bool lasting,
					       bool in_order)
{
	orders_t before;
	uint8_t *data;
	size_t bytes;

	begin_with_worker(&before);
	add_worker(&before, "w2");
	add_job(&before, JOB_A, 1, lasting, 1000, 0);
	run(&before, 10);
	assert_int_equal(before.start_count, 1);
	assert_string_equal(before.starts[0].worker, "w1");
	if (in_order)
		bw_sched_hand_over(before.sched);
	data = bw_sched_pack(before.sched, &bytes);
	bw_sched_destroy(before.sched);
	begin(o);
	assert_int_equal(bw_sched_load(o->sched, o->now_ms, data, bytes),
			 BW_OK);
	g_free(data);
	add_worker(o, "w1");
	add_job(o, JOB_A, 1, lasting, 1000, 0);
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
	init_lasting_row(&row, 0);
	answer_heartbeat(&o, "w1", &row, 1, NULL, 0);
	save(&o);
	run(&o, 10);
	assert_int_equal(o.start_count, 0);
	assert_false(bw_sched_recovered(o.sched));
	end.task = row.task;
	o.now_ms += 1000;
	answer_heartbeat(&o, "w1", NULL, 0, &end, 1);
	run(&o, 10);
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
	answer_heartbeat(o, "w1", NULL, 0, &end, 1);
	save(o);
	run(o, 10);
	o->now_ms += 1000;
	answer_heartbeat(o, "w1", NULL, 0, NULL, 0);
	run(o, 10);
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
	init_lasting_row(&row, 0);
	row.run = 3;
	first.task = row.task;
	second.task = row.task;
	second.run = 2;
	third.task = row.task;
	third.run = 3;
	third.number = 2;
	answer_heartbeat(&o, "w1", &row, 1, &first, 1);
	save(&o);
	run(&o, 10);
	o.now_ms += 1000;
	answer_heartbeat(&o, "w1", NULL, 0, &third, 1);
	run(&o, 100);
	assert_false(bw_sched_recovered(o.sched));
	assert_int_equal(o.start_count, 0);
	answer_heartbeat(&o, "w2", NULL, 0, &second, 1);
	run(&o, 100);
	assert_true(bw_sched_recovered(o.sched));
	assert_int_equal(o.start_count, 0);
	save(&o);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_A), BW_JOB_FAILED);
	bw_sched_destroy(o.sched);
}

/* Hands the pool of an owner over in order, with its jobs and worker w1. */
static void hand_on(orders_t *from, orders_t *to)
{
	uint8_t *data;
	size_t bytes;

	bw_sched_hand_over(from->sched);
	data = bw_sched_pack(from->sched, &bytes);
	bw_sched_destroy(from->sched);
	begin(to);
	assert_int_equal(bw_sched_load(to->sched, to->now_ms, data, bytes),
			 BW_OK);
	g_free(data);
	add_worker(to, "w1");
	add_job(to, JOB_A, 1, true, 1000, 0);
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
	answer_heartbeat(&second, "w1", NULL, 0, NULL, 0);
	save(&second);
	run(&second, 10);
	assert_false(bw_sched_recovered(second.sched));
	hand_on(&second, &third);
	assert_int_not_equal(bw_sched_handed_over_by(third.sched), 0);
	add_job(&third, JOB_B, 1, false, 1000, 500);
	answer_heartbeat(&third, "w1", NULL, 0, NULL, 0);
	save(&third);
	run(&third, 10);
	third.now_ms += 1000;
	answer_heartbeat(&third, "w1", NULL, 0, NULL, 0);
	run(&third, 10);
	assert_false(bw_sched_recovered(third.sched));
	assert_int_equal(third.start_count, 1);
	assert_string_equal(third.starts[0].task.job, JOB_B);
	bw_sched_destroy(third.sched);
}

/* While the owner before may still act, nothing is known for certain. */
static void test_handover_beside_acting_owner_is_not_orderly(void **state)
{
	orders_t second;
	orders_t third;

	(void)state;
	take_over_beside_silent_worker(&second, true);
	answer_heartbeat(&second, "w1", NULL, 0, NULL, 0);
	save(&second);
	run(&second, 10);
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
	answer_heartbeat(&second, "w1", NULL, 0, NULL, 0);
	save(&second);
	run(&second, 10);
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
	uint8_t *data;
	size_t bytes;

	(void)state;
	begin_with_worker(&before);
	add_worker(&before, "w2");
	answer_heartbeat(&before, "w2", NULL, 0, NULL, 0);
	bw_sched_worker_unregistered(before.sched, before.now_ms, "w2");
	save(&before);
	run(&before, 10);
	bw_sched_hand_over(before.sched);
	data = bw_sched_pack(before.sched, &bytes);
	bw_sched_destroy(before.sched);
	begin(&o);
	assert_int_equal(bw_sched_load(o.sched, o.now_ms, data, bytes), BW_OK);
	g_free(data);
	add_worker(&o, "w1");
	run(&o, 10);
	assert_false(bw_sched_recovered(o.sched));
	answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	run(&o, 10);
	assert_true(bw_sched_recovered(o.sched));
	bw_sched_destroy(o.sched);
}

/* A gone worker that may run something is handed over. */
static void test_gone_worker_with_a_run_is_handed_over(void **state)
{
	orders_t before;
	orders_t o;
	uint8_t *data;
	size_t bytes;

	(void)state;
	begin_with_worker(&before);
	add_job(&before, JOB_A, 1, true, 1000, 0);
	run(&before, 10);
	assert_int_equal(before.start_count, 1);
	bw_sched_worker_unregistered(before.sched, before.now_ms, "w1");
	bw_sched_hand_over(before.sched);
	data = bw_sched_pack(before.sched, &bytes);
	bw_sched_destroy(before.sched);
	begin(&o);
	assert_int_equal(bw_sched_load(o.sched, o.now_ms, data, bytes), BW_OK);
	g_free(data);
	add_job(&o, JOB_A, 1, true, 1000, 0);
	save(&o);
	run(&o, 10);
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
	answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	save(&o);
	o.now_ms += 1000;
	answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	run(&o, 10);
	assert_int_equal(o.start_count, 0);
	bw_sched_destroy(o.sched);
}

/** Timeout of an order to a worker. */
#define ORDER_TIMEOUT_MS 700

/** A link that carries the starts of an owner one after the other. */
typedef struct link {
	orders_t *o;
	int64_t carry_ms; /**< Time for one start. */
	int64_t free_ms; /**< When all starts so far are carried. */
	uint32_t answered;
	uint32_t lost;
	uint32_t ended; /**< Runs, in the order of their starts. */
	int64_t due_ms[ORDERS_MAX]; /**< When the answer comes. */
	bool carried[ORDERS_MAX]; /**< It comes before the timeout. */
} link_t;

/* Puts the starts that the scheduler sent since the last call on the link. */
static void carry_starts(link_t *l, uint32_t sent_before)
{
	const orders_t *o = l->o;
	uint32_t i;

	for (i = sent_before; i < o->start_count; i++) {
		l->free_ms = MAX(l->free_ms, o->now_ms) + l->carry_ms;
		l->carried[i] = l->free_ms - o->now_ms < ORDER_TIMEOUT_MS;
		l->due_ms[i] = l->carried[i] ? l->free_ms
					     : o->now_ms + ORDER_TIMEOUT_MS;
	}
}

/* Answers the starts that are due, in the order in which they were sent. */
static void answer_starts(link_t *l)
{
	orders_t *o = l->o;

	while (l->answered < o->start_count &&
	       l->due_ms[l->answered] <= o->now_ms) {
		uint32_t i = l->answered++;

		l->lost += !l->carried[i];
		bw_sched_start_answered(
			o->sched, o->now_ms, o->starts[i].worker,
			&o->starts[i].task, o->starts[i].run,
			l->carried[i] ? BW_ORDER_OK : BW_ORDER_LOST, 0);
	}
}

/* Answers a heartbeat with the runs that the worker has begun. */
static void list_runs(link_t *l, const bw_end_row_t *end)
{
	orders_t *o = l->o;
	bw_run_row_t *rows = g_new0(bw_run_row_t, ORDERS_MAX);
	uint32_t count = 0;
	uint32_t i;

	for (i = l->ended; i < l->answered; i++) {
		if (!l->carried[i])
			continue;
		rows[count].task = o->starts[i].task;
		rows[count].run = o->starts[i].run;
		rows[count++].checkpoint = "";
	}
	answer_heartbeat(o, "w1", rows, count, end, end ? 1 : 0);
	g_free(rows);
}

/* Runs the scheduler for a time; the worker answers each heartbeat. */
static void run_with_link(link_t *l, int64_t ms)
{
	orders_t *o = l->o;
	int64_t end_ms = o->now_ms + ms;

	while (o->now_ms < end_ms) {
		uint32_t sent = o->start_count;

		run(o, 1);
		carry_starts(l, sent);
		answer_starts(l);
		if (o->now_ms % 100 == 0)
			list_runs(l, NULL);
	}
}

static void begin_with_link(link_t *l, orders_t *o, int64_t carry_ms)
{
	memset(l, 0, sizeof(*l));
	l->o = o;
	l->carry_ms = carry_ms;
	begin(o);
	add_worker_with(o, "w1", 1000000);
	answer_heartbeat(o, "w1", NULL, 0, NULL, 0);
	save(o);
	run(o, 10);
}

/*
 * A backlog of starts that the node's link carries in 1.5 s goes out bit by
 * bit, so that none waits until its timeout.
 */
static void test_starts_are_not_lost_on_a_slow_link(void **state)
{
	orders_t o;
	link_t l;

	(void)state;
	begin_with_link(&l, &o, 3);
	add_job(&o, JOB_A, 500, false, 1000, 60000);
	run_with_link(&l, 890);
	assert_int_equal(l.lost, 0);
	run_with_link(&l, 1200);
	assert_int_equal(l.lost, 0);
	assert_int_equal(o.start_count, 500);
	assert_int_equal(l.answered, 500);
	bw_sched_destroy(o.sched);
}

/* Lasting tasks take the first places that become free behind a slow link. */
static void test_lasting_tasks_do_not_wait_for_others(void **state)
{
	orders_t o;
	link_t l;
	uint32_t sent;
	uint32_t i;

	(void)state;
	begin_with_link(&l, &o, 3);
	add_job(&o, JOB_A, 500, false, 1000, 60000);
	run_with_link(&l, 20);
	sent = o.start_count;
	assert_true(sent < 250);
	add_job(&o, JOB_B, 24, true, 1000, 0);
	run_with_link(&l, 400);
	assert_true(o.start_count >= sent + 24);
	for (i = sent; i < sent + 24; i++)
		assert_string_equal(o.starts[i].task.job, JOB_B);
	bw_sched_destroy(o.sched);
}

/* Where answers come at once, a backlog starts without a pause. */
static void test_quick_answers_hold_nothing_back(void **state)
{
	orders_t o;
	link_t l;

	(void)state;
	begin_with_link(&l, &o, 0);
	add_job(&o, JOB_A, 500, false, 1000, 60000);
	run_with_link(&l, 10);
	assert_int_equal(o.start_count, 500);
	assert_int_equal(l.lost, 0);
	bw_sched_destroy(o.sched);
}

/** Jobs that wait while the pool is full. */
#define BACKLOG_JOBS 200
/** Runs that end, one each millisecond. */
#define ENDING_RUNS 100

/* Ends the run that was started first. */
static void end_oldest_run(link_t *l)
{
	bw_end_row_t end = { .number = l->ended + 1,
			     .task = l->o->starts[l->ended].task,
			     .run = 1,
			     .kind = BW_END_DONE };

	l->ended++;
	list_runs(l, &end);
}

/*
 * Room that becomes free is used in the same round, however many jobs wait:
 * ranking them costs little, and waiting for more room costs worth.
 */
static void test_freed_room_is_used_at_once(void **state)
{
	orders_t o;
	link_t l;
	uint32_t i;
	char id[20];

	(void)state;
	begin_with_link(&l, &o, 0);
	add_job(&o, JOB_A, 500, false, 2000, 60000);
	run_with_link(&l, 10);
	assert_int_equal(o.start_count, 500);
	for (i = 0; i < BACKLOG_JOBS; i++) {
		g_snprintf(id, sizeof(id), "%016x", i + 1);
		add_job(&o, id, 1, false, 2000, 60000);
	}
	run_with_link(&l, 10);
	for (i = 0; i < ENDING_RUNS; i++) {
		end_oldest_run(&l);
		run_with_link(&l, 1);
		assert_int_equal(o.start_count, 501 + i);
	}
	bw_sched_destroy(o.sched);
}

/* Where little waits, a task that ends is replaced at once. */
static void test_short_queue_is_placed_at_once(void **state)
{
	orders_t o;
	link_t l;

	(void)state;
	begin_with_link(&l, &o, 0);
	add_job(&o, JOB_A, 500, false, 2000, 60000);
	run_with_link(&l, 10);
	add_job(&o, JOB_B, 5, false, 2000, 60000);
	run_with_link(&l, 2);
	end_oldest_run(&l);
	run_with_link(&l, 1);
	assert_int_equal(o.start_count, 501);
	end_oldest_run(&l);
	run_with_link(&l, 1);
	assert_int_equal(o.start_count, 502);
	bw_sched_destroy(o.sched);
}

/* All tasks of a gang start together, however many starts are in flight. */
static void test_gang_is_not_split(void **state)
{
	bw_job_record_t record = { .queue = g_strdup("q"),
				   .spec = bw_job_spec_new(1) };
	orders_t o;
	link_t l;

	(void)state;
	begin_with_link(&l, &o, 3);
	record.accepted_ms = o.now_ms;
	record.spec->text = g_strdup("text");
	record.spec->steps[0].count = 300;
	record.spec->steps[0].gang = true;
	record.spec->steps[0].need.cpu_millis = 100;
	record.spec->steps[0].estimate_ms = 500;
	bw_sched_add_job(o.sched, o.now_ms, o.now_ms, JOB_A, &record);
	bw_job_record_clear(&record);
	run(&o, 10);
	assert_int_equal(o.start_count, 300);
	bw_sched_destroy(o.sched);
}

/* How the starts of a worker end before their answers. */
typedef void (*end_starts_fn)(orders_t *o);

static void end_with_worker(orders_t *o)
{
	bw_sched_worker_dead(o->sched, "w1", "test");
}

static void end_with_restart(orders_t *o)
{
	bw_heartbeat_answer_t answer = { .result = BW_ORDER_OK,
					 .sent_ms = o->now_ms,
					 .clock_ms = 100,
					 .started_ms = 6 };

	bw_sched_heartbeat_answered(o->sched, o->now_ms, "w1", &answer);
}

static void end_by_listing_ends(orders_t *o)
{
	bw_end_row_t *ends = g_new0(bw_end_row_t, o->start_count);
	uint32_t i;

	for (i = 0; i < o->start_count; i++)
		ends[i] = (bw_end_row_t){ .number = i + 1,
					  .task = o->starts[i].task,
					  .run = o->starts[i].run,
					  .kind = BW_END_FAILED,
					  .checkpoint = "" };
	answer_heartbeat(o, "w1", NULL, 0, ends, o->start_count);
	g_free(ends);
}

/* Stops the tasks, and lists none once the stops have certainly ended. */
static void end_by_cancelling(orders_t *o)
{
	uint32_t i;

	bw_sched_cancel(o->sched, o->now_ms, JOB_A);
	for (i = 0; i < o->stop_count; i++)
		bw_sched_stop_answered(o->sched, o->now_ms, "w1",
				       &o->stops[i].task, o->stops[i].run,
				       BW_ORDER_OK);
	o->now_ms += 1000;
	answer_heartbeat(o, "w1", NULL, 0, NULL, 0);
	run(o, 10);
}

static void answer_all_starts(orders_t *o, uint32_t count,
			      bw_order_result_t result)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		bw_sched_start_answered(o->sched, o->now_ms,
					o->starts[i].worker, &o->starts[i].task,
					o->starts[i].run, result, 0);
}

static void end_by_refusal(orders_t *o)
{
	answer_all_starts(o, o->start_count, BW_ORDER_NO_RESOURCES);
}

static void end_by_loss(orders_t *o)
{
	answer_all_starts(o, o->start_count, BW_ORDER_LOST);
}

/*
 * However a start in flight ends, it leaves its place in the window: a place
 * that is kept would close the window for ever. Its late answer changes
 * nothing.
 */
static void test_starts_leave_the_window_however_they_end(void **state)
{
	static const end_starts_fn ways[] = {
		end_with_worker,   end_with_restart, end_by_listing_ends,
		end_by_cancelling, end_by_refusal,   end_by_loss
	};
	uint32_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(ways); i++) {
		orders_t o;
		uint32_t first;
		uint32_t second;

		begin(&o);
		add_worker_with(&o, "w1", 1000000);
		answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
		save(&o);
		add_job(&o, JOB_A, 300, false, 1000, 60000);
		run(&o, 10);
		first = o.start_count;
		assert_in_range(first, 1, 299);
		ways[i](&o);
		answer_all_starts(&o, first, BW_ORDER_LOST);
		add_worker_with(&o, "w2", 1000000);
		answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
		save(&o);
		add_job(&o, JOB_B, 300, false, 1000, 60000);
		o.now_ms += 200;
		answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
		run(&o, 10);
		second = o.start_count - first;
		/* The window has shrunk at most once. */
		assert_in_range(second, first / 2, 299);
		answer_all_starts(&o, o.start_count, BW_ORDER_OK);
		run(&o, 10);
		assert_true(o.start_count > first + second);
		bw_sched_destroy(o.sched);
	}
}

/* Data that is not a pool record is rejected. */
static void test_bad_state(void **state)
{
	orders_t o;

	(void)state;
	begin(&o);
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
		cmocka_unit_test(test_little_work_first),
		cmocka_unit_test(test_over_goes_last),
		cmocka_unit_test(test_tasks_share_workers),
		cmocka_unit_test(test_fullest_is_found),
		cmocka_unit_test(test_sick_worker_is_last),
		cmocka_unit_test(test_silent_worker_gets_no_grant),
		cmocka_unit_test(test_superseded),
		cmocka_unit_test(test_no_move_right_after_takeover),
		cmocka_unit_test(test_run_that_ends_after_takeover_is_replaced),
		cmocka_unit_test(
			test_last_attempt_waits_for_ends_of_the_earlier_owner),
		cmocka_unit_test(
			test_end_after_orderly_handover_frees_its_task),
		cmocka_unit_test(test_end_after_crash_frees_no_task),
		cmocka_unit_test(test_handover_before_recovery_is_orderly),
		cmocka_unit_test(
			test_handover_beside_acting_owner_is_not_orderly),
		cmocka_unit_test(test_unknown_runs_are_handed_on),
		cmocka_unit_test(test_gone_workers_are_not_handed_over),
		cmocka_unit_test(test_gone_worker_with_a_run_is_handed_over),
		cmocka_unit_test(test_unlisted_run_is_waited_for),
		cmocka_unit_test(test_heartbeats_wait_for_no_start),
		cmocka_unit_test(test_starts_are_not_lost_on_a_slow_link),
		cmocka_unit_test(test_lasting_tasks_do_not_wait_for_others),
		cmocka_unit_test(test_quick_answers_hold_nothing_back),
		cmocka_unit_test(test_freed_room_is_used_at_once),
		cmocka_unit_test(test_short_queue_is_placed_at_once),
		cmocka_unit_test(test_gang_is_not_split),
		cmocka_unit_test(test_starts_leave_the_window_however_they_end),
		cmocka_unit_test(test_bad_state),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
