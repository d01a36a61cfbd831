/* Events, jobs and faults of the simulation, and checks of shown job states. */
#include "world_internal.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/** Restarts of workers that keep no connections. */
#define CLOSING_CRASHES 12
/** The same of workers that are forgotten before they restart. */
#define AWAY_CRASHES 12
/** Share of jobs with a task that crashes its workers, of which is told. */
#define CRASHING_SHARE 0.08
/** A worker that is away for this long is forgotten. */
#define AWAY_MS 5500
/** Times at which owners lose their claims in quick succession. */
#define OWNER_CHAINS 3
/** Traffic beside each of them. */
#define CHAIN_MS 12000
/** Share of jobs with long runs, and the time that they take besides. */
#define LONG_SHARE	 0.5
#define LONG_RECOVERY_MS 30000
/** Time that jobs take besides as only a part of them may run at a time, the
 *  second for long ones. */
#define CAPPED_MS      60000
#define LONG_CAPPED_MS 300000

void world_violation(world_t *w, const char *fmt, ...)
{
	char text[200];
	va_list args;

	va_start(args, fmt);
	g_vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	if (w->result->violations++ == 0)
		g_snprintf(w->result->first_violation,
			   sizeof(w->result->first_violation),
			   "%" G_GINT64_FORMAT " ms: %s", w->now_ms, text);
	if (g_getenv("WORLD_TRACE"))
		printf("%8" G_GINT64_FORMAT " BROKEN %s\n", w->now_ms, text);
}

void world_trace(world_t *w, const char *event, const char *text)
{
	if (g_getenv("WORLD_TRACE"))
		printf("%8" G_GINT64_FORMAT " %s %s\n", w->now_ms, event, text);
}

static gint compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
	const event_t *x = a;
	const event_t *y = b;

	(void)data;
	if (x->due_ms != y->due_ms)
		return x->due_ms < y->due_ms ? -1 : 1;
	return x->sequence < y->sequence ? -1 : 1;
}

void world_schedule(world_t *w, int64_t delay_ms, event_fn fn, void *arg)
{
	event_t *event = g_new0(event_t, 1);

	event->due_ms = w->now_ms + delay_ms;
	event->sequence = ++w->last_sequence;
	event->fn = fn;
	event->arg = arg;
	g_sequence_insert_sorted(w->events, event, compare_events, NULL);
}

bool world_random_bool(world_t *w, double probability)
{
	return g_rand_double(w->rand) < probability;
}

int64_t world_random_between(world_t *w, int64_t low, int64_t high)
{
	return g_rand_int_range(w->rand, (gint32)low, (gint32)high + 1);
}

bool world_fault_bool(world_t *w, double probability)
{
	return g_rand_double(w->fault_rand) < probability;
}

int64_t world_fault_between(world_t *w, int64_t low, int64_t high)
{
	return g_rand_int_range(w->fault_rand, (gint32)low, (gint32)high + 1);
}

void world_task_text(const bw_task_name_t *task, char *out, size_t bytes)
{
	g_snprintf(out, bytes, "%s.%u.%u.%u", task->job, task->occurrence,
		   task->step, task->index);
}

fake_job_t *world_find_job(world_t *w, const char *id)
{
	guint i;

	for (i = 0; i < w->jobs->len; i++) {
		fake_job_t *job = g_ptr_array_index(w->jobs, i);

		if (!strcmp(job->id, id))
			return job;
	}
	return NULL;
}

fake_worker_t *world_find_worker(world_t *w, const char *id)
{
	guint i = w->workers->len;

	while (i-- > 0) {
		fake_worker_t *worker = g_ptr_array_index(w->workers, i);

		if (!strcmp(worker->id, id))
			return worker;
	}
	return NULL;
}

task_state_t *world_find_task(fake_job_t *job, const bw_task_name_t *task)
{
	uint32_t first = 0;
	uint32_t i;

	for (i = 0; i < task->step; i++)
		first += job->record.spec->steps[i].count;
	return &job->tasks[first + task->index];
}

