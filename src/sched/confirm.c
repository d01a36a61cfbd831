/*
 * Starts that wait for a save, which proves that the pool is still this
 * owner's: another one may have claimed it since the last one.
 */
#include "sched/internal.h"

/** After a suspension an older read of the registrations does not count. A
 * change must be known 3 s after it was written; the save and the starts take a
 * part. */
#define REGISTRATIONS_AGE_MAX_MS 2000

/** Time of the last save once another one has failed. */
#define NOT_CONFIRMED_MS (INT64_MIN / 2)

void bw_sched_suspended(bw_sched_t *s, int64_t now_ms, int64_t gap_ms)
{
	sched_log(s, BW_EVENT_SCHED_SUSPENDED, "gap_ms=%" G_GINT64_FORMAT,
		  gap_ms);
	sched_changed(s, true);
	s->confirm_version = s->version;
	s->registrations_from_ms = now_ms - REGISTRATIONS_AGE_MAX_MS;
}

/* A save proves that the pool is still this owner's; what was read of its
 * workers before a long suspension proves nothing. */
bool sched_may_start(const bw_sched_t *s)
{
	return s->orders_allowed && s->saved_version >= s->confirm_version &&
	       (s->registrations_ms == 0 ||
		s->registrations_ms >= s->registrations_from_ms);
}

/*
 * An owner that is cut off from the store may not know that the pool has
 * another one. That one starts a job at once which is stored some time after
 * its claim, so this one starts a job only if it was certainly the owner about
 * when the job arrived.
 */
void sched_confirm_job(bw_sched_t *s, job_t *job, int64_t now_ms)
{
	if (s->config.confirm_ms == 0 ||
	    now_ms - s->confirmed_ms <= s->confirm_age_ms)
		return;
	sched_changed(s, true);
	job->confirm_version = s->version;
}

void bw_sched_save_failed(bw_sched_t *s)
{
	s->confirmed_ms = NOT_CONFIRMED_MS;
}

/*
 * The next owner may have read an end of the run, or have started the task
 * itself. While the store is down for all there is no next owner.
 */
void sched_confirm_restart(bw_sched_t *s, task_t *task)
{
	if (s->config.confirm_ms == 0)
		return;
	sched_changed(s, true);
	task->confirm_version = s->version;
}

bool sched_restart_confirmed(const bw_sched_t *s, const task_t *task)
{
	return s->outage || s->saved_version >= task->confirm_version;
}

void bw_sched_set_outage(bw_sched_t *s, bool outage)
{
	s->outage = outage;
}
