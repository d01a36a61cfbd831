/* Orders of a pool's scheduler to workers, and their answers. */
#include "fleet/pool_internal.h"

#include "base/clock.h"
#include "base/event.h"
#include "base/metrics.h"

/** Context of a call to a worker, or for advice. */
typedef struct order_ctx {
	bw_pool_t *pool;
	char *worker;
	bw_task_name_t task;
	uint32_t run;
	bool same_boot; /**< Of a heartbeat. */
	int64_t sent_ms;
} order_ctx_t;

/** Kinds of orders to workers, as labelled in metrics. */
typedef enum order_kind {
	ORDER_START,
	ORDER_STOP,
	ORDER_THROTTLE,
	ORDER_HEARTBEAT,
	ORDER_KIND_COUNT
} order_kind_t;

static const char *const order_names[ORDER_KIND_COUNT] = {
	[ORDER_START] = "start",
	[ORDER_STOP] = "stop",
	[ORDER_THROTTLE] = "throttle",
	[ORDER_HEARTBEAT] = "hold",
};

static order_ctx_t *order_ctx_new(bw_pool_t *pool, const char *worker,
				  const bw_task_name_t *task, uint32_t run)
{
	order_ctx_t *order = g_new0(order_ctx_t, 1);

	pool->refs++;
	order->pool = pool;
	order->worker = g_strdup(worker);
	if (task)
		order->task = *task;
	order->run = run;
	order->sent_ms = bw_clock_now_ms();
	return order;
}

static void order_ctx_free(order_ctx_t *order)
{
	pool_unref(order->pool);
	g_free(order->worker);
	g_free(order);
}

static void on_started(void *ctx, bw_order_result_t result, int64_t clock_ms)
{
	order_ctx_t *order = ctx;
	bw_pool_t *pool = order->pool;

	bw_metrics_count(BW_MC_ORDERS, ORDER_START, result);
	bw_metrics_observe(BW_MH_START, bw_clock_now_ms() - order->sent_ms);
	if (!pool->closed) {
		bw_sched_start_answered(pool->sched, bw_clock_now_ms(),
					order->worker, &order->task, order->run,
					result, clock_ms);
		pool->dirty = true;
	}
	order_ctx_free(order);
}

static void on_stopped(void *ctx, bw_order_result_t result, int64_t clock_ms)
{
	order_ctx_t *order = ctx;
	bw_pool_t *pool = order->pool;

	(void)clock_ms;
	bw_metrics_count(BW_MC_ORDERS, ORDER_STOP, result);
	bw_metrics_observe(BW_MH_STOP, bw_clock_now_ms() - order->sent_ms);
	if (!pool->closed) {
		bw_sched_stop_answered(pool->sched, bw_clock_now_ms(),
				       order->worker, &order->task, order->run,
				       result);
		pool->dirty = true;
	}
	order_ctx_free(order);
}

static void on_throttled(void *ctx, bw_order_result_t result, int64_t clock_ms)
{
	order_ctx_t *order = ctx;

	(void)clock_ms;
	bw_metrics_count(BW_MC_ORDERS, ORDER_THROTTLE, result);
	if (result != BW_ORDER_OK)
		bw_event(BW_EVENT_POOL_THROTTLE_FAILED, "worker=%s result=%s",
			 order->worker, bw_order_result_name(result));
	order_ctx_free(order);
}

/* Whether a heartbeat was for a boot to which no connection was open; the
 * scheduler asks who answers on a new one. */
static bool is_unconnected(const order_ctx_t *order,
			   const bw_heartbeat_answer_t *answer)
{
	return order->same_boot && answer->result == BW_ORDER_NOT_SENT;
}

