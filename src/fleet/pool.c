#include "fleet/pool_internal.h"

#include <string.h>

#include "base/clock.h"
#include "base/event.h"
#include "base/metrics.h"
#include "fleet/job_keys.h"
#include "fleet/member.h"

/** Shortest time between two saves of the state. */
#define SAVE_INTERVAL_MS	100
#define SAVE_URGENT_INTERVAL_MS 50
#define SAVE_RETRY_MS		200
/** Saves use at most this part of the link, as a divisor: the rest is left to
 * heartbeats, starts and the lease. */
#define SAVE_LINK_SHARE 2
/** Bits of a byte of the state in a call to the store, in base64. */
#define SAVE_BITS_PER_BYTE (8.0 * 4.0 / 3.0)
#define LOAD_RETRY_S	   0.15
/** The scheduler runs at least this often. */
#define TICK_S 0.1
/** A longer time without a tick is a suspension. */
#define SUSPENDED_MS 400
/** Length of a grant to a worker: the time of a failover plus a margin. */
#define GRANT_MS 5000
/** A job that arrives longer after the last save waits for the next one: longer
 *  than the pauses between saves while jobs arrive. */
#define CONFIRM_MS 300
/** Data read from the store is at most this old, and older notices of jobs are
 * ignored. Jobs removed from the store are remembered for as long. */
#define DATA_AGE_MAX_MS 30000

static void load(bw_pool_t *pool);
static void on_loaded(void *ctx, const bw_store_reply_t *reply);
static void on_load_timer(struct ev_loop *loop, ev_timer *timer, int revents);
static void on_tick(struct ev_loop *loop, ev_timer *timer, int revents);
static void on_prepare(struct ev_loop *loop, ev_prepare *prepare, int revents);
static void on_save_timer(struct ev_loop *loop, ev_timer *timer, int revents);
static void on_key_changed(void *ctx, const bw_store_kv_t *kv);
static void on_jobs_synced(void *ctx);
static void on_store_result(void *ctx, bw_status_t status);
static void schedule_save(bw_pool_t *pool);
static void save(bw_pool_t *pool);
static void on_saved(void *ctx, const bw_store_reply_t *reply);

static void create_sched(bw_pool_t *pool)
{
	const bw_fleet_settings_t *settings = pool->env.settings;
	bw_sched_config_t config = {
		.grant_ms = MIN(settings->grant_max_ms, GRANT_MS),
		.grant_ms_max = MIN(settings->grant_max_ms, GRANT_MS),
		.grant_cap_ms = settings->grant_max_ms,
		.outage_ms = pool->env.outage_ms,
		.stop_ms = settings->stop_ms,
		.retention_ms = settings->retention_ms,
		.removed_ms = DATA_AGE_MAX_MS,
		.confirm_ms = CONFIRM_MS,
		.remote_factor = (double)settings->remote_factor_milli / 1000.0,
		.fence = (uint64_t)pool->fence,
	};

	pool->sched = bw_sched_create(&config, &pool_sched_ops, pool,
				      bw_clock_now_ms());
}

bw_pool_t *bw_pool_create(const bw_pool_env_t *env, const char *name,
			  int64_t fence, const bw_pool_ops_t *ops, void *ctx)
{
	bw_pool_t *pool = g_new0(bw_pool_t, 1);

	pool_define_metrics();
	pool->env = *env;
	pool->name = g_strdup(name);
	pool->owner_key = bw_fleet_owner_key(name);
	pool->state_key = g_strconcat("bw/p/", name, NULL);
	pool->queue_prefix = bw_job_prefix(name);
	pool->fence = fence;
	pool->since_ms = bw_clock_now_ms();
	pool->ops = *ops;
	pool->ctx = ctx;
	pool->refs = 1;
	pool->pending_cancels =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ev_timer_init(&pool->tick_timer, on_tick, TICK_S, TICK_S);
	ev_timer_init(&pool->save_timer, on_save_timer, 0.0, 0.0);
	ev_timer_init(&pool->load_timer, on_load_timer, LOAD_RETRY_S, 0.0);
	ev_prepare_init(&pool->prepare, on_prepare);
	pool->tick_timer.data = pool;
	pool->save_timer.data = pool;
	pool->load_timer.data = pool;
	pool->prepare.data = pool;
	load(pool);
	return pool;
}

