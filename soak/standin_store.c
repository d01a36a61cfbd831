#include "standin_store.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <ev.h>
#include <glib.h>
#include <jansson.h>

#include "base/clock.h"
#include "net/simplehttp.h"
#include "standin/anyport.h"

#define BODY_BYTES_MAX	(16U << 20)
#define CONNECTIONS_MAX 512U
#define PAGE_ITEMS	500U
#define LEASE_TICK_S	0.02
#define TTL_MIN_MS	1000
#define FIRST_REVISION	100
#define ENTRIES_MAX	32U
#define WATCH_MAX_MS	30000
#define MS_PER_S	1000.0
#define KEYS_SHOWN	3U

/** One value of a key, or its removal. None is freed before the end. */
typedef struct item {
	char *key;
	char **values; /**< In base64: one, or one for each node. */
	uint32_t value_count;
	int64_t revision;
	int64_t created;
	int64_t lease;
	bool removed;
} item_t;

typedef struct lease {
	int64_t id;
	int64_t ttl_ms;
	int64_t end_ms;
} lease_t;

typedef struct server {
	soak_store_t *store;
	uint32_t node;
	bw_anyport_t port;
	bw_simplehttp_t *http;
} server_t;

/** A watch that waits for events. */
typedef struct waiter {
	soak_store_t *store;
	bw_simple_request_t *request;
	char *prefix;
	ev_timer timer;
	bool woken;
} waiter_t;

struct soak_store {
	struct ev_loop *loop;
	server_t *servers;
	uint32_t node_count;
	GTree *items; /**< item_t by key. */
	GPtrArray *events; /**< item_t by revision. */
	GHashTable *leases; /**< lease_t by id. */
	GPtrArray *waiters;
	ev_timer lease_tick;
	int64_t revision;
	int64_t last_lease;
};

/** Carries a call out; returns the answer's body, or NULL. */
typedef json_t *(*call_fn)(soak_store_t *s, uint32_t node,
			   bw_simple_request_t *r, unsigned int *status);

static const char *get_arg(const bw_simple_request_t *r, const char *name)
{
	return MHD_lookup_connection_value(r->connection, MHD_GET_ARGUMENT_KIND,
					   name);
}

