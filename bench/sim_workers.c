#include "sim_workers.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

/** Time from an order to stop to the end of the run. */
#define STOP_DURATION_MS 200
/** A checkpoint is the milliseconds of work done, as decimal text. */
#define CHECKPOINT_BYTES 24

typedef struct run {
	bw_task_name_t task;
	uint32_t number;
	sim_workers_demand_t demand;
	int64_t started_ms;
	int64_t done_before_ms; /**< Work of earlier runs, from a checkpoint. */
	int64_t ends_ms;
	bool stopping;
} run_t;

typedef struct run_end {
	uint64_t number;
	bw_task_name_t task;
	uint32_t run;
	bw_end_kind_t kind;
	char checkpoint[CHECKPOINT_BYTES];
} run_end_t;

typedef struct worker {
	char *id;
	bw_resources_t capacity;
	bw_resources_t used;
	GArray *runs; /**< run_t */
	GArray *ends; /**< run_end_t that are not acknowledged. */
	uint64_t last_end;
	bool heartbeat_open;
	int64_t answer_due_ms;
	int64_t heartbeat_sent_ms;
	uint64_t acked; /**< Highest end that the heartbeat acknowledges. */
	void *call; /**< Of the open heartbeat. */
} worker_t;

struct sim_workers {
	sim_workers_ops_t ops;
	void *ctx;
	GPtrArray *list; /**< worker_t, owned. */
	GHashTable *by_id;
};

static void worker_free(gpointer data)
{
	worker_t *w = data;

	g_array_free(w->runs, TRUE);
	g_array_free(w->ends, TRUE);
	g_free(w->id);
	g_free(w);
}

sim_workers_t *sim_workers_create(const sim_workers_ops_t *ops, void *ctx)
{
	sim_workers_t *workers = g_new0(sim_workers_t, 1);

	workers->ops = *ops;
	workers->ctx = ctx;
	workers->list = g_ptr_array_new_with_free_func(worker_free);
	workers->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	return workers;
}

void sim_workers_destroy(sim_workers_t *workers)
{
	g_hash_table_destroy(workers->by_id);
	g_ptr_array_free(workers->list, TRUE);
	g_free(workers);
}

void sim_workers_add(sim_workers_t *workers, const char *id,
		     const bw_resources_t *capacity)
{
	worker_t *w = g_new0(worker_t, 1);

	w->id = g_strdup(id);
	w->capacity = *capacity;
	w->runs = g_array_new(FALSE, TRUE, sizeof(run_t));
	w->ends = g_array_new(FALSE, TRUE, sizeof(run_end_t));
	g_ptr_array_add(workers->list, w);
	g_hash_table_insert(workers->by_id, w->id, w);
}

static bool fits(const worker_t *w, const bw_resources_t *need)
{
	return w->used.cpu_millis + need->cpu_millis <=
		       w->capacity.cpu_millis &&
	       w->used.mem_mb + need->mem_mb <= w->capacity.mem_mb &&
	       w->used.gpus + need->gpus <= w->capacity.gpus;
}

static void add_used(worker_t *w, const bw_resources_t *need, int sign)
{
	w->used.cpu_millis += sign * need->cpu_millis;
	w->used.mem_mb += sign * need->mem_mb;
	w->used.gpus += sign * need->gpus;
}

bw_order_result_t sim_workers_start(sim_workers_t *workers, int64_t now_ms,
				    const bw_start_order_t *order,
				    const sim_workers_demand_t *demand)
{
	worker_t *w = g_hash_table_lookup(workers->by_id, order->worker);
	run_t run = { .task = order->task,
		      .number = order->run,
		      .demand = *demand,
		      .started_ms = now_ms };

	if (!fits(w, &demand->need))
		return BW_ORDER_NO_RESOURCES;
	if (order->checkpoint)
		run.done_before_ms = atoll(order->checkpoint);
	run.ends_ms = now_ms + MAX(demand->work_ms - run.done_before_ms, 1);
	add_used(w, &demand->need, 1);
	g_array_append_val(w->runs, run);
	return BW_ORDER_OK;
}

static run_t *find_run(const worker_t *w, const bw_run_order_t *order)
{
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		run_t *run = &g_array_index(w->runs, run_t, i);

		if (run->number == order->run &&
		    run->task.step == order->task.step &&
		    run->task.index == order->task.index &&
		    !strcmp(run->task.job, order->task.job))
			return run;
	}
	return NULL;
}

