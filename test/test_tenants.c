/* What a tenant holds of a pool, and the quota that bounds it. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "held_task.h"

/** Longer than a worker takes to stop a run, with the margin. */
#define STOPPED_MS 600
/** Cap of the tenant "a"; only the processor is limited. */
#define CAP_MILLIS 4000

/** A job of one step. */
typedef struct job {
	const char *id;
	const char *tenant;
	uint32_t tasks;
	int64_t cpu_millis;
	bool gang;
	uint64_t revision;
} job_t;

static void add_job(orders_t *o, const job_t *job)
{
	bw_job_record_t record = { .queue = g_strdup("q"),
				   .tenant = g_strdup(job->tenant),
				   .accepted_ms = o->now_ms,
				   .spec = bw_job_spec_new(1),
				   .revision = job->revision };

	record.spec->text = g_strdup("text");
	record.spec->steps[0].count = job->tasks;
	record.spec->steps[0].gang = job->gang;
	record.spec->steps[0].need.cpu_millis = job->cpu_millis;
	record.spec->steps[0].estimate_ms = 20;
	bw_sched_add_job(o->sched, o->now_ms, o->now_ms, job->id, &record);
	bw_job_record_clear(&record);
}

/* "a" has a cap, "b" has none. */
static void set_tenants(orders_t *o)
{
	bw_tenant_config_t tenants[] = {
		{ "a", { 1.0, { CAP_MILLIS, 0, 0 } } },
		{ "b", { 1.0, { 0, 0, 0 } } },
	};

	bw_sched_set_tenants(o->sched, tenants, G_N_ELEMENTS(tenants));
}

static void set_quota(orders_t *o, int64_t cpu_millis)
{
	bw_resources_t quota = { cpu_millis, 0, 0 };

	bw_sched_set_quota(o->sched, "a", &quota);
}

static void begin(orders_t *o, int64_t quota_millis)
{
	orders_begin_with_worker(o);
	set_tenants(o);
	set_quota(o, quota_millis);
}

static void find_a(void *ctx, const bw_tenant_use_t *use)
{
	if (!strcmp(use->name, "a"))
		*(bw_tenant_use_t *)ctx = *use;
}

static bw_tenant_use_t use_of_a(const orders_t *o)
{
	bw_tenant_use_t use = { 0 };

	bw_sched_tenant_uses(o->sched, o->now_ms, find_a, &use);
	return use;
}

static int64_t held(const orders_t *o)
{
	return use_of_a(o).held.cpu_millis;
}

static void answer_start(orders_t *o, uint32_t start, bw_order_result_t result)
{
	bw_sched_start_answered(o->sched, o->now_ms, o->starts[start].worker,
				&o->starts[start].task, o->starts[start].run,
				result, o->now_ms + 100);
}

static void init_row(bw_run_row_t *row, const char *job, uint32_t run)
{
	memset(row, 0, sizeof(*row));
	g_strlcpy(row->task.job, job, sizeof(row->task.job));
	row->run = run;
	row->checkpoint = "";
}

static void init_end(bw_end_row_t *end, const char *job, bw_end_kind_t kind)
{
	memset(end, 0, sizeof(*end));
	g_strlcpy(end->task.job, job, sizeof(end->task.job));
	end->number = 1;
	end->run = 1;
	end->kind = kind;
	end->checkpoint = "";
}

static void test_nothing_starts_before_there_is_a_quota(void **state)
{
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	set_tenants(&o);
	add_job(&o, &(job_t){ JOB_A, "a", 1, 1000, false, 0 });
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 0);
	set_quota(&o, 1000);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	assert_int_equal(held(&o), 1000);
	bw_sched_destroy(o.sched);
}

/* Tasks of others behind those that wait go on. */
static void test_starts_stay_within_the_quota(void **state)
{
	orders_t o;

	(void)state;
	begin(&o, 2500);
	add_job(&o, &(job_t){ JOB_A, "a", 4, 1000, false, 0 });
	add_job(&o, &(job_t){ JOB_B, "b", 3, 1000, false, 0 });
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 5);
	assert_int_equal(held(&o), 2000);
	bw_sched_destroy(o.sched);
}

