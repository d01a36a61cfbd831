#include "node/session.h"

#include <string.h>

#include <ev.h>

#define BW_LOG_PART "store"
#include "base/log.h"

#define RENEWALS_PER_LEASE 4
#define RETRY_MIN_MS	   100
#define RETRY_MAX_MS	   2000

struct bw_session {
	struct ev_loop *loop;
	bw_session_config_t config;
	char *prefix; /**< With a trailing slash. */
	char *name;
	char *value;
	char *own_key; /**< This entry's lease key. */
	const bw_store_t *store;
	const bw_session_ops_t *ops;
	void *ctx;
	GRand *rand;
	int64_t lease_id;
	int64_t lease_sent_us; /**< When the last lease call was sent. */
	int64_t revision; /**< Store revision up to which state was read. */
	GHashTable *entries; /**< Names of entries with a lease key. */
	bw_store_watch_t *watch;
	ev_timer renew;
	ev_timer sync;
	ev_timer grant;
	int64_t sync_backoff_ms;
	int64_t grant_backoff_ms;
	bool granting; /**< A lease was requested and not answered yet. */
	bool writing_view;
	bool leaving;
	void (*leave_done)(void *ctx);
	void *leave_ctx;
};

static void request_lease(bw_session_t *s);
static void on_lease_granted(void *ctx, const bw_store_reply_t *reply);
static void revoke_lease(bw_session_t *s);
static void write_lease_key(bw_session_t *s, int64_t mod_revision);
static void on_lease_key_written(void *ctx, const bw_store_reply_t *reply);
static void on_registered(void *ctx, const bw_store_reply_t *reply);
static void on_keepalive_answer(void *ctx, const bw_store_reply_t *reply);
static void start_sync(bw_session_t *s);
static void on_synced(void *ctx, const bw_store_reply_t *reply);
static void on_watch_event(void *ctx, const bw_store_reply_t *reply);
static void apply_kv(bw_session_t *s, const bw_store_kv_t *kv);
static void apply_entry_lease(bw_session_t *s, const char *name, bool present);
static void on_view_written(void *ctx, const bw_store_reply_t *reply);
static void retry_later(bw_session_t *s, ev_timer *timer, int64_t *backoff_ms);

static void retry_later(bw_session_t *s, ev_timer *timer, int64_t *backoff_ms)
{
	int64_t next_ms = CLAMP(*backoff_ms * 2, RETRY_MIN_MS, RETRY_MAX_MS);
	double wait_s = (double)next_ms / 1000.0;

	*backoff_ms = next_ms;
	wait_s *= g_rand_double_range(s->rand, 0.5, 1.0);
	ev_timer_stop(s->loop, timer);
	ev_timer_set(timer, wait_s, 0.0);
	ev_timer_start(s->loop, timer);
}

static void request_lease(bw_session_t *s)
{
	s->lease_id = 0;
	s->granting = true;
	s->lease_sent_us = g_get_monotonic_time();
	s->store->ops->lease_grant(s->store->impl, s->config.lease_ms,
				   on_lease_granted, s);
}

static void on_lease_granted(void *ctx, const bw_store_reply_t *reply)
{
	bw_session_t *s = ctx;

	s->granting = false;
	if (reply->status == BW_OK)
		s->lease_id = reply->lease_id;
	if (s->leaving) {
		revoke_lease(s);
		return;
	}
	if (s->lease_id == 0) {
		retry_later(s, &s->grant, &s->grant_backoff_ms);
		return;
	}
	write_lease_key(s, 0);
}

static void write_lease_key(bw_session_t *s, int64_t mod_revision)
{
	bw_store_cas_t cas = { .key = s->own_key,
			       .value = s->value,
			       .bytes = strlen(s->value),
			       .mod_revision = mod_revision,
			       .lease_id = s->lease_id };

	s->store->ops->cas(s->store->impl, &cas, on_lease_key_written, s);
}

