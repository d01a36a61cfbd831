/* Reservations of machines in a wave, against a store in memory. */
#include "test.h"

#include <string.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "fleet/maintenance.h"
#include "standin/memstore.h"

#define POOL	   "p"
#define MACHINES   6
#define ROUNDS_MAX 100
/** Rounds of 10 ms in which lists show that a machine has left. */
#define LEAVE_ROUNDS_MAX 300
/** More than the four machines at a time of a wave that has time. */
#define AT_ONCE_MAX MACHINES

typedef struct maintenance_test {
	struct ev_loop *loop;
	bw_memstore_t *store;
	bw_maintenance_t *maintenance;
	bw_reports_t *reports;
	bw_machine_t machines[MACHINES];
	char names[MACHINES][8];
	GHashTable *by_name; /**< Name to bw_machine_t. */
	uint32_t reserved;
} maintenance_test_t;

/* The record of a new wave does not exist yet. */
static void on_result(void *ctx, bw_status_t status)
{
	(void)ctx;
	assert_true(status == BW_OK || status == BW_ENOTFOUND);
}

static char *format_key(int64_t wave)
{
	return g_strdup_printf("status/%d", (int)wave);
}

static char *format_status(int64_t wave, bool completed)
{
	return g_strdup_printf("%d %d", (int)wave, completed);
}

static const bw_value_format_t values = { .format_wave_status_key = format_key,
					  .format_wave_status = format_status };
static const bw_maintenance_ops_t ops = { .store_result = on_result };

static void add_wave(maintenance_test_t *t)
{
	bw_wave_order_t *order = g_new0(bw_wave_order_t, 1);
	uint32_t i;

	order->number = 1;
	order->at_once_max = AT_ONCE_MAX;
	order->machines = g_new0(char *, MACHINES + 1);
	for (i = 0; i < MACHINES; i++)
		order->machines[i] = g_strdup(t->names[i]);
	bw_maintenance_add_wave(t->maintenance, order);
}

/* Creates a wave of machines that have a worker each, of the same name. */
static void set_up(maintenance_test_t *t)
{
	bw_maintenance_env_t env = { .values = &values };
	uint32_t i;

	memset(t, 0, sizeof(*t));
	t->loop = ev_loop_new(0);
	t->store = bw_memstore_create(t->loop);
	env.store = bw_memstore_interface(t->store);
	t->maintenance = bw_maintenance_create(&env, &ops, t);
	t->reports = bw_reports_create();
	t->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; i < MACHINES; i++) {
		g_snprintf(t->names[i], sizeof(t->names[i]), "m%u", i);
		t->machines[i] = (bw_machine_t){ .name = t->names[i],
						 .pool = (char *)POOL,
						 .worker = t->names[i],
						 .up = true };
		g_hash_table_insert(t->by_name, t->names[i], &t->machines[i]);
	}
	add_wave(t);
}

static void tear_down(maintenance_test_t *t)
{
	bw_maintenance_destroy(t->maintenance);
	bw_memstore_destroy(t->store);
	bw_reports_destroy(t->reports);
	g_hash_table_destroy(t->by_name);
	ev_loop_destroy(t->loop);
}

/* Reports a worker for each machine, like a row but for the identifier. */
static void report_alike(maintenance_test_t *t,
			 const Bramley__WorkerReport *like)
{
	Bramley__PoolReport report = BRAMLEY__POOL_REPORT__INIT;
	Bramley__WorkerReport rows[MACHINES];
	Bramley__WorkerReport *list[MACHINES];
	uint32_t i;

	for (i = 0; i < MACHINES; i++) {
		rows[i] = *like;
		rows[i].id = t->names[i];
		list[i] = &rows[i];
	}
	report.pool = (char *)POOL;
	report.workers = list;
	report.n_workers = MACHINES;
	bw_reports_record(t->reports, bw_clock_now_ms(), &report);
}

/* Reports the same number of tasks for each worker. */
static void report_tasks(maintenance_test_t *t, uint32_t tasks,
			 uint32_t lasting)
{
	Bramley__WorkerReport like = BRAMLEY__WORKER_REPORT__INIT;

	like.tasks = tasks;
	like.lasting = lasting;
	like.reachable = true;
	report_alike(t, &like);
}

static void count_reserved(void *ctx, const bw_wave_progress_t *wave)
{
	((maintenance_test_t *)ctx)->reserved = wave->reserved;
}

