#include "fleet/service.h"

#include <string.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "base/event.h"
#include "base/metrics.h"
#include "fleet/cancel_marks.h"
#include "fleet/job_keys.h"
#include "fleet/job_location.h"
#include "fleet/queue_count.h"
#include "fleet/recent_writes.h"
#include "fleet/tenant_keys.h"

/** Answers are sent this long before the caller's timeout. */
#define ANSWER_MARGIN_MS 250
/** A call to the store is only repeated with more time left than this. */
#define STORE_CALL_MIN_MS 100
/** Retry time given to callers while the store is unreachable. */
#define OUTAGE_RETRY_S 2
/** Retry time given to callers otherwise. */
#define DEFAULT_RETRY_S 1
/** Pause before a call to the store is repeated, in seconds. */
#define RETRY_PAUSE_S 0.08

/** Why a request was not served; the texts are also labels of metrics. */
typedef enum reason {
	REASON_NONE,
	REASON_NO_CONFIGURATION,
	REASON_NO_QUEUE,
	REASON_NO_KEY,
	REASON_CONFIGURATION_DOUBTED,
	REASON_ID_TAKEN,
	REASON_BAD_ID,
	REASON_STORE_OUT_OF_REACH,
	REASON_STORE_REFUSED,
	REASON_STORE_SILENT,
	REASON_OWNER_OUT_OF_REACH,
	REASON_NO_JOB,
	REASON_CANCELLED,
	REASON_UNREADABLE,
	REASON_COUNT
} reason_t;

static const char *const reasons[REASON_COUNT] = {
	[REASON_NONE] = "none",
	[REASON_NO_CONFIGURATION] = "no configuration yet",
	[REASON_NO_QUEUE] = "no such queue",
	[REASON_NO_KEY] = "no such key",
	[REASON_CONFIGURATION_DOUBTED] = "configuration may be outdated",
	[REASON_ID_TAKEN] = "identifier of another tenant's job",
	[REASON_BAD_ID] = "not a job's identifier",
	[REASON_STORE_OUT_OF_REACH] = "store out of reach",
	[REASON_STORE_REFUSED] = "store refused",
	[REASON_STORE_SILENT] = "store did not answer",
	[REASON_OWNER_OUT_OF_REACH] = "owner out of reach",
	[REASON_NO_JOB] = "no such job",
	[REASON_CANCELLED] = "cancelled before it was stored",
	[REASON_UNREADABLE] = "record can't be read here",
};

struct bw_service {
	struct ev_loop *loop;
	char *node;
	bw_store_t store;
	bw_fleet_peers_t *peers;
	bw_service_ops_t ops;
	void *ctx;
	const bw_fleet_config_t *config;
	bw_tenant_keys_t *keys; /**< Of this configuration; NULL without it. */
	const bw_config_sync_t *config_sync; /**< Or NULL. */
	bw_cancel_marks_t *cancel_marks;
	bw_recent_writes_t *recent_writes;
	bw_empty_pools_t *empty_pools;
};

/** A request in progress. */
typedef struct pending_request {
	bw_service_t *s;
	bw_request_kind_t kind;
	char *queue;
	bw_caller_t caller;
	char *tenant; /**< That of the caller, or NULL. */
	bw_queue_terms_t terms; /**< Of the queue. */
	char *pool; /**< That of the queue, or where the job is located. */
	bool located; /**< The job's location has been read. */
	char id[BW_JOB_ID_CHARS + 1];
	int64_t started_ms;
	int64_t deadline_ms;
	uint8_t *record;
	size_t record_bytes;
	/** Of the job among the recent writes; those of two tenants with one
	 *  identifier are two jobs. */
	char *write_name;
	bool in_doubt; /**< A write got no answer and may have succeeded. */
	uint32_t attempts;
	ev_timer timer;
	/** Called by the timer. */
	void (*next)(struct pending_request *pending);
	bw_answer_fn done;
	void *ctx;
} pending_request_t;

