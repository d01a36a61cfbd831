/* Which lasting tasks are stopped while others of their step may be away. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "fleet/controller.h"
#include "fleet/reports.h"
#include "sched_orders.h"

#define PEERS 5

/** A pool with a lasting task on each of some workers, w1 and so on. */
typedef struct lasting_test {
	orders_t o;
	char worker[PEERS][16]; /**< Of each task. */
	bw_run_row_t rows[PEERS];
} lasting_test_t;

static void add_lasting_job(orders_t *o, uint32_t count, uint32_t away_max)
{
	bw_job_record_t record = { .queue = g_strdup("q"),
				   .accepted_ms = o->now_ms,
				   .spec = bw_job_spec_new(1) };
	bw_step_spec_t *step = &record.spec->steps[0];

	record.spec->text = g_strdup("text");
	step->count = count;
	step->lasting = true;
	step->away_max = away_max;
	step->per_worker_max = 1;
	step->need.cpu_millis = 1000;
	step->estimate_ms = 500;
	bw_sched_add_job(o->sched, o->now_ms, o->now_ms, JOB_A, &record);
	bw_job_record_clear(&record);
}

/* Creates a pool of as many workers as the job has tasks, and orders the start
 * of all tasks. */
static void begin(lasting_test_t *t, uint32_t count, uint32_t away_max)
{
	char id[8];
	uint32_t i;

	memset(t, 0, sizeof(*t));
	orders_begin(&t->o);
	for (i = 0; i < count; i++) {
		g_snprintf(id, sizeof(id), "w%u", i + 1);
		orders_add_worker(&t->o, id);
		orders_answer_heartbeat(&t->o, id, NULL, 0, NULL, 0);
	}
	orders_save(&t->o);
	add_lasting_job(&t->o, count, away_max);
	orders_run(&t->o, 10);
	assert_int_equal(t->o.start_count, count);
	for (i = 0; i < count; i++) {
		uint32_t index = t->o.starts[i].task.index;

		g_strlcpy(t->worker[index], t->o.starts[i].worker, 16);
		orders_init_lasting_row(&t->rows[index], index);
	}
}

static void answer_start(lasting_test_t *t, uint32_t index,
			 bw_order_result_t result)
{
	bw_sched_start_answered(t->o.sched, t->o.now_ms, t->worker[index],
				&t->rows[index].task, 1, result, 0);
}

/* The task's worker lists it as at work. */
static void list(lasting_test_t *t, uint32_t index)
{
	orders_answer_heartbeat(&t->o, t->worker[index], &t->rows[index], 1,
				NULL, 0);
}

/* The task's worker does not list it. */
static void list_nothing(lasting_test_t *t, uint32_t index)
{
	orders_answer_heartbeat(&t->o, t->worker[index], NULL, 0, NULL, 0);
}

static void fail_heartbeat(lasting_test_t *t, uint32_t index)
{
	bw_heartbeat_answer_t answer = { .result = BW_ORDER_LOST,
					 .sent_ms = t->o.now_ms };

	bw_sched_heartbeat_answered(t->o.sched, t->o.now_ms, t->worker[index],
				    &answer);
}

/* Lets a task's start be answered and its worker list it as at work. */
static void bring_up(lasting_test_t *t, uint32_t index)
{
	answer_start(t, index, BW_ORDER_OK);
	list(t, index);
}

static void cordon(lasting_test_t *t, uint32_t index)
{
	bw_sched_worker_cordon(t->o.sched, t->worker[index], true);
}

/* Stops the first of two tasks, of whose starts neither has an answer. */
static void stop_unconfirmed_start(lasting_test_t *t)
{
	begin(t, 2, 1);
	t->o.now_ms += 700;
	answer_start(t, 0, BW_ORDER_LOST);
	answer_start(t, 1, BW_ORDER_LOST);
	t->o.now_ms += 10;
	list_nothing(t, 0);
	assert_int_equal(t->o.stop_count, 1);
	assert_int_equal(t->o.stops[0].task.index, 0);
}

/*
 * The start is carried out after all, and the stop is not: what is at work is
 * not stopped again while another task of its step is not.
 */
static void test_late_start_is_not_stopped_while_others_are_away(void **state)
{
	lasting_test_t t;
	int i;

	(void)state;
	stop_unconfirmed_start(&t);
	for (i = 0; i < 40; i++) {
		orders_run(&t.o, 100);
		list(&t, 0);
	}
	assert_int_equal(t.o.stop_count, 1);
	bw_sched_destroy(t.o.sched);
}

/*
 * What goes on against its stop may be stopped late, until no order of before
 * is carried out any more and the last one has taken effect: it counts as away
 * for the others of its step.
 */