/* Faults. */

static void restore_capacity(fake_worker_t *worker)
{
	worker->capacity =
		(bw_resources_t){ WORKER_CPU_MILLIS, WORKER_MEM_MB, 0 };
}

static void on_worker_grown(world_t *w, void *arg)
{
	fake_worker_t *worker = arg;

	world_trace(w, "grow", worker->id);
	restore_capacity(worker);
}

/* Shrinks a worker, also below what runs there, for some time. */
static void on_worker_shrunk(world_t *w, void *arg)
{
	guint at = (guint)g_rand_int_range(w->resize_rand, 0,
					   (gint32)w->workers->len);
	fake_worker_t *worker = g_ptr_array_index(w->workers, at);

	(void)arg;
	world_trace(w, "shrink", worker->id);
	worker->capacity.cpu_millis =
		g_rand_int_range(w->resize_rand, 0, WORKER_CPU_MILLIS);
	worker->capacity.mem_mb =
		g_rand_int_range(w->resize_rand, 0, WORKER_MEM_MB);
	world_schedule(w, g_rand_int_range(w->resize_rand, 500, 9000),
		       on_worker_grown, worker);
}

static void draw_resizes(world_t *w)
{
	uint32_t i;

	for (i = 0; i < w->config.resizes; i++)
		world_schedule(w,
			       g_rand_int_range(w->resize_rand, 100,
						(gint32)w->config.traffic_ms),
			       on_worker_shrunk, NULL);
}

static fake_worker_t *start_worker(world_t *w, uint32_t machine, const char *id)
{
	fake_worker_t *worker = g_new0(fake_worker_t, 1);

	worker->machine = machine;
	worker->alive = true;
	worker->started_ms = w->now_ms;
	restore_capacity(worker);
	worker->clock_rate = 0.98 + 0.02 * g_rand_double(w->rand);
	g_strlcpy(worker->id, id, sizeof(worker->id));
	g_snprintf(worker->name, sizeof(worker->name), "m%u", machine);
	worker->runs = g_array_new(FALSE, TRUE, sizeof(run_t));
	worker->ends = g_array_new(FALSE, TRUE, sizeof(fake_end_t));
	worker->highest_ended =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_ptr_array_add(w->workers, worker);
	return worker;
}

static void start_new_worker(world_t *w, uint32_t machine)
{
	char id[32];

	g_snprintf(id, sizeof(id), "w%u-%u", machine, w->workers_started++);
	start_worker(w, machine, id);
}

/* Returns the first live worker from a random position, or NULL. */
static fake_worker_t *random_live_worker(world_t *w)
{
	guint start =
		(guint)world_random_between(w, 0, (int64_t)w->workers->len - 1);
	guint i;

	for (i = 0; i < w->workers->len; i++) {
		fake_worker_t *worker = g_ptr_array_index(
			w->workers, (start + i) % w->workers->len);

		if (worker->alive)
			return worker;
	}
	return NULL;
}

static void on_worker_restart(world_t *w, void *arg)
{
	start_new_worker(w, GPOINTER_TO_UINT(arg));
}

/* Event: cuts a machine off; its worker runs on and its grant may expire. */
static void on_cut(world_t *w, void *arg)
{
	uint32_t machine = GPOINTER_TO_UINT(arg);
	char text[32];

	g_snprintf(text, sizeof(text), "m%u", machine);
	world_trace(w, "cut", text);
	w->cut_until_ms[machine] =
		w->now_ms + world_fault_between(w, 3000, 9000);
}

static void draw_cuts(world_t *w)
{
	uint32_t i;

	for (i = 0; i < w->config.cuts; i++) {
		int64_t delay_ms =
			world_fault_between(w, 100, w->config.traffic_ms);
		int64_t machine = world_fault_between(w, 0, WORKER_COUNT - 1);

		world_schedule(w, delay_ms, on_cut, GUINT_TO_POINTER(machine));
	}
}