static void submit(pending_request_t *pending);
static void on_submitted(void *ctx, const bw_store_reply_t *reply);
static void query_state(pending_request_t *pending);
static void on_state_answer(void *ctx, const bw_fleet_query_answer_t *answer);
static void read_job(pending_request_t *pending);
static void on_job_read(void *ctx, const bw_store_reply_t *reply);
static void on_located(void *ctx, const bw_store_reply_t *reply);
static void mark_cancelled(pending_request_t *pending);
static void cancel(pending_request_t *pending);
static void on_cancelled(void *ctx, const bw_store_reply_t *reply);
static void count_waiting(pending_request_t *pending);
static void on_counted(void *ctx, bool known, uint32_t waiting);
static void finish(pending_request_t *pending, const bw_answer_t *answer);
static void finish_with(pending_request_t *pending, bw_answer_kind_t kind,
			reason_t reason);

static const char *const answer_names[BW_ANSWER_KIND_COUNT] = {
	[BW_ANSWER_DONE] = "done",
	[BW_ANSWER_STATE] = "state",
	[BW_ANSWER_WAITING] = "waiting",
	[BW_ANSWER_REFUSED] = "refused",
	[BW_ANSWER_UNKNOWN] = "unknown",
	[BW_ANSWER_NO_JOB] = "no-job",
	[BW_ANSWER_NO_QUEUE] = "no-queue",
	[BW_ANSWER_BAD_REQUEST] = "bad",
	[BW_ANSWER_UNAUTHORIZED] = "unauthorized",
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
				bw_fleet_peers_t *peers,
				const bw_service_ops_t *ops, void *ctx)
{
	bw_service_t *s = g_new0(bw_service_t, 1);

	define_metrics();
	s->loop = loop;
	s->node = g_strdup(node);
	s->store = *store;
	s->peers = peers;
	s->cancel_marks = bw_cancel_marks_create(store);
	s->recent_writes = bw_recent_writes_create();
	s->empty_pools = bw_empty_pools_create();
	s->ops = *ops;
	s->ctx = ctx;
	return s;
}

void bw_service_destroy(bw_service_t *s)
{
	if (!s)
		return;
	bw_tenant_keys_destroy(s->keys);
	bw_cancel_marks_destroy(s->cancel_marks);
	bw_recent_writes_destroy(s->recent_writes);
	bw_empty_pools_destroy(s->empty_pools);
	g_free(s->node);
	g_free(s);
}

static const bw_queue_t *find_queue(const bw_fleet_config_t *config,
				    const char *name)
{
	uint32_t i;

	for (i = 0; config && i < config->queue_count; i++)
		if (!strcmp(config->queues[i].name, name))
			return &config->queues[i];
	return NULL;
}

void bw_service_configure(bw_service_t *s, const bw_fleet_config_t *config)
{
	bw_tenant_keys_destroy(s->keys);
	s->keys = bw_tenant_keys_create(config);
	bw_empty_pools_configure(s->empty_pools, bw_clock_now_ms(), config);
	s->config = config;
}

void bw_service_set_config_sync(bw_service_t *s, const bw_config_sync_t *sync)
{
	s->config_sync = sync;
}

static bool host_matches(const char *queue_host, const char *host)
{
	size_t length;

	if (!queue_host)
		return true;
	if (!host)
		return false;
	length = strcspn(host, ":");
	return strlen(queue_host) == length &&
	       !g_ascii_strncasecmp(queue_host, host, length);
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
	pending_request_t *pending = timer->data;

	(void)loop;
	(void)revents;
	pending->next(pending);
}

/* Calls a step again after a pause. */
static void retry_later(pending_request_t *pending,
			void (*next)(pending_request_t *pending))
{
	bw_metrics_count(BW_MC_RETRIES, pending->kind, 0);
	pending->next = next;
	ev_timer_init(&pending->timer, on_timer, RETRY_PAUSE_S, 0.0);
	pending->timer.data = pending;
	ev_timer_start(pending->s->loop, &pending->timer);
}

