#include "store/etcd.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "net/curlev.h"

/** Longest line of a watch; values may have 1 MB, in base64. */
#define WATCH_LINE_MAX ((size_t)8 << 20)

typedef struct etcd {
	bw_curlev_t *curl;
	struct curl_slist *headers;
	GPtrArray *endpoints;
	GHashTable *calls; /**< Calls and watches in progress; owned. */
	uint32_t endpoint; /**< Index of the one in use. */
	int64_t timeout_ms;
	bw_counters_t *counters;
} etcd_t;

/** A call or a watch in progress. */
struct bw_store_watch {
	etcd_t *etcd;
	bw_transfer_t transfer;
	char *body;
	GString *answer;
	bw_store_done_fn done;
	void *ctx;
	bool is_watch;
	bool is_write;
	bool ended; /**< By the caller, from inside its callback. */
	bool in_callback;
};

typedef struct bw_store_watch call_t;

static call_t *start_call(etcd_t *e, const char *path, json_t *body,
			  bool is_watch, bool is_write, bw_store_done_fn done,
			  void *ctx);
static void call_free(call_t *call);
static size_t on_data(char *data, size_t size, size_t count, void *ctx);
static void on_done(void *ctx, bw_transfer_t *transfer, CURLcode result);
static json_t *encode_bytes(const char *data, size_t bytes);
static json_t *encode_prefix_end(const char *prefix);
static json_t *encode_int(int64_t value);
static int64_t decode_int(json_t *value);
static void decode_kv(json_t *kv, bool deleted, GArray *out, GPtrArray *owned);
static void decode_reply(json_t *root, bw_store_reply_t *reply, GArray *kvs,
			 GPtrArray *owned);
static void deliver_reply(call_t *call, const char *text, size_t bytes);
static void deliver_error(call_t *call, bw_status_t status);

static json_t *encode_bytes(const char *data, size_t bytes)
{
	char *text = g_base64_encode((const guchar *)data, bytes);
	json_t *value = json_string(text);

	g_free(text);
	return value;
}

/* The end of a prefix's range is the prefix with its last byte plus one. */
static json_t *encode_prefix_end(const char *prefix)
{
	char *end = g_strdup(prefix);
	size_t length = strlen(end);
	json_t *value;

	end[length - 1]++;
	value = encode_bytes(end, length);
	g_free(end);
	return value;
}

static json_t *encode_int(int64_t value)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" PRId64, value);
	return json_string(text);
}

/* The gateway encodes 64-bit integers as strings. */
static int64_t decode_int(json_t *value)
{
	if (json_is_string(value))
		return g_ascii_strtoll(json_string_value(value), NULL, 10);
	return json_integer_value(value);
}

static void decode_kv(json_t *kv, bool deleted, GArray *out, GPtrArray *owned)
{
	const char *key = json_string_value(json_object_get(kv, "key"));
	const char *value = json_string_value(json_object_get(kv, "value"));
	bw_store_kv_t item = { .deleted = deleted };
	gsize bytes;
	char *text;

	if (!key)
		return;
	text = (char *)g_base64_decode(key, &bytes);
	text = g_realloc(text, bytes + 1);
	text[bytes] = '\0';
	g_ptr_array_add(owned, text);
	item.key = text;
	text = (char *)g_base64_decode(value ? value : "", &bytes);
	text = g_realloc(text, bytes + 1);
	text[bytes] = '\0';
	g_ptr_array_add(owned, text);
	item.value = text;
	item.bytes = bytes;
	item.mod_revision = decode_int(json_object_get(kv, "mod_revision"));
	item.version = decode_int(json_object_get(kv, "version"));
	g_array_append_val(out, item);
}

