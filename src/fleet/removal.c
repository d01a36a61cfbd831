#include "fleet/removal.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/event.h"
#include "fleet/pool.h"

/** Jobs in one transaction: two keys each, within what a store takes. */
#define JOBS_MAX 15
/** Between transactions while more jobs are due. */
#define FULL_GAP_MS 200
/** Between transactions otherwise, and after one that failed. */
#define GAP_MS 1000

struct bw_removal {
	bw_store_t store;
	char *pool;
	char *owner_key;
	int64_t fence;
	bw_sched_t *sched;
	char ids[JOBS_MAX]
		[BW_JOB_ID_CHARS + 1]; /**< In the call in progress. */
	uint32_t count;
	int64_t next_ms;
	bool out;
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

static void release(bw_removal_t *r)
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
	if (!r->out)
		release(r);
}

static void take_reply(bw_removal_t *r, const bw_store_reply_t *reply)
{
	int64_t now_ms = bw_clock_now_ms();
	bool done = reply->status == BW_OK && reply->succeeded;
	uint32_t i;

	r->next_ms =
		now_ms + (done && r->count == JOBS_MAX ? FULL_GAP_MS : GAP_MS);
	/* Not even a lost answer matters: removing again has no effect. */
	bw_event(BW_EVENT_POOL_REMOVED, "pool=%s jobs=%u status=%s done=%d",
		 r->pool, r->count, bw_status_name(reply->status), done);
	for (i = 0; done && i < r->count; i++)
		bw_sched_job_removed(r->sched, now_ms, r->ids[i]);
}

static void on_reply(void *ctx, const bw_store_reply_t *reply)
{
	bw_removal_t *r = ctx;

	r->out = false;
	if (r->closed)
		release(r);
	else
		take_reply(r, reply);
}

static void send(bw_removal_t *r)
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
	r->out = true;
	r->store.ops->txn(r->store.impl, &txn, on_reply, r);
	for (i = 0; i < txn.write_count; i++)
		g_free(keys[i]);
}

void bw_removal_run(bw_removal_t *r, int64_t now_ms, bw_sched_t *sched)
{
	const char *ids[JOBS_MAX];
	uint32_t i;

	if (r->out || now_ms < r->next_ms)
		return;
	r->sched = sched;
	r->count = bw_sched_removable(sched, now_ms, ids, JOBS_MAX);
	for (i = 0; i < r->count; i++)
		g_strlcpy(r->ids[i], ids[i], sizeof(r->ids[i]));
	if (r->count > 0)
		send(r);
}
