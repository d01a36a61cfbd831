#include "fleet/controller.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/event.h"
#include "fleet/balance.h"

/** Ages from which the list of machines is read again. */
#define LIST_AGE_MS	 1500
#define LIST_WAVE_AGE_MS 700
#define LIST_MOVE_AGE_MS 250
#define LIST_AGAIN_MS	 300
/** Pause between rounds of decisions. */
#define ROUND_MS      100
#define LOG_MS	      500
#define MOVE_AGAIN_MS 400
/** A move shows in the list of machines within this. */
#define MOVE_SHOWS_MS 150
/** A machine that is not in use so long after a move is not on its way. */
#define MOVE_LONGEST_MS 4000

/** A move that was ordered. */
typedef struct move {
	char *machine;
	char *worker; /**< That lived on it. */
	char *from;
	char *to;
	int64_t ordered_ms; /**< When the order was answered; 0: not yet. */
	int64_t next_ms;
	bool call_out;
} move_t;

struct bw_controller {
	bw_controller_env_t env;
	bw_controller_ops_t ops;
	void *ctx;
	const bw_fleet_config_t *config;
	bw_reports_t *reports;
	bw_maintenance_t *upkeep;
	bw_balance_t *balance;
	GHashTable *machines; /**< Name to bw_machine_t. */
	GHashTable *moves; /**< Machine to move_t. */
	int64_t since_ms;
	int64_t list_ms; /**< When the list in hand was asked for. */
	int64_t asked_ms;
	int64_t list_next_ms;
	int64_t round_ms;
	int64_t logged_ms;
	uint32_t refs; /**< The owner and each call in progress. */
	bool list_out;
	bool closed;
};

/** A call to a machine in progress. */
typedef struct move_ctx {
	bw_controller_t *c;
	char *machine;
} move_ctx_t;

static void on_result(void *ctx, bw_status_t status);
static void on_superseded(void *ctx);
static void ask_list(bw_controller_t *c, int64_t now_ms);
static void on_list(void *ctx, bw_status_t status, const bw_machine_t *list,
		    uint32_t count);
static void order_move(bw_controller_t *c, move_t *move, int64_t now_ms);
static void on_moved(void *ctx, bw_machine_result_t result);
static void advance_moves(bw_controller_t *c, int64_t now_ms);
static void balance(bw_controller_t *c, int64_t now_ms);

static const bw_maintenance_ops_t upkeep_ops = { on_result, on_superseded };

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
	bw_maintenance_env_t upkeep = {
		.store = env->store,
		.machines = env->machines,
		.values = env->values,
		.holder = { env->node, (uint64_t)env->fence },
	};

	c->env = *env;
	c->ops = *ops;
	c->ctx = ctx;
	c->refs = 1;
	c->since_ms = bw_clock_now_ms();
	c->reports = bw_reports_create();
	c->balance = bw_balance_create();
	c->upkeep = bw_maintenance_create(&upkeep, &upkeep_ops, c);
	c->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    machine_free);
	c->moves =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, move_free);
	return c;
}

static void unref(bw_controller_t *c)
{
	if (--c->refs > 0)
		return;
	g_hash_table_destroy(c->machines);
	g_hash_table_destroy(c->moves);
	bw_balance_destroy(c->balance);
	bw_reports_destroy(c->reports);
	g_free(c);
}

void bw_controller_destroy(bw_controller_t *c)
{
	if (!c || c->closed)
		return;
	c->closed = true;
	bw_maintenance_destroy(c->upkeep);
	unref(c);
}

static void on_result(void *ctx, bw_status_t status)
{
	bw_controller_t *c = ctx;

	c->ops.result(c->ctx, status);
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
	bw_maintenance_add_wave(c->upkeep, order);
}

void bw_controller_record_report(bw_controller_t *c, int64_t now_ms,
				 const Bramley__PoolReport *report)
{
	bw_reports_take(c->reports, now_ms, report);
}

bool bw_controller_has_moves(const bw_controller_t *c)
{
	return g_hash_table_size(c->moves) > 0;
}