static void test_stop_without_an_answer_counts_for_the_others(void **state)
{
	lasting_test_t t;
	int i;

	(void)state;
	stop_unconfirmed_start(&t);
	list(&t, 0);
	bring_up(&t, 1);
	cordon(&t, 1);
	for (i = 0; i < 128; i++) {
		orders_run(&t.o, 100);
		list(&t, 0);
		list(&t, 1);
	}
	assert_int_equal(t.o.stop_count, 1);
	for (i = 0; i < 3; i++) {
		orders_run(&t.o, 100);
		list(&t, 0);
		list(&t, 1);
	}
	assert_int_equal(t.o.stop_count, 2);
	assert_int_equal(t.o.stops[1].task.index, 1);
	bw_sched_destroy(t.o.sched);
}

/* The last list may be old: a run may have come to work since. */
static void test_stop_is_not_repeated_on_an_old_list(void **state)
{
	lasting_test_t t;

	(void)state;
	stop_unconfirmed_start(&t);
	orders_run(&t.o, 900);
	assert_int_equal(t.o.stop_count, 1);
	bw_sched_destroy(t.o.sched);
}

/* Whether a run of a task was ordered to start. */
static bool is_started(const lasting_test_t *t, uint32_t index, uint32_t run)
{
	uint32_t i;

	for (i = 0; i < t->o.start_count; i++)
		if (t->o.starts[i].task.index == index &&
		    t->o.starts[i].run == run)
			return true;
	return false;
}

/* Otherwise the task would wait for an order that never arrives. */
static void test_stop_is_repeated_while_its_run_is_not_listed(void **state)
{
	lasting_test_t t;
	int i;

	(void)state;
	stop_unconfirmed_start(&t);
	for (i = 0; i < 10; i++) {
		orders_run(&t.o, 100);
		list_nothing(&t, 0);
	}
	assert_in_range(t.o.stop_count, 2, 3);
	assert_false(is_started(&t, 0, 2));
	bw_sched_stop_answered(t.o.sched, t.o.now_ms, t.worker[0],
			       &t.rows[0].task, 1, BW_ORDER_OK);
	t.o.now_ms += 600;
	list_nothing(&t, 0);
	orders_save(&t.o);
	orders_run(&t.o, 10);
	assert_true(is_started(&t, 0, 2));
	bw_sched_destroy(t.o.sched);
}

/* Lets time pass in which each worker from a first task's on lists its run. */
static void pass_listing_from(lasting_test_t *t, uint32_t first, uint32_t count,
			      int64_t ms)
{
	int64_t end_ms = t->o.now_ms + ms;
	uint32_t i;

	while (t->o.now_ms < end_ms) {
		orders_run(&t->o, 100);
		for (i = first; i < count; i++)
			list(t, i);
		orders_save(&t->o);
	}
}

/* A worker of which a heartbeat has failed may have ended or restarted, and a
 * start without an answer may not have arrived. */
static void test_peers_that_may_be_away_count(void **state)
{
	lasting_test_t t;
	uint32_t i;

	(void)state;
	begin(&t, PEERS, 2);
	for (i = 0; i < PEERS - 1; i++)
		bring_up(&t, i);
	fail_heartbeat(&t, 0);
	cordon(&t, 2);
	orders_run(&t.o, 20);
	assert_int_equal(t.o.stop_count, 0);
	/* One may be away: the start is answered, and the task is at work. */
	bring_up(&t, PEERS - 1);
	orders_run(&t.o, 20);
	assert_int_equal(t.o.stop_count, 1);
	assert_int_equal(t.o.stops[0].task.index, 2);
	bw_sched_destroy(t.o.sched);
}

/* A heartbeat is answered after its wait of 1 s at the latest. */
static void test_peer_with_an_overdue_heartbeat_counts(void **state)
{
	lasting_test_t t;
	uint32_t i;

	(void)state;
	begin(&t, 3, 1);
	for (i = 0; i < 3; i++)
		bring_up(&t, i);
	pass_listing_from(&t, 1, 3, 1400);
	cordon(&t, 2);
	orders_run(&t.o, 20);
	assert_int_equal(t.o.stop_count, 0);
	list(&t, 0);
	orders_run(&t.o, 20);
	assert_int_equal(t.o.stop_count, 1);
	bw_sched_destroy(t.o.sched);
}

/*
 * An answer that waited in a socket while this node was suspended, or on the
 * network, says what the worker did when it answered.
 */
