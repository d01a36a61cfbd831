#include "fleet/service.h"

#include <string.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "base/event.h"
#include "base/metrics.h"
#include "fleet/pool.h"

/** An answer leaves this long before the caller's patience ends. */
#define ANSWER_MARGIN_MS 250
/** A call to the store is not begun with less time left. */
#define STORE_CALL_MS 100
/** Callers come back after this when the store does not answer. */
#define OUTAGE_RETRY_S 2
#define SOON_RETRY_S   1
/** Pause before a call to the store is repeated. */
#define REPEAT_S 0.08

/** Why a request was not served. */
typedef enum reason {
	REASON_NONE,
	REASON_NO_CONFIGURATION,
	REASON_NO_QUEUE,
	REASON_BAD_ID,
	REASON_STORE_OUT_OF_REACH,
	REASON_STORE_REFUSED,
	REASON_STORE_SILENT,
	REASON_OWNER_OUT_OF_REACH,
	REASON_NO_JOB,
	REASON_COUNT
} reason_t;

static const char *const reasons[REASON_COUNT] = {
	[REASON_NONE] = "none",
	[REASON_NO_CONFIGURATION] = "no configuration yet",
	[REASON_NO_QUEUE] = "no such queue",
	[REASON_BAD_ID] = "not a job's identifier",
	[REASON_STORE_OUT_OF_REACH] = "store out of reach",
	[REASON_STORE_REFUSED] = "store refused",
	[REASON_STORE_SILENT] = "store did not answer",
	[REASON_OWNER_OUT_OF_REACH] = "owner out of reach",
	[REASON_NO_JOB] = "no such job",
};

struct bw_service {
	struct ev_loop *loop;
	char *node;
	bw_store_t store;
	bw_inquiry_t *inquiry;
	bw_service_ops_t ops;
	void *ctx;
	const bw_fleet_config_t *config;
	GHashTable *former; /**< Queue to the pools it had before. */
};

/** A request in progress. */
typedef struct task {
	bw_service_t *s;
	bw_request_kind_t kind;
	char *queue;
	char *pool;
	char id[BW_JOB_ID_CHARS + 1];
	int64_t since_ms;
	int64_t until_ms;
	uint8_t *record;
	size_t record_bytes;
	bool in_doubt; /**< A write has no answer. */
	uint32_t attempts;
	ev_timer timer;
	void (*next)(struct task *task); /**< Called by the timer. */
	bw_answer_fn done;
	void *ctx;
} task_t;

static void submit(task_t *task);
static void on_submitted(void *ctx, const bw_store_reply_t *reply);
static void ask_state(task_t *task);
static void on_state(void *ctx, const bw_inquiry_answer_t *answer);
static void look_up(task_t *task);
static void on_looked_up(void *ctx, const bw_store_reply_t *reply);
static void cancel(task_t *task);
static void on_cancelled(void *ctx, const bw_store_reply_t *reply);
static void on_waiting(void *ctx, const bw_inquiry_answer_t *answer);
static void finish(task_t *task, const bw_answer_t *answer);
static void finish_kind(task_t *task, bw_answer_kind_t kind, reason_t reason);

static const char *const answer_names[BW_ANSWER_KIND_COUNT] = {
	[BW_ANSWER_DONE] = "done",	   [BW_ANSWER_STATE] = "state",
	[BW_ANSWER_WAITING] = "waiting",   [BW_ANSWER_REFUSED] = "refused",
	[BW_ANSWER_UNKNOWN] = "unknown",   [BW_ANSWER_NO_JOB] = "no-job",
	[BW_ANSWER_NO_QUEUE] = "no-queue", [BW_ANSWER_BAD] = "bad",
};

static const char *const request_names[BW_REQUEST_KIND_COUNT] = {
	[BW_REQUEST_SUBMIT] = "submit",
	[BW_REQUEST_STATE] = "state",
	[BW_REQUEST_CANCEL] = "cancel",
	[BW_REQUEST_QUEUE] = "queue",
};

