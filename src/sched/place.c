/* Placement: which task starts on which worker. */
#include "sched/internal.h"

#include <string.h>

/** Run numbers skipped because starts of an earlier owner may be unknown. */
#define RUN_GAP 16
/** Run numbers kept apart for each owner, whose starts the next one may not
 * know; more than the gap, so that a number tells who gave it. */
#define RUNS_PER_TERM 64
/* Weights of a worker's score for a task; its processor use counts up to 1. */
#define SCORE_SAME_RACK	      2.0
#define SCORE_MAINTENANCE_DUE 3.0
/** Lasting tasks share workers, so that others can be evacuated quickly. */
#define SCORE_LASTING_TOGETHER 1.5
#define SCORE_INTERFERENCE     4.0
#define SCORE_FAILED_BEFORE    20.0
#define SCORE_FAILING	       30.0

/** A late job that must start within this time has its last chance. */
#define LAST_CHANCE_MS 500
/** Part of the pool's processor for such jobs, as a divisor: callers who are
 *  served late are served at all, but all others come before most of them. */
#define LAST_CHANCE_SHARE 8
/** With more work waiting that can be in time, an overload goes on. */
#define BACKLOG_MAX_MS 600.0

/** Tasks of one lasting step that prefer to share a worker; more are spread. */
#define LASTING_PER_WORKER 2U

/** State of a job relative to its objective, in the order of placement. */
typedef enum urgency {
	URGENCY_LASTING,
	URGENCY_LAST_CHANCE, /**< Late, and must start now or miss its deadline.
			      */
	URGENCY_ON_TIME,
	URGENCY_LATE, /**< Will miss its objective but not its deadline. */
	URGENCY_EXPIRED, /**< Will miss its deadline. */
	URGENCY_COUNT
} urgency_t;

/** An occurrence that has tasks to start, with its sort key. */
typedef struct candidate {
	occurrence_t *occurrence;
	uint32_t priority;
	urgency_t urgency;
	int64_t key; /**< The lowest is placed first. */
	bool last_chance; /**< Late, and it can't wait any more. */
	/** Placed after the others: it exceeds the rate of jobs that its tenant
	 *  is owed, or will miss its deadline. */
	bool behind;
} candidate_t;

static bool has_waiting(const occurrence_t *occurrence);
static void set_urgency(candidate_t *candidate, bool tenants, int64_t now_ms);
static int compare_candidates(gconstpointer a, gconstpointer b);
static bool fits(const bw_resources_t *need, const worker_t *worker,
		 bool filler);
static uint32_t count_same_step(const worker_t *worker, const task_t *task);
static bool has_label(const worker_t *worker, const char *label);
static bool place_step(bw_sched_t *s, occurrence_t *occurrence, uint32_t step,
		       int64_t now_ms);

bool sched_step_ready(const occurrence_t *occurrence, uint32_t step)
{
	const bw_step_spec_t *spec = &occurrence->job->spec->steps[step];
	uint32_t i;

	for (i = 0; i < spec->after_count; i++)
		if (occurrence->steps[spec->after[i]].remaining > 0)
			return false;
	return true;
}

static bool has_waiting(const occurrence_t *occurrence)
{
	uint32_t i;

	for (i = 0; i < occurrence->job->spec->step_count; i++)
		if (occurrence->steps[i].waiting > 0 &&
		    sched_step_ready(occurrence, i))
			return true;
	return false;
}

/* Returns the longest estimated chain from the first step that is not done. */
static int64_t chain_left_ms(const occurrence_t *occurrence)
{
	uint32_t i;

	for (i = 0; i < occurrence->job->spec->step_count; i++)
		if (occurrence->steps[i].remaining > 0)
			return sched_chain_ms(occurrence->job, i);
	return 0;
}

/* Returns the work of all waiting tasks, in core-milliseconds. */
static double waiting_work(const occurrence_t *occurrence)
{
	const job_t *job = occurrence->job;
	double work = 0.0;
	uint32_t i;

	for (i = 0; i < job->spec->step_count; i++) {
		const bw_step_spec_t *step = &job->spec->steps[i];

		work += (double)occurrence->steps[i].waiting *
			(double)step->need.cpu_millis / 1000.0 *
			(double)sched_estimate_ms(job, step);
	}
	return work;
}

