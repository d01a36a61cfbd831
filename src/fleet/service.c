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
	bw_fleet_peers_t *inquiry;
	bw_service_ops_t ops;
	void *ctx;
	const bw_fleet_config_t *config;
	GHashTable *former; /**< Queue to the pools it had before. */
};

/** A request in progress. */
typedef struct serving {
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
	void (*next)(struct serving *serving); /**< Called by the timer. */
	bw_answer_fn done;
	void *ctx;
} serving_t;

static void submit(serving_t *serving);
static void on_submitted(void *ctx, const bw_store_reply_t *reply);
static void ask_state(serving_t *serving);
static void on_state(void *ctx, const bw_fleet_query_answer_t *answer);
static void look_up(serving_t *serving);
static void on_looked_up(void *ctx, const bw_store_reply_t *reply);
static void cancel(serving_t *serving);
static void on_cancelled(void *ctx, const bw_store_reply_t *reply);
static void on_waiting(void *ctx, const bw_fleet_query_answer_t *answer);
static void finish(serving_t *serving, const bw_answer_t *answer);
static void finish_kind(serving_t *serving, bw_answer_kind_t kind,
			reason_t reason);

static const char *const answer_names[BW_ANSWER_KIND_COUNT] = {
	[BW_ANSWER_DONE] = "done",	   [BW_ANSWER_STATE] = "state",
	[BW_ANSWER_WAITING] = "waiting",   [BW_ANSWER_REFUSED] = "refused",
	[BW_ANSWER_UNKNOWN] = "unknown",   [BW_ANSWER_NO_JOB] = "no-job",
	[BW_ANSWER_NO_QUEUE] = "no-queue", [BW_ANSWER_BAD_REQUEST] = "bad",
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
				const bw_store_t *store,
				bw_fleet_peers_t *inquiry,
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
	serving_t *serving = timer->data;

	(void)loop;
	(void)revents;
	serving->next(serving);
}

/* Repeats a step after a pause. */
static void later(serving_t *serving, void (*next)(serving_t *serving))
{
	bw_metrics_count(BW_MC_RETRIES, serving->kind, 0);
	serving->next = next;
	ev_timer_init(&serving->timer, on_timer, REPEAT_S, 0.0);
	serving->timer.data = serving;
	ev_timer_start(serving->s->loop, &serving->timer);
}

static void serving_free(serving_t *serving)
{
	g_free(serving->queue);
	g_free(serving->pool);
	g_free(serving->record);
	g_free(serving);
}

static void finish(serving_t *serving, const bw_answer_t *answer)
{
	bw_event(BW_EVENT_SERVICE_REQUEST,
		 "kind=%s job=%s queue=%s pool=%s answer=%s state=%s "
		 "reason=\"%s\" attempts=%u took_ms=%" G_GINT64_FORMAT,
		 request_names[serving->kind],
		 serving->id[0] ? serving->id : "-", serving->queue,
		 serving->pool, answer_names[answer->kind],
		 bw_job_state_name(answer->state),
		 answer->reason ? answer->reason : "", serving->attempts,
		 bw_clock_now_ms() - serving->since_ms);
	bw_metrics_count(BW_MC_REQUESTS, serving->kind, answer->kind);
	if (serving->kind == BW_REQUEST_SUBMIT)
		bw_metrics_observe(BW_MH_SUBMIT,
				   bw_clock_now_ms() - serving->since_ms);
	if (serving->kind == BW_REQUEST_STATE)
		bw_metrics_observe(BW_MH_STATE,
				   bw_clock_now_ms() - serving->since_ms);
	serving->done(serving->ctx, answer);
	serving_free(serving);
}

static const char *reason_text(reason_t reason)
{
	return reason == REASON_NONE ? NULL : reasons[reason];
}

static void finish_kind(serving_t *serving, bw_answer_kind_t kind,
			reason_t reason)
{
	bw_answer_t answer = { .kind = kind, .reason = reason_text(reason) };

	if (reason != REASON_NONE)
		bw_metrics_count(BW_MC_REFUSALS, reason, 0);

	if (kind == BW_ANSWER_REFUSED)
		answer.retry_after_s =
			serving->s->ops.store_good(serving->s->ctx)
				? SOON_RETRY_S
				: OUTAGE_RETRY_S;
	finish(serving, &answer);
}

static void finish_state(serving_t *serving, bw_job_state_t state)
{
	bw_answer_t answer = { .kind = BW_ANSWER_STATE, .state = state };

	finish(serving, &answer);
}