static void define_metrics(void)
{
	const bw_family_labels_t requests = {
		"kind",	  request_names, BW_REQUEST_KIND_COUNT,
		"answer", answer_names,	 BW_ANSWER_KIND_COUNT,
	};
	const bw_family_labels_t refusals = {
		"reason", reasons, REASON_COUNT, NULL, NULL, 0,
	};
	const bw_family_labels_t retries = {
		"kind", request_names, BW_REQUEST_KIND_COUNT, NULL, NULL, 0,
	};

	bw_metrics_define(BW_MC_REQUESTS, &requests);
	bw_metrics_define(BW_MC_REFUSALS, &refusals);
	bw_metrics_define(BW_MC_RETRIES, &retries);
}

bw_service_t *bw_service_create(struct ev_loop *loop, const char *node,
				const bw_store_t *store, bw_inquiry_t *inquiry,
				const bw_service_ops_t *ops, void *ctx)
{
	bw_service_t *s = g_new0(bw_service_t, 1);

	define_metrics();
	s->loop = loop;
	s->node = g_strdup(node);
	s->store = *store;
	s->inquiry = inquiry;
	s->ops = *ops;
	s->ctx = ctx;
	s->former = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  (GDestroyNotify)g_ptr_array_unref);
	return s;
}

void bw_service_destroy(bw_service_t *s)
{
	if (!s)
		return;
	g_hash_table_destroy(s->former);
	g_free(s->node);
	g_free(s);
}

static const bw_queue_t *queue_named(const bw_fleet_config_t *config,
				     const char *name)
{
	uint32_t i;

	for (i = 0; config && i < config->queue_count; i++)
		if (!strcmp(config->queues[i].name, name))
			return &config->queues[i];
	return NULL;
}

/* Jobs of a queue stay in the pool that it had when they were accepted. */
static void remember_pool(bw_service_t *s, const bw_queue_t *before)
{
	GPtrArray *pools = g_hash_table_lookup(s->former, before->name);

	if (!pools) {
		pools = g_ptr_array_new_with_free_func(g_free);
		g_hash_table_insert(s->former, g_strdup(before->name), pools);
	}
	if (!g_ptr_array_find_with_equal_func(pools, before->pool, g_str_equal,
					      NULL))
		g_ptr_array_add(pools, g_strdup(before->pool));
}

void bw_service_configure(bw_service_t *s, const bw_fleet_config_t *config)
{
	uint32_t i;

	for (i = 0; s->config && i < s->config->queue_count; i++) {
		const bw_queue_t *before = &s->config->queues[i];
		const bw_queue_t *now = queue_named(config, before->name);

		if (now && strcmp(now->pool, before->pool) != 0)
			remember_pool(s, before);
	}
	s->config = config;
}

static bool host_matches(const char *wanted, const char *host)
{
	size_t length;

	if (!wanted)
		return true;
	if (!host)
		return false;
	length = strcspn(host, ":");
	return strlen(wanted) == length &&
	       !g_ascii_strncasecmp(wanted, host, length);
}

const bw_queue_t *bw_fleet_find_queue(const bw_fleet_config_t *config,
				      const char *host, const char *path)
{
	const bw_queue_t *best = NULL;
	uint32_t i;

	for (i = 0; i < config->queue_count; i++) {
		const bw_queue_t *queue = &config->queues[i];

		if (!host_matches(queue->host, host) ||
		    !g_str_has_prefix(path, queue->prefix))
			continue;
		if (!best || strlen(queue->prefix) > strlen(best->prefix))
			best = queue;
	}
	return best;
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	task_t *task = timer->data;

	(void)loop;
	(void)revents;
	task->next(task);
}

/* Repeats a step after a pause. */
static void later(task_t *task, void (*next)(task_t *task))
{
	bw_metrics_count(BW_MC_RETRIES, task->kind, 0);
	task->next = next;
	ev_timer_init(&task->timer, on_timer, REPEAT_S, 0.0);
	task->timer.data = task;
	ev_timer_start(task->s->loop, &task->timer);
}

