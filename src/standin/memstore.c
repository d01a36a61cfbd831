#include "standin/memstore.h"

#include <string.h>

#include <ev.h>
#include <glib.h>

#define PAGE_KEYS_MAX 200

typedef struct entry {
	char *key;
	char *value;
	size_t bytes;
	int64_t mod_revision;
	int64_t version;
} entry_t;

struct bw_store_watch {
	bw_memstore_t *store;
	char *prefix;
	bw_store_done_fn event;
	void *ctx;
	bool ended;
};

/** A reply or watch event that the event loop delivers. */
typedef struct pending_reply {
	bw_store_done_fn done;
	void *ctx;
	bw_store_watch_t *watch; /**< NULL for a reply to a call. */
	bw_store_reply_t reply;
	GArray *kvs; /**< Copies, released with the reply. */
} pending_reply_t;

struct bw_memstore {
	struct ev_loop *loop;
	GTree *entries;
	GPtrArray *watches;
	GQueue *pending;
	GQueue *delayed_events; /**< Events kept while delay_events is set. */
	bool delay_events;
	ev_timer timer;
	int64_t revision;
	int64_t last_lease_id;
};

static void on_timer(struct ev_loop *loop, ev_timer *timer, int revents);
static void watch_free(gpointer data);
static void pending_reply_free(pending_reply_t *p);

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

static void entry_free(gpointer data)
{
	entry_t *entry = data;

	g_free(entry->key);
	g_free(entry->value);
	g_free(entry);
}

bw_memstore_t *bw_memstore_create(struct ev_loop *loop)
{
	bw_memstore_t *s = g_new0(bw_memstore_t, 1);

	s->loop = loop;
	s->entries = g_tree_new_full(compare_keys, NULL, NULL, entry_free);
	s->watches = g_ptr_array_new_with_free_func(watch_free);
	s->pending = g_queue_new();
	s->delayed_events = g_queue_new();
	s->revision = 1;
	ev_timer_init(&s->timer, on_timer, 0.0, 0.0);
	s->timer.data = s;
	return s;
}

static void watch_free(gpointer data)
{
	bw_store_watch_t *watch = data;

	g_free(watch->prefix);
	g_free(watch);
}

static void queued_reply_free(gpointer data)
{
	pending_reply_free(data);
}

void bw_memstore_destroy(bw_memstore_t *s)
{
	ev_timer_stop(s->loop, &s->timer);
	g_queue_free_full(s->pending, queued_reply_free);
	g_queue_free_full(s->delayed_events, queued_reply_free);
	g_ptr_array_free(s->watches, TRUE);
	g_tree_unref(s->entries);
	g_free(s);
}

static void add_kv(pending_reply_t *p, const entry_t *entry, bool deleted)
{
	bw_store_kv_t kv = { .key = g_strdup(entry->key),
			     .bytes = entry->bytes,
			     .mod_revision = entry->mod_revision,
			     .version = entry->version,
			     .deleted = deleted };

	kv.value = g_memdup2(entry->value, entry->bytes + 1);
	g_array_append_val(p->kvs, kv);
}

static void enqueue_reply(bw_memstore_t *s, pending_reply_t *p)
{
	g_queue_push_tail(s->pending, p);
	if (ev_is_active(&s->timer))
		return;
	ev_timer_set(&s->timer, 0.0, 0.0);
	ev_timer_start(s->loop, &s->timer);
}

static pending_reply_t *pending_reply_new(bw_memstore_t *s,
					  bw_store_done_fn done, void *ctx)
{
	pending_reply_t *p = g_new0(pending_reply_t, 1);

	p->done = done;
	p->ctx = ctx;
	p->kvs = g_array_new(FALSE, TRUE, sizeof(bw_store_kv_t));
	p->reply.revision = s->revision;
	return p;
}

static pending_reply_t *enqueue_new_reply(bw_memstore_t *s,
					  bw_store_done_fn done, void *ctx)
{
	pending_reply_t *p = pending_reply_new(s, done, ctx);

	enqueue_reply(s, p);
	return p;
}

