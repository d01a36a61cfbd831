/* Evacuation: moves tasks off workers that are cordoned or draining. */
#include "sched/internal.h"

/** Time after which stops of an earlier owner show in the run lists. */
#define TAKEOVER_MS 1500
/** Time for tasks that are not lasting to end before they are stopped. */
#define RUN_TO_END_MS 3500

static bool is_unavailable(const task_t *task, int64_t now_ms);
static uint32_t count_unavailable_peers(const task_t *task, int64_t now_ms);
static bool may_stop(const task_t *task, int64_t now_ms);
static void evacuate(bw_sched_t *s, worker_t *worker, int64_t now_ms);

/* A task is at work only if its worker says so: after a failed heartbeat or one
 * that is overdue, the worker may have ended or restarted. */
static bool is_unavailable(const task_t *task, int64_t now_ms)
{
	return task->state != TASK_RUNNING || !task->ready ||
	       now_ms < task->stop_possible_until_ms ||
	       task->worker->boot_unsure ||
	       now_ms - task->worker->listed_ms > GRANT_SILENT_MS;
}

/* Counts the other tasks of a step that may not run or are not ready. */
static uint32_t count_unavailable_peers(const task_t *task, int64_t now_ms)
{
	const occurrence_t *occurrence = task->occurrence;
	const bw_step_spec_t *spec = sched_task_step(task);
	uint32_t first = occurrence->steps[task->step].first_task;
	uint32_t unavailable = 0;
	uint32_t i;

	for (i = 0; i < spec->count; i++) {
		const task_t *other = &occurrence->tasks[first + i];

		if (other != task && is_unavailable(other, now_ms))
			unavailable++;
	}
	return unavailable;
}

static bool may_stop(const task_t *task, int64_t now_ms)
{
	const bw_step_spec_t *spec = sched_task_step(task);

	if (!spec->lasting)
		return true;
	return count_unavailable_peers(task, now_ms) < MAX(spec->away_max, 1U);
}

/*
 * A start without an answer is stopped as its worker does not list the run. It
 * may be carried out before the stop, so that a repeated stop would end a task
 * at work. Members of a gang can't work without the others.
 */
bool sched_may_repeat_stop(const task_t *task, int64_t now_ms)
{
	return task->done || task->occurrence->job->finished_version > 0 ||
	       sched_task_step(task)->gang || task->worker->draining ||
	       may_stop(task, now_ms);
}

static void evacuate(bw_sched_t *s, worker_t *worker, int64_t now_ms)
{
	guint i;

	for (i = 0; i < worker->tasks->len; i++) {
		task_t *task = g_ptr_array_index(worker->tasks, i);

		if (task->state != TASK_RUNNING)
			continue;
		if (!sched_task_step(task)->lasting &&
		    now_ms - worker->evacuating_since_ms < RUN_TO_END_MS)
			continue;
		if (!worker->draining && !may_stop(task, now_ms))
			continue;
		sched_log(s, BW_EVENT_SCHED_EVACUATE,
			  "job=%s step=%u index=%u run=%u "
			  "worker=%s",
			  task->occurrence->job->id, task->step, task->index,
			  task->run, worker->id);
		sched_stop_task(s, task, now_ms);
	}
}

/* Evacuates the workers that are draining, or those that are only cordoned. */
static void evacuate_workers(bw_sched_t *s, bool draining, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		worker_t *worker = value;

		if (worker->draining != draining)
			continue;
		if (!worker->cordoned && !worker->draining) {
			worker->evacuating_since_ms = 0;
			continue;
		}
		if (worker->evacuating_since_ms == 0)
			worker->evacuating_since_ms = now_ms;
		evacuate(s, worker, now_ms);
	}
}

void sched_evacuate(bw_sched_t *s, int64_t now_ms)
{
	/* Runs that an earlier owner was stopping may still be listed. */
	if (s->inherits_stops && now_ms - s->created_ms < TAKEOVER_MS)
		return;
	/* Tasks on a worker that leaves must move, and count for the others. */
	evacuate_workers(s, true, now_ms);
	evacuate_workers(s, false, now_ms);
}
