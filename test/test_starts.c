/* Starts in the window: over a slow link, and however they end. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "sched_orders.h"

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
	orders_answer_heartbeat(o, "w1", rows, count, end, end ? 1 : 0);
	g_free(rows);
}

/* Runs the scheduler for a time; the worker answers each heartbeat. */
static void run_with_link(link_t *l, int64_t ms)
{
	orders_t *o = l->o;
	int64_t end_ms = o->now_ms + ms;

	while (o->now_ms < end_ms) {
		uint32_t sent = o->start_count;

		orders_run(o, 1);
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
	orders_begin(o);
	orders_add_worker_with(o, "w1", 1000000);
	orders_answer_heartbeat(o, "w1", NULL, 0, NULL, 0);
	orders_save(o);
	orders_run(o, 10);
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
	orders_add_job(&o, JOB_A, 500, false, 1000, 60000);
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
	orders_add_job(&o, JOB_A, 500, false, 1000, 60000);
	run_with_link(&l, 20);
	sent = o.start_count;
	assert_true(sent < 250);
	orders_add_job(&o, JOB_B, 24, true, 1000, 0);
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
	orders_add_job(&o, JOB_A, 500, false, 1000, 60000);
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
	orders_add_job(&o, JOB_A, 500, false, 2000, 60000);
	run_with_link(&l, 10);
	assert_int_equal(o.start_count, 500);
	for (i = 0; i < BACKLOG_JOBS; i++) {
		g_snprintf(id, sizeof(id), "%016x", i + 1);
		orders_add_job(&o, id, 1, false, 2000, 60000);
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
	orders_add_job(&o, JOB_A, 500, false, 2000, 60000);
	run_with_link(&l, 10);
	orders_add_job(&o, JOB_B, 5, false, 2000, 60000);
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
	orders_run(&o, 10);
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
	orders_answer_heartbeat(o, "w1", NULL, 0, ends, o->start_count);
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
	orders_answer_heartbeat(o, "w1", NULL, 0, NULL, 0);
	orders_run(o, 10);
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

		orders_begin(&o);
		orders_add_worker_with(&o, "w1", 1000000);
		orders_answer_heartbeat(&o, "w1", NULL, 0, NULL, 0);
		orders_save(&o);
		orders_add_job(&o, JOB_A, 300, false, 1000, 60000);
		orders_run(&o, 10);
		first = o.start_count;
		assert_in_range(first, 1, 299);
		ways[i](&o);
		answer_all_starts(&o, first, BW_ORDER_LOST);
		orders_add_worker_with(&o, "w2", 1000000);
		orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
		orders_save(&o);
		orders_add_job(&o, JOB_B, 300, false, 1000, 60000);
		o.now_ms += 200;
		orders_answer_heartbeat(&o, "w2", NULL, 0, NULL, 0);
		orders_run(&o, 10);
		second = o.start_count - first;
		/* The window has shrunk at most once. */
		assert_in_range(second, first / 2, 299);
		answer_all_starts(&o, o.start_count, BW_ORDER_OK);
		orders_run(&o, 10);
		assert_true(o.start_count > first + second);
		bw_sched_destroy(o.sched);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_starts_are_not_lost_on_a_slow_link),
		cmocka_unit_test(test_lasting_tasks_do_not_wait_for_others),
		cmocka_unit_test(test_quick_answers_hold_nothing_back),
		cmocka_unit_test(test_freed_room_is_used_at_once),
		cmocka_unit_test(test_short_queue_is_placed_at_once),
		cmocka_unit_test(test_gang_is_not_split),
		cmocka_unit_test(test_starts_leave_the_window_however_they_end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
