/*
 * Fillers: tasks that use the processor which others leave free. They are
 * throttled when the tail latency of a serving task on the same worker comes
 * close to its bound.
 */
#include "sched/internal.h"

/** Ratio of tail latency to its bound above which fillers are throttled. */
#define TAIL_HIGH_RATIO 0.85
/** Ratio of tail latency to its bound below which fillers are sped up. */
#define TAIL_LOW_RATIO	       0.55
#define FILLER_STEP_UP_PERCENT 15
/** Below this percentage fillers are paused. */
#define FILLER_MIN_PERCENT 10
/** A change takes this long to show in the tail latency. */
#define FILLER_CHANGE_INTERVAL_MS 700

/* Throttles all fillers of a worker to its current percentage. */
static void throttle_fillers(bw_sched_t *s, worker_t *worker)
{
	guint i;

	for (i = 0; i < worker->tasks->len; i++) {
		task_t *task = g_ptr_array_index(worker->tasks, i);
		bw_run_order_t order = {
			.worker = worker->id,
			.address = worker->address,
			.run = task->run,
			.percent = (uint32_t)worker->filler_percent,
			.fence = worker->fence,
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

/* Returns the highest ratio of a serving task's tail latency to its bound. */
static double worst_tail_ratio(const worker_t *worker, bool *serving)
{
	double worst = 0.0;
	guint i;

	*serving = false;
	for (i = 0; i < worker->tasks->len; i++) {
		const task_t *task = g_ptr_array_index(worker->tasks, i);
		uint32_t bound_ms = sched_task_step(task)->tail_ms_max;

		if (bound_ms == 0 || task->state != TASK_RUNNING)
			continue;
		*serving = true;
		worst = MAX(worst, (double)task->tail_latency_ms / bound_ms);
	}
	return worst;
}

void sched_adjust_fillers(bw_sched_t *s, worker_t *worker, int64_t now_ms)
{
	int64_t percent = worker->filler_percent;
	bool serving;
	double worst = worst_tail_ratio(worker, &serving);

	if (now_ms - worker->filler_changed_ms >= FILLER_CHANGE_INTERVAL_MS) {
		if (!serving)
			percent = 100;
		else if (worst > TAIL_HIGH_RATIO)
			percent = percent / 2 < FILLER_MIN_PERCENT
					  ? 0
					  : percent / 2;
		else if (worst < TAIL_LOW_RATIO)
			percent = MIN(percent + FILLER_STEP_UP_PERCENT, 100);
	}
	if (percent != worker->filler_percent) {
		sched_log(s, BW_EVENT_SCHED_FILL_SHARE,
			  "worker=%s share=%" G_GINT64_FORMAT " tail=%.2f",
			  worker->id, percent, worst);
		worker->filler_percent = percent;
		worker->filler_changed_ms = now_ms;
	}
	throttle_fillers(s, worker);
}