static void on_same_id_restart(world_t *w, void *arg)
{
	const fake_worker_t *worker = arg;
	fake_worker_t *next;

	world_trace(w, "restart", worker->id);
	next = start_worker(w, worker->machine, worker->id);
	/* The nodes know the capacity of the boot before until they read. */
	memcpy(next->told, worker->told, sizeof(next->told));
	if (w->config.cuts > 0 && world_fault_bool(w, 0.4))
		world_schedule(w, world_fault_between(w, 5, 1500), on_cut,
			       GUINT_TO_POINTER(worker->machine));
}

void world_crash_worker(world_t *w, fake_worker_t *worker, bool silent,
			int64_t back_ms)
{
	guint i;

	world_trace(w, "crash", worker->id);
	world_record_crash(w, worker);
	world_record_at_work(w, worker);
	worker->alive = false;
	worker->silent_when_dead = silent;
	for (i = 0; i < worker->runs->len; i++) {
		const run_t *run = &g_array_index(worker->runs, run_t, i);

		world_find_task(world_find_job(w, run->task.job), &run->task)
			->running--;
	}
	world_break_gangs(w, worker);
	g_array_set_size(worker->runs, 0);
	if (w->config.tells_ends)
		world_tell_end(w, worker);
	if (world_fault_bool(w, w->config.same_id_share))
		world_schedule(w,
			       w->config.same_id_away_ms +
				       world_fault_between(w, 100, 3000),
			       on_same_id_restart, worker);
	else
		world_schedule(w, back_ms, on_worker_restart,
			       GUINT_TO_POINTER(worker->machine));
}

static void crash_worker(world_t *w)
{
	fake_worker_t *worker = random_live_worker(w);
	bool silent;

	if (!worker)
		return;
	silent = world_random_bool(w, 0.5);
	world_crash_worker(w, worker, silent,
			   world_random_between(w, 500, 8000));
}

void world_on_worker_recovery(world_t *w, void *arg)
{
	fake_worker_t *worker = arg;

	(void)w;
	memset(worker->unreachable_from, 0, sizeof(worker->unreachable_from));
	worker->fails_runs = false;
	worker->cordoned = false;
}

static void partition_worker(world_t *w)
{
	fake_worker_t *worker = random_live_worker(w);
	uint32_t i;

	if (!worker)
		return;
	world_trace(w, "partition", worker->id);
	for (i = 0; i < NODE_COUNT; i++)
		worker->unreachable_from[i] = world_random_bool(w, 0.7);
	world_schedule(w, world_random_between(w, 500, 9000),
		       world_on_worker_recovery, worker);
}

static void cordon_worker(world_t *w)
{
	fake_worker_t *worker = random_live_worker(w);

	if (!worker)
		return;
	world_trace(w, "cordon", worker->id);
	worker->cordoned = true;
	world_schedule(w, world_random_between(w, 2000, 9000),
		       world_on_worker_recovery, worker);
}

static void make_worker_fail(world_t *w)
{
	fake_worker_t *worker = random_live_worker(w);

	if (!worker)
		return;
	worker->fails_runs = true;
	world_schedule(w, world_random_between(w, 500, 5000),
		       world_on_worker_recovery, worker);
}

static void on_node_restart(world_t *w, void *arg)
{
	((node_t *)arg)->alive = true;
	(void)w;
}

static void close_connections(world_t *w, const node_t *node)
{
	guint i;

	for (i = 0; i < w->workers->len; i++) {
		fake_worker_t *worker = g_ptr_array_index(w->workers, i);

		worker->connected[node->index] = false;
	}
}

static void kill_node(world_t *w, node_t *node)
{
	if (node->alive)
		world_kill_node(w, node, world_random_between(w, 300, 3000));
}

