#include "world.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "sched/sched.h"

#define NODES	  3
#define WORKERS	  7
#define LEASE_MS  2000
#define GRANT_MS  5000
#define OUTAGE_MS 3500
#define STOP_MS	  400
/** A task that lasts is at work after this. */
#define START_UP_MS	300
#define TICK_MS		100
#define DIRECTORY_MS	800
#define CALL_TIMEOUT_MS 700
#define LATE_MAX_MS	12000
#define SAVE_GAP_MS	60
#define ATTEMPTS	3
#define LOOK_MS		20
#define STRANDED_MS	30000
/** A reading of the store may be so old. */
#define STALE_MS	2000
#define REMOVED_AT_ONCE 4
/** Jobs that last take no more than a part of the room. */
#define LASTING_MAX 2

typedef struct world world_t;
typedef void (*event_fn)(world_t *w, void *arg);

typedef struct event {
	int64_t at_ms;
	uint64_t number;
	event_fn fn;
	void *arg;
} event_t;

/** A run on a fake worker. */
typedef struct run {
	bw_task_name_t task;
	uint32_t number;
	bw_room_t need;
	bool fails;
	bool stopping;
	int64_t began_ms;
	int64_t ends_ms; /**< INT64_MAX for tasks that last. */
} run_t;

/** What the world knows of a task. */
typedef struct truth {
	uint32_t running; /**< Runs on live workers. */
	bool done;
	bool done_acked;
	bool away; /**< Ended by an order, and not at work again. */
	uint32_t failed_acked;
	uint32_t failed;
} truth_t;

typedef struct fake_job {
	char id[BW_JOB_ID_CHARS + 1];
	bw_job_record_t record;
	bool poison;
	int64_t stored_ms;
	int64_t cancelled_ms; /**< 0: not. */
	bool shown; /**< As completed. */
	bool shown_cancelled;
	int64_t removed_ms; /**< 0: still in the store. */
	truth_t *tasks;
} fake_job_t;

typedef struct fake_end {
	uint64_t number;
	bw_task_name_t task;
	uint32_t run;
	bw_end_kind_t kind;
} fake_end_t;

typedef struct fake_worker {
	uint32_t machine;
	char id[32];
	char name[32];
	bool alive;
	bool dark; /**< When dead, calls get no answer instead of a refusal. */
	bool registered;
	bool bad; /**< Fails all that it starts. */
	bool wanted; /**< Its owner is to empty it. */
	int64_t born_ms;
	int64_t registered_until_ms;
	double rate;
	uint64_t fence;
	int64_t deadline;
	uint64_t last_end;
	uint64_t acked;
	GArray *runs;
	GArray *ends;
	GHashTable *highest; /**< Task text to the highest run ended there. */
	bool cut[NODES];
} fake_worker_t;

typedef struct node {
	world_t *w;
	uint32_t index;
	bool alive;
	int64_t paused_until_ms;
	bool store_cut;
	int64_t lease_until_ms; /**< By its own knowledge. */
	bw_sched_t *sched;
	uint64_t fence;
	uint64_t life; /**< Answers to an earlier life are dropped. */
	int64_t state_rev;
	uint64_t saving;
	bool save_out;
	bool leaving; /**< Hands its pool over. */
	int64_t saved_at_ms;
} node_t;

struct world {
	world_config_t config;
	world_result_t *result;
	GRand *rand;
	GSequence *events;
	uint64_t last_event;
	int64_t now_ms;
	node_t nodes[NODES];
	GPtrArray *workers; /**< All that ever lived. */
	GPtrArray *jobs;
	bool store_down;
	int64_t rev;
	uint64_t owner_fence; /**< 0: none. */
	int64_t owner_until_ms;
	uint32_t owner_node;
	int64_t state_rev;
	GBytes *state;
	uint32_t births;
	uint32_t lasting;
	int64_t end_ms;
};

static void breach(world_t *w, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void breach(world_t *w, const char *fmt, ...)
{
	char text[200];
	va_list args;

	va_start(args, fmt);
	g_vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	if (w->result->broken++ == 0)
		g_snprintf(w->result->first, sizeof(w->result->first),
			   "%" G_GINT64_FORMAT " ms: %s", w->now_ms, text);
	if (g_getenv("WORLD_TRACE"))
		printf("%8" G_GINT64_FORMAT " BROKEN %s\n", w->now_ms, text);
}

static void trace(world_t *w, const char *event, const char *text)
{
	if (g_getenv("WORLD_TRACE"))
		printf("%8" G_GINT64_FORMAT " %s %s\n", w->now_ms, event, text);
}

static gint compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
	const event_t *x = a;
	const event_t *y = b;

	(void)data;
	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->number < y->number ? -1 : 1;
}

static void at(world_t *w, int64_t delay_ms, event_fn fn, void *arg)
{
	event_t *event = g_new0(event_t, 1);

	event->at_ms = w->now_ms + delay_ms;
	event->number = ++w->last_event;
	event->fn = fn;
	event->arg = arg;
	g_sequence_insert_sorted(w->events, event, compare_events, NULL);
}

static bool chance(world_t *w, double share)
{
	return g_rand_double(w->rand) < share;
}

static int64_t between(world_t *w, int64_t low, int64_t high)
{
	return g_rand_int_range(w->rand, (gint32)low, (gint32)high + 1);
}

static void task_text(const bw_task_name_t *task, char *out, size_t bytes)
{
	g_snprintf(out, bytes, "%s.%u.%u.%u", task->job, task->occurrence,
		   task->step, task->index);
}

static fake_job_t *find_job(world_t *w, const char *id)
{
	guint i;

	for (i = 0; i < w->jobs->len; i++) {
		fake_job_t *job = g_ptr_array_index(w->jobs, i);

		if (!strcmp(job->id, id))
			return job;
	}
	return NULL;
}

static truth_t *find_truth(fake_job_t *job, const bw_task_name_t *task)
{
	uint32_t first = 0;
	uint32_t i;

	for (i = 0; i < task->step; i++)
		first += job->record.spec->steps[i].count;
	return &job->tasks[first + task->index];
}

/* Workers. */

static int64_t worker_clock(const world_t *w, const fake_worker_t *worker)
{
	return 1000 +
	       (int64_t)((double)(w->now_ms - worker->born_ms) * worker->rate);
}

