#include "held_task.h"

#include "test.h"

#include <string.h>

#include <glib.h>

/* Lets an end of w1 be acknowledged by the heartbeat that is in flight. */
static void acknowledge_an_end(orders_t *o)
{
	bw_end_row_t end = {
		.number = 57, .run = 1, .kind = BW_END_DONE, .checkpoint = ""
	};

	g_strlcpy(end.task.job, JOB_EARLY, sizeof(end.task.job));
	orders_answer_heartbeat(o, "w1", NULL, 0, &end, 1);
	o->now_ms += 3500;
	orders_answer_heartbeat(o, "w1", NULL, 0, &end, 1);
	orders_save(o);
	orders_answer_heartbeat(o, "w1", NULL, 0, NULL, 0);
	orders_run(o, 10);
	assert_int_equal(o->acked, 57);
}

void held_begin(orders_t *o)
{
	orders_begin_with_worker(o);
	acknowledge_an_end(o);
	orders_add_job(o, JOB_A, 1, false, 1000, 20);
	orders_run(o, 10);
	assert_int_equal(o->start_count, 1);
	bw_sched_start_answered(o->sched, o->now_ms, "w1", &o->starts[0].task,
				1, BW_ORDER_OK, 0);
	o->held_on = "w1";
	orders_add_worker(o, "w2");
	orders_answer_heartbeat(o, "w2", NULL, 0, NULL, 0);
	orders_save(o);
	orders_register_boot(o, SECOND_BOOT_MS);
	orders_run(o, 10);
	orders_answer_as_boot(o, "w1", SECOND_BOOT_MS, NULL, 0, NULL, 0);
	orders_run(o, 10);
}

void held_succeed(orders_t *before, orders_t *o, int64_t started_ms)
{
	orders_succeed(before, o);
	o->held_on = "w1";
	orders_register_boot(o, started_ms);
	orders_add_worker(o, "w2");
	orders_add_job(o, JOB_A, 1, false, 1000, 20);
	orders_run(o, 10);
	orders_save(o);
}

void held_take_over(orders_t *o, int64_t started_ms)
{
	orders_t before;

	held_begin(&before);
	bw_sched_hand_over(before.sched);
	held_succeed(&before, o, started_ms);
}

static void answer_stops(orders_t *o)
{
	for (; o->stops_answered < o->stop_count; o->stops_answered++) {
		uint32_t i = o->stops_answered;

		bw_sched_stop_answered(o->sched, o->now_ms, o->stops[i].worker,
				       &o->stops[i].task, o->stops[i].run,
				       BW_ORDER_OK);
	}
}

void held_pass(orders_t *o, int64_t started_ms, bw_order_result_t answer)
{
	int i;

	for (i = 0; i < HELD_ROUNDS; i++) {
		orders_answer_as_boot(o, "w1", started_ms, NULL, 0, NULL, 0);
		orders_answer_heartbeat(o, "w2", NULL, 0, NULL, 0);
		orders_run(o, ROUND_MS);
		orders_answer_questions(o, answer);
		answer_stops(o);
		orders_save(o);
	}
}

void held_start_beside_an_acknowledgement(orders_t *o, int64_t clock_ms)
{
	bw_heartbeat_answer_t unconnected = { .result = BW_ORDER_NOT_SENT };
	int i;

	orders_begin_with_worker(o);
	acknowledge_an_end(o);
	o->keeps_no_connection = true;
	for (i = 0; i < 3; i++) {
		bw_sched_heartbeat_answered(o->sched, o->now_ms, "w1",
					    &unconnected);
		orders_run(o, 0);
		orders_answer_heartbeat(o, "w1", NULL, 0, NULL, 0);
		orders_run(o, 0);
	}
	assert_false(o->same_boot);
	assert_int_equal(o->acked, 57);
	orders_add_job(o, JOB_A, 1, false, 1000, 20);
	orders_run(o, 10);
	assert_int_equal(o->start_count, 1);
	bw_sched_start_answered(o->sched, o->now_ms, "w1", &o->starts[0].task,
				1, BW_ORDER_OK, clock_ms);
	o->held_on = "w1";
}