void pool_unref(bw_pool_t *pool)
{
	if (--pool->refs > 0)
		return;
	bw_sched_destroy(pool->sched);
	g_hash_table_destroy(pool->pending_cancels);
	g_free(pool->name);
	g_free(pool->owner_key);
	g_free(pool->state_key);
	g_free(pool->queue_prefix);
	g_free(pool);
}

void bw_pool_destroy(bw_pool_t *pool)
{
	if (!pool || pool->closed)
		return;
	pool->closed = true;
	bw_watch_cache_destroy(pool->job_cache);
	bw_removal_destroy(pool->removal);
	bw_shortening_destroy(pool->shortening);
	ev_timer_stop(pool->env.loop, &pool->tick_timer);
	ev_timer_stop(pool->env.loop, &pool->save_timer);
	ev_timer_stop(pool->env.loop, &pool->load_timer);
	ev_prepare_stop(pool->env.loop, &pool->prepare);
	pool_unref(pool);
}

void pool_report_superseded(bw_pool_t *pool)
{
	if (pool->closed)
		return;
	if (pool->sched)
		bw_sched_allow_orders(pool->sched, false);
	pool->ops.superseded(pool->ctx, pool->name);
}

static void load(bw_pool_t *pool)
{
	pool->refs++;
	pool->env.store.ops->get(pool->env.store.impl, pool->state_key,
				 on_loaded, pool);
}

static void on_load_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)loop;
	(void)revents;
	load(timer->data);
}

/* Without the state nothing is known of what runs, so nothing is done. */
static void refuse_state(bw_pool_t *pool)
{
	bw_event(BW_EVENT_POOL_STATE_UNREADABLE, "pool=%s error=\"%s\"",
		 pool->name, bw_status_message());
	g_clear_pointer(&pool->sched, bw_sched_destroy);
	pool->unreadable = true;
}

static bool load_state(bw_pool_t *pool, const bw_store_kv_t *kv)
{
	const bw_store_seen_t *seen = &pool->env.seen;

	pool->state_revision = kv->mod_revision;
	if (bw_sched_load(pool->sched, bw_clock_now_ms(),
			  (const uint8_t *)kv->value, kv->bytes) != BW_OK)
		return false;
	if (pool->state_revision <= seen->revision)
		bw_sched_earlier_saved_by(pool->sched, seen->ms);
	return true;
}

static void apply_state(bw_pool_t *pool, const bw_store_reply_t *reply)
{
	static const bw_watch_cache_ops_t cache_ops = { on_key_changed,
							on_jobs_synced,
							on_store_result };

	create_sched(pool);
	if (reply->status == BW_OK && reply->kv_count > 0 &&
	    !load_state(pool, &reply->kvs[0])) {
		refuse_state(pool);
		return;
	}
	bw_event(BW_EVENT_POOL_LOADED,
		 "pool=%s fence=%" G_GINT64_FORMAT " revision=%" G_GINT64_FORMAT
		 " saved_by=%" G_GINT64_FORMAT " handed_over=%d",
		 pool->name, pool->fence, pool->state_revision,
		 bw_sched_saved_by(pool->sched),
		 bw_sched_handed_over_by(pool->sched) != 0);
	if (pool->ops.loaded)
		pool->ops.loaded(pool->ctx, pool);
	pool->job_cache =
		bw_watch_cache_create(pool->env.loop, &pool->env.store,
				      pool->queue_prefix, &cache_ops, pool);
	pool->removal = bw_removal_create(&pool->env.store, pool->name,
					  pool->owner_key, pool->fence);
	pool->shortening = bw_shortening_create(&pool->env.store, pool->name,
						pool->owner_key, pool->fence);
	ev_timer_start(pool->env.loop, &pool->tick_timer);
	ev_prepare_start(pool->env.loop, &pool->prepare);
}

static void on_loaded(void *ctx, const bw_store_reply_t *reply)
{
	bw_pool_t *pool = ctx;

	if (!pool->closed) {
		pool->ops.store_result(pool->ctx, reply->status);
		if (reply->status == BW_OK || reply->status == BW_ENOTFOUND) {
			apply_state(pool, reply);
		} else {
			ev_timer_set(&pool->load_timer, LOAD_RETRY_S, 0.0);
			ev_timer_start(pool->env.loop, &pool->load_timer);
		}
	}
	pool_unref(pool);
}