static void decode_reply(json_t *root, bw_store_reply_t *reply, GArray *kvs,
			 GPtrArray *owned)
{
	json_t *result = json_object_get(root, "result");
	json_t *item;
	size_t i;

	if (result)
		root = result;
	reply->revision = decode_int(
		json_object_get(json_object_get(root, "header"), "revision"));
	reply->succeeded = json_is_true(json_object_get(root, "succeeded"));
	reply->lease_id = decode_int(json_object_get(root, "ID"));
	reply->ttl_ms = decode_int(json_object_get(root, "TTL")) * 1000;
	json_array_foreach(json_object_get(root, "kvs"), i, item)
		decode_kv(item, false, kvs, owned);
	json_array_foreach(json_object_get(root, "responses"), i, item)
	{
		json_t *range = json_object_get(item, "response_range");
		json_t *kv;
		size_t k;

		json_array_foreach(json_object_get(range, "kvs"), k, kv)
			decode_kv(kv, false, kvs, owned);
	}
	json_array_foreach(json_object_get(root, "events"), i, item)
	{
		const char *type =
			json_string_value(json_object_get(item, "type"));

		decode_kv(json_object_get(item, "kv"),
			  !g_strcmp0(type, "DELETE"), kvs, owned);
	}
	if (json_is_true(json_object_get(root, "canceled")))
		reply->status =
			bw_status_set(BW_ESTALE, "store: watch canceled");
	if (json_object_get(root, "error"))
		reply->status = bw_status_set(BW_EIO, "store: error reply");
}

static void deliver_reply(call_t *call, const char *text, size_t bytes)
{
	bw_store_reply_t reply = { .status = BW_OK };
	GArray *kvs = g_array_new(FALSE, FALSE, sizeof(bw_store_kv_t));
	GPtrArray *owned = g_ptr_array_new_with_free_func(g_free);
	json_t *root = json_loadb(text, bytes, 0, NULL);

	if (!root)
		reply.status = bw_status_set(call->is_write ? BW_ELOST : BW_EIO,
					     "store: reply is not JSON");
	else
		decode_reply(root, &reply, kvs, owned);
	if (reply.status != BW_OK)
		bw_count(call->etcd->counters, BW_C_STORE_ERRORS, 1);
	reply.kvs = (const bw_store_kv_t *)kvs->data;
	reply.kv_count = kvs->len;
	call->done(call->ctx, &reply);
	json_decref(root);
	g_array_free(kvs, TRUE);
	g_ptr_array_free(owned, TRUE);
}

static void deliver_error(call_t *call, bw_status_t status)
{
	bw_store_reply_t reply = { .status = status };

	bw_count(call->etcd->counters, BW_C_STORE_ERRORS, 1);
	call->done(call->ctx, &reply);
}

static size_t on_data(char *data, size_t size, size_t count, void *ctx)
{
	call_t *call = ctx;
	size_t bytes = size * count;
	char *newline;

	g_string_append_len(call->answer, data, (gssize)bytes);
	if (!call->is_watch)
		return bytes;
	if (call->answer->len > WATCH_LINE_MAX)
		return 0;
	call->in_callback = true;
	while (!call->ended &&
	       (newline = memchr(call->answer->str, '\n', call->answer->len))) {
		size_t length = (size_t)(newline - call->answer->str);

		deliver_reply(call, call->answer->str, length);
		g_string_erase(call->answer, 0, (gssize)length + 1);
	}
	call->in_callback = false;
	return call->ended ? 0 : bytes;
}

