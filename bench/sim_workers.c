#include "sim_workers.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#define STOP_MS 200
/** A text with the milliseconds that were done. */
#define CHECKPOINT_BYTES 24

typedef struct run {
	bw_task_name_t task;
	uint32_t number;
	crew_work_t work;
	int64_t began_ms;
	int64_t done_before_ms; /**< By earlier runs, from a checkpoint. */
	int64_t ends_ms;
	bool stopping;
} run_t;

typedef struct end {
	uint64_t number;
	bw_task_name_t task;
	uint32_t run;
	bw_end_kind_t kind;
	char checkpoint[CHECKPOINT_BYTES];
} end_t;

typedef struct member {
	char *id;
	bw_resources_t room;
	bw_resources_t used;
	GArray *runs;
	GArray *ends;
	uint64_t last_end;
	bool hold_out;
	int64_t hold_until_ms;
	int64_t hold_sent_ms;
	uint64_t hold_acked;
	void *call;
} member_t;

struct crew {
	crew_ops_t ops;
	void *ctx;
	GPtrArray *members;
	GHashTable *by_id;
};

static void member_free(gpointer data)
{
	member_t *m = data;

	g_array_free(m->runs, TRUE);
	g_array_free(m->ends, TRUE);
	g_free(m->id);
	g_free(m);
}

crew_t *crew_create(const crew_ops_t *ops, void *ctx)
{
	crew_t *crew = g_new0(crew_t, 1);

	crew->ops = *ops;
	crew->ctx = ctx;
	crew->members = g_ptr_array_new_with_free_func(member_free);
	crew->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	return crew;
}

void crew_destroy(crew_t *crew)
{
	g_hash_table_destroy(crew->by_id);
	g_ptr_array_free(crew->members, TRUE);
	g_free(crew);
}

void crew_add(crew_t *crew, const char *id, const bw_resources_t *room)
{
	member_t *m = g_new0(member_t, 1);

	m->id = g_strdup(id);
	m->room = *room;
	m->runs = g_array_new(FALSE, TRUE, sizeof(run_t));
	m->ends = g_array_new(FALSE, TRUE, sizeof(end_t));
	g_ptr_array_add(crew->members, m);
	g_hash_table_insert(crew->by_id, m->id, m);
}

static bool fits(const member_t *m, const bw_resources_t *need)
{
	return m->used.cpu_millis + need->cpu_millis <= m->room.cpu_millis &&
	       m->used.mem_mb + need->mem_mb <= m->room.mem_mb &&
	       m->used.gpus + need->gpus <= m->room.gpus;
}

static void use(member_t *m, const bw_resources_t *need, int sign)
{
	m->used.cpu_millis += sign * need->cpu_millis;
	m->used.mem_mb += sign * need->mem_mb;
	m->used.gpus += sign * need->gpus;
}

bw_order_result_t crew_start(crew_t *crew, int64_t now_ms,
			     const bw_start_order_t *order,
			     const crew_work_t *work)
{
	member_t *m = g_hash_table_lookup(crew->by_id, order->worker);
	run_t run = { .task = order->task,
		      .number = order->run,
		      .work = *work,
		      .began_ms = now_ms };

	if (!fits(m, &work->need))
		return BW_ORDER_NO_RESOURCES;
	if (order->checkpoint)
		run.done_before_ms = atoll(order->checkpoint);
	run.ends_ms = now_ms + MAX(work->work_ms - run.done_before_ms, 1);
	use(m, &work->need, 1);
	g_array_append_val(m->runs, run);
	return BW_ORDER_OK;
}

static run_t *find_run(const member_t *m, const bw_run_order_t *order)
{
	guint i;

	for (i = 0; i < m->runs->len; i++) {
		run_t *run = &g_array_index(m->runs, run_t, i);

		if (run->number == order->run &&
		    run->task.step == order->task.step &&
		    run->task.index == order->task.index &&
		    !strcmp(run->task.job, order->task.job))
			return run;
	}
	return NULL;
}

bw_order_result_t crew_stop(crew_t *crew, int64_t now_ms,
			    const bw_run_order_t *order)
{
	member_t *m = g_hash_table_lookup(crew->by_id, order->worker);
	run_t *run = find_run(m, order);

	if (!run || run->ends_ms <= now_ms + STOP_MS)
		return BW_ORDER_OK;
	run->stopping = true;
	run->ends_ms = now_ms + STOP_MS;
	return BW_ORDER_OK;
}