static void on_heartbeat_answered(void *ctx,
				  const bw_heartbeat_answer_t *answer)
{
	order_ctx_t *order = ctx;
	bw_pool_t *pool = order->pool;

	bw_metrics_count(BW_MC_ORDERS, ORDER_HEARTBEAT, answer->result);
	if (!pool->closed) {
		if (answer->result != BW_ORDER_OK &&
		    !is_unconnected(order, answer))
			bw_event(BW_EVENT_POOL_HOLD_FAILED,
				 "worker=%s result=%s", order->worker,
				 bw_order_result_name(answer->result));
		bw_sched_heartbeat_answered(pool->sched, bw_clock_now_ms(),
					    order->worker, answer);
		pool->dirty = true;
	}
	order_ctx_free(order);
}

static void on_advice(void *ctx, const char *const *workers,
		      const char *const *tickets, uint32_t count,
		      int64_t valid_ms)
{
	order_ctx_t *order = ctx;
	bw_pool_t *pool = order->pool;

	if (!pool->closed) {
		bw_sched_advised(pool->sched, bw_clock_now_ms(), &order->task,
				 workers, tickets, count, valid_ms);
		pool->dirty = true;
	}
	order_ctx_free(order);
}

static void do_start(void *ctx, const bw_start_order_t *order)
{
	bw_pool_t *pool = ctx;

	bw_metrics_observe(BW_MH_QUEUE_WAIT, order->waited_ms);
	pool->env.workers.start(
		pool->env.workers.impl, order, on_started,
		order_ctx_new(pool, order->worker, &order->task, order->run));
}

static void do_stop(void *ctx, const bw_run_order_t *order)
{
	bw_pool_t *pool = ctx;

	bw_event(BW_EVENT_POOL_STOP, "job=%s step=%u index=%u run=%u worker=%s",
		 order->task.job, order->task.step, order->task.index,
		 order->run, order->worker);
	pool->env.workers.stop(
		pool->env.workers.impl, order, on_stopped,
		order_ctx_new(pool, order->worker, &order->task, order->run));
}

static void do_throttle(void *ctx, const bw_run_order_t *order)
{
	bw_pool_t *pool = ctx;

	pool->env.workers.throttle(
		pool->env.workers.impl, order, on_throttled,
		order_ctx_new(pool, order->worker, &order->task, order->run));
}

static void do_heartbeat(void *ctx, const bw_heartbeat_order_t *order)
{
	bw_pool_t *pool = ctx;
	order_ctx_t *call = order_ctx_new(pool, order->worker, NULL, 0);

	call->same_boot = order->same_boot;
	pool->env.workers.heartbeat(pool->env.workers.impl, order,
				    on_heartbeat_answered, call);
}

static void do_advise(void *ctx, const bw_task_name_t *step,
		      const char *const *workers, uint32_t count)
{
	bw_pool_t *pool = ctx;

	pool->env.workers.advise(pool->env.workers.impl, step, workers, count,
				 on_advice, order_ctx_new(pool, "", step, 0));
}

static void do_superseded(void *ctx)
{
	pool_report_superseded(ctx);
}

static void do_log(void *ctx, bw_event_kind_t kind, const char *fmt,
		   va_list args)
{
	const bw_pool_t *pool = ctx;

	bw_event_of_pool(kind, pool->name, fmt, args);
}

const bw_sched_ops_t pool_sched_ops = {
	.start = do_start,
	.stop = do_stop,
	.throttle = do_throttle,
	.heartbeat = do_heartbeat,
	.advise = do_advise,
	.superseded = do_superseded,
	.log = do_log,
};

void pool_define_metrics(void)
{
	static const char *results[BW_ORDER_RESULT_COUNT];
	static bool defined;
	bw_family_labels_t orders = {
		"order",  order_names, ORDER_KIND_COUNT,
		"result", results,     BW_ORDER_RESULT_COUNT,
	};
	int i;

	if (defined)
		return;
	defined = true;
	for (i = 0; i < BW_ORDER_RESULT_COUNT; i++)
		results[i] = bw_order_result_name((bw_order_result_t)i);
	bw_metrics_define(BW_MC_ORDERS, &orders);
}