static void test_nobodys_and_unknown_tenants_have_no_limit(void **state)
{
	orders_t o;

	(void)state;
	begin(&o, 0);
	add_job(&o, &(job_t){ JOB_A, NULL, 2, 1000, false, 0 });
	add_job(&o, &(job_t){ JOB_B, "other", 2, 1000, false, 0 });
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 4);
	bw_sched_destroy(o.sched);
}

static void test_amount_without_a_cap_has_no_limit(void **state)
{
	orders_t o;

	(void)state;
	begin(&o, 1000);
	add_job(&o, &(job_t){ JOB_A, "a", 1, 0, false, 0 });
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
}

static void test_gang_fits_as_a_whole(void **state)
{
	orders_t o;

	(void)state;
	begin(&o, 2900);
	add_job(&o, &(job_t){ JOB_A, "a", 3, 1000, true, 0 });
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 0);
	assert_int_equal(use_of_a(&o).largest.cpu_millis, 3000);
	set_quota(&o, 3000);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 3);
	bw_sched_destroy(o.sched);
}

static void test_refused_start_holds_nothing(void **state)
{
	orders_t o;

	(void)state;
	begin(&o, 1000);
	add_job(&o, &(job_t){ JOB_A, "a", 1, 1000, false, 0 });
	orders_run(&o, 10);
	assert_int_equal(held(&o), 1000);
	answer_start(&o, 0, BW_ORDER_NO_RESOURCES);
	assert_int_equal(held(&o), 0);
	bw_sched_destroy(o.sched);
}

/* Its worker may still carry it out. */
static void test_unanswered_start_is_held(void **state)
{
	orders_t o;

	(void)state;
	begin(&o, 1000);
	add_job(&o, &(job_t){ JOB_A, "a", 1, 1000, false, 0 });
	add_job(&o, &(job_t){ JOB_B, "a", 1, 1000, false, 0 });
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	answer_start(&o, 0, BW_ORDER_LOST);
	assert_int_equal(held(&o), 1000);
	orders_run(&o, 300);
	assert_int_equal(held(&o), 1000);
	assert_string_equal(o.starts[o.start_count - 1].task.job,
			    o.starts[0].task.job);
	bw_sched_destroy(o.sched);
}

static void test_late_answer_changes_nothing(void **state)
{
	orders_t o;

	(void)state;
	begin(&o, 1000);
	add_job(&o, &(job_t){ JOB_A, "a", 2, 1000, false, 0 });
	orders_run(&o, 10);
	orders_run(&o, 400);
	answer_start(&o, 0, BW_ORDER_OK);
	assert_int_equal(held(&o), 1000);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
}

/* The run goes on until its worker tells that it has ended. */
static void test_stop_under_way_is_held(void **state)
{
	bw_end_row_t end;
	orders_t o;

	(void)state;
	begin(&o, 1000);
	add_job(&o, &(job_t){ JOB_A, "a", 1, 1000, false, 0 });
	orders_run(&o, 10);
	answer_start(&o, 0, BW_ORDER_OK);
	bw_sched_cancel(o.sched, o.now_ms, JOB_A);
	add_job(&o, &(job_t){ JOB_B, "a", 1, 1000, false, 0 });
	orders_run(&o, 10);
	assert_int_equal(o.stop_count, 1);
	assert_int_equal(held(&o), 1000);
	assert_int_equal(o.start_count, 1);
	init_end(&end, JOB_A, BW_END_STOPPED);
	orders_answer_heartbeat(&o, "w1", NULL, 0, &end, 1);
	assert_int_equal(held(&o), 0);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 2);
	bw_sched_destroy(o.sched);
}

static void test_end_gives_back(void **state)
{
	bw_end_row_t end;
	orders_t o;

	(void)state;
	begin(&o, 1000);
	add_job(&o, &(job_t){ JOB_A, "a", 1, 1000, false, 0 });
	orders_run(&o, 10);
	answer_start(&o, 0, BW_ORDER_OK);
	init_end(&end, JOB_A, BW_END_DONE);
	orders_answer_heartbeat(&o, "w1", NULL, 0, &end, 1);
	assert_int_equal(held(&o), 0);
	orders_run(&o, 10);
	orders_save(&o);
	orders_run(&o, 10);
	assert_string_equal(bw_sched_job_tenant(o.sched, JOB_A), "a");
	assert_null(bw_sched_job_tenant(o.sched, JOB_B));
	bw_sched_destroy(o.sched);
}

