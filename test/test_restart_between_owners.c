/* Workers that restart under their identifier after the earlier owner's last
 * save: the next boot may have carried out an order by the clock before it. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "sched_orders.h"
#include "wire/record.pb-c.h"

#define FIRST_BOOT_MS  5
#define SECOND_BOOT_MS 6
/** Grants of an earlier owner that has stopped end within this time. */
#define GRANT_OVER_MS 5700
/** Stops of an earlier owner are carried out within this time. */
#define STOPS_OVER_MS 700
/** The longest hold, in which a boot's run of such an order goes on. */
#define HOLD_MS 10000
/** An order is carried out up to 12 s late; a clock may be 2 % slow. */
#define LATE_HOLD_OVER_MS 23000

/* Starts the only task of JOB_A on w1, beside an idle worker w2. */
static void begin_with_start(orders_t *o)
{
	orders_begin_with_worker(o);
	orders_add_job(o, JOB_A, 1, false, 1000, 500);
	orders_run(o, 10);
	assert_int_equal(o->start_count, 1);
	assert_string_equal(o->starts[0].worker, "w1");
	orders_add_worker(o, "w2");
	orders_answer_heartbeat(o, "w2", NULL, 0, NULL, 0);
	orders_save(o);
}

/* Lets the new owner read the job and w2, after the earlier one has stopped. */
static void begin_next(orders_t *o)
{
	bw_sched_predecessor_stopped(o->sched, o->now_ms);
	orders_add_worker(o, "w2");
	orders_add_job(o, JOB_A, 1, false, 1000, 500);
	orders_answer_heartbeat(o, "w2", NULL, 0, NULL, 0);
	orders_save(o);
}

/* Takes the pool over from an owner that knew the first boot of w1. */
static void take_over(orders_t *o)
{
	orders_t before;

	begin_with_start(&before);
	orders_succeed(&before, o);
	begin_next(o);
}

/* Lets time pass in which only w2 answers. */
static void pass_without_w1(orders_t *o, int64_t ms)
{
	int64_t end_ms = o->now_ms + ms;

	while (o->now_ms < end_ms) {
		orders_run(o, 100);
		orders_answer_heartbeat(o, "w2", NULL, 0, NULL, 0);
		orders_fail_heartbeat(o, "w1");
	}
}

/* Answers a heartbeat of w1's second boot. */
static void answer_as_second_boot(orders_t *o, const bw_run_row_t *run)
{
	orders_answer_boot(o, &(orders_boot_t){ .started_ms = SECOND_BOOT_MS,
						.clock_ms = 50 + o->now_ms,
						.runs = run,
						.run_count = run ? 1 : 0 });
}

static void assert_started_on_w2(const orders_t *o)
{
	assert_int_equal(o->start_count, 1);
	assert_string_equal(o->starts[0].worker, "w2");
}

/*
 * Failure: the second boot carries the earlier owner's order out, whose grant
 * it cuts to the longest hold. The next owner can't reach it and starts the
 * task elsewhere once a grant by the first boot's clock is over.
 */
static void
test_run_of_a_boot_unknown_to_the_earlier_owner_is_doubled(void **state)
{
	orders_t o;

	(void)state;
	take_over(&o);
	orders_register_boot(&o, SECOND_BOOT_MS);
	pass_without_w1(&o, HOLD_MS);
	assert_int_equal(o.start_count, 0);
	pass_without_w1(&o, LATE_HOLD_OVER_MS - HOLD_MS);
	assert_started_on_w2(&o);
	bw_sched_destroy(o.sched);
}

/* The same if an owner in between has never heard of w1. */
static void test_owner_that_never_heard_a_worker_hides_its_restart(void **state)
{
	orders_t between;
	orders_t o;

	(void)state;
	take_over(&between);
	orders_succeed(&between, &o);
	begin_next(&o);
	orders_register_boot(&o, SECOND_BOOT_MS);
	pass_without_w1(&o, HOLD_MS);
	assert_int_equal(o.start_count, 0);
	pass_without_w1(&o, LATE_HOLD_OVER_MS - HOLD_MS);
	assert_started_on_w2(&o);
	bw_sched_destroy(o.sched);
}

/* The same if an owner in between has seen the second boot's registration. */
static void test_restart_seen_by_an_owner_in_between_counts(void **state)
{
	orders_t between;
	orders_t o;

	(void)state;
	take_over(&between);
	assert_false(bw_sched_urgent(between.sched));
	orders_register_boot(&between, SECOND_BOOT_MS);
	assert_true(bw_sched_urgent(between.sched));
	orders_succeed(&between, &o);
	begin_next(&o);
	orders_register_boot(&o, SECOND_BOOT_MS);
	pass_without_w1(&o, HOLD_MS);
	assert_int_equal(o.start_count, 0);
	pass_without_w1(&o, LATE_HOLD_OVER_MS - HOLD_MS);
	assert_started_on_w2(&o);
	bw_sched_destroy(o.sched);
}