void crew_hold(crew_t *crew, const bw_heartbeat_order_t *order, void *call)
{
	member_t *m = g_hash_table_lookup(crew->by_id, order->worker);

	m->hold_out = true;
	m->hold_sent_ms = order->now_ms;
	m->hold_until_ms = order->now_ms + order->wait_ms;
	m->hold_acked = order->acked;
	m->call = call;
	while (m->ends->len > 0 &&
	       g_array_index(m->ends, end_t, 0).number <= order->acked)
		g_array_remove_index(m->ends, 0);
}

static void end_run(crew_t *crew, member_t *m, guint index)
{
	const run_t *run = &g_array_index(m->runs, run_t, index);
	end_t end = { .number = ++m->last_end,
		      .task = run->task,
		      .run = run->number,
		      .kind = run->stopping ? BW_END_STOPPED : BW_END_DONE };

	if (run->stopping && run->work.checkpoints)
		g_snprintf(end.checkpoint, sizeof(end.checkpoint),
			   "%" G_GINT64_FORMAT,
			   run->done_before_ms + run->ends_ms - run->began_ms);
	use(m, &run->work.need, -1);
	g_array_append_val(m->ends, end);
	g_array_remove_index_fast(m->runs, index);
	crew->ops.ended(crew->ctx, &end.task, end.kind);
}

static void answer_hold(crew_t *crew, member_t *m, int64_t now_ms)
{
	bw_run_row_t *runs = g_new0(bw_run_row_t, m->runs->len);
	bw_end_row_t *ends = g_new0(bw_end_row_t, m->ends->len);
	bw_heartbeat_answer_t answer = { .result = BW_ORDER_OK,
					 .sent_ms = m->hold_sent_ms,
					 .clock_ms = now_ms,
					 .started_ms = 1,
					 .runs = runs,
					 .run_count = m->runs->len,
					 .ends = ends,
					 .end_count = m->ends->len };
	guint i;

	for (i = 0; i < m->runs->len; i++) {
		const run_t *run = &g_array_index(m->runs, run_t, i);

		runs[i].task = run->task;
		runs[i].run = run->number;
		runs[i].checkpoint = "";
	}
	for (i = 0; i < m->ends->len; i++) {
		const end_t *end = &g_array_index(m->ends, end_t, i);

		ends[i].number = end->number;
		ends[i].task = end->task;
		ends[i].run = end->run;
		ends[i].kind = end->kind;
		ends[i].checkpoint = end->checkpoint;
	}
	m->hold_out = false;
	crew->ops.held(crew->ctx, m->id, &answer, m->call);
	g_free(runs);
	g_free(ends);
}

static bool hold_due(const member_t *m, int64_t now_ms)
{
	return m->hold_out &&
	       (now_ms >= m->hold_until_ms || m->last_end > m->hold_acked);
}

void crew_run(crew_t *crew, int64_t now_ms)
{
	guint i;
	guint k;

	for (i = 0; i < crew->members->len; i++) {
		member_t *m = g_ptr_array_index(crew->members, i);

		for (k = m->runs->len; k-- > 0;) {
			if (g_array_index(m->runs, run_t, k).ends_ms <= now_ms)
				end_run(crew, m, k);
		}
		if (hold_due(m, now_ms))
			answer_hold(crew, m, now_ms);
	}
}

int64_t crew_next_ms(const crew_t *crew)
{
	int64_t next_ms = INT64_MAX;
	guint i;
	guint k;

	for (i = 0; i < crew->members->len; i++) {
		const member_t *m = g_ptr_array_index(crew->members, i);

		for (k = 0; k < m->runs->len; k++)
			next_ms = MIN(next_ms,
				      g_array_index(m->runs, run_t, k).ends_ms);
		if (m->hold_out)
			next_ms = MIN(next_ms,
				      hold_due(m, 0) ? 0 : m->hold_until_ms);
	}
	return next_ms;
}

int64_t crew_used_millis(const crew_t *crew)
{
	int64_t used = 0;
	guint i;

	for (i = 0; i < crew->members->len; i++)
		used += ((member_t *)g_ptr_array_index(crew->members, i))
				->used.cpu_millis;
	return used;
}
