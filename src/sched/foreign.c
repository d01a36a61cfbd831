/*
 * Jobs that are read after the first save, and that an earlier owner may have
 * started. One that is cut off from the store starts a new job only if it
 * arrives a short time after its last save, which came before our claim. So a
 * job that was stored longer after that is certainly new.
 */
#include "sched/internal.h"

/** While saves are slow, so is any other node that claims the pool: it needs
 *  more of its calls to the store than these. */
#define CONFIRMED_SAVES 3

static bool has_earlier(const bw_sched_t *s)
{
	return !s->first_owner && !s->handed_over && !s->recovered;
}

/* Returns when the last job was stored that an earlier owner may start at its
 * arrival. */
static int64_t earlier_end_ms(const bw_sched_t *s)
{
	int64_t end_ms =
		s->earlier_saved_ms +
		(int64_t)((double)s->earlier_confirm_ms / CLOCK_RATE_MIN);

	return s->predecessor_stopped_ms > 0
		       ? MIN(end_ms, s->predecessor_stopped_ms)
		       : end_ms;
}

void bw_sched_earlier_saved_by(bw_sched_t *s, int64_t ms)
{
	s->earlier_saved_ms = MIN(s->earlier_saved_ms, ms);
}

static bool is_certainly_new(const bw_sched_t *s, const job_t *job)
{
	return s->alone_revision > 0 && job->revision > s->alone_revision;
}

bool sched_maybe_foreign(const bw_sched_t *s, const job_t *job)
{
	return has_earlier(s) && !is_certainly_new(s, job);
}

static void unmark_occurrence(occurrence_t *occurrence)
{
	uint32_t k;

	for (k = 0; k < occurrence->task_count; k++) {
		if (occurrence->tasks[k].run > 0)
			continue;
		occurrence->tasks[k].maybe_running = false;
		occurrence->tasks[k].ends_unknown = false;
	}
}

static void unmark_if_new(const bw_sched_t *s, job_t *job)
{
	guint i;

	if (!job->maybe_foreign || !is_certainly_new(s, job))
		return;
	job->maybe_foreign = false;
	for (i = 0; i < job->occurrences->len; i++)
		unmark_occurrence(g_ptr_array_index(job->occurrences, i));
}

/* A notice of a job does not tell the revision of its record; a read does. */
void sched_note_revision(const bw_sched_t *s, job_t *job, uint64_t revision)
{
	if (job->revision > 0 || revision == 0)
		return;
	job->revision = revision;
	unmark_if_new(s, job);
}

void sched_check_alone(bw_sched_t *s, int64_t now_ms)
{
	if (has_earlier(s) && !s->alone && now_ms >= earlier_end_ms(s)) {
		s->alone = true;
		sched_changed(s, true);
	}
}

void sched_note_alone(bw_sched_t *s, uint64_t revision)
{
	guint i;

	if (!s->packed_alone || s->alone_revision > 0)
		return;
	s->alone_revision = revision;
	for (i = 0; i < s->active->len; i++)
		unmark_if_new(s, g_ptr_array_index(s->active, i));
}

/* The next owner must reckon with what any owner up to this one may do. */
static int64_t stored_confirm_ms(const bw_sched_t *s)
{
	if (!has_earlier(s) || s->alone_revision > 0)
		return s->packed_confirm_ms;
	return MAX(s->packed_confirm_ms, s->earlier_confirm_ms);
}

/*
 * Until the state is known to be stored, the shorter time counts: this state
 * may be the last that is stored, and so may the one before.
 */
uint32_t sched_pack_confirm_ms(bw_sched_t *s)
{
	int64_t slow_ms = CONFIRMED_SAVES * s->save_took_ms;

	s->packed_alone = s->alone;
	if (s->config.confirm_ms == 0)
		return 0;
	s->packed_confirm_ms =
		MAX(s->config.confirm_ms, MIN(slow_ms, s->config.outage_ms));
	s->confirm_age_ms = MIN(s->confirm_age_ms, s->packed_confirm_ms);
	return (uint32_t)stored_confirm_ms(s);
}

void sched_load_confirm_ms(bw_sched_t *s, uint32_t confirm_ms)
{
	s->earlier_confirm_ms = confirm_ms > 0
					? MIN(confirm_ms, s->config.outage_ms)
					: s->config.outage_ms;
}