static void test_list_is_as_old_as_its_answer(void **state)
{
	lasting_test_t t;
	bw_heartbeat_answer_t answer = { .result = BW_ORDER_OK,
					 .started_ms = 5,
					 .run_count = 1 };
	uint32_t i;

	(void)state;
	begin(&t, 3, 1);
	for (i = 0; i < 3; i++)
		bring_up(&t, i);
	pass_listing_from(&t, 0, 3, 100);
	answer.sent_ms = t.o.now_ms;
	t.o.now_ms += 3000;
	answer.clock_ms = t.o.now_ms + 100;
	answer.runs = &t.rows[0];
	bw_sched_heartbeat_answered(t.o.sched, t.o.now_ms, t.worker[0],
				    &answer);
	list(&t, 1);
	list(&t, 2);
	cordon(&t, 2);
	orders_run(&t.o, 20);
	assert_int_equal(t.o.stop_count, 0);
	list(&t, 0);
	orders_run(&t.o, 20);
	assert_int_equal(t.o.stop_count, 1);
	bw_sched_destroy(t.o.sched);
}

/* Two stops that are decided at the same time count each other. */
static void test_stops_of_one_sweep_count_each_other(void **state)
{
	lasting_test_t t;
	uint32_t i;

	(void)state;
	begin(&t, PEERS, 2);
	for (i = 0; i < PEERS; i++)
		bring_up(&t, i);
	for (i = 0; i < PEERS; i++)
		cordon(&t, i);
	orders_run(&t.o, 20);
	assert_int_equal(t.o.stop_count, 2);
	bw_sched_destroy(t.o.sched);
}

/* A worker that is gone for good must not hold up maintenance: its task counts
 * until it is at work elsewhere. */
/* Reports that a task's worker is leaving. */
static void drain(lasting_test_t *t, uint32_t index)
{
	bw_worker_info_t info = { .id = t->worker[index],
				  .address = "10.0.0.1:1",
				  .capacity = { 8000, 8000, 0 },
				  .machine = t->worker[index],
				  .started_ms = 5,
				  .draining = true };

	bw_sched_worker_registered(t->o.sched, t->o.now_ms, &info);
}

/* What is on a worker that leaves has to move, whatever else is away. A worker
 * that stays was emptied in the same sweep before that. */
static void test_stop_on_a_worker_that_stays_comes_before_those_on_leaving_ones(
	void **state)
{
	lasting_test_t t;
	uint32_t leaving;
	uint32_t i;

	(void)state;
	for (leaving = 0; leaving < PEERS; leaving++) {
		begin(&t, PEERS, 1);
		for (i = 0; i < PEERS; i++)
			bring_up(&t, i);
		for (i = 0; i < PEERS; i++)
			if (i == leaving)
				drain(&t, i);
			else
				cordon(&t, i);
		orders_run(&t.o, 10);
		assert_int_equal(t.o.stop_count, 1);
		assert_int_equal(t.o.stops[0].task.index, leaving);
		bw_sched_destroy(t.o.sched);
	}
}

/** A pool whose controller hears nothing of machines. */
typedef struct heard_test {
	lasting_test_t t;
	bw_controller_t *controller;
	uint32_t views; /**< Workers that the owner takes as alive. */
} heard_test_t;

static void list_no_machine(void *impl, bw_machines_done_fn done, void *ctx)
{
	(void)impl;
	done(ctx, BW_OK, NULL, 0);
}

static void apply_controllers_order(void *ctx, const char *pool,
				    const Bramley__Frame *frame)
{
	heard_test_t *h = ctx;

	if (!strcmp(pool, "p"))
		bw_reports_apply_order(h->t.o.sched, h->t.o.now_ms,
				       frame->pool_order);
}

static void ignore_result(void *ctx, bw_status_t status)
{
	(void)ctx;
	(void)status;
}

static void ignore_superseded(void *ctx)
{
	(void)ctx;
}

static bool has_none(void *ctx, int64_t now_ms)
{
	(void)ctx;
	(void)now_ms;
	return true;
}

static void take_report(void *ctx, const Bramley__Frame *frame)
{
	heard_test_t *h = ctx;

	bw_controller_record_report(h->controller, h->t.o.now_ms,
				    frame->pool_report);
}

static void count_view(void *ctx, const bw_worker_view_t *view)
{
	(void)view;
	((heard_test_t *)ctx)->views++;
}

/* A worker that leaves runs its tasks on while its machine is gone from the
 * list; its owner hears it all the while. */
