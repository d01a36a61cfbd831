/* Gangs: the end of one member is that of all, under each owner. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "sched_orders.h"
#include "wire/record.pb-c.h"

/** Members of the gang, which is the first step of JOB_A. */
#define MEMBERS 3U

/* Adds JOB_A: a gang, a task beside it, and a task after both. */
static void add_gang_job_with(orders_t *o, int64_t cpu_millis)
{
	const uint32_t counts[] = { MEMBERS, 1, 1 };
	bw_job_record_t record = { .queue = g_strdup("q"),
				   .accepted_ms = o->now_ms,
				   .spec = bw_job_spec_new(3) };
	uint32_t i;

	record.spec->text = g_strdup("text");
	for (i = 0; i < G_N_ELEMENTS(counts); i++) {
		record.spec->steps[i].count = counts[i];
		record.spec->steps[i].need.cpu_millis = cpu_millis;
	}
	record.spec->steps[0].gang = true;
	record.spec->steps[2].after = g_new0(uint32_t, 2);
	record.spec->steps[2].after[1] = 1;
	record.spec->steps[2].after_count = 2;
	bw_sched_add_job(o->sched, o->now_ms, o->now_ms, JOB_A, &record);
	bw_job_record_clear(&record);
}

static void add_gang_job(orders_t *o)
{
	add_gang_job_with(o, 1000);
}

/* Takes over the pool of an owner; worker w1 is registered. */
static void succeed_with_gang_job(orders_t *before, orders_t *o)
{
	orders_succeed(before, o);
	orders_add_worker(o, "w1");
	add_gang_job(o);
}

static bw_end_row_t done_end(uint64_t number, uint32_t step, uint32_t index)
{
	bw_end_row_t end = { .number = number,
			     .task = { .step = step, .index = index },
			     .run = 1,
			     .kind = BW_END_DONE,
			     .checkpoint = "" };

	g_strlcpy(end.task.job, JOB_A, sizeof(end.task.job));
	return end;
}

/* Lists the ends of all members of the gang, under an owner that knows none of
 * their runs. */
static void answer_with_finished_gang(orders_t *o)
{
	bw_end_row_t ends[MEMBERS];
	uint32_t i;

	for (i = 0; i < MEMBERS; i++)
		ends[i] = done_end(i + 1, 0, i);
	orders_answer_heartbeat(o, "w1", NULL, 0, ends, MEMBERS);
}

/* Lists the end of the task beside the gang; the last step is due then. */
static void assert_last_step_starts(orders_t *o)
{
	bw_end_row_t end = done_end(MEMBERS + 1, 1, 0);

	orders_answer_heartbeat(o, "w1", NULL, 0, &end, 1);
	orders_save(o);
	/* Stops of the earlier owner may still be carried out until then. */
	o->now_ms += 600;
	orders_answer_heartbeat(o, "w1", NULL, 0, NULL, 0);
	orders_run(o, 10);
	assert_int_equal(o->stop_count, 0);
	assert_int_equal(o->start_count, 1);
	assert_int_equal(o->starts[0].task.step, 2);
}

/*
 * The first owner could not store that it had started the gang; the second one
 * learns of its end from w1. Failure: the second stored one member as done and
 * left the others out, so the third waited for them and never started the step
 * after the gang.
 */
static void test_finished_gang_is_lost_after_two_owners(void **state)
{
	orders_t first;
	orders_t second;
	orders_t third;

	(void)state;
	orders_begin_with_worker(&first);
	succeed_with_gang_job(&first, &second);
	answer_with_finished_gang(&second);
	succeed_with_gang_job(&second, &third);
	assert_last_step_starts(&third);
	bw_sched_destroy(third.sched);
}

/* Removes the members but the first from a packed value, as an earlier version
 * did not store them. */
static uint8_t *leave_members_out(const uint8_t *data, size_t *bytes)
{
	Bramley__PoolRecord *record =
		bramley__pool_record__unpack(NULL, *bytes, data);
	Bramley__JobProgress *progress;
	uint8_t *out;
	size_t kept = 0;
	size_t i;

	assert_int_equal(record->n_jobs, 1);
	progress = record->jobs[0];
	for (i = 0; i < progress->n_tasks; i++) {
		if (progress->tasks[i]->run > 0)
			progress->tasks[kept++] = progress->tasks[i];
		else
			bramley__task_record__free_unpacked(progress->tasks[i],
							    NULL);
	}
	assert_int_equal(kept, 1);
	progress->n_tasks = kept;
	*bytes = bramley__pool_record__get_packed_size(record);
	out = g_malloc(*bytes);
	bramley__pool_record__pack(record, out);
	bramley__pool_record__free_unpacked(record, NULL);
	return out;
}