void world_kill_node(world_t *w, node_t *node, int64_t back_ms)
{
	close_connections(w, node);
	world_trace(w, "kill",
		    node->index == w->owner_node ? "owner" : "other");
	node->alive = false;
	if (node->sched)
		world_destroy_sched(node);
	node->fence = 0;
	node->process++;
	world_schedule(w, back_ms, on_node_restart, node);
}

static void on_store_reconnect(world_t *w, void *arg)
{
	(void)w;
	((node_t *)arg)->store_unreachable = false;
}

static void on_store_up(world_t *w, void *arg)
{
	(void)arg;
	w->store_down = false;
	world_trace(w, "store", "up");
}

static void on_fault(world_t *w, void *arg)
{
	node_t *owner = &w->nodes[w->owner_node];
	uint32_t i;

	(void)arg;
	switch (world_random_between(w, 0, 14)) {
	case 0:
	case 1:
		kill_node(w, owner);
		break;
	case 2:
		owner->paused_until_ms =
			w->now_ms + world_random_between(w, 300, 6000);
		world_trace(w, "pause", "owner");
		break;
	case 3:
		owner->store_unreachable = true;
		world_trace(w, "store-unreachable", "owner");
		world_schedule(w, world_random_between(w, 500, 7000),
			       on_store_reconnect, owner);
		break;
	case 4:
		w->store_down = true;
		world_trace(w, "store", "down");
		world_schedule(w, world_random_between(w, 300, 5000),
			       on_store_up, NULL);
		break;
	case 5:
		world_end_claim(w);
		world_trace(w, "revoke", "");
		break;
	case 6:
		for (i = 0; i < NODE_COUNT; i++)
			kill_node(w, &w->nodes[i]);
		break;
	case 7:
		make_worker_fail(w);
		break;
	case 8:
		partition_worker(w);
		break;
	case 12:
	case 13:
		cordon_worker(w);
		cordon_worker(w);
		break;
	case 9:
	case 10:
		if (!owner->sched || owner->fence == 0 || owner->handing_over)
			break;
		world_trace(w, "hand-over", "owner");
		owner->handing_over = true;
		bw_sched_hand_over(owner->sched);
		world_run_sched(w, owner);
		break;
	default:
		crash_worker(w);
		break;
	}
}

/* Jobs and checks of their states. */

static bw_job_spec_t *draw_spec(world_t *w)
{
	uint32_t steps = (uint32_t)world_random_between(w, 1, 3);
	bw_job_spec_t *spec = bw_job_spec_new(steps);
	bool lasting =
		w->lasting_jobs < LASTING_JOBS_MAX && world_random_bool(w, 0.1);
	uint32_t i;

	spec->text = g_strdup("text");
	for (i = 0; i < steps; i++) {
		bw_step_spec_t *step = &spec->steps[i];

		step->count = (uint32_t)world_random_between(w, 1, 8);
		step->need.cpu_millis = world_random_between(w, 500, 9000);
		step->need.mem_mb = world_random_between(w, 100, 5000);
		step->estimate_ms =
			(uint32_t)world_random_between(w, 100, 3000);
		step->lasting = lasting;
		if (lasting)
			step->need.cpu_millis =
				world_random_between(w, 500, 3000);
		step->away_max = 1;
		step->per_worker_max = world_random_bool(w, 0.2) ? 2 : 0;
		if (i > 0 && !lasting) {
			step->after = g_new(uint32_t, 1);
			step->after[0] = i - 1;
			step->after_count = 1;
		}
	}
	w->lasting_jobs += lasting;
	return spec;
}

static void on_job_cancelled(world_t *w, void *arg)
{
	fake_job_t *job = arg;
	node_t *owner = &w->nodes[w->owner_node];

	if (job->removed_ms > 0)
		return;
	job->cancelled_ms = w->now_ms;
	if (owner->sched && world_node_running(w, owner) &&
	    !owner->store_unreachable && !w->store_down) {
		bw_sched_cancel(owner->sched, w->now_ms, job->id);
		world_run_sched(w, owner);
	}
}