static void end_run(world_t *w, fake_worker_t *worker, guint index,
		    bw_end_kind_t kind)
{
	run_t *run = &g_array_index(worker->runs, run_t, index);
	fake_job_t *job = find_job(w, run->task.job);
	truth_t *truth = find_truth(job, &run->task);
	fake_end_t end = { ++worker->last_end, run->task, run->number, kind };
	char text[80];

	truth->running--;
	if (kind == BW_END_DONE)
		truth->done = true;
	if (kind == BW_END_FAILED)
		truth->failed++;
	g_array_append_val(worker->ends, end);
	task_text(&run->task, text, sizeof(text));
	g_hash_table_replace(worker->highest, g_strdup(text),
			     GUINT_TO_POINTER(run->number));
	g_array_remove_index_fast(worker->runs, index);
}

static void check_worker(world_t *w, void *arg)
{
	fake_worker_t *worker = arg;
	guint i = worker->runs->len;
	bool over = worker_clock(w, worker) >= worker->deadline;

	if (!worker->alive)
		return;
	while (i-- > 0) {
		run_t *run = &g_array_index(worker->runs, run_t, i);

		if (over)
			end_run(w, worker, i, BW_END_EXPIRED);
		else if (w->now_ms >= run->ends_ms)
			end_run(w, worker, i,
				run->stopping ? BW_END_STOPPED
				: run->fails  ? BW_END_FAILED
					      : BW_END_DONE);
	}
}

static void extend(world_t *w, fake_worker_t *worker, int64_t deadline)
{
	int64_t limit = worker_clock(w, worker) + 10000;

	deadline = MIN(deadline, limit);
	if (deadline <= worker->deadline)
		return;
	worker->deadline = deadline;
	at(w,
	   (int64_t)((double)(deadline - worker_clock(w, worker)) /
		     worker->rate) +
		   2,
	   check_worker, worker);
}

static void check_start(world_t *w, fake_worker_t *worker, fake_job_t *job,
			const bw_task_name_t *task)
{
	const bw_step_spec_t *step = &job->record.spec->steps[task->step];
	truth_t *truth = find_truth(job, task);
	bw_room_t used = step->need;
	uint32_t same = 1;
	uint32_t k;
	guint i;

	if (truth->running > 0)
		breach(w, "task %s.%u.%u runs twice", task->job, task->step,
		       task->index);
	if (truth->done_acked)
		breach(w, "task %s.%u.%u starts after its acknowledged end",
		       task->job, task->step, task->index);
	if (!step->lasting && truth->failed_acked >= ATTEMPTS)
		breach(w, "task %s.%u.%u starts after its last attempt",
		       task->job, task->step, task->index);
	for (i = 0; i < worker->runs->len; i++) {
		const run_t *run = &g_array_index(worker->runs, run_t, i);

		used.cpu_millis += run->need.cpu_millis;
		used.mem_mb += run->need.mem_mb;
		if (!strcmp(run->task.job, task->job) &&
		    run->task.step == task->step)
			same++;
	}
	if (used.cpu_millis > 32000 || used.mem_mb > 64000)
		breach(w, "worker %s is over its room", worker->id);
	if (step->per_worker_max > 0 && same > step->per_worker_max)
		breach(w, "too many tasks of a step on %s", worker->id);
	for (i = 0; i < step->after_count; i++)
		for (k = 0; k < job->record.spec->steps[step->after[i]].count;
		     k++) {
			bw_task_name_t before = *task;

			before.step = step->after[i];
			before.index = k;
			if (!find_truth(job, &before)->done)
				breach(w, "task %s.%u.%u starts too early",
				       task->job, task->step, task->index);
		}
}

static void begin_run(world_t *w, fake_worker_t *worker,
		      const bw_task_name_t *task, uint32_t number)
{
	fake_job_t *job = find_job(w, task->job);
	const bw_step_spec_t *step = &job->record.spec->steps[task->step];
	run_t run = { .task = *task, .number = number, .need = step->need };

	check_start(w, worker, job, task);
	if (job->removed_ms > 0)
		breach(w, "job %s is started after its removal", job->id);
	find_truth(job, task)->running++;
	w->result->starts++;
	run.fails = worker->bad || (job->poison && task->index == 0) ||
		    chance(w, 0.02);
	run.began_ms = w->now_ms;
	run.ends_ms = INT64_MAX;
	if (!step->lasting || chance(w, 0.1)) {
		run.ends_ms = w->now_ms + between(w, 100, 2500);
		run.fails |= step->lasting;
	}
	g_array_append_val(worker->runs, run);
	if (run.ends_ms != INT64_MAX)
		at(w, run.ends_ms - w->now_ms, check_worker, worker);
}

static gint find_run(const fake_worker_t *worker, const bw_task_name_t *task,
		     uint32_t number)
{
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const run_t *run = &g_array_index(worker->runs, run_t, i);

		if (run->number == number && run->task.step == task->step &&
		    run->task.index == task->index &&
		    !strcmp(run->task.job, task->job))
			return (gint)i;
	}
	return -1;
}

static uint32_t highest_run(const fake_worker_t *worker,
			    const bw_task_name_t *task)
{
	char text[80];

	task_text(task, text, sizeof(text));
	return GPOINTER_TO_UINT(g_hash_table_lookup(worker->highest, text));
}

/* Calls from nodes to workers. */

typedef enum call_kind { CALL_START, CALL_STOP, CALL_HOLD } call_kind_t;

typedef struct call {
	node_t *node;
	uint64_t life;
	fake_worker_t *worker;
	call_kind_t kind;
	char worker_id[32];
	bw_task_name_t task;
	uint32_t run;
	uint64_t fence;
	int64_t grant;
	uint64_t acked;
	int64_t sent_ms;
	bool answer_lost;
	bool late; /**< Carried out after its caller gave up. */
	bw_order_result_t result;
	int64_t clock_ms;
	int64_t born_ms;
	GArray *runs;
	GArray *ends;
} call_t;

static void call_free(call_t *call)
{
	if (call->runs)
		g_array_free(call->runs, TRUE);
	if (call->ends)
		g_array_free(call->ends, TRUE);
	g_free(call);
}