static void test_dead_worker_holds_nothing(void **state)
{
	orders_t o;

	(void)state;
	begin(&o, 1000);
	add_job(&o, &(job_t){ JOB_A, "a", 1, 1000, false, 0 });
	orders_run(&o, 10);
	answer_start(&o, 0, BW_ORDER_OK);
	bw_sched_worker_dead(o.sched, "w1", "test");
	orders_run(&o, 30);
	assert_int_equal(held(&o), 0);
	bw_sched_destroy(o.sched);
}

/* What runs goes on; nothing starts until it fits again. */
static void test_lowered_quota_stops_nothing(void **state)
{
	bw_end_row_t end;
	orders_t o;

	(void)state;
	begin(&o, 2000);
	add_job(&o, &(job_t){ JOB_A, "a", 1, 1000, false, 0 });
	add_job(&o, &(job_t){ JOB_B, "a", 1, 1000, false, 0 });
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 2);
	set_quota(&o, 1000);
	add_job(&o, &(job_t){ JOB_EARLY, "a", 1, 1000, false, 0 });
	orders_run(&o, 10);
	assert_int_equal(o.stop_count, 0);
	assert_int_equal(o.start_count, 2);
	assert_int_equal(held(&o), 2000);
	init_end(&end, JOB_A, BW_END_DONE);
	orders_answer_heartbeat(&o, "w1", NULL, 0, &end, 1);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 2);
	bw_sched_destroy(o.sched);
}

/* A later tenant of its name needs a quota of its own. */
static void test_tenant_that_is_gone_has_no_limit(void **state)
{
	bw_tenant_config_t other = { "b", { 1.0, { 0, 0, 0 } } };
	orders_t o;

	(void)state;
	begin(&o, 1000);
	add_job(&o, &(job_t){ JOB_A, "a", 3, 1000, false, 0 });
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	bw_sched_set_tenants(o.sched, &other, 1);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 3);
	assert_int_equal(held(&o), 3000);
	set_tenants(&o);
	assert_false(use_of_a(&o).has_quota);
	bw_sched_destroy(o.sched);
}

static void test_wanted_is_what_could_start(void **state)
{
	bw_tenant_use_t use;
	orders_t o;

	(void)state;
	begin(&o, 1000);
	add_job(&o, &(job_t){ JOB_A, "a", 3, 1000, false, 0 });
	add_job(&o, &(job_t){ JOB_B, "a", 1, 1500, false, 0 });
	orders_run(&o, 10);
	use = use_of_a(&o);
	assert_int_equal(use.held.cpu_millis, 1000);
	assert_int_equal(use.wanted.cpu_millis, 3500);
	assert_int_equal(use.largest.cpu_millis, 1500);
	assert_int_equal(use.jobs_waiting, 2);
	assert_int_equal(use.quota.cpu_millis, 1000);
	answer_start(&o, 0, BW_ORDER_OK);
	assert_int_equal(use_of_a(&o).jobs_waiting, 1);
	bw_sched_cancel(o.sched, o.now_ms, JOB_A);
	bw_sched_cancel(o.sched, o.now_ms, JOB_B);
	assert_int_equal(use_of_a(&o).wanted.cpu_millis, 0);
	bw_sched_destroy(o.sched);
}

/* One task of JOB_A runs on w1; the owner crashes. */
static void succeed(orders_t *o)
{
	orders_t before;

	begin(&before, 4000);
	add_job(&before, &(job_t){ JOB_A, "a", 1, 1000, false, 0 });
	orders_run(&before, 10);
	answer_start(&before, 0, BW_ORDER_OK);
	orders_succeed(&before, o);
	set_tenants(o);
	set_quota(o, 1500);
	orders_add_worker(o, "w1");
	add_job(o, &(job_t){ JOB_A, "a", 1, 1000, false, 0 });
	orders_save(o);
}

/* It may run until each worker has listed its runs, and for the time that a
 * stop takes. */
