/* Waiting for a place near a task's data, or for one rack for a gang. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "sched_orders.h"

/** Processor of a small worker, and of a task that fills it. */
#define SMALL 4000
/** The same of a large one, beside which a small one is little room. */
#define LARGE 20000
#define JOB_C "00000000000000dd"
/** Expected duration of a task near its data. */
#define WORK_MS 1000
/** Time to the objective of such a job, by the terms of the queue. */
#define OBJECTIVE_MS 2200
/** Pause between runs of the scheduler where time passes. */
#define STEP_MS 10

/** A job of one step. */
typedef struct one_step {
	const char *id;
	const char *rack; /**< NULL: its data is in none. */
	uint32_t tasks;
	int64_t cpu_millis;
	uint32_t estimate_ms;
	int64_t age_ms; /**< Since it was accepted. */
	bool gang; /**< Of one rack. */
	bool lasting;
} one_step_t;

static void add_job(orders_t *o, const one_step_t *job)
{
	bw_job_record_t record = { .queue = g_strdup("q"),
				   .accepted_ms = o->now_ms - job->age_ms,
				   .spec = bw_job_spec_new(1) };
	bw_step_spec_t *step = &record.spec->steps[0];

	record.spec->text = g_strdup("text");
	step->count = job->tasks;
	step->need.cpu_millis = job->cpu_millis;
	step->estimate_ms = job->estimate_ms;
	step->rack = g_strdup(job->rack);
	step->gang = job->gang;
	step->same_rack = job->gang;
	step->lasting = job->lasting;
	step->away_max = 1;
	bw_sched_add_job(o->sched, o->now_ms, o->now_ms, job->id, &record);
	bw_job_record_clear(&record);
}

static bw_worker_info_t worker_info(const char *id, const char *rack,
				    int64_t cpu_millis)
{
	return (bw_worker_info_t){ .id = id,
				   .address = "10.0.0.1:1",
				   .capacity = { cpu_millis, 8000, 0 },
				   .rack = rack,
				   .machine = id,
				   .started_ms = 5 };
}

static void register_worker(orders_t *o, const char *id, const char *rack,
			    int64_t cpu_millis)
{
	bw_worker_info_t info = worker_info(id, rack, cpu_millis);

	bw_sched_worker_registered(o->sched, o->now_ms, &info);
}

static void add_worker(orders_t *o, const char *id, const char *rack,
		       int64_t cpu_millis)
{
	register_worker(o, id, rack, cpu_millis);
	orders_answer_heartbeat(o, id, NULL, 0, NULL, 0);
}

/* Begins a pool with a worker w1 in rack r1 and a small one, w2, in r2. */
static void begin_pool(orders_t *o, double remote_factor, int64_t near_millis)
{
	orders_begin_remote(o, remote_factor);
	add_worker(o, "w1", "r1", near_millis);
	add_worker(o, "w2", "r2", SMALL);
	orders_save(o);
	orders_run(o, STEP_MS);
}

/* Fills w1 with JOB_A, which runs there for a time that is known. */
static void fill_near(orders_t *o, int64_t cpu_millis, uint32_t estimate_ms)
{
	const one_step_t job = { .id = JOB_A,
				 .rack = "r1",
				 .tasks = 1,
				 .cpu_millis = cpu_millis,
				 .estimate_ms = estimate_ms };

	add_job(o, &job);
	orders_run(o, 0);
	assert_int_equal(o->start_count, 1);
	assert_string_equal(o->starts[0].worker, "w1");
	bw_sched_start_answered(o->sched, o->now_ms, "w1", &o->starts[0].task,
				o->starts[0].run, BW_ORDER_OK, 0);
}

static void end_near(orders_t *o)
{
	bw_end_row_t end = { .number = 1,
			     .task = o->starts[0].task,
			     .run = o->starts[0].run,
			     .kind = BW_END_DONE,
			     .checkpoint = "" };

	orders_answer_heartbeat(o, "w1", NULL, 0, &end, 1);
	orders_run(o, 0);
}

static const one_step_t job_b = { .id = JOB_B,
				  .rack = "r1",
				  .tasks = 1,
				  .cpu_millis = SMALL,
				  .estimate_ms = WORK_MS };

/* Fills the pool for long: what a longer run holds is taken from others. */
static void add_overload(orders_t *o)
{
	const one_step_t others = { .id = JOB_C,
				    .tasks = 10,
				    .cpu_millis = 2 * SMALL,
				    .estimate_ms = WORK_MS };

	add_job(o, &others);
}

