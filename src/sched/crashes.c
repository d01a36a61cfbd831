/*
 * Tasks that crash their workers: which tasks a crash is counted against, and
 * when a task is given up.
 *
 * A crash ends all runs on its worker, and most of them are not its cause. A
 * run that its worker has listed some time after the start is hardly the cause;
 * the others are suspects.
 */
#include "sched/internal.h"

#include <string.h>

/** A run that is listed this long after its start was ordered has survived the
 *  start; earlier a list may just have been faster than the crash. */
#define SURVIVED_MS 100
/** A task with as many crashes is suspected though it survived its starts. */
#define CRASHES_SUSPECT 2
/** Crashes after which a task that crashed its worker alone is given up. */
#define CRASHES_ALONE 2
/** Crashes after which a task is given up in any case: two less than the
 *  starts that callers tolerate, as a change of owner may hide one. */
#define CRASHES_MAX 4
/** A machine is avoided by suspects for this long after a crash. */
#define CRASHED_LATELY_MS 60000
/** A lasting task that was ready for this long is cleared. */
#define CLEARED_MS 60000
/** A worker that is silent for this long is not known to have crashed. */
#define LAPSE_KEPT_MS 60000

/** A run whose grant expired on a silent worker. */
typedef struct lapse {
	char *worker;
	char *machine; /**< NULL: not known. */
	int64_t started_ms; /**< Of the worker. */
	int64_t since_ms;
	bw_task_name_t task;
	uint32_t run;
	listing_t listing; /**< As in task_t. */
	bool accepted; /**< The worker has confirmed the start. */
	bool isolated; /**< It was started as a suspect's, and no other run on
			  the worker may have been the cause. */
	bool open; /**< The worker's next boot may have begun the run. */
} lapse_t;

static void lapse_free(gpointer data);
static const char *machine_of(const worker_t *worker);
static void record_machine(bw_sched_t *s, const worker_t *worker,
			   int64_t now_ms);
static bool is_alone(const worker_t *worker, const task_t *task);
static bool is_exempt(const task_t *task);
static lapse_t *lapse_new(const task_t *task, const worker_t *worker,
			  int64_t now_ms);
static bool is_at_limit(const task_t *task);
static void log_suspect(bw_sched_t *s, const task_t *task, uint32_t run,
			const char *worker);
static void give_up_at_limit(task_t *task, bool proven_alone,
			     GPtrArray *given_up);
static void charge(bw_sched_t *s, task_t *task, const lapse_t *crash,
		   GPtrArray *given_up);
static bool is_of_worker(const lapse_t *lapse, const void *ctx);
static bool is_of_machine(const lapse_t *lapse, const void *ctx);
static bool is_outdated(const lapse_t *lapse, const void *ctx);
static void charge_lapse(bw_sched_t *s, lapse_t *lapse, GPtrArray *given_up);
static void remove_lapses(bw_sched_t *s,
			  bool (*matches)(const lapse_t *lapse,
					  const void *ctx),
			  const void *ctx, GPtrArray *given_up);
static void clear_lasting(bw_sched_t *s, task_t *task, int64_t now_ms);

static void lapse_free(gpointer data)
{
	lapse_t *lapse = data;

	g_free(lapse->worker);
	g_free(lapse->machine);
	g_free(lapse);
}

void sched_crashes_init(bw_sched_t *s)
{
	s->crashed_machines =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->lapses = g_ptr_array_new_with_free_func(lapse_free);
}

void sched_crashes_clear(bw_sched_t *s)
{
	g_hash_table_destroy(s->crashed_machines);
	g_ptr_array_free(s->lapses, TRUE);
}

bool sched_is_suspect(const task_t *task)
{
	return task->suspect ||
	       task->crashes + task->unsure_crashes >= CRASHES_SUSPECT;
}

static const char *machine_of(const worker_t *worker)
{
	return worker->machine ? worker->machine : worker->id;
}

static void record_machine(bw_sched_t *s, const worker_t *worker,
			   int64_t now_ms)
{
	int64_t *at_ms = g_new(int64_t, 1);

	*at_ms = now_ms;
	g_hash_table_replace(s->crashed_machines, g_strdup(machine_of(worker)),
			     at_ms);
}

bool sched_crashed_lately(const bw_sched_t *s, const worker_t *worker,
			  int64_t now_ms)
{
	const int64_t *at_ms =
		g_hash_table_lookup(s->crashed_machines, machine_of(worker));

	return at_ms && now_ms - *at_ms < CRASHED_LATELY_MS;
}

/* Whether no run of another job on a task's worker may have crashed it. */
static bool is_alone(const worker_t *worker, const task_t *task)
{
	guint i;

	for (i = 0; i < worker->tasks->len; i++) {
		const task_t *other = g_ptr_array_index(worker->tasks, i);

		if (other->listing != LISTING_LATE &&
		    other->occurrence->job != task->occurrence->job)
			return false;
	}
	return true;
}

/* Whether a crash is no evidence against a task, or matters no more. */
static bool is_exempt(const task_t *task)
{
	return task->done || task->occurrence->job->finished_version > 0 ||
	       (task->ready && sched_task_step(task)->lasting);
}

