/* Handles answers to heartbeats: the runs and ends that workers list. */
#include "sched/internal.h"

/** Decay factor of a worker's failure and success counts, per run. */
#define HEALTH_DECAY 0.9
/** Delay before a failed task is started again. */
#define FAILURE_RETRY_MS 50
/** A worker that is up is registered again within this time of an outage. */
#define REGISTERED_AGAIN_MS 2500

static void record_checkpoint(task_t *task, const char *checkpoint)
{
	if (!checkpoint || checkpoint[0] == '\0' ||
	    !g_strcmp0(task->checkpoint, checkpoint))
		return;
	g_free(task->checkpoint);
	task->checkpoint = g_strdup(checkpoint);
}

/* Ends may be reported repeatedly, and by several workers in any order. */
static bool failure_counted(const task_t *task, uint32_t run)
{
	uint32_t i;

	for (i = 0; i < FAILED_RUNS_KEPT; i++)
		if (task->failed_runs[i] == run)
			return true;
	return false;
}

static void record_failure(bw_sched_t *s, worker_t *worker, task_t *task,
			   uint32_t run, int64_t now_ms)
{
	job_t *job = task->occurrence->job;

	worker->failures = worker->failures * HEALTH_DECAY + 1.0;
	worker->successes *= HEALTH_DECAY;
	sched_index_update(worker);
	if (failure_counted(task, run))
		return;
	task->failed_runs[task->failures % FAILED_RUNS_KEPT] = run;
	task->failures++;
	task->failed_worker = worker->number;
	task->retry_ms = now_ms + FAILURE_RETRY_MS;
	sched_changed(s, false);
	if (job->finished_version > 0 || sched_task_step(task)->lasting ||
	    job->queue->terms.attempts_max == 0 ||
	    task->failures < job->queue->terms.attempts_max)
		return;
	sched_job_finish(s, job, BW_JOB_FAILED, now_ms);
}

static void record_success(worker_t *worker)
{
	worker->failures *= HEALTH_DECAY;
	worker->successes = worker->successes * HEALTH_DECAY + 1.0;
	sched_index_update(worker);
}

void sched_mark_started(bw_sched_t *s, const task_t *task)
{
	job_t *job = task->occurrence->job;

	job->start_ordered = true;
	if (job->started)
		return;
	job->started = true;
	sched_changed(s, false);
}

/* Marks a task as done; for a gang, the end of one member ends all. */
static void finish_task(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	const bw_step_spec_t *step = sched_task_step(task);
	task_t *first =
		&task->occurrence->tasks[sched_step_state(task)->first_task];
	uint32_t i;

	if (!step->gang) {
		sched_task_done(s, task, now_ms);
		return;
	}
	for (i = 0; i < step->count; i++)
		if (!first[i].done)
			sched_task_done(s, &first[i], now_ms);
}

void sched_handle_end(bw_sched_t *s, worker_t *worker, const bw_end_row_t *end,
		      int64_t now_ms)
{
	task_t *task = sched_reported_task(s, &end->task, now_ms);
	bool current;

	sched_log(s, BW_EVENT_SCHED_END,
		  "job=%s step=%u index=%u run=%u worker=%s how=%s "
		  "number=%" G_GUINT64_FORMAT " known=%d",
		  end->task.job, end->task.step, end->task.index, end->run,
		  worker->id, bw_end_kind_name(end->kind), end->number,
		  task != NULL);
	sched_changed(s, false);
	if (!task) {
		sched_defer_end(s, worker, end, now_ms);
		return;
	}
	/* The job has started, even if an earlier owner did not store that. */
	sched_mark_started(s, task);
	current = task->worker == worker && task->run == end->run;
	if (current)
		sched_run_found(s, task);
	if (end->run >= task->run)
		sched_hold_ended(s, task);
	if (task->done) {
		if (current)
			sched_task_wait(task);
		return;
	}
	if (!task->worker && task->run_known && end->run >= task->run)
		task->maybe_running = false;
	if (!task->worker && end->run >= task->run)
		task->run_missed = false;
	if (!task->worker)
		task->run = MAX(task->run, end->run);
	if (end->kind == BW_END_DONE && !sched_task_step(task)->lasting) {
		record_success(worker);
		if (current)
			sched_detach(task);
		finish_task(s, task, now_ms);
		return;
	}
	if (current || !task->worker)
		record_checkpoint(task, end->checkpoint);
	if (current)
		sched_task_wait(task);
	if (end->kind == BW_END_FAILED)
		record_failure(s, worker, task, end->run, now_ms);
}

