#include "fleet/reports.h"

#include <string.h>

#include <glib.h>

typedef struct pool_report {
	char *pool;
	int64_t received_ms;
	uint64_t fence; /**< Fencing token of the owner that sent it. */
	bw_pool_demand_t demand;
	GHashTable *workers; /**< Identifier to bw_worker_report_t. */
	GPtrArray *orders[BW_WORKER_ORDER_COUNT]; /**< Identifiers. */
	GArray *dead_started_ms; /**< int64_t, of each that is to be dead. */
	GArray *dead_causes; /**< uint32_t, the same. */
	bool expects_workers; /**< New workers will start soon. */
} pool_report_t;

struct bw_reports {
	GHashTable *pools; /**< Name to pool_report_t. */
};

/** The workers of a report that is being built. */
typedef struct report_rows {
	GArray *rows;
} report_rows_t;

static pool_report_t *get_pool(bw_reports_t *r, const char *pool);

static void worker_free(gpointer data)
{
	bw_worker_report_t *worker = data;

	g_free(worker->id);
	g_free(worker);
}

static void pool_free(gpointer data)
{
	pool_report_t *report = data;
	int i;

	for (i = 0; i < BW_WORKER_ORDER_COUNT; i++)
		g_ptr_array_free(report->orders[i], TRUE);
	g_array_free(report->dead_started_ms, TRUE);
	g_array_free(report->dead_causes, TRUE);
	g_hash_table_destroy(report->workers);
	g_free(report->pool);
	g_free(report);
}

bw_reports_t *bw_reports_create(void)
{
	bw_reports_t *r = g_new0(bw_reports_t, 1);

	r->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	return r;
}

void bw_reports_destroy(bw_reports_t *r)
{
	if (!r)
		return;
	g_hash_table_destroy(r->pools);
	g_free(r);
}

static void pack_worker(void *ctx, const bw_worker_view_t *view)
{
	report_rows_t *p = ctx;
	Bramley__WorkerReport row = BRAMLEY__WORKER_REPORT__INIT;

	row.id = (char *)view->id;
	row.tasks = view->tasks;
	row.lasting = view->lasting;
	row.idle = view->idle;
	row.emptied = view->cordoned;
	row.reachable = view->reachable;
	row.silent = view->silent;
	row.started_ms = view->started_ms;
	g_array_append_val(p->rows, row);
}

void bw_reports_pack(const char *pool, uint64_t fence, const bw_sched_t *sched,
		     int64_t now_ms,
		     void (*send)(void *ctx, const Bramley__Frame *frame),
		     void *ctx)
{
	report_rows_t p = { g_array_new(FALSE, FALSE,
					sizeof(Bramley__WorkerReport)) };
	Bramley__PoolReport report = BRAMLEY__POOL_REPORT__INIT;
	Bramley__Frame frame = BRAMLEY__FRAME__INIT;
	bw_pool_demand_t demand;
	guint i;

	bw_sched_demand(sched, now_ms, &demand);
	bw_sched_views(sched, now_ms, pack_worker, &p);
	report.pool = (char *)pool;
	report.fence = fence;
	report.used_millis = demand.used_millis;
	report.waiting_millis = demand.waiting_millis;
	report.lasting_millis = demand.lasting_millis;
	report.offered_millis = demand.offered_millis;
	report.n_workers = p.rows->len;
	report.workers = g_new(Bramley__WorkerReport *, p.rows->len + 1);
	for (i = 0; i < p.rows->len; i++)
		report.workers[i] =
			&g_array_index(p.rows, Bramley__WorkerReport, i);
	frame.body_case = BRAMLEY__FRAME__BODY_POOL_REPORT;
	frame.pool_report = &report;
	send(ctx, &frame);
	g_free(report.workers);
	g_array_free(p.rows, TRUE);
}

static pool_report_t *get_pool(bw_reports_t *r, const char *pool)
{
	pool_report_t *report = g_hash_table_lookup(r->pools, pool);
	int i;

	if (report)
		return report;
	report = g_new0(pool_report_t, 1);
	report->pool = g_strdup(pool);
	report->workers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						worker_free);
	for (i = 0; i < BW_WORKER_ORDER_COUNT; i++)
		report->orders[i] = g_ptr_array_new_with_free_func(g_free);
	report->dead_started_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
	report->dead_causes = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_hash_table_insert(r->pools, report->pool, report);
	return report;
}

