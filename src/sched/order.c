/* Sends orders and heartbeats to workers; handles answers to orders. */
#include "sched/internal.h"

/* Adds a task's resources to what a worker uses; subtracts with sign -1. */
static void add_usage(worker_t *worker, const task_t *task, int64_t sign)
{
	const bw_step_spec_t *step = sched_task_step(task);

	if (!step->filler)
		worker->used.cpu_millis += sign * step->need.cpu_millis;
	worker->used.mem_mb += sign * step->need.mem_mb;
	worker->used.gpus += sign * step->need.gpus;
	sched_index_update(worker);
}

void sched_attach(task_t *task, worker_t *worker)
{
	task->worker = worker;
	task->end_dropped = false;
	task->asked_again = false;
	task->accepted_ms = 0;
	g_ptr_array_add(worker->tasks, task);
	add_usage(worker, task, 1);
	sched_tenant_hold(task, 1);
}

void sched_detach(task_t *task)
{
	worker_t *worker = task->worker;

	if (!worker)
		return;
	if (task->start_in_flight)
		bw_start_window_dropped(worker->start_window);
	task->start_in_flight = false;
	task->start_due = false;
	sched_end_trial(task);
	add_usage(worker, task, -1);
	sched_tenant_hold(task, -1);
	g_ptr_array_remove_fast(worker->tasks, task);
	task->worker = NULL;
}

/*
 * An order that a worker's earlier boot has not carried out may still reach the
 * next one, which refuses it once it has seen a higher token.
 */
static void raise_fence(const bw_sched_t *s, worker_t *worker, int64_t now_ms)
{
	if (!worker->fence_outdated || s->owned_at <= worker->fence)
		return;
	worker->fence = s->owned_at;
	worker->fence_raised_ms = now_ms;
	worker->fence_outdated = false;
}

/* A worker that was silent may have restarted meanwhile: the first order that
 * its next boot receives is to have a higher token already. */
static void expect_restart(const bw_sched_t *s, worker_t *worker,
			   int64_t now_ms)
{
	int64_t silent_from_ms = worker->last_heartbeat_ms + WORKER_SILENT_MS;

	if (worker->last_heartbeat_ms > 0 && now_ms >= silent_from_ms &&
	    worker->fence_raised_ms < silent_from_ms &&
	    s->owned_at > worker->fence)
		worker->fence_outdated = true;
}

void sched_order_fenced(bw_sched_t *s, const worker_t *worker, int64_t sent_ms,
			int64_t now_ms)
{
	/* An order of this owner, sent before the token was raised. */
	if (worker && sent_ms < worker->fence_raised_ms &&
	    now_ms - worker->fence_raised_ms < FENCE_SETTLE_MS)
		return;
	s->ops.superseded(s->ctx);
}

void sched_send_stop(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	bw_run_order_t order = {
		.worker = task->worker->id,
		.address = task->worker->address,
		.run = task->run,
		.fence = task->worker->fence,
		.answer_ms = bw_resend_answer_ms(s->resend),
	};

	sched_task_name(task, &order.task);
	task->stop_copies++;
	task->stop_sent_ms = now_ms;
	task->stop_answer_ms = order.answer_ms;
	s->ops.stop(s->ctx, &order);
}

void sched_stop_task(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	if (task->state == TASK_STOPPING && task->stop_sent_ms > 0)
		return;
	task->state = TASK_STOPPING;
	task->stop_answered = false;
	task->stop_copies = 0;
	sched_send_stop(s, task, now_ms);
}

void sched_retry_stop(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	if (task->state == TASK_STOPPING && !task->stop_answered &&
	    now_ms - task->stop_sent_ms > STOP_RETRY_MS)
		sched_send_stop(s, task, now_ms);
}

int64_t sched_grant_clock(const bw_sched_t *s, const worker_t *worker,
			  int64_t now_ms)
{
	if (worker->clock_ms == 0)
		return 0;
	return worker->clock_ms + (now_ms - worker->clock_at_ms) +
	       s->config.grant_ms;
}

/* Whether a lasting task is starting up on a worker. */
static bool has_starting_lasting_task(const worker_t *worker)
{
	guint i;

	for (i = 0; i < worker->tasks->len; i++) {
		const task_t *task = g_ptr_array_index(worker->tasks, i);

		if (sched_task_step(task)->lasting && !task->ready)
			return true;
	}
	return false;
}