/*
 * Returns the waiting work times the time to the objective. Ordered by deadline
 * alone, all jobs would be slightly late in a long overload; ordered by work
 * alone, jobs that could wait would start too early.
 */
static int64_t on_time_key(const occurrence_t *occurrence, int64_t now_ms)
{
	double left_ms = (double)(occurrence->objective_ms - now_ms);

	return (int64_t)(waiting_work(occurrence) * left_ms / 1000.0);
}

static void set_urgency(candidate_t *candidate, bool tenants, int64_t now_ms)
{
	const occurrence_t *occurrence = candidate->occurrence;
	int64_t end_ms = now_ms + chain_left_ms(occurrence);

	candidate->priority = occurrence->job->queue->terms.priority;
	if (occurrence->job->lasting) {
		candidate->urgency = URGENCY_LASTING;
		candidate->key = occurrence->job->arrived_ms;
	} else if (end_ms <= occurrence->objective_ms) {
		candidate->urgency = URGENCY_ON_TIME;
		candidate->key = on_time_key(occurrence, now_ms);
	} else if (end_ms <= occurrence->deadline_ms) {
		candidate->urgency = URGENCY_LATE;
		candidate->key = occurrence->deadline_ms;
		candidate->last_chance =
			end_ms + LAST_CHANCE_MS > occurrence->deadline_ms;
	} else {
		candidate->urgency = URGENCY_EXPIRED;
		candidate->key = occurrence->due_ms;
	}
	/* Without tenants the order is by priority and urgency alone. */
	candidate->behind = occurrence->job->beyond ||
			    (tenants && candidate->urgency == URGENCY_EXPIRED);
}

static int compare_candidates(gconstpointer a, gconstpointer b)
{
	const candidate_t *x = a;
	const candidate_t *y = b;

	if ((x->urgency == URGENCY_LASTING) != (y->urgency == URGENCY_LASTING))
		return x->urgency == URGENCY_LASTING ? -1 : 1;
	if (x->behind != y->behind)
		return x->behind ? 1 : -1;
	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	if (x->urgency != y->urgency)
		return x->urgency < y->urgency ? -1 : 1;
	if (x->key != y->key)
		return x->key < y->key ? -1 : 1;
	if (x->occurrence->job != y->occurrence->job)
		return strcmp(x->occurrence->job->id, y->occurrence->job->id);
	return x->occurrence->number < y->occurrence->number ? -1 : 1;
}

static bool fits(const bw_resources_t *need, const worker_t *worker,
		 bool filler)
{
	const bw_resources_t *capacity = &worker->capacity;
	const bw_resources_t *used = &worker->used;

	return (filler ||
		used->cpu_millis + need->cpu_millis <= capacity->cpu_millis) &&
	       used->mem_mb + need->mem_mb <= capacity->mem_mb &&
	       used->gpus + need->gpus <= capacity->gpus;
}

static uint32_t count_same_step(const worker_t *worker, const task_t *task)
{
	uint32_t count = 0;
	guint i;

	for (i = 0; i < worker->tasks->len; i++) {
		const task_t *other = g_ptr_array_index(worker->tasks, i);

		if (other->occurrence == task->occurrence &&
		    other->step == task->step)
			count++;
	}
	return count;
}

static bool has_label(const worker_t *worker, const char *label)
{
	return worker->labels &&
	       g_strv_contains((const gchar *const *)worker->labels, label);
}

bool sched_suits(const worker_t *worker, const task_t *task, int64_t now_ms)
{
	const bw_step_spec_t *spec = sched_task_step(task);

	if (spec->label && !has_label(worker, spec->label))
		return false;
	if (sched_is_on_trial(worker, task))
		return false;
	if (spec->per_worker_max > 0 &&
	    count_same_step(worker, task) >= spec->per_worker_max)
		return false;
	return !task->occurrence->job->queue->terms.advised ||
	       sched_ticket(task, worker, now_ms) != NULL;
}

