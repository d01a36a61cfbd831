#include "fleet/watch_cache.h"

#include <string.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "base/event.h"

/** Delay before a failed call is repeated. */
#define RETRY_S 0.15

struct bw_watch_cache {
	struct ev_loop *loop;
	bw_store_t store;
	char *prefix;
	bw_watch_cache_ops_t ops;
	void *ctx;
	GHashTable *revisions; /**< Key to its revision, as int64_t. */
	/** Keys found by the full read in progress, or changed beside it. */
	GHashTable *read_keys;
	/** Keys deleted beside the full read, whose revisions are kept. */
	GHashTable *deleted_keys;
	char *last_key; /**< Last key of the pages read; NULL before them. */
	bw_store_watch_t *watch;
	ev_timer retry;
	int64_t read_started_ms; /**< Of the full read. */
	uint32_t pages; /**< Read by the full read. */
	int64_t reported_revision; /**< Changes up to it were reported. */
	int64_t complete_since_ms; /**< End of the last full read. */
	int64_t confirmed_ms; /**< All changes so far were reported then. */
	bool full_read; /**< A full read is in progress. */
	bool history_gone; /**< A full read is due. */
	bool call_pending;
	bool in_callback; /**< Calling callbacks, which may destroy it. */
	bool destroyed;
};

static void read_page(bw_watch_cache_t *c);
static void on_page(void *ctx, const bw_store_reply_t *reply);
static void handle_page(bw_watch_cache_t *c, const bw_store_reply_t *reply);
static void on_event(void *ctx, const bw_store_reply_t *reply);
static void on_retry(struct ev_loop *loop, ev_timer *timer, int revents);
static void apply_change(bw_watch_cache_t *c, const bw_store_kv_t *kv);
static void report_missing(bw_watch_cache_t *c);
static void start_full_read(bw_watch_cache_t *c);
static void start_watch(bw_watch_cache_t *c);
static void cache_free(bw_watch_cache_t *c);

bw_watch_cache_t *bw_watch_cache_create(struct ev_loop *loop,
					const bw_store_t *store,
					const char *prefix,
					const bw_watch_cache_ops_t *ops,
					void *ctx)
{
	bw_watch_cache_t *c = g_new0(bw_watch_cache_t, 1);

	c->loop = loop;
	c->store = *store;
	c->prefix = g_strdup(prefix);
	c->ops = *ops;
	c->ctx = ctx;
	c->revisions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->read_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->deleted_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ev_timer_init(&c->retry, on_retry, RETRY_S, 0.0);
	c->retry.data = c;
	start_full_read(c);
	return c;
}

static void cache_free(bw_watch_cache_t *c)
{
	g_hash_table_destroy(c->revisions);
	g_hash_table_destroy(c->read_keys);
	g_hash_table_destroy(c->deleted_keys);
	g_free(c->last_key);
	g_free(c->prefix);
	g_free(c);
}

void bw_watch_cache_destroy(bw_watch_cache_t *c)
{
	if (!c)
		return;
	ev_timer_stop(c->loop, &c->retry);
	if (c->watch)
		c->store.ops->watch_end(c->store.impl, c->watch);
	c->destroyed = true;
	if (!c->call_pending && !c->in_callback)
		cache_free(c);
}

int64_t bw_watch_cache_read_started_ms(const bw_watch_cache_t *c)
{
	return c->read_started_ms;
}

int64_t bw_watch_cache_complete_since_ms(const bw_watch_cache_t *c)
{
	return c->full_read || c->history_gone ? INT64_MAX
					       : c->complete_since_ms;
}

int64_t bw_watch_cache_confirmed_ms(const bw_watch_cache_t *c)
{
	return c->confirmed_ms;
}

static void on_retry(struct ev_loop *loop, ev_timer *timer, int revents)
{
	bw_watch_cache_t *c = timer->data;

	(void)loop;
	(void)revents;
	if (c->history_gone && !c->call_pending)
		start_full_read(c);
	else if (c->full_read && !c->call_pending)
		read_page(c);
	if (!c->watch && !c->history_gone && c->reported_revision > 0)
		start_watch(c);
}

static void retry_later(bw_watch_cache_t *c)
{
	ev_timer_stop(c->loop, &c->retry);
	ev_timer_set(&c->retry, RETRY_S, 0.0);
	ev_timer_start(c->loop, &c->retry);
}

static void start_full_read(bw_watch_cache_t *c)
{
	c->full_read = true;
	c->history_gone = false;
	c->read_started_ms = bw_clock_now_ms();
	c->pages = 0;
	c->reported_revision = 0;
	if (c->watch)
		c->store.ops->watch_end(c->store.impl, c->watch);
	c->watch = NULL;
	g_hash_table_remove_all(c->read_keys);
	g_clear_pointer(&c->last_key, g_free);
	read_page(c);
}

/*
 * Reads the page after the last key, also after a failure: a read that began
 * again would not end on a link that fails often.
 */
static void read_page(bw_watch_cache_t *c)
{
	bw_store_page_t page = { .prefix = c->prefix, .after = c->last_key };

	c->call_pending = true;
	c->store.ops->page(c->store.impl, &page, on_page, c);
}

/*
 * Notes a change while a full read is in progress. The revision of a deleted
 * key is kept, since a page that was read before may still have the key.
 */
