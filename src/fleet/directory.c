#include "fleet/directory.h"

#include <glib.h>

#include "base/event.h"

/** Time between reads of the registrations. */
#define READ_INTERVAL_MS 800
/** The same while new workers are expected, and how long that lasts. */
#define EXPECT_READ_INTERVAL_MS 200
#define EXPECT_MS		700
#define RETRY_MS		200
/** Shortest pause after a read, in durations of it: the link has other use. */
#define PAUSE_DURATIONS 2
/** Longest pause: a worker that drains or is new must be noticed in about 2 s,
 * also after reads that were slow for a while. */
#define PAUSE_MAX_MS 1500
/** Pages of a read that was left alone for so long are too old. */
#define FORGET_MS 2000
/** Registrations that expired in an outage are back this long after it. */
#define REREGISTER_MS 2600

struct bw_directory {
	bw_store_t store;
	const bw_value_format_t *values;
	bw_directory_ops_t ops;
	void *ctx;
	GHashTable *registrations; /**< Identifier to bw_registration_t. */
	GHashTable *partial; /**< Those of the read in progress. */
	char *last_key; /**< Last key of that read; NULL before its pages. */
	int64_t now_ms;
	int64_t next_read_ms;
	int64_t page_sent_ms; /**< Of the last page. */
	int64_t reading_ms; /**< Sum over the pages of the read in progress. */
	int64_t pause_until_ms; /**< Earliest start of the next read. */
	int64_t last_failure_ms; /**< When a call last failed; 0: never. */
	int64_t read_started_ms; /**< Of the read in progress. */
	int64_t loaded_read_ms; /**< When the last complete read started. */
	int64_t expect_until_ms;
	bool call_pending;
	bool loaded;
};

static void read_page(bw_directory_t *d);
static void on_page(void *ctx, const bw_store_reply_t *reply);
static void add_registration(bw_directory_t *d, const bw_store_kv_t *kv);

static GHashTable *new_table(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				     (GDestroyNotify)bw_registration_free);
}

bw_directory_t *bw_directory_create(const bw_store_t *store,
				    const bw_value_format_t *values,
				    const bw_directory_ops_t *ops, void *ctx)
{
	bw_directory_t *d = g_new0(bw_directory_t, 1);

	d->store = *store;
	d->values = values;
	d->ops = *ops;
	d->ctx = ctx;
	d->registrations = new_table();
	d->partial = new_table();
	return d;
}

void bw_directory_destroy(bw_directory_t *d)
{
	if (!d)
		return;
	g_hash_table_destroy(d->registrations);
	g_hash_table_destroy(d->partial);
	g_free(d->last_key);
	g_free(d);
}

/* Reads the page after the last key that a failed read left, or the first. */
static void read_page(bw_directory_t *d)
{
	bw_store_page_t page = { .prefix = d->values->workers_prefix,
				 .after = d->last_key };

	d->call_pending = true;
	d->page_sent_ms = d->now_ms;
	d->store.ops->page(d->store.impl, &page, on_page, d);
}

static void add_registration(bw_directory_t *d, const bw_store_kv_t *kv)
{
	bw_registration_t *r;

	if (d->values->parse_registration(kv->key, kv->value, kv->bytes, &r) !=
	    BW_OK) {
		bw_event(BW_EVENT_DIRECTORY_ENTRY_UNREADABLE, "key=%s",
			 kv->key);
		return;
	}
	g_hash_table_replace(d->partial, r->id, r);
}

static void forget_pages(bw_directory_t *d)
{
	g_hash_table_remove_all(d->partial);
	d->reading_ms = 0;
	g_clear_pointer(&d->last_key, g_free);
}

static void on_page(void *ctx, const bw_store_reply_t *reply)
{
	bw_directory_t *d = ctx;
	GHashTable *old;
	size_t i;

	d->call_pending = false;
	d->ops.store_result(d->ctx, reply->status);
	if (reply->status != BW_OK) {
		d->last_failure_ms = d->now_ms;
		d->next_read_ms = d->now_ms + RETRY_MS;
		return;
	}
	d->reading_ms += d->now_ms - d->page_sent_ms;
	for (i = 0; i < reply->kv_count; i++)
		add_registration(d, &reply->kvs[i]);
	if (reply->has_more && reply->kv_count > 0) {
		g_free(d->last_key);
		d->last_key = g_strdup(reply->kvs[reply->kv_count - 1].key);
		read_page(d);
		return;
	}
	old = d->registrations;
	d->registrations = d->partial;
	d->partial = old;
	d->pause_until_ms =
		d->now_ms + MIN(PAUSE_DURATIONS * d->reading_ms, PAUSE_MAX_MS);
	forget_pages(d);
	d->loaded = true;
	d->loaded_read_ms = d->read_started_ms;
	d->ops.loaded(d->ctx, d->now_ms);
}

void bw_directory_tick(bw_directory_t *d, int64_t now_ms)
{
	bool left_alone = now_ms - d->now_ms > FORGET_MS;

	d->now_ms = now_ms;
	if (d->call_pending || now_ms < d->next_read_ms ||
	    now_ms < d->pause_until_ms)
		return;
	if (left_alone)
		forget_pages(d);
	d->next_read_ms =
		now_ms + (now_ms < d->expect_until_ms ? EXPECT_READ_INTERVAL_MS
						      : READ_INTERVAL_MS);
	if (!d->last_key)
		d->read_started_ms = now_ms;
	read_page(d);
}

void bw_directory_expect_workers(bw_directory_t *d, int64_t now_ms)
{
	if (now_ms >= d->expect_until_ms)
		d->next_read_ms =
			MIN(d->next_read_ms, now_ms + EXPECT_READ_INTERVAL_MS);
	d->expect_until_ms = now_ms + EXPECT_MS;
}

bool bw_directory_loaded(const bw_directory_t *d)
{
	return d->loaded;
}

/* A read shows the store as it was at its start, however late it arrives. */
bool bw_directory_complete(const bw_directory_t *d)
{
	return d->loaded &&
	       (d->last_failure_ms == 0 ||
		d->loaded_read_ms - d->last_failure_ms > REREGISTER_MS);
}

const bw_registration_t *bw_directory_find(const bw_directory_t *d,
					   const char *id)
{
	return g_hash_table_lookup(d->registrations, id);
}

void bw_directory_foreach(const bw_directory_t *d,
			  void (*fn)(void *ctx, const bw_registration_t *r),
			  void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->registrations);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fn(ctx, value);
}