bool sched_is_allowed(const worker_t *worker, const task_t *task,
		      int64_t now_ms)
{
	const bw_step_spec_t *spec = sched_task_step(task);

	return fits(&spec->need, worker, spec->filler) &&
	       sched_suits(worker, task, now_ms);
}

/* Whether a filler would share the worker with a latency-bound task. */
static bool interferes(const worker_t *worker, const bw_step_spec_t *spec)
{
	guint i;

	if (!spec->filler && spec->tail_ms_max == 0)
		return false;
	for (i = 0; i < worker->tasks->len; i++) {
		const bw_step_spec_t *other =
			sched_task_step(g_ptr_array_index(worker->tasks, i));

		if (spec->filler ? other->tail_ms_max > 0 : other->filler)
			return true;
	}
	return false;
}

static double score_worker(const worker_t *worker, const task_t *task)
{
	const bw_step_spec_t *spec = sched_task_step(task);
	double score = (double)worker->used.cpu_millis /
		       (double)MAX(worker->capacity.cpu_millis, 1);

	/* Fillers use the processor that other tasks leave free. */
	if (spec->filler)
		score = -score;
	if (spec->rack && !g_strcmp0(spec->rack, worker->rack))
		score += SCORE_SAME_RACK;
	if (worker->placement_class == PLACEMENT_MAINTENANCE_DUE)
		score -= SCORE_MAINTENANCE_DUE;
	if (spec->lasting && sched_count_lasting(worker) > 0 &&
	    count_same_step(worker, task) < LASTING_PER_WORKER)
		score += SCORE_LASTING_TOGETHER;
	if (interferes(worker, spec))
		score -= SCORE_INTERFERENCE;
	if (task->failed_worker == worker->number)
		score -= SCORE_FAILED_BEFORE;
	if (worker->placement_class == PLACEMENT_FAILING)
		score -= SCORE_FAILING;
	return score;
}

/* Scans all workers: few tasks have a score that depends on other tasks. */
static worker_t *pick_by_score(bw_sched_t *s, const task_t *task,
			       int64_t now_ms)
{
	worker_t *best = NULL;
	double best_score = 0.0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		worker_t *worker = value;
		double worker_score;

		if (!sched_worker_usable(s, worker, now_ms) ||
		    !sched_is_allowed(worker, task, now_ms))
			continue;
		worker_score = score_worker(worker, task);
		if (!best || worker_score > best_score) {
			best = worker;
			best_score = worker_score;
		}
	}
	return best;
}

/** A search for a worker for a task. */
typedef struct search {
	bw_sched_t *s;
	const task_t *task;
	int64_t now_ms;
	bool spares_waited; /**< Not in a rack that others wait for. */
	worker_t *fallback; /**< Suitable, but the task failed on it last. */
} search_t;

static bool is_suitable(void *ctx, worker_t *worker)
{
	search_t *search = ctx;

	if (!sched_worker_usable(search->s, worker, search->now_ms) ||
	    !sched_is_allowed(worker, search->task, search->now_ms))
		return false;
	if (search->spares_waited && sched_is_waited_for(search->s, worker))
		return false;
	if (search->task->failed_worker != worker->number)
		return true;
	search->fallback = worker;
	return false;
}

/* Searches among workers of a class, first outside the racks that tasks wait
 * for. */
static worker_t *search_sparing(search_t *search, GTree *tree,
				placement_class_t class)
{
	int64_t need_millis = sched_task_step(search->task)->need.cpu_millis;
	worker_t *worker = NULL;

	if (sched_any_waited_for(search->s)) {
		search->spares_waited = true;
		worker = sched_index_search(tree, class, need_millis,
					    is_suitable, search);
		search->spares_waited = false;
	}
	return worker ? worker
		      : sched_index_search(tree, class, need_millis,
					   is_suitable, search);
}

/*
 * Returns the worker with the least free processor that a task fits on, if
 * possible in the rack of its data; NULL if there is none.
 */
