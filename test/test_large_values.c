/* Pools whose jobs have many tasks: what is stored of them has to fit into a
 * value of the store. */
#include "test.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "sched/internal.h"
#include "sched_orders.h"
#include "wire/version.h"

#define JOBS	  8
#define LARGE	  19000
#define VALUE_MAX (1024 * 1024)
/** Tasks that run at a time. */
#define AT_ONCE 800
#define ROUNDS	(2 * JOBS * LARGE / AT_ONCE)
/** Fewer than a value names by bits. */
#define FEW 500

static void add_job(orders_t *o, uint32_t number, uint32_t tasks)
{
	bw_job_record_t record = { .queue = g_strdup("q"),
				   .accepted_ms = o->now_ms,
				   .spec = bw_job_spec_new(2) };
	char id[BW_JOB_ID_CHARS + 1];

	snprintf(id, sizeof(id), "%016x", number);
	record.spec->text = g_strdup("text");
	record.spec->steps[0].count = tasks;
	record.spec->steps[0].need.cpu_millis = 10;
	record.spec->steps[1].count = 1;
	record.spec->steps[1].need.cpu_millis = 10;
	record.spec->steps[1].after = g_new0(uint32_t, 1);
	record.spec->steps[1].after_count = 1;
	bw_sched_add_job(o->sched, o->now_ms, o->now_ms, id, &record);
	bw_job_record_clear(&record);
}

static void add_jobs(orders_t *o, uint32_t jobs, uint32_t tasks)
{
	uint32_t i;

	for (i = 1; i <= jobs; i++)
		add_job(o, i, tasks);
}

static void begin(orders_t *o)
{
	orders_begin(o);
	orders_add_worker_with(o, "w1", AT_ONCE * 10);
	orders_answer_heartbeat(o, "w1", NULL, 0, NULL, 0);
	orders_save(o);
}

/* Lets the worker end the runs of the first step, and go on with the others. */
static uint32_t end_first_steps(orders_t *o, uint64_t *number)
{
	bw_end_row_t ends[ORDERS_MAX];
	uint32_t count = 0;
	uint32_t i;

	memset(ends, 0, sizeof(ends));
	for (i = 0; i < o->start_count; i++) {
		bw_sched_start_answered(o->sched, o->now_ms, "w1",
					&o->starts[i].task, o->starts[i].run,
					BW_ORDER_OK, o->now_ms + 100);
		if (o->starts[i].task.step > 0)
			continue;
		ends[count].number = ++*number;
		ends[count].task = o->starts[i].task;
		ends[count].run = o->starts[i].run;
		ends[count].kind = BW_END_DONE;
		ends[count++].checkpoint = "";
	}
	o->start_count = 0;
	orders_answer_heartbeat(o, "w1", NULL, 0, ends, count);
	return count;
}

/* Plays until the first steps of all jobs are done. */
static void end_all_first_steps(orders_t *o, uint32_t tasks)
{
	uint64_t number = 0;
	uint32_t ended = 0;
	uint32_t i;

	for (i = 0; i < ROUNDS && ended < tasks; i++) {
		orders_run(o, 10);
		ended += end_first_steps(o, &number);
		orders_save(o);
	}
	assert_int_equal(ended, tasks);
}

static size_t value_bytes(const orders_t *o)
{
	size_t bytes;

	g_free(bw_sched_pack(o->sched, &bytes));
	return bytes;
}

static uint32_t value_version(const orders_t *o)
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

/* Failure: eight large jobs make the value longer than the store takes; no save
 * succeeds any more, and accepted jobs are not begun. */
static void test_value_of_large_jobs_fits_into_the_store(void **state)
{
	orders_t o;

	(void)state;
	begin(&o);
	add_jobs(&o, JOBS, LARGE);
	end_all_first_steps(&o, JOBS * LARGE);
	assert_true(value_bytes(&o) < VALUE_MAX);
	bw_sched_destroy(o.sched);
}

/* A successor starts none of the tasks again that the value names by bits. */
static void test_successor_reads_done_tasks(void **state)
{
	uint32_t i;
	orders_t before;
	orders_t o;

	(void)state;
	begin(&before);
	add_jobs(&before, 1, LARGE);
	end_all_first_steps(&before, LARGE);
	assert_int_equal(value_version(&before), BW_POOL_BITS_VERSION);
	bw_sched_hand_over(before.sched);
	orders_succeed(&before, &o);
	orders_add_worker_with(&o, "w1", AT_ONCE * 10);
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	orders_save(&o);
	add_jobs(&o, 1, LARGE);
	for (i = 0; i < 10; i++)
		orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	assert_int_equal(o.starts[0].task.step, 1);
	/* It passes on what it has read. */
	assert_int_equal(value_version(&o), BW_POOL_BITS_VERSION);
	bw_sched_destroy(o.sched);
}

/* Earlier versions can read the values of jobs of ordinary size. */
static void test_value_of_small_jobs_keeps_its_version(void **state)
{
	orders_t o;

	(void)state;
	begin(&o);
	add_jobs(&o, JOBS, FEW);
	end_all_first_steps(&o, JOBS * FEW);
	assert_int_equal(value_version(&o), BW_RECORD_VERSION);
	bw_sched_destroy(o.sched);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_value_of_large_jobs_fits_into_the_store),
		cmocka_unit_test(test_successor_reads_done_tasks),
		cmocka_unit_test(test_value_of_small_jobs_keeps_its_version),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