bw_order_result_t sim_workers_stop(sim_workers_t *workers, int64_t now_ms,
				   const bw_run_order_t *order)
{
	worker_t *w = g_hash_table_lookup(workers->by_id, order->worker);
	run_t *run = find_run(w, order);

	if (!run || run->ends_ms <= now_ms + STOP_DURATION_MS)
		return BW_ORDER_OK;
	run->stopping = true;
	run->ends_ms = now_ms + STOP_DURATION_MS;
	return BW_ORDER_OK;
}

void sim_workers_heartbeat(sim_workers_t *workers,
			   const bw_heartbeat_order_t *order, void *call)
{
	worker_t *w = g_hash_table_lookup(workers->by_id, order->worker);

	w->heartbeat_open = true;
	w->heartbeat_sent_ms = order->now_ms;
	w->answer_due_ms = order->now_ms + order->wait_ms;
	w->acked = order->acked;
	w->call = call;
	while (w->ends->len > 0 &&
	       g_array_index(w->ends, run_end_t, 0).number <= order->acked)
		g_array_remove_index(w->ends, 0);
}

static void end_run(sim_workers_t *workers, worker_t *w, guint index)
{
	const run_t *run = &g_array_index(w->runs, run_t, index);
	run_end_t run_end = { .number = ++w->last_end,
			      .task = run->task,
			      .run = run->number,
			      .kind = run->stopping ? BW_END_STOPPED
						    : BW_END_DONE };

	if (run->stopping && run->demand.checkpoints)
		g_snprintf(run_end.checkpoint, sizeof(run_end.checkpoint),
			   "%" G_GINT64_FORMAT,
			   run->done_before_ms + run->ends_ms -
				   run->started_ms);
	add_used(w, &run->demand.need, -1);
	g_array_append_val(w->ends, run_end);
	g_array_remove_index_fast(w->runs, index);
	workers->ops.run_ended(workers->ctx, &run_end.task, run_end.kind);
}

static void answer_heartbeat(sim_workers_t *workers, worker_t *w,
			     int64_t now_ms)
{
	bw_run_row_t *runs = g_new0(bw_run_row_t, w->runs->len);
	bw_end_row_t *ends = g_new0(bw_end_row_t, w->ends->len);
	bw_heartbeat_answer_t answer = { .result = BW_ORDER_OK,
					 .sent_ms = w->heartbeat_sent_ms,
					 .clock_ms = now_ms,
					 .started_ms = 1,
					 .runs = runs,
					 .run_count = w->runs->len,
					 .ends = ends,
					 .end_count = w->ends->len };
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const run_t *run = &g_array_index(w->runs, run_t, i);

		runs[i].task = run->task;
		runs[i].run = run->number;
		runs[i].checkpoint = "";
	}
	for (i = 0; i < w->ends->len; i++) {
		const run_end_t *run_end =
			&g_array_index(w->ends, run_end_t, i);

		ends[i].number = run_end->number;
		ends[i].task = run_end->task;
		ends[i].run = run_end->run;
		ends[i].kind = run_end->kind;
		ends[i].checkpoint = run_end->checkpoint;
	}
	w->heartbeat_open = false;
	workers->ops.heartbeat_answered(workers->ctx, w->id, &answer, w->call);
	g_free(runs);
	g_free(ends);
}

static bool answer_due(const worker_t *w, int64_t now_ms)
{
	return w->heartbeat_open &&
	       (now_ms >= w->answer_due_ms || w->last_end > w->acked);
}

void sim_workers_advance(sim_workers_t *workers, int64_t now_ms)
{
	guint i;
	guint k;

	for (i = 0; i < workers->list->len; i++) {
		worker_t *w = g_ptr_array_index(workers->list, i);

		for (k = w->runs->len; k-- > 0;) {
			if (g_array_index(w->runs, run_t, k).ends_ms <= now_ms)
				end_run(workers, w, k);
		}
		if (answer_due(w, now_ms))
			answer_heartbeat(workers, w, now_ms);
	}
}

int64_t sim_workers_next_ms(const sim_workers_t *workers)
{
	int64_t next_ms = INT64_MAX;
	guint i;
	guint k;

	for (i = 0; i < workers->list->len; i++) {
		const worker_t *w = g_ptr_array_index(workers->list, i);

		for (k = 0; k < w->runs->len; k++)
			next_ms = MIN(next_ms,
				      g_array_index(w->runs, run_t, k).ends_ms);
		if (w->heartbeat_open)
			next_ms = MIN(next_ms,
				      answer_due(w, 0) ? 0 : w->answer_due_ms);
	}
	return next_ms;
}

int64_t sim_workers_used_millis(const sim_workers_t *workers)
{
	int64_t used = 0;
	guint i;

	for (i = 0; i < workers->list->len; i++)
		used += ((worker_t *)g_ptr_array_index(workers->list, i))
				->used.cpu_millis;
	return used;
}