static worker_t *pick_worker(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	const bw_step_spec_t *spec = sched_task_step(task);
	search_t search = { .s = s, .task = task, .now_ms = now_ms };
	GTree *same_rack = sched_index_by_rack(s->index, spec->rack);
	GTree *all = sched_index_by_label(s->index, spec->label);
	worker_t *worker = NULL;
	int class;

	if (sched_is_suspect(task))
		return sched_pick_isolated(s, task, now_ms);
	if (spec->lasting || spec->filler || spec->tail_ms_max > 0)
		return pick_by_score(s, task, now_ms);
	for (class = PLACEMENT_NORMAL; !worker && class < PLACEMENT_FAILING;
	     class ++) {
		worker = sched_index_search(
			same_rack, (placement_class_t) class,
			spec->need.cpu_millis, is_suitable, &search);
		if (!worker)
			worker = search_sparing(&search, all,
						(placement_class_t) class);
	}
	if (!worker)
		worker = search.fallback;
	if (!worker)
		worker = sched_index_search(all, PLACEMENT_FAILING,
					    spec->need.cpu_millis, is_suitable,
					    &search);
	return worker ? worker : search.fallback;
}

/* Takes the room for a task on a worker; sched_detach() gives it back. */
static void hold_room(bw_sched_t *s, task_t *task, worker_t *worker)
{
	sched_isolation_changed(s);
	sched_attach(task, worker);
}

/* Gives a run to a task that has its room. */
static void begin_run(task_t *task, uint32_t run, int64_t now_ms)
{
	sched_step_state(task)->waiting--;
	task->state = TASK_STARTING;
	sched_note_place(task);
	task->run = run;
	task->hidden_runs += task->run_missed;
	task->run_missed = false;
	task->maybe_running = false;
	task->confirm_version = 0;
	task->ordered_ms = now_ms;
	task->copies = 0;
	task->start_answered_ms = 0;
	task->start_accepted = false;
	task->percent = 100;
	task->ready = false;
	task->stop_possible_until_ms = 0;
	sched_begin_run(task, task->worker);
}

/* Two owners in a row must not give the same number to a task of which neither
 * has stored a run: the failures of both would count as one. */
static uint32_t next_run(const bw_sched_t *s, const task_t *task)
{
	uint32_t first = (uint32_t)(s->term - 1) * RUNS_PER_TERM + 1;

	if (!task->maybe_running)
		return task->run + 1;
	return MAX(task->run + 1 + RUN_GAP, first);
}

static void order_start(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	job_t *job = task->occurrence->job;

	task->isolate_since_ms = 0;
	if (!job->start_ordered) {
		job->start_ordered = true;
		sched_changed(s, false);
	}
	task->start_in_flight = true;
	bw_start_window_sent(s->start_window);
	sched_send_start(s, task, now_ms);
}

/*
 * Whether the failures that are not known yet may be the last that the queue
 * allows. Runs are numbered from 1, so that no more have failed than the number
 * of the last one.
 */
static bool may_lack_attempts(const task_t *task)
{
	uint32_t attempts_max =
		task->occurrence->job->queue->terms.attempts_max;

	return task->ends_unknown && !sched_task_step(task)->lasting &&
	       attempts_max > 0 && task->run >= attempts_max;
}

static bool task_startable(const bw_sched_t *s, task_t *task, int64_t now_ms)
{
	if (task->state != TASK_WAITING || now_ms < task->retry_ms ||
	    sched_has_orphan(s, task) || sched_is_held(s, task) ||
	    sched_crashes_pending(s, task) || !sched_restart_confirmed(s, task))
		return false;
	return s->recovered ||
	       (!task->maybe_running && !may_lack_attempts(task));
}

/* Whether a member of a gang may run on a worker that is not heard yet. */
static bool any_unheard(const bw_sched_t *s, const task_t *tasks,
			uint32_t count)
{
	uint32_t i;

	for (i = 0; !s->recovered && i < count; i++)
		if (tasks[i].state == TASK_WAITING && tasks[i].maybe_running)
			return true;
	return false;
}

/* Stops the running members of a gang: they can't work without the others. The
 * number of one that is held is still needed for a question. */
