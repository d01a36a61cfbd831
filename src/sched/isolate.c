/*
 * Where tasks run next that may have crashed a worker. A suspect starts where
 * nothing else has started lately, so that a second crash leaves nothing else
 * to blame.
 */
#include "sched/internal.h"

/** A suspect waits this long for a machine that has not crashed lately. */
#define SOUND_MACHINE_WAIT_MS 1000
/** A suspect waits this long for a worker on which a crash tells it alone; then
 *  it starts beside others. */
#define ISOLATION_WAIT_MS 4000
/** Time between two searches for a suspect's worker: a crash can leave many
 *  suspects. */
#define SEARCH_INTERVAL_MS 20
/** A suspect starts only while less than this part of the workers, as a
 *  divisor, waits for other suspects. */
#define TRIALS_SHARE 2

/** How well a worker suits a suspect; the lowest is the best. */
typedef enum isolation {
	ISOLATION_SOUND,
	ISOLATION_CRASHED_LATELY,
	ISOLATION_NONE, /**< A crash would tell little. */
	ISOLATION_COUNT
} isolation_t;

/** A worker that can be used. */
typedef struct place {
	worker_t *worker;
	bool crashed; /**< Its machine has, lately. */
	bool isolated; /**< No run on it may crash it. */
} place_t;

static bool same_gang(const task_t *a, const task_t *b);
static bool is_isolated(const worker_t *worker, const task_t *task);
static bool is_better(const worker_t *worker, const worker_t *best,
		      const task_t *task);
static bool any_may_crash(const worker_t *worker);
static void look_at_workers(bw_sched_t *s, int64_t now_ms);
static isolation_t isolation_of(const place_t *place, const task_t *task);
static void search_isolated(const bw_sched_t *s, const task_t *task, bool any,
			    int64_t now_ms, worker_t *best[ISOLATION_COUNT]);
static bool too_many_on_trial(const bw_sched_t *s);

void sched_isolation_init(bw_sched_t *s)
{
	s->isolation.places = g_array_new(FALSE, FALSE, sizeof(place_t));
}

void sched_isolation_clear(bw_sched_t *s)
{
	g_array_free(s->isolation.places, TRUE);
}

void sched_isolation_changed(bw_sched_t *s)
{
	s->isolation.valid = false;
}

/* Members of a gang can run only together. */
static bool same_gang(const task_t *a, const task_t *b)
{
	return a->occurrence == b->occurrence && a->step == b->step &&
	       sched_task_step(a)->gang;
}

void sched_end_trial(task_t *task)
{
	if (!task->trial)
		return;
	task->trial = false;
	task->worker->trials--;
}

bool sched_is_on_trial(const worker_t *worker, const task_t *task)
{
	guint i;

	if (worker->trials == 0)
		return false;
	for (i = 0; i < worker->tasks->len; i++) {
		const task_t *other = g_ptr_array_index(worker->tasks, i);

		if (other->trial && !same_gang(other, task))
			return true;
	}
	return false;
}

/* Whether a crash of a worker would be blamed on a new task alone. */
static bool is_isolated(const worker_t *worker, const task_t *task)
{
	guint i;

	for (i = 0; i < worker->tasks->len; i++) {
		const task_t *other = g_ptr_array_index(worker->tasks, i);

		if (sched_may_crash(other) && !same_gang(other, task))
			return false;
	}
	return true;
}

/* Whether a worker is preferred to another of the same isolation. */
static bool is_better(const worker_t *worker, const worker_t *best,
		      const task_t *task)
{
	bool failed = task->failed_worker == worker->number;

	if (!best)
		return true;
	if (failed != (task->failed_worker == best->number))
		return !failed;
	if (worker->placement_class != best->placement_class)
		return worker->placement_class < best->placement_class;
	return worker->tasks->len < best->tasks->len;
}

/* Whether any run on a worker may crash it. */
static bool any_may_crash(const worker_t *worker)
{
	guint i;

	for (i = 0; i < worker->tasks->len; i++)
		if (sched_may_crash(g_ptr_array_index(worker->tasks, i)))
			return true;
	return false;
}

/* Looks at all workers, once for all suspects until a task is placed. */
static void look_at_workers(bw_sched_t *s, int64_t now_ms)
{
	isolation_view_t *view = &s->isolation;
	GHashTableIter iter;
	gpointer value;

	if (view->valid)
		return;
	view->valid = true;
	view->on_trial = 0;
	view->sound = 0;
	g_array_set_size(view->places, 0);
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		place_t place = { .worker = value };

		if (!sched_worker_usable(s, place.worker, now_ms))
			continue;
		place.crashed = sched_crashed_lately(s, place.worker, now_ms);
		place.isolated = !any_may_crash(place.worker);
		view->on_trial += place.worker->trials > 0;
		view->sound += !place.crashed;
		g_array_append_val(view->places, place);
	}
}

static isolation_t isolation_of(const place_t *place, const task_t *task)
{
	/* Runs of its own gang do not count. */
	if (!place->isolated &&
	    (!sched_task_step(task)->gang || !is_isolated(place->worker, task)))
		return ISOLATION_NONE;
	return place->crashed ? ISOLATION_CRASHED_LATELY : ISOLATION_SOUND;
}

/* Finds the best worker of each kind, the last one only on demand. */
static void search_isolated(const bw_sched_t *s, const task_t *task, bool any,
			    int64_t now_ms, worker_t *best[ISOLATION_COUNT])
{
	const GArray *places = s->isolation.places;
	guint i;

	for (i = 0; i < places->len; i++) {
		const place_t *place = &g_array_index(places, place_t, i);
		isolation_t isolation = isolation_of(place, task);

		if (isolation == ISOLATION_NONE && !any)
			continue;
		if (sched_is_allowed(place->worker, task, now_ms) &&
		    is_better(place->worker, best[isolation], task))
			best[isolation] = place->worker;
	}
}

/* Sound tasks need workers too. */
static bool too_many_on_trial(const bw_sched_t *s)
{
	return s->isolation.on_trial * TRIALS_SHARE >=
	       MAX(s->isolation.places->len, 2U);
}

worker_t *sched_pick_isolated(bw_sched_t *s, task_t *task, int64_t now_ms)
{
	worker_t *best[ISOLATION_COUNT] = { NULL };
	int64_t waited_ms;
	bool any;

	if (now_ms < task->next_search_ms)
		return NULL;
	task->next_search_ms = now_ms + SEARCH_INTERVAL_MS;
	if (task->isolate_since_ms == 0)
		task->isolate_since_ms = now_ms;
	waited_ms = now_ms - task->isolate_since_ms;
	any = waited_ms >= ISOLATION_WAIT_MS;
	look_at_workers(s, now_ms);
	if (!any && too_many_on_trial(s))
		return NULL;
	search_isolated(s, task, any, now_ms, best);
	if (best[ISOLATION_SOUND])
		return best[ISOLATION_SOUND];
	if (best[ISOLATION_CRASHED_LATELY] &&
	    (s->isolation.sound == 0 || waited_ms >= SOUND_MACHINE_WAIT_MS))
		return best[ISOLATION_CRASHED_LATELY];
	return best[ISOLATION_NONE];
}