/*
 * Adds a job unless it was accepted more than @p age_max_ms ago, or its end.
 * The revision is that of the record, 0 if it is not known; a record with a
 * specification is written once, so that the revision has created it.
 */
static void apply_job(bw_pool_t *pool, const char *id, const uint8_t *data,
		      size_t bytes, int64_t revision, int64_t age_max_ms)
{
	bw_job_record_t record;
	int64_t now_ms = bw_clock_now_ms();

	if (bw_job_record_unpack(data, bytes, &record) != BW_OK) {
		bw_event(BW_EVENT_POOL_JOB_UNREADABLE,
			 "pool=%s job=%s error=\"%s\"", pool->name, id,
			 bw_status_message());
		bw_sched_add_unreadable(pool->sched, id);
		return;
	}
	if (!record.spec) {
		bw_sched_add_ended(pool->sched, now_ms, id, record.state);
		bw_sched_set_job_tenant(pool->sched, id, record.tenant);
		g_hash_table_remove(pool->pending_cancels, id);
		bw_job_record_clear(&record);
		return;
	}
	if (bw_clock_wall_ms() - record.accepted_ms > age_max_ms) {
		bw_event(BW_EVENT_POOL_NOTICE_OLD, "pool=%s job=%s", pool->name,
			 id);
		bw_job_record_clear(&record);
		return;
	}
	record.revision = (uint64_t)revision;
	bw_sched_add_job(pool->sched, now_ms, bw_clock_wall_ms(), id, &record);
	bw_sched_set_job_tenant(pool->sched, id, record.tenant);
	bw_job_record_clear(&record);
	if (g_hash_table_remove(pool->pending_cancels, id))
		bw_sched_cancel(pool->sched, now_ms, id);
}

static void apply_cancel(bw_pool_t *pool, const char *id)
{
	if (bw_sched_job_state(pool->sched, id) == BW_JOB_UNKNOWN)
		g_hash_table_add(pool->pending_cancels, g_strdup(id));
	else
		bw_sched_cancel(pool->sched, bw_clock_now_ms(), id);
}

static void on_key_changed(void *ctx, const bw_store_kv_t *kv)
{
	bw_pool_t *pool = ctx;
	char id[BW_JOB_ID_CHARS + 1];
	bw_job_key_kind_t kind;

	if (kv->deleted)
		return;
	pool->dirty = true;
	kind = bw_job_key_parse(pool->queue_prefix, kv->key, id);
	if (kind == BW_JOB_KEY_RECORD)
		apply_job(pool, id, (const uint8_t *)kv->value, kv->bytes,
			  kv->mod_revision, INT64_MAX);
	else if (kind == BW_JOB_KEY_CANCELLATION)
		apply_cancel(pool, id);
}

/*
 * Until all jobs have been read, notices are ignored: the read includes the
 * job.  A node that was suspended may send a late notice of a job that has
 * finished and been removed, so old notices are ignored too.
 */
void bw_pool_add_job(bw_pool_t *pool, const char *id, const uint8_t *record,
		     size_t bytes)
{
	if (!pool->jobs_loaded ||
	    bw_sched_job_state(pool->sched, id) != BW_JOB_UNKNOWN)
		return;
	pool->dirty = true;
	apply_job(pool, id, record, bytes, 0, DATA_AGE_MAX_MS);
}

void bw_pool_cancel_job(bw_pool_t *pool, const char *id)
{
	if (!pool->jobs_loaded)
		return;
	pool->dirty = true;
	apply_cancel(pool, id);
}

static void on_jobs_synced(void *ctx)
{
	bw_pool_t *pool = ctx;

	pool->jobs_loaded = true;
	pool->dirty = true;
}

static void on_store_result(void *ctx, bw_status_t status)
{
	bw_pool_t *pool = ctx;

	pool->ops.store_result(pool->ctx, status);
}

const char *bw_pool_name(const bw_pool_t *pool)
{
	return pool->name;
}

int64_t bw_pool_fence(const bw_pool_t *pool)
{
	return pool->fence;
}

int64_t bw_pool_owned_since_ms(const bw_pool_t *pool)
{
	return pool->since_ms;
}