static int64_t list_age_ms(const bw_controller_t *c)
{
	if (bw_controller_has_moves(c))
		return LIST_MOVE_AGE_MS;
	return bw_maintenance_in_progress(c->upkeep) ? LIST_WAVE_AGE_MS
						     : LIST_AGE_MS;
}

static void ask_list(bw_controller_t *c, int64_t now_ms)
{
	if (c->list_out || now_ms < c->list_next_ms ||
	    now_ms - c->list_ms < list_age_ms(c))
		return;
	c->list_out = true;
	c->asked_ms = now_ms;
	c->refs++;
	c->env.machines.list(c->env.machines.impl, on_list, c);
}

static void take_list(bw_controller_t *c, const bw_machine_t *list,
		      uint32_t count)
{
	uint32_t i;

	c->list_ms = c->asked_ms;
	g_hash_table_remove_all(c->machines);
	for (i = 0; i < count; i++) {
		bw_machine_t *machine = g_new0(bw_machine_t, 1);

		machine->name = g_strdup(list[i].name);
		machine->pool = g_strdup(list[i].pool);
		machine->worker = g_strdup(list[i].worker);
		machine->capacity_millis = list[i].capacity_millis;
		machine->up = list[i].up;
		machine->returning = list[i].returning;
		g_hash_table_replace(c->machines, machine->name, machine);
	}
}

static void on_list(void *ctx, bw_status_t status, const bw_machine_t *list,
		    uint32_t count)
{
	bw_controller_t *c = ctx;

	c->list_out = false;
	if (!c->closed && status == BW_OK)
		take_list(c, list, count);
	else
		c->list_next_ms = bw_clock_now_ms() + LIST_AGAIN_MS;
	unref(c);
}

static void order_move(bw_controller_t *c, move_t *move, int64_t now_ms)
{
	bw_machine_holder_t holder = { c->env.node, (uint64_t)c->env.fence };
	move_ctx_t *ctx = g_new0(move_ctx_t, 1);

	ctx->c = c;
	ctx->machine = g_strdup(move->machine);
	move->call_out = true;
	move->next_ms = now_ms + MOVE_AGAIN_MS;
	c->refs++;
	c->env.machines.move(c->env.machines.impl, move->machine, move->to,
			     &holder, on_moved, ctx);
}

static void take_moved(bw_controller_t *c, const char *machine,
		       bw_machine_result_t result)
{
	move_t *move = g_hash_table_lookup(c->moves, machine);

	if (!move)
		return;
	bw_event(BW_EVENT_CONTROLLER_MOVED,
		 "machine=%s from=%s to=%s result=%d", machine, move->from,
		 move->to, result);
	move->call_out = false;
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
		take_moved(c, move->machine, result);
	g_free(move->machine);
	g_free(move);
	unref(c);
}

/* A machine has moved once its new pool uses it, or should long have. */
static bool has_arrived(const bw_controller_t *c, const move_t *move,
			const bw_machine_t *machine, int64_t now_ms)
{
	const bw_worker_report_t *worker =
		bw_reports_worker(c->reports, machine->pool, machine->worker);

	if (!machine->up || c->list_ms < move->ordered_ms + MOVE_SHOWS_MS)
		return false;
	return machine->worker[0] == '\0' || (worker && worker->reachable) ||
	       now_ms - move->ordered_ms > MOVE_LONGEST_MS;
}

/* Repeats orders without an answer, and ends those that show in the list. */
static void advance_moves(bw_controller_t *c, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->moves);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		move_t *move = value;
		const bw_machine_t *machine =
			g_hash_table_lookup(c->machines, move->machine);

		bw_reports_await(c->reports, move->to);
		if (move->ordered_ms == 0) {
			bw_reports_order(c->reports, move->from, move->worker,
					 BW_WORKER_EMPTY);
			if (!move->call_out && now_ms >= move->next_ms)
				order_move(c, move, now_ms);
			continue;
		}
		bw_reports_order(c->reports, move->from, move->worker,
				 BW_WORKER_DEAD);
		if (!machine || has_arrived(c, move, machine, now_ms))
			g_hash_table_iter_remove(&iter);
	}
}

