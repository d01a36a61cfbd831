/* Reports on the demand, the workers and the jobs of a pool. */
#include "sched/internal.h"

/** A machine that is ordered can be used after this time: a move, and until its
 *  worker is registered and has answered. */
#define FORECAST_MS 1800
/** Older jobs don't count as arrivals. */
#define ARRIVAL_AGE_MAX_MS 1500

static void add_waiting(const occurrence_t *occurrence, bw_pool_demand_t *out);

static void add_waiting(const occurrence_t *occurrence, bw_pool_demand_t *out)
{
	const bw_job_spec_t *spec = occurrence->job->spec;
	uint32_t i;

	for (i = 0; i < spec->step_count; i++) {
		const step_state_t *state = &occurrence->steps[i];

		if (state->waiting > 0 && !spec->steps[i].filler &&
		    sched_step_ready(occurrence, i))
			out->waiting_millis +=
				spec->steps[i].need.cpu_millis * state->waiting;
	}
}

uint32_t sched_count_lasting(const worker_t *worker)
{
	uint32_t lasting = 0;
	guint i;

	for (i = 0; i < worker->tasks->len; i++) {
		const task_t *task = g_ptr_array_index(worker->tasks, i);

		if (sched_task_step(task)->lasting)
			lasting++;
	}
	return lasting;
}

static void add_used(const worker_t *worker, bw_pool_demand_t *out)
{
	guint i;

	out->used_millis += worker->used.cpu_millis;
	for (i = 0; i < worker->tasks->len; i++) {
		const bw_step_spec_t *step =
			sched_task_step(g_ptr_array_index(worker->tasks, i));

		if (step->lasting && !step->filler)
			out->lasting_millis += step->need.cpu_millis;
	}
}

/* A takeover reads all jobs at once, which is no surge. */
void sched_record_arrival(bw_sched_t *s, const job_t *job, int64_t now_ms)
{
	int64_t age_ms = now_ms - job->arrived_ms;
	double work = 0.0;
	uint32_t i;

	if (age_ms > ARRIVAL_AGE_MAX_MS || job->spec->repeats > 0)
		return;
	for (i = 0; i < job->spec->step_count; i++) {
		const bw_step_spec_t *step = &job->spec->steps[i];

		if (!step->lasting && !step->filler)
			work += (double)step->need.cpu_millis * step->count *
				(double)sched_estimate_ms(job, step);
	}
	bw_arrivals_add_earlier(s->arrivals, now_ms,
				s->saved_version == 0 ? age_ms : 0, work);
}

void bw_sched_demand(const bw_sched_t *s, int64_t now_ms, bw_pool_demand_t *out)
{
	GHashTableIter iter;
	gpointer value;
	guint i;
	guint k;

	*out = (bw_pool_demand_t){
		.offered_millis = (int64_t)bw_arrivals_forecast(
			s->arrivals, now_ms, FORECAST_MS),
	};
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_used(value, out);
	for (i = 0; i < s->active->len; i++) {
		const job_t *job = g_ptr_array_index(s->active, i);

		for (k = 0; k < job->occurrences->len; k++)
			add_waiting(g_ptr_array_index(job->occurrences, k),
				    out);
	}
}

void bw_sched_views(const bw_sched_t *s, int64_t now_ms,
		    void (*fn)(void *ctx, const bw_worker_view_t *view),
		    void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const worker_t *worker = value;
		bw_worker_view_t view = {
			.id = worker->id,
			.tasks = worker->tasks->len,
			.lasting = sched_count_lasting(worker),
			/* Otherwise another owner may have started tasks. */
			.idle = s->orders_allowed && worker->synced &&
				worker->tasks->len == 0 && !worker->has_orphans,
			.cordoned = worker->cordoned,
			.reachable = sched_worker_reachable(worker, now_ms),
			.silent = !worker->synced ||
				  now_ms - worker->last_heartbeat_ms >=
					  WORKER_SILENT_MS,
			.started_ms = sched_worker_boot_ms(worker),
		};

		if (!worker->dead)
			fn(ctx, &view);
	}
}

static void count_tasks(const occurrence_t *occurrence, bw_job_view_t *view)
{
	uint32_t i;

	view->tasks += occurrence->task_count;
	for (i = 0; i < occurrence->task_count; i++) {
		task_state_t state = occurrence->tasks[i].state;

		view->running += state == TASK_RUNNING;
		view->waiting += state == TASK_WAITING;
	}
}

void bw_sched_jobs(const bw_sched_t *s, int64_t now_ms,
		   void (*fn)(void *ctx, const bw_job_view_t *view), void *ctx)
{
	guint i;
	guint k;

	for (i = 0; i < s->active->len; i++) {
		const job_t *job = g_ptr_array_index(s->active, i);
		bw_job_view_t view = {
			.id = job->id,
			.queue = job->queue->name,
			.state = bw_sched_job_state(s, job->id),
			.lasting = job->lasting,
			.age_ms = now_ms - job->arrived_ms,
		};

		for (k = 0; k < job->occurrences->len; k++)
			count_tasks(g_ptr_array_index(job->occurrences, k),
				    &view);
		fn(ctx, &view);
	}
}
