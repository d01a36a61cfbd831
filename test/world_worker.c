/* Fake workers, and the calls of nodes to them. */
#include "world_internal.h"

#include <stdio.h>
#include <string.h>

static int64_t worker_clock(const world_t *w, const fake_worker_t *worker)
{
	return 1000 +
	       (int64_t)((double)(w->now_ms - worker->born_ms) * worker->rate);
}

static void end_run(world_t *w, fake_worker_t *worker, guint index,
		    bw_end_kind_t kind)
{
	run_t *run = &g_array_index(worker->runs, run_t, index);
	fake_job_t *job = world_find_job(w, run->task.job);
	truth_t *truth = world_find_truth(job, &run->task);
	fake_end_t end = { ++worker->last_end, run->task, run->number, kind };
	char text[80];

	truth->running--;
	if (kind == BW_END_DONE)
		truth->done = true;
	if (kind == BW_END_FAILED)
		truth->failed++;
	g_array_append_val(worker->ends, end);
	world_task_text(&run->task, text, sizeof(text));
	g_hash_table_replace(worker->highest, g_strdup(text),
			     GUINT_TO_POINTER(run->number));
	g_array_remove_index_fast(worker->runs, index);
}

static void check_worker(world_t *w, void *arg)
{
	fake_worker_t *worker = arg;
	guint i = worker->runs->len;
	bool over = worker_clock(w, worker) >= worker->deadline;

	if (!worker->alive)
		return;
	while (i-- > 0) {
		run_t *run = &g_array_index(worker->runs, run_t, i);

		if (over)
			end_run(w, worker, i, BW_END_EXPIRED);
		else if (w->now_ms >= run->ends_ms)
			end_run(w, worker, i,
				run->stopping ? BW_END_STOPPED
				: run->fails  ? BW_END_FAILED
					      : BW_END_DONE);
	}
}

static void extend(world_t *w, fake_worker_t *worker, int64_t deadline)
{
	int64_t limit = worker_clock(w, worker) + 10000;

	deadline = MIN(deadline, limit);
	if (deadline <= worker->deadline)
		return;
	worker->deadline = deadline;
	world_at(w,
		 (int64_t)((double)(deadline - worker_clock(w, worker)) /
			   worker->rate) +
			 2,
		 check_worker, worker);
}

static void check_start(world_t *w, fake_worker_t *worker, fake_job_t *job,
			const bw_task_name_t *task)
{
	const bw_step_spec_t *step = &job->record.spec->steps[task->step];
	truth_t *truth = world_find_truth(job, task);
	bw_resources_t used = step->need;
	uint32_t same = 1;
	uint32_t k;
	guint i;

	if (truth->running > 0)
		world_breach(w, "task %s.%u.%u runs twice", task->job,
			     task->step, task->index);
	if (truth->done_acked)
		world_breach(w,
			     "task %s.%u.%u starts after its acknowledged end",
			     task->job, task->step, task->index);
	if (!step->lasting && truth->failed_acked >= ATTEMPTS)
		world_breach(w, "task %s.%u.%u starts after its last attempt",
			     task->job, task->step, task->index);
	for (i = 0; i < worker->runs->len; i++) {
		const run_t *run = &g_array_index(worker->runs, run_t, i);

		used.cpu_millis += run->need.cpu_millis;
		used.mem_mb += run->need.mem_mb;
		if (!strcmp(run->task.job, task->job) &&
		    run->task.step == task->step)
			same++;
	}
	if (used.cpu_millis > 32000 || used.mem_mb > 64000)
		world_breach(w, "worker %s is over its room", worker->id);
	if (step->per_worker_max > 0 && same > step->per_worker_max)
		world_breach(w, "too many tasks of a step on %s", worker->id);
	for (i = 0; i < step->after_count; i++)
		for (k = 0; k < job->record.spec->steps[step->after[i]].count;
		     k++) {
			bw_task_name_t before = *task;

			before.step = step->after[i];
			before.index = k;
			if (!world_find_truth(job, &before)->done)
				world_breach(
					w, "task %s.%u.%u starts too early",
					task->job, task->step, task->index);
		}
}

static void begin_run(world_t *w, fake_worker_t *worker,
		      const bw_task_name_t *task, uint32_t number)
{
	fake_job_t *job = world_find_job(w, task->job);
	const bw_step_spec_t *step = &job->record.spec->steps[task->step];
	run_t run = { .task = *task, .number = number, .need = step->need };

	check_start(w, worker, job, task);
	if (job->removed_ms > 0)
		world_breach(w, "job %s is started after its removal", job->id);
	world_find_truth(job, task)->running++;
	w->result->starts++;
	run.fails = worker->bad || (job->poison && task->index == 0) ||
		    world_chance(w, 0.02);
	run.began_ms = w->now_ms;
	run.ends_ms = INT64_MAX;
	if (!step->lasting || world_chance(w, 0.1)) {
		run.ends_ms = w->now_ms + world_between(w, 100, 2500);
		run.fails |= step->lasting;
	}
	g_array_append_val(worker->runs, run);
	if (run.ends_ms != INT64_MAX)
		world_at(w, run.ends_ms - w->now_ms, check_worker, worker);
}