static void on_done(void *ctx, bw_transfer_t *transfer, CURLcode result)
{
	call_t *call = ctx;
	etcd_t *e = call->etcd;
	long code = 0;

	curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &code);
	if (call->ended) {
		g_hash_table_remove(e->calls, call);
		return;
	}
	if (result != CURLE_OK)
		e->endpoint = (e->endpoint + 1) % e->endpoints->len;
	if (result != CURLE_OK && transfer->copies == 0)
		deliver_error(call, bw_status_set(BW_EUNAVAIL, "store: %s",
						  curl_easy_strerror(result)));
	else if (result != CURLE_OK || call->is_watch)
		deliver_error(call,
			      bw_status_set(call->is_write ? BW_ELOST : BW_EIO,
					    "store: %s",
					    curl_easy_strerror(result)));
	/* A write that timed out inside etcd, and may be carried out yet, is
	 * answered as unavailable too. */
	else if (code == 503 && !call->is_write)
		deliver_error(call,
			      bw_status_set(BW_EUNAVAIL, "store: unavailable"));
	else if (code >= 500)
		deliver_error(call,
			      bw_status_set(call->is_write ? BW_ELOST : BW_EIO,
					    "store: HTTP status %ld", code));
	else
		deliver_reply(call, call->answer->str, call->answer->len);
	g_hash_table_remove(e->calls, call);
}

static void call_free(call_t *call)
{
	curl_easy_cleanup(call->transfer.easy);
	g_string_free(call->answer, TRUE);
	free(call->body);
	g_free(call);
}