static void refuse(bw_answer_fn done, void *ctx, bw_answer_kind_t kind,
		   reason_t reason)
{
	bw_answer_t answer = { .kind = kind, .reason = reason_text(reason) };

	bw_metrics_count(BW_MC_REFUSALS, reason, 0);
	if (kind == BW_ANSWER_REFUSED)
		answer.retry_after_s = SOON_RETRY_S;
	bw_event(BW_EVENT_SERVICE_REQUEST_REFUSED, "answer=%s reason=\"%s\"",
		 answer_names[kind], reasons[reason]);
	done(ctx, &answer);
}

static serving_t *serving_new(bw_service_t *s, const bw_request_t *request,
			      const bw_queue_t *queue, bw_answer_fn done,
			      void *ctx)
{
	serving_t *serving = g_new0(serving_t, 1);

	serving->s = s;
	serving->kind = request->kind;
	serving->queue = g_strdup(queue->name);
	serving->pool = g_strdup(queue->pool);
	serving->since_ms = bw_clock_now_ms();
	serving->until_ms = serving->since_ms + request->caller_timeout_ms -
			    ANSWER_MARGIN_MS;
	serving->done = done;
	serving->ctx = ctx;
	return serving;
}

static void pack_record(serving_t *serving, bw_job_spec_t *spec)
{
	bw_job_record_t record = {
		.queue = serving->queue,
		.accepted_ms = bw_clock_wall_ms(),
		.spec = spec,
	};

	serving->record = bw_job_record_pack(&record, &serving->record_bytes);
}

static void begin(serving_t *serving)
{
	static void (*const steps[BW_REQUEST_KIND_COUNT])(serving_t *) = {
		[BW_REQUEST_SUBMIT] = submit,
		[BW_REQUEST_STATE] = ask_state,
		[BW_REQUEST_CANCEL] = look_up,
		[BW_REQUEST_QUEUE] = ask_state,
	};

	steps[serving->kind](serving);
}

void bw_service_serve(bw_service_t *s, const bw_request_t *request,
		      bw_answer_fn done, void *ctx)
{
	const bw_queue_t *queue;
	const char *id;
	serving_t *serving;

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
		       request->kind == BW_REQUEST_SUBMIT
			       ? BW_ANSWER_BAD_REQUEST
			       : BW_ANSWER_NO_JOB,
		       REASON_BAD_ID);
		return;
	}
	serving = serving_new(s, request, queue, done, ctx);
	if (request->kind != BW_REQUEST_QUEUE)
		g_strlcpy(serving->id, id, sizeof(serving->id));
	if (request->kind == BW_REQUEST_SUBMIT)
		pack_record(serving, request->spec);
	begin(serving);
}

/* Writes the job if its key is absent, in this and in former pools. */
static void submit(serving_t *serving)
{
	bw_service_t *s = serving->s;
	GPtrArray *former = g_hash_table_lookup(s->former, serving->queue);
	guint count = former ? former->len : 0;
	bw_store_expect_t *expects = g_new0(bw_store_expect_t, count + 1);
	char *key = bw_pool_job_key(serving->pool, serving->id);
	bw_store_write_t write = { key, (const char *)serving->record,
				   serving->record_bytes, 0 };
	bw_store_txn_t txn = { expects, count + 1, &write, 1 };
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	guint i;

	if (!s->ops.store_good(s->ctx) && !serving->in_doubt) {
		finish_kind(serving, BW_ANSWER_REFUSED,
			    REASON_STORE_OUT_OF_REACH);
	} else {
		expects[0].key = key;
		for (i = 0; i < count; i++) {
			g_ptr_array_add(
				keys,
				bw_pool_job_key(g_ptr_array_index(former, i),
						serving->id));
			expects[i + 1].key = g_ptr_array_index(keys, i);
		}
		serving->attempts++;
		s->store.ops->txn(s->store.impl, &txn, on_submitted, serving);
	}
	g_ptr_array_free(keys, TRUE);
	g_free(key);
	g_free(expects);
}

static void on_submitted(void *ctx, const bw_store_reply_t *reply)
{
	serving_t *serving = ctx;
	bw_service_t *s = serving->s;

	s->ops.result(s->ctx, reply->status);
	if (reply->status == BW_OK) {
		if (reply->succeeded)
			s->ops.stored(s->ctx, serving->pool, serving->id,
				      serving->record, serving->record_bytes);
		/* A failed condition means that the job is there already. */
		finish_kind(serving, BW_ANSWER_DONE, REASON_NONE);
		return;
	}
	if (reply->status == BW_ELOST)
		serving->in_doubt = true;
	if (!serving->in_doubt) {
		finish_kind(serving, BW_ANSWER_REFUSED, REASON_STORE_REFUSED);
		return;
	}
	if (bw_clock_now_ms() + STORE_CALL_MS >= serving->until_ms) {
		finish_kind(serving, BW_ANSWER_UNKNOWN, REASON_STORE_SILENT);
		return;
	}
	later(serving, submit);
}

