/* Workers: their assumed state, and when their runs have certainly ended. */
#include "sched/internal.h"

#include <string.h>

static void release_runs(bw_sched_t *s, worker_t *worker, const char *why);
static void mark_dead(bw_sched_t *s, worker_t *worker, const char *reason);
static bool grants_expired(const bw_sched_t *s, const worker_t *worker,
			   int64_t now_ms);

worker_t *sched_worker(bw_sched_t *s, const char *id)
{
	return g_hash_table_lookup(s->workers, id);
}

worker_t *sched_worker_new(bw_sched_t *s, const char *id, int64_t now_ms)
{
	worker_t *worker = g_new0(worker_t, 1);

	worker->id = g_strdup(id);
	worker->number = ++s->last_worker;
	worker->tasks = g_ptr_array_new();
	worker->fence = s->config.fence;
	worker->next_heartbeat_ms = now_ms;
	worker->filler_percent = 100;
	worker->index = s->index;
	worker->start_window = s->start_window;
	worker->inherited = s->inherits_stops && s->saved_version == 0;
	g_hash_table_insert(s->workers, worker->id, worker);
	return worker;
}

void sched_worker_free(gpointer data)
{
	worker_t *worker = data;

	sched_index_remove(worker);
	if (worker->siblings)
		g_ptr_array_remove_fast(worker->siblings, worker);
	g_ptr_array_free(worker->tasks, TRUE);
	g_clear_pointer(&worker->unread, g_array_unref);
	sched_orphans_ended(worker);
	g_strfreev(worker->labels);
	g_free(worker->rack);
	g_free(worker->machine);
	g_free(worker->address);
	g_free(worker->id);
	g_free(worker);
}

/* Whether all grants, ours and earlier owners', have certainly expired. */
static bool grants_expired(const bw_sched_t *s, const worker_t *worker,
			   int64_t now_ms)
{
	double clock_ms;

	if (now_ms < worker->earlier_grant_until_ms)
		return false;
	if (!worker->synced && !s->recovered)
		return false;
	if (worker->clock_ms == 0)
		return s->recovered;
	clock_ms = (double)worker->clock_ms +
		   (double)(now_ms - worker->clock_at_ms) * CLOCK_RATE_MIN;
	return clock_ms > (double)(worker->granted_clock_ms + CLOCK_MARGIN_MS);
}

static void release_run(bw_sched_t *s, const worker_t *worker, task_t *task,
			const char *why)
{
	sched_log(s, BW_EVENT_SCHED_RUN_GONE,
		  "job=%s step=%u index=%u run=%u worker=%s reason=%s",
		  task->occurrence->job->id, task->step, task->index, task->run,
		  worker->id, why);
	sched_task_wait(task);
	sched_confirm_restart(s, task);
}

/* Takes all tasks off a worker whose runs have certainly ended. */
static void release_runs(bw_sched_t *s, worker_t *worker, const char *why)
{
	while (worker->tasks->len > 0)
		release_run(s, worker, g_ptr_array_index(worker->tasks, 0),
			    why);
}

/* The next boot may still carry out a copy of a start that this one did. */
static void doubt_start(task_t *task)
{
	task->stop_answered = false;
	task->listing = LISTING_NONE;
	if (task->state == TASK_STOPPING)
		return;
	task->state = TASK_STARTING;
	task->start_answered_ms = -1;
}

/*
 * Takes the tasks off a worker that the boot before its restart had listed as
 * running. The start of any other may have reached the next boot, or may still
 * do so; that boot's list decides, and a stop counts only if it has answered
 * it. What an earlier boot may have dropped is known to nobody any more.
 */
static void release_listed_runs(bw_sched_t *s, worker_t *worker,
				const char *why, int64_t now_ms)
{
	guint i = worker->tasks->len;

	while (i-- > 0) {
		task_t *task = g_ptr_array_index(worker->tasks, i);

		task->end_dropped = false;
		task->asked_again = false;
		if (task->state == TASK_STOPPING && !task->stop_answered)
			task->stop_unsure_until_ms =
				now_ms + BW_ORDER_TIMEOUT_MS;
		if (sched_copy_outstanding(task, now_ms))
			doubt_start(task);
		else if (task->listing != LISTING_NONE)
			release_run(s, worker, task, why);
		else
			task->stop_answered = false;
	}
}

/* Counts the end of a worker's runs against their tasks, and takes them off; of
 * one that restarted under its identifier, those that it had listed. */