static void task_free(task_t *task)
{
	g_free(task->queue);
	g_free(task->pool);
	g_free(task->record);
	g_free(task);
}

static void finish(task_t *task, const bw_answer_t *answer)
{
	bw_event("service", "request",
		 "kind=%s job=%s queue=%s pool=%s answer=%s state=%s "
		 "reason=\"%s\" attempts=%u took_ms=%" G_GINT64_FORMAT,
		 request_names[task->kind], task->id[0] ? task->id : "-",
		 task->queue, task->pool, answer_names[answer->kind],
		 bw_job_state_name(answer->state),
		 answer->reason ? answer->reason : "", task->attempts,
		 bw_clock_now_ms() - task->since_ms);
	bw_metrics_count(BW_MC_REQUESTS, task->kind, answer->kind);
	if (task->kind == BW_REQUEST_SUBMIT)
		bw_metrics_observe(BW_MH_SUBMIT,
				   bw_clock_now_ms() - task->since_ms);
	if (task->kind == BW_REQUEST_STATE)
		bw_metrics_observe(BW_MH_STATE,
				   bw_clock_now_ms() - task->since_ms);
	task->done(task->ctx, answer);
	task_free(task);
}

static const char *reason_text(reason_t reason)
{
	return reason == REASON_NONE ? NULL : reasons[reason];
}

static void finish_kind(task_t *task, bw_answer_kind_t kind, reason_t reason)
{
	bw_answer_t answer = { .kind = kind, .reason = reason_text(reason) };

	if (reason != REASON_NONE)
		bw_metrics_count(BW_MC_REFUSALS, reason, 0);

	if (kind == BW_ANSWER_REFUSED)
		answer.retry_after_s = task->s->ops.store_good(task->s->ctx)
					       ? SOON_RETRY_S
					       : OUTAGE_RETRY_S;
	finish(task, &answer);
}

static void finish_state(task_t *task, bw_job_state_t state)
{
	bw_answer_t answer = { .kind = BW_ANSWER_STATE, .state = state };

	finish(task, &answer);
}

static void refuse(bw_answer_fn done, void *ctx, bw_answer_kind_t kind,
		   reason_t reason)
{
	bw_answer_t answer = { .kind = kind, .reason = reason_text(reason) };

	bw_metrics_count(BW_MC_REFUSALS, reason, 0);
	if (kind == BW_ANSWER_REFUSED)
		answer.retry_after_s = SOON_RETRY_S;
	bw_event("service", "request-refused", "answer=%s reason=\"%s\"",
		 answer_names[kind], reasons[reason]);
	done(ctx, &answer);
}

static task_t *task_new(bw_service_t *s, const bw_request_t *request,
			const bw_queue_t *queue, bw_answer_fn done, void *ctx)
{
	task_t *task = g_new0(task_t, 1);

	task->s = s;
	task->kind = request->kind;
	task->queue = g_strdup(queue->name);
	task->pool = g_strdup(queue->pool);
	task->since_ms = bw_clock_now_ms();
	task->until_ms =
		task->since_ms + request->patience_ms - ANSWER_MARGIN_MS;
	task->done = done;
	task->ctx = ctx;
	return task;
}

static void pack_record(task_t *task, bw_job_spec_t *spec)
{
	bw_job_record_t record = {
		.queue = task->queue,
		.accepted_ms = bw_clock_wall_ms(),
		.spec = spec,
	};

	task->record = bw_job_record_pack(&record, &task->record_bytes);
}

static void begin(task_t *task)
{
	static void (*const steps[BW_REQUEST_KIND_COUNT])(task_t *) = {
		[BW_REQUEST_SUBMIT] = submit,
		[BW_REQUEST_STATE] = ask_state,
		[BW_REQUEST_CANCEL] = look_up,
		[BW_REQUEST_QUEUE] = ask_state,
	};

	steps[task->kind](task);
}

