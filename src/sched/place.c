#include "sched/internal.h"

#include <string.h>

/** Gap in run numbers after starts of an earlier owner that we can't know. */
#define RUN_GAP 16
/* Weights of a worker's merit for a task that lasts; use counts up to 1. */
#define MERIT_RACK 2.0
#define MERIT_DUE  3.0
/** Tasks that last share workers, so that others can be emptied soon. */
#define MERIT_LASTING	  1.5
#define MERIT_DISTURBANCE 4.0
#define MERIT_FAILED	  20.0
#define MERIT_SICK	  30.0

/** Tasks of one lasting step that share a worker; more are spread. */
#define LASTING_TOGETHER 2U

/** How a job stands towards its objective; the first class goes first. */
typedef enum urgency {
	URGENCY_LASTING,
	URGENCY_IN_TIME,
	URGENCY_LATE, /**< Can't reach its objective, but is worth something. */
	URGENCY_OVER,
	URGENCY_COUNT
} urgency_t;

/** An occurrence that has tasks to start, with its place in the order. */
typedef struct candidate {
	occurrence_t *occurrence;
	uint32_t priority;
	urgency_t urgency;
	int64_t key; /**< Lower goes first. */
} candidate_t;

static bool has_waiting(const occurrence_t *occurrence);
static void rank(candidate_t *candidate, int64_t now_ms);
static int compare(gconstpointer a, gconstpointer b);
static bool fits(const bw_resources_t *need, const worker_t *worker,
		 bool filler);
static uint32_t count_same_step(const worker_t *worker, const task_t *task);
static bool has_label(const worker_t *worker, const char *label);
static bool allowed(const worker_t *worker, const task_t *task, int64_t now_ms);
static bool place_step(bw_sched_t *s, occurrence_t *occurrence, uint32_t step,
		       int64_t now_ms);