/* Returns an earlier owner that has not learned of its successor, or NULL. */
static node_t *earlier_owner(world_t *w)
{
	uint32_t i;

	for (i = 0; i < NODE_COUNT; i++) {
		node_t *node = &w->nodes[i];

		if (node->sched && node->fence != 0 &&
		    node->fence != w->owner_fence &&
		    world_node_running(w, node))
			return node;
	}
	return NULL;
}

/* Tells the owner of a job, or one that others take for the owner still. */
static void notify_of_job(world_t *w, const fake_job_t *job)
{
	node_t *owner = &w->nodes[w->owner_node];
	node_t *earlier = earlier_owner(w);

	if (earlier && world_fault_bool(w, w->config.stale_notice_share)) {
		world_trace(w, "notice-to-earlier-owner", job->id);
		world_add_job(w, earlier, job, 0);
		world_run_sched(w, earlier);
		return;
	}
	if (owner->sched && owner->fence == w->owner_fence &&
	    world_node_running(w, owner) && !owner->store_unreachable &&
	    !w->store_down) {
		world_add_job(w, owner, job, 0);
		world_run_sched(w, owner);
	}
}

static void on_job_accepted(world_t *w, void *arg)
{
	fake_job_t *job = arg;

	job->stored_ms = w->now_ms;
	job->revision = ++w->rev;
	job->record.accepted_ms = w->now_ms;
	if (world_random_bool(w, 0.1))
		world_schedule(w, world_random_between(w, 5, 4000),
			       on_job_cancelled, job);
	notify_of_job(w, job);
}

bool world_all_done(const fake_job_t *job)
{
	uint32_t i;

	for (i = 0; i < bw_job_spec_tasks(job->record.spec); i++)
		if (!job->tasks[i].done)
			return false;
	return true;
}

static bool all_running(const fake_job_t *job)
{
	uint32_t i;

	for (i = 0; i < bw_job_spec_tasks(job->record.spec); i++)
		if (job->tasks[i].running != 1)
			return false;
	return true;
}

bool world_any_running(const fake_job_t *job)
{
	uint32_t i;

	for (i = 0; i < bw_job_spec_tasks(job->record.spec); i++)
		if (job->tasks[i].running > 0)
			return true;
	return false;
}

bool world_any_out_of_attempts(const fake_job_t *job)
{
	uint32_t i;

	for (i = 0; i < bw_job_spec_tasks(job->record.spec); i++)
		if (job->tasks[i].failed >= ATTEMPTS_MAX)
			return true;
	return false;
}

/* Checks that a state shown to callers is true and, once final, stays. */
static void check_shown_state(world_t *w, fake_job_t *job, bw_job_state_t state)
{
	if (job->removed_ms > 0 && state == BW_JOB_UNKNOWN)
		return;
	if (job->shown_completed && state != BW_JOB_COMPLETED)
		world_violation(w, "job %s was completed and is %s", job->id,
				bw_job_state_name(state));
	if (job->shown_cancelled && state != BW_JOB_CANCELLED)
		world_violation(w, "job %s was cancelled and is %s", job->id,
				bw_job_state_name(state));
	job->shown_completed |= state == BW_JOB_COMPLETED;
	job->shown_cancelled |= state == BW_JOB_CANCELLED;
	if (state == BW_JOB_COMPLETED && !world_all_done(job))
		world_violation(
			w, "job %s is shown as completed before its tasks are",
			job->id);
	if (state == BW_JOB_CANCELLED && job->cancelled_ms == 0)
		world_violation(
			w, "job %s is shown as cancelled without a request",
			job->id);
	if (state == BW_JOB_FAILED && !world_any_out_of_attempts(job) &&
	    !world_any_crashed_workers(job))
		world_violation(w, "job %s is shown as failed without cause",
				job->id);
	if (state == BW_JOB_FAILED)
		world_count_failed(w, job);
}