static gint find_run(const fake_worker_t *worker, const bw_task_name_t *task,
		     uint32_t number)
{
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const run_t *run = &g_array_index(worker->runs, run_t, i);

		if (run->number == number && run->task.step == task->step &&
		    run->task.index == task->index &&
		    !strcmp(run->task.job, task->job))
			return (gint)i;
	}
	return -1;
}

static uint32_t highest_run(const fake_worker_t *worker,
			    const bw_task_name_t *task)
{
	char text[80];

	world_task_text(task, text, sizeof(text));
	return GPOINTER_TO_UINT(g_hash_table_lookup(worker->highest, text));
}

/* Calls from nodes to workers. */

typedef enum call_kind { CALL_START, CALL_STOP, CALL_HOLD } call_kind_t;

typedef struct call {
	node_t *node;
	uint64_t life;
	fake_worker_t *worker;
	call_kind_t kind;
	char worker_id[32];
	bw_task_name_t task;
	uint32_t run;
	uint64_t fence;
	int64_t grant;
	uint64_t acked;
	int64_t sent_ms;
	bool answer_lost;
	bool late; /**< Carried out after its caller gave up. */
	bw_order_result_t result;
	int64_t clock_ms;
	int64_t born_ms;
	GArray *runs;
	GArray *ends;
} call_t;

static void call_free(call_t *call)
{
	if (call->runs)
		g_array_free(call->runs, TRUE);
	if (call->ends)
		g_array_free(call->ends, TRUE);
	g_free(call);
}

bool world_node_works(const world_t *w, const node_t *node)
{
	return node->alive && w->now_ms >= node->paused_until_ms;
}

static void deliver_hold(world_t *w, node_t *node, call_t *call)
{
	bw_heartbeat_answer_t answer = {
		.result = call->result,
		.sent_ms = call->sent_ms,
		.clock_ms = call->clock_ms,
		.started_ms = call->born_ms,
	};

	if (call->runs) {
		answer.runs = (const bw_run_row_t *)(void *)call->runs->data;
		answer.run_count = call->runs->len;
		answer.ends = (const bw_end_row_t *)(void *)call->ends->data;
		answer.end_count = call->ends->len;
	}
	bw_sched_heartbeat_answered(node->sched, w->now_ms, call->worker_id,
				    &answer);
}

static void on_answer(world_t *w, void *arg)
{
	call_t *call = arg;
	node_t *node = call->node;

	if (node->alive && w->now_ms < node->paused_until_ms) {
		world_at(w, node->paused_until_ms - w->now_ms, on_answer, call);
		return;
	}
	if (node->alive && node->life == call->life && node->sched) {
		if (call->kind == CALL_START)
			bw_sched_start_answered(node->sched, w->now_ms,
						call->worker_id, &call->task,
						call->run, call->result,
						call->clock_ms);
		else if (call->kind == CALL_STOP)
			bw_sched_stop_answered(node->sched, w->now_ms,
					       call->worker_id, &call->task,
					       call->run, call->result);
		else
			deliver_hold(w, node, call);
		world_run_node(w, node);
	}
	call_free(call);
}

static void do_start(world_t *w, call_t *call)
{
	fake_worker_t *worker = call->worker;

	extend(w, worker, call->grant);
	if (find_run(worker, &call->task, call->run) >= 0)
		return;
	if (call->run <= highest_run(worker, &call->task))
		call->result = BW_ORDER_OLD_RUN;
	else if (call->grant <= worker_clock(w, worker))
		call->result = BW_ORDER_EXPIRED;
	else
		begin_run(w, worker, &call->task, call->run);
}

static bool at_work(const world_t *w, const run_t *run)
{
	return w->now_ms - run->began_ms >= START_UP_MS;
}

/* No stop takes a second task of a lasting step away. */
static void check_away(world_t *w, const call_t *call, const run_t *run)
{
	fake_job_t *job = world_find_job(w, run->task.job);
	const bw_step_spec_t *step = &job->record.spec->steps[run->task.step];
	bw_task_name_t name = run->task;
	uint32_t away = 0;

	if (!step->lasting || job->cancelled_ms > 0 || call->late)
		return;
	for (name.index = 0; name.index < step->count; name.index++)
		if (name.index != run->task.index &&
		    world_find_truth(job, &name)->away)
			away++;
	if (at_work(w, run) && away >= MAX(step->away_max, 1U))
		world_breach(w, "task %s.%u.%u is stopped with %u others away",
			     run->task.job, run->task.step, run->task.index,
			     away);
	world_find_truth(job, &run->task)->away = true;
}

