/* Fake workers: how they carry out calls, and the checks at each start. */
#include "world_call.h"

#include <stdio.h>
#include <string.h>

/** Range of the time that long runs take. */
#define LONG_MIN_MS 6000
#define LONG_MAX_MS 12000

/* A worker's clock starts at 1 s and may be up to 2 % slow. */
static int64_t worker_clock_ms(const world_t *w, const fake_worker_t *worker)
{
	return 1000 + (int64_t)((double)(w->now_ms - worker->started_ms) *
				worker->clock_rate);
}

/* Prints what a worker does, with its boot and clock, if WORLD_TRACE is set. */
static void trace_run(world_t *w, const fake_worker_t *worker,
		      const char *event, const bw_task_name_t *task,
		      uint32_t run, const char *detail)
{
	char text[200];

	if (!g_getenv("WORLD_TRACE"))
		return;
	g_snprintf(text, sizeof(text),
		   "%s.%u.%u run=%u worker=%s boot=%" G_GINT64_FORMAT
		   " clock=%" G_GINT64_FORMAT " grant=%" G_GINT64_FORMAT " %s",
		   task->job, task->step, task->index, run, worker->id,
		   worker->started_ms, worker_clock_ms(w, worker),
		   worker->grant_clock_ms, detail);
	world_trace(w, event, text);
}

void world_end_run(world_t *w, fake_worker_t *worker, guint index,
		   bw_end_kind_t kind)
{
	run_t *run = &g_array_index(worker->runs, run_t, index);
	fake_job_t *job = world_find_job(w, run->task.job);
	task_state_t *task_state = world_find_task(job, &run->task);
	fake_end_t end = {
		.number = ++worker->last_end_number,
		.task = run->task,
		.run = run->number,
		.kind = kind,
		.ended_ms = w->now_ms,
	};
	char text[80];

	trace_run(w, worker, "run-end", &run->task, run->number,
		  bw_end_kind_name(kind));
	task_state->running--;
	if (kind == BW_END_DONE)
		task_state->done = true;
	if (kind == BW_END_FAILED)
		task_state->failed++;
	g_array_append_val(worker->ends, end);
	world_task_text(&run->task, text, sizeof(text));
	g_hash_table_replace(worker->highest_ended, g_strdup(text),
			     GUINT_TO_POINTER(run->number));
	g_array_remove_index_fast(worker->runs, index);
}

static bw_end_kind_t due_end(const run_t *run)
{
	if (run->stopping)
		return BW_END_STOPPED;
	if (run->waits)
		return BW_END_GANG_ALONE;
	return run->fails ? BW_END_FAILED : BW_END_DONE;
}

/* Returns the last run whose time has come, or -1. */
static gint find_due_run(const world_t *w, const fake_worker_t *worker,
			 bool expired)
{
	gint i = (gint)worker->runs->len;

	while (--i >= 0 && !expired)
		if (w->now_ms >=
		    g_array_index(worker->runs, run_t, (guint)i).ends_ms)
			break;
	return i;
}

/* All of them if the grant has expired. */
void world_end_due_runs(world_t *w, void *arg)
{
	fake_worker_t *worker = arg;
	bool expired = worker_clock_ms(w, worker) >= worker->grant_clock_ms;
	gint index;

	if (!worker->alive)
		return;
	world_record_at_work(w, worker);
	while ((index = find_due_run(w, worker, expired)) >= 0) {
		const run_t run =
			g_array_index(worker->runs, run_t, (guint)index);
		bw_end_kind_t kind = expired ? BW_END_EXPIRED : due_end(&run);

		world_end_run(w, worker, (guint)index, kind);
		world_end_others(w, &run, kind);
	}
}

/* Ends that were not acknowledged before the grant expired never count so. */
static void record_lapse(world_t *w, fake_worker_t *worker)
{
	guint i;

	if (worker_clock_ms(w, worker) < worker->grant_clock_ms)
		return;
	for (i = 0; i < worker->ends->len; i++)
		g_array_index(worker->ends, fake_end_t, i).lapsed = true;
}

static void extend_grant(world_t *w, fake_worker_t *worker,
			 int64_t grant_clock_ms)
{
	int64_t limit = worker_clock_ms(w, worker) + GRANT_CAP_MS;

	record_lapse(w, worker);
	grant_clock_ms = MIN(grant_clock_ms, limit);
	if (grant_clock_ms <= worker->grant_clock_ms)
		return;
	worker->grant_clock_ms = grant_clock_ms;
	world_schedule(w,
		       (int64_t)((double)(grant_clock_ms -
					  worker_clock_ms(w, worker)) /
				 worker->clock_rate) +
			       2,
		       world_end_due_runs, worker);
}

