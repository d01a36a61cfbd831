#include "fleet/cancel_marks.h"

#include <glib.h>

#include "fleet/job_keys.h"
#include "fleet/job_location.h"

/** Least time that a mark stays: a call to the store is carried out within a
 *  fraction of it, or never. */
#define MARK_MS 60000
/** Old marks that are deleted beside a new one, so that they get fewer. */
#define DELETIONS_MAX 2

struct bw_cancel_marks {
	bw_store_t store;
	GQueue written; /**< mark_t, the oldest first. */
};

/** A mark that is being written, or was. */
typedef struct mark {
	bw_cancel_marks_t *marks;
	char id[BW_JOB_ID_CHARS + 1];
	int64_t asked_ms;
	int64_t revision;
	bw_store_done_fn done;
	void *ctx;
} mark_t;

bw_cancel_marks_t *bw_cancel_marks_create(const bw_store_t *store)
{
	bw_cancel_marks_t *marks = g_new0(bw_cancel_marks_t, 1);

	marks->store = *store;
	g_queue_init(&marks->written);
	return marks;
}

void bw_cancel_marks_destroy(bw_cancel_marks_t *marks)
{
	g_queue_clear_full(&marks->written, g_free);
	g_free(marks);
}

static void on_deleted(void *ctx, const bw_store_reply_t *reply)
{
	(void)ctx;
	(void)reply;
}

/* A copy of the deletion that comes late must not delete a job's location. One
 * that fails leaves a mark of a job that never comes. */
static void delete_mark(const bw_cancel_marks_t *marks, const mark_t *mark)
{
	char *key = bw_job_location_key(mark->id);
	const bw_store_expect_t expect = { key, mark->revision };
	const bw_store_write_t write = { .key = key };
	const bw_store_txn_t txn = { &expect, 1, &write, 1 };

	marks->store.ops->txn(marks->store.impl, &txn, on_deleted, NULL);
	g_free(key);
}

static void delete_old(bw_cancel_marks_t *marks, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < DELETIONS_MAX; i++) {
		mark_t *oldest = g_queue_peek_head(&marks->written);

		if (!oldest || now_ms - oldest->asked_ms < MARK_MS)
			return;
		delete_mark(marks, oldest);
		g_free(g_queue_pop_head(&marks->written));
	}
}

static void on_written(void *ctx, const bw_store_reply_t *reply)
{
	mark_t *mark = ctx;

	mark->done(mark->ctx, reply);
	if (reply->status != BW_OK || !reply->succeeded) {
		g_free(mark);
		return;
	}
	mark->revision = reply->revision;
	g_queue_push_tail(&mark->marks->written, mark);
}

/* A lease may end while the store is down, and its marks with it. */
static void write_mark(mark_t *mark)
{
	bw_cancel_marks_t *marks = mark->marks;
	char none[] = "";
	const bw_job_location_t location = { .pool = none, .cancelled = true };
	char *key = bw_job_location_key(mark->id);
	size_t bytes;
	uint8_t *record = bw_job_location_pack(&location, &bytes);
	const bw_store_expect_t expect = { key, 0 };
	const bw_store_write_t write = { key, (const char *)record, bytes, 0 };
	const bw_store_txn_t txn = { &expect, 1, &write, 1 };

	marks->store.ops->txn(marks->store.impl, &txn, on_written, mark);
	g_free(record);
	g_free(key);
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
	write_mark(mark);
	delete_old(marks, now_ms);
}