void bw_service_serve(bw_service_t *s, const bw_request_t *request,
		      bw_answer_fn done, void *ctx)
{
	const bw_queue_t *queue;
	const char *id;
	task_t *task;

	if (!s->config) {
		refuse(done, ctx, BW_ANSWER_REFUSED, REASON_NO_CONFIGURATION);
		return;
	}
	queue = request->queue ? queue_named(s->config, request->queue)
			       : bw_fleet_find_queue(s->config, request->host,
						     request->path);
	if (!queue) {
		refuse(done, ctx, BW_ANSWER_NO_QUEUE, REASON_NO_QUEUE);
		return;
	}
	id = request->path;
	if (!request->queue)
		id += strlen(queue->prefix);
	if (request->kind != BW_REQUEST_QUEUE && !bw_job_id_valid(id)) {
		refuse(done, ctx,
		       request->kind == BW_REQUEST_SUBMIT ? BW_ANSWER_BAD
							  : BW_ANSWER_NO_JOB,
		       REASON_BAD_ID);
		return;
	}
	task = task_new(s, request, queue, done, ctx);
	if (request->kind != BW_REQUEST_QUEUE)
		g_strlcpy(task->id, id, sizeof(task->id));
	if (request->kind == BW_REQUEST_SUBMIT)
		pack_record(task, request->spec);
	begin(task);
}

/* Writes the job if its key is absent, in this and in former pools. */
static void submit(task_t *task)
{
	bw_service_t *s = task->s;
	GPtrArray *former = g_hash_table_lookup(s->former, task->queue);
	guint count = former ? former->len : 0;
	bw_store_expect_t *expects = g_new0(bw_store_expect_t, count + 1);
	char *key = bw_pool_job_key(task->pool, task->id);
	bw_store_write_t write = { key, (const char *)task->record,
				   task->record_bytes, 0 };
	bw_store_txn_t txn = { expects, count + 1, &write, 1 };
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	guint i;

	if (!s->ops.store_good(s->ctx) && !task->in_doubt) {
		finish_kind(task, BW_ANSWER_REFUSED, REASON_STORE_OUT_OF_REACH);
	} else {
		expects[0].key = key;
		for (i = 0; i < count; i++) {
			g_ptr_array_add(
				keys,
				bw_pool_job_key(g_ptr_array_index(former, i),
						task->id));
			expects[i + 1].key = g_ptr_array_index(keys, i);
		}
		task->attempts++;
		s->store.ops->txn(s->store.impl, &txn, on_submitted, task);
	}
	g_ptr_array_free(keys, TRUE);
	g_free(key);
	g_free(expects);
}

static void on_submitted(void *ctx, const bw_store_reply_t *reply)
{
	task_t *task = ctx;
	bw_service_t *s = task->s;

	s->ops.result(s->ctx, reply->status);
	if (reply->status == BW_OK) {
		if (reply->succeeded)
			s->ops.stored(s->ctx, task->pool, task->id,
				      task->record, task->record_bytes);
		/* A failed condition means that the job is there already. */
		finish_kind(task, BW_ANSWER_DONE, REASON_NONE);
		return;
	}
	if (reply->status == BW_ELOST)
		task->in_doubt = true;
	if (!task->in_doubt) {
		finish_kind(task, BW_ANSWER_REFUSED, REASON_STORE_REFUSED);
		return;
	}
	if (bw_clock_now_ms() + STORE_CALL_MS >= task->until_ms) {
		finish_kind(task, BW_ANSWER_UNKNOWN, REASON_STORE_SILENT);
		return;
	}
	later(task, submit);
}