static void pending_free(pending_request_t *pending)
{
	g_free(pending->queue);
	g_free(pending->tenant);
	g_free(pending->write_name);
	g_free(pending->pool);
	g_free(pending->record);
	g_free(pending);
}

static void finish(pending_request_t *pending, const bw_answer_t *answer)
{
	bw_event(BW_EVENT_SERVICE_REQUEST,
		 "kind=%s job=%s queue=%s pool=%s answer=%s state=%s "
		 "reason=\"%s\" attempts=%u took_ms=%" G_GINT64_FORMAT,
		 request_names[pending->kind],
		 pending->id[0] ? pending->id : "-", pending->queue,
		 pending->pool, answer_names[answer->kind],
		 bw_job_state_name(answer->state),
		 answer->reason ? answer->reason : "", pending->attempts,
		 bw_clock_now_ms() - pending->started_ms);
	bw_metrics_count(BW_MC_REQUESTS, pending->kind, answer->kind);
	if (pending->kind == BW_REQUEST_SUBMIT)
		bw_metrics_observe(BW_MH_SUBMIT,
				   bw_clock_now_ms() - pending->started_ms);
	if (pending->kind == BW_REQUEST_STATE)
		bw_metrics_observe(BW_MH_STATE,
				   bw_clock_now_ms() - pending->started_ms);
	pending->done(pending->ctx, answer);
	pending_free(pending);
}

static const char *reason_text(reason_t reason)
{
	return reason == REASON_NONE ? NULL : reasons[reason];
}

static void finish_with(pending_request_t *pending, bw_answer_kind_t kind,
			reason_t reason)
{
	bw_answer_t answer = { .kind = kind, .reason = reason_text(reason) };

	if (reason != REASON_NONE)
		bw_metrics_count(BW_MC_REFUSALS, reason, 0);

	if (kind == BW_ANSWER_REFUSED)
		answer.retry_after_s =
			pending->s->ops.store_reachable(pending->s->ctx)
				? DEFAULT_RETRY_S
				: OUTAGE_RETRY_S;
	finish(pending, &answer);
}

/* Reports a reply of the store, and logs it unless it is as usual. */
static void record_reply(const pending_request_t *pending,
			 const bw_store_reply_t *reply)
{
	const bw_store_trace_t *trace = &reply->trace;
	bw_service_t *s = pending->s;

	s->ops.store_result(s->ctx, reply->status);
	if (trace->cause == BW_CAUSE_NONE && trace->copies <= 1)
		return;
	bw_event(BW_EVENT_SERVICE_STORE_FAILED,
		 "kind=%s job=%s attempt=%u status=%s cause=%s copies=%u "
		 "kept=%d queued_ms=%" G_GINT64_FORMAT
		 " took_ms=%" G_GINT64_FORMAT,
		 request_names[pending->kind], pending->id, pending->attempts,
		 bw_status_name(reply->status), bw_cause_name(trace->cause),
		 trace->copies, trace->kept_connection, trace->queued_ms,
		 trace->took_ms);
}

static void finish_state(pending_request_t *pending, bw_job_state_t state)
{
	bw_answer_t answer = { .kind = BW_ANSWER_STATE, .state = state };

	finish(pending, &answer);
}

/* Returns the identifier at the end of a request's path, or "-". */
static const char *id_of_path(const char *path)
{
	const char *slash = strrchr(path, '/');
	const char *id = slash ? slash + 1 : path;

	return bw_job_id_valid(id) ? id : "-";
}

static void refuse(const bw_request_t *request, bw_answer_kind_t kind,
		   reason_t reason, bw_answer_fn done, void *ctx)
{
	bw_answer_t answer = { .kind = kind, .reason = reason_text(reason) };

	bw_metrics_count(BW_MC_REFUSALS, reason, 0);
	if (kind == BW_ANSWER_REFUSED)
		answer.retry_after_s = DEFAULT_RETRY_S;
	bw_event(BW_EVENT_SERVICE_REQUEST_REFUSED,
		 "kind=%s job=%s answer=%s reason=\"%s\" host=\"%s\" "
		 "path=\"%s\"",
		 request_names[request->kind], id_of_path(request->path),
		 answer_names[kind], reasons[reason],
		 request->host ? request->host : "", request->path);
	done(ctx, &answer);
}

