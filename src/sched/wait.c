/*
 * How long a task waits for a place near its data, or a gang for one on a
 * single rack, before it starts elsewhere, where it takes longer.
 *
 * A wait follows from what runs now and from the job's own times alone, so that
 * a new owner decides as the last one did.
 */
#include "sched/internal.h"

/** A run that is longer than expected goes on for this part of the time that it
 *  has taken, as a divisor. */
#define OVERDUE_DIVISOR 4
/** With this part of the pool free, as a divisor, others have no use for what a
 *  longer run holds, and a job must not stand still for long. */
#define CALM_DIVISOR 4
/** Longest delay of a job by such a wait while the pool is calm. */
#define CALM_DELAY_MAX_MS 2000

/** Room that becomes free on a worker. */
typedef struct release {
	int64_t at_ms;
	bw_resources_t room;
} release_t;

/** A worker in a rack that tasks wait for. */
typedef struct near_worker {
	worker_t *worker;
	GArray *releases; /**< By their time. */
	bw_resources_t reserved; /**< For tasks that were told to wait. */
} near_worker_t;

/** What is expected of the racks that tasks may wait for, in one pass. */
struct near_view {
	GHashTable *racks; /**< Name to a GArray of near_worker_t. */
	GHashTable *waited; /**< Names of those that tasks wait for. */
	GHashTable *waited_before; /**< The same in the last pass. */
	bool measured; /**< The next one is known. */
	bool calm; /**< More than a quarter of the pool is free. */
};

static void near_worker_clear(gpointer data);
static gint compare_releases(gconstpointer a, gconstpointer b);
static int64_t run_left_ms(const bw_sched_t *s, const task_t *task,
			   int64_t now_ms);
static GArray *list_releases(const bw_sched_t *s, const worker_t *worker,
			     int64_t now_ms);
static GArray *rack_view(bw_sched_t *s, const char *rack, int64_t now_ms);
static int64_t longest_wait_ms(bw_sched_t *s, const task_t *task,
			       int64_t now_ms);

near_view_t *sched_near_create(void)
{
	near_view_t *near = g_new0(near_view_t, 1);

	near->racks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    (GDestroyNotify)g_array_unref);
	near->waited =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	near->waited_before =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return near;
}

void sched_near_destroy(near_view_t *near)
{
	g_hash_table_destroy(near->racks);
	g_hash_table_destroy(near->waited);
	g_hash_table_destroy(near->waited_before);
	g_free(near);
}

void sched_near_changed(bw_sched_t *s)
{
	near_view_t *near = s->near;
	GHashTable *waited = near->waited;

	g_hash_table_remove_all(near->racks);
	near->measured = false;
	near->waited = near->waited_before;
	near->waited_before = waited;
	g_hash_table_remove_all(near->waited);
}

bool sched_any_waited_for(const bw_sched_t *s)
{
	return g_hash_table_size(s->near->waited) +
		       g_hash_table_size(s->near->waited_before) >
	       0;
}

bool sched_is_waited_for(const bw_sched_t *s, const worker_t *worker)
{
	return worker->rack &&
	       (g_hash_table_contains(s->near->waited, worker->rack) ||
		g_hash_table_contains(s->near->waited_before, worker->rack));
}

static void near_worker_clear(gpointer data)
{
	near_worker_t *place = data;

	g_array_unref(place->releases);
}

static void add_room(bw_resources_t *sum, const bw_resources_t *room)
{
	sum->cpu_millis += room->cpu_millis;
	sum->mem_mb += room->mem_mb;
	sum->gpus += room->gpus;
}

static void take_room(bw_resources_t *sum, const bw_resources_t *room)
{
	sum->cpu_millis -= room->cpu_millis;
	sum->mem_mb -= room->mem_mb;
	sum->gpus -= room->gpus;
}

static bool is_covered(const bw_resources_t *need, const bw_resources_t *room)
{
	return need->cpu_millis <= room->cpu_millis &&
	       need->mem_mb <= room->mem_mb && need->gpus <= room->gpus;
}

static gint compare_releases(gconstpointer a, gconstpointer b)
{
	const release_t *x = a;
	const release_t *y = b;

	return x->at_ms < y->at_ms ? -1 : x->at_ms > y->at_ms;
}

