#include "standin/kv.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <ev.h>
#include <glib.h>
#include <jansson.h>

#include "net/simplehttp.h"

#define BODY_BYTES_MAX	    ((size_t)4 << 20)
#define HISTORY_CHANGES_MAX 100000
#define CONNECTIONS_MAX	    4096

/** A key with its value. */
typedef struct entry {
	char *key;
	GBytes *value;
	int64_t create_revision;
	int64_t mod_revision;
	int64_t version;
	int64_t lease;
} entry_t;

/** A change, kept for watches that start at a past revision. */
typedef struct change {
	char *key;
	GBytes *value; /* NULL if the key was deleted. */
	int64_t create_revision;
	int64_t revision;
	int64_t version;
} change_t;

typedef struct lease {
	int64_t id;
	int64_t ttl_s;
	double expires_s;
} lease_t;

/** A watch; its connection is suspended while it has nothing to send. */
typedef struct watcher {
	bw_standin_kv_t *kv;
	struct MHD_Connection *connection;
	char *prefix;
	int64_t next_revision;
	GString *out;
	bool suspended;
	bool aborted;
} watcher_t;

/** A reply that is delayed by the fault slow_ms. */
typedef struct delayed_reply {
	ev_timer timer;
	bw_standin_kv_t *kv;
	struct MHD_Connection *connection;
	char *text;
	bool elapsed;
} delayed_reply_t;

struct bw_standin_kv {
	struct ev_loop *loop;
	bw_simplehttp_t *http;
	GTree *entries;
	GPtrArray *history;
	GHashTable *leases;
	GPtrArray *watchers;
	GPtrArray *delays;
	ev_timer expiry;
	int64_t revision;
	int64_t next_lease;
	int64_t oldest_revision; /**< Lowest revision a watch can start at. */
	double down_until_s;
	int64_t reply_delay_ms;
	int64_t lost_replies;
	uint64_t reads;
	uint64_t writes;
	uint64_t watches;
};

typedef json_t *(*call_fn)(bw_standin_kv_t *kv, json_t *body, bool *is_write);

typedef struct route {
	const char *path;
	call_fn fn;
} route_t;

static json_t *call_range(bw_standin_kv_t *kv, json_t *body, bool *is_write);
static json_t *call_put(bw_standin_kv_t *kv, json_t *body, bool *is_write);
static json_t *call_txn(bw_standin_kv_t *kv, json_t *body, bool *is_write);
static json_t *call_grant(bw_standin_kv_t *kv, json_t *body, bool *is_write);
static json_t *call_keepalive(bw_standin_kv_t *kv, json_t *body,
			      bool *is_write);
static json_t *call_revoke(bw_standin_kv_t *kv, json_t *body, bool *is_write);
static void notify_watchers(bw_standin_kv_t *kv);

static const route_t routes[] = {
	{ "/v3/kv/range", call_range },
	{ "/v3/kv/put", call_put },
	{ "/v3/kv/txn", call_txn },
	{ "/v3/lease/grant", call_grant },
	{ "/v3/lease/keepalive", call_keepalive },
	{ "/v3/lease/revoke", call_revoke },
};

static void entry_free(gpointer data)
{
	entry_t *e = data;

	g_bytes_unref(e->value);
	g_free(e->key);
	g_free(e);
}

static void change_free(gpointer data)
{
	change_t *c = data;

	if (c->value)
		g_bytes_unref(c->value);
	g_free(c->key);
	g_free(c);
}

static char *get_base64_field(json_t *body, const char *key)
{
	const char *text = json_string_value(json_object_get(body, key));
	gsize bytes;
	char *decoded;

	if (!text || !*text)
		return NULL;
	decoded = (char *)g_base64_decode(text, &bytes);
	decoded = g_realloc(decoded, bytes + 1);
	decoded[bytes] = '\0';
	return decoded;
}

static int64_t get_int_field(json_t *body, const char *key)
{
	json_t *value = json_object_get(body, key);

	if (json_is_string(value))
		return g_ascii_strtoll(json_string_value(value), NULL, 10);
	return json_integer_value(value);
}