/* Checks the rules that a start must keep. */
static void check_start_rules(world_t *w, fake_worker_t *worker,
			      fake_job_t *job, const bw_task_name_t *task)
{
	const bw_step_spec_t *step = &job->record.spec->steps[task->step];
	task_state_t *task_state = world_find_task(job, task);
	bw_resources_t used = step->need;
	uint32_t same_step = 1;
	uint32_t k;
	guint i;

	if (task_state->running > 0)
		world_violation(w, "task %s.%u.%u runs twice", task->job,
				task->step, task->index);
	if (task_state->done_acked)
		world_violation(
			w, "task %s.%u.%u starts after its acknowledged end",
			task->job, task->step, task->index);
	if (!step->lasting && task_state->failed_acked >= ATTEMPTS_MAX)
		world_violation(w,
				"task %s.%u.%u starts after its last attempt",
				task->job, task->step, task->index);
	for (i = 0; i < worker->runs->len; i++) {
		const run_t *run = &g_array_index(worker->runs, run_t, i);

		used.cpu_millis += run->need.cpu_millis;
		used.mem_mb += run->need.mem_mb;
		if (!strcmp(run->task.job, task->job) &&
		    run->task.step == task->step)
			same_step++;
	}
	if (used.cpu_millis > WORKER_CPU_MILLIS || used.mem_mb > WORKER_MEM_MB)
		world_violation(w, "worker %s is over its capacity",
				worker->id);
	if (step->per_worker_max > 0 && same_step > step->per_worker_max)
		world_violation(w, "too many tasks of a step on %s",
				worker->id);
	for (i = 0; i < step->after_count; i++)
		for (k = 0; k < job->record.spec->steps[step->after[i]].count;
		     k++) {
			bw_task_name_t predecessor = *task;

			predecessor.step = step->after[i];
			predecessor.index = k;
			if (!world_find_task(job, &predecessor)->done)
				world_violation(
					w, "task %s.%u.%u starts too early",
					task->job, task->step, task->index);
		}
}

static void start_run(world_t *w, fake_worker_t *worker,
		      const bw_task_name_t *task, uint32_t number)
{
	fake_job_t *job = world_find_job(w, task->job);
	const bw_step_spec_t *step = &job->record.spec->steps[task->step];
	run_t run = { .task = *task, .number = number, .need = step->need };

	trace_run(w, worker, "run-start", task, number, "");
	check_start_rules(w, worker, job, task);
	world_check_cap(w, job, &step->need);
	if (job->removed_ms > 0)
		world_violation(w, "job %s is started after its removal",
				job->id);
	if (job->short_ms > 0)
		world_violation(w, "job %s is started after its short record",
				job->id);
	world_find_task(job, task)->running++;
	world_find_task(job, task)->started_ms = w->now_ms;
	w->result->starts++;
	run.fails = worker->fails_runs ||
		    (job->always_fails && task->index == 0) ||
		    world_random_bool(w, 0.02);
	run.started_ms = w->now_ms;
	run.ends_ms = INT64_MAX;
	if (step->gang) {
		g_array_append_val(worker->runs, run);
		world_start_member(w, worker, worker->runs->len - 1);
		return;
	}
	if (!step->lasting || world_random_bool(w, 0.1)) {
		run.ends_ms = w->now_ms +
			      world_run_ms(w, worker, step,
					   world_random_between(w, 100, 2500));
		run.fails |= step->lasting;
	}
	if (job->is_long && task->step == 0 && !step->lasting)
		run.ends_ms = w->now_ms +
			      world_owners_between(w, LONG_MIN_MS, LONG_MAX_MS);
	g_array_append_val(worker->runs, run);
	if (run.ends_ms != INT64_MAX)
		world_schedule(w, run.ends_ms - w->now_ms, world_end_due_runs,
			       worker);
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

static uint32_t highest_ended_run(const fake_worker_t *worker,
				  const bw_task_name_t *task)
{
	char text[80];

	world_task_text(task, text, sizeof(text));
	return GPOINTER_TO_UINT(
		g_hash_table_lookup(worker->highest_ended, text));
}

/*
 * Checks that the runs of a worker keep to the capacity that the sender of the
 * last order had read. Orders overtake each other, so that is not always the
 * one that is carried out; a delayed one was ordered too long before.
 */
static void check_told_capacity(world_t *w, const call_t *call)
{
	const fake_worker_t *worker = call->worker;
	const fake_job_t *job = world_find_job(w, call->task.job);
	bw_resources_t used = job->record.spec->steps[call->task.step].need;
	bw_resources_t limit = call->told;
	uint64_t last = call->order;
	guint i;

	if (call->delayed)
		return;
	for (i = 0; i < worker->runs->len; i++) {
		const run_t *run = &g_array_index(worker->runs, run_t, i);

		used.cpu_millis += run->need.cpu_millis;
		used.mem_mb += run->need.mem_mb;
		if (run->order > last) {
			last = run->order;
			limit = run->told;
		}
	}
	if (used.cpu_millis > limit.cpu_millis || used.mem_mb > limit.mem_mb)
		world_violation(w, "worker %s is over what it has shrunk to",
				worker->id);
}

static void start_ordered_run(world_t *w, const call_t *call)
{
	GArray *runs = call->worker->runs;
	run_t *run;

	check_told_capacity(w, call);
	start_run(w, call->worker, &call->task, call->run);
	run = &g_array_index(runs, run_t, runs->len - 1);
	run->order = call->order;
	run->told = call->told;
}

static void execute_start(world_t *w, call_t *call)
{
	fake_worker_t *worker = call->worker;

	extend_grant(w, worker, call->grant_clock_ms);
	if (find_run(worker, &call->task, call->run) >= 0)
		return;
	if (call->run <= highest_ended_run(worker, &call->task)) {
		call->result = BW_ORDER_OLD_RUN;
	} else if (call->grant_clock_ms <= worker_clock_ms(w, worker)) {
		call->result = BW_ORDER_EXPIRED;
	} else {
		start_ordered_run(w, call);
		world_start_crashing(w, worker, &call->task, call->delayed);
	}
}

/* Returns whether a run of a lasting task has started up. */
static bool is_ready(const world_t *w, const run_t *run)
{
	return w->now_ms - run->started_ms >= STARTUP_MS;
}

void world_record_at_work(world_t *w, const fake_worker_t *worker)
{
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const run_t *run = &g_array_index(worker->runs, run_t, i);

		if (!run->stopping && is_ready(w, run))
			world_find_task(world_find_job(w, run->task.job),
					&run->task)
				->at_work_ms = w->now_ms;
	}
}