static uint32_t pool_index(const bw_fleet_config_t *config, const char *name)
{
	uint32_t i;

	for (i = 0; i < config->pool_count; i++)
		if (!strcmp(config->pools[i].name, name))
			return i;
	return UINT32_MAX;
}

static void fill_pools(const bw_controller_t *c, int64_t now_ms,
		       bw_balance_pool_t *pools)
{
	uint32_t i;

	for (i = 0; i < c->config->pool_count; i++) {
		pools[i].name = c->config->pools[i].name;
		pools[i].standby = c->config->pools[i].standby;
		pools[i].known =
			bw_reports_fresh(c->reports, now_ms, pools[i].name);
		pools[i].demand = bw_reports_demand(c->reports, pools[i].name);
	}
}

static void fill_machine(const bw_controller_t *c, const bw_machine_t *from,
			 uint32_t pool, bw_balance_machine_t *out)
{
	const bw_worker_report_t *worker =
		bw_reports_worker(c->reports, from->pool, from->worker);
	const move_t *move = g_hash_table_lookup(c->moves, from->name);
	/* A machine that is reserved for upkeep serves nobody for a while. */
	bool reserved = bw_maintenance_is_reserved(c->upkeep, from->name);

	*out = (bw_balance_machine_t){
		.name = from->name,
		.pool = pool,
		.room_millis = from->capacity_millis,
		.up = from->up,
		.tasks = worker ? worker->tasks : 0,
		.lasting = worker ? worker->lasting : 0,
		.usable = !reserved && (from->returning || move ||
					(worker && worker->reachable)),
		.held = move || reserved,
		.free = c->config->pools[pool].standby ||
			(worker && worker->idle && worker->emptied),
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

/* One line for each pool now and then, with what moves depend on. */
static void log_pools(bw_controller_t *c, const bw_balance_pool_t *pools,
		      int64_t now_ms)
{
	uint32_t i;

	if (now_ms - c->logged_ms < LOG_MS)
		return;
	c->logged_ms = now_ms;
	for (i = 0; i < c->config->pool_count; i++) {
		bw_balance_state_t state =
			bw_balance_state(c->balance, pools[i].name);

		bw_event(BW_EVENT_CONTROLLER_POOL,
			 "pool=%s known=%d used=%" G_GINT64_FORMAT
			 " offered=%" G_GINT64_FORMAT
			 " waiting=%" G_GINT64_FORMAT
			 " lasting=%" G_GINT64_FORMAT
			 " have=%u needed=%u wanted=%u",
			 pools[i].name, pools[i].known,
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
	move_t *move = g_new0(move_t, 1);

	move->machine = g_strdup(name);
	move->worker = g_strdup(machine->worker);
	move->from = g_strdup(machine->pool);
	move->to = g_strdup(to);
	g_hash_table_replace(c->moves, move->machine, move);
	/* Its owner keeps it empty until the order is answered. */
	bw_reports_order(c->reports, move->from, move->worker, BW_WORKER_EMPTY);
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
			bw_reports_order(c->reports, listed->pool,
					 listed->worker, BW_WORKER_EMPTY);
	}
	g_free(actions);
	g_free(machines);
	g_free(pools);
}

void bw_controller_tick(bw_controller_t *c, int64_t now_ms)
{
	bw_maintenance_view_t view = {
		.now_ms = now_ms,
		.machines = c->machines,
		.reports = c->reports,
		.may_order = c->env.no_predecessor ||
			     now_ms - c->since_ms >= c->env.takeover_delay_ms,
	};

	ask_list(c, now_ms);
	if (now_ms - c->round_ms < ROUND_MS || c->list_ms == 0 || !c->config)
		return;
	c->round_ms = now_ms;
	view.list_ms = c->list_ms;
	bw_reports_clear_orders(c->reports);
	bw_maintenance_tick(c->upkeep, &view);
	advance_moves(c, now_ms);
	if (view.may_order)
		balance(c, now_ms);
	bw_reports_send_orders(c->reports, c->ops.order, c->ctx);
}

void bw_controller_foreach_wave(const bw_controller_t *c,
				void (*fn)(void *ctx,
					   const bw_wave_progress_t *wave),
				void *ctx)
{
	bw_maintenance_foreach_wave(c->upkeep, fn, ctx);
}
