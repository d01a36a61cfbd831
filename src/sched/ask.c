/*
 * Held tasks are asked for: the boot that may have dropped the end of a run
 * unread is ordered to start the same run once more. A run has a number, so
 * that a boot in which it goes on accepts the order and does nothing, one in
 * which it has ended refuses it as old, and any other begins it. Without this
 * only an end or a restart of the worker would tell, and neither need come.
 */
#include "sched/internal.h"

/** Pause before a question that had no useful answer is repeated. */
#define ASK_RETRY_MS 400

/* Whether the start of a run, or an earlier question, may still be answered. */
static bool awaits_answer(const task_t *task)
{
	return task->asked_again || task->start_answered_ms == 0 ||
	       task->start_due;
}

static bool may_ask(const bw_sched_t *s, const task_t *task, int64_t now_ms)
{
	return sched_is_in_doubt(task) && !awaits_answer(task) &&
	       now_ms - task->asked_ms >= ASK_RETRY_MS && sched_may_start(s) &&
	       sched_worker_usable(s, task->worker, now_ms) &&
	       sched_has_room(task->worker);
}

/* From now on the run may begin, so that only a stop would keep it from that.
 */
static void send_question(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	task->asked_again = true;
	task->ordered_ms = now_ms;
	task->start_answered_ms = 0;
	if (task->state == TASK_RUNNING)
		task->state = TASK_STARTING;
	sched_send_start(s, task, now_ms);
}

void sched_ask(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	if (may_ask(s, task, now_ms))
		send_question(s, task, now_ms);
}

void sched_ask_for_stored_hold(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	worker_t *worker = sched_hold_worker(s, task);

	if (!s->recovered || !worker || task->state != TASK_WAITING ||
	    now_ms < task->retry_ms ||
	    !sched_worker_usable(s, worker, now_ms) ||
	    !sched_is_allowed(worker, task, now_ms))
		return;
	sched_isolation_changed(s);
	sched_attach(task, worker);
	sched_step_state(task)->waiting--;
	task->state = TASK_STARTING;
	/* An earlier owner may have sent more than one. */
	task->copies = 1;
	task->start_accepted = false;
	task->percent = PERCENT_UNKNOWN;
	task->ready = false;
	task->stop_possible_until_ms = 0;
	sched_begin_run(task, worker);
	sched_set_held(s, task, true);
	sched_hold_ended(s, task);
	send_question(s, task, now_ms);
}

/* It goes on there, or begins now: no end of it was dropped. */
static void end_hold(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	sched_set_held(s, task, false);
	sched_mark_started(s, task);
	sched_run_begun_again(task);
	task->maybe_running = false;
	task->run_missed = false;
	task->start_accepted = true;
	task->start_answered_ms = now_ms;
	if (task->state == TASK_STARTING)
		task->state = TASK_RUNNING;
}

/* The run has ended there, nobody knows how: it may be done. Its room is free.
 */
static void leave_ended(bw_sched_t *s, task_t *task)
{
	sched_log(s, BW_EVENT_SCHED_END_UNREAD,
		  "job=%s step=%u index=%u run=%u worker=%s",
		  task->occurrence->job->id, task->step, task->index, task->run,
		  task->worker->id);
	sched_hold_ended_run(s, task);
	sched_task_wait(task);
}

void sched_question_answered(bw_sched_t *s, task_t *task,
			     bw_order_result_t result, int64_t now_ms)
{
	task->asked_again = false;
	if (result == BW_ORDER_OK) {
		end_hold(s, task, now_ms);
		return;
	}
	task->start_answered_ms = -1;
	if (result == BW_ORDER_NO_TICKET)
		sched_ticket_refused(task, task->worker);
	if (result == BW_ORDER_OLD_RUN && task->end_dropped)
		leave_ended(s, task);
}
