/* Jobs, their occurrences and tasks, and estimates of durations. */
#include "sched/internal.h"

#include <string.h>

/** Weight of a new sample in running means. */
#define MEAN_WEIGHT 0.03
/** Bounds of a learned ratio of actual to estimated duration. */
#define RATIO_MIN		    0.1
#define RATIO_MAX		    10.0
#define OBJECTIVE_FACTOR_DEFAULT    2.0
#define OBJECTIVE_OFFSET_DEFAULT_MS 1000
/** Deadline as a multiple of the objective; later ends have no value. */
#define DEADLINE_FACTOR 3
/** Limit on the occurrences of a job that one call creates. */
#define OCCURRENCES_PER_CALL 64
/** Limit on the tasks of a job's occurrences that are kept at a time, unless
 * one has more: those of the largest job without occurrences. */
#define OCCURRENCE_TASKS_MAX BW_JOB_TASKS_MAX

static void occurrence_free(gpointer data);

static void step_state_clear(step_state_t *state);
static void learn_duration(task_t *task, int64_t now_ms);
static bool occurrence_exists(const job_t *job, uint32_t number);
static void create_due(bw_sched_t *s, job_t *job, int64_t now_ms,
		       int64_t wall_ms);

queue_t *sched_queue(bw_sched_t *s, const char *name)
{
	queue_t *queue = g_hash_table_lookup(s->queues, name);

	if (queue)
		return queue;
	queue = g_new0(queue_t, 1);
	queue->name = g_strdup(name);
	queue->terms.objective_factor = OBJECTIVE_FACTOR_DEFAULT;
	queue->terms.objective_offset_ms = OBJECTIVE_OFFSET_DEFAULT_MS;
	queue->estimate_ratio = 1.0;
	g_hash_table_insert(s->queues, queue->name, queue);
	return queue;
}

job_t *sched_job_new(bw_sched_t *s, const char *id, const char *queue)
{
	job_t *job = g_new0(job_t, 1);

	g_strlcpy(job->id, id, sizeof(job->id));
	job->queue = sched_queue(s, queue);
	job->state = BW_JOB_QUEUED;
	job->startable = s->startable;
	job->occurrences = g_ptr_array_new_with_free_func(occurrence_free);
	job->occurrences_done = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_hash_table_insert(s->jobs, job->id, job);
	return job;
}

void sched_job_free(gpointer data)
{
	job_t *job = data;

	g_ptr_array_free(job->occurrences, TRUE);
	g_array_free(job->occurrences_done, TRUE);
	bw_job_spec_free(job->spec);
	g_free(job);
}

static void step_state_clear(step_state_t *state)
{
	if (state->tickets)
		g_hash_table_destroy(state->tickets);
}

static void occurrence_free(gpointer data)
{
	occurrence_t *occurrence = data;
	uint32_t i;

	g_hash_table_remove(occurrence->job->startable, occurrence);
	for (i = 0; i < occurrence->task_count; i++) {
		sched_detach(&occurrence->tasks[i]);
		g_free(occurrence->tasks[i].checkpoint);
	}
	for (i = 0; i < occurrence->job->spec->step_count; i++)
		step_state_clear(&occurrence->steps[i]);
	g_free(occurrence->steps);
	g_free(occurrence->tasks);
	g_free(occurrence);
}

static void init_tasks(occurrence_t *occurrence)
{
	const bw_job_spec_t *spec = occurrence->job->spec;
	uint32_t number = 0;
	uint32_t step;
	uint32_t i;

	for (step = 0; step < spec->step_count; step++) {
		step_state_t *state = &occurrence->steps[step];

		state->first_task = number;
		state->remaining = spec->steps[step].count;
		state->waiting = state->remaining;
		for (i = 0; i < spec->steps[step].count; i++) {
			task_t *task = &occurrence->tasks[number++];

			task->occurrence = occurrence;
			task->step = step;
			task->index = i;
			task->percent = 100;
		}
	}
}

void sched_mark_startable(const occurrence_t *occurrence)
{
	g_hash_table_add(occurrence->job->startable, (gpointer)occurrence);
}