static void test_leaving_worker_that_is_heard_has_not_ended(void **state)
{
	static const bw_controller_ops_t ops = { apply_controllers_order,
						 ignore_result,
						 ignore_superseded, has_none };
	static bw_pool_config_t pools[] = { { .name = (char *)"p" } };
	static const bw_fleet_config_t config = { .pools = pools,
						  .pool_count = 1 };
	bw_controller_env_t env = { .machines = { .list = list_no_machine },
				    .node = "n",
				    .takeover_delay_ms = 600000 };
	heard_test_t h = { 0 };
	int i;

	(void)state;
	begin(&h.t, 2, 1);
	bring_up(&h.t, 0);
	bring_up(&h.t, 1);
	drain(&h.t, 0);
	h.controller = bw_controller_create(&env, &ops, &h);
	bw_controller_configure(h.controller, &config);
	for (i = 0; i < 30; i++) {
		orders_run(&h.t.o, 100);
		list(&h.t, 0);
		list(&h.t, 1);
		bw_reports_pack("p", 1, h.t.o.sched, h.t.o.now_ms, take_report,
				&h);
		bw_controller_tick(h.controller, h.t.o.now_ms);
	}
	bw_sched_views(h.t.o.sched, h.t.o.now_ms, count_view, &h);
	assert_int_equal(h.views, 2);
	bw_controller_destroy(h.controller);
	bw_sched_destroy(h.t.o.sched);
}

static void test_lost_worker_counts_until_its_task_is_back(void **state)
{
	bw_run_row_t row;
	lasting_test_t t;
	uint32_t i;

	(void)state;
	begin(&t, 3, 1);
	for (i = 0; i < 3; i++)
		bring_up(&t, i);
	orders_add_worker(&t.o, "w9");
	orders_answer_heartbeat(&t.o, "w9", NULL, 0, NULL, 0);
	fail_heartbeat(&t, 0);
	cordon(&t, 2);
	for (i = 0; i < 70 && t.o.start_count == 3; i++) {
		pass_listing_from(&t, 1, 3, 100);
		orders_answer_heartbeat(&t.o, "w9", NULL, 0, NULL, 0);
	}
	assert_int_equal(t.o.start_count, 4);
	assert_int_equal(t.o.stop_count, 0);
	assert_string_equal(t.o.starts[3].worker, "w9");
	bw_sched_start_answered(t.o.sched, t.o.now_ms, "w9", &t.rows[0].task, 2,
				BW_ORDER_OK, 0);
	row = t.rows[0];
	row.run = 2;
	orders_answer_heartbeat(&t.o, "w9", &row, 1, NULL, 0);
	pass_listing_from(&t, 1, 3, 20);
	orders_answer_heartbeat(&t.o, "w9", &row, 1, NULL, 0);
	orders_run(&t.o, 20);
	assert_int_equal(t.o.stop_count, 1);
	bw_sched_destroy(t.o.sched);
}

static void count_idle(void *ctx, const bw_worker_view_t *view)
{
	*(uint32_t *)ctx += view->idle;
}

/* Another owner may have started tasks on a worker that was idle here. */
static void test_owner_that_may_not_order_reports_no_idle_worker(void **state)
{
	uint32_t idle = 0;
	orders_t o;

	(void)state;
	orders_begin_with_worker(&o);
	bw_sched_views(o.sched, o.now_ms, count_idle, &idle);
	assert_int_equal(idle, 1);
	bw_sched_allow_orders(o.sched, false);
	bw_sched_views(o.sched, o.now_ms, count_idle, &idle);
	assert_int_equal(idle, 1);
	bw_sched_allow_orders(o.sched, true);
	bw_sched_views(o.sched, o.now_ms, count_idle, &idle);
	assert_int_equal(idle, 2);
	bw_sched_destroy(o.sched);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_leaving_worker_that_is_heard_has_not_ended),
		cmocka_unit_test(
			test_late_start_is_not_stopped_while_others_are_away),
		cmocka_unit_test(
			test_stop_without_an_answer_counts_for_the_others),
		cmocka_unit_test(test_stop_is_not_repeated_on_an_old_list),
		cmocka_unit_test(
			test_stop_is_repeated_while_its_run_is_not_listed),
		cmocka_unit_test(test_peers_that_may_be_away_count),
		cmocka_unit_test(test_peer_with_an_overdue_heartbeat_counts),
		cmocka_unit_test(test_list_is_as_old_as_its_answer),
		cmocka_unit_test(test_stops_of_one_sweep_count_each_other),
		cmocka_unit_test(
			test_stop_on_a_worker_that_stays_comes_before_those_on_leaving_ones),
		cmocka_unit_test(
			test_lost_worker_counts_until_its_task_is_back),
		cmocka_unit_test(
			test_owner_that_may_not_order_reports_no_idle_worker),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