/* Whether the members of a task's gang are on more than one rack. */
static bool is_spread(const task_t *task)
{
	const bw_step_spec_t *spec = sched_task_step(task);
	const task_t *members =
		&task->occurrence->tasks[sched_step_state(task)->first_task];
	uint32_t i;

	for (i = 0; i < spec->count; i++)
		if (members[i].worker &&
		    g_strcmp0(members[i].worker->rack, task->worker->rack) != 0)
			return true;
	return false;
}

void sched_note_place(task_t *task)
{
	const bw_step_spec_t *spec = sched_task_step(task);

	task->away = (spec->rack &&
		      g_strcmp0(spec->rack, task->worker->rack) != 0) ||
		     (spec->gang && spec->same_rack && is_spread(task));
}

double sched_run_factor(const bw_sched_t *s, const task_t *task)
{
	return task->away ? MAX(s->config.remote_factor, 1.0) : 1.0;
}

/* Returns how long a run is expected to hold its room yet. */
static int64_t run_left_ms(const bw_sched_t *s, const task_t *task,
			   int64_t now_ms)
{
	const bw_step_spec_t *spec = sched_task_step(task);
	int64_t began_ms = task->start_answered_ms > 0 ? task->start_answered_ms
						       : task->ordered_ms;
	int64_t taken_ms = now_ms - began_ms;
	double run_ms = (double)sched_estimate_ms(task->occurrence->job, spec) *
			sched_run_factor(s, task);

	if (task->state == TASK_STOPPING)
		return s->config.stop_ms;
	return MAX((int64_t)run_ms - taken_ms, taken_ms / OVERDUE_DIVISOR);
}

static GArray *list_releases(const bw_sched_t *s, const worker_t *worker,
			     int64_t now_ms)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(release_t));
	guint i;

	for (i = 0; i < worker->tasks->len; i++) {
		const task_t *task = g_ptr_array_index(worker->tasks, i);
		const bw_step_spec_t *spec = sched_task_step(task);
		release_t release = { .room = spec->need };

		if (spec->lasting && task->state != TASK_STOPPING)
			continue;
		if (spec->filler)
			release.room.cpu_millis = 0;
		release.at_ms = now_ms + MAX(run_left_ms(s, task, now_ms), 1);
		g_array_append_val(list, release);
	}
	g_array_sort(list, compare_releases);
	return list;
}

/* Whether a worker may be counted on: one that is due for maintenance, or may
 * get no tasks now, is no place to wait for. */
static bool is_place(const bw_sched_t *s, const worker_t *worker,
		     int64_t now_ms)
{
	return worker->placement_class == PLACEMENT_NORMAL &&
	       sched_worker_usable(s, worker, now_ms);
}

/** A rack whose workers are listed. */
typedef struct rack_listing {
	const bw_sched_t *s;
	GArray *workers;
	int64_t now_ms;
} rack_listing_t;

static gboolean add_worker(gpointer key, gpointer value, gpointer data)
{
	rack_listing_t *listing = data;
	near_worker_t place = { .worker = value };

	(void)key;
	if (!is_place(listing->s, place.worker, listing->now_ms))
		return FALSE;
	place.releases =
		list_releases(listing->s, place.worker, listing->now_ms);
	g_array_append_val(listing->workers, place);
	return FALSE;
}

static GArray *places_new(void)
{
	GArray *places = g_array_new(FALSE, FALSE, sizeof(near_worker_t));

	g_array_set_clear_func(places, near_worker_clear);
	return places;
}

/* Returns the workers of a rack that can be used, with what was reserved on
 * them in this pass. */
static GArray *rack_view(bw_sched_t *s, const char *rack, int64_t now_ms)
{
	GArray *places = g_hash_table_lookup(s->near->racks, rack);
	GTree *tree = sched_index_by_rack(s->index, rack);
	rack_listing_t listing = { .s = s, .now_ms = now_ms };

	if (places)
		return places;
	listing.workers = places_new();
	if (tree)
		g_tree_foreach(tree, add_worker, &listing);
	g_hash_table_insert(s->near->racks, g_strdup(rack), listing.workers);
	return listing.workers;
}

/* Returns when a task is expected to find room on a worker, after all those
 * that have reserved some; INT64_MAX: never. */
static int64_t room_at_ms(const near_worker_t *place,
			  const bw_resources_t *need, int64_t now_ms)
{
	bw_resources_t room = place->worker->capacity;
	guint i;

	take_room(&room, &place->worker->used);
	take_room(&room, &place->reserved);
	if (is_covered(need, &room))
		return now_ms;
	for (i = 0; i < place->releases->len; i++) {
		const release_t *release =
			&g_array_index(place->releases, release_t, i);

		add_room(&room, &release->room);
		if (is_covered(need, &room))
			return release->at_ms;
	}
	return INT64_MAX;
}

