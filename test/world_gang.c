/*
 * Gangs of the simulation: their members work once all of a run are there, and
 * end together. What is drawn for them comes from a generator of its own.
 */
#include "world_internal.h"

#include <string.h>

/** A member that waits for the others for longer ends. */
#define GANG_TIMEOUT_MS	 3000
#define GANG_MEMBERS_MAX 4U
#define GANG_RUN_MIN_MS	 100
#define GANG_RUN_MAX_MS	 2500
/** Share of the runs of which a member fails. */
#define GANG_FAILURES 0.05
/** Seed of the generator, combined with that of the simulation. */
#define GANG_SEED 0x6a46U

void world_init_gangs(world_t *w)
{
	uint32_t step;
	guint i;

	w->gang_rand = g_rand_new_with_seed(w->config.seed ^ GANG_SEED);
	for (i = 0; i < w->jobs->len; i++) {
		fake_job_t *job = g_ptr_array_index(w->jobs, i);

		for (step = 0; step < job->record.spec->step_count; step++) {
			bw_step_spec_t *spec = &job->record.spec->steps[step];

			if (spec->lasting ||
			    g_rand_double(w->gang_rand) >= w->config.gang_share)
				continue;
			spec->gang = true;
			spec->count = CLAMP(spec->count, 2U, GANG_MEMBERS_MAX);
		}
		g_free(job->tasks);
		job->tasks = g_new0(task_state_t,
				    bw_job_spec_tasks(job->record.spec));
	}
}

bool world_is_gang(world_t *w, const bw_task_name_t *task)
{
	return world_find_job(w, task->job)
		->record.spec->steps[task->step]
		.gang;
}

static bool is_member(const run_t *run, const bw_task_name_t *task,
		      uint32_t number)
{
	return run->number == number && run->task.step == task->step &&
	       run->task.occurrence == task->occurrence &&
	       !strcmp(run->task.job, task->job);
}

/** A gang's run, whose members may be on several workers. */
typedef struct gang_run {
	world_t *w;
	bw_task_name_t task; /**< One of its members. */
	uint32_t number;
	uint32_t present; /**< Members that run. */
	bool fails; /**< One of them will fail. */
	int64_t ends_ms;
	bw_end_kind_t end; /**< Of the member that ended first. */
} gang_run_t;

/** Called for a member; may end it. */
typedef void (*member_fn)(gang_run_t *gang, fake_worker_t *worker, guint index);

/* Calls a function for each member that runs on a live worker. */
static void each_member(gang_run_t *gang, member_fn fn)
{
	guint i;
	guint k;

	for (i = 0; i < gang->w->workers->len; i++) {
		fake_worker_t *worker = g_ptr_array_index(gang->w->workers, i);

		for (k = worker->alive ? worker->runs->len : 0; k-- > 0;)
			if (is_member(&g_array_index(worker->runs, run_t, k),
				      &gang->task, gang->number))
				fn(gang, worker, k);
	}
}

static void count_member(gang_run_t *gang, fake_worker_t *worker, guint index)
{
	gang->present++;
	gang->fails |= g_array_index(worker->runs, run_t, index).fails;
}

/* If a member fails, the others end with it. */
static void begin_work(gang_run_t *gang, fake_worker_t *worker, guint index)
{
	run_t *run = &g_array_index(worker->runs, run_t, index);

	if (run->stopping)
		return;
	run->waits = false;
	run->ends_ms = gang->fails && !run->fails ? INT64_MAX : gang->ends_ms;
	if (run->ends_ms != INT64_MAX)
		world_schedule(gang->w, run->ends_ms - gang->w->now_ms,
			       world_end_due_runs, worker);
}

static void end_member(gang_run_t *gang, fake_worker_t *worker, guint index)
{
	world_end_run(gang->w, worker, index,
		      gang->end == BW_END_DONE ? BW_END_DONE
					       : BW_END_GANG_BROKEN);
}

static gang_run_t gang_of(world_t *w, const run_t *run)
{
	return (gang_run_t){ .w = w, .task = run->task, .number = run->number };
}

void world_start_member(world_t *w, fake_worker_t *worker, guint index)
{
	run_t *run = &g_array_index(worker->runs, run_t, index);
	const fake_job_t *job = world_find_job(w, run->task.job);
	gang_run_t gang = gang_of(w, run);

	run->fails = worker->fails_runs ||
		     (job->always_fails && run->task.index == 0) ||
		     g_rand_double(w->gang_rand) < GANG_FAILURES;
	run->waits = true;
	run->ends_ms = w->now_ms + GANG_TIMEOUT_MS;
	world_schedule(w, GANG_TIMEOUT_MS, world_end_due_runs, worker);
	each_member(&gang, count_member);
	if (gang.present < job->record.spec->steps[run->task.step].count)
		return;
	gang.ends_ms =
		w->now_ms + g_rand_int_range(w->gang_rand, GANG_RUN_MIN_MS,
					     GANG_RUN_MAX_MS);
	each_member(&gang, begin_work);
}

void world_end_others(world_t *w, const run_t *run, bw_end_kind_t kind)
{
	gang_run_t gang = gang_of(w, run);

	gang.end = kind;
	if (world_is_gang(w, &run->task))
		each_member(&gang, end_member);
}

/* The runs may include several members of a gang. */
void world_break_gangs(world_t *w, const fake_worker_t *worker)
{
	guint i;

	for (i = 0; i < worker->runs->len; i++)
		world_end_others(w, &g_array_index(worker->runs, run_t, i),
				 BW_END_GANG_BROKEN);
}