static void end_crashed_runs(bw_sched_t *s, worker_t *worker, const char *why,
			     bool restarted, int64_t now_ms)
{
	GPtrArray *given_up = NULL;

	/* Runs of a worker that is being emptied may have been ended by an
	 * order. */
	if (worker->draining || worker->cordoned)
		sched_drop_lapses(s, worker->id);
	else
		given_up = sched_charge_crash(s, worker, restarted, now_ms);
	if (restarted)
		release_listed_runs(s, worker, why, now_ms);
	else
		release_runs(s, worker, why);
	if (given_up)
		sched_give_up(s, given_up, now_ms);
}

void sched_workers_expire(bw_sched_t *s, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	sched_forget_lapses(s, now_ms);
	sched_departed_forget(s, now_ms);
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		worker_t *worker = value;

		if (now_ms >= worker->earlier_grant_until_ms)
			worker->earlier_grant_until_ms = 0;
		if (!worker->dead &&
		    (now_ms - worker->last_heartbeat_ms < WORKER_SILENT_MS ||
		     !grants_expired(s, worker, now_ms)))
			continue;
		sched_orphans_ended(worker);
		sched_holds_worker_ended(s, worker);
		if (worker->tasks->len > 0) {
			sched_note_lapses(s, worker, now_ms);
			release_runs(s, worker, "grant-over");
		}
		/* A dead worker is kept until its registration is removed. */
		if (worker->registered || worker->heartbeat_pending)
			continue;
		sched_departed_note(s, worker, now_ms);
		g_hash_table_iter_remove(&iter);
	}
}

bool sched_worker_reachable(const worker_t *worker, int64_t now_ms)
{
	return worker->registered && !worker->dead && worker->synced &&
	       worker->stored && !worker->draining && worker->clock_ms > 0 &&
	       now_ms - worker->last_heartbeat_ms < WORKER_SILENT_MS;
}

bool sched_worker_usable(const bw_sched_t *s, const worker_t *worker,
			 int64_t now_ms)
{
	/*
	 * Runs that an earlier owner was stopping use resources until they have
	 * ended, also when they are no longer listed.
	 */
	if (worker->inherited &&
	    now_ms - worker->synced_ms < s->config.stop_ms + STOP_MARGIN_MS)
		return false;
	return sched_worker_reachable(worker, now_ms) && worker->described &&
	       !worker->cordoned && !worker->boot_unsure &&
	       !worker->has_orphans && now_ms >= worker->pause_until_ms;
}

static void set_machine(bw_sched_t *s, worker_t *worker, const char *machine)
{
	if (!g_strcmp0(worker->machine, machine))
		return;
	if (worker->siblings)
		g_ptr_array_remove_fast(worker->siblings, worker);
	worker->siblings = NULL;
	g_free(worker->machine);
	worker->machine = g_strdup(machine);
	if (!machine)
		return;
	worker->siblings = g_hash_table_lookup(s->machines, machine);
	if (!worker->siblings) {
		worker->siblings = g_ptr_array_new();
		g_hash_table_insert(s->machines, g_strdup(machine),
				    worker->siblings);
	}
	g_ptr_array_add(worker->siblings, worker);
}

static void set_labels(worker_t *worker, const bw_worker_info_t *info)
{
	uint32_t i;

	sched_index_remove(worker);
	g_strfreev(worker->labels);
	worker->labels = g_new0(char *, info->label_count + 1);
	for (i = 0; i < info->label_count; i++)
		worker->labels[i] = g_strdup(info->labels[i]);
	g_free(worker->rack);
	worker->rack = g_strdup(info->rack);
}

/*
 * Returns until when a grant may last whose end is a time of the clock before a
 * restart: the next boot takes it for the longest grant from its arrival.
 */
static int64_t earlier_grant_end_ms(const bw_sched_t *s, int64_t arrival_ms)
{
	return arrival_ms + CLOCK_MARGIN_MS +
	       (int64_t)((double)s->config.grant_cap_ms / CLOCK_RATE_MIN);
}

void sched_expect_earlier_grant(const bw_sched_t *s, worker_t *worker,
				int64_t now_ms)
{
	worker->earlier_grant_until_ms =
		earlier_grant_end_ms(s, now_ms + ORDER_DELAY_MAX_MS);
}

void sched_bound_earlier_grant(const bw_sched_t *s, worker_t *worker,
			       int64_t sent_ms, int64_t now_ms)
{
	if (worker->fence_outdated ||
	    worker->fence_raised_ms < worker->restarted_ms ||
	    sent_ms < worker->fence_raised_ms)
		return;
	worker->earlier_grant_until_ms = MIN(worker->earlier_grant_until_ms,
					     earlier_grant_end_ms(s, now_ms));
}