static void test_successor_holds_what_may_run(void **state)
{
	orders_t o;

	(void)state;
	succeed(&o);
	assert_int_equal(held(&o), 1000);
	add_job(&o, &(job_t){ JOB_B, "a", 1, 1000, false, 0 });
	orders_run(&o, 10);
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	orders_run(&o, 10);
	assert_true(bw_sched_recovered(o.sched));
	assert_true(held(&o) >= 1000);
	assert_int_equal(o.start_count, 0);
	orders_run(&o, STOPPED_MS);
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	assert_int_equal(held(&o), 1000);
	bw_sched_destroy(o.sched);
}

/* A job that is new may start elsewhere meanwhile, as far as the quota goes. */
static void test_successor_counts_what_may_run_for_new_jobs(void **state)
{
	orders_t o;

	(void)state;
	succeed(&o);
	orders_add_worker(&o, "w2");
	orders_save(&o);
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	bw_sched_predecessor_stopped(o.sched, o.now_ms);
	orders_run(&o, STOPPED_MS);
	orders_save(&o);
	bw_sched_owned_at(o.sched, 5);
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	add_job(&o, &(job_t){ JOB_B, "a", 1, 1000, false, 6 });
	orders_run(&o, 10);
	assert_false(bw_sched_recovered(o.sched));
	assert_int_equal(held(&o), 1000);
	assert_int_equal(o.start_count, 0);
	set_quota(&o, 2000);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
}

static void test_adopted_run_is_held_once(void **state)
{
	bw_run_row_t row;
	orders_t o;

	(void)state;
	succeed(&o);
	init_row(&row, JOB_A, 1);
	orders_answer_heartbeat(&o, "w1", &row, 1, NULL, 0);
	orders_run(&o, 30);
	assert_int_equal(held(&o), 1000);
	bw_sched_destroy(o.sched);
}

/* Unheard workers have no room for more than they have. */
static void test_what_may_run_is_bounded_by_the_unheard_workers(void **state)
{
	orders_t before;
	orders_t o;

	(void)state;
	begin(&before, 4000);
	orders_succeed(&before, &o);
	set_tenants(&o);
	add_job(&o, &(job_t){ JOB_A, "a", 100, 1000, false, 0 });
	assert_int_equal(held(&o), 100000);
	orders_add_worker(&o, "w1");
	orders_run(&o, 10);
	assert_int_equal(held(&o), 8000);
	bw_sched_destroy(o.sched);
}

/* A worker that has shrunk meanwhile may still run what it did before. */
static void test_shrunk_worker_may_run_as_much_as_before(void **state)
{
	orders_t before;
	orders_t o;

	(void)state;
	begin(&before, 4000);
	orders_succeed(&before, &o);
	set_tenants(&o);
	add_job(&o, &(job_t){ JOB_A, "a", 5, 1000, false, 0 });
	orders_add_worker(&o, "w1");
	orders_run(&o, 10);
	orders_add_worker_with(&o, "w1", 2000);
	orders_run(&o, 10);
	assert_int_equal(held(&o), 5000);
	bw_sched_destroy(o.sched);
}

/* Its run may go on, though the job has ended and waits for nothing. */
static void test_job_that_ends_during_recovery_is_held(void **state)
{
	bw_run_row_t row;
	orders_t o;

	(void)state;
	succeed(&o);
	bw_sched_cancel(o.sched, o.now_ms, JOB_A);
	orders_run(&o, 30);
	assert_int_equal(held(&o), 1000);
	init_row(&row, JOB_A, 1);
	orders_answer_heartbeat(&o, "w1", &row, 1, NULL, 0);
	orders_run(&o, STOPPED_MS);
	orders_answer_heartbeat(&o, "w1", &row, 1, NULL, 0);
	orders_run(&o, 30);
	assert_true(o.stop_count > 0);
	assert_int_equal(held(&o), 1000);
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	orders_run(&o, 30);
	assert_int_equal(held(&o), 1000);
	orders_run(&o, STOPPED_MS);
	orders_run(&o, 30);
	assert_int_equal(held(&o), 0);
	bw_sched_destroy(o.sched);
}

