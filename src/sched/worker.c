#include "sched/internal.h"

#include <string.h>

/** Time constant of a worker's counts of failed and good runs. */
#define HEALTH_KEEP 0.9
/** A run that failed waits this long before it is tried elsewhere. */
#define FAILED_PAUSE_MS 50

static void forget_runs(bw_sched_t *s, worker_t *worker, const char *why);
static void take_clock(worker_t *worker, int64_t now_ms, int64_t clock_ms);
static void take_end(bw_sched_t *s, worker_t *worker, const bw_end_row_t *end,
		     int64_t now_ms);
static void take_failure(bw_sched_t *s, worker_t *worker, task_t *task,
			 uint32_t run, int64_t now_ms);
static void take_run(bw_sched_t *s, worker_t *worker, const bw_run_row_t *row,
		     int64_t sent_ms, int64_t now_ms);
static void stop_orphan(bw_sched_t *s, worker_t *worker,
			const bw_run_row_t *row, int64_t now_ms);
static void check_missing(bw_sched_t *s, worker_t *worker,
			  const bw_hold_answer_t *answer, int64_t now_ms);
static bool lists_run(const bw_hold_answer_t *answer, const task_t *task);
static void remember_checkpoint(task_t *task, const char *checkpoint);
static void hold(bw_sched_t *s, worker_t *worker, int64_t now_ms);
static bool grant_over(const bw_sched_t *s, const worker_t *worker,
		       int64_t now_ms);

worker_t *sched_worker(bw_sched_t *s, const char *id)
{
	return g_hash_table_lookup(s->workers, id);
}

worker_t *sched_worker_new(bw_sched_t *s, const char *id, int64_t now_ms)
{
	worker_t *worker = g_new0(worker_t, 1);

	worker->id = g_strdup(id);
	worker->tasks = g_ptr_array_new();
	worker->first_seen_ms = now_ms;
	worker->hold_at_ms = now_ms;
	worker->fill_share = 100;
	worker->inherited = s->inherits_stops && s->saved_version == 0;
	g_hash_table_insert(s->workers, worker->id, worker);
	return worker;
}

void sched_worker_free(gpointer data)
{
	worker_t *worker = data;

	g_ptr_array_free(worker->tasks, TRUE);
	g_strfreev(worker->labels);
	g_free(worker->rack);
	g_free(worker->machine);
	g_free(worker->address);
	g_free(worker->id);
	g_free(worker);
}

static void add_room(worker_t *worker, const task_t *task, int64_t sign)
{
	const bw_step_spec_t *step = sched_task_step(task);

	if (!step->filler)
		worker->used.cpu_millis += sign * step->need.cpu_millis;
	worker->used.mem_mb += sign * step->need.mem_mb;
	worker->used.gpus += sign * step->need.gpus;
}

void sched_attach(task_t *task, worker_t *worker)
{
	task->at = worker;
	g_ptr_array_add(worker->tasks, task);
	add_room(worker, task, 1);
}

void sched_detach(task_t *task)
{
	worker_t *worker = task->at;

	if (!worker)
		return;
	add_room(worker, task, -1);
	g_ptr_array_remove_fast(worker->tasks, task);
	task->at = NULL;
}

static void send_stop(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	bw_run_order_t order = {
		.worker = task->at->id,
		.address = task->at->address,
		.run = task->run,
		.fence = s->config.fence,
	};

	sched_task_name(task, &order.task);
	task->stop_sent_ms = now_ms;
	s->ops.stop(s->ctx, &order);
}

void sched_stop_task(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	if (task->state == TASK_STOPPING && task->stop_sent_ms > 0)
		return;
	task->state = TASK_STOPPING;
	task->stop_answered = false;
	send_stop(s, task, now_ms);
}

int64_t sched_grant_clock(const bw_sched_t *s, const worker_t *worker,
			  int64_t now_ms)
{
	if (worker->clock_ms == 0)
		return 0;
	return worker->clock_ms + (now_ms - worker->clock_at_ms) +
	       s->config.grant_ms;
}

/* Whether all that we or an earlier owner granted has surely passed. */
static bool grant_over(const bw_sched_t *s, const worker_t *worker,
		       int64_t now_ms)
{
	double clock_ms;

	if (!worker->learned || worker->clock_ms == 0)
		return s->settled;
	clock_ms = (double)worker->clock_ms +
		   (double)(now_ms - worker->clock_at_ms) * CLOCK_RATE_MIN;
	return clock_ms > (double)(worker->granted_clock_ms + CLOCK_MARGIN_MS);
}