static int64_t get_int(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

static void wake(waiter_t *w)
{
	if (w->woken)
		return;
	w->woken = true;
	bw_simple_wake(w->request);
}

static void wake_watches(soak_store_t *s, const char *key)
{
	guint i;

	for (i = 0; i < s->waiters->len; i++) {
		waiter_t *w = g_ptr_array_index(s->waiters, i);

		if (g_str_has_prefix(key, w->prefix))
			wake(w);
	}
}

static void add_event(soak_store_t *s, item_t *item)
{
	g_ptr_array_add(s->events, item);
	wake_watches(s, item->key);
}

static item_t *item_new(soak_store_t *s, const char *key)
{
	item_t *item = g_new0(item_t, 1);

	item->key = g_strdup(key);
	item->revision = s->revision;
	return item;
}

/* Writes at the present revision; the item takes the values over. */
static void write_item(soak_store_t *s, const char *key, char **values,
		       uint32_t value_count, int64_t lease)
{
	const item_t *before = g_tree_lookup(s->items, key);
	item_t *item = item_new(s, key);

	item->values = values;
	item->value_count = value_count;
	item->lease = lease;
	item->created = before ? before->created : s->revision;
	g_tree_replace(s->items, item->key, item);
	add_event(s, item);
}

static void remove_item(soak_store_t *s, const char *key)
{
	item_t *item;

	if (!g_tree_lookup(s->items, key))
		return;
	item = item_new(s, key);
	item->removed = true;
	g_tree_remove(s->items, key);
	add_event(s, item);
}

static char *encode(const char *value)
{
	return g_base64_encode((const guchar *)value, strlen(value));
}

void soak_store_configure(soak_store_t *s, const char *text)
{
	char **values = g_new0(char *, 1);

	values[0] = encode(text);
	s->revision++;
	write_item(s, "op/config", values, 1, 0);
}

void soak_store_put_each(soak_store_t *s, const char *key,
			 const char *const *values)
{
	char **copies = g_new0(char *, s->node_count);
	uint32_t i;

	for (i = 0; i < s->node_count; i++)
		copies[i] = encode(values[i]);
	s->revision++;
	write_item(s, key, copies, s->node_count, 0);
}

void soak_store_remove(soak_store_t *s, const char *key)
{
	s->revision++;
	remove_item(s, key);
}

uint8_t *soak_store_get(const soak_store_t *s, const char *key, uint32_t node,
			size_t *bytes)
{
	const item_t *item = g_tree_lookup(s->items, key);
	gsize length = 0;
	guchar *value;

	if (!item)
		return NULL;
	value = g_base64_decode(item->values[MIN(node, item->value_count - 1)],
				&length);
	*bytes = length;
	return value;
}

int64_t soak_store_renewed_ago_ms(const soak_store_t *s, const char *key)
{
	const item_t *item = g_tree_lookup(s->items, key);
	const lease_t *lease =
		item ? g_hash_table_lookup(s->leases, &item->lease) : NULL;

	if (!lease)
		return -1;
	return lease->ttl_ms - (lease->end_ms - bw_clock_now_ms());
}

static json_t *pack_item(const item_t *item, uint32_t node)
{
	if (item->removed)
		return json_pack("{s:s,s:I,s:b}", "key", item->key, "revision",
				 (json_int_t)item->revision, "compacted", 1);
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", item->key, "value",
			 item->values[MIN(node, item->value_count - 1)],
			 "revision", (json_int_t)item->revision, "created_rev",
			 (json_int_t)item->created, "lease",
			 (json_int_t)item->lease);
}

static json_t *call_key(soak_store_t *s, uint32_t node, bw_simple_request_t *r,
			unsigned int *status)
{
	const char *key = get_arg(r, "key");
	const item_t *item = key ? g_tree_lookup(s->items, key) : NULL;
	json_t *out;

	if (!item) {
		*status = 404;
		return NULL;
	}
	out = pack_item(item, node);
	json_object_set_new(out, "at_rev", json_integer(s->revision));
	return out;
}

/** A page in the making. */
typedef struct page {
	const char *prefix;
	const char *after;
	uint32_t node;
	json_t *items;
	bool more;
} page_t;

static gboolean add_to_page(gpointer key, gpointer value, gpointer data)
{
	page_t *page = data;

	if (!g_str_has_prefix(key, page->prefix))
		return strcmp(key, page->prefix) > 0;
	if (page->after && strcmp(key, page->after) <= 0)
		return FALSE;
	if (json_array_size(page->items) >= PAGE_ITEMS) {
		page->more = true;
		return TRUE;
	}
	json_array_append_new(page->items, pack_item(value, page->node));
	return FALSE;
}

static json_t *call_range(soak_store_t *s, uint32_t node,
			  bw_simple_request_t *r, unsigned int *status)
{
	page_t page = { .prefix = get_arg(r, "prefix"),
			.after = get_arg(r, "after"),
			.node = node };

	if (!page.prefix) {
		*status = 400;
		return NULL;
	}
	page.items = json_array();
	g_tree_foreach(s->items, add_to_page, &page);
	return json_pack("{s:o,s:b,s:I}", "items", page.items, "has_more",
			 page.more, "at_rev", (json_int_t)s->revision);
}

static json_t *events_after(const soak_store_t *s, uint32_t node,
			    const char *prefix, int64_t after)
{
	json_t *events = json_array();
	guint i = s->events->len;

	while (i > 0 &&
	       ((const item_t *)g_ptr_array_index(s->events, i - 1))->revision >
		       after)
		i--;
	for (; i < s->events->len; i++) {
		const item_t *item = g_ptr_array_index(s->events, i);

		if (g_str_has_prefix(item->key, prefix))
			json_array_append_new(events, pack_item(item, node));
	}
	return events;
}