void sched_refuse_earlier_orders(bw_sched_t *s, worker_t *worker,
				 int64_t now_ms)
{
	worker->restarted_ms = now_ms;
	worker->fence_outdated = true;
	sched_changed(s, true);
	sched_expect_earlier_grant(s, worker, now_ms);
}

/* Forgets what only the earlier boot of a worker knew. */
static void restart_worker(bw_sched_t *s, worker_t *worker, int64_t now_ms)
{
	end_crashed_runs(s, worker, "reborn", true, now_ms);
	sched_forget_tickets(s, worker);
	worker->described = false;
	g_clear_pointer(&worker->unread, g_array_unref);
	sched_orphans_ended(worker);
	sched_refuse_earlier_orders(s, worker, now_ms);
	worker->synced = false;
	worker->unconnected = 0;
	worker->clock_ms = 0;
	worker->granted_clock_ms = 0;
	worker->ends_processed = 0;
	worker->ends_packed = 0;
	worker->ends_acked = 0;
	worker->ends_dropped = 0;
}

/*
 * Handles the restart of a worker that only the earlier owner knew: this one
 * has sent it nothing of an earlier boot. Its token is higher, so that the
 * first answer shows that no earlier order is carried out any more.
 */
static void restart_loaded_worker(bw_sched_t *s, worker_t *worker,
				  int64_t now_ms)
{
	sched_changed(s, true);
	sched_expect_earlier_grant(s, worker, now_ms);
}

void sched_record_start_time(bw_sched_t *s, worker_t *worker, int64_t now_ms,
			     int64_t started_ms)
{
	bool loaded = worker->started_ms == 0;
	int64_t known_ms = loaded ? worker->stored_boot_ms : worker->started_ms;

	if (started_ms == 0 || started_ms <= worker->started_ms)
		return;
	if (known_ms != 0 && started_ms > known_ms) {
		sched_log(s, BW_EVENT_SCHED_WORKER_REBORN,
			  "worker=%s born_ms=%" G_GINT64_FORMAT, worker->id,
			  started_ms);
		if (loaded)
			restart_loaded_worker(s, worker, now_ms);
		else
			restart_worker(s, worker, now_ms);
	}
	worker->started_ms = started_ms;
	sched_holds_ended(s, worker, started_ms);
}

static void mark_dead(bw_sched_t *s, worker_t *worker, const char *reason)
{
	sched_log(s, BW_EVENT_SCHED_WORKER_DEAD, "worker=%s tasks=%u reason=%s",
		  worker->id, worker->tasks->len, reason);
	worker->dead = true;
	sched_orphans_ended(worker);
	sched_index_update(worker);
}

void bw_sched_worker_dead(bw_sched_t *s, const char *id, const char *reason)
{
	worker_t *worker = sched_worker(s, id);

	sched_drop_lapses(s, id);
	if (!worker || worker->dead)
		return;
	worker->ended_by_order = true;
	mark_dead(s, worker, reason);
	release_runs(s, worker, reason);
}

int64_t sched_worker_boot_ms(const worker_t *worker)
{
	return worker->started_ms > 0 ? worker->started_ms
				      : worker->stored_boot_ms;
}

void bw_sched_boot_dead(bw_sched_t *s, const char *id, int64_t started_ms,
			const char *reason)
{
	worker_t *worker = sched_worker(s, id);

	if (!worker || worker->started_ms > started_ms)
		return;
	bw_sched_worker_dead(s, id, reason);
	worker->ended_by_order = false;
	worker->started_ms = started_ms;
}

void bw_sched_boot_unlisted(bw_sched_t *s, int64_t now_ms, const char *id,
			    int64_t started_ms)
{
	worker_t *worker = sched_worker(s, id);

	if (!worker || worker->dead || worker->started_ms > started_ms)
		return;
	worker->started_ms = started_ms;
	sched_worker_crashed(s, worker, "no-machine", now_ms);
}

void sched_worker_crashed(bw_sched_t *s, worker_t *worker, const char *reason,
			  int64_t now_ms)
{
	if (worker->dead)
		return;
	mark_dead(s, worker, reason);
	end_crashed_runs(s, worker, reason, false, now_ms);
}

/* A worker may have less after a restart, and what was said before it may be
 * read after the restart is known. */
