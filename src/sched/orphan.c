/* Runs that a worker should not run: their tasks wait until they have ended. */
#include "sched/internal.h"

static bool is_orphan(const worker_t *worker, const bw_task_name_t *name)
{
	guint i;

	for (i = 0; worker->orphans && i < worker->orphans->len; i++)
		if (bw_task_name_equal(
			    &g_array_index(worker->orphans, bw_task_name_t, i),
			    name))
			return true;
	return false;
}

void sched_orphan_listed(worker_t *worker, task_t *task)
{
	bw_task_name_t name;

	task->orphaned = true;
	sched_task_name(task, &name);
	if (is_orphan(worker, &name))
		return;
	if (!worker->orphans)
		worker->orphans =
			g_array_new(FALSE, FALSE, sizeof(bw_task_name_t));
	g_array_append_val(worker->orphans, name);
}

void sched_orphans_ended(worker_t *worker)
{
	g_clear_pointer(&worker->orphans, g_array_unref);
}

bool sched_has_orphan(const bw_sched_t *s, task_t *task)
{
	bw_task_name_t name;
	GHashTableIter iter;
	gpointer worker;

	if (!task->orphaned)
		return false;
	sched_task_name(task, &name);
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &worker))
		if (is_orphan(worker, &name))
			return true;
	task->orphaned = false;
	return false;
}
