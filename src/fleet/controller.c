#include "fleet/controller.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/event.h"
#include "fleet/balance.h"
#include "fleet/missing.h"

/** Age from which the list is read again: idle, with a wave, with a move. */
#define LIST_MAX_AGE_MS	     1500
#define LIST_MAX_AGE_WAVE_MS 700
#define LIST_MAX_AGE_MOVE_MS 250
#define LIST_RETRY_MS	     300
/** Interval of decisions. */
#define ROUND_INTERVAL_MS 100
#define LOG_INTERVAL_MS	  500
#define MOVE_RETRY_MS	  400
/** The list of machines shows a move after at most this time. */
#define MOVE_LAG_MAX_MS 150
/** A move ends after this time even if no worker has come up. */
#define MOVE_TIMEOUT_MS 4000

/** A move in progress. */
typedef struct move {
	char *machine;
	char *worker; /**< Worker that ran on it before the move. */
	int64_t worker_started_ms; /**< Unix time of its start; 0: not known. */
	char *from;
	char *to;
	int64_t ordered_ms; /**< When the order succeeded; 0: not yet. */
	int64_t next_ms;
	bool call_pending;
} move_t;

struct bw_controller {
	bw_controller_env_t env;
	bw_controller_ops_t ops;
	void *ctx;
	const bw_fleet_config_t *config;
	bw_reports_t *reports;
	bw_maintenance_t *maintenance;
	bw_balance_t *balance;
	bw_missing_t *missing; /**< Workers that owners don't hear. */
	bw_missing_t *missing_machines; /**< Those that are being moved. */
	GHashTable *machines; /**< Name to bw_machine_t. */
	GHashTable *listed_workers; /**< Identifiers, of the machines. */
	GHashTable *moves; /**< Machine to move_t. */
	int64_t created_ms;
	int64_t list_ms; /**< When the current list was requested. */
	int64_t list_requested_ms;
	int64_t list_retry_ms;
	int64_t last_round_ms;
	int64_t last_log_ms;
	uint32_t refs; /**< The owner and each call in progress. */
	bool list_pending;
	bool closed;
};

/** Context of a call to a machine. */
typedef struct move_ctx {
	bw_controller_t *c;
	char *machine;
} move_ctx_t;

static void on_store_result(void *ctx, bw_status_t status);
static void on_superseded(void *ctx);
static void request_list(bw_controller_t *c, int64_t now_ms);
static void on_list(void *ctx, bw_status_t status, const bw_machine_t *list,
		    uint32_t count);
static void order_move(bw_controller_t *c, move_t *move, int64_t now_ms);
static void on_moved(void *ctx, bw_machine_result_t result);
static void update_moves(bw_controller_t *c, int64_t now_ms);
static void balance(bw_controller_t *c, int64_t now_ms);

static const bw_maintenance_ops_t maintenance_ops = { on_store_result,
						      on_superseded };

static void machine_free(gpointer data)
{
	bw_machine_t *machine = data;

	g_free(machine->name);
	g_free(machine->pool);
	g_free(machine->worker);
	g_free(machine);
}

static void move_free(gpointer data)
{
	move_t *move = data;

	g_free(move->machine);
	g_free(move->worker);
	g_free(move->from);
	g_free(move->to);
	g_free(move);
}

bw_controller_t *bw_controller_create(const bw_controller_env_t *env,
				      const bw_controller_ops_t *ops, void *ctx)
{
	bw_controller_t *c = g_new0(bw_controller_t, 1);
	bw_maintenance_env_t maintenance = {
		.store = env->store,
		.machines = env->machines,
		.values = env->values,
		.holder = { env->node, (uint64_t)env->fence },
	};

	c->env = *env;
	c->ops = *ops;
	c->ctx = ctx;
	c->refs = 1;
	c->created_ms = bw_clock_now_ms();
	c->reports = bw_reports_create();
	c->balance = bw_balance_create();
	c->missing = bw_missing_create();
	c->missing_machines = bw_missing_create();
	c->maintenance =
		bw_maintenance_create(&maintenance, &maintenance_ops, c);
	c->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    machine_free);
	c->listed_workers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->moves =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, move_free);
	return c;
}

