/*
 * Starts and stops whose answers are missing, see docs/design/orders.md. The
 * same order goes out again: a run has a number, so that the worker carries out
 * one copy at most, and refuses a late one once the run has ended or was
 * stopped there.
 */
#include "sched/internal.h"

bool sched_has_room(const worker_t *worker)
{
	return worker->used.cpu_millis <= worker->capacity.cpu_millis &&
	       worker->used.mem_mb <= worker->capacity.mem_mb &&
	       worker->used.gpus <= worker->capacity.gpus;
}

/* A copy needs all that a start needs, and the boot that got the first one: a
 * new one knows nothing of what that did. */
static bool may_repeat_start(const bw_sched_t *s, const task_t *task,
			     int64_t now_ms)
{
	const worker_t *worker = task->worker;

	return task->state == TASK_STARTING && task->copies < COPIES_MAX &&
	       sched_worker_usable(s, worker, now_ms) &&
	       sched_has_room(worker) &&
	       task->ordered_ms > worker->restarted_ms;
}

void sched_send_start(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	worker_t *worker = task->worker;
	job_t *job = task->occurrence->job;
	bw_start_order_t order = {
		.worker = worker->id,
		.address = worker->address,
		.run = task->run,
		.text = job->spec->text,
		.grant_clock_ms = sched_grant_clock(s, worker, now_ms),
		.fence = worker->fence,
		.checkpoint = task->checkpoint,
		.ticket = sched_ticket(task, worker, now_ms),
		.waited_ms = now_ms - task->occurrence->due_ms,
		.answer_ms = bw_resend_answer_ms(s->resend),
	};

	sched_task_name(task, &order.task);
	worker->granted_clock_ms =
		MAX(worker->granted_clock_ms, order.grant_clock_ms);
	task->copies++;
	task->asked_ms = now_ms;
	task->answer_ms = order.answer_ms;
	sched_log(s, BW_EVENT_SCHED_START,
		  "job=%s step=%u index=%u run=%u worker=%s "
		  "wait_ms=%" G_GINT64_FORMAT " heard_ms=%" G_GINT64_FORMAT
		  " copy=%u",
		  job->id, task->step, task->index, task->run, worker->id,
		  now_ms - task->occurrence->due_ms,
		  now_ms - worker->last_heartbeat_ms, task->copies);
	s->ops.start(s->ctx, &order);
}

bool sched_repeat_start(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	/* A connection that ended sooner may have ended with its boot. */
	if (now_ms - task->asked_ms < task->answer_ms ||
	    !may_repeat_start(s, task, now_ms))
		return false;
	task->start_due = true;
	s->resends_due = true;
	return true;
}

void sched_end_wait(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	if (task->start_in_flight)
		bw_start_window_answered(s->start_window,
					 now_ms - task->asked_ms);
	task->start_in_flight = false;
	task->start_due = false;
}

bool sched_copy_outstanding(const task_t *task, int64_t now_ms)
{
	return task->copies > 1 && now_ms - task->asked_ms < ORDER_DELAY_MAX_MS;
}

/* What was seen since the answer was missed may forbid another copy. */
static void send_start_again(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	task->start_due = false;
	if (may_repeat_start(s, task, now_ms) && sched_may_start(s) &&
	    bw_resend_take(s->resend)) {
		sched_send_start(s, task, now_ms);
		return;
	}
	sched_end_wait(s, task, now_ms);
	if (task->state == TASK_STARTING)
		task->start_answered_ms = -1;
}

void sched_repeat_stop(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	if (now_ms - task->stop_sent_ms < task->stop_answer_ms ||
	    task->stop_copies >= COPIES_MAX || task->worker->boot_unsure)
		return;
	task->stop_due = true;
	s->resends_due = true;
}

static void send_stop_again(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	task->stop_due = false;
	if (task->state == TASK_STOPPING && !task->stop_answered &&
	    sched_may_repeat_stop(task, now_ms) && bw_resend_take(s->resend))
		sched_send_stop(s, task, now_ms);
}

void sched_send_again(bw_sched_t *s, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	if (!s->resends_due)
		return;
	s->resends_due = false;
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		worker_t *worker = value;

		for (i = 0; i < worker->tasks->len; i++) {
			task_t *task = g_ptr_array_index(worker->tasks, i);

			if (task->start_due)
				send_start_again(s, task, now_ms);
			if (task->stop_due)
				send_stop_again(s, task, now_ms);
		}
	}
}
