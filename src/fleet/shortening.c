#include "fleet/shortening.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/event.h"
#include "fleet/pool.h"

/** Jobs per transaction; with the claim they must stay below 32 entries. */
#define JOBS_MAX 30
/** Interval in which due records are counted. */
#define CHECK_INTERVAL_MS 200
/** Longest wait of a due record for others, and pause after a failure. */
#define WAIT_MS 1000

struct bw_shortening {
	bw_store_t store;
	char *pool;
	char *owner_key;
	int64_t fence;
	bw_sched_t *sched;
	char ids[JOBS_MAX]
		[BW_JOB_ID_CHARS + 1]; /**< Jobs of the pending call. */
	uint32_t count;
	int64_t next_check_ms;
	int64_t waiting_since_ms; /**< 0: no record is due. */
	bool call_pending;
	bool closed;
};

bw_shortening_t *bw_shortening_create(const bw_store_t *store, const char *pool,
				      const char *owner_key, int64_t fence)
{
	bw_shortening_t *sh = g_new0(bw_shortening_t, 1);

	sh->store = *store;
	sh->pool = g_strdup(pool);
	sh->owner_key = g_strdup(owner_key);
	sh->fence = fence;
	return sh;
}

static void shortening_free(bw_shortening_t *sh)
{
	g_free(sh->pool);
	g_free(sh->owner_key);
	g_free(sh);
}

void bw_shortening_destroy(bw_shortening_t *sh)
{
	if (!sh)
		return;
	sh->closed = true;
	if (!sh->call_pending)
		shortening_free(sh);
}

static void handle_reply(bw_shortening_t *sh, const bw_store_reply_t *reply)
{
	int64_t now_ms = bw_clock_now_ms();
	bool done = reply->status == BW_OK && reply->succeeded;
	uint32_t i;

	sh->next_check_ms = now_ms + (done ? CHECK_INTERVAL_MS : WAIT_MS);
	/* After a lost answer the same records are written again. */
	bw_event(BW_EVENT_POOL_SHORTENED, "pool=%s jobs=%u status=%s done=%d",
		 sh->pool, sh->count, bw_status_name(reply->status), done);
	for (i = 0; done && i < sh->count; i++)
		bw_sched_short_stored(sh->sched, sh->ids[i]);
}

static void on_reply(void *ctx, const bw_store_reply_t *reply)
{
	bw_shortening_t *sh = ctx;

	sh->call_pending = false;
	if (sh->closed)
		shortening_free(sh);
	else
		handle_reply(sh, reply);
}

static void send_records(bw_shortening_t *sh, const bw_ended_job_t *jobs)
{
	bw_store_expect_t expect = { sh->owner_key, sh->fence };
	bw_store_write_t writes[JOBS_MAX] = { 0 };
	bw_store_txn_t txn = { &expect, 1, writes, sh->count };
	char *keys[JOBS_MAX] = { 0 };
	uint8_t *records[JOBS_MAX] = { 0 };
	uint32_t i;

	for (i = 0; i < sh->count; i++) {
		g_strlcpy(sh->ids[i], jobs[i].id, sizeof(sh->ids[i]));
		keys[i] = bw_pool_job_key(sh->pool, jobs[i].id);
		records[i] = bw_job_record_pack_short(jobs[i].state,
						      &writes[i].bytes);
		writes[i].key = keys[i];
		writes[i].value = (const char *)records[i];
		bw_sched_short_sent(sh->sched, jobs[i].id);
	}
	sh->call_pending = true;
	sh->store.ops->txn(sh->store.impl, &txn, on_reply, sh);
	for (i = 0; i < txn.write_count; i++) {
		g_free(keys[i]);
		g_free(records[i]);
	}
}

void bw_shortening_run(bw_shortening_t *sh, int64_t now_ms, bw_sched_t *sched)
{
	bw_ended_job_t jobs[JOBS_MAX];

	if (sh->call_pending || now_ms < sh->next_check_ms)
		return;
	sh->next_check_ms = now_ms + CHECK_INTERVAL_MS;
	sh->sched = sched;
	sh->count = bw_sched_shortenable(sched, now_ms, jobs, JOBS_MAX);
	if (sh->count == 0)
		return;
	if (sh->waiting_since_ms == 0)
		sh->waiting_since_ms = now_ms;
	if (sh->count < JOBS_MAX && now_ms - sh->waiting_since_ms < WAIT_MS)
		return;
	sh->waiting_since_ms = 0;
	send_records(sh, jobs);
}