bw_sched_t *bw_pool_sched(bw_pool_t *pool)
{
	return pool->sched;
}

bool bw_pool_unreadable(const bw_pool_t *pool)
{
	return pool->unreadable;
}

bool bw_pool_awaits_predecessor(const bw_pool_t *pool)
{
	if (pool->predecessor_stopped)
		return false;
	return pool->unreadable ||
	       (pool->sched && !bw_sched_recovered(pool->sched));
}

void bw_pool_predecessor_stopped(bw_pool_t *pool, int64_t now_ms)
{
	pool->predecessor_stopped = true;
	if (pool->sched)
		bw_sched_predecessor_stopped(pool->sched, now_ms);
}

bool bw_pool_jobs_loaded(const bw_pool_t *pool)
{
	return pool->jobs_loaded;
}

void bw_pool_set_directory_loaded(bw_pool_t *pool)
{
	pool->directory_loaded = true;
	pool->dirty = true;
}

void bw_pool_wake(bw_pool_t *pool)
{
	pool->dirty = true;
}

void bw_pool_set_outage(bw_pool_t *pool, bool outage)
{
	if (pool->sched)
		bw_sched_set_outage(pool->sched, outage);
}

void bw_pool_allow_orders(bw_pool_t *pool, bool allowed)
{
	if (pool->sched && !pool->stopping)
		bw_sched_allow_orders(pool->sched, allowed);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)loop;
	(void)revents;
	((bw_pool_t *)timer->data)->dirty = true;
}

/* Events that waited during a suspension come before any timer, so the gap is
 * looked for here, before orders are sent for them. */
static void run_sched(bw_pool_t *pool, int64_t now_ms)
{
	int64_t gap_ms = now_ms - pool->last_run_ms;

	if (pool->last_run_ms > 0 && gap_ms > SUSPENDED_MS)
		bw_sched_suspended(pool->sched, now_ms, gap_ms);
	pool->last_run_ms = now_ms;
	bw_sched_run(pool->sched, now_ms, bw_clock_wall_ms());
}

static void on_prepare(struct ev_loop *loop, ev_prepare *prepare, int revents)
{
	bw_pool_t *pool = prepare->data;

	(void)loop;
	(void)revents;
	if (!pool->dirty)
		return;
	pool->dirty = false;
	if (!pool->jobs_loaded || !pool->directory_loaded)
		return;
	pool->refs++;
	run_sched(pool, bw_clock_now_ms());
	if (!pool->recovered && bw_sched_recovered(pool->sched)) {
		pool->recovered = true;
		bw_metrics_observe(BW_MH_TAKEOVER,
				   bw_clock_now_ms() - pool->since_ms);
	}
	if (!pool->closed && !pool->stopping) {
		bw_shortening_run(pool->shortening, bw_clock_now_ms(),
				  pool->sched);
		bw_removal_run(pool->removal, bw_clock_now_ms(), pool->sched);
	}
	if (!pool->closed)
		schedule_save(pool);
	pool_unref(pool);
}

static void on_save_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)loop;
	(void)revents;
	save(timer->data);
}

/* Returns the shortest time between saves that the node's link allows; the last
 * save of an owner that stops does not wait. */
static int64_t link_interval_ms(const bw_pool_t *pool)
{
	int64_t link_kbits = pool->env.settings->link_kbits;
	double bits = (double)pool->save_bytes * SAVE_BITS_PER_BYTE;

	if (link_kbits <= 0 || pool->stopping)
		return 0;
	return (int64_t)(bits / (double)link_kbits) * SAVE_LINK_SHARE;
}

/* Saves changes now, or once the shortest time between saves has passed. */
static void schedule_save(bw_pool_t *pool)
{
	int64_t now_ms = bw_clock_now_ms();
	int64_t interval_ms = bw_sched_urgent(pool->sched)
				      ? SAVE_URGENT_INTERVAL_MS
				      : SAVE_INTERVAL_MS;
	int64_t pause_ms = MAX(interval_ms, link_interval_ms(pool));
	int64_t due_ms =
		MAX(pool->save_started_ms + pause_ms, pool->save_not_before_ms);

	if (pool->save_in_progress || pool->closed ||
	    pool->saving_version == bw_sched_version(pool->sched))
		return;
	ev_timer_stop(pool->env.loop, &pool->save_timer);
	if (now_ms >= due_ms) {
		save(pool);
		return;
	}
	ev_timer_set(&pool->save_timer, (double)(due_ms - now_ms) / 1000.0,
		     0.0);
	ev_timer_start(pool->env.loop, &pool->save_timer);
}