static void pending_reply_free(pending_reply_t *p)
{
	guint i;

	for (i = 0; i < p->kvs->len; i++) {
		bw_store_kv_t *kv = &g_array_index(p->kvs, bw_store_kv_t, i);

		g_free((char *)kv->key);
		g_free((char *)kv->value);
	}
	g_array_free(p->kvs, TRUE);
	g_free(p);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	bw_memstore_t *s = timer->data;
	guint count = g_queue_get_length(s->pending);

	(void)loop;
	(void)revents;
	while (count-- > 0) {
		pending_reply_t *p = g_queue_pop_head(s->pending);

		p->reply.kvs = (const bw_store_kv_t *)p->kvs->data;
		p->reply.kv_count = p->kvs->len;
		if (!p->watch || !p->watch->ended)
			p->done(p->ctx, &p->reply);
		pending_reply_free(p);
	}
	if (!g_queue_is_empty(s->pending) && !ev_is_active(&s->timer)) {
		ev_timer_set(&s->timer, 0.0, 0.0);
		ev_timer_start(s->loop, &s->timer);
	}
}

static void enqueue_event(bw_memstore_t *s, bw_store_watch_t *watch,
			  const entry_t *entry, bool deleted)
{
	pending_reply_t *p = pending_reply_new(s, watch->event, watch->ctx);

	p->watch = watch;
	add_kv(p, entry, deleted);
	if (s->delay_events)
		g_queue_push_tail(s->delayed_events, p);
	else
		enqueue_reply(s, p);
}

static void enqueue_events(bw_memstore_t *s, const entry_t *entry, bool deleted)
{
	guint i;

	for (i = 0; i < s->watches->len; i++) {
		bw_store_watch_t *watch = g_ptr_array_index(s->watches, i);

		if (!watch->ended &&
		    g_str_has_prefix(entry->key, watch->prefix))
			enqueue_event(s, watch, entry, deleted);
	}
}

static void write_key(bw_memstore_t *s, const char *key, const char *value,
		      size_t bytes)
{
	entry_t *entry = g_tree_lookup(s->entries, key);

	if (!value) {
		if (!entry)
			return;
		entry->mod_revision = s->revision;
		enqueue_events(s, entry, true);
		g_tree_remove(s->entries, key);
		return;
	}
	if (!entry) {
		entry = g_new0(entry_t, 1);
		entry->key = g_strdup(key);
		g_tree_insert(s->entries, entry->key, entry);
	}
	g_free(entry->value);
	entry->value = g_malloc(bytes + 1);
	memcpy(entry->value, value, bytes);
	entry->value[bytes] = '\0';
	entry->bytes = bytes;
	entry->mod_revision = s->revision;
	entry->version++;
	enqueue_events(s, entry, false);
}

void bw_memstore_put(bw_memstore_t *s, const char *key, const char *value,
		     size_t bytes)
{
	s->revision++;
	write_key(s, key, value, bytes);
}

int64_t bw_memstore_revision(const bw_memstore_t *s, const char *key)
{
	const entry_t *entry = g_tree_lookup(s->entries, key);

	return entry ? entry->mod_revision : 0;
}

void bw_memstore_delay_events(bw_memstore_t *s, bool delay)
{
	s->delay_events = delay;
	while (!delay && !g_queue_is_empty(s->delayed_events))
		enqueue_reply(s, g_queue_pop_head(s->delayed_events));
}

static void store_get(void *impl, const char *key, bw_store_done_fn done,
		      void *ctx)
{
	bw_memstore_t *s = impl;
	const entry_t *entry = g_tree_lookup(s->entries, key);
	pending_reply_t *p = enqueue_new_reply(s, done, ctx);

	p->reply.status = entry ? BW_OK : BW_ENOTFOUND;
	if (entry)
		add_kv(p, entry, false);
}

/** State of a walk over the keys that collects a page. */
typedef struct page_walk {
	const bw_store_page_t *page;
	pending_reply_t *reply;
} page_walk_t;

static gboolean add_to_page(gpointer key, gpointer value, gpointer data)
{
	page_walk_t *walk = data;
	const bw_store_page_t *page = walk->page;

	if (!g_str_has_prefix(key, page->prefix))
		return strcmp(key, page->prefix) > 0;
	if (page->after && strcmp(key, page->after) <= 0)
		return FALSE;
	if (walk->reply->kvs->len == PAGE_KEYS_MAX) {
		walk->reply->reply.has_more = true;
		return TRUE;
	}
	add_kv(walk->reply, value, false);
	return FALSE;
}

