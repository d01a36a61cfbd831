/* Creation, the periodic run, recovery after a takeover, and statistics. */
#include "sched/internal.h"

#include <stdarg.h>

/** Least time between sweeps; short against all times that they check. */
#define SWEEP_INTERVAL_MS 20
static const char *const order_result_names[BW_ORDER_RESULT_COUNT] = {
	[BW_ORDER_OK] = "ok",
	[BW_ORDER_FENCED] = "fenced",
	[BW_ORDER_OLD_RUN] = "old-run",
	[BW_ORDER_EXPIRED] = "expired",
	[BW_ORDER_NO_RESOURCES] = "no-room",
	[BW_ORDER_NO_TICKET] = "no-ticket",
	[BW_ORDER_UNHEALTHY] = "unhealthy",
	[BW_ORDER_OTHER_BOOT] = "other-boot",
	[BW_ORDER_REFUSED] = "refused",
	[BW_ORDER_NOT_SENT] = "not-sent",
	[BW_ORDER_LOST] = "lost",
};

static const char *const end_kind_names[BW_END_KIND_COUNT] = {
	[BW_END_DONE] = "done",
	[BW_END_FAILED] = "failed",
	[BW_END_STOPPED] = "stopped",
	[BW_END_EXPIRED] = "expired",
	[BW_END_GANG_BROKEN] = "gang-broken",
	[BW_END_GANG_ALONE] = "gang-alone",
};

static void check_recovered(bw_sched_t *s, int64_t now_ms);

const char *bw_order_result_name(bw_order_result_t result)
{
	return order_result_names[result];
}

const char *bw_end_kind_name(bw_end_kind_t kind)
{
	return end_kind_names[kind];
}

void sched_log(bw_sched_t *s, bw_event_kind_t kind, const char *fmt, ...)
{
	va_list args;

	if (!s->ops.log)
		return;
	va_start(args, fmt);
	s->ops.log(s->ctx, kind, fmt, args);
	va_end(args);
}

void sched_changed(bw_sched_t *s, bool urgent)
{
	s->version++;
	if (urgent)
		s->urgent_version = s->version;
}

bw_sched_t *bw_sched_create(const bw_sched_config_t *config,
			    const bw_sched_ops_t *ops, void *ctx,
			    int64_t now_ms)
{
	bw_sched_t *s = g_new0(bw_sched_t, 1);

	s->config = *config;
	s->ops = *ops;
	s->ctx = ctx;
	s->queues = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, NULL);
	s->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					sched_job_free);
	s->active = g_ptr_array_new();
	s->ending = g_ptr_array_new();
	s->finished = g_queue_new();
	s->unshortened = g_queue_new();
	s->removed = g_queue_new();
	s->stored_progress = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, sched_progress_free);
	s->unreadable =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->workers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   sched_worker_free);
	s->machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    (GDestroyNotify)g_ptr_array_unref);
	sched_departed_init(s);
	sched_crashes_init(s);
	sched_isolation_init(s);
	sched_holds_init(s);
	s->tenants = sched_tenants_create();
	s->near = sched_near_create();
	s->index = sched_index_create();
	s->start_window = bw_start_window_create(BW_ORDER_TIMEOUT_MS);
	s->resend = bw_resend_create(BW_ORDER_TIMEOUT_MS);
	s->arrivals = bw_arrivals_create();
	s->startable = g_hash_table_new(NULL, NULL);
	s->created_ms = now_ms;
	s->run_ms = now_ms;
	s->confirmed_ms = now_ms;
	s->earlier_saved_ms = now_ms;
	s->confirm_age_ms = config->confirm_ms;
	s->first_owner = true;
	s->term = 1;
	s->orders_allowed = true;
	s->version = 1;
	s->urgent_version = 1;
	s->confirm_version = 1;
	return s;
}

static void queue_free(queue_t *queue)
{
	g_free(queue->name);
	g_free(queue);
}