void bw_reports_record(bw_reports_t *r, int64_t now_ms,
		       const Bramley__PoolReport *message)
{
	pool_report_t *report = get_pool(r, message->pool);
	size_t i;

	/* An earlier owner does not know what runs on its idle workers. */
	if (message->fence < report->fence)
		return;
	report->fence = message->fence;
	report->received_ms = now_ms;
	report->demand.used_millis = message->used_millis;
	report->demand.waiting_millis = message->waiting_millis;
	report->demand.lasting_millis = message->lasting_millis;
	report->demand.offered_millis = message->offered_millis;
	g_hash_table_remove_all(report->workers);
	for (i = 0; i < message->n_workers; i++) {
		const Bramley__WorkerReport *row = message->workers[i];
		bw_worker_report_t *worker = g_new0(bw_worker_report_t, 1);

		worker->id = g_strdup(row->id);
		worker->tasks = row->tasks;
		worker->lasting = row->lasting;
		worker->idle = row->idle;
		worker->cordoned = row->emptied;
		worker->reachable = row->reachable;
		worker->silent = row->silent;
		worker->started_ms = row->started_ms;
		g_hash_table_replace(report->workers, worker->id, worker);
	}
}

bool bw_reports_is_fresh(const bw_reports_t *r, int64_t now_ms,
			 const char *pool)
{
	const pool_report_t *report = g_hash_table_lookup(r->pools, pool);

	return report && report->received_ms > 0 &&
	       now_ms - report->received_ms <= BW_REPORT_FRESH_MS;
}

bw_pool_demand_t bw_reports_demand(const bw_reports_t *r, const char *pool)
{
	const pool_report_t *report = g_hash_table_lookup(r->pools, pool);

	return report ? report->demand : (bw_pool_demand_t){ 0 };
}

const bw_worker_report_t *bw_reports_worker(const bw_reports_t *r,
					    const char *pool, const char *id)
{
	const pool_report_t *report = g_hash_table_lookup(r->pools, pool);

	return report ? g_hash_table_lookup(report->workers, id) : NULL;
}

void bw_reports_foreach_worker(const bw_reports_t *r, const char *pool,
			       void (*fn)(void *ctx, const char *pool,
					  const bw_worker_report_t *worker),
			       void *ctx)
{
	const pool_report_t *report = g_hash_table_lookup(r->pools, pool);
	GHashTableIter iter;
	gpointer value;

	if (!report)
		return;
	g_hash_table_iter_init(&iter, report->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fn(ctx, pool, value);
}

void bw_reports_clear_orders(bw_reports_t *r)
{
	GHashTableIter iter;
	gpointer value;
	int i;

	g_hash_table_iter_init(&iter, r->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		pool_report_t *report = value;

		report->expects_workers = false;
		for (i = 0; i < BW_WORKER_ORDER_COUNT; i++)
			g_ptr_array_set_size(report->orders[i], 0);
		g_array_set_size(report->dead_started_ms, 0);
		g_array_set_size(report->dead_causes, 0);
	}
}

void bw_reports_expect_workers(bw_reports_t *r, const char *pool)
{
	get_pool(r, pool)->expects_workers = true;
}

void bw_reports_add_order(bw_reports_t *r, const char *pool, const char *worker,
			  bw_worker_order_t order)
{
	if (worker[0] != '\0')
		g_ptr_array_add(get_pool(r, pool)->orders[order],
				g_strdup(worker));
}

void bw_reports_add_dead(bw_reports_t *r, const char *pool, const char *worker,
			 int64_t started_ms, bw_worker_end_t cause)
{
	uint32_t cause_number = cause;

	if (worker[0] == '\0')
		return;
	bw_reports_add_order(r, pool, worker, BW_WORKER_DEAD);
	g_array_append_val(get_pool(r, pool)->dead_started_ms, started_ms);
	g_array_append_val(get_pool(r, pool)->dead_causes, cause_number);
}

void bw_reports_send_orders(bw_reports_t *r,
			    void (*send)(void *ctx, const char *pool,
					 const Bramley__Frame *frame),
			    void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		pool_report_t *report = value;
		Bramley__PoolOrder order = BRAMLEY__POOL_ORDER__INIT;
		Bramley__Frame frame = BRAMLEY__FRAME__INIT;

		order.pool = report->pool;
		order.empty = (char **)report->orders[BW_WORKER_CORDON]->pdata;
		order.n_empty = report->orders[BW_WORKER_CORDON]->len;
		order.due = (char **)report->orders[BW_WORKER_MAINTENANCE_DUE]
				    ->pdata;
		order.n_due = report->orders[BW_WORKER_MAINTENANCE_DUE]->len;
		order.dead = (char **)report->orders[BW_WORKER_DEAD]->pdata;
		order.n_dead = report->orders[BW_WORKER_DEAD]->len;
		order.dead_started_ms =
			(int64_t *)(void *)report->dead_started_ms->data;
		order.n_dead_started_ms = report->dead_started_ms->len;
		order.dead_causes =
			(uint32_t *)(void *)report->dead_causes->data;
		order.n_dead_causes = report->dead_causes->len;
		order.awaits = report->expects_workers;
		frame.body_case = BRAMLEY__FRAME__BODY_POOL_ORDER;
		frame.pool_order = &order;
		send(ctx, report->pool, &frame);
	}
}