static lapse_t *lapse_new(const task_t *task, const worker_t *worker,
			  int64_t now_ms)
{
	lapse_t *lapse = g_new0(lapse_t, 1);

	lapse->worker = g_strdup(worker->id);
	lapse->machine = g_strdup(worker->machine);
	lapse->started_ms = worker->started_ms;
	lapse->since_ms = now_ms;
	sched_task_name(task, &lapse->task);
	lapse->run = task->run;
	lapse->listing = task->listing;
	lapse->accepted =
		task->listing == LISTING_LATE || task->start_answered_ms > 0;
	lapse->isolated = task->trial && is_alone(worker, task);
	return lapse;
}

/*
 * A run that an earlier owner left without an end counts too, beside a crash.
 * The end of a lasting job stops all its tasks at once, so that only proofs
 * count.
 */
static bool is_at_limit(const task_t *task)
{
	uint32_t counted = task->crashes + task->unsure_crashes;

	if (sched_task_step(task)->lasting)
		return task->crashes >= CRASHES_MAX;
	if (task->crashes > 0)
		counted += task->hidden_runs;
	return counted >= CRASHES_MAX;
}

static void log_suspect(bw_sched_t *s, const task_t *task, uint32_t run,
			const char *worker)
{
	if (sched_is_suspect(task))
		sched_log(s, BW_EVENT_SCHED_SUSPECTED,
			  "job=%s step=%u index=%u run=%u worker=%s "
			  "crashes=%u unsure=%u",
			  task->occurrence->job->id, task->step, task->index,
			  run, worker, task->crashes, task->unsure_crashes);
}

/* A proven crash under an isolated run leaves nothing else to blame. */
static void give_up_at_limit(task_t *task, bool proven_alone,
			     GPtrArray *given_up)
{
	if ((proven_alone && task->crashes >= CRASHES_ALONE) ||
	    is_at_limit(task))
		g_ptr_array_add(given_up, task);
}

/* Counts a crash of a worker under a run of a task. */
static void charge(bw_sched_t *s, task_t *task, const lapse_t *crash,
		   GPtrArray *given_up)
{
	/* A worker that restarts again and again may never have begun it. */
	if (task->charged_run == crash->run)
		return;
	task->charged_run = crash->run;
	task->crash_open = crash->open;
	task->crash_isolated = crash->isolated;
	if (crash->accepted)
		task->crashes++;
	else
		task->unsure_crashes++;
	task->suspect |= crash->listing != LISTING_LATE;
	sched_changed(s, false);
	log_suspect(s, task, crash->run, crash->worker);
	give_up_at_limit(task, crash->isolated && crash->accepted, given_up);
}

void sched_run_lost(bw_sched_t *s, task_t *task, GPtrArray *given_up)
{
	if (!task->crash_open || !task->start_accepted)
		return;
	task->crash_open = false;
	if (is_exempt(task))
		return;
	task->unsure_crashes--;
	task->crashes++;
	sched_changed(s, false);
	log_suspect(s, task, task->run, task->worker->id);
	give_up_at_limit(task, task->crash_isolated, given_up);
}

void sched_run_found(bw_sched_t *s, task_t *task)
{
	if (!task->crash_open)
		return;
	task->crash_open = false;
	/* A crash of this boot counts. */
	task->charged_run = 0;
	task->unsure_crashes--;
	sched_changed(s, false);
}

void sched_run_begun_again(task_t *task)
{
	task->crash_open = false;
	task->charged_run = 0;
}

/* Context: the worker's identifier. */
static bool is_of_worker(const lapse_t *lapse, const void *ctx)
{
	return !strcmp(lapse->worker, ctx);
}

/* Context: a worker; a machine hosts one at a time, so an older one on its
 * machine has ended. */
static bool is_of_machine(const lapse_t *lapse, const void *ctx)
{
	const worker_t *worker = ctx;

	return !g_strcmp0(lapse->machine, worker->machine) &&
	       lapse->started_ms > 0 && lapse->started_ms < worker->started_ms;
}

/* Context: the current time. */
static bool is_outdated(const lapse_t *lapse, const void *ctx)
{
	const int64_t *now_ms = ctx;

	return *now_ms - lapse->since_ms >= LAPSE_KEPT_MS;
}

/* Counts a crash against a run whose grant expired before it was known. */
static void charge_lapse(bw_sched_t *s, lapse_t *lapse, GPtrArray *given_up)
{
	task_t *task = sched_find_task(s, &lapse->task);

	/* A run that survived its start may have ended by itself. */
	lapse->accepted &= lapse->listing != LISTING_LATE;
	if (task && !task->done && task->occurrence->job->finished_version == 0)
		charge(s, task, lapse, given_up);
}

/*
 * Removes the runs that match.
 * @param given_up NULL: they are only forgotten; else a crash is counted
 * against them, and it receives the tasks to give up
 */
