#include "fleet/watch_cache.h"

#include <string.h>

#include <ev.h>
#include <glib.h>

/** Pause after a call that failed. */
#define RETRY_S 0.15

struct bw_watch_cache {
	struct ev_loop *loop;
	bw_store_t store;
	char *prefix;
	bw_watch_cache_ops_t ops;
	void *ctx;
	GHashTable *known; /**< Key to revision, as int64_t. */
	GHashTable *found; /**< Keys of the reading in progress. */
	bw_store_watch_t *watch;
	ev_timer retry;
	int64_t from; /**< Revision up to which changes are known. */
	bool reading;
	bool call_out;
	bool busy; /**< Inside its own callbacks. */
	bool destroyed;
};

static void read_page(bw_watch_cache_t *m, const char *after);
static void on_page(void *ctx, const bw_store_reply_t *reply);
static void take_page(bw_watch_cache_t *m, const bw_store_reply_t *reply);
static void on_event(void *ctx, const bw_store_reply_t *reply);
static void on_retry(struct ev_loop *loop, ev_timer *timer, int revents);
static void take(bw_watch_cache_t *m, const bw_store_kv_t *kv);
static void drop_missing(bw_watch_cache_t *m);
static void start_reading(bw_watch_cache_t *m);
static void start_watch(bw_watch_cache_t *m);
static void mirror_free(bw_watch_cache_t *m);

bw_watch_cache_t *bw_watch_cache_create(struct ev_loop *loop,
					const bw_store_t *store,
					const char *prefix,
					const bw_watch_cache_ops_t *ops,
					void *ctx)
{
	bw_watch_cache_t *m = g_new0(bw_watch_cache_t, 1);

	m->loop = loop;
	m->store = *store;
	m->prefix = g_strdup(prefix);
	m->ops = *ops;
	m->ctx = ctx;
	m->known =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m->found = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ev_timer_init(&m->retry, on_retry, RETRY_S, 0.0);
	m->retry.data = m;
	start_reading(m);
	return m;
}

static void mirror_free(bw_watch_cache_t *m)
{
	g_hash_table_destroy(m->known);
	g_hash_table_destroy(m->found);
	g_free(m->prefix);
	g_free(m);
}

void bw_watch_cache_destroy(bw_watch_cache_t *m)
{
	if (!m)
		return;
	ev_timer_stop(m->loop, &m->retry);
	if (m->watch)
		m->store.ops->watch_end(m->store.impl, m->watch);
	m->destroyed = true;
	if (!m->call_out && !m->busy)
		mirror_free(m);
}

static void on_retry(struct ev_loop *loop, ev_timer *timer, int revents)
{
	bw_watch_cache_t *m = timer->data;

	(void)loop;
	(void)revents;
	if (m->reading)
		start_reading(m);
	else
		start_watch(m);
}

static void retry_later(bw_watch_cache_t *m)
{
	ev_timer_stop(m->loop, &m->retry);
	ev_timer_set(&m->retry, RETRY_S, 0.0);
	ev_timer_start(m->loop, &m->retry);
}

static void start_reading(bw_watch_cache_t *m)
{
	m->reading = true;
	m->from = 0;
	g_hash_table_remove_all(m->found);
	read_page(m, NULL);
}

static void read_page(bw_watch_cache_t *m, const char *after)
{
	bw_store_page_t page = { .prefix = m->prefix, .after = after };

	m->call_out = true;
	m->store.ops->page(m->store.impl, &page, on_page, m);
}

static void take(bw_watch_cache_t *m, const bw_store_kv_t *kv)
{
	int64_t *revision = g_hash_table_lookup(m->known, kv->key);

	if (revision && *revision >= kv->mod_revision)
		return;
	revision = g_new(int64_t, 1);
	*revision = kv->mod_revision;
	g_hash_table_replace(m->known, g_strdup(kv->key), revision);
	m->ops.changed(m->ctx, kv);
	if (kv->deleted)
		g_hash_table_remove(m->known, kv->key);
}

/* Tells the deletion of keys that a whole reading did not find. */
static void drop_missing(bw_watch_cache_t *m)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, m->known);
	while (!m->destroyed && g_hash_table_iter_next(&iter, &key, NULL)) {
		bw_store_kv_t kv = { .key = key,
				     .value = "",
				     .mod_revision = m->from,
				     .deleted = true };

		if (g_hash_table_contains(m->found, key))
			continue;
		m->ops.changed(m->ctx, &kv);
		g_hash_table_iter_remove(&iter);
	}
	g_hash_table_remove_all(m->found);
}

static void on_page(void *ctx, const bw_store_reply_t *reply)
{
	bw_watch_cache_t *m = ctx;

	m->call_out = false;
	if (m->destroyed) {
		mirror_free(m);
		return;
	}
	m->busy = true;
	take_page(m, reply);
	m->busy = false;
	if (m->destroyed && !m->call_out)
		mirror_free(m);
}

static void take_page(bw_watch_cache_t *m, const bw_store_reply_t *reply)
{
	size_t i;

	m->ops.result(m->ctx, reply->status);
	if (reply->status != BW_OK) {
		if (!m->destroyed)
			retry_later(m);
		return;
	}
	/* Pages are no snapshot: changes since the first one are watched. */
	if (m->from == 0)
		m->from = reply->revision;
	for (i = 0; i < reply->kv_count && !m->destroyed; i++) {
		g_hash_table_add(m->found, g_strdup(reply->kvs[i].key));
		take(m, &reply->kvs[i]);
	}
	if (m->destroyed)
		return;
	if (reply->has_more && reply->kv_count > 0) {
		read_page(m, reply->kvs[reply->kv_count - 1].key);
		return;
	}
	m->reading = false;
	drop_missing(m);
	if (m->destroyed)
		return;
	start_watch(m);
	m->ops.synced(m->ctx);
}

static void start_watch(bw_watch_cache_t *m)
{
	m->watch = m->store.ops->watch(m->store.impl, m->prefix, m->from + 1,
				       on_event, m);
}

static void take_events(bw_watch_cache_t *m, const bw_store_reply_t *reply)
{
	size_t i;

	m->ops.result(m->ctx, reply->status);
	if (reply->status == BW_OK) {
		for (i = 0; i < reply->kv_count && !m->destroyed; i++)
			take(m, &reply->kvs[i]);
		m->from = MAX(m->from, reply->revision);
		return;
	}
	m->watch = NULL;
	if (reply->status == BW_ESTALE)
		m->reading = true;
	if (!m->destroyed)
		retry_later(m);
}

static void on_event(void *ctx, const bw_store_reply_t *reply)
{
	bw_watch_cache_t *m = ctx;

	m->busy = true;
	take_events(m, reply);
	m->busy = false;
	if (m->destroyed)
		mirror_free(m);
}
