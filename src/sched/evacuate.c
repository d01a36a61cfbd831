#include "sched/internal.h"

/** Stops of an earlier owner have shown after this. */
#define TAKEOVER_MS 1500
/** Tasks that end by themselves get this long before they are stopped. */
#define EMPTY_PATIENCE_MS 3500

static bool is_away(const task_t *task, int64_t now_ms);
static uint32_t count_away(const task_t *task, int64_t now_ms);
static bool may_stop(const task_t *task, int64_t now_ms);
static void evacuate(bw_sched_t *s, worker_t *worker, int64_t now_ms);

/* What runs on a worker that is silent may not be at work. */
static bool is_away(const task_t *task, int64_t now_ms)
{
	return task->state != TASK_RUNNING || !task->at_work ||
	       now_ms - task->at->heard_ms > WORKER_SILENT_MS;
}

/* Other tasks of a step that are not at work, or only just started. */
static uint32_t count_away(const task_t *task, int64_t now_ms)
{
	const occurrence_t *occurrence = task->occurrence;
	const bw_step_spec_t *spec = sched_task_step(task);
	uint32_t first = occurrence->steps[task->step].first;
	uint32_t away = 0;
	uint32_t i;

	for (i = 0; i < spec->count; i++) {
		const task_t *other = &occurrence->tasks[first + i];

		if (other != task && is_away(other, now_ms))
			away++;
	}
	return away;
}

static bool may_stop(const task_t *task, int64_t now_ms)
{
	const bw_step_spec_t *spec = sched_task_step(task);

	if (!spec->lasting)
		return true;
	return count_away(task, now_ms) < MAX(spec->away_max, 1U);
}

static void evacuate(bw_sched_t *s, worker_t *worker, int64_t now_ms)
{
	guint i;

	for (i = 0; i < worker->tasks->len; i++) {
		task_t *task = g_ptr_array_index(worker->tasks, i);

		if (task->state != TASK_RUNNING)
			continue;
		if (!sched_task_step(task)->lasting &&
		    now_ms - worker->empty_ms < EMPTY_PATIENCE_MS)
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

void sched_evacuate(bw_sched_t *s, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	/* What an earlier owner was stopping does not show at once. */
	if (s->inherits_stops && now_ms - s->created_ms < TAKEOVER_MS)
		return;
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		worker_t *worker = value;

		if (!worker->empty && !worker->draining) {
			worker->empty_ms = 0;
			continue;
		}
		if (worker->empty_ms == 0)
			worker->empty_ms = now_ms;
		evacuate(s, worker, now_ms);
	}
}
