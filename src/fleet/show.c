#include "fleet/internal.h"

#include "base/clock.h"
#include "base/event.h"
#include "base/metrics.h"

#define LABEL_BYTES 256

static json_t *show_status(void *ctx);
static json_t *show_pools(void *ctx);
static json_t *show_waves(void *ctx);
static json_t *show_jobs(void *ctx, const char *pool);
static void show_log(GString *out);
static void show_gauges(void *ctx, GString *out);

const bw_fleet_operators_ops_t bw_fleet_show_ops = {
	.status = show_status,
	.pools = show_pools,
	.waves = show_waves,
	.tenants = fleet_show_tenants,
	.jobs = show_jobs,
	.gauges = show_gauges,
};

static json_t *show_status(void *ctx)
{
	bw_fleet_t *f = ctx;
	int64_t now_ms = bw_clock_now_ms();

	return json_pack(
		"{s:s,s:s,s:I,s:b,s:I,s:i,s:b,s:b,s:I}", "node",
		f->env.settings->name, "zone", f->env.settings->zone,
		"configuration",
		(json_int_t)(f->config ? f->config->version : 0), "store_good",
		(int)f->store_reachable, "lease_left_ms",
		(json_int_t)(bw_fleet_member_lease_end_ms(f->member) - now_ms),
		"pools", (int)g_hash_table_size(f->pools), "directs_machines",
		(int)(f->controller != NULL), "leaving", (int)f->leaving,
		"log_lines_left_out", (json_int_t)bw_event_dropped());
}

static json_t *show_pool(bw_fleet_t *f, const bw_pool_config_t *config)
{
	const char *owner = bw_fleet_member_owner(f->member, config->name);
	bw_pool_t *pool = g_hash_table_lookup(f->pools, config->name);
	json_t *row = json_pack("{s:s,s:s?,s:b,s:b}", "pool", config->name,
				"owner", owner, "standby", (int)config->standby,
				"here", (int)(pool != NULL));
	bw_sched_stats_t stats;

	if (!pool || !bw_pool_sched(pool))
		return row;
	bw_sched_stats(bw_pool_sched(pool), &stats);
	json_object_update_new(
		row, json_pack("{s:I,s:b,s:i,s:i,s:i,s:i,s:i,s:I,s:I}", "fence",
			       (json_int_t)bw_pool_fence(pool), "settled",
			       (int)bw_sched_recovered(bw_pool_sched(pool)),
			       "jobs", (int)stats.jobs_active, "jobs_waiting",
			       (int)stats.jobs_waiting, "tasks",
			       (int)stats.tasks_running, "workers",
			       (int)stats.workers, "workers_usable",
			       (int)stats.workers_usable, "cpu_millis",
			       (json_int_t)stats.capacity.cpu_millis,
			       "cpu_millis_used",
			       (json_int_t)stats.used.cpu_millis));
	return row;
}

static json_t *show_pools(void *ctx)
{
	bw_fleet_t *f = ctx;
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; f->config && i < f->config->pool_count; i++)
		json_array_append_new(list, show_pool(f, &f->config->pools[i]));
	return list;
}

static void add_wave(void *ctx, const bw_wave_progress_t *wave)
{
	json_array_append_new(
		ctx, json_pack("{s:I,s:i,s:i,s:i,s:i,s:b}", "wave",
			       (json_int_t)wave->number, "machines",
			       (int)wave->machines, "at_once",
			       (int)wave->at_once_max, "reserved",
			       (int)wave->reserved, "done", (int)wave->done,
			       "completed", (int)wave->completed));
}

static json_t *show_waves(void *ctx)
{
	bw_fleet_t *f = ctx;
	json_t *list = json_array();

	if (f->controller)
		bw_controller_foreach_wave(f->controller, add_wave, list);
	return json_pack("{s:b,s:s?,s:o}", "here", (int)(f->controller != NULL),
			 "directed_by",
			 bw_fleet_member_owner(f->member, BW_CONTROLLER_ROLE),
			 "waves", list);
}