static void waiter_free(void *user)
{
	waiter_t *w = user;

	ev_timer_stop(w->store->loop, &w->timer);
	g_ptr_array_remove_fast(w->store->waiters, w);
	g_free(w->prefix);
	g_free(w);
}

static void on_wait_over(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)loop;
	(void)revents;
	wake(timer->data);
}

static enum MHD_Result wait_for_events(soak_store_t *s, bw_simple_request_t *r,
				       const char *prefix, int64_t wait_ms)
{
	waiter_t *w = g_new0(waiter_t, 1);

	w->store = s;
	w->request = r;
	w->prefix = g_strdup(prefix);
	r->user = w;
	r->user_free = waiter_free;
	ev_timer_init(&w->timer, on_wait_over, (double)wait_ms / MS_PER_S, 0.0);
	w->timer.data = w;
	ev_timer_start(s->loop, &w->timer);
	g_ptr_array_add(s->waiters, w);
	return bw_simple_wait(r);
}

static enum MHD_Result reply(bw_simple_request_t *r, unsigned int status,
			     json_t *body)
{
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	const char *sent = text ? text : "{}";
	enum MHD_Result result = bw_simple_reply(r, status, "application/json",
						 sent, strlen(sent));

	free(text);
	json_decref(body);
	return result;
}

static enum MHD_Result serve_watch(soak_store_t *s, uint32_t node,
				   bw_simple_request_t *r)
{
	const char *prefix = get_arg(r, "prefix");
	int64_t wait_ms =
		CLAMP(bw_simple_arg(r, "wait_ms", 0), 1, WATCH_MAX_MS);
	json_t *events;

	if (!prefix)
		return reply(r, 400, NULL);
	events = events_after(s, node, prefix, bw_simple_arg(r, "after", 0));
	if (json_array_size(events) == 0 && !r->user) {
		json_decref(events);
		return wait_for_events(s, r, prefix, wait_ms);
	}
	return reply(r, 200,
		     json_pack("{s:o,s:I}", "events", events, "at_rev",
			       (json_int_t)s->revision));
}

/* Whether a transaction may write a key; those of others are refused. */
static bool is_own_key(const char *key)
{
	return key && !g_str_has_prefix(key, "op/") &&
	       !g_str_has_prefix(key, "servers/");
}

/* Returns 200, or why the transaction can't be carried out. */
static unsigned int check_txn(const soak_store_t *s, const json_t *writes,
			      const json_t *removals)
{
	size_t i;

	if (json_array_size(writes) + json_array_size(removals) > ENTRIES_MAX)
		return 400;
	for (i = 0; i < json_array_size(writes); i++) {
		const json_t *row = json_array_get(writes, i);
		int64_t lease = get_int(row, "lease");

		if (!is_own_key(json_string_value(json_object_get(row, "key"))))
			return 403;
		if (lease != 0 && !g_hash_table_contains(s->leases, &lease))
			return 404;
	}
	for (i = 0; i < json_array_size(removals); i++)
		if (!is_own_key(json_string_value(json_array_get(removals, i))))
			return 403;
	return 200;
}

/* Returns the items of a condition that doesn't hold, or NULL. */
static json_t *find_conflict(const soak_store_t *s, uint32_t node,
			     const json_t *expected)
{
	json_t *items = json_array();
	bool good = true;
	size_t i;

	for (i = 0; i < json_array_size(expected); i++) {
		const json_t *row = json_array_get(expected, i);
		const char *key =
			json_string_value(json_object_get(row, "key"));
		const item_t *item = key ? g_tree_lookup(s->items, key) : NULL;

		good = good &&
		       get_int(row, "revision") == (item ? item->revision : 0);
		if (item)
			json_array_append_new(items, pack_item(item, node));
	}
	if (!good)
		return items;
	json_decref(items);
	return NULL;
}