/* A worker that may have run the order, and is heard once, is silent then. */
static void test_run_that_a_second_boot_has_listed_is_doubled(void **state)
{
	bw_run_row_t row = { .task = { .job = JOB_A },
			     .run = 1,
			     .checkpoint = "" };
	orders_t o;

	(void)state;
	take_over(&o);
	answer_as_second_boot(&o, &row);
	orders_run(&o, 10);
	assert_true(bw_sched_recovered(o.sched));
	pass_without_w1(&o, HOLD_MS);
	assert_int_equal(o.start_count, 0);
	pass_without_w1(&o, 1000);
	assert_started_on_w2(&o);
	bw_sched_destroy(o.sched);
}

/* A boot that has seen the new token takes no earlier order any more. */
static void test_answer_of_a_second_boot_ends_the_wait(void **state)
{
	orders_t o;

	(void)state;
	take_over(&o);
	orders_register_boot(&o, SECOND_BOOT_MS);
	pass_without_w1(&o, 300);
	assert_false(bw_sched_recovered(o.sched));
	answer_as_second_boot(&o, NULL);
	orders_run(&o, 10);
	assert_true(bw_sched_recovered(o.sched));
	pass_without_w1(&o, STOPS_OVER_MS);
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
}

static void
test_worker_that_has_not_restarted_is_waited_for_no_longer(void **state)
{
	orders_t o;

	(void)state;
	take_over(&o);
	orders_register_boot(&o, FIRST_BOOT_MS);
	pass_without_w1(&o, GRANT_OVER_MS);
	assert_started_on_w2(&o);
	bw_sched_destroy(o.sched);
}

/* Creates a successor from a state that an earlier version has stored. */
static void succeed_earlier_version(orders_t *before, orders_t *o)
{
	Bramley__PoolRecord *record;
	size_t bytes;
	uint8_t *data = bw_sched_pack(before->sched, &bytes);
	size_t i;

	bw_sched_destroy(before->sched);
	record = bramley__pool_record__unpack(NULL, bytes, data);
	assert_non_null(record);
	for (i = 0; i < record->n_workers; i++)
		record->workers[i]->started_ms = 0;
	bytes = bramley__pool_record__pack(record, data);
	bramley__pool_record__free_unpacked(record, NULL);
	orders_begin(o);
	assert_int_equal(bw_sched_load(o->sched, o->now_ms, data, bytes),
			 BW_OK);
	g_free(data);
}

/* Each start of a worker would look like a restart. */
static void test_boot_that_is_not_stored_is_no_earlier_one(void **state)
{
	orders_t before;
	orders_t o;

	(void)state;
	begin_with_start(&before);
	succeed_earlier_version(&before, &o);
	begin_next(&o);
	orders_register_boot(&o, SECOND_BOOT_MS);
	pass_without_w1(&o, GRANT_OVER_MS);
	assert_started_on_w2(&o);
	bw_sched_destroy(o.sched);
}

/* The run of before counts as one of which no end is known, and no more. */
static void test_restart_between_owners_is_counted_once(void **state)
{
	Bramley__PoolRecord *record;
	const Bramley__TaskRecord *task;
	size_t bytes;
	uint8_t *data;
	orders_t o;

	(void)state;
	take_over(&o);
	orders_register_boot(&o, SECOND_BOOT_MS);
	answer_as_second_boot(&o, NULL);
	pass_without_w1(&o, STOPS_OVER_MS);
	assert_int_equal(o.start_count, 1);
	data = bw_sched_pack(o.sched, &bytes);
	record = bramley__pool_record__unpack(NULL, bytes, data);
	assert_int_equal(record->n_jobs, 1);
	assert_int_equal(record->jobs[0]->n_tasks, 1);
	task = record->jobs[0]->tasks[0];
	assert_int_equal(task->hidden_runs, 1);
	assert_int_equal(task->crashes + task->unsure_crashes, 0);
	bramley__pool_record__free_unpacked(record, NULL);
	g_free(data);
	bw_sched_destroy(o.sched);
}

/*
 * Another worker has the stored address. That of the stored boot is no proof
 * that this one has ended: it may have restarted at another address.
 */
static void test_stored_boot_does_not_prove_an_end(void **state)
{
	bw_heartbeat_answer_t other = { .result = BW_ORDER_OTHER_BOOT };
	orders_t o;

	(void)state;
	take_over(&o);
	orders_run(&o, 10);
	other.sent_ms = o.now_ms;
	bw_sched_heartbeat_answered(o.sched, o.now_ms, "w1", &other);
	orders_run(&o, 100);
	assert_false(bw_sched_recovered(o.sched));
	assert_int_equal(o.start_count, 0);
	bw_sched_destroy(o.sched);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_run_of_a_boot_unknown_to_the_earlier_owner_is_doubled),
		cmocka_unit_test(
			test_owner_that_never_heard_a_worker_hides_its_restart),
		cmocka_unit_test(
			test_restart_seen_by_an_owner_in_between_counts),
		cmocka_unit_test(
			test_run_that_a_second_boot_has_listed_is_doubled),
		cmocka_unit_test(test_answer_of_a_second_boot_ends_the_wait),
		cmocka_unit_test(
			test_worker_that_has_not_restarted_is_waited_for_no_longer),
		cmocka_unit_test(
			test_boot_that_is_not_stored_is_no_earlier_one),
		cmocka_unit_test(test_restart_between_owners_is_counted_once),
		cmocka_unit_test(test_stored_boot_does_not_prove_an_end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
