/*
 * Tenants of the simulation: some jobs are of tenants with caps. Each owner of
 * the pool, the only one, has the whole cap as its quota from the start on. At
 * each start on a worker, what really runs of the tenant is added up. What is
 * drawn for them comes from a generator of its own.
 */
#include "world_internal.h"

#include <string.h>

/** What runs may be over the cap by this share, and by one task. */
#define OVERAGE 0.1
/** Caps, beside what lasting tasks need and if no gang needs more. */
#define CAP_CPU_MIN_MILLIS 24000
#define CAP_CPU_MAX_MILLIS 60000
#define CAP_MEM_MIN_MB	   15000
#define CAP_MEM_MAX_MB	   60000
/** Share of the tenants without a cap on memory. */
#define NO_MEM_CAP 0.5
/** Seed of the generator, combined with that of the simulation. */
#define TENANT_SEED 0x7e4aU

static void add(bw_resources_t *sum, const bw_resources_t *need, int64_t times)
{
	sum->cpu_millis += times * need->cpu_millis;
	sum->mem_mb += times * need->mem_mb;
}

/* A cap leaves room for its lasting tasks, and for its largest gang. */
static void make_room(bw_resources_t *cap, bw_resources_t *largest,
		      const bw_job_spec_t *spec)
{
	uint32_t i;

	for (i = 0; i < spec->step_count; i++) {
		const bw_step_spec_t *step = &spec->steps[i];
		bw_resources_t together = { 0 };

		add(&together, &step->need, step->gang ? step->count : 1);
		if (step->lasting)
			add(cap, &step->need, step->count);
		largest->cpu_millis =
			MAX(largest->cpu_millis, together.cpu_millis);
		largest->mem_mb = MAX(largest->mem_mb, together.mem_mb);
	}
}

static void draw_cap(world_t *w, uint32_t tenant)
{
	bw_resources_t largest = { 0 };
	bw_resources_t lasting = { 0 };
	bw_resources_t *cap = &w->caps[tenant];
	guint i;

	for (i = 0; i < w->jobs->len; i++) {
		const fake_job_t *job = g_ptr_array_index(w->jobs, i);

		if (job->tenant == tenant + 1)
			make_room(&lasting, &largest, job->record.spec);
	}
	cap->cpu_millis = g_rand_int_range(w->tenant_rand, CAP_CPU_MIN_MILLIS,
					   CAP_CPU_MAX_MILLIS);
	cap->mem_mb = g_rand_int_range(w->tenant_rand, CAP_MEM_MIN_MB,
				       CAP_MEM_MAX_MB);
	cap->cpu_millis = MAX(cap->cpu_millis, largest.cpu_millis);
	cap->mem_mb = MAX(cap->mem_mb, largest.mem_mb);
	add(cap, &lasting, 1);
	if (g_rand_double(w->tenant_rand) < NO_MEM_CAP)
		cap->mem_mb = 0;
}

static void format_tenant(uint32_t tenant, char *out, size_t bytes)
{
	g_snprintf(out, bytes, "t%u", tenant);
}

void world_init_tenants(world_t *w)
{
	char name[TENANT_CHARS];
	uint32_t tenant;
	guint i;

	w->tenant_rand = g_rand_new_with_seed(w->config.seed ^ TENANT_SEED);
	if (w->config.tenants == 0)
		return;
	/* The job of none is one in so many. */
	for (i = 0; i < w->jobs->len; i++) {
		fake_job_t *job = g_ptr_array_index(w->jobs, i);

		job->tenant = (uint32_t)g_rand_int_range(
			w->tenant_rand, 0, (gint32)w->config.tenants + 1);
		if (job->tenant == 0)
			continue;
		format_tenant(job->tenant - 1, name, sizeof(name));
		job->record.tenant = g_strdup(name);
	}
	for (tenant = 0; tenant < w->config.tenants; tenant++)
		draw_cap(w, tenant);
}

void world_set_tenants(world_t *w, bw_sched_t *sched)
{
	bw_tenant_config_t configs[TENANTS_MAX] = { 0 };
	char names[TENANTS_MAX][TENANT_CHARS];
	uint32_t i;

	if (w->config.tenants == 0)
		return;
	for (i = 0; i < w->config.tenants; i++) {
		format_tenant(i, names[i], sizeof(names[i]));
		configs[i].name = names[i];
		configs[i].terms.weight = 1.0;
		configs[i].terms.cap = w->caps[i];
	}
	bw_sched_set_tenants(sched, configs, w->config.tenants);
	for (i = 0; i < w->config.tenants; i++)
		bw_sched_set_quota(sched, names[i], &w->caps[i]);
}

static void add_running(world_t *w, const fake_worker_t *worker,
			uint32_t tenant, bw_resources_t *sum)
{
	guint i;

	for (i = 0; worker->alive && i < worker->runs->len; i++) {
		const run_t *run = &g_array_index(worker->runs, run_t, i);

		if (world_find_job(w, run->task.job)->tenant == tenant)
			add(sum, &run->need, 1);
	}
}

static bool is_over(int64_t cap, int64_t used, int64_t need)
{
	return cap > 0 &&
	       (double)used > (double)cap * (1.0 + OVERAGE) + (double)need;
}

void world_check_cap(world_t *w, const fake_job_t *job,
		     const bw_resources_t *need)
{
	const bw_resources_t *cap;
	bw_resources_t used = *need;
	char text[160];
	guint i;

	if (job->tenant == 0)
		return;
	cap = &w->caps[job->tenant - 1];
	for (i = 0; i < w->workers->len; i++)
		add_running(w, g_ptr_array_index(w->workers, i), job->tenant,
			    &used);
	g_snprintf(text, sizeof(text),
		   "%s %s %" G_GINT64_FORMAT "/%" G_GINT64_FORMAT
		   " of %" G_GINT64_FORMAT "/%" G_GINT64_FORMAT,
		   job->record.tenant, job->id, used.cpu_millis, used.mem_mb,
		   cap->cpu_millis, cap->mem_mb);
	world_trace(w, "cap", text);
	w->result->at_cap +=
		cap->cpu_millis > 0 &&
		used.cpu_millis + need->cpu_millis > cap->cpu_millis;
	if (is_over(cap->cpu_millis, used.cpu_millis, need->cpu_millis) ||
	    is_over(cap->mem_mb, used.mem_mb, need->mem_mb))
		world_violation(w, "a start brings a tenant over its cap: %s",
				text);
}