static void tick(maintenance_test_t *t, uint32_t tasks, uint32_t lasting)
{
	bw_maintenance_view_t view = { .now_ms = bw_clock_now_ms(),
				       .machines = t->by_name,
				       .reports = t->reports };

	view.list_ms = view.now_ms;
	report_tasks(t, tasks, lasting);
	bw_maintenance_tick(t->maintenance, &view);
	bw_maintenance_foreach_wave(t->maintenance, count_reserved, t);
}

/* Runs the wave until it has reserved machines, and returns their number. */
static uint32_t wait_for_reservations(maintenance_test_t *t, uint32_t tasks,
				      uint32_t lasting)
{
	uint32_t i;

	for (i = 0; i < ROUNDS_MAX && t->reserved == 0; i++) {
		tick(t, tasks, lasting);
		ev_run(t->loop, EVRUN_NOWAIT);
	}
	return t->reserved;
}

static void test_many_ordinary_tasks_count_as_lasting(void **state)
{
	maintenance_test_t t;

	(void)state;
	set_up(&t);
	assert_int_equal(wait_for_reservations(&t, 1000, 0), AT_ONCE_MAX);
	tear_down(&t);
}

static void test_lasting_tasks_are_drained_all_at_once(void **state)
{
	maintenance_test_t t;

	(void)state;
	set_up(&t);
	assert_int_equal(wait_for_reservations(&t, 1, 1), 4);
	tear_down(&t);
}

/* Records a report on the worker m0. */
static void report_worker(bw_reports_t *r, uint64_t fence, bool idle)
{
	Bramley__PoolReport report = BRAMLEY__POOL_REPORT__INIT;
	Bramley__WorkerReport row = BRAMLEY__WORKER_REPORT__INIT;
	Bramley__WorkerReport *rows = &row;

	row.id = (char *)"m0";
	row.idle = idle;
	row.emptied = idle;
	report.pool = (char *)POOL;
	report.fence = fence;
	report.workers = &rows;
	report.n_workers = 1;
	bw_reports_record(r, bw_clock_now_ms(), &report);
}

/* An owner that has lost its pool does not know what its successor starts on a
 * worker that it has drained, and may go on reporting. */
static void test_report_of_an_earlier_owner_is_ignored(void **state)
{
	bw_reports_t *r = bw_reports_create();

	(void)state;
	report_worker(r, 7, true);
	assert_true(bw_reports_worker(r, POOL, "m0")->idle);
	report_worker(r, 8, false);
	report_worker(r, 7, true);
	assert_false(bw_reports_worker(r, POOL, "m0")->idle);
	report_worker(r, 8, true);
	assert_true(bw_reports_worker(r, POOL, "m0")->idle);
	bw_reports_destroy(r);
}

/* Records of the wave that this version can't read. */

/** Longer than a record is read again after. */
#define UNREADABLE_S 3.0
#define WAVE_KEY     "bw/w/1"

static void on_timeout(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)timer;
	(void)revents;
	ev_break(loop, EVBREAK_ALL);
}

static void on_poll(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)loop;
	(void)revents;
	tick(timer->data, 0, 0);
}

/* Runs the wave for UNREADABLE_S. */
static void run_long(maintenance_test_t *t)
{
	ev_timer poll;
	ev_timer timeout;

	ev_timer_init(&poll, on_poll, 0.01, 0.01);
	ev_timer_init(&timeout, on_timeout, UNREADABLE_S, 0.0);
	poll.data = t;
	ev_timer_start(t->loop, &poll);
	ev_timer_start(t->loop, &timeout);
	ev_run(t->loop, 0);
	ev_timer_stop(t->loop, &poll);
}

/*
 * A controller that took a record that it can't read for that of a new wave
 * would overwrite it, and order machines that are back into maintenance again.
 */
