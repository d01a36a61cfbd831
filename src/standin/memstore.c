#include "standin/memstore.h"

#include <string.h>

#include <ev.h>
#include <glib.h>

#define PAGE_KEYS 200

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

/** An answer that waits for the loop. */
typedef struct pending {
	bw_store_done_fn done;
	void *ctx;
	bw_store_watch_t *watch; /**< NULL for answers to calls. */
	bw_store_reply_t reply;
	GArray *kvs; /**< Copies, released with the answer. */
} pending_t;

struct bw_memstore {
	struct ev_loop *loop;
	GTree *entries;
	GPtrArray *watches;
	GQueue *pending;
	GQueue *held; /**< What watches are told later. */
	bool holding;
	ev_timer timer;
	int64_t revision;
	int64_t leases;
};

static void on_timer(struct ev_loop *loop, ev_timer *timer, int revents);
static void watch_free(gpointer data);
static void pending_free(pending_t *p);

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
	s->held = g_queue_new();
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

static void pending_drop(gpointer data)
{
	pending_free(data);
}

void bw_memstore_destroy(bw_memstore_t *s)
{
	ev_timer_stop(s->loop, &s->timer);
	g_queue_free_full(s->pending, pending_drop);
	g_queue_free_full(s->held, pending_drop);
	g_ptr_array_free(s->watches, TRUE);
	g_tree_unref(s->entries);
	g_free(s);
}

static void add_kv(pending_t *p, const entry_t *entry, bool deleted)
{
	bw_store_kv_t kv = { .key = g_strdup(entry->key),
			     .bytes = entry->bytes,
			     .mod_revision = entry->mod_revision,
			     .version = entry->version,
			     .deleted = deleted };

	kv.value = g_memdup2(entry->value, entry->bytes + 1);
	g_array_append_val(p->kvs, kv);
}

static void push(bw_memstore_t *s, pending_t *p)
{
	g_queue_push_tail(s->pending, p);
	if (ev_is_active(&s->timer))
		return;
	ev_timer_set(&s->timer, 0.0, 0.0);
	ev_timer_start(s->loop, &s->timer);
}

static pending_t *pending_new(bw_memstore_t *s, bw_store_done_fn done,
			      void *ctx)
{
	pending_t *p = g_new0(pending_t, 1);

	p->done = done;
	p->ctx = ctx;
	p->kvs = g_array_new(FALSE, TRUE, sizeof(bw_store_kv_t));
	p->reply.revision = s->revision;
	return p;
}

static pending_t *answer_later(bw_memstore_t *s, bw_store_done_fn done,
			       void *ctx)
{
	pending_t *p = pending_new(s, done, ctx);

	push(s, p);
	return p;
}

static void pending_free(pending_t *p)
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
		pending_t *p = g_queue_pop_head(s->pending);

		p->reply.kvs = (const bw_store_kv_t *)p->kvs->data;
		p->reply.kv_count = p->kvs->len;
		if (!p->watch || !p->watch->ended)
			p->done(p->ctx, &p->reply);
		pending_free(p);
	}
	if (!g_queue_is_empty(s->pending) && !ev_is_active(&s->timer)) {
		ev_timer_set(&s->timer, 0.0, 0.0);
		ev_timer_start(s->loop, &s->timer);
	}
}

static void tell_watch(bw_memstore_t *s, bw_store_watch_t *watch,
		       const entry_t *entry, bool deleted)
{
	pending_t *p = pending_new(s, watch->event, watch->ctx);

	p->watch = watch;
	add_kv(p, entry, deleted);
	if (s->holding)
		g_queue_push_tail(s->held, p);
	else
		push(s, p);
}