static json_t *int_json(int64_t value)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" PRId64, value);
	return json_string(text);
}

static json_t *base64_json(const void *data, size_t bytes)
{
	char *text = g_base64_encode(data, bytes);
	json_t *value = json_string(text);

	g_free(text);
	return value;
}

static json_t *header_json(const bw_standin_kv_t *kv)
{
	return json_pack("{s:o}", "revision", int_json(kv->revision));
}

static json_t *kv_json(const char *key, GBytes *value, int64_t create_revision,
		       int64_t mod_revision, int64_t version, int64_t lease)
{
	gsize bytes = 0;
	const void *data = value ? g_bytes_get_data(value, &bytes) : "";
	json_t *out = json_pack(
		"{s:o,s:o,s:o,s:o}", "key", base64_json(key, strlen(key)),
		"create_revision", int_json(create_revision), "mod_revision",
		int_json(mod_revision), "version", int_json(version));

	if (value)
		json_object_set_new(out, "value", base64_json(data, bytes));
	if (lease)
		json_object_set_new(out, "lease", int_json(lease));
	return out;
}

static json_t *entry_json(const entry_t *e)
{
	return kv_json(e->key, e->value, e->create_revision, e->mod_revision,
		       e->version, e->lease);
}

/** Range of keys that a walk over the tree collects. */
typedef struct range_walk {
	const char *from;
	const char *to;
	json_t *kvs;
} range_walk_t;

static gboolean append_in_range(gpointer key, gpointer value, gpointer data)
{
	range_walk_t *walk = data;

	if (strcmp(key, walk->from) < 0)
		return FALSE;
	if (walk->to && strcmp(key, walk->to) >= 0)
		return TRUE;
	if (!walk->to && strcmp(key, walk->from) > 0)
		return TRUE;
	json_array_append_new(walk->kvs, entry_json(value));
	return FALSE;
}

static json_t *range_json(bw_standin_kv_t *kv, json_t *body)
{
	char *from = get_base64_field(body, "key");
	char *to = get_base64_field(body, "range_end");
	range_walk_t walk = { .from = from ? from : "",
			      .to = to,
			      .kvs = json_array() };

	g_tree_foreach(kv->entries, append_in_range, &walk);
	g_free(from);
	g_free(to);
	return json_pack("{s:o,s:o}", "header", header_json(kv), "kvs",
			 walk.kvs);
}

static void record_change(bw_standin_kv_t *kv, const entry_t *e, bool deleted)
{
	change_t *c = g_new0(change_t, 1);

	c->key = g_strdup(e->key);
	c->value = deleted ? NULL : g_bytes_ref(e->value);
	c->create_revision = e->create_revision;
	c->revision = kv->revision;
	c->version = e->version;
	g_ptr_array_add(kv->history, c);
	if (kv->history->len > HISTORY_CHANGES_MAX) {
		g_ptr_array_remove_range(kv->history, 0,
					 HISTORY_CHANGES_MAX / 2);
		c = g_ptr_array_index(kv->history, 0);
		kv->oldest_revision = c->revision;
	}
}

static void put_key(bw_standin_kv_t *kv, json_t *body)
{
	char *key = get_base64_field(body, "key");
	char *value = NULL;
	const char *text = json_string_value(json_object_get(body, "value"));
	gsize bytes = 0;
	entry_t *e;

	if (!key)
		return;
	if (text)
		value = (char *)g_base64_decode(text, &bytes);
	e = g_tree_lookup(kv->entries, key);
	kv->revision++;
	if (!e) {
		e = g_new0(entry_t, 1);
		e->key = g_strdup(key);
		e->create_revision = kv->revision;
		g_tree_insert(kv->entries, e->key, e);
	} else {
		g_bytes_unref(e->value);
	}
	e->value = g_bytes_new_take(value, bytes);
	e->mod_revision = kv->revision;
	e->version++;
	e->lease = get_int_field(body, "lease");
	record_change(kv, e, false);
	g_free(key);
}

