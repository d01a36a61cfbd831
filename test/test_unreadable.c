/* Records that an owner can't read, since a newer version wrote them or since
 * they are malformed. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "sched_orders.h"
#include "wire/record.pb-c.h"
#include "wire/version.h"

/** A change of the value that an owner reads. */
typedef void (*change_fn)(Bramley__PoolRecord *record);

static void write_newer_version(Bramley__PoolRecord *record)
{
	record->version = BW_POOL_BITS_VERSION + 1;
}

static void leave_version_out(Bramley__PoolRecord *record)
{
	record->version = 0;
}

static void write_unknown_state(Bramley__PoolRecord *record)
{
	record->jobs[0]->state = BW_JOB_STATE_COUNT;
}

static void cut_job_id(Bramley__PoolRecord *record)
{
	record->jobs[0]->id[3] = '\0';
}

static void list_job_twice(Bramley__PoolRecord *record)
{
	g_strlcpy(record->jobs[1]->id, record->jobs[0]->id,
		  BW_JOB_ID_CHARS + 1);
}

static void list_worker_twice(Bramley__PoolRecord *record)
{
	record->workers[1]->id[1] = record->workers[0]->id[1];
}

/* Packs the value of an owner that has started two jobs, on w1 and w2. */
static uint8_t *pack_value(size_t *bytes)
{
	orders_t o;
	uint8_t *data;

	orders_begin_with_worker(&o);
	orders_add_worker(&o, "w2");
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	orders_add_job(&o, JOB_B, 1, false, 1000, 500);
	orders_run(&o, 10);
	assert_int_equal(o.start_count, 2);
	data = bw_sched_pack(o.sched, bytes);
	bw_sched_destroy(o.sched);
	return data;
}

static uint8_t *pack_changed_value(change_fn change, size_t *bytes)
{
	uint8_t *data = pack_value(bytes);
	Bramley__PoolRecord *record =
		bramley__pool_record__unpack(NULL, *bytes, data);

	assert_int_equal(record->n_jobs, 2);
	assert_int_equal(record->n_workers, 2);
	change(record);
	g_free(data);
	*bytes = bramley__pool_record__get_packed_size(record);
	data = g_malloc(*bytes + 1);
	bramley__pool_record__pack(record, data);
	bramley__pool_record__free_unpacked(record, NULL);
	return data;
}

/*
 * An owner that took a value that it can't read for that of a pool without
 * tasks would start all of them again.
 */
static void test_value_that_cannot_be_read_is_refused(void **state)
{
	static const struct {
		const char *name;
		change_fn change;
		const char *message;
	} cases[] = {
		{ "newer version", write_newer_version,
		  "a pool record of version 4, this program reads 1 to 3" },
		{ "no version", leave_version_out,
		  "a pool record of version 0, this program reads 1" },
		{ "unknown state", write_unknown_state, "state 6" },
		{ "malformed job", cut_job_id, "not a job's identifier" },
		{ "a job twice", list_job_twice, "twice" },
		{ "a worker twice", list_worker_twice, "twice" },
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		size_t bytes;
		uint8_t *data = pack_changed_value(cases[i].change, &bytes);
		bw_status_t status;
		orders_t o;

		orders_begin(&o);
		status = bw_sched_load(o.sched, o.now_ms, data, bytes);
		if (status != BW_EPARSE)
			print_error("case: %s\n", cases[i].name);
		assert_int_equal(status, BW_EPARSE);
		if (!strstr(bw_status_message(), cases[i].message))
			print_error("message: %s\n", bw_status_message());
		assert_non_null(strstr(bw_status_message(), cases[i].message));
		bw_sched_destroy(o.sched);
		g_free(data);
	}
}

/* The control: the same value, not changed. */
static void test_value_of_this_version_is_read(void **state)
{
	size_t bytes;
	uint8_t *data = pack_value(&bytes);
	orders_t o;

	(void)state;
	orders_begin(&o);
	assert_int_equal(bw_sched_load(o.sched, o.now_ms, data, bytes), BW_OK);
	bw_sched_destroy(o.sched);
	g_free(data);
}