/* A run that should not go on, beside the one that does. */
static void test_orphan_is_held(void **state)
{
	bw_run_row_t row;
	orders_t o;

	(void)state;
	begin(&o, 1000);
	add_job(&o, &(job_t){ JOB_A, "a", 1, 1000, false, 0 });
	orders_run(&o, 10);
	answer_start(&o, 0, BW_ORDER_OK);
	orders_add_worker(&o, "w2");
	init_row(&row, JOB_A, 1);
	orders_answer_heartbeat(&o, "w2", &row, 1, NULL, 0);
	assert_int_equal(held(&o), 2000);
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	assert_int_equal(held(&o), 2000);
	orders_run(&o, STOPPED_MS);
	assert_int_equal(held(&o), 1000);
	bw_sched_destroy(o.sched);
}

/* Also when its job has ended elsewhere. */
static void test_orphan_of_an_ended_job_is_held(void **state)
{
	bw_run_row_t row;
	bw_end_row_t end;
	orders_t o;

	(void)state;
	begin(&o, 1000);
	add_job(&o, &(job_t){ JOB_A, "a", 1, 1000, false, 0 });
	orders_run(&o, 10);
	answer_start(&o, 0, BW_ORDER_OK);
	orders_add_worker(&o, "w2");
	init_row(&row, JOB_A, 1);
	orders_answer_heartbeat(&o, "w2", &row, 1, NULL, 0);
	init_end(&end, JOB_A, BW_END_DONE);
	orders_answer_heartbeat(&o, "w1", NULL, 0, &end, 1);
	orders_run(&o, STOPPED_MS);
	orders_answer_heartbeat(&o, "w2", &row, 1, NULL, 0);
	orders_run(&o, STOPPED_MS);
	assert_int_equal(held(&o), 1000);
	bw_sched_destroy(o.sched);
}

/* All workers have listed their runs, but the next boot may begin it. */
static void test_task_that_was_held_is_counted(void **state)
{
	orders_t before;
	orders_t o;

	(void)state;
	held_begin(&before);
	bw_sched_hand_over(before.sched);
	orders_succeed(&before, &o);
	o.held_on = "w1";
	set_tenants(&o);
	set_quota(&o, 1500);
	orders_register_boot(&o, SECOND_BOOT_MS);
	orders_add_worker(&o, "w2");
	add_job(&o, &(job_t){ JOB_A, "a", 1, 1000, false, 0 });
	add_job(&o, &(job_t){ JOB_B, "a", 1, 1000, false, 0 });
	orders_run(&o, 10);
	orders_save(&o);
	orders_answer_as_boot(&o, "w1", SECOND_BOOT_MS, NULL, 0, NULL, 0);
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	assert_int_equal(held(&o), 1000);
	held_pass(&o, SECOND_BOOT_MS, BW_ORDER_LOST);
	assert_int_equal(held(&o), 1000);
	assert_int_equal(o.start_count, 0);
	bw_sched_destroy(o.sched);
}

/* Nobody knows whose a listed run is whose job is not read yet. */
static void test_unknown_run_holds_back_starts(void **state)
{
	bw_run_row_t row;
	orders_t o;

	(void)state;
	begin(&o, 4000);
	orders_add_worker(&o, "w2");
	init_row(&row, JOB_EARLY, 1);
	orders_answer_heartbeat(&o, "w2", &row, 1, NULL, 0);
	add_job(&o, &(job_t){ JOB_A, "a", 1, 1000, false, 0 });
	add_job(&o, &(job_t){ JOB_B, "b", 1, 1000, false, 0 });
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	assert_string_equal(o.starts[0].task.job, JOB_B);
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	orders_run(&o, 30);
	assert_int_equal(o.start_count, 2);
	bw_sched_destroy(o.sched);
}

/* the owner stores that a job has ended before its run has stopped, and
 * crashes; the run goes on. */