occurrence_t *sched_occurrence_new(job_t *job, uint32_t number, int64_t due_ms)
{
	occurrence_t *occurrence = g_new0(occurrence_t, 1);

	occurrence->job = job;
	occurrence->number = number;
	occurrence->task_count = bw_job_spec_tasks(job->spec);
	occurrence->remaining = occurrence->task_count;
	occurrence->tasks = g_new0(task_t, occurrence->task_count);
	occurrence->steps = g_new0(step_state_t, job->spec->step_count);
	init_tasks(occurrence);
	occurrence->due_ms = due_ms;
	sched_set_objective(occurrence);
	g_ptr_array_add(job->occurrences, occurrence);
	sched_mark_startable(occurrence);
	return occurrence;
}

int64_t sched_estimate_ms(const job_t *job, const bw_step_spec_t *step)
{
	const queue_t *queue = job->queue;
	double estimate = step->estimate_ms * queue->estimate_ratio;

	if (queue->duration_ms <= 0.0)
		return (int64_t)estimate;
	/* A caller's estimate is no better than the mean of its queue. */
	return (int64_t)((estimate + queue->duration_ms) / 2.0);
}

int64_t sched_chain_ms(const job_t *job, uint32_t step)
{
	const bw_job_spec_t *spec = job->spec;
	int64_t ends_ms[BW_JOB_STEPS_MAX];
	int64_t longest_ms = 0;
	uint32_t i;
	uint32_t k;

	for (i = step; i < spec->step_count; i++) {
		const bw_step_spec_t *step_spec = &spec->steps[i];
		int64_t begin_ms = 0;

		for (k = 0; k < step_spec->after_count; k++)
			if (step_spec->after[k] >= step)
				begin_ms = MAX(begin_ms,
					       ends_ms[step_spec->after[k]]);
		ends_ms[i] = begin_ms;
		if (!step_spec->lasting)
			ends_ms[i] += sched_estimate_ms(job, step_spec);
		longest_ms = MAX(longest_ms, ends_ms[i]);
	}
	return longest_ms;
}

/* Returns a finished step's duration; for others, the least to expect. */
static int64_t step_ms(const occurrence_t *occurrence, uint32_t step)
{
	const step_state_t *state = &occurrence->steps[step];
	const bw_step_spec_t *spec = &occurrence->job->spec->steps[step];

	if (spec->lasting)
		return 0;
	if (state->remaining == 0)
		return state->longest_run_ms;
	return MAX(state->longest_run_ms,
		   sched_estimate_ms(occurrence->job, spec));
}

void sched_set_objective(occurrence_t *occurrence)
{
	const job_t *job = occurrence->job;
	const bw_job_spec_t *spec = job->spec;
	int64_t ends_ms[BW_JOB_STEPS_MAX];
	int64_t chain_ms = 0;
	int64_t objective_ms;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < spec->step_count; i++) {
		const bw_step_spec_t *step_spec = &spec->steps[i];

		ends_ms[i] = 0;
		for (k = 0; k < step_spec->after_count; k++)
			ends_ms[i] =
				MAX(ends_ms[i], ends_ms[step_spec->after[k]]);
		ends_ms[i] += step_ms(occurrence, i);
		chain_ms = MAX(chain_ms, ends_ms[i]);
	}
	objective_ms = (int64_t)(job->queue->terms.objective_factor *
				 (double)chain_ms) +
		       job->queue->terms.objective_offset_ms;
	occurrence->objective_ms = occurrence->due_ms + objective_ms;
	occurrence->deadline_ms =
		occurrence->due_ms + DEADLINE_FACTOR * objective_ms;
}

occurrence_t *sched_find_occurrence(const job_t *job, uint32_t number)
{
	guint i;

	for (i = 0; i < job->occurrences->len; i++) {
		occurrence_t *occurrence =
			g_ptr_array_index(job->occurrences, i);

		if (occurrence->number == number)
			return occurrence;
	}
	return NULL;
}

task_t *sched_find_task(const bw_sched_t *s, const bw_task_name_t *name)
{
	const job_t *job = g_hash_table_lookup(s->jobs, name->job);
	occurrence_t *occurrence;

	if (!job || !job->spec || name->step >= job->spec->step_count ||
	    name->index >= job->spec->steps[name->step].count)
		return NULL;
	occurrence = sched_find_occurrence(job, name->occurrence);
	if (!occurrence)
		return NULL;
	return &occurrence->tasks[occurrence->steps[name->step].first_task +
				  name->index];
}

void sched_task_name(const task_t *task, bw_task_name_t *out)
{
	g_strlcpy(out->job, task->occurrence->job->id, sizeof(out->job));
	out->occurrence = task->occurrence->number;
	out->step = task->step;
	out->index = task->index;
}

const bw_step_spec_t *sched_task_step(const task_t *task)
{
	return &task->occurrence->job->spec->steps[task->step];
}

