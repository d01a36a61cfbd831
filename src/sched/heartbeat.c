/* What workers list: runs, and the ends of runs. */
#include "sched/internal.h"

#include <string.h>

/** Part of a worker's counts of failed and good runs that each run keeps. */
#define HEALTH_KEEP 0.9
/** A run that failed waits this long before it is tried elsewhere. */
#define FAILED_PAUSE_MS 50

static void remember_checkpoint(task_t *task, const char *checkpoint)
{
	if (!checkpoint || checkpoint[0] == '\0' ||
	    !g_strcmp0(task->checkpoint, checkpoint))
		return;
	g_free(task->checkpoint);
	task->checkpoint = g_strdup(checkpoint);
}

/* Ends of different workers come in any order, and more than once. */
static bool is_counted(const task_t *task, uint32_t run)
{
	uint32_t i;

	for (i = 0; i < FAILED_RUNS_KEPT; i++)
		if (task->failed_runs[i] == run)
			return true;
	return false;
}

static void take_failure(bw_sched_t *s, worker_t *worker, task_t *task,
			 uint32_t run, int64_t now_ms)
{
	job_t *job = task->occurrence->job;

	worker->failures = worker->failures * HEALTH_KEEP + 1.0;
	worker->successes *= HEALTH_KEEP;
	sched_fit_update(worker);
	if (is_counted(task, run))
		return;
	task->failed_runs[task->failures % FAILED_RUNS_KEPT] = run;
	task->failures++;
	task->failed_at = worker;
	task->retry_ms = now_ms + FAILED_PAUSE_MS;
	sched_changed(s, false);
	if (job->finished_version > 0 || sched_task_step(task)->lasting ||
	    job->queue->attempts_max == 0 ||
	    task->failures < job->queue->attempts_max)
		return;
	sched_job_finish(s, job, BW_JOB_FAILED, now_ms);
}

static void take_success(worker_t *worker)
{
	worker->failures *= HEALTH_KEEP;
	worker->successes = worker->successes * HEALTH_KEEP + 1.0;
	sched_fit_update(worker);
}

/* A task of the job is known to have begun. */
void sched_mark_begun(bw_sched_t *s, const task_t *task)
{
	job_t *job = task->occurrence->job;

	job->ordered = true;
	if (job->started)
		return;
	job->started = true;
	sched_changed(s, false);
}

/* One end of a gang stands for all its members. */
static void finish_task(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	const bw_step_spec_t *step = sched_task_step(task);
	task_t *first = &task->occurrence->tasks[sched_step_state(task)->first];
	uint32_t i;

	if (!step->gang) {
		sched_task_done(s, task, now_ms);
		return;
	}
	for (i = 0; i < step->count; i++)
		if (!first[i].done)
			sched_task_done(s, &first[i], now_ms);
}

static void take_end(bw_sched_t *s, worker_t *worker, const bw_end_row_t *end,
		     int64_t now_ms)
{
	task_t *task = sched_find_task(s, &end->task);
	bool here;

	sched_log(s, BW_EVENT_SCHED_END,
		  "job=%s step=%u index=%u run=%u worker=%s how=%s "
		  "number=%" G_GUINT64_FORMAT " known=%d",
		  end->task.job, end->task.step, end->task.index, end->run,
		  worker->id, bw_end_kind_name(end->kind), end->number,
		  task != NULL);
	sched_changed(s, false);
	if (!task)
		return;
	/* Known to have begun, even if its earlier owner did not store it. */
	sched_mark_begun(s, task);
	here = task->at == worker && task->run == end->run;
	if (task->done) {
		if (here)
			sched_task_wait(task);
		return;
	}
	if (!task->at)
		task->run = MAX(task->run, end->run);
	if (end->kind == BW_END_DONE && !sched_task_step(task)->lasting) {
		take_success(worker);
		if (here)
			sched_detach(task);
		finish_task(s, task, now_ms);
		return;
	}
	if (here || !task->at)
		remember_checkpoint(task, end->checkpoint);
	if (here)
		sched_task_wait(task);
	if (end->kind == BW_END_FAILED)
		take_failure(s, worker, task, end->run, now_ms);
}

static void stop_orphan(bw_sched_t *s, worker_t *worker,
			const bw_run_row_t *row, int64_t now_ms)
{
	bw_run_order_t order = {
		.worker = worker->id,
		.address = worker->address,
		.task = row->task,
		.run = row->run,
		.fence = s->config.fence,
	};

	sched_log(s, BW_EVENT_SCHED_STOP_UNKNOWN,
		  "job=%s step=%u index=%u run=%u worker=%s", row->task.job,
		  row->task.step, row->task.index, row->run, worker->id);
	worker->orphan_stop_ms = now_ms;
	s->ops.stop(s->ctx, &order);
}

static void adopt(bw_sched_t *s, worker_t *worker, task_t *task,
		  const bw_run_row_t *row, int64_t now_ms)
{
	sched_step_state(task)->waiting--;
	task->state = TASK_RUNNING;
	task->run = row->run;
	task->ordered_ms = now_ms;
	task->answered_ms = now_ms;
	task->percent = PERCENT_UNKNOWN;
	task->at_work = row->progress == 100;
	sched_mark_begun(s, task);
	sched_attach(task, worker);
	sched_log(s, BW_EVENT_SCHED_ADOPT,
		  "job=%s step=%u index=%u run=%u worker=%s", row->task.job,
		  row->task.step, row->task.index, row->run, worker->id);
}