static void unref(bw_controller_t *c)
{
	if (--c->refs > 0)
		return;
	g_hash_table_destroy(c->listed_workers);
	g_hash_table_destroy(c->machines);
	g_hash_table_destroy(c->moves);
	bw_missing_destroy(c->missing);
	bw_missing_destroy(c->missing_machines);
	bw_balance_destroy(c->balance);
	bw_reports_destroy(c->reports);
	g_free(c);
}

void bw_controller_destroy(bw_controller_t *c)
{
	if (!c || c->closed)
		return;
	c->closed = true;
	bw_maintenance_destroy(c->maintenance);
	unref(c);
}

static void on_store_result(void *ctx, bw_status_t status)
{
	bw_controller_t *c = ctx;

	c->ops.store_result(c->ctx, status);
}

static void on_superseded(void *ctx)
{
	bw_controller_t *c = ctx;

	c->ops.superseded(c->ctx);
}

void bw_controller_configure(bw_controller_t *c,
			     const bw_fleet_config_t *config)
{
	c->config = config;
}

void bw_controller_add_wave(bw_controller_t *c, bw_wave_order_t *order)
{
	bw_maintenance_add_wave(c->maintenance, order);
}

void bw_controller_record_report(bw_controller_t *c, int64_t now_ms,
				 const Bramley__PoolReport *report)
{
	bw_reports_record(c->reports, now_ms, report);
}

bool bw_controller_has_moves(const bw_controller_t *c)
{
	return g_hash_table_size(c->moves) > 0;
}

static int64_t list_max_age_ms(const bw_controller_t *c)
{
	if (bw_controller_has_moves(c) || bw_missing_await_list(c->missing))
		return LIST_MAX_AGE_MOVE_MS;
	return bw_maintenance_in_progress(c->maintenance) ? LIST_MAX_AGE_WAVE_MS
							  : LIST_MAX_AGE_MS;
}

static void request_list(bw_controller_t *c, int64_t now_ms)
{
	if (!c->env.machines.list || c->list_pending ||
	    now_ms < c->list_retry_ms ||
	    now_ms - c->list_ms < list_max_age_ms(c))
		return;
	c->list_pending = true;
	c->list_requested_ms = now_ms;
	c->refs++;
	c->env.machines.list(c->env.machines.impl, on_list, c);
}

static void apply_list(bw_controller_t *c, const bw_machine_t *list,
		       uint32_t count)
{
	uint32_t i;

	c->list_ms = c->list_requested_ms;
	g_hash_table_remove_all(c->listed_workers);
	g_hash_table_remove_all(c->machines);
	for (i = 0; i < count; i++) {
		bw_machine_t *machine = g_new0(bw_machine_t, 1);

		machine->name = g_strdup(list[i].name);
		machine->pool = g_strdup(list[i].pool);
		machine->worker = g_strdup(list[i].worker);
		machine->capacity_millis = list[i].capacity_millis;
		machine->up = list[i].up;
		machine->returning = list[i].returning;
		g_hash_table_add(c->listed_workers, g_strdup(list[i].worker));
		g_hash_table_replace(c->machines, machine->name, machine);
	}
}

static void on_list(void *ctx, bw_status_t status, const bw_machine_t *list,
		    uint32_t count)
{
	bw_controller_t *c = ctx;

	c->list_pending = false;
	if (!c->closed && status == BW_OK)
		apply_list(c, list, count);
	else
		c->list_retry_ms = bw_clock_now_ms() + LIST_RETRY_MS;
	unref(c);
}