/* All runs on a worker are known to be over. */
static void forget_runs(bw_sched_t *s, worker_t *worker, const char *why)
{
	while (worker->tasks->len > 0) {
		task_t *task = g_ptr_array_index(worker->tasks, 0);

		sched_log(s, "run-gone",
			  "job=%s step=%u index=%u run=%u "
			  "worker=%s reason=%s",
			  task->occurrence->job->id, task->step, task->index,
			  task->run, worker->id, why);
		sched_task_wait(task);
	}
}

void sched_workers_expire(bw_sched_t *s, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		worker_t *worker = value;

		if (!worker->dead &&
		    (now_ms - worker->heard_ms < WORKER_SILENT_MS ||
		     !grant_over(s, worker, now_ms)))
			continue;
		if (worker->tasks->len > 0)
			forget_runs(s, worker, "grant-over");
		/* A dead worker is kept while its registration lingers. */
		if (!worker->registered && !worker->hold_out)
			g_hash_table_iter_remove(&iter);
	}
}

bool sched_worker_reachable(const worker_t *worker, int64_t now_ms)
{
	return worker->registered && !worker->dead && worker->learned &&
	       worker->stored && !worker->draining && worker->clock_ms > 0 &&
	       now_ms - worker->heard_ms < WORKER_SILENT_MS;
}

bool sched_worker_usable(const bw_sched_t *s, const worker_t *worker,
			 int64_t now_ms)
{
	/* What an earlier owner was stopping takes room unseen. */
	if (worker->inherited &&
	    now_ms - worker->learned_ms < s->config.stop_ms + STOP_SLACK_MS)
		return false;
	return sched_worker_reachable(worker, now_ms) && !worker->empty &&
	       !worker->has_orphans && now_ms >= worker->pause_until_ms;
}

/* Whether a task that lasts is about to be at work. */
static bool starts_up(const worker_t *worker)
{
	guint i;

	for (i = 0; i < worker->tasks->len; i++) {
		const task_t *task = g_ptr_array_index(worker->tasks, i);

		if (sched_task_step(task)->lasting && !task->at_work)
			return true;
	}
	return false;
}

static void hold(bw_sched_t *s, worker_t *worker, int64_t now_ms)
{
	bw_hold_order_t order = {
		.worker = worker->id,
		.address = worker->address,
		.fence = s->config.fence,
		.acked = worker->acked,
		.now_ms = now_ms,
	};

	/* A silent worker's grant runs out, so that its tasks can move. */
	if (worker->learned && now_ms - worker->heard_ms < GRANT_SILENT_MS)
		order.grant_clock_ms = sched_grant_clock(s, worker, now_ms);
	if (worker->learned && worker->seen == worker->acked)
		order.wait_ms =
			starts_up(worker) ? HOLD_SHORT_WAIT_MS : HOLD_WAIT_MS;
	worker->granted_clock_ms =
		MAX(worker->granted_clock_ms, order.grant_clock_ms);
	worker->hold_out = true;
	s->ops.hold(s->ctx, &order);
}

void sched_workers_hold(bw_sched_t *s, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		worker_t *worker = value;

		if (!worker->hold_out && !worker->dead &&
		    now_ms >= worker->hold_at_ms)
			hold(s, worker, now_ms);
	}
}

void sched_workers_stops(bw_sched_t *s, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		worker_t *worker = value;

		for (i = 0; i < worker->tasks->len; i++) {
			task_t *task = g_ptr_array_index(worker->tasks, i);

			if (task->state == TASK_STOPPING &&
			    !task->stop_answered &&
			    now_ms - task->stop_sent_ms > STOP_AGAIN_MS)
				send_stop(s, task, now_ms);
		}
	}
}

static void set_labels(worker_t *worker, const bw_worker_info_t *info)
{
	uint32_t i;

	g_strfreev(worker->labels);
	worker->labels = g_new0(char *, info->label_count + 1);
	for (i = 0; i < info->label_count; i++)
		worker->labels[i] = g_strdup(info->labels[i]);
	g_free(worker->rack);
	worker->rack = g_strdup(info->rack);
	g_free(worker->machine);
	worker->machine = g_strdup(info->machine);
}