/* A lost answer is noticed only after the wait, so that this is short while
 * answers get lost. */
static int64_t heartbeat_wait_ms(const bw_sched_t *s, const worker_t *worker)
{
	return bw_resend_lossy(s->resend) || worker->trials > 0 ||
			       worker->fence_outdated ||
			       has_starting_lasting_task(worker)
		       ? HEARTBEAT_SHORT_WAIT_MS
		       : HEARTBEAT_WAIT_MS;
}

/* One that is slower than others has all the time: no shorter wait would ever
 * get an answer from it. */
static int64_t heartbeat_answer_ms(const bw_sched_t *s, const worker_t *worker)
{
	int64_t answer_ms = bw_resend_answer_ms(s->resend);

	if (worker->heartbeats_missing >= COPIES_MAX ||
	    worker->answered_in_ms >= answer_ms ||
	    (!bw_resend_lossy(s->resend) && !worker->answer_missing))
		return BW_ORDER_TIMEOUT_MS;
	return answer_ms;
}

static void send_heartbeat(bw_sched_t *s, worker_t *worker, int64_t now_ms)
{
	bool sure = !worker->boot_unsure && !worker->answer_missing;
	bool connects = worker->unconnected < UNCONNECTED_MAX;
	bw_heartbeat_order_t order = {
		.worker = worker->id,
		.address = worker->address,
		.now_ms = now_ms,
	};

	expect_restart(s, worker, now_ms);
	raise_fence(s, worker, now_ms);
	order.fence = worker->fence;
	/* Numbers of ends and times of the clock are those of one boot. */
	if (sure && (connects || worker->ends_acked > worker->ends_dropped))
		order.acked = worker->ends_acked;
	/* A silent worker's grant is left to expire, so its tasks can move. */
	if (sure && now_ms - worker->last_heartbeat_ms < GRANT_SILENT_MS)
		order.grant_clock_ms = sched_grant_clock(s, worker, now_ms);
	/* A crash may leave one that acknowledges ends to the next boot. */
	if (worker->synced && sure && (connects || order.acked == 0) &&
	    worker->ends_processed == worker->ends_acked)
		order.wait_ms = heartbeat_wait_ms(s, worker);
	order.answer_ms = heartbeat_answer_ms(s, worker);
	/* A connection that is being opened may wait for the next boot. */
	order.same_boot =
		connects && (order.acked > 0 || order.grant_clock_ms > 0);
	worker->granted_clock_ms =
		MAX(worker->granted_clock_ms, order.grant_clock_ms);
	worker->heartbeat_pending = true;
	worker->heartbeat_wait_ms = order.wait_ms;
	worker->heartbeat_acked = order.acked;
	worker->heartbeat_boot_ms = worker->started_ms;
	worker->heartbeat_same_boot = order.same_boot;
	worker->heartbeat_answer_ms = order.answer_ms;
	s->ops.heartbeat(s->ctx, &order);
}

void sched_send_heartbeats(bw_sched_t *s, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		worker_t *worker = value;

		if (!worker->heartbeat_pending && !worker->dead &&
		    now_ms >= worker->next_heartbeat_ms)
			send_heartbeat(s, worker, now_ms);
	}
}

void sched_resend_stops(bw_sched_t *s, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		worker_t *worker = value;

		for (i = 0; i < worker->tasks->len; i++) {
			task_t *task = g_ptr_array_index(worker->tasks, i);

			/* The number of a run in doubt is needed to ask. */
			if (task->state == TASK_STOPPING &&
			    !sched_is_in_doubt(task) &&
			    sched_may_repeat_stop(task, now_ms))
				sched_retry_stop(s, task, now_ms);
		}
	}
}

void sched_record_clock(worker_t *worker, int64_t now_ms, int64_t clock_ms)
{
	if (clock_ms <= 0)
		return;
	/* Answers may arrive out of order; the clock itself never goes back. */
	if (worker->clock_ms > 0 && clock_ms < worker->clock_ms)
		return;
	worker->clock_ms = clock_ms;
	worker->clock_at_ms = now_ms;
}

/* The run may have ended before its start was refused as old. The next list of
 * the worker has its end, or shows that there is none. */
static void await_list(task_t *task, int64_t now_ms)
{
	task->start_answered_ms = now_ms;
	if (task->state == TASK_STARTING)
		task->state = TASK_RUNNING;
}

/* Whether an order has no answer; its worker may still carry out an earlier
 * copy of one that was not sent. */
