/* Which tenant's jobs a pool starts when it is short of room. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "sched_orders.h"

/** Cores of the only worker. */
#define CORES 8U
/** Jobs of a tenant that are owed at once. */
#define OWED_AT_ONCE 5U

/** A job of one step of tasks that need one core each. */
typedef struct job {
	uint32_t id;
	const char *tenant;
	uint32_t tasks;
	uint32_t estimate_ms;
	int64_t age_ms;
} job_t;

static void add_job(orders_t *o, const job_t *job)
{
	bw_job_record_t record = { .queue = g_strdup("q"),
				   .tenant = g_strdup(job->tenant),
				   .accepted_ms = o->now_ms - job->age_ms,
				   .spec = bw_job_spec_new(1) };
	char id[BW_JOB_ID_CHARS + 1];

	g_snprintf(id, sizeof(id), "%016x", job->id);
	record.spec->text = g_strdup("text");
	record.spec->steps[0].count = job->tasks;
	record.spec->steps[0].need.cpu_millis = 1000;
	record.spec->steps[0].estimate_ms = job->estimate_ms;
	bw_sched_add_job(o->sched, o->now_ms, o->now_ms, id, &record);
	bw_job_record_clear(&record);
}

static uint32_t starts_of(const orders_t *o, uint32_t job)
{
	char id[BW_JOB_ID_CHARS + 1];
	uint32_t count = 0;
	uint32_t i;

	g_snprintf(id, sizeof(id), "%016x", job);
	for (i = 0; i < o->start_count; i++)
		count += !strcmp(o->starts[i].task.job, id);
	return count;
}

/* Starts tasks on all cores but some. */
static void begin(orders_t *o, const char *tenant, uint32_t free_cores)
{
	bw_tenant_config_t tenants[] = {
		{ "a", { 1.0, { 0, 0, 0 } } },
		{ "b", { 1.0, { 0, 0, 0 } } },
	};

	orders_begin_with_worker(o);
	/* The capacity of a pool is measured in each sweep. */
	orders_run(o, 100);
	bw_sched_set_tenants(o->sched, tenants, G_N_ELEMENTS(tenants));
	if (free_cores == CORES)
		return;
	add_job(o, &(job_t){ 0xffff, tenant, CORES - free_cores, 20, 0 });
	orders_run(o, 10);
	assert_int_equal(o->start_count, CORES - free_cores);
	o->start_count = 0;
}

/* The order of one tenant's jobs, by work, is not that of the two. */
static void test_long_queue_leaves_others_their_due(void **state)
{
	orders_t o;

	(void)state;
	begin(&o, NULL, CORES);
	add_job(&o, &(job_t){ 1, "a", 20, 20, 0 });
	add_job(&o, &(job_t){ 2, "b", 20, 400, 0 });
	orders_run(&o, 10);
	assert_int_equal(o.start_count, CORES);
	assert_in_range(starts_of(&o, 2), CORES / 2 - 1, CORES / 2);
	bw_sched_destroy(o.sched);
}

static void test_without_tenants_the_jobs_decide(void **state)
{
	orders_t o;

	(void)state;
	begin(&o, NULL, CORES);
	bw_sched_set_tenants(o.sched, NULL, 0);
	add_job(&o, &(job_t){ 1, "a", 20, 20, 0 });
	add_job(&o, &(job_t){ 2, "b", 20, 400, 0 });
	orders_run(&o, 10);
	assert_int_equal(starts_of(&o, 1), CORES);
	bw_sched_destroy(o.sched);
}

static void test_room_that_is_left_is_used(void **state)
{
	orders_t o;

	(void)state;
	begin(&o, NULL, CORES);
	add_job(&o, &(job_t){ 1, "a", 20, 20, 0 });
	add_job(&o, &(job_t){ 2, "b", 1, 400, 0 });
	orders_run(&o, 10);
	assert_int_equal(starts_of(&o, 1), CORES - 1);
	assert_int_equal(starts_of(&o, 2), 1);
	bw_sched_destroy(o.sched);
}

/* It holds most of the pool already. */
static void test_tenant_with_little_goes_first(void **state)
{
	orders_t o;

	(void)state;
	begin(&o, "a", 1);
	add_job(&o, &(job_t){ 1, "a", 1, 20, 0 });
	add_job(&o, &(job_t){ 2, "b", 1, 400, 0 });
	orders_run(&o, 10);
	assert_int_equal(starts_of(&o, 2), 1);
	bw_sched_destroy(o.sched);
}

