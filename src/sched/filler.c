#include "sched/internal.h"

/** Part of its bound from which a serving task's tail is too high. */
#define TAIL_HIGH_SHARE 0.85
/** Part of its bound below which fillers may work more again. */
#define TAIL_LOW_SHARE 0.55
#define FILL_STEP_UP   15
/** Below this share fillers are paused altogether. */
#define FILL_SHARE_MIN 10
/** A change of the share needs this long to show in the tail. */
#define FILL_SETTLE_MS 700

/* Sets all fillers of a worker to its present share. */
static void throttle(bw_sched_t *s, worker_t *worker)
{
	guint i;

	for (i = 0; i < worker->tasks->len; i++) {
		task_t *task = g_ptr_array_index(worker->tasks, i);
		bw_run_order_t order = {
			.worker = worker->id,
			.address = worker->address,
			.run = task->run,
			.percent = (uint32_t)worker->fill_share,
			.fence = s->config.fence,
		};

		if (!sched_task_step(task)->filler ||
		    task->state != TASK_RUNNING ||
		    task->percent == order.percent)
			continue;
		sched_task_name(task, &order.task);
		task->percent = order.percent;
		s->ops.throttle(s->ctx, &order);
	}
}

/* Highest tail of the worker's serving tasks as a part of its bound. */
static double worst_tail(const worker_t *worker, bool *serves)
{
	double worst = 0.0;
	guint i;

	*serves = false;
	for (i = 0; i < worker->tasks->len; i++) {
		const task_t *task = g_ptr_array_index(worker->tasks, i);
		uint32_t bound_ms = sched_task_step(task)->tail_ms_max;

		if (bound_ms == 0 || task->state != TASK_RUNNING)
			continue;
		*serves = true;
		worst = MAX(worst, (double)task->tail_ms / bound_ms);
	}
	return worst;
}

void sched_fill_look(bw_sched_t *s, worker_t *worker, int64_t now_ms)
{
	int64_t share = worker->fill_share;
	bool serves;
	double worst = worst_tail(worker, &serves);

	if (now_ms - worker->fill_changed_ms >= FILL_SETTLE_MS) {
		if (!serves)
			share = 100;
		else if (worst > TAIL_HIGH_SHARE)
			share = share / 2 < FILL_SHARE_MIN ? 0 : share / 2;
		else if (worst < TAIL_LOW_SHARE)
			share = MIN(share + FILL_STEP_UP, 100);
	}
	if (share != worker->fill_share) {
		sched_log(s, BW_EVENT_SCHED_FILL_SHARE,
			  "worker=%s share=%" G_GINT64_FORMAT " tail=%.2f",
			  worker->id, share, worst);
		worker->fill_share = share;
		worker->fill_changed_ms = now_ms;
	}
	throttle(s, worker);
}