static void tell_watches(bw_memstore_t *s, const entry_t *entry, bool deleted)
{
	guint i;

	for (i = 0; i < s->watches->len; i++) {
		bw_store_watch_t *watch = g_ptr_array_index(s->watches, i);

		if (!watch->ended &&
		    g_str_has_prefix(entry->key, watch->prefix))
			tell_watch(s, watch, entry, deleted);
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
		tell_watches(s, entry, true);
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
	tell_watches(s, entry, false);
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

void bw_memstore_delay_events(bw_memstore_t *s, bool held)
{
	s->holding = held;
	while (!held && !g_queue_is_empty(s->held))
		push(s, g_queue_pop_head(s->held));
}

static void store_get(void *impl, const char *key, bw_store_done_fn done,
		      void *ctx)
{
	bw_memstore_t *s = impl;
	const entry_t *entry = g_tree_lookup(s->entries, key);
	pending_t *p = answer_later(s, done, ctx);

	p->reply.status = entry ? BW_OK : BW_ENOTFOUND;
	if (entry)
		add_kv(p, entry, false);
}

/** A walk over the keys of a page. */
typedef struct walk {
	const bw_store_page_t *page;
	pending_t *answer;
} walk_t;

static gboolean add_to_page(gpointer key, gpointer value, gpointer data)
{
	walk_t *walk = data;
	const bw_store_page_t *page = walk->page;

	if (!g_str_has_prefix(key, page->prefix))
		return strcmp(key, page->prefix) > 0;
	if (page->after && strcmp(key, page->after) <= 0)
		return FALSE;
	if (walk->answer->kvs->len == PAGE_KEYS) {
		walk->answer->reply.has_more = true;
		return TRUE;
	}
	add_kv(walk->answer, value, false);
	return FALSE;
}

static void store_page(void *impl, const bw_store_page_t *page,
		       bw_store_done_fn done, void *ctx)
{
	bw_memstore_t *s = impl;
	walk_t walk = { .page = page, .answer = answer_later(s, done, ctx) };

	g_tree_foreach(s->entries, add_to_page, &walk);
}

static bool holds(bw_memstore_t *s, const bw_store_expect_t *expect)
{
	const entry_t *entry = g_tree_lookup(s->entries, expect->key);

	return (entry ? entry->mod_revision : 0) == expect->mod_revision;
}

static void store_txn(void *impl, const bw_store_txn_t *txn,
		      bw_store_done_fn done, void *ctx)
{
	bw_memstore_t *s = impl;
	bool all = true;
	pending_t *p;
	uint32_t i;

	for (i = 0; i < txn->expect_count; i++)
		all = all && holds(s, &txn->expects[i]);
	if (all) {
		s->revision++;
		for (i = 0; i < txn->write_count; i++)
			write_key(s, txn->writes[i].key, txn->writes[i].value,
				  txn->writes[i].bytes);
	}
	p = answer_later(s, done, ctx);
	p->reply.succeeded = all;
	for (i = 0; !all && i < txn->expect_count; i++) {
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
	pending_t *p = answer_later(s, done, ctx);

	p->reply.lease_id = ++s->leases;
	p->reply.ttl_ms = ttl_ms;
}

static void store_lease_keepalive(void *impl, int64_t lease_id,
				  bw_store_done_fn done, void *ctx)
{
	bw_memstore_t *s = impl;
	pending_t *p = answer_later(s, done, ctx);

	p->reply.lease_id = lease_id;
}

/** What a new watch is told at once. */
typedef struct since {
	bw_store_watch_t *watch;
	int64_t revision;
} since_t;

/* Keys that were deleted between a reading and its watch are not told. */
static gboolean tell_written(gpointer key, gpointer value, gpointer data)
{
	const since_t *since = data;
	const entry_t *entry = value;

	if (entry->mod_revision >= since->revision &&
	    g_str_has_prefix(key, since->watch->prefix))
		tell_watch(since->watch->store, since->watch, entry, false);
	return FALSE;
}

static bw_store_watch_t *store_watch(void *impl, const char *prefix,
				     int64_t revision, bw_store_done_fn event,
				     void *ctx)
{
	bw_memstore_t *s = impl;
	bw_store_watch_t *watch = g_new0(bw_store_watch_t, 1);
	since_t since = { .revision = revision };

	watch->store = s;
	watch->prefix = g_strdup(prefix);
	watch->event = event;
	watch->ctx = ctx;
	g_ptr_array_add(s->watches, watch);
	since.watch = watch;
	g_tree_foreach(s->entries, tell_written, &since);
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