static void write_row(soak_store_t *s, const json_t *row)
{
	const char *value = json_string_value(json_object_get(row, "value"));
	char **values = g_new0(char *, 1);

	values[0] = g_strdup(value ? value : "");
	write_item(s, json_string_value(json_object_get(row, "key")), values, 1,
		   get_int(row, "lease"));
}

static json_t *carry_out(soak_store_t *s, uint32_t node, const json_t *body,
			 unsigned int *status)
{
	const json_t *writes = json_object_get(body, "writes");
	const json_t *removals = json_object_get(body, "deletes");
	json_t *conflict =
		find_conflict(s, node, json_object_get(body, "expected_rev"));
	size_t i;

	if (conflict) {
		*status = 412;
		return json_pack("{s:o}", "items", conflict);
	}
	*status = check_txn(s, writes, removals);
	if (*status != 200)
		return NULL;
	s->revision++;
	for (i = 0; i < json_array_size(writes); i++)
		write_row(s, json_array_get(writes, i));
	for (i = 0; i < json_array_size(removals); i++)
		remove_item(s, json_string_value(json_array_get(removals, i)));
	return json_pack("{s:I}", "revision", (json_int_t)s->revision);
}

static json_t *call_txn(soak_store_t *s, uint32_t node, bw_simple_request_t *r,
			unsigned int *status)
{
	json_t *body = json_loadb(r->body->str, r->body->len, 0, NULL);
	json_t *out = NULL;

	if (body)
		out = carry_out(s, node, body, status);
	else
		*status = 400;
	json_decref(body);
	return out;
}

static json_t *pack_lease(const lease_t *lease)
{
	return json_pack("{s:I,s:I}", "lease", (json_int_t)lease->id, "ttl_ms",
			 (json_int_t)lease->ttl_ms);
}

static json_t *call_grant(soak_store_t *s, uint32_t node,
			  bw_simple_request_t *r, unsigned int *status)
{
	json_t *body = json_loadb(r->body->str, r->body->len, 0, NULL);
	lease_t *lease = g_new0(lease_t, 1);

	(void)node;
	(void)status;
	lease->id = ++s->last_lease;
	lease->ttl_ms = MAX(get_int(body, "ttl_ms"), TTL_MIN_MS);
	lease->end_ms = bw_clock_now_ms() + lease->ttl_ms;
	g_hash_table_insert(s->leases, &lease->id, lease);
	json_decref(body);
	return pack_lease(lease);
}

static lease_t *find_lease(soak_store_t *s, const bw_simple_request_t *r)
{
	int64_t id = g_ascii_strtoll(strrchr(r->path, '/') + 1, NULL, 10);

	return g_hash_table_lookup(s->leases, &id);
}

static json_t *call_keep(soak_store_t *s, uint32_t node, bw_simple_request_t *r,
			 unsigned int *status)
{
	lease_t *lease = find_lease(s, r);

	(void)node;
	if (!lease) {
		*status = 404;
		return NULL;
	}
	lease->end_ms = bw_clock_now_ms() + lease->ttl_ms;
	return pack_lease(lease);
}

/** The keys of a lease. */
typedef struct lease_keys {
	int64_t lease;
	GPtrArray *keys;
} lease_keys_t;

static gboolean add_lease_key(gpointer key, gpointer value, gpointer data)
{
	const item_t *item = value;
	lease_keys_t *keys = data;

	if (item->lease == keys->lease)
		g_ptr_array_add(keys->keys, key);
	return FALSE;
}

static void end_lease(soak_store_t *s, int64_t id)
{
	lease_keys_t keys = { id, g_ptr_array_new() };
	guint i;

	s->revision++;
	g_tree_foreach(s->items, add_lease_key, &keys);
	for (i = 0; i < keys.keys->len; i++)
		remove_item(s, g_ptr_array_index(keys.keys, i));
	g_ptr_array_free(keys.keys, TRUE);
	g_hash_table_remove(s->leases, &id);
}