static pending_request_t *pending_new(bw_service_t *s,
				      const bw_request_t *request,
				      const bw_queue_t *queue,
				      const bw_caller_t *caller,
				      bw_answer_fn done, void *ctx)
{
	pending_request_t *pending = g_new0(pending_request_t, 1);

	pending->s = s;
	pending->kind = request->kind;
	pending->queue = g_strdup(queue->name);
	pending->caller = *caller;
	pending->tenant = g_strdup(caller->tenant);
	pending->caller.tenant = pending->tenant;
	pending->terms = queue->terms;
	pending->pool = g_strdup(queue->pool);
	pending->started_ms = bw_clock_now_ms();
	pending->deadline_ms = pending->started_ms +
			       request->caller_timeout_ms - ANSWER_MARGIN_MS;
	pending->done = done;
	pending->ctx = ctx;
	return pending;
}

static void pack_record(pending_request_t *pending, bw_job_spec_t *spec)
{
	bw_job_record_t record = {
		.queue = pending->queue,
		.terms = pending->terms,
		.has_terms = true,
		.tenant = pending->tenant,
		.accepted_ms = bw_clock_wall_ms(),
		.spec = spec,
	};

	pending->record = bw_job_record_pack(&record, &pending->record_bytes);
}

static void name_write(pending_request_t *pending)
{
	pending->write_name =
		pending->tenant
			? g_strconcat(pending->id, " ", pending->tenant, NULL)
			: g_strdup(pending->id);
}

static bw_config_trust_t config_trust(const bw_service_t *s)
{
	return s->config_sync
		       ? bw_config_sync_trust(s->config_sync, bw_clock_now_ms())
		       : BW_CONFIG_NEWEST;
}

/* Returns whether the caller may use the queue; refuses the request if not. */
static bool admit(const bw_service_t *s, const bw_request_t *request,
		  const bw_queue_t *queue, bw_caller_t *caller,
		  bw_answer_fn done, void *ctx)
{
	bw_key_verdict_t verdict;

	if (request->queue) {
		*caller = (bw_caller_t){ .sees_all = true };
		return true;
	}
	verdict = bw_tenant_keys_check(s->keys, queue, request->key,
				       config_trust(s), caller);
	if (verdict == BW_KEY_UNKNOWN)
		refuse(request, BW_ANSWER_UNAUTHORIZED, REASON_NO_KEY, done,
		       ctx);
	else if (verdict == BW_KEY_UNSURE)
		refuse(request, BW_ANSWER_REFUSED, REASON_CONFIGURATION_DOUBTED,
		       done, ctx);
	return verdict == BW_KEY_ALLOWED;
}

static void start_request(pending_request_t *pending)
{
	static void (*const handlers[BW_REQUEST_KIND_COUNT])(
		pending_request_t *) = {
		[BW_REQUEST_SUBMIT] = submit,
		[BW_REQUEST_STATE] = query_state,
		[BW_REQUEST_CANCEL] = read_job,
		[BW_REQUEST_QUEUE] = count_waiting,
	};

	handlers[pending->kind](pending);
}