static void run_node(world_t *w, node_t *node);

static bool node_works(const world_t *w, const node_t *node)
{
	return node->alive && w->now_ms >= node->paused_until_ms;
}

static void deliver_hold(world_t *w, node_t *node, call_t *call)
{
	bw_hold_answer_t answer = {
		.result = call->result,
		.sent_ms = call->sent_ms,
		.clock_ms = call->clock_ms,
		.born_ms = call->born_ms,
	};

	if (call->runs) {
		answer.runs = (const bw_run_row_t *)(void *)call->runs->data;
		answer.run_count = call->runs->len;
		answer.ends = (const bw_end_row_t *)(void *)call->ends->data;
		answer.end_count = call->ends->len;
	}
	bw_sched_held(node->sched, w->now_ms, call->worker_id, &answer);
}

static void on_answer(world_t *w, void *arg)
{
	call_t *call = arg;
	node_t *node = call->node;

	if (node->alive && w->now_ms < node->paused_until_ms) {
		at(w, node->paused_until_ms - w->now_ms, on_answer, call);
		return;
	}
	if (node->alive && node->life == call->life && node->sched) {
		if (call->kind == CALL_START)
			bw_sched_started(node->sched, w->now_ms,
					 call->worker_id, &call->task,
					 call->run, call->result,
					 call->clock_ms);
		else if (call->kind == CALL_STOP)
			bw_sched_stopped(node->sched, w->now_ms,
					 call->worker_id, &call->task,
					 call->run, call->result);
		else
			deliver_hold(w, node, call);
		run_node(w, node);
	}
	call_free(call);
}

static void do_start(world_t *w, call_t *call)
{
	fake_worker_t *worker = call->worker;

	extend(w, worker, call->grant);
	if (find_run(worker, &call->task, call->run) >= 0)
		return;
	if (call->run <= highest_run(worker, &call->task))
		call->result = BW_ORDER_OLD_RUN;
	else if (call->grant <= worker_clock(w, worker))
		call->result = BW_ORDER_EXPIRED;
	else
		begin_run(w, worker, &call->task, call->run);
}

static bool at_work(const world_t *w, const run_t *run)
{
	return w->now_ms - run->began_ms >= START_UP_MS;
}

/* No stop takes a second task of a lasting step away. */
static void check_away(world_t *w, const call_t *call, const run_t *run)
{
	fake_job_t *job = find_job(w, run->task.job);
	const bw_step_spec_t *step = &job->record.spec->steps[run->task.step];
	bw_task_name_t name = run->task;
	uint32_t away = 0;

	if (!step->lasting || job->cancelled_ms > 0 || call->late)
		return;
	for (name.index = 0; name.index < step->count; name.index++)
		if (name.index != run->task.index &&
		    find_truth(job, &name)->away)
			away++;
	if (at_work(w, run) && away >= MAX(step->away_max, 1U))
		breach(w, "task %s.%u.%u is stopped with %u others away",
		       run->task.job, run->task.step, run->task.index, away);
	find_truth(job, &run->task)->away = true;
}

/* A run that has started up ends its task's absence. */
static void note_at_work(world_t *w, const fake_worker_t *worker)
{
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const run_t *run = &g_array_index(worker->runs, run_t, i);

		if (!run->stopping && at_work(w, run))
			find_truth(find_job(w, run->task.job), &run->task)
				->away = false;
	}
}

static void do_stop(world_t *w, call_t *call)
{
	fake_worker_t *worker = call->worker;
	gint index = find_run(worker, &call->task, call->run);
	run_t *run;
	char text[80];

	if (index < 0) {
		task_text(&call->task, text, sizeof(text));
		if (call->run > highest_run(worker, &call->task))
			g_hash_table_replace(worker->highest, g_strdup(text),
					     GUINT_TO_POINTER(call->run));
		return;
	}
	run = &g_array_index(worker->runs, run_t, index);
	if (run->stopping)
		return;
	check_away(w, call, run);
	run->stopping = true;
	run->ends_ms = w->now_ms + between(w, 50, STOP_MS);
	at(w, run->ends_ms - w->now_ms, check_worker, worker);
}

static void ack_end(world_t *w, const fake_end_t *end)
{
	truth_t *truth = find_truth(find_job(w, end->task.job), &end->task);

	if (end->kind == BW_END_DONE)
		truth->done_acked = true;
	if (end->kind == BW_END_FAILED)
		truth->failed_acked++;
}

static void take_acked(world_t *w, fake_worker_t *worker, uint64_t acked)
{
	while (worker->ends->len > 0) {
		const fake_end_t *end =
			&g_array_index(worker->ends, fake_end_t, 0);

		if (end->number > acked)
			return;
		ack_end(w, end);
		g_array_remove_index(worker->ends, 0);
	}
}

static void do_hold(world_t *w, call_t *call)
{
	fake_worker_t *worker = call->worker;
	guint i;

	if (call->grant > 0)
		extend(w, worker, call->grant);
	take_acked(w, worker, call->acked);
	note_at_work(w, worker);
	call->runs = g_array_new(FALSE, TRUE, sizeof(bw_run_row_t));
	call->ends = g_array_new(FALSE, TRUE, sizeof(bw_end_row_t));
	for (i = 0; i < worker->runs->len; i++) {
		const run_t *run = &g_array_index(worker->runs, run_t, i);
		bw_run_row_t row = { run->task, run->number, "",
				     at_work(w, run) ? 100U : 50U, 0 };

		g_array_append_val(call->runs, row);
	}
	for (i = 0; i < worker->ends->len; i++) {
		const fake_end_t *end =
			&g_array_index(worker->ends, fake_end_t, i);
		bw_end_row_t row = { end->number, end->task, end->run,
				     end->kind, "" };

		g_array_append_val(call->ends, row);
	}
}

static void carry_out(world_t *w, call_t *call)
{
	fake_worker_t *worker = call->worker;

	check_worker(w, worker);
	call->result = BW_ORDER_OK;
	if (call->fence < worker->fence) {
		call->result = BW_ORDER_FENCED;
	} else {
		worker->fence = call->fence;
		if (call->kind == CALL_START)
			do_start(w, call);
		else if (call->kind == CALL_STOP)
			do_stop(w, call);
		else
			do_hold(w, call);
	}
	call->clock_ms = worker_clock(w, worker);
	call->born_ms = worker->born_ms + 1000000;
}