static void test_wave_that_cannot_be_read_is_left_alone(void **state)
{
	static const struct {
		const char *name;
		const char *value;
		size_t bytes;
	} cases[] = {
		{ "newer version", "\x08\x02", 2 },
		{ "no version", "", 0 },
		{ "malformed", "\xff\xff\xff", 3 },
		{ "unknown progress", "\x08\x01\x12\x06\x0a\x02m0\x10\x03",
		  10 },
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		maintenance_test_t t;
		int64_t revision;

		set_up(&t);
		bw_memstore_put(t.store, WAVE_KEY, cases[i].value,
				cases[i].bytes);
		revision = bw_memstore_revision(t.store, WAVE_KEY);
		run_long(&t);
		if (t.reserved > 0 ||
		    bw_memstore_revision(t.store, WAVE_KEY) != revision)
			print_error("case: %s\n", cases[i].name);
		assert_int_equal(t.reserved, 0);
		assert_int_equal(bw_memstore_revision(t.store, WAVE_KEY),
				 revision);
		/* Any of its machines may be reserved. */
		assert_true(bw_maintenance_is_reserved(t.maintenance, "m0"));
		assert_false(
			bw_maintenance_is_reserved(t.maintenance, "other"));
		tear_down(&t);
	}
}

/* The control for the cases above, with the progress that this version has. */
static void test_wave_that_can_be_read_goes_on(void **state)
{
	static const char value[] = "\x08\x01\x12\x06\x0a\x02m0\x10\x02";
	maintenance_test_t t;

	(void)state;
	set_up(&t);
	bw_memstore_put(t.store, WAVE_KEY, value, sizeof(value) - 1);
	assert_int_equal(wait_for_reservations(&t, 0, 0), AT_ONCE_MAX - 1);
	assert_false(bw_maintenance_is_reserved(t.maintenance, "m0"));
	tear_down(&t);
}

/* Status of a wave in the store. */

#define STATUS_KEY "status/1"
#define RUNNING	   "1 0"

/** Operations of the store, and the same for the status of a wave. */
static bw_store_ops_t plain_ops;
static bw_store_ops_t status_ops;
static bool lose_status; /**< The next one gets no answer. */
static uint32_t running_written; /**< How often the status became "running". */
/** Condition of the write that got no answer. */
static bw_store_expect_t late_expect;
static uint32_t late_expects;

static void write_status(void *impl, const bw_store_txn_t *txn,
			 bw_store_done_fn done, void *ctx)
{
	int64_t before = bw_memstore_revision(impl, STATUS_KEY);
	bw_store_reply_t reply = { .status = BW_ELOST };

	if (lose_status && !strcmp(txn->writes[0].key, STATUS_KEY)) {
		lose_status = false;
		late_expects = txn->expect_count;
		if (late_expects > 0)
			late_expect = txn->expects[0];
		late_expect.key = STATUS_KEY;
		done(ctx, &reply);
		return;
	}
	plain_ops.txn(impl, txn, done, ctx);
	running_written +=
		bw_memstore_revision(impl, STATUS_KEY) != before &&
		!strncmp(txn->writes[0].value, RUNNING, strlen(RUNNING));
}

static void ignore_reply(void *ctx, const bw_store_reply_t *reply)
{
	(void)ctx;
	(void)reply;
}

/* The store carries out the write that got no answer, if its condition holds.
 */
static void carry_out_late(maintenance_test_t *t)
{
	bw_store_t store = bw_memstore_interface(t->store);
	bw_store_write_t write = { STATUS_KEY, RUNNING, strlen(RUNNING), 0 };
	bw_store_txn_t txn = { &late_expect, late_expects, &write, 1 };

	write_status(store.impl, &txn, ignore_reply, NULL);
}

static void ignore_result(void *ctx, bw_status_t status)
{
	(void)ctx;
	(void)status;
}

static const bw_maintenance_ops_t status_maintenance_ops = {
	.store_result = ignore_result
};

static void read_completed(void *ctx, const bw_wave_progress_t *wave)
{
	*(bool *)ctx = wave->completed;
}

/* A new controller runs the wave, none of whose machines is left, until it is
 * completed. */
static void take_over_and_complete(maintenance_test_t *t)
{
	bw_maintenance_env_t env = { .values = &values };
	bool completed = false;
	uint32_t i;

	env.store = bw_memstore_interface(t->store);
	plain_ops = *env.store.ops;
	status_ops = plain_ops;
	status_ops.txn = write_status;
	env.store.ops = &status_ops;
	bw_maintenance_destroy(t->maintenance);
	t->maintenance =
		bw_maintenance_create(&env, &status_maintenance_ops, t);
	add_wave(t);
	g_hash_table_remove_all(t->by_name);
	running_written = 0;
	for (i = 0; i < LEAVE_ROUNDS_MAX && !completed; i++) {
		tick(t, 0, 0);
		ev_run(t->loop, EVRUN_NOWAIT);
		g_usleep(10000);
		bw_maintenance_foreach_wave(t->maintenance, read_completed,
					    &completed);
	}
	assert_true(completed);
}