static void order_move(bw_controller_t *c, move_t *move, int64_t now_ms)
{
	bw_machine_holder_t holder = { c->env.node, (uint64_t)c->env.fence };
	move_ctx_t *ctx = g_new0(move_ctx_t, 1);

	ctx->c = c;
	ctx->machine = g_strdup(move->machine);
	move->call_pending = true;
	move->next_ms = now_ms + MOVE_RETRY_MS;
	c->refs++;
	c->env.machines.move(c->env.machines.impl, move->machine, move->to,
			     &holder, on_moved, ctx);
}

static void record_move_result(bw_controller_t *c, const char *machine,
			       bw_machine_result_t result)
{
	move_t *move = g_hash_table_lookup(c->moves, machine);

	if (!move)
		return;
	bw_event(BW_EVENT_CONTROLLER_MOVED,
		 "machine=%s from=%s to=%s result=%d", machine, move->from,
		 move->to, result);
	move->call_pending = false;
	if (result == BW_MACHINE_OK)
		move->ordered_ms = bw_clock_now_ms();
	else if (result == BW_MACHINE_FENCED)
		c->ops.superseded(c->ctx);
	else if (result != BW_MACHINE_FAILED)
		g_hash_table_remove(c->moves, machine);
}

static void on_moved(void *ctx, bw_machine_result_t result)
{
	move_ctx_t *move = ctx;
	bw_controller_t *c = move->c;

	if (!c->closed)
		record_move_result(c, move->machine, result);
	g_free(move->machine);
	g_free(move);
	unref(c);
}

/* Returns whether a machine that the list lacks has left for good. */
static bool has_left(bw_controller_t *c, const move_t *move, int64_t now_ms)
{
	return bw_missing_note(c->missing_machines, now_ms, move->machine,
			       c->list_ms);
}

/* Returns whether the new pool uses a machine, or its move has timed out. */
static bool has_arrived(const bw_controller_t *c, const move_t *move,
			const bw_machine_t *machine, int64_t now_ms)
{
	const bw_worker_report_t *worker =
		bw_reports_worker(c->reports, machine->pool, machine->worker);

	if (!machine->up || c->list_ms < move->ordered_ms + MOVE_LAG_MAX_MS)
		return false;
	return machine->worker[0] == '\0' || (worker && worker->reachable) ||
	       now_ms - move->ordered_ms > MOVE_TIMEOUT_MS;
}

static uint32_t pool_index(const bw_fleet_config_t *config, const char *name)
{
	uint32_t i;

	for (i = 0; i < config->pool_count; i++)
		if (!strcmp(config->pools[i].name, name))
			return i;
	return UINT32_MAX;
}

/*
 * Returns whether the order for a move may be sent again. The pool may have got
 * another owner since, which has started tasks on the worker. A worker that the
 * owner does not list has ended, and one of a pool that is off runs nothing.
 */
static bool may_repeat(const bw_controller_t *c, const move_t *move,
		       int64_t now_ms)
{
	uint32_t pool = pool_index(c->config, move->from);
	const bw_worker_report_t *worker =
		bw_reports_worker(c->reports, move->from, move->worker);

	if (pool == UINT32_MAX || c->config->pools[pool].standby ||
	    move->worker[0] == '\0')
		return true;
	if (!bw_reports_is_fresh(c->reports, now_ms, move->from))
		return false;
	return !worker || (worker->idle && worker->cordoned);
}

/* Repeats failed orders, and removes moves that are complete. */
static void update_moves(bw_controller_t *c, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->moves);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		move_t *move = value;
		const bw_machine_t *machine =
			g_hash_table_lookup(c->machines, move->machine);

		bw_reports_expect_workers(c->reports, move->to);
		if (move->ordered_ms == 0) {
			bw_reports_add_order(c->reports, move->from,
					     move->worker, BW_WORKER_CORDON);
			if (!move->call_pending && now_ms >= move->next_ms &&
			    may_repeat(c, move, now_ms))
				order_move(c, move, now_ms);
			continue;
		}
		bw_reports_add_dead(c->reports, move->from, move->worker,
				    move->worker_started_ms,
				    BW_WORKER_END_ORDERED);
		if (machine ? has_arrived(c, move, machine, now_ms)
			    : has_left(c, move, now_ms))
			g_hash_table_iter_remove(&iter);
	}
	bw_missing_forget(c->missing_machines, now_ms);
}