static void on_call(world_t *w, void *arg)
{
	call_t *call = arg;
	fake_worker_t *worker = call->worker;
	bool reached = worker->alive && !worker->cut[call->node->index];

	if (!reached) {
		call->result = worker->alive || worker->dark
				       ? BW_ORDER_LOST
				       : BW_ORDER_NOT_SENT;
		at(w, call->result == BW_ORDER_LOST ? CALL_TIMEOUT_MS : 2,
		   on_answer, call);
		return;
	}
	carry_out(w, call);
	if (call->answer_lost) {
		call->result = BW_ORDER_LOST;
		at(w, CALL_TIMEOUT_MS, on_answer, call);
		return;
	}
	at(w, between(w, 1, 3), on_answer, call);
}

/* Carried out long after the caller has given up on an answer. */
static void on_late_call(world_t *w, void *arg)
{
	call_t *call = arg;

	call->late = true;
	if (call->worker->alive)
		carry_out(w, call);
	call_free(call);
}

static fake_worker_t *worker_by_id(world_t *w, const char *id)
{
	guint i = w->workers->len;

	while (i-- > 0) {
		fake_worker_t *worker = g_ptr_array_index(w->workers, i);

		if (!strcmp(worker->id, id))
			return worker;
	}
	return NULL;
}

static void send_call(node_t *node, call_t *call)
{
	world_t *w = node->w;
	bool lost = w->now_ms < w->config.traffic_ms &&
		    chance(w, w->config.lost_share);
	call_t *late;

	call->node = node;
	call->life = node->life;
	call->sent_ms = w->now_ms;
	call->worker = worker_by_id(w, call->worker_id);
	if (lost && chance(w, w->config.late_share)) {
		late = g_memdup2(call, sizeof(*call));
		at(w, between(w, 500, LATE_MAX_MS), on_late_call, late);
		call->result = BW_ORDER_LOST;
		at(w, CALL_TIMEOUT_MS, on_answer, call);
		return;
	}
	call->answer_lost = lost;
	at(w, between(w, 1, 4), on_call, call);
}

static void order_start(void *ctx, const bw_start_order_t *order)
{
	node_t *node = ctx;
	call_t *call = g_new0(call_t, 1);
	fake_job_t *job = find_job(node->w, order->task.job);

	call->kind = CALL_START;
	g_strlcpy(call->worker_id, order->worker, sizeof(call->worker_id));
	call->task = order->task;
	call->run = order->run;
	call->fence = order->fence;
	call->grant = order->grant_clock_ms;
	if (strcmp(order->text, job->record.spec->text) != 0)
		breach(node->w, "another text is started");
	send_call(node, call);
}