static void ask_state(serving_t *serving)
{
	bw_service_t *s = serving->s;
	bw_fleet_query_done_fn done =
		serving->kind == BW_REQUEST_QUEUE ? on_waiting : on_state;
	const char *job =
		serving->kind == BW_REQUEST_QUEUE ? NULL : serving->id;
	const char *queue = job ? NULL : serving->queue;
	const char *owner = s->ops.owner(s->ctx, serving->pool);
	bw_fleet_query_answer_t answer = { 0 };

	if (!owner) {
		done(serving, NULL);
	} else if (!strcmp(owner, s->node)) {
		s->ops.local(s->ctx, serving->pool, job, queue, &answer);
		done(serving, &answer);
	} else {
		bw_fleet_peers_query(s->inquiry, owner, serving->pool, job,
				     queue, done, serving);
	}
}

static void on_waiting(void *ctx, const bw_fleet_query_answer_t *answer)
{
	serving_t *serving = ctx;
	bw_answer_t out = { .kind = BW_ANSWER_WAITING };

	if (!answer || !answer->owner) {
		finish_kind(serving, BW_ANSWER_REFUSED,
			    REASON_OWNER_OUT_OF_REACH);
		return;
	}
	out.waiting = answer->waiting;
	finish(serving, &out);
}

static void on_state(void *ctx, const bw_fleet_query_answer_t *answer)
{
	serving_t *serving = ctx;

	if (answer && answer->owner && answer->state != BW_JOB_UNKNOWN)
		finish_state(serving, answer->state);
	else
		look_up(serving);
}

/* Reads whether a job is stored. */
static void look_up(serving_t *serving)
{
	char *key = bw_pool_job_key(serving->pool, serving->id);

	serving->attempts++;
	serving->s->store.ops->get(serving->s->store.impl, key, on_looked_up,
				   serving);
	g_free(key);
}

/* Tries the next pool that the queue had before; false if there is none. */
static bool look_in_former_pool(serving_t *serving)
{
	GPtrArray *former =
		g_hash_table_lookup(serving->s->former, serving->queue);
	guint i;

	if (!former)
		return false;
	for (i = 0; i < former->len; i++) {
		const char *pool = g_ptr_array_index(former, i);

		if (!strcmp(pool, serving->pool) ||
		    serving->attempts > former->len)
			continue;
		g_free(serving->pool);
		serving->pool = g_strdup(pool);
		begin(serving);
		return true;
	}
	return false;
}

static void on_looked_up(void *ctx, const bw_store_reply_t *reply)
{
	serving_t *serving = ctx;
	bw_service_t *s = serving->s;

	s->ops.result(s->ctx, reply->status);
	if (reply->status == BW_ENOTFOUND) {
		if (!look_in_former_pool(serving))
			finish_kind(serving, BW_ANSWER_NO_JOB, REASON_NO_JOB);
		return;
	}
	if (reply->status == BW_OK) {
		if (serving->kind == BW_REQUEST_CANCEL)
			cancel(serving);
		else
			finish_state(serving, BW_JOB_QUEUED);
		return;
	}
	if (bw_clock_now_ms() + STORE_CALL_MS < serving->until_ms &&
	    s->ops.store_good(s->ctx))
		later(serving, look_up);
	else
		/* Nothing was changed, so there is nothing in doubt. */
		finish_kind(serving, BW_ANSWER_REFUSED, REASON_STORE_SILENT);
}

static void cancel(serving_t *serving)
{
	char *key = bw_pool_cancel_key(serving->pool, serving->id);
	bw_store_write_t write = { key, "1", 1, 0 };
	bw_store_txn_t txn = { NULL, 0, &write, 1 };

	serving->attempts++;
	serving->s->store.ops->txn(serving->s->store.impl, &txn, on_cancelled,
				   serving);
	g_free(key);
}

static void on_cancelled(void *ctx, const bw_store_reply_t *reply)
{
	serving_t *serving = ctx;
	bw_service_t *s = serving->s;

	s->ops.result(s->ctx, reply->status);
	if (reply->status == BW_OK) {
		s->ops.stored(s->ctx, serving->pool, serving->id, NULL, 0);
		finish_kind(serving, BW_ANSWER_DONE, REASON_NONE);
		return;
	}
	if (bw_clock_now_ms() + STORE_CALL_MS < serving->until_ms)
		later(serving, cancel);
	else
		finish_kind(serving, BW_ANSWER_UNKNOWN, REASON_STORE_SILENT);
}
