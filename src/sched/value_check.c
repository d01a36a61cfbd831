/* Checks the value of a pool before any of it is used. */
#include "sched/internal.h"

#include "wire/version.h"

static bw_status_t check_job(const Bramley__JobProgress *job, GHashTable *seen)
{
	if (!bw_job_id_valid(job->id))
		return bw_status_set(BW_EPARSE,
				     "a pool record with \"%s\", which is not "
				     "a job's identifier",
				     job->id);
	if (job->state >= BW_JOB_STATE_COUNT)
		return bw_status_set(BW_EPARSE,
				     "a pool record with job %s in the unknown "
				     "state %u",
				     job->id, job->state);
	if (!g_hash_table_add(seen, job->id))
		return bw_status_set(BW_EPARSE,
				     "a pool record that lists job %s twice",
				     job->id);
	return BW_OK;
}

static bw_status_t check_jobs(const Bramley__PoolRecord *record)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	bw_status_t status = BW_OK;
	size_t i;

	for (i = 0; i < record->n_jobs && status == BW_OK; i++)
		status = check_job(record->jobs[i], seen);
	g_hash_table_destroy(seen);
	return status;
}

static bw_status_t check_workers(const Bramley__PoolRecord *record)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	bw_status_t status = BW_OK;
	size_t i;

	for (i = 0; i < record->n_workers && status == BW_OK; i++)
		if (!g_hash_table_add(seen, record->workers[i]->id))
			status = bw_status_set(BW_EPARSE,
					       "a pool record that lists "
					       "worker %s twice",
					       record->workers[i]->id);
	g_hash_table_destroy(seen);
	return status;
}

bw_status_t sched_check_value(const Bramley__PoolRecord *record)
{
	bw_status_t status = bw_record_check_pool_version(record->version);

	if (status == BW_OK)
		status = check_jobs(record);
	if (status == BW_OK)
		status = check_workers(record);
	return status;
}
