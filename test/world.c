#include "world_internal.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

void world_breach(world_t *w, const char *fmt, ...)
{
	char text[200];
	va_list args;

	va_start(args, fmt);
	g_vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	if (w->result->broken++ == 0)
		g_snprintf(w->result->first, sizeof(w->result->first),
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
	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->number < y->number ? -1 : 1;
}

void world_at(world_t *w, int64_t delay_ms, event_fn fn, void *arg)
{
	event_t *event = g_new0(event_t, 1);

	event->at_ms = w->now_ms + delay_ms;
	event->number = ++w->last_event;
	event->fn = fn;
	event->arg = arg;
	g_sequence_insert_sorted(w->events, event, compare_events, NULL);
}

bool world_chance(world_t *w, double share)
{
	return g_rand_double(w->rand) < share;
}

int64_t world_between(world_t *w, int64_t low, int64_t high)
{
	return g_rand_int_range(w->rand, (gint32)low, (gint32)high + 1);
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

truth_t *world_find_truth(fake_job_t *job, const bw_task_name_t *task)
{
	uint32_t first = 0;
	uint32_t i;

	for (i = 0; i < task->step; i++)
		first += job->record.spec->steps[i].count;
	return &job->tasks[first + task->index];
}

/* Faults. */

static void birth(world_t *w, uint32_t machine)
{
	fake_worker_t *worker = g_new0(fake_worker_t, 1);

	worker->machine = machine;
	worker->alive = true;
	worker->born_ms = w->now_ms;
	worker->rate = 0.98 + 0.02 * g_rand_double(w->rand);
	g_snprintf(worker->id, sizeof(worker->id), "w%u-%u", machine,
		   w->births++);
	g_snprintf(worker->name, sizeof(worker->name), "m%u", machine);
	worker->runs = g_array_new(FALSE, TRUE, sizeof(run_t));
	worker->ends = g_array_new(FALSE, TRUE, sizeof(fake_end_t));
	worker->highest =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_ptr_array_add(w->workers, worker);
}

static fake_worker_t *live_worker(world_t *w)
{
	guint start = (guint)world_between(w, 0, (int64_t)w->workers->len - 1);
	guint i;

	for (i = 0; i < w->workers->len; i++) {
		fake_worker_t *worker = g_ptr_array_index(
			w->workers, (start + i) % w->workers->len);

		if (worker->alive)
			return worker;
	}
	return NULL;
}

static void on_rebirth(world_t *w, void *arg)
{
	birth(w, GPOINTER_TO_UINT(arg));
}

static void crash_worker(world_t *w)
{
	fake_worker_t *worker = live_worker(w);
	guint i;

	if (!worker)
		return;
	world_trace(w, "crash", worker->id);
	worker->alive = false;
	worker->dark = world_chance(w, 0.5);
	for (i = 0; i < worker->runs->len; i++) {
		const run_t *run = &g_array_index(worker->runs, run_t, i);

		world_find_truth(world_find_job(w, run->task.job), &run->task)
			->running--;
	}
	g_array_set_size(worker->runs, 0);
	world_at(w, world_between(w, 500, 8000), on_rebirth,
		 GUINT_TO_POINTER(worker->machine));
}

static void on_heal_worker(world_t *w, void *arg)
{
	fake_worker_t *worker = arg;

	(void)w;
	memset(worker->cut, 0, sizeof(worker->cut));
	worker->bad = false;
	worker->wanted = false;
}

static void cut_worker(world_t *w)
{
	fake_worker_t *worker = live_worker(w);
	uint32_t i;

	if (!worker)
		return;
	world_trace(w, "cut", worker->id);
	for (i = 0; i < NODES; i++)
		worker->cut[i] = world_chance(w, 0.7);
	world_at(w, world_between(w, 500, 9000), on_heal_worker, worker);
}

static void empty_worker(world_t *w)
{
	fake_worker_t *worker = live_worker(w);

	if (!worker)
		return;
	world_trace(w, "empty", worker->id);
	worker->wanted = true;
	world_at(w, world_between(w, 2000, 9000), on_heal_worker, worker);
}

static void spoil_worker(world_t *w)
{
	fake_worker_t *worker = live_worker(w);

	if (!worker)
		return;
	worker->bad = true;
	world_at(w, world_between(w, 500, 5000), on_heal_worker, worker);
}

static void on_restart(world_t *w, void *arg)
{
	((node_t *)arg)->alive = true;
	(void)w;
}

static void kill_node(world_t *w, node_t *node)
{
	if (!node->alive)
		return;
	world_trace(w, "kill",
		    node->index == w->owner_node ? "owner" : "other");
	node->alive = false;
	if (node->sched)
		world_drop_sched(node);
	node->fence = 0;
	world_at(w, world_between(w, 300, 3000), on_restart, node);
}

static void on_heal_node(world_t *w, void *arg)
{
	(void)w;
	((node_t *)arg)->store_cut = false;
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
	switch (world_between(w, 0, 14)) {
	case 0:
	case 1:
		kill_node(w, owner);
		break;
	case 2:
		owner->paused_until_ms =
			w->now_ms + world_between(w, 300, 6000);
		world_trace(w, "pause", "owner");
		break;
	case 3:
		owner->store_cut = true;
		world_trace(w, "cut-store", "owner");
		world_at(w, world_between(w, 500, 7000), on_heal_node, owner);
		break;
	case 4:
		w->store_down = true;
		world_trace(w, "store", "down");
		world_at(w, world_between(w, 300, 5000), on_store_up, NULL);
		break;
	case 5:
		w->owner_fence = 0;
		world_trace(w, "revoke", "");
		break;
	case 6:
		for (i = 0; i < NODES; i++)
			kill_node(w, &w->nodes[i]);
		break;
	case 7:
		spoil_worker(w);
		break;
	case 8:
		cut_worker(w);
		break;
	case 12:
	case 13:
		empty_worker(w);
		empty_worker(w);
		break;
	case 9:
	case 10:
		if (!owner->sched || owner->fence == 0 || owner->leaving)
			break;
		world_trace(w, "leave", "owner");
		owner->leaving = true;
		bw_sched_hand_over(owner->sched);
		world_run_node(w, owner);
		break;
	default:
		crash_worker(w);
		break;
	}
}

/* Jobs. */

static bw_job_spec_t *draw_spec(world_t *w)
{
	uint32_t steps = (uint32_t)world_between(w, 1, 3);
	bw_job_spec_t *spec = bw_job_spec_new(steps);
	bool lasting = w->lasting < LASTING_MAX && world_chance(w, 0.1);
	uint32_t i;

	spec->text = g_strdup("text");
	for (i = 0; i < steps; i++) {
		bw_step_spec_t *step = &spec->steps[i];

		step->count = (uint32_t)world_between(w, 1, 8);
		step->need.cpu_millis = world_between(w, 500, 9000);
		step->need.mem_mb = world_between(w, 100, 5000);
		step->estimate_ms = (uint32_t)world_between(w, 100, 3000);
		step->lasting = lasting;
		if (lasting)
			step->need.cpu_millis = world_between(w, 500, 3000);
		step->away_max = 1;
		step->per_worker_max = world_chance(w, 0.2) ? 2 : 0;
		if (i > 0 && !lasting) {
			step->after = g_new(uint32_t, 1);
			step->after[0] = i - 1;
			step->after_count = 1;
		}
	}
	w->lasting += lasting;
	return spec;
}

static void on_cancel(world_t *w, void *arg)
{
	fake_job_t *job = arg;
	node_t *owner = &w->nodes[w->owner_node];

	if (job->removed_ms > 0)
		return;
	job->cancelled_ms = w->now_ms;
	if (owner->sched && world_node_works(w, owner) && !owner->store_cut &&
	    !w->store_down) {
		bw_sched_cancel(owner->sched, w->now_ms, job->id);
		world_run_node(w, owner);
	}
}

static void on_job(world_t *w, void *arg)
{
	fake_job_t *job = arg;
	node_t *owner = &w->nodes[w->owner_node];

	job->stored_ms = w->now_ms;
	job->record.accepted_ms = w->now_ms;
	if (world_chance(w, 0.1))
		world_at(w, world_between(w, 5, 4000), on_cancel, job);
	if (owner->sched && owner->fence == w->owner_fence &&
	    world_node_works(w, owner) && !owner->store_cut && !w->store_down) {
		world_give_job(w, owner, job);
		world_run_node(w, owner);
	}
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

bool world_any_out_of_tries(const fake_job_t *job)
{
	uint32_t i;

	for (i = 0; i < bw_job_spec_tasks(job->record.spec); i++)
		if (job->tasks[i].failed >= ATTEMPTS)
			return true;
	return false;
}

/* A shown state is never ahead of the truth. */
static void check_shown(world_t *w, fake_job_t *job, bw_job_state_t state)
{
	if (job->removed_ms > 0 && state == BW_JOB_UNKNOWN)
		return;
	if (job->shown && state != BW_JOB_COMPLETED)
		world_breach(w, "job %s was completed and is %s", job->id,
			     bw_job_state_name(state));
	if (job->shown_cancelled && state != BW_JOB_CANCELLED)
		world_breach(w, "job %s was cancelled and is %s", job->id,
			     bw_job_state_name(state));
	job->shown |= state == BW_JOB_COMPLETED;
	job->shown_cancelled |= state == BW_JOB_CANCELLED;
	if (state == BW_JOB_COMPLETED && !world_all_done(job))
		world_breach(w, "job %s is shown as completed too early",
			     job->id);
	if (state == BW_JOB_CANCELLED && job->cancelled_ms == 0)
		world_breach(w, "job %s is shown as cancelled", job->id);
	if (state == BW_JOB_FAILED && !world_any_out_of_tries(job))
		world_breach(w, "job %s is shown as failed without cause",
			     job->id);
}

static void on_look(world_t *w, void *arg)
{
	node_t *owner = &w->nodes[w->owner_node];
	guint i;

	if (owner->fence == 0 || owner->fence != w->owner_fence)
		owner = NULL;
	for (i = 0; owner && owner->sched && i < w->jobs->len; i++) {
		fake_job_t *job = g_ptr_array_index(w->jobs, i);

		check_shown(w, job, bw_sched_job_state(owner->sched, job->id));
	}
	if (w->now_ms < w->end_ms)
		world_at(w, LOOK_MS, on_look, arg);
}

static void check_end(world_t *w)
{
	node_t *owner = &w->nodes[w->owner_node];
	guint i;

	if (!owner->sched) {
		world_breach(w, "the pool has no owner at the end");
		return;
	}
	for (i = 0; i < w->jobs->len; i++) {
		fake_job_t *job = g_ptr_array_index(w->jobs, i);
		bw_job_state_t state =
			bw_sched_job_state(owner->sched, job->id);

		if (job->cancelled_ms > 0) {
			if (world_any_running(job))
				world_breach(w, "job %s runs though cancelled",
					     job->id);
		} else if (job->record.spec->steps[0].lasting) {
			if (!all_running(job))
				world_breach(w, "job %s does not run whole",
					     job->id);
		} else if (job->removed_ms > 0) {
			w->result->completed += world_all_done(job);
		} else if (state == BW_JOB_COMPLETED) {
			w->result->completed++;
		} else if (state != BW_JOB_FAILED) {
			world_breach(w, "job %s is %s at the end", job->id,
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
		job->poison = !job->record.spec->steps[0].lasting &&
			      world_chance(w, 0.05);
		job->tasks =
			g_new0(truth_t, bw_job_spec_tasks(job->record.spec));
		g_ptr_array_add(w->jobs, job);
		world_at(w, world_between(w, 100, w->config.traffic_ms), on_job,
			 job);
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
	g_hash_table_destroy(worker->highest);
	g_free(worker);
}

static void world_init(world_t *w)
{
	uint32_t i;

	w->rand = g_rand_new_with_seed(w->config.seed);
	w->events = g_sequence_new(NULL);
	w->workers = g_ptr_array_new_with_free_func(worker_free);
	w->jobs = g_ptr_array_new_with_free_func(job_free);
	w->now_ms = 1;
	w->end_ms = w->config.traffic_ms + w->config.settle_ms;
	for (i = 0; i < NODES; i++) {
		w->nodes[i].w = w;
		w->nodes[i].index = i;
		w->nodes[i].alive = true;
		world_at(w, world_between(w, 1, DIRECTORY_MS),
			 world_on_directory, &w->nodes[i]);
	}
	for (i = 0; i < WORKERS; i++)
		birth(w, i);
	draw_jobs(w);
	for (i = 0; i < w->config.faults; i++)
		world_at(w, world_between(w, 100, w->config.traffic_ms),
			 on_fault, NULL);
	world_at(w, 1, world_on_tick, NULL);
	world_at(w, 1, on_look, NULL);
}

/* Calls and saves that are still on their way belong to their event. */
static void event_free(event_t *event)
{
	world_call_drop(event->fn, event->arg);
	world_save_drop(event->fn, event->arg);
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

	for (i = 0; i < NODES; i++)
		if (w->nodes[i].sched)
			world_drop_sched(&w->nodes[i]);
	if (w->state)
		g_bytes_unref(w->state);
	clear_events(w);
	g_ptr_array_free(w->workers, TRUE);
	g_ptr_array_free(w->jobs, TRUE);
	g_rand_free(w->rand);
}

void world_draw(uint32_t seed, world_config_t *out)
{
	GRand *rand = g_rand_new_with_seed(seed ^ 0x5eed);

	*out = (world_config_t){
		.seed = seed,
		.jobs = (uint32_t)g_rand_int_range(rand, 10, 80),
		.traffic_ms = g_rand_int_range(rand, 5000, 25000),
		.settle_ms = STRANDED_MS + 20000,
		.lost_share = 0.1 * g_rand_double(rand),
		.late_share = g_rand_double(rand),
		.faults = (uint32_t)g_rand_int_range(rand, 0, 9),
		.keep_ms = g_rand_int_range(rand, 0, 3000),
	};
	g_rand_free(rand);
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
		w.now_ms = MAX(w.now_ms, event->at_ms);
		if (w.now_ms > w.end_ms + LATE_MAX_MS) {
			event_free(event);
			break;
		}
		if (w.now_ms > w.end_ms && event->fn == world_on_tick) {
			g_free(event);
			check_end(&w);
			break;
		}
		event->fn(&w, event->arg);
		out->events++;
		g_free(event);
	}
	world_clear(&w);
}
