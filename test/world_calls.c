/* How the calls of nodes reach the workers: connections, lost and late answers.
 */
#include "world_call.h"

#include <stdio.h>
#include <string.h>

/** A worker that waits for an end looks for one this often. */
#define POLL_STEP_MS 10

void world_trace_boot(world_t *w, const char *event, const call_t *call)
{
	static const char *const kinds[] = { "start", "stop", "heartbeat" };
	char text[200];

	if (!g_getenv("WORLD_TRACE"))
		return;
	g_snprintf(text, sizeof(text),
		   "%s %s.%u.%u run=%u worker=%s node%u sent=%" G_GINT64_FORMAT
		   " grant=%" G_GINT64_FORMAT " acked=%" G_GUINT64_FORMAT
		   " result=%s",
		   kinds[call->kind], call->task.job, call->task.step,
		   call->task.index, call->run, call->worker_id,
		   call->node->index, call->sent_ms, call->grant_clock_ms,
		   call->acked, bw_order_result_name(call->result));
	world_trace(w, event, text);
}

static void call_free(call_t *call)
{
	if (call->runs)
		g_array_free(call->runs, TRUE);
	if (call->ends)
		g_array_free(call->ends, TRUE);
	g_free(call);
}

bool world_node_running(const world_t *w, const node_t *node)
{
	return node->alive && w->now_ms >= node->paused_until_ms;
}

static void deliver_heartbeat(world_t *w, node_t *node, call_t *call)
{
	bw_heartbeat_answer_t answer = {
		.result = call->result,
		.sent_ms = call->sent_ms,
		.clock_ms = call->clock_ms,
		.started_ms = call->started_ms,
	};

	if (call->runs) {
		answer.runs = (const bw_run_row_t *)(void *)call->runs->data;
		answer.run_count = call->runs->len;
		answer.ends = (const bw_end_row_t *)(void *)call->ends->data;
		answer.end_count = call->ends->len;
		answer.more_ends = call->more_ends;
	}
	bw_sched_heartbeat_answered(node->sched, w->now_ms, call->worker_id,
				    &answer);
}

/* A call without an answer closes its connection at its timeout. */
static void record_connection(world_t *w, const call_t *call)
{
	bool *connected = &call->worker->connected[call->node->index];

	if (call->kind != CALL_HEARTBEAT ||
	    call->node->incarnation != call->incarnation)
		return;
	*connected =
		call->result == BW_ORDER_OK || call->result == BW_ORDER_FENCED;
	if (w->config.closing ||
	    g_rand_double(w->connection_rand) < w->config.idle_close_share)
		*connected = false;
}

static void on_answer(world_t *w, void *arg)
{
	call_t *call = arg;
	node_t *node = call->node;

	if (node->alive && w->now_ms < node->paused_until_ms) {
		world_schedule(w, node->paused_until_ms - w->now_ms, on_answer,
			       call);
		return;
	}
	record_connection(w, call);
	if (call->result == BW_ORDER_OK &&
	    call->worker != world_find_worker(w, call->worker_id))
		world_trace_boot(w, "answer-of-earlier-boot", call);
	if (node->alive && node->incarnation == call->incarnation &&
	    node->sched) {
		if (call->kind == CALL_START)
			bw_sched_start_answered(node->sched, w->now_ms,
						call->worker_id, &call->task,
						call->run, call->result,
						call->clock_ms);
		else if (call->kind == CALL_STOP)
			bw_sched_stop_answered(node->sched, w->now_ms,
					       call->worker_id, &call->task,
					       call->run, call->result);
		else
			deliver_heartbeat(w, node, call);
		world_run_sched(w, node);
	}
	call_free(call);
}

/* A call names only the id, so it reaches the boot that has it by now, unless
 * it was sent on a connection: that ends with its boot. */
static fake_worker_t *called_boot(world_t *w, call_t *call)
{
	if (!call->same_boot)
		call->worker = world_find_worker(w, call->worker_id);
	return call->worker;
}