/** The place that a task can have first. */
typedef struct first_place {
	near_worker_t *place; /**< NULL: none. */
	int64_t at_ms;
} first_place_t;

/*
 * Finds it among a rack's workers. Where a single task would find room now, it
 * was not placed for some reason of its own, which may last.
 */
static first_place_t find_first(GArray *places, const task_t *task,
				int64_t now_ms)
{
	const bw_step_spec_t *spec = sched_task_step(task);
	first_place_t first = { .at_ms = INT64_MAX };
	guint i;

	for (i = 0; i < places->len; i++) {
		near_worker_t *place = &g_array_index(places, near_worker_t, i);
		int64_t at_ms;

		if (task->failed_worker == place->worker->number ||
		    !sched_suits(place->worker, task, now_ms))
			continue;
		at_ms = room_at_ms(place, &spec->need, now_ms);
		if (at_ms >= first.at_ms || (at_ms <= now_ms && !spec->gang))
			continue;
		first.place = place;
		first.at_ms = at_ms;
	}
	return first;
}

/* Notes that the room which was set aside on a worker for a task is free again
 * once the task has started at a time and ended. */
static void plan_end(near_worker_t *place, const task_t *task, int64_t at_ms)
{
	const bw_step_spec_t *spec = sched_task_step(task);
	release_t release = { .room = spec->need };

	release.at_ms = at_ms + sched_estimate_ms(task->occurrence->job, spec);
	g_array_append_val(place->releases, release);
	g_array_sort(place->releases, compare_releases);
}

/* Looks at how much of the pool is free. */
static bool is_calm(bw_sched_t *s, int64_t now_ms)
{
	int64_t capacity_millis = 0;
	int64_t free_millis = 0;
	GHashTableIter iter;
	gpointer value;

	if (s->near->measured)
		return s->near->calm;
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const worker_t *worker = value;

		if (!sched_worker_usable(s, worker, now_ms))
			continue;
		capacity_millis += worker->capacity.cpu_millis;
		free_millis +=
			worker->capacity.cpu_millis - worker->used.cpu_millis;
	}
	s->near->measured = true;
	s->near->calm = free_millis * CALM_DIVISOR > capacity_millis;
	return s->near->calm;
}

/* Returns how long the steps took that had to end before a step. */
static int64_t earlier_steps_ms(const occurrence_t *occurrence, uint32_t step)
{
	const bw_job_spec_t *spec = occurrence->job->spec;
	int64_t ends_ms[BW_JOB_STEPS_MAX];
	uint32_t i;
	uint32_t k;

	for (i = 0; i <= step; i++) {
		ends_ms[i] = 0;
		for (k = 0; k < spec->steps[i].after_count; k++)
			ends_ms[i] = MAX(ends_ms[i],
					 ends_ms[spec->steps[i].after[k]]);
		if (i < step)
			ends_ms[i] += occurrence->steps[i].longest_run_ms;
	}
	return ends_ms[step];
}

/*
 * Returns how long a task may wait at most so that it pays. What it loses
 * elsewhere counts only if that makes its job late, as in a full pool a place
 * that is given away is not there again later; a job that is late in any case
 * waits, if it ends sooner then, only where others don't lack the near room.
 * The wait ends while the job can still be in time near its data, and be done
 * before its deadline elsewhere.
 */
static int64_t longest_wait_ms(bw_sched_t *s, const task_t *task,
			       int64_t now_ms)
{
	const occurrence_t *occurrence = task->occurrence;
	const bw_step_spec_t *spec = sched_task_step(task);
	int64_t lost_ms =
		(int64_t)((s->config.remote_factor - 1.0) *
			  (double)sched_estimate_ms(occurrence->job, spec));
	int64_t near_end_ms =
		now_ms + sched_chain_ms(occurrence->job, task->step);
	int64_t far_end_ms = near_end_ms + lost_ms;
	int64_t longest_ms;
	int64_t delay_ms;

	if (far_end_ms <= occurrence->objective_ms ||
	    (near_end_ms > occurrence->objective_ms && !is_calm(s, now_ms)))
		return 0;
	longest_ms = MIN(lost_ms, occurrence->deadline_ms -
					  (far_end_ms <= occurrence->deadline_ms
						   ? far_end_ms
						   : near_end_ms));
	if (near_end_ms <= occurrence->objective_ms)
		longest_ms =
			MIN(longest_ms, occurrence->objective_ms - near_end_ms);
	if (!is_calm(s, now_ms))
		return longest_ms;
	delay_ms = now_ms - occurrence->due_ms -
		   earlier_steps_ms(occurrence, task->step);
	return MIN(longest_ms, CALM_DELAY_MAX_MS - delay_ms);
}

