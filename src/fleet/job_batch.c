#include "fleet/job_batch.h"

#include <glib.h>

#include "fleet/job_keys.h"

struct bw_job_batch {
	bw_store_t store;
	char *pool;
	char *owner_key;
	int64_t fence;
	bw_job_batch_done_fn done;
	void *ctx;
	char *ids[BW_JOB_BATCH_KEYS_MAX];
	uint32_t count;
	bw_store_write_t writes[BW_JOB_BATCH_KEYS_MAX]; /**< Until the call. */
	uint32_t write_count;
	bool call_pending;
	bool closed;
};

static void add_write(bw_job_batch_t *b, char *key, uint8_t *value,
		      size_t bytes);
static void on_reply(void *ctx, const bw_store_reply_t *reply);

bw_job_batch_t *bw_job_batch_create(const bw_store_t *store, const char *pool,
				    const char *owner_key, int64_t fence,
				    bw_job_batch_done_fn done, void *ctx)
{
	bw_job_batch_t *b = g_new0(bw_job_batch_t, 1);

	b->store = *store;
	b->pool = g_strdup(pool);
	b->owner_key = g_strdup(owner_key);
	b->fence = fence;
	b->done = done;
	b->ctx = ctx;
	return b;
}

static void clear_writes(bw_job_batch_t *b)
{
	uint32_t i;

	for (i = 0; i < b->write_count; i++) {
		g_free((char *)b->writes[i].key);
		g_free((char *)b->writes[i].value);
	}
	b->write_count = 0;
}

static void clear_ids(bw_job_batch_t *b)
{
	while (b->count > 0)
		g_free(b->ids[--b->count]);
}

static void batch_free(bw_job_batch_t *b)
{
	clear_writes(b);
	clear_ids(b);
	g_free(b->pool);
	g_free(b->owner_key);
	g_free(b);
}

void bw_job_batch_destroy(bw_job_batch_t *b)
{
	if (!b)
		return;
	b->closed = true;
	if (!b->call_pending)
		batch_free(b);
}

bool bw_job_batch_pending(const bw_job_batch_t *b)
{
	return b->call_pending;
}

static void add_write(bw_job_batch_t *b, char *key, uint8_t *value,
		      size_t bytes)
{
	g_assert(b->write_count < BW_JOB_BATCH_KEYS_MAX);
	b->writes[b->write_count++] = (bw_store_write_t){
		.key = key, .value = (const char *)value, .bytes = bytes
	};
}

void bw_job_batch_replace(bw_job_batch_t *b, const char *id, uint8_t *record,
			  size_t bytes)
{
	add_write(b, bw_job_key(b->pool, id), record, bytes);
	b->ids[b->count++] = g_strdup(id);
}

void bw_job_batch_remove(bw_job_batch_t *b, const char *id)
{
	add_write(b, bw_job_key(b->pool, id), NULL, 0);
	add_write(b, bw_cancel_key(b->pool, id), NULL, 0);
	add_write(b, bw_job_location_key(id), NULL, 0);
	b->ids[b->count++] = g_strdup(id);
}

static void report(bw_job_batch_t *b, const bw_store_reply_t *reply)
{
	bw_job_batch_result_t result = {
		.pool = b->pool,
		.status = reply->status,
		.done = reply->status == BW_OK && reply->succeeded,
		.ids = (const char *const *)b->ids,
		.count = b->count,
	};

	b->done(b->ctx, &result);
	clear_ids(b);
}

static void on_reply(void *ctx, const bw_store_reply_t *reply)
{
	bw_job_batch_t *b = ctx;

	b->call_pending = false;
	if (b->closed)
		batch_free(b);
	else
		report(b, reply);
}

void bw_job_batch_send(bw_job_batch_t *b)
{
	bw_store_expect_t expect = { b->owner_key, b->fence };
	bw_store_txn_t txn = { &expect, 1, b->writes, b->write_count };

	b->call_pending = true;
	b->store.ops->txn(b->store.impl, &txn, on_reply, b);
	clear_writes(b);
}
