/*
 * Finished jobs: known for a time, removed from the store, then forgotten.
 *
 * Load pattern: as many jobs finish as are accepted, so what is stored of them
 * would grow without end.
 */
#include "sched/internal.h"

#include <string.h>

void sched_job_over(bw_sched_t *s, job_t *job, int64_t now_ms)
{
	job->over_ms = now_ms;
	g_queue_push_tail(s->over, job);
}

/* The time is counted from when this owner knew it, so no wall clock counts. */
static bool removable(const bw_sched_t *s, const job_t *job, int64_t now_ms)
{
	return job->occurrences->len == 0 && sched_end_stored(s, job) &&
	       now_ms - job->over_ms >= s->config.retention_ms;
}

uint32_t bw_sched_removable(const bw_sched_t *s, int64_t now_ms,
			    const char **ids, uint32_t max)
{
	const GList *at;
	uint32_t count = 0;

	/* A run that an earlier owner started may not be known yet. */
	if (!s->settled)
		return 0;
	for (at = s->over->head; at && count < max; at = at->next) {
		const job_t *job = at->data;

		if (now_ms - job->over_ms < s->config.retention_ms)
			break;
		if (removable(s, job, now_ms))
			ids[count++] = job->id;
	}
	return count;
}

void bw_sched_job_removed(bw_sched_t *s, int64_t now_ms, const char *id)
{
	job_t *job = g_hash_table_lookup(s->jobs, id);

	if (!job || job->finished_version == 0 || job->removed_ms > 0)
		return;
	job->removed_ms = now_ms;
	/* It is near the head, as the longest over are removed first. */
	g_queue_remove(s->over, job);
	g_queue_push_tail(s->removed, job);
}

/* An old reading of the store may still show a removed job for a moment. */
void sched_jobs_forget(bw_sched_t *s, int64_t now_ms)
{
	const job_t *job = g_queue_peek_head(s->removed);

	while (job && now_ms - job->removed_ms >= s->config.removed_ms) {
		sched_log(s, BW_EVENT_SCHED_JOB_FORGOTTEN, "job=%s", job->id);
		g_queue_pop_head(s->removed);
		g_hash_table_remove(s->jobs, job->id);
		sched_changed(s, false);
		job = g_queue_peek_head(s->removed);
	}
}
