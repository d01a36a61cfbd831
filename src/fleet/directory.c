#include "fleet/directory.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"
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
/** After an answer with so many changes there may be more: the store limits
 * what it sends at a time, and the next ones must not wait. */
#define CHANGES_MANY 200U
/** Pages of a read that was left alone for so long are too old. */
#define FORGET_MS 2000
/** Registrations that expired in an outage are back this long after it. */
#define REREGISTER_MS 2600

/** A registration as of a revision of the store. */
typedef struct entry {
	bw_registration_t *registration;
	int64_t revision;
} entry_t;

struct bw_directory {
	bw_store_t store;
	const bw_value_format_t *values;
	bw_directory_ops_t ops;
	void *ctx;
	GHashTable *registrations; /**< Identifier to entry_t. */
	GHashTable *partial; /**< Those of the full read in progress. */
	int64_t revision; /**< Changes up to it are known; 0: a full read is
			     due or in progress. */
	int64_t first_page_revision; /**< Of that full read. */
	uint32_t pages; /**< Read by it. */
	char *last_key; /**< Last key of that read; NULL before its pages. */
	int64_t now_ms;
	int64_t next_read_ms;
	int64_t call_sent_ms; /**< Of the last call. */
	int64_t reading_ms; /**< Sum over the calls of the read in progress. */
	int64_t pause_until_ms; /**< Earliest start of the next read. */
	int64_t last_failure_ms; /**< When a call last failed; 0: never. */
	int64_t read_started_ms; /**< Of the read in progress. */
	int64_t loaded_read_ms; /**< When the last complete read started. */
	int64_t expect_until_ms;
	bool call_pending;
	bool forget; /**< What is known is too old. */
	bool loaded;
};

static void read_page(bw_directory_t *d);
static void on_page(void *ctx, const bw_store_reply_t *reply);
static void on_changes(void *ctx, const bw_store_reply_t *reply);

static void entry_free(gpointer data)
{
	entry_t *entry = data;

	bw_registration_free(entry->registration);
	g_free(entry);
}

static GHashTable *new_table(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_free);
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
	d->call_sent_ms = d->now_ms;
	d->store.ops->page(d->store.impl, &page, on_page, d);
}

static void read_changes(bw_directory_t *d)
{
	d->call_pending = true;
	d->call_sent_ms = d->now_ms;
	d->store.ops->changes(d->store.impl, d->values->workers_prefix,
			      d->revision, on_changes, d);
}

/* An unreadable entry names no worker. */
static void add_entry(bw_directory_t *d, GHashTable *table,
		      const bw_store_kv_t *kv)
{
	const char *id = kv->key + strlen(d->values->workers_prefix);
	bw_registration_t *r;
	entry_t *entry;

	if (d->values->parse_registration(kv->key, kv->value, kv->bytes, &r) !=
	    BW_OK) {
		bw_event(BW_EVENT_DIRECTORY_ENTRY_UNREADABLE,
			 "key=%s error=\"%s\"", kv->key, bw_status_message());
		g_hash_table_remove(table, id);
		return;
	}
	entry = g_new0(entry_t, 1);
	entry->registration = r;
	entry->revision = kv->mod_revision;
	g_hash_table_replace(table, r->id, entry);
}

/* Pages are read at different revisions, so a change may be known already. */
static void apply_change(bw_directory_t *d, const bw_store_kv_t *kv)
{
	const char *id = kv->key + strlen(d->values->workers_prefix);
	const entry_t *entry = g_hash_table_lookup(d->registrations, id);

	if (entry && entry->revision >= kv->mod_revision)
		return;
	if (kv->deleted)
		g_hash_table_remove(d->registrations, id);
	else
		add_entry(d, d->registrations, kv);
}

static void forget_pages(bw_directory_t *d)
{
	g_hash_table_remove_all(d->partial);
	d->reading_ms = 0;
	d->pages = 0;
	g_clear_pointer(&d->last_key, g_free);
}

static void log_read(const bw_directory_t *d, bw_status_t status)
{
	bw_event(BW_EVENT_FLEET_READ,
		 "prefix=%s status=%s keys=%u pages=%u "
		 "took_ms=%" G_GINT64_FORMAT,
		 d->values->workers_prefix, bw_status_name(status),
		 g_hash_table_size(d->partial), d->pages,
		 bw_clock_now_ms() - d->read_started_ms);
}

static void call_failed(bw_directory_t *d, bw_status_t status)
{
	log_read(d, status);
	d->last_failure_ms = d->now_ms;
	d->next_read_ms = d->now_ms + RETRY_MS;
}