/* Returns the boot to which a node keeps a connection, or NULL. */
static fake_worker_t *connected_boot(const world_t *w, const node_t *node,
				     const char *id)
{
	guint i = w->workers->len;

	while (i-- > 0) {
		fake_worker_t *worker = g_ptr_array_index(w->workers, i);

		if (worker->connected[node->index] && !strcmp(worker->id, id))
			return worker;
	}
	return NULL;
}

/* Sends an answer; one that arrives after the call's timeout is lost. */
static void send_answer(world_t *w, call_t *call)
{
	int64_t delay_ms = world_random_between(w, 1, 3);
	int64_t left_ms =
		call->sent_ms + call->timeout_ms + call->wait_ms - w->now_ms;

	if (w->now_ms < w->config.traffic_ms &&
	    world_fault_bool(w, w->config.late_answer_share))
		delay_ms = world_fault_between(w, 4, LATE_ANSWER_MAX_MS);
	if (delay_ms > left_ms) {
		call->result = BW_ORDER_LOST;
		delay_ms = MAX(left_ms, 1);
	}
	world_schedule(w, delay_ms, on_answer, call);
}

/* Whether a call waits for its connection: the worker that answers may be the
 * next boot. On an open connection to an earlier one it is lost. */
static bool keeps_connecting(world_t *w, const call_t *call)
{
	int64_t timeout_ms = CALL_TIMEOUT_MS + call->wait_ms;

	if (call->same_boot || w->now_ms >= w->config.traffic_ms ||
	    w->now_ms + CONNECT_RETRY_MS >= call->sent_ms + timeout_ms)
		return false;
	if (call->kind == CALL_HEARTBEAT &&
	    connected_boot(w, call->node, call->worker_id))
		return false;
	return g_rand_double(w->connection_rand) < w->config.connect_wait_share;
}

static void execute_and_answer(world_t *w, call_t *call)
{
	world_execute_call(w, call);
	if (call->answer_lost) {
		call->result = BW_ORDER_LOST;
		world_schedule(w, call->timeout_ms, on_answer, call);
		return;
	}
	send_answer(w, call);
}

/* Whether a worker that has received a heartbeat waits for an end. */
static bool is_polling(const world_t *w, const call_t *call)
{
	return w->config.closing && call->kind == CALL_HEARTBEAT &&
	       call->worker->ends->len == 0 &&
	       w->now_ms < call->sent_ms + call->wait_ms;
}

/* A crash cuts the long poll that the boot had received. */
static void on_poll(world_t *w, void *arg)
{
	call_t *call = arg;

	if (!call->worker->alive) {
		call->result = BW_ORDER_LOST;
		world_schedule(w, 1, on_answer, call);
	} else if (is_polling(w, call)) {
		world_schedule(w, POLL_STEP_MS, on_poll, call);
	} else {
		execute_and_answer(w, call);
	}
}

static void on_call(world_t *w, void *arg)
{
	call_t *call = arg;
	fake_worker_t *worker = called_boot(w, call);
	bool cut = w->now_ms < w->cut_until_ms[worker->machine];
	bool reached = worker->alive && !cut &&
		       !worker->unreachable_from[call->node->index];

	if (!reached && keeps_connecting(w, call)) {
		world_schedule(w, CONNECT_RETRY_MS, on_call, call);
		return;
	}
	if (!reached) {
		call->result = worker->alive || cut || worker->silent_when_dead
				       ? BW_ORDER_LOST
				       : BW_ORDER_NOT_SENT;
		world_schedule(
			w, call->result == BW_ORDER_LOST ? call->timeout_ms : 2,
			on_answer, call);
		return;
	}
	if (is_polling(w, call))
		on_poll(w, call);
	else
		execute_and_answer(w, call);
}

/* Whether a call to an earlier boot comes before any other to the present one,
 * which nothing could keep it from carrying out. */