/* A new life of a worker runs nothing of the life before. */
static void take_birth(bw_sched_t *s, worker_t *worker, int64_t born_ms)
{
	if (born_ms == 0 || worker->born_ms == born_ms)
		return;
	if (worker->born_ms != 0 && born_ms > worker->born_ms) {
		sched_log(s, "worker-reborn",
			  "worker=%s born_ms=%" G_GINT64_FORMAT, worker->id,
			  born_ms);
		forget_runs(s, worker, "reborn");
		worker->learned = false;
		worker->clock_ms = 0;
		worker->granted_clock_ms = 0;
		worker->seen = 0;
		worker->packed = 0;
		worker->acked = 0;
	}
	worker->born_ms = MAX(worker->born_ms, born_ms);
}

void bw_sched_worker_dead(bw_sched_t *s, const char *id, const char *reason)
{
	worker_t *worker = sched_worker(s, id);

	if (!worker || worker->dead)
		return;
	sched_log(s, "worker-dead", "worker=%s tasks=%u reason=%s", id,
		  worker->tasks->len, reason);
	worker->dead = true;
	forget_runs(s, worker, reason);
}

/* A machine hosts one worker at a time: an older one on it has ended. */
static void bury_predecessors(bw_sched_t *s, const worker_t *worker)
{
	GHashTableIter iter;
	gpointer value;

	if (!worker->machine || worker->born_ms == 0)
		return;
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		worker_t *other = value;

		if (other != worker && other->born_ms > 0 &&
		    other->born_ms < worker->born_ms &&
		    !g_strcmp0(other->machine, worker->machine))
			bw_sched_worker_dead(s, other->id, "machine-reused");
	}
}

void bw_sched_worker_seen(bw_sched_t *s, int64_t now_ms,
			  const bw_worker_info_t *info)
{
	worker_t *worker = sched_worker(s, info->id);

	if (!worker) {
		worker = sched_worker_new(s, info->id, now_ms);
		sched_changed(s, true);
		worker->stored_version = s->version;
		sched_log(s, "worker",
			  "worker=%s address=%s rack=%s machine=%s "
			  "cpu=%" G_GINT64_FORMAT " mem_mb=%" G_GINT64_FORMAT,
			  info->id, info->address,
			  info->rack ? info->rack : "-",
			  info->machine ? info->machine : "-",
			  info->room.cpu_millis, info->room.mem_mb);
	}
	if (g_strcmp0(worker->address, info->address) != 0) {
		g_free(worker->address);
		worker->address = g_strdup(info->address);
	}
	take_birth(s, worker, info->born_ms);
	if (worker->dead)
		return;
	worker->room = info->room;
	if (!worker->labels || !worker->registered)
		set_labels(worker, info);
	worker->registered = true;
	if (info->draining && !worker->draining)
		sched_log(s, "worker-draining", "worker=%s tasks=%u",
			  worker->id, worker->tasks->len);
	worker->draining = info->draining;
	bury_predecessors(s, worker);
}

void bw_sched_worker_gone(bw_sched_t *s, int64_t now_ms, const char *id)
{
	worker_t *worker = sched_worker(s, id);

	if (!worker || !worker->registered)
		return;
	sched_log(s, "worker-gone",
		  "worker=%s tasks=%u silent_ms=%" G_GINT64_FORMAT, id,
		  worker->tasks->len, now_ms - worker->heard_ms);
	worker->registered = false;
}

void bw_sched_workers(const bw_sched_t *s,
		      void (*fn)(void *ctx, const char *id, bool registered),
		      void *ctx)
{
	GList *keys = g_hash_table_get_keys(s->workers);
	GList *at;

	for (at = keys; at; at = at->next) {
		const worker_t *worker =
			g_hash_table_lookup(s->workers, at->data);

		fn(ctx, worker->id, worker->registered);
	}
	g_list_free(keys);
}

void bw_sched_worker_empty(bw_sched_t *s, const char *id, bool empty)
{
	worker_t *worker = sched_worker(s, id);

	if (worker)
		worker->empty = empty;
}

void bw_sched_worker_due(bw_sched_t *s, const char *id, bool due)
{
	worker_t *worker = sched_worker(s, id);

	if (worker)
		worker->due = due;
}