/* Ends a read, of pages or of changes. */
static void finish_read(bw_directory_t *d)
{
	d->pause_until_ms =
		d->now_ms + MIN(PAUSE_DURATIONS * d->reading_ms, PAUSE_MAX_MS);
	forget_pages(d);
	d->loaded = true;
	d->loaded_read_ms = d->read_started_ms;
	d->ops.loaded(d->ctx, d->now_ms);
}

/* Takes over the pages, and the changes of the last ones from the first on. */
static void finish_pages(bw_directory_t *d)
{
	GHashTable *old = d->registrations;

	log_read(d, BW_OK);
	d->registrations = d->partial;
	d->partial = old;
	if (d->store.ops->changes)
		d->revision = d->first_page_revision;
	finish_read(d);
}

static void on_page(void *ctx, const bw_store_reply_t *reply)
{
	bw_directory_t *d = ctx;
	size_t i;

	d->call_pending = false;
	d->ops.store_result(d->ctx, reply->status);
	if (reply->status != BW_OK) {
		call_failed(d, reply->status);
		return;
	}
	d->reading_ms += d->now_ms - d->call_sent_ms;
	d->pages++;
	if (!d->last_key)
		d->first_page_revision = reply->revision;
	for (i = 0; i < reply->kv_count; i++)
		add_entry(d, d->partial, &reply->kvs[i]);
	if (reply->has_more && reply->kv_count > 0) {
		g_free(d->last_key);
		d->last_key = g_strdup(reply->kvs[reply->kv_count - 1].key);
		read_page(d);
		return;
	}
	finish_pages(d);
}

static void on_changes(void *ctx, const bw_store_reply_t *reply)
{
	bw_directory_t *d = ctx;
	size_t i;

	d->call_pending = false;
	d->ops.store_result(d->ctx, reply->status);
	if (reply->status != BW_OK) {
		d->revision = 0;
		call_failed(d, reply->status);
		return;
	}
	d->reading_ms = d->now_ms - d->call_sent_ms;
	for (i = 0; i < reply->kv_count; i++)
		apply_change(d, &reply->kvs[i]);
	d->revision = MAX(d->revision, reply->revision);
	finish_read(d);
	if (reply->kv_count < CHANGES_MANY)
		return;
	d->next_read_ms = d->now_ms;
	d->pause_until_ms = d->now_ms;
}

/* Reading again costs less than the changes of a long time. */
static void forget_all(bw_directory_t *d)
{
	forget_pages(d);
	d->revision = 0;
}

void bw_directory_tick(bw_directory_t *d, int64_t now_ms)
{
	bool left_alone = now_ms - d->now_ms > FORGET_MS;

	d->now_ms = now_ms;
	if (left_alone)
		d->forget = true;
	if (d->call_pending || now_ms < d->next_read_ms ||
	    now_ms < d->pause_until_ms)
		return;
	if (d->forget)
		forget_all(d);
	d->forget = false;
	d->next_read_ms =
		now_ms + (now_ms < d->expect_until_ms ? EXPECT_READ_INTERVAL_MS
						      : READ_INTERVAL_MS);
	if (!d->last_key)
		d->read_started_ms = now_ms;
	if (d->revision > 0)
		read_changes(d);
	else
		read_page(d);
}

void bw_directory_expect_workers(bw_directory_t *d, int64_t now_ms)
{
	if (now_ms >= d->expect_until_ms)
		d->next_read_ms =
			MIN(d->next_read_ms, now_ms + EXPECT_READ_INTERVAL_MS);
	d->expect_until_ms = now_ms + EXPECT_MS;
}

/* A read shows the store as it was at its start, however late it arrives. */
bool bw_directory_complete(const bw_directory_t *d)
{
	return d->loaded &&
	       (d->last_failure_ms == 0 ||
		d->loaded_read_ms - d->last_failure_ms > REREGISTER_MS);
}

int64_t bw_directory_read_began_ms(const bw_directory_t *d)
{
	return d->loaded_read_ms;
}

const bw_registration_t *bw_directory_find(const bw_directory_t *d,
					   const char *id)
{
	const entry_t *entry = g_hash_table_lookup(d->registrations, id);

	return entry ? entry->registration : NULL;
}

void bw_directory_foreach(const bw_directory_t *d,
			  void (*fn)(void *ctx, const bw_registration_t *r),
			  void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->registrations);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fn(ctx, ((entry_t *)value)->registration);
}