/* Whether a lasting task was stopped, or was not at work for the notice time
 * for any cause. */
static bool is_away(const world_t *w, const fake_job_t *job,
		    const task_state_t *task)
{
	return task->unavailable ||
	       w->now_ms - MAX(task->at_work_ms, job->stored_ms) > NOTICE_MS;
}

/* Counts the other tasks of a run's step that are away. */
static uint32_t count_away(world_t *w, fake_job_t *job, const run_t *run)
{
	const bw_step_spec_t *step = &job->record.spec->steps[run->task.step];
	bw_task_name_t name = run->task;
	uint32_t away = 0;
	guint i;

	for (i = 0; i < w->workers->len; i++)
		world_record_at_work(w, g_ptr_array_index(w->workers, i));
	for (name.index = 0; name.index < step->count; name.index++)
		if (name.index != run->task.index &&
		    is_away(w, job, world_find_task(job, &name)))
			away++;
	return away;
}

/*
 * Checks that no stop makes a second task of a lasting step unavailable.
 * Delayed stops are exempt: the scheduler has given them up long before.
 */
static void check_unavailable(world_t *w, const call_t *call, const run_t *run)
{
	fake_job_t *job = world_find_job(w, run->task.job);
	const bw_step_spec_t *step = &job->record.spec->steps[run->task.step];
	uint32_t away;

	if (!step->lasting || job->cancelled_ms > 0)
		return;
	/* The others of a job that is given up are stopped with it. */
	if (job->crashes_workers && world_any_crashed_workers(job))
		return;
	away = count_away(w, job, run);
	if (!call->delayed && is_ready(w, run) &&
	    away >= MAX(step->away_max, 1U))
		world_violation(
			w,
			"task %s.%u.%u is stopped with %u others unavailable",
			run->task.job, run->task.step, run->task.index, away);
	world_find_task(job, &run->task)->unavailable = true;
}

/* Marks tasks whose run has started up as available again. */
static void record_ready_tasks(world_t *w, const fake_worker_t *worker)
{
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const run_t *run = &g_array_index(worker->runs, run_t, i);

		if (!run->stopping && is_ready(w, run))
			world_find_task(world_find_job(w, run->task.job),
					&run->task)
				->unavailable = false;
	}
}

static void execute_stop(world_t *w, call_t *call)
{
	fake_worker_t *worker = call->worker;
	gint index = find_run(worker, &call->task, call->run);
	run_t *run;
	char text[80];

	if (index < 0) {
		world_task_text(&call->task, text, sizeof(text));
		if (call->run > highest_ended_run(worker, &call->task))
			g_hash_table_replace(worker->highest_ended,
					     g_strdup(text),
					     GUINT_TO_POINTER(call->run));
		return;
	}
	run = &g_array_index(worker->runs, run_t, index);
	if (run->stopping)
		return;
	check_unavailable(w, call, run);
	run->stopping = true;
	run->ends_ms = w->now_ms + world_random_between(w, 50, STOP_MS);
	world_schedule(w, run->ends_ms - w->now_ms, world_end_due_runs, worker);
}