/* Lasting tasks have no end that would be earlier; fillers and tasks with a
 * latency bound are placed by what they run beside; suspects wait already. */
static bool may_wait(const bw_sched_t *s, const task_t *task)
{
	const bw_step_spec_t *spec = sched_task_step(task);

	return s->config.remote_factor > 1.0 && !spec->lasting &&
	       !spec->filler && spec->tail_ms_max == 0 &&
	       !sched_is_suspect(task);
}

bool sched_wait_pays(bw_sched_t *s, const task_t *task, const worker_t *worker,
		     int64_t now_ms)
{
	const bw_step_spec_t *spec = sched_task_step(task);
	first_place_t first;
	int64_t wait_ms;

	if (!spec->rack || !g_strcmp0(spec->rack, worker->rack) ||
	    !may_wait(s, task))
		return false;
	wait_ms = longest_wait_ms(s, task, now_ms);
	if (wait_ms <= 0)
		return false;
	first = find_first(rack_view(s, spec->rack, now_ms), task, now_ms);
	if (!first.place || first.at_ms - now_ms >= wait_ms)
		return false;
	add_room(&first.place->reserved, &spec->need);
	plan_end(first.place, task, first.at_ms);
	g_hash_table_add(s->near->waited, g_strdup(spec->rack));
	return true;
}

bool sched_wants_one_rack(const bw_sched_t *s, const task_t *tasks,
			  uint32_t count)
{
	const bw_step_spec_t *spec = sched_task_step(tasks);
	uint32_t i;

	if (!spec->rack && !spec->same_rack)
		return false;
	for (i = 0; i < count; i++)
		if (!may_wait(s, &tasks[i]))
			return false;
	return true;
}

static GArray *copy_places(const GArray *places)
{
	GArray *copies = places_new();
	guint i;

	for (i = 0; i < places->len; i++) {
		near_worker_t copy = g_array_index(places, near_worker_t, i);

		copy.releases = g_array_copy(copy.releases);
		g_array_append_val(copies, copy);
	}
	return copies;
}

/* Reserves room for all members among a rack's workers; returns when the last
 * of them is expected to have it, INT64_MAX: never. */
static int64_t reserve_all(GArray *places, const task_t *tasks, uint32_t count,
			   int64_t now_ms)
{
	near_worker_t **chosen = g_new0(near_worker_t *, count);
	int64_t at_ms = now_ms;
	uint32_t i;

	for (i = 0; i < count && at_ms < INT64_MAX; i++) {
		first_place_t first = find_first(places, &tasks[i], now_ms);

		at_ms = MAX(at_ms, first.at_ms);
		chosen[i] = first.place;
		if (first.place)
			add_room(&first.place->reserved,
				 &sched_task_step(tasks)->need);
	}
	for (i = 0; i < count && at_ms < INT64_MAX; i++)
		plan_end(chosen[i], &tasks[i], at_ms);
	g_free(chosen);
	return at_ms;
}

bool sched_gang_wait_pays(bw_sched_t *s, const task_t *tasks, uint32_t count,
			  const char *const *racks, int64_t now_ms)
{
	int64_t wait_ms = longest_wait_ms(s, tasks, now_ms);
	const char *best = NULL;
	GArray *best_places = NULL;
	int64_t best_ms = now_ms + wait_ms;

	for (; wait_ms > 0 && *racks; racks++) {
		GArray *places = copy_places(rack_view(s, *racks, now_ms));
		int64_t at_ms = reserve_all(places, tasks, count, now_ms);

		if (at_ms <= now_ms || at_ms >= best_ms) {
			g_array_unref(places);
			continue;
		}
		g_clear_pointer(&best_places, g_array_unref);
		best = *racks;
		best_places = places;
		best_ms = at_ms;
	}
	if (!best)
		return false;
	g_hash_table_replace(s->near->racks, g_strdup(best), best_places);
	g_hash_table_add(s->near->waited, g_strdup(best));
	return true;
}