void bw_sched_destroy(bw_sched_t *s)
{
	GHashTableIter iter;
	gpointer queue;

	if (!s)
		return;
	g_hash_table_destroy(s->jobs);
	g_hash_table_destroy(s->workers);
	g_hash_table_destroy(s->machines);
	sched_departed_clear(s);
	sched_crashes_clear(s);
	sched_isolation_clear(s);
	sched_holds_clear(s);
	sched_tenants_destroy(s->tenants);
	g_hash_table_destroy(s->startable);
	sched_near_destroy(s->near);
	sched_index_destroy(s->index);
	bw_start_window_destroy(s->start_window);
	bw_resend_destroy(s->resend);
	bw_arrivals_destroy(s->arrivals);
	g_hash_table_iter_init(&iter, s->queues);
	while (g_hash_table_iter_next(&iter, NULL, &queue))
		queue_free(queue);
	g_hash_table_destroy(s->queues);
	g_ptr_array_free(s->active, TRUE);
	g_ptr_array_free(s->ending, TRUE);
	g_queue_free(s->finished);
	g_queue_free(s->unshortened);
	g_queue_free(s->removed);
	g_hash_table_destroy(s->stored_progress);
	g_hash_table_destroy(s->unreadable);
	g_free(s);
}

void bw_sched_set_queue(bw_sched_t *s, const bw_queue_config_t *config)
{
	queue_t *queue = sched_queue(s, config->name);

	queue->terms = config->terms;
	queue->configured = true;
}

void bw_sched_allow_orders(bw_sched_t *s, bool allowed)
{
	if (s->orders_allowed != allowed)
		sched_log(s, BW_EVENT_SCHED_ORDERS, "allowed=%d", allowed);
	s->orders_allowed = allowed;
}

void bw_sched_registrations_read(bw_sched_t *s, int64_t began_ms)
{
	s->registrations_ms = began_ms;
}

void bw_sched_hand_over(bw_sched_t *s)
{
	bw_sched_allow_orders(s, false);
	s->handing_over = true;
	sched_changed(s, true);
}

void bw_sched_predecessor_stopped(bw_sched_t *s, int64_t now_ms)
{
	if (s->predecessor_stopped_ms == 0)
		s->predecessor_stopped_ms = now_ms;
}

int64_t bw_sched_saved_by(const bw_sched_t *s)
{
	return (int64_t)s->loaded_fence;
}

int64_t bw_sched_known_from(const bw_sched_t *s)
{
	return s->loaded_settled ? (int64_t)s->loaded_fence
				 : bw_sched_handed_over_by(s);
}

int64_t bw_sched_handed_over_by(const bw_sched_t *s)
{
	return s->handed_over ? (int64_t)s->loaded_fence : 0;
}

bool bw_sched_recovered(const bw_sched_t *s)
{
	return s->recovered;
}

static const char *settled_by(const bw_sched_t *s, uint32_t unheard)
{
	if (s->first_owner)
		return "start";
	return unheard > 0 ? "time" : "lists";
}

static void log_settled(bw_sched_t *s, uint32_t unheard, int64_t now_ms)
{
	int64_t stopped_ms = s->predecessor_stopped_ms > 0
				     ? s->predecessor_stopped_ms - s->created_ms
				     : -1;

	sched_log(s, BW_EVENT_SCHED_SETTLED,
		  "after_ms=%" G_GINT64_FORMAT
		  " by=%s unheard=%u stopped_ms=%" G_GINT64_FORMAT,
		  now_ms - s->created_ms, settled_by(s, unheard), unheard,
		  stopped_ms);
}

/*
 * Recovery ends once each worker has listed its runs, or once all grants of
 * earlier owners have expired.
 */
