/* Heartbeats and the connections that workers keep, or don't: what may go over
 * a new one, which the next boot may answer. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "sched_orders.h"

#define FIRST_BOOT_MS  5
#define SECOND_BOOT_MS 6
/** Clock of a worker that has been up for a while. */
#define OLD_CLOCK_MS 90000

static void fail_unconnected(orders_t *o)
{
	bw_heartbeat_answer_t answer = { .result = BW_ORDER_NOT_SENT,
					 .sent_ms = o->now_ms };

	bw_sched_heartbeat_answered(o->sched, o->now_ms, "w1", &answer);
}

static void answer_with_clock(orders_t *o, int64_t clock_ms)
{
	orders_answer_boot(o, &(orders_boot_t){ .started_ms = FIRST_BOOT_MS,
						.clock_ms = clock_ms });
}

/* w1 has an acknowledged end and a grant. */
static void begin_with_acknowledged_end(orders_t *o)
{
	bw_end_row_t end = {
		.number = 1, .run = 1, .kind = BW_END_DONE, .checkpoint = ""
	};

	orders_begin_with_worker(o);
	orders_add_job(o, JOB_B, 1, false, 1000, 500);
	orders_run(o, 10);
	assert_int_equal(o->start_count, 1);
	o->start_count = 0;
	g_strlcpy(end.task.job, JOB_B, sizeof(end.task.job));
	orders_answer_boot(o, &(orders_boot_t){ .started_ms = FIRST_BOOT_MS,
						.clock_ms = OLD_CLOCK_MS,
						.ends = &end,
						.end_count = 1 });
	orders_save(o);
	orders_run(o, 10);
	assert_int_equal(o->acked, 1);
	assert_true(o->grant_clock_ms > 0);
}

/* A heartbeat that waits for a connection may reach the next boot. */
static void test_acknowledgement_and_grant_need_a_kept_connection(void **state)
{
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	assert_int_equal(o.acked, 0);
	assert_true(o.grant_clock_ms > 0);
	assert_true(o.same_boot);
	bw_sched_destroy(o.sched);
	begin_with_acknowledged_end(&o);
	assert_true(o.same_boot);
	bw_sched_destroy(o.sched);
	orders_begin(&o);
	orders_add_worker(&o, "w1");
	orders_run(&o, 10);
	assert_int_equal(o.heartbeat_count, 1);
	assert_false(o.same_boot);
	bw_sched_destroy(o.sched);
}

static void test_worker_without_connection_is_asked_at_once(void **state)
{
	uint32_t count;
	orders_t o;

	(void)state;
	begin_with_acknowledged_end(&o);
	count = o.heartbeat_count;
	fail_unconnected(&o);
	orders_run(&o, 0);
	assert_int_equal(o.heartbeat_count, count + 1);
	assert_false(o.same_boot);
	assert_int_equal(o.acked, 0);
	assert_int_equal(o.grant_clock_ms, 0);
	assert_int_equal(o.heartbeat_wait_ms, 0);
	o.now_ms += 1;
	answer_with_clock(&o, OLD_CLOCK_MS + 20);
	orders_add_job(&o, JOB_A, 1, false, 1000, 500);
	orders_run(&o, 0);
	assert_true(o.same_boot);
	assert_int_equal(o.acked, 1);
	assert_int_equal(o.grant_clock_ms, OLD_CLOCK_MS + 20 + 5000);
	/* It was out of use for the time of that answer only. */
	assert_int_equal(o.start_count, 1);
	bw_sched_destroy(o.sched);
}

/* It is asked again also if that comes within the millisecond in which its
 * restart became known. */
static void
test_restarted_worker_without_connection_is_asked_at_once(void **state)
{
	uint32_t count;
	orders_t o;

	(void)state;
	begin_with_acknowledged_end(&o);
	orders_answer_boot(&o, &(orders_boot_t){ .started_ms = SECOND_BOOT_MS,
						 .clock_ms = 50 });
	orders_run(&o, 0);
	assert_true(o.same_boot);
	count = o.heartbeat_count;
	fail_unconnected(&o);
	orders_run(&o, 0);
	assert_int_equal(o.heartbeat_count, count + 1);
	assert_false(o.same_boot);
	bw_sched_destroy(o.sched);
}