static void add_job_b(orders_t *o)
{
	add_job(o, &job_b);
	orders_run(o, 0);
}

static void add_job_b_of_age(orders_t *o, int64_t age_ms)
{
	one_step_t job = job_b;

	job.age_ms = age_ms;
	add_job(o, &job);
	orders_run(o, 0);
}

static void assert_started(const orders_t *o, uint32_t number,
			   const char *worker)
{
	assert_int_equal(o->start_count, number);
	assert_string_equal(o->starts[number - 1].worker, worker);
}

static void test_waits_for_a_near_place(void **state)
{
	orders_t o;

	(void)state;
	begin_pool(&o, 3.0, SMALL);
	fill_near(&o, SMALL, WORK_MS);
	add_job_b(&o);
	assert_int_equal(o.start_count, 1);
	orders_run(&o, 900);
	assert_int_equal(o.start_count, 1);
	end_near(&o);
	assert_started(&o, 2, "w1");
	bw_sched_destroy(o.sched);
}

static void test_starts_elsewhere_at_once(void **state)
{
	orders_t o;

	(void)state;
	begin_pool(&o, 3.0, SMALL);
	fill_near(&o, SMALL, 2 * WORK_MS);
	add_job_b(&o);
	assert_started(&o, 2, "w2");
	bw_sched_destroy(o.sched);
}

static void test_without_the_setting_none_waits(void **state)
{
	orders_t o;

	(void)state;
	begin_pool(&o, 0.0, SMALL);
	fill_near(&o, SMALL, WORK_MS);
	add_job_b(&o);
	assert_started(&o, 2, "w2");
	bw_sched_destroy(o.sched);
}

/* Tasks that wait come after those that wait already. */
static void test_counts_those_ahead(void **state)
{
	one_step_t two = job_b;
	orders_t o;

	(void)state;
	two.tasks = 2;
	begin_pool(&o, 3.0, SMALL);
	fill_near(&o, SMALL, WORK_MS);
	o.now_ms += WORK_MS / 2;
	add_job(&o, &two);
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	orders_run(&o, 0);
	/* They would have the place after 0.5 and 1.5 s; 1.2 s pay. */
	assert_started(&o, 2, "w2");
	assert_int_equal(o.starts[1].task.index, 1);
	bw_sched_destroy(o.sched);
}

/* Work that wants no rack takes the room that a waiting task leaves. */
static void test_others_go_on(void **state)
{
	const one_step_t other = { .id = JOB_C,
				   .tasks = 1,
				   .cpu_millis = SMALL,
				   .estimate_ms = WORK_MS };
	orders_t o;

	(void)state;
	begin_pool(&o, 3.0, SMALL);
	fill_near(&o, SMALL, WORK_MS);
	add_job(&o, &job_b);
	add_job(&o, &other);
	orders_run(&o, 0);
	assert_started(&o, 2, "w2");
	assert_string_equal(o.starts[1].task.job, JOB_C);
	bw_sched_destroy(o.sched);
}

/* Other work leaves the room that is waited for alone, if there is some
 * elsewhere; else the least room that does would be taken first. */
static void test_others_spare_the_rack(void **state)
{
	one_step_t other = { .id = JOB_C,
			     .tasks = 2,
			     .cpu_millis = SMALL / 2,
			     .estimate_ms = WORK_MS };
	orders_t o;

	(void)state;
	begin_pool(&o, 3.0, SMALL + SMALL / 2);
	fill_near(&o, SMALL, WORK_MS);
	add_job_b(&o);
	assert_int_equal(o.start_count, 1);
	add_job(&o, &other);
	orders_run(&o, STEP_MS);
	assert_int_equal(o.start_count, 3);
	assert_string_equal(o.starts[1].worker, "w2");
	assert_string_equal(o.starts[2].worker, "w2");
	other.id = "00000000000000ee";
	other.tasks = 1;
	add_job(&o, &other);
	orders_run(&o, STEP_MS);
	assert_started(&o, 4, "w1");
	bw_sched_destroy(o.sched);
}

