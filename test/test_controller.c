/* Moves of machines between pools, against an interface for machines that
 * records the orders. */
#include "test.h"

#include <string.h>

#include <glib.h>

#include "fleet/controller.h"
#include "fleet/reports.h"

#define MACHINES     6
#define POOL_NEEDY   "needy"
#define POOL_SURPLUS "surplus"
#define ROUND_MS     100
/** A worker that no machine runs, and its boot. */
#define UNLISTED	 "unlisted"
#define UNLISTED_BOOT_MS 7000
/** Longer than any test takes. */
#define TAKEOVER_DELAY_MS 600000

/** A pool in need, and one with machines that it does not need. */
typedef struct controller_test {
	bw_controller_t *controller;
	char names[MACHINES][8]; /**< Of the machines, and of their workers. */
	uint32_t moves; /**< Orders to move a machine. */
	char moved[8]; /**< By the first of them. */
	bool has_predecessor; /**< Which may have sent orders lately. */
	bool move_done; /**< Orders to move succeed. */
	bool moved_unlisted; /**< The list lacks the moved machine. */
	uint32_t ended_cause; /**< The cause of that. */
	uint32_t moved_cause; /**< The same of a moved worker. */
	bool moved_dead; /**< The owner was told that its worker has ended. */
	bool moved_used; /**< Its worker has a task, and is not cordoned. */
	bool has_silent; /**< The owner does not hear two more workers. */
	bool ended; /**< The owner was told that the unlisted one has ended. */
	bool listed_ended; /**< The same of the other one. */
	int64_t now_ms;
} controller_test_t;

static void on_order(void *ctx, const char *pool, const Bramley__Frame *frame)
{
	controller_test_t *t = ctx;
	const Bramley__PoolOrder *order = frame->pool_order;
	size_t i;

	if (strcmp(pool, POOL_SURPLUS) != 0)
		return;
	t->moved_dead = false;
	for (i = 0; i < order->n_dead; i++) {
		if (!strcmp(order->dead[i], UNLISTED))
			t->ended_cause = order->dead_causes[i];
		if (!strcmp(order->dead[i], t->moved))
			t->moved_cause = order->dead_causes[i];
		t->moved_dead |= !strcmp(order->dead[i], t->moved);
		t->listed_ended |= !strcmp(order->dead[i], t->names[0]);
		t->ended |= !strcmp(order->dead[i], UNLISTED) &&
			    order->dead_started_ms[i] == UNLISTED_BOOT_MS;
	}
}

static void on_store_result(void *ctx, bw_status_t status)
{
	(void)ctx;
	(void)status;
}

static void on_superseded(void *ctx)
{
	(void)ctx;
}

static bool has_predecessor(void *ctx, int64_t now_ms)
{
	(void)now_ms;
	return ((controller_test_t *)ctx)->has_predecessor;
}

static const bw_controller_ops_t ops = { on_order, on_store_result,
					 on_superseded, has_predecessor };

static void list(void *impl, bw_machines_done_fn done, void *ctx)
{
	controller_test_t *t = impl;
	bw_machine_t machines[MACHINES];
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < MACHINES; i++) {
		if (t->moved_unlisted && !strcmp(t->names[i], t->moved))
			continue;
		machines[count++] =
			(bw_machine_t){ .name = t->names[i],
					.pool = (char *)POOL_SURPLUS,
					.worker = t->names[i],
					.capacity_millis = 8000,
					.up = true };
	}
	done(ctx, BW_OK, machines, count);
}

/* The order has no answer. */
static void move(void *impl, const char *machine, const char *pool,
		 const bw_machine_holder_t *holder, bw_machine_done_fn done,
		 void *ctx)
{
	controller_test_t *t = impl;

	(void)pool;
	(void)holder;
	if (t->moved[0] == '\0')
		g_strlcpy(t->moved, machine, sizeof(t->moved));
	t->moves += !strcmp(t->moved, machine);
	done(ctx, t->move_done ? BW_MACHINE_OK : BW_MACHINE_FAILED);
}

static void set_up(controller_test_t *t)
{
	static bw_pool_config_t pools[] = { { .name = (char *)POOL_NEEDY },
					    { .name = (char *)POOL_SURPLUS } };
	static const bw_fleet_config_t config = { .pools = pools,
						  .pool_count = 2 };
	bw_controller_env_t env = {
		.machines = { .impl = t, .list = list, .move = move },
		.node = "n",
		.takeover_delay_ms = TAKEOVER_DELAY_MS,
	};
	uint32_t i;

	memset(t, 0, sizeof(*t));
	t->now_ms = 10000;
	for (i = 0; i < MACHINES; i++)
		g_snprintf(t->names[i], sizeof(t->names[i]), "m%u", i);
	t->controller = bw_controller_create(&env, &ops, t);
	bw_controller_configure(t->controller, &config);
}