static void remove_lapses(bw_sched_t *s,
			  bool (*matches)(const lapse_t *lapse,
					  const void *ctx),
			  const void *ctx, GPtrArray *given_up)
{
	guint i = s->lapses->len;

	while (i-- > 0) {
		lapse_t *lapse = g_ptr_array_index(s->lapses, i);

		if (!matches(lapse, ctx))
			continue;
		if (given_up)
			charge_lapse(s, lapse, given_up);
		g_ptr_array_remove_index(s->lapses, i);
	}
}

GPtrArray *sched_charge_crash(bw_sched_t *s, const worker_t *worker,
			      bool restarted, int64_t now_ms)
{
	GPtrArray *given_up = g_ptr_array_new();
	guint i;

	record_machine(s, worker, now_ms);
	remove_lapses(s, is_of_worker, worker->id, given_up);
	for (i = 0; i < worker->tasks->len; i++) {
		task_t *task = g_ptr_array_index(worker->tasks, i);
		lapse_t *crash;

		if (is_exempt(task))
			continue;
		crash = lapse_new(task, worker, now_ms);
		crash->open = restarted && task->listing == LISTING_NONE;
		crash->accepted &= !crash->open;
		charge(s, task, crash, given_up);
		lapse_free(crash);
	}
	return given_up;
}

void sched_charge_machine(bw_sched_t *s, const worker_t *worker, int64_t now_ms)
{
	GPtrArray *given_up;

	if (s->lapses->len == 0 || !worker->machine)
		return;
	given_up = g_ptr_array_new();
	remove_lapses(s, is_of_machine, worker, given_up);
	sched_give_up(s, given_up, now_ms);
}

void sched_give_up(bw_sched_t *s, GPtrArray *tasks, int64_t now_ms)
{
	guint i;

	for (i = 0; i < tasks->len; i++) {
		const task_t *task = g_ptr_array_index(tasks, i);
		job_t *job = task->occurrence->job;

		if (job->finished_version > 0)
			continue;
		sched_log(s, BW_EVENT_SCHED_GIVEN_UP,
			  "job=%s step=%u index=%u run=%u crashes=%u unsure=%u",
			  job->id, task->step, task->index, task->run,
			  task->crashes, task->unsure_crashes);
		sched_job_finish(s, job, BW_JOB_FAILED, now_ms);
	}
	g_ptr_array_free(tasks, TRUE);
}

void sched_note_lapses(bw_sched_t *s, const worker_t *worker, int64_t now_ms)
{
	guint i;

	if (worker->dead || worker->draining || worker->cordoned)
		return;
	for (i = 0; i < worker->tasks->len; i++) {
		task_t *task = g_ptr_array_index(worker->tasks, i);

		if (is_exempt(task))
			continue;
		task->suspect |= task->listing != LISTING_LATE;
		g_ptr_array_add(s->lapses, lapse_new(task, worker, now_ms));
	}
}

void sched_drop_lapses(bw_sched_t *s, const char *worker)
{
	remove_lapses(s, is_of_worker, worker, NULL);
}

void sched_forget_lapses(bw_sched_t *s, int64_t now_ms)
{
	remove_lapses(s, is_outdated, &now_ms, NULL);
}

bool sched_crashes_pending(const bw_sched_t *s, const task_t *task)
{
	uint32_t count =
		task->crashes + task->unsure_crashes + task->hidden_runs;
	bw_task_name_t name;
	uint32_t open = 0;
	guint i;

	if (s->lapses->len == 0)
		return false;
	sched_task_name(task, &name);
	for (i = 0; i < s->lapses->len; i++) {
		const lapse_t *lapse = g_ptr_array_index(s->lapses, i);

		open += bw_task_name_equal(&lapse->task, &name);
	}
	return open > 0 && count + open >= CRASHES_MAX;
}

void sched_begin_run(task_t *task, worker_t *worker)
{
	task->listing = LISTING_NONE;
	task->crash_open = false;
	task->ready_since_ms = 0;
	task->trial = sched_is_suspect(task);
	worker->trials += task->trial;
}

/* Clears a lasting task that has been at work for long. */
static void clear_lasting(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	if (!task->ready || !sched_task_step(task)->lasting) {
		task->ready_since_ms = 0;
		return;
	}
	if (task->ready_since_ms == 0)
		task->ready_since_ms = now_ms;
	if (now_ms - task->ready_since_ms < CLEARED_MS)
		return;
	task->suspect = false;
	if (task->crashes + task->unsure_crashes == 0)
		return;
	task->crashes = 0;
	task->unsure_crashes = 0;
	sched_changed(s, false);
}

void sched_run_listed(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	if (task->listing == LISTING_NONE)
		task->listing = LISTING_EARLY;
	if (now_ms - task->ordered_ms >= SURVIVED_MS) {
		task->listing = LISTING_LATE;
		sched_end_trial(task);
	}
	clear_lasting(s, task, now_ms);
}

bool sched_may_crash(const task_t *task)
{
	if (task->listing != LISTING_LATE)
		return true;
	return !is_exempt(task) &&
	       task->crashes + task->unsure_crashes >= CRASHES_SUSPECT;
}