static void test_lasting_task_does_not_wait(void **state)
{
	one_step_t lasting = job_b;
	orders_t o;

	(void)state;
	lasting.lasting = true;
	begin_pool(&o, 3.0, SMALL);
	fill_near(&o, SMALL, WORK_MS / 4);
	add_job(&o, &lasting);
	orders_run(&o, 0);
	assert_started(&o, 2, "w2");
	bw_sched_destroy(o.sched);
}

static void cordon(orders_t *o)
{
	bw_sched_worker_cordon(o->sched, "w1", true);
}

static void maintain(orders_t *o)
{
	bw_sched_worker_maintenance_due(o->sched, "w1", true);
}

static void drain(orders_t *o)
{
	bw_worker_info_t info = worker_info("w1", "r1", SMALL);

	info.draining = true;
	bw_sched_worker_registered(o->sched, o->now_ms, &info);
}

static void crash(orders_t *o)
{
	bw_sched_worker_unregistered(o->sched, o->now_ms, "w1");
}

static void move(orders_t *o)
{
	bw_sched_worker_dead(o->sched, "w1", "moved");
}

static void restart(orders_t *o)
{
	bw_worker_info_t info = worker_info("w1", "r1", SMALL);

	info.started_ms = 6;
	bw_sched_worker_registered(o->sched, o->now_ms, &info);
}

static void fall_silent(orders_t *o)
{
	orders_fail_heartbeat(o, "w1");
}

/* It refuses another start as unhealthy. */
static void sicken(orders_t *o)
{
	const one_step_t small = { .id = JOB_C,
				   .rack = "r1",
				   .tasks = 1,
				   .cpu_millis = SMALL / 2,
				   .estimate_ms = WORK_MS };
	uint32_t started = o->start_count;

	add_job(o, &small);
	orders_run(o, 0);
	assert_started(o, started + 1, "w1");
	bw_sched_start_answered(o->sched, o->now_ms, "w1",
				&o->starts[started].task, 1, BW_ORDER_UNHEALTHY,
				0);
	bw_sched_cancel(o->sched, o->now_ms, JOB_C);
}

/** A way in which a place vanishes. */
typedef struct vanishing {
	const char *name;
	void (*vanish)(orders_t *o);
	/** Of w1; a second task fits on a larger one. */
	int64_t near_millis;
} vanishing_t;

static const vanishing_t vanishings[] = {
	{ "cordon", cordon, SMALL },
	{ "maintenance", maintain, SMALL },
	{ "drain", drain, SMALL },
	{ "crash", crash, SMALL },
	{ "move", move, SMALL },
	{ "restart", restart, SMALL },
	{ "silence", fall_silent, SMALL },
	{ "bad health", sicken, SMALL + SMALL / 2 },
};

/* Whether JOB_B has been started away from its data. */
static bool is_elsewhere(const orders_t *o)
{
	uint32_t i;

	for (i = 0; i < o->start_count; i++)
		if (!strcmp(o->starts[i].task.job, JOB_B) &&
		    strcmp(o->starts[i].worker, "w1") != 0)
			return true;
	return false;
}

static void test_place_vanishes(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(vanishings); i++) {
		orders_t o;

		print_message("%s\n", vanishings[i].name);
		begin_pool(&o, 3.0, vanishings[i].near_millis);
		/* JOB_A may need another place as well. */
		add_worker(&o, "w3", "r2", SMALL);
		orders_save(&o);
		fill_near(&o, SMALL, WORK_MS);
		add_job_b(&o);
		assert_int_equal(o.start_count, 1);
		vanishings[i].vanish(&o);
		orders_run(&o, 1);
		assert_true(is_elsewhere(&o));
		bw_sched_destroy(o.sched);
	}
}