static void test_job_that_ended_before_the_crash_is_held(void **state)
{
	orders_t before;
	orders_t o;

	(void)state;
	begin(&before, 4000);
	add_job(&before, &(job_t){ JOB_A, "a", 1, 1000, false, 0 });
	orders_run(&before, 10);
	answer_start(&before, 0, BW_ORDER_OK);
	bw_sched_cancel(before.sched, before.now_ms, JOB_A);
	orders_save(&before);
	assert_int_equal(held(&before), 1000);
	orders_succeed(&before, &o);
	set_tenants(&o);
	set_quota(&o, 1500);
	orders_add_worker(&o, "w1");
	add_job(&o, &(job_t){ JOB_A, "a", 1, 1000, false, 0 });
	assert_int_equal(bw_sched_job_state(o.sched, JOB_A), BW_JOB_CANCELLED);
	assert_true(held(&o) >= 1000);
	bw_sched_destroy(o.sched);
}

/* the same, with a start of a job that is certainly new. */
static void test_new_job_waits_for_runs_of_ended_ones(void **state)
{
	orders_t before;
	orders_t o;

	(void)state;
	begin(&before, 4000);
	add_job(&before, &(job_t){ JOB_A, "a", 1, 1000, false, 0 });
	orders_run(&before, 10);
	answer_start(&before, 0, BW_ORDER_OK);
	bw_sched_cancel(before.sched, before.now_ms, JOB_A);
	orders_save(&before);
	orders_succeed(&before, &o);
	set_tenants(&o);
	set_quota(&o, 1500);
	orders_add_worker(&o, "w1");
	add_job(&o, &(job_t){ JOB_A, "a", 1, 1000, false, 0 });
	orders_add_worker(&o, "w2");
	orders_save(&o);
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	bw_sched_predecessor_stopped(o.sched, o.now_ms);
	orders_run(&o, STOPPED_MS);
	orders_save(&o);
	bw_sched_owned_at(o.sched, 5);
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	add_job(&o, &(job_t){ JOB_B, "a", 1, 1000, false, 6 });
	orders_run(&o, 10);
	assert_false(bw_sched_recovered(o.sched));
	assert_int_equal(o.start_count, 0);
	bw_sched_destroy(o.sched);
}

/* 9000 exceeds 1.1 x 4000 and one task of 3000. */
static void test_gang_beyond_the_cap_is_refused(void **state)
{
	orders_t o;

	(void)state;
	begin(&o, 9000);
	orders_add_worker(&o, "w2");
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	add_job(&o, &(job_t){ JOB_A, "a", 3, 3000, true, 0 });
	orders_save(&o);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 0);
	bw_sched_destroy(o.sched);
}

/* the lender's configuration did not limit the processor yet. */
static void test_quota_above_the_cap_is_bounded_by_it(void **state)
{
	orders_t o;

	(void)state;
	begin(&o, (int64_t)1 << 50);
	add_job(&o, &(job_t){ JOB_A, "a", 8, 1000, false, 0 });
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 4);
	bw_sched_destroy(o.sched);
}

/* a quota below what runs of one kind, and a task that needs none. */
static void test_kind_that_is_not_needed_does_not_refuse(void **state)
{
	bw_tenant_config_t tenants[] = { { "a", { 1.0, { 4000, 4, 0 } } } };
	bw_resources_t quota = { 4000, 4, 0 };
	bw_job_record_t record = { .queue = g_strdup("q"),
				   .tenant = g_strdup("a"),
				   .spec = bw_job_spec_new(1) };
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	bw_sched_set_tenants(o.sched, tenants, 1);
	bw_sched_set_quota(o.sched, "a", &quota);
	record.accepted_ms = o.now_ms;
	record.spec->text = g_strdup("text");
	record.spec->steps[0].count = 1;
	record.spec->steps[0].need.mem_mb = 3;
	record.spec->steps[0].need.cpu_millis = 500;
	record.spec->steps[0].estimate_ms = 20;
	bw_sched_add_job(o.sched, o.now_ms, o.now_ms, JOB_A, &record);
	bw_job_record_clear(&record);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	quota.mem_mb = 2;
	bw_sched_set_quota(o.sched, "a", &quota);
	add_job(&o, &(job_t){ JOB_B, "a", 1, 1000, false, 0 });
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 2);
	bw_sched_destroy(o.sched);
}

/* a worker lists a run of a job that this pool doesn't have; the quota
 * has room for more than all that the worker could run. */