/* Whoever sends more than its weight in jobs a second. */
static void test_jobs_that_are_not_owed_go_behind(void **state)
{
	orders_t o;
	uint32_t i;

	(void)state;
	begin(&o, NULL, OWED_AT_ONCE);
	for (i = 1; i <= OWED_AT_ONCE; i++)
		add_job(&o, &(job_t){ i, "a", 1, 400, 0 });
	for (; i <= 2 * OWED_AT_ONCE; i++)
		add_job(&o, &(job_t){ i, "a", 1, 20, 0 });
	orders_run(&o, 10);
	assert_int_equal(o.start_count, OWED_AT_ONCE);
	for (i = 1; i <= OWED_AT_ONCE; i++)
		assert_int_equal(starts_of(&o, i), 1);
	bw_sched_destroy(o.sched);
}

/* They are not refused: they start where there is room. */
static void test_jobs_that_are_not_owed_start_in_free_room(void **state)
{
	orders_t o;
	uint32_t i;

	(void)state;
	begin(&o, NULL, CORES);
	for (i = 1; i <= CORES; i++)
		add_job(&o, &(job_t){ i, "a", 1, 20, 0 });
	orders_run(&o, 10);
	assert_int_equal(o.start_count, CORES);
	bw_sched_destroy(o.sched);
}

/* The part of the pool for last chances is for jobs that are owed. */
static void test_no_last_chance_for_what_is_not_owed(void **state)
{
	orders_t o;
	uint32_t i;

	(void)state;
	begin(&o, NULL, OWED_AT_ONCE);
	for (i = 1; i <= OWED_AT_ONCE; i++)
		add_job(&o, &(job_t){ i, "a", 1, 20, 0 });
	add_job(&o, &(job_t){ i, "a", 1, 20, 1500 });
	orders_run(&o, 10);
	assert_int_equal(o.start_count, OWED_AT_ONCE);
	assert_int_equal(starts_of(&o, i), 0);
	bw_sched_destroy(o.sched);
}

/* Also if that one holds less. */
static void test_late_job_waits_for_anothers_in_time(void **state)
{
	orders_t o;

	(void)state;
	begin(&o, "a", 1);
	add_job(&o, &(job_t){ 1, "a", 1, 20, 0 });
	add_job(&o, &(job_t){ 2, "b", 1, 20, 700 });
	orders_run(&o, 10);
	assert_int_equal(starts_of(&o, 1), 1);
	bw_sched_destroy(o.sched);
}

/* It is of no value any more. */
static void test_expired_job_goes_behind_what_is_not_owed(void **state)
{
	orders_t o;
	uint32_t i;

	(void)state;
	begin(&o, NULL, OWED_AT_ONCE + 1);
	for (i = 1; i <= OWED_AT_ONCE + 1; i++)
		add_job(&o, &(job_t){ i, "a", 1, 20, 0 });
	add_job(&o, &(job_t){ i, "b", 1, 20, 5000 });
	orders_run(&o, 10);
	assert_int_equal(o.start_count, OWED_AT_ONCE + 1);
	assert_int_equal(starts_of(&o, i), 0);
	bw_sched_destroy(o.sched);
}

/* What a quota holds back does not keep others from their turn. */
static void test_turn_of_a_tenant_without_quota_passes(void **state)
{
	bw_tenant_config_t tenants[] = {
		{ "a", { 1.0, { 4000, 0, 0 } } },
		{ "b", { 1.0, { 0, 0, 0 } } },
	};
	orders_t o;

	(void)state;
	begin(&o, NULL, CORES);
	bw_sched_set_tenants(o.sched, tenants, G_N_ELEMENTS(tenants));
	add_job(&o, &(job_t){ 1, "a", 20, 20, 0 });
	add_job(&o, &(job_t){ 2, "b", 20, 400, 0 });
	orders_run(&o, 10);
	assert_int_equal(starts_of(&o, 2), CORES);
	bw_sched_destroy(o.sched);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_long_queue_leaves_others_their_due),
		cmocka_unit_test(test_without_tenants_the_jobs_decide),
		cmocka_unit_test(test_room_that_is_left_is_used),
		cmocka_unit_test(test_tenant_with_little_goes_first),
		cmocka_unit_test(test_jobs_that_are_not_owed_go_behind),
		cmocka_unit_test(
			test_jobs_that_are_not_owed_start_in_free_room),
		cmocka_unit_test(test_no_last_chance_for_what_is_not_owed),
		cmocka_unit_test(test_late_job_waits_for_anothers_in_time),
		cmocka_unit_test(test_expired_job_goes_behind_what_is_not_owed),
		cmocka_unit_test(test_turn_of_a_tenant_without_quota_passes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
