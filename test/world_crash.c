/*
 * Tasks of the simulation that crash their workers, and checks of them. What is
 * drawn for them comes from a generator of its own.
 */
#include "world_internal.h"

/** Range of the time from the start of such a task to the crash. */
#define CRASH_AFTER_MIN_MS 1
#define CRASH_AFTER_MAX_MS 20
/** Crashes under a task after which few starts are tolerated. */
#define CRASHES_KNOWN 3
/** That many are not. */
#define STARTS_TOO_MANY 3
/** Crashes under a task that are a cause to give it up. */
#define CRASHES_CAUSE 2
/** Range of the time until an owner is told of a worker that no machine runs.
 */
#define TELL_MIN_MS 1000
#define TELL_MAX_MS 2500
/** Seed of the generator, combined with that of the simulation. */
#define CRASH_SEED 0xc4a54U

static int64_t draw(world_t *w, int64_t low, int64_t high)
{
	return g_rand_int_range(w->crash_rand, (gint32)low, (gint32)high + 1);
}

static void on_crash(world_t *w, void *arg)
{
	fake_worker_t *worker = arg;
	bool silent = draw(w, 0, 1) == 0;

	if (worker->alive)
		world_crash_worker(w, worker, silent, draw(w, 500, 8000));
}

/* A crash that has no cause in a task, on one of the machines that have them.
 */
static void on_drawn_crash(world_t *w, void *arg)
{
	guint i;

	for (i = 0; i < w->workers->len; i++) {
		fake_worker_t *worker = g_ptr_array_index(w->workers, i);

		if (worker->alive && worker->machine == GPOINTER_TO_UINT(arg))
			on_crash(w, worker);
	}
}

void world_init_crashes(world_t *w)
{
	guint i;

	w->crash_rand = g_rand_new_with_seed(w->config.seed ^ CRASH_SEED);
	for (i = 0; i < w->jobs->len; i++) {
		fake_job_t *job = g_ptr_array_index(w->jobs, i);

		job->crashes_workers =
			g_rand_double(w->crash_rand) < w->config.crashing_share;
		job->crashing_step = (uint32_t)draw(
			w, 0, (int64_t)job->record.spec->step_count - 1);
	}
	for (i = 0; i < w->config.worker_crashes; i++)
		world_schedule(w, draw(w, 100, w->config.traffic_ms),
			       on_drawn_crash,
			       GUINT_TO_POINTER(i % FLAPPING_MACHINES));
}

void world_record_crash(world_t *w, const fake_worker_t *worker)
{
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const run_t *run = &g_array_index(worker->runs, run_t, i);

		world_find_task(world_find_job(w, run->task.job), &run->task)
			->crashes++;
	}
}

static void on_told_end(world_t *w, void *arg)
{
	const fake_worker_t *worker = arg;
	guint i;

	for (i = 0; i < NODE_COUNT; i++) {
		const node_t *node = &w->nodes[i];

		if (node->sched && node->fence == w->owner_fence)
			bw_sched_boot_unlisted(node->sched, w->now_ms,
					       worker->id,
					       worker->started_ms + 1000000);
	}
}

void world_tell_end(world_t *w, fake_worker_t *worker)
{
	world_schedule(w, draw(w, TELL_MIN_MS, TELL_MAX_MS), on_told_end,
		       worker);
}

void world_start_crashing(world_t *w, fake_worker_t *worker,
			  const bw_task_name_t *task, bool delayed)
{
	fake_job_t *job = world_find_job(w, task->job);
	task_state_t *task_state = world_find_task(job, task);

	if (!job->crashes_workers || task->step != job->crashing_step ||
	    task->index > 0)
		return;
	if (!delayed && task_state->crashes >= CRASHES_KNOWN &&
	    ++task_state->starts_after_crashes >= STARTS_TOO_MANY)
		world_violation(w,
				"task %s.%u.%u starts again after %u crashes",
				task->job, task->step, task->index,
				task_state->crashes);
	world_schedule(w, draw(w, CRASH_AFTER_MIN_MS, CRASH_AFTER_MAX_MS),
		       on_crash, worker);
}

bool world_any_crashed_workers(const fake_job_t *job)
{
	uint32_t i;

	for (i = 0; i < bw_job_spec_tasks(job->record.spec); i++)
		if (job->tasks[i].crashes >= CRASHES_CAUSE)
			return true;
	return false;
}

void world_count_failed(world_t *w, fake_job_t *job)
{
	if (job->shown_failed)
		return;
	job->shown_failed = true;
	if (job->crashes_workers)
		w->result->crashing_failed++;
	else if (!world_any_out_of_attempts(job))
		w->result->sound_failed++;
}

void world_draw_crashes(uint32_t seed, world_config_t *out)
{
	GRand *rand = g_rand_new_with_seed(seed ^ CRASH_SEED);

	out->crashing_share = g_rand_double(rand) < 0.4 ? 0.08 : 0.0;
	out->worker_crashes = g_rand_double(rand) < 0.3 ? 6 : 0;
	g_rand_free(rand);
}