static void on_state_check(world_t *w, void *arg)
{
	node_t *owner = &w->nodes[w->owner_node];
	guint i;

	if (owner->fence == 0 || owner->fence != w->owner_fence)
		owner = NULL;
	for (i = 0; owner && owner->sched && i < w->jobs->len; i++) {
		fake_job_t *job = g_ptr_array_index(w->jobs, i);

		check_shown_state(w, job,
				  bw_sched_job_state(owner->sched, job->id));
	}
	if (w->now_ms < w->end_ms)
		world_schedule(w, STATE_CHECK_INTERVAL_MS, on_state_check, arg);
}

/*
 * Checks that all jobs have ended, that cancelled ones do not run, and that
 * every task of a lasting job runs once.
 */
static void check_final_states(world_t *w)
{
	node_t *owner = &w->nodes[w->owner_node];
	guint i;

	if (!owner->sched) {
		world_violation(w, "the pool has no owner at the end");
		return;
	}
	for (i = 0; i < w->jobs->len; i++) {
		fake_job_t *job = g_ptr_array_index(w->jobs, i);
		bw_job_state_t state =
			bw_sched_job_state(owner->sched, job->id);

		if (job->cancelled_ms > 0) {
			if (world_any_running(job))
				world_violation(w,
						"job %s runs though cancelled",
						job->id);
		} else if (job->record.spec->steps[0].lasting &&
			   !job->crashes_workers) {
			if (!all_running(job))
				world_violation(
					w, "job %s does not run all its tasks",
					job->id);
		} else if (job->removed_ms > 0) {
			w->result->completed += world_all_done(job);
		} else if (state == BW_JOB_COMPLETED) {
			w->result->completed++;
		} else if (state != BW_JOB_FAILED) {
			world_violation(w, "job %s is %s at the end", job->id,
					bw_job_state_name(state));
		}
	}
}

static void draw_jobs(world_t *w)
{
	uint32_t i;

	for (i = 0; i < w->config.jobs; i++) {
		fake_job_t *job = g_new0(fake_job_t, 1);

		g_snprintf(job->id, sizeof(job->id), "%016x", i + 1);
		job->record.queue = g_strdup("q");
		job->record.spec = draw_spec(w);
		job->always_fails = !job->record.spec->steps[0].lasting &&
				    world_random_bool(w, 0.05);
		job->tasks = g_new0(task_state_t,
				    bw_job_spec_tasks(job->record.spec));
		g_ptr_array_add(w->jobs, job);
		world_schedule(
			w, world_random_between(w, 100, w->config.traffic_ms),
			on_job_accepted, job);
	}
}

static void job_free(gpointer data)
{
	fake_job_t *job = data;

	bw_job_record_clear(&job->record);
	g_free(job->tasks);
	g_free(job);
}

static void worker_free(gpointer data)
{
	fake_worker_t *worker = data;

	g_array_free(worker->runs, TRUE);
	g_array_free(worker->ends, TRUE);
	g_hash_table_destroy(worker->highest_ended);
	g_free(worker);
}

static void world_init(world_t *w)
{
	uint32_t i;

	w->rand = g_rand_new_with_seed(w->config.seed);
	w->fault_rand = g_rand_new_with_seed(w->config.seed ^ 0xfa17);
	w->resize_rand = g_rand_new_with_seed(w->config.seed ^ 0xcafe);
	w->connection_rand = g_rand_new_with_seed(w->config.seed ^ 0xc105);
	w->late_rand = g_rand_new_with_seed(w->config.seed ^ 0x1a7e);
	w->owners_rand = g_rand_new_with_seed(w->config.seed ^ 0x0e25);
	w->events = g_sequence_new(NULL);
	w->workers = g_ptr_array_new_with_free_func(worker_free);
	w->jobs = g_ptr_array_new_with_free_func(job_free);
	w->now_ms = 1;
	w->end_ms = w->config.traffic_ms + w->config.recovery_ms;
	for (i = 0; i < NODE_COUNT; i++) {
		w->nodes[i].w = w;
		w->nodes[i].index = i;
		w->nodes[i].alive = true;
		world_schedule(
			w, world_random_between(w, 1, DIRECTORY_INTERVAL_MS),
			world_on_directory, &w->nodes[i]);
	}
	for (i = 0; i < WORKER_COUNT; i++)
		start_new_worker(w, i);
	draw_jobs(w);
	draw_cuts(w);
	world_init_crashes(w);
	world_init_gangs(w);
	world_init_tenants(w);
	world_init_racks(w);
	for (i = 0; i < w->config.faults; i++)
		world_schedule(
			w, world_random_between(w, 100, w->config.traffic_ms),
			on_fault, NULL);
	draw_resizes(w);
	world_init_owners(w);
	world_init_chains(w);
	world_schedule(w, 1, world_on_tick, NULL);
	world_schedule(w, 1, on_state_check, NULL);
}