static void save(bw_pool_t *pool)
{
	bw_store_expect_t expects[] = {
		{ pool->owner_key, pool->fence },
		{ pool->state_key, pool->state_revision },
	};
	bw_store_write_t write = { .key = pool->state_key };
	bw_store_txn_t txn = { expects, G_N_ELEMENTS(expects), &write, 1 };
	uint8_t *data;

	if (pool->save_in_progress)
		return;
	pool->final_save = pool->stopping;
	data = bw_sched_pack(pool->sched, &write.bytes);
	write.value = (const char *)data;
	pool->saving_version = bw_sched_version(pool->sched);
	pool->save_started_ms = bw_clock_now_ms();
	pool->save_bytes = write.bytes;
	pool->save_in_progress = true;
	pool->refs++;
	pool->env.store.ops->txn(pool->env.store.impl, &txn, on_saved, pool);
	g_free(data);
}

/* Handles a save refused because the owner or the state key has changed. */
static void handle_save_conflict(bw_pool_t *pool, const bw_store_reply_t *reply)
{
	int64_t owner_revision = 0;
	int64_t state_revision = 0;
	size_t i;

	for (i = 0; i < reply->kv_count; i++) {
		if (!strcmp(reply->kvs[i].key, pool->owner_key))
			owner_revision = reply->kvs[i].mod_revision;
		if (!strcmp(reply->kvs[i].key, pool->state_key))
			state_revision = reply->kvs[i].mod_revision;
	}
	if (owner_revision != pool->fence) {
		pool_report_superseded(pool);
		return;
	}
	/* Only the owner writes the state, so an earlier save of this node
	 * whose answer was lost did take effect. */
	pool->state_revision = state_revision;
}

static void handle_save_reply(bw_pool_t *pool, const bw_store_reply_t *reply)
{
	uint64_t version = pool->saving_version;

	pool->ops.store_result(pool->ctx, reply->status);
	if (reply->status == BW_OK && reply->succeeded) {
		pool->state_revision = reply->revision;
		bw_metrics_observe(BW_MH_ACKNOWLEDGE,
				   bw_clock_now_ms() - pool->save_started_ms);
		bw_sched_owned_at(pool->sched, (uint64_t)reply->revision);
		bw_sched_saved(pool->sched, bw_clock_now_ms(), version);
		/* The next owner learns of later changes from the workers. */
		if (pool->stopping && pool->final_save)
			pool->ops.stopped(pool->ctx, pool->name);
		return;
	}
	bw_sched_save_failed(pool->sched);
	pool->saving_version = 0;
	pool->save_not_before_ms = bw_clock_now_ms() + SAVE_RETRY_MS;
	if (reply->status == BW_OK) {
		pool->save_not_before_ms = 0;
		handle_save_conflict(pool, reply);
	} else {
		bw_event(BW_EVENT_POOL_SAVE_FAILED,
			 "pool=%s status=%s cause=%s "
			 "queued_ms=%" G_GINT64_FORMAT
			 " took_ms=%" G_GINT64_FORMAT,
			 pool->name, bw_status_name(reply->status),
			 bw_cause_name(reply->trace.cause),
			 reply->trace.queued_ms, reply->trace.took_ms);
	}
}

static void on_saved(void *ctx, const bw_store_reply_t *reply)
{
	bw_pool_t *pool = ctx;

	pool->save_in_progress = false;
	if (!pool->closed)
		handle_save_reply(pool, reply);
	if (!pool->closed) {
		pool->dirty = true;
		if (pool->stopping)
			schedule_save(pool);
	}
	pool_unref(pool);
}

void bw_pool_stop(bw_pool_t *pool)
{
	if (!pool->sched || !pool->jobs_loaded) {
		pool->ops.stopped(pool->ctx, pool->name);
		return;
	}
	bw_sched_hand_over(pool->sched);
	pool->stopping = true;
	pool->save_started_ms = 0;
	schedule_save(pool);
}