/* A run that has started up ends its task's absence. */
static void note_at_work(world_t *w, const fake_worker_t *worker)
{
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const run_t *run = &g_array_index(worker->runs, run_t, i);

		if (!run->stopping && at_work(w, run))
			world_find_truth(world_find_job(w, run->task.job),
					 &run->task)
				->away = false;
	}
}

static void do_stop(world_t *w, call_t *call)
{
	fake_worker_t *worker = call->worker;
	gint index = find_run(worker, &call->task, call->run);
	run_t *run;
	char text[80];

	if (index < 0) {
		world_task_text(&call->task, text, sizeof(text));
		if (call->run > highest_run(worker, &call->task))
			g_hash_table_replace(worker->highest, g_strdup(text),
					     GUINT_TO_POINTER(call->run));
		return;
	}
	run = &g_array_index(worker->runs, run_t, index);
	if (run->stopping)
		return;
	check_away(w, call, run);
	run->stopping = true;
	run->ends_ms = w->now_ms + world_between(w, 50, STOP_MS);
	world_at(w, run->ends_ms - w->now_ms, check_worker, worker);
}

static void ack_end(world_t *w, const fake_end_t *end)
{
	truth_t *truth =
		world_find_truth(world_find_job(w, end->task.job), &end->task);

	if (end->kind == BW_END_DONE)
		truth->done_acked = true;
	if (end->kind == BW_END_FAILED)
		truth->failed_acked++;
}

static void take_acked(world_t *w, fake_worker_t *worker, uint64_t acked)
{
	while (worker->ends->len > 0) {
		const fake_end_t *end =
			&g_array_index(worker->ends, fake_end_t, 0);

		if (end->number > acked)
			return;
		ack_end(w, end);
		g_array_remove_index(worker->ends, 0);
	}
}

static void do_hold(world_t *w, call_t *call)
{
	fake_worker_t *worker = call->worker;
	guint i;

	if (call->grant > 0)
		extend(w, worker, call->grant);
	take_acked(w, worker, call->acked);
	note_at_work(w, worker);
	call->runs = g_array_new(FALSE, TRUE, sizeof(bw_run_row_t));
	call->ends = g_array_new(FALSE, TRUE, sizeof(bw_end_row_t));
	for (i = 0; i < worker->runs->len; i++) {
		const run_t *run = &g_array_index(worker->runs, run_t, i);
		bw_run_row_t row = { run->task, run->number, "",
				     at_work(w, run) ? 100U : 50U, 0 };

		g_array_append_val(call->runs, row);
	}
	for (i = 0; i < worker->ends->len; i++) {
		const fake_end_t *end =
			&g_array_index(worker->ends, fake_end_t, i);
		bw_end_row_t row = { end->number, end->task, end->run,
				     end->kind, "" };

		g_array_append_val(call->ends, row);
	}
}

static void carry_out(world_t *w, call_t *call)
{
	fake_worker_t *worker = call->worker;

	check_worker(w, worker);
	call->result = BW_ORDER_OK;
	if (call->fence < worker->fence) {
		call->result = BW_ORDER_FENCED;
	} else {
		worker->fence = call->fence;
		if (call->kind == CALL_START)
			do_start(w, call);
		else if (call->kind == CALL_STOP)
			do_stop(w, call);
		else
			do_hold(w, call);
	}
	call->clock_ms = worker_clock(w, worker);
	call->born_ms = worker->born_ms + 1000000;
}

static void on_call(world_t *w, void *arg)
{
	call_t *call = arg;
	fake_worker_t *worker = call->worker;
	bool reached = worker->alive && !worker->cut[call->node->index];

	if (!reached) {
		call->result = worker->alive || worker->dark
				       ? BW_ORDER_LOST
				       : BW_ORDER_NOT_SENT;
		world_at(w, call->result == BW_ORDER_LOST ? CALL_TIMEOUT_MS : 2,
			 on_answer, call);
		return;
	}
	carry_out(w, call);
	if (call->answer_lost) {
		call->result = BW_ORDER_LOST;
		world_at(w, CALL_TIMEOUT_MS, on_answer, call);
		return;
	}
	world_at(w, world_between(w, 1, 3), on_answer, call);
}

/* Carried out long after the caller has given up on an answer. */
static void on_late_call(world_t *w, void *arg)
{
	call_t *call = arg;

	call->late = true;
	if (call->worker->alive)
		carry_out(w, call);
	call_free(call);
}