/* Releases an event that does not run, with its call or save. */
static void event_free(event_t *event)
{
	world_free_call(event->fn, event->arg);
	world_free_save(event->fn, event->arg);
	world_free_question(event->fn, event->arg);
	g_free(event);
}

static void clear_events(world_t *w)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(w->events);

	for (; !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter))
		event_free(g_sequence_get(iter));
	g_sequence_free(w->events);
}

static void world_clear(world_t *w)
{
	uint32_t i;

	for (i = 0; i < NODE_COUNT; i++)
		if (w->nodes[i].sched)
			world_destroy_sched(&w->nodes[i]);
	if (w->state)
		g_bytes_unref(w->state);
	clear_events(w);
	world_clear_owners(w);
	g_ptr_array_free(w->workers, TRUE);
	g_ptr_array_free(w->jobs, TRUE);
	g_rand_free(w->rand);
	g_rand_free(w->resize_rand);
	g_rand_free(w->connection_rand);
	g_rand_free(w->crash_rand);
	g_rand_free(w->gang_rand);
	g_rand_free(w->late_rand);
	g_rand_free(w->tenant_rand);
	g_rand_free(w->fault_rand);
	g_rand_free(w->owners_rand);
}

/* Draws a share, which is zero in half of the seeds. */
static double draw_share(GRand *rand, double max)
{
	double share = max * g_rand_double(rand);

	return g_rand_boolean(rand) ? share : 0.0;
}

static void draw_later_faults(uint32_t seed, world_config_t *out)
{
	GRand *rand = g_rand_new_with_seed(seed ^ 0xb007);

	out->same_id_share = draw_share(rand, 1.0);
	out->late_answer_share = draw_share(rand, 0.1);
	out->cuts = g_rand_boolean(rand)
			    ? (uint32_t)g_rand_int_range(rand, 1, 5)
			    : 0;
	out->ends_page = g_rand_int_range(rand, 0, 8) == 0 ? ENDS_PAGE : 0;
	out->stale_notice_share = draw_share(rand, 1.0);
	/* The other worlds keep the course in which they found faults. */
	if (seed % 4 == 0) {
		out->idle_close_share = draw_share(rand, 0.04);
		out->connect_wait_share = draw_share(rand, 1.0);
	}
	g_rand_free(rand);
}

void world_draw_config(uint32_t seed, world_config_t *out)
{
	GRand *rand = g_rand_new_with_seed(seed ^ 0x5eed);

	*out = (world_config_t){
		.seed = seed,
		.jobs = (uint32_t)g_rand_int_range(rand, 10, 80),
		.traffic_ms = g_rand_int_range(rand, 5000, 25000),
		.recovery_ms = STUCK_AFTER_MS + 20000,
		.lost_share = 0.1 * g_rand_double(rand),
		.delayed_share = g_rand_double(rand),
		.faults = (uint32_t)g_rand_int_range(rand, 0, 9),
		.retention_ms = g_rand_int_range(rand, 0, 3000),
	};
	/* Worlds with even seeds keep their size. */
	if (seed % 2 != 0)
		out->resizes = (uint32_t)g_rand_int_range(rand, 1, 13);
	g_rand_free(rand);
	draw_later_faults(seed, out);
	world_draw_crashes(seed, out);
}