static void stop_incomplete(bw_sched_t *s, task_t *tasks, uint32_t count,
			    int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (tasks[i].worker && !tasks[i].done &&
		    !sched_is_in_doubt(&tasks[i]))
			sched_stop_task(s, &tasks[i], now_ms);
}

/* The members start from one checkpoint; that of any of them is valid for all.
 */
static void share_checkpoint(task_t *tasks, uint32_t count)
{
	const char *shared = NULL;
	uint32_t i;

	for (i = 0; i < count && !shared; i++)
		shared = tasks[i].checkpoint;
	for (i = 0; i < count; i++) {
		if (tasks[i].checkpoint == shared)
			continue;
		g_free(tasks[i].checkpoint);
		tasks[i].checkpoint = g_strdup(shared);
	}
}

static void give_back_room(bw_sched_t *s, task_t *tasks, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		sched_detach(&tasks[i]);
	sched_isolation_changed(s);
}

/* Returns a worker in a rack that a member of a gang fits on; NULL: none. */
static worker_t *pick_in_rack(bw_sched_t *s, const task_t *task,
			      const char *rack, int64_t now_ms)
{
	const bw_step_spec_t *spec = sched_task_step(task);
	search_t search = { .s = s, .task = task, .now_ms = now_ms };

	return sched_index_search(sched_index_by_rack(s->index, rack),
				  PLACEMENT_NORMAL, spec->need.cpu_millis,
				  is_suitable, &search);
}

/* Takes the room for all members of a gang or for none; false if one has none.
 * Without a rack they may be on any. */
static bool hold_members(bw_sched_t *s, task_t *tasks, uint32_t count,
			 const char *rack, int64_t now_ms)
{
	uint32_t placed;

	for (placed = 0; placed < count; placed++) {
		task_t *task = &tasks[placed];
		worker_t *worker = rack ? pick_in_rack(s, task, rack, now_ms)
					: pick_worker(s, task, now_ms);

		if (!worker)
			break;
		hold_room(s, task, worker);
	}
	if (placed == count)
		return true;
	give_back_room(s, tasks, placed);
	return false;
}

/* Takes the room for a gang that is slower over several racks, unless it waits
 * for room on one. */
static bool hold_near_members(bw_sched_t *s, task_t *tasks, uint32_t count,
			      int64_t now_ms)
{
	const bw_step_spec_t *spec = sched_task_step(tasks);
	const char *own[] = { spec->rack, NULL };
	const char **all = sched_index_racks(s->index);
	const char *const *racks = spec->rack ? own : all;
	bool held = false;
	uint32_t i;

	for (i = 0; racks[i] && !held; i++)
		held = hold_members(s, tasks, count, racks[i], now_ms);
	if (!held && !sched_gang_wait_pays(s, tasks, count, racks, now_ms))
		held = hold_members(s, tasks, count, NULL, now_ms);
	g_free(all);
	return held;
}

static bool hold_gang(bw_sched_t *s, task_t *tasks, uint32_t count,
		      int64_t now_ms)
{
	if (sched_wants_one_rack(s, tasks, count))
		return hold_near_members(s, tasks, count, now_ms);
	return hold_members(s, tasks, count, NULL, now_ms);
}

/* Starts all tasks of a gang or none; false if there was no worker for one. */
static bool place_gang(bw_sched_t *s, occurrence_t *occurrence, uint32_t step,
		       int64_t now_ms)
{
	step_state_t *state = &occurrence->steps[step];
	uint32_t count = occurrence->job->spec->steps[step].count;
	task_t *tasks = &occurrence->tasks[state->first_task];
	uint32_t run = 0;
	uint32_t i;

	if (state->waiting < count) {
		if (!any_unheard(s, tasks, count))
			stop_incomplete(s, tasks, count, now_ms);
		return true;
	}
	if (!bw_start_window_open(s->start_window))
		return true;
	if (!sched_quota_allows(s, occurrence->job,
				&occurrence->job->spec->steps[step], count,
				now_ms))
		return true;
	for (i = 0; i < count; i++) {
		if (!task_startable(s, &tasks[i], now_ms))
			return true;
		run = MAX(run, next_run(s, &tasks[i]));
	}
	if (!hold_gang(s, tasks, count, now_ms))
		return false;
	sched_isolation_changed(s);
	share_checkpoint(tasks, count);
	for (i = 0; i < count; i++) {
		begin_run(&tasks[i], run, now_ms);
		order_start(s, &tasks[i], now_ms);
	}
	return true;
}

