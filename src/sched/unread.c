/*
 * Runs and ends of jobs that this owner has not read yet, or can't read. An
 * earlier owner may have started a job that was stored after the successor
 * listed the jobs.
 */
#include "sched/internal.h"

#include <string.h>

/** A stored job is read within this time; a job that isn't does not exist. */
#define UNREAD_JOB_MS 3000

/** A row of a worker's list. */
typedef struct unread {
	bw_task_name_t task;
	uint32_t run;
	bool ended;
	bw_end_kind_t kind; /**< Of an end. */
	uint64_t number; /**< Of an end. */
	int64_t since_ms; /**< When it was first listed. */
	int64_t listed_ms; /**< When it was last listed. */
} unread_t;

static bool is_read(const bw_sched_t *s, const bw_task_name_t *task)
{
	return g_hash_table_contains(s->jobs, task->job);
}

static GArray *rows_of(worker_t *worker)
{
	if (!worker->unread)
		worker->unread = g_array_new(FALSE, TRUE, sizeof(unread_t));
	return worker->unread;
}

static unread_t *find_run(GArray *rows, const bw_run_row_t *row)
{
	guint i;

	for (i = 0; i < rows->len; i++) {
		unread_t *unread = &g_array_index(rows, unread_t, i);

		if (!unread->ended && unread->run == row->run &&
		    bw_task_name_equal(&unread->task, &row->task))
			return unread;
	}
	return NULL;
}

bool sched_defer_end(bw_sched_t *s, worker_t *worker, const bw_end_row_t *end,
		     int64_t now_ms)
{
	unread_t unread = { .task = end->task,
			    .run = end->run,
			    .ended = true,
			    .kind = end->kind,
			    .number = end->number,
			    .since_ms = now_ms };

	if (is_read(s, &end->task))
		return false;
	g_array_append_val(rows_of(worker), unread);
	return true;
}

bool sched_defer_run(bw_sched_t *s, worker_t *worker, const bw_run_row_t *row,
		     int64_t now_ms)
{
	unread_t unread = { .task = row->task,
			    .run = row->run,
			    .since_ms = now_ms,
			    .listed_ms = now_ms };
	unread_t *known;

	if (is_read(s, &row->task))
		return false;
	known = find_run(rows_of(worker), row);
	if (!known) {
		g_array_append_val(worker->unread, unread);
		return true;
	}
	known->listed_ms = now_ms;
	return sched_is_unreadable(s, row->task.job) ||
	       now_ms - known->since_ms < UNREAD_JOB_MS;
}

uint64_t sched_ackable(const worker_t *worker)
{
	uint64_t number = worker->ends_processed;
	guint i;

	for (i = 0; worker->unread && i < worker->unread->len; i++) {
		const unread_t *unread =
			&g_array_index(worker->unread, unread_t, i);

		if (unread->ended)
			number = MIN(number, unread->number - 1);
	}
	return number;
}

/* An end waits for its job for a time, or for an owner that can read the job; a
 * run for as long as it is listed. */
static bool is_outdated(const bw_sched_t *s, const unread_t *unread,
			int64_t now_ms)
{
	if (!unread->ended)
		return unread->listed_ms < now_ms;
	return now_ms - unread->since_ms >= UNREAD_JOB_MS &&
	       !sched_is_unreadable(s, unread->task.job);
}

void sched_drop_unread(bw_sched_t *s, worker_t *worker, int64_t now_ms)
{
	guint i = worker->unread ? worker->unread->len : 0;

	while (i-- > 0) {
		const unread_t *unread =
			&g_array_index(worker->unread, unread_t, i);

		/* It gets no task, whose end might find its list full. */
		if (unread->ended && sched_is_unreadable(s, unread->task.job))
			worker->has_orphans = true;
		if (!is_outdated(s, unread, now_ms))
			continue;
		/* The end is acknowledged once a state is stored. */
		if (unread->ended)
			sched_changed(s, false);
		g_array_remove_index(worker->unread, i);
	}
}

static void apply(bw_sched_t *s, worker_t *worker, const unread_t *unread,
		  int64_t now_ms)
{
	bw_end_row_t end = { .number = unread->number,
			     .task = unread->task,
			     .run = unread->run,
			     .kind = unread->kind,
			     .checkpoint = "" };
	bw_run_row_t run = { .task = unread->task,
			     .run = unread->run,
			     .checkpoint = "" };

	if (unread->ended)
		sched_handle_end(s, worker, &end, now_ms);
	else
		sched_handle_run(s, worker, &run, now_ms, now_ms);
}

static void apply_of_worker(bw_sched_t *s, worker_t *worker, const char *job,
			    int64_t now_ms)
{
	guint i = 0;

	while (worker->unread && i < worker->unread->len) {
		unread_t unread = g_array_index(worker->unread, unread_t, i);

		if (strcmp(unread.task.job, job) != 0) {
			i++;
			continue;
		}
		g_array_remove_index(worker->unread, i);
		apply(s, worker, &unread, now_ms);
	}
}

void sched_apply_unread(bw_sched_t *s, const char *job, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer worker;

	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &worker))
		apply_of_worker(s, worker, job, now_ms);
}

bool sched_is_unreadable(const bw_sched_t *s, const char *job)
{
	return g_hash_table_contains(s->unreadable, job);
}

void bw_sched_add_unreadable(bw_sched_t *s, const char *id)
{
	g_hash_table_add(s->unreadable, g_strdup(id));
}