void bw_service_serve(bw_service_t *s, const bw_request_t *request,
		      bw_answer_fn done, void *ctx)
{
	const bw_queue_t *queue;
	bw_caller_t caller;
	const char *id;
	pending_request_t *pending;

	if (!s->config) {
		refuse(request, BW_ANSWER_REFUSED, REASON_NO_CONFIGURATION,
		       done, ctx);
		return;
	}
	queue = request->queue ? find_queue(s->config, request->queue)
			       : bw_fleet_find_queue(s->config, request->host,
						     request->path);
	if (!queue) {
		refuse(request, BW_ANSWER_NO_QUEUE, REASON_NO_QUEUE, done, ctx);
		return;
	}
	if (!admit(s, request, queue, &caller, done, ctx))
		return;
	id = request->path;
	if (!request->queue)
		id += strlen(queue->prefix);
	if (request->kind != BW_REQUEST_QUEUE && !bw_job_id_valid(id)) {
		refuse(request,
		       request->kind == BW_REQUEST_SUBMIT
			       ? BW_ANSWER_BAD_REQUEST
			       : BW_ANSWER_NO_JOB,
		       REASON_BAD_ID, done, ctx);
		return;
	}
	pending = pending_new(s, request, queue, &caller, done, ctx);
	if (request->kind != BW_REQUEST_QUEUE)
		g_strlcpy(pending->id, id, sizeof(pending->id));
	if (request->kind == BW_REQUEST_SUBMIT) {
		name_write(pending);
		pack_record(pending, request->spec);
	}
	start_request(pending);
}

/*
 * Writes the job with its location, unless the job has one: in this pool, or in
 * another one that its queue had. Earlier versions stored no locations.
 */
static void write_job(pending_request_t *pending)
{
	bw_service_t *s = pending->s;
	char *key = bw_job_key(pending->pool, pending->id);
	char *location_key = bw_job_location_key(pending->id);
	const bw_job_location_t job_location = { .pool = pending->pool };
	size_t bytes;
	uint8_t *location = bw_job_location_pack(&job_location, &bytes);
	const bw_store_expect_t expects[] = { { location_key, 0 }, { key, 0 } };
	const bw_store_write_t writes[] = {
		{ key, (const char *)pending->record, pending->record_bytes,
		  0 },
		{ location_key, (const char *)location, bytes, 0 },
	};
	bw_store_txn_t txn = { expects, G_N_ELEMENTS(expects), writes,
			       G_N_ELEMENTS(writes) };

	pending->attempts++;
	bw_recent_writes_sent(s->recent_writes, pending->write_name);
	s->store.ops->txn(s->store.impl, &txn, on_submitted, pending);
	g_free(location);
	g_free(location_key);
	g_free(key);
}

/* Whether a write of the job, of this request or another, may have stored it
 * or may still do so. */
static bool may_be_stored(const pending_request_t *pending)
{
	return pending->in_doubt ||
	       bw_recent_writes_has(pending->s->recent_writes,
				    bw_clock_now_ms(), pending->write_name);
}

/* A request with no write of its own in doubt is not held in an outage. */
static void submit(pending_request_t *pending)
{
	bw_service_t *s = pending->s;

	if (bw_recent_writes_has_stored(s->recent_writes, bw_clock_now_ms(),
					pending->write_name))
		finish_with(pending, BW_ANSWER_DONE, REASON_NONE);
	else if (!s->ops.store_reachable(s->ctx) && !pending->in_doubt)
		finish_with(pending,
			    may_be_stored(pending) ? BW_ANSWER_UNKNOWN
						   : BW_ANSWER_REFUSED,
			    REASON_STORE_OUT_OF_REACH);
	else
		write_job(pending);
}

/* Returns a key in the reply to a failed write; NULL if it does not exist.
 * Takes the key. */
static const bw_store_kv_t *find_key(const bw_store_reply_t *reply, char *key)
{
	const bw_store_kv_t *found = NULL;
	size_t i;

	for (i = 0; i < reply->kv_count && !found; i++)
		if (reply->kvs[i].mod_revision > 0 &&
		    !strcmp(reply->kvs[i].key, key))
			found = &reply->kvs[i];
	g_free(key);
	return found;
}

/* A job that an earlier version has stored has no location. */
static const bw_store_kv_t *find_location(const pending_request_t *pending,
					  const bw_store_reply_t *reply)
{
	return find_key(reply, bw_job_location_key(pending->id));
}