static void stop_orphan(bw_sched_t *s, worker_t *worker,
			const bw_run_row_t *row, int64_t now_ms)
{
	bw_run_order_t order = {
		.worker = worker->id,
		.address = worker->address,
		.task = row->task,
		.run = row->run,
		.fence = worker->fence,
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
	/* The earlier owner started no other run while this one went on. */
	task->maybe_running = false;
	task->run_missed = false;
	sched_hold_ended(s, task);
	task->ordered_ms = now_ms;
	task->copies = 0;
	task->start_answered_ms = now_ms;
	task->percent = PERCENT_UNKNOWN;
	task->listing = LISTING_LATE;
	task->ready = row->progress == 100;
	sched_mark_started(s, task);
	sched_attach(task, worker);
	sched_note_place(task);
	task->crash_open = false;
	task->ready_since_ms = 0;
	task->stop_possible_until_ms = 0;
	sched_log(s, BW_EVENT_SCHED_ADOPT,
		  "job=%s step=%u index=%u run=%u worker=%s", row->task.job,
		  row->task.step, row->task.index, row->run, worker->id);
}

/*
 * A run that is at work against its stop goes on while others of its step are
 * away. The stop may still be carried out.
 */
static void keep_running(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	if (task->state != TASK_STOPPING || task->stop_answered ||
	    sched_may_repeat_stop(task, now_ms))
		return;
	sched_log(s, BW_EVENT_SCHED_KEPT,
		  "job=%s step=%u index=%u run=%u worker=%s",
		  task->occurrence->job->id, task->step, task->index, task->run,
		  task->worker->id);
	sched_mark_started(s, task);
	task->state = TASK_RUNNING;
	task->start_answered_ms = now_ms;
	task->stop_possible_until_ms = task->stop_sent_ms + ORDER_DELAY_MAX_MS +
				       s->config.stop_ms + CLOCK_MARGIN_MS;
}

void sched_handle_run(bw_sched_t *s, worker_t *worker, const bw_run_row_t *row,
		      int64_t sent_ms, int64_t now_ms)
{
	task_t *task = sched_reported_task(s, &row->task, now_ms);

	if (task && task->worker == worker && task->run == row->run) {
		sched_run_found(s, task);
		sched_set_held(s, task, false);
		if (task->state == TASK_STARTING) {
			sched_mark_started(s, task);
			task->state = TASK_RUNNING;
			task->start_answered_ms = now_ms;
		}
		if (task->state == TASK_STOPPING &&
		    task->stop_answered_ms < sent_ms - s->config.stop_ms)
			task->stop_answered = false;
		keep_running(s, task, now_ms);
		task->ready = row->progress == 100;
		sched_run_listed(s, task, now_ms);
		if (sched_task_step(task)->tail_ms_max > 0)
			task->tail_latency_ms = row->tail_ms;
		record_checkpoint(task, row->checkpoint);
		return;
	}
	if (task && task->state == TASK_WAITING &&
	    task->occurrence->job->finished_version == 0 &&
	    row->run >= task->run) {
		adopt(s, worker, task, row, now_ms);
		record_checkpoint(task, row->checkpoint);
		return;
	}
	worker->has_orphans = true;
	worker->unknown_runs |= !task && !sched_is_unreadable(s, row->task.job);
	sched_tenants_doubt(s);
	if (task)
		sched_orphan_listed(worker, task);
	if (!task && sched_defer_run(s, worker, row, now_ms))
		return;
	if (now_ms - worker->orphan_stop_ms >= STOP_RETRY_MS ||
	    worker->orphan_stop_ms == now_ms)
		stop_orphan(s, worker, row, now_ms);
}

static bool lists_run(const bw_heartbeat_answer_t *answer, const task_t *task)
{
	bw_task_name_t name;
	uint32_t i;

	sched_task_name(task, &name);
	for (i = 0; i < answer->run_count; i++)
		if (answer->runs[i].run == task->run &&
		    bw_task_name_equal(&answer->runs[i].task, &name))
			return true;
	return false;
}

/* Whether a worker lists its first end, so that it has dropped none. */
static bool lists_first_end(const bw_heartbeat_answer_t *answer)
{
	return answer->end_count > 0 && answer->ends[0].number == 1;
}

/* A heartbeat that is not bound to a connection may reach the next boot. */
static void note_lost_ack(worker_t *worker, bw_order_result_t result,
			  int64_t now_ms)
{
	if (result != BW_ORDER_LOST || worker->heartbeat_acked == 0 ||
	    worker->heartbeat_boot_ms == 0 || worker->heartbeat_same_boot)
		return;
	worker->lost_ack_boot_ms = worker->heartbeat_boot_ms;
	worker->lost_ack_until_ms = now_ms + ORDER_DELAY_MAX_MS;
}

/* Whether the boot that gave an answer may have carried out a heartbeat that
 * acknowledged ends of an earlier one. */
static bool may_have_dropped_ends(const worker_t *worker,
				  const bw_heartbeat_answer_t *answer,
				  int64_t now_ms)
{
	if (worker->heartbeat_acked > 0 && worker->heartbeat_boot_ms > 0 &&
	    answer->started_ms > worker->heartbeat_boot_ms)
		return true;
	return now_ms < worker->lost_ack_until_ms &&
	       answer->started_ms > worker->lost_ack_boot_ms;
}

/*
 * Whether the boot that gave an answer can't have carried out the start of a
 * run: the only copy was accepted by a boot before it. A boot's clock never
 * goes back.
 */
static bool was_accepted_before(const task_t *task,
				const bw_heartbeat_answer_t *answer)
{
	return task->accepted_ms > 0 && answer->clock_ms > 0 &&
	       answer->sent_ms > task->accepted_ms &&
	       answer->clock_ms < task->accepted_clock_ms;
}

/*
 * Records whether a worker may have dropped ends that nobody has read: its boot
 * has received a heartbeat that acknowledged ends of an earlier one. Its lists
 * prove nothing then about runs that may have ended before. That a lasting task
 * does not run is proof enough.
 */
static void note_dropped_ends(bw_sched_t *s, worker_t *worker,
			      const bw_heartbeat_answer_t *answer,
			      int64_t now_ms)
{
	bool dropped = may_have_dropped_ends(worker, answer, now_ms);
	bool has_all = lists_first_end(answer);
	guint i;

	if (!dropped && !has_all)
		return;
	/* Later this boot refuses it for its lower fencing token. */
	if (dropped)
		worker->lost_ack_until_ms = 0;
	for (i = 0; i < worker->tasks->len; i++) {
		task_t *task = g_ptr_array_index(worker->tasks, i);

		sched_set_held(s, task,
			       !has_all && !sched_task_step(task)->lasting &&
				       !was_accepted_before(task, answer));
	}
	if (has_all)
		sched_holds_doubtless(s, worker);
}

/*
 * Handles tasks that an answer with all ends does not list. That proves that a
 * run has ended only if the request was sent after the start was answered or,
 * for a stopped run, later than the longest stop after the stop was answered.
 */
static void check_unlisted(bw_sched_t *s, worker_t *worker,
			   const bw_heartbeat_answer_t *answer, int64_t now_ms)
{
	GPtrArray *given_up = g_ptr_array_new();
	guint i = worker->tasks->len;

	while (i-- > 0) {
		task_t *task = g_ptr_array_index(worker->tasks, i);

		if (lists_run(answer, task))
			continue;
		if (sched_is_in_doubt(task)) {
			sched_ask(s, task, now_ms);
			continue;
		}
		/* A late copy may come, but what was accepted has ended. */
		if (task->state != TASK_RUNNING &&
		    answer->sent_ms > worker->restarted_ms &&
		    answer->sent_ms > task->start_answered_ms)
			sched_run_lost(s, task, given_up);
		if (task->state == TASK_STARTING &&
		    (task->start_answered_ms < 0 || task->start_due) &&
		    answer->sent_ms > task->asked_ms &&
		    now_ms - task->asked_ms > START_CONFIRM_MS)
			sched_stop_task(s, task, now_ms);
		else if (task->state == TASK_RUNNING &&
			 task->start_answered_ms < answer->sent_ms) {
			sched_log(s, BW_EVENT_SCHED_RUN_MISSING,
				  "job=%s step=%u index=%u "
				  "run=%u worker=%s",
				  task->occurrence->job->id, task->step,
				  task->index, task->run, worker->id);
			sched_run_lost(s, task, given_up);
			sched_task_wait(task);
			sched_confirm_restart(s, task);
		} else if (task->state == TASK_STOPPING &&
			   task->stop_answered &&
			   answer->sent_ms - task->stop_answered_ms >
				   s->config.stop_ms + STOP_MARGIN_MS) {
			sched_task_wait(task);
			sched_confirm_restart(s, task);
		} else {
			sched_retry_stop(s, task, now_ms);
		}
	}
	sched_give_up(s, given_up, now_ms);
}

/* Whether a heartbeat found no connection to the boot that it was for. */
static bool found_no_connection(const worker_t *worker,
				bw_order_result_t result)
{
	return worker->heartbeat_same_boot && result == BW_ORDER_NOT_SENT;
}

/* Counts how often a heartbeat in turn found no connection. After any other
 * failure the worker may have restarted, and is asked anew. */
static void count_unconnected(worker_t *worker, bw_order_result_t result)
{
	if (!worker->heartbeat_same_boot && result == BW_ORDER_OK)
		return;
	if (found_no_connection(worker, result))
		worker->unconnected++;
	else
		worker->unconnected = 0;
}

/*
 * Whether a heartbeat's answer is missing and nothing else is known of its
 * worker: the call waited for its whole time, and the worker has answered
 * shortly before. A connection that ended may have ended with its boot.
 */
static bool is_answer_missing(const worker_t *worker,
			      const bw_heartbeat_answer_t *answer,
			      int64_t now_ms)
{
	return answer->result == BW_ORDER_LOST && !worker->boot_unsure &&
	       now_ms - answer->sent_ms >=
		       worker->heartbeat_wait_ms +
			       worker->heartbeat_answer_ms &&
	       now_ms - worker->last_heartbeat_ms < BOOT_SURE_MS;
}

/*
 * Whether a refusal shows that a worker has ended, as another one has its
 * address. If only its stored address is known, the worker may have restarted
 * at another one, of which its registration would tell.
 */
static bool proves_end(const bw_sched_t *s, const worker_t *worker)
{
	if (worker->heartbeat_boot_ms > 0)
		return true;
	return !worker->registered &&
	       s->registrations_ms - s->created_ms >= REGISTERED_AGAIN_MS;
}

static void heartbeat_failed(bw_sched_t *s, worker_t *worker,
			     const bw_heartbeat_answer_t *answer,
			     int64_t now_ms)
{
	worker->next_heartbeat_ms =
		worker->boot_unsure ? now_ms + HEARTBEAT_RETRY_MS : now_ms;
	worker->boot_unsure = true;
	if (answer->result == BW_ORDER_FENCED) {
		sched_order_fenced(s, worker, answer->sent_ms, now_ms);
		return;
	}
	if (answer->result == BW_ORDER_OTHER_BOOT && proves_end(s, worker))
		sched_worker_crashed(s, worker, "other-boot", now_ms);
}

/* Heartbeats have connections of their own, so that the time of their answers
 * is not that of other calls; of one that waits for an end it tells nothing. */
static void measure_answer(bw_sched_t *s, worker_t *worker,
			   const bw_heartbeat_answer_t *answer, int64_t now_ms)
{
	int64_t took_ms = now_ms - answer->sent_ms;

	if (worker->heartbeat_wait_ms > 0)
		return;
	bw_resend_answered(s->resend, took_ms, worker->heartbeat_answer_ms,
			   worker->boot_unsure ? 0
					       : worker->heartbeats_missing);
	bw_resend_measure(s->resend, took_ms);
	worker->answered_in_ms = took_ms;
}

/* What an earlier owner granted was granted before this contact. */
static void mark_synced(bw_sched_t *s, worker_t *worker, int64_t now_ms)
{
	if (worker->synced)
		return;
	worker->synced = true;
	worker->synced_ms = now_ms;
	if (worker->inherited)
		sched_tenants_doubt(s);
	worker->granted_clock_ms =
		MAX(worker->granted_clock_ms,
		    worker->clock_ms + s->config.grant_ms_max);
}

/* Whether a worker has restarted since it gave an answer; an answer without a
 * start time counts as earlier if its request was sent before that was known.
 */
static bool is_of_earlier_boot(const worker_t *worker,
			       const bw_heartbeat_answer_t *answer)
{
	if (answer->result == BW_ORDER_OK && answer->started_ms > 0)
		return answer->started_ms < worker->started_ms;
	/* It has reached no boot. */
	if (found_no_connection(worker, answer->result))
		return false;
	return worker->restarted_ms > 0 &&
	       answer->sent_ms <= worker->restarted_ms;
}

/* Whether a heartbeat whose answer is missing is asked again. */
static bool ask_again(bw_sched_t *s, worker_t *worker,
		      const bw_heartbeat_answer_t *answer, int64_t now_ms)
{
	worker->heartbeats_missing += answer->result == BW_ORDER_LOST;
	if (!is_answer_missing(worker, answer, now_ms) ||
	    !bw_resend_take(s->resend))
		return false;
	worker->answer_missing = true;
	worker->next_heartbeat_ms = now_ms;
	return true;
}

/* Records what an answer tells of its worker, except its runs and ends. */
static void record_contact(bw_sched_t *s, worker_t *worker,
			   const bw_heartbeat_answer_t *answer, int64_t now_ms)
{
	bw_start_window_heartbeat(s->start_window,
				  now_ms - answer->sent_ms -
					  worker->heartbeat_wait_ms);
	measure_answer(s, worker, answer, now_ms);
	worker->heartbeats_missing = 0;
	sched_record_start_time(s, worker, now_ms, answer->started_ms);
	note_dropped_ends(s, worker, answer, now_ms);
	sched_holds_same_boot(s, worker, answer->started_ms);
	/* It has ended its runs itself; those of an earlier start are charged.
	 */
	sched_drop_lapses(s, worker->id);
	sched_record_clock(worker, now_ms, answer->clock_ms);
	sched_bound_earlier_grant(s, worker, answer->sent_ms, now_ms);
	if (worker->heartbeat_boot_ms == worker->started_ms)
		worker->ends_dropped =
			MAX(worker->ends_dropped, worker->heartbeat_acked);
	worker->last_heartbeat_ms = now_ms;
	/* The worker answers within the wait; what comes later was held up. */
	worker->listed_ms =
		MIN(now_ms, answer->sent_ms + worker->heartbeat_wait_ms);
	worker->boot_unsure = false;
	worker->answer_missing = false;
}

void bw_sched_heartbeat_answered(bw_sched_t *s, int64_t now_ms,
				 const char *worker_id,
				 const bw_heartbeat_answer_t *answer)
{
	worker_t *worker = sched_worker(s, worker_id);
	uint32_t i;

	if (!worker)
		return;
	worker->heartbeat_pending = false;
	if (worker->dead)
		return;
	note_lost_ack(worker, answer->result, now_ms);
	if (is_of_earlier_boot(worker, answer)) {
		worker->next_heartbeat_ms = now_ms;
		return;
	}
	count_unconnected(worker, answer->result);
	if (ask_again(s, worker, answer, now_ms))
		return;
	if (answer->result != BW_ORDER_OK) {
		heartbeat_failed(s, worker, answer, now_ms);
		return;
	}
	record_contact(s, worker, answer, now_ms);
	for (i = 0; i < answer->end_count; i++) {
		if (answer->ends[i].number <= worker->ends_processed)
			continue;
		sched_handle_end(s, worker, &answer->ends[i], now_ms);
		worker->ends_processed = answer->ends[i].number;
	}
	worker->has_orphans = false;
	worker->unknown_runs = false;
	/* A full list of ends may leave out that one of them is done. */
	if (!answer->more_ends)
		sched_orphans_ended(worker);
	for (i = 0; i < answer->run_count; i++)
		sched_handle_run(s, worker, &answer->runs[i], answer->sent_ms,
				 now_ms);
	sched_drop_unread(s, worker, now_ms);
	if (!answer->more_ends) {
		check_unlisted(s, worker, answer, now_ms);
		sched_holds_decided(s, worker);
		mark_synced(s, worker, now_ms);
	}
	sched_adjust_fillers(s, worker, now_ms);
	sched_mark_predecessors_dead(s, worker, now_ms);
	worker->next_heartbeat_ms = now_ms;
	if (worker->ends_processed > worker->ends_acked)
		worker->next_heartbeat_ms = now_ms + HEARTBEAT_UNSAVED_MS;
}