/* Its grant and its ends would never be confirmed over kept connections. */
static void test_worker_that_keeps_no_connection_gets_its_grant(void **state)
{
	orders_t o;
	int i;

	(void)state;
	begin_with_acknowledged_end(&o);
	o.keeps_no_connection = true;
	for (i = 0; i < 3; i++) {
		assert_true(o.same_boot);
		fail_unconnected(&o);
		orders_run(&o, 0);
		assert_false(o.same_boot);
		assert_int_equal(o.acked, 0);
		o.now_ms += 1;
		answer_with_clock(&o, OLD_CLOCK_MS + 20 + i);
		orders_run(&o, 0);
	}
	for (i = 0; i < 3; i++) {
		assert_false(o.same_boot);
		/* It needs to be told once that an end was read. */
		assert_int_equal(o.acked, i == 0 ? 1 : 0);
		assert_true(o.grant_clock_ms > 0);
		o.now_ms += 1000;
		answer_with_clock(&o, OLD_CLOCK_MS + 1000 * (i + 1));
		orders_run(&o, 0);
	}
	/* After a failure it may be another boot. */
	orders_fail_heartbeat(&o, "w1");
	orders_run(&o, 0);
	assert_int_equal(o.acked, 0);
	answer_with_clock(&o, OLD_CLOCK_MS + 4000);
	orders_run(&o, 0);
	assert_int_equal(o.acked, 1);
	assert_true(o.same_boot);
	bw_sched_destroy(o.sched);
}

/* The same, and w1 has shown that it keeps no connections. */
static void begin_without_kept_connections(orders_t *o)
{
	int i;

	begin_with_acknowledged_end(o);
	o->keeps_no_connection = true;
	for (i = 0; i < 3; i++) {
		fail_unconnected(o);
		orders_run(o, 0);
		o->now_ms += 1;
		answer_with_clock(o, OLD_CLOCK_MS + 20 + i);
		orders_run(o, 0);
	}
}

/* A crash cut the heartbeat that was waiting for an end, whose acknowledgement
 * the next boot may have carried out: the number of an end was sent again and
 * again. */
static void test_long_poll_acknowledges_ends_to_the_next_boot(void **state)
{
	orders_t o;
	int i;

	(void)state;
	begin_without_kept_connections(&o);
	assert_int_equal(o.acked, 1);
	assert_int_equal(o.heartbeat_wait_ms, 0);
	for (i = 0; i < 3; i++) {
		o.now_ms += 1000;
		answer_with_clock(&o, OLD_CLOCK_MS + 1000 * (i + 1));
		orders_run(&o, 0);
		assert_false(o.same_boot);
		assert_int_equal(o.acked, 0);
		assert_true(o.heartbeat_wait_ms > 0);
	}
	bw_sched_destroy(o.sched);
}

static void
test_next_boot_is_not_taken_for_one_without_connections(void **state)
{
	orders_t o;

	(void)state;
	begin_without_kept_connections(&o);
	assert_false(o.same_boot);
	o.now_ms += 1;
	orders_answer_boot(&o, &(orders_boot_t){ .started_ms = SECOND_BOOT_MS,
						 .clock_ms = o.now_ms });
	orders_run(&o, 10);
	assert_true(o.grant_clock_ms > 0);
	assert_true(o.same_boot);
	bw_sched_destroy(o.sched);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_acknowledgement_and_grant_need_a_kept_connection),
		cmocka_unit_test(
			test_worker_without_connection_is_asked_at_once),
		cmocka_unit_test(
			test_restarted_worker_without_connection_is_asked_at_once),
		cmocka_unit_test(
			test_worker_that_keeps_no_connection_gets_its_grant),
		cmocka_unit_test(
			test_long_poll_acknowledges_ends_to_the_next_boot),
		cmocka_unit_test(
			test_next_boot_is_not_taken_for_one_without_connections),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