step_state_t *sched_step_state(const task_t *task)
{
	return &task->occurrence->steps[task->step];
}

void sched_task_wait(task_t *task)
{
	sched_detach(task);
	if (task->done) {
		task->state = TASK_DONE;
		return;
	}
	if (task->state != TASK_WAITING)
		sched_step_state(task)->waiting++;
	task->state = TASK_WAITING;
	sched_mark_startable(task->occurrence);
	task->start_answered_ms = 0;
	task->stop_sent_ms = 0;
	task->stop_due = false;
	task->stop_answered = false;
	task->tail_latency_ms = 0;
	task->percent = 100;
}

static void learn_duration(task_t *task, int64_t now_ms)
{
	queue_t *queue = task->occurrence->job->queue;
	const bw_step_spec_t *step = sched_task_step(task);
	double duration_ms = (double)(now_ms - task->start_answered_ms);
	double ratio;

	if (step->lasting || task->start_answered_ms <= 0 || task->checkpoint)
		return;
	if (queue->duration_ms <= 0.0)
		queue->duration_ms = duration_ms;
	queue->duration_ms += MEAN_WEIGHT * (duration_ms - queue->duration_ms);
	if (step->estimate_ms == 0)
		return;
	ratio = CLAMP(duration_ms / step->estimate_ms, RATIO_MIN, RATIO_MAX);
	queue->estimate_ratio += MEAN_WEIGHT * (ratio - queue->estimate_ratio);
}

void sched_task_done(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	occurrence_t *occurrence = task->occurrence;
	step_state_t *state = sched_step_state(task);

	learn_duration(task, now_ms);
	if (task->start_answered_ms > 0)
		state->longest_run_ms = MAX(state->longest_run_ms,
					    now_ms - task->start_answered_ms);
	if (task->state == TASK_WAITING)
		state->waiting--;
	task->done = true;
	/* Another run of the task uses resources until it has ended. */
	if (!task->worker)
		task->state = TASK_DONE;
	else if (!sched_task_step(task)->gang)
		sched_stop_task(s, task, now_ms);
	g_clear_pointer(&task->checkpoint, g_free);
	state->remaining--;
	if (state->remaining == 0)
		sched_mark_startable(occurrence);
	occurrence->remaining--;
	sched_set_objective(occurrence);
	sched_changed(s, state->remaining == 0);
	if (occurrence->remaining == 0)
		sched_occurrence_done(s, occurrence, now_ms);
}

void sched_occurrence_done(bw_sched_t *s, const occurrence_t *occurrence,
			   int64_t now_ms)
{
	job_t *job = occurrence->job;

	sched_log(s, BW_EVENT_SCHED_OCCURRENCE_DONE,
		  "job=%s occurrence=%u took_ms=%" G_GINT64_FORMAT
		  " objective_ms=%" G_GINT64_FORMAT,
		  job->id, occurrence->number, now_ms - occurrence->due_ms,
		  occurrence->objective_ms - occurrence->due_ms);
	g_array_append_val(job->occurrences_done, occurrence->number);
	job->occurrences_left--;
	if (job->occurrences_left == 0)
		sched_job_finish(s, job, BW_JOB_COMPLETED, now_ms);
}

void sched_job_finish(bw_sched_t *s, job_t *job, bw_job_state_t state,
		      int64_t now_ms)
{
	guint i;
	uint32_t k;

	/* Tasks that end while they are stopped no longer change the job. */
	if (job->finished_version > 0)
		return;
	sched_changed(s, true);
	job->state = state;
	job->finished_version = s->version;
	g_ptr_array_remove(s->active, job);
	g_ptr_array_add(s->ending, job);
	sched_mark_finished(s, job, now_ms);
	g_queue_push_tail(s->unshortened, job);
	sched_log(s, BW_EVENT_SCHED_JOB_FINISHED,
		  "job=%s queue=%s state=%s age_ms=%" G_GINT64_FORMAT, job->id,
		  job->queue->name, bw_job_state_name(state),
		  now_ms - job->arrived_ms);
	for (i = 0; i < job->occurrences->len; i++) {
		occurrence_t *occurrence =
			g_ptr_array_index(job->occurrences, i);

		for (k = 0; k < occurrence->task_count; k++)
			if (occurrence->tasks[k].worker)
				sched_stop_task(s, &occurrence->tasks[k],
						now_ms);
	}
}