static void store_page(void *impl, const bw_store_page_t *page,
		       bw_store_done_fn done, void *ctx)
{
	bw_memstore_t *s = impl;
	page_walk_t walk = { .page = page,
			     .reply = enqueue_new_reply(s, done, ctx) };

	g_tree_foreach(s->entries, add_to_page, &walk);
}

static bool expectation_met(bw_memstore_t *s, const bw_store_expect_t *expect)
{
	const entry_t *entry = g_tree_lookup(s->entries, expect->key);

	return (entry ? entry->mod_revision : 0) == expect->mod_revision;
}

static void store_txn(void *impl, const bw_store_txn_t *txn,
		      bw_store_done_fn done, void *ctx)
{
	bw_memstore_t *s = impl;
	bool all_met = true;
	pending_reply_t *p;
	uint32_t i;

	for (i = 0; i < txn->expect_count; i++)
		all_met = all_met && expectation_met(s, &txn->expects[i]);
	if (all_met) {
		s->revision++;
		for (i = 0; i < txn->write_count; i++)
			write_key(s, txn->writes[i].key, txn->writes[i].value,
				  txn->writes[i].bytes);
	}
	p = enqueue_new_reply(s, done, ctx);
	p->reply.succeeded = all_met;
	for (i = 0; !all_met && i < txn->expect_count; i++) {
		const entry_t *entry =
			g_tree_lookup(s->entries, txn->expects[i].key);

		if (entry)
			add_kv(p, entry, false);
	}
}

static void store_lease_grant(void *impl, int64_t ttl_ms, bw_store_done_fn done,
			      void *ctx)
{
	bw_memstore_t *s = impl;
	pending_reply_t *p = enqueue_new_reply(s, done, ctx);

	p->reply.lease_id = ++s->last_lease_id;
	p->reply.ttl_ms = ttl_ms;
}

static void store_lease_keepalive(void *impl, int64_t lease_id,
				  bw_store_done_fn done, void *ctx)
{
	bw_memstore_t *s = impl;
	pending_reply_t *p = enqueue_new_reply(s, done, ctx);

	p->reply.lease_id = lease_id;
}

/** A new watch and the revision it starts at. */
typedef struct watch_start {
	bw_store_watch_t *watch;
	int64_t revision;
} watch_start_t;

/* Deletions between a read and the start of the watch are not reported. */
static gboolean enqueue_if_written(gpointer key, gpointer value, gpointer data)
{
	const watch_start_t *start = data;
	const entry_t *entry = value;

	if (entry->mod_revision >= start->revision &&
	    g_str_has_prefix(key, start->watch->prefix))
		enqueue_event(start->watch->store, start->watch, entry, false);
	return FALSE;
}

static bw_store_watch_t *store_watch(void *impl, const char *prefix,
				     int64_t revision, bw_store_done_fn event,
				     void *ctx)
{
	bw_memstore_t *s = impl;
	bw_store_watch_t *watch = g_new0(bw_store_watch_t, 1);
	watch_start_t start = { .revision = revision };

	watch->store = s;
	watch->prefix = g_strdup(prefix);
	watch->event = event;
	watch->ctx = ctx;
	g_ptr_array_add(s->watches, watch);
	start.watch = watch;
	g_tree_foreach(s->entries, enqueue_if_written, &start);
	return watch;
}

static void store_watch_end(void *impl, bw_store_watch_t *watch)
{
	(void)impl;
	watch->ended = true;
}

static const bw_store_ops_t ops = {
	.lease_grant = store_lease_grant,
	.lease_keepalive = store_lease_keepalive,
	.lease_revoke = store_lease_keepalive,
	.watch = store_watch,
	.watch_end = store_watch_end,
	.txn = store_txn,
	.page = store_page,
	.get = store_get,
};

bw_store_t bw_memstore_interface(bw_memstore_t *s)
{
	return (bw_store_t){ &ops, s };
}
