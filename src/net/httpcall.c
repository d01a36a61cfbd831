#include "net/httpcall.h"

#include <string.h>

#include <curl/curl.h>
#include <glib.h>

#include "net/curlev.h"

/** Size of a client's connection cache. Connections in use count too, so it is
 *  larger than the number of a pool's workers, and a quarter of the descriptors
 *  of a small node. */
#define CACHED_CONNECTIONS_MAX 1024L
#define IDLE_HANDLES_MAX       32U
#define RECEIVE_BYTES	       16384L

struct bw_http_client {
	bw_curlev_t *driver;
	GQueue *idle_handles; /**< Easy handles for reuse. */
	GHashTable *calls; /**< Calls in progress. */
};

typedef struct call {
	bw_http_client_t *client;
	CURL *easy;
	struct curl_slist *headers;
	GString *answer;
	bw_http_done_fn done;
	void *ctx;
} call_t;

static size_t on_body(char *data, size_t size, size_t count, void *ctx);
static void on_done(void *ctx, CURL *easy, CURLcode result);
static bw_http_outcome_t outcome_of(CURL *easy, CURLcode result);
static void call_free(call_t *call);
static CURL *get_easy(bw_http_client_t *client);
static void set_options(call_t *call, const bw_http_request_t *request);

static size_t on_body(char *data, size_t size, size_t count, void *ctx)
{
	call_t *call = ctx;

	g_string_append_len(call->answer, data, (gssize)(size * count));
	return size * count;
}

static bw_http_outcome_t outcome_of(CURL *easy, CURLcode result)
{
	curl_off_t connected_us = 0;

	if (result == CURLE_OK)
		return BW_HTTP_ANSWERED;
	if (result == CURLE_COULDNT_CONNECT)
		return BW_HTTP_NOT_SENT;
	curl_easy_getinfo(easy, CURLINFO_PRETRANSFER_TIME_T, &connected_us);
	if (result == CURLE_OPERATION_TIMEDOUT && connected_us == 0)
		return BW_HTTP_NOT_SENT;
	return BW_HTTP_LOST;
}

static void call_free(call_t *call)
{
	curl_slist_free_all(call->headers);
	g_string_free(call->answer, TRUE);
	g_free(call);
}

static void on_done(void *ctx, CURL *easy, CURLcode result)
{
	call_t *call = ctx;
	bw_http_client_t *client = call->client;
	bw_http_answer_t answer = { .outcome = outcome_of(easy, result) };
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	answer.status = (uint32_t)status;
	answer.body = call->answer->str;
	answer.bytes = call->answer->len;
	g_hash_table_remove(client->calls, call);
	curl_easy_reset(easy);
	if (g_queue_get_length(client->idle_handles) < IDLE_HANDLES_MAX)
		g_queue_push_head(client->idle_handles, easy);
	else
		curl_easy_cleanup(easy);
	call->done(call->ctx, &answer);
	call_free(call);
}

static CURL *get_easy(bw_http_client_t *client)
{
	CURL *easy = g_queue_pop_head(client->idle_handles);

	return easy ? easy : curl_easy_init();
}

static void set_options(call_t *call, const bw_http_request_t *request)
{
	CURL *easy = call->easy;
	const char *const *header;

	for (header = request->headers; header && *header; header++)
		call->headers = curl_slist_append(call->headers, *header);
	/* Without this, libcurl waits for "100 Continue", a round trip. */
	call->headers = curl_slist_append(call->headers, "Expect:");
	curl_easy_setopt(easy, CURLOPT_URL, request->url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, RECEIVE_BYTES);
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	if (!request->body)
		return;
	curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)request->bytes);
	curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, request->body);
}

bw_http_client_t *bw_http_client_create(struct ev_loop *loop,
					uint32_t host_connections_max)
{
	bw_http_client_t *client = g_new0(bw_http_client_t, 1);
	CURLM *multi;

	client->idle_handles = g_queue_new();
	client->calls = g_hash_table_new(NULL, NULL);
	client->driver = bw_curlev_create(loop, on_done, NULL);
	multi = bw_curlev_multi(client->driver);
	curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, CACHED_CONNECTIONS_MAX);
	curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  (long)host_connections_max);
	curl_multi_setopt(multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
	return client;
}

void bw_http_client_destroy(bw_http_client_t *client)
{
	GHashTableIter iter;
	gpointer key;
	CURL *easy;

	if (!client)
		return;
	g_hash_table_iter_init(&iter, client->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		call_t *call = key;

		bw_curlev_remove(client->driver, call->easy);
		curl_easy_cleanup(call->easy);
		call_free(call);
	}
	g_hash_table_destroy(client->calls);
	while ((easy = g_queue_pop_head(client->idle_handles)) != NULL)
		curl_easy_cleanup(easy);
	g_queue_free(client->idle_handles);
	bw_curlev_destroy(client->driver);
	g_free(client);
}

void bw_http_call(bw_http_client_t *client, const bw_http_request_t *request,
		  bw_http_done_fn done, void *ctx)
{
	call_t *call = g_new0(call_t, 1);

	call->client = client;
	call->easy = get_easy(client);
	call->answer = g_string_new(NULL);
	call->done = done;
	call->ctx = ctx;
	g_hash_table_add(client->calls, call);
	set_options(call, request);
	bw_curlev_add(client->driver, call->easy);
}