/* The jobs that an owner can't read. An earlier owner may have started them,
 * and a later one may read them. */

/** Longer than a run of a job that does not exist is tolerated, and longer than
 * grants of an earlier owner last. */
#define LONG_ROUNDS  150
#define ROUND_MS     100
#define RETENTION_MS 120000
/** Enough for stops of an earlier owner, and less than its grants last. */
#define UNSETTLED_ROUNDS 15

/* Takes over from an owner that crashed and had started JOB_A on w1. */
static void take_over_unreadable_job(orders_t *o)
{
	orders_t before;

	orders_begin_with_worker(&before);
	orders_add_job(&before, JOB_A, 1, true, 1000, 0);
	orders_run(&before, 10);
	assert_int_equal(before.start_count, 1);
	orders_succeed(&before, o);
	orders_add_worker(o, "w1");
	bw_sched_add_unreadable(o->sched, JOB_A);
}

static Bramley__PoolRecord *pack_record(orders_t *o)
{
	size_t bytes;
	uint8_t *data = bw_sched_pack(o->sched, &bytes);
	Bramley__PoolRecord *record =
		bramley__pool_record__unpack(NULL, bytes, data);

	assert_non_null(record);
	g_free(data);
	return record;
}

/* A later owner would number the runs from the first again. */
static void test_progress_of_a_job_that_cannot_be_read_is_kept(void **state)
{
	Bramley__PoolRecord *record;
	orders_t o;

	(void)state;
	take_over_unreadable_job(&o);
	orders_run(&o, ROUND_MS);
	record = pack_record(&o);
	assert_int_equal(record->n_jobs, 1);
	assert_string_equal(record->jobs[0]->id, JOB_A);
	assert_int_equal(record->jobs[0]->n_tasks, 1);
	assert_int_equal(record->jobs[0]->tasks[0]->run, 1);
	bramley__pool_record__free_unpacked(record, NULL);
	bw_sched_destroy(o.sched);
}

/* A run that it lists is of a job that exists. */
static void test_run_of_a_job_that_cannot_be_read_goes_on(void **state)
{
	bw_run_row_t row;
	orders_t o;
	uint32_t i;

	(void)state;
	take_over_unreadable_job(&o);
	orders_init_lasting_row(&row, 0);
	for (i = 0; i < LONG_ROUNDS; i++) {
		orders_answer_heartbeat(&o, "w1", &row, 1, NULL, 0);
		orders_save(&o);
		orders_run(&o, ROUND_MS);
	}
	assert_int_equal(o.stop_count, 0);
	/* What the run uses is not known. */
	orders_add_job(&o, JOB_B, 1, false, 1000, 500);
	orders_run(&o, ROUND_MS);
	assert_int_equal(o.start_count, 0);
	bw_sched_destroy(o.sched);
}

/*
 * An end that is acknowledged is lost for the owner that can read the job. The
 * worker gets no more tasks, so that its list of ends has room for all.
 */
static void test_end_of_a_job_that_cannot_be_read_stays_listed(void **state)
{
	bw_end_row_t end = {
		.number = 1, .run = 1, .kind = BW_END_DONE, .checkpoint = ""
	};
	orders_t o;
	uint32_t i;

	(void)state;
	take_over_unreadable_job(&o);
	g_strlcpy(end.task.job, JOB_A, sizeof(end.task.job));
	for (i = 0; i < LONG_ROUNDS; i++) {
		orders_answer_heartbeat(&o, "w1", NULL, 0, &end, 1);
		orders_save(&o);
		orders_run(&o, ROUND_MS);
		assert_int_equal(o.acked, 0);
	}
	assert_true(bw_sched_recovered(o.sched));
	orders_add_job(&o, JOB_B, 1, false, 1000, 500);
	orders_run(&o, ROUND_MS);
	assert_int_equal(o.start_count, 0);
	/* Once the job is read, so is its end. */
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	orders_save(&o);
	orders_answer_heartbeat(&o, "w1", NULL, 0, &end, 1);
	orders_run(&o, ROUND_MS);
	assert_int_equal(bw_sched_job_state(o.sched, JOB_A), BW_JOB_COMPLETED);
	assert_int_equal(o.start_count, 1);
	assert_string_equal(o.starts[0].task.job, JOB_B);
	bw_sched_destroy(o.sched);
}

