/* Tenants: what each uses of the pool, and the quota that bounds it. */
#include "sched/internal.h"

void bw_sched_set_tenants(bw_sched_t *s, const bw_tenant_config_t *tenants,
			  uint32_t count)
{
	(void)s;
	(void)tenants;
	(void)count;
}

void bw_sched_set_quota(bw_sched_t *s, const char *tenant,
			const bw_resources_t *quota)
{
	(void)s;
	(void)tenant;
	(void)quota;
}

void bw_sched_tenant_uses(const bw_sched_t *s, int64_t now_ms,
			  void (*fn)(void *ctx, const bw_tenant_use_t *use),
			  void *ctx)
{
	(void)s;
	(void)now_ms;
	(void)fn;
	(void)ctx;
}

void bw_sched_set_job_tenant(bw_sched_t *s, const char *id, const char *tenant)
{
	job_t *job = g_hash_table_lookup(s->jobs, id);

	if (job && !job->tenant)
		job->tenant = g_strdup(tenant);
}

const char *bw_sched_job_tenant(const bw_sched_t *s, const char *id)
{
	const job_t *job = g_hash_table_lookup(s->jobs, id);

	return job ? job->tenant : NULL;
}