static void report(controller_test_t *t)
{
	Bramley__PoolReport needy = BRAMLEY__POOL_REPORT__INIT;
	Bramley__PoolReport surplus = BRAMLEY__POOL_REPORT__INIT;
	Bramley__WorkerReport rows[MACHINES + 1];
	Bramley__WorkerReport *list_of_rows[MACHINES + 1];
	uint32_t i;

	for (i = 0; i < MACHINES; i++) {
		bool used = t->moved_used && !strcmp(t->names[i], t->moved);

		bramley__worker_report__init(&rows[i]);
		rows[i].id = t->names[i];
		rows[i].tasks = used;
		rows[i].lasting = used;
		rows[i].idle = !used;
		rows[i].emptied = !used;
		rows[i].reachable = true;
		list_of_rows[i] = &rows[i];
	}
	surplus.pool = (char *)POOL_SURPLUS;
	surplus.workers = list_of_rows;
	surplus.n_workers = MACHINES;
	if (t->has_silent) {
		bramley__worker_report__init(&rows[MACHINES]);
		rows[MACHINES].id = (char *)UNLISTED;
		rows[MACHINES].started_ms = UNLISTED_BOOT_MS;
		rows[MACHINES].silent = true;
		list_of_rows[MACHINES] = &rows[MACHINES];
		surplus.n_workers++;
		rows[0].reachable = false;
		rows[0].silent = true;
		rows[0].started_ms = UNLISTED_BOOT_MS;
	}
	needy.pool = (char *)POOL_NEEDY;
	needy.waiting_millis = 8000;
	bw_controller_record_report(t->controller, t->now_ms, &surplus);
	bw_controller_record_report(t->controller, t->now_ms, &needy);
}

static void pass(controller_test_t *t, int64_t ms)
{
	int64_t end_ms = t->now_ms + ms;

	while (t->now_ms < end_ms) {
		t->now_ms += ROUND_MS;
		report(t);
		bw_controller_tick(t->controller, t->now_ms);
	}
}

/*
 * An order without an answer is sent again. Meanwhile the pool may have got
 * another owner, which knows of no cordon and has started tasks: these would
 * end with the move.
 */
static void test_move_is_not_repeated_once_its_worker_is_used(void **state)
{
	controller_test_t t;
	uint32_t moves;

	(void)state;
	set_up(&t);
	pass(&t, 1500);
	assert_true(t.moves > 0);
	t.moved_used = true;
	moves = t.moves;
	pass(&t, 2000);
	assert_int_equal(t.moves, moves);
	t.moved_used = false;
	pass(&t, 1000);
	assert_true(t.moves > moves);
	bw_controller_destroy(t.controller);
}

/* While the owner is not heard, nothing is known of the worker. */
static void test_move_is_not_repeated_on_an_old_report(void **state)
{
	controller_test_t t;
	uint32_t moves;
	int i;

	(void)state;
	set_up(&t);
	pass(&t, 1500);
	moves = t.moves;
	assert_true(moves > 0);
	for (i = 0; i < 20; i++) {
		t.now_ms += ROUND_MS;
		if (i == 5)
			moves = t.moves;
		bw_controller_tick(t.controller, t.now_ms);
	}
	assert_int_equal(t.moves, moves);
	pass(&t, 1000);
	assert_true(t.moves > moves);
	bw_controller_destroy(t.controller);
}

/* Failure: a controller orders machines beside an earlier one that it has
 * learned of after its start. */
static void test_controller_waits_for_an_earlier_one(void **state)
{
	controller_test_t t;

	(void)state;
	set_up(&t);
	t.has_predecessor = true;
	pass(&t, 1500);
	assert_int_equal(t.moves, 0);
	t.has_predecessor = false;
	pass(&t, 1500);
	assert_true(t.moves > 0);
	bw_controller_destroy(t.controller);
}

/* Failure: machines move while the store is away, then all nodes end. The next
 * owner knows the workers of before, and would wait for their grants. */
static void test_worker_that_no_machine_runs_has_ended(void **state)
{
	controller_test_t t;

	(void)state;
	set_up(&t);
	/* No move may be in progress, which ends a worker as well. */
	t.has_predecessor = true;
	t.has_silent = true;
	pass(&t, 900);
	assert_false(t.ended);
	pass(&t, 1000);
	assert_true(t.ended);
	assert_int_equal(t.ended_cause, BW_WORKER_END_UNLISTED);
	assert_false(t.listed_ended);
	bw_controller_destroy(t.controller);
}

/* Failure: one list that misses a machine ends its move: its owner is not told
 * any more that the worker of before has ended, and waits for its grants. */
static void test_move_outlasts_a_list_that_misses_its_machine(void **state)
{
	controller_test_t t;

	(void)state;
	set_up(&t);
	t.move_done = true;
	while (t.moves == 0)
		pass(&t, ROUND_MS);
	t.moved_unlisted = true;
	pass(&t, 500);
	assert_true(t.moved_dead);
	assert_int_equal(t.moved_cause, BW_WORKER_END_ORDERED);
	t.moved_unlisted = false;
	pass(&t, 500);
	assert_true(t.moved_dead);
	bw_controller_destroy(t.controller);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_move_is_not_repeated_once_its_worker_is_used),
		cmocka_unit_test(test_move_is_not_repeated_on_an_old_report),
		cmocka_unit_test(test_controller_waits_for_an_earlier_one),
		cmocka_unit_test(test_worker_that_no_machine_runs_has_ended),
		cmocka_unit_test(
			test_move_outlasts_a_list_that_misses_its_machine),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