static bool is_missing(const task_t *task, bw_order_result_t result)
{
	return result == BW_ORDER_LOST ||
	       (result == BW_ORDER_NOT_SENT && task->copies > 1);
}

/* The refusal of a copy says nothing about those before it: only a stop keeps
 * them from starting the run. */
static void refuse_copy(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	task->retry_ms = now_ms + NO_RESOURCES_PAUSE_MS;
	if (task->state == TASK_STARTING)
		sched_stop_task(s, task, now_ms);
}

static void note_only_answer(task_t *task, int64_t clock_ms, int64_t now_ms)
{
	task->accepted_ms = clock_ms > 0 ? now_ms : 0;
	task->accepted_clock_ms = clock_ms;
}

void bw_sched_start_answered(bw_sched_t *s, int64_t now_ms,
			     const char *worker_id, const bw_task_name_t *name,
			     uint32_t run, bw_order_result_t result,
			     int64_t clock_ms)
{
	worker_t *worker = sched_worker(s, worker_id);
	task_t *task = sched_find_task(s, name);
	bool missing;

	sched_log(s, BW_EVENT_SCHED_STARTED,
		  "job=%s step=%u index=%u run=%u worker=%s result=%s",
		  name->job, name->step, name->index, run, worker_id,
		  bw_order_result_name(result));
	if (result == BW_ORDER_FENCED)
		sched_order_fenced(s, worker, 0, now_ms);
	if (worker && result == BW_ORDER_NO_RESOURCES)
		worker->pause_until_ms = now_ms + NO_RESOURCES_PAUSE_MS;
	if (worker && result == BW_ORDER_UNHEALTHY)
		worker->pause_until_ms = now_ms + UNHEALTHY_PAUSE_MS;
	if (!task || !worker || task->worker != worker || task->run != run)
		return;
	/* An earlier start may have been answered by the boot before. */
	if (task->ordered_ms > worker->restarted_ms)
		sched_record_clock(worker, now_ms, clock_ms);
	if (task->asked_again) {
		sched_question_answered(s, task, result, now_ms);
		return;
	}
	missing = is_missing(task, result);
	if (missing && sched_repeat_start(s, task, now_ms))
		return;
	if (!missing)
		bw_resend_answered(s->resend, now_ms - task->asked_ms,
				   task->answer_ms, task->copies - 1);
	sched_end_wait(s, task, now_ms);
	if (result == BW_ORDER_OK) {
		sched_mark_started(s, task);
		task->start_accepted = true;
		task->start_answered_ms = now_ms;
		if (task->copies == 1)
			note_only_answer(task, clock_ms, now_ms);
		if (task->state == TASK_STARTING)
			task->state = TASK_RUNNING;
		return;
	}
	if (missing) {
		task->start_answered_ms = -1;
		return;
	}
	if (result == BW_ORDER_OLD_RUN) {
		await_list(task, now_ms);
		return;
	}
	if (result == BW_ORDER_NO_TICKET)
		sched_ticket_refused(task, worker);
	if (task->copies > 1) {
		refuse_copy(s, task, now_ms);
		return;
	}
	/* The start was refused, so this run can never begin. */
	task->retry_ms = now_ms + NO_RESOURCES_PAUSE_MS;
	sched_task_wait(task);
}

/* An earlier stop may have been answered by the boot before, also while it is
 * repeated. */
static bool stop_answer_counts(const worker_t *worker, const task_t *task,
			       int64_t now_ms)
{
	return task->stop_sent_ms >= worker->restarted_ms &&
	       now_ms >= task->stop_unsure_until_ms;
}

void bw_sched_stop_answered(bw_sched_t *s, int64_t now_ms,
			    const char *worker_id, const bw_task_name_t *name,
			    uint32_t run, bw_order_result_t result)
{
	worker_t *worker = sched_worker(s, worker_id);
	task_t *task = sched_find_task(s, name);

	if (result == BW_ORDER_FENCED)
		sched_order_fenced(s, worker, 0, now_ms);
	if (!task || !worker || task->worker != worker || task->run != run ||
	    task->state != TASK_STOPPING)
		return;
	if (result == BW_ORDER_LOST)
		sched_repeat_stop(s, task, now_ms);
	if (result != BW_ORDER_OK)
		return;
	if (!stop_answer_counts(worker, task, now_ms))
		return;
	task->stop_answered = true;
	task->stop_answered_ms = now_ms;
}