/* Finds out from a stored record whether the job is not the caller's. */
static bw_status_t read_holder(const pending_request_t *pending,
			       const bw_store_kv_t *kv, bool *another)
{
	bw_job_record_t record;
	bw_status_t status;

	*another = false;
	status = bw_job_record_unpack((const uint8_t *)kv->value, kv->bytes,
				      &record);
	if (status != BW_OK)
		return status;
	*another = !bw_caller_may_see(&pending->caller, record.tenant);
	bw_job_record_clear(&record);
	return BW_OK;
}

/* Returns whether a failed write met a job that is not the caller's. */
static bool meets_another(const pending_request_t *pending,
			  const bw_store_reply_t *reply)
{
	const bw_store_kv_t *kv;
	bool another = false;

	if (pending->caller.sees_all)
		return false;
	kv = find_key(reply, bw_job_key(pending->pool, pending->id));
	if (kv)
		read_holder(pending, kv, &another);
	return another;
}

/* Finds out whether a write failed because its job was cancelled before. */
static bw_status_t read_mark(const pending_request_t *pending,
			     const bw_store_reply_t *reply, bool *cancelled)
{
	const bw_store_kv_t *kv = find_location(pending, reply);
	bw_job_location_t location;
	bw_status_t status;

	*cancelled = false;
	if (!kv)
		return BW_OK;
	status = bw_job_location_unpack((const uint8_t *)kv->value, kv->bytes,
					&location);
	if (status == BW_OK) {
		*cancelled = location.cancelled;
		g_free(location.pool);
	}
	return status;
}

/* A failed condition means that the job is stored, or never will be; only the
 * location tells which. */
static void finish_submission(pending_request_t *pending,
			      const bw_store_reply_t *reply)
{
	bw_service_t *s = pending->s;
	bool cancelled = false;

	if (!reply->succeeded &&
	    read_mark(pending, reply, &cancelled) != BW_OK) {
		finish_with(pending, BW_ANSWER_UNKNOWN, REASON_UNREADABLE);
		return;
	}
	if (cancelled) {
		finish_with(pending, BW_ANSWER_REFUSED, REASON_CANCELLED);
		return;
	}
	if (!reply->succeeded && meets_another(pending, reply)) {
		finish_with(pending, BW_ANSWER_BAD_REQUEST, REASON_ID_TAKEN);
		return;
	}
	bw_recent_writes_stored(s->recent_writes, bw_clock_now_ms(),
				pending->write_name);
	if (reply->succeeded)
		s->ops.job_stored(s->ctx, pending->pool, pending->id,
				  pending->record, pending->record_bytes);
	finish_with(pending, BW_ANSWER_DONE, REASON_NONE);
}

static void on_submitted(void *ctx, const bw_store_reply_t *reply)
{
	pending_request_t *pending = ctx;

	record_reply(pending, reply);
	bw_recent_writes_answered(pending->s->recent_writes, bw_clock_now_ms(),
				  pending->write_name, reply->status);
	if (reply->status == BW_OK) {
		finish_submission(pending, reply);
		return;
	}
	if (reply->status == BW_ELOST)
		pending->in_doubt = true;
	if (!may_be_stored(pending)) {
		finish_with(pending, BW_ANSWER_REFUSED, REASON_STORE_REFUSED);
		return;
	}
	if (bw_clock_now_ms() + STORE_CALL_MIN_MS >= pending->deadline_ms) {
		finish_with(pending, BW_ANSWER_UNKNOWN, REASON_STORE_SILENT);
		return;
	}
	retry_later(pending, submit);
}

static void query_state(pending_request_t *pending)
{
	bw_service_t *s = pending->s;
	const char *owner = s->ops.owner(s->ctx, pending->pool);
	bw_fleet_query_answer_t answer = { 0 };

	if (!owner) {
		on_state_answer(pending, NULL);
	} else if (!strcmp(owner, s->node)) {
		s->ops.query_local(s->ctx, pending->pool, pending->id, NULL,
				   &answer);
		on_state_answer(pending, &answer);
	} else {
		bw_fleet_peers_query(s->peers, owner, pending->pool,
				     pending->id, NULL, on_state_answer,
				     pending);
	}
}

