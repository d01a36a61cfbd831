#include "fleet/cancel_marks.h"

#include <glib.h>

#include "fleet/job_keys.h"
#include "fleet/job_location.h"

/** Least time that a mark stays: a call to the store is carried out within a
 *  fraction of it, or never. */
#define MARK_MS 60000
/** Marks of this long share a lease, which is not renewed. */
#define LEASE_MS (2 * MARK_MS)

struct bw_cancel_marks {
	bw_store_t store;
	int64_t lease_id; /**< 0: none. */
	int64_t use_until_ms; /**< Later marks would end too soon. */
};

/** A mark in progress. */
typedef struct mark {
	bw_cancel_marks_t *marks;
	char id[BW_JOB_ID_CHARS + 1];
	int64_t asked_ms;
	bw_store_done_fn done;
	void *ctx;
} mark_t;

bw_cancel_marks_t *bw_cancel_marks_create(const bw_store_t *store)
{
	bw_cancel_marks_t *marks = g_new0(bw_cancel_marks_t, 1);

	marks->store = *store;
	return marks;
}

void bw_cancel_marks_destroy(bw_cancel_marks_t *marks)
{
	g_free(marks);
}

static void finish(mark_t *mark, const bw_store_reply_t *reply)
{
	mark->done(mark->ctx, reply);
	g_free(mark);
}

static void on_written(void *ctx, const bw_store_reply_t *reply)
{
	mark_t *mark = ctx;

	/* The store has ended the lease, as it may in an outage. */
	if (reply->status == BW_ENOTFOUND)
		mark->marks->lease_id = 0;
	finish(mark, reply);
}

static void write_mark(mark_t *mark)
{
	bw_cancel_marks_t *marks = mark->marks;
	char none[] = "";
	const bw_job_location_t location = { .pool = none, .cancelled = true };
	char *key = bw_job_location_key(mark->id);
	size_t bytes;
	uint8_t *record = bw_job_location_pack(&location, &bytes);
	const bw_store_expect_t expect = { key, 0 };
	const bw_store_write_t write = { key, (const char *)record, bytes,
					 marks->lease_id };
	const bw_store_txn_t txn = { &expect, 1, &write, 1 };

	marks->store.ops->txn(marks->store.impl, &txn, on_written, mark);
	g_free(record);
	g_free(key);
}

static void on_granted(void *ctx, const bw_store_reply_t *reply)
{
	mark_t *mark = ctx;
	bw_cancel_marks_t *marks = mark->marks;

	if (reply->status != BW_OK) {
		finish(mark, reply);
		return;
	}
	marks->lease_id = reply->lease_id;
	marks->use_until_ms = mark->asked_ms + reply->ttl_ms - MARK_MS;
	write_mark(mark);
}

void bw_cancel_marks_add(bw_cancel_marks_t *marks, const char *id,
			 int64_t now_ms, bw_store_done_fn done, void *ctx)
{
	mark_t *mark = g_new0(mark_t, 1);

	mark->marks = marks;
	g_strlcpy(mark->id, id, sizeof(mark->id));
	mark->asked_ms = now_ms;
	mark->done = done;
	mark->ctx = ctx;
	if (marks->lease_id != 0 && now_ms < marks->use_until_ms)
		write_mark(mark);
	else
		marks->store.ops->lease_grant(marks->store.impl, LEASE_MS,
					      on_granted, mark);
}
