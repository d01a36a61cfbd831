/*
 * Retention of finished jobs: their records may be replaced by short ones,
 * after the retention time they may be removed from the store, and some time
 * later the scheduler drops the jobs.
 *
 * Jobs finish as fast as they are accepted, so without removal the stored
 * records would grow without bound, and without short records a takeover would
 * read mostly what was done.
 */
#include "sched/internal.h"

#include <string.h>

void sched_mark_finished(bw_sched_t *s, job_t *job, int64_t now_ms)
{
	job->finished_ms = now_ms;
	g_queue_push_tail(s->finished, job);
}

void sched_add_finished(bw_sched_t *s, const char *id, bw_job_state_t state,
			int64_t now_ms)
{
	job_t *job = sched_job_new(s, id, "");

	job->state = state;
	job->finished_version = 1;
	job->end_stored = true;
	sched_mark_finished(s, job, now_ms);
}

void bw_sched_add_ended(bw_sched_t *s, int64_t now_ms, const char *id,
			bw_job_state_t state)
{
	job_t *job = g_hash_table_lookup(s->jobs, id);

	g_hash_table_remove(s->unreadable, id);
	if (!job) {
		g_hash_table_remove(s->stored_progress, id);
		sched_add_finished(s, id, state, now_ms);
		job = g_hash_table_lookup(s->jobs, id);
	} else if (job->finished_version == 0) {
		/* An owner has written the record, so this one has a
		 * successor. */
		sched_job_finish(s, job, state, now_ms);
		g_queue_remove(s->unshortened, job);
		job->end_stored = true;
	}
	/* Only the answer to its own call tells that no call is left. */
	if (job->end_stored)
		job->short_record = SHORT_STORED;
}

/*
 * A record is removed only after the retention time and while no call may
 * still write the short one, so that none is written after the removal.
 */
static bool shortenable(const bw_sched_t *s, const job_t *job, int64_t now_ms)
{
	return job->occurrences->len == 0 && sched_end_stored(s, job) &&
	       !sched_is_unreadable(s, job->id) &&
	       (job->short_record == SHORT_SENT ||
		now_ms - job->finished_ms < s->config.retention_ms);
}

/*
 * Before recovery, runs of an earlier owner may be unknown; after it, those
 * that a worker lists and should not run are being stopped.
 */
static bool runs_known(const bw_sched_t *s)
{
	GHashTableIter iter;
	gpointer value;

	if (!s->recovered)
		return false;
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const worker_t *worker = value;

		if (worker->has_orphans && !worker->dead)
			return false;
	}
	return true;
}

uint32_t bw_sched_shortenable(const bw_sched_t *s, int64_t now_ms,
			      bw_ended_job_t *out, uint32_t max)
{
	const GList *link;
	uint32_t count = 0;

	if (!runs_known(s))
		return 0;
	for (link = s->unshortened->head; link && count < max;
	     link = link->next) {
		const job_t *job = link->data;

		if (!shortenable(s, job, now_ms))
			continue;
		out[count].id = job->id;
		out[count].tenant = job->tenant ? job->tenant->name : NULL;
		out[count++].state = job->state;
	}
	return count;
}

void bw_sched_short_sent(bw_sched_t *s, const char *id)
{
	job_t *job = g_hash_table_lookup(s->jobs, id);

	if (job && job->short_record == SHORT_NONE)
		job->short_record = SHORT_SENT;
}

void bw_sched_short_stored(bw_sched_t *s, const char *id)
{
	job_t *job = g_hash_table_lookup(s->jobs, id);

	if (!job || job->short_record != SHORT_SENT)
		return;
	job->short_record = SHORT_STORED;
	/* It is near the head, as is a removed job below. */
	g_queue_remove(s->unshortened, job);
}

/* Counted from when this owner learned of the end: needs no wall clock. */
static bool removable(const bw_sched_t *s, const job_t *job, int64_t now_ms)
{
	return job->occurrences->len == 0 && sched_end_stored(s, job) &&
	       job->short_record != SHORT_SENT &&
	       !sched_is_unreadable(s, job->id) &&
	       now_ms - job->finished_ms >= s->config.retention_ms;
}

uint32_t bw_sched_removable(const bw_sched_t *s, int64_t now_ms,
			    const char **ids, uint32_t max)
{
	const GList *link;
	uint32_t count = 0;

	if (!runs_known(s))
		return 0;
	for (link = s->finished->head; link && count < max; link = link->next) {
		const job_t *job = link->data;

		if (now_ms - job->finished_ms < s->config.retention_ms)
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
	/* It is near the head: jobs are removed in the order of their end. */
	g_queue_remove(s->finished, job);
	g_queue_remove(s->unshortened, job);
	g_queue_push_tail(s->removed, job);
}

/*
 * A successor reads the value first and the records after it, so it finds the
 * short one unless that is removed, which a late notice of the job must not
 * meet: such notices are ignored config.removed_ms after the job was accepted.
 */
bool sched_value_needs(const bw_sched_t *s, const job_t *job)
{
	return job->short_record != SHORT_STORED ||
	       s->config.retention_ms < s->config.removed_ms;
}

/* Removed jobs stay known for a while, as stale reads may still list them. */
void sched_jobs_discard(bw_sched_t *s, int64_t now_ms)
{
	const job_t *job = g_queue_peek_head(s->removed);

	while (job && now_ms - job->removed_ms >= s->config.removed_ms) {
		sched_log(s, BW_EVENT_SCHED_JOB_FORGOTTEN, "job=%s", job->id);
		g_queue_pop_head(s->removed);
		if (sched_value_needs(s, job))
			sched_changed(s, false);
		g_hash_table_remove(s->jobs, job->id);
		job = g_queue_peek_head(s->removed);
	}
}