static void count_waiting(pending_request_t *pending)
{
	bw_service_t *s = pending->s;
	bw_queue_count_env_t env = { s->node, s->peers, s->empty_pools, &s->ops,
				     s->ctx };

	bw_queue_count(&env, s->config, pending->queue, pending->pool,
		       on_counted, pending);
}

static void on_counted(void *ctx, bool known, uint32_t waiting)
{
	pending_request_t *pending = ctx;
	bw_answer_t answer = { .kind = BW_ANSWER_WAITING, .waiting = waiting };

	if (known)
		finish(pending, &answer);
	else
		finish_with(pending, BW_ANSWER_REFUSED,
			    REASON_OWNER_OUT_OF_REACH);
}

static void on_state_answer(void *ctx, const bw_fleet_query_answer_t *answer)
{
	pending_request_t *pending = ctx;

	if (!answer || !answer->owner || answer->state == BW_JOB_UNKNOWN)
		read_job(pending);
	else if (bw_caller_may_see(&pending->caller, answer->tenant))
		finish_state(pending, answer->state);
	else
		finish_with(pending, BW_ANSWER_NO_JOB, REASON_NO_JOB);
}

/* Reads from the store whether the job exists. */
static void read_job(pending_request_t *pending)
{
	char *key = bw_job_key(pending->pool, pending->id);

	pending->attempts++;
	pending->s->store.ops->get(pending->s->store.impl, key, on_job_read,
				   pending);
	g_free(key);
}

/* Repeats a read that failed. Without the time for that the request had no
 * effect, unless a mark may have been written. */
static void repeat_read(pending_request_t *pending,
			const bw_store_reply_t *reply,
			void (*read)(pending_request_t *pending))
{
	if (bw_clock_now_ms() + STORE_CALL_MIN_MS < pending->deadline_ms &&
	    pending->s->ops.store_reachable(pending->s->ctx))
		retry_later(pending, read);
	else
		finish_with(pending,
			    pending->in_doubt ? BW_ANSWER_UNKNOWN
					      : BW_ANSWER_REFUSED,
			    reply->status == BW_EUNAVAIL ? REASON_STORE_REFUSED
							 : REASON_STORE_SILENT);
}

/* Reads which pool has accepted the job, if any has. */
static void locate(pending_request_t *pending)
{
	char *key = bw_job_location_key(pending->id);

	pending->attempts++;
	pending->s->store.ops->get(pending->s->store.impl, key, on_located,
				   pending);
	g_free(key);
}

/* Serves the request in the pool that has the job. */
static void follow_location(pending_request_t *pending,
			    const bw_store_reply_t *reply)
{
	bw_job_location_t location;

	if (reply->kv_count == 0 ||
	    bw_job_location_unpack((const uint8_t *)reply->kvs[0].value,
				   reply->kvs[0].bytes, &location) != BW_OK) {
		finish_with(pending, BW_ANSWER_REFUSED, REASON_UNREADABLE);
		return;
	}
	if (location.cancelled) {
		g_free(location.pool);
		finish_with(pending, BW_ANSWER_NO_JOB, REASON_NO_JOB);
		return;
	}
	g_free(pending->pool);
	pending->pool = location.pool;
	pending->located = true;
	start_request(pending);
}

static void on_located(void *ctx, const bw_store_reply_t *reply)
{
	pending_request_t *pending = ctx;

	record_reply(pending, reply);
	if (reply->status == BW_OK)
		follow_location(pending, reply);
	else if (reply->status != BW_ENOTFOUND)
		repeat_read(pending, reply, locate);
	else if (pending->kind == BW_REQUEST_CANCEL)
		mark_cancelled(pending);
	else
		finish_with(pending, BW_ANSWER_NO_JOB, REASON_NO_JOB);
}

