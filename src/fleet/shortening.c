#include "fleet/shortening.h"

#include <glib.h>

#include "base/clock.h"
#include "base/event.h"
#include "fleet/job_batch.h"

#define JOBS_MAX BW_JOB_BATCH_KEYS_MAX
/** Interval in which due records are counted. */
#define CHECK_INTERVAL_MS 200
/** Longest wait of a due record for others, and pause after a failure. */
#define WAIT_MS 1000

struct bw_shortening {
	bw_job_batch_t *batch;
	bw_sched_t *sched;
	int64_t next_check_ms;
	int64_t waiting_since_ms; /**< 0: no record is due. */
};

static void on_done(void *ctx, const bw_job_batch_result_t *result);

bw_shortening_t *bw_shortening_create(const bw_store_t *store, const char *pool,
				      const char *owner_key, int64_t fence)
{
	bw_shortening_t *sh = g_new0(bw_shortening_t, 1);

	sh->batch =
		bw_job_batch_create(store, pool, owner_key, fence, on_done, sh);
	return sh;
}

void bw_shortening_destroy(bw_shortening_t *sh)
{
	if (!sh)
		return;
	bw_job_batch_destroy(sh->batch);
	g_free(sh);
}

static void on_done(void *ctx, const bw_job_batch_result_t *result)
{
	bw_shortening_t *sh = ctx;
	int64_t now_ms = bw_clock_now_ms();
	uint32_t i;

	sh->next_check_ms =
		now_ms + (result->done ? CHECK_INTERVAL_MS : WAIT_MS);
	/* After a lost answer the same records are written again. */
	bw_event(BW_EVENT_POOL_SHORTENED, "pool=%s jobs=%u status=%s done=%d",
		 result->pool, result->count, bw_status_name(result->status),
		 result->done);
	for (i = 0; result->done && i < result->count; i++)
		bw_sched_short_stored(sh->sched, result->ids[i]);
}

static void send_records(bw_shortening_t *sh, const bw_ended_job_t *jobs,
			 uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		size_t bytes;
		uint8_t *record = bw_job_record_pack_short(
			jobs[i].state, jobs[i].tenant, &bytes);

		bw_job_batch_replace(sh->batch, jobs[i].id, record, bytes);
		bw_sched_short_sent(sh->sched, jobs[i].id);
	}
	bw_job_batch_send(sh->batch);
}

void bw_shortening_run(bw_shortening_t *sh, int64_t now_ms, bw_sched_t *sched)
{
	bw_ended_job_t jobs[JOBS_MAX];
	uint32_t count;

	if (bw_job_batch_pending(sh->batch) || now_ms < sh->next_check_ms)
		return;
	sh->next_check_ms = now_ms + CHECK_INTERVAL_MS;
	sh->sched = sched;
	count = bw_sched_shortenable(sched, now_ms, jobs, JOBS_MAX);
	if (count == 0)
		return;
	if (sh->waiting_since_ms == 0)
		sh->waiting_since_ms = now_ms;
	if (count < JOBS_MAX && now_ms - sh->waiting_since_ms < WAIT_MS)
		return;
	sh->waiting_since_ms = 0;
	send_records(sh, jobs, count);
}