static void ask_state(task_t *task)
{
	bw_service_t *s = task->s;
	bw_inquiry_fn done =
		task->kind == BW_REQUEST_QUEUE ? on_waiting : on_state;
	const char *job = task->kind == BW_REQUEST_QUEUE ? NULL : task->id;
	const char *queue = job ? NULL : task->queue;
	const char *owner = s->ops.owner(s->ctx, task->pool);
	bw_inquiry_answer_t answer = { 0 };

	if (!owner) {
		done(task, NULL);
	} else if (!strcmp(owner, s->node)) {
		s->ops.local(s->ctx, task->pool, job, queue, &answer);
		done(task, &answer);
	} else {
		bw_inquiry_ask(s->inquiry, owner, task->pool, job, queue, done,
			       task);
	}
}

static void on_waiting(void *ctx, const bw_inquiry_answer_t *answer)
{
	task_t *task = ctx;
	bw_answer_t out = { .kind = BW_ANSWER_WAITING };

	if (!answer || !answer->owner) {
		finish_kind(task, BW_ANSWER_REFUSED, REASON_OWNER_OUT_OF_REACH);
		return;
	}
	out.waiting = answer->waiting;
	finish(task, &out);
}

static void on_state(void *ctx, const bw_inquiry_answer_t *answer)
{
	task_t *task = ctx;

	if (answer && answer->owner && answer->state != BW_JOB_UNKNOWN)
		finish_state(task, answer->state);
	else
		look_up(task);
}

/* Reads whether a job is stored. */
static void look_up(task_t *task)
{
	char *key = bw_pool_job_key(task->pool, task->id);

	task->attempts++;
	task->s->store.ops->get(task->s->store.impl, key, on_looked_up, task);
	g_free(key);
}

/* Tries the next pool that the queue had before; false if there is none. */
static bool look_in_former_pool(task_t *task)
{
	GPtrArray *former = g_hash_table_lookup(task->s->former, task->queue);
	guint i;

	if (!former)
		return false;
	for (i = 0; i < former->len; i++) {
		const char *pool = g_ptr_array_index(former, i);

		if (!strcmp(pool, task->pool) || task->attempts > former->len)
			continue;
		g_free(task->pool);
		task->pool = g_strdup(pool);
		begin(task);
		return true;
	}
	return false;
}

static void on_looked_up(void *ctx, const bw_store_reply_t *reply)
{
	task_t *task = ctx;
	bw_service_t *s = task->s;

	s->ops.result(s->ctx, reply->status);
	if (reply->status == BW_ENOTFOUND) {
		if (!look_in_former_pool(task))
			finish_kind(task, BW_ANSWER_NO_JOB, REASON_NO_JOB);
		return;
	}
	if (reply->status == BW_OK) {
		if (task->kind == BW_REQUEST_CANCEL)
			cancel(task);
		else
			finish_state(task, BW_JOB_QUEUED);
		return;
	}
	if (bw_clock_now_ms() + STORE_CALL_MS < task->until_ms &&
	    s->ops.store_good(s->ctx))
		later(task, look_up);
	else
		/* Nothing was changed, so there is nothing in doubt. */
		finish_kind(task, BW_ANSWER_REFUSED, REASON_STORE_SILENT);
}

static void cancel(task_t *task)
{
	char *key = bw_pool_cancel_key(task->pool, task->id);
	bw_store_write_t write = { key, "1", 1, 0 };
	bw_store_txn_t txn = { NULL, 0, &write, 1 };

	task->attempts++;
	task->s->store.ops->txn(task->s->store.impl, &txn, on_cancelled, task);
	g_free(key);
}

static void on_cancelled(void *ctx, const bw_store_reply_t *reply)
{
	task_t *task = ctx;
	bw_service_t *s = task->s;

	s->ops.result(s->ctx, reply->status);
	if (reply->status == BW_OK) {
		s->ops.stored(s->ctx, task->pool, task->id, NULL, 0);
		finish_kind(task, BW_ANSWER_DONE, REASON_NONE);
		return;
	}
	if (bw_clock_now_ms() + STORE_CALL_MS < task->until_ms)
		later(task, cancel);
	else
		finish_kind(task, BW_ANSWER_UNKNOWN, REASON_STORE_SILENT);
}