/* Which of its tasks run is not known, so the successor must ask all workers.
 */
static void test_owner_of_a_job_that_cannot_be_read_knows_not_all(void **state)
{
	Bramley__PoolRecord *record;
	orders_t o;
	uint32_t i;

	(void)state;
	take_over_unreadable_job(&o);
	for (i = 0; i < LONG_ROUNDS; i++) {
		orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
		orders_save(&o);
		orders_run(&o, ROUND_MS);
	}
	assert_true(bw_sched_recovered(o.sched));
	bw_sched_hand_over(o.sched);
	record = pack_record(&o);
	assert_false(record->handed_over);
	bramley__pool_record__free_unpacked(record, NULL);
	bw_sched_destroy(o.sched);
}

/* An earlier owner may have started a job of which the value tells nothing. */
static void test_job_that_becomes_readable_may_be_running(void **state)
{
	orders_t before;
	orders_t o;
	uint32_t i;

	(void)state;
	orders_begin_with_worker(&before);
	orders_add_worker(&before, "w2");
	orders_succeed(&before, &o);
	orders_add_worker(&o, "w1");
	orders_add_worker(&o, "w2");
	bw_sched_add_unreadable(o.sched, JOB_A);
	orders_run(&o, ROUND_MS);
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	orders_save(&o);
	/* w2 has not said what runs on it. */
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	for (i = 0; i < UNSETTLED_ROUNDS; i++) {
		orders_run(&o, ROUND_MS);
		orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
		orders_save(&o);
	}
	assert_false(bw_sched_recovered(o.sched));
	assert_int_equal(o.start_count, 0);
	bw_sched_destroy(o.sched);
}

/* The value knows the end, but what else the record says is not known. */
static void test_record_that_cannot_be_read_is_not_removed(void **state)
{
	const char *ids[2];
	bw_ended_job_t ended[2];
	orders_t before;
	orders_t o;

	(void)state;
	orders_begin_with_worker(&before);
	orders_add_job(&before, JOB_A, 1, false, 1000, 500);
	orders_add_job(&before, JOB_B, 1, false, 1000, 500);
	bw_sched_cancel(before.sched, before.now_ms, JOB_A);
	bw_sched_cancel(before.sched, before.now_ms, JOB_B);
	orders_run(&before, ROUND_MS);
	orders_succeed(&before, &o);
	orders_add_worker(&o, "w1");
	bw_sched_add_unreadable(o.sched, JOB_A);
	orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
	orders_run(&o, RETENTION_MS);
	orders_save(&o);
	assert_int_equal(bw_sched_removable(o.sched, o.now_ms, ids, 2), 1);
	assert_string_equal(ids[0], JOB_B);
	assert_int_equal(bw_sched_shortenable(o.sched, o.now_ms, ended, 2), 0);
	bw_sched_destroy(o.sched);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_value_of_this_version_is_read),
		cmocka_unit_test(test_value_that_cannot_be_read_is_refused),
		cmocka_unit_test(
			test_progress_of_a_job_that_cannot_be_read_is_kept),
		cmocka_unit_test(test_run_of_a_job_that_cannot_be_read_goes_on),
		cmocka_unit_test(
			test_end_of_a_job_that_cannot_be_read_stays_listed),
		cmocka_unit_test(
			test_owner_of_a_job_that_cannot_be_read_knows_not_all),
		cmocka_unit_test(test_job_that_becomes_readable_may_be_running),
		cmocka_unit_test(
			test_record_that_cannot_be_read_is_not_removed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