static void on_marked(void *ctx, const bw_store_reply_t *reply)
{
	pending_request_t *pending = ctx;

	record_reply(pending, reply);
	if (reply->status == BW_ELOST)
		pending->in_doubt = true;
	if (reply->status != BW_OK)
		repeat_read(pending, reply, locate);
	else if (reply->succeeded)
		finish_with(pending, BW_ANSWER_NO_JOB, REASON_NO_JOB);
	else
		locate(pending);
}

/* A write of the job that got no answer may still be carried out; the caller is
 * told that there is no job once that is impossible. */
static void mark_cancelled(pending_request_t *pending)
{
	pending->attempts++;
	bw_cancel_marks_add(pending->s->cancel_marks, pending->id,
			    bw_clock_now_ms(), on_marked, pending);
}

/* A record that has no end tells only that the job was accepted; one that can't
 * be read tells nothing, but another node may be able to read it. */
static void answer_stored_state(pending_request_t *pending,
				const bw_store_reply_t *reply)
{
	bw_job_record_t record;
	bw_job_state_t state;

	if (reply->kv_count == 0 ||
	    bw_job_record_unpack((const uint8_t *)reply->kvs[0].value,
				 reply->kvs[0].bytes, &record) != BW_OK) {
		finish_with(pending, BW_ANSWER_REFUSED, REASON_UNREADABLE);
		return;
	}
	if (!bw_caller_may_see(&pending->caller, record.tenant)) {
		bw_job_record_clear(&record);
		finish_with(pending, BW_ANSWER_NO_JOB, REASON_NO_JOB);
		return;
	}
	state = record.state;
	bw_job_record_clear(&record);
	finish_state(pending, state == BW_JOB_UNKNOWN ? BW_JOB_QUEUED : state);
}

/* Cancels the job unless its record, or none that can be read, shows that the
 * caller may not. */
static void cancel_own(pending_request_t *pending,
		       const bw_store_reply_t *reply)
{
	bool readable = true;
	bool another = false;

	if (!pending->caller.sees_all)
		readable = reply->kv_count > 0 &&
			   read_holder(pending, reply->kvs, &another) == BW_OK;
	if (!readable)
		finish_with(pending, BW_ANSWER_REFUSED, REASON_UNREADABLE);
	else if (another)
		finish_with(pending, BW_ANSWER_NO_JOB, REASON_NO_JOB);
	else
		cancel(pending);
}

static void on_job_read(void *ctx, const bw_store_reply_t *reply)
{
	pending_request_t *pending = ctx;

	record_reply(pending, reply);
	if (reply->status == BW_ENOTFOUND && !pending->located)
		locate(pending);
	else if (reply->status == BW_ENOTFOUND)
		finish_with(pending, BW_ANSWER_NO_JOB, REASON_NO_JOB);
	else if (reply->status != BW_OK)
		repeat_read(pending, reply, read_job);
	else if (pending->kind != BW_REQUEST_CANCEL)
		answer_stored_state(pending, reply);
	else
		cancel_own(pending, reply);
}

static void cancel(pending_request_t *pending)
{
	char *key = bw_cancel_key(pending->pool, pending->id);
	bw_store_write_t write = { key, "1", 1, 0 };
	bw_store_txn_t txn = { NULL, 0, &write, 1 };

	pending->attempts++;
	pending->s->store.ops->txn(pending->s->store.impl, &txn, on_cancelled,
				   pending);
	g_free(key);
}

static void on_cancelled(void *ctx, const bw_store_reply_t *reply)
{
	pending_request_t *pending = ctx;
	bw_service_t *s = pending->s;

	record_reply(pending, reply);
	if (reply->status == BW_OK) {
		s->ops.job_stored(s->ctx, pending->pool, pending->id, NULL, 0);
		finish_with(pending, BW_ANSWER_DONE, REASON_NONE);
		return;
	}
	if (bw_clock_now_ms() + STORE_CALL_MIN_MS < pending->deadline_ms)
		retry_later(pending, cancel);
	else
		finish_with(pending, BW_ANSWER_UNKNOWN, REASON_STORE_SILENT);
}
