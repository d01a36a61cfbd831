/*
 * Tasks that are held, since a boot of their worker may have dropped the end of
 * their run unread; see "Heartbeats and connections" in docs/design/rules.md.
 * Those of this owner are on their worker. Those of an earlier owner wait, as
 * another worker may list a later run of them.
 */
#include "sched/internal.h"

#include <string.h>

/** A task that an earlier owner held, or whose run has ended unread. */
typedef struct hold {
	char *worker;
	int64_t boot_ms; /**< Start of the boot that may have dropped the end.
			  */
	char *job;
	uint32_t occurrence;
	uint32_t number; /**< Of the task among those of its occurrence. */
	bool ends_known; /**< The boot has dropped none; its next complete list
			    decides. */
	bool ended; /**< The run has ended on it, nobody knows how. */
	bool later; /**< That boot has not, but the next one may have. */
} hold_t;

static void hold_free(gpointer data)
{
	hold_t *hold = data;

	g_free(hold->worker);
	g_free(hold->job);
	g_free(hold);
}

void sched_holds_init(bw_sched_t *s)
{
	s->holds = g_ptr_array_new_with_free_func(hold_free);
}

void sched_holds_clear(bw_sched_t *s)
{
	g_ptr_array_free(s->holds, TRUE);
}

/* The earlier owner's acknowledgement may still be on its way. */
static void expect_late_ack(worker_t *worker, int64_t boot_ms, int64_t now_ms)
{
	worker->lost_ack_boot_ms = boot_ms;
	worker->lost_ack_until_ms = now_ms + ORDER_DELAY_MAX_MS;
}

void sched_load_hold(bw_sched_t *s, const char *job,
		     const Bramley__TaskRecord *record, int64_t now_ms)
{
	worker_t *worker = sched_worker(s, record->held_by);
	hold_t *hold;

	/* A worker that is not stored has ended. */
	if (record->held_by[0] == '\0' || record->done || !worker)
		return;
	if (record->held_later)
		expect_late_ack(worker, record->held_boot_ms, now_ms);
	hold = g_new0(hold_t, 1);
	hold->worker = g_strdup(record->held_by);
	hold->boot_ms = record->held_boot_ms;
	hold->later = record->held_later;
	hold->job = g_strdup(job);
	hold->occurrence = record->occurrence;
	hold->number = record->number;
	g_ptr_array_add(s->holds, hold);
}

void sched_hold_ended_run(bw_sched_t *s, const task_t *task)
{
	const occurrence_t *occurrence = task->occurrence;
	hold_t *hold = g_new0(hold_t, 1);

	hold->worker = g_strdup(task->worker->id);
	hold->boot_ms = task->worker->started_ms;
	hold->job = g_strdup(occurrence->job->id);
	hold->occurrence = occurrence->number;
	hold->number = (uint32_t)(task - occurrence->tasks);
	hold->ended = true;
	g_ptr_array_add(s->holds, hold);
	sched_changed(s, true);
}

static bool is_of_task(const hold_t *hold, const task_t *task)
{
	const occurrence_t *occurrence = task->occurrence;

	return hold->occurrence == occurrence->number &&
	       hold->number == (uint32_t)(task - occurrence->tasks) &&
	       !strcmp(hold->job, occurrence->job->id);
}

static const hold_t *find_hold(const bw_sched_t *s, const task_t *task)
{
	guint i;

	for (i = 0; i < s->holds->len; i++) {
		const hold_t *hold = g_ptr_array_index(s->holds, i);

		if (is_of_task(hold, task))
			return hold;
	}
	return NULL;
}

/* Whether this owner holds a task. */
static bool is_held_here(const task_t *task)
{
	return task->worker && task->end_dropped;
}

bool sched_is_in_doubt(const task_t *task)
{
	return is_held_here(task) && !task->done &&
	       task->occurrence->job->finished_version == 0;
}

bool sched_is_held(const bw_sched_t *s, const task_t *task)
{
	return !task->done && (is_held_here(task) || find_hold(s, task));
}

worker_t *sched_hold_worker(bw_sched_t *s, const task_t *task)
{
	const hold_t *hold = find_hold(s, task);
	worker_t *worker = hold ? sched_worker(s, hold->worker) : NULL;

	if (!worker || hold->ended || hold->later ||
	    worker->started_ms != hold->boot_ms)
		return NULL;
	return worker;
}

void sched_set_held(bw_sched_t *s, task_t *task, bool held)
{
	if (task->end_dropped == held)
		return;
	task->end_dropped = held;
	sched_changed(s, held);
	if (held)
		sched_log(s, BW_EVENT_SCHED_HELD,
			  "job=%s step=%u index=%u run=%u worker=%s",
			  task->occurrence->job->id, task->step, task->index,
			  task->run, task->worker->id);
}