static void delete_key(bw_standin_kv_t *kv, const char *key)
{
	entry_t *e = key ? g_tree_lookup(kv->entries, key) : NULL;

	if (!e)
		return;
	kv->revision++;
	record_change(kv, e, true);
	g_tree_remove(kv->entries, key);
}

static json_t *call_range(bw_standin_kv_t *kv, json_t *body, bool *is_write)
{
	(void)is_write;
	kv->reads++;
	return range_json(kv, body);
}

static json_t *call_put(bw_standin_kv_t *kv, json_t *body, bool *is_write)
{
	*is_write = true;
	put_key(kv, body);
	return json_pack("{s:o}", "header", header_json(kv));
}

static bool comparison_holds(bw_standin_kv_t *kv, json_t *compare)
{
	char *key = get_base64_field(compare, "key");
	const char *target =
		json_string_value(json_object_get(compare, "target"));
	const entry_t *e = key ? g_tree_lookup(kv->entries, key) : NULL;
	int64_t expected;
	int64_t actual;

	if (!g_strcmp0(target, "VERSION")) {
		expected = get_int_field(compare, "version");
		actual = e ? e->version : 0;
	} else if (!g_strcmp0(target, "CREATE")) {
		expected = get_int_field(compare, "create_revision");
		actual = e ? e->create_revision : 0;
	} else {
		expected = get_int_field(compare, "mod_revision");
		actual = e ? e->mod_revision : 0;
	}
	g_free(key);
	return expected == actual;
}

static json_t *apply_operation(bw_standin_kv_t *kv, json_t *operation)
{
	json_t *body = json_object_get(operation, "request_put");

	if (body) {
		put_key(kv, body);
		return json_pack("{s:{}}", "response_put");
	}
	body = json_object_get(operation, "request_delete_range");
	if (body) {
		char *key = get_base64_field(body, "key");

		delete_key(kv, key);
		g_free(key);
		return json_pack("{s:{}}", "response_delete_range");
	}
	body = json_object_get(operation, "request_range");
	return json_pack("{s:o}", "response_range", range_json(kv, body));
}

static json_t *call_txn(bw_standin_kv_t *kv, json_t *body, bool *is_write)
{
	json_t *responses = json_array();
	json_t *item;
	size_t i;
	bool holds = true;

	*is_write = true;
	json_array_foreach(json_object_get(body, "compare"), i, item) holds =
		holds && comparison_holds(kv, item);
	json_array_foreach(json_object_get(body, holds ? "success" : "failure"),
			   i, item)
		json_array_append_new(responses, apply_operation(kv, item));
	return json_pack("{s:o,s:b,s:o}", "header", header_json(kv),
			 "succeeded", holds, "responses", responses);
}

static json_t *call_grant(bw_standin_kv_t *kv, json_t *body, bool *is_write)
{
	lease_t *lease = g_new0(lease_t, 1);

	*is_write = true;
	lease->id = ++kv->next_lease;
	lease->ttl_s = MAX(get_int_field(body, "TTL"), 1);
	lease->expires_s = ev_now(kv->loop) + (double)lease->ttl_s;
	g_hash_table_insert(kv->leases, &lease->id, lease);
	return json_pack("{s:o,s:o,s:o}", "header", header_json(kv), "ID",
			 int_json(lease->id), "TTL", int_json(lease->ttl_s));
}

static json_t *call_keepalive(bw_standin_kv_t *kv, json_t *body, bool *is_write)
{
	int64_t id = get_int_field(body, "ID");
	lease_t *lease = g_hash_table_lookup(kv->leases, &id);
	int64_t ttl_s = 0;

	(void)is_write;
	kv->writes++;
	if (lease) {
		lease->expires_s = ev_now(kv->loop) + (double)lease->ttl_s;
		ttl_s = lease->ttl_s;
	}
	return json_pack("{s:{s:o,s:o,s:o}}", "result", "header",
			 header_json(kv), "ID", int_json(id), "TTL",
			 int_json(ttl_s));
}

static gboolean collect_leased(gpointer key, gpointer value, gpointer data)
{
	GPtrArray *keys = ((gpointer *)data)[0];
	const int64_t *lease = ((gpointer *)data)[1];
	const entry_t *e = value;

	if (e->lease == *lease)
		g_ptr_array_add(keys, g_strdup(key));
	return FALSE;
}