static void fill_pools(const bw_controller_t *c, int64_t now_ms,
		       bw_balance_pool_t *pools)
{
	uint32_t i;

	for (i = 0; i < c->config->pool_count; i++) {
		pools[i].name = c->config->pools[i].name;
		pools[i].standby = c->config->pools[i].standby;
		pools[i].report_fresh =
			bw_reports_is_fresh(c->reports, now_ms, pools[i].name);
		pools[i].demand = bw_reports_demand(c->reports, pools[i].name);
	}
}

static void fill_machine(const bw_controller_t *c, const bw_machine_t *from,
			 uint32_t pool, bw_balance_machine_t *out)
{
	const bw_worker_report_t *worker =
		bw_reports_worker(c->reports, from->pool, from->worker);
	const move_t *move = g_hash_table_lookup(c->moves, from->name);
	/* A machine reserved for maintenance is of no use to its pool. */
	bool reserved = bw_maintenance_is_reserved(c->maintenance, from->name);

	*out = (bw_balance_machine_t){
		.name = from->name,
		.pool = pool,
		.capacity_millis = from->capacity_millis,
		.up = from->up,
		.tasks = worker ? worker->tasks : 0,
		.lasting = worker ? worker->lasting : 0,
		.usable = !reserved && (from->returning || move ||
					(worker && worker->reachable)),
		.excluded = move || reserved,
		.movable = c->config->pools[pool].standby ||
			   (worker && worker->idle && worker->cordoned),
	};
	if (move && pool_index(c->config, move->to) != UINT32_MAX)
		out->pool = pool_index(c->config, move->to);
}

static uint32_t fill_machines(const bw_controller_t *c,
			      bw_balance_machine_t *out)
{
	uint32_t count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->machines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bw_machine_t *machine = value;
		uint32_t pool = pool_index(c->config, machine->pool);

		if (pool != UINT32_MAX)
			fill_machine(c, machine, pool, &out[count++]);
	}
	return count;
}

/* Logs the figures that moves depend on, one line for each pool. */
static void log_pools(bw_controller_t *c, const bw_balance_pool_t *pools,
		      int64_t now_ms)
{
	uint32_t i;

	if (now_ms - c->last_log_ms < LOG_INTERVAL_MS)
		return;
	c->last_log_ms = now_ms;
	for (i = 0; i < c->config->pool_count; i++) {
		bw_balance_state_t state =
			bw_balance_state(c->balance, pools[i].name);

		bw_event(BW_EVENT_CONTROLLER_POOL,
			 "pool=%s known=%d used=%" G_GINT64_FORMAT
			 " offered=%" G_GINT64_FORMAT
			 " waiting=%" G_GINT64_FORMAT
			 " lasting=%" G_GINT64_FORMAT
			 " have=%u needed=%u wanted=%u",
			 pools[i].name, pools[i].report_fresh,
			 pools[i].demand.used_millis,
			 pools[i].demand.offered_millis,
			 pools[i].demand.waiting_millis,
			 pools[i].demand.lasting_millis, state.have,
			 state.needed, state.wanted);
	}
}

static void begin_move(bw_controller_t *c, const char *name, const char *to,
		       int64_t now_ms)
{
	const bw_machine_t *machine = g_hash_table_lookup(c->machines, name);
	const bw_worker_report_t *worker =
		bw_reports_worker(c->reports, machine->pool, machine->worker);
	move_t *move = g_new0(move_t, 1);

	move->machine = g_strdup(name);
	move->worker = g_strdup(machine->worker);
	move->worker_started_ms = worker ? worker->started_ms : 0;
	move->from = g_strdup(machine->pool);
	move->to = g_strdup(to);
	g_hash_table_replace(c->moves, move->machine, move);
	/* The owner keeps it cordoned until the order is answered. */
	bw_reports_add_order(c->reports, move->from, move->worker,
			     BW_WORKER_CORDON);
	order_move(c, move, now_ms);
}