/*
 * Whether a boot after the present one of its worker may drop the end of a
 * task's run unread: a heartbeat over a new connection acknowledges ends, or
 * will when this is stored, and its answer has not come.
 */
static bool may_be_dropped_later(const task_t *task)
{
	const worker_t *worker = task->worker;

	return worker && !task->done && !sched_task_step(task)->lasting &&
	       worker->unconnected >= UNCONNECTED_MAX &&
	       worker->started_ms > 0 &&
	       sched_ackable(worker) > worker->ends_dropped;
}

static void pack_later_hold(const task_t *task, Bramley__TaskRecord *record)
{
	record->held_by = task->worker->id;
	record->held_boot_ms = task->worker->started_ms;
	record->held_later = true;
}

void sched_pack_hold(const bw_sched_t *s, const task_t *task,
		     Bramley__TaskRecord *record)
{
	const hold_t *hold = find_hold(s, task);

	if (!sched_is_held(s, task)) {
		if (may_be_dropped_later(task))
			pack_later_hold(task, record);
		return;
	}
	record->held_later = !is_held_here(task) && hold->later;
	record->held_by = is_held_here(task) ? task->worker->id : hold->worker;
	record->held_boot_ms =
		is_held_here(task) ? task->worker->started_ms : hold->boot_ms;
}

static const task_t *find_held_task(const bw_sched_t *s, const hold_t *hold)
{
	const job_t *job = g_hash_table_lookup(s->jobs, hold->job);
	const occurrence_t *occurrence =
		job ? sched_find_occurrence(job, hold->occurrence) : NULL;

	return occurrence && hold->number < occurrence->task_count
		       ? &occurrence->tasks[hold->number]
		       : NULL;
}

void sched_holds_each(const bw_sched_t *s,
		      void (*fn)(void *ctx, const task_t *task), void *ctx)
{
	guint i;

	for (i = 0; i < s->holds->len; i++) {
		const hold_t *hold = g_ptr_array_index(s->holds, i);
		const task_t *task = find_held_task(s, hold);

		if (task && !task->worker && !hold->ended)
			fn(ctx, task);
	}
}

bool sched_holds_for(const bw_sched_t *s, const worker_t *worker)
{
	guint i;

	for (i = 0; i < s->holds->len; i++) {
		const hold_t *hold = g_ptr_array_index(s->holds, i);

		if (!strcmp(hold->worker, worker->id))
			return true;
	}
	return false;
}

static void remove_hold(bw_sched_t *s, guint index)
{
	g_ptr_array_remove_index_fast(s->holds, index);
	sched_changed(s, false);
}

void sched_hold_ended(bw_sched_t *s, const task_t *task)
{
	guint i = s->holds->len;

	while (i-- > 0)
		if (is_of_task(g_ptr_array_index(s->holds, i), task))
			remove_hold(s, i);
}

void sched_holds_ended(bw_sched_t *s, const worker_t *worker, int64_t before_ms)
{
	guint i = s->holds->len;

	while (i-- > 0) {
		hold_t *hold = g_ptr_array_index(s->holds, i);

		if (hold->boot_ms >= before_ms ||
		    strcmp(hold->worker, worker->id) != 0)
			continue;
		if (!hold->later) {
			remove_hold(s, i);
			continue;
		}
		hold->later = false;
		hold->boot_ms = before_ms;
		sched_changed(s, true);
	}
}

void sched_holds_worker_ended(bw_sched_t *s, const worker_t *worker)
{
	guint i = s->holds->len;

	while (i-- > 0) {
		const hold_t *hold = g_ptr_array_index(s->holds, i);

		if (!strcmp(hold->worker, worker->id))
			remove_hold(s, i);
	}
}

void sched_holds_same_boot(bw_sched_t *s, const worker_t *worker,
			   int64_t started_ms)
{
	guint i;

	for (i = 0; i < s->holds->len; i++) {
		hold_t *hold = g_ptr_array_index(s->holds, i);

		hold->ends_known |= hold->later &&
				    hold->boot_ms == started_ms &&
				    !strcmp(hold->worker, worker->id);
	}
}

void sched_holds_doubtless(bw_sched_t *s, const worker_t *worker)
{
	guint i;

	for (i = 0; i < s->holds->len; i++) {
		hold_t *hold = g_ptr_array_index(s->holds, i);

		hold->ends_known |= !strcmp(hold->worker, worker->id);
	}
}

void sched_holds_decided(bw_sched_t *s, const worker_t *worker)
{
	guint i = s->holds->len;

	while (i-- > 0) {
		const hold_t *hold = g_ptr_array_index(s->holds, i);

		if (hold->ends_known && !strcmp(hold->worker, worker->id))
			remove_hold(s, i);
	}
}