static void set_capacity(worker_t *worker, const bw_worker_info_t *info)
{
	if (!worker->described && info->started_ms > 0 &&
	    info->started_ms < worker->started_ms)
		return;
	worker->capacity = info->capacity;
	sched_raise_to(&worker->capacity_max, &info->capacity);
	worker->described = true;
}

/*
 * A machine hosts one worker at a time, so an older one on it has ended. A
 * registration alone does not prove that there is a newer one: other writers
 * may name any machine.
 */
void sched_mark_predecessors_dead(bw_sched_t *s, const worker_t *worker,
				  int64_t now_ms)
{
	guint i;

	if (!worker->siblings || worker->started_ms == 0 ||
	    worker->last_heartbeat_ms == 0)
		return;
	for (i = 0; i < worker->siblings->len; i++) {
		worker_t *other = g_ptr_array_index(worker->siblings, i);

		if (other != worker && other->started_ms > 0 &&
		    other->started_ms < worker->started_ms)
			sched_worker_crashed(s, other, "machine-reused",
					     now_ms);
	}
	sched_charge_machine(s, worker, now_ms);
}

/* A worker may start again under its identifier, also after its end was told.
 */
static void revive(worker_t *worker, const bw_worker_info_t *info)
{
	if (!worker->ended_by_order && info->started_ms > worker->started_ms)
		worker->dead = false;
}

void bw_sched_worker_registered(bw_sched_t *s, int64_t now_ms,
				const bw_worker_info_t *info)
{
	worker_t *worker = sched_worker(s, info->id);
	bool described;

	if (!worker) {
		worker = sched_worker_new(s, info->id, now_ms);
		sched_departed_return(s, worker, info->started_ms, now_ms);
		sched_changed(s, true);
		worker->stored_version = s->version;
		sched_log(s, BW_EVENT_SCHED_WORKER,
			  "worker=%s address=%s rack=%s machine=%s "
			  "cpu=%" G_GINT64_FORMAT " mem_mb=%" G_GINT64_FORMAT,
			  info->id, info->address,
			  info->rack ? info->rack : "-",
			  info->machine ? info->machine : "-",
			  info->capacity.cpu_millis, info->capacity.mem_mb);
	}
	if (g_strcmp0(worker->address, info->address) != 0) {
		g_free(worker->address);
		worker->address = g_strdup(info->address);
	}
	revive(worker, info);
	sched_record_start_time(s, worker, now_ms, info->started_ms);
	if (worker->dead)
		return;
	described = worker->described;
	set_capacity(worker, info);
	/* Labels change with a start only, unlike the capacity. */
	if (!described || !worker->registered) {
		set_labels(worker, info);
		set_machine(s, worker, info->machine);
	}
	worker->registered = true;
	if (info->draining && !worker->draining)
		sched_log(s, BW_EVENT_SCHED_WORKER_DRAINING,
			  "worker=%s tasks=%u", worker->id, worker->tasks->len);
	worker->draining = info->draining;
	sched_index_update(worker);
	sched_mark_predecessors_dead(s, worker, now_ms);
}

void bw_sched_worker_unregistered(bw_sched_t *s, int64_t now_ms, const char *id)
{
	worker_t *worker = sched_worker(s, id);

	if (!worker || !worker->registered)
		return;
	sched_log(s, BW_EVENT_SCHED_WORKER_GONE,
		  "worker=%s tasks=%u silent_ms=%" G_GINT64_FORMAT, id,
		  worker->tasks->len, now_ms - worker->last_heartbeat_ms);
	worker->registered = false;
	sched_index_update(worker);
}

void bw_sched_workers(const bw_sched_t *s,
		      void (*fn)(void *ctx, const char *id, bool registered),
		      void *ctx)
{
	GList *keys = g_hash_table_get_keys(s->workers);
	GList *link;

	for (link = keys; link; link = link->next) {
		const worker_t *worker =
			g_hash_table_lookup(s->workers, link->data);

		fn(ctx, worker->id, worker->registered);
	}
	g_list_free(keys);
}

void bw_sched_worker_cordon(bw_sched_t *s, const char *id, bool cordoned)
{
	worker_t *worker = sched_worker(s, id);

	if (worker)
		worker->cordoned = cordoned;
}

void bw_sched_worker_maintenance_due(bw_sched_t *s, const char *id,
				     bool maintenance_due)
{
	worker_t *worker = sched_worker(s, id);

	if (!worker)
		return;
	worker->maintenance_due = maintenance_due;
	sched_index_update(worker);
}