static void balance(bw_controller_t *c, int64_t now_ms)
{
	guint size = g_hash_table_size(c->machines);
	bw_balance_pool_t *pools =
		g_new0(bw_balance_pool_t, c->config->pool_count + 1);
	bw_balance_machine_t *machines = g_new0(bw_balance_machine_t, size + 1);
	bw_balance_action_t *actions = g_new0(bw_balance_action_t, size + 1);
	uint32_t count;
	uint32_t i;

	fill_pools(c, now_ms, pools);
	count = fill_machines(c, machines);
	log_pools(c, pools, now_ms);
	count = bw_balance_decide(c->balance, now_ms, pools,
				  c->config->pool_count, machines, count,
				  actions);
	for (i = 0; i < count; i++) {
		const bw_balance_machine_t *machine =
			&machines[actions[i].machine];
		const bw_machine_t *listed =
			g_hash_table_lookup(c->machines, machine->name);

		if (actions[i].kind == BW_BALANCE_MOVE)
			begin_move(c, machine->name,
				   pools[actions[i].pool].name, now_ms);
		else
			bw_reports_add_order(c->reports, listed->pool,
					     listed->worker, BW_WORKER_CORDON);
	}
	g_free(actions);
	g_free(machines);
	g_free(pools);
}

/** A round of the controller. */
typedef struct round {
	bw_controller_t *c;
	int64_t now_ms;
} round_t;

/* The boot has to be known: a later one of that worker may come up. */
static void check_missing(void *ctx, const char *pool,
			  const bw_worker_report_t *worker)
{
	round_t *round = ctx;
	bw_controller_t *c = round->c;

	if (!worker->silent || worker->started_ms == 0 ||
	    g_hash_table_contains(c->listed_workers, worker->id))
		return;
	if (bw_missing_note(c->missing, round->now_ms, worker->id, c->list_ms))
		bw_reports_add_dead(c->reports, pool, worker->id,
				    worker->started_ms, BW_WORKER_END_UNLISTED);
}

/* Ends the workers that no machine runs. */
static void end_missing_workers(bw_controller_t *c, int64_t now_ms)
{
	round_t round = { c, now_ms };
	uint32_t i;

	for (i = 0; i < c->config->pool_count; i++)
		if (bw_reports_is_fresh(c->reports, now_ms,
					c->config->pools[i].name))
			bw_reports_foreach_worker(c->reports,
						  c->config->pools[i].name,
						  check_missing, &round);
	bw_missing_forget(c->missing, now_ms);
}

static bool may_order(const bw_controller_t *c, int64_t now_ms)
{
	return now_ms - c->created_ms >= c->env.takeover_delay_ms ||
	       !c->ops.has_predecessor(c->ctx, now_ms);
}

void bw_controller_tick(bw_controller_t *c, int64_t now_ms)
{
	bw_maintenance_view_t view = {
		.now_ms = now_ms,
		.machines = c->machines,
		.reports = c->reports,
		.may_order = may_order(c, now_ms),
	};

	request_list(c, now_ms);
	if (now_ms - c->last_round_ms < ROUND_INTERVAL_MS || c->list_ms == 0 ||
	    !c->config)
		return;
	c->last_round_ms = now_ms;
	view.list_ms = c->list_ms;
	bw_reports_clear_orders(c->reports);
	bw_maintenance_tick(c->maintenance, &view);
	update_moves(c, now_ms);
	end_missing_workers(c, now_ms);
	if (view.may_order)
		balance(c, now_ms);
	bw_reports_send_orders(c->reports, c->ops.order, c->ctx);
}

void bw_controller_foreach_wave(const bw_controller_t *c,
				void (*fn)(void *ctx,
					   const bw_wave_progress_t *wave),
				void *ctx)
{
	bw_maintenance_foreach_wave(c->maintenance, fn, ctx);
}