static json_t *call_end(soak_store_t *s, uint32_t node, bw_simple_request_t *r,
			unsigned int *status)
{
	const lease_t *lease = find_lease(s, r);

	(void)node;
	if (lease)
		end_lease(s, lease->id);
	else
		*status = 404;
	return NULL;
}

static void on_lease_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
	soak_store_t *s = timer->data;
	int64_t now_ms = bw_clock_now_ms();
	GList *leases = g_hash_table_get_values(s->leases);
	const GList *at;

	(void)loop;
	(void)revents;
	for (at = leases; at; at = at->next)
		if (((const lease_t *)at->data)->end_ms <= now_ms)
			end_lease(s, ((const lease_t *)at->data)->id);
	g_list_free(leases);
}

void soak_store_pause_leases(soak_store_t *s, int64_t for_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->leases);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((lease_t *)value)->end_ms += for_ms;
}

/** Calls by the begin of their paths. */
static const struct {
	const char *path;
	call_fn fn;
} calls[] = {
	{ "/v1/kv-key", call_key },	{ "/v1/kv-range", call_range },
	{ "/v1/kv-txn", call_txn },	{ "/v1/kv-lease-end/", call_end },
	{ "/v1/kv-lease", call_grant }, { "/v1/kv-keep/", call_keep },
};

static enum MHD_Result on_request(void *ctx, bw_simple_request_t *r)
{
	server_t *server = ctx;
	soak_store_t *s = server->store;
	unsigned int status = 200;
	size_t i;

	if (!strcmp(r->path, "/v1/kv-watch"))
		return serve_watch(s, server->node, r);
	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		json_t *body;

		if (!g_str_has_prefix(r->path, calls[i].path))
			continue;
		body = calls[i].fn(s, server->node, r, &status);
		return reply(r, status, body);
	}
	return reply(r, 400, NULL);
}

static void start_server(soak_store_t *s, uint32_t node)
{
	server_t *server = &s->servers[node];
	bw_simple_config_t config = { .address = server->port.address,
				      .body_bytes_max = BODY_BYTES_MAX,
				      .connections_max = CONNECTIONS_MAX };

	server->store = s;
	server->node = node;
	if (bw_anyport_reserve("127.0.0.1", &server->port) == BW_OK &&
	    bw_simplehttp_create(s->loop, &config, on_request, server,
				 &server->http) == BW_OK)
		return;
	fprintf(stderr, "soak: store: %s\n", bw_status_message());
	exit(2);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

soak_store_t *soak_store_create(struct ev_loop *loop, uint32_t node_count)
{
	soak_store_t *s = g_new0(soak_store_t, 1);
	uint32_t i;

	s->loop = loop;
	s->node_count = node_count;
	s->revision = FIRST_REVISION;
	s->items = g_tree_new_full(compare_keys, NULL, NULL, NULL);
	s->events = g_ptr_array_new();
	s->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					  g_free);
	s->waiters = g_ptr_array_new();
	s->servers = g_new0(server_t, node_count);
	for (i = 0; i < node_count; i++)
		start_server(s, i);
	ev_timer_init(&s->lease_tick, on_lease_tick, LEASE_TICK_S,
		      LEASE_TICK_S);
	s->lease_tick.data = s;
	ev_timer_start(loop, &s->lease_tick);
	return s;
}

const char *soak_store_address(const soak_store_t *s, uint32_t node)
{
	return s->servers[node].port.address;
}

/* The keys name the jobs. */
void soak_store_describe(GString *out, const char *request)
{
	static const char name[] = "\"key\":\"";
	const char *at = strstr(request, "\"writes\":");
	uint32_t count = 0;

	while (at && count++ < KEYS_SHOWN && (at = strstr(at, name))) {
		size_t length;

		at += strlen(name);
		length = strcspn(at, "\"");
		g_string_append_printf(out, " key=%.*s", (int)length, at);
		at += length;
	}
}