static bool precedes_contact(const world_t *w, const call_t *call)
{
	return w->config.same_id_away_ms > 0 && call->worker->fence == 0 &&
	       call->sent_ms < call->worker->started_ms;
}

/* Event: executes a call whose caller has given up; no answer is sent. */
static void on_delayed_call(world_t *w, void *arg)
{
	call_t *call = arg;
	fake_worker_t *worker;
	int64_t cut_ms;

	call->delayed = true;
	worker = called_boot(w, call);
	cut_ms = w->cut_until_ms[worker->machine] - w->now_ms;
	if (cut_ms > 0 &&
	    w->now_ms + cut_ms - call->sent_ms <= DELAYED_CALL_MAX_MS) {
		world_schedule(w, cut_ms + world_fault_between(w, 1, 300),
			       on_delayed_call, call);
		return;
	}
	if (worker->alive && cut_ms <= 0 && !precedes_contact(w, call))
		world_execute_call(w, call);
	call_free(call);
}

/* Draws whether a call is carried out late, and then sends it so. */
static bool send_late(node_t *node, call_t *call)
{
	world_t *w = node->w;

	if (w->config.late_call_share <= 0.0 ||
	    w->now_ms >= w->config.traffic_ms ||
	    g_rand_double(w->late_rand) >= w->config.late_call_share)
		return false;
	world_schedule(w,
		       g_rand_int_range(w->late_rand, LATE_CALL_MIN_MS,
					DELAYED_CALL_MAX_MS),
		       on_delayed_call, g_memdup2(call, sizeof(*call)));
	call->result = BW_ORDER_LOST;
	world_schedule(w, call->timeout_ms + call->wait_ms, on_answer, call);
	return true;
}

static void send_call(node_t *node, call_t *call)
{
	world_t *w = node->w;
	bool lost = w->now_ms < w->config.traffic_ms &&
		    world_random_bool(w, w->config.lost_share);
	call_t *delayed;

	call->node = node;
	call->incarnation = node->incarnation;
	call->sent_ms = w->now_ms;
	call->worker = called_boot(w, call);
	call->told = call->worker->told[node->index];
	call->order = w->last_sequence;
	if (send_late(node, call))
		return;
	if (lost && world_random_bool(w, w->config.delayed_share)) {
		delayed = g_memdup2(call, sizeof(*call));
		world_schedule(
			w, world_random_between(w, 500, DELAYED_CALL_MAX_MS),
			on_delayed_call, delayed);
		call->result = BW_ORDER_LOST;
		world_schedule(w, call->timeout_ms, on_answer, call);
		return;
	}
	call->answer_lost = lost;
	world_schedule(w, world_random_between(w, 1, 4), on_call, call);
}

/* The longest wait for an answer, unless the order has a limit of its own. */
static void set_timeout(call_t *call, int64_t answer_ms)
{
	call->timeout_ms = answer_ms > 0 ? MIN(answer_ms, CALL_TIMEOUT_MS)
					 : CALL_TIMEOUT_MS;
}

static void order_start(void *ctx, const bw_start_order_t *order)
{
	node_t *node = ctx;
	call_t *call = g_new0(call_t, 1);
	fake_job_t *job = world_find_job(node->w, order->task.job);

	call->kind = CALL_START;
	set_timeout(call, order->answer_ms);
	g_strlcpy(call->worker_id, order->worker, sizeof(call->worker_id));
	call->task = order->task;
	call->run = order->run;
	call->fence = order->fence;
	call->grant_clock_ms = order->grant_clock_ms;
	if (strcmp(order->text, job->record.spec->text) != 0)
		world_violation(node->w,
				"a start order has another text than its job");
	send_call(node, call);
}

static void order_stop(void *ctx, const bw_run_order_t *order)
{
	call_t *call = g_new0(call_t, 1);

	call->kind = CALL_STOP;
	set_timeout(call, order->answer_ms);
	g_strlcpy(call->worker_id, order->worker, sizeof(call->worker_id));
	call->task = order->task;
	call->run = order->run;
	call->fence = order->fence;
	send_call(ctx, call);
}

