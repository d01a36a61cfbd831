#include "fleet/removal.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/event.h"
#include "fleet/pool.h"

/** Jobs per transaction, with two keys each; stores limit the key count. */
#define JOBS_MAX 15
/** Interval of transactions while more jobs are due. */
#define BACKLOG_INTERVAL_MS 200
/** Interval of transactions otherwise, and after a failure. */
#define INTERVAL_MS 1000

struct bw_removal {
	bw_store_t store;
	char *pool;
	char *owner_key;
	int64_t fence;
	bw_sched_t *sched;
	char ids[JOBS_MAX]
		[BW_JOB_ID_CHARS + 1]; /**< Jobs of the pending call. */
	uint32_t count;
	int64_t next_ms;
	bool call_pending;
	bool closed;
};

bw_removal_t *bw_removal_create(const bw_store_t *store, const char *pool,
				const char *owner_key, int64_t fence)
{
	bw_removal_t *r = g_new0(bw_removal_t, 1);

	r->store = *store;
	r->pool = g_strdup(pool);
	r->owner_key = g_strdup(owner_key);
	r->fence = fence;
	return r;
}

static void removal_free(bw_removal_t *r)
{
	g_free(r->pool);
	g_free(r->owner_key);
	g_free(r);
}

void bw_removal_destroy(bw_removal_t *r)
{
	if (!r)
		return;
	r->closed = true;
	if (!r->call_pending)
		removal_free(r);
}

static void handle_reply(bw_removal_t *r, const bw_store_reply_t *reply)
{
	int64_t now_ms = bw_clock_now_ms();
	bool done = reply->status == BW_OK && reply->succeeded;
	uint32_t i;

	r->next_ms =
		now_ms + (done && r->count == JOBS_MAX ? BACKLOG_INTERVAL_MS
						       : INTERVAL_MS);
	/* After a lost answer the removal is repeated, which is harmless. */
	bw_event(BW_EVENT_POOL_REMOVED, "pool=%s jobs=%u status=%s done=%d",
		 r->pool, r->count, bw_status_name(reply->status), done);
	for (i = 0; done && i < r->count; i++)
		bw_sched_job_removed(r->sched, now_ms, r->ids[i]);
}

static void on_reply(void *ctx, const bw_store_reply_t *reply)
{
	bw_removal_t *r = ctx;

	r->call_pending = false;
	if (r->closed)
		removal_free(r);
	else
		handle_reply(r, reply);
}

static void send_removal(bw_removal_t *r)
{
	bw_store_expect_t expect = { r->owner_key, r->fence };
	bw_store_write_t writes[2 * JOBS_MAX] = { 0 };
	bw_store_txn_t txn = { &expect, 1, writes, 2 * r->count };
	char *keys[2 * JOBS_MAX + 1] = { 0 };
	uint32_t i;

	for (i = 0; i < r->count; i++) {
		keys[2 * i] = bw_pool_job_key(r->pool, r->ids[i]);
		keys[2 * i + 1] = bw_pool_cancel_key(r->pool, r->ids[i]);
	}
	for (i = 0; i < txn.write_count; i++)
		writes[i].key = keys[i];
	r->call_pending = true;
	r->store.ops->txn(r->store.impl, &txn, on_reply, r);
	for (i = 0; i < txn.write_count; i++)
		g_free(keys[i]);
}

void bw_removal_run(bw_removal_t *r, int64_t now_ms, bw_sched_t *sched)
{
	const char *ids[JOBS_MAX];
	uint32_t i;

	if (r->call_pending || now_ms < r->next_ms)
		return;
	r->sched = sched;
	r->count = bw_sched_removable(sched, now_ms, ids, JOBS_MAX);
	for (i = 0; i < r->count; i++)
		g_strlcpy(r->ids[i], ids[i], sizeof(r->ids[i]));
	if (r->count > 0)
		send_removal(r);
}