static void end_lease(bw_standin_kv_t *kv, int64_t id)
{
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	gpointer args[2] = { keys, &id };
	guint i;

	g_tree_foreach(kv->entries, collect_leased, args);
	for (i = 0; i < keys->len; i++)
		delete_key(kv, g_ptr_array_index(keys, i));
	g_ptr_array_free(keys, TRUE);
	g_hash_table_remove(kv->leases, &id);
	notify_watchers(kv);
}

static json_t *call_revoke(bw_standin_kv_t *kv, json_t *body, bool *is_write)
{
	*is_write = true;
	end_lease(kv, get_int_field(body, "ID"));
	return json_pack("{s:o}", "header", header_json(kv));
}

static void on_expiry(struct ev_loop *loop, ev_timer *timer, int revents)
{
	bw_standin_kv_t *kv = timer->data;
	GHashTableIter iter;
	gpointer value;
	GArray *expired = g_array_new(FALSE, FALSE, sizeof(int64_t));
	guint i;

	(void)revents;
	g_hash_table_iter_init(&iter, kv->leases);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const lease_t *lease = value;

		if (ev_now(loop) >= lease->expires_s)
			g_array_append_val(expired, lease->id);
	}
	/*
	 * No lease expires while the store is down; set_fault() extends them
	 * by the down time.
	 */
	for (i = 0; i < expired->len && ev_now(loop) >= kv->down_until_s; i++)
		end_lease(kv, g_array_index(expired, int64_t, i));
	g_array_free(expired, TRUE);
}

/* Appends the changes that a watch has not sent yet. */
static void append_changes(watcher_t *w)
{
	bw_standin_kv_t *kv = w->kv;
	json_t *events = json_array();
	json_t *line;
	char *text;
	guint i;

	for (i = 0; i < kv->history->len; i++) {
		const change_t *c = g_ptr_array_index(kv->history, i);

		if (c->revision < w->next_revision ||
		    !g_str_has_prefix(c->key, w->prefix))
			continue;
		json_array_append_new(
			events,
			json_pack("{s:s,s:o}", "type",
				  c->value ? "PUT" : "DELETE", "kv",
				  kv_json(c->key, c->value, c->create_revision,
					  c->revision, c->version, 0)));
	}
	w->next_revision = kv->revision + 1;
	if (json_array_size(events) == 0) {
		json_decref(events);
		return;
	}
	line = json_pack("{s:{s:o,s:o}}", "result", "header", header_json(kv),
			 "events", events);
	text = json_dumps(line, JSON_COMPACT);
	g_string_append_printf(w->out, "%s\n", text);
	free(text);
	json_decref(line);
}

static void notify_watchers(bw_standin_kv_t *kv)
{
	guint i;

	for (i = 0; i < kv->watchers->len; i++) {
		watcher_t *w = g_ptr_array_index(kv->watchers, i);

		append_changes(w);
		if (!w->suspended || (w->out->len == 0 && !w->aborted))
			continue;
		w->suspended = false;
		bw_simple_resume(kv->http, w->connection);
	}
}

static ssize_t on_watch_read(void *ctx, uint64_t pos, char *buf, size_t max)
{
	watcher_t *w = ctx;
	size_t n = MIN(max, w->out->len);

	(void)pos;
	if (w->aborted)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (n == 0) {
		w->suspended = true;
		MHD_suspend_connection(w->connection);
		return 0;
	}
	memcpy(buf, w->out->str, n);
	g_string_erase(w->out, 0, (gssize)n);
	return (ssize_t)n;
}

static void on_watch_closed(void *ctx)
{
	watcher_t *w = ctx;

	g_ptr_array_remove(w->kv->watchers, w);
	g_string_free(w->out, TRUE);
	g_free(w->prefix);
	g_free(w);
}