static void add_job(void *ctx, const bw_job_view_t *view)
{
	json_array_append_new(
		ctx, json_pack("{s:s,s:s,s:s,s:b,s:I,s:i,s:i,s:i}", "job",
			       view->id, "queue", view->queue, "state",
			       bw_job_state_name(view->state), "lasting",
			       (int)view->lasting, "age_ms",
			       (json_int_t)view->age_ms, "tasks",
			       (int)view->tasks, "running", (int)view->running,
			       "waiting", (int)view->waiting));
}

static json_t *show_jobs(void *ctx, const char *name)
{
	bw_fleet_t *f = ctx;
	bw_pool_t *pool = g_hash_table_lookup(f->pools, name);
	json_t *list;

	if (!pool || !bw_pool_sched(pool))
		return NULL;
	list = json_array();
	bw_sched_jobs(bw_pool_sched(pool), bw_clock_now_ms(), add_job, list);
	return list;
}

static void show_pool_gauges(bw_fleet_t *f, bw_pool_t *pool, GString *out)
{
	char label[LABEL_BYTES];
	bw_sched_stats_t stats;

	if (!bw_pool_sched(pool))
		return;
	bw_sched_stats(bw_pool_sched(pool), &stats);
	g_snprintf(label, sizeof(label), "pool=\"%s\"", bw_pool_name(pool));
	bw_metrics_gauge(out, "bramley_jobs_active", label, stats.jobs_active);
	bw_metrics_gauge(out, "bramley_jobs_waiting", label,
			 stats.jobs_waiting);
	bw_metrics_gauge(out, "bramley_tasks_running", label,
			 stats.tasks_running);
	bw_metrics_gauge(out, "bramley_workers", label, stats.workers);
	bw_metrics_gauge(out, "bramley_workers_usable", label,
			 stats.workers_usable);
	bw_metrics_gauge(out, "bramley_cpu_millis", label,
			 (double)stats.capacity.cpu_millis);
	bw_metrics_gauge(out, "bramley_cpu_millis_used", label,
			 (double)stats.used.cpu_millis);
	fleet_show_tenant_gauges(f, pool, out);
	/* Only where tenants have caps. */
	if (stats.quota_refusals > 0)
		bw_metrics_gauge(out, "bramley_quota_refusals_total", label,
				 (double)stats.quota_refusals);
}

static void show_log(GString *out)
{
	char label[LABEL_BYTES];
	int i;

	bw_metrics_gauge(out, "bramley_log_lines_total", NULL,
			 (double)bw_event_lines());
	bw_metrics_gauge(out, "bramley_log_bytes_total", NULL,
			 (double)bw_event_bytes());
	for (i = 0; i < BW_EVENT_DROP_COUNT; i++) {
		bw_event_drop_t why = (bw_event_drop_t)i;

		g_snprintf(label, sizeof(label), "reason=\"%s\"",
			   bw_event_drop_name(why));
		bw_metrics_gauge(out, "bramley_log_lines_left_out_total", label,
				 (double)bw_event_dropped_for(why));
	}
}

static void show_gauges(void *ctx, GString *out)
{
	bw_fleet_t *f = ctx;
	int64_t now_ms = bw_clock_now_ms();
	GHashTableIter iter;
	gpointer pool;

	bw_metrics_gauge(out, "bramley_pools_owned", NULL,
			 g_hash_table_size(f->pools));
	bw_metrics_gauge(out, "bramley_directs_machines", NULL,
			 f->controller != NULL);
	bw_metrics_gauge(out, "bramley_store_good", NULL, f->store_reachable);
	bw_metrics_gauge(out, "bramley_store_answer_age_ms", NULL,
			 (double)(now_ms - f->last_store_answer_ms));
	bw_metrics_gauge(
		out, "bramley_lease_left_ms", NULL,
		(double)(bw_fleet_member_lease_end_ms(f->member) - now_ms));
	bw_metrics_gauge(out, "bramley_configuration_version", NULL,
			 f->config ? (double)f->config->version : 0.0);
	bw_metrics_gauge(out, "bramley_configuration_doubted", NULL,
			 bw_config_sync_trust(
				 bw_config_exchange_sync(f->config_exchange),
				 now_ms) == BW_CONFIG_DOUBTED);
	show_log(out);
	fleet_show_lender_gauges(f, out);
	g_hash_table_iter_init(&iter, f->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		show_pool_gauges(f, pool, out);
}