/** Lists of an order that tell something of each worker, also by leaving it
 *  out: all but the dead. */
#define LISTS BW_WORKER_DEAD

/** Context while a pool's order is carried out: the workers of each list. */
typedef struct order_ctx {
	bw_sched_t *sched;
	GHashTable *workers[LISTS];
} order_ctx_t;

/* Returns the set of a list's identifiers, which stay the list's. */
static GHashTable *set_of(char *const *ids, size_t count)
{
	GHashTable *set = g_hash_table_new(g_str_hash, g_str_equal);
	size_t i;

	for (i = 0; i < count; i++)
		g_hash_table_add(set, ids[i]);
	return set;
}

static void apply_worker(void *ctx, const char *id, bool registered)
{
	order_ctx_t *a = ctx;

	(void)registered;
	bw_sched_worker_cordon(
		a->sched, id,
		g_hash_table_contains(a->workers[BW_WORKER_CORDON], id));
	bw_sched_worker_maintenance_due(
		a->sched, id,
		g_hash_table_contains(a->workers[BW_WORKER_MAINTENANCE_DUE],
				      id));
}

/* Earlier versions tell neither start nor cause. */
static void apply_dead(bw_sched_t *sched, int64_t now_ms,
		       const Bramley__PoolOrder *order)
{
	size_t i;

	for (i = 0; i < order->n_dead; i++) {
		const char *worker = order->dead[i];
		int64_t started_ms = i < order->n_dead_started_ms
					     ? order->dead_started_ms[i]
					     : 0;
		bool unlisted = i < order->n_dead_causes &&
				order->dead_causes[i] == BW_WORKER_END_UNLISTED;

		if (started_ms == 0)
			bw_sched_worker_dead(sched, worker, "upkeep-or-move");
		else if (unlisted)
			bw_sched_boot_unlisted(sched, now_ms, worker,
					       started_ms);
		else
			bw_sched_boot_dead(sched, worker, started_ms,
					   "upkeep-or-move");
	}
}

void bw_reports_apply_order(bw_sched_t *sched, int64_t now_ms,
			    const Bramley__PoolOrder *order)
{
	order_ctx_t a = {
		.sched = sched,
		.workers = {
			[BW_WORKER_CORDON] =
				set_of(order->empty, order->n_empty),
			[BW_WORKER_MAINTENANCE_DUE] =
				set_of(order->due, order->n_due),
		},
	};
	int i;

	bw_sched_workers(sched, apply_worker, &a);
	for (i = 0; i < LISTS; i++)
		g_hash_table_destroy(a.workers[i]);
	apply_dead(sched, now_ms, order);
}

static void uncordon_worker(void *ctx, const char *id, bool registered)
{
	(void)registered;
	bw_sched_worker_cordon(ctx, id, false);
}

void bw_reports_uncordon_all(bw_sched_t *sched)
{
	bw_sched_workers(sched, uncordon_worker, sched);
}