void world_clear_restarts(world_config_t *config)
{
	config->same_id_share = 0.0;
	config->late_answer_share = 0.0;
	config->cuts = 0;
	config->ends_page = 0;
	config->stale_notice_share = 0.0;
	config->idle_close_share = 0.0;
	config->connect_wait_share = 0.0;
}

void world_clear_crashes(world_config_t *config)
{
	config->crashing_share = 0.0;
	config->worker_crashes = 0;
}

void world_add_racks(world_config_t *config)
{
	config->near_share = 0.7;
	/* Runs away from their data take longer, and hold up the others. */
	config->recovery_ms *= 2;
}

void world_delay_orders(world_config_t *config)
{
	config->lost_share = 0.5;
	config->delayed_share = 0.9;
}

void world_close_connections(uint32_t seed, world_config_t *config)
{
	world_clear_restarts(config);
	world_clear_crashes(config);
	config->lost_share = 0.0;
	config->faults = 0;
	config->resizes = 0;
	config->closing = true;
	config->same_id_share = 1.0;
	config->worker_crashes = CLOSING_CRASHES;
	config->connect_wait_share = seed % 2 == 0 ? 0.5 : 0.0;
}

void world_restart_away(uint32_t seed, world_config_t *config)
{
	world_clear_restarts(config);
	world_clear_crashes(config);
	config->lost_share = 0.0;
	config->faults = 0;
	config->resizes = 0;
	config->same_id_share = 1.0;
	config->same_id_away_ms = AWAY_MS;
	config->worker_crashes = AWAY_CRASHES;
	config->late_call_share = world_late_share(seed);
}

void world_tell_ends(world_config_t *config)
{
	world_clear_restarts(config);
	config->lost_share = 0.0;
	config->faults = 0;
	config->resizes = 0;
	config->crashing_share = CRASHING_SHARE;
	config->worker_crashes = 0;
	config->tells_ends = true;
}

void world_add_gangs(world_config_t *config)
{
	config->gang_share = 0.5;
	config->confirm_ms = 300;
	config->check_stored = true;
}

void world_change_owners(uint32_t seed, world_config_t *config)
{
	config->chains = OWNER_CHAINS;
	config->traffic_ms = (int64_t)OWNER_CHAINS * CHAIN_MS;
	config->long_share = LONG_SHARE;
	/* Crashes of workers repeat long runs. */
	config->recovery_ms += (config->faults > 0 ? 2 : 1) * LONG_RECOVERY_MS;
	config->confirm_ms = 300;
	config->stale_notice_share = seed % 2 == 0 ? 0.0 : 0.5;
}

void world_add_tenants(world_config_t *config)
{
	config->tenants = TENANTS_MAX;
	config->recovery_ms +=
		config->long_share > 0.0 ? LONG_CAPPED_MS : CAPPED_MS;
}

double world_late_share(uint32_t seed)
{
	return seed % 2 == 0 ? 0.1 : 0.5;
}

void world_play(const world_config_t *config, world_result_t *out)
{
	world_t w = { .config = *config, .result = out };

	memset(out, 0, sizeof(*out));
	world_init(&w);
	while (g_sequence_get_length(w.events) > 0) {
		GSequenceIter *first = g_sequence_get_begin_iter(w.events);
		event_t *event = g_sequence_get(first);

		g_sequence_remove(first);
		w.now_ms = MAX(w.now_ms, event->due_ms);
		if (w.now_ms > w.end_ms + DELAYED_CALL_MAX_MS) {
			event_free(event);
			break;
		}
		if (w.now_ms > w.end_ms && event->fn == world_on_tick) {
			g_free(event);
			check_final_states(&w);
			break;
		}
		event->fn(&w, event->arg);
		out->events++;
		g_free(event);
	}
	world_clear(&w);
}