static call_t *start_call(etcd_t *e, const char *path, json_t *body,
			  bool is_watch, bool is_write, bw_store_done_fn done,
			  void *ctx)
{
	call_t *call = g_new0(call_t, 1);
	char *url = g_strconcat(g_ptr_array_index(e->endpoints, e->endpoint),
				path, NULL);

	call->etcd = e;
	call->done = done;
	call->ctx = ctx;
	call->is_watch = is_watch;
	call->is_write = is_write;
	call->answer = g_string_new(NULL);
	call->body = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	call->transfer.easy = curl_easy_init();
	curl_easy_setopt(call->transfer.easy, CURLOPT_URL, url);
	curl_easy_setopt(call->transfer.easy, CURLOPT_POSTFIELDS, call->body);
	curl_easy_setopt(call->transfer.easy, CURLOPT_HTTPHEADER, e->headers);
	curl_easy_setopt(call->transfer.easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(call->transfer.easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(call->transfer.easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(call->transfer.easy, CURLOPT_PROXY, "");
	curl_easy_setopt(call->transfer.easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)e->timeout_ms);
	if (!is_watch)
		call->transfer.timeout_ms = e->timeout_ms;
	call->transfer.ctx = call;
	call->transfer.once = is_write || is_watch;
	g_hash_table_add(e->calls, call);
	bw_count(e->counters, BW_C_STORE_CALLS, 1);
	bw_curlev_add(e->curl, &call->transfer);
	g_free(url);
	return call;
}

static void etcd_range(void *impl, const char *prefix, bw_store_done_fn done,
		       void *ctx)
{
	json_t *body = json_pack("{s:o,s:o}", "key",
				 encode_bytes(prefix, strlen(prefix)),
				 "range_end", encode_prefix_end(prefix));

	start_call(impl, "/v3/kv/range", body, false, false, done, ctx);
}

static json_t *compare_revision(const char *key, int64_t mod_revision)
{
	return json_pack("{s:o,s:s,s:s,s:o}", "key",
			 encode_bytes(key, strlen(key)), "target", "MOD",
			 "result", "EQUAL", "mod_revision",
			 encode_int(mod_revision));
}

static void etcd_cas(void *impl, const bw_store_cas_t *cas,
		     bw_store_done_fn done, void *ctx)
{
	json_t *key = encode_bytes(cas->key, strlen(cas->key));
	json_t *compare = json_array();
	json_t *failure = json_pack("{s:{s:O}}", "request_range", "key", key);
	json_t *success;
	uint32_t i;

	json_array_append_new(compare,
			      compare_revision(cas->key, cas->mod_revision));
	for (i = 0; i < cas->absent_count; i++)
		json_array_append_new(compare,
				      compare_revision(cas->absent[i], 0));
	if (cas->value)
		success = json_pack("{s:{s:O,s:o,s:o}}", "request_put", "key",
				    key, "value",
				    encode_bytes(cas->value, cas->bytes),
				    "lease", encode_int(cas->lease_id));
	else
		success = json_pack("{s:{s:O}}", "request_delete_range", "key",
				    key);
	json_decref(key);
	start_call(impl, "/v3/kv/txn",
		   json_pack("{s:o,s:[o],s:[o]}", "compare", compare, "success",
			     success, "failure", failure),
		   false, true, done, ctx);
}

static void etcd_lease_grant(void *impl, int64_t ttl_ms, bw_store_done_fn done,
			     void *ctx)
{
	start_call(impl, "/v3/lease/grant",
		   json_pack("{s:o,s:s}", "TTL",
			     encode_int((ttl_ms + 999) / 1000), "ID", "0"),
		   false, true, done, ctx);
}

static void etcd_lease_keepalive(void *impl, int64_t lease_id,
				 bw_store_done_fn done, void *ctx)
{
	start_call(impl, "/v3/lease/keepalive",
		   json_pack("{s:o}", "ID", encode_int(lease_id)), false, false,
		   done, ctx);
}

static void etcd_lease_revoke(void *impl, int64_t lease_id,
			      bw_store_done_fn done, void *ctx)
{
	start_call(impl, "/v3/lease/revoke",
		   json_pack("{s:o}", "ID", encode_int(lease_id)), false, true,
		   done, ctx);
}

static bw_store_watch_t *etcd_watch(void *impl, const char *prefix,
				    int64_t revision, bw_store_done_fn event,
				    void *ctx)
{
	json_t *request = json_pack("{s:{s:o,s:o,s:o}}", "create_request",
				    "key", encode_bytes(prefix, strlen(prefix)),
				    "range_end", encode_prefix_end(prefix),
				    "start_revision", encode_int(revision));

	return start_call(impl, "/v3/watch", request, true, false, event, ctx);
}

static void etcd_watch_end(void *impl, bw_store_watch_t *watch)
{
	etcd_t *e = impl;

	if (watch->in_callback) {
		watch->ended = true;
		return;
	}
	bw_curlev_remove(e->curl, &watch->transfer);
	g_hash_table_remove(e->calls, watch);
}

static void etcd_destroy(void *impl)
{
	etcd_t *e = impl;
	GHashTableIter iter;
	gpointer call;

	g_hash_table_iter_init(&iter, e->calls);
	while (g_hash_table_iter_next(&iter, &call, NULL))
		bw_curlev_remove(e->curl, &((call_t *)call)->transfer);
	g_hash_table_destroy(e->calls);
	bw_curlev_destroy(e->curl);
	curl_slist_free_all(e->headers);
	g_ptr_array_free(e->endpoints, TRUE);
	g_free(e);
}

static const bw_store_ops_t etcd_ops = {
	.range = etcd_range,
	.cas = etcd_cas,
	.lease_grant = etcd_lease_grant,
	.lease_keepalive = etcd_lease_keepalive,
	.lease_revoke = etcd_lease_revoke,
	.watch = etcd_watch,
	.watch_end = etcd_watch_end,
	.destroy = etcd_destroy,
};

bw_store_t bw_etcd_create(struct ev_loop *loop, const bw_etcd_config_t *config,
			  bw_counters_t *counters)
{
	etcd_t *e = g_new0(etcd_t, 1);
	bw_store_t store = { .ops = &etcd_ops, .impl = e };
	uint32_t i;

	e->curl = bw_curlev_create(loop, on_done, counters);
	e->headers = curl_slist_append(NULL, "Content-Type: application/json");
	e->headers = curl_slist_append(e->headers, "Expect:");
	e->endpoints = g_ptr_array_new_with_free_func(g_free);
	e->calls = g_hash_table_new_full(NULL, NULL, (GDestroyNotify)call_free,
					 NULL);
	e->timeout_ms = config->timeout_ms;
	e->counters = counters;
	for (i = 0; i < config->endpoint_count; i++)
		g_ptr_array_add(e->endpoints, g_strdup(config->endpoints[i]));
	return store;
}