static void check_recovered(bw_sched_t *s, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t unheard = 0;
	int64_t stopped_ms = s->predecessor_stopped_ms > 0
				     ? s->predecessor_stopped_ms
				     : s->created_ms + s->config.outage_ms;
	int64_t bound_ms =
		stopped_ms + CLOCK_MARGIN_MS +
		(int64_t)((double)s->config.grant_ms_max / CLOCK_RATE_MIN);

	if (s->recovered)
		return;
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const worker_t *worker = value;

		if (worker->synced || worker->dead)
			continue;
		if ((!s->first_owner && now_ms < bound_ms) ||
		    now_ms < worker->earlier_grant_until_ms)
			return;
		unheard++;
	}
	s->recovered = true;
	log_settled(s, unheard, now_ms);
}

/* Looks at all tasks and workers for what is due; in a surge the scheduler runs
 * a thousand times a second. */
static void sweep(bw_sched_t *s, int64_t now_ms)
{
	if (now_ms < s->next_sweep_ms)
		return;
	s->next_sweep_ms = now_ms + SWEEP_INTERVAL_MS;
	sched_workers_expire(s, now_ms);
	sched_resend_stops(s, now_ms);
	sched_measure_last_chances(s);
}

void bw_sched_run(bw_sched_t *s, int64_t now_ms, int64_t wall_ms)
{
	s->run_ms = now_ms;
	if (!s->orders_allowed)
		return;
	check_recovered(s, now_ms);
	sched_check_alone(s, now_ms);
	sweep(s, now_ms);
	sched_create_due_occurrences(s, now_ms, wall_ms);
	sched_jobs_reap(s);
	sched_jobs_discard(s, now_ms);
	sched_evacuate(s, now_ms);
	/* On a slow link all orders wait for those sent before them. */
	sched_send_heartbeats(s, now_ms);
	sched_send_again(s, now_ms);
	if (sched_may_start(s))
		sched_place(s, now_ms);
}

void bw_sched_owned_at(bw_sched_t *s, uint64_t revision)
{
	s->owned_at = MAX(s->owned_at, revision);
	sched_note_alone(s, revision);
}

uint64_t bw_sched_version(const bw_sched_t *s)
{
	return s->version;
}

bool bw_sched_urgent(const bw_sched_t *s)
{
	return s->urgent_version > s->saved_version;
}

bw_job_state_t bw_sched_job_state(const bw_sched_t *s, const char *id)
{
	const job_t *job = g_hash_table_lookup(s->jobs, id);

	if (!job)
		return BW_JOB_UNKNOWN;
	if (sched_end_stored(s, job))
		return job->state;
	/* A cancellation is stored before bw_sched_cancel() is called. */
	if (job->state == BW_JOB_CANCELLED)
		return job->state;
	return job->started ? BW_JOB_RUNNING : BW_JOB_QUEUED;
}

static void add_worker_stats(const worker_t *worker, bw_sched_stats_t *out)
{
	out->workers++;
	if (!worker->registered || worker->draining || !worker->synced)
		return;
	out->workers_usable++;
	out->capacity.cpu_millis += worker->capacity.cpu_millis;
	out->capacity.mem_mb += worker->capacity.mem_mb;
	out->used.cpu_millis += worker->used.cpu_millis;
	out->used.mem_mb += worker->used.mem_mb;
	out->tasks_running += worker->tasks->len;
}

void bw_sched_stats(const bw_sched_t *s, bw_sched_stats_t *out)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	*out = (bw_sched_stats_t){ 0 };
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_worker_stats(value, out);
	out->quota_refusals = s->tenants->refused;
	out->jobs_active = s->active->len;
	for (i = 0; i < s->active->len; i++) {
		const job_t *job = g_ptr_array_index(s->active, i);

		if (!job->started && job->spec->repeats == 0)
			out->jobs_waiting++;
	}
}

uint32_t bw_sched_waiting(const bw_sched_t *s, const char *queue)
{
	uint32_t waiting = 0;
	guint i;

	for (i = 0; i < s->active->len; i++) {
		const job_t *job = g_ptr_array_index(s->active, i);

		if (!job->started && job->spec->repeats == 0 &&
		    !g_strcmp0(job->queue->name, queue))
			waiting++;
	}
	return waiting;
}