static void order_stop(void *ctx, const bw_run_order_t *order)
{
	call_t *call = g_new0(call_t, 1);

	call->kind = CALL_STOP;
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

static void order_hold(void *ctx, const bw_hold_order_t *order)
{
	node_t *node = ctx;
	call_t *call = g_new0(call_t, 1);
	fake_worker_t *worker = worker_by_id(node->w, order->worker);

	call->kind = CALL_HOLD;
	g_strlcpy(call->worker_id, order->worker, sizeof(call->worker_id));
	call->fence = order->fence;
	call->grant = order->grant_clock_ms;
	call->acked = order->acked;
	/* A long poll is told of by a shorter one here. */
	if (order->wait_ms > 0 && worker->ends->len == 0) {
		call->node = node;
		call->life = node->life;
		call->sent_ms = node->w->now_ms;
		call->worker = worker;
		at(node->w, between(node->w, 5, 60), on_call, call);
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

static void drop_sched(node_t *node)
{
	bw_sched_destroy(node->sched);
	node->sched = NULL;
	node->life++;
	node->save_out = false;
	node->leaving = false;
}

static void on_drop(world_t *w, void *arg)
{
	node_t *node = arg;

	(void)w;
	if (node->sched && node->fence == 0)
		drop_sched(node);
}

/* Called from inside the scheduler, so it is dropped a moment later. */
static void order_superseded(void *ctx)
{
	node_t *node = ctx;

	if (node->fence == 0)
		return;
	trace(node->w, "superseded", "");
	node->fence = 0;
	bw_sched_allow(node->sched, false);
	at(node->w, 0, on_drop, node);
}

static void order_log(void *ctx, const char *event, const char *fields)
{
	node_t *node = ctx;
	char text[700];

	if (!g_getenv("WORLD_TRACE"))
		return;
	g_snprintf(text, sizeof(text), "node%u %s %s", node->index, event,
		   fields);
	trace(node->w, "sched", text);
}

static const bw_sched_ops_t sched_ops = {
	.start = order_start,
	.stop = order_stop,
	.throttle = order_throttle,
	.hold = order_hold,
	.advise = order_advise,
	.superseded = order_superseded,
	.log = order_log,
};

/* The store. */

typedef struct save {
	node_t *node;
	uint64_t life;
	uint64_t fence;
	int64_t expected_rev;
	uint64_t version;
	GBytes *data;
	bool lost;
	bool executed;
	bool final; /**< Of a node that leaves. */
	int64_t revision;
	bool superseded;
} save_t;

static void save_free(save_t *save)
{
	g_bytes_unref(save->data);
	g_free(save);
}

/* The last state is stored: the pool is free for a successor. */
static void hand_over(world_t *w, node_t *node)
{
	trace(w, "handed-over", "");
	if (w->owner_fence == node->fence)
		w->owner_fence = 0;
	node->fence = 0;
	node->leaving = false;
	drop_sched(node);
}

static void on_save_answer(world_t *w, void *arg)
{
	save_t *save = arg;
	node_t *node = save->node;

	if (node->alive && w->now_ms < node->paused_until_ms) {
		at(w, node->paused_until_ms - w->now_ms, on_save_answer, save);
		return;
	}
	if (node->life == save->life && node->alive && node->sched) {
		node->save_out = false;
		node->saving = 0;
		if (!save->lost && save->superseded)
			order_superseded(node);
		else if (!save->lost)
			node->state_rev = save->revision;
		if (!save->lost && save->executed) {
			node->saving = save->version;
			bw_sched_saved(node->sched, w->now_ms, save->version);
			if (save->final)
				hand_over(w, node);
		}
		if (node->sched)
			run_node(w, node);
	}
	save_free(save);
}

static void execute_save(world_t *w, save_t *save)
{
	save->superseded = w->owner_fence != save->fence;
	if (!save->superseded && w->state_rev == save->expected_rev) {
		w->state_rev = ++w->rev;
		if (w->state)
			g_bytes_unref(w->state);
		w->state = g_bytes_ref(save->data);
		save->executed = true;
	}
	save->revision = w->state_rev;
}

static void on_save(world_t *w, void *arg)
{
	save_t *save = arg;

	if (w->store_down || save->node->store_cut) {
		save->lost = true;
		at(w, CALL_TIMEOUT_MS, on_save_answer, save);
		return;
	}
	execute_save(w, save);
	save->lost = w->now_ms < w->config.traffic_ms &&
		     chance(w, w->config.lost_share);
	at(w, save->lost ? CALL_TIMEOUT_MS : 3, on_save_answer, save);
}

static void save_node(world_t *w, node_t *node)
{
	save_t *save;
	uint8_t *data;
	size_t bytes;

	if (node->save_out || node->fence == 0 ||
	    node->saving == bw_sched_version(node->sched) ||
	    (!node->leaving && w->now_ms - node->saved_at_ms < SAVE_GAP_MS))
		return;
	data = bw_sched_pack(node->sched, w->now_ms, &bytes);
	save = g_new0(save_t, 1);
	save->node = node;
	save->life = node->life;
	save->fence = node->fence;
	save->expected_rev = node->state_rev;
	save->version = bw_sched_version(node->sched);
	save->final = node->leaving;
	save->data = g_bytes_new_take(data, bytes);
	node->save_out = true;
	node->saved_at_ms = w->now_ms;
	at(w, between(w, 1, 4), on_save, save);
}

/* Nodes. */

static void run_node(world_t *w, node_t *node)
{
	guint i;

	if (!node->sched || !node_works(w, node) || node->fence == 0)
		return;
	for (i = 0; i < w->workers->len; i++) {
		const fake_worker_t *worker = g_ptr_array_index(w->workers, i);

		bw_sched_worker_empty(node->sched, worker->id, worker->wanted);
	}
	if (!node->leaving)
		bw_sched_allow(node->sched, w->now_ms < node->lease_until_ms ||
						    w->store_down);
	bw_sched_run(node->sched, w->now_ms, w->now_ms);
	if (node->sched && node->fence != 0)
		save_node(w, node);
}

static void give_job(world_t *w, node_t *node, const fake_job_t *job)
{
	size_t bytes;
	uint8_t *data = bw_job_record_pack(&job->record, &bytes);
	bw_job_record_t copy;

	if (bw_job_record_unpack(data, bytes, &copy) == BW_OK) {
		bw_sched_job(node->sched, w->now_ms, w->now_ms, job->id, &copy);
		bw_job_record_clear(&copy);
	} else {
		breach(w, "a record can't be read back");
	}
	g_free(data);
	if (job->cancelled_ms > 0)
		bw_sched_cancel(node->sched, w->now_ms, job->id);
}

static void feed_jobs(world_t *w, node_t *node)
{
	guint i;

	for (i = 0; i < w->jobs->len; i++) {
		const fake_job_t *job = g_ptr_array_index(w->jobs, i);

		/* A reading may be old and still show what is removed. */
		if (job->removed_ms > 0 &&
		    w->now_ms - job->removed_ms >= STALE_MS)
			continue;
		if (job->stored_ms > 0 && job->stored_ms <= w->now_ms)
			give_job(w, node, job);
	}
}

static bool all_done(const fake_job_t *job);
static bool any_running(const fake_job_t *job);
static bool any_out_of_tries(const fake_job_t *job);

static void check_removed(world_t *w, const fake_job_t *job)
{
	if (job->cancelled_ms == 0 && !all_done(job) && !any_out_of_tries(job))
		breach(w, "job %s is removed unfinished", job->id);
	if (any_running(job))
		breach(w, "job %s is removed and runs", job->id);
}

/* Removes finished jobs from the store; the answer may be lost. */
static void remove_jobs(world_t *w, node_t *node)
{
	const char *ids[REMOVED_AT_ONCE];
	uint32_t count;
	uint32_t i;

	if (node->fence == 0 || node->fence != w->owner_fence)
		return;
	count = bw_sched_over(node->sched, w->now_ms, ids, REMOVED_AT_ONCE);
	for (i = 0; i < count; i++) {
		fake_job_t *job = find_job(w, ids[i]);

		check_removed(w, job);
		if (job->removed_ms == 0)
			job->removed_ms = w->now_ms;
		if (!chance(w, w->config.lost_share))
			bw_sched_removed(node->sched, w->now_ms, ids[i]);
	}
}

static void feed_workers(world_t *w, node_t *node)
{
	static const char *const labels[] = { "a", "r1" };
	guint i;

	for (i = 0; i < w->workers->len; i++) {
		fake_worker_t *worker = g_ptr_array_index(w->workers, i);
		bw_worker_info_t info = {
			.id = worker->id,
			.address = worker->name,
			.room = { 32000, 64000, 0 },
			.labels = labels,
			.label_count = 2,
			.rack = "r1",
			.machine = worker->name,
			.born_ms = worker->born_ms + 1000000,
		};

		if (worker->alive)
			worker->registered_until_ms = w->now_ms + 4500;
		if (w->now_ms < worker->registered_until_ms)
			bw_sched_worker_seen(node->sched, w->now_ms, &info);
		else
			bw_sched_worker_gone(node->sched, w->now_ms,
					     worker->id);
	}
}

static void on_directory(world_t *w, void *arg)
{
	node_t *node = arg;

	if (node->sched && node_works(w, node) && !w->store_down &&
	    !node->store_cut) {
		feed_workers(w, node);
		feed_jobs(w, node);
		remove_jobs(w, node);
		run_node(w, node);
	}
	if (w->now_ms < w->end_ms)
		at(w, DIRECTORY_MS, on_directory, node);
}

static void take_over(world_t *w, node_t *node)
{
	bw_sched_config_t config = {
		.grant_ms = GRANT_MS,
		.grant_ms_max = GRANT_MS,
		.outage_ms = OUTAGE_MS,
		.stop_ms = STOP_MS,
		.keep_ms = w->config.keep_ms,
		.removed_ms = STALE_MS + 1,
	};
	bw_queue_config_t queue = { "q", 0, ATTEMPTS, 1.6, 600, false };
	gsize bytes;
	const uint8_t *data;

	if (node->sched)
		drop_sched(node);
	w->owner_fence = (uint64_t)++w->rev;
	w->owner_node = node->index;
	w->owner_until_ms = w->now_ms + LEASE_MS;
	node->fence = w->owner_fence;
	node->lease_until_ms = w->owner_until_ms;
	node->saving = 0;
	node->saved_at_ms = 0;
	config.fence = node->fence;
	node->sched = bw_sched_create(&config, &sched_ops, node, w->now_ms);
	bw_sched_set_queue(node->sched, &queue);
	node->state_rev = w->state_rev;
	if (w->state) {
		data = g_bytes_get_data(w->state, &bytes);
		if (bw_sched_load(node->sched, w->now_ms, data, bytes) != BW_OK)
			breach(w, "the state can't be read back");
	}
	feed_jobs(w, node);
	feed_workers(w, node);
	run_node(w, node);
	trace(w, "takeover",
	      node->index == 0	 ? "0"
	      : node->index == 1 ? "1"
				 : "2");
}

static void renew_lease(world_t *w)
{
	node_t *owner = &w->nodes[w->owner_node];

	if (w->owner_fence == 0 || owner->fence != w->owner_fence ||
	    !node_works(w, owner) || owner->store_cut || w->store_down)
		return;
	w->owner_until_ms = w->now_ms + LEASE_MS;
	owner->lease_until_ms = w->owner_until_ms;
}

static void elect(world_t *w)
{
	uint32_t start = (uint32_t)between(w, 0, NODES - 1);
	uint32_t i;

	if (w->store_down)
		return;
	if (w->owner_fence != 0 && w->now_ms >= w->owner_until_ms)
		w->owner_fence = 0;
	if (w->owner_fence != 0 || chance(w, 0.5))
		return;
	for (i = 0; i < NODES; i++) {
		node_t *node = &w->nodes[(start + i) % NODES];

		if (!node_works(w, node) || node->store_cut)
			continue;
		take_over(w, node);
		return;
	}
}

/* A new owner may hear that the earlier one has stopped. */
static void tell_stopped(world_t *w)
{
	uint32_t i;

	if (w->owner_fence == 0 || !chance(w, 0.2))
		return;
	for (i = 0; i < NODES; i++)
		if (i != w->owner_node && w->nodes[i].sched)
			return;
	if (w->nodes[w->owner_node].sched)
		bw_sched_predecessor_stopped(w->nodes[w->owner_node].sched,
					     w->now_ms);
}

static void on_tick(world_t *w, void *arg)
{
	uint32_t i;

	renew_lease(w);
	elect(w);
	tell_stopped(w);
	for (i = 0; i < NODES; i++)
		run_node(w, &w->nodes[i]);
	if (w->now_ms < w->end_ms)
		at(w, TICK_MS, on_tick, arg);
}

/* Faults. */

static void birth(world_t *w, uint32_t machine)
{
	fake_worker_t *worker = g_new0(fake_worker_t, 1);

	worker->machine = machine;
	worker->alive = true;
	worker->born_ms = w->now_ms;
	worker->rate = 0.98 + 0.02 * g_rand_double(w->rand);
	g_snprintf(worker->id, sizeof(worker->id), "w%u-%u", machine,
		   w->births++);
	g_snprintf(worker->name, sizeof(worker->name), "m%u", machine);
	worker->runs = g_array_new(FALSE, TRUE, sizeof(run_t));
	worker->ends = g_array_new(FALSE, TRUE, sizeof(fake_end_t));
	worker->highest =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_ptr_array_add(w->workers, worker);
}

static fake_worker_t *live_worker(world_t *w)
{
	guint start = (guint)between(w, 0, (int64_t)w->workers->len - 1);
	guint i;

	for (i = 0; i < w->workers->len; i++) {
		fake_worker_t *worker = g_ptr_array_index(
			w->workers, (start + i) % w->workers->len);

		if (worker->alive)
			return worker;
	}
	return NULL;
}

static void on_rebirth(world_t *w, void *arg)
{
	birth(w, GPOINTER_TO_UINT(arg));
}

static void crash_worker(world_t *w)
{
	fake_worker_t *worker = live_worker(w);
	guint i;

	if (!worker)
		return;
	trace(w, "crash", worker->id);
	worker->alive = false;
	worker->dark = chance(w, 0.5);
	for (i = 0; i < worker->runs->len; i++) {
		const run_t *run = &g_array_index(worker->runs, run_t, i);

		find_truth(find_job(w, run->task.job), &run->task)->running--;
	}
	g_array_set_size(worker->runs, 0);
	at(w, between(w, 500, 8000), on_rebirth,
	   GUINT_TO_POINTER(worker->machine));
}

static void on_heal_worker(world_t *w, void *arg)
{
	fake_worker_t *worker = arg;

	(void)w;
	memset(worker->cut, 0, sizeof(worker->cut));
	worker->bad = false;
	worker->wanted = false;
}

static void cut_worker(world_t *w)
{
	fake_worker_t *worker = live_worker(w);
	uint32_t i;

	if (!worker)
		return;
	trace(w, "cut", worker->id);
	for (i = 0; i < NODES; i++)
		worker->cut[i] = chance(w, 0.7);
	at(w, between(w, 500, 9000), on_heal_worker, worker);
}

static void empty_worker(world_t *w)
{
	fake_worker_t *worker = live_worker(w);

	if (!worker)
		return;
	trace(w, "empty", worker->id);
	worker->wanted = true;
	at(w, between(w, 2000, 9000), on_heal_worker, worker);
}

static void spoil_worker(world_t *w)
{
	fake_worker_t *worker = live_worker(w);

	if (!worker)
		return;
	worker->bad = true;
	at(w, between(w, 500, 5000), on_heal_worker, worker);
}

static void on_restart(world_t *w, void *arg)
{
	((node_t *)arg)->alive = true;
	(void)w;
}

static void kill_node(world_t *w, node_t *node)
{
	if (!node->alive)
		return;
	trace(w, "kill", node->index == w->owner_node ? "owner" : "other");
	node->alive = false;
	if (node->sched)
		drop_sched(node);
	node->fence = 0;
	at(w, between(w, 300, 3000), on_restart, node);
}

static void on_heal_node(world_t *w, void *arg)
{
	(void)w;
	((node_t *)arg)->store_cut = false;
}

static void on_store_up(world_t *w, void *arg)
{
	(void)arg;
	w->store_down = false;
	trace(w, "store", "up");
}

static void on_fault(world_t *w, void *arg)
{
	node_t *owner = &w->nodes[w->owner_node];
	uint32_t i;

	(void)arg;
	switch (between(w, 0, 14)) {
	case 0:
	case 1:
		kill_node(w, owner);
		break;
	case 2:
		owner->paused_until_ms = w->now_ms + between(w, 300, 6000);
		trace(w, "pause", "owner");
		break;
	case 3:
		owner->store_cut = true;
		trace(w, "cut-store", "owner");
		at(w, between(w, 500, 7000), on_heal_node, owner);
		break;
	case 4:
		w->store_down = true;
		trace(w, "store", "down");
		at(w, between(w, 300, 5000), on_store_up, NULL);
		break;
	case 5:
		w->owner_fence = 0;
		trace(w, "revoke", "");
		break;
	case 6:
		for (i = 0; i < NODES; i++)
			kill_node(w, &w->nodes[i]);
		break;
	case 7:
		spoil_worker(w);
		break;
	case 8:
		cut_worker(w);
		break;
	case 12:
	case 13:
		empty_worker(w);
		empty_worker(w);
		break;
	case 9:
	case 10:
		if (!owner->sched || owner->fence == 0 || owner->leaving)
			break;
		trace(w, "leave", "owner");
		owner->leaving = true;
		bw_sched_leave(owner->sched);
		run_node(w, owner);
		break;
	default:
		crash_worker(w);
		break;
	}
}

/* Jobs. */

static bw_job_spec_t *draw_spec(world_t *w)
{
	uint32_t steps = (uint32_t)between(w, 1, 3);
	bw_job_spec_t *spec = bw_job_spec_new(steps);
	bool lasting = w->lasting < LASTING_MAX && chance(w, 0.1);
	uint32_t i;

	spec->text = g_strdup("text");
	for (i = 0; i < steps; i++) {
		bw_step_spec_t *step = &spec->steps[i];

		step->count = (uint32_t)between(w, 1, 8);
		step->need.cpu_millis = between(w, 500, 9000);
		step->need.mem_mb = between(w, 100, 5000);
		step->estimate_ms = (uint32_t)between(w, 100, 3000);
		step->lasting = lasting;
		if (lasting)
			step->need.cpu_millis = between(w, 500, 3000);
		step->away_max = 1;
		step->per_worker_max = chance(w, 0.2) ? 2 : 0;
		if (i > 0 && !lasting) {
			step->after = g_new(uint32_t, 1);
			step->after[0] = i - 1;
			step->after_count = 1;
		}
	}
	w->lasting += lasting;
	return spec;
}

static void on_cancel(world_t *w, void *arg)
{
	fake_job_t *job = arg;
	node_t *owner = &w->nodes[w->owner_node];

	if (job->removed_ms > 0)
		return;
	job->cancelled_ms = w->now_ms;
	if (owner->sched && node_works(w, owner) && !owner->store_cut &&
	    !w->store_down) {
		bw_sched_cancel(owner->sched, w->now_ms, job->id);
		run_node(w, owner);
	}
}

static void on_job(world_t *w, void *arg)
{
	fake_job_t *job = arg;
	node_t *owner = &w->nodes[w->owner_node];

	job->stored_ms = w->now_ms;
	job->record.accepted_ms = w->now_ms;
	if (chance(w, 0.1))
		at(w, between(w, 5, 4000), on_cancel, job);
	if (owner->sched && owner->fence == w->owner_fence &&
	    node_works(w, owner) && !owner->store_cut && !w->store_down) {
		give_job(w, owner, job);
		run_node(w, owner);
	}
}

static bool all_done(const fake_job_t *job)
{
	uint32_t i;

	for (i = 0; i < bw_job_spec_tasks(job->record.spec); i++)
		if (!job->tasks[i].done)
			return false;
	return true;
}

static bool all_running(const fake_job_t *job)
{
	uint32_t i;

	for (i = 0; i < bw_job_spec_tasks(job->record.spec); i++)
		if (job->tasks[i].running != 1)
			return false;
	return true;
}

static bool any_running(const fake_job_t *job)
{
	uint32_t i;

	for (i = 0; i < bw_job_spec_tasks(job->record.spec); i++)
		if (job->tasks[i].running > 0)
			return true;
	return false;
}

static bool any_out_of_tries(const fake_job_t *job)
{
	uint32_t i;

	for (i = 0; i < bw_job_spec_tasks(job->record.spec); i++)
		if (job->tasks[i].failed >= ATTEMPTS)
			return true;
	return false;
}

/* A shown state is never ahead of the truth. */
static void check_shown(world_t *w, fake_job_t *job, bw_job_state_t state)
{
	if (job->removed_ms > 0 && state == BW_JOB_UNKNOWN)
		return;
	if (job->shown && state != BW_JOB_COMPLETED)
		breach(w, "job %s was completed and is %s", job->id,
		       bw_job_state_name(state));
	if (job->shown_cancelled && state != BW_JOB_CANCELLED)
		breach(w, "job %s was cancelled and is %s", job->id,
		       bw_job_state_name(state));
	job->shown |= state == BW_JOB_COMPLETED;
	job->shown_cancelled |= state == BW_JOB_CANCELLED;
	if (state == BW_JOB_COMPLETED && !all_done(job))
		breach(w, "job %s is shown as completed too early", job->id);
	if (state == BW_JOB_CANCELLED && job->cancelled_ms == 0)
		breach(w, "job %s is shown as cancelled", job->id);
	if (state == BW_JOB_FAILED && !any_out_of_tries(job))
		breach(w, "job %s is shown as failed without cause", job->id);
}

static void on_look(world_t *w, void *arg)
{
	node_t *owner = &w->nodes[w->owner_node];
	guint i;

	if (owner->fence == 0 || owner->fence != w->owner_fence)
		owner = NULL;
	for (i = 0; owner && owner->sched && i < w->jobs->len; i++) {
		fake_job_t *job = g_ptr_array_index(w->jobs, i);

		check_shown(w, job, bw_sched_job_state(owner->sched, job->id));
	}
	if (w->now_ms < w->end_ms)
		at(w, LOOK_MS, on_look, arg);
}

static void check_end(world_t *w)
{
	node_t *owner = &w->nodes[w->owner_node];
	guint i;

	if (!owner->sched) {
		breach(w, "the pool has no owner at the end");
		return;
	}
	for (i = 0; i < w->jobs->len; i++) {
		fake_job_t *job = g_ptr_array_index(w->jobs, i);
		bw_job_state_t state =
			bw_sched_job_state(owner->sched, job->id);

		if (job->cancelled_ms > 0) {
			if (any_running(job))
				breach(w, "job %s runs though cancelled",
				       job->id);
		} else if (job->record.spec->steps[0].lasting) {
			if (!all_running(job))
				breach(w, "job %s does not run whole", job->id);
		} else if (job->removed_ms > 0) {
			w->result->completed += all_done(job);
		} else if (state == BW_JOB_COMPLETED) {
			w->result->completed++;
		} else if (state != BW_JOB_FAILED) {
			breach(w, "job %s is %s at the end", job->id,
			       bw_job_state_name(state));
		}
	}
}

static void draw_jobs(world_t *w)
{
	uint32_t i;

	for (i = 0; i < w->config.jobs; i++) {
		fake_job_t *job = g_new0(fake_job_t, 1);

		g_snprintf(job->id, sizeof(job->id), "%016x", i + 1);
		job->record.queue = g_strdup("q");
		job->record.spec = draw_spec(w);
		job->poison =
			!job->record.spec->steps[0].lasting && chance(w, 0.05);
		job->tasks =
			g_new0(truth_t, bw_job_spec_tasks(job->record.spec));
		g_ptr_array_add(w->jobs, job);
		at(w, between(w, 100, w->config.traffic_ms), on_job, job);
	}
}

static void job_free(gpointer data)
{
	fake_job_t *job = data;

	bw_job_record_clear(&job->record);
	g_free(job->tasks);
	g_free(job);
}

static void worker_free(gpointer data)
{
	fake_worker_t *worker = data;

	g_array_free(worker->runs, TRUE);
	g_array_free(worker->ends, TRUE);
	g_hash_table_destroy(worker->highest);
	g_free(worker);
}

static void world_init(world_t *w)
{
	uint32_t i;

	w->rand = g_rand_new_with_seed(w->config.seed);
	w->events = g_sequence_new(NULL);
	w->workers = g_ptr_array_new_with_free_func(worker_free);
	w->jobs = g_ptr_array_new_with_free_func(job_free);
	w->now_ms = 1;
	w->end_ms = w->config.traffic_ms + w->config.settle_ms;
	for (i = 0; i < NODES; i++) {
		w->nodes[i].w = w;
		w->nodes[i].index = i;
		w->nodes[i].alive = true;
		at(w, between(w, 1, DIRECTORY_MS), on_directory, &w->nodes[i]);
	}
	for (i = 0; i < WORKERS; i++)
		birth(w, i);
	draw_jobs(w);
	for (i = 0; i < w->config.faults; i++)
		at(w, between(w, 100, w->config.traffic_ms), on_fault, NULL);
	at(w, 1, on_tick, NULL);
	at(w, 1, on_look, NULL);
}

/* Calls and saves that are still on their way belong to their event. */
static void event_free(event_t *event)
{
	if (event->fn == on_call || event->fn == on_answer ||
	    event->fn == on_late_call)
		call_free(event->arg);
	if (event->fn == on_save || event->fn == on_save_answer)
		save_free(event->arg);
	g_free(event);
}

static void clear_events(world_t *w)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(w->events);

	for (; !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter))
		event_free(g_sequence_get(iter));
	g_sequence_free(w->events);
}

static void world_clear(world_t *w)
{
	uint32_t i;

	for (i = 0; i < NODES; i++)
		if (w->nodes[i].sched)
			drop_sched(&w->nodes[i]);
	if (w->state)
		g_bytes_unref(w->state);
	clear_events(w);
	g_ptr_array_free(w->workers, TRUE);
	g_ptr_array_free(w->jobs, TRUE);
	g_rand_free(w->rand);
}

void world_draw(uint32_t seed, world_config_t *out)
{
	GRand *rand = g_rand_new_with_seed(seed ^ 0x5eed);

	*out = (world_config_t){
		.seed = seed,
		.jobs = (uint32_t)g_rand_int_range(rand, 10, 80),
		.traffic_ms = g_rand_int_range(rand, 5000, 25000),
		.settle_ms = STRANDED_MS + 20000,
		.lost_share = 0.1 * g_rand_double(rand),
		.late_share = g_rand_double(rand),
		.faults = (uint32_t)g_rand_int_range(rand, 0, 9),
		.keep_ms = g_rand_int_range(rand, 0, 3000),
	};
	g_rand_free(rand);
}

void world_play(const world_config_t *config, world_result_t *out)
{
	world_t w = { .config = *config, .result = out };

	memset(out, 0, sizeof(*out));
	world_init(&w);
	while (g_sequence_get_length(w.events) > 0) {
		GSequenceIter *first = g_sequence_get_begin_iter(w.events);
		event_t *event = g_sequence_get(first);

		g_sequence_remove(first);
		w.now_ms = MAX(w.now_ms, event->at_ms);
		if (w.now_ms > w.end_ms + LATE_MAX_MS) {
			event_free(event);
			break;
		}
		if (w.now_ms > w.end_ms && event->fn == on_tick) {
			g_free(event);
			check_end(&w);
			break;
		}
		event->fn(&w, event->arg);
		out->events++;
		g_free(event);
	}
	world_clear(&w);
}