static void acknowledge_done(world_t *w, const fake_end_t *end,
			     const bw_task_name_t *task)
{
	task_state_t *task_state =
		world_find_task(world_find_job(w, task->job), task);

	task_state->done_acked = true;
	if (task_state->started_ms > end->ended_ms)
		world_violation(w,
				"task %s.%u.%u was started after an end that "
				"is acknowledged now",
				task->job, task->step, task->index);
}

/* The end of one member of a gang is that of all. */
static void acknowledge_gang(world_t *w, const fake_end_t *end)
{
	const fake_job_t *job = world_find_job(w, end->task.job);
	bw_task_name_t task = end->task;

	for (task.index = 0;
	     task.index < job->record.spec->steps[task.step].count;
	     task.index++)
		acknowledge_done(w, end, &task);
}

static void acknowledge_end(world_t *w, const fake_end_t *end)
{
	task_state_t *task_state =
		world_find_task(world_find_job(w, end->task.job), &end->task);

	if (end->kind == BW_END_DONE && !end->lapsed) {
		if (world_is_gang(w, &end->task))
			acknowledge_gang(w, end);
		else
			acknowledge_done(w, end, &end->task);
	}
	if (end->kind == BW_END_FAILED)
		task_state->failed_acked++;
}

static void apply_acknowledged(world_t *w, fake_worker_t *worker,
			       uint64_t acked)
{
	while (worker->ends->len > 0) {
		const fake_end_t *end =
			&g_array_index(worker->ends, fake_end_t, 0);

		if (end->number > acked)
			return;
		trace_run(w, worker, "run-acknowledged", &end->task, end->run,
			  end->lapsed ? "lapsed" : "");
		if (!end->listed && !w->config.closing)
			world_violation(w,
					"task %s.%u.%u has an end that is "
					"acknowledged and was never listed",
					end->task.job, end->task.step,
					end->task.index);
		acknowledge_end(w, end);
		g_array_remove_index(worker->ends, 0);
	}
}

/* Numbers of ends and times of the clock are those of one boot. */
static void check_boot(world_t *w, const call_t *call)
{
	/* A worker that keeps no connection gets them over new ones. */
	if (!w->config.closing && call->sent_ms < call->worker->started_ms &&
	    (call->acked > 0 || call->grant_clock_ms > 0))
		world_violation(w,
				"a heartbeat for an earlier boot of %s "
				"reaches the next one",
				call->worker_id);
}

static void execute_heartbeat(world_t *w, call_t *call)
{
	fake_worker_t *worker = call->worker;
	guint ends;
	guint i;

	check_boot(w, call);
	record_lapse(w, worker);
	if (call->grant_clock_ms > 0)
		extend_grant(w, worker, call->grant_clock_ms);
	apply_acknowledged(w, worker, call->acked);
	record_ready_tasks(w, worker);
	call->runs = g_array_new(FALSE, TRUE, sizeof(bw_run_row_t));
	call->ends = g_array_new(FALSE, TRUE, sizeof(bw_end_row_t));
	for (i = 0; i < worker->runs->len; i++) {
		const run_t *run = &g_array_index(worker->runs, run_t, i);
		bw_run_row_t row = { run->task, run->number, "",
				     is_ready(w, run) ? 100U : 50U, 0 };

		g_array_append_val(call->runs, row);
	}
	ends = worker->ends->len;
	if (w->config.ends_page > 0)
		ends = MIN(ends, w->config.ends_page);
	call->more_ends = ends > 0 && ends == w->config.ends_page;
	for (i = 0; i < ends; i++) {
		fake_end_t *end = &g_array_index(worker->ends, fake_end_t, i);
		bw_end_row_t row = { end->number, end->task, end->run,
				     end->kind, "" };

		end->listed = true;
		g_array_append_val(call->ends, row);
	}
}

void world_execute_call(world_t *w, call_t *call)
{
	fake_worker_t *worker = call->worker;

	world_end_due_runs(w, worker);
	call->result = BW_ORDER_OK;
	if (call->fence < worker->fence) {
		call->result = BW_ORDER_FENCED;
	} else {
		worker->fence = call->fence;
		if (call->kind == CALL_START)
			execute_start(w, call);
		else if (call->kind == CALL_STOP)
			execute_stop(w, call);
		else
			execute_heartbeat(w, call);
	}
	call->clock_ms = worker_clock_ms(w, worker);
	call->started_ms = worker->started_ms + 1000000;
	if (call->sent_ms < worker->started_ms)
		world_trace_boot(w, "call-to-later-boot", call);
}