static enum MHD_Result start_watch(bw_standin_kv_t *kv, bw_simple_request_t *r,
				   json_t *body)
{
	json_t *create = json_object_get(body, "create_request");
	struct MHD_Response *response;
	watcher_t *w = g_new0(watcher_t, 1);
	enum MHD_Result result;
	int64_t start = get_int_field(create, "start_revision");

	kv->watches++;
	w->kv = kv;
	w->connection = r->connection;
	w->prefix = get_base64_field(create, "key");
	if (!w->prefix)
		w->prefix = g_strdup("");
	w->next_revision = start > 0 ? start : kv->revision + 1;
	w->out = g_string_new(NULL);
	g_string_append_printf(
		w->out,
		"{\"result\":{\"header\":{\"revision\":\"%" PRId64
		"\"},\"%s\":true}}\n",
		kv->revision,
		start > 0 && start < kv->oldest_revision ? "canceled"
							 : "created");
	g_ptr_array_add(kv->watchers, w);
	append_changes(w);
	response = MHD_create_response_from_callback(
		MHD_SIZE_UNKNOWN, 65536, on_watch_read, w, on_watch_closed);
	result = MHD_queue_response(r->connection, 200, response);
	MHD_destroy_response(response);
	return result;
}

static void on_delay(struct ev_loop *loop, ev_timer *timer, int revents)
{
	delayed_reply_t *d = timer->data;

	(void)loop;
	(void)revents;
	d->elapsed = true;
	bw_simple_resume(d->kv->http, d->connection);
}

static void delay_free(void *user)
{
	delayed_reply_t *d = user;

	ev_timer_stop(d->kv->loop, &d->timer);
	g_ptr_array_remove_fast(d->kv->delays, d);
	free(d->text);
	g_free(d);
}

static enum MHD_Result reply_later(bw_standin_kv_t *kv, bw_simple_request_t *r,
				   char *text)
{
	delayed_reply_t *d = g_new0(delayed_reply_t, 1);

	d->kv = kv;
	d->connection = r->connection;
	d->text = text;
	r->user = d;
	g_ptr_array_add(kv->delays, d);
	r->user_free = delay_free;
	ev_timer_init(&d->timer, on_delay, (double)kv->reply_delay_ms / 1000.0,
		      0.0);
	d->timer.data = d;
	ev_timer_start(kv->loop, &d->timer);
	bw_simple_suspend(r);
	return MHD_YES;
}

static enum MHD_Result set_fault(bw_standin_kv_t *kv, bw_simple_request_t *r)
{
	int64_t down_ms = bw_simple_arg(r, "down_ms", 0);
	GHashTableIter iter;
	gpointer value;
	guint i;

	kv->reply_delay_ms = bw_simple_arg(r, "slow_ms", kv->reply_delay_ms);
	kv->lost_replies = bw_simple_arg(r, "lose", kv->lost_replies);
	if (down_ms > 0) {
		kv->down_until_s = ev_now(kv->loop) + (double)down_ms / 1000.0;
		g_hash_table_iter_init(&iter, kv->leases);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			lease_t *lease = value;

			lease->expires_s += (double)down_ms / 1000.0;
		}
		for (i = 0; i < kv->watchers->len; i++) {
			watcher_t *w = g_ptr_array_index(kv->watchers, i);

			w->aborted = true;
		}
		notify_watchers(kv);
	}
	return bw_simple_reply(r, 200, "text/plain", "ok\n", 3);
}

static enum MHD_Result show_stats(bw_standin_kv_t *kv, bw_simple_request_t *r)
{
	char text[160];

	g_snprintf(text, sizeof(text),
		   "{\"reads\":%" PRIu64 ",\"writes\":%" PRIu64
		   ",\"watches\":%" PRIu64 ",\"revision\":%" PRId64 "}\n",
		   kv->reads, kv->writes, kv->watches, kv->revision);
	return bw_simple_reply(r, 200, "application/json", text, strlen(text));
}