static void ask_for_stored_holds(bw_sched_t *s, task_t *tasks, uint32_t count,
				 int64_t now_ms)
{
	uint32_t i;

	for (i = 0; s->holds->len > 0 && i < count; i++)
		if (sched_is_held(s, &tasks[i]))
			sched_ask_for_stored_hold(s, &tasks[i], now_ms);
}

/* Starts waiting tasks of a step; false if there was no worker for one. */
static bool place_step(bw_sched_t *s, occurrence_t *occurrence, uint32_t step,
		       int64_t now_ms)
{
	const bw_step_spec_t *spec = &occurrence->job->spec->steps[step];
	step_state_t *state = &occurrence->steps[step];
	uint32_t i;

	if (occurrence->job->queue->terms.advised)
		sched_request_advice(s, occurrence, step, now_ms);
	ask_for_stored_holds(s, &occurrence->tasks[state->first_task],
			     spec->count, now_ms);
	if (spec->gang)
		return place_gang(s, occurrence, step, now_ms);
	for (i = 0; i < spec->count && state->waiting > 0 &&
		    bw_start_window_open(s->start_window);
	     i++) {
		task_t *task = &occurrence->tasks[state->first_task + i];
		worker_t *worker;

		if (!task_startable(s, task, now_ms))
			continue;
		if (sched_turn_over(s))
			return true;
		if (!sched_quota_allows(s, occurrence->job, spec, 1, now_ms))
			return true;
		worker = pick_worker(s, task, now_ms);
		if (!worker && sched_is_suspect(task))
			continue;
		if (!worker)
			return false;
		if (sched_wait_pays(s, task, worker, now_ms))
			continue;
		hold_room(s, task, worker);
		begin_run(task, next_run(s, task), now_ms);
		order_start(s, task, now_ms);
	}
	return true;
}

static GArray *list_candidates(bw_sched_t *s, int64_t now_ms)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, s->startable);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		candidate_t candidate = { .occurrence = key };

		if (candidate.occurrence->job->finished_version > 0 ||
		    !has_waiting(candidate.occurrence)) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (candidate.occurrence->job->confirm_version >
		    s->saved_version)
			continue;
		set_urgency(&candidate, s->tenants->configured > 0, now_ms);
		g_array_append_val(list, candidate);
	}
	g_array_sort(list, compare_candidates);
	return list;
}

/* Returns the processor of the tasks that a job could start now. */
static int64_t startable_millis(const occurrence_t *occurrence)
{
	const bw_job_spec_t *spec = occurrence->job->spec;
	int64_t millis = 0;
	uint32_t i;

	for (i = 0; i < spec->step_count; i++)
		if (sched_step_ready(occurrence, i))
			millis += spec->steps[i].need.cpu_millis *
				  occurrence->steps[i].waiting;
	return millis;
}

/* Returns how long the pool would need for the waiting jobs that are in time.
 */
static double on_time_backlog_ms(const bw_sched_t *s, const GArray *list)
{
	double work = 0.0;
	guint i;

	for (i = 0; i < list->len; i++) {
		const candidate_t *candidate =
			&g_array_index(list, candidate_t, i);

		if (candidate->urgency == URGENCY_ON_TIME && !candidate->behind)
			work += waiting_work(candidate->occurrence);
	}
	return 1000.0 * work / (double)MAX(s->capacity_millis, 1);
}

static bool any_last_chance(const GArray *list)
{
	guint i;

	for (i = 0; i < list->len; i++)
		if (g_array_index(list, candidate_t, i).last_chance)
			return true;
	return false;
}