static fake_worker_t *worker_by_id(world_t *w, const char *id)
{
	guint i = w->workers->len;

	while (i-- > 0) {
		fake_worker_t *worker = g_ptr_array_index(w->workers, i);

		if (!strcmp(worker->id, id))
			return worker;
	}
	return NULL;
}

static void send_call(node_t *node, call_t *call)
{
	world_t *w = node->w;
	bool lost = w->now_ms < w->config.traffic_ms &&
		    world_chance(w, w->config.lost_share);
	call_t *late;

	call->node = node;
	call->life = node->life;
	call->sent_ms = w->now_ms;
	call->worker = worker_by_id(w, call->worker_id);
	if (lost && world_chance(w, w->config.late_share)) {
		late = g_memdup2(call, sizeof(*call));
		world_at(w, world_between(w, 500, LATE_MAX_MS), on_late_call,
			 late);
		call->result = BW_ORDER_LOST;
		world_at(w, CALL_TIMEOUT_MS, on_answer, call);
		return;
	}
	call->answer_lost = lost;
	world_at(w, world_between(w, 1, 4), on_call, call);
}

static void order_start(void *ctx, const bw_start_order_t *order)
{
	node_t *node = ctx;
	call_t *call = g_new0(call_t, 1);
	fake_job_t *job = world_find_job(node->w, order->task.job);

	call->kind = CALL_START;
	g_strlcpy(call->worker_id, order->worker, sizeof(call->worker_id));
	call->task = order->task;
	call->run = order->run;
	call->fence = order->fence;
	call->grant = order->grant_clock_ms;
	if (strcmp(order->text, job->record.spec->text) != 0)
		world_breach(node->w, "another text is started");
	send_call(node, call);
}

static void order_stop(void *ctx, const bw_run_order_t *order)
{
	call_t *call = g_new0(call_t, 1);

	call->kind = CALL_STOP;
	g_strlcpy(call->worker_id, order->worker, sizeof(call->worker_id));
	call->task = order->task;
	call->run = order->run;
	call->fence = order->fence;
	send_call(ctx, call);
}

static void order_throttle(void *ctx, const bw_run_order_t *order)
{
	(void)ctx;
	(void)order;
}

static void order_hold(void *ctx, const bw_heartbeat_order_t *order)
{
	node_t *node = ctx;
	call_t *call = g_new0(call_t, 1);
	fake_worker_t *worker = worker_by_id(node->w, order->worker);

	call->kind = CALL_HOLD;
	g_strlcpy(call->worker_id, order->worker, sizeof(call->worker_id));
	call->fence = order->fence;
	call->grant = order->grant_clock_ms;
	call->acked = order->acked;
	/* A long poll is told of by a shorter one here. */
	if (order->wait_ms > 0 && worker->ends->len == 0) {
		call->node = node;
		call->life = node->life;
		call->sent_ms = node->w->now_ms;
		call->worker = worker;
		world_at(node->w, world_between(node->w, 5, 60), on_call, call);
		return;
	}
	send_call(node, call);
}

static void order_advise(void *ctx, const bw_task_name_t *step,
			 const char *const *workers, uint32_t count)
{
	(void)ctx;
	(void)step;
	(void)workers;
	(void)count;
}

void world_drop_sched(node_t *node)
{
	bw_sched_destroy(node->sched);
	node->sched = NULL;
	node->life++;
	node->save_out = false;
	node->leaving = false;
}

static void on_drop(world_t *w, void *arg)
{
	node_t *node = arg;

	(void)w;
	if (node->sched && node->fence == 0)
		world_drop_sched(node);
}

/* Called from inside the scheduler, so it is dropped a moment later. */
void world_order_superseded(void *ctx)
{
	node_t *node = ctx;

	if (node->fence == 0)
		return;
	world_trace(node->w, "superseded", "");
	node->fence = 0;
	bw_sched_allow_orders(node->sched, false);
	world_at(node->w, 0, on_drop, node);
}

static void order_log(void *ctx, bw_event_kind_t kind, const char *fmt,
		      va_list args)
{
	node_t *node = ctx;
	char fields[500];
	char text[700];

	if (!g_getenv("WORLD_TRACE"))
		return;
	g_vsnprintf(fields, sizeof(fields), fmt, args);
	g_snprintf(text, sizeof(text), "node%u %s %s", node->index,
		   bw_event_spec(kind)->name, fields);
	world_trace(node->w, "sched", text);
}

const bw_sched_ops_t world_sched_ops = {
	.start = order_start,
	.stop = order_stop,
	.throttle = order_throttle,
	.heartbeat = order_hold,
	.advise = order_advise,
	.superseded = world_order_superseded,
	.log = order_log,
};

/* Releases a call whose event is not carried out. */
void world_call_drop(event_fn fn, void *arg)
{
	if (fn == on_call || fn == on_answer || fn == on_late_call)
		call_free(arg);
}