static void on_lease_key_written(void *ctx, const bw_store_reply_t *reply)
{
	bw_session_t *s = ctx;

	if (s->leaving)
		return;
	if (reply->status != BW_OK) {
		retry_later(s, &s->grant, &s->grant_backoff_ms);
		return;
	}
	/* Overwrites the key of an earlier process with this name. */
	if (!reply->succeeded) {
		write_lease_key(s, reply->kv_count > 0
					   ? reply->kvs[0].mod_revision
					   : 0);
		return;
	}
	/* This entry may have been excluded while it had no lease key. */
	s->store->ops->range(s->store->impl, s->prefix, on_registered, s);
}

static void on_registered(void *ctx, const bw_store_reply_t *reply)
{
	bw_session_t *s = ctx;
	size_t i;

	if (s->leaving)
		return;
	if (reply->status != BW_OK) {
		retry_later(s, &s->grant, &s->grant_backoff_ms);
		return;
	}
	for (i = 0; i < reply->kv_count; i++)
		apply_kv(s, &reply->kvs[i]);
	s->grant_backoff_ms = 0;
	g_message("Registered with lease %" G_GINT64_FORMAT ".", s->lease_id);
	s->ops->lease_renewed(s->ctx, s->lease_sent_us);
	ev_timer_stop(s->loop, &s->renew);
	ev_timer_set(&s->renew,
		     (double)s->config.lease_ms / 1000.0 / RENEWALS_PER_LEASE,
		     0.0);
	ev_timer_start(s->loop, &s->renew);
}

static void on_renew_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	bw_session_t *s = timer->data;

	(void)loop;
	(void)revents;
	s->lease_sent_us = g_get_monotonic_time();
	s->store->ops->lease_keepalive(s->store->impl, s->lease_id,
				       on_keepalive_answer, s);
}

static void on_keepalive_answer(void *ctx, const bw_store_reply_t *reply)
{
	bw_session_t *s = ctx;

	if (s->leaving)
		return;
	if (reply->status == BW_OK && reply->ttl_ms <= 0) {
		g_warning("The lease expired; registering again.");
		request_lease(s);
		return;
	}
	if (reply->status == BW_OK)
		s->ops->lease_renewed(s->ctx, s->lease_sent_us);
	ev_timer_set(&s->renew,
		     (double)s->config.lease_ms / 1000.0 / RENEWALS_PER_LEASE,
		     0.0);
	ev_timer_start(s->loop, &s->renew);
}

static void start_sync(bw_session_t *s)
{
	s->store->ops->range(s->store->impl, s->prefix, on_synced, s);
}

static void apply_entry_lease(bw_session_t *s, const char *name, bool present)
{
	if (present)
		g_hash_table_add(s->entries, g_strdup(name));
	else
		g_hash_table_remove(s->entries, name);
	s->ops->entry_lease(s->ctx, name, present);
}

static void apply_kv(bw_session_t *s, const bw_store_kv_t *kv)
{
	const char *name = kv->key + strlen(s->prefix);
	bw_document_id_t id;

	if (g_str_has_prefix(name, "entries/")) {
		apply_entry_lease(s, name + strlen("entries/"), !kv->deleted);
		return;
	}
	if (kv->deleted)
		return;
	id = bw_document_find(name);
	if (id < BW_DOC_COUNT)
		s->ops->document(s->ctx, id, kv->mod_revision, kv->value,
				 kv->bytes);
}

static void on_synced(void *ctx, const bw_store_reply_t *reply)
{
	bw_session_t *s = ctx;
	GHashTable *before;
	GHashTableIter iter;
	gpointer name;
	size_t i;

	if (reply->status != BW_OK) {
		retry_later(s, &s->sync, &s->sync_backoff_ms);
		return;
	}
	before = s->entries;
	s->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < reply->kv_count; i++)
		apply_kv(s, &reply->kvs[i]);
	g_hash_table_iter_init(&iter, before);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		if (!g_hash_table_contains(s->entries, name))
			s->ops->entry_lease(s->ctx, name, false);
	g_hash_table_destroy(before);
	s->revision = reply->revision;
	s->sync_backoff_ms = 0;
	s->ops->store_current(s->ctx, true);
	s->watch = s->store->ops->watch(s->store->impl, s->prefix,
					s->revision + 1, on_watch_event, s);
}