/* A write without an answer may be carried out seconds later, when the wave has
 * been completed. */
static void test_completed_wave_runs_again_by_a_late_write(void **state)
{
	maintenance_test_t t;

	(void)state;
	set_up(&t);
	lose_status = true;
	take_over_and_complete(&t);
	assert_false(lose_status);
	assert_int_equal(running_written, 1);
	carry_out_late(&t);
	assert_int_equal(running_written, 1);
	tear_down(&t);
}

/* A new controller knows nothing of a wave that the one before completed. */
static void test_completed_wave_runs_again_after_a_takeover(void **state)
{
	maintenance_test_t t;

	(void)state;
	set_up(&t);
	take_over_and_complete(&t);
	assert_int_equal(running_written, 1);
	take_over_and_complete(&t);
	assert_int_equal(running_written, 0);
	tear_down(&t);
}

/* Machines that come back with the identifier of their worker. */

static uint32_t maintained;

static void maintain(void *impl, const char *machine, int64_t wave,
		     const bw_machine_holder_t *holder, bw_machine_done_fn done,
		     void *ctx)
{
	(void)impl;
	(void)machine;
	(void)wave;
	(void)holder;
	maintained++;
	done(ctx, BW_MACHINE_OK);
}

/* Reports idle workers that started at a time. */
static void report_starts(maintenance_test_t *t, int64_t started_ms)
{
	Bramley__WorkerReport like = BRAMLEY__WORKER_REPORT__INIT;

	like.idle = true;
	like.emptied = true;
	like.started_ms = started_ms;
	report_alike(t, &like);
}

/* Runs the wave until it is completed, by a list that was requested at a time;
 * 0: just now. */
static bool run_by_list(maintenance_test_t *t, int64_t started_ms,
			uint32_t rounds, int64_t list_ms)
{
	bool completed = false;
	uint32_t i;

	for (i = 0; i < rounds && !completed; i++) {
		bw_maintenance_view_t view = { .now_ms = bw_clock_now_ms(),
					       .machines = t->by_name,
					       .reports = t->reports,
					       .may_order = true };

		view.list_ms = list_ms > 0 ? list_ms : view.now_ms;
		report_starts(t, started_ms);
		bw_maintenance_tick(t->maintenance, &view);
		ev_run(t->loop, EVRUN_NOWAIT);
		g_usleep(10000);
		bw_maintenance_foreach_wave(t->maintenance, read_completed,
					    &completed);
	}
	return completed;
}

static bool run_rounds(maintenance_test_t *t, int64_t started_ms,
		       uint32_t rounds)
{
	return run_by_list(t, started_ms, rounds, 0);
}

/* They were taken for those that are still to come back, and the wave never
 * ended. */
static void test_machine_that_keeps_its_worker_never_comes_back(void **state)
{
	bw_maintenance_env_t env = { .values = &values,
				     .machines = { .maintain = maintain } };
	maintenance_test_t t;

	(void)state;
	set_up(&t);
	env.store = bw_memstore_interface(t.store);
	bw_maintenance_destroy(t.maintenance);
	t.maintenance = bw_maintenance_create(&env, &ops, &t);
	add_wave(&t);
	maintained = 0;
	assert_false(run_rounds(&t, 5, ROUNDS_MAX));
	assert_int_equal(maintained, MACHINES);
	assert_true(run_rounds(&t, 6, ROUNDS_MAX));
	assert_int_equal(maintained, MACHINES);
	tear_down(&t);
}

/* Machines that the list lacks. */

/* Creates a wave of machines that the list does not have. */
static void set_up_unlisted(maintenance_test_t *t)
{
	bw_maintenance_env_t env = { .values = &values,
				     .machines = { .maintain = maintain } };

	set_up(t);
	env.store = bw_memstore_interface(t->store);
	bw_maintenance_destroy(t->maintenance);
	t->maintenance = bw_maintenance_create(&env, &ops, t);
	add_wave(t);
	g_hash_table_remove_all(t->by_name);
	maintained = 0;
}

static void list_machines(maintenance_test_t *t)
{
	uint32_t i;

	for (i = 0; i < MACHINES; i++)
		g_hash_table_insert(t->by_name, t->names[i], &t->machines[i]);
}