bool sched_end_stored(const bw_sched_t *s, const job_t *job)
{
	return job->end_stored || (job->finished_version > 0 &&
				   job->finished_version <= s->saved_version);
}

static bool has_running_task(const occurrence_t *occurrence)
{
	uint32_t i;

	for (i = 0; i < occurrence->task_count; i++)
		if (occurrence->tasks[i].worker)
			return true;
	return false;
}

/* Releases finished occurrences that run nowhere; true if none remains. */
static bool reap_occurrences(const bw_sched_t *s, job_t *job)
{
	guint i = job->occurrences->len;

	if (sched_tenants_keep(s, job))
		return false;
	while (i-- > 0) {
		const occurrence_t *occurrence =
			g_ptr_array_index(job->occurrences, i);

		if ((job->finished_version > 0 || occurrence->remaining == 0) &&
		    !has_running_task(occurrence))
			g_ptr_array_remove_index(job->occurrences, i);
	}
	return job->occurrences->len == 0;
}

void sched_jobs_reap(bw_sched_t *s)
{
	guint i = s->ending->len;

	while (i-- > 0) {
		job_t *job = g_ptr_array_index(s->ending, i);

		if (!reap_occurrences(s, job))
			continue;
		g_clear_pointer(&job->spec, bw_job_spec_free);
		g_ptr_array_remove_index_fast(s->ending, i);
	}
}

static bool occurrence_exists(const job_t *job, uint32_t number)
{
	guint i;

	if (sched_find_occurrence(job, number))
		return true;
	for (i = 0; i < job->occurrences_done->len; i++)
		if (g_array_index(job->occurrences_done, uint32_t, i) == number)
			return true;
	return false;
}

/* An earlier owner may run any task of an occurrence. */
static void mark_occurrence(occurrence_t *occurrence)
{
	uint32_t k;

	for (k = 0; k < occurrence->task_count; k++) {
		occurrence->tasks[k].maybe_running = true;
		occurrence->tasks[k].ends_unknown = true;
		occurrence->tasks[k].run_known = false;
	}
}

/* Returns how much room a job's occurrences take, in tasks; a step takes that
 * of one at most. */
static uint64_t occurrence_tasks(const job_t *job, uint64_t occurrences)
{
	return occurrences *
	       (bw_job_spec_tasks(job->spec) + job->spec->step_count + 1);
}

/* Whether another occurrence may be created before earlier ones have ended. */
static bool has_room_for_occurrence(const job_t *job)
{
	return job->occurrences->len == 0 ||
	       occurrence_tasks(job, (uint64_t)job->occurrences->len + 1) <=
		       OCCURRENCE_TASKS_MAX;
}

/* An earlier owner may have started it until all of its runs are known. */
static void create_next(bw_sched_t *s, job_t *job, int64_t due_ms)
{
	occurrence_t *occurrence =
		sched_occurrence_new(job, job->next_occurrence, due_ms);

	if (s->first_owner || s->handed_over || s->recovered)
		return;
	mark_occurrence(occurrence);
	sched_tenants_doubt(s);
}

/* Occurrences are created in the order in which they are due. */
static void create_due(bw_sched_t *s, job_t *job, int64_t now_ms,
		       int64_t wall_ms)
{
	uint32_t looked_at = 0;

	while (job->next_occurrence < job->spec->repeats &&
	       looked_at < OCCURRENCES_PER_CALL) {
		int64_t due_ms = job->spec->first_due_ms +
				 job->spec->interval_ms * job->next_occurrence;

		if (wall_ms < due_ms)
			return;
		if (!occurrence_exists(job, job->next_occurrence)) {
			if (!has_room_for_occurrence(job))
				return;
			create_next(s, job, now_ms - (wall_ms - due_ms));
		}
		job->next_occurrence++;
		looked_at++;
	}
}

void sched_create_due_occurrences(bw_sched_t *s, int64_t now_ms,
				  int64_t wall_ms)
{
	guint i;

	for (i = 0; i < s->active->len; i++) {
		job_t *job = g_ptr_array_index(s->active, i);

		if (job->spec->repeats == 0)
			continue;
		reap_occurrences(s, job);
		create_due(s, job, now_ms, wall_ms);
	}
}

task_t *sched_reported_task(bw_sched_t *s, const bw_task_name_t *name,
			    int64_t now_ms)
{
	job_t *job = g_hash_table_lookup(s->jobs, name->job);

	if (job && job->spec && job->finished_version == 0 &&
	    name->occurrence < job->spec->repeats &&
	    !occurrence_exists(job, name->occurrence))
		sched_occurrence_new(job, name->occurrence, now_ms);
	return sched_find_task(s, name);
}