static enum MHD_Result run_call(bw_standin_kv_t *kv, bw_simple_request_t *r,
				call_fn fn)
{
	json_t *body = json_loadb(r->body->str, r->body->len, 0, NULL);
	json_t *answer;
	bool is_write = false;
	char *text;
	enum MHD_Result result;

	if (!body)
		return bw_simple_reply(r, 400, "application/json",
				       "{\"error\":\"not JSON\",\"code\":3}",
				       29);
	answer = fn(kv, body, &is_write);
	json_decref(body);
	text = json_dumps(answer, JSON_COMPACT);
	json_decref(answer);
	if (is_write) {
		kv->writes++;
		notify_watchers(kv);
	}
	if (is_write && kv->lost_replies > 0) {
		kv->lost_replies--;
		free(text);
		return MHD_NO;
	}
	if (kv->reply_delay_ms > 0)
		return reply_later(kv, r, text);
	result =
		bw_simple_reply(r, 200, "application/json", text, strlen(text));
	free(text);
	return result;
}

static enum MHD_Result on_request(void *ctx, bw_simple_request_t *r)
{
	bw_standin_kv_t *kv = ctx;
	delayed_reply_t *d = r->user;
	json_t *body;
	enum MHD_Result result;
	size_t i;

	if (d)
		return bw_simple_reply(r, 200, "application/json", d->text,
				       strlen(d->text));
	if (!strcmp(r->path, "/standin/fault"))
		return set_fault(kv, r);
	if (!strcmp(r->path, "/standin/stats"))
		return show_stats(kv, r);
	if (ev_now(kv->loop) < kv->down_until_s)
		return MHD_NO;
	for (i = 0; i < G_N_ELEMENTS(routes); i++)
		if (!strcmp(r->path, routes[i].path))
			return run_call(kv, r, routes[i].fn);
	if (strcmp(r->path, "/v3/watch") != 0)
		return bw_simple_reply(r, 404, "application/json",
				       "{\"error\":\"not found\",\"code\":5}",
				       30);
	body = json_loadb(r->body->str, r->body->len, 0, NULL);
	result = start_watch(kv, r, body);
	json_decref(body);
	return result;
}

bw_status_t bw_standin_kv_create(struct ev_loop *loop, const char *address,
				 bw_standin_kv_t **out)
{
	bw_standin_kv_t *kv = g_new0(bw_standin_kv_t, 1);
	bw_simple_config_t config = { .address = address,
				      .body_bytes_max = BODY_BYTES_MAX,
				      .connections_max = CONNECTIONS_MAX };
	bw_status_t status;

	kv->loop = loop;
	kv->entries = g_tree_new_full((GCompareDataFunc)(void (*)(void))strcmp,
				      NULL, NULL, entry_free);
	kv->history = g_ptr_array_new_with_free_func(change_free);
	kv->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	kv->watchers = g_ptr_array_new();
	kv->delays = g_ptr_array_new();
	status = bw_simplehttp_create(loop, &config, on_request, kv, &kv->http);
	if (status != BW_OK) {
		bw_standin_kv_destroy(kv);
		return status;
	}
	ev_timer_init(&kv->expiry, on_expiry, 0.1, 0.1);
	kv->expiry.data = kv;
	ev_timer_start(loop, &kv->expiry);
	*out = kv;
	return BW_OK;
}

void bw_standin_kv_destroy(bw_standin_kv_t *kv)
{
	guint i;

	for (i = 0; i < kv->watchers->len; i++) {
		watcher_t *w = g_ptr_array_index(kv->watchers, i);

		w->aborted = true;
	}
	notify_watchers(kv);
	/* libmicrohttpd can't stop while connections are suspended. */
	for (i = 0; i < kv->delays->len; i++) {
		delayed_reply_t *d = g_ptr_array_index(kv->delays, i);

		if (!d->elapsed)
			bw_simple_resume(kv->http, d->connection);
	}
	if (kv->http)
		bw_simplehttp_destroy(kv->http);
	ev_timer_stop(kv->loop, &kv->expiry);
	g_tree_destroy(kv->entries);
	g_ptr_array_free(kv->history, TRUE);
	g_hash_table_destroy(kv->leases);
	g_ptr_array_free(kv->watchers, TRUE);
	g_ptr_array_free(kv->delays, TRUE);
	g_free(kv);
}