/* Failure: a wave for a machine that is newer than the list, as the interface
 * of the machines is unavailable, is completed without its maintenance. */
static void test_wave_of_a_machine_newer_than_the_list_waits(void **state)
{
	maintenance_test_t t;
	int64_t list_ms = bw_clock_now_ms();

	(void)state;
	set_up_unlisted(&t);
	assert_false(run_by_list(&t, 5, LEAVE_ROUNDS_MAX, list_ms));
	list_machines(&t);
	assert_false(run_rounds(&t, 5, ROUNDS_MAX));
	assert_int_equal(maintained, MACHINES);
	assert_true(run_rounds(&t, 6, ROUNDS_MAX));
	tear_down(&t);
}

/* The pages of a list are no snapshot: one may miss a machine that moves. */
static void test_one_list_that_misses_a_machine_proves_nothing(void **state)
{
	maintenance_test_t t;
	int64_t list_ms = bw_clock_now_ms() + 2000;

	(void)state;
	set_up_unlisted(&t);
	assert_false(run_by_list(&t, 5, LEAVE_ROUNDS_MAX, list_ms));
	list_machines(&t);
	assert_false(run_rounds(&t, 5, ROUNDS_MAX));
	assert_int_equal(maintained, MACHINES);
	tear_down(&t);
}

/* One that never existed, or has left, does not hold the wave up. */
static void test_wave_of_machines_that_left_is_completed(void **state)
{
	maintenance_test_t t;

	(void)state;
	set_up_unlisted(&t);
	assert_true(run_rounds(&t, 5, LEAVE_ROUNDS_MAX));
	assert_int_equal(maintained, 0);
	tear_down(&t);
}

/* Calls that have no answer yet. */

static bw_machine_done_fn late_done;
static void *late_ctx[MACHINES];

static void maintain_late(void *impl, const char *machine, int64_t wave,
			  const bw_machine_holder_t *holder,
			  bw_machine_done_fn done, void *ctx)
{
	(void)impl;
	(void)machine;
	(void)wave;
	(void)holder;
	assert_true(maintained < MACHINES);
	late_done = done;
	late_ctx[maintained++] = ctx;
}

static void count_cordoned(void *ctx, const char *pool,
			   const Bramley__Frame *frame)
{
	(void)pool;
	*(size_t *)ctx = frame->pool_order->n_empty;
}

/* The owner used a drained machine again while its maintenance was being
 * ordered, which then ended what it had started there. */
static void test_machine_is_used_while_its_maintenance_is_ordered(void **state)
{
	bw_maintenance_env_t env = { .values = &values };
	maintenance_test_t t;
	size_t cordoned = 0;

	(void)state;
	set_up(&t);
	env.store = bw_memstore_interface(t.store);
	env.machines.maintain = maintain_late;
	bw_maintenance_destroy(t.maintenance);
	t.maintenance = bw_maintenance_create(&env, &ops, &t);
	add_wave(&t);
	maintained = 0;
	assert_false(run_rounds(&t, 5, ROUNDS_MAX));
	assert_int_equal(maintained, MACHINES);
	bw_reports_clear_orders(t.reports);
	assert_false(run_rounds(&t, 5, 1));
	bw_reports_send_orders(t.reports, count_cordoned, &cordoned);
	assert_int_equal(cordoned, MACHINES);
	while (maintained > 0)
		late_done(late_ctx[--maintained], BW_MACHINE_FAILED);
	tear_down(&t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_many_ordinary_tasks_count_as_lasting),
		cmocka_unit_test(test_lasting_tasks_are_drained_all_at_once),
		cmocka_unit_test(test_report_of_an_earlier_owner_is_ignored),
		cmocka_unit_test(test_wave_that_can_be_read_goes_on),
		cmocka_unit_test(test_wave_that_cannot_be_read_is_left_alone),
		cmocka_unit_test(
			test_completed_wave_runs_again_by_a_late_write),
		cmocka_unit_test(
			test_completed_wave_runs_again_after_a_takeover),
		cmocka_unit_test(
			test_machine_that_keeps_its_worker_never_comes_back),
		cmocka_unit_test(
			test_wave_of_a_machine_newer_than_the_list_waits),
		cmocka_unit_test(
			test_one_list_that_misses_a_machine_proves_nothing),
		cmocka_unit_test(test_wave_of_machines_that_left_is_completed),
		cmocka_unit_test(
			test_machine_is_used_while_its_maintenance_is_ordered),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