static void on_watch_event(void *ctx, const bw_store_reply_t *reply)
{
	bw_session_t *s = ctx;
	size_t i;

	if (reply->status == BW_ESTALE)
		s->store->ops->watch_end(s->store->impl, s->watch);
	if (reply->status != BW_OK) {
		s->watch = NULL;
		s->ops->store_current(s->ctx, false);
		retry_later(s, &s->sync, &s->sync_backoff_ms);
		return;
	}
	for (i = 0; i < reply->kv_count; i++)
		apply_kv(s, &reply->kvs[i]);
	s->revision = MAX(s->revision, reply->revision);
}

static void on_sync_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)loop;
	(void)revents;
	start_sync(timer->data);
}

static void on_grant_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)loop;
	(void)revents;
	request_lease(timer->data);
}

void bw_session_write_view(bw_session_t *s, int64_t revision, const char *text,
			   const char *const *excluded, uint32_t count)
{
	char *key = g_strconcat(s->prefix, "view", NULL);
	GPtrArray *absent = g_ptr_array_new_with_free_func(g_free);
	bw_store_cas_t cas = { .key = key,
			       .value = text,
			       .bytes = strlen(text),
			       .mod_revision = revision };
	uint32_t i;

	for (i = 0; i < count; i++)
		g_ptr_array_add(absent, g_strconcat(s->prefix, "entries/",
						    excluded[i], NULL));
	cas.absent = (const char *const *)absent->pdata;
	cas.absent_count = absent->len;
	if (!s->writing_view && !s->leaving) {
		s->writing_view = true;
		s->store->ops->cas(s->store->impl, &cas, on_view_written, s);
	}
	g_ptr_array_free(absent, TRUE);
	g_free(key);
}

/* The watch reports the new view, whichever entry wrote it. */
static void on_view_written(void *ctx, const bw_store_reply_t *reply)
{
	bw_session_t *s = ctx;

	(void)reply;
	s->writing_view = false;
}

static void on_lease_revoked(void *ctx, const bw_store_reply_t *reply)
{
	bw_session_t *s = ctx;

	(void)reply;
	s->leave_done(s->leave_ctx);
}

static void revoke_lease(bw_session_t *s)
{
	if (s->lease_id == 0) {
		s->leave_done(s->leave_ctx);
		return;
	}
	s->store->ops->lease_revoke(s->store->impl, s->lease_id,
				    on_lease_revoked, s);
}

void bw_session_leave(bw_session_t *s, void (*done)(void *ctx), void *ctx)
{
	s->leaving = true;
	s->leave_done = done;
	s->leave_ctx = ctx;
	ev_timer_stop(s->loop, &s->renew);
	ev_timer_stop(s->loop, &s->grant);
	/* A lease that is granted now would last for its whole time. */
	if (!s->granting)
		revoke_lease(s);
}

bw_session_t *bw_session_create(struct ev_loop *loop,
				const bw_session_config_t *config,
				const bw_store_t *store,
				const bw_session_ops_t *ops, void *ctx)
{
	bw_session_t *s = g_new0(bw_session_t, 1);

	s->loop = loop;
	s->config = *config;
	s->prefix = g_strconcat(config->prefix, "/", NULL);
	s->name = g_strdup(config->name);
	s->value = g_strdup(config->value);
	s->own_key = g_strconcat(s->prefix, "entries/", config->name, NULL);
	s->store = store;
	s->ops = ops;
	s->ctx = ctx;
	s->rand = g_rand_new_with_seed(config->seed);
	s->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ev_timer_init(&s->renew, on_renew_timer, 0.0, 0.0);
	ev_timer_init(&s->sync, on_sync_timer, 0.0, 0.0);
	ev_timer_init(&s->grant, on_grant_timer, 0.0, 0.0);
	s->renew.data = s;
	s->sync.data = s;
	s->grant.data = s;
	request_lease(s);
	start_sync(s);
	return s;
}

void bw_session_destroy(bw_session_t *s)
{
	if (!s)
		return;
	ev_timer_stop(s->loop, &s->renew);
	ev_timer_stop(s->loop, &s->sync);
	ev_timer_stop(s->loop, &s->grant);
	g_hash_table_destroy(s->entries);
	g_rand_free(s->rand);
	g_free(s->prefix);
	g_free(s->name);
	g_free(s->value);
	g_free(s->own_key);
	g_free(s);
}