/* Two owners in a row decide by the age of the job. */
static void test_new_owner_does_not_wait_anew(void **state)
{
	/* Longest delay by a wait while the pool is calm. */
	const int64_t calm_delay_ms = 2000;
	one_step_t fresh = job_b;
	bw_run_row_t row = { .run = 1, .checkpoint = "" };
	orders_t first;
	orders_t second;

	(void)state;
	fresh.id = JOB_C;
	begin_pool(&first, 3.0, SMALL);
	fill_near(&first, SMALL, WORK_MS);
	row.task = first.starts[0].task;
	add_job_b(&first);
	assert_int_equal(first.start_count, 1);
	orders_succeed(&first, &second);
	second.now_ms += calm_delay_ms;
	add_job(&second, &(one_step_t){ .id = JOB_A,
					.rack = "r1",
					.tasks = 1,
					.cpu_millis = SMALL,
					.estimate_ms = WORK_MS,
					.age_ms = calm_delay_ms });
	add_job_b_of_age(&second, calm_delay_ms);
	register_worker(&second, "w1", "r1", SMALL);
	orders_answer_heartbeat(&second, "w1", &row, 1, NULL, 0);
	add_worker(&second, "w2", "r2", 2 * SMALL);
	orders_save(&second);
	/* Stops of the first owner may still be carried out until then. */
	second.now_ms += 510;
	orders_answer_heartbeat(&second, "w1", &row, 1, NULL, 0);
	orders_answer_heartbeat(&second, "w2", NULL, 0, NULL, 0);
	orders_run(&second, STEP_MS);
	assert_started(&second, 1, "w2");
	assert_string_equal(second.starts[0].task.job, JOB_B);
	add_job(&second, &fresh);
	orders_run(&second, STEP_MS);
	assert_int_equal(second.start_count, 1);
	bw_sched_destroy(second.sched);
}

/* A job waits only while it can be in time near its data: the place that it
 * waits for does not become free as expected. */
static void test_goes_before_it_is_late(void **state)
{
	const int64_t point_ms = OBJECTIVE_MS - WORK_MS;
	bw_run_row_t row = { .run = 1, .checkpoint = "" };
	int64_t begin_ms;
	orders_t o;

	(void)state;
	begin_pool(&o, 3.0, LARGE);
	fill_near(&o, LARGE, WORK_MS);
	row.task = o.starts[0].task;
	begin_ms = o.now_ms;
	add_job_b(&o);
	assert_int_equal(o.start_count, 1);
	while (o.start_count == 1 && o.now_ms < begin_ms + 2 * OBJECTIVE_MS) {
		orders_run(&o, STEP_MS);
		orders_answer_heartbeat(&o, "w1", &row, 1, NULL, 0);
		orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	}
	assert_started(&o, 2, "w2");
	assert_in_range(o.now_ms - begin_ms, STEP_MS, point_ms);
	bw_sched_destroy(o.sched);
}

/* The place is expected soon enough for the work, but after that point. */
static void test_point_is_before_the_place(void **state)
{
	orders_t o;

	(void)state;
	begin_pool(&o, 3.0, LARGE);
	fill_near(&o, LARGE, WORK_MS);
	add_job_b_of_age(&o, 100);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
	begin_pool(&o, 3.0, LARGE);
	fill_near(&o, LARGE, WORK_MS);
	add_job_b_of_age(&o, 300);
	assert_started(&o, 2, "w2");
	bw_sched_destroy(o.sched);
}

/* A job that is in time elsewhere loses nothing there. */
static void test_job_in_time_elsewhere_goes(void **state)
{
	orders_t o;

	(void)state;
	begin_pool(&o, 1.5, LARGE);
	fill_near(&o, LARGE, 100);
	add_job_b(&o);
	assert_started(&o, 2, "w2");
	bw_sched_destroy(o.sched);
}

/* The job can be done before its deadline elsewhere only if it goes soon. */
static void test_deadline_comes_first(void **state)
{
	const double factor = 6.0;
	const int64_t point_ms =
		3 * OBJECTIVE_MS - (int64_t)(factor * (double)WORK_MS);
	orders_t o;

	(void)state;
	begin_pool(&o, factor, LARGE);
	fill_near(&o, LARGE, 300);
	add_job_b_of_age(&o, point_ms - 400);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
	begin_pool(&o, factor, LARGE);
	fill_near(&o, LARGE, 300);
	add_job_b_of_age(&o, point_ms - 200);
	assert_started(&o, 2, "w2");
	bw_sched_destroy(o.sched);
}

/* A late job does what finishes it soonest: near after 0.4 s, or at once with
 * 0.5 s more work. In a full pool it leaves the near room to others. */
static void test_late_job_finishes_soonest(void **state)
{
	const int64_t late_ms = OBJECTIVE_MS - WORK_MS + 100;
	orders_t o;

	(void)state;
	begin_pool(&o, 1.5, SMALL);
	fill_near(&o, SMALL, 400);
	add_job_b_of_age(&o, late_ms);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
	begin_pool(&o, 1.5, SMALL);
	fill_near(&o, SMALL, 600);
	add_job_b_of_age(&o, late_ms);
	assert_started(&o, 2, "w2");
	bw_sched_destroy(o.sched);
	begin_pool(&o, 1.5, LARGE);
	fill_near(&o, LARGE, 400);
	add_job_b_of_age(&o, late_ms);
	assert_started(&o, 2, "w2");
	bw_sched_destroy(o.sched);
}