static void take_clock(worker_t *worker, int64_t now_ms, int64_t clock_ms)
{
	if (clock_ms <= 0)
		return;
	/* Answers overtake each other; the clock itself never goes back. */
	if (worker->clock_ms > 0 && clock_ms < worker->clock_ms)
		return;
	worker->clock_ms = clock_ms;
	worker->clock_at_ms = now_ms;
}

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
}

/* A task of the job is known to have begun. */
static void mark_begun(bw_sched_t *s, const task_t *task)
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

	sched_log(s, "end",
		  "job=%s step=%u index=%u run=%u worker=%s how=%s "
		  "number=%" G_GUINT64_FORMAT " known=%d",
		  end->task.job, end->task.step, end->task.index, end->run,
		  worker->id, bw_end_kind_name(end->kind), end->number,
		  task != NULL);
	sched_changed(s, false);
	if (!task)
		return;
	/* Known to have begun, even if its earlier owner did not store it. */
	mark_begun(s, task);
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

	sched_log(s, "stop-unknown", "job=%s step=%u index=%u run=%u worker=%s",
		  row->task.job, row->task.step, row->task.index, row->run,
		  worker->id);
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
	mark_begun(s, task);
	sched_attach(task, worker);
	sched_log(s, "adopt", "job=%s step=%u index=%u run=%u worker=%s",
		  row->task.job, row->task.step, row->task.index, row->run,
		  worker->id);
}

static void take_run(bw_sched_t *s, worker_t *worker, const bw_run_row_t *row,
		     int64_t sent_ms, int64_t now_ms)
{
	task_t *task = sched_find_task(s, &row->task);

	if (task && task->at == worker && task->run == row->run) {
		if (task->state == TASK_STARTING) {
			mark_begun(s, task);
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

static bool lists_run(const bw_hold_answer_t *answer, const task_t *task)
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
			  const bw_hold_answer_t *answer, int64_t now_ms)
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
			sched_log(s, "run-missing",
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

void bw_sched_held(bw_sched_t *s, int64_t now_ms, const char *id,
		   const bw_hold_answer_t *answer)
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
	take_birth(s, worker, answer->born_ms);
	take_clock(worker, now_ms, answer->clock_ms);
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

void bw_sched_started(bw_sched_t *s, int64_t now_ms, const char *id,
		      const bw_task_name_t *name, uint32_t run,
		      bw_order_result_t result, int64_t clock_ms)
{
	worker_t *worker = sched_worker(s, id);
	task_t *task = sched_find_task(s, name);

	sched_log(s, "started",
		  "job=%s step=%u index=%u run=%u worker=%s result=%s",
		  name->job, name->step, name->index, run, id,
		  bw_order_result_name(result));
	if (result == BW_ORDER_FENCED)
		s->ops.superseded(s->ctx);
	if (worker)
		take_clock(worker, now_ms, clock_ms);
	if (worker && result == BW_ORDER_NO_ROOM)
		worker->pause_until_ms = now_ms + ROOM_PAUSE_MS;
	if (worker && result == BW_ORDER_UNHEALTHY)
		worker->pause_until_ms = now_ms + UNHEALTHY_PAUSE_MS;
	if (!task || task->at != worker || task->run != run)
		return;
	if (result == BW_ORDER_OK) {
		mark_begun(s, task);
		task->answered_ms = now_ms;
		if (task->state == TASK_STARTING)
			task->state = TASK_RUNNING;
		return;
	}
	if (result == BW_ORDER_LOST) {
		task->answered_ms = -1;
		return;
	}
	/* Refused, so this run can never begin. */
	task->retry_ms = now_ms + ROOM_PAUSE_MS;
	sched_task_wait(task);
}

void bw_sched_stopped(bw_sched_t *s, int64_t now_ms, const char *id,
		      const bw_task_name_t *name, uint32_t run,
		      bw_order_result_t result)
{
	worker_t *worker = sched_worker(s, id);
	task_t *task = sched_find_task(s, name);

	if (result == BW_ORDER_FENCED)
		s->ops.superseded(s->ctx);
	if (result != BW_ORDER_OK || !task || !worker || task->at != worker ||
	    task->run != run || task->state != TASK_STOPPING)
		return;
	task->stop_answered = true;
	task->stop_answered_ms = now_ms;
}
