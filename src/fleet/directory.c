#include "fleet/directory.h"

#include <glib.h>

#include "base/event.h"

/** Age from which the registrations are read again. */
#define READ_AGE_MS 800
/** The same while new registrations are expected, and for how long. */
#define AWAIT_AGE_MS 200
#define AWAIT_MS     700
#define RETRY_MS     200
/** Registrations that ran out in an outage are back after this. */
#define RETURN_MS 2600

struct bw_directory {
	bw_store_t store;
	const bw_value_format_t *values;
	bw_directory_ops_t ops;
	void *ctx;
	GHashTable *known; /**< Identifier to bw_registration_t. */
	GHashTable *reading; /**< Of the reading in progress. */
	int64_t now_ms;
	int64_t next_ms;
	int64_t failed_ms; /**< Of the last call that failed; 0: none. */
	int64_t await_until_ms;
	bool call_out;
	bool complete;
};

static void read_page(bw_directory_t *d, const char *after);
static void on_page(void *ctx, const bw_store_reply_t *reply);
static void take(bw_directory_t *d, const bw_store_kv_t *kv);

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
	d->known = new_table();
	d->reading = new_table();
	return d;
}

void bw_directory_destroy(bw_directory_t *d)
{
	if (!d)
		return;
	g_hash_table_destroy(d->known);
	g_hash_table_destroy(d->reading);
	g_free(d);
}

static void read_page(bw_directory_t *d, const char *after)
{
	bw_store_page_t page = { .prefix = d->values->workers_prefix,
				 .after = after };

	d->call_out = true;
	d->store.ops->page(d->store.impl, &page, on_page, d);
}

static void take(bw_directory_t *d, const bw_store_kv_t *kv)
{
	bw_registration_t *r;

	if (d->values->parse_registration(kv->key, kv->value, kv->bytes, &r) !=
	    BW_OK) {
		bw_event(BW_EVENT_DIRECTORY_ENTRY_UNREADABLE, "key=%s",
			 kv->key);
		return;
	}
	g_hash_table_replace(d->reading, r->id, r);
}

static void on_page(void *ctx, const bw_store_reply_t *reply)
{
	bw_directory_t *d = ctx;
	GHashTable *old;
	size_t i;

	d->call_out = false;
	d->ops.result(d->ctx, reply->status);
	if (reply->status != BW_OK) {
		d->failed_ms = d->now_ms;
		d->next_ms = d->now_ms + RETRY_MS;
		g_hash_table_remove_all(d->reading);
		return;
	}
	for (i = 0; i < reply->kv_count; i++)
		take(d, &reply->kvs[i]);
	if (reply->has_more && reply->kv_count > 0) {
		read_page(d, reply->kvs[reply->kv_count - 1].key);
		return;
	}
	old = d->known;
	d->known = d->reading;
	d->reading = old;
	g_hash_table_remove_all(d->reading);
	d->complete = true;
	d->ops.read(d->ctx, d->now_ms);
}

void bw_directory_tick(bw_directory_t *d, int64_t now_ms)
{
	d->now_ms = now_ms;
	if (d->call_out || now_ms < d->next_ms)
		return;
	d->next_ms = now_ms +
		     (now_ms < d->await_until_ms ? AWAIT_AGE_MS : READ_AGE_MS);
	read_page(d, NULL);
}

void bw_directory_expect_workers(bw_directory_t *d, int64_t now_ms)
{
	if (now_ms >= d->await_until_ms)
		d->next_ms = MIN(d->next_ms, now_ms + AWAIT_AGE_MS);
	d->await_until_ms = now_ms + AWAIT_MS;
}

bool bw_directory_loaded(const bw_directory_t *d)
{
	return d->complete;
}

bool bw_directory_complete(const bw_directory_t *d, int64_t now_ms)
{
	return d->complete &&
	       (d->failed_ms == 0 || now_ms - d->failed_ms > RETURN_MS);
}

const bw_registration_t *bw_directory_find(const bw_directory_t *d,
					   const char *id)
{
	return g_hash_table_lookup(d->known, id);
}

void bw_directory_foreach(const bw_directory_t *d,
			  void (*fn)(void *ctx, const bw_registration_t *r),
			  void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->known);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fn(ctx, value);
}