static bool has_lasting_step(const bw_job_spec_t *spec)
{
	uint32_t i;

	for (i = 0; i < spec->step_count; i++)
		if (spec->steps[i].lasting)
			return true;
	return false;
}

/* Moves the specification out of a record and activates the job. */
static void set_spec(bw_sched_t *s, job_t *job, bw_job_record_t *record,
		     int64_t now_ms, int64_t wall_ms)
{
	job->spec = g_steal_pointer(&record->spec);
	job->lasting = has_lasting_step(job->spec);
	job->occurrences_left = MAX(job->spec->repeats, 1U);
	job->arrived_ms = now_ms - CLAMP(wall_ms - record->accepted_ms, 0,
					 (int64_t)24 * 3600 * 1000);
	g_ptr_array_add(s->active, job);
	if (job->spec->repeats == 0)
		sched_occurrence_new(job, 0, job->arrived_ms);
}

static void mark_maybe_running(job_t *job)
{
	guint i;

	for (i = 0; i < job->occurrences->len; i++)
		mark_occurrence(g_ptr_array_index(job->occurrences, i));
}

static void mark_foreign(job_t *job)
{
	job->maybe_foreign = true;
	mark_maybe_running(job);
}

/*
 * Runs of a job whose end an earlier owner has stored may go on until they are
 * stopped. Its tasks are kept, so that its tenant holds what they need.
 */
static void keep_ended(bw_sched_t *s, job_t *job, bw_job_record_t *record,
		       int64_t now_ms)
{
	if (s->tenants->configured == 0 || s->first_owner || s->recovered ||
	    job->finished_version == 0 || job->spec || !record->spec ||
	    record->spec->repeats > 0)
		return;
	job->spec = g_steal_pointer(&record->spec);
	job->occurrences_left = 1;
	sched_occurrence_new(job, 0, now_ms);
	mark_maybe_running(job);
	g_ptr_array_add(s->ending, job);
	sched_tenants_doubt(s);
}

void bw_sched_add_job(bw_sched_t *s, int64_t now_ms, int64_t wall_ms,
		      const char *id, bw_job_record_t *record)
{
	job_t *job = g_hash_table_lookup(s->jobs, id);
	bool was_unreadable = g_hash_table_remove(s->unreadable, id);

	if (job) {
		/* The short record of one that has ended has none. */
		if (!job->tenant && !job->spec)
			job->tenant = sched_tenant(s, record->tenant);
		keep_ended(s, job, record, now_ms);
		sched_note_revision(s, job, record->revision);
		return;
	}
	job = sched_job_new(s, id, record->queue);
	job->tenant = sched_tenant(s, record->tenant);
	job->revision = record->revision;
	/* The configuration has dropped the queue since. */
	if (record->has_terms && !job->queue->configured)
		job->queue->terms = record->terms;
	set_spec(s, job, record, now_ms, wall_ms);
	sched_tenant_arrived(job);
	sched_load_progress(s, job, now_ms);
	sched_record_arrival(s, job, now_ms);
	/*
	 * A job added before our first store, or which could not be read then,
	 * may have been started by an earlier owner.
	 */
	if (!s->first_owner && !s->handed_over &&
	    (s->saved_version == 0 || was_unreadable))
		mark_maybe_running(job);
	else if (sched_maybe_foreign(s, job))
		mark_foreign(job);
	if (!s->recovered)
		sched_tenants_doubt(s);
	sched_confirm_job(s, job, now_ms);
	sched_log(s, BW_EVENT_SCHED_JOB,
		  "job=%s queue=%s tasks=%u repeats=%u lasting=%d"
		  " age_ms=%" G_GINT64_FORMAT " confirmed=%d foreign=%d",
		  job->id, job->queue->name, bw_job_spec_tasks(job->spec),
		  job->spec->repeats, job->lasting, now_ms - job->arrived_ms,
		  job->confirm_version == 0, job->maybe_foreign);
	sched_apply_unread(s, job->id, now_ms);
}

void bw_sched_cancel(bw_sched_t *s, int64_t now_ms, const char *id)
{
	job_t *job = g_hash_table_lookup(s->jobs, id);

	if (!job || job->finished_version > 0)
		return;
	sched_job_finish(s, job, BW_JOB_CANCELLED, now_ms);
}