static void note_change(bw_watch_cache_t *c, const bw_store_kv_t *kv)
{
	g_hash_table_add(c->read_keys, g_strdup(kv->key));
	if (kv->deleted)
		g_hash_table_add(c->deleted_keys, g_strdup(kv->key));
	else
		g_hash_table_remove(c->deleted_keys, kv->key);
}

static void apply_change(bw_watch_cache_t *c, const bw_store_kv_t *kv)
{
	int64_t *revision = g_hash_table_lookup(c->revisions, kv->key);

	if (revision && *revision >= kv->mod_revision)
		return;
	revision = g_new(int64_t, 1);
	*revision = kv->mod_revision;
	g_hash_table_replace(c->revisions, g_strdup(kv->key), revision);
	if (c->full_read)
		note_change(c, kv);
	c->ops.changed(c->ctx, kv);
	if (kv->deleted && !c->full_read)
		g_hash_table_remove(c->revisions, kv->key);
}

static void forget_deleted(bw_watch_cache_t *c)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, c->deleted_keys);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_hash_table_remove(c->revisions, key);
	g_hash_table_remove_all(c->deleted_keys);
}

/* Reports keys as deleted that a full read did not find. */
static void report_missing(bw_watch_cache_t *c)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, c->revisions);
	while (!c->destroyed && g_hash_table_iter_next(&iter, &key, NULL)) {
		bw_store_kv_t kv = { .key = key,
				     .value = "",
				     .mod_revision = c->reported_revision,
				     .deleted = true };

		if (g_hash_table_contains(c->read_keys, key))
			continue;
		c->ops.changed(c->ctx, &kv);
		g_hash_table_iter_remove(&iter);
	}
	forget_deleted(c);
	g_hash_table_remove_all(c->read_keys);
}

static void log_read(const bw_watch_cache_t *c, bw_status_t status)
{
	bw_event(BW_EVENT_FLEET_READ,
		 "prefix=%s status=%s keys=%u pages=%u "
		 "took_ms=%" G_GINT64_FORMAT,
		 c->prefix, bw_status_name(status),
		 g_hash_table_size(c->read_keys), c->pages,
		 bw_clock_now_ms() - c->read_started_ms);
}

/* An answer may have been on its way for as long as the call took. */
static void confirm(bw_watch_cache_t *c, const bw_store_reply_t *reply)
{
	c->confirmed_ms = bw_clock_now_ms() - reply->trace.took_ms;
}

static void on_page(void *ctx, const bw_store_reply_t *reply)
{
	bw_watch_cache_t *c = ctx;

	c->call_pending = false;
	if (c->destroyed) {
		cache_free(c);
		return;
	}
	c->in_callback = true;
	handle_page(c, reply);
	c->in_callback = false;
	if (c->destroyed && !c->call_pending)
		cache_free(c);
}

static void handle_page(bw_watch_cache_t *c, const bw_store_reply_t *reply)
{
	size_t i;

	c->ops.store_result(c->ctx, reply->status);
	if (reply->status != BW_OK) {
		log_read(c, reply->status);
		c->history_gone |= reply->status == BW_ESTALE;
		if (!c->destroyed)
			retry_later(c);
		return;
	}
	if (c->destroyed)
		return;
	if (c->history_gone) {
		retry_later(c);
		return;
	}
	c->pages++;
	if (c->reported_revision == 0)
		c->reported_revision = reply->revision;
	for (i = 0; i < reply->kv_count && !c->destroyed; i++) {
		g_hash_table_add(c->read_keys, g_strdup(reply->kvs[i].key));
		apply_change(c, &reply->kvs[i]);
	}
	if (c->destroyed)
		return;
	/*
	 * Pages are read at different revisions, so the watch starts at the
	 * revision of the first one; it starts beside the read, which may take
	 * longer than the store keeps its history.
	 */
	if (!c->watch)
		start_watch(c);
	if (reply->has_more && reply->kv_count > 0) {
		g_free(c->last_key);
		c->last_key = g_strdup(reply->kvs[reply->kv_count - 1].key);
		read_page(c);
		return;
	}
	c->full_read = false;
	c->complete_since_ms = bw_clock_now_ms();
	/* Several pages show different times. */
	if (c->pages == 1)
		confirm(c, reply);
	log_read(c, BW_OK);
	report_missing(c);
	if (!c->destroyed)
		c->ops.synced(c->ctx);
}

static void start_watch(bw_watch_cache_t *c)
{
	c->watch = c->store.ops->watch(c->store.impl, c->prefix,
				       c->reported_revision + 1, on_event, c);
}

static void handle_events(bw_watch_cache_t *c, const bw_store_reply_t *reply)
{
	size_t i;

	c->ops.store_result(c->ctx, reply->status);
	if (reply->status == BW_OK) {
		for (i = 0; i < reply->kv_count && !c->destroyed; i++)
			apply_change(c, &reply->kvs[i]);
		c->reported_revision =
			MAX(c->reported_revision, reply->revision);
		if (!c->full_read)
			confirm(c, reply);
		return;
	}
	c->watch = NULL;
	if (reply->status == BW_ESTALE)
		c->history_gone = true;
	if (!c->destroyed)
		retry_later(c);
}

static void on_event(void *ctx, const bw_store_reply_t *reply)
{
	bw_watch_cache_t *c = ctx;

	c->in_callback = true;
	handle_events(c, reply);
	c->in_callback = false;
	if (c->destroyed && !c->call_pending)
		cache_free(c);
}
