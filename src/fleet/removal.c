#include "fleet/removal.h"

#include <glib.h>

#include "base/clock.h"
#include "base/event.h"
#include "fleet/job_batch.h"

#define JOBS_MAX (BW_JOB_BATCH_KEYS_MAX / BW_JOB_BATCH_KEYS_REMOVED)
/** Interval of transactions while more jobs are due. */
#define BACKLOG_INTERVAL_MS 200
/** Interval of transactions otherwise, and after a failure. */
#define INTERVAL_MS 1000

struct bw_removal {
	bw_job_batch_t *batch;
	bw_sched_t *sched;
	int64_t next_ms;
};

static void on_done(void *ctx, const bw_job_batch_result_t *result);

bw_removal_t *bw_removal_create(const bw_store_t *store, const char *pool,
				const char *owner_key, int64_t fence)
{
	bw_removal_t *r = g_new0(bw_removal_t, 1);

	r->batch =
		bw_job_batch_create(store, pool, owner_key, fence, on_done, r);
	return r;
}

void bw_removal_destroy(bw_removal_t *r)
{
	if (!r)
		return;
	bw_job_batch_destroy(r->batch);
	g_free(r);
}

static void on_done(void *ctx, const bw_job_batch_result_t *result)
{
	bw_removal_t *r = ctx;
	int64_t now_ms = bw_clock_now_ms();
	bool more = result->done && result->count == JOBS_MAX;
	uint32_t i;

	r->next_ms = now_ms + (more ? BACKLOG_INTERVAL_MS : INTERVAL_MS);
	/* After a lost answer the removal is repeated, which is harmless. */
	bw_event(BW_EVENT_POOL_REMOVED, "pool=%s jobs=%u status=%s done=%d",
		 result->pool, result->count, bw_status_name(result->status),
		 result->done);
	for (i = 0; result->done && i < result->count; i++)
		bw_sched_job_removed(r->sched, now_ms, result->ids[i]);
}

void bw_removal_run(bw_removal_t *r, int64_t now_ms, bw_sched_t *sched)
{
	const char *ids[JOBS_MAX];
	uint32_t count;
	uint32_t i;

	if (bw_job_batch_pending(r->batch) || now_ms < r->next_ms)
		return;
	r->sched = sched;
	count = bw_sched_removable(sched, now_ms, ids, JOBS_MAX);
	for (i = 0; i < count; i++)
		bw_job_batch_remove(r->batch, ids[i]);
	if (count > 0)
		bw_job_batch_send(r->batch);
}