bool sched_step_ready(const occurrence_t *occurrence, uint32_t step)
{
	const bw_step_spec_t *spec = &occurrence->job->spec->steps[step];
	uint32_t i;

	for (i = 0; i < spec->after_count; i++)
		if (occurrence->steps[spec->after[i]].left > 0)
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

/* Longest chain of what is left, from the first step that is not done. */
static int64_t chain_left_ms(const occurrence_t *occurrence)
{
	uint32_t i;

	for (i = 0; i < occurrence->job->spec->step_count; i++)
		if (occurrence->steps[i].left > 0)
			return sched_chain_ms(occurrence->job, i);
	return 0;
}

/* Work of an occurrence that has not begun, in core-milliseconds. */
static double work_waiting(const occurrence_t *occurrence)
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
 * Of jobs that can be in time, the one with little work and little time goes
 * first: by deadlines alone, a long overload makes all jobs late by a little;
 * by work alone, jobs that had time get it too early.
 */
static int64_t in_time_key(const occurrence_t *occurrence, int64_t now_ms)
{
	double left_ms = (double)(occurrence->objective_ms - now_ms);

	return (int64_t)(work_waiting(occurrence) * left_ms / 1000.0);
}

static void rank(candidate_t *candidate, int64_t now_ms)
{
	const occurrence_t *at = candidate->occurrence;
	int64_t ready_ms = now_ms + chain_left_ms(at);

	candidate->priority = at->job->queue->priority;
	if (at->job->lasting) {
		candidate->urgency = URGENCY_LASTING;
		candidate->key = at->job->arrived_ms;
	} else if (ready_ms <= at->objective_ms) {
		candidate->urgency = URGENCY_IN_TIME;
		candidate->key = in_time_key(at, now_ms);
	} else if (ready_ms <= at->late_ms) {
		candidate->urgency = URGENCY_LATE;
		candidate->key = at->late_ms;
	} else {
		candidate->urgency = URGENCY_OVER;
		candidate->key = at->due_ms;
	}
}

static int compare(gconstpointer a, gconstpointer b)
{
	const candidate_t *x = a;
	const candidate_t *y = b;

	if ((x->urgency == URGENCY_LASTING) != (y->urgency == URGENCY_LASTING))
		return x->urgency == URGENCY_LASTING ? -1 : 1;
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
	const bw_resources_t *room = &worker->room;
	const bw_resources_t *used = &worker->used;

	return (filler ||
		used->cpu_millis + need->cpu_millis <= room->cpu_millis) &&
	       used->mem_mb + need->mem_mb <= room->mem_mb &&
	       used->gpus + need->gpus <= room->gpus;
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

static const char *ticket_of(const task_t *task, const worker_t *worker,
			     int64_t now_ms)
{
	const step_state_t *state = &task->occurrence->steps[task->step];

	if (!state->tickets || now_ms >= state->tickets_until_ms)
		return NULL;
	return g_hash_table_lookup(state->tickets, worker->id);
}

static bool allowed(const worker_t *worker, const task_t *task, int64_t now_ms)
{
	const bw_step_spec_t *spec = sched_task_step(task);

	if (!fits(&spec->need, worker, spec->filler))
		return false;
	if (spec->label && !has_label(worker, spec->label))
		return false;
	if (spec->per_worker_max > 0 &&
	    count_same_step(worker, task) >= spec->per_worker_max)
		return false;
	return !task->occurrence->job->queue->advised ||
	       ticket_of(task, worker, now_ms) != NULL;
}

/* Whether a task would disturb, or be disturbed by, what a worker runs. */
static bool disturbs(const worker_t *worker, const bw_step_spec_t *spec)
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

static double merit(const worker_t *worker, const task_t *task)
{
	const bw_step_spec_t *spec = sched_task_step(task);
	double value = (double)worker->used.cpu_millis /
		       (double)MAX(worker->room.cpu_millis, 1);

	/* Fillers use what others leave. */
	if (spec->filler)
		value = -value;
	if (spec->rack && !g_strcmp0(spec->rack, worker->rack))
		value += MERIT_RACK;
	if (worker->fit_class == FIT_DUE)
		value -= MERIT_DUE;
	if (spec->lasting && sched_count_lasting(worker) > 0 &&
	    count_same_step(worker, task) < LASTING_TOGETHER)
		value += MERIT_LASTING;
	if (disturbs(worker, spec))
		value -= MERIT_DISTURBANCE;
	if (task->failed_at == worker)
		value -= MERIT_FAILED;
	if (worker->fit_class == FIT_SICK)
		value -= MERIT_SICK;
	return value;
}

/* For tasks whose merit depends on what else a worker runs; they are few. */
static worker_t *pick_by_merit(bw_sched_t *s, const task_t *task,
			       int64_t now_ms)
{
	worker_t *best = NULL;
	double best_merit = 0.0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		worker_t *worker = value;
		double value_here;

		if (!sched_worker_usable(s, worker, now_ms) ||
		    !allowed(worker, task, now_ms))
			continue;
		value_here = merit(worker, task);
		if (!best || value_here > best_merit) {
			best = worker;
			best_merit = value_here;
		}
	}
	return best;
}

/** A walk over workers that might take a task. */
typedef struct search {
	bw_sched_t *s;
	const task_t *task;
	int64_t now_ms;
	worker_t *second; /**< Fits, but the task failed there before. */
} search_t;

static bool suits(void *ctx, worker_t *worker)
{
	search_t *search = ctx;

	if (!sched_worker_usable(search->s, worker, search->now_ms) ||
	    !allowed(worker, search->task, search->now_ms))
		return false;
	if (search->task->failed_at != worker)
		return true;
	search->second = worker;
	return false;
}

/* The fullest worker that a task fits on, near its data if it can be. */
static worker_t *pick(bw_sched_t *s, const task_t *task, int64_t now_ms)
{
	const bw_step_spec_t *spec = sched_task_step(task);
	search_t search = { .s = s, .task = task, .now_ms = now_ms };
	GTree *near = sched_fit_rack(s->fit, spec->rack);
	GTree *all = sched_fit_tree(s->fit, spec->label);
	worker_t *worker = NULL;
	int class;

	if (spec->lasting || spec->filler || spec->tail_ms_max > 0)
		return pick_by_merit(s, task, now_ms);
	for (class = FIT_GOOD; !worker && class < FIT_SICK; class ++) {
		worker = sched_fit_walk(near, (fit_class_t) class,
					spec->need.cpu_millis, suits, &search);
		if (!worker)
			worker = sched_fit_walk(all, (fit_class_t) class,
						spec->need.cpu_millis, suits,
						&search);
	}
	if (!worker)
		worker = search.second;
	if (!worker)
		worker = sched_fit_walk(all, FIT_SICK, spec->need.cpu_millis,
					suits, &search);
	return worker ? worker : search.second;
}

static void reserve(task_t *task, worker_t *worker, uint32_t run,
		    int64_t now_ms)
{
	sched_step_state(task)->waiting--;
	task->state = TASK_STARTING;
	task->run = run;
	task->suspect = false;
	task->ordered_ms = now_ms;
	task->answered_ms = 0;
	task->percent = 100;
	task->at_work = false;
	sched_attach(task, worker);
}

static uint32_t next_run(const task_t *task)
{
	return task->run + 1 + (task->suspect ? RUN_GAP : 0);
}

static void order_start(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	worker_t *worker = task->at;
	job_t *job = task->occurrence->job;
	bw_start_order_t order = {
		.worker = worker->id,
		.address = worker->address,
		.run = task->run,
		.text = job->spec->text,
		.grant_clock_ms = sched_grant_clock(s, worker, now_ms),
		.fence = s->config.fence,
		.checkpoint = task->checkpoint,
		.ticket = ticket_of(task, worker, now_ms),
		.waited_ms = now_ms - task->occurrence->due_ms,
	};

	sched_task_name(task, &order.task);
	worker->granted_clock_ms =
		MAX(worker->granted_clock_ms, order.grant_clock_ms);
	if (!job->ordered) {
		job->ordered = true;
		sched_changed(s, false);
	}
	sched_log(s, BW_EVENT_SCHED_START,
		  "job=%s step=%u index=%u run=%u worker=%s "
		  "wait_ms=%" G_GINT64_FORMAT " heard_ms=%" G_GINT64_FORMAT,
		  job->id, task->step, task->index, task->run, worker->id,
		  now_ms - task->occurrence->due_ms, now_ms - worker->heard_ms);
	s->ops.start(s->ctx, &order);
}

static bool startable(const bw_sched_t *s, const task_t *task, int64_t now_ms)
{
	return task->state == TASK_WAITING && now_ms >= task->retry_ms &&
	       (s->settled || !task->suspect);
}

/* Members that run while others wait would wait for them in vain. */
static void stop_incomplete(bw_sched_t *s, task_t *tasks, uint32_t count,
			    int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (tasks[i].at && !tasks[i].done)
			sched_stop_task(s, &tasks[i], now_ms);
}

/* Places all tasks of a gang, or none. */
static bool place_gang(bw_sched_t *s, occurrence_t *occurrence, uint32_t step,
		       int64_t now_ms)
{
	step_state_t *state = &occurrence->steps[step];
	uint32_t count = occurrence->job->spec->steps[step].count;
	task_t *tasks = &occurrence->tasks[state->first];
	uint32_t run = 0;
	uint32_t placed;
	uint32_t i;

	if (state->waiting < count) {
		stop_incomplete(s, tasks, count, now_ms);
		return true;
	}
	for (i = 0; i < count; i++) {
		if (!startable(s, &tasks[i], now_ms))
			return true;
		run = MAX(run, next_run(&tasks[i]));
	}
	for (placed = 0; placed < count; placed++) {
		worker_t *worker = pick(s, &tasks[placed], now_ms);

		if (!worker)
			break;
		reserve(&tasks[placed], worker, run, now_ms);
	}
	for (i = 0; placed < count && i < placed; i++)
		sched_task_wait(&tasks[i]);
	for (i = 0; placed == count && i < count; i++)
		order_start(s, &tasks[i], now_ms);
	return placed == count;
}

static GPtrArray *usable_workers(bw_sched_t *s, int64_t now_ms)
{
	GPtrArray *workers = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (sched_worker_usable(s, value, now_ms))
			g_ptr_array_add(workers, value);
	return workers;
}

static void ask_advice(bw_sched_t *s, occurrence_t *occurrence, uint32_t step,
		       int64_t now_ms)
{
	step_state_t *state = &occurrence->steps[step];
	bw_task_name_t name = { .occurrence = occurrence->number,
				.step = step };
	GPtrArray *workers;
	const char **ids;
	guint i;

	if (state->asked ||
	    (state->tickets && now_ms < state->tickets_until_ms))
		return;
	workers = usable_workers(s, now_ms);
	g_strlcpy(name.job, occurrence->job->id, sizeof(name.job));
	ids = g_new0(const char *, workers->len + 1);
	for (i = 0; i < workers->len; i++)
		ids[i] = ((worker_t *)g_ptr_array_index(workers, i))->id;
	state->asked = true;
	s->ops.advise(s->ctx, &name, ids, workers->len);
	g_free(ids);
	g_ptr_array_free(workers, TRUE);
}

/* Starts what fits of a step; false if a task found no worker. */
static bool place_step(bw_sched_t *s, occurrence_t *occurrence, uint32_t step,
		       int64_t now_ms)
{
	const bw_step_spec_t *spec = &occurrence->job->spec->steps[step];
	step_state_t *state = &occurrence->steps[step];
	uint32_t i;

	if (occurrence->job->queue->advised)
		ask_advice(s, occurrence, step, now_ms);
	if (spec->gang)
		return place_gang(s, occurrence, step, now_ms);
	for (i = 0; i < spec->count && state->waiting > 0; i++) {
		task_t *task = &occurrence->tasks[state->first + i];
		worker_t *worker;

		if (!startable(s, task, now_ms))
			continue;
		worker = pick(s, task, now_ms);
		if (!worker)
			return false;
		reserve(task, worker, next_run(task), now_ms);
		order_start(s, task, now_ms);
	}
	return true;
}

static GArray *candidates(bw_sched_t *s, int64_t now_ms)
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
		rank(&candidate, now_ms);
		g_array_append_val(list, candidate);
	}
	g_array_sort(list, compare);
	return list;
}