/* In a full pool too a job that is in time elsewhere takes its place there, and
 * one that would be late waits. */
static void test_overload(void **state)
{
	orders_t o;

	(void)state;
	begin_pool(&o, 1.5, LARGE);
	fill_near(&o, LARGE, 300);
	add_overload(&o);
	add_job_b(&o);
	assert_started(&o, 2, "w2");
	bw_sched_destroy(o.sched);
	begin_pool(&o, 3.0, LARGE);
	fill_near(&o, LARGE, 300);
	add_overload(&o);
	add_job_b(&o);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
}

static const one_step_t pair = { .id = JOB_B,
				 .tasks = 2,
				 .cpu_millis = SMALL,
				 .estimate_ms = WORK_MS,
				 .gang = true };

/* Two workers in r1, of which one is busy, and some in r2. */
static void begin_gang_pool(orders_t *o, double remote_factor, uint32_t far,
			    uint32_t estimate_ms)
{
	static const char *const names[] = { "w3", "w4" };
	uint32_t i;

	orders_begin_remote(o, remote_factor);
	add_worker(o, "w1", "r1", SMALL);
	orders_save(o);
	orders_run(o, STEP_MS);
	fill_near(o, SMALL, estimate_ms);
	add_worker(o, "w2", "r1", SMALL);
	for (i = 0; i < far; i++)
		add_worker(o, names[i], "r2", SMALL);
	orders_save(o);
	add_job(o, &pair);
	orders_run(o, 0);
}

static void test_gang_is_on_one_rack(void **state)
{
	orders_t o;

	(void)state;
	begin_gang_pool(&o, 3.0, 2, WORK_MS);
	assert_int_equal(o.start_count, 3);
	assert_string_equal(o.starts[1].worker, "w3");
	assert_string_equal(o.starts[2].worker, "w4");
	bw_sched_destroy(o.sched);
	begin_gang_pool(&o, 0.0, 2, WORK_MS);
	assert_int_equal(o.start_count, 3);
	assert_string_equal(o.starts[1].worker, "w2");
	assert_string_equal(o.starts[2].worker, "w3");
	bw_sched_destroy(o.sched);
}

static void test_gang_waits_for_one_rack(void **state)
{
	orders_t o;

	(void)state;
	begin_gang_pool(&o, 3.0, 1, WORK_MS);
	assert_int_equal(o.start_count, 1);
	end_near(&o);
	assert_int_equal(o.start_count, 3);
	assert_string_equal(o.starts[1].worker, "w1");
	assert_string_equal(o.starts[2].worker, "w2");
	bw_sched_destroy(o.sched);
}

static void test_gang_spreads_rather_than_waits(void **state)
{
	orders_t o;

	(void)state;
	begin_gang_pool(&o, 3.0, 1, 3 * WORK_MS);
	assert_int_equal(o.start_count, 3);
	assert_string_equal(o.starts[1].worker, "w2");
	assert_string_equal(o.starts[2].worker, "w3");
	bw_sched_destroy(o.sched);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_waits_for_a_near_place),
		cmocka_unit_test(test_starts_elsewhere_at_once),
		cmocka_unit_test(test_without_the_setting_none_waits),
		cmocka_unit_test(test_counts_those_ahead),
		cmocka_unit_test(test_others_go_on),
		cmocka_unit_test(test_others_spare_the_rack),
		cmocka_unit_test(test_lasting_task_does_not_wait),
		cmocka_unit_test(test_place_vanishes),
		cmocka_unit_test(test_new_owner_does_not_wait_anew),
		cmocka_unit_test(test_goes_before_it_is_late),
		cmocka_unit_test(test_job_in_time_elsewhere_goes),
		cmocka_unit_test(test_deadline_comes_first),
		cmocka_unit_test(test_point_is_before_the_place),
		cmocka_unit_test(test_late_job_finishes_soonest),
		cmocka_unit_test(test_overload),
		cmocka_unit_test(test_gang_is_on_one_rack),
		cmocka_unit_test(test_gang_waits_for_one_rack),
		cmocka_unit_test(test_gang_spreads_rather_than_waits),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