static void order_throttle(void *ctx, const bw_run_order_t *order)
{
	(void)ctx;
	(void)order;
}

/* Ends a call that finds no connection. */
static void send_nowhere(node_t *node, call_t *call)
{
	call->node = node;
	call->incarnation = node->incarnation;
	call->sent_ms = node->w->now_ms;
	call->worker = world_find_worker(node->w, call->worker_id);
	call->result = BW_ORDER_NOT_SENT;
	world_schedule(node->w, 0, on_answer, call);
}

static void order_heartbeat(void *ctx, const bw_heartbeat_order_t *order)
{
	node_t *node = ctx;
	call_t *call = g_new0(call_t, 1);
	fake_worker_t *worker = world_find_worker(node->w, order->worker);

	if (order->same_boot)
		worker = connected_boot(node->w, node, order->worker);
	call->kind = CALL_HEARTBEAT;
	call->same_boot = order->same_boot;
	call->worker = worker;
	set_timeout(call, order->answer_ms);
	g_strlcpy(call->worker_id, order->worker, sizeof(call->worker_id));
	call->fence = order->fence;
	call->grant_clock_ms = order->grant_clock_ms;
	call->acked = order->acked;
	call->wait_ms = order->wait_ms;
	if (!worker) {
		send_nowhere(node, call);
		return;
	}
	/*
	 * A long poll is simulated by a short one, whose answer is not lost but
	 * where calls are carried out late.
	 */
	if (order->wait_ms > 0 && worker->ends->len == 0) {
		call->node = node;
		call->incarnation = node->incarnation;
		call->sent_ms = node->w->now_ms;
		call->worker = worker;
		if (send_late(node, call))
			return;
		world_schedule(node->w, world_random_between(node->w, 5, 60),
			       on_call, call);
		return;
	}
	send_call(node, call);
}

static void order_advise(void *ctx, const bw_task_name_t *step,
			 const char *const *workers, uint32_t count)
{
	(void)ctx;
	(void)step;
	(void)workers;
	(void)count;
}

void world_destroy_sched(node_t *node)
{
	bw_sched_destroy(node->sched);
	node->sched = NULL;
	node->incarnation++;
	node->save_pending = false;
	node->handing_over = false;
}

static void on_destroy_sched(world_t *w, void *arg)
{
	node_t *node = arg;

	(void)w;
	if (node->sched && node->fence == 0)
		world_destroy_sched(node);
}

/* Called from within the scheduler, which can be destroyed only afterwards. */
void world_superseded(void *ctx)
{
	node_t *node = ctx;

	if (node->fence == 0)
		return;
	world_trace(node->w, "superseded", "");
	node->fence = 0;
	bw_sched_allow_orders(node->sched, false);
	world_schedule(node->w, 0, on_destroy_sched, node);
}

static void order_log(void *ctx, bw_event_kind_t kind, const char *fmt,
		      va_list args)
{
	node_t *node = ctx;
	char fields[500];
	char text[700];

	if (!g_getenv("WORLD_TRACE"))
		return;
	g_vsnprintf(fields, sizeof(fields), fmt, args);
	g_snprintf(text, sizeof(text), "node%u %s %s", node->index,
		   bw_event_spec(kind)->name, fields);
	world_trace(node->w, "sched", text);
}

const bw_sched_ops_t world_sched_ops = {
	.start = order_start,
	.stop = order_stop,
	.throttle = order_throttle,
	.heartbeat = order_heartbeat,
	.advise = order_advise,
	.superseded = world_superseded,
	.log = order_log,
};

void world_free_call(event_fn fn, void *arg)
{
	if (fn == on_call || fn == on_answer || fn == on_delayed_call ||
	    fn == on_poll)
		call_free(arg);
}