/* Lets jobs with their last chance go first, as far as their share reaches. */
static void promote_last_chances(bw_sched_t *s, GArray *list)
{
	int64_t left_millis =
		s->capacity_millis / LAST_CHANCE_SHARE - s->last_chance_millis;
	bool promoted = false;
	guint i;

	if (!any_last_chance(list) ||
	    on_time_backlog_ms(s, list) > BACKLOG_MAX_MS)
		return;
	for (i = 0; i < list->len && left_millis > 0; i++) {
		candidate_t *candidate = &g_array_index(list, candidate_t, i);
		int64_t millis;

		if (!candidate->last_chance || candidate->behind)
			continue;
		millis = startable_millis(candidate->occurrence);
		if (millis > left_millis)
			continue;
		left_millis -= millis;
		candidate->occurrence->last_chance = true;
		candidate->urgency = URGENCY_LAST_CHANCE;
		promoted = true;
	}
	if (promoted)
		g_array_sort(list, compare_candidates);
}

/* Adds up the pool's processor, and the part that last chances use. */
void sched_measure_last_chances(bw_sched_t *s)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	s->capacity_millis = 0;
	s->last_chance_millis = 0;
	s->tenants->capacity = (bw_resources_t){ 0 };
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const worker_t *worker = value;

		if (worker->registered && !worker->dead) {
			s->capacity_millis += worker->capacity.cpu_millis;
			sched_tenants_add_room(s, &worker->capacity);
		}
		for (i = 0; i < worker->tasks->len; i++) {
			const task_t *task =
				g_ptr_array_index(worker->tasks, i);

			if (task->occurrence->last_chance)
				s->last_chance_millis +=
					sched_task_step(task)->need.cpu_millis;
		}
	}
}

static void place_steps(bw_sched_t *s, occurrence_t *occurrence, int64_t now_ms)
{
	uint32_t step;

	for (step = 0;
	     step < occurrence->job->spec->step_count && !s->tenants->yielded;
	     step++)
		if (occurrence->steps[step].waiting > 0 &&
		    sched_step_ready(occurrence, step))
			place_step(s, occurrence, step, now_ms);
}

/* Whether two jobs differ only in their keys; among such jobs the tenants take
 * turns. */
static bool is_same_class(const candidate_t *x, const candidate_t *y)
{
	return x->behind == y->behind && x->priority == y->priority &&
	       x->urgency == y->urgency;
}

/* Places jobs of one class; each tenant's in their order. */
static void place_class(bw_sched_t *s, const GArray *list, guint first,
			guint end, int64_t now_ms)
{
	tenants_t *tenants = s->tenants;
	occurrence_t *occurrence;
	guint i;

	bw_fair_begin(tenants->fair, &tenants->capacity);
	for (i = first; i < end; i++) {
		occurrence = g_array_index(list, candidate_t, i).occurrence;
		bw_fair_add(tenants->fair,
			    sched_tenant_party(s, occurrence->job), occurrence);
	}
	while ((occurrence = bw_fair_next(tenants->fair))) {
		tenants->yielded = false;
		place_steps(s, occurrence, now_ms);
		if (tenants->yielded)
			bw_fair_put_back(tenants->fair);
	}
}

static void place_in_turns(bw_sched_t *s, const GArray *list, int64_t now_ms)
{
	guint first = 0;
	guint end;

	s->tenants->in_turn = true;
	for (; first < list->len; first = end) {
		for (end = first + 1;
		     end < list->len &&
		     is_same_class(&g_array_index(list, candidate_t, first),
				   &g_array_index(list, candidate_t, end));
		     end++)
			;
		place_class(s, list, first, end, now_ms);
	}
	s->tenants->in_turn = false;
	s->tenants->yielded = false;
}

void sched_place(bw_sched_t *s, int64_t now_ms)
{
	GArray *list = list_candidates(s, now_ms);
	guint i;

	promote_last_chances(s, list);
	sched_isolation_changed(s);
	sched_tenants_count(s, now_ms);
	sched_near_changed(s);
	if (s->tenants->configured > 0)
		place_in_turns(s, list, now_ms);
	else
		for (i = 0; i < list->len; i++)
			place_steps(
				s,
				g_array_index(list, candidate_t, i).occurrence,
				now_ms);
	g_array_free(list, TRUE);
}