static void take_run(bw_sched_t *s, worker_t *worker, const bw_run_row_t *row,
		     int64_t sent_ms, int64_t now_ms)
{
	task_t *task = sched_find_task(s, &row->task);

	if (task && task->at == worker && task->run == row->run) {
		if (task->state == TASK_STARTING) {
			sched_mark_begun(s, task);
			task->state = TASK_RUNNING;
			task->answered_ms = now_ms;
		}
		if (task->state == TASK_STOPPING &&
		    task->stop_answered_ms < sent_ms - s->config.stop_ms)
			task->stop_answered = false;
		task->at_work = row->progress == 100;
		if (sched_task_step(task)->tail_ms_max > 0)
			task->tail_ms = row->tail_ms;
		remember_checkpoint(task, row->checkpoint);
		return;
	}
	if (task && task->state == TASK_WAITING &&
	    task->occurrence->job->finished_version == 0 &&
	    row->run >= task->run) {
		adopt(s, worker, task, row, now_ms);
		remember_checkpoint(task, row->checkpoint);
		return;
	}
	worker->has_orphans = true;
	if (now_ms - worker->orphan_stop_ms >= STOP_AGAIN_MS ||
	    worker->orphan_stop_ms == now_ms)
		stop_orphan(s, worker, row, now_ms);
}

static bool lists_run(const bw_heartbeat_answer_t *answer, const task_t *task)
{
	bw_task_name_t name;
	uint32_t i;

	sched_task_name(task, &name);
	for (i = 0; i < answer->run_count; i++) {
		const bw_run_row_t *row = &answer->runs[i];

		if (row->run == task->run && row->task.step == name.step &&
		    row->task.index == name.index &&
		    row->task.occurrence == name.occurrence &&
		    !strcmp(row->task.job, name.job))
			return true;
	}
	return false;
}

/* Settles tasks that an answer, asked for late enough, does not list. */
static void check_missing(bw_sched_t *s, worker_t *worker,
			  const bw_heartbeat_answer_t *answer, int64_t now_ms)
{
	guint i = worker->tasks->len;

	while (i-- > 0) {
		task_t *task = g_ptr_array_index(worker->tasks, i);

		if (lists_run(answer, task))
			continue;
		if (task->state == TASK_STARTING && task->answered_ms < 0 &&
		    now_ms - task->ordered_ms > DOUBT_MS)
			sched_stop_task(s, task, now_ms);
		else if (task->state == TASK_RUNNING &&
			 task->answered_ms < answer->sent_ms) {
			sched_log(s, BW_EVENT_SCHED_RUN_MISSING,
				  "job=%s step=%u index=%u "
				  "run=%u worker=%s",
				  task->occurrence->job->id, task->step,
				  task->index, task->run, worker->id);
			sched_task_wait(task);
		} else if (task->state == TASK_STOPPING &&
			   task->stop_answered &&
			   answer->sent_ms - task->stop_answered_ms >
				   s->config.stop_ms + STOP_SLACK_MS)
			sched_task_wait(task);
	}
}

static void hold_failed(bw_sched_t *s, worker_t *worker,
			bw_order_result_t result, int64_t now_ms)
{
	worker->hold_at_ms = now_ms + HOLD_AGAIN_MS;
	if (result == BW_ORDER_FENCED) {
		s->ops.superseded(s->ctx);
		return;
	}
	if (result != BW_ORDER_OTHER_BOOT)
		return;
	/* Its address belongs to another worker, so this one is gone. */
	bw_sched_worker_dead(s, worker->id, "other-boot");
}

void bw_sched_heartbeat_answered(bw_sched_t *s, int64_t now_ms, const char *id,
				 const bw_heartbeat_answer_t *answer)
{
	worker_t *worker = sched_worker(s, id);
	uint32_t i;

	if (!worker)
		return;
	worker->hold_out = false;
	if (worker->dead)
		return;
	if (answer->result != BW_ORDER_OK) {
		hold_failed(s, worker, answer->result, now_ms);
		return;
	}
	sched_take_birth(s, worker, answer->started_ms);
	sched_take_clock(worker, now_ms, answer->clock_ms);
	worker->heard_ms = now_ms;
	for (i = 0; i < answer->end_count; i++) {
		if (answer->ends[i].number <= worker->seen)
			continue;
		take_end(s, worker, &answer->ends[i], now_ms);
		worker->seen = answer->ends[i].number;
	}
	worker->has_orphans = false;
	for (i = 0; i < answer->run_count; i++)
		take_run(s, worker, &answer->runs[i], answer->sent_ms, now_ms);
	check_missing(s, worker, answer, now_ms);
	if (!worker->learned)
		worker->learned_ms = now_ms;
	worker->learned = true;
	sched_fill_look(s, worker, now_ms);
	worker->hold_at_ms = now_ms;
	if (worker->seen > worker->acked)
		worker->hold_at_ms = now_ms + HOLD_UNSAVED_MS;
}