/* Failure: a value that was stored before the members were is in the store when
 * this version takes over, and the job never ends. */
static void test_gang_stored_in_part_is_finished(void **state)
{
	orders_t first;
	orders_t second;
	orders_t third;
	uint8_t *data;
	uint8_t *in_part;
	size_t bytes;

	(void)state;
	orders_begin_with_worker(&first);
	succeed_with_gang_job(&first, &second);
	answer_with_finished_gang(&second);
	data = bw_sched_pack(second.sched, &bytes);
	in_part = leave_members_out(data, &bytes);
	orders_begin(&third);
	assert_int_equal(
		bw_sched_load(third.sched, third.now_ms, in_part, bytes),
		BW_OK);
	orders_add_worker(&third, "w1");
	add_gang_job(&third);
	assert_last_step_starts(&third);
	g_free(data);
	g_free(in_part);
	bw_sched_destroy(second.sched);
	bw_sched_destroy(third.sched);
}

/*
 * Failure: each try to place a gang that found no room for all its members took
 * a run number. The numbers of an owner are not stored before a start, so that
 * they ran into those kept for its successors.
 */
static void test_gang_without_room_takes_no_run_number(void **state)
{
	orders_t o;
	uint32_t i;

	(void)state;
	orders_begin_with_worker(&o);
	add_gang_job_with(&o, 3000);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	assert_int_equal(o.starts[0].task.step, 1);
	for (i = 0; i < 100; i++)
		orders_run(&o, 10);
	assert_int_equal(o.start_count, 1);
	orders_add_worker(&o, "w2");
	orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
	orders_save(&o);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 1 + MEMBERS);
	for (i = 1; i <= MEMBERS; i++)
		assert_int_equal(o.starts[i].run, 1);
	bw_sched_destroy(o.sched);
}

/*
 * Failure: a new owner that has the list of one of a gang's workers stops the
 * members there, before it knows that the others run on the other worker.
 */
static void test_gang_goes_on_while_a_worker_is_not_heard(void **state)
{
	bw_run_row_t rows[MEMBERS] = { 0 };
	orders_t before;
	orders_t o;
	uint32_t i;

	(void)state;
	orders_begin_with_worker(&before);
	orders_add_worker(&before, "w2");
	orders_answer_heartbeat(&before, "w2", NULL, 0, NULL, 0);
	orders_save(&before);
	succeed_with_gang_job(&before, &o);
	orders_add_worker(&o, "w2");
	for (i = 0; i < MEMBERS; i++) {
		orders_init_lasting_row(&rows[i], i);
		rows[i].progress = 0;
	}
	orders_answer_heartbeat(&o, "w1", rows, MEMBERS - 1, NULL, 0);
	orders_save(&o);
	orders_run(&o, 10);
	assert_int_equal(o.stop_count, 0);
	orders_answer_heartbeat(&o, "w2", &rows[MEMBERS - 1], 1, NULL, 0);
	orders_run(&o, 10);
	assert_int_equal(o.stop_count, 0);
	bw_sched_destroy(o.sched);
}

/* Failure: after an end in which one member has saved more than the others, or
 * one has saved nothing, each is started with its own checkpoint. */
static void test_members_start_from_one_checkpoint(void **state)
{
	static const char *const saved[MEMBERS] = { "", "c1", "c2" };
	bw_end_row_t ends[MEMBERS];
	orders_t o;
	uint32_t i;

	(void)state;
	orders_begin_with_worker(&o);
	add_gang_job(&o);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, MEMBERS + 1);
	for (i = 0; i < MEMBERS; i++) {
		ends[i] = done_end(i + 1, 0, i);
		ends[i].kind = BW_END_GANG_BROKEN;
		ends[i].checkpoint = saved[i];
	}
	orders_answer_heartbeat(&o, "w1", NULL, 0, ends, MEMBERS);
	orders_save(&o);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 2 * MEMBERS + 1);
	for (i = 0; i < MEMBERS; i++)
		assert_string_equal(o.starts[MEMBERS + 1 + i].checkpoint, "c1");
	bw_sched_destroy(o.sched);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_finished_gang_is_lost_after_two_owners),
		cmocka_unit_test(test_gang_stored_in_part_is_finished),
		cmocka_unit_test(test_gang_goes_on_while_a_worker_is_not_heard),
		cmocka_unit_test(test_gang_without_room_takes_no_run_number),
		cmocka_unit_test(test_members_start_from_one_checkpoint),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