static void test_unknown_run_leaves_the_rest(void **state)
{
	bw_run_row_t row;
	orders_t o;

	(void)state;
	begin(&o, 4000);
	orders_add_worker_with(&o, "w2", 2000);
	init_row(&row, JOB_EARLY, 1);
	orders_answer_heartbeat(&o, "w2", &row, 1, NULL, 0);
	add_job(&o, &(job_t){ JOB_A, "a", 3, 1000, false, 0 });
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 2);
	orders_run(&o, 1000);
	orders_answer_heartbeat(&o, "w2", &row, 1, NULL, 0);
	orders_run(&o, 30);
	assert_int_equal(o.start_count, 2);
	bw_sched_destroy(o.sched);
}

/* an earlier owner that still acts starts the next occurrence when it
 * is due; the lender must know before that, as it lends the rest at once. */
static void test_next_occurrence_is_held_before_it_is_due(void **state)
{
	bw_job_record_t record = { .queue = g_strdup("q"),
				   .tenant = g_strdup("a"),
				   .spec = bw_job_spec_new(1) };
	orders_t before;
	orders_t o;

	(void)state;
	begin(&before, 4000);
	orders_succeed(&before, &o);
	set_tenants(&o);
	set_quota(&o, 1500);
	orders_add_worker(&o, "w1");
	record.accepted_ms = o.now_ms;
	record.spec->text = g_strdup("text");
	record.spec->repeats = 3;
	record.spec->interval_ms = 10000;
	record.spec->first_due_ms = o.now_ms + 50;
	record.spec->steps[0].count = 2;
	record.spec->steps[0].need.cpu_millis = 1000;
	record.spec->steps[0].estimate_ms = 20;
	bw_sched_add_job(o.sched, o.now_ms, o.now_ms, JOB_A, &record);
	bw_job_record_clear(&record);
	orders_run(&o, 10);
	assert_int_equal(held(&o), 2000);
	orders_run(&o, 100);
	assert_false(bw_sched_recovered(o.sched));
	assert_true(held(&o) >= 2000);
	bw_sched_destroy(o.sched);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_nothing_starts_before_there_is_a_quota),
		cmocka_unit_test(test_starts_stay_within_the_quota),
		cmocka_unit_test(
			test_nobodys_and_unknown_tenants_have_no_limit),
		cmocka_unit_test(test_amount_without_a_cap_has_no_limit),
		cmocka_unit_test(test_gang_fits_as_a_whole),
		cmocka_unit_test(test_refused_start_holds_nothing),
		cmocka_unit_test(test_unanswered_start_is_held),
		cmocka_unit_test(test_late_answer_changes_nothing),
		cmocka_unit_test(test_stop_under_way_is_held),
		cmocka_unit_test(test_end_gives_back),
		cmocka_unit_test(test_dead_worker_holds_nothing),
		cmocka_unit_test(test_lowered_quota_stops_nothing),
		cmocka_unit_test(test_tenant_that_is_gone_has_no_limit),
		cmocka_unit_test(test_wanted_is_what_could_start),
		cmocka_unit_test(test_successor_holds_what_may_run),
		cmocka_unit_test(
			test_successor_counts_what_may_run_for_new_jobs),
		cmocka_unit_test(test_adopted_run_is_held_once),
		cmocka_unit_test(
			test_what_may_run_is_bounded_by_the_unheard_workers),
		cmocka_unit_test(test_shrunk_worker_may_run_as_much_as_before),
		cmocka_unit_test(test_job_that_ends_during_recovery_is_held),
		cmocka_unit_test(test_orphan_is_held),
		cmocka_unit_test(test_orphan_of_an_ended_job_is_held),
		cmocka_unit_test(test_task_that_was_held_is_counted),
		cmocka_unit_test(test_unknown_run_holds_back_starts),
		cmocka_unit_test(test_next_occurrence_is_held_before_it_is_due),
		cmocka_unit_test(test_unknown_run_leaves_the_rest),
		cmocka_unit_test(test_job_that_ended_before_the_crash_is_held),
		cmocka_unit_test(test_new_job_waits_for_runs_of_ended_ones),
		cmocka_unit_test(test_gang_beyond_the_cap_is_refused),
		cmocka_unit_test(test_quota_above_the_cap_is_bounded_by_it),
		cmocka_unit_test(test_kind_that_is_not_needed_does_not_refuse),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