void sched_place(bw_sched_t *s, int64_t now_ms)
{
	GArray *list = candidates(s, now_ms);
	uint32_t step;
	guint i;

	for (i = 0; i < list->len; i++) {
		occurrence_t *at =
			g_array_index(list, candidate_t, i).occurrence;

		for (step = 0; step < at->job->spec->step_count; step++)
			if (at->steps[step].waiting > 0 &&
			    sched_step_ready(at, step))
				place_step(s, at, step, now_ms);
	}
	g_array_free(list, TRUE);
}

void bw_sched_advised(bw_sched_t *s, int64_t now_ms, const bw_task_name_t *step,
		      const char *const *workers, const char *const *tickets,
		      uint32_t count, int64_t valid_ms)
{
	bw_task_name_t first = *step;
	step_state_t *state;
	task_t *task;
	uint32_t i;

	first.index = 0;
	task = sched_find_task(s, &first);
	if (!task)
		return;
	state = sched_step_state(task);
	state->asked = false;
	if (state->tickets)
		g_hash_table_destroy(state->tickets);
	state->tickets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (i = 0; i < count; i++)
		g_hash_table_insert(state->tickets, g_strdup(workers[i]),
				    g_strdup(tickets[i]));
	state->tickets_until_ms = now_ms + valid_ms;
}
